//! Machines whose heartbeats are lost, that do not receive replies or commands, or that are
//! suspended.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::config::StartObjective;
use dillcleat_controller::machines::Machine;
use dillcleat_controller::records;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};

fn job(number: u32, tasks: u32) -> JobSpec {
    let id = format!("req-{number:06}");
    JobSpec {
        spot: false,
        ..JobSpec::plain(&id, JobKind::Batch, tasks, 1.0)
    }
}

/// Two machines with ample capacity; all four tasks of `req-000001` run on `m0`.
fn fleet_of_two() -> Fleet {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(80.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(job(1, 4));
    fleet.advance(5 * SECOND);
    fleet.add_machine("m1", "a", false);
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    fleet
}

/// Submits a job of one task each second. Returns the start times on `m0`, relative to the
/// call, and the number of jobs that did not start within 2 s.
fn submit_each_second(fleet: &mut Fleet, seconds: u64) -> (Vec<Micros>, usize) {
    let from = fleet.now;
    for i in 0..seconds {
        fleet.submit(job(100 + i as u32, 1));
        fleet.advance(SECOND);
    }
    let on_m0 = fleet.starts.iter().filter(|s| s.0 >= from && s.1 == "m0");
    let start_times = on_m0.map(|s| s.0 - from).collect();
    let is_late = |i: &u64| {
        let starts = fleet.starts_of(&job(100 + *i as u32, 1).id);
        starts.first().is_none_or(|s| s.0 > from + (i + 2) * SECOND)
    };
    (start_times, (0..seconds).filter(is_late).count())
}

/// Asserts that the job moves to `m0` when `m1` is lost.
fn assert_m0_is_used_again(mut fleet: Fleet) {
    fleet.advance(3 * SECOND);
    fleet.workers.remove("m1");
    fleet.advance(12 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
}

/// The machine's replies to commands do not renew its lease, so that tasks launched there would
/// end when the lease expires. A new leader must avoid the machine as well.
#[test]
fn machine_with_lost_heartbeats_gets_no_tasks_if_others_have_capacity() {
    for failover in [false, true] {
        let mut fleet = fleet_of_two();
        fleet.worker("m0").heartbeats_lost = true;
        if failover {
            fleet.advance(4 * SECOND);
            fleet.replace_leader();
        }
        let (start_times, late) = submit_each_second(&mut fleet, 25);
        assert!(
            start_times.iter().all(|at| *at < 5 * SECOND),
            "{start_times:?}"
        );
        assert_eq!(late, 0);
        // The lease of `m0` has expired, and the tasks of the first job run on the other machine.
        assert_eq!(fleet.machines_running("req-000001"), ["m1"]);
        fleet.worker("m0").heartbeats_lost = false;
        assert_m0_is_used_again(fleet);
    }
}

/// Tasks launched on the machine may survive, because its heartbeats may arrive again before
/// its lease expires.
#[test]
fn machine_with_lost_heartbeats_is_used_if_no_other_has_capacity() {
    let mut fleet = fleet_of_two();
    fleet.workers.remove("m1");
    fleet.worker("m0").heartbeats_lost = true;
    let (start_times, _) = submit_each_second(&mut fleet, 12);
    assert!(
        start_times.iter().any(|at| *at > 9 * SECOND),
        "{start_times:?}"
    );
}

/// The reply to a command shows the new incarnation, so that the leader need not wait for a
/// heartbeat.
#[test]
fn tasks_of_machine_with_lost_heartbeats_are_placed_again_after_lease_expiry() {
    let mut fleet = fleet_of_two();
    fleet.worker("m0").heartbeats_lost = true;
    let lease = fleet.config.worker_lease;
    fleet.advance(lease - 3 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    fleet.advance(8 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m1"]);
    assert_eq!(fleet.deletions, [], "the machine replies to commands");
}

/// The stop command reaches the machine, and the reply proves the end of the tasks.
#[test]
fn machine_with_lost_heartbeats_stops_cancelled_tasks_and_is_kept() {
    for seconds_before in [0, 5] {
        let mut fleet = fleet_of_two();
        fleet.worker("m0").heartbeats_lost = true;
        fleet.advance(seconds_before * SECOND);
        assert_eq!(fleet.cancel("req-000001"), 200);
        fleet.advance(2 * SECOND);
        assert_eq!(fleet.machines_running("req-000001"), Vec::<String>::new());
        assert_eq!(
            fleet.stored_value(&records::open_job_key("req-000001")),
            None,
            "the job is removed"
        );
        assert_eq!(fleet.deletions, []);
    }
}

/// The machine's heartbeats arrive, but neither replies nor commands reach it. Guards against
/// placing tasks there again after each of its heartbeats.
#[test]
fn machine_with_lost_inbound_traffic_gets_no_tasks() {
    let mut fleet = fleet_of_two();
    fleet.worker("m0").inbound_lost = true;
    fleet.advance(8 * SECOND);
    let (_, late) = submit_each_second(&mut fleet, 25);
    assert_eq!(late, 0);
    assert_eq!(
        fleet.machines_running("req-000001"),
        ["m1"],
        "the lease of m0 has expired"
    );
    fleet.worker("m0").inbound_lost = false;
    assert_m0_is_used_again(fleet);
}

/// A firewall blocks all commands to the machine, but it receives the replies to its
/// heartbeats, as its unchanged incarnation shows.
#[test]
fn machine_that_receives_only_heartbeat_replies_is_used() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(80.0)]);
    fleet.add_machine("m0", "a", false).commands_lost = true;
    for number in 1..=5 {
        let spec = job(number, 2);
        fleet.submit(spec.clone());
        fleet.advance(30 * SECOND);
        assert_eq!(
            fleet.machines_running(&spec.id),
            ["m0"],
            "{:?}",
            fleet.starts
        );
    }
}

/// After a lost command the leader probes the machine at its next heartbeat.
#[test]
fn machine_is_used_again_soon_after_one_lost_command() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(80.0)]);
    fleet.add_machine("m0", "a", false).commands_lost = true;
    fleet.advance(5 * SECOND);
    fleet.submit(job(1, 1));
    fleet.advance(SECOND);
    fleet.worker("m0").commands_lost = false;
    fleet.advance(4 * SECOND);
    fleet.submit(job(2, 1));
    fleet.advance(SECOND);
    assert_eq!(fleet.machines_running("req-000002"), ["m0"]);
}

