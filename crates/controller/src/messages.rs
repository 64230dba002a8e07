//! The messages between a [`Node`](crate::Node) and the process around it.
//!
//! The process turns network traffic and timers into [`Input`]s, and carries out the
//! [`Output`]s. Every request that a node sends has a [`CallId`], and exactly one input
//! with that id is expected in return: the response, or a [`CallError`].

use crate::time::Micros;
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::{CloudRequest, CloudResponse};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::{ErrorReply, JobState};
use dillcleat_wire::worker::CommandBatch;

/// The id of an HTTP request that this node has received and not answered yet. Assigned by
/// the process that accepted the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The id of a request that this node has sent. Assigned by the node and unique while its
/// process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the request was not and will not be executed.
    #[error("not sent")]
    NotSent,
    /// The request may have been executed, or may still be executed minutes later.
    #[error("no answer")]
    NoAnswer,
}

/// One event for a node to handle.
#[derive(Debug, Clone)]
pub enum Input {
    /// A timer tick, which arrives twenty times a second.
    Tick,
    /// An HTTP request of a user or a worker. It is answered by exactly one
    /// [`Output::Answer`], possibly only after later inputs.
    Request {
        /// The id under which the answer is expected.
        id: RequestId,
        /// The HTTP method.
        method: String,
        /// The request target: path and query.
        target: String,
        /// The request body.
        body: Vec<u8>,
    },
    /// The key-value store's response to an [`Output::Store`].
    Store {
        /// The id of the request.
        id: CallId,
        /// The response, or why there is none.
        reply: Result<StoreResponse, CallError>,
    },
    /// The cloud's response to an [`Output::Cloud`].
    Cloud {
        /// The id of the request.
        id: CallId,
        /// The response, or why there is none.
        reply: Result<CloudResponse, CallError>,
    },
    /// A worker's response to an [`Output::Commands`]: HTTP status and body.
    Commands {
        /// The id of the request.
        id: CallId,
        /// The response, or why there is none.
        reply: Result<(u16, Vec<u8>), CallError>,
    },
    /// A message from another controller.
    Peer {
        /// The sender's member name.
        from: String,
        /// The message.
        message: Message,
    },
}

/// One action for the process around a node to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answers an [`Input::Request`].
    Answer {
        /// The id of the request that is answered.
        id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Sends a request to the key-value store.
    Store {
        /// The id under which the response is expected.
        id: CallId,
        /// The request to send.
        call: StoreRequest,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Sends a request to the cloud.
    Cloud {
        /// The id under which the response is expected.
        id: CallId,
        /// The request to send.
        call: CloudRequest,
        /// How long to wait for the response.
        timeout: Micros,
        /// The request must be written to its connection within this time or not be sent at
        /// all, since this node may no longer be the leader afterwards.
        within: Micros,
    },
    /// Sends commands to a worker.
    Commands {
        /// The id under which the response is expected.
        id: CallId,
        /// The worker's address.
        addr: String,
        /// The commands to send.
        commands: CommandBatch,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Broadcasts a message to every other controller that is connected.
    Peer {
        /// The message.
        message: Message,
    },
    /// Informs the API server's object reconciler of a change of a job.
    JobEvent(JobEvent),
}

/// A change of a job that a leader has recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// The job's end, done or cancelled, is stored.
    Ended {
        /// The id of the job.
        job: String,
        /// The final state.
        state: JobState,
    },
    /// An attempt of one of the job's tasks failed. A new leader that receives the failure
    /// again repeats the event for the same attempt.
    Failed {
        /// The id of the job.
        job: String,
        /// The index of the task within the job.
        task: u32,
        /// The attempt of the task.
        attempt: u64,
    },
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
}

impl Answer {
    /// Creates a response with an encoded body.
    pub fn body<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Answer {
            status,
            body: dillcleat_wire::encode(body),
            retry_after: None,
        }
    }

    /// Creates an error response.
    pub fn refusal(status: u16, error: impl Into<String>) -> Self {
        let error = error.into();
        Answer::body(status, &ErrorReply { error })
    }

    /// Creates a 503 response with `Retry-After: 1`. Such a request is rejected at once
    /// rather than delayed, so that the client can try another controller.
    pub fn retry_later(error: &str) -> Self {
        log::debug!("request rejected, retry later reason={error}");
        Answer {
            retry_after: Some(1),
            ..Answer::refusal(503, error)
        }
    }
}
