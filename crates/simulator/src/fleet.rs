//! A single controller with a large simulated fleet. Measures the processing time of each kind
//! of input, the time that a new leader needs for its first launch, and the effect of a whole
//! fleet sending heartbeats at the same time.
//!
//! The fleet is running when the controller starts: machines, jobs and placements are in
//! the store, as an earlier leader would have left them. The cloud has no further machines
//! to rent. Each job that ends is replaced by a new one, which keeps the number of waiting
//! tasks about constant.

use crate::cloud::{Cloud, RentedMachine};
use crate::message_load::MessageLoad;
use crate::rules::MachineAttributes;
use crate::store::{PageLimit, SimulatedStore, Watches};
use crate::token_bucket::TokenBucket;
use crate::worker::{HEARTBEAT_TIMEOUT, TaskBehaviour, Worker, WorkerEvent};
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
const MACHINE_TYPE: &str = "sixteen";
const CPUS_PER_MACHINE: f64 = 16.0;
const MEAN_TASKS_PER_BATCH_JOB: u32 = 60;
const REPLICAS_PER_SERVICE: u32 = 8;
/// One in this many machines is an on-demand machine. On-demand machines run the services.
const MACHINES_PER_ON_DEMAND: u32 = 5;
const HEARTBEAT_INTERVAL: Micros = 5 * SECOND;
const WORKER_LEASE: Micros = 26 * SECOND;
const CANCEL_TIME_LIMIT: Micros = 56 * SECOND;
const STORE_ROUND_TRIP: Micros = 5 * MILLISECOND;
const CLOUD_ROUND_TRIP: Micros = 80 * MILLISECOND;
const NETWORK_DELAY: Micros = MILLISECOND;
/// Monotonic clock of the controller at simulated time 0.
const MONOTONIC_START: Micros = 1_000 * SECOND;
/// Wall clock at simulated time 0.
const WALL_CLOCK_START: Micros = 1_700_000_000 * SECOND;

/// Size, load and faults of a run.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    pub seed: u64,
    pub machines: u32,
    /// Tasks that fit on one machine. Every machine is full at the start.
    pub tasks_per_machine: u32,
    /// Approximate number of tasks that wait for capacity.
    pub waiting_tasks: u32,
    /// Jobs that depend on a job that does not end.
    pub blocked_jobs: u32,
    /// Mean run time of a task of a batch job.
    pub mean_run_time: Micros,
    /// Time before the measurement begins.
    pub warm_up: Micros,
    /// Duration of the measurement.
    pub measurement: Micros,
    /// Rate limits of the store per second: requests, and mutations in transactions.
    pub store_rps: f64,
    pub store_write_rps: f64,
    /// Share of a CPU that the controller has. If None, its work takes no simulated time,
    /// and runs with equal seeds are equal.
    pub cpu_share: Option<f64>,
    /// Start and duration of a network outage between all workers and the controller:
    /// heartbeats and commands are lost.
    pub network_outage: Option<(Micros, Micros)>,
}

