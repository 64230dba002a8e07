//! A leader that is partitioned from the store does not see the cancellations that other
//! nodes confirm. It must stop renewing worker leases early enough that the cancelled tasks
//! end by the cancellation deadline. Stale writes and heartbeats must have no effect.

mod common;

use common::leader_fixture::{
    JOB_ID, LeaderFixture, START, cancellation_row, single_page, with_max_clock_drift,
};
use common::{config_with_team, nth_term, row, step_in_environment};
use dillcleat_controller::{CallError, Input, MILLISECOND, Micros, RequestId, SECOND, records};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::encode;
use dillcleat_wire::store::{LeaseId, Mutation};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, cancel_path};
use dillcleat_wire::worker::Command;

/// Asserts that a cancellation confirmed just after the read at `read_at` takes effect in
/// time: the worker lease, last renewed at `renewed_at`, expires before the deadline.
fn assert_deadline_met(fixture: &LeaderFixture, read_at: Micros, renewed_at: Micros) {
    let (lease, deadline) = (
        fixture.config.worker_lease,
        fixture.config.cancel_time_limit,
    );
    assert!(
        with_max_clock_drift(renewed_at + lease - read_at) < deadline,
        "read at {read_at}, lease renewed at {renewed_at}"
    );
    assert!(
        renewed_at > read_at + 10 * SECOND,
        "leases are renewed for too short a time"
    );
}

#[test]
fn lease_renewal_limit_counts_from_the_watch_request() {
    let mut fixture = LeaderFixture::elected();
    // The watch returns after 9 s without events.
    fixture.answer_watches(9 * SECOND, Vec::new());
    // The next watch is not answered.
    let renewed_at = fixture.run_and_return_last_renewal(9 * SECOND);
    assert_deadline_met(&fixture, 9 * SECOND, renewed_at);
    let mut fixture = LeaderFixture::elected();
    for s in 1..9 {
        fixture.step(s * SECOND, Input::Tick);
    }
    // Calls that follow the watch's reply fail, so that only the next watch is open.
    fixture.env.store_up = false;
    fixture.answer_watches(9 * SECOND, Vec::new());
    fixture.env.store_up = true;
    let delayed = std::mem::take(&mut fixture.env.open_watches);
    let renewed_at = fixture.run_and_return_last_renewal(10 * SECOND);
    assert_deadline_met(&fixture, 9 * SECOND, renewed_at);
    // The watch that was requested at 9 s is answered at 100 s.
    fixture.env.open_watches = delayed;
    fixture.answer_watches(100 * SECOND, Vec::new());
    let fresh = std::mem::take(&mut fixture.env.open_watches);
    assert!(
        fixture.send_heartbeat(100 * SECOND).is_none(),
        "the watch was requested at 9 s"
    );
    fixture.env.open_watches = fresh;
    fixture.answer_watches(101 * SECOND, Vec::new());
    assert!(
        fixture.send_heartbeat(101 * SECOND).is_some(),
        "the watch was requested at 100 s"
    );
}

/// A previous leader that was partitioned from the store may have renewed leases until the
/// election, so that cancellations confirmed before the election also count.
#[test]
fn new_leader_renews_no_lease_before_reading_cancellations() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::QUEUE_PREFIX);
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    assert!(
        fixture.send_heartbeat(SECOND).is_none(),
        "nothing has been read"
    );
    let listing = fixture
        .env
        .held_listings
        .pop()
        .expect("the queue is read first");
    let reply = Err(CallError::NoAnswer);
    fixture.step(2 * SECOND, Input::Store { id: listing, reply });
    assert!(fixture.send_heartbeat(2 * SECOND).is_none());
    fixture.step(3 * SECOND, Input::Tick);
    let listing = fixture
        .env
        .held_listings
        .pop()
        .expect("the listing is retried");
    fixture.env.held_listing_prefix = Some(records::TASKS_PREFIX);
    let reply = single_page(&fixture.env.queue_rows);
    fixture.step(4 * SECOND, Input::Store { id: listing, reply });
    assert!(
        fixture.send_heartbeat(4 * SECOND).is_some(),
        "the job is not cancelled"
    );
    // The age of a listing is measured from its request.
    let renewed_at = fixture.run_and_return_last_renewal(5 * SECOND);
    assert_deadline_met(&fixture, 3 * SECOND, renewed_at);
}

