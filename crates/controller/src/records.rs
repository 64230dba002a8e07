//! The records kept in the consensus-backed key-value store, and their keys.
//!
//! - `s/lead`: the leader, bound to its lease; `s/term`: the durable, growing
//!   term; `s/types`: the machine types as last reported by the cloud.
//! - `q/o/JOB`: an open job's description: all that a submission writes. Deleted
//!   when the job has ended.
//! - `j/JOB`: that a job is done or cancelled. Written once, when it ends, and
//!   kept for ever. A job is open if it is in `q/o/` and not in here: a reader
//!   looks there first, since a job leaves `q/o/` no sooner than it is here.
//!   (Earlier versions also wrote an open state record here at submission. Such jobs
//!   still run: their state record has the version of their description.)
//!   `q/c/JOB`: it is cancelled and its tasks have yet to be seen gone.
//! - `t/JOB/CHUNK`: where the tasks of an unfinished job may be.
//!   `t/JOB/CHUNK/FROM-TO`: the same for some tasks of a chunk that has become too
//!   large to be written again. It overrides the chunk, and comes after it in the
//!   order of keys.
//! - `m/MACHINE`: the address of a machine that has sent a heartbeat.
//!
//! A new leader thus reads only what is unfinished, however many jobs have ended.
//! The serialized names and tuples are fixed: `tests/golden_records.rs` guards them.

use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::LeaseId;
use dillcleat_wire::user::{JobSpec, JobState, ResourceClaim};
use serde::{Deserialize, Serialize, Serializer};

/// Prefix of the records that all controllers share.
pub const SHARED: &str = "s/";
/// Key of the [`LeaderRecord`].
pub const LEAD: &str = "s/lead";
/// Key of the [`TermRecord`]; every write of a leader compares its version.
pub const TERM: &str = "s/term";
/// Key of the [`MachineTypesRecord`].
pub const TYPES: &str = "s/types";
/// Prefix of open jobs and of cancellations, which the leader watches.
pub const QUEUE: &str = "q/";
/// Prefix of the descriptions of open jobs.
pub const OPEN: &str = "q/o/";
/// Prefix of cancellations.
pub const CANCELLED: &str = "q/c/";
/// Prefix of the records of tasks.
pub const TASKS: &str = "t/";
/// Prefix of the records of machines.
pub const MACHINES: &str = "m/";

/// Prefix of the state records of jobs.
const JOB_STATES: &str = "j/";

/// The key of a job's state record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_STATES}{id}")
}

/// The job whose state record has this key; None if it is not such a key.
pub fn parse_job_key(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_STATES)
}

/// The key of an open job's description.
pub fn open_key(id: &str) -> String {
    format!("{OPEN}{id}")
}

/// The key of a job's cancellation.
pub fn cancelled_key(id: &str) -> String {
    format!("{CANCELLED}{id}")
}

/// The tasks of a job that one record holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskRange {
    /// All of a chunk.
    Chunk(u32),
    /// The tasks `from` to `to` of a chunk, both included.
    Part {
        /// The number of the chunk.
        chunk: u32,
        /// The first task of the part.
        from: u32,
        /// The last task of the part, included.
        to: u32,
    },
}

/// The key of the record of some tasks of a job.
pub fn tasks_key(id: &str, range: TaskRange) -> String {
    match range {
        TaskRange::Chunk(chunk) => format!("{TASKS}{id}/{chunk:05}"),
        TaskRange::Part { chunk, from, to } => format!("{TASKS}{id}/{chunk:05}/{from:06}-{to:06}"),
    }
}

/// The key of a machine's record.
pub fn machine_key(name: &str) -> String {
    format!("{MACHINES}{name}")
}

/// The job and the tasks that a key of [`TASKS`] names; None if it is not such a key.
pub fn parse_tasks_key(key: &str) -> Option<(&str, TaskRange)> {
    let (id, rest) = key.strip_prefix(TASKS)?.split_once('/')?;
    let range = match rest.split_once('/') {
        None => TaskRange::Chunk(rest.parse().ok()?),
        Some((chunk, part)) => {
            let (from, to) = part.split_once('-')?;
            TaskRange::Part {
                chunk: chunk.parse().ok()?,
                from: from.parse().ok()?,
                to: to.parse().ok()?,
            }
        }
    };
    Some((id, range))
}

/// Who leads. Its key is bound to the lease, and goes when the lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the controller.
    #[serde(rename = "member")]
    pub member: String,
    /// The lease that the key is bound to.
    #[serde(rename = "lease")]
    pub lease: LeaseId,
    /// The term in which it leads.
    #[serde(rename = "term")]
    pub term: u64,
}

/// The current term, which only grows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term that has begun.
    #[serde(rename = "term")]
    pub term: u64,
}

