//! Scheduling decisions: which waiting task runs on which machine, which running tasks are
//! preempted, and which machines are rented. No clock, no I/O, and no knowledge of agents or of
//! the store: all of it is computed from what the caller passes in.
//!
//! The order of jobs is that of HFSP, a size-based fair scheduling discipline; [`cycle`]
//! explains it.
//!
//! - [`job_queue`] keeps the waiting jobs in order, and [`capacity_index`] the machines with
//!   free capacity. Both are updated with every change, so that a scheduling cycle costs what
//!   it places, however many machines and waiting tasks there are.
//! - [`cycle`] assigns waiting tasks to free capacity.
//! - [`preemption`] chooses running tasks to stop for replicas that must start soon.
//! - [`scale_out_plan`] decides which machines to rent for the tasks that find no capacity.
//! - [`views`], [`resources`] and [`placement_policy`] hold the types that these share.
//!
//! Amounts are in CPUs, GPUs and GB of memory; sums that live for long are in whole millionths
//! of these ([`to_millionths`]). Job sizes and virtual time are in CPU seconds.

#![warn(
    missing_docs,
    clippy::pedantic,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::wildcard_imports,
    clippy::too_many_lines
)]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    clippy::must_use_candidate,
    reason = "casts from floats saturate on purpose; no result here is dropped by mistake"
)]

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
