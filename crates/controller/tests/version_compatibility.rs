//! Compatibility with the deployed version during a rolling upgrade: records and peer
//! frames that it wrote, as bytes, are read, and copies of its types read new records.

use dillcleat_controller::records::{
    CancelledJob, JobStateRecord, MachineRecord, OpenJob, RecordedState, TaskChunk, TaskRange,
    parse_tasks_key, tasks_key,
};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::{Value, decode_value, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec};
use serde::{Deserialize, Serialize};

// Records of the deployed version, in hexadecimal MessagePack.
const OPEN_JOB_HEX: &str = "84a473706563de0014a3726566a57265712d31a36c6f74a163a46465736ba174a762696e64696e67\
    a56261746368a7757267656e6379a66e6f726d616ca66c6561766573ccc8a57663707573cb4010000000000000ac\
    616363656c657261746f7273cb0000000000000000a672616d5f6762cb3ff0000000000000a765646974696f6ea1\
    69a770756c6c5f6762cb3ff0000000000000a7666f726d61747391a26738a4726f6f6da161aa73616d655f706c61\
    6365c2a6737072656164c2aa72656d61696e64657273c3a87265636b6f6e5f73cb3ff0000000000000aa626f6f6b\
    6d61726b5f73cb0000000000000000a87368656c76655f73cb0000000000000000a56475655f73cb404e00000000\
    0000a26174cf00060a24181e4000a56368756e6bcccca8756e6d61726b6564c3";
const TASK_CHUNK_HEX: &str = "83a17091940302ab686f73742d30303032333101a17791920501a16491920002";
const STATE_RECORD_HEX: &str = "82a173a164a16eccc8";
const CANCELLED_JOB_HEX: &str = "81a2617407";
const MACHINE_HEX: &str = "84a461646472ad31302e312e302e313a39303030ac6d616368696e655f74797065a26738a4\
    7a6f6e65a161a473706f74c3";
/// Peer frames of the deployed version, in hexadecimal.
const PEER_FRAMES_HEX: [&str; 5] = [
    "00000006040100026e31",
    "00000011040200000000000000070101000000000c",
    "000000130403000100057265712d310000000300000004",
    "0000000b0404000100016100000384",
    "00000054040500000000000000073ff800000000000000010001634034000000000000000100057265712d31406e\
     000000000000406900000000000040250000000000000101000240330000000000004035000000000000",
];

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).expect("hex"), 16);
    digits.chunks(2).map(|p| pair(p).expect("hex")).collect()
}

fn decode_record(hex: &str) -> Value {
    rmpv::decode::read_value(&mut decode_hex(hex).as_slice()).expect("a record")
}

fn open_job(depends_on: Vec<String>) -> OpenJob {
    OpenJob {
        spec: JobSpec {
            deadline_s: Some(60.0),
            zone: Some("a".into()),
            types: Some(vec!["g8".into()]),
            depends_on,
            ..JobSpec::plain("req-1", JobKind::Batch, 200, 4.0)
        },
        submitted_at_us: 1_700_000_000_000_000,
        tasks_per_chunk: 204,
        without_state_record: true,
        parallelism_limit: None,
    }
}

/// New optional fields are omitted while they have no value.
#[test]
fn records_of_the_deployed_version_are_read_and_written_unchanged() {
    fn assert_same<T>(hex: &str, expected: T)
    where
        T: for<'a> Deserialize<'a> + Serialize + PartialEq + std::fmt::Debug,
    {
        let record = decode_record(hex);
        assert_eq!(decode_value::<T>(&record).as_ref(), Some(&expected));
        assert_eq!(encode_value(&expected), record);
    }
    assert_same(OPEN_JOB_HEX, open_job(Vec::new()));
    let chunk = TaskChunk {
        placed: vec![(3, 2, "host-000231".to_string(), 1).into()],
        waiting: vec![(5, 1).into()],
        done: vec![(0, 2).into()],
    };
    assert_same(TASK_CHUNK_HEX, chunk);
    let state_record = JobStateRecord {
        state: RecordedState::Done,
        task_count: 200,
    };
    assert_same(STATE_RECORD_HEX, state_record);
    assert_same(CANCELLED_JOB_HEX, CancelledJob { cancelled_at_us: 7 });
    let machine = MachineRecord {
        addr: "10.1.0.1:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
    };
    assert_same(MACHINE_HEX, machine);
}

#[test]
fn peer_frames_of_the_deployed_version_are_read_and_written_unchanged() {
    for hex in PEER_FRAMES_HEX {
        let frame = decode_hex(hex);
        let message = Message::decode(&frame[4..]).expect("a frame");
        assert_eq!(message.encode(), frame, "{message:?}");
    }
}

/// The fields of an open job that the deployed version reads, with its attributes.
#[derive(Debug, Deserialize)]
struct DeployedOpenJob {
    spec: DeployedJobSpec,
    at: u64,
    chunk: u32,
    #[serde(default)]
    unmarked: bool,
    #[serde(default)]
    at_most: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct DeployedJobSpec {
    #[serde(rename = "ref")]
    id: String,
    #[serde(rename = "leaves")]
    tasks: u32,
    #[serde(rename = "due_s", default)]
    deadline_s: Option<f64>,
}

#[test]
fn deployed_version_reads_a_job_with_dependencies() {
    let record = encode_value(&open_job(vec!["req-7".into()]));
    let old: DeployedOpenJob = decode_value(&record).expect("unknown fields are ignored");
    assert_eq!((old.spec.id.as_str(), old.spec.tasks), ("req-1", 200));
    assert_eq!((old.spec.deadline_s, old.at_most), (Some(60.0), None));
    assert_eq!((old.chunk, old.unmarked), (204, true));
    assert!(old.at > 0);
}

/// The key of a part sorts between its chunk and the next one. The deployed version neither
/// parses it as a chunk nor deletes it.
#[test]
fn part_keys_sort_after_their_chunk_key() {
    let part = |chunk, from, to| tasks_key("req-1", TaskRange::Part { chunk, from, to });
    let chunk = |chunk| tasks_key("req-1", TaskRange::Chunk(chunk));
    let keys = [
        chunk(0),
        part(0, 0, 24),
        part(0, 25, 101),
        chunk(1),
        part(1, 102, 126),
    ];
    assert!(keys.is_sorted(), "{keys:?}");
    for key in keys {
        let (id, range) = parse_tasks_key(&key).expect("a key");
        assert_eq!(tasks_key(id, range), key);
        let parsed_as_chunk = key
            .rsplit_once('/')
            .map(|(_, chunk)| chunk.parse::<u32>().is_ok());
        assert_eq!(
            parsed_as_chunk,
            Some(matches!(range, TaskRange::Chunk(_))),
            "{key}"
        );
    }
}
