//! A transaction of a user's is carried out at once and only its answer is lost, while
//! other nodes read what it wrote.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::{CallError, MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::StoreResponse;
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";
const QUEUED: (u16, Option<JobState>) = (200, Some(JobState::Queued));
const DONE: (u16, Option<JobState>) = (200, Some(JobState::Done));
const CANCELLED: (u16, Option<JobState>) = (200, Some(JobState::Cancelled));

fn node() -> SteppedNode {
    SteppedNode::ready(common::config_with_team(), START)
}

/// What another node is told that is asked now.
fn elsewhere(store: &mut MemoryStore, ask: fn(&mut SteppedNode) -> u64) -> (u16, Option<JobState>) {
    let mut other = node();
    let request = ask(&mut other);
    other.execute_all(store);
    other.answer(request).expect("an answer")
}

fn nothing(_: &mut MemoryStore) {}

fn done(store: &mut MemoryStore) {
    store.mark_done(JOB);
}

fn cancelled(store: &mut MemoryStore) {
    assert_eq!(elsewhere(store, |n| n.cancel(JOB)), CANCELLED);
}

fn cleared(store: &mut MemoryStore) {
    cancelled(store);
    store.remove_cancelled(JOB);
}

type Change = fn(&mut MemoryStore);

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
        let (mut node, mut store) = (node(), MemoryStore::default());
        let submission = node.submit(&job_spec(JOB));
        node.execute_and_lose_answer(&mut store);
        assert_eq!(elsewhere(&mut store, |n| n.poll(JOB)), QUEUED);
        since(&mut store);
        let rows = store.rows.clone();
        node.execute_all(&mut store);
        assert_eq!(node.answer(submission), Some(now));
        assert_eq!(store.rows, rows, "written twice");
    }
}

/// The first try says that the job is there, before it is done; the second one, sent
/// because the first was slow, is answered after the end was told here.
#[test]
fn the_later_answer_of_two_tries_takes_no_end_back() {
    let (mut node, mut store) = (node(), MemoryStore::default());
    let submission = node.submit(&job_spec(JOB));
    let (first, call) = node.take_call();
    store.execute(&call);
    node.now += 100 * MILLISECOND;
    node.tick();
    let (second, call) = node.take_call();
    let known = store.execute(&call);
    store.mark_done(JOB);
    let poll = node.poll(JOB);
    node.execute_all(&mut store);
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
        let (mut node, mut store) = (node(), MemoryStore::default());
        elsewhere(&mut store, |n| n.submit(&job_spec(JOB)));
        if known {
            node.poll(JOB);
            node.execute_all(&mut store);
        }
        let cancellation = node.cancel(JOB);
        if !known {
            node.execute_next(&mut store);
        }
        node.execute_and_lose_answer(&mut store);
        assert_eq!(elsewhere(&mut store, |n| n.poll(JOB)), CANCELLED);
        // Done comes too late.
        assert!(matches!(
            store.mark_done(JOB),
            StoreResponse::Conflict { .. }
        ));
        if clear {
            store.remove_cancelled(JOB);
        }
        let rows = store.rows.clone();
        node.execute_all(&mut store);
        assert_eq!(node.answer(cancellation), Some(CANCELLED));
        assert_eq!(store.rows, rows, "written twice");
    }
    // Its last task ended before the lost try was carried out.
    let (mut node, mut store) = (node(), MemoryStore::default());
    elsewhere(&mut store, |n| n.submit(&job_spec(JOB)));
    let cancellation = node.cancel(JOB);
    node.execute_next(&mut store);
    store.mark_done(JOB);
    node.execute_and_lose_answer(&mut store);
    assert_eq!(elsewhere(&mut store, |n| n.poll(JOB)), DONE);
    node.execute_all(&mut store);
    assert_eq!(node.answer(cancellation), Some(DONE));
}

/// It says so of the request, whatever it is about: a repeated submission may hold what
/// the first did not.
#[test]
fn what_the_store_calls_malformed_is_refused_only_if_it_is_unknown() {
    let (mut node, mut store) = (node(), MemoryStore::default());
    let malformed = |node: &mut SteppedNode| {
        let submission = node.submit(&job_spec(JOB));
        let (id, _) = node.take_call();
        node.reply(id, Ok(StoreResponse::Malformed));
        submission
    };
    let submission = malformed(&mut node);
    node.execute_all(&mut store);
    assert_eq!(node.answer(submission), Some((400, None)));
    elsewhere(&mut store, |n| n.submit(&job_spec(JOB)));
    let submission = malformed(&mut node);
    node.execute_all(&mut store);
    assert_eq!(node.answer(submission), Some(QUEUED));
}

