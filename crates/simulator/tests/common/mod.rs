//! What every day of a rehearsal has to come to.

use dillcleat_simulator::{Outcome, Scenario, World};

/// Plays a day: the rules hold, all work ends and nothing stays behind.
pub fn clean(scenario: Scenario) -> Outcome {
    let faults = scenario.faults.clone();
    let day = format!("seed {}, {:?}", scenario.seed, scenario.ends_at_call);
    let o = World::new(scenario).run();
    assert_eq!(o.violations, [], "{day}: {faults:?}");
    assert_eq!(o.malformed, [""; 0], "{day}");
    assert_eq!(o.stale, [""; 0], "{day}");
    assert_eq!(o.unfinished, [""; 0], "{day}: {faults:?}");
    assert_eq!(o.left, [""; 0], "{day}: keys left, {faults:?}");
    o
}
