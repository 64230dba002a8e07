//! The store protocol: a consensus-backed key-value store with versions, compare-and-swap
//! transactions, leases and watches.

mod lease;
mod request;
mod response;
mod transaction;
mod value;
mod watch;

pub use lease::LeaseId;
pub use request::{MAX_KEYS_PER_PAGE, StoreRequest};
pub use response::{RangePage, StoreResponse};
pub use rmpv::Value;
pub use transaction::{MAX_TRANSACTION_BYTES, Mutation, Precondition, Transaction};
pub use value::{KeyValue, decode_value, encode_value, json_size};
pub use watch::{WatchBatch, WatchEvent};
