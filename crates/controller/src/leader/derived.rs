//! Sums, sets and indexes that are derived from jobs and machines and updated
//! incrementally.
//!
//! Scheduling cycles, scale-out plans and ticks read this state instead of iterating over
//! all jobs and machines, which would delay the answers to heartbeats in large fleets. The
//! slabs mark the jobs and machines that were changed. Those that change with time alone
//! (when a pause ends, a heartbeat is missed or a job's end is no longer useful) are marked
//! when the change is due. [`Leader::refresh_derived_state`] processes only marked entries.

mod audit;
mod due_times;
mod queue_entries;
mod sums;

use self::due_times::{DueSubject, DueTimes};
pub(super) use self::sums::{ClusterTotals, TeamUsage};
use self::sums::{JobContribution, MachineContribution};
use super::zone_partition::heartbeat_missed_after;
use super::{Leader, scheduling::machine_view};
use crate::calls::Context;
use crate::machines::Machine;
use crate::sched::{CapacityIndex, JobQueue, MachineView, Resources, SlabIndex};
use crate::{Config, Micros};
use dillcleat_peer_protocol::JobProgress;
use roaring::RoaringBitmap;
use std::rc::Rc;

/// The state that is derived from the jobs and machines of a leader.
#[derive(Debug)]
pub(super) struct DerivedState {
    /// Jobs with placeable tasks, in queue order.
    pub job_queue: JobQueue,
    /// Free resources of the machines that may get tasks.
    pub capacity: CapacityIndex,
    sums: ClusterTotals,
    /// The contribution of each job and machine to the sums, by slab index.
    job_contributions: Vec<Option<JobContribution>>,
    machine_contributions: Vec<Option<MachineContribution>>,
    cancelled_jobs: RoaringBitmap,
    /// Jobs whose queue position depends on the estimate of their class.
    jobs_ranked_by_class_estimate: RoaringBitmap,
    /// Jobs whose task counts have changed since they were last sent to peers.
    jobs_to_replicate: RoaringBitmap,
    /// Machines that are up and have missed a heartbeat.
    unresponsive_machines: RoaringBitmap,
    /// Machines that have not sent a heartbeat with this term's fencing token and are not
    /// being deleted.
    machines_not_ready: RoaringBitmap,
    /// Spot machines with an interruption notice that are not being deleted.
    interrupted_machines: RoaringBitmap,
    /// Ready machines without placed tasks that are not being deleted.
    empty_machines: RoaringBitmap,
    /// On-demand machines that run array tasks.
    on_demand_machines_with_arrays: RoaringBitmap,
    /// Spot machines that run array tasks.
    spot_machines_with_arrays: RoaringBitmap,
    due_times: DueTimes,
}

impl DerivedState {
    pub fn new(config: &Config) -> DerivedState {
        DerivedState {
            job_queue: JobQueue::default(),
            capacity: CapacityIndex::new(),
            sums: ClusterTotals::new(config),
            job_contributions: Vec::new(),
            machine_contributions: Vec::new(),
            cancelled_jobs: RoaringBitmap::new(),
            jobs_ranked_by_class_estimate: RoaringBitmap::new(),
            jobs_to_replicate: RoaringBitmap::new(),
            unresponsive_machines: RoaringBitmap::new(),
            machines_not_ready: RoaringBitmap::new(),
            interrupted_machines: RoaringBitmap::new(),
            empty_machines: RoaringBitmap::new(),
            on_demand_machines_with_arrays: RoaringBitmap::new(),
            spot_machines_with_arrays: RoaringBitmap::new(),
            due_times: DueTimes::default(),
        }
    }

    pub fn sums(&self) -> &ClusterTotals {
        &self.sums
    }

    /// Cancelled jobs that have not ended.
    pub fn cancelled_jobs(&self) -> &RoaringBitmap {
        &self.cancelled_jobs
    }

    /// Whether the machine is up and has missed a heartbeat.
    pub fn is_unresponsive(&self, machine: SlabIndex) -> bool {
        self.unresponsive_machines.contains(machine)
    }

    /// Machines that are up and have missed a heartbeat.
    pub fn unresponsive_machines(&self) -> &RoaringBitmap {
        &self.unresponsive_machines
    }

    /// Machines that have not sent a heartbeat with this term's fencing token and are not
    /// being deleted.
    pub fn machines_not_ready(&self) -> &RoaringBitmap {
        &self.machines_not_ready
    }

    /// Spot machines with an interruption notice that are not being deleted.
    pub fn interrupted_machines(&self) -> &RoaringBitmap {
        &self.interrupted_machines
    }

