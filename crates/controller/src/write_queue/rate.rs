//! The rate limit of the leader's writes.

use crate::Micros;
use crate::token_bucket::TokenBucket;

/// Limits the rate at which the leader changes keys to a part of the store's write limit,
/// so that the rest remains for users' submissions.
#[derive(Debug)]
pub struct WriteRate {
    per_s: f64,
    bucket: TokenBucket,
}

impl WriteRate {
    /// The fraction of the store's write limit that the leader may use.
    const LEADER_FRACTION: f64 = 0.85;
    /// The size of a burst, in seconds of the leader's rate.
    const BURST_S: f64 = 0.6;
    /// The minimum size of a burst, in changes.
    const MIN_BURST_CHANGES: f64 = 4.0;

    /// Creates the limit for a store that accepts `store_writes_per_s` changes per second.
    pub fn new(store_writes_per_s: f64) -> WriteRate {
        WriteRate {
            per_s: store_writes_per_s * WriteRate::LEADER_FRACTION,
            bucket: TokenBucket::default(),
        }
    }

    /// Lowers the limit for a store that accepts only `store_writes_per_s` changes per
    /// second.
    pub fn limit(&mut self, store_writes_per_s: f64) {
        let per_s = store_writes_per_s * WriteRate::LEADER_FRACTION;
        self.per_s = self.per_s.min(per_s);
    }

    /// The number of changes that may be made now.
    pub fn available(&mut self, now: Micros) -> usize {
        let capacity = (self.per_s * WriteRate::BURST_S).max(WriteRate::MIN_BURST_CHANGES);
        self.bucket.refill(now, self.per_s, capacity) as usize
    }

    /// Takes the number of changes that are made now.
    pub fn take(&mut self, changes: usize) {
        self.bucket.take(changes as f64);
    }
}
