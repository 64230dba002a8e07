//! The cloud's protocol: machine types, and machines that are scaled out and deleted.

use crate::body::is_refusal;
use crate::{BodyError, HttpRequest, decode, encode};
use serde::{Deserialize, Serialize};

/// The most machines that one scale-out may ask for.
pub const MAX_SCALE_OUT: u32 = 50;
/// The most machines that one deletion may name.
pub const MAX_DELETE: usize = 100;
/// The most rows of one page of the machine list.
pub const MAX_PAGE_ROWS: u32 = 500;
/// How the cloud refuses a scale-out for which it has no machines.
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
    /// How fast it fetches images, in gigabytes a second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine. All prices are in the same unit.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price of a spot machine; None if there are no spot machines of this type.
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    /// How long a machine takes to boot, in seconds.
    #[serde(rename = "boot_s", default)]
    pub boot_s: f64,
    /// The zones that have this type.
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
    /// The request's id. The cloud carries out requests with the same id only once.
    #[serde(rename = "hire_note")]
    pub request: String,
    /// The name of the machine type.
    #[serde(rename = "format")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "room")]
    pub zone: String,
    /// Whether spot machines are asked for.
    #[serde(rename = "remainders")]
    pub spot: bool,
    /// How many machines, at most [`MAX_SCALE_OUT`].
    #[serde(rename = "count")]
    pub count: u32,
}

/// Machines by name: what a deletion names, and what a scale-out has made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "shelves")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// It has not yet booted.
    #[serde(rename = "starting")]
    Booting,
    /// It has booted.
    #[serde(rename = "running")]
    Running,
    /// It did not boot, or has broken down.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know.
    #[serde(rename = "Other", other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Where its worker takes commands, `IP:PORT`, once that is known.
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
    pub state: InstanceState,
    /// How long ago it was scaled out, in seconds.
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
    /// Asks for the machine types.
    Types,
    /// Scales out.
    ScaleOut(ScaleOut),
    /// Deletes machines by name, at most [`MAX_DELETE`].
    Delete(Vec<String>),
    /// Asks for one page of the list of machines.
    List {
        /// The last machine of the page before; None for the first page.
        after: Option<String>,
    },
}

/// What the cloud answered.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    /// The machine types.
    Types(Vec<MachineType>),
    /// The names of the new machines.
    ScaledOut(Vec<String>),
    /// Not carried out: the cloud has no such machines at present.
    NoCapacity,
    /// The machines are deleted.
    Deleted,
    /// One page of the list of machines.
    Listed(MachineList),
    /// Not carried out: too many requests, or the cloud's interface is in trouble.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// Not carried out: the request itself was at fault.
    Malformed,
}

impl CloudRequest {
    /// The request as it goes over HTTP.
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
                HttpRequest::get(format!("/hosts?{from}most={MAX_PAGE_ROWS}"))
            }
        }
    }

    /// Reads the response to this request.
    ///
    /// # Errors
    ///
    /// The response is not one that the protocol has for this request. That counts as no
    /// response: the request may have been carried out.
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
            (503, CloudRequest::ScaleOut(_)) if is_refusal(body, NO_CAPACITY) => {
                Ok(CloudResponse::NoCapacity)
            }
            (400 | 404, _) => Ok(CloudResponse::Malformed),
            (429 | 503, _) => Ok(CloudResponse::Refused { status }),
            _ => Err(BodyError::UnexpectedStatus(status)),
        }
    }
}
