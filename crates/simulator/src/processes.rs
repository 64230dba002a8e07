//! Three real controllers on the loopback interface, over the stand-ins, for tests of
//! whole processes and to try things out.

use crate::loopback::Loopback;
use dillcleat_wire::cloud::MachineType;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process that ends with its owner, however that ends.
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

    /// Starts a controller with its settings and, if there is one, its operators' file.
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
            .stderr(match std::env::var_os("LOG_LEVEL") {
                Some(_) => Stdio::inherit(),
                None => Stdio::null(),
            })
            .spawn()?;
        Ok(Process(child))
    }
}

/// Addresses of this machine that nobody uses. They are held until the listeners are
/// dropped: given back one by one, the same port was once given out twice.
pub fn free_addrs(n: usize) -> io::Result<(Vec<SocketAddr>, Vec<TcpListener>)> {
    let held = (0..n).map(|_| TcpListener::bind("127.0.0.1:0"));
    let held = held.collect::<io::Result<Vec<_>>>()?;
    let addrs = held.iter().map(TcpListener::local_addr);
    Ok((addrs.collect::<io::Result<_>>()?, held))
}

/// Waits until something holds; panics, for tests, if it does not within a minute.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "not within 60 s: {what}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// A machine type of the stand-ins.
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

/// The settings of the `i`-th of several controllers.
pub fn settings(
    i: usize,
    clients: &[SocketAddr],
    mesh: &[SocketAddr],
    world: Option<&Loopback>,
    team: &str,
) -> String {
    let mut siblings = String::new();
    for (j, addr) in mesh.iter().enumerate().filter(|(j, _)| *j != i) {
        let _ = write!(
            siblings,
            "[[siblings]]\nmember = \"n{j}\"\nsite = \"a\"\npeer_addr = \"{addr}\"\n"
        );
    }
    let (state, cloud) = world.map_or((mesh[0], mesh[0]), |w| (w.state_addr, w.cloud_addr));
    format!(
        "member = \"n{i}\"\nsite = \"a\"\nclient_listen = \"{}\"\nmesh_addr = \"{}\"\nnew_field = 1\n{siblings}
[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n
[cluster]\nsize = 3\nzones = [\"a\"]\nclock_error_ms = 250.0\n
[[cluster.teams]]\nname = \"{team}\"\ncpus = 4.0\ncpus_max = 8.0\n
[cluster.workers]\nreport_s = 1.0\nlease_s = 14.0\ncancel_s = 44.0\n
[cluster.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 48\n
[cluster.cloud]\nrps = 4.0\nlist_lag_s = 1.0\n
[cluster.quota]\ncpu_share = 0.5\nmem_mb = 72.0\nmax_connections = 200\n",
        clients[i], mesh[i]
    )
}

/// Three controllers with doors, whose team is `books`.
pub struct Trio {
    pub world: Loopback,
    pub clients: Vec<SocketAddr>,
    /// Where Kubernetes-shaped clients are served.
    pub doors: Vec<SocketAddr>,
    files: Vec<(PathBuf, PathBuf)>,
    program: PathBuf,
    nodes: Vec<Option<Process>>,
}

impl Trio {
    /// `kube`: what the table of the door holds besides its address.
    pub fn start(program: &Path, dir: &Path, kube: &str) -> io::Result<Trio> {
        let (addrs, held) = free_addrs(9)?;
        let part = |i: usize| addrs[3 * i..3 * i + 3].to_vec();
        let (clients, mesh, doors) = (part(0), part(1), part(2));
        let names = clients.iter().enumerate();
        let names = names.map(|(i, addr)| (format!("n{i}"), *addr)).collect();
        let world = Loopback::start(vec![machine(8.0)], names)?;
        let mut files = Vec::new();
        for (i, listen) in doors.iter().enumerate() {
            let own = dir.join(format!("n{i}.toml"));
            std::fs::write(&own, settings(i, &clients, &mesh, Some(&world), "books"))?;
            let door = dir.join(format!("operators-n{i}.toml"));
            std::fs::write(&door, format!("[kube]\nlisten = \"{listen}\"\n{kube}"))?;
            files.push((own, door));
        }
        drop(held);
        let mut trio = Trio {
            world,
            clients,
            doors,
            files,
            program: program.to_path_buf(),
            nodes: (0..3).map(|_| None).collect(),
        };
        for i in 0..3 {
            trio.restart(i)?;
        }
        Ok(trio)
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    pub fn restart(&mut self, i: usize) -> io::Result<()> {
        self.nodes[i] = None;
        let (own, door) = &self.files[i];
        self.nodes[i] = Some(Process::serve(&self.program, own, Some(door))?);
        Ok(())
    }

    /// The process of a controller.
    pub fn id(&self, i: usize) -> Option<u32> {
        self.nodes[i].as_ref().map(Process::id)
    }
}
