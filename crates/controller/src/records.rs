//! The records kept in the consensus-backed key-value store, and their keys.
//!
//! - `s/lead`: the leader; the key is bound to the leader's lease.
//! - `s/term`: the current term, which only increases.
//! - `s/types`: the machine types last reported by the cloud.
//! - `q/o/JOB`: the open record, which describes a job and is the only record that a
//!   submission writes. It is deleted after the job has ended and its tasks are gone.
//! - `q/c/JOB`: a cancelled job whose tasks are not yet known to be gone.
//! - `j/JOB`: the state record of a job that is done or cancelled. It is written once, when
//!   the job ends, and never deleted. A job is open if it has an open record and no state
//!   record. The open record must be read first, since the state record is written before
//!   the open record is deleted. (Earlier versions also wrote a state record at submission,
//!   which says that the job is open and has the same version as the open record. Such jobs
//!   may still exist.)
//! - `t/JOB/CHUNK`: the task record of a chunk of an unfinished job's tasks, with the
//!   machines on which the tasks may be running.
//! - `t/JOB/CHUNK/FROM-TO`: the task record of a part of a chunk that is too large to be
//!   written as a whole. It overrides the chunk's record and follows it in key order.
//! - `m/MACHINE`: the address and the properties of a machine that has sent a heartbeat.
//!
//! A new leader therefore reads only unfinished work, however many jobs have ended. The
//! serialized names and tuples must not change: `tests/golden_records.rs` checks them.

use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::LeaseId;
use dillcleat_wire::user::{JobSpec, JobState, QuotaUsage};
use serde::{Deserialize, Serialize, Serializer};

/// Prefix of the keys that all controllers watch for the election.
pub const SHARED_PREFIX: &str = "s/";
/// Key of the [`LeaderRecord`].
pub const LEADER_KEY: &str = "s/lead";
/// Key of the [`TermRecord`]; every write of a leader compares its version.
pub const TERM_KEY: &str = "s/term";
/// Key of the [`MachineTypesRecord`].
pub const MACHINE_TYPES_KEY: &str = "s/types";
/// Prefix of the records of open and cancelled jobs, which the leader watches.
pub const QUEUE_PREFIX: &str = "q/";
/// Prefix of the open records of jobs.
pub const OPEN_JOBS_PREFIX: &str = "q/o/";
/// Prefix of the cancellation records of jobs.
pub const CANCELLED_JOBS_PREFIX: &str = "q/c/";
/// Prefix of the task records.
pub const TASKS_PREFIX: &str = "t/";
/// Prefix of the machine records.
pub const MACHINES_PREFIX: &str = "m/";

/// Prefix of the state records of jobs.
const JOB_STATES_PREFIX: &str = "j/";

/// The key of a job's state record.
pub fn job_state_key(id: &str) -> String {
    format!("{JOB_STATES_PREFIX}{id}")
}

/// The id of the job whose state record has this key; None if this is not such a key.
pub fn parse_job_state_key(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_STATES_PREFIX)
}

/// The key of a job's open record.
pub fn open_job_key(id: &str) -> String {
    format!("{OPEN_JOBS_PREFIX}{id}")
}

/// The key of a job's cancellation record.
pub fn cancelled_job_key(id: &str) -> String {
    format!("{CANCELLED_JOBS_PREFIX}{id}")
}

/// The tasks of a job that one task record covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskRange {
    /// All tasks of a chunk.
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

/// The key of a task record.
pub fn tasks_key(id: &str, range: TaskRange) -> String {
    match range {
        TaskRange::Chunk(chunk) => format!("{TASKS_PREFIX}{id}/{chunk:05}"),
        TaskRange::Part { chunk, from, to } => {
            format!("{TASKS_PREFIX}{id}/{chunk:05}/{from:06}-{to:06}")
        }
    }
}

/// The key of a machine's record.
pub fn machine_key(name: &str) -> String {
    format!("{MACHINES_PREFIX}{name}")
}

