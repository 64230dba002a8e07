//! The transaction of a user's request commits and its reply is lost, while other nodes
//! read what it wrote. The retry must answer with the current state and write nothing
//! again.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::{CallError, MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::StoreResponse;
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB_ID: &str = "req-1";
const QUEUED: (u16, Option<JobState>) = (200, Some(JobState::Queued));
const DONE: (u16, Option<JobState>) = (200, Some(JobState::Done));
const CANCELLED: (u16, Option<JobState>) = (200, Some(JobState::Cancelled));

fn node() -> SteppedNode {
    SteppedNode::with_machine_types(common::config_with_team(), START)
}

/// Sends a request to another node and returns its answer.
fn request_at_other_node(
    store: &mut MemoryStore,
    send: fn(&mut SteppedNode) -> u64,
) -> (u16, Option<JobState>) {
    let mut other = node();
    let request = send(&mut other);
    other.execute_all(store);
    other.answer(request).expect("an answer")
}

fn leave_open(_: &mut MemoryStore) {}

fn finish(store: &mut MemoryStore) {
    store.record_done(JOB_ID);
}

fn cancel(store: &mut MemoryStore) {
    assert_eq!(
        request_at_other_node(store, |n| n.cancel(JOB_ID)),
        CANCELLED
    );
}

fn cancel_and_delete(store: &mut MemoryStore) {
    cancel(store);
    store.delete_cancelled_records(JOB_ID);
}

type Change = fn(&mut MemoryStore);

/// Changes to the job before its submission is retried, each with the expected answer.
const CHANGES: [(Change, (u16, Option<JobState>)); 4] = [
    (leave_open, QUEUED),
    (finish, DONE),
    (cancel, CANCELLED),
    (cancel_and_delete, CANCELLED),
];

#[test]
fn retried_submission_returns_the_jobs_current_state() {
    for (change, expected) in CHANGES {
        let (mut node, mut store) = (node(), MemoryStore::default());
        let submission = node.submit(&job_spec(JOB_ID));
        node.execute_and_lose_reply(&mut store);
        assert_eq!(
            request_at_other_node(&mut store, |n| n.poll(JOB_ID)),
            QUEUED
        );
        change(&mut store);
        let rows = store.rows.clone();
        node.execute_all(&mut store);
        assert_eq!(node.answer(submission), Some(expected));
        assert_eq!(store.rows, rows, "written twice");
    }
}

/// A submission is retried because the first attempt is slow. The reply to the retry says that
/// the job is open, but arrives after a poll at this node has found the job done.
#[test]
fn late_reply_to_a_retry_does_not_reopen_a_done_job() {
    let (mut node, mut store) = (node(), MemoryStore::default());
    let submission = node.submit(&job_spec(JOB_ID));
    let (first, call) = node.take_call();
    store.execute(&call);
    node.now += 100 * MILLISECOND;
    node.tick();
    let (second, call) = node.take_call();
    let second_reply = store.execute(&call);
    store.record_done(JOB_ID);
    let poll = node.poll(JOB_ID);
    node.execute_all(&mut store);
    assert_eq!(node.answer(poll), Some(DONE));
    node.reply(first, Err(CallError::NoAnswer));
    assert_eq!(node.answer(submission), None);
    node.reply(second, Ok(second_reply));
    assert_eq!(node.answer(submission), Some(DONE));
}

/// The first attempt is executed and its reply lost. The retry must return the state that a
/// poll at another node has already shown: cancelled, or done if the job ended first.
#[test]
fn retried_cancellation_finds_the_job_cancelled_or_done() {
    for (delete, cached) in [(false, false), (false, true), (true, false), (true, true)] {
        let (mut node, mut store) = (node(), MemoryStore::default());
        request_at_other_node(&mut store, |n| n.submit(&job_spec(JOB_ID)));
        if cached {
            node.poll(JOB_ID);
            node.execute_all(&mut store);
        }
        let cancellation = node.cancel(JOB_ID);
        if !cached {
            node.execute_next(&mut store);
        }
        node.execute_and_lose_reply(&mut store);
        assert_eq!(
            request_at_other_node(&mut store, |n| n.poll(JOB_ID)),
            CANCELLED
        );
        // The job can no longer become done.
        assert!(matches!(
            store.record_done(JOB_ID),
            StoreResponse::Conflict { .. }
        ));
        if delete {
            store.delete_cancelled_records(JOB_ID);
        }
        let rows = store.rows.clone();
        node.execute_all(&mut store);
        assert_eq!(node.answer(cancellation), Some(CANCELLED));
        assert_eq!(store.rows, rows, "written twice");
    }
    // The job's last task ends before the first attempt is executed.
    let (mut node, mut store) = (node(), MemoryStore::default());
    request_at_other_node(&mut store, |n| n.submit(&job_spec(JOB_ID)));
    let cancellation = node.cancel(JOB_ID);
    node.execute_next(&mut store);
    store.record_done(JOB_ID);
    node.execute_and_lose_reply(&mut store);
    assert_eq!(request_at_other_node(&mut store, |n| n.poll(JOB_ID)), DONE);
    node.execute_all(&mut store);
    assert_eq!(node.answer(cancellation), Some(DONE));
}

