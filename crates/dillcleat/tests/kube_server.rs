//! Kubernetes-shaped clients against three real processes, with TLS and tokens, while
//! controllers are killed.

mod common;

use common::{KEY, certificate, folder, install};
use dillcleat_kube::SigningKey;
use dillcleat_simulator::loopback::exchange;
use dillcleat_simulator::processes::{ThreeProcesses, until};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dillcleat");
struct Client {
    dir: PathBuf,
    server: String,
    token: &'static str,
}

impl Client {
    fn command(&self, args: &[&str]) -> Command {
        let token = self.dir.join(self.token);
        std::fs::write(&token, self.token).expect("a token's file");
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

    fn says(&self, args: &[&str]) -> String {
        let o = self.run(args);
        let (out, err) = (
            String::from_utf8_lossy(&o.stdout),
            String::from_utf8_lossy(&o.stderr),
        );
        assert!(o.status.success(), "{args:?}: {out}{err}");
        out.trim().to_string()
    }

    fn refused(&self, args: &[&str]) -> String {
        let o = self.run(args);
        assert_eq!(o.status.code(), Some(1), "{args:?}");
        String::from_utf8_lossy(&o.stderr).trim().to_string()
    }
}

fn job(dir: &Path, name: &str, more: &str) -> String {
    let text = format!(
        "apiVersion: batch/v1\nkind: Job\nmetadata: {{name: {name}, namespace: books, labels: {{app: {name}}},\n  \
         annotations: {{dillcleat/estimate-seconds: '1'}}}}\nspec:\n  completions: 4\n  parallelism: 4\n{more}  \
         template:\n    spec:\n      restartPolicy: Never\n      containers:\n      - {{name: main, image: i,\n        \
         resources: {{requests: {{cpu: '1', memory: 1G}}}}}}\n"
    );
    let path = dir.join(format!("{name}.yaml"));
    std::fs::write(&path, text).expect("a manifest");
    path.to_str().expect("a path of text").to_string()
}

/// Waits for the end of a child.
fn ends(mut child: Child) -> bool {
    let mut status = None;
    until("a command ends", || {
        status = child.try_wait().expect("a child");
        status.is_some()
    });
    status.is_some_and(|s| s.success())
}

#[test]
fn jobs_through_tls_while_controllers_are_killed() {
    let dir = folder("door");
    let made = certificate();
    // What the server shows, and what its clients trust.
    install(&dir, &made);
    std::fs::write(dir.join("tls.crt"), made.cert.pem()).expect("a file");
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
    let mut trio = ThreeProcesses::start(Path::new(PROGRAM), &dir, &kube).expect("controllers");
    let client = |i: usize, token| Client {
        dir: dir.clone(),
        server: format!("https://{}", trio.kube_addrs[i]),
        token,
    };
    let clients: Vec<Client> = (0..3).map(|i| client(i, "all")).collect();
    let (reader, stranger) = (client(0, "reader"), client(0, "stranger"));

    // Created at one, waited for at it, while each of the others is killed.
    let first = job(&dir, "first", "");
    let apply = ["apply", "-f", &first, "--wait"];
    let waiting = clients[0]
        .command(&apply)
        .stdout(Stdio::null())
        .spawn()
        .expect("it runs");
    until("the job is there", || {
        clients[1]
            .run(&["get", "job", "first", "-n", "books"])
            .status
            .success()
    });
    for i in [1, 2] {
        trio.kill(i);
        std::thread::sleep(Duration::from_millis(500));
        trio.restart(i).expect("it starts again");
    }
    assert!(ends(waiting), "the job is not complete");
    for c in &clients {
        let table = c.says(&["get", "jobs"]);
        assert!(
            table.contains("first") && table.contains("Complete") && table.contains("4/4"),
            "{table}"
        );
    }
    let shown = clients[2].says(&["describe", "job", "first", "-n", "books"]);
    for line in [
        "Stands for     req-",
        "4 done",
        "Complete: CompletionsReached",
    ] {
        assert!(shown.contains(line), "{shown}");
    }
    // The same again changes nothing; a label does; an image may not.
    assert_eq!(
        clients[1].says(&["apply", "-f", &first]),
        "job.batch/first unchanged"
    );
    let text = std::fs::read_to_string(&first).expect("the manifest");
    std::fs::write(&first, text.replace("app: first", "app: other")).expect("a manifest");
    assert_eq!(
        clients[2].says(&["apply", "-f", &first]),
        "job.batch/first configured"
    );
    assert_eq!(
        clients[0].says(&["get", "jobs", "-l", "app=other", "-o", "name"]),
        "job.batch/first"
    );
    std::fs::write(&first, text.replace("image: i", "image: k")).expect("a manifest");
    let why = clients[0].refused(&["apply", "-f", &first]);
    assert!(why.contains("spec.template: field is immutable"), "{why}");

    // Whatever is not served is named by its path.
    let odd = job(&dir, "odd", "  podFailurePolicy: {rules: []}\n");
    let why = clients[0].refused(&["apply", "-f", &odd]);
    assert!(why.contains("spec.podFailurePolicy: not served"), "{why}");

    // Two controllers are given the same name at once: one run.
    let both = job(&dir, "both", "");
    let tries: Vec<Child> = clients[..2]
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
    assert!(tries.into_iter().map(ends).filter(|ok| *ok).count() >= 1);
    assert_eq!(
        clients[2].says(&["get", "jobs", "-l", "app=both", "-o", "name"]),
        "job.batch/both"
    );

    // Deleted at one, gone at the others, and its name is not used again.
    assert_eq!(
        clients[1].says(&["delete", "job", "both", "-n", "books"]),
        "job.batch/both deleted"
    );
    assert!(
        clients[2]
            .refused(&["get", "job", "both", "-n", "books"])
            .contains("404")
    );
    let why = clients[0].refused(&["apply", "-f", &both]);
    assert!(why.contains("it was there as"), "{why}");

    // Who may.
    assert!(reader.says(&["get", "jobs"]).contains("first"));
    assert!(
        reader
            .refused(&["delete", "job", "first", "-n", "books"])
            .contains("403")
    );
    assert!(stranger.refused(&["get", "jobs"]).contains("401"));
    assert!(
        clients[0]
            .refused(&["get", "job", "x", "-n", "others"])
            .contains("403")
    );
    // A certificate that cannot be used leaves the old one; a new one is taken up.
    std::fs::write(dir.join("server.crt"), "nonsense").expect("a file");
    std::thread::sleep(Duration::from_secs(3));
    assert!(clients[0].says(&["get", "jobs"]).contains("first"));
    let renewed = certificate();
    install(&dir, &renewed);
    std::fs::write(dir.join("tls.crt"), renewed.cert.pem()).expect("a file");
    until("the new certificate is taken up", || {
        let mut command = clients[0].command(&["get", "jobs", "--timeout", "1"]);
        command.output().is_ok_and(|o| o.status.success())
    });
    // Nobody is spoken to without TLS.
    assert_eq!(
        exchange(trio.kube_addrs[0], b"GET /version HTTP/1.1\r\n\r\n").map(|(s, _)| s),
        None
    );
}

#[test]
fn settings_of_the_door_are_checked() {
    let dir = folder("check");
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
    let (code, said) = check(&good);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("served on 127.0.0.1:6443"), "{said}");
    for (from, to, what) in [
        ("127.0.0.1:6443", "10.0.0.1:6443", "kube.tls is needed"),
        ("kube.key", "none.key", "none.key"),
        ("[kube]", "[kube]\ncolour = 1", "colour"),
        ("[kube]", "idle_ss = 1\n[kube]", "idle_ss"),
    ] {
        let (code, said) = check(&good.replacen(from, to, 1));
        assert_eq!(code, Some(2), "{to}: {said}");
        assert!(said.contains(what) && !said.contains(KEY), "{to}: {said}");
    }
    // The files that are shipped are good, but for the key that each makes.
    let shipped = include_str!("../../../deploy/product.toml");
    let key = format!("{:?}", dir.join("kube.key"));
    let (code, said) = check(&shipped.replace("\"deploy/kube.key\"", &key));
    assert_eq!(code, Some(0), "{said}");
}
