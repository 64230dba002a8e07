//! Who gets room (HFSP), who makes room, and what is rented for those who find
//! none. No clock, no I/O, no knowledge of workers or of the store.
//!
//! Services come first. Then tiny jobs, then training tasks of the job of
//! smallest initial size while training slots are left, then the job of
//! smallest aged virtual size. Jobs whose team is at its limit are skipped.
//!
//! Waiting jobs stand in a [`job_queue::JobQueue`], machines with room on a
//! [`capacity_index::CapacityIndex`]. Both are kept up to date by what changes, so that a pass
//! costs what it places, however many machines and waiting tasks there are.

mod candidates;
pub mod capacity_index;
pub mod cycle;
pub mod job_queue;
mod machine_ranking;
pub mod placement_policy;
pub mod preemption;
pub mod resources;
pub mod scale_out_plan;
pub mod views;

pub use capacity_index::CapacityIndex;
pub use cycle::{Assignment, CycleLimits, CycleResult, run_cycle};
pub use job_queue::{AgeingState, JobQueue, QueueEntry, QueueRank};
pub use resources::{OrderedFloat, Resources, to_millionths};
pub use views::{
    Images, JobIndex, JobView, MachineIndex, MachineView, ResourceRequest, SlabIndex, TeamAllowance,
};
