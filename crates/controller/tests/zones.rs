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
    fleet.machine("a0", "a", false);
    fleet.machine("a1", "a", false);
    fleet.submit(spec);
    fleet.pass(5 * SECOND);
    assert_eq!(fleet.cpus_of(&[JOB]), 8);
    fleet.machine("b0", "b", false);
    fleet.machine("b1", "b", false);
    fleet.pass(5 * SECOND);
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
    fleet.pass(20 * SECOND);
    assert_eq!(fleet.running(JOB), ["a1"], "beside free room in zone b");
    fleet.workers.remove("a1");
    fleet.pass(20 * SECOND);
    assert_eq!(fleet.running(JOB), ["b0", "b1"]);
    assert_eq!(fleet.cpus_of(&[JOB]), 8);
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
        fleet.pass(10 * SECOND);
        let a1 = fleet.worker("a1");
        (a1.mute, a1.deaf) = (true, true);
        if new_leader {
            fleet.new_leader();
        }
        while !fleet.deleted.iter().any(|(_, name)| name == "a1") {
            assert_eq!(fleet.running(JOB), ["a1"]);
            fleet.pass(SECOND / 10);
            assert!(fleet.at < common::fleet::START + 60 * SECOND, "never freed");
        }
        fleet.pass(10 * SECOND);
        assert_eq!(fleet.running(JOB), ["b0", "b1"]);
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
    fleet.pass(60 * SECOND);
    assert_eq!(fleet.running(JOB), Vec::<String>::new());
    fleet.stock.insert(("a".into(), false), 2);
    // An offer that was refused is asked for again after 15 s, and boots in 5 s.
    fleet.pass(25 * SECOND);
    assert_eq!(fleet.cpus_of(&[JOB]), 8);
}

/// Over links so slow that no answer to orders comes in time: the urgent job has all room
/// that comes free, nothing runs twice, and machines are used as well as others.
#[test]
fn urgent_work_goes_first_over_slow_links() {
    let urgent = "req-000002";
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    for name in ["m0", "m1"] {
        fleet.machine(name, "a", false).slow = true;
    }
    for id in [JOB, urgent] {
        fleet.runs.insert(id.into(), 3 * SECOND);
    }
    fleet.submit(job(60));
    fleet.pass(15 * SECOND);
    let at = fleet.at;
    fleet.submit(JobSpec {
        id: urgent.into(),
        priority: Priority::High,
        ..job(12)
    });
    fleet.pass(80 * SECOND);
    let starts = |job| -> Vec<u64> { fleet.starts_of(job).iter().map(|s| s.0).collect() };
    let (first, rest) = (starts(urgent), starts(JOB));
    assert_eq!((first.len(), rest.len()), (12, 60), "each once");
    let last = first.iter().max().copied().unwrap_or(0);
    assert!(last < at + 15 * SECOND, "{}", last - at);
    // What had been placed before it came may still start.
    let between = rest.iter().filter(|t| (at + 3 * SECOND..last).contains(t));
    assert_eq!(between.count(), 0);
    assert_eq!(fleet.cpus_of(&[JOB, urgent]), 0, "all is done");
}
