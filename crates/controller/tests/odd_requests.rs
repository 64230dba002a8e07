//! Submissions that are malformed or can never run, and cancellations of what is over or
//! never was: at nodes that know everything, that have just started, or that the store
//! does not serve.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::records::{MachineTypesRecord, RecordedState};
use dillcleat_controller::{CallError, Config, Micros, SECOND, records};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value, encode_value};
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, JobState};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";

/// A team of 4 CPUs at once; machines have 8 CPUs, 64 GB and no GPU, all in zone a.
fn config() -> Config {
    let mut config = common::config_with_team();
    for team in &mut config.teams {
        team.cpus_max = 4.0;
    }
    config
}

/// Submissions that are not in their form, each wrong in one field.
fn malformed() -> Vec<(String, Vec<u8>)> {
    let Value::Map(fields) = encode_value(&job_spec(JOB)) else {
        panic!("a submission is a map");
    };
    let mut all = Vec::new();
    let mut add = |name: &str, field: Option<Value>| {
        let shown = field.as_ref().map_or(String::new(), Value::to_string);
        let shown: String = shown.chars().take(40).collect();
        all.push((
            format!("{name} = {shown}"),
            submission_with_field(JOB, name, field),
        ));
    };
    for (name, good) in &fields {
        let name = name.as_str().expect("text");
        let optional = ["formats", "room", "due_s"].contains(&name);
        let wrong = match good {
            Value::String(_) => Value::from(7),
            _ => Value::from("x"),
        };
        // A room is a text.
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
    for leaves in [0, -1, 100_001, i64::MAX] {
        add("leaves", Some(Value::from(leaves)));
    }
    add("leaves", Some(Value::from(u64::MAX)));
    add("leaves", Some(Value::from(2.5)));
    add("binding", Some(Value::from("group")));
    add("urgency", Some(Value::from("")));
    add("awaits", Some(Value::from("req-2")));
    add("formats", Some(Value::Array(vec![Value::from(7)])));
    // In its form, and larger than what is stored of a job.
    let many = (0..2000).map(|i| Value::from(format!("req-{i}"))).collect();
    add("awaits", Some(Value::Array(many)));
    add("lot", Some(Value::from("x".repeat(60_000))));
    all
}

/// Submissions that can never run.
fn unfit() -> Vec<(String, Vec<u8>)> {
    let mut all = Vec::new();
    let mut add = |what: &str, change: fn(&mut JobSpec)| {
        let mut spec = job_spec(JOB);
        change(&mut spec);
        all.push((what.to_string(), dillcleat_wire::encode(&spec)));
    };
    add("unknown team", |s| s.team = "nobody".into());
    add("more CPUs than any machine", |s| s.cpus = 8.5);
    add("a GPU", |s| s.gpus = 1.0);
    add("more memory than any machine", |s| s.memory_gb = 64.5);
    add("the most that is read", |s| s.memory_gb = 1e9);
    add("unknown type", |s| s.types = Some(vec!["no".into()]));
    add("no type", |s| s.types = Some(vec![]));
    add("unknown zone", |s| s.zone = Some("z".into()));
    add("a task beyond the team's limit", |s| s.cpus = 4.5);
    add("a service beyond the team's limit", |s| {
        (s.kind, s.tasks, s.spot) = (JobKind::Service, 5, false);
    });
    add("one zone and several", |s| {
        (s.single_zone, s.spread) = (true, true)
    });
    add("waits for nobody's job", |s| {
        s.depends_on = vec!["req-404".into()]
    });
    add("waits for itself", |s| s.depends_on = vec![JOB.into()]);
    all
}

/// Submits, and answers every call as told; each answer takes a second. Returns what is
/// answered.
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

/// Nodes that have just started, and that know the machine types.
fn nodes() -> [(bool, SteppedNode); 2] {
    [
        (false, SteppedNode::new(config(), START)),
        (true, SteppedNode::ready(config(), START)),
    ]
}

#[test]
fn every_node_refuses_what_is_malformed_and_what_can_never_run() {
    let odd = [(400, malformed()), (422, unfit())];
    for (refusal, (what, body)) in odd
        .iter()
        .flat_map(|(r, all)| all.iter().map(move |b| (*r, b)))
    {
        for (ready, mut node) in nodes() {
            let mut store = MemoryStore::default();
            let (status, _) = submit(&mut node, body, |call| Ok(store.execute(call)));
            // What fits is yet to be heard of.
            let expected = if ready || refusal == 400 {
                refusal
            } else {
                503
            };
            assert_eq!(status, expected, "{what}, ready: {ready}");
            assert!(store.rows.is_empty(), "{what}");
        }
    }
}

/// A cloud in trouble that lists no type at all is no reason to refuse every job for good.
#[test]
fn an_empty_list_of_types_decides_nothing() {
    let mut node = SteppedNode::new(config(), START);
    node.machine_types_row = common::row(
        records::TYPES.into(),
        &MachineTypesRecord { types: Vec::new() },
    );
    node.tick();
    let good = dillcleat_wire::encode(&job_spec(JOB));
    let mut store = MemoryStore::default();
    let (status, _) = submit(&mut node, &good, |call| Ok(store.execute(call)));
    assert_eq!(status, 503);
}

/// Whether the job is known can't be told, and no refusal is right for a known one.
#[test]
fn who_is_not_served_refuses_and_accepts_nothing() {
    let good = ("good".to_string(), dillcleat_wire::encode(&job_spec(JOB)));
    let all = [malformed(), unfit(), vec![good]].concat();
    let replies = [
        Ok(StoreResponse::Unavailable),
        Ok(StoreResponse::RateLimited),
        Err(CallError::NotSent),
        Err(CallError::NoAnswer),
    ];
    for (what, body) in &all {
        for reply in &replies {
            for (ready, mut node) in nodes() {
                let (status, _) = submit(&mut node, body, |_| reply.clone());
                assert_eq!(status, 503, "{what}, {reply:?}, ready: {ready}");
            }
        }
    }
}

/// Whatever its repetition holds, and at whichever node it arrives.
#[test]
fn a_repeated_submission_of_a_known_job_tells_how_it_is() {
    let good = ("good".to_string(), dillcleat_wire::encode(&job_spec(JOB)));
    let all = [malformed(), unfit(), vec![good]].concat();
    let states = [JobState::Queued, JobState::Done, JobState::Cancelled];
    for (what, body) in &all {
        for state in states {
            let mut store = MemoryStore::default();
            let mut other = SteppedNode::ready(config(), START);
            other.submit(&job_spec(JOB));
            other.execute_all(&mut store);
            match state {
                JobState::Done => {
                    store.mark_done(JOB);
                }
                JobState::Cancelled => {
                    other.cancel(JOB);
                    other.execute_all(&mut store);
                }
                _ => {}
            }
            for (ready, mut node) in nodes() {
                let answer = submit(&mut node, body, |call| Ok(store.execute(call)));
                assert_eq!(answer, (200, Some(state)), "{what}, ready: {ready}");
            }
        }
    }
}

/// That an end is known needs no store: such a node tells it all the same.
#[test]
fn a_cancellation_of_what_is_over_or_never_was() {
    let mut store = MemoryStore::default();
    let mut node = SteppedNode::ready(config(), START);
    let mut ask = |store: &mut MemoryStore, id: &str| {
        let request = node.cancel(id);
        node.execute_all(store);
        node.answer(request)
    };
    assert_eq!(ask(&mut store, JOB), Some((404, None)));
    for form in ["req-", "req-1x", "job-1", "req-1%2f2"] {
        assert_eq!(ask(&mut store, form), Some((404, None)), "{form}");
    }
    assert!(store.rows.is_empty());
    let mut other = SteppedNode::ready(config(), START);
    other.submit(&job_spec(JOB));
    other.execute_all(&mut store);
    store.mark_done(JOB);
    for _ in 0..2 {
        assert_eq!(ask(&mut store, JOB), Some((200, Some(JobState::Done))));
    }
    assert_eq!(store.recorded_state(JOB), Some(RecordedState::Done));
    let request = node.cancel(JOB);
    assert_eq!(node.answer(request), Some((200, Some(JobState::Done))));
}
