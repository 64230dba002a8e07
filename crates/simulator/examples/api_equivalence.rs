//! Measures the Kubernetes API: creations compared with native submissions, and watches of
//! many objects.
//! `cargo run --release -p dillcleat-simulator --example api_equivalence -- creates|watchers`.
//!
//! A single controller runs with simulated services. The store answers in 4 ms of simulated
//! time; the processing time of the controller is measured in real time.

use clap::{Parser, Subcommand};
use dillcleat_controller::{Config, Input, MILLISECOND, Micros, RequestId, SECOND, Tuning};
use dillcleat_kube::record::{Kind, Name, ObjectState, Record};
use dillcleat_simulator::objects::api_server_config_with_limits;
use dillcleat_simulator::simulation::base_config;
use dillcleat_simulator::single_node::{Event, SingleNode, WALL_CLOCK_START, api_request};
use dillcleat_simulator::store::SimulatedStore;
use dillcleat_wire::user::{JOBS_PATH, JobKind as NativeKind, JobSpec};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::collections::BTreeMap;
use std::time::Duration;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Rate and time of creations through the native API and through the Kubernetes API
    Creates {
        /// Seconds of simulated time
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Submissions that clients send per second
        #[arg(long, default_value_t = 300)]
        offered: u64,
    },
    /// Watches of many objects: memory, store calls, and time to send a change to all of them
    Watchers {
        #[arg(long, default_value_t = 1_000)]
        watchers: u64,
        #[arg(long, default_value_t = 10_000)]
        objects: u64,
        #[arg(long, default_value_t = 200)]
        changes: u64,
    },
}

fn allocated_bytes() -> usize {
    let s = GLOBAL.stats();
    s.bytes_allocated.saturating_sub(s.bytes_deallocated)
}

/// The configuration of a single controller with the given limits of the store.
fn single_node_config(rps: f64, write_rps: f64) -> Config {
    Config {
        zone: "a".into(),
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        store_rps: rps,
        store_write_rps: write_rps,
        max_value_bytes: 16 * 1024,
        max_txn_ops: 48,
        memory_mb: 188.0,
        tuning: Tuning::default(),
        ..base_config(0, 1, 1)
    }
}

fn manifest(i: u64) -> Value {
    json!({"apiVersion": "batch/v1", "kind": "Job",
        "metadata": {"name": format!("job-{i}"), "labels": {"app": "merge"}},
        "spec": {"completions": 60, "parallelism": 60, "template": {"spec": {"restartPolicy": "Never",
            "containers": [{"name": "main", "image": "merge:7",
                "resources": {"requests": {"cpu": "1", "memory": "1G"}}}]}}}})
}

/// Submits `offered` jobs per second. A rejected submission is repeated after a second.
fn measure_creates(label: &str, config: Config, native: bool, seconds: u64, offered: u64) {
    let mut node = SingleNode::new(
        config,
        api_server_config_with_limits(1_000_000, 10),
        SimulatedStore::new(16 * 1024, 48),
    );
    node.run_until(10 * SECOND);
    let (start, calls) = (node.now, node.calls);
    node.processing_time = Duration::ZERO;
    let mut first_sent_at: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let (mut accepted, mut rejected) = (0u64, 0u64);
    let submit = |node: &mut SingleNode, i: u64, at: Micros| {
        let id = RequestId(i);
        let ev = if native {
            let mut spec = JobSpec::plain(&format!("req-{i}"), NativeKind::Batch, 60, 1.0);
            spec.class = "merge".into();
            spec.team = "free".into();
            spec.spot = false;
            let body = dillcleat_wire::encode(&spec);
            let (method, target) = ("POST".into(), JOBS_PATH.into());
            Event::Input(Input::Request {
                id,
                method,
                target,
                body,
            })
        } else {
            let target = "/apis/batch/v1/namespaces/free/jobs";
            Event::ApiRequest(id, api_request("POST", target, &manifest(i)))
        };
        node.schedule(at, ev);
    };
    for i in 0..seconds * offered {
        let at = start + i * SECOND / offered;
        first_sent_at.insert(i, at);
        submit(&mut node, i, at);
    }
    let end = start + seconds * SECOND;
    while node.now < end {
        let next = node.now + 10 * MILLISECOND;
        node.run_until(next);
        for (id, reply) in std::mem::take(&mut node.answers) {
            if reply.status == 201 {
                accepted += 1;
                let sent_at = first_sent_at.get(&id.0).copied().unwrap_or(next);
                let _ = times.record(next - sent_at);
            } else {
                rejected += 1;
                submit(&mut node, id.0, next + SECOND);
            }
        }
    }
    let per_second = |n: u64| n as f64 / seconds as f64;
    println!(
        "| {label} | {} | {:.1} | {:.1} | {} | {} | {:.2} | {:.0} |",
        if native { "native" } else { "objects" },
        per_second(accepted),
        per_second(rejected),
        times.value_at_quantile(0.5) / 1000,
        times.value_at_quantile(0.99) / 1000,
        (node.calls - calls) as f64 / accepted.max(1) as f64,
        node.processing_time.as_micros() as f64 / (accepted + rejected).max(1) as f64,
    );
}

