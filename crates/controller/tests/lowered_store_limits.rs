//! The store lowers its limit on the size of values while an open job has chunks of a
//! greater size: the leader must write such a chunk in parts.

mod common;

use common::{nth_term, row, timestamp};
use dillcleat_controller::records::{self, OpenJob, TaskRange, parse_tasks_key};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, Node, Output, SECOND};
use dillcleat_wire::decode;
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, json_size,
};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, HeartbeatReply};
use std::collections::BTreeSet;

const TASK_COUNT: u32 = 150;
const LOWERED_VALUE_BYTES: usize = 2048;

/// A leader with one machine and an open job whose tasks all fit on it.
struct Fixture {
    node: Node,
    now: Micros,
    /// The store's replies to the first writes of task records. All later ones are committed.
    task_write_replies: Vec<Result<StoreResponse, CallError>>,
    /// The store's reply to a read of a chunk.
    chunk_reply: StoreResponse,
    /// The transactions that write task records.
    task_writes: Vec<Transaction>,
    chunk_reads: usize,
    launched_tasks: BTreeSet<String>,
}

impl Fixture {
    /// A leader that has run for five seconds.
    fn new(
        task_write_replies: Vec<Result<StoreResponse, CallError>>,
        chunk_reply: StoreResponse,
    ) -> Fixture {
        let mut config = common::config_with_team();
        (config.max_value_bytes, config.max_txn_ops) = (LOWERED_VALUE_BYTES, 16);
        let mut fixture = Fixture {
            node: Node::new(config),
            now: 1000 * SECOND,
            task_write_replies,
            chunk_reply,
            task_writes: Vec::new(),
            chunk_reads: 0,
            launched_tasks: BTreeSet::new(),
        };
        // Twenty ticks a second, and a heartbeat every two seconds.
        for n in 0..100 {
            if n % 40 == 0 {
                fixture.handle(common::heartbeat_request("m", "a", n + 1));
            }
            fixture.handle(Input::Tick);
            fixture.now += 50 * MILLISECOND;
        }
        fixture
    }

    fn record_launches(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, .. } = command {
                self.launched_tasks.insert(task.to_string());
            }
        }
    }

    fn stored_rows(prefix: &str) -> Vec<KeyValue> {
        let job = OpenJob {
            spec: JobSpec {
                spot: false,
                ..JobSpec::plain("req-1", JobKind::Batch, TASK_COUNT, 0.25)
            },
            submitted_at_us: 1,
            tasks_per_chunk: 204,
            without_state_record: true,
            parallelism_limit: None,
        };
        match prefix {
            records::SHARED_PREFIX => vec![common::machine_types_row(64.0)],
            records::MACHINES_PREFIX => vec![common::machine_row("m", "a")],
            records::QUEUE_PREFIX => vec![row(records::open_job_key("req-1"), &job)],
            _ => Vec::new(),
        }
    }

    fn handle(&mut self, input: Input) {
        let now = timestamp(self.now);
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                let (id, call) = match output {
                    Output::Store { id, call, .. } => (id, call),
                    Output::Commands {
                        commands: batch, ..
                    } => {
                        self.record_launches(&batch.commands);
                        continue;
                    }
                    Output::Answer { answer, .. } => {
                        if let Ok(reply) = decode::<HeartbeatReply>(&answer.body) {
                            self.record_launches(&reply.commands);
                        }
                        continue;
                    }
                    _ => continue,
                };
                let reply = match call {
                    StoreRequest::Watch { .. } => continue,
                    StoreRequest::List { prefix, .. } => Ok(StoreResponse::RangePage(RangePage {
                        rows: Fixture::stored_rows(&prefix),
                        more: false,
                        revision: 1,
                    })),
                    StoreRequest::GrantLease { .. } => {
                        Ok(StoreResponse::Lease { lease: LeaseId(1) })
                    }
                    StoreRequest::Get { .. } => {
                        self.chunk_reads += 1;
                        Ok(self.chunk_reply.clone())
                    }
                    StoreRequest::Transaction(txn) if txn.then.iter().any(writes_tasks) => {
                        self.task_writes.push(txn);
                        match self.task_write_replies.is_empty() {
                            true => Ok(StoreResponse::Committed { revision: 9 }),
                            false => self.task_write_replies.remove(0),
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

fn writes_tasks(mutation: &Mutation) -> bool {
    matches!(mutation, Mutation::Put { key, .. } if key.starts_with(records::TASKS_PREFIX))
}

fn rejected() -> Result<StoreResponse, CallError> {
    Ok(StoreResponse::Malformed)
}

/// Asserts that the leader has launched every task in its first term, and that its parts
/// cover all tasks and fit the lowered limit.
fn assert_all_tasks_launched(fixture: &Fixture) {
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    assert_eq!(fixture.launched_tasks.len(), TASK_COUNT as usize);
    let mut covered = 0;
    // The first write is the one that the store rejects.
    for mutation in fixture.task_writes.iter().skip(1).flat_map(|txn| &txn.then) {
        if let Mutation::Put { key, value, .. } = mutation
            && let Some((_, TaskRange::Part { from, to, .. })) = parse_tasks_key(key)
        {
            assert!(json_size(value) <= LOWERED_VALUE_BYTES, "{key}");
            covered += to - from + 1;
        }
    }
    assert!(covered >= TASK_COUNT, "{covered}");
}

#[test]
fn chunk_over_the_lowered_size_limit_is_written_in_parts() {
    let fixture = Fixture::new(vec![rejected()], StoreResponse::NotFound { revision: 3 });
    assert_eq!(fixture.chunk_reads, 0);
    assert_all_tasks_launched(&fixture);
}

/// The first attempt gets no reply and was not executed. The leader finds this out by a read.
#[test]
fn chunk_is_written_in_parts_after_an_attempt_that_was_not_executed() {
    let lost = Err(CallError::NoAnswer);
    let fixture = Fixture::new(
        vec![lost, rejected()],
        StoreResponse::NotFound { revision: 3 },
    );
    assert_eq!(fixture.chunk_reads, 1);
    assert_all_tasks_launched(&fixture);
}

/// The first attempt gets no reply but was executed. The leader finds this out by reading the
/// chunk's version, and does not write the chunk again.
#[test]
fn executed_chunk_write_with_a_lost_reply_is_not_repeated() {
    let stored = row(
        records::tasks_key("req-1", TaskRange::Chunk(0)),
        &records::TaskRecord::default(),
    );
    let found = StoreResponse::Found(KeyValue {
        version: 7,
        ..stored
    });
    let fixture = Fixture::new(vec![Err(CallError::NoAnswer), rejected()], found);
    assert_eq!((fixture.chunk_reads, fixture.task_writes.len()), (1, 2));
    assert_eq!(
        (fixture.node.leading(), fixture.launched_tasks.len()),
        (Some(nth_term(1)), TASK_COUNT as usize)
    );
}

/// The store rejects parts of chunks as well, so that the leader must pause between attempts.
#[test]
fn task_write_that_is_always_rejected_is_retried_with_pauses() {
    let rejections = (0..1000).map(|_| rejected()).collect();
    let fixture = Fixture::new(rejections, StoreResponse::NotFound { revision: 3 });
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    assert!(
        fixture.task_writes.len() < 40,
        "{} writes",
        fixture.task_writes.len()
    );
}
