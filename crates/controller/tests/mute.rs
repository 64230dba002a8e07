//! Machines that hear and are not heard, are heard and do not hear, or hang.

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

/// Two machines with much room, of which the first has all four tasks of a job.
fn two() -> Fleet {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(80.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.submit(job(1, 4));
    fleet.advance(5 * SECOND);
    fleet.add_machine("m1", "a", false);
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    fleet
}

/// A job of one task comes each second; when those that started on m0 did, counted from
/// now, and how many started late or not at all.
fn stream(fleet: &mut Fleet, seconds: u64) -> (Vec<Micros>, usize) {
    let from = fleet.now;
    for i in 0..seconds {
        fleet.submit(job(100 + i as u32, 1));
        fleet.advance(SECOND);
    }
    let there = fleet.starts.iter().filter(|s| s.0 >= from && s.1 == "m0");
    let there = there.map(|s| s.0 - from).collect();
    let late = |i: &u64| {
        let starts = fleet.starts_of(&job(100 + *i as u32, 1).id);
        starts.first().is_none_or(|s| s.0 > from + (i + 2) * SECOND)
    };
    (there, (0..seconds).filter(late).count())
}

/// With the other machine gone what ran there runs on m0.
fn is_used_again(mut fleet: Fleet) {
    fleet.advance(3 * SECOND);
    fleet.workers.remove("m1");
    fleet.advance(12 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
}

/// Its answers to orders do not renew its lease: whatever is launched there ends with it.
/// A leader once went on giving it work beside other room, and the next one as well.
#[test]
fn a_mute_machine_gets_no_new_work_beside_other_room_once_it_is_noticed() {
    for leaders in [1, 2] {
        let mut fleet = two();
        fleet.worker("m0").heartbeats_lost = true;
        if leaders == 2 {
            fleet.advance(4 * SECOND);
            fleet.replace_leader();
        }
        let (there, late) = stream(&mut fleet, 25);
        assert!(there.iter().all(|at| *at < 5 * SECOND), "{there:?}");
        assert_eq!(late, 0);
        // Its lease ended, and with it the first job: that is at work again elsewhere.
        assert_eq!(fleet.machines_running("req-000001"), ["m1"]);
        fleet.worker("m0").heartbeats_lost = false;
        is_used_again(fleet);
    }
}

/// What it runs until its lease ends is more than nothing, and it may be heard before.
#[test]
fn a_mute_machine_is_used_where_there_is_no_other_room() {
    let mut fleet = two();
    fleet.workers.remove("m1");
    fleet.worker("m0").heartbeats_lost = true;
    let (there, _) = stream(&mut fleet, 12);
    assert!(there.iter().any(|at| *at > 9 * SECOND), "{there:?}");
}

/// Its lease is known to have ended as soon as it is asked; nobody waits for its report.
#[test]
fn what_a_mute_machine_had_is_placed_again_after_its_lease() {
    let mut fleet = two();
    fleet.worker("m0").heartbeats_lost = true;
    let lease = fleet.config.worker_lease;
    fleet.advance(lease - 3 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    fleet.advance(8 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m1"]);
    assert_eq!(fleet.deletions, [], "it answers: it is there");
}

/// The stop goes straight to it, and its answer is the proof.
#[test]
fn a_mute_machine_ends_what_is_cancelled_and_stays() {
    for before in [0, 5] {
        let mut fleet = two();
        fleet.worker("m0").heartbeats_lost = true;
        fleet.advance(before * SECOND);
        assert_eq!(fleet.cancel("req-000001"), 200);
        fleet.advance(2 * SECOND);
        assert_eq!(fleet.machines_running("req-000001"), Vec::<String>::new());
        assert_eq!(
            fleet.stored_value(&records::open_key("req-000001")),
            None,
            "cleared"
        );
        assert_eq!(fleet.deletions, []);
    }
}

/// It reports at times, and hears neither answers nor orders. It once took new work after
/// each of its reports, to no end.
#[test]
fn a_deaf_machine_gets_no_new_work_once_it_is_noticed() {
    let mut fleet = two();
    fleet.worker("m0").inbound_lost = true;
    fleet.advance(8 * SECOND);
    let (_, late) = stream(&mut fleet, 25);
    assert_eq!(late, 0);
    assert_eq!(
        fleet.machines_running("req-000001"),
        ["m1"],
        "its lease ended"
    );
    fleet.worker("m0").inbound_lost = false;
    is_used_again(fleet);
}

/// A filter on the way to it lets no orders through, for good; it hears the answers to its
/// reports. That its session goes on shows it.
#[test]
fn a_machine_that_only_orders_do_not_reach_is_used_all_the_same() {
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

/// One order that got lost says little: the machine is asked again at its next report.
#[test]
fn a_machine_that_missed_one_order_is_used_again_at_once() {
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

/// It was asked meanwhile and answered, so nobody missed it.
#[test]
fn a_machine_that_was_mute_is_used_again_at_its_first_report() {
    let mut fleet = two();
    // The fuller one is the better place, but for that.
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

/// Room behind such a machine serves nobody: another is rented, and nothing there is
/// stopped for replicas that could not be started.
#[test]
fn nobody_counts_on_the_room_of_a_mute_machine() {
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
        "no room is made there"
    );
    fleet.rentable.insert(("a".into(), false), 2);
    // Its lease has ended by then, and it stands empty.
    fleet.advance(30 * SECOND);
    assert_eq!(fleet.cpus_used_by(&["req-000001", "req-000002"]), 5);
}

/// A session that goes on for longer than a lease has heard something, a new one has not;
/// nor does a report come soon after one without an answer.
#[test]
fn what_shows_that_a_machine_hears() {
    let mut m = Machine::new("m", "t", "a", false, 0);
    let (heard_by, missing) = (17 * SECOND, 3 * SECOND);
    m.reachability.record_command_failure(SECOND);
    m.heartbeat_received(2 * SECOND, false, heard_by, missing);
    assert!(
        m.command_state.is_probe_requested() && m.command_state.is_requested(),
        "it is asked"
    );
    m.heartbeat_received(14 * SECOND, true, heard_by, missing);
    m.heartbeat_received(19 * SECOND, false, heard_by, missing);
    assert_eq!(m.reachability.unresponsive_since(), Some(14 * SECOND));
    assert!(!m.reachability.is_reachable_both_ways(19 * SECOND, missing));
    assert!(m.heartbeat_received(31 * SECOND, false, heard_by, missing));
    assert!(m.reachability.is_reachable_both_ways(31 * SECOND, missing));
    m.reachability.record_command_failure(40 * SECOND);
    m.heartbeat_received(41 * SECOND, false, heard_by, missing);
    m.heartbeat_received(46 * SECOND, false, heard_by, missing);
    assert!(
        m.reachability.unresponsive_since().is_some(),
        "it may have waited for an answer"
    );
    m.heartbeat_received(50 * SECOND, false, heard_by, missing);
    assert_eq!(
        m.reachability.unresponsive_since(),
        None,
        "too soon for one that did"
    );
}

/// Its machine hangs as the job is cancelled, and goes on when nobody can prove to lead:
/// the store and the cloud are out, or the leader has ended as well. The answer to its
/// first report stops the task; without an answer its lease ends it in time.
#[test]
fn a_hung_machine_that_goes_on_with_a_cancelled_task_ends_it_in_time() {
    for goes_on in [2, 9, 13] {
        // The leader has ended; the machine is mute, deaf, or no order reaches it.
        for way in ["", "ended", "mute", "deaf", "blocked"] {
            let mut fleet = two();
            let m = fleet.worker("m0");
            (m.hung, m.commands_lost) = (true, way == "blocked");
            let cancelled = fleet.now;
            assert_eq!(fleet.cancel("req-000001"), 200);
            fleet.advance(SECOND / 5);
            fleet.outage = true;
            if way == "ended" {
                fleet.replace_leader();
            }
            fleet.advance(goes_on * SECOND);
            let m = fleet.worker("m0");
            (m.hung, m.heartbeats_lost, m.inbound_lost) = (false, way == "mute", way == "deaf");
            let end = cancelled + fleet.config.cancel_deadline;
            while fleet.now < end + 40 * SECOND {
                fleet.advance(SECOND);
                let runs = !fleet.machines_running("req-000001").is_empty();
                let late = fleet.now >= end - SECOND;
                assert!(!runs || !late, "{way:?}, goes on after {goes_on} s");
            }
        }
    }
}
