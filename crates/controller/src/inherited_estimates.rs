//! What the leader before has learned, as far as it told.
//!
//! Virtual sizes, samples and mean run times are nowhere but in a leader's memory, and
//! went with it: large jobs waited anew at every change of leader. A leader now tells
//! its siblings some of them with each beat. Hints: a lost one costs what was lost
//! before, and no rule rests on any.

use crate::{Config, Micros, SECOND};
use dillcleat_peer_protocol::{ClassRunTime, Estimates, JobEstimate};
use std::collections::HashMap;

/// What was not told again for so long is not believed: its job has ended, or the
/// leader that told it has. In that time twenty thousand jobs have their turn.
const BELIEVED: Micros = 600 * SECOND;

/// What a node has heard of a leader.
#[derive(Debug, Default)]
pub struct HeardEstimates {
    /// Of which term it is.
    term: u64,
    clock: f64,
    classes: Vec<ClassRunTime>,
    jobs: HashMap<String, (JobEstimate, Micros)>,
}

/// What a new leader takes over.
#[derive(Debug, Default)]
pub struct InheritedEstimates {
    clock: f64,
    pub classes: HashMap<String, f64>,
    jobs: HashMap<String, JobEstimate>,
}

impl HeardEstimates {
    /// Takes in what a leader tells. A later term's leader has what the one before
    /// knew, as far as it was heard, and has gone on from there.
    pub fn take(&mut self, config: &Config, learned: Estimates, now: Micros) {
        if learned.term < self.term {
            return;
        }
        if learned.term > self.term {
            *self = HeardEstimates {
                term: learned.term,
                ..HeardEstimates::default()
            };
        }
        self.clock = learned.virtual_time;
        if !learned.classes.is_empty() {
            self.classes = learned.classes;
        }
        // Some 250 bytes each: at most a sixteenth of the memory.
        let limit = (config.memory_mb * 1e6 / 16.0 / 250.0) as usize;
        if self.jobs.len() + learned.jobs.len() > limit {
            self.jobs.retain(|_, (_, at)| now < *at + BELIEVED);
        }
        for job in learned.jobs {
            if self.jobs.len() < limit || self.jobs.contains_key(&job.job) {
                self.jobs.insert(job.job.clone(), (job, now));
            }
        }
    }

    /// What the leader of a new term may use: nothing of its own term or a later one,
    /// which others have begun or nobody has, and nothing old.
    pub fn inherit(&mut self, term: u64, now: Micros) -> InheritedEstimates {
        let heard = std::mem::take(self);
        if heard.term >= term {
            return InheritedEstimates::default();
        }
        let jobs = heard.jobs.into_iter();
        let recent = jobs.filter(|(_, (_, at))| now < *at + BELIEVED);
        InheritedEstimates {
            clock: heard.clock,
            classes: heard
                .classes
                .into_iter()
                .filter(|run_time| run_time.mean_s > 0.0)
                .map(|run_time| (run_time.class, run_time.mean_s))
                .collect(),
            jobs: recent.map(|(id, (job, _))| (id, job)).collect(),
        }
    }
}

impl InheritedEstimates {
    /// What was learned of a job, with its credit as of when the leader was last heard.
    pub fn take(&mut self, id: &str) -> Option<JobEstimate> {
        let mut job = self.jobs.remove(id)?;
        if std::mem::take(&mut job.is_ageing) {
            job.credit += self.clock;
        }
        let sane = job.size > 0.0 && job.initial_size > 0.0 && job.credit >= 0.0;
        sane.then_some(job)
    }
}
