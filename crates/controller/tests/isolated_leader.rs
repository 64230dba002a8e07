//! A leader that is partitioned from the other zones receives heartbeats only from the
//! machines of its own zone. It must not treat the other zones as failed.

mod common;

use common::{
    Environment, heartbeat_request, machine_row, nth_term, step_in_environment, three_zone_node,
};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, Node, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::{KeyValue, StoreResponse, WatchBatch};

const START: Micros = 1000 * SECOND;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The zone of a machine by its number; each zone has a third of the machines.
fn zone_of(machine: usize) -> &'static str {
    ZONES[machine % 3]
}

struct Fixture {
    node: Node,
    machine_rows: Vec<KeyValue>,
    /// Time since `START`.
    at: Micros,
    env: Environment,
    /// Whether the heartbeats of a machine, given by its number, arrive.
    sends_heartbeats: fn(usize) -> bool,
    /// The peers whose heartbeats arrive, and whether they can reach the store.
    peers: &'static [(&'static str, bool)],
    deletions: Vec<(Micros, Vec<String>)>,
}

impl Fixture {
    fn new(machines: usize) -> Fixture {
        let rows = (0..machines).map(|i| machine_row(&format!("m{i:03}"), zone_of(i)));
        Fixture {
            node: three_zone_node(),
            machine_rows: rows.collect(),
            at: 0,
            env: Environment::default(),
            sends_heartbeats: |_| true,
            peers: &[("n1", true), ("n2", true)],
            deletions: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        let now = START + self.at;
        let (_, calls) = step_in_environment(
            &mut self.node,
            now,
            input,
            &self.machine_rows,
            &mut self.env,
        );
        for call in calls {
            if let CloudRequest::Delete(names) = call {
                self.deletions.push((self.at, names));
            }
        }
    }

    /// Advances the time and returns the deletions requested meanwhile.
    fn advance(&mut self, seconds: u64) -> Vec<(Micros, Vec<String>)> {
        let end = self.at + seconds * SECOND;
        while self.at < end {
            self.step(Input::Tick);
            for id in std::mem::take(&mut self.env.open_watches) {
                let no_events = WatchBatch {
                    revision: 2,
                    events: Vec::new(),
                };
                let reply = match self.env.store_up {
                    true => Ok(StoreResponse::WatchBatch(no_events)),
                    false => Err(CallError::NoAnswer),
                };
                self.step(Input::Store { id, reply });
            }
            if self.at.is_multiple_of(SECOND / 2) {
                for (name, store_reachable) in self.peers {
                    let message = Message::Heartbeat {
                        term: 0,
                        is_leader: false,
                        store_reachable: *store_reachable,
                        workers_reachable: false,
                        requests_per_s: 0,
                    };
                    let from = name.to_string();
                    self.step(Input::Peer { from, message });
                }
            }
            if self.at.is_multiple_of(2 * SECOND) {
                let sends_heartbeats = self.sends_heartbeats;
                for machine in (0..self.machine_rows.len()).filter(|m| sends_heartbeats(*m)) {
                    let sequence = self.at / MILLISECOND + 1;
                    let input =
                        heartbeat_request(&format!("m{machine:03}"), zone_of(machine), sequence);
                    self.step(input);
                }
            }
            self.at += 100 * MILLISECOND;
        }
        std::mem::take(&mut self.deletions)
    }

    /// Before this time machines are deleted only for missing heartbeats; idle machines are
    /// deleted after 60 s.
    const IDLE_DELETION_STARTS_S: u64 = 54;
}

/// Guards against deleting the machines of healthy zones during a partition.
#[test]
fn leader_without_leadership_proof_deletes_no_machine() {
    let mut fixture = Fixture::new(12);
    assert_eq!(fixture.advance(8), []);
    fixture.sends_heartbeats = |m| zone_of(m) == "a";
    fixture.peers = &[];
    fixture.env.store_up = false;
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    assert_eq!(fixture.advance(Fixture::IDLE_DELETION_STARTS_S - 8), []);
    assert_eq!(
        fixture.node.leading(),
        Some(nth_term(1)),
        "the leader has seen no later term"
    );
    // The leader does not delete idle machines either.
    assert_eq!(fixture.advance(100), []);
}

/// Even a leader that reaches the store deletes no machine if it receives no heartbeat from
/// other zones.
#[test]
fn leader_without_contact_to_other_zones_deletes_no_machine() {
    let deletions_with = |peers| {
        let mut fixture = Fixture::new(12);
        fixture.advance(8);
        fixture.sends_heartbeats = |m| zone_of(m) == "a";
        fixture.peers = peers;
        fixture.advance(Fixture::IDLE_DELETION_STARTS_S - 8)
    };
    assert_eq!(deletions_with(&[]), []);
    let deletions = deletions_with(&[("n2", true)]);
    assert!(
        !deletions.is_empty(),
        "a peer in another zone is reachable, so the leader is not isolated"
    );
}

/// No machine is deleted for missing heartbeats while the store is down for all nodes.
/// Afterwards the machines that are still unresponsive are deleted, few with each call.
#[test]
fn unresponsive_machines_are_deleted_in_small_batches_after_store_outage() {
    let mut fixture = Fixture::new(30);
    assert_eq!(fixture.advance(8), []);
    fixture.sends_heartbeats = |m| m >= 8;
    fixture.peers = &[("n1", false), ("n2", false)];
    fixture.env.store_up = false;
    assert_eq!(fixture.advance(25), []);
    fixture.sends_heartbeats = |m| m >= 7;
    assert_eq!(fixture.advance(3), []);
    fixture.peers = &[("n1", true), ("n2", true)];
    fixture.env.store_up = true;
    let deletions = fixture.advance(Fixture::IDLE_DELETION_STARTS_S - 36);
    assert!(
        deletions.iter().all(|(_, names)| names.len() <= 5),
        "{deletions:?}"
    );
    let mut names: Vec<String> = deletions.into_iter().flat_map(|(_, names)| names).collect();
    names.sort();
    let unresponsive: Vec<String> = (0..7).map(|i| format!("m{i:03}")).collect();
    assert_eq!(names, unresponsive);
}

/// A deletion that could not be sent is dropped when heartbeats of its machine arrive.
#[test]
fn machine_that_recovers_before_its_deletion_is_sent_stays() {
    let mut fixture = Fixture::new(12);
    assert_eq!(fixture.advance(8), []);
    fixture.env.cloud_up = false;
    fixture.sends_heartbeats = |m| m > 0;
    let attempted = fixture.advance(20);
    assert!(!attempted.is_empty(), "a deletion is attempted");
    fixture.sends_heartbeats = |_| true;
    fixture.advance(3);
    fixture.env.cloud_up = true;
    assert_eq!(fixture.advance(Fixture::IDLE_DELETION_STARTS_S - 31), []);
}

/// During a store outage the leader has to stop renewing leases. Machines whose heartbeats
/// it refused must not count as unresponsive afterwards.
#[test]
fn machines_with_refused_heartbeats_do_not_count_as_unresponsive() {
    let mut fixture = Fixture::new(12);
    assert_eq!(fixture.advance(4), []);
    fixture.peers = &[("n1", false), ("n2", false)];
    fixture.env.store_up = false;
    assert_eq!(fixture.advance(43), []);
    fixture.peers = &[("n1", true), ("n2", true)];
    fixture.env.store_up = true;
    assert_eq!(fixture.advance(Fixture::IDLE_DELETION_STARTS_S - 47), []);
}
