//! A leader whose watch of the cancellations is not answered stops renewing worker leases in
//! time, although it keeps its own lease and has seen no later term.

mod common;

use common::{nth_term, step};
use dillcleat_controller::{Input, RequestId, SECOND};
use dillcleat_wire::encode;

#[test]
fn worker_lease_is_renewed_only_while_cancellations_can_take_effect_in_time() {
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    step(&mut node, start, Input::Tick, &[]);
    assert_eq!(node.leading(), Some(nth_term(1)));
    let mut last_renewal_s = 0;
    for s in 1..60 {
        let at = start + s * SECOND;
        step(&mut node, at, Input::Tick, &[]);
        let input = Input::Request {
            id: RequestId(s),
            method: "POST".into(),
            target: "/checkin".into(),
            body: encode(&common::heartbeat(s, vec![])),
        };
        match step(&mut node, at, input, &[])[..] {
            [200] => last_renewal_s = s,
            [503] => {}
            ref other => panic!("unexpected {other:?}"),
        }
    }
    // A task cancelled by another node at the start must end within 44 s; the worker lease of
    // 14 s runs from its last renewal.
    assert!(
        (10..=44 - 14 - 1).contains(&last_renewal_s),
        "{last_renewal_s}"
    );
}
