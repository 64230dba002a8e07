//! Runs the large-fleet scenario at a small scale. The example `large_fleet` runs it with
//! thousands of machines.

mod common;

use common::run_clean;
use dillcleat_simulator::Scenario;

const SEED: u64 = 1;

#[test]
fn large_fleet_scenario_passes_at_small_scale() {
    let o = run_clean(Scenario::large_fleet(SEED, 1));
    assert!(o.peak_machines >= 40, "{} machines", o.peak_machines);
    assert!(o.leaders_elected >= 5, "{} leaders", o.leaders_elected);
    assert_eq!(o.service_shares.below_minimum(), [""; 0]);
}
