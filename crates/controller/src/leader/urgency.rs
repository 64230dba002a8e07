//! Inheritance of urgency: a job is at least as urgent as each of its dependents.

use super::Leader;
use super::deadline_risk::strict_deadline;
use super::job::Job;
use crate::calls::Context;
use crate::{Micros, micros};
use dillcleat_wire::user::Priority;
use std::rc::Rc;

/// The urgency of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Urgency {
    pub priority: Priority,
    /// Wall-clock time, in microseconds, by which the job has to end so that its dependents
    /// can meet their deadlines.
    pub due: Option<Micros>,
}

impl Leader {
    /// Computes the inherited urgency of all jobs.
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

    /// The urgency of a job, including what it inherits from its dependents.
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

    /// Combines the urgency of a job with that of one of its dependents.
    fn urgency_with_dependent(&self, ctx: &Context, urgency: Urgency, dependent: &Job) -> Urgency {
        if dependent.cancelled_at.is_some() {
            return urgency;
        }
        // The dependent runs after this job, so its run time has to be subtracted. Applied to
        // each dependent in turn, this follows the longest path.
        let duration_s =
            self.expected_run_time_s(ctx.config, dependent) + ctx.config.tuning.fetch_s;
        let end = dependent
            .due_at
            .or_else(|| self.own_deadline(ctx, dependent));
        let due_for_dependent = end.map(|end| end.saturating_sub(micros(duration_s)));
        Urgency {
            priority: urgency.priority.max(dependent.priority),
            due: urgency.due.into_iter().chain(due_for_dependent).min(),
        }
    }

    /// The wall-clock time of a job's own strict deadline, if it has one.
    fn own_deadline(&self, ctx: &Context, job: &Job) -> Option<Micros> {
        let deadline_s = strict_deadline(ctx.config, job)?.deadline_s;
        Some(job.submitted_at.saturating_add(micros(deadline_s)))
    }

    /// Recomputes the urgency of a job. Returns whether it has changed.
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

    /// Propagates a change of urgency to the job's transitive dependencies. Stops at jobs whose
    /// urgency does not change. If the urgency decreases, a job may be updated once for each
    /// path to it.
    pub(super) fn propagate_urgency(&mut self, ctx: &Context, id: &Rc<str>) {
        let mut next = self.dependencies.dependencies(id);
        // Bounds the work if the graph has a cycle, which submissions can't create.
        let mut steps_left = 16 * (self.jobs.len() + 1);
        while let Some(dependency) = next.pop() {
            steps_left -= 1;
            if steps_left == 0 {
                return log::error!("stopped propagating urgency, dependency cycle job={id}");
            }
            if self.update_urgency(ctx, &dependency) {
                let further = self.dependencies.graph().dependencies(&dependency);
                next.extend(further.cloned());
            }
        }
    }
}
