//! A deterministic simulation of one node with a store, a cloud and workers. Fails the test
//! if a task is started while another attempt of it runs, or if the running tasks exceed a
//! machine's CPUs or `max_running_tasks`.

use dillcleat_controller::records::{self, OpenJob};
use dillcleat_controller::{
    CallError, CallId, Config, Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND,
    Timestamp,
};
use dillcleat_wire::cloud::{
    CloudRequest, CloudResponse, ListedMachine, MachineList, MachineState,
};
use dillcleat_wire::cloud::{MachineType, ScaleOut};
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, Precondition, RangePage, StoreRequest, StoreResponse, Transaction,
    Value, WatchBatch, WatchEvent,
};
use dillcleat_wire::user::{JobSpec, cancel_path};
use dillcleat_wire::worker::{
    Command, CommandBatch, ExitReason, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, TaskState,
    TaskStatus,
};
use dillcleat_wire::{TaskName, decode, encode};
use std::collections::BTreeMap;

pub const START: Micros = 1000 * SECOND;
const TICK_INTERVAL: Micros = 100 * MILLISECOND;

#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<String, KeyValue>,
    /// Revision, key and watch event of every mutation.
    events: Vec<(u64, String, WatchEvent)>,
    revision: u64,
}

impl Store {
    fn execute(&mut self, txn: &Transaction) -> StoreResponse {
        let version = |c: &&Precondition| self.rows.get(&c.key).map_or(0, |r| r.version);
        let mismatches = txn.compare.iter().filter(|c| version(c) != c.version);
        let failed: Vec<String> = mismatches.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict {
                failed,
                revision: self.revision,
            };
        }
        self.revision += 1;
        for mutation in &txn.then {
            self.apply(mutation.clone());
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    fn apply(&mut self, mutation: Mutation) {
        let version = self.revision;
        let (key, event) = match mutation {
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

    fn events_after(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let events = self.events.iter();
        let new = events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        new.map(|(_, _, event)| event.clone()).collect()
    }
}

#[derive(Debug, Clone)]
struct Task {
    state: TaskState,
    exit_reason: Option<ExitReason>,
    ends_at: Micros,
}

/// A machine and the worker process on it.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    zone: String,
    spot: bool,
    cpus: f64,
    requested_at: Micros,
    up_at: Micros,
    pub incarnation: u64,
    sequence: u64,
    /// The highest fencing token that the worker has accepted.
    pub fencing_token: u64,
    tasks: BTreeMap<(TaskName, u64), Task>,
    lease_renewed_at: Micros,
    next_heartbeat_at: Micros,
    /// The worker's heartbeats are lost; commands reach it.
    pub heartbeats_lost: bool,
    /// Commands to the worker and the replies to its heartbeats are lost.
    pub inbound_lost: bool,
    /// Only commands to the worker are lost.
    pub commands_lost: bool,
    /// Commands are executed, but the replies arrive after the timeout.
    pub command_replies_late: bool,
    /// The worker is suspended. When this is reset it continues, unless its lease has expired
    /// meanwhile: then it starts a new incarnation without tasks.
    pub suspended: bool,
    /// Commands that arrived while the worker was suspended.
    queued_commands: Vec<CommandBatch>,
    /// Every task that starts here fails immediately.
    pub faulty: bool,
}

impl Worker {
    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter();
        Heartbeat {
            machine: self.name.clone(),
            addr: format!("{}:9000", self.name),
            machine_type: "t".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            interruption_notice_s: None,
            tasks: tasks
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: t.state,
                    reason: t.exit_reason,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    /// Adds a running task that no leader has placed.
    pub fn add_unexpected_task(&mut self, task: &str) {
        let task = task.parse().expect("a task's name");
        let running = Task {
            state: TaskState::Running,
            exit_reason: None,
            ends_at: Micros::MAX,
        };
        self.tasks.insert((task, 1), running);
    }

    pub fn running_tasks(&self) -> usize {
        let running = |t: &&Task| t.state == TaskState::Running;
        self.tasks.values().filter(running).count()
    }

    /// The number of exited attempts that the worker has not been told to forget.
    pub fn exited_tasks(&self) -> usize {
        let exited = |t: &&Task| t.state == TaskState::Exited;
        self.tasks.values().filter(exited).count()
    }

    pub fn runs_job(&self, job: &str) -> bool {
        let running = |t: &Task| t.state == TaskState::Running;
        let mut tasks = self.tasks.iter();
        tasks.any(|((task, _), t)| task.job == job && running(t))
    }
}

/// Time, machine and task name of a task start.
pub type TaskStart = (Micros, String, String);

/// A command batch that a machine has executed.
#[derive(Debug, Clone)]
pub struct ExecutedBatch {
    pub machine: String,
    pub batch: CommandBatch,
}

pub struct Fleet {
    pub config: Config,
    pub node: Node,
    pub now: Micros,
    pub workers: BTreeMap<String, Worker>,
    pub starts: Vec<TaskStart>,
    /// The machine, task and number of every attempt that has started.
    pub attempt_starts: Vec<(String, TaskName, u64)>,
    pub executed_batches: Vec<ExecutedBatch>,
    pub deletions: Vec<(Micros, String)>,
    /// Tasks that were running on a machine at its deletion.
    pub killed_tasks: Vec<String>,
    /// The test fails if more tasks than this run at once.
    pub max_running_tasks: usize,
    /// Number of machines that the cloud can still start, by zone and whether they are spot
    /// machines.
    pub scale_out_capacity: BTreeMap<(String, bool), u32>,
    pub boot_time: Micros,
    /// Age of the state that the cloud lists.
    pub list_lag: Micros,
    /// Delay of the replies to transactions with mutations.
    pub write_lag: Micros,
    /// Delay of the replies to scale-outs.
    pub scale_out_lag: Micros,
    /// The store and the cloud refuse every call, and watches are not answered.
    pub outage: bool,
    /// Number of reads of single keys.
    pub single_key_reads: usize,
    /// The cloud refuses every call; the store does not.
    pub cloud_outage: bool,
    /// Run time of the tasks of a job, by job name; by default they do not end.
    pub task_durations: BTreeMap<String, Micros>,
    machine_types: Vec<MachineType>,
    store: Store,
    /// Call, prefix, start revision and deadline of each open watch.
    watches: Vec<(CallId, String, u64, Micros)>,
    /// Inputs that reach the node at a later time.
    delayed_inputs: Vec<(Micros, Input)>,
    scaled_out_count: u32,
    request_count: u64,
}

impl Fleet {
    pub fn new(config: Config, types: Vec<MachineType>) -> Fleet {
        let mut store = Store::default();
        let record = records::MachineTypesRecord {
            types: types.clone(),
        };
        store.execute(&Transaction::default().put(records::MACHINE_TYPES_KEY, &record));
        Fleet {
            node: Node::new(config.clone()),
            config,
            now: START,
            workers: BTreeMap::new(),
            starts: Vec::new(),
            attempt_starts: Vec::new(),
            executed_batches: Vec::new(),
            deletions: Vec::new(),
            killed_tasks: Vec::new(),
            max_running_tasks: usize::MAX,
            scale_out_capacity: BTreeMap::new(),
            boot_time: 5 * SECOND,
            list_lag: 4 * SECOND,
            write_lag: 0,
            scale_out_lag: 0,
            outage: false,
            single_key_reads: 0,
            cloud_outage: false,
            task_durations: BTreeMap::new(),
            machine_types: types,
            store,
            watches: Vec::new(),
            delayed_inputs: Vec::new(),
            scaled_out_count: 0,
            request_count: 0,
        }
    }

    fn cpus(&self) -> f64 {
        self.machine_types[0].cpus
    }

    /// Adds a machine that is already up.
    pub fn add_machine(&mut self, name: &str, zone: &str, spot: bool) -> &mut Worker {
        let now = self.now;
        let worker = Worker {
            name: name.into(),
            zone: zone.into(),
            spot,
            cpus: self.cpus(),
            requested_at: now,
            up_at: now,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            lease_renewed_at: now,
            next_heartbeat_at: now,
            heartbeats_lost: false,
            inbound_lost: false,
            commands_lost: false,
            command_replies_late: false,
            suspended: false,
            queued_commands: Vec::new(),
            faulty: false,
        };
        self.workers.entry(name.into()).or_insert(worker)
    }

    pub fn worker(&mut self, name: &str) -> &mut Worker {
        self.workers.get_mut(name).expect("a machine of this name")
    }

    /// Stores an open job, as a node does that accepts a submission.
    pub fn submit(&mut self, spec: JobSpec) {
        let open = OpenJob {
            submitted_at_us: self.now,
            tasks_per_chunk: 25,
            without_state_record: true,
            parallelism_limit: None,
            spec,
        };
        let key = records::open_job_key(&open.spec.id);
        self.store.execute(&Transaction::default().put(key, &open));
    }

    /// Cancels the job at the node and returns the status code of its response.
    pub fn cancel(&mut self, id: &str) -> u16 {
        self.user_request("POST", cancel_path(id), Vec::new())
    }

    pub fn stored_value(&self, key: &str) -> Option<Value> {
        self.store.rows.get(key).map(|r| r.value.clone())
    }

    /// Number of stored keys with this prefix.
    pub fn key_count(&self, prefix: &str) -> usize {
        let keys = self.store.rows.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    /// Number of mutations of keys with this prefix since the start.
    pub fn mutation_count(&self, prefix: &str) -> usize {
        let events = self.store.events.iter();
        events.filter(|(_, key, _)| key.starts_with(prefix)).count()
    }

    /// Passes a request to the node. Returns the last response that the node gives at once.
    fn request(&mut self, method: &str, target: String, body: Vec<u8>) -> Option<(u16, Vec<u8>)> {
        self.request_count += 1;
        let input = Input::Request {
            id: RequestId(self.request_count),
            method: method.into(),
            target,
            body,
        };
        self.handle(input).pop()
    }

    /// Sends a user request to the node. Returns the status code of the response, or 0 if the
    /// node does not respond at once.
    pub fn user_request(&mut self, method: &str, target: String, body: Vec<u8>) -> u16 {
        self.request(method, target, body).map_or(0, |a| a.0)
    }

    /// Replaces the node by a newly started one with empty memory, as after a failover.
    pub fn replace_leader(&mut self) {
        self.node = Node::new(self.config.clone());
        self.watches.clear();
        self.delayed_inputs.clear();
    }

    pub fn machines_running(&self, job: &str) -> Vec<String> {
        let workers = self.workers.values().filter(|w| w.runs_job(job));
        workers.map(|w| w.name.clone()).collect()
    }

    /// CPUs used by the running tasks of these jobs, at one CPU per task.
    pub fn cpus_used_by(&self, jobs: &[&str]) -> usize {
        let tasks = self.workers.values().flat_map(|w| w.tasks.iter());
        let running = tasks.filter(|(_, t)| t.state == TaskState::Running);
        running
            .filter(|((task, _), _)| jobs.contains(&task.job.as_str()))
            .count()
    }

    pub fn starts_of(&self, job: &str) -> Vec<&TaskStart> {
        let starts = self.starts.iter();
        starts
            .filter(|(_, _, task)| task.starts_with(job))
            .collect()
    }

    /// Advances the simulation by `duration`.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.run_workers();
            self.deliver_delayed_inputs();
            self.handle(Input::Tick);
            self.answer_watches();
            self.send_heartbeats();
        }
    }

    /// Handles lease expiry and the ends of tasks, and executes the commands that arrived
    /// while a worker was suspended.
    fn run_workers(&mut self) {
        let (now, lease) = (self.now, self.config.worker_lease);
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let w = self.worker(&name);
            if now > w.lease_renewed_at + lease {
                w.tasks.clear();
                w.incarnation += 1;
                w.lease_renewed_at = now;
                w.next_heartbeat_at = now;
            }
            if w.suspended || now < w.up_at {
                continue;
            }
            for task in w.tasks.values_mut() {
                if task.state == TaskState::Running && now >= task.ends_at {
                    task.state = TaskState::Exited;
                    task.exit_reason = Some(ExitReason::Done);
                    w.next_heartbeat_at = w.next_heartbeat_at.min(now + SECOND / 2);
                }
            }
            for batch in std::mem::take(&mut w.queued_commands) {
                self.receive_commands(&name, &batch);
            }
        }
    }

    fn deliver_delayed_inputs(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.delayed_inputs)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        self.delayed_inputs = later;
        let due: Vec<(Micros, Input)> = due;
        for (_, input) in due {
            self.handle(input);
        }
    }

