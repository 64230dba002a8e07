//! The store lowers its limit on the size of values while an open job has chunks of a
//! greater size: the leader must write such a chunk in parts.

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

const TASK_COUNT: u32 = 150;
const LOWERED_VALUE_BYTES: usize = 2048;

/// A leader with one machine and an open job whose tasks all fit on it.
struct Harness {
    node: Node,
    now: Micros,
    /// The store's replies to the first batches of tasks. All later batches are committed.
    batch_replies: Vec<Result<StoreResponse, CallError>>,
    /// The store's reply to a read of a chunk.
    chunk_reply: StoreResponse,
    batches: Vec<Transaction>,
    chunk_reads: usize,
    launched_tasks: BTreeSet<String>,
}

impl Harness {
    /// A leader that has run for five seconds.
    fn new(
        batch_replies: Vec<Result<StoreResponse, CallError>>,
        chunk_reply: StoreResponse,
    ) -> Harness {
        let mut config = common::config_with_team();
        (config.max_value_bytes, config.max_txn_ops) = (LOWERED_VALUE_BYTES, 16);
        let mut harness = Harness {
            node: Node::new(config),
            now: 1000 * SECOND,
            batch_replies,
            chunk_reply,
            batches: Vec::new(),
            chunk_reads: 0,
            launched_tasks: BTreeSet::new(),
        };
        // Twenty ticks a second, and a heartbeat every two seconds.
        for n in 0..100 {
            if n % 40 == 0 {
                harness.handle(common::heartbeat_request("m", "a", n + 1));
            }
            harness.handle(Input::Tick);
            harness.now += 50 * MILLISECOND;
        }
        harness
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
        let now = Timestamp {
            monotonic: self.now,
            wall: self.now,
        };
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
                        rows: Harness::stored_rows(&prefix),
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
                        self.batches.push(txn);
                        match self.batch_replies.is_empty() {
                            true => Ok(StoreResponse::Committed { revision: 9 }),
                            false => self.batch_replies.remove(0),
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

fn writes_tasks(change: &Mutation) -> bool {
    matches!(change, Mutation::Put { key, .. } if key.starts_with(records::TASKS_PREFIX))
}

fn rejected() -> Result<StoreResponse, CallError> {
    Ok(StoreResponse::Malformed)
}

/// Asserts that the leader has launched every task in its first term, and that its parts
/// cover all tasks and fit the lowered limit.
fn assert_all_tasks_launched(harness: &Harness) {
    assert_eq!(harness.node.leading(), Some(1));
    assert_eq!(harness.launched_tasks.len(), TASK_COUNT as usize);
    let mut covered = 0;
    for change in harness.batches.iter().skip(1).flat_map(|txn| &txn.then) {
        if let Mutation::Put { key, value, .. } = change
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
    let harness = Harness::new(vec![rejected()], StoreResponse::NotFound { revision: 3 });
    assert_eq!(harness.chunk_reads, 0);
    assert_all_tasks_launched(&harness);
}

/// The first attempt has no reply and was not executed, which the leader finds out by a read.
#[test]
fn chunk_is_written_in_parts_after_an_attempt_that_was_not_executed() {
    let lost = Err(CallError::NoAnswer);
    let harness = Harness::new(
        vec![lost, rejected()],
        StoreResponse::NotFound { revision: 3 },
    );
    assert_eq!(harness.chunk_reads, 1);
    assert_all_tasks_launched(&harness);
}

/// The first attempt has no reply and was executed: the leader reads the chunk's version
/// and writes nothing again.
#[test]
fn attempt_that_was_executed_is_not_repeated() {
    let stored = row(
        records::tasks_key("req-1", TaskRange::Chunk(0)),
        &records::TaskChunk::default(),
    );
    let found = StoreResponse::Found(KeyValue {
        version: 7,
        ..stored
    });
    let harness = Harness::new(vec![Err(CallError::NoAnswer), rejected()], found);
    assert_eq!((harness.chunk_reads, harness.batches.len()), (1, 2));
    assert_eq!(
        (harness.node.leading(), harness.launched_tasks.len()),
        (Some(1), TASK_COUNT as usize)
    );
}

/// Splitting does not help here, so the leader must pause between attempts.
#[test]
fn batch_that_is_always_rejected_is_not_retried_continuously() {
    let rejections = (0..1000).map(|_| rejected()).collect();
    let harness = Harness::new(rejections, StoreResponse::NotFound { revision: 3 });
    assert_eq!(harness.node.leading(), Some(1));
    assert!(
        harness.batches.len() < 40,
        "{} batches",
        harness.batches.len()
    );
}
