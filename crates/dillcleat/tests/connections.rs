//! Fewer sockets than workers, over the loopback interface: workers keep their
//! connections open, and each report is answered nevertheless.

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
/// So many connections of clients a controller accepts with these.
const CLIENT_LIMIT: usize = 40;
/// Above so many, answers to reports close their connection.
const HIGH_WATER: usize = 35;
const WORKERS: usize = 100;
const USERS: usize = 4;
const ROUNDS: usize = 4;
const UP: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";
const PATIENCE: Duration = Duration::from_secs(4);

/// One cluster runs at a time: another test's connections may take the ports that the
/// controllers of this one are about to listen on.
static ONE_CLUSTER: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_CLUSTER.lock().unwrap_or_else(|e| e.into_inner())
}

/// Controllers over stand-ins, all with few sockets.
struct Cluster {
    clients: Vec<SocketAddr>,
    _processes: Vec<Process>,
    _alone: MutexGuard<'static, ()>,
}

impl Cluster {
    fn start() -> Cluster {
        let alone = alone();
        let (addrs, held) = processes::free_addrs(2 * CONTROLLERS).expect("free ports");
        let (clients, mesh) = addrs.split_at(CONTROLLERS);
        let names = clients.iter().enumerate();
        let names = names.map(|(i, addr)| (format!("n{i}"), *addr)).collect();
        let world = Loopback::start(vec![processes::machine(8.0)], names).expect("stand-ins");
        let files: Vec<PathBuf> = (0..CONTROLLERS)
            .map(|i| {
                let settings = processes::settings(i, clients, mesh, Some(&world), "t");
                settings_file(clients[i], &settings)
            })
            .collect();
        drop(held);
        let start = |file: &PathBuf| Process::serve(Path::new(PROGRAM), file, None);
        let started = files.iter().map(start).collect::<std::io::Result<Vec<_>>>();
        Cluster {
            clients: clients.to_vec(),
            _processes: started.expect("the program starts"),
            _alone: alone,
        }
    }

    /// The controller that answers reports with 200, once it serves users as well.
    fn leader(&self) -> SocketAddr {
        let mut leader = None;
        until("a controller takes reports", || {
            leader = self.clients.iter().copied().find(|addr| {
                let answer = post(*addr, HEARTBEAT_PATH, &report("probe"));
                let leads = answer.is_some_and(|(status, _)| status == 200);
                leads && exchange(*addr, UP).is_some_and(|(status, _)| status == 200)
            });
            leader.is_some()
        });
        leader.expect("it was found")
    }
}

fn settings_file(addr: SocketAddr, settings: &str) -> PathBuf {
    let few = format!("max_connections = {MAX_CONNECTIONS}");
    let settings = settings.replacen("max_connections = 200", &few, 1);
    assert!(settings.contains(&few));
    let name = format!("{}-connections-{}.toml", std::process::id(), addr.port());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, settings).expect("a file in the target folder");
    path
}

fn report(machine: &str) -> Vec<u8> {
    let place = MachineAttributes {
        machine: machine.into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
    };
    let mut report = Worker::new(place, 8.0, 0.0, SECOND, 0).heartbeat(SECOND);
    report.addr = "127.0.0.1:9".into();
    encode(&report)
}

/// A client that keeps its connection for as long as the controller does.
struct Client {
    addr: SocketAddr,
    request: Vec<u8>,
    stream: Option<TcpStream>,
    connects: usize,
}

