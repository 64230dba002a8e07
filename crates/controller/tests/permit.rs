//! What may be sent to the cloud, and until when.

use dillcleat_controller::leadership_guard::{
    CloudAction, DeletionReason, LeadershipProof, proof_validity,
};
use dillcleat_controller::store_latency::lease_time;
use dillcleat_controller::{Config, MILLISECOND, SECOND, Tuning, micros};
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::settings::PlatformSettings;

fn config(lead_ttl_s: f64) -> Config {
    let text = include_str!("../../../deploy/example-node.toml");
    let platform = PlatformSettings::parse(text).expect("good settings");
    let tuning = Tuning {
        lead_ttl_s,
        ..Tuning::default()
    };
    Config::new(&platform, tuning)
}

const DELETIONS: [CloudAction; 4] = [
    CloudAction::Delete(DeletionReason::Cancelled),
    CloudAction::Delete(DeletionReason::Failed),
    CloudAction::Delete(DeletionReason::Unresponsive),
    CloudAction::Delete(DeletionReason::Unneeded),
];

/// Permit ends before the loan does, whatever the loan's time.
#[test]
fn nothing_that_lasts_is_sent_once_another_may_lead() {
    for ttl in [0.5, 2.5, 60.0] {
        let config = config(ttl);
        let sent = 100 * SECOND;
        let proof = LeadershipProof {
            proved_at: sent,
            ..LeadershipProof::default()
        };
        for action in DELETIONS.into_iter().chain([CloudAction::ScaleOut]) {
            let given = |at| proof.permit(&config, at, action).is_some();
            let permit = proof.permit(&config, sent + 100_000, action);
            let permit = permit.expect("proved a moment ago");
            let last = sent + 100_000 + permit.within(sent + 100_000);
            assert_eq!(last, sent + proof_validity(&config));
            // By a clock that runs 0.05% slow.
            assert!(
                (last - sent) * 10_005 / 10_000 < micros(ttl),
                "{ttl} {action:?}"
            );
            assert!(given(last - 1) && !given(last), "{ttl} {action:?}");
        }
        let look = proof.permit(&config, sent + 100 * SECOND, CloudAction::Read);
        assert!(look.is_some_and(|l| !l.covers(&CloudRequest::Delete(Vec::new()))));
    }
}

/// Of a slow state service the lease is longer than the settings say, and never shorter:
/// the proof rests on that. A successor comes before the workers' leases are over.
#[test]
fn a_lease_follows_how_slow_answers_are_and_covers_the_proof() {
    for ttl in [0.5, 1.25, 60.0] {
        let config = config(ttl);
        let mut before = 0;
        for answers in [0, 20, 400, 1500, 60_000].map(|ms| ms * MILLISECOND) {
            let lease = lease_time(&config, answers);
            assert!(
                proof_validity(&config) * 10_005 / 10_000 < lease,
                "{ttl} {answers}"
            );
            assert!(lease >= micros(ttl) && lease >= before);
            assert!(lease <= micros(ttl).max(config.worker_lease / 3));
            before = lease;
        }
        assert!(ttl > 10.0 || before > micros(ttl), "it follows");
    }
}

/// Not for a cancellation either: leases end what nobody can prove to be allowed to.
#[test]
fn without_proof_nothing_is_deleted_on_any_ground() {
    let config = config(2.5);
    for isolated in [false, true] {
        let proof = LeadershipProof {
            proved_at: 0,
            isolated,
        };
        for action in DELETIONS.into_iter().chain([CloudAction::ScaleOut]) {
            assert!(proof.permit(&config, 100 * SECOND, action).is_none());
        }
    }
}
