//! A submission whose store call gets no reply for some time is sent to the store a second time.

mod common;

use dillcleat_controller::SECOND;
use dillcleat_controller::records;
use dillcleat_controller::{
    CallError, CallId, Input, MILLISECOND, Micros, Node, Output, RequestId, Timestamp,
};
use dillcleat_wire::encode;
use dillcleat_wire::store::{RangePage, StoreRequest, StoreResponse, Transaction};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec};

const START: Micros = 1000 * SECOND;
/// The status codes if no request is answered.
const NO_ANSWER: [u16; 0] = [];

/// Passes an input to the node. Returns the transactions that it sends and the status codes of
/// its answers to users.
fn handle(node: &mut Node, at: Micros, input: Input) -> (Vec<(CallId, Transaction)>, Vec<u16>) {
    let now = Timestamp {
        monotonic: at,
        wall: at,
    };
    let (mut sent, mut answered) = (Vec::new(), Vec::new());
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        for output in node.handle(now, input) {
            match output {
                Output::Answer { answer, .. } => answered.push(answer.status),
                Output::Store { id, call, .. } => match call {
                    StoreRequest::Transaction(txn) => sent.push((id, txn)),
                    StoreRequest::List { .. } => inputs.push(Input::Store {
                        id,
                        reply: Ok(StoreResponse::RangePage(RangePage {
                            rows: vec![common::machine_types_row(8.0)],
                            more: false,
                            revision: 1,
                        })),
                    }),
                    _ => {}
                },
                _ => {}
            }
        }
    }
    (sent, answered)
}

/// A node with a submission under way, and the call that stores it.
fn node_with_submission() -> (Node, CallId) {
    let mut node = Node::new(common::config_with_team());
    handle(&mut node, START, Input::Tick);
    let request = Input::Request {
        id: RequestId(1),
        method: "POST".into(),
        target: JOBS_PATH.into(),
        body: encode(&JobSpec::plain("req-1", JobKind::Batch, 2, 1.0)),
    };
    let (sent, answered) = handle(&mut node, START, request);
    assert_eq!((sent.len(), answered.len()), (1, 0));
    (node, sent[0].0)
}

fn reply(
    node: &mut Node,
    at: Micros,
    id: CallId,
    reply: Result<StoreResponse, CallError>,
) -> Vec<u16> {
    handle(node, at, Input::Store { id, reply }).1
}

#[test]
fn slow_submission_is_retried_once_and_answered_once() {
    let (mut node, first) = node_with_submission();
    let before_retry = START + 50 * MILLISECOND;
    assert!(handle(&mut node, before_retry, Input::Tick).0.is_empty());
    let (sent, _) = handle(&mut node, before_retry + 50 * MILLISECOND, Input::Tick);
    let [(second, txn)] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert!(txn.then.len() == 1 && *second != first);
    // The submission is not sent a third time.
    let later = before_retry + 100 * MILLISECOND;
    assert!(handle(&mut node, later, Input::Tick).0.is_empty());
    let done = Ok(StoreResponse::Committed { revision: 2 });
    assert_eq!(reply(&mut node, later, *second, done), [201]);
    let conflict = Ok(StoreResponse::Conflict {
        failed: vec![records::open_job_key("req-1")],
        revision: 2,
    });
    assert_eq!(reply(&mut node, later, first, conflict), NO_ANSWER);
}

/// The first attempt was executed and its reply is late. A description without a state record
/// shows that the job is open, so that no read is needed.
#[test]
fn retry_that_conflicts_with_the_first_attempt_succeeds() {
    let (mut node, first) = node_with_submission();
    let at = START + 100 * MILLISECOND;
    let (sent, _) = handle(&mut node, at, Input::Tick);
    let conflict = |keys: &[String]| {
        Ok(StoreResponse::Conflict {
            failed: keys.to_vec(),
            revision: 2,
        })
    };
    let open = records::open_job_key("req-1");
    assert_eq!(
        reply(
            &mut node,
            at,
            sent[0].0,
            conflict(std::slice::from_ref(&open))
        ),
        [200]
    );
    assert_eq!(
        reply(
            &mut node,
            at,
            first,
            Ok(StoreResponse::Committed { revision: 2 })
        ),
        NO_ANSWER
    );
    // With a state record the job may have ended, so that the record has to be read.
    let (mut node, first) = node_with_submission();
    let ended = [records::job_state_key("req-1"), open];
    assert_eq!(reply(&mut node, at, first, conflict(&ended)), NO_ANSWER);
}

/// If the retry fails, the node waits for the reply to the first attempt.
#[test]
fn failed_retry_does_not_answer_the_submission() {
    let (mut node, first) = node_with_submission();
    let at = START + 100 * MILLISECOND;
    let (sent, _) = handle(&mut node, at, Input::Tick);
    assert_eq!(
        reply(&mut node, at, sent[0].0, Ok(StoreResponse::RateLimited)),
        NO_ANSWER
    );
    let done = Ok(StoreResponse::Committed { revision: 2 });
    assert_eq!(reply(&mut node, at, first, done), [201]);
}
