//! The table `[kube]` of the operators' settings stays readable: every key keeps its name,
//! and optional keys keep their defaults.

use dillcleat_kube::settings::{Settings, SettingsError, Tls, TokenGrant, Verb};

const FULL: &str = r#"
listen = "10.0.0.1:6443"
key_file = "deploy/kube.key"
tls = { cert = "/etc/tls.crt", key = "/etc/tls.key" }
class = "merge"
repeats = ["match"]
accelerator = "example.com/gpu"
max_objects = 400
max_watches = 30

[[tokens]]
name = "merge-scripts"
mac = "0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b"
namespaces = ["books"]
verbs = ["get", "list", "watch", "create", "update", "patch", "delete", "*"]
"#;

const SHORT: &str = r#"
listen = "127.0.0.1:6443"
key_file = "deploy/kube.key"
"#;

fn read(text: &str) -> Result<Settings, SettingsError> {
    Settings::read(toml::Value::Table(toml::from_str(text).expect("toml")))
}

#[test]
fn every_key_is_read() {
    let full = Settings {
        listen: "10.0.0.1:6443".parse().expect("an address"),
        tls: Some(Tls {
            cert: "/etc/tls.crt".into(),
            key: "/etc/tls.key".into(),
        }),
        key_file: "deploy/kube.key".into(),
        class: Some("merge".into()),
        name_reuse_classes: vec!["match".into()],
        accelerator: "example.com/gpu".into(),
        max_objects: 400,
        max_watches: 30,
        tokens: vec![TokenGrant {
            name: "merge-scripts".into(),
            mac: "0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b".into(),
            namespaces: vec!["books".into()],
            verbs: [
                "get", "list", "watch", "create", "update", "patch", "delete", "*",
            ]
            .map(String::from)
            .to_vec(),
        }],
    };
    assert_eq!(read(FULL), Ok(full));
}

#[test]
fn missing_optional_keys_have_their_defaults() {
    let short = Settings {
        listen: "127.0.0.1:6443".parse().expect("an address"),
        tls: None,
        key_file: "deploy/kube.key".into(),
        class: None,
        name_reuse_classes: Vec::new(),
        accelerator: "nvidia.com/gpu".into(),
        max_objects: 5_000,
        max_watches: 500,
        tokens: Vec::new(),
    };
    assert_eq!(read(SHORT), Ok(short));
}

#[test]
fn every_verb_keeps_its_name() {
    let names = Verb::ALL.map(Verb::name);
    let expected = [
        "get", "list", "watch", "create", "update", "patch", "delete",
    ];
    assert_eq!(names, expected);
}

#[test]
fn a_missing_required_key_is_an_error_with_its_name() {
    for key in ["listen", "key_file", "name", "mac", "namespaces", "verbs"] {
        let without = without_line(FULL, key);
        let error = read(&without).expect_err(key).to_string();
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
}

fn without_line(text: &str, key: &str) -> String {
    let start = format!("{key} = ");
    let lines = text.lines().filter(|line| !line.starts_with(&start));
    lines.map(|line| format!("{line}\n")).collect()
}

#[test]
fn an_unknown_key_is_an_error_with_the_valid_keys() {
    let assert_rejected = |text: &str, keys: &[&str]| {
        let error = read(text).expect_err(text).to_string();
        assert!(error.contains("unknown field `colour`"), "{error}");
        for key in keys {
            assert!(error.contains(&format!("`{key}`")), "{key}: {error}");
        }
    };
    assert_rejected(
        &format!("colour = 1\n{SHORT}"),
        &[
            "listen",
            "tls",
            "key_file",
            "class",
            "repeats",
            "accelerator",
            "max_objects",
            "max_watches",
            "tokens",
        ],
    );
    assert_rejected(
        &format!("{SHORT}tls = {{ colour = 1 }}\n"),
        &["cert", "key"],
    );
    assert_rejected(
        &format!("{SHORT}[[tokens]]\ncolour = 1\n"),
        &["name", "mac", "namespaces", "verbs"],
    );
}
