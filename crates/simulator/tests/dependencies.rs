//! Answers to submissions that depend on other jobs.

use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{Config, Input, RequestId, SECOND};
use dillcleat_simulator::objects::api_server_config_with_limits;
use dillcleat_simulator::simulation::base_config;
use dillcleat_simulator::single_node::{Event, SingleNode};
use dillcleat_simulator::store::SimulatedStore;
use dillcleat_wire::user::{ErrorReply, JOBS_PATH, JobKind, JobSpec, cancel_path};

fn node_with_ended_jobs() -> SingleNode {
    let config = Config {
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        ..base_config(0, 1, 1)
    };
    let mut store = SimulatedStore::new(config.max_value_bytes, config.max_txn_ops);
    let ended = |state| JobStateRecord {
        state,
        task_count: 1,
    };
    store.put(
        records::job_state_key("req-71"),
        &ended(RecordedState::Done),
    );
    store.put(
        records::job_state_key("req-72"),
        &ended(RecordedState::Cancelled),
    );
    let mut node = SingleNode::new(config, api_server_config_with_limits(10, 1), store);
    node.run_until(10 * SECOND);
    node
}

fn spec(id: &str, kind: JobKind, depends_on: &[&str]) -> JobSpec {
    JobSpec {
        team: "free".into(),
        depends_on: depends_on.iter().map(|job| job.to_string()).collect(),
        ..JobSpec::plain(id, kind, 1, 1.0)
    }
}

/// Submits a job. Returns the status, the error text and the stored dependencies.
fn submit(node: &mut SingleNode, spec: &JobSpec) -> (u16, String, Option<Vec<String>>) {
    let id = RequestId(node.calls + 1_000_000);
    let input = Input::Request {
        id,
        method: "POST".into(),
        target: JOBS_PATH.into(),
        body: dillcleat_wire::encode(spec),
    };
    node.schedule(node.now, Event::Input(input));
    node.run_until(node.now + SECOND);
    let found = node.answers.iter().position(|(of, _)| *of == id);
    let (_, reply) = node.answers.swap_remove(found.expect("an answer"));
    let why = dillcleat_wire::decode::<ErrorReply>(&reply.body).map_or(String::new(), |r| r.error);
    if reply.status == 503 {
        assert_eq!(reply.retry_after, Some(1));
    }
    let stored = node
        .store
        .read::<records::OpenJob>(&records::open_job_key(&spec.id));
    (
        reply.status,
        why,
        stored.map(|(job, _)| job.spec.depends_on),
    )
}

