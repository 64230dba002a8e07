//! Handling of the replies to the leader's writes.

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
                    "store reports an expired lease for a batch without a lease term={}",
                    self.term
                );
                self.events.push(LeaderEvent::StepDown);
            }
            Ok(StoreResponse::RateLimited) => self.handle_rate_limited_batch(ctx, batch),
            other => {
                batch.outcome_unknown |= other.is_err();
                self.writer.resend_later(ctx.now.monotonic, batch);
            }
        }
    }

    /// Handles a batch that was rejected because some of its conditions did not hold.
    fn handle_conflict(&mut self, ctx: &mut Context, batch: WriteBatch, failed: &[String]) {
        if failed.iter().any(|key| key == records::TERM_KEY) {
            self.events.push(LeaderEvent::StepDown);
            return;
        }
        let task_key = failed
            .iter()
            .find(|key| key.starts_with(records::TASKS_PREFIX));
        let Some(key) = task_key.filter(|_| batch.outcome_unknown) else {
            return self.batch_rejected(ctx, batch, failed);
        };
        // Only this leader writes task records, so an earlier attempt of the batch was
        // applied. All keys in it have the same version, so reading one is enough. A job may
        // have been cancelled since; the tasks of such a job must not be launched.
        for id in failed
            .iter()
            .filter_map(|key| records::parse_job_state_key(key))
        {
            self.job_state_changed(ctx, &Rc::from(id));
        }
        self.request_outcome(ctx, batch, key.clone());
    }

    /// Reads a key that only this leader writes, to find out whether a batch was applied.
    fn request_outcome(&mut self, ctx: &mut Context, batch: WriteBatch, key: String) {
        self.writer.set_in_flight(batch);
        let continuation = self.continuation(LeaderStep::ReadOutcome { key: key.clone() });
        ctx.store_request(StoreRequest::Get { key }, continuation);
    }

    /// Handles a batch that exceeds a limit of the store, which may have been lowered. The
    /// batch was not applied, but an earlier attempt without a reply may have been.
    ///
    /// Ending the term would not help: the next leader would have the same problem.
    fn handle_oversized_batch(&mut self, ctx: &mut Context, batch: WriteBatch) {
        log::info!(
            "store rejected an oversized batch, reducing the batch size writes={}",
            batch.writes.len()
        );
        match batch.leader_owned_key().filter(|_| batch.outcome_unknown) {
            // The store now rejects the batch because of its size, so a delayed attempt can't
            // be applied later: one read is conclusive.
            Some(key) => self.request_outcome(ctx, batch, key),
            None => self.retry_smaller(ctx, batch),
        }
    }

    /// Handles a batch that exceeded the store's rate limit, which may have been lowered.
    ///
    /// If an earlier attempt had no response, it may still be applied later, unlike after a
    /// rejection for the size. The batch then stays as it is: another batch with the same records
    /// could conflict with the late one. It complies with the lower limit from the start
    /// ([`WriteRate`](crate::write_queue::WriteRate)).
    fn handle_rate_limited_batch(&mut self, ctx: &mut Context, batch: WriteBatch) {
        let now = ctx.now.monotonic;
        self.writer.use_lower_rate(ctx.config);
        if batch.outcome_unknown {
            return self.writer.resend_later(now, batch);
        }
        self.writer.batch_rate_limited(now, &batch);
        self.requeue_batch(batch);
    }

    /// Handles the reply to [`Self::request_outcome`]. If the key still has the version that the
    /// batch compared, no attempt of the batch was applied.
    pub(super) fn outcome_reply(
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
                let step = LeaderStep::ReadOutcome { key: key.clone() };
                self.writer.delay_read(ctx.now.monotonic, key, step);
            }
        }
    }

    /// Reduces the size of a batch that was not applied because it was too large, and queues
    /// its writes again.
    fn retry_smaller(&mut self, ctx: &mut Context, batch: WriteBatch) {
        if self.writer.max_value_bytes() > ctx.config.max_value_bytes {
            // The announced lower limits are in effect: larger values are written in parts
            // from now on.
            log::info!(
                "value limit lowered value_bytes={}",
                ctx.config.max_value_bytes
            );
            self.writer.use_lower_value_limit(ctx.config);
        } else if batch.writes.len() > 1 {
            self.writer.shrink_batches(batch.writes.len());
        } else if let Some(write) = batch.writes.first() {
            // A batch with only this write was rejected. The same record would be rejected
            // again.
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
                log::error!("store rejected a write, retrying it later {write}");
                self.writer.retry_rejected(ctx.now.monotonic, write.clone());
            }
            return self.send_writes(ctx);
        }
        self.requeue_batch(batch);
        self.send_writes(ctx);
    }

    /// Requeues the writes of a batch that was not applied. Placements of cancelled jobs in
    /// it are reverted.
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
                    self.enqueue_removal_if_unplaced(id);
                }
            }
        }
        for write in batch.writes.into_iter().rev() {
            self.writer.enqueue_first(write);
        }
    }

    /// Handles a batch that can never be applied because records it depends on have changed:
    /// the state record of a job, or the record of the machine types. Any other key shows
    /// that another leader has written.
    fn batch_rejected(&mut self, ctx: &mut Context, mut batch: WriteBatch, failed: &[String]) {
        for key in failed {
            if let Some(id) = records::parse_job_state_key(key) {
                self.job_state_changed(ctx, &Rc::from(id));
            } else if key == records::MACHINE_TYPES_KEY {
                // The record was written by an earlier attempt, or by the previous leader
                // after this one had read it.
                batch
                    .writes
                    .retain(|write| *write != PendingWrite::MachineTypes);
                let continuation = self.continuation(LeaderStep::ReadTypesVersion);
                ctx.store_request(StoreRequest::Get { key: key.clone() }, continuation);
            } else {
                log::error!(
                    "key was written by another leader, ending the term key={key} term={}",
                    self.term
                );
                self.events.push(LeaderEvent::StepDown);
            }
        }
        self.requeue_batch(batch);
        self.send_writes(ctx);
    }

    /// Handles the reply with the current version of the machine types' record, and writes
    /// the record again.
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
                let key = records::MACHINE_TYPES_KEY.to_string();
                self.writer
                    .delay_read(ctx.now.monotonic, key, LeaderStep::ReadTypesVersion);
            }
        }
    }

    /// Handles a change of a job's state record, by a cancellation or by an earlier attempt
    /// of a write. In both cases the job's tasks must not run any more.
    fn job_state_changed(&mut self, ctx: &mut Context, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id) {
            log::info!("job state record changed, reading it job={id}");
            // No placement of the job is written from now on. The time at which a
            // cancellation was confirmed is unknown until its record is read. Until then
            // heartbeats are answered only for a limited time after the last consistent
            // read, which is older than the confirmation.
            job.cancelled_at.get_or_insert(ctx.now.monotonic);
            job.ending = false;
            self.mark_tasks_cancelled(id);
        }
        let continuation = self.continuation(LeaderStep::ReadEndedJob { id: id.clone() });
        let key = records::job_state_key(id);
        ctx.store_request(StoreRequest::Get { key }, continuation);
    }

    /// Handles the reply with the state record of a job that was ended by another writer or
    /// by an earlier attempt of a batch.
    pub(super) fn job_state_reply(
        &mut self,
        ctx: &mut Context,
        id: Rc<str>,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Ok(StoreResponse::Found(row)) = reply else {
            let key = records::job_state_key(&id);
            let step = LeaderStep::ReadEndedJob { id };
            return self.writer.delay_read(ctx.now.monotonic, key, step);
        };
        let record = row.decode_value::<JobStateRecord>();
        match record.map(|record| (record.state, record)) {
            Some((RecordedState::Done, record)) => self.handle_job_done(ctx, &id, record),
            Some((RecordedState::Cancelled, _)) => {
                if self
                    .jobs
                    .get(&id)
                    .is_some_and(|job| !job.cancellation_confirmed)
                {
                    self.apply_cancellation(ctx, &id);
                }
            }
            Some((RecordedState::Open, _)) => {
                log::error!("unexpected job state record, ending the term job={id} state=open");
                self.events.push(LeaderEvent::StepDown);
            }
            None => {
                log::error!("unreadable job state record, ending the term job={id}");
                self.events.push(LeaderEvent::StepDown);
            }
        }
    }

    /// Removes a job whose completion is stored.
    fn handle_job_done(&mut self, ctx: &Context, id: &Rc<str>, record: JobStateRecord) {
        log::info!("job done job={id}");
        self.remove_ended_job(ctx, id);
        self.dependency_done(ctx, id);
        self.events
            .push(LeaderEvent::JobEnded(id.to_string(), record));
    }

    /// Applies the effects of a batch that was committed.
    fn batch_committed(&mut self, ctx: &mut Context, batch: WriteBatch, revision: u64) {
        self.writer.grow_batches(ctx.config.max_txn_ops);
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
                self.handle_job_done(ctx, id, record);
            }
            PendingWrite::JobCancelled(id) => self.dependent_cancelled(ctx, id),
            PendingWrite::DeleteJobRecords(id) => self.remove_ended_job(ctx, id),
            PendingWrite::MachineTypes => self.machine_types.record_written(revision),
            PendingWrite::Machine(_)
            | PendingWrite::DeleteTasks { .. }
            | PendingWrite::DeleteKey(_) => {}
        }
    }

    /// Requests the launch of a task whose placement is stored, unless it was cancelled in
    /// the meantime.
    fn placement_committed(&mut self, placement: &NewPlacement) {
        let NewPlacement { task: key, attempt } = placement;
        let (id, index) = key;
        let job = self.jobs.get_mut(id);
        let machine = job.and_then(|job| job.tasks.confirm_placement(*index, *attempt));
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
        // The task was cancelled before it could be launched, so it is not on the machine.
        if slot.cancelled {
            machine.slots.remove(key);
            self.return_to_waiting(key, *attempt);
        }
    }
}
