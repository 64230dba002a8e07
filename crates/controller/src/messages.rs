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

/// An HTTP request that this node has received and not answered yet. Assigned by the
/// process that accepted the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that this node has sent. Assigned by the node, unique while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was established: nothing was sent and nothing will arrive.
    #[error("not sent")]
    NotSent,
    /// The request may have been carried out, or may still be, minutes later.
    #[error("no answer")]
    NoAnswer,
}

/// One event for a node to handle.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; sent twenty times a second.
    Tick,
    /// An HTTP request of a user or a worker. It is answered by exactly one
    /// [`Output::Answer`], perhaps after later inputs.
    Request {
        id: RequestId,
        method: String,
        target: String,
        body: Vec<u8>,
    },
    /// The key-value store's response to an [`Output::Store`].
    Store {
        id: CallId,
        reply: Result<StoreResponse, CallError>,
    },
    /// The cloud's response to an [`Output::Cloud`].
    Cloud {
        id: CallId,
        reply: Result<CloudResponse, CallError>,
    },
    /// A worker's response to an [`Output::Commands`]: HTTP status and body.
    Commands {
        id: CallId,
        reply: Result<(u16, Vec<u8>), CallError>,
    },
    /// A message of another controller.
    Peer {
        /// The sender's member name.
        from: String,
        message: Message,
    },
}

/// One effect that a node asks the process around it to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answers an [`Input::Request`].
    Answer { id: RequestId, answer: Answer },
    /// Sends a request to the key-value store.
    Store {
        id: CallId,
        call: StoreRequest,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Sends a request to the cloud.
    Cloud {
        id: CallId,
        call: CloudRequest,
        /// How long to wait for the response.
        timeout: Micros,
        /// The request must be written to its connection within this time, or not be
        /// sent at all: afterwards this node may no longer be the leader.
        within: Micros,
    },
    /// Sends commands to a worker.
    Commands {
        id: CallId,
        /// The worker's address.
        addr: String,
        commands: CommandBatch,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Broadcasts a message to every other controller that is connected.
    Peer { message: Message },
    /// Informs the reconciler of objects of a change to a job.
    JobEvent(JobEvent),
}

/// What a leader has learned about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// The job's end, done or cancelled, is in the store.
    Ended { job: String, state: JobState },
    /// An attempt of one of its tasks ended with an error. The event is repeated for the
    /// same attempt when a new leader receives the failure again.
    Failed {
        job: String,
        task: u32,
        attempt: u64,
    },
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
}

impl Answer {
    /// A response with an encoded body.
    pub fn body<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Answer {
            status,
            body: dillcleat_wire::encode(body),
            retry_after: None,
        }
    }

    /// A response that states an error.
    pub fn refusal(status: u16, error: impl Into<String>) -> Self {
        let error = error.into();
        Answer::body(status, &ErrorReply { error })
    }

    /// 503 with `Retry-After: 1`. It is sent at once: a client that is kept waiting
    /// cannot turn to another controller.
    pub fn retry_later(error: &str) -> Self {
        log::debug!("request rejected, retry later reason={error}");
        Answer {
            retry_after: Some(1),
            ..Answer::refusal(503, error)
        }
    }
}
