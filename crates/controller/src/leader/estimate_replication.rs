//! Learned estimates of run times and job sizes, and their replication to peers, one of
//! which may become the next leader.

use super::Leader;
use super::job::Job;
use crate::Config;
use crate::inherited_estimates::InheritedEstimates;
use crate::sched::SlabIndex;
use dillcleat_peer_protocol::{
    ClassRunTime, Estimates, JobEstimate, MAX_CLASSES, MAX_JOB_ESTIMATES, MAX_RUN_TIME_SAMPLES,
};
use dillcleat_wire::user::JobKind;
use std::collections::{BTreeSet, HashMap};

/// The maximum number of unchanged job estimates that are repeated in one message. With a
/// hundred, a leader of forty jobs would send ten times as much for no benefit.
const MAX_REPEATED_JOBS: usize = 16;
/// The maximum number of slab indexes examined for jobs to repeat. Some of them are vacant
/// or belong to jobs without estimates.
const MAX_EXAMINED_INDEXES: SlabIndex = 128;
/// The weight of a new run time in the moving average of its class.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Learned run times and job sizes, and the progress of their replication.
#[derive(Debug)]
pub(super) struct LearnedEstimates {
    /// Moving averages of the run times of finished tasks by class, in seconds.
    class_run_times_s: HashMap<String, f64>,
    /// Whether an average has changed since the job queue was last updated.
    run_times_changed: bool,
    /// Estimates of the previous leader, for jobs that have not been recovered yet.
    inherited: InheritedEstimates,
    /// The number of jobs that were recovered with estimates of the previous leader.
    inherited_jobs: usize,
    /// Slab indexes of jobs whose estimates have changed since they were last replicated.
    changed: BTreeSet<SlabIndex>,
    /// The slab index that was last examined for repetition.
    last_examined: SlabIndex,
}

impl LearnedEstimates {
    /// Creates the state with the estimates of the previous leader.
    pub fn new(inherited: InheritedEstimates) -> LearnedEstimates {
        LearnedEstimates {
            class_run_times_s: inherited.classes().clone(),
            run_times_changed: false,
            inherited,
            inherited_jobs: 0,
            changed: BTreeSet::new(),
            last_examined: 0,
        }
    }

    /// The expected run time of a task of the class, in seconds.
    pub fn class_run_time_s(&self, config: &Config, class: &str) -> f64 {
        let learned = self.class_run_times_s.get(class);
        learned.copied().unwrap_or(config.tuning.first_guess_s)
    }

    /// Whether a run time of the class has been observed.
    pub fn has_class(&self, class: &str) -> bool {
        self.class_run_times_s.contains_key(class)
    }

    /// Adds the run time of a finished task of the class.
    pub fn add_run_time(&mut self, config: &Config, class: &str, run_time_s: f64) {
        let mean_s = self
            .class_run_times_s
            .entry(class.to_string())
            .or_insert(config.tuning.first_guess_s);
        *mean_s += (run_time_s - *mean_s) * RUN_TIME_WEIGHT;
        self.run_times_changed = true;
    }

    /// Whether the average of any class has changed since the last call.
    pub fn take_run_times_changed(&mut self) -> bool {
        std::mem::take(&mut self.run_times_changed)
    }

    /// Marks the estimates of the job at this slab index as changed.
    pub fn mark_changed(&mut self, index: SlabIndex) {
        self.changed.insert(index);
    }

    /// Sets the estimates of a recovered job to those of the previous leader.
    pub fn apply_inherited(&mut self, id: &str, job: &mut Job) {
        let Some(estimate) = self.inherited.take(id) else {
            return;
        };
        if job.spec.kind != JobKind::Batch {
            return;
        }
        self.inherited_jobs += 1;
        job.initial_size = estimate.initial_size;
        job.size = estimate.size;
        job.ageing_credit = estimate.ageing_credit;
        job.trained = estimate.trained;
        job.samples = estimate.samples;
    }

    /// The number of jobs that were recovered with estimates of the previous leader.
    pub fn inherited_jobs(&self) -> usize {
        self.inherited_jobs
    }

    /// Drops the remaining estimates of the previous leader after recovery.
    pub fn drop_inherited(&mut self) {
        self.inherited = InheritedEstimates::default();
    }
}

impl Leader {
    /// The estimates to be replicated now: those that have changed, and some of the others
    /// in turn, so that peers eventually receive estimates from messages that were lost. The
    /// effect of ageing is not replicated for each job, since it follows from the virtual
    /// time.
    pub fn next_estimates(&mut self) -> Option<Estimates> {
        if !self.recovery.is_ready() {
            return None;
        }
        let mut jobs = Vec::new();
        while jobs.len() < MAX_JOB_ESTIMATES
            && let Some(index) = self.estimates.changed.pop_first()
        {
            jobs.extend(self.job_estimate(index));
        }
        let index_bound = self.jobs.index_bound();
        let mut repeated = 0;
        for _ in 0..index_bound.min(MAX_EXAMINED_INDEXES) {
            if jobs.len() >= MAX_JOB_ESTIMATES || repeated >= MAX_REPEATED_JOBS {
                break;
            }
            self.estimates.last_examined = (self.estimates.last_examined + 1) % index_bound;
            let estimate = self.job_estimate(self.estimates.last_examined);
            repeated += usize::from(estimate.is_some());
            jobs.extend(estimate);
        }
        Some(self.estimates_message(jobs))
    }

    /// All estimates, which the controller keeps when it ceases to lead.
    pub fn all_estimates(&self) -> Option<Estimates> {
        if !self.recovery.is_ready() {
            return None;
        }
        let jobs = (0..self.jobs.index_bound()).filter_map(|index| self.job_estimate(index));
        Some(self.estimates_message(jobs.collect()))
    }

    fn estimates_message(&self, jobs: Vec<JobEstimate>) -> Estimates {
        let classes = self.estimates.class_run_times_s.iter().take(MAX_CLASSES);
        Estimates {
            term: self.term,
            virtual_time: self.scheduling.virtual_time(),
            classes: classes
                .map(|(class, mean_s)| ClassRunTime {
                    class: class.clone(),
                    mean_s: *mean_s,
                })
                .collect(),
            jobs,
        }
    }

    /// The estimate of the job at a slab index, if it has one.
    fn job_estimate(&self, index: SlabIndex) -> Option<JobEstimate> {
        let (id, job) = self.jobs.at(index)?;
        if job.spec.kind != JobKind::Batch || job.cancelled_at.is_some() || job.ending {
            return None;
        }
        let samples = job.samples.iter().take(MAX_RUN_TIME_SAMPLES);
        Some(JobEstimate {
            job: id.to_string(),
            initial_size: job.initial_size,
            size: job.size,
            ageing_credit: job.ageing_credit - job.ageing_since.unwrap_or(0.0),
            is_ageing: job.ageing_since.is_some(),
            trained: job.trained,
            samples: samples.copied().collect(),
        })
    }
}
