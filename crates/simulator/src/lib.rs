//! Deterministic simulation of a cluster: a simulated store, cloud, workers and users on
//! simulated time with seeded randomness, and a checker of the scheduler's invariants.
//!
//! The controllers are the real [`dillcleat_controller::Node`]s; only their environment
//! is simulated. Broken invariants carry over to real deployments; timings do not.

pub mod cloud;
mod combined_faults;
mod fault_injection;
pub mod fleet;
mod late_copies;
pub mod loopback;
mod lowered_write_rate;
pub mod message_load;
pub mod objects;
pub mod output_digest;
pub mod processes;
mod regular_polls;
pub mod rules;
pub mod scenario;
pub mod service_shares;
pub mod simulation;
pub mod single_node;
mod slow_links;
pub mod store;
mod store_outages;
mod token_bucket;
pub mod worker;

pub use fleet::{Fleet, FleetMeasurements, FleetSettings};
pub use rules::{Checker, LateLaunches, Rule, Violation};
pub use scenario::{
    CrashPoint, Fault, LEADER, LoweredWriteRate, PartitionMode, RegularPolls, Scenario,
    SubmissionForm,
};
pub use service_shares::ServiceShares;
pub use simulation::{Outcome, Simulation};
