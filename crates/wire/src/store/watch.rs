//! What a watch of a key prefix brings.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// One change seen by a watch.
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
    /// A key was deleted, by a transaction or by the end of its lease.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// The revision at which it was deleted.
        #[serde(rename = "entry_no")]
        version: u64,
    },
}

/// The changes that one watch request brought, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// The revision up to which there are no other changes: the next request starts here.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    /// The changes; empty if nothing changed while the request was held.
    #[serde(rename = "events", default)]
    pub events: Vec<WatchEvent>,
}
