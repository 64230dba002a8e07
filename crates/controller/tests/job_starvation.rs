//! No job waits for more than 90 s while its team is under its limit and a machine with
//! sufficient free capacity exists.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::config::StartObjective;
use dillcleat_controller::{Config, Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};

/// The longest that a job may wait while a machine with sufficient capacity exists.
const MAX_WAIT: Micros = 90 * SECOND;

/// The start objective of class `c` is shorter than the boot time of a machine, so that
/// capacity is reserved for its replicas.
fn config_with_reserve() -> Config {
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

/// No spot machine can be rented. A waiting batch job must get a part of the capacity
/// reserved for services, but no more than one task needs.
#[test]
fn starving_job_borrows_no_more_of_the_service_reserve_than_needed() {
    let mut fleet = Fleet::new(config_with_reserve(), vec![spot_machine_type(5.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    let from = fleet.now;
    fleet.submit(batch("req-000001", 9));
    // One replica runs, and three of the five CPUs are reserved: one is left.
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
    fleet.submit(batch("req-000002", 9));
    fleet.advance(30 * SECOND);
    assert_eq!(
        fleet.cpus_used_by(&["req-000002"]),
        0,
        "the reserve is not lent yet"
    );
    fleet.advance(MAX_WAIT - 40 * SECOND);
    let starts = fleet.starts_of("req-000002");
    assert_eq!(starts.len(), 1, "{:?}", fleet.starts);
    assert!(starts[0].0 > from + 45 * SECOND);
    // One of these two tasks uses the CPU that is not reserved.
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 2);
    // Replicas, for which the capacity is reserved, preempt the batch tasks.
    fleet.submit(JobSpec {
        id: "req-000901".into(),
        ..service(2)
    });
    fleet.advance(4 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000900", "req-000901"]), 3);
}

/// Only the leader knows since when a job waits. A new leader counts from its own election.
#[test]
fn reserve_is_lent_within_the_bound_after_a_leader_change() {
    let mut fleet = Fleet::new(config_with_reserve(), vec![spot_machine_type(4.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    fleet.submit(batch("req-000001", 9));
    for _ in 0..3 {
        fleet.advance(30 * SECOND);
        assert_eq!(fleet.cpus_used_by(&["req-000001"]), 0);
        fleet.replace_leader();
    }
    fleet.advance(MAX_WAIT - 30 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
}

/// Lent capacity still counts as reserved and is not rented again.
#[test]
fn no_machine_is_rented_to_replace_lent_reserve() {
    let mut config = config_with_reserve();
    config.tuning.spare_share = 1.0;
    let mut fleet = Fleet::new(config, vec![spot_machine_type(5.0)]);
    fleet.rentable.insert(("a".into(), false), 9);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.submit(batch("req-000001", 9));
    fleet.advance(150 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 4);
    assert_eq!(fleet.workers.len(), 1);
}

/// A job that failed on two machines is retried with one task at a time. A long run of that
/// task must not block the others beyond the bound.
#[test]
fn job_suspected_of_failing_gets_more_tasks_within_the_bound() {
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
        fleet.advance(MAX_WAIT);
        assert_eq!(
            fleet.cpus_used_by(&["req-000001"]),
            running,
            "{:?}",
            fleet.starts
        );
    }
}

/// The only remaining machine had failures of several jobs, but works again. It keeps running
/// a replica, so that it is not replaced.
#[test]
fn machine_with_past_failures_is_used_again_within_the_bound() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.add_machine("m1", "b", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    let name = fleet.machines_running("req-000900").remove(0);
    let set_faulty = |fleet: &mut Fleet, faulty| fleet.worker(&name).faulty = faulty;
    // They succeed elsewhere, so that their failures are attributed to the machine.
    for id in ["req-000001", "req-000002"] {
        fleet.task_durations.insert(id.into(), 12 * SECOND);
    }
    set_faulty(&mut fleet, true);
    fleet.submit(batch("req-000001", 12));
    fleet.submit(batch("req-000002", 12));
    fleet.advance(60 * SECOND);
    set_faulty(&mut fleet, false);
    let other = if name == "m0" { "m1" } else { "m0" };
    fleet.workers.remove(other);
    fleet.submit(batch("req-000003", 1));
    fleet.advance(MAX_WAIT);
    assert_eq!(
        fleet.machines_running("req-000003"),
        [name],
        "{:?}",
        fleet.starts
    );
}

/// A machine gets no tasks while an unplaced task runs on it, which is stopped at once.
#[test]
fn unplaced_task_blocks_its_machine_only_for_seconds() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(1.0)]);
    fleet
        .add_machine("m0", "a", false)
        .add_unplaced_task("req-000009/0");
    fleet.submit(batch("req-000001", 1));
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
}

/// An idle machine that cannot be returned during a cloud outage gets no tasks. Afterwards it
/// is deleted, and another is rented for the waiting job.
#[test]
fn machine_being_returned_does_not_starve_a_job() {
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
        "the machine is being returned"
    );
    fleet.cloud_outage = false;
    fleet.advance(20 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["r01"]);
}

fn spot_machine_type(cpus: f64) -> dillcleat_wire::cloud::MachineType {
    dillcleat_wire::cloud::MachineType {
        spot_price: Some(0.3),
        ..machine_type(cpus)
    }
}
