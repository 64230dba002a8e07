//! One controller alone with a large fleet: what its work costs by kind of
//! input, how long a new leader takes, and what a whole fleet that reports at
//! once does to it.
//!
//! The fleet runs already when the controller starts: machines, jobs and
//! placements are in the store, as an earlier leader would have left them. The
//! cloud has no more machines to give. Every job that ends is followed by
//! another, so the number of waiting tasks stays about what it was.

use crate::cloud::{Cloud, Host};
use crate::rules::MachineIdentity;
use crate::store::{PageLimit, SimulatedStore, Watches};
use crate::worker::{PATIENCE, TaskBehaviour, Worker, WorkerEvent};
use dillcleat_controller::config::StartObjective;
use dillcleat_controller::records::{
    self, MachineRecord, MachineTypesRecord, OpenJob, PlacedTask, TaskRecord,
};
use dillcleat_controller::{
    Answer, CallError, CallId, Config, Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND,
    SchedulerCounters, Timestamp, Tuning,
};
use dillcleat_wire::TaskName;
use dillcleat_wire::cloud::{CloudRequest, MachineType};
use dillcleat_wire::settings::Team;
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, Priority};
use dillcleat_wire::worker::{Command, CommandBatch, HEARTBEAT_PATH, HeartbeatReply};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Instant;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const TEAMS: usize = 12;
const TYPE: &str = "sixteen";
const CPUS: f64 = 16.0;
/// Tasks of an array, on average, and replicas of a service.
const ARRAY: u32 = 60;
const REPLICAS: u32 = 8;
/// Of so many machines one is ordinary and runs replicas.
const ORDINARY: u32 = 5;
const REPORT: Micros = 5 * SECOND;
const LEASE: Micros = 26 * SECOND;
const CANCEL: Micros = 56 * SECOND;
const STATE_TIME: Micros = 5 * MILLISECOND;
const CLOUD_TIME: Micros = 80 * MILLISECOND;
const NETWORK_TIME: Micros = MILLISECOND;
const WALL: Micros = 1_700_000_000 * SECOND;

/// What is played.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    pub seed: u64,
    pub machines: u32,
    /// Tasks that fit on one machine; all of them run at the start.
    pub slots: u32,
    /// Tasks that wait for room, about.
    pub waiting: u32,
    /// Jobs that wait for another, which runs on.
    pub held: u32,
    /// Mean run time of an array's task.
    pub run: Micros,
    /// Time before anything is measured, and while it is.
    pub warm_up: Micros,
    pub measured: Micros,
    /// What the state service takes a second: requests and changes.
    pub state_rps: f64,
    pub state_write_rps: f64,
    /// The part of a processor that the controller has. None: its work takes no
    /// simulated time, and equal seeds give equal runs.
    pub cpu_share: Option<f64>,
    /// From when on and for how long nobody's report gets an answer.
    pub silence: Option<(Micros, Micros)>,
}

impl FleetSettings {
    /// A fleet with the state service's limits in proportion to it, as at one
    /// of a thousand machines.
    pub fn of(machines: u32) -> FleetSettings {
        FleetSettings {
            seed: 1,
            machines,
            slots: 10,
            waiting: machines * 10,
            held: 0,
            run: 100 * SECOND,
            warm_up: 10 * SECOND,
            measured: 20 * SECOND,
            state_rps: f64::from(machines) * 0.5,
            state_write_rps: f64::from(machines) * 0.2,
            cpu_share: None,
            silence: None,
        }
    }
}

