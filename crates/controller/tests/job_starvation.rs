//! No job waits for more than 90 s while its team is below its quota and a machine with
//! sufficient free capacity exists.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::config::StartObjective;
use dillcleat_controller::{Config, Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};

const MAX_WAIT: Micros = 90 * SECOND;

/// The start objective of class `c`, the class of `JobSpec::plain`, is shorter than the boot
/// time of a machine, so that capacity is reserved for its replicas.
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

fn batch_job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        class: "b".into(),
        ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
    }
}

/// No machine can be added. A waiting batch job must get a part of the capacity reserved for
/// services, but no more than one task needs.
#[test]
fn starving_job_uses_no_more_reserved_capacity_than_one_task_needs() {
    let mut fleet = Fleet::new(config_with_reserve(), vec![spot_machine_type(5.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    let from = fleet.now;
    fleet.submit(batch_job("req-000001", 9));
    // One replica runs, and three of the five CPUs are reserved: one is left.
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
    fleet.submit(batch_job("req-000002", 9));
    fleet.advance(30 * SECOND);
    assert_eq!(
        fleet.cpus_used_by(&["req-000002"]),
        0,
        "reserved capacity is not used yet"
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

/// Waiting times are not stored: a new leader counts from its election.
#[test]
fn reserved_capacity_is_used_within_max_wait_after_a_failover() {
    let mut fleet = Fleet::new(config_with_reserve(), vec![spot_machine_type(4.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    fleet.submit(batch_job("req-000001", 9));
    for _ in 0..3 {
        fleet.advance(30 * SECOND);
        assert_eq!(fleet.cpus_used_by(&["req-000001"]), 0);
        fleet.replace_leader();
    }
    fleet.advance(MAX_WAIT - 30 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
}

/// Reserved capacity still counts as reserved while a batch job uses it. Otherwise the leader
/// would add machines to restore the reserve.
#[test]
fn no_machine_is_added_to_replace_used_reserve() {
    let mut config = config_with_reserve();
    config.tuning.spare_share = 1.0;
    let mut fleet = Fleet::new(config, vec![spot_machine_type(5.0)]);
    fleet.scale_out_capacity.insert(("a".into(), false), 9);
    fleet.add_machine("m0", "a", false);
    fleet.submit(service(1));
    fleet.submit(batch_job("req-000001", 9));
    fleet.advance(150 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 4);
    assert_eq!(fleet.workers.len(), 1);
}

/// A job that failed on two machines is retried with one task at a time. A long run of that
/// task must not block the others for longer than `MAX_WAIT`.
#[test]
fn job_suspected_of_failing_gets_more_tasks_within_max_wait() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    fleet.add_machine("m0", "a", false).faulty = true;
    fleet.add_machine("m1", "a", false).faulty = true;
    fleet.submit(batch_job("req-000001", 3));
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
fn machine_with_past_failures_is_used_again_within_max_wait() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.add_machine("m1", "b", false);
    fleet.submit(service(1));
    fleet.advance(5 * SECOND);
    let name = fleet.machines_running("req-000900").remove(0);
    let set_faulty = |fleet: &mut Fleet, faulty| fleet.worker(&name).faulty = faulty;
    // These jobs succeed on the other machine, so that their failures are attributed to the
    // faulty one.
    for id in ["req-000001", "req-000002"] {
        fleet.task_durations.insert(id.into(), 12 * SECOND);
    }
    set_faulty(&mut fleet, true);
    fleet.submit(batch_job("req-000001", 12));
    fleet.submit(batch_job("req-000002", 12));
    fleet.advance(60 * SECOND);
    set_faulty(&mut fleet, false);
    let other = if name == "m0" { "m1" } else { "m0" };
    fleet.workers.remove(other);
    fleet.submit(batch_job("req-000003", 1));
    fleet.advance(MAX_WAIT);
    assert_eq!(
        fleet.machines_running("req-000003"),
        [name],
        "{:?}",
        fleet.starts
    );
}

/// A machine gets no tasks while it runs a task that no leader has placed. The leader stops
/// that task at once, so that the machine can be used again.
#[test]
fn unexpected_task_blocks_its_machine_only_briefly() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(1.0)]);
    fleet
        .add_machine("m0", "a", false)
        .add_unexpected_task("req-000009/0");
    fleet.submit(batch_job("req-000001", 1));
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
}

/// An idle machine that cannot be deleted during a cloud outage gets no tasks. Afterwards it is
/// deleted, and another is started for the waiting job.
#[test]
fn machine_being_deleted_does_not_starve_a_job() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(1.0)]);
    fleet.scale_out_capacity.insert(("a".into(), false), 9);
    fleet.add_machine("m0", "a", false);
    fleet.advance(50 * SECOND);
    fleet.cloud_outage = true;
    fleet.advance(20 * SECOND);
    let spec = batch_job("req-000001", 1);
    fleet.submit(JobSpec {
        spot: false,
        ..spec
    });
    fleet.advance(5 * SECOND);
    assert_eq!(
        fleet.cpus_used_by(&["req-000001"]),
        0,
        "the machine is being deleted"
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
