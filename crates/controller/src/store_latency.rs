//! The store's recent latency, and the duration of the leadership lease that follows from it.
//!
//! With a slow store, a short lease could not be renewed in time, and leadership would change
//! before a leader has recovered its state: with responses after 0.3 to 3 s and a lease of
//! 1.25 s, there were fourteen terms in a minute. The duration of the lease therefore depends on
//! the slowest recent response. It is never shorter than the setting `lead_ttl_s`, from which
//! the validity of leadership proofs is derived (`leadership_guard`), and short enough that a
//! successor can reach the machines before their own leases expire.

use crate::{Config, Micros, SECOND, micros};

/// The time after which the latency of a response counts half as much.
const LATENCY_HALF_LIFE: Micros = 10 * SECOND;
/// The number of successive responses that a lease must outlast: it is granted, bound to the
/// leader's record and renewed.
const RESPONSES_PER_LEASE: u64 = 3;

/// The latency of the slowest recent response, which decays over time. Missing responses
/// do not count, since a network partition may cause them.
#[derive(Debug, Default)]
pub struct StoreLatency {
    slowest: Micros,
    /// When the slowest response arrived.
    slowest_at: Micros,
}

impl StoreLatency {
    /// Records the latency of a response.
    pub fn record(&mut self, latency: Micros, now: Micros) {
        if latency >= self.recent(now) {
            self.slowest = latency;
            self.slowest_at = now;
        }
    }

    /// The latency of the slowest response, halved for each half-life since its arrival.
    pub fn recent(&self, now: Micros) -> Micros {
        let half_lives = now.saturating_sub(self.slowest_at) / LATENCY_HALF_LIFE;
        self.slowest >> half_lives.min(63)
    }
}

/// The duration of the leadership lease for the given store latency.
pub fn lease_ttl(config: &Config, latency: Micros) -> Micros {
    let shortest = micros(config.tuning.lead_ttl_s);
    // The rest of the workers' lease leaves time to elect the next leader, to recover its state
    // and for workers to reach it.
    let longest = shortest.max(config.worker_lease / 3);
    latency
        .saturating_mul(RESPONSES_PER_LEASE)
        .clamp(shortest, longest)
}