/// A submission of an existing job must return the job's state even if the repeated submission
/// itself is malformed.
#[test]
fn submission_that_the_store_rejects_as_malformed_gets_400_only_if_the_job_is_unknown() {
    let (mut node, mut store) = (node(), MemoryStore::default());
    let submit_malformed = |node: &mut SteppedNode| {
        let submission = node.submit(&job_spec(JOB_ID));
        let (id, _) = node.take_call();
        node.reply(id, Ok(StoreResponse::Malformed));
        submission
    };
    let submission = submit_malformed(&mut node);
    node.execute_all(&mut store);
    assert_eq!(node.answer(submission), Some((400, None)));
    request_at_other_node(&mut store, |n| n.submit(&job_spec(JOB_ID)));
    let submission = submit_malformed(&mut node);
    node.execute_all(&mut store);
    assert_eq!(node.answer(submission), Some(QUEUED));
}

/// Each retry counts against the budgets of calls and writes like the first attempt.
#[test]
fn retries_of_a_submission_stay_within_the_write_budget() {
    let mut node = node();
    let submission = node.submit(&job_spec(JOB_ID));
    let mut attempts = 0;
    while node.answer(submission).is_none() {
        attempts += 1;
        assert!(attempts < 20, "retried without limit");
        let (id, _) = node.take_call();
        node.reply(id, Err(CallError::NotSent));
    }
    assert_eq!(node.answer(submission), Some((503, None)));
    // The node's budget is 18 writes a second.
    assert_eq!(attempts, 18);
}

/// Sends requests of every kind for unknown, open and done jobs, each with at most one call
/// lost or refused. Each request must release its slot exactly once.
#[test]
fn failed_calls_release_their_request_slots() {
    // More requests than a node has slots.
    const ROUNDS: u32 = 260;
    let mut config = common::config_with_team();
    (config.store_rps, config.store_write_rps) = (1e6, 1e6);
    let requests: [fn(&mut SteppedNode, &str) -> u64; 5] = [
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
    let mut open = MemoryStore::default();
    request_at_other_node(&mut open, |n| n.submit(&job_spec(JOB_ID)));
    let mut done = MemoryStore::default();
    request_at_other_node(&mut done, |n| n.submit(&job_spec(JOB_ID)));
    done.record_done(JOB_ID);
    let stores = [unknown, open, done];
    let faults = [
        Err(CallError::NoAnswer),
        Ok(StoreResponse::Unavailable),
        Ok(StoreResponse::Malformed),
    ];
    // Every combination of a request, a fault, a store and the index of the call that fails.
    for case in 0..180 {
        let (send, fault) = (requests[case % 5], &faults[case / 5 % 3]);
        let (store_index, failing_call) = (case / 15 % 3, case / 45);
        let is_poll = case % 5 == 1;
        let mut node = SteppedNode::with_machine_types(config.clone(), START);
        for round in 0..ROUNDS {
            let id = format!("req-1{round}");
            let mut store = MemoryStore::default();
            let rows = stores[store_index].rows.iter();
            store.rows = rows
                .map(|(k, row)| (k.replace(JOB_ID, &id), row.clone()))
                .collect();
            let request = send(&mut node, &id);
            let (mut calls, deadline) = (0, node.now + 10 * SECOND);
            while node.answer(request).is_none() {
                assert!(node.now < deadline, "case {case}: never answered");
                node.now += 20 * MILLISECOND;
                if node.pending_calls.is_empty() {
                    node.tick();
                    continue;
                }
                let (id, sent) = node.take_call();
                let reply = store.execute(&sent);
                let fails = calls == failing_call;
                calls += 1;
                node.reply(id, if fails { fault.clone() } else { Ok(reply) });
            }
            let status = node.answer(request).map_or(0, |a| a.0);
            // A job that exists is never reported unknown, and a poll whose call fails gets
            // 503.
            assert!(
                store_index == 0 || matches!(status, 200 | 201 | 503),
                "case {case}: {status}"
            );
            let poll_failed = is_poll && calls > failing_call;
            assert!(!poll_failed || status == 503, "case {case}: {status}");
            node.answers.clear();
        }
        // The node still serves further requests.
        let mut store = MemoryStore::default();
        let ids = ["req-1", "req-3", "req-4"];
        let submissions = ids.map(|id| node.submit(&job_spec(id)));
        node.execute_all(&mut store);
        for submission in submissions {
            assert_eq!(
                node.answer(submission).map(|a| a.0),
                Some(201),
                "case {case}"
            );
        }
        let poll = node.poll(JOB_ID);
        node.execute_all(&mut store);
        assert_eq!(node.answer(poll), Some(QUEUED), "case {case}");
    }
}
