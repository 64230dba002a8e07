//! Sums over all jobs and all machines.
//!
//! Amounts are whole millionths, so that what a job or machine adds can be taken off again
//! without rounding.

use crate::leader::Job;
use crate::machines::Machine;
use crate::sched::{Resources, TeamAllowance};
use crate::{Config, Micros};
use dillcleat_sched::resources::from_millionths;
use dillcleat_sched::to_millionths;
use dillcleat_wire::user::JobKind;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// CPUs and GPUs that a team uses, in millionths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::leader) struct TeamUsage {
    cpus: i64,
    gpus: i64,
}

impl From<(i64, i64)> for TeamUsage {
    fn from((cpus, gpus): (i64, i64)) -> TeamUsage {
        TeamUsage { cpus, gpus }
    }
}

/// CPUs that are reserved for the replicas of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReplicaReserve {
    /// The index of the expected wait of its class in the settings.
    objective_index: usize,
    /// In millionths.
    cpus: i64,
}

/// What one job adds to the sums. Amounts are in millionths.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct JobContribution {
    team: usize,
    /// What its placed tasks take.
    usage: TeamUsage,
    /// CPUs of its placed tasks that are training.
    training_cpus: i64,
    ages: bool,
    service: bool,
    /// CPUs of all of a service's replicas that are to run.
    replica_cpus: i64,
    /// The image of a service.
    pub(super) image: Option<Rc<str>>,
    reserve: Option<ReplicaReserve>,
    pub(super) cancelled: bool,
    /// Whether it is ordered by the estimate of its class.
    pub(super) estimated: bool,
    /// Whether its counts are not those that peers were sent last.
    pub(super) unreported: bool,
}

impl JobContribution {
    /// What the job adds. `estimated` says whether its place in the queue follows from the
    /// estimate of its class.
    pub(super) fn of(job: &Job, config: &Config, estimated: bool) -> JobContribution {
        let service = job.spec.kind == JobKind::Service;
        let placed = job.placed_count() as i64;
        let task_cpus = to_millionths(job.spec.cpus);
        let is_serving = service && job.cancelled_at.is_none() && !job.blocked_on_dependencies;
        JobContribution {
            team: job.team,
            usage: TeamUsage {
                cpus: placed.saturating_mul(task_cpus),
                gpus: placed.saturating_mul(to_millionths(job.spec.gpus)),
            },
            training_cpus: if job.trained || job.is_tiny(config) {
                0
            } else {
                placed.min(i64::from(config.tuning.training_tasks)) * task_cpus
            },
            ages: job.ageing_since.is_some(),
            service,
            replica_cpus: if is_serving {
                (placed + job.waiting_count() as i64).saturating_mul(task_cpus)
            } else {
                0
            },
            image: is_serving.then(|| job.image.clone()),
            reserve: ReplicaReserve::of(job, config),
            cancelled: job.cancelled_at.is_some(),
            estimated,
            unreported: job.task_counts() != job.replicated_counts,
        }
    }
}

impl ReplicaReserve {
    fn of(job: &Job, config: &Config) -> Option<ReplicaReserve> {
        if job.spec.kind != JobKind::Service || job.blocked_on_dependencies {
            return None;
        }
        let mut waits = config.start_objectives.iter();
        let objective_index = waits.position(|objective| objective.class == job.spec.class)?;
        // A zone takes up to half of a spread service.
        let share = job.spec.tasks.div_ceil(2);
        let replicas = config.tuning.reserve_replicas.max(share);
        let cpus = i64::from(replicas).saturating_mul(to_millionths(job.spec.cpus));
        Some(ReplicaReserve {
            objective_index,
            cpus,
        })
    }
}

/// What one machine adds to the sums. Amounts are in millionths.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MachineContribution {
    zone: Rc<str>,
    pub(super) spot: bool,
    /// It has sent a heartbeat and is not being deleted.
    up: bool,
    /// It is up and has missed a heartbeat.
    pub(super) silent: bool,
    /// It has yet to send a heartbeat in this term, and may.
    pub(super) booting: bool,
    /// The cloud has said when it takes it back.
    pub(super) interrupted: bool,
    /// Nothing is placed on it.
    pub(super) empty: bool,
    /// It runs tasks of arrays.
    pub(super) runs_arrays: bool,
    recorded: bool,
    /// CPUs, if it has sent a heartbeat in this term.
    ready_cpus: i64,
    /// CPUs, if it is certainly booting.
    booting_cpus: i64,
    /// CPUs of tasks that use what is reserved for services.
    lent_cpus: i64,
}

