//! What users' requests may take of the state service.

use crate::continuations::PendingRequest;
use crate::token_bucket::TokenBucket;
use crate::{Config, Micros};

/// This node's part of what the state service takes, for users' requests. The
/// rest is the leader's: a flood of requests must not end its lease.
#[derive(Debug)]
pub(crate) struct RequestBudget {
    /// What the users' requests of all nodes together may take.
    all_per_s: f64,
    per_s: f64,
    saved: TokenBucket,
}

/// Whom a call is for: what is turned away first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// What ends something: it frees room, and its user will not give up. May take
    /// a quarter of a second's worth of what comes next.
    End,
    /// Submissions and cancellations.
    Change,
    /// Polls, which leave half of a second's worth to those. In a storm of
    /// polls each call went to a poll the moment that it was to be had, and
    /// three of four submissions were turned away (rosterwise-nz-ops).
    Poll,
}

impl RequestPriority {
    pub(crate) fn of(ask: &PendingRequest) -> RequestPriority {
        match ask {
            PendingRequest::Tell(_) => RequestPriority::Poll,
            PendingRequest::Refuse { .. } | PendingRequest::Cancel { .. } => {
                RequestPriority::Change
            }
        }
    }
}

impl RequestBudget {
    /// Part of the whole that users' requests of all nodes together may take.
    const PART: f64 = 0.7;

    pub fn new(whole: f64, config: &Config) -> Self {
        let all_per_s = whole * Self::PART;
        let per_s = all_per_s / (config.peers.len() + 1) as f64;
        RequestBudget {
            all_per_s,
            per_s,
            saved: TokenBucket::with_tokens(per_s),
        }
    }

    pub fn share(&mut self, share: f64, now: Micros) {
        self.refill(now);
        self.per_s = self.all_per_s * share;
    }

    fn refill(&mut self, now: Micros) {
        self.saved.refill(now, self.per_s, self.per_s.max(2.0));
    }

    /// Takes `task_count`, be it from what comes next: for what has begun.
    pub fn charge(&mut self, n: f64, now: Micros) {
        self.refill(now);
        self.saved.take(n);
    }

    /// Takes `task_count` if there is as much.
    pub fn take(&mut self, n: f64, need: RequestPriority, now: Micros) -> bool {
        let has = self.has(n, need, now);
        if has {
            self.saved.take(n);
        }
        has
    }

    /// Whether there is as much as `task_count`.
    pub fn has(&mut self, n: f64, need: RequestPriority, now: Micros) -> bool {
        self.refill(now);
        let kept = match need {
            RequestPriority::Change => 0.0,
            RequestPriority::Poll => self.per_s / 2.0,
            RequestPriority::End => -self.per_s / 4.0,
        };
        self.saved.available() >= n + kept.min(self.per_s - n)
    }
}
