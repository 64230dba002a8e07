//! A rehearsal kit: stand-ins for the state service, the cloud, workers and
//! users, on simulated time with seeded luck, and a checker of the rules.
//!
//! The controllers in a rehearsal are the real [`dillcleat_controller::Node`]s; only
//! what lies beyond their inputs and outputs is played. Figures of a rehearsal
//! say nothing about real deployments; its verdict on the rules does.

pub mod cloud;
mod combined_faults;
mod fault_injection;
pub mod fleet;
pub mod history;
pub mod loopback;
pub mod objects;
pub mod processes;
pub mod rules;
pub mod scenario;
pub mod service_shares;
pub mod simulation;
pub mod single_node;
pub mod store;
pub mod worker;

pub use fleet::{Fleet, FleetMeasurements, FleetSettings};
pub use rules::{Checker, LateLaunches, Rule, Violation};
pub use scenario::{Cut, Fault, LEADER, Moment, Scenario, SubmissionForm};
pub use service_shares::ServiceShares;
pub use simulation::{Outcome, Simulation};