#[test]
fn dependency_on_unaccepted_job_or_service_is_rejected() {
    let mut node = node_with_ended_jobs();
    let batch = |id: &str, depends_on: &[&str]| spec(id, JobKind::Batch, depends_on);
    assert_eq!(submit(&mut node, &batch("req-1", &[])).0, 201);
    assert_eq!(
        submit(&mut node, &spec("req-2", JobKind::Service, &[])).0,
        201
    );
    // Both dependencies are accepted jobs. req-71 has completed, so only req-1 is stored.
    let (status, _, stored) = submit(&mut node, &batch("req-3", &["req-1", "req-71"]));
    assert_eq!((status, stored), (201, Some(vec!["req-1".into()])));
    // The job is accepted and then cancelled, because its dependency req-72 is cancelled.
    assert_eq!(
        submit(&mut node, &batch("req-10", &["req-1", "req-72"])).0,
        201
    );
    let record = node
        .store
        .read::<JobStateRecord>(&records::job_state_key("req-10"));
    assert_eq!(
        record.map(|(record, _)| record.state),
        Some(RecordedState::Cancelled)
    );
    for (bad, why) in [
        ("req-99", "req-99, which was never accepted"),
        ("req-4", "req-4, which was never accepted"),
        ("no ref", "no ref, which was never accepted"),
        ("req-2", "req-2, a service"),
    ] {
        let (status, error, stored) = submit(&mut node, &batch("req-4", &["req-1", bad]));
        assert_eq!((status, stored), (422, None), "{bad}");
        assert!(error.contains(why), "{bad}: {error}");
    }
    // A known job is recognised by its ID whatever else the submission contains.
    assert_eq!(submit(&mut node, &batch("req-3", &["req-99"])).0, 200);
    // With these dependencies, the stored job would exceed the size limit of a value.
    let many: Vec<String> = (0..200).map(|i| format!("req-{i}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let (status, why, _) = submit(&mut node, &batch("req-5", &many));
    assert_eq!(status, 400);
    assert!(why.contains("at most 2048"), "{why}");
    // The dependency cannot be read during a store outage.
    node.store.outage(node.now, node.now + 5 * SECOND);
    assert_eq!(submit(&mut node, &batch("req-6", &["req-98"])).0, 503);
}

#[test]
fn dependency_on_service_admitted_by_another_node_is_rejected() {
    let mut node = node_with_ended_jobs();
    let open = records::OpenJob {
        spec: spec("req-8", JobKind::Service, &[]),
        submitted_at_us: 1,
        tasks_per_chunk: 8,
        without_state_record: true,
        parallelism_limit: None,
    };
    node.store.put(records::open_job_key("req-8"), &open);
    let (status, why, _) = submit(&mut node, &spec("req-9", JobKind::Batch, &["req-8"]));
    assert_eq!(status, 422);
    assert!(why.contains("req-8, a service"), "{why}");
}

/// Guards against a job that stays open for ever because it was submitted while the
/// cancellation of its dependency was being written.
#[test]
fn job_submitted_during_cascading_cancellation_is_cancelled() {
    let mut node = node_with_ended_jobs();
    assert_eq!(
        submit(&mut node, &spec("req-1", JobKind::Batch, &[])).0,
        201
    );
    assert_eq!(
        submit(&mut node, &spec("req-2", JobKind::Batch, &["req-1"])).0,
        201
    );
    let cancel = Input::Request {
        id: RequestId(7),
        method: "POST".into(),
        target: cancel_path("req-1"),
        body: Vec::new(),
    };
    node.schedule(node.now, Event::Input(cancel));
    assert_eq!(
        submit(&mut node, &spec("req-3", JobKind::Batch, &["req-2"])).0,
        201
    );
    // This job is submitted after its dependency has been cancelled.
    assert_eq!(
        submit(&mut node, &spec("req-4", JobKind::Batch, &["req-3"])).0,
        201
    );
    node.run_until(node.now + 5 * SECOND);
    for id in ["req-1", "req-2", "req-3", "req-4"] {
        let record = node
            .store
            .read::<JobStateRecord>(&records::job_state_key(id));
        assert_eq!(
            record.map(|(record, _)| record.state),
            Some(RecordedState::Cancelled),
            "{id}"
        );
    }
    assert_eq!(node.store.keys(records::QUEUE_PREFIX), [""; 0]);
}

/// Guards against ending a job because its dependency has neither an open job nor a state
/// record yet: the leader must look for the state record again.
#[test]
fn unknown_dependency_is_not_treated_as_ended() {
    let config = Config {
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        ..base_config(0, 1, 1)
    };
    let mut store = SimulatedStore::new(config.max_value_bytes, config.max_txn_ops);
    let open = records::OpenJob {
        spec: spec("req-8", JobKind::Batch, &["req-77"]),
        submitted_at_us: 1,
        tasks_per_chunk: 8,
        without_state_record: true,
        parallelism_limit: None,
    };
    store.put(records::open_job_key("req-8"), &open);
    let mut node = SingleNode::new(config, api_server_config_with_limits(10, 1), store);
    node.run_until(10 * SECOND);
    assert!(
        node.store
            .read::<JobStateRecord>(&records::job_state_key("req-8"))
            .is_none()
    );
    let record = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    node.store.put(records::job_state_key("req-77"), &record);
    node.run_until(15 * SECOND);
    let record = node
        .store
        .read::<JobStateRecord>(&records::job_state_key("req-8"));
    assert_eq!(
        record.map(|(record, _)| record.state),
        Some(RecordedState::Cancelled)
    );
}
