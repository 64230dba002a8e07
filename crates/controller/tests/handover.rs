//! What meets the change from one leader to the next: cancellations, answers that get
//! lost, reports of long ago.

mod common;

use common::gap::{Gap, JOB, START, at_most, cancelled};
use common::{machine_type, recorded, report, row, step_with, types};
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
fn listed(gap: &mut Gap, at: Micros, rows: &[KeyValue], more: bool, revision: u64) {
    let id = gap.around.listings.pop().expect("a listing");
    let reply = Ok(StoreResponse::RangePage(RangePage {
        rows: rows.to_vec(),
        more,
        revision,
    }));
    gap.step(at, Input::Store { id, reply });
}

fn tasks() -> String {
    records::tasks_key(JOB, TaskRange::Chunk(0))
}

/// Placements of the job in what was written last of its tasks.
fn placed(gap: &Gap) -> Vec<PlacedTask> {
    let key = tasks();
    let changes = gap.around.writes.iter().rev().flat_map(|t| &t.then);
    let mut records = changes.filter_map(|c| match c {
        Mutation::Put { key: k, value, .. } if *k == key => decode_value::<TaskChunk>(value),
        _ => None,
    });
    records.next().map_or(Vec::new(), |c| c.placed)
}

fn drops(gap: &Gap, key: &str) -> bool {
    let mut changes = gap.around.writes.iter().flat_map(|t| &t.then);
    changes.any(|c| matches!(c, Mutation::Delete { key: k } if k == key))
}

fn stops(commands: Option<Vec<Command>>) -> bool {
    matches!(commands.as_deref(), Some([Command::Stop { .. }]))
}

/// Rows come in the order of keys: a cancellation may land on a page already read, one
/// that is read comes before its job. While there are more, nobody is answered.
#[test]
fn cancellations_are_known_whatever_page_they_land_on() {
    let other = row(records::cancelled_job_key("req-000009"), &row_of(START));
    for read_first in [false, true] {
        let mut gap = Gap::new();
        gap.around.held = Some(records::QUEUE_PREFIX);
        gap.step(0, Input::Tick);
        let mut first = vec![other.clone()];
        if read_first {
            first.insert(0, cancelled(START));
        }
        listed(&mut gap, SECOND, &first, true, 5);
        assert!(gap.reports(SECOND).is_none(), "more may be cancelled");
        let jobs = gap.around.queue.clone();
        listed(&mut gap, 2 * SECOND, &jobs, false, 9);
        assert!(gap.node.fence().is_some());
        if !read_first {
            assert_eq!(gap.around.queue_after, Some(5), "from the first page on");
            gap.watched(2 * SECOND, vec![Gap::event(cancelled(START + SECOND))]);
        }
        assert!(stops(gap.reports(3 * SECOND)));
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
    let mut gap = Gap::leading();
    gap.around.cloud = false;
    let told = SECOND;
    gap.around.queue.insert(0, cancelled(START + told));
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
            gap.step(at, Input::Peer { from, message });
        }
        gap.step(at, Input::Tick);
        gap.watched(at, Vec::new());
        gap.token = gap.node.leading().unwrap_or(gap.token);
        terms.push(gap.token);
        if t % 10 == 0 && gap.reports(at).is_some() {
            last = at;
        }
    }
    terms.dedup();
    assert!(terms.len() > 10, "{terms:?}");
    assert!(last > 10 * SECOND);
    let ends = at_most(last + gap.config.worker_lease - told);
    assert!(ends < gap.config.cancel_deadline, "answered until {last}");
}

/// Nobody led for longer than a lease: what was placed is over with its session, also
/// that of a job that was cancelled meanwhile.
#[test]
fn what_was_placed_before_all_leases_ended_is_over() {
    for is_cancelled in [false, true] {
        let mut gap = Gap::new();
        gap.around.types = vec![machine_type(8.0)];
        if is_cancelled {
            gap.around.queue.insert(0, cancelled(START));
        }
        (gap.session, gap.has_task) = (2, false);
        for t in 0..30 {
            gap.step(t * 100 * MILLISECOND, Input::Tick);
            if t % 10 == 5 {
                gap.reports(t * 100 * MILLISECOND);
            }
        }
        let again = [PlacedTask::from((0, 2, "m".to_string(), 2))];
        assert_eq!(placed(&gap) == again, !is_cancelled);
        assert_eq!(drops(&gap, &records::cancelled_job_key(JOB)), is_cancelled);
    }
}

