//! No job waits for 90 s beside a machine that fits, with its team under its limit.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::config::StartObjective;
use dillcleat_controller::{Config, Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};

/// No job waits for longer beside a machine that fits.
const BOUND: Micros = 90 * SECOND;

/// Replicas of the class `c` are expected sooner than any machine boots.
fn hurried() -> Config {
    let mut config = config_with_team();
    config.start_objectives = vec![StartObjective {
        class: "c".into(),
        within: SECOND,
    }];
    config
}

fn service(replicas: u32) -> JobSpec {
    JobSpec {
        priority: Priority::High,
        ..JobSpec::plain("req-000900", JobKind::Service, replicas, 1.0)
    }
}

fn batch(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        class: "b".into(),
        ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
    }
}

/// Spot offers are refused for good: the cloud has none. Such a job once waited for ever
/// beside the room of services, of which it needs little and gets no more.
#[test]
fn the_reserve_gives_way_in_time_and_no_further_than_it_must() {
    let mut fleet = Fleet::new(hurried(), vec![with_spot(5.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    let from = fleet.now;
    fleet.submit(batch("req-000001", 9));
    // One replica runs, three CPUs are kept: one is left.
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
    fleet.submit(batch("req-000002", 9));
    fleet.advance(30 * SECOND);
    assert_eq!(
        fleet.cpus_used_by(&["req-000002"]),
        0,
        "the reserve is kept"
    );
    fleet.advance(BOUND - 40 * SECOND);
    let starts = fleet.starts_of("req-000002");
    assert_eq!(starts.len(), 1, "{:?}", fleet.starts);
    assert!(starts[0].0 > from + 45 * SECOND);
    // Its first task took what was kept from nobody.
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 2);
    // Those whom it is kept for make them yield it.
    fleet.submit(JobSpec {
        id: "req-000901".into(),
        ..service(2)
    });
    fleet.advance(4 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000900", "req-000901"]), 3);
}

/// Since when a job waits is known to its leader alone: the next one counts from its own
/// start, and so within the bound of the last change.
#[test]
fn a_new_leader_lets_the_reserve_give_way_within_the_bound_of_its_start() {
    let mut fleet = Fleet::new(hurried(), vec![with_spot(4.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    fleet.submit(batch("req-000001", 9));
    for _ in 0..3 {
        fleet.advance(30 * SECOND);
        assert_eq!(fleet.cpus_used_by(&["req-000001"]), 0);
        fleet.replace_leader();
    }
    fleet.advance(BOUND - 30 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
}

/// What is lent counts as kept: the room is not rented again for the next that starves.
#[test]
fn no_ordinary_machine_is_rented_for_what_is_lent() {
    let mut config = hurried();
    config.tuning.spare_share = 1.0;
    let mut fleet = Fleet::new(config, vec![with_spot(5.0)]);
    fleet.rentable.insert(("a".into(), false), 9);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.submit(batch("req-000001", 9));
    fleet.advance(150 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 4);
    assert_eq!(fleet.workers.len(), 1);
}

/// A job that failed on two faulty machines is tried with one task at a time. That one
/// may run for long, and proves nothing meanwhile.
#[test]
fn a_doubtful_job_waits_no_longer_than_others_beside_free_machines() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    fleet.add_machine("m0", "a", false).faulty = true;
    fleet.add_machine("m1", "a", false).faulty = true;
    fleet.submit(batch("req-000001", 3));
    fleet.advance(10 * SECOND);
    let failed = fleet.starts_of("req-000001");
    assert!(
        ["m0", "m1"]
            .iter()
            .all(|m| failed.iter().any(|s| s.1 == *m))
    );
    fleet.add_machine("m2", "a", false);
    for running in [2, 3] {
        fleet.advance(BOUND);
        assert_eq!(
            fleet.cpus_used_by(&["req-000001"]),
            running,
            "{:?}",
            fleet.starts
        );
    }
}

/// The only machines that fit have failed the job, or several: a bad day of theirs, with
/// replicas on them that stay. Nothing once took them off their lists.
#[test]
fn a_job_is_tried_again_where_it_or_others_failed() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.add_machine("m1", "b", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    let name = fleet.machines_running("req-000900").remove(0);
    let bad_day = |fleet: &mut Fleet, bad| fleet.worker(&name).faulty = bad;
    // They run elsewhere, and so tell against the machine on which they fail.
    for id in ["req-000001", "req-000002"] {
        fleet.task_durations.insert(id.into(), 12 * SECOND);
    }
    bad_day(&mut fleet, true);
    fleet.submit(batch("req-000001", 12));
    fleet.submit(batch("req-000002", 12));
    fleet.advance(60 * SECOND);
    bad_day(&mut fleet, false);
    let other = if name == "m0" { "m1" } else { "m0" };
    fleet.workers.remove(other);
    fleet.submit(batch("req-000003", 1));
    fleet.advance(BOUND);
    assert_eq!(
        fleet.machines_running("req-000003"),
        [name],
        "{:?}",
        fleet.starts
    );
}

/// A machine takes nothing while something is on it that nobody placed there: that is
/// stopped at once.
#[test]
fn strays_keep_a_machine_for_seconds() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(1.0)]);
    fleet
        .add_machine("m0", "a", false)
        .add_unplaced_task("req-000009/0");
    fleet.submit(batch("req-000001", 1));
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
}

/// A machine that is to be returned while the cloud is out takes nothing. Once the cloud is
/// back it goes, and another comes for the job that waits beside it.
#[test]
fn a_machine_that_is_being_returned_keeps_nobody_waiting() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(1.0)]);
    fleet.rentable.insert(("a".into(), false), 9);
    fleet.add_machine("m0", "a", false);
    fleet.advance(50 * SECOND);
    fleet.cloud_outage = true;
    fleet.advance(20 * SECOND);
    let spec = batch("req-000001", 1);
    fleet.submit(JobSpec {
        spot: false,
        ..spec
    });
    fleet.advance(5 * SECOND);
    assert_eq!(
        fleet.cpus_used_by(&["req-000001"]),
        0,
        "it is to be returned"
    );
    fleet.cloud_outage = false;
    fleet.advance(20 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["r01"]);
}

fn with_spot(cpus: f64) -> dillcleat_wire::cloud::MachineType {
    dillcleat_wire::cloud::MachineType {
        spot_price: Some(0.3),
        ..machine_type(cpus)
    }
}
