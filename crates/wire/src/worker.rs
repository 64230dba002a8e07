//! The workers' protocol: heartbeats, and the commands that workers take.

use crate::TaskName;
use serde::{Deserialize, Serialize};

/// Where controllers take heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Where workers take commands.
pub const COMMANDS_PATH: &str = "/orders";

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It is running.
    #[serde(rename = "running")]
    Running,
    /// It was told to stop and saves its state.
    #[serde(rename = "flushing")]
    Saving,
    /// It has ended, and the machine remembers it until it is reaped.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know; the task counts as present.
    #[serde(rename = "Other", other)]
    Other,
}

/// Why an attempt of a task has ended, or was not launched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// It has run to completion.
    #[serde(rename = "done")]
    Done,
    /// It was told to stop.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// It was not launched: the machine has too little left for it.
    #[serde(rename = "no_room")]
    NoRoom,
    /// It was not launched: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// It was not launched: the machine knows no such task.
    #[serde(rename = "no_such")]
    Unknown,
    /// A reason that this version does not know.
    #[serde(rename = "Other", other)]
    Other,
}

/// What a heartbeat says of one attempt of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "leaf")]
    pub task: TaskName,
    /// The number of the attempt.
    #[serde(rename = "printing")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "condition")]
    pub state: TaskState,
    /// Why it has ended, if it has.
    #[serde(rename = "colophon", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    /// Whether it saved its state when it was stopped.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// What a worker tells a controller at regular intervals: itself, and all its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "shelf")]
    pub machine: String,
    /// Where the worker takes commands, `IP:PORT`.
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
    /// The worker's incarnation: a restarted worker has a new one and no tasks of before.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The number of the heartbeat within the incarnation.
    #[serde(rename = "folio")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    /// In how many seconds the spot machine will be taken back, if that was announced.
    #[serde(rename = "recall_s", default)]
    pub interruption_notice_s: Option<f64>,
    /// All attempts of tasks that the worker has.
    #[serde(rename = "leaves")]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is to do with an attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "slip_kind")]
pub enum Command {
    /// Launches the attempt.
    #[serde(rename = "launch")]
    Launch {
        /// The task.
        #[serde(rename = "leaf")]
        task: TaskName,
        /// The number of the attempt.
        #[serde(rename = "printing")]
        attempt: u64,
    },
    /// Stops the attempt.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "leaf")]
        task: TaskName,
        /// The number of the attempt.
        #[serde(rename = "printing")]
        attempt: u64,
        /// How long it may take to save its state before it is killed, in seconds.
        #[serde(rename = "closing_s")]
        grace_s: u32,
    },
    /// Forgets an attempt that has ended.
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

/// The leader's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's fencing token. The worker ignores the answer if it has seen a higher one,
    /// and remembers this one otherwise.
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    /// What the worker is to do.
    #[serde(rename = "slips")]
    pub commands: Vec<Command>,
}

/// The answer of a controller that does not lead: sends the worker to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// The leader's member name, if it is known.
    #[serde(rename = "clerk", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}

/// Commands that the leader sends to a worker outside the answers to heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token. The worker refuses the batch if it has seen a higher one.
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    /// The worker's incarnation that the commands are for; another one refuses them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// What the worker is to do.
    #[serde(rename = "slips")]
    pub commands: Vec<Command>,
}
