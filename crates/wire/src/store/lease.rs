//! What a lease is known by.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number that the store gives a lease. A type of its own, so that it is not mixed up
/// with a version, a revision or a duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
