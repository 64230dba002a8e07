//! Compare-and-swap transactions: mutations that are carried out only if given keys have not
//! changed.

use super::lease::LeaseId;
use super::value::encode_value;
use rmpv::Value;
use serde::{Deserialize, Serialize};

/// Maximum size of a transaction, in bytes of its JSON form.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// The version that a key must have for the transaction to be carried out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The required version; 0 if the key must not exist.
    #[serde(rename = "entry_no")]
    pub version: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Creates or overwrites a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease to which the key is attached, if any.
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

/// Mutations that are carried out atomically if all preconditions hold.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// The preconditions.
    #[serde(rename = "when")]
    pub compare: Vec<Precondition>,
    /// The mutations.
    #[serde(rename = "then", default, skip_serializing_if = "Vec::is_empty")]
    pub then: Vec<Mutation>,
}

impl Transaction {
    /// Adds the precondition that `key` has this version, or does not exist if `version` is 0.
    #[must_use]
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compare.push(Precondition {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a mutation that writes a record.
    #[must_use]
    pub fn put<T: Serialize>(self, key: impl Into<String>, record: &T) -> Self {
        self.put_with_lease(key.into(), record, None)
    }

    /// Adds a mutation that writes a record attached to a lease.
    #[must_use]
    pub fn put_leased<T: Serialize>(self, key: &str, record: &T, lease: LeaseId) -> Self {
        self.put_with_lease(key.into(), record, Some(lease))
    }

    /// Adds a mutation that deletes a key.
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
