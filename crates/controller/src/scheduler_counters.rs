//! Counters of the scheduler's work, for tests of its cost.

/// The work of a leader's scheduling cycles and scale-out plans since it was elected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SchedulerCounters {
    /// The number of scheduling cycles.
    pub cycles: u64,
    /// The number of jobs that scheduling cycles examined.
    pub cycle_jobs_examined: u64,
    /// The number of jobs that scale-out plans examined.
    pub plan_jobs_examined: u64,
    /// The number of machines that scale-out plans examined.
    pub plan_machines_examined: u64,
    /// The number of tasks that scheduling cycles placed.
    pub placed: u64,
}
