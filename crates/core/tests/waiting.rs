//! No job waits for 90 s beside a machine that fits, with its team under its limit.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_core::{Config, Micros, SECOND};
use dillcleat_wire::user::{JobSpec, Kind, Priority};

/// No job waits for longer beside a machine that fits.
const BOUND: Micros = 90 * SECOND;

/// Replicas of the class `c` are expected sooner than any machine boots.
fn hurried() -> Config {
    let mut config = config_with_team();
    config.waits = vec![("c".into(), SECOND)];
    config
}

fn service(replicas: u32) -> JobSpec {
    JobSpec {
        priority: Priority::High,
        ..JobSpec::plain("req-000900", Kind::Service, replicas, 1.0)
    }
}

fn batch(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        class: "b".into(),
        ..JobSpec::plain(id, Kind::Batch, tasks, 1.0)
    }
}

/// Spot offers are refused for good: the cloud has none. Such a job once waited for ever
/// beside the room of services, of which it needs little and gets no more.
#[test]
fn the_reserve_gives_way_in_time_and_no_further_than_it_must() {
    let mut fleet = Fleet::new(hurried(), vec![with_spot(5.0)]);
    fleet.machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.pass(5 * SECOND);
    let from = fleet.at;
    fleet.submit(batch("req-000001", 9));
    // One replica runs, three CPUs are kept: one is left.
    fleet.pass(5 * SECOND);
    assert_eq!(fleet.cpus_of(&["req-000001"]), 1);
    fleet.submit(batch("req-000002", 9));
    fleet.pass(30 * SECOND);
    assert_eq!(fleet.cpus_of(&["req-000002"]), 0, "the reserve is kept");
    fleet.pass(BOUND - 40 * SECOND);
    let starts = fleet.starts_of("req-000002");
    assert_eq!(starts.len(), 1, "{:?}", fleet.starts);
    assert!(starts[0].0 > from + 45 * SECOND);
    // Its first task took what was kept from nobody.
    assert_eq!(fleet.cpus_of(&["req-000001"]), 2);
    // Those whom it is kept for make them yield it.
    fleet.submit(JobSpec {
        id: "req-000901".into(),
        ..service(2)
    });
    fleet.pass(4 * SECOND);
    assert_eq!(fleet.cpus_of(&["req-000900", "req-000901"]), 3);
}

/// What is lent counts as kept: the room is not rented again for the next that starves.
#[test]
fn no_ordinary_machine_is_rented_for_what_is_lent() {
    let mut config = hurried();
    config.tuning.spare_share = 1.0;
    let mut fleet = Fleet::new(config, vec![with_spot(5.0)]);
    fleet.stock.insert(("a".into(), false), 9);
    fleet.machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.submit(batch("req-000001", 9));
    fleet.pass(150 * SECOND);
    assert_eq!(fleet.cpus_of(&["req-000001"]), 4);
    assert_eq!(fleet.workers.len(), 1);
}

fn with_spot(cpus: f64) -> dillcleat_wire::cloud::MachineType {
    dillcleat_wire::cloud::MachineType {
        spot_price: Some(0.3),
        ..machine_type(cpus)
    }
}
