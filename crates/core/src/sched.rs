//! Who gets room: HFSP, as pure functions over a snapshot.
//!
//! Services come first. Then tiny jobs, then training tasks of the job of
//! smallest initial size while training slots are left, then the job of
//! smallest aged virtual size. Jobs whose team is at its limit are skipped.

use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobSpec, Kind};
use std::collections::BTreeMap;

const EPS: f64 = 1e-6;

/// An amount of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Room {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Room {
    pub fn of_type(t: &MachineType) -> Room {
        Room {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub fn of_task(s: &JobSpec) -> Room {
        Room {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
        }
    }

    pub fn holds(&self, need: &Room) -> bool {
        self.cpus + EPS >= need.cpus
            && self.gpus + EPS >= need.gpus
            && self.memory_gb + EPS >= need.memory_gb
    }

    pub fn take(&mut self, need: &Room) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory_gb -= need.memory_gb;
    }

    pub fn give(&mut self, room: &Room) {
        self.cpus += room.cpus;
        self.gpus += room.gpus;
        self.memory_gb += room.memory_gb;
    }

    /// How many times `need` fits.
    pub fn times(&self, need: &Room) -> u32 {
        let of = |have: f64, need: f64| {
            if need > EPS {
                ((have + EPS) / need) as u32
            } else {
                u32::MAX
            }
        };
        of(self.cpus, need.cpus)
            .min(of(self.gpus, need.gpus))
            .min(of(self.memory_gb, need.memory_gb))
    }
}

/// A machine that may take tasks, now or (in a plan) later.
#[derive(Debug, Clone)]
pub struct MachineView {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub free: Room,
    /// Images that it holds or is fetching.
    pub images: Vec<String>,
    /// Jobs that failed on it.
    pub avoid: Vec<String>,
}

#[derive(Debug, Clone)]
pub struct TeamView {
    /// CPUs and GPUs that tasks of the team may still take.
    pub cpus_left: f64,
    pub gpus_left: f64,
}

#[derive(Debug, Clone)]
pub struct JobView<'a> {
    pub id: &'a str,
    pub spec: &'a JobSpec,
    pub team: usize,
    /// Waiting tasks, in order; a bounded prefix is enough for one pass.
    pub waiting: Vec<u32>,
    /// Tasks that are or may be on machines, by zone.
    pub zones: BTreeMap<String, u32>,
    /// How many more of the waiting tasks are training tasks.
    pub training: u32,
    pub tiny: bool,
    pub initial_size: f64,
    pub virtual_size: f64,
    /// Time of day of the submission: older first among equals.
    pub submitted: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    pub job: usize,
    pub task: u32,
    pub machine: usize,
}

impl JobView<'_> {
    pub fn room(&self) -> Room {
        Room::of_task(self.spec)
    }

    /// Whether the job's rules allow one more task in this zone.
    fn zone_allowed(&self, zone: &str) -> bool {
        if self.spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && self.zones.iter().any(|(z, n)| z != zone && *n > 0) {
            return false;
        }
        // At most half of the tasks, rounded up, may be in one zone.
        !self.spec.spread
            || self.zones.get(zone).copied().unwrap_or(0) < self.spec.tasks.div_ceil(2)
    }

    pub fn allows(&self, m: &MachineView) -> bool {
        (!m.spot || self.spec.spot)
            && self
                .spec
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&m.machine_type))
            && self.zone_allowed(&m.zone)
            && !m.avoid.iter().any(|j| j == self.id)
    }

    pub fn team_allows(&self, teams: &[TeamView]) -> bool {
        let t = &teams[self.team];
        t.cpus_left + EPS >= self.spec.cpus && t.gpus_left + EPS >= self.spec.gpus
    }
}

