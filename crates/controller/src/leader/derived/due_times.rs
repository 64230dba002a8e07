//! When jobs and machines change by time alone.

use super::entry_at;
use crate::Micros;
use crate::sched::SlabIndex;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that changes by time alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DueSubject {
    Job(SlabIndex),
    Machine(SlabIndex),
}

/// The order of the fields is the order in which entries are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    at: Micros,
    subject: DueSubject,
}

/// A queue of times at which jobs and machines are to be looked at again.
///
/// It holds at least one entry for each subject that is due, none later than it is: an
/// entry that comes too early is made anew.
#[derive(Debug, Default)]
pub(super) struct DueTimes {
    entries: BinaryHeap<Reverse<DueEntry>>,
    /// The earliest entry of each job and of each machine, by its index; the end of time
    /// if it has none.
    earliest_by_job: Vec<Micros>,
    earliest_by_machine: Vec<Micros>,
}

impl DueTimes {
    fn earliest_mut(&mut self, subject: DueSubject) -> &mut Micros {
        match subject {
            DueSubject::Job(index) => entry_at(&mut self.earliest_by_job, index, Micros::MAX),
            DueSubject::Machine(index) => {
                entry_at(&mut self.earliest_by_machine, index, Micros::MAX)
            }
        }
    }

    /// Has the subject looked at when `at` has come.
    pub(super) fn add(&mut self, at: Micros, subject: DueSubject) {
        let earliest = self.earliest_mut(subject);
        if at < *earliest {
            *earliest = at;
            self.entries.push(Reverse(DueEntry { at, subject }));
        }
    }

    /// Takes the next subject that is due by now.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<DueSubject> {
        let Reverse(DueEntry { at, subject }) = *self.entries.peek()?;
        if at > now {
            return None;
        }
        self.entries.pop();
        let earliest = self.earliest_mut(subject);
        if *earliest == at {
            *earliest = Micros::MAX;
        }
        Some(subject)
    }
}
