//! A controller with a store, a cloud and workers around it, small and without chance.
//! Every worker checks that no task starts while it is on another.

use dillcleat_controller::records::{self, OpenJob};
use dillcleat_controller::{
    CallError, CallId, Config, Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND,
    Timestamp,
};
use dillcleat_wire::cloud::{
    CloudRequest, CloudResponse, InstanceState, ListedMachine, MachineList,
};
use dillcleat_wire::cloud::{MachineType, ScaleOut};
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, Precondition, RangePage, StoreRequest, StoreResponse, Transaction,
    Value, WatchBatch, WatchEvent, encode_value,
};
use dillcleat_wire::user::{JobSpec, cancel_path};
use dillcleat_wire::worker::{
    Command, CommandBatch, ExitReason, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, TaskState,
    TaskStatus,
};
use dillcleat_wire::{TaskName, decode, encode};
use std::collections::BTreeMap;

pub const START: Micros = 1000 * SECOND;
const STEP: Micros = 100 * MILLISECOND;

#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<String, KeyValue>,
    events: Vec<(u64, String, WatchEvent)>,
    revision: u64,
}

impl Store {
    fn carry_out(&mut self, txn: &Transaction) -> StoreResponse {
        let version = |c: &&Precondition| self.rows.get(&c.key).map_or(0, |r| r.version);
        let unequal = txn.compare.iter().filter(|c| version(c) != c.version);
        let failed: Vec<String> = unequal.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict {
                failed,
                revision: self.revision,
            };
        }
        self.revision += 1;
        for change in &txn.then {
            self.change(change.clone());
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    fn change(&mut self, change: Mutation) {
        let version = self.revision;
        let (key, event) = match change {
            Mutation::Put { key, value, lease } => {
                let row = KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    version,
                    lease,
                };
                self.rows.insert(key.clone(), row);
                let put = WatchEvent::Put {
                    key: key.clone(),
                    value,
                    version,
                };
                (key, put)
            }
            Mutation::Delete { key } => {
                self.rows.remove(&key);
                (key.clone(), WatchEvent::Delete { key, version })
            }
        };
        self.events.push((version, key, event));
    }

    fn since(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let events = self.events.iter();
        let new = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        new.map(|(_, _, event)| event.clone()).collect()
    }
}

#[derive(Debug, Clone)]
struct Task {
    state: TaskState,
    why: Option<ExitReason>,
    ends: Micros,
}

#[derive(Debug)]
pub struct Worker {
    pub name: String,
    zone: String,
    spot: bool,
    cpus: f64,
    /// When it was rented, and when it is up.
    rented: Micros,
    up: Micros,
    pub session: u64,
    seq: u64,
    token: u64,
    tasks: BTreeMap<(TaskName, u64), Task>,
    leased_from: Micros,
    report_at: Micros,
    /// It reaches no controller; orders reach it.
    pub mute: bool,
    /// Answers and orders to it are lost.
    pub deaf: bool,
    /// Only orders to it are lost.
    pub blocked: bool,
    /// Orders arrive, and their answers come too late.
    pub slow: bool,
    /// It does nothing for now, and then goes on.
    pub hung: bool,
    /// Orders that came while it hung.
    held: Vec<CommandBatch>,
    /// Every task that starts here fails at once.
    pub faulty: bool,
}

