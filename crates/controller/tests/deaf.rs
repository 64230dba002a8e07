//! When a leader that hears no worker makes way.

mod common;

use common::{heartbeat_request, machine_row, step};
use dillcleat_controller::{
    Input, MILLISECOND, Micros, Node, Output, SECOND, Timestamp, Tuning, micros,
};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::KeyValue;
use dillcleat_wire::worker::LeaderRedirect;

/// The word of a sibling that the state service answers.
fn beat(term: u64, leads: bool, hears: bool) -> Input {
    Input::Peer {
        from: "n1".into(),
        message: Message::Heartbeat {
            term,
            is_leader: leads,
            store_reachable: true,
            workers_reachable: hears,
            requests_per_s: 0,
        },
    }
}

/// How long a leader with machines on record leads without hearing a worker,
/// having `heard` one report or none, while a sibling that knows of a term says whether
/// it hears any. `pause` is a gap in its ticks after two seconds.
fn leads_for(heard: bool, (term, hears): (u64, bool), pause: Micros) -> Micros {
    let machines: Vec<KeyValue> = (0..3).map(|i| machine_row(&format!("m{i}"), "a")).collect();
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &machines);
    assert_eq!(node.leading(), Some(1));
    if heard {
        let input = heartbeat_request("m0", "a", 1);
        assert_eq!(step(&mut node, start, input, &machines), [200]);
    }
    let mut led_for = 0;
    for at in (0..30 * SECOND).step_by(100 * MILLISECOND as usize) {
        if (2 * SECOND..2 * SECOND + pause).contains(&at) {
            continue;
        }
        step(&mut node, start + at, beat(term, false, hears), &machines);
        step(&mut node, start + at, Input::Tick, &machines);
        if node.leading() != Some(1) {
            break;
        }
        led_for = at;
    }
    led_for
}

/// Workers wait 4 s for an answer of the leader before and a second more. A
/// new leader once gave up meanwhile, since its sibling heard some of them, and
/// its successor began the same wait anew (incident 1ec8).
#[test]
fn a_new_leader_waits_for_the_workers_of_the_one_before() {
    // Long enough for a report, its time-out and the pause; well within a
    // lease of 14 s.
    let led_for = leads_for(false, (0, true), 0);
    assert!(
        (15 * SECOND / 2..10 * SECOND).contains(&led_for),
        "{led_for}"
    );
}

/// A sibling that knows of the term has sent them here. With all controllers ended at
/// once and two of three cut off from the workers, one of these once led for 13 s.
#[test]
fn a_new_leader_that_misses_those_who_were_sent_to_it_makes_way_sooner() {
    let led_for = leads_for(false, (1, true), 0);
    assert!((4 * SECOND..6 * SECOND).contains(&led_for), "{led_for}");
}

/// Two nodes that had lost sight of the store once sent the workers to one another,
/// past the new leader, until their leases had run out.
#[test]
fn workers_are_sent_to_whom_a_sibling_says_leads() {
    let mut node = common::single_zone_node();
    let now = Timestamp {
        monotonic: 1000 * SECOND,
        wall: 1000 * SECOND,
    };
    let sent_to = |node: &mut Node| {
        let out = node.handle(now, heartbeat_request("m0", "a", 1));
        let mut answers = out.into_iter().filter_map(|o| match o {
            Output::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        let answer = answers.next_back().expect("each report is answered");
        assert_eq!(answer.status, 421);
        let body = dillcleat_wire::decode::<LeaderRedirect>(&answer.body);
        body.expect("a good body").leader
    };
    assert_eq!(sent_to(&mut node), None);
    step(&mut node, now.monotonic, beat(1, false, true), &[]);
    assert_eq!(sent_to(&mut node), None);
    step(&mut node, now.monotonic, beat(2, true, false), &[]);
    assert_eq!(sent_to(&mut node).as_deref(), Some("n1"));
}

/// No sibling that it hears hears a worker; the one that does is out of its
/// reach. A leader once waited on until every lease had run out (incident e9a6).
#[test]
fn a_leader_without_workers_makes_way_before_their_leases_end() {
    let led_for = leads_for(true, (1, false), 0);
    assert!((7 * SECOND..11 * SECOND).contains(&led_for), "{led_for}");
    // But not again and again: with every machine dead somebody has to stay to
    // find that out (seed 10052).
    assert!(leads_for(false, (1, false), 0) > 29 * SECOND);
}

/// After a gap longer than its lease it looks first (incident e9a6); after a
/// shorter one it goes on.
#[test]
fn a_leader_that_was_not_running_steps_down_first() {
    assert!(leads_for(false, (0, true), 3 * SECOND) < 3 * SECOND);
    let shorter = micros(Tuning::default().lead_ttl_s) - 200 * MILLISECOND;
    assert!(leads_for(false, (0, true), shorter) > 7 * SECOND);
}

/// How long a node that no worker reaches takes to be elected beside such a sibling.
fn elected_after(leads: bool, hears: bool) -> Micros {
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    let mut times = (0..10 * SECOND).step_by(100 * MILLISECOND as usize);
    let elected = times.find(|at| {
        step(&mut node, start + at, beat(1, leads, hears), &[]);
        step(&mut node, start + at, Input::Tick, &[]);
        node.leading().is_some()
    });
    elected.expect("nobody else is elected")
}

/// With two of three nodes cut off from the workers these two once led in turn until
/// every lease had run out (seed 1172 of the days of pipelines).
#[test]
fn who_hears_no_worker_lets_a_sibling_that_does_go_first() {
    let waited = elected_after(false, true);
    assert!((SECOND / 2..SECOND).contains(&waited), "{waited}");
    assert_eq!(elected_after(false, false), 0);
    // The last word of a leader that is gone.
    assert_eq!(elected_after(true, true), 0);
}
