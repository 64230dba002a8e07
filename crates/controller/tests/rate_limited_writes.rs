//! The store refuses writes of the leader as over its limit of writes per second, which it has
//! lowered without notice or which others use up.

mod common;

use common::stepped_node::MemoryStore;
use common::{nth_term, row, timestamp};
use dillcleat_controller::records::{self, OpenJob};
use dillcleat_controller::{
    CallError, CallId, Config, Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND,
};
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, WatchBatch,
};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{
    Command, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};
use dillcleat_wire::{TaskName, decode, encode};
use std::collections::BTreeMap;

const JOBS: usize = 60;
const WRITES_PER_S: f64 = 80.0;
const LOWERED_WRITES_PER_S: f64 = 30.0;

/// What the store does with a transaction that writes task records.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Treatment {
    /// It is executed and answered, unless it exceeds the limit.
    Execute,
    /// It is refused as over the limit.
    Refuse,
    /// It gets no answer and is executed later, by `execute_late`.
    Delay,
}

/// A store with a limit of mutations per second.
struct LimitedStore {
    store: MemoryStore,
    /// The mutations that are accepted now, up to `burst`.
    tokens: f64,
    burst: f64,
    per_s: f64,
    refilled_at: Micros,
    refused: usize,
}

impl LimitedStore {
    fn execute(&mut self, now: Micros, transaction: &Transaction) -> StoreResponse {
        let added = (now - self.refilled_at) as f64 / SECOND as f64 * self.per_s;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = now;
        let mutations = transaction.then.len() as f64;
        if mutations > self.tokens {
            self.refused += 1;
            return StoreResponse::RateLimited;
        }
        self.tokens -= mutations;
        self.store
            .execute(&StoreRequest::Transaction(transaction.clone()))
    }
}

/// A leader with one machine and open jobs of one task each, which all fit on it.
struct Fixture {
    node: Node,
    now: Micros,
    store: LimitedStore,
    /// How the first writes of task records are treated. All later ones are executed.
    treatments: Vec<Treatment>,
    /// The transactions that write task records.
    task_writes: Vec<Transaction>,
    delayed: Option<Transaction>,
    /// The launched tasks, with their latest attempts. They run until the end.
    launched: BTreeMap<TaskName, u64>,
    open_watches: Vec<CallId>,
    /// The sequence of the machine's latest heartbeat.
    sequence: u64,
}

fn job_row(job: usize) -> KeyValue {
    let id = format!("req-{:06}", 100 + job);
    let open = OpenJob {
        spec: JobSpec {
            team: "t".into(),
            spot: false,
            ..JobSpec::plain(&id, JobKind::Batch, 1, 0.5)
        },
        submitted_at_us: 1,
        tasks_per_chunk: 25,
        without_state_record: true,
        parallelism_limit: None,
    };
    row(records::open_job_key(&id), &open)
}

fn writes_tasks(transaction: &Transaction) -> bool {
    transaction.then.iter().any(|mutation| {
        matches!(mutation, Mutation::Put { key, .. } if key.starts_with(records::TASKS_PREFIX))
    })
}

impl Fixture {
    fn new(treatments: Vec<Treatment>) -> Fixture {
        let config = Config {
            current_store_write_rps: WRITES_PER_S,
            store_write_rps: LOWERED_WRITES_PER_S,
            max_txn_ops: 48,
            ..common::config_with_team()
        };
        Fixture {
            node: Node::new(config),
            now: 1000 * SECOND,
            store: LimitedStore {
                store: MemoryStore::default(),
                tokens: LOWERED_WRITES_PER_S,
                burst: LOWERED_WRITES_PER_S,
                per_s: LOWERED_WRITES_PER_S,
                refilled_at: 1000 * SECOND,
                refused: 0,
            },
            treatments,
            task_writes: Vec::new(),
            delayed: None,
            launched: BTreeMap::new(),
            open_watches: Vec::new(),
            sequence: 0,
        }
    }