impl Worker {
    fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        let tasks = self.tasks.iter();
        Heartbeat {
            machine: self.name.clone(),
            addr: format!("{}:9000", self.name),
            machine_type: "t".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            interruption_notice_s: None,
            tasks: tasks
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: t.state,
                    reason: t.why,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    /// A task runs here that nobody placed.
    pub fn seat(&mut self, task: &str) {
        let task = task.parse().expect("a task's name");
        let running = Task {
            state: TaskState::Running,
            why: None,
            ends: Micros::MAX,
        };
        self.tasks.insert((task, 1), running);
    }

    /// How many tasks run here.
    pub fn running(&self) -> usize {
        let running = |t: &&Task| t.state == TaskState::Running;
        self.tasks.values().filter(running).count()
    }

    /// Whether a task of the job runs here.
    pub fn runs(&self, job: &str) -> bool {
        let running = |t: &Task| t.state == TaskState::Running;
        let mut tasks = self.tasks.iter();
        tasks.any(|((task, _), t)| task.job == job && running(t))
    }
}

/// A task's start: when, where, which.
pub type Started = (Micros, String, String);

pub struct Fleet {
    pub config: Config,
    pub node: Node,
    pub at: Micros,
    pub workers: BTreeMap<String, Worker>,
    pub starts: Vec<Started>,
    pub deleted: Vec<(Micros, String)>,
    /// Tasks that ran on machines as these were deleted.
    pub killed: Vec<String>,
    /// No more tasks may run at once.
    pub limit: usize,
    /// What the cloud has left to rent, by zone and kind (spot or ordinary).
    pub stock: BTreeMap<(String, bool), u32>,
    pub boot: Micros,
    /// How far behind the list of machines is.
    pub list_lag: Micros,
    /// How long answers to transactions and to rentals take.
    pub write_lag: Micros,
    pub rent_lag: Micros,
    /// Neither store nor cloud answers.
    pub outage: bool,
    /// Reads of single keys.
    pub reads: usize,
    /// The cloud alone does not answer.
    pub cloud_out: bool,
    /// How long a task of a job runs.
    pub runs: BTreeMap<String, Micros>,
    types: Vec<MachineType>,
    store: Store,
    watches: Vec<(CallId, String, u64, Micros)>,
    /// What reaches the node, and when.
    under_way: Vec<(Micros, Input)>,
    named: u32,
    requests: u64,
}

impl Fleet {
    pub fn new(config: Config, types: Vec<MachineType>) -> Fleet {
        let mut store = Store::default();
        let record = records::MachineTypesRecord {
            types: types.clone(),
        };
        store.carry_out(&Transaction::default().put(records::TYPES, &record));
        Fleet {
            node: Node::new(config.clone()),
            config,
            at: START,
            workers: BTreeMap::new(),
            starts: Vec::new(),
            deleted: Vec::new(),
            killed: Vec::new(),
            limit: usize::MAX,
            stock: BTreeMap::new(),
            boot: 5 * SECOND,
            list_lag: 4 * SECOND,
            write_lag: 0,
            rent_lag: 0,
            outage: false,
            reads: 0,
            cloud_out: false,
            runs: BTreeMap::new(),
            types,
            store,
            watches: Vec::new(),
            under_way: Vec::new(),
            named: 0,
            requests: 0,
        }
    }

    fn cpus(&self) -> f64 {
        self.types[0].cpus
    }

    /// A machine that is there already.
    pub fn machine(&mut self, name: &str, zone: &str, spot: bool) -> &mut Worker {
        let at = self.at;
        let worker = Worker {
            name: name.into(),
            zone: zone.into(),
            spot,
            cpus: self.cpus(),
            rented: at,
            up: at,
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            leased_from: at,
            report_at: at,
            mute: false,
            deaf: false,
            blocked: false,
            slow: false,
            hung: false,
            held: Vec::new(),
            faulty: false,
        };
        self.workers.entry(name.into()).or_insert(worker)
    }

    pub fn worker(&mut self, name: &str) -> &mut Worker {
        self.workers.get_mut(name).expect("a machine of this name")
    }

    /// Another node has accepted the job.
    pub fn submit(&mut self, spec: JobSpec) {
        let open = OpenJob {
            submitted_at_us: self.at,
            chunk: 25,
            unmarked: true,
            parallelism_limit: None,
            spec,
        };
        let key = records::open_key(&open.spec.id);
        self.store
            .carry_out(&Transaction::default().put(key, &open));
    }

    /// A user cancels the job here; the answer's status.
    pub fn cancel(&mut self, id: &str) -> u16 {
        self.ask("POST", cancel_path(id), Vec::new())
    }

    /// What the store holds under a key.
    pub fn record(&self, key: &str) -> Option<Value> {
        self.store.rows.get(key).map(|r| r.value.clone())
    }

