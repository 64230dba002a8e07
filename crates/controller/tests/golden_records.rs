//! Golden bytes of the keys and records in the store. Stored data and other versions depend
//! on them, so they must not change.

use dillcleat_controller::records::{
    CANCELLED_JOBS_PREFIX, CancelledJob, DoneTasks, JobStateRecord, LEADER_KEY, LeaderRecord,
    MACHINE_TYPES_KEY, MACHINES_PREFIX, MachineRecord, MachineTypesRecord, OPEN_JOBS_PREFIX,
    OpenJob, OpenJobResources, PlacedTask, QUEUE_PREFIX, RecordedState, SHARED_PREFIX,
    TASKS_PREFIX, TERM_KEY, TaskRange, TaskRecord, TermRecord, WaitingTask, cancelled_job_key,
    job_state_key, machine_key, open_job_key, parse_tasks_key, tasks_key,
};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{LeaseId, Value, decode_value, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec, JobState, Priority, QuotaUsage};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Asserts that `bytes` decode to `record`.
fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(bytes: &[u8], record: &T) {
    let stored: Value = rmpv::decode::read_value(&mut &bytes[..]).expect("a value");
    assert_eq!(decode_value::<T>(&stored).as_ref(), Some(record));
}

/// Asserts that `bytes` decode to `record`, and that `record` encodes to `bytes`.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    bytes: &[u8],
    record: &T,
) {
    assert_decodes(bytes, record);
    let mut written = Vec::new();
    rmpv::encode::write_value(&mut written, &encode_value(record)).expect("written to memory");
    assert_eq!(
        written.escape_ascii().to_string(),
        bytes.escape_ascii().to_string(),
        "{record:?}"
    );
}

#[test]
fn keys_and_prefixes_are_unchanged() {
    assert_eq!(
        (
            SHARED_PREFIX,
            QUEUE_PREFIX,
            OPEN_JOBS_PREFIX,
            CANCELLED_JOBS_PREFIX
        ),
        ("s/", "q/", "q/o/", "q/c/")
    );
    assert_eq!((TASKS_PREFIX, MACHINES_PREFIX), ("t/", "m/"));
    assert_eq!(
        (LEADER_KEY, TERM_KEY, MACHINE_TYPES_KEY),
        ("s/lead", "s/term", "s/types")
    );
    assert_eq!(job_state_key("req-1"), "j/req-1");
    assert_eq!(open_job_key("req-1"), "q/o/req-1");
    assert_eq!(cancelled_job_key("req-1"), "q/c/req-1");
    assert_eq!(machine_key("host-1"), "m/host-1");
}

#[test]
fn task_keys_are_unchanged() {
    let assert_key = |key: &str, range| {
        assert_eq!(tasks_key("req-1", range), key);
        assert_eq!(parse_tasks_key(key), Some(("req-1", range)));
    };
    assert_key("t/req-1/00000", TaskRange::Chunk(0));
    assert_key("t/req-1/00012", TaskRange::Chunk(12));
    assert_key(
        "t/req-1/00001/000102-000126",
        TaskRange::Part {
            chunk: 1,
            from: 102,
            to: 126,
        },
    );
    assert_eq!(parse_tasks_key("t/req-1"), None);
    assert_eq!(parse_tasks_key("j/req-1/00000"), None);
    assert_eq!(parse_tasks_key("t/req-1/x"), None);
    assert_eq!(parse_tasks_key("t/req-1/00001/000102"), None);
}

#[test]
fn leader_record_keeps_its_bytes() {
    let leader = LeaderRecord {
        member: "n1".into(),
        lease: LeaseId(31),
        term: 7,
    };
    assert_round_trip(b"\x83\xa6member\xa2n1\xa5lease\x1f\xa4term\x07", &leader);
}

#[test]
fn term_record_keeps_its_bytes() {
    assert_round_trip(
        b"\x81\xa4term\xce\x00\x01\x11\x70",
        &TermRecord { term: 70_000 },
    );
}

#[test]
fn machine_types_record_keeps_its_bytes() {
    let types = MachineTypesRecord {
        types: vec![
            MachineType {
                name: "g8".into(),
                cpus: 8.0,
                gpus: 1.0,
                memory_gb: 32.0,
                cache_gb: 100.0,
                fetch_gb_per_s: 0.5,
                price: 2.25,
                spot_price: Some(0.75),
                boot_s: 40.0,
                zones: vec!["a".into(), "b".into()],
            },
            MachineType {
                name: "c2".into(),
                cpus: 2.0,
                gpus: 0.0,
                memory_gb: 4.0,
                cache_gb: 0.0,
                fetch_gb_per_s: 0.0,
                price: 0.5,
                spot_price: None,
                boot_s: 0.0,
                zones: Vec::new(),
            },
        ],
    };
    assert_round_trip(
        b"\
            \x81\xa5types\x92\x8a\xa4name\xa2g8\xa5vcpus\xcb\x40\x20\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x40\x00\x00\x00\x00\x00\x00\
            \xa8cache_gb\xcb\x40\x59\x00\x00\x00\x00\x00\x00\
            \xadpull_gb_per_s\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\
            \xa4rate\xcb\x40\x02\x00\x00\x00\x00\x00\x00\
            \xa9low_price\xcb\x3f\xe8\x00\x00\x00\x00\x00\x00\
            \xa6boot_s\xcb\x40\x44\x00\x00\x00\x00\x00\x00\xa5rooms\x92\xa1a\xa1b\x8a\
            \xa4name\xa2c2\xa5vcpus\xcb\x40\x00\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
            \xa8cache_gb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
            \xadpull_gb_per_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
            \xa4rate\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa9low_price\xc0\
            \xa6boot_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa5rooms\x90",
        &types,
    );
}

