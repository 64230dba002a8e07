//! Node configurations, stored rows and a scripted environment shared by the tests.

// Each test binary uses only some of these items.
#![allow(dead_code)]

pub mod fleet;
pub mod leader_fixture;
pub mod stepped_node;

use dillcleat_controller::fencing_tokens::TOKENS_PER_TERM;
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
use dillcleat_wire::worker::{HEARTBEAT_PATH, Heartbeat, TaskStatus};

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

/// The number of the `n`th term after an empty store, which is its last fencing token.
pub const fn nth_term(n: u64) -> u64 {
    n * TOKENS_PER_TERM
}

/// A node of a three-member cluster whose members are all in zone `a`.
pub fn single_zone_node() -> Node {
    let platform = PlatformSettings::parse(SETTINGS).expect("valid settings");
    Node::new(Config::new(&platform, Tuning::default()))
}

/// The configuration of `single_zone_node` with one team, `t`, that has no quota.
pub fn config_with_team() -> Config {
    let mut config = single_zone_node().config().clone();
    config.teams.push(Team {
        name: "t".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    config
}

/// A machine type `t` in zone `a` with the given number of CPUs.
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

/// The stored machine type record that holds only `machine_type(cpus)`.
pub fn machine_types_row(cpus: f64) -> KeyValue {
    let types = vec![machine_type(cpus)];
    KeyValue {
        key: records::MACHINE_TYPES_KEY.into(),
        value: encode_value(&MachineTypesRecord { types }),
        version: 1,
        lease: None,
    }
}

/// A node in zone `a` with one peer each in zones `b` and `c`.
pub fn three_zone_node() -> Node {
    let text = include_str!("../../../../deploy/example-node.toml");
    let platform = PlatformSettings::parse(text).expect("valid settings");
    Node::new(Config::new(&platform, Tuning::default()))
}

/// Passes `input` to the node and answers every call except watches, so that the node is
/// elected and stays leader. `machines` are the stored machine rows. Returns the status
/// codes of the node's responses.
pub fn step(node: &mut Node, at: Micros, input: Input, machines: &[KeyValue]) -> Vec<u16> {
    step_returning_cloud_calls(node, at, input, machines).0
}

/// Like `step`, and also returns the calls to the cloud, which has no capacity.
pub fn step_returning_cloud_calls(
    node: &mut Node,
    at: Micros,
    input: Input,
    machines: &[KeyValue],
) -> (Vec<u16>, Vec<CloudRequest>) {
    step_in_environment(node, at, input, machines, &mut Environment::default())
}

/// Determines how calls of a node are answered, and records them.
pub struct Environment {
    /// If false, store calls fail with `NoAnswer`, except watches and held calls.
    pub store_up: bool,
    /// If false, cloud calls fail with `NotSent`.
    pub cloud_up: bool,
    /// The machine types that the cloud offers; every scale-out fails for lack of capacity.
    pub machine_types: Vec<MachineType>,
    /// Rows of the leader, the term and the machine types.
    pub shared_rows: Vec<KeyValue>,
    pub queue_rows: Vec<KeyValue>,
    pub task_rows: Vec<KeyValue>,
    /// Listings of this prefix are not answered but collected in `held_listings`.
    pub held_listing_prefix: Option<&'static str>,
    pub held_listings: Vec<CallId>,
    /// If set, reads of this row's key return the row.
    pub readable_row: Option<KeyValue>,
    /// Transactions with a precondition on this key conflict. While it is set, reads of single
    /// keys other than that of `readable_row` are refused; otherwise they find nothing.
    pub conflicting_key: Option<String>,
    /// A further key that such a conflict lists as failed.
    pub second_conflicting_key: Option<String>,
    /// Transactions are not answered but collected in `held_transactions`.
    pub hold_transactions: bool,
    pub held_transactions: Vec<CallId>,
    /// Lease renewals are not answered but collected in `held_renewals`.
    pub hold_renewals: bool,
    pub held_renewals: Vec<CallId>,
    /// Transactions with a precondition on this key fail with `NoAnswer`.
    pub unanswered_key: Option<&'static str>,
    /// Number of reads of single keys that were refused.
    pub refused_reads: usize,
    /// TTLs of the granted leases in order of their IDs, which start at 1.
    pub granted_ttls_ms: Vec<u64>,
    pub revoked_leases: Vec<LeaseId>,
    /// The transactions received, without those held and those that fail because of `store_up`.
    pub transactions: Vec<Transaction>,
    pub answer_bodies: Vec<Vec<u8>>,
    /// The revision after which the latest watch of the queue starts.
    pub queue_watch_revision: Option<u64>,
    pub open_watches: Vec<CallId>,
}

impl Default for Environment {
    fn default() -> Self {
        Environment {
            store_up: true,
            cloud_up: true,
            machine_types: Vec::new(),
            shared_rows: Vec::new(),
            queue_rows: Vec::new(),
            task_rows: Vec::new(),
            held_listing_prefix: None,
            held_listings: Vec::new(),
            readable_row: None,
            conflicting_key: None,
            second_conflicting_key: None,
            hold_transactions: false,
            held_transactions: Vec::new(),
            hold_renewals: false,
            held_renewals: Vec::new(),
            unanswered_key: None,
            refused_reads: 0,
            granted_ttls_ms: Vec::new(),
            revoked_leases: Vec::new(),
            transactions: Vec::new(),
            answer_bodies: Vec::new(),
            queue_watch_revision: None,
            open_watches: Vec::new(),
        }
    }
}

/// Like `step_returning_cloud_calls`, with calls answered as `env` says. The returned calls to
/// the cloud include those that fail.
pub fn step_in_environment(
    node: &mut Node,
    at: Micros,
    input: Input,
    machines: &[KeyValue],
    env: &mut Environment,
) -> (Vec<u16>, Vec<CloudRequest>) {
    let now = timestamp(at);
    let mut statuses = Vec::new();
    let mut calls = Vec::new();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        for output in node.handle(now, input) {
            match output {
                Output::Answer { answer, .. } => {
                    statuses.push(answer.status);
                    env.answer_bodies.push(answer.body);
                }
                Output::Store {
                    id,
                    call: StoreRequest::Watch { prefix, after, .. },
                    ..
                } => {
                    if prefix == records::QUEUE_PREFIX {
                        env.queue_watch_revision = Some(after);
                    }
                    env.open_watches.push(id);
                }
                Output::Store {
                    id,
                    call: StoreRequest::List { prefix, .. },
                    ..
                } if env.held_listing_prefix.is_some_and(|held| held == prefix) => {
                    env.held_listings.push(id)
                }
                Output::Store {
                    id,
                    call: StoreRequest::RenewLease { .. },
                    ..
                } if env.hold_renewals => env.held_renewals.push(id),
                Output::Store {
                    id,
                    call: StoreRequest::Transaction(_),
                    ..
                } if env.hold_transactions => env.held_transactions.push(id),
                Output::Store {
                    id,
                    call: StoreRequest::Transaction(txn),
                    ..
                } if env
                    .unanswered_key
                    .is_some_and(|k| txn.compare.iter().any(|c| c.key == k)) =>
                {
                    env.transactions.push(txn);
                    inputs.push(Input::Store {
                        id,
                        reply: Err(CallError::NoAnswer),
                    });
                }
                Output::Store { id, .. } if !env.store_up => inputs.push(Input::Store {
                    id,
                    reply: Err(CallError::NoAnswer),
                }),
                Output::Store { id, call, .. } => {
                    let reply = match call {
                        StoreRequest::List { prefix, .. } => StoreResponse::RangePage(RangePage {
                            rows: match prefix.as_str() {
                                records::MACHINES_PREFIX => machines.to_vec(),
                                records::QUEUE_PREFIX => env.queue_rows.clone(),
                                records::TASKS_PREFIX => env.task_rows.clone(),
                                records::SHARED_PREFIX => env.shared_rows.clone(),
                                _ => vec![],
                            },
                            more: false,
                            revision: 1,
                        }),
                        StoreRequest::GrantLease { ttl_ms } => {
                            env.granted_ttls_ms.push(ttl_ms);
                            let lease = LeaseId(env.granted_ttls_ms.len() as u64);
                            StoreResponse::Lease { lease }
                        }
                        StoreRequest::Transaction(txn) => {
                            env.transactions.push(txn.clone());
                            let failed = txn.compare.into_iter().map(|c| c.key);
                            match failed
                                .into_iter()
                                .find(|k| env.conflicting_key.as_ref() == Some(k))
                            {
                                Some(key) => StoreResponse::Conflict {
                                    failed: [key]
                                        .into_iter()
                                        .chain(env.second_conflicting_key.clone())
                                        .collect(),
                                    revision: 2,
                                },
                                None => StoreResponse::Committed { revision: 2 },
                            }
                        }
                        StoreRequest::Get { key }
                            if env.readable_row.as_ref().is_some_and(|r| r.key == key) =>
                        {
                            match &env.readable_row {
                                Some(row) => StoreResponse::Found(row.clone()),
                                None => StoreResponse::Unavailable,
                            }
                        }
                        StoreRequest::Get { .. } if env.conflicting_key.is_none() => {
                            StoreResponse::NotFound { revision: 2 }
                        }
                        StoreRequest::Get { .. } => {
                            env.refused_reads += 1;
                            StoreResponse::Unavailable
                        }
                        StoreRequest::RenewLease { .. } => StoreResponse::LeaseRenewedOrRevoked,
                        StoreRequest::RevokeLease { lease } => {
                            env.revoked_leases.push(lease);
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
                        CloudRequest::Types => CloudResponse::Types(env.machine_types.clone()),
                        CloudRequest::ScaleOut(_) => CloudResponse::NoCapacity,
                        CloudRequest::Delete(_) => CloudResponse::Deleted,
                        CloudRequest::List { .. } => CloudResponse::Listed(MachineList {
                            machines: Vec::new(),
                            more: false,
                        }),
                    };
                    calls.push(call);
                    let reply = match env.cloud_up {
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

/// A stored row of version 1 that is not bound to a lease.
pub fn row<T: serde::Serialize>(key: String, record: &T) -> KeyValue {
    KeyValue {
        key,
        value: encode_value(record),
        version: 1,
        lease: None,
    }
}

/// The stored row of an on-demand machine of type `t`.
pub fn machine_row(machine: &str, zone: &str) -> KeyValue {
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

/// The same time on both clocks.
pub fn timestamp(at: Micros) -> Timestamp {
    Timestamp {
        monotonic: at,
        wall: at,
    }
}

/// A heartbeat with fencing token 1 of the machine `m` in zone `a`, as in `machine_row`.
pub fn heartbeat(sequence: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "m".into(),
        addr: "127.0.0.1:7".into(),
        machine_type: "t".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token: 1,
        interruption_notice_s: None,
        tasks,
    }
}

/// A heartbeat with fencing token 1 of a machine that runs no tasks.
pub fn heartbeat_request(machine: &str, zone: &str, sequence: u64) -> Input {
    let heartbeat = Heartbeat {
        machine: machine.into(),
        zone: zone.into(),
        ..heartbeat(sequence, Vec::new())
    };
    Input::Request {
        id: RequestId(1),
        method: "POST".into(),
        target: HEARTBEAT_PATH.into(),
        body: encode(&heartbeat),
    }
}
