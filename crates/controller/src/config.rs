//! The configuration of a node (a controller process), derived from the platform's and the operator's settings.

use crate::time::{Micros, SECOND, micros};
use crate::tuning::Tuning;
use dillcleat_wire::settings::{Cluster, Objective, PlatformSettings, Team};

/// The service-level objective for the start times of a class of jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartObjective {
    /// The class of jobs.
    pub class: String,
    /// The maximum time from the submission of a job to the start of its tasks.
    pub within: Micros,
}

/// The service-level objective for the deadlines of a class of jobs. It combines all deadline
/// objectives of the class: `share` is the maximum of their shares, `max_multiple` the maximum
/// of their multiples.
#[derive(Debug, Clone, PartialEq)]
pub struct DeadlineObjective {
    /// The class of jobs.
    pub class: String,
    /// The fraction of the class's jobs, 0 to 1, that must end by a multiple of their
    /// deadline.
    pub share: f64,
    /// The greatest of these multiples. A job that ends later than that misses every
    /// objective.
    pub max_multiple: f64,
}

/// The configuration of a node.
#[derive(Debug, Clone)]
pub struct Config {
    /// The unique name of this controller.
    pub member: String,
    /// The zone of this controller.
    pub zone: String,
    /// The names of the other controllers.
    pub peers: Vec<String>,
    /// The names of the other controllers that are in other zones.
    pub peers_in_other_zones: Vec<String>,
    /// The teams, with their quotas.
    pub teams: Vec<Team>,
    /// The time between two periodic heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// How long a worker keeps its tasks running after it has sent a heartbeat that was
    /// answered.
    pub worker_lease: Micros,
    /// The time after the confirmation of a cancellation within which the job's tasks must
    /// have ended.
    pub cancel_time_limit: Micros,
    /// The maximum difference between the wall clocks of two machines.
    pub clock_error: Micros,
    /// The store's limit of requests per second from all controllers. The store may announce
    /// new limits. Fields for store limits without the prefix `current_` contain the smaller of
    /// the current and the announced limit, so that new records comply with both.
    pub store_rps: f64,
    /// The store's limit of writes per second from all controllers.
    pub store_write_rps: f64,
    /// The maximum size of a value in the store (set in kB of 1024 bytes).
    pub max_value_bytes: usize,
    /// The maximum number of operations in a transaction.
    pub max_txn_ops: usize,
    /// The store's current limit of writes per second, until the announced limit applies.
    pub current_store_write_rps: f64,
    /// The current maximum size of a value, until the announced limit applies. Stored task
    /// records may have this size.
    pub current_max_value_bytes: usize,
    /// The number of tasks per chunk of newly submitted jobs.
    pub tasks_per_chunk: u32,
    /// The cloud's limit of requests per second.
    pub cloud_rps: f64,
    /// The maximum delay until a change appears in the cloud's list of machines.
    pub cloud_list_lag: Micros,
    /// The memory that this controller may use, in MB of 10^6 bytes.
    pub memory_mb: f64,
    /// The maximum number of command batches to workers that are in flight at once.
    pub max_commands_in_flight: usize,
    /// The service-level objectives for start times.
    pub start_objectives: Vec<StartObjective>,
    /// The service-level objectives for deadlines, at most one per class.
    pub deadline_objectives: Vec<DeadlineObjective>,
    /// The operator's settings.
    pub tuning: Tuning,
}

/// The number of comparisons that the store accepts in a transaction for each operation
/// (`txn_ops`).
const COMPARISONS_PER_OP: usize = 4;

impl Config {
    /// The maximum number of comparisons in a transaction.
    pub fn max_comparisons(&self) -> usize {
        self.max_txn_ops * COMPARISONS_PER_OP
    }

    /// Creates the configuration from the platform's and the operator's settings.
    pub fn new(platform: &PlatformSettings, tuning: Tuning) -> Config {
        let cluster = &platform.cluster;
        let current = &cluster.store;
        let announced = &current.next;
        let max_value_bytes =
            kb_to_bytes(announced.value_kb.unwrap_or(f64::MAX).min(current.value_kb));
        let write_rps = announced
            .write_rps
            .unwrap_or(f64::MAX)
            .min(current.write_rps);
        Config {
            member: platform.member.clone(),
            zone: platform.zone.clone(),
            peers: platform.peers.iter().map(|p| p.member.clone()).collect(),
            peers_in_other_zones: peers_in_other_zones(platform),
            teams: cluster.teams.clone(),
            heartbeat_interval: micros(cluster.workers.heartbeat_interval_s),
            worker_lease: micros(cluster.workers.lease_s),
            cancel_time_limit: micros(cluster.workers.cancel_s),
            clock_error: micros(cluster.clock_error_ms / 1e3),
            store_rps: announced.rps.unwrap_or(f64::MAX).min(current.rps),
            store_write_rps: write_rps,
            max_value_bytes,
            max_txn_ops: announced.txn_ops.unwrap_or(u32::MAX).min(current.txn_ops) as usize,
            current_store_write_rps: current.write_rps,
            current_max_value_bytes: kb_to_bytes(current.value_kb),
            tasks_per_chunk: tasks_per_chunk(max_value_bytes),
            cloud_rps: cluster.cloud.rps,
            cloud_list_lag: micros(cluster.cloud.list_lag_s),
            memory_mb: cluster.quota.mem_mb,
            // Leaves most connections for users; the minimum of 6 keeps small clusters working.
            max_commands_in_flight: (cluster.quota.max_connections / 5).clamp(6, 1024) as usize,
            start_objectives: start_objectives(cluster),
            deadline_objectives: deadline_objectives(cluster),
            tuning,
        }
    }

