//! The bytes of all frames between controllers, which must not change within a protocol version.

use dillcleat_peer_protocol::{
    ClassRunTime, Estimates, FrameError, JobEstimate, JobProgress, MAX_CLASSES, MAX_FRAME_BYTES,
    MAX_JOB_ESTIMATES, MAX_PROGRESS_JOBS, MAX_RUN_TIME_SAMPLES, MAX_UNRESPONSIVE_ZONES, Message,
    PROTOCOL_VERSION, UnresponsiveZone, frame_length,
};

/// Asserts that `message` is encoded as `frame`, and that `frame` is decoded as `message`, also
/// with the previous protocol version.
fn assert_matches_golden(frame: &[u8], message: &Message) {
    assert_eq!(
        message.encode().escape_ascii().to_string(),
        frame.escape_ascii().to_string()
    );
    let (head, content) = frame.split_first_chunk::<4>().expect("length field");
    assert_eq!(frame_length(*head), Ok(content.len()));
    assert_eq!(Message::decode(content).as_ref(), Ok(message));
    let mut previous_version = content.to_vec();
    previous_version[0] = 3;
    assert_eq!(Message::decode(&previous_version).as_ref(), Ok(message));
}

#[test]
fn protocol_version_and_limits_are_unchanged() {
    assert_eq!((PROTOCOL_VERSION, MAX_FRAME_BYTES), (4, 65_536));
    assert_eq!(
        (MAX_PROGRESS_JOBS, MAX_UNRESPONSIVE_ZONES, MAX_JOB_ESTIMATES),
        (500, 100, 100)
    );
    assert_eq!((MAX_CLASSES, MAX_RUN_TIME_SAMPLES), (64, 16));
}

#[test]
fn hello_matches_golden_frame() {
    let hello = Message::Hello {
        member: "n1".into(),
    };
    assert_matches_golden(b"\x00\x00\x00\x06\x04\x01\x00\x02n1", &hello);
}

/// Each flag is set in exactly one frame, which detects swapped flags.
#[test]
fn heartbeat_matches_golden_frames() {
    let heartbeat = |is_leader, store_reachable, workers_reachable| Message::Heartbeat {
        term: 0x0102_0304_0506_0708,
        is_leader,
        store_reachable,
        workers_reachable,
        requests_per_s: 70_000,
    };
    assert_matches_golden(
        b"\x00\x00\x00\x11\x04\x02\x01\x02\x03\x04\x05\x06\x07\x08\x01\x00\x00\x00\x01\x11\x70",
        &heartbeat(true, false, false),
    );
    assert_matches_golden(
        b"\x00\x00\x00\x11\x04\x02\x01\x02\x03\x04\x05\x06\x07\x08\x00\x01\x00\x00\x01\x11\x70",
        &heartbeat(false, true, false),
    );
    assert_matches_golden(
        b"\x00\x00\x00\x11\x04\x02\x01\x02\x03\x04\x05\x06\x07\x08\x00\x00\x01\x00\x01\x11\x70",
        &heartbeat(false, false, true),
    );
}

#[test]
fn job_progress_matches_golden_frames() {
    let progress = Message::JobProgress(vec![
        JobProgress {
            job: "req-1".into(),
            done: 3,
            running: 4,
        },
        JobProgress {
            job: "req-22".into(),
            done: 100_000,
            running: 0,
        },
    ]);
    assert_matches_golden(
        b"\
            \x00\x00\x00\x23\x04\x03\x00\x02\x00\x05req-1\x00\x00\x00\x03\x00\x00\x00\x04\
            \x00\x06req-22\x00\x01\x86\xa0\x00\x00\x00\x00",
        &progress,
    );
    assert_matches_golden(
        b"\x00\x00\x00\x04\x04\x03\x00\x00",
        &Message::JobProgress(Vec::new()),
    );
}

#[test]
fn unresponsive_zones_match_golden_frames() {
    let unresponsive = Message::UnresponsiveZones(vec![UnresponsiveZone {
        zone: "a".into(),
        unresponsive_ms: 9_000,
    }]);
    assert_matches_golden(
        b"\x00\x00\x00\x0b\x04\x04\x00\x01\x00\x01a\x00\x00\x23\x28",
        &unresponsive,
    );
    assert_matches_golden(
        b"\x00\x00\x00\x04\x04\x04\x00\x00",
        &Message::UnresponsiveZones(Vec::new()),
    );
}

#[test]
fn estimates_match_golden_frames() {
    let estimates = Message::Estimates(Estimates {
        term: 7,
        virtual_time: 12.5,
        classes: vec![ClassRunTime {
            class: "merge".into(),
            mean_s: 40.25,
        }],
        jobs: vec![
            JobEstimate {
                job: "req-1".into(),
                initial_size: 240.0,
                size: 120.5,
                ageing_credit: -3.0,
                is_ageing: true,
                trained: false,
                samples: vec![30.0, 31.5],
            },
            JobEstimate {
                job: "req-2".into(),
                initial_size: 1.0,
                size: 2.0,
                ageing_credit: 0.0,
                is_ageing: false,
                trained: true,
                samples: Vec::new(),
            },
        ],
    });
    assert_matches_golden(
        b"\
            \x00\x00\x00\x7b\x04\x05\x00\x00\x00\x00\x00\x00\x00\x07\
            \x40\x29\x00\x00\x00\x00\x00\x00\x00\x01\x00\x05merge\
            \x40\x44\x20\x00\x00\x00\x00\x00\x00\x02\x00\x05req-1\
            \x40\x6e\x00\x00\x00\x00\x00\x00\x40\x5e\x20\x00\x00\x00\x00\x00\
            \xc0\x08\x00\x00\x00\x00\x00\x00\x01\x00\x00\x02\x40\x3e\x00\x00\x00\x00\x00\x00\
            \x40\x3f\x80\x00\x00\x00\x00\x00\x00\x05req-2\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \x40\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00",
        &estimates,
    );
    let empty = Message::Estimates(Estimates {
        term: 7,
        virtual_time: 0.0,
        classes: Vec::new(),
        jobs: Vec::new(),
    });
    assert_matches_golden(
        b"\
        \x00\x00\x00\x16\x04\x05\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00\
        \x00\x00\x00\x00",
        &empty,
    );
}

#[test]
fn invalid_frames_are_rejected_with_specific_errors() {
    let assert_rejected = |content: &[u8], error| assert_eq!(Message::decode(content), Err(error));
    assert_rejected(b"\x02\x01\x00\x02n1", FrameError::UnsupportedVersion(2));
    assert_rejected(b"\x05\x01\x00\x02n1", FrameError::UnsupportedVersion(5));
    assert_rejected(b"\x04\x00", FrameError::UnknownKind(0));
    assert_rejected(b"\x04\x06", FrameError::UnknownKind(6));
    assert_rejected(b"\x04\x01\x00\x02n", FrameError::Truncated);
    assert_rejected(b"\x04\x01\x00\x02n1x", FrameError::TrailingBytes);
    assert_rejected(b"\x04\x01\x00\x01\xff", FrameError::InvalidUtf8);
    assert_rejected(
        b"\x04\x02\x00\x00\x00\x00\x00\x00\x00\x07\x02\x00\x00\x00\x00\x00\x00",
        FrameError::InvalidFlag,
    );
    assert_rejected(b"\x04\x03\x01\xf5", FrameError::TooLong(501));
}
