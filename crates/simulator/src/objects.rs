//! Simulated clients of the Kubernetes API: the Jobs that they create, and the checks of
//! the answers and watch events that they receive.

use dillcleat_controller::{Micros, SECOND};
use dillcleat_kube::record::{Kind, Name};
use dillcleat_kube::{ApiServerConfig, Settings, SigningKey};
use dillcleat_wire::user::{JobSpec, JobState, Priority};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The bearer token of every simulated client.
pub const TOKEN: &str = "a-token-for-rehearsals";

/// The signing key of every simulated cluster.
fn signing_key() -> SigningKey {
    // 32 bytes in hexadecimal form always parse.
    SigningKey::parse(&"5c".repeat(32)).unwrap_or_else(|e| panic!("{e}"))
}

/// The default settings of the simulated Kubernetes API.
pub fn api_server_config() -> ApiServerConfig {
    api_server_config_with_limits(5_000, 500)
}

/// Settings with the given limits and two tokens: [`TOKEN`] permits everything, and
/// [`TOKEN`] followed by `-r` permits reads only.
pub fn api_server_config_with_limits(objects: usize, watches: usize) -> ApiServerConfig {
    let key = signing_key();
    let token = |name: &str, secret: &str, verbs: &str| {
        let mac = key.token(secret);
        format!(
            "[[tokens]]\nname = \"{name}\"\nmac = \"{mac}\"\nnamespaces = [\"*\"]\nverbs = [{verbs}]\n"
        )
    };
    let text = format!(
        "listen = \"127.0.0.1:1\"\nkey_file = \"none\"\nclass = \"merge\"\nmax_objects = {objects}\n\
         max_watches = {watches}\nrepeats = [\"again\"]\n{}{}",
        token("all", TOKEN, "\"*\""),
        token(
            "reader",
            &format!("{TOKEN}-r"),
            "\"get\", \"list\", \"watch\""
        ),
    );
    // The text above is valid TOML and valid settings.
    let table: toml::Table = toml::from_str(&text).unwrap_or_else(|e| panic!("{e}"));
    let settings = Settings::read(toml::Value::Table(table)).unwrap_or_else(|e| panic!("{e}"));
    ApiServerConfig::new(settings, key)
}

/// A request of a client about its Job object. The `Debug` form of the variants is hashed
/// into the digest of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRequest {
    Create,
    /// Repeats a create request that succeeded.
    Again,
    Get,
    Resume,
    Delete,
}

/// A Kubernetes Job that a user submits, and what the answers have shown of it.
#[derive(Debug, Clone)]
pub struct KubernetesJob {
    pub name: Name,
    pub uid: String,
    pub manifest: Value,
    /// The Job is also polled and deleted through the Kubernetes API. Otherwise it is only
    /// created through it.
    pub kubernetes_only: bool,
    /// If set, the Job is created suspended and is resumed after this time.
    pub resume_after: Option<Micros>,
    deadline_s: Option<u64>,
    backoff_limit: u64,
    ttl_s: Option<u64>,
    pub tries: u32,
    pub first_try: Micros,
    pub created: Option<Micros>,
    pub resumed: bool,
    pub delete_tries: u32,
    pub deleted: bool,
    /// The reason why the Job ended, and when an answer first showed it.
    ended: Option<(String, Micros)>,
}

impl KubernetesJob {
    /// Turns a user's batch job into a Kubernetes Job. The id of the batch job becomes the
    /// one that the service derives from the Job's name and uid.
    pub fn new(
        number: usize,
        spec: &mut JobSpec,
        kubernetes_only: bool,
        rng: &mut Rng,
    ) -> KubernetesJob {
        let name = Name {
            kind: Kind::Job,
            namespace: spec.team.clone(),
            name: format!("job-{number}"),
        };
        let key = signing_key();
        let uid = key.uid("jobs", &name.namespace, &name.name, 1);
        spec.id = key.job(&name.namespace, &name.name, &uid);
        let mut job = KubernetesJob {
            uid,
            manifest: Value::Null,
            kubernetes_only,
            resume_after: None,
            deadline_s: None,
            // The native API has no such limit: don't end jobs whose tasks fail.
            backoff_limit: 100,
            ttl_s: None,
            tries: 0,
            first_try: 0,
            created: None,
            resumed: false,
            delete_tries: 0,
            deleted: false,
            ended: None,
            name,
        };
        if kubernetes_only {
            job.resume_after = (rng.u8(..5) == 0).then(|| rng.u64(SECOND..20 * SECOND));
            job.deadline_s = (rng.u8(..8) == 0).then(|| rng.u64(10..120));
            job.backoff_limit = rng.u64(0..7);
            job.ttl_s = (rng.u8(..4) == 0).then(|| rng.u64(0..40));
        }
        job.manifest = job.manifest_of(spec);
        job
    }

