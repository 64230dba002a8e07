//! The leader's writes to the store, sent in batches that are fenced by its term.

use super::{Leader, RETRY_INTERVAL};
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::records::{self, MachineRecord, MachineTypesRecord, RecordedState, TaskRange};
use crate::write_queue::{NewPlacement, PendingWrite, WriteBatch, WriteQueue, WriteRate};
use crate::{Config, Micros, SECOND};
use dillcleat_wire::store::{self, StoreRequest, Transaction};
use std::collections::VecDeque;
use std::rc::Rc;

/// Delay before a write that the store rejected in a batch of its own is retried.
const REJECTED_WRITE_RETRY_INTERVAL: Micros = 30 * SECOND;
/// The share of the store's write rate for deferrable writes, such as deletions of records of
/// ended jobs.
const DEFERRABLE_WRITE_SHARE: f64 = 0.3;
/// The size above which no further write is added to a batch. The rest of the store's limit
/// is for the last write and the encoding of the transaction.
const MAX_BATCH_BYTES: usize = store::MAX_TRANSACTION_BYTES * 3 / 4;
/// Upper bound of the mutations of one write. A write is added to a batch only if this many
/// are left.
const MAX_MUTATIONS_PER_WRITE: usize = 3;

/// A read that was not answered and is to be retried.
#[derive(Debug)]
struct PendingRead {
    at: Micros,
    key: String,
    step: LeaderStep,
}

/// The leader's writes to the store: the queue, the rate limit, and delayed reads that find
/// out whether a write was applied.
///
/// `pending_reads` is ordered by time, since all reads are delayed by the same interval.
#[derive(Debug)]
pub(super) struct StateWriter {
    queue: WriteQueue,
    rate: WriteRate,
    pending_reads: VecDeque<PendingRead>,
    /// The maximum size of a value, in bytes, that the store is assumed to accept. It is
    /// lowered once the announced lower limit is found to be in effect.
    max_value_bytes: usize,
}

impl StateWriter {
    pub fn new(config: &Config) -> StateWriter {
        StateWriter {
            queue: WriteQueue::default(),
            rate: WriteRate::new(config),
            pending_reads: VecDeque::new(),
            max_value_bytes: config.current_max_value_bytes,
        }
    }

    /// Queues a write, unless it is already queued.
    pub fn enqueue(&mut self, write: PendingWrite) {
        self.queue.push(write);
    }

    /// Queues a write before the others of its kind, unless it is already queued.
    pub fn enqueue_first(&mut self, write: PendingWrite) {
        self.queue.push_front(write);
    }

    /// Whether the latest state of these tasks is stored.
    pub fn is_stored(&self, job: &Rc<str>, range: TaskRange) -> bool {
        self.queue.is_stored(job, range)
    }

    /// Whether the cancellation of the job with its dependency has yet to be stored.
    pub fn has_cancellation(&self, job: &Rc<str>) -> bool {
        self.queue.has_cancellation(job)
    }

    /// Whether the batch in flight contains this placement.
    pub fn is_storing(&self, placement: &NewPlacement) -> bool {
        let in_flight = self.queue.in_flight();
        in_flight.is_some_and(|batch| batch.placements.contains(placement))
    }

    /// Sets the maximum value size to the announced lower limit.
    pub fn use_lower_value_limit(&mut self, config: &Config) {
        self.max_value_bytes = config.max_value_bytes;
    }

    /// The maximum size of a value, in bytes, that the store is assumed to accept.
    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// Lowers the rate of writes to the announced lower limit.
    pub fn use_lower_rate(&mut self, config: &Config) {
        self.rate.lower_limit(config.store_write_rps);
    }

    /// Handles the refusal of a batch that was never applied as over the store's rate limit: its
    /// writes may be sent again after a pause, in smaller batches if this happens repeatedly.
    pub fn batch_rate_limited(&mut self, now: Micros, batch: &WriteBatch) {
        self.rate.put_back(batch.mutation_count());
        self.queue
            .pause_after_rate_limit(now + RETRY_INTERVAL, batch.writes.len());
    }

    /// Reduces the batch size after a batch of `rejected_writes` writes was too large.
    pub fn shrink_batches(&mut self, rejected_writes: usize) {
        self.queue.shrink_batches(rejected_writes);
    }

