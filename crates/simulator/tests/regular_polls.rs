//! Many users poll at regular intervals while controllers crash.

mod common;

use common::run_clean;
use dillcleat_simulator::Scenario;

/// In these seeds, users whose polls always came when the budget was used up got only refusals
/// for 90 s after a crash of all controllers.
const REFUSED_POLLS_SEEDS: [u64; 2] = [7, 14];

/// Guards against open jobs that are refused in every round of polls after a crash (review/6).
#[test]
fn every_job_is_answered_after_crashes_if_users_poll_at_regular_intervals() {
    std::thread::scope(|scope| {
        for seed in REFUSED_POLLS_SEEDS {
            scope.spawn(move || run_clean(Scenario::regular_polls(seed)));
        }
    });
}
