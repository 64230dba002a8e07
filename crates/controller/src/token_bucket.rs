//! A token bucket whose rate and capacity may differ at each refill.
//!
//! Crates such as `governor` fix both at construction and do not allow an overdraft.

use crate::{Micros, seconds};

/// A token bucket that may be overdrawn.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    /// The number of tokens; negative while the bucket is overdrawn.
    available: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that contains this number of tokens at time zero.
    pub fn with_tokens(tokens: f64) -> TokenBucket {
        TokenBucket {
            available: tokens,
            refilled_at: 0,
        }
    }

    /// The number of tokens as of the last refill.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Adds `per_s` tokens for each second since the last refill, up to `capacity`. Returns
    /// the number of tokens.
    pub fn refill(&mut self, now: Micros, per_s: f64, capacity: f64) -> f64 {
        let added = seconds(now.saturating_sub(self.refilled_at)) * per_s;
        self.available = (self.available + added).min(capacity);
        self.refilled_at = now;
        self.available
    }

    /// Takes tokens, even if the bucket contains fewer.
    pub fn take(&mut self, tokens: f64) {
        self.available -= tokens;
    }

    /// Returns tokens that were taken but not used.
    pub fn put_back(&mut self, tokens: f64) {
        self.available += tokens;
    }
}
