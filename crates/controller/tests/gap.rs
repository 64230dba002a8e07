//! The fixture: cancellations that are confirmed elsewhere while this leader is out of reach
//! of the state service. What holds then holds by time alone (docs/meetings.md).

mod common;

use common::leader_fixture::{
    JOB_ID, LeaderFixture, START, cancellation_row, on_fast_clock, single_page,
};
use common::{config_with_team, row, step_with};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, RequestId, SECOND, records};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::encode;
use dillcleat_wire::store::{LeaseId, Mutation};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, cancel_path};
use dillcleat_wire::worker::Command;

/// Whoever was told at once after the last read is owed the end of the tasks, and the
/// lease of a report that was answered last runs from its sending.
fn holds(fixture: &LeaderFixture, read: Micros, last_answer: Micros) {
    let (lease, cancel) = (fixture.config.worker_lease, fixture.config.cancel_deadline);
    assert!(
        on_fast_clock(last_answer + lease - read) < cancel,
        "read at {read}, answered until {last_answer}"
    );
    assert!(last_answer > read + 10 * SECOND, "for no reason so short");
}

#[test]
fn a_read_counts_from_when_it_was_sent_however_late_its_answer_is() {
    let mut fixture = LeaderFixture::elected();
    // The watch was open before the refusal; it is answered after 9 s, with nothing.
    fixture.answer_watches(9 * SECOND, Vec::new());
    // It is resumed, and not answered any more.
    let last = fixture.last_answered_heartbeat(9 * SECOND);
    holds(&fixture, 9 * SECOND, last);
    let mut fixture = LeaderFixture::elected();
    for s in 1..9 {
        fixture.step(s * SECOND, Input::Tick);
    }
    fixture.env.store_up = false;
    fixture.answer_watches(9 * SECOND, Vec::new());
    fixture.env.store_up = true;
    let open = std::mem::take(&mut fixture.env.open_watches);
    let last = fixture.last_answered_heartbeat(10 * SECOND);
    holds(&fixture, 9 * SECOND, last);
    // Held for half a minute, then answered: it was asked for at 9 s.
    fixture.env.open_watches = open;
    fixture.answer_watches(100 * SECOND, Vec::new());
    let fresh = std::mem::take(&mut fixture.env.open_watches);
    assert!(
        fixture.send_heartbeat(100 * SECOND).is_none(),
        "as old as its sending"
    );
    fixture.env.open_watches = fresh;
    fixture.answer_watches(101 * SECOND, Vec::new());
    assert!(
        fixture.send_heartbeat(101 * SECOND).is_some(),
        "asked for at 100 s"
    );
}

/// It knows of nothing that was confirmed before it was elected: a leader that was refused
/// may have kept the leases up until then. It once answered from its election on.
#[test]
fn a_new_leader_answers_nobody_before_it_has_read_the_cancellations() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::QUEUE);
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), Some(1));
    assert!(fixture.send_heartbeat(SECOND).is_none(), "nothing is read");
    let listing = fixture
        .env
        .held_listings
        .pop()
        .expect("the queue is read first");
    let reply = Err(CallError::NoAnswer);
    fixture.step(2 * SECOND, Input::Store { id: listing, reply });
    assert!(fixture.send_heartbeat(2 * SECOND).is_none());
    fixture.step(3 * SECOND, Input::Tick);
    let listing = fixture.env.held_listings.pop().expect("once more");
    fixture.env.held_listing_prefix = Some(records::TASKS);
    let reply = single_page(&fixture.env.queue_rows);
    fixture.step(4 * SECOND, Input::Store { id: listing, reply });
    assert!(
        fixture.send_heartbeat(4 * SECOND).is_some(),
        "no cancellation there"
    );
    // What is read counts from its sending, here too.
    let last = fixture.last_answered_heartbeat(5 * SECOND);
    holds(&fixture, 3 * SECOND, last);
}

/// The pages come slowly, and then nothing more.
#[test]
fn a_load_counts_from_the_sending_of_its_first_page() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::TASKS);
    for s in 0..10 {
        fixture.step(s * SECOND, Input::Tick);
    }
    let listing = fixture.env.held_listings.pop().expect("tasks are read");
    let reply = single_page(&fixture.env.task_rows);
    fixture.step(9 * SECOND, Input::Store { id: listing, reply });
    assert!(fixture.node.fence().is_some(), "all is read");
    let last = fixture.last_answered_heartbeat(10 * SECOND);
    holds(&fixture, 0, last);
}