/// The limit must not count from the end of the recovery, which takes 9 s. The watches after
/// the recovery are not answered.
#[test]
fn lease_renewal_limit_counts_from_the_request_of_the_first_page() {
    let mut fixture = LeaderFixture::new();
    fixture.env.held_listing_prefix = Some(records::TASKS_PREFIX);
    for s in 0..10 {
        fixture.step(s * SECOND, Input::Tick);
    }
    let listing = fixture.env.held_listings.pop().expect("tasks are read");
    let reply = single_page(&fixture.env.task_rows);
    fixture.step(9 * SECOND, Input::Store { id: listing, reply });
    assert!(fixture.node.fence().is_some(), "recovery is complete");
    let renewed_at = fixture.run_and_return_last_renewal(10 * SECOND);
    assert_deadline_met(&fixture, 0, renewed_at);
}

/// Until the placements are read, any machine may run a cancelled task, so that the oldest
/// cancellation limits the renewals of all leases.
#[test]
fn recovering_leader_stops_renewing_before_oldest_cancellation_deadline() {
    let limit = config_with_team().heartbeat_answer_limit();
    for (cancelled_before, renews) in [(SECOND, true), (limit + SECOND, false)] {
        let mut fixture = LeaderFixture::new();
        let mut queue = vec![cancellation_row(START - cancelled_before)];
        queue.append(&mut fixture.env.queue_rows);
        fixture.env.queue_rows = queue;
        fixture.env.held_listing_prefix = Some(records::TASKS_PREFIX);
        fixture.step(0, Input::Tick);
        assert_eq!(
            fixture.send_heartbeat(SECOND).is_some(),
            renews,
            "{cancelled_before}"
        );
        let renewed_at = fixture.run_and_return_last_renewal(2 * SECOND);
        let lease_ends =
            with_max_clock_drift(renewed_at + fixture.config.worker_lease + cancelled_before);
        assert!(
            lease_ends < fixture.config.cancel_time_limit,
            "{renewed_at}"
        );
    }
}

