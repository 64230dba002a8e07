//! Types and units of time. All times are in whole microseconds.

/// A duration or a clock reading in whole microseconds.
///
/// Unless stated otherwise, readings are of the monotonic clock. [`Timestamp`] contains
/// readings of both clocks.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// The time that a worker waits for the response to a heartbeat, including a pause
/// afterwards, before it contacts the next controller.
pub(crate) const WORKER_FAILOVER_TIMEOUT: Micros = 5 * SECOND;

/// Converts seconds to whole microseconds; negative values and NaN become zero.
pub fn micros(seconds: f64) -> Micros {
    // A cast from a float saturates, and NaN becomes zero.
    (seconds * 1e6) as Micros
}

/// Converts whole microseconds to seconds.
pub fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// The readings of both clocks at the time of an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock, used for intervals. Its origin differs between processes, so it
    /// must not be stored or sent.
    pub monotonic: Micros,
    /// The wall clock, as time since the Unix epoch, used for times in stored records.
    pub wall: Micros,
}
