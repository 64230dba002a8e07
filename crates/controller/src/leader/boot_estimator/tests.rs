//! Tests of boot progress and of the time to wait for a booting machine.

use super::*;

const BOOT: Micros = 15 * SECOND;

fn started(zone: &str, at: Micros) -> Machine {
    Machine::new("m", "t", zone, true, 1, at)
}

#[test]
fn progress_and_max_wait_depend_on_later_boots() {
    let mut boots = BootEstimator::default();
    let start = 1000 * SECOND;
    let m = started("a", start);
    let progress = |boots: &BootEstimator, s| boots.progress(&m, BOOT, start + s * SECOND);
    assert_eq!(progress(&boots, 20), BootProgress::OnTime);
    // No other machine is up: all may be slow, so the machine is not replaced.
    assert_eq!(progress(&boots, 60), BootProgress::AllSlow);
    assert!(boots.max_wait(&m, BOOT) > 120 * SECOND);
    // A machine that was started earlier makes no difference.
    boots.record_boot(&started("a", start - 100 * SECOND), start - 85 * SECOND);
    assert_eq!(progress(&boots, 60), BootProgress::AllSlow);
    // A machine that was started later is up in another zone.
    boots.record_boot(&started("b", start + 30 * SECOND), start + 45 * SECOND);
    assert_eq!(progress(&boots, 60), BootProgress::Late);
    assert_eq!(boots.max_wait(&m, BOOT), 70 * SECOND);
    // The machine's own zone is slow: another machine that was started there at
    // the same time took longer.
    boots.record_boot(&started("a", start), start + 80 * SECOND);
    assert_eq!(progress(&boots, 90), BootProgress::OnTime);
    assert_eq!(boots.max_wait(&m, BOOT), 210 * SECOND);
}
