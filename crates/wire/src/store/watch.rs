//! Events of a watch on a key prefix.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A change of one key, reported by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: Value,
        /// Its new version.
        #[serde(rename = "entry_no")]
        version: u64,
    },
    /// A key was deleted, by a transaction or because its lease ended.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// The revision at which it was deleted.
        #[serde(rename = "entry_no")]
        version: u64,
    },
}

/// The changes returned by one watch request, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// The revision up to which the batch is complete. The next request must start from it.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    /// The changes; empty if there were none before the request timed out.
    #[serde(rename = "events", default)]
    pub events: Vec<WatchEvent>,
}
