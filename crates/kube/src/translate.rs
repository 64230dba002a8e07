//! Translates a Kubernetes Job into the specification of a native job.

use crate::fields::{self, JOB_FIELDS};
use crate::quantity;
use crate::settings::Settings;
use crate::status_error::{Cause, CauseReason};
use dillcleat_wire::user::{self, JobKind, JobSpec, Priority};
use k8s_openapi::api::batch::v1::Job;
use k8s_openapi::api::core::v1::{Affinity, Container, PodSpec, PodTemplateSpec};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The prefix of dillcleat's annotations.
pub const ANNOTATION_PREFIX: &str = "dillcleat/";
const ZONE_LABEL: &str = "topology.kubernetes.io/zone";
const INSTANCE_TYPE_LABEL: &str = "node.kubernetes.io/instance-type";
/// The maximum length of the names of objects and containers, as for DNS labels.
const MAX_NAME_BYTES: usize = 63;
/// The maximum of `backoffLimit`. It bounds the number of failed attempts, all of which
/// the object's record lists.
const MAX_BACKOFF_LIMIT: i32 = 100;
const DEFAULT_BACKOFF_LIMIT: i32 = 6;
/// The maximum of times in the spec: one leap year.
const MAX_SPEC_SECONDS: i64 = 366 * 86_400;

/// Annotations for the properties of a job that have no Kubernetes field.
pub const ANNOTATIONS: [(&str, &str); 8] = [
    ("dillcleat/class", "class of the job"),
    (
        "dillcleat/deadline-seconds",
        "deadline, in seconds after submission",
    ),
    ("dillcleat/estimate-seconds", "estimated run time of a task"),
    ("dillcleat/image-gb", "size of the image"),
    ("dillcleat/spot", "`true`: may run on spot machines"),
    ("dillcleat/one-zone", "`true`: all tasks in one zone"),
    (
        "dillcleat/checkpoint-seconds",
        "interval between checkpoints, in seconds",
    ),
    (
        "dillcleat/save-seconds",
        "time that one checkpoint takes, in seconds",
    ),
];

/// A valid Job, and its translation.
#[derive(Debug, Clone, PartialEq)]
pub struct TranslatedJob {
    pub name: String,
    pub labels: BTreeMap<String, String>,
    pub annotations: BTreeMap<String, String>,
    /// The spec of the Job with defaults filled in.
    pub spec: Value,
    /// The native job, with an empty id.
    pub native_job: JobSpec,
    /// The maximum number of tasks that run at a time.
    pub parallelism: u32,
    pub suspend: bool,
}

/// Translates the parts of a Job and collects the errors in its fields.
struct Translator<'a> {
    settings: &'a Settings,
    causes: Vec<Cause>,
}

