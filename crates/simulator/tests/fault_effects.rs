//! Checks that injected faults take effect: a run with the fault differs from one without it,
//! and the rules hold in both. One more scenario runs with teams at their limits.

mod common;

use common::run_clean;
use dillcleat_controller::SECOND;
use dillcleat_simulator::{Fault, LEADER, Outcome, Scenario};

const SEED: u64 = 5;
const TEAM_LIMITS_SEED: u64 = 7;
const HEARTBEAT_SEEDS: std::ops::Range<u64> = 1..7;

/// Runs a scenario in which the leader crashes, during the given fault if there is one.
fn run_with_fault(fault: Option<Fault>) -> Outcome {
    run_seed_with_fault(SEED, fault)
}

fn run_seed_with_fault(seed: u64, fault: Option<Fault>) -> Outcome {
    let crash = Fault::Crash {
        nodes: vec![LEADER],
        down: SECOND,
    };
    let mut faults = vec![(90 * SECOND, crash)];
    faults.extend(fault.map(|f| (70 * SECOND, f)));
    run_clean(Scenario {
        faults,
        jobs: 16,
        small_jobs: true,
        ..Scenario::quiet(seed)
    })
}

fn heartbeats_received(o: &Outcome) -> u64 {
    o.input_times.get("report").map_or(0, |(count, _)| *count)
}

#[test]
fn injected_faults_change_the_run() {
    let time = 60 * SECOND;
    let percent = 50;
    let without_fault = run_with_fault(None);
    let faults = [
        Fault::HeartbeatLoss {
            machines: usize::MAX,
            zone: Some(0),
            time,
        },
        Fault::ZoneMachineFailure {
            machines: usize::MAX,
            zone: 0,
        },
        Fault::LostWriteReplies { percent, time },
        Fault::LateCopies { percent, time },
        Fault::ExtraRequests { time },
        Fault::CancelOnAcceptance { percent, time },
        Fault::CancelOnCompletion { percent, time },
        Fault::CancelRunningJobs {
            jobs: 3,
            hang: time,
        },
    ];
    for fault in faults {
        let fault_text = format!("{fault:?}");
        let run = run_with_fault(Some(fault));
        assert_ne!(
            run.answer_digest, without_fault.answer_digest,
            "{fault_text}"
        );
    }
    let irregular = run_with_fault(Some(Fault::IrregularRequests { time }));
    let requests = irregular.irregular_requests;
    assert!(requests > 30, "{requests} irregular requests");
}

/// The two runs of a seed diverge, so that the number of machines may differ as well; several seeds
/// are added up.
#[test]
fn next_leader_receives_copies_of_heartbeats() {
    let time = 60 * SECOND;
    let percent = 50;
    let (mut with, mut without) = (0, 0);
    for seed in HEARTBEAT_SEEDS {
        let fault = Fault::HeartbeatsForNextLeader { percent, time };
        with += heartbeats_received(&run_seed_with_fault(seed, Some(fault)));
        without += heartbeats_received(&run_seed_with_fault(seed, None));
    }
    assert!(
        with > without + 30 * HEARTBEAT_SEEDS.count() as u64,
        "{with} heartbeats with the fault, {without} without"
    );
}

/// Guards against jobs that starve when every team is at its limit, some jobs are bound to
/// a zone, and many jobs of one task arrive.
#[test]
fn jobs_complete_with_teams_at_their_limits() {
    let o = run_clean(Scenario {
        small_jobs: true,
        varied_jobs: true,
        tight_quotas: true,
        single_task_stream: Some((20 * SECOND, 60 * SECOND)),
        ..Scenario::quiet(TEAM_LIMITS_SEED)
    });
    assert!(o.accepted >= 240, "{} jobs accepted", o.accepted);
}
