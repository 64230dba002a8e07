//! The settings file that the platform hands to each controller, in TOML.

mod error;
mod validation;

pub use error::SettingsError;

use serde::Deserialize;

/// Everything that the platform tells a controller.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PlatformSettings {
    /// This controller's name.
    #[serde(rename = "member")]
    pub member: String,
    /// The zone that it runs in.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where it listens for users, workers and the load balancer, `IP:PORT`.
    #[serde(rename = "client_listen")]
    pub client_listen: String,
    /// Where it listens for its peers, `IP:PORT`.
    #[serde(rename = "mesh_addr")]
    pub peer_listen: String,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    /// The services that it uses.
    #[serde(rename = "endpoints")]
    pub endpoints: Endpoints,
    /// What is the same for all controllers of the cluster.
    #[serde(rename = "cluster")]
    pub cluster: Cluster,
}

/// Another controller of the cluster.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "member")]
    pub member: String,
    /// The zone that it runs in.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where it listens for its peers, `IP:PORT`.
    #[serde(rename = "peer_addr")]
    pub peer_addr: String,
}

/// The services that controllers use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoints {
    /// The cloud, `IP:PORT`.
    #[serde(rename = "cloud")]
    pub cloud: String,
    /// The store, `IP:PORT`.
    #[serde(rename = "state")]
    pub store: String,
}

/// What is the same for all controllers of the cluster.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Cluster {
    /// How many controllers there are.
    #[serde(rename = "size")]
    pub size: u32,
    /// The zones that have machines.
    #[serde(rename = "zones")]
    pub zones: Vec<String>,
    /// How far the wall clock of a controller may be off, in milliseconds.
    #[serde(rename = "clock_error_ms")]
    pub clock_error_ms: f64,
    /// The teams and their quotas.
    #[serde(rename = "teams", default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(rename = "objectives", default)]
    pub objectives: Vec<Objective>,
    /// What workers hold to.
    #[serde(rename = "workers")]
    pub workers: WorkerTimings,
    /// What the store admits.
    #[serde(rename = "state")]
    pub state: StoreLimits,
    /// What the cloud admits.
    #[serde(rename = "cloud")]
    pub cloud: CloudLimits,
    /// What a controller itself may use.
    #[serde(rename = "quota")]
    pub quota: Quota,
}

/// A team and its quota. A limit of 0 means that there is none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// The team's name.
    #[serde(rename = "name")]
    pub name: String,
    /// CPUs that the team is guaranteed.
    #[serde(rename = "cpus", default)]
    pub cpus: f64,
    /// The most CPUs that its tasks may use at once.
    #[serde(rename = "cpus_max", default)]
    pub cpus_max: f64,
    /// GPUs that the team is guaranteed.
    #[serde(rename = "gpus", default)]
    pub gpus: f64,
    /// The most GPUs that its tasks may use at once.
    #[serde(rename = "gpus_max", default)]
    pub gpus_max: f64,
}

/// A service-level objective. Which fields mean something depends on its kind.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// The kind, as the file spells it. A kind that this version does not know is kept for
    /// display, so that a newer settings file can be read.
    #[serde(rename = "kind")]
    pub kind: String,
    /// The class of jobs that it is about.
    #[serde(rename = "class")]
    pub class: Option<String>,
    /// For waits: the time within which a task is to start, in seconds.
    #[serde(rename = "within_s")]
    pub within_s: Option<f64>,
    /// For deadlines: the share of the jobs that are to meet it.
    #[serde(rename = "share")]
    pub share: Option<f64>,
    /// For deadlines: the multiple of the deadline by which a job is to end.
    #[serde(rename = "times")]
    pub times: Option<f64>,
}

impl Objective {
    /// Whether scheduling depends on it. The others are only evaluated afterwards; a
    /// controller logs them at its start, so that none is ignored by accident.
    pub fn affects_scheduling(&self) -> bool {
        matches!(self.kind.as_str(), "deadline" | "wait") && self.class.is_some()
    }
}

/// What workers hold to.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerTimings {
    /// The interval between a worker's heartbeats, in seconds.
    #[serde(rename = "report_s")]
    pub report_s: f64,
    /// How long a worker goes on without an answer before it ends its tasks, in seconds.
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    /// The time within which the tasks of a cancelled job must have ended, in seconds.
    #[serde(rename = "cancel_s")]
    pub cancel_s: f64,
}

/// What the store admits.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreLimits {
    /// Requests a second, of all controllers together.
    #[serde(rename = "rps")]
    pub rps: f64,
    /// Mutations a second, of all controllers together.
    #[serde(rename = "write_rps")]
    pub write_rps: f64,
    /// Size of a value, in units of 1024 bytes.
    #[serde(rename = "value_kb")]
    pub value_kb: f64,
    /// Mutations in one transaction.
    #[serde(rename = "txn_ops")]
    pub txn_ops: u32,
    /// The limits that will hold from some moment on. When it comes is not announced.
    #[serde(rename = "next", default)]
    pub next: UpcomingLimits,
}

/// Limits that the store will have. What is missing stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct UpcomingLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub rps: Option<f64>,
    /// Mutations a second.
    #[serde(rename = "write_rps")]
    pub write_rps: Option<f64>,
    /// Size of a value, in units of 1024 bytes.
    #[serde(rename = "value_kb")]
    pub value_kb: Option<f64>,
    /// Mutations in one transaction.
    #[serde(rename = "txn_ops")]
    pub txn_ops: Option<u32>,
}

/// What the cloud admits.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub rps: f64,
    /// How far the list of machines may lag behind, in seconds.
    #[serde(rename = "list_lag_s")]
    pub list_lag_s: f64,
}

/// What a controller itself may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Quota {
    /// Its share of a CPU.
    #[serde(rename = "cpu_share")]
    pub cpu_share: f64,
    /// Memory, in megabytes.
    #[serde(rename = "mem_mb")]
    pub mem_mb: f64,
    /// Open connections.
    #[serde(rename = "max_connections")]
    pub max_connections: u32,
}

impl PlatformSettings {
    /// Reads and validates the file's text. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// The text is not TOML, something is missing, or something is out of range; the error
    /// names it by its key.
    pub fn parse(text: &str) -> Result<PlatformSettings, SettingsError> {
        let settings: PlatformSettings = toml::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }
}

/// A parser's message folded into one line.
pub fn one_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
