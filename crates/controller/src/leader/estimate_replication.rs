//! What is told of what this leader has learned, for one that follows.

use super::*;
use dillcleat_peer_protocol::{
    ClassRunTime, Estimates, JobEstimate, MAX_CLASSES, MAX_JOB_ESTIMATES, MAX_SAMPLES,
};

/// Jobs that are told again in turn in one message, and places that are looked at for
/// them, services and what has gone among them. With a hundred a message a leader of
/// forty arrays spoke ten times as much among controllers, for nothing.
const IN_TURN: usize = 16;
const LOOKED_AT: SlabIndex = 128;

/// What was learned of run times and sizes, and of it what peers have yet to be told.
#[derive(Debug)]
pub(super) struct LearnedEstimates {
    /// Mean run time per class, learned from finished tasks, in seconds.
    pub run_time_estimates: HashMap<String, f64>,
    /// One of them has changed since waiting jobs were last ordered by them.
    pub run_time_estimates_changed: bool,
    /// What the leader before has learned, for jobs that are taken up.
    pub inherited: InheritedEstimates,
    /// Jobs that were taken up as the leader before knew them.
    pub inherited_jobs: usize,
    /// Jobs of which something was learned that peers have yet to be told.
    pub unreplicated_estimates: BTreeSet<SlabIndex>,
    /// Of the others the one that was told last.
    pub next_replicated: SlabIndex,
}

impl LearnedEstimates {
    pub fn new(inherited: InheritedEstimates) -> LearnedEstimates {
        LearnedEstimates {
            run_time_estimates: inherited.classes.clone(),
            run_time_estimates_changed: false,
            inherited,
            inherited_jobs: 0,
            unreplicated_estimates: BTreeSet::new(),
            next_replicated: 0,
        }
    }
}

impl Leader {
    /// Some of what was learned: jobs of which it has changed, and then the next ones
    /// in turn, so that who missed something hears it a little later. What ageing does
    /// to a job need not be told again: it follows from the clock.
    pub fn learned(&mut self) -> Option<Estimates> {
        if self.recovery.stage != RecoveryStage::Ready {
            return None;
        }
        let mut jobs = Vec::new();
        while jobs.len() < MAX_JOB_ESTIMATES
            && let Some(place) = self.estimates.unreplicated_estimates.pop_first()
        {
            jobs.extend(self.learned_of(place));
        }
        let all = self.jobs.places();
        let mut told = 0;
        for _ in 0..all.min(LOOKED_AT) {
            if jobs.len() >= MAX_JOB_ESTIMATES || told >= IN_TURN {
                break;
            }
            self.estimates.next_replicated = (self.estimates.next_replicated + 1) % all;
            let learned = self.learned_of(self.estimates.next_replicated);
            told += usize::from(learned.is_some());
            jobs.extend(learned);
        }
        Some(self.told(jobs))
    }

    /// All of it, for this node itself when it leads no more.
    pub fn all_learned(&self) -> Option<Estimates> {
        let jobs = (0..self.jobs.places()).filter_map(|place| self.learned_of(place));
        (self.recovery.stage == RecoveryStage::Ready).then(|| self.told(jobs.collect()))
    }

    fn told(&self, jobs: Vec<JobEstimate>) -> Estimates {
        let classes = self.estimates.run_time_estimates.iter().take(MAX_CLASSES);
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

    fn learned_of(&self, place: SlabIndex) -> Option<JobEstimate> {
        let (id, job) = self.jobs.at(place)?;
        if job.spec.kind != JobKind::Batch || job.cancelled.is_some() || job.ending {
            return None;
        }
        let samples = job.samples.iter().take(MAX_SAMPLES);
        Some(JobEstimate {
            job: id.to_string(),
            initial_size: job.initial_size,
            size: job.size,
            credit: job.credit - job.ageing_since.unwrap_or(0.0),
            is_ageing: job.ageing_since.is_some(),
            trained: job.trained,
            samples: samples.copied().collect(),
        })
    }

    /// Takes over what the leader before knew of a job that is taken up.
    pub(super) fn inherit(&mut self, id: &str, job: &mut Job) {
        let Some(learned) = self.estimates.inherited.take(id) else {
            return;
        };
        if job.spec.kind != JobKind::Batch {
            return;
        }
        self.estimates.inherited_jobs += 1;
        job.initial_size = learned.initial_size;
        job.size = learned.size;
        job.credit = learned.credit;
        job.trained = learned.trained;
        job.samples = learned.samples;
    }
}