    /// Ready machines without placed tasks that are not being deleted.
    pub fn empty_machines(&self) -> &RoaringBitmap {
        &self.empty_machines
    }

    /// On-demand machines that run array tasks.
    pub fn on_demand_machines_with_arrays(&self) -> &RoaringBitmap {
        &self.on_demand_machines_with_arrays
    }

    /// Spot machines that run array tasks.
    pub fn spot_machines_with_arrays(&self) -> &RoaringBitmap {
        &self.spot_machines_with_arrays
    }

    /// Replaces the contribution of a job. Returns the images that were not used by any
    /// service before and are now, or the reverse.
    fn replace_job_contribution(
        &mut self,
        index: SlabIndex,
        new: Option<JobContribution>,
    ) -> Vec<Rc<str>> {
        let current = entry_at(&mut self.job_contributions, index, None);
        if *current == new {
            return Vec::new();
        }
        let old = std::mem::replace(current, new.clone());
        let is = |holds: fn(&JobContribution) -> bool| new.as_ref().is_some_and(holds);
        set_member(&mut self.cancelled_jobs, index, is(|job| job.cancelled));
        set_member(
            &mut self.jobs_ranked_by_class_estimate,
            index,
            is(|job| job.ranked_by_class_estimate),
        );
        set_member(
            &mut self.jobs_to_replicate,
            index,
            is(|job| job.progress_changed),
        );
        let image = |job: &Option<JobContribution>| job.as_ref().and_then(|job| job.image.clone());
        let (image_before, image_after) = (image(&old), image(&new));
        if let Some(job) = old {
            self.sums.remove_job(&job);
        }
        if let Some(job) = new {
            self.sums.add_job(&job);
        }
        if image_before == image_after {
            return Vec::new();
        }
        // Both may apply: an index may be reused for another service between two refreshes.
        let newly_used = image_after.filter(|image| self.sums.services_using(image) == 1);
        let no_longer_used = image_before.filter(|image| self.sums.services_using(image) == 0);
        newly_used.into_iter().chain(no_longer_used).collect()
    }

    /// Replaces the contribution of a machine.
    fn replace_machine_contribution(&mut self, index: SlabIndex, new: Option<MachineContribution>) {
        let current = entry_at(&mut self.machine_contributions, index, None);
        if *current == new {
            return;
        }
        let old = std::mem::replace(current, new.clone());
        let is = |holds: fn(&MachineContribution) -> bool| new.as_ref().is_some_and(holds);
        set_member(
            &mut self.unresponsive_machines,
            index,
            is(|m| m.unresponsive),
        );
        set_member(&mut self.machines_not_ready, index, is(|m| m.not_ready));
        set_member(&mut self.interrupted_machines, index, is(|m| m.interrupted));
        set_member(&mut self.empty_machines, index, is(|m| m.empty));
        let on_demand = &mut self.on_demand_machines_with_arrays;
        set_member(on_demand, index, is(|m| m.runs_arrays && !m.spot));
        let spot = &mut self.spot_machines_with_arrays;
        set_member(spot, index, is(|m| m.runs_arrays && m.spot));
        if let Some(machine) = old {
            self.sums.remove_machine(&machine);
        }
        if let Some(machine) = new {
            self.sums.add_machine(&machine);
        }
    }
}

/// Adds an index to a set or removes it.
fn set_member(set: &mut RoaringBitmap, index: SlabIndex, is_member: bool) {
    if is_member {
        set.insert(index);
    } else {
        set.remove(index);
    }
}

/// Returns the entry at an index, growing the list as needed.
fn entry_at<T: Clone>(list: &mut Vec<T>, index: SlabIndex, vacant: T) -> &mut T {
    let position = index as usize;
    if position >= list.len() {
        list.resize(position + 1, vacant);
    }
    &mut list[position]
}

impl Leader {
    /// Updates the derived state for jobs and machines that were marked or are due.
    pub(super) fn refresh_derived_state(&mut self, ctx: &Context) {
        while let Some(due) = self.derived.due_times.pop_due(ctx.now.monotonic) {
            match due {
                DueSubject::Job(index) => self.jobs.mark_changed(index),
                DueSubject::Machine(index) => self.machines.mark_changed(index),
            }
        }
        for index in self.jobs.take_changed() {
            self.refresh_job(ctx, index);
        }
        let virtual_time = self.scheduling.virtual_time();
        while let Some(index) = self.derived.job_queue.next_aged_to_zero(virtual_time) {
            self.refresh_job(ctx, index);
        }
        for index in self.machines.take_changed() {
            self.refresh_machine(ctx, index);
        }
        let usage = self.unknown_jobs.usage_by_team(ctx.config);
        let usage = usage.into_iter().map(TeamUsage::from);
        self.derived.sums.set_unknown_job_usage(usage.collect());
    }

