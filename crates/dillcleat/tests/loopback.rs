//! Whole processes on the loopback interface: three controllers, the command
//! line, stand-ins for everything else, and a leader that is killed.

use dillcleat_controller::SECOND;
use dillcleat_simulator::loopback::{Loopback, exchange, post};
use dillcleat_simulator::processes::{self, Process, until};
use dillcleat_simulator::worker::TaskBehaviour;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dillcleat");

fn file(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file in the target folder");
    path
}

fn settings(
    i: usize,
    clients: &[SocketAddr],
    mesh: &[SocketAddr],
    world: Option<&Loopback>,
) -> String {
    processes::settings(i, clients, mesh, world, "t")
}

fn serve(path: &Path) -> Process {
    Process::serve(Path::new(PROGRAM), path, None).expect("the program starts")
}

fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(args)
        .output()
        .expect("the program runs")
}

fn stdout(args: &[&str]) -> String {
    let o = run(args);
    assert!(
        o.status.success(),
        "{args:?}: {}",
        String::from_utf8_lossy(&o.stderr)
    );
    String::from_utf8_lossy(&o.stdout).trim().to_string()
}

/// Submits a job as a user would, with more arguments.
fn submit(server: &str, id: &str, more: &[&str]) -> Output {
    let job = [
        "submit", "--server", server, id, "--class", "c", "--team", "t", "--image", "img",
    ];
    run(&[&job, more].concat())
}

fn said(o: &Output) -> String {
    let said = if o.status.success() {
        &o.stdout
    } else {
        &o.stderr
    };
    String::from_utf8_lossy(said).trim().to_string()
}

fn play(id: &str, kind: JobKind) -> TaskBehaviour {
    TaskBehaviour {
        spec: JobSpec {
            image: "img".into(),
            image_gb: 0.1,
            spot: false,
            ..JobSpec::plain(id, kind, 2, 1.0)
        },
        run_time: 2 * SECOND,
        fails: false,
    }
}

#[test]
fn jobs_run_through_three_processes_and_a_killed_leader() {
    let (addrs, held) = processes::free_addrs(6).expect("free ports");
    let (clients, mesh) = (addrs[..3].to_vec(), addrs[3..].to_vec());
    let names = (0..3).map(|i| (format!("n{i}"), clients[i])).collect();
    let world = Loopback::start(vec![processes::machine(8.0)], names).expect("stand-ins");
    world.set_behaviour(play("req-1", JobKind::Batch));
    world.set_behaviour(play("req-2", JobKind::Service));
    world.set_behaviour(TaskBehaviour {
        run_time: 8 * SECOND,
        ..play("req-3", JobKind::Batch)
    });
    world.set_behaviour(play("req-4", JobKind::Batch));
    let files: Vec<PathBuf> = (0..3)
        .map(|i| {
            file(
                &format!("n{i}.toml"),
                &settings(i, &clients, &mesh, Some(&world)),
            )
        })
        .collect();
    drop(held);
    let mut nodes: Vec<Option<Process>> = files.iter().map(|f| Some(serve(f))).collect();
    let server = clients.map_to_string();
    until("a job is accepted", || {
        submit(&server[0], "req-1", &["--tasks", "2"])
            .status
            .success()
    });
    let service = submit(&server[1], "req-2", &["--tasks", "2", "--service"]);
    assert_eq!(said(&service), "req-2 pending");
    until("the job is done", || {
        stdout(&["status", "--server", &server[2], "req-1"])
            == "req-1 done, 2 tasks done, 0 running"
    });
    until("the service runs", || {
        stdout(&["status", "--server", &server[0], "req-2"]).starts_with("req-2 running")
    });
    // A retry of what is over is answered as over, whatever it holds.
    let again = run(&[
        "submit", "--server", &server[1], "req-1", "--class", "c", "--team", "nobody", "--image",
        "x",
    ]);
    assert_eq!(
        String::from_utf8_lossy(&again.stdout).trim(),
        "req-1 done, 2 tasks done, 0 running"
    );
    // A line of three jobs, of which the second waits while leaders end.
    let long = ["--tasks", "2", "--after", "req-1"];
    assert_eq!(said(&submit(&server[0], "req-3", &long)), "req-3 pending");
    let next = submit(
        &server[1],
        "req-4",
        &["--after", "req-3", "--after", "req-1"],
    );
    assert_eq!(said(&next), "req-4 pending");
    let never = submit(&server[2], "req-5", &["--after", "req-88"]);
    assert_eq!(never.status.code(), Some(1));
    assert_eq!(
        said(&never).lines().last(),
        Some("dillcleat: awaits req-88, which was never accepted")
    );
    // Every node in turn, so the leader for sure.
    for i in 0..3 {
        nodes[i] = None;
        let other = &server[(i + 1) % 3];
        assert!(stdout(&["status", "--server", other, "req-1"]).starts_with("req-1 done"));
        nodes[i] = Some(serve(&files[i]));
        until("the node is back", || {
            exchange(clients[i], b"GET /up HTTP/1.1\r\n\r\n").is_some_and(|(s, _)| s == 200)
        });
    }
    until("the line of jobs is done", || {
        stdout(&["status", "--server", &server[1], "req-4"])
            == "req-4 done, 1 tasks done, 0 running"
    });
    assert!(stdout(&["status", "--server", &server[1], "req-3"]).starts_with("req-3 done"));
    assert!(stdout(&["abort", "--server", &server[0], "req-2"]).starts_with("req-2 aborted"));
    for s in &server {
        assert!(stdout(&["status", "--server", s, "req-2"]).starts_with("req-2 aborted"));
    }
    bad_requests(clients[0]);
    let unknown = run(&["status", "--server", &server[0], "req-77"]);
    assert_eq!(unknown.status.code(), Some(1));
    // A controller that cannot tell yet is asked again, which is said before.
    let said = String::from_utf8_lossy(&unknown.stderr).to_string();
    assert_eq!(said.trim().lines().last(), Some("dillcleat: no such job"));
}

