//! The states of a job's tasks.
//!
//! The memory use depends on the tasks that are placed or were placed before, not on the size of
//! the job: an array may have 100,000 tasks, of which only a few are placed at a time. Tasks
//! that are waiting or done take a bit each at most.

use crate::records::{DoneTasks, PlacedTask, TaskRecord, WaitingTask};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;

/// The placement of a task's latest attempt.
#[derive(Debug, Clone)]
pub(super) struct Placement {
    /// The number of the attempt, from 1.
    pub attempt: u64,
    pub machine: Rc<str>,
    /// The incarnation of the machine's worker at the time of the placement.
    pub incarnation: u64,
    /// Whether the placement is stored. The task is not launched before it is.
    pub stored: bool,
}

/// The latest attempts of waiting tasks that were placed before. A task in none of the sets has
/// never been placed. Most of these tasks have had one or two attempts, so there are few sets.
#[derive(Debug, Default)]
struct EarlierAttempts(BTreeMap<u64, RoaringBitmap>);

impl EarlierAttempts {
    /// The latest attempt of a task; 0 if there was none.
    fn get(&self, index: u32) -> u64 {
        let mut attempts = self.0.iter();
        let found = attempts.find(|(_, tasks)| tasks.contains(index));
        found.map_or(0, |(attempt, _)| *attempt)
    }

    fn set(&mut self, index: u32, attempt: u64) {
        self.take(index);
        if attempt > 0 {
            self.0.entry(attempt).or_default().insert(index);
        }
    }

    /// Removes a task and returns its latest attempt; 0 if there was none.
    fn take(&mut self, index: u32) -> u64 {
        let attempt = self.get(index);
        if let Some(tasks) = self.0.get_mut(&attempt) {
            tasks.remove(index);
            if tasks.is_empty() {
                self.0.remove(&attempt);
            }
        }
        attempt
    }
}

/// The states of a job's tasks: each is waiting, placed or done.
///
/// A task is placed while it is, or may be, on a machine. It leaves this state only when the
/// attempt is proved to have ended or not to have been launched.
#[derive(Debug)]
pub(super) struct JobTasks {
    count: u32,
    waiting: RoaringBitmap,
    placed: BTreeMap<u32, Placement>,
    done: RoaringBitmap,
    earlier_attempts: EarlierAttempts,
    /// Tasks that a machine has reported as running.
    running: BTreeSet<u32>,
}

