//! The leader's state of an open job and its tasks.

use super::job_tasks::JobTasks;
use super::task_ranges::TaskRanges;
use super::urgency::Urgency;
use crate::failure_attribution::JobFailures;
use crate::progress::TaskCounts;
use crate::records::{JobStateRecord, OpenJob, RecordedState, TaskRange, TaskRecord};
use crate::sched::PlacementRequirements;
use crate::{Config, Micros};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use std::rc::Rc;

/// An open job.
#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    /// The container image, shared with the indexes that refer to it.
    pub image: Rc<str>,
    /// The index of the job's team in the settings, or the number of teams if the settings
    /// don't contain it.
    pub team: usize,
    /// The version of the job's state record while the job is open; 0 if there is none.
    state_version: u64,
    /// Wall-clock time of the submission, in microseconds.
    pub submitted_at: Micros,
    /// Wall-clock time since which the job has been ready to run, in microseconds: the time
    /// of the submission, or the time at which its last dependency was known to be done.
    pub ready_at: Micros,
    /// Whether the job depends on jobs that are not done. Such a job is not scheduled.
    pub blocked_on_dependencies: bool,
    /// The maximum of the job's own priority and those of its dependents.
    pub priority: Priority,
    /// Wall-clock time, in microseconds, by which the job has to end so that its dependents
    /// can meet their deadlines.
    pub due_at: Option<Micros>,
    /// The maximum number of tasks placed at the same time; `None` if unlimited.
    parallelism_limit: Option<u32>,
    /// The assignment of tasks to stored records.
    pub task_ranges: TaskRanges,
    /// The states of the tasks.
    pub tasks: JobTasks,
    /// The monotonic time of the cancellation, if the job is cancelled. If this is set and
    /// `cancellation_confirmed` is not, the job's state record is known to have changed but
    /// has not been read yet.
    pub cancelled_at: Option<Micros>,
    /// Whether the cancellation was read from the store.
    pub cancellation_confirmed: bool,
    /// Whether the write that closes the job is queued or being written: its end, or the
    /// removal of a cancelled job's records.
    pub ending: bool,
    /// Run times of completed training tasks, in seconds.
    pub samples: Vec<f64>,
    /// The estimated size at submission, in CPU-seconds.
    pub initial_size: f64,
    /// The estimated size in CPU-seconds: the initial size until the job is trained.
    pub size: f64,
    /// The reduction of the virtual size, in CPU-seconds, by periods of ageing before the
    /// current one. The virtual size is the size less the total reduction, and at least zero.
    pub ageing_credit: f64,
    /// The leader's virtual time at which the current period of ageing began.
    pub ageing_since: Option<f64>,
    /// When the job began to wait: it has had placeable tasks since then. Monotonic time;
    /// unset when the leader changes.
    pub waiting_since: Option<Micros>,
    pub placement_requirements: Rc<PlacementRequirements>,
    /// Whether the size was derived from training tasks. Services don't need training.
    pub trained: bool,
    /// The failures of the job, used to attribute them to the job or to machines.
    pub failures: JobFailures,
    /// No task is placed before this monotonic time.
    pub blocked_until: Micros,
    /// The task counts that were last sent to peers.
    pub replicated_counts: TaskCounts,
}

impl Job {
    /// Creates a job from its description, with no task placed. `task_run_time_s` is the
    /// expected run time of a task of the job's class. `tasks_per_part` is the number of
    /// tasks in each part of a chunk that exceeds the store's value limit.
    pub(super) fn new(
        open: OpenJob,
        state_version: u64,
        team: usize,
        task_run_time_s: f64,
        tasks_per_part: u32,
    ) -> Job {
        let task_count = open.spec.tasks;
        let size = f64::from(task_count) * open.spec.cpus * task_run_time_s;
        Job {
            team,
            state_version,
            submitted_at: open.submitted_at_us,
            ready_at: open.submitted_at_us,
            blocked_on_dependencies: false,
            priority: open.spec.priority,
            due_at: None,
            parallelism_limit: open.parallelism_limit,
            task_ranges: TaskRanges::new(task_count, open.tasks_per_chunk, tasks_per_part),
            tasks: JobTasks::new(task_count),
            cancelled_at: None,
            cancellation_confirmed: false,
            ending: false,
            samples: Vec::new(),
            initial_size: size,
            size,
            ageing_credit: 0.0,
            ageing_since: None,
            waiting_since: None,
            placement_requirements: Rc::new(PlacementRequirements::of(&open.spec)),
            trained: open.spec.kind == JobKind::Service,
            failures: JobFailures::default(),
            blocked_until: 0,
            replicated_counts: TaskCounts::NONE,
            image: Rc::from(open.spec.image.as_str()),
            spec: open.spec,
        }
    }

