//! The simulated store, cloud and workers served over real sockets in real time, for
//! process-level tests on the loopback interface.

use crate::cloud::Cloud;
use crate::rules::MachineAttributes;
use crate::store::SimulatedStore;
use crate::worker::{TaskBehaviour, Worker};
use dillcleat_controller::records::OpenJob;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::cloud::{CloudRequest, CloudResponse, MachineNames, MachineType, ScaleOut};
use dillcleat_wire::store::{LeaseId, Mutation, StoreRequest, StoreResponse, Transaction};
use dillcleat_wire::worker::{
    COMMANDS_PATH, CommandBatch, HEARTBEAT_PATH, HeartbeatReply, LeaderRedirect,
};
use dillcleat_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Interval between two updates of the workers.
const STEP: Duration = Duration::from_millis(20);

struct Inner {
    store: SimulatedStore,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    /// Behaviour of the tasks of each job.
    behaviours: BTreeMap<String, TaskBehaviour>,
}

impl Inner {
    /// Gives the tasks of jobs that this call stores a default behaviour: they run for
    /// their estimated time.
    fn add_default_behaviours(&mut self, call: &StoreRequest) {
        let StoreRequest::Transaction(txn) = call else {
            return;
        };
        for change in &txn.then {
            if let Mutation::Put { key, value, .. } = change
                && key.starts_with(dillcleat_controller::records::OPEN_JOBS_PREFIX)
                && let Some(open) = dillcleat_wire::store::decode_value::<OpenJob>(value)
            {
                let run_time = dillcleat_controller::micros(open.spec.estimate_s.max(1.0));
                let id = open.spec.id.clone();
                self.behaviours.entry(id).or_insert(TaskBehaviour {
                    spec: open.spec,
                    run_time,
                    fails: false,
                });
            }
        }
    }
}

/// A store, a cloud and its workers. They are served until the process ends.
#[derive(Clone)]
pub struct Loopback {
    inner: Arc<Mutex<Inner>>,
    start: Instant,
    /// Name and address of each controller.
    nodes: Vec<(String, SocketAddr)>,
    pub store_addr: SocketAddr,
    pub cloud_addr: SocketAddr,
    workers_addr: SocketAddr,
}

#[derive(Deserialize)]
struct Ttl {
    ttl_ms: u64,
}

#[derive(Serialize)]
struct Revision {
    ledger_no: u64,
}

#[derive(Serialize)]
struct Failed {
    failed: Vec<String>,
    ledger_no: u64,
}

#[derive(Serialize)]
struct Loan {
    loan: LeaseId,
}

