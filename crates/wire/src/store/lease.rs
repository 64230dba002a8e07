//! Lease ids.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The id that the store assigns to a lease. A separate type prevents confusion with versions,
/// revisions and durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
