//! Who gets room: HFSP, as pure functions over a snapshot.
//!
//! Services come first. Then tiny jobs, then training tasks of the job of
//! smallest initial size while training slots are left, then the job of
//! smallest aged virtual size. Jobs whose team is at its limit are skipped.

use crate::workers::Images;
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobSpec, Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

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
    pub name: Rc<str>,
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
}

impl MachineView {
    fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| &**i == image)
    }
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
    pub waiting: VecDeque<u32>,
    /// Tasks that are or may be on machines, by zone.
    pub zones: BTreeMap<Rc<str>, u32>,
    /// How many more of the waiting tasks are training tasks.
    pub training: u32,
    pub tiny: bool,
    pub initial_size: f64,
    pub virtual_size: f64,
    /// Time of day of the submission: older first among equals.
    pub submitted: u64,
    /// Waiting tasks that would start too late for the deadline on the fleet as
    /// it is, so that ordinary machines may be rented for them where spot
    /// machines are not to be had. This changes what is rented, never the order.
    pub late: u32,
    /// What is left to run: orders jobs whose virtual size has aged to zero.
    pub remaining: f64,
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
        if self.spec.one_zone && self.zones.iter().any(|(z, n)| **z != *zone && *n > 0) {
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
                .is_none_or(|t| t.iter().any(|t| **t == *m.machine_type))
            && self.zone_allowed(&m.zone)
            && !m.avoid.iter().any(|j| **j == *self.id)
    }

    pub fn team_allows(&self, teams: &[TeamView]) -> bool {
        let t = &teams[self.team];
        t.cpus_left + EPS >= self.spec.cpus && t.gpus_left + EPS >= self.spec.gpus
    }
}

/// Free ordinary room by zone, of which work that may run on spot machines
/// leaves `least` CPUs to services.
#[derive(Debug)]
struct Reserve {
    least: f64,
    free: BTreeMap<Rc<str>, f64>,
}

impl Reserve {
    fn new(least: f64, machines: &[MachineView]) -> Reserve {
        let mut free: BTreeMap<Rc<str>, f64> = BTreeMap::new();
        if least > 0.0 {
            for m in machines.iter().filter(|m| !m.spot) {
                *free.entry(m.zone.clone()).or_default() += m.free.cpus;
            }
        }
        Reserve { least, free }
    }

    fn allows(&self, job: &JobView, m: &MachineView) -> bool {
        if self.least <= 0.0 || m.spot || !job.spec.spot || job.spec.kind == Kind::Service {
            return true;
        }
        let free = self.free.get(&m.zone).copied().unwrap_or(0.0);
        free - job.spec.cpus + EPS >= self.least
    }

    fn took(&mut self, job: &JobView, m: &MachineView) {
        if !m.spot
            && let Some(free) = self.free.get_mut(&m.zone)
        {
            *free -= job.spec.cpus;
        }
    }
}

/// Which of two machines is better for a task of the job: the greater.
///
/// Spot machines take what may run there, so that ordinary room is left for
/// services; a held image saves a fetch; the fullest machine that still has
/// room is taken, so that others empty and can be returned.
fn rank(job: &JobView, m: &MachineView) -> (bool, bool, Reverse<u32>, f64, f64) {
    let holds = m.holds_image(&job.spec.image);
    // Where a replica has to fetch its image in any case, it leaves the image
    // to as much free room as can be, for those that come after.
    let service = job.spec.kind == Kind::Service;
    let sign = if service && !holds { 1.0 } else { -1.0 };
    // What may run on spot machines leaves free room beside images of services
    // to those: a replica that has to fetch is late.
    let warm = if service || m.spot { 0 } else { m.warm };
    (
        m.spot == job.spec.spot,
        holds,
        Reverse(warm),
        sign * m.free.cpus,
        sign * m.free.memory_gb,
    )
}