/// What a run has come to.
#[derive(Debug, Default)]
pub struct FleetMeasurements {
    /// Time of each input while measured, in nanoseconds, by kind.
    pub inputs: BTreeMap<&'static str, Vec<u64>>,
    /// The same of the inputs before: the election, the load, the first orders.
    pub before: BTreeMap<&'static str, Vec<u64>>,
    /// Launches and completions while measured.
    pub starts: u64,
    pub ends: u64,
    pub state_calls: u64,
    pub state_bytes: u64,
    pub too_many: u64,
    /// The most orders that were under way at once.
    pub most_orders: usize,
    /// What passes did, from the election on.
    pub counts: SchedulerCounters,
    /// From the election to the first launch after it.
    pub first_launch: Option<Micros>,
    /// When every machine had been answered in the new term, from the election.
    pub all_heard: Option<Micros>,
    /// Sessions that ended for want of an answer.
    pub leases_lost: u64,
    /// The least that was left of any lease when its report was answered.
    pub least_left: Micros,
    /// Requests that broke a limit of the state service.
    pub malformed: Vec<String>,
}

#[derive(Debug)]
enum Ev {
    Tick,
    Node(Box<Input>),
    State {
        id: CallId,
        call: Box<StoreRequest>,
    },
    WatchEnds {
        watch: u64,
    },
    Cloud {
        id: CallId,
        call: Box<CloudRequest>,
    },
    Orders {
        id: CallId,
        machine: u32,
        orders: Box<CommandBatch>,
    },
    Worker {
        machine: u32,
    },
    Answered {
        machine: u32,
        sent: Micros,
        session: u64,
        answer: Box<Answer>,
    },
    /// The controller has done what it was at.
    Idle,
    Note,
}

/// What a second allows, with a burst of one second's worth.
struct Bucket {
    rate: f64,
    left: f64,
    at: Micros,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            left: rate,
            at: 0,
        }
    }

    fn take(&mut self, n: f64, now: Micros) -> bool {
        let grown = (now - self.at) as f64 / SECOND as f64 * self.rate;
        self.left = (self.left + grown).min(self.rate);
        self.at = now;
        let enough = self.left >= n;
        if enough {
            self.left -= n;
        }
        enough
    }
}

pub struct Fleet {
    setting: FleetSettings,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: HashMap<u64, Ev>,
    rng: Rng,
    /// Taken out by [`Fleet::dismiss`].
    node: Option<Node>,
    busy_until: Micros,
    /// What waits for the controller: reports, and all else before them.
    lines: [VecDeque<Input>; 2],
    serving: bool,
    state: SimulatedStore,
    calls: Bucket,
    changes: Bucket,
    cloud: Cloud,
    workers: Vec<Worker>,
    /// When a worker's next event is planned; earlier ones are out of date.
    planned: Vec<Micros>,
    names: HashMap<String, u32>,
    plays: BTreeMap<String, TaskBehaviour>,
    unanswered: HashMap<u64, (u32, Micros, u64)>,
    watches: Watches<CallId>,
    next: u64,
    jobs: u32,
    /// Jobs that were open at the start, and submissions under way.
    open_jobs: usize,
    submitting: usize,
    orders_open: usize,
    elected: Option<Micros>,
    heard: Vec<bool>,
    unheard: u32,
    result: FleetMeasurements,
}

fn machine_type() -> MachineType {
    MachineType {
        name: TYPE.into(),
        cpus: CPUS,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 80.0,
        fetch_gb_per_s: 0.8,
        price: 0.9,
        spot_price: Some(0.4),
        boot_s: 15.0,
        zones: ZONES.iter().map(|z| z.to_string()).collect(),
    }
}

