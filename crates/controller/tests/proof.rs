//! What counts as proof that a task is gone from a machine, and what does not.

mod common;

use dillcleat_controller::machines::{HeartbeatSource, Machine, TaskEvent, TaskKey, TaskSlot};
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use std::rc::Rc;

const TERM: u64 = 5;
const NOW: Micros = 1000 * SECOND;

fn report(session: u64, seq: u64, token: u64, tasks: &[(u64, TaskState)]) -> Heartbeat {
    Heartbeat {
        machine: "m".into(),
        addr: "a:1".into(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        incarnation: session,
        sequence: seq,
        fencing_token: token,
        interruption_notice_s: None,
        tasks: tasks
            .iter()
            .map(|(attempt, state)| TaskStatus {
                task: "req-1/0".parse().expect("a task's name"),
                attempt: *attempt,
                state: *state,
                reason: (*state == TaskState::Exited).then_some(ExitReason::Error),
                checkpoint_saved: None,
            })
            .collect(),
    }
}

fn spec() -> JobSpec {
    JobSpec::plain("req-1", JobKind::Batch, 1, 1.0)
}

fn key() -> TaskKey {
    (Rc::from("req-1"), 0)
}

/// A machine that is up in session 1, with attempt 1 of a task on it.
fn machine() -> Machine {
    let mut m = Machine::new("m", "t", "z", false, NOW);
    assert_eq!(
        m.apply_heartbeat(
            &report(1, 1, TERM, &[]),
            HeartbeatSource::Periodic,
            TERM,
            NOW
        ),
        []
    );
    let mut slot = TaskSlot::new(1, 1, 0, &spec(), true);
    slot.reported_state = Some(TaskState::Running);
    m.add_task(key(), slot, (&Rc::from("img"), 1.0), 50.0);
    m
}

fn take(m: &mut Machine, r: &Heartbeat, source: HeartbeatSource) -> Vec<TaskEvent> {
    m.apply_heartbeat(r, source, TERM, NOW)
}

#[test]
fn absence_counts_only_under_the_current_seal_and_from_a_newer_report() {
    let mut m = machine();
    // An earlier leader's launch may still be carried out under its seal.
    assert_eq!(
        take(
            &mut m,
            &report(1, 2, TERM - 1, &[]),
            HeartbeatSource::Periodic
        ),
        []
    );
    // Held up on its way: as old as it says.
    assert_eq!(
        take(&mut m, &report(1, 1, TERM, &[]), HeartbeatSource::Periodic),
        []
    );
    let events = take(&mut m, &report(1, 3, TERM, &[]), HeartbeatSource::Periodic);
    assert!(matches!(events[..], [TaskEvent::Lost { attempt: 1, .. }]));
}

#[test]
fn a_later_session_is_proof_by_itself() {
    let mut m = machine();
    let events = take(
        &mut m,
        &report(2, 9, TERM - 1, &[]),
        HeartbeatSource::Periodic,
    );
    assert!(matches!(events[..], [TaskEvent::Lost { attempt: 1, .. }]));
}

#[test]
fn an_unanswered_launch_is_neither_given_up_nor_reaped() {
    let mut m = machine();
    m.slots.clear();
    let slot = TaskSlot::new(1, 1, 0, &spec(), true);
    m.add_task(key(), slot, (&Rc::from("img"), 1.0), 50.0);
    let launch = m.needed_commands(true, |_, _| true);
    assert!(matches!(launch[..], [Command::Launch { .. }]));
    m.command_state
        .record_sent(dillcleat_controller::CallId(1), &launch);
    m.command_state
        .record_finished(dillcleat_controller::CallId(1), true);
    if let Some(slot) = m.slots.get_mut(&key()) {
        slot.cancelled = true;
    }
    // Absent, but it may start at any time.
    assert_eq!(
        take(&mut m, &report(1, 2, TERM, &[]), HeartbeatSource::Periodic),
        []
    );
    // It did, and failed: known to the worker, a late launch has no effect,
    // and a reap would change that.
    let exited = report(1, 3, TERM, &[(1, TaskState::Exited)]);
    let events = take(&mut m, &exited, HeartbeatSource::Periodic);
    assert!(matches!(events[..], [TaskEvent::Exited { attempt: 1, .. }]));
    assert_eq!(m.needed_commands(true, |_, _| true), []);
    // In a new session the old launch is refused.
    take(
        &mut m,
        &report(2, 4, TERM, &[(1, TaskState::Exited)]),
        HeartbeatSource::Periodic,
    );
    assert!(matches!(
        m.needed_commands(true, |_, _| true)[..],
        [Command::Reap { .. }]
    ));
}

#[test]
fn a_launch_in_an_answer_is_settled_by_the_next_checkin_only() {
    let mut m = machine();
    m.slots.clear();
    m.add_task(
        key(),
        TaskSlot::new(1, 1, 0, &spec(), true),
        (&Rc::from("img"), 1.0),
        50.0,
    );
    let commands = m.needed_commands(true, |_, _| true);
    m.record_reply_launches(&commands);
    if let Some(slot) = m.slots.get_mut(&key()) {
        slot.cancelled = true;
    }
    // The answer to other orders may have overtaken it.
    assert_eq!(
        take(
            &mut m,
            &report(1, 2, TERM, &[]),
            HeartbeatSource::CommandReply
        ),
        []
    );
    let events = take(&mut m, &report(1, 3, TERM, &[]), HeartbeatSource::Periodic);
    assert!(matches!(events[..], [TaskEvent::Lost { .. }]));
}

#[test]
fn nothing_is_launched_before_it_is_stored_and_nothing_reaped_before_it_is_settled() {
    let mut m = machine();
    m.slots.clear();
    m.add_task(
        key(),
        TaskSlot::new(1, 1, 0, &spec(), false),
        (&Rc::from("img"), 1.0),
        50.0,
    );
    assert_eq!(m.needed_commands(true, |_, _| true), []);
    take(
        &mut m,
        &report(1, 2, TERM, &[(7, TaskState::Exited)]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(m.needed_commands(true, |_, _| false), []);
}

/// The end of an attempt of before is none of the present one.
#[test]
fn an_earlier_attempt_is_not_the_placed_one() {
    let mut m = machine();
    m.slots.clear();
    let slot = TaskSlot::new(2, 1, 0, &spec(), true);
    m.add_task(key(), slot, (&Rc::from("img"), 1.0), 50.0);
    let ended = report(1, 2, TERM, &[(1, TaskState::Exited)]);
    assert_eq!(take(&mut m, &ended, HeartbeatSource::Periodic), []);
    let both = [(1, TaskState::Exited), (2, TaskState::Running)];
    let events = take(
        &mut m,
        &report(1, 3, TERM, &both),
        HeartbeatSource::Periodic,
    );
    assert_eq!(events, [TaskEvent::Running(key())]);
    // One that still runs is a stray, and is stopped.
    let stray = report(1, 4, TERM, &[(1, TaskState::Running)]);
    take(&mut m, &stray, HeartbeatSource::Periodic);
    let stops = m.needed_commands(true, |_, _| true);
    assert!(matches!(&stops[..], [Command::Stop { attempt: 1, .. }, ..]));
}

/// Two placements on one machine may be read of which the first is of a session that is
/// over: its task is not started again in the next.
#[test]
fn nothing_is_commanded_for_a_session_that_is_over() {
    let mut m = machine();
    m.slots.clear();
    take(&mut m, &report(2, 2, TERM, &[]), HeartbeatSource::Periodic);
    let slot = TaskSlot::new(1, 1, 0, &spec(), true);
    m.add_task(key(), slot, (&Rc::from("img"), 1.0), 50.0);
    assert_eq!(m.needed_commands(true, |_, _| true), []);
}
