//! The state service: keys with versions, transactions, leases, watches.

use crate::{BodyError, HttpRequest, decode, encode};
pub use rmpv::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The most rows of one page of a listing.
pub const MAX_PAGE_ROWS: u32 = 1000;
/// The bound of a whole transaction, in the JSON form.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "entry_no")]
    pub version: u64,
    #[serde(rename = "loan", default)]
    pub lease: Option<u64>,
}

impl KeyValue {
    /// The row's value as a typed record; None if it is not one.
    pub fn decode_value<T: DeserializeOwned>(&self) -> Option<T> {
        decode_value(&self.value)
    }
}

/// A stored value as a typed record; None if it is not one.
pub fn decode_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // By way of bytes: the typed decoder knows enums in the form in which
    // they were written, the one over values does not.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// A typed record as a value to store: a map with text keys.
pub fn encode_value<T: Serialize>(record: &T) -> Value {
    rmp_serde::to_vec_named(record)
        .ok()
        .and_then(|bytes| rmpv::decode::read_value(&mut bytes.as_slice()).ok())
        .unwrap_or(Value::Nil)
}

/// The size a value has in the JSON form, in which the limits are counted.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Nil | Value::Boolean(true) => 4,
        Value::Boolean(false) => 5,
        Value::Integer(n) => n.to_string().len(),
        Value::F32(x) => x.to_string().len() + 2,
        Value::F64(x) => x.to_string().len() + 2,
        // Anything that JSON would escape counts as the longest escape.
        Value::String(s) => {
            2 + s.as_str().map_or(0, |s| {
                s.chars()
                    .map(|c| match c {
                        ' '..='~' if c != '"' && c != '\\' => 1,
                        _ => 12,
                    })
                    .sum()
            })
        }
        Value::Array(items) => 2 + items.iter().map(|i| json_size(i) + 1).sum::<usize>(),
        Value::Map(items) => {
            2 + items
                .iter()
                .map(|(k, v)| json_size(k) + json_size(v) + 2)
                .sum::<usize>()
        }
        Value::Binary(b) => 2 + 4 * b.len(),
        Value::Ext(_, b) => 2 + 4 * b.len(),
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "entry_no")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "loan", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub compare: Vec<Precondition>,
    #[serde(rename = "then", default, skip_serializing_if = "Vec::is_empty")]
    pub then: Vec<Mutation>,
}

impl Transaction {
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compare.push(Precondition {
            key: key.into(),
            version,
        });
        self
    }

    pub fn put<T: Serialize>(mut self, key: impl Into<String>, record: &T) -> Self {
        self.then.push(Mutation::Put {
            key: key.into(),
            value: encode_value(record),
            lease: None,
        });
        self
    }

    pub fn put_leased<T: Serialize>(mut self, key: &str, record: &T, lease: u64) -> Self {
        self.then.push(Mutation::Put {
            key: key.into(),
            value: encode_value(record),
            lease: Some(lease),
        });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.then.push(Mutation::Delete { key: key.into() });
        self
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RangePage {
    #[serde(rename = "rows")]
    pub rows: Vec<KeyValue>,
    #[serde(rename = "more", default)]
    pub more: bool,
    #[serde(rename = "ledger_no")]
    pub revision: u64,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "entry_no")]
        version: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
        #[serde(rename = "entry_no")]
        version: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchBatch {
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    #[serde(rename = "events", default)]
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: Option<String>,
    },
    Transaction(Transaction),
    GrantLease {
        ttl_ms: u64,
    },
    RenewLease {
        lease: u64,
    },
    RevokeLease {
        lease: u64,
    },
    Watch {
        prefix: String,
        after: u64,
        hold_ms: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    Found(KeyValue),
    /// No such key; the revision at which that was so.
    NotFound {
        revision: u64,
    },
    RangePage(RangePage),
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
        revision: u64,
    },
    Lease {
        lease: u64,
    },
    /// The lease has ended, or is no such lease.
    LeaseExpired,
    LeaseRenewed,
    WatchBatch(WatchBatch),
    /// The watch starts too far back.
    Compacted,
    /// Not executed: over a limit.
    RateLimited,
    /// Not executed: an outage, or this node alone is refused.
    Unavailable,
    /// The request itself was at fault.
    Malformed,
}