    /// Runs the node, with a tick every 50 ms, and answers to watches and a heartbeat every two
    /// seconds.
    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            if self.now.is_multiple_of(2 * SECOND) {
                self.answer_watches();
                self.send_heartbeat();
            }
            self.handle(Input::Tick);
            self.now += 50 * MILLISECOND;
        }
    }

    /// Answers all open watches: there are no changes.
    fn answer_watches(&mut self) {
        for id in std::mem::take(&mut self.open_watches) {
            let reply = Ok(StoreResponse::WatchBatch(WatchBatch {
                revision: 0,
                events: Vec::new(),
            }));
            self.handle(Input::Store { id, reply });
        }
    }

    /// The machine's next heartbeat.
    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.launched.iter().map(|(task, attempt)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: TaskState::Running,
            reason: None,
            checkpoint_saved: None,
        });
        common::heartbeat(self.sequence, tasks.collect())
    }

    fn send_heartbeat(&mut self) {
        let heartbeat = self.heartbeat();
        self.handle(Input::Request {
            id: RequestId(self.sequence),
            method: "POST".into(),
            target: HEARTBEAT_PATH.into(),
            body: encode(&heartbeat),
        });
    }

    /// Executes the transaction that got no answer.
    fn execute_late(&mut self) -> StoreResponse {
        let transaction = self.delayed.take().expect("a delayed transaction");
        self.store.execute(self.now, &transaction)
    }

    fn handle(&mut self, input: Input) {
        let now = timestamp(self.now);
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                match output {
                    Output::Store { id, call, .. } => inputs.extend(self.store_call(id, call)),
                    Output::Commands { id, commands, .. } => {
                        self.record_launches(&commands.commands);
                        let reply = Ok((200, encode(&self.heartbeat())));
                        inputs.push(Input::Commands { id, reply });
                    }
                    Output::Answer { answer, .. } => {
                        if let Ok(reply) = decode::<HeartbeatReply>(&answer.body) {
                            self.record_launches(&reply.commands);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn record_launches(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, attempt, .. } = command {
                self.launched.insert(task.clone(), *attempt);
            }
        }
    }

    fn store_call(&mut self, id: CallId, call: StoreRequest) -> Option<Input> {
        let reply = match call {
            StoreRequest::Watch { .. } => {
                self.open_watches.push(id);
                return None;
            }
            StoreRequest::List { prefix, .. } => Ok(StoreResponse::RangePage(RangePage {
                rows: match prefix.as_str() {
                    records::SHARED_PREFIX => vec![common::machine_types_row(64.0)],
                    records::MACHINES_PREFIX => vec![common::machine_row("m", "a")],
                    records::QUEUE_PREFIX => (0..JOBS).map(job_row).collect(),
                    _ => Vec::new(),
                },
                more: false,
                revision: 0,
            })),
            StoreRequest::GrantLease { .. } => Ok(StoreResponse::Lease { lease: LeaseId(1) }),
            StoreRequest::Transaction(transaction) => self.transaction(transaction),
            StoreRequest::Get { .. } => Ok(self.store.store.execute(&call)),
            _ => Ok(StoreResponse::LeaseRenewedOrRevoked),
        };
        Some(Input::Store { id, reply })
    }

    fn transaction(&mut self, transaction: Transaction) -> Result<StoreResponse, CallError> {
        if !writes_tasks(&transaction) {
            return Ok(self.store.execute(self.now, &transaction));
        }
        let treatment = match self.treatments.is_empty() {
            true => Treatment::Execute,
            false => self.treatments.remove(0),
        };
        self.task_writes.push(transaction.clone());
        match treatment {
            Treatment::Execute => Ok(self.store.execute(self.now, &transaction)),
            Treatment::Refuse => Ok(StoreResponse::RateLimited),
            Treatment::Delay => {
                self.delayed = Some(transaction);
                Err(CallError::NoAnswer)
            }
        }
    }

    /// Asserts that the leader has launched every task in its first term.
    fn assert_all_launched(&self) {
        assert_eq!(self.node.leading(), Some(nth_term(1)));
        assert_eq!(self.launched.len(), JOBS, "{} refused", self.store.refused);
    }
}

/// Guards against review/5: the store lowered its limit, and the leader sent a batch of more
/// mutations than the lower limit ever allows again and again, so that it wrote nothing else.
#[test]
fn writes_are_stored_after_the_rate_limit_was_lowered() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.run(10 * SECOND);
    fixture.assert_all_launched();
}

/// The limit is used up by others, so that only small transactions are accepted.
#[test]
fn rate_limited_writes_are_sent_again_in_smaller_batches() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.store.burst = 2.0;
    fixture.run(20 * SECOND);
    fixture.assert_all_launched();
}

/// The first three attempts are refused. The writes stay in their order.
#[test]
fn refused_writes_are_sent_again_after_a_pause() {
    let mut fixture = Fixture::new(vec![Treatment::Refuse; 3]);
    fixture.run(20 * SECOND);
    fixture.assert_all_launched();
    let first_key = |transaction: &Transaction| transaction.compare[1].key.clone();
    let keys: Vec<String> = fixture.task_writes.iter().map(first_key).collect();
    assert!(keys[..4].iter().all(|key| *key == keys[0]), "{keys:?}");
}

/// An attempt without an answer may be executed late, after the refusal of the next one. Until
/// then the leader repeats it as it is: other writes of the same records would conflict with it.
#[test]
fn refused_batch_is_not_changed_while_an_earlier_attempt_may_be_executed() {
    let refusals = vec![Treatment::Refuse; 100];
    let treatments = [vec![Treatment::Delay], refusals].concat();
    let mut fixture = Fixture::new(treatments);
    fixture.run(4 * SECOND);
    assert!(fixture.launched.is_empty());
    let [first, repeated @ ..] = &fixture.task_writes[..] else {
        panic!("no writes");
    };
    assert!(repeated.len() > 10, "{} attempts", repeated.len());
    assert!(repeated.iter().all(|transaction| transaction == first));
    // The repeated batch complies with the lowered limit.
    assert!((first.then.len() as f64) < LOWERED_WRITES_PER_S);
    let executed = fixture.execute_late();
    assert!(matches!(executed, StoreResponse::Committed { .. }));
    fixture.treatments.clear();
    fixture.run(20 * SECOND);
    fixture.assert_all_launched();
}

/// As above, if the late attempt is never executed.
#[test]
fn refused_batch_is_stored_if_an_earlier_attempt_was_lost() {
    let treatments = vec![Treatment::Delay, Treatment::Refuse, Treatment::Refuse];
    let mut fixture = Fixture::new(treatments);
    fixture.run(10 * SECOND);
    fixture.assert_all_launched();
    let late = fixture.execute_late();
    assert!(matches!(late, StoreResponse::Conflict { .. }));
}
