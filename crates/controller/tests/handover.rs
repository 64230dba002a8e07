//! What meets the change from one leader to the next: cancellations, answers that get
//! lost, reports of long ago.

mod common;

use common::leader_fixture::{JOB_ID, LeaderFixture, START, cancellation_row, on_fast_clock};
use common::{heartbeat_request, machine_row, machine_type, machine_types_row, row, step_with};
use dillcleat_controller::records::{
    self, JobStateRecord, LeaderRecord, OpenJob, PlacedTask, RecordedState, TaskChunk, TaskRange,
    TermRecord,
};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreResponse, WatchEvent, decode_value,
};
use dillcleat_wire::worker::Command;

/// Answers the listing that waits.
fn listed(fixture: &mut LeaderFixture, at: Micros, rows: &[KeyValue], more: bool, revision: u64) {
    let id = fixture.env.held_listings.pop().expect("a listing");
    let reply = Ok(StoreResponse::RangePage(RangePage {
        rows: rows.to_vec(),
        more,
        revision,
    }));
    fixture.step(at, Input::Store { id, reply });
}

fn tasks() -> String {
    records::tasks_key(JOB_ID, TaskRange::Chunk(0))
}

/// Placements of the job in what was written last of its tasks.
fn placed(fixture: &LeaderFixture) -> Vec<PlacedTask> {
    let key = tasks();
    let changes = fixture.env.transactions.iter().rev().flat_map(|t| &t.then);
    let mut records = changes.filter_map(|c| match c {
        Mutation::Put { key: k, value, .. } if *k == key => decode_value::<TaskChunk>(value),
        _ => None,
    });
    records.next().map_or(Vec::new(), |c| c.placed)
}

fn drops(fixture: &LeaderFixture, key: &str) -> bool {
    let mut changes = fixture.env.transactions.iter().flat_map(|t| &t.then);
    changes.any(|c| matches!(c, Mutation::Delete { key: k } if k == key))
}

fn stops(commands: Option<Vec<Command>>) -> bool {
    matches!(commands.as_deref(), Some([Command::Stop { .. }]))
}

/// Rows come in the order of keys: a cancellation may land on a page already read, one
/// that is read comes before its job. While there are more, nobody is answered.
#[test]
fn cancellations_are_known_whatever_page_they_land_on() {
    let other = row(records::cancelled_key("req-000009"), &row_of(START));
    for read_first in [false, true] {
        let mut fixture = LeaderFixture::new();
        fixture.env.held_listing_prefix = Some(records::QUEUE);
        fixture.step(0, Input::Tick);
        let mut first = vec![other.clone()];
        if read_first {
            first.insert(0, cancellation_row(START));
        }
        listed(&mut fixture, SECOND, &first, true, 5);
        assert!(
            fixture.send_heartbeat(SECOND).is_none(),
            "more may be cancelled"
        );
        let jobs = fixture.env.queue_rows.clone();
        listed(&mut fixture, 2 * SECOND, &jobs, false, 9);
        assert!(fixture.node.fence().is_some());
        if !read_first {
            assert_eq!(
                fixture.env.queue_watch_revision,
                Some(5),
                "from the first page on"
            );
            fixture.answer_watches(
                2 * SECOND,
                vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
            );
        }
        assert!(stops(fixture.send_heartbeat(3 * SECOND)));
    }
}

fn row_of(at: Micros) -> records::CancelledJob {
    records::CancelledJob {
        cancelled_at_us: at,
    }
}

/// None of them leads for long enough to delete the machine, the stop doesn't arrive:
/// the lease ends it, counted from the cancellation and from no leader's beginning.
#[test]
fn leaders_that_change_all_the_time_keep_no_cancelled_task() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.cloud_up = false;
    let told = SECOND;
    fixture
        .env
        .queue_rows
        .insert(0, cancellation_row(START + told));
    let (mut last, mut terms) = (0, Vec::new());
    for t in 10..900 {
        let at = t * 100 * MILLISECOND;
        if t % 50 == 0 {
            let message = Message::Heartbeat {
                term: 1000,
                is_leader: false,
                store_reachable: true,
                workers_reachable: false,
                requests_per_s: 0,
            };
            let from = "n1".to_string();
            fixture.step(at, Input::Peer { from, message });
        }
        fixture.step(at, Input::Tick);
        fixture.answer_watches(at, Vec::new());
        fixture.fencing_token = fixture.node.leading().unwrap_or(fixture.fencing_token);
        terms.push(fixture.fencing_token);
        if t % 10 == 0 && fixture.send_heartbeat(at).is_some() {
            last = at;
        }
    }
    terms.dedup();
    assert!(terms.len() > 10, "{terms:?}");
    assert!(last > 10 * SECOND);
    let ends = on_fast_clock(last + fixture.config.worker_lease - told);
    assert!(
        ends < fixture.config.cancel_deadline,
        "answered until {last}"
    );
}

