//! Spot machines that the cloud is about to take back.

use super::{Job, Leader};
use crate::calls::Context;
use crate::machines::{TaskKey, TaskSlot};
use crate::seconds;
use dillcleat_wire::user::JobKind;

/// A task whose expected rest takes more than so many times as long as its machine has left
/// is preempted.
const HOPELESS_FACTOR: f64 = 1.5;

impl Leader {
    /// Preempts tasks of arrays that will not end before the machine goes: they run on
    /// elsewhere from now, instead of from when the loss is noticed.
    ///
    /// Of 20 jobs that missed their deadlines 17 had every task placed in time and lost one
    /// to a spot machine, which was placed again only after the notice had run out and the
    /// silence was seen (operations of both ops).
    pub(super) fn evict_hopeless_tasks(&mut self, ctx: &Context, machine_name: &str) {
        let now = ctx.now.monotonic;
        let Some(machine) = self.machines.get(machine_name) else {
            return;
        };
        let Some(gone_at) = machine.interrupted_at() else {
            return;
        };
        let notice_s = seconds(gone_at.saturating_sub(now));
        let is_hopeless = |key: &TaskKey, slot: &TaskSlot| {
            let Some(job) = self.jobs.get(&key.0) else {
                return false;
            };
            let ran_s = seconds(slot.running_for(now));
            let left_s = self.expected_run_time_s(ctx.config, job) - ran_s;
            may_evict(job, slot) && left_s > notice_s * HOPELESS_FACTOR
        };
        let slots = machine.slots.iter();
        let hopeless = slots.filter(|(key, slot)| is_hopeless(key, slot));
        let evicted: Vec<TaskKey> = hopeless.map(|(key, _)| key.clone()).collect();
        if evicted.is_empty() {
            return;
        }
        let Some(machine) = self.machines.get_mut(machine_name) else {
            return;
        };
        for key in evicted {
            log::info!(
                "preempting task job={} task={} machine={machine_name} reason=spot-interruption",
                key.0,
                key.1
            );
            if let Some(slot) = machine.slots.get_mut(&key) {
                slot.preempted = true;
            }
        }
        machine.command_state.request();
        self.command_dispatch.enqueue_urgent(machine.name.clone());
    }
}

/// Whether the task runs there, is of an array, and is not being stopped already.
fn may_evict(job: &Job, slot: &TaskSlot) -> bool {
    job.spec.kind == JobKind::Batch
        && slot.is_stored_and_reported()
        && !slot.cancelled
        && !slot.preempted
}
