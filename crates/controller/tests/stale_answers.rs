//! Polls, submissions and cancellations while a job starts and ends. An answer must not
//! be based on a read that was sent before its request arrived.
//!
//! A comparison is a transaction without writes: it checks that the state records of cached
//! jobs have not changed.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::{Micros, SECOND, records};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value};
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB_ID: &str = "req-1";
/// The status of an answer and the job state in it; None without an answer.
type Answered = Option<(u16, Option<JobState>)>;

const QUEUED: Answered = Some((200, Some(JobState::Queued)));
const DONE: Answered = Some((200, Some(JobState::Done)));
const CANCELLED: Answered = Some((200, Some(JobState::Cancelled)));

fn node() -> SteppedNode {
    SteppedNode::with_machine_types(common::config_with_team(), START)
}

/// A store with the job accepted.
fn store_with_job() -> MemoryStore {
    let mut store = MemoryStore::default();
    let mut other = node();
    let request = other.submit(&job_spec(JOB_ID));
    other.execute_all(&mut store);
    assert_eq!(other.answer(request).map(|a| a.0), Some(201));
    store
}

fn malformed_submission(node: &mut SteppedNode) -> u64 {
    node.request(
        "POST",
        JOBS_PATH.into(),
        submission_with_field(JOB_ID, "leaves", Some(Value::from(0))),
    )
}

type SendRequest = fn(&mut SteppedNode) -> u64;

/// The kinds of request that look a job up without creating it, with the answer for an open job.
const LOOKUPS: [(SendRequest, Answered); 3] = [
    (|n| n.poll(JOB_ID), QUEUED),
    (malformed_submission, QUEUED),
    (|n| n.cancel(JOB_ID), CANCELLED),
];

