//! What earlier leaders have learned of run times and sizes, as far as this node received
//! it.
//!
//! Virtual sizes, samples and mean run times are only in a leader's memory, and were lost
//! with it: large jobs waited anew after every failover. A leader now replicates some of
//! them to its peers with each of its heartbeats to them. They are hints: a lost one costs
//! what was lost before, and no rule rests on any.

use crate::{Config, Micros, SECOND};
use dillcleat_peer_protocol::{ClassRunTime, Estimates, JobEstimate};
use std::collections::HashMap;

/// An estimate that was not received again for so long is not used: its job has ended, or
/// the leader that sent it has. In that time a leader repeats those of twenty thousand
/// jobs.
const MAX_AGE: Micros = 600 * SECOND;
/// Memory that an estimate takes, about, in bytes.
const ESTIMATE_BYTES: f64 = 250.0;
/// Share of the node's memory that estimates may take.
const MEMORY_SHARE: f64 = 1.0 / 16.0;

/// A job's estimate, and when it was received last.
#[derive(Debug)]
struct ReceivedEstimate {
    estimate: JobEstimate,
    received_at: Micros,
}

impl ReceivedEstimate {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.received_at + MAX_AGE
    }
}

/// The estimates that a node has received, all of one leader: that of `term`.
#[derive(Debug, Default)]
pub struct ReceivedEstimates {
    term: u64,
    /// That leader's virtual time, as of its last message.
    virtual_time: f64,
    /// Mean run times per class, in seconds.
    classes: Vec<ClassRunTime>,
    jobs: HashMap<String, ReceivedEstimate>,
}

/// The estimates that a new leader begins with.
#[derive(Debug, Default)]
pub struct InheritedEstimates {
    /// The virtual time of the leader before, as of its last message.
    virtual_time: f64,
    /// Mean run times per class, in seconds.
    classes: HashMap<String, f64>,
    jobs: HashMap<String, JobEstimate>,
}

impl ReceivedEstimates {
    /// Receives a message of a leader. The leader of a later term began with what the one
    /// before had replicated, so its estimates replace all others.
    pub fn receive(&mut self, config: &Config, message: Estimates, now: Micros) {
        if message.term < self.term {
            return;
        }
        if message.term > self.term {
            *self = ReceivedEstimates {
                term: message.term,
                ..ReceivedEstimates::default()
            };
        }
        self.virtual_time = message.virtual_time;
        if !message.classes.is_empty() {
            self.classes = message.classes;
        }
        self.add_jobs(config, message.jobs, now);
    }

    /// Keeps the estimates of jobs, as far as memory allows.
    fn add_jobs(&mut self, config: &Config, jobs: Vec<JobEstimate>, now: Micros) {
        let max_jobs = max_jobs(config);
        if self.jobs.len() + jobs.len() > max_jobs {
            self.jobs.retain(|_, received| received.is_recent(now));
        }
        for estimate in jobs {
            if self.jobs.len() < max_jobs || self.jobs.contains_key(&estimate.job) {
                let received = ReceivedEstimate {
                    received_at: now,
                    estimate,
                };
                self.jobs.insert(received.estimate.job.clone(), received);
            }
        }
    }

    /// The estimates that the leader of a new term may use: none of its own term or a
    /// later one, which another node leads or none does, and none that are old.
    pub fn inherit(&mut self, term: u64, now: Micros) -> InheritedEstimates {
        let heard = std::mem::take(self);
        if heard.term >= term {
            return InheritedEstimates::default();
        }
        let jobs = heard.jobs.into_iter();
        let recent = jobs.filter(|(_, received)| received.is_recent(now));
        let classes = heard.classes.into_iter();
        InheritedEstimates {
            virtual_time: heard.virtual_time,
            classes: classes
                .filter(|run_time| run_time.mean_s > 0.0)
                .map(|run_time| (run_time.class, run_time.mean_s))
                .collect(),
            jobs: recent
                .map(|(id, received)| (id, received.estimate))
                .collect(),
        }
    }
}

/// How many jobs' estimates a node keeps.
fn max_jobs(config: &Config) -> usize {
    (config.memory_mb * 1e6 * MEMORY_SHARE / ESTIMATE_BYTES) as usize
}

impl InheritedEstimates {
    /// Mean run times per class, in seconds.
    pub fn classes(&self) -> &HashMap<String, f64> {
        &self.classes
    }

    /// Removes the estimate of a job, with its credit as of the last message. None if there
    /// is none, or none that makes sense.
    pub fn take(&mut self, id: &str) -> Option<JobEstimate> {
        let mut estimate = self.jobs.remove(id)?;
        if std::mem::take(&mut estimate.is_ageing) {
            estimate.credit += self.virtual_time;
        }
        let is_valid = estimate.size > 0.0 && estimate.initial_size > 0.0 && estimate.credit >= 0.0;
        is_valid.then_some(estimate)
    }
}
