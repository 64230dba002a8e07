//! The messages that this node broadcasts to the other controllers and receives from them.
//!
//! They are not fenced by a term and therefore are only hints: no irreversible action may
//! depend on them.

use super::Node;
use crate::calls::Context;
use crate::peers::PeerStatus;
use crate::{MILLISECOND, Micros, Output, Timestamp};
use dillcleat_peer_protocol::{JobProgress, MAX_PROGRESS_JOBS, Message};

/// Time between two broadcasts of a node.
const HEARTBEAT_INTERVAL: Micros = 500 * MILLISECOND;

impl Node {
    /// Broadcasts this node's status and, if it leads, the leader's messages.
    pub(super) fn send_peer_heartbeat(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.next_peer_heartbeat_at = now.monotonic + HEARTBEAT_INTERVAL;
        let requests_per_s = self.rebalance_budget(now);
        let heartbeat = Message::Heartbeat {
            term: self.election.term(),
            is_leader: self.leader.is_some(),
            store_reachable: self.reachability.store_reachable(now.monotonic),
            workers_reachable: self.reachability.workers_reachable(now.monotonic),
            requests_per_s,
        };
        out.push(Output::Peer { message: heartbeat });
        let messages = self.leader_messages(now.monotonic);
        out.extend(messages.into_iter().map(|message| Output::Peer { message }));
    }

    /// The messages that a leader broadcasts in addition to its status: unresponsive zones,
    /// estimates and job progress. Empty if this node does not lead.
    fn leader_messages(&mut self, now: Micros) -> Vec<Message> {
        let mut messages = Vec::new();
        let Some(leader) = &mut self.leader else {
            return messages;
        };
        let unresponsive_zones = leader.unresponsive_zones(now);
        if !unresponsive_zones.is_empty() {
            messages.push(Message::UnresponsiveZones(unresponsive_zones));
        }
        messages.extend(leader.next_estimates().map(Message::Estimates));
        let changed = leader.take_changed_progress();
        self.admission.progress.set_own(&changed);
        let all_changes_sent = changed.len() < MAX_PROGRESS_JOBS;
        let pages: Vec<Vec<JobProgress>> =
            self.admission.progress.next_messages(all_changes_sent, now);
        let changed = Some(changed).filter(|changed| !changed.is_empty());
        messages.extend(pages.into_iter().chain(changed).map(Message::JobProgress));
        messages
    }

    /// Sets this node's share of the store's request budget in proportion to its share of
    /// the users' requests, which may be unevenly distributed. An equal share per
    /// unreachable peer stays reserved, and no node gets less than half of an equal share,
    /// so that it can serve the start of a burst. Returns the rate of users' requests at
    /// this node, per second.
    fn rebalance_budget(&mut self, now: Timestamp) -> u32 {
        let own_per_s = self.admission.request_rate(HEARTBEAT_INTERVAL);
        let nodes = (self.config.peers.len() + 1) as f64;
        let (mut reachable_nodes, mut all_per_s) = (1.0, own_per_s);
        for (_, peer) in self.peers.reachable(now.monotonic) {
            reachable_nodes += 1.0;
            all_per_s += f64::from(peer.requests_per_s);
        }
        let own_fraction = if all_per_s < 1.0 {
            1.0 / reachable_nodes
        } else {
            own_per_s / all_per_s
        };
        let share = (own_fraction * reachable_nodes / nodes).max(0.5 / nodes);
        self.admission.set_budget_share(share, now.monotonic);
        // A cast from a float saturates.
        own_per_s.ceil() as u32
    }

    pub(super) fn handle_peer_message(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        from: String,
        message: Message,
    ) {
        match message {
            Message::Hello { .. } => {}
            Message::Heartbeat {
                term,
                is_leader,
                store_reachable,
                workers_reachable,
                requests_per_s,
            } => {
                let status = PeerStatus {
                    received_at: now.monotonic,
                    term,
                    is_leader,
                    store_reachable,
                    workers_reachable,
                    requests_per_s,
                };
                self.handle_peer_heartbeat(now, out, from, status);
            }
            Message::UnresponsiveZones(zones) => {
                self.unresponsive_zones.record(zones, now.monotonic)
            }
            Message::Estimates(estimates) => {
                self.received_estimates
                    .receive(&self.config, estimates, now.monotonic);
            }
            // The sender may not know yet that another node has succeeded it as leader.
            Message::JobProgress(jobs) => {
                if self.leader.is_none() && !self.peers.has_successor(&from, now.monotonic) {
                    self.admission.progress.receive(jobs);
                }
            }
        }
    }

    fn handle_peer_heartbeat(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        from: String,
        status: PeerStatus,
    ) {
        if !self.peers.is_reachable(&from, now.monotonic) {
            // The peer may have missed earlier broadcasts.
            self.admission.progress.repeat_all();
        }
        self.peers.update(from, status);
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        let change = self.election.observe_term(&mut ctx, status.term);
        self.apply_leadership_change(now, out, change);
    }
}
