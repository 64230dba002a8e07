//! Dispatch of command batches to machines.
//!
//! Batches with commands take precedence over those that only announce the fencing token
//! or probe a machine. The number of batches in flight is bounded: otherwise a new leader
//! of a large fleet could exhaust its sockets, and the replies would delay the heartbeats
//! that renew leases.

use super::{Leader, LeaderEvent, RETRY_INTERVAL};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::machines::HeartbeatSource;
use crate::{CallId, Micros, SECOND};
use dillcleat_wire::worker::{CommandBatch, Heartbeat};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The priority of sending a command batch to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum DispatchPriority {
    /// The batch only announces the fencing token or probes the machine.
    Background,
    /// The batch contains commands.
    Urgent,
}

/// A machine to which a batch is sent at a later time. Ordered by time first, so that the
/// first entries are those that are due.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDispatch {
    at: Micros,
    machine: Rc<str>,
    priority: DispatchPriority,
}

/// The machines to which batches are to be sent, and the number of batches in flight.
///
/// A machine is in at most one of `urgent` and `background`, and may also be in `delayed`.
/// Entries that have become unnecessary are skipped when they are taken. Machines of equal
/// priority are served in the order of their names.
#[derive(Debug)]
pub(super) struct CommandDispatch {
    urgent: BTreeSet<Rc<str>>,
    background: BTreeSet<Rc<str>>,
    delayed: BTreeSet<DelayedDispatch>,
    in_flight: usize,
    max_in_flight: usize,
}

impl CommandDispatch {
    pub fn new(max_in_flight: usize) -> CommandDispatch {
        CommandDispatch {
            urgent: BTreeSet::new(),
            background: BTreeSet::new(),
            delayed: BTreeSet::new(),
            in_flight: 0,
            max_in_flight,
        }
    }

    /// Queues a batch with commands for the machine.
    pub fn enqueue_urgent(&mut self, machine: Rc<str>) {
        self.enqueue(machine, DispatchPriority::Urgent);
    }

    /// Queues a batch that announces the fencing token to the machine or probes it.
    pub fn enqueue_background(&mut self, machine: Rc<str>) {
        self.enqueue(machine, DispatchPriority::Background);
    }

    /// Queues a batch that announces the fencing token, to be sent at `at` or later.
    pub fn enqueue_background_at(&mut self, at: Micros, machine: Rc<str>) {
        self.enqueue_at(at, machine, DispatchPriority::Background);
    }

    /// Queues a batch for the machine. A higher priority takes precedence over a lower one.
    fn enqueue(&mut self, machine: Rc<str>, priority: DispatchPriority) {
        match priority {
            DispatchPriority::Urgent => {
                self.background.remove(&machine);
                self.urgent.insert(machine);
            }
            DispatchPriority::Background => {
                if !self.urgent.contains(&machine) {
                    self.background.insert(machine);
                }
            }
        }
    }

    /// Queues a batch for the machine, to be sent at `at` or later.
    fn enqueue_at(&mut self, at: Micros, machine: Rc<str>, priority: DispatchPriority) {
        self.delayed.insert(DelayedDispatch {
            at,
            machine,
            priority,
        });
    }

    /// Takes the next machine to which a batch is sent. Half of the batches in flight are
    /// reserved for urgent ones.
    fn next(&mut self, now: Micros) -> Option<Rc<str>> {
        while self
            .delayed
            .first()
            .is_some_and(|delayed| delayed.at <= now)
        {
            if let Some(delayed) = self.delayed.pop_first() {
                self.enqueue(delayed.machine, delayed.priority);
            }
        }
        if self.in_flight < self.max_in_flight
            && let Some(machine) = self.urgent.pop_first()
        {
            return Some(machine);
        }
        if self.in_flight < self.max_in_flight.div_ceil(2) {
            return self.background.pop_first();
        }
        None
    }

    fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// The heartbeat in the reply to a command batch; None if there is no valid reply.
fn heartbeat_in_reply(
    machine: &str,
    reply: &Result<(u16, Vec<u8>), CallError>,
) -> Option<Heartbeat> {
    match reply {
        Ok((200 | 409, body)) => decode_heartbeat(machine, body),
        _ => None,
    }
}

fn decode_heartbeat(machine: &str, body: &[u8]) -> Option<Heartbeat> {
    match dillcleat_wire::decode::<Heartbeat>(body) {
        Ok(heartbeat) => (heartbeat.machine == machine).then_some(heartbeat),
        Err(error) => {
            log::error!("reply to commands is not a heartbeat machine={machine} error={error}");
            None
        }
    }
}

impl Leader {
    /// Sends batches to the queued machines, up to the limit on batches in flight.
    pub(super) fn send_commands(&mut self, ctx: &mut Context) {
        if !self.may_answer_heartbeats(ctx) {
            return;
        }
        while let Some(name) = self.command_dispatch.next(ctx.now.monotonic) {
            self.send_commands_to(ctx, name);
        }
    }

    fn send_commands_to(&mut self, ctx: &mut Context, name: Rc<str>) {
        let Some(machine) = self.machines.get(&name) else {
            return;
        };
        let state = &machine.command_state;
        // Only one batch is in flight to a machine at a time. When it ends, the machine is
        // queued again if commands are requested.
        if !state.is_requested() || state.is_in_flight() || machine.addr.is_none() {
            return;
        }
        if ctx.now.monotonic < state.not_before() {
            let at = state.not_before();
            self.command_dispatch
                .enqueue_at(at, name, DispatchPriority::Urgent);
            return;
        }
        let commands = if machine.is_ready() {
            self.permitted_commands(ctx, machine)
        } else {
            Vec::new()
        };
        let continuation = self.continuation(LeaderStep::SendCommands {
            machine: name.to_string(),
        });
        // Sending a batch changes nothing that the derived state depends on.
        let index = self.machines.index_of(&name);
        let Some(machine) = index.and_then(|index| self.machines.get_mut_unmarked(index)) else {
            return;
        };
        let is_probe = machine.command_state.take_request();
        if machine.is_ready() && commands.is_empty() && !is_probe {
            return;
        }
        machine.launch_fence.record_sent(&commands);
        let sent = commands.clone();
        let batch = CommandBatch {
            fencing_token: machine.launch_fence.token(),
            incarnation: machine.incarnation(),
            commands,
        };
        let addr = machine.addr.clone().unwrap_or_default();
        let call = ctx.send_commands(addr, batch, continuation);
        machine.command_state.record_sent(call, &sent);
        self.command_dispatch.record_sent();
    }

    /// Handles the end of the call that sent a command batch.
    pub fn commands_reply(
        &mut self,
        ctx: &mut Context,
        call: CallId,
        name: &str,
        reply: Result<(u16, Vec<u8>), CallError>,
    ) {
        let now = ctx.now.monotonic;
        self.command_dispatch.record_finished();
        if matches!(reply, Ok((409, _))) {
            self.command_log.record_refused_batch();
        }
        let heartbeat = heartbeat_in_reply(name, &reply);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.command_state.record_finished(call);
        // Retries to machines that don't answer must not delay urgent batches to others.
        let priority = if heartbeat.is_some() {
            machine.reachability.record_command_reply();
            DispatchPriority::Urgent
        } else {
            machine.reachability.record_command_failure(now);
            DispatchPriority::Background
        };
        match heartbeat {
            Some(heartbeat) => self.apply_command_reply(ctx, name, &heartbeat),
            None => machine.command_state.request_at(now + SECOND),
        }
        // This includes requests made while the batch was in flight.
        if let Some(machine) = self.machines.get(name)
            && machine.command_state.is_requested()
        {
            let at = machine.command_state.not_before().max(now);
            self.command_dispatch
                .enqueue_at(at, machine.name.clone(), priority);
        }
    }

    /// Applies the heartbeat in a reply to commands.
    fn apply_command_reply(&mut self, ctx: &Context, name: &str, heartbeat: &Heartbeat) {
        if heartbeat.fencing_token > self.term {
            self.events
                .push(LeaderEvent::HigherTerm(heartbeat.fencing_token));
            return;
        }
        let was_ready = self
            .machines
            .get(name)
            .is_some_and(|machine| machine.is_ready());
        self.apply_heartbeat(ctx, heartbeat, HeartbeatSource::CommandReply);
        if let Some(machine) = self.machines.get_mut(name)
            && !machine.is_ready()
            && !was_ready
        {
            // The worker did not accept the batch because it named an outdated incarnation. Send
            // it again with the current one.
            machine
                .command_state
                .request_at(ctx.now.monotonic + RETRY_INTERVAL);
        }
    }
}

#[cfg(test)]
mod tests;
