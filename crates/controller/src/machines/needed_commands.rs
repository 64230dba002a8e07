//! Computes the commands that bring a machine into the desired state.

use super::{Machine, TaskAttempt};
use dillcleat_wire::TaskName;
use dillcleat_wire::worker::Command;

impl Machine {
    /// The commands that the machine needs. They are computed from the current state each
    /// time, so lost messages need not be tracked.
    ///
    /// `is_end_stored` returns whether the end of an exited attempt is stored; attempts are
    /// reaped only after that. Stop commands for preempted tasks are included only if
    /// `may_preempt` is set.
    pub fn needed_commands(
        &self,
        may_preempt: bool,
        is_end_stored: impl Fn(&TaskName, u64) -> bool,
    ) -> Vec<Command> {
        let mut commands: Vec<Command> = self.reap_commands(is_end_stored).collect();
        commands.extend(self.unplaced_attempt_stops());
        commands.extend(self.cancelled_task_stops());
        commands.extend(self.launches_and_preemptions(may_preempt));
        commands
    }

    /// The commands that remove exited attempts whose end is stored. An attempt is reaped only
    /// under a higher token than its launches, since a copy of one could start it again.
    fn reap_commands(
        &self,
        is_end_stored: impl Fn(&TaskName, u64) -> bool,
    ) -> impl Iterator<Item = Command> {
        let reapable = self.exited.iter().filter(move |exited| {
            is_end_stored(&exited.task, exited.attempt) && self.launch_fence.fences_off(exited)
        });
        reapable.map(|exited| Command::Reap {
            task: exited.task.clone(),
            attempt: exited.attempt,
        })
    }

    fn unplaced_attempt_stops(&self) -> impl Iterator<Item = Command> {
        self.unplaced_attempts.iter().map(TaskAttempt::stop_command)
    }

    /// The commands that stop cancelled tasks that a heartbeat has listed.
    pub fn cancelled_task_stops(&self) -> impl Iterator<Item = Command> {
        self.slots
            .iter()
            .filter(|(_, slot)| {
                slot.cancelled
                    && slot.incarnation == self.incarnation()
                    && slot.is_stored_and_reported()
            })
            .map(|(key, slot)| slot.task_attempt(key).stop_command())
    }

    fn launches_and_preemptions(&self, may_preempt: bool) -> impl Iterator<Item = Command> {
        let current = self.slots.iter().filter(|(_, slot)| {
            slot.incarnation == self.incarnation() && slot.stored && !slot.cancelled
        });
        current.filter_map(move |(key, slot)| {
            if slot.preempted {
                let stop = slot.reported_state.is_some() && may_preempt;
                return stop.then(|| slot.task_attempt(key).stop_command());
            }
            if slot.reported_state.is_some() {
                return None;
            }
            let launch = slot.task_attempt(key);
            if self.command_state.is_launch_in_flight(&launch) {
                return None;
            }
            Some(Command::Launch {
                task: launch.task,
                attempt: launch.attempt,
            })
        })
    }
}
