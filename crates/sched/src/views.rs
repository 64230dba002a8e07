//! Snapshots of jobs, machines and teams on which a scheduling cycle or a scale-out plan works.
//!
//! The views are copies. [`JobView::assign_next_task`] changes only the views and the team's
//! allowance; the scheduler's state changes when the caller applies the result.

use crate::resources::{ROUNDING_TOLERANCE, Resources, to_millionths};
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Index into a table of jobs or machines. An entry keeps its index until it is removed.
pub type SlabIndex = u32;

/// Index into the table of jobs.
pub type JobIndex = SlabIndex;

/// Index into the table of machines.
pub type MachineIndex = SlabIndex;

/// The zone of a machine whose zone is not known yet.
const UNKNOWN_ZONE: &str = "";

/// Container images with their sizes in GB. Views of the same machine share the list.
pub type Images = Rc<Vec<(Rc<str>, f64)>>;

/// A machine that can run tasks now or, in a scale-out plan, once it has booted.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView {
    /// The name of the machine's type.
    pub machine_type: Rc<str>,
    /// The zone of the machine; empty if it is not known yet.
    pub zone: Rc<str>,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Resources not used by its tasks.
    pub free: Resources,
    /// Images in its cache or being downloaded to it.
    pub images: Images,
    /// How many of these images are used by services.
    pub service_images: u32,
    /// Ids of the jobs that failed on the machine.
    pub failed_jobs: Vec<Rc<str>>,
    /// Whether the machine is cordoned because several jobs failed on it. It runs tasks only as
    /// a last resort, and its free resources are excluded from the sums.
    pub cordoned: bool,
    /// Whether the machine answers commands while its heartbeats do not arrive. Its tasks may be
    /// ended when its lease expires, so it is tried after all other machines.
    pub outbound_unreachable: bool,
}

impl MachineView {
    /// Whether the image is in the machine's cache or being downloaded to it.
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(cached, _)| &**cached == image)
    }
}

/// The unused part of a team's quota; infinite if the team has no limit.
#[derive(Debug, Clone)]
pub struct TeamAllowance {
    /// CPUs that the team may still use.
    pub cpus_left: f64,
    /// GPUs that the team may still use.
    pub gpus_left: f64,
}

/// The properties of a job that decide which machines its tasks may run on: resources,
/// constraints, and whether it is a service or starving.
///
/// If no machine has capacity for a job, none has capacity for any job with equal requirements,
/// so that a cycle skips all of these jobs at once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementRequirements {
    cpus_millionths: i64,
    gpus_millionths: i64,
    memory_gb_millionths: i64,
    spot: bool,
    service: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    starving: bool,
}

impl PlacementRequirements {
    /// The requirements of a job that is not starving (see [`JobView::starving`]).
    pub fn of(spec: &JobSpec) -> PlacementRequirements {
        PlacementRequirements {
            cpus_millionths: to_millionths(spec.cpus),
            gpus_millionths: to_millionths(spec.gpus),
            memory_gb_millionths: to_millionths(spec.memory_gb),
            spot: spec.spot,
            service: spec.kind == JobKind::Service,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            starving: false,
        }
    }

    /// A copy of the requirements with the given starvation flag.
    #[must_use]
    pub fn with_starving(&self, starving: bool) -> PlacementRequirements {
        PlacementRequirements {
            starving,
            ..self.clone()
        }
    }

    /// Whether the requirements belong to a starving job.
    pub fn starving(&self) -> bool {
        self.starving
    }
}

/// A job with tasks that are waiting to be placed.
#[derive(Debug, Clone)]
pub struct JobView<'a> {
    /// Index into the table of jobs.
    pub index: JobIndex,
    /// Id of the job.
    pub id: &'a str,
    /// The specification that the user submitted.
    pub spec: &'a JobSpec,
    /// The container image of its tasks.
    pub image: &'a Rc<str>,
    /// Index of its team in the list of allowances.
    pub team: usize,
    /// Number of tasks waiting to be placed, which the caller may cap for one cycle.
    pub waiting_tasks: u32,
    /// Number of tasks that are or may be on machines, by zone. Filled only for jobs that are
    /// spread over zones or restricted to a single zone.
    pub tasks_by_zone: BTreeMap<Rc<str>, u32>,
    /// Number of waiting tasks that are training tasks: the job's size is estimated from their
    /// run times.
    pub training_tasks: u32,
    /// Number of waiting tasks that would start too late for the deadline on the existing fleet.
    /// A plan may provision on-demand machines for them if spot machines are not available. The
    /// number affects scale-out only, not the order of jobs.
    pub at_risk_tasks: u32,
    /// Whether the job has waited for longer than the starvation limit. One of its tasks may
    /// then use the service headroom or machines on which this or other jobs failed.
    pub starving: bool,
}

