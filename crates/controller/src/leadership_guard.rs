//! Whether a leader may still do what cannot be undone.
//!
//! A deletion, a scale-out or the stop of a running task cannot be undone, and no term is
//! compared where it is carried out: the cloud knows nothing of terms. So whoever sends
//! one has to have proved a moment ago that it leads. The proof is a response of the store that made or
//! renewed the lease to which `s/lead` is bound: from the time at which that call was
//! sent, no other node can be elected before the lease expires.
//!
//! The types enforce it: [`Context::cloud_request`](crate::calls::Context::cloud_request)
//! is the only way to the cloud and takes a [`CloudPermit`], which only
//! [`LeadershipProof::permit`] issues.
//!
//! A leader in a partitioned zone once went on for 40 s, took the two healthy zones for
//! silent, and had 100 of their machines deleted by a call that was carried out when the
//! partition ended (docs/incidents/rosterwise-nz-fleet-late-deletion.md).

use crate::{Config, Micros, SECOND, micros};
use dillcleat_wire::cloud::CloudRequest;

/// The longest that a proof is valid, however long the lease is.
const MAX_PROOF_TIME: Micros = 4 * SECOND;

/// How long a proof is valid, from the sending of the call whose response gave it. Four
/// fifths of the shortest lease: a lease ends no sooner than its time, by a clock that is
/// up to 0.05% off, and the rest is for writing the request.
pub fn proof_time(config: &Config) -> Micros {
    (micros(config.tuning.lead_ttl_s) / 5 * 4).min(MAX_PROOF_TIME)
}

/// What a leader knows of its right to act, as its node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeadershipProof {
    /// Monotonic time at which the latest call was sent whose response proved that this
    /// node leads.
    pub proved_at: Micros,
    /// There are controllers in other zones, and none of them is reachable. A silence of
    /// other zones is then more likely this node's partition than theirs.
    pub isolated: bool,
}

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeletionReason {
    /// A cancelled task may run there: its end was not confirmed.
    Cancelled,
    /// The cloud lists it as failed: only its entry in the list is left.
    Failed,
    /// Its heartbeats were missing for too long, or it never came up.
    Silent,
    /// Nothing needs it, or it is quarantined.
    Returned,
}

/// What is requested of the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudAction {
    /// Reads only.
    Look,
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
    /// Whether the proof is recent enough to act on.
    pub fn is_recent(&self, config: &Config, now: Micros) -> bool {
        now < self.proved_at + proof_time(config)
    }

    /// Issues a permit for the action; None if it is a change and the proof is not recent.
    ///
    /// Without a recent proof no [`DeletionReason`] is good enough. That the store refuses
    /// most controllers and nobody says otherwise does not prove that it is out for all:
    /// a leader that was elected meanwhile may be unreachable (seed 11387 of the
    /// pipelines' days). What a user was promised by the confirmation of a cancellation is
    /// then left to time: the machine's heartbeats are not answered, and its lease ends
    /// the task (`Leader::heartbeat`).
    pub fn permit(&self, config: &Config, now: Micros, action: CloudAction) -> Option<CloudPermit> {
        match action {
            CloudAction::Look => Some(CloudPermit {
                valid_until: Micros::MAX,
                allows_changes: false,
            }),
            CloudAction::ScaleOut | CloudAction::Delete(_) => {
                self.is_recent(config, now).then(|| CloudPermit {
                    valid_until: self.proved_at + proof_time(config),
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

    /// The time from now within which the request must be written to its connection.
    pub fn within(&self, now: Micros) -> Micros {
        self.valid_until.saturating_sub(now)
    }
}