fn is_dns_label(text: &str) -> bool {
    let inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(inner)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

impl Translator<'_> {
    /// Records an error in a field.
    fn reject(&mut self, path: &str, reason: CauseReason, message: impl Into<String>) {
        self.causes.push(Cause::new(path, reason, message));
    }

    /// Returns the value or its default, and records an error if it is out of range.
    fn number_in_range(
        &mut self,
        path: &str,
        value: Option<i64>,
        default: i64,
        low: i64,
        high: i64,
    ) -> i64 {
        let value = value.unwrap_or(default);
        if !(low..=high).contains(&value) {
            let message = format!("must be from {low} to {high}, is {value}");
            self.reject(path, CauseReason::Invalid, message);
        }
        value
    }

    /// The value of an annotation that is a number from 0 to 1e9.
    fn number_annotation(
        &mut self,
        annotations: &BTreeMap<String, String>,
        key: &str,
    ) -> Option<f64> {
        let value = annotations.get(key)?;
        match value.parse::<f64>() {
            Ok(v) if v.is_finite() && (0.0..=1e9).contains(&v) => Some(v),
            _ => {
                let path = format!("metadata.annotations[{key}]");
                self.reject(
                    &path,
                    CauseReason::Invalid,
                    format!("not an amount: {value:?}"),
                );
                None
            }
        }
    }

    /// The value of an annotation that is `true` or `false`.
    fn bool_annotation(&mut self, annotations: &BTreeMap<String, String>, key: &str) -> bool {
        match annotations.get(key).map(String::as_str) {
            None | Some("false") => false,
            Some("true") => true,
            Some(other) => {
                let path = format!("metadata.annotations[{key}]");
                self.reject(
                    &path,
                    CauseReason::Invalid,
                    format!("must be true or false, is {other:?}"),
                );
                false
            }
        }
    }

    /// The requested amount of a resource. If there is no request, the limit is used.
    fn resource_amount(&mut self, container: &Container, resource: &str, required: bool) -> f64 {
        const RESOURCES: &str = "spec.template.spec.containers[0].resources";
        let resources = container.resources.as_ref();
        let quantity_text = |map: Option<&BTreeMap<String, _>>| -> Option<String> {
            let q: &k8s_openapi::apimachinery::pkg::api::resource::Quantity =
                map.and_then(|m| m.get(resource))?;
            Some(q.0.clone())
        };
        let request = quantity_text(resources.and_then(|r| r.requests.as_ref()));
        let limit = quantity_text(resources.and_then(|r| r.limits.as_ref()));
        let path = |which: &str| format!("{RESOURCES}.{which}[{resource}]");
        let mut parse = |which: &str, text: Option<String>| {
            let text = text?;
            let amount = quantity::parse(&text);
            if amount.is_none() {
                self.reject(
                    &path(which),
                    CauseReason::Invalid,
                    format!("not an amount: {text:?}"),
                );
            }
            amount
        };
        let (request, limit) = (parse("requests", request), parse("limits", limit));
        match (request, limit) {
            (Some(r), Some(l)) if (r - l).abs() > 1e-9 * l.abs() => {
                let message = "must equal the request: a task has what it asks for, no more";
                self.reject(&path("limits"), CauseReason::NotSupported, message);
                r
            }
            (Some(amount), _) | (None, Some(amount)) => amount,
            (None, None) => {
                if required {
                    self.reject(&path("requests"), CauseReason::Required, "must be given");
                }
                0.0
            }
        }
    }

    /// The requested CPUs, memory in GB and accelerators.
    fn resources(&mut self, container: &Container) -> (f64, f64, f64) {
        let accelerator = self.settings.accelerator.clone();
        let maps = container.resources.iter().flat_map(|r| {
            let maps = [("requests", &r.requests), ("limits", &r.limits)];
            maps.into_iter()
                .filter_map(|(which, m)| Some((which, m.as_ref()?)))
        });
        for (which, map) in maps {
            for key in map.keys() {
                if !["cpu", "memory", accelerator.as_str()].contains(&key.as_str()) {
                    let path = format!("spec.template.spec.containers[0].resources.{which}[{key}]");
                    self.reject(&path, CauseReason::NotSupported, "not a resource here");
                }
            }
        }
        let cpus = self.resource_amount(container, "cpu", true);
        let memory = self.resource_amount(container, "memory", true);
        let gpus = self.resource_amount(container, &accelerator, false);
        (cpus, memory / 1e9, gpus)
    }

    /// The allowed machine types and the only allowed zone. Either is None if the pod
    /// does not restrict it.
    fn machine_types_and_zone(&mut self, pod: &PodSpec) -> (Option<Vec<String>>, Option<String>) {
        let (mut types, mut zone) = (None, None);
        for (key, value) in pod.node_selector.iter().flatten() {
            match key.as_str() {
                ZONE_LABEL => zone = Some(value.clone()),
                INSTANCE_TYPE_LABEL => types = Some(vec![value.clone()]),
                _ => {
                    let path = format!("spec.template.spec.nodeSelector[{key}]");
                    self.reject(
                        &path,
                        CauseReason::NotSupported,
                        "only zone and instance type are selected by",
                    );
                }
            }
        }
        if let Some(affinity) = &pod.affinity {
            self.affinity(affinity, &mut types, &mut zone);
        }
        (types, zone)
    }

    /// Applies required node affinity to the machine types and the zone.
    fn affinity(
        &mut self,
        affinity: &Affinity,
        types: &mut Option<Vec<String>>,
        zone: &mut Option<String>,
    ) {
        const TERMS: &str = "spec.template.spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms";
        let node = affinity.node_affinity.as_ref();
        let required = node.and_then(|n| {
            n.required_during_scheduling_ignored_during_execution
                .as_ref()
        });
        let terms = required.map_or(&[][..], |r| r.node_selector_terms.as_slice());
        if terms.len() > 1 {
            self.reject(TERMS, CauseReason::NotSupported, "one term is served");
        }
        let expressions = terms.first().and_then(|t| t.match_expressions.as_ref());
        for (i, e) in expressions.into_iter().flatten().enumerate() {
            let path = format!("{TERMS}[0].matchExpressions[{i}]");
            let values = e.values.clone().unwrap_or_default();
            if e.operator != "In" {
                self.reject(
                    &format!("{path}.operator"),
                    CauseReason::NotSupported,
                    "only In is served",
                );
            }
            match e.key.as_str() {
                INSTANCE_TYPE_LABEL if types.is_some() => {
                    self.reject(
                        &path,
                        CauseReason::NotSupported,
                        "the instance type is selected twice",
                    );
                }
                INSTANCE_TYPE_LABEL => *types = Some(values),
                ZONE_LABEL => match values.as_slice() {
                    [one] if zone.as_ref().is_none_or(|z| z == one) => *zone = Some(one.clone()),
                    _ => self.reject(
                        &format!("{path}.values"),
                        CauseReason::NotSupported,
                        "one zone is served, or any",
                    ),
                },
                _ => self.reject(
                    &format!("{path}.key"),
                    CauseReason::NotSupported,
                    "only zone and instance type are selected by",
                ),
            }
        }
    }

    /// Validates the topology spread constraints and returns whether there are any. Any
    /// constraint sets `spread`, whatever its `maxSkew`: at most half of the tasks run in one
    /// zone.
    fn spread(&mut self, pod: &PodSpec, labels: &BTreeMap<String, String>) -> bool {
        let constraints = pod
            .topology_spread_constraints
            .as_deref()
            .unwrap_or_default();
        for (i, c) in constraints.iter().enumerate() {
            let path = format!("spec.template.spec.topologySpreadConstraints[{i}]");
            if c.topology_key != ZONE_LABEL {
                let message = format!("only {ZONE_LABEL} is served");
                self.reject(
                    &format!("{path}.topologyKey"),
                    CauseReason::NotSupported,
                    message,
                );
            }
            if c.when_unsatisfiable != "DoNotSchedule" {
                let message = "only DoNotSchedule is served";
                self.reject(
                    &format!("{path}.whenUnsatisfiable"),
                    CauseReason::NotSupported,
                    message,
                );
            }
            if c.max_skew < 1 {
                self.reject(
                    &format!("{path}.maxSkew"),
                    CauseReason::Invalid,
                    "must be at least 1",
                );
            }
            let selector = c
                .label_selector
                .as_ref()
                .and_then(|s| s.match_labels.as_ref());
            for (key, value) in selector.into_iter().flatten() {
                if labels.get(key) != Some(value) {
                    let path = format!("{path}.labelSelector.matchLabels[{key}]");
                    self.reject(
                        &path,
                        CauseReason::NotSupported,
                        "must be a label of the template",
                    );
                }
            }
        }
        !constraints.is_empty()
    }

    fn priority(&mut self, pod: &PodSpec) -> Priority {
        match pod.priority_class_name.as_deref() {
            None | Some("" | "normal") => Priority::Normal,
            Some("production") => Priority::Production,
            Some("high") => Priority::High,
            Some("best-effort") => Priority::BestEffort,
            Some(_) => {
                let message = "must be production, high, normal or best-effort";
                self.reject(
                    "spec.template.spec.priorityClassName",
                    CauseReason::NotSupported,
                    message,
                );
                Priority::Normal
            }
        }
    }

    /// Rejects unknown annotations of dillcleat and returns the class of the job.
    fn class(&mut self, annotations: &BTreeMap<String, String>) -> String {
        for key in annotations
            .keys()
            .filter(|k| k.starts_with(ANNOTATION_PREFIX))
        {
            if !ANNOTATIONS.iter().any(|(known, _)| known == key) {
                let path = format!("metadata.annotations[{key}]");
                self.reject(
                    &path,
                    CauseReason::NotSupported,
                    "no such annotation of dillcleat's",
                );
            }
        }
        let class = annotations.get("dillcleat/class");
        match class.or(self.settings.class.as_ref()) {
            Some(class) => class.clone(),
            None => {
                let path = "metadata.annotations[dillcleat/class]";
                self.reject(
                    path,
                    CauseReason::Required,
                    "no class is set for jobs that name none",
                );
                String::new()
            }
        }
    }

    /// Translates a pod template and the annotations of its Job.
    fn native_job_spec(
        &mut self,
        team: &str,
        tasks: u32,
        template: &PodTemplateSpec,
        annotations: &BTreeMap<String, String>,
    ) -> Option<JobSpec> {
        let Some(pod) = &template.spec else {
            self.reject("spec.template.spec", CauseReason::Required, "must be given");
            return None;
        };
        let [container] = pod.containers.as_slice() else {
            let message = format!("one container is served, not {}", pod.containers.len());
            self.reject(
                "spec.template.spec.containers",
                CauseReason::NotSupported,
                message,
            );
            return None;
        };
        if !is_dns_label(&container.name) {
            let message = "must be lower-case letters, digits and dashes";
            self.reject(
                "spec.template.spec.containers[0].name",
                CauseReason::Invalid,
                message,
            );
        }
        let image = container.image.clone().unwrap_or_default();
        if image.is_empty() {
            self.reject(
                "spec.template.spec.containers[0].image",
                CauseReason::Required,
                "must be given",
            );
        }
        let no_labels = BTreeMap::new();
        let metadata = template.metadata.as_ref();
        let labels = metadata
            .and_then(|m| m.labels.as_ref())
            .unwrap_or(&no_labels);
        let (cpus, memory_gb, gpus) = self.resources(container);
        let (types, zone) = self.machine_types_and_zone(pod);
        let spread = self.spread(pod, labels);
        let one_zone = self.bool_annotation(annotations, "dillcleat/one-zone");
        Some(JobSpec {
            // The id is derived from the uid of the object, which is not known yet.
            id: String::new(),
            class: self.class(annotations),
            team: team.to_string(),
            kind: JobKind::Batch,
            priority: self.priority(pod),
            tasks,
            cpus,
            gpus,
            memory_gb,
            image,
            image_gb: self
                .number_annotation(annotations, "dillcleat/image-gb")
                .unwrap_or(0.0),
            types,
            zone,
            single_zone: one_zone,
            spread,
            spot: self.bool_annotation(annotations, "dillcleat/spot"),
            estimate_s: self
                .number_annotation(annotations, "dillcleat/estimate-seconds")
                .unwrap_or(0.0),
            checkpoint_s: self
                .number_annotation(annotations, "dillcleat/checkpoint-seconds")
                .unwrap_or(0.0),
            save_s: self
                .number_annotation(annotations, "dillcleat/save-seconds")
                .unwrap_or(0.0),
            deadline_s: self.number_annotation(annotations, "dillcleat/deadline-seconds"),
            depends_on: Vec::new(),
        })
    }
}

