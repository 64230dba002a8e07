//! Errors in a settings file.

use super::one_line;

/// The reason why a settings file is rejected. Validation errors begin with the invalid key.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid TOML, or a field is missing or has the wrong type.
    #[error("{}", one_line(&.0.to_string()))]
    Syntax(#[from] toml::de::Error),
    /// A number is outside its range.
    #[error("{key}: must be from {min} to {max}, is {value}")]
    OutOfRange {
        /// The invalid key.
        key: &'static str,
        /// The minimum allowed value.
        min: f64,
        /// The maximum allowed value.
        max: f64,
        /// The invalid value.
        value: f64,
    },
    /// A count is below its minimum.
    #[error("{key}: must be at least {min}, is {value}")]
    BelowMinimum {
        /// The invalid key.
        key: &'static str,
        /// The minimum allowed value.
        min: u32,
        /// The invalid value.
        value: u32,
    },
    /// `cancel_s` does not exceed `lease_s`. A worker that receives no commands ends its tasks when
    /// its lease expires, which must be within the time limit for cancellation.
    #[error("cluster.workers.cancel_s: must be above lease_s")]
    CancelNotAboveLease,
    /// A team's quota is negative, infinite or NaN.
    #[error("cluster.teams.{team}.{key}: must not be negative, is {value}")]
    InvalidTeamQuota {
        /// The team's name.
        team: String,
        /// The invalid key.
        key: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// An address is not an IP address and a port.
    #[error("{key}: must be IP:PORT, is {address:?}")]
    InvalidAddress {
        /// The invalid key.
        key: &'static str,
        /// The invalid value.
        address: String,
    },
}
