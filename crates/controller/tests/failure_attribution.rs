//! Whether an error is put down to the job or to the machine.

use dillcleat_controller::SECOND;
use dillcleat_controller::failure_attribution::{AttributedFailures, FailureRecord};
use std::collections::BTreeSet;
use std::rc::Rc;

fn m(i: u32) -> Rc<str> {
    Rc::from(format!("m{i}"))
}

#[test]
fn a_broken_job_is_retried_with_one_task_at_growing_intervals() {
    let mut job = FailureRecord::default();
    assert_eq!(job.record_failure(&m(0), 0), None);
    assert_eq!(job.record_failure(&m(0), 0), None);
    assert!(job.may_start(9, false, 0), "one machine may be to blame");
    assert_eq!(job.record_failure(&m(1), 0), Some(SECOND));
    // The rest of the array fails as well, which is no news.
    assert_eq!(job.record_failure(&m(2), SECOND / 2), None);
    assert!(!job.may_start(0, false, SECOND / 2));
    let mut now = SECOND;
    let mut tries = 0;
    while now < 600 * SECOND {
        if job.may_start(0, false, now) {
            assert!(!job.may_start(1, false, now), "one at a time");
            tries += 1;
            job.record_failure(&m(3), now);
        }
        now += SECOND;
    }
    assert!((8..18).contains(&tries), "{tries}");
}

#[test]
fn a_job_that_runs_somewhere_is_not_paused_and_counts_against_the_machine() {
    let mut job = FailureRecord::default();
    job.record_failure(&m(0), 0);
    job.record_failure(&m(1), 0);
    assert!(job.is_suspect());
    assert_eq!(job.record_success(), BTreeSet::from([m(0), m(1)]));
    assert_eq!(job.record_failure(&m(2), 0), None);
    assert!(job.may_start(50, false, 0));
    let mut machine = AttributedFailures::default();
    machine.add(&Rc::from("job"));
    machine.add(&Rc::from("job"));
    assert!(
        machine.has_failures() && !machine.warrant_cordon(),
        "one job may be unlucky"
    );
    machine.add(&Rc::from("other"));
    assert!(machine.warrant_cordon());
}
