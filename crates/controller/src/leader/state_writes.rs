//! The leader's writes to the store, in batches that are fenced by its term, and what
//! follows from their replies.

use super::job::{Job, TaskPlacement};
use super::{Leader, LeaderEvent, RETRY_INTERVAL};
use crate::calls::{CallError, Context};
use crate::continuations::LeaderStep;
use crate::records::{
    self, JobStateRecord, MachineRecord, MachineTypesRecord, RecordedState, TaskRange,
};
use crate::write_queue::{NewPlacement, PendingWrite, WriteBatch, WriteQueue, WriteRate};
use crate::{Config, Micros, SECOND};
use dillcleat_wire::store::{self, StoreRequest, StoreResponse, Transaction};
use std::collections::VecDeque;
use std::rc::Rc;

/// After how long a write that the store refused by itself is tried again.
const REFUSED_WRITE_RETRY_INTERVAL: Micros = 30 * SECOND;
/// Share of the store's writes that deferrable writes may take.
const DEFERRABLE_WRITE_SHARE: f64 = 0.3;
/// Bound of a transaction's size; the rest of the store's limit is for its frame.
const MAX_BATCH_BYTES: usize = store::MAX_TRANSACTION_BYTES * 3 / 4;
/// Changes that have to be left in a batch for one more write to be added.
const CHANGES_PER_WRITE: usize = 3;

/// A read that was not answered and is to be made again.
#[derive(Debug)]
struct DelayedRead {
    at: Micros,
    key: String,
    step: LeaderStep,
}

/// The leader's writes to the store: what is queued, at which rate it may be written, and
/// the reads that settle what became of a write.
///
/// `delayed_reads` is ordered by time, since every read is delayed for the same time.
#[derive(Debug)]
pub(super) struct StateWriter {
    queue: WriteQueue,
    rate: WriteRate,
    delayed_reads: VecDeque<DelayedRead>,
    /// The largest value that the store takes, as far as is known, in bytes: less once it
    /// has refused one.
    max_value_bytes: usize,
}

impl StateWriter {
    pub fn new(config: &Config) -> StateWriter {
        StateWriter {
            queue: WriteQueue::default(),
            rate: WriteRate::new(config.state_write_rps_before),
            delayed_reads: VecDeque::new(),
            max_value_bytes: config.value_bytes_before,
        }
    }

    /// Queues a write, unless it is queued already.
    pub fn enqueue(&mut self, write: PendingWrite) {
        self.queue.push(write);
    }

    /// Queues a write before the others of its kind, unless it is queued already.
    pub fn enqueue_first(&mut self, write: PendingWrite) {
        self.queue.push_front(write);
    }

    /// Whether the latest change of these tasks is in the store.
    pub fn is_stored(&self, job: &Rc<str>, range: TaskRange) -> bool {
        self.queue.is_stored(job, range)
    }

    /// Whether a cancellation of the job that follows from another has yet to be stored.
    pub fn has_cancellation(&self, job: &Rc<str>) -> bool {
        self.queue.has_cancellation(job)
    }

    /// Whether the batch in flight stores this placement.
    pub fn is_storing(&self, placement: &NewPlacement) -> bool {
        let in_flight = self.queue.in_flight();
        in_flight.is_some_and(|batch| batch.placements.contains(placement))
    }

    /// The announced lower limit of a value's size is in force.
    pub fn use_lower_value_limit(&mut self, config: &Config) {
        self.max_value_bytes = config.value_bytes;
    }

    /// Makes a write that the store refused by itself again, much later.
    fn retry_refused(&mut self, now: Micros, write: PendingWrite) {
        self.queue
            .retry_refused_at(now + REFUSED_WRITE_RETRY_INTERVAL, write);
    }

    /// Makes a read that was not answered again after a pause: made at once, it was
    /// refused hundreds of times a second in an outage.
    fn delay_read(&mut self, now: Micros, key: String, step: LeaderStep) {
        let at = now + RETRY_INTERVAL;
        self.delayed_reads.push_back(DelayedRead { at, key, step });
    }

