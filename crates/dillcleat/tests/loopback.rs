//! Three controller processes and the command line on the loopback interface, with
//! simulated workers, store and cloud. Controllers are killed and restarted.

use dillcleat_controller::SECOND;
use dillcleat_simulator::loopback::{Loopback, exchange, post};
use dillcleat_simulator::processes::{self, Process, until};
use dillcleat_simulator::worker::TaskBehaviour;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dillcleat");

fn write_file(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file in the target folder");
    path
}

fn settings(
    i: usize,
    clients: &[SocketAddr],
    peer_addrs: &[SocketAddr],
    services: Option<&Loopback>,
) -> String {
    processes::settings(i, clients, peer_addrs, services, "t")
}

fn start_controller(path: &Path) -> Process {
    Process::serve(Path::new(PROGRAM), path, None).expect("the program starts")
}

fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(args)
        .output()
        .expect("the program runs")
}

/// Runs a command that must succeed, and returns its standard output.
fn stdout(args: &[&str]) -> String {
    let o = run(args);
    assert!(
        o.status.success(),
        "{args:?}: {}",
        String::from_utf8_lossy(&o.stderr)
    );
    String::from_utf8_lossy(&o.stdout).trim().to_string()
}

/// Submits a job through the command line, with additional arguments.
fn submit(server: &str, id: &str, arguments: &[&str]) -> Output {
    let job = [
        "submit", "--server", server, id, "--class", "c", "--team", "t", "--image", "img",
    ];
    run(&[&job, arguments].concat())
}

/// The standard output of a command that succeeded, the standard error of one that failed.
fn output_text(o: &Output) -> String {
    let bytes = if o.status.success() {
        &o.stdout
    } else {
        &o.stderr
    };
    String::from_utf8_lossy(bytes).trim().to_string()
}

