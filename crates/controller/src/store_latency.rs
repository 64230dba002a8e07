//! How slow the state service answers, and how long a lease of the lead is for it.
//!
//! A state service that took 0.3 to 3 s for each call let nobody renew a lease of 1.25 s:
//! fourteen terms in a minute, most of them over before their leader had read the queue
//! (seed 2704 of the days of meetings). So the lease follows the slowest of the latest
//! answers. It is never shorter than the settings say, on which the proof of leadership
//! rests (permit.rs), and ends in time for a successor to be answered by the workers.

use crate::{Config, Micros, SECOND, micros};

/// After so long half of a slow answer counts.
const HALF_LIFE: Micros = 10 * SECOND;
/// A lease lasts for so many of the slowest answers: it has to be made, bound to the
/// lead, and renewed.
const ANSWERS: u64 = 3;

/// The slowest of the latest answers. What was not answered doesn't count: a node that is
/// cut off has no slow state service.
#[derive(Debug, Default)]
pub struct StoreLatency {
    slowest: Micros,
    at: Micros,
}

impl StoreLatency {
    /// A call was answered that was under way for so long.
    pub fn answered(&mut self, took: Micros, now: Micros) {
        if took >= self.recent(now) {
            (self.slowest, self.at) = (took, now);
        }
    }

    pub fn recent(&self, now: Micros) -> Micros {
        let halves = now.saturating_sub(self.at) / HALF_LIFE;
        self.slowest >> halves.min(63)
    }
}

/// How long a lease of the lead is to last while answers take so long.
pub fn lease_time(config: &Config, answers: Micros) -> Micros {
    let shortest = micros(config.tuning.lead_ttl_s);
    // Who leads next has to be elected, to read, and to be found by the workers.
    let longest = shortest.max(config.worker_lease / 3);
    answers.saturating_mul(ANSWERS).clamp(shortest, longest)
}