/// A zone is cut off for longer than a lease, with a controller that answers its workers:
/// silence proves nothing, not even a long one, only the end of the machine does.
#[test]
fn what_is_silent_is_placed_again_only_once_its_machine_is_gone() {
    let mut gap = Gap::new();
    gap.rows.push(recorded("n", "a"));
    gap.around.types = vec![machine_type(8.0)];
    let mut deleted = false;
    // Machines that are idle are returned after a minute.
    for t in 0..540 {
        let at = t * 100 * MILLISECOND;
        gap.around.cloud = !(10..450).contains(&t);
        let now = START + at;
        let (_, calls) = step_with(&mut gap.node, now, Input::Tick, &gap.rows, &mut gap.around);
        deleted |= gap.around.cloud && calls.iter().any(|c| matches!(c, CloudRequest::Delete(_)));
        gap.watched(at, Vec::new());
        if t % 10 == 0 {
            gap.step(at, report("n", "a", t + 1));
        }
        let again = placed(&gap).iter().any(|p| (p.index, p.attempt) == (0, 2));
        assert!(deleted || !again, "{at}");
    }
    assert_eq!(gap.node.leading(), Some(1));
    assert_eq!(placed(&gap), [PlacedTask::from((0, 2, "n".to_string(), 1))]);
}

/// It was sent in a session before, and arrives first at a new leader, that knows of a
/// later session by a placement alone. To take it for the latest once took the session
/// back, and absence from it as proof.
#[test]
fn an_old_report_takes_no_session_back() {
    let mut gap = Gap::new();
    let chunk = TaskChunk {
        placed: vec![(0, 1, "m".to_string(), 3).into()],
        ..TaskChunk::default()
    };
    gap.around.tasks = vec![row(tasks(), &chunk)];
    gap.around.queue.insert(0, cancelled(START));
    gap.step(0, Input::Tick);
    (gap.session, gap.has_task) = (2, false);
    assert_eq!(gap.reports(SECOND), Some(vec![]));
    gap.step(2 * SECOND, Input::Tick);
    assert!(!drops(&gap, &records::cancelled_job_key(JOB)));
    (gap.session, gap.has_task) = (3, true);
    assert!(stops(gap.reports(2 * SECOND)));
}

/// A copy of a report is kept until a new leader has acted, and arrives there: it says
/// nothing of what was launched since, whatever token it shows.
#[test]
fn a_report_that_was_kept_for_the_next_leader_ends_nothing() {
    for token in [0, 1] {
        let mut gap = Gap::leading();
        gap.seq = 7;
        assert!(gap.reports(SECOND).is_some());
        gap.watched(SECOND, vec![Gap::event(cancelled(START + SECOND))]);
        (gap.seq, gap.token, gap.has_task) = (3, token, false);
        assert_eq!(gap.reports(2 * SECOND), Some(vec![]));
        gap.step(2 * SECOND, Input::Tick);
        assert!(!drops(&gap, &records::cancelled_job_key(JOB)));
    }
}

/// The record of the term was written and the answer lost: whoever sees that the lead is
/// its own begins anew in a later term.
#[test]
fn an_election_without_an_answer_is_never_led() {
    let mut gap = Gap::new();
    gap.around.lost = Some(records::LEADER_KEY);
    gap.step(0, Input::Tick);
    assert_eq!(gap.node.leading(), None);
    gap.around.lost = None;
    let lead = LeaderRecord {
        member: "n0".into(),
        lease: LeaseId(1),
        term: 1,
    };
    let mut term = row(records::TERM_KEY.into(), &TermRecord { term: 1 });
    term.version = 5;
    gap.around.shared = vec![row(records::LEADER_KEY.into(), &lead), term];
    gap.around.let_go.clear();
    gap.step(SECOND / 2, Input::Tick);
    assert_eq!(gap.around.let_go, [LeaseId(1)], "it may be its own");
    assert_eq!(gap.node.leading(), None, "the key is there still");
    gap.around.shared.remove(0);
    gap.around.writes.clear();
    gap.step(3 * SECOND / 2, Input::Tick);
    assert_eq!(gap.node.leading(), Some(2));
    let compared = &gap.around.writes[0].compare;
    assert!(
        compared
            .iter()
            .any(|c| c.key == records::TERM_KEY && c.version == 5)
    );
    assert!(
        compared
            .iter()
            .any(|c| c.key == records::LEADER_KEY && c.version == 0)
    );
}

