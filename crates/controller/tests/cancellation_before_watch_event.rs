//! When a leader's own node confirms a cancellation or reads it from the store, the leader
//! stops the job at once. If it waited for the watch event, it could still launch tasks of the
//! job.

mod common;

use common::leader_fixture::{JOB_ID, LeaderFixture};
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{Input, Micros, RequestId, SECOND};
use dillcleat_wire::user::{cancel_path, poll_path};
use dillcleat_wire::worker::Command;

fn send_request(fixture: &mut LeaderFixture, at: Micros, method: &str, target: String) -> Vec<u16> {
    let request = Input::Request {
        id: RequestId(900),
        method: method.into(),
        target,
        body: Vec::new(),
    };
    fixture.step(at, request)
}

/// Whether the reply to the machine's heartbeat has a stop command.
fn gets_stop_command(fixture: &mut LeaderFixture, at: Micros) -> bool {
    let commands = fixture.send_heartbeat(at).expect("the lease is renewed");
    commands.iter().any(|c| matches!(c, Command::Stop { .. }))
}

#[test]
fn job_cancelled_at_the_leaders_node_is_stopped_before_the_watch_event() {
    let mut fixture = LeaderFixture::elected();
    assert!(!gets_stop_command(&mut fixture, SECOND));
    fixture.env.readable_row = Some(fixture.env.queue_rows[0].clone());
    let statuses = send_request(&mut fixture, 2 * SECOND, "POST", cancel_path(JOB_ID));
    assert_eq!(statuses, [200]);
    assert!(gets_stop_command(&mut fixture, 2 * SECOND));
}

/// Another node has confirmed the cancellation, and the leader's node reads it for a poll.
#[test]
fn job_that_a_poll_finds_cancelled_is_stopped_before_the_watch_event() {
    let mut fixture = LeaderFixture::elected();
    assert!(!gets_stop_command(&mut fixture, SECOND));
    let state_record = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    fixture.env.readable_row = Some(common::row(records::job_state_key(JOB_ID), &state_record));
    let statuses = send_request(&mut fixture, 2 * SECOND, "GET", poll_path(JOB_ID));
    assert_eq!(statuses, [200]);
    assert!(gets_stop_command(&mut fixture, 2 * SECOND));
}
