//! Requests to the store and their HTTP encoding.

use super::lease::LeaseId;
use super::transaction::Transaction;
use crate::{HttpRequest, encode};
use serde::Serialize;

/// Maximum number of keys in one page of a list.
pub const MAX_KEYS_PER_PAGE: u32 = 1000;

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads one page of the keys with a prefix, in key order.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Carries out a compare-and-swap transaction.
    Transaction(Transaction),
    /// Grants a lease.
    GrantLease {
        /// The time after which the lease expires unless it is renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease. It then expires after its time to live unless it is renewed again.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease, which deletes the keys attached to it.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes of keys with a prefix.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// The revision after which changes are returned.
        after: u64,
        /// The time for which the store may hold the request while there is no change, in
        /// milliseconds.
        hold_ms: u64,
    },
}

#[derive(Serialize)]
struct GrantLeaseBody {
    #[serde(rename = "ttl_ms")]
    ttl_ms: u64,
}

impl StoreRequest {
    /// Converts the request to an HTTP request.
    pub fn to_http(&self) -> HttpRequest {
        match self {
            StoreRequest::Get { key } => HttpRequest::get(format!("/kv/{key}")),
            StoreRequest::List { prefix, after } => {
                let from = after
                    .as_ref()
                    .map_or(String::new(), |key| format!("&from={key}"));
                HttpRequest::get(format!("/kv?under={prefix}{from}&most={MAX_KEYS_PER_PAGE}"))
            }
            StoreRequest::Transaction(transaction) => {
                HttpRequest::post("/txn", encode(transaction))
            }
            StoreRequest::GrantLease { ttl_ms } => {
                HttpRequest::post("/holds", encode(&GrantLeaseBody { ttl_ms: *ttl_ms }))
            }
            StoreRequest::RenewLease { lease } => {
                HttpRequest::post(format!("/holds/{lease}/extend"), Vec::new())
            }
            StoreRequest::RevokeLease { lease } => HttpRequest::delete(format!("/holds/{lease}")),
            StoreRequest::Watch {
                prefix,
                after,
                hold_ms,
            } => HttpRequest::get(format!(
                "/changes?under={prefix}&from={after}&hold_ms={hold_ms}"
            )),
        }
    }
}
