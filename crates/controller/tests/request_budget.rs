//! Users' requests have a budget of store calls. Requests over it are rejected at once, polls
//! before submissions and cancellations. Nodes with more requests get a larger share.

mod common;

use common::stepped_node::{SteppedNode, job_spec};
use dillcleat_controller::{
    Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND, Timestamp,
};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::StoreResponse;

const REQUESTS: u64 = 1000;

/// Sends requests for different jobs. Returns how many of them lead to a store call, and how
/// many are rejected.
fn send_requests(node: &mut Node, at: Micros, method: &str, path: &str) -> (u32, u32) {
    let now = Timestamp {
        monotonic: at,
        wall: at,
    };
    let (mut calls, mut rejected) = (Vec::new(), 0);
    for i in 0..REQUESTS {
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
                    rejected += 1;
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
    (count, rejected)
}

/// Users' requests must leave store calls for the renewals of the leader's lease, and polls
/// must leave some for submissions and cancellations.
#[test]
fn requests_over_the_budget_get_503_at_once() {
    let mut node = common::single_zone_node();
    let at = 1000 * SECOND;
    // Users get seven tenths of 200 calls a second, and this node a third of that. Polls
    // leave half of it to other requests.
    assert_eq!(send_requests(&mut node, at, "GET", ""), (23, 977));
    assert_eq!(send_requests(&mut node, at, "POST", "/abort"), (23, 977));
}

/// The load balancer may send all requests to one node, which may then use almost the whole
/// budget of the cluster.
#[test]
fn node_gets_the_budget_of_peers_without_requests() {
    let mut node = common::single_zone_node();
    let mut at = 1000 * SECOND;
    let peer_heartbeat = |node: &mut Node, at, from: &str, requests_per_s| {
        let now = Timestamp {
            monotonic: at,
            wall: at,
        };
        let message = Message::Heartbeat {
            term: 0,
            is_leader: false,
            store_reachable: true,
            workers_reachable: false,
            requests_per_s,
        };
        let from = from.to_string();
        node.handle(now, Input::Peer { from, message });
        node.handle(now, Input::Tick);
    };
    for _ in 0..10 {
        send_requests(&mut node, at, "POST", "/abort");
        at += 500 * MILLISECOND;
        peer_heartbeat(&mut node, at, "n1", 0);
        peer_heartbeat(&mut node, at, "n2", 0);
    }
    at += SECOND;
    let (calls, _) = send_requests(&mut node, at, "POST", "/abort");
    // Users' requests have 140 calls a second in total, and this node gets almost all of them.
    assert!((135..=140).contains(&calls), "{calls}");
    // Peers whose heartbeats no longer arrive may still use their shares.
    at += 10 * SECOND;
    node.handle(
        Timestamp {
            monotonic: at,
            wall: at,
        },
        Input::Tick,
    );
    at += SECOND;
    let (calls, _) = send_requests(&mut node, at, "POST", "/abort");
    assert!((45..=47).contains(&calls), "{calls}");
}

/// A submission that is rejected because the write budget is used up does not count against the
/// call budget.
#[test]
fn submissions_over_the_write_budget_use_no_call_budget() {
    let mut node = SteppedNode::with_machine_types(common::config_with_team(), 1000 * SECOND);
    for i in 0..REQUESTS {
        node.submit(&job_spec(&format!("req-{i}")));
    }
    // A third of seven tenths of 80 writes a second.
    assert_eq!(node.pending_calls.len(), 18);
    node.pending_calls.clear();
    for i in 0..REQUESTS {
        node.poll(&format!("req-{i}"));
    }
    // Polls stop when 23 of the 46 calls are left for other requests; submissions have used 18.
    assert_eq!(node.pending_calls.len(), 5);
}
