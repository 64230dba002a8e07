//! Run times of jobs, and which waiting tasks will start too late for their deadlines.

use super::derived::Sums;
use super::{Job, Leader};
use crate::calls::Context;
use crate::config::DeadlineObjective;
use crate::{Config, Micros, micros, seconds};
use dillcleat_wire::user::JobKind;

/// CPU-seconds below this are rounding errors.
const MIN_TASK_CPU_SECONDS: f64 = 1e-6;

/// What is known of the work that is served before a job, as a plan goes over the jobs in
/// the order in which they will be served.
///
/// Whether a deadline was near was once all that counted. At the start of a day that
/// started every ordinary machine there was for a backlog that spot machines, just
/// booting, worked off within the minute (rosterwise-nz-grown).
#[derive(Debug)]
pub(super) struct DeadlineRisk {
    /// The CPUs that arrays can have: the fleet's and those of machines that are booting,
    /// less what services hold or wait for.
    array_cpus: f64,
    /// Those of them that take a task at once.
    idle_cpus: f64,
    /// CPU-seconds of the waiting work that is served before.
    cpu_seconds_ahead: f64,
}

impl DeadlineRisk {
    pub fn new(sums: &Sums) -> DeadlineRisk {
        let array_cpus = sums.fleet_cpus() + sums.booting_cpus() - sums.replica_cpus();
        let array_cpus = array_cpus.max(0.0);
        DeadlineRisk {
            array_cpus,
            idle_cpus: (array_cpus - sums.array_cpus()).max(0.0),
            cpu_seconds_ahead: 0.0,
        }
    }

    /// How many of the job's waiting tasks the fleet as it is cannot start in time. The job
    /// counts as served before the next.
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
            // Idle CPUs take a task at once, all take more as time goes on.
            let in_time = (slack_s * self.array_cpus + self.idle_cpus * run_time_s
                - self.cpu_seconds_ahead)
                / task_cpu_seconds.max(MIN_TASK_CPU_SECONDS);
            // A float's cast to an integer saturates.
            waiting.saturating_sub(in_time as u32)
        });
        self.cpu_seconds_ahead += f64::from(waiting) * task_cpu_seconds;
        at_risk
    }
}

/// A deadline on which money is spent.
#[derive(Debug)]
pub(super) struct StrictDeadline<'a> {
    /// Seconds from the submission of the job.
    pub deadline_s: f64,
    /// What users expect of the class.
    pub objective: &'a DeadlineObjective,
}

/// A job's deadline and what users expect of its class, where money is spent on it.
pub(super) fn strict_deadline<'a>(config: &'a Config, job: &Job) -> Option<StrictDeadline<'a>> {
    let deadline_s = job.spec.deadline_s?;
    let objective = config.deadline_objective(&job.spec.class)?;
    // Where users put up with a few misses, the money is worth more to them: paying for
    // each cost rosterwise-nz a fifth more (0.803 to 0.765).
    (objective.share >= config.tuning.late_share).then_some(StrictDeadline {
        deadline_s,
        objective,
    })
}

impl Leader {
    /// The time within which the job's tasks must start, in seconds; `None` if no money is
    /// spent on it, be it that it has no deadline, that its class has no strict objective for it,
    /// or that a machine started now would come too late. A job that cannot meet its
    /// deadline any more is counted against the last time at which its end is of use.
    fn start_slack_s(&self, ctx: &Context, job: &Job, run_time_s: f64) -> Option<f64> {
        let tuning = &ctx.config.tuning;
        let duration_s = run_time_s + tuning.fetch_s;
        let time_limits_s = match job.due {
            // What waits for it sets when it has to end.
            Some(at) => [seconds(at.saturating_sub(ctx.now.wall)); 2],
            None => self.own_time_limits_s(ctx, job)?,
        };
        let boot_s = self.soonest_boot_s();
        let left_s = time_limits_s
            .into_iter()
            .find(|left_s| *left_s >= boot_s + duration_s)?;
        Some(left_s - duration_s * tuning.late_factor)
    }

    /// How long it is until the job's deadline, and until the last time at which its end is
    /// of use, in seconds; `None` if no money is spent on it.
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

    /// What a task of the job takes, in seconds. Before its class has run at all, its
    /// owner's estimate is worth more than the first guess.
    pub(super) fn expected_run_time_s(&self, config: &Config, job: &Job) -> f64 {
        let submitted_estimate_s = job.spec.estimate_s;
        let is_known = !job.samples.is_empty() || self.estimates.has_class(&job.spec.class);
        if is_known || submitted_estimate_s <= 0.0 {
            return self.mean_run_time_s(config, job);
        }
        submitted_estimate_s
    }

    /// What a task of the job has taken on average, in seconds; the estimate of its class
    /// if none has run.
    pub(super) fn mean_run_time_s(&self, config: &Config, job: &Job) -> f64 {
        match job.samples.len() {
            0 => self.estimates.class_run_time_s(config, &job.spec.class),
            samples => job.samples.iter().sum::<f64>() / samples as f64,
        }
    }

    /// The last time of day at which the end of the job is still of use.
    pub(super) fn latest_useful_end(config: &Config, job: &Job) -> Option<Micros> {
        let objective = config.deadline_objective(&job.spec.class)?;
        let of_use = micros(job.spec.deadline_s? * objective.max_multiple);
        Some(job.submitted_at.saturating_add(of_use))
    }

    /// Whether the end of the job is of no more use.
    pub(super) fn is_past_useful_end(ctx: &Context, job: &Job) -> bool {
        Self::latest_useful_end(ctx.config, job).is_some_and(|end| ctx.now.wall >= end)
    }
}
