//! The commands to one machine: whether a batch is to be sent, and the batch in flight.

use super::TaskAttempt;
use crate::{CallId, Micros};
use dillcleat_wire::worker::Command;

/// A command batch that was sent and has no reply yet.
#[derive(Debug)]
struct CommandsInFlight {
    call: CallId,
    launches: Vec<TaskAttempt>,
}

/// The state of the commands to one machine.
#[derive(Debug, Default)]
pub struct CommandState {
    in_flight: Option<CommandsInFlight>,
    /// Whether the commands that the machine needs are to be computed and sent.
    requested: bool,
    probe_requested: bool,
    /// No batch is sent before this time.
    not_before: Micros,
}

impl CommandState {
    /// Whether a batch is to be sent.
    pub fn is_requested(&self) -> bool {
        self.requested
    }

    /// Whether a batch is to be sent even if it is empty, to probe the machine.
    pub fn is_probe_requested(&self) -> bool {
        self.probe_requested
    }

    /// Whether a batch has been sent and has no reply yet.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The time before which no batch is sent.
    pub fn not_before(&self) -> Micros {
        self.not_before
    }

    /// Requests a batch, without changing the time before which none is sent.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Requests a batch that is not sent before `at`.
    pub fn request_at(&mut self, at: Micros) {
        self.requested = true;
        self.not_before = at;
    }

    /// Requests a batch that is sent even if it is empty.
    pub fn request_probe(&mut self) {
        self.probe_requested = true;
        self.requested = true;
    }

    /// Clears the request, but not a requested probe, after the commands were sent in the reply
    /// to a heartbeat.
    pub fn clear_request(&mut self) {
        self.requested = false;
    }

    /// Clears the request before a batch is built. Returns whether the batch is to be sent
    /// even if it is empty.
    pub fn take_request(&mut self) -> bool {
        self.requested = false;
        std::mem::take(&mut self.probe_requested)
    }

    /// Records that a batch was sent.
    pub fn record_sent(&mut self, call: CallId, commands: &[Command]) {
        let launches = TaskAttempt::launched_by(commands).collect();
        self.in_flight = Some(CommandsInFlight { call, launches });
    }

    /// Records that the call that carried a batch has ended.
    pub fn record_finished(&mut self, call: CallId) {
        self.in_flight.take_if(|batch| batch.call == call);
    }

    /// Whether the batch in flight contains the launch.
    pub(super) fn is_launch_in_flight(&self, launch: &TaskAttempt) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|batch| batch.launches.contains(launch))
    }
}
