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
mod machine_types;
mod queue_watch;
mod recovery;
mod scheduling;
mod service_headroom;
mod spot_interruption;
mod state_writes;
mod task_ranges;
mod unknown_jobs;
mod zone_partition;

use self::autoscaling::Autoscaler;
use self::boot_estimator::BootEstimator;
use self::command_dispatch::CommandDispatch;
use self::dependencies::DependencyTracker;
use self::derived::DerivedState;
use self::estimate_replication::LearnedEstimates;
use self::machine_types::MachineTypeCatalog;
use self::queue_watch::QueueWatch;
use self::recovery::{Recovery, RecoveryPage, RecoveryStage};
use self::scheduling::SchedulingState;
use self::state_writes::StateWriter;
use self::task_ranges::TaskRanges;
use self::unknown_jobs::UnknownJob;
use self::zone_partition::ZonePartitions;
use crate::calls::Context;
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
    Answer, CallError, CallId, Config, MILLISECOND, Micros, SECOND, SchedulerCounters, micros,
    seconds,
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

/// The leader of one term: it takes up what the store holds, schedules tasks, sends
/// commands to machines and scales the fleet.
///
/// Each field holds the state of one concern; the module of that concern says what it
/// guarantees.
#[derive(Debug)]
pub struct Leader {
    /// The term, which is also the fencing token of every command.
    pub term: u64,
    /// The version of the stored term; every write compares it.
    term_version: u64,
    /// Its right to act, as its node saw it last.
    pub leadership_proof: LeadershipProof,
    /// Reading the store at the beginning of the term.
    recovery: Recovery,
    /// The watch of the stored job queue, and how recent its last read is.
    queue_watch: QueueWatch,
    /// Open jobs.
    jobs: Slab<Job>,
    /// Machines that are known.
    machines: Slab<Machine>,
    /// Jobs that have placements in the store and no readable description.
    unknown_jobs: BTreeMap<Rc<str>, UnknownJob>,
    /// Which jobs wait for which.
    dependencies: DependencyTracker,
    /// Sums and indexes that follow from jobs and machines.
    derived: DerivedState,
    /// When the scheduling cycle runs, and what it has done.
    scheduling: SchedulingState,
    /// Which machines are sent commands, and when.
    command_dispatch: CommandDispatch,
    /// Writes to the store.
    writer: StateWriter,
    /// The fleet's size, and calls to the cloud.
    autoscaler: Autoscaler,
    /// Machine types that the cloud offers.
    machine_types: MachineTypeCatalog,
    /// Zones that are cut off.
    partitions: ZonePartitions,
    /// Run times and sizes that were learned.
    estimates: LearnedEstimates,
    /// What its node has yet to be told.
    events: Vec<LeaderEvent>,
}

impl Leader {
    pub fn new(
        ctx: &mut Context,
        term: u64,
        term_version: u64,
        machine_types: VersionedMachineTypes,
        inherited: InheritedEstimates,
    ) -> Leader {
        let now = ctx.now.monotonic;
        let mut leader = Leader {
            term,
            term_version,
            leadership_proof: LeadershipProof::default(),
            recovery: Recovery::new(now),
            queue_watch: QueueWatch::default(),
            jobs: Slab::default(),
            machines: Slab::default(),
            unknown_jobs: BTreeMap::new(),
            dependencies: DependencyTracker::default(),
            derived: DerivedState::new(ctx.config),
            scheduling: SchedulingState::new(now),
            command_dispatch: CommandDispatch::new(ctx.config.max_commands_in_flight),
            writer: StateWriter::new(ctx.config),
            autoscaler: Autoscaler::new(ctx.config, now),
            machine_types: MachineTypeCatalog::new(machine_types),
            partitions: ZonePartitions::default(),
            estimates: LearnedEstimates::new(inherited),
            events: Vec::new(),
        };
        leader.load(ctx, RecoveryPage::Queue(None));
        leader
    }

    /// What its scheduling cycles and scale-out plans have done in its term.
    pub fn counts(&self) -> SchedulerCounters {
        self.scheduling.counts
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
                    if let Some((at, _)) = &mut self.recovery.reload_at {
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
}
