//! Batched writes of the leader, fenced by its term.
//!
//! One transaction is in flight at a time. It compares the term, the version of every
//! chunk that it sets (so a copy of it that is applied late fails), and the state record
//! of every job that it places tasks of or ends (so a cancellation elsewhere wins).
//! Records are made from memory when the batch is sent; what depends on them is done once
//! the batch is acknowledged.

mod batch;
mod rate;

pub use self::batch::{BatchCheckpoint, MutationSizes, NewPlacement, WriteBatch};
pub use self::rate::WriteRate;

use crate::Micros;
use crate::records::{self, TaskRange};
use crate::token_bucket::TokenBucket;
use dillcleat_wire::store::Transaction;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// A change of the store that is queued. What exactly is written is worked out when its
/// batch is made.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// The record of some tasks of a job.
    Tasks {
        /// The id of the job.
        job: Rc<str>,
        /// The tasks that the record tells of.
        range: TaskRange,
    },
    /// Every task of the job is done.
    JobDone(Rc<str>),
    /// The job is cancelled, since one that it depends on was.
    JobCancelled(Rc<str>),
    /// The job is cancelled and all its tasks are gone: its records are deleted.
    ClearJob(Rc<str>),
    /// The record of a machine.
    Machine(String),
    /// The deletion of a key that nothing needs any more.
    DeleteKey(String),
    /// The record of the machine types.
    MachineTypes,
}

impl PendingWrite {
    /// Whether nothing waits for it: a machine's address helps a later leader, and a
    /// key that is not needed may stay a while. A fleet that boots at once causes
    /// hundreds of them, and placements must not queue behind.
    fn is_deferrable(&self) -> bool {
        matches!(self, PendingWrite::Machine(_) | PendingWrite::DeleteKey(_))
    }
}

/// Fields of a log line.
impl fmt::Display for PendingWrite {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PendingWrite::Tasks { job, range } => {
                write!(f, "write=tasks key={}", records::tasks_key(job, *range))
            }
            PendingWrite::JobDone(job) => write!(f, "write=job_done job={job}"),
            PendingWrite::JobCancelled(job) => write!(f, "write=job_cancelled job={job}"),
            PendingWrite::ClearJob(job) => write!(f, "write=clear_job job={job}"),
            PendingWrite::Machine(machine) => write!(f, "write=machine machine={machine}"),
            PendingWrite::DeleteKey(key) => write!(f, "write=delete_key key={key}"),
            PendingWrite::MachineTypes => write!(f, "write=machine_types"),
        }
    }
}

/// A write that the store refused by itself.
#[derive(Debug)]
struct RefusedWrite {
    retry_at: Micros,
    write: PendingWrite,
}

/// The writes that are queued, and the batch that is in flight.
///
/// A write is queued at most once: `queued` holds every write of `urgent`,
/// `cancellations`, `deferrable` and `refused`.
#[derive(Debug, Default)]
pub struct WriteQueue {
    urgent: VecDeque<PendingWrite>,
    /// Cancellations that follow from others: up to half of a batch while there is
    /// anything else. A thousand jobs that depend on one that is cancelled do not hold
    /// up placements, and neither are they held up.
    cancellations: VecDeque<PendingWrite>,
    /// Writes that fill the space that the others leave in a batch.
    deferrable: VecDeque<PendingWrite>,
    /// Writes that the store refused by themselves, to be tried again at a time.
    refused: Vec<RefusedWrite>,
    queued: BTreeSet<PendingWrite>,
    /// How many deferrable writes may be made now.
    deferrable_budget: TokenBucket,
    /// The most writes in a batch, after a larger one was refused.
    max_batch_writes: Option<usize>,
    in_flight: Option<WriteBatch>,
    /// When the batch is sent again. Set only while one is in flight and was not answered.
    resend_at: Option<Micros>,
}

impl WriteQueue {
    /// The queue of the writes of its kind.
    fn sub_queue(&mut self, write: &PendingWrite) -> &mut VecDeque<PendingWrite> {
        match write {
            PendingWrite::JobCancelled(_) => &mut self.cancellations,
            _ if write.is_deferrable() => &mut self.deferrable,
            _ => &mut self.urgent,
        }
    }

    /// Queues a write behind the others of its kind, unless it is queued already.
    pub fn push(&mut self, write: PendingWrite) {
        if self.queued.insert(write.clone()) {
            self.sub_queue(&write).push_back(write);
        }
    }

    /// Queues a write before the others of its kind, unless it is queued already.
    pub fn push_front(&mut self, write: PendingWrite) {
        if self.queued.insert(write.clone()) {
            self.sub_queue(&write).push_front(write);
        }
    }

