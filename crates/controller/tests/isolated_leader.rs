//! A leader in a partitioned zone, as seen from inside: it receives heartbeats only from
//! the machines of its own zone and from no sibling. It must not take the other zones for
//! failed.

mod common;

use common::{Environment, heartbeat_request, machine_row, step_with, three_zone_node};
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

struct Scenario {
    node: Node,
    machine_rows: Vec<KeyValue>,
    /// Time since `START`.
    at: Micros,
    env: Environment,
    /// Whether the heartbeats of a machine, given by its number, arrive.
    sends_heartbeats: fn(usize) -> bool,
    /// The siblings whose heartbeats arrive, and whether they can reach the store.
    siblings: &'static [(&'static str, bool)],
    deletions: Vec<(Micros, Vec<String>)>,
}

impl Scenario {
    fn new(machines: usize) -> Scenario {
        let rows = (0..machines).map(|i| machine_row(&format!("m{i:03}"), zone_of(i)));
        Scenario {
            node: three_zone_node(),
            machine_rows: rows.collect(),
            at: 0,
            env: Environment::default(),
            sends_heartbeats: |_| true,
            siblings: &[("n1", true), ("n2", true)],
            deletions: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        let now = START + self.at;
        let (_, calls) = step_with(
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
                for (name, store_reachable) in self.siblings {
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

    /// Until this time missing heartbeats are the only reason for a deletion: idle machines are
    /// returned after a minute.
    const BEFORE_IDLE_RETURN_S: u64 = 54;
}

/// Guards against deleting the machines of healthy zones from within a partition.
#[test]
fn leader_without_proof_deletes_no_machine() {
    let mut scenario = Scenario::new(12);
    assert_eq!(scenario.advance(8), []);
    scenario.sends_heartbeats = |m| zone_of(m) == "a";
    scenario.siblings = &[];
    scenario.env.store_up = false;
    assert_eq!(scenario.node.leading(), Some(1));
    assert_eq!(scenario.advance(Scenario::BEFORE_IDLE_RETURN_S - 8), []);
    assert_eq!(
        scenario.node.leading(),
        Some(1),
        "no later term is known to it"
    );
    // It does not return idle machines either.
    assert_eq!(scenario.advance(100), []);
}

/// Even a leader that reaches the store deletes no machine if it receives no heartbeat from
/// other zones.
#[test]
fn leader_without_contact_to_other_zones_deletes_no_machine() {
    let deletions_with = |siblings| {
        let mut scenario = Scenario::new(12);
        scenario.advance(8);
        scenario.sends_heartbeats = |m| zone_of(m) == "a";
        scenario.siblings = siblings;
        scenario.advance(Scenario::BEFORE_IDLE_RETURN_S - 8)
    };
    assert_eq!(deletions_with(&[]), []);
    let deletions = deletions_with(&[("n2", true)]);
    assert!(
        !deletions.is_empty(),
        "a sibling in another zone is reachable, so the leader is not isolated"
    );
}

/// No machine is deleted for missing heartbeats while the store is down for all controllers.
/// Afterwards the machines that are still unresponsive are deleted, few with each call.
#[test]
fn unresponsive_machines_are_deleted_in_small_batches_after_store_outage() {
    let mut scenario = Scenario::new(30);
    assert_eq!(scenario.advance(8), []);
    scenario.sends_heartbeats = |m| m >= 8;
    scenario.siblings = &[("n1", false), ("n2", false)];
    scenario.env.store_up = false;
    assert_eq!(scenario.advance(25), []);
    scenario.sends_heartbeats = |m| m >= 7;
    assert_eq!(scenario.advance(3), []);
    scenario.siblings = &[("n1", true), ("n2", true)];
    scenario.env.store_up = true;
    let deletions = scenario.advance(Scenario::BEFORE_IDLE_RETURN_S - 36);
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
    let mut scenario = Scenario::new(12);
    assert_eq!(scenario.advance(8), []);
    scenario.env.cloud_up = false;
    scenario.sends_heartbeats = |m| m > 0;
    let attempted = scenario.advance(20);
    assert!(!attempted.is_empty(), "a deletion is attempted");
    scenario.sends_heartbeats = |_| true;
    scenario.advance(3);
    scenario.env.cloud_up = true;
    assert_eq!(scenario.advance(Scenario::BEFORE_IDLE_RETURN_S - 31), []);
}

/// During a store outage the leader has to stop renewing leases. Machines whose heartbeats
/// it refused must not count as unresponsive afterwards.
#[test]
fn machines_with_refused_heartbeats_do_not_count_as_unresponsive() {
    let mut scenario = Scenario::new(12);
    assert_eq!(scenario.advance(4), []);
    scenario.siblings = &[("n1", false), ("n2", false)];
    scenario.env.store_up = false;
    assert_eq!(scenario.advance(43), []);
    scenario.siblings = &[("n1", true), ("n2", true)];
    scenario.env.store_up = true;
    assert_eq!(scenario.advance(Scenario::BEFORE_IDLE_RETURN_S - 47), []);
}
