//! Kubernetes-shaped clients: what they hand in, and what they may be told of it.

use dillcleat_controller::{Micros, SECOND};
use dillcleat_kube::record::{Kind, Name};
use dillcleat_kube::{ApiServerConfig, Settings, SigningKey};
use dillcleat_wire::user::{JobSpec, JobState, Priority};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The token of every client here.
pub const TOKEN: &str = "a-token-for-rehearsals";

/// The operators' key of every rehearsal.
fn key() -> SigningKey {
    // Thirty-two bytes of hexadecimal digits cannot be refused.
    SigningKey::parse(&"5c".repeat(32)).unwrap_or_else(|e| panic!("{e}"))
}

/// The rules of a rehearsal's doors.
pub fn rules() -> ApiServerConfig {
    rules_for(5_000, 500)
}

/// A configuration with one token for everything and one, `TOKEN` and `-r`, that may only read.
pub fn rules_for(objects: usize, watches: usize) -> ApiServerConfig {
    let key = key();
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
    // What is made here cannot be refused.
    let table: toml::Table = toml::from_str(&text).unwrap_or_else(|e| panic!("{e}"));
    let settings = Settings::read(toml::Value::Table(table)).unwrap_or_else(|e| panic!("{e}"));
    ApiServerConfig::new(settings, key)
}

/// What a client asks of its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    Create,
    /// The same create, when it is known to be there or to have been.
    Again,
    Get,
    Resume,
    Delete,
}

/// A Job that a user hands in, and what the user has been told of it.
#[derive(Debug, Clone)]
pub struct Plan {
    pub name: Name,
    pub uid: String,
    pub manifest: Value,
    /// Polled and deleted as an object, not only created as one.
    pub throughout: bool,
    /// It is created suspended, and resumed after this time.
    pub resume_after: Option<Micros>,
    deadline_s: Option<u64>,
    backoff: u64,
    ttl_s: Option<u64>,
    pub tries: u32,
    pub first_try: Micros,
    pub created: Option<Micros>,
    pub resumed: bool,
    pub delete_tries: u32,
    pub deleted: bool,
    ended: Option<(String, Micros)>,
}

