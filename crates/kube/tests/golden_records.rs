//! The keys and records of kept objects in the state service, and the names that follow
//! from the operators' key, as version 84a8104 reads and writes them.

use dillcleat_kube::names::{Key, unhex};
use dillcleat_kube::record::{End, Ending, Gone, JobState, Kind, Name, OBJECTS, Record};
use dillcleat_wire::store::{self, Value};
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;

fn stored(bytes: &[u8]) -> Value {
    dillcleat_wire::decode(bytes).expect("a map")
}

/// Asserts that `record` is written as `bytes`.
fn assert_written<T: Serialize + std::fmt::Debug>(bytes: &[u8], record: &T) {
    let written = dillcleat_wire::encode(&store::encode_value(record));
    assert_eq!(
        written.escape_ascii().to_string(),
        bytes.escape_ascii().to_string(),
        "{record:?}"
    );
}

/// Asserts that `bytes` are read as `record`, and that `record` is written as `bytes`.
fn assert_keeps(bytes: &[u8], record: &Record) {
    assert_eq!(Record::read(&stored(bytes)).as_ref(), Some(record));
    assert_written(bytes, record);
}

fn name() -> Name {
    Name {
        kind: Kind::Job,
        namespace: "books".into(),
        name: "merge-1".into(),
    }
}

#[test]
fn every_key_stays_as_it_is() {
    assert_eq!(OBJECTS, "k/o/");
    assert_eq!(name().to_string(), "jobs/books/merge-1");
    assert_eq!(name().key(), "k/o/jobs/books/merge-1");
    assert_eq!(name().deleted_key(), "k/d/jobs/books/merge-1");
    assert_eq!(Name::parse("k/o/jobs/books/merge-1"), Some(name()));
    assert_eq!(Name::parse("k/o/pods/books/merge-1"), None);
    assert_eq!(Name::parse("k/d/jobs/books/merge-1"), None);
}

#[test]
fn every_kind_keeps_its_names() {
    assert_eq!(Kind::ALL, [Kind::Job]);
    assert_eq!(Kind::Job.resource(), "jobs");
    assert_eq!(Kind::Job.name(), "Job");
    assert_eq!(Kind::Job.api_version(), "batch/v1");
    assert_eq!(Kind::of_resource("jobs"), Some(Kind::Job));
}

fn record(state: JobState) -> Record {
    Record {
        uid: "u-1".into(),
        run: 2,
        created: 1_700_000_000_000_000,
        generation: 3,
        labels: BTreeMap::from([("app".into(), "merge".into())]),
        annotations: BTreeMap::from([("dillcleat/class".into(), "match".into())]),
        spec: json!({"completions": 4, "suspend": false, "template": {"ratio": 0.5}}),
        state,
    }
}

fn running() -> JobState {
    JobState {
        job: Some("req-1".into()),
        started: Some(1_700_000_000_000_005),
        failed: vec![(6, 7)],
        end: None,
    }
}

#[test]
fn a_record_keeps_its_bytes() {
    assert_keeps(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\xc0",
        &record(running()),
    );
}

#[test]
fn a_record_without_optional_fields_keeps_its_bytes() {
    let suspended = JobState {
        job: None,
        started: None,
        failed: Vec::new(),
        end: None,
    };
    let bare = Record {
        labels: BTreeMap::new(),
        annotations: BTreeMap::new(),
        spec: json!({}),
        ..record(suspended)
    };
    assert_keeps(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x80\xa5notes\x80\xa4spec\x80\xa2st\x84\xa1j\xc0\xa1s\xc0\xa1f\x90\
            \xa1e\xc0",
        &bare,
    );
}

#[test]
fn every_ending_keeps_its_bytes() {
    let ended = |why| {
        let end = Some(End { at: 8, why });
        record(JobState { end, ..running() })
    };
    assert_keeps(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1c",
        &ended(Ending::Complete),
    );
    assert_keeps(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1b",
        &ended(Ending::BackoffLimit),
    );
    assert_keeps(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1d",
        &ended(Ending::Deadline),
    );
    assert_keeps(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1x",
        &ended(Ending::Cancelled),
    );
}

#[test]
fn what_stays_of_a_deleted_object_keeps_its_bytes() {
    let keeps = |bytes: &[u8], gone: Gone| {
        assert_eq!(
            store::decode_value::<Gone>(&stored(bytes)).as_ref(),
            Some(&gone)
        );
        assert_written(bytes, &gone);
    };
    keeps(
        b"\x83\xa3uid\xa3u-1\xa3run\x02\xa3job\xa5req-1",
        Gone {
            uid: "u-1".into(),
            run: 2,
            job: Some("req-1".into()),
        },
    );
    keeps(
        b"\x83\xa3uid\xa3u-1\xa3run\x02\xa3job\xc0",
        Gone {
            uid: "u-1".into(),
            run: 2,
            job: None,
        },
    );
}

#[test]
fn names_that_follow_from_the_key_stay_as_they_are() {
    let key = Key::parse("0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b")
        .expect("a key");
    let uid = "a3ca4763-af43-84e2-b6c2-8232c2806fad";
    assert_eq!(key.uid("jobs", "books", "merge", 1), uid);
    assert_eq!(
        key.job("books", "merge", uid),
        "req-00469982358830472419521543838395"
    );
    let kept = "60a44900b6a40505937d4c502b3cff2eff4dc69f2cfc2e9a4c3fb9376f2d6636";
    assert_eq!(key.token("secret"), kept);
    assert!(key.is_token("secret", &unhex(kept).expect("hex")));
}
