//! Copies of command batches that were executed and answered arrive again: no attempt starts a
//! second time on its machine, however its task has ended meanwhile.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::config::StartObjective;
use dillcleat_controller::{MILLISECOND, Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use std::collections::BTreeSet;

const JOB_ID: &str = "req-000001";
const URGENT_JOB_ID: &str = "req-000002";
const MACHINE_CPUS: f64 = 3.0;
const TASKS: u32 = 3;
/// The times from one delivery of copies to the next: less than a heartbeat interval, several
/// worker leases, and minutes.
const COPY_INTERVALS: [Micros; 7] = [
    100 * MILLISECOND,
    300 * MILLISECOND,
    SECOND,
    3 * SECOND,
    20 * SECOND,
    60 * SECOND,
    180 * SECOND,
];

fn spec(id: &str, kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        spot: false,
        team: "t".into(),
        priority,
        ..JobSpec::plain(id, kind, TASKS, 1.0)
    }
}

/// A fleet without machines, in which replicas preempt tasks of arrays.
fn new_fleet() -> Fleet {
    let mut config = config_with_team();
    config.start_objectives = vec![StartObjective {
        class: "c".into(),
        within: SECOND,
    }];
    Fleet::new(config, vec![machine_type(MACHINE_CPUS)])
}

/// A fleet whose machine `m0` runs the tasks of the job.
fn fleet_with_job(kind: JobKind) -> Fleet {
    let mut fleet = new_fleet();
    fleet.add_machine("m0", "a", false);
    fleet.submit(spec(JOB_ID, kind, Priority::Normal));
    fleet.advance(4 * SECOND);
    assert_eq!(fleet.machines_running(JOB_ID), ["m0"]);
    fleet
}

/// Delivers copies of all executed batches several times. With `crash`, the leader crashes before
/// the first delivery and is back at once.
fn assert_copies_start_nothing(mut fleet: Fleet, crash: bool) {
    if crash {
        fleet.replace_leader();
    }
    for interval in COPY_INTERVALS {
        fleet.advance(interval);
        fleet.deliver_batch_copies();
    }
    fleet.advance(5 * SECOND);
    let unique: BTreeSet<_> = fleet.attempt_starts.iter().collect();
    assert_eq!(
        unique.len(),
        fleet.attempt_starts.len(),
        "an attempt has started twice: {:?}",
        fleet.attempt_starts
    );
}

/// Runs a scenario for arrays and services, with and without a crash of the leader, and with
/// several times from its end to the crash or the first copy.
fn for_each_variant(scenario: impl Fn(JobKind) -> Fleet) {
    for kind in [JobKind::Batch, JobKind::Service] {
        for crash in [false, true] {
            for pause_ms in [0, 200, 700, 2500] {
                let mut fleet = scenario(kind);
                fleet.advance(pause_ms * MILLISECOND);
                assert_copies_start_nothing(fleet, crash);
            }
        }
    }
}

#[test]
fn copy_of_a_launch_does_not_start_a_task_that_failed_and_moved() {
    for_each_variant(|kind| {
        let mut fleet = new_fleet();
        fleet.add_machine("m0", "a", false).faulty = true;
        fleet.submit(spec(JOB_ID, kind, Priority::Normal));
        fleet.advance(3 * SECOND);
        fleet.add_machine("m1", "a", false);
        fleet.advance(10 * SECOND);
        assert_eq!(fleet.machines_running(JOB_ID), ["m1"]);
        fleet
    });
}

#[test]
fn copy_of_a_launch_does_not_start_a_task_that_is_done() {
    for crash in [false, true] {
        for pause_ms in [0, 100, 300, 700, 1500, 2500, 4000] {
            let mut fleet = new_fleet();
            fleet.add_machine("m0", "a", false);
            fleet.task_durations.insert(JOB_ID.into(), 3 * SECOND);
            fleet.submit(spec(JOB_ID, JobKind::Batch, Priority::Normal));
            fleet.advance(4 * SECOND + pause_ms * MILLISECOND);
            assert_eq!(fleet.starts.len(), TASKS as usize);
            assert_copies_start_nothing(fleet, crash);
        }
    }
}

#[test]
fn copy_of_a_launch_does_not_start_a_cancelled_task() {
    for_each_variant(|kind| {
        let mut fleet = fleet_with_job(kind);
        assert_eq!(fleet.cancel(JOB_ID), 200);
        fleet.advance(2 * SECOND);
        assert_eq!(fleet.machines_running(JOB_ID), [""; 0]);
        fleet
    });
}

#[test]
fn copy_of_a_launch_does_not_start_a_preempted_task() {
    for crash in [false, true] {
        for pause_ms in [0, 200, 700, 2500] {
            let mut fleet = fleet_with_job(JobKind::Batch);
            let urgent = spec(URGENT_JOB_ID, JobKind::Service, Priority::Production);
            fleet.submit(urgent);
            fleet.advance(6 * SECOND);
            assert_eq!(fleet.machines_running(URGENT_JOB_ID), ["m0"]);
            assert_eq!(fleet.machines_running(JOB_ID), [""; 0]);
            fleet.add_machine("m1", "a", false);
            fleet.advance(4 * SECOND + pause_ms * MILLISECOND);
            assert_copies_start_nothing(fleet, crash);
        }
    }
}

#[test]
fn copy_of_a_launch_does_not_start_a_task_of_a_machine_that_hung() {
    for_each_variant(|kind| {
        let mut fleet = fleet_with_job(kind);
        fleet.add_machine("m1", "a", false);
        fleet.worker("m0").suspended = true;
        assert_eq!(fleet.cancel(JOB_ID), 200);
        fleet.advance(2 * SECOND);
        fleet.worker("m0").suspended = false;
        fleet.advance(2 * SECOND);
        assert_eq!(fleet.machines_running(JOB_ID), [""; 0]);
        fleet
    });
}

#[test]
fn copy_of_a_launch_does_not_start_a_task_after_the_workers_lease_has_expired() {
    for_each_variant(|kind| {
        let mut fleet = fleet_with_job(kind);
        fleet.add_machine("m1", "a", false);
        fleet.worker("m0").inbound_lost = true;
        let lease = fleet.config.worker_lease;
        fleet.advance(lease + 3 * SECOND);
        fleet.worker("m0").inbound_lost = false;
        fleet.advance(5 * SECOND);
        fleet
    });
}