/// It was not running while the answer came: by then somebody else may lead.
#[test]
fn an_election_is_not_led_by_who_was_not_running_meanwhile() {
    let mut gap = Gap::new();
    gap.around.held_txns = true;
    gap.step(0, Input::Tick);
    let take = gap.around.txns.pop().expect("a transaction");
    gap.step(2 * SECOND, Input::Tick);
    let reply = Ok(StoreResponse::Committed { revision: 2 });
    gap.step(2 * SECOND, Input::Store { id: take, reply });
    assert_eq!(gap.node.leading(), None);
}

/// The placement is in the store, its answer was lost, and a user cancels the job before
/// the second try: it is never launched, though nobody has told of the cancellation yet.
#[test]
fn what_is_cancelled_beside_a_lost_answer_is_not_launched() {
    for is_cancelled in [false, true] {
        let mut gap = Gap::of(2);
        gap.around.types = vec![machine_type(8.0)];
        gap.step(0, Input::Tick);
        gap.around.lost = Some("t/req-000001/00000");
        gap.reports(SECOND / 10);
        gap.step(SECOND / 5, Input::Tick);
        gap.around.lost = None;
        let stored = placed(&gap);
        assert_eq!(stored.len(), 2, "the second task");
        gap.around.conflict = Some(tasks());
        gap.around.fails_too = is_cancelled.then(|| records::job_state_key(JOB));
        let chunk = TaskChunk {
            placed: stored,
            ..TaskChunk::default()
        };
        let mut found = row(tasks(), &chunk);
        found.version = 7;
        gap.around.found = Some(found);
        for t in 3..8 {
            gap.step(t * 100 * MILLISECOND, Input::Tick);
        }
        let commands = gap.reports(SECOND).expect("an answer");
        let starts = |c: &Command| matches!(c, Command::Launch { task, .. } if task.index == 1);
        assert_eq!(commands.iter().any(starts), !is_cancelled);
        assert_eq!(stops(Some(commands)), is_cancelled);
    }
}

/// A write shows that a job has ended; how, and since when, can't be read for a while.
#[test]
fn what_runs_of_a_job_whose_mark_has_changed_is_stopped_at_once() {
    let mut gap = Gap::of(2);
    gap.around.types = vec![machine_type(8.0)];
    gap.around.conflict = Some(records::job_state_key(JOB));
    gap.step(0, Input::Tick);
    gap.reports(SECOND / 2);
    gap.step(SECOND, Input::Tick);
    assert!(gap.around.refused > 0, "a placement of the second task");
    assert!(stops(gap.reports(2 * SECOND)));
}

/// The write came long after the cancellation, which its row tells later still.
#[test]
fn a_cancellation_counts_from_its_own_time_whatever_was_seen_of_it_before() {
    let mut gap = Gap::of(2);
    gap.around.types = vec![machine_type(8.0)];
    gap.around.conflict = Some(records::job_state_key(JOB));
    let (told, met) = (4 * SECOND, 95 * SECOND / 10);
    gap.step(0, Input::Tick);
    for t in 1..95 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
        if t < 40 {
            gap.watched(t * 100 * MILLISECOND, Vec::new());
        }
    }
    gap.reports(met);
    gap.step(met, Input::Tick);
    gap.step(met + SECOND / 10, Input::Tick);
    assert!(gap.around.refused > 0, "a placement meets the mark");
    gap.around.cloud = false;
    gap.watched(10 * SECOND, vec![Gap::event(cancelled(START + told))]);
    let mut last = 0;
    for s in 11..60 {
        gap.step(s * SECOND, Input::Tick);
        gap.watched(s * SECOND, Vec::new());
        if gap.reports(s * SECOND).is_some() {
            last = s * SECOND;
        }
    }
    let ends = at_most(last + gap.config.worker_lease - told);
    assert!(
        last > 20 * SECOND && ends < gap.config.cancel_deadline,
        "{last}"
    );
}