    fn manifest_of(&self, spec: &JobSpec) -> Value {
        let mut selector = BTreeMap::new();
        if let Some(zone) = &spec.zone {
            selector.insert("topology.kubernetes.io/zone", zone.clone());
        }
        if let Some([only]) = spec.types.as_deref() {
            selector.insert("node.kubernetes.io/instance-type", only.clone());
        }
        let spread = spec.spread.then(|| {
            json!([{"maxSkew": 1, "topologyKey": "topology.kubernetes.io/zone",
                "whenUnsatisfiable": "DoNotSchedule", "labelSelector": {"matchLabels": {"app": "x"}}}])
        });
        let mut annotations = BTreeMap::from([
            ("dillcleat/class", spec.class.clone()),
            ("dillcleat/estimate-seconds", spec.estimate_s.to_string()),
            ("dillcleat/image-gb", spec.image_gb.to_string()),
            ("dillcleat/spot", spec.spot.to_string()),
            ("dillcleat/one-zone", spec.single_zone.to_string()),
        ]);
        if let Some(deadline) = spec.deadline_s {
            annotations.insert("dillcleat/deadline-seconds", deadline.to_string());
        }
        let priority = match spec.priority {
            Priority::Production => "production",
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::BestEffort => "best-effort",
        };
        json!({
            "apiVersion": "batch/v1", "kind": "Job",
            "metadata": {"name": self.name.name, "labels": {"of": "rehearsal"}, "annotations": annotations},
            "spec": {
                "completions": spec.tasks, "parallelism": spec.tasks,
                "backoffLimit": self.backoff_limit, "activeDeadlineSeconds": self.deadline_s,
                "ttlSecondsAfterFinished": self.ttl_s,
                "suspend": self.resume_after.is_some(),
                "template": {
                    "metadata": {"labels": {"app": "x"}},
                    "spec": {
                        "restartPolicy": "Never", "priorityClassName": priority,
                        "nodeSelector": selector, "topologySpreadConstraints": spread,
                        "containers": [{"name": "main", "image": spec.image, "resources": {"requests":
                            {"cpu": spec.cpus.to_string(), "memory": format!("{}G", spec.memory_gb)}}}],
                    },
                },
            },
        })
    }

    /// Whether the service may end the Job without a request to cancel it.
    pub fn may_fail(&self) -> bool {
        self.deadline_s.is_some() || self.backoff_limit < 3
    }

    pub fn path(&self) -> String {
        format!("/apis/batch/v1/namespaces/{}/jobs", self.name.namespace)
    }

    pub fn own_path(&self) -> String {
        format!("{}/{}", self.path(), self.name.name)
    }

    /// Whether the service deletes the Job some time after it ended.
    pub fn may_expire(&self) -> bool {
        self.ttl_s.is_some()
    }

    /// Checks the object in an answer and records its end. Returns how the Job ended, if it
    /// has, or what is wrong with the object.
    pub fn check_object(
        &mut self,
        object: &Value,
        now: Micros,
    ) -> Result<Option<JobState>, String> {
        let name = &self.name;
        let text = |pointer: &str| object.pointer(pointer).and_then(Value::as_str);
        if text("/metadata/uid") != Some(&self.uid) {
            return Err(format!(
                "{name}: expected uid {}, got another object: {object}",
                self.uid
            ));
        }
        if self.deleted {
            return Err(format!(
                "{name}: still returned after its deletion was confirmed"
            ));
        }
        let conditions = object
            .pointer("/status/conditions")
            .and_then(Value::as_array);
        let conditions = conditions.into_iter().flatten();
        let mut ends = conditions.filter(|c| c["type"] == "Complete" || c["type"] == "Failed");
        let Some(end) = ends.next() else {
            return match &self.ended {
                Some((before, _)) => Err(format!("{name}: ended with {before}, now has no end")),
                None => Ok(None),
            };
        };
        let reason = end["reason"].as_str().unwrap_or_default().to_string();
        if let Some((before, _)) = self.ended.as_ref().filter(|(before, _)| *before != reason) {
            return Err(format!("{name}: ended with {before}, now with {reason}"));
        }
        self.ended.get_or_insert((reason.clone(), now));
        let failed = object.pointer("/status/failed").and_then(Value::as_u64);
        let age = now.saturating_sub(self.first_try) + SECOND;
        let deadline = self.deadline_s.map_or(u64::MAX, |s| s * SECOND);
        match reason.as_str() {
            "CompletionsReached" => Ok(Some(JobState::Done)),
            "BackoffLimitExceeded" if failed > Some(self.backoff_limit) => {
                Ok(Some(JobState::Cancelled))
            }
            "DeadlineExceeded" if age >= deadline => Ok(Some(JobState::Cancelled)),
            "Cancelled" if !self.kubernetes_only => Ok(Some(JobState::Cancelled)),
            other => Err(format!(
                "{name}: ended with unexpected reason {other} after {age} us: {object}"
            )),
        }
    }
}

