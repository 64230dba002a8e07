//! The requests to the store, and how they go over HTTP.

use super::lease::LeaseId;
use super::transaction::Transaction;
use crate::{HttpRequest, encode};
use serde::Serialize;

/// The most rows of one page of a listing.
pub const MAX_PAGE_ROWS: u32 = 1000;

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads one page of the keys below a prefix, in their order.
    List {
        /// What the keys begin with.
        prefix: String,
        /// The last key of the page before; None for the first page.
        after: Option<String>,
    },
    /// Compare-and-swap.
    Transaction(Transaction),
    /// Grants a lease.
    GrantLease {
        /// How long the lease lasts unless it is renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Lets a lease last for its time to live again.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease, and with it the keys that it holds.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes below a prefix.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// The revision after which changes are wanted.
        after: u64,
        /// How long the store may hold the request until there is a change, in milliseconds.
        hold_ms: u64,
    },
}

#[derive(Serialize)]
struct GrantLeaseBody {
    #[serde(rename = "ttl_ms")]
    ttl_ms: u64,
}

impl StoreRequest {
    /// The request as it goes over HTTP.
    pub fn to_http(&self) -> HttpRequest {
        match self {
            StoreRequest::Get { key } => HttpRequest::get(format!("/kv/{key}")),
            StoreRequest::List { prefix, after } => {
                let from = after
                    .as_ref()
                    .map_or(String::new(), |key| format!("&from={key}"));
                HttpRequest::get(format!("/kv?under={prefix}{from}&most={MAX_PAGE_ROWS}"))
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
