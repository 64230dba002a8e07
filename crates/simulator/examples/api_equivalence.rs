//! What the door for Kubernetes-shaped clients takes: creates beside native
//! submissions, and watchers of many objects.
//! `cargo run --release -p dillcleat-simulator --example api_equivalence -- creates|watchers`.
//!
//! One controller alone with the stand-ins; the state service answers in 4 ms of
//! simulated time, and what the controller computes is measured in real time.

use clap::{Parser, Subcommand};
use dillcleat_controller::{Config, Input, MILLISECOND, Micros, RequestId, SECOND, Tuning};
use dillcleat_kube::record::{Kind, Name, ObjectState, Record};
use dillcleat_simulator::objects::rules_for;
use dillcleat_simulator::simulation::config;
use dillcleat_simulator::single_node::{Ev, SingleNode, WALL, ask};
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
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Creates a second and their times, natively and as objects
    Creates {
        /// Seconds of simulated time
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Submissions that clients make a second
        #[arg(long, default_value_t = 300)]
        offered: u64,
    },
    /// Watchers of many objects: memory, store calls, time of a change to all of them
    Watchers {
        #[arg(long, default_value_t = 1_000)]
        watchers: u64,
        #[arg(long, default_value_t = 10_000)]
        objects: u64,
        #[arg(long, default_value_t = 200)]
        changes: u64,
    },
}

fn held() -> usize {
    let s = GLOBAL.stats();
    s.bytes_allocated.saturating_sub(s.bytes_deallocated)
}

/// A controller of a deployment with these limits of the state service, alone.
fn deployment(rps: f64, write_rps: f64) -> Config {
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
        ..config(0, 1, 1)
    }
}

fn manifest(i: u64) -> Value {
    json!({"apiVersion": "batch/v1", "kind": "Job",
        "metadata": {"name": format!("job-{i}"), "labels": {"app": "merge"}},
        "spec": {"completions": 60, "parallelism": 60, "template": {"spec": {"restartPolicy": "Never",
            "containers": [{"name": "main", "image": "merge:7",
                "resources": {"requests": {"cpu": "1", "memory": "1G"}}}]}}}})
}

/// Hands in so many jobs a second; whoever is turned away comes back in a second.
fn creates(label: &str, config: Config, native: bool, seconds: u64, offered: u64) {
    let mut bench = SingleNode::new(
        config,
        rules_for(1_000_000, 10),
        SimulatedStore::new(16 * 1024, 48),
    );
    bench.until(10 * SECOND);
    let (start, calls) = (bench.now, bench.calls);
    bench.busy = Duration::ZERO;
    let mut first: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let (mut accepted, mut turned_away) = (0u64, 0u64);
    let hand_in = |bench: &mut SingleNode, i: u64, at: Micros| {
        let id = RequestId(i);
        let ev = if native {
            let mut spec = JobSpec::plain(&format!("req-{i}"), NativeKind::Batch, 60, 1.0);
            spec.class = "merge".into();
            spec.team = "free".into();
            spec.spot = false;
            let body = dillcleat_wire::encode(&spec);
            let (method, target) = ("POST".into(), JOBS_PATH.into());
            Ev::Input(Input::Request {
                id,
                method,
                target,
                body,
            })
        } else {
            let target = "/apis/batch/v1/namespaces/free/jobs";
            Ev::Ask(id, ask("POST", target, &manifest(i)))
        };
        bench.at(at, ev);
    };
    for i in 0..seconds * offered {
        let at = start + i * SECOND / offered;
        first.insert(i, at);
        hand_in(&mut bench, i, at);
    }
    let end = start + seconds * SECOND;
    while bench.now < end {
        let next = bench.now + 10 * MILLISECOND;
        bench.until(next);
        for (id, reply) in std::mem::take(&mut bench.answers) {
            if reply.status == 201 {
                accepted += 1;
                let began = first.get(&id.0).copied().unwrap_or(next);
                let _ = times.record(next - began);
            } else {
                turned_away += 1;
                hand_in(&mut bench, id.0, next + SECOND);
            }
        }
    }
    let per = |n: u64| n as f64 / seconds as f64;
    println!(
        "| {label} | {} | {:.1} | {:.1} | {} | {} | {:.2} | {:.0} |",
        if native { "native" } else { "objects" },
        per(accepted),
        per(turned_away),
        times.value_at_quantile(0.5) / 1000,
        times.value_at_quantile(0.99) / 1000,
        (bench.calls - calls) as f64 / accepted.max(1) as f64,
        bench.busy.as_micros() as f64 / (accepted + turned_away).max(1) as f64,
    );
}

