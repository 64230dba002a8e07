//! A batch of writes: one transaction, and what it carries out.

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

/// How long each list of a batch was, to remove what was added since.
#[derive(Debug, Clone, Copy)]
pub struct BatchCheckpoint {
    mutations: usize,
    preconditions: usize,
    placements: usize,
}

/// How large some mutations of a batch are, in bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct MutationSizes {
    /// The size of the largest value in it, in bytes.
    pub largest_value_bytes: usize,
    /// All keys and values, with what the transaction needs around them.
    pub total_bytes: usize,
}

/// A transaction with what is in it.
#[derive(Debug, Clone)]
pub struct WriteBatch {
    transaction: Transaction,
    /// The writes that it carries out.
    pub writes: Vec<PendingWrite>,
    /// The placements that are stored with it.
    pub placements: Vec<NewPlacement>,
    /// An earlier try had no answer, so it may have been applied.
    pub uncertain: bool,
}

impl WriteBatch {
    /// What a mutation takes in a transaction besides its key and value, in bytes.
    const MUTATION_OVERHEAD_BYTES: usize = 64;

    /// An empty batch, which is fenced by the version of the term's record.
    pub fn new(term_version: u64) -> WriteBatch {
        WriteBatch {
            transaction: Transaction::default().compare(records::TERM, term_version),
            writes: Vec::new(),
            placements: Vec::new(),
            uncertain: false,
        }
    }

    /// The transaction that writes the batch.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// How many keys it changes.
    pub fn mutation_count(&self) -> usize {
        self.transaction.then.len()
    }

    /// Requires that a key has a version as it is applied.
    pub fn compare(&mut self, key: impl Into<String>, version: u64) {
        self.edit(|transaction| transaction.compare(key, version));
    }

    /// Requires that a job's state record has a version. Once for each job.
    pub fn compare_job_state(&mut self, job: &str, version: u64) {
        let key = records::job_key(job);
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

    /// How much is in it now.
    pub fn checkpoint(&self) -> BatchCheckpoint {
        BatchCheckpoint {
            mutations: self.transaction.then.len(),
            preconditions: self.transaction.compare.len(),
            placements: self.placements.len(),
        }
    }

    /// Removes what was added since.
    pub fn roll_back(&mut self, checkpoint: BatchCheckpoint) {
        self.transaction.then.truncate(checkpoint.mutations);
        self.transaction.compare.truncate(checkpoint.preconditions);
        self.placements.truncate(checkpoint.placements);
    }

    /// The sizes of the mutations that were added since.
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

    /// A key that it compares and that only its leader writes, if there is one.
    pub fn own_key(&self) -> Option<String> {
        let mut keys = self.transaction.compare.iter().map(|c| &c.key);
        keys.find(|key| key.starts_with(records::TASKS)).cloned()
    }

    /// The version that a key had when the batch was made.
    pub fn compared_version(&self, key: &str) -> u64 {
        let mut preconditions = self.transaction.compare.iter();
        let of_key = preconditions.find(|c| c.key == key);
        of_key.map_or(0, |c| c.version)
    }
}