fn measure_watchers(watchers: u64, objects: u64, changes: u64) {
    let mut store = SimulatedStore::new(16 * 1024, 48);
    for i in 0..objects {
        let mut manifest = manifest(i);
        for (key, value) in [
            ("completionMode", json!("NonIndexed")),
            ("backoffLimit", json!(6)),
            ("suspend", json!(true)),
        ] {
            manifest["spec"][key] = value;
        }
        let record = Record {
            uid: format!("{i:08}-0000-8000-8000-000000000000"),
            run: 1,
            created: WALL_CLOCK_START,
            generation: 1,
            labels: BTreeMap::from([("app".to_string(), "merge".to_string())]),
            annotations: BTreeMap::new(),
            spec: manifest["spec"].clone(),
            // The Jobs are suspended, because running them is not part of the measurement.
            state: ObjectState::default(),
        };
        let name = Name {
            kind: Kind::Job,
            namespace: "free".into(),
            name: format!("job-{i}"),
        };
        store.put(name.key(), &record);
    }
    let before = allocated_bytes();
    let api_server = api_server_config_with_limits(objects as usize + 1, watchers as usize);
    let mut node = SingleNode::new(single_node_config(500.0, 200.0), api_server, store);
    node.run_until(10 * SECOND);
    let (cached_objects, _) = node
        .controller
        .api_server
        .as_ref()
        .map_or((0, 0), |d| d.object_and_watch_counts());
    println!(
        "{cached_objects} objects: {:.1} MB",
        (allocated_bytes() - before) as f64 / 1e6
    );
    let before = allocated_bytes();
    let version = node
        .controller
        .api_server
        .as_ref()
        .and_then(|d| d.cache().revision());
    for i in 0..watchers {
        let query = format!("watch=true&resourceVersion={}", version.unwrap_or(0));
        let target = format!("/apis/batch/v1/jobs?{query}");
        let request = api_request("GET", &target, &Value::Null);
        node.schedule(
            node.now,
            Event::ApiRequest(RequestId(1_000_000 + i), request),
        );
    }
    node.run_until(node.now + SECOND);
    let (_, open_watches) = node
        .controller
        .api_server
        .as_ref()
        .map_or((0, 0), |d| d.object_and_watch_counts());
    println!(
        "{open_watches} watchers: {:.2} MB",
        (allocated_bytes() - before) as f64 / 1e6
    );
    let idle = node.calls;
    node.run_until(node.now + 10 * SECOND);
    println!(
        "store calls a second while idle: {:.1}",
        (node.calls - idle) as f64 / 10.0
    );
    let mut busy = Histogram::<u64>::new(3).expect("a histogram");
    let (calls, lines) = (node.calls, node.chunks);
    let started = node.now;
    for i in 0..changes {
        let target = format!(
            "/apis/batch/v1/namespaces/free/jobs/job-{}",
            i * 37 % objects
        );
        let body = json!({"metadata": {"labels": {"turn": i.to_string()}}});
        node.schedule(
            node.now,
            Event::ApiRequest(RequestId(i), api_request("PATCH", &target, &body)),
        );
        node.processing_time = Duration::ZERO;
        node.run_until(node.now + 50 * MILLISECOND);
        let _ = busy.record(node.processing_time.as_micros() as u64);
    }
    let mut answers = node.answers.iter();
    if let Some((_, reply)) = answers.find(|(_, reply)| reply.status != 200) {
        println!("refused: {}", String::from_utf8_lossy(&reply.body));
    }
    let spent = (node.now - started) as f64 / 1e6;
    println!(
        "{changes} changes in {spent:.0} s: {} lines sent, {:.1} store calls a change",
        node.chunks - lines,
        (node.calls - calls) as f64 / changes as f64,
    );
    println!(
        "from the request to the line of the last watcher, processing time of the controller: p50 {} us, p99 {} us",
        busy.value_at_quantile(0.5),
        busy.value_at_quantile(0.99),
    );
}

fn main() {
    match Args::parse().command {
        Command::Creates { seconds, offered } => {
            println!(
                "| deployment | form | accepted a second | rejected a second | p50, ms | p99, ms | store calls a create | processing time a request, us |"
            );
            println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
            for (label, rps, writes) in [("small", 200.0, 80.0), ("fleet", 500.0, 200.0)] {
                for native in [true, false] {
                    measure_creates(
                        label,
                        single_node_config(rps, writes),
                        native,
                        seconds,
                        offered,
                    );
                }
            }
        }
        Command::Watchers {
            watchers: n,
            objects,
            changes,
        } => measure_watchers(n, objects, changes),
    }
}
