//! Whether a task's failure is attributed to its job or to its machine.

use dillcleat_controller::SECOND;
use dillcleat_controller::failure_attribution::{AttributedFailures, FailureRecord};
use std::collections::BTreeSet;
use std::rc::Rc;

fn machine(i: u32) -> Rc<str> {
    Rc::from(format!("m{i}"))
}

#[test]
fn job_that_fails_on_several_machines_is_retried_with_one_task_and_backoff() {
    let mut job = FailureRecord::default();
    assert_eq!(job.record_failure(&machine(0), 0), None);
    assert_eq!(job.record_failure(&machine(0), 0), None);
    assert!(
        job.may_start(9, false, 0),
        "the first machine may be faulty"
    );
    assert_eq!(job.record_failure(&machine(1), 0), Some(SECOND));
    // Failures of other tasks during the pause do not prolong it.
    assert_eq!(job.record_failure(&machine(2), SECOND / 2), None);
    assert!(!job.may_start(0, false, SECOND / 2));
    let mut now = SECOND;
    let mut attempts = 0;
    while now < 600 * SECOND {
        if job.may_start(0, false, now) {
            assert!(!job.may_start(1, false, now), "one task at a time");
            attempts += 1;
            job.record_failure(&machine(3), now);
        }
        now += SECOND;
    }
    assert!((8..18).contains(&attempts), "{attempts}");
}

#[test]
fn failures_of_a_job_that_has_succeeded_count_against_the_machine() {
    let mut job = FailureRecord::default();
    job.record_failure(&machine(0), 0);
    job.record_failure(&machine(1), 0);
    assert!(job.is_suspect());
    assert_eq!(
        job.record_success(),
        BTreeSet::from([machine(0), machine(1)])
    );
    assert_eq!(job.record_failure(&machine(2), 0), None);
    assert!(job.may_start(50, false, 0));
    let mut machine_failures = AttributedFailures::default();
    machine_failures.add(&Rc::from("job"));
    machine_failures.add(&Rc::from("job"));
    assert!(
        machine_failures.has_failures() && !machine_failures.warrant_cordon(),
        "a single job does not warrant a cordon"
    );
    machine_failures.add(&Rc::from("other"));
    assert!(machine_failures.warrant_cordon());
}
