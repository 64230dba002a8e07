//! Commands to one machine: whether any are to be sent, and which launches may still be
//! carried out.

use super::TaskAttempt;
use crate::{CallId, Micros};
use dillcleat_wire::worker::Command;
use std::collections::BTreeSet;

/// A batch of commands that was sent and has no reply yet.
#[derive(Debug)]
struct CommandsInFlight {
    call: CallId,
    launches: Vec<TaskAttempt>,
}

/// What is to be sent to a machine, and what was sent.
#[derive(Debug, Default)]
pub struct CommandState {
    in_flight: Option<CommandsInFlight>,
    /// Whether a batch is to be sent, be it an empty one.
    requested: bool,
    /// Whether an empty batch is to be sent as well, to see whether the machine is there.
    probe_requested: bool,
    /// No batch is sent before this time.
    not_before: Micros,
    /// Launches of this incarnation that were sent and not answered: they may be
    /// carried out minutes later.
    unanswered_launches: BTreeSet<TaskAttempt>,
}

impl CommandState {
    /// Whether a batch is to be sent.
    pub fn is_requested(&self) -> bool {
        self.requested
    }

    /// Whether the machine is to be asked if it is there.
    pub fn is_probe_requested(&self) -> bool {
        self.probe_requested
    }

    /// Whether a batch was sent that has no reply yet.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// No batch is sent before this time.
    pub fn not_before(&self) -> Micros {
        self.not_before
    }

    /// A batch is to be sent, not before the time that holds already.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// A batch is to be sent, and not before `at`.
    pub fn request_at(&mut self, at: Micros) {
        self.requested = true;
        self.not_before = at;
    }

    /// A batch is to be sent even if no command is needed.
    pub fn request_probe(&mut self) {
        self.probe_requested = true;
        self.requested = true;
    }

    /// The reply to a heartbeat has carried what was to be sent.
    pub fn clear_request(&mut self) {
        self.requested = false;
    }

    /// A batch is being made up. Returns whether it is to be sent though it is empty.
    pub fn take_request(&mut self) -> bool {
        self.requested = false;
        std::mem::take(&mut self.probe_requested)
    }

    /// A batch was sent.
    pub fn record_sent(&mut self, call: CallId, commands: &[Command]) {
        let launches = commands
            .iter()
            .filter_map(|command| match command {
                Command::Launch { task, attempt } => Some(TaskAttempt {
                    task: task.clone(),
                    attempt: *attempt,
                }),
                _ => None,
            })
            .collect();
        self.in_flight = Some(CommandsInFlight { call, launches });
    }

    /// The call that carried a batch has ended. If it is `unanswered`, its launches may
    /// still be carried out.
    pub fn record_finished(&mut self, call: CallId, unanswered: bool) {
        if let Some(batch) = self.in_flight.take_if(|batch| batch.call == call)
            && unanswered
        {
            self.unanswered_launches.extend(batch.launches);
        }
    }

    /// Whether the batch in flight holds the launch.
    pub(super) fn is_launch_in_flight(&self, launch: &TaskAttempt) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|batch| batch.launches.contains(launch))
    }

    /// Whether a launch that was sent as a command may be carried out at any time.
    pub(super) fn may_still_launch(&self, launch: &TaskAttempt) -> bool {
        self.unanswered_launches.contains(launch) || self.is_launch_in_flight(launch)
    }

    /// Forgets launches for an earlier incarnation, since those are refused.
    pub(super) fn forget_unanswered_launches(&mut self) {
        self.unanswered_launches.clear();
    }
}
