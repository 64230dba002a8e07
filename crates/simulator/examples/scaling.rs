//! Measures the processing time of a controller with a large fleet, and how it grows:
//!
//! ```text
//! cargo run --release -p dillcleat-simulator --example scaling -- growth
//! cargo run --release -p dillcleat-simulator --example scaling -- waiting
//! cargo run --release -p dillcleat-simulator --example scaling -- election
//! cargo run --release -p dillcleat-simulator --example scaling -- herd
//! cargo run --release -p dillcleat-simulator --example scaling -- day 30
//! ```
//!
//! Times depend on the machine that runs the example: compare only times of one run.

use clap::{Args, Parser, Subcommand};
use dillcleat_controller::{Micros, SECOND, micros, seconds};
use dillcleat_simulator::{Fault, Fleet, FleetMeasurements, FleetSettings, Scenario, Simulation};
use hdrhistogram::Histogram;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Parser)]
#[command(
    name = "scaling",
    about = "Measures the processing time of a controller with a large fleet"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Cost of each kind of input as the fleet and its work grow in proportion
    Growth {
        /// Numbers of machines, one run for each
        #[arg(long, value_delimiter = ',', default_value = "250,1000,4000,10000")]
        machines: Vec<u32>,
        /// Waiting tasks for each machine
        #[arg(long, default_value_t = 10)]
        waiting: u32,
        #[command(flatten)]
        common: Common,
    },
    /// Cost of each kind of input as only the waiting tasks grow
    Waiting {
        #[arg(long, default_value_t = 1000)]
        machines: u32,
        /// Numbers of waiting tasks, one run for each
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,50000,200000")]
        tasks: Vec<u32>,
        #[command(flatten)]
        common: Common,
    },
    /// Time from a leader's election to its first launch, with a running fleet
    Election {
        #[arg(long, default_value_t = 10_000)]
        machines: u32,
        /// Requests per second that the store accepts
        #[arg(long, default_value_t = 500.0)]
        rps: f64,
        /// Writes per second that the store accepts
        #[arg(long, default_value_t = 200.0)]
        write_rps: f64,
        /// Share of a CPU that the controller has
        #[arg(long, default_value_t = 0.27)]
        share: f64,
        /// Jobs that wait for another job
        #[arg(long, default_value_t = 0)]
        held: u32,
        #[command(flatten)]
        common: Common,
    },
    /// Cost of simultaneous heartbeats of the whole fleet after a network outage
    Herd {
        #[arg(long, default_value_t = 10_000)]
        machines: u32,
        /// Duration of the outage in seconds, in which heartbeats and commands are lost
        #[arg(long, default_value_t = 12.0)]
        silence: f64,
        /// Share of a CPU that the controller has
        #[arg(long, default_value_t = 0.27)]
        share: f64,
        #[command(flatten)]
        common: Common,
    },
    /// Runs the complete simulation with a fleet larger by the given factor
    #[command(name = "day")]
    Simulation { scale: u32 },
}

#[derive(Args)]
struct Common {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Tasks that fit on a machine
    #[arg(long, default_value_t = 10)]
    slots: u32,
    /// Seconds of simulated time before the measurement
    #[arg(long, default_value_t = 10.0)]
    warm_up: f64,
    /// Seconds of simulated time that are measured
    #[arg(long, default_value_t = 20.0)]
    measured: f64,
}

impl Common {
    fn settings(&self, machines: u32) -> FleetSettings {
        FleetSettings {
            seed: self.seed,
            tasks_per_machine: self.slots,
            warm_up: micros(self.warm_up),
            measurement: micros(self.measured),
            ..FleetSettings::for_machines(machines)
        }
    }
}

/// The measurements of a run.
struct Run {
    size: u32,
    /// Processing times in nanoseconds, by kind of input.
    input_times: BTreeMap<&'static str, Histogram<u64>>,
    /// The longest processing time before the measurement, in nanoseconds.
    longest_before: u64,
    measured: FleetMeasurements,
    /// Memory that the controller used at the end of the run.
    node_bytes: usize,
}