/// While the placements are yet to be read any machine may hold what is cancelled.
#[test]
fn a_leader_that_reads_yet_answers_no_longer_than_the_oldest_cancellation_lets_it() {
    let limit = config_with_team().blind_limit();
    for (ago, answers) in [(SECOND, true), (limit + SECOND, false)] {
        let mut fixture = LeaderFixture::new();
        let mut queue = vec![cancellation_row(START - ago)];
        queue.append(&mut fixture.env.queue_rows);
        fixture.env.queue_rows = queue;
        fixture.env.held_listing_prefix = Some(records::TASKS);
        fixture.step(0, Input::Tick);
        assert_eq!(fixture.send_heartbeat(SECOND).is_some(), answers, "{ago}");
        let last = fixture.last_answered_heartbeat(2 * SECOND);
        let lease_ends = on_fast_clock(last + fixture.config.worker_lease + ago);
        assert!(lease_ends < fixture.config.cancel_deadline, "{last}");
    }
}

/// A leader that is elected again begins anew.
#[test]
fn what_was_read_in_a_term_before_does_not_count() {
    let mut fixture = LeaderFixture::elected();
    assert!(fixture.send_heartbeat(SECOND).is_some());
    fixture.env.held_listing_prefix = Some(records::QUEUE);
    let message = Message::Heartbeat {
        term: 7,
        is_leader: false,
        store_reachable: true,
        workers_reachable: false,
        requests_per_s: 0,
    };
    let from = "n1".to_string();
    fixture.step(2 * SECOND, Input::Peer { from, message });
    assert_eq!(fixture.node.leading(), None);
    assert!(fixture.send_heartbeat(2 * SECOND).is_none());
    for t in 20..80 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert!(fixture.node.leading().is_some());
    assert!(fixture.send_heartbeat(8 * SECOND).is_none());
}

/// The machine couldn't be reached when its job was cancelled. When it can, the leader
/// has had no read for a while. It once answered without the stop, and so kept the task
/// for as long as it answered at all.
#[test]
fn a_known_cancellation_is_obeyed_without_a_read() {
    let mut fixture = LeaderFixture::elected();
    assert!(fixture.send_heartbeat(SECOND / 2).is_some());
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    // Without a read a launch would be too late by now.
    for s in 2..12 {
        fixture.step(s * SECOND, Input::Tick);
    }
    let commands = fixture.send_heartbeat(12 * SECOND).expect("an answer");
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// The task stays, whatever the cause, the cloud deletes nothing, and the leader reads
/// all there is: the machine is left to its lease in time, and answered again once the
/// task is seen gone.
#[test]
fn a_machine_that_may_hold_what_is_cancelled_is_left_to_its_lease() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.cloud_up = false;
    let told = SECOND;
    fixture.answer_watches(
        told,
        vec![LeaderFixture::put_event(cancellation_row(START + told))],
    );
    let mut last = 0;
    for s in 2..60 {
        let at = s * SECOND;
        fixture.step(at, Input::Tick);
        fixture.answer_watches(at, Vec::new());
        if fixture.send_heartbeat(at).is_some() {
            last = at;
        }
    }
    holds(&fixture, told, last);
    fixture.task_present = false;
    assert!(
        fixture.send_heartbeat(60 * SECOND).is_some(),
        "nothing is left there"
    );
}

/// Most controllers are refused and say so, and none says otherwise: that looks like an
/// outage, and one that isn't heard may have been elected meanwhile (seed 11387).
#[test]
fn who_cannot_prove_the_lead_deletes_nothing_for_a_cancellation() {
    let mut fixture = LeaderFixture::elected();
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    fixture.env.store_up = false;
    let mut deleted = false;
    for t in 12..400 {
        let at = t * 100 * MILLISECOND;
        let message = Message::Heartbeat {
            term: 1,
            is_leader: false,
            store_reachable: false,
            workers_reachable: false,
            requests_per_s: 0,
        };
        let from = "n1".to_string();
        fixture.step(at, Input::Peer { from, message });
        let now = START + at;
        let (_, calls) = step_with(
            &mut fixture.node,
            now,
            Input::Tick,
            &fixture.machine_rows,
            &mut fixture.env,
        );
        deleted |= calls.iter().any(|c| matches!(c, CloudRequest::Delete(_)));
    }
    assert!(!deleted);
}

/// The write of a placement had no answer and was carried out late, before its second try.
#[test]
fn a_try_that_was_carried_out_late_is_looked_for() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![common::machine_type(8.0)];
    fixture.step(0, Input::Tick);
    fixture.send_heartbeat(SECOND / 10);
    fixture.env.store_up = false;
    fixture.step(SECOND / 5, Input::Tick);
    fixture.env.store_up = true;
    let chunk = records::tasks_key(JOB_ID, records::TaskRange::Chunk(0));
    fixture.env.conflicting_key = Some(chunk);
    for t in 3..8 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert!(fixture.env.refused_reads > 0, "the chunk is read");
    assert!(fixture.node.leading().is_some(), "nobody else wrote it");
}

