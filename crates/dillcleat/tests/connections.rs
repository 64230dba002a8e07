//! Controllers with fewer sockets than workers, on the loopback interface. Workers keep
//! their connections open, and every heartbeat must be answered.

use dillcleat_controller::SECOND;
use dillcleat_simulator::loopback::{Loopback, exchange, post};
use dillcleat_simulator::processes::{self, Process, ThreeProcesses, until};
use dillcleat_simulator::rules::MachineAttributes;
use dillcleat_simulator::worker::Worker;
use dillcleat_wire::encode;
use dillcleat_wire::worker::HEARTBEAT_PATH;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dillcleat");
const CONTROLLERS: usize = 3;
const MAX_CONNECTIONS: usize = 64;
/// The number of connections of clients that a controller accepts with `MAX_CONNECTIONS`.
const CLIENT_LIMIT: usize = 40;
/// The high-water mark. If more connections are open, the response to a heartbeat closes
/// its connection.
const HIGH_WATER: usize = 35;
const WORKERS: usize = 100;
const USERS: usize = 4;
const ROUNDS: usize = 4;
const UP_REQUEST: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(4);

/// Serializes the tests: the connections of another test could take the ports on which the
/// controllers of this one are about to listen.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

fn lock_cluster() -> MutexGuard<'static, ()> {
    CLUSTER_LOCK.lock().unwrap_or_else(|e| e.into_inner())
}

/// Controllers with few sockets, and simulated services.
struct Cluster {
    clients: Vec<SocketAddr>,
    _processes: Vec<Process>,
    _lock: MutexGuard<'static, ()>,
}

impl Cluster {
    fn start() -> Cluster {
        let lock = lock_cluster();
        let (addrs, reserved_ports) = processes::free_addrs(2 * CONTROLLERS).expect("free ports");
        let (clients, peer_addrs) = addrs.split_at(CONTROLLERS);
        let names = clients.iter().enumerate();
        let names = names.map(|(i, addr)| (format!("n{i}"), *addr)).collect();
        let services = Loopback::start(vec![processes::machine(8.0)], names)
            .expect("simulated services start");
        let files: Vec<PathBuf> = (0..CONTROLLERS)
            .map(|i| {
                let settings = processes::settings(i, clients, peer_addrs, Some(&services), "t");
                settings_file(clients[i], &settings)
            })
            .collect();
        drop(reserved_ports);
        let start = |file: &PathBuf| Process::serve(Path::new(PROGRAM), file, None);
        let started = files.iter().map(start).collect::<std::io::Result<Vec<_>>>();
        Cluster {
            clients: clients.to_vec(),
            _processes: started.expect("the program starts"),
            _lock: lock,
        }
    }

    /// Waits until a controller accepts heartbeats and serves users, and returns it.
    fn leader(&self) -> SocketAddr {
        let mut leader = None;
        until("a controller accepts heartbeats", || {
            leader = self.clients.iter().copied().find(|addr| {
                let answer = post(*addr, HEARTBEAT_PATH, &heartbeat_body("probe"));
                let accepts_heartbeats = answer.is_some_and(|(status, _)| status == 200);
                accepts_heartbeats
                    && exchange(*addr, UP_REQUEST).is_some_and(|(status, _)| status == 200)
            });
            leader.is_some()
        });
        leader.expect("it was found")
    }
}

fn settings_file(addr: SocketAddr, settings: &str) -> PathBuf {
    let max_connections = format!("max_connections = {MAX_CONNECTIONS}");
    let settings = settings.replacen("max_connections = 200", &max_connections, 1);
    assert!(settings.contains(&max_connections));
    let name = format!("{}-connections-{}.toml", std::process::id(), addr.port());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, settings).expect("a file in the target folder");
    path
}

fn heartbeat_body(machine: &str) -> Vec<u8> {
    let attributes = MachineAttributes {
        machine: machine.into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
    };
    let mut heartbeat = Worker::new(attributes, 8.0, 0.0, SECOND, 0).heartbeat(SECOND);
    heartbeat.addr = "127.0.0.1:9".into();
    encode(&heartbeat)
}

/// A client that keeps its connection open until the controller closes it.
struct Client {
    addr: SocketAddr,
    request: Vec<u8>,
    stream: Option<TcpStream>,
    connects: usize,
}

impl Client {
    fn worker(addr: SocketAddr, i: usize) -> Client {
        let body = heartbeat_body(&format!("machine-{i}"));
        let head = format!(
            "POST {HEARTBEAT_PATH} HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Client::new(addr, [head.as_bytes(), &body].concat())
    }

    fn user(addr: SocketAddr) -> Client {
        Client::new(addr, UP_REQUEST.to_vec())
    }

    fn new(addr: SocketAddr, request: Vec<u8>) -> Client {
        Client {
            addr,
            request,
            stream: None,
            connects: 0,
        }
    }

    /// The connection of the last request, unless the controller has closed it.
    fn take_open_connection(&mut self) -> Option<TcpStream> {
        let stream = self.stream.take()?;
        stream.set_nonblocking(true).expect("a mode");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("a mode");
        match peeked {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Some(stream),
            _ => None,
        }
    }

    /// Sends a request and returns the status of the answer.
    fn request(&mut self) -> Option<u16> {
        let mut stream = match self.take_open_connection() {
            Some(stream) => stream,
            None => {
                self.connects += 1;
                TcpStream::connect_timeout(&self.addr, TIMEOUT).ok()?
            }
        };
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        stream.write_all(&self.request).ok()?;
        let (status, close) = read_answer(&mut stream)?;
        self.stream = (!close).then_some(stream);
        Some(status)
    }
}

/// The status of an answer, and whether the connection is closed after it.
fn read_answer(stream: &mut TcpStream) -> Option<(u16, bool)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk).ok()? {
            0 => return None,
            n => bytes.extend_from_slice(&chunk[..n]),
        }
        let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let text = String::from_utf8_lossy(&bytes[..head]).to_string();
        let length = text
            .lines()
            .find_map(|l| l.strip_prefix("Content-Length: "));
        let length: usize = length?.parse().ok()?;
        if bytes.len() >= head + 4 + length {
            let status = text.split(' ').nth(1)?.parse().ok()?;
            return Some((status, text.contains("\r\nConnection: close")));
        }
    }
}

