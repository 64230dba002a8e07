//! Arrays that are bound to one zone, as it loses machines, and more work than room.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::SECOND;
use dillcleat_wire::user::{JobKind, JobSpec, Priority};

const JOB: &str = "req-000001";

fn job(tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..JobSpec::plain(JOB, JobKind::Batch, tasks, 1.0)
    }
}

/// Two machines in each of two zones, with four CPUs each; the job fills zone a.
fn in_zone_a(spec: JobSpec) -> Fleet {
    let mut t = machine_type(4.0);
    t.zones.push("b".into());
    let mut fleet = Fleet::new(config_with_team(), vec![t]);
    fleet.add_machine("a0", "a", false);
    fleet.add_machine("a1", "a", false);
    fleet.submit(spec);
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.cpus_used_by(&[JOB]), 8);
    fleet.add_machine("b0", "b", false);
    fleet.add_machine("b1", "b", false);
    fleet.advance(5 * SECOND);
    fleet
}

/// What was lost waits for room in the zone as long as the rest runs there, and moves as a
/// whole when that is lost too.
#[test]
fn an_array_of_one_zone_moves_as_a_whole() {
    let mut fleet = in_zone_a(JobSpec {
        single_zone: true,
        ..job(8)
    });
    fleet.workers.remove("a0");
    fleet.advance(20 * SECOND);
    assert_eq!(
        fleet.machines_running(JOB),
        ["a1"],
        "beside free room in zone b"
    );
    fleet.workers.remove("a1");
    fleet.advance(20 * SECOND);
    assert_eq!(fleet.machines_running(JOB), ["b0", "b1"]);
    assert_eq!(fleet.cpus_used_by(&[JOB]), 8);
}

/// The last tasks in a zone that nobody can ask hold the others there, also with a leader
/// that knows of them from the store alone.
#[test]
fn what_may_run_behind_a_cut_binds_the_rest() {
    for new_leader in [false, true] {
        let mut fleet = in_zone_a(JobSpec {
            single_zone: true,
            ..job(8)
        });
        fleet.workers.remove("a0");
        fleet.advance(10 * SECOND);
        let a1 = fleet.worker("a1");
        (a1.heartbeats_lost, a1.inbound_lost) = (true, true);
        if new_leader {
            fleet.replace_leader();
        }
        while !fleet.deletions.iter().any(|(_, name)| name == "a1") {
            assert_eq!(fleet.machines_running(JOB), ["a1"]);
            fleet.advance(SECOND / 10);
            assert!(
                fleet.now < common::fleet::START + 60 * SECOND,
                "never freed"
            );
        }
        fleet.advance(10 * SECOND);
        assert_eq!(fleet.machines_running(JOB), ["b0", "b1"]);
    }
}

/// A job that may run in one zone only is at work again soon after that has machines.
#[test]
fn a_job_bound_to_a_zone_without_machines_gets_the_first_that_come() {
    let mut fleet = in_zone_a(JobSpec {
        zone: Some("a".into()),
        ..job(8)
    });
    fleet.workers.remove("a0");
    fleet.workers.remove("a1");
    fleet.advance(60 * SECOND);
    assert_eq!(fleet.machines_running(JOB), Vec::<String>::new());
    fleet.rentable.insert(("a".into(), false), 2);
    // An offer that was refused is asked for again after 15 s, and boots in 5 s.
    fleet.advance(25 * SECOND);
    assert_eq!(fleet.cpus_used_by(&[JOB]), 8);
}

/// Over links so slow that no answer to orders comes in time: the urgent job has all room
/// that comes free, nothing runs twice, and machines are used as well as others.
#[test]
fn urgent_work_goes_first_over_slow_links() {
    let urgent = "req-000002";
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    for name in ["m0", "m1"] {
        fleet.add_machine(name, "a", false).command_answers_late = true;
    }
    for id in [JOB, urgent] {
        fleet.task_durations.insert(id.into(), 3 * SECOND);
    }
    fleet.submit(job(60));
    fleet.advance(15 * SECOND);
    let at = fleet.now;
    fleet.submit(JobSpec {
        id: urgent.into(),
        priority: Priority::High,
        ..job(12)
    });
    fleet.advance(80 * SECOND);
    let starts = |job| -> Vec<u64> { fleet.starts_of(job).iter().map(|s| s.0).collect() };
    let (first, rest) = (starts(urgent), starts(JOB));
    assert_eq!((first.len(), rest.len()), (12, 60), "each once");
    let last = first.iter().max().copied().unwrap_or(0);
    assert!(last < at + 15 * SECOND, "{}", last - at);
    // What had been placed before it came may still start.
    let between = rest.iter().filter(|t| (at + 3 * SECOND..last).contains(t));
    assert_eq!(between.count(), 0);
    assert_eq!(fleet.cpus_used_by(&[JOB, urgent]), 0, "all is done");
}