impl JobTasks {
    /// The states of `count` tasks that were never placed.
    pub fn new(count: u32) -> JobTasks {
        let mut waiting = RoaringBitmap::new();
        insert_range(&mut waiting, 0..count);
        JobTasks {
            count,
            waiting,
            placed: BTreeMap::new(),
            done: RoaringBitmap::new(),
            earlier_attempts: EarlierAttempts::default(),
            running: BTreeSet::new(),
        }
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn waiting_count(&self) -> usize {
        self.waiting.len() as usize
    }

    pub fn placed_count(&self) -> usize {
        self.placed.len()
    }

    pub fn done_count(&self) -> u32 {
        self.done.len() as u32
    }

    /// The number of tasks that were reported as running.
    pub fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// The placement of a task, if it is placed.
    pub fn placement(&self, index: u32) -> Option<&Placement> {
        self.placed.get(&index)
    }

    /// Iterates over the placed tasks, with their machines.
    pub fn placed(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        let placed = self.placed.iter();
        placed.map(|(index, placement)| (*index, &placement.machine))
    }

    /// Iterates over the tasks that were reported as running, with their machines.
    pub fn running(&self) -> impl Iterator<Item = (u32, &Rc<str>)> {
        self.running.iter().filter_map(|index| {
            let placement = self.placed.get(index)?;
            Some((*index, &placement.machine))
        })
    }

    /// Iterates over the placements of these tasks that are not stored, as pairs of task index
    /// and attempt.
    pub fn unstored_placements(&self, tasks: Range<u32>) -> impl Iterator<Item = (u32, u64)> {
        let placed = self.placed.range(tasks);
        let unstored = placed.filter(|(_, placement)| !placement.stored);
        unstored.map(|(index, placement)| (*index, placement.attempt))
    }

    /// Builds the record of some tasks.
    pub fn record(&self, tasks: Range<u32>) -> TaskRecord {
        let mut record = TaskRecord::default();
        for index in tasks {
            if let Some(placement) = self.placed.get(&index) {
                record.placed.push(placed_task(index, placement));
            } else if self.done.contains(index) {
                match record.done.last_mut() {
                    Some(range) if range.last + 1 == index => range.last = index,
                    _ => record.done.push(DoneTasks {
                        first: index,
                        last: index,
                    }),
                }
            } else {
                let attempt = self.earlier_attempts.get(index);
                if attempt > 0 {
                    record.waiting.push(WaitingTask { index, attempt });
                }
            }
        }
        record
    }

    /// Applies the waiting and done tasks of a stored record, but not its placements.
    pub fn apply_record(&mut self, record: &TaskRecord) {
        for waiting in &record.waiting {
            if waiting.index < self.count {
                self.earlier_attempts.set(waiting.index, waiting.attempt);
            }
        }
        for range in &record.done {
            let done = range.first..range.last.saturating_add(1).min(self.count);
            self.waiting.remove_range(done.clone());
            insert_range(&mut self.done, done);
        }
    }

    /// Applies a stored placement of a task. Returns false if the job has no such task.
    pub fn apply_placement(&mut self, placed: &PlacedTask, machine: &Rc<str>) -> bool {
        if placed.index >= self.count {
            return false;
        }
        self.waiting.remove(placed.index);
        self.done.remove(placed.index);
        self.earlier_attempts.take(placed.index);
        let placement = Placement {
            attempt: placed.attempt,
            machine: machine.clone(),
            incarnation: placed.incarnation,
            stored: true,
        };
        self.placed.insert(placed.index, placement);
        true
    }

    /// Places a new attempt of the first waiting task on a machine; the placement is not
    /// stored yet. Returns the index of the task and the attempt.
    pub fn place_next(&mut self, machine: &Rc<str>, incarnation: u64) -> Option<(u32, u64)> {
        let index = self.waiting.min()?;
        self.waiting.remove(index);
        let attempt = self.earlier_attempts.take(index) + 1;
        let placement = Placement {
            attempt,
            machine: machine.clone(),
            incarnation,
            stored: false,
        };
        self.placed.insert(index, placement);
        Some((index, attempt))
    }

    /// Marks a placement as stored. Returns its machine if the placement is still current.
    pub fn confirm_placement(&mut self, index: u32, attempt: u64) -> Option<Rc<str>> {
        let placement = self.placed.get_mut(&index)?;
        if placement.attempt != attempt {
            return None;
        }
        placement.stored = true;
        Some(placement.machine.clone())
    }

    /// Returns a placed task to waiting. Returns its machine, or `None` if the task was not
    /// placed.
    pub fn revert_placement(&mut self, index: u32) -> Option<Rc<str>> {
        let placement = self.placed.remove(&index)?;
        self.waiting.insert(index);
        self.earlier_attempts.set(index, placement.attempt);
        Some(placement.machine)
    }

    /// Records that a machine has reported a task as running.
    pub fn record_running(&mut self, index: u32) {
        self.running.insert(index);
    }

    /// Resets a task as if it had never been placed. Returns the machine it was placed on.
    pub fn reset(&mut self, index: u32) -> Option<Rc<str>> {
        self.waiting.insert(index);
        self.done.remove(index);
        self.earlier_attempts.take(index);
        let placement = self.placed.remove(&index)?;
        Some(placement.machine)
    }

    /// Returns a task to waiting after its attempt ended without completing.
    pub fn return_to_waiting(&mut self, index: u32, attempt: u64) {
        self.running.remove(&index);
        if self.is_current(index, attempt) {
            self.revert_placement(index);
        }
    }

    /// Marks a task as done after an attempt completed. Returns false if the attempt is not
    /// the current one.
    pub fn complete(&mut self, index: u32, attempt: u64) -> bool {
        self.running.remove(&index);
        if !self.is_current(index, attempt) {
            return false;
        }
        self.placed.remove(&index);
        self.done.insert(index);
        true
    }

    /// Whether this attempt of the task is placed.
    fn is_current(&self, index: u32, attempt: u64) -> bool {
        let placement = self.placed.get(&index);
        placement.is_some_and(|placement| placement.attempt == attempt)
    }
}

/// Inserts a range without run-length compression: a compressed set is not expanded when it is
/// split into so many runs that it takes more memory than a bitmap.
fn insert_range(tasks: &mut RoaringBitmap, range: Range<u32>) {
    tasks.insert_range(range);
    tasks.remove_run_compression();
}

fn placed_task(index: u32, placement: &Placement) -> PlacedTask {
    PlacedTask {
        index,
        attempt: placement.attempt,
        machine: placement.machine.to_string(),
        incarnation: placement.incarnation,
    }
}
