//! When the team quota of a cancelled task is released while its machine is unreachable.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::records;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec};

/// The team's quota in tasks, each of which takes one CPU or one GPU of it.
const QUOTA_TASKS: u32 = 4;

/// Whether there is a failover before or after the cancellation.
#[derive(Debug, Clone, Copy)]
enum Failover {
    None,
    Before,
    After,
    BeforeAndAfter,
}

/// A job that uses the whole quota, of GPUs or of CPUs.
fn job(id: &str, kind: JobKind, gpu_quota: bool) -> JobSpec {
    JobSpec {
        gpus: if gpu_quota { 1.0 } else { 0.0 },
        spot: false,
        ..JobSpec::plain(id, kind, QUOTA_TASKS, 1.0)
    }
}

/// A team that uses its whole quota, with all its tasks on the first of two machines.
fn fleet_at_quota(kind: JobKind, gpu_quota: bool) -> Fleet {
    let mut config = config_with_team();
    match gpu_quota {
        true => config.teams[0].gpus_max = f64::from(QUOTA_TASKS),
        false => config.teams[0].cpus_max = f64::from(QUOTA_TASKS),
    }
    let mut t = machine_type(8.0);
    t.gpus = 8.0;
    let mut fleet = Fleet::new(config, vec![t]);
    fleet.max_running_tasks = QUOTA_TASKS as usize;
    fleet.add_machine("m0", "a", false);
    fleet.submit(job("req-000001", kind, gpu_quota));
    fleet.advance(5 * SECOND);
    fleet.add_machine("m1", "b", false);
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    fleet
}

/// Cancels the job while its machine hangs for `hang_time` or, without one, is partitioned.
/// Returns when the team's next job starts, counted from the cancellation, and whether the
/// machine was deleted by then.
fn next_job_started_after(
    mut fleet: Fleet,
    next: &JobSpec,
    failover: Failover,
    hang_time: Option<Micros>,
) -> (Micros, bool) {
    let machine = fleet.worker("m0");
    (machine.hung, machine.heartbeats_lost, machine.inbound_lost) = match hang_time {
        Some(_) => (true, false, false),
        None => (false, true, true),
    };
    if matches!(failover, Failover::Before | Failover::BeforeAndAfter) {
        fleet.replace_leader();
        fleet.advance(SECOND);
    }
    let from = fleet.now;
    assert_eq!(fleet.cancel("req-000001"), 200);
    fleet.submit(next.clone());
    if matches!(failover, Failover::After | Failover::BeforeAndAfter) {
        fleet.advance(SECOND);
        fleet.replace_leader();
    }
    while fleet.starts_of(&next.id).is_empty() && fleet.now < from + 40 * SECOND {
        if hang_time.is_some_and(|time| fleet.now >= from + time)
            && let Some(m) = fleet.workers.get_mut("m0")
        {
            m.hung = false;
        }
        fleet.advance(SECOND / 10);
    }
    let deleted = !fleet.workers.contains_key("m0");
    let after = fleet.now - from;
    fleet.advance(SECOND);
    assert_eq!(
        fleet.cpus_used_by(&[&next.id]),
        QUOTA_TASKS as usize,
        "the whole quota is free"
    );
    (after, deleted)
}

/// The quota and the machine's resources are released by the same evidence. The workers
/// check that running tasks never exceed the quota.
#[test]
fn quota_of_cancelled_tasks_is_released_by_a_heartbeat_or_the_machines_deletion() {
    for kind in [JobKind::Batch, JobKind::Service] {
        for gpu_quota in [false, true] {
            for failover in [
                Failover::None,
                Failover::Before,
                Failover::After,
                Failover::BeforeAndAfter,
            ] {
                let next = job("req-000002", kind, gpu_quota);
                let case = format!("{kind:?}, GPUs: {gpu_quota}, failover: {failover:?}");
                // The machine is partitioned: its deletion proves the tasks' end.
                let (after, deleted) =
                    next_job_started_after(fleet_at_quota(kind, gpu_quota), &next, failover, None);
                assert!(deleted && after < 20 * SECOND, "{case}: {after}");
                // The machine hangs for a short time: its next heartbeat does.
                let hang_time = Some(3 * SECOND);
                let (after, deleted) = next_job_started_after(
                    fleet_at_quota(kind, gpu_quota),
                    &next,
                    failover,
                    hang_time,
                );
                assert!(!deleted && after < 6 * SECOND, "{case}: {after}");
            }
        }
    }
}

/// The cancellation arrives while the write of the placement is under way, with and without
/// a failover. No task of the job may start.
#[test]
fn quota_of_a_placement_cancelled_during_its_write_is_released() {
    for failover in [Failover::None, Failover::After] {
        let mut fleet = fleet_at_quota(JobKind::Batch, false);
        assert_eq!(fleet.cancel("req-000001"), 200);
        fleet.advance(5 * SECOND);
        fleet.write_lag = 3 * SECOND;
        fleet.submit(job("req-000002", JobKind::Batch, false));
        fleet.advance(SECOND);
        fleet.cancel("req-000002");
        fleet.submit(job("req-000003", JobKind::Batch, false));
        fleet.advance(SECOND / 2);
        if matches!(failover, Failover::After) {
            fleet.replace_leader();
        }
        fleet.advance(30 * SECOND);
        assert_eq!(
            fleet.starts_of("req-000002"),
            Vec::<&common::fleet::TaskStart>::new()
        );
        assert_eq!(fleet.cpus_used_by(&["req-000003"]), QUOTA_TASKS as usize);
        let tasks = records::tasks_key("req-000002", records::TaskRange::Chunk(0));
        assert_eq!(
            fleet.stored_value(&tasks),
            None,
            "its task records are deleted"
        );
    }
}