/// The machine replied to commands while its heartbeats were lost, so that no further proof of
/// its reachability is needed.
#[test]
fn machine_is_used_again_at_its_first_heartbeat_that_arrives() {
    let mut fleet = fleet_of_two();
    // The fuller machine `m0` would be preferred if its heartbeats arrived.
    fleet.worker("m0").heartbeats_lost = true;
    fleet.advance(8 * SECOND);
    fleet.submit(job(2, 1));
    fleet.advance(SECOND);
    assert_eq!(fleet.machines_running("req-000002"), ["m1"]);
    fleet.worker("m0").heartbeats_lost = false;
    fleet.advance(SECOND);
    fleet.submit(job(3, 1));
    fleet.advance(SECOND);
    assert_eq!(fleet.machines_running("req-000003"), ["m0"]);
}

/// The capacity of a machine with lost heartbeats does not count: another machine is added, and
/// no task is preempted there for a replica that could not be started on it.
#[test]
fn machine_with_lost_heartbeats_is_replaced_and_its_tasks_are_not_preempted() {
    let mut config = config_with_team();
    config.start_objectives = vec![StartObjective {
        class: "c".into(),
        within: SECOND,
    }];
    let mut fleet = Fleet::new(config, vec![machine_type(4.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(job(1, 4));
    fleet.advance(5 * SECOND);
    fleet.worker("m0").heartbeats_lost = true;
    fleet.advance(5 * SECOND);
    fleet.submit(JobSpec {
        priority: Priority::High,
        ..JobSpec::plain("req-000002", JobKind::Service, 1, 1.0)
    });
    fleet.advance(5 * SECOND);
    assert_eq!(
        fleet.worker("m0").running_tasks(),
        4,
        "no task on m0 is preempted"
    );
    fleet.scale_out_capacity.insert(("a".into(), false), 2);
    // The lease of `m0` expires meanwhile, which ends its tasks.
    fleet.advance(30 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001", "req-000002"]), 5);
}

/// A worker that keeps its incarnation for longer than a lease must have received replies. A
/// heartbeat that follows another within the worker's timeout also proves that the reply to the
/// earlier one has arrived.
#[test]
fn unchanged_incarnation_or_prompt_heartbeat_proves_reachability() {
    let mut machine = Machine::new("m", "t", "a", false, 1, 0);
    // A worker lease of 14 s with a margin, and the time without a heartbeat after which one
    // counts as missed.
    let (proof_after, missed_after) = (17 * SECOND, 3 * SECOND);
    machine.reachability.record_command_failure(SECOND);
    machine.record_periodic_heartbeat(2 * SECOND, false, proof_after, missed_after);
    assert!(
        machine.command_state.is_probe_requested() && machine.command_state.is_requested(),
        "a probe is requested"
    );
    machine.record_periodic_heartbeat(14 * SECOND, true, proof_after, missed_after);
    machine.record_periodic_heartbeat(19 * SECOND, false, proof_after, missed_after);
    assert_eq!(
        machine.reachability.commands_unanswered_since(),
        Some(14 * SECOND)
    );
    assert!(
        !machine
            .reachability
            .is_reachable_and_renews_lease(19 * SECOND, missed_after)
    );
    assert!(machine.record_periodic_heartbeat(31 * SECOND, false, proof_after, missed_after));
    assert!(
        machine
            .reachability
            .is_reachable_and_renews_lease(31 * SECOND, missed_after)
    );
    machine.reachability.record_command_failure(40 * SECOND);
    machine.record_periodic_heartbeat(41 * SECOND, false, proof_after, missed_after);
    machine.record_periodic_heartbeat(46 * SECOND, false, proof_after, missed_after);
    assert!(
        machine.reachability.commands_unanswered_since().is_some(),
        "the worker may have waited for a reply until its timeout"
    );
    machine.record_periodic_heartbeat(50 * SECOND, false, proof_after, missed_after);
    assert_eq!(
        machine.reachability.commands_unanswered_since(),
        None,
        "the worker did not wait for the timeout"
    );
}

/// The machine is suspended while the job is cancelled, and resumes during an outage of store
/// and cloud, when no node can prove its leadership. The reply to its first heartbeat stops the
/// task; without a reply its lease expires in time.
#[test]
fn resumed_machine_ends_cancelled_task_in_time() {
    for resumes_after_s in [2, 9, 13] {
        for fault in [
            "none",
            "leader lost",
            "heartbeats lost",
            "inbound lost",
            "commands lost",
        ] {
            let mut fleet = fleet_of_two();
            let m = fleet.worker("m0");
            (m.suspended, m.commands_lost) = (true, fault == "commands lost");
            let cancelled_at = fleet.now;
            assert_eq!(fleet.cancel("req-000001"), 200);
            fleet.advance(SECOND / 5);
            fleet.outage = true;
            if fault == "leader lost" {
                fleet.replace_leader();
            }
            fleet.advance(resumes_after_s * SECOND);
            let m = fleet.worker("m0");
            (m.suspended, m.heartbeats_lost, m.inbound_lost) =
                (false, fault == "heartbeats lost", fault == "inbound lost");
            let deadline = cancelled_at + fleet.config.cancel_time_limit;
            while fleet.now < deadline + 40 * SECOND {
                fleet.advance(SECOND);
                let is_running = !fleet.machines_running("req-000001").is_empty();
                let is_late = fleet.now >= deadline - SECOND;
                assert!(
                    !is_running || !is_late,
                    "fault: {fault}, resumes after {resumes_after_s} s"
                );
            }
        }
    }
}
