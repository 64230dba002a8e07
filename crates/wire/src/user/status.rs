//! Responses to users: the status of a job, or an error.

use serde::{Deserialize, Serialize};

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job was accepted, and none of its tasks is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled by a user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "ref")]
    pub id: String,
    /// The job's state.
    #[serde(rename = "condition")]
    pub state: JobState,
    /// Number of tasks that are done, if known to the controller.
    #[serde(rename = "done", skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Number of tasks that are running, if known to the controller.
    #[serde(rename = "running", skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// The body of every error response, including those of the store and the cloud.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The reason why the request was rejected.
    #[serde(rename = "error")]
    pub error: String,
}
