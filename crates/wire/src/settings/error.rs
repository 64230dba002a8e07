//! What can be wrong with a settings file.

use super::one_line;

/// Why a settings file is refused. The message begins with the key at fault.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not TOML, or a field is missing or of another type.
    #[error("{}", one_line(&.0.to_string()))]
    Syntax(#[from] toml::de::Error),
    /// A number is outside its range.
    #[error("{key}: must be from {min} to {max}, is {value}")]
    OutOfRange {
        /// The key at fault.
        key: &'static str,
        /// The least allowed value.
        min: f64,
        /// The greatest allowed value.
        max: f64,
        /// The value in the file.
        value: f64,
    },
    /// A count is too small to work with.
    #[error("{key}: must be at least {min}, is {value}")]
    BelowMinimum {
        /// The key at fault.
        key: &'static str,
        /// The least allowed value.
        min: u32,
        /// The value in the file.
        value: u32,
    },
    /// A cancelled task could outlive its time limit on a worker that hears nothing.
    #[error("cluster.workers.cancel_s: must be above lease_s")]
    CancelNotAboveLease,
    /// A team's quota is negative or not a number.
    #[error("cluster.teams.{team}.{key}: must not be negative, is {value}")]
    InvalidTeamQuota {
        /// The team's name.
        team: String,
        /// The key at fault.
        key: &'static str,
        /// The value in the file.
        value: f64,
    },
    /// An address is not an IP address and a port.
    #[error("{key}: must be IP:PORT, is {address:?}")]
    InvalidAddress {
        /// The key at fault.
        key: &'static str,
        /// The value in the file.
        address: String,
    },
}
