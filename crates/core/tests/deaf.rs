//! When a leader that hears no worker makes way.

mod common;

use common::{recorded, report, step};
use dillcleat_core::{Input, MILLISECOND, Micros, SECOND, Tuning, micros};
use dillcleat_mesh::Message;
use dillcleat_wire::state::Row;

/// The word of a sibling that the state service answers.
fn beat(leads: bool, hears: bool) -> Input {
    Input::Mesh {
        from: "n1".into(),
        message: Message::Beat {
            term: 1,
            leads,
            served: true,
            hears,
            asked: 0,
        },
    }
}

/// How long a leader with machines on record leads without hearing a worker,
/// having `heard` one report or none, while a sibling says whether it hears any.
/// `pause` is a gap in its ticks after two seconds.
fn leads_for(heard: bool, hears: bool, pause: Micros) -> Micros {
    let machines: Vec<Row> = (0..3).map(|i| recorded(&format!("m{i}"), "a")).collect();
    let mut node = common::node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &machines);
    assert_eq!(node.leading(), Some(1));
    if heard {
        let input = report("m0", "a", 1);
        assert_eq!(step(&mut node, start, input, &machines), [200]);
    }
    let mut led_for = 0;
    for at in (0..30 * SECOND).step_by(100 * MILLISECOND as usize) {
        if (2 * SECOND..2 * SECOND + pause).contains(&at) {
            continue;
        }
        step(&mut node, start + at, beat(false, hears), &machines);
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
    let led_for = leads_for(false, true, 0);
    assert!(
        (15 * SECOND / 2..10 * SECOND).contains(&led_for),
        "{led_for}"
    );
}

/// No sibling that it hears hears a worker; the one that does is out of its
/// reach. A leader once waited on until every lease had run out (incident e9a6).
#[test]
fn a_leader_without_workers_makes_way_before_their_leases_end() {
    let led_for = leads_for(true, false, 0);
    assert!((7 * SECOND..11 * SECOND).contains(&led_for), "{led_for}");
    // But not again and again: with every machine dead somebody has to stay to
    // find that out (seed 10052).
    assert!(leads_for(false, false, 0) > 29 * SECOND);
}

/// After a gap longer than its lease it looks first (incident e9a6); after a
/// shorter one it goes on.
#[test]
fn a_leader_that_was_not_running_steps_down_first() {
    assert!(leads_for(false, true, 3 * SECOND) < 3 * SECOND);
    let shorter = micros(Tuning::default().lead_ttl_s) - 200 * MILLISECOND;
    assert!(leads_for(false, true, shorter) > 7 * SECOND);
}

/// How long a node that no worker reaches takes to be elected beside such a sibling.
fn elected_after(leads: bool, hears: bool) -> Micros {
    let mut node = common::node();
    let start = 1000 * SECOND;
    let mut times = (0..10 * SECOND).step_by(100 * MILLISECOND as usize);
    let elected = times.find(|at| {
        step(&mut node, start + at, beat(leads, hears), &[]);
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
