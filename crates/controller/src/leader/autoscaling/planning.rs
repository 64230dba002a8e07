//! Scale-out: which machines are requested, and for which jobs.

use crate::calls::Context;
use crate::leader::deadline_risk::DeadlineRisk;
use crate::leader::scheduling::machine_view;
use crate::leader::{Job, Leader};
use crate::machines::{Machine, TaskSlot};
use crate::sched::resources::ROUNDING_TOLERANCE;
use crate::sched::scale_out_plan::{MachineOffering, PlanInputs, PlannedScaleOut, plan_scale_out};
use crate::sched::{
    CapacityIndex, JobView, MachineView, PlacementRequirements, SlabIndex, TeamAllowance,
};
use crate::{Micros, seconds};
use dillcleat_wire::cloud::{MachineType, ScaleOut};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The minimum remaining run time assumed for a task, as a share of its elapsed run time.
const OVERRUN_SHARE: f64 = 0.2;

/// The number of replicas on machines in partitioned zones, by job index.
type PartitionedReplicas = BTreeMap<SlabIndex, u32>;

impl Leader {
    /// Requests machines for waiting tasks, for replicas in partitioned zones and for
    /// service headroom.
    pub(super) fn scale_out(
        &mut self,
        ctx: &Context,
        types: &[MachineType],
        partitioned_machines: &BTreeSet<Rc<str>>,
    ) {
        let now = ctx.now.monotonic;
        let partitioned_replicas = self.partitioned_replicas(partitioned_machines);
        let proactive_cpus = self.proactive_headroom_cpus(ctx.config);
        if self.derived.job_queue.is_empty()
            && partitioned_replicas.is_empty()
            && proactive_cpus <= 0.0
        {
            return;
        }
        let mut teams = self.allowances_without_partitioned_replicas(ctx, &partitioned_replicas);
        let booting = self.booting_capacity(types, now);
        let machines_by_zone = self.machines_by_zone(&booting.usable);
        let machine_count: u32 = machines_by_zone.values().sum();
        let mut capacity = CapacityIndex::without_images();
        let soon_free = self.machines_soon_free(ctx, partitioned_machines);
        for view in booting.usable.into_iter().chain(soon_free) {
            capacity.add(view);
        }
        let headroom_cpus = self.service_headroom_cpus(ctx.config);
        let inputs = PlanInputs {
            types,
            unavailable_offerings: &self.autoscaler.unavailable_offerings,
            partitioned_zones: self.partitions.partitioned_zones().cloned().collect(),
            late_offerings: booting
                .late_offerings
                .into_iter()
                .map(|offering| (offering.machine_type, offering.zone))
                .collect(),
            machines_by_zone,
            headroom_cpus_in_use: self.derived.sums().headroom_cpus_in_use(),
            service_headroom_cpus: headroom_cpus,
            proactive_headroom_cpus: proactive_cpus,
            now_us: now,
        };
        let mut jobs_examined = 0;
        let jobs = self
            .scale_out_candidates(ctx, partitioned_machines, &partitioned_replicas)
            .take(self.autoscaler.plan_depth)
            .inspect(|_| jobs_examined += 1);
        let planned = plan_scale_out(jobs, &mut capacity, &mut teams, &inputs);
        self.scheduling
            .record_plan(u64::from(machine_count), jobs_examined as u64);
        self.autoscaler
            .update_plan_depth(jobs_examined, !planned.is_empty());
        for PlannedScaleOut { offering, count } in planned {
            self.request_scale_out(offering, count, now);
        }
    }

    fn request_scale_out(&mut self, offering: MachineOffering, count: u32, now: Micros) {
        let MachineOffering {
            machine_type,
            zone,
            spot,
        } = offering;
        let cloud_queue = &mut self.autoscaler.cloud_queue;
        let request = cloud_queue.new_request_name(self.term);
        log::info!(
            "scaling out request={request} count={count} machine_type={machine_type} zone={zone} spot={spot}"
        );
        let scale_out = ScaleOut {
            idempotency_key: request,
            machine_type,
            zone,
            spot,
            count,
        };
        cloud_queue.scale_out(scale_out, now);
    }

    /// The replicas in partitioned zones. Capacity to replace them is prepared while they
    /// may still be serving.
    fn partitioned_replicas(
        &self,
        partitioned_machines: &BTreeSet<Rc<str>>,
    ) -> PartitionedReplicas {
        let mut partitioned_replicas = BTreeMap::new();
        for machine in partitioned_machines
            .iter()
            .filter_map(|name| self.machines.get(name))
        {
            for (job, _) in machine.slots.keys() {
                if self.is_active_service(job)
                    && let Some(index) = self.jobs.index_of(job)
                {
                    *partitioned_replicas.entry(index).or_default() += 1;
                }
            }
        }
        partitioned_replicas
    }

