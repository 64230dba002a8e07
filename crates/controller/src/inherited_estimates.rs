//! The estimates of run times and job sizes that earlier leaders have sent to this node.
//!
//! Virtual job sizes, run-time samples and mean run times (see [`JobEstimate`] and
//! [`ClassRunTime`]) are kept only in the leader's memory. With each of its peer heartbeats,
//! a leader replicates some of them, so that they survive a failover. They are hints: if one
//! is lost, the new leader estimates it again.

use crate::{Config, Micros, SECOND};
use dillcleat_peer_protocol::{ClassRunTime, Estimates, JobEstimate};
use std::collections::HashMap;

/// An estimate that has not been received again within this time is not used: its job has
/// ended, or there is no leader that sends it. Within this time a leader repeats the estimates
/// of about twenty thousand jobs.
const MAX_ESTIMATE_AGE: Micros = 600 * SECOND;
/// The approximate memory use of an estimate.
const ESTIMATE_BYTES: f64 = 250.0;
/// The fraction of the node's memory that estimates may use.
const MEMORY_FRACTION: f64 = 1.0 / 16.0;

/// A job's estimate, and when it was last received.
#[derive(Debug)]
struct ReceivedEstimate {
    estimate: JobEstimate,
    received_at: Micros,
}

impl ReceivedEstimate {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.received_at + MAX_ESTIMATE_AGE
    }
}

/// The estimates that a node has received, all of them from the leader of `term`.
#[derive(Debug, Default)]
pub struct ReceivedEstimates {
    term: u64,
    /// The leader's virtual time in its latest message.
    virtual_time: f64,
    /// Mean run times per class, in seconds.
    classes: Vec<ClassRunTime>,
    jobs: HashMap<String, ReceivedEstimate>,
}

/// The initial estimates of a new leader.
#[derive(Debug, Default)]
pub struct InheritedEstimates {
    /// The previous leader's virtual time in its latest message.
    virtual_time: f64,
    /// Mean run times per class, in seconds.
    classes: HashMap<String, f64>,
    jobs: HashMap<String, JobEstimate>,
}

impl ReceivedEstimates {
    /// Records a leader's message. The leader of a later term inherited the estimates of the
    /// previous one, so its estimates replace all others.
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

    /// Adds the estimates of jobs, up to the maximum number of jobs; drops outdated ones first.
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

    /// Takes the estimates that the leader of a new term may use: those of an earlier term
    /// that are recent.
    pub fn inherit(&mut self, term: u64, now: Micros) -> InheritedEstimates {
        let received = std::mem::take(self);
        if received.term >= term {
            return InheritedEstimates::default();
        }
        let jobs = received.jobs.into_iter();
        let recent = jobs.filter(|(_, entry)| entry.is_recent(now));
        let classes = received.classes.into_iter();
        InheritedEstimates {
            virtual_time: received.virtual_time,
            classes: classes
                .filter(|run_time| run_time.mean_s > 0.0)
                .map(|run_time| (run_time.class, run_time.mean_s))
                .collect(),
            jobs: recent.map(|(id, entry)| (id, entry.estimate)).collect(),
        }
    }
}

/// The maximum number of jobs whose estimates a node keeps.
fn max_jobs(config: &Config) -> usize {
    (config.memory_mb * 1e6 * MEMORY_FRACTION / ESTIMATE_BYTES) as usize
}

impl InheritedEstimates {
    /// Mean run times per class, in seconds.
    pub fn classes(&self) -> &HashMap<String, f64> {
        &self.classes
    }

    /// Removes and returns the estimate of a job, with its ageing credit as of the latest
    /// message. For an ageing job, the sender subtracts the virtual time at which the ageing
    /// began; this adds the latest virtual time and clears the flag. None if there is no
    /// estimate or it is invalid.
    pub fn take(&mut self, id: &str) -> Option<JobEstimate> {
        let mut estimate = self.jobs.remove(id)?;
        if std::mem::take(&mut estimate.is_ageing) {
            estimate.ageing_credit += self.virtual_time;
        }
        let is_valid =
            estimate.size > 0.0 && estimate.initial_size > 0.0 && estimate.ageing_credit >= 0.0;
        is_valid.then_some(estimate)
    }
}
