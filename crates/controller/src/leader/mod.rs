//! The leader of a term: jobs, machines, and everything done for them.

mod autoscaling;
mod boot_estimator;
mod command_dispatch;
mod deadline_risk;
mod dependencies;
mod derived;
mod estimate_replication;
mod heartbeats;
mod job_lifecycle;
mod recovery;
mod scheduling;
mod service_headroom;
mod spot_interruption;
mod state_writes;
mod task_ranges;
mod unknown_jobs;
mod zone_partition;

use self::boot_estimator::BootEstimator;
use self::command_dispatch::CommandDispatch;
use self::dependencies::DependencyProofs;
use self::derived::DerivedState;
use self::task_ranges::TaskRanges;
use self::unknown_jobs::UnknownJob;
use crate::calls::{CallError, Context};
use crate::cloud_queue::{CloudQueue, CloudRequestKind, PendingScaleOut};
use crate::continuations::{Continuation, LeaderStep as Step};
use crate::dependency_graph::DependencyGraph;
use crate::failure_attribution::FailureRecord;
use crate::inherited_estimates::InheritedEstimates;
use crate::leadership_guard::{CloudAction, DeletionReason, LeadershipProof};
use crate::machines::{HeartbeatSource, Machine, TaskEvent, TaskKey};
use crate::records::{
    self, CancelledJob, JobStateRecord, MachineRecord, OpenJob, RecordedState, TaskChunk, TaskRange,
};
use crate::sched::preemption::{PreemptionCandidate, choose_preemptions};
use crate::sched::scale_out_plan::{PlanInputs, RefusedOfferings, plan_scale_out};
use crate::sched::{
    self, CapacityIndex, JobQueue, JobView, MachineView, ResourceRequest, Resources, SlabIndex,
    TeamAllowance,
};
use crate::slab::Slab;
use crate::write_queue::{PendingWrite, WriteBatch, WriteQueue, WriteRate};
use crate::{
    Answer, CallId, Config, MILLISECOND, Micros, SECOND, SchedulerCounters, micros, seconds,
};
use dillcleat_peer_protocol::JobProgress;
use dillcleat_sched::to_millionths;
use dillcleat_wire::TaskName;
use dillcleat_wire::cloud::{CloudResponse, InstanceState, MachineList, MachineType, ScaleOut};
use dillcleat_wire::store::{
    self, KeyValue, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, Value,
    WatchEvent,
};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use dillcleat_wire::worker::{Command, CommandBatch, ExitReason, Heartbeat, HeartbeatReply};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// How long a watch for submissions and cancellations is held.
const WATCH_MS: u64 = 2_000;
/// A look at the cancellations that was sent so long ago is no longer sure.
const SIGHT: Micros = 6 * SECOND;
// In a quiet deployment nothing is seen before the watch has run out, and the look is
// as old as two of them by the time that the next one is answered. Held for 4 s, it was
// too old to place or launch by for half of the time.
const _: () = assert!(2 * WATCH_MS * MILLISECOND + SECOND <= SIGHT);
const RETRY: Micros = 100 * MILLISECOND;
/// Waiting tasks of one job that a pass looks at.
const PASS_TASKS: usize = 200;
/// Waiting jobs that a rental plan looks at, unless those before rent nothing.
const PLAN_JOBS: usize = 1000;
/// How long a zone that fell silent is not rented in, unless it is heard.
const DARK: Micros = 60 * SECOND;
/// Part of the store's writes that records nobody waits for may take.
const LATER_PART: f64 = 0.3;
/// Bound of a transaction's size; the rest of the limit is for its frame.
const BATCH_BYTES: usize = store::MAX_TRANSACTION_BYTES * 3 / 4;

/// The machine types as they are in the store, and the version of their record.
#[derive(Debug, Clone, Default)]
pub struct VersionedMachineTypes {
    pub types: Option<Rc<Vec<MachineType>>>,
    pub version: u64,
}

/// What the node has to do for the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderEvent {
    /// A job's end is in the store.
    Ended(String, JobStateRecord),
    /// A job was seen to be cancelled.
    Stopped(String),
    /// An attempt of a job's task ended with an error.
    Failed {
        job: String,
        task: u32,
        attempt: u64,
    },
    Types(Rc<Vec<MachineType>>),
    /// The term is over.
    Outdated,
    /// Somebody showed this higher term.
    Higher(u64),
}

