//! The logic of a dillcleat controller, without I/O, clocks and randomness.
//!
//! The logic of one controller process, also called a node, is a [`Node`]: a deterministic
//! state machine that takes one [`Input`] at a time and returns the resulting [`Output`]s:
//! requests to send, and answers to users and workers. The service and the simulator run the
//! same code, so a fault that the simulator finds can be replayed from its seed.
//!
//! The main modules:
//! - [`node`] dispatches inputs to the other modules;
//! - [`election`] elects a leader for each term, and [`leadership_guard`] restricts the
//!   irreversible actions of a leader;
//! - [`admission`] answers users' requests, on every node;
//! - [`leader`] schedules tasks, scales the fleet and reconciles heartbeats, only on the
//!   elected node;
//! - [`calls`] and [`continuations`] track outgoing requests and route their responses to the
//!   module that sent them.

#![warn(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::wildcard_imports,
    clippy::too_many_lines
)]

pub mod admission;
pub mod calls;
pub mod cloud_queue;
mod command_counters;
pub mod config;
pub mod continuations;
pub mod dependency_graph;
pub mod election;
pub mod failure_attribution;
pub mod fencing_tokens;
mod inherited_estimates;
mod job_cache;
pub mod leader;
pub mod leadership_guard;
pub mod machines;
pub mod messages;
pub mod node;
mod peers;
mod progress;
pub mod records;
pub mod request_budget;
mod scheduler_counters;
pub mod slab;
pub mod store_latency;
mod task_key;
pub mod time;
mod token_bucket;
pub mod tuning;
pub mod write_queue;

pub use dillcleat_sched as sched;

pub use command_counters::CommandCounters;
pub use config::Config;
pub use messages::{Answer, CallError, CallId, Input, JobEvent, Output, RequestId};
pub use node::Node;
pub use scheduler_counters::SchedulerCounters;
pub use time::{MILLISECOND, Micros, SECOND, Timestamp, micros, seconds};
pub use tuning::{Tuning, TuningError};
