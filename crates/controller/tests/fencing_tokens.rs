//! The fencing tokens that an election reserves, and the higher tokens that a leader gives to a
//! machine.

mod common;

use common::fleet::Fleet;
use common::leader_fixture::LeaderFixture;
use common::{config_with_team, machine_type, nth_term, row};
use dillcleat_controller::records::{self, TermRecord};
use dillcleat_controller::{CommandCounters, Input, SECOND};
use dillcleat_wire::store::{Mutation, decode_value};
use dillcleat_wire::user::{JobKind, JobSpec};

/// A term that a version without reserved tokens has stored.
const TERM_OF_OTHER_VERSION: u64 = 41;

/// The token of the latest reply to a heartbeat.
fn reply_token(fixture: &mut LeaderFixture, at: u64) -> u64 {
    let reply = fixture.heartbeat_reply(at).expect("a reply");
    reply.fencing_token
}

#[test]
fn tokens_of_a_term_are_above_the_stored_term_of_any_version_and_up_to_the_next_one() {
    let mut fixture = LeaderFixture::new();
    let stored = TermRecord {
        term: TERM_OF_OTHER_VERSION,
    };
    fixture.env.shared_rows = vec![row(records::TERM_KEY.into(), &stored)];
    // A node without heartbeats lets others go first.
    for at in [0, SECOND / 2] {
        fixture.step(at, Input::Tick);
    }
    let term = TERM_OF_OTHER_VERSION + nth_term(1);
    assert_eq!(fixture.node.leading(), Some(term));
    let mutations = fixture.env.transactions.iter().flat_map(|txn| &txn.then);
    let stored_terms = mutations.filter_map(|mutation| match mutation {
        Mutation::Put { key, value, .. } if key == records::TERM_KEY => {
            decode_value::<TermRecord>(value)
        }
        _ => None,
    });
    let stored_terms: Vec<u64> = stored_terms.map(|record| record.term).collect();
    assert_eq!(stored_terms, [term], "the last token of the term");
    fixture.fencing_token = TERM_OF_OTHER_VERSION;
    assert_eq!(
        reply_token(&mut fixture, SECOND),
        TERM_OF_OTHER_VERSION + 1,
        "the first token of the term"
    );
}

#[test]
fn leader_is_deposed_by_a_token_of_its_successor_but_not_by_its_own() {
    let mut fixture = LeaderFixture::elected();
    fixture.fencing_token = nth_term(1) - 5;
    assert_eq!(reply_token(&mut fixture, SECOND), nth_term(1) - 5);
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    fixture.fencing_token = nth_term(1) + 1;
    assert_eq!(fixture.send_heartbeat(2 * SECOND), None);
    assert_eq!(fixture.node.leading(), None);
}

#[test]
fn attempt_launched_under_the_last_token_of_a_term_is_reaped_in_the_next_term() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.advance(SECOND);
    fleet.worker("m0").fencing_token = nth_term(1);
    fleet.advance(3 * SECOND);
    fleet.task_durations.insert("req-000001".into(), SECOND);
    fleet.submit(array("req-000001", 2));
    for _ in 0..100 {
        fleet.advance(SECOND / 10);
        if fleet.worker("m0").exited_tasks() < 2 && fleet.starts.len() == 2 {
            let still_runs = fleet.worker("m0").runs_job("req-000001");
            assert!(still_runs || fleet.node.leading() == Some(nth_term(2)));
        }
        fleet.deliver_batch_copies();
    }
    assert_eq!(fleet.node.leading(), Some(nth_term(2)));
    assert_eq!(fleet.worker("m0").exited_tasks(), 0);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
}

fn array(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        team: "t".into(),
        ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
    }
}

/// Runs jobs of a second each on one machine with the given fault, until after the last has ended.
fn run_short_jobs(fault: impl Fn(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.advance(SECOND);
    fault(&mut fleet);
    for n in 1..20 {
        let id = format!("req-{n:06}");
        fleet.task_durations.insert(id.clone(), SECOND);
        fleet.submit(array(&id, 2));
        fleet.advance(SECOND);
    }
    fleet.advance(15 * SECOND);
    fleet
}

#[test]
fn exited_attempts_are_reaped_if_replies_to_commands_are_late_or_commands_are_lost() {
    let faults: [fn(&mut Fleet); 3] = [
        |_| {},
        |fleet| fleet.worker("m0").command_replies_late = true,
        |fleet| fleet.worker("m0").commands_lost = true,
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        let mut fleet = run_short_jobs(fault);
        assert!(fleet.starts.len() > 20, "{number}: {:?}", fleet.starts);
        assert_eq!(fleet.worker("m0").exited_tasks(), 0, "fault {number}");
        assert_eq!(fleet.worker("m0").incarnation, 1, "fault {number}");
    }
}

#[test]
fn refused_batches_returned_launches_and_unreaped_exits_are_counted() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    fleet.add_machine("m0", "a", false);
    fleet.advance(3 * SECOND);
    assert_eq!(fleet.node.command_counters(), CommandCounters::default());
    fleet.worker("m0").add_unexpected_task("req-000009/0");
    fleet.advance(5 * SECOND);
    let counters = fleet.node.command_counters();
    assert_eq!(counters.returned_launches, 1, "counted once, then stopped");
    assert_eq!(fleet.worker("m0").running_tasks(), 0);
    // Commands for the former incarnation are refused until the leader has heard of the new one.
    fleet.worker("m0").incarnation += 1;
    fleet.submit(array("req-000001", 2));
    fleet.advance(5 * SECOND);
    assert!(fleet.node.command_counters().refused_batches > 0);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    // The two tasks are listed; the unexpected one was reaped before.
    let counters = fleet.node.command_counters();
    assert_eq!((counters.unreaped_exits, counters.max_listed_tasks), (0, 2));
}
