//! Users ask, submit again and cancel while a job begins and ends: each answer rests on
//! what was read after its request came in.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::{Micros, SECOND, records};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value};
use dillcleat_wire::user::{JOBS_PATH, JobState};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";
/// What a request was answered.
type Told = Option<(u16, Option<JobState>)>;

const QUEUED: Told = Some((200, Some(JobState::Queued)));
const DONE: Told = Some((200, Some(JobState::Done)));
const CANCELLED: Told = Some((200, Some(JobState::Cancelled)));

fn node() -> SteppedNode {
    SteppedNode::ready(common::config_with_team(), START)
}

/// A store that has accepted the job.
fn accepted() -> MemoryStore {
    let mut store = MemoryStore::default();
    let mut other = node();
    let request = other.submit(&job_spec(JOB));
    other.execute_all(&mut store);
    assert_eq!(other.answer(request).map(|a| a.0), Some(201));
    store
}

fn bad_submission(node: &mut SteppedNode) -> u64 {
    node.request(
        "POST",
        JOBS_PATH.into(),
        submission_with_field(JOB, "leaves", Some(Value::from(0))),
    )
}

type Asking = fn(&mut SteppedNode) -> u64;

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
        let (early, call) = node.take_call();
        let absent = MemoryStore::default().execute(&call);
        let mut store = accepted();
        let second = ask(&mut node);
        node.execute_next(&mut store);
        node.reply(early, Ok(absent));
        node.execute_all(&mut store);
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
        let mut store = MemoryStore::default();
        let first = node.poll(JOB);
        node.execute_next(&mut store);
        let (early, call) = node.take_call();
        let absent = store.execute(&call);
        store = accepted();
        store.mark_done(JOB);
        let second = ask(&mut node);
        node.execute_next(&mut store);
        node.execute_next(&mut store);
        node.reply(early, Ok(absent));
        assert_eq!(node.answer(second), DONE);
        assert_ne!(node.answer(first), None);
    }
}

/// A node that has told of a job does not call it unknown afterwards, even to somebody
/// who asked before: both may be the same user.
#[test]
fn what_a_node_has_told_it_does_not_deny_in_a_late_answer() {
    for (ask, open) in ASKING {
        let mut node = node();
        let mut store = MemoryStore::default();
        let first = ask(&mut node);
        node.execute_next(&mut store);
        let (early, call) = node.take_call();
        let absent = store.execute(&call);
        let second = node.submit(&job_spec(JOB));
        node.execute_all(&mut store);
        assert_eq!(node.answer(second), Some((201, Some(JobState::Queued))));
        node.reply(early, Ok(absent));
        node.execute_all(&mut store);
        assert_eq!(node.answer(first), open);
    }
}

/// A submission that is answered after its job has ended here: it was stored, or an
/// earlier one was.
#[test]
fn a_late_answer_to_a_submission_takes_no_end_back() {
    for mut store in [MemoryStore::default(), accepted()] {
        let mut node = node();
        let submission = node.submit(&job_spec(JOB));
        let (late, call) = node.take_call();
        let reply = store.execute(&call);
        let cancellation = node.cancel(JOB);
        node.execute_all(&mut store);
        assert_eq!(node.answer(cancellation), CANCELLED);
        node.reply(late, Ok(reply));
        assert_eq!(node.answer(submission), CANCELLED);
        let poll = node.poll(JOB);
        assert_eq!(node.answer(poll), CANCELLED);
    }
}

/// Two comparisons of which the later one shows the end, and is answered first. What has
/// ended stays known: the next poll needs no read.
#[test]
fn a_late_comparison_makes_nobody_forget_an_end() {
    let mut node = node();
    let mut store = accepted();
    node.poll(JOB);
    node.execute_all(&mut store);
    let poll = node.poll(JOB);
    let (late, _) = node.take_call();
    store.mark_done(JOB);
    let cancellation = node.cancel(JOB);
    node.execute_all(&mut store);
    assert_eq!(node.answer(cancellation), DONE);
    let conflict = StoreResponse::Conflict {
        failed: vec![records::job_key(JOB)],
        revision: 2,
    };
    node.reply(late, Ok(conflict));
    assert_eq!(node.answer(poll), DONE);
    let poll = node.poll(JOB);
    assert_eq!(node.answer(poll), DONE);
}

