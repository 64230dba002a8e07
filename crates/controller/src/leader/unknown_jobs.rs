//! Stored placements of jobs that this node can't take up.
//!
//! That a job is unknown here says nothing of whether it has ended: its description may
//! be in a form that only a newer version reads. Its records were once dropped, its tasks
//! stopped and their results reaped, and whoever led next and could read it would have
//! started them anew beside those whose stop hadn't arrived. So its records stay, and what
//! it has on machines stays there and takes up the machine, until its mark says that it
//! has ended, or a leader comes that can read it.

use super::*;
use crate::machines::TaskAttempt;
use dillcleat_wire::user::ResourceClaim;

/// When the mark of an orphan is looked for again, if there was none.
pub(super) const AGAIN: Micros = 30 * SECOND;

/// A job that has records of tasks, and that is not known.
#[derive(Debug, Default)]
pub(super) struct UnknownJob {
    /// It has a description, which can't be read here.
    described: bool,
    /// When it was confirmed as cancelled at the earliest, if it was.
    cancelled: Option<Micros>,
    /// The keys of its records.
    records: Vec<String>,
    /// Where its tasks may be, if all of its records can be read.
    machines: BTreeSet<Rc<str>>,
    anywhere: bool,
    /// What each of its tasks counts against the limit of which team.
    claim: Option<(usize, i64, i64)>,
    /// How many of its tasks may be on machines.
    placed: i64,
}

impl Leader {
    /// A description can't be read: the job takes part in nothing.
    pub(super) fn undescribed(&mut self, ctx: &Context, id: &str, value: &Value) {
        let claim = store::decode_value::<records::OpenClaim>(value).and_then(|open| {
            let ResourceClaim { team, cpus, gpus } = open.spec;
            Some((
                ctx.config.team(&team)?,
                to_millionths(cpus),
                to_millionths(gpus),
            ))
        });
        let orphan = self.unknown_jobs.entry(Rc::from(id)).or_default();
        orphan.described = true;
        orphan.claim = claim;
    }

    /// An unknown job is cancelled: its tasks are stopped wherever they are seen.
    pub(super) fn orphan_cancelled(&mut self, id: &str, at: Micros) {
        let Some(orphan) = self.unknown_jobs.get_mut(id) else {
            return;
        };
        orphan.cancelled.get_or_insert(at);
        self.ask_for_stops(id);
    }

    fn ask_for_stops(&mut self, id: &str) {
        let machines = self.unknown_jobs.get(id).map(|o| o.machines.clone());
        for name in machines.unwrap_or_default() {
            if let Some(m) = self.machines.get_mut(&name) {
                m.command_state.request();
                self.command_dispatch.enqueue_urgent(name);
            }
        }
    }

    /// A record of a job that is not known: neither dropped nor forgotten.
    pub(super) fn orphan_row(&mut self, id: &str, row: &KeyValue) {
        let id: Rc<str> = Rc::from(id);
        let orphan = self.unknown_jobs.entry(id.clone()).or_default();
        orphan.records.push(row.key.clone());
        if !orphan.described {
            // Most likely it has ended, and only the clearing was not finished.
            self.dependencies.dependency_proofs.look_for(id);
        }
        let Some(chunk) = row.decode_value::<TaskChunk>() else {
            log::error!("{}: not a chunk of tasks", row.key);
            orphan.anywhere = true;
            return;
        };
        orphan.placed += chunk.placed.len() as i64;
        let machines = chunk.placed.into_iter().map(|(_, _, machine, _)| machine);
        orphan.machines.extend(machines.map(Rc::from));
    }

    /// A record of a job's tasks can't be read: the job takes part in nothing, as if its
    /// description could not be read. To write that record would lose what is in it.
    pub(super) fn set_aside(&mut self, ctx: &Context, id: &Rc<str>, span: TaskRange, key: &str) {
        self.leaves_line(ctx, id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        let orphan = self.unknown_jobs.entry(id.clone()).or_default();
        orphan.described = true;
        orphan.anywhere = true;
        orphan.cancelled = job.cancelled;
        let (cpus, gpus) = (to_millionths(job.spec.cpus), to_millionths(job.spec.gpus));
        let known = job.team < ctx.config.teams.len();
        orphan.claim = known.then_some((job.team, cpus, gpus));
        // How many of the record's tasks are placed is not known.
        orphan.placed = job.placed() as i64 + job.spans.range(span).len() as i64;
        orphan.records.push(key.to_string());
        for (i, machine) in job.on_machines() {
            if let Some(m) = self.machines.get_mut(machine) {
                m.slots.remove(&(id.clone(), i));
            }
            orphan.machines.insert(machine.clone());
        }
        if self.dependencies.dependency_graph.needed(id) {
            self.dependencies.dependency_proofs.look_for(id.clone());
        }
    }

    /// Whether a job is unknown and its mark is yet to be found.
    pub(super) fn is_orphan(&self, id: &str) -> bool {
        self.unknown_jobs.get(id).is_some_and(|o| !o.described)
    }

    /// The mark says that the job has ended: nothing needs its records any more, but where
    /// the description is left. Then it is cancelled, and its tasks have yet to be seen gone.
    pub(super) fn orphan_ended(&mut self, id: &str) {
        if !self.is_orphan(id) {
            return;
        }
        self.ask_for_stops(id);
        if let Some(orphan) = self.unknown_jobs.remove(id) {
            for key in orphan.records {
                self.writer.write_queue.push(PendingWrite::Drop(key));
            }
        }
    }

    /// Whether an unknown job's tasks are to be left alone.
    pub(super) fn stays(&self, task: &TaskName) -> bool {
        let orphan = self.unknown_jobs.get(task.job.as_str());
        orphan.is_some_and(|o| o.cancelled.is_none())
    }

    /// The stops of tasks of unknown jobs that are known to be cancelled.
    pub(super) fn orphan_stops<'a>(&'a self, m: &'a Machine) -> impl Iterator<Item = Command> + 'a {
        let cancelled = |task: &TaskName| {
            let orphan = self.unknown_jobs.get(task.job.as_str());
            orphan.is_some_and(|o| o.cancelled.is_some())
        };
        let unexpected = m.unexpected_tasks().iter();
        unexpected
            .filter(move |unexpected| cancelled(&unexpected.task))
            .map(TaskAttempt::stop_command)
    }

    /// When the oldest cancellation was confirmed of an unknown job that the machine may
    /// hold. What it shows under this term's seal is all that it holds: nobody launches
    /// any more of it.
    pub(super) fn orphan_cancelled_on(&self, m: &Machine) -> Option<Micros> {
        let may_hold = |id: &str, orphan: &UnknownJob| match m.is_ready() {
            true => m
                .unexpected_tasks()
                .iter()
                .any(|unexpected| unexpected.task.job == id),
            false => orphan.anywhere || orphan.machines.contains(&m.name),
        };
        let orphans = self.unknown_jobs.iter().filter(|(id, o)| may_hold(id, o));
        orphans.filter_map(|(_, o)| o.cancelled).min()
    }

    /// What unknown jobs count against the limits of teams: CPUs and GPUs by team.
    pub(super) fn claims(&self, config: &Config) -> Vec<(i64, i64)> {
        if self.unknown_jobs.is_empty() {
            return Vec::new();
        }
        let mut teams = vec![(0, 0); config.teams.len()];
        for orphan in self.unknown_jobs.values() {
            if let Some((team, cpus, gpus)) = orphan.claim {
                teams[team].0 += cpus.saturating_mul(orphan.placed);
                teams[team].1 += gpus.saturating_mul(orphan.placed);
            }
        }
        teams
    }
}
