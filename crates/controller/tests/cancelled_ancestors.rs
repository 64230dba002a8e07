//! Answers about jobs that need a cancelled job, directly or through others, while no leader
//! acts. Later than the time limit of cancellations, no node may report such a job as open.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec};
use dillcleat_controller::records::{self, RecordedState};
use dillcleat_controller::{CallError, MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::{JobSpec, JobState};

const START: Micros = 1000 * SECOND;
/// The time limit of cancellations in the settings of the tests.
const CANCEL_TIME_LIMIT: Micros = 44 * SECOND;
type Answered = Option<(u16, Option<JobState>)>;

const QUEUED: Answered = Some((200, Some(JobState::Queued)));
const CANCELLED: Answered = Some((200, Some(JobState::Cancelled)));
const UNAVAILABLE: Answered = Some((503, None));

fn node(now: Micros) -> SteppedNode {
    SteppedNode::with_machine_types(common::config_with_team(), now)
}

fn dependent(id: &str, depends_on: &[&str]) -> JobSpec {
    JobSpec {
        depends_on: depends_on.iter().map(|name| name.to_string()).collect(),
        ..job_spec(id)
    }
}

fn accept(node: &mut SteppedNode, store: &mut MemoryStore, spec: &JobSpec) {
    let request = node.submit(spec);
    node.execute_all(store);
    assert_eq!(node.answer(request).map(|a| a.0), Some(201));
}

fn poll(node: &mut SteppedNode, store: &mut MemoryStore, id: &str) -> Answered {
    let request = node.poll(id);
    node.execute_all(store);
    node.answer(request)
}

/// A store with the accepted jobs `req-1` to `req-5`, and the node that accepted them. `req-4`
/// needs `req-1` through `req-2`; `req-5` needs `req-3`, which is open, and `req-4`.
fn pipeline() -> (SteppedNode, MemoryStore) {
    let (mut node, mut store) = (node(START), MemoryStore::default());
    for spec in [
        job_spec("req-1"),
        dependent("req-2", &["req-1"]),
        job_spec("req-3"),
        dependent("req-4", &["req-2"]),
        dependent("req-5", &["req-3", "req-4"]),
    ] {
        accept(&mut node, &mut store, &spec);
    }
    (node, store)
}

/// [`pipeline`], after another node has confirmed the cancellation of `req-1` and the time
/// limit of cancellations has passed without a leader.
fn pipeline_with_cancelled_job() -> (SteppedNode, MemoryStore) {
    let (mut first, mut store) = pipeline();
    let mut second = node(START);
    let request = second.cancel("req-1");
    second.execute_all(&mut store);
    assert_eq!(second.answer(request), CANCELLED);
    first.now = START + CANCEL_TIME_LIMIT + SECOND;
    (first, store)
}

/// Guards against a poll or a repeated submission that reports a job as open long after its
/// user was told that a job before it is cancelled (rule `orphaned`).
#[test]
fn job_that_needs_a_cancelled_one_is_not_reported_as_open() {
    type SendRequest = fn(&mut SteppedNode, &JobSpec) -> u64;
    let requests: [SendRequest; 2] = [|n, spec| n.poll(&spec.id), |n, spec| n.submit(spec)];
    let descendants = [
        dependent("req-2", &["req-1"]),
        dependent("req-4", &["req-2"]),
        dependent("req-5", &["req-3", "req-4"]),
    ];
    for spec in &descendants {
        for send in requests {
            // At the node that accepted the jobs, and at one that has just started.
            for restarted in [false, true] {
                let (mut node, mut store) = pipeline_with_cancelled_job();
                if restarted {
                    node = self::node(node.now);
                }
                let request = send(&mut node, spec);
                node.execute_all(&mut store);
                assert_eq!(node.answer(request), CANCELLED, "{} {restarted}", spec.id);
                // The cancellation is stored before it is reported, and the leader finds it.
                let recorded = store.recorded_state(&spec.id);
                assert_eq!(recorded, Some(RecordedState::Cancelled));
                let key = records::cancelled_job_key(&spec.id);
                assert!(store.rows.contains_key(&key));
            }
        }
    }
    let (mut node, mut store) = pipeline_with_cancelled_job();
    assert_eq!(poll(&mut node, &mut store, "req-3"), QUEUED);
}

/// Guards against a job that is cancelled because of a job that was done before.
#[test]
fn job_whose_dependencies_are_done_or_open_is_reported_as_open() {
    let (mut node, mut store) = pipeline();
    store.record_done("req-1");
    for after in [1, 50, 55, 60, 200] {
        node.now = START + after * SECOND;
        for id in ["req-2", "req-4", "req-5"] {
            assert_eq!(poll(&mut node, &mut store, id), QUEUED, "{id} {after} s");
        }
    }
}

/// Guards against an accepted job that is never answered because a job in its description does
/// not exist.
#[test]
fn missing_dependency_does_not_block_answers() {
    let (_, mut store) = pipeline();
    store.rows.remove(&records::open_job_key("req-1"));
    let mut restarted = node(START);
    assert_eq!(poll(&mut restarted, &mut store, "req-2"), QUEUED);
}

/// Guards against comparisons of all ancestors for every poll, which would exceed the budget
/// of requests to the store.
#[test]
fn ancestors_are_compared_only_without_a_recent_proof() {
    let (mut node, mut store) = pipeline();
    let mut calls_of_poll = |node: &mut SteppedNode, after: Micros| {
        node.now = START + after;
        let request = node.poll("req-5");
        let mut calls = 0;
        while !node.pending_calls.is_empty() {
            node.execute_next(&mut store);
            calls += 1;
        }
        assert_eq!(node.answer(request), QUEUED);
        calls
    };
    assert_eq!(calls_of_poll(&mut node, SECOND), 1);
    assert_eq!(calls_of_poll(&mut node, CANCEL_TIME_LIMIT / 2 - SECOND), 1);
    // One more transaction compares the ancestors together. It serves the polls after it.
    assert_eq!(calls_of_poll(&mut node, CANCEL_TIME_LIMIT / 2 + SECOND), 2);
    assert_eq!(
        calls_of_poll(&mut node, CANCEL_TIME_LIMIT / 2 + 6 * SECOND),
        1
    );
}

/// Guards against an answer without proof when the store fails during the check, and against a
/// job that stays open because the response to its cancellation was lost.
#[test]
fn failed_check_is_answered_with_503_and_repeated() {
    let failures: [Result<StoreResponse, CallError>; 2] =
        [Err(CallError::NoAnswer), Ok(StoreResponse::Unavailable)];
    let (_, mut store) = pipeline_with_cancelled_job();
    let mut node = node(START + CANCEL_TIME_LIMIT + SECOND);
    // Fails each call of the check in turn: of a node that knows no job, of one that knows more
    // and more of them.
    let mut failed = 0;
    loop {
        node.now += SECOND;
        let request = node.poll("req-4");
        if node.answer(request).is_some() {
            break;
        }
        for _ in 0..failed {
            if node.answer(request).is_none() && !node.pending_calls.is_empty() {
                node.execute_next(&mut store);
            }
        }
        if node.answer(request).is_none() && !node.pending_calls.is_empty() {
            let (call, _) = node.take_call();
            node.reply(call, failures[failed % 2].clone());
            node.execute_all(&mut store);
            assert_eq!(node.answer(request), UNAVAILABLE, "{failed}");
        }
        failed += 1;
        assert!(failed < 50, "the job is never reported as cancelled");
        if node.answer(request) == CANCELLED {
            break;
        }
    }
    assert_eq!(poll(&mut node, &mut store, "req-4"), CANCELLED);

    let (mut node, mut store) = pipeline_with_cancelled_job();
    let request = node.poll("req-4");
    while !writes_cancellation(&node) {
        node.execute_next(&mut store);
    }
    node.execute_and_lose_reply(&mut store);
    assert_eq!(node.answer(request), UNAVAILABLE);
    node.now += SECOND;
    assert_eq!(poll(&mut node, &mut store, "req-4"), CANCELLED);
}

/// Whether the next call of the node writes a cancellation.
fn writes_cancellation(node: &SteppedNode) -> bool {
    let (_, call) = node.pending_calls.first().expect("a call is pending");
    matches!(call, StoreRequest::Transaction(txn) if !txn.then.is_empty())
}

/// Guards against a job behind a cancelled one that stays open, since the writes of others keep its
/// cancellation from being stored each time that its user asks.
#[test]
fn rate_limited_cancellation_of_a_descendant_is_sent_again_while_its_user_waits() {
    const REFUSALS: usize = 5;
    let (mut node, mut store) = pipeline_with_cancelled_job();
    let asked_at = node.now;
    let request = node.poll("req-4");
    let mut refused = 0;
    while node.answer(request).is_none() {
        while !node.pending_calls.is_empty() {
            if refused < REFUSALS && writes_cancellation(&node) {
                let (call, _) = node.take_call();
                node.reply(call, Ok(StoreResponse::RateLimited));
                refused += 1;
            } else {
                node.execute_next(&mut store);
            }
        }
        node.now += 50 * MILLISECOND;
        node.tick();
    }
    assert_eq!(node.answer(request), CANCELLED);
    assert_eq!(refused, REFUSALS);
    // It is not sent again without a pause.
    let time = node.now - asked_at;
    assert!(time > REFUSALS as Micros * 100 * MILLISECOND, "{time} us");
    assert!(time < 5 * SECOND, "{time} us");
}

/// Guards against a job that is reported as open because the leader has stored its
/// cancellation first, and against an answer for only one of several requests.
#[test]
fn leader_and_node_may_cancel_the_job_at_the_same_time() {
    let (mut node, mut store) = pipeline_with_cancelled_job();
    let requests = [node.poll("req-4"), node.poll("req-4"), node.poll("req-4")];
    while !writes_cancellation(&node) {
        node.execute_next(&mut store);
    }
    let (_, write) = node.pending_calls.first().expect("a call is pending");
    store.execute(&write.clone());
    store.delete_cancelled_records("req-4");
    node.execute_all(&mut store);
    for request in requests {
        assert_eq!(node.answer(request), CANCELLED);
    }
}

/// Guards against a job with more ancestors than a node may read at once that is never answered.
#[test]
fn job_with_many_unknown_ancestors_is_answered_in_time() {
    const ANCESTORS: usize = 300;
    let (mut first, mut store) = (node(START), MemoryStore::default());
    let ids: Vec<String> = (0..ANCESTORS).map(|n| format!("req-{}", 100 + n)).collect();
    for id in &ids {
        first.now += SECOND;
        first.tick();
        accept(&mut first, &mut store, &job_spec(id));
    }
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    accept(&mut first, &mut store, &dependent("req-1", &names));
    let mut restarted = node(first.now);
    // Users poll every 5 s, and a job must not be unanswered for 75 s.
    let answered = (0..15).any(|_| {
        let request = restarted.poll("req-1");
        for _ in 0..250 {
            restarted.execute_all(&mut store);
            restarted.now += 20 * MILLISECOND;
            restarted.tick();
        }
        restarted.execute_all(&mut store);
        restarted.answer(request) == QUEUED
    });
    assert!(answered);
}
