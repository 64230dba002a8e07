//! A leader stops a job at once when its own node confirms or reads the cancellation, before
//! its watch returns the event. Until then it could launch tasks of the job.

mod common;

use common::gap::{Gap, JOB};
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{Input, RequestId, SECOND};
use dillcleat_wire::user::{cancel_path, poll_path};
use dillcleat_wire::worker::Command;

fn send_request(gap: &mut Gap, at: u64, method: &str, target: String) -> Vec<u16> {
    let request = Input::Request {
        id: RequestId(900),
        method: method.into(),
        target,
        body: Vec::new(),
    };
    gap.step(at, request)
}

/// Whether the reply to the machine's heartbeat has a stop command.
fn gets_stop_command(gap: &mut Gap, at: u64) -> bool {
    let commands = gap.reports(at).expect("the lease is renewed");
    commands.iter().any(|c| matches!(c, Command::Stop { .. }))
}

#[test]
fn job_cancelled_at_the_leaders_node_is_stopped_before_the_watch_event() {
    let mut gap = Gap::leading();
    assert!(!gets_stop_command(&mut gap, SECOND));
    gap.around.found = Some(gap.around.queue[0].clone());
    let statuses = send_request(&mut gap, 2 * SECOND, "POST", cancel_path(JOB));
    assert_eq!(statuses, [200]);
    assert!(gets_stop_command(&mut gap, 2 * SECOND));
}

/// Another node has confirmed the cancellation.
#[test]
fn job_that_a_poll_finds_cancelled_is_stopped_before_the_watch_event() {
    let mut gap = Gap::leading();
    assert!(!gets_stop_command(&mut gap, SECOND));
    let state_record = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    gap.around.found = Some(common::row(records::job_key(JOB), &state_record));
    let statuses = send_request(&mut gap, 2 * SECOND, "GET", poll_path(JOB));
    assert_eq!(statuses, [200]);
    assert!(gets_stop_command(&mut gap, 2 * SECOND));
}
