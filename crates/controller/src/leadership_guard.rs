//! Whether a node may still do what lasts.
//!
//! A deletion, a rental or a stop cannot be taken back, and no term is compared
//! where it is carried out: the cloud knows nothing of terms. So whoever does one
//! has to have proved a moment ago that it leads. The proof is an answer of the
//! state service that renewed the loan to which `s/lead` is bound: from the time at
//! which that call was sent, nobody else can be elected before the loan has run out.
//!
//! A leader in a zone that was cut off once went on for 40 s, took the two healthy
//! zones for silent, and had 100 of their machines deleted by a call that was carried
//! out when the cut ended (docs/incidents/rosterwise-nz-fleet-late-deletion.md).

use crate::{Config, Micros, SECOND, micros};
use dillcleat_wire::cloud::CloudRequest;

/// The longest that a proof may be old, however long the loan is.
const OLDEST: Micros = 4 * SECOND;

/// After this long from the sending of a renewal that was answered a node takes
/// itself for a leader no more. Four fifths of the loan: it ends no sooner than its
/// time, by a clock that is up to 0.05% off, and the rest is for writing the call.
pub fn proof_time(config: &Config) -> Micros {
    (micros(config.tuning.lead_ttl_s) / 5 * 4).min(OLDEST)
}

/// What a leader knows of its right to act, as its node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeadershipProof {
    /// When the call was sent by whose answer this node was last proved to lead.
    pub proved: Micros,
    /// There are controllers in other zones, and none of them is heard.
    pub apart: bool,
}

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeletionReason {
    /// A cancelled task may be there that is not seen gone.
    Cancelled,
    /// It was listed as failed: nothing of it is left but its place in the list.
    Failed,
    /// It was silent for too long, or never came up.
    Silent,
    /// Nobody needs it, or it is not to be used.
    Returned,
}

/// What is asked of the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudAction {
    /// Changes nothing.
    Look,
    ScaleOut,
    Delete(DeletionReason),
}

/// Permit to send one call; only a [`LeadershipProof`] gives it.
#[derive(Debug)]
pub struct CloudPermit {
    until: Micros,
    lasting: bool,
}

impl LeadershipProof {
    /// Whether this node led a moment ago.
    pub fn proved(&self, config: &Config, now: Micros) -> bool {
        now < self.proved + proof_time(config)
    }

    /// Permit to do it, if there is any.
    ///
    /// Without proof there is none, for no ground. That most controllers are refused by
    /// the state service and none says otherwise is no proof that it is out: the one that
    /// was elected meanwhile may not be heard (seed 11387 of the pipelines' days). What
    /// whoever was told of a cancellation is owed is left to time: who holds it is not
    /// answered any more, and its lease ends it (`Leader::heartbeat`).
    pub fn permit(&self, config: &Config, now: Micros, action: CloudAction) -> Option<CloudPermit> {
        let until = match action {
            CloudAction::Look => Micros::MAX,
            _ if self.proved(config, now) => self.proved + proof_time(config),
            CloudAction::ScaleOut | CloudAction::Delete(_) => return None,
        };
        let lasting = action != CloudAction::Look;
        Some(CloudPermit { until, lasting })
    }
}

impl CloudPermit {
    /// Whether it permits a call such as this.
    pub fn covers(&self, call: &CloudRequest) -> bool {
        let lasting = matches!(call, CloudRequest::ScaleOut(_) | CloudRequest::Delete(_));
        self.lasting || !lasting
    }

    /// For how long from now on the call may be put on its way, in microseconds.
    pub fn within(&self, now: Micros) -> Micros {
        self.until.saturating_sub(now)
    }
}