/// Nobody led for longer than a lease: what was placed is over with its session, also
/// that of a job that was cancelled meanwhile.
#[test]
fn what_was_placed_before_all_leases_ended_is_over() {
    for is_cancelled in [false, true] {
        let mut fixture = LeaderFixture::new();
        fixture.env.machine_types = vec![machine_type(8.0)];
        if is_cancelled {
            fixture.env.queue_rows.insert(0, cancellation_row(START));
        }
        (fixture.incarnation, fixture.task_present) = (2, false);
        for t in 0..30 {
            fixture.step(t * 100 * MILLISECOND, Input::Tick);
            if t % 10 == 5 {
                fixture.send_heartbeat(t * 100 * MILLISECOND);
            }
        }
        let again = [PlacedTask::from((0, 2, "m".to_string(), 2))];
        assert_eq!(placed(&fixture) == again, !is_cancelled);
        assert_eq!(
            drops(&fixture, &records::cancelled_key(JOB_ID)),
            is_cancelled
        );
    }
}

/// A zone is cut off for longer than a lease, with a controller that answers its workers:
/// silence proves nothing, not even a long one, only the end of the machine does.
#[test]
fn what_is_silent_is_placed_again_only_once_its_machine_is_gone() {
    let mut fixture = LeaderFixture::new();
    fixture.machine_rows.push(machine_row("n", "a"));
    fixture.env.machine_types = vec![machine_type(8.0)];
    let mut deleted = false;
    // Machines that are idle are returned after a minute.
    for t in 0..540 {
        let at = t * 100 * MILLISECOND;
        fixture.env.cloud_up = !(10..450).contains(&t);
        let now = START + at;
        let (_, calls) = step_with(
            &mut fixture.node,
            now,
            Input::Tick,
            &fixture.machine_rows,
            &mut fixture.env,
        );
        deleted |=
            fixture.env.cloud_up && calls.iter().any(|c| matches!(c, CloudRequest::Delete(_)));
        fixture.answer_watches(at, Vec::new());
        if t % 10 == 0 {
            fixture.step(at, heartbeat_request("n", "a", t + 1));
        }
        let again = placed(&fixture)
            .iter()
            .any(|p| (p.index, p.attempt) == (0, 2));
        assert!(deleted || !again, "{at}");
    }
    assert_eq!(fixture.node.leading(), Some(1));
    assert_eq!(
        placed(&fixture),
        [PlacedTask::from((0, 2, "n".to_string(), 1))]
    );
}

/// It was sent in a session before, and arrives first at a new leader, that knows of a
/// later session by a placement alone. To take it for the latest once took the session
/// back, and absence from it as proof.
#[test]
fn an_old_report_takes_no_session_back() {
    let mut fixture = LeaderFixture::new();
    let chunk = TaskChunk {
        placed: vec![(0, 1, "m".to_string(), 3).into()],
        ..TaskChunk::default()
    };
    fixture.env.task_rows = vec![row(tasks(), &chunk)];
    fixture.env.queue_rows.insert(0, cancellation_row(START));
    fixture.step(0, Input::Tick);
    (fixture.incarnation, fixture.task_present) = (2, false);
    assert_eq!(fixture.send_heartbeat(SECOND), Some(vec![]));
    fixture.step(2 * SECOND, Input::Tick);
    assert!(!drops(&fixture, &records::cancelled_key(JOB_ID)));
    (fixture.incarnation, fixture.task_present) = (3, true);
    assert!(stops(fixture.send_heartbeat(2 * SECOND)));
}

/// A copy of a report is kept until a new leader has acted, and arrives there: it says
/// nothing of what was launched since, whatever token it shows.
#[test]
fn a_report_that_was_kept_for_the_next_leader_ends_nothing() {
    for token in [0, 1] {
        let mut fixture = LeaderFixture::elected();
        fixture.sequence = 7;
        assert!(fixture.send_heartbeat(SECOND).is_some());
        fixture.answer_watches(
            SECOND,
            vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
        );
        (
            fixture.sequence,
            fixture.fencing_token,
            fixture.task_present,
        ) = (3, token, false);
        assert_eq!(fixture.send_heartbeat(2 * SECOND), Some(vec![]));
        fixture.step(2 * SECOND, Input::Tick);
        assert!(!drops(&fixture, &records::cancelled_key(JOB_ID)));
    }
}