/// A leader that steps down and is elected again has to read the queue again.
#[test]
fn re_elected_leader_renews_no_lease_before_reading_the_queue() {
    let mut fixture = LeaderFixture::elected();
    assert!(fixture.send_heartbeat(SECOND).is_some());
    fixture.env.held_listing_prefix = Some(records::QUEUE_PREFIX);
    let message = Message::Heartbeat {
        term: nth_term(7),
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

/// The machine is unreachable when its job is cancelled. When it is reachable again, the
/// leader's last read is too old for launches, but the task must still be stopped.
#[test]
fn known_cancellation_is_enforced_without_fresh_read() {
    let mut fixture = LeaderFixture::elected();
    assert!(fixture.send_heartbeat(SECOND / 2).is_some());
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    for s in 2..12 {
        fixture.step(s * SECOND, Input::Tick);
    }
    let commands = fixture.send_heartbeat(12 * SECOND).expect("a reply");
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// The machine keeps reporting the cancelled task, and the cloud is unreachable. Its lease
/// must expire in time; it is renewed again once the task is gone.
#[test]
fn lease_expires_before_deadline_while_cancelled_task_remains() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.cloud_up = false;
    let cancelled_at = SECOND;
    fixture.answer_watches(
        cancelled_at,
        vec![LeaderFixture::put_event(cancellation_row(
            START + cancelled_at,
        ))],
    );
    let mut renewed_at = 0;
    for s in 2..60 {
        let at = s * SECOND;
        fixture.step(at, Input::Tick);
        fixture.answer_watches(at, Vec::new());
        if fixture.send_heartbeat(at).is_some() {
            renewed_at = at;
        }
    }
    assert_deadline_met(&fixture, cancelled_at, renewed_at);
    fixture.reports_task = false;
    assert!(
        fixture.send_heartbeat(60 * SECOND).is_some(),
        "no cancelled task is left"
    );
}

/// The reachable peer cannot reach the store either, as in an outage, but an unreachable
/// peer may have been elected.
#[test]
fn leader_without_leadership_proof_deletes_no_machine_for_a_cancellation() {
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
            term: nth_term(1),
            is_leader: false,
            store_reachable: false,
            workers_reachable: false,
            requests_per_s: 0,
        };
        let from = "n1".to_string();
        fixture.step(at, Input::Peer { from, message });
        let now = START + at;
        let (_, calls) = step_in_environment(
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

/// The write of a placement times out but is executed late, so its retry conflicts.
#[test]
fn conflict_of_a_retried_write_does_not_depose_the_leader() {
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
    assert!(
        fixture.env.refused_reads > 0,
        "the leader tries to read the chunk"
    );
    assert!(
        fixture.node.leading().is_some(),
        "the conflicting write is the leader's own"
    );
}

/// The machine does not receive the reply to a duplicate of an older heartbeat, so commands
/// in it would wrongly count as sent.
#[test]
fn older_heartbeat_is_answered_without_commands() {
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
    let commands = fixture.send_heartbeat(SECOND).expect("a reply");
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
}

#[test]
fn later_term_in_store_deposes_leader() {
    let mut fixture = LeaderFixture::elected();
    fixture.step(SECOND / 10, Input::Tick);
    let term = row(
        records::TERM_KEY.into(),
        &records::TermRecord { term: nth_term(9) },
    );
    fixture.answer_watches(SECOND / 2, vec![LeaderFixture::put_event(term)]);
    assert_eq!(fixture.node.leading(), None);
}

/// The candidate's election transaction may still be executed late; without the lease it
/// cannot set the leader key.
#[test]
fn losing_candidate_revokes_its_lease() {
    let mut fixture = LeaderFixture::new();
    fixture.env.conflicting_key = Some(records::LEADER_KEY.into());
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), None);
    assert_eq!(fixture.env.revoked_leases, [LeaseId(1)]);
}

/// A submission that is executed late, after its job has ended and its record was deleted,
/// must not create the job again.
#[test]
fn submission_requires_absent_job_and_state_record() {
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
    let open = records::open_job_key(id);
    let puts_key = |c: &Mutation| matches!(c, Mutation::Put { key, .. } if *key == open);
    let submission = fixture
        .env
        .transactions
        .iter()
        .find(|t| t.then.iter().any(puts_key));
    let preconditions = &submission.expect("it is stored").compare;
    for key in [records::job_state_key(id), open.clone()] {
        assert!(preconditions.iter().any(|c| c.key == key && c.version == 0));
    }
}

/// A cancellation that is executed late, after its job is done, must have no effect.
#[test]
fn cancellation_requires_absent_state_record() {
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
    let cancelled = records::cancelled_job_key(JOB_ID);
    let puts_key = |c: &Mutation| matches!(c, Mutation::Put { key, .. } if *key == cancelled);
    let mut transactions = fixture.env.transactions.iter();
    let cancellation = transactions.find(|t| t.then.iter().any(puts_key));
    let preconditions = &cancellation.expect("it is stored").compare;
    let state_key = records::job_state_key(JOB_ID);
    assert!(
        preconditions
            .iter()
            .any(|c| c.key == state_key && c.version == 0)
    );
}

/// The term precondition is the only protection of the next leader against late writes.
#[test]
fn every_leader_write_requires_its_term() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.machine_types = vec![common::machine_type(8.0)];
    fixture.step(0, Input::Tick);
    fixture.env.transactions.clear();
    fixture.task_completed = true;
    for t in 1..20 {
        fixture.step(t * 100 * MILLISECOND, Input::Tick);
        fixture.send_heartbeat(t * 100 * MILLISECOND);
    }
    let transactions = &fixture.env.transactions;
    assert!(transactions.len() > 1, "a task end and a placement");
    for txn in transactions {
        let is_term = |c: &dillcleat_wire::store::Precondition| c.key == records::TERM_KEY;
        assert!(txn.compare.iter().any(is_term), "{txn:?}");
    }
}

