//! Which record of the store tells of which tasks of a job.

use crate::records::TaskRange;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// A job's tasks in chunks, as they were cut when it was submitted. A chunk that has
/// become too large for the state service is never written again: what changes in it
/// goes to smaller parts, each of which stands above the chunk for its tasks. Every
/// task so has one record that tells of it, and no two records need to change at once,
/// be the leader ended between any two writes.
#[derive(Debug)]
pub(super) struct TaskRanges {
    tasks: u32,
    chunk_tasks: u32,
    part_tasks: u32,
    /// The version of each chunk, 0 if it is not stored.
    chunks: Vec<u64>,
    /// Chunks that are not written any more.
    split: BTreeSet<u32>,
    /// Stored parts: first task, to last task and version.
    parts: BTreeMap<u32, (u32, u64)>,
}

impl TaskRanges {
    pub fn new(tasks: u32, chunk_tasks: u32, part_tasks: u32) -> TaskRanges {
        let chunk_tasks = chunk_tasks.max(1);
        TaskRanges {
            tasks,
            chunk_tasks,
            part_tasks: part_tasks.max(1),
            chunks: vec![0; tasks.div_ceil(chunk_tasks) as usize],
            split: BTreeSet::new(),
            parts: BTreeMap::new(),
        }
    }

    fn chunk(&self, chunk: u32) -> Range<u32> {
        let from = chunk.saturating_mul(self.chunk_tasks).min(self.tasks);
        from..from.saturating_add(self.chunk_tasks).min(self.tasks)
    }

    /// The tasks of a span.
    pub fn range(&self, span: TaskRange) -> Range<u32> {
        match span {
            TaskRange::Chunk(chunk) => self.chunk(chunk),
            TaskRange::Part { from, to, .. } => {
                from.min(self.tasks)..to.saturating_add(1).min(self.tasks)
            }
        }
    }

    /// The span whose record a change of the task is written to.
    pub fn of(&self, task: u32) -> TaskRange {
        let chunk = task / self.chunk_tasks;
        if !self.split.contains(&chunk) {
            return TaskRange::Chunk(chunk);
        }
        let before = self.parts.range(..=task).next_back();
        if let Some((&from, &(to, _))) = before.filter(|(_, (to, _))| *to >= task) {
            return TaskRange::Part { chunk, from, to };
        }
        // A new part, which leaves to those beside it what is theirs: they may be of
        // another size, stored under other settings.
        let all = self.chunk(chunk);
        let mut from = all.start + (task - all.start) / self.part_tasks * self.part_tasks;
        let mut to = (from + self.part_tasks).min(all.end) - 1;
        if let Some((_, (last, _))) = before {
            from = from.max(last + 1);
        }
        if let Some((first, _)) = self.parts.range(task + 1..).next() {
            to = to.min(first - 1);
        }
        TaskRange::Part { chunk, from, to }
    }

    /// From now on the chunk is written in parts. Returns those that cover it.
    pub fn split(&mut self, chunk: u32) -> Vec<TaskRange> {
        self.split.insert(chunk);
        let all = self.chunk(chunk);
        let mut parts = Vec::new();
        let mut next = all.start;
        while next < all.end {
            let span = self.of(next);
            next = self.range(span).end.max(next + 1);
            parts.push(span);
        }
        parts
    }

    pub fn is_split(&self, chunk: u32) -> bool {
        self.split.contains(&chunk)
    }

    pub fn version(&self, span: TaskRange) -> u64 {
        match span {
            TaskRange::Chunk(chunk) => self.chunks.get(chunk as usize).copied().unwrap_or(0),
            TaskRange::Part { from, .. } => self.parts.get(&from).map_or(0, |(_, v)| *v),
        }
    }

    /// The span's record is in the store, with this version.
    pub fn set_version(&mut self, span: TaskRange, version: u64) {
        match span {
            TaskRange::Chunk(chunk) => {
                if let Some(v) = self.chunks.get_mut(chunk as usize) {
                    *v = version;
                }
            }
            TaskRange::Part { chunk, from, to } => {
                self.split.insert(chunk);
                self.parts.insert(from, (to, version));
            }
        }
    }

    /// Every span that has a record.
    pub fn stored(&self) -> Vec<TaskRange> {
        let chunks = self.chunks.iter().enumerate().filter(|(_, v)| **v > 0);
        let chunks = chunks.map(|(i, _)| TaskRange::Chunk(i as u32));
        let parts = self.parts.iter().map(|(from, (to, _))| TaskRange::Part {
            chunk: from / self.chunk_tasks,
            from: *from,
            to: *to,
        });
        chunks.chain(parts).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whatever is stored, and by whom: each task has one record to be written to, and
    /// those of a chunk cover it without overlap.
    #[test]
    fn each_task_has_one_record() {
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..300 {
            let tasks = rng.u32(1..300);
            let mut spans = TaskRanges::new(tasks, rng.u32(1..120), rng.u32(1..40));
            let chunk = rng.u32(..tasks) / spans.chunk_tasks;
            // Parts that a leader with other settings has left.
            let other = rng.u32(1..40);
            let all = spans.chunk(chunk);
            for from in all.clone().step_by(other as usize) {
                if rng.u8(..3) == 0 {
                    let to = (from + other).min(all.end) - 1;
                    spans.set_version(TaskRange::Part { chunk, from, to }, 1);
                }
            }
            // What has a part is written in parts by whoever loads it.
            let stored = !spans.stored().is_empty();
            assert_eq!(spans.is_split(chunk), stored);
            assert!(!stored || spans.of(all.start) != TaskRange::Chunk(chunk));
            let parts = spans.split(chunk);
            let covered: Vec<u32> = parts.iter().flat_map(|p| spans.range(*p)).collect();
            assert_eq!(covered, all.clone().collect::<Vec<u32>>());
            for part in &parts {
                assert!(spans.range(*part).all(|task| spans.of(task) == *part));
                spans.set_version(*part, 2);
            }
            // They stay what they are once they are stored.
            assert!(all.clone().all(|task| parts.contains(&spans.of(task))));
            assert_eq!(spans.stored(), parts);
            assert!((0..tasks).all(
                |t| all.contains(&t) || spans.of(t) == TaskRange::Chunk(t / spans.chunk_tasks)
            ));
        }
    }
}
