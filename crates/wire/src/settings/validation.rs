//! Validation of the settings. Only the first error in the order of these checks is reported.

use super::{Cluster, PlatformSettings, SettingsError, Team, UpcomingLimits};
use std::net::SocketAddr;

const HOUR_S: f64 = 3600.0;
const HOUR_MS: f64 = 3.6e6;
const DAY_S: f64 = 86400.0;
/// The maximum of numbers for which no lower maximum is defined.
const MAX_NUMBER: f64 = 1e9;
/// The maximum size of a stored value, in units of 1024 bytes.
const MAX_VALUE_KB: f64 = 1e6;
/// The minimum number of mutations per transaction that controllers require.
const MIN_TXN_OPS: u32 = 8;
/// The minimum number of connections that a controller requires.
const MIN_CONNECTIONS: u32 = 32;

impl PlatformSettings {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        self.cluster.validate()?;
        self.validate_addresses()
    }

    fn validate_addresses(&self) -> Result<(), SettingsError> {
        validate_address("client_listen", &self.client_listen)?;
        validate_address("mesh_addr", &self.peer_listen)?;
        validate_address("endpoints.cloud", &self.endpoints.cloud)?;
        validate_address("endpoints.state", &self.endpoints.store)?;
        self.peers
            .iter()
            .try_for_each(|peer| validate_address("siblings.peer_addr", &peer.peer_addr))
    }
}

impl Cluster {
    fn validate(&self) -> Result<(), SettingsError> {
        self.validate_amounts()?;
        self.store.next.validate()?;
        validate_txn_ops("cluster.state.txn_ops", Some(self.store.txn_ops))?;
        validate_txn_ops("cluster.state.next.txn_ops", self.store.next.txn_ops)?;
        validate_minimum(
            "cluster.quota.max_connections",
            self.quota.max_connections,
            MIN_CONNECTIONS,
        )?;
        if self.workers.cancel_s <= self.workers.lease_s {
            return Err(SettingsError::CancelNotAboveLease);
        }
        self.teams.iter().try_for_each(Team::validate)
    }

    fn validate_amounts(&self) -> Result<(), SettingsError> {
        let Cluster {
            workers,
            store,
            cloud,
            quota,
            ..
        } = self;
        for (key, value, min, max) in [
            (
                "cluster.workers.report_s",
                workers.heartbeat_interval_s,
                0.01,
                HOUR_S,
            ),
            ("cluster.workers.lease_s", workers.lease_s, 0.1, DAY_S),
            ("cluster.workers.cancel_s", workers.cancel_s, 0.1, DAY_S),
            ("cluster.clock_error_ms", self.clock_error_ms, 0.0, HOUR_MS),
            ("cluster.state.rps", store.rps, 1.0, MAX_NUMBER),
            ("cluster.state.write_rps", store.write_rps, 1.0, MAX_NUMBER),
            ("cluster.state.value_kb", store.value_kb, 1.0, MAX_VALUE_KB),
            ("cluster.cloud.rps", cloud.rps, 0.01, MAX_NUMBER),
            ("cluster.cloud.list_lag_s", cloud.list_lag_s, 0.0, DAY_S),
            ("cluster.quota.mem_mb", quota.mem_mb, 8.0, MAX_NUMBER),
        ] {
            validate_range(key, value, min, max)?;
        }
        Ok(())
    }
}

impl UpcomingLimits {
    fn validate(&self) -> Result<(), SettingsError> {
        for (key, value) in [
            ("cluster.state.next.rps", self.rps),
            ("cluster.state.next.write_rps", self.write_rps),
            ("cluster.state.next.value_kb", self.value_kb),
        ] {
            if let Some(value) = value {
                validate_range(key, value, 1.0, MAX_NUMBER)?;
            }
        }
        Ok(())
    }
}

impl Team {
    fn validate(&self) -> Result<(), SettingsError> {
        for (key, value) in [
            ("cpus", self.cpus),
            ("cpus_max", self.cpus_max),
            ("gpus", self.gpus),
            ("gpus_max", self.gpus_max),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::InvalidTeamQuota {
                    team: self.name.clone(),
                    key,
                    value,
                });
            }
        }
        Ok(())
    }
}

/// Returns an error if the value is out of range. NaN is out of every range.
fn validate_range(key: &'static str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange {
            key,
            min,
            max,
            value,
        })
    }
}

fn validate_minimum(key: &'static str, value: u32, min: u32) -> Result<(), SettingsError> {
    if value < min {
        return Err(SettingsError::BelowMinimum { key, min, value });
    }
    Ok(())
}

fn validate_txn_ops(key: &'static str, txn_ops: Option<u32>) -> Result<(), SettingsError> {
    txn_ops.map_or(Ok(()), |value| validate_minimum(key, value, MIN_TXN_OPS))
}

fn validate_address(key: &'static str, address: &str) -> Result<(), SettingsError> {
    if address.parse::<SocketAddr>().is_err() {
        return Err(SettingsError::InvalidAddress {
            key,
            address: address.to_string(),
        });
    }
    Ok(())
}
