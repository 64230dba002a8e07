//! A node and an in-memory store. The test decides when each store call about a job is
//! executed and answered; other listings are answered at once, other calls never.

use super::timestamp;
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{CallError, CallId, Config, Input, Micros, Node, Output, RequestId};
use dillcleat_wire::store::{
    KeyValue, MAX_KEYS_PER_PAGE, Mutation, Precondition, RangePage, StoreRequest, StoreResponse,
    Transaction, Value, encode_value,
};
use dillcleat_wire::user::{
    JOBS_PATH, JobKind, JobSpec, JobState, JobStatus, cancel_path, poll_path,
};
use dillcleat_wire::{decode, encode};
use std::collections::BTreeMap;

/// A key-value store with compare-and-swap transactions.
#[derive(Debug, Default)]
pub struct MemoryStore {
    /// Version and value by key.
    pub rows: BTreeMap<String, (u64, Value)>,
    revision: u64,
}

impl MemoryStore {
    fn row(&self, key: &str) -> Option<KeyValue> {
        let (version, value) = self.rows.get(key)?;
        Some(KeyValue {
            key: key.into(),
            value: value.clone(),
            version: *version,
            lease: None,
        })
    }

    /// The first page of the keys with this prefix after `after`.
    fn page(&self, prefix: &str, after: Option<&str>) -> RangePage {
        let is_listed = |key: &&String| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        };
        let mut keys = self.rows.keys().filter(is_listed);
        let rows = keys.by_ref().take(MAX_KEYS_PER_PAGE as usize);
        RangePage {
            rows: rows.filter_map(|key| self.row(key)).collect(),
            more: keys.next().is_some(),
            revision: self.revision,
        }
    }

    pub fn execute(&mut self, call: &StoreRequest) -> StoreResponse {
        let revision = self.revision;
        let txn = match call {
            StoreRequest::Get { key } => {
                let absent = StoreResponse::NotFound { revision };
                return self.row(key).map_or(absent, StoreResponse::Found);
            }
            StoreRequest::List { prefix, after } => {
                return StoreResponse::RangePage(self.page(prefix, after.as_deref()));
            }
            StoreRequest::Transaction(txn) => txn,
            other => panic!("unexpected {other:?}"),
        };
        let version = |c: &&Precondition| self.rows.get(&c.key).map_or(0, |(v, _)| *v);
        let mismatches = txn.compare.iter().filter(|c| version(c) != c.version);
        let failed: Vec<String> = mismatches.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict { failed, revision };
        }
        self.revision += 1;
        for mutation in &txn.then {
            match mutation {
                Mutation::Put { key, value, .. } => {
                    self.rows
                        .insert(key.clone(), (self.revision, value.clone()));
                }
                Mutation::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    /// Stores a record, whatever is there.
    pub fn put<T: serde::Serialize>(&mut self, key: String, record: &T) {
        let txn = Transaction::default().put(key, record);
        self.execute(&StoreRequest::Transaction(txn));
    }

    /// The state in the job's state record, if it has one.
    pub fn recorded_state(&self, id: &str) -> Option<RecordedState> {
        let row = self.row(&records::job_state_key(id))?;
        row.decode_value::<JobStateRecord>()
            .map(|record| record.state)
    }

    /// Executes the transaction by which a leader ends a job whose last task is done.
    pub fn record_done(&mut self, id: &str) -> StoreResponse {
        let record = JobStateRecord {
            state: RecordedState::Done,
            task_count: 2,
        };
        let txn = Transaction::default()
            .compare(records::job_state_key(id), 0)
            .put(records::job_state_key(id), &record)
            .delete(records::open_job_key(id));
        self.execute(&StoreRequest::Transaction(txn))
    }

    /// Executes the transaction by which a leader deletes the records of a cancelled job that
    /// has no tasks left.
    pub fn delete_cancelled_records(&mut self, id: &str) {
        let txn = Transaction::default()
            .delete(records::open_job_key(id))
            .delete(records::cancelled_job_key(id));
        self.execute(&StoreRequest::Transaction(txn));
    }
}

/// An answer to a user request.
#[derive(Debug, Clone, PartialEq)]
pub struct UserAnswer {
    pub request: u64,
    pub status: u16,
    pub state: Option<JobState>,
}

/// A node whose store calls about jobs stay pending until the test executes and answers
/// them.
#[derive(Debug)]
pub struct SteppedNode {
    pub node: Node,
    pub now: Micros,
    pub pending_calls: Vec<(CallId, StoreRequest)>,
    pub answers: Vec<UserAnswer>,
    /// The row that every listing returns, other than those of jobs.
    pub machine_types_row: KeyValue,
    request_count: u64,
}

impl SteppedNode {
    pub fn new(config: Config, now: Micros) -> SteppedNode {
        SteppedNode {
            node: Node::new(config),
            now,
            pending_calls: Vec::new(),
            answers: Vec::new(),
            machine_types_row: super::machine_types_row(8.0),
            request_count: 0,
        }
    }

    /// A node that has read the machine types.
    pub fn with_machine_types(config: Config, now: Micros) -> SteppedNode {
        let mut node = SteppedNode::new(config, now);
        node.tick();
        node
    }

    pub fn handle(&mut self, input: Input) {
        let now = timestamp(self.now);
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                match output {
                    Output::Answer { id, answer } => self.answers.push(UserAnswer {
                        request: id.0,
                        status: answer.status,
                        state: decode::<JobStatus>(&answer.body).ok().map(|s| s.state),
                    }),
                    Output::Store { id, call, .. } => match call {
                        _ if concerns_a_job(&call) => self.pending_calls.push((id, call)),
                        StoreRequest::List { .. } => inputs.push(Input::Store {
                            id,
                            reply: Ok(StoreResponse::RangePage(RangePage {
                                rows: vec![self.machine_types_row.clone()],
                                more: false,
                                revision: 1,
                            })),
                        }),
                        _ => {}
                    },
                    _ => {}
                }
            }
        }
    }

    pub fn tick(&mut self) {
        self.handle(Input::Tick);
    }

    pub fn request(&mut self, method: &str, target: String, body: Vec<u8>) -> u64 {
        self.request_count += 1;
        self.handle(Input::Request {
            id: RequestId(self.request_count),
            method: method.into(),
            target,
            body,
        });
        self.request_count
    }

    pub fn poll(&mut self, id: &str) -> u64 {
        self.request("GET", poll_path(id), Vec::new())
    }

    pub fn cancel(&mut self, id: &str) -> u64 {
        self.request("POST", cancel_path(id), Vec::new())
    }

    pub fn submit(&mut self, spec: &JobSpec) -> u64 {
        self.request("POST", JOBS_PATH.into(), encode(spec))
    }

    /// Removes and returns the oldest pending call.
    pub fn take_call(&mut self) -> (CallId, StoreRequest) {
        assert!(!self.pending_calls.is_empty(), "no call is pending");
        self.pending_calls.remove(0)
    }

    pub fn reply(&mut self, id: CallId, reply: Result<StoreResponse, CallError>) {
        self.handle(Input::Store { id, reply });
    }

    /// Executes the oldest pending call and answers it at once.
    pub fn execute_next(&mut self, store: &mut MemoryStore) {
        let (id, call) = self.take_call();
        self.reply(id, Ok(store.execute(&call)));
    }

    /// Executes and answers pending calls until there are none.
    pub fn execute_all(&mut self, store: &mut MemoryStore) {
        while !self.pending_calls.is_empty() {
            self.execute_next(store);
        }
    }

    /// Executes the oldest pending call and fails it with `NoAnswer`.
    pub fn execute_and_lose_reply(&mut self, store: &mut MemoryStore) {
        let (id, call) = self.take_call();
        store.execute(&call);
        self.reply(id, Err(CallError::NoAnswer));
    }

    /// Status code and job state of the answer to a user request, or `None` if there is none yet.
    pub fn answer(&self, request: u64) -> Option<(u16, Option<JobState>)> {
        let mut answers = self.answers.iter().filter(|a| a.request == request);
        let answer = answers.next().map(|a| (a.status, a.state));
        assert_eq!(answers.next(), None, "answered twice");
        answer
    }
}

/// Whether the call reads or compares records of a job.
pub fn concerns_a_job(call: &StoreRequest) -> bool {
    let is_job_key =
        |key: &str| key.starts_with("j/") || key.starts_with(records::OPEN_JOBS_PREFIX);
    match call {
        StoreRequest::Get { key } => is_job_key(key),
        StoreRequest::List { prefix, .. } => is_job_key(prefix),
        StoreRequest::Transaction(txn) => txn.compare.iter().any(|c| is_job_key(&c.key)),
        _ => false,
    }
}

pub fn job_spec(id: &str) -> JobSpec {
    JobSpec::plain(id, JobKind::Batch, 2, 1.0)
}

/// An encoded submission in which one field is replaced, or removed if `field` is `None`.
pub fn submission_with_field(id: &str, name: &str, field: Option<Value>) -> Vec<u8> {
    let Value::Map(mut fields) = encode_value(&job_spec(id)) else {
        panic!("a submission is a map");
    };
    fields.retain(|(key, _)| key.as_str() != Some(name));
    fields.extend(field.map(|field| (name.into(), field)));
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Map(fields)).expect("memory");
    bytes
}
