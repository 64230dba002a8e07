//! A flood of requests: refused at once, and no more calls than the budget.
//! Polls are turned away before cancellations, and the budget goes where the
//! users are.

mod common;

use common::stepped_node::{SteppedNode, job_spec};
use dillcleat_controller::{
    Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND, Timestamp,
};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::StoreResponse;

/// How many of the requests lead to a call of the state service, and how many
/// are refused.
fn flood(node: &mut Node, at: Micros, method: &str, path: &str) -> (u32, u32) {
    let now = Timestamp {
        monotonic: at,
        wall: at,
    };
    let (mut calls, mut refused) = (Vec::new(), 0);
    for i in 0..1000 {
        let input = Input::Request {
            id: RequestId(i),
            method: method.into(),
            target: format!("/v2/runs/req-{i}{path}"),
            body: Vec::new(),
        };
        for output in node.handle(now, input) {
            match output {
                Output::Store { id, .. } => calls.push(id),
                Output::Answer { answer, .. } => {
                    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
                    refused += 1;
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    let count = calls.len() as u32;
    for id in calls {
        let reply = Ok(StoreResponse::Unavailable);
        node.handle(now, Input::Store { id, reply });
    }
    (count, refused)
}

/// The leader shares the state service with the users' requests: without a
/// budget a flood of them could take the lease's renewals away from it. And
/// polls once left nothing for submissions and cancellations.
#[test]
fn a_flood_is_refused_at_once_within_the_budget() {
    let mut node = common::single_zone_node();
    let at = 1000 * SECOND;
    // Seven tenths of 200 calls a second, a third of it for this node, of which
    // polls leave half.
    assert_eq!(flood(&mut node, at, "GET", ""), (23, 977));
    assert_eq!(flood(&mut node, at, "POST", "/abort"), (23, 977));
}

/// The load balancer may send every user to one node. With a third of the
/// budget it turned most away while its siblings' parts lay idle.
#[test]
fn the_budget_goes_where_the_users_are() {
    let mut node = common::single_zone_node();
    let mut at = 1000 * SECOND;
    let beat = |node: &mut Node, at, from: &str, asked| {
        let now = Timestamp {
            monotonic: at,
            wall: at,
        };
        let message = Message::Heartbeat {
            term: 0,
            is_leader: false,
            store_reachable: true,
            workers_reachable: false,
            requests_per_s: asked,
        };
        let from = from.to_string();
        node.handle(now, Input::Peer { from, message });
        node.handle(now, Input::Tick);
    };
    for _ in 0..10 {
        flood(&mut node, at, "POST", "/abort");
        at += 500 * MILLISECOND;
        beat(&mut node, at, "n1", 0);
        beat(&mut node, at, "n2", 0);
    }
    at += SECOND;
    let (calls, _) = flood(&mut node, at, "POST", "/abort");
    assert!((135..=140).contains(&calls), "{calls}");
    // Siblings that are not heard may be taking theirs.
    at += 10 * SECOND;
    node.handle(
        Timestamp {
            monotonic: at,
            wall: at,
        },
        Input::Tick,
    );
    at += SECOND;
    let (calls, _) = flood(&mut node, at, "POST", "/abort");
    assert!((45..=47).contains(&calls), "{calls}");
}

/// A submission that is turned away for want of changes takes no call from the polls.
#[test]
fn a_flood_of_submissions_takes_only_what_it_uses() {
    let mut node = SteppedNode::ready(common::config_with_team(), 1000 * SECOND);
    for i in 0..1000 {
        node.submit(&job_spec(&format!("req-{i}")));
    }
    // A third of seven tenths of 80 changes a second.
    assert_eq!(node.pending_calls.len(), 18);
    node.pending_calls.clear();
    for i in 0..1000 {
        node.poll(&format!("req-{i}"));
    }
    // Of 46 calls polls leave half, and 18 are taken.
    assert_eq!(node.pending_calls.len(), 5);
}
