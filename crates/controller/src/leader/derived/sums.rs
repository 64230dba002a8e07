//! Totals of all jobs and all machines.
//!
//! Amounts are integers in millionths, so that contributions can be added and removed
//! without rounding errors.

use crate::leader::Job;
use crate::machines::Machine;
use crate::sched::{Resources, TeamAllowance};
use crate::{Config, Micros};
use dillcleat_sched::resources::from_millionths;
use dillcleat_sched::to_millionths;
use dillcleat_wire::user::JobKind;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The CPUs and GPUs that a team uses, in millionths.
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

/// The CPUs that are reserved for the replicas of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReplicaReserve {
    /// The index of the start objective of the service's class in the settings.
    objective_index: usize,
    /// The reserved CPUs, in millionths.
    cpus: i64,
}

/// The contribution of a job to the sums. Amounts are in millionths.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct JobContribution {
    team: usize,
    /// The resources of its placed tasks.
    usage: TeamUsage,
    /// The CPUs of its placed training tasks.
    training_cpus: i64,
    ages: bool,
    service: bool,
    /// The CPUs of all placed and waiting replicas of a service.
    replica_cpus: i64,
    /// The image, if the job is a service.
    pub(super) image: Option<Rc<str>>,
    reserve: Option<ReplicaReserve>,
    pub(super) cancelled: bool,
    /// Whether its queue position depends on the estimate of its class.
    pub(super) ranked_by_class_estimate: bool,
    /// Whether its task counts have changed since they were last sent to peers.
    pub(super) progress_changed: bool,
}

impl JobContribution {
    /// Computes the contribution of a job. `ranked_by_class_estimate` says whether its queue
    /// position depends on the estimate of its class.
    pub(super) fn of(
        job: &Job,
        config: &Config,
        ranked_by_class_estimate: bool,
    ) -> JobContribution {
        let service = job.spec.kind == JobKind::Service;
        let placed = job.tasks.placed_count() as i64;
        let task_cpus = to_millionths(job.spec.cpus);
        let is_active = service && job.cancelled_at.is_none() && !job.blocked_on_dependencies;
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
            replica_cpus: if is_active {
                (placed + job.tasks.waiting_count() as i64).saturating_mul(task_cpus)
            } else {
                0
            },
            image: is_active.then(|| job.image.clone()),
            reserve: ReplicaReserve::of(job, config),
            cancelled: job.cancelled_at.is_some(),
            ranked_by_class_estimate,
            progress_changed: job.task_counts() != job.replicated_counts,
        }
    }
}

impl ReplicaReserve {
    fn of(job: &Job, config: &Config) -> Option<ReplicaReserve> {
        if job.spec.kind != JobKind::Service || job.blocked_on_dependencies {
            return None;
        }
        let mut objectives = config.start_objectives.iter();
        let objective_index = objectives.position(|objective| objective.class == job.spec.class)?;
        // A zone may hold at most this many replicas of a spread service.
        let half_of_replicas = job.spec.tasks.div_ceil(2);
        let replicas = config.tuning.reserve_replicas.max(half_of_replicas);
        let cpus = i64::from(replicas).saturating_mul(to_millionths(job.spec.cpus));
        Some(ReplicaReserve {
            objective_index,
            cpus,
        })
    }
}

/// The contribution of a machine to the sums. Amounts are in millionths.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MachineContribution {
    zone: Rc<str>,
    pub(super) spot: bool,
    /// Whether it has sent a heartbeat and is not being deleted.
    up: bool,
    /// Whether it is up and has missed a heartbeat.
    pub(super) unresponsive: bool,
    /// Whether it has not sent a heartbeat with this term's fencing token and is not being
    /// deleted.
    pub(super) not_ready: bool,
    /// Whether it has an interruption notice and is not being deleted.
    pub(super) interrupted: bool,
    /// Whether it is ready, has no placed tasks and is not being deleted.
    pub(super) empty: bool,
    /// Whether it runs array tasks.
    pub(super) runs_arrays: bool,
    /// Whether its record is stored or queued, and it is not being deleted.
    recorded: bool,
    /// Its CPUs if it has sent a heartbeat in this term, otherwise 0.
    ready_cpus: i64,
    /// Its CPUs if the cloud has confirmed that it is booting, otherwise 0.
    booting_cpus: i64,
    /// The CPUs of tasks that use the headroom reserved for services.
    headroom_cpus_in_use: i64,
}

impl MachineContribution {
    /// Computes the contribution of a machine. `total` is the resources of its type, if the
    /// type is known.
    pub(super) fn of(
        machine: &Machine,
        total: Option<Resources>,
        now: Micros,
        missed_after: Micros,
    ) -> MachineContribution {
        let cpus = total.map_or(0, |total| to_millionths(total.cpus));
        let is_retained = !machine.being_deleted;
        let up = machine.is_up() && is_retained;
        let not_ready = !machine.is_ready() && is_retained;
        let headroom_users = machine
            .slots
            .values()
            .filter(|slot| slot.uses_service_headroom);
        MachineContribution {
            zone: machine.zone.clone(),
            spot: machine.spot,
            up,
            unresponsive: up && machine.reachability.is_heartbeat_overdue(now, missed_after),
            not_ready,
            interrupted: machine.interrupted_at().is_some() && is_retained,
            empty: machine.slots.is_empty() && machine.is_ready() && is_retained,
            runs_arrays: machine.has_batch_tasks(),
            recorded: machine.recorded && is_retained,
            ready_cpus: if machine.is_ready() { cpus } else { 0 },
            booting_cpus: if not_ready && machine.boot_expected {
                cpus
            } else {
                0
            },
            headroom_cpus_in_use: headroom_users
                .map(|slot| to_millionths(slot.resources.cpus))
                .sum(),
        }
    }
}

