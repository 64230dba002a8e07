//! What may be taken of something that comes at a rate.

use crate::{Micros, seconds};

/// What has been saved up, and since when it grows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    pub left: f64,
    at: Micros,
}

impl TokenBucket {
    /// One that holds so much at the beginning of time.
    pub fn of(left: f64) -> TokenBucket {
        TokenBucket { left, at: 0 }
    }

    /// Lets it grow until now, up to `most`. Returns what is in it.
    pub fn grow(&mut self, now: Micros, per_s: f64, most: f64) -> f64 {
        let grown = seconds(now.saturating_sub(self.at)) * per_s;
        self.left = (self.left + grown).min(most);
        self.at = now;
        self.left
    }
}
