//! Typed messages of every protocol that dillcleat speaks, and their validation.
//!
//! This crate is the only place that knows how the protocols spell their fields: explicit
//! serde names map that spelling to the terms of the field. Everything above speaks of
//! jobs, tasks, attempts, machines, zones, teams, leases and terms. Clients written in
//! Rust can use the crate as it is.

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

pub use body::{BODY_LIMIT, BodyError, decode, encode};
pub use http::HttpRequest;
pub use task_name::{TaskName, TaskNameError};
