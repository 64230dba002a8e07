//! The day of a large fleet, played with a small one: `examples/large_fleet.rs` plays it
//! with thousands of machines.

mod common;

use common::clean;
use dillcleat_simulator::Scenario;

#[test]
fn the_day_of_a_large_fleet_is_clean() {
    let o = clean(Scenario::large_fleet(1, 1));
    assert!(o.machines >= 40, "{} machines", o.machines);
    assert!(o.terms >= 5, "{} leaders", o.terms);
    assert_eq!(o.served.starved(), [""; 0]);
}