fn allocated_bytes() -> usize {
    let s = ALLOCATOR.stats();
    s.bytes_allocated.wrapping_sub(s.bytes_deallocated)
}

fn histogram(samples: &[u64]) -> Histogram<u64> {
    let mut h = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
    for s in samples {
        // The histogram resizes itself, so recording does not fail.
        let _ = h.record(*s);
    }
    h
}

fn run(size: u32, settings: FleetSettings) -> Run {
    let mut fleet = Fleet::new(settings);
    fleet.run();
    let before = allocated_bytes();
    drop(fleet.take_node());
    let node_bytes = before.wrapping_sub(allocated_bytes());
    let measured = fleet.into_measurements();
    Run {
        size,
        input_times: measured
            .inputs
            .iter()
            .map(|(kind, samples)| (*kind, histogram(samples)))
            .collect(),
        longest_before: measured
            .warm_up_inputs
            .values()
            .flatten()
            .copied()
            .max()
            .unwrap_or_default(),
        measured,
        node_bytes,
    }
}

fn micros_of(nanos: f64) -> String {
    format!("{:.1}", nanos / 1e3)
}

/// The exponent of a power law through two points.
fn exponent(sizes: (u32, u32), costs: (f64, f64)) -> f64 {
    (costs.1 / costs.0).ln() / (f64::from(sizes.1) / f64::from(sizes.0)).ln()
}

fn print_table(size_name: &str, runs: &[Run]) {
    let kinds: BTreeSet<&str> = runs
        .iter()
        .flat_map(|r| r.input_times.keys().copied())
        .collect();
    let heads: Vec<String> = runs
        .iter()
        .map(|r| format!("{} {size_name}", r.size))
        .collect();
    println!("\nMean time in us, p99 and longest in brackets:\n");
    println!("| input | {} | exponent |", heads.join(" | "));
    println!("|{}", " --- |".repeat(runs.len() + 2));
    for kind in kinds {
        let cells: Vec<String> = runs
            .iter()
            .map(|r| match r.input_times.get(kind) {
                Some(h) => format!(
                    "{} ({}, {})",
                    micros_of(h.mean()),
                    micros_of(h.value_at_quantile(0.99) as f64),
                    micros_of(h.max() as f64)
                ),
                None => String::new(),
            })
            .collect();
        let growth = runs.first().zip(runs.last()).and_then(|(a, b)| {
            let mean_times = (
                a.input_times.get(kind)?.mean(),
                b.input_times.get(kind)?.mean(),
            );
            (a.size != b.size).then(|| exponent((a.size, b.size), mean_times))
        });
        let growth = growth.map_or(String::new(), |e| format!("{e:.2}"));
        println!("| {kind} | {} | {growth} |", cells.join(" | "));
    }
    println!(
        "\n| {size_name} | launches | completions | store calls per launch | bytes written per launch \
         | refused (429) | longest input, ms (before it was measured) | held, MB |"
    );
    println!("|{}", " --- |".repeat(8));
    for r in runs {
        let m = &r.measured;
        let launches = m.launches.max(1) as f64;
        let longest = r
            .input_times
            .values()
            .map(Histogram::max)
            .max()
            .unwrap_or(0);
        println!(
            "| {} | {} | {} | {:.2} | {:.0} | {} | {:.1} ({:.1}) | {:.1} |",
            r.size,
            m.launches,
            m.completions,
            m.store_calls as f64 / launches,
            m.transaction_bytes as f64 / launches,
            m.rate_limited_calls,
            longest as f64 / 1e6,
            r.longest_before as f64 / 1e6,
            r.node_bytes as f64 / 1e6
        );
        if !m.protocol_errors.is_empty() || m.expired_leases > 0 {
            println!(
                "{} malformed requests, {} leases expired",
                m.protocol_errors.len(),
                m.expired_leases
            );
        }
    }
}

