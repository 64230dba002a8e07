//! Leader failover: cancellations, lost replies and delayed heartbeats around the change from
//! one leader to the next.

mod common;

use common::leader_fixture::{
    JOB_ID, LeaderFixture, START, cancellation_row, with_max_clock_drift,
};
use common::{
    heartbeat_request, machine_row, machine_type, machine_types_row, nth_term, row,
    step_in_environment,
};
use dillcleat_controller::fencing_tokens::TermTokens;
use dillcleat_controller::records::{
    self, JobStateRecord, LeaderRecord, OpenJob, PlacedTask, RecordedState, TaskRange, TaskRecord,
    TermRecord,
};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreResponse, WatchEvent, decode_value,
};
use dillcleat_wire::worker::Command;

/// Answers the latest held listing with one page.
fn answer_listing(
    fixture: &mut LeaderFixture,
    at: Micros,
    rows: &[KeyValue],
    more: bool,
    revision: u64,
) {
    let id = fixture.env.held_listings.pop().expect("a listing");
    let reply = Ok(StoreResponse::RangePage(RangePage {
        rows: rows.to_vec(),
        more,
        revision,
    }));
    fixture.step(at, Input::Store { id, reply });
}

fn task_chunk_key() -> String {
    records::tasks_key(JOB_ID, TaskRange::Chunk(0))
}

/// The placements in the latest write of the task record.
fn stored_placements(fixture: &LeaderFixture) -> Vec<PlacedTask> {
    let key = task_chunk_key();
    let mutations = fixture.env.transactions.iter().rev().flat_map(|t| &t.then);
    let mut records = mutations.filter_map(|c| match c {
        Mutation::Put { key: k, value, .. } if *k == key => decode_value::<TaskRecord>(value),
        _ => None,
    });
    records.next().map_or(Vec::new(), |c| c.placed)
}

/// Whether any transaction deletes the key.
fn deletes_key(fixture: &LeaderFixture, key: &str) -> bool {
    let mut mutations = fixture.env.transactions.iter().flat_map(|t| &t.then);
    mutations.any(|c| matches!(c, Mutation::Delete { key: k } if k == key))
}

fn is_single_stop(commands: Option<Vec<Command>>) -> bool {
    matches!(commands.as_deref(), Some([Command::Stop { .. }]))
}

/// Pages list rows in key order, in which a cancellation precedes its job. A cancellation
/// that is written to a page already read must be seen by the watch. No lease is renewed
/// until all pages are read.
#[test]
fn cancellations_are_found_on_any_page_of_the_listing() {
    let other = row(
        records::cancelled_job_key("req-000009"),
        &cancelled_job(START),
    );
    for on_first_page in [false, true] {
        let mut fixture = LeaderFixture::new();
        fixture.env.held_listing_prefix = Some(records::QUEUE_PREFIX);
        fixture.step(0, Input::Tick);
        let mut first = vec![other.clone()];
        if on_first_page {
            first.insert(0, cancellation_row(START));
        }
        answer_listing(&mut fixture, SECOND, &first, true, 5);
        assert!(
            fixture.send_heartbeat(SECOND).is_none(),
            "later pages may contain cancellations"
        );
        let jobs = fixture.env.queue_rows.clone();
        answer_listing(&mut fixture, 2 * SECOND, &jobs, false, 9);
        assert!(fixture.node.fence().is_some());
        if !on_first_page {
            assert_eq!(
                fixture.env.queue_watch_revision,
                Some(5),
                "the watch starts at the first page"
            );
            fixture.answer_watches(
                2 * SECOND,
                vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
            );
        }
        assert!(is_single_stop(fixture.send_heartbeat(3 * SECOND)));
    }
}

fn cancelled_job(at: Micros) -> records::CancelledJob {
    records::CancelledJob {
        cancelled_at_us: at,
    }
}

