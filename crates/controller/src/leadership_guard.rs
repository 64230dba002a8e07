//! Guards irreversible actions against a leader that may have lost its leadership.
//!
//! A deletion, a scale-out and the stop of a running task cannot be undone, and are not
//! fenced by the term: the cloud does not check terms. The sender must therefore have
//! proved recently that it leads. The proof is a response of the store that granted or
//! renewed the lease to which `s/lead` is bound: after the send time of that request, no
//! other node can be elected until the lease expires.
//!
//! The types enforce this. A request to the cloud can only be sent by
//! [`Context::cloud_request`](crate::calls::Context::cloud_request), which takes a
//! [`CloudPermit`], and only [`LeadershipProof::permit`] issues one. Without it, a leader
//! in a partitioned zone could take the other zones for failed, and a delayed request of
//! it could delete their machines after the partition has ended.

use crate::{Config, Micros, SECOND, micros};
use dillcleat_wire::cloud::CloudRequest;

/// The maximum validity of a proof, however long the lease is.
const MAX_PROOF_VALIDITY: Micros = 4 * SECOND;

/// How long a proof is valid after the request was sent whose response is the proof. This
/// is four fifths of the shortest lease; the rest is a margin for clock drift and for the
/// time that it takes to write a permitted request.
pub fn proof_validity(config: &Config) -> Micros {
    (micros(config.tuning.lead_ttl_s) / 5 * 4).min(MAX_PROOF_VALIDITY)
}

/// The evidence for this node's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeadershipProof {
    /// Monotonic send time of the latest request whose response proved that this node
    /// leads.
    pub proved_at: Micros,
    /// Whether there are controllers in other zones and none of them is reachable. If other
    /// zones are unresponsive, it is then more likely that this node's zone is partitioned.
    pub isolated: bool,
}

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeletionReason {
    /// A cancelled task may still run on the machine: its end is not confirmed.
    Cancelled,
    /// The cloud lists the machine as failed, so that the deletion only removes the entry.
    Failed,
    /// The machine's heartbeats were missing for too long, or it never came up.
    Unresponsive,
    /// The machine is not needed (scale-in), or it is cordoned.
    Unneeded,
}

/// The kind of access to the cloud that a permit is requested for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudAction {
    /// Reads without changing anything.
    Read,
    /// Starts machines.
    ScaleOut,
    /// Deletes machines.
    Delete(DeletionReason),
}

/// Permission to send one request to the cloud; see the [module](self).
#[derive(Debug)]
pub struct CloudPermit {
    valid_until: Micros,
    allows_changes: bool,
}

impl LeadershipProof {
    /// Whether the proof is recent enough for irreversible actions.
    pub fn is_recent(&self, config: &Config, now: Micros) -> bool {
        now < self.proved_at + proof_validity(config)
    }

    /// Issues a permit for the action; None if the action is a change and the proof is not
    /// recent.
    ///
    /// Without a recent proof, no [`DeletionReason`] suffices. Even if the store appears to
    /// be unavailable to all controllers, a newly elected leader may exist that this node
    /// cannot reach. The tasks of a cancelled job end in that case because the machine's
    /// heartbeats are not answered and its lease expires (`Leader::heartbeat`).
    pub fn permit(&self, config: &Config, now: Micros, action: CloudAction) -> Option<CloudPermit> {
        match action {
            CloudAction::Read => Some(CloudPermit {
                valid_until: Micros::MAX,
                allows_changes: false,
            }),
            CloudAction::ScaleOut | CloudAction::Delete(_) => {
                self.is_recent(config, now).then(|| CloudPermit {
                    valid_until: self.proved_at + proof_validity(config),
                    allows_changes: true,
                })
            }
        }
    }
}

impl CloudPermit {
    /// Whether the permit allows this request.
    pub fn covers(&self, call: &CloudRequest) -> bool {
        let is_change = matches!(call, CloudRequest::ScaleOut(_) | CloudRequest::Delete(_));
        self.allows_changes || !is_change
    }

    /// The time from `now` within which the request must be written to its connection.
    pub fn within(&self, now: Micros) -> Micros {
        self.valid_until.saturating_sub(now)
    }
}
