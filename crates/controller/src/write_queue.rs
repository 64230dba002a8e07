//! The queue of the leader's writes, which are stored in batches and fenced by the term.
//!
//! One batch is in flight at a time, as a single transaction. The transaction compares
//! - the version of the term's record,
//! - the version of every task record that it sets, so that a delayed duplicate fails, and
//! - the version of the state record of every job that it ends or places tasks of, so that
//!   it fails if the job has been cancelled meanwhile.
//!
//! A record is built from the leader's state when its batch is sent. Actions that depend on
//! the record are taken after the batch is committed.

mod batch;
mod rate;

pub use self::batch::{BatchSavepoint, MutationSizes, NewPlacement, WriteBatch};
pub use self::rate::WriteRate;

use crate::Micros;
use crate::records::{self, TaskRange};
use crate::token_bucket::TokenBucket;
use dillcleat_wire::store::Transaction;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// A queued change of the store. The record to write is built together with its batch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// The record of some tasks of a job.
    Tasks {
        /// The id of the job.
        job: Rc<str>,
        /// The tasks that the record covers.
        range: TaskRange,
    },
    /// The end of a job all of whose tasks are done.
    JobDone(Rc<str>),
    /// The cancellation of a job because a job that it depends on was cancelled.
    JobCancelled(Rc<str>),
    /// The deletion of the records of a cancelled job all of whose tasks are gone.
    DeleteJobRecords(Rc<str>),
    /// The deletion of a task record of a job that has ended.
    DeleteTasks {
        /// The id of the job.
        job: Rc<str>,
        /// The tasks that the record covers.
        range: TaskRange,
    },
    /// The record of a machine.
    Machine(String),
    /// The deletion of a key that is no longer needed.
    DeleteKey(String),
    /// The record of the machine types.
    MachineTypes,
}

impl PendingWrite {
    /// Whether the write may be delayed: a machine's record is used only by a later leader,
    /// and an unneeded key may remain for a while. Placements must not wait for the many
    /// machine records that are written when a fleet boots.
    fn is_deferrable(&self) -> bool {
        matches!(
            self,
            PendingWrite::Machine(_)
                | PendingWrite::DeleteTasks { .. }
                | PendingWrite::DeleteKey(_)
        )
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
            PendingWrite::DeleteJobRecords(job) => write!(f, "write=delete_job_records job={job}"),
            PendingWrite::DeleteTasks { job, range } => {
                let key = records::tasks_key(job, *range);
                write!(f, "write=delete_tasks key={key}")
            }
            PendingWrite::Machine(machine) => write!(f, "write=machine machine={machine}"),
            PendingWrite::DeleteKey(key) => write!(f, "write=delete_key key={key}"),
            PendingWrite::MachineTypes => write!(f, "write=machine_types"),
        }
    }
}

/// A write that the store rejected individually.
#[derive(Debug)]
struct RejectedWrite {
    retry_at: Micros,
    write: PendingWrite,
}

/// The writes that are queued, and the batch that is in flight.
///
/// A write is queued at most once: `queued` contains every write of `urgent`,
/// `cancellations`, `deferrable` and `rejected`, except for deletions of task records.
#[derive(Debug, Default)]
pub struct WriteQueue {
    urgent: VecDeque<PendingWrite>,
    /// Cancellations caused by the cancellation of a dependency. They fill up to half of a
    /// batch while there are urgent writes, so that neither delays the other for long.
    cancellations: VecDeque<PendingWrite>,
    /// Writes that fill the space that the others leave in a batch.
    deferrable: VecDeque<PendingWrite>,
    /// Writes that the store rejected individually, each with the time of its retry.
    rejected: Vec<RejectedWrite>,
    queued: BTreeSet<PendingWrite>,
    /// Limits the rate of deferrable writes.
    deferrable_budget: TokenBucket,
    /// The maximum number of writes in a batch, set after the store rejected a larger one.
    max_batch_writes: Option<usize>,
    /// Whether a batch was over the store's rate limit since the last one was committed.
    rate_limited_since_commit: bool,
    /// No batch is sent before this time.
    paused_until: Micros,
    in_flight: Option<WriteBatch>,
    /// When the batch in flight is resent. Set only if a batch had no response.
    resend_at: Option<Micros>,
}

impl WriteQueue {
    /// The sub-queue for writes of this kind.
    fn sub_queue(&mut self, write: &PendingWrite) -> &mut VecDeque<PendingWrite> {
        match write {
            PendingWrite::JobCancelled(_) => &mut self.cancellations,
            _ if write.is_deferrable() => &mut self.deferrable,
            _ => &mut self.urgent,
        }
    }

    /// Returns whether the write is to be queued. Deletions of task records always are: there may
    /// be thousands of them for each job, and a repeated one has no effect.
    fn mark_queued(&mut self, write: &PendingWrite) -> bool {
        matches!(write, PendingWrite::DeleteTasks { .. }) || self.queued.insert(write.clone())
    }

