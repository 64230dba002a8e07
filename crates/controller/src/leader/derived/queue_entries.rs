//! The queue entry of each job: ageing, starvation and rank.

use super::due_times::DueSubject;
use super::sums::JobContribution;
use crate::calls::Context;
use crate::leader::{Job, Leader};
use crate::sched::SlabIndex;
use crate::{Config, Micros, micros};
use dillcleat_sched::{AgeingState, OrderedFloat, QueueEntry, QueueRank};
use dillcleat_wire::user::JobKind;
use std::cmp::Reverse;
use std::rc::Rc;

impl Leader {
    /// Updates all state that is derived from a job.
    pub(super) fn refresh_job(&mut self, ctx: &Context, index: SlabIndex) {
        if let Some(job) = self.jobs.get_mut_unmarked(index) {
            job.update_ageing(self.scheduling.virtual_time());
            job.update_starvation(ctx);
        }
        let job = self.jobs.at(index);
        let entry = job.and_then(|(id, job)| self.queue_entry(ctx, id, job));
        let contribution = job.map(|(_, job)| {
            let ranked_by_class_estimate = is_ranked_by_class_estimate(job, entry.as_ref());
            JobContribution::of(job, ctx.config, ranked_by_class_estimate)
        });
        let due = job.and_then(|(_, job)| self.next_job_change(ctx, job));
        self.derived.job_queue.set(index, entry);
        for image in self.derived.replace_job_contribution(index, contribution) {
            for machine in self.derived.capacity.machines_holding_image(&image) {
                self.machines.mark_changed(machine);
            }
        }
        if let Some(at) = due {
            self.derived.due_times.add(at, DueSubject::Job(index));
        }
    }

    /// The queue entry of a job, if it has tasks that may be placed now.
    fn queue_entry(&self, ctx: &Context, id: &Rc<str>, job: &Job) -> Option<QueueEntry> {
        if !may_be_placed(ctx, job) {
            return None;
        }
        let (ageing, size_key) = match job.ageing_since {
            Some(_) if job.aged_at() <= self.scheduling.virtual_time() => (AgeingState::Aged, 0.0),
            Some(_) => (AgeingState::Ageing, job.aged_at()),
            None => (AgeingState::Fixed, (job.size - job.ageing_credit).max(0.0)),
        };
        let remaining = self.remaining_cpu_seconds(ctx, job, size_key <= 0.0);
        let rank = |in_urgent_order: bool, size_key: f64, remaining: f64| QueueRank {
            service: Reverse(in_urgent_order && job.spec.kind == JobKind::Service),
            priority: Reverse(job.priority),
            tiny: Reverse(in_urgent_order && job.is_tiny(ctx.config)),
            size_key: OrderedFloat(size_key),
            remaining: OrderedFloat(remaining),
            ready_at_us: job.ready_at,
            id: id.clone(),
        };
        Some(QueueEntry {
            team: job.team,
            requirements: job.placement_requirements.clone(),
            ageing,
            rank: rank(true, size_key, remaining),
            training: (job.training_tasks_left(ctx.config) > 0)
                .then(|| rank(false, job.initial_size, 0.0)),
        })
    }

    /// The expected CPU-seconds of the job's tasks that are not done, by which jobs with a
    /// virtual size of zero are ordered; 0 for other jobs and for services. Infinite for jobs
    /// whose end is no longer useful, so that they come last.
    fn remaining_cpu_seconds(&self, ctx: &Context, job: &Job, is_virtual_size_zero: bool) -> f64 {
        if !is_virtual_size_zero || job.spec.kind == JobKind::Service {
            return 0.0;
        }
        if Self::is_past_useful_end(ctx, job) {
            return f64::INFINITY;
        }
        let tasks_left = f64::from(job.spec.tasks) - f64::from(job.task_counts().done);
        tasks_left * job.spec.cpus * self.mean_run_time_s(ctx.config, job)
    }

    /// The next time at which the job's queue entry changes without an event.
    fn next_job_change(&self, ctx: &Context, job: &Job) -> Option<Micros> {
        let now = ctx.now.monotonic;
        // Converted from wall-clock to monotonic time.
        let useful_until = Self::latest_useful_end(ctx.config, job)
            .map(|end| now.saturating_add(end.saturating_sub(ctx.now.wall)));
        [
            Some(job.blocked_until),
            job.failures.retry_at(),
            useful_until.filter(|_| job.tasks.waiting_count() > 0),
            job.starves_at(ctx.config),
        ]
        .into_iter()
        .flatten()
        .filter(|at| *at > now)
        .min()
    }
}

/// Whether the job has tasks that may be placed now.
fn may_be_placed(ctx: &Context, job: &Job) -> bool {
    let now = ctx.now.monotonic;
    job.cancelled_at.is_none()
        && !job.blocked_on_dependencies
        && job.team < ctx.config.teams.len()
        && job.placeable_count() > 0
        && now >= job.blocked_until
        && job.failures.may_start(
            job.tasks.placed_count(),
            job.placement_requirements.starving(),
            now,
        )
}

/// Whether the queue position of a job depends on the estimate of its class.
///
/// This includes suspect jobs, which don't age but may have reached a virtual size of zero.
fn is_ranked_by_class_estimate(job: &Job, entry: Option<&QueueEntry>) -> bool {
    entry.is_some_and(|entry| entry.ageing != AgeingState::Ageing)
        && job.samples.is_empty()
        && job.spec.kind == JobKind::Batch
}

impl Job {
    /// Starts or stops the ageing of the job at this virtual time.
    fn update_ageing(&mut self, virtual_time: f64) {
        let ages = self.spec.kind == JobKind::Batch
            && self.cancelled_at.is_none()
            && !self.blocked_on_dependencies
            && !self.ending
            && !self.failures.is_suspect();
        match (ages, self.ageing_since) {
            (true, None) => self.ageing_since = Some(virtual_time),
            (false, Some(since)) => {
                self.ageing_credit += virtual_time - since;
                self.ageing_since = None;
            }
            _ => {}
        }
    }

    /// Updates the time since which the job has been waiting and whether it is starving.
    /// Pauses after errors count as waiting.
    fn update_starvation(&mut self, ctx: &Context) {
        let is_waiting = self.cancelled_at.is_none()
            && !self.blocked_on_dependencies
            && self.placeable_count() > 0;
        let now = ctx.now.monotonic;
        self.waiting_since = is_waiting.then(|| self.waiting_since.unwrap_or(now));
        let starves_at = self.starves_at(ctx.config);
        let starving = starves_at.is_some_and(|at| now >= at);
        if self.placement_requirements.starving() != starving {
            self.placement_requirements =
                Rc::new(self.placement_requirements.with_starving(starving));
        }
    }

    /// The time at which the job will be starving if it gets no resources.
    fn starves_at(&self, config: &Config) -> Option<Micros> {
        Some(self.waiting_since? + micros(config.tuning.starve_s))
    }

    /// The virtual time at which an ageing job's virtual size is zero.
    fn aged_at(&self) -> f64 {
        self.size - self.ageing_credit + self.ageing_since.unwrap_or(0.0)
    }
}
