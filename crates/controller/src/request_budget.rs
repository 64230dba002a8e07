//! The budget of users' requests within the store's rate limits.
//!
//! The store's rate limits apply to all controllers together. A fixed fraction of each limit
//! is for users' requests and is divided among the nodes (controller processes) in proportion
//! to their load. The rest of the request limit is left to the leader, so that a flood of
//! requests cannot prevent the renewal of its lease. The write limit is not divided in the
//! same way: the leader's own fraction of it ([`WriteRate`](crate::write_queue::WriteRate))
//! overlaps with the users'.

use crate::Config;
use crate::continuations::PendingRequest;
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

/// The fraction of the store's limit that the users' requests at all nodes may use.
const USERS_FRACTION: f64 = 0.7;

/// The budget of this node's users within one of the store's limits (requests or writes). It
/// accumulates at most one second's worth, or 2 if that is more.
#[derive(Debug)]
pub(crate) struct RequestBudget {
    /// The rate that is available to users at all nodes together.
    all_nodes_per_s: f64,
    /// The rate that is available to users at this node.
    per_s: f64,
    bucket: TokenBucket,
}

/// The cost of a user's request in terms of the store's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreCost {
    /// The number of requests to the store, reads and writes.
    pub calls: f64,
    /// The number of keys that they write.
    pub writes: f64,
}

impl StoreCost {
    /// The cost of a single read.
    pub const READ: StoreCost = StoreCost {
        calls: 1.0,
        writes: 0.0,
    };

    /// The cost of one transaction that writes this number of keys.
    pub const fn transaction(writes: f64) -> StoreCost {
        StoreCost { calls: 1.0, writes }
    }
}

/// The priority of a user's request, the highest first. If the budget is short, requests of
/// low priority are rejected first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// A deletion, or a write of the object reconciler, in the API server. It may overdraw the
    /// budget by a quarter of a second's worth.
    DeleteOrReconcile,
    /// A submission, a cancellation by a user, or another change of an object in the API server.
    Change,
    /// A poll. Polls leave half a second's worth to the others, so that a flood of polls does
    /// not cause submissions to be rejected.
    Poll,
}

impl From<&PendingRequest> for RequestPriority {
    fn from(pending: &PendingRequest) -> Self {
        match pending {
            PendingRequest::Status(_) | PendingRequest::Ancestor { .. } => RequestPriority::Poll,
            PendingRequest::RejectUnlessExists { .. }
            | PendingRequest::Cancel(_)
            | PendingRequest::Dependency { .. } => RequestPriority::Change,
        }
    }
}

impl RequestBudget {
    /// Creates the budget of one node, with an equal share of the users' part of the store's
    /// limit `limit_per_s`.
    pub fn new(limit_per_s: f64, config: &Config) -> Self {
        let all_nodes_per_s = limit_per_s * USERS_FRACTION;
        let per_s = all_nodes_per_s / (config.peers.len() + 1) as f64;
        RequestBudget {
            all_nodes_per_s,
            per_s,
            bucket: TokenBucket::with_tokens(per_s),
        }
    }

    /// Sets this node's share of the users' part, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: Micros) {
        self.refill(now);
        self.per_s = self.all_nodes_per_s * share;
    }

    fn refill(&mut self, now: Micros) {
        self.bucket.refill(now, self.per_s, self.per_s.max(2.0));
    }

    /// Takes `count` even if the budget is overdrawn by it, for a request that is already
    /// being handled.
    pub fn charge(&mut self, count: f64, now: Micros) {
        self.refill(now);
        self.bucket.take(count);
    }

    /// Returns `count` that was taken for a request without effect.
    pub fn put_back(&mut self, count: f64, now: Micros) {
        self.refill(now);
        self.bucket.put_back(count);
    }

    /// The number of calls or writes that are available to requests other than polls.
    pub fn available(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.bucket.available()
    }

    /// Whether `count` is available to this priority.
    pub fn is_available(&mut self, count: f64, priority: RequestPriority, now: Micros) -> bool {
        self.refill(now);
        let reserve = match priority {
            RequestPriority::Change => 0.0,
            RequestPriority::Poll => self.per_s / 2.0,
            RequestPriority::DeleteOrReconcile => -self.per_s / 4.0,
        };
        // The reserve is reduced for a cost that would otherwise exceed what the bucket can ever
        // hold.
        self.bucket.available() >= count + reserve.min(self.per_s - count)
    }
}
