//! The leader's state of an open job and its tasks.

use super::task_ranges::TaskRanges;
use super::urgency::Urgency;
use crate::failure_attribution::JobFailures;
use crate::progress::TaskCounts;
use crate::records::{
    DoneTasks, JobStateRecord, OpenJob, PlacedTask, RecordedState, TaskRange, TaskRecord,
    WaitingTask,
};
use crate::sched::PlacementRequirements;
use crate::{Config, Micros};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The placement state of a task.
#[derive(Debug, Clone)]
pub(super) enum TaskState {
    /// The task is not on any machine and has to be placed.
    Waiting,
    /// The task is, or may be, on a machine. It leaves this state only when the attempt is
    /// proved to have ended or not to have been launched.
    Placed {
        machine: Rc<str>,
        /// The incarnation of the machine's worker at the time of the placement.
        incarnation: u64,
        /// Whether the placement is stored. The task is not launched before it is.
        stored: bool,
    },
    /// The task has completed.
    Done,
}

/// One task of a job.
#[derive(Debug, Clone)]
pub(super) struct Task {
    /// The number of the latest attempt; 0 before the first.
    pub attempt: u64,
    pub state: TaskState,
}

/// An open job.
///
/// `waiting` holds exactly the indexes of the tasks in [`TaskState::Waiting`], and
/// `done` counts those in [`TaskState::Done`].
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
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    done: u32,
    /// Tasks that a machine has reported as running.
    running: BTreeSet<u32>,
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
        let never_placed = Task {
            attempt: 0,
            state: TaskState::Waiting,
        };
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
            tasks: vec![never_placed; task_count as usize],
            waiting: (0..task_count).collect(),
            done: 0,
            running: BTreeSet::new(),
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
        self.done as usize == self.tasks.len()
    }

    pub(super) fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Iterates over the tasks that were reported as running, with their machines.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        let running = self.running.iter();
        running.filter_map(|index| match &self.tasks[*index as usize].state {
            TaskState::Placed { machine, .. } => Some((*index, machine)),
            _ => None,
        })
    }

    /// The counts of done and of running tasks.
    pub(super) fn task_counts(&self) -> TaskCounts {
        TaskCounts {
            done: self.done,
            running: self.running.len() as u32,
        }
    }

    pub(super) fn placed_count(&self) -> usize {
        self.tasks.len() - self.waiting.len() - self.done as usize
    }

    /// The number of waiting tasks that the parallelism limit allows to place now.
    pub(super) fn placeable_count(&self) -> usize {
        let limit = self
            .parallelism_limit
            .map_or(usize::MAX, |limit| limit as usize);
        self.waiting
            .len()
            .min(limit.saturating_sub(self.placed_count()))
    }

    /// Iterates over the placed tasks, with their machines.
    pub(super) fn placed_tasks(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(index, task)| match &task.state {
            TaskState::Placed { machine, .. } => Some((index as u32, machine)),
            _ => None,
        })
    }

    /// The number of tasks that still have to be started to learn the job's size.
    pub(super) fn training_tasks_left(&self, config: &Config) -> u32 {
        if self.trained || self.is_tiny(config) {
            return 0;
        }
        config
            .tuning
            .training_tasks
            .saturating_sub(self.samples.len() as u32 + self.placed_count() as u32)
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
    pub(super) fn task_chunk(&self, range: TaskRange) -> TaskRecord {
        let mut chunk = TaskRecord::default();
        for index in self.task_ranges.indexes(range) {
            let task = &self.tasks[index as usize];
            let attempt = task.attempt;
            match &task.state {
                TaskState::Waiting if attempt > 0 => {
                    chunk.waiting.push(WaitingTask { index, attempt });
                }
                TaskState::Waiting => {}
                TaskState::Placed {
                    machine,
                    incarnation,
                    ..
                } => chunk.placed.push(PlacedTask {
                    index,
                    attempt,
                    machine: machine.to_string(),
                    incarnation: *incarnation,
                }),
                TaskState::Done => match chunk.done.last_mut() {
                    Some(range) if range.last + 1 == index => range.last = index,
                    _ => chunk.done.push(DoneTasks {
                        first: index,
                        last: index,
                    }),
                },
            }
        }
        chunk
    }

    /// Iterates over the placements in a range that are not stored, as pairs of task index
    /// and attempt.
    pub(super) fn unstored_placements(&self, range: TaskRange) -> impl Iterator<Item = (u32, u64)> {
        self.task_ranges.indexes(range).filter_map(|index| {
            let task = &self.tasks[index as usize];
            let unstored = matches!(task.state, TaskState::Placed { stored: false, .. });
            unstored.then_some((index, task.attempt))
        })
    }

    /// Applies the waiting and done tasks of a stored record. Its placements are applied
    /// separately because they also change machines.
    pub(super) fn apply_chunk(&mut self, chunk: &TaskRecord) {
        let task_count = self.tasks.len() as u32;
        for waiting in &chunk.waiting {
            if let Some(task) = self.tasks.get_mut(waiting.index as usize) {
                task.attempt = waiting.attempt;
            }
        }
        for range in &chunk.done {
            for index in range.first..=range.last.min(task_count.saturating_sub(1)) {
                self.tasks[index as usize].state = TaskState::Done;
                self.waiting.remove(&index);
                self.done += 1;
            }
        }
        if self.done > 0 {
            self.failures.record_success();
        }
    }

    /// Places a new attempt of the first waiting task on a machine; the placement is not
    /// stored yet. Returns the index of the task and the attempt.
    pub(super) fn place_next(&mut self, machine: &Rc<str>, incarnation: u64) -> Option<(u32, u64)> {
        let index = self.waiting.pop_first()?;
        let task = &mut self.tasks[index as usize];
        task.attempt += 1;
        task.state = TaskState::Placed {
            machine: machine.clone(),
            incarnation,
            stored: false,
        };
        Some((index, task.attempt))
    }

    /// Applies a stored placement of a task. Returns false if the job has no such task.
    pub(super) fn apply_placement(&mut self, placed: &PlacedTask, machine: &Rc<str>) -> bool {
        let Some(task) = self.tasks.get_mut(placed.index as usize) else {
            return false;
        };
        task.attempt = placed.attempt;
        task.state = TaskState::Placed {
            machine: machine.clone(),
            incarnation: placed.incarnation,
            stored: true,
        };
        self.waiting.remove(&placed.index);
        true
    }

    /// Marks a placement as stored. Returns its machine if the placement is still current.
    pub(super) fn confirm_placement(&mut self, index: u32, attempt: u64) -> Option<Rc<str>> {
        let task = &mut self.tasks[index as usize];
        match &mut task.state {
            TaskState::Placed {
                machine, stored, ..
            } if task.attempt == attempt => {
                *stored = true;
                Some(machine.clone())
            }
            _ => None,
        }
    }

    /// Returns a placed task to waiting. Returns its machine, or `None` if the task was not
    /// placed.
    pub(super) fn revert_placement(&mut self, index: u32) -> Option<Rc<str>> {
        let task = &mut self.tasks[index as usize];
        let TaskState::Placed { machine, .. } = &task.state else {
            return None;
        };
        let machine = machine.clone();
        task.state = TaskState::Waiting;
        self.waiting.insert(index);
        Some(machine)
    }

    /// Records that a machine has reported a task as running.
    pub(super) fn record_running(&mut self, index: u32) {
        self.running.insert(index);
    }

    /// Resets a task as if it had never been placed. Returns the machine it was placed on.
    pub(super) fn reset_task(&mut self, index: u32) -> Option<Rc<str>> {
        let task = &mut self.tasks[index as usize];
        let before = std::mem::replace(&mut task.state, TaskState::Waiting);
        task.attempt = 0;
        self.waiting.insert(index);
        match before {
            TaskState::Placed { machine, .. } => return Some(machine),
            TaskState::Done => self.done -= 1,
            TaskState::Waiting => {}
        }
        None
    }

    /// Returns a task to waiting after its attempt ended without completing.
    pub(super) fn return_to_waiting(&mut self, index: u32, attempt: u64) {
        self.running.remove(&index);
        let task = &mut self.tasks[index as usize];
        if task.attempt == attempt && matches!(task.state, TaskState::Placed { .. }) {
            task.state = TaskState::Waiting;
            self.waiting.insert(index);
        }
    }

    /// Marks a task as done after an attempt completed. Returns false if the attempt is not
    /// the current one.
    pub(super) fn complete_task(&mut self, index: u32, attempt: u64) -> bool {
        self.running.remove(&index);
        let task = &mut self.tasks[index as usize];
        if task.attempt != attempt || !matches!(task.state, TaskState::Placed { .. }) {
            return false;
        }
        task.state = TaskState::Done;
        self.done += 1;
        true
    }

    /// Adds the run time of a completed training task, in seconds. Sets the job's size once
    /// there are enough samples.
    pub(super) fn add_sample(&mut self, config: &Config, run_time_s: f64) {
        let training_tasks = config.tuning.training_tasks.max(1) as usize;
        self.samples.push(run_time_s);
        if self.samples.len() >= training_tasks.min(self.tasks.len()) {
            let mean_s = self.samples.iter().sum::<f64>() / self.samples.len() as f64;
            self.trained = true;
            self.size = f64::from(self.spec.tasks) * self.spec.cpus * mean_s;
        }
    }
}