impl Client {
    fn worker(addr: SocketAddr, i: usize) -> Client {
        let body = report(&format!("machine-{i}"));
        let head = format!(
            "POST {HEARTBEAT_PATH} HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Client::new(addr, [head.as_bytes(), &body].concat())
    }

    fn user(addr: SocketAddr) -> Client {
        Client::new(addr, UP.to_vec())
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
    fn kept(&mut self) -> Option<TcpStream> {
        let stream = self.stream.take()?;
        stream.set_nonblocking(true).expect("a mode");
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("a mode");
        match seen {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Some(stream),
            _ => None,
        }
    }

    /// Sends a request and returns the status of the answer.
    fn ask(&mut self) -> Option<u16> {
        let mut stream = match self.kept() {
            Some(stream) => stream,
            None => {
                self.connects += 1;
                TcpStream::connect_timeout(&self.addr, PATIENCE).ok()?
            }
        };
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
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
fn every_report_is_answered_with_fewer_sockets_than_workers() {
    let cluster = Cluster::start();
    let leader = cluster.leader();
    let mut users: Vec<Client> = (0..USERS).map(|_| Client::user(leader)).collect();
    let mut workers: Vec<Client> = (0..WORKERS).map(|i| Client::worker(leader, i)).collect();
    for round in 0..ROUNDS {
        for (i, user) in users.iter_mut().enumerate() {
            assert_eq!(user.ask(), Some(200), "user {i}, round {round}");
        }
        for (i, worker) in workers.iter_mut().enumerate() {
            assert_eq!(worker.ask(), Some(200), "worker {i}, round {round}");
        }
    }
    // Users hold no more than their share, so they keep their connections.
    let connects: Vec<usize> = users.iter().map(|u| u.connects).collect();
    assert_eq!(connects, [1; USERS]);
    let kept = workers.iter().filter(|w| w.connects == 1).count();
    assert!(kept >= WORKERS / 5, "{kept} workers kept their connection");
}

#[test]
fn connections_are_kept_while_sockets_suffice() {
    const FEW: usize = 20;
    let cluster = Cluster::start();
    let leader = cluster.leader();
    let mut workers: Vec<Client> = (0..FEW).map(|i| Client::worker(leader, i)).collect();
    for _ in 0..ROUNDS {
        for worker in &mut workers {
            assert_eq!(worker.ask(), Some(200));
        }
    }
    assert!(workers.iter().all(|w| w.connects == 1));
}

#[test]
fn the_least_recently_used_idle_connection_makes_room() {
    let cluster = Cluster::start();
    let leader = cluster.leader();
    let mut workers: Vec<Client> = (0..HIGH_WATER).map(|i| Client::worker(leader, i)).collect();
    for worker in &mut workers {
        assert_eq!(worker.ask(), Some(200));
    }
    assert_eq!(workers[0].ask(), Some(200));
    // Connections that have yet to send a request take what is left.
    let silent = (HIGH_WATER..CLIENT_LIMIT).map(|_| TcpStream::connect(leader));
    let silent = silent.collect::<std::io::Result<Vec<_>>>();
    let mut late = Client::worker(leader, HIGH_WATER);
    assert_eq!(late.ask(), Some(200));
    let mut closed = Vec::new();
    for (i, worker) in workers.iter_mut().enumerate() {
        if worker.kept().is_none() {
            closed.push(i);
        }
    }
    assert_eq!(closed, [1]);
    drop(silent.expect("connections"));
}

#[test]
fn idle_connections_of_users_make_room_for_reports() {
    let cluster = Cluster::start();
    let leader = cluster.leader();
    // More than the controller accepts, which all ask once and stay open.
    let mut users: Vec<Client> = (0..WORKERS).map(|_| Client::user(leader)).collect();
    for user in &mut users {
        assert_eq!(user.ask(), Some(200));
    }
    let mut workers: Vec<Client> = (0..WORKERS).map(|i| Client::worker(leader, i)).collect();
    for worker in &mut workers {
        assert_eq!(worker.ask(), Some(200));
    }
    assert!(exchange(leader, UP).is_some_and(|(s, _)| s == 200));
}

/// With its 200 sockets a controller accepts 150 connections of clients, of which
/// Kubernetes-shaped ones may have half.
#[test]
fn connections_of_workers_do_not_shut_out_kubernetes_clients() {
    let _alone = alone();
    let name = format!("{}-connections-door", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("a folder");
    let key = dir.join("kube.key");
    std::fs::write(&key, "0".repeat(64)).expect("a file");
    let kube = format!("key_file = {key:?}\n");
    let trio = ThreeProcesses::start(Path::new(PROGRAM), &dir, &kube).expect("controllers");
    until("a controller serves", || {
        exchange(trio.clients[0], UP).is_some_and(|(status, _)| status == 200)
    });
    let worker = |i| Client::worker(trio.clients[0], i);
    let mut workers: Vec<Client> = (0..2 * WORKERS).map(worker).collect();
    for worker in &mut workers {
        assert!(worker.ask().is_some());
    }
    let answer = exchange(trio.kube_addrs[0], b"GET /version HTTP/1.1\r\n\r\n");
    assert_eq!(answer.map(|(status, _)| status), Some(401));
}