/// The machine sends heartbeats but keeps the cancelled task. A leader with proof of its
/// leadership deletes the machine without waiting for the lease to expire.
#[test]
fn machine_that_keeps_cancelled_task_is_deleted_before_deadline() {
    let mut fixture = LeaderFixture::elected();
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    let mut deleted_at = None;
    for t in 10..400 {
        let at = t * 100 * MILLISECOND;
        let now = START + at;
        let tick = Input::Tick;
        let (_, calls) = step_in_environment(
            &mut fixture.node,
            now,
            tick,
            &fixture.machine_rows,
            &mut fixture.env,
        );
        let is_deletion = |c: &CloudRequest| matches!(c, CloudRequest::Delete(_));
        if calls.iter().any(is_deletion) {
            deleted_at.get_or_insert(at);
        }
        fixture.answer_watches(at, Vec::new());
        if t % 10 == 0 {
            fixture.send_heartbeat(at);
        }
    }
    let deleted_at = deleted_at.expect("the machine is deleted");
    // The leader deletes the machine after 3/10 of the deadline; 1/10 is a margin.
    assert!(
        deleted_at < SECOND + fixture.config.cancel_time_limit * 4 / 10,
        "{deleted_at}"
    );
}

/// A heartbeat that arrives after the deletion of its machine must not register the machine
/// again.
#[test]
fn delayed_heartbeat_does_not_restore_deleted_machine() {
    let mut fixture = LeaderFixture::elected();
    fixture.send_heartbeat(SECOND / 2);
    fixture.answer_watches(
        SECOND,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    let mut deletions = 0;
    for t in 20..600 {
        let at = t * 100 * MILLISECOND;
        let now = START + at;
        let tick = Input::Tick;
        let (_, calls) = step_in_environment(
            &mut fixture.node,
            now,
            tick,
            &fixture.machine_rows,
            &mut fixture.env,
        );
        let is_deletion = |c: &CloudRequest| matches!(c, CloudRequest::Delete(_));
        deletions += calls.into_iter().filter(is_deletion).count();
        fixture.answer_watches(at, Vec::new());
        // The machine sends heartbeats for 16 s, or until its deletion if that is earlier. The
        // heartbeat at 25 s is a delayed one.
        if t % 10 == 0 && (t < 160 && deletions == 0 || t == 250) {
            fixture.send_heartbeat(at);
        }
    }
    assert_eq!(deletions, 1, "the machine is not registered again");
}

/// The leader may be lost before the result is stored; the machine has to keep it for the
/// next leader.
#[test]
fn exited_task_is_reaped_only_after_its_result_is_stored() {
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
        let commands = fixture.send_heartbeat(3 * SECOND).expect("a reply");
        assert!(
            matches!(&commands[..], [Command::Reap { .. }]),
            "{tasks}: {commands:?}"
        );
    }
}

/// A conflict shows that the state record of the job has changed, but the record cannot be
/// read. When the watch reports the cancellation, the task must be stopped without waiting for
/// the read.
#[test]
fn cancellation_is_enforced_while_state_record_is_unreadable() {
    let mut fixture = LeaderFixture::with_tasks(2);
    fixture.env.conflicting_key = Some(records::job_state_key(JOB_ID));
    fixture.env.machine_types = vec![common::machine_type(8.0)];
    fixture.step(0, Input::Tick);
    assert!(fixture.send_heartbeat(SECOND / 2).is_some());
    fixture.step(SECOND, Input::Tick);
    assert!(
        fixture.env.refused_reads > 0,
        "the conflict makes the leader read the state record"
    );
    fixture.answer_watches(
        3 * SECOND / 2,
        vec![LeaderFixture::put_event(cancellation_row(START + SECOND))],
    );
    let commands = fixture.send_heartbeat(2 * SECOND).expect("a reply");
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// The end of a job conflicts with its cancellation while the store refuses reads: the read
/// of the state record must be retried, but not in a tight loop.
#[test]
fn refused_read_is_retried_after_a_pause() {
    let mut fixture = LeaderFixture::elected();
    fixture.env.conflicting_key = Some(records::job_state_key(JOB_ID));
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

/// If the worker lease leaves too little time before `cancel_s`, tasks of a cancelled job may
/// end late by at most the reported excess.
#[test]
fn worker_lease_near_cancel_deadline_reports_excess() {
    let mut config = config_with_team();
    assert_eq!(config.cancel_time_excess(), None);
    config.worker_lease = config.cancel_time_limit - SECOND;
    let excess = config.cancel_time_excess().expect("an excess");
    assert_eq!(config.heartbeat_answer_limit(), excess);
    // Tasks end no later than this, including the margin.
    let latest = config.heartbeat_answer_limit() + config.worker_lease;
    assert!(latest <= config.cancel_time_limit + excess);
    config.worker_lease = config.cancel_time_limit / 2;
    assert_eq!(config.cancel_time_excess(), None);
}
