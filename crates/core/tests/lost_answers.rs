//! A transaction of a user's is carried out at once and only its answer is lost, while
//! other nodes read what it wrote.

mod common;

use common::users::{Driven, Store, spec, with};
use dillcleat_core::{CallError, MILLISECOND, Micros, SECOND};
use dillcleat_wire::state::StateReply;
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";
const QUEUED: (u16, Option<JobState>) = (200, Some(JobState::Queued));
const DONE: (u16, Option<JobState>) = (200, Some(JobState::Done));
const CANCELLED: (u16, Option<JobState>) = (200, Some(JobState::Cancelled));

fn node() -> Driven {
    Driven::ready(common::config_with_team(), START)
}

/// What another node is told that is asked now.
fn elsewhere(store: &mut Store, ask: fn(&mut Driven) -> u64) -> (u16, Option<JobState>) {
    let mut other = node();
    let request = ask(&mut other);
    other.settle(store);
    other.answer(request).expect("an answer")
}

fn nothing(_: &mut Store) {}

fn done(store: &mut Store) {
    store.done(JOB);
}

fn cancelled(store: &mut Store) {
    assert_eq!(elsewhere(store, |n| n.cancel(JOB)), CANCELLED);
}

fn cleared(store: &mut Store) {
    cancelled(store);
    store.clear(JOB);
}

type Change = fn(&mut Store);

/// What becomes of the job before the submission is tried again, and what is so.
const SINCE: [(Change, (u16, Option<JobState>)); 4] = [
    (nothing, QUEUED),
    (done, DONE),
    (cancelled, CANCELLED),
    (cleared, CANCELLED),
];

#[test]
fn a_submission_tried_again_tells_what_has_become_of_the_job() {
    for (since, now) in SINCE {
        let (mut node, mut store) = (node(), Store::default());
        let submission = node.submit(&spec(JOB));
        node.lose(&mut store);
        assert_eq!(elsewhere(&mut store, |n| n.poll(JOB)), QUEUED);
        since(&mut store);
        let rows = store.rows.clone();
        node.settle(&mut store);
        assert_eq!(node.answer(submission), Some(now));
        assert_eq!(store.rows, rows, "written twice");
    }
}

/// The first try says that the job is there, before it is done; the second one, sent
/// because the first was slow, is answered after the end was told here.
#[test]
fn the_later_answer_of_two_tries_takes_no_end_back() {
    let (mut node, mut store) = (node(), Store::default());
    let submission = node.submit(&spec(JOB));
    let (first, call) = node.take();
    store.carry_out(&call);
    node.at += 100 * MILLISECOND;
    node.tick();
    let (second, call) = node.take();
    let known = store.carry_out(&call);
    store.done(JOB);
    let poll = node.poll(JOB);
    node.settle(&mut store);
    assert_eq!(node.answer(poll), Some(DONE));
    node.reply(first, Err(CallError::NoAnswer));
    assert_eq!(node.answer(submission), None);
    node.reply(second, Ok(known));
    assert_eq!(node.answer(submission), Some(DONE));
}

/// Whoever polls elsewhere is told the cancellation at once, and so is who asked for it.
#[test]
fn a_cancellation_tried_again_finds_itself_or_the_end() {
    for (clear, known) in [(false, false), (false, true), (true, false), (true, true)] {
        let (mut node, mut store) = (node(), Store::default());
        elsewhere(&mut store, |n| n.submit(&spec(JOB)));
        if known {
            node.poll(JOB);
            node.settle(&mut store);
        }
        let cancellation = node.cancel(JOB);
        if !known {
            node.serve(&mut store);
        }
        node.lose(&mut store);
        assert_eq!(elsewhere(&mut store, |n| n.poll(JOB)), CANCELLED);
        // Done comes too late.
        assert!(matches!(store.done(JOB), StateReply::Conflict { .. }));
        if clear {
            store.clear(JOB);
        }
        let rows = store.rows.clone();
        node.settle(&mut store);
        assert_eq!(node.answer(cancellation), Some(CANCELLED));
        assert_eq!(store.rows, rows, "written twice");
    }
    // Its last task ended before the lost try was carried out.
    let (mut node, mut store) = (node(), Store::default());
    elsewhere(&mut store, |n| n.submit(&spec(JOB)));
    let cancellation = node.cancel(JOB);
    node.serve(&mut store);
    store.done(JOB);
    node.lose(&mut store);
    assert_eq!(elsewhere(&mut store, |n| n.poll(JOB)), DONE);
    node.settle(&mut store);
    assert_eq!(node.answer(cancellation), Some(DONE));
}

/// It says so of the request, whatever it is about: a repeated submission may hold what
/// the first did not.
#[test]
fn what_the_store_calls_malformed_is_refused_only_if_it_is_unknown() {
    let (mut node, mut store) = (node(), Store::default());
    let malformed = |node: &mut Driven| {
        let submission = node.submit(&spec(JOB));
        let (id, _) = node.take();
        node.reply(id, Ok(StateReply::Malformed));
        submission
    };
    let submission = malformed(&mut node);
    node.settle(&mut store);
    assert_eq!(node.answer(submission), Some((400, None)));
    elsewhere(&mut store, |n| n.submit(&spec(JOB)));
    let submission = malformed(&mut node);
    node.settle(&mut store);
    assert_eq!(node.answer(submission), Some(QUEUED));
}

/// Every kind of request, one call of each lost, more often than requests may be under
/// way at once: nothing of that stays taken, or is given back twice.
#[test]
fn nothing_lost_stays_under_way() {
    let mut config = common::config_with_team();
    (config.state_rps, config.state_write_rps) = (1e6, 1e6);
    let mut node = Driven::ready(config, START);
    let asking: [fn(&mut Driven, &str) -> u64; 5] = [
        |n, id| n.submit(&spec(id)),
        |n, id| n.poll(id),
        |n, id| n.cancel(id),
        |n, id| n.request("POST", JOBS_PATH.into(), with(id, "leaves", None)),
        |n, id| {
            let mut spec = spec(&id.replace("req-1", "req-3"));
            spec.awaits = vec![id.into()];
            n.submit(&spec)
        },
    ];
    let ids = (1..).map(|i| format!("req-1{i}"));
    for (round, id) in ids.take(1600).enumerate() {
        let mut store = Store::default();
        if round % 2 == 0 {
            elsewhere(&mut store, |n| n.submit(&spec(JOB)));
            let rows = std::mem::take(&mut store.rows).into_iter();
            store.rows = rows.map(|(k, row)| (k.replace(JOB, &id), row)).collect();
        }
        let request = asking[round % 5](&mut node, &id);
        for call in 0..8 {
            node.at += 20 * MILLISECOND;
            node.tick();
            match node.sent.is_empty() {
                true => {}
                false if call == round / 10 % 4 => node.lose(&mut store),
                false => node.serve(&mut store),
            }
        }
        assert!(node.answer(request).is_some(), "{round}");
        node.told.clear();
    }
    let mut store = Store::default();
    let submission = node.submit(&spec("req-2"));
    node.settle(&mut store);
    assert_eq!(node.answer(submission).map(|a| a.0), Some(201));
    let poll = node.poll("req-2");
    node.settle(&mut store);
    assert_eq!(node.answer(poll), Some(QUEUED));
}
