//! Controller processes on the loopback interface, running against the simulated store,
//! cloud and workers: for process-level tests and for trying out the scheduler.

use crate::loopback::Loopback;
use dillcleat_wire::cloud::MachineType;
use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long [`until`] waits for its condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Ports below those that the system assigns to outgoing connections (from 32,768 on by default).
const FIXED_PORTS: Range<u16> = 10_000..32_000;
/// The number of ports that are tried for one address.
const MAX_BIND_ATTEMPTS: u32 = 100;

/// A child process that is killed when its owner is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Starts a controller with its settings file and, if given, its tuning file.
    pub fn serve(program: &Path, settings: &Path, tuning: Option<&Path>) -> io::Result<Process> {
        let mut command = Command::new(program);
        command.arg("--config").arg(settings);
        if let Some(tuning) = tuning {
            command.arg("--tuning").arg(tuning);
        }
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".into());
        let child = command
            .env("LOG_LEVEL", level)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Process(child))
    }
}

/// `n` unused loopback addresses. The returned listeners reserve them: dropping one
/// listener before the next is bound could return the same port twice. The ports are not
/// ephemeral, so that no outgoing connection takes one of them while no process listens on it.
pub fn free_addrs(n: usize) -> io::Result<(Vec<SocketAddr>, Vec<TcpListener>)> {
    let listeners = (0..n).map(|_| bind_below_ephemeral_ports());
    let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
    let addrs = listeners.iter().map(TcpListener::local_addr);
    Ok((addrs.collect::<io::Result<_>>()?, listeners))
}

/// Binds a random unused port of [`FIXED_PORTS`]. It is random so that tests in other processes
/// are unlikely to choose it while it is not reserved.
fn bind_below_ephemeral_ports() -> io::Result<TcpListener> {
    let mut result = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..MAX_BIND_ATTEMPTS {
        let port = fastrand::u16(FIXED_PORTS);
        result = TcpListener::bind((Ipv4Addr::LOCALHOST, port));
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Polls the condition until it is true. Panics if that takes over a minute.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// A machine type of the simulated cloud, with the given number of CPUs.
pub fn machine(cpus: f64) -> MachineType {
    MachineType {
        name: "m".into(),
        cpus,
        gpus: 0.0,
        memory_gb: 2.0 * cpus,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: None,
        boot_s: 1.0,
        zones: vec!["a".into()],
    }
}

/// The settings file of controller `i`. Without a `world`, the addresses of the store and the
/// cloud are set to a peer port, which serves neither. `new_field` is an unknown field, which
/// controllers must ignore.
pub fn settings(
    i: usize,
    clients: &[SocketAddr],
    peers: &[SocketAddr],
    world: Option<&Loopback>,
    team: &str,
) -> String {
    let mut siblings = String::new();
    for (j, addr) in peers.iter().enumerate().filter(|(j, _)| *j != i) {
        let _ = write!(
            siblings,
            "[[siblings]]\nmember = \"n{j}\"\nsite = \"a\"\npeer_addr = \"{addr}\"\n"
        );
    }
    let (store, cloud) = world.map_or((peers[0], peers[0]), |w| (w.store_addr, w.cloud_addr));
    format!(
        "member = \"n{i}\"\nsite = \"a\"\nclient_listen = \"{}\"\nmesh_addr = \"{}\"\nnew_field = 1\n{siblings}
[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n
[cluster]\nsize = 3\nzones = [\"a\"]\nclock_error_ms = 250.0\n
[[cluster.teams]]\nname = \"{team}\"\ncpus = 4.0\ncpus_max = 8.0\n
[cluster.workers]\nreport_s = 1.0\nlease_s = 14.0\ncancel_s = 44.0\n
[cluster.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 48\n
[cluster.cloud]\nrps = 4.0\nlist_lag_s = 1.0\n
[cluster.quota]\ncpu_share = 0.5\nmem_mb = 72.0\nmax_connections = 200\n",
        clients[i], peers[i]
    )
}

/// Three controllers that serve the Kubernetes API too, with one team named `books`.
pub struct ThreeProcesses {
    pub world: Loopback,
    pub clients: Vec<SocketAddr>,
    /// Addresses of the Kubernetes API servers.
    pub kube_addrs: Vec<SocketAddr>,
    /// The settings and tuning file of each controller.
    files: Vec<(PathBuf, PathBuf)>,
    program: PathBuf,
    nodes: Vec<Option<Process>>,
}

impl ThreeProcesses {
    /// `kube` is the rest of the `kube` table of the tuning file, after the listen address.
    pub fn start(program: &Path, dir: &Path, kube: &str) -> io::Result<ThreeProcesses> {
        let (addrs, listeners) = free_addrs(9)?;
        let three = |i: usize| addrs[3 * i..3 * i + 3].to_vec();
        let (clients, peers, kube_addrs) = (three(0), three(1), three(2));
        let names = clients.iter().enumerate();
        let names = names.map(|(i, addr)| (format!("n{i}"), *addr)).collect();
        let world = Loopback::start(vec![machine(8.0)], names)?;
        let mut files = Vec::new();
        for (i, listen) in kube_addrs.iter().enumerate() {
            let config = dir.join(format!("n{i}.toml"));
            std::fs::write(
                &config,
                settings(i, &clients, &peers, Some(&world), "books"),
            )?;
            let tuning = dir.join(format!("operators-n{i}.toml"));
            std::fs::write(&tuning, format!("[kube]\nlisten = \"{listen}\"\n{kube}"))?;
            files.push((config, tuning));
        }
        drop(listeners);
        let mut processes = ThreeProcesses {
            world,
            clients,
            kube_addrs,
            files,
            program: program.to_path_buf(),
            nodes: (0..3).map(|_| None).collect(),
        };
        for i in 0..3 {
            processes.restart(i)?;
        }
        Ok(processes)
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    pub fn restart(&mut self, i: usize) -> io::Result<()> {
        self.nodes[i] = None;
        let (config, tuning) = &self.files[i];
        self.nodes[i] = Some(Process::serve(&self.program, config, Some(tuning))?);
        Ok(())
    }

    /// The operating system's process id of controller `i`, if it runs.
    pub fn id(&self, i: usize) -> Option<u32> {
        self.nodes[i].as_ref().map(Process::id)
    }
}