impl FleetSettings {
    /// A fleet with rate limits of the store in proportion to its size.
    pub fn for_machines(machines: u32) -> FleetSettings {
        FleetSettings {
            seed: 1,
            machines,
            tasks_per_machine: 10,
            waiting_tasks: machines * 10,
            blocked_jobs: 0,
            mean_run_time: 100 * SECOND,
            warm_up: 10 * SECOND,
            measurement: 20 * SECOND,
            store_rps: f64::from(machines) * 0.5,
            store_write_rps: f64::from(machines) * 0.2,
            cpu_share: None,
            network_outage: None,
        }
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct FleetMeasurements {
    /// Processing time of each input during the measurement, in nanoseconds, by kind of input.
    pub inputs: BTreeMap<&'static str, Vec<u64>>,
    /// Processing time of each input before the measurement: the election, reading the
    /// store and the first commands.
    pub warm_up_inputs: BTreeMap<&'static str, Vec<u64>>,
    /// Launch commands during the measurement.
    pub launches: u64,
    /// Completed tasks during the measurement.
    pub completions: u64,
    /// Calls to the store and bytes of their transactions during the measurement.
    pub store_calls: u64,
    pub transaction_bytes: u64,
    /// Messages between workers and the controller during the measurement.
    pub messages: MessageLoad,
    /// Calls during the whole run that the store refused because of its rate limits.
    pub rate_limited_calls: u64,
    /// Maximum number of command batches in flight during the whole run.
    pub peak_commands_in_flight: usize,
    /// Counters of the scheduler since the election.
    pub scheduler_counters: SchedulerCounters,
    /// Time from the election to the first launch command after it.
    pub first_launch: Option<Micros>,
    /// Time from the election until every machine had a heartbeat answered.
    pub all_machines_answered: Option<Micros>,
    /// Worker leases that expired because no heartbeat was answered in time.
    pub expired_leases: u64,
    /// Minimum remaining time of a worker's lease when a heartbeat answer renewed it.
    pub min_lease_remaining: Micros,
    /// Requests that broke the store's protocol: over a limit, or not fenced by the term.
    pub protocol_errors: Vec<String>,
}

#[derive(Debug)]
enum Event {
    Tick,
    NodeInput(Box<Input>),
    StoreCall {
        id: CallId,
        call: Box<StoreRequest>,
    },
    WatchTimeout {
        watch: u64,
    },
    CloudCall {
        id: CallId,
        call: Box<CloudRequest>,
    },
    Commands {
        id: CallId,
        machine: u32,
        batch: Box<CommandBatch>,
    },
    Worker {
        machine: u32,
    },
    HeartbeatAnswer {
        machine: u32,
        sent: Micros,
        incarnation: u64,
        answer: Box<Answer>,
    },
    /// The controller has finished its current input.
    NodeIdle,
    /// The cloud records its list of machines, and ended jobs are replaced.
    RecordCloudListAndRefill,
}

pub struct Fleet {
    settings: FleetSettings,
    now: Micros,
    /// Number of the event scheduled last.
    last_event: u64,
    /// Time and number of each scheduled event.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number.
    scheduled: HashMap<u64, Event>,
    rng: Rng,
    /// None after [`Fleet::take_node`].
    node: Option<Node>,
    busy_until: Micros,
    /// Inputs that wait for the controller. The second queue holds heartbeats, the first
    /// all other inputs; the first is served first.
    input_queues: [VecDeque<Input>; 2],
    /// A `NodeIdle` event is scheduled.
    idle_scheduled: bool,
    store: SimulatedStore,
    store_calls: TokenBucket,
    store_mutations: TokenBucket,
    cloud: Cloud,
    workers: Vec<Worker>,
    /// Time of each worker's next event. An event at another time is outdated.
    worker_event_at: Vec<Micros>,
    /// Indices of the workers by machine name.
    worker_indices: HashMap<String, u32>,
    behaviours: BTreeMap<String, TaskBehaviour>,
    /// Machine, send time and incarnation of each unanswered heartbeat by request number.
    unanswered_heartbeats: HashMap<u64, (u32, Micros, u64)>,
    watches: Watches<CallId>,
    last_request: u64,
    /// Number of jobs created.
    jobs: u32,
    /// Number of open jobs at the start; [`Fleet::refill`] keeps it constant.
    open_jobs: usize,
    submissions_in_flight: usize,
    commands_in_flight: usize,
    elected_at: Option<Micros>,
    /// Whether each machine has had a heartbeat answered since the election.
    answered_machines: Vec<bool>,
    machines_without_answer: u32,
    measurements: FleetMeasurements,
}

fn machine_type() -> MachineType {
    MachineType {
        name: MACHINE_TYPE.into(),
        cpus: CPUS_PER_MACHINE,
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

fn config(settings: &FleetSettings) -> Config {
    let teams = (0..TEAMS).map(|i| Team {
        name: format!("team-{i:02}"),
        cpus: 0.0,
        cpus_max: f64::from(settings.machines) * CPUS_PER_MACHINE / 4.0,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    Config {
        member: "node-0".into(),
        zone: "a".into(),
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        teams: teams.collect(),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        worker_lease: WORKER_LEASE,
        cancel_time_limit: CANCEL_TIME_LIMIT,
        clock_error: SECOND / 4,
        store_rps: settings.store_rps,
        store_write_rps: settings.store_write_rps,
        max_value_bytes: 16 * 1024,
        current_max_value_bytes: 16 * 1024,
        current_store_write_rps: settings.store_write_rps,
        tasks_per_chunk: dillcleat_controller::config::tasks_per_chunk(16 * 1024),
        max_txn_ops: 48,
        cloud_rps: 4.0,
        cloud_list_lag: 4 * SECOND,
        memory_mb: 188.0,
        max_commands_in_flight: Fleet::MAX_COMMANDS_IN_FLIGHT,
        start_objectives: vec![StartObjective {
            class: "search".into(),
            within: 2 * SECOND,
        }],
        deadline_objectives: Vec::new(),
        tuning: Tuning::default(),
    }
}

impl Fleet {
    /// Maximum number of command batches that the controller may have in flight.
    pub const MAX_COMMANDS_IN_FLIGHT: usize = 256;

    pub fn new(settings: FleetSettings) -> Fleet {
        let mut store = SimulatedStore::new(16 * 1024, 48).with_page_limit(PageLimit::FULL);
        let types = vec![machine_type()];
        store.put(
            records::MACHINE_TYPES_KEY.into(),
            &MachineTypesRecord {
                types: types.clone(),
            },
        );
        let mut fleet = Fleet {
            now: SECOND,
            last_event: 0,
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            rng: Rng::with_seed(settings.seed),
            node: Some(Node::new(config(&settings))),
            busy_until: 0,
            input_queues: Default::default(),
            idle_scheduled: false,
            store,
            store_calls: TokenBucket::new(settings.store_rps),
            store_mutations: TokenBucket::new(settings.store_write_rps),
            cloud: Cloud::new(types, 0, 4 * SECOND),
            workers: Vec::new(),
            worker_event_at: Vec::new(),
            worker_indices: HashMap::new(),
            behaviours: BTreeMap::new(),
            unanswered_heartbeats: HashMap::new(),
            watches: Watches::default(),
            last_request: 0,
            jobs: 0,
            open_jobs: 0,
            submissions_in_flight: 0,
            commands_in_flight: 0,
            elected_at: None,
            answered_machines: vec![false; settings.machines as usize],
            machines_without_answer: settings.machines,
            measurements: FleetMeasurements {
                min_lease_remaining: WORKER_LEASE,
                ..FleetMeasurements::default()
            },
            settings,
        };
        fleet.populate();
        fleet
    }

    /// Creates the machines, all of them full, the waiting and blocked jobs, and the first
    /// events.
    fn populate(&mut self) {
        for i in 0..self.settings.machines {
            let name = format!("host-{i:06}");
            let place = MachineAttributes {
                machine: name.clone(),
                machine_type: MACHINE_TYPE.into(),
                zone: ZONES[i as usize % ZONES.len()].into(),
                spot: !i.is_multiple_of(MACHINES_PER_ON_DEMAND),
            };
            let record = MachineRecord {
                addr: format!("{name}:9000"),
                machine_type: MACHINE_TYPE.into(),
                zone: place.zone.clone(),
                spot: place.spot,
            };
            self.store.put(records::machine_key(&name), &record);
            let machine = RentedMachine {
                machine_type: MACHINE_TYPE.into(),
                zone: place.zone.clone(),
                spot: place.spot,
                rented_at: 0,
                up_at: Some(0),
            };
            self.cloud.machines.insert(name.clone(), machine);
            self.worker_indices.insert(name, i);
            let worker = Worker::new(place, CPUS_PER_MACHINE, 0.0, self.now, 0);
            self.workers.push(worker);
            self.worker_event_at.push(Micros::MAX);
        }
        self.cloud.record_list(0);
        let (on_demand, spot): (Vec<u32>, Vec<u32>) =
            (0..self.settings.machines).partition(|i| i.is_multiple_of(MACHINES_PER_ON_DEMAND));
        self.fill(&on_demand, JobKind::Service);
        self.fill(&spot, JobKind::Batch);
        let mut waiting_tasks = 0;
        while waiting_tasks < self.settings.waiting_tasks {
            let spec = self.new_job(JobKind::Batch);
            waiting_tasks += spec.tasks;
            self.store_job(&spec);
        }
        // The first job is a service, which does not end.
        let service = format!("req-{:06}", 1);
        for _ in 0..self.settings.blocked_jobs {
            let spec = JobSpec {
                depends_on: vec![service.clone()],
                ..self.new_job(JobKind::Batch)
            };
            self.store_job(&spec);
        }
        for i in 0..self.settings.machines {
            let first_heartbeat = self.now + self.rng.u64(..HEARTBEAT_INTERVAL);
            self.workers[i as usize].next_heartbeat_at = first_heartbeat;
            self.schedule_worker(i);
        }
        self.open_jobs = self.store.keys(records::OPEN_JOBS_PREFIX).len();
        self.schedule(self.now, Event::Tick);
        self.schedule(self.now + SECOND, Event::RecordCloudListAndRefill);
    }

    /// Draws the next job. Its tasks are sized so that `tasks_per_machine` of them fill a
    /// machine.
    fn new_job(&mut self, kind: JobKind) -> JobSpec {
        self.jobs += 1;
        let service = kind == JobKind::Service;
        let id = format!("req-{:06}", self.jobs);
        let tasks = if service {
            REPLICAS_PER_SERVICE
        } else {
            self.rng
                .u32(MEAN_TASKS_PER_BATCH_JOB / 3..=MEAN_TASKS_PER_BATCH_JOB * 5 / 3)
        };
        let cpus = CPUS_PER_MACHINE / f64::from(self.settings.tasks_per_machine);
        let spec = JobSpec {
            class: if service { "search" } else { "merge" }.into(),
            team: format!("team-{:02}", self.rng.usize(..TEAMS)),
            priority: if service {
                Priority::Production
            } else {
                Priority::Normal
            },
            memory_gb: 60.0 / f64::from(self.settings.tasks_per_machine),
            image: format!("img-{:02}", self.rng.u8(..18)),
            spread: service,
            estimate_s: self.settings.mean_run_time as f64 / SECOND as f64,
            ..JobSpec::plain(&id, kind, tasks, cpus)
        };
        let behaviour = TaskBehaviour {
            spec: spec.clone(),
            run_time: self
                .rng
                .u64(self.settings.mean_run_time / 2..self.settings.mean_run_time * 3 / 2),
            fails: false,
        };
        self.behaviours.insert(id, behaviour);
        spec
    }

    /// Stores an open job that was submitted during the last ten minutes.
    fn store_job(&mut self, spec: &JobSpec) {
        let job = OpenJob {
            spec: spec.clone(),
            submitted_at_us: WALL_CLOCK_START - self.rng.u64(..600 * SECOND),
            tasks_per_chunk: config(&self.settings).tasks_per_chunk,
            without_state_record: true,
            parallelism_limit: None,
        };
        self.store.put(records::open_job_key(&spec.id), &job);
    }

    /// Fills these machines with tasks of new jobs and stores the placements.
    fn fill(&mut self, machines: &[u32], kind: JobKind) {
        let mut slots: Vec<u32> = machines
            .iter()
            .flat_map(|m| std::iter::repeat_n(*m, self.settings.tasks_per_machine as usize))
            .collect();
        self.rng.shuffle(&mut slots);
        while !slots.is_empty() {
            let spec = self.new_job(kind);
            self.store_job(&spec);
            let run_time = self.behaviours.get(&spec.id).map_or(0, |b| b.run_time);
            let mut chunk = TaskRecord::default();
            for index in 0..spec.tasks.min(slots.len() as u32) {
                let Some(machine) = slots.pop() else {
                    break;
                };
                let until = (kind == JobKind::Batch).then(|| self.now + self.rng.u64(..=run_time));
                let task = TaskName {
                    job: spec.id.clone(),
                    index,
                };
                let worker = &mut self.workers[machine as usize];
                worker.add_running_task(task, 1, until, spec.cpus);
                chunk.placed.push(PlacedTask {
                    index,
                    attempt: 1,
                    machine: worker.name.clone(),
                    incarnation: 1,
                });
            }
            // These jobs are small enough for a single chunk.
            self.store.put(
                records::tasks_key(&spec.id, records::TaskRange::Chunk(0)),
                &chunk,
            );
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.last_event)));
        self.scheduled.insert(self.last_event, event);
    }

    /// Runs until the end of the measurement.
    pub fn run(&mut self) {
        let end = self.now + self.settings.warm_up + self.settings.measurement;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.scheduled.remove(&number) {
                self.process(event);
            }
        }
        self.measurements
            .protocol_errors
            .clone_from(&self.store.protocol_errors);
        self.measurements.scheduler_counters = self
            .node
            .as_ref()
            .map_or(SchedulerCounters::default(), Node::scheduler_counters);
    }

    pub fn into_measurements(self) -> FleetMeasurements {
        self.measurements
    }

    /// Removes the controller, so that the memory it holds can be measured by dropping it.
    pub fn take_node(&mut self) -> Option<Node> {
        self.node.take()
    }

    fn measuring(&self) -> bool {
        self.now >= SECOND + self.settings.warm_up
    }

    /// Whether the network outage between workers and controller is in progress.
    fn is_outage(&self) -> bool {
        let outage = self.settings.network_outage;
        outage.is_some_and(|(from, time)| self.now >= from && self.now < from + time)
    }

    fn enqueue(&mut self, input: Input) {
        // As in the real process, heartbeats have a queue of their own with lower priority.
        let heartbeat = matches!(&input, Input::Request { target, .. } if target == HEARTBEAT_PATH);
        self.input_queues[usize::from(heartbeat)].push_back(input);
        self.process_queued_inputs();
    }

    /// Passes queued inputs to the controller while it is idle.
    fn process_queued_inputs(&mut self) {
        while self.now >= self.busy_until {
            let [others, heartbeats] = &mut self.input_queues;
            let Some(input) = others.pop_front().or_else(|| heartbeats.pop_front()) else {
                return;
            };
            self.handle(input);
        }
        if !self.idle_scheduled {
            self.idle_scheduled = true;
            self.schedule(self.busy_until, Event::NodeIdle);
        }
    }

    fn handle(&mut self, input: Input) {
        let Some(node) = self.node.as_mut() else {
            return;
        };
        let now = Timestamp {
            monotonic: MONOTONIC_START + self.now,
            wall: WALL_CLOCK_START + self.now,
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
            self.commands_in_flight -= 1;
        }
        let placed = node.scheduler_counters().placed;
        let started = Instant::now();
        let outputs = node.handle(now, input);
        let nanos = started.elapsed().as_nanos() as u64;
        let leads = node.leading().is_some();
        if let Some(share) = self.settings.cpu_share {
            self.busy_until = self.now + (nanos as f64 / 1e3 / share) as Micros;
        }
        if leads && self.elected_at.is_none() {
            self.elected_at = Some(self.now);
        }
        let placed = node.scheduler_counters().placed.saturating_sub(placed);
        let inputs = if self.measuring() {
            &mut self.measurements.inputs
        } else {
            &mut self.measurements.warm_up_inputs
        };
        inputs.entry(kind).or_default().push(nanos);
        if let Some(average) = nanos.checked_div(placed) {
            inputs.entry("placement").or_default().push(average);
        }
        let mutations = |o: &Output| match o {
            Output::Store {
                call: StoreRequest::Transaction(txn),
                ..
            } => txn.then.len() as u64,
            _ => 0,
        };
        if let Some(average) = nanos.checked_div(outputs.iter().map(mutations).sum()) {
            inputs.entry("one stored change").or_default().push(average);
        }
        // The outputs are sent when the controller has finished this input.
        let sent_at = self.busy_until.max(self.now);
        for output in outputs {
            self.deliver(sent_at, output);
        }
    }

    fn count_launches(&mut self, commands: &[Command]) {
        let launches = commands
            .iter()
            .filter(|c| matches!(c, Command::Launch { .. }))
            .count() as u64;
        if self.measuring() {
            self.measurements.launches += launches;
        }
        if launches > 0
            && self.measurements.first_launch.is_none()
            && let Some(elected_at) = self.elected_at
        {
            self.measurements.first_launch = Some(self.now - elected_at);
        }
    }

    fn deliver(&mut self, sent_at: Micros, output: Output) {
        match output {
            Output::Answer { id, answer } => {
                let Some((machine, sent, incarnation)) = self.unanswered_heartbeats.remove(&id.0)
                else {
                    // The answer to a submission. `refill` replaces refused submissions.
                    self.submissions_in_flight -= 1;
                    return;
                };
                if let Ok(reply) = dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
                    self.count_launches(&reply.commands);
                }
                let answer = Box::new(answer);
                self.schedule(
                    sent_at + NETWORK_DELAY,
                    Event::HeartbeatAnswer {
                        machine,
                        sent,
                        incarnation,
                        answer,
                    },
                );
            }
            Output::Store { id, call, .. } => {
                let call = Box::new(call);
                self.schedule(
                    sent_at + STORE_ROUND_TRIP / 2,
                    Event::StoreCall { id, call },
                );
            }
            Output::Cloud { id, call, .. } => {
                let call = Box::new(call);
                self.schedule(
                    sent_at + CLOUD_ROUND_TRIP / 2,
                    Event::CloudCall { id, call },
                );
            }
            Output::Commands {
                id,
                addr,
                commands: batch,
                timeout,
            } => {
                self.count_launches(&batch.commands);
                self.commands_in_flight += 1;
                self.measurements.peak_commands_in_flight = self
                    .measurements
                    .peak_commands_in_flight
                    .max(self.commands_in_flight);
                let machine = self.worker_indices.get(addr.trim_end_matches(":9000"));
                match machine.copied() {
                    Some(machine) if !self.is_outage() => {
                        let batch = Box::new(batch);
                        self.schedule(
                            sent_at + NETWORK_DELAY,
                            Event::Commands { id, machine, batch },
                        );
                    }
                    _ => {
                        let reply = Err(CallError::NoAnswer);
                        let input = Box::new(Input::Commands { id, reply });
                        self.schedule(sent_at + timeout, Event::NodeInput(input));
                    }
                }
            }
            Output::Peer { .. } | Output::JobEvent(_) => {}
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.enqueue(Input::Tick);
                let at = self.now + 50 * MILLISECOND;
                self.schedule(at, Event::Tick);
            }
            Event::NodeInput(input) => self.enqueue(*input),
            Event::NodeIdle => {
                self.idle_scheduled = false;
                self.process_queued_inputs();
            }
            Event::StoreCall { id, call } => self.store_call(id, &call),
            Event::WatchTimeout { watch } => {
                if let Some((id, changes)) = self.watches.close(watch, &self.store) {
                    self.answer_store_call(id, StoreResponse::WatchBatch(changes));
                }
            }
            Event::CloudCall { id, call } => {
                let (reply, _, deleted) = self.cloud.call(&call, self.now, |_| None);
                for name in deleted {
                    if let Some(i) = self.worker_indices.remove(&name) {
                        self.worker_event_at[i as usize] = Micros::MAX;
                    }
                }
                let input = Box::new(Input::Cloud {
                    id,
                    reply: Ok(reply),
                });
                self.schedule(self.now + CLOUD_ROUND_TRIP / 2, Event::NodeInput(input));
            }
            Event::Commands { id, machine, batch } => {
                let worker = &mut self.workers[machine as usize];
                worker.advance(self.now, WORKER_LEASE, &self.behaviours);
                let (status, heartbeat, _) =
                    worker.handle_commands(&batch, self.now, &self.behaviours);
                if self.measuring() {
                    self.measurements.messages.record_commands(status);
                }
                let body = dillcleat_wire::encode(&heartbeat);
                let input = Box::new(Input::Commands {
                    id,
                    reply: Ok((status, body)),
                });
                self.schedule(self.now + NETWORK_DELAY, Event::NodeInput(input));
                self.schedule_worker(machine);
            }
            Event::Worker { machine } => self.run_worker(machine),
            Event::HeartbeatAnswer {
                machine,
                sent,
                incarnation,
                answer,
            } => self.heartbeat_answered(machine, sent, incarnation, &answer),
            Event::RecordCloudListAndRefill => {
                self.cloud.record_list(self.now);
                self.refill();
                self.schedule(
                    self.now + Cloud::LIST_INTERVAL,
                    Event::RecordCloudListAndRefill,
                );
            }
        }
    }

    fn store_call(&mut self, id: CallId, call: &StoreRequest) {
        let (mutations, bytes) = match call {
            StoreRequest::Transaction(txn) => (txn.then.len(), dillcleat_wire::encode(txn).len()),
            _ => (0, 0),
        };
        if self.measuring() {
            self.measurements.store_calls += 1;
            self.measurements.transaction_bytes += bytes as u64;
            self.measurements.messages.stored_mutations += mutations as u64;
        }
        let allowed = self.store_calls.take(1.0, self.now)
            && self.store_mutations.take(mutations as f64, self.now);
        let answer = if allowed {
            self.store.call(call, self.now)
        } else {
            self.measurements.rate_limited_calls += 1;
            Some(StoreResponse::RateLimited)
        };
        match answer {
            Some(answer) => self.answer_store_call(id, answer),
            None => {
                if let Some((watch, time)) = self.watches.open(id, call) {
                    self.schedule(self.now + time, Event::WatchTimeout { watch });
                }
            }
        }
        for (id, changes) in self.watches.take_changed(&self.store, |_| true) {
            self.answer_store_call(id, StoreResponse::WatchBatch(changes));
        }
    }

    fn answer_store_call(&mut self, id: CallId, answer: StoreResponse) {
        let input = Box::new(Input::Store {
            id,
            reply: Ok(answer),
        });
        self.schedule(self.now + STORE_ROUND_TRIP / 2, Event::NodeInput(input));
    }

    /// Schedules the worker's next event, unless an earlier one is scheduled.
    fn schedule_worker(&mut self, machine: u32) {
        let at = self.workers[machine as usize].next_event_at().max(self.now);
        if at < self.worker_event_at[machine as usize] {
            self.worker_event_at[machine as usize] = at;
            self.schedule(at, Event::Worker { machine });
        }
    }

    fn run_worker(&mut self, machine: u32) {
        let i = machine as usize;
        if self.worker_event_at[i] != self.now
            || !self.worker_indices.contains_key(&self.workers[i].name)
        {
            return;
        }
        self.worker_event_at[i] = Micros::MAX;
        let worker = &mut self.workers[i];
        let incarnation = worker.incarnation;
        let events = worker.advance(self.now, WORKER_LEASE, &self.behaviours);
        let done = |e: &&WorkerEvent| matches!(e, WorkerEvent::Ended { done: true, .. });
        let completed = events.iter().filter(done).count() as u64;
        if worker.incarnation > incarnation {
            self.measurements.expired_leases += 1;
        }
        if worker
            .unanswered_heartbeat
            .is_some_and(|(_, _, sent)| self.now >= sent + HEARTBEAT_TIMEOUT)
        {
            worker.unanswered_heartbeat = None;
            worker.next_heartbeat_at = self.now + SECOND;
        }
        if worker.unanswered_heartbeat.is_none() && self.now >= worker.next_heartbeat_at {
            let heartbeat = worker.heartbeat(self.now);
            worker.unanswered_heartbeat =
                Some((heartbeat.incarnation, heartbeat.sequence, self.now));
            worker.next_heartbeat_at = self.now
                + self
                    .rng
                    .u64(HEARTBEAT_INTERVAL * 3 / 4..HEARTBEAT_INTERVAL * 5 / 4);
            if !self.is_outage() {
                self.last_request += 1;
                let sender = (machine, self.now, heartbeat.incarnation);
                self.unanswered_heartbeats.insert(self.last_request, sender);
                let body = dillcleat_wire::encode(&heartbeat);
                if self.measuring() {
                    let messages = &mut self.measurements.messages;
                    messages.record_heartbeat(&heartbeat, body.len());
                }
                self.request(HEARTBEAT_PATH, body);
            }
        }
        if self.measuring() {
            self.measurements.completions += completed;
        }
        self.schedule_worker(machine);
    }

    /// Sends a request with the number in `last_request`.
    fn request(&mut self, target: &str, body: Vec<u8>) {
        let input = Box::new(Input::Request {
            id: RequestId(self.last_request),
            method: "POST".into(),
            target: target.into(),
            body,
        });
        self.schedule(self.now + NETWORK_DELAY, Event::NodeInput(input));
    }

    fn heartbeat_answered(
        &mut self,
        machine: u32,
        sent: Micros,
        incarnation: u64,
        answer: &Answer,
    ) {
        let worker = &mut self.workers[machine as usize];
        if worker
            .unanswered_heartbeat
            .is_none_or(|(i, _, at)| (i, at) != (incarnation, sent))
            || self.now > sent + HEARTBEAT_TIMEOUT
        {
            return;
        }
        worker.unanswered_heartbeat = None;
        let remaining = worker
            .lease_expires_at(WORKER_LEASE)
            .saturating_sub(self.now);
        match dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
            Ok(reply) if answer.status == 200 => {
                self.measurements.min_lease_remaining =
                    self.measurements.min_lease_remaining.min(remaining);
                worker.advance(self.now, WORKER_LEASE, &self.behaviours);
                worker.heartbeat_answered(&reply, incarnation, sent, self.now, &self.behaviours);
                let answered = &mut self.answered_machines[machine as usize];
                if let (false, Some(elected_at)) = (*answered, self.elected_at) {
                    *answered = true;
                    self.machines_without_answer -= 1;
                    if self.machines_without_answer == 0 {
                        self.measurements.all_machines_answered = Some(self.now - elected_at);
                    }
                }
            }
            _ => worker.next_heartbeat_at = self.now + SECOND,
        }
        self.schedule_worker(machine);
    }

    /// Submits a new job for each job that has ended.
    fn refill(&mut self) {
        let missing = self.open_jobs.saturating_sub(
            self.store.keys(records::OPEN_JOBS_PREFIX).len() + self.submissions_in_flight,
        );
        for _ in 0..missing {
            let spec = self.new_job(JobKind::Batch);
            self.last_request += 1;
            self.submissions_in_flight += 1;
            self.request(JOBS_PATH, dillcleat_wire::encode(&spec));
        }
    }
}
