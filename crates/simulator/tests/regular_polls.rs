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

/// In this seed, arrays of a team at its limit wait for more than 90 s beside hundreds of jobs
/// of one task.
const STARVED_ARRAY_SEED: u64 = 24;

/// Guards against arrays that are passed over while a machine has room and their team is below
/// its limit.
#[test]
fn arrays_start_beside_many_one_task_jobs_of_their_team() {
    run_clean(Scenario::regular_polls(STARVED_ARRAY_SEED));
}
