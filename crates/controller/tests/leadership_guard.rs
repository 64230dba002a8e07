//! Which requests a leader may send to the cloud, and until when.

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

/// Permits for changes expire before the leader lease, whatever its TTL.
#[test]
fn permits_for_changes_expire_before_the_leader_lease() {
    for ttl in [0.5, 2.5, 60.0] {
        let config = config(ttl);
        let sent = 100 * SECOND;
        let proof = LeadershipProof {
            proved_at: sent,
            ..LeadershipProof::default()
        };
        for action in DELETIONS.into_iter().chain([CloudAction::ScaleOut]) {
            let is_permitted = |at| proof.permit(&config, at, action).is_some();
            let permit = proof.permit(&config, sent + 100 * MILLISECOND, action);
            let permit = permit.expect("the proof is recent");
            let last = sent + 100 * MILLISECOND + permit.within(sent + 100 * MILLISECOND);
            assert_eq!(last, sent + proof_validity(&config));
            // Even by a clock that runs 0.05% slow.
            assert!(
                (last - sent) * 10_005 / 10_000 < micros(ttl),
                "{ttl} {action:?}"
            );
            assert!(
                is_permitted(last - 1) && !is_permitted(last),
                "{ttl} {action:?}"
            );
        }
        let read_only = proof.permit(&config, sent + 100 * SECOND, CloudAction::Read);
        assert!(read_only.is_some_and(|p| !p.covers(&CloudRequest::Delete(Vec::new()))));
    }
}

/// With a slow store the leader lease is longer than configured. It is never shorter, because
/// the validity of the proof depends on it, and short enough that a successor is elected
/// before the worker leases expire.
#[test]
fn leader_lease_follows_store_latency_and_outlasts_the_proof() {
    for ttl in [0.5, 1.25, 60.0] {
        let config = config(ttl);
        let mut previous_lease = 0;
        for latency in [0, 20, 400, 1500, 60_000].map(|ms| ms * MILLISECOND) {
            let lease = lease_time(&config, latency);
            assert!(
                proof_validity(&config) * 10_005 / 10_000 < lease,
                "{ttl} {latency}"
            );
            assert!(lease >= micros(ttl) && lease >= previous_lease);
            assert!(lease <= micros(ttl).max(config.worker_lease / 3));
            previous_lease = lease;
        }
        assert!(
            ttl > 10.0 || previous_lease > micros(ttl),
            "the lease grows"
        );
    }
}

/// This includes cancellations: without a proof the worker leases end the tasks.
#[test]
fn without_recent_proof_no_change_is_permitted() {
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
