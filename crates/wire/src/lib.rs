//! Typed messages of the protocols that dillcleat implements, and their validation.
//!
//! The names of fields on the wire occur only in this crate, as explicit serde names. All other
//! crates use the Rust names: jobs, tasks, attempts, machines, zones, teams, leases and terms.
//! Clients written in Rust can use this crate directly.

#![warn(
    missing_docs,
    clippy::pedantic,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::wildcard_imports,
    clippy::too_many_lines
)]
#![allow(
    clippy::must_use_candidate,
    reason = "an unused result of these pure functions is harmless"
)]

mod body;
pub mod cloud;
mod http;
pub mod settings;
pub mod store;
mod task_name;
pub mod user;
pub mod worker;

pub use body::{BodyError, MAX_BODY_BYTES, decode, encode};
pub use http::HttpRequest;
pub use task_name::{TaskName, TaskNameError};
