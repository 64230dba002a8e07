//! Scenarios in which several faults coincide. The example `fault_search` runs more seeds.

mod common;

use common::run_clean;
use dillcleat_simulator::{CrashPoint, Scenario};

/// This seed guards against two nodes that conclude that the store is down while a third node,
/// which they cannot reach, is elected. The former leader would continue to delete machines.
const FORMER_LEADER_SEED: u64 = 11387;
/// In this seed, no node reaches the store for a minute, all nodes crash, and then transactions
/// are lost.
const LOST_TRANSACTIONS_SEED: u64 = 3909;
/// In these seeds, the reply to a heartbeat arrives after its launch was also sent in a command
/// batch, carried out, and its attempt had exited.
const OVERTAKEN_REPLY_SEEDS: [u64; 3] = [22, 44, 98];
/// In these seeds, an outage begins before the leader has read the cancellation of a job that
/// others need.
const CANCELLED_PIPELINE_SEEDS: [u64; 3] = [134, 149, 195];
/// In these seeds, the batch that the leader sends when the limit is lowered exceeds it.
const LOWERED_WRITE_RATE_SEEDS: [u64; 3] = [8, 17, 19];
/// As above; in at least one of them a value exceeds its lowered limit as well.
const LOWERED_LIMITS_SEEDS: [u64; 3] = [4, 38, 41];
/// In these seeds, users cancel so many jobs that the store refuses most cancellations.
const MANY_CANCELLATIONS_SEEDS: [u64; 3] = [220, 261, 545];

fn run_combined_faults(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        run_clean(Scenario::combined_faults(seed));
    }
}

#[test]
fn rules_hold_under_combined_faults_seeds_0_to_5() {
    run_combined_faults(0..6);
}

#[test]
fn rules_hold_under_combined_faults_seeds_6_to_11() {
    run_combined_faults(6..12);
}

#[test]
fn rules_hold_under_combined_faults_seeds_12_to_17() {
    run_combined_faults(12..18);
}

#[test]
fn rules_hold_under_consecutive_store_outages() {
    for seed in 0..8 {
        run_clean(Scenario::store_outages(seed));
    }
}

#[test]
fn former_leader_assumes_no_store_outage_while_a_peer_is_unreachable() {
    run_clean(Scenario::pipelines(FORMER_LEADER_SEED));
}

#[test]
fn lost_transactions_leave_no_job_unanswered() {
    run_clean(Scenario::combined_faults(LOST_TRANSACTIONS_SEED));
}

/// Crashes the caller at one of the three crash points of about every 32nd call to the store.
/// The example `fault_search` covers every call.
#[test]
fn rules_hold_after_a_crash_at_a_store_call() {
    let calls = run_clean(Scenario {
        crash_at_call: None,
        ..Scenario::crash_at_call(0)
    })
    .store_calls;
    assert!(calls > 200, "{calls} store calls");
    for seed in (1..3 * calls).step_by(97) {
        run_clean(Scenario::crash_at_call(seed));
    }
    let last = Scenario::crash_at_call(3 * calls);
    assert_eq!(
        last.crash_at_call,
        Some((calls, CrashPoint::BeforeExecution))
    );
}

/// Guards against a reap of an exited attempt that a late reply to a heartbeat launches again,
/// so that its task runs on two machines.
#[test]
fn task_runs_once_if_replies_to_heartbeats_are_overtaken() {
    for seed in OVERTAKEN_REPLY_SEEDS {
        run_clean(Scenario::slow_links(seed));
    }
}

/// Guards against jobs that are reported as open after an outage although a job that they need was
/// cancelled before it.
#[test]
fn jobs_after_a_cancelled_one_are_not_reported_as_open_after_an_outage() {
    for seed in CANCELLED_PIPELINE_SEEDS {
        run_clean(Scenario::cancelled_pipelines(seed));
    }
}

/// Guards against a leader that repeats a batch of writes which the lowered limit of the store never
/// allows, so that nothing that it has to write is written any more.
#[test]
fn jobs_run_after_the_write_rate_was_lowered() {
    for seed in LOWERED_WRITE_RATE_SEEDS {
        let outcome = run_clean(Scenario::lowered_write_rate(seed));
        assert!(outcome.rate_limited_transactions > 0, "seed {seed}");
    }
}

/// As above, if the store lowers its limits of values and transactions at the same time.
#[test]
fn jobs_run_after_all_limits_were_lowered() {
    let mut oversized_requests = 0;
    for seed in LOWERED_LIMITS_SEEDS {
        let outcome = run_clean(Scenario::lowered_limits(seed));
        assert!(outcome.rate_limited_transactions > 0, "seed {seed}");
        oversized_requests += outcome.refused_over_lowered_limits;
    }
    assert!(oversized_requests > 0);
}

/// Guards against cancellations which users repeat until they use up the limit of the store, so that
/// no request is answered any more.
#[test]
fn jobs_are_answered_while_many_cancellations_exceed_the_write_rate() {
    for seed in MANY_CANCELLATIONS_SEEDS {
        let outcome = run_clean(Scenario::lowered_write_rate(seed));
        assert!(outcome.rate_limited_transactions > 0, "seed {seed}");
    }
}
