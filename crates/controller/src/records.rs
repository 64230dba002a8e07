//! What is kept in the state service, and under which keys.
//!
//! - `s/lead`: the leader, bound to its lease; `s/term`: the durable, growing
//!   term; `s/types`: the machine types as last heard from the cloud.
//! - `q/o/JOB`: an open job's description: all that a submission writes. Dropped
//!   when the job has ended;
//! - `j/JOB`: that a job is done or cancelled. Written once, when it ends, and
//!   kept for ever. A job is open if it is in `q/o/` and not in here: who reads
//!   looks there first, since a job leaves `q/o/` no sooner than it is here.
//!   (Before, a submission wrote an open mark here as well. Such jobs still run:
//!   their mark has the version of their description.)
//!   `q/c/JOB`: it is cancelled and its tasks have yet to be seen gone.
//! - `t/JOB/CHUNK`: where the tasks of an unfinished job may be.
//!   `t/JOB/CHUNK/FROM-TO`: the same of some tasks of a chunk that has become too
//!   large to be written again. It stands above the chunk, and comes after it in the
//!   order of keys.
//! - `m/MACHINE`: the address of a machine that has reported.
//!
//! A new leader so reads what is unfinished only, however many jobs have ended.

use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::LeaseId;
use dillcleat_wire::user::{JobSpec, JobState, ResourceClaim};
use serde::{Deserialize, Serialize};

pub const SHARED: &str = "s/";
pub const LEAD: &str = "s/lead";
pub const TERM: &str = "s/term";
pub const TYPES: &str = "s/types";
pub const QUEUE: &str = "q/";
pub const OPEN: &str = "q/o/";
pub const CANCELLED: &str = "q/c/";
pub const TASKS: &str = "t/";
pub const MACHINES: &str = "m/";

pub fn job_key(id: &str) -> String {
    format!("j/{id}")
}

pub fn open_key(id: &str) -> String {
    format!("{OPEN}{id}")
}

pub fn cancelled_key(id: &str) -> String {
    format!("{CANCELLED}{id}")
}

/// Which tasks of a job one record tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskRange {
    /// All of a chunk.
    Chunk(u32),
    /// Those of a chunk from one to another, both included.
    Part { chunk: u32, from: u32, to: u32 },
}

pub fn tasks_key(id: &str, span: TaskRange) -> String {
    match span {
        TaskRange::Chunk(chunk) => format!("{TASKS}{id}/{chunk:05}"),
        TaskRange::Part { chunk, from, to } => format!("{TASKS}{id}/{chunk:05}/{from:06}-{to:06}"),
    }
}

pub fn machine_key(name: &str) -> String {
    format!("{MACHINES}{name}")
}

/// The job and the tasks of a key.
pub fn parse_tasks_key(key: &str) -> Option<(&str, TaskRange)> {
    let (id, rest) = key.strip_prefix(TASKS)?.split_once('/')?;
    let span = match rest.split_once('/') {
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
    Some((id, span))
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    #[serde(rename = "member")]
    pub member: String,
    #[serde(rename = "lease")]
    pub lease: LeaseId,
    #[serde(rename = "term")]
    pub term: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    #[serde(rename = "term")]
    pub term: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedState {
    #[serde(rename = "o")]
    Open,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Cancelled,
}

impl RecordedState {
    /// What users are told of an ended job.
    pub fn ended(self) -> Option<JobState> {
        match self {
            RecordedState::Open => None,
            RecordedState::Done => Some(JobState::Done),
            RecordedState::Cancelled => Some(JobState::Cancelled),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStateRecord {
    #[serde(rename = "s")]
    pub state: RecordedState,
    /// The job's number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenJob {
    #[serde(rename = "spec")]
    pub spec: JobSpec,
    /// Time of day of the submission, in microseconds.
    #[serde(rename = "at")]
    pub at: u64,
    /// Tasks per chunk. Fixed with the job, so that a later change of the
    /// settings does not move tasks between chunks.
    #[serde(rename = "chunk")]
    pub chunk: u32,
    /// There is no mark of the job as long as it is open. False in descriptions
    /// that an earlier version wrote.
    #[serde(rename = "unmarked", default)]
    pub unmarked: bool,
    /// The most of its tasks that may be placed at once, if it is not all.
    #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
    pub parallelism_limit: Option<u32>,
}

impl OpenJob {
    /// The version of the job's mark while it is open, for descriptions of the
    /// given version.
    pub fn mark_version(&self, version: u64) -> u64 {
        if self.unmarked { 0 } else { version }
    }
}

/// What of a description tells what its tasks count against which limit, be the rest in
/// a form that is not known here.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct OpenClaim {
    #[serde(rename = "spec")]
    pub spec: ResourceClaim,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// Time of day of the cancellation, in microseconds.
    #[serde(rename = "at")]
    pub at: u64,
}

/// The tasks of one chunk. What is in no list waits and was never placed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Placed tasks: number, attempt, machine, session.
    #[serde(rename = "p")]
    pub placed: Vec<(u32, u64, String, u64)>,
    /// Waiting tasks that were placed before: number, last attempt.
    #[serde(rename = "w")]
    pub waiting: Vec<(u32, u64)>,
    /// Done tasks, as ranges from..=to.
    #[serde(rename = "d")]
    pub done: Vec<(u32, u32)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "addr")]
    pub addr: String,
    #[serde(rename = "machine_type")]
    pub machine_type: String,
    #[serde(rename = "zone")]
    pub zone: String,
    #[serde(rename = "spot")]
    pub spot: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    #[serde(rename = "types")]
    pub types: Vec<MachineType>,
}
