//! What a submission that waits for other jobs is answered.

use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{Config, Input, RequestId, SECOND};
use dillcleat_simulator::objects::rules_for;
use dillcleat_simulator::simulation::config;
use dillcleat_simulator::single_node::{Ev, SingleNode};
use dillcleat_simulator::store::SimulatedStore;
use dillcleat_wire::user::{ErrorReply, JOBS_PATH, JobKind, JobSpec, cancel_path};

fn alone() -> SingleNode {
    let one = Config {
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        ..config(0, 1, 1)
    };
    let mut state = SimulatedStore::new(one.max_value_bytes, one.max_txn_ops);
    let ended = |s| JobStateRecord {
        state: s,
        task_count: 1,
    };
    state.put(
        records::job_state_key("req-71"),
        &ended(RecordedState::Done),
    );
    state.put(
        records::job_state_key("req-72"),
        &ended(RecordedState::Cancelled),
    );
    let mut alone = SingleNode::new(one, rules_for(10, 1), state);
    alone.until(10 * SECOND);
    alone
}

fn spec(id: &str, kind: JobKind, awaits: &[&str]) -> JobSpec {
    JobSpec {
        team: "free".into(),
        depends_on: awaits.iter().map(|a| a.to_string()).collect(),
        ..JobSpec::plain(id, kind, 1, 1.0)
    }
}

/// Its status, why if it is refused, and what is stored that it waits for.
fn submit(alone: &mut SingleNode, spec: &JobSpec) -> (u16, String, Option<Vec<String>>) {
    let id = RequestId(alone.calls + 1_000_000);
    let input = Input::Request {
        id,
        method: "POST".into(),
        target: JOBS_PATH.into(),
        body: dillcleat_wire::encode(spec),
    };
    alone.at(alone.now, Ev::Input(input));
    alone.until(alone.now + SECOND);
    let found = alone.answers.iter().position(|(of, _)| *of == id);
    let (_, reply) = alone.answers.swap_remove(found.expect("an answer"));
    let why = dillcleat_wire::decode::<ErrorReply>(&reply.body).map_or(String::new(), |r| r.error);
    if reply.status == 503 {
        assert_eq!(reply.retry_after, Some(1));
    }
    let stored = alone
        .state
        .read::<records::OpenJob>(&records::open_job_key(&spec.id));
    (
        reply.status,
        why,
        stored.map(|(job, _)| job.spec.depends_on),
    )
}

