//! Everything a node is configured with, in the units that the code works in.

use crate::time::{Micros, SECOND, micros};
use crate::tuning::Tuning;
use dillcleat_wire::settings::{Cluster, Objective, PlatformSettings, Team};

/// What users expect of the time to the start of a class's tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartObjective {
    /// The class of jobs that it is for.
    pub class: String,
    /// Longest time from submission to the start.
    pub within: Micros,
}

/// What users expect of a class's deadlines: of all its objectives the strictest share
/// and the greatest multiple.
#[derive(Debug, Clone, PartialEq)]
pub struct DeadlineObjective {
    /// The class of jobs that it is for.
    pub class: String,
    /// Share of the class's jobs, 0 to 1, that are to end by some multiple of their
    /// deadline.
    pub share: f64,
    /// The greatest multiple of the deadline by which an end is still of use.
    pub max_multiple: f64,
}

/// The configuration of a node.
#[derive(Debug, Clone)]
pub struct Config {
    /// This controller's name among the controllers.
    pub member: String,
    /// The zone that this controller is in.
    pub zone: String,
    /// The names of the other controllers.
    pub peers: Vec<String>,
    /// The names of those in other zones.
    pub peers_in_other_zones: Vec<String>,
    /// The teams, with their quotas.
    pub teams: Vec<Team>,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// How long a worker keeps its tasks running after the latest answered heartbeat.
    pub worker_lease: Micros,
    /// How long after the confirmation of a cancellation the job's tasks may run on.
    pub cancel_deadline: Micros,
    /// Greatest difference between the wall clocks of two machines.
    pub clock_error: Micros,
    /// Requests a second that the store takes from all controllers. Here and in the next
    /// three, the smaller of the present limit and the announced one: what is newly written
    /// fits both.
    pub state_rps: f64,
    /// Writes a second that the store takes from all controllers.
    pub state_write_rps: f64,
    /// Largest value in the store, in bytes.
    pub value_bytes: usize,
    /// Most operations in a transaction.
    pub txn_ops: usize,
    /// Writes a second until the announced limits apply.
    pub state_write_rps_before: f64,
    /// Largest value until the announced limits apply, in bytes: there are stored chunks of
    /// that size.
    pub value_bytes_before: usize,
    /// Tasks of a newly submitted job in one chunk.
    pub chunk_tasks: u32,
    /// Requests a second that the cloud takes.
    pub cloud_rps: f64,
    /// How long the cloud's list of machines may lag behind a change.
    pub cloud_list_lag: Micros,
    /// Memory that this controller may use, in megabytes.
    pub memory_mb: f64,
    /// Requests with commands to workers that may be under way at once.
    pub max_commands_in_flight: usize,
    /// Classes whose tasks are to start within a given time.
    pub start_objectives: Vec<StartObjective>,
    /// Classes whose jobs are to end by a multiple of their deadline; one entry a class.
    pub deadline_objectives: Vec<DeadlineObjective>,
    /// The operator's settings.
    pub tuning: Tuning,
}

impl Config {
    /// The configuration from the platform's and the operator's settings.
    pub fn new(platform: &PlatformSettings, tuning: Tuning) -> Config {
        let cluster = &platform.cluster;
        let now = &cluster.store;
        let announced = &now.next;
        let value_bytes = kilobytes(announced.value_kb.unwrap_or(f64::MAX).min(now.value_kb));
        let write_rps = announced.write_rps.unwrap_or(f64::MAX).min(now.write_rps);
        Config {
            member: platform.member.clone(),
            zone: platform.zone.clone(),
            peers: platform.peers.iter().map(|p| p.member.clone()).collect(),
            peers_in_other_zones: peers_in_other_zones(platform),
            teams: cluster.teams.clone(),
            heartbeat_interval: micros(cluster.workers.report_s),
            worker_lease: micros(cluster.workers.lease_s),
            cancel_deadline: micros(cluster.workers.cancel_s),
            clock_error: micros(cluster.clock_error_ms / 1e3),
            state_rps: announced.rps.unwrap_or(f64::MAX).min(now.rps),
            state_write_rps: write_rps,
            value_bytes,
            txn_ops: announced.txn_ops.unwrap_or(u32::MAX).min(now.txn_ops) as usize,
            state_write_rps_before: now.write_rps,
            value_bytes_before: kilobytes(now.value_kb),
            chunk_tasks: tasks_per_chunk(value_bytes),
            cloud_rps: cluster.cloud.rps,
            cloud_list_lag: micros(cluster.cloud.list_lag_s),
            memory_mb: cluster.quota.mem_mb,
            // With those to the store, the cloud and peers less than a quarter of the
            // sockets.
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

    /// What users expect of the deadlines of a class.
    pub fn deadline_objective(&self, class: &str) -> Option<&DeadlineObjective> {
        self.deadline_objectives
            .iter()
            .find(|objective| objective.class == class)
    }

    /// How long after the sending of its last read of the cancellations a leader may still
    /// answer heartbeats, and after a cancellation the heartbeats of machines that run what
    /// it cancels. Whoever confirms a cancellation promises the tasks' end within
    /// `cancel_deadline`; a worker that receives nothing more ends them after
    /// `worker_lease`.
    pub fn blind_limit(&self) -> Micros {
        self.time_without_read().max(SHORTEST_BLIND_LIMIT)
    }

    /// What `cancel_deadline` leaves for answering heartbeats without a read, after the
    /// lease and a margin for clocks and for requests under way.
    fn time_without_read(&self) -> Micros {
        let margin = (self.cancel_deadline / 10).max(SECOND);
        self.cancel_deadline
            .saturating_sub(self.worker_lease + margin)
    }

    /// By how much the end of a cancelled task may come late while the store is out of
    /// reach, because `cancel_deadline` is too short beside the lease. None if it cannot.
    pub fn cancel_shortfall(&self) -> Option<Micros> {
        let shortfall = SHORTEST_BLIND_LIMIT.saturating_sub(self.time_without_read());
        (shortfall > 0).then_some(shortfall)
    }

    /// Tasks in a part of a chunk that is too large to be written as a whole again.
    pub fn part_tasks(&self) -> u32 {
        (tasks_per_chunk(self.value_bytes) / 2).max(1)
    }
}

/// Below this no leader could answer heartbeats at all times even with a store that
/// answers: a read is as old as its watch was held, and as its response took.
const SHORTEST_BLIND_LIMIT: Micros = 4 * SECOND;

/// What a placed task takes of a chunk's record in JSON, with names of machines of up to
/// two dozen letters. A chunk with longer ones is written in parts.
const TASK_BYTES: usize = 40;

/// Tasks per stored chunk, for values of so many bytes. The tasks of an array start and
/// end together, and one write covers all that are in the same chunk; but a chunk is
/// written as a whole.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    (value_bytes / TASK_BYTES).clamp(8, 128) as u32
}

fn kilobytes(kb: f64) -> usize {
    (kb * 1024.0) as usize
}

fn peers_in_other_zones(platform: &PlatformSettings) -> Vec<String> {
    let peers = platform.peers.iter();
    peers
        .filter(|peer| peer.zone != platform.zone)
        .map(|peer| peer.member.clone())
        .collect()
}

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

/// The deadline objectives, of which several for one class are combined.
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