impl Loopback {
    /// Starts the services. `nodes` are the names and addresses of the controllers to which
    /// workers send heartbeats.
    pub fn start(
        types: Vec<MachineType>,
        nodes: Vec<(String, SocketAddr)>,
    ) -> std::io::Result<Self> {
        let store = TcpListener::bind("127.0.0.1:0")?;
        let cloud = TcpListener::bind("127.0.0.1:0")?;
        let workers = TcpListener::bind("127.0.0.1:0")?;
        let world = Loopback {
            inner: Arc::new(Mutex::new(Inner {
                store: SimulatedStore::new(16 * 1024, 48),
                cloud: Cloud::new(types, 4, 0),
                workers: BTreeMap::new(),
                behaviours: BTreeMap::new(),
            })),
            start: Instant::now(),
            nodes,
            store_addr: store.local_addr()?,
            cloud_addr: cloud.local_addr()?,
            workers_addr: workers.local_addr()?,
        };
        for (listener, serve) in [
            (
                store,
                Self::serve_store as fn(&Self, &str, &str, &[u8]) -> (u16, Vec<u8>),
            ),
            (cloud, Self::serve_cloud),
            (workers, Self::serve_commands),
        ] {
            let world = world.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let world = world.clone();
                    std::thread::spawn(move || {
                        serve_connection(stream, |m, t, b| serve(&world, m, t, b))
                    });
                }
            });
        }
        let worker_loop = world.clone();
        std::thread::spawn(move || worker_loop.run_workers());
        Ok(world)
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros + SECOND
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the behaviour of a job's tasks.
    pub fn set_behaviour(&self, behaviour: TaskBehaviour) {
        let id = behaviour.spec.id.clone();
        self.inner().behaviours.insert(id, behaviour);
    }

    fn serve_store(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = parse_store_call(method, target, body) else {
            return (400, Vec::new());
        };
        let timeout = match &call {
            StoreRequest::Watch { hold_ms, .. } => Duration::from_millis(*hold_ms),
            _ => Duration::ZERO,
        };
        let received = Instant::now();
        loop {
            let mut inner = self.inner();
            let now = self.now();
            inner.add_default_behaviours(&call);
            if let Some(reply) = inner.store.call(&call, now) {
                return store_response(reply);
            }
            if let StoreRequest::Watch { prefix, after, .. } = &call
                && received.elapsed() >= timeout
            {
                return (200, encode(&inner.store.changes(prefix, *after)));
            }
            drop(inner);
            std::thread::sleep(STEP / 4);
        }
    }

    fn serve_cloud(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let call = match (method, target.split('?').next()) {
            ("GET", Some("/flavors")) => CloudRequest::Types,
            ("POST", Some("/hosts")) => match decode::<ScaleOut>(body) {
                Ok(request) => CloudRequest::ScaleOut(request),
                Err(_) => return (400, Vec::new()),
            },
            ("POST", Some("/hosts/delete")) => match decode::<MachineNames>(body) {
                Ok(names) => CloudRequest::Delete(names.machines),
                Err(_) => return (400, Vec::new()),
            },
            ("GET", Some("/hosts")) => CloudRequest::List { after: None },
            _ => return (404, Vec::new()),
        };
        let now = self.now();
        let mut inner = self.inner();
        inner.cloud.record_list(now);
        let (reply, new, deleted) = inner.cloud.call(&call, now, |_| Some(0));
        for name in deleted {
            inner.workers.remove(&name);
        }
        for name in new {
            let Some(h) = inner.cloud.machines.get(&name).cloned() else {
                continue;
            };
            let cpus = inner
                .cloud
                .types
                .iter()
                .find(|t| t.name == h.machine_type)
                .map_or(0.0, |t| t.cpus);
            let place = MachineAttributes {
                machine: name.clone(),
                machine_type: h.machine_type,
                zone: h.zone,
                spot: h.spot,
            };
            inner
                .workers
                .insert(name, Worker::new(place, cpus, 0.0, now, 0));
        }
        match reply {
            CloudResponse::Types(types) => {
                (200, encode(&dillcleat_wire::cloud::MachineTypes { types }))
            }
            CloudResponse::ScaledOut(machines) => (200, encode(&MachineNames { machines })),
            CloudResponse::Listed(list) => (200, encode(&list)),
            CloudResponse::Deleted => (200, Vec::new()),
            CloudResponse::NoCapacity => {
                let error = "no capacity".to_string();
                (503, encode(&dillcleat_wire::user::ErrorReply { error }))
            }
            CloudResponse::RateLimitedOrUnavailable { status } => (status, Vec::new()),
            CloudResponse::Malformed => (400, Vec::new()),
        }
    }

    /// All workers share one listener. A batch of commands does not name its machine, so
    /// commands work only while there is a single worker.
    fn serve_commands(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if (method, target) != ("POST", COMMANDS_PATH) {
            return (404, Vec::new());
        }
        let Ok(batch) = decode::<CommandBatch>(body) else {
            return (400, Vec::new());
        };
        let now = self.now();
        let mut inner = self.inner();
        let Inner {
            workers,
            behaviours,
            ..
        } = &mut *inner;
        let Some(worker) = workers.values_mut().next() else {
            return (503, Vec::new());
        };
        let (status, mut heartbeat, _) = worker.handle_commands(&batch, now, behaviours);
        heartbeat.addr = self.workers_addr.to_string();
        (status, encode(&heartbeat))
    }

    fn run_workers(&self) {
        loop {
            std::thread::sleep(STEP);
            let now = self.now();
            let mut due = Vec::new();
            {
                let mut inner = self.inner();
                let Inner {
                    workers,
                    behaviours,
                    ..
                } = &mut *inner;
                for w in workers.values_mut() {
                    w.advance(now, 14 * SECOND, behaviours);
                    if now >= w.next_heartbeat_at {
                        let mut heartbeat = w.heartbeat(now);
                        heartbeat.addr = self.workers_addr.to_string();
                        w.next_heartbeat_at = now + SECOND;
                        due.push((w.name.clone(), w.node, heartbeat));
                    }
                }
            }
            for (name, node, heartbeat) in due {
                let addr = self.nodes[node % self.nodes.len()].1;
                let answer = post(addr, HEARTBEAT_PATH, &encode(&heartbeat));
                let mut inner = self.inner();
                let Inner {
                    workers,
                    behaviours,
                    ..
                } = &mut *inner;
                let Some(w) = workers.get_mut(&name) else {
                    continue;
                };
                match answer {
                    Some((200, body)) => {
                        if let Ok(a) = decode::<HeartbeatReply>(&body) {
                            w.heartbeat_answered(
                                &a,
                                heartbeat.incarnation,
                                now,
                                self.now(),
                                behaviours,
                            );
                        }
                    }
                    Some((421, body)) => {
                        let leader = decode::<LeaderRedirect>(&body).ok().and_then(|e| e.leader);
                        let leader =
                            leader.and_then(|m| self.nodes.iter().position(|(n, _)| *n == m));
                        w.node = leader.unwrap_or(node + 1);
                    }
                    _ => w.node = node + 1,
                }
            }
        }
    }
}