/// A submission tried again is a call and a change like the first. Where no connection
/// comes about at all, tries once followed one another without a pause for 4 s.
#[test]
fn a_store_out_of_reach_is_not_tried_without_end() {
    let mut node = node();
    let submission = node.submit(&job_spec(JOB));
    let mut tries = 0;
    while node.answer(submission).is_none() {
        tries += 1;
        assert!(tries < 20, "no end of tries");
        let (id, _) = node.take_call();
        node.reply(id, Err(CallError::NotSent));
    }
    assert_eq!(node.answer(submission), Some((503, None)));
    // Of 18 changes a second.
    assert_eq!(tries, 18);
}

/// Every kind of request, of a known job and of an unknown one, with one of its calls
/// lost or refused, or none, more often than requests may be under way at once: nothing of that
/// stays taken, or is given back twice.
#[test]
fn nothing_lost_stays_under_way() {
    let mut config = common::config_with_team();
    (config.state_rps, config.state_write_rps) = (1e6, 1e6);
    let asking: [fn(&mut SteppedNode, &str) -> u64; 5] = [
        |n, id| n.submit(&job_spec(id)),
        |n, id| n.poll(id),
        |n, id| n.cancel(id),
        |n, id| {
            n.request(
                "POST",
                JOBS_PATH.into(),
                submission_with_field(id, "leaves", None),
            )
        },
        |n, id| {
            let mut spec = job_spec(&id.replace("req-1", "req-2"));
            spec.depends_on = vec![id.into()];
            n.submit(&spec)
        },
    ];
    let unknown = MemoryStore::default();
    let mut accepted = MemoryStore::default();
    elsewhere(&mut accepted, |n| n.submit(&job_spec(JOB)));
    let mut over = MemoryStore::default();
    elsewhere(&mut over, |n| n.submit(&job_spec(JOB)));
    over.mark_done(JOB);
    let stores = [unknown, accepted, over];
    let faults = [
        Err(CallError::NoAnswer),
        Ok(StoreResponse::Unavailable),
        Ok(StoreResponse::Malformed),
    ];
    for case in 0..180 {
        let (ask, fault) = (asking[case % 5], &faults[case / 5 % 3]);
        let (job, lost) = (case / 15 % 3, case / 45);
        let mut node = SteppedNode::ready(config.clone(), START);
        for round in 0..260 {
            let id = format!("req-1{round}");
            let mut store = MemoryStore::default();
            let rows = stores[job].rows.iter();
            store.rows = rows
                .map(|(k, row)| (k.replace(JOB, &id), row.clone()))
                .collect();
            let request = ask(&mut node, &id);
            let (mut call, until) = (0, node.now + 10 * SECOND);
            while node.answer(request).is_none() {
                assert!(node.now < until, "{case}: never answered");
                node.now += 20 * MILLISECOND;
                if node.pending_calls.is_empty() {
                    node.tick();
                    continue;
                }
                let (id, sent) = node.take_call();
                let carried_out = store.execute(&sent);
                let lost = call == lost;
                call += 1;
                node.reply(id, if lost { fault.clone() } else { Ok(carried_out) });
            }
            let status = node.answer(request).map_or(0, |a| a.0);
            // Of a job that is there nobody is told that it is not, and no poll is
            // answered without what it wanted to read.
            assert!(
                job == 0 || matches!(status, 200 | 201 | 503),
                "{case}: {status}"
            );
            let refused = case % 5 == 1 && call > lost;
            assert!(!refused || status == 503, "{case}: {status}");
            node.answers.clear();
        }
        // What else is there to do is done, all at once.
        let mut store = MemoryStore::default();
        let ids = ["req-1", "req-3", "req-4"];
        let submissions = ids.map(|id| node.submit(&job_spec(id)));
        node.execute_all(&mut store);
        for submission in submissions {
            assert_eq!(node.answer(submission).map(|a| a.0), Some(201), "{case}");
        }
        let poll = node.poll(JOB);
        node.execute_all(&mut store);
        assert_eq!(node.answer(poll), Some(QUEUED), "{case}");
    }
}
