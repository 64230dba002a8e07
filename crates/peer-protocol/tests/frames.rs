//! What a frame holds after a round trip, and which frames are refused.

use dillcleat_peer_protocol::{
    ClassRunTime, Estimates, FrameError, JobEstimate, JobProgress, Message, SilentZone,
    frame_length,
};

#[test]
fn frames_round_trip_and_damaged_ones_are_refused() {
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
        Message::SilentZones(vec![SilentZone {
            zone: "a".into(),
            silent_ms: 9_000,
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
                credit: -3.0,
                is_ageing: true,
                trained: false,
                samples: vec![30.0, 31.5],
            }],
        }),
    ];
    for m in messages {
        let frame = m.encode();
        let head = [frame[0], frame[1], frame[2], frame[3]];
        assert_eq!(frame_length(head), Ok(frame.len() - 4));
        assert_eq!(Message::decode(&frame[4..]), Ok(m));
        for cut in 4..frame.len() {
            assert!(Message::decode(&frame[4..cut]).is_err());
        }
        let mut long = frame.clone();
        long.push(0);
        assert_eq!(Message::decode(&long[4..]), Err(FrameError::TrailingBytes));
        let mut before = frame.clone();
        before[4] = 3;
        assert!(Message::decode(&before[4..]).is_ok());
        let mut other = frame;
        other[4] = 9;
        assert_eq!(
            Message::decode(&other[4..]),
            Err(FrameError::UnsupportedVersion(9))
        );
    }
    assert!(frame_length([255; 4]).is_err());
}

/// An ageing credit that is not a number would keep its job first or last in the queue for good.
#[test]
fn numbers_that_are_not_finite_are_refused() {
    for clock in [f64::NAN, f64::INFINITY] {
        let frame = Message::Estimates(Estimates {
            term: 1,
            virtual_time: clock,
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