/// No leader leads for long enough to delete the machine, and the cloud is unreachable.
/// The worker lease must expire in time, counted from the cancellation and not from an
/// election.
#[test]
fn cancelled_task_ends_in_time_despite_frequent_failovers() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.cloud_up = false;
    let cancelled_at = SECOND;
    fixture
        .env
        .queue_rows
        .insert(0, cancellation_row(START + cancelled_at));
    let (mut renewed_at, mut terms) = (0, Vec::new());
    for t in 10..900 {
        let at = t * 100 * MILLISECOND;
        if t % 50 == 0 {
            let message = Message::Heartbeat {
                term: nth_term(1000),
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
        let first_token = |term| TermTokens::of_term(term).first();
        let token = fixture.node.leading().map(first_token);
        fixture.fencing_token = token.unwrap_or(fixture.fencing_token);
        terms.push(fixture.fencing_token);
        if t % 10 == 0 && fixture.send_heartbeat(at).is_some() {
            renewed_at = at;
        }
    }
    terms.dedup();
    assert!(terms.len() > 10, "{terms:?}");
    assert!(renewed_at > 10 * SECOND);
    let ends = with_max_clock_drift(renewed_at + fixture.config.worker_lease - cancelled_at);
    assert!(
        ends < fixture.config.cancel_time_limit,
        "lease renewed at {renewed_at}"
    );
}

/// The machine has a new incarnation, so that the tasks placed on the earlier one have ended.
/// They are placed again, or the cancellation's record is deleted if the job was cancelled.
#[test]
fn tasks_of_an_expired_incarnation_are_placed_again_unless_cancelled() {
    for is_cancelled in [false, true] {
        let mut fixture = LeaderFixture::new();
        fixture.env.machine_types = vec![machine_type(8.0)];
        if is_cancelled {
            fixture.env.queue_rows.insert(0, cancellation_row(START));
        }
        (fixture.incarnation, fixture.reports_task) = (2, false);
        for t in 0..30 {
            fixture.step(t * 100 * MILLISECOND, Input::Tick);
            if t % 10 == 5 {
                fixture.send_heartbeat(t * 100 * MILLISECOND);
            }
        }
        let second_attempt = [PlacedTask::from((0, 2, "m".to_string(), 2))];
        assert_eq!(stored_placements(&fixture) == second_attempt, !is_cancelled);
        assert_eq!(
            deletes_key(&fixture, &records::cancelled_job_key(JOB_ID)),
            is_cancelled
        );
    }
}

/// A previous leader in a partitioned zone may still renew leases there, so that missing
/// heartbeats do not prove the end of tasks, however long they are missing.
#[test]
fn tasks_of_unresponsive_machine_are_placed_again_only_after_its_deletion() {
    let mut fixture = LeaderFixture::new();
    fixture.machine_rows.push(machine_row("n", "a"));
    fixture.env.machine_types = vec![machine_type(8.0)];
    let mut deleted = false;
    // Stops at 54 s, because idle machines are deleted after 60 s.
    for t in 0..540 {
        let at = t * 100 * MILLISECOND;
        fixture.env.cloud_up = !(10..450).contains(&t);
        let now = START + at;
        let (_, calls) = step_in_environment(
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
        let placed_again = stored_placements(&fixture)
            .iter()
            .any(|p| (p.index, p.attempt) == (0, 2));
        assert!(deleted || !placed_again, "{at}");
    }
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    assert_eq!(
        stored_placements(&fixture),
        [PlacedTask::from((0, 2, "n".to_string(), 1))]
    );
}

/// A heartbeat of an earlier incarnation arrives at a new leader that has read the later
/// incarnation from a placement. A task missing from the heartbeat has not ended.
#[test]
fn heartbeat_of_earlier_incarnation_is_ignored() {
    let mut fixture = LeaderFixture::new();
    let chunk = TaskRecord {
        placed: vec![(0, 1, "m".to_string(), 3).into()],
        ..TaskRecord::default()
    };
    fixture.env.task_rows = vec![row(task_chunk_key(), &chunk)];
    fixture.env.queue_rows.insert(0, cancellation_row(START));
    fixture.step(0, Input::Tick);
    (fixture.incarnation, fixture.reports_task) = (2, false);
    assert_eq!(fixture.send_heartbeat(SECOND), Some(vec![]));
    fixture.step(2 * SECOND, Input::Tick);
    assert!(!deletes_key(&fixture, &records::cancelled_job_key(JOB_ID)));
    (fixture.incarnation, fixture.reports_task) = (3, true);
    assert!(is_single_stop(fixture.send_heartbeat(2 * SECOND)));
}

/// A duplicate of an earlier heartbeat arrives late and lists no task. It does not prove
/// the end of a task that was launched since, whatever its fencing token.
#[test]
fn delayed_heartbeat_does_not_end_tasks() {
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
            fixture.reports_task,
        ) = (3, token, false);
        assert_eq!(fixture.send_heartbeat(2 * SECOND), Some(vec![]));
        fixture.step(2 * SECOND, Input::Tick);
        assert!(!deletes_key(&fixture, &records::cancelled_job_key(JOB_ID)));
    }
}

