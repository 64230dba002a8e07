//! Checks that every simulated scenario must pass.

use dillcleat_simulator::{Outcome, Scenario, Simulation};

/// Runs a scenario and checks that no rule is violated, all jobs end and no keys remain in
/// the store.
pub fn run_clean(scenario: Scenario) -> Outcome {
    let faults = scenario.faults.clone();
    let run = format!("seed {}, {:?}", scenario.seed, scenario.crash_at_call);
    let o = Simulation::new(scenario).run();
    assert_eq!(o.violations, [], "{run}: {faults:?}");
    assert_eq!(o.protocol_errors, [""; 0], "{run}: requests over a limit");
    assert_eq!(o.stale, [""; 0], "{run}: stale derived state");
    assert_eq!(o.unfinished, [""; 0], "{run}: unfinished jobs, {faults:?}");
    assert_eq!(o.leftover_keys, [""; 0], "{run}: leftover keys, {faults:?}");
    o
}
