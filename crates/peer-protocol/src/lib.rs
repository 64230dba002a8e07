//! The binary protocol that the controllers speak among themselves.
//!
//! A frame is a length (u32, of what follows it), a version byte, a kind byte and the
//! message's fields. Integers and IEEE 754 numbers are big endian, a text is a u16 length
//! and UTF-8, a list is a u16 count and its elements. Every length is checked against its
//! bound before memory is allocated for it.
//!
//! The messages are hints. Leadership and all placements are settled by compare-and-swap
//! in the store, so a lost or forged message costs time and never correctness.

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
pub use frame::{MAX_FRAME, VERSION, frame_length};
pub use message::{
    ClassRunTime, Estimates, JobEstimate, JobProgress, MAX_CLASSES, MAX_JOB_ESTIMATES,
    MAX_PROGRESS, MAX_SAMPLES, MAX_ZONES, Message, SilentZone,
};
