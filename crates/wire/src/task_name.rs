//! Names of tasks.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// The name of a task, encoded as `JOB/NUMBER`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The id of the task's job.
    pub job: String,
    /// The index of the task within the job, starting at 0.
    pub index: u32,
}

/// The error of parsing a string that is not a task name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a task name is JOB/NUMBER")]
pub struct TaskNameError;

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<Self, TaskNameError> {
        let (job, index) = text.rsplit_once('/').ok_or(TaskNameError)?;
        Ok(TaskName {
            job: job.to_string(),
            index: index.parse().map_err(|_| TaskNameError)?,
        })
    }
}

impl Serialize for TaskName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(D::Error::custom)
    }
}