    /// Keys in the store that begin so.
    pub fn keys(&self, prefix: &str) -> usize {
        let keys = self.store.rows.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    /// Changes of such keys since the beginning.
    pub fn changes(&self, prefix: &str) -> usize {
        let events = self.store.events.iter();
        events.filter(|(_, key, _)| key.starts_with(prefix)).count()
    }

    /// A request reaches the node; the last of the answers that come at once.
    fn request(&mut self, method: &str, target: String, body: Vec<u8>) -> Option<(u16, Vec<u8>)> {
        self.requests += 1;
        let input = Input::Request {
            id: RequestId(self.requests),
            method: method.into(),
            target,
            body,
        };
        self.handle(input).pop()
    }

    /// A user's request at the node; the answer's status.
    pub fn ask(&mut self, method: &str, target: String, body: Vec<u8>) -> u16 {
        self.request(method, target, body).map_or(0, |a| a.0)
    }

    /// Sets a record as another node would.
    pub fn put<T: serde::Serialize>(&mut self, key: String, record: &T) {
        let change = Mutation::Put {
            key,
            value: encode_value(record),
            lease: None,
        };
        self.store.revision += 1;
        self.store.change(change);
    }

    /// The controller ends, and one begins anew that knows nothing.
    pub fn new_leader(&mut self) {
        self.node = Node::new(self.config.clone());
        self.watches.clear();
        self.under_way.clear();
    }

    /// Machines on which a task of the job runs.
    pub fn running(&self, job: &str) -> Vec<String> {
        let workers = self.workers.values().filter(|w| w.runs(job));
        workers.map(|w| w.name.clone()).collect()
    }

    /// CPUs that tasks take, by the prefix of their jobs' names.
    pub fn cpus_of(&self, jobs: &[&str]) -> usize {
        let tasks = self.workers.values().flat_map(|w| w.tasks.iter());
        let running = tasks.filter(|(_, t)| t.state == TaskState::Running);
        running
            .filter(|((task, _), _)| jobs.contains(&task.job.as_str()))
            .count()
    }

    pub fn starts_of(&self, job: &str) -> Vec<&Started> {
        let starts = self.starts.iter();
        starts
            .filter(|(_, _, task)| task.starts_with(job))
            .collect()
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Micros) {
        let end = self.at + time;
        while self.at < end {
            self.at += STEP;
            self.work();
            self.deliver();
            self.handle(Input::Tick);
            self.answer_watches();
            self.report();
        }
    }

    /// Leases run out, tasks end, and what was held up is carried out.
    fn work(&mut self) {
        let (at, lease) = (self.at, self.config.worker_lease);
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let w = self.worker(&name);
            if at > w.leased_from + lease {
                w.tasks.clear();
                w.session += 1;
                w.leased_from = at;
                w.report_at = at;
            }
            if w.hung || at < w.up {
                continue;
            }
            for task in w.tasks.values_mut() {
                if task.state == TaskState::Running && at >= task.ends {
                    task.state = TaskState::Exited;
                    task.why = Some(ExitReason::Done);
                    w.report_at = w.report_at.min(at + SECOND / 2);
                }
            }
            for orders in std::mem::take(&mut w.held) {
                self.ordered(&name, &orders);
            }
        }
    }

    fn deliver(&mut self) {
        let at = self.at;
        let (due, later) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|(due, _)| *due <= at);
        self.under_way = later;
        let due: Vec<(Micros, Input)> = due;
        for (_, input) in due {
            self.handle(input);
        }
    }

    fn answer_watches(&mut self) {
        let mut due = Vec::new();
        let (at, out, store) = (self.at, self.outage, &self.store);
        self.watches.retain(|(id, prefix, after, until)| {
            let events = store.since(prefix, *after);
            let answered = !out && (!events.is_empty() || at >= *until);
            if answered {
                let revision = store.revision;
                let reply = Ok(StoreResponse::WatchBatch(WatchBatch { revision, events }));
                due.push(Input::Store { id: *id, reply });
            }
            !answered
        });
        for input in due {
            self.handle(input);
        }
    }