    /// Increases the batch size after a batch was committed. From `limit` on, the number of
    /// writes is no longer bounded.
    pub fn grow_batches(&mut self, limit: usize) {
        self.queue.grow_batches(limit);
    }

    /// Takes the batch in flight, to handle a reply to it.
    pub fn take_in_flight(&mut self) -> Option<WriteBatch> {
        self.queue.take_in_flight()
    }

    /// Sets the batch that is in flight or whose outcome is being read.
    pub fn set_in_flight(&mut self, batch: WriteBatch) {
        self.queue.set_in_flight(batch);
    }

    /// Schedules the resending of a batch that was not answered.
    pub fn resend_later(&mut self, now: Micros, batch: WriteBatch) {
        self.queue.resend_in_flight_at(batch, now + RETRY_INTERVAL);
    }

    /// Schedules the retry of a write that the store rejected in a batch of its own.
    pub fn retry_rejected(&mut self, now: Micros, write: PendingWrite) {
        self.queue
            .retry_rejected_at(now + REJECTED_WRITE_RETRY_INTERVAL, write);
    }

    /// Schedules the retry of a read that was not answered. The delay limits the number of
    /// requests during an outage.
    pub fn delay_read(&mut self, now: Micros, key: String, step: LeaderStep) {
        let at = now + RETRY_INTERVAL;
        self.pending_reads.push_back(PendingRead { at, key, step });
    }

    fn pop_due_read(&mut self, now: Micros) -> Option<PendingRead> {
        self.pending_reads.pop_front_if(|read| now >= read.at)
    }
}

impl Leader {
    /// Sends the next batch, or resends the unanswered one, if it is due.
    pub(super) fn send_writes(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if self.writer.queue.in_flight().is_some() {
            if let Some(transaction) = self.writer.queue.take_due_resend(now) {
                self.send_transaction(ctx, transaction);
            }
            return;
        }
        let Some(batch) = self.next_batch(ctx) else {
            return;
        };
        let transaction = batch.transaction().clone();
        self.writer.queue.set_in_flight(batch);
        self.send_transaction(ctx, transaction);
    }

    fn send_transaction(&self, ctx: &mut Context, transaction: Transaction) {
        let continuation = self.continuation(LeaderStep::WriteBatch);
        ctx.store_request(StoreRequest::Transaction(transaction), continuation);
    }

    /// Builds a batch from as many queued writes as the limits allow; `None` if there are
    /// none.
    fn next_batch(&mut self, ctx: &Context) -> Option<WriteBatch> {
        let now = ctx.now.monotonic;
        if self.writer.queue.is_paused(now) {
            return None;
        }
        self.writer.queue.requeue_rejected(now);
        let deferrable_per_s = ctx.config.store_write_rps * DEFERRABLE_WRITE_SHARE;
        self.writer
            .queue
            .refill_deferrable_budget(now, deferrable_per_s);
        if self.writer.queue.has_nothing_to_send() {
            return None;
        }
        let max_mutations = self.writer.rate.available(now).min(ctx.config.max_txn_ops);
        let max_writes = self.writer.queue.max_batch_writes();
        let mut batch = WriteBatch::new(self.term_version);
        let (mut bytes, mut cancellations) = (0, 0);
        while batch.mutation_count() + MAX_MUTATIONS_PER_WRITE <= max_mutations
            && bytes < MAX_BATCH_BYTES
            && batch.writes.len() < max_writes
        {
            let Some(write) = self.writer.queue.pop(batch.writes.len(), cancellations) else {
                break;
            };
            let savepoint = batch.savepoint();
            if !self.add_to_batch(&write, &mut batch) {
                continue;
            }
            let sizes = batch.sizes_since(savepoint);
            if sizes.largest_value_bytes > self.writer.max_value_bytes {
                batch.roll_back(savepoint);
                self.handle_oversized_record(ctx, write);
                continue;
            }
            bytes += sizes.total_bytes;
            cancellations += usize::from(matches!(write, PendingWrite::JobCancelled(_)));
            batch.writes.push(write);
        }
        if batch.writes.is_empty() {
            return None;
        }
        self.writer.rate.take(batch.mutation_count());
        Some(batch)
    }

