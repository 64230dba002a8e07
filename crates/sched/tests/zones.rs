//! In which zones the tasks of a job that is spread over zones may run.

mod common;

use common::{Job, machine};
use dillcleat_sched::JobView;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::rc::Rc;

/// A job of ten tasks that is spread over zones.
fn spread_job() -> Job {
    let spec = JobSpec {
        spread: true,
        ..JobSpec::plain("req-1", JobKind::Batch, 10, 1.0)
    };
    Job::new(spec, 10.0, 0)
}

/// The job with so many tasks in zone a and on machines whose zone is not known.
fn with_tasks_in(job: &Job, in_a: u32, unknown: u32) -> JobView<'_> {
    let zones = [(Rc::from("a"), in_a), (Rc::from(""), unknown)];
    JobView {
        tasks_by_zone: zones.into(),
        ..job.view()
    }
}

/// A leader that follows while a fleet grows knows thousands of machines from stored
/// placements only: their records are written after all else. It once placed half of a
/// job in each zone in addition to those (`large_fleet`, seed 1 at scale 110).
#[test]
fn tasks_whose_zone_is_not_known_count_in_every_zone() {
    let job = spread_job();
    let allowed = |in_a, unknown, zone| {
        with_tasks_in(&job, in_a, unknown).rules_allow(&machine(zone, 8.0, false))
    };
    assert!(allowed(2, 2, "a"));
    assert!(!allowed(2, 3, "a"));
    assert!(allowed(2, 3, "b"));
    assert!(!allowed(0, 5, "b"));
}

#[test]
fn half_of_the_tasks_may_be_in_one_zone() {
    let job = spread_job();
    let allowed = |in_a| with_tasks_in(&job, in_a, 0).rules_allow(&machine("a", 8.0, false));
    assert!(allowed(4));
    assert!(!allowed(5));
}