/// One comparison serves those who asked before it was sent, and nobody else.
#[test]
fn a_comparison_answers_nobody_who_came_after_it() {
    let mut node = node();
    let mut store = accepted();
    node.poll(JOB);
    node.execute_all(&mut store);
    let first = node.poll(JOB);
    let (early, call) = node.take_call();
    let equal = store.execute(&call);
    store.mark_done(JOB);
    for ask in [|n: &mut SteppedNode| n.poll(JOB), bad_submission] {
        let later = ask(&mut node);
        assert_eq!((node.answer(later), node.pending_calls.len()), (None, 0));
    }
    let later = node.poll(JOB);
    node.reply(early, Ok(equal));
    assert_eq!((node.answer(first), node.answer(later)), (QUEUED, None));
    node.execute_all(&mut store);
    assert_eq!(node.answer(later), DONE);
}

/// Its job was once without an answer for 90 s, while one transaction after the other was
/// lost (seed 3909 of meetings).
#[test]
fn a_comparison_without_an_answer_is_made_a_second_time() {
    let mut node = node();
    let mut store = accepted();
    node.poll(JOB);
    node.execute_all(&mut store);
    let poll = node.poll(JOB);
    node.take_call();
    node.now += SECOND / 10;
    node.tick();
    node.execute_all(&mut store);
    assert_eq!(node.answer(poll), QUEUED);
}

/// A leader stores the end of a job's last task while its user cancels: whichever comes
/// first stands, and every node tells that one, whatever it knew before.
#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    for (done_first, told) in [(true, DONE), (false, CANCELLED)] {
        let mut store = accepted();
        // One knows the job, one is about to read of it, one has read and compares.
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
        // The others are asked before the one that cancels hears of its transaction.
        let asking: [Asking; 4] = [
            |n| n.poll(JOB),
            |n| n.submit(&job_spec(JOB)),
            |n| n.cancel(JOB),
            bad_submission,
        ];
        for ask in asking {
            for node in &mut nodes[1..] {
                let request = ask(node);
                for _ in 0..3 {
                    node.execute_all(&mut store);
                    node.tick();
                }
                assert_eq!(node.answer(request), told);
            }
        }
        nodes[0].reply(id, Ok(reply));
        nodes[0].execute_all(&mut store);
        assert_eq!(nodes[0].answer(cancellation), told);
        let poll = nodes[0].poll(JOB);
        assert_eq!(nodes[0].answer(poll), told);
    }
}

/// The description of a job goes when it is done, or cancelled and its tasks are gone;
/// its mark was there before. Whoever reads in between finds one of the two.
#[test]
fn a_job_whose_description_is_being_dropped_is_never_unknown() {
    for (ask, _) in ASKING {
        for (cancel, told) in [(false, DONE), (true, CANCELLED)] {
            let mut store = accepted();
            let (mut other, mut node) = (node(), node());
            let request = ask(&mut node);
            if cancel {
                other.cancel(JOB);
                other.execute_all(&mut store);
                // It is read while it is there, and dropped before the comparison.
                node.execute_next(&mut store);
                store.remove_cancelled(JOB);
            } else {
                store.mark_done(JOB);
            }
            node.execute_all(&mut store);
            assert_eq!(node.answer(request), told);
        }
    }
}

/// Of two jobs that are compared together one has ended, and the other was forgotten for
/// want of room in the meantime: it is read again.
#[test]
fn a_job_that_was_forgotten_while_it_was_compared_is_read_again() {
    let mut config = common::config_with_team();
    (config.state_rps, config.state_write_rps) = (1e6, 1e6);
    let mut other = SteppedNode::ready(config.clone(), START);
    // Room for five jobs of 200 bytes in an eighth of it.
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
    // As many comparisons as may be under way at once: the next takes both others.
    for id in ["req-3", "req-4", "req-5"] {
        node.poll(id);
    }
    let (forgotten, ended) = (node.poll("req-1"), node.poll("req-2"));
    assert_eq!(node.pending_calls.len(), 3);
    node.execute_next(&mut store);
    let (both, call) = node.pending_calls.pop().expect("a comparison");
    let StoreRequest::Transaction(txn) = &call else {
        panic!("{call:?}");
    };
    assert_eq!(txn.compare.len(), 2);
    node.poll("req-6");
    node.execute_all(&mut store);
    store.mark_done("req-2");
    node.reply(both, Ok(store.execute(&call)));
    node.execute_all(&mut store);
    assert_eq!((node.answer(forgotten), node.answer(ended)), (QUEUED, DONE));
}
