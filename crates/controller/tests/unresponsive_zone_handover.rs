//! A leader fails while a zone is partitioned. Its successor must count the time for which the
//! previous leader saw the zone's machines as unresponsive.

mod common;

use common::{heartbeat_request, machine_row, nth_term, step_returning_cloud_calls};
use dillcleat_controller::{Input, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::{Message, UnresponsiveZone};
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::KeyValue;

const START: Micros = 1000 * SECOND;

fn zone_of(machine: usize) -> &'static str {
    if machine < 3 { "partitioned" } else { "b" }
}

/// The machines that a new leader deletes, and when. The zone `partitioned` was partitioned
/// before its election; the previous leader reported it as unresponsive for
/// `unresponsive_ms`. Machine 0 there sends heartbeats if `one_recovers`, the others do not.
fn deleted_machines(unresponsive_ms: Option<u32>, one_recovers: bool) -> Vec<(String, Micros)> {
    let rows: Vec<KeyValue> = (0..9)
        .map(|i| machine_row(&format!("m{i}"), zone_of(i)))
        .collect();
    let mut node = common::single_zone_node();
    if let Some(unresponsive_ms) = unresponsive_ms {
        let message = Message::UnresponsiveZones(vec![UnresponsiveZone {
            zone: "partitioned".into(),
            unresponsive_ms,
        }]);
        let from = "n1".into();
        step_returning_cloud_calls(&mut node, START, Input::Peer { from, message }, &rows);
    }
    let mut deleted = Vec::new();
    for at in (0..20 * SECOND).step_by(100 * MILLISECOND as usize) {
        let now = START + at;
        let (_, calls) = step_returning_cloud_calls(&mut node, now, Input::Tick, &rows);
        for call in calls {
            if let CloudRequest::Delete(names) = call {
                deleted.extend(names.into_iter().map(|name| (name, at)));
            }
        }
        if at.is_multiple_of(2 * SECOND) {
            for machine in (0..9).filter(|m| *m > 2 || (*m == 0 && one_recovers)) {
                let sequence = at / MILLISECOND + 1;
                let input = heartbeat_request(&format!("m{machine}"), zone_of(machine), sequence);
                assert_eq!(
                    step_returning_cloud_calls(&mut node, now, input, &rows).0,
                    [200]
                );
            }
        }
    }
    assert_eq!(node.leading(), Some(nth_term(1)));
    deleted
}

/// Guards against delaying the replacement of the replicas in the partitioned zone by a failover.
#[test]
fn new_leader_counts_unresponsive_time_seen_by_its_predecessor() {
    assert_eq!(
        deleted_machines(None, false),
        [],
        "the new leader has no report of the partition"
    );
    let deleted = deleted_machines(Some(12_000), false);
    assert_eq!(deleted.len(), 3, "{deleted:?}");
    // The machines were unresponsive for 12 s at the election, so that a worker lease of 14 s
    // and a heartbeat interval of 2 s end 4 s later.
    let on_time = |(_, at): &(String, Micros)| (4 * SECOND..6 * SECOND).contains(at);
    assert!(deleted.iter().all(on_time), "{deleted:?}");
}

/// The partition may have ended since the previous leader reported it, so that a machine is
/// deleted only after its next heartbeat was due.
#[test]
fn machine_reported_unresponsive_stays_if_it_sends_a_heartbeat() {
    let deleted = deleted_machines(Some(40_000), true);
    let names: Vec<&str> = deleted.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["m1", "m2"], "{deleted:?}");
    assert!(
        deleted.iter().all(|(_, at)| *at >= 3 * SECOND),
        "{deleted:?}"
    );
}
