//! What failures of tasks say against a machine.

use crate::Micros;
use crate::failure_attribution::MachineStrikes;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Failures on one machine, and what follows from them.
#[derive(Debug, Default)]
pub struct MachineHealth {
    /// A cordoned machine gets new tasks only as a last resort, and is deleted when empty.
    cordoned: bool,
    /// It gets no new task before this time, since it had no resources for one.
    blocked_until: Micros,
    /// Jobs that failed here: they try another machine.
    failed_jobs: BTreeSet<Rc<str>>,
    strikes: MachineStrikes,
}

impl MachineHealth {
    /// Whether the machine is cordoned.
    pub fn is_cordoned(&self) -> bool {
        self.cordoned
    }

    /// The time before which it gets no new task.
    pub fn blocked_until(&self) -> Micros {
        self.blocked_until
    }

    /// Gives the machine no new task before `until`.
    pub fn block_until(&mut self, until: Micros) {
        self.blocked_until = until;
    }

    /// Jobs that failed here.
    pub fn failed_jobs(&self) -> impl Iterator<Item = &Rc<str>> {
        self.failed_jobs.iter()
    }

    /// A task of the job has failed here.
    pub fn record_failed_job(&mut self, job: &Rc<str>) {
        self.failed_jobs.insert(job.clone());
    }

    /// Whether it is known to fail tasks that run elsewhere, so that failures here say
    /// nothing of a job.
    pub fn has_strikes(&self) -> bool {
        self.strikes.any()
    }

    /// A job that runs elsewhere has failed here. Returns whether the machine is cordoned
    /// for it now and was not before.
    pub fn add_strike(&mut self, job: &Rc<str>) -> bool {
        self.strikes.add(job);
        let newly_cordoned = self.strikes.warrant_cordon() && !self.cordoned;
        self.cordoned |= newly_cordoned;
        newly_cordoned
    }
}
