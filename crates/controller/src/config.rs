//! What the platform and the operator set.

use crate::{Micros, SECOND, micros};
use dillcleat_wire::settings::{PlatformSettings, Team, one_line};
use serde::Deserialize;

/// The operator's own settings; every one has a default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Training tasks of a job (the paper's t).
    #[serde(rename = "training_tasks")]
    pub training_tasks: u32,
    /// Share of the fleet's CPUs that training tasks may take (the paper's T).
    #[serde(rename = "training_share")]
    pub training_share: f64,
    /// Longest time between two scheduling passes, in seconds.
    #[serde(rename = "pass_s")]
    pub pass_s: f64,
    /// Shortest time between two passes, in seconds. A change causes a pass,
    /// and on a large fleet there are dozens a second.
    #[serde(rename = "pass_gap_s")]
    pub pass_gap_s: f64,
    /// First guess of a task's run time, in seconds, before anything is learned.
    #[serde(rename = "first_guess_s")]
    pub first_guess_s: f64,
    /// Shortest time-to-live of the leader's lease, in seconds. It is longer while the
    /// state service is slow (`store_latency::lease_time`).
    #[serde(rename = "lead_ttl_s")]
    pub lead_ttl_s: f64,
    /// Idle time after which a machine is returned, in seconds.
    #[serde(rename = "idle_s")]
    pub idle_s: f64,
    /// Usual time of an image fetch, in seconds, for what a rental would bring.
    #[serde(rename = "fetch_s")]
    pub fetch_s: f64,
    /// How many times as long as a rental would take work may wait for room
    /// that running tasks are about to leave, before a machine is rented for it.
    #[serde(rename = "patience")]
    pub patience: f64,
    /// Replicas per zone for which ordinary room is kept from spot work, for
    /// services that must start sooner than a machine boots.
    #[serde(rename = "reserve_replicas")]
    pub reserve_replicas: u32,
    /// Share of the fleet's CPUs that may be rented ahead for such services.
    #[serde(rename = "spare_share")]
    pub spare_share: f64,
    /// Late tasks rent ordinary machines only in classes of which at least this
    /// share is to end by some multiple of the deadline.
    #[serde(rename = "late_share")]
    pub late_share: f64,
    /// How many times its expected fetch and run time a task must start before
    /// its deadline; what will start later may rent ordinary machines.
    #[serde(rename = "late_factor")]
    pub late_factor: f64,
    /// Pause after a rental was refused for want of machines, in seconds.
    #[serde(rename = "refused_pause_s")]
    pub refused_pause_s: f64,
    /// Time without room after which one task of a job may go where it otherwise may
    /// not: into room kept for services, or to a machine on which it has failed. In
    /// seconds; half of the 90 s that no job may wait beside a machine that fits, since
    /// its launch and its image take time as well.
    #[serde(rename = "starve_s")]
    pub starve_s: f64,
    /// Share of the fleet that one call may delete: a call that is held up on its
    /// way may be carried out when nobody wants it any more.
    #[serde(rename = "delete_share")]
    pub delete_share: f64,
    /// After how long without an answer a call to the state service that a user waits
    /// for is made a second time, in seconds; 0: never.
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

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct TuningError(String);

impl Tuning {
    pub fn parse(text: &str) -> Result<Tuning, TuningError> {
        let t: Tuning = toml::from_str(text).map_err(|e| TuningError(one_line(&e.to_string())))?;
        t.checked()
    }

    /// From a file's table, without the tables that others read.
    pub fn read(table: toml::Table) -> Result<Tuning, TuningError> {
        let t: Tuning = table
            .try_into()
            .map_err(|e: toml::de::Error| TuningError(one_line(&e.to_string())))?;
        t.checked()
    }

    fn checked(self) -> Result<Tuning, TuningError> {
        let t = self;
        for (key, v, low, high) in [
            ("training_share", t.training_share, 0.0, 1.0),
            ("pass_s", t.pass_s, 0.02, 60.0),
            ("pass_gap_s", t.pass_gap_s, 0.0, 60.0),
            ("first_guess_s", t.first_guess_s, 0.1, 86400.0),
            ("lead_ttl_s", t.lead_ttl_s, 0.5, 60.0),
            ("idle_s", t.idle_s, 0.0, 86400.0),
            ("fetch_s", t.fetch_s, 0.0, 3600.0),
            ("patience", t.patience, 0.0, 100.0),
            ("spare_share", t.spare_share, 0.0, 1.0),
            ("late_share", t.late_share, 0.0, 1.0),
            ("late_factor", t.late_factor, 0.0, 100.0),
            ("refused_pause_s", t.refused_pause_s, 0.5, 3600.0),
            ("starve_s", t.starve_s, 1.0, 3600.0),
            ("delete_share", t.delete_share, 0.0, 1.0),
            ("again_s", t.again_s, 0.0, 60.0),
        ] {
            if !v.is_finite() || v < low || v > high {
                return Err(TuningError(format!(
                    "{key}: must be from {low} to {high}, is {v}"
                )));
            }
        }
        Ok(t)
    }
}

/// What users expect of a class's deadlines, of all its objectives the most.
#[derive(Debug, Clone, PartialEq)]
pub struct DeadlineAim {
    pub class: String,
    /// Share of its jobs that are to end by some multiple of their deadline.
    pub share: f64,
    /// The greatest multiple of the deadline by which an end is still of use.
    pub times: f64,
}

