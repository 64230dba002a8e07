//! Counters of a leader's commands to the workers.

/// What became of a leader's commands since it was elected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CommandCounters {
    /// Command batches that a worker refused because of their token or incarnation.
    pub refused_batches: u64,
    /// Attempts that ran on a machine on which they were not placed, for example after a late
    /// copy of their launch. They are stopped.
    pub returned_launches: u64,
    /// Exited attempts that machines list, because they have yet to be reaped.
    pub unreaped_exits: u64,
    /// The most tasks that a heartbeat has listed, exited ones included. The size of a heartbeat
    /// is limited.
    pub max_listed_tasks: u64,
}
