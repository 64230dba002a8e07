//! Decoding of valid and invalid input, mainly of submissions.

use dillcleat_wire::store::json_size;
use dillcleat_wire::user::{Route, Submission, is_job_id, parse_submission, route};
use dillcleat_wire::worker::TaskStatus;
use dillcleat_wire::{TaskName, TaskNameError};
use rmpv::Value;

fn valid_fields() -> Vec<(Value, Value)> {
    let text = Value::from;
    vec![
        (text("ref"), text("req-000412")),
        (text("lot"), text("train")),
        (text("desk"), text("vision")),
        (text("binding"), text("batch")),
        (text("urgency"), text("high")),
        (text("leaves"), Value::from(16)),
        (text("vcpus"), Value::from(8.0)),
        (text("accelerators"), Value::from(0)),
        (text("ram_gb"), Value::from(64.0)),
        (text("edition"), text("img-07")),
        (text("pull_gb"), Value::from(6.2)),
        (text("formats"), Value::Array(vec![text("g8")])),
        (text("room"), Value::Nil),
        (text("same_place"), Value::from(true)),
        (text("spread"), Value::from(false)),
        (text("remainders"), Value::from(true)),
        (text("reckon_s"), Value::from(240.0)),
        (text("bookmark_s"), Value::from(30.0)),
        (text("shelve_s"), Value::from(4.0)),
        (text("due_s"), Value::from(900.0)),
    ]
}

fn submit(fields: Vec<(Value, Value)>) -> Submission {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Map(fields)).expect("memory");
    parse_submission(&bytes)
}

fn submit_with(name: &str, value: Value) -> Submission {
    let mut fields = valid_fields();
    fields.retain(|(k, _)| k.as_str() != Some(name));
    fields.push((name.into(), value));
    submit(fields)
}

fn submit_without(name: &str) -> Submission {
    let mut fields = valid_fields();
    fields.retain(|(k, _)| k.as_str() != Some(name));
    submit(fields)
}

#[test]
fn valid_submission_is_decoded() {
    let spec = submit(valid_fields()).spec.expect("valid");
    assert_eq!((spec.tasks, spec.cpus, spec.gpus), (16, 8.0, 0.0));
    assert_eq!(spec.types, Some(vec!["g8".to_string()]));
    assert_eq!((spec.zone, spec.deadline_s), (None, Some(900.0)));
    // Unknown fields are ignored. Optional fields may be null or absent.
    assert!(submit_with("novel", Value::from(7)).spec.is_ok());
    for optional in ["formats", "room", "due_s"] {
        assert!(submit_without(optional).spec.is_ok(), "{optional}");
        assert!(submit_with(optional, Value::Nil).spec.is_ok(), "{optional}");
    }
}

#[test]
fn invalid_fields_are_rejected_but_id_is_decoded() {
    let bad = [
        ("leaves", Value::from(0)),
        ("leaves", Value::from(-1)),
        ("leaves", Value::from(100_001)),
        ("leaves", Value::from(2.5)),
        ("leaves", Value::from(u64::MAX)),
        ("vcpus", Value::from(-1.0)),
        ("vcpus", Value::from(f64::NAN)),
        ("ram_gb", Value::from(f64::INFINITY)),
        ("reckon_s", Value::from(f64::NEG_INFINITY)),
        ("due_s", Value::from(-5.0)),
        ("binding", Value::from("array")),
        // The protocol has no kind for gang scheduling.
        ("binding", Value::from("group")),
        ("urgency", Value::from("urgent")),
        ("edition", Value::from("")),
        ("edition", Value::from("x".repeat(500))),
        ("formats", Value::from("g8")),
        ("spread", Value::from("yes")),
        ("desk", Value::Nil),
    ];
    for (name, value) in bad {
        let submission = submit_with(name, value.clone());
        assert!(submission.spec.is_err(), "{name} = {value}");
        assert_eq!(
            submission.id.as_deref(),
            Some("req-000412"),
            "{name} = {value}"
        );
    }
    for (name, _) in valid_fields() {
        let name = name.as_str().expect("text").to_string();
        let optional = ["formats", "room", "due_s", "ref"].contains(&name.as_str());
        if !optional {
            assert!(submit_without(&name).spec.is_err(), "{name}");
        }
    }
    for id in [
        "",
        "req-",
        "req-12a",
        "job-1",
        "req-1/2",
        "req-..",
        &"req-1".repeat(9),
    ] {
        let submission = submit_with("ref", Value::from(id));
        assert!(
            submission.spec.is_err() && submission.id.is_none() && !is_job_id(id),
            "{id}"
        );
    }
}

