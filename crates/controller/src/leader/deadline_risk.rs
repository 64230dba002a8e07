//! Expected run times of jobs, and the prediction of missed deadlines.

use super::derived::ClusterTotals;
use super::{Job, Leader};
use crate::calls::Context;
use crate::config::DeadlineObjective;
use crate::{Config, Micros, micros, seconds};
use dillcleat_wire::user::JobKind;

/// Lower bound of a task's CPU-seconds, to avoid a division by zero.
const MIN_TASK_CPU_SECONDS: f64 = 1e-6;

/// Predicts how many tasks of a job will start too late, as a plan iterates over the jobs in
/// queue order.
///
/// The prediction includes the capacity of booting machines, so that no on-demand machines
/// are started for a backlog that the fleet will process in time. Without it, a day began with
/// all on-demand machines for a backlog that booting spot machines finished within a minute.
#[derive(Debug)]
pub(super) struct DeadlineRisk {
    /// The CPUs available to array tasks: those of the fleet and of booting machines, less
    /// those of placed and waiting replicas.
    array_cpus: f64,
    /// The part of `array_cpus` that is idle.
    idle_cpus: f64,
    /// The CPU-seconds of waiting tasks of earlier jobs.
    cpu_seconds_ahead: f64,
}

impl DeadlineRisk {
    pub fn new(sums: &ClusterTotals) -> DeadlineRisk {
        let array_cpus = sums.fleet_cpus() + sums.booting_cpus() - sums.replica_cpus();
        let array_cpus = array_cpus.max(0.0);
        DeadlineRisk {
            array_cpus,
            idle_cpus: (array_cpus - sums.array_cpus()).max(0.0),
            cpu_seconds_ahead: 0.0,
        }
    }

    /// The number of the job's waiting tasks that the current fleet can't start in time.
    /// Adds the job's work to that of earlier jobs.
    pub fn tasks_at_risk(
        &mut self,
        leader: &Leader,
        ctx: &Context,
        job: &Job,
        waiting: u32,
    ) -> u32 {
        if job.spec.kind != JobKind::Batch {
            return 0;
        }
        let run_time_s = leader.expected_run_time_s(ctx.config, job);
        let task_cpu_seconds = run_time_s * job.spec.cpus;
        let slack_s = leader.start_slack_s(ctx, job, run_time_s);
        let at_risk = slack_s.map_or(0, |slack_s| {
            // Idle CPUs can start tasks at once, and all CPUs process work until the slack ends.
            let in_time = (slack_s * self.array_cpus + self.idle_cpus * run_time_s
                - self.cpu_seconds_ahead)
                / task_cpu_seconds.max(MIN_TASK_CPU_SECONDS);
            // The cast saturates.
            waiting.saturating_sub(in_time as u32)
        });
        self.cpu_seconds_ahead += f64::from(waiting) * task_cpu_seconds;
        at_risk
    }
}

/// A deadline for which machines are started.
#[derive(Debug)]
pub(super) struct StrictDeadline<'a> {
    /// Seconds from the submission of the job.
    pub deadline_s: f64,
    /// The deadline objective of the job's class.
    pub objective: &'a DeadlineObjective,
}

/// The deadline of a job and the objective of its class, if the deadline is strict.
pub(super) fn strict_deadline<'a>(config: &'a Config, job: &Job) -> Option<StrictDeadline<'a>> {
    let deadline_s = job.spec.deadline_s?;
    let objective = config.deadline_objective(&job.spec.class)?;
    // If the objective tolerates many misses, cost is more important than the deadline.
    (objective.share >= config.tuning.late_share).then_some(StrictDeadline {
        deadline_s,
        objective,
    })
}

impl Leader {
    /// The time within which the job's tasks must start, in seconds. `None` if no machines
    /// are started for the job: it has no strict deadline, or a machine started now would be
    /// up too late. For a job that can't meet its deadline any more, the latest useful end is
    /// used instead.
    fn start_slack_s(&self, ctx: &Context, job: &Job, run_time_s: f64) -> Option<f64> {
        let tuning = &ctx.config.tuning;
        let duration_s = run_time_s + tuning.fetch_s;
        let time_limits_s = match job.due_at {
            // The deadlines of dependents determine when it has to end.
            Some(at) => [seconds(at.saturating_sub(ctx.now.wall)); 2],
            None => self.own_time_limits_s(ctx, job)?,
        };
        let boot_s = self.soonest_boot_s();
        let limit_s = time_limits_s
            .into_iter()
            .find(|limit_s| *limit_s >= boot_s + duration_s)?;
        Some(limit_s - duration_s * tuning.late_factor)
    }

    /// The time until the job's deadline and until its latest useful end, in seconds; `None`
    /// if it has no strict deadline.
    fn own_time_limits_s(&self, ctx: &Context, job: &Job) -> Option<[f64; 2]> {
        let StrictDeadline {
            deadline_s,
            objective,
        } = strict_deadline(ctx.config, job)?;
        let age_s = seconds(ctx.now.wall.saturating_sub(job.submitted_at));
        Some([
            deadline_s - age_s,
            deadline_s * objective.max_multiple - age_s,
        ])
    }

    /// The expected run time of a task of the job, in seconds. If no run time of its class
    /// has been observed, the estimate in its description takes precedence over the default.
    pub(super) fn expected_run_time_s(&self, config: &Config, job: &Job) -> f64 {
        let submitted_estimate_s = job.spec.estimate_s;
        let is_known = !job.samples.is_empty() || self.estimates.has_class(&job.spec.class);
        if is_known || submitted_estimate_s <= 0.0 {
            return self.mean_run_time_s(config, job);
        }
        submitted_estimate_s
    }

    /// The mean run time of the job's training tasks, in seconds; the estimate of its class
    /// if there are no samples.
    pub(super) fn mean_run_time_s(&self, config: &Config, job: &Job) -> f64 {
        match job.samples.len() {
            0 => self.estimates.class_run_time_s(config, &job.spec.class),
            samples => job.samples.iter().sum::<f64>() / samples as f64,
        }
    }

    /// The latest wall-clock time at which the end of the job is still useful.
    pub(super) fn latest_useful_end(config: &Config, job: &Job) -> Option<Micros> {
        let objective = config.deadline_objective(&job.spec.class)?;
        let useful_time = micros(job.spec.deadline_s? * objective.max_multiple);
        Some(job.submitted_at.saturating_add(useful_time))
    }

    /// Whether the end of the job is no longer useful.
    pub(super) fn is_past_useful_end(ctx: &Context, job: &Job) -> bool {
        Self::latest_useful_end(ctx.config, job).is_some_and(|end| ctx.now.wall >= end)
    }
}
