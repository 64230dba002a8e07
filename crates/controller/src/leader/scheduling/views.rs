//! Views of jobs and machines for the scheduling cycle and the scale-out plan.

use crate::calls::Context;
use crate::leader::{Job, Leader};
use crate::machines::Machine;
use crate::sched::{JobView, MachineView, Resources, SlabIndex};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The maximum number of waiting tasks of a job that a cycle or a plan examines.
const MAX_TASKS_PER_JOB: usize = 200;
/// The share of a machine's image cache that is assumed to be usable.
const USABLE_CACHE_SHARE: f64 = 0.9;

/// The usable size of a machine type's image cache, in GB.
pub(in crate::leader) fn usable_cache_gb(
    types: Option<&Vec<MachineType>>,
    machine_type: &str,
) -> f64 {
    let mut types = types.into_iter().flatten();
    let found = types.find(|t| t.name == machine_type);
    found.map_or(0.0, |t| t.cache_gb * USABLE_CACHE_SHARE)
}

impl Leader {
    /// The view of a job for a scheduling cycle or a scale-out plan. The number of waiting
    /// tasks in it is bounded; for a suspect job it is at most one.
    pub(in crate::leader) fn job_view(
        &self,
        ctx: &Context,
        index: SlabIndex,
    ) -> Option<JobView<'_>> {
        let (id, job) = self.jobs.at(index)?;
        let max_tasks = if job.failures.is_suspect() {
            1
        } else {
            MAX_TASKS_PER_JOB
        };
        Some(JobView {
            index,
            id,
            spec: &job.spec,
            image: &job.image,
            team: job.team,
            waiting_tasks: job.placeable_count().min(max_tasks) as u32,
            tasks_by_zone: self.tasks_by_zone(job, &BTreeSet::new()),
            training_tasks: job.training_tasks_left(ctx.config),
            at_risk_tasks: 0,
            starving: job.placement_requirements.starving(),
        })
    }

    /// Whether the job is a service that is not cancelled.
    pub(in crate::leader) fn is_active_service(&self, id: &Rc<str>) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.spec.kind == JobKind::Service && job.cancelled_at.is_none())
    }

    /// The number of the job's placed tasks in each zone, not counting those on `excluded`
    /// machines. Empty for jobs without a constraint on zones, which don't need it.
    pub(in crate::leader) fn tasks_by_zone(
        &self,
        job: &Job,
        excluded: &BTreeSet<Rc<str>>,
    ) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !job.spec.spread && !job.spec.single_zone {
            return zones;
        }
        let names = job.tasks.placed().map(|(_, name)| name);
        for name in names.filter(|name| !excluded.contains(*name)) {
            if let Some(machine) = self.machines.get(name) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// The resources of a machine type, if it is known.
    pub(in crate::leader) fn type_resources(&self, machine_type: &str) -> Option<Resources> {
        self.machine_types
            .iter()
            .find(|t| t.name == machine_type)
            .map(Resources::of_type)
    }

    /// The view of a machine with its free resources, if its type is known.
    pub(in crate::leader) fn machine_view(&self, machine: &Machine) -> Option<MachineView> {
        let total = self.type_resources(&machine.machine_type)?;
        Some(machine_view(machine, machine.free_resources(total)))
    }
}

/// The view of a machine with the given free resources.
pub(in crate::leader) fn machine_view(machine: &Machine, free: Resources) -> MachineView {
    MachineView {
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        free,
        images: machine.images().clone(),
        service_images: 0,
        failed_jobs: machine.health.jobs_with_failures().cloned().collect(),
        cordoned: machine.health.is_cordoned(),
        outbound_unreachable: false,
    }
}