    /// The version of the state record, which writes of placements and of the job's end
    /// compare.
    pub(super) fn state_version(&self) -> u64 {
        self.state_version
    }

    /// Returns the job's state record for the given state.
    pub(super) fn state_record(&self, state: RecordedState) -> JobStateRecord {
        JobStateRecord {
            state,
            task_count: self.spec.tasks,
        }
    }

    /// Whether the job has so few tasks that it needs no training.
    pub(super) fn is_tiny(&self, config: &Config) -> bool {
        self.spec.tasks <= config.tuning.training_tasks
    }

    /// Whether every task has completed.
    pub(super) fn all_done(&self) -> bool {
        self.tasks.done_count() == self.tasks.count()
    }

    /// The counts of done and of running tasks.
    pub(super) fn task_counts(&self) -> TaskCounts {
        TaskCounts {
            done: self.tasks.done_count(),
            running: self.tasks.running_count(),
        }
    }

    /// The number of waiting tasks that the parallelism limit allows to place now.
    pub(super) fn placeable_count(&self) -> usize {
        let limit = self
            .parallelism_limit
            .map_or(usize::MAX, |limit| limit as usize);
        self.tasks
            .waiting_count()
            .min(limit.saturating_sub(self.tasks.placed_count()))
    }

    /// The number of tasks that still have to be started to learn the job's size.
    pub(super) fn training_tasks_left(&self, config: &Config) -> u32 {
        if self.trained || self.is_tiny(config) {
            return 0;
        }
        config
            .tuning
            .training_tasks
            .saturating_sub(self.samples.len() as u32 + self.tasks.placed_count() as u32)
    }

    /// Whether the record of these tasks may be written. A chunk that was split is never
    /// written again.
    pub(super) fn may_write(&self, range: TaskRange) -> bool {
        let is_split = matches!(range, TaskRange::Chunk(chunk) if self.task_ranges.is_split(chunk));
        !self.ending && self.cancelled_at.is_none() && !is_split
    }

    /// The urgency of the job, including what it inherits from its dependents.
    pub(super) fn urgency(&self) -> Urgency {
        Urgency {
            priority: self.priority,
            due: self.due_at,
        }
    }

    pub(super) fn set_urgency(&mut self, urgency: Urgency) {
        self.priority = urgency.priority;
        self.due_at = urgency.due;
    }

    /// Builds the record of a range of tasks.
    pub(super) fn task_record(&self, range: TaskRange) -> TaskRecord {
        self.tasks.record(self.task_ranges.indexes(range))
    }

    /// Iterates over the placements in a range that are not stored, as pairs of task index
    /// and attempt.
    pub(super) fn unstored_placements(&self, range: TaskRange) -> impl Iterator<Item = (u32, u64)> {
        self.tasks
            .unstored_placements(self.task_ranges.indexes(range))
    }

    /// Applies the waiting and done tasks of a stored record. Its placements are applied
    /// separately because they also change machines.
    pub(super) fn apply_task_record(&mut self, record: &TaskRecord) {
        self.tasks.apply_record(record);
        if self.tasks.done_count() > 0 {
            self.failures.record_success();
        }
    }

    /// Adds the run time of a completed training task, in seconds. Sets the job's size once
    /// there are enough samples.
    pub(super) fn add_sample(&mut self, config: &Config, run_time_s: f64) {
        let training_tasks = config.tuning.training_tasks.max(1) as usize;
        self.samples.push(run_time_s);
        if self.samples.len() >= training_tasks.min(self.tasks.count() as usize) {
            let mean_s = self.samples.iter().sum::<f64>() / self.samples.len() as f64;
            self.trained = true;
            self.size = f64::from(self.spec.tasks) * self.spec.cpus * mean_s;
        }
    }
}
