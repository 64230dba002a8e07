//! What the other controllers say of themselves.
//!
//! Their messages are hints: they arrive early, outside the store, and prove nothing.

use crate::{Micros, SECOND};
use std::collections::HashMap;

/// A peer whose latest heartbeat is older counts as unreachable.
const REACHABLE_FOR: Micros = 2 * SECOND;
/// How long a peer may receive workers' heartbeats and redirect them to a leader before
/// that leader has received one itself, if they reach it at all. A peer that says that
/// workers reach it may have had its last heartbeat 3 s ago, before it knew whom to name;
/// a worker takes half a second at the most to follow.
const REDIRECT_TIME: Micros = 9 * SECOND / 2;

/// A peer's latest heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus {
    /// Monotonic time of its arrival.
    pub received_at: Micros,
    /// The highest term that the peer has seen in the store.
    pub term: u64,
    pub is_leader: bool,
    /// Whether the store answers the peer.
    pub store_reachable: bool,
    /// Whether workers' heartbeats reach the peer.
    pub workers_reachable: bool,
    /// Users' requests a second at the peer.
    pub requests_per_s: u32,
}

impl PeerStatus {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.received_at + REACHABLE_FOR
    }
}

/// In which term, and since when, a peer that knows of the term redirects workers.
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
    /// Replaces what is known of a peer.
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

    /// Whether this peer has sent a recent heartbeat.
    pub fn is_reachable(&self, name: &str, now: Micros) -> bool {
        self.recent_status(name, now).is_some()
    }

    /// Whether a peer would make a better leader than a node that no worker reaches. The
    /// present leader does not count: it may be gone, whatever its last heartbeat said.
    pub fn has_better_candidate(&self, now: Micros) -> bool {
        self.reachable(now).any(|(_, status)| {
            status.workers_reachable && status.store_reachable && !status.is_leader
        })
    }

    /// The peer that says that it leads in a later term than this; of several, the one in
    /// the latest term.
    pub fn leader_after(&self, term: u64, now: Micros) -> Option<&str> {
        self.reachable(now)
            .filter(|(_, status)| status.is_leader && status.term > term)
            .max_by_key(|(_, status)| status.term)
            .map(|(name, _)| name)
    }

    /// Whether another peer says that it leads in a later term than this peer knows of.
    pub fn has_successor(&self, name: &str, now: Micros) -> bool {
        let term = self.by_name.get(name).map_or(0, |status| status.term);
        self.leader_after(term, now).is_some()
    }

    /// Whether this peer knows of the term and says that it does not lead.
    pub fn has_stepped_down(&self, name: &str, term: u64, now: Micros) -> bool {
        self.recent_status(name, now)
            .is_some_and(|status| !status.is_leader && status.term >= term)
    }

    /// Whether peers have redirected workers to this node, the leader of the term, for so
    /// long that it would have received a heartbeat. To be called with every broadcast.
    pub fn redirected_long_enough(&mut self, term: u64, now: Micros) -> bool {
        let redirects = |status: &PeerStatus| status.workers_reachable && status.term >= term;
        if !self.reachable(now).any(|(_, status)| redirects(status)) {
            self.redirection = None;
            return false;
        }
        let known = self.redirection.filter(|known| known.term == term);
        let redirection = known.unwrap_or(Redirection { term, since: now });
        self.redirection = Some(redirection);
        now >= redirection.since + REDIRECT_TIME
    }
}