#[test]
fn bodies_that_are_not_maps_are_rejected() {
    let bodies: [&[u8]; 6] = [
        b"",
        b"\xc1",
        b"\x90",
        b"\xa3abc",
        b"\x85\xa3ref",
        b"{\"ref\":1}",
    ];
    for body in bodies {
        let submission = parse_submission(body);
        assert!(
            submission.spec.is_err() && submission.id.is_none(),
            "{body:?}"
        );
    }
}

#[test]
fn parsers_do_not_panic_on_corrupted_bodies() {
    // Corrupts and truncates a valid body, with a fixed pseudo-random sequence.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Map(valid_fields())).expect("memory");
    let mut random = 12345u64;
    for _ in 0..20_000 {
        random = random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let mut mutated = bytes.clone();
        let at = (random >> 33) as usize % mutated.len();
        mutated[at] = (random >> 24) as u8;
        mutated.truncate(mutated.len() - (random >> 60) as usize);
        let _ = parse_submission(&mutated);
        let _ = dillcleat_wire::decode::<dillcleat_wire::worker::Heartbeat>(&mutated);
    }
}

#[test]
fn routes_ignore_queries_and_reject_malformed_paths() {
    assert_eq!(route("POST", "/v2/runs"), Route::Submit);
    assert_eq!(route("GET", "/v2/runs/req-1"), Route::Poll("req-1".into()));
    assert_eq!(
        route("POST", "/v2/runs/req-1/abort"),
        Route::Cancel("req-1".into())
    );
    assert_eq!(route("GET", "/up?x=1"), Route::Health);
    assert_eq!(route("PUT", "/checkin"), Route::WrongMethod);
    assert_eq!(route("GET", "/v2/runs"), Route::WrongMethod);
    for path in [
        "/",
        "/v2/runsx",
        "/v2/runs/",
        "/v2/runs//abort",
        "/v2/runs/req-1/stop",
    ] {
        assert_eq!(route("GET", path), Route::NotFound, "{path}");
    }
}

#[test]
fn json_size_of_nested_value_is_upper_bound() {
    let value = Value::Map(vec![
        ("a\"b".into(), Value::from(-12.5)),
        (
            "list".into(),
            Value::Array(vec![Value::Nil, true.into(), 7.into()]),
        ),
    ]);
    assert!(json_size(&value) >= r#"{"a\"b":-12.5,"list":[null,true,7]}"#.len());
}

#[test]
fn dependencies_are_decoded_without_duplicates() {
    let list = |names: &[&str]| Value::Array(names.iter().map(|n| Value::from(*n)).collect());
    let awaits = |v| submit_with("awaits", v).spec.map(|s| s.depends_on);
    for none in [Value::Nil, list(&[])] {
        assert_eq!(awaits(none), Ok(Vec::new()));
    }
    let twice = awaits(list(&["req-2", "req-1", "req-2"]));
    assert_eq!(twice, Ok(vec!["req-2".to_string(), "req-1".to_string()]));
    // Any string is accepted. Admission checks whether the job exists.
    assert!(awaits(list(&["no ref"])).is_ok());
    let mixed = Value::Array(vec![Value::from("req-1"), Value::from(7)]);
    for bad in [
        Value::from("req-1"),
        Value::from(7),
        Value::Map(vec![]),
        mixed,
    ] {
        let error = awaits(bad).expect_err("not a list of strings").to_string();
        assert!(error.contains("awaits"), "{error}");
    }
}

#[test]
fn task_names_are_parsed_and_invalid_ones_rejected() {
    let name: TaskName = "req-1/2".parse().expect("a task name");
    assert_eq!((name.job.as_str(), name.index), ("req-1", 2));
    assert_eq!(name.to_string(), "req-1/2");
    for text in [
        "",
        "req-1",
        "req-1/",
        "req-1/x",
        "req-1/-1",
        "req-1/4294967296",
    ] {
        assert_eq!(text.parse::<TaskName>(), Err(TaskNameError), "{text}");
    }
    // The message of a decoding error contains that of the task name.
    let error =
        dillcleat_wire::decode::<TaskStatus>(b"\x81\xa4leaf\xa1x").expect_err("invalid name");
    let form = "the body is not valid MessagePack of the expected form";
    assert_eq!(
        error.to_string(),
        format!("{form}: a task name is JOB/NUMBER")
    );
}
