//! Workers: their reports and the commands they take.

use crate::TaskName;
use serde::{Deserialize, Serialize};

pub const HEARTBEAT_PATH: &str = "/checkin";
pub const COMMANDS_PATH: &str = "/orders";

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    /// Anything this version does not know; the task counts as present.
    #[serde(rename = "Other", other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    #[serde(rename = "Other", other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "leaf")]
    pub task: TaskName,
    #[serde(rename = "printing")]
    pub attempt: u64,
    #[serde(rename = "condition")]
    pub state: TaskState,
    #[serde(rename = "colophon", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "shelf")]
    pub machine: String,
    #[serde(rename = "addr")]
    pub addr: String,
    #[serde(rename = "format")]
    pub machine_type: String,
    #[serde(rename = "room")]
    pub zone: String,
    #[serde(rename = "remainders")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "folio")]
    pub sequence: u64,
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    #[serde(rename = "recall_s", default)]
    pub interruption_notice_s: Option<f64>,
    #[serde(rename = "leaves")]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "slip_kind")]
pub enum Command {
    #[serde(rename = "launch")]
    Launch {
        #[serde(rename = "leaf")]
        task: TaskName,
        #[serde(rename = "printing")]
        attempt: u64,
    },
    #[serde(rename = "stop")]
    Stop {
        #[serde(rename = "leaf")]
        task: TaskName,
        #[serde(rename = "printing")]
        attempt: u64,
        #[serde(rename = "closing_s")]
        grace_s: u32,
    },
    #[serde(rename = "reap")]
    Reap {
        #[serde(rename = "leaf")]
        task: TaskName,
        #[serde(rename = "printing")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    #[serde(rename = "slips")]
    pub commands: Vec<Command>,
}

/// Sends a worker to the node that acts for the controllers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    #[serde(rename = "clerk", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "seal")]
    pub fencing_token: u64,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "slips")]
    pub commands: Vec<Command>,
}