/// The election transaction is executed and its reply lost. A node that then finds itself
/// recorded as leader revokes the lease and stands for election in a later term.
#[test]
fn election_with_lost_reply_is_repeated_in_a_later_term() {
    let mut fixture = LeaderFixture::new();
    fixture.env.unanswered_key = Some(records::LEADER_KEY);
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), None);
    fixture.env.unanswered_key = None;
    let lead = LeaderRecord {
        member: "n0".into(),
        lease: LeaseId(1),
        term: nth_term(1),
    };
    let mut term = row(records::TERM_KEY.into(), &TermRecord { term: nth_term(1) });
    term.version = 5;
    fixture.env.shared_rows = vec![row(records::LEADER_KEY.into(), &lead), term];
    fixture.env.revoked_leases.clear();
    fixture.step(SECOND / 2, Input::Tick);
    assert_eq!(
        fixture.env.revoked_leases,
        [LeaseId(1)],
        "the lease in the leader key is the node's own"
    );
    assert_eq!(fixture.node.leading(), None, "the leader key still exists");
    fixture.env.shared_rows.remove(0);
    fixture.env.transactions.clear();
    fixture.step(3 * SECOND / 2, Input::Tick);
    assert_eq!(fixture.node.leading(), Some(nth_term(2)));
    let preconditions = &fixture.env.transactions[0].compare;
    assert!(
        preconditions
            .iter()
            .any(|c| c.key == records::TERM_KEY && c.version == 5)
    );
    assert!(
        preconditions
            .iter()
            .any(|c| c.key == records::LEADER_KEY && c.version == 0)
    );
}

/// The node is suspended and handles the reply to its election transaction late; by then
/// another node may lead.
#[test]
fn election_reply_after_a_suspension_is_ignored() {
    let mut fixture = LeaderFixture::new();
    fixture.env.hold_transactions = true;
    fixture.step(0, Input::Tick);
    let election = fixture.env.held_transactions.pop().expect("a transaction");
    fixture.step(2 * SECOND, Input::Tick);
    let reply = Ok(StoreResponse::Committed { revision: 2 });
    fixture.step(
        2 * SECOND,
        Input::Store {
            id: election,
            reply,
        },
    );
    assert_eq!(fixture.node.leading(), None);
}

/// The write of a placement is executed and its reply lost; the job is cancelled before
/// the retry. The task must not be launched, although no watch has reported the
/// cancellation yet.
#[test]
fn task_cancelled_before_write_retry_is_not_launched() {
    for is_cancelled in [false, true] {
        let mut fixture = LeaderFixture::with_tasks(2);
        fixture.env.machine_types = vec![machine_type(8.0)];
        fixture.step(0, Input::Tick);
        fixture.env.unanswered_key = Some("t/req-000001/00000");
        fixture.send_heartbeat(SECOND / 10);
        fixture.step(SECOND / 5, Input::Tick);
        fixture.env.unanswered_key = None;
        let placements = stored_placements(&fixture);
        assert_eq!(placements.len(), 2, "the second task is placed");
        fixture.env.conflicting_key = Some(task_chunk_key());
        fixture.env.second_conflicting_key = is_cancelled.then(|| records::job_state_key(JOB_ID));
        let chunk = TaskRecord {
            placed: placements,
            ..TaskRecord::default()
        };
        let mut found = row(task_chunk_key(), &chunk);
        found.version = 7;
        fixture.env.readable_row = Some(found);
        for t in 3..8 {
            fixture.step(t * 100 * MILLISECOND, Input::Tick);
        }
        let commands = fixture.send_heartbeat(SECOND).expect("a reply");
        let is_launch = |c: &Command| matches!(c, Command::Launch { task, .. } if task.index == 1);
        assert_eq!(commands.iter().any(is_launch), !is_cancelled);
        assert_eq!(is_single_stop(Some(commands)), is_cancelled);
    }
}

/// A conflict shows that the state record of a job has changed, but the record cannot be read
/// for a while. The job may be cancelled, so that its tasks must be stopped.
#[test]
fn tasks_of_job_with_changed_state_record_are_stopped() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::job_state_key(JOB_ID));
    fixture.step(0, Input::Tick);
    fixture.send_heartbeat(SECOND / 2);
    fixture.step(SECOND, Input::Tick);
    assert!(
        fixture.env.refused_reads > 0,
        "the conflict makes the leader read the state record"
    );
    assert!(is_single_stop(fixture.send_heartbeat(2 * SECOND)));
}