impl Plan {
    /// Turns a user's array into a Job, under the reference that follows from it.
    pub fn new(number: usize, spec: &mut JobSpec, throughout: bool, rng: &mut Rng) -> Plan {
        let name = Name {
            kind: Kind::Job,
            namespace: spec.team.clone(),
            name: format!("job-{number}"),
        };
        let key = key();
        let uid = key.uid("jobs", &name.namespace, &name.name, 1);
        spec.id = key.job(&name.namespace, &name.name, &uid);
        let mut plan = Plan {
            uid,
            manifest: Value::Null,
            throughout,
            resume_after: None,
            deadline_s: None,
            // What fails is not to be stopped where native work goes on.
            backoff: 100,
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
        if throughout {
            plan.resume_after = (rng.u8(..5) == 0).then(|| rng.u64(SECOND..20 * SECOND));
            plan.deadline_s = (rng.u8(..8) == 0).then(|| rng.u64(10..120));
            plan.backoff = rng.u64(0..7);
            plan.ttl_s = (rng.u8(..4) == 0).then(|| rng.u64(0..40));
        }
        plan.manifest = plan.describe(spec);
        plan
    }

    fn describe(&self, spec: &JobSpec) -> Value {
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
        let mut notes = BTreeMap::from([
            ("dillcleat/class", spec.class.clone()),
            ("dillcleat/estimate-seconds", spec.estimate_s.to_string()),
            ("dillcleat/image-gb", spec.image_gb.to_string()),
            ("dillcleat/spot", spec.spot.to_string()),
            ("dillcleat/one-zone", spec.single_zone.to_string()),
        ]);
        if let Some(due) = spec.deadline_s {
            notes.insert("dillcleat/deadline-seconds", due.to_string());
        }
        let priority = match spec.priority {
            Priority::Production => "production",
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::BestEffort => "best-effort",
        };
        json!({
            "apiVersion": "batch/v1", "kind": "Job",
            "metadata": {"name": self.name.name, "labels": {"of": "rehearsal"}, "annotations": notes},
            "spec": {
                "completions": spec.tasks, "parallelism": spec.tasks,
                "backoffLimit": self.backoff, "activeDeadlineSeconds": self.deadline_s,
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

    /// Whether the service may well end it without being asked to.
    pub fn may_fail(&self) -> bool {
        self.deadline_s.is_some() || self.backoff < 3
    }

    pub fn path(&self) -> String {
        format!("/apis/batch/v1/namespaces/{}/jobs", self.name.namespace)
    }

    pub fn own_path(&self) -> String {
        format!("{}/{}", self.path(), self.name.name)
    }

    /// Whether it may have been deleted after its time.
    pub fn may_expire(&self) -> bool {
        self.ttl_s.is_some()
    }

    /// Takes up what an answer shows of the object: how it ended, if it has; or what
    /// is wrong with that.
    pub fn shown(&mut self, object: &Value, now: Micros) -> Result<Option<JobState>, String> {
        let name = &self.name;
        let text = |pointer: &str| object.pointer(pointer).and_then(Value::as_str);
        if text("/metadata/uid") != Some(&self.uid) {
            return Err(format!("{name}: another object of its name: {object}"));
        }
        if self.deleted {
            return Err(format!("{name}: there after it was deleted"));
        }
        let conditions = object
            .pointer("/status/conditions")
            .and_then(Value::as_array);
        let ends = conditions.into_iter().flatten();
        let mut ends = ends.filter(|c| c["type"] == "Complete" || c["type"] == "Failed");
        let Some(end) = ends.next() else {
            return match &self.ended {
                Some((was, _)) => Err(format!("{name}: was {was}, is open")),
                None => Ok(None),
            };
        };
        let reason = end["reason"].as_str().unwrap_or_default().to_string();
        if let Some((was, _)) = self.ended.as_ref().filter(|(was, _)| *was != reason) {
            return Err(format!("{name}: was {was}, is {reason}"));
        }
        self.ended.get_or_insert((reason.clone(), now));
        let failed = object.pointer("/status/failed").and_then(Value::as_u64);
        let since = now.saturating_sub(self.first_try) + SECOND;
        let due = self.deadline_s.map_or(u64::MAX, |s| s * SECOND);
        match reason.as_str() {
            "CompletionsReached" => Ok(Some(JobState::Done)),
            "BackoffLimitExceeded" if failed > Some(self.backoff) => Ok(Some(JobState::Cancelled)),
            "DeadlineExceeded" if since >= due => Ok(Some(JobState::Cancelled)),
            "Cancelled" if !self.throughout => Ok(Some(JobState::Cancelled)),
            other => Err(format!("{name}: ended for no cause: {other}, {object}")),
        }
    }
}

/// One client that watches every Job all day long, at one controller after the other.
#[derive(Debug, Default)]
pub struct Watcher {
    /// The watch's request, its node and that node's epoch.
    pub open: Option<(u64, usize, u32)>,
    /// Up to which version it knows everything.
    version: Option<u64>,
    /// What it has been told of each object: uid, version, and how it ended.
    known: BTreeMap<String, (String, u64, Option<String>)>,
    ends: usize,
    added: usize,
    pub heard_at: Micros,
}

impl Watcher {
    /// The path of the next watch.
    pub fn path(&self) -> String {
        let since = self.version.map(|v| format!("&resourceVersion={v}"));
        let since = since.unwrap_or_default();
        format!("/apis/batch/v1/jobs?watch=true&allowWatchBookmarks=true{since}")
    }

    /// A watch begins: from nothing, everything is told again.
    pub fn begins(&mut self, request: u64, node: usize, epoch: u32, now: Micros) {
        self.open = Some((request, node, epoch));
        self.heard_at = now;
        if self.version.is_none() {
            self.known.clear();
        }
    }

    /// What was known is too old.
    pub fn forget(&mut self) {
        self.version = None;
        self.open = None;
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.added, self.ends)
    }

    /// Takes a line up; tells what is wrong with it.
    pub fn line(&mut self, line: &Value) -> Result<(), String> {
        let object = &line["object"];
        let text = |pointer: &str| object.pointer(pointer).and_then(Value::as_str);
        let kind = line["type"].as_str().unwrap_or_default();
        if kind == "ERROR" {
            self.forget();
            return if object["code"] == 410 {
                Ok(())
            } else {
                Err(format!("a watch ends with {object}"))
            };
        }
        let version = text("/metadata/resourceVersion").and_then(|v| v.parse::<u64>().ok());
        let Some(version) = version else {
            return Err(format!("no version: {line}"));
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
                return Err(format!("{name}: version {version} after {old}"));
            }
            if *old_uid == uid && old_end.is_some() && *old_end != end {
                return Err(format!("{name}: was {old_end:?}, is {end:?}"));
            }
            if *old_uid != uid && kind != "ADDED" {
                return Err(format!("{name}: became another object"));
            }
        }
        if kind == "DELETED" {
            self.known.remove(&name);
        } else {
            let before = self.known.insert(name, (uid, version, end.clone()));
            self.added += usize::from(before.is_none());
            let told = before.is_some_and(|(_, _, end)| end.is_some());
            self.ends += usize::from(end.is_some() && !told);
        }
        self.version = self.version.max(Some(version));
        Ok(())
    }

    /// What it knows: names and versions.
    pub fn view(&self) -> BTreeMap<String, u64> {
        let known = self.known.iter();
        known
            .map(|(name, (_, version, _))| (name.clone(), *version))
            .collect()
    }
}
