//! dillcleat's decisions, without any I/O, clock or randomness of their own.
//!
//! A controller is a [`Node`]: it takes one [`Input`] at a time and returns
//! the [`Output`]s that follow from it: requests to send, answers to give,
//! records to write. The same code runs in the service and in the rehearsals.

pub mod admission;
pub mod calls;
pub mod cloud_queue;
pub mod config;
pub mod continuations;
pub mod dependency_graph;
pub mod election;
pub mod failure_attribution;
mod inherited_estimates;
mod job_cache;
pub mod leader;
pub mod leadership_guard;
pub mod machines;
pub mod node;
mod peers;
mod progress;
pub mod records;
pub mod request_budget;
pub mod slab;
pub mod store_latency;
mod token_bucket;
pub mod write_queue;

pub use dillcleat_sched as sched;

pub use calls::{CallError, CallId};
pub use config::{Config, Tuning, TuningError};
pub use node::Node;

use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::{CloudRequest, CloudResponse};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::JobState;
use dillcleat_wire::worker::CommandBatch;

/// Whole microseconds, of the steady clock or of the time of day.
pub type Micros = u64;

pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

/// Seconds as whole microseconds; nonsense becomes zero.
pub fn micros(seconds: f64) -> Micros {
    // A cast from a float saturates, and NaN becomes 0.
    (seconds * 1e6) as Micros
}

/// Whole microseconds as seconds.
pub fn seconds(t: Micros) -> f64 {
    t as f64 / 1e6
}

/// What a leader's passes and rental plans have done in its term: how much they
/// looked at, and how much was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SchedulerCounters {
    pub passes: u64,
    /// Jobs that passes looked at.
    pub jobs: u64,
    /// Jobs and machines that rental plans looked at.
    pub planned: u64,
    pub machines: u64,
    pub placed: u64,
}

/// Both clocks at the moment of an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// The steady clock: intervals are measured on it.
    pub monotonic: Micros,
    /// The time of day: only what outlives a process is stamped with it.
    pub wall: Micros,
}

/// An HTTP request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

#[derive(Debug, Clone)]
pub enum Input {
    Tick,
    Request {
        id: RequestId,
        method: String,
        target: String,
        body: Vec<u8>,
    },
    Store {
        id: CallId,
        reply: Result<StoreResponse, CallError>,
    },
    Cloud {
        id: CallId,
        reply: Result<CloudResponse, CallError>,
    },
    /// A worker's answer to orders: its status and body.
    Commands {
        id: CallId,
        reply: Result<(u16, Vec<u8>), CallError>,
    },
    Peer {
        from: String,
        message: Message,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    Answer {
        id: RequestId,
        answer: Answer,
    },
    Store {
        id: CallId,
        call: StoreRequest,
        timeout: Micros,
    },
    Cloud {
        id: CallId,
        call: CloudRequest,
        timeout: Micros,
        /// For how long it may be put on its way. What could not be sent by then is
        /// not sent any more: its sender may have lost the lead.
        within: Micros,
    },
    Commands {
        id: CallId,
        addr: String,
        orders: CommandBatch,
        timeout: Micros,
    },
    /// To every other controller that is connected.
    Peer {
        message: Message,
    },
    /// News of a job, told by the leader to whoever keeps objects for jobs.
    JobEvent(JobEvent),
}

/// What a leader has learned of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// Its end is in the store: done, or cancelled.
    Ended { job: String, state: JobState },
    /// An attempt of one of its tasks ended with an error. Told again for the same
    /// attempt when a new leader hears of it again.
    Failed {
        job: String,
        task: u32,
        attempt: u64,
    },
}

/// An HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which it is worth asking again.
    pub retry_after: Option<u32>,
}

impl Answer {
    pub fn body<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Answer {
            status,
            body: dillcleat_wire::encode(body),
            retry_after: None,
        }
    }

    pub fn refusal(status: u16, error: impl Into<String>) -> Self {
        Answer::body(
            status,
            &dillcleat_wire::user::ErrorReply {
                error: error.into(),
            },
        )
    }

    /// "Not now": said at once, with the time to come back.
    pub fn later(error: &str) -> Self {
        log::debug!("turned away: {error}");
        Answer {
            retry_after: Some(1),
            ..Answer::refusal(503, error)
        }
    }
}
