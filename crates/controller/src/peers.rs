//! The status of the other controllers, as reported in their heartbeats.
//!
//! Peer heartbeats are not fenced by a term and are only hints.

use crate::{Micros, SECOND};
use std::collections::HashMap;

/// How long a peer counts as reachable after a heartbeat.
const REACHABLE_TIMEOUT: Micros = 2 * SECOND;
/// If a peer has redirected workers to the leader for this long, the leader must have
/// received a heartbeat, provided that workers reach it. A peer reports workers as reachable
/// for up to 3 s after their last heartbeat, which may have arrived before the peer knew the
/// leader, and a worker needs some more time to follow the redirection.
const REDIRECT_TIMEOUT: Micros = 9 * SECOND / 2;

/// A peer's latest heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus {
    /// Monotonic arrival time of the heartbeat.
    pub received_at: Micros,
    /// The highest term that the peer has read from the store.
    pub term: u64,
    pub is_leader: bool,
    /// Whether the store responds to the peer.
    pub store_reachable: bool,
    /// Whether the peer receives worker heartbeats.
    pub workers_reachable: bool,
    /// The rate of users' requests at the peer.
    pub requests_per_s: u32,
}

impl PeerStatus {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.received_at + REACHABLE_TIMEOUT
    }
}

/// The redirection of workers to the leader of a term by peers that know of the term.
#[derive(Debug, Clone, Copy)]
struct Redirection {
    term: u64,
    since: Micros,
}

/// The latest heartbeat of each peer.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: HashMap<String, PeerStatus>,
    redirection: Option<Redirection>,
}

impl Peers {
    /// Replaces the status of a peer.
    pub fn update(&mut self, name: String, status: PeerStatus) {
        self.by_name.insert(name, status);
    }

    /// The peers with a recent heartbeat.
    pub fn reachable(&self, now: Micros) -> impl Iterator<Item = (&str, &PeerStatus)> {
        let peers = self.by_name.iter();
        peers
            .filter(move |(_, status)| status.is_recent(now))
            .map(|(name, status)| (name.as_str(), status))
    }

    fn recent_status(&self, name: &str, now: Micros) -> Option<&PeerStatus> {
        self.by_name
            .get(name)
            .filter(|status| status.is_recent(now))
    }

    /// Whether a recent heartbeat of the peer has arrived.
    pub fn is_reachable(&self, name: &str, now: Micros) -> bool {
        self.recent_status(name, now).is_some()
    }

    /// Whether a peer would be a better leader than a node that receives no worker
    /// heartbeats. A peer that reports itself as leader does not count, since there is an
    /// election because it may have failed.
    pub fn has_better_candidate(&self, now: Micros) -> bool {
        self.reachable(now).any(|(_, status)| {
            status.workers_reachable && status.store_reachable && !status.is_leader
        })
    }

    /// The peer that reports itself as leader in a later term than `term`. If there are
    /// several, this is the one in the latest term.
    pub fn leader_after(&self, term: u64, now: Micros) -> Option<&str> {
        self.reachable(now)
            .filter(|(_, status)| status.is_leader && status.term > term)
            .max_by_key(|(_, status)| status.term)
            .map(|(name, _)| name)
    }

    /// Whether another peer reports itself as leader in a later term than this peer has
    /// reported.
    pub fn has_successor(&self, name: &str, now: Micros) -> bool {
        let term = self.by_name.get(name).map_or(0, |status| status.term);
        self.leader_after(term, now).is_some()
    }

    /// Whether this peer knows of the term and reports that it does not lead.
    pub fn has_stepped_down(&self, name: &str, term: u64, now: Micros) -> bool {
        self.recent_status(name, now)
            .is_some_and(|status| !status.is_leader && status.term >= term)
    }

    /// Whether peers have redirected workers to this node, the leader of the term, for long
    /// enough that a heartbeat should have arrived. Must be called with every broadcast.
    pub fn redirected_long_enough(&mut self, term: u64, now: Micros) -> bool {
        let redirects = |status: &PeerStatus| status.workers_reachable && status.term >= term;
        if !self.reachable(now).any(|(_, status)| redirects(status)) {
            self.redirection = None;
            return false;
        }
        let known = self.redirection.filter(|known| known.term == term);
        let redirection = known.unwrap_or(Redirection { term, since: now });
        self.redirection = Some(redirection);
        now >= redirection.since + REDIRECT_TIMEOUT
    }
}
