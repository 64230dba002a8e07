//! The stored form of objects stays the same: their keys, the bytes of their records, and
//! the names that are derived from the operators' key.

use dillcleat_kube::names::{SigningKey, decode_hex};
use dillcleat_kube::record::{
    EndReason, JobEnd, Kind, Name, OBJECTS, ObjectState, Record, Tombstone,
};
use dillcleat_wire::store::{self, Value};
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;

fn stored(bytes: &[u8]) -> Value {
    dillcleat_wire::decode(bytes).expect("a map")
}

/// Asserts that `record` is encoded as `bytes`.
fn assert_encoded<T: Serialize + std::fmt::Debug>(bytes: &[u8], record: &T) {
    let encoded = dillcleat_wire::encode(&store::encode_value(record));
    assert_eq!(
        encoded.escape_ascii().to_string(),
        bytes.escape_ascii().to_string(),
        "{record:?}"
    );
}

/// Asserts that `bytes` are decoded as `record`, and that `record` is encoded as `bytes`.
fn assert_round_trip(bytes: &[u8], record: &Record) {
    assert_eq!(Record::decode(&stored(bytes)).as_ref(), Some(record));
    assert_encoded(bytes, record);
}

fn name() -> Name {
    Name {
        kind: Kind::Job,
        namespace: "books".into(),
        name: "merge-1".into(),
    }
}

#[test]
fn every_stored_key_stays_the_same() {
    assert_eq!(OBJECTS, "k/o/");
    assert_eq!(name().to_string(), "jobs/books/merge-1");
    assert_eq!(name().key(), "k/o/jobs/books/merge-1");
    assert_eq!(name().tombstone_key(), "k/d/jobs/books/merge-1");
    assert_eq!(Name::from_store_key("k/o/jobs/books/merge-1"), Some(name()));
    assert_eq!(Name::from_store_key("k/o/pods/books/merge-1"), None);
    assert_eq!(Name::from_store_key("k/d/jobs/books/merge-1"), None);
}

#[test]
fn every_kind_keeps_its_names() {
    assert_eq!(Kind::ALL, [Kind::Job]);
    assert_eq!(Kind::Job.resource(), "jobs");
    assert_eq!(Kind::Job.name(), "Job");
    assert_eq!(Kind::Job.api_version(), "batch/v1");
    assert_eq!(Kind::of_resource("jobs"), Some(Kind::Job));
}

fn record(state: ObjectState) -> Record {
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

fn running() -> ObjectState {
    ObjectState {
        job: Some("req-1".into()),
        started: Some(1_700_000_000_000_005),
        failed: vec![(6, 7)],
        end: None,
    }
}

#[test]
fn a_record_keeps_its_bytes() {
    assert_round_trip(
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
    let suspended = ObjectState {
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
    assert_round_trip(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x80\xa5notes\x80\xa4spec\x80\xa2st\x84\xa1j\xc0\xa1s\xc0\xa1f\x90\
            \xa1e\xc0",
        &bare,
    );
}

#[test]
fn every_end_reason_keeps_its_bytes() {
    let ended = |reason| {
        let end = Some(JobEnd { at: 8, reason });
        record(ObjectState { end, ..running() })
    };
    assert_round_trip(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1c",
        &ended(EndReason::Complete),
    );
    assert_round_trip(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1b",
        &ended(EndReason::BackoffLimit),
    );
    assert_round_trip(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1d",
        &ended(EndReason::Deadline),
    );
    assert_round_trip(
        b"\
            \x88\xa3uid\xa3u-1\xa3run\x02\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa3gen\x03\
            \xa6labels\x81\xa3app\xa5merge\xa5notes\x81\xafdillcleat/class\xa5match\xa4spec\x83\
            \xabcompletions\x04\xa7suspend\xc2\xa8template\x81\
            \xa5ratio\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa2st\x84\xa1j\xa5req-1\
            \xa1s\xcf\x00\x06\x0a\x24\x18\x1e\x40\x05\xa1f\x91\x92\x06\x07\xa1e\x82\xa2at\x08\
            \xa3why\xa1x",
        &ended(EndReason::Cancelled),
    );
}

#[test]
fn a_tombstone_keeps_its_bytes() {
    let assert_tombstone = |bytes: &[u8], tombstone: Tombstone| {
        assert_eq!(
            store::decode_value::<Tombstone>(&stored(bytes)).as_ref(),
            Some(&tombstone)
        );
        assert_encoded(bytes, &tombstone);
    };
    assert_tombstone(
        b"\x83\xa3uid\xa3u-1\xa3run\x02\xa3job\xa5req-1",
        Tombstone {
            uid: "u-1".into(),
            run: 2,
            job: Some("req-1".into()),
        },
    );
    assert_tombstone(
        b"\x83\xa3uid\xa3u-1\xa3run\x02\xa3job\xc0",
        Tombstone {
            uid: "u-1".into(),
            run: 2,
            job: None,
        },
    );
}

#[test]
fn names_derived_from_the_signing_key_stay_the_same() {
    let key = SigningKey::parse("0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b")
        .expect("a key");
    let uid = "a3ca4763-af43-84e2-b6c2-8232c2806fad";
    assert_eq!(key.uid("jobs", "books", "merge", 1), uid);
    assert_eq!(
        key.job("books", "merge", uid),
        "req-00469982358830472419521543838395"
    );
    let stored_mac = "60a44900b6a40505937d4c502b3cff2eff4dc69f2cfc2e9a4c3fb9376f2d6636";
    assert_eq!(key.token("secret"), stored_mac);
    assert!(key.verify_token("secret", &decode_hex(stored_mac).expect("hex")));
}