fn parse_store_call(method: &str, target: &str, body: &[u8]) -> Option<StoreRequest> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let param = |name: &str| {
        query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(k, _)| *k == name)
            .map(|(_, v)| v.to_string())
    };
    let lease = |rest: &str| rest.parse::<u64>().ok().map(LeaseId);
    Some(match method {
        "GET" if path == "/kv" => StoreRequest::List {
            prefix: param("under")?,
            after: param("from"),
        },
        "GET" if path == "/changes" => StoreRequest::Watch {
            prefix: param("under")?,
            after: param("from")?.parse().ok()?,
            hold_ms: param("hold_ms")?.parse().ok()?,
        },
        "GET" => StoreRequest::Get {
            key: path.strip_prefix("/kv/")?.to_string(),
        },
        "POST" if path == "/txn" => StoreRequest::Transaction(decode::<Transaction>(body).ok()?),
        "POST" if path == "/holds" => StoreRequest::GrantLease {
            ttl_ms: decode::<Ttl>(body).ok()?.ttl_ms,
        },
        "POST" => StoreRequest::RenewLease {
            lease: lease(path.strip_prefix("/holds/")?.strip_suffix("/extend")?)?,
        },
        "DELETE" => StoreRequest::RevokeLease {
            lease: lease(path.strip_prefix("/holds/")?)?,
        },
        _ => return None,
    })
}

fn store_response(reply: StoreResponse) -> (u16, Vec<u8>) {
    match reply {
        StoreResponse::Found(row) => (200, encode(&row)),
        StoreResponse::NotFound { revision } => (
            404,
            encode(&Revision {
                ledger_no: revision,
            }),
        ),
        StoreResponse::RangePage(page) => (200, encode(&page)),
        StoreResponse::Committed { revision } => (
            200,
            encode(&Revision {
                ledger_no: revision,
            }),
        ),
        StoreResponse::Conflict { failed, revision } => {
            let ledger_no = revision;
            (409, encode(&Failed { failed, ledger_no }))
        }
        StoreResponse::Lease { lease } => (200, encode(&Loan { loan: lease })),
        StoreResponse::LeaseExpired => (404, Vec::new()),
        StoreResponse::LeaseRenewedOrRevoked => (200, Vec::new()),
        StoreResponse::WatchBatch(changes) => (200, encode(&changes)),
        StoreResponse::Compacted => (410, Vec::new()),
        StoreResponse::RateLimited => (429, Vec::new()),
        StoreResponse::Unavailable => (503, Vec::new()),
        StoreResponse::Malformed => (400, Vec::new()),
    }
}

/// Reads one HTTP message. Returns (method, target, 0, body) of a request or ("", reason
/// phrase, status, body) of a response, and None if the connection closed or the message is
/// invalid.
fn read_message(stream: &mut TcpStream, request: bool) -> Option<(String, String, u16, Vec<u8>)> {
    let mut buffer = Vec::new();
    let mut chunk = [0u8; 4096];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let head = if request {
            let mut r = httparse::Request::new(&mut headers);
            match r.parse(&buffer).ok()? {
                httparse::Status::Complete(n) => {
                    let (m, t) = (r.method?.to_string(), r.path?.to_string());
                    Some((n, m, t, 0, body_length(r.headers)))
                }
                httparse::Status::Partial => None,
            }
        } else {
            let mut r = httparse::Response::new(&mut headers);
            match r.parse(&buffer).ok()? {
                httparse::Status::Complete(n) => {
                    let (t, code) = (r.reason?.to_string(), r.code?);
                    Some((n, String::new(), t, code, body_length(r.headers)))
                }
                httparse::Status::Partial => None,
            }
        };
        if let Some((n, method, target, code, length)) = head
            && buffer.len() >= n + length
        {
            return Some((method, target, code, buffer[n..n + length].to_vec()));
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

fn body_length(headers: &[httparse::Header]) -> usize {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("content-length"))
        .and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse().ok())
        .unwrap_or(0)
}

fn serve_connection(mut stream: TcpStream, serve: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>)) {
    while let Some((method, target, _, body)) = read_message(&mut stream, true) {
        let (status, body) = serve(&method, &target, &body);
        let mut bytes = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Sends a POST request on a new connection. Returns status and body of the response.
pub fn post(addr: SocketAddr, target: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let head = format!(
        "POST {target} HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    exchange(addr, &bytes)
}

/// Sends raw bytes on a new connection and reads one response.
pub fn exchange(addr: SocketAddr, bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let timeout = Duration::from_secs(4);
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    let (_, _, status, body) = read_message(&mut stream, false)?;
    Some((status, body))
}
