//! Deterministic simulation of a cluster: simulated time, a network that delays, drops
//! and holds back messages, and faults injected at scheduled times.

mod configuration;
mod extra_requests;
mod invalid_requests;
mod kubernetes_clients;
mod late_copies;
mod network;
mod pipelines;
mod regular_users;
mod requester;
mod store_and_cloud;
mod users;
mod workers;

pub use self::configuration::base_config;
use self::configuration::{INITIAL_STORE_LIMITS, PREVIOUS_TASKS_PER_CHUNK};
use self::configuration::{REDUCED_STORE_LIMITS, machine_types, scenario_config};
use self::late_copies::RequestCopy;
use self::pipelines::PipelineStage;
use self::requester::Requester;
use crate::cloud::Cloud;
use crate::objects::{self, KubernetesJob, Watcher};
use crate::output_digest::OutputDigest;
use crate::rules::{Checker, LateLaunches, Limit, MachineAttributes, Violation};
use crate::scenario::{Fault, PartitionMode, Scenario, SubmissionForm};
use crate::service_shares::ServiceShares;
use crate::store::{PageLimit, SimulatedStore, Watches};
use crate::worker::{HEARTBEAT_TIMEOUT, TaskBehaviour, Worker, WorkerEvent};
use dillcleat_controller::fencing_tokens::TOKENS_PER_TERM;
use dillcleat_controller::{
    Answer, CallError, CallId, Config, Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND,
    Timestamp,
};
use dillcleat_kube::{ApiRequest, Controller, ControllerOutput};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
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
const REQUEST_TIMEOUT: Micros = 5 * SECOND;
/// How long a user retries a failing submission.
const SUBMISSION_RETRY_TIME: Micros = 60 * SECOND;
/// Number of inputs of all nodes from one audit of derived state to the next. It is multiplied
/// by the scale of the scenario, because an audit visits the whole fleet. An audit checks
/// nothing on a node that is not the leader.
const INPUTS_PER_AUDIT: u64 = 101;
const WALL_CLOCK_START: Micros = 1_700_000_000 * SECOND;
/// Separates the seed of `Simulation::auxiliary_rng` from that of `Simulation::rng`.
const AUXILIARY_SEED_SALT: u64 = 0x5151;

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub starts: u64,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Accepted batch jobs that were neither completed nor cancelled.
    pub unfinished: Vec<String>,
    /// Requests that broke the store's protocol: over a limit, or not fenced by the term.
    pub protocol_errors: Vec<String>,
    /// Number of requests that exceeded a limit of the store after the limits had been
    /// reduced without notice.
    pub refused_over_lowered_limits: usize,
    /// Number of transactions that exceeded the store's limit of writes per second.
    pub rate_limited_transactions: usize,
    /// Keys of tasks and of open or cancelled jobs that remained in the store at the end.
    pub leftover_keys: Vec<String>,
    /// Parts of the leaders' derived state that differed when they were recomputed.
    pub stale: Vec<&'static str>,
    /// SHA-256 of all answers to users. Equal seeds give equal digests.
    pub answer_digest: [u8; 32],
    /// SHA-256 of every start of a task on a machine, and of every end except by the loss of
    /// the machine, with its time.
    pub placement_digest: [u8; 32],
    /// SHA-256 of everything that the nodes sent, in order ([`OutputDigest`]).
    pub output_digest: [u8; 32],
    /// Number of Kubernetes Jobs that the API watch showed, and number of Jobs that it
    /// showed as ended. Both are counted again after the watch restarts without a resource
    /// version.
    pub watched_objects: (usize, usize),
    /// Number of tasks that were running on a machine when it disappeared.
    pub interrupted_tasks: usize,
    /// Number of machines that were deleted by calls executed after another leader had
    /// been elected.
    pub late_deletions: usize,
    /// Launches and starts of tasks after the cancellation of their jobs was confirmed.
    pub late_launches: LateLaunches,
    pub irregular_requests: u64,
    /// The largest number of machines that were up at the same time.
    pub peak_machines: usize,
    pub service_shares: ServiceShares,
    pub leaders_elected: u64,
    /// Number of calls to the store, excluding watches.
    pub store_calls: u64,
    pub input_times: InputTimes,
    /// The most bytes that a node held when it stopped; 0 unless the scenario measures
    /// allocations.
    pub peak_node_bytes: usize,
}