/// The record of the term was written and the answer lost: whoever sees that the lead is
/// its own begins anew in a later term.
#[test]
fn an_election_without_an_answer_is_never_led() {
    let mut fixture = LeaderFixture::new();
    fixture.env.unanswered_key = Some(records::LEAD);
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), None);
    fixture.env.unanswered_key = None;
    let lead = LeaderRecord {
        member: "n0".into(),
        lease: LeaseId(1),
        term: 1,
    };
    let mut term = row(records::TERM.into(), &TermRecord { term: 1 });
    term.version = 5;
    fixture.env.shared_rows = vec![row(records::LEAD.into(), &lead), term];
    fixture.env.revoked_leases.clear();
    fixture.step(SECOND / 2, Input::Tick);
    assert_eq!(
        fixture.env.revoked_leases,
        [LeaseId(1)],
        "it may be its own"
    );
    assert_eq!(fixture.node.leading(), None, "the key is there still");
    fixture.env.shared_rows.remove(0);
    fixture.env.transactions.clear();
    fixture.step(3 * SECOND / 2, Input::Tick);
    assert_eq!(fixture.node.leading(), Some(2));
    let compared = &fixture.env.transactions[0].compare;
    assert!(
        compared
            .iter()
            .any(|c| c.key == records::TERM && c.version == 5)
    );
    assert!(
        compared
            .iter()
            .any(|c| c.key == records::LEAD && c.version == 0)
    );
}

/// It was not running while the answer came: by then somebody else may lead.
#[test]
fn an_election_is_not_led_by_who_was_not_running_meanwhile() {
    let mut fixture = LeaderFixture::new();
    fixture.env.hold_transactions = true;
    fixture.step(0, Input::Tick);
    let take = fixture.env.held_transactions.pop().expect("a transaction");
    fixture.step(2 * SECOND, Input::Tick);
    let reply = Ok(StoreResponse::Committed { revision: 2 });
    fixture.step(2 * SECOND, Input::Store { id: take, reply });
    assert_eq!(fixture.node.leading(), None);
}

/// The placement is in the store, its answer was lost, and a user cancels the job before
/// the second try: it is never launched, though nobody has told of the cancellation yet.
#[test]
fn what_is_cancelled_beside_a_lost_answer_is_not_launched() {
    for is_cancelled in [false, true] {
        let mut fixture = LeaderFixture::with_tasks(2);
        fixture.env.machine_types = vec![machine_type(8.0)];
        fixture.step(0, Input::Tick);
        fixture.env.unanswered_key = Some("t/req-000001/00000");
        fixture.send_heartbeat(SECOND / 10);
        fixture.step(SECOND / 5, Input::Tick);
        fixture.env.unanswered_key = None;
        let stored = placed(&fixture);
        assert_eq!(stored.len(), 2, "the second task");
        fixture.env.conflicting_key = Some(tasks());
        fixture.env.second_conflicting_key = is_cancelled.then(|| records::job_key(JOB_ID));
        let chunk = TaskChunk {
            placed: stored,
            ..TaskChunk::default()
        };
        let mut found = row(tasks(), &chunk);
        found.version = 7;
        fixture.env.readable_row = Some(found);
        for t in 3..8 {
            fixture.step(t * 100 * MILLISECOND, Input::Tick);
        }
        let commands = fixture.send_heartbeat(SECOND).expect("an answer");
        let starts = |c: &Command| matches!(c, Command::Launch { task, .. } if task.index == 1);
        assert_eq!(commands.iter().any(starts), !is_cancelled);
        assert_eq!(stops(Some(commands)), is_cancelled);
    }
}

/// A write shows that a job has ended; how, and since when, can't be read for a while.
#[test]
fn what_runs_of_a_job_whose_mark_has_changed_is_stopped_at_once() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::job_key(JOB_ID));
    fixture.step(0, Input::Tick);
    fixture.send_heartbeat(SECOND / 2);
    fixture.step(SECOND, Input::Tick);
    assert!(
        fixture.env.refused_reads > 0,
        "a placement of the second task"
    );
    assert!(stops(fixture.send_heartbeat(2 * SECOND)));
}

