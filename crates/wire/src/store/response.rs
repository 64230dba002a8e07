//! The store's responses, and how they are read from HTTP.

use super::lease::LeaseId;
use super::request::StoreRequest;
use super::value::KeyValue;
use super::watch::WatchBatch;
use crate::body::is_refusal;
use crate::{BodyError, decode};
use serde::{Deserialize, Serialize};

/// How the store refuses a transaction of which a lease has expired.
const NO_SUCH_LEASE: &str = "no such lease";

/// One page of a listing.
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

/// What the store answered.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// The key that was asked for.
    Found(KeyValue),
    /// There is no such key.
    NotFound {
        /// The revision at which that was so.
        revision: u64,
    },
    /// A page of a listing.
    RangePage(RangePage),
    /// The transaction was carried out.
    Committed {
        /// The revision that it made: the new version of the keys that it wrote.
        revision: u64,
    },
    /// The transaction was not carried out: a precondition failed.
    Conflict {
        /// The keys whose version was another.
        failed: Vec<String>,
        /// The revision at which that was so.
        revision: u64,
    },
    /// A lease was granted.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease has expired, or there never was such a lease.
    LeaseExpired,
    /// The lease was renewed or, as asked for, revoked.
    LeaseRenewed,
    /// What a watch brought.
    WatchBatch(WatchBatch),
    /// The watch starts too far back: the changes since then are no longer known.
    Compacted,
    /// Not carried out: over a rate limit.
    RateLimited,
    /// Not carried out: the store is out, or this node alone is refused.
    Unavailable,
    /// Not carried out: the request itself was at fault.
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
    /// Reads the response to this request.
    ///
    /// # Errors
    ///
    /// The response is not one that the protocol has for this request. That counts as no
    /// response: the request may have been carried out.
    pub fn parse_response(&self, status: u16, body: &[u8]) -> Result<StoreResponse, BodyError> {
        match (status, self) {
            (429, _) => Ok(StoreResponse::RateLimited),
            (503, _) => Ok(StoreResponse::Unavailable),
            (400, StoreRequest::Transaction(_)) if is_refusal(body, NO_SUCH_LEASE) => {
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
                Ok(StoreResponse::LeaseRenewed)
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

/// The revision that a body tells; 0 if it tells none.
fn revision(body: &[u8]) -> Result<u64, BodyError> {
    Ok(decode::<RevisionBody>(body)?.revision)
}
