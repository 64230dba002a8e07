//! The settings file that the platform hands over.

use serde::Deserialize;

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PlatformSettings {
    #[serde(rename = "member")]
    pub member: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "client_listen")]
    pub client_listen: String,
    #[serde(rename = "mesh_addr")]
    pub peer_listen: String,
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    #[serde(rename = "endpoints")]
    pub endpoints: Endpoints,
    #[serde(rename = "cluster")]
    pub cluster: Cluster,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Peer {
    #[serde(rename = "member")]
    pub member: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "peer_addr")]
    pub peer_addr: String,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoints {
    #[serde(rename = "cloud")]
    pub cloud: String,
    #[serde(rename = "state")]
    pub store: String,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Cluster {
    #[serde(rename = "size")]
    pub size: u32,
    #[serde(rename = "zones")]
    pub zones: Vec<String>,
    #[serde(rename = "clock_error_ms")]
    pub clock_error_ms: f64,
    #[serde(rename = "teams", default)]
    pub teams: Vec<Team>,
    #[serde(rename = "objectives", default)]
    pub objectives: Vec<Objective>,
    #[serde(rename = "workers")]
    pub workers: WorkerTimings,
    #[serde(rename = "state")]
    pub state: StoreLimits,
    #[serde(rename = "cloud")]
    pub cloud: CloudLimits,
    #[serde(rename = "quota")]
    pub quota: Quota,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    #[serde(rename = "name")]
    pub name: String,
    #[serde(rename = "cpus", default)]
    pub cpus: f64,
    #[serde(rename = "cpus_max", default)]
    pub cpus_max: f64,
    #[serde(rename = "gpus", default)]
    pub gpus: f64,
    #[serde(rename = "gpus_max", default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    #[serde(rename = "kind")]
    pub kind: String,
    #[serde(rename = "class")]
    pub class: Option<String>,
    #[serde(rename = "within_s")]
    pub within_s: Option<f64>,
    #[serde(rename = "share")]
    pub share: Option<f64>,
    #[serde(rename = "times")]
    pub times: Option<f64>,
}

impl Objective {
    /// Whether decisions follow from it. The others are looked at afterwards
    /// only; which ones is said at the start, so that none is ignored by accident.
    pub fn affects_scheduling(&self) -> bool {
        matches!(self.kind.as_str(), "deadline" | "wait") && self.class.is_some()
    }
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerTimings {
    #[serde(rename = "report_s")]
    pub report_s: f64,
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    #[serde(rename = "cancel_s")]
    pub cancel_s: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreLimits {
    #[serde(rename = "rps")]
    pub rps: f64,
    #[serde(rename = "write_rps")]
    pub write_rps: f64,
    #[serde(rename = "value_kb")]
    pub value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub txn_ops: u32,
    /// The limits from some moment on that nobody tells of.
    #[serde(rename = "next", default)]
    pub next: UpcomingLimits,
}

/// Limits that the state service will have. What is missing stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct UpcomingLimits {
    #[serde(rename = "rps")]
    pub rps: Option<f64>,
    #[serde(rename = "write_rps")]
    pub write_rps: Option<f64>,
    #[serde(rename = "value_kb")]
    pub value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub txn_ops: Option<u32>,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudLimits {
    #[serde(rename = "rps")]
    pub rps: f64,
    #[serde(rename = "list_lag_s")]
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Quota {
    #[serde(rename = "cpu_share")]
    pub cpu_share: f64,
    #[serde(rename = "mem_mb")]
    pub mem_mb: f64,
    #[serde(rename = "max_connections")]
    pub max_connections: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

impl PlatformSettings {
    /// Reads the file's text. Unknown fields are ignored; what is missing or
    /// out of range is named.
    pub fn parse(text: &str) -> Result<PlatformSettings, SettingsError> {
        let p: PlatformSettings =
            toml::from_str(text).map_err(|e| SettingsError(one_line(&e.to_string())))?;
        let c = &p.cluster;
        let checks = [
            ("cluster.workers.report_s", c.workers.report_s, 0.01, 3600.0),
            ("cluster.workers.lease_s", c.workers.lease_s, 0.1, 86400.0),
            ("cluster.workers.cancel_s", c.workers.cancel_s, 0.1, 86400.0),
            ("cluster.clock_error_ms", c.clock_error_ms, 0.0, 3.6e6),
            ("cluster.state.rps", c.state.rps, 1.0, 1e9),
            ("cluster.state.write_rps", c.state.write_rps, 1.0, 1e9),
            ("cluster.state.value_kb", c.state.value_kb, 1.0, 1e6),
            ("cluster.cloud.rps", c.cloud.rps, 0.01, 1e9),
            ("cluster.cloud.list_lag_s", c.cloud.list_lag_s, 0.0, 86400.0),
            ("cluster.quota.mem_mb", c.quota.mem_mb, 8.0, 1e9),
        ];
        for (key, v, low, high) in checks {
            if !v.is_finite() || v < low || v > high {
                return Err(SettingsError(format!(
                    "{key}: must be from {low} to {high}, is {v}"
                )));
            }
        }
        let next = &c.state.next;
        for (key, v) in [
            ("cluster.state.next.rps", next.rps),
            ("cluster.state.next.write_rps", next.write_rps),
            ("cluster.state.next.value_kb", next.value_kb),
        ] {
            if let Some(v) = v.filter(|v| !(1.0..=1e9).contains(v)) {
                return Err(SettingsError(format!(
                    "{key}: must be from 1 to {}, is {v}",
                    1e9
                )));
            }
        }
        for (key, ops) in [
            ("cluster.state.txn_ops", Some(c.state.txn_ops)),
            ("cluster.state.next.txn_ops", next.txn_ops),
        ] {
            if let Some(ops) = ops.filter(|ops| *ops < 8) {
                return Err(SettingsError(format!(
                    "{key}: must be at least 8, is {ops}"
                )));
            }
        }
        if c.quota.max_connections < 32 {
            return Err(SettingsError(format!(
                "cluster.quota.max_connections: must be at least 32, is {}",
                c.quota.max_connections
            )));
        }
        if c.workers.cancel_s <= c.workers.lease_s {
            return Err(SettingsError(
                "cluster.workers.cancel_s: must be above lease_s".into(),
            ));
        }
        for team in &c.teams {
            for (key, v) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !v.is_finite() || v < 0.0 {
                    return Err(SettingsError(format!(
                        "cluster.teams.{}.{key}: must not be negative, is {v}",
                        team.name
                    )));
                }
            }
        }
        for (key, addr) in [
            ("client_listen", &p.client_listen),
            ("mesh_addr", &p.peer_listen),
            ("endpoints.cloud", &p.endpoints.cloud),
            ("endpoints.state", &p.endpoints.store),
        ]
        .into_iter()
        .chain(p.peers.iter().map(|s| ("siblings.peer_addr", &s.peer_addr)))
        {
            if addr.parse::<std::net::SocketAddr>().is_err() {
                return Err(SettingsError(format!(
                    "{key}: must be IP:PORT, is {addr:?}"
                )));
            }
        }
        Ok(p)
    }
}

/// A parser's message folded into one line.
pub fn one_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