/// The write came long after the cancellation, which its row tells later still.
#[test]
fn a_cancellation_counts_from_its_own_time_whatever_was_seen_of_it_before() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::job_key(JOB_ID));
    let (told, met) = (4 * SECOND, 95 * SECOND / 10);
    fixture.step(0, Input::Tick);
    for t in 1..95 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        if t < 40 {
            fixture.answer_watches(t * 100 * MILLISECOND, Vec::new());
        }
    }
    fixture.send_heartbeat(met);
    fixture.step(met, Input::Tick);
    fixture.step(met + SECOND / 10, Input::Tick);
    assert!(fixture.env.refused_reads > 0, "a placement meets the mark");
    fixture.env.cloud_up = false;
    fixture.answer_watches(
        10 * SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + told))],
    );
    let mut last = 0;
    for s in 11..60 {
        fixture.step(s * SECOND, Input::Tick);
        fixture.answer_watches(s * SECOND, Vec::new());
        if fixture.send_heartbeat(s * SECOND).is_some() {
            last = s * SECOND;
        }
    }
    let ends = on_fast_clock(last + fixture.config.worker_lease - told);
    assert!(
        last > 20 * SECOND && ends < fixture.config.cancel_deadline,
        "{last}"
    );
}

/// What is launched without a read of a moment ago may be cancelled already.
#[test]
fn nothing_is_launched_without_a_read_of_a_moment_ago() {
    let mut fixture = LeaderFixture::elected();
    fixture.task_present = false;
    let starts = |commands: Option<Vec<Command>>| match commands.as_deref() {
        Some([Command::Launch { .. }]) => true,
        Some([]) => false,
        other => panic!("{other:?}"),
    };
    assert!(starts(fixture.send_heartbeat(SECOND)));
    for s in 2..8 {
        fixture.step(s * SECOND, Input::Tick);
    }
    assert!(!starts(fixture.send_heartbeat(8 * SECOND)));
    fixture.answer_watches(8 * SECOND, Vec::new());
    fixture.answer_watches(9 * SECOND, Vec::new());
    assert!(starts(fixture.send_heartbeat(9 * SECOND)));
}

/// Its placement would fail for its mark, and hold room and its team's limit until then.
#[test]
fn a_cancelled_job_leaves_the_line() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.step(0, Input::Tick);
    fixture.answer_watches(
        SECOND / 2,
        vec![LeaderFixture::put_event(cancellation_row(
            START + SECOND / 2,
        ))],
    );
    for t in 6..20 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        fixture.send_heartbeat(t * 100 * MILLISECOND);
    }
    assert_eq!(fixture.node.counts().placed, 0);
}

/// Dependents are cancelled with it once the mark is read, though nothing of it is left by
/// then.
#[test]
fn a_job_is_cleared_only_once_its_cancellation_is_read() {
    let mut fixture = LeaderFixture::with_tasks(2);
    let mut waits = fixture.env.queue_rows[0]
        .decode_value::<OpenJob>()
        .expect("a job");
    (waits.spec.id, waits.spec.depends_on) = ("req-000002".into(), vec![JOB_ID.into()]);
    fixture
        .env
        .queue_rows
        .push(row(records::open_key("req-000002"), &waits));
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::job_key(JOB_ID));
    fixture.step(0, Input::Tick);
    fixture.send_heartbeat(SECOND / 2);
    fixture.step(SECOND, Input::Tick);
    assert!(stops(fixture.send_heartbeat(SECOND)));
    fixture.task_present = false;
    fixture.send_heartbeat(3 * SECOND / 2);
    fixture.step(2 * SECOND, Input::Tick);
    assert!(!drops(&fixture, &records::open_key(JOB_ID)));
    let mark = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 2,
    };
    fixture.env.readable_row = Some(row(records::job_key(JOB_ID), &mark));
    fixture.step(5 * SECOND / 2, Input::Tick);
    fixture.step(3 * SECOND, Input::Tick);
    assert!(drops(&fixture, &records::open_key(JOB_ID)));
    assert!(drops(&fixture, &records::open_key("req-000002")));
}

/// A try without an answer may be carried out after a later change of the types.
#[test]
fn the_machine_types_compare_their_version() {
    let mut fixture = LeaderFixture::new();
    let mut stored = machine_types_row(4.0);
    stored.version = 4;
    fixture.env.shared_rows = vec![stored.clone()];
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::TYPES.into());
    fixture.step(0, Input::Tick);
    fixture.step(SECOND / 10, Input::Tick);
    // It was written by the leader before, after this one had looked.
    stored.version = 9;
    fixture.env.readable_row = Some(stored);
    for t in 2..10 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    fixture.env.conflicting_key = None;
    for t in 10..15 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert_eq!(fixture.node.leading(), Some(1));
    let compared = fixture.env.transactions.iter().flat_map(|t| &t.compare);
    let types = compared.filter(|c| c.key == records::TYPES);
    let versions: Vec<u64> = types.map(|c| c.version).collect();
    assert_eq!(versions[..2], [4, 9], "not tried again before it is read");
    assert_eq!(versions.last(), Some(&9));
}

