//! A flood of requests: refused at once, and no more calls than the budget.

mod common;

use dillcleat_core::{Input, Now, Output, RequestId, SECOND};

/// The leader shares the state service with the users' requests: without a
/// budget a flood of them could take the lease's renewals away from it.
#[test]
fn a_flood_is_refused_at_once_within_the_budget() {
    let mut node = common::node();
    let now = Now {
        steady: 1000 * SECOND,
        wall: 1000 * SECOND,
    };
    let (mut calls, mut refused) = (0, 0);
    for i in 0..1000 {
        let input = Input::Request {
            id: RequestId(i),
            method: "GET".into(),
            target: format!("/v2/runs/req-{i}"),
            body: Vec::new(),
        };
        for output in node.handle(now, input) {
            match output {
                Output::State { .. } => calls += 1,
                Output::Answer { answer, .. } => {
                    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
                    refused += 1;
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    // Seven tenths of 200 calls a second, a third of it for this node.
    assert_eq!((calls, refused), (46, 954));
}
