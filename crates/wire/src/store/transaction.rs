//! Compare-and-swap: mutations that are carried out only if some keys are unchanged.

use super::lease::LeaseId;
use super::value::encode_value;
use rmpv::Value;
use serde::{Deserialize, Serialize};

/// The bound of a whole transaction, in bytes of the JSON form.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// A key that must have a version for the transaction to be carried out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The version that it must have; 0 if there must be no such key.
    #[serde(rename = "entry_no")]
    pub version: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a key, whether or not there is one.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// What is stored under it.
        #[serde(rename = "v")]
        value: Value,
        /// The lease with which the key is to end, if any.
        #[serde(rename = "loan", default, skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Mutations that are carried out all together, or not at all if a precondition fails.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "when")]
    pub compare: Vec<Precondition>,
    /// What is then written.
    #[serde(rename = "then", default, skip_serializing_if = "Vec::is_empty")]
    pub then: Vec<Mutation>,
}

impl Transaction {
    /// Adds the precondition that `key` has this version; 0 if it must not exist.
    #[must_use]
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compare.push(Precondition {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds the writing of a record.
    #[must_use]
    pub fn put<T: Serialize>(self, key: impl Into<String>, record: &T) -> Self {
        self.put_with_lease(key.into(), record, None)
    }

    /// Adds the writing of a record that ends with a lease.
    #[must_use]
    pub fn put_leased<T: Serialize>(self, key: &str, record: &T, lease: LeaseId) -> Self {
        self.put_with_lease(key.into(), record, Some(lease))
    }

    /// Adds the deletion of a key.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.then.push(Mutation::Delete { key: key.into() });
        self
    }

    fn put_with_lease<T: Serialize>(
        mut self,
        key: String,
        record: &T,
        lease: Option<LeaseId>,
    ) -> Self {
        self.then.push(Mutation::Put {
            key,
            value: encode_value(record),
            lease,
        });
        self
    }
}
