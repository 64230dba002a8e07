//! The leader of a term. It schedules the open jobs, sends commands to the machines,
//! scales the fleet and persists its decisions in the store.
//!
//! [`Leader`] combines the concerns of the submodules. Each submodule implements one
//! concern; those with state of their own define a type for it, which is a field of
//! [`Leader`].

mod autoscaling;
mod boot_estimator;
mod command_dispatch;
mod command_log;
mod deadline_risk;
mod dependencies;
mod derived;
mod estimate_replication;
mod heartbeats;
mod job;
mod job_lifecycle;
mod job_tasks;
mod machine_types;
mod queue_records;
mod queue_watch;
mod recovery;
mod scheduling;
mod service_headroom;
mod spot_interruption;
mod state_writes;
mod task_events;
mod task_ranges;
mod unknown_jobs;
mod urgency;
mod write_replies;
mod zone_partition;

pub use self::machine_types::VersionedMachineTypes;

use self::autoscaling::Autoscaler;
use self::boot_estimator::BootEstimator;
use self::command_dispatch::CommandDispatch;
use self::command_log::CommandLog;
use self::dependencies::DependencyTracker;
use self::derived::DerivedState;
use self::estimate_replication::LearnedEstimates;
use self::job::Job;
use self::machine_types::MachineTypeCatalog;
use self::queue_watch::QueueWatch;
use self::recovery::{Recovery, RecoveryPage};
use self::scheduling::SchedulingState;
use self::state_writes::StateWriter;
use self::unknown_jobs::UnknownJobs;
use self::zone_partition::ZonePartitions;
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{Continuation, LeaderStep};
use crate::fencing_tokens::TermTokens;
use crate::inherited_estimates::InheritedEstimates;
use crate::leadership_guard::LeadershipProof;
use crate::machines::Machine;
use crate::records::JobStateRecord;
use crate::slab::Slab;
use crate::{MILLISECOND, Micros, SchedulerCounters};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::StoreResponse;
use std::rc::Rc;

/// Delay before a call that failed or was not answered is retried.
const RETRY_INTERVAL: Micros = 100 * MILLISECOND;

/// An event that a leader reports to its controller.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderEvent {
    /// A final state (done or cancelled) of the job with this id is stored.
    JobEnded(String, JobStateRecord),
    /// The leader has learned that the job with this id is cancelled.
    JobCancelled(String),
    /// An attempt of a task ended with an error.
    TaskFailed {
        /// The id of the job.
        job: String,
        /// The index of the task within the job.
        task: u32,
        /// The number of the attempt.
        attempt: u64,
    },
    /// The cloud offers these machine types.
    MachineTypes(Rc<Vec<MachineType>>),
    /// The leader can't continue in this term and must step down.
    StepDown,
    /// A machine reported this fencing token, which is higher than all of this term.
    HigherTerm(u64),
    /// The term has no unused fencing tokens left.
    TokensExhausted,
}

/// The leader of one term: it recovers its state from the store, schedules tasks, sends
/// commands to machines and scales the fleet.
///
/// Most fields hold the state of one concern: see the module of the field's type.
#[derive(Debug)]
pub struct Leader {
    /// The term.
    pub term: u64,
    /// The fencing tokens of the term.
    tokens: TermTokens,
    /// The version of the stored term record, which every write compares.
    term_version: u64,
    /// The latest proof of leadership that the controller has obtained.
    pub leadership_proof: LeadershipProof,
    /// The progress of reading the store at the beginning of the term.
    recovery: Recovery,
    /// The watch of the stored job queue, and the time of its last consistent read.
    queue_watch: QueueWatch,
    /// Open jobs.
    jobs: Slab<Job>,
    /// Known machines.
    machines: Slab<Machine>,
    /// Jobs that have records in the store but can't be read by this version.
    unknown_jobs: UnknownJobs,
    /// Dependencies among open jobs.
    dependencies: DependencyTracker,
    /// Sums and indexes derived from jobs and machines.
    derived: DerivedState,
    /// The timing and the counters of the scheduling cycle.
    scheduling: SchedulingState,
    /// The queue of machines that are to be sent commands.
    command_dispatch: CommandDispatch,
    /// Summaries of what became of the commands.
    command_log: CommandLog,
    /// Writes to the store.
    writer: StateWriter,
    /// Scaling of the fleet, and calls to the cloud.
    autoscaler: Autoscaler,
    /// Machine types that the cloud offers.
    machine_types: MachineTypeCatalog,
    /// Zones that are unreachable because of a network partition.
    partitions: ZonePartitions,
    /// Run times and job sizes learned from finished tasks.
    estimates: LearnedEstimates,
    /// Events that the controller has not yet taken.
    events: Vec<LeaderEvent>,
}

impl Leader {
    /// Creates a leader and requests the first page of the store. The leader schedules
    /// nothing before it has recovered its state.
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
            tokens: TermTokens::of_term(term),
            term_version,
            leadership_proof: LeadershipProof::default(),
            recovery: Recovery::new(now),
            queue_watch: QueueWatch::default(),
            jobs: Slab::default(),
            machines: Slab::default(),
            unknown_jobs: UnknownJobs::default(),
            dependencies: DependencyTracker::default(),
            derived: DerivedState::new(ctx.config),
            scheduling: SchedulingState::new(now),
            command_dispatch: CommandDispatch::new(ctx.config.max_commands_in_flight),
            command_log: CommandLog::default(),
            writer: StateWriter::new(ctx.config),
            autoscaler: Autoscaler::new(ctx.config, now),
            machine_types: MachineTypeCatalog::new(machine_types),
            partitions: ZonePartitions::default(),
            estimates: LearnedEstimates::new(inherited),
            events: Vec::new(),
        };
        leader.request_page(ctx, RecoveryPage::Queue(None));
        leader
    }

    /// Counters of the scheduling cycles and scale-out plans of this term.
    pub fn counters(&self) -> SchedulerCounters {
        self.scheduling.counters()
    }

    /// Takes the events that have accumulated since the last call.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns a continuation that only the leader of this term may resume.
    fn continuation(&self, step: LeaderStep) -> Continuation {
        Continuation::Leader {
            term: self.term,
            step,
        }
    }

    /// Handles the reply to a store request that was sent at `sent`. Replies of workers and
    /// of the cloud are handled by [`Self::commands_reply`] and [`Self::cloud_reply`].
    pub fn handle_store_reply(
        &mut self,
        ctx: &mut Context,
        step: LeaderStep,
        sent: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match step {
            LeaderStep::LoadMachines | LeaderStep::LoadQueue | LeaderStep::LoadTasks => {
                self.page_reply(ctx, &step, reply);
            }
            LeaderStep::Watch => self.queue_watch_reply(ctx, sent, reply),
            LeaderStep::WriteBatch => self.write_reply(ctx, reply),
            LeaderStep::ReadOutcome { key } => self.outcome_reply(ctx, key, reply),
            LeaderStep::ReadTypesVersion => self.machine_types_reply(ctx, reply),
            LeaderStep::ReadEndedJob { id } => self.job_state_reply(ctx, id, reply),
            LeaderStep::ReadDependency { id } => self.dependency_state_reply(ctx, id, reply),
            LeaderStep::SendCommands { .. } | LeaderStep::Cloud(_) => {}
        }
    }
}
