//! The binary protocol between controllers.
//!
//! A frame consists of a length (u32, not counting itself), a version byte, a kind byte and the
//! fields of the message. Integers and IEEE 754 numbers are big-endian, a string is a u16 length
//! and UTF-8 bytes, a list is a u16 count and its elements. Every length is checked against its
//! limit before memory is allocated.
//!
//! The messages are hints. Leadership and placements are decided by compare-and-swap in the
//! store, so a lost or forged message may cause delays but does not affect correctness.

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

mod encoder;
mod error;
mod frame;
mod message;
mod reader;

pub use error::FrameError;
pub use frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION, frame_length};
pub use message::{
    ClassRunTime, Estimates, JobEstimate, JobProgress, MAX_CLASSES, MAX_JOB_ESTIMATES,
    MAX_PROGRESS_JOBS, MAX_RUN_TIME_SAMPLES, MAX_UNRESPONSIVE_ZONES, Message, UnresponsiveZone,
};