fn config(setting: &FleetSettings) -> Config {
    let teams = (0..TEAMS).map(|i| Team {
        name: format!("team-{i:02}"),
        cpus: 0.0,
        cpus_max: f64::from(setting.machines) * CPUS / 4.0,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    Config {
        member: "node-0".into(),
        zone: "a".into(),
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        teams: teams.collect(),
        heartbeat_interval: REPORT,
        worker_lease: LEASE,
        cancel_time_limit: CANCEL,
        clock_error: SECOND / 4,
        store_rps: setting.state_rps,
        store_write_rps: setting.state_write_rps,
        max_value_bytes: 16 * 1024,
        current_max_value_bytes: 16 * 1024,
        current_store_write_rps: setting.state_write_rps,
        tasks_per_chunk: dillcleat_controller::config::tasks_per_chunk(16 * 1024),
        max_txn_ops: 48,
        cloud_rps: 4.0,
        cloud_list_lag: 4 * SECOND,
        memory_mb: 188.0,
        max_commands_in_flight: Fleet::MAX_ORDERS,
        start_objectives: vec![StartObjective {
            class: "search".into(),
            within: 2 * SECOND,
        }],
        deadline_objectives: Vec::new(),
        tuning: Tuning::default(),
    }
}

impl Fleet {
    /// Orders that the controller may have under way.
    pub const MAX_ORDERS: usize = 256;

    pub fn new(setting: FleetSettings) -> Fleet {
        let mut state = SimulatedStore::new(16 * 1024, 48).paged(PageLimit::FULL);
        let types = vec![machine_type()];
        state.put(
            records::MACHINE_TYPES_KEY.into(),
            &MachineTypesRecord {
                types: types.clone(),
            },
        );
        let mut fleet = Fleet {
            now: SECOND,
            order: 0,
            events: BinaryHeap::new(),
            what: HashMap::new(),
            rng: Rng::with_seed(setting.seed),
            node: Some(Node::new(config(&setting))),
            busy_until: 0,
            lines: Default::default(),
            serving: false,
            state,
            calls: Bucket::new(setting.state_rps),
            changes: Bucket::new(setting.state_write_rps),
            cloud: Cloud::new(types, 0, 4 * SECOND),
            workers: Vec::new(),
            planned: Vec::new(),
            names: HashMap::new(),
            plays: BTreeMap::new(),
            unanswered: HashMap::new(),
            watches: Watches::default(),
            next: 0,
            jobs: 0,
            open_jobs: 0,
            submitting: 0,
            orders_open: 0,
            elected: None,
            heard: vec![false; setting.machines as usize],
            unheard: setting.machines,
            result: FleetMeasurements {
                least_left: LEASE,
                ..FleetMeasurements::default()
            },
            setting,
        };
        fleet.build();
        fleet
    }

    /// Machines that run as much as they hold, and what waits.
    fn build(&mut self) {
        for i in 0..self.setting.machines {
            let name = format!("host-{i:06}");
            let place = MachineIdentity {
                machine: name.clone(),
                machine_type: TYPE.into(),
                zone: ZONES[i as usize % ZONES.len()].into(),
                spot: !i.is_multiple_of(ORDINARY),
            };
            let record = MachineRecord {
                addr: format!("{name}:9000"),
                machine_type: TYPE.into(),
                zone: place.zone.clone(),
                spot: place.spot,
            };
            self.state.put(records::machine_key(&name), &record);
            let host = Host {
                machine_type: TYPE.into(),
                zone: place.zone.clone(),
                spot: place.spot,
                since: 0,
                up_at: Some(0),
            };
            self.cloud.hosts.insert(name.clone(), host);
            self.names.insert(name, i);
            let worker = Worker::new(place, CPUS, 0.0, self.now, 0);
            self.workers.push(worker);
            self.planned.push(Micros::MAX);
        }
        self.cloud.note(0);
        let (ordinary, spot): (Vec<u32>, Vec<u32>) =
            (0..self.setting.machines).partition(|i| i.is_multiple_of(ORDINARY));
        self.seat(&ordinary, JobKind::Service);
        self.seat(&spot, JobKind::Batch);
        let mut waiting = 0;
        while waiting < self.setting.waiting {
            let spec = self.spec(JobKind::Batch);
            waiting += spec.tasks;
            self.record(&spec);
        }
        // The first that was seated is a service's: it does not end.
        let root = format!("req-{:06}", 1);
        for _ in 0..self.setting.held {
            let spec = JobSpec {
                depends_on: vec![root.clone()],
                ..self.spec(JobKind::Batch)
            };
            self.record(&spec);
        }
        for i in 0..self.setting.machines {
            let first = self.now + self.rng.u64(..REPORT);
            self.workers[i as usize].report_at = first;
            self.plan(i);
        }
        self.open_jobs = self.state.keys(records::OPEN_JOBS_PREFIX).len();
        self.at(self.now, Ev::Tick);
        self.at(self.now + SECOND, Ev::Note);
    }

    fn spec(&mut self, kind: JobKind) -> JobSpec {
        self.jobs += 1;
        let service = kind == JobKind::Service;
        let id = format!("req-{:06}", self.jobs);
        let tasks = if service {
            REPLICAS
        } else {
            self.rng.u32(ARRAY / 3..=ARRAY * 5 / 3)
        };
        let cpus = CPUS / f64::from(self.setting.slots);
        let spec = JobSpec {
            class: if service { "search" } else { "merge" }.into(),
            team: format!("team-{:02}", self.rng.usize(..TEAMS)),
            priority: if service {
                Priority::Production
            } else {
                Priority::Normal
            },
            memory_gb: 60.0 / f64::from(self.setting.slots),
            image: format!("img-{:02}", self.rng.u8(..18)),
            spread: service,
            estimate_s: self.setting.run as f64 / SECOND as f64,
            ..JobSpec::plain(&id, kind, tasks, cpus)
        };
        let play = TaskBehaviour {
            spec: spec.clone(),
            run: self.rng.u64(self.setting.run / 2..self.setting.run * 3 / 2),
            fails: false,
        };
        self.plays.insert(id, play);
        spec
    }

    fn record(&mut self, spec: &JobSpec) {
        // Handed in over the last ten minutes.
        let job = OpenJob {
            spec: spec.clone(),
            submitted_at_us: WALL - self.rng.u64(..600 * SECOND),
            tasks_per_chunk: config(&self.setting).tasks_per_chunk,
            without_state_record: true,
            parallelism_limit: None,
        };
        self.state.put(records::open_job_key(&spec.id), &job);
    }

    /// Fills these machines with jobs' tasks, as stored placements.
    fn seat(&mut self, machines: &[u32], kind: JobKind) {
        let mut places: Vec<u32> = machines
            .iter()
            .flat_map(|m| std::iter::repeat_n(*m, self.setting.slots as usize))
            .collect();
        self.rng.shuffle(&mut places);
        while !places.is_empty() {
            let spec = self.spec(kind);
            self.record(&spec);
            let play_run = self.plays.get(&spec.id).map_or(0, |p| p.run);
            let mut chunk = TaskRecord::default();
            for index in 0..spec.tasks.min(places.len() as u32) {
                let Some(machine) = places.pop() else {
                    break;
                };
                let until = (kind == JobKind::Batch).then(|| self.now + self.rng.u64(..=play_run));
                let task = TaskName {
                    job: spec.id.clone(),
                    index,
                };
                let worker = &mut self.workers[machine as usize];
                worker.seat(task, 1, until, spec.cpus);
                chunk.placed.push(PlacedTask {
                    index,
                    attempt: 1,
                    machine: worker.name.clone(),
                    incarnation: 1,
                });
            }
            // Jobs are no larger than a chunk here.
            self.state.put(
                records::tasks_key(&spec.id, records::TaskRange::Chunk(0)),
                &chunk,
            );
        }
    }

    fn at(&mut self, at: Micros, ev: Ev) {
        self.order += 1;
        self.events.push(Reverse((at.max(self.now), self.order)));
        self.what.insert(self.order, ev);
    }

    /// Runs to the end of what is measured.
    pub fn run(&mut self) {
        let end = self.now + self.setting.warm_up + self.setting.measured;
        while let Some(Reverse((at, order))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(ev) = self.what.remove(&order) {
                self.happen(ev);
            }
        }
        self.result.malformed.clone_from(&self.state.malformed);
        self.result.counts = self
            .node
            .as_ref()
            .map_or(SchedulerCounters::default(), Node::scheduler_counters);
    }

    pub fn into_measured(self) -> FleetMeasurements {
        self.result
    }

    /// Lets go of the controller, so that what it held can be counted.
    pub fn dismiss(&mut self) -> Option<Node> {
        self.node.take()
    }

    fn measuring(&self) -> bool {
        self.now >= SECOND + self.setting.warm_up
    }

    fn silent(&self) -> bool {
        let silence = self.setting.silence;
        silence.is_some_and(|(from, time)| self.now >= from && self.now < from + time)
    }

    fn wake(&mut self, input: Input) {
        // As in the service, reports stand in a line of their own, behind.
        let report = matches!(&input, Input::Request { target, .. } if target == HEARTBEAT_PATH);
        self.lines[usize::from(report)].push_back(input);
        self.serve();
    }

    /// Hands the controller what waits for it, as long as it is idle.
    fn serve(&mut self) {
        while self.now >= self.busy_until {
            let [first, reports] = &mut self.lines;
            let Some(input) = first.pop_front().or_else(|| reports.pop_front()) else {
                return;
            };
            self.handle(input);
        }
        if !self.serving {
            self.serving = true;
            self.at(self.busy_until, Ev::Idle);
        }
    }

    fn handle(&mut self, input: Input) {
        let Some(node) = self.node.as_mut() else {
            return;
        };
        let now = Timestamp {
            monotonic: SECOND * 1000 + self.now,
            wall: WALL + self.now,
        };
        let kind = match &input {
            Input::Tick => "tick",
            Input::Request { target, .. } if target == HEARTBEAT_PATH => "report",
            Input::Request { .. } => "submission",
            Input::Store { .. } => "answer of the state service",
            Input::Cloud { .. } => "answer of the cloud",
            Input::Commands { .. } => "answer to orders",
            Input::Peer { .. } => "sibling's message",
        };
        if matches!(input, Input::Commands { .. }) {
            self.orders_open -= 1;
        }
        let placed = node.scheduler_counters().placed;
        let begun = Instant::now();
        let outputs = node.handle(now, input);
        // A run does not last for centuries.
        let nanos = begun.elapsed().as_nanos() as u64;
        let leads = node.leading().is_some();
        if let Some(share) = self.setting.cpu_share {
            self.busy_until = self.now + (nanos as f64 / 1e3 / share) as Micros;
        }
        if leads && self.elected.is_none() {
            self.elected = Some(self.now);
        }
        let placed = node.scheduler_counters().placed.saturating_sub(placed);
        let inputs = if self.measuring() {
            &mut self.result.inputs
        } else {
            &mut self.result.before
        };
        inputs.entry(kind).or_default().push(nanos);
        if let Some(each) = nanos.checked_div(placed) {
            inputs.entry("placement").or_default().push(each);
        }
        // An answer lets the next batch go out, of up to 48 changes.
        let sent = |o: &Output| match o {
            Output::Store {
                call: StoreRequest::Transaction(txn),
                ..
            } => txn.then.len() as u64,
            _ => 0,
        };
        if let Some(each) = nanos.checked_div(outputs.iter().map(sent).sum()) {
            inputs.entry("one stored change").or_default().push(each);
        }
        // What follows leaves the process when the work is done.
        let after = self.busy_until.max(self.now);
        for output in outputs {
            self.carry(after, output);
        }
    }

    fn launches(&mut self, commands: &[Command]) {
        let starts = commands
            .iter()
            .filter(|c| matches!(c, Command::Launch { .. }))
            .count() as u64;
        if self.measuring() {
            self.result.starts += starts;
        }
        if starts > 0
            && self.result.first_launch.is_none()
            && let Some(at) = self.elected
        {
            self.result.first_launch = Some(self.now - at);
        }
    }

    fn carry(&mut self, after: Micros, output: Output) {
        match output {
            Output::Answer { id, answer } => {
                let Some((machine, sent, session)) = self.unanswered.remove(&id.0) else {
                    // A refused one is followed by another in a second.
                    self.submitting -= 1;
                    return;
                };
                if let Ok(a) = dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
                    self.launches(&a.commands);
                }
                let answer = Box::new(answer);
                self.at(
                    after + NETWORK_TIME,
                    Ev::Answered {
                        machine,
                        sent,
                        session,
                        answer,
                    },
                );
            }
            Output::Store { id, call, .. } => {
                let call = Box::new(call);
                self.at(after + STATE_TIME / 2, Ev::State { id, call });
            }
            Output::Cloud { id, call, .. } => {
                let call = Box::new(call);
                self.at(after + CLOUD_TIME / 2, Ev::Cloud { id, call });
            }
            Output::Commands {
                id,
                addr,
                commands: orders,
                timeout,
            } => {
                self.launches(&orders.commands);
                self.orders_open += 1;
                self.result.most_orders = self.result.most_orders.max(self.orders_open);
                let machine = self.names.get(addr.trim_end_matches(":9000"));
                match machine.copied() {
                    Some(machine) if !self.silent() => {
                        let orders = Box::new(orders);
                        self.at(
                            after + NETWORK_TIME,
                            Ev::Orders {
                                id,
                                machine,
                                orders,
                            },
                        );
                    }
                    _ => {
                        let reply = Err(CallError::NoAnswer);
                        let input = Box::new(Input::Commands { id, reply });
                        self.at(after + timeout, Ev::Node(input));
                    }
                }
            }
            Output::Peer { .. } | Output::JobEvent(_) => {}
        }
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Tick => {
                self.wake(Input::Tick);
                let at = self.now + 50 * MILLISECOND;
                self.at(at, Ev::Tick);
            }
            Ev::Node(input) => self.wake(*input),
            Ev::Idle => {
                self.serving = false;
                self.serve();
            }
            Ev::State { id, call } => self.state_call(id, &call),
            Ev::WatchEnds { watch } => {
                if let Some((id, changes)) = self.watches.end(watch, &self.state) {
                    self.state_answer(id, StoreResponse::WatchBatch(changes));
                }
            }
            Ev::Cloud { id, call } => {
                let (reply, _, gone) = self.cloud.call(&call, self.now, |_| None);
                for name in gone {
                    // An idle machine that was returned.
                    if let Some(i) = self.names.remove(&name) {
                        self.planned[i as usize] = Micros::MAX;
                    }
                }
                let input = Box::new(Input::Cloud {
                    id,
                    reply: Ok(reply),
                });
                self.at(self.now + CLOUD_TIME / 2, Ev::Node(input));
            }
            Ev::Orders {
                id,
                machine,
                orders,
            } => {
                let worker = &mut self.workers[machine as usize];
                worker.pass(self.now, LEASE, &self.plays);
                let (status, report, _) = worker.orders(&orders, self.now, &self.plays);
                let body = dillcleat_wire::encode(&report);
                let input = Box::new(Input::Commands {
                    id,
                    reply: Ok((status, body)),
                });
                self.at(self.now + NETWORK_TIME, Ev::Node(input));
                self.plan(machine);
            }
            Ev::Worker { machine } => self.worker(machine),
            Ev::Answered {
                machine,
                sent,
                session,
                answer,
            } => self.answered(machine, sent, session, &answer),
            Ev::Note => {
                self.cloud.note(self.now);
                self.refill();
                self.at(self.now + Cloud::NOTE_EVERY, Ev::Note);
            }
        }
    }

    fn state_call(&mut self, id: CallId, call: &StoreRequest) {
        let (changes, bytes) = match call {
            StoreRequest::Transaction(txn) => (txn.then.len(), dillcleat_wire::encode(txn).len()),
            _ => (0, 0),
        };
        if self.measuring() {
            self.result.state_calls += 1;
            self.result.state_bytes += bytes as u64;
        }
        let allowed = self.calls.take(1.0, self.now) && self.changes.take(changes as f64, self.now);
        let answer = if allowed {
            self.state.call(call, self.now)
        } else {
            self.result.too_many += 1;
            Some(StoreResponse::RateLimited)
        };
        match answer {
            Some(answer) => self.state_answer(id, answer),
            None => {
                if let Some((watch, time)) = self.watches.open(id, call) {
                    self.at(self.now + time, Ev::WatchEnds { watch });
                }
            }
        }
        for (id, changes) in self.watches.changed(&self.state, |_| true) {
            self.state_answer(id, StoreResponse::WatchBatch(changes));
        }
    }

    fn state_answer(&mut self, id: CallId, answer: StoreResponse) {
        let input = Box::new(Input::Store {
            id,
            reply: Ok(answer),
        });
        self.at(self.now + STATE_TIME / 2, Ev::Node(input));
    }

    /// Plans the worker's next event, unless an earlier one is planned.
    fn plan(&mut self, machine: u32) {
        let at = self.workers[machine as usize].next_at().max(self.now);
        if at < self.planned[machine as usize] {
            self.planned[machine as usize] = at;
            self.at(at, Ev::Worker { machine });
        }
    }

    fn worker(&mut self, machine: u32) {
        let i = machine as usize;
        if self.planned[i] != self.now || !self.names.contains_key(&self.workers[i].name) {
            return;
        }
        self.planned[i] = Micros::MAX;
        let worker = &mut self.workers[i];
        let session = worker.session;
        let happenings = worker.pass(self.now, LEASE, &self.plays);
        let done = |h: &&WorkerEvent| matches!(h, WorkerEvent::Leaves { done: true, .. });
        let ends = happenings.iter().filter(done).count() as u64;
        if worker.session > session {
            self.result.leases_lost += 1;
        }
        if worker
            .under_way
            .is_some_and(|(_, _, sent)| self.now >= sent + PATIENCE)
        {
            worker.under_way = None;
            worker.report_at = self.now + SECOND;
        }
        if worker.under_way.is_none() && self.now >= worker.report_at {
            let report = worker.report(self.now);
            worker.under_way = Some((report.incarnation, report.sequence, self.now));
            worker.report_at = self.now + self.rng.u64(REPORT * 3 / 4..REPORT * 5 / 4);
            if !self.silent() {
                self.next += 1;
                let asker = (machine, self.now, report.incarnation);
                self.unanswered.insert(self.next, asker);
                let body = dillcleat_wire::encode(&report);
                self.request(HEARTBEAT_PATH, body);
            }
        }
        if self.measuring() {
            self.result.ends += ends;
        }
        self.plan(machine);
    }

    /// Sends a request under the number drawn last.
    fn request(&mut self, target: &str, body: Vec<u8>) {
        let input = Box::new(Input::Request {
            id: RequestId(self.next),
            method: "POST".into(),
            target: target.into(),
            body,
        });
        self.at(self.now + NETWORK_TIME, Ev::Node(input));
    }

    fn answered(&mut self, machine: u32, sent: Micros, session: u64, answer: &Answer) {
        let worker = &mut self.workers[machine as usize];
        if worker
            .under_way
            .is_none_or(|(s, _, at)| (s, at) != (session, sent))
            || self.now > sent + PATIENCE
        {
            return;
        }
        worker.under_way = None;
        let left = (worker.leased_until(LEASE)).saturating_sub(self.now);
        match dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
            Ok(a) if answer.status == 200 => {
                self.result.least_left = self.result.least_left.min(left);
                worker.pass(self.now, LEASE, &self.plays);
                worker.answered(&a, session, sent, self.now, &self.plays);
                if let (false, Some(at)) = (self.heard[machine as usize], self.elected) {
                    self.heard[machine as usize] = true;
                    self.unheard -= 1;
                    if self.unheard == 0 {
                        self.result.all_heard = Some(self.now - at);
                    }
                }
            }
            _ => worker.report_at = self.now + SECOND,
        }
        self.plan(machine);
    }

    /// Hands in another job for each that has ended.
    fn refill(&mut self) {
        let missing = self
            .open_jobs
            .saturating_sub(self.state.keys(records::OPEN_JOBS_PREFIX).len() + self.submitting);
        for _ in 0..missing {
            let spec = self.spec(JobKind::Batch);
            self.next += 1;
            self.submitting += 1;
            self.request(JOBS_PATH, dillcleat_wire::encode(&spec));
        }
    }
}