    /// The remaining quota of each team, not counting the usage of replicas in partitioned zones.
    fn allowances_without_partitioned_replicas(
        &self,
        ctx: &Context,
        partitioned_replicas: &PartitionedReplicas,
    ) -> Vec<TeamAllowance> {
        let mut teams = self.derived.sums().team_allowances(ctx.config);
        for (index, replicas) in partitioned_replicas {
            if let Some((_, job)) = self.jobs.at(*index) {
                teams[job.team].cpus_left += job.spec.cpus * f64::from(*replicas);
                teams[job.team].gpus_left += job.spec.gpus * f64::from(*replicas);
            }
        }
        teams
    }

    /// The number of machines that are up or in `booting`, by zone.
    fn machines_by_zone(&self, booting: &[MachineView]) -> BTreeMap<Rc<str>, u32> {
        let up = self.derived.sums().machines_up_by_zone().iter();
        let mut machines: BTreeMap<Rc<str>, u32> = up
            .map(|(zone, count)| (zone.clone(), *count as u32))
            .collect();
        for view in booting {
            *machines.entry(view.zone.clone()).or_default() += 1;
        }
        machines
    }

    /// The jobs for which machines may be started, in queue order: jobs with replicas in
    /// partitioned zones, then waiting jobs. Suspect jobs are left out, because they are
    /// likely to fail on any machine.
    fn scale_out_candidates<'a>(
        &'a self,
        ctx: &'a Context,
        partitioned_machines: &'a BTreeSet<Rc<str>>,
        partitioned_replicas: &'a PartitionedReplicas,
    ) -> impl Iterator<Item = (JobView<'a>, &'a Rc<PlacementRequirements>)> {
        let mut risk = DeadlineRisk::new(self.derived.sums());
        // Jobs with partitioned replicas are services, which come first in the queue order.
        let waiting = self
            .derived
            .job_queue
            .iter_in_order(self.scheduling.virtual_time());
        let waiting = waiting.filter(|index| !partitioned_replicas.contains_key(index));
        let indexes = partitioned_replicas.keys().copied().chain(waiting);
        indexes.filter_map(move |index| {
            let (_, job) = self.jobs.at(index)?;
            if job.failures.is_suspect() {
                return None;
            }
            let mut view = self.job_view(ctx, index)?;
            if let Some(replicas) = partitioned_replicas.get(&index) {
                view.waiting_tasks += replicas;
                view.tasks_by_zone = self.tasks_by_zone(job, partitioned_machines);
            }
            view.at_risk_tasks = risk.tasks_at_risk(self, ctx, job, view.waiting_tasks);
            Some((view, &job.placement_requirements))
        })
    }

    /// Machines with the resources that are expected to be free by the time a new machine
    /// could be up. Starting a machine for tasks that fit there would gain nothing.
    fn machines_soon_free(
        &self,
        ctx: &Context,
        partitioned_machines: &BTreeSet<Rc<str>>,
    ) -> Vec<MachineView> {
        let now = ctx.now.monotonic;
        let tuning = &ctx.config.tuning;
        // `patience` is a multiple of the time until a new machine could run the task.
        let horizon_s = (self.soonest_boot_s() + tuning.fetch_s) * tuning.patience;
        let run_times_s = self.run_times_by_job(ctx);
        let is_soon_free = |slot: &&TaskSlot| {
            let run_time_s = run_times_s.get(slot.job as usize).copied().unwrap_or(0.0);
            let elapsed_s = seconds(slot.running_for(now));
            let remaining_s = (run_time_s - elapsed_s).max(elapsed_s * OVERRUN_SHARE);
            remaining_s <= horizon_s
        };
        // Machines that missed a heartbeat only recently are included: most are reachable
        // again before a new machine would be up.
        let is_usable = |machine: &&Machine| {
            machine.accepts_tasks(now)
                && !machine
                    .reachability
                    .is_unreachable_for(now, ctx.config.worker_lease)
                && !partitioned_machines.contains(&machine.name)
        };
        let mut views = Vec::new();
        for machine in self.machines.values().filter(is_usable) {
            let Some(total) = self.type_resources(&machine.machine_type) else {
                continue;
            };
            let mut free = machine.free_resources(total);
            for slot in machine.batch_slots().filter(is_soon_free) {
                free.add(&slot.resources);
            }
            if free.cpus > ROUNDING_TOLERANCE {
                views.push(machine_view(machine, free));
            }
        }
        views
    }

    /// The expected run time of a task of each job in seconds, by job index, computed once
    /// instead of for each task.
    fn run_times_by_job(&self, ctx: &Context) -> Vec<f64> {
        let run_time_s = |job: Option<&Job>| {
            let job = job.filter(|job| job.tasks.placed_count() > 0);
            job.map_or(0.0, |job| self.mean_run_time_s(ctx.config, job))
        };
        self.jobs.values_by_index().map(run_time_s).collect()
    }
}
