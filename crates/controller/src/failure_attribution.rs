//! Failure attribution: whether an error is put down to the job or to the machine.
//!
//! An error counts against a machine only if the same job runs elsewhere, and against a job
//! only if the machine is not known to fail others. Errors of any two jobs once cordoned a
//! machine: two jobs submitted with a mistake so had 29 good machines deleted in a day
//! (operations, brunnmatt-books-ops).

use crate::{Micros, SECOND};
use std::collections::BTreeSet;
use std::rc::Rc;

/// On so many machines a job must have failed, and run on none, to be a suspect.
const SUSPECT_MACHINES: usize = 2;
/// So many jobs that run elsewhere must have failed on a machine to cordon it.
const CORDON_JOBS: usize = 2;
/// The first pause between two tries of a suspect job. It doubles with each try.
const FIRST_PAUSE: Micros = SECOND;
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 6;

/// What a job's errors say of it.
#[derive(Debug, Default)]
pub struct FailureRecord {
    /// Whether a task of it is known to have run.
    proven: bool,
    /// Where it failed before any task of it is known to have run.
    failed_on: BTreeSet<Rc<str>>,
    /// How often it has failed as a suspect.
    failed_tries: u32,
    retry_at: Micros,
}

impl FailureRecord {
    /// Whether it fails wherever it runs, as far as is known. A suspect job is tried with
    /// one task at a time, scales nothing out and does not count among active jobs.
    pub fn is_suspect(&self) -> bool {
        !self.proven && self.failed_on.len() >= SUSPECT_MACHINES
    }

    /// Whether a task of it is known to have run.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// Whether a task of it may be placed, with `placed` of them on machines. One that runs
    /// for long proves nothing until it ends, so a starving job is tried with one more: it
    /// once waited for as long as that one ran.
    pub fn may_start(&self, placed: usize, starving: bool, now: Micros) -> bool {
        !self.is_suspect() || ((placed == 0 || starving) && now >= self.retry_at)
    }

    /// When a suspect job may be tried again.
    pub fn retry_at(&self) -> Option<Micros> {
        self.is_suspect().then_some(self.retry_at)
    }

    /// A task of it has failed on a machine. Returns the pause until the next try, in
    /// microseconds, if this error starts one: of a whole array failing at once, one does.
    pub fn record_failure(&mut self, machine: &Rc<str>, now: Micros) -> Option<Micros> {
        if self.proven {
            return None;
        }
        self.failed_on.insert(machine.clone());
        if !self.is_suspect() || now < self.retry_at {
            return None;
        }
        let pause = FIRST_PAUSE << self.failed_tries.min(MAX_DOUBLINGS);
        self.failed_tries += 1;
        self.retry_at = now + pause;
        Some(pause)
    }

    /// A task of it has run. Returns the machines against which its errors count by that.
    pub fn record_success(&mut self) -> BTreeSet<Rc<str>> {
        self.proven = true;
        std::mem::take(&mut self.failed_on)
    }
}

/// Jobs that run elsewhere and have failed on one machine.
#[derive(Debug, Default)]
pub struct MachineStrikes(BTreeSet<Rc<str>>);

impl MachineStrikes {
    /// A job that runs elsewhere has failed there.
    pub fn add(&mut self, job: &Rc<str>) {
        self.0.insert(job.clone());
    }

    /// Whether there are any, so that errors there say nothing of other jobs.
    pub fn any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether the machine is to be cordoned for them.
    pub fn warrant_cordon(&self) -> bool {
        self.0.len() >= CORDON_JOBS
    }
}
