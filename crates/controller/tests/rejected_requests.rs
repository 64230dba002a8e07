//! Submissions that are malformed or can never run, and cancellations of jobs that have
//! ended or never existed, at nodes that have or have not read the machine types, and while the
//! store fails.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::records::{MachineTypesRecord, RecordedState};
use dillcleat_controller::{CallError, Config, Micros, SECOND, records};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value, encode_value};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, JobState};

const START: Micros = 1000 * SECOND;
const JOB_ID: &str = "req-1";

/// A configuration with a quota of 4 CPUs for the team. The machine types come from
/// `SteppedNode`: 8 CPUs, 64 GB and no GPU, in zone a only.
fn config() -> Config {
    let mut config = common::config_with_team();
    for team in &mut config.teams {
        team.cpus_max = 4.0;
    }
    config
}

/// Malformed submissions, each with one wrong field and a description of it.
fn malformed_submissions() -> Vec<(String, Vec<u8>)> {
    let Value::Map(fields) = encode_value(&job_spec(JOB_ID)) else {
        panic!("a submission is a map");
    };
    let mut all = Vec::new();
    let mut add = |name: &str, field: Option<Value>| {
        let shown = field.as_ref().map_or(String::new(), Value::to_string);
        let shown: String = shown.chars().take(40).collect();
        all.push((
            format!("{name} = {shown}"),
            submission_with_field(JOB_ID, name, field),
        ));
    };
    for (name, valid) in &fields {
        let name = name.as_str().expect("text");
        let optional = ["formats", "room", "due_s"].contains(&name);
        let wrong = match valid {
            Value::String(_) => Value::from(7),
            _ => Value::from("x"),
        };
        // `room`, the zone, is nil in this job, so that its type cannot be derived from the
        // value.
        let wrong = if name == "room" {
            Value::from(7)
        } else {
            wrong
        };
        if name != "ref" {
            add(name, Some(wrong));
        }
        if name != "ref" && !optional {
            add(name, None);
            add(name, Some(Value::Nil));
        }
    }
    for name in [
        "vcpus",
        "accelerators",
        "ram_gb",
        "pull_gb",
        "reckon_s",
        "bookmark_s",
        "shelve_s",
    ] {
        for number in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 1e300] {
            add(name, Some(Value::from(number)));
        }
    }
    for task_count in [0, -1, 100_001, i64::MAX] {
        add("leaves", Some(Value::from(task_count)));
    }
    add("leaves", Some(Value::from(u64::MAX)));
    add("leaves", Some(Value::from(2.5)));
    add("binding", Some(Value::from("group")));
    add("urgency", Some(Value::from("")));
    add("awaits", Some(Value::from("req-2")));
    add("formats", Some(Value::Array(vec![Value::from(7)])));
    // Well-formed, but larger than a stored job may be.
    let many = (0..2000).map(|i| Value::from(format!("req-{i}"))).collect();
    add("awaits", Some(Value::Array(many)));
    add("lot", Some(Value::from("x".repeat(60_000))));
    all
}

/// Submissions of jobs that can never run, each with the reason.
fn unschedulable_submissions() -> Vec<(String, Vec<u8>)> {
    let mut all = Vec::new();
    let mut add = |reason: &str, change: fn(&mut JobSpec)| {
        let mut spec = job_spec(JOB_ID);
        change(&mut spec);
        all.push((reason.to_string(), dillcleat_wire::encode(&spec)));
    };
    add("unknown team", |s| s.team = "nobody".into());
    add("more CPUs than any machine", |s| s.cpus = 8.5);
    add("a GPU", |s| s.gpus = 1.0);
    add("more memory than any machine", |s| s.memory_gb = 64.5);
    add("the largest memory that the parser accepts", |s| {
        s.memory_gb = 1e9
    });
    add("unknown type", |s| s.types = Some(vec!["no".into()]));
    add("no type", |s| s.types = Some(vec![]));
    add("unknown zone", |s| s.zone = Some("z".into()));
    add("a task beyond the team's quota", |s| s.cpus = 4.5);
    add("a service beyond the team's quota", |s| {
        (s.kind, s.tasks, s.spot) = (JobKind::Service, 5, false);
    });
    add("a single zone and a spread over zones", |s| {
        (s.single_zone, s.spread) = (true, true)
    });
    add("depends on an unknown job", |s| {
        s.depends_on = vec!["req-404".into()]
    });
    add("depends on itself", |s| s.depends_on = vec![JOB_ID.into()]);
    all
}

/// Sends a submission, answers every store call after a second with `reply`, and returns the
/// status and job state of the answer.
fn submit(
    node: &mut SteppedNode,
    body: &[u8],
    mut reply: impl FnMut(&StoreRequest) -> Result<StoreResponse, CallError>,
) -> (u16, Option<JobState>) {
    let request = node.request("POST", JOBS_PATH.into(), body.to_vec());
    for _ in 0..20 {
        if let Some(answer) = node.answer(request) {
            return answer;
        }
        if node.pending_calls.is_empty() {
            node.tick();
            continue;
        }
        let (id, call) = node.take_call();
        node.now += SECOND;
        node.reply(id, reply(&call));
    }
    panic!("no answer");
}