/// Number of inputs that the nodes processed, except API requests, and the time they took, by
/// kind of input.
pub type InputTimes = BTreeMap<&'static str, (u64, Duration)>;

fn input_kind(input: &Input, is_leader: bool) -> &'static str {
    match input {
        _ if !is_leader => "a follower's input",
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
    NodeInput {
        node: usize,
        epoch: u32,
        input: Box<Input>,
    },
    StoreCall {
        caller: Caller,
        call: Box<StoreRequest>,
    },
    /// A request to the Kubernetes API arrives.
    ApiRequest {
        node: usize,
        epoch: u32,
        request: u64,
        api_request: Box<ApiRequest>,
    },
    /// The API watch is reopened if it has ended or is idle.
    CheckApiWatch,
    CloudCall {
        caller: Caller,
        call: Box<CloudRequest>,
    },
    Commands {
        caller: Caller,
        addr: String,
        commands: Box<CommandBatch>,
    },
    StoreWatchExpired {
        watch: u64,
    },
    AdvanceWorkers,
    Heartbeat {
        machine: String,
        node: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// A duplicate of a heartbeat arrives. Its reply is discarded.
    HeartbeatCopy {
        node: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// A copy of a request that was carried out arrives.
    RequestCopy(Box<RequestCopy>),
    HeartbeatReply {
        machine: String,
        incarnation: u64,
        sequence: u64,
        sent_at: Micros,
        answer: Box<Answer>,
        node: usize,
    },
    /// A user sends its next request.
    UserRequest {
        job: usize,
    },
    RequestTimeout {
        request: u64,
    },
    /// A user polls a job that was never submitted.
    PollUnknownJob,
    /// A user sends an invalid or superfluous request.
    IrregularRequest,
    /// A user polls or resubmits its job in addition to its regular requests.
    ExtraRequest {
        job: usize,
        node: usize,
        resubmit: bool,
    },
    /// A user cancels its job in addition to its regular requests.
    CancelJob {
        job: usize,
    },
    MachineBooted {
        machine: String,
    },
    /// The cloud preempts a spot machine.
    MachinePreempted {
        machine: String,
    },
    StartNode {
        node: usize,
    },
    /// A node stops and restarts as the new version.
    UpgradeNode {
        node: usize,
    },
    ReduceStoreLimits,
    /// The store enforces a limit of this many writes per second from now on.
    LimitWriteRate {
        per_s: f64,
    },
    Fault(Box<Fault>),
    RecordCloudListing,
}

/// Which leader the store records, relative to a given node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObservedLeader {
    ThisNode,
    None,
    OtherNode,
}

/// The sender of a call and the conditions under which the call is delivered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    node: usize,
    epoch: u32,
    id: CallId,
    reply_delivered: bool,
    /// The leader when a call to the cloud was sent. None if the call waited for a
    /// connection; the leader at its arrival is used instead.
    leader_when_sent: Option<ObservedLeader>,
    /// Random numbers for this call come from the auxiliary generator, so that the call
    /// does not change the rest of the run.
    auxiliary: bool,
    /// The call has already been delayed and must not be delayed again.
    delayed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UserState {
    Submitting,
    Polling,
    Ended,
}

#[derive(Debug)]
struct User {
    spec: JobSpec,
    stage: UserState,
    first_submitted_at: Option<Micros>,
    cancel_at: Option<Micros>,
    accepted: bool,
    final_state: Option<JobState>,
    /// When an answer first showed that the job was accepted, and that it had ended.
    accepted_at: Option<Micros>,
    ended_at: Option<Micros>,
    /// Counts answers, to alternate between kinds of requests.
    answer_count: u32,
    /// The user keeps its connection to a node and polls at a fixed interval.
    is_regular: bool,
    /// The Kubernetes Job as which the job is submitted.
    kube_job: Option<KubernetesJob>,
    pipeline_stage: PipelineStage,
}

impl User {
    fn new(spec: JobSpec, cancel_at: Option<Micros>) -> User {
        User {
            spec,
            stage: UserState::Submitting,
            first_submitted_at: None,
            cancel_at,
            accepted: false,
            final_state: None,
            accepted_at: None,
            ended_at: None,
            answer_count: 0,
            is_regular: false,
            kube_job: None,
            pipeline_stage: PipelineStage::default(),
        }
    }
}

#[derive(Debug)]
pub(crate) struct NodeHost {
    pub node: Option<Controller>,
    /// Incremented whenever the node stops or starts. Inputs of an earlier epoch are dropped.
    pub epoch: u32,
    pub store_refuses_until: Micros,
    pub store_partition_until: Micros,
    pub worker_partition_until: Micros,
    pub paused_until: Micros,
    pub peer_partition_until: Micros,
    /// Jobs whose cancellation the node has read from the store or confirmed to a user.
    pub known_cancelled_jobs: BTreeSet<String>,
    /// The node runs the version that an upgrade replaces.
    pub previous_version: bool,
}

/// The network partition of a zone with its nodes and workers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZonePartition {
    pub until: Micros,
    pub mode: PartitionMode,
}

