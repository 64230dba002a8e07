//! Decoding and validation of job submissions.

use super::job::{JobKind, JobSpec, Priority};
use crate::{BodyError, decode};
use rmpv::Value;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as NameError, StrDeserializer};
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum size of a string in a job, in bytes, so that the job's record fits in the store.
const MAX_TEXT_BYTES: usize = 128;
/// Maximum number of machine types in a job.
const MAX_MACHINE_TYPES: usize = 32;
/// Maximum of every amount in a job, whether it is in seconds, gigabytes, CPUs or GPUs.
const MAX_AMOUNT: f64 = 1e9;
/// The prefix of every job id, which is followed by digits.
const JOB_ID_PREFIX: &str = "req-";
/// Maximum number of digits in a job id.
const MAX_JOB_ID_DIGITS: usize = 32;

/// A decoded submission: the id, if it can be decoded, and the job or an error.
///
/// The id is decoded separately, because a repeated submission of an existing job is answered
/// with the job's status even if the rest of the submission is invalid.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The job's id, if the body has a valid one.
    pub id: Option<String>,
    /// The job, or the reason why it is rejected.
    pub spec: Result<Box<JobSpec>, SpecError>,
}

/// The reason why a submission is rejected. The text is sent to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The body cannot be decoded.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A required field is absent or null.
    #[error("{0} is missing")]
    Missing(SpecField),
    /// An amount is negative, too large or not a number.
    #[error("{0} is out of range")]
    OutOfRange(SpecField),
    /// A string is empty or too long.
    #[error("{0} is empty or too long")]
    EmptyOrTooLong(SpecField),
    /// A list has too many elements, or one of them is too long.
    #[error("{0} is too long")]
    TooLong(SpecField),
    /// The id is not `req-` followed by digits.
    #[error("{} is not in its form", SpecField::Id)]
    InvalidId,
    /// The kind of job is unknown.
    #[error("{} must be batch or standing", SpecField::Kind)]
    UnknownKind,
    /// The priority is unknown.
    #[error("{} is unknown", SpecField::Priority)]
    UnknownPriority,
    /// The number of tasks is 0 or exceeds [`MAX_TASKS`].
    #[error("{} must be from 1 to {MAX_TASKS}", SpecField::Tasks)]
    InvalidTaskCount,
    /// The zone name is empty or too long.
    #[error("{} is not a zone name", SpecField::Zone)]
    InvalidZone,
    /// The dependencies are not a list of strings.
    #[error("{} must be a list of refs", SpecField::DependsOn)]
    InvalidDependencies,
}

/// A field of a submission, for use in a [`SpecError`]. It is displayed by its name on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpecField {
    /// The id of the job.
    Id,
    /// The class of the job.
    Class,
    /// The team of the job.
    Team,
    /// The kind of the job.
    Kind,
    /// The priority of the job.
    Priority,
    /// The number of tasks.
    Tasks,
    /// CPUs of each task.
    Cpus,
    /// GPUs of each task.
    Gpus,
    /// Memory of each task.
    Memory,
    /// The image name.
    Image,
    /// The image size.
    ImageSize,
    /// The allowed machine types.
    MachineTypes,
    /// The required zone.
    Zone,
    /// Whether all tasks must run in the same zone.
    SingleZone,
    /// Whether the tasks must be spread over zones.
    Spread,
    /// Whether the job may run on spot machines.
    Spot,
    /// The estimated run time of a task.
    Estimate,
    /// The interval between checkpoints.
    Checkpoint,
    /// The time that a task needs to save a checkpoint.
    Save,
    /// The deadline.
    Deadline,
    /// The jobs on which the job depends.
    DependsOn,
}

