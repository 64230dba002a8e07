//! The world of a rehearsal: simulated time, a network that delays, loses and
//! holds messages back, and troubles at set times.

mod clients;
mod impatient_users;
mod invalid_requests;
mod network;
mod pipelines;
mod services;
mod users;
mod workers;

use self::pipelines::Stands;
use crate::cloud::Cloud;
use crate::history::OutputHistory;
use crate::objects::{self, Plan, Watcher};
use crate::rules::{Checker, LateLaunches, Limit, MachineIdentity, Violation};
use crate::scenario::{Cut, Fault, Scenario, SubmissionForm};
use crate::service_shares::ServiceShares;
use crate::store::{SimulatedStore, Watches};
use crate::worker::{PATIENCE, TaskBehaviour, Worker, WorkerEvent};
use dillcleat_controller::config::{DeadlineObjective, StartObjective};
use dillcleat_controller::{
    Answer, CallError, CallId, Config, Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND,
    Timestamp, Tuning,
};
use dillcleat_kube::{ApiRequest, Controller, ControllerOutput};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::{CloudRequest, MachineType};
use dillcleat_wire::settings::Team;
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, JobState, JobStatus, Priority};
use dillcleat_wire::user::{cancel_path, poll_path};
use dillcleat_wire::worker::{
    CommandBatch, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, LeaderRedirect,
};
use fastrand::Rng;
use sha2::{Digest, Sha256};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
const USER_TIMEOUT: Micros = 5 * SECOND;
/// Of so many inputs one is preceded by a look at what the leader derives; a look goes
/// over the whole fleet, so a day of a larger scale has so many times fewer.
const AUDIT: u64 = 101;
/// Bytes of a value and changes of a transaction before the limits of the state service
/// fall and after, and tasks in a chunk of a job that the version before has admitted.
/// So small that a few dozen placed tasks are too many for one value.
const WIDE: (usize, usize) = (2048, 48);
const LOW: (usize, usize) = (700, 12);
const OLD_CHUNK: u32 = 80;
const WALL: Micros = 1_700_000_000 * SECOND;

/// What a run has come to.
#[derive(Debug)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub starts: u64,
    pub accepted: usize,
    /// Accepted jobs that neither completed nor were cancelled or services.
    pub unfinished: Vec<String>,
    /// Requests that broke a limit of the state service.
    pub malformed: Vec<String>,
    /// Requests that broke a limit which had fallen without notice.
    pub refused: usize,
    /// Keys of tasks, and of open and cancelled jobs, left behind.
    pub left: Vec<String>,
    /// What a leader had derived that was not as if made anew.
    pub stale: Vec<&'static str>,
    /// SHA-256 of everything told to users: equal seeds give equal digests.
    pub digest: [u8; 32],
    /// SHA-256 of every start and end of a task on a machine, with its time.
    pub placements: [u8; 32],
    /// SHA-256 of everything that the nodes sent, in order ([`OutputHistory`]).
    pub history: [u8; 32],
    /// Jobs of Kubernetes' that were accepted, and ends of them that were told.
    pub objects: (usize, usize),
    /// Tasks that ran on a machine when it went.
    pub lost: usize,
    /// Machines that went by calls whose sender led no more when they were carried
    /// out.
    pub late_hits: usize,
    /// What happened to jobs after their users had been told that they are cancelled.
    pub late: LateLaunches,
    /// Odd requests that were made.
    pub odd_requests: u64,
    /// The most machines that were up at once.
    pub machines: usize,
    /// How much of each class and team was served.
    pub served: ServiceShares,
    /// Leaders that were elected.
    pub terms: u64,
    /// Calls to the state service, watches aside.
    pub state_calls: u64,
    /// How many inputs of each kind the nodes took, and how long that took.
    pub costs: Costs,
    /// The most bytes that a node held when it ended, if the day counts them.
    pub largest_node: usize,
}

/// Number of inputs and time by kind of input.
pub type Costs = BTreeMap<&'static str, (u64, Duration)>;

