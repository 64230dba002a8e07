//! The ends of jobs: cancellation and completion, and what is left of them in the store.

use super::{Leader, LeaderEvent};
use crate::calls::Context;
use crate::machines::TaskKey;
use crate::records;
use crate::write_queue::{NewPlacement, PendingWrite};
use std::rc::Rc;

impl Leader {
    /// A job is cancelled: nothing of it starts, and what runs is stopped.
    pub(super) fn cancel_job(&mut self, ctx: &Context, id: &Rc<str>) {
        log::info!("job cancelled, stopping its tasks job={id}");
        // The cancellation may have overtaken the record of its last
        // completion: then that is not written, and the job is to be cleared.
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
        self.clear_if_empty(id);
    }

    /// Whether the current placement of a task is in the batch in flight. An earlier
    /// attempt in the batch says nothing of this one: taken for it, the placement once
    /// stayed for ever (seed 4717).
    fn is_being_stored(&self, task: &TaskKey) -> bool {
        let (id, index) = task;
        let current = self.jobs.get(id).and_then(|job| job.task(*index));
        current.is_some_and(|current| {
            self.writer.is_storing(&NewPlacement {
                task: task.clone(),
                attempt: current.attempt,
            })
        })
    }

    /// This process has seen in the store that these jobs are cancelled: each stops as if
    /// the queue watch had reported it. When that was confirmed is not known here, and
    /// until the row says so answers end with the last read, which is older.
    pub fn observe_cancellations(&mut self, ctx: &mut Context, ids: &[String]) {
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
            // A leader that still reads the store stops its cancelled jobs when it is
            // ready.
            if self.recovery.is_ready() {
                self.cancel_job(ctx, &id);
            }
        }
    }

    /// Marks the placed tasks of a job as cancelled on their machines, which are sent
    /// their stops. Returns the tasks whose placement is not stored: those were never
    /// launched.
    pub(super) fn mark_tasks_cancelled(&mut self, id: &Rc<str>) -> Vec<u32> {
        let mut unstored = Vec::new();
        let Some(job) = self.jobs.get(id) else {
            return unstored;
        };
        for (index, machine) in job.on_machines() {
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

    /// Reverts a placement that was never stored, so that nothing was sent.
    pub(super) fn revert_unstored_placement(&mut self, key: &TaskKey) {
        let (id, index) = key;
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(machine) = job.revert_placement(*index)
            && let Some(machine) = self.machines.get_mut(&machine)
        {
            machine.slots.remove(key);
        }
    }

    /// Clears a job that was seen to be cancelled once none of its tasks is left. That its
    /// state record has changed is not enough: its dependents are cancelled once the
    /// record is read.
    pub(super) fn clear_if_empty(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancellation_confirmed
            && !job.ending
            && job.placed_count() == 0
        {
            job.ending = true;
            self.writer.enqueue(PendingWrite::ClearJob(id.clone()));
        }
    }

    /// Writes the end of a job once all its tasks are done.
    pub(super) fn end_if_done(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancelled_at.is_none()
            && !job.ending
            && job.all_done()
        {
            job.ending = true;
            self.writer.enqueue_first(PendingWrite::JobDone(id.clone()));
        }
    }

    /// Removes a job whose end is stored, and the records of its tasks.
    pub(super) fn forget_job(&mut self, ctx: &Context, id: &Rc<str>) {
        self.untrack_dependencies(ctx, id);
        if let Some(job) = self.jobs.remove(id) {
            for range in job.task_ranges.stored_ranges() {
                self.writer
                    .enqueue(PendingWrite::DeleteKey(records::tasks_key(id, range)));
            }
        }
    }

    /// Queues the record of a task that has changed.
    pub(super) fn enqueue_task_record(&mut self, key: &TaskKey) {
        let (id, index) = key;
        if let Some(job) = self.jobs.get(id) {
            let range = job.task_ranges.range_of(*index);
            let job = id.clone();
            self.writer.enqueue(PendingWrite::Tasks { job, range });
        }
    }
}
