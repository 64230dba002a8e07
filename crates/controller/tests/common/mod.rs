//! A node with the settings of a small deployment.

// Each test file uses a part of this.
#![allow(dead_code)]

pub mod fleet;
pub mod gap;
pub mod users;

use dillcleat_controller::records::{self, MachineRecord, MachineTypesRecord};
use dillcleat_controller::{
    CallError, CallId, Config, Input, Micros, Node, Output, RequestId, Timestamp, Tuning,
};
use dillcleat_wire::cloud::{CloudRequest, CloudResponse, MachineList, MachineType};
use dillcleat_wire::encode;
use dillcleat_wire::settings::{PlatformSettings, Team};
use dillcleat_wire::store::{
    KeyValue, LeaseId, RangePage, StoreRequest, StoreResponse, Transaction, encode_value,
};
use dillcleat_wire::worker::{HEARTBEAT_PATH, Heartbeat};

const SETTINGS: &str = r#"
member = "n0"
site = "a"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
siblings = [
    { member = "n1", site = "a", peer_addr = "127.0.0.1:3" },
    { member = "n2", site = "a", peer_addr = "127.0.0.1:4" },
]
[endpoints]
cloud = "127.0.0.1:5"
state = "127.0.0.1:6"
[cluster]
size = 3
zones = ["a"]
clock_error_ms = 250.0
[cluster.workers]
report_s = 2.0
lease_s = 14.0
cancel_s = 44.0
[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48
[cluster.cloud]
rps = 2.0
list_lag_s = 4.0
[cluster.quota]
cpu_share = 0.1
mem_mb = 72.0
max_connections = 900
"#;

pub fn node() -> Node {
    let platform = PlatformSettings::parse(SETTINGS).expect("good settings");
    Node::new(Config::new(&platform, Tuning::default()))
}

/// The settings of `node` with a team `t` without a limit.
pub fn config_with_team() -> Config {
    let mut config = node().config().clone();
    config.teams.push(Team {
        name: "t".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    config
}

/// A machine type `t` in zone a with so many CPUs.
pub fn machine_type(cpus: f64) -> MachineType {
    MachineType {
        name: "t".into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 8.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: None,
        boot_s: 5.0,
        zones: vec!["a".into()],
    }
}

/// Its record.
pub fn types(cpus: f64) -> KeyValue {
    let types = vec![machine_type(cpus)];
    KeyValue {
        key: records::TYPES.into(),
        value: encode_value(&MachineTypesRecord { types }),
        version: 1,
        lease: None,
    }
}

/// The same with a sibling in zone b and one in zone c.
pub fn node_of_three_zones() -> Node {
    let text = include_str!("../../../../deploy/example-node.toml");
    let platform = PlatformSettings::parse(text).expect("good settings");
    Node::new(Config::new(&platform, Tuning::default()))
}

/// Answers every call but watches, so that the node leads and stays leader.
/// `machines` are on record in the store.
pub fn step(node: &mut Node, at: Micros, input: Input, machines: &[KeyValue]) -> Vec<u16> {
    step_and_calls(node, at, input, machines).0
}

/// The same with the calls to the cloud, which has nothing to rent.
pub fn step_and_calls(
    node: &mut Node,
    at: Micros,
    input: Input,
    machines: &[KeyValue],
) -> (Vec<u16>, Vec<CloudRequest>) {
    step_with(node, at, input, machines, &mut Around::default())
}

/// What of its surroundings answers a node.
pub struct Around {
    pub state: bool,
    pub cloud: bool,
    /// What the cloud says that it rents; in fact it has nothing.
    pub types: Vec<MachineType>,
    /// The records of the lead, the term and the machine types.
    pub shared: Vec<KeyValue>,
    /// Rows of the queue.
    pub queue: Vec<KeyValue>,
    /// Rows of tasks.
    pub tasks: Vec<KeyValue>,
    /// A listing of this prefix waits for an answer.
    pub held: Option<&'static str>,
    pub listings: Vec<CallId>,
    /// A record that reads of its key find.
    pub found: Option<KeyValue>,
    /// Transactions that compare this key fail for it, and reads of single keys are
    /// refused. Without it there is no such key.
    pub conflict: Option<String>,
    /// What fails beside it.
    pub fails_too: Option<String>,
    /// Transactions wait for their answers.
    pub held_txns: bool,
    pub txns: Vec<CallId>,
    /// Renewals of leases wait for their answers.
    pub held_renewals: bool,
    pub renewals: Vec<CallId>,
    /// Transactions that compare this key have no answer.
    pub lost: Option<&'static str>,
    /// Reads of single keys that were refused.
    pub refused: usize,
    /// For how long leases were made, in milliseconds, by their numbers from 1 on.
    pub leases: Vec<u64>,
    /// Leases that were let go.
    pub let_go: Vec<LeaseId>,
    /// Transactions that were sent.
    pub writes: Vec<Transaction>,
    /// Bodies of the answers that were given.
    pub bodies: Vec<Vec<u8>>,
    /// The revision after which the queue was watched last.
    pub queue_after: Option<u64>,
    /// Watches that wait for an answer.
    pub watches: Vec<CallId>,
}

impl Default for Around {
    fn default() -> Self {
        Around {
            state: true,
            cloud: true,
            types: Vec::new(),
            shared: Vec::new(),
            queue: Vec::new(),
            tasks: Vec::new(),
            held: None,
            listings: Vec::new(),
            found: None,
            conflict: None,
            fails_too: None,
            held_txns: false,
            txns: Vec::new(),
            held_renewals: false,
            renewals: Vec::new(),
            lost: None,
            refused: 0,
            leases: Vec::new(),
            let_go: Vec::new(),
            writes: Vec::new(),
            bodies: Vec::new(),
            queue_after: None,
            watches: Vec::new(),
        }
    }
}

/// The same where not everything answers. Calls to the cloud are told of in any case.
pub fn step_with(
    node: &mut Node,
    at: Micros,
    input: Input,
    machines: &[KeyValue],
    around: &mut Around,
) -> (Vec<u16>, Vec<CloudRequest>) {
    let now = Timestamp {
        monotonic: at,
        wall: at,
    };
    let mut statuses = Vec::new();
    let mut calls = Vec::new();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        for output in node.handle(now, input) {
            match output {
                Output::Answer { answer, .. } => {
                    statuses.push(answer.status);
                    around.bodies.push(answer.body);
                }
                Output::Store {
                    id,
                    call: StoreRequest::Watch { prefix, after, .. },
                    ..
                } => {
                    if prefix == records::QUEUE {
                        around.queue_after = Some(after);
                    }
                    around.watches.push(id);
                }
                Output::Store {
                    id,
                    call: StoreRequest::List { prefix, .. },
                    ..
                } if around.held.is_some_and(|held| held == prefix) => around.listings.push(id),
                Output::Store {
                    id,
                    call: StoreRequest::RenewLease { .. },
                    ..
                } if around.held_renewals => around.renewals.push(id),
                Output::Store {
                    id,
                    call: StoreRequest::Transaction(_),
                    ..
                } if around.held_txns => around.txns.push(id),
                Output::Store {
                    id,
                    call: StoreRequest::Transaction(txn),
                    ..
                } if around
                    .lost
                    .is_some_and(|k| txn.compare.iter().any(|c| c.key == k)) =>
                {
                    around.writes.push(txn);
                    inputs.push(Input::Store {
                        id,
                        reply: Err(CallError::NoAnswer),
                    });
                }
                Output::Store { id, .. } if !around.state => inputs.push(Input::Store {
                    id,
                    reply: Err(CallError::NoAnswer),
                }),
                Output::Store { id, call, .. } => {
                    let reply = match call {
                        StoreRequest::List { prefix, .. } => StoreResponse::RangePage(RangePage {
                            rows: match prefix.as_str() {
                                records::MACHINES => machines.to_vec(),
                                records::QUEUE => around.queue.clone(),
                                records::TASKS => around.tasks.clone(),
                                records::SHARED => around.shared.clone(),
                                _ => vec![],
                            },
                            more: false,
                            revision: 1,
                        }),
                        StoreRequest::GrantLease { ttl_ms } => {
                            around.leases.push(ttl_ms);
                            let lease = LeaseId(around.leases.len() as u64);
                            StoreResponse::Lease { lease }
                        }
                        StoreRequest::Transaction(txn) => {
                            around.writes.push(txn.clone());
                            let failed = txn.compare.into_iter().map(|c| c.key);
                            match failed
                                .into_iter()
                                .find(|k| around.conflict.as_ref() == Some(k))
                            {
                                Some(key) => StoreResponse::Conflict {
                                    failed: [key]
                                        .into_iter()
                                        .chain(around.fails_too.clone())
                                        .collect(),
                                    revision: 2,
                                },
                                None => StoreResponse::Committed { revision: 2 },
                            }
                        }
                        StoreRequest::Get { key }
                            if around.found.as_ref().is_some_and(|r| r.key == key) =>
                        {
                            match &around.found {
                                Some(row) => StoreResponse::Found(row.clone()),
                                None => StoreResponse::Unavailable,
                            }
                        }
                        StoreRequest::Get { .. } if around.conflict.is_none() => {
                            StoreResponse::NotFound { revision: 2 }
                        }
                        StoreRequest::Get { .. } => {
                            around.refused += 1;
                            StoreResponse::Unavailable
                        }
                        StoreRequest::RenewLease { .. } => StoreResponse::LeaseRenewedOrRevoked,
                        StoreRequest::RevokeLease { lease } => {
                            around.let_go.push(lease);
                            StoreResponse::LeaseRenewedOrRevoked
                        }
                        _ => continue,
                    };
                    inputs.push(Input::Store {
                        id,
                        reply: Ok(reply),
                    });
                }
                Output::Cloud { id, call, .. } => {
                    let reply = match &call {
                        CloudRequest::Types => CloudResponse::Types(around.types.clone()),
                        CloudRequest::ScaleOut(_) => CloudResponse::NoCapacity,
                        CloudRequest::Delete(_) => CloudResponse::Deleted,
                        CloudRequest::List { .. } => CloudResponse::Listed(MachineList {
                            machines: Vec::new(),
                            more: false,
                        }),
                    };
                    calls.push(call);
                    let reply = match around.cloud {
                        true => Ok(reply),
                        false => Err(CallError::NotSent),
                    };
                    inputs.push(Input::Cloud { id, reply });
                }
                _ => {}
            }
        }
    }
    (statuses, calls)
}

/// A record as an earlier leader has left it.
pub fn row<T: serde::Serialize>(key: String, record: &T) -> KeyValue {
    KeyValue {
        key,
        value: encode_value(record),
        version: 1,
        lease: None,
    }
}

/// A machine as an earlier leader has put it on record.
pub fn recorded(machine: &str, zone: &str) -> KeyValue {
    KeyValue {
        key: records::machine_key(machine),
        value: encode_value(&MachineRecord {
            addr: "127.0.0.1:7".into(),
            machine_type: "t".into(),
            zone: zone.into(),
            spot: false,
        }),
        version: 1,
        lease: None,
    }
}

/// The request in which a machine without tasks reports to a leader of term 1.
pub fn report(machine: &str, zone: &str, seq: u64) -> Input {
    let report = Heartbeat {
        machine: machine.into(),
        addr: "127.0.0.1:7".into(),
        machine_type: "t".into(),
        zone: zone.into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: 1,
        interruption_notice_s: None,
        tasks: Vec::new(),
    };
    Input::Request {
        id: RequestId(1),
        method: "POST".into(),
        target: HEARTBEAT_PATH.into(),
        body: encode(&report),
    }
}