/// A job with every optional field.
fn full_job() -> JobSpec {
    JobSpec {
        id: "req-412".into(),
        class: "merge".into(),
        team: "books".into(),
        kind: JobKind::Batch,
        priority: Priority::High,
        tasks: 200,
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 14.5,
        image: "img-07".into(),
        image_gb: 2.5,
        types: Some(vec!["g8".into(), "c2".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread: false,
        spot: true,
        estimate_s: 30.0,
        checkpoint_s: 60.0,
        save_s: 5.0,
        deadline_s: Some(900.0),
        depends_on: vec!["req-7".into()],
    }
}

/// A service without optional fields.
fn minimal_service() -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: Priority::Production,
        types: None,
        zone: None,
        deadline_s: None,
        depends_on: Vec::new(),
        ..full_job()
    }
}

#[test]
fn open_job_with_every_field_keeps_its_bytes() {
    let open = OpenJob {
        spec: full_job(),
        submitted_at_us: 1_700_000_000_000_000,
        tasks_per_chunk: 128,
        without_state_record: true,
        parallelism_limit: Some(12),
    };
    assert_round_trip(
        b"\
            \x85\xa4spec\xde\x00\x15\xa3ref\xa7req-412\xa3lot\xa5merge\xa4desk\xa5books\
            \xa7binding\xa5batch\xa7urgency\xa4high\xa6leaves\xcc\xc8\
            \xa5vcpus\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x2d\x00\x00\x00\x00\x00\x00\xa7edition\xa6img-07\
            \xa7pull_gb\xcb\x40\x04\x00\x00\x00\x00\x00\x00\xa7formats\x92\xa2g8\xa2c2\
            \xa4room\xa1a\xaasame_place\xc3\xa6spread\xc2\xaaremainders\xc3\
            \xa8reckon_s\xcb\x40\x3e\x00\x00\x00\x00\x00\x00\
            \xaabookmark_s\xcb\x40\x4e\x00\x00\x00\x00\x00\x00\
            \xa8shelve_s\xcb\x40\x14\x00\x00\x00\x00\x00\x00\
            \xa5due_s\xcb\x40\x8c\x20\x00\x00\x00\x00\x00\xa6awaits\x91\xa5req-7\
            \xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa5chunk\xcc\x80\xa8unmarked\xc3\
            \xa7at_most\x0c",
        &open,
    );
}

#[test]
fn open_job_without_optional_fields_keeps_its_bytes() {
    let open = OpenJob {
        spec: minimal_service(),
        submitted_at_us: 1_700_000_000_000_000,
        tasks_per_chunk: 8,
        without_state_record: false,
        parallelism_limit: None,
    };
    assert_round_trip(
        b"\
            \x84\xa4spec\xde\x00\x14\xa3ref\xa7req-412\xa3lot\xa5merge\xa4desk\xa5books\
            \xa7binding\xa8standing\xa7urgency\xaaproduction\xa6leaves\xcc\xc8\
            \xa5vcpus\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x2d\x00\x00\x00\x00\x00\x00\xa7edition\xa6img-07\
            \xa7pull_gb\xcb\x40\x04\x00\x00\x00\x00\x00\x00\xa7formats\xc0\xa4room\xc0\
            \xaasame_place\xc3\xa6spread\xc2\xaaremainders\xc3\
            \xa8reckon_s\xcb\x40\x3e\x00\x00\x00\x00\x00\x00\
            \xaabookmark_s\xcb\x40\x4e\x00\x00\x00\x00\x00\x00\
            \xa8shelve_s\xcb\x40\x14\x00\x00\x00\x00\x00\x00\xa5due_s\xc0\
            \xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa5chunk\x08\xa8unmarked\xc2",
        &open,
    );
    // A record of an earlier version, without `unmarked`.
    assert_decodes(
        b"\
            \x83\xa4spec\xde\x00\x14\xa3ref\xa7req-412\xa3lot\xa5merge\xa4desk\xa5books\
            \xa7binding\xa8standing\xa7urgency\xaaproduction\xa6leaves\xcc\xc8\
            \xa5vcpus\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x2d\x00\x00\x00\x00\x00\x00\xa7edition\xa6img-07\
            \xa7pull_gb\xcb\x40\x04\x00\x00\x00\x00\x00\x00\xa7formats\xc0\xa4room\xc0\
            \xaasame_place\xc3\xa6spread\xc2\xaaremainders\xc3\
            \xa8reckon_s\xcb\x40\x3e\x00\x00\x00\x00\x00\x00\
            \xaabookmark_s\xcb\x40\x4e\x00\x00\x00\x00\x00\x00\
            \xa8shelve_s\xcb\x40\x14\x00\x00\x00\x00\x00\x00\xa5due_s\xc0\
            \xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa5chunk\x08",
        &open,
    );
}

