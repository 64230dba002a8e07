//! Machines that are up at once and get work while writes lag, and the leader ends.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::{MILLISECOND, Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec};

/// Two jobs find no machine at all; what is rented is up a second later. The answers to
/// writes and rentals take seconds and the list is far behind; the leader ends at `end`.
/// Workers check that nothing starts twice.
fn plays(end: Micros, rent_lag: Micros, list_lag: Micros) {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    fleet.rentable.insert(("a".into(), false), 99);
    (fleet.boot_time, fleet.write_lag) = (SECOND, 2 * SECOND);
    (fleet.rent_lag, fleet.list_lag) = (rent_lag, list_lag);
    let case = format!("end {end}, rentals {rent_lag}, list {list_lag}");
    fleet.advance(3 * SECOND);
    for (id, tasks) in [("req-000001", 9), ("req-000002", 5)] {
        let spec = JobSpec::plain(id, JobKind::Batch, tasks, 1.0);
        fleet.submit(JobSpec {
            spot: false,
            ..spec
        });
        fleet.advance(2 * SECOND);
    }
    fleet.advance(end);
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
        "{case}: deleted with work"
    );
    let idle = fleet.workers.values().filter(|w| w.running_tasks() == 0);
    let idle: Vec<&String> = idle.map(|w| &w.name).collect();
    assert!(idle.is_empty(), "{case}: nobody deletes {idle:?}");
    assert_eq!(
        fleet.cpus_used_by(&["req-000001", "req-000002"]),
        14,
        "{case}"
    );
}

#[test]
fn machines_that_are_up_at_once_are_neither_forgotten_nor_deleted_at_work() {
    for end in (0..12_000).step_by(300) {
        for (rent_lag, list_lag) in [(0, 4), (4, 10)] {
            plays(end * MILLISECOND, rent_lag * SECOND, list_lag * SECOND);
        }
    }
}

/// A leader that rents machines with this boot time, and another each `term`.
fn leaders(boot: Micros, term: Micros, terms: u32) -> Fleet {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    fleet.rentable.insert(("a".into(), false), 1);
    fleet.boot_time = boot;
    let spec = JobSpec::plain("req-000001", JobKind::Batch, 1, 1.0);
    fleet.submit(JobSpec {
        spot: false,
        ..spec
    });
    for _ in 0..terms {
        fleet.advance(term);
        fleet.replace_leader();
    }
    fleet
}

/// Each leader begins to wait anew, but not from the start: a machine that never comes up
/// is paid for until it is deleted.
#[test]
fn a_machine_that_never_comes_up_is_deleted_though_leaders_change() {
    let fleet = leaders(10_000 * SECOND, 40 * SECOND, 4);
    assert_eq!(fleet.deletions.len(), 1);
}

/// A new leader knows from the list alone that a machine is coming, and is patient.
#[test]
fn a_machine_that_is_late_is_waited_for_by_the_next_leader() {
    let mut fleet = leaders(25 * SECOND, 8 * SECOND, 1);
    fleet.advance(22 * SECOND);
    assert_eq!(fleet.deletions, []);
    assert_eq!(fleet.cpus_used_by(&["req-000001"]), 1);
}