fn task_behaviour(id: &str, kind: JobKind) -> TaskBehaviour {
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

/// Also covers resubmission, dependencies, cancellation and malformed requests.
#[test]
fn jobs_complete_while_each_of_three_controllers_is_killed() {
    let (addrs, reserved_ports) = processes::free_addrs(6).expect("free ports");
    let (clients, peer_addrs) = (addrs[..3].to_vec(), addrs[3..].to_vec());
    let names = (0..3).map(|i| (format!("n{i}"), clients[i])).collect();
    let services =
        Loopback::start(vec![processes::machine(8.0)], names).expect("simulated services start");
    services.set_behaviour(task_behaviour("req-1", JobKind::Batch));
    services.set_behaviour(task_behaviour("req-2", JobKind::Service));
    services.set_behaviour(TaskBehaviour {
        run_time: 8 * SECOND,
        ..task_behaviour("req-3", JobKind::Batch)
    });
    services.set_behaviour(task_behaviour("req-4", JobKind::Batch));
    let files: Vec<PathBuf> = (0..3)
        .map(|i| {
            write_file(
                &format!("n{i}.toml"),
                &settings(i, &clients, &peer_addrs, Some(&services)),
            )
        })
        .collect();
    drop(reserved_ports);
    let mut controllers: Vec<Option<Process>> =
        files.iter().map(|f| Some(start_controller(f))).collect();
    let server = clients.map_to_string();
    until("a job is accepted", || {
        submit(&server[0], "req-1", &["--tasks", "2"])
            .status
            .success()
    });
    let service = submit(&server[1], "req-2", &["--tasks", "2", "--service"]);
    assert_eq!(output_text(&service), "req-2 pending");
    until("the job is done", || {
        stdout(&["status", "--server", &server[2], "req-1"])
            == "req-1 done, 2 tasks done, 0 running"
    });
    until("the service runs", || {
        stdout(&["status", "--server", &server[0], "req-2"]).starts_with("req-2 running")
    });
    // If a job that is done is submitted again, its state is returned, even if the
    // specification differs.
    let again = run(&[
        "submit", "--server", &server[1], "req-1", "--class", "c", "--team", "nobody", "--image",
        "x",
    ]);
    assert_eq!(
        String::from_utf8_lossy(&again.stdout).trim(),
        "req-1 done, 2 tasks done, 0 running"
    );
    // Jobs that depend on each other. The last one waits while controllers are killed.
    let third = ["--tasks", "2", "--after", "req-1"];
    assert_eq!(
        output_text(&submit(&server[0], "req-3", &third)),
        "req-3 pending"
    );
    let next = submit(
        &server[1],
        "req-4",
        &["--after", "req-3", "--after", "req-1"],
    );
    assert_eq!(output_text(&next), "req-4 pending");
    let never = submit(&server[2], "req-5", &["--after", "req-88"]);
    assert_eq!(never.status.code(), Some(1));
    assert_eq!(
        output_text(&never).lines().last(),
        Some("dillcleat: awaits req-88, which was never accepted")
    );
    // Each controller is killed and restarted in turn. One of them is the leader.
    for i in 0..3 {
        controllers[i] = None;
        let other = &server[(i + 1) % 3];
        assert!(stdout(&["status", "--server", other, "req-1"]).starts_with("req-1 done"));
        controllers[i] = Some(start_controller(&files[i]));
        until("the controller is back", || {
            exchange(clients[i], b"GET /up HTTP/1.1\r\n\r\n").is_some_and(|(s, _)| s == 200)
        });
    }
    until("the chain of jobs is done", || {
        stdout(&["status", "--server", &server[1], "req-4"])
            == "req-4 done, 1 tasks done, 0 running"
    });
    assert!(stdout(&["status", "--server", &server[1], "req-3"]).starts_with("req-3 done"));
    assert!(stdout(&["abort", "--server", &server[0], "req-2"]).starts_with("req-2 aborted"));
    for s in &server {
        assert!(stdout(&["status", "--server", s, "req-2"]).starts_with("req-2 aborted"));
    }
    check_invalid_requests(clients[0]);
    let unknown = run(&["status", "--server", &server[0], "req-77"]);
    assert_eq!(unknown.status.code(), Some(1));
    // The command may report retries before the final error.
    let stderr = String::from_utf8_lossy(&unknown.stderr).to_string();
    assert_eq!(stderr.trim().lines().last(), Some("dillcleat: no such job"));
}

trait MapToString {
    fn map_to_string(&self) -> Vec<String>;
}

impl MapToString for Vec<SocketAddr> {
    fn map_to_string(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }
}

/// Checks the status codes of malformed and unsupported requests.
fn check_invalid_requests(addr: SocketAddr) {
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

/// Valid settings of a controller.
fn valid_settings() -> String {
    let (addrs, _) = processes::free_addrs(3).expect("free ports");
    settings(0, &addrs, &addrs, None)
}

#[test]
fn check_warns_about_settings_without_effect_and_a_short_cancel_deadline() {
    let good = valid_settings();
    let without_effect = format!(
        "{good}\n[[cluster.objectives]]\nkind = \"finished\"\nclass = \"probes\"\nwithin_s = 9.0\n"
    );
    let o = run(&[
        "check",
        write_file("odd.toml", &without_effect)
            .to_str()
            .expect("text"),
    ]);
    let output = String::from_utf8_lossy(&o.stdout).to_string();
    assert!(
        o.status.success() && output.contains("finished of probes"),
        "{output}"
    );
    let short = good.replacen("lease_s = 14.0", "lease_s = 43.0", 1);
    let o = run(&[
        "check",
        write_file("short.toml", &short).to_str().expect("text"),
    ]);
    let output = String::from_utf8_lossy(&o.stdout).to_string();
    assert!(
        o.status.success() && output.contains("cancel_s leaves no time"),
        "{output}"
    );
}

#[test]
fn start_with_invalid_settings_and_commands_with_invalid_arguments_exit_with_code_2() {
    let good = valid_settings();
    for (from, to, key) in [
        ("lease_s = 14.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 14.0", "lease_s = 60.0", "cancel_s"),
        ("txn_ops = 48", "txn_ops = 0", "txn_ops"),
        ("rps = 200.0", "rps = \"many\"", "rps"),
        ("cpus_max = 8.0", "cpus_max = nan", "cpus_max"),
        ("member = \"n0\"", "", "member"),
    ] {
        let bad = write_file("bad.toml", &good.replacen(from, to, 1));
        let o = run(&["--config", bad.to_str().expect("text")]);
        let output = String::from_utf8_lossy(&o.stderr).to_string();
        assert_eq!(o.status.code(), Some(2), "{key}: {output}");
        assert!(
            output.contains(key) && output.trim().lines().count() == 1,
            "{key}: {output}"
        );
    }
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(
        run(&["status", "--server", "x", "req-1"]).status.code(),
        Some(2)
    );
}

#[test]
fn check_accepts_valid_settings_and_rejects_unknown_tuning_keys() {
    let path = write_file("good.toml", &valid_settings());
    let path = path.to_str().expect("a path of text");
    assert!(run(&["check", path]).status.success());
    let tuning = write_file("tuning.toml", "idle_s = 5.0\ntypo = 1\n");
    let o = run(&["check", path, "--tuning", tuning.to_str().expect("text")]);
    assert_eq!(o.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&o.stderr).contains("typo"));
}
