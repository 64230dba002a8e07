//! Whether messages pass between the controller and a machine.

use crate::Micros;
use crate::time::WORKER_FAILOVER_TIMEOUT;

/// When a machine was last heard from, and whether commands are known to reach it.
///
/// The two directions are kept apart since either may fail alone.
#[derive(Debug)]
pub struct Reachability {
    /// When its last heartbeat came, sent by itself or in reply to commands.
    last_heard_at: Micros,
    /// When its last periodic heartbeat came. Only the replies to these renew the lease
    /// of its tasks: a machine that only replies to commands is about to lose all that
    /// is on it.
    last_heartbeat_at: Micros,
    /// Since when it is not known to receive messages: commands had no reply, and nothing
    /// has shown since that any message reaches it.
    unresponsive_since: Option<Micros>,
}

/// What a periodic heartbeat says of the connection to its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ContactUpdate {
    /// Whether the machine may have become reachable by this heartbeat.
    pub(super) may_have_recovered: bool,
    /// Whether it remains unknown that messages reach the machine.
    pub(super) needs_probe: bool,
}

impl Reachability {
    /// A machine that counts as heard at `now`.
    pub(super) fn new(now: Micros) -> Reachability {
        Reachability {
            last_heard_at: now,
            last_heartbeat_at: now,
            unresponsive_since: None,
        }
    }

    /// When its last heartbeat came, of either kind.
    pub fn last_heard_at(&self) -> Micros {
        self.last_heard_at
    }

    /// When its last periodic heartbeat came.
    pub fn last_heartbeat_at(&self) -> Micros {
        self.last_heartbeat_at
    }

    /// Since when commands to it had no reply.
    pub fn unresponsive_since(&self) -> Option<Micros> {
        self.unresponsive_since
    }

    /// Whether a heartbeat is overdue. `missed_after` is the silence, in microseconds,
    /// by which a machine has missed a heartbeat.
    pub fn has_missed_heartbeat(&self, now: Micros, missed_after: Micros) -> bool {
        now >= self.last_heard_at + missed_after
    }

    /// Whether what is sent to it arrives, as far as is known.
    pub fn is_reachable(&self, now: Micros, missed_after: Micros) -> bool {
        !self.has_missed_heartbeat(now, missed_after) && self.unresponsive_since.is_none()
    }

    /// Whether messages pass both ways, so that a task placed there now is launched and
    /// keeps its lease.
    pub fn is_reachable_both_ways(&self, now: Micros, missed_after: Micros) -> bool {
        now < self.last_heartbeat_at + missed_after && self.unresponsive_since.is_none()
    }

    /// Whether one direction or the other has failed for `duration` or longer.
    pub fn is_unreachable_for(&self, now: Micros, duration: Micros) -> bool {
        let since = self.unresponsive_since.unwrap_or(Micros::MAX);
        now >= self.last_heartbeat_at.min(since).saturating_add(duration)
    }

    /// A heartbeat of either kind came.
    pub(super) fn record_heard(&mut self, now: Micros) {
        self.last_heard_at = now;
    }

    /// Counts the machine as silent since `at`.
    pub(super) fn assume_silent_since(&mut self, at: Micros) {
        self.last_heard_at = at;
        self.last_heartbeat_at = at;
    }

    /// The machine was not heard before `at` at the latest, since it is still booting.
    pub(super) fn bound_last_heard(&mut self, at: Micros) {
        self.last_heard_at = self.last_heard_at.min(at);
    }

    /// Does not count a time in which this node could not hear anybody.
    pub fn exclude_pause(&mut self, duration: Micros, now: Micros) {
        self.last_heard_at = (self.last_heard_at + duration).min(now);
        self.last_heartbeat_at = (self.last_heartbeat_at + duration).min(now);
    }

    /// Commands to it were answered.
    pub fn record_command_reply(&mut self) {
        self.unresponsive_since = None;
    }

    /// Commands to it had no answer, or none that is understood.
    pub fn record_command_failure(&mut self, now: Micros) {
        self.unresponsive_since.get_or_insert(now);
    }

    /// A newer periodic heartbeat came; see [`super::Machine::heartbeat_received`].
    pub(super) fn record_heartbeat(
        &mut self,
        now: Micros,
        new_incarnation: bool,
        proof_after: Micros,
        missed_after: Micros,
    ) -> ContactUpdate {
        let previous = std::mem::replace(&mut self.last_heartbeat_at, now);
        let was_late = now >= previous + missed_after;
        let reply_arrived = |since| previous >= since && now < previous + WORKER_FAILOVER_TIMEOUT;
        match self.unresponsive_since {
            Some(_) if new_incarnation => self.unresponsive_since = Some(now),
            Some(since) if reply_arrived(since) || now >= since + proof_after => {
                self.unresponsive_since = None;
            }
            unresponsive => {
                return ContactUpdate {
                    may_have_recovered: was_late,
                    needs_probe: unresponsive.is_some(),
                };
            }
        }
        ContactUpdate {
            may_have_recovered: true,
            needs_probe: false,
        }
    }
}
