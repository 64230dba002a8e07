//! The task failures on a machine, and their consequences for it.

use crate::Micros;
use crate::failure_attribution::AttributedFailures;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The task failures on one machine, and their consequences for it.
#[derive(Debug, Default)]
pub struct MachineHealth {
    /// A cordoned machine gets new tasks only as a last resort, and is deleted when empty.
    cordoned: bool,
    /// The machine gets no new task before this time, since it lacked the resources for one.
    blocked_until: Micros,
    /// The jobs that failed on this machine. Their tasks are placed on other machines.
    failed_jobs: BTreeSet<Rc<str>>,
    /// The failures that are attributed to the machine.
    attributed_failures: AttributedFailures,
}

impl MachineHealth {
    /// Whether the machine is cordoned.
    pub fn is_cordoned(&self) -> bool {
        self.cordoned
    }

    /// The time before which the machine gets no new task.
    pub fn blocked_until(&self) -> Micros {
        self.blocked_until
    }

    /// Excludes the machine from new placements until the time `until`.
    pub fn block_until(&mut self, until: Micros) {
        self.blocked_until = until;
    }

    /// The jobs that failed on this machine.
    pub fn failed_jobs(&self) -> impl Iterator<Item = &Rc<str>> {
        self.failed_jobs.iter()
    }

    /// Records that a task of the job has failed on this machine.
    pub fn record_failed_job(&mut self, job: &Rc<str>) {
        self.failed_jobs.insert(job.clone());
    }

    /// Whether any failure is attributed to the machine. Further failures on it are then no
    /// evidence against a job.
    pub fn has_attributed_failures(&self) -> bool {
        self.attributed_failures.has_failures()
    }

    /// Attributes a failure of the job to the machine, since the job runs on other machines.
    /// Returns whether this causes the machine to be cordoned.
    pub fn attribute_failure(&mut self, job: &Rc<str>) -> bool {
        self.attributed_failures.add(job);
        let newly_cordoned = self.attributed_failures.warrant_cordon() && !self.cordoned;
        self.cordoned |= newly_cordoned;
        newly_cordoned
    }
}