impl SpecField {
    /// The field's name on the wire.
    const fn wire_name(self) -> &'static str {
        match self {
            SpecField::Id => "ref",
            SpecField::Class => "lot",
            SpecField::Team => "desk",
            SpecField::Kind => "binding",
            SpecField::Priority => "urgency",
            SpecField::Tasks => "leaves",
            SpecField::Cpus => "vcpus",
            SpecField::Gpus => "accelerators",
            SpecField::Memory => "ram_gb",
            SpecField::Image => "edition",
            SpecField::ImageSize => "pull_gb",
            SpecField::MachineTypes => "formats",
            SpecField::Zone => "room",
            SpecField::SingleZone => "same_place",
            SpecField::Spread => "spread",
            SpecField::Spot => "remainders",
            SpecField::Estimate => "reckon_s",
            SpecField::Checkpoint => "bookmark_s",
            SpecField::Save => "shelve_s",
            SpecField::Deadline => "due_s",
            SpecField::DependsOn => "awaits",
        }
    }
}

impl fmt::Display for SpecField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.wire_name())
    }
}

/// Decodes only the id of a submission, the rest of which may be invalid.
#[derive(Deserialize)]
struct RawId {
    #[serde(rename = "ref")]
    id: Option<String>,
}

/// A submission before validation, in which any field may be missing.
#[derive(Deserialize)]
struct RawSpec {
    #[serde(rename = "ref")]
    id: Option<String>,
    #[serde(rename = "lot")]
    class: Option<String>,
    #[serde(rename = "desk")]
    team: Option<String>,
    #[serde(rename = "binding")]
    kind: Option<String>,
    #[serde(rename = "urgency")]
    priority: Option<String>,
    #[serde(rename = "leaves")]
    tasks: Option<u64>,
    #[serde(rename = "vcpus")]
    cpus: Option<f64>,
    #[serde(rename = "accelerators")]
    gpus: Option<f64>,
    #[serde(rename = "ram_gb")]
    memory_gb: Option<f64>,
    #[serde(rename = "edition")]
    image: Option<String>,
    #[serde(rename = "pull_gb")]
    image_gb: Option<f64>,
    #[serde(rename = "formats")]
    types: Option<Vec<String>>,
    #[serde(rename = "room")]
    zone: Option<String>,
    #[serde(rename = "same_place")]
    single_zone: Option<bool>,
    #[serde(rename = "spread")]
    spread: Option<bool>,
    #[serde(rename = "remainders")]
    spot: Option<bool>,
    #[serde(rename = "reckon_s")]
    estimate_s: Option<f64>,
    #[serde(rename = "bookmark_s")]
    checkpoint_s: Option<f64>,
    #[serde(rename = "shelve_s")]
    save_s: Option<f64>,
    #[serde(rename = "due_s")]
    deadline_s: Option<f64>,
    #[serde(rename = "awaits")]
    depends_on: Option<Value>,
}

/// Whether `id` is a valid job id: `req-` followed by digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|digits| {
        (1..=MAX_JOB_ID_DIGITS).contains(&digits.len())
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Decodes and validates the body of a submission.
pub fn parse_submission(body: &[u8]) -> Submission {
    let id = decode::<RawId>(body)
        .ok()
        .and_then(|raw| raw.id)
        .filter(|id| is_job_id(id));
    let spec = decode::<RawSpec>(body)
        .map_err(SpecError::from)
        .and_then(RawSpec::validate)
        .map(Box::new);
    Submission { id, spec }
}

