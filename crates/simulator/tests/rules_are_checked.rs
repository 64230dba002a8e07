//! The checker catches a planted violation of each rule, and nothing else.

use dillcleat_controller::SECOND;
use dillcleat_simulator::rules::{Limit, Place, Room};
use dillcleat_simulator::{Checker, Rule};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::{JobKind, JobSpec, JobState};
use std::collections::BTreeMap;

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        spread: true,
        spot: false,
        ..JobSpec::plain("req-1", JobKind::Batch, tasks, 4.0)
    }
}

fn place(machine: &str, zone: &str, spot: bool) -> Place {
    Place {
        machine: machine.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot,
    }
}

fn task(index: u32) -> TaskName {
    TaskName {
        job: "req-1".into(),
        index,
    }
}

/// A job that waits for the other, and its task.
fn waiting() -> JobSpec {
    JobSpec {
        depends_on: vec!["req-1".into()],
        ..JobSpec::plain("req-2", JobKind::Batch, 1, 4.0)
    }
}

fn second() -> TaskName {
    TaskName {
        job: "req-2".into(),
        index: 0,
    }
}

/// A checker that has seen a job of so many tasks accepted.
fn checker(tasks: u32) -> Checker {
    let limit = Limit {
        cpus: 8.0,
        gpus: 0.0,
    };
    let mut c = Checker::new(10 * SECOND, BTreeMap::from([("t".to_string(), limit)]));
    c.submits(&spec(tasks));
    c.answered_submission("req-1", 201, Some(JobState::Queued), 0, 0);
    c
}

type Plant = fn(&mut Checker);

