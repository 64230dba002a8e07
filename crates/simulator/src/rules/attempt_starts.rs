//! The rule that an attempt starts at most once on a machine, however often its launch command
//! arrives.

use super::{Checker, Rule};
use dillcleat_controller::Micros;
use dillcleat_wire::TaskName;
use std::collections::{BTreeMap, BTreeSet};

/// The attempts that have started, by machine.
#[derive(Debug, Default, Clone)]
pub(super) struct AttemptStarts {
    by_machine: BTreeMap<String, BTreeSet<(TaskName, u64)>>,
}

impl AttemptStarts {
    /// Records a start. Returns whether it is the first one of the attempt on the machine.
    fn record(&mut self, task: &TaskName, attempt: u64, machine: &str) -> bool {
        let starts = self.by_machine.entry(machine.to_string()).or_default();
        starts.insert((task.clone(), attempt))
    }
}

impl Checker {
    /// Records that an attempt of a task starts on a machine.
    pub fn attempt_started(&mut self, task: &TaskName, attempt: u64, machine: &str, now: Micros) {
        if !self.attempt_starts.record(task, attempt, machine) {
            let what = format!("{task}: attempt {attempt} starts again on {machine}");
            self.report_violation(Rule::AttemptStartedAgain, now, what);
        }
    }
}
