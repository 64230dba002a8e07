//! The TOML settings file of a controller.

mod error;
mod validation;

pub use error::SettingsError;

use serde::Deserialize;

/// The settings of a controller.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PlatformSettings {
    /// The member name of this controller.
    #[serde(rename = "member")]
    pub member: String,
    /// The zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// The address on which it listens for users, workers and the load balancer, `IP:PORT`.
    #[serde(rename = "client_listen")]
    pub client_listen: String,
    /// The address on which it listens for its peers, `IP:PORT`.
    #[serde(rename = "mesh_addr")]
    pub peer_listen: String,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    /// The addresses of external services.
    #[serde(rename = "endpoints")]
    pub endpoints: Endpoints,
    /// The settings that are common to all controllers of the cluster.
    #[serde(rename = "cluster")]
    pub cluster: Cluster,
}

/// Another controller of the cluster.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Peer {
    /// The member name of the controller.
    #[serde(rename = "member")]
    pub member: String,
    /// The zone of the controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// The address on which it listens for its peers, `IP:PORT`.
    #[serde(rename = "peer_addr")]
    pub peer_addr: String,
}

/// The addresses of the external services that controllers use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoints {
    /// The address of the cloud's API, `IP:PORT`.
    #[serde(rename = "cloud")]
    pub cloud: String,
    /// The address of the key-value store, `IP:PORT`.
    #[serde(rename = "state")]
    pub store: String,
}

/// The settings that are common to all controllers of the cluster.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Cluster {
    /// Number of controllers.
    #[serde(rename = "size")]
    pub size: u32,
    /// The zones that have machines.
    #[serde(rename = "zones")]
    pub zones: Vec<String>,
    /// Maximum error of a controller's wall clock, in milliseconds.
    #[serde(rename = "clock_error_ms")]
    pub clock_error_ms: f64,
    /// The teams and their quotas.
    #[serde(rename = "teams", default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(rename = "objectives", default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of workers.
    #[serde(rename = "workers")]
    pub workers: WorkerTimings,
    /// Limits of the store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud's API.
    #[serde(rename = "cloud")]
    pub cloud: CloudLimits,
    /// Limits on the resources that a controller may use.
    #[serde(rename = "quota")]
    pub quota: Quota,
}

/// A team and its quota. A maximum of 0 means that there is no limit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// The team's name.
    #[serde(rename = "name")]
    pub name: String,
    /// Guaranteed number of CPUs.
    #[serde(rename = "cpus", default)]
    pub cpus: f64,
    /// Maximum number of CPUs that the team's tasks may use at the same time.
    #[serde(rename = "cpus_max", default)]
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(rename = "gpus", default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team's tasks may use at the same time.
    #[serde(rename = "gpus_max", default)]
    pub gpus_max: f64,
}

/// A service-level objective. Its kind determines which fields are used.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// The kind as written in the file. An unknown kind is not an error, so that settings files for
    /// newer versions can be read.
    #[serde(rename = "kind")]
    pub kind: String,
    /// The class of jobs to which the objective applies.
    #[serde(rename = "class")]
    pub class: Option<String>,
    /// For kind `wait`: the time within which a task must start, in seconds.
    #[serde(rename = "within_s")]
    pub within_s: Option<f64>,
    /// For kind `deadline`: the fraction of jobs that must meet the deadline.
    #[serde(rename = "share")]
    pub share: Option<f64>,
    /// For kind `deadline`: the multiple of the deadline by which a job must end.
    #[serde(rename = "times")]
    pub max_multiple: Option<f64>,
}

impl Objective {
    /// Whether scheduling depends on the objective. Controllers log all other objectives at
    /// startup, so that an objective that is ignored by mistake can be noticed.
    pub fn affects_scheduling(&self) -> bool {
        matches!(self.kind.as_str(), "deadline" | "wait") && self.class.is_some()
    }
}

/// Intervals and timeouts of workers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerTimings {
    /// The interval between a worker's heartbeats, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// The duration of a worker's lease, in seconds. A worker that receives no response for this
    /// time ends its tasks.
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    /// The time within which the tasks of a cancelled job must end, in seconds.
    #[serde(rename = "cancel_s")]
    pub cancel_s: f64,
}

/// Limits of the store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreLimits {
    /// Maximum rate of requests per second, for all controllers together.
    #[serde(rename = "rps")]
    pub rps: f64,
    /// Maximum rate of mutations per second, for all controllers together.
    #[serde(rename = "write_rps")]
    pub write_rps: f64,
    /// Maximum size of a value, in units of 1024 bytes.
    #[serde(rename = "value_kb")]
    pub value_kb: f64,
    /// Maximum number of mutations in one transaction.
    #[serde(rename = "txn_ops")]
    pub txn_ops: u32,
    /// Announced changes of the limits, which become effective at an unknown time.
    #[serde(rename = "next", default)]
    pub next: UpcomingLimits,
}

/// Announced changes of the store's limits. Limits that are missing do not change.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct UpcomingLimits {
    /// Maximum rate of requests per second.
    #[serde(rename = "rps")]
    pub rps: Option<f64>,
    /// Maximum rate of mutations per second.
    #[serde(rename = "write_rps")]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in units of 1024 bytes.
    #[serde(rename = "value_kb")]
    pub value_kb: Option<f64>,
    /// Maximum number of mutations in one transaction.
    #[serde(rename = "txn_ops")]
    pub txn_ops: Option<u32>,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudLimits {
    /// Maximum rate of requests per second.
    #[serde(rename = "rps")]
    pub rps: f64,
    /// Maximum staleness of the list of machines, in seconds.
    #[serde(rename = "list_lag_s")]
    pub list_lag_s: f64,
}

/// Limits on the resources that a controller process may use. Not related to the quotas of teams.
///
/// The type's name is part of the text of settings errors.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Quota {
    /// Maximum CPU usage, as a fraction of one CPU.
    #[serde(rename = "cpu_share")]
    pub cpu_share: f64,
    /// Maximum memory, in megabytes.
    #[serde(rename = "mem_mb")]
    pub mem_mb: f64,
    /// Maximum number of open connections.
    #[serde(rename = "max_connections")]
    pub max_connections: u32,
}

impl PlatformSettings {
    /// Parses and validates the text of a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid TOML, a field is missing, or a value is out of
    /// range.
    pub fn parse(text: &str) -> Result<PlatformSettings, SettingsError> {
        let settings: PlatformSettings = toml::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }
}

/// Joins the lines of a parser's message into a single line.
pub fn one_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
