//! The commands to one machine: whether a batch is to be sent, and which launches may still
//! be executed.
//!
//! A launch is sent in a command batch or in the reply to a heartbeat, and several may be on
//! their way for the same attempt. Each is tracked here until it is proved that the worker
//! has executed or dropped it, whatever has become of the attempt meanwhile.

use super::{HeartbeatPosition, TaskAttempt};
use crate::{CallId, Micros};
use dillcleat_wire::worker::Command;
use std::collections::{BTreeMap, BTreeSet};

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
    /// The launches of the current incarnation that were sent and got no reply. Kept until the
    /// next incarnation, since a delayed command may be executed at any time.
    unanswered_launches: BTreeSet<TaskAttempt>,
    /// The launches of the current incarnation in replies to heartbeats that the worker may not
    /// have received yet, each with the latest of these heartbeats.
    reply_launches: BTreeMap<TaskAttempt, HeartbeatPosition>,
}

/// The attempts that the commands launch.
fn launched_attempts(commands: &[Command]) -> impl Iterator<Item = TaskAttempt> {
    commands.iter().filter_map(|command| match command {
        Command::Launch { task, attempt } => Some(TaskAttempt {
            task: task.clone(),
            attempt: *attempt,
        }),
        _ => None,
    })
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
        let launches = launched_attempts(commands).collect();
        self.in_flight = Some(CommandsInFlight { call, launches });
    }

    /// Records that the call that carried a batch has ended. If it is `unanswered`, its
    /// launches may still be executed.
    pub fn record_finished(&mut self, call: CallId, unanswered: bool) {
        if let Some(batch) = self.in_flight.take_if(|batch| batch.call == call)
            && unanswered
        {
            self.unanswered_launches.extend(batch.launches);
        }
    }

    /// Records that commands were sent in the reply to the heartbeat at `replied_to`.
    pub(super) fn record_reply(&mut self, replied_to: HeartbeatPosition, commands: &[Command]) {
        let launches = launched_attempts(commands);
        self.reply_launches
            .extend(launches.map(|launch| (launch, replied_to)));
    }

    /// Records that the worker has sent a periodic heartbeat. At most one of these is in
    /// flight at a time, so the worker has executed or dropped the replies to all earlier ones.
    pub(super) fn settle_replies_before(&mut self, periodic: HeartbeatPosition) {
        self.reply_launches
            .retain(|_, replied_to| *replied_to >= periodic);
    }

    /// Whether the batch in flight contains the launch.
    pub(super) fn is_launch_in_flight(&self, launch: &TaskAttempt) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|batch| batch.launches.contains(launch))
    }

    /// Whether a launch that was sent, in a command batch or in the reply to a heartbeat, may
    /// still be executed.
    pub(super) fn may_still_launch(&self, launch: &TaskAttempt) -> bool {
        self.unanswered_launches.contains(launch)
            || self.reply_launches.contains_key(launch)
            || self.is_launch_in_flight(launch)
    }

    /// Clears the launches for earlier incarnations, which the worker rejects.
    pub(super) fn begin_incarnation(&mut self) {
        self.unanswered_launches.clear();
        self.reply_launches.clear();
    }
}