/// A client that watches all Jobs for the whole run, on one controller after another.
#[derive(Debug, Default)]
pub struct Watcher {
    /// The request number of the open watch, its node and that node's epoch.
    pub open: Option<(u64, usize, u32)>,
    /// The resource version up to which it has received all events.
    version: Option<u64>,
    /// The latest received state of each object: uid, resource version and reason of its
    /// end.
    known: BTreeMap<String, (String, u64, Option<String>)>,
    /// Number of ends of objects received, counted again after a restart without a resource
    /// version.
    ends: usize,
    /// Number of objects that appeared in the watch, counted again after a restart without
    /// a resource version.
    added: usize,
    pub last_event_at: Micros,
}

impl Watcher {
    /// The request path of the next watch.
    pub fn path(&self) -> String {
        let since = self.version.map(|v| format!("&resourceVersion={v}"));
        let since = since.unwrap_or_default();
        format!("/apis/batch/v1/jobs?watch=true&allowWatchBookmarks=true{since}")
    }

    /// Records that a watch was opened. One without a resource version sends all objects
    /// again.
    pub fn opened(&mut self, request: u64, node: usize, epoch: u32, now: Micros) {
        self.open = Some((request, node, epoch));
        self.last_event_at = now;
        if self.version.is_none() {
            self.known.clear();
        }
    }

    /// Drops the resource version, so that the next watch starts from the beginning.
    pub fn restart(&mut self) {
        self.version = None;
        self.open = None;
    }

    /// The number of objects that appeared in the watch, and the number of their ends
    /// received.
    pub fn counts(&self) -> (usize, usize) {
        (self.added, self.ends)
    }

    /// Applies one watch event. Returns what is wrong with it, if anything is.
    pub fn check_event(&mut self, line: &Value) -> Result<(), String> {
        let object = &line["object"];
        let text = |pointer: &str| object.pointer(pointer).and_then(Value::as_str);
        let kind = line["type"].as_str().unwrap_or_default();
        if kind == "ERROR" {
            self.restart();
            return if object["code"] == 410 {
                Ok(())
            } else {
                Err(format!(
                    "watch ended with an error other than 410: {object}"
                ))
            };
        }
        let version = text("/metadata/resourceVersion").and_then(|v| v.parse::<u64>().ok());
        let Some(version) = version else {
            return Err(format!("watch event without a resource version: {line}"));
        };
        let resumed = self.version.is_some();
        if kind == "BOOKMARK" {
            self.version = self.version.max(Some(version));
            return Ok(());
        }
        let name = format!(
            "{}/{}",
            text("/metadata/namespace").unwrap_or_default(),
            text("/metadata/name").unwrap_or_default()
        );
        let uid = text("/metadata/uid").unwrap_or_default().to_string();
        let conditions = object
            .pointer("/status/conditions")
            .and_then(Value::as_array);
        let mut conditions = conditions.into_iter().flatten();
        let end = conditions
            .find(|c| c["type"] == "Complete" || c["type"] == "Failed")
            .and_then(|c| c["reason"].as_str().map(str::to_string));
        if let Some((old_uid, old, old_end)) = self.known.get(&name) {
            if resumed && version <= *old && kind != "DELETED" {
                return Err(format!(
                    "{name}: resource version {version} received after {old}"
                ));
            }
            if *old_uid == uid && old_end.is_some() && *old_end != end {
                return Err(format!("{name}: end changed from {old_end:?} to {end:?}"));
            }
            if *old_uid != uid && kind != "ADDED" {
                return Err(format!(
                    "{name}: uid changed from {old_uid} to {uid} without an ADDED event"
                ));
            }
        }
        if kind == "DELETED" {
            self.known.remove(&name);
        } else {
            let before = self.known.insert(name, (uid, version, end.clone()));
            self.added += usize::from(before.is_none());
            let already_ended = before.is_some_and(|(_, _, end)| end.is_some());
            self.ends += usize::from(end.is_some() && !already_ended);
        }
        self.version = self.version.max(Some(version));
        Ok(())
    }

    /// The resource version of each known object by name.
    pub fn known_versions(&self) -> BTreeMap<String, u64> {
        let known = self.known.iter();
        known
            .map(|(name, (_, version, _))| (name.clone(), *version))
            .collect()
    }
}
