//! Scenarios in which copies of requests that were carried out arrive again.

use crate::scenario::{Fault, LEADER, Scenario};
use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

/// Salt of the seed of [`Scenario::late_copies`].
const LATE_COPIES_SEED_SALT: u64 = 0xc091;
/// Salt of the seed of [`Scenario::combined_faults_with_late_copies`].
const COMBINED_SEED_SALT: u64 = 0xc092;

/// A crash of the leader, which is back after a fifth of a second.
fn short_leader_crash() -> Fault {
    Fault::Crash {
        nodes: vec![LEADER],
        down: SECOND / 5,
    }
}

/// Draws a fault by which attempts end early or move, or by which the leader changes.
fn fault_that_ends_attempts(rng: &mut Rng) -> Fault {
    let time = rng.u64(SECOND..20 * SECOND);
    match rng.u8(..9) {
        0 | 1 => Fault::FaultyMachine,
        2 => Fault::SpotPreemption {
            notice: Some(rng.u64(4 * SECOND..20 * SECOND)),
        },
        3 | 4 => Fault::CancelRunningJobs {
            jobs: rng.usize(2..8),
            hang: if rng.bool() { time } else { 0 },
        },
        5 => Fault::Hang {
            machines: rng.usize(1..5),
            time,
        },
        6 => Fault::Pause { node: LEADER, time },
        7 => Fault::InboundLoss {
            machines: rng.usize(1..5),
            time,
        },
        _ => short_leader_crash(),
    }
}

/// The fault that delivers copies from the beginning until `end`.
fn late_copies_until(rng: &mut Rng, end: Micros) -> (Micros, Fault) {
    let percent = rng.u8(10..60);
    (0, Fault::LateCopies { percent, time: end })
}

impl Scenario {
    /// Copies of all requests that were carried out arrive again, while attempts end early and
    /// the leader changes.
    pub fn late_copies(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(13) ^ LATE_COPIES_SEED_SALT);
        let mut scenario = Scenario::quiet(seed);
        let stream_start = rng.u64(5 * SECOND..30 * SECOND);
        scenario.single_task_stream = Some((stream_start, rng.u64(60 * SECOND..120 * SECOND)));
        scenario.small_jobs = true;
        scenario.varied_jobs = rng.bool();
        let mut at = rng.u64(15 * SECOND..30 * SECOND);
        while at < scenario.activity_end {
            let fault = fault_that_ends_attempts(&mut rng);
            scenario.faults.push((at, fault));
            at += rng.u64(2 * SECOND..20 * SECOND);
        }
        let copies = late_copies_until(&mut rng, scenario.activity_end);
        scenario.faults.push(copies);
        scenario
    }

    /// As [`combined_faults`](Self::combined_faults), but copies of all requests that were carried
    /// out arrive again, and the leader crashes for a fifth of a second several times.
    pub fn combined_faults_with_late_copies(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(19) ^ COMBINED_SEED_SALT);
        let mut scenario = Scenario::combined_faults(seed);
        for _ in 0..rng.usize(2..6) {
            let at = rng.u64(15 * SECOND..scenario.activity_end);
            scenario.faults.push((at, short_leader_crash()));
        }
        let copies = late_copies_until(&mut rng, scenario.activity_end);
        scenario.faults.push(copies);
        scenario
    }
}