/// A conflict shows several seconds after a cancellation that the state record has changed, and
/// the cancellation's row arrives even later. The deadline must count from the time in the row.
#[test]
fn cancel_deadline_counts_from_recorded_cancellation_time() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::job_state_key(JOB_ID));
    let (cancelled_at, conflict_at) = (4 * SECOND, 95 * SECOND / 10);
    fixture.step(0, Input::Tick);
    for t in 1..95 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        if t < 40 {
            fixture.answer_watches(t * 100 * MILLISECOND, Vec::new());
        }
    }
    fixture.send_heartbeat(conflict_at);
    fixture.step(conflict_at, Input::Tick);
    fixture.step(conflict_at + SECOND / 10, Input::Tick);
    assert!(
        fixture.env.refused_reads > 0,
        "the conflict makes the leader read the state record"
    );
    fixture.env.cloud_up = false;
    fixture.answer_watches(
        10 * SECOND,
        vec![LeaderFixture::put_event(cancellation_row(
            START + cancelled_at,
        ))],
    );
    let mut renewed_at = 0;
    for s in 11..60 {
        fixture.step(s * SECOND, Input::Tick);
        fixture.answer_watches(s * SECOND, Vec::new());
        if fixture.send_heartbeat(s * SECOND).is_some() {
            renewed_at = s * SECOND;
        }
    }
    let ends = with_max_clock_drift(renewed_at + fixture.config.worker_lease - cancelled_at);
    assert!(
        renewed_at > 20 * SECOND && ends < fixture.config.cancel_time_limit,
        "{renewed_at}"
    );
}

/// If the leader has not read the cancellations recently, the job may have been cancelled, so
/// that none of its tasks may be launched.
#[test]
fn task_is_launched_only_after_a_recent_read_of_cancellations() {
    let mut fixture = LeaderFixture::elected();
    fixture.reports_task = false;
    let is_launch = |commands: Option<Vec<Command>>| match commands.as_deref() {
        Some([Command::Launch { .. }]) => true,
        Some([]) => false,
        other => panic!("{other:?}"),
    };
    assert!(is_launch(fixture.send_heartbeat(SECOND)));
    for s in 2..8 {
        fixture.step(s * SECOND, Input::Tick);
    }
    assert!(!is_launch(fixture.send_heartbeat(8 * SECOND)));
    fixture.answer_watches(8 * SECOND, Vec::new());
    fixture.answer_watches(9 * SECOND, Vec::new());
    assert!(is_launch(fixture.send_heartbeat(9 * SECOND)));
}

/// Placing tasks of a cancelled job would use capacity and the team's quota until the write
/// fails.
#[test]
fn tasks_of_cancelled_job_are_not_placed() {
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
    assert_eq!(fixture.node.scheduler_counters().placed, 0);
}

/// The jobs that depend on a cancelled job can be cancelled only when its state record is read.
/// Until then its description must stay, even if its tasks are gone.
#[test]
fn cancelled_job_with_dependents_is_removed_only_after_its_state_record_is_read() {
    let mut fixture = LeaderFixture::with_tasks(2);
    let mut dependent = fixture.env.queue_rows[0]
        .decode_value::<OpenJob>()
        .expect("a job");
    (dependent.spec.id, dependent.spec.depends_on) = ("req-000002".into(), vec![JOB_ID.into()]);
    fixture
        .env
        .queue_rows
        .push(row(records::open_job_key("req-000002"), &dependent));
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::job_state_key(JOB_ID));
    fixture.step(0, Input::Tick);
    fixture.send_heartbeat(SECOND / 2);
    fixture.step(SECOND, Input::Tick);
    assert!(is_single_stop(fixture.send_heartbeat(SECOND)));
    fixture.reports_task = false;
    fixture.send_heartbeat(3 * SECOND / 2);
    fixture.step(2 * SECOND, Input::Tick);
    assert!(!deletes_key(&fixture, &records::open_job_key(JOB_ID)));
    let state_record = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 2,
    };
    fixture.env.readable_row = Some(row(records::job_state_key(JOB_ID), &state_record));
    fixture.step(5 * SECOND / 2, Input::Tick);
    fixture.step(3 * SECOND, Input::Tick);
    assert!(deletes_key(&fixture, &records::open_job_key(JOB_ID)));
    assert!(deletes_key(&fixture, &records::open_job_key("req-000002")));
}

