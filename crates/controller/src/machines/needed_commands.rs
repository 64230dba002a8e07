//! The commands that a machine needs.

use super::{Machine, TaskAttempt};
use dillcleat_wire::TaskName;
use dillcleat_wire::worker::Command;
use std::rc::Rc;

impl Machine {
    /// The commands that the machine needs, computed anew each time, so that a lost
    /// message needs no account of its own.
    ///
    /// `is_end_stored` tells whether the end of an exited attempt is in the store: no
    /// attempt is reaped before. Unless this node `may_preempt`, nothing is stopped to run
    /// elsewhere.
    pub fn needed_commands(
        &self,
        may_preempt: bool,
        is_end_stored: impl Fn(&TaskName, u64) -> bool,
    ) -> Vec<Command> {
        let mut commands: Vec<Command> = self.reaps(is_end_stored).collect();
        commands.extend(self.unexpected_task_stops());
        commands.extend(self.cancelled_task_stops());
        commands.extend(self.launches_and_preemptions(may_preempt));
        commands
    }

    /// Has exited attempts removed whose end is stored. After a reap the worker would
    /// start a late launch of the same attempt again, so it keeps what may still be
    /// launched.
    fn reaps(
        &self,
        is_end_stored: impl Fn(&TaskName, u64) -> bool,
    ) -> impl Iterator<Item = Command> {
        let settled = self.exited.iter().filter(move |launch| {
            is_end_stored(&launch.task, launch.attempt)
                && !self.command_state.may_still_launch(launch)
        });
        settled.map(|exited| Command::Reap {
            task: exited.task.clone(),
            attempt: exited.attempt,
        })
    }

    fn unexpected_task_stops(&self) -> impl Iterator<Item = Command> {
        self.unexpected.iter().map(TaskAttempt::stop_command)
    }

    /// The stops of cancelled tasks that were seen here.
    pub fn cancelled_task_stops(&self) -> impl Iterator<Item = Command> {
        self.slots
            .iter()
            .filter(|(_, slot)| {
                slot.cancelled
                    && slot.incarnation == self.incarnation()
                    && slot.is_stored_and_seen()
            })
            .map(|(key, slot)| slot.task_attempt(key).stop_command())
    }

    fn launches_and_preemptions(&self, may_preempt: bool) -> impl Iterator<Item = Command> {
        let current = self.slots.iter().filter(|(_, slot)| {
            slot.incarnation == self.incarnation() && slot.stored && !slot.cancelled
        });
        current.filter_map(move |(key, slot)| {
            if slot.preempted {
                let stop = slot.seen.is_some() && may_preempt;
                return stop.then(|| slot.task_attempt(key).stop_command());
            }
            if slot.seen.is_some() {
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

    /// Records which launches the reply to the latest heartbeat carries.
    pub fn record_reply_launches(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, attempt } = command
                && let Some(slot) = self
                    .slots
                    .get_mut(&(Rc::from(task.job.as_str()), task.index))
                && slot.attempt == *attempt
            {
                slot.launch_replied_to = Some(self.position);
            }
        }
    }
}
