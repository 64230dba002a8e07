//! The leader's broadcast of zones without heartbeats, kept for a successor.

use crate::{MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::UnresponsiveZone;
use std::collections::HashMap;

/// How long a broadcast counts. It is repeated with each heartbeat among peers.
const VALID_FOR: Micros = 10 * SECOND;

/// The zones that a leader last reported as silent. A node that is elected then does not
/// mistake a partitioned zone for dead machines.
#[derive(Debug, Default)]
pub(super) struct SilentZoneHint {
    /// When the latest heartbeat from each silent zone arrived, by this node's monotonic
    /// clock.
    last_heard: HashMap<String, Micros>,
    received_at: Micros,
}

impl SilentZoneHint {
    /// Replaces the hint by a newly received one.
    pub fn record(&mut self, zones: Vec<UnresponsiveZone>, now: Micros) {
        let last_heard =
            |unresponsive_ms: u32| now.saturating_sub(u64::from(unresponsive_ms) * MILLISECOND);
        self.last_heard = zones
            .into_iter()
            .map(|zone| (zone.zone, last_heard(zone.unresponsive_ms)))
            .collect();
        self.received_at = now;
    }

    /// Takes the hint if it is recent.
    pub fn take_recent(&mut self, now: Micros) -> Option<HashMap<String, Micros>> {
        (now < self.received_at + VALID_FOR).then(|| std::mem::take(&mut self.last_heard))
    }
}
