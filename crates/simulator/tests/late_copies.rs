//! Copies of requests that were carried out and answered arrive again, up to minutes later.

mod common;

use common::run_clean;
use dillcleat_simulator::Scenario;

/// In these seeds, a copy of an answered launch command arrives after its attempt was reaped.
const REAPED_ATTEMPT_SEEDS: [u64; 7] = [0, 15, 29, 31, 47, 53, 60];

#[test]
fn attempt_starts_once_if_copies_of_answered_launch_commands_arrive_after_its_reap() {
    for seed in REAPED_ATTEMPT_SEEDS {
        run_clean(Scenario::late_copies(seed));
    }
}

#[test]
fn rules_hold_if_late_copies_coincide_with_combined_faults_and_short_leader_crashes() {
    for seed in 0..8 {
        run_clean(Scenario::combined_faults_with_late_copies(seed));
    }
}
