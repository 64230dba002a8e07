//! The cloud protocol: listing machine types and machines, scaling out, and deleting machines.

use crate::body::is_error_reply;
use crate::{BodyError, HttpRequest, decode, encode};
use serde::{Deserialize, Serialize};

/// Maximum number of machines that one scale-out may request.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Maximum number of machines in one deletion.
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Maximum number of machines in one page of the machine list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;
/// The cloud's error text for a scale-out for which it has no capacity.
const NO_CAPACITY: &str = "no capacity";

/// A type of machine that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    #[serde(rename = "name")]
    pub name: String,
    /// CPUs of one machine.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of one machine.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of one machine, in gigabytes.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Size of its image cache, in gigabytes.
    #[serde(rename = "cache_gb", default)]
    pub cache_gb: f64,
    /// Download rate of images, in gigabytes per second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour. All prices are in the same currency.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price of a spot machine per hour; `None` if the type is not offered as a spot machine.
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    /// Boot time of a machine, in seconds.
    #[serde(rename = "boot_s", default)]
    pub boot_s: f64,
    /// The zones in which the type is offered.
    #[serde(rename = "rooms")]
    pub zones: Vec<String>,
}

/// The response to [`CloudRequest::Types`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types that the cloud offers.
    #[serde(rename = "formats")]
    pub types: Vec<MachineType>,
}

/// A request for new machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOut {
    /// The idempotency key. The cloud carries out requests with the same key only once.
    #[serde(rename = "hire_note")]
    pub idempotency_key: String,
    /// The name of the machine type.
    #[serde(rename = "format")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "room")]
    pub zone: String,
    /// Whether to create spot machines.
    #[serde(rename = "remainders")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_SCALE_OUT`].
    #[serde(rename = "count")]
    pub count: u32,
}

/// Names of machines: the body of a deletion, and of the response to a scale-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "shelves")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine has not booted yet.
    #[serde(rename = "starting")]
    Booting,
    /// The machine has booted.
    #[serde(rename = "running")]
    Running,
    /// The machine did not boot or has failed.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not support.
    #[serde(rename = "Other", other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "ref")]
    pub name: String,
    /// The address at which its worker receives commands, `IP:PORT`; `None` until it is known.
    #[serde(rename = "addr", default)]
    pub addr: Option<String>,
    /// The name of its machine type.
    #[serde(rename = "format")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "room")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "remainders")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "condition")]
    pub state: MachineState,
    /// Time since the scale-out that created it, in seconds.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, in the order of their names.
    #[serde(rename = "shelves")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is a next page.
    #[serde(rename = "more", default)]
    pub more: bool,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Lists the machine types.
    Types,
    /// Creates machines.
    ScaleOut(ScaleOut),
    /// Deletes machines by name, at most [`MAX_MACHINES_PER_DELETION`].
    Delete(Vec<String>),
    /// Reads one page of the list of machines.
    List {
        /// The last machine of the previous page; `None` for the first page.
        after: Option<String>,
    },
}

/// A response of the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    /// The machine types.
    Types(Vec<MachineType>),
    /// The scale-out was carried out. Contains the names of the new machines.
    ScaledOut(Vec<String>),
    /// The scale-out was not carried out because the cloud has no capacity at present.
    NoCapacity,
    /// The machines were deleted.
    Deleted,
    /// One page of the list of machines.
    Listed(MachineList),
    /// The request was not carried out because of a rate limit or because the cloud's API is
    /// unavailable.
    RateLimitedOrUnavailable {
        /// The HTTP status.
        status: u16,
    },
    /// The request was not carried out because it is invalid.
    Malformed,
}

impl CloudRequest {
    /// Converts the request to an HTTP request.
    pub fn to_http(&self) -> HttpRequest {
        match self {
            CloudRequest::Types => HttpRequest::get("/flavors"),
            CloudRequest::ScaleOut(scale_out) => HttpRequest::post("/hosts", encode(scale_out)),
            CloudRequest::Delete(names) => {
                let body = MachineNames {
                    machines: names.clone(),
                };
                HttpRequest::post("/hosts/delete", encode(&body))
            }
            CloudRequest::List { after } => {
                let from = after
                    .as_ref()
                    .map_or(String::new(), |name| format!("from={name}&"));
                HttpRequest::get(format!("/hosts?{from}most={MAX_MACHINES_PER_PAGE}"))
            }
        }
    }

    /// Decodes the response to this request.
    ///
    /// # Errors
    ///
    /// Returns an error if the protocol does not define such a response to this request. The
    /// caller must treat this like a missing response: the request may have been carried out.
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
            (503, CloudRequest::ScaleOut(_)) if is_error_reply(body, NO_CAPACITY) => {
                Ok(CloudResponse::NoCapacity)
            }
            (400 | 404, _) => Ok(CloudResponse::Malformed),
            (429 | 503, _) => Ok(CloudResponse::RateLimitedOrUnavailable { status }),
            _ => Err(BodyError::UnexpectedStatus(status)),
        }
    }
}
