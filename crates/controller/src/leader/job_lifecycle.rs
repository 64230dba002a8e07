//! Cancellation and completion of jobs, and the removal of their records.

use super::{Leader, LeaderEvent};
use crate::calls::Context;
use crate::machines::TaskKey;
use crate::write_queue::{NewPlacement, PendingWrite};
use std::rc::Rc;

impl Leader {
    /// Applies the cancellation of a job: none of its tasks is started any more, and running
    /// tasks are stopped.
    pub(super) fn apply_cancellation(&mut self, ctx: &Context, id: &Rc<str>) {
        log::info!("job cancelled, stopping its tasks job={id}");
        // The cancellation was stored first, so a queued record of the job's completion
        // is not written. Resetting `ending` allows the removal of the job's records.
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = false;
            job.cancellation_confirmed = true;
        }
        self.untrack_dependencies(ctx, id);
        self.cancel_dependents(id);
        self.events.push(LeaderEvent::JobCancelled(id.to_string()));
        for index in self.mark_tasks_cancelled(id) {
            // A placement that is being written may already be stored.
            let task: TaskKey = (id.clone(), index);
            if !self.is_being_stored(&task) {
                self.revert_unstored_placement(&task);
            }
        }
        self.enqueue_removal_if_unplaced(id);
    }

    /// Whether the current placement of a task is in the batch in flight. An earlier attempt
    /// in the batch does not count: otherwise the current placement would never be reverted.
    fn is_being_stored(&self, task: &TaskKey) -> bool {
        let (id, index) = task;
        let job = self.jobs.get(id);
        let current = job.and_then(|job| job.tasks.placement(*index));
        current.is_some_and(|current| {
            self.writer.is_storing(&NewPlacement {
                task: task.clone(),
                attempt: current.attempt,
            })
        })
    }

    /// Cancels jobs that another part of this process has found to be cancelled in the
    /// store, as if the queue watch had reported them. The time of the confirmation is
    /// unknown here; the current time is used until the cancellation record is read. This is
    /// safe because heartbeats are answered only for a limited time after the last
    /// consistent read, which was sent before the confirmation.
    pub fn apply_observed_cancellations(&mut self, ctx: &mut Context, ids: &[String]) {
        for id in ids {
            let Some(id) = self.jobs.name(id).cloned() else {
                continue;
            };
            let Some(job) = self
                .jobs
                .get_mut(&id)
                .filter(|job| !job.cancellation_confirmed)
            else {
                continue;
            };
            job.cancelled_at.get_or_insert(ctx.now.monotonic);
            // During recovery, cancelled jobs are processed when it finishes.
            if self.recovery.is_ready() {
                self.apply_cancellation(ctx, &id);
            }
        }
    }

    /// Marks the placed tasks of a job as cancelled and queues stop commands for their
    /// machines. Returns the tasks whose placement is not stored, which were never launched.
    pub(super) fn mark_tasks_cancelled(&mut self, id: &Rc<str>) -> Vec<u32> {
        let mut unstored = Vec::new();
        let Some(job) = self.jobs.get(id) else {
            return unstored;
        };
        for (index, machine) in job.tasks.placed() {
            let Some(machine) = self.machines.get_mut(machine) else {
                continue;
            };
            let Some(slot) = machine.slots.get_mut(&(id.clone(), index)) else {
                continue;
            };
            slot.cancelled = true;
            if slot.stored {
                machine.command_state.request_at(0);
                self.command_dispatch.enqueue_urgent(machine.name.clone());
            } else {
                unstored.push(index);
            }
        }
        unstored
    }

    /// Reverts a placement that was never stored. No command was sent for it.
    pub(super) fn revert_unstored_placement(&mut self, key: &TaskKey) {
        let (id, index) = key;
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(machine) = job.tasks.revert_placement(*index)
            && let Some(machine) = self.machines.get_mut(&machine)
        {
            machine.slots.remove(key);
        }
    }

    /// Queues the removal of a cancelled job's records once none of its tasks is placed. The
    /// cancellation must have been read from the store, because its dependents are
    /// cancelled at that point.
    pub(super) fn enqueue_removal_if_unplaced(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancellation_confirmed
            && !job.ending
            && job.tasks.placed_count() == 0
        {
            job.ending = true;
            self.writer
                .enqueue(PendingWrite::DeleteJobRecords(id.clone()));
        }
    }

    /// Queues the record of a job's end once all its tasks are done.
    pub(super) fn enqueue_end_if_done(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancelled_at.is_none()
            && !job.ending
            && job.all_done()
        {
            job.ending = true;
            self.writer.enqueue_first(PendingWrite::JobDone(id.clone()));
        }
    }

    /// Removes a job whose end is stored, and queues the deletion of its task records.
    pub(super) fn remove_ended_job(&mut self, ctx: &Context, id: &Rc<str>) {
        self.untrack_dependencies(ctx, id);
        if let Some(job) = self.jobs.remove(id) {
            for range in job.task_ranges.stored_ranges() {
                let job = id.clone();
                self.writer
                    .enqueue(PendingWrite::DeleteTasks { job, range });
            }
        }
    }

    /// Queues a write of the record that holds the task.
    pub(super) fn enqueue_task_record(&mut self, key: &TaskKey) {
        let (id, index) = key;
        if let Some(job) = self.jobs.get(id) {
            let range = job.task_ranges.range_of(*index);
            let job = id.clone();
            self.writer.enqueue(PendingWrite::Tasks { job, range });
        }
    }
}
