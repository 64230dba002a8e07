//! Round trips of all messages, and rejection of invalid frames.

use dillcleat_peer_protocol::{
    ClassRunTime, Estimates, FrameError, JobEstimate, JobProgress, Message, UnresponsiveZone,
    frame_length,
};

#[test]
fn messages_round_trip_and_invalid_frames_are_rejected() {
    let messages = [
        Message::Hello {
            member: "a-0".into(),
        },
        Message::Heartbeat {
            term: u64::MAX,
            is_leader: true,
            store_reachable: false,
            workers_reachable: true,
            requests_per_s: 70_000,
        },
        Message::JobProgress(vec![JobProgress {
            job: "req-1".into(),
            done: 3,
            running: 4,
        }]),
        Message::UnresponsiveZones(vec![UnresponsiveZone {
            zone: "a".into(),
            unresponsive_ms: 9_000,
        }]),
        Message::Estimates(Estimates {
            term: 7,
            virtual_time: 12.5,
            classes: vec![ClassRunTime {
                class: "merge".into(),
                mean_s: 40.25,
            }],
            jobs: vec![JobEstimate {
                job: "req-1".into(),
                initial_size: 240.0,
                size: 120.5,
                ageing_credit: -3.0,
                is_ageing: true,
                trained: false,
                samples: vec![30.0, 31.5],
            }],
        }),
    ];
    for message in messages {
        let frame = message.encode();
        let header = [frame[0], frame[1], frame[2], frame[3]];
        assert_eq!(frame_length(header), Ok(frame.len() - 4));
        assert_eq!(Message::decode(&frame[4..]), Ok(message));
        for cut in 4..frame.len() {
            assert!(Message::decode(&frame[4..cut]).is_err());
        }
        let mut longer = frame.clone();
        longer.push(0);
        assert_eq!(
            Message::decode(&longer[4..]),
            Err(FrameError::TrailingBytes)
        );
        let mut previous_version = frame.clone();
        previous_version[4] = 3;
        assert!(Message::decode(&previous_version[4..]).is_ok());
        let mut unknown_version = frame;
        unknown_version[4] = 9;
        assert_eq!(
            Message::decode(&unknown_version[4..]),
            Err(FrameError::UnsupportedVersion(9))
        );
    }
    assert!(frame_length([255; 4]).is_err());
}

/// A job with a non-finite ageing credit would permanently be the first or last in the queue.
#[test]
fn non_finite_numbers_are_rejected() {
    for virtual_time in [f64::NAN, f64::INFINITY] {
        let frame = Message::Estimates(Estimates {
            term: 1,
            virtual_time,
            classes: Vec::new(),
            jobs: Vec::new(),
        })
        .encode();
        assert_eq!(
            Message::decode(&frame[4..]),
            Err(FrameError::NonFiniteNumber)
        );
    }
}