/// A node that has just started and one that has read the machine types. The flag says whether
/// the node has read them.
fn nodes() -> [(bool, SteppedNode); 2] {
    [
        (false, SteppedNode::new(config(), START)),
        (true, SteppedNode::with_machine_types(config(), START)),
    ]
}

#[test]
fn malformed_and_unschedulable_submissions_are_rejected() {
    let rejected = [
        (400, malformed_submissions()),
        (422, unschedulable_submissions()),
    ];
    for (status_with_types, (case, body)) in rejected
        .iter()
        .flat_map(|(r, all)| all.iter().map(move |b| (*r, b)))
    {
        for (has_types, mut node) in nodes() {
            let mut store = MemoryStore::default();
            let (status, _) = submit(&mut node, body, |call| Ok(store.execute(call)));
            // Without the machine types a node cannot check whether a job is schedulable.
            let expected = if has_types || status_with_types == 400 {
                status_with_types
            } else {
                503
            };
            assert_eq!(status, expected, "{case}, has_types: {has_types}");
            assert!(store.rows.is_empty(), "{case}");
        }
    }
}

/// A failing cloud may return an empty list of machine types. Submissions must then not be
/// rejected as unschedulable.
#[test]
fn submission_gets_503_while_the_list_of_machine_types_is_empty() {
    let mut node = SteppedNode::new(config(), START);
    node.machine_types_row = common::row(
        records::MACHINE_TYPES_KEY.into(),
        &MachineTypesRecord { types: Vec::new() },
    );
    node.tick();
    let valid = dillcleat_wire::encode(&job_spec(JOB_ID));
    let mut store = MemoryStore::default();
    let (status, _) = submit(&mut node, &valid, |call| Ok(store.execute(call)));
    assert_eq!(status, 503);
}

/// The job may already exist, and a submission of an existing job must not be rejected.
#[test]
fn every_submission_gets_503_while_the_store_fails() {
    let valid = (
        "valid".to_string(),
        dillcleat_wire::encode(&job_spec(JOB_ID)),
    );
    let all = [
        malformed_submissions(),
        unschedulable_submissions(),
        vec![valid],
    ]
    .concat();
    let replies = [
        Ok(StoreResponse::Unavailable),
        Ok(StoreResponse::RateLimited),
        Err(CallError::NotSent),
        Err(CallError::NoAnswer),
    ];
    for (case, body) in &all {
        for reply in &replies {
            for (has_types, mut node) in nodes() {
                let (status, _) = submit(&mut node, body, |_| reply.clone());
                assert_eq!(status, 503, "{case}, {reply:?}, has_types: {has_types}");
            }
        }
    }
}

/// A node returns the state of an existing job whatever the repeated submission contains, and
/// even if the node has just started.
#[test]
fn repeated_submission_of_an_existing_job_returns_its_state() {
    let valid = (
        "valid".to_string(),
        dillcleat_wire::encode(&job_spec(JOB_ID)),
    );
    let all = [
        malformed_submissions(),
        unschedulable_submissions(),
        vec![valid],
    ]
    .concat();
    let states = [JobState::Queued, JobState::Done, JobState::Cancelled];
    for (case, body) in &all {
        for state in states {
            let mut store = MemoryStore::default();
            let mut other = SteppedNode::with_machine_types(config(), START);
            other.submit(&job_spec(JOB_ID));
            other.execute_all(&mut store);
            match state {
                JobState::Done => {
                    store.record_done(JOB_ID);
                }
                JobState::Cancelled => {
                    other.cancel(JOB_ID);
                    other.execute_all(&mut store);
                }
                _ => {}
            }
            for (has_types, mut node) in nodes() {
                let answer = submit(&mut node, body, |call| Ok(store.execute(call)));
                assert_eq!(answer, (200, Some(state)), "{case}, has_types: {has_types}");
            }
        }
    }
}

/// The last cancellation is answered without a store call, because the node has already seen
/// that the job has ended.
#[test]
fn cancellation_of_an_unknown_job_gets_404_and_of_a_done_job_its_state() {
    let mut store = MemoryStore::default();
    let mut node = SteppedNode::with_machine_types(config(), START);
    let mut cancel = |store: &mut MemoryStore, id: &str| {
        let request = node.cancel(id);
        node.execute_all(store);
        node.answer(request)
    };
    assert_eq!(cancel(&mut store, JOB_ID), Some((404, None)));
    for id in ["req-", "req-1x", "job-1", "req-1%2f2"] {
        assert_eq!(cancel(&mut store, id), Some((404, None)), "{id}");
    }
    assert!(store.rows.is_empty());
    let mut other = SteppedNode::with_machine_types(config(), START);
    other.submit(&job_spec(JOB_ID));
    other.execute_all(&mut store);
    store.record_done(JOB_ID);
    for _ in 0..2 {
        assert_eq!(
            cancel(&mut store, JOB_ID),
            Some((200, Some(JobState::Done)))
        );
    }
    assert_eq!(store.recorded_state(JOB_ID), Some(RecordedState::Done));
    let request = node.cancel(JOB_ID);
    assert_eq!(node.answer(request), Some((200, Some(JobState::Done))));
}