impl MachineContribution {
    /// What the machine adds; `total` are the resources of its type, if that is known.
    pub(super) fn of(
        machine: &Machine,
        total: Option<Resources>,
        now: Micros,
        missed_after: Micros,
    ) -> MachineContribution {
        let cpus = total.map_or(0, |total| to_millionths(total.cpus));
        let is_kept = !machine.being_deleted;
        let up = machine.is_up() && is_kept;
        let booting = !machine.is_ready() && is_kept;
        let borrowers = machine
            .slots
            .values()
            .filter(|slot| slot.uses_service_headroom);
        MachineContribution {
            zone: machine.zone.clone(),
            spot: machine.spot,
            up,
            silent: up && machine.reachability.has_missed_heartbeat(now, missed_after),
            booting,
            interrupted: machine.interrupted_at().is_some() && is_kept,
            empty: machine.slots.is_empty() && machine.is_ready() && is_kept,
            runs_arrays: machine.has_array_tasks(),
            recorded: machine.recorded && is_kept,
            ready_cpus: if machine.is_ready() { cpus } else { 0 },
            booting_cpus: if booting && machine.expected { cpus } else { 0 },
            lent_cpus: borrowers
                .map(|slot| to_millionths(slot.resources.cpus))
                .sum(),
        }
    }
}

/// Whether a contribution is added to the sums or taken off.
#[derive(Debug, Clone, Copy)]
enum Direction {
    Add,
    Remove,
}

impl Direction {
    fn sign(self) -> i64 {
        match self {
            Direction::Add => 1,
            Direction::Remove => -1,
        }
    }

    /// One more or one less.
    fn step(self, count: usize) -> usize {
        count.saturating_add_signed(self.sign() as isize)
    }
}

/// Sums over all jobs and all machines, in millionths where they are amounts.
#[derive(Debug, PartialEq)]
pub(in crate::leader) struct Sums {
    /// What placed tasks take, by team. Those of teams that are not in the settings stand
    /// last.
    usage_by_team: Vec<TeamUsage>,
    /// The same of jobs whose description can't be read.
    unknown_job_usage: Vec<TeamUsage>,
    ageing_jobs: usize,
    training_cpus: i64,
    /// CPUs of the placed tasks of arrays, and of all replicas that are to run.
    array_cpus: i64,
    replica_cpus: i64,
    /// Services by image.
    services_by_image: HashMap<Rc<str>, usize>,
    /// How many services reserve how many CPUs, by the wait that users expect.
    reserves: Vec<BTreeMap<i64, usize>>,
    ready_cpus: i64,
    booting_cpus: i64,
    /// CPUs by zone that are reserved for services and used by others.
    lent_cpus: BTreeMap<Rc<str>, i64>,
    recorded_machines: usize,
    machines_up_by_zone: BTreeMap<Rc<str>, usize>,
}

impl Sums {
    pub(super) fn new(config: &Config) -> Sums {
        Sums {
            usage_by_team: vec![TeamUsage::default(); config.teams.len() + 1],
            unknown_job_usage: Vec::new(),
            ageing_jobs: 0,
            training_cpus: 0,
            array_cpus: 0,
            replica_cpus: 0,
            services_by_image: HashMap::new(),
            reserves: vec![BTreeMap::new(); config.start_objectives.len()],
            ready_cpus: 0,
            booting_cpus: 0,
            lent_cpus: BTreeMap::new(),
            recorded_machines: 0,
            machines_up_by_zone: BTreeMap::new(),
        }
    }

    /// CPUs of the machines that have sent a heartbeat in this term.
    pub fn fleet_cpus(&self) -> f64 {
        from_millionths(self.ready_cpus)
    }

    /// CPUs of the machines that are certainly booting.
    pub fn booting_cpus(&self) -> f64 {
        from_millionths(self.booting_cpus)
    }

    /// CPUs by zone that are reserved for services and used by others.
    pub fn lent_cpus(&self) -> BTreeMap<Rc<str>, f64> {
        let lent = self.lent_cpus.iter();
        lent.map(|(zone, cpus)| (zone.clone(), from_millionths(*cpus)))
            .collect()
    }

    /// CPUs of placed tasks that are training.
    pub fn training_cpus(&self) -> f64 {
        from_millionths(self.training_cpus)
    }

    /// CPUs of the placed tasks of arrays.
    pub fn array_cpus(&self) -> f64 {
        from_millionths(self.array_cpus)
    }

    /// CPUs of all replicas that are to run.
    pub fn replica_cpus(&self) -> f64 {
        from_millionths(self.replica_cpus)
    }

    /// The most CPUs that are reserved for one service of the expected wait, which is
    /// given by its index in the settings.
    pub fn largest_reserve_cpus(&self, objective_index: usize) -> f64 {
        let reserves = self.reserves.get(objective_index);
        let largest = reserves.and_then(|reserves| reserves.last_key_value());
        largest.map_or(0.0, |(cpus, _)| from_millionths(*cpus))
    }