#[derive(Debug, Clone)]
enum TaskPlacement {
    Waiting,
    /// On which machine, in which of its sessions, and whether that is stored.
    Placed {
        machine: Rc<str>,
        incarnation: u64,
        stored: bool,
    },
    Done,
}

#[derive(Debug, Clone)]
struct Task {
    /// The latest attempt; 0 before the first.
    attempt: u64,
    state: TaskPlacement,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    image: Rc<str>,
    /// Its place among the teams of the settings; one past the last if it is not there.
    team: usize,
    /// The version of its mark as long as it is open.
    version: u64,
    submitted: u64,
    /// Since when it waits for room, as the time of day has it: it was submitted, or
    /// the last job that it waited for was seen to be done.
    ready_at: u64,
    /// It waits for other jobs, and takes part in nothing.
    blocked_on_dependencies: bool,
    /// The highest priority of its own and of the jobs that wait for it.
    priority: Priority,
    /// By when it has to end for the jobs that wait for it, as the time of day has it.
    due: Option<Micros>,
    /// The most tasks that may be placed at once.
    parallelism_limit: Option<u32>,
    spans: TaskRanges,
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    done: u32,
    running: BTreeSet<u32>,
    cancelled: Option<Micros>,
    /// Its cancellation is in the store: it was seen there. `cancelled` alone may be
    /// a mark that has changed and is yet to be read.
    stopped: bool,
    /// Its end is being written.
    ending: bool,
    /// Run times of its training tasks, in seconds.
    samples: Vec<f64>,
    initial_size: f64,
    /// The initial size, and the final one once it is trained.
    size: f64,
    /// What ageing has taken off, until `ageing_since`. The virtual size is the
    /// size less all of it, and not below zero.
    credit: f64,
    /// The reading of the leader's clock since which it ages.
    ageing_since: Option<f64>,
    /// Since when it could have had room for a task and got none, as far as this leader
    /// knows.
    waits_since: Option<Micros>,
    shape: Rc<ResourceRequest>,
    trained: bool,
    record: FailureRecord,
    blocked_until: Micros,
    shown: (u32, u32),
}

impl Job {
    fn new(open: OpenJob, version: u64, team: usize, guess: f64, part_tasks: u32) -> Job {
        let n = open.spec.tasks;
        let size = f64::from(n) * open.spec.cpus * guess;
        Job {
            team,
            version,
            submitted: open.at,
            ready_at: open.at,
            blocked_on_dependencies: false,
            priority: open.spec.priority,
            due: None,
            parallelism_limit: open.parallelism_limit,
            spans: TaskRanges::new(n, open.chunk, part_tasks),
            tasks: vec![
                Task {
                    attempt: 0,
                    state: TaskPlacement::Waiting
                };
                n as usize
            ],
            waiting: (0..n).collect(),
            done: 0,
            running: BTreeSet::new(),
            cancelled: None,
            stopped: false,
            ending: false,
            samples: Vec::new(),
            initial_size: size,
            size,
            credit: 0.0,
            ageing_since: None,
            waits_since: None,
            shape: Rc::new(ResourceRequest::of(&open.spec)),
            trained: open.spec.kind == JobKind::Service,
            record: FailureRecord::default(),
            blocked_until: 0,
            shown: (0, 0),
            image: Rc::from(open.spec.image.as_str()),
            spec: open.spec,
        }
    }

    fn tiny(&self, config: &Config) -> bool {
        self.spec.tasks <= config.tuning.training_tasks
    }

    fn placed(&self) -> usize {
        self.tasks.len() - self.waiting.len() - self.done as usize
    }

    /// How many of its waiting tasks may be placed now.
    fn placeable(&self) -> usize {
        let most = self.parallelism_limit.map_or(usize::MAX, |n| n as usize);
        self.waiting.len().min(most.saturating_sub(self.placed()))
    }