#[test]
fn every_heartbeat_is_answered_with_fewer_sockets_than_workers() {
    let cluster = Cluster::start();
    let leader = cluster.leader();
    let mut users: Vec<Client> = (0..USERS).map(|_| Client::user(leader)).collect();
    let mut workers: Vec<Client> = (0..WORKERS).map(|i| Client::worker(leader, i)).collect();
    for round in 0..ROUNDS {
        for (i, user) in users.iter_mut().enumerate() {
            assert_eq!(user.request(), Some(200), "user {i}, round {round}");
        }
        for (i, worker) in workers.iter_mut().enumerate() {
            assert_eq!(worker.request(), Some(200), "worker {i}, round {round}");
        }
    }
    // Users have no more than their share, so their connections stay open.
    let connects: Vec<usize> = users.iter().map(|u| u.connects).collect();
    assert_eq!(connects, [1; USERS]);
    // Above the high-water mark responses close the connections of workers, but at least a
    // fifth of the workers keep theirs.
    let kept = workers.iter().filter(|w| w.connects == 1).count();
    assert!(kept >= WORKERS / 5, "{kept} workers kept their connection");
}

#[test]
fn connections_stay_open_below_the_high_water_mark() {
    const FEW_WORKERS: usize = 20;
    let cluster = Cluster::start();
    let leader = cluster.leader();
    let mut workers: Vec<Client> = (0..FEW_WORKERS)
        .map(|i| Client::worker(leader, i))
        .collect();
    for _ in 0..ROUNDS {
        for worker in &mut workers {
            assert_eq!(worker.request(), Some(200));
        }
    }
    assert!(workers.iter().all(|w| w.connects == 1));
}

#[test]
fn at_the_limit_a_new_connection_evicts_the_least_recently_used_idle_one() {
    let cluster = Cluster::start();
    let leader = cluster.leader();
    let mut workers: Vec<Client> = (0..HIGH_WATER).map(|i| Client::worker(leader, i)).collect();
    for worker in &mut workers {
        assert_eq!(worker.request(), Some(200));
    }
    assert_eq!(workers[0].request(), Some(200));
    // These connections, on which no request is sent, use up the rest of the limit.
    let without_request = (HIGH_WATER..CLIENT_LIMIT).map(|_| TcpStream::connect(leader));
    let without_request = without_request.collect::<std::io::Result<Vec<_>>>();
    let mut additional = Client::worker(leader, HIGH_WATER);
    assert_eq!(additional.request(), Some(200));
    let mut closed = Vec::new();
    for (i, worker) in workers.iter_mut().enumerate() {
        if worker.take_open_connection().is_none() {
            closed.push(i);
        }
    }
    assert_eq!(closed, [1]);
    drop(without_request.expect("connections"));
}

#[test]
fn idle_connections_of_users_are_evicted_for_heartbeats() {
    let cluster = Cluster::start();
    let leader = cluster.leader();
    // More users than the controller accepts connections; each makes one request and keeps
    // its connection open.
    let mut users: Vec<Client> = (0..WORKERS).map(|_| Client::user(leader)).collect();
    for user in &mut users {
        assert_eq!(user.request(), Some(200));
    }
    let mut workers: Vec<Client> = (0..WORKERS).map(|i| Client::worker(leader, i)).collect();
    for worker in &mut workers {
        assert_eq!(worker.request(), Some(200));
    }
    assert!(exchange(leader, UP_REQUEST).is_some_and(|(s, _)| s == 200));
}

/// With 200 sockets a controller accepts 150 connections of clients. Workers must not
/// keep Kubernetes clients from connecting, even if there are more workers than
/// connections.
#[test]
fn workers_connections_do_not_lock_out_kubernetes_clients() {
    let _lock = lock_cluster();
    let name = format!("{}-connections-kube", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("a directory");
    let key = dir.join("kube.key");
    std::fs::write(&key, "0".repeat(64)).expect("a file");
    let kube = format!("key_file = {key:?}\n");
    let controllers = ThreeProcesses::start(Path::new(PROGRAM), &dir, &kube).expect("controllers");
    until("a controller serves", || {
        exchange(controllers.clients[0], UP_REQUEST).is_some_and(|(status, _)| status == 200)
    });
    let worker = |i| Client::worker(controllers.clients[0], i);
    let mut workers: Vec<Client> = (0..2 * WORKERS).map(worker).collect();
    for worker in &mut workers {
        assert!(worker.request().is_some());
    }
    let answer = exchange(controllers.kube_addrs[0], b"GET /version HTTP/1.1\r\n\r\n");
    assert_eq!(answer.map(|(status, _)| status), Some(401));
}
