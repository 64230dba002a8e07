//! The leader's view of one open job and of its tasks.

use super::task_ranges::TaskRanges;
use super::urgency::Urgency;
use crate::failure_attribution::FailureRecord;
use crate::progress::TaskCounts;
use crate::records::{
    DoneTasks, JobStateRecord, OpenJob, PlacedTask, RecordedState, TaskChunk, TaskRange,
    WaitingTask,
};
use crate::sched::ResourceRequest;
use crate::{Config, Micros};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Where a task is in its life.
#[derive(Debug, Clone)]
pub(super) enum TaskPlacement {
    /// It is on no machine and is to be placed.
    Waiting,
    /// It is, or may be, on a machine. Only a proof of its end leaves this state.
    Placed {
        machine: Rc<str>,
        /// The incarnation of the machine's agent that it was placed on.
        incarnation: u64,
        /// Whether the store holds this placement. Nothing is launched before it does.
        stored: bool,
    },
    /// It has completed.
    Done,
}

/// One task of a job.
#[derive(Debug, Clone)]
pub(super) struct Task {
    /// The latest attempt; 0 before the first.
    pub attempt: u64,
    pub state: TaskPlacement,
}

/// An open job.
///
/// `waiting` holds exactly the indexes of the tasks in [`TaskPlacement::Waiting`], and
/// `done` counts those in [`TaskPlacement::Done`].
#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    /// The container image, shared with the indexes that name it.
    pub image: Rc<str>,
    /// Index of its team in the settings; one past the last if the team is not there.
    pub team: usize,
    /// The version of its state record as long as it is open; 0 if it has none.
    state_version: u64,
    /// Time of day of the submission, in microseconds.
    pub submitted_at: Micros,
    /// Time of day since which it waits for resources, in microseconds: its submission,
    /// or when the last job that it depends on was seen to be done.
    pub ready_at: Micros,
    /// It depends on jobs that are not done, and takes no part in scheduling.
    pub blocked_on_dependencies: bool,
    /// The highest priority among its own and those of the jobs that depend on it.
    pub priority: Priority,
    /// Time of day, in microseconds, by which it has to end for the jobs that depend on
    /// it.
    pub due: Option<Micros>,
    /// The most tasks that may be placed at once; None for all.
    parallelism_limit: Option<u32>,
    /// Which stored record holds which tasks.
    pub task_ranges: TaskRanges,
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    done: u32,
    /// Tasks that a machine has reported as running.
    running: BTreeSet<u32>,
    /// When it was cancelled, if it was. Set without `stopped`, its state record is known
    /// to have changed and has yet to be read.
    pub cancelled_at: Option<Micros>,
    /// Its cancellation was read from the store.
    pub cancellation_confirmed: bool,
    /// The record of its end is queued or being written.
    pub ending: bool,
    /// Run times of its training tasks, in seconds.
    pub samples: Vec<f64>,
    /// The estimate of its size (CPU seconds) with which it was submitted.
    pub initial_size: f64,
    /// The initial size, and the final one once it is trained.
    pub size: f64,
    /// What ageing has taken off until `ageing_since`. The virtual size is the size less
    /// all of it, and not below zero.
    pub credit: f64,
    /// The leader's virtual time since which the job ages.
    pub ageing_since: Option<f64>,
    /// Since when it could have had resources for a task and got none, as far as this
    /// leader knows.
    pub waiting_since: Option<Micros>,
    pub resource_request: Rc<ResourceRequest>,
    /// Whether its size is known from training tasks. Services need none.
    pub trained: bool,
    /// Its failures, to attribute them to the job or to machines.
    pub failures: FailureRecord,
    /// No task is placed before this time.
    pub blocked_until: Micros,
    /// The counts of its tasks that were sent to peers last.
    pub replicated_counts: TaskCounts,
}