    /// Queues a write behind the others in its sub-queue, unless it is already queued.
    pub fn push(&mut self, write: PendingWrite) {
        if self.mark_queued(&write) {
            self.sub_queue(&write).push_back(write);
        }
    }

    /// Queues a write before the others in its sub-queue, unless it is already queued.
    pub fn push_front(&mut self, write: PendingWrite) {
        if self.mark_queued(&write) {
            self.sub_queue(&write).push_front(write);
        }
    }

    /// Takes the next write for a batch that already contains `batch_writes` writes,
    /// `batch_cancellations` of which are [`PendingWrite::JobCancelled`].
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

    /// Allows `per_s` deferrable writes per second. The limit keeps a burst of them from
    /// using up the store's write rate, which placements and submissions need.
    pub fn refill_deferrable_budget(&mut self, now: Micros, per_s: f64) {
        self.deferrable_budget.refill(now, per_s, per_s.max(1.0));
    }

    /// Schedules the retry of a write that the store rejected. The write counts as queued
    /// until then, so that it is not mistaken for a stored one.
    pub fn retry_rejected_at(&mut self, retry_at: Micros, write: PendingWrite) {
        self.queued.insert(write.clone());
        self.rejected.push(RejectedWrite { retry_at, write });
    }

    /// Queues the rejected writes whose retry is due.
    pub fn requeue_rejected(&mut self, now: Micros) {
        if !self
            .rejected
            .iter()
            .any(|rejected| now >= rejected.retry_at)
        {
            return;
        }
        for rejected in std::mem::take(&mut self.rejected) {
            if now >= rejected.retry_at {
                self.sub_queue(&rejected.write).push_back(rejected.write);
            } else {
                self.rejected.push(rejected);
            }
        }
    }

    /// Whether there is no write that can be sent now. A batch may still be in flight, and
    /// rejected writes may wait for their retry.
    pub fn has_nothing_to_send(&self) -> bool {
        let nothing_deferrable =
            self.deferrable.is_empty() || self.deferrable_budget.available() < 1.0;
        self.urgent.is_empty() && self.cancellations.is_empty() && nothing_deferrable
    }

    /// The maximum number of writes in the next batch.
    pub fn max_batch_writes(&self) -> usize {
        self.max_batch_writes.unwrap_or(usize::MAX)
    }

    /// Halves the batch size, to not less than one write, after the store rejected a batch of
    /// `rejected_writes` writes.
    pub fn shrink_batches(&mut self, rejected_writes: usize) {
        self.max_batch_writes = Some((rejected_writes / 2).max(1));
    }

    /// Delays the next batch after the store refused one of `refused_writes` writes as over its
    /// rate limit. After the first such refusal since a commit, which may be due to the requests of
    /// others, the batch size is halved each time, so that the writes are not refused for as long
    /// as others use most of the limit.
    pub fn pause_after_rate_limit(&mut self, until: Micros, refused_writes: usize) {
        self.paused_until = until;
        if self.rate_limited_since_commit {
            self.shrink_batches(refused_writes);
        }
        self.rate_limited_since_commit = true;
    }

    /// Whether batches are delayed.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// Doubles a reduced batch size after a batch was committed. Once it reaches `limit`,
    /// the number of writes is no longer restricted.
    pub fn grow_batches(&mut self, limit: usize) {
        self.rate_limited_since_commit = false;
        self.max_batch_writes = self.max_batch_writes.map(|writes| writes * 2);
        self.max_batch_writes.take_if(|writes| *writes >= limit);
    }

    /// The batch in flight.
    pub fn in_flight(&self) -> Option<&WriteBatch> {
        self.in_flight.as_ref()
    }

    /// Sets the batch in flight.
    pub fn set_in_flight(&mut self, batch: WriteBatch) {
        self.in_flight = Some(batch);
    }

    /// Takes the batch in flight, to handle the response to it.
    pub fn take_in_flight(&mut self) -> Option<WriteBatch> {
        self.in_flight.take()
    }

    /// Schedules the resending of a batch that had no response.
    pub fn resend_in_flight_at(&mut self, batch: WriteBatch, at: Micros) {
        self.in_flight = Some(batch);
        self.resend_at = Some(at);
    }

    /// The transaction of the batch in flight, if it is due to be resent.
    pub fn take_due_resend(&mut self, now: Micros) -> Option<Transaction> {
        self.resend_at.take_if(|at| now >= *at)?;
        self.in_flight
            .as_ref()
            .map(|batch| batch.transaction().clone())
    }

    /// Whether a [`PendingWrite::JobCancelled`] of the job is queued or in flight.
    pub fn has_cancellation(&self, job: &Rc<str>) -> bool {
        self.has(&PendingWrite::JobCancelled(job.clone()))
    }

    /// Whether the latest change of these tasks is stored.
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
