//! The rate of a leader's writes.

use crate::Micros;
use crate::token_bucket::TokenBucket;

/// How many keys a leader changes in a second: as many as the store takes, less what
/// users' submissions need. A leader that was bounded by refusals alone took all that
/// there was, and what was refused were submissions.
#[derive(Debug)]
pub struct WriteRate {
    per_s: f64,
    bucket: TokenBucket,
}

impl WriteRate {
    /// The leader's share of the changes that the store takes.
    const LEADER_SHARE: f64 = 0.85;
    /// For how long unused changes are saved up, in seconds.
    const BURST_S: f64 = 0.6;
    /// The least number of changes that can be saved up.
    const MIN_BURST: f64 = 4.0;

    /// For a store that takes `store_rps` changes a second.
    pub fn new(store_rps: f64) -> WriteRate {
        WriteRate {
            per_s: store_rps * WriteRate::LEADER_SHARE,
            bucket: TokenBucket::default(),
        }
    }

    /// The store takes at most `store_rps` changes a second from now on.
    pub fn limit(&mut self, store_rps: f64) {
        self.per_s = self.per_s.min(store_rps * WriteRate::LEADER_SHARE);
    }

    /// How many changes may be made now.
    pub fn available(&mut self, now: Micros) -> usize {
        let capacity = (self.per_s * WriteRate::BURST_S).max(WriteRate::MIN_BURST);
        self.bucket.refill(now, self.per_s, capacity) as usize
    }

    /// So many changes are made.
    pub fn take(&mut self, changes: usize) {
        self.bucket.take(changes as f64);
    }
}
