//! A leader that ends while a zone is cut off, and the one that follows.

mod common;

use common::{heartbeat_request, machine_row, step_and_cloud_calls};
use dillcleat_controller::{Input, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::{Message, SilentZone};
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::KeyValue;

const START: Micros = 1000 * SECOND;

fn zone(machine: usize) -> &'static str {
    if machine < 3 { "cut" } else { "b" }
}

/// When the machines of a zone are deleted that was cut off before the leader
/// began, which had `silent_ms` from the leader before. In the cut zone machine 0
/// alone reports, if `one_reports`.
fn deleted_after(quiet_ms: Option<u32>, one_reports: bool) -> Vec<(String, Micros)> {
    let rows: Vec<KeyValue> = (0..9)
        .map(|i| machine_row(&format!("m{i}"), zone(i)))
        .collect();
    let mut node = common::single_zone_node();
    if let Some(quiet_ms) = quiet_ms {
        let message = Message::SilentZones(vec![SilentZone {
            zone: "cut".into(),
            silent_ms: quiet_ms,
        }]);
        let from = "n1".into();
        step_and_cloud_calls(&mut node, START, Input::Peer { from, message }, &rows);
    }
    let mut deleted = Vec::new();
    for at in (0..20 * SECOND).step_by(100 * MILLISECOND as usize) {
        let now = START + at;
        let (_, calls) = step_and_cloud_calls(&mut node, now, Input::Tick, &rows);
        for call in calls {
            if let CloudRequest::Delete(names) = call {
                deleted.extend(names.into_iter().map(|name| (name, at)));
            }
        }
        if at.is_multiple_of(2 * SECOND) {
            for machine in (0..9).filter(|m| *m > 2 || (*m == 0 && one_reports)) {
                let seq = at / MILLISECOND + 1;
                let input = heartbeat_request(&format!("m{machine}"), zone(machine), seq);
                assert_eq!(step_and_cloud_calls(&mut node, now, input, &rows).0, [200]);
            }
        }
    }
    assert_eq!(node.leading(), Some(1));
    deleted
}

/// Replicas behind a cut were once left down for the time by which the leader's
/// end made their lease look longer than it was (zone, brunnmatt-books-fleet).
#[test]
fn a_new_leader_counts_the_silence_that_the_one_before_has_seen() {
    assert_eq!(deleted_after(None, false), [], "nobody knows of it");
    let deleted = deleted_after(Some(12_000), false);
    assert_eq!(deleted.len(), 3, "{deleted:?}");
    // A lease of 14 s and a report's 2 s are over 4 s into the term.
    let on_time = |(_, at): &(String, Micros)| (4 * SECOND..6 * SECOND).contains(at);
    assert!(deleted.iter().all(on_time), "{deleted:?}");
}

/// The cut may have ended with the leader: who reports in time stays, and nobody
/// goes before a report was due.
#[test]
fn whom_the_leader_before_found_silent_may_still_report() {
    let deleted = deleted_after(Some(40_000), true);
    let names: Vec<&str> = deleted.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["m1", "m2"], "{deleted:?}");
    assert!(
        deleted.iter().all(|(_, at)| *at >= 3 * SECOND),
        "{deleted:?}"
    );
}
