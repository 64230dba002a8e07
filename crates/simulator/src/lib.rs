//! A rehearsal kit: stand-ins for the state service, the cloud, workers and
//! users, on simulated time with seeded luck, and a checker of the rules.
//!
//! The controllers in a rehearsal are the real [`dillcleat_controller::Node`]s; only
//! what lies beyond their inputs and outputs is played. Figures of a rehearsal
//! say nothing about real deployments; its verdict on the rules does.

pub mod alone;
pub mod cloud;
pub mod fleet;
pub mod history;
pub mod loopback;
mod meetings;
pub mod objects;
pub mod processes;
pub mod rules;
pub mod scenario;
pub mod served;
pub mod state;
mod troubles;
pub mod worker;
pub mod world;

pub use fleet::{Fleet, Measured, Setting};
pub use rules::{Checker, Late, Rule, Violation};
pub use scenario::{Cut, Fault, Form, LEADER, Moment, Scenario};
pub use served::Shares;
pub use world::{Outcome, World};
