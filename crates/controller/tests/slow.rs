//! A slow answer of the state service does not hold a submission up.

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

/// Transactions that a node sends at this time, and the statuses it answers.
fn step(node: &mut Node, at: Micros, input: Input) -> (Vec<(CallId, Transaction)>, Vec<u16>) {
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

fn submitted() -> (Node, CallId) {
    let mut node = Node::new(common::config_with_team());
    step(&mut node, START, Input::Tick);
    let request = Input::Request {
        id: RequestId(1),
        method: "POST".into(),
        target: JOBS_PATH.into(),
        body: encode(&JobSpec::plain("req-1", JobKind::Batch, 2, 1.0)),
    };
    let (sent, answered) = step(&mut node, START, request);
    assert_eq!((sent.len(), answered.len()), (1, 0));
    (node, sent[0].0)
}

fn reply(
    node: &mut Node,
    at: Micros,
    id: CallId,
    reply: Result<StoreResponse, CallError>,
) -> Vec<u16> {
    step(node, at, Input::Store { id, reply }).1
}

#[test]
fn a_slow_submission_is_sent_a_second_time_and_answered_once() {
    let (mut node, first) = submitted();
    let soon = START + 50 * MILLISECOND;
    assert!(step(&mut node, soon, Input::Tick).0.is_empty());
    let (sent, _) = step(&mut node, soon + 50 * MILLISECOND, Input::Tick);
    let [(second, txn)] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert!(txn.then.len() == 1 && *second != first);
    // Once is enough.
    let later = soon + 100 * MILLISECOND;
    assert!(step(&mut node, later, Input::Tick).0.is_empty());
    let done = Ok(StoreResponse::Committed { revision: 2 });
    assert_eq!(reply(&mut node, later, *second, done), [201]);
    let conflict = Ok(StoreResponse::Conflict {
        failed: vec![records::open_key("req-1")],
        revision: 2,
    });
    assert_eq!(reply(&mut node, later, first, conflict), [0; 0]);
}

/// The first try was carried out and its answer is slow: that there is a description and
/// no mark says that the job is open, without another look.
#[test]
fn the_second_try_may_find_the_first_carried_out() {
    let (mut node, first) = submitted();
    let at = START + 100 * MILLISECOND;
    let (sent, _) = step(&mut node, at, Input::Tick);
    let conflict = |keys: &[String]| {
        Ok(StoreResponse::Conflict {
            failed: keys.to_vec(),
            revision: 2,
        })
    };
    let open = records::open_key("req-1");
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
        [0; 0]
    );
    // With a mark it may have ended: that is read.
    let (mut node, first) = submitted();
    let ended = [records::job_key("req-1"), open];
    assert_eq!(reply(&mut node, at, first, conflict(&ended)), [0; 0]);
}

/// That one of two has failed is no answer while the other may have one.
#[test]
fn a_second_try_that_fails_says_nothing() {
    let (mut node, first) = submitted();
    let at = START + 100 * MILLISECOND;
    let (sent, _) = step(&mut node, at, Input::Tick);
    assert_eq!(
        reply(&mut node, at, sent[0].0, Ok(StoreResponse::RateLimited)),
        [0; 0]
    );
    let done = Ok(StoreResponse::Committed { revision: 2 });
    assert_eq!(reply(&mut node, at, first, done), [201]);
}
