//! Troubles of the meetings do something: the day with one differs from that without, and
//! the rules hold on it.

mod common;

use common::clean;
use dillcleat_controller::SECOND;
use dillcleat_simulator::{Fault, LEADER, Outcome, Scenario};

/// A day with a trouble, during which a leader ends.
fn day(fault: Option<Fault>) -> Outcome {
    let end = Fault::Crash {
        nodes: vec![LEADER],
        down: SECOND,
    };
    let mut faults = vec![(90 * SECOND, end)];
    faults.extend(fault.map(|f| (70 * SECOND, f)));
    clean(Scenario {
        faults,
        jobs: 16,
        small: true,
        ..Scenario::quiet(5)
    })
}

/// Reports that came in.
fn reports(o: &Outcome) -> u64 {
    o.costs.get("report").map_or(0, |(count, _)| *count)
}

#[test]
fn each_trouble_is_played() {
    let time = 60 * SECOND;
    let percent = 50;
    let plain = day(None);
    let troubles = [
        Fault::Mute {
            machines: usize::MAX,
            zone: Some(0),
            time,
        },
        Fault::ZoneDies {
            machines: usize::MAX,
            zone: 0,
        },
        Fault::AnswersLost { percent, time },
        Fault::CloseLooks { time },
        Fault::CancelsAtOnce { percent, time },
        Fault::CancelsAtEnd { percent, time },
        Fault::CancelsNow {
            jobs: 3,
            hang: time,
        },
    ];
    for fault in troubles {
        let told = format!("{fault:?}");
        assert_ne!(day(Some(fault)).digest, plain.digest, "{told}");
    }
    let odd = day(Some(Fault::OddRequests { time }));
    assert!(odd.odd_requests > 30, "{} odd requests", odd.odd_requests);
    let kept = day(Some(Fault::ReportsForNext { percent, time }));
    let (with, without) = (reports(&kept), reports(&plain));
    assert!(with > without + 30, "{with} reports, {without} without");
}

/// Every team at its limit, jobs bound to a zone and a stream of jobs of one task: the
/// rules hold, and all of it is served.
#[test]
fn teams_at_their_limits_and_a_stream_of_jobs() {
    let o = clean(Scenario {
        small: true,
        varied: true,
        tight: true,
        stream: Some((20 * SECOND, 60 * SECOND)),
        ..Scenario::quiet(7)
    });
    assert!(o.accepted >= 240, "{} accepted", o.accepted);
}
