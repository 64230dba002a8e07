//! The command line for Kubernetes objects against three controller processes, with TLS and
//! tokens. Controllers are killed and restarted.

mod common;

use common::{KEY, generate_certificate, install_certificate, test_dir};
use dillcleat_kube::SigningKey;
use dillcleat_simulator::loopback::exchange;
use dillcleat_simulator::processes::{ThreeProcesses, until};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dillcleat");

/// Runs the command line with a server and a token.
struct Client {
    dir: PathBuf,
    server: String,
    token: &'static str,
}

impl Client {
    fn command(&self, args: &[&str]) -> Command {
        let token = self.dir.join(self.token);
        std::fs::write(&token, self.token).expect("a token file");
        let mut command = Command::new(PROGRAM);
        command
            .args(args)
            .args(["--server", &self.server, "--token-file"])
            .arg(token)
            .arg("--ca")
            .arg(self.dir.join("tls.crt"));
        command
    }

    fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().expect("the program runs")
    }

    /// Runs a command that must succeed, and returns its standard output.
    fn succeed(&self, args: &[&str]) -> String {
        let o = self.run(args);
        let (out, err) = (
            String::from_utf8_lossy(&o.stdout),
            String::from_utf8_lossy(&o.stderr),
        );
        assert!(o.status.success(), "{args:?}: {out}{err}");
        out.trim().to_string()
    }

    /// Runs a command that must fail, and returns its standard error.
    fn fail(&self, args: &[&str]) -> String {
        let o = self.run(args);
        assert_eq!(o.status.code(), Some(1), "{args:?}");
        String::from_utf8_lossy(&o.stderr).trim().to_string()
    }
}

/// Writes the manifest of a Job with additional lines in its spec, and returns its path.
fn write_manifest(dir: &Path, name: &str, spec_lines: &str) -> String {
    let text = format!(
        "apiVersion: batch/v1\nkind: Job\nmetadata: {{name: {name}, namespace: books, labels: {{app: {name}}},\n  \
         annotations: {{dillcleat/estimate-seconds: '1'}}}}\nspec:\n  completions: 4\n  parallelism: 4\n{spec_lines}  \
         template:\n    spec:\n      restartPolicy: Never\n      containers:\n      - {{name: main, image: i,\n        \
         resources: {{requests: {{cpu: '1', memory: 1G}}}}}}\n"
    );
    let path = dir.join(format!("{name}.yaml"));
    std::fs::write(&path, text).expect("a manifest");
    path.to_str().expect("a path of text").to_string()
}

/// Waits until a command exits, and returns whether it succeeded.
fn wait_for_success(mut child: Child) -> bool {
    let mut status = None;
    until("a command exits", || {
        status = child.try_wait().expect("a child");
        status.is_some()
    });
    status.is_some_and(|s| s.success())
}

