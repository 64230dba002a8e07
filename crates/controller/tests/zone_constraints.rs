//! Jobs constrained to one zone that loses its machines, and job priority while replies of
//! workers are late.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::SECOND;
use dillcleat_wire::user::{JobKind, JobSpec, Priority};

const JOB_ID: &str = "req-000001";

fn job_spec(tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..JobSpec::plain(JOB_ID, JobKind::Batch, tasks, 1.0)
    }
}

/// Two machines of four CPUs in each of two zones. The job uses all CPUs of zone a.
fn fleet_with_job_in_zone_a(spec: JobSpec) -> Fleet {
    let mut t = machine_type(4.0);
    t.zones.push("b".into());
    let mut fleet = Fleet::new(config_with_team(), vec![t]);
    fleet.add_machine("a0", "a", false);
    fleet.add_machine("a1", "a", false);
    fleet.submit(spec);
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.cpus_used_by(&[JOB_ID]), 8);
    fleet.add_machine("b0", "b", false);
    fleet.add_machine("b1", "b", false);
    fleet.advance(5 * SECOND);
    fleet
}

/// Lost tasks wait for capacity in their zone as long as other tasks of the job run there.
#[test]
fn single_zone_job_moves_to_another_zone_only_as_a_whole() {
    let mut fleet = fleet_with_job_in_zone_a(JobSpec {
        single_zone: true,
        ..job_spec(8)
    });
    fleet.workers.remove("a0");
    fleet.advance(20 * SECOND);
    assert_eq!(
        fleet.machines_running(JOB_ID),
        ["a1"],
        "despite free capacity in zone b"
    );
    fleet.workers.remove("a1");
    fleet.advance(20 * SECOND);
    assert_eq!(fleet.machines_running(JOB_ID), ["b0", "b1"]);
    assert_eq!(fleet.cpus_used_by(&[JOB_ID]), 8);
}

/// The job's last tasks in a zone run on a partitioned machine. A new leader knows of them only
/// from the store.
#[test]
fn single_zone_job_does_not_move_while_partitioned_tasks_may_still_run() {
    for failover in [false, true] {
        let mut fleet = fleet_with_job_in_zone_a(JobSpec {
            single_zone: true,
            ..job_spec(8)
        });
        fleet.workers.remove("a0");
        fleet.advance(10 * SECOND);
        let a1 = fleet.worker("a1");
        (a1.heartbeats_lost, a1.inbound_lost) = (true, true);
        if failover {
            fleet.replace_leader();
        }
        while !fleet.deletions.iter().any(|(_, name)| name == "a1") {
            assert_eq!(fleet.machines_running(JOB_ID), ["a1"]);
            fleet.advance(SECOND / 10);
            assert!(
                fleet.now < common::fleet::START + 60 * SECOND,
                "the machine is never deleted"
            );
        }
        fleet.advance(10 * SECOND);
        assert_eq!(fleet.machines_running(JOB_ID), ["b0", "b1"]);
    }
}

#[test]
fn job_pinned_to_a_zone_without_machines_runs_once_the_cloud_has_capacity_there() {
    let mut fleet = fleet_with_job_in_zone_a(JobSpec {
        zone: Some("a".into()),
        ..job_spec(8)
    });
    fleet.workers.remove("a0");
    fleet.workers.remove("a1");
    fleet.advance(60 * SECOND);
    assert_eq!(fleet.machines_running(JOB_ID), Vec::<String>::new());
    fleet.scale_out_capacity.insert(("a".into(), false), 2);
    // A scale-out that found no capacity is retried after 15 s, and machines boot in 5 s.
    fleet.advance(25 * SECOND);
    assert_eq!(fleet.cpus_used_by(&[JOB_ID]), 8);
}

/// Replies to commands always arrive too late. The high-priority job must get all capacity
/// that becomes free, no task may run twice, and all tasks must be done within 80 s.
#[test]
fn high_priority_job_starts_first_over_slow_worker_links() {
    let high_priority = "req-000002";
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(4.0)]);
    for name in ["m0", "m1"] {
        fleet.add_machine(name, "a", false).command_replies_late = true;
    }
    for id in [JOB_ID, high_priority] {
        fleet.task_durations.insert(id.into(), 3 * SECOND);
    }
    fleet.submit(job_spec(60));
    fleet.advance(15 * SECOND);
    let at = fleet.now;
    fleet.submit(JobSpec {
        id: high_priority.into(),
        priority: Priority::High,
        ..job_spec(12)
    });
    fleet.advance(80 * SECOND);
    let start_times = |job| -> Vec<u64> { fleet.starts_of(job).iter().map(|s| s.0).collect() };
    let (high_priority_starts, other_starts) = (start_times(high_priority), start_times(JOB_ID));
    assert_eq!(
        (high_priority_starts.len(), other_starts.len()),
        (12, 60),
        "each task starts once"
    );
    let last = high_priority_starts.iter().max().copied().unwrap_or(0);
    assert!(last < at + 15 * SECOND, "{}", last - at);
    // Tasks that were placed before the submission may still start.
    let between = other_starts
        .iter()
        .filter(|t| (at + 3 * SECOND..last).contains(t));
    assert_eq!(between.count(), 0);
    assert_eq!(
        fleet.cpus_used_by(&[JOB_ID, high_priority]),
        0,
        "all tasks are done"
    );
}
