//! dillcleat's decisions, without any I/O, clock or randomness of their own.
//!
//! A controller is a [`Node`]: it takes one [`Input`] at a time and returns
//! the [`Output`]s that follow from it: requests to send, answers to give,
//! records to write. The same code runs in the service and in the rehearsals.

pub mod admission;
pub mod blame;
mod bucket;
pub mod budget;
pub mod calls;
pub mod config;
pub mod desk;
pub mod graph;
mod known;
pub mod latency;
pub mod leader;
pub mod leadership;
mod learned;
pub mod ledger;
pub mod node;
pub mod permit;
mod progress;
mod siblings;
pub mod slab;
pub mod store;
pub mod waiters;
pub mod workers;

pub use dillcleat_sched as sched;

pub use calls::{CallError, CallId};
pub use config::{Config, Tuning, TuningError};
pub use node::Node;

use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::{CloudCall, CloudReply};
use dillcleat_wire::state::{StateCall, StateReply};
use dillcleat_wire::user::JobState;
use dillcleat_wire::worker::Orders;

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
pub struct Counts {
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
pub struct Now {
    /// The steady clock: intervals are measured on it.
    pub steady: Micros,
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
    State {
        id: CallId,
        reply: Result<StateReply, CallError>,
    },
    Cloud {
        id: CallId,
        reply: Result<CloudReply, CallError>,
    },
    /// A worker's answer to orders: its status and body.
    Orders {
        id: CallId,
        reply: Result<(u16, Vec<u8>), CallError>,
    },
    Mesh {
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
    State {
        id: CallId,
        call: StateCall,
        timeout: Micros,
    },
    Cloud {
        id: CallId,
        call: CloudCall,
        timeout: Micros,
        /// For how long it may be put on its way. What could not be sent by then is
        /// not sent any more: its sender may have lost the lead.
        within: Micros,
    },
    Orders {
        id: CallId,
        addr: String,
        orders: Orders,
        timeout: Micros,
    },
    /// To every other controller that is connected.
    Mesh {
        message: Message,
    },
    /// News of a job, told by the leader to whoever keeps objects for jobs.
    Told(Told),
}

/// What a leader has learned of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
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
            &dillcleat_wire::user::Refusal {
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
