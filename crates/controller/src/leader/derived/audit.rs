//! A consistency check of the derived state, for the simulator.

use super::DerivedState;
use crate::calls::Context;
use crate::leader::Leader;
use crate::sched::{MachineView, SlabIndex};

impl Leader {
    /// Recomputes the derived state and returns the names of the parts that differ from the
    /// incrementally updated state. Takes time linear in the number of jobs and machines.
    pub fn audit(&mut self, ctx: &Context) -> Vec<&'static str> {
        self.mark_jobs_ranked_by_class_estimate();
        self.refresh_derived_state(ctx);
        let old = std::mem::replace(&mut self.derived, DerivedState::new(ctx.config));
        self.jobs.mark_all_changed();
        self.machines.mark_all_changed();
        self.refresh_derived_state(ctx);
        let mut differences = self.audit_queue_and_capacity(&old);
        differences.extend(old.differing_sets(&self.derived));
        differences
    }

    fn audit_queue_and_capacity(&self, old: &DerivedState) -> Vec<&'static str> {
        let new = &self.derived;
        let queue = |state: &DerivedState| -> Vec<SlabIndex> {
            let virtual_time = self.scheduling.virtual_time();
            state.job_queue.iter_in_order(virtual_time).collect()
        };
        // The number of service images is not kept up to date for machines without free CPUs.
        let service_images = |machine: &MachineView| match machine.free.cpus > 0.0 {
            true => machine.service_images,
            false => 0,
        };
        let view = |state: &DerivedState, index| {
            let view = state.capacity.view(index);
            view.map(|machine| (machine.free, service_images(machine), machine.spot))
        };
        let mut indexes = 0..self.machines.index_bound();
        differences([
            ("dependencies", self.dependencies_are_consistent()),
            ("sums", old.sums == new.sums),
            ("job queue", queue(old) == queue(new)),
            (
                "capacity index",
                indexes.all(|index| view(old, index) == view(new, index)),
            ),
        ])
    }
}

impl DerivedState {
    fn differing_sets(&self, new: &DerivedState) -> Vec<&'static str> {
        let arrays = |state: &DerivedState| {
            (
                state.on_demand_machines_with_arrays.clone(),
                state.spot_machines_with_arrays.clone(),
            )
        };
        differences([
            ("cancelled jobs", self.cancelled_jobs == new.cancelled_jobs),
            (
                "jobs ranked by class estimate",
                self.jobs_ranked_by_class_estimate == new.jobs_ranked_by_class_estimate,
            ),
            (
                "jobs to replicate",
                self.jobs_to_replicate == new.jobs_to_replicate,
            ),
            (
                "unresponsive machines",
                self.unresponsive_machines == new.unresponsive_machines,
            ),
            (
                "machines that are not ready",
                self.machines_not_ready == new.machines_not_ready,
            ),
            (
                "interrupted machines",
                self.interrupted_machines == new.interrupted_machines,
            ),
            ("empty machines", self.empty_machines == new.empty_machines),
            ("machines with arrays", arrays(self) == arrays(new)),
        ])
    }
}

/// The names of the checks that failed.
fn differences<const N: usize>(checks: [(&'static str, bool); N]) -> Vec<&'static str> {
    let different = checks.into_iter().filter(|(_, same)| !same);
    different.map(|(name, _)| name).collect()
}