    fn report(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let (at, every) = (self.at, self.config.heartbeat_interval);
            let w = self.worker(&name);
            if w.mute || w.hung || at < w.up || at < w.report_at {
                continue;
            }
            w.report_at = at + every;
            let body = encode(&w.report());
            let Some((200, body)) = self.request("POST", HEARTBEAT_PATH.into(), body) else {
                continue;
            };
            let answer: HeartbeatReply = decode(&body).expect("an answer to a report");
            let w = self.worker(&name);
            if w.deaf {
                // It waits for the answer, and then pauses.
                w.report_at = at + 5 * SECOND;
                continue;
            }
            if answer.fencing_token < w.token {
                continue;
            }
            if answer.fencing_token > w.token {
                w.token = answer.fencing_token;
                w.report_at = at + SECOND / 2;
            }
            w.leased_from = at;
            self.execute(&name, &answer.commands);
        }
    }

    fn execute(&mut self, name: &str, commands: &[Command]) {
        let at = self.at;
        for command in commands {
            match command {
                Command::Launch { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.worker(name).tasks.contains_key(&key) {
                        continue;
                    }
                    let on = |w: &Worker| {
                        let mut tasks = w.tasks.iter();
                        tasks.any(|((t, _), s)| t == task && s.state == TaskState::Running)
                    };
                    let others = self.workers.values().find(|w| on(w));
                    assert!(others.is_none(), "{task} starts twice, at {at}");
                    let runs = self.runs.get(&task.job).copied();
                    let ends = at + runs.unwrap_or(100_000 * SECOND);
                    let w = self.worker(name);
                    let faulty = w.faulty;
                    let task_now = Task {
                        state: match faulty {
                            true => TaskState::Exited,
                            false => TaskState::Running,
                        },
                        why: faulty.then_some(ExitReason::Error),
                        ends,
                    };
                    w.tasks.insert(key, task_now);
                    w.report_at = w.report_at.min(at + SECOND / 2);
                    assert!(w.running() as f64 <= w.cpus, "tasks of a CPU each");
                    self.starts.push((at, name.into(), task.to_string()));
                    let running = self.workers.values().map(Worker::running).sum::<usize>();
                    assert!(running <= self.limit, "{running} tasks run, at {at}");
                }
                Command::Stop { task, attempt, .. } => {
                    let w = self.worker(name);
                    if let Some(t) = w.tasks.get_mut(&(task.clone(), *attempt))
                        && t.state == TaskState::Running
                    {
                        t.state = TaskState::Exited;
                        t.why = Some(ExitReason::Stopped);
                        w.report_at = w.report_at.min(at + SECOND / 2);
                    }
                }
                Command::Reap { task, attempt } => {
                    let w = self.worker(name);
                    w.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }

    /// Orders reach a worker; status and body of its answer.
    fn ordered(&mut self, name: &str, orders: &CommandBatch) -> (u16, Vec<u8>) {
        let at = self.at;
        let w = self.worker(name);
        if orders.fencing_token < w.token || orders.incarnation != w.session {
            return (409, encode(&w.report()));
        }
        if orders.fencing_token > w.token {
            w.token = orders.fencing_token;
            w.report_at = w.report_at.min(at + SECOND / 2);
        }
        self.execute(name, &orders.commands);
        (200, encode(&self.worker(name).report()))
    }

    /// The node takes an input and all that is answered at once; the answers it gives.
    fn handle(&mut self, input: Input) -> Vec<(u16, Vec<u8>)> {
        let now = Timestamp {
            monotonic: self.at,
            wall: self.at,
        };
        let mut answers = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                match output {
                    Output::Answer { answer, .. } => answers.push((answer.status, answer.body)),
                    Output::Store { id, call, .. } => inputs.extend(self.state(id, &call)),
                    Output::Cloud { id, call, .. } => inputs.extend(self.cloud(id, call)),
                    Output::Commands {
                        id,
                        addr,
                        commands: orders,
                        timeout,
                    } => {
                        let name = addr.trim_end_matches(":9000").to_string();
                        let Some(w) = self.workers.get_mut(&name) else {
                            let reply = Err(CallError::NoAnswer);
                            self.under_way
                                .push((self.at + timeout, Input::Commands { id, reply }));
                            continue;
                        };
                        if w.deaf || w.blocked || w.hung || self.at < w.up {
                            if w.hung && !w.deaf && !w.blocked {
                                w.held.push(orders);
                            }
                            let reply = Err(CallError::NoAnswer);
                            self.under_way
                                .push((self.at + timeout, Input::Commands { id, reply }));
                            continue;
                        }
                        let slow = w.slow;
                        let answer = self.ordered(&name, &orders);
                        if slow {
                            let reply = Err(CallError::NoAnswer);
                            self.under_way
                                .push((self.at + timeout, Input::Commands { id, reply }));
                            continue;
                        }
                        let reply = Ok(answer);
                        inputs.push(Input::Commands { id, reply });
                    }
                    _ => {}
                }
            }
        }
        answers
    }

    fn state(&mut self, id: CallId, call: &StoreRequest) -> Option<Input> {
        let revision = self.store.revision;
        let prefixed = |prefix: &str| -> Vec<KeyValue> {
            let rows = self.store.rows.values();
            let of = rows.filter(|r| r.key.starts_with(prefix));
            of.cloned().collect()
        };
        if let StoreRequest::Watch {
            prefix,
            after,
            hold_ms,
        } = call
        {
            let until = self.at + hold_ms * MILLISECOND;
            self.watches.push((id, prefix.clone(), *after, until));
            return None;
        }
        if self.outage {
            let reply = Ok(StoreResponse::Unavailable);
            return Some(Input::Store { id, reply });
        }
        self.reads += usize::from(matches!(call, StoreRequest::Get { .. }));
        let reply = match call {
            StoreRequest::Get { key } => match self.store.rows.get(key) {
                Some(row) => StoreResponse::Found(row.clone()),
                None => StoreResponse::NotFound { revision },
            },
            StoreRequest::List { prefix, .. } => StoreResponse::RangePage(RangePage {
                rows: prefixed(prefix),
                more: false,
                revision,
            }),
            StoreRequest::Transaction(txn) => {
                let reply = self.store.carry_out(txn);
                if self.write_lag > 0 && !txn.then.is_empty() {
                    let reply = Ok(reply);
                    let input = Input::Store { id, reply };
                    self.under_way.push((self.at + self.write_lag, input));
                    return None;
                }
                reply
            }
            StoreRequest::GrantLease { .. } => StoreResponse::Lease {
                lease: LeaseId(revision),
            },
            StoreRequest::RevokeLease { lease } => {
                let bound = |r: &&KeyValue| r.lease == Some(*lease);
                let rows = self.store.rows.values().filter(bound);
                let keys: Vec<String> = rows.map(|r| r.key.clone()).collect();
                self.store.revision += 1;
                for key in keys {
                    self.store.change(Mutation::Delete { key });
                }
                StoreResponse::LeaseRenewedOrRevoked
            }
            StoreRequest::RenewLease { .. } => StoreResponse::LeaseRenewedOrRevoked,
            StoreRequest::Watch { .. } => return None,
        };
        Some(Input::Store {
            id,
            reply: Ok(reply),
        })
    }

    fn cloud(&mut self, id: CallId, call: CloudRequest) -> Option<Input> {
        if self.outage || self.cloud_out {
            let reply = Ok(CloudResponse::Refused { status: 503 });
            return Some(Input::Cloud { id, reply });
        }
        let mut lag = 0;
        let reply = match call {
            CloudRequest::Types => CloudResponse::Types(self.types.clone()),
            CloudRequest::ScaleOut(rent) => {
                lag = self.rent_lag;
                self.rent(&rent)
            }
            CloudRequest::Delete(names) => {
                for name in names {
                    let w = self.workers.remove(&name);
                    let tasks = w.into_iter().flat_map(|w| w.tasks.into_iter());
                    let running = tasks.filter(|(_, t)| t.state == TaskState::Running);
                    let running = running.map(|((task, _), _)| task.to_string());
                    self.killed.extend(running);
                    self.deleted.push((self.at, name));
                }
                CloudResponse::Deleted
            }
            CloudRequest::List { .. } => self.list(),
        };
        let input = Input::Cloud {
            id,
            reply: Ok(reply),
        };
        if lag > 0 {
            self.under_way.push((self.at + lag, input));
            return None;
        }
        Some(input)
    }

    fn rent(&mut self, rent: &ScaleOut) -> CloudResponse {
        let key = (rent.zone.clone(), rent.spot);
        let left = self.stock.entry(key).or_default();
        let count = rent.count.min(*left);
        *left -= count;
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let up = self.at + self.boot;
        let mut names = Vec::new();
        for _ in 0..count {
            self.named += 1;
            let name = format!("r{:02}", self.named);
            let w = self.machine(&name, &rent.zone, rent.spot);
            (w.up, w.leased_from, w.report_at) = (up, up, up);
            names.push(name);
        }
        CloudResponse::ScaledOut(names)
    }

    fn list(&self) -> CloudResponse {
        let then = self.at.saturating_sub(self.list_lag);
        let listed = self.workers.values().filter(|w| w.rented <= then);
        let machines = listed
            .map(|w| ListedMachine {
                name: w.name.clone(),
                addr: Some(format!("{}:9000", w.name)),
                machine_type: "t".into(),
                zone: w.zone.clone(),
                spot: w.spot,
                state: match w.up <= then {
                    true => InstanceState::Running,
                    false => InstanceState::Booting,
                },
                age_s: (then - w.rented) as f64 / SECOND as f64,
            })
            .collect();
        CloudResponse::Listed(MachineList {
            machines,
            more: false,
        })
    }
}