    /// Its tasks that are or may be on machines, and on which.
    fn on_machines(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(i, t)| match &t.state {
            TaskPlacement::Placed { machine, .. } => Some((i as u32, machine)),
            _ => None,
        })
    }

    /// How many more tasks train.
    fn training(&self, config: &Config) -> u32 {
        if self.trained || self.tiny(config) {
            return 0;
        }
        config
            .tuning
            .training_tasks
            .saturating_sub(self.samples.len() as u32 + self.placed() as u32)
    }

    /// The record of some of its tasks.
    fn record_of(&self, span: TaskRange) -> TaskChunk {
        let mut chunk = TaskChunk::default();
        for i in self.spans.range(span) {
            let t = &self.tasks[i as usize];
            match &t.state {
                TaskPlacement::Waiting if t.attempt > 0 => chunk.waiting.push((i, t.attempt)),
                TaskPlacement::Waiting => {}
                TaskPlacement::Placed {
                    machine,
                    incarnation: session,
                    ..
                } => chunk
                    .placed
                    .push((i, t.attempt, machine.to_string(), *session)),
                TaskPlacement::Done => match chunk.done.last_mut() {
                    Some((_, last)) if *last + 1 == i => *last = i,
                    _ => chunk.done.push((i, i)),
                },
            }
        }
        chunk
    }

    /// Placements of some of its tasks that are not stored: task and attempt.
    fn unstored(&self, span: TaskRange) -> impl Iterator<Item = (u32, u64)> {
        self.spans.range(span).filter_map(|i| {
            let t = &self.tasks[i as usize];
            let unstored = matches!(t.state, TaskPlacement::Placed { stored: false, .. });
            unstored.then_some((i, t.attempt))
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecoveryStage {
    Loading,
    Ready,
}

#[derive(Debug)]
pub struct Leader {
    pub term: u64,
    term_version: u64,
    stage: RecoveryStage,
    reload_at: Option<(Micros, RecoveryPage)>,
    queue_revision: Option<u64>,
    /// Cancellations that were read before the jobs that they are of.
    cancelled_rows: Vec<KeyValue>,
    /// When the first page of the queue was asked for.
    load_sent: Micros,
    /// When the last answered read of the cancellations was sent; None before a new
    /// leader has read any. Nothing else moves it: a lease renewed, a beat or a write
    /// says nothing of what others have confirmed.
    last_consistent_read: Option<Micros>,
    /// Since when reports are not answered, for want of a sure look.
    no_consistent_read_since: Option<Micros>,
    /// Its right to act, as its node saw it last.
    pub leadership_proof: LeadershipProof,
    watch_at: Option<Micros>,
    jobs: Slab<Job>,
    /// Which of the open jobs wait for which.
    dependency_graph: DependencyGraph,
    /// Jobs that others wait for and that are not open here.
    dependency_proofs: DependencyProofs,
    /// Jobs that have placements in the store and can't be taken up.
    unknown_jobs: BTreeMap<Rc<str>, UnknownJob>,
    machines: Slab<Machine>,
    derived: DerivedState,
    /// What ageing has taken off any job that was active all the time, in
    /// CPU-seconds.
    virtual_time: f64,
    command_dispatch: CommandDispatch,
    removed_machines: HashMap<String, Micros>,
    write_queue: WriteQueue,
    /// Reads that were not answered, by when they are made again.
    reads: VecDeque<(Micros, String, Step)>,
    write_rate: WriteRate,
    /// What a value may take, as far as is known: less once the state service has
    /// refused one.
    value_bytes: usize,
    cloud_queue: CloudQueue,
    refusals: RefusedOfferings,
    boot_estimator: BootEstimator,
    /// Waiting jobs that the next rental plan looks at.
    plan_depth: usize,
    /// Zones that fell silent as a whole, and when: what is rented there would
    /// be paid for and never heard of.
    partitioned_zones: BTreeMap<Rc<str>, Micros>,
    /// Zones that were silent already under the leader before, and when they
    /// were heard last.
    zones_silent_before: HashMap<String, Micros>,
    types: Option<Rc<Vec<MachineType>>>,
    types_stored: bool,
    /// The version of their record.
    types_version: u64,
    /// Mean run time per class, learned from finished tasks, in seconds.
    run_time_estimates: HashMap<String, f64>,
    /// What the leader before has learned, for jobs that are taken up.
    inherited: InheritedEstimates,
    /// Jobs that were taken up as the leader before knew them.
    inherited_jobs: usize,
    /// Jobs of which something was learned that siblings have yet to be told.
    unreplicated_estimates: BTreeSet<SlabIndex>,
    /// Of the others the one that was told last.
    next_replicated: SlabIndex,
    /// A guess has changed since waiting jobs were last ordered by them.
    run_time_estimates_changed: bool,
    /// When tasks may be stopped for replicas again.
    next_preemption_at: Micros,
    /// A service was submitted since the last pass: its users do not wait for a
    /// tick.
    service_submitted: bool,
    schedule_at: Micros,
    last_scheduled_at: Micros,
    next_fleet_check_at: Micros,
    ready_since: Micros,
    events: Vec<LeaderEvent>,
    pub counts: SchedulerCounters,
}

#[derive(Debug, Clone)]
enum RecoveryPage {
    Machines(Option<String>),
    Queue(Option<String>),
    Tasks(Option<String>),
}

impl Leader {
    pub fn new(
        ctx: &mut Context,
        term: u64,
        term_version: u64,
        VersionedMachineTypes { types, version }: VersionedMachineTypes,
        inherited: InheritedEstimates,
    ) -> Leader {
        let now = ctx.now.monotonic;
        let mut leader = Leader {
            term,
            term_version,
            stage: RecoveryStage::Loading,
            reload_at: None,
            queue_revision: None,
            cancelled_rows: Vec::new(),
            load_sent: now,
            last_consistent_read: None,
            no_consistent_read_since: None,
            leadership_proof: LeadershipProof::default(),
            watch_at: None,
            jobs: Slab::default(),
            dependency_graph: DependencyGraph::default(),
            dependency_proofs: DependencyProofs::default(),
            unknown_jobs: BTreeMap::new(),
            machines: Slab::default(),
            derived: DerivedState::new(ctx.config),
            virtual_time: 0.0,
            command_dispatch: CommandDispatch::new(ctx.config.max_orders),
            removed_machines: HashMap::new(),
            write_queue: WriteQueue::default(),
            reads: VecDeque::new(),
            write_rate: WriteRate::new(ctx.config.state_write_rps_before),
            value_bytes: ctx.config.value_bytes_before,
            cloud_queue: CloudQueue::new(ctx.config.cloud_rps, now),
            refusals: RefusedOfferings::default(),
            boot_estimator: BootEstimator::default(),
            plan_depth: PLAN_JOBS,
            partitioned_zones: BTreeMap::new(),
            zones_silent_before: HashMap::new(),
            types_stored: types.is_some(),
            types_version: version,
            types,
            run_time_estimates: inherited.classes.clone(),
            inherited,
            inherited_jobs: 0,
            unreplicated_estimates: BTreeSet::new(),
            next_replicated: 0,
            run_time_estimates_changed: false,
            next_preemption_at: now,
            service_submitted: false,
            schedule_at: now,
            last_scheduled_at: now,
            next_fleet_check_at: now,
            ready_since: now,
            events: Vec::new(),
            counts: SchedulerCounters::default(),
        };
        leader.load(ctx, RecoveryPage::Queue(None));
        leader
    }

    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    fn waiter(&self, step: Step) -> Continuation {
        Continuation::Leader {
            term: self.term,
            step,
        }
    }

    pub fn reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        sent: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match step {
            Step::LoadMachines | Step::LoadQueue | Step::LoadTasks => match reply {
                Ok(StoreResponse::RangePage(page)) => self.page_loaded(ctx, &step, page),
                _ => {
                    if let Some((at, _)) = &mut self.reload_at {
                        *at = ctx.now.monotonic + RETRY;
                    }
                }
            },
            Step::Watch => self.queue_watch_reply(ctx, sent, reply),
            Step::WriteQueue => self.write_reply(ctx, reply),
            Step::Reread { key } => self.reread_reply(ctx, key, reply),
            Step::TypesVersion => self.types_version(ctx, reply),
            Step::Ended { id } => self.ended(ctx, id, reply),
            Step::Dependency { id } => self.proved(ctx, id, reply),
            Step::CommandsInFlight { .. } | Step::Cloud(_) => {}
        }
    }

    fn queue_watch_reply(
        &mut self,
        ctx: &mut Context,
        sent: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::WatchBatch(changes)) => {
                self.last_consistent_read = self.last_consistent_read.max(Some(sent));
                self.queue_revision = Some(changes.revision);
                for event in changes.events {
                    if let WatchEvent::Put {
                        key,
                        value,
                        version,
                    } = event
                    {
                        self.queue_row(ctx, &key, &value, version);
                    }
                }
                self.watch_at = Some(ctx.now.monotonic);
            }
            Ok(StoreResponse::Compacted) => {
                log::error!("lost sight of the queue");
                self.events.push(LeaderEvent::Outdated);
            }
            _ => self.watch_at = Some(ctx.now.monotonic + RETRY),
        }
    }
}