impl Job {
    /// A job as its description states it, with no task placed yet. `task_run_time_s` is
    /// the expected run time of a task of its class, `tasks_per_part` the number of tasks in a
    /// part of a chunk that no longer fits one value.
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
            state: TaskPlacement::Waiting,
        };
        Job {
            team,
            state_version,
            submitted_at: open.submitted_at_us,
            ready_at: open.submitted_at_us,
            blocked_on_dependencies: false,
            priority: open.spec.priority,
            due: None,
            parallelism_limit: open.parallelism_limit,
            task_ranges: TaskRanges::new(task_count, open.chunk, tasks_per_part),
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
            credit: 0.0,
            ageing_since: None,
            waiting_since: None,
            resource_request: Rc::new(ResourceRequest::of(&open.spec)),
            trained: open.spec.kind == JobKind::Service,
            failures: FailureRecord::default(),
            blocked_until: 0,
            replicated_counts: TaskCounts::NONE,
            image: Rc::from(open.spec.image.as_str()),
            spec: open.spec,
        }
    }

    /// The version of its state record that a write of a placement or of its end compares.
    pub(super) fn state_version(&self) -> u64 {
        self.state_version
    }

    /// The state record that says so of the job.
    pub(super) fn state_record(&self, state: RecordedState) -> JobStateRecord {
        JobStateRecord {
            state,
            task_count: self.spec.tasks,
        }
    }

    /// Whether it has so few tasks that it needs no training.
    pub(super) fn is_tiny(&self, config: &Config) -> bool {
        self.spec.tasks <= config.tuning.training_tasks
    }

    /// Whether every task has completed.
    pub(super) fn all_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// One of its tasks.
    pub(super) fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// How many of its tasks wait.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// The tasks that are reported as running, and the machines of their placements.
    pub(super) fn running_on_machines(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        let running = self.running.iter();
        running.filter_map(|index| match &self.tasks[*index as usize].state {
            TaskPlacement::Placed { machine, .. } => Some((*index, machine)),
            _ => None,
        })
    }

    /// How many of its tasks are done, and how many run.
    pub(super) fn task_counts(&self) -> TaskCounts {
        TaskCounts {
            done: self.done,
            running: self.running.len() as u32,
        }
    }

    /// How many of its tasks are placed.
    pub(super) fn placed_count(&self) -> usize {
        self.tasks.len() - self.waiting.len() - self.done as usize
    }

    /// How many of its waiting tasks may be placed now.
    pub(super) fn placeable_count(&self) -> usize {
        let limit = self
            .parallelism_limit
            .map_or(usize::MAX, |limit| limit as usize);
        self.waiting
            .len()
            .min(limit.saturating_sub(self.placed_count()))
    }

    /// Its tasks that are or may be on machines, and on which.
    pub(super) fn on_machines(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(index, task)| match &task.state {
            TaskPlacement::Placed { machine, .. } => Some((index as u32, machine)),
            _ => None,
        })
    }

    /// How many more tasks have to be started to train its size.
    pub(super) fn training_tasks_left(&self, config: &Config) -> u32 {
        if self.trained || self.is_tiny(config) {
            return 0;
        }
        config
            .tuning
            .training_tasks
            .saturating_sub(self.samples.len() as u32 + self.placed_count() as u32)
    }

    /// Whether the record of these tasks is to be written now. A chunk that was split is
    /// never written again.
    pub(super) fn may_write(&self, range: TaskRange) -> bool {
        let is_split = matches!(range, TaskRange::Chunk(chunk) if self.task_ranges.is_split(chunk));
        !self.ending && self.cancelled_at.is_none() && !is_split
    }

    /// How urgent it is, by itself and by the jobs that depend on it.
    pub(super) fn urgency(&self) -> Urgency {
        Urgency {
            priority: self.priority,
            due: self.due,
        }
    }

    /// Sets how urgent it is.
    pub(super) fn set_urgency(&mut self, urgency: Urgency) {
        self.priority = urgency.priority;
        self.due = urgency.due;
    }

    /// The stored record of some of its tasks.
    pub(super) fn task_chunk(&self, range: TaskRange) -> TaskChunk {
        let mut chunk = TaskChunk::default();
        for index in self.task_ranges.indexes(range) {
            let task = &self.tasks[index as usize];
            let attempt = task.attempt;
            match &task.state {
                TaskPlacement::Waiting if attempt > 0 => {
                    chunk.waiting.push(WaitingTask { index, attempt });
                }
                TaskPlacement::Waiting => {}
                TaskPlacement::Placed {
                    machine,
                    incarnation,
                    ..
                } => chunk.placed.push(PlacedTask {
                    index,
                    attempt,
                    machine: machine.to_string(),
                    incarnation: *incarnation,
                }),
                TaskPlacement::Done => match chunk.done.last_mut() {
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

    /// Placements of some of its tasks that are not stored: task index and attempt.
    pub(super) fn unstored_placements(&self, range: TaskRange) -> impl Iterator<Item = (u32, u64)> {
        self.task_ranges.indexes(range).filter_map(|index| {
            let task = &self.tasks[index as usize];
            let unstored = matches!(task.state, TaskPlacement::Placed { stored: false, .. });
            unstored.then_some((index, task.attempt))
        })
    }

    /// Reads the stored record of some of its tasks, but for its placements: those need
    /// the machines as well.
    pub(super) fn apply_chunk(&mut self, chunk: &TaskChunk) {
        let task_count = self.tasks.len() as u32;
        for waiting in &chunk.waiting {
            if let Some(task) = self.tasks.get_mut(waiting.index as usize) {
                task.attempt = waiting.attempt;
            }
        }
        for range in &chunk.done {
            for index in range.first..=range.last.min(task_count.saturating_sub(1)) {
                self.tasks[index as usize].state = TaskPlacement::Done;
                self.waiting.remove(&index);
                self.done += 1;
            }
        }
        if self.done > 0 {
            self.failures.record_success();
        }
    }

    /// Starts a new attempt of its first waiting task on a machine, which is not stored
    /// yet. Returns the index of the task, and the attempt.
    pub(super) fn place_next(&mut self, machine: &Rc<str>, incarnation: u64) -> Option<(u32, u64)> {
        let index = self.waiting.pop_first()?;
        let task = &mut self.tasks[index as usize];
        task.attempt += 1;
        task.state = TaskPlacement::Placed {
            machine: machine.clone(),
            incarnation,
            stored: false,
        };
        Some((index, task.attempt))
    }

    /// Reads a stored placement of a task. Returns false if the job has no such task.
    pub(super) fn apply_placement(&mut self, placed: &PlacedTask, machine: &Rc<str>) -> bool {
        let Some(task) = self.tasks.get_mut(placed.index as usize) else {
            return false;
        };
        task.attempt = placed.attempt;
        task.state = TaskPlacement::Placed {
            machine: machine.clone(),
            incarnation: placed.incarnation,
            stored: true,
        };
        self.waiting.remove(&placed.index);
        true
    }

    /// A placement is in the store. Returns the machine, if it is the current one of its
    /// task.
    pub(super) fn confirm_placement(&mut self, index: u32, attempt: u64) -> Option<Rc<str>> {
        let task = &mut self.tasks[index as usize];
        match &mut task.state {
            TaskPlacement::Placed {
                machine, stored, ..
            } if task.attempt == attempt => {
                *stored = true;
                Some(machine.clone())
            }
            _ => None,
        }
    }

    /// Reverts the placement of a task, if it has one: the task waits. Returns the machine.
    pub(super) fn revert_placement(&mut self, index: u32) -> Option<Rc<str>> {
        let task = &mut self.tasks[index as usize];
        let TaskPlacement::Placed { machine, .. } = &task.state else {
            return None;
        };
        let machine = machine.clone();
        task.state = TaskPlacement::Waiting;
        self.waiting.insert(index);
        Some(machine)
    }

    /// A machine has reported a task as running.
    pub(super) fn record_running(&mut self, index: u32) {
        self.running.insert(index);
    }

    /// Resets a task to one that was never placed. Returns the machine that it was on.
    pub(super) fn reset_task(&mut self, index: u32) -> Option<Rc<str>> {
        let task = &mut self.tasks[index as usize];
        let before = std::mem::replace(&mut task.state, TaskPlacement::Waiting);
        task.attempt = 0;
        self.waiting.insert(index);
        match before {
            TaskPlacement::Placed { machine, .. } => return Some(machine),
            TaskPlacement::Done => self.done -= 1,
            TaskPlacement::Waiting => {}
        }
        None
    }

    /// A task whose attempt is known to have ended without completing waits again.
    pub(super) fn return_to_waiting(&mut self, index: u32, attempt: u64) {
        self.running.remove(&index);
        let task = &mut self.tasks[index as usize];
        if task.attempt == attempt && matches!(task.state, TaskPlacement::Placed { .. }) {
            task.state = TaskPlacement::Waiting;
            self.waiting.insert(index);
        }
    }

    /// An attempt of a task has completed. Returns false if that is not its current
    /// placement.
    pub(super) fn complete_task(&mut self, index: u32, attempt: u64) -> bool {
        self.running.remove(&index);
        let task = &mut self.tasks[index as usize];
        if task.attempt != attempt || !matches!(task.state, TaskPlacement::Placed { .. }) {
            return false;
        }
        task.state = TaskPlacement::Done;
        self.done += 1;
        true
    }

    /// Adds the run time of a completed training task, in seconds, and fixes the job's
    /// size once there are enough of them.
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
