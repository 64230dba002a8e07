//! Renders stored objects in the form that clients receive.

use crate::record::{EndReason, JobEnd, Kind, Object};
use dillcleat_controller::Micros;
use k8s_openapi::api::batch::v1::{Job, JobCondition, JobStatus};
use k8s_openapi::apimachinery::pkg::apis::meta::v1::{ObjectMeta, Time};
use k8s_openapi::jiff::Timestamp;
use serde_json::{Value, json};

/// The annotation with the id of the native job that runs an object. The server sets it.
pub const JOB_ANNOTATION: &str = "dillcleat/job";

/// The progress of a job, as last broadcast by the leader.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that are running.
    pub running: u32,
}

/// Converts a time of day in microseconds; None if it is out of range.
pub fn to_kubernetes_time(at: Micros) -> Option<Time> {
    let at = i64::try_from(at).ok()?;
    Timestamp::from_microsecond(at).ok().map(Time)
}

fn to_i32(n: u32) -> Option<i32> {
    i32::try_from(n).ok()
}

pub fn completions(object: &Object) -> u32 {
    let n = object.record.spec["completions"].as_u64();
    n.and_then(|n| u32::try_from(n).ok()).unwrap_or(1)
}

fn condition(end: JobEnd) -> JobCondition {
    let (type_, reason, message) = match end.reason {
        EndReason::Complete => ("Complete", "CompletionsReached", "All tasks are done"),
        EndReason::BackoffLimit => (
            "Failed",
            "BackoffLimitExceeded",
            "More attempts failed than backoffLimit",
        ),
        EndReason::Deadline => (
            "Failed",
            "DeadlineExceeded",
            "It was active for longer than activeDeadlineSeconds",
        ),
        EndReason::Cancelled => (
            "Failed",
            "Cancelled",
            "The job was cancelled by its reference",
        ),
    };
    JobCondition {
        type_: type_.into(),
        status: "True".into(),
        reason: Some(reason.into()),
        message: Some(message.into()),
        last_probe_time: to_kubernetes_time(end.at),
        last_transition_time: to_kubernetes_time(end.at),
    }
}

fn status(object: &Object, progress: Option<Progress>) -> JobStatus {
    let state = &object.record.state;
    let Progress { done, running } = progress.unwrap_or_default();
    let (done, running) = match state.end {
        Some(JobEnd {
            reason: EndReason::Complete,
            ..
        }) => (completions(object), 0),
        Some(_) => (done, 0),
        None => (done, running),
    };
    let suspended = (state.job.is_none() && state.end.is_none()).then(|| JobCondition {
        type_: "Suspended".into(),
        status: "True".into(),
        reason: Some("JobSuspended".into()),
        message: Some("It has not been started".into()),
        last_probe_time: to_kubernetes_time(object.record.created),
        last_transition_time: to_kubernetes_time(object.record.created),
    });
    let conditions: Vec<JobCondition> = state
        .end
        .map(condition)
        .into_iter()
        .chain(suspended)
        .collect();
    let complete = state.end.filter(|e| e.reason == EndReason::Complete);
    JobStatus {
        active: to_i32(running),
        ready: to_i32(running),
        succeeded: to_i32(done),
        failed: i32::try_from(state.failed.len()).ok(),
        start_time: state.started.and_then(to_kubernetes_time),
        completion_time: complete.and_then(|e| to_kubernetes_time(e.at)),
        conditions: Some(conditions).filter(|c| !c.is_empty()),
        ..JobStatus::default()
    }
}

fn metadata(object: &Object) -> ObjectMeta {
    let record = &object.record;
    let mut annotations = record.annotations.clone();
    if let Some(job) = &record.state.job {
        annotations.insert(JOB_ANNOTATION.into(), job.clone());
    }
    ObjectMeta {
        name: Some(object.name.name.clone()),
        namespace: Some(object.name.namespace.clone()),
        uid: Some(record.uid.clone()),
        resource_version: Some(object.version.to_string()),
        generation: Some(record.generation.into()),
        creation_timestamp: to_kubernetes_time(record.created),
        labels: Some(record.labels.clone()).filter(|l| !l.is_empty()),
        annotations: Some(annotations).filter(|a| !a.is_empty()),
        ..ObjectMeta::default()
    }
}

/// The object with its metadata, spec and status.
pub fn to_json(object: &Object, progress: Option<Progress>) -> Value {
    match object.name.kind {
        Kind::Job => {
            let job = Job {
                metadata: metadata(object),
                spec: None,
                status: Some(status(object, progress)),
            };
            // The stored spec is added as JSON, so that it stays as the client wrote it.
            let mut value = json!(job);
            value["spec"] = object.record.spec.clone();
            value
        }
    }
}

/// The object's metadata only, for the rows of tables.
pub fn partial_metadata(object: &Object) -> Value {
    json!({
        "apiVersion": "meta.k8s.io/v1",
        "kind": "PartialObjectMetadata",
        "metadata": metadata(object),
    })
}

/// The phase of a Job, for tables and field selectors.
pub fn phase(object: &Object) -> &'static str {
    let state = &object.record.state;
    match state.end {
        Some(JobEnd {
            reason: EndReason::Complete,
            ..
        }) => "Complete",
        Some(_) => "Failed",
        None if state.job.is_none() => "Suspended",
        None => "Running",
    }
}
