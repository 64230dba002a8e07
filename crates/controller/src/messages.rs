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
        /// The id under which the answer is expected.
        id: RequestId,
        /// The HTTP method.
        method: String,
        /// The request target: path and query.
        target: String,
        /// The body.
        body: Vec<u8>,
    },
    /// The key-value store's response to an [`Output::Store`].
    Store {
        /// The call that is answered.
        id: CallId,
        /// The reply, or why there is none.
        reply: Result<StoreResponse, CallError>,
    },
    /// The cloud's response to an [`Output::Cloud`].
    Cloud {
        /// The call that is answered.
        id: CallId,
        /// The reply, or why there is none.
        reply: Result<CloudResponse, CallError>,
    },
    /// A worker's response to an [`Output::Commands`]: HTTP status and body.
    Commands {
        /// The call that is answered.
        id: CallId,
        /// The reply, or why there is none.
        reply: Result<(u16, Vec<u8>), CallError>,
    },
    /// A message of another controller.
    Peer {
        /// The sender's member name.
        from: String,
        /// The message.
        message: Message,
    },
}

/// One effect that a node asks the process around it to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answers an [`Input::Request`].
    Answer {
        /// The request that is answered.
        id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Sends a request to the key-value store.
    Store {
        /// The id under which the reply is expected.
        id: CallId,
        /// The request to send.
        call: StoreRequest,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Sends a request to the cloud.
    Cloud {
        /// The id under which the reply is expected.
        id: CallId,
        /// The request to send.
        call: CloudRequest,
        /// How long to wait for the response.
        timeout: Micros,
        /// The request must be written to its connection within this time, or not be
        /// sent at all: afterwards this node may no longer be the leader.
        within: Micros,
    },
    /// Sends commands to a worker.
    Commands {
        /// The id under which the reply is expected.
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
    /// Informs the reconciler of objects of a change to a job.
    JobEvent(JobEvent),
}

/// What a leader has learned about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// The job's end, done or cancelled, is in the store.
    Ended {
        /// The id of the job.
        job: String,
        /// How it ended.
        state: JobState,
    },
    /// An attempt of one of its tasks ended with an error. The event is repeated for the
    /// same attempt when a new leader receives the failure again.
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
