//! Which machines are sent commands, and when.
//!
//! Batches that carry commands go first, then those that only raise the fencing token or
//! ask whether a machine is there. The number in flight at once is bounded: a new leader
//! of ten thousand machines once sent ten thousand requests in one turn, more than it has
//! sockets, and their replies were queued before the heartbeats on which leases depend.

use super::{Leader, LeaderEvent, RETRY_INTERVAL};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::machines::HeartbeatSource;
use crate::{CallId, Micros, SECOND};
use dillcleat_wire::worker::{CommandBatch, Heartbeat};
use std::collections::BTreeSet;
use std::rc::Rc;

/// How urgent it is that a machine is sent a batch of commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum DispatchPriority {
    /// The machine is to see the fencing token, or to show that it is there.
    Background,
    /// Commands wait for the machine.
    Urgent,
}

/// A machine that is sent commands at a later time. The order of the fields is the order
/// of dispatch.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDispatch {
    at: Micros,
    machine: Rc<str>,
    priority: DispatchPriority,
}

/// The machines that wait to be sent commands, and how many batches are in flight.
///
/// A machine is in one of the two sets of those that wait, and may be among the delayed
/// ones as well; an entry that is not needed any more is skipped when its turn comes.
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

    /// Commands wait for the machine: it is sent them as soon as may be.
    pub fn enqueue_urgent(&mut self, machine: Rc<str>) {
        self.enqueue(machine, DispatchPriority::Urgent);
    }

    /// The machine is to see the fencing token, or to show that it is there.
    pub fn enqueue_background(&mut self, machine: Rc<str>) {
        self.enqueue(machine, DispatchPriority::Background);
    }

    /// The machine is to see the fencing token, but not before `at`.
    pub fn enqueue_background_at(&mut self, at: Micros, machine: Rc<str>) {
        self.enqueue_at(at, machine, DispatchPriority::Background);
    }

    /// Has the machine sent commands. A higher priority stands.
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

    /// Has the machine sent commands, but not before `at`.
    fn enqueue_at(&mut self, at: Micros, machine: Rc<str>, priority: DispatchPriority) {
        self.delayed.insert(DelayedDispatch {
            at,
            machine,
            priority,
        });
    }

    /// The next machine to send commands to. Half of what may be in flight is left to
    /// urgent ones.
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

/// What became of a batch of commands.
struct CommandOutcome {
    /// The heartbeat in the machine's reply.
    heartbeat: Option<Heartbeat>,
    /// Whether its launches may be carried out at a later time.
    unanswered: bool,
}

impl CommandOutcome {
    fn of(machine: &str, reply: &Result<(u16, Vec<u8>), CallError>) -> CommandOutcome {
        let heartbeat = match reply {
            Ok((200 | 409, body)) => decode_heartbeat(machine, body),
            _ => None,
        };
        // Nothing arrives of what was not sent, and nothing was done on a refusal. All
        // else may be carried out at any time.
        let unanswered = match reply {
            Err(CallError::NotSent) | Ok((409 | 400, _)) => false,
            Ok((200, _)) => heartbeat.is_none(),
            _ => true,
        };
        CommandOutcome {
            heartbeat,
            unanswered,
        }
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
    /// Sends commands to the machines whose turn it is.
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
        // One batch at a time: when the one in flight ends, the machine is looked at again.
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
        let waiter = self.continuation(LeaderStep::SendCommands {
            machine: name.to_string(),
        });
        // Nothing is derived from what sending a batch changes.
        let index = self.machines.index_of(&name);
        let Some(machine) = index.and_then(|index| self.machines.get_mut_unmarked(index)) else {
            return;
        };
        let is_probe = machine.command_state.take_request();
        if machine.is_ready() && commands.is_empty() && !is_probe {
            return;
        }
        let sent = commands.clone();
        let batch = CommandBatch {
            fencing_token: self.term,
            incarnation: machine.incarnation(),
            commands,
        };
        let addr = machine.addr.clone().unwrap_or_default();
        let call = ctx.send_commands(addr, batch, waiter);
        machine.command_state.record_sent(call, &sent);
        self.command_dispatch.record_sent();
    }

    /// The call that carried a batch of commands has ended.
    pub fn commands_reply(
        &mut self,
        ctx: &mut Context,
        call: CallId,
        name: &str,
        reply: Result<(u16, Vec<u8>), CallError>,
    ) {
        let now = ctx.now.monotonic;
        self.command_dispatch.record_finished();
        let outcome = CommandOutcome::of(name, &reply);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine
            .command_state
            .record_finished(call, outcome.unanswered);
        // A machine that does not answer does not take the turns of those that do.
        let priority = if outcome.heartbeat.is_some() {
            machine.reachability.record_command_reply();
            DispatchPriority::Urgent
        } else {
            machine.reachability.record_command_failure(now);
            DispatchPriority::Background
        };
        match outcome.heartbeat {
            Some(heartbeat) => self.apply_command_reply(ctx, name, &heartbeat),
            None => machine.command_state.request_at(now + SECOND),
        }
        // Also what was requested while this batch was in flight.
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
            // The incarnation was another than thought: again with the right one.
            machine
                .command_state
                .request_at(ctx.now.monotonic + RETRY_INTERVAL);
        }
    }
}

#[cfg(test)]
mod tests;
