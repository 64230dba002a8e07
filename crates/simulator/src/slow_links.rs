//! Scenarios in which command batches overtake the replies to heartbeats.

use crate::scenario::{Fault, LEADER, Scenario};
use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

/// Salt of the seed of [`Scenario::slow_links`].
const SLOW_LINKS_SEED_SALT: u64 = 0x510b;

/// Draws a fault by which attempts end early, during slow links that last `time`.
fn fault_that_ends_attempts(rng: &mut Rng, time: Micros) -> Fault {
    match rng.u8(..5) {
        0 | 1 => Fault::FaultyMachine,
        2 => Fault::SpotPreemption {
            notice: Some(rng.u64(4 * SECOND..time)),
        },
        3 => Fault::CancelRunningJobs {
            jobs: rng.usize(2..8),
            hang: 0,
        },
        _ => Fault::Hang {
            machines: 1,
            time: rng.u64(SECOND..10 * SECOND),
        },
    }
}

impl Scenario {
    /// Many jobs of one task on machines whose replies to heartbeats are overtaken by command
    /// batches. Attempts end early there: a machine is faulty, spot instances are preempted,
    /// and jobs are cancelled. In half of the runs leaders crash meanwhile.
    pub fn slow_links(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(17) ^ SLOW_LINKS_SEED_SALT);
        let mut scenario = Scenario::quiet(seed);
        let stream_start = rng.u64(10 * SECOND..40 * SECOND);
        scenario.single_task_stream = Some((stream_start, rng.u64(90 * SECOND..140 * SECOND)));
        scenario.small_jobs = true;
        let mut at = stream_start + 10 * SECOND;
        while at < scenario.activity_end {
            let time = rng.u64(20 * SECOND..60 * SECOND);
            let machines = rng.usize(1..8);
            scenario
                .faults
                .push((at, Fault::SlowLinks { machines, time }));
            let fault = fault_that_ends_attempts(&mut rng, time);
            scenario.faults.push((at + rng.u64(..time / 2), fault));
            if rng.bool() {
                let crash = Fault::Crash {
                    nodes: vec![LEADER],
                    down: rng.u64(SECOND / 5..4 * SECOND),
                };
                scenario.faults.push((at + rng.u64(..time), crash));
            }
            at += rng.u64(time / 2..time + 10 * SECOND);
        }
        scenario
    }
}
