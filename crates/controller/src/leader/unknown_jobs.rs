//! Jobs that have stored records but can't be read by this controller.
//!
//! Such a job has not necessarily ended: its description may be in a format that only a
//! newer version can read. Its records are kept and its tasks keep running and occupying
//! their machines, until its state record shows that it has ended or a leader that can read
//! it takes over. If its records were deleted and its tasks stopped, such a leader could
//! start tasks again that are still running.

use super::Leader;
use crate::calls::Context;
use crate::machines::{Machine, TaskAttempt};
use crate::records::{OpenJobResources, TaskRange, TaskRecord};
use crate::sched::to_millionths;
use crate::write_queue::PendingWrite;
use crate::{Config, Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::store::{self, KeyValue, Value};
use dillcleat_wire::user::QuotaUsage;
use dillcleat_wire::worker::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Interval at which the state record of an unknown job is read again if there was none.
pub(super) const UNKNOWN_JOB_RECHECK_INTERVAL: Micros = 30 * SECOND;

/// The usage of a task that counts against the quota of its team.
#[derive(Debug, Clone, Copy)]
struct TaskUsage {
    /// The index of the team in the settings.
    team: usize,
    cpu_millionths: i64,
    gpu_millionths: i64,
}

/// A job that has stored records but can't be read by this controller.
#[derive(Debug, Default)]
struct UnknownJob {
    /// Whether the job has a description and so is known to be open. The description or a
    /// task record is unreadable.
    has_description: bool,
    /// The earliest time at which its cancellation may have been confirmed, if it is
    /// cancelled.
    cancelled_at: Option<Micros>,
    /// The tasks that each of its task records covers.
    records: Vec<TaskRange>,
    /// The machines that may hold its tasks according to its readable records.
    machines: BTreeSet<Rc<str>>,
    /// Whether any machine may hold its tasks, because a task record is unreadable.
    may_be_anywhere: bool,
    /// The usage of each of its tasks; `None` if its team is not in the settings or its
    /// resource usage is unreadable.
    task_usage: Option<TaskUsage>,
    /// The number of its tasks that may be on machines.
    placed: i64,
}

impl UnknownJob {
    /// Whether a machine may hold a task of the job. Once the machine has accepted this
    /// term's fencing token, the tasks that it reports are all that it holds, since no
    /// other leader can launch tasks on it.
    fn may_be_on(&self, id: &str, machine: &Machine) -> bool {
        if machine.is_ready() {
            let unexpected = machine.unplaced_attempts();
            unexpected.iter().any(|attempt| attempt.task.job == id)
        } else {
            self.may_be_anywhere || self.machines.contains(&machine.name)
        }
    }
}

/// The jobs that have stored records but can't be read by this controller, by id.
#[derive(Debug, Default)]
pub(super) struct UnknownJobs(BTreeMap<Rc<str>, UnknownJob>);

impl UnknownJobs {
    fn entry(&mut self, id: &str) -> &mut UnknownJob {
        self.0.entry(Rc::from(id)).or_default()
    }

    /// Whether the job is unknown and not known to be open.
    fn may_have_ended(&self, id: &str) -> bool {
        self.0.get(id).is_some_and(|job| !job.has_description)
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.0.get(id).is_some_and(|job| job.cancelled_at.is_some())
    }

    /// Whether the task belongs to an unknown job that is not cancelled. Such a task must
    /// not be stopped or reaped.
    pub fn protects_task(&self, task: &TaskName) -> bool {
        let job = self.0.get(task.job.as_str());
        job.is_some_and(|job| job.cancelled_at.is_none())
    }

    /// The stop commands for the machine's tasks that belong to cancelled unknown jobs.
    pub fn stops<'a>(&'a self, machine: &'a Machine) -> impl Iterator<Item = Command> + 'a {
        let unexpected = machine.unplaced_attempts().iter();
        unexpected
            .filter(|unexpected| self.is_cancelled(&unexpected.task.job))
            .map(TaskAttempt::stop_command)
    }

    /// The time of the oldest cancellation of an unknown job of which the machine may hold
    /// tasks.
    pub fn oldest_cancellation_on(&self, machine: &Machine) -> Option<Micros> {
        let jobs = self.0.iter().filter(|(id, job)| job.may_be_on(id, machine));
        jobs.filter_map(|(_, job)| job.cancelled_at).min()
    }

    /// The usage of unknown jobs that counts against the quota of each team, as millionths
    /// of CPUs and GPUs. Empty if there are no unknown jobs.
    pub fn usage_by_team(&self, config: &Config) -> Vec<(i64, i64)> {
        if self.0.is_empty() {
            return Vec::new();
        }
        let mut teams = vec![(0, 0); config.teams.len()];
        for job in self.0.values() {
            if let Some(usage) = job.task_usage {
                let (cpus, gpus) = &mut teams[usage.team];
                *cpus += usage.cpu_millionths.saturating_mul(job.placed);
                *gpus += usage.gpu_millionths.saturating_mul(job.placed);
            }
        }
        teams
    }
}

impl Leader {
    /// Adds a job whose description can't be decoded. It is not scheduled.
    pub(super) fn add_undecodable_job(&mut self, ctx: &Context, id: &str, value: &Value) {
        let task_usage = store::decode_value::<OpenJobResources>(value).and_then(|open| {
            let QuotaUsage { team, cpus, gpus } = open.spec;
            Some(TaskUsage {
                team: ctx.config.team(&team)?,
                cpu_millionths: to_millionths(cpus),
                gpu_millionths: to_millionths(gpus),
            })
        });
        let job = self.unknown_jobs.entry(id);
        job.has_description = true;
        job.task_usage = task_usage;
    }

    /// Cancels an unknown job: its tasks are stopped on all machines that report them.
    pub(super) fn cancel_unknown_job(&mut self, id: &str, confirmed_at: Micros) {
        if let Some(job) = self.unknown_jobs.0.get_mut(id) {
            job.cancelled_at.get_or_insert(confirmed_at);
            self.request_stops(id);
        }
    }

    /// Queues commands for the machines in the job's readable records. Other machines get the
    /// stop commands with the answer to a heartbeat.
    fn request_stops(&mut self, id: &str) {
        let job = self.unknown_jobs.0.get(id);
        let machines = job.map(|job| job.machines.clone());
        for name in machines.unwrap_or_default() {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.command_state.request();
                self.command_dispatch.enqueue_urgent(name);
            }
        }
    }

    /// Adds a task record of an unknown job, so that the record is kept.
    pub(super) fn add_unknown_job_record(&mut self, id: &str, range: TaskRange, row: &KeyValue) {
        let job = self.unknown_jobs.entry(id);
        job.records.push(range);
        if !job.has_description {
            // The job has probably ended, and its records were not completely deleted.
            self.dependencies.request_state_read(Rc::from(id));
        }
        let Some(chunk) = row.decode_value::<TaskRecord>() else {
            log::error!("unreadable task record key={}", row.key);
            job.may_be_anywhere = true;
            return;
        };
        job.placed += chunk.placed.len() as i64;
        let machines = chunk.placed.into_iter().map(|task| task.machine);
        job.machines.extend(machines.map(Rc::from));
    }

    /// Treats a job with an unreadable task record as unknown, as if its description were
    /// unreadable. Otherwise a write of that record would lose its contents.
    pub(super) fn demote_to_unknown(&mut self, ctx: &Context, id: &Rc<str>, range: TaskRange) {
        self.untrack_dependencies(ctx, id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        let unknown = self.unknown_jobs.entry(id);
        unknown.has_description = true;
        unknown.may_be_anywhere = true;
        unknown.cancelled_at = job.cancelled_at;
        let team_is_known = job.team < ctx.config.teams.len();
        unknown.task_usage = team_is_known.then(|| TaskUsage {
            team: job.team,
            cpu_millionths: to_millionths(job.spec.cpus),
            gpu_millionths: to_millionths(job.spec.gpus),
        });
        // The number of placed tasks in the record is unknown, so all of them are counted.
        unknown.placed =
            job.tasks.placed_count() as i64 + job.task_ranges.indexes(range).len() as i64;
        unknown.records.push(range);
        for (index, machine) in job.tasks.placed() {
            if let Some(machine) = self.machines.get_mut(machine) {
                machine.slots.remove(&(id.clone(), index));
            }
            unknown.machines.insert(machine.clone());
        }
        if self.dependencies.has_dependents(id) {
            self.dependencies.request_state_read(id.clone());
        }
    }

    /// Whether a job is unknown and not known to be open, so that its state record is needed to
    /// find out if it has ended.
    pub(super) fn unknown_job_may_have_ended(&self, id: &str) -> bool {
        self.unknown_jobs.may_have_ended(id)
    }

    /// Deletes the task records of an unknown job whose state record shows that it has ended.
    /// Keeps them if the description is still stored, since a cancelled job's tasks may not
    /// have ended yet.
    pub(super) fn unknown_job_ended(&mut self, id: &str) {
        if !self.unknown_job_may_have_ended(id) {
            return;
        }
        self.request_stops(id);
        if let Some((id, job)) = self.unknown_jobs.0.remove_entry(id) {
            for range in job.records {
                let job = id.clone();
                self.writer
                    .enqueue(PendingWrite::DeleteTasks { job, range });
            }
        }
    }
}