/// The state of a job in its state record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedState {
    /// The job is open.
    #[serde(rename = "o")]
    Open,
    /// Every task of the job has completed.
    #[serde(rename = "d")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "c")]
    Cancelled,
}

impl RecordedState {
    /// The state that users see of an ended job; None while it is open.
    pub fn ended(self) -> Option<JobState> {
        match self {
            RecordedState::Open => None,
            RecordedState::Done => Some(JobState::Done),
            RecordedState::Cancelled => Some(JobState::Cancelled),
        }
    }
}

/// The state record of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStateRecord {
    /// The recorded state.
    #[serde(rename = "s")]
    pub state: RecordedState,
    /// The job's number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
}

/// The description of an open job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenJob {
    /// The job as its user described it.
    #[serde(rename = "spec")]
    pub spec: JobSpec,
    /// Time of day of the submission, in microseconds.
    #[serde(rename = "at")]
    pub submitted_at_us: u64,
    /// Tasks per chunk. Fixed with the job, so that a later change of the
    /// settings does not move tasks between chunks.
    #[serde(rename = "chunk")]
    pub chunk: u32,
    /// The job has no state record as long as it is open. False in descriptions
    /// that an earlier version wrote.
    #[serde(rename = "unmarked", default)]
    pub unmarked: bool,
    /// The most of its tasks that may be placed at once, if it is not all.
    #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
    pub parallelism_limit: Option<u32>,
}

impl OpenJob {
    /// The version of the job's state record while it is open, for a description of the
    /// given version.
    pub fn state_version(&self, version: u64) -> u64 {
        if self.unmarked { 0 } else { version }
    }
}

/// The part of a description that says how much its tasks count against the quota of
/// which team. It can be read even if the rest is in a format that this version doesn't
/// know.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct OpenClaim {
    /// What each task counts against its team's quota.
    #[serde(rename = "spec")]
    pub spec: ResourceClaim,
}

/// The cancellation of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// Time of day of the cancellation, in microseconds.
    #[serde(rename = "at")]
    pub cancelled_at_us: u64,
}

/// A task that is, or may be, on a machine. Stored as the tuple
/// `(index, attempt, machine, incarnation)`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, u64, String, u64)")]
pub struct PlacedTask {
    /// The index of the task within the job.
    pub index: u32,
    /// The attempt of the task.
    pub attempt: u64,
    /// The name of the machine that it is placed on.
    pub machine: String,
    /// The incarnation of the machine's agent.
    pub incarnation: u64,
}

impl From<(u32, u64, String, u64)> for PlacedTask {
    fn from((index, attempt, machine, incarnation): (u32, u64, String, u64)) -> PlacedTask {
        PlacedTask {
            index,
            attempt,
            machine,
            incarnation,
        }
    }
}

// Not by `serde(into)`, which would clone the machine's name.
impl Serialize for PlacedTask {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.index, self.attempt, &self.machine, self.incarnation).serialize(serializer)
    }
}

/// A task that waits and was placed before. Stored as the tuple `(index, attempt)`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
pub struct WaitingTask {
    /// The index of the task within the job.
    pub index: u32,
    /// The last attempt.
    pub attempt: u64,
}

impl From<(u32, u64)> for WaitingTask {
    fn from((index, attempt): (u32, u64)) -> WaitingTask {
        WaitingTask { index, attempt }
    }
}

impl From<WaitingTask> for (u32, u64) {
    fn from(task: WaitingTask) -> (u32, u64) {
        (task.index, task.attempt)
    }
}

/// Consecutive tasks that are done, both ends included. Stored as the tuple
/// `(first, last)`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct DoneTasks {
    /// The first task of the range.
    pub first: u32,
    /// The last task of the range, included.
    pub last: u32,
}

impl From<(u32, u32)> for DoneTasks {
    fn from((first, last): (u32, u32)) -> DoneTasks {
        DoneTasks { first, last }
    }
}

impl From<DoneTasks> for (u32, u32) {
    fn from(range: DoneTasks) -> (u32, u32) {
        (range.first, range.last)
    }
}

/// The tasks of one chunk, or of a part of one. A task in no list waits and was never
/// placed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Placed tasks.
    #[serde(rename = "p")]
    pub placed: Vec<PlacedTask>,
    /// Tasks that wait and were placed before.
    #[serde(rename = "w")]
    pub waiting: Vec<WaitingTask>,
    /// Ranges of tasks that are done.
    #[serde(rename = "d")]
    pub done: Vec<DoneTasks>,
}

/// A machine that has sent a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The address at which the worker takes commands.
    #[serde(rename = "addr")]
    pub addr: String,
    /// The machine type.
    #[serde(rename = "machine_type")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "zone")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "spot")]
    pub spot: bool,
}

/// The machine types that the cloud offered last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// The machine types.
    #[serde(rename = "types")]
    pub types: Vec<MachineType>,
}
