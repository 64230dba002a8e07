//! What the other controllers say of themselves. Their word is a hint: it comes early,
//! over the mesh, and proves nothing.

use crate::{Micros, SECOND};
use std::collections::HashMap;

/// A sibling whose word is older is not heard.
const FRESH: Micros = 2 * SECOND;
/// How long a sibling may hear workers, and send them on to a leader, before that
/// leader has heard one of them if they reach it at all. A sibling that says that it
/// hears them may have heard its last one 3 s ago, before it knew whom to name; a worker
/// takes half a second at the most to go there.
const SENT_ON: Micros = 9 * SECOND / 2;

/// A sibling's last word.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus {
    pub heard: Micros,
    /// The highest term that it has seen in the store.
    pub term: u64,
    pub is_leader: bool,
    /// Whether the state service answers it.
    pub store_reachable: bool,
    /// Whether workers report to it.
    pub workers_reachable: bool,
    /// Users' requests a second.
    pub requests_per_s: u32,
}

#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<String, PeerStatus>,
    /// In which term, and since when, a sibling that knows of the term hears workers.
    sent_on: Option<(u64, Micros)>,
}

impl Peers {
    pub fn told(&mut self, from: String, sibling: PeerStatus) {
        self.known.insert(from, sibling);
    }

    /// Those that are heard.
    pub fn fresh(&self, now: Micros) -> impl Iterator<Item = (&str, &PeerStatus)> {
        let known = self.known.iter().map(|(name, s)| (name.as_str(), s));
        known.filter(move |(_, s)| now < s.heard + FRESH)
    }

    pub fn is_heard(&self, name: &str, now: Micros) -> bool {
        self.known.get(name).is_some_and(|s| now < s.heard + FRESH)
    }

    /// Whether one of them would make a better leader than a node that no worker
    /// reaches. Whoever led until now may be gone, whatever its last word was.
    pub fn better(&self, now: Micros) -> bool {
        let better = |s: &PeerStatus| s.workers_reachable && s.store_reachable && !s.is_leader;
        self.fresh(now).any(|(_, s)| better(s))
    }

    /// Who leads, as they say, if it is in a later term than this.
    pub fn leads_after(&self, term: u64, now: Micros) -> Option<&str> {
        let leads = self
            .fresh(now)
            .filter(|(_, s)| s.is_leader && s.term > term);
        leads.max_by_key(|(_, s)| s.term).map(|(name, _)| name)
    }

    /// Whether another sibling says that it leads in a later term than this one knows of.
    pub fn has_successor(&self, name: &str, now: Micros) -> bool {
        let term = self.known.get(name).map_or(0, |s| s.term);
        self.leads_after(term, now).is_some()
    }

    /// Whether this sibling says that it leads no more, knowing of the term.
    pub fn has_let_go(&self, name: &str, term: u64, now: Micros) -> bool {
        let word = self.known.get(name).filter(|s| now < s.heard + FRESH);
        word.is_some_and(|s| !s.is_leader && s.term >= term)
    }

    /// Whether workers have been sent on to the leader of the term, which is this node,
    /// for so long that it would have heard some. To be asked with every beat.
    pub fn sends_on(&mut self, term: u64, now: Micros) -> bool {
        if !self
            .fresh(now)
            .any(|(_, s)| s.workers_reachable && s.term >= term)
        {
            self.sent_on = None;
            return false;
        }
        let known = self.sent_on.filter(|(of, _)| *of == term);
        let (_, since) = *self.sent_on.insert(known.unwrap_or((term, now)));
        now >= since + SENT_ON
    }
}
