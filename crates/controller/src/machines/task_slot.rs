//! A task that was placed on a machine.

use super::HeartbeatPosition;
use crate::Micros;
use crate::sched::{Resources, SlabIndex};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, ExitReason, TaskState};
use std::fmt;

pub use crate::task_key::TaskKey;

/// One attempt of a task, as commands and heartbeats name it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskName,
    /// The attempt of the task.
    pub attempt: u64,
}

impl TaskAttempt {
    /// The command that stops it at once.
    pub fn stop_command(&self) -> Command {
        Command::Stop {
            task: self.task.clone(),
            attempt: self.attempt,
            grace_s: 0,
        }
    }
}

/// The resources that one attempt of a task holds on a machine, and what is known of it.
#[derive(Debug, Clone)]
pub struct TaskSlot {
    /// The attempt that was placed.
    pub attempt: u64,
    /// The incarnation of the machine's agent for which it was placed.
    pub incarnation: u64,
    /// What the task takes of the machine.
    pub resources: Resources,
    /// Whether the task is a replica of a service.
    pub service: bool,
    /// Whether it takes resources that were reserved for services.
    pub uses_service_headroom: bool,
    /// The index of its job, for estimates. When a job has gone, another job may get
    /// the index.
    pub job: SlabIndex,
    /// Whether the placement is in the store. Before that nothing is sent to the machine.
    pub stored: bool,
    /// Whether its job is cancelled: the task is to be stopped, and never launched.
    pub cancelled: bool,
    /// Whether it is preempted: the task is to be stopped, to run elsewhere.
    pub preempted: bool,
    /// The state that a heartbeat showed last.
    pub seen: Option<TaskState>,
    /// When a heartbeat first showed it running.
    pub running_since: Option<Micros>,
    /// Whether this leader has watched the whole run, so that its run time may be used
    /// for estimates.
    pub watched: bool,
    /// The heartbeat whose reply last carried its launch.
    pub(super) launch_replied_to: Option<HeartbeatPosition>,
}

impl TaskSlot {
    /// A task that was not seen on its machine yet. `stored` says whether the placement
    /// was read from the store rather than decided by this leader.
    pub fn new(
        attempt: u64,
        incarnation: u64,
        job: SlabIndex,
        spec: &JobSpec,
        stored: bool,
    ) -> TaskSlot {
        TaskSlot {
            attempt,
            incarnation,
            resources: Resources::of_task(spec),
            service: spec.kind == JobKind::Service,
            uses_service_headroom: false,
            job,
            stored,
            cancelled: false,
            preempted: false,
            seen: None,
            running_since: None,
            watched: !stored,
            launch_replied_to: None,
        }
    }

    /// Whether the placement is in the store and a heartbeat has shown the task.
    pub fn is_stored_and_seen(&self) -> bool {
        self.stored && self.seen.is_some()
    }

    /// For how long it has been seen running, in microseconds; zero if it was not.
    pub fn running_for(&self, now: Micros) -> Micros {
        self.running_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// The attempt that was placed, by its name on the wire.
    pub(super) fn task_attempt(&self, key: &TaskKey) -> TaskAttempt {
        TaskAttempt {
            task: TaskName {
                job: key.0.to_string(),
                index: key.1,
            },
            attempt: self.attempt,
        }
    }
}

/// What a heartbeat, or the end of a machine, has changed for a placed task.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    /// The task was seen running for the first time.
    Running(TaskKey),
    /// The attempt has exited and left the machine's slots.
    Exited {
        /// The task.
        task: TaskKey,
        /// The attempt of the task.
        attempt: u64,
        /// Why it ended.
        reason: ExitReason,
        /// The run time, if the whole run was watched.
        ran: Option<Micros>,
    },
    /// The attempt is proved to be gone without a result.
    Lost {
        /// The task.
        task: TaskKey,
        /// The attempt of the task.
        attempt: u64,
        /// Why it ended.
        reason: TaskLossReason,
    },
}

/// The proof that an attempt is gone from its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskLossReason {
    /// A later incarnation of the agent has begun; it kills all tasks of earlier ones.
    LaterIncarnation,
    /// A newer heartbeat does not list it, and no launch of it can still be carried out.
    AbsentFromHeartbeat,
    /// The machine itself is gone.
    MachineGone(MachineEnd),
}

impl fmt::Display for TaskLossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TaskLossReason::LaterIncarnation => f.write_str("later-incarnation"),
            TaskLossReason::AbsentFromHeartbeat => f.write_str("absent-from-heartbeat"),
            TaskLossReason::MachineGone(end) => end.fmt(f),
        }
    }
}

/// How it became certain that a machine is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEnd {
    /// The cloud has confirmed its deletion.
    Deleted,
    /// The cloud lists it as failed.
    ListedAsFailed,
}

impl fmt::Display for MachineEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MachineEnd::Deleted => "machine-deleted",
            MachineEnd::ListedAsFailed => "machine-listed-as-failed",
        })
    }
}