/// What is launched without a read of a moment ago may be cancelled already.
#[test]
fn nothing_is_launched_without_a_read_of_a_moment_ago() {
    let mut gap = Gap::leading();
    gap.has_task = false;
    let starts = |commands: Option<Vec<Command>>| match commands.as_deref() {
        Some([Command::Launch { .. }]) => true,
        Some([]) => false,
        other => panic!("{other:?}"),
    };
    assert!(starts(gap.reports(SECOND)));
    for s in 2..8 {
        gap.step(s * SECOND, Input::Tick);
    }
    assert!(!starts(gap.reports(8 * SECOND)));
    gap.watched(8 * SECOND, Vec::new());
    gap.watched(9 * SECOND, Vec::new());
    assert!(starts(gap.reports(9 * SECOND)));
}

/// Its placement would fail for its mark, and hold room and its team's limit until then.
#[test]
fn a_cancelled_job_leaves_the_line() {
    let mut gap = Gap::of(2);
    gap.around.types = vec![machine_type(8.0)];
    gap.step(0, Input::Tick);
    gap.watched(SECOND / 2, vec![Gap::event(cancelled(START + SECOND / 2))]);
    for t in 6..20 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
        gap.reports(t * 100 * MILLISECOND);
    }
    assert_eq!(gap.node.scheduler_counters().placed, 0);
}

/// Dependents are cancelled with it once the mark is read, though nothing of it is left by
/// then.
#[test]
fn a_job_is_cleared_only_once_its_cancellation_is_read() {
    let mut gap = Gap::of(2);
    let mut waits = gap.around.queue[0]
        .decode_value::<OpenJob>()
        .expect("a job");
    (waits.spec.id, waits.spec.depends_on) = ("req-000002".into(), vec![JOB.into()]);
    gap.around
        .queue
        .push(row(records::open_job_key("req-000002"), &waits));
    gap.around.types = vec![machine_type(8.0)];
    gap.around.conflict = Some(records::job_state_key(JOB));
    gap.step(0, Input::Tick);
    gap.reports(SECOND / 2);
    gap.step(SECOND, Input::Tick);
    assert!(stops(gap.reports(SECOND)));
    gap.has_task = false;
    gap.reports(3 * SECOND / 2);
    gap.step(2 * SECOND, Input::Tick);
    assert!(!drops(&gap, &records::open_job_key(JOB)));
    let mark = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 2,
    };
    gap.around.found = Some(row(records::job_state_key(JOB), &mark));
    gap.step(5 * SECOND / 2, Input::Tick);
    gap.step(3 * SECOND, Input::Tick);
    assert!(drops(&gap, &records::open_job_key(JOB)));
    assert!(drops(&gap, &records::open_job_key("req-000002")));
}

/// A try without an answer may be carried out after a later change of the types.
#[test]
fn the_machine_types_compare_their_version() {
    let mut gap = Gap::new();
    let mut stored = types(4.0);
    stored.version = 4;
    gap.around.shared = vec![stored.clone()];
    gap.around.types = vec![machine_type(8.0)];
    gap.around.conflict = Some(records::MACHINE_TYPES_KEY.into());
    gap.step(0, Input::Tick);
    gap.step(SECOND / 10, Input::Tick);
    // It was written by the leader before, after this one had looked.
    stored.version = 9;
    gap.around.found = Some(stored);
    for t in 2..10 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    gap.around.conflict = None;
    for t in 10..15 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert_eq!(gap.node.leading(), Some(1));
    let compared = gap.around.writes.iter().flat_map(|t| &t.compare);
    let types = compared.filter(|c| c.key == records::MACHINE_TYPES_KEY);
    let versions: Vec<u64> = types.map(|c| c.version).collect();
    assert_eq!(versions[..2], [4, 9], "not tried again before it is read");
    assert_eq!(versions.last(), Some(&9));
}

