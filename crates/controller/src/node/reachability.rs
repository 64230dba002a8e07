//! What this node can reach, and what follows: its health, and whether it should leave
//! the lead to a peer.

use super::Node;
use crate::calls::Context;
use crate::election::{Election, LeadershipChange};
use crate::time::WORKER_FAILOVER_TIMEOUT;
use crate::{Micros, Output, SECOND, Timestamp};

/// How long a response of the store or a heartbeat of a worker shows that these are
/// reachable.
const REACHABLE_FOR: Micros = 3 * SECOND;

/// Evidence that the store and the workers are reachable from this node.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    /// When the store last answered, with anything but "unavailable".
    store_answered_at: Option<Micros>,
    /// When a worker's heartbeat last arrived; 0 before the first.
    worker_heartbeat_at: Micros,
}

impl Reachability {
    pub fn record_store_response(&mut self, now: Micros) {
        self.store_answered_at = Some(now);
    }

    pub fn record_worker_heartbeat(&mut self, now: Micros) {
        self.worker_heartbeat_at = now;
    }

    /// Whether the store has answered lately.
    pub fn store_reachable(&self, now: Micros) -> bool {
        self.store_answered_at
            .is_some_and(|at| now < at + REACHABLE_FOR)
    }

    /// Whether a heartbeat of a worker has arrived lately.
    pub fn workers_reachable(&self, now: Micros) -> bool {
        now < self.worker_heartbeat_at + REACHABLE_FOR
    }
}

impl Node {
    /// Whether a load balancer should send requests here. In an outage of the store for
    /// all, nodes stay in service and report it with each answer; a node that alone
    /// cannot reach the store leaves the users to its peers.
    pub(super) fn is_healthy(&self, now: Timestamp) -> bool {
        if self.reachability.store_answered_at.is_none() || self.election.machine_types().is_none()
        {
            return false;
        }
        let reachable_by_peer = self
            .peers
            .reachable(now.monotonic)
            .any(|(_, peer)| peer.store_reachable);
        self.reachability.store_reachable(now.monotonic) || !reachable_by_peer
    }

    /// Deposes a leader that no worker reaches in favour of a peer that they reach:
    /// their leases run on, and with them everything on the machines.
    pub(super) fn step_down_if_unreachable(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
    ) -> Option<LeadershipChange> {
        let expected_since = self.leader.as_ref()?.expects_heartbeats_since()?;
        let term = self.election.leading()?;
        if !self.misses_heartbeats(expected_since, term, now.monotonic)
            || !self.should_yield_to_peer(expected_since, now.monotonic)
        {
            return None;
        }
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        self.election
            .step_down(&mut ctx, "no worker is heard", Election::ABSTAIN)
    }

    /// Whether heartbeats that were to arrive since `expected_since` are overdue.
    fn misses_heartbeats(&mut self, expected_since: Micros, term: u64, now: Micros) -> bool {
        let last = self.reachability.worker_heartbeat_at;
        let heard_in_term = last >= expected_since;
        // Workers that a peer has redirected here would have come by now: with all
        // controllers ended at once and two of three cut off from the workers, one of
        // these once led for 13 s until it believed it.
        let redirected_in_vain = self.peers.redirected_long_enough(term, now) && !heard_in_term;
        let mut patience = self.config.heartbeat_interval * 5 / 4 + 3 * SECOND / 2;
        if !heard_in_term {
            // Its workers may still be waiting for the previous leader. To step down
            // sooner once left a fleet without a leader for 7 s (incident 1ec8).
            patience += WORKER_FAILOVER_TIMEOUT;
        }
        now >= expected_since.max(last) + patience || redirected_in_vain
    }

    /// Whether a peer is, or may be, the better leader for workers that do not reach
    /// this node.
    fn should_yield_to_peer(&self, expected_since: Micros, now: Micros) -> bool {
        let last = self.reachability.worker_heartbeat_at;
        let mut peers = self.peers.reachable(now).peekable();
        let no_peer_reachable = peers.peek().is_none();
        // The one peer that workers reach may not reach this node. A leader cut off from
        // its workers once waited for that peer's word until every lease had expired
        // (incident e9a6). A leader without any heartbeat in its term stays: with every
        // machine dead, leaders once stepped down for each other for ever, none of them
        // long enough to find that out (seed 10052).
        let heard_in_term = last >= expected_since;
        let waited = heard_in_term && now >= last + self.config.worker_lease * 3 / 5;
        no_peer_reachable || waited || peers.any(|(_, peer)| peer.workers_reachable)
    }
}