    /// Marks the jobs whose queue position depends on the estimate of their class, if any
    /// estimate has changed. Called with each fleet check, since doing this at the end of
    /// each task would be expensive.
    pub(super) fn mark_jobs_ranked_by_class_estimate(&mut self) {
        if self.estimates.take_run_times_changed() {
            for index in &self.derived.jobs_ranked_by_class_estimate {
                self.jobs.mark_changed(index);
            }
        }
    }

    fn refresh_machine(&mut self, ctx: &Context, index: SlabIndex) {
        let now = ctx.now.monotonic;
        let missed_after = heartbeat_missed_after(ctx.config);
        let machine = self.machines.at(index).map(|(_, machine)| machine);
        let total = machine.and_then(|machine| self.type_resources(&machine.machine_type));
        let contribution =
            machine.map(|machine| MachineContribution::of(machine, total, now, missed_after));
        let view = machine
            .zip(total)
            .and_then(|(machine, total)| self.placement_view(machine, total, now, missed_after));
        let due = machine.and_then(|machine| next_change(machine, now, missed_after));
        self.derived
            .replace_machine_contribution(index, contribution);
        self.derived.capacity.set(index, view);
        if let Some(at) = due {
            let subject = DueSubject::Machine(index);
            self.derived.due_times.add(at, subject);
        }
    }

    /// The view of a machine for the scheduling cycle, if it may get tasks.
    ///
    /// A task that is launched on an unreachable machine can't be placed elsewhere before
    /// the launch is proved not to have arrived, so such machines get no tasks. A machine
    /// whose replies to commands arrive but whose heartbeats don't is marked as
    /// `outbound_unreachable`: its tasks may end when their lease expires.
    fn placement_view(
        &self,
        machine: &Machine,
        total: Resources,
        now: Micros,
        missed_after: Micros,
    ) -> Option<MachineView> {
        let reachability = &machine.reachability;
        if !machine.accepts_tasks_as_last_resort(now)
            || !reachability.is_reachable(now, missed_after)
        {
            return None;
        }
        let mut view = machine_view(machine, machine.free_resources(total));
        view.outbound_unreachable = !reachability.is_reachable_and_renews_lease(now, missed_after);
        if !machine.spot {
            view.service_images = self.service_images_on(machine);
        }
        Some(view)
    }

    /// The number of service images in the machine's cache.
    pub(super) fn service_images_on(&self, machine: &Machine) -> u32 {
        let images = machine.images().iter();
        let sums = &self.derived.sums;
        images
            .filter(|(image, _)| sums.services_using(image) > 0)
            .count() as u32
    }

    /// Iterates over the machines that are up and have missed a heartbeat.
    pub(super) fn unresponsive_machines(&self) -> impl Iterator<Item = (&Rc<str>, &Machine)> {
        let unresponsive = self.derived.unresponsive_machines.iter();
        unresponsive.filter_map(|index| self.machines.at(index))
    }

    /// Takes the task counts that have changed since they were last sent to peers. They
    /// count as sent from now on.
    pub fn take_changed_progress(&mut self) -> Vec<JobProgress> {
        let to_replicate = self.derived.jobs_to_replicate.iter();
        let indexes: Vec<SlabIndex> = to_replicate
            .take(dillcleat_peer_protocol::MAX_PROGRESS_JOBS)
            .collect();
        let mut changed = Vec::new();
        for index in indexes {
            self.jobs.mark_changed(index);
            let Some((id, job)) = self.jobs.at(index) else {
                continue;
            };
            let (id, counts) = (id.to_string(), job.task_counts());
            if let Some(job) = self.jobs.get_mut_unmarked(index) {
                job.replicated_counts = counts;
            }
            changed.push(counts.into_progress(id));
        }
        changed
    }
}

/// The next time at which the derived state of a machine changes without an event: when it
/// misses a heartbeat or may get tasks again.
fn next_change(machine: &Machine, now: Micros, missed_after: Micros) -> Option<Micros> {
    let reachability = &machine.reachability;
    [
        reachability.last_contact_at() + missed_after,
        reachability.last_heartbeat_at() + missed_after,
        machine.health.placement_paused_until(),
    ]
    .into_iter()
    .filter(|at| *at > now)
    .min()
}
