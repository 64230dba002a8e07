//! Whether the store and the workers are reachable from this node. This determines the health
//! that the node reports and whether it steps down in favour of a peer.

use super::Node;
use crate::calls::Context;
use crate::election::{Election, LeadershipChange};
use crate::time::WORKER_FAILOVER_TIMEOUT;
use crate::{Micros, Output, SECOND, Timestamp};

/// How long the store counts as reachable after a response, and the workers after a
/// heartbeat.
const SERVICE_REACHABLE_TIMEOUT: Micros = 3 * SECOND;

/// Evidence that the store and the workers are reachable from this node.
#[derive(Debug, Default)]
pub(super) struct ServiceReachability {
    /// Arrival of the store's latest response other than "unavailable".
    store_response_at: Option<Micros>,
    /// Arrival of the latest worker heartbeat; 0 before the first. Workers therefore count as
    /// reachable for SERVICE_REACHABLE_TIMEOUT after time 0 of the monotonic clock.
    worker_heartbeat_at: Micros,
}

impl ServiceReachability {
    pub fn record_store_response(&mut self, now: Micros) {
        self.store_response_at = Some(now);
    }

    pub fn record_worker_heartbeat(&mut self, now: Micros) {
        self.worker_heartbeat_at = now;
    }

    pub fn store_reachable(&self, now: Micros) -> bool {
        self.store_response_at
            .is_some_and(|at| now < at + SERVICE_REACHABLE_TIMEOUT)
    }

    /// Whether any worker's heartbeat has arrived recently.
    pub fn workers_reachable(&self, now: Micros) -> bool {
        now < self.worker_heartbeat_at + SERVICE_REACHABLE_TIMEOUT
    }
}

impl Node {
    /// Whether a load balancer should send requests to this node. If no node reaches the
    /// store, all stay in service and report the outage in their answers. If only this
    /// node does not reach it, the load balancer should use the peers.
    pub(super) fn is_healthy(&self, now: Timestamp) -> bool {
        if self.reachability.store_response_at.is_none() || self.election.machine_types().is_none()
        {
            return false;
        }
        let peer_reaches_store = self
            .peers
            .reachable(now.monotonic)
            .any(|(_, peer)| peer.store_reachable);
        self.reachability.store_reachable(now.monotonic) || !peer_reaches_store
    }

    /// Steps down if this leader receives no worker heartbeats and a peer may receive them, so
    /// that the workers' leases are renewed before they expire.
    pub(super) fn step_down_without_heartbeats(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
    ) -> Option<LeadershipChange> {
        let expected_since = self.leader.as_ref()?.expects_heartbeats_since()?;
        let term = self.election.leading()?;
        if !self.are_heartbeats_overdue(expected_since, term, now.monotonic)
            || !self.should_step_down_for_peer(expected_since, now.monotonic)
        {
            return None;
        }
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        self.election.step_down(
            &mut ctx,
            "no worker heartbeats received",
            Election::CANDIDACY_BACKOFF,
        )
    }

    /// Whether worker heartbeats, expected since `expected_since`, are overdue.
    fn are_heartbeats_overdue(&mut self, expected_since: Micros, term: u64, now: Micros) -> bool {
        let last_heartbeat_at = self.reachability.worker_heartbeat_at;
        let received_in_term = last_heartbeat_at >= expected_since;
        // Peers have been redirecting workers to this node for long enough that a heartbeat
        // should have arrived, and none has.
        let redirects_failed = self.peers.update_redirection(term, now) && !received_in_term;
        let mut timeout = self.config.heartbeat_interval * 5 / 4 + 3 * SECOND / 2;
        if !received_in_term {
            // The workers may still be waiting for a response of the previous leader. Stepping
            // down sooner left a fleet without a leader for 7 s (docs/incidents, inc-1ec8).
            timeout += WORKER_FAILOVER_TIMEOUT;
        }
        now >= expected_since.max(last_heartbeat_at) + timeout || redirects_failed
    }

    /// Whether another node may receive worker heartbeats: a reachable peer does, the workers'
    /// leases are near their expiry, or no peer is reachable, so that this node may be the
    /// isolated one.
    fn should_step_down_for_peer(&self, expected_since: Micros, now: Micros) -> bool {
        let last_heartbeat_at = self.reachability.worker_heartbeat_at;
        let mut peers = self.peers.reachable(now).peekable();
        let no_peer_reachable = peers.peek().is_none();
        // The only peer that receives heartbeats may not be able to reach this node, so the
        // leader steps down well before the workers' leases expire. This does not apply to a
        // leader that received no heartbeat in its term: if all machines are dead, leaders
        // would keep stepping down, and none would lead long enough to replace the machines.
        let received_in_term = last_heartbeat_at >= expected_since;
        let leases_near_expiry =
            received_in_term && now >= last_heartbeat_at + self.config.worker_lease * 3 / 5;
        no_peer_reachable || leases_near_expiry || peers.any(|(_, peer)| peer.workers_reachable)
    }
}