/// A read that was executed before the job was accepted finds no job, and its reply arrives
/// late. It must not answer a request that arrived after the acceptance.
#[test]
fn early_read_does_not_answer_a_later_request() {
    for (send, open) in LOOKUPS {
        let mut node = node();
        let first = node.poll(JOB_ID);
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

/// A read of the state record that was executed before the job was accepted finds no record,
/// and its reply arrives after the job is done. It must not answer a request that arrived after
/// the job's end.
#[test]
fn early_read_of_the_state_record_does_not_answer_a_later_request() {
    for (send, _) in LOOKUPS {
        let mut node = node();
        let mut store = MemoryStore::default();
        let first = node.poll(JOB_ID);
        node.execute_next(&mut store);
        let (early_id, call) = node.take_call();
        let absent = store.execute(&call);
        store = store_with_job();
        store.record_done(JOB_ID);
        let second = send(&mut node);
        node.execute_next(&mut store);
        node.execute_next(&mut store);
        node.reply(early_id, Ok(absent));
        assert_eq!(node.answer(second), DONE);
        assert_ne!(node.answer(first), None);
    }
}

/// A request's read is executed before the job is accepted, and its reply arrives after the
/// same node has confirmed the acceptance. The request must not be answered with 404, because
/// it may come from the user who submitted the job.
#[test]
fn accepted_job_is_not_reported_unknown_after_a_late_read() {
    for (send, open) in LOOKUPS {
        let mut node = node();
        let mut store = MemoryStore::default();
        let first = send(&mut node);
        node.execute_next(&mut store);
        let (early_id, call) = node.take_call();
        let absent = store.execute(&call);
        let second = node.submit(&job_spec(JOB_ID));
        node.execute_all(&mut store);
        assert_eq!(node.answer(second), Some((201, Some(JobState::Queued))));
        node.reply(early_id, Ok(absent));
        node.execute_all(&mut store);
        assert_eq!(node.answer(first), open);
    }
}

/// The store executes a submission, and the job is cancelled at the same node before the reply
/// arrives. Whether the transaction stored the job or found it already stored, the node must
/// report it as cancelled.
#[test]
fn late_reply_to_a_submission_does_not_reopen_a_cancelled_job() {
    for mut store in [MemoryStore::default(), store_with_job()] {
        let mut node = node();
        let submission = node.submit(&job_spec(JOB_ID));
        let (late_id, call) = node.take_call();
        let reply = store.execute(&call);
        let cancellation = node.cancel(JOB_ID);
        node.execute_all(&mut store);
        assert_eq!(node.answer(cancellation), CANCELLED);
        node.reply(late_id, Ok(reply));
        assert_eq!(node.answer(submission), CANCELLED);
        let poll = node.poll(JOB_ID);
        assert_eq!(node.answer(poll), CANCELLED);
    }
}

/// A comparison that was sent before the job ended conflicts after a cancellation at the same
/// node has found the end. The conflict must not evict the job from the cache, so that the next
/// poll needs no read.
#[test]
fn late_comparison_does_not_evict_an_ended_job() {
    let mut node = node();
    let mut store = store_with_job();
    node.poll(JOB_ID);
    node.execute_all(&mut store);
    let poll = node.poll(JOB_ID);
    let (late_id, _) = node.take_call();
    store.record_done(JOB_ID);
    let cancellation = node.cancel(JOB_ID);
    node.execute_all(&mut store);
    assert_eq!(node.answer(cancellation), DONE);
    let conflict = StoreResponse::Conflict {
        failed: vec![records::job_state_key(JOB_ID)],
        revision: 2,
    };
    node.reply(late_id, Ok(conflict));
    assert_eq!(node.answer(poll), DONE);
    let poll = node.poll(JOB_ID);
    assert_eq!(node.answer(poll), DONE);
}

#[test]
fn comparison_does_not_answer_requests_that_arrive_after_it_was_sent() {
    let mut node = node();
    let mut store = store_with_job();
    node.poll(JOB_ID);
    node.execute_all(&mut store);
    let first = node.poll(JOB_ID);
    let (early_id, call) = node.take_call();
    let equal = store.execute(&call);
    store.record_done(JOB_ID);
    for send in [|n: &mut SteppedNode| n.poll(JOB_ID), malformed_submission] {
        let later = send(&mut node);
        assert_eq!((node.answer(later), node.pending_calls.len()), (None, 0));
    }
    let later = node.poll(JOB_ID);
    node.reply(early_id, Ok(equal));
    assert_eq!((node.answer(first), node.answer(later)), (QUEUED, None));
    node.execute_all(&mut store);
    assert_eq!(node.answer(later), DONE);
}

/// A poll whose comparison gets no reply must be answered long before the comparison times out.
#[test]
fn comparison_without_a_reply_is_sent_again() {
    let mut node = node();
    let mut store = store_with_job();
    node.poll(JOB_ID);
    node.execute_all(&mut store);
    let poll = node.poll(JOB_ID);
    node.take_call();
    node.now += SECOND / 10;
    node.tick();
    node.execute_all(&mut store);
    assert_eq!(node.answer(poll), QUEUED);
}

/// The transaction that commits first determines the state that all nodes report: that of the
/// cancellation or that of the job's end.
#[test]
fn all_nodes_agree_when_a_cancellation_races_with_the_last_tasks_end() {
    for (done_first, expected) in [(true, DONE), (false, CANCELLED)] {
        let mut store = store_with_job();
        // The first node has the job in its cache, the second compares its version, and the third
        // is reading the state record.
        let mut nodes = [node(), node(), node()];
        for node in &mut nodes[..2] {
            node.poll(JOB_ID);
            node.execute_all(&mut store);
        }
        nodes[1].poll(JOB_ID);
        nodes[2].poll(JOB_ID);
        nodes[2].execute_next(&mut store);
        let cancellation = nodes[0].cancel(JOB_ID);
        let (id, call) = nodes[0].take_call();
        let end = done_first.then(|| store.record_done(JOB_ID));
        let reply = store.execute(&call);
        let end = end.unwrap_or_else(|| store.record_done(JOB_ID));
        assert_eq!(matches!(end, StoreResponse::Committed { .. }), done_first);
        // The other nodes answer before the transaction's reply reaches the first.
        let requests: [SendRequest; 4] = [
            |n| n.poll(JOB_ID),
            |n| n.submit(&job_spec(JOB_ID)),
            |n| n.cancel(JOB_ID),
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
        let poll = nodes[0].poll(JOB_ID);
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
                other.cancel(JOB_ID);
                other.execute_all(&mut store);
                // The node reads the description, which is deleted before the comparison.
                node.execute_next(&mut store);
                store.delete_cancelled_records(JOB_ID);
            } else {
                store.record_done(JOB_ID);
            }
            node.execute_all(&mut store);
            assert_eq!(node.answer(request), expected);
        }
    }
}

/// One transaction compares two jobs. Before the reply arrives, one has ended and the other is
/// evicted from the cache. The evicted one must be read again.
#[test]
fn job_evicted_during_a_comparison_is_read_again() {
    let mut config = common::config_with_team();
    (config.store_rps, config.store_write_rps) = (1e6, 1e6);
    let mut other = SteppedNode::with_machine_types(config.clone(), START);
    // The cache takes an eighth of the memory: five jobs of 200 bytes.
    config.memory_mb = 0.008;
    let mut node = SteppedNode::with_machine_types(config, START);
    let mut store = MemoryStore::default();
    for id in ["req-1", "req-2", "req-3", "req-4", "req-5", "req-6"] {
        other.submit(&job_spec(id));
        other.execute_all(&mut store);
        if id != "req-6" {
            node.poll(id);
            node.execute_all(&mut store);
        }
    }
    // At most three comparisons are under way at once, so that the next two jobs share one.
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
    store.record_done("req-2");
    node.reply(id, Ok(store.execute(&call)));
    node.execute_all(&mut store);
    assert_eq!((node.answer(evicted), node.answer(ended)), (QUEUED, DONE));
}
