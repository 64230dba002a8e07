//! When a machine that does not come up is late.

use super::*;

const BOOT: Micros = 15 * SECOND;

fn started(zone: &str, at: Micros) -> Machine {
    Machine::new("m", "t", zone, true, at)
}

#[test]
fn a_machine_that_others_overtake_is_late_and_a_slow_time_is_waited_out() {
    let mut boots = BootEstimator::default();
    let start = 1000 * SECOND;
    let m = started("a", start);
    let progress = |boots: &BootEstimator, s| boots.progress(&m, BOOT, start + s * SECOND);
    assert_eq!(progress(&boots, 20), BootProgress::OnTime);
    // Nothing else is up: a slow time, and no reason to begin anew.
    assert_eq!(progress(&boots, 60), BootProgress::AllSlow);
    assert!(boots.max_wait(&m, BOOT) > 120 * SECOND);
    // What was started before says nothing of it.
    boots.record_boot(&started("a", start - 100 * SECOND), start - 85 * SECOND);
    assert_eq!(progress(&boots, 60), BootProgress::AllSlow);
    // In another zone one that was started after it is up.
    boots.record_boot(&started("b", start + 30 * SECOND), start + 45 * SECOND);
    assert_eq!(progress(&boots, 60), BootProgress::Late);
    assert_eq!(boots.max_wait(&m, BOOT), 70 * SECOND);
    // Its own zone is slow: others of the same scale-out took longer.
    boots.record_boot(&started("a", start), start + 80 * SECOND);
    assert_eq!(progress(&boots, 90), BootProgress::OnTime);
    assert_eq!(boots.max_wait(&m, BOOT), 210 * SECOND);
}
