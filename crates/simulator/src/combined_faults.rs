//! Days on which troubles meet.

use crate::scenario::{Fault, LEADER, Scenario};
use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

impl Scenario {
    /// A day on which two or three troubles meet, several times: they begin within
    /// seconds of each other or as long after as a lease or a cancellation lasts, and
    /// most are aimed at whoever leads.
    pub fn meetings(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(23) ^ 0x3ee7);
        let mut scenario = Scenario::quiet(seed);
        let mut at = rng.u64(20 * SECOND..40 * SECOND);
        while at < scenario.busy {
            let mut first = at;
            for _ in 0..rng.usize(2..4) {
                // Near a node's lease, a worker's, the limit for answering heartbeats, and a
                // cancellation's.
                let near = [2, 10, 14, 26, 30, 44, 60];
                let time = near[rng.usize(..near.len())] * SECOND + rng.u64(..3 * SECOND);
                let node = match rng.u8(..4) {
                    0 => rng.usize(..3),
                    _ => LEADER,
                };
                scenario.faults.extend(met(&mut rng, first, time, node));
                let after = [0, 1, 1, 2, 5, 12];
                first += after[rng.usize(..after.len())] * SECOND + rng.u64(..2 * SECOND);
            }
            at = first + rng.u64(20 * SECOND..70 * SECOND);
        }
        // A third of the days while versions change, or with pipelines alone.
        let first = rng.u64(10 * SECOND..50 * SECOND);
        match rng.u8(..6) {
            0 => scenario.upgrade = Some((first, rng.u64(SECOND..15 * SECOND))),
            1 => scenario.pipelines = rng.usize(2..6),
            _ => {}
        }
        scenario.small = true;
        scenario.varied = true;
        scenario.tight = rng.u8(..4) == 0;
        if rng.u8(..8) == 0 {
            let from = rng.u64(10 * SECOND..100 * SECOND);
            scenario.stream = Some((from, rng.u64(60 * SECOND..90 * SECOND)));
        }
        scenario.faults.extend(pressing(&mut rng, scenario.busy));
        scenario.jobs = rng.usize(14..26);
        scenario.end = scenario.busy + 1000 * SECOND;
        scenario
    }
}

/// Spells in which users press: each on every second or third day, for long, so that
/// they meet the other troubles.
fn pressing(rng: &mut Rng, busy: Micros) -> Vec<(Micros, Fault)> {
    let mut faults = Vec::new();
    for kind in 0..4 {
        let at = rng.u64(5 * SECOND..busy / 2);
        let time = rng.u64(60 * SECOND..busy);
        let percent = rng.u8(10..50);
        let fault = match kind {
            0 => Fault::CloseLooks { time },
            1 => Fault::OddRequests { time },
            2 => Fault::CancelsAtOnce { percent, time },
            _ => Fault::CancelsAtEnd { percent, time },
        };
        if rng.usize(..2 + kind / 2) == 0 {
            faults.push((at, fault));
        }
    }
    faults
}

/// One of the troubles that meet, or what always comes with it.
fn met(rng: &mut Rng, at: Micros, time: Micros, node: usize) -> Vec<(Micros, Fault)> {
    let machines = rng.usize(1..7);
    let back = rng.usize(..3);
    let percent = rng.u8(10..60);
    let fault = match rng.u8(..28) {
        0 => Fault::StateOutage { time },
        1 => Fault::Refused { node, time },
        // Cut off from the store and the other nodes, not from workers or users.
        2 | 3 => {
            let cut = Fault::CutState { node, time };
            return vec![(at, cut), (at, Fault::CutMesh { node, time })];
        }
        4 => {
            let alone = Fault::Refused { node, time };
            let then = rng.u64(SECOND / 2..4 * SECOND);
            return vec![(at, alone), (at + then, Fault::StateOutage { time })];
        }
        5 | 6 => Fault::LateWrites { time },
        7 => Fault::LateReports { time },
        8 | 9 => Fault::Deaf { machines, time },
        10 => Fault::Hang { machines, time },
        11 => Fault::SlowState { time },
        12 => Fault::AllEnd {
            back,
            soon: rng.u64(SECOND / 10..SECOND),
            others: rng.u64(SECOND..20 * SECOND),
        },
        13 => {
            let down = rng.u64(SECOND / 10..8 * SECOND);
            let nodes = vec![node];
            return vec![(at, Fault::Crash { nodes, down })];
        }
        // Over to another and back.
        14 => {
            let end = |nodes| Fault::Crash {
                nodes,
                down: SECOND / 5,
            };
            let ends = (0..4).map(|n| (at + n * 3 * SECOND / 2, end(vec![LEADER])));
            return ends.collect();
        }
        15 => Fault::CutWorkers { node, time },
        16 => Fault::Pause { node, time },
        17 => Fault::CutZone { zone: back, time },
        18 => Fault::Mute {
            machines,
            zone: None,
            time,
        },
        19 => Fault::Mute {
            machines: usize::MAX,
            zone: Some(back),
            time,
        },
        20 | 21 => Fault::AnswersLost { percent, time },
        22 => Fault::ReportsForNext { percent, time },
        // With writes that lag.
        23 => {
            let up = Fault::Boots {
                time,
                factor: 0,
                never: u64::MAX,
            };
            return vec![(at, up), (at, Fault::LateWrites { time })];
        }
        // Ten leaders in two minutes, half the time with an outage among them.
        24 => {
            let every = rng.u64(8 * SECOND..12 * SECOND);
            let ends = |n: u64| Fault::Crash {
                nodes: vec![LEADER],
                down: SECOND / 5 + n * SECOND / 4,
            };
            let mut all: Vec<_> = (0..10).map(|n| (at + n * every, ends(n))).collect();
            if rng.bool() {
                let time = rng.u64(5 * SECOND..20 * SECOND);
                all.push((at + 3 * every, Fault::StateOutage { time }));
            }
            return all;
        }
        25 => Fault::CancelsNow {
            jobs: rng.usize(2..8),
            hang: 0,
        },
        26 => Fault::CancelsNow {
            jobs: rng.usize(2..8),
            hang: time,
        },
        _ => Fault::ZoneDies {
            machines: usize::MAX,
            zone: back,
        },
    };
    vec![(at, fault)]
}
