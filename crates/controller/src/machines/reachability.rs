//! Whether messages pass between the controller and a machine.

use crate::Micros;
use crate::time::WORKER_FAILOVER_TIMEOUT;

/// When the latest heartbeats of a machine arrived, and whether messages are known to reach
/// the machine.
///
/// The two directions are tracked separately since either may fail alone.
#[derive(Debug)]
pub struct Reachability {
    /// Arrival of the latest heartbeat, periodic or in reply to commands.
    last_contact_at: Micros,
    /// Arrival of the latest periodic heartbeat. Only the replies to these renew the
    /// worker's lease, so a machine that only replies to commands will lose its tasks.
    last_heartbeat_at: Micros,
    /// When commands first had no reply, if nothing has shown since then that messages
    /// reach the machine.
    commands_unanswered_since: Option<Micros>,
}

/// How a periodic heartbeat changed what is known of the connection to its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ContactUpdate {
    /// Whether the machine may have become reachable by this heartbeat.
    pub(super) may_have_recovered: bool,
    /// Whether it is still unknown if messages reach the machine.
    pub(super) needs_probe: bool,
}

impl Reachability {
    /// The initial state of a machine: the last contact is taken to be at `now`.
    pub(super) fn new(now: Micros) -> Reachability {
        Reachability {
            last_contact_at: now,
            last_heartbeat_at: now,
            commands_unanswered_since: None,
        }
    }

    /// Arrival of the latest heartbeat, periodic or in reply to commands.
    pub fn last_contact_at(&self) -> Micros {
        self.last_contact_at
    }

    /// Arrival of the latest periodic heartbeat.
    pub fn last_heartbeat_at(&self) -> Micros {
        self.last_heartbeat_at
    }

    /// When commands first had no reply, if nothing has shown since then that messages
    /// reach the machine.
    pub fn commands_unanswered_since(&self) -> Option<Micros> {
        self.commands_unanswered_since
    }

    /// Whether a heartbeat is overdue: no heartbeat arrived for `missed_after`.
    pub fn has_missed_heartbeat(&self, now: Micros, missed_after: Micros) -> bool {
        now >= self.last_contact_at + missed_after
    }

    /// Whether heartbeats arrive and, as far as is known, messages reach the machine.
    pub fn is_reachable(&self, now: Micros, missed_after: Micros) -> bool {
        !self.has_missed_heartbeat(now, missed_after) && self.commands_unanswered_since.is_none()
    }

    /// Like [`is_reachable`](Self::is_reachable), but only periodic heartbeats count, so
    /// that a task placed now can be launched and its lease is renewed.
    pub fn is_reachable_both_ways(&self, now: Micros, missed_after: Micros) -> bool {
        now < self.last_heartbeat_at + missed_after && self.commands_unanswered_since.is_none()
    }

    /// Whether either direction has failed for `duration` or longer.
    pub fn is_unreachable_for(&self, now: Micros, duration: Micros) -> bool {
        let since = self.commands_unanswered_since.unwrap_or(Micros::MAX);
        now >= self.last_heartbeat_at.min(since).saturating_add(duration)
    }

    /// Records the arrival of a heartbeat, periodic or in reply to commands.
    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = now;
    }

    /// Treats the machine as unresponsive since `at`.
    pub(super) fn assume_unresponsive_since(&mut self, at: Micros) {
        self.last_contact_at = at;
        self.last_heartbeat_at = at;
    }

    /// Treats the machine as unresponsive since `at` or earlier, since it is still booting.
    pub(super) fn limit_last_contact(&mut self, at: Micros) {
        self.last_contact_at = self.last_contact_at.min(at);
    }

    /// Excludes a pause of this process from the time without heartbeats.
    pub fn exclude_pause(&mut self, duration: Micros, now: Micros) {
        self.last_contact_at = (self.last_contact_at + duration).min(now);
        self.last_heartbeat_at = (self.last_heartbeat_at + duration).min(now);
    }

    /// Records that the machine replied to commands.
    pub fn record_command_reply(&mut self) {
        self.commands_unanswered_since = None;
    }

    /// Records that the machine did not reply to commands, or that the reply was malformed.
    pub fn record_command_failure(&mut self, now: Micros) {
        self.commands_unanswered_since.get_or_insert(now);
    }

    /// Records a newer periodic heartbeat; see [`super::Machine::heartbeat_received`].
    pub(super) fn record_heartbeat(
        &mut self,
        now: Micros,
        new_incarnation: bool,
        lease_proof_after: Micros,
        missed_after: Micros,
    ) -> ContactUpdate {
        let previous = std::mem::replace(&mut self.last_heartbeat_at, now);
        let was_late = now >= previous + missed_after;
        let reply_arrived = |since| previous >= since && now < previous + WORKER_FAILOVER_TIMEOUT;
        match self.commands_unanswered_since {
            Some(_) if new_incarnation => self.commands_unanswered_since = Some(now),
            Some(since) if reply_arrived(since) || now >= since + lease_proof_after => {
                self.commands_unanswered_since = None;
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
