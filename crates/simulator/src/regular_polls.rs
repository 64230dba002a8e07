//! Scenarios in which many users ask at regular intervals while controllers crash.

use crate::scenario::{Fault, RegularPolls, Scenario};
use dillcleat_controller::{MILLISECOND, Micros, SECOND};
use fastrand::Rng;

/// Salt of the seed of [`Scenario::regular_polls`].
const REGULAR_POLLS_SEED_SALT: u64 = 0x9011;
/// The number of controllers of a scenario.
const CONTROLLERS: usize = 3;

/// Draws crashes of one controller, of all of them, or of all twice.
fn crashes(rng: &mut Rng, first_at: Micros) -> Vec<(Micros, Fault)> {
    let down = |rng: &mut Rng| rng.u64(SECOND / 5..3 * SECOND);
    let all = |rng: &mut Rng| Fault::AllNodesCrash {
        first_node: rng.usize(..CONTROLLERS),
        first_down: down(rng),
        others_down: down(rng),
    };
    match rng.u8(..4) {
        0 => {
            let nodes = vec![rng.usize(..CONTROLLERS)];
            let down = down(rng);
            vec![(first_at, Fault::Crash { nodes, down })]
        }
        1 | 2 => vec![(first_at, all(rng))],
        _ => {
            let second_at = first_at + rng.u64(2 * SECOND..30 * SECOND);
            vec![(first_at, all(rng)), (second_at, all(rng))]
        }
    }
}

impl Scenario {
    /// Hundreds of jobs of one task are open when controllers crash, since their team is at its
    /// limit. Their users keep their connections and poll every five seconds from their
    /// submission on, so that each keeps its place among the others; a tenth of them cancel, and
    /// new ones arrive until after the crashes. Pipelines and other jobs run meanwhile.
    pub fn regular_polls(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(13) ^ REGULAR_POLLS_SEED_SALT);
        let mut scenario = Scenario::quiet(seed);
        let crash_at = rng.u64(40 * SECOND..80 * SECOND);
        scenario.regular_polls = Some(RegularPolls {
            jobs: rng.usize(500..1500),
            submitted_until: crash_at + rng.u64(..30 * SECOND),
            variation: [0, 0, 250 * MILLISECOND][rng.usize(..3)],
        });
        scenario.pipelines = rng.usize(..4);
        scenario.faults = crashes(&mut rng, crash_at);
        scenario.end = scenario.activity_end + 700 * SECOND;
        scenario
    }
}
