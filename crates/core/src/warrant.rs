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
use dillcleat_wire::cloud::CloudCall;

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
pub struct Footing {
    /// When the call was sent by whose answer this node was last proved to lead.
    pub proved: Micros,
    /// The state service answers nobody: so say most of the controllers, this one
    /// among them, and none says otherwise. Then no other can have been elected.
    pub outage: bool,
    /// There are controllers in other zones, and none of them is heard.
    pub apart: bool,
}

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ground {
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
pub enum Deed {
    /// Changes nothing.
    Look,
    Rent,
    Delete(Ground),
}

/// Leave to send one call; only a [`Footing`] gives it.
#[derive(Debug)]
pub struct Leave {
    until: Micros,
    lasting: bool,
}

impl Footing {
    /// Whether this node led a moment ago.
    pub fn proved(&self, config: &Config, now: Micros) -> bool {
        now < self.proved + proof_time(config)
    }

    /// Leave to do it, if there is any.
    ///
    /// While the state service is out for everybody there is no proof, and nothing
    /// is rented, returned or given up for silence. Only what the rules need goes on:
    /// whoever was told that a job is cancelled is owed the end of its tasks.
    pub fn leave(&self, config: &Config, now: Micros, deed: Deed) -> Option<Leave> {
        let until = match deed {
            Deed::Look => Micros::MAX,
            _ if self.proved(config, now) => self.proved + proof_time(config),
            Deed::Delete(Ground::Cancelled) if self.outage => now + proof_time(config),
            Deed::Rent | Deed::Delete(_) => return None,
        };
        let lasting = deed != Deed::Look;
        Some(Leave { until, lasting })
    }
}

impl Leave {
    /// Whether it is leave for a call such as this.
    pub(crate) fn covers(&self, call: &CloudCall) -> bool {
        let lasting = matches!(call, CloudCall::Rent(_) | CloudCall::Delete(_));
        self.lasting || !lasting
    }

    /// For how long from now on the call may be put on its way.
    pub(crate) fn within(&self, now: Micros) -> Micros {
        self.until.saturating_sub(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Tuning;
    use dillcleat_wire::platform::Platform;

    fn config(ttl: f64) -> Config {
        let text = include_str!("../../../deploy/example-node.toml");
        let platform = Platform::parse(text).expect("good settings");
        let lead_ttl_s = ttl;
        Config::new(
            &platform,
            Tuning {
                lead_ttl_s,
                ..Tuning::default()
            },
        )
    }

    /// Leave ends before the loan does, whatever the loan's time.
    #[test]
    fn nothing_that_lasts_is_sent_once_another_may_lead() {
        for ttl in [0.5, 2.5, 60.0] {
            let config = config(ttl);
            let sent = 100 * SECOND;
            let footing = Footing {
                proved: sent,
                ..Footing::default()
            };
            let silent = Deed::Delete(Ground::Silent);
            for deed in [Deed::Rent, silent, Deed::Delete(Ground::Cancelled)] {
                let leave = footing.leave(&config, sent + 100_000, deed);
                let leave = leave.expect("proved a moment ago");
                let last = sent + 100_000 + leave.within(sent + 100_000);
                // By a clock that runs 0.05% slow.
                assert!(
                    (last - sent) * 10_005 / 10_000 < micros(ttl),
                    "{ttl} {deed:?}"
                );
                assert!(
                    footing.leave(&config, last, deed).is_none(),
                    "{ttl} {deed:?}"
                );
            }
            let look = footing.leave(&config, sent + 100 * SECOND, Deed::Look);
            assert!(look.is_some_and(|l| !l.covers(&CloudCall::Delete(Vec::new()))));
        }
    }

    #[test]
    fn an_outage_leaves_only_what_cancellations_need() {
        let config = config(2.5);
        let footing = Footing {
            outage: true,
            ..Footing::default()
        };
        let given = |deed| footing.leave(&config, 100 * SECOND, deed).is_some();
        assert!(given(Deed::Delete(Ground::Cancelled)));
        assert!(!given(Deed::Delete(Ground::Silent)));
        assert!(!given(Deed::Delete(Ground::Returned)));
        assert!(!given(Deed::Rent));
    }
}
