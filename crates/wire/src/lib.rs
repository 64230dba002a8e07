//! Typed bodies of every protocol that dillcleat speaks, and their checks.
//!
//! This crate is the only place that knows how the protocols spell things.
//! Everything above it speaks of jobs, tasks, attempts, machines, zones,
//! teams, leases and terms. Clients written in Rust can use it as it is.

pub mod cloud;
pub mod settings;
pub mod store;
pub mod user;
pub mod worker;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// The protocol's limit for request bodies, and for answers to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("the body is not a map")]
    NotAMap,
    #[error("the body is not valid MessagePack of the expected form: {0}")]
    Malformed(String),
}

/// Reads a body that must be a map with text keys.
///
/// The decoder would take a list for a struct as well; the protocol does not,
/// so the first byte is looked at before anything else.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        Some(_) => return Err(BodyError::NotAMap),
        None => return Err(BodyError::Malformed("it is empty".into())),
    }
    rmp_serde::from_slice(body).map_err(|e| BodyError::Malformed(e.to_string()))
}

/// Writes a body as a map with text keys.
pub fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    // Writing to memory fails only for maps of unknown length, and no type of
    // this crate has one.
    rmp_serde::to_vec_named(body).unwrap_or_default()
}

/// A request to the store or to the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    pub method: &'static str,
    /// The path and the query.
    pub target: String,
    pub body: Vec<u8>,
}

/// A task's name, `JOB/NUMBER` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    pub job: String,
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl std::str::FromStr for TaskName {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, ()> {
        let (job, index) = s.rsplit_once('/').ok_or(())?;
        Ok(TaskName {
            job: job.to_string(),
            index: index.parse().map_err(|_| ())?,
        })
    }
}

impl Serialize for TaskName {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for TaskName {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse()
            .map_err(|()| serde::de::Error::custom("a task name is JOB/NUMBER"))
    }
}