/// Also covers tables, rejected changes, the rejected reuse of a name after deletion,
/// authorization, and the replacement of the certificate while the controllers run.
#[test]
fn apply_over_tls_waits_until_a_job_is_complete_while_other_controllers_are_killed() {
    let dir = test_dir("commands");
    let certificate = generate_certificate();
    install_certificate(&dir, &certificate);
    // The certificate that the clients trust.
    std::fs::write(dir.join("tls.crt"), certificate.cert.pem()).expect("a file");
    let key = SigningKey::parse(KEY).expect("a key");
    let entry = |token: &str, verbs: &str| {
        format!(
            "[[kube.tokens]]\nname = \"{token}\"\nmac = \"{}\"\nnamespaces = [\"books\"]\nverbs = [{verbs}]\n",
            key.token(token)
        )
    };
    let kube = format!(
        "key_file = {:?}\nclass = \"merge\"\ntls = {{ cert = {:?}, key = {:?} }}\n{}{}",
        dir.join("kube.key"),
        dir.join("server.crt"),
        dir.join("tls.key"),
        entry("all", "\"*\""),
        entry("reader", "\"get\", \"list\", \"watch\""),
    );
    let mut controllers =
        ThreeProcesses::start(Path::new(PROGRAM), &dir, &kube).expect("controllers");
    let client = |i: usize, token| Client {
        dir: dir.clone(),
        server: format!("https://{}", controllers.kube_addrs[i]),
        token,
    };
    let clients: Vec<Client> = (0..3).map(|i| client(i, "all")).collect();
    let (reader, unknown) = (client(0, "reader"), client(0, "stranger"));

    // A Job is created and awaited at one controller while each of the others is killed.
    let first = write_manifest(&dir, "first", "");
    let apply = ["apply", "-f", &first, "--wait"];
    let waiting = clients[0]
        .command(&apply)
        .stdout(Stdio::null())
        .spawn()
        .expect("it runs");
    until("the job exists", || {
        clients[1]
            .run(&["get", "job", "first", "-n", "books"])
            .status
            .success()
    });
    for i in [1, 2] {
        controllers.kill(i);
        std::thread::sleep(Duration::from_millis(500));
        controllers.restart(i).expect("it starts again");
    }
    assert!(wait_for_success(waiting), "the job is not complete");
    for c in &clients {
        let table = c.succeed(&["get", "jobs"]);
        assert!(
            table.contains("first") && table.contains("Complete") && table.contains("4/4"),
            "{table}"
        );
    }
    let description = clients[2].succeed(&["describe", "job", "first", "-n", "books"]);
    for line in [
        "Stands for     req-",
        "4 done",
        "Complete: CompletionsReached",
    ] {
        assert!(description.contains(line), "{description}");
    }
    // Applying the same manifest changes nothing, a new label is accepted, and a new image is
    // rejected.
    assert_eq!(
        clients[1].succeed(&["apply", "-f", &first]),
        "job.batch/first unchanged"
    );
    let text = std::fs::read_to_string(&first).expect("the manifest");
    std::fs::write(&first, text.replace("app: first", "app: other")).expect("a manifest");
    assert_eq!(
        clients[2].succeed(&["apply", "-f", &first]),
        "job.batch/first configured"
    );
    assert_eq!(
        clients[0].succeed(&["get", "jobs", "-l", "app=other", "-o", "name"]),
        "job.batch/first"
    );
    std::fs::write(&first, text.replace("image: i", "image: k")).expect("a manifest");
    let error = clients[0].fail(&["apply", "-f", &first]);
    assert!(
        error.contains("spec.template: field is immutable"),
        "{error}"
    );

    // Unsupported fields are rejected with their path.
    let odd = write_manifest(&dir, "odd", "  podFailurePolicy: {rules: []}\n");
    let error = clients[0].fail(&["apply", "-f", &odd]);
    assert!(
        error.contains("spec.podFailurePolicy: not served"),
        "{error}"
    );

    // Two controllers receive the same Job at the same time and create one object.
    let both = write_manifest(&dir, "both", "");
    let attempts: Vec<Child> = clients[..2]
        .iter()
        .map(|c| {
            let mut command = c.command(&["apply", "-f", &both]);
            command
                .stderr(Stdio::null())
                .stdout(Stdio::null())
                .spawn()
                .expect("it runs")
        })
        .collect();
    assert!(
        attempts
            .into_iter()
            .map(wait_for_success)
            .filter(|ok| *ok)
            .count()
            >= 1
    );
    assert_eq!(
        clients[2].succeed(&["get", "jobs", "-l", "app=both", "-o", "name"]),
        "job.batch/both"
    );

    // An object deleted at one controller is deleted at the others, and its name cannot be
    // used again.
    assert_eq!(
        clients[1].succeed(&["delete", "job", "both", "-n", "books"]),
        "job.batch/both deleted"
    );
    assert!(
        clients[2]
            .fail(&["get", "job", "both", "-n", "books"])
            .contains("404")
    );
    let error = clients[0].fail(&["apply", "-f", &both]);
    assert!(error.contains("it was there as"), "{error}");

    // A token allows only its verbs and namespaces, and an unknown token allows nothing.
    assert!(reader.succeed(&["get", "jobs"]).contains("first"));
    assert!(
        reader
            .fail(&["delete", "job", "first", "-n", "books"])
            .contains("403")
    );
    assert!(unknown.fail(&["get", "jobs"]).contains("401"));
    assert!(
        clients[0]
            .fail(&["get", "job", "x", "-n", "others"])
            .contains("403")
    );
    // An invalid certificate file leaves the old certificate in use; a valid one is loaded.
    std::fs::write(dir.join("server.crt"), "nonsense").expect("a file");
    // Wait for longer than the interval at which the files are checked.
    std::thread::sleep(Duration::from_secs(3));
    assert!(clients[0].succeed(&["get", "jobs"]).contains("first"));
    let renewed = generate_certificate();
    install_certificate(&dir, &renewed);
    std::fs::write(dir.join("tls.crt"), renewed.cert.pem()).expect("a file");
    until("the new certificate is loaded", || {
        let mut command = clients[0].command(&["get", "jobs", "--timeout", "1"]);
        command.output().is_ok_and(|o| o.status.success())
    });
    // Requests without TLS get no response.
    assert_eq!(
        exchange(controllers.kube_addrs[0], b"GET /version HTTP/1.1\r\n\r\n").map(|(s, _)| s),
        None
    );
}

#[test]
fn invalid_api_server_settings_are_rejected() {
    let dir = test_dir("check");
    let node = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example-node.toml");
    let check = |kube: &str| {
        let file = dir.join("operators.toml");
        std::fs::write(&file, kube).expect("a file");
        let command = &mut Command::new(PROGRAM);
        let o = command
            .arg("check")
            .arg(&node)
            .arg("--tuning")
            .arg(file)
            .output();
        let o = o.expect("the program runs");
        (
            o.status.code(),
            String::from_utf8_lossy(&[o.stdout, o.stderr].concat()).to_string(),
        )
    };
    let good = format!(
        "[kube]\nlisten = \"127.0.0.1:6443\"\nkey_file = {:?}\n",
        dir.join("kube.key")
    );
    let (code, output) = check(&good);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("served on 127.0.0.1:6443"), "{output}");
    for (from, to, what) in [
        ("127.0.0.1:6443", "10.0.0.1:6443", "kube.tls is needed"),
        ("kube.key", "none.key", "none.key"),
        ("[kube]", "[kube]\ncolour = 1", "colour"),
        ("[kube]", "idle_ss = 1\n[kube]", "idle_ss"),
    ] {
        let (code, output) = check(&good.replacen(from, to, 1));
        assert_eq!(code, Some(2), "{to}: {output}");
        assert!(
            output.contains(what) && !output.contains(KEY),
            "{to}: {output}"
        );
    }
    // The shipped settings are valid once the key file exists.
    let shipped = include_str!("../../../deploy/product.toml");
    let key = format!("{:?}", dir.join("kube.key"));
    let (code, output) = check(&shipped.replace("\"deploy/kube.key\"", &key));
    assert_eq!(code, Some(0), "{output}");
}