fn kind(input: &Input, leads: bool) -> &'static str {
    match input {
        _ if !leads => "a follower's input",
        Input::Tick => "tick",
        Input::Request { target, .. } if target == HEARTBEAT_PATH => "report",
        Input::Request { .. } => "user's request",
        Input::Store { .. } => "answer of the state service",
        Input::Cloud { .. } => "answer of the cloud",
        Input::Commands { .. } => "answer to orders",
        Input::Peer { .. } => "sibling's message",
    }
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    Tick {
        node: usize,
        epoch: u32,
    },
    ToNode {
        node: usize,
        epoch: u32,
        input: Box<Input>,
    },
    State {
        caller: Caller,
        call: Box<StoreRequest>,
    },
    /// A request of a Kubernetes-shaped client arrives.
    Ask {
        node: usize,
        epoch: u32,
        request: u64,
        ask: Box<ApiRequest>,
    },
    /// The client of a watch that goes on goes to another node.
    Rewatch,
    Cloud {
        caller: Caller,
        call: Box<CloudRequest>,
    },
    Orders {
        caller: Caller,
        addr: String,
        orders: Box<CommandBatch>,
    },
    WatchEnds {
        watch: u64,
    },
    Workers,
    Checkin {
        machine: String,
        node: usize,
        report: Box<Heartbeat>,
    },
    /// A copy of a report arrives. Nobody hears the answer.
    Copy {
        node: usize,
        report: Box<Heartbeat>,
    },
    CheckinAnswer {
        machine: String,
        session: u64,
        seq: u64,
        sent: Micros,
        answer: Box<Answer>,
        node: usize,
    },
    User {
        job: usize,
    },
    UserTimeout {
        request: u64,
    },
    Stranger,
    /// A user asks what is no use asking.
    Odd,
    /// A user asks beside its other questions, or submits again.
    Look {
        job: usize,
        node: usize,
        again: bool,
    },
    /// A user calls its job off.
    CallOff {
        job: usize,
    },
    Up {
        machine: String,
    },
    Taken {
        machine: String,
    },
    Restart {
        node: usize,
    },
    /// A node ends, and comes back as the new version.
    Replace {
        node: usize,
    },
    /// The state service has the lower limits from now on.
    LimitsFall,
    Fault(Box<Fault>),
    Note,
}

/// Who leads, as seen from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObservedLeader {
    Itself,
    Nobody,
    Another,
}

/// Who made a call, and whether the answer gets across.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    node: usize,
    epoch: u32,
    id: CallId,
    heard: bool,
    /// Of a call to the cloud: who led, by the state service, when it was put on its
    /// way; None if that was just before it arrived.
    led: Option<ObservedLeader>,
    /// Its luck is drawn apart, so that what else happens is what it would be
    /// without it.
    aside: bool,
    /// It has waited at the state service already.
    waited: bool,
}

#[derive(Debug, Clone)]
enum Requester {
    Worker {
        machine: String,
        session: u64,
        seq: u64,
        sent: Micros,
    },
    /// Whoever asked is gone.
    Nobody,
    Submission {
        job: usize,
    },
    Poll {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    /// A question beside the others of the same user.
    Look {
        job: usize,
    },
    /// The same with a repeated submission.
    Again {
        job: usize,
    },
    CallOff {
        job: usize,
    },
    /// A submission that is to be refused so.
    Refused {
        id: String,
        status: u16,
    },
    Stranger {
        id: String,
    },
    Object {
        job: usize,
        what: objects::What,
    },
    Watcher,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Submitting,
    Polling,
    Over,
}

#[derive(Debug)]
struct User {
    spec: JobSpec,
    stage: Stage,
    since: Option<Micros>,
    cancel_at: Option<Micros>,
    accepted: bool,
    ended: Option<JobState>,
    /// When it was told first that the job is accepted, and that it has ended.
    accepted_at: Option<Micros>,
    ended_at: Option<Micros>,
    again: u32,
    /// The Job that it is handed in as.
    object: Option<Plan>,
    /// Where its job stands in a pipeline.
    stands: Stands,
}

impl User {
    fn new(spec: JobSpec, cancel_at: Option<Micros>) -> User {
        User {
            spec,
            stage: Stage::Submitting,
            since: None,
            cancel_at,
            accepted: false,
            ended: None,
            accepted_at: None,
            ended_at: None,
            again: 0,
            object: None,
            stands: Stands::default(),
        }
    }
}

#[derive(Debug)]
pub(crate) struct NodeHost {
    pub node: Option<Controller>,
    pub epoch: u32,
    pub refused_until: Micros,
    pub state_cut: Micros,
    pub workers_cut: Micros,
    pub paused_until: Micros,
    pub mesh_cut: Micros,
    /// Jobs that it has read to be cancelled, or told a user so.
    pub cancelled: BTreeSet<String>,
    /// It has yet to be replaced: it writes as the version before does.
    pub old: bool,
}

/// A zone that is cut off with all that is in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneCut {
    pub until: Micros,
    pub cut: Cut,
}

