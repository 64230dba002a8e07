//! What is kept of an object in the state service.
//!
//! - `k/o/RESOURCE/NAMESPACE/NAME`: an object, as long as there is one;
//! - `k/d/RESOURCE/NAMESPACE/NAME`: that there was one of this name, and its run.

use dillcleat_controller::Micros;
use dillcleat_wire::store::{self, Value as StateValue};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

pub const OBJECTS: &str = "k/o/";
const DELETED: &str = "k/d/";

/// The kinds that are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Job,
}

impl Kind {
    pub const ALL: [Kind; 1] = [Kind::Job];

    pub fn resource(self) -> &'static str {
        match self {
            Kind::Job => "jobs",
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Kind::Job => "Job",
        }
    }

    pub fn api_version(self) -> &'static str {
        match self {
            Kind::Job => "batch/v1",
        }
    }

    pub fn of_resource(resource: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.resource() == resource)
    }
}

/// Which object. Ordered as its key in the state service is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    pub kind: Kind,
    pub namespace: String,
    pub name: String,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let resource = self.kind.resource();
        write!(f, "{resource}/{}/{}", self.namespace, self.name)
    }
}

impl Name {
    pub fn key(&self) -> String {
        format!("{OBJECTS}{self}")
    }

    /// Of the record that an object leaves when it is deleted.
    pub fn deleted_key(&self) -> String {
        format!("{DELETED}{self}")
    }

    pub fn parse(key: &str) -> Option<Name> {
        let mut parts = key.strip_prefix(OBJECTS)?.splitn(3, '/');
        Some(Name {
            kind: Kind::of_resource(parts.next()?)?,
            namespace: parts.next()?.to_string(),
            name: parts.next()?.to_string(),
        })
    }
}

/// Why a job is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    #[serde(rename = "c")]
    Complete,
    /// More attempts failed than `backoffLimit`.
    #[serde(rename = "b")]
    BackoffLimit,
    /// `activeDeadlineSeconds` have passed.
    #[serde(rename = "d")]
    Deadline,
    /// It was cancelled as the job that it stands for.
    #[serde(rename = "x")]
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Time of day, in microseconds.
    #[serde(rename = "at")]
    pub at: Micros,
    #[serde(rename = "why")]
    pub why: Ending,
}

/// What stays of a kept object besides what its clients wrote.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobState {
    /// The reference of the job that it stands for; none while it is suspended.
    #[serde(rename = "j")]
    pub job: Option<String>,
    /// Time of day of the job's submission, in microseconds.
    #[serde(rename = "s")]
    pub started: Option<Micros>,
    /// Attempts that ended with an error: task and attempt. Attempts are kept, not
    /// a number, so that one that a second leader hears of counts once.
    #[serde(rename = "f")]
    pub failed: Vec<(u32, u64)>,
    #[serde(rename = "e")]
    pub end: Option<End>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    #[serde(rename = "uid")]
    pub uid: String,
    /// Which object of its name it is, from 1 on.
    #[serde(rename = "run")]
    pub run: u32,
    /// Time of day of its creation, in microseconds.
    #[serde(rename = "at")]
    pub created: Micros,
    #[serde(rename = "gen")]
    pub generation: u32,
    #[serde(rename = "labels")]
    pub labels: BTreeMap<String, String>,
    #[serde(rename = "notes")]
    pub annotations: BTreeMap<String, String>,
    /// As the client wrote it, with the defaults filled in.
    #[serde(rename = "spec")]
    pub spec: Value,
    #[serde(rename = "st")]
    pub state: JobState,
}

impl Record {
    /// Its size in the state service, in bytes of the JSON form.
    pub fn size(&self) -> usize {
        store::json_size(&store::encode_value(self))
    }

    pub fn read(value: &StateValue) -> Option<Record> {
        store::decode_value(value)
    }
}

/// What stays of a name whose object is deleted: the next run's number follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    #[serde(rename = "uid")]
    pub uid: String,
    #[serde(rename = "run")]
    pub run: u32,
    #[serde(rename = "job")]
    pub job: Option<String>,
}

/// An object with the version of its record.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    pub name: Name,
    pub version: u64,
    pub record: Record,
}