    /// The next write for a batch that holds `batch_writes`, `batch_cancellations` of
    /// which are cancellations that follow from others.
    pub fn pop(&mut self, batch_writes: usize, batch_cancellations: usize) -> Option<PendingWrite> {
        let cancellation_is_next = self.urgent.is_empty() || batch_cancellations * 2 < batch_writes;
        let cancellation = cancellation_is_next
            .then(|| self.cancellations.pop_front())
            .flatten();
        let write = cancellation
            .or_else(|| self.urgent.pop_front())
            .or_else(|| self.pop_deferrable())?;
        self.queued.remove(&write);
        Some(write)
    }

    fn pop_deferrable(&mut self) -> Option<PendingWrite> {
        if self.deferrable_budget.available() < 1.0 {
            return None;
        }
        let write = self.deferrable.pop_front()?;
        self.deferrable_budget.take(1.0);
        Some(write)
    }

    /// Allows `per_s` deferrable writes a second. They get only a share of the store's
    /// writes: a burst of them would use up the rate that placements and submissions need.
    pub fn refill_deferrable_budget(&mut self, now: Micros, per_s: f64) {
        self.deferrable_budget.refill(now, per_s, per_s.max(1.0));
    }

    /// Queues a write that the store refused, for a retry at a later time. It counts as
    /// queued until then: it must not be taken for written.
    pub fn retry_refused_at(&mut self, retry_at: Micros, write: PendingWrite) {
        self.queued.insert(write.clone());
        self.refused.push(RefusedWrite { retry_at, write });
    }

    /// Moves the refused writes that are due back among the others.
    pub fn requeue_refused(&mut self, now: Micros) {
        if !self.refused.iter().any(|refused| now >= refused.retry_at) {
            return;
        }
        for refused in std::mem::take(&mut self.refused) {
            if now >= refused.retry_at {
                self.sub_queue(&refused.write).push_back(refused.write);
            } else {
                self.refused.push(refused);
            }
        }
    }

    /// Whether nothing can be written now.
    pub fn is_idle(&self) -> bool {
        let nothing_deferrable =
            self.deferrable.is_empty() || self.deferrable_budget.available() < 1.0;
        self.urgent.is_empty() && self.cancellations.is_empty() && nothing_deferrable
    }

    /// The most writes that the next batch may hold.
    pub fn max_batch_writes(&self) -> usize {
        self.max_batch_writes.unwrap_or(usize::MAX)
    }

    /// A batch of so many writes was too large for the store.
    pub fn shrink_batches(&mut self, refused_writes: usize) {
        self.max_batch_writes = Some(refused_writes / 2);
    }

    /// A batch was committed: the next ones may be larger, up to a limit that needs no
    /// bound on the number of writes.
    pub fn grow_batches(&mut self, limit: usize) {
        self.max_batch_writes = self.max_batch_writes.map(|writes| writes * 2);
        self.max_batch_writes.take_if(|writes| *writes >= limit);
    }

    /// The batch that is in flight.
    pub fn in_flight(&self) -> Option<&WriteBatch> {
        self.in_flight.as_ref()
    }

    /// A batch is in flight.
    pub fn set_in_flight(&mut self, batch: WriteBatch) {
        self.in_flight = Some(batch);
    }

    /// Removes the batch that is in flight, to handle a reply to it.
    pub fn take_in_flight(&mut self) -> Option<WriteBatch> {
        self.in_flight.take()
    }

    /// The batch was not answered, and is sent again at this time.
    pub fn resend_in_flight_at(&mut self, batch: WriteBatch, at: Micros) {
        self.in_flight = Some(batch);
        self.resend_at = Some(at);
    }

    /// The transaction of the batch in flight, if it is to be sent again now.
    pub fn take_due_resend(&mut self, now: Micros) -> Option<Transaction> {
        self.resend_at.take_if(|at| now >= *at)?;
        self.in_flight
            .as_ref()
            .map(|batch| batch.transaction().clone())
    }

    /// Whether a cancellation of the job that follows from another has yet to be stored.
    pub fn has_cancellation(&self, job: &Rc<str>) -> bool {
        self.has(&PendingWrite::JobCancelled(job.clone()))
    }

    /// Whether the latest change of these tasks is in the store.
    pub fn is_stored(&self, job: &Rc<str>, range: TaskRange) -> bool {
        let job = job.clone();
        !self.has(&PendingWrite::Tasks { job, range })
    }

    /// Whether a write is queued or in flight.
    fn has(&self, write: &PendingWrite) -> bool {
        let in_flight = self.in_flight.as_ref();
        self.queued.contains(write) || in_flight.is_some_and(|batch| batch.writes.contains(write))
    }
}
