//! A leader whose own process confirms a cancellation need not wait for its watch.

mod common;

use common::leader_fixture::{JOB_ID, LeaderFixture};
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{Input, RequestId, SECOND};
use dillcleat_wire::user::{cancel_path, poll_path};
use dillcleat_wire::worker::Command;

fn ask(fixture: &mut LeaderFixture, at: u64, method: &str, target: String) -> Vec<u16> {
    let request = Input::Request {
        id: RequestId(900),
        method: method.into(),
        target,
        body: Vec::new(),
    };
    fixture.step(at, request)
}

fn stops(fixture: &mut LeaderFixture, at: u64) -> bool {
    let commands = fixture.send_heartbeat(at).expect("the lease is renewed");
    commands.iter().any(|c| matches!(c, Command::Stop { .. }))
}

/// Between the confirmation and the watch it once launched what was being placed.
#[test]
fn what_its_own_user_cancels_is_stopped_before_the_watch_tells() {
    let mut fixture = LeaderFixture::elected();
    assert!(!stops(&mut fixture, SECOND));
    fixture.env.readable_row = Some(fixture.env.queue_rows[0].clone());
    let statuses = ask(&mut fixture, 2 * SECOND, "POST", cancel_path(JOB_ID));
    assert_eq!(statuses, [200]);
    assert!(stops(&mut fixture, 2 * SECOND));
}

/// The same of a cancellation that another node has confirmed and a poll here meets.
#[test]
fn what_a_poll_finds_cancelled_is_stopped_before_the_watch_tells() {
    let mut fixture = LeaderFixture::elected();
    assert!(!stops(&mut fixture, SECOND));
    let mark = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    fixture.env.readable_row = Some(common::row(records::job_key(JOB_ID), &mark));
    let statuses = ask(&mut fixture, 2 * SECOND, "GET", poll_path(JOB_ID));
    assert_eq!(statuses, [200]);
    assert!(stops(&mut fixture, 2 * SECOND));
}
