//! Users ask, submit again and cancel while a job begins and ends: each answer rests on
//! what was read after its request came in.

mod common;

use common::users::{Driven, Store, spec, with};
use dillcleat_core::{Micros, SECOND};
use dillcleat_wire::state::Value;
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";
/// What a request was answered.
type Told = Option<(u16, Option<JobState>)>;

const QUEUED: Told = Some((200, Some(JobState::Queued)));
const DONE: Told = Some((200, Some(JobState::Done)));
const CANCELLED: Told = Some((200, Some(JobState::Cancelled)));

fn node() -> Driven {
    Driven::ready(common::config_with_team(), START)
}

/// A store that has accepted the job.
fn accepted() -> Store {
    let mut store = Store::default();
    let mut other = node();
    let request = other.submit(&spec(JOB));
    other.settle(&mut store);
    assert_eq!(other.answer(request).map(|a| a.0), Some(201));
    store
}

fn bad_submission(node: &mut Driven) -> u64 {
    node.request(
        "POST",
        JOBS_PATH.into(),
        with(JOB, "leaves", Some(Value::from(0))),
    )
}

type Asking = fn(&mut Driven) -> u64;

/// Every request that is answered by looking a job up, and the answer if it is open.
const ASKING: [(Asking, Told); 3] = [
    (|n| n.poll(JOB), QUEUED),
    (bad_submission, QUEUED),
    (|n| n.cancel(JOB), CANCELLED),
];

/// The first read was carried out before the job was accepted and is answered last.
#[test]
fn a_read_answers_only_the_request_that_sent_it() {
    for (ask, open) in ASKING {
        let mut node = node();
        let first = node.poll(JOB);
        let (early, call) = node.take();
        let absent = Store::default().carry_out(&call);
        let mut store = accepted();
        let second = ask(&mut node);
        node.serve(&mut store);
        node.reply(early, Ok(absent));
        node.settle(&mut store);
        assert_eq!(node.answer(second), open);
        // Nothing wrong about the first either, which was asked before.
        assert_ne!(node.answer(first), None);
    }
}

/// The same with two reads of the mark, the first of them sent before the job was there.
#[test]
fn a_read_of_the_mark_answers_only_the_request_that_sent_it() {
    for (ask, _) in ASKING {
        let mut node = node();
        let mut store = Store::default();
        let first = node.poll(JOB);
        node.serve(&mut store);
        let (early, call) = node.take();
        let absent = store.carry_out(&call);
        store = accepted();
        store.done(JOB);
        let second = ask(&mut node);
        node.serve(&mut store);
        node.serve(&mut store);
        node.reply(early, Ok(absent));
        assert_eq!(node.answer(second), DONE);
        assert_ne!(node.answer(first), None);
    }
}
