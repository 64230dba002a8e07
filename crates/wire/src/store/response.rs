//! Responses of the store and their decoding from HTTP.

use super::lease::LeaseId;
use super::request::StoreRequest;
use super::value::KeyValue;
use super::watch::WatchBatch;
use crate::body::is_error_reply;
use crate::{BodyError, decode};
use serde::{Deserialize, Serialize};

/// The store's error text for a transaction that refers to an expired lease.
const NO_SUCH_LEASE: &str = "no such lease";

/// One page of a list of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RangePage {
    /// The keys with their values, in the order of the keys.
    #[serde(rename = "rows")]
    pub rows: Vec<KeyValue>,
    /// Whether there is a next page.
    #[serde(rename = "more", default)]
    pub more: bool,
    /// The revision of the store at which the page was read.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
}

/// A response of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// The requested key with its value.
    Found(KeyValue),
    /// The requested key does not exist.
    NotFound {
        /// The revision at which the key was read.
        revision: u64,
    },
    /// A page of a list.
    RangePage(RangePage),
    /// The transaction was carried out.
    Committed {
        /// The revision of the commit, which is the new version of the keys written.
        revision: u64,
    },
    /// The transaction was not carried out because a precondition failed.
    Conflict {
        /// The keys whose version did not match.
        failed: Vec<String>,
        /// The revision at which the preconditions were checked.
        revision: u64,
    },
    /// A lease was granted.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease has expired or never existed.
    LeaseExpired,
    /// The lease was renewed or, on a revoke request, revoked.
    LeaseRenewedOrRevoked,
    /// The changes reported by a watch.
    WatchBatch(WatchBatch),
    /// The changes since the start revision of the watch are no longer available.
    Compacted,
    /// The request was not carried out because a rate limit was exceeded.
    RateLimited,
    /// The request was not carried out because the store is unavailable, or unavailable to this
    /// controller.
    Unavailable,
    /// The request was not carried out because it is invalid.
    Malformed,
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(rename = "ledger_no", default)]
    revision: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(rename = "failed")]
    failed: Vec<String>,
    #[serde(rename = "ledger_no", default)]
    revision: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "loan")]
    lease: LeaseId,
}

impl StoreRequest {
    /// Decodes the response to this request.
    ///
    /// # Errors
    ///
    /// Returns an error if the protocol does not define such a response to this request. The
    /// caller must treat this like a missing response: the request may have been carried out.
    pub fn parse_response(&self, status: u16, body: &[u8]) -> Result<StoreResponse, BodyError> {
        match (status, self) {
            (429, _) => Ok(StoreResponse::RateLimited),
            (503, _) => Ok(StoreResponse::Unavailable),
            (400, StoreRequest::Transaction(_)) if is_error_reply(body, NO_SUCH_LEASE) => {
                Ok(StoreResponse::LeaseExpired)
            }
            (400, _) => Ok(StoreResponse::Malformed),
            (200, StoreRequest::Get { .. }) => Ok(StoreResponse::Found(decode(body)?)),
            (404, StoreRequest::Get { .. }) => Ok(StoreResponse::NotFound {
                revision: revision(body)?,
            }),
            (200, StoreRequest::List { .. }) => Ok(StoreResponse::RangePage(decode(body)?)),
            (200, StoreRequest::Transaction(_)) => Ok(StoreResponse::Committed {
                revision: revision(body)?,
            }),
            (409, StoreRequest::Transaction(_)) => {
                let conflict: ConflictBody = decode(body)?;
                Ok(StoreResponse::Conflict {
                    failed: conflict.failed,
                    revision: conflict.revision,
                })
            }
            (200, StoreRequest::GrantLease { .. }) => Ok(StoreResponse::Lease {
                lease: decode::<LeaseBody>(body)?.lease,
            }),
            (200, StoreRequest::RenewLease { .. } | StoreRequest::RevokeLease { .. }) => {
                Ok(StoreResponse::LeaseRenewedOrRevoked)
            }
            (404, StoreRequest::RenewLease { .. } | StoreRequest::RevokeLease { .. }) => {
                Ok(StoreResponse::LeaseExpired)
            }
            (200, StoreRequest::Watch { .. }) => Ok(StoreResponse::WatchBatch(decode(body)?)),
            (410, StoreRequest::Watch { .. }) => Ok(StoreResponse::Compacted),
            _ => Err(BodyError::UnexpectedStatus(status)),
        }
    }
}

/// The revision in a response body; 0 if it has none.
fn revision(body: &[u8]) -> Result<u64, BodyError> {
    Ok(decode::<RevisionBody>(body)?.revision)
}
