//! Whose fault an error is: the job's or the machine's.
//!
//! An error tells against a machine only where the same job runs elsewhere, and
//! against a job only where the machine is not known to fail others. Errors of
//! any two jobs once condemned a machine: two jobs submitted with a mistake so
//! had 29 good machines returned in a day (operations, brunnmatt-books-ops).

use crate::{Micros, SECOND};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Machines on which a job must have failed, and nowhere run, to be doubted.
const DOUBTFUL: usize = 2;
/// Jobs that run elsewhere which must have failed on a machine to condemn it.
const CONDEMNED: usize = 2;
/// The longest pause between two tries of a doubtful job is `SECOND` shifted by
/// this.
const LONGEST: u32 = 6;

/// What a job's errors say of it.
#[derive(Debug, Default)]
pub struct FailureRecord {
    /// A task of it is known to have run.
    proven: bool,
    /// Where it failed, before any task of it is known to have run.
    failed_on: BTreeSet<Rc<str>>,
    tries: u32,
    next_try: Micros,
}

impl FailureRecord {
    /// It fails wherever it runs, as far as is known: it is tried with one task
    /// at a time, rents nothing and does not count among active jobs.
    pub fn doubtful(&self) -> bool {
        !self.proven && self.failed_on.len() >= DOUBTFUL
    }

    pub fn proven(&self) -> bool {
        self.proven
    }

    /// Whether a task of it may be placed, with `placed` of them on machines. One that
    /// runs well for long proves nothing until it ends, so a starving job is tried with
    /// one more: it once waited for as long as that one ran.
    pub fn may_start(&self, placed: usize, starving: bool, now: Micros) -> bool {
        !self.doubtful() || ((placed == 0 || starving) && now >= self.next_try)
    }

    /// When a doubtful job may be tried again.
    pub fn next_try(&self) -> Option<Micros> {
        self.doubtful().then_some(self.next_try)
    }

    /// A task of it has failed on a machine. Returns the pause until the next
    /// try, if this error starts one: of a whole array failing at once, one.
    pub fn failed(&mut self, machine: &Rc<str>, now: Micros) -> Option<Micros> {
        if self.proven {
            return None;
        }
        self.failed_on.insert(machine.clone());
        if !self.doubtful() || now < self.next_try {
            return None;
        }
        let pause = SECOND << self.tries.min(LONGEST);
        self.tries += 1;
        self.next_try = now + pause;
        Some(pause)
    }

    /// A task of it has run. Returns the machines whose errors now tell against
    /// them.
    pub fn ran(&mut self) -> BTreeSet<Rc<str>> {
        self.proven = true;
        std::mem::take(&mut self.failed_on)
    }
}

/// Errors of jobs that run elsewhere.
#[derive(Debug, Default)]
pub struct MachineStrikes(BTreeSet<Rc<str>>);

impl MachineStrikes {
    pub fn add(&mut self, job: &Rc<str>) {
        self.0.insert(job.clone());
    }

    /// It is known to fail somebody, so its errors say nothing of others.
    pub fn any(&self) -> bool {
        !self.0.is_empty()
    }

    /// It takes no more tasks and is returned.
    pub fn condemn(&self) -> bool {
        self.0.len() >= CONDEMNED
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn m(i: u32) -> Rc<str> {
        Rc::from(format!("m{i}"))
    }

    #[test]
    fn a_broken_job_is_tried_with_one_task_at_growing_intervals() {
        let mut job = FailureRecord::default();
        assert_eq!(job.failed(&m(0), 0), None);
        assert_eq!(job.failed(&m(0), 0), None);
        assert!(job.may_start(9, false, 0), "one machine may be to blame");
        assert_eq!(job.failed(&m(1), 0), Some(SECOND));
        // The rest of the array fails as well, which is no news.
        assert_eq!(job.failed(&m(2), SECOND / 2), None);
        assert!(!job.may_start(0, false, SECOND / 2));
        let mut now = SECOND;
        let mut tries = 0;
        while now < 600 * SECOND {
            if job.may_start(0, false, now) {
                assert!(!job.may_start(1, false, now), "one at a time");
                tries += 1;
                job.failed(&m(3), now);
            }
            now += SECOND;
        }
        assert!((8..18).contains(&tries), "{tries}");
    }

    #[test]
    fn a_job_that_runs_somewhere_is_not_paused_and_tells_against_the_machine() {
        let mut job = FailureRecord::default();
        job.failed(&m(0), 0);
        job.failed(&m(1), 0);
        assert!(job.doubtful());
        assert_eq!(job.ran(), BTreeSet::from([m(0), m(1)]));
        assert_eq!(job.failed(&m(2), 0), None);
        assert!(job.may_start(50, false, 0));
        let mut machine = MachineStrikes::default();
        machine.add(&Rc::from("job"));
        machine.add(&Rc::from("job"));
        assert!(
            machine.any() && !machine.condemn(),
            "one job may be unlucky"
        );
        machine.add(&Rc::from("other"));
        assert!(machine.condemn());
    }
}
