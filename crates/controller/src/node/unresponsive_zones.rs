//! The zones that the leader last reported as unresponsive, kept in case this node succeeds it.

use crate::{MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::UnresponsiveZone;
use std::collections::HashMap;

/// How long a received report is valid. It is repeated with each heartbeat among peers.
const HINT_VALIDITY: Micros = 10 * SECOND;

/// The unresponsive zones of the latest report. A new leader uses them to not mistake a network
/// partition of a zone for a failure of its machines.
#[derive(Debug, Default)]
pub(super) struct UnresponsiveZoneHint {
    /// The time of the last contact with each unresponsive zone, converted to this node's
    /// monotonic clock.
    last_contact_at: HashMap<String, Micros>,
    received_at: Micros,
}

impl UnresponsiveZoneHint {
    /// Replaces the hint by a newly received report.
    pub fn record(&mut self, zones: Vec<UnresponsiveZone>, now: Micros) {
        let last_contact_at =
            |unresponsive_ms: u32| now.saturating_sub(u64::from(unresponsive_ms) * MILLISECOND);
        self.last_contact_at = zones
            .into_iter()
            .map(|zone| (zone.zone, last_contact_at(zone.unresponsive_ms)))
            .collect();
        self.received_at = now;
    }

    /// Takes the hint if it is still valid.
    pub fn take_recent(&mut self, now: Micros) -> Option<HashMap<String, Micros>> {
        (now < self.received_at + HINT_VALIDITY).then(|| std::mem::take(&mut self.last_contact_at))
    }
}
