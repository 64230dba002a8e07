//! Scale-out with slow store and cloud replies and with failovers: new machines must get
//! work, and none may be lost or deleted while it runs tasks.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::{MILLISECOND, Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec};

/// Two jobs are submitted while there are no machines. Machines boot in a second, but
/// replies to writes and scale-outs take seconds, and the cloud's list lags. There
/// is a failover after `failover_after`. `Fleet` fails the test if a task starts twice.
fn run_with_failover(failover_after: Micros, scale_out_lag: Micros, list_lag: Micros) {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    fleet.scale_out_capacity.insert(("a".into(), false), 99);
    (fleet.boot_time, fleet.write_lag) = (SECOND, 2 * SECOND);
    (fleet.scale_out_lag, fleet.list_lag) = (scale_out_lag, list_lag);
    let case = format!(
        "failover after {failover_after}, scale-out lag {scale_out_lag}, list lag {list_lag}"
    );
    fleet.advance(3 * SECOND);
    for (id, tasks) in [("req-000001", 9), ("req-000002", 5)] {
        let spec = JobSpec::plain(id, JobKind::Batch, tasks, 1.0);
        fleet.submit(JobSpec {
            spot: false,
            ..spec
        });
        fleet.advance(2 * SECOND);
    }
    fleet.advance(failover_after);
    fleet.replace_leader();
    fleet.advance(30 * SECOND);
    assert_eq!(
        fleet.cpus_used_by(&["req-000001", "req-000002"]),
        14,
        "{case}"
    );
    fleet.advance(120 * SECOND);
    assert_eq!(
        fleet.killed_tasks,
        Vec::<String>::new(),
        "{case}: deleted while running tasks"
    );
    let idle = fleet.workers.values().filter(|w| w.running_tasks() == 0);
    let idle: Vec<&String> = idle.map(|w| &w.name).collect();
    assert!(
        idle.is_empty(),
        "{case}: idle machines are not deleted: {idle:?}"
    );
    assert_eq!(
        fleet.cpus_used_by(&["req-000001", "req-000002"]),
        14,
        "{case}"
    );
}

#[test]
fn fast_booting_machines_are_neither_lost_nor_deleted_while_running_tasks() {
    for failover_ms in (0..12_000).step_by(300) {
        for (scale_out_lag_s, list_lag_s) in [(0, 4), (4, 10)] {
            run_with_failover(
                failover_ms * MILLISECOND,
                scale_out_lag_s * SECOND,
                list_lag_s * SECOND,
            );
        }
    }
}

/// Submits a job without machines, lets the leader scale out machines with this boot time,
/// and replaces the leader after each `failover_interval`, `failovers` times.
fn fleet_after_failovers(boot: Micros, failover_interval: Micros, failovers: u32) -> Fleet {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    fleet.scale_out_capacity.insert(("a".into(), false), 1);
    fleet.boot_time = boot;
    let spec = JobSpec::plain("req-000001", JobKind::Batch, 1, 1.0);
    fleet.submit(JobSpec {
        spot: false,
        ..spec
    });
    for _ in 0..failovers {
        fleet.advance(failover_interval);
        fleet.replace_leader();
    }
    fleet
}

/// A new leader must not wait for the full boot timeout again: the machine costs money until
/// it is deleted.
#[test]
fn machine_that_never_boots_is_deleted_despite_failovers() {
    let fleet = fleet_after_failovers(10_000 * SECOND, 40 * SECOND, 4);
    assert_eq!(fleet.deletions.len(), 1);
}

/// While the machine boots, the new leader finds it only in the cloud's list, not in the store.
#[test]
fn new_leader_does_not_delete_a_slowly_booting_machine() {
    let mut fleet = fleet_after_failovers(25 * SECOND, 8 * SECOND, 1);
    fleet.advance(22 * SECOND);
    assert_eq!(fleet.deletions, []);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
}