trait MapToString {
    fn map_to_string(&self) -> Vec<String>;
}

impl MapToString for Vec<SocketAddr> {
    fn map_to_string(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }
}

/// What must be refused at the door, by bytes.
fn bad_requests(addr: SocketAddr) {
    let status = |bytes: &[u8]| exchange(addr, bytes).map(|(s, _)| s);
    assert_eq!(status(b"nonsense\r\n\r\n"), Some(400));
    assert_eq!(status(b"GET /nowhere HTTP/1.1\r\n\r\n"), Some(404));
    assert_eq!(status(b"DELETE /up HTTP/1.1\r\n\r\n"), Some(405));
    assert_eq!(status(b"GET /v2/runs/x/y/z HTTP/1.1\r\n\r\n"), Some(404));
    let large = b"POST /v2/runs HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
    assert_eq!(status(large), Some(413));
    let mut long = b"GET /up HTTP/1.1\r\nX: ".to_vec();
    long.resize(9000, b'x');
    assert_eq!(status(&long), Some(400));
    let chunked = b"POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(status(chunked), Some(400));
    for body in [&b""[..], b"\xc1", b"\x93\x01\x02\x03", b"\x80"] {
        assert_eq!(post(addr, "/v2/runs", body).map(|(s, _)| s), Some(400));
        assert_eq!(post(addr, "/checkin", body).map(|(s, _)| s), Some(400));
    }
}

#[test]
fn settings_are_checked_before_any_socket_opens() {
    let (addrs, _) = processes::free_addrs(3).expect("free ports");
    let good = settings(0, &addrs, &addrs, None);
    let path = file("good.toml", &good);
    let path = path.to_str().expect("a path of text");
    assert!(run(&["check", path]).status.success());
    let odd = format!(
        "{good}\n[[cluster.objectives]]\nkind = \"finished\"\nclass = \"probes\"\nwithin_s = 9.0\n"
    );
    let o = run(&["check", file("odd.toml", &odd).to_str().expect("text")]);
    let said = String::from_utf8_lossy(&o.stdout).to_string();
    assert!(
        o.status.success() && said.contains("finished of probes"),
        "{said}"
    );
    let short = good.replacen("lease_s = 14.0", "lease_s = 43.0", 1);
    let o = run(&["check", file("short.toml", &short).to_str().expect("text")]);
    let said = String::from_utf8_lossy(&o.stdout).to_string();
    assert!(
        o.status.success() && said.contains("cancel_s leaves no time"),
        "{said}"
    );
    for (from, to, key) in [
        ("lease_s = 14.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 14.0", "lease_s = 60.0", "cancel_s"),
        ("txn_ops = 48", "txn_ops = 0", "txn_ops"),
        ("rps = 200.0", "rps = \"many\"", "rps"),
        ("cpus_max = 8.0", "cpus_max = nan", "cpus_max"),
        ("member = \"n0\"", "", "member"),
    ] {
        let bad = file("bad.toml", &good.replacen(from, to, 1));
        let o = run(&["--config", bad.to_str().expect("text")]);
        let said = String::from_utf8_lossy(&o.stderr).to_string();
        assert_eq!(o.status.code(), Some(2), "{key}: {said}");
        assert!(
            said.contains(key) && said.trim().lines().count() == 1,
            "{key}: {said}"
        );
    }
    let tuning = file("tuning.toml", "idle_s = 5.0\ntypo = 1\n");
    let o = run(&["check", path, "--tuning", tuning.to_str().expect("text")]);
    assert_eq!(o.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&o.stderr).contains("typo"));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(
        run(&["status", "--server", "x", "req-1"]).status.code(),
        Some(2)
    );
}
