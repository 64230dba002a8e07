//! Users and their jobs.

use crate::{BodyError, decode};
use rmpv::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

pub const JOBS_PATH: &str = "/v2/runs";
pub const HEALTH_PATH: &str = "/up";

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Bound for texts inside a job, so that every record fits the store.
const MAX_TEXT: usize = 128;
const MAX_LIST: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "batch")]
    Batch,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "best_effort")]
    BestEffort,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "production")]
    Production,
}

/// What each task of a job takes of its team's limit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ResourceClaim {
    #[serde(rename = "desk")]
    pub team: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
}

/// A job as its user describes it, checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(rename = "lot")]
    pub class: String,
    #[serde(rename = "desk")]
    pub team: String,
    #[serde(rename = "binding")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "leaves")]
    pub tasks: u32,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    #[serde(rename = "edition")]
    pub image: String,
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    #[serde(rename = "formats", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "room", default)]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub single_zone: bool,
    #[serde(rename = "spread")]
    pub spread: bool,
    #[serde(rename = "remainders")]
    pub spot: bool,
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "shelve_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// The jobs that have to be done before any task of this one starts, each once.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<String>,
}

impl JobSpec {
    /// A job of equal tasks without any special wishes, to start from: of class `c`
    /// and team `t`, with image `i` of 1 GB. Arrays may run on spot machines.
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

/// Why a submission is not a job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0}")]
    Bad(&'static str),
}

/// A submission: its id as far as it can be told, and the job or what is wrong.
///
/// The id comes apart from the rest because a known job is answered as known
/// whatever a repeated submission holds besides.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    pub id: Option<String>,
    pub spec: Result<Box<JobSpec>, SpecError>,
}

#[derive(Deserialize)]
struct OnlyId {
    #[serde(rename = "ref")]
    id: Option<String>,
}

#[derive(Deserialize)]
struct RawSpec {
    #[serde(rename = "ref")]
    id: Option<String>,
    #[serde(rename = "lot")]
    lot: Option<String>,
    #[serde(rename = "desk")]
    desk: Option<String>,
    #[serde(rename = "binding")]
    binding: Option<String>,
    #[serde(rename = "urgency")]
    urgency: Option<String>,
    #[serde(rename = "leaves")]
    leaves: Option<u64>,
    #[serde(rename = "vcpus")]
    vcpus: Option<f64>,
    #[serde(rename = "accelerators")]
    accelerators: Option<f64>,
    #[serde(rename = "ram_gb")]
    ram_gb: Option<f64>,
    #[serde(rename = "edition")]
    edition: Option<String>,
    #[serde(rename = "pull_gb")]
    pull_gb: Option<f64>,
    #[serde(rename = "formats")]
    formats: Option<Vec<String>>,
    #[serde(rename = "room")]
    room: Option<String>,
    #[serde(rename = "same_place")]
    same_place: Option<bool>,
    #[serde(rename = "spread")]
    spread: Option<bool>,
    #[serde(rename = "remainders")]
    remainders: Option<bool>,
    #[serde(rename = "reckon_s")]
    reckon_s: Option<f64>,
    #[serde(rename = "bookmark_s")]
    bookmark_s: Option<f64>,
    #[serde(rename = "shelve_s")]
    shelve_s: Option<f64>,
    #[serde(rename = "due_s")]
    due_s: Option<f64>,
    #[serde(rename = "awaits")]
    depends_on: Option<Value>,
}

