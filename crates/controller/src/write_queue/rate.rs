//! The rate limit of the leader's writes.

use crate::token_bucket::TokenBucket;
use crate::{Config, Micros};

/// Limits the rate at which the leader changes keys to a fraction of the store's write limit,
/// so that it cannot use up the limit. The users' fraction (`request_budget`) overlaps with it.
#[derive(Debug)]
pub struct WriteRate {
    per_s: f64,
    /// The maximum number of mutations at once.
    burst: f64,
    bucket: TokenBucket,
}

impl WriteRate {
    /// The fraction of the store's write limit that the leader may use.
    const LEADER_FRACTION: f64 = 0.85;
    /// The size of a burst, in seconds of the leader's rate.
    const BURST_S: f64 = 0.6;
    /// The minimum size of a burst, in mutations.
    const MIN_BURST_MUTATIONS: f64 = 4.0;

    /// Creates the limit for the store's current limit. The bursts also comply with the announced
    /// limit, which may apply without notice: the store never accepts a transaction of more
    /// mutations than its own burst, and one with an unknown outcome must not be divided.
    pub fn new(config: &Config) -> WriteRate {
        let announced_per_s = config.store_write_rps * WriteRate::LEADER_FRACTION;
        let burst = announced_per_s * WriteRate::BURST_S;
        WriteRate {
            per_s: config.current_store_write_rps * WriteRate::LEADER_FRACTION,
            burst: burst.max(WriteRate::MIN_BURST_MUTATIONS),
            bucket: TokenBucket::default(),
        }
    }

    /// Lowers the limit for a store that accepts only `store_writes_per_s` mutations per second.
    pub fn lower_limit(&mut self, store_writes_per_s: f64) {
        let per_s = store_writes_per_s * WriteRate::LEADER_FRACTION;
        self.per_s = self.per_s.min(per_s);
    }

    /// The number of mutations that may be made now.
    pub fn available(&mut self, now: Micros) -> usize {
        self.bucket.refill(now, self.per_s, self.burst) as usize
    }

    /// Takes the number of mutations that are made now.
    pub fn take(&mut self, mutations: usize) {
        self.bucket.take(mutations as f64);
    }

    /// Returns the mutations of a batch that the store refused.
    pub fn put_back(&mut self, mutations: usize) {
        self.bucket.put_back(mutations as f64);
    }
}
