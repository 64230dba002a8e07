//! Which waiting tasks will start too late for their deadlines.

use super::*;

impl Leader {
    /// Counts, in the order in which they will be served, the waiting tasks
    /// that the fleet as it is cannot start in time.
    ///
    /// Whether a deadline was near was once all that counted. At the start of
    /// a day that rented every ordinary machine there was for a backlog that
    /// spot machines, just booting, worked off within the minute
    /// (rosterwise-nz-grown).
    pub(super) fn count_late(&self, ctx: &Ctx, jobs: &mut [(JobView, Rc<Shape>)]) {
        let sums = &self.index.sums;
        // The CPUs that arrays can have: the fleet's and those of machines that
        // are booting, less what services hold or wait for.
        let cpus = (sums.fleet_cpus() + sums.coming_cpus() - sums.replica_cpus()).max(0.0);
        let busy = sums.array_cpus();
        let idle = (cpus - busy).max(0.0);
        let mut ahead = 0.0;
        for (view, _) in jobs {
            let Some(job) = self
                .jobs
                .get(view.id)
                .filter(|j| j.spec.kind == Kind::Batch)
            else {
                continue;
            };
            let run = self.expected_run(ctx.config, job);
            let task = run * job.spec.cpus;
            let waiting = view.waiting;
            if let Some(slack) = self.slack(ctx, job, run) {
                // Idle CPUs take a task at once, all take more as time goes on.
                let in_time = (slack * cpus + idle * run - ahead) / task.max(1e-6);
                // A float's cast to an integer saturates.
                view.late = waiting.saturating_sub(in_time as u32);
            }
            ahead += f64::from(waiting) * task;
        }
    }

    /// The time within which the job's tasks must start, in seconds; None if
    /// no money is spent on it, be it that it has no deadline, that its class
    /// has no strict aim for it, or that a machine rented now would come too
    /// late. A job that cannot meet its deadline any more is counted against
    /// the last time at which its end is of use.
    fn slack(&self, ctx: &Ctx, job: &Job, run: f64) -> Option<f64> {
        let due = job.spec.deadline_s?;
        let mut aims = ctx.config.deadlines.iter();
        let aim = aims.find(|a| a.class == job.spec.class)?;
        // Where users put up with a few misses, the money is worth more to them:
        // paying for each cost rosterwise-nz a fifth more (0.803 to 0.765).
        if aim.share < ctx.config.tuning.late_share {
            return None;
        }
        let age = seconds(ctx.now.wall.saturating_sub(job.submitted));
        let takes = run + ctx.config.tuning.fetch_s;
        let left = [due, due * aim.times]
            .into_iter()
            .map(|end| end - age)
            .find(|left| *left >= self.soonest_boot() + takes)?;
        Some(left - takes * ctx.config.tuning.late_factor)
    }

    /// What a task of the job takes; before its class has run at all, its
    /// owner's estimate is worth more than the first guess.
    pub(super) fn expected_run(&self, config: &Config, job: &Job) -> f64 {
        let estimate = job.spec.estimate_s;
        let known = !job.samples.is_empty() || self.guesses.contains_key(&job.spec.class);
        if known || estimate <= 0.0 {
            return self.run_time(config, job);
        }
        estimate
    }
}
