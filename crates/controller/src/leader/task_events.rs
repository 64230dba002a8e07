//! Handling of task events from heartbeats (starts, exits and losses) and the attribution
//! of failures to jobs or machines.

use super::job::Job;
use super::{Leader, LeaderEvent};
use crate::calls::Context;
use crate::machines::{TaskEvent, TaskKey};
use crate::{Micros, SECOND, seconds};
use dillcleat_wire::user::JobKind;
use dillcleat_wire::worker::ExitReason;
use std::rc::Rc;

/// The run time after which a replica is assumed to be serving.
const MIN_SERVING_TIME: Micros = 10 * SECOND;
/// Pause after which tasks are placed again on a machine that lacked the resources to start
/// one.
const NO_RESOURCES_PAUSE: Micros = 3 * SECOND;
/// Pause after which tasks of a job are placed again after an exit that is attributed neither
/// to the job nor to the machine.
const OTHER_EXIT_PAUSE: Micros = 2 * SECOND;

/// An attempt of a task that has exited.
struct ExitedTask {
    task: TaskKey,
    attempt: u64,
    reason: ExitReason,
    /// How long the attempt ran, if known.
    run_time: Option<Micros>,
}

impl Leader {
    /// Applies an event that a machine has reported for a task.
    pub(super) fn apply_task_event(&mut self, ctx: &Context, machine: &str, event: TaskEvent) {
        // All events except the start of a task may free resources.
        if !matches!(event, TaskEvent::Running(_)) {
            self.scheduling.request_cycle(ctx.now.monotonic);
        }
        match event {
            TaskEvent::Running((id, index)) => {
                log::debug!("task running job={id} task={index} machine={machine}");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.tasks.record_running(index);
                }
            }
            TaskEvent::Lost {
                task,
                attempt,
                reason,
            } => {
                let (id, index) = &task;
                log::info!(
                    "task lost job={id} task={index} attempt={attempt} machine={machine} \
                     reason=\"{reason}\""
                );
                self.return_to_waiting(&task, attempt);
            }
            TaskEvent::Exited {
                task,
                attempt,
                reason,
                run_time,
            } => {
                let exited = ExitedTask {
                    task,
                    attempt,
                    reason,
                    run_time,
                };
                self.apply_exit(ctx, machine, &exited);
            }
        }
    }

    fn apply_exit(&mut self, ctx: &Context, machine: &str, exited: &ExitedTask) {
        let ExitedTask { task, attempt, .. } = exited;
        let (id, index) = task;
        if exited.reason == ExitReason::Done {
            log::debug!("task done job={id} task={index} attempt={attempt} machine={machine}");
            return self.complete_task(ctx, exited);
        }
        log::info!(
            "task ended job={id} task={index} attempt={attempt} machine={machine} reason={}",
            exit_reason_name(exited.reason)
        );
        self.return_to_waiting(task, *attempt);
        self.attribute_failure(ctx, machine, task, exited.reason);
        if exited.reason == ExitReason::Error {
            self.events.push(LeaderEvent::TaskFailed {
                job: id.to_string(),
                task: *index,
                attempt: *attempt,
            });
        }
    }

    /// Returns a task to waiting after its attempt ended without completing.
    pub(super) fn return_to_waiting(&mut self, key: &TaskKey, attempt: u64) {
        let (id, index) = key;
        if let Some(job) = self.jobs.get_mut(id) {
            job.tasks.return_to_waiting(*index, attempt);
            if job.cancelled_at.is_none() {
                self.enqueue_task_record(key);
            }
        }
        self.enqueue_removal_if_unplaced(id);
    }

    fn complete_task(&mut self, ctx: &Context, exited: &ExitedTask) {
        let (id, index) = &exited.task;
        let job_index = self.jobs.index_of(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.tasks.complete(*index, exited.attempt) {
            return;
        }
        if let Some(run_time) = exited.run_time {
            let run_time_s = seconds(run_time);
            if !job.trained {
                if let Some(job_index) = job_index {
                    self.estimates.mark_changed(job_index);
                }
                job.add_sample(ctx.config, run_time_s);
            }
            self.estimates
                .add_run_time(ctx.config, &job.spec.class, run_time_s);
        }
        if job.cancelled_at.is_some() {
            return self.enqueue_removal_if_unplaced(id);
        }
        self.record_job_success(id);
        self.enqueue_end_if_done(id);
        // If the job has ended, the record of its end includes the completion of this task.
        if self.jobs.get(id).is_some_and(|job| !job.ending) {
            self.enqueue_task_record(&exited.task);
        }
    }

    /// Records that a task of the job has run successfully. The job's earlier errors are
    /// then attributed to the machines on which they occurred.
    fn record_job_success(&mut self, id: &Rc<str>) {
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| !job.failures.has_succeeded())
        else {
            return;
        };
        for machine in job.failures.record_success() {
            self.attribute_error_to_machine(&machine, id);
        }
    }

    /// Attributes an error of the job to the machine. A machine with errors of several jobs
    /// is cordoned.
    fn attribute_error_to_machine(&mut self, machine: &Rc<str>, id: &Rc<str>) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.health.attribute_failure(id) {
            log::info!(
                "machine cordoned, to be deleted machine={machine} reason=\"several jobs failed on it\""
            );
        }
    }

    /// Whether a replica of the service has run for long enough to be assumed to work.
    /// Replicas don't complete, so this is the only evidence that a service works.
    fn has_serving_replica(&self, job: &Job, id: &Rc<str>, now: Micros) -> bool {
        job.tasks.running().any(|(index, machine)| {
            let machine = self.machines.get(machine);
            let slot = machine.and_then(|machine| machine.slots.get(&(id.clone(), index)));
            let since = slot.and_then(|slot| slot.running_since);
            since.is_some_and(|since| now >= since + MIN_SERVING_TIME)
        })
    }

    /// Attributes the exit of a task that did not complete to its job or its machine.
    fn attribute_failure(
        &mut self,
        ctx: &Context,
        machine: &str,
        (id, _): &TaskKey,
        reason: ExitReason,
    ) {
        let now = ctx.now.monotonic;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_service = job.spec.kind == JobKind::Service;
        if reason == ExitReason::Error && is_service && self.has_serving_replica(job, id, now) {
            self.record_job_success(id);
        }
        let (Some(job), Some(m)) = (self.jobs.get_mut(id), self.machines.get_mut(machine)) else {
            return;
        };
        match reason {
            ExitReason::InsufficientResources => {
                m.health.pause_placement_until(now + NO_RESOURCES_PAUSE)
            }
            ExitReason::Error => {
                m.health.record_job_failure(id);
                let name = m.name.clone();
                if job.failures.has_succeeded() {
                    self.attribute_error_to_machine(&name, id);
                // A failure on a machine with failures of other jobs says nothing about the job.
                } else if !m.health.has_attributed_failures()
                    && let Some(pause) = job.failures.record_failure(&name, now)
                {
                    log::info!(
                        "job fails on several machines, pausing it job={id} pause_s={}",
                        seconds(pause)
                    );
                }
            }
            ExitReason::Stopped | ExitReason::Done => {}
            ExitReason::OtherAttemptPresent | ExitReason::UnknownTask | ExitReason::Other => {
                job.blocked_until = now + OTHER_EXIT_PAUSE;
            }
        }
    }
}

/// The name of an exit reason for log lines.
fn exit_reason_name(reason: ExitReason) -> &'static str {
    match reason {
        ExitReason::Done => "done",
        ExitReason::Stopped => "stopped",
        ExitReason::Error => "error",
        ExitReason::InsufficientResources => "insufficient_resources",
        ExitReason::OtherAttemptPresent => "other_attempt_present",
        ExitReason::UnknownTask => "unknown_task",
        ExitReason::Other => "other",
    }
}
