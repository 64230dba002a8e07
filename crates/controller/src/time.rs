//! Time as the decisions see it: two clocks, in whole microseconds.

/// A duration or a clock reading in whole microseconds.
///
/// Whether a reading is of the monotonic or of the wall clock is said where it is
/// stored; only [`Timestamp`] carries both.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// How long a worker waits for the response to a heartbeat, including its pause
/// afterwards, before it turns to the next controller.
pub(crate) const WORKER_FAILOVER_TIMEOUT: Micros = 5 * SECOND;

/// Converts seconds to whole microseconds; negative values and NaN become zero.
pub fn micros(seconds: f64) -> Micros {
    // A cast from a float saturates, and NaN becomes 0.
    (seconds * 1e6) as Micros
}

/// Converts whole microseconds to seconds.
pub fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// Both clocks, read at the moment of an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock: intervals are measured on it. Its zero is arbitrary and it
    /// must not be stored, since another process cannot compare it.
    pub monotonic: Micros,
    /// The wall clock, since the Unix epoch: only what outlives a process is stamped
    /// with it.
    pub wall: Micros,
}
