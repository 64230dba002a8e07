//! Nodes and a store driven call by call: when a call is carried out and when its answer
//! comes is up to the test.

use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{
    CallError, CallId, Config, Input, Micros, Node, Output, RequestId, Timestamp,
};
use dillcleat_wire::store::{
    KeyValue, Mutation, Precondition, RangePage, StoreRequest, StoreResponse, Transaction, Value,
    encode_value,
};
use dillcleat_wire::user::{
    JOBS_PATH, JobKind, JobSpec, JobState, JobStatus, cancel_path, poll_path,
};
use dillcleat_wire::{decode, encode};
use std::collections::BTreeMap;

/// The state service: what it holds, key to version and value.
#[derive(Debug, Default)]
pub struct Store {
    pub rows: BTreeMap<String, (u64, Value)>,
    revision: u64,
}

impl Store {
    fn row(&self, key: &str) -> Option<KeyValue> {
        let (version, value) = self.rows.get(key)?;
        Some(KeyValue {
            key: key.into(),
            value: value.clone(),
            version: *version,
            lease: None,
        })
    }

    pub fn carry_out(&mut self, call: &StoreRequest) -> StoreResponse {
        let revision = self.revision;
        let txn = match call {
            StoreRequest::Get { key } => {
                let absent = StoreResponse::NotFound { revision };
                return self.row(key).map_or(absent, StoreResponse::Found);
            }
            StoreRequest::Transaction(txn) => txn,
            other => panic!("unexpected {other:?}"),
        };
        let version = |c: &&Precondition| self.rows.get(&c.key).map_or(0, |(v, _)| *v);
        let unequal = txn.compare.iter().filter(|c| version(c) != c.version);
        let failed: Vec<String> = unequal.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict { failed, revision };
        }
        self.revision += 1;
        for change in &txn.then {
            match change {
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

    /// A job's mark, if it has one.
    pub fn mark(&self, id: &str) -> Option<RecordedState> {
        let row = self.row(&records::job_key(id))?;
        row.decode_value::<JobStateRecord>().map(|mark| mark.state)
    }

    /// What a leader writes once a job's last task is done.
    pub fn done(&mut self, id: &str) -> StoreResponse {
        let mark = JobStateRecord {
            state: RecordedState::Done,
            task_count: 2,
        };
        let txn = Transaction::default()
            .compare(records::job_key(id), 0)
            .put(records::job_key(id), &mark)
            .delete(records::open_key(id));
        self.carry_out(&StoreRequest::Transaction(txn))
    }

    /// What a leader writes once the tasks of a cancelled job are gone.
    pub fn clear(&mut self, id: &str) {
        let txn = Transaction::default()
            .delete(records::open_key(id))
            .delete(records::cancelled_key(id));
        self.carry_out(&StoreRequest::Transaction(txn));
    }
}

/// An answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    pub request: u64,
    pub status: u16,
    pub state: Option<JobState>,
}

/// A node whose calls about jobs wait for the test to carry them out and answer them.
#[derive(Debug)]
pub struct Driven {
    pub node: Node,
    pub at: Micros,
    pub sent: Vec<(CallId, StoreRequest)>,
    pub told: Vec<Answered>,
    /// The row of machine types that it reads.
    pub types: KeyValue,
    requests: u64,
}

impl Driven {
    pub fn new(config: Config, at: Micros) -> Driven {
        Driven {
            node: Node::new(config),
            at,
            sent: Vec::new(),
            told: Vec::new(),
            types: super::machine_types_row(8.0),
            requests: 0,
        }
    }

    /// One that has read the machine types.
    pub fn ready(config: Config, at: Micros) -> Driven {
        let mut driven = Driven::new(config, at);
        driven.tick();
        driven
    }

    pub fn feed(&mut self, input: Input) {
        let now = Timestamp {
            monotonic: self.at,
            wall: self.at,
        };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                match output {
                    Output::Answer { id, answer } => self.told.push(Answered {
                        request: id.0,
                        status: answer.status,
                        state: decode::<JobStatus>(&answer.body).ok().map(|s| s.state),
                    }),
                    Output::Store { id, call, .. } => match call {
                        StoreRequest::List { .. } => inputs.push(Input::Store {
                            id,
                            reply: Ok(StoreResponse::RangePage(RangePage {
                                rows: vec![self.types.clone()],
                                more: false,
                                revision: 1,
                            })),
                        }),
                        StoreRequest::Get { .. } | StoreRequest::Transaction(_)
                            if about_a_job(&call) =>
                        {
                            self.sent.push((id, call));
                        }
                        _ => {}
                    },
                    _ => {}
                }
            }
        }
    }

    pub fn tick(&mut self) {
        self.feed(Input::Tick);
    }

    pub fn request(&mut self, method: &str, target: String, body: Vec<u8>) -> u64 {
        self.requests += 1;
        self.feed(Input::Request {
            id: RequestId(self.requests),
            method: method.into(),
            target,
            body,
        });
        self.requests
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

    /// The oldest call that waits.
    pub fn take(&mut self) -> (CallId, StoreRequest) {
        assert!(!self.sent.is_empty(), "no call waits");
        self.sent.remove(0)
    }

    pub fn reply(&mut self, id: CallId, reply: Result<StoreResponse, CallError>) {
        self.feed(Input::Store { id, reply });
    }

    /// Carries out the oldest call that waits, and answers it at once.
    pub fn serve(&mut self, store: &mut Store) {
        let (id, call) = self.take();
        self.reply(id, Ok(store.carry_out(&call)));
    }

    /// The same until none waits.
    pub fn settle(&mut self, store: &mut Store) {
        while !self.sent.is_empty() {
            self.serve(store);
        }
    }

    /// The oldest call that waits is carried out, and its answer is lost.
    pub fn lose(&mut self, store: &mut Store) {
        let (id, call) = self.take();
        store.carry_out(&call);
        self.reply(id, Err(CallError::NoAnswer));
    }

    /// What a request was answered, if it was.
    pub fn answer(&self, request: u64) -> Option<(u16, Option<JobState>)> {
        let mut of = self.told.iter().filter(|a| a.request == request);
        let answer = of.next().map(|a| (a.status, a.state));
        assert_eq!(of.next(), None, "answered twice");
        answer
    }
}

fn about_a_job(call: &StoreRequest) -> bool {
    let is = |key: &str| key.starts_with("j/") || key.starts_with(records::OPEN);
    match call {
        StoreRequest::Get { key } => is(key),
        StoreRequest::Transaction(txn) => txn.compare.iter().any(|c| is(&c.key)),
        _ => false,
    }
}

pub fn spec(id: &str) -> JobSpec {
    JobSpec::plain(id, JobKind::Batch, 2, 1.0)
}

/// A submission with one field replaced, or left out.
pub fn with(id: &str, name: &str, field: Option<Value>) -> Vec<u8> {
    let Value::Map(mut fields) = encode_value(&spec(id)) else {
        panic!("a submission is a map");
    };
    fields.retain(|(key, _)| key.as_str() != Some(name));
    fields.extend(field.map(|field| (name.into(), field)));
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Map(fields)).expect("memory");
    bytes
}
