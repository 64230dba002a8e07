//! Stored placements of jobs that this node can't read.
//!
//! That a job is unknown here says nothing of whether it has ended: its description may
//! be in a format that only a newer version reads. Its records were once deleted, its tasks
//! stopped and their results reaped, and whoever led next and could read it would have
//! started them anew beside those whose stop hadn't arrived. So its records stay, and what
//! it has on machines stays there and takes up the machine, until its state record says
//! that it has ended, or a leader comes that can read it.

use super::Leader;
use crate::calls::Context;
use crate::machines::{Machine, TaskAttempt};
use crate::records::{OpenClaim, TaskChunk, TaskRange};
use crate::sched::to_millionths;
use crate::write_queue::PendingWrite;
use crate::{Config, Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::store::{self, KeyValue, Value};
use dillcleat_wire::user::ResourceClaim;
use dillcleat_wire::worker::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// After how long the state record of an unknown job is read again, if there was none.
pub(super) const STATE_RECHECK_INTERVAL: Micros = 30 * SECOND;

/// What one task counts against the quota of a team.
#[derive(Debug, Clone, Copy)]
struct TaskClaim {
    /// Index of the team in the settings.
    team: usize,
    cpu_millionths: i64,
    gpu_millionths: i64,
}

/// A job that has stored records and can't be read here.
#[derive(Debug, Default)]
struct UnknownJob {
    /// It is known to be open: it has a description, which can't be read here, or whose
    /// task records can't be.
    described: bool,
    /// When its cancellation was confirmed at the earliest, if it was cancelled.
    cancelled_at: Option<Micros>,
    /// The keys of its task records.
    record_keys: Vec<String>,
    /// The machines that hold or may hold its tasks, as far as its records can be read.
    machines: BTreeSet<Rc<str>>,
    /// Some of its records can't be read: any machine may hold its tasks.
    may_be_anywhere: bool,
    /// None if its team is not in the settings or its description can't be read at all.
    task_claim: Option<TaskClaim>,
    /// How many of its tasks may be on machines.
    placed: i64,
}

impl UnknownJob {
    /// Whether a machine may hold a task of the job. What it shows under this term's
    /// fencing token is all that it holds: nobody launches any more of it.
    fn may_be_on(&self, id: &str, machine: &Machine) -> bool {
        if machine.is_ready() {
            let unexpected = machine.unexpected_tasks();
            unexpected.iter().any(|attempt| attempt.task.job == id)
        } else {
            self.may_be_anywhere || self.machines.contains(&machine.name)
        }
    }
}

/// The jobs that have stored records and can't be read here, by id.
#[derive(Debug, Default)]
pub(super) struct UnknownJobs(BTreeMap<Rc<str>, UnknownJob>);

impl UnknownJobs {
    fn entry(&mut self, id: &str) -> &mut UnknownJob {
        self.0.entry(Rc::from(id)).or_default()
    }

    /// Whether the job is unknown, and not known to be open either.
    fn may_have_ended(&self, id: &str) -> bool {
        self.0.get(id).is_some_and(|job| !job.described)
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.0.get(id).is_some_and(|job| job.cancelled_at.is_some())
    }

    /// Whether the task is of an unknown job that was not cancelled: it must not be
    /// stopped or reaped.
    pub fn protects_task(&self, task: &TaskName) -> bool {
        let job = self.0.get(task.job.as_str());
        job.is_some_and(|job| job.cancelled_at.is_none())
    }

    /// The stops of the machine's tasks that are of unknown and cancelled jobs.
    pub fn stops<'a>(&'a self, machine: &'a Machine) -> impl Iterator<Item = Command> + 'a {
        let unexpected = machine.unexpected_tasks().iter();
        unexpected
            .filter(|unexpected| self.is_cancelled(&unexpected.task.job))
            .map(TaskAttempt::stop_command)
    }

    /// When the oldest cancellation was confirmed of an unknown job that the machine may
    /// hold.
    pub fn oldest_cancellation_on(&self, machine: &Machine) -> Option<Micros> {
        let jobs = self.0.iter().filter(|(id, job)| job.may_be_on(id, machine));
        jobs.filter_map(|(_, job)| job.cancelled_at).min()
    }

    /// What unknown jobs count against the quotas of teams: millionths of CPUs and of GPUs
    /// by team. Empty if there are no such jobs.
    pub fn claims(&self, config: &Config) -> Vec<(i64, i64)> {
        if self.0.is_empty() {
            return Vec::new();
        }
        let mut teams = vec![(0, 0); config.teams.len()];
        for job in self.0.values() {
            if let Some(claim) = job.task_claim {
                let (cpus, gpus) = &mut teams[claim.team];
                *cpus += claim.cpu_millionths.saturating_mul(job.placed);
                *gpus += claim.gpu_millionths.saturating_mul(job.placed);
            }
        }
        teams
    }
}

impl Leader {
    /// A description can't be read: the job takes part in nothing.
    pub(super) fn add_undescribed_job(&mut self, ctx: &Context, id: &str, value: &Value) {
        let task_claim = store::decode_value::<OpenClaim>(value).and_then(|open| {
            let ResourceClaim { team, cpus, gpus } = open.spec;
            Some(TaskClaim {
                team: ctx.config.team(&team)?,
                cpu_millionths: to_millionths(cpus),
                gpu_millionths: to_millionths(gpus),
            })
        });
        let job = self.unknown_jobs.entry(id);
        job.described = true;
        job.task_claim = task_claim;
    }

    /// An unknown job is cancelled: its tasks are stopped wherever they are seen.
    pub(super) fn cancel_unknown_job(&mut self, id: &str, confirmed_at: Micros) {
        if let Some(job) = self.unknown_jobs.0.get_mut(id) {
            job.cancelled_at.get_or_insert(confirmed_at);
            self.send_stops(id);
        }
    }

    /// Sends commands to the machines that may hold tasks of an unknown job.
    fn send_stops(&mut self, id: &str) {
        let job = self.unknown_jobs.0.get(id);
        let machines = job.map(|job| job.machines.clone());
        for name in machines.unwrap_or_default() {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.command_state.request();
                self.command_dispatch.enqueue_urgent(name);
            }
        }
    }

    /// Adds a task record of a job that is unknown: it is neither deleted nor forgotten.
    pub(super) fn add_unknown_job_record(&mut self, id: &str, row: &KeyValue) {
        let job = self.unknown_jobs.entry(id);
        job.record_keys.push(row.key.clone());
        if !job.described {
            // Most likely it has ended, and only the clearing was not finished.
            self.dependencies.request_state_read(Rc::from(id));
        }
        let Some(chunk) = row.decode_value::<TaskChunk>() else {
            log::error!("unreadable task record key={}", row.key);
            job.may_be_anywhere = true;
            return;
        };
        job.placed += chunk.placed.len() as i64;
        let machines = chunk.placed.into_iter().map(|task| task.machine);
        job.machines.extend(machines.map(Rc::from));
    }

    /// A record of a job's tasks can't be read: the job takes part in nothing, as if its
    /// description could not be read. To write that record would lose what is in it.
    pub(super) fn demote_to_unknown(
        &mut self,
        ctx: &Context,
        id: &Rc<str>,
        range: TaskRange,
        key: &str,
    ) {
        self.untrack_dependencies(ctx, id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        let unknown = self.unknown_jobs.entry(id);
        unknown.described = true;
        unknown.may_be_anywhere = true;
        unknown.cancelled_at = job.cancelled_at;
        let team_is_known = job.team < ctx.config.teams.len();
        unknown.task_claim = team_is_known.then(|| TaskClaim {
            team: job.team,
            cpu_millionths: to_millionths(job.spec.cpus),
            gpu_millionths: to_millionths(job.spec.gpus),
        });
        // How many of the record's tasks are placed is not known.
        unknown.placed = job.placed_count() as i64 + job.task_ranges.indexes(range).len() as i64;
        unknown.record_keys.push(key.to_string());
        for (index, machine) in job.on_machines() {
            if let Some(machine) = self.machines.get_mut(machine) {
                machine.slots.remove(&(id.clone(), index));
            }
            unknown.machines.insert(machine.clone());
        }
        if self.dependencies.has_dependents(id) {
            self.dependencies.request_state_read(id.clone());
        }
    }

    /// Whether a job is unknown, and its state record is needed to tell if it has ended.
    pub(super) fn is_unknown_job(&self, id: &str) -> bool {
        self.unknown_jobs.may_have_ended(id)
    }

    /// The state record says that the job has ended: nothing needs its task records any
    /// more, unless its description is left. Then it is cancelled, and its tasks have yet
    /// to be seen gone.
    pub(super) fn unknown_job_ended(&mut self, id: &str) {
        if !self.is_unknown_job(id) {
            return;
        }
        self.send_stops(id);
        if let Some(job) = self.unknown_jobs.0.remove(id) {
            for key in job.record_keys {
                self.writer.enqueue(PendingWrite::DeleteKey(key));
            }
        }
    }
}
