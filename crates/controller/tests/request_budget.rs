//! Users' requests have a budget of store calls. Requests over it wait, submissions and
//! cancellations for less time than polls, and are refused when their users no longer wait.
//! Nodes with more requests get a larger share.

mod common;

use common::stepped_node::{SteppedNode, job_spec};
use dillcleat_controller::request_budget::{RequestPriority, StoreCost};
use dillcleat_controller::{Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::StoreResponse;
use std::collections::BTreeSet;

const REQUESTS: u64 = 1000;
/// The time for which a user waits for the answer to a poll.
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// The time for which a user waits for the answer to another request.
const USER_TIMEOUT: Micros = 5 * SECOND;
/// Users get seven tenths of 200 calls a second, and this node a third of that.
const CALLS_PER_S: f64 = 200.0 * 0.7 / 3.0;
/// Hedged calls may use this part of the 200 calls in addition.
const HEDGED_PER_S: f64 = 200.0 * 0.05;

/// Sends requests for different jobs at one moment. Returns what the node sends.
fn send_requests(node: &mut Node, at: Micros, method: &str, path: &str) -> Vec<Output> {
    let mut outputs = Vec::new();
    for i in 0..REQUESTS {
        let input = Input::Request {
            id: RequestId(i),
            method: method.into(),
            target: format!("/v2/runs/req-{i}{path}"),
            body: Vec::new(),
        };
        outputs.extend(node.handle(common::timestamp(at), input));
    }
    outputs
}

fn is_call(output: &Output) -> bool {
    matches!(output, Output::Store { .. })
}

/// Fails each call without an answer, and lets time pass until all requests are answered.
/// Returns the number of calls. Every answer must be a refusal in time, after which the request
/// may be repeated.
fn refuse_all(node: &mut Node, from: Micros, timeout: Micros, mut outputs: Vec<Output>) -> usize {
    let mut unanswered: BTreeSet<u64> = (0..REQUESTS).collect();
    let (mut calls, mut now) = (0, from);
    loop {
        let mut inputs = Vec::new();
        for output in outputs.drain(..) {
            match output {
                Output::Store { id, call, .. } if common::stepped_node::concerns_a_job(&call) => {
                    calls += 1;
                    let reply = Ok(StoreResponse::Unavailable);
                    inputs.push(Input::Store { id, reply });
                }
                Output::Answer { id, answer } => {
                    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
                    assert!(unanswered.remove(&id.0), "answered twice");
                }
                _ => {}
            }
        }
        if unanswered.is_empty() {
            return calls;
        }
        assert!(now < from + timeout, "{} unanswered", unanswered.len());
        now += 50 * MILLISECOND;
        inputs.push(Input::Tick);
        for input in inputs {
            outputs.extend(node.handle(common::timestamp(now), input));
        }
    }
}

/// Users' requests must leave store calls for the renewals of the leader's lease, and polls
/// must leave some for submissions and cancellations.
#[test]
fn requests_over_the_budget_wait_and_are_refused_in_time() {
    let at = 1000 * SECOND;
    // Polls leave half of the 46 calls to other requests.
    let kinds = [
        ("GET", "", 23, POLL_TIMEOUT),
        ("POST", "/abort", 46, USER_TIMEOUT),
    ];
    for (method, path, calls_at_once, timeout) in kinds {
        let mut node = common::single_zone_node();
        let outputs = send_requests(&mut node, at, method, path);
        assert_eq!(outputs.len(), calls_at_once, "{method}{path}");
        assert!(outputs.iter().all(is_call));
        let calls = refuse_all(&mut node, at, timeout, outputs);
        let limit = CALLS_PER_S + (CALLS_PER_S + HEDGED_PER_S) * (timeout / SECOND) as f64;
        assert!(calls as f64 <= limit, "{calls} calls, at most {limit}");
    }
}

/// A flood of polls must not keep cancellations waiting.
#[test]
fn cancellations_are_sent_before_polls_that_wait() {
    let (mut node, at) = (common::single_zone_node(), 1000 * SECOND);
    assert_eq!(send_requests(&mut node, at, "GET", "").len(), 23);
    let input = Input::Request {
        id: RequestId(REQUESTS),
        method: "POST".into(),
        target: "/v2/runs/req-5000/abort".into(),
        body: Vec::new(),
    };
    let outputs = node.handle(common::timestamp(at), input);
    let [Output::Store { call, .. }] = &outputs[..] else {
        panic!("{outputs:?}");
    };
    assert!(format!("{call:?}").contains("req-5000"), "{call:?}");
}

/// The load balancer may send all requests to one node, which may then use almost the whole
/// budget of the cluster.
#[test]
fn node_gets_the_budget_of_peers_without_requests() {
    let mut node = common::single_zone_node();
    let mut at = 1000 * SECOND;
    let peer_heartbeat = |node: &mut Node, at, from: &str, requests_per_s| {
        let now = common::timestamp(at);
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
    let available_calls = |node: &mut Node, at| {
        let now = common::timestamp(at);
        let is_available =
            |_: &u32| node.take_budget(StoreCost::READ, RequestPriority::Change, now);
        (0..1000).take_while(is_available).count()
    };
    for _ in 0..10 {
        send_requests(&mut node, at, "POST", "/abort");
        at += 500 * MILLISECOND;
        peer_heartbeat(&mut node, at, "n1", 0);
        peer_heartbeat(&mut node, at, "n2", 0);
    }
    at += SECOND;
    let calls = available_calls(&mut node, at);
    // Users' requests have 140 calls a second in total, and this node gets almost all of them.
    assert!((135..=140).contains(&calls), "{calls}");
    // Peers whose heartbeats no longer arrive may still use their shares.
    at += 10 * SECOND;
    node.handle(common::timestamp(at), Input::Tick);
    at += SECOND;
    let calls = available_calls(&mut node, at);
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

/// Guards against submissions that use up the node's memory while they wait.
#[test]
fn waiting_submissions_are_bounded() {
    let mut node = SteppedNode::with_machine_types(common::config_with_team(), 1000 * SECOND);
    for i in 0..REQUESTS {
        node.submit(&job_spec(&format!("req-{i}")));
    }
    // 18 are sent, 600 wait, and those that came last are refused at once.
    assert_eq!(node.answers.len(), 1000 - 18 - 600);
    let is_refused = |i: &u64| node.answer(*i).is_some_and(|(status, _)| status == 503);
    assert!((619..=REQUESTS).all(|i| is_refused(&i)));
}