    fn pop_due_read(&mut self, now: Micros) -> Option<DelayedRead> {
        self.delayed_reads.pop_front_if(|read| now >= read.at)
    }
}

/// Sending.
impl Leader {
    /// Sends the next batch, or the unanswered one again, if it may be sent now.
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
        let continuation = self.continuation(LeaderStep::WriteQueue);
        ctx.store_request(StoreRequest::Transaction(transaction), continuation);
    }

    /// Takes queued writes into a batch, as many as the limits allow; None if there are
    /// none.
    fn next_batch(&mut self, ctx: &Context) -> Option<WriteBatch> {
        let now = ctx.now.monotonic;
        self.writer.queue.requeue_refused(now);
        let deferrable_per_s = ctx.config.state_write_rps * DEFERRABLE_WRITE_SHARE;
        self.writer
            .queue
            .refill_deferrable_budget(now, deferrable_per_s);
        if self.writer.queue.is_idle() {
            return None;
        }
        let max_changes = self.writer.rate.available(now).min(ctx.config.txn_ops);
        let max_writes = self.writer.queue.max_batch_writes();
        let mut batch = WriteBatch::new(self.term_version);
        let (mut bytes, mut cancellations) = (0, 0);
        while batch.mutation_count() + CHANGES_PER_WRITE <= max_changes
            && bytes < MAX_BATCH_BYTES
            && batch.writes.len() < max_writes
        {
            let Some(write) = self.writer.queue.pop(batch.writes.len(), cancellations) else {
                break;
            };
            let checkpoint = batch.checkpoint();
            if !self.add_to_batch(&write, &mut batch) {
                continue;
            }
            let sizes = batch.sizes_since(checkpoint);
            if sizes.largest_value_bytes > self.writer.max_value_bytes {
                batch.roll_back(checkpoint);
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

    /// A record no longer fits a value of the store: a chunk is written in parts from now
    /// on; anything else is tried again much later.
    fn handle_oversized_record(&mut self, ctx: &Context, write: PendingWrite) {
        if let PendingWrite::Tasks {
            job: id,
            range: TaskRange::Chunk(chunk),
        } = &write
            && let Some(job) = self.jobs.get_mut(id)
        {
            log::info!("task record too large, splitting it: job={id} chunk={chunk}");
            for range in job.task_ranges.split(*chunk).into_iter().rev() {
                let job = id.clone();
                self.writer
                    .enqueue_first(PendingWrite::Tasks { job, range });
            }
            return;
        }
        log::error!("record too large for the store: {write}");
        self.writer.retry_refused(ctx.now.monotonic, write);
    }

    /// Adds the changes and conditions of a write to a batch. Returns false if there is
    /// nothing to be written any more.
    fn add_to_batch(&self, write: &PendingWrite, batch: &mut WriteBatch) -> bool {
        match write {
            PendingWrite::Tasks { job, range } => self.add_tasks(job, *range, batch),
            PendingWrite::JobDone(id) => self.add_job_done(id, batch),
            PendingWrite::JobCancelled(id) => self.add_job_cancelled(id, batch),
            PendingWrite::ClearJob(id) => {
                batch.delete(records::open_key(id));
                batch.delete(records::cancelled_key(id));
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
        batch.put(key, &job.task_chunk(range));
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
        let job = self.jobs.get(id).filter(|job| job.cancelled.is_none());
        let Some(job) = job else {
            return false;
        };
        batch.compare_job_state(id, job.state_version());
        batch.put(records::job_key(id), &job.state_record(RecordedState::Done));
        batch.delete(records::open_key(id));
        true
    }

    fn add_job_cancelled(&self, id: &str, batch: &mut WriteBatch) -> bool {
        let job = self.jobs.get(id).filter(|job| job.cancelled.is_none());
        let Some(job) = job.filter(|_| self.dependencies.is_blocked(id)) else {
            return false;
        };
        batch.compare_job_state(id, job.state_version());
        // One change only: its description is deleted later.
        batch.put(
            records::job_key(id),
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
        // An earlier try that is carried out late would set it back.
        batch.compare(records::TYPES, self.machine_types.record_version());
        batch.put(records::TYPES, &record);
        true
    }
}

/// Replies.
impl Leader {
    /// Handles the reply to the batch in flight.
    pub(super) fn write_reply(
        &mut self,
        ctx: &mut Context,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Some(mut batch) = self.writer.queue.take_in_flight() else {
            return;
        };
        match reply {
            Ok(StoreResponse::Committed { revision }) => {
                self.batch_committed(ctx, batch, revision);
            }
            Ok(StoreResponse::Conflict { failed, .. }) => {
                self.handle_conflict(ctx, batch, &failed);
            }
            Ok(StoreResponse::Malformed) => self.handle_oversized_batch(ctx, batch),
            Ok(StoreResponse::LeaseExpired) => {
                log::error!(
                    "store reports an expired lease that no batch has: term={}",
                    self.term
                );
                self.events.push(LeaderEvent::TermEnded);
            }
            other => {
                if matches!(other, Ok(StoreResponse::RateLimited)) {
                    // Perhaps by the lower limit, whose start is not announced.
                    self.writer.rate.limit(ctx.config.state_write_rps);
                }
                batch.uncertain |= other.is_err();
                let resend_at = ctx.now.monotonic + RETRY_INTERVAL;
                self.writer.queue.resend_in_flight_at(batch, resend_at);
            }
        }
    }

    /// A condition of the batch did not hold.
    fn handle_conflict(&mut self, ctx: &mut Context, batch: WriteBatch, failed: &[String]) {
        if failed.iter().any(|key| key == records::TERM) {
            self.events.push(LeaderEvent::TermEnded);
            return;
        }
        let own_key = failed.iter().find(|key| key.starts_with(records::TASKS));
        let Some(key) = own_key.filter(|_| batch.uncertain) else {
            return self.batch_rejected(ctx, batch, failed);
        };
        // Only this leader writes chunks: the earlier try was applied. Every key of it
        // has the same version; read one. A user's cancellation may have come after it,
        // and be reported later than what was placed would be launched.
        for id in failed.iter().filter_map(|key| key.strip_prefix("j/")) {
            self.job_state_changed(ctx, &Rc::from(id));
        }
        self.read_outcome(ctx, batch, key.clone());
    }

    /// Reads a key that only this leader writes, to see whether a batch was applied.
    fn read_outcome(&mut self, ctx: &mut Context, batch: WriteBatch, key: String) {
        self.writer.queue.set_in_flight(batch);
        let continuation = self.continuation(LeaderStep::Reread { key: key.clone() });
        ctx.store_request(StoreRequest::Get { key }, continuation);
    }

    /// A batch broke a limit, which may have been lowered a moment ago. It was not
    /// applied; an earlier try of it, which had no answer, may have been. To end the term
    /// for it would only let the next leader meet the same.
    fn handle_oversized_batch(&mut self, ctx: &mut Context, batch: WriteBatch) {
        log::info!(
            "store refused a batch, reducing the batch size: writes={}",
            batch.writes.len()
        );
        match batch.own_key().filter(|_| batch.uncertain) {
            // No copy of it can be applied from now on, so one read settles it.
            Some(key) => self.read_outcome(ctx, batch, key),
            None => self.retry_smaller(ctx, batch),
        }
    }

    /// Handles the reply to [`Self::read_outcome`]: if the key has the version that the
    /// batch compared, no try of the batch was applied.
    pub(super) fn reread_reply(
        &mut self,
        ctx: &mut Context,
        key: String,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Some(batch) = self.writer.queue.take_in_flight() else {
            return;
        };
        let version_before = batch.compared_version(&key);
        match reply {
            Ok(StoreResponse::Found(row)) if row.version == version_before => {
                self.retry_smaller(ctx, batch);
            }
            Ok(StoreResponse::NotFound { .. }) if version_before == 0 => {
                self.retry_smaller(ctx, batch);
            }
            Ok(StoreResponse::Found(row)) => self.batch_committed(ctx, batch, row.version),
            _ => {
                self.writer.queue.set_in_flight(batch);
                let step = LeaderStep::Reread { key: key.clone() };
                self.writer.delay_read(ctx.now.monotonic, key, step);
            }
        }
    }

    /// Makes the delayed reads that are due.
    pub(super) fn send_due_rereads(&mut self, ctx: &mut Context) {
        while let Some(read) = self.writer.pop_due_read(ctx.now.monotonic) {
            let continuation = self.continuation(read.step);
            ctx.store_request(StoreRequest::Get { key: read.key }, continuation);
        }
    }

    /// Nothing of the batch was applied, for its size.
    fn retry_smaller(&mut self, ctx: &mut Context, batch: WriteBatch) {
        if self.writer.max_value_bytes > ctx.config.value_bytes {
            // The limits that were announced are in force: larger values are written
            // in parts.
            log::info!(
                "value limit lowered: value_bytes={}",
                ctx.config.value_bytes
            );
            self.writer.use_lower_value_limit(ctx.config);
        } else if batch.writes.len() > 1 {
            self.writer.queue.shrink_batches(batch.writes.len());
        } else if let Some(write) = batch.writes.first() {
            // By itself it is refused: the same bytes again would be as well.
            let is_chunk = matches!(
                write,
                PendingWrite::Tasks {
                    range: TaskRange::Chunk(_),
                    ..
                }
            );
            if is_chunk {
                self.handle_oversized_record(ctx, write.clone());
            } else {
                log::error!("store refused a write: {write}");
                self.writer.retry_refused(ctx.now.monotonic, write.clone());
            }
            return self.send_writes(ctx);
        }
        self.requeue_batch(batch);
        self.send_writes(ctx);
    }

    /// Queues the writes of a batch that was not applied again.
    fn requeue_batch(&mut self, batch: WriteBatch) {
        for placement in &batch.placements {
            let id = &placement.task.0;
            if self.jobs.get(id).is_some_and(|job| job.cancelled.is_some()) {
                self.revert_unstored_placement(&placement.task);
                if self.jobs.get(id).is_some_and(|job| job.stopped) {
                    self.clear_if_empty(id);
                }
            }
        }
        for write in batch.writes.into_iter().rev() {
            self.writer.enqueue_first(write);
        }
    }

    /// Some job's state record has changed: it was cancelled, or its end is stored.
    /// Nothing of the batch was applied, and it never can be.
    fn batch_rejected(&mut self, ctx: &mut Context, mut batch: WriteBatch, failed: &[String]) {
        for key in failed {
            if let Some(id) = key.strip_prefix("j/") {
                self.job_state_changed(ctx, &Rc::from(id));
            } else if key == records::TYPES {
                // Written by an earlier try, or by the leader before, later than this one
                // has read.
                batch
                    .writes
                    .retain(|write| *write != PendingWrite::MachineTypes);
                let continuation = self.continuation(LeaderStep::TypesVersion);
                ctx.store_request(StoreRequest::Get { key: key.clone() }, continuation);
            } else {
                log::error!(
                    "key written by another leader: key={key} term={}",
                    self.term
                );
                self.events.push(LeaderEvent::TermEnded);
            }
        }
        self.requeue_batch(batch);
        self.send_writes(ctx);
    }

    /// Handles the version of the machine types' record, with which they are written
    /// again.
    pub(super) fn machine_types_reply(
        &mut self,
        ctx: &Context,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Found(row)) => {
                self.machine_types.set_record_version(row.version);
                self.writer.enqueue(PendingWrite::MachineTypes);
            }
            _ => {
                let key = records::TYPES.to_string();
                self.writer
                    .delay_read(ctx.now.monotonic, key, LeaderStep::TypesVersion);
            }
        }
    }

    /// A job's state record has changed, be it by its cancellation or by an earlier try of
    /// this leader's: nothing of the job is to run, whichever it was.
    fn job_state_changed(&mut self, ctx: &mut Context, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id) {
            log::info!("job state record changed, reading it: job={id}");
            // No placement of it is written from now on. When it was confirmed is not
            // known. Until its row is read answers end with the last read, which is
            // older, and then the row says when.
            job.cancelled.get_or_insert(ctx.now.monotonic);
            job.ending = false;
            self.mark_tasks_cancelled(id);
        }
        let continuation = self.continuation(LeaderStep::Ended { id: id.clone() });
        let key = records::job_key(id);
        ctx.store_request(StoreRequest::Get { key }, continuation);
    }

    /// Handles the state record of a job whose end came from elsewhere, or from an earlier
    /// try of the batch that ended it.
    pub(super) fn job_state_reply(
        &mut self,
        ctx: &mut Context,
        id: Rc<str>,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Ok(StoreResponse::Found(row)) = reply else {
            let key = records::job_key(&id);
            let step = LeaderStep::Ended { id };
            return self.writer.delay_read(ctx.now.monotonic, key, step);
        };
        let record = row.decode_value::<JobStateRecord>();
        match record.map(|record| (record.state, record)) {
            Some((RecordedState::Done, record)) => self.job_done(ctx, &id, record),
            Some((RecordedState::Cancelled, _)) => {
                if self.jobs.get(&id).is_some_and(|job| !job.stopped) {
                    self.cancel_job(ctx, &id);
                }
            }
            Some((RecordedState::Open, _)) => {
                log::error!("unexpected job state record: job={id} state=open");
                self.events.push(LeaderEvent::TermEnded);
            }
            None => {
                log::error!("unreadable job state record: job={id}");
                self.events.push(LeaderEvent::TermEnded);
            }
        }
    }

    /// That a job is done is in the store.
    fn job_done(&mut self, ctx: &Context, id: &Rc<str>, record: JobStateRecord) {
        log::info!("job done: job={id}");
        self.forget_job(ctx, id);
        self.dependency_done(ctx, id);
        self.events
            .push(LeaderEvent::JobEnded(id.to_string(), record));
    }

    /// A batch is in the store: does what waited for it.
    fn batch_committed(&mut self, ctx: &mut Context, batch: WriteBatch, revision: u64) {
        self.writer.queue.grow_batches(ctx.config.txn_ops);
        for write in &batch.writes {
            self.write_committed(ctx, write, revision);
        }
        for placement in batch.placements {
            self.placement_committed(&placement);
        }
        self.send_writes(ctx);
        self.send_commands(ctx);
    }

    fn write_committed(&mut self, ctx: &Context, write: &PendingWrite, revision: u64) {
        match write {
            PendingWrite::Tasks { job: id, range } => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.task_ranges.set_version(*range, revision);
                }
            }
            PendingWrite::JobDone(id) => {
                let task_count = self.jobs.get(id).map_or(0, |job| job.spec.tasks);
                let record = JobStateRecord {
                    state: RecordedState::Done,
                    task_count,
                };
                self.job_done(ctx, id, record);
            }
            PendingWrite::JobCancelled(id) => self.dependent_cancelled(ctx, id),
            PendingWrite::ClearJob(id) => self.forget_job(ctx, id),
            PendingWrite::MachineTypes => self.machine_types.record_written(revision),
            PendingWrite::Machine(_) | PendingWrite::DeleteKey(_) => {}
        }
    }

    /// A placement is in the store: the task may be launched, unless it was cancelled
    /// meanwhile.
    fn placement_committed(&mut self, placement: &NewPlacement) {
        let NewPlacement { task: key, attempt } = placement;
        let Some(machine) = self.mark_placement_stored(placement) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&machine) else {
            return;
        };
        let Some(slot) = machine.slots.get_mut(key) else {
            return;
        };
        slot.stored = true;
        machine.needs_command = true;
        self.command_dispatch.urgent(machine.name.clone());
        // Of a cancelled job nothing was launched: it is not there.
        if slot.cancelled {
            machine.slots.remove(key);
            self.return_to_waiting(key, *attempt);
        }
    }

    /// Marks the task's current placement as stored, if it is this one. Returns the
    /// machine.
    fn mark_placement_stored(&mut self, placement: &NewPlacement) -> Option<Rc<str>> {
        let (id, index) = &placement.task;
        let job: &mut Job = self.jobs.get_mut(id)?;
        let task = &mut job.tasks[*index as usize];
        match &mut task.state {
            TaskPlacement::Placed {
                machine, stored, ..
            } if task.attempt == placement.attempt => {
                *stored = true;
                Some(machine.clone())
            }
            _ => None,
        }
    }
}
