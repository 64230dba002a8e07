//! When a leader that hears no worker makes way.

mod common;

use common::step;
use dillcleat_core::store::{self, MachineRecord};
use dillcleat_core::{Input, MILLISECOND, SECOND};
use dillcleat_mesh::Message;
use dillcleat_wire::state::{Row, value};

/// Workers wait 4 s for an answer of the leader before and a second more. A
/// new leader once gave up meanwhile, since its sibling heard some of them, and
/// its successor began the same wait anew (incident 1ec8).
#[test]
fn a_new_leader_waits_for_the_workers_of_the_one_before() {
    let machines: Vec<Row> = (0..3)
        .map(|i| Row {
            key: store::machine_key(&format!("m{i}")),
            value: value(&MachineRecord {
                addr: "127.0.0.1:7".into(),
                machine_type: "t".into(),
                zone: "a".into(),
                spot: false,
            }),
            version: 1,
            lease: None,
        })
        .collect();
    let mut node = common::node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &machines);
    assert_eq!(node.leading(), Some(1));
    let mut led_for = 0;
    for at in (0..20 * SECOND).step_by(100 * MILLISECOND as usize) {
        let beat = Input::Mesh {
            from: "n1".into(),
            message: Message::Beat {
                term: 1,
                leads: false,
                served: true,
                hears: true,
                asked: 0,
            },
        };
        step(&mut node, start + at, beat, &machines);
        step(&mut node, start + at, Input::Tick, &machines);
        if node.leading() != Some(1) {
            break;
        }
        led_for = at;
    }
    // Long enough for a report, its time-out and the pause; well within a
    // lease of 14 s.
    assert!(
        (15 * SECOND / 2..10 * SECOND).contains(&led_for),
        "{led_for}"
    );
}
