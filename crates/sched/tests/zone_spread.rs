//! Zone constraints of jobs whose tasks are spread over zones.

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

/// The job with `in_a` tasks in zone a and `unknown` tasks on machines whose zone is unknown.
fn with_tasks_in(job: &Job, in_a: u32, unknown: u32) -> JobView<'_> {
    let zones = [(Rc::from("a"), in_a), (Rc::from(""), unknown)];
    JobView {
        tasks_by_zone: zones.into(),
        ..job.view()
    }
}

/// A new leader may know many machines from stored placements only, without their zones. It must
/// not place up to half of the tasks in one zone in addition to the tasks on those machines.
#[test]
fn tasks_in_unknown_zone_count_in_every_zone() {
    let job = spread_job();
    let allowed = |in_a, unknown, zone| {
        with_tasks_in(&job, in_a, unknown).constraints_allow(&machine(zone, 8.0, false))
    };
    assert!(allowed(2, 2, "a"));
    assert!(!allowed(2, 3, "a"));
    assert!(allowed(2, 3, "b"));
    assert!(!allowed(0, 5, "b"));
}

#[test]
fn spread_job_may_have_at_most_half_of_its_tasks_in_one_zone() {
    let job = spread_job();
    let allowed = |in_a| with_tasks_in(&job, in_a, 0).constraints_allow(&machine("a", 8.0, false));
    assert!(allowed(4));
    assert!(!allowed(5));
}
