//! Which waiting tasks will start too late for their deadlines.

use super::derived::Sums;
use super::*;
use crate::config::DeadlineObjective;

/// What is known of the work that is served before a job, as a plan goes over
/// the jobs in the order in which they will be served.
///
/// Whether a deadline was near was once all that counted. At the start of a day
/// that rented every ordinary machine there was for a backlog that spot machines,
/// just booting, worked off within the minute (rosterwise-nz-grown).
#[derive(Debug)]
pub(super) struct Served {
    /// The CPUs that arrays can have: the fleet's and those of machines that are
    /// booting, less what services hold or wait for.
    cpus: f64,
    /// Those of them that take a task at once.
    idle: f64,
    /// CPU-seconds of what waits before.
    ahead: f64,
}

impl Served {
    pub fn new(sums: &Sums) -> Served {
        let cpus = (sums.fleet_cpus() + sums.coming_cpus() - sums.replica_cpus()).max(0.0);
        Served {
            cpus,
            idle: (cpus - sums.array_cpus()).max(0.0),
            ahead: 0.0,
        }
    }

    /// How many of the job's waiting tasks the fleet as it is cannot start in
    /// time.
    pub fn late(&mut self, leader: &Leader, ctx: &Context, job: &Job, waiting: u32) -> u32 {
        if job.spec.kind != JobKind::Batch {
            return 0;
        }
        let run = leader.expected_run(ctx.config, job);
        let task = run * job.spec.cpus;
        let late = leader.slack(ctx, job, run).map_or(0, |slack| {
            // Idle CPUs take a task at once, all take more as time goes on.
            let in_time = (slack * self.cpus + self.idle * run - self.ahead) / task.max(1e-6);
            // A float's cast to an integer saturates.
            waiting.saturating_sub(in_time as u32)
        });
        self.ahead += f64::from(waiting) * task;
        late
    }
}

/// A job's deadline and what users expect of its class, where money is spent on it.
pub(super) fn strict_deadline<'a>(
    config: &'a Config,
    job: &Job,
) -> Option<(f64, &'a DeadlineObjective)> {
    let due = job.spec.deadline_s?;
    let aim = config.deadline_objective(&job.spec.class)?;
    // Where users put up with a few misses, the money is worth more to them:
    // paying for each cost rosterwise-nz a fifth more (0.803 to 0.765).
    (aim.share >= config.tuning.late_share).then_some((due, aim))
}

impl Leader {
    /// The time within which the job's tasks must start, in seconds; None if
    /// no money is spent on it, be it that it has no deadline, that its class
    /// has no strict aim for it, or that a machine rented now would come too
    /// late. A job that cannot meet its deadline any more is counted against
    /// the last time at which its end is of use.
    fn slack(&self, ctx: &Context, job: &Job, run: f64) -> Option<f64> {
        let takes = run + ctx.config.tuning.fetch_s;
        let ends = match job.due {
            // What waits for it sets when it has to end.
            Some(at) => [seconds(at.saturating_sub(ctx.now.wall)); 2],
            None => self.own_ends(ctx, job)?,
        };
        let boot = self.soonest_boot();
        let left = ends.into_iter().find(|left| *left >= boot + takes)?;
        Some(left - takes * ctx.config.tuning.late_factor)
    }

    /// How long it is until the job's deadline, and until the last time at which its end
    /// is of use; None if no money is spent on it.
    fn own_ends(&self, ctx: &Context, job: &Job) -> Option<[f64; 2]> {
        let (due, aim) = strict_deadline(ctx.config, job)?;
        let age = seconds(ctx.now.wall.saturating_sub(job.submitted));
        Some([due - age, due * aim.max_multiple - age])
    }

    /// What a task of the job takes; before its class has run at all, its
    /// owner's estimate is worth more than the first guess.
    pub(super) fn expected_run(&self, config: &Config, job: &Job) -> f64 {
        let estimate = job.spec.estimate_s;
        let known = !job.samples.is_empty()
            || self
                .estimates
                .run_time_estimates
                .contains_key(&job.spec.class);
        if known || estimate <= 0.0 {
            return self.run_time(config, job);
        }
        estimate
    }
}
