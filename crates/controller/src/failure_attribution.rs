//! Failure attribution: decides whether a task failure is caused by the job or the machine.
//!
//! A failure is attributed to a machine only if the same job runs on other machines, so that
//! a faulty job does not cause healthy machines to be cordoned: when errors of any two jobs
//! counted, two jobs submitted with a mistake had 29 healthy machines deleted in a day. It is
//! attributed to a job only if no failure is attributed to the machine.

use crate::{Micros, SECOND};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The number of machines on which a job must have failed, without having succeeded on
/// any, to become a suspect.
const SUSPECT_MACHINES: usize = 2;
/// The number of jobs that must have failed on a machine, while running on other machines,
/// for the machine to be cordoned.
const CORDON_JOBS: usize = 2;
/// The backoff after the first failure of a suspect job. It doubles with each further one.
const INITIAL_BACKOFF: Micros = SECOND;
/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The failures of one job that may be caused by the job.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Whether a task of the job has succeeded, or a replica of the service has served.
    has_succeeded: bool,
    /// The machines on which the job failed before it succeeded.
    failed_on: BTreeSet<Rc<str>>,
    /// The number of failures since the job became a suspect.
    suspect_failures: u32,
    retry_at: Micros,
}

impl JobFailures {
    /// Whether the job has failed on several machines and has not succeeded on any. A
    /// suspect job is retried with one task at a time, causes no scale-out and does not
    /// count as an active job.
    pub fn is_suspect(&self) -> bool {
        !self.has_succeeded && self.failed_on.len() >= SUSPECT_MACHINES
    }

    /// Whether a task of the job has succeeded, or a replica of the service has served.
    pub fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Whether another task of the job may be placed. `placed` is the number of its placed
    /// tasks. A running task is no evidence until it ends, so a starving suspect job may be
    /// retried with an additional task.
    pub fn may_start(&self, placed: usize, starving: bool, now: Micros) -> bool {
        !self.is_suspect() || ((placed == 0 || starving) && now >= self.retry_at)
    }

    /// When a suspect job may be retried; None for other jobs.
    pub fn retry_at(&self) -> Option<Micros> {
        self.is_suspect().then_some(self.retry_at)
    }

    /// Records that a task of the job has failed on a machine. Returns the new
    /// backoff. Returns None if the job is no suspect or a backoff is in progress, so that the
    /// simultaneous failure of a job array counts once.
    pub fn record_failure(&mut self, machine: &Rc<str>, now: Micros) -> Option<Micros> {
        if self.has_succeeded {
            return None;
        }
        self.failed_on.insert(machine.clone());
        if !self.is_suspect() || now < self.retry_at {
            return None;
        }
        let backoff = INITIAL_BACKOFF << self.suspect_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.suspect_failures += 1;
        self.retry_at = now + backoff;
        Some(backoff)
    }

    /// Records that a task of the job has succeeded, or a replica has served. Returns the
    /// machines on which it failed before: these failures are now attributed to them.
    pub fn record_success(&mut self) -> BTreeSet<Rc<str>> {
        self.has_succeeded = true;
        std::mem::take(&mut self.failed_on)
    }
}

/// The failures that are attributed to one machine: the ids of the jobs that failed on it
/// and run on other machines.
#[derive(Debug, Default)]
pub struct AttributedFailures(BTreeSet<Rc<str>>);

impl AttributedFailures {
    /// Adds a job that failed on the machine and runs on other machines.
    pub fn add(&mut self, job: &Rc<str>) {
        self.0.insert(job.clone());
    }

    /// Whether any failure is attributed to the machine.
    pub fn has_failures(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether the machine is to be cordoned.
    pub fn should_cordon(&self) -> bool {
        self.0.len() >= CORDON_JOBS
    }
}