impl JobView<'_> {
    /// The resources that one of its tasks requires.
    pub fn resources(&self) -> Resources {
        Resources::of_task(self.spec)
    }

    /// Whether the job is a service, whose tasks are replicas that run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether the job's zone constraints allow one more task in this zone.
    fn allows_zone(&self, zone: &str) -> bool {
        if self.spec.zone.as_ref().is_some_and(|only| only != zone) {
            return false;
        }
        let in_other_zone = || {
            let mut zones = self.tasks_by_zone.iter();
            zones.any(|(other, tasks)| **other != *zone && *tasks > 0)
        };
        if self.spec.single_zone && in_other_zone() {
            return false;
        }
        // A spread job may have at most half of its tasks, rounded up, in one zone.
        !self.spec.spread || self.max_tasks_in(zone) < self.spec.tasks.div_ceil(2)
    }

    /// Upper bound of the number of the job's tasks in this zone. Tasks whose machine's zone is
    /// unknown count in every zone: a new leader may know a machine only from stored placements.
    fn max_tasks_in(&self, zone: &str) -> u32 {
        let count = |zone| self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        count(zone) + count(UNKNOWN_ZONE)
    }

    /// Whether the machine's type, zone and kind (spot or on-demand) satisfy the job's
    /// [`PlacementRequirements`].
    pub fn requirements_allow(&self, machine: &MachineView) -> bool {
        let type_allowed = || {
            let types = self.spec.types.as_ref();
            types.is_none_or(|types| types.iter().any(|name| **name == *machine.machine_type))
        };
        let zone_allowed = || {
            let zone = self.spec.zone.as_ref();
            zone.is_none_or(|zone| **zone == *machine.zone)
        };
        (!machine.spot || self.spec.spot) && type_allowed() && zone_allowed()
    }

    /// Whether the requirements and the job's zone constraints allow one more task on the machine.
    pub fn constraints_allow(&self, machine: &MachineView) -> bool {
        self.requirements_allow(machine) && self.allows_zone(&machine.zone)
    }

    /// Whether the machine is excluded because this job failed on it or because it is cordoned.
    pub fn is_excluded_by_failures(&self, machine: &MachineView) -> bool {
        machine.cordoned || machine.failed_jobs.iter().any(|job| **job == *self.id)
    }

    /// Whether the constraints allow one more task on the machine, and it is not excluded by
    /// failures.
    pub fn may_use(&self, machine: &MachineView) -> bool {
        self.constraints_allow(machine) && !self.is_excluded_by_failures(machine)
    }

    /// Whether the team's remaining quota suffices for one more task.
    pub fn team_allows(&self, teams: &[TeamAllowance]) -> bool {
        let team = &teams[self.team];
        team.cpus_left + ROUNDING_TOLERANCE >= self.spec.cpus
            && team.gpus_left + ROUNDING_TOLERANCE >= self.spec.gpus
    }

    /// Assigns the job's next waiting task to the machine: subtracts its resources from the
    /// machine and from the team's quota. Returns false if no task is waiting. Does not check
    /// whether the task fits.
    pub fn assign_next_task(
        &mut self,
        machine: &mut MachineView,
        teams: &mut [TeamAllowance],
    ) -> bool {
        if self.waiting_tasks == 0 {
            return false;
        }
        self.waiting_tasks -= 1;
        machine.free.subtract(&self.resources());
        if !machine.holds_image(self.image) {
            Rc::make_mut(&mut machine.images).push((self.image.clone(), self.spec.image_gb));
        }
        *self.tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
        teams[self.team].cpus_left -= self.spec.cpus;
        teams[self.team].gpus_left -= self.spec.gpus;
        self.training_tasks = self.training_tasks.saturating_sub(1);
        true
    }
}