fn watchers(watchers: u64, objects: u64, changes: u64) {
    let mut state = SimulatedStore::new(16 * 1024, 48);
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
            created: WALL,
            generation: 1,
            labels: BTreeMap::from([("app".to_string(), "merge".to_string())]),
            annotations: BTreeMap::new(),
            spec: manifest["spec"].clone(),
            // Suspended: what they would run is not what is measured.
            state: ObjectState::default(),
        };
        let name = Name {
            kind: Kind::Job,
            namespace: "free".into(),
            name: format!("job-{i}"),
        };
        state.put(name.key(), &record);
    }
    let before = held();
    let rules = rules_for(objects as usize + 1, watchers as usize);
    let mut bench = SingleNode::new(deployment(500.0, 200.0), rules, state);
    bench.until(10 * SECOND);
    let (known, _) = bench
        .controller
        .api_server
        .as_ref()
        .map_or((0, 0), |d| d.object_and_watch_counts());
    println!("{known} objects: {:.1} MB", (held() - before) as f64 / 1e6);
    let before = held();
    let version = bench
        .controller
        .api_server
        .as_ref()
        .and_then(|d| d.cache().revision());
    for i in 0..watchers {
        let query = format!("watch=true&resourceVersion={}", version.unwrap_or(0));
        let target = format!("/apis/batch/v1/jobs?{query}");
        let ask = ask("GET", &target, &Value::Null);
        bench.at(bench.now, Ev::Ask(RequestId(1_000_000 + i), ask));
    }
    bench.until(bench.now + SECOND);
    let (_, watching) = bench
        .controller
        .api_server
        .as_ref()
        .map_or((0, 0), |d| d.object_and_watch_counts());
    println!(
        "{watching} watchers: {:.2} MB",
        (held() - before) as f64 / 1e6
    );
    let idle = bench.calls;
    bench.until(bench.now + 10 * SECOND);
    println!(
        "store calls a second with nothing to tell: {:.1}",
        (bench.calls - idle) as f64 / 10.0
    );
    let mut busy = Histogram::<u64>::new(3).expect("a histogram");
    let (calls, told) = (bench.calls, bench.chunks);
    let begun = bench.now;
    for i in 0..changes {
        let target = format!(
            "/apis/batch/v1/namespaces/free/jobs/job-{}",
            i * 37 % objects
        );
        let body = json!({"metadata": {"labels": {"turn": i.to_string()}}});
        bench.at(
            bench.now,
            Ev::Ask(RequestId(i), ask("PATCH", &target, &body)),
        );
        bench.busy = Duration::ZERO;
        bench.until(bench.now + 50 * MILLISECOND);
        let _ = busy.record(bench.busy.as_micros() as u64);
    }
    let mut answers = bench.answers.iter();
    if let Some((_, reply)) = answers.find(|(_, reply)| reply.status != 200) {
        println!("refused: {}", String::from_utf8_lossy(&reply.body));
    }
    let spent = (bench.now - begun) as f64 / 1e6;
    println!(
        "{changes} changes in {spent:.0} s: {} lines told, {:.1} store calls a change",
        bench.chunks - told,
        (bench.calls - calls) as f64 / changes as f64,
    );
    println!(
        "from the request to the line of the last watcher, of the controller's own time: p50 {} us, p99 {} us",
        busy.value_at_quantile(0.5),
        busy.value_at_quantile(0.99),
    );
}

fn main() {
    match Args::parse().what {
        What::Creates { seconds, offered } => {
            println!(
                "| deployment | form | accepted a second | turned away a second | p50, ms | p99, ms | store calls a create | own time a request, us |"
            );
            println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
            for (label, rps, writes) in [("small", 200.0, 80.0), ("fleet", 500.0, 200.0)] {
                for native in [true, false] {
                    creates(label, deployment(rps, writes), native, seconds, offered);
                }
            }
        }
        What::Watchers {
            watchers: n,
            objects,
            changes,
        } => watchers(n, objects, changes),
    }
}
