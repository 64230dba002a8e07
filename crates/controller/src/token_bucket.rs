//! A token bucket whose rate and capacity may differ at each refill.
//!
//! Not a crate such as `governor`: those fix rate and capacity at construction and count
//! whole tokens, while here both vary and the bucket may be overdrawn.

use crate::{Micros, seconds};

/// Tokens that come at a rate and are taken by what they allow.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    /// Negative while it is overdrawn.
    available: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that holds so many tokens at time zero.
    pub fn with_tokens(tokens: f64) -> TokenBucket {
        TokenBucket {
            available: tokens,
            refilled_at: 0,
        }
    }

    /// The tokens in it as of the last refill.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Adds what has come until now at a rate of `per_s` a second, up to `capacity`.
    /// Returns the tokens in it.
    pub fn refill(&mut self, now: Micros, per_s: f64, capacity: f64) -> f64 {
        let added = seconds(now.saturating_sub(self.refilled_at)) * per_s;
        self.available = (self.available + added).min(capacity);
        self.refilled_at = now;
        self.available
    }

    /// Takes tokens, even if there are not as many.
    pub fn take(&mut self, tokens: f64) {
        self.available -= tokens;
    }
}
