//! What a user is told: a job's status, or why a request was refused.

use serde::{Deserialize, Serialize};

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted, and none of its tasks is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one of its tasks is running.
    #[serde(rename = "running")]
    Running,
    /// All its tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "ref")]
    pub id: String,
    /// Its state.
    #[serde(rename = "condition")]
    pub state: JobState,
    /// How many of its tasks are done, if the node knows.
    #[serde(rename = "done", skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// How many of its tasks are running, if the node knows.
    #[serde(rename = "running", skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// The body of every refusal, also of the store and the cloud.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Why the request was refused.
    #[serde(rename = "error")]
    pub error: String,
}
