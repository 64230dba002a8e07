//! The state service lowers its limits while a leader writes a job that the version
//! before has admitted.

mod common;

use common::row;
use dillcleat_controller::records::{self, OpenJob, TaskRange, parse_tasks_key};
use dillcleat_controller::{
    CallError, Input, MILLISECOND, Micros, Node, Output, SECOND, Timestamp,
};
use dillcleat_wire::decode;
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, json_size,
};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, HeartbeatReply};
use std::collections::BTreeSet;

const TASKS: u32 = 150;
const LOW: usize = 2048;

/// A node that leads, with a job whose tasks fit the one machine that there is.
struct Led {
    node: Node,
    at: Micros,
    /// What the state service answers to the leader's batches, one after the other,
    /// then that they are committed; and to a look at a chunk.
    answers: Vec<Result<StoreResponse, CallError>>,
    chunk: StoreResponse,
    batches: Vec<Transaction>,
    looks: usize,
    launched: BTreeSet<String>,
}

impl Led {
    fn new(answers: Vec<Result<StoreResponse, CallError>>, chunk: StoreResponse) -> Led {
        let mut config = common::config_with_team();
        (config.value_bytes, config.txn_ops) = (LOW, 16);
        let mut led = Led {
            node: Node::new(config),
            at: 1000 * SECOND,
            answers,
            chunk,
            batches: Vec::new(),
            looks: 0,
            launched: BTreeSet::new(),
        };
        // Reports come every two seconds, ticks twenty times in one.
        for n in 0..100 {
            if n % 40 == 0 {
                led.take(common::heartbeat_request("m", "a", n + 1));
            }
            led.take(Input::Tick);
            led.at += 50 * MILLISECOND;
        }
        led
    }

    fn launches(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, .. } = command {
                self.launched.insert(task.to_string());
            }
        }
    }

    fn rows(prefix: &str) -> Vec<KeyValue> {
        let job = OpenJob {
            spec: JobSpec {
                spot: false,
                ..JobSpec::plain("req-1", JobKind::Batch, TASKS, 0.25)
            },
            submitted_at_us: 1,
            chunk: 204,
            unmarked: true,
            parallelism_limit: None,
        };
        match prefix {
            records::SHARED => vec![common::machine_types_row(64.0)],
            records::MACHINES => vec![common::machine_row("m", "a")],
            records::QUEUE => vec![row(records::open_key("req-1"), &job)],
            _ => Vec::new(),
        }
    }

    fn take(&mut self, input: Input) {
        let now = Timestamp {
            monotonic: self.at,
            wall: self.at,
        };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                let (id, call) = match output {
                    Output::Store { id, call, .. } => (id, call),
                    Output::Commands {
                        commands: orders, ..
                    } => {
                        self.launches(&orders.commands);
                        continue;
                    }
                    Output::Answer { answer, .. } => {
                        if let Ok(answer) = decode::<HeartbeatReply>(&answer.body) {
                            self.launches(&answer.commands);
                        }
                        continue;
                    }
                    _ => continue,
                };
                let reply = match call {
                    StoreRequest::Watch { .. } => continue,
                    StoreRequest::List { prefix, .. } => Ok(StoreResponse::RangePage(RangePage {
                        rows: Led::rows(&prefix),
                        more: false,
                        revision: 1,
                    })),
                    StoreRequest::GrantLease { .. } => {
                        Ok(StoreResponse::Lease { lease: LeaseId(1) })
                    }
                    StoreRequest::Get { .. } => {
                        self.looks += 1;
                        Ok(self.chunk.clone())
                    }
                    StoreRequest::Transaction(txn) if txn.then.iter().any(is_tasks) => {
                        self.batches.push(txn);
                        match self.answers.is_empty() {
                            true => Ok(StoreResponse::Committed { revision: 9 }),
                            false => self.answers.remove(0),
                        }
                    }
                    StoreRequest::Transaction(_) => Ok(StoreResponse::Committed { revision: 2 }),
                    _ => Ok(StoreResponse::LeaseRenewedOrRevoked),
                };
                inputs.push(Input::Store { id, reply });
            }
        }
    }
}

fn is_tasks(change: &Mutation) -> bool {
    matches!(change, Mutation::Put { key, .. } if key.starts_with(records::TASKS))
}

fn refused() -> Result<StoreResponse, CallError> {
    Ok(StoreResponse::Malformed)
}

/// Every task is launched, from records that fit, in the term in which it began.
fn goes_on(led: &Led) {
    assert_eq!(led.node.leading(), Some(1));
    assert_eq!(led.launched.len(), TASKS as usize);
    let mut covered = 0;
    for change in led.batches.iter().skip(1).flat_map(|txn| &txn.then) {
        if let Mutation::Put { key, value, .. } = change
            && let Some((_, TaskRange::Part { from, to, .. })) = parse_tasks_key(key)
        {
            assert!(json_size(value) <= LOW, "{key}");
            covered += to - from + 1;
        }
    }
    assert!(covered >= TASKS, "{covered}");
}

#[test]
fn a_chunk_that_does_not_fit_any_more_is_written_in_parts() {
    let led = Led::new(vec![refused()], StoreResponse::NotFound { revision: 3 });
    assert_eq!(led.looks, 0);
    goes_on(&led);
}

/// An earlier try had no answer and was not carried out.
#[test]
fn a_try_without_an_answer_is_looked_for() {
    let lost = Err(CallError::NoAnswer);
    let led = Led::new(
        vec![lost, refused()],
        StoreResponse::NotFound { revision: 3 },
    );
    assert_eq!(led.looks, 1);
    goes_on(&led);
}

/// An earlier try had no answer and was carried out: nothing is written again, and the
/// version that it left is known.
#[test]
fn a_try_that_was_carried_out_counts() {
    let stored = row(
        records::tasks_key("req-1", TaskRange::Chunk(0)),
        &records::TaskChunk::default(),
    );
    let found = StoreResponse::Found(KeyValue {
        version: 7,
        ..stored
    });
    let led = Led::new(vec![Err(CallError::NoAnswer), refused()], found);
    assert_eq!((led.looks, led.batches.len()), (1, 2));
    assert_eq!(
        (led.node.leading(), led.launched.len()),
        (Some(1), TASKS as usize)
    );
}

/// What is refused whatever its size is given up for a while, not sent again and again.
#[test]
fn the_same_bytes_are_not_sent_for_ever() {
    let refusals = (0..1000).map(|_| refused()).collect();
    let led = Led::new(refusals, StoreResponse::NotFound { revision: 3 });
    assert_eq!(led.node.leading(), Some(1));
    assert!(led.batches.len() < 40, "{} batches", led.batches.len());
}
