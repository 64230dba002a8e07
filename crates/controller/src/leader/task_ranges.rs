//! The division of a job's tasks among stored records.

use crate::records::TaskRange;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

#[cfg(test)]
mod tests;

/// A stored part of a chunk.
#[derive(Debug, Clone, Copy)]
struct StoredPart {
    /// The index of the last task in the part.
    last: u32,
    version: u64,
}

/// The tasks of a job, divided into chunks of the size chosen at submission.
///
/// A chunk that has become too large for the store is split and never written again.
/// Changes are written to smaller parts, each of which overrides the chunk for its tasks. So
/// each task has exactly one authoritative record, and a leader that ends between two
/// writes leaves a consistent state.
#[derive(Debug)]
pub(super) struct TaskRanges {
    task_count: u32,
    tasks_per_chunk: u32,
    tasks_per_part: u32,
    /// The version of each chunk up to the last one that was stored; 0 if it is not stored.
    chunk_versions: Vec<u64>,
    /// Chunks that were split and are no longer written.
    split_chunks: BTreeSet<u32>,
    /// Stored parts, by the index of their first task. They do not overlap.
    parts: BTreeMap<u32, StoredPart>,
}

impl TaskRanges {
    /// Creates the division of a job of which no task record is stored.
    pub fn new(task_count: u32, tasks_per_chunk: u32, tasks_per_part: u32) -> TaskRanges {
        let tasks_per_chunk = tasks_per_chunk.max(1);
        TaskRanges {
            task_count,
            tasks_per_chunk,
            tasks_per_part: tasks_per_part.max(1),
            chunk_versions: Vec::new(),
            split_chunks: BTreeSet::new(),
            parts: BTreeMap::new(),
        }
    }

    /// The indexes of the tasks in a chunk.
    fn chunk_indexes(&self, chunk: u32) -> Range<u32> {
        let first = chunk
            .saturating_mul(self.tasks_per_chunk)
            .min(self.task_count);
        let end = first
            .saturating_add(self.tasks_per_chunk)
            .min(self.task_count);
        first..end
    }

    /// The indexes of the tasks in a range.
    pub fn indexes(&self, range: TaskRange) -> Range<u32> {
        match range {
            TaskRange::Chunk(chunk) => self.chunk_indexes(chunk),
            TaskRange::Part { from, to, .. } => {
                from.min(self.task_count)..to.saturating_add(1).min(self.task_count)
            }
        }
    }

    /// The range to whose record a change of the task is written.
    pub fn range_of(&self, task: u32) -> TaskRange {
        let chunk = task / self.tasks_per_chunk;
        if !self.split_chunks.contains(&chunk) {
            return TaskRange::Chunk(chunk);
        }
        let before = self.parts.range(..=task).next_back();
        match before {
            Some((&from, part)) if part.last >= task => TaskRange::Part {
                chunk,
                from,
                to: part.last,
            },
            _ => self.new_part(chunk, task, before.map(|(_, part)| part.last)),
        }
    }

    /// Returns a new part for a task that is in no stored part. `last_before` is the last
    /// task of the preceding part. The new part is bounded by the neighbouring parts, which
    /// may have been written with another part size.
    fn new_part(&self, chunk: u32, task: u32, last_before: Option<u32>) -> TaskRange {
        let all = self.chunk_indexes(chunk);
        let mut from = all.start + (task - all.start) / self.tasks_per_part * self.tasks_per_part;
        let mut to = (from + self.tasks_per_part).min(all.end) - 1;
        if let Some(last) = last_before {
            from = from.max(last + 1);
        }
        if let Some((next, _)) = self.parts.range(task + 1..).next() {
            to = to.min(next - 1);
        }
        TaskRange::Part { chunk, from, to }
    }

    /// Splits a chunk, which is written in parts from now on. Returns the parts that cover
    /// it.
    pub fn split(&mut self, chunk: u32) -> Vec<TaskRange> {
        self.split_chunks.insert(chunk);
        let all = self.chunk_indexes(chunk);
        let mut parts = Vec::new();
        let mut next = all.start;
        while next < all.end {
            let part = self.range_of(next);
            next = self.indexes(part).end.max(next + 1);
            parts.push(part);
        }
        parts
    }

    /// Whether the chunk was split.
    pub fn is_split(&self, chunk: u32) -> bool {
        self.split_chunks.contains(&chunk)
    }

    /// The version of a range's record; 0 if it is not stored.
    pub fn version(&self, range: TaskRange) -> u64 {
        match range {
            TaskRange::Chunk(chunk) => {
                let version = self.chunk_versions.get(chunk as usize);
                version.copied().unwrap_or(0)
            }
            TaskRange::Part { from, .. } => self.parts.get(&from).map_or(0, |part| part.version),
        }
    }

    /// Records that the range's record is stored with this version.
    pub fn set_version(&mut self, range: TaskRange, version: u64) {
        match range {
            TaskRange::Chunk(chunk) => self.set_chunk_version(chunk, version),
            TaskRange::Part { chunk, from, to } => {
                self.split_chunks.insert(chunk);
                self.parts.insert(from, StoredPart { last: to, version });
            }
        }
    }

    /// Has no effect for a chunk that the job doesn't have.
    fn set_chunk_version(&mut self, chunk: u32, version: u64) {
        if chunk >= self.task_count.div_ceil(self.tasks_per_chunk) {
            return;
        }
        let index = chunk as usize;
        if index >= self.chunk_versions.len() {
            self.chunk_versions.resize(index + 1, 0);
        }
        self.chunk_versions[index] = version;
    }

    /// All ranges that have a stored record.
    pub fn stored_ranges(&self) -> Vec<TaskRange> {
        let versions = self.chunk_versions.iter().enumerate();
        let chunks = versions
            .filter(|(_, version)| **version > 0)
            .map(|(chunk, _)| TaskRange::Chunk(chunk as u32));
        let parts = self.parts.iter().map(|(from, part)| TaskRange::Part {
            chunk: from / self.tasks_per_chunk,
            from: *from,
            to: part.last,
        });
        chunks.chain(parts).collect()
    }
}
