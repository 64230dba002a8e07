//! Jobs and machines as the scheduling cycle and the scale-out plan see them.

use crate::calls::Context;
use crate::leader::{Job, Leader};
use crate::machines::Machine;
use crate::sched::{JobView, MachineView, Resources, SlabIndex};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The most waiting tasks of one job that a cycle or a plan looks at.
const MAX_TASKS_PER_JOB: usize = 200;
/// CPUs below this are rounding errors.
pub(in crate::leader) const CPU_ROUNDING_ERROR: f64 = 1e-6;
/// The part of a type's image cache that may be counted on.
const USABLE_CACHE_SHARE: f64 = 0.9;

/// What may be counted on of a type's cache for images, in GB.
pub(in crate::leader) fn usable_cache_gb(
    types: Option<&Vec<MachineType>>,
    machine_type: &str,
) -> f64 {
    let mut types = types.into_iter().flatten();
    let found = types.find(|t| t.name == machine_type);
    found.map_or(0.0, |t| t.cache_gb * USABLE_CACHE_SHARE)
}

impl Leader {
    /// A job as a scheduling cycle or a scale-out plan sees it, with those of its waiting
    /// tasks that it may look at. Of a suspect job that is one.
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
            starving: job.resource_request.starving(),
        })
    }

    /// Whether the job is a service that is not cancelled.
    pub(in crate::leader) fn is_active_service(&self, id: &Rc<str>) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.spec.kind == JobKind::Service && job.cancelled_at.is_none())
    }

    /// How many of the job's tasks are or may be in each zone, not counting those on the
    /// `excluded` machines. Only the rules of a spread and of a single zone need it, so it
    /// is empty for other jobs.
    pub(in crate::leader) fn tasks_by_zone(
        &self,
        job: &Job,
        excluded: &BTreeSet<Rc<str>>,
    ) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !job.spec.spread && !job.spec.single_zone {
            return zones;
        }
        let names = job.on_machines().map(|(_, name)| name);
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

    /// The machine with what is free on it, if its type is known.
    pub(in crate::leader) fn machine_view(&self, machine: &Machine) -> Option<MachineView> {
        let total = self.type_resources(&machine.machine_type)?;
        Some(machine_view(machine, machine.free_resources(total)))
    }
}

/// The machine as if `free` were free on it.
pub(in crate::leader) fn machine_view(machine: &Machine, free: Resources) -> MachineView {
    MachineView {
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        free,
        images: machine.images().clone(),
        service_images: 0,
        failed_jobs: machine.health.failed_jobs().cloned().collect(),
        cordoned: machine.health.is_cordoned(),
        outbound_unreachable: false,
    }
}
