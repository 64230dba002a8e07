//! Replies to the leader's writes, and what follows from them.

use super::{Leader, LeaderEvent};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::records::{self, JobStateRecord, RecordedState, TaskRange};
use crate::write_queue::{NewPlacement, PendingWrite, WriteBatch};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use std::rc::Rc;

impl Leader {
    /// Handles the reply to the batch in flight.
    pub(super) fn write_reply(
        &mut self,
        ctx: &mut Context,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Some(mut batch) = self.writer.take_in_flight() else {
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
                    "store reports an expired lease that no batch has term={}",
                    self.term
                );
                self.events.push(LeaderEvent::TermEnded);
            }
            other => {
                if matches!(other, Ok(StoreResponse::RateLimited)) {
                    // Perhaps by the lower limit, whose start is not announced.
                    self.writer.limit_rate(ctx.config.state_write_rps);
                }
                batch.uncertain |= other.is_err();
                self.writer.resend_later(ctx.now.monotonic, batch);
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
        for id in failed.iter().filter_map(|key| records::parse_job_key(key)) {
            self.job_state_changed(ctx, &Rc::from(id));
        }
        self.read_outcome(ctx, batch, key.clone());
    }

    /// Reads a key that only this leader writes, to see whether a batch was applied.
    fn read_outcome(&mut self, ctx: &mut Context, batch: WriteBatch, key: String) {
        self.writer.set_in_flight(batch);
        let continuation = self.continuation(LeaderStep::Reread { key: key.clone() });
        ctx.store_request(StoreRequest::Get { key }, continuation);
    }

    /// A batch broke a limit, which may have been lowered a moment ago. It was not
    /// applied; an earlier try of it, which had no answer, may have been. To end the term
    /// for it would only let the next leader meet the same.
    fn handle_oversized_batch(&mut self, ctx: &mut Context, batch: WriteBatch) {
        log::info!(
            "store refused a batch, reducing the batch size writes={}",
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
        let Some(batch) = self.writer.take_in_flight() else {
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
                self.writer.set_in_flight(batch);
                let step = LeaderStep::Reread { key: key.clone() };
                self.writer.delay_read(ctx.now.monotonic, key, step);
            }
        }
    }

    /// Nothing of the batch was applied, for its size.
    fn retry_smaller(&mut self, ctx: &mut Context, batch: WriteBatch) {
        if self.writer.max_value_bytes() > ctx.config.value_bytes {
            // The limits that were announced are in force: larger values are written
            // in parts.
            log::info!("value limit lowered value_bytes={}", ctx.config.value_bytes);
            self.writer.use_lower_value_limit(ctx.config);
        } else if batch.writes.len() > 1 {
            self.writer.shrink_batches(batch.writes.len());
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
            if self
                .jobs
                .get(id)
                .is_some_and(|job| job.cancelled_at.is_some())
            {
                self.revert_unstored_placement(&placement.task);
                if self
                    .jobs
                    .get(id)
                    .is_some_and(|job| job.cancellation_confirmed)
                {
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
            if let Some(id) = records::parse_job_key(key) {
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
                log::error!("key written by another leader key={key} term={}", self.term);
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
            log::info!("job state record changed, reading it job={id}");
            // No placement of it is written from now on. When it was confirmed is not
            // known. Until its row is read answers end with the last read, which is
            // older, and then the row says when.
            job.cancelled_at.get_or_insert(ctx.now.monotonic);
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
                if self
                    .jobs
                    .get(&id)
                    .is_some_and(|job| !job.cancellation_confirmed)
                {
                    self.cancel_job(ctx, &id);
                }
            }
            Some((RecordedState::Open, _)) => {
                log::error!("unexpected job state record job={id} state=open");
                self.events.push(LeaderEvent::TermEnded);
            }
            None => {
                log::error!("unreadable job state record job={id}");
                self.events.push(LeaderEvent::TermEnded);
            }
        }
    }

    /// That a job is done is in the store.
    fn job_done(&mut self, ctx: &Context, id: &Rc<str>, record: JobStateRecord) {
        log::info!("job done job={id}");
        self.forget_job(ctx, id);
        self.dependency_done(ctx, id);
        self.events
            .push(LeaderEvent::JobEnded(id.to_string(), record));
    }

    /// A batch is in the store: does what waited for it.
    fn batch_committed(&mut self, ctx: &mut Context, batch: WriteBatch, revision: u64) {
        self.writer.grow_batches(ctx.config.txn_ops);
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
        let (id, index) = key;
        let job = self.jobs.get_mut(id);
        let machine = job.and_then(|job| job.confirm_placement(*index, *attempt));
        let Some(machine) = machine else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&machine) else {
            return;
        };
        let Some(slot) = machine.slots.get_mut(key) else {
            return;
        };
        slot.stored = true;
        machine.command_state.request();
        self.command_dispatch.enqueue_urgent(machine.name.clone());
        // Of a cancelled job nothing was launched: it is not there.
        if slot.cancelled {
            machine.slots.remove(key);
            self.return_to_waiting(key, *attempt);
        }
    }
}