#[test]
fn open_claim_is_read_from_an_open_jobs_record() {
    let claim = OpenJobResources {
        spec: QuotaUsage {
            team: "books".into(),
            cpus: 4.0,
            gpus: 1.0,
        },
    };
    assert_decodes(
        b"\
            \x84\xa4spec\xde\x00\x15\xa3ref\xa7req-412\xa3lot\xa5merge\xa4desk\xa5books\
            \xa7binding\xa5batch\xa7urgency\xa4high\xa6leaves\xcc\xc8\
            \xa5vcpus\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x2d\x00\x00\x00\x00\x00\x00\xa7edition\xa6img-07\
            \xa7pull_gb\xcb\x40\x04\x00\x00\x00\x00\x00\x00\xa7formats\x92\xa2g8\xa2c2\
            \xa4room\xa1a\xaasame_place\xc3\xa6spread\xc2\xaaremainders\xc3\
            \xa8reckon_s\xcb\x40\x3e\x00\x00\x00\x00\x00\x00\
            \xaabookmark_s\xcb\x40\x4e\x00\x00\x00\x00\x00\x00\
            \xa8shelve_s\xcb\x40\x14\x00\x00\x00\x00\x00\x00\
            \xa5due_s\xcb\x40\x8c\x20\x00\x00\x00\x00\x00\xa6awaits\x91\xa5req-7\
            \xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00\xa5chunk\xcc\x80\xa8unmarked\xc3",
        &claim,
    );
}

#[test]
fn job_state_records_keep_their_bytes() {
    let state_record = |state| JobStateRecord {
        state,
        task_count: 200,
    };
    assert_round_trip(
        b"\x82\xa1s\xa1o\xa1n\xcc\xc8",
        &state_record(RecordedState::Open),
    );
    assert_round_trip(
        b"\x82\xa1s\xa1d\xa1n\xcc\xc8",
        &state_record(RecordedState::Done),
    );
    assert_round_trip(
        b"\x82\xa1s\xa1c\xa1n\xcc\xc8",
        &state_record(RecordedState::Cancelled),
    );
}

#[test]
fn recorded_states_map_to_the_states_shown_to_users() {
    assert_eq!(RecordedState::Open.ended(), None);
    assert_eq!(RecordedState::Done.ended(), Some(JobState::Done));
    assert_eq!(RecordedState::Cancelled.ended(), Some(JobState::Cancelled));
}

#[test]
fn cancelled_job_record_keeps_its_bytes() {
    let cancelled = CancelledJob {
        cancelled_at_us: 1_700_000_000_000_000,
    };
    assert_round_trip(
        b"\x81\xa2at\xcf\x00\x06\x0a\x24\x18\x1e\x40\x00",
        &cancelled,
    );
}

/// The numbers within each entry differ, so that a swap of two fields is detected.
#[test]
fn task_chunk_keeps_its_bytes() {
    let chunk = TaskRecord {
        placed: vec![
            PlacedTask {
                index: 3,
                attempt: 2,
                machine: "host-1".into(),
                incarnation: 300,
            },
            PlacedTask {
                index: 4,
                attempt: 70_000,
                machine: "host-2".into(),
                incarnation: 1,
            },
        ],
        waiting: vec![WaitingTask {
            index: 5,
            attempt: 6,
        }],
        done: vec![
            DoneTasks { first: 0, last: 2 },
            DoneTasks {
                first: 7,
                last: 127,
            },
        ],
    };
    assert_round_trip(
        b"\
            \x83\xa1p\x92\x94\x03\x02\xa6host-1\xcd\x01\x2c\x94\x04\xce\x00\x01\x11\x70\
            \xa6host-2\x01\xa1w\x91\x92\x05\x06\xa1d\x92\x92\x00\x02\x92\x07\x7f",
        &chunk,
    );
    let empty = TaskRecord {
        placed: Vec::new(),
        waiting: Vec::new(),
        done: Vec::new(),
    };
    assert_round_trip(b"\x83\xa1p\x90\xa1w\x90\xa1d\x90", &empty);
}

#[test]
fn machine_record_keeps_its_bytes() {
    let machine = |spot| MachineRecord {
        addr: "10.1.0.1:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
    };
    assert_round_trip(
        b"\x84\xa4addr\xad10.1.0.1:9000\xacmachine_type\xa2g8\xa4zone\xa1a\xa4spot\xc3",
        &machine(true),
    );
    assert_round_trip(
        b"\x84\xa4addr\xad10.1.0.1:9000\xacmachine_type\xa2g8\xa4zone\xa1a\xa4spot\xc2",
        &machine(false),
    );
}
