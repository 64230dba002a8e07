//! A leader that no longer sees the cancellations goes quiet in time, though
//! its lease is renewed and nobody shows it a higher term.

mod common;

use common::step;
use dillcleat_controller::{Input, RequestId, SECOND};
use dillcleat_wire::encode;
use dillcleat_wire::worker::Heartbeat;

#[test]
fn reports_are_answered_only_while_a_cancellation_could_still_be_obeyed() {
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &[]);
    assert_eq!(node.leading(), Some(1));
    let mut last_answered = 0;
    for s in 1..60 {
        let at = start + s * SECOND;
        step(&mut node, at, Input::Tick, &[]);
        let report = Heartbeat {
            machine: "m".into(),
            addr: "127.0.0.1:7".into(),
            machine_type: "t".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            sequence: s,
            fencing_token: 1,
            interruption_notice_s: None,
            tasks: vec![],
        };
        let input = Input::Request {
            id: RequestId(s),
            method: "POST".into(),
            target: "/checkin".into(),
            body: encode(&report),
        };
        match step(&mut node, at, input, &[])[..] {
            [200] => last_answered = s,
            [503] => {}
            ref other => panic!("unexpected {other:?}"),
        }
    }
    // Cancelled elsewhere at the start, gone within 44 s: the worker's lease
    // of 14 s runs from its last answered report.
    assert!(
        (10..=44 - 14 - 1).contains(&last_answered),
        "{last_answered}"
    );
}
