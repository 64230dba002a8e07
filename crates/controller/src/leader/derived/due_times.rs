//! The times at which the derived state of jobs and machines changes without an event.

use super::entry_at;
use crate::Micros;
use crate::sched::SlabIndex;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A job or machine whose derived state has to be refreshed at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DueSubject {
    Job(SlabIndex),
    Machine(SlabIndex),
}

/// An entry of the queue. The order of the fields determines the order of the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    at: Micros,
    subject: DueSubject,
}

/// A queue of the times at which jobs and machines have to be refreshed.
///
/// For each subject with a due time it holds an entry at or before that time. An early
/// entry causes a refresh, which adds a new entry.
#[derive(Debug, Default)]
pub(super) struct DueTimes {
    entries: BinaryHeap<Reverse<DueEntry>>,
    /// The earliest entry of each job and of each machine, by slab index; `Micros::MAX` if
    /// there is none.
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

    /// Schedules a refresh of the subject at `at`.
    pub(super) fn add(&mut self, at: Micros, subject: DueSubject) {
        let earliest = self.earliest_mut(subject);
        if at < *earliest {
            *earliest = at;
            self.entries.push(Reverse(DueEntry { at, subject }));
        }
    }

    /// Takes the next subject that is due.
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
