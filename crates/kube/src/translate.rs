//! From a Kubernetes Job to the job that it stands for.

use crate::fault::{Cause, Why};
use crate::fields::{self, OF_JOB};
use crate::quantity;
use crate::settings::Settings;
use dillcleat_wire::user::{self, JobKind, JobSpec, Priority};
use k8s_openapi::api::batch::v1::Job;
use k8s_openapi::api::core::v1::{Affinity, Container, PodSpec, PodTemplateSpec};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// What annotations of ours begin with.
pub const PREFIX: &str = "dillcleat/";
pub const ZONE: &str = "topology.kubernetes.io/zone";
pub const TYPE: &str = "node.kubernetes.io/instance-type";
/// Of either kind, as Kubernetes has it for what becomes a label.
const MAX_NAME: usize = 63;
/// Failed attempts are kept one by one.
const MAX_BACKOFF: i32 = 100;
const BACKOFF: i32 = 6;
const YEAR_S: i64 = 366 * 86_400;

/// The annotations that say what Kubernetes has no field for.
pub const ANNOTATIONS: [(&str, &str); 8] = [
    ("dillcleat/class", "class of jobs that it belongs to"),
    (
        "dillcleat/deadline-seconds",
        "when it should be complete, from its submission on",
    ),
    ("dillcleat/estimate-seconds", "estimated run time of a task"),
    ("dillcleat/image-gb", "size of the image"),
    ("dillcleat/spot", "`true`: may run on spot machines"),
    ("dillcleat/one-zone", "`true`: all tasks in one zone"),
    (
        "dillcleat/checkpoint-seconds",
        "how often a task saves its work",
    ),
    ("dillcleat/save-seconds", "how long that takes"),
];

/// A Job that can be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    pub name: String,
    pub labels: BTreeMap<String, String>,
    pub annotations: BTreeMap<String, String>,
    /// Its spec with the defaults filled in.
    pub spec: Value,
    /// The job that it stands for, but for its reference.
    pub job: JobSpec,
    pub at_most: u32,
    pub suspend: bool,
}

/// Collects what is wrong with an object.
struct Reader<'a> {
    settings: &'a Settings,
    causes: Vec<Cause>,
}

