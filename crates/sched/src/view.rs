//! Jobs, machines and teams as a pass sees them.

use crate::room::{EPS, Room, units};
use dillcleat_wire::user::{JobSpec, Kind};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Which job or machine: a small number that it keeps for as long as it is known.
pub type Place = u32;

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
    pub free: Room,
    /// Images that it holds or is fetching.
    pub images: Images,
    /// How many of them services use.
    pub warm: u32,
    /// Jobs that failed on it.
    pub avoid: Vec<Rc<str>>,
    /// It has failed several jobs: room there counts for nothing but as a last resort.
    pub condemned: bool,
    /// It answers orders, and its own reports don't come: what it is given may end with
    /// its lease, so all others come first.
    pub mute: bool,
}

impl MachineView {
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| &**i == image)
    }
}

#[derive(Debug, Clone)]
pub struct TeamView {
    /// CPUs and GPUs that tasks of the team may still take.
    pub cpus_left: f64,
    pub gpus_left: f64,
}

/// What decides, for every job alike, which machines a task may run on. Where
/// one job finds no room at all, no other of the same shape does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
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

impl Shape {
    pub fn of(spec: &JobSpec) -> Shape {
        Shape {
            cpus: units(spec.cpus),
            gpus: units(spec.gpus),
            memory: units(spec.memory_gb),
            spot: spec.spot,
            service: spec.kind == Kind::Service,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            starving: false,
        }
    }

    /// The same of a job that is starving or not ([`JobView::starving`]).
    pub fn when(&self, starving: bool) -> Shape {
        Shape {
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
    pub place: Place,
    pub id: &'a str,
    pub spec: &'a JobSpec,
    pub image: &'a Rc<str>,
    pub team: usize,
    /// Waiting tasks; a bounded number is enough for one pass.
    pub waiting: u32,
    /// Tasks that are or may be on machines, by zone.
    pub zones: BTreeMap<Rc<str>, u32>,
    /// How many more of the waiting tasks are training tasks.
    pub training: u32,
    /// Waiting tasks that would start too late for the deadline on the fleet as
    /// it is, so that ordinary machines may be rented for them where spot
    /// machines are not to be had. This changes what is rented, never the order.
    pub late: u32,
    /// It has waited for so long that one of its tasks may go where nothing else of
    /// its like may: into room that is kept for services, or where it or others failed.
    pub starving: bool,
}

impl JobView<'_> {
    pub fn room(&self) -> Room {
        Room::of_task(self.spec)
    }

    pub fn service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Whether the job's rules allow one more task in this zone.
    fn zone_allowed(&self, zone: &str) -> bool {
        if self.spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && self.zones.iter().any(|(z, n)| **z != *zone && *n > 0) {
            return false;
        }
        // At most half of the tasks, rounded up, may be in one zone.
        !self.spec.spread || self.at_most_in(zone) < self.spec.tasks.div_ceil(2)
    }

    /// The job's tasks that are in this zone or may be: a machine that a new leader
    /// knows from placements only may be in any.
    fn at_most_in(&self, zone: &str) -> u32 {
        let count = |zone| self.zones.get(zone).copied().unwrap_or(0);
        count(zone) + count(UNKNOWN_ZONE)
    }

    /// Whether any job like this one may run there, its other tasks aside.
    pub fn kind_allows(&self, m: &MachineView) -> bool {
        (!m.spot || self.spec.spot)
            && self
                .spec
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| **t == *m.machine_type))
            && self.spec.zone.as_ref().is_none_or(|z| **z == *m.zone)
    }

    /// Whether the job's own rules permit one more task there.
    pub fn permits(&self, m: &MachineView) -> bool {
        self.kind_allows(m) && self.zone_allowed(&m.zone)
    }

    /// Whether it has failed there, or others have.
    pub fn avoids(&self, m: &MachineView) -> bool {
        m.condemned || m.avoid.iter().any(|j| **j == *self.id)
    }

    pub fn allows(&self, m: &MachineView) -> bool {
        self.permits(m) && !self.avoids(m)
    }

    pub fn team_allows(&self, teams: &[TeamView]) -> bool {
        let t = &teams[self.team];
        t.cpus_left + EPS >= self.spec.cpus && t.gpus_left + EPS >= self.spec.gpus
    }

    /// Takes the room of the job's next task on the machine. False if none waits.
    pub fn put(&mut self, m: &mut MachineView, teams: &mut [TeamView]) -> bool {
        if self.waiting == 0 {
            return false;
        }
        self.waiting -= 1;
        m.free.take(&self.room());
        if !m.holds_image(self.image) {
            Rc::make_mut(&mut m.images).push((self.image.clone(), self.spec.image_gb));
        }
        *self.zones.entry(m.zone.clone()).or_default() += 1;
        teams[self.team].cpus_left -= self.spec.cpus;
        teams[self.team].gpus_left -= self.spec.gpus;
        self.training = self.training.saturating_sub(1);
        true
    }
}