/// A spell in which machines come up late, never or at once.
#[derive(Debug, Default)]
pub(crate) struct BootDelays {
    pub until: Micros,
    pub factor: u64,
    pub never: u64,
}

/// Until when something befalls so many of a hundred.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultWindow {
    until: Micros,
    percent: u8,
}

impl FaultWindow {
    pub(crate) fn new(until: Micros, percent: u8) -> FaultWindow {
        FaultWindow { until, percent }
    }
}

pub struct Simulation {
    pub(crate) now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Event>,
    pub(crate) rng: Rng,
    /// Luck of what must not disturb the rest of the day.
    side: Rng,
    config: Config,
    pub(crate) nodes: Vec<NodeHost>,
    pub(crate) state: SimulatedStore,
    pub(crate) cloud: Cloud,
    pub(crate) workers: BTreeMap<String, Worker>,
    watches: Watches<Caller>,
    next: u64,
    /// Who waits for an answer, and since when.
    asked: BTreeMap<u64, (Requester, Micros)>,
    users: Vec<User>,
    plays: BTreeMap<String, TaskBehaviour>,
    pub(crate) zone_cut: [Micros; 3],
    pub(crate) site_cut: [ZoneCut; 3],
    pub(crate) flaky_until: Micros,
    pub(crate) storm_until: Micros,
    pub(crate) too_many_until: Micros,
    pub(crate) slow_state_until: Micros,
    pub(crate) late_writes_until: Micros,
    pub(crate) late_reports_until: Micros,
    pub(crate) close_looks_until: Micros,
    pub(crate) odd_until: Micros,
    odd_requests: u64,
    pub(crate) cancels_at_once: FaultWindow,
    pub(crate) cancels_at_end: FaultWindow,
    pub(crate) answers_lost: FaultWindow,
    pub(crate) reports_for_next: FaultWindow,
    /// Copies of reports for the next leader, and the last term that one had.
    kept_reports: Vec<Heartbeat>,
    last_term: u64,
    pub(crate) boots: BootDelays,
    checker: Checker,
    scenario: Scenario,
    /// Inputs that nodes took.
    inputs: u64,
    /// Calls to the state service, watches aside.
    state_calls: u64,
    stale: Vec<&'static str>,
    digest: Sha256,
    placements: Sha256,
    history: OutputHistory,
    watcher: Watcher,
    most_machines: usize,
    lost: usize,
    /// Machines that went by calls whose sender led no more when they were carried out.
    late_hits: usize,
    served: ServiceShares,
    costs: Costs,
    pub(crate) largest_node: usize,
}

fn types(tight: bool) -> Vec<MachineType> {
    let t = |name: &str, cpus: f64, price: f64, boot_s: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: Some(price / 3.0),
        boot_s,
        zones: ZONES.iter().map(|z| z.to_string()).collect(),
    };
    let mut types = vec![t("small", 4.0, 0.3, 5.0), t("large", 16.0, 1.0, 12.0)];
    if tight {
        types.push(MachineType {
            gpus: 2.0,
            ..t("fast", 8.0, 2.0, 8.0)
        });
    }
    types
}

/// The settings of a node on a day.
fn settings(scenario: &Scenario, node: usize) -> Config {
    let mut config = config(node, scenario.nodes, scenario.scale);
    if scenario.large_site {
        config = large_site(config, scenario.scale);
    }
    if scenario.tight {
        let scale = f64::from(scenario.scale);
        for team in &mut config.teams {
            team.cpus_max = if team.cpus_max > 0.0 { 12.0 } else { 24.0 } * scale;
            team.gpus_max = 3.0 * scale;
        }
    }
    config
}