/// Prints the messages between workers and the controller, and the writes to the store.
fn print_messages(runs: &[Run], measured_s: f64) {
    println!(
        "\n| machines | heartbeats a second | tasks listed, mean (maximum) | bytes, mean (maximum) \
         | command batches a second | refused with 409, a second | stored changes a second |"
    );
    println!("|{}", " --- |".repeat(7));
    for run in runs {
        let messages = &run.measured.messages;
        let heartbeats = messages.heartbeats.max(1) as f64;
        println!(
            "| {} | {:.0} | {:.2} ({}) | {:.0} ({}) | {:.1} | {:.2} | {:.1} |",
            run.size,
            messages.heartbeats as f64 / measured_s,
            messages.listed_tasks as f64 / heartbeats,
            messages.max_listed_tasks,
            messages.heartbeat_bytes as f64 / heartbeats,
            messages.max_heartbeat_bytes,
            messages.command_batches as f64 / measured_s,
            messages.refused_batches as f64 / measured_s,
            messages.stored_mutations as f64 / measured_s,
        );
    }
}

fn time(t: Option<Micros>) -> String {
    t.map_or("never".into(), |t| format!("{:.2} s", seconds(t)))
}

/// Prints a single run in which the controller's work takes simulated time.
fn print_timed_run(run: &Run) {
    let m = &run.measured;
    println!(
        "from the election to the first launch: {}",
        time(m.first_launch)
    );
    println!(
        "from the election until every machine was answered: {}",
        time(m.all_machines_answered)
    );
    println!(
        "leases expired: {}; minimum remaining time: {:.1} s",
        m.expired_leases,
        seconds(m.min_lease_remaining)
    );
    print_table("machines", std::slice::from_ref(run));
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Growth {
            machines,
            waiting,
            common,
        } => {
            let runs: Vec<Run> = machines
                .iter()
                .map(|n| {
                    let settings = FleetSettings {
                        waiting_tasks: n * waiting,
                        ..common.settings(*n)
                    };
                    run(*n, settings)
                })
                .collect();
            print_table("machines", &runs);
            print_messages(&runs, common.measured);
        }
        Command::Waiting {
            machines,
            tasks,
            common,
        } => {
            let runs: Vec<Run> = tasks
                .iter()
                .map(|n| {
                    let settings = FleetSettings {
                        waiting_tasks: *n,
                        ..common.settings(machines)
                    };
                    run(*n, settings)
                })
                .collect();
            print_table("waiting tasks", &runs);
        }
        Command::Election {
            machines,
            rps,
            write_rps,
            share,
            held,
            common,
        } => {
            let settings = FleetSettings {
                blocked_jobs: held,
                store_rps: rps,
                store_write_rps: write_rps,
                cpu_share: Some(share),
                ..common.settings(machines)
            };
            print_timed_run(&run(machines, settings));
        }
        Command::Herd {
            machines,
            silence,
            share,
            common,
        } => {
            let settings = common.settings(machines);
            let from = settings.warm_up;
            print_timed_run(&run(
                machines,
                FleetSettings {
                    cpu_share: Some(share),
                    network_outage: Some((from, micros(silence))),
                    ..settings
                },
            ));
        }
        Command::Simulation { scale } => run_simulation(scale),
    }
    ExitCode::SUCCESS
}

fn run_simulation(scale: u32) {
    let o = Simulation::new(Scenario {
        // After all nodes have crashed, a new leader starts with a full fleet.
        faults: vec![(
            60 * SECOND,
            Fault::Crash {
                nodes: (0..5).collect(),
                down: 3 * SECOND,
            },
        )],
        jobs: 40,
        nodes: 5,
        scale,
        activity_end: 100 * SECOND,
        end: 200 * SECOND,
        ..Scenario::quiet(4)
    })
    .run();
    println!("{} machines, {} starts", o.peak_machines, o.starts);
    for (kind, (n, time)) in o.input_times {
        let each = time.as_nanos() as f64 / 1e3 / n.max(1) as f64;
        println!("{kind:28} {n:>9} inputs {each:>9.1} us each, {time:>9.1?} in all");
    }
}