impl RawSpec {
    /// Returns the job, or the first error in the order of these checks.
    fn validate(self) -> Result<JobSpec, SpecError> {
        let id = require(self.id, SpecField::Id)?;
        if !is_job_id(&id) {
            return Err(SpecError::InvalidId);
        }
        let kind = require(self.kind, SpecField::Kind)?;
        let kind: JobKind = from_wire_name(&kind).ok_or(SpecError::UnknownKind)?;
        let priority = require(self.priority, SpecField::Priority)?;
        let priority: Priority = from_wire_name(&priority).ok_or(SpecError::UnknownPriority)?;
        let tasks = parse_task_count(require(self.tasks, SpecField::Tasks)?)?;
        validate_machine_types(self.types.as_deref())?;
        validate_zone(self.zone.as_deref())?;
        let cpus = parse_amount(self.cpus, SpecField::Cpus)?;
        let gpus = parse_amount(self.gpus, SpecField::Gpus)?;
        let memory_gb = parse_amount(self.memory_gb, SpecField::Memory)?;
        let deadline_s = match self.deadline_s {
            None => None,
            Some(_) => Some(parse_amount(self.deadline_s, SpecField::Deadline)?),
        };
        Ok(JobSpec {
            id,
            class: parse_text(self.class, SpecField::Class)?,
            team: parse_text(self.team, SpecField::Team)?,
            kind,
            priority,
            tasks,
            cpus,
            gpus,
            memory_gb,
            image: parse_text(self.image, SpecField::Image)?,
            image_gb: parse_amount(self.image_gb, SpecField::ImageSize)?,
            types: self.types,
            zone: self.zone,
            single_zone: require(self.single_zone, SpecField::SingleZone)?,
            spread: require(self.spread, SpecField::Spread)?,
            spot: require(self.spot, SpecField::Spot)?,
            estimate_s: parse_amount(self.estimate_s, SpecField::Estimate)?,
            checkpoint_s: parse_amount(self.checkpoint_s, SpecField::Checkpoint)?,
            save_s: parse_amount(self.save_s, SpecField::Save)?,
            deadline_s,
            depends_on: parse_dependencies(self.depends_on)?,
        })
    }
}

fn require<T>(value: Option<T>, field: SpecField) -> Result<T, SpecError> {
    value.ok_or(SpecError::Missing(field))
}

fn parse_text(value: Option<String>, field: SpecField) -> Result<String, SpecError> {
    let text = require(value, field)?;
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Err(SpecError::EmptyOrTooLong(field));
    }
    Ok(text)
}

fn parse_amount(value: Option<f64>, field: SpecField) -> Result<f64, SpecError> {
    let amount = require(value, field)?;
    // `contains` returns false for NaN, so NaN is rejected as well.
    if !(0.0..=MAX_AMOUNT).contains(&amount) {
        return Err(SpecError::OutOfRange(field));
    }
    Ok(amount)
}

/// The variant with this name on the wire, as defined by its serde name.
fn from_wire_name<'de, T: Deserialize<'de>>(name: &'de str) -> Option<T> {
    let deserializer: StrDeserializer<'de, NameError> = name.into_deserializer();
    T::deserialize(deserializer).ok()
}

fn parse_task_count(tasks: u64) -> Result<u32, SpecError> {
    match u32::try_from(tasks) {
        Ok(tasks @ 1..=MAX_TASKS) => Ok(tasks),
        _ => Err(SpecError::InvalidTaskCount),
    }
}

fn validate_machine_types(types: Option<&[String]>) -> Result<(), SpecError> {
    let types = types.unwrap_or_default();
    if types.len() > MAX_MACHINE_TYPES || types.iter().any(|name| name.len() > MAX_TEXT_BYTES) {
        return Err(SpecError::TooLong(SpecField::MachineTypes));
    }
    Ok(())
}

fn validate_zone(zone: Option<&str>) -> Result<(), SpecError> {
    match zone {
        Some(zone) if zone.is_empty() || zone.len() > MAX_TEXT_BYTES => Err(SpecError::InvalidZone),
        _ => Ok(()),
    }
}

/// The ids of the jobs on which a job depends, in order and without duplicates.
fn parse_dependencies(list: Option<Value>) -> Result<Vec<String>, SpecError> {
    let list = match list {
        None => return Ok(Vec::new()),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(SpecError::InvalidDependencies),
    };
    let mut seen = BTreeSet::new();
    let mut jobs = Vec::new();
    for job in list {
        let job = job.as_str().ok_or(SpecError::InvalidDependencies)?;
        if seen.insert(job.to_string()) {
            jobs.push(job.to_string());
        }
    }
    Ok(jobs)
}
