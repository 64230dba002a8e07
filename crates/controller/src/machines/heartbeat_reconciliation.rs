//! Reconciles the tasks that a heartbeat lists with the tasks that are placed on a machine.
//!
//! Invariant: a slot is freed only on proof that its attempt is gone.

use super::{
    HeartbeatPosition, HeartbeatSource, Machine, TaskAttempt, TaskEvent, TaskKey, TaskLossReason,
    TaskSlot,
};
use crate::{Micros, micros};
use dillcleat_wire::worker::{ExitReason, Heartbeat, TaskState, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

impl Machine {
    /// Applies a heartbeat and returns the resulting changes of the placed tasks. A
    /// heartbeat that is not newer than the latest one has no effect. `first_token` is the first
    /// fencing token of this term.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        first_token: u64,
        now: Micros,
    ) -> Vec<TaskEvent> {
        let mut events = Vec::new();
        // This holds even if the heartbeat is outdated: the worker's token never decreases.
        self.launch_fence.record_accepted(heartbeat.fencing_token);
        if source == HeartbeatSource::Periodic {
            self.latest_periodic = self.latest_periodic.max(HeartbeatPosition::of(heartbeat));
        }
        if self.is_outdated(heartbeat) {
            return events;
        }
        if heartbeat.incarnation > self.position.incarnation || !self.up {
            self.begin_incarnation(heartbeat.incarnation, &mut events);
        }
        self.update_from_heartbeat(heartbeat, now);
        if heartbeat.fencing_token < first_token {
            // Commands of an earlier leader may still be executed, so the task list does
            // not yet prove that any task is gone.
            return events;
        }
        if heartbeat.fencing_token > self.launch_fence.token() {
            self.adopt_unknown_token(heartbeat.fencing_token);
            return events;
        }
        self.has_current_token = true;
        let present = self.reconcile_listed_tasks(&heartbeat.tasks, now, &mut events);
        self.remove_absent_tasks(&present, &mut events);
        if !self.slots.is_empty() {
            self.idle_since = now;
        }
        events
    }

    /// Whether the heartbeat is no newer than the known state. Before the first heartbeat,
    /// only the incarnation may be known, from a stored placement; a heartbeat of an earlier
    /// incarnation is outdated even if it is the first to arrive.
    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        if self.up {
            HeartbeatPosition::of(heartbeat) <= self.position
        } else {
            heartbeat.incarnation < self.position.incarnation
        }
    }

    /// Adopts a token of this term that was not sent to the machine, since the worker refuses
    /// messages under a lower one.
    fn adopt_unknown_token(&mut self, token: u64) {
        let sent = self.launch_fence.token();
        let name = &self.name;
        log::error!(
            "machine reports a token that was not sent machine={name} token={token} sent={sent}"
        );
        self.launch_fence.raise_token(token);
    }

    /// Frees the slots of earlier incarnations. Also called for the first heartbeat, whose
    /// incarnation may be known from a stored placement. A restarted agent has killed all
    /// tasks of earlier incarnations and rejects commands for them.
    fn begin_incarnation(&mut self, incarnation: u64, events: &mut Vec<TaskEvent>) {
        self.launch_fence.begin_incarnation();
        let is_earlier = |_: &TaskKey, slot: &TaskSlot| slot.incarnation < incarnation;
        let reason = TaskLossReason::LaterIncarnation;
        events.extend(remove_lost(&mut self.slots, is_earlier, reason));
    }

    fn update_from_heartbeat(&mut self, heartbeat: &Heartbeat, now: Micros) {
        self.up = true;
        self.position = HeartbeatPosition::of(heartbeat);
        self.reachability.record_contact(now);
        if !heartbeat.addr.is_empty() {
            self.addr = Some(heartbeat.addr.clone());
        }
        self.interrupted_at = heartbeat
            .interruption_notice_s
            .filter(|notice_s| notice_s.is_finite())
            .map(|notice_s| now + micros(notice_s));
    }

    /// Processes the tasks that the heartbeat lists. Returns those that are placed on the
    /// machine and have not exited.
    fn reconcile_listed_tasks(
        &mut self,
        tasks: &[TaskStatus],
        now: Micros,
        events: &mut Vec<TaskEvent>,
    ) -> BTreeSet<TaskKey> {
        self.exited.clear();
        self.unplaced_attempts.clear();
        let mut present = BTreeSet::new();
        for status in tasks {
            let key: TaskKey = (Rc::from(status.task.job.as_str()), status.task.index);
            let is_placed = self
                .slots
                .get(&key)
                .is_some_and(|slot| slot.attempt == status.attempt);
            let listed = TaskAttempt {
                task: status.task.clone(),
                attempt: status.attempt,
            };
            if status.state == TaskState::Exited {
                self.exited.push(listed);
                if is_placed {
                    events.extend(self.remove_exited(key, status, now));
                }
            } else if is_placed {
                events.extend(self.record_reported_state(&key, status.state, now));
                present.insert(key);
            } else {
                self.unplaced_attempts.push(listed);
            }
        }
        present
    }

    /// Frees the slot of an attempt that the heartbeat lists as exited.
    fn remove_exited(
        &mut self,
        task: TaskKey,
        status: &TaskStatus,
        now: Micros,
    ) -> Option<TaskEvent> {
        let slot = self.slots.remove(&task)?;
        let running_since = slot.running_since.filter(|_| slot.observed_from_start);
        Some(TaskEvent::Exited {
            task,
            attempt: status.attempt,
            reason: status.reason.unwrap_or(ExitReason::Other),
            run_time: running_since.map(|since| now.saturating_sub(since)),
        })
    }

    /// Records the reported state of a placed attempt.
    fn record_reported_state(
        &mut self,
        key: &TaskKey,
        state: TaskState,
        now: Micros,
    ) -> Option<TaskEvent> {
        let slot = self.slots.get_mut(key)?;
        let starts = state == TaskState::Running && slot.reported_state != Some(TaskState::Running);
        slot.reported_state = Some(state);
        if !starts {
            return None;
        }
        slot.running_since = Some(now);
        Some(TaskEvent::Running(key.clone()))
    }

    /// Frees the slots of attempts that the heartbeat does not list. An attempt that was never
    /// reported and is not cancelled is kept: its launch is still to be sent or repeated.
    ///
    /// Absence is a proof only if no launch can still be executed.
    fn remove_absent_tasks(&mut self, present: &BTreeSet<TaskKey>, events: &mut Vec<TaskEvent>) {
        let fence = &self.launch_fence;
        let mut has_unfenced_absence = false;
        let is_gone = |key: &TaskKey, slot: &TaskSlot| {
            let is_absent = !present.contains(key)
                && slot.stored
                && (slot.cancelled || slot.reported_state.is_some());
            let attempt = slot.task_attempt(key);
            has_unfenced_absence |= is_absent && !fence.fences_off(&attempt);
            is_absent && !fence.may_still_launch(&attempt)
        };
        let reason = TaskLossReason::AbsentFromHeartbeat;
        events.extend(remove_lost(&mut self.slots, is_gone, reason));
        self.has_unfenced_absence = has_unfenced_absence;
    }

    /// Whether a higher token is needed to reap an exited attempt, or to prove that an absent one
    /// is gone.
    pub fn needs_higher_token(&self) -> bool {
        let is_unfenced = |attempt| !self.launch_fence.fences_off(attempt);
        self.has_unfenced_absence || self.exited.iter().any(is_unfenced)
    }
}

/// Frees the slots for which `is_lost` returns true.
fn remove_lost(
    slots: &mut BTreeMap<TaskKey, TaskSlot>,
    mut is_lost: impl FnMut(&TaskKey, &TaskSlot) -> bool,
    reason: TaskLossReason,
) -> impl Iterator<Item = TaskEvent> {
    let lost = slots.extract_if(.., move |key, slot| is_lost(key, slot));
    lost.map(move |(task, slot)| TaskEvent::Lost {
        task,
        attempt: slot.attempt,
        reason,
    })
}