fn is_label(text: &str) -> bool {
    let inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty()
        && text.len() <= MAX_NAME
        && text.bytes().all(inner)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

impl Reader<'_> {
    fn bad(&mut self, path: &str, why: Why, what: impl Into<String>) {
        self.causes.push(Cause::new(path, why, what));
    }

    fn number(&mut self, path: &str, value: Option<i64>, default: i64, low: i64, high: i64) -> i64 {
        let value = value.unwrap_or(default);
        if !(low..=high).contains(&value) {
            let what = format!("must be from {low} to {high}, is {value}");
            self.bad(path, Why::Invalid, what);
        }
        value
    }

    fn seconds(&mut self, notes: &BTreeMap<String, String>, key: &str) -> Option<f64> {
        let value = notes.get(key)?;
        match value.parse::<f64>() {
            Ok(v) if v.is_finite() && (0.0..=1e9).contains(&v) => Some(v),
            _ => {
                let path = format!("metadata.annotations[{key}]");
                self.bad(&path, Why::Invalid, format!("not an amount: {value:?}"));
                None
            }
        }
    }

    fn flag(&mut self, notes: &BTreeMap<String, String>, key: &str) -> bool {
        match notes.get(key).map(String::as_str) {
            None | Some("false") => false,
            Some("true") => true,
            Some(other) => {
                let path = format!("metadata.annotations[{key}]");
                self.bad(
                    &path,
                    Why::Invalid,
                    format!("must be true or false, is {other:?}"),
                );
                false
            }
        }
    }

    fn amount(&mut self, container: &Container, resource: &str, needed: bool) -> f64 {
        const AT: &str = "spec.template.spec.containers[0].resources";
        let all = container.resources.as_ref();
        let of = |map: Option<&BTreeMap<String, _>>| -> Option<String> {
            let q: &k8s_openapi::apimachinery::pkg::api::resource::Quantity =
                map.and_then(|m| m.get(resource))?;
            Some(q.0.clone())
        };
        let request = of(all.and_then(|r| r.requests.as_ref()));
        let limit = of(all.and_then(|r| r.limits.as_ref()));
        let path = |which: &str| format!("{AT}.{which}[{resource}]");
        let mut read = |which: &str, text: Option<String>| {
            let text = text?;
            let amount = quantity::parse(&text);
            if amount.is_none() {
                self.bad(
                    &path(which),
                    Why::Invalid,
                    format!("not an amount: {text:?}"),
                );
            }
            amount
        };
        let (request, limit) = (read("requests", request), read("limits", limit));
        match (request, limit) {
            (Some(r), Some(l)) if (r - l).abs() > 1e-9 * l.abs() => {
                let what = "must equal the request: a task has what it asks for, no more";
                self.bad(&path("limits"), Why::NotSupported, what);
                r
            }
            (Some(amount), _) | (None, Some(amount)) => amount,
            (None, None) => {
                if needed {
                    self.bad(&path("requests"), Why::Required, "must be given");
                }
                0.0
            }
        }
    }

    fn resources(&mut self, container: &Container) -> (f64, f64, f64) {
        let accelerator = self.settings.accelerator.clone();
        let all = container.resources.iter();
        let given = all.flat_map(|r| {
            let maps = [("requests", &r.requests), ("limits", &r.limits)];
            maps.into_iter()
                .filter_map(|(which, m)| Some((which, m.as_ref()?)))
        });
        for (which, map) in given {
            for key in map.keys() {
                if !["cpu", "memory", accelerator.as_str()].contains(&key.as_str()) {
                    let path = format!("spec.template.spec.containers[0].resources.{which}[{key}]");
                    self.bad(&path, Why::NotSupported, "not a resource here");
                }
            }
        }
        let cpus = self.amount(container, "cpu", true);
        let memory = self.amount(container, "memory", true);
        let gpus = self.amount(container, &accelerator, false);
        (cpus, memory / 1e9, gpus)
    }

    /// Allowed machine types and the only zone, if there is one.
    fn place(&mut self, pod: &PodSpec) -> (Option<Vec<String>>, Option<String>) {
        let (mut types, mut zone) = (None, None);
        for (key, value) in pod.node_selector.iter().flatten() {
            match key.as_str() {
                ZONE => zone = Some(value.clone()),
                TYPE => types = Some(vec![value.clone()]),
                _ => {
                    let path = format!("spec.template.spec.nodeSelector[{key}]");
                    self.bad(
                        &path,
                        Why::NotSupported,
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

    fn affinity(
        &mut self,
        affinity: &Affinity,
        types: &mut Option<Vec<String>>,
        zone: &mut Option<String>,
    ) {
        const AT: &str = "spec.template.spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms";
        let node = affinity.node_affinity.as_ref();
        let required = node.and_then(|n| {
            n.required_during_scheduling_ignored_during_execution
                .as_ref()
        });
        let terms = required.map_or(&[][..], |r| r.node_selector_terms.as_slice());
        if terms.len() > 1 {
            self.bad(AT, Why::NotSupported, "one term is served");
        }
        let expressions = terms.first().and_then(|t| t.match_expressions.as_ref());
        for (i, e) in expressions.into_iter().flatten().enumerate() {
            let path = format!("{AT}[0].matchExpressions[{i}]");
            let values = e.values.clone().unwrap_or_default();
            if e.operator != "In" {
                self.bad(
                    &format!("{path}.operator"),
                    Why::NotSupported,
                    "only In is served",
                );
            }
            match e.key.as_str() {
                TYPE if types.is_some() => {
                    self.bad(
                        &path,
                        Why::NotSupported,
                        "the instance type is selected twice",
                    );
                }
                TYPE => *types = Some(values),
                ZONE => match values.as_slice() {
                    [one] if zone.as_ref().is_none_or(|z| z == one) => *zone = Some(one.clone()),
                    _ => self.bad(
                        &format!("{path}.values"),
                        Why::NotSupported,
                        "one zone is served, or any",
                    ),
                },
                _ => self.bad(
                    &format!("{path}.key"),
                    Why::NotSupported,
                    "only zone and instance type are selected by",
                ),
            }
        }
    }

    /// Whether at most half of the tasks may be in one zone.
    fn spread(&mut self, pod: &PodSpec, labels: &BTreeMap<String, String>) -> bool {
        let constraints = pod
            .topology_spread_constraints
            .as_deref()
            .unwrap_or_default();
        for (i, c) in constraints.iter().enumerate() {
            let path = format!("spec.template.spec.topologySpreadConstraints[{i}]");
            if c.topology_key != ZONE {
                let what = format!("only {ZONE} is served");
                self.bad(&format!("{path}.topologyKey"), Why::NotSupported, what);
            }
            if c.when_unsatisfiable != "DoNotSchedule" {
                let what = "only DoNotSchedule is served";
                self.bad(
                    &format!("{path}.whenUnsatisfiable"),
                    Why::NotSupported,
                    what,
                );
            }
            if c.max_skew < 1 {
                self.bad(
                    &format!("{path}.maxSkew"),
                    Why::Invalid,
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
                    self.bad(&path, Why::NotSupported, "must be a label of the template");
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
                let what = "must be production, high, normal or best-effort";
                self.bad(
                    "spec.template.spec.priorityClassName",
                    Why::NotSupported,
                    what,
                );
                Priority::Normal
            }
        }
    }

    fn class(&mut self, notes: &BTreeMap<String, String>) -> String {
        for key in notes.keys().filter(|k| k.starts_with(PREFIX)) {
            if !ANNOTATIONS.iter().any(|(known, _)| known == key) {
                let path = format!("metadata.annotations[{key}]");
                self.bad(
                    &path,
                    Why::NotSupported,
                    "no such annotation of dillcleat's",
                );
            }
        }
        let class = notes.get("dillcleat/class");
        match class.or(self.settings.class.as_ref()) {
            Some(class) => class.clone(),
            None => {
                let path = "metadata.annotations[dillcleat/class]";
                self.bad(
                    path,
                    Why::Required,
                    "no class is set for jobs that name none",
                );
                String::new()
            }
        }
    }

    /// The job of a template, with what its annotations say.
    fn job(
        &mut self,
        team: &str,
        tasks: u32,
        template: &PodTemplateSpec,
        notes: &BTreeMap<String, String>,
    ) -> Option<JobSpec> {
        let Some(pod) = &template.spec else {
            self.bad("spec.template.spec", Why::Required, "must be given");
            return None;
        };
        let [container] = pod.containers.as_slice() else {
            let what = format!("one container is served, not {}", pod.containers.len());
            self.bad("spec.template.spec.containers", Why::NotSupported, what);
            return None;
        };
        if !is_label(&container.name) {
            let what = "must be lower-case letters, digits and dashes";
            self.bad("spec.template.spec.containers[0].name", Why::Invalid, what);
        }
        let image = container.image.clone().unwrap_or_default();
        if image.is_empty() {
            self.bad(
                "spec.template.spec.containers[0].image",
                Why::Required,
                "must be given",
            );
        }
        let none = BTreeMap::new();
        let meta = template.metadata.as_ref();
        let labels = meta.and_then(|m| m.labels.as_ref()).unwrap_or(&none);
        let (cpus, memory_gb, gpus) = self.resources(container);
        let (types, zone) = self.place(pod);
        let spread = self.spread(pod, labels);
        let one_zone = self.flag(notes, "dillcleat/one-zone");
        Some(JobSpec {
            // Known once the object's identity is.
            id: String::new(),
            class: self.class(notes),
            team: team.to_string(),
            kind: JobKind::Batch,
            priority: self.priority(pod),
            tasks,
            cpus,
            gpus,
            memory_gb,
            image,
            image_gb: self.seconds(notes, "dillcleat/image-gb").unwrap_or(0.0),
            types,
            zone,
            single_zone: one_zone,
            spread,
            spot: self.flag(notes, "dillcleat/spot"),
            estimate_s: self
                .seconds(notes, "dillcleat/estimate-seconds")
                .unwrap_or(0.0),
            checkpoint_s: self
                .seconds(notes, "dillcleat/checkpoint-seconds")
                .unwrap_or(0.0),
            save_s: self.seconds(notes, "dillcleat/save-seconds").unwrap_or(0.0),
            deadline_s: self.seconds(notes, "dillcleat/deadline-seconds"),
            depends_on: Vec::new(),
        })
    }
}

/// What the native door would not take of the job.
fn refused(job: &JobSpec) -> Option<String> {
    let id = "req-0".to_string();
    let body = dillcleat_wire::encode(&JobSpec { id, ..job.clone() });
    user::parse_submission(&body)
        .spec
        .err()
        .map(|e| e.to_string())
}

/// Reads a Job of `namespace` as a client wrote it.
pub fn job(settings: &Settings, namespace: &str, object: &Value) -> Result<Wanted, Vec<Cause>> {
    let causes = fields::unserved(OF_JOB, object);
    let mut reader = Reader { settings, causes };
    let job: Job = match serde_json::from_value(object.clone()) {
        Ok(job) => job,
        Err(e) => {
            // Its own message names the field's type, not the path.
            reader.bad("", Why::Invalid, format!("not a Job of batch/v1: {e}"));
            return Err(reader.causes);
        }
    };
    let name = job.metadata.name.unwrap_or_default();
    if !is_label(&name) {
        let what = "must be 1 to 63 lower-case letters, digits and dashes";
        reader.bad("metadata.name", Why::Invalid, what);
    }
    let annotations = job.metadata.annotations.unwrap_or_default();
    let Some(spec) = job.spec else {
        reader.bad("spec", Why::Required, "must be given");
        return Err(reader.causes);
    };
    if spec.completions.is_none() && spec.parallelism.unwrap_or(1) > 1 {
        let what = "must be given: a queue that its pods empty is not served";
        reader.bad("spec.completions", Why::Required, what);
    }
    let most = i64::from(user::MAX_TASKS);
    let completions = spec.completions.map(i64::from);
    let tasks = reader.number("spec.completions", completions, 1, 1, most);
    let parallelism = spec.parallelism.map(i64::from);
    let at_most = reader.number("spec.parallelism", parallelism, 1, 1, i64::from(i32::MAX));
    let limit = spec.backoff_limit.map(i64::from);
    let limit = reader.number(
        "spec.backoffLimit",
        limit,
        BACKOFF.into(),
        0,
        MAX_BACKOFF.into(),
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
            reader.number(path, value, 0, low, YEAR_S);
        }
    }
    let mode = spec.completion_mode.unwrap_or_else(|| "NonIndexed".into());
    if !["NonIndexed", "Indexed"].contains(&mode.as_str()) {
        let what = "must be NonIndexed or Indexed";
        reader.bad("spec.completionMode", Why::NotSupported, what);
    }
    let policy = spec
        .template
        .spec
        .as_ref()
        .and_then(|p| p.restart_policy.as_deref());
    if !matches!(policy, Some("Never" | "OnFailure")) {
        let what = "must be Never or OnFailure";
        reader.bad("spec.template.spec.restartPolicy", Why::NotSupported, what);
    }
    let suspend = spec.suspend.unwrap_or(false);
    let tasks = u32::try_from(tasks).unwrap_or(1);
    let made = reader.job(namespace, tasks, &spec.template, &annotations);
    if reader.causes.is_empty()
        && let Some(what) = made.as_ref().and_then(refused)
    {
        reader.bad("spec", Why::Invalid, what);
    }
    let (Some(made), true) = (made, reader.causes.is_empty()) else {
        return Err(reader.causes);
    };
    let mut filled = object["spec"].clone();
    for (key, value) in [
        ("completions", json!(tasks)),
        ("parallelism", json!(at_most)),
        ("backoffLimit", json!(limit)),
        ("completionMode", json!(mode)),
        ("suspend", json!(suspend)),
    ] {
        filled[key] = value;
    }
    Ok(Wanted {
        name,
        labels: job.metadata.labels.unwrap_or_default(),
        annotations,
        spec: without_nulls(filled),
        job: made,
        at_most: u32::try_from(at_most).unwrap_or(u32::MAX),
        suspend,
    })
}

/// Null is as good as absent, and shorter.
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