/// The error with which the native API would reject the job, if any.
fn native_api_error(job: &JobSpec) -> Option<String> {
    let id = "req-0".to_string();
    let body = dillcleat_wire::encode(&JobSpec { id, ..job.clone() });
    user::parse_submission(&body)
        .spec
        .err()
        .map(|e| e.to_string())
}

/// Validates the Job that a client has written in `namespace`, fills in its defaults and
/// translates it. Returns all errors in its fields.
pub fn translate_job(
    settings: &Settings,
    namespace: &str,
    object: &Value,
) -> Result<TranslatedJob, Vec<Cause>> {
    let causes = fields::unsupported_fields(JOB_FIELDS, object);
    let mut translator = Translator { settings, causes };
    let job: Job = match serde_json::from_value(object.clone()) {
        Ok(job) => job,
        Err(e) => {
            // The error gives the type of the field but not its path.
            translator.reject(
                "",
                CauseReason::Invalid,
                format!("not a Job of batch/v1: {e}"),
            );
            return Err(translator.causes);
        }
    };
    let name = job.metadata.name.unwrap_or_default();
    if !is_dns_label(&name) {
        let message = "must be 1 to 63 lower-case letters, digits and dashes";
        translator.reject("metadata.name", CauseReason::Invalid, message);
    }
    let annotations = job.metadata.annotations.unwrap_or_default();
    let Some(spec) = job.spec else {
        translator.reject("spec", CauseReason::Required, "must be given");
        return Err(translator.causes);
    };
    if spec.completions.is_none() && spec.parallelism.unwrap_or(1) > 1 {
        let message = "must be given: a queue that its pods empty is not served";
        translator.reject("spec.completions", CauseReason::Required, message);
    }
    let max_tasks = i64::from(user::MAX_TASKS);
    let completions = spec.completions.map(i64::from);
    let tasks = translator.number_in_range("spec.completions", completions, 1, 1, max_tasks);
    let parallelism = spec.parallelism.map(i64::from);
    let max_parallelism = i64::from(i32::MAX);
    let parallelism =
        translator.number_in_range("spec.parallelism", parallelism, 1, 1, max_parallelism);
    let backoff_limit = spec.backoff_limit.map(i64::from);
    let backoff_limit = translator.number_in_range(
        "spec.backoffLimit",
        backoff_limit,
        DEFAULT_BACKOFF_LIMIT.into(),
        0,
        MAX_BACKOFF_LIMIT.into(),
    );
    for (path, value, low) in [
        (
            "spec.activeDeadlineSeconds",
            spec.active_deadline_seconds,
            1,
        ),
        (
            "spec.ttlSecondsAfterFinished",
            spec.ttl_seconds_after_finished.map(i64::from),
            0,
        ),
    ] {
        if value.is_some() {
            translator.number_in_range(path, value, 0, low, MAX_SPEC_SECONDS);
        }
    }
    let mode = spec.completion_mode.unwrap_or_else(|| "NonIndexed".into());
    if !["NonIndexed", "Indexed"].contains(&mode.as_str()) {
        let message = "must be NonIndexed or Indexed";
        translator.reject("spec.completionMode", CauseReason::NotSupported, message);
    }
    let policy = spec
        .template
        .spec
        .as_ref()
        .and_then(|p| p.restart_policy.as_deref());
    if !matches!(policy, Some("Never" | "OnFailure")) {
        let message = "must be Never or OnFailure";
        translator.reject(
            "spec.template.spec.restartPolicy",
            CauseReason::NotSupported,
            message,
        );
    }
    let suspend = spec.suspend.unwrap_or(false);
    let tasks = u32::try_from(tasks).unwrap_or(1);
    let native_job = translator.native_job_spec(namespace, tasks, &spec.template, &annotations);
    if translator.causes.is_empty()
        && let Some(message) = native_job.as_ref().and_then(native_api_error)
    {
        translator.reject("spec", CauseReason::Invalid, message);
    }
    let (Some(native_job), true) = (native_job, translator.causes.is_empty()) else {
        return Err(translator.causes);
    };
    let mut completed_spec = object["spec"].clone();
    for (key, value) in [
        ("completions", json!(tasks)),
        ("parallelism", json!(parallelism)),
        ("backoffLimit", json!(backoff_limit)),
        ("completionMode", json!(mode)),
        ("suspend", json!(suspend)),
    ] {
        completed_spec[key] = value;
    }
    Ok(TranslatedJob {
        name,
        labels: job.metadata.labels.unwrap_or_default(),
        annotations,
        spec: without_nulls(completed_spec),
        native_job,
        parallelism: u32::try_from(parallelism).unwrap_or(u32::MAX),
        suspend,
    })
}

/// Removes fields that are null, which mean the same as absent ones.
fn without_nulls(value: Value) -> Value {
    match value {
        Value::Object(fields) => {
            let kept = fields.into_iter().filter(|(_, v)| !v.is_null());
            Value::Object(kept.map(|(k, v)| (k, without_nulls(v))).collect())
        }
        Value::Array(items) => Value::Array(items.into_iter().map(without_nulls).collect()),
        other => other,
    }
}
