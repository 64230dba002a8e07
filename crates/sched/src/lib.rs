//! Scheduling decisions: which waiting task runs on which machine, which running tasks are
//! preempted, and which machines are provisioned. The crate reads no clock, does no I/O and does
//! not communicate with workers or the store: every decision is computed from the arguments.
//!
//! Jobs are ordered by HFSP, a size-based fair scheduling discipline described in [`cycle`].
//!
//! - [`job_queue`] keeps the waiting jobs in order, and [`capacity_index`] the machines with
//!   free capacity. Both are updated incrementally, so that the cost of a scheduling cycle
//!   depends on the number of tasks placed and not on the size of the fleet or the backlog.
//! - [`cycle`] assigns waiting tasks to free capacity.
//! - [`preemption`] selects running tasks to stop for replicas that must start soon.
//! - [`scale_out_plan`] decides which machines to provision for tasks that do not fit on the
//!   existing ones.
//! - [`views`], [`resources`] and [`placement_policy`] define the types shared by these modules.
//!
//! Amounts are in CPUs, GPUs and GB of memory; long-lived sums are in whole millionths of these
//! units ([`to_millionths`]). Job sizes and virtual time are in CPU-seconds.

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
    Images, JobIndex, JobView, MachineIndex, MachineView, PlacementRequirements, SlabIndex,
    TeamAllowance,
};
