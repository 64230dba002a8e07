//! The slot of a task that is placed on a machine.

use crate::Micros;
use crate::sched::{Resources, SlabIndex};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, ExitReason, TaskState};
use std::fmt;

pub use crate::task_key::TaskKey;

/// One attempt of a task, as identified in commands and heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: u64,
}

impl TaskAttempt {
    /// The attempts that the commands launch.
    pub fn launched_by(commands: &[Command]) -> impl Iterator<Item = TaskAttempt> {
        commands.iter().filter_map(|command| match command {
            Command::Launch { task, attempt } => Some(TaskAttempt {
                task: task.clone(),
                attempt: *attempt,
            }),
            _ => None,
        })
    }

    /// The command that stops the attempt without a grace period.
    pub fn stop_command(&self) -> Command {
        Command::Stop {
            task: self.task.clone(),
            attempt: self.attempt,
            grace_s: 0,
        }
    }
}

/// The resources that an attempt of a task occupies on a machine, and its known state.
#[derive(Debug, Clone)]
pub struct TaskSlot {
    /// The attempt that was placed.
    pub attempt: u64,
    /// The incarnation of the worker agent that the attempt was placed on.
    pub incarnation: u64,
    /// The resources that the task occupies.
    pub resources: Resources,
    /// Whether the task is a replica of a service.
    pub service: bool,
    /// Whether the task uses the headroom that is kept free for services.
    pub uses_service_headroom: bool,
    /// The index of the task's job. The index of a removed job may be reused for another job,
    /// so use it only for estimates, where a stale index does no harm.
    pub job: SlabIndex,
    /// Whether the placement is stored. Before that, no command for it is sent.
    pub stored: bool,
    /// Whether the job is cancelled: the task is to be stopped, and never launched.
    pub cancelled: bool,
    /// Whether the task is preempted: it is to be stopped, and run elsewhere.
    pub preempted: bool,
    /// The state in the latest heartbeat that listed the attempt.
    pub reported_state: Option<TaskState>,
    /// Arrival of the first heartbeat that listed the attempt as running.
    pub running_since: Option<Micros>,
    /// Whether this leader has observed the whole run, so that its run time may be used
    /// for estimates.
    pub observed_from_start: bool,
}

impl TaskSlot {
    /// Creates the slot of a task that no heartbeat has listed yet. `stored` says whether
    /// the placement was read from the store rather than decided by this leader.
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
            reported_state: None,
            running_since: None,
            observed_from_start: !stored,
        }
    }

    /// Whether the placement is stored and a heartbeat has listed the attempt.
    pub fn is_stored_and_reported(&self) -> bool {
        self.stored && self.reported_state.is_some()
    }

    /// The time for which the task has been running; 0 if it has not been reported as running.
    pub fn running_for(&self, now: Micros) -> Micros {
        self.running_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// The placed attempt, as identified in commands and heartbeats.
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

/// A change of a placed task that a heartbeat, or the loss of its machine, has shown.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    /// The task was reported as running for the first time.
    Running(TaskKey),
    /// The attempt has exited, and its slot was freed.
    Exited {
        /// The task.
        task: TaskKey,
        /// The attempt of the task.
        attempt: u64,
        /// Why the attempt exited.
        reason: ExitReason,
        /// The run time, if this leader has observed the whole run.
        run_time: Option<Micros>,
    },
    /// The attempt is gone without a result, and its slot was freed.
    Lost {
        /// The task.
        task: TaskKey,
        /// The attempt of the task.
        attempt: u64,
        /// The proof that the attempt is gone.
        reason: TaskLossReason,
    },
}

/// The proof that an attempt is gone from its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskLossReason {
    /// A later incarnation of the agent has started, which kills all tasks of earlier ones.
    LaterIncarnation,
    /// A newer heartbeat does not list the attempt, and no launch of it can still be
    /// executed.
    AbsentFromHeartbeat,
    /// The machine is gone.
    MachineGone(MachineLossReason),
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

/// The proof that a machine is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineLossReason {
    /// The cloud has confirmed the deletion of the machine.
    Deleted,
    /// The cloud lists the machine as failed.
    ListedAsFailed,
}

impl fmt::Display for MachineLossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MachineLossReason::Deleted => "machine-deleted",
            MachineLossReason::ListedAsFailed => "machine-listed-as-failed",
        })
    }
}
