//! The urgency that jobs inherit from those that depend on them: a job is at least as
//! urgent as each of its dependents.

use super::Leader;
use super::deadline_risk::strict_deadline;
use super::job::Job;
use crate::calls::Context;
use crate::{Micros, micros};
use dillcleat_wire::user::Priority;
use std::rc::Rc;

/// How urgent a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Urgency {
    pub priority: Priority,
    /// Time of day, in microseconds, by which it has to end for the jobs that depend on
    /// it.
    pub due: Option<Micros>,
}

impl Leader {
    /// Lets all jobs inherit from those that depend on them.
    pub(super) fn propagate_all_urgencies(&mut self, ctx: &Context) {
        let jobs: Vec<Rc<str>> = self
            .dependencies
            .graph()
            .jobs_with_dependents()
            .cloned()
            .collect();
        for id in jobs {
            if self.update_urgency(ctx, &id) {
                self.propagate_urgency(ctx, &id);
            }
        }
    }

    /// The urgency of a job by itself and by those that depend on it.
    fn inherited_urgency(&self, ctx: &Context, id: &Rc<str>, job: &Job) -> Urgency {
        let mut urgency = Urgency {
            priority: job.spec.priority,
            due: None,
        };
        for dependent in self.dependencies.graph().dependents(id) {
            if let Some(dependent) = self.jobs.get(dependent) {
                urgency = self.urgency_with_dependent(ctx, urgency, dependent);
            }
        }
        urgency
    }

    /// The urgency of a job once one more depends on it.
    fn urgency_with_dependent(&self, ctx: &Context, urgency: Urgency, dependent: &Job) -> Urgency {
        if dependent.cancelled_at.is_some() {
            return urgency;
        }
        // Its work has to be done after this one, and so on along the longest path.
        let duration_s =
            self.expected_run_time_s(ctx.config, dependent) + ctx.config.tuning.fetch_s;
        let end = dependent.due.or_else(|| self.deadline_by(ctx, dependent));
        let due_for_dependent = end.map(|end| end.saturating_sub(micros(duration_s)));
        Urgency {
            priority: urgency.priority.max(dependent.priority),
            due: urgency.due.into_iter().chain(due_for_dependent).min(),
        }
    }

    /// Time of day by which a job has to end by its own deadline, if it has a strict one.
    fn deadline_by(&self, ctx: &Context, job: &Job) -> Option<Micros> {
        let due_s = strict_deadline(ctx.config, job)?.deadline_s;
        Some(job.submitted_at.saturating_add(micros(due_s)))
    }

    /// Works out a job's urgency anew. Returns whether it has changed.
    pub(super) fn update_urgency(&mut self, ctx: &Context, id: &Rc<str>) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let urgency = self.inherited_urgency(ctx, id, job);
        if job.urgency() == urgency {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.set_urgency(urgency);
        }
        true
    }

    /// Updates the jobs that a job depends on, and those that they depend on, for as far
    /// as their urgency changes. When it falls, a job is worked out as often as there are
    /// paths to it.
    pub(super) fn propagate_urgency(&mut self, ctx: &Context, id: &Rc<str>) {
        let mut next = self.dependencies.dependencies(id);
        // Only a stored cycle, which no submission can make, takes so many steps.
        let mut steps_left = 16 * (self.jobs.len() + 1);
        while let Some(dependency) = next.pop() {
            steps_left -= 1;
            if steps_left == 0 {
                return log::error!("dependency cycle job={id}");
            }
            if self.update_urgency(ctx, &dependency) {
                let further = self.dependencies.graph().dependencies(&dependency);
                next.extend(further.cloned());
            }
        }
    }
}
