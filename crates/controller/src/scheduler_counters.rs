//! How much work a leader's scheduler has done, for tests of its cost.

/// Work of a leader's scheduling cycles and scale-out plans since it was elected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SchedulerCounters {
    /// Scheduling cycles run.
    pub passes: u64,
    /// Jobs that scheduling cycles examined.
    pub jobs: u64,
    /// Jobs that scale-out plans examined.
    pub planned: u64,
    /// Machines that scale-out plans examined.
    pub machines: u64,
    /// Tasks that scheduling cycles placed.
    pub placed: u64,
}
