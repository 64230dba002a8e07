//! Batched writes of the leader, fenced by its term.
//!
//! One transaction is in flight at a time. It compares the term, the version of every
//! chunk that it sets (so a copy of it that is applied late fails), and the state record
//! of every job that it places tasks of or ends (so a cancellation elsewhere wins).
//! Records are made from memory when the batch is sent; what depends on them is done once
//! the batch is acknowledged.

use crate::Micros;
use crate::machines::TaskKey;
use crate::records::{self, TaskRange};
use crate::token_bucket::TokenBucket;
use dillcleat_wire::store::{self, Mutation, Transaction};
use serde::Serialize;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// A change of the store that is queued. What exactly is written is worked out when its
/// batch is made.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// The record of some tasks of a job.
    Tasks { job: Rc<str>, range: TaskRange },
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

/// A placement that a batch stores.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewPlacement {
    pub task: TaskKey,
    pub attempt: u64,
}

/// How long each list of a batch was, to remove what was added since.
#[derive(Debug, Clone, Copy)]
pub struct BatchCheckpoint {
    mutations: usize,
    preconditions: usize,
    placements: usize,
}

/// How large some mutations of a batch are, in bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct MutationSizes {
    pub largest_value_bytes: usize,
    /// All keys and values, with what the transaction needs around them.
    pub total_bytes: usize,
}

/// A transaction with what is in it.
#[derive(Debug, Clone)]
pub struct WriteBatch {
    transaction: Transaction,
    /// The writes that it carries out.
    pub writes: Vec<PendingWrite>,
    /// The placements that are stored with it.
    pub placements: Vec<NewPlacement>,
    /// An earlier try had no answer, so it may have been applied.
    pub uncertain: bool,
}

impl WriteBatch {
    /// What a mutation takes in a transaction besides its key and value, in bytes.
    const MUTATION_OVERHEAD_BYTES: usize = 64;

    /// An empty batch, which is fenced by the version of the term's record.
    pub fn new(term_version: u64) -> WriteBatch {
        WriteBatch {
            transaction: Transaction::default().compare(records::TERM, term_version),
            writes: Vec::new(),
            placements: Vec::new(),
            uncertain: false,
        }
    }

    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// How many keys it changes.
    pub fn mutation_count(&self) -> usize {
        self.transaction.then.len()
    }

    /// Requires that a key has a version as it is applied.
    pub fn compare(&mut self, key: impl Into<String>, version: u64) {
        self.edit(|transaction| transaction.compare(key, version));
    }

    /// Requires that a job's state record has a version. Once for each job.
    pub fn compare_job_state(&mut self, job: &str, version: u64) {
        let key = records::job_key(job);
        if !self.transaction.compare.iter().any(|c| c.key == key) {
            self.compare(key, version);
        }
    }

    /// Sets a key.
    pub fn put<T: Serialize>(&mut self, key: impl Into<String>, record: &T) {
        self.edit(|transaction| transaction.put(key, record));
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: impl Into<String>) {
        self.edit(|transaction| transaction.delete(key));
    }

    fn edit(&mut self, change: impl FnOnce(Transaction) -> Transaction) {
        self.transaction = change(std::mem::take(&mut self.transaction));
    }

    /// How much is in it now.
    pub fn checkpoint(&self) -> BatchCheckpoint {
        BatchCheckpoint {
            mutations: self.transaction.then.len(),
            preconditions: self.transaction.compare.len(),
            placements: self.placements.len(),
        }
    }

    /// Removes what was added since.
    pub fn roll_back(&mut self, checkpoint: BatchCheckpoint) {
        self.transaction.then.truncate(checkpoint.mutations);
        self.transaction.compare.truncate(checkpoint.preconditions);
        self.placements.truncate(checkpoint.placements);
    }

    /// The sizes of the mutations that were added since.
    pub fn sizes_since(&self, checkpoint: BatchCheckpoint) -> MutationSizes {
        let mut sizes = MutationSizes::default();
        for mutation in &self.transaction.then[checkpoint.mutations..] {
            sizes.total_bytes += Self::MUTATION_OVERHEAD_BYTES;
            if let Mutation::Put { key, value, .. } = mutation {
                let value_bytes = store::json_size(value);
                sizes.total_bytes += key.len() + value_bytes;
                sizes.largest_value_bytes = sizes.largest_value_bytes.max(value_bytes);
            }
        }
        sizes
    }

    /// A key that it compares and that only its leader writes, if there is one.
    pub fn own_key(&self) -> Option<String> {
        let mut keys = self.transaction.compare.iter().map(|c| &c.key);
        keys.find(|key| key.starts_with(records::TASKS)).cloned()
    }

    /// The version that a key had when the batch was made.
    pub fn compared_version(&self, key: &str) -> u64 {
        let mut preconditions = self.transaction.compare.iter();
        let of_key = preconditions.find(|c| c.key == key);
        of_key.map_or(0, |c| c.version)
    }
}

/// How many keys a leader changes in a second: as many as the store takes, less what
/// users' submissions need. A leader that was bounded by refusals alone took all that
/// there was, and what was refused were submissions.
#[derive(Debug)]
pub struct WriteRate {
    per_s: f64,
    bucket: TokenBucket,
}

impl WriteRate {
    /// The leader's share of the changes that the store takes.
    const LEADER_SHARE: f64 = 0.85;
    /// For how long unused changes are saved up, in seconds.
    const BURST_S: f64 = 0.6;
    /// The least number of changes that can be saved up.
    const MIN_BURST: f64 = 4.0;

    /// For a store that takes `store_rps` changes a second.
    pub fn new(store_rps: f64) -> WriteRate {
        WriteRate {
            per_s: store_rps * WriteRate::LEADER_SHARE,
            bucket: TokenBucket::default(),
        }
    }

    /// The store takes at most `store_rps` changes a second from now on.
    pub fn limit(&mut self, store_rps: f64) {
        self.per_s = self.per_s.min(store_rps * WriteRate::LEADER_SHARE);
    }

    /// How many changes may be made now.
    pub fn available(&mut self, now: Micros) -> usize {
        let capacity = (self.per_s * WriteRate::BURST_S).max(WriteRate::MIN_BURST);
        self.bucket.refill(now, self.per_s, capacity) as usize
    }

    /// So many changes are made.
    pub fn take(&mut self, changes: usize) {
        self.bucket.take(changes as f64);
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
    fn lane(&mut self, write: &PendingWrite) -> &mut VecDeque<PendingWrite> {
        match write {
            PendingWrite::JobCancelled(_) => &mut self.cancellations,
            _ if write.is_deferrable() => &mut self.deferrable,
            _ => &mut self.urgent,
        }
    }

    /// Queues a write behind the others of its kind, unless it is queued already.
    pub fn push(&mut self, write: PendingWrite) {
        if self.queued.insert(write.clone()) {
            self.lane(&write).push_back(write);
        }
    }

    /// Queues a write before the others of its kind, unless it is queued already.
    pub fn push_front(&mut self, write: PendingWrite) {
        if self.queued.insert(write.clone()) {
            self.lane(&write).push_front(write);
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
                self.lane(&refused.write).push_back(refused.write);
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
            .map(|batch| batch.transaction.clone())
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
