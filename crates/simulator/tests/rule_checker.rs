//! The checker reports a planted violation of each rule that it detects itself, and no other
//! violation.

use dillcleat_controller::SECOND;
use dillcleat_simulator::rules::{Limit, MachineAttributes, MachineCapacity};
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

fn place(machine: &str, zone: &str, spot: bool) -> MachineAttributes {
    MachineAttributes {
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

/// A job that depends on the job of `spec`.
fn dependent_spec() -> JobSpec {
    JobSpec {
        depends_on: vec!["req-1".into()],
        ..JobSpec::plain("req-2", JobKind::Batch, 1, 4.0)
    }
}

fn dependent_task() -> TaskName {
    TaskName {
        job: "req-2".into(),
        index: 0,
    }
}

/// A checker to which one accepted job has been reported.
fn checker_with_job(tasks: u32) -> Checker {
    let limit = Limit {
        cpus: 8.0,
        gpus: 0.0,
    };
    let mut c = Checker::new(10 * SECOND, BTreeMap::from([("t".to_string(), limit)]));
    c.submitted(&spec(tasks));
    c.submission_answered("req-1", 201, Some(JobState::Queued), 0, 0);
    c
}

type PlantViolation = fn(&mut Checker);

#[test]
fn checker_reports_a_planted_violation_of_each_rule_it_detects() {
    let planted: [(Rule, u32, PlantViolation); 23] = [
        (Rule::RanTwice, 2, |c| {
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_started(&task(0), &place("y", "b", false), 2);
        }),
        (Rule::AttemptStartedAgain, 2, |c| {
            c.attempt_started(&task(0), 1, "x", 1);
            c.attempt_started(&task(0), 1, "y", 2);
            c.attempt_started(&task(0), 2, "x", 3);
            c.attempt_started(&task(0), 1, "x", 4);
        }),
        (Rule::QuotaExceeded, 9, |c| {
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_started(&task(1), &place("x", "a", false), 2);
            c.task_started(&task(2), &place("x", "a", false), 3);
        }),
        (Rule::StartedBeforeDependency, 1, |c| {
            c.submitted(&dependent_spec());
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_started(&dependent_task(), &place("x", "a", false), 2);
        }),
        (Rule::DependentNotCancelled, 1, |c| {
            c.submitted(&dependent_spec());
            c.submission_answered("req-2", 201, Some(JobState::Queued), 1, 1);
            c.cancel_requested("req-1");
            c.poll_answered("req-1", 200, Some(JobState::Cancelled), 2, 2);
            c.poll_answered(
                "req-2",
                200,
                Some(JobState::Queued),
                10 * SECOND + 2,
                10 * SECOND + 2,
            );
            assert_eq!(c.violations, []);
            c.poll_answered(
                "req-2",
                200,
                Some(JobState::Queued),
                10 * SECOND + 3,
                10 * SECOND + 3,
            );
        }),
        (Rule::WrongPlacement, 1, |c| {
            c.task_started(&task(0), &place("x", "a", true), 1)
        }),
        (Rule::WrongPlacement, 2, |c| {
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_started(&task(1), &place("y", "a", false), 2);
        }),
        (Rule::RanAfterCancellation, 1, |c| {
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.cancel_requested("req-1");
            c.poll_answered("req-1", 200, Some(JobState::Cancelled), 2, 2);
            c.check_cancellations(9 * SECOND);
            assert!(c.violations.is_empty());
            c.check_cancellations(11 * SECOND);
        }),
        (Rule::AcceptedJobLost, 1, |c| {
            c.poll_answered("req-1", 404, None, 5, 5)
        }),
        (Rule::AcceptedJobLost, 1, |c| {
            c.submission_answered("req-1", 422, None, 5, 5)
        }),
        (Rule::UnknownJobAnswered, 1, |c| {
            c.poll_answered("req-9", 200, Some(JobState::Queued), 5, 5);
        }),
        (Rule::DoneTooEarly, 2, |c| {
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_ended(&task(0), "x", true);
            c.poll_answered("req-1", 200, Some(JobState::Done), 5, 5);
        }),
        (Rule::StateReverted, 1, |c| {
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_ended(&task(0), "x", true);
            c.poll_answered("req-1", 200, Some(JobState::Done), 5, 5);
            c.poll_answered("req-1", 200, Some(JobState::Running), 6, 6);
        }),
        (Rule::AcceptedJobLost, 1, |c| {
            // Polls of other jobs are not answered either, so only the stricter limit after
            // the end of the faults applies.
            c.faults_end = 50 * SECOND;
            for at in [10, 60, 125] {
                c.poll_answered("req-1", 0, None, at * SECOND, at * SECOND);
            }
            assert_eq!(c.violations, []);
            c.poll_answered("req-1", 503, None, 126 * SECOND, 126 * SECOND);
        }),
        (Rule::LargestJobDelayed, 1, |c| {
            let job = |id: &str, tasks, team: &str| JobSpec {
                team: team.into(),
                ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
            };
            // The rule does not apply to the smaller job or to the job of a team with a
            // limit.
            for spec in [
                job("req-3", 4, "u"),
                job("req-4", 3, "u"),
                job("req-5", 4, "t"),
            ] {
                c.submitted(&spec);
                c.submission_answered(&spec.id, 201, Some(JobState::Queued), SECOND, SECOND);
            }
            c.task_started(&task(0), &place("x", "a", false), 2 * SECOND);
            c.task_ended(&task(0), "x", true);
            let mut on_time = c.clone();
            on_time.finish(241 * SECOND);
            assert_eq!(on_time.violations, []);
            c.finish(242 * SECOND);
        }),
        (Rule::WrongAdmission, 1, |c| {
            // An overloaded or unavailable node may answer with an error.
            for status in [422, 503, 429, 0] {
                c.invalid_submission_answered("req-9", status, 422, 1);
            }
            assert_eq!(c.violations, []);
            c.invalid_submission_answered("req-9", 201, 422, 2);
        }),
        (Rule::WrongAdmission, 1, |c| {
            c.invalid_submission_answered("req-9", 422, 400, 2)
        }),
        (Rule::AcceptedJobLost, 1, |c| {
            // Requests sent at 8, before the acceptance was reported at 9, violate no rule.
            // The submission sent at 9 must be answered as known.
            c.submitted(&dependent_spec());
            c.submission_answered("req-2", 201, Some(JobState::Queued), 5, 9);
            c.poll_answered("req-2", 404, None, 8, 10);
            c.submission_answered("req-2", 201, Some(JobState::Queued), 8, 10);
            assert_eq!(c.violations, []);
            c.submission_answered("req-2", 201, Some(JobState::Queued), 9, 11);
        }),
        (Rule::StateReverted, 1, |c| {
            // An answer to a poll that was sent before the end may arrive after it.
            c.cancel_requested("req-1");
            c.poll_answered("req-1", 200, Some(JobState::Cancelled), 5, 9);
            c.poll_answered("req-1", 200, Some(JobState::Queued), 8, 10);
            assert_eq!(c.violations, []);
            c.poll_answered("req-1", 200, Some(JobState::Queued), 9, 11);
        }),
        (Rule::LaunchedCancelled, 1, |c| {
            c.launch_sent(&task(0), false, 1);
            c.cancel_requested("req-1");
            c.poll_answered("req-1", 200, Some(JobState::Cancelled), 2, 2);
            // Launches that were already in flight are only counted.
            c.launch_sent(&task(0), false, 3);
            c.task_started(&task(0), &place("x", "a", false), 4);
            assert_eq!(c.violations, []);
            assert_eq!(
                (c.late_launches().launches, c.late_launches().starts),
                (1, 1)
            );
            c.launch_sent(&task(0), true, 5);
        }),
        (Rule::JobStarved, 4, |c| {
            c.faults_end = 10 * SECOND;
            // The job is spread, so two of its four tasks may be in zone a. It may not
            // use spot machines, and its team's limit allows two tasks at a time.
            c.task_started(&task(0), &place("x", "a", false), 1);
            c.task_started(&task(1), &place("x", "a", false), 1);
            c.task_ended(&task(1), "x", true);
            let machine_capacity = |machine: &str, zone: &str, spot, cpus| MachineCapacity {
                place: place(machine, zone, spot),
                cpus,
                gpus: 0.0,
                tasks: Vec::new(),
                accepts_tasks: true,
            };
            let x = MachineCapacity {
                tasks: vec![task(0)],
                ..machine_capacity("x", "a", false, 0.0)
            };
            let check = |c: &mut Checker, more: MachineCapacity, from: u64, to: u64| {
                for at in from..to {
                    let machines = [x.clone(), more.clone()];
                    c.check_waiting_jobs(&machines, |_| false, at * SECOND);
                }
            };
            // None of these machines can take a task.
            check(c, machine_capacity("y", "b", true, 8.0), 10, 200);
            check(c, machine_capacity("y", "b", false, 3.0), 200, 400);
            let unavailable = MachineCapacity {
                accepts_tasks: false,
                ..machine_capacity("y", "b", false, 8.0)
            };
            check(c, unavailable, 400, 600);
            let at_team_limit = MachineCapacity {
                tasks: vec![task(2)],
                ..machine_capacity("y", "b", false, 8.0)
            };
            check(c, at_team_limit, 600, 800);
            let full_zone = MachineCapacity {
                tasks: vec![task(3)],
                ..machine_capacity("x", "a", false, 8.0)
            };
            check(c, full_zone, 800, 900);
            // These machines can take a task, but not for long enough to violate the rule.
            check(c, machine_capacity("y", "b", false, 4.0), 900, 990);
            check(c, machine_capacity("y", "b", true, 4.0), 990, 991);
            check(c, machine_capacity("y", "b", false, 4.0), 991, 1082);
            assert_eq!(c.violations, []);
            check(c, machine_capacity("y", "b", false, 4.0), 1082, 1083);
        }),
        (Rule::JobStarved, 2, |c| {
            // One of its two tasks may be in zone a. Waiting does not count before the
            // faults are over.
            c.faults_end = 200 * SECOND;
            c.task_started(&task(0), &place("x", "a", false), 1);
            let machine_capacity =
                |machine: &str, zone: &str, tasks: Vec<TaskName>| MachineCapacity {
                    place: place(machine, zone, false),
                    cpus: 4.0,
                    gpus: 0.0,
                    tasks,
                    accepts_tasks: true,
                };
            let x = machine_capacity("x", "a", vec![task(0)]);
            let check = |c: &mut Checker, zone: &str, from: u64, to: u64| {
                for at in from..to {
                    let machines = [x.clone(), machine_capacity("y", zone, Vec::new())];
                    c.check_waiting_jobs(&machines, |_| false, at * SECOND);
                }
            };
            check(c, "b", 100, 291);
            check(c, "a", 291, 500);
            check(c, "b", 500, 591);
            assert_eq!(c.violations, []);
            check(c, "b", 591, 592);
        }),
        (Rule::NoTaskStarted, 1, |c| c.finish(9)),
    ];
    for (rule, tasks, report_violation) in planted {
        let mut c = checker_with_job(tasks);
        report_violation(&mut c);
        let reported: Vec<Rule> = c.violations.iter().map(|v| v.rule).collect();
        assert_eq!(reported, [rule]);
    }
}

#[test]
fn valid_run_has_no_violations() {
    let mut c = checker_with_job(2);
    c.task_started(&task(0), &place("x", "a", false), 1);
    c.task_started(&task(1), &place("y", "b", false), 2);
    c.task_ended(&task(0), "x", false);
    c.task_started(&task(0), &place("z", "a", false), 3);
    c.task_ended(&task(0), "z", true);
    c.task_ended(&task(1), "y", true);
    c.poll_answered("req-1", 200, Some(JobState::Done), 5, 5);
    c.poll_answered("req-2", 404, None, 6, 6);
    c.check_cancellations(100 * SECOND);
    c.finish(100 * SECOND);
    assert_eq!(c.violations, []);
}
