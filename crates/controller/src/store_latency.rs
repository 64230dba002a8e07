//! How slowly the store answers, and how long a leadership lease lasts because of it.
//!
//! A store that took 0.3 to 3 s for each call let nobody renew a lease of 1.25 s: fourteen
//! terms in a minute, most of them over before their leader had read the queue (seed 2704
//! of the days of meetings). So the lease follows the slowest of the latest answers. It is
//! never shorter than the settings say, on which the proof of leadership rests
//! (`leadership_guard`), and ends in time for a successor to be answered by the machines.

use crate::{Config, Micros, SECOND, micros};

/// After how long a slow answer counts for half as much.
const HALF_LIFE: Micros = 10 * SECOND;
/// A lease lasts for so many of the slowest answers: it has to be created, bound to the
/// leader's record, and renewed.
const ANSWERS_PER_LEASE: u64 = 3;

/// The slowest of the latest answers. A call that was not answered doesn't count: a node
/// that is partitioned from the store has no slow store.
#[derive(Debug, Default)]
pub struct StoreLatency {
    slowest: Micros,
    /// When the slowest answer came.
    answered_at: Micros,
}

impl StoreLatency {
    /// A call was answered after `took`.
    pub fn answered(&mut self, took: Micros, now: Micros) {
        if took >= self.recent(now) {
            self.slowest = took;
            self.answered_at = now;
        }
    }

    /// How long the slowest answer took, halved for each half-life since.
    pub fn recent(&self, now: Micros) -> Micros {
        let half_lives = now.saturating_sub(self.answered_at) / HALF_LIFE;
        self.slowest >> half_lives.min(63)
    }
}

/// How long a leadership lease is to last while answers take `latency`.
pub fn lease_time(config: &Config, latency: Micros) -> Micros {
    let shortest = micros(config.tuning.lead_ttl_s);
    // The next leader has to be elected, to read the store, and to be found by the
    // machines.
    let longest = shortest.max(config.worker_lease / 3);
    latency
        .saturating_mul(ANSWERS_PER_LEASE)
        .clamp(shortest, longest)
}
