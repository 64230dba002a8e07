//! A token bucket, the form in which the store limits its callers.

use dillcleat_controller::{Micros, SECOND};

/// A token bucket with a burst of one second's worth of tokens.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that is full at time zero.
    pub fn new(tokens_per_s: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_s,
            tokens: tokens_per_s,
            refilled_at: 0,
        }
    }

    /// Lowers the rate and the burst.
    pub fn lower_rate(&mut self, tokens_per_s: f64) {
        self.tokens_per_s = tokens_per_s;
        self.tokens = self.tokens.min(tokens_per_s);
    }

    /// Takes `n` tokens if the bucket contains them; returns whether it did.
    pub fn take(&mut self, n: f64, now: Micros) -> bool {
        let refill = (now - self.refilled_at) as f64 / SECOND as f64 * self.tokens_per_s;
        self.tokens = (self.tokens + refill).min(self.tokens_per_s);
        self.refilled_at = now;
        let enough = self.tokens >= n;
        if enough {
            self.tokens -= n;
        }
        enough
    }
}
