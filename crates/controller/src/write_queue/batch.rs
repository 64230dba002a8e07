//! A batch of writes, which is stored as one transaction.

use super::PendingWrite;
use crate::machines::TaskKey;
use crate::records;
use dillcleat_wire::store::{self, Mutation, Transaction};
use serde::Serialize;

/// A placement that a batch stores.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewPlacement {
    /// The task.
    pub task: TaskKey,
    /// The attempt of the task.
    pub attempt: u64,
}

/// The lengths of a batch's lists at some time, to roll back what was added since.
#[derive(Debug, Clone, Copy)]
pub struct BatchCheckpoint {
    mutations: usize,
    preconditions: usize,
    placements: usize,
}

/// The encoded sizes of some mutations of a batch.
#[derive(Debug, Clone, Copy, Default)]
pub struct MutationSizes {
    /// The size of the largest value.
    pub largest_value_bytes: usize,
    /// The size of all keys and values, including the overhead per mutation.
    pub total_bytes: usize,
}

/// A transaction, and the writes and placements that it stores.
#[derive(Debug, Clone)]
pub struct WriteBatch {
    transaction: Transaction,
    /// The writes that the transaction stores.
    pub writes: Vec<PendingWrite>,
    /// The placements that the transaction stores.
    pub placements: Vec<NewPlacement>,
    /// Whether an earlier attempt had no response, so that it may have been committed.
    pub uncertain: bool,
}

impl WriteBatch {
    /// The size of a mutation in a transaction without its key and value.
    const MUTATION_OVERHEAD_BYTES: usize = 64;

    /// Creates an empty batch that is fenced by the version of the term's record.
    pub fn new(term_version: u64) -> WriteBatch {
        WriteBatch {
            transaction: Transaction::default().compare(records::TERM_KEY, term_version),
            writes: Vec::new(),
            placements: Vec::new(),
            uncertain: false,
        }
    }

    /// The transaction that stores the batch.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// The number of keys that the batch changes.
    pub fn mutation_count(&self) -> usize {
        self.transaction.then.len()
    }

    /// Adds the precondition that a key has this version.
    pub fn compare(&mut self, key: impl Into<String>, version: u64) {
        self.edit(|transaction| transaction.compare(key, version));
    }

    /// Adds the precondition that a job's state record has this version, unless the batch
    /// already has one for the job.
    pub fn compare_job_state(&mut self, job: &str, version: u64) {
        let key = records::job_state_key(job);
        if !self.transaction.compare.iter().any(|c| c.key == key) {
            self.compare(key, version);
        }
    }

    /// Sets a key.
    pub fn put<T: Serialize>(&mut self, key: impl Into<String>, record: &T) {
        self.edit(|transaction| transaction.put(key, record));
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: impl Into<String>) {
        self.edit(|transaction| transaction.delete(key));
    }

    fn edit(&mut self, change: impl FnOnce(Transaction) -> Transaction) {
        self.transaction = change(std::mem::take(&mut self.transaction));
    }

    /// A checkpoint of the batch, for [`roll_back`](Self::roll_back).
    pub fn checkpoint(&self) -> BatchCheckpoint {
        BatchCheckpoint {
            mutations: self.transaction.then.len(),
            preconditions: self.transaction.compare.len(),
            placements: self.placements.len(),
        }
    }

    /// Removes everything that was added since the checkpoint.
    pub fn roll_back(&mut self, checkpoint: BatchCheckpoint) {
        self.transaction.then.truncate(checkpoint.mutations);
        self.transaction.compare.truncate(checkpoint.preconditions);
        self.placements.truncate(checkpoint.placements);
    }

    /// The sizes of the mutations that were added since the checkpoint.
    pub fn sizes_since(&self, checkpoint: BatchCheckpoint) -> MutationSizes {
        let mut sizes = MutationSizes::default();
        for mutation in &self.transaction.then[checkpoint.mutations..] {
            sizes.total_bytes += Self::MUTATION_OVERHEAD_BYTES;
            if let Mutation::Put { key, value, .. } = mutation {
                let value_bytes = store::json_size(value);
                sizes.total_bytes += key.len() + value_bytes;
                sizes.largest_value_bytes = sizes.largest_value_bytes.max(value_bytes);
            }
        }
        sizes
    }

    /// The first compared key that only the leader writes (a task record), if there is one.
    pub fn leader_owned_key(&self) -> Option<String> {
        let mut keys = self.transaction.compare.iter().map(|c| &c.key);
        keys.find(|key| key.starts_with(records::TASKS_PREFIX))
            .cloned()
    }

    /// The version that the batch compares for a key; 0 if it compares none.
    pub fn compared_version(&self, key: &str) -> u64 {
        let mut preconditions = self.transaction.compare.iter();
        let of_key = preconditions.find(|c| c.key == key);
        of_key.map_or(0, |c| c.version)
    }
}
