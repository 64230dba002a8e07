//! When a leader that receives no worker heartbeats steps down.

mod common;

use common::{heartbeat_request, machine_row, nth_term, step};
use dillcleat_controller::{
    Input, MILLISECOND, Micros, Node, Output, SECOND, Timestamp, Tuning, micros,
};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::KeyValue;
use dillcleat_wire::worker::LeaderRedirect;

/// A heartbeat of a peer that reaches the store.
fn peer_heartbeat(term: u64, is_leader: bool, workers_reachable: bool) -> Input {
    Input::Peer {
        from: "n1".into(),
        message: Message::Heartbeat {
            term,
            is_leader,
            store_reachable: true,
            workers_reachable,
            requests_per_s: 0,
        },
    }
}

/// How long a node with registered machines stays leader without worker heartbeats, or with one
/// at the start if `heartbeat_at_start`. The peer's heartbeats contain its term and whether
/// workers reach it. After two seconds the node is suspended for the time of `suspension`.
fn time_as_leader(
    heartbeat_at_start: bool,
    peer_term: u64,
    workers_reach_peer: bool,
    suspension: Micros,
) -> Micros {
    let machines: Vec<KeyValue> = (0..3).map(|i| machine_row(&format!("m{i}"), "a")).collect();
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &machines);
    assert_eq!(node.leading(), Some(nth_term(1)));
    if heartbeat_at_start {
        let input = heartbeat_request("m0", "a", 1);
        assert_eq!(step(&mut node, start, input, &machines), [200]);
    }
    let mut last_led_at = 0;
    for at in (0..30 * SECOND).step_by(100 * MILLISECOND as usize) {
        if (2 * SECOND..2 * SECOND + suspension).contains(&at) {
            continue;
        }
        step(
            &mut node,
            start + at,
            peer_heartbeat(peer_term, false, workers_reach_peer),
            &machines,
        );
        step(&mut node, start + at, Input::Tick, &machines);
        if node.leading() != Some(nth_term(1)) {
            break;
        }
        last_led_at = at;
    }
    last_led_at
}

/// Workers wait up to 4 s for a reply of the previous leader and pause for a second before they
/// try the next one. The new leader must not step down before then.
#[test]
fn new_leader_waits_for_the_workers_of_its_predecessor() {
    // Long enough for a heartbeat interval, the timeout and the pause; well within the
    // worker lease of 14 s.
    let time_led = time_as_leader(false, 0, true, 0);
    assert!(
        (15 * SECOND / 2..10 * SECOND).contains(&time_led),
        "{time_led}"
    );
}

/// A peer that has seen this term redirects workers to the leader, so they should arrive
/// sooner.
#[test]
fn new_leader_steps_down_sooner_if_redirected_workers_do_not_arrive() {
    let time_led = time_as_leader(false, nth_term(1), true, 0);
    assert!((4 * SECOND..6 * SECOND).contains(&time_led), "{time_led}");
}

/// Guards against two followers that cannot reach the store and redirect workers to each other.
#[test]
fn workers_are_redirected_only_to_a_peer_that_claims_to_be_leader() {
    let mut node = common::single_zone_node();
    let now = Timestamp {
        monotonic: 1000 * SECOND,
        wall: 1000 * SECOND,
    };
    let redirect_target = |node: &mut Node| {
        let out = node.handle(now, heartbeat_request("m0", "a", 1));
        let mut answers = out.into_iter().filter_map(|o| match o {
            Output::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        let answer = answers.next_back().expect("each heartbeat is answered");
        assert_eq!(answer.status, 421);
        let body = dillcleat_wire::decode::<LeaderRedirect>(&answer.body);
        body.expect("a valid body").leader
    };
    assert_eq!(redirect_target(&mut node), None);
    step(
        &mut node,
        now.monotonic,
        peer_heartbeat(nth_term(1), false, true),
        &[],
    );
    assert_eq!(redirect_target(&mut node), None);
    step(
        &mut node,
        now.monotonic,
        peer_heartbeat(nth_term(2), true, false),
        &[],
    );
    assert_eq!(redirect_target(&mut node).as_deref(), Some("n1"));
}

/// Workers do not reach the only peer whose heartbeats arrive, but they may reach the other
/// one, which should then lead.
#[test]
fn leader_without_heartbeats_steps_down_before_worker_leases_expire() {
    let time_led = time_as_leader(true, nth_term(1), false, 0);
    assert!((7 * SECOND..11 * SECOND).contains(&time_led), "{time_led}");
}

/// If all machines are gone, a leader is needed to detect that.
#[test]
fn leader_that_never_received_a_heartbeat_stays() {
    assert!(time_as_leader(false, nth_term(1), false, 0) > 29 * SECOND);
}

/// Another node may lead after a suspension longer than the leader lease.
#[test]
fn leader_steps_down_after_a_suspension_longer_than_its_lease() {
    assert!(time_as_leader(false, 0, true, 3 * SECOND) < 3 * SECOND);
    let shorter_than_lease = micros(Tuning::default().lead_ttl_s) - 200 * MILLISECOND;
    assert!(time_as_leader(false, 0, true, shorter_than_lease) > 7 * SECOND);
}

/// How long a node that receives no worker heartbeats takes to be elected, while a peer
/// sends heartbeats with these two flags.
fn elected_after(peer_is_leader: bool, workers_reach_peer: bool) -> Micros {
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    let mut times = (0..10 * SECOND).step_by(100 * MILLISECOND as usize);
    let elected = times.find(|at| {
        step(
            &mut node,
            start + at,
            peer_heartbeat(nth_term(1), peer_is_leader, workers_reach_peer),
            &[],
        );
        step(&mut node, start + at, Input::Tick, &[]);
        node.leading().is_some()
    });
    elected.expect("the node is elected, as no other stands for election")
}

/// Guards against two nodes without worker heartbeats that lead in turn until the worker
/// leases have expired.
#[test]
fn node_without_heartbeats_defers_election_to_peer_with_workers() {
    let waited = elected_after(false, true);
    assert!((SECOND / 2..SECOND).contains(&waited), "{waited}");
    assert_eq!(elected_after(false, false), 0);
    // A peer that claims to lead, without a leader key in the store, causes no delay.
    assert_eq!(elected_after(true, true), 0);
}
