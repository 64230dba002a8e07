//! Machines that the cloud is about to take back.

use super::*;

/// A task whose rest is expected to take so many times as long as the machine
/// has left is stopped.
const HOPELESS: f64 = 1.5;

impl Leader {
    /// Stops arrays' tasks that will not end before the machine goes: they run
    /// on elsewhere from now, instead of from when the loss is noticed.
    ///
    /// Of 20 jobs that missed their deadlines 17 had every task placed in time
    /// and lost one to a spot machine, which was placed again only after the
    /// notice had run out and the silence was seen (operations of both ops).
    pub(super) fn leave(&mut self, ctx: &Context, machine: &str) {
        let now = ctx.now.monotonic;
        let Some(m) = self.machines.get(machine) else {
            return;
        };
        let Some(gone_by) = m.interrupted_at else {
            return;
        };
        let notice = seconds(gone_by.saturating_sub(now));
        let hopeless = |(key, slot): &(&TaskKey, &crate::machines::TaskSlot)| {
            let Some(job) = self.jobs.get(&key.0) else {
                return false;
            };
            let ran = slot.running_since.map_or(0, |at| now.saturating_sub(at));
            let left = self.expected_run(ctx.config, job) - seconds(ran);
            job.spec.kind == JobKind::Batch
                && slot.stored
                && slot.seen.is_some()
                && !slot.cancelled
                && !slot.preempted
                && left > notice * HOPELESS
        };
        let stop: Vec<TaskKey> = m
            .slots
            .iter()
            .filter(hopeless)
            .map(|(key, _)| key.clone())
            .collect();
        let Some(m) = self.machines.get_mut(machine).filter(|_| !stop.is_empty()) else {
            return;
        };
        for key in stop {
            log::info!("{}/{} leaves {machine}, which is taken back", key.0, key.1);
            if let Some(slot) = m.slots.get_mut(&key) {
                slot.preempted = true;
            }
        }
        m.needs_command = true;
        self.command_dispatch.urgent(m.name.clone());
    }
}
