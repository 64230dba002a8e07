//! The records of objects in the store.
//!
//! - `k/o/RESOURCE/NAMESPACE/NAME`: an existing object ([`Record`]);
//! - `k/d/RESOURCE/NAMESPACE/NAME`: the last deleted object of this name ([`Tombstone`]).

use dillcleat_controller::Micros;
use dillcleat_wire::store::{self, Value as StoreValue};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// The key prefix of objects.
pub const OBJECTS: &str = "k/o/";
const TOMBSTONE_PREFIX: &str = "k/d/";

/// The kinds of objects that are stored.
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

/// Identifies an object. Names are ordered like their keys in the store.
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

    /// The key of the [`Tombstone`] that is written when an object is deleted.
    pub fn tombstone_key(&self) -> String {
        format!("{TOMBSTONE_PREFIX}{self}")
    }

    pub fn from_store_key(key: &str) -> Option<Name> {
        let mut parts = key.strip_prefix(OBJECTS)?.splitn(3, '/');
        Some(Name {
            kind: Kind::of_resource(parts.next()?)?,
            namespace: parts.next()?.to_string(),
            name: parts.next()?.to_string(),
        })
    }
}

/// Why a Job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    #[serde(rename = "c")]
    Complete,
    /// More attempts failed than `backoffLimit`.
    #[serde(rename = "b")]
    BackoffLimit,
    /// `activeDeadlineSeconds` have passed.
    #[serde(rename = "d")]
    Deadline,
    /// The native job was cancelled through the native API.
    #[serde(rename = "x")]
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEnd {
    /// Time of day, in microseconds.
    #[serde(rename = "at")]
    pub at: Micros,
    #[serde(rename = "why")]
    pub reason: EndReason,
}

/// The part of an object's record that only the controllers write.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ObjectState {
    /// The id of the native job that executes this Job; None while the object is suspended.
    #[serde(rename = "j")]
    pub job: Option<String>,
    /// Time of day of the job's submission, in microseconds.
    #[serde(rename = "s")]
    pub started: Option<Micros>,
    /// The failed attempts, as pairs of task and attempt. They are stored individually
    /// and not as a number, so that an attempt that two leaders observe is counted once.
    #[serde(rename = "f")]
    pub failed: Vec<(u32, u64)>,
    #[serde(rename = "e")]
    pub end: Option<JobEnd>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    #[serde(rename = "uid")]
    pub uid: String,
    /// The number of objects that have had this name, including this one.
    #[serde(rename = "run")]
    pub run: u32,
    /// Time of day of the object's creation, in microseconds.
    #[serde(rename = "at")]
    pub created: Micros,
    #[serde(rename = "gen")]
    pub generation: u32,
    #[serde(rename = "labels")]
    pub labels: BTreeMap<String, String>,
    #[serde(rename = "notes")]
    pub annotations: BTreeMap<String, String>,
    /// The spec that the client wrote, with defaults filled in.
    #[serde(rename = "spec")]
    pub spec: Value,
    #[serde(rename = "st")]
    pub state: ObjectState,
}

impl Record {
    /// The size of the record in the store, in bytes of its JSON encoding.
    pub fn stored_size(&self) -> usize {
        store::json_size(&store::encode_value(self))
    }

    pub fn decode(value: &StoreValue) -> Option<Record> {
        store::decode_value(value)
    }
}

/// The record of a deleted object. It gives the next object of this name its `run` number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    #[serde(rename = "uid")]
    pub uid: String,
    #[serde(rename = "run")]
    pub run: u32,
    #[serde(rename = "job")]
    pub job: Option<String>,
}

/// An object with its name and the version of its record in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    pub name: Name,
    pub version: u64,
    pub record: Record,
}
