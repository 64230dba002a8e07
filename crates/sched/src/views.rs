//! Jobs, machines and teams as a scheduling cycle or a scale-out plan sees them.
//!
//! The views are copies that a cycle may change freely: [`JobView::assign_next_task`] takes
//! resources from the view of a machine, and nothing else learns of it until the caller applies
//! the result.

use crate::resources::{ROUNDING_TOLERANCE, Resources, to_millionths};
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Position in a table of jobs or of machines: a small number that each keeps for as long
/// as it is known.
pub type SlabIndex = u32;

/// Position of a job in the table of jobs.
pub type JobIndex = SlabIndex;

/// Position of a machine in the table of machines.
pub type MachineIndex = SlabIndex;

/// The zone of a machine that has neither a stored record nor sent a heartbeat yet.
const UNKNOWN_ZONE: &str = "";

/// Container images and their sizes in GB, shared by a machine and its views.
pub type Images = Rc<Vec<(Rc<str>, f64)>>;

/// A machine that may take tasks, now or (in a scale-out plan) later.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView {
    /// The name of the machine's type.
    pub machine_type: Rc<str>,
    /// The zone in which it runs; empty while unknown.
    pub zone: Rc<str>,
    /// Whether it is a spot machine, which the cloud may take back.
    pub spot: bool,
    /// What its tasks leave free.
    pub free: Resources,
    /// Images that it holds or is fetching.
    pub images: Images,
    /// How many of these images are used by services.
    pub service_images: u32,
    /// Ids of the jobs that failed on it.
    pub failed_jobs: Vec<Rc<str>>,
    /// Several jobs failed on it: it takes tasks as a last resort only, and its free resources
    /// are not counted.
    pub cordoned: bool,
    /// It answers commands, but its own heartbeats do not arrive. Tasks placed there may end
    /// when its lease expires, so it is used after all others.
    pub outbound_unreachable: bool,
}

impl MachineView {
    /// Whether it holds or is fetching the image.
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(held, _)| &**held == image)
    }
}

/// What the tasks of a team may still take of its quota; infinite if there is no limit.
#[derive(Debug, Clone)]
pub struct TeamAllowance {
    /// CPUs left.
    pub cpus_left: f64,
    /// GPUs left.
    pub gpus_left: f64,
}

/// The properties of a job that decide which machines its tasks may run on.
///
/// Where one job finds no capacity at all, no other job with an equal request does, so that a
/// cycle passes over all of them at once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResourceRequest {
    cpus_millionths: i64,
    gpus_millionths: i64,
    memory_gb_millionths: i64,
    spot: bool,
    service: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    starving: bool,
}

impl ResourceRequest {
    /// The request of a job that is not starving.
    pub fn of(spec: &JobSpec) -> ResourceRequest {
        ResourceRequest {
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

    /// The same request for a job that is starving or not (see [`JobView::starving`]).
    #[must_use]
    pub fn with_starving(&self, starving: bool) -> ResourceRequest {
        ResourceRequest {
            starving,
            ..self.clone()
        }
    }

    /// Whether it is the request of a starving job.
    pub fn starving(&self) -> bool {
        self.starving
    }
}

/// A job with tasks that wait to be placed.
#[derive(Debug, Clone)]
pub struct JobView<'a> {
    /// Its position in the table of jobs.
    pub index: JobIndex,
    /// Its id.
    pub id: &'a str,
    /// What the user asked for.
    pub spec: &'a JobSpec,
    /// The container image of its tasks.
    pub image: &'a Rc<str>,
    /// Position of its team in the list of allowances.
    pub team: usize,
    /// How many of its tasks wait; the caller may cap the number for one cycle.
    pub waiting_tasks: u32,
    /// How many of its tasks are or may be on machines, by zone. Needed only for jobs that are
    /// spread over zones or bound to a single one.
    pub tasks_by_zone: BTreeMap<Rc<str>, u32>,
    /// How many of the waiting tasks are training tasks, whose run times give the estimate of
    /// the job's size.
    pub training_tasks: u32,
    /// Waiting tasks that would start too late for the deadline on the fleet as it is. A plan
    /// may rent on-demand machines for them when spot machines are not available. The number
    /// changes what is rented, never the order of jobs.
    pub at_risk_tasks: u32,
    /// It has waited for so long that one of its tasks may go where other jobs of its kind may
    /// not: into the headroom for services, or to machines where it or others failed.
    pub starving: bool,
}

impl JobView<'_> {
    /// What one of its tasks needs.
    pub fn resources(&self) -> Resources {
        Resources::of_task(self.spec)
    }

    /// Whether it is a service (its tasks are replicas that run without end).
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether the job's rules allow one more task in this zone.
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
        // At most half of the tasks, rounded up, may be in one zone.
        !self.spec.spread || self.max_tasks_in(zone) < self.spec.tasks.div_ceil(2)
    }

    /// How many of the job's tasks are or may be in this zone: a machine that a new leader
    /// knows from stored placements only may be in any.
    fn max_tasks_in(&self, zone: &str) -> u32 {
        let count = |zone| self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        count(zone) + count(UNKNOWN_ZONE)
    }

    /// Whether the machine is of the right kind for every job with an equal
    /// [`ResourceRequest`].
    pub fn request_allows(&self, machine: &MachineView) -> bool {
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

    /// Whether the job's own rules, which count its other tasks, allow one more task there.
    pub fn rules_allow(&self, machine: &MachineView) -> bool {
        self.request_allows(machine) && self.allows_zone(&machine.zone)
    }

    /// Whether this job failed on the machine, or so many others did that it is cordoned.
    pub fn has_failed_on(&self, machine: &MachineView) -> bool {
        machine.cordoned || machine.failed_jobs.iter().any(|job| **job == *self.id)
    }

    /// Whether the rules allow one more task there and nothing speaks against the machine.
    pub fn allows(&self, machine: &MachineView) -> bool {
        self.rules_allow(machine) && !self.has_failed_on(machine)
    }

    /// Whether the quota of the job's team has enough left for one more task.
    pub fn team_allows(&self, teams: &[TeamAllowance]) -> bool {
        let team = &teams[self.team];
        team.cpus_left + ROUNDING_TOLERANCE >= self.spec.cpus
            && team.gpus_left + ROUNDING_TOLERANCE >= self.spec.gpus
    }

    /// Assigns the job's next waiting task to the machine: takes its resources there and from
    /// the team's quota. Returns false if no task waits. Does not check whether it fits.
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