/// What the watch tells may arrive after a later read: of a leader whose key had gone by
/// then nothing more would be heard, and nobody would be elected.
#[test]
fn news_of_before_a_read_are_none() {
    let mut fixture = LeaderFixture::elected();
    // It makes way for a sibling that workers reach, for a while.
    let message = Message::Heartbeat {
        term: 7,
        is_leader: false,
        store_reachable: true,
        workers_reachable: true,
        requests_per_s: 0,
    };
    let from = "n1".to_string();
    fixture.step(SECOND, Input::Peer { from, message });
    for t in 11..15 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert_eq!(fixture.node.leading(), None, "also when it has led before");
    let lead = LeaderRecord {
        member: "n1".into(),
        lease: LeaseId(8),
        term: 1,
    };
    let event = WatchEvent::Put {
        key: records::LEAD.into(),
        value: row(records::LEAD.into(), &lead).value,
        // All keys were read as of this revision.
        version: 1,
    };
    fixture.answer_watches(15 * 100 * MILLISECOND, vec![event]);
    for t in 16..30 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert!(fixture.node.leading().is_some());
}

/// The lease of a term before has ended, which is told late.
#[test]
fn the_end_of_an_earlier_lease_ends_no_later_term() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.hold_renewals = true;
    for t in 1..5 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let renewal = fixture.env.held_renewals.pop().expect("a renewal");
    let message = Message::Heartbeat {
        term: 7,
        is_leader: false,
        store_reachable: true,
        workers_reachable: false,
        requests_per_s: 0,
    };
    let from = "n1".to_string();
    fixture.step(SECOND / 2, Input::Peer { from, message });
    assert_eq!(fixture.node.leading(), None);
    for t in 6..10 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let term = fixture.node.leading();
    assert!(term.is_some());
    let reply = Ok(StoreResponse::LeaseExpired);
    fixture.step(SECOND, Input::Store { id: renewal, reply });
    assert_eq!(fixture.node.leading(), term);
}

/// A state service that answers in seconds once let nobody renew a lease of 1.25 s (seed
/// 2704 of the days of meetings). What a watch holds back, or what has no answer, says
/// nothing of it, and what was slow long ago nothing of now.
#[test]
fn a_lease_is_longer_while_the_state_service_is_slow() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::SHARED);
    fixture.step(0, Input::Tick);
    for t in 1..12 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    listed(&mut fixture, 1200 * MILLISECOND, &[], false, 1);
    assert!(fixture.node.leading().is_some());
    fixture.env.held_listing_prefix = None;
    let deposed = |fixture: &mut LeaderFixture, at: Micros| {
        let message = Message::Heartbeat {
            term: 1000,
            is_leader: false,
            store_reachable: true,
            workers_reachable: false,
            requests_per_s: 0,
        };
        let from = "n1".to_string();
        fixture.step(at, Input::Peer { from, message });
        assert_eq!(fixture.node.leading(), None);
        for t in 0..10 {
            fixture.step(at + t * 100 * MILLISECOND, Input::Tick);
        }
        assert!(fixture.node.leading().is_some());
    };
    deposed(&mut fixture, 3 * SECOND);
    for t in 40..600 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        if t % 10 == 0 {
            fixture.answer_watches(t * 100 * MILLISECOND, Vec::new());
        }
    }
    deposed(&mut fixture, 60 * SECOND);
    assert_eq!(fixture.env.granted_ttls_ms, [3600, 3600, 1250]);
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::SHARED);
    fixture.step(0, Input::Tick);
    for t in 1..12 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let id = fixture.env.held_listings.pop().expect("a listing");
    fixture.env.held_listing_prefix = None;
    let reply = Err(CallError::NoAnswer);
    fixture.step(1200 * MILLISECOND, Input::Store { id, reply });
    fixture.step(1500 * MILLISECOND, Input::Tick);
    assert_eq!(fixture.env.granted_ttls_ms, [1250]);
}

/// It was answered before: whoever sent it doesn't hear this answer.
#[test]
fn a_copy_of_the_latest_report_is_answered_without_commands() {
    let mut fixture = LeaderFixture::elected();
    fixture.task_present = false;
    let start = fixture.send_heartbeat(SECOND).expect("an answer");
    assert!(matches!(&start[..], [Command::Launch { .. }]));
    fixture.sequence -= 1;
    assert_eq!(fixture.send_heartbeat(SECOND), Some(vec![]));
    assert_eq!(fixture.send_heartbeat(3 * SECOND / 2), Some(start));
}