#[derive(Deserialize)]
struct Revision {
    #[serde(rename = "ledger_no", default)]
    revision: u64,
}

#[derive(Deserialize)]
struct Failed {
    #[serde(rename = "failed")]
    failed: Vec<String>,
    #[serde(rename = "ledger_no", default)]
    revision: u64,
}

#[derive(Serialize)]
struct Ttl {
    #[serde(rename = "ttl_ms")]
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "loan")]
    lease: u64,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(rename = "error")]
    error: Option<String>,
}

impl StoreRequest {
    /// Method, target and body of the request.
    pub fn to_http(&self) -> HttpRequest {
        let (method, target, body) = match self {
            StoreRequest::Get { key } => ("GET", format!("/kv/{key}"), Vec::new()),
            StoreRequest::List { prefix, after } => {
                let from = after
                    .as_ref()
                    .map_or(String::new(), |a| format!("&from={a}"));
                (
                    "GET",
                    format!("/kv?under={prefix}{from}&most={MAX_PAGE_ROWS}"),
                    Vec::new(),
                )
            }
            StoreRequest::Transaction(txn) => ("POST", "/txn".into(), encode(txn)),
            StoreRequest::GrantLease { ttl_ms } => {
                ("POST", "/holds".into(), encode(&Ttl { ttl_ms: *ttl_ms }))
            }
            StoreRequest::RenewLease { lease } => {
                ("POST", format!("/holds/{lease}/extend"), Vec::new())
            }
            StoreRequest::RevokeLease { lease } => {
                ("DELETE", format!("/holds/{lease}"), Vec::new())
            }
            StoreRequest::Watch {
                prefix,
                after,
                hold_ms,
            } => (
                "GET",
                format!("/changes?under={prefix}&from={after}&hold_ms={hold_ms}"),
                Vec::new(),
            ),
        };
        HttpRequest {
            method,
            target,
            body,
        }
    }

    /// Reads the answer. Nonsense is an error and counts as no answer.
    pub fn parse_response(&self, status: u16, body: &[u8]) -> Result<StoreResponse, BodyError> {
        match (status, self) {
            (429, _) => return Ok(StoreResponse::RateLimited),
            (503, _) => return Ok(StoreResponse::Unavailable),
            (400, StoreRequest::Transaction(_)) => {
                let lease = decode::<ErrorBody>(body)
                    .ok()
                    .and_then(|e| e.error)
                    .is_some_and(|e| e == "no such lease");
                return Ok(if lease {
                    StoreResponse::LeaseExpired
                } else {
                    StoreResponse::Malformed
                });
            }
            (400, _) => return Ok(StoreResponse::Malformed),
            _ => {}
        }
        match (status, self) {
            (200, StoreRequest::Get { .. }) => Ok(StoreResponse::Found(decode(body)?)),
            (404, StoreRequest::Get { .. }) => Ok(StoreResponse::NotFound {
                revision: decode::<Revision>(body)?.revision,
            }),
            (200, StoreRequest::List { .. }) => Ok(StoreResponse::RangePage(decode(body)?)),
            (200, StoreRequest::Transaction(_)) => Ok(StoreResponse::Committed {
                revision: decode::<Revision>(body)?.revision,
            }),
            (409, StoreRequest::Transaction(_)) => {
                let f: Failed = decode(body)?;
                Ok(StoreResponse::Conflict {
                    failed: f.failed,
                    revision: f.revision,
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
            (other, _) => Err(BodyError::Malformed(format!("unexpected status {other}"))),
        }
    }
}
