//! The operator's settings: the `[tuning]` table of the settings file.

use dillcleat_wire::settings::one_line;
use serde::Deserialize;

/// The operator's settings. Each has a default, and unknown keys are rejected.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// The number of training tasks of a job. Their run times are used to estimate the run
    /// time of the job's other tasks.
    #[serde(rename = "training_tasks")]
    pub training_tasks: u32,
    /// The fraction of the fleet's CPUs, 0 to 1, that training tasks may use.
    #[serde(rename = "training_share")]
    pub training_share: f64,
    /// The maximum time between two scheduling cycles, in seconds.
    #[serde(rename = "pass_s")]
    pub pass_s: f64,
    /// The minimum time between two scheduling cycles, in seconds. Changes of the state
    /// trigger a cycle, and a large fleet has many changes per second.
    #[serde(rename = "pass_gap_s")]
    pub pass_gap_s: f64,
    /// The estimated run time of a task for which nothing is known, in seconds.
    #[serde(rename = "first_guess_s")]
    pub first_guess_s: f64,
    /// The minimum time-to-live of the leader's lease, in seconds. The lease is longer while
    /// the store is slow ([`lease_ttl`](crate::store_latency::lease_ttl)).
    #[serde(rename = "lead_ttl_s")]
    pub lead_ttl_s: f64,
    /// The idle time after which a machine is deleted (scale-in), in seconds.
    #[serde(rename = "idle_s")]
    pub idle_s: f64,
    /// The assumed time to fetch an image, regardless of its size, in seconds, for planning
    /// scale-outs and start times.
    #[serde(rename = "fetch_s")]
    pub fetch_s: f64,
    /// How long a task may wait for resources that running tasks will release before a
    /// machine is started for it, as a multiple of the time that a scale-out takes.
    #[serde(rename = "patience")]
    pub patience: f64,
    /// The number of replicas per zone for which capacity on on-demand machines is reserved.
    /// This headroom is for services that must start in less time than a machine boots.
    #[serde(rename = "reserve_replicas")]
    pub reserve_replicas: u32,
    /// The fraction of the fleet's CPUs, 0 to 1, for which machines may be started ahead of
    /// demand to provide that headroom.
    #[serde(rename = "spare_share")]
    pub spare_share: f64,
    /// On-demand machines are started for late tasks only if the deadline objective of their
    /// class requires at least this fraction of the jobs, 0 to 1, to end in time.
    #[serde(rename = "late_share")]
    pub late_share: f64,
    /// How long before its deadline a task must start, as a multiple of its expected fetch
    /// and run time. A task that would start later counts as late.
    #[serde(rename = "late_factor")]
    pub late_factor: f64,
    /// The pause after a scale-out was rejected for lack of capacity, in seconds.
    #[serde(rename = "refused_pause_s")]
    pub refused_pause_s: f64,
    /// The waiting time after which a job is starving, in seconds. One task of a starving job
    /// may be placed on capacity that is reserved for services, or on a machine on which a task
    /// of the job has failed. The default is half of the 90 s for which no job may wait beside a
    /// machine that fits, since its launch and its image download take time as well.
    #[serde(rename = "starve_s")]
    pub starve_s: f64,
    /// The fraction of the fleet, 0 to 1, that one request may delete. It limits the damage
    /// if a delayed request is executed when the deletion is no longer intended.
    #[serde(rename = "delete_share")]
    pub delete_share: f64,
    /// The time without a response after which a user's request to the store is hedged (sent
    /// a second time), in seconds; 0 disables hedging.
    #[serde(rename = "again_s")]
    pub again_s: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            training_tasks: 2,
            training_share: 0.3,
            pass_s: 1.0,
            pass_gap_s: 0.05,
            first_guess_s: 60.0,
            lead_ttl_s: 1.25,
            idle_s: 20.0,
            fetch_s: 4.0,
            patience: 1.0,
            reserve_replicas: 3,
            spare_share: 0.02,
            late_share: 0.95,
            late_factor: 1.5,
            refused_pause_s: 15.0,
            starve_s: 45.0,
            delete_share: 0.02,
            again_s: 0.06,
        }
    }
}

/// Why settings are invalid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TuningError {
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{}", one_line(&.0.to_string()))]
    Malformed(#[from] toml::de::Error),
    /// A value is outside its allowed range.
    #[error("{key}: must be from {min} to {max}, is {value}")]
    OutOfRange {
        /// The key of the setting.
        key: &'static str,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
        /// The invalid value.
        value: f64,
    },
}

/// The value of a settings key and its allowed range.
struct RangeCheck {
    key: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl RangeCheck {
    fn check(self) -> Result<(), TuningError> {
        let RangeCheck {
            key,
            value,
            min,
            max,
        } = self;
        // Comparisons with NaN are false, so NaN is rejected as well.
        if value >= min && value <= max {
            return Ok(());
        }
        Err(TuningError::OutOfRange {
            key,
            min,
            max,
            value,
        })
    }
}

impl Tuning {
    /// Reads settings from the text of a TOML table.
    pub fn parse(text: &str) -> Result<Tuning, TuningError> {
        toml::from_str::<Tuning>(text)?.validated()
    }

    /// Reads settings from a TOML table that contains only the operator's settings.
    pub fn from_table(table: toml::Table) -> Result<Tuning, TuningError> {
        table.try_into::<Tuning>()?.validated()
    }

    fn validated(self) -> Result<Tuning, TuningError> {
        for range_check in self.range_checks() {
            range_check.check()?;
        }
        Ok(self)
    }

    fn range_checks(&self) -> [RangeCheck; 15] {
        let check = |key, value, min, max| RangeCheck {
            key,
            value,
            min,
            max,
        };
        [
            check("training_share", self.training_share, 0.0, 1.0),
            check("pass_s", self.pass_s, 0.02, 60.0),
            check("pass_gap_s", self.pass_gap_s, 0.0, 60.0),
            check("first_guess_s", self.first_guess_s, 0.1, 86400.0),
            check("lead_ttl_s", self.lead_ttl_s, 0.5, 60.0),
            check("idle_s", self.idle_s, 0.0, 86400.0),
            check("fetch_s", self.fetch_s, 0.0, 3600.0),
            check("patience", self.patience, 0.0, 100.0),
            check("spare_share", self.spare_share, 0.0, 1.0),
            check("late_share", self.late_share, 0.0, 1.0),
            check("late_factor", self.late_factor, 0.0, 100.0),
            check("refused_pause_s", self.refused_pause_s, 0.5, 3600.0),
            check("starve_s", self.starve_s, 1.0, 3600.0),
            check("delete_share", self.delete_share, 0.0, 1.0),
            check("again_s", self.again_s, 0.0, 60.0),
        ]
    }
}