/// Whether a contribution is added to the sums or removed.
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

    /// Increments or decrements a count.
    fn step(self, count: usize) -> usize {
        count.saturating_add_signed(self.sign() as isize)
    }
}

/// Totals of all jobs and all machines. Amounts are in millionths.
#[derive(Debug, PartialEq)]
pub(in crate::leader) struct ClusterTotals {
    /// The usage of placed tasks by team. The last entry is for all teams that are not in
    /// the settings.
    usage_by_team: Vec<TeamUsage>,
    /// The usage by team of jobs that can't be read.
    unknown_job_usage: Vec<TeamUsage>,
    ageing_jobs: usize,
    training_cpus: i64,
    /// The CPUs of placed array tasks.
    array_cpus: i64,
    /// The CPUs of all placed and waiting replicas.
    replica_cpus: i64,
    /// The number of services by image.
    services_by_image: HashMap<Rc<str>, usize>,
    /// The reserves of services, by the index of their start objective: each map holds the
    /// number of services by reserved CPUs.
    reserves: Vec<BTreeMap<i64, usize>>,
    ready_cpus: i64,
    booting_cpus: i64,
    /// CPUs of the service headroom that other tasks use, by zone.
    headroom_cpus_in_use: BTreeMap<Rc<str>, i64>,
    recorded_machines: usize,
    machines_up_by_zone: BTreeMap<Rc<str>, usize>,
}

impl ClusterTotals {
    pub(super) fn new(config: &Config) -> ClusterTotals {
        ClusterTotals {
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
            headroom_cpus_in_use: BTreeMap::new(),
            recorded_machines: 0,
            machines_up_by_zone: BTreeMap::new(),
        }
    }

    /// The CPUs of the machines that have sent a heartbeat in this term.
    pub fn fleet_cpus(&self) -> f64 {
        from_millionths(self.ready_cpus)
    }

    /// The CPUs of the machines that the cloud has confirmed to be booting.
    pub fn booting_cpus(&self) -> f64 {
        from_millionths(self.booting_cpus)
    }

    /// The CPUs of the service headroom that other tasks use, by zone.
    pub fn headroom_cpus_in_use(&self) -> BTreeMap<Rc<str>, f64> {
        let in_use = self.headroom_cpus_in_use.iter();
        in_use
            .map(|(zone, cpus)| (zone.clone(), from_millionths(*cpus)))
            .collect()
    }

    /// The CPUs of placed training tasks.
    pub fn training_cpus(&self) -> f64 {
        from_millionths(self.training_cpus)
    }

    /// The CPUs of placed array tasks.
    pub fn array_cpus(&self) -> f64 {
        from_millionths(self.array_cpus)
    }

    /// The CPUs of all placed and waiting replicas.
    pub fn replica_cpus(&self) -> f64 {
        from_millionths(self.replica_cpus)
    }

    /// The largest reserve of a single service whose class has the start objective with this
    /// index in the settings.
    pub fn largest_reserve_cpus(&self, objective_index: usize) -> f64 {
        let reserves = self.reserves.get(objective_index);
        let largest = reserves.and_then(|reserves| reserves.last_key_value());
        largest.map_or(0.0, |(cpus, _)| from_millionths(*cpus))
    }

    /// The number of services that use the image.
    pub fn services_using(&self, image: &Rc<str>) -> usize {
        self.services_by_image.get(image).copied().unwrap_or(0)
    }

    /// The number of jobs that are ageing.
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

    /// The number of machines that are up, by zone.
    pub fn machines_up_by_zone(&self) -> &BTreeMap<Rc<str>, usize> {
        &self.machines_up_by_zone
    }

    /// The remaining quota of each team in the settings, followed by an entry without any
    /// quota for all other teams.
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

    /// Sets the usage by team of jobs that can't be read.
    pub(super) fn set_unknown_job_usage(&mut self, usage: Vec<TeamUsage>) {
        self.unknown_job_usage = usage;
    }

    pub(super) fn add_job(&mut self, job: &JobContribution) {
        self.apply_job(job, Direction::Add);
    }

    pub(super) fn remove_job(&mut self, job: &JobContribution) {
        self.apply_job(job, Direction::Remove);
    }

    pub(super) fn add_machine(&mut self, machine: &MachineContribution) {
        self.apply_machine(machine, Direction::Add);
    }

    pub(super) fn remove_machine(&mut self, machine: &MachineContribution) {
        self.apply_machine(machine, Direction::Remove);
    }

    fn apply_job(&mut self, job: &JobContribution, direction: Direction) {
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

    fn apply_machine(&mut self, machine: &MachineContribution, direction: Direction) {
        let sign = direction.sign();
        self.ready_cpus += sign * machine.ready_cpus;
        self.booting_cpus += sign * machine.booting_cpus;
        if machine.headroom_cpus_in_use != 0 {
            let in_use = self
                .headroom_cpus_in_use
                .entry(machine.zone.clone())
                .or_default();
            *in_use += sign * machine.headroom_cpus_in_use;
            if *in_use == 0 {
                self.headroom_cpus_in_use.remove(&machine.zone);
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

/// Increments or decrements a count; an entry that reaches zero is removed.
fn step_count<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K, direction: Direction) {
    let count = counts.get(&key).copied().unwrap_or(0);
    match direction.step(count) {
        0 => counts.remove(&key),
        stepped => counts.insert(key, stepped),
    };
}
