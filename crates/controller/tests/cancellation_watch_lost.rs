//! A leader whose watch of the cancellations is not answered stops renewing worker leases in
//! time, although its own lease is renewed and no later term is known to it.

mod common;

use common::step;
use dillcleat_controller::{Input, RequestId, SECOND};
use dillcleat_wire::encode;
use dillcleat_wire::worker::Heartbeat;

#[test]
fn heartbeats_are_answered_only_while_cancellations_can_take_effect_in_time() {
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &[]);
    assert_eq!(node.leading(), Some(1));
    let mut last_answered_s = 0;
    for s in 1..60 {
        let at = start + s * SECOND;
        step(&mut node, at, Input::Tick, &[]);
        let heartbeat = Heartbeat {
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
            body: encode(&heartbeat),
        };
        match step(&mut node, at, input, &[])[..] {
            [200] => last_answered_s = s,
            [503] => {}
            ref other => panic!("unexpected {other:?}"),
        }
    }
    // A task cancelled by another node at the start must end within 44 s; the worker lease of
    // 14 s runs from the last answered heartbeat.
    assert!(
        (10..=44 - 14 - 1).contains(&last_answered_s),
        "{last_answered_s}"
    );
}