/// A copy of an older report has no commands in its answer: whoever sent it doesn't hear
/// them, and what is launched would count as on its way.
#[test]
fn an_older_report_is_answered_without_commands() {
    let mut fixture = LeaderFixture::elected();
    fixture.send_heartbeat(SECOND / 2);
    fixture.send_heartbeat(SECOND);
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    fixture.sequence -= 2;
    assert_eq!(fixture.send_heartbeat(SECOND), Some(vec![]));
    fixture.sequence += 1;
    let commands = fixture.send_heartbeat(SECOND).expect("an answer");
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
}

#[test]
fn a_later_term_in_the_store_ends_an_earlier_one() {
    let mut fixture = LeaderFixture::elected();
    fixture.step(SECOND / 10, Input::Tick);
    let term = row(records::TERM.into(), &records::TermRecord { term: 9 });
    fixture.answer_watches(SECOND / 2, vec![LeaderFixture::put_event(term)]);
    assert_eq!(fixture.node.leading(), None);
}

/// Its transaction may be carried out yet: with the lease gone it can't set the key.
#[test]
fn whoever_is_not_elected_lets_its_lease_go() {
    let mut fixture = LeaderFixture::new();
    fixture.env.conflicting_key = Some(records::LEAD.into());
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), None);
    assert_eq!(fixture.env.revoked_leases, [LeaseId(1)]);
}

/// Carried out late, after its job has ended and its description is dropped.
#[test]
fn a_submission_compares_that_its_job_is_neither_open_nor_ended() {
    let mut fixture = LeaderFixture::new();
    fixture.env.machine_types = vec![common::machine_type(8.0)];
    for t in 0..30 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let id = "req-000002";
    let spec = JobSpec {
        team: "t".into(),
        ..JobSpec::plain(id, JobKind::Batch, 1, 1.0)
    };
    fixture.env.transactions.clear();
    let input = Input::Request {
        id: RequestId(7),
        method: "POST".into(),
        target: JOBS_PATH.into(),
        body: encode(&spec),
    };
    assert_eq!(fixture.step(3 * SECOND, input), [201]);
    let open = records::open_key(id);
    let puts = |c: &Mutation| matches!(c, Mutation::Put { key, .. } if *key == open);
    let submission = fixture
        .env
        .transactions
        .iter()
        .find(|t| t.then.iter().any(puts));
    let compared = &submission.expect("it is stored").compare;
    for key in [records::job_key(id), open.clone()] {
        assert!(compared.iter().any(|c| c.key == key && c.version == 0));
    }
}

/// Carried out late, after its job is done.
#[test]
fn a_cancellation_compares_the_mark() {
    let mut fixture = LeaderFixture::elected();
    let open = fixture.env.queue_rows[0].clone();
    fixture.env.readable_row = Some(open);
    fixture.env.transactions.clear();
    let input = Input::Request {
        id: RequestId(7),
        method: "POST".into(),
        target: cancel_path(JOB_ID),
        body: Vec::new(),
    };
    assert_eq!(fixture.step(SECOND, input), [200]);
    let cancelled = records::cancelled_key(JOB_ID);
    let puts = |c: &Mutation| matches!(c, Mutation::Put { key, .. } if *key == cancelled);
    let mut writes = fixture.env.transactions.iter();
    let cancellation = writes.find(|t| t.then.iter().any(puts));
    let compared = &cancellation.expect("it is stored").compare;
    let mark = records::job_key(JOB_ID);
    assert!(compared.iter().any(|c| c.key == mark && c.version == 0));
}

/// Whoever leads next is protected by nothing else.
#[test]
fn every_write_of_a_leader_compares_its_term() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![common::machine_type(8.0)];
    fixture.step(0, Input::Tick);
    fixture.env.transactions.clear();
    fixture.task_completed = true;
    for t in 1..20 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        fixture.send_heartbeat(t * 100 * MILLISECOND);
    }
    let writes = &fixture.env.transactions;
    assert!(writes.len() > 1, "an end and a placement");
    for txn in writes {
        let term = |c: &dillcleat_wire::store::Precondition| c.key == records::TERM;
        assert!(txn.compare.iter().any(term), "{txn:?}");
    }
}