/// A write that timed out may still be executed after a later write of the machine types, so
/// that each write must require the version that the leader has read.
#[test]
fn machine_types_write_requires_the_version_read() {
    let mut fixture = LeaderFixture::new();
    let mut stored = machine_types_row(4.0);
    stored.version = 4;
    fixture.env.shared_rows = vec![stored.clone()];
    fixture.env.machine_types = vec![machine_type(8.0)];
    fixture.env.conflicting_key = Some(records::MACHINE_TYPES_KEY.into());
    fixture.step(0, Input::Tick);
    fixture.step(SECOND / 10, Input::Tick);
    // The previous leader has written the record since.
    stored.version = 9;
    fixture.env.readable_row = Some(stored);
    for t in 2..10 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    fixture.env.conflicting_key = None;
    for t in 10..15 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    let preconditions = fixture.env.transactions.iter().flat_map(|t| &t.compare);
    let of_types = preconditions.filter(|c| c.key == records::MACHINE_TYPES_KEY);
    let versions: Vec<u64> = of_types.map(|c| c.version).collect();
    assert_eq!(versions[..2], [4, 9], "retried only after a read");
    assert_eq!(versions.last(), Some(&9));
}

/// A watch event may arrive after a later read. If it restored a leader key deleted by then,
/// no event would follow and no node would be elected.
#[test]
fn watch_events_older_than_the_listing_are_ignored() {
    let mut fixture = LeaderFixture::elected();
    // The leader steps down in favor of a peer that workers can reach.
    let message = Message::Heartbeat {
        term: nth_term(7),
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
    assert_eq!(
        fixture.node.leading(),
        None,
        "the node does not stand for election at once"
    );
    let lead = LeaderRecord {
        member: "n1".into(),
        lease: LeaseId(8),
        term: nth_term(1),
    };
    let event = WatchEvent::Put {
        key: records::LEADER_KEY.into(),
        value: row(records::LEADER_KEY.into(), &lead).value,
        // The listings were read at this revision.
        version: 1,
    };
    fixture.answer_watches(15 * 100 * MILLISECOND, vec![event]);
    for t in 16..30 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    assert!(fixture.node.leading().is_some());
}

/// The reply that the lease of an earlier term has expired arrives after the node's next
/// election.
#[test]
fn expiry_of_an_earlier_lease_does_not_depose_later_term() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.hold_renewals = true;
    for t in 1..5 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    let renewal = fixture.env.held_renewals.pop().expect("a renewal");
    let message = Message::Heartbeat {
        term: nth_term(7),
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

/// With a slow store the shortest lease would expire before it is renewed. Held watches and
/// slow replies of a minute ago do not count as a slow store.
#[test]
fn leader_lease_is_extended_while_store_is_slow() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::SHARED_PREFIX);
    fixture.step(0, Input::Tick);
    for t in 1..12 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
    }
    answer_listing(&mut fixture, 1200 * MILLISECOND, &[], false, 1);
    assert!(fixture.node.leading().is_some());
    fixture.env.held_listing_prefix = None;
    let depose_and_reelect = |fixture: &mut LeaderFixture, at: Micros| {
        let message = Message::Heartbeat {
            term: nth_term(1000),
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
    depose_and_reelect(&mut fixture, 3 * SECOND);
    for t in 40..600 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        if t % 10 == 0 {
            fixture.answer_watches(t * 100 * MILLISECOND, Vec::new());
        }
    }
    depose_and_reelect(&mut fixture, 60 * SECOND);
    // The TTL is three times the store's latency of 1.2 s, and a minute later the shortest one.
    assert_eq!(fixture.env.granted_ttls_ms, [3600, 3600, 1250]);
}

/// A missing reply may be due to a network partition and does not show that the store is slow.
#[test]
fn call_without_reply_does_not_extend_leader_lease() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::SHARED_PREFIX);
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

/// The reply to a duplicate does not reach the machine, so that commands in it would wrongly
/// count as sent. They are sent in the reply to the next heartbeat.
#[test]
fn duplicate_of_latest_heartbeat_is_answered_without_commands() {
    let mut fixture = LeaderFixture::elected();
    fixture.reports_task = false;
    let commands = fixture.send_heartbeat(SECOND).expect("a reply");
    assert!(matches!(&commands[..], [Command::Launch { .. }]));
    fixture.sequence -= 1;
    assert_eq!(fixture.send_heartbeat(SECOND), Some(vec![]));
    assert_eq!(fixture.send_heartbeat(3 * SECOND / 2), Some(commands));
}