    /// The index of a team in [`teams`](Self::teams).
    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }

    /// The deadline objective of a class, if it has one.
    pub fn deadline_objective(&self, class: &str) -> Option<&DeadlineObjective> {
        self.deadline_objectives
            .iter()
            .find(|objective| objective.class == class)
    }

    /// How long the leader keeps answering heartbeats while a cancellation may not have taken
    /// effect. Each answer renews a worker's lease. A worker that gets no answers ends its
    /// tasks after `worker_lease`, so answers must stop early enough for the tasks of a
    /// cancelled job to end within `cancel_time_limit`.
    ///
    /// The limit applies to all machines, counted from the sending of the leader's last
    /// successful read of the cancellations, and to a machine that runs tasks of a cancelled
    /// job, counted from the cancellation.
    pub fn heartbeat_answer_limit(&self) -> Micros {
        self.time_before_lease_must_expire()
            .max(MIN_HEARTBEAT_ANSWER_LIMIT)
    }

    /// The part of `cancel_time_limit` that remains after subtracting the lease and a margin for
    /// clock drift and requests in flight.
    fn time_before_lease_must_expire(&self) -> Micros {
        let margin = (self.cancel_time_limit / 10).max(SECOND);
        self.cancel_time_limit
            .saturating_sub(self.worker_lease + margin)
    }

    /// The maximum time by which a cancelled task may outlast `cancel_time_limit` while the store
    /// is unreachable, because that time is too short compared to the lease. None if it cannot
    /// outlast it.
    pub fn cancel_time_excess(&self) -> Option<Micros> {
        let excess =
            MIN_HEARTBEAT_ANSWER_LIMIT.saturating_sub(self.time_before_lease_must_expire());
        (excess > 0).then_some(excess)
    }

    /// The number of tasks in each part of a chunk that is too large to be written as a
    /// whole.
    pub fn tasks_per_part(&self) -> u32 {
        (tasks_per_chunk(self.max_value_bytes) / 2).max(1)
    }
}

/// The minimum of [`Config::heartbeat_answer_limit`]. The latest read may be as old as the
/// hold time of a watch plus the latency of its response, so with a lower limit a leader
/// could not always answer heartbeats even while the store is available.
const MIN_HEARTBEAT_ANSWER_LIMIT: Micros = 4 * SECOND;

/// The JSON size of a placed task in a task record, for machine names of up to 24 bytes. A
/// chunk with longer names is written in parts.
const PLACED_TASK_BYTES: usize = 40;

/// The number of tasks per chunk for the given maximum size of a value. Larger chunks need
/// fewer writes, since the tasks of a job array often start and end together. But each write
/// stores the whole chunk.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    (value_bytes / PLACED_TASK_BYTES).clamp(8, 128) as u32
}

fn kb_to_bytes(kb: f64) -> usize {
    (kb * 1024.0) as usize
}

fn peers_in_other_zones(platform: &PlatformSettings) -> Vec<String> {
    let peers = platform.peers.iter();
    peers
        .filter(|peer| peer.zone != platform.zone)
        .map(|peer| peer.member.clone())
        .collect()
}

/// The objectives of one kind.
fn objectives<'a>(cluster: &'a Cluster, kind: &'a str) -> impl Iterator<Item = &'a Objective> {
    cluster.objectives.iter().filter(move |o| o.kind == kind)
}

fn start_objectives(cluster: &Cluster) -> Vec<StartObjective> {
    objectives(cluster, "wait")
        .filter_map(|objective| {
            Some(StartObjective {
                class: objective.class.clone()?,
                within: micros(objective.within_s?),
            })
        })
        .collect()
}

/// The deadline objectives, combined into one per class.
fn deadline_objectives(cluster: &Cluster) -> Vec<DeadlineObjective> {
    let mut combined: Vec<DeadlineObjective> = Vec::new();
    for objective in objectives(cluster, "deadline") {
        let Some(class) = &objective.class else {
            continue;
        };
        let share = objective.share.unwrap_or(1.0);
        let max_multiple = objective.max_multiple.unwrap_or(1.0);
        match combined.iter_mut().find(|known| known.class == *class) {
            Some(known) => {
                known.share = share.max(known.share);
                known.max_multiple = max_multiple.max(known.max_multiple);
            }
            None => combined.push(DeadlineObjective {
                class: class.clone(),
                share,
                max_multiple,
            }),
        }
    }
    combined
}