/// A period in which new machines boot late, at once or never.
#[derive(Debug, Default)]
pub(crate) struct BootDelays {
    pub until: Micros,
    pub time_factor: u64,
    pub failure_one_in: u64,
}

/// A period in which a fault affects a percentage of requests or users.
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
    last_event_id: u64,
    /// Time and number of each pending event.
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    pub(crate) rng: Rng,
    /// Used where a draw from `rng` would change the rest of the run.
    auxiliary_rng: Rng,
    config: Config,
    pub(crate) nodes: Vec<NodeHost>,
    pub(crate) store: SimulatedStore,
    pub(crate) cloud: Cloud,
    pub(crate) workers: BTreeMap<String, Worker>,
    store_watches: Watches<Caller>,
    last_request_id: u64,
    /// Requests without an answer, with their sender and the time of sending.
    pending_requests: BTreeMap<u64, (Requester, Micros)>,
    users: Vec<User>,
    task_behaviours: BTreeMap<String, TaskBehaviour>,
    pub(crate) zone_worker_partition_until: [Micros; 3],
    pub(crate) zone_partitions: [ZonePartition; 3],
    pub(crate) unreliable_network_until: Micros,
    pub(crate) frequent_polls_until: Micros,
    pub(crate) store_overload_until: Micros,
    pub(crate) slow_store_until: Micros,
    pub(crate) delayed_writes_until: Micros,
    pub(crate) duplicate_heartbeats_until: Micros,
    pub(crate) extra_requests_until: Micros,
    pub(crate) irregular_requests_until: Micros,
    irregular_requests: u64,
    pub(crate) cancel_on_acceptance: FaultWindow,
    pub(crate) cancel_on_completion: FaultWindow,
    pub(crate) lost_write_replies: FaultWindow,
    pub(crate) heartbeats_for_next_leader: FaultWindow,
    pub(crate) late_copies: FaultWindow,
    /// Copies of heartbeats that the next leader will receive.
    saved_heartbeats: Vec<Heartbeat>,
    last_term: u64,
    pub(crate) boot_delays: BootDelays,
    checker: Checker,
    scenario: Scenario,
    /// Number of inputs that the nodes processed.
    input_count: u64,
    /// Number of calls to the store, excluding watches.
    store_calls: u64,
    stale: Vec<&'static str>,
    answer_digest: Sha256,
    placement_digest: Sha256,
    output_digest: OutputDigest,
    watcher: Watcher,
    peak_machines: usize,
    interrupted_tasks: usize,
    late_deletions: usize,
    service_shares: ServiceShares,
    input_times: InputTimes,
    pub(crate) peak_node_bytes: usize,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let config = scenario_config(&scenario, 0);
        let limits = config
            .teams
            .iter()
            .map(|t| (t.name.clone(), Limit::of(t)))
            .filter(|(_, limit)| limit.cpus > 0.0 || limit.gpus > 0.0)
            .collect();
        let page_limit = match scenario.regular_polls {
            Some(_) => PageLimit::FULL,
            None => PageLimit::SMALL,
        };
        let mut simulation = Simulation {
            now: 0,
            last_event_id: 0,
            events: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            rng: Rng::with_seed(scenario.seed),
            auxiliary_rng: Rng::with_seed(scenario.seed ^ AUXILIARY_SEED_SALT),
            nodes: (0..scenario.nodes)
                .map(|_| NodeHost {
                    node: None,
                    epoch: 0,
                    store_refuses_until: 0,
                    store_partition_until: 0,
                    worker_partition_until: 0,
                    paused_until: 0,
                    peer_partition_until: 0,
                    known_cancelled_jobs: BTreeSet::new(),
                    previous_version: scenario.upgrade.is_some(),
                })
                .collect(),
            store: if scenario.upgrade.is_some() || scenario.limits_lowered_at.is_some() {
                SimulatedStore::new(
                    INITIAL_STORE_LIMITS.max_value_bytes,
                    INITIAL_STORE_LIMITS.max_txn_ops,
                )
            } else {
                SimulatedStore::new(config.max_value_bytes, config.max_txn_ops)
            }
            .with_page_limit(page_limit),
            cloud: Cloud::new(
                machine_types(scenario.tight_quotas),
                4 * scenario.scale,
                config.cloud_list_lag,
            ),
            workers: BTreeMap::new(),
            store_watches: Watches::default(),
            last_request_id: 0,
            pending_requests: BTreeMap::new(),
            users: Vec::new(),
            task_behaviours: BTreeMap::new(),
            zone_worker_partition_until: [0; 3],
            zone_partitions: [ZonePartition {
                until: 0,
                mode: PartitionMode::Delayed,
            }; 3],
            unreliable_network_until: 0,
            frequent_polls_until: 0,
            store_overload_until: 0,
            slow_store_until: 0,
            delayed_writes_until: 0,
            duplicate_heartbeats_until: 0,
            extra_requests_until: 0,
            irregular_requests_until: 0,
            irregular_requests: 0,
            cancel_on_acceptance: FaultWindow::default(),
            cancel_on_completion: FaultWindow::default(),
            lost_write_replies: FaultWindow::default(),
            heartbeats_for_next_leader: FaultWindow::default(),
            late_copies: FaultWindow::default(),
            saved_heartbeats: Vec::new(),
            last_term: 0,
            boot_delays: BootDelays::default(),
            checker: Checker::new(config.cancel_time_limit, limits),
            config,
            input_count: 0,
            store_calls: 0,
            stale: Vec::new(),
            answer_digest: Sha256::new(),
            placement_digest: Sha256::new(),
            output_digest: OutputDigest::default(),
            watcher: Watcher::default(),
            peak_machines: 0,
            interrupted_tasks: 0,
            late_deletions: 0,
            service_shares: ServiceShares::default(),
            input_times: InputTimes::new(),
            peak_node_bytes: 0,
            scenario,
        };
        for node in 0..simulation.scenario.nodes {
            simulation.schedule(0, Event::StartNode { node });
        }
        let fault_ends = simulation
            .scenario
            .faults
            .iter()
            .map(|(at, f)| at + f.duration());
        simulation.checker.faults_end = fault_ends
            .max()
            .unwrap_or(0)
            .max(simulation.scenario.activity_end);
        for (at, fault) in simulation.scenario.faults.clone() {
            simulation.schedule(at, Event::Fault(Box::new(fault)));
        }
        for job in 0..simulation.scenario.jobs {
            simulation.add_user(job);
        }
        simulation.add_pipelines();
        simulation.add_short_jobs();
        simulation.add_regular_users();
        if let Some((first, every)) = simulation.scenario.upgrade {
            for node in 0..simulation.scenario.nodes {
                simulation.schedule(first + every * node as u64, Event::UpgradeNode { node });
            }
        }
        if let Some(at) = simulation.scenario.limits_lowered_at {
            simulation.schedule(at, Event::ReduceStoreLimits);
        }
        if let Some(rate) = simulation.scenario.lowered_write_rate {
            simulation.store.limit_write_rate(rate.before_per_s);
            let per_s = rate.after_per_s;
            simulation.schedule(rate.at, Event::LimitWriteRate { per_s });
        }
        simulation.schedule(SECOND, Event::AdvanceWorkers);
        simulation.schedule(SECOND, Event::RecordCloudListing);
        simulation.schedule(10 * SECOND, Event::PollUnknownJob);
        if simulation.scenario.form.uses_kubernetes() {
            simulation.schedule(2 * SECOND, Event::CheckApiWatch);
        }
        simulation
    }

    /// Draws whether a fault affects the current request or user.
    fn is_affected(&mut self, window: FaultWindow) -> bool {
        self.now < window.until && self.auxiliary_rng.u8(..100) < window.percent
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event_id += 1;
        self.events
            .push(Reverse((at.max(self.now), self.last_event_id)));
        self.pending_events.insert(self.last_event_id, event);
    }

    /// Runs until the scenario ends or a rule is violated.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, event_id))) = self.events.pop() {
            if at > self.scenario.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending_events.remove(&event_id) {
                self.process_event(event);
            }
            self.checker.check_cancellations(self.now);
            if !self.checker.violations.is_empty() {
                break;
            }
        }
        let end = self.now;
        for node in 0..self.nodes.len() {
            self.stop_node(node);
        }
        self.checker.finish(end);
        self.check_stored_objects(end);
        self.record_batch_service();
        let unfinished = self
            .users
            .iter()
            .filter(|u| {
                u.accepted
                    && u.spec.kind == JobKind::Batch
                    && u.cancel_at.is_none()
                    && u.final_state != Some(JobState::Done)
                    && !(u.final_state.is_some() && self.checker.has_cancelled_dependency(&u.spec.id))
                    // A Kubernetes Job may be ended by its deadline or backoff limit.
                    && !(u.kube_job.is_some() && u.final_state == Some(JobState::Cancelled))
            })
            .map(|u| format!("{} ({:?})", u.spec.id, u.final_state))
            .collect();
        let leaders_elected = self.store.term() / TOKENS_PER_TERM;
        let late_launches = self.checker.late_launches();
        Outcome {
            starts: self.checker.task_starts(),
            accepted: self.users.iter().filter(|u| u.accepted).count(),
            unfinished,
            leftover_keys: [self.store.keys("t/"), self.store.keys("q/")].concat(),
            refused_over_lowered_limits: self.store.refused_over_lowered_limits,
            rate_limited_transactions: self.store.rate_limited_transactions,
            protocol_errors: self.store.protocol_errors,
            violations: self.checker.violations,
            stale: self.stale,
            answer_digest: self.answer_digest.finalize().into(),
            placement_digest: self.placement_digest.finalize().into(),
            output_digest: self.output_digest.finish(),
            watched_objects: self.watcher.counts(),
            interrupted_tasks: self.interrupted_tasks,
            late_deletions: self.late_deletions,
            late_launches,
            irregular_requests: self.irregular_requests,
            peak_machines: self.peak_machines,
            service_shares: self.service_shares,
            leaders_elected,
            store_calls: self.store_calls,
            input_times: self.input_times,
            peak_node_bytes: self.peak_node_bytes,
        }
    }

    /// Stops a node and records how much memory it used.
    pub(crate) fn stop_node(&mut self, node: usize) {
        let bytes = self.scenario.allocated_bytes.unwrap_or(|| 0);
        let before = bytes();
        self.nodes[node].node = None;
        self.peak_node_bytes = self.peak_node_bytes.max(before.saturating_sub(bytes()));
    }

    fn handle_input(&mut self, node: usize, input: Input) {
        let now = self.node_clock(node);
        let compared = self.is_comparison_run();
        if let Input::Store {
            reply: Ok(reply), ..
        } = &input
        {
            self.nodes[node]
                .known_cancelled_jobs
                .extend(store_and_cloud::cancelled_jobs(reply));
        }
        let Some(n) = self.nodes[node].node.as_mut() else {
            return;
        };
        self.input_count += 1;
        // Runs that are compared are not audited: an audit does work early that a tick
        // would do later, and the two runs differ in their number of inputs.
        let audit = INPUTS_PER_AUDIT * u64::from(self.scenario.scale);
        if self.input_count.is_multiple_of(audit) && !compared {
            self.stale.extend(n.node.audit(now));
        }
        let kind = input_kind(&input, n.node.leading().is_some());
        let started = Instant::now();
        let outputs = n.handle(now, input);
        let cost = self.input_times.entry(kind).or_default();
        cost.0 += 1;
        cost.1 += started.elapsed();
        let epoch = self.nodes[node].epoch;
        for output in outputs {
            self.dispatch_output(node, epoch, output);
        }
    }

    fn handle_api_request(&mut self, node: usize, request: u64, api_request: ApiRequest) {
        let now = self.node_clock(node);
        let epoch = self.nodes[node].epoch;
        if let Some(n) = self.nodes[node].node.as_mut() {
            for out in n.handle_request(now, RequestId(request), api_request) {
                self.dispatch_output(node, epoch, out);
            }
        }
    }

    fn node_clock(&self, node: usize) -> Timestamp {
        Timestamp {
            // Each node's monotonic clock runs 0.025% faster than that of the previous node.
            monotonic: SECOND * 1000 + self.now + self.now / 2000 * node as u64 / 2,
            wall: WALL_CLOCK_START + self.now + (node as u64) * SECOND / 10,
        }
    }

    fn schedule_input(&mut self, at: Micros, node: usize, epoch: u32, input: Input) {
        let input = Box::new(input);
        self.schedule(at, Event::NodeInput { node, epoch, input });
    }

    /// In a run that is compared with another, seeds the generator for each event from the
    /// time and the kind of the event. Calls made in only one of the two runs then do not
    /// change the random numbers of other events.
    fn reseed_for_event(&mut self, event: &Event) {
        let mut hash = DefaultHasher::new();
        (self.scenario.seed, self.now).hash(&mut hash);
        let submits = match event {
            Event::NodeInput { input, .. } => {
                matches!(&**input, Input::Request { target, .. } if target == JOBS_PATH)
            }
            Event::ApiRequest { api_request, .. } => api_request.method == "POST",
            _ => false,
        };
        if !submits {
            std::mem::discriminant(event).hash(&mut hash);
        }
        if let Event::UserRequest { job } = event {
            job.hash(&mut hash);
        }
        self.rng = Rng::with_seed(hash.finish());
    }

    /// Whether this run is compared with one that submits the same jobs in another form.
    pub(crate) fn is_comparison_run(&self) -> bool {
        matches!(
            self.scenario.form,
            SubmissionForm::NativeWithKubernetesIds | SubmissionForm::KubernetesCreateOnly
        )
    }

    fn process_event(&mut self, event: Event) {
        if self.is_comparison_run() {
            self.reseed_for_event(&event);
        }
        match event {
            Event::Tick { node, epoch } => {
                let paused = self.nodes[node].paused_until;
                if self.now < paused {
                    self.schedule(paused, Event::Tick { node, epoch });
                } else if self.nodes[node].epoch == epoch && self.nodes[node].node.is_some() {
                    self.handle_input(node, Input::Tick);
                    self.schedule(self.now + 50 * MILLISECOND, Event::Tick { node, epoch });
                }
            }
            Event::NodeInput { node, epoch, input } => {
                let paused = self.nodes[node].paused_until;
                if self.now < paused {
                    self.schedule(paused, Event::NodeInput { node, epoch, input });
                } else if self.nodes[node].epoch == epoch {
                    self.handle_input(node, *input);
                }
            }
            Event::ApiRequest {
                node,
                epoch,
                request,
                api_request,
            } => {
                let paused = self.nodes[node].paused_until;
                let deferred = Event::ApiRequest {
                    node,
                    epoch,
                    request,
                    api_request: api_request.clone(),
                };
                if self.now < paused {
                    self.schedule(paused, deferred);
                } else if self.nodes[node].epoch == epoch {
                    self.handle_api_request(node, request, *api_request);
                }
            }
            Event::CheckApiWatch => self.check_api_watch(),
            Event::StoreCall { caller, call } => self.store_call(caller, &call),
            Event::StoreWatchExpired { watch } => {
                // During an outage the watch stays open.
                if !self.store.is_unavailable(self.now)
                    && let Some((caller, changes)) = self.store_watches.close(watch, &self.store)
                {
                    self.send_watch_batch(caller, changes);
                }
            }
            Event::CloudCall { caller, call } => self.cloud_call(caller, &call),
            Event::Commands {
                caller,
                addr,
                commands,
            } => self.deliver_commands(caller, addr, commands),
            Event::AdvanceWorkers => {
                self.peak_machines = self.peak_machines.max(self.workers.len());
                self.advance_workers();
                self.record_replica_counts();
                self.check_waiting_jobs();
            }
            Event::Heartbeat {
                machine,
                node,
                heartbeat,
            } => {
                let requester = Requester::Worker {
                    machine,
                    incarnation: heartbeat.incarnation,
                    sequence: heartbeat.sequence,
                    sent_at: self.now,
                };
                let body = dillcleat_wire::encode(&*heartbeat);
                self.send_request(node, requester, "POST", HEARTBEAT_PATH.into(), body);
            }
            Event::HeartbeatCopy { node, heartbeat } => {
                let body = dillcleat_wire::encode(&*heartbeat);
                self.send_request(
                    node,
                    Requester::ReplyDiscarded,
                    "POST",
                    HEARTBEAT_PATH.into(),
                    body,
                );
            }
            Event::RequestCopy(copy) => self.deliver_copy(*copy),
            Event::HeartbeatReply {
                machine,
                incarnation,
                sequence,
                sent_at,
                answer,
                node,
            } => {
                self.heartbeat_reply(&machine, incarnation, sequence, sent_at, &answer, node);
            }
            Event::UserRequest { job } => self.user_request(job),
            Event::RequestTimeout { request } => match self.pending_requests.remove(&request) {
                Some((Requester::ApiClient { job, operation }, _)) => {
                    self.api_client_answer(job, operation, 0, &[]);
                }
                Some((Requester::ApiWatch, _)) => self.api_watch_ended(request),
                Some((requester, sent_at)) => self.handle_user_answer(requester, sent_at, 0, None),
                None => {}
            },
            Event::PollUnknownJob => {
                if self.now < self.scenario.activity_end {
                    let id = format!("req-{}", 500_000 + self.rng.u32(..1000));
                    let path = poll_path(&id);
                    let node = self.rng.usize(..self.nodes.len());
                    self.send_request(
                        node,
                        Requester::UnknownJobPoll { id },
                        "GET",
                        path,
                        Vec::new(),
                    );
                    self.schedule(self.now + 9 * SECOND, Event::PollUnknownJob);
                }
            }
            Event::IrregularRequest => self.irregular_request(),
            Event::ExtraRequest {
                job,
                node,
                resubmit,
            } => self.extra_request(job, node, resubmit),
            Event::CancelJob { job } => self.cancel_job(job),
            Event::MachineBooted { machine } => {
                let Some(h) = self.cloud.machines.get(&machine).cloned() else {
                    return;
                };
                let types = machine_types(self.scenario.tight_quotas);
                let of = types.iter().find(|t| t.name == h.machine_type);
                let (cpus, gpus) = of.map_or((0.0, 0.0), |t| (t.cpus, t.gpus));
                let place = MachineAttributes {
                    machine: machine.clone(),
                    machine_type: h.machine_type,
                    zone: h.zone,
                    spot: h.spot,
                };
                let node = self.rng.usize(..self.nodes.len());
                self.workers
                    .insert(machine, Worker::new(place, cpus, gpus, self.now, node));
            }
            Event::MachinePreempted { machine } => {
                self.cloud.remove(&machine);
                self.remove_machine(&machine);
            }
            Event::StartNode { node } => {
                let host = &mut self.nodes[node];
                host.epoch += 1;
                host.known_cancelled_jobs.clear();
                let mut config = scenario_config(&self.scenario, node);
                if self.scenario.upgrade.is_some() {
                    config.current_max_value_bytes = INITIAL_STORE_LIMITS.max_value_bytes;
                    config.max_value_bytes = REDUCED_STORE_LIMITS.max_value_bytes;
                    config.max_txn_ops = REDUCED_STORE_LIMITS.max_txn_ops;
                    config.tasks_per_chunk = dillcleat_controller::config::tasks_per_chunk(
                        REDUCED_STORE_LIMITS.max_value_bytes,
                    );
                }
                if host.previous_version {
                    config.max_value_bytes = INITIAL_STORE_LIMITS.max_value_bytes;
                    config.max_txn_ops = INITIAL_STORE_LIMITS.max_txn_ops;
                    config.tasks_per_chunk = PREVIOUS_TASKS_PER_CHUNK;
                }
                if matches!(
                    self.scenario.form,
                    SubmissionForm::NativeWithKubernetesIds | SubmissionForm::KubernetesCreateOnly
                ) {
                    // Disables hedging, which applies only to native submissions and would make the
                    // compared runs differ.
                    config.tuning.again_s = 0.0;
                }
                let api_server = self
                    .scenario
                    .form
                    .uses_kubernetes()
                    .then(objects::api_server_config);
                host.node = Some(Controller::new(Node::new(config), api_server));
                let epoch = host.epoch;
                let at = self.now + self.rng.u64(..50 * MILLISECOND);
                self.schedule(at, Event::Tick { node, epoch });
            }
            Event::UpgradeNode { node } => {
                let host = &mut self.nodes[node];
                host.previous_version = false;
                host.node = None;
                host.epoch += 1;
                let down = self.auxiliary_rng.u64(SECOND / 10..2 * SECOND);
                self.schedule(self.now + down, Event::StartNode { node });
            }
            Event::ReduceStoreLimits => self.store.lower_limits(
                REDUCED_STORE_LIMITS.max_value_bytes,
                REDUCED_STORE_LIMITS.max_txn_ops,
            ),
            Event::LimitWriteRate { per_s } => self.store.limit_write_rate(per_s),
            Event::Fault(fault) => self.start_fault(*fault),
            Event::RecordCloudListing => {
                self.cloud.record_list(self.now);
                self.schedule(self.now + Cloud::LIST_INTERVAL, Event::RecordCloudListing);
            }
        }
    }
}