/// Places up to `most` tasks of the job, each on the best machine there is.
///
/// Machines are ranked once for all of them. A machine that has taken a task
/// ranks higher than before, so it stays the best while it may take more; and
/// taking one never opens a machine that was closed. Looking for the best one
/// anew for every task would place them the same, at many times the cost.
fn fill(
    job: &mut JobView,
    index: usize,
    machines: &mut [MachineView],
    teams: &mut [TeamView],
    reserve: &mut Reserve,
    most: usize,
    made: &mut Vec<Assignment>,
) {
    let need = job.room();
    let mut left = most.min(job.waiting.len());
    if left == 0 || !job.team_allows(teams) {
        return;
    }
    let mut candidates: Vec<usize> = (0..machines.len())
        .filter(|&i| machines[i].free.holds(&need) && job.allows(&machines[i]))
        .collect();
    candidates.sort_by(|&a, &b| {
        rank(job, &machines[a])
            .partial_cmp(&rank(job, &machines[b]))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    for machine in candidates.into_iter().rev() {
        while left > 0
            && machines[machine].free.holds(&need)
            && job.allows(&machines[machine])
            && reserve.allows(job, &machines[machine])
        {
            if !job.team_allows(teams) {
                return;
            }
            reserve.took(job, &machines[machine]);
            made.extend(put(job, index, machine, machines, teams));
            left -= 1;
        }
        if left == 0 {
            return;
        }
    }
}

/// Takes the room of the job's next task on the machine.
pub fn put(
    job: &mut JobView,
    index: usize,
    machine: usize,
    machines: &mut [MachineView],
    teams: &mut [TeamView],
) -> Option<Assignment> {
    let task = job.waiting.pop_front()?;
    let m = &mut machines[machine];
    m.free.take(&job.room());
    if !m.holds_image(&job.spec.image) {
        let image = Rc::from(job.spec.image.as_str());
        Rc::make_mut(&mut m.images).push((image, job.spec.image_gb));
    }
    *job.zones.entry(m.zone.clone()).or_default() += 1;
    teams[job.team].cpus_left -= job.spec.cpus;
    teams[job.team].gpus_left -= job.spec.gpus;
    job.training = job.training.saturating_sub(1);
    Some(Assignment {
        job: index,
        task,
        machine,
    })
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
            .then(a.remaining.total_cmp(&b.remaining))
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
    let mut reserve = Reserve::new(reserve, machines);
    let order = order(jobs);
    let all = usize::MAX;
    let goes_first = |j: &JobView| j.spec.kind == Kind::Service || j.tiny;
    for &i in &order {
        if goes_first(&jobs[i]) {
            let job = &mut jobs[i];
            fill(job, i, machines, teams, &mut reserve, all, &mut made);
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
        let job = &mut jobs[i];
        let cpus = job.spec.cpus;
        let most = if cpus > EPS {
            ((training_cpus + EPS) / cpus).max(0.0) as usize
        } else {
            all
        };
        let most = most.min(job.training as usize);
        let before = made.len();
        fill(job, i, machines, teams, &mut reserve, most, &mut made);
        training_cpus -= (made.len() - before) as f64 * cpus;
    }
    for &i in &order {
        let job = &mut jobs[i];
        fill(job, i, machines, teams, &mut reserve, all, &mut made);
    }
    made
}

/// A running task that may be stopped to make room.
#[derive(Debug, Clone)]
pub struct Victim {
    pub machine: usize,
    pub room: Room,
    pub priority: Priority,
    /// How long it has run, in microseconds: the work that is lost.
    pub ran: u64,
}

/// What stopping tasks on a machine costs: whether any is stopped, whether the
/// image is missing there, and the work lost.
type Loss = (bool, bool, u64);

/// The machine on which room for one more task of the job costs least, and the
/// tasks to be stopped there. `on` lists each machine's, the least work first.
fn least_loss(
    job: &JobView,
    machines: &[MachineView],
    on: &[Vec<usize>],
    victims: &[Victim],
) -> Option<(usize, Vec<usize>)> {
    let need = job.room();
    let mut best: Option<(Loss, usize, Vec<usize>)> = None;
    for (m, view) in machines.iter().enumerate() {
        if !job.allows(view) {
            continue;
        }
        let mut free = view.free;
        let mut chosen = Vec::new();
        let mut lost = 0;
        for &v in &on[m] {
            if free.holds(&need) {
                break;
            }
            if victims[v].priority < job.spec.priority {
                free.give(&victims[v].room);
                lost += victims[v].ran;
                chosen.push(v);
            }
        }
        let image = view.holds_image(&job.spec.image);
        let loss = (!chosen.is_empty(), !image, lost);
        if free.holds(&need) && best.as_ref().is_none_or(|(least, _, _)| loss < *least) {
            best = Some((loss, m, chosen));
        }
    }
    best.map(|(_, m, chosen)| (m, chosen))
}

/// Which running tasks to stop so that waiting replicas find room, as indices
/// of `victims`. Only work of lower priority is stopped, where the least of it
/// is lost. `machines` counts as free what has been told to stop already, so
/// that one replica stops no second task while the first one ends.
pub fn make_room(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    teams: &mut [TeamView],
    victims: &[Victim],
) -> Vec<usize> {
    let mut on: Vec<Vec<usize>> = vec![Vec::new(); machines.len()];
    for (i, v) in victims.iter().enumerate() {
        on[v.machine].push(i);
    }
    for list in &mut on {
        list.sort_by_key(|&i| victims[i].ran);
    }
    let mut stopped = Vec::new();
    for i in order(jobs) {
        if jobs[i].spec.kind != Kind::Service {
            continue;
        }
        while !jobs[i].waiting.is_empty() && jobs[i].team_allows(teams) {
            let Some((m, chosen)) = least_loss(&jobs[i], machines, &on, victims) else {
                break;
            };
            for v in chosen {
                machines[m].free.give(&victims[v].room);
                on[m].retain(|o| *o != v);
                stopped.push(v);
            }
            put(&mut jobs[i], i, m, machines, teams);
        }
    }
    stopped
}
