//! Scenarios in which the store lowers its limit of writes per second, alone or with its other
//! limits.

use crate::scenario::{Fault, LEADER, LoweredWriteRate, Scenario};
use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

/// Salt of the seed of [`Scenario::lowered_write_rate`].
const LOWERED_WRITE_RATE_SEED_SALT: u64 = 0x1a7e;
/// Salt of the seed of [`Scenario::lowered_limits`].
const LOWERED_LIMITS_SEED_SALT: u64 = 0x7a1e;

/// Draws a fault near the lowering of the limit that leaves writes without an answer, changes
/// the leader, or makes many changes at once.
fn fault_near_lowering(rng: &mut Rng) -> Fault {
    let time = rng.u64(2 * SECOND..20 * SECOND);
    match rng.u8(..6) {
        0 => Fault::LostWriteReplies {
            percent: rng.u8(10..60),
            time,
        },
        1 => Fault::DelayedWrites { time },
        2 => Fault::Crash {
            nodes: vec![LEADER],
            down: rng.u64(SECOND / 5..4 * SECOND),
        },
        3 => Fault::StorePartition { node: LEADER, time },
        4 => Fault::CancelRunningJobs {
            jobs: rng.usize(4..20),
            hang: 0,
        },
        _ => Fault::CancelNeededJobs {
            jobs: rng.usize(1..6),
        },
    }
}

impl Scenario {
    /// The store enforces its limit of writes per second and lowers it without notice to a rate
    /// that was announced, below what the leader wrote at once before. Arrays whose tasks end
    /// together, a stream of jobs of one task and pipelines make changes meanwhile; writes stay
    /// unanswered and are executed late, leaders crash, and many jobs are cancelled.
    pub fn lowered_write_rate(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(13) ^ LOWERED_WRITE_RATE_SEED_SALT);
        let mut scenario = Scenario::quiet(seed);
        let stream_start = rng.u64(5 * SECOND..20 * SECOND);
        scenario.single_task_stream = Some((stream_start, rng.u64(60 * SECOND..120 * SECOND)));
        scenario.large_job_tasks = Some(rng.u32(60..300));
        scenario.pipelines = rng.usize(1..6);
        let lowered_at = rng.u64(stream_start + 10 * SECOND..120 * SECOND);
        scenario.lowered_write_rate = Some(LoweredWriteRate {
            at: lowered_at,
            before_per_s: 80.0,
            after_per_s: f64::from(rng.u32(8..40)),
        });
        for _ in 0..rng.usize(1..6) {
            let at: Micros = lowered_at - 5 * SECOND + rng.u64(..30 * SECOND);
            scenario.faults.push((at, fault_near_lowering(&mut rng)));
        }
        scenario.end = scenario.activity_end + 1200 * SECOND;
        scenario
    }

    /// As [`Scenario::lowered_write_rate`], but the store also lowers its limits of the size of a
    /// value and of the mutations of a transaction, within seconds before or after.
    pub fn lowered_limits(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(13) ^ LOWERED_LIMITS_SEED_SALT);
        let mut scenario = Scenario::lowered_write_rate(seed);
        let rate_lowered_at = scenario.lowered_write_rate.map_or(0, |rate| rate.at);
        scenario.limits_lowered_at = Some(rate_lowered_at - 5 * SECOND + rng.u64(..10 * SECOND));
        scenario
    }
}
