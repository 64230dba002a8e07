//! Scenarios in which several faults overlap.

use crate::scenario::{Fault, LEADER, Scenario};
use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

/// Salt of the seed of [`Scenario::combined_faults`].
const COMBINED_FAULTS_SEED_SALT: u64 = 0x3ee7;

impl Scenario {
    /// Several groups of faults per run. A group consists of two or three draws that begin
    /// within seconds of each other; one draw may add several faults. Their durations are
    /// near 2, 10, 14, 26, 30, 44 or 60 s. In three of four draws, a fault of a single node
    /// targets the leader.
    pub fn combined_faults(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(23) ^ COMBINED_FAULTS_SEED_SALT);
        let mut scenario = Scenario::quiet(seed);
        let mut at = rng.u64(20 * SECOND..40 * SECOND);
        while at < scenario.activity_end {
            let mut fault_at = at;
            for _ in 0..rng.usize(2..4) {
                // These include values close to the leader lease, the worker lease, the
                // time for which heartbeats are answered without the store, and the
                // cancellation deadline.
                let durations_s = [2, 10, 14, 26, 30, 44, 60];
                let time =
                    durations_s[rng.usize(..durations_s.len())] * SECOND + rng.u64(..3 * SECOND);
                let node = match rng.u8(..4) {
                    0 => rng.usize(..3),
                    _ => LEADER,
                };
                scenario
                    .faults
                    .extend(combined_fault(&mut rng, fault_at, time, node));
                let delays_s = [0, 1, 1, 2, 5, 12];
                fault_at += delays_s[rng.usize(..delays_s.len())] * SECOND + rng.u64(..2 * SECOND);
            }
            at = fault_at + rng.u64(20 * SECOND..70 * SECOND);
        }
        // One run in six has a rolling upgrade, and one in six has pipelines.
        let upgrade_at = rng.u64(10 * SECOND..50 * SECOND);
        match rng.u8(..6) {
            0 => scenario.upgrade = Some((upgrade_at, rng.u64(SECOND..15 * SECOND))),
            1 => scenario.pipelines = rng.usize(2..6),
            _ => {}
        }
        scenario.small_jobs = true;
        scenario.varied_jobs = true;
        scenario.tight_quotas = rng.u8(..4) == 0;
        if rng.u8(..8) == 0 {
            let from = rng.u64(10 * SECOND..100 * SECOND);
            scenario.single_task_stream = Some((from, rng.u64(60 * SECOND..90 * SECOND)));
        }
        scenario
            .faults
            .extend(user_behaviours(&mut rng, scenario.activity_end));
        scenario.jobs = rng.usize(14..26);
        scenario.end = scenario.activity_end + 1000 * SECOND;
        scenario
    }
}

/// Long periods of demanding user behaviour, which overlap the other faults. Each kind
/// occurs in a half or a third of the runs.
fn user_behaviours(rng: &mut Rng, activity_end: Micros) -> Vec<(Micros, Fault)> {
    let mut faults = Vec::new();
    for kind in 0..4 {
        let at = rng.u64(5 * SECOND..activity_end / 2);
        let time = rng.u64(60 * SECOND..activity_end);
        let percent = rng.u8(10..50);
        let fault = match kind {
            0 => Fault::ExtraRequests { time },
            1 => Fault::IrregularRequests { time },
            2 => Fault::CancelOnAcceptance { percent, time },
            _ => Fault::CancelOnCompletion { percent, time },
        };
        if rng.usize(..2 + kind / 2) == 0 {
            faults.push((at, fault));
        }
    }
    faults
}

/// Draws one fault of a group. Some kinds consist of several faults.
fn combined_fault(rng: &mut Rng, at: Micros, time: Micros, node: usize) -> Vec<(Micros, Fault)> {
    let machines = rng.usize(1..7);
    let index = rng.usize(..3);
    let percent = rng.u8(10..60);
    let fault = match rng.u8(..28) {
        0 => Fault::StoreOutage { time },
        1 => Fault::StoreRefusal { node, time },
        // Partitioned from the store and from its peers, but not from workers and users.
        2 | 3 => {
            let partition = Fault::StorePartition { node, time };
            return vec![(at, partition), (at, Fault::PeerPartition { node, time })];
        }
        4 => {
            let refusal = Fault::StoreRefusal { node, time };
            let outage_delay = rng.u64(SECOND / 2..4 * SECOND);
            return vec![
                (at, refusal),
                (at + outage_delay, Fault::StoreOutage { time }),
            ];
        }
        5 | 6 => Fault::DelayedWrites { time },
        7 => Fault::DuplicateHeartbeats { time },
        8 | 9 => Fault::InboundLoss { machines, time },
        10 => Fault::Hang { machines, time },
        11 => Fault::SlowStore { time },
        12 => Fault::AllNodesCrash {
            first_node: index,
            first_down: rng.u64(SECOND / 10..SECOND),
            others_down: rng.u64(SECOND..20 * SECOND),
        },
        13 => {
            let down = rng.u64(SECOND / 10..8 * SECOND);
            let nodes = vec![node];
            return vec![(at, Fault::Crash { nodes, down })];
        }
        // The leader changes four times in a row.
        14 => {
            let crash = |nodes| Fault::Crash {
                nodes,
                down: SECOND / 5,
            };
            let crashes = (0..4).map(|n| (at + n * 3 * SECOND / 2, crash(vec![LEADER])));
            return crashes.collect();
        }
        15 => Fault::WorkerPartition { node, time },
        16 => Fault::Pause { node, time },
        17 => Fault::ZoneWorkerPartition { zone: index, time },
        18 => Fault::HeartbeatLoss {
            machines,
            zone: None,
            time,
        },
        19 => Fault::HeartbeatLoss {
            machines: usize::MAX,
            zone: Some(index),
            time,
        },
        20 | 21 => Fault::LostWriteReplies { percent, time },
        22 => Fault::HeartbeatsForNextLeader { percent, time },
        // Machines boot immediately while transactions are delayed.
        23 => {
            let immediate_boots = Fault::BootDelays {
                time,
                time_factor: 0,
                failure_one_in: u64::MAX,
            };
            return vec![(at, immediate_boots), (at, Fault::DelayedWrites { time })];
        }
        // Ten crashes of leaders in two minutes, in half of the cases with a store outage.
        24 => {
            let interval = rng.u64(8 * SECOND..12 * SECOND);
            let crash = |n: u64| Fault::Crash {
                nodes: vec![LEADER],
                down: SECOND / 5 + n * SECOND / 4,
            };
            let mut faults: Vec<_> = (0..10).map(|n| (at + n * interval, crash(n))).collect();
            if rng.bool() {
                let time = rng.u64(5 * SECOND..20 * SECOND);
                faults.push((at + 3 * interval, Fault::StoreOutage { time }));
            }
            return faults;
        }
        25 => Fault::CancelRunningJobs {
            jobs: rng.usize(2..8),
            hang: 0,
        },
        26 => Fault::CancelRunningJobs {
            jobs: rng.usize(2..8),
            hang: time,
        },
        _ => Fault::ZoneMachineFailure {
            machines: usize::MAX,
            zone: index,
        },
    };
    vec![(at, fault)]
}