/// The best machine for one more task of the job.
///
/// Spot machines take what may run there, so that ordinary room is left for
/// services; a held image saves a fetch; the fullest machine that still has
/// room is taken, so that others empty and can be returned.
fn best_machine(job: &JobView, machines: &[MachineView], reserve: f64) -> Option<usize> {
    let need = job.room();
    let kept = |m: &MachineView| {
        if reserve <= 0.0 || m.spot || !job.spec.spot || job.spec.kind == Kind::Service {
            return true;
        }
        let free: f64 = machines
            .iter()
            .filter(|o| !o.spot && o.zone == m.zone)
            .map(|o| o.free.cpus)
            .sum();
        free - need.cpus + EPS >= reserve
    };
    let rank = |m: &MachineView| {
        let image = m.images.contains(&job.spec.image);
        let spot = m.spot == job.spec.spot;
        (spot, image, -m.free.cpus, -m.free.memory_gb)
    };
    machines
        .iter()
        .enumerate()
        .filter(|(_, m)| m.free.holds(&need) && job.allows(m) && kept(m))
        .max_by(|(_, a), (_, b)| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        })
        .map(|(i, _)| i)
}

fn place(
    job: &mut JobView,
    index: usize,
    machines: &mut [MachineView],
    teams: &mut [TeamView],
    reserve: f64,
) -> Option<Assignment> {
    if job.waiting.is_empty() || !job.team_allows(teams) {
        return None;
    }
    let machine = best_machine(job, machines, reserve)?;
    Some(put(job, index, machine, machines, teams))
}

/// Takes the room of the job's next task on the machine.
pub fn put(
    job: &mut JobView,
    index: usize,
    machine: usize,
    machines: &mut [MachineView],
    teams: &mut [TeamView],
) -> Assignment {
    let task = job.waiting.remove(0);
    let m = &mut machines[machine];
    m.free.take(&job.room());
    if !m.images.contains(&job.spec.image) {
        m.images.push(job.spec.image.clone());
    }
    *job.zones.entry(m.zone.clone()).or_default() += 1;
    teams[job.team].cpus_left -= job.spec.cpus;
    teams[job.team].gpus_left -= job.spec.gpus;
    job.training = job.training.saturating_sub(1);
    Assignment {
        job: index,
        task,
        machine,
    }
}

/// The order in which jobs compete for freed room, training aside.
pub fn order(jobs: &[JobView]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (&jobs[a], &jobs[b]);
        let service = |j: &JobView| j.spec.kind == Kind::Service;
        service(b)
            .cmp(&service(a))
            .then(b.spec.priority.cmp(&a.spec.priority))
            .then(b.tiny.cmp(&a.tiny))
            .then(a.virtual_size.total_cmp(&b.virtual_size))
            .then(a.submitted.cmp(&b.submitted))
            .then(a.id.cmp(b.id))
    });
    order
}

/// One pass: fills free room. `training_cpus` is what training tasks may still
/// take. `reserve` is the ordinary room per zone, in CPUs, that work which may
/// run on spot machines leaves to services that must start sooner than any
/// machine can be rented. The views are left as they are after the pass.
pub fn assign(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    teams: &mut [TeamView],
    mut training_cpus: f64,
    reserve: f64,
) -> Vec<Assignment> {
    let mut made = Vec::new();
    let order = order(jobs);
    let goes_first = |j: &JobView| j.spec.kind == Kind::Service || j.tiny;
    for &i in order
        .iter()
        .filter(|&&i| goes_first(&jobs[i]))
        .collect::<Vec<_>>()
    {
        while let Some(a) = place(&mut jobs[i], i, machines, teams, reserve) {
            made.push(a);
        }
    }
    let mut training: Vec<usize> = order
        .iter()
        .copied()
        .filter(|&i| jobs[i].training > 0)
        .collect();
    training.sort_by(|&a, &b| {
        let (a, b) = (&jobs[a], &jobs[b]);
        b.spec
            .priority
            .cmp(&a.spec.priority)
            .then(a.initial_size.total_cmp(&b.initial_size))
            .then(a.submitted.cmp(&b.submitted))
    });
    for i in training {
        while jobs[i].training > 0 && training_cpus + EPS >= jobs[i].spec.cpus {
            let Some(a) = place(&mut jobs[i], i, machines, teams, reserve) else {
                break;
            };
            training_cpus -= jobs[i].spec.cpus;
            made.push(a);
        }
    }
    for &i in &order {
        while let Some(a) = place(&mut jobs[i], i, machines, teams, reserve) {
            made.push(a);
        }
    }
    made
}
