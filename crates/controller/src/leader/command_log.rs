//! What a leader logs about its machines and commands: one line for many machines.

use super::Leader;
use crate::command_counters::CommandCounters;
use crate::machines::{Machine, TaskAttempt};
use crate::{Micros, SECOND};

/// The time from one summary to the next.
const SUMMARY_INTERVAL: Micros = 60 * SECOND;

/// The events that are logged in summaries.
#[derive(Debug, Default)]
pub(super) struct CommandLog {
    /// Without `unreaped_exits`, which are counted when they are needed.
    counters: CommandCounters,
    /// Machines known from the store that have sent a heartbeat in this term.
    recovered_up: usize,
    next_summary_at: Micros,
    /// The latest summary.
    summary: (CommandCounters, usize),
}

impl CommandLog {
    /// Schedules the first summary of a term.
    pub fn begin(&mut self, first_summary_at: Micros) {
        self.next_summary_at = first_summary_at;
    }

    /// Counts a batch that a worker refused.
    pub fn record_refused_batch(&mut self) {
        self.counters.refused_batches += 1;
    }

    /// Records the number of tasks that a heartbeat lists.
    pub fn record_listed_tasks(&mut self, tasks: usize) {
        let counters = &mut self.counters;
        counters.max_listed_tasks = counters.max_listed_tasks.max(tasks as u64);
    }

    /// Counts a machine known from the store that has sent its first heartbeat of the term.
    pub fn record_recovered_up(&mut self) {
        self.recovered_up += 1;
    }

    /// Logs and counts the attempts that the machine runs although they are not placed on it,
    /// except those that were known.
    pub fn record_unplaced(&mut self, machine: &Machine, known: &[TaskAttempt], token: u64) {
        let attempts = machine.unplaced_attempts().iter();
        for unplaced in attempts.filter(|attempt| !known.contains(attempt)) {
            self.counters.returned_launches += 1;
            let (name, task, attempt) = (&machine.name, &unplaced.task, unplaced.attempt);
            log::info!(
                "attempt runs that is not placed, stopping it job={} task={} attempt={attempt} \
                 machine={name} token={token}",
                task.job,
                task.index
            );
        }
    }
}

impl Leader {
    /// What became of the commands of this term.
    pub fn command_counters(&self) -> CommandCounters {
        let machines = self.machines.iter();
        let exits = machines.map(|(_, machine)| machine.exited_attempts() as u64);
        CommandCounters {
            unreaped_exits: exits.sum(),
            ..self.command_log.counters
        }
    }

    /// Logs a summary if one is due and differs from the latest.
    pub(super) fn log_command_summary(&mut self, now: Micros) {
        if now < self.command_log.next_summary_at {
            return;
        }
        self.command_log.next_summary_at = now + SUMMARY_INTERVAL;
        let summary = (self.command_counters(), self.command_log.recovered_up);
        if summary == self.command_log.summary {
            return;
        }
        self.command_log.summary = summary;
        let (counters, recovered_up) = summary;
        log::info!(
            "command summary term={} machines={} recovered_machines_up={recovered_up} \
             refused_batches={} returned_launches={} unreaped_exits={} max_listed_tasks={}",
            self.term,
            self.machines.len(),
            counters.refused_batches,
            counters.returned_launches,
            counters.unreaped_exits,
            counters.max_listed_tasks
        );
    }
}
