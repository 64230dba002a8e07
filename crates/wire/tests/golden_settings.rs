//! The keys, defaults and error messages of the settings file, which must not change.

use dillcleat_wire::settings::{
    CloudLimits, Cluster, Endpoints, Objective, Peer, PlatformSettings, Quota, StoreLimits, Team,
    UpcomingLimits, WorkerTimings,
};

/// A settings file with all keys.
const FULL: &str = r#"
member = "n0"
site = "a"
client_listen = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8090"

[[siblings]]
member = "n1"
site = "b"
peer_addr = "127.0.0.1:8091"

[endpoints]
cloud = "127.0.0.1:8070"
state = "127.0.0.1:8071"

[cluster]
size = 3
zones = ["a", "b"]
clock_error_ms = 250.0

[[cluster.teams]]
name = "books"
cpus = 32.0
cpus_max = 64.0
gpus = 2.0
gpus_max = 4.0

[[cluster.objectives]]
kind = "deadline"
class = "merge"
within_s = 30.0
share = 0.95
times = 1.5

[cluster.workers]
report_s = 2.0
lease_s = 14.0
cancel_s = 44.0

[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48

[cluster.state.next]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 24

[cluster.cloud]
rps = 4.0
list_lag_s = 5.0

[cluster.quota]
cpu_share = 0.5
mem_mb = 72.0
max_connections = 500
"#;

/// A settings file with only the required keys, and an unknown key.
const MINIMAL: &str = r#"
colour = "red"
member = "n0"
site = "a"
client_listen = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8090"
endpoints = { cloud = "127.0.0.1:8070", state = "127.0.0.1:8071" }

[cluster]
size = 3
zones = ["a", "b"]
clock_error_ms = 250.0
workers = { report_s = 2.0, lease_s = 14.0, cancel_s = 44.0 }
state = { rps = 200.0, write_rps = 80.0, value_kb = 16.0, txn_ops = 48 }
cloud = { rps = 4.0, list_lag_s = 5.0 }
quota = { cpu_share = 0.5, mem_mb = 72.0, max_connections = 500 }
"#;

fn full_settings() -> PlatformSettings {
    PlatformSettings {
        member: "n0".into(),
        zone: "a".into(),
        client_listen: "127.0.0.1:8080".into(),
        peer_listen: "127.0.0.1:8090".into(),
        peers: vec![Peer {
            member: "n1".into(),
            zone: "b".into(),
            peer_addr: "127.0.0.1:8091".into(),
        }],
        endpoints: Endpoints {
            cloud: "127.0.0.1:8070".into(),
            store: "127.0.0.1:8071".into(),
        },
        cluster: Cluster {
            size: 3,
            zones: vec!["a".into(), "b".into()],
            clock_error_ms: 250.0,
            teams: vec![Team {
                name: "books".into(),
                cpus: 32.0,
                cpus_max: 64.0,
                gpus: 2.0,
                gpus_max: 4.0,
            }],
            objectives: vec![Objective {
                kind: "deadline".into(),
                class: Some("merge".into()),
                within_s: Some(30.0),
                share: Some(0.95),
                max_multiple: Some(1.5),
            }],
            workers: WorkerTimings {
                heartbeat_interval_s: 2.0,
                lease_s: 14.0,
                cancel_s: 44.0,
            },
            store: StoreLimits {
                rps: 200.0,
                write_rps: 80.0,
                value_kb: 16.0,
                txn_ops: 48,
                next: UpcomingLimits {
                    rps: Some(100.0),
                    write_rps: Some(40.0),
                    value_kb: Some(8.0),
                    txn_ops: Some(24),
                },
            },
            cloud: CloudLimits {
                rps: 4.0,
                list_lag_s: 5.0,
            },
            quota: Quota {
                cpu_share: 0.5,
                mem_mb: 72.0,
                max_connections: 500,
            },
        },
    }
}

fn minimal_settings() -> PlatformSettings {
    let mut settings = full_settings();
    settings.peers = Vec::new();
    settings.cluster.teams = Vec::new();
    settings.cluster.objectives = Vec::new();
    settings.cluster.store.next = UpcomingLimits {
        rps: None,
        write_rps: None,
        value_kb: None,
        txn_ops: None,
    };
    settings
}

#[test]
fn full_settings_file_is_parsed() {
    assert_eq!(PlatformSettings::parse(FULL), Ok(full_settings()));
}

#[test]
fn missing_optional_keys_have_defaults() {
    assert_eq!(PlatformSettings::parse(MINIMAL), Ok(minimal_settings()));
}

#[test]
fn optional_keys_of_team_and_objective_have_defaults() {
    let text = format!(
        "{MINIMAL}\n[[cluster.teams]]\nname = \"t\"\n[[cluster.objectives]]\nkind = \"k\"\n"
    );
    let mut expected = minimal_settings();
    expected.cluster.teams = vec![Team {
        name: "t".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    }];
    expected.cluster.objectives = vec![Objective {
        kind: "k".into(),
        class: None,
        within_s: None,
        share: None,
        max_multiple: None,
    }];
    assert_eq!(PlatformSettings::parse(&text), Ok(expected));
}

#[test]
fn missing_required_key_is_named_in_error() {
    for key in [
        "member",
        "site",
        "client_listen",
        "mesh_addr",
        "cloud",
        "state",
        "size",
        "zones",
        "clock_error_ms",
        "report_s",
        "lease_s",
        "cancel_s",
        "rps",
        "write_rps",
        "value_kb",
        "txn_ops",
        "list_lag_s",
        "cpu_share",
        "mem_mb",
        "max_connections",
    ] {
        let without = FULL.replacen(&format!("\n{key} = "), "\nother = ", 1);
        let error = PlatformSettings::parse(&without)
            .expect_err(key)
            .to_string();
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
}

/// Operators read these messages. They begin with the invalid key.
#[test]
fn settings_error_messages_are_unchanged() {
    let assert_rejected = |from: &str, to: &str, message: &str| {
        let text = FULL.replacen(from, to, 1);
        assert_ne!(text, FULL, "{from}");
        let error = PlatformSettings::parse(&text).map_err(|e| e.to_string());
        assert_eq!(error, Err(message.to_string()));
    };
    assert_rejected(
        "report_s = 2.0",
        "report_s = 0.0",
        "cluster.workers.report_s: must be from 0.01 to 3600, is 0",
    );
    assert_rejected(
        "lease_s = 14.0",
        "lease_s = nan",
        "cluster.workers.lease_s: must be from 0.1 to 86400, is NaN",
    );
    assert_rejected(
        "clock_error_ms = 250.0",
        "clock_error_ms = -1.5",
        "cluster.clock_error_ms: must be from 0 to 3600000, is -1.5",
    );
    assert_rejected(
        "mem_mb = 72.0",
        "mem_mb = inf",
        "cluster.quota.mem_mb: must be from 8 to 1000000000, is inf",
    );
    assert_rejected(
        "rps = 100.0",
        "rps = 0.5",
        "cluster.state.next.rps: must be from 1 to 1000000000, is 0.5",
    );
    assert_rejected(
        "value_kb = 8.0",
        "value_kb = nan",
        "cluster.state.next.value_kb: must be from 1 to 1000000000, is NaN",
    );
    assert_rejected(
        "txn_ops = 48",
        "txn_ops = 7",
        "cluster.state.txn_ops: must be at least 8, is 7",
    );
    assert_rejected(
        "txn_ops = 24",
        "txn_ops = 7",
        "cluster.state.next.txn_ops: must be at least 8, is 7",
    );
    assert_rejected(
        "max_connections = 500",
        "max_connections = 31",
        "cluster.quota.max_connections: must be at least 32, is 31",
    );
    assert_rejected(
        "cancel_s = 44.0",
        "cancel_s = 14.0",
        "cluster.workers.cancel_s: must be above lease_s",
    );
    assert_rejected(
        "gpus_max = 4.0",
        "gpus_max = -4.0",
        "cluster.teams.books.gpus_max: must not be negative, is -4",
    );
    assert_rejected(
        "mesh_addr = \"127.0.0.1:8090\"",
        "mesh_addr = \"here\"",
        "mesh_addr: must be IP:PORT, is \"here\"",
    );
    assert_rejected(
        "peer_addr = \"127.0.0.1:8091\"",
        "peer_addr = \"127.0.0.1\"",
        "siblings.peer_addr: must be IP:PORT, is \"127.0.0.1\"",
    );
    assert_rejected(
        "size = 3",
        "size = -3",
        "TOML parse error at line 17, column 8 | 17 | size = -3 | ^^ invalid value: integer \
         `-3`, expected u32",
    );
}

/// The order of the checks is: numbers in the order of the file's sections, counts, teams,
/// addresses.
#[test]
fn first_of_several_errors_is_reported() {
    let mut text = FULL.to_string();
    for (right, wrong, key) in [
        (
            "peer_addr = \"127.0.0.1:8091\"",
            "peer_addr = \"x\"",
            "siblings.peer_addr",
        ),
        (
            "client_listen = \"127.0.0.1:8080\"",
            "client_listen = \"x\"",
            "client_listen",
        ),
        ("cpus = 32.0", "cpus = -1.0", "cluster.teams.books.cpus"),
        (
            "cancel_s = 44.0",
            "cancel_s = 1.0",
            "cluster.workers.cancel_s",
        ),
        (
            "max_connections = 500",
            "max_connections = 1",
            "cluster.quota.max_connections",
        ),
        ("txn_ops = 24", "txn_ops = 1", "cluster.state.next.txn_ops"),
        ("txn_ops = 48", "txn_ops = 1", "cluster.state.txn_ops"),
        (
            "write_rps = 40.0",
            "write_rps = 0.0",
            "cluster.state.next.write_rps",
        ),
        ("mem_mb = 72.0", "mem_mb = 1.0", "cluster.quota.mem_mb"),
        (
            "list_lag_s = 5.0",
            "list_lag_s = -1.0",
            "cluster.cloud.list_lag_s",
        ),
        (
            "write_rps = 80.0",
            "write_rps = 0.0",
            "cluster.state.write_rps",
        ),
        (
            "clock_error_ms = 250.0",
            "clock_error_ms = -1.0",
            "cluster.clock_error_ms",
        ),
        (
            "report_s = 2.0",
            "report_s = 0.0",
            "cluster.workers.report_s",
        ),
    ] {
        let before = text.clone();
        text = text.replacen(right, wrong, 1);
        assert_ne!(text, before, "{right}");
        let error = PlatformSettings::parse(&text).expect_err(key).to_string();
        assert!(error.starts_with(&format!("{key}: ")), "{key}: {error}");
    }
}