    /// Handles a record that exceeds the store's value limit. A chunk is split into parts;
    /// any other write is retried later.
    pub(super) fn handle_oversized_record(&mut self, ctx: &Context, write: PendingWrite) {
        if let PendingWrite::Tasks {
            job: id,
            range: TaskRange::Chunk(chunk),
        } = &write
            && let Some(job) = self.jobs.get_mut(id)
        {
            log::info!("task record too large, splitting it job={id} chunk={chunk}");
            for range in job.task_ranges.split(*chunk).into_iter().rev() {
                let job = id.clone();
                self.writer
                    .enqueue_first(PendingWrite::Tasks { job, range });
            }
            return;
        }
        log::error!("record too large for the store, retrying the write later {write}");
        self.writer.retry_rejected(ctx.now.monotonic, write);
    }

    /// Adds the mutations and preconditions of a write to a batch. Returns false if the write has
    /// become unnecessary.
    fn add_to_batch(&self, write: &PendingWrite, batch: &mut WriteBatch) -> bool {
        match write {
            PendingWrite::Tasks { job, range } => self.add_tasks(job, *range, batch),
            PendingWrite::JobDone(id) => self.add_job_done(id, batch),
            PendingWrite::JobCancelled(id) => self.add_job_cancelled(id, batch),
            PendingWrite::DeleteJobRecords(id) => {
                batch.delete(records::open_job_key(id));
                batch.delete(records::cancelled_job_key(id));
                true
            }
            PendingWrite::DeleteTasks { job, range } => {
                batch.delete(records::tasks_key(job, *range));
                true
            }
            PendingWrite::Machine(name) => self.add_machine(name, batch),
            PendingWrite::DeleteKey(key) => {
                batch.delete(key.clone());
                true
            }
            PendingWrite::MachineTypes => self.add_machine_types(batch),
        }
    }

    fn add_tasks(&self, id: &Rc<str>, range: TaskRange, batch: &mut WriteBatch) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| job.may_write(range)) else {
            return false;
        };
        let key = records::tasks_key(id, range);
        batch.compare(key.clone(), job.task_ranges.version(range));
        batch.put(key, &job.task_record(range));
        let placements_before = batch.placements.len();
        let unstored = job.unstored_placements(range);
        batch
            .placements
            .extend(unstored.map(|(index, attempt)| NewPlacement {
                task: (id.clone(), index),
                attempt,
            }));
        if batch.placements.len() > placements_before {
            batch.compare_job_state(id, job.state_version());
        }
        true
    }

    fn add_job_done(&self, id: &str, batch: &mut WriteBatch) -> bool {
        let job = self.jobs.get(id).filter(|job| job.cancelled_at.is_none());
        let Some(job) = job else {
            return false;
        };
        batch.compare_job_state(id, job.state_version());
        batch.put(
            records::job_state_key(id),
            &job.state_record(RecordedState::Done),
        );
        batch.delete(records::open_job_key(id));
        true
    }

    fn add_job_cancelled(&self, id: &str, batch: &mut WriteBatch) -> bool {
        let job = self.jobs.get(id).filter(|job| job.cancelled_at.is_none());
        let Some(job) = job.filter(|_| self.dependencies.is_blocked(id)) else {
            return false;
        };
        batch.compare_job_state(id, job.state_version());
        // The description is deleted by a later write.
        batch.put(
            records::job_state_key(id),
            &job.state_record(RecordedState::Cancelled),
        );
        true
    }

    fn add_machine(&self, name: &str, batch: &mut WriteBatch) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let Some(addr) = machine.addr.clone() else {
            return false;
        };
        let record = MachineRecord {
            addr,
            machine_type: machine.machine_type.to_string(),
            zone: machine.zone.to_string(),
            spot: machine.spot,
        };
        batch.put(records::machine_key(name), &record);
        true
    }

    fn add_machine_types(&self, batch: &mut WriteBatch) -> bool {
        let Some(types) = self.machine_types.types() else {
            return false;
        };
        let record = MachineTypesRecord {
            types: types.clone(),
        };
        // Without the condition, a delayed earlier attempt could overwrite a newer record.
        batch.compare(
            records::MACHINE_TYPES_KEY,
            self.machine_types.record_version(),
        );
        batch.put(records::MACHINE_TYPES_KEY, &record);
        true
    }

    /// Sends the delayed reads that are due.
    pub(super) fn send_due_reads(&mut self, ctx: &mut Context) {
        while let Some(read) = self.writer.pop_due_read(ctx.now.monotonic) {
            let continuation = self.continuation(read.step);
            ctx.store_request(StoreRequest::Get { key: read.key }, continuation);
        }
    }
}
