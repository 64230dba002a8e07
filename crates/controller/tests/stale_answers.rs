//! Polls, submissions and cancellations while a job starts and ends. An answer must not
//! rest on a read that was sent before its request arrived.
//!
//! A comparison is a transaction without writes: it checks that the state records of cached
//! jobs have not changed.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::{Micros, SECOND, records};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value};
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";
/// The status of an answer and the job state in it; None without an answer.
type Answered = Option<(u16, Option<JobState>)>;

const QUEUED: Answered = Some((200, Some(JobState::Queued)));
const DONE: Answered = Some((200, Some(JobState::Done)));
const CANCELLED: Answered = Some((200, Some(JobState::Cancelled)));

fn node() -> SteppedNode {
    SteppedNode::ready(common::config_with_team(), START)
}

/// A store with the job accepted.
fn store_with_job() -> MemoryStore {
    let mut store = MemoryStore::default();
    let mut other = node();
    let request = other.submit(&job_spec(JOB));
    other.execute_all(&mut store);
    assert_eq!(other.answer(request).map(|a| a.0), Some(201));
    store
}

fn malformed_submission(node: &mut SteppedNode) -> u64 {
    node.request(
        "POST",
        JOBS_PATH.into(),
        submission_with_field(JOB, "leaves", Some(Value::from(0))),
    )
}

type SendRequest = fn(&mut SteppedNode) -> u64;

/// Every kind of request that looks a job up, with the answer for an open job.
const LOOKUPS: [(SendRequest, Answered); 3] = [
    (|n| n.poll(JOB), QUEUED),
    (malformed_submission, QUEUED),
    (|n| n.cancel(JOB), CANCELLED),
];

/// The first read is executed before the job is accepted, and its reply arrives last.
#[test]
fn early_read_does_not_answer_a_later_request() {
    for (send, open) in LOOKUPS {
        let mut node = node();
        let first = node.poll(JOB);
        let (early_id, call) = node.take_call();
        let absent = MemoryStore::default().execute(&call);
        let mut store = store_with_job();
        let second = send(&mut node);
        node.execute_next(&mut store);
        node.reply(early_id, Ok(absent));
        node.execute_all(&mut store);
        assert_eq!(node.answer(second), open);
        // Either state is correct for the first request, which was sent before the job was
        // accepted.
        assert_ne!(node.answer(first), None);
    }
}

/// Like the test above, for reads of the state record.
#[test]
fn early_read_of_the_state_record_does_not_answer_a_later_request() {
    for (send, _) in LOOKUPS {
        let mut node = node();
        let mut store = MemoryStore::default();
        let first = node.poll(JOB);
        node.execute_next(&mut store);
        let (early_id, call) = node.take_call();
        let absent = store.execute(&call);
        store = store_with_job();
        store.mark_done(JOB);
        let second = send(&mut node);
        node.execute_next(&mut store);
        node.execute_next(&mut store);
        node.reply(early_id, Ok(absent));
        assert_eq!(node.answer(second), DONE);
        assert_ne!(node.answer(first), None);
    }
}

/// This includes a request that was sent before the acceptance: both may come from the same
/// user.
#[test]
fn accepted_job_is_not_reported_unknown_after_a_late_read() {
    for (send, open) in LOOKUPS {
        let mut node = node();
        let mut store = MemoryStore::default();
        let first = send(&mut node);
        node.execute_next(&mut store);
        let (early_id, call) = node.take_call();
        let absent = store.execute(&call);
        let second = node.submit(&job_spec(JOB));
        node.execute_all(&mut store);
        assert_eq!(node.answer(second), Some((201, Some(JobState::Queued))));
        node.reply(early_id, Ok(absent));
        node.execute_all(&mut store);
        assert_eq!(node.answer(first), open);
    }
}

/// The store replies to a submission after the job was cancelled at the same node. The
/// transaction has stored the job, or has found an earlier submission of it.
#[test]
fn late_reply_to_a_submission_does_not_reopen_a_cancelled_job() {
    for mut store in [MemoryStore::default(), store_with_job()] {
        let mut node = node();
        let submission = node.submit(&job_spec(JOB));
        let (late_id, call) = node.take_call();
        let reply = store.execute(&call);
        let cancellation = node.cancel(JOB);
        node.execute_all(&mut store);
        assert_eq!(node.answer(cancellation), CANCELLED);
        node.reply(late_id, Ok(reply));
        assert_eq!(node.answer(submission), CANCELLED);
        let poll = node.poll(JOB);
        assert_eq!(node.answer(poll), CANCELLED);
    }
}

/// Of two comparisons the later one finds that the job has ended, and is answered first.
/// The end stays in the cache: the next poll needs no read.
#[test]
fn late_comparison_does_not_evict_an_ended_job() {
    let mut node = node();
    let mut store = store_with_job();
    node.poll(JOB);
    node.execute_all(&mut store);
    let poll = node.poll(JOB);
    let (late_id, _) = node.take_call();
    store.mark_done(JOB);
    let cancellation = node.cancel(JOB);
    node.execute_all(&mut store);
    assert_eq!(node.answer(cancellation), DONE);
    let conflict = StoreResponse::Conflict {
        failed: vec![records::job_state_key(JOB)],
        revision: 2,
    };
    node.reply(late_id, Ok(conflict));
    assert_eq!(node.answer(poll), DONE);
    let poll = node.poll(JOB);
    assert_eq!(node.answer(poll), DONE);
}

