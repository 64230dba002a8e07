//! Days on which troubles meet (docs/meetings.md). More of them by the README's command.

mod common;

use common::clean;
use dillcleat_simulator::{Moment, Scenario};

fn meetings(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        clean(Scenario::meetings(seed));
    }
}

#[test]
fn two_or_three_troubles_meet() {
    meetings(0..6);
}

#[test]
fn troubles_meet_on_more_days() {
    meetings(6..12);
}

#[test]
fn troubles_meet_on_other_days() {
    meetings(12..18);
}

#[test]
fn the_gap_and_a_second_one_right_after() {
    for seed in 0..8 {
        clean(Scenario::gap(seed));
    }
}

/// Two nodes' word was once taken for an outage while the third, which neither heard, was
/// elected: a leader of before had machines deleted.
#[test]
fn a_leader_of_before_takes_no_silence_for_an_outage() {
    clean(Scenario::pipelines(11387));
}

/// No node reaches the store for a minute, all end, and then transactions are lost: a job
/// was once without an answer for 90 s.
#[test]
fn lost_comparisons_leave_no_job_unanswered() {
    clean(Scenario::meetings(3909));
}

/// Around every thirtieth call; the README's command goes over all.
#[test]
fn a_process_ends_at_a_call_to_the_state_service() {
    let calls = clean(Scenario {
        ends_at_call: None,
        ..Scenario::ends_at_call(0)
    })
    .state_calls;
    assert!(calls > 200, "{calls} calls");
    for seed in (1..3 * calls).step_by(97) {
        clean(Scenario::ends_at_call(seed));
    }
    let last = Scenario::ends_at_call(3 * calls);
    assert_eq!(last.ends_at_call, Some((calls, Moment::Before)));
}
