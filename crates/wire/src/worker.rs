//! The worker protocol: heartbeats from workers and commands to workers.

use crate::TaskName;
use serde::{Deserialize, Serialize};

/// The path at which controllers receive heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// The path at which workers receive commands.
pub const COMMANDS_PATH: &str = "/orders";

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The image is being downloaded.
    #[serde(rename = "pulling")]
    Downloading,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task was stopped and is saving a checkpoint.
    #[serde(rename = "flushing")]
    SavingCheckpoint,
    /// The task has exited. The worker keeps its status until it is reaped.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not support. The task is treated as present on the machine.
    #[serde(rename = "Other", other)]
    Other,
}

/// The reason why an attempt of a task has ended or was not launched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task ran to completion.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The attempt was not launched because the machine has insufficient free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The attempt was not launched because another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The attempt was not launched because the worker does not know the task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this version does not support.
    #[serde(rename = "Other", other)]
    Other,
}

/// The status of one attempt of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "leaf")]
    pub task: TaskName,
    /// The number of the attempt.
    #[serde(rename = "printing")]
    pub attempt: u64,
    /// The state of the attempt.
    #[serde(rename = "condition")]
    pub state: TaskState,
    /// The reason why the attempt has ended, if it has.
    #[serde(rename = "colophon", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    /// Whether the attempt saved a checkpoint when it was stopped.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// A periodic message from a worker to a controller with the status of all its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "shelf")]
    pub machine: String,
    /// The address at which the worker receives commands, `IP:PORT`.
    #[serde(rename = "addr")]
    pub addr: String,
    /// The name of the machine's type.
    #[serde(rename = "format")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "room")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "remainders")]
    pub spot: bool,
    /// The worker's incarnation. A restarted worker has a new one and none of its former tasks.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The sequence number of the heartbeat within the incarnation.
    #[serde(rename = "folio")]
    pub sequence: u64,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    /// The time until the cloud reclaims the spot machine, in seconds; `None` if not announced.
    #[serde(rename = "recall_s", default)]
    pub interruption_notice_s: Option<f64>,
    /// The status of all attempts on the worker.
    #[serde(rename = "leaves")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker about one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "slip_kind")]
pub enum Command {
    /// Launch the attempt.
    #[serde(rename = "launch")]
    Launch {
        /// The task.
        #[serde(rename = "leaf")]
        task: TaskName,
        /// The number of the attempt.
        #[serde(rename = "printing")]
        attempt: u64,
    },
    /// Stop the attempt.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "leaf")]
        task: TaskName,
        /// The number of the attempt.
        #[serde(rename = "printing")]
        attempt: u64,
        /// The time to save a checkpoint before the attempt is killed, in seconds.
        #[serde(rename = "closing_s")]
        grace_s: u32,
    },
    /// Discard the status of an attempt that has ended.
    #[serde(rename = "reap")]
    Reap {
        /// The task.
        #[serde(rename = "leaf")]
        task: TaskName,
        /// The number of the attempt.
        #[serde(rename = "printing")]
        attempt: u64,
    },
}

/// The leader's response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's fencing token. The worker ignores the response if it has received a higher
    /// token, and stores this token otherwise.
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    /// The commands to carry out.
    #[serde(rename = "slips")]
    pub commands: Vec<Command>,
}

/// The response to a heartbeat from a controller that is not the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// The member name of the leader, if it is known.
    #[serde(rename = "clerk", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}

/// Commands that the leader sends to a worker independently of heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token. The worker rejects the batch if it has received a higher one.
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    /// The incarnation for which the commands are intended. Another incarnation rejects them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The commands to carry out.
    #[serde(rename = "slips")]
    pub commands: Vec<Command>,
}
