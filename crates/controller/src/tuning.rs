//! The operator's settings, the `[tuning]` of the settings file.

use dillcleat_wire::settings::one_line;
use serde::Deserialize;

/// The operator's settings; each has a default, and unknown keys are errors.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Training tasks of a job, which show how long its tasks run (`t` in the paper that
    /// the scheduler follows).
    #[serde(rename = "training_tasks")]
    pub training_tasks: u32,
    /// Share of the fleet's CPUs that training tasks may take (`T` in that paper), 0 to 1.
    #[serde(rename = "training_share")]
    pub training_share: f64,
    /// Longest time between two scheduling cycles, in seconds.
    #[serde(rename = "pass_s")]
    pub pass_s: f64,
    /// Shortest time between two scheduling cycles, in seconds. A change causes a cycle,
    /// and on a large fleet there are dozens of changes a second.
    #[serde(rename = "pass_gap_s")]
    pub pass_gap_s: f64,
    /// Estimate of a task's run time before anything is learned, in seconds.
    #[serde(rename = "first_guess_s")]
    pub first_guess_s: f64,
    /// Shortest time-to-live of the leader's lease, in seconds. It is longer while the
    /// store is slow ([`lease_time`](crate::store_latency::lease_time)).
    #[serde(rename = "lead_ttl_s")]
    pub lead_ttl_s: f64,
    /// Idle time after which a machine is deleted (scale-in), in seconds.
    #[serde(rename = "idle_s")]
    pub idle_s: f64,
    /// Usual time of an image fetch, in seconds, for judging what a scale-out would bring.
    #[serde(rename = "fetch_s")]
    pub fetch_s: f64,
    /// How long work may wait for resources that running tasks are about to release before
    /// a machine is started for it, as a multiple of the time that a scale-out takes.
    #[serde(rename = "patience")]
    pub patience: f64,
    /// Replicas per zone for which capacity of on-demand machines is kept free of spot
    /// work, for services that must start sooner than a machine boots.
    #[serde(rename = "reserve_replicas")]
    pub reserve_replicas: u32,
    /// Share of the fleet's CPUs that may be started ahead of need for such services, 0
    /// to 1.
    #[serde(rename = "spare_share")]
    pub spare_share: f64,
    /// Late tasks may start on-demand machines only in classes of which at least this
    /// share, 0 to 1, is to end by some multiple of the deadline.
    #[serde(rename = "late_share")]
    pub late_share: f64,
    /// How long before its deadline a task must start, as a multiple of its expected fetch
    /// and run time; for tasks that will start later on-demand machines may be started.
    #[serde(rename = "late_factor")]
    pub late_factor: f64,
    /// Pause after a scale-out was refused for lack of capacity, in seconds.
    #[serde(rename = "refused_pause_s")]
    pub refused_pause_s: f64,
    /// Waiting time after which one task of a job may run where it otherwise may not: on
    /// capacity kept for services, or on a machine on which it has failed. In seconds;
    /// half of the 90 s for which no job may wait beside a machine that fits, since its
    /// launch and its image take time as well.
    #[serde(rename = "starve_s")]
    pub starve_s: f64,
    /// Share of the fleet, 0 to 1, that one request may delete: a request that is delayed
    /// in the network may be carried out when it is no longer wanted.
    #[serde(rename = "delete_share")]
    pub delete_share: f64,
    /// Time without a response after which a request to the store that a user waits for is
    /// hedged (sent a second time), in seconds; 0 means never.
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

/// Why settings are not accepted.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TuningError {
    /// Not TOML, an unknown key, or a value of the wrong type.
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
        /// The value that was given.
        value: f64,
    },
}

/// The value of a settings key and the values that it may have.
struct RangeCheck {
    key: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl RangeCheck {
    fn run(self) -> Result<(), TuningError> {
        let RangeCheck {
            key,
            value,
            min,
            max,
        } = self;
        // Comparisons with NaN are false, infinities are outside.
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
    /// Reads settings from TOML.
    pub fn parse(text: &str) -> Result<Tuning, TuningError> {
        toml::from_str::<Tuning>(text)?.validated()
    }

    /// Reads settings from a table from which the tables that others read were removed.
    pub fn read(table: toml::Table) -> Result<Tuning, TuningError> {
        table.try_into::<Tuning>()?.validated()
    }

    fn validated(self) -> Result<Tuning, TuningError> {
        for check in self.range_checks() {
            check.run()?;
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