#[test]
fn names_must_have_been_accepted() {
    let mut a = alone();
    let batch = |id: &str, awaits: &[&str]| spec(id, JobKind::Batch, awaits);
    assert_eq!(submit(&mut a, &batch("req-1", &[])).0, 201);
    assert_eq!(submit(&mut a, &spec("req-2", JobKind::Service, &[])).0, 201);
    // Known here, or by its records alone: accepted. What is done is not waited for.
    let (status, _, stored) = submit(&mut a, &batch("req-3", &["req-1", "req-71"]));
    assert_eq!((status, stored), (201, Some(vec!["req-1".into()])));
    // Accepted, and cancelled soon after.
    assert_eq!(
        submit(&mut a, &batch("req-10", &["req-1", "req-72"])).0,
        201
    );
    let mark = a
        .state
        .read::<JobStateRecord>(&records::job_state_key("req-10"));
    assert_eq!(
        mark.map(|(mark, _)| mark.state),
        Some(RecordedState::Cancelled)
    );
    for (bad, why) in [
        ("req-99", "req-99, which was never accepted"),
        ("req-4", "req-4, which was never accepted"),
        ("no ref", "no ref, which was never accepted"),
        ("req-2", "req-2, a service"),
    ] {
        let (status, said, stored) = submit(&mut a, &batch("req-4", &["req-1", bad]));
        assert_eq!((status, stored), (422, None), "{bad}");
        assert!(said.contains(why), "{bad}: {said}");
    }
    // Known already, whatever else the body holds.
    assert_eq!(submit(&mut a, &batch("req-3", &["req-99"])).0, 200);
    // More names than one value holds.
    let many: Vec<String> = (0..200).map(|i| format!("req-{i}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let (status, why, _) = submit(&mut a, &batch("req-5", &many));
    assert_eq!(status, 400);
    assert!(why.contains("at most 2048"), "{why}");
    // What can't be looked up now.
    a.state.outage(a.now, a.now + 5 * SECOND);
    assert_eq!(submit(&mut a, &batch("req-6", &["req-98"])).0, 503);
}

/// That a job is a service is known also of one that another node took.
#[test]
fn a_service_of_another_node_is_never_waited_for() {
    let mut a = alone();
    let open = records::OpenJob {
        spec: spec("req-8", JobKind::Service, &[]),
        submitted_at_us: 1,
        tasks_per_chunk: 8,
        without_state_record: true,
        parallelism_limit: None,
    };
    a.state.put(records::open_job_key("req-8"), &open);
    let (status, why, _) = submit(&mut a, &spec("req-9", JobKind::Batch, &["req-8"]));
    assert_eq!(status, 422);
    assert!(why.contains("req-8, a service"), "{why}");
}

/// One comes to wait for a job whose cancellation, which follows from another, is just
/// being written: it was once called open for ever.
#[test]
fn who_comes_while_a_cancellation_goes_down_the_line() {
    let mut a = alone();
    assert_eq!(submit(&mut a, &spec("req-1", JobKind::Batch, &[])).0, 201);
    assert_eq!(
        submit(&mut a, &spec("req-2", JobKind::Batch, &["req-1"])).0,
        201
    );
    let cancel = Input::Request {
        id: RequestId(7),
        method: "POST".into(),
        target: cancel_path("req-1"),
        body: Vec::new(),
    };
    a.at(a.now, Ev::Input(cancel));
    assert_eq!(
        submit(&mut a, &spec("req-3", JobKind::Batch, &["req-2"])).0,
        201
    );
    // And one after all is over.
    assert_eq!(
        submit(&mut a, &spec("req-4", JobKind::Batch, &["req-3"])).0,
        201
    );
    a.until(a.now + 5 * SECOND);
    for id in ["req-1", "req-2", "req-3", "req-4"] {
        let mark = a.state.read::<JobStateRecord>(&records::job_state_key(id));
        assert_eq!(
            mark.map(|(mark, _)| mark.state),
            Some(RecordedState::Cancelled),
            "{id}"
        );
    }
    assert_eq!(a.state.keys(records::QUEUE_PREFIX), [""; 0]);
}

/// A dependency that is neither open nor marked, as a leader sees one whose description
/// it has yet to be told of: that proves nothing, and its mark is looked for again.
#[test]
fn what_is_not_there_is_not_over() {
    let one = Config {
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        ..config(0, 1, 1)
    };
    let mut state = SimulatedStore::new(one.max_value_bytes, one.max_txn_ops);
    let open = records::OpenJob {
        spec: spec("req-8", JobKind::Batch, &["req-77"]),
        submitted_at_us: 1,
        tasks_per_chunk: 8,
        without_state_record: true,
        parallelism_limit: None,
    };
    state.put(records::open_job_key("req-8"), &open);
    let mut a = SingleNode::new(one, rules_for(10, 1), state);
    a.until(10 * SECOND);
    assert!(
        a.state
            .read::<JobStateRecord>(&records::job_state_key("req-8"))
            .is_none()
    );
    let mark = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    a.state.put(records::job_state_key("req-77"), &mark);
    a.until(15 * SECOND);
    let mark = a
        .state
        .read::<JobStateRecord>(&records::job_state_key("req-8"));
    assert_eq!(
        mark.map(|(mark, _)| mark.state),
        Some(RecordedState::Cancelled)
    );
}