/// What the watch tells may arrive after a later read: of a leader whose key had gone by
/// then nothing more would be heard, and nobody would be elected.
#[test]
fn news_of_before_a_read_are_none() {
    let mut gap = Gap::leading();
    // It makes way for a sibling that workers reach, for a while.
    let message = Message::Heartbeat {
        term: 7,
        is_leader: false,
        store_reachable: true,
        workers_reachable: true,
        requests_per_s: 0,
    };
    let from = "n1".to_string();
    gap.step(SECOND, Input::Peer { from, message });
    for t in 11..15 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert_eq!(gap.node.leading(), None, "also when it has led before");
    let lead = LeaderRecord {
        member: "n1".into(),
        lease: LeaseId(8),
        term: 1,
    };
    let event = WatchEvent::Put {
        key: records::LEADER_KEY.into(),
        value: row(records::LEADER_KEY.into(), &lead).value,
        // All keys were read as of this revision.
        version: 1,
    };
    gap.watched(15 * 100 * MILLISECOND, vec![event]);
    for t in 16..30 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert!(gap.node.leading().is_some());
}

/// The lease of a term before has ended, which is told late.
#[test]
fn the_end_of_an_earlier_lease_ends_no_later_term() {
    let mut gap = Gap::leading();
    gap.around.held_renewals = true;
    for t in 1..5 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let renewal = gap.around.renewals.pop().expect("a renewal");
    let message = Message::Heartbeat {
        term: 7,
        is_leader: false,
        store_reachable: true,
        workers_reachable: false,
        requests_per_s: 0,
    };
    let from = "n1".to_string();
    gap.step(SECOND / 2, Input::Peer { from, message });
    assert_eq!(gap.node.leading(), None);
    for t in 6..10 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let term = gap.node.leading();
    assert!(term.is_some());
    let reply = Ok(StoreResponse::LeaseExpired);
    gap.step(SECOND, Input::Store { id: renewal, reply });
    assert_eq!(gap.node.leading(), term);
}

/// A state service that answers in seconds once let nobody renew a lease of 1.25 s (seed
/// 2704 of the days of meetings). What a watch holds back, or what has no answer, says
/// nothing of it, and what was slow long ago nothing of now.
#[test]
fn a_lease_is_longer_while_the_state_service_is_slow() {
    let mut gap = Gap::new();
    gap.around.held = Some(records::SHARED_PREFIX);
    gap.step(0, Input::Tick);
    for t in 1..12 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    listed(&mut gap, 1200 * MILLISECOND, &[], false, 1);
    assert!(gap.node.leading().is_some());
    gap.around.held = None;
    let deposed = |gap: &mut Gap, at: Micros| {
        let message = Message::Heartbeat {
            term: 1000,
            is_leader: false,
            store_reachable: true,
            workers_reachable: false,
            requests_per_s: 0,
        };
        let from = "n1".to_string();
        gap.step(at, Input::Peer { from, message });
        assert_eq!(gap.node.leading(), None);
        for t in 0..10 {
            gap.step(at + t * 100 * MILLISECOND, Input::Tick);
        }
        assert!(gap.node.leading().is_some());
    };
    deposed(&mut gap, 3 * SECOND);
    for t in 40..600 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
        if t % 10 == 0 {
            gap.watched(t * 100 * MILLISECOND, Vec::new());
        }
    }
    deposed(&mut gap, 60 * SECOND);
    assert_eq!(gap.around.leases, [3600, 3600, 1250]);
    let mut gap = Gap::new();
    gap.around.held = Some(records::SHARED_PREFIX);
    gap.step(0, Input::Tick);
    for t in 1..12 {
        gap.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let id = gap.around.listings.pop().expect("a listing");
    gap.around.held = None;
    let reply = Err(CallError::NoAnswer);
    gap.step(1200 * MILLISECOND, Input::Store { id, reply });
    gap.step(1500 * MILLISECOND, Input::Tick);
    assert_eq!(gap.around.leases, [1250]);
}

/// It was answered before: whoever sent it doesn't hear this answer.
#[test]
fn a_copy_of_the_latest_report_is_answered_without_commands() {
    let mut gap = Gap::leading();
    gap.has_task = false;
    let start = gap.reports(SECOND).expect("an answer");
    assert!(matches!(&start[..], [Command::Launch { .. }]));
    gap.seq -= 1;
    assert_eq!(gap.reports(SECOND), Some(vec![]));
    assert_eq!(gap.reports(3 * SECOND / 2), Some(start));
}