#[test]
fn each_rule_has_a_breach_that_is_caught() {
    let planted: [(Rule, u32, Plant); 22] = [
        (Rule::RanTwice, 2, |c| {
            c.starts(&task(0), &place("x", "a", false), 1);
            c.starts(&task(0), &place("y", "b", false), 2);
        }),
        (Rule::Quota, 9, |c| {
            c.starts(&task(0), &place("x", "a", false), 1);
            c.starts(&task(1), &place("x", "a", false), 2);
            c.starts(&task(2), &place("x", "a", false), 3);
        }),
        (Rule::TooEarly, 1, |c| {
            c.submits(&waiting());
            c.starts(&task(0), &place("x", "a", false), 1);
            c.starts(&second(), &place("x", "a", false), 2);
        }),
        (Rule::Orphaned, 1, |c| {
            c.submits(&waiting());
            c.answered_submission("req-2", 201, Some(JobState::Queued), 1, 1);
            c.asks_to_cancel("req-1");
            c.answered_poll("req-1", 200, Some(JobState::Cancelled), 2, 2);
            c.answered_poll(
                "req-2",
                200,
                Some(JobState::Queued),
                10 * SECOND + 2,
                10 * SECOND + 2,
            );
            assert_eq!(c.violations, []);
            c.answered_poll(
                "req-2",
                200,
                Some(JobState::Queued),
                10 * SECOND + 3,
                10 * SECOND + 3,
            );
        }),
        (Rule::WrongPlace, 1, |c| {
            c.starts(&task(0), &place("x", "a", true), 1)
        }),
        (Rule::WrongPlace, 2, |c| {
            c.starts(&task(0), &place("x", "a", false), 1);
            c.starts(&task(1), &place("y", "a", false), 2);
        }),
        (Rule::RanCancelled, 1, |c| {
            c.starts(&task(0), &place("x", "a", false), 1);
            c.asks_to_cancel("req-1");
            c.answered_poll("req-1", 200, Some(JobState::Cancelled), 2, 2);
            c.step(9 * SECOND);
            assert!(c.violations.is_empty());
            c.step(11 * SECOND);
        }),
        (Rule::Forgotten, 1, |c| {
            c.answered_poll("req-1", 404, None, 5, 5)
        }),
        (Rule::Forgotten, 1, |c| {
            c.answered_submission("req-1", 422, None, 5, 5)
        }),
        (Rule::Invented, 1, |c| {
            c.answered_poll("req-9", 200, Some(JobState::Queued), 5, 5);
        }),
        (Rule::NotDone, 2, |c| {
            c.starts(&task(0), &place("x", "a", false), 1);
            c.leaves(&task(0), "x", true);
            c.answered_poll("req-1", 200, Some(JobState::Done), 5, 5);
        }),
        (Rule::WentBack, 1, |c| {
            c.starts(&task(0), &place("x", "a", false), 1);
            c.leaves(&task(0), "x", true);
            c.answered_poll("req-1", 200, Some(JobState::Done), 5, 5);
            c.answered_poll("req-1", 200, Some(JobState::Running), 6, 6);
        }),
        (Rule::Forgotten, 1, |c| {
            // Nobody else is answered either.
            c.troubles_end = 50 * SECOND;
            for at in [10, 60, 125] {
                c.answered_poll("req-1", 0, None, at * SECOND, at * SECOND);
            }
            assert_eq!(c.violations, []);
            c.answered_poll("req-1", 503, None, 126 * SECOND, 126 * SECOND);
        }),
        (Rule::LateBegin, 1, |c| {
            let job = |id: &str, tasks, team: &str| JobSpec {
                team: team.into(),
                ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
            };
            // The small one and the one that a limit holds back tell nothing.
            for spec in [
                job("req-3", 4, "u"),
                job("req-4", 3, "u"),
                job("req-5", 4, "t"),
            ] {
                c.submits(&spec);
                c.answered_submission(&spec.id, 201, Some(JobState::Queued), SECOND, SECOND);
            }
            c.starts(&task(0), &place("x", "a", false), 2 * SECOND);
            c.leaves(&task(0), "x", true);
            let mut on_time = c.clone();
            on_time.finish(241 * SECOND);
            assert_eq!(on_time.violations, []);
            c.finish(242 * SECOND);
        }),
        (Rule::Admitted, 1, |c| {
            // Whoever can't decide says so.
            for status in [422, 503, 429, 0] {
                c.answered_refused("req-9", status, 422, 1);
            }
            assert_eq!(c.violations, []);
            c.answered_refused("req-9", 201, 422, 2);
        }),
        (Rule::Admitted, 1, |c| {
            c.answered_refused("req-9", 422, 400, 2)
        }),
        (Rule::Forgotten, 1, |c| {
            // Asked just before the acceptance was told, answered after it.
            c.submits(&waiting());
            c.answered_submission("req-2", 201, Some(JobState::Queued), 5, 9);
            c.answered_poll("req-2", 404, None, 8, 10);
            c.answered_submission("req-2", 201, Some(JobState::Queued), 8, 10);
            assert_eq!(c.violations, []);
            c.answered_submission("req-2", 201, Some(JobState::Queued), 9, 11);
        }),
        (Rule::WentBack, 1, |c| {
            // The answer to a question of before the end may cross that of the end.
            c.asks_to_cancel("req-1");
            c.answered_poll("req-1", 200, Some(JobState::Cancelled), 5, 9);
            c.answered_poll("req-1", 200, Some(JobState::Queued), 8, 10);
            assert_eq!(c.violations, []);
            c.answered_poll("req-1", 200, Some(JobState::Queued), 9, 11);
        }),
        (Rule::LaunchedCancelled, 1, |c| {
            c.launches(&task(0), false, 1);
            c.asks_to_cancel("req-1");
            c.answered_poll("req-1", 200, Some(JobState::Cancelled), 2, 2);
            // Those that were under way are counted.
            c.launches(&task(0), false, 3);
            c.starts(&task(0), &place("x", "a", false), 4);
            assert_eq!(c.violations, []);
            assert_eq!((c.late().launches, c.late().starts), (1, 1));
            c.launches(&task(0), true, 5);
        }),
        (Rule::LeftWaiting, 4, |c| {
            c.troubles_end = 10 * SECOND;
            // Half of its four tasks, and no more, may be in zone a; its team's limit
            // holds two tasks, and one is on spot machines never.
            c.starts(&task(0), &place("x", "a", false), 1);
            c.starts(&task(1), &place("x", "a", false), 1);
            c.leaves(&task(1), "x", true);
            let room = |machine: &str, zone: &str, spot, cpus| Room {
                place: place(machine, zone, spot),
                cpus,
                gpus: 0.0,
                tasks: Vec::new(),
                takes: true,
            };
            let x = Room {
                tasks: vec![task(0)],
                ..room("x", "a", false, 0.0)
            };
            let look = |c: &mut Checker, more: Room, from: u64, to: u64| {
                for at in from..to {
                    let rooms = [x.clone(), more.clone()];
                    c.look_for_waiting(&rooms, |_| false, at * SECOND);
                }
            };
            // None of these takes a task.
            look(c, room("y", "b", true, 8.0), 10, 200);
            look(c, room("y", "b", false, 3.0), 200, 400);
            let silent = Room {
                takes: false,
                ..room("y", "b", false, 8.0)
            };
            look(c, silent, 400, 600);
            let full = Room {
                tasks: vec![task(2)],
                ..room("y", "b", false, 8.0)
            };
            look(c, full, 600, 800);
            let full_zone = Room {
                tasks: vec![task(3)],
                ..room("x", "a", false, 8.0)
            };
            look(c, full_zone, 800, 900);
            // These do, but not for long enough.
            look(c, room("y", "b", false, 4.0), 900, 990);
            look(c, room("y", "b", true, 4.0), 990, 991);
            look(c, room("y", "b", false, 4.0), 991, 1082);
            assert_eq!(c.violations, []);
            look(c, room("y", "b", false, 4.0), 1082, 1083);
        }),
        (Rule::LeftWaiting, 2, |c| {
            // One of its two tasks may be in zone a, and before the troubles are over
            // nobody counts.
            c.troubles_end = 200 * SECOND;
            c.starts(&task(0), &place("x", "a", false), 1);
            let room = |machine: &str, zone: &str, tasks: Vec<TaskName>| Room {
                place: place(machine, zone, false),
                cpus: 4.0,
                gpus: 0.0,
                tasks,
                takes: true,
            };
            let x = room("x", "a", vec![task(0)]);
            let look = |c: &mut Checker, zone: &str, from: u64, to: u64| {
                for at in from..to {
                    let rooms = [x.clone(), room("y", zone, Vec::new())];
                    c.look_for_waiting(&rooms, |_| false, at * SECOND);
                }
            };
            look(c, "b", 100, 291);
            look(c, "a", 291, 500);
            look(c, "b", 500, 591);
            assert_eq!(c.violations, []);
            look(c, "b", 591, 592);
        }),
        (Rule::NothingRan, 1, |c| c.finish(9)),
    ];
    for (rule, tasks, plant) in planted {
        let mut c = checker(tasks);
        plant(&mut c);
        let caught: Vec<Rule> = c.violations.iter().map(|b| b.rule).collect();
        assert_eq!(caught, [rule]);
    }
}

#[test]
fn a_clean_run_has_no_breach() {
    let mut c = checker(2);
    c.starts(&task(0), &place("x", "a", false), 1);
    c.starts(&task(1), &place("y", "b", false), 2);
    c.leaves(&task(0), "x", false);
    c.starts(&task(0), &place("z", "a", false), 3);
    c.leaves(&task(0), "z", true);
    c.leaves(&task(1), "y", true);
    c.answered_poll("req-1", 200, Some(JobState::Done), 5, 5);
    c.answered_poll("req-2", 404, None, 6, 6);
    c.step(100 * SECOND);
    c.finish(100 * SECOND);
    assert_eq!(c.violations, []);
}