    fn answer_watches(&mut self) {
        let mut due = Vec::new();
        let (now, outage, store) = (self.now, self.outage, &self.store);
        self.watches.retain(|(id, prefix, after, until)| {
            let events = store.events_after(prefix, *after);
            let answered = !outage && (!events.is_empty() || now >= *until);
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

    fn send_heartbeats(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let (now, interval) = (self.now, self.config.heartbeat_interval);
            let w = self.worker(&name);
            if w.heartbeats_lost || w.suspended || now < w.up_at || now < w.next_heartbeat_at {
                continue;
            }
            w.next_heartbeat_at = now + interval;
            let body = encode(&w.heartbeat());
            let Some((200, body)) = self.request("POST", HEARTBEAT_PATH.into(), body) else {
                continue;
            };
            let reply: HeartbeatReply = decode(&body).expect("a heartbeat reply");
            let w = self.worker(&name);
            if w.inbound_lost {
                // The worker waits for a reply until its timeout, then pauses.
                w.next_heartbeat_at = now + 5 * SECOND;
                continue;
            }
            if reply.fencing_token < w.fencing_token {
                continue;
            }
            if reply.fencing_token > w.fencing_token {
                w.fencing_token = reply.fencing_token;
                w.next_heartbeat_at = now + SECOND / 2;
            }
            w.lease_renewed_at = now;
            self.execute_commands(&name, &reply.commands);
        }
    }

    fn execute_commands(&mut self, name: &str, commands: &[Command]) {
        let now = self.now;
        for command in commands {
            match command {
                Command::Launch { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.worker(name).tasks.contains_key(&key) {
                        continue;
                    }
                    let runs_task = |w: &Worker| {
                        let mut tasks = w.tasks.iter();
                        tasks.any(|((t, _), s)| t == task && s.state == TaskState::Running)
                    };
                    let running_on = self.workers.values().find(|w| runs_task(w));
                    assert!(running_on.is_none(), "{task} starts a second time at {now}");
                    let duration = self.task_durations.get(&task.job).copied();
                    let ends_at = now + duration.unwrap_or(100_000 * SECOND);
                    let w = self.worker(name);
                    let faulty = w.faulty;
                    let new_task = Task {
                        state: match faulty {
                            true => TaskState::Exited,
                            false => TaskState::Running,
                        },
                        exit_reason: faulty.then_some(ExitReason::Error),
                        ends_at,
                    };
                    w.tasks.insert(key, new_task);
                    w.next_heartbeat_at = w.next_heartbeat_at.min(now + SECOND / 2);
                    assert!(w.running_tasks() as f64 <= w.cpus, "more tasks than CPUs");
                    self.starts.push((now, name.into(), task.to_string()));
                    self.attempt_starts
                        .push((name.into(), task.clone(), *attempt));
                    let running = self
                        .workers
                        .values()
                        .map(Worker::running_tasks)
                        .sum::<usize>();
                    assert!(
                        running <= self.max_running_tasks,
                        "{running} tasks run at {now}"
                    );
                }
                Command::Stop { task, attempt, .. } => {
                    let w = self.worker(name);
                    if let Some(t) = w.tasks.get_mut(&(task.clone(), *attempt))
                        && t.state == TaskState::Running
                    {
                        t.state = TaskState::Exited;
                        t.exit_reason = Some(ExitReason::Stopped);
                        w.next_heartbeat_at = w.next_heartbeat_at.min(now + SECOND / 2);
                    }
                }
                Command::Reap { task, attempt } => {
                    let w = self.worker(name);
                    w.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }

    /// Handles commands at a worker; returns status code and body of its reply.
    fn receive_commands(&mut self, name: &str, batch: &CommandBatch) -> (u16, Vec<u8>) {
        let now = self.now;
        let w = self.worker(name);
        if batch.fencing_token < w.fencing_token || batch.incarnation != w.incarnation {
            return (409, encode(&w.heartbeat()));
        }
        if batch.fencing_token > w.fencing_token {
            w.fencing_token = batch.fencing_token;
            w.next_heartbeat_at = w.next_heartbeat_at.min(now + SECOND / 2);
        }
        self.execute_commands(name, &batch.commands);
        self.executed_batches.push(ExecutedBatch {
            machine: name.into(),
            batch: batch.clone(),
        });
        (200, encode(&self.worker(name).heartbeat()))
    }

    /// Delivers a copy of every batch that a machine has executed, in order. Nobody receives
    /// the replies.
    pub fn deliver_batch_copies(&mut self) {
        let copies = std::mem::take(&mut self.executed_batches);
        for copy in &copies {
            if self.workers.contains_key(&copy.machine) {
                self.receive_commands(&copy.machine, &copy.batch);
            }
        }
        self.executed_batches = copies;
    }

    /// Passes an input to the node and executes its calls. Returns status code and body of the
    /// node's responses to requests.
    fn handle(&mut self, input: Input) -> Vec<(u16, Vec<u8>)> {
        let now = Timestamp {
            monotonic: self.now,
            wall: self.now,
        };
        let mut responses = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                match output {
                    Output::Answer { answer, .. } => responses.push((answer.status, answer.body)),
                    Output::Store { id, call, .. } => inputs.extend(self.store_call(id, &call)),
                    Output::Cloud { id, call, .. } => inputs.extend(self.cloud_call(id, call)),
                    Output::Commands {
                        id,
                        addr,
                        commands,
                        timeout,
                    } => {
                        let name = addr.trim_end_matches(":9000").to_string();
                        let Some(w) = self.workers.get_mut(&name) else {
                            let reply = Err(CallError::NoAnswer);
                            self.delayed_inputs
                                .push((self.now + timeout, Input::Commands { id, reply }));
                            continue;
                        };
                        if w.inbound_lost || w.commands_lost || w.suspended || self.now < w.up_at {
                            if w.suspended && !w.inbound_lost && !w.commands_lost {
                                w.queued_commands.push(commands);
                            }
                            let reply = Err(CallError::NoAnswer);
                            self.delayed_inputs
                                .push((self.now + timeout, Input::Commands { id, reply }));
                            continue;
                        }
                        let replies_late = w.command_replies_late;
                        let reply = self.receive_commands(&name, &commands);
                        if replies_late {
                            let reply = Err(CallError::NoAnswer);
                            self.delayed_inputs
                                .push((self.now + timeout, Input::Commands { id, reply }));
                            continue;
                        }
                        let reply = Ok(reply);
                        inputs.push(Input::Commands { id, reply });
                    }
                    _ => {}
                }
            }
        }
        responses
    }

    fn store_call(&mut self, id: CallId, call: &StoreRequest) -> Option<Input> {
        let revision = self.store.revision;
        let prefixed = |prefix: &str| -> Vec<KeyValue> {
            let rows = self.store.rows.values();
            let matching = rows.filter(|r| r.key.starts_with(prefix));
            matching.cloned().collect()
        };
        if let StoreRequest::Watch {
            prefix,
            after,
            hold_ms,
        } = call
        {
            let until = self.now + hold_ms * MILLISECOND;
            self.watches.push((id, prefix.clone(), *after, until));
            return None;
        }
        if self.outage {
            let reply = Ok(StoreResponse::Unavailable);
            return Some(Input::Store { id, reply });
        }
        self.single_key_reads += usize::from(matches!(call, StoreRequest::Get { .. }));
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
                let reply = self.store.execute(txn);
                if self.write_lag > 0 && !txn.then.is_empty() {
                    let reply = Ok(reply);
                    let input = Input::Store { id, reply };
                    self.delayed_inputs.push((self.now + self.write_lag, input));
                    return None;
                }
                reply
            }
            StoreRequest::GrantLease { .. } => StoreResponse::Lease {
                lease: LeaseId(revision),
            },
            StoreRequest::RevokeLease { lease } => {
                let bound_to_lease = |r: &&KeyValue| r.lease == Some(*lease);
                let rows = self.store.rows.values().filter(bound_to_lease);
                let keys: Vec<String> = rows.map(|r| r.key.clone()).collect();
                self.store.revision += 1;
                for key in keys {
                    self.store.apply(Mutation::Delete { key });
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

    fn cloud_call(&mut self, id: CallId, call: CloudRequest) -> Option<Input> {
        if self.outage || self.cloud_outage {
            let reply = Ok(CloudResponse::RateLimitedOrUnavailable { status: 503 });
            return Some(Input::Cloud { id, reply });
        }
        let mut lag = 0;
        let reply = match call {
            CloudRequest::Types => CloudResponse::Types(self.machine_types.clone()),
            CloudRequest::ScaleOut(request) => {
                lag = self.scale_out_lag;
                self.scale_out(&request)
            }
            CloudRequest::Delete(names) => {
                for name in names {
                    let w = self.workers.remove(&name);
                    let tasks = w.into_iter().flat_map(|w| w.tasks.into_iter());
                    let running = tasks.filter(|(_, t)| t.state == TaskState::Running);
                    let running = running.map(|((task, _), _)| task.to_string());
                    self.killed_tasks.extend(running);
                    self.deletions.push((self.now, name));
                }
                CloudResponse::Deleted
            }
            CloudRequest::List { .. } => self.list_machines(),
        };
        let input = Input::Cloud {
            id,
            reply: Ok(reply),
        };
        if lag > 0 {
            self.delayed_inputs.push((self.now + lag, input));
            return None;
        }
        Some(input)
    }

    fn scale_out(&mut self, request: &ScaleOut) -> CloudResponse {
        let key = (request.zone.clone(), request.spot);
        let left = self.scale_out_capacity.entry(key).or_default();
        let count = request.count.min(*left);
        *left -= count;
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let up = self.now + self.boot_time;
        let mut names = Vec::new();
        for _ in 0..count {
            self.scaled_out_count += 1;
            let name = format!("r{:02}", self.scaled_out_count);
            let w = self.add_machine(&name, &request.zone, request.spot);
            (w.up_at, w.lease_renewed_at, w.next_heartbeat_at) = (up, up, up);
            names.push(name);
        }
        CloudResponse::ScaledOut(names)
    }

    fn list_machines(&self) -> CloudResponse {
        let as_of = self.now.saturating_sub(self.list_lag);
        let listed = self.workers.values().filter(|w| w.requested_at <= as_of);
        let machines = listed
            .map(|w| ListedMachine {
                name: w.name.clone(),
                addr: Some(format!("{}:9000", w.name)),
                machine_type: "t".into(),
                zone: w.zone.clone(),
                spot: w.spot,
                state: match w.up_at <= as_of {
                    true => MachineState::Running,
                    false => MachineState::Booting,
                },
                age_s: (as_of - w.requested_at) as f64 / SECOND as f64,
            })
            .collect();
        CloudResponse::Listed(MachineList {
            machines,
            more: false,
        })
    }
}