    /// How many services use the image.
    pub fn services_using(&self, image: &Rc<str>) -> usize {
        self.services_by_image.get(image).copied().unwrap_or(0)
    }

    /// The number of active jobs: those that age.
    pub fn ageing_jobs(&self) -> usize {
        self.ageing_jobs
    }

    /// The number of machines that have a record and are not being deleted.
    pub fn recorded_machines(&self) -> usize {
        self.recorded_machines
    }

    /// The number of machines that are up.
    pub fn machines_up(&self) -> usize {
        self.machines_up_by_zone.values().sum()
    }

    /// The machines that are up, by zone.
    pub fn machines_up_by_zone(&self) -> &BTreeMap<Rc<str>, usize> {
        &self.machines_up_by_zone
    }

    /// What each team of the settings may still use, and after them all other teams, which
    /// get nothing.
    pub fn team_allowances(&self, config: &Config) -> Vec<TeamAllowance> {
        let left = |limit: f64, used: i64| {
            if limit > 0.0 {
                limit - from_millionths(used)
            } else {
                f64::INFINITY
            }
        };
        let usage = |usages: &[TeamUsage], team| usages.get(team).copied().unwrap_or_default();
        let known = config.teams.iter().enumerate().map(|(index, team)| {
            let placed = usage(&self.usage_by_team, index);
            let unknown = usage(&self.unknown_job_usage, index);
            TeamAllowance {
                cpus_left: left(team.cpus_max, placed.cpus + unknown.cpus),
                gpus_left: left(team.gpus_max, placed.gpus + unknown.gpus),
            }
        });
        let not_in_settings = TeamAllowance {
            cpus_left: 0.0,
            gpus_left: 0.0,
        };
        known.chain([not_in_settings]).collect()
    }

    /// Sets what the jobs whose description can't be read use, by team.
    pub(super) fn set_unknown_job_usage(&mut self, usage: Vec<TeamUsage>) {
        self.unknown_job_usage = usage;
    }

    pub(super) fn add_job(&mut self, job: &JobContribution) {
        self.count_job(job, Direction::Add);
    }

    pub(super) fn remove_job(&mut self, job: &JobContribution) {
        self.count_job(job, Direction::Remove);
    }

    pub(super) fn add_machine(&mut self, machine: &MachineContribution) {
        self.count_machine(machine, Direction::Add);
    }

    pub(super) fn remove_machine(&mut self, machine: &MachineContribution) {
        self.count_machine(machine, Direction::Remove);
    }

    fn count_job(&mut self, job: &JobContribution, direction: Direction) {
        let sign = direction.sign();
        if let Some(usage) = self.usage_by_team.get_mut(job.team) {
            usage.cpus += sign * job.usage.cpus;
            usage.gpus += sign * job.usage.gpus;
        }
        self.training_cpus += sign * job.training_cpus;
        if job.service {
            self.replica_cpus += sign * job.replica_cpus;
        } else {
            self.array_cpus += sign * job.usage.cpus;
        }
        if job.ages {
            self.ageing_jobs = direction.step(self.ageing_jobs);
        }
        if let Some(image) = &job.image {
            let services = self.services_by_image.entry(image.clone()).or_default();
            *services = direction.step(*services);
            if *services == 0 {
                self.services_by_image.remove(image);
            }
        }
        if let Some(reserve) = job.reserve
            && let Some(reserves) = self.reserves.get_mut(reserve.objective_index)
        {
            step_count(reserves, reserve.cpus, direction);
        }
    }

    fn count_machine(&mut self, machine: &MachineContribution, direction: Direction) {
        let sign = direction.sign();
        self.ready_cpus += sign * machine.ready_cpus;
        self.booting_cpus += sign * machine.booting_cpus;
        if machine.lent_cpus != 0 {
            let lent = self.lent_cpus.entry(machine.zone.clone()).or_default();
            *lent += sign * machine.lent_cpus;
            if *lent == 0 {
                self.lent_cpus.remove(&machine.zone);
            }
        }
        if machine.recorded {
            self.recorded_machines = direction.step(self.recorded_machines);
        }
        if machine.up {
            let zone = machine.zone.clone();
            step_count(&mut self.machines_up_by_zone, zone, direction);
        }
    }
}

/// Counts one more or one less; a count of zero is removed.
fn step_count<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K, direction: Direction) {
    let count = counts.get(&key).copied().unwrap_or(0);
    match direction.step(count) {
        0 => counts.remove(&key),
        stepped => counts.insert(key, stepped),
    };
}