/// The job id and the tasks of a task record's key; None if this is not such a key.
pub fn parse_tasks_key(key: &str) -> Option<(&str, TaskRange)> {
    let (id, rest) = key.strip_prefix(TASKS_PREFIX)?.split_once('/')?;
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

/// The current leader. The record's key is bound to the leader's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The member name of the controller that leads.
    #[serde(rename = "member")]
    pub member: String,
    /// The lease to which the record's key is bound.
    #[serde(rename = "lease")]
    pub lease: LeaseId,
    /// The term in which the controller leads.
    #[serde(rename = "term")]
    pub term: u64,
}

/// The current term, which only increases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term that has begun.
    #[serde(rename = "term")]
    pub term: u64,
}

/// The job state that a state record contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedState {
    /// The job is open.
    #[serde(rename = "o")]
    Open,
    /// All tasks of the job are done.
    #[serde(rename = "d")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "c")]
    Cancelled,
}

impl RecordedState {
    /// The state of an ended job that is reported to users; None while the job is open.
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
    /// The state of the job.
    #[serde(rename = "s")]
    pub state: RecordedState,
    /// The number of tasks of the job.
    #[serde(rename = "n")]
    pub task_count: u32,
}

impl JobStateRecord {
    /// The record of the same job after its cancellation.
    pub fn cancelled(self) -> JobStateRecord {
        JobStateRecord {
            state: RecordedState::Cancelled,
            ..self
        }
    }
}

/// The open record of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenJob {
    /// The description of the job by its user.
    #[serde(rename = "spec")]
    pub spec: JobSpec,
    /// Wall-clock time of the submission, in microseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub submitted_at_us: u64,
    /// The number of tasks per chunk. It is stored with the job so that a change of the
    /// settings does not move tasks between chunks.
    #[serde(rename = "chunk")]
    pub tasks_per_chunk: u32,
    /// Whether the job has no state record while it is open. False in records that an
    /// earlier version wrote.
    #[serde(rename = "unmarked", default)]
    pub without_state_record: bool,
    /// The maximum number of the job's tasks that may be placed at once; None if there is
    /// no limit.
    #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
    pub parallelism_limit: Option<u32>,
}

impl OpenJob {
    /// The version of the job's state record while the job is open, given the version of
    /// this open record.
    pub fn state_version(&self, version: u64) -> u64 {
        if self.without_state_record {
            0
        } else {
            version
        }
    }
}

/// The resources that the tasks of an open job count against the team's quota: a part of the
/// open record. It can be decoded even if the rest of the record has a format that this
/// version does not support.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct OpenJobResources {
    /// The team, and the resources of each task that count against its quota.
    #[serde(rename = "spec")]
    pub spec: QuotaUsage,
}

/// The cancellation record of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// Wall-clock time of the cancellation, in microseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub cancelled_at_us: u64,
}

/// A task that is or may be running on a machine. Stored as the tuple
/// `(index, attempt, machine, incarnation)`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, u64, String, u64)")]
pub struct PlacedTask {
    /// The index of the task within the job.
    pub index: u32,
    /// The attempt of the task.
    pub attempt: u64,
    /// The name of the machine that the task is placed on.
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

// Implemented by hand since `serde(into)` would clone the machine's name.
impl Serialize for PlacedTask {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.index, self.attempt, &self.machine, self.incarnation).serialize(serializer)
    }
}

/// A waiting task that was placed before. Stored as the tuple `(index, attempt)`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
pub struct WaitingTask {
    /// The index of the task within the job.
    pub index: u32,
    /// The latest attempt.
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

/// A task record: the tasks of a chunk or of a part of one. A task in none of the lists is
/// waiting and has never been placed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The placed tasks.
    #[serde(rename = "p")]
    pub placed: Vec<PlacedTask>,
    /// The waiting tasks that were placed before.
    #[serde(rename = "w")]
    pub waiting: Vec<WaitingTask>,
    /// The ranges of tasks that are done.
    #[serde(rename = "d")]
    pub done: Vec<DoneTasks>,
}

/// The record of a machine that has sent a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The address at which the worker agent accepts commands.
    #[serde(rename = "addr")]
    pub addr: String,
    /// The name of the machine type.
    #[serde(rename = "machine_type")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "zone")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "spot")]
    pub spot: bool,
}

/// The machine types last reported by the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// The machine types.
    #[serde(rename = "types")]
    pub types: Vec<MachineType>,
}
