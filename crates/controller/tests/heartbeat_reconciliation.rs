//! Reconciliation of a machine's tasks with its heartbeats: when a missing task counts as
//! lost, and which commands are sent.

mod common;

use dillcleat_controller::machines::{
    HeartbeatSource, Machine, TaskAttempt, TaskEvent, TaskKey, TaskSlot,
};
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use std::rc::Rc;

const TERM: u64 = 5;
const NOW: Micros = 1000 * SECOND;

fn heartbeat(
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    tasks: &[(u64, TaskState)],
) -> Heartbeat {
    Heartbeat {
        machine: "m".into(),
        addr: "a:1".into(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        incarnation,
        sequence,
        fencing_token,
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

fn job_spec() -> JobSpec {
    JobSpec::plain("req-1", JobKind::Batch, 1, 1.0)
}

fn task_key() -> TaskKey {
    (Rc::from("req-1"), 0)
}

/// A machine in incarnation 1 that runs attempt 1 of the task.
fn machine() -> Machine {
    let mut m = Machine::new("m", "t", "z", false, TERM, NOW);
    assert_eq!(
        m.apply_heartbeat(
            &heartbeat(1, 1, TERM, &[]),
            HeartbeatSource::Periodic,
            TERM,
            NOW
        ),
        []
    );
    let mut slot = TaskSlot::new(1, 1, 0, &job_spec(), true);
    slot.reported_state = Some(TaskState::Running);
    m.add_task(task_key(), slot, (&Rc::from("img"), 1.0), 50.0);
    m
}

/// Places an attempt of the task on the machine, in incarnation 1.
fn place_attempt(m: &mut Machine, attempt: u64) {
    let slot = TaskSlot::new(attempt, 1, 0, &job_spec(), true);
    m.add_task(task_key(), slot, (&Rc::from("img"), 1.0), 50.0);
}

/// A machine in incarnation 1 on which attempt 1 of the task is placed and not yet launched.
fn machine_with_unlaunched_task() -> Machine {
    let mut m = machine();
    m.slots.clear();
    place_attempt(&mut m, 1);
    m
}

fn apply(m: &mut Machine, heartbeat: &Heartbeat, source: HeartbeatSource) -> Vec<TaskEvent> {
    m.apply_heartbeat(heartbeat, source, TERM, NOW)
}

/// Sends commands in a batch that the worker answers.
fn send_answered_batch(m: &mut Machine, commands: &[Command]) {
    let call = dillcleat_controller::CallId(1);
    m.launch_fence.record_sent(commands);
    m.command_state.record_sent(call, commands);
    m.command_state.record_finished(call);
}

/// Raises the fencing token of the machine if that is needed. Returns whether it was.
fn raise_token(m: &mut Machine) -> bool {
    let is_needed = m.needs_higher_token();
    if is_needed {
        m.launch_fence.raise_token(m.launch_fence.token() + 1);
    }
    is_needed
}

fn is_reap(commands: &[Command]) -> bool {
    matches!(commands, [Command::Reap { .. }])
}

#[test]
fn missing_task_counts_as_lost_only_after_a_newer_heartbeat_with_the_current_fencing_token() {
    let mut m = machine();
    // With this token the worker still accepts a launch command of the previous leader.
    assert_eq!(
        apply(
            &mut m,
            &heartbeat(1, 2, TERM - 1, &[]),
            HeartbeatSource::Periodic
        ),
        []
    );
    // A delayed heartbeat with an old sequence number does not count.
    assert_eq!(
        apply(
            &mut m,
            &heartbeat(1, 1, TERM, &[]),
            HeartbeatSource::Periodic
        ),
        []
    );
    let events = apply(
        &mut m,
        &heartbeat(1, 3, TERM, &[]),
        HeartbeatSource::Periodic,
    );
    assert!(matches!(events[..], [TaskEvent::Lost { attempt: 1, .. }]));
}

#[test]
fn task_is_lost_when_the_worker_reports_a_later_incarnation() {
    let mut m = machine();
    let events = apply(
        &mut m,
        &heartbeat(2, 9, TERM - 1, &[]),
        HeartbeatSource::Periodic,
    );
    assert!(matches!(events[..], [TaskEvent::Lost { attempt: 1, .. }]));
}

#[test]
fn task_with_an_unacknowledged_launch_is_neither_lost_nor_reaped() {
    let mut m = machine_with_unlaunched_task();
    let launch = m.needed_commands(true, |_, _| true);
    assert!(matches!(launch[..], [Command::Launch { .. }]));
    m.launch_fence.record_sent(&launch);
    if let Some(slot) = m.slots.get_mut(&task_key()) {
        slot.cancelled = true;
    }
    // The task is missing, but the launch may still arrive.
    assert_eq!(
        apply(
            &mut m,
            &heartbeat(1, 2, TERM, &[]),
            HeartbeatSource::Periodic
        ),
        []
    );
    // The task was launched and failed. A late launch has no effect while the worker still
    // lists the attempt, but would start the task again after a reap.
    let exited = heartbeat(1, 3, TERM, &[(1, TaskState::Exited)]);
    let events = apply(&mut m, &exited, HeartbeatSource::Periodic);
    assert!(matches!(events[..], [TaskEvent::Exited { attempt: 1, .. }]));
    assert_eq!(m.needed_commands(true, |_, _| true), []);
    // A worker in a new incarnation rejects the old launch.
    apply(
        &mut m,
        &heartbeat(2, 4, TERM, &[(1, TaskState::Exited)]),
        HeartbeatSource::Periodic,
    );
    assert!(matches!(
        m.needed_commands(true, |_, _| true)[..],
        [Command::Reap { .. }]
    ));
}

#[test]
fn launch_in_a_heartbeat_reply_is_unconfirmed_until_the_worker_accepts_a_higher_token() {
    let mut m = machine_with_unlaunched_task();
    let commands = m.needed_commands(true, |_, _| true);
    m.launch_fence.record_sent(&commands);
    if let Some(slot) = m.slots.get_mut(&task_key()) {
        slot.cancelled = true;
    }
    // The reply to other commands may have been sent before the launch arrived.
    assert_eq!(
        apply(
            &mut m,
            &heartbeat(1, 2, TERM, &[]),
            HeartbeatSource::CommandReply
        ),
        []
    );
    let periodic = heartbeat(1, 3, TERM, &[]);
    assert_eq!(apply(&mut m, &periodic, HeartbeatSource::Periodic), []);
    assert!(raise_token(&mut m));
    // The worker may not have received the higher token yet.
    let periodic = heartbeat(1, 4, TERM, &[]);
    assert_eq!(apply(&mut m, &periodic, HeartbeatSource::Periodic), []);
    assert!(!raise_token(&mut m), "one raise is enough");
    let events = apply(
        &mut m,
        &heartbeat(1, 5, TERM + 1, &[]),
        HeartbeatSource::Periodic,
    );
    assert!(matches!(events[..], [TaskEvent::Lost { .. }]));
}

/// Guards against a task that runs on two machines: an exited attempt is reaped while a launch of
/// it is still on its way in the reply to a heartbeat, and the late launch starts it again.
#[test]
fn exited_attempt_is_not_reaped_while_a_heartbeat_reply_may_still_launch_it() {
    for kind in [JobKind::Batch, JobKind::Service] {
        let mut m = machine();
        m.slots.clear();
        let spec = JobSpec::plain("req-1", kind, 1, 1.0);
        let slot = TaskSlot::new(1, 1, 0, &spec, true);
        m.add_task(task_key(), slot, (&Rc::from("img"), 1.0), 50.0);
        let launch = m.needed_commands(true, |_, _| true);
        assert!(matches!(launch[..], [Command::Launch { .. }]));
        m.launch_fence.record_sent(&launch);
        // The reply to heartbeat 1 is delayed, and a batch with the same launch overtakes it.
        send_answered_batch(&mut m, &launch);
        let exited = heartbeat(1, 2, TERM, &[(1, TaskState::Exited)]);
        let events = apply(&mut m, &exited, HeartbeatSource::CommandReply);
        assert!(matches!(events[..], [TaskEvent::Exited { attempt: 1, .. }]));
        assert_eq!(m.needed_commands(true, |_, _| true), [], "{kind:?}");
        // A copy of the batch may arrive later than the reply to heartbeat 1.
        let exited = heartbeat(1, 3, TERM, &[(1, TaskState::Exited)]);
        apply(&mut m, &exited, HeartbeatSource::Periodic);
        assert_eq!(m.needed_commands(true, |_, _| true), [], "{kind:?}");
        assert!(raise_token(&mut m));
        assert!(is_reap(&m.needed_commands(true, |_, _| true)));
    }
}

#[test]
fn attempt_that_a_copy_of_an_answered_launch_could_start_again_is_not_reaped() {
    let exit_reasons = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::Error,
        ExitReason::InsufficientResources,
        ExitReason::OtherAttemptPresent,
        ExitReason::UnknownTask,
    ];
    for reason in exit_reasons {
        let mut m = machine_with_unlaunched_task();
        let launch = m.needed_commands(true, |_, _| true);
        send_answered_batch(&mut m, &launch);
        let mut exited = heartbeat(1, 2, TERM, &[(1, TaskState::Exited)]);
        exited.tasks[0].reason = Some(reason);
        apply(&mut m, &exited, HeartbeatSource::Periodic);
        assert_eq!(m.needed_commands(true, |_, _| true), [], "{reason:?}");
        assert!(raise_token(&mut m), "{reason:?}");
        assert!(is_reap(&m.needed_commands(true, |_, _| true)), "{reason:?}");
        // Another attempt is launched under the higher token.
        place_attempt(&mut m, 2);
        let launch = m.needed_commands(true, |_, _| false);
        assert!(matches!(launch[..], [Command::Launch { attempt: 2, .. }]));
        send_answered_batch(&mut m, &launch);
        let both = [(1, TaskState::Exited), (2, TaskState::Exited)];
        let exited = heartbeat(1, 3, TERM + 1, &both);
        apply(&mut m, &exited, HeartbeatSource::Periodic);
        let reaps = m.needed_commands(true, |_, _| true);
        assert!(matches!(reaps[..], [Command::Reap { attempt: 1, .. }]));
        assert!(raise_token(&mut m));
        assert_eq!(m.needed_commands(true, |_, _| true).len(), 2);
    }
}

#[test]
fn attempt_that_an_earlier_leader_launched_is_reaped_without_a_higher_token() {
    let mut m = machine();
    let exited = heartbeat(1, 2, TERM, &[(1, TaskState::Exited)]);
    apply(&mut m, &exited, HeartbeatSource::Periodic);
    assert!(!m.needs_higher_token());
    assert!(is_reap(&m.needed_commands(true, |_, _| true)));
}

#[test]
fn token_that_was_not_sent_proves_no_end_of_a_task() {
    let mut m = machine();
    let unknown = heartbeat(1, 2, TERM + 7, &[]);
    assert_eq!(apply(&mut m, &unknown, HeartbeatSource::Periodic), []);
    // The worker refuses messages under a lower token.
    assert_eq!(m.launch_fence.token(), TERM + 7);
    let mut launched = machine_with_unlaunched_task();
    let launch = launched.needed_commands(true, |_, _| true);
    send_answered_batch(&mut launched, &launch);
    apply(&mut launched, &unknown, HeartbeatSource::Periodic);
    let attempt = TaskAttempt {
        task: "req-1/0".parse().expect("a task's name"),
        attempt: 1,
    };
    assert!(launched.launch_fence.may_still_launch(&attempt));
}

#[test]
fn launch_waits_for_the_stored_placement_and_reap_for_the_stored_end() {
    let mut m = machine();
    m.slots.clear();
    m.add_task(
        task_key(),
        TaskSlot::new(1, 1, 0, &job_spec(), false),
        (&Rc::from("img"), 1.0),
        50.0,
    );
    assert_eq!(m.needed_commands(true, |_, _| true), []);
    apply(
        &mut m,
        &heartbeat(1, 2, TERM, &[(7, TaskState::Exited)]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(m.needed_commands(true, |_, _| false), []);
}

#[test]
fn end_of_an_earlier_attempt_does_not_end_the_placed_one() {
    let mut m = machine();
    m.slots.clear();
    place_attempt(&mut m, 2);
    let ended = heartbeat(1, 2, TERM, &[(1, TaskState::Exited)]);
    assert_eq!(apply(&mut m, &ended, HeartbeatSource::Periodic), []);
    let both = [(1, TaskState::Exited), (2, TaskState::Running)];
    let events = apply(
        &mut m,
        &heartbeat(1, 3, TERM, &both),
        HeartbeatSource::Periodic,
    );
    assert_eq!(events, [TaskEvent::Running(task_key())]);
    // An earlier attempt that still runs is stopped.
    let unexpected = heartbeat(1, 4, TERM, &[(1, TaskState::Running)]);
    apply(&mut m, &unexpected, HeartbeatSource::Periodic);
    let stops = m.needed_commands(true, |_, _| true);
    assert!(matches!(&stops[..], [Command::Stop { attempt: 1, .. }, ..]));
}

/// A new leader may read a placement from an earlier incarnation of the worker, whose tasks
/// have ended, so that no commands are needed.
#[test]
fn placement_of_an_earlier_incarnation_gets_no_commands() {
    let mut m = machine();
    m.slots.clear();
    apply(
        &mut m,
        &heartbeat(2, 2, TERM, &[]),
        HeartbeatSource::Periodic,
    );
    place_attempt(&mut m, 1);
    assert_eq!(m.needed_commands(true, |_, _| true), []);
}
