//! Jobs, machines and teams as a pass sees them.

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

/// The zone of a machine that has neither a record nor reported yet.
const UNKNOWN_ZONE: &str = "";

/// Images and their sizes in GB, shared by a machine and its views.
pub type Images = Rc<Vec<(Rc<str>, f64)>>;

/// A machine that may take tasks, now or (in a plan) later.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView {
    pub machine_type: Rc<str>,
    pub zone: Rc<str>,
    pub spot: bool,
    pub free: Resources,
    /// Images that it holds or is fetching.
    pub images: Images,
    /// How many of them services use.
    pub service_images: u32,
    /// Jobs that failed on it.
    pub failed_jobs: Vec<Rc<str>>,
    /// It has failed several jobs: room there counts for nothing but as a last resort.
    pub cordoned: bool,
    /// It answers orders, and its own reports don't come: what it is given may end with
    /// its lease, so all others come first.
    pub outbound_unreachable: bool,
}

impl MachineView {
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| &**i == image)
    }
}

#[derive(Debug, Clone)]
pub struct TeamAllowance {
    /// CPUs and GPUs that tasks of the team may still take.
    pub cpus_left: f64,
    pub gpus_left: f64,
}

/// What decides, for every job alike, which machines a task may run on. Where
/// one job finds no room at all, no other of the same shape does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResourceRequest {
    /// In millionths, as are the next two.
    cpus: i64,
    gpus: i64,
    memory: i64,
    spot: bool,
    service: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    starving: bool,
}

impl ResourceRequest {
    pub fn of(spec: &JobSpec) -> ResourceRequest {
        ResourceRequest {
            cpus: to_millionths(spec.cpus),
            gpus: to_millionths(spec.gpus),
            memory: to_millionths(spec.memory_gb),
            spot: spec.spot,
            service: spec.kind == JobKind::Service,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            starving: false,
        }
    }

    /// The same of a job that is starving or not ([`JobView::starving`]).
    pub fn with_starving(&self, starving: bool) -> ResourceRequest {
        ResourceRequest {
            starving,
            ..self.clone()
        }
    }

    pub fn starving(&self) -> bool {
        self.starving
    }
}

#[derive(Debug, Clone)]
pub struct JobView<'a> {
    pub index: JobIndex,
    pub id: &'a str,
    pub spec: &'a JobSpec,
    pub image: &'a Rc<str>,
    pub team: usize,
    /// Waiting tasks; a bounded number is enough for one pass.
    pub waiting_tasks: u32,
    /// Tasks that are or may be on machines, by zone.
    pub tasks_by_zone: BTreeMap<Rc<str>, u32>,
    /// How many more of the waiting tasks are training tasks.
    pub training_tasks: u32,
    /// Waiting tasks that would start too late for the deadline on the fleet as
    /// it is, so that ordinary machines may be rented for them where spot
    /// machines are not to be had. This changes what is rented, never the order.
    pub at_risk_tasks: u32,
    /// It has waited for so long that one of its tasks may go where nothing else of
    /// its like may: into room that is kept for services, or where it or others failed.
    pub starving: bool,
}

impl JobView<'_> {
    pub fn resources(&self) -> Resources {
        Resources::of_task(self.spec)
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether the job's rules allow one more task in this zone.
    fn zone_allowed(&self, zone: &str) -> bool {
        if self.spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.single_zone
            && self
                .tasks_by_zone
                .iter()
                .any(|(z, n)| **z != *zone && *n > 0)
        {
            return false;
        }
        // At most half of the tasks, rounded up, may be in one zone.
        !self.spec.spread || self.at_most_in(zone) < self.spec.tasks.div_ceil(2)
    }

    /// The job's tasks that are in this zone or may be: a machine that a new leader
    /// knows from placements only may be in any.
    fn at_most_in(&self, zone: &str) -> u32 {
        let count = |zone| self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        count(zone) + count(UNKNOWN_ZONE)
    }

    /// Whether any job like this one may run there, its other tasks aside.
    pub fn request_allows(&self, m: &MachineView) -> bool {
        (!m.spot || self.spec.spot)
            && self
                .spec
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| **t == *m.machine_type))
            && self.spec.zone.as_ref().is_none_or(|z| **z == *m.zone)
    }

    /// Whether the job's own rules permit one more task there.
    pub fn rules_allow(&self, m: &MachineView) -> bool {
        self.request_allows(m) && self.zone_allowed(&m.zone)
    }

    /// Whether it has failed there, or others have.
    pub fn has_failed_on(&self, m: &MachineView) -> bool {
        m.cordoned || m.failed_jobs.iter().any(|j| **j == *self.id)
    }

    pub fn allows(&self, m: &MachineView) -> bool {
        self.rules_allow(m) && !self.has_failed_on(m)
    }

    pub fn team_allows(&self, teams: &[TeamAllowance]) -> bool {
        let t = &teams[self.team];
        t.cpus_left + ROUNDING_TOLERANCE >= self.spec.cpus
            && t.gpus_left + ROUNDING_TOLERANCE >= self.spec.gpus
    }

    /// Takes the room of the job's next task on the machine. False if none waits.
    pub fn assign_next_task(&mut self, m: &mut MachineView, teams: &mut [TeamAllowance]) -> bool {
        if self.waiting_tasks == 0 {
            return false;
        }
        self.waiting_tasks -= 1;
        m.free.subtract(&self.resources());
        if !m.holds_image(self.image) {
            Rc::make_mut(&mut m.images).push((self.image.clone(), self.spec.image_gb));
        }
        *self.tasks_by_zone.entry(m.zone.clone()).or_default() += 1;
        teams[self.team].cpus_left -= self.spec.cpus;
        teams[self.team].gpus_left -= self.spec.gpus;
        self.training_tasks = self.training_tasks.saturating_sub(1);
        true
    }
}
