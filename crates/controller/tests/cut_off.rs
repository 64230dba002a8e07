//! A leader in a zone that is cut off, as it looks from inside: its own machines
//! report, nobody else is heard.

mod common;

use common::{Environment, heartbeat_request, machine_row, step_with, three_zone_node};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, Node, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::{KeyValue, StoreResponse, WatchBatch};

const START: Micros = 1000 * SECOND;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Machines by number, a third of them in each zone.
fn zone(machine: usize) -> &'static str {
    ZONES[machine % 3]
}

struct Day {
    node: Node,
    rows: Vec<KeyValue>,
    at: Micros,
    env: Environment,
    /// Machines that report.
    heard: fn(usize) -> bool,
    /// Siblings that are heard, and whether the state service answers them.
    siblings: &'static [(&'static str, bool)],
    deletions: Vec<(Micros, Vec<String>)>,
}

impl Day {
    fn new(machines: usize) -> Day {
        let rows = (0..machines).map(|i| machine_row(&format!("m{i:03}"), zone(i)));
        Day {
            node: three_zone_node(),
            rows: rows.collect(),
            at: 0,
            env: Environment::default(),
            heard: |_| true,
            siblings: &[("n1", true), ("n2", true)],
            deletions: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        let now = START + self.at;
        let (_, calls) = step_with(&mut self.node, now, input, &self.rows, &mut self.env);
        for call in calls {
            if let CloudRequest::Delete(names) = call {
                self.deletions.push((self.at, names));
            }
        }
    }

    /// Lets so many seconds pass; tells what was to be deleted in them.
    fn pass(&mut self, time: u64) -> Vec<(Micros, Vec<String>)> {
        let end = self.at + time * SECOND;
        while self.at < end {
            self.step(Input::Tick);
            for id in std::mem::take(&mut self.env.open_watches) {
                let quiet = WatchBatch {
                    revision: 2,
                    events: Vec::new(),
                };
                let reply = match self.env.store_up {
                    true => Ok(StoreResponse::WatchBatch(quiet)),
                    false => Err(CallError::NoAnswer),
                };
                self.step(Input::Store { id, reply });
            }
            if self.at.is_multiple_of(SECOND / 2) {
                for (name, served) in self.siblings {
                    let message = Message::Heartbeat {
                        term: 0,
                        is_leader: false,
                        store_reachable: *served,
                        workers_reachable: false,
                        requests_per_s: 0,
                    };
                    let from = name.to_string();
                    self.step(Input::Peer { from, message });
                }
            }
            if self.at.is_multiple_of(2 * SECOND) {
                let heard = self.heard;
                for machine in (0..self.rows.len()).filter(|m| heard(*m)) {
                    let seq = self.at / MILLISECOND + 1;
                    let input = heartbeat_request(&format!("m{machine:03}"), zone(machine), seq);
                    self.step(input);
                }
            }
            self.at += 100 * MILLISECOND;
        }
        std::mem::take(&mut self.deletions)
    }

    /// Machines that nobody needs are returned after a minute: until then only
    /// silence is a reason to delete any.
    const FIRST_MINUTE: u64 = 54;
}

/// Such a leader once had the machines of both healthy zones deleted, and 100 of them
/// were gone when the cut ended (incident late-deletion).
#[test]
fn who_cannot_prove_to_lead_deletes_nothing() {
    let mut day = Day::new(12);
    assert_eq!(day.pass(8), []);
    day.heard = |m| zone(m) == "a";
    day.siblings = &[];
    day.env.store_up = false;
    assert_eq!(day.node.leading(), Some(1));
    assert_eq!(day.pass(Day::FIRST_MINUTE - 8), []);
    assert_eq!(day.node.leading(), Some(1), "nobody has told it otherwise");
    // Nor does it return what is idle.
    assert_eq!(day.pass(100), []);
}

/// It may reach the state service all the same.
#[test]
fn who_hears_only_its_own_zone_doubts_itself() {
    let deleted = |siblings| {
        let mut day = Day::new(12);
        day.pass(8);
        day.heard = |m| zone(m) == "a";
        day.siblings = siblings;
        day.pass(Day::FIRST_MINUTE - 8)
    };
    assert_eq!(deleted(&[]), []);
    let told = deleted(&[("n2", true)]);
    assert!(
        !told.is_empty(),
        "a sibling elsewhere is heard: it is not cut off"
    );
}

/// While the state service is out for everybody no machine goes for its silence; once
/// it is back those go that are silent still, and no more of them by one call than
/// a late call may cost.
#[test]
fn silence_waits_for_a_proof_and_few_machines_go_by_one_call() {
    let mut day = Day::new(30);
    assert_eq!(day.pass(8), []);
    day.heard = |m| m >= 8;
    day.siblings = &[("n1", false), ("n2", false)];
    day.env.store_up = false;
    assert_eq!(day.pass(25), []);
    day.heard = |m| m >= 7;
    assert_eq!(day.pass(3), []);
    day.siblings = &[("n1", true), ("n2", true)];
    day.env.store_up = true;
    let told = day.pass(Day::FIRST_MINUTE - 36);
    assert!(told.iter().all(|(_, names)| names.len() <= 5), "{told:?}");
    let mut names: Vec<String> = told.into_iter().flat_map(|(_, names)| names).collect();
    names.sort();
    let silent: Vec<String> = (0..7).map(|i| format!("m{i:03}")).collect();
    assert_eq!(names, silent);
}

/// A deletion that could not be sent is not sent when its machine is back.
#[test]
fn who_is_heard_before_its_deletion_goes_out_stays() {
    let mut day = Day::new(12);
    assert_eq!(day.pass(8), []);
    day.env.cloud_up = false;
    day.heard = |m| m > 0;
    let tried = day.pass(20);
    assert!(!tried.is_empty(), "it was to be deleted");
    day.heard = |_| true;
    day.pass(3);
    day.env.cloud_up = true;
    assert_eq!(day.pass(Day::FIRST_MINUTE - 31), []);
}

/// After an outage in which the leader had to stop answering reports every machine once
/// looked silent, and all would have been deleted before they reported again.
#[test]
fn whoever_was_refused_an_answer_was_not_silent() {
    let mut day = Day::new(12);
    assert_eq!(day.pass(4), []);
    day.siblings = &[("n1", false), ("n2", false)];
    day.env.store_up = false;
    assert_eq!(day.pass(43), []);
    day.siblings = &[("n1", true), ("n2", true)];
    day.env.store_up = true;
    assert_eq!(day.pass(Day::FIRST_MINUTE - 47), []);
}