/// Whether `id` has the form of a job id: `req-` and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("req-")
        .is_some_and(|n| (1..=32).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Reads a submission's body.
pub fn parse_submission(body: &[u8]) -> Submission {
    let id = decode::<OnlyId>(body)
        .ok()
        .and_then(|o| o.id)
        .filter(|id| is_job_id(id));
    Submission {
        spec: decode::<RawSpec>(body)
            .map_err(SpecError::from)
            .and_then(|raw| raw.check().map(Box::new)),
        id,
    }
}

fn text(v: Option<String>, name: &'static str, bad: &'static str) -> Result<String, SpecError> {
    let v = v.ok_or(SpecError::Missing(name))?;
    if v.is_empty() || v.len() > MAX_TEXT {
        return Err(SpecError::Bad(bad));
    }
    Ok(v)
}

fn amount(v: Option<f64>, name: &'static str, bad: &'static str) -> Result<f64, SpecError> {
    let v = v.ok_or(SpecError::Missing(name))?;
    if !v.is_finite() || !(0.0..=1e9).contains(&v) {
        return Err(SpecError::Bad(bad));
    }
    Ok(v)
}

/// The names in a list of jobs, each once, in the order given.
fn names(list: Option<Value>) -> Result<Vec<String>, SpecError> {
    let bad = SpecError::Bad("awaits must be a list of refs");
    let list = match list {
        None => return Ok(Vec::new()),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(bad),
    };
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for name in list {
        let Some(name) = name.as_str() else {
            return Err(bad);
        };
        if seen.insert(name.to_string()) {
            names.push(name.to_string());
        }
    }
    Ok(names)
}

impl RawSpec {
    fn check(self) -> Result<JobSpec, SpecError> {
        use SpecError::{Bad, Missing};
        let id = self.id.ok_or(Missing("ref"))?;
        if !is_job_id(&id) {
            return Err(Bad("ref is not in its form"));
        }
        let kind = match self.binding.ok_or(Missing("binding"))?.as_str() {
            "batch" => JobKind::Batch,
            "standing" => JobKind::Service,
            _ => return Err(Bad("binding must be batch or standing")),
        };
        let priority = match self.urgency.ok_or(Missing("urgency"))?.as_str() {
            "production" => Priority::Production,
            "high" => Priority::High,
            "normal" => Priority::Normal,
            "best_effort" => Priority::BestEffort,
            _ => return Err(Bad("urgency is unknown")),
        };
        let tasks = self.leaves.ok_or(Missing("leaves"))?;
        let tasks = match u32::try_from(tasks) {
            Ok(n @ 1..=MAX_TASKS) => n,
            _ => return Err(Bad("leaves must be from 1 to 100000")),
        };
        if let Some(types) = &self.formats
            && (types.len() > MAX_LIST || types.iter().any(|t| t.len() > MAX_TEXT))
        {
            return Err(Bad("formats is too long"));
        }
        if let Some(zone) = &self.room
            && (zone.is_empty() || zone.len() > MAX_TEXT)
        {
            return Err(Bad("room is not a zone name"));
        }
        let cpus = amount(self.vcpus, "vcpus", "vcpus is out of range")?;
        let gpus = amount(
            self.accelerators,
            "accelerators",
            "accelerators is out of range",
        )?;
        let memory_gb = amount(self.ram_gb, "ram_gb", "ram_gb is out of range")?;
        let deadline_s = match self.due_s {
            None => None,
            Some(_) => Some(amount(self.due_s, "due_s", "due_s is out of range")?),
        };
        Ok(JobSpec {
            id,
            class: text(self.lot, "lot", "lot is empty or too long")?,
            team: text(self.desk, "desk", "desk is empty or too long")?,
            kind,
            priority,
            tasks,
            cpus,
            gpus,
            memory_gb,
            image: text(self.edition, "edition", "edition is empty or too long")?,
            image_gb: amount(self.pull_gb, "pull_gb", "pull_gb is out of range")?,
            types: self.formats,
            zone: self.room,
            single_zone: self.same_place.ok_or(Missing("same_place"))?,
            spread: self.spread.ok_or(Missing("spread"))?,
            spot: self.remainders.ok_or(Missing("remainders"))?,
            estimate_s: amount(self.reckon_s, "reckon_s", "reckon_s is out of range")?,
            checkpoint_s: amount(self.bookmark_s, "bookmark_s", "bookmark_s is out of range")?,
            save_s: amount(self.shelve_s, "shelve_s", "shelve_s is out of range")?,
            deadline_s,
            depends_on: names(self.depends_on)?,
        })
    }
}

/// What a user is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(rename = "condition")]
    pub state: JobState,
    #[serde(rename = "done", skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    #[serde(rename = "running", skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// The body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    #[serde(rename = "error")]
    pub error: String,
}

/// A request of a user or of the load balancer, by path and method.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    Submit,
    Poll(String),
    Cancel(String),
    Health,
    Heartbeat,
    NotFound,
    WrongMethod,
}

/// Tells what a request is for.
pub fn route(method: &str, target: &str) -> Route {
    let path = target.split('?').next().unwrap_or(target);
    let (route, allowed) = if path == HEALTH_PATH {
        (Route::Health, "GET")
    } else if path == crate::worker::HEARTBEAT_PATH {
        (Route::Heartbeat, "POST")
    } else if path == JOBS_PATH {
        (Route::Submit, "POST")
    } else if let Some(rest) = path
        .strip_prefix(JOBS_PATH)
        .and_then(|r| r.strip_prefix('/'))
    {
        match rest.split_once('/') {
            None if !rest.is_empty() => (Route::Poll(rest.to_string()), "GET"),
            Some((id, "abort")) if !id.is_empty() => (Route::Cancel(id.to_string()), "POST"),
            _ => return Route::NotFound,
        }
    } else {
        return Route::NotFound;
    };
    if method == allowed {
        route
    } else {
        Route::WrongMethod
    }
}

pub fn poll_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}")
}

pub fn cancel_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}/abort")
}
