//! The specification of a job.

use serde::{Deserialize, Serialize};

/// The kind of a job, which determines how its tasks end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// The job has independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Batch,
    /// The job has replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job, ordered from lowest to highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// The lowest priority, for jobs that may wait for all others.
    #[serde(rename = "best_effort")]
    BestEffort,
    /// The priority of ordinary jobs.
    #[serde(rename = "normal")]
    Normal,
    /// A priority above normal.
    #[serde(rename = "high")]
    High,
    /// The highest priority.
    #[serde(rename = "production")]
    Production,
}

/// The team of a job, and the resources of each task that count against the team's quota. It can
/// be decoded from an encoded [`JobSpec`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct QuotaUsage {
    /// The team whose quota is used.
    #[serde(rename = "desk")]
    pub team: String,
    /// CPUs of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
}

/// A validated job specification. Jobs are also stored in this form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id chosen by the user: `req-` followed by digits. Submissions with the same id are
    /// idempotent.
    #[serde(rename = "ref")]
    pub id: String,
    /// The class of similar jobs, which share a run-time estimate.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "desk")]
    pub team: String,
    /// Whether it is a batch job or a service.
    #[serde(rename = "binding")]
    pub kind: JobKind,
    /// The priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`](super::MAX_TASKS).
    #[serde(rename = "leaves")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task, in gigabytes.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// The name of the image that the tasks run.
    #[serde(rename = "edition")]
    pub image: String,
    /// The image's size, in gigabytes.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// The machine types on which the job may run; `None` for any.
    #[serde(rename = "formats", default)]
    pub types: Option<Vec<String>>,
    /// The zone in which the job must run; `None` for any.
    #[serde(rename = "room", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "same_place")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    #[serde(rename = "spread")]
    pub spread: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "remainders")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// The interval between a task's checkpoints, in seconds; 0 if it saves no checkpoints.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    /// The time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "shelve_s")]
    pub save_s: f64,
    /// The deadline in seconds after submission, if any.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that must be done before any task of this job starts, without duplicates.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<String>,
}

impl JobSpec {
    /// A minimal job specification: class `c`, team `t`, image `i` of 1 GB, and no
    /// optional constraints. Batch jobs may run on spot machines.
    pub fn plain(id: &str, kind: JobKind, tasks: u32, cpus: f64) -> JobSpec {
        JobSpec {
            id: id.into(),
            class: "c".into(),
            team: "t".into(),
            kind,
            priority: Priority::Normal,
            tasks,
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            single_zone: false,
            spread: false,
            spot: kind == JobKind::Batch,
            estimate_s: 1.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            depends_on: Vec::new(),
        }
    }
}
