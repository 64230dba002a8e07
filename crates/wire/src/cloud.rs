//! The cloud that rents machines.

use crate::{BodyError, HttpRequest, decode, encode};
use serde::{Deserialize, Serialize};

/// The most machines one rental request may ask for.
pub const MAX_SCALE_OUT: u32 = 50;
/// The most machines one deletion may name.
pub const MAX_DELETE: usize = 100;
/// The most rows of one page of the machine list.
pub const MAX_PAGE_ROWS: u32 = 500;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "name")]
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    #[serde(rename = "cache_gb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate")]
    pub price: f64,
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "boot_s", default)]
    pub boot_s: f64,
    #[serde(rename = "rooms")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "formats")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOut {
    #[serde(rename = "hire_note")]
    pub request: String,
    #[serde(rename = "format")]
    pub machine_type: String,
    #[serde(rename = "room")]
    pub zone: String,
    #[serde(rename = "remainders")]
    pub spot: bool,
    #[serde(rename = "count")]
    pub count: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "shelves")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "Other", other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub name: String,
    #[serde(rename = "addr", default)]
    pub addr: Option<String>,
    #[serde(rename = "format")]
    pub machine_type: String,
    #[serde(rename = "room")]
    pub zone: String,
    #[serde(rename = "remainders")]
    pub spot: bool,
    #[serde(rename = "condition")]
    pub state: InstanceState,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "shelves")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "more", default)]
    pub more: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Types,
    ScaleOut(ScaleOut),
    Delete(Vec<String>),
    List { after: Option<String> },
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    Types(Vec<MachineType>),
    ScaledOut(Vec<String>),
    NoCapacity,
    Deleted,
    Listed(MachineList),
    /// Not executed: too many calls, or the interface is in trouble.
    Refused {
        status: u16,
    },
    /// The request itself was at fault.
    Malformed,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(rename = "error")]
    error: Option<String>,
}

impl CloudRequest {
    /// Method, target and body of the request.
    pub fn to_http(&self) -> HttpRequest {
        let (method, target, body) = match self {
            CloudRequest::Types => ("GET", "/flavors".into(), Vec::new()),
            CloudRequest::ScaleOut(rent) => ("POST", "/hosts".into(), encode(rent)),
            CloudRequest::Delete(names) => (
                "POST",
                "/hosts/delete".into(),
                encode(&MachineNames {
                    machines: names.clone(),
                }),
            ),
            CloudRequest::List { after } => {
                let from = after
                    .as_ref()
                    .map_or(String::new(), |a| format!("from={a}&"));
                (
                    "GET",
                    format!("/hosts?{from}most={MAX_PAGE_ROWS}"),
                    Vec::new(),
                )
            }
        };
        HttpRequest {
            method,
            target,
            body,
        }
    }

    /// Reads the answer. Nonsense is an error and counts as no answer.
    pub fn parse_response(&self, status: u16, body: &[u8]) -> Result<CloudResponse, BodyError> {
        match (status, self) {
            (200, CloudRequest::Types) => {
                Ok(CloudResponse::Types(decode::<MachineTypes>(body)?.types))
            }
            (200, CloudRequest::ScaleOut(_)) => Ok(CloudResponse::ScaledOut(
                decode::<MachineNames>(body)?.machines,
            )),
            (200, CloudRequest::Delete(_)) => Ok(CloudResponse::Deleted),
            (200, CloudRequest::List { .. }) => Ok(CloudResponse::Listed(decode(body)?)),
            (503, CloudRequest::ScaleOut(_)) => {
                let full = decode::<ErrorBody>(body)
                    .ok()
                    .and_then(|e| e.error)
                    .is_some_and(|e| e == "no capacity");
                Ok(if full {
                    CloudResponse::NoCapacity
                } else {
                    CloudResponse::Refused { status }
                })
            }
            (400 | 404, _) => Ok(CloudResponse::Malformed),
            (429 | 503, _) => Ok(CloudResponse::Refused { status }),
            (other, _) => Err(BodyError::Malformed(format!("unexpected status {other}"))),
        }
    }
}