/// The task is not seen gone though its machine reports: who can prove to lead doesn't wait
/// for the lease.
#[test]
fn a_cancelled_task_that_stays_costs_its_machine_in_time() {
    let mut fixture = LeaderFixture::elected();
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    let mut deleted = None;
    for t in 10..400 {
        let at = t * 100 * MILLISECOND;
        let now = START + at;
        let tick = Input::Tick;
        let (_, calls) = step_with(
            &mut fixture.node,
            now,
            tick,
            &fixture.machine_rows,
            &mut fixture.env,
        );
        let deletes = |c: &CloudRequest| matches!(c, CloudRequest::Delete(_));
        if calls.iter().any(deletes) {
            deleted.get_or_insert(at);
        }
        fixture.answer_watches(at, Vec::new());
        if t % 10 == 0 {
            fixture.send_heartbeat(at);
        }
    }
    let deleted = deleted.expect("it is deleted");
    assert!(
        deleted < SECOND + fixture.config.cancel_deadline * 4 / 10,
        "{deleted}"
    );
}

/// A machine was deleted, and a copy of an old report of it arrives.
#[test]
fn what_is_gone_does_not_come_back_by_an_old_report() {
    let mut fixture = LeaderFixture::elected();
    fixture.send_heartbeat(SECOND / 2);
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    let mut deleted = 0;
    for t in 20..600 {
        let at = t * 100 * MILLISECOND;
        let now = START + at;
        let tick = Input::Tick;
        let (_, calls) = step_with(
            &mut fixture.node,
            now,
            tick,
            &fixture.machine_rows,
            &mut fixture.env,
        );
        let deletion = |c: &CloudRequest| matches!(c, CloudRequest::Delete(_));
        deleted += calls.into_iter().filter(deletion).count();
        fixture.answer_watches(at, Vec::new());
        // Until the deletion it reports; what arrives later was sent before.
        if t % 10 == 0 && (t < 160 && deleted == 0 || t == 250) {
            fixture.send_heartbeat(at);
        }
    }
    assert_eq!(deleted, 1, "it is not known again");
}

/// The leader may end before the write gets through: the machine keeps the result for
/// the next one.
#[test]
fn an_end_is_reaped_only_once_it_is_stored() {
    for tasks in [1, 2] {
        let mut fixture = LeaderFixture::with_tasks(tasks);
        fixture.step(0, Input::Tick);
        fixture.send_heartbeat(SECOND / 2);
        fixture.env.store_up = false;
        fixture.task_completed = true;
        assert_eq!(fixture.send_heartbeat(SECOND), Some(vec![]));
        fixture.step(2 * SECOND, Input::Tick);
        assert_eq!(fixture.send_heartbeat(2 * SECOND), Some(vec![]));
        fixture.env.store_up = true;
        for t in 21..30 {
            fixture.step(t * 100 * MILLISECOND, Input::Tick);
        }
        let commands = fixture.send_heartbeat(3 * SECOND).expect("an answer");
        assert!(
            matches!(&commands[..], [Command::Reap { .. }]),
            "{tasks}: {commands:?}"
        );
    }
}

/// Its mark has changed, as a placement's write shows, and can't be read, while the watch
/// tells of the cancellation: its tasks once ran on until the mark was read.
#[test]
fn a_cancellation_is_obeyed_though_its_mark_can_not_be_read() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.conflicting_key = Some(records::job_key(JOB_ID));
    fixture.env.machine_types = vec![common::machine_type(8.0)];
    fixture.step(0, Input::Tick);
    assert!(fixture.send_heartbeat(SECOND / 2).is_some());
    fixture.step(SECOND, Input::Tick);
    assert!(
        fixture.env.refused_reads > 0,
        "a placement of the second task"
    );
    fixture.answer_watches(
        3 * SECOND / 2,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    let commands = fixture.send_heartbeat(2 * SECOND).expect("an answer");
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// The end of a job meets its cancellation just as the state service goes out: its record
/// is read until it is answered, and not as fast as refusals come.
#[test]
fn a_refused_read_is_made_again_after_a_pause() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.conflicting_key = Some(records::job_key(JOB_ID));
    fixture.task_completed = true;
    fixture.send_heartbeat(SECOND / 10);
    for t in 2..22 {
        fixture.step(t * SECOND / 20, Input::Tick);
    }
    assert!(
        (4..=11).contains(&fixture.env.refused_reads),
        "{} reads in a second",
        fixture.env.refused_reads
    );
}

/// A lease that takes up the whole of `cancel_s` leaves no time: then reports are
/// answered all the same, and what may come late by how much is said.
#[test]
fn settings_that_leave_no_time_are_said_and_served() {
    let mut config = config_with_team();
    assert_eq!(config.cancel_shortfall(), None);
    config.worker_lease = config.cancel_deadline - SECOND;
    let short = config.cancel_shortfall().expect("no time is left");
    assert_eq!(config.blind_limit(), short);
    // With the margin, no end comes later than this.
    let latest = config.blind_limit() + config.worker_lease;
    assert!(latest <= config.cancel_deadline + short);
    config.worker_lease = config.cancel_deadline / 2;
    assert_eq!(config.cancel_shortfall(), None);
}
