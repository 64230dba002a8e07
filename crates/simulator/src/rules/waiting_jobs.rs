//! Detection of jobs that starve although a suitable machine has free capacity.

use super::{Checker, Job, MachineAttributes, Rule};
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::JobSpec;
use std::collections::BTreeMap;

/// Maximum time that a job may wait while a suitable machine has free capacity.
const MAX_WAIT_WITH_FREE_CAPACITY: Micros = 90 * SECOND;

/// The free capacity and the tasks of a machine at the time of a check.
#[derive(Debug, Clone)]
pub struct MachineCapacity {
    pub place: MachineAttributes,
    /// Free CPUs and GPUs.
    pub cpus: f64,
    pub gpus: f64,
    /// Tasks with an attempt on the machine that has not exited.
    pub tasks: Vec<TaskName>,
    /// The machine is reachable, neither hung nor faulty, and not about to be preempted.
    pub accepts_tasks: bool,
}

/// Number of live tasks of a job by zone.
type TasksByZone<'a> = BTreeMap<&'a str, u32>;

/// Whether the machine can take one more task of the job.
fn fits(spec: &JobSpec, zones: &TasksByZone, machine: &MachineCapacity) -> bool {
    let place = &machine.place;
    let types = spec.types.as_ref();
    let in_zone = zones.get(&*place.zone).copied().unwrap_or(0);
    machine.accepts_tasks
        && machine.cpus + 1e-6 >= spec.cpus
        && machine.gpus + 1e-6 >= spec.gpus
        && types.is_none_or(|t| t.contains(&place.machine_type))
        && spec.zone.as_ref().is_none_or(|z| *z == place.zone)
        && (spec.spot || !place.spot)
        && (!spec.single_zone || zones.keys().all(|z| **z == *place.zone))
        && (!spec.spread || in_zone < spec.tasks.div_ceil(2))
}

impl Checker {
    /// Checks for jobs that have waited too long although a suitable machine has free
    /// capacity and their team is below its limit. `machines` are all machines. Does nothing
    /// before the end of the faults, and ignores jobs that `fails` names: their tasks fail
    /// on every machine.
    pub fn check_waiting_jobs(
        &mut self,
        machines: &[MachineCapacity],
        fails: impl Fn(&str) -> bool,
        now: Micros,
    ) {
        if now < self.faults_end {
            return;
        }
        let mut live: BTreeMap<&str, (u32, TasksByZone)> = BTreeMap::new();
        for machine in machines {
            for task in &machine.tasks {
                let job = self.jobs.get(&task.job);
                if job.is_some_and(|j| j.completed.contains(&task.index)) {
                    continue;
                }
                let (count, zones) = live.entry(&task.job).or_default();
                *count += 1;
                *zones.entry(&machine.place.zone).or_default() += 1;
            }
        }
        let none = (0, TasksByZone::new());
        let could_start = |id: &str, job: &Job| {
            let spec = &job.spec;
            let (count, zones) = live.get(id).unwrap_or(&none);
            let waits = spec.tasks > job.completed.len() as u32 + count;
            let open =
                job.accepted.is_some() && !job.cancel_requested && job.done_reported_at.is_none();
            let limit = self.limits.get(&spec.team);
            let within_limit = |limit: &super::Limit| {
                let tasks = machines.iter().flat_map(|m| &m.tasks);
                let (cpus, gpus) = self.resources_used(&spec.team, tasks);
                limit.allows(cpus + spec.cpus, gpus + spec.gpus)
            };
            // The cancellation of a dependency cancels the job too.
            let cancelled =
                !spec.depends_on.is_empty() && self.cancelled_dependencies(id).any_requested;
            waits
                && open
                && !cancelled
                && !fails(id)
                && spec.depends_on.iter().all(|id| self.is_complete(id))
                && limit.is_none_or(within_limit)
                && machines.iter().any(|machine| fits(spec, zones, machine))
        };
        let could_start: Vec<bool> = self
            .jobs
            .iter()
            .map(|(id, job)| could_start(id, job))
            .collect();
        let mut starved = Vec::new();
        for ((id, job), could_start) in self.jobs.iter_mut().zip(could_start) {
            let waiting_since = &mut job.waiting_with_free_capacity_since;
            let since = could_start.then(|| *waiting_since.get_or_insert(now));
            *waiting_since = since;
            if since.is_some_and(|since| now > since + MAX_WAIT_WITH_FREE_CAPACITY) {
                starved.push(id.clone());
                *waiting_since = None;
            }
        }
        for id in starved {
            let what = format!(
                "{id}: waited over {} s although a suitable machine has free capacity",
                MAX_WAIT_WITH_FREE_CAPACITY / SECOND
            );
            self.report_violation(Rule::JobStarved, now, what);
        }
    }
}
