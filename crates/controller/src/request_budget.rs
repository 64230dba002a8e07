//! What users' requests may use of the store's request limits.
//!
//! The store limits requests a second for all controllers together. A fixed part of that
//! is for users, divided among the nodes by how many users each one serves; the rest is
//! the leader's, so that a flood of requests cannot end its lease.

use crate::Config;
use crate::continuations::PendingRequest;
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

/// The part of the store's limit that users' requests of all nodes may use together.
const USERS_PART: f64 = 0.7;

/// One limit of the store (calls, or writes) as this node's users may use it. It never
/// saves up more than a second's worth.
#[derive(Debug)]
pub(crate) struct RequestBudget {
    /// What the users' requests of all nodes together may use, a second.
    all_nodes_per_s: f64,
    /// What those of this node may use, a second.
    per_s: f64,
    saved: TokenBucket,
}

/// What a request costs of the store's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreCost {
    /// Calls, whether they read or write.
    pub calls: f64,
    /// Keys written by them.
    pub writes: f64,
}

impl StoreCost {
    /// A call that writes nothing.
    pub const READ: StoreCost = StoreCost {
        calls: 1.0,
        writes: 0.0,
    };

    /// One transaction that writes so many keys.
    pub fn transaction(writes: f64) -> StoreCost {
        StoreCost { calls: 1.0, writes }
    }
}

/// How important a call is: in a shortage the least important are rejected first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// A call that ends something: it frees resources, and its user will not give up. It
    /// may overdraw the budget by a quarter of a second's worth.
    End,
    /// Submissions and cancellations.
    Change,
    /// Polls, which leave half of a second's worth to the others. In a storm of polls
    /// each call once went to a poll the moment that it was available, and three of four
    /// submissions were rejected (rosterwise-nz-ops).
    Poll,
}

impl From<&PendingRequest> for RequestPriority {
    fn from(pending: &PendingRequest) -> Self {
        match pending {
            PendingRequest::Status(_) => RequestPriority::Poll,
            PendingRequest::Reject { .. } | PendingRequest::Cancel { .. } => {
                RequestPriority::Change
            }
        }
    }
}

impl RequestBudget {
    /// An equal share of what users may use of `limit_per_s`.
    pub fn new(limit_per_s: f64, config: &Config) -> Self {
        let all_nodes_per_s = limit_per_s * USERS_PART;
        let per_s = all_nodes_per_s / (config.peers.len() + 1) as f64;
        RequestBudget {
            all_nodes_per_s,
            per_s,
            saved: TokenBucket::with_tokens(per_s),
        }
    }

    /// Sets this node's share, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: Micros) {
        self.refill(now);
        self.per_s = self.all_nodes_per_s * share;
    }

    fn refill(&mut self, now: Micros) {
        self.saved.refill(now, self.per_s, self.per_s.max(2.0));
    }

    /// Takes `count` unconditionally, perhaps from the future: for work that has begun.
    pub fn charge(&mut self, count: f64, now: Micros) {
        self.refill(now);
        self.saved.take(count);
    }

    /// Takes `count` if there is as much for this priority; returns whether there was.
    pub fn try_take(&mut self, count: f64, priority: RequestPriority, now: Micros) -> bool {
        let available = self.has(count, priority, now);
        if available {
            self.saved.take(count);
        }
        available
    }

    /// Whether there is as much as `count` for this priority.
    pub fn has(&mut self, count: f64, priority: RequestPriority, now: Micros) -> bool {
        self.refill(now);
        let reserve = match priority {
            RequestPriority::Change => 0.0,
            RequestPriority::Poll => self.per_s / 2.0,
            RequestPriority::End => -self.per_s / 4.0,
        };
        self.saved.available() >= count + reserve.min(self.per_s - count)
    }
}