/// The limits of the state service, the cloud and a controller at the largest site. No
/// team has more than a third of the fleet.
fn large_site(mut config: Config, scale: u32) -> Config {
    let value_bytes = 16 * 1024;
    for team in config.teams.iter_mut().filter(|t| t.cpus_max > 0.0) {
        team.cpus_max = 160.0 * f64::from(scale);
    }
    Config {
        store_rps: 500.0,
        store_write_rps: 200.0,
        current_store_write_rps: 200.0,
        max_value_bytes: value_bytes,
        current_max_value_bytes: value_bytes,
        tasks_per_chunk: dillcleat_controller::config::tasks_per_chunk(value_bytes),
        max_txn_ops: 48,
        cloud_rps: 4.0,
        memory_mb: 188.0,
        max_commands_in_flight: 686,
        ..config
    }
}

/// Settings of a rehearsal: like a deployment's, with small limits so that
/// every run meets them.
pub fn config(member: usize, nodes: usize, scale: u32) -> Config {
    let name = |i: usize| format!("node-{i}");
    let team = |name: &str, max: f64| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Config {
        member: name(member),
        zone: ZONES[member % 3].into(),
        peers: (0..nodes).filter(|i| *i != member).map(name).collect(),
        peers_in_other_zones: (0..nodes)
            .filter(|i| i % 3 != member % 3)
            .map(name)
            .collect(),
        teams: vec![team("bound", 12.0 * f64::from(scale)), team("free", 0.0)],
        heartbeat_interval: 2 * SECOND,
        worker_lease: 14 * SECOND,
        cancel_time_limit: 44 * SECOND,
        clock_error: SECOND / 4,
        store_rps: 200.0,
        store_write_rps: 80.0,
        max_value_bytes: 2048,
        current_max_value_bytes: 2048,
        current_store_write_rps: 80.0,
        // Few, so that most arrays have several.
        tasks_per_chunk: 25,
        max_txn_ops: 12,
        cloud_rps: 2.0,
        cloud_list_lag: 4 * SECOND,
        memory_mb: 72.0,
        // Few, so that every run meets the bound.
        max_commands_in_flight: 4,
        start_objectives: vec![StartObjective {
            class: "web".into(),
            within: SECOND,
        }],
        deadline_objectives: vec![DeadlineObjective {
            class: "merge".into(),
            share: 0.98,
            max_multiple: 1.5,
        }],
        tuning: Tuning::default(),
    }
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let config = settings(&scenario, 0);
        let limits = config
            .teams
            .iter()
            .map(|t| (t.name.clone(), Limit::of(t)))
            .filter(|(_, limit)| limit.cpus > 0.0 || limit.gpus > 0.0)
            .collect();
        let mut w = Simulation {
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            rng: Rng::with_seed(scenario.seed),
            side: Rng::with_seed(scenario.seed ^ 0x5151),
            nodes: (0..scenario.nodes)
                .map(|_| NodeHost {
                    node: None,
                    epoch: 0,
                    refused_until: 0,
                    state_cut: 0,
                    workers_cut: 0,
                    paused_until: 0,
                    mesh_cut: 0,
                    cancelled: BTreeSet::new(),
                    old: scenario.upgrade.is_some(),
                })
                .collect(),
            state: match scenario.upgrade {
                None => SimulatedStore::new(config.max_value_bytes, config.max_txn_ops),
                Some(_) => SimulatedStore::new(WIDE.0, WIDE.1),
            },
            cloud: Cloud::new(
                types(scenario.tight),
                4 * scenario.scale,
                config.cloud_list_lag,
            ),
            workers: BTreeMap::new(),
            watches: Watches::default(),
            next: 0,
            asked: BTreeMap::new(),
            users: Vec::new(),
            plays: BTreeMap::new(),
            zone_cut: [0; 3],
            site_cut: [ZoneCut {
                until: 0,
                cut: Cut::Held,
            }; 3],
            flaky_until: 0,
            storm_until: 0,
            too_many_until: 0,
            slow_state_until: 0,
            late_writes_until: 0,
            late_reports_until: 0,
            close_looks_until: 0,
            odd_until: 0,
            odd_requests: 0,
            cancels_at_once: FaultWindow::default(),
            cancels_at_end: FaultWindow::default(),
            answers_lost: FaultWindow::default(),
            reports_for_next: FaultWindow::default(),
            kept_reports: Vec::new(),
            last_term: 0,
            boots: BootDelays::default(),
            checker: Checker::new(config.cancel_time_limit, limits),
            config,
            inputs: 0,
            state_calls: 0,
            stale: Vec::new(),
            digest: Sha256::new(),
            placements: Sha256::new(),
            history: OutputHistory::default(),
            watcher: Watcher::default(),
            most_machines: 0,
            lost: 0,
            late_hits: 0,
            served: ServiceShares::default(),
            costs: Costs::new(),
            largest_node: 0,
            scenario,
        };
        for node in 0..w.scenario.nodes {
            w.at(0, Event::Restart { node });
        }
        let ends = w.scenario.faults.iter().map(|(at, f)| at + f.lasts());
        w.checker.troubles_end = ends.max().unwrap_or(0).max(w.scenario.busy);
        for (at, fault) in w.scenario.faults.clone() {
            w.at(at, Event::Fault(Box::new(fault)));
        }
        for job in 0..w.scenario.jobs {
            w.add_user(job);
        }
        w.add_pipelines();
        w.add_stream();
        if let Some((first, every)) = w.scenario.upgrade {
            for node in 0..w.scenario.nodes {
                w.at(first + every * node as u64, Event::Replace { node });
            }
        }
        if let Some(at) = w.scenario.limits_fall {
            w.at(at, Event::LimitsFall);
        }
        w.at(SECOND, Event::Workers);
        w.at(SECOND, Event::Note);
        w.at(10 * SECOND, Event::Stranger);
        if w.scenario.form.objects() {
            w.at(2 * SECOND, Event::Rewatch);
        }
        w
    }

    /// Whether a spell befalls this one.
    fn befalls(&mut self, spell: FaultWindow) -> bool {
        self.now < spell.until && self.side.u8(..100) < spell.percent
    }

    pub(crate) fn at(&mut self, at: Micros, ev: Event) {
        self.order += 1;
        self.events.push(Reverse((at.max(self.now), self.order)));
        self.what.insert(self.order, ev);
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, order))) = self.events.pop() {
            if at > self.scenario.end {
                break;
            }
            self.now = at;
            if let Some(ev) = self.what.remove(&order) {
                self.happen(ev);
            }
            self.checker.step(self.now);
            if !self.checker.violations.is_empty() {
                break;
            }
        }
        let end = self.now;
        for node in 0..self.nodes.len() {
            self.dismiss(node);
        }
        self.checker.finish(end);
        self.finish_objects(end);
        self.finish_served();
        let unfinished = self
            .users
            .iter()
            .filter(|u| {
                u.accepted
                    && u.spec.kind == JobKind::Batch
                    && u.cancel_at.is_none()
                    && u.ended != Some(JobState::Done)
                    && !(u.ended.is_some() && self.checker.doomed(&u.spec.id))
                    // Its end by the service was shown with its cause.
                    && !(u.object.is_some() && u.ended == Some(JobState::Cancelled))
            })
            .map(|u| format!("{} ({:?})", u.spec.id, u.ended))
            .collect();
        let terms = self.state.term();
        let late = self.checker.late();
        Outcome {
            starts: self.checker.starts_seen(),
            accepted: self.users.iter().filter(|u| u.accepted).count(),
            unfinished,
            left: [self.state.keys("t/"), self.state.keys("q/")].concat(),
            refused: self.state.refused,
            malformed: self.state.malformed,
            violations: self.checker.violations,
            stale: self.stale,
            digest: self.digest.finalize().into(),
            placements: self.placements.finalize().into(),
            history: self.history.finish(),
            objects: self.watcher.counts(),
            lost: self.lost,
            late_hits: self.late_hits,
            late,
            odd_requests: self.odd_requests,
            machines: self.most_machines,
            served: self.served,
            terms,
            state_calls: self.state_calls,
            costs: self.costs,
            largest_node: self.largest_node,
        }
    }

    /// Ends a node, and notes what it held.
    pub(crate) fn dismiss(&mut self, node: usize) {
        let bytes = self.scenario.allocated.unwrap_or(|| 0);
        let before = bytes();
        self.nodes[node].node = None;
        self.largest_node = self.largest_node.max(before.saturating_sub(bytes()));
    }

    fn wake(&mut self, node: usize, input: Input) {
        let now = self.clocks(node);
        let compared = self.compared();
        if let Input::Store {
            reply: Ok(reply), ..
        } = &input
        {
            self.nodes[node]
                .cancelled
                .extend(services::cancelled(reply));
        }
        let Some(n) = self.nodes[node].node.as_mut() else {
            return;
        };
        self.inputs += 1;
        // Days that are compared are not looked into: a look brings forward what a
        // tick would do, and their inputs do not come in the same number.
        let audit = AUDIT * u64::from(self.scenario.scale);
        if self.inputs.is_multiple_of(audit) && !compared {
            self.stale.extend(n.node.audit(now));
        }
        let kind = kind(&input, n.node.leading().is_some());
        let begun = Instant::now();
        let outputs = n.handle(now, input);
        let cost = self.costs.entry(kind).or_default();
        cost.0 += 1;
        cost.1 += begun.elapsed();
        let epoch = self.nodes[node].epoch;
        for output in outputs {
            self.carry(node, epoch, output);
        }
    }

    fn wake_door(&mut self, node: usize, request: u64, ask: ApiRequest) {
        let now = self.clocks(node);
        let epoch = self.nodes[node].epoch;
        if let Some(n) = self.nodes[node].node.as_mut() {
            for out in n.handle_request(now, RequestId(request), ask) {
                self.carry(node, epoch, out);
            }
        }
    }

    fn clocks(&self, node: usize) -> Timestamp {
        Timestamp {
            // Steady clocks may run 0.05% fast.
            monotonic: SECOND * 1000 + self.now + self.now / 2000 * node as u64 / 2,
            wall: WALL + self.now + (node as u64) * SECOND / 10,
        }
    }

    fn input(&mut self, at: Micros, node: usize, epoch: u32, input: Input) {
        let input = Box::new(input);
        self.at(at, Event::ToNode { node, epoch, input });
    }

    /// Days that are compared draw the luck of each event anew, by its time and by what
    /// it is: calls that only one of them makes leave the others what they are.
    fn draw_anew(&mut self, ev: &Event) {
        let mut hash = DefaultHasher::new();
        (self.scenario.seed, self.now).hash(&mut hash);
        let submits = match ev {
            Event::ToNode { input, .. } => {
                matches!(&**input, Input::Request { target, .. } if target == JOBS_PATH)
            }
            Event::Ask { ask, .. } => ask.method == "POST",
            _ => false,
        };
        if !submits {
            std::mem::discriminant(ev).hash(&mut hash);
        }
        if let Event::User { job } = ev {
            job.hash(&mut hash);
        }
        self.rng = Rng::with_seed(hash.finish());
    }

    /// Whether this day is compared with the same in another form.
    pub(crate) fn compared(&self) -> bool {
        matches!(
            self.scenario.form,
            SubmissionForm::Twin | SubmissionForm::Shadow
        )
    }

    fn happen(&mut self, ev: Event) {
        if self.compared() {
            self.draw_anew(&ev);
        }
        match ev {
            Event::Tick { node, epoch } => {
                let paused = self.nodes[node].paused_until;
                if self.now < paused {
                    self.at(paused, Event::Tick { node, epoch });
                } else if self.nodes[node].epoch == epoch && self.nodes[node].node.is_some() {
                    self.wake(node, Input::Tick);
                    self.at(self.now + 50 * MILLISECOND, Event::Tick { node, epoch });
                }
            }
            Event::ToNode { node, epoch, input } => {
                let paused = self.nodes[node].paused_until;
                if self.now < paused {
                    self.at(paused, Event::ToNode { node, epoch, input });
                } else if self.nodes[node].epoch == epoch {
                    self.wake(node, *input);
                }
            }
            Event::Ask {
                node,
                epoch,
                request,
                ask,
            } => {
                let paused = self.nodes[node].paused_until;
                let again = Event::Ask {
                    node,
                    epoch,
                    request,
                    ask: ask.clone(),
                };
                if self.now < paused {
                    self.at(paused, again);
                } else if self.nodes[node].epoch == epoch {
                    self.wake_door(node, request, *ask);
                }
            }
            Event::Rewatch => self.rewatch(),
            Event::State { caller, call } => self.state_call(caller, &call),
            Event::WatchEnds { watch } => {
                // In an outage it stays open.
                if !self.state.out(self.now)
                    && let Some((caller, changes)) = self.watches.end(watch, &self.state)
                {
                    self.watch_answer(caller, changes);
                }
            }
            Event::Cloud { caller, call } => self.cloud_call(caller, &call),
            Event::Orders {
                caller,
                addr,
                orders,
            } => self.orders(caller, addr, orders),
            Event::Workers => {
                self.most_machines = self.most_machines.max(self.workers.len());
                self.pass_workers();
                self.look_at_replicas();
                self.look_for_waiting();
            }
            Event::Checkin {
                machine,
                node,
                report,
            } => {
                let asker = Requester::Worker {
                    machine,
                    session: report.incarnation,
                    seq: report.sequence,
                    sent: self.now,
                };
                let body = dillcleat_wire::encode(&*report);
                self.ask(node, asker, "POST", HEARTBEAT_PATH.into(), body);
            }
            Event::Copy { node, report } => {
                let body = dillcleat_wire::encode(&*report);
                self.ask(node, Requester::Nobody, "POST", HEARTBEAT_PATH.into(), body);
            }
            Event::CheckinAnswer {
                machine,
                session,
                seq,
                sent,
                answer,
                node,
            } => {
                self.checkin_answer(&machine, session, seq, sent, &answer, node);
            }
            Event::User { job } => self.user(job),
            Event::UserTimeout { request } => match self.asked.remove(&request) {
                Some((Requester::Object { job, what }, _)) => self.object_answer(job, what, 0, &[]),
                Some((Requester::Watcher, _)) => self.watch_ends(request),
                Some((asker, asked)) => self.user_answer(asker, asked, 0, None),
                None => {}
            },
            Event::Stranger => {
                if self.now < self.scenario.busy {
                    let id = format!("req-{}", 500_000 + self.rng.u32(..1000));
                    let path = poll_path(&id);
                    let node = self.rng.usize(..self.nodes.len());
                    self.ask(node, Requester::Stranger { id }, "GET", path, Vec::new());
                    self.at(self.now + 9 * SECOND, Event::Stranger);
                }
            }
            Event::Odd => self.odd(),
            Event::Look { job, node, again } => self.look(job, node, again),
            Event::CallOff { job } => self.call_off(job),
            Event::Up { machine } => {
                let Some(h) = self.cloud.hosts.get(&machine).cloned() else {
                    return;
                };
                let types = types(self.scenario.tight);
                let of = types.iter().find(|t| t.name == h.machine_type);
                let (cpus, gpus) = of.map_or((0.0, 0.0), |t| (t.cpus, t.gpus));
                let place = MachineIdentity {
                    machine: machine.clone(),
                    machine_type: h.machine_type,
                    zone: h.zone,
                    spot: h.spot,
                };
                let node = self.rng.usize(..self.nodes.len());
                self.workers
                    .insert(machine, Worker::new(place, cpus, gpus, self.now, node));
            }
            Event::Taken { machine } => {
                self.cloud.remove(&machine);
                self.machine_ends(&machine);
            }
            Event::Restart { node } => {
                let host = &mut self.nodes[node];
                host.epoch += 1;
                host.cancelled.clear();
                let mut config = settings(&self.scenario, node);
                if self.scenario.upgrade.is_some() {
                    config.current_max_value_bytes = WIDE.0;
                    (config.max_value_bytes, config.max_txn_ops) = LOW;
                    config.tasks_per_chunk = dillcleat_controller::config::tasks_per_chunk(LOW.0);
                }
                if host.old {
                    (config.max_value_bytes, config.max_txn_ops) = WIDE;
                    config.tasks_per_chunk = OLD_CHUNK;
                }
                if matches!(
                    self.scenario.form,
                    SubmissionForm::Twin | SubmissionForm::Shadow
                ) {
                    // Only native submissions are sent a second time.
                    config.tuning.again_s = 0.0;
                }
                let rules = self.scenario.form.objects().then(objects::rules);
                host.node = Some(Controller::new(Node::new(config), rules));
                let epoch = host.epoch;
                let at = self.now + self.rng.u64(..50 * MILLISECOND);
                self.at(at, Event::Tick { node, epoch });
            }
            Event::Replace { node } => {
                let host = &mut self.nodes[node];
                host.old = false;
                host.node = None;
                host.epoch += 1;
                let down = self.side.u64(SECOND / 10..2 * SECOND);
                self.at(self.now + down, Event::Restart { node });
            }
            Event::LimitsFall => self.state.limit(LOW.0, LOW.1),
            Event::Fault(fault) => self.fault(*fault),
            Event::Note => {
                self.cloud.note(self.now);
                self.at(self.now + Cloud::NOTE_EVERY, Event::Note);
            }
        }
    }
}