/// Everything a node is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    pub member: String,
    /// The zone that this controller is in.
    pub zone: String,
    pub peers: Vec<String>,
    /// Those of them in other zones.
    pub peers_in_other_zones: Vec<String>,
    pub teams: Vec<Team>,
    pub report: Micros,
    pub lease: Micros,
    pub cancel: Micros,
    pub clock_error: Micros,
    /// Of the state service, the smaller of the limits that it has and of those that
    /// it will have: what is newly written fits both.
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// Changes a second until the limits fall.
    pub state_write_rps_before: f64,
    /// What a value may take until the limits fall: chunks of that size are on record.
    pub value_bytes_before: usize,
    /// Tasks of a newly submitted job in one chunk.
    pub chunk_tasks: u32,
    pub cloud_rps: f64,
    pub list_lag: Micros,
    pub memory_mb: f64,
    /// Orders to machines that may be under way at once.
    pub max_orders: usize,
    /// Classes whose tasks are to start within a given time.
    pub waits: Vec<(String, Micros)>,
    pub deadlines: Vec<DeadlineAim>,
    pub tuning: Tuning,
}

impl Config {
    pub fn new(p: &PlatformSettings, tuning: Tuning) -> Config {
        let c = &p.cluster;
        let next = &c.state.next;
        let bytes = |kb: f64| (kb * 1024.0) as usize;
        let value_bytes = bytes(next.value_kb.unwrap_or(f64::MAX).min(c.state.value_kb));
        Config {
            member: p.member.clone(),
            zone: p.zone.clone(),
            peers: p.peers.iter().map(|s| s.member.clone()).collect(),
            peers_in_other_zones: p
                .peers
                .iter()
                .filter(|s| s.zone != p.zone)
                .map(|s| s.member.clone())
                .collect(),
            teams: c.teams.clone(),
            report: micros(c.workers.report_s),
            lease: micros(c.workers.lease_s),
            cancel: micros(c.workers.cancel_s),
            clock_error: micros(c.clock_error_ms / 1e3),
            state_rps: next.rps.unwrap_or(f64::MAX).min(c.state.rps),
            state_write_rps: next.write_rps.unwrap_or(f64::MAX).min(c.state.write_rps),
            value_bytes,
            txn_ops: next.txn_ops.unwrap_or(u32::MAX).min(c.state.txn_ops) as usize,
            state_write_rps_before: c.state.write_rps,
            value_bytes_before: bytes(c.state.value_kb),
            chunk_tasks: chunk_tasks(value_bytes),
            cloud_rps: c.cloud.rps,
            list_lag: micros(c.cloud.list_lag_s),
            memory_mb: c.quota.mem_mb,
            // With those to the state service, the cloud and siblings less than
            // a quarter of the sockets.
            max_orders: (c.quota.max_connections / 5).clamp(6, 1024) as usize,
            waits: c
                .objectives
                .iter()
                .filter(|o| o.kind == "wait")
                .filter_map(|o| Some((o.class.clone()?, micros(o.within_s?))))
                .collect(),
            deadlines: c
                .objectives
                .iter()
                .filter(|o| o.kind == "deadline")
                .filter_map(|o| {
                    Some(DeadlineAim {
                        class: o.class.clone()?,
                        share: o.share.unwrap_or(1.0),
                        times: o.times.unwrap_or(1.0),
                    })
                })
                .fold(Vec::new(), |mut all: Vec<DeadlineAim>, aim| {
                    match all.iter_mut().find(|a| a.class == aim.class) {
                        Some(a) => {
                            a.share = aim.share.max(a.share);
                            a.times = aim.times.max(a.times);
                        }
                        None => all.push(aim),
                    }
                    all
                }),
            tuning,
        }
    }

    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }

    /// What users expect of the deadlines of a class.
    pub fn aim(&self, class: &str) -> Option<&DeadlineAim> {
        self.deadlines.iter().find(|a| a.class == class)
    }

    /// How long after the sending of its last read of the cancellations a leader may
    /// still answer reports, and after a cancellation the reports of machines that hold
    /// what it cancels. Whoever confirms a cancellation promises the tasks' end within
    /// `cancel`; a worker that hears nothing more ends them after `lease`.
    pub fn blind_limit(&self) -> Micros {
        self.blind_room().max(SHORTEST_BLIND_LIMIT)
    }

    /// What `cancel` leaves for answering reports without a read, after the lease and a
    /// margin for clocks and for what is under way.
    fn blind_room(&self) -> Micros {
        let margin = (self.cancel / 10).max(SECOND);
        self.cancel.saturating_sub(self.lease + margin)
    }

    /// By how much the end of a cancelled task may come late while the state service is
    /// out of reach: `cancel` is too short beside the lease. None if it can't.
    pub fn cancel_shortfall(&self) -> Option<Micros> {
        let short = SHORTEST_BLIND_LIMIT.saturating_sub(self.blind_room());
        (short > 0).then_some(short)
    }

    /// Tasks in a part of a chunk that is too large to be written again.
    pub fn part_tasks(&self) -> u32 {
        (chunk_tasks(self.value_bytes) / 2).max(1)
    }
}

/// Below this no leader could answer reports at all times even with a state service
/// that answers: a read is as old as the watch was held, and as its answer took.
const SHORTEST_BLIND_LIMIT: Micros = 4 * SECOND;

/// What a placed task takes of a chunk's record in JSON, with names of machines of up
/// to two dozen letters. A chunk of longer ones is written in parts.
const TASK_BYTES: usize = 40;

/// Tasks per stored chunk. Those of an array start and end together, and one change
/// tells of all of them that lie together; but a chunk is written whole.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    (value_bytes / TASK_BYTES).clamp(8, 128) as u32
}