#[test]
fn comparison_does_not_answer_requests_that_arrive_after_it_was_sent() {
    let mut node = node();
    let mut store = store_with_job();
    node.poll(JOB);
    node.execute_all(&mut store);
    let first = node.poll(JOB);
    let (early_id, call) = node.take_call();
    let equal = store.execute(&call);
    store.mark_done(JOB);
    for send in [|n: &mut SteppedNode| n.poll(JOB), malformed_submission] {
        let later = send(&mut node);
        assert_eq!((node.answer(later), node.pending_calls.len()), (None, 0));
    }
    let later = node.poll(JOB);
    node.reply(early_id, Ok(equal));
    assert_eq!((node.answer(first), node.answer(later)), (QUEUED, None));
    node.execute_all(&mut store);
    assert_eq!(node.answer(later), DONE);
}

/// The node must not wait for the comparison's timeout.
#[test]
fn comparison_without_a_reply_is_sent_again() {
    let mut node = node();
    let mut store = store_with_job();
    node.poll(JOB);
    node.execute_all(&mut store);
    let poll = node.poll(JOB);
    node.take_call();
    node.now += SECOND / 10;
    node.tick();
    node.execute_all(&mut store);
    assert_eq!(node.answer(poll), QUEUED);
}

/// Whichever of the two transactions commits first decides, and all nodes report its state.
#[test]
fn all_nodes_agree_when_a_cancellation_races_with_the_last_tasks_end() {
    for (done_first, expected) in [(true, DONE), (false, CANCELLED)] {
        let mut store = store_with_job();
        // The first has the job in its cache, the second compares its version, and the third
        // is reading the state record.
        let mut nodes = [node(), node(), node()];
        for node in &mut nodes[..2] {
            node.poll(JOB);
            node.execute_all(&mut store);
        }
        nodes[1].poll(JOB);
        nodes[2].poll(JOB);
        nodes[2].execute_next(&mut store);
        let cancellation = nodes[0].cancel(JOB);
        let (id, call) = nodes[0].take_call();
        let end = done_first.then(|| store.mark_done(JOB));
        let reply = store.execute(&call);
        let end = end.unwrap_or_else(|| store.mark_done(JOB));
        assert_eq!(matches!(end, StoreResponse::Committed { .. }), done_first);
        // The other nodes answer before the transaction's reply reaches the first.
        let requests: [SendRequest; 4] = [
            |n| n.poll(JOB),
            |n| n.submit(&job_spec(JOB)),
            |n| n.cancel(JOB),
            malformed_submission,
        ];
        for send in requests {
            for node in &mut nodes[1..] {
                let request = send(node);
                for _ in 0..3 {
                    node.execute_all(&mut store);
                    node.tick();
                }
                assert_eq!(node.answer(request), expected);
            }
        }
        nodes[0].reply(id, Ok(reply));
        nodes[0].execute_all(&mut store);
        assert_eq!(nodes[0].answer(cancellation), expected);
        let poll = nodes[0].poll(JOB);
        assert_eq!(nodes[0].answer(poll), expected);
    }
}

/// A job's description is deleted no sooner than its state record is written, so that a
/// reader finds at least one of them.
#[test]
fn job_is_not_reported_unknown_while_its_description_is_deleted() {
    for (send, _) in LOOKUPS {
        for (cancel, expected) in [(false, DONE), (true, CANCELLED)] {
            let mut store = store_with_job();
            let (mut other, mut node) = (node(), node());
            let request = send(&mut node);
            if cancel {
                other.cancel(JOB);
                other.execute_all(&mut store);
                // The description is read, and deleted before the comparison.
                node.execute_next(&mut store);
                store.remove_cancelled(JOB);
            } else {
                store.mark_done(JOB);
            }
            node.execute_all(&mut store);
            assert_eq!(node.answer(request), expected);
        }
    }
}

/// One transaction compares two jobs: one has ended, and the other is evicted from the
/// cache before the reply arrives.
#[test]
fn job_evicted_during_a_comparison_is_read_again() {
    let mut config = common::config_with_team();
    (config.store_rps, config.store_write_rps) = (1e6, 1e6);
    let mut other = SteppedNode::ready(config.clone(), START);
    // The cache takes an eighth of the memory: five jobs of 200 bytes.
    config.memory_mb = 0.008;
    let mut node = SteppedNode::ready(config, START);
    let mut store = MemoryStore::default();
    for id in ["req-1", "req-2", "req-3", "req-4", "req-5", "req-6"] {
        other.submit(&job_spec(id));
        other.execute_all(&mut store);
        if id != "req-6" {
            node.poll(id);
            node.execute_all(&mut store);
        }
    }
    // Three comparisons, as many as may be under way at once; the next one is for two jobs.
    for id in ["req-3", "req-4", "req-5"] {
        node.poll(id);
    }
    let (evicted, ended) = (node.poll("req-1"), node.poll("req-2"));
    assert_eq!(node.pending_calls.len(), 3);
    node.execute_next(&mut store);
    let (id, call) = node.pending_calls.pop().expect("a comparison");
    let StoreRequest::Transaction(txn) = &call else {
        panic!("{call:?}");
    };
    assert_eq!(txn.compare.len(), 2);
    node.poll("req-6");
    node.execute_all(&mut store);
    store.mark_done("req-2");
    node.reply(id, Ok(store.execute(&call)));
    node.execute_all(&mut store);
    assert_eq!((node.answer(evicted), node.answer(ended)), (QUEUED, DONE));
}
