//! What a job is, as its user describes it.

use serde::{Deserialize, Serialize};

/// How a job's tasks end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "batch")]
    Batch,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// How urgent a job is, ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// May wait for everything else.
    #[serde(rename = "best_effort")]
    BestEffort,
    /// The ordinary priority.
    #[serde(rename = "normal")]
    Normal,
    /// Goes before ordinary jobs.
    #[serde(rename = "high")]
    High,
    /// Goes before everything else.
    #[serde(rename = "production")]
    Production,
}

/// What each task of a job takes of its team's quota. Can be read from the bytes of a whole
/// [`JobSpec`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ResourceClaim {
    /// The team whose quota it is.
    #[serde(rename = "desk")]
    pub team: String,
    /// CPUs of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
}

/// A job as its user describes it, validated. This is also the form in which it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the user chose: `req-` and digits. Submitting it again is idempotent.
    #[serde(rename = "ref")]
    pub id: String,
    /// The class of jobs alike, whose run times are estimated together.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "desk")]
    pub team: String,
    /// Whether its tasks run to completion or until the job is cancelled.
    #[serde(rename = "binding")]
    pub kind: JobKind,
    /// How urgent it is.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// How many tasks it has, from 1 to [`MAX_TASKS`](super::MAX_TASKS).
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
    /// The machine types that it may run on; None for any.
    #[serde(rename = "formats", default)]
    pub types: Option<Vec<String>>,
    /// The zone that it must run in; None for any.
    #[serde(rename = "room", default)]
    pub zone: Option<String>,
    /// Whether all its tasks must run in one zone.
    #[serde(rename = "same_place")]
    pub single_zone: bool,
    /// Whether no zone may have more than half of its tasks, rounded up.
    #[serde(rename = "spread")]
    pub spread: bool,
    /// Whether it may run on spot machines.
    #[serde(rename = "remainders")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// The interval between a task's checkpoints, in seconds; 0 if it saves none.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    /// How long a task takes to save its state when it is stopped, in seconds.
    #[serde(rename = "shelve_s")]
    pub save_s: f64,
    /// The deadline in seconds after submission, if it has one.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// The jobs that have to be done before any task of this one starts, each once.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<String>,
}

impl JobSpec {
    /// A job of equal tasks without any special requirements, to start from: of class `c`
    /// and team `t`, with image `i` of 1 GB. Batch jobs may run on spot machines.
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
