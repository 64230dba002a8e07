//! What a controller's work costs on a large fleet, and how the cost grows:
//!
//! ```text
//! cargo run --release -p dillcleat-simulator --example grown -- growth
//! cargo run --release -p dillcleat-simulator --example grown -- waiting
//! cargo run --release -p dillcleat-simulator --example grown -- election
//! cargo run --release -p dillcleat-simulator --example grown -- herd
//! cargo run --release -p dillcleat-simulator --example grown -- day 30
//! ```
//!
//! Times are of the machine that it runs on: compare those of one run only.

use clap::{Args, Parser, Subcommand};
use dillcleat_controller::{Micros, SECOND, micros, seconds};
use dillcleat_simulator::{Fault, Fleet, Measured, Scenario, Setting, World};
use hdrhistogram::Histogram;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Parser)]
#[command(
    name = "grown",
    about = "What a controller's work costs on a large fleet"
)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// The cost of each kind of input as the fleet grows, work in proportion
    Growth {
        /// Machines, a run each
        #[arg(long, value_delimiter = ',', default_value = "250,1000,4000,10000")]
        machines: Vec<u32>,
        /// Waiting tasks for each machine
        #[arg(long, default_value_t = 10)]
        waiting: u32,
        #[command(flatten)]
        common: Common,
    },
    /// The same as only the waiting tasks grow
    Waiting {
        #[arg(long, default_value_t = 1000)]
        machines: u32,
        /// Waiting tasks, a run each
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,50000,200000")]
        tasks: Vec<u32>,
        #[command(flatten)]
        common: Common,
    },
    /// From a leader's election to its first launch, on a fleet that runs
    Election {
        #[arg(long, default_value_t = 10_000)]
        machines: u32,
        /// Requests a second that the state service takes
        #[arg(long, default_value_t = 500.0)]
        rps: f64,
        /// Changes a second that the state service takes
        #[arg(long, default_value_t = 200.0)]
        write_rps: f64,
        /// The part of a processor that the controller has
        #[arg(long, default_value_t = 0.27)]
        share: f64,
        /// Jobs that wait for another job
        #[arg(long, default_value_t = 0)]
        held: u32,
        #[command(flatten)]
        common: Common,
    },
    /// A whole fleet that reports at once, after a silence
    Herd {
        #[arg(long, default_value_t = 10_000)]
        machines: u32,
        /// Seconds for which no report is answered
        #[arg(long, default_value_t = 12.0)]
        silence: f64,
        /// The part of a processor that the controller has
        #[arg(long, default_value_t = 0.27)]
        share: f64,
        #[command(flatten)]
        common: Common,
    },
    /// A day of the rehearsal's whole world, so many times as large as usual
    Day { scale: u32 },
}

#[derive(Args)]
struct Common {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Tasks that fit on a machine
    #[arg(long, default_value_t = 10)]
    slots: u32,
    /// Seconds before anything is measured
    #[arg(long, default_value_t = 10.0)]
    warm_up: f64,
    /// Seconds that are measured
    #[arg(long, default_value_t = 20.0)]
    measured: f64,
}

impl Common {
    fn setting(&self, machines: u32) -> Setting {
        Setting {
            seed: self.seed,
            slots: self.slots,
            warm_up: micros(self.warm_up),
            measured: micros(self.measured),
            ..Setting::of(machines)
        }
    }
}

/// A run's figures by kind of input, and what the controller held at its end.
struct Run {
    size: u32,
    figures: BTreeMap<&'static str, Histogram<u64>>,
    longest_before: u64,
    measured: Measured,
    held: usize,
}

fn held() -> usize {
    let s = ALLOCATOR.stats();
    s.bytes_allocated.wrapping_sub(s.bytes_deallocated)
}

fn histogram(samples: &[u64]) -> Histogram<u64> {
    let mut h = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
    for s in samples {
        // Grows by itself.
        let _ = h.record(*s);
    }
    h
}

fn play(size: u32, setting: Setting) -> Run {
    let mut fleet = Fleet::new(setting);
    fleet.run();
    let before = held();
    drop(fleet.dismiss());
    let held = before.wrapping_sub(held());
    let measured = fleet.into_measured();
    Run {
        size,
        figures: measured
            .inputs
            .iter()
            .map(|(kind, samples)| (*kind, histogram(samples)))
            .collect(),
        longest_before: measured
            .before
            .values()
            .flatten()
            .copied()
            .max()
            .unwrap_or_default(),
        measured,
        held,
    }
}

fn micros_of(nanos: f64) -> String {
    format!("{:.1}", nanos / 1e3)
}

/// The exponent of a power law through two points.
fn exponent(sizes: (u32, u32), costs: (f64, f64)) -> f64 {
    (costs.1 / costs.0).ln() / (f64::from(sizes.1) / f64::from(sizes.0)).ln()
}

fn table(what: &str, runs: &[Run]) {
    let kinds: BTreeSet<&str> = runs
        .iter()
        .flat_map(|r| r.figures.keys().copied())
        .collect();
    let heads: Vec<String> = runs.iter().map(|r| format!("{} {what}", r.size)).collect();
    println!("\nMean time in us, p99 and longest in brackets:\n");
    println!("| input | {} | exponent |", heads.join(" | "));
    println!("|{}", " --- |".repeat(runs.len() + 2));
    for kind in kinds {
        let cells: Vec<String> = runs
            .iter()
            .map(|r| match r.figures.get(kind) {
                Some(h) => format!(
                    "{} ({}, {})",
                    micros_of(h.mean()),
                    micros_of(h.value_at_quantile(0.99) as f64),
                    micros_of(h.max() as f64)
                ),
                None => String::new(),
            })
            .collect();
        let ends = runs.first().zip(runs.last()).and_then(|(a, b)| {
            let costs = (a.figures.get(kind)?.mean(), b.figures.get(kind)?.mean());
            (a.size != b.size).then(|| exponent((a.size, b.size), costs))
        });
        let ends = ends.map_or(String::new(), |e| format!("{e:.2}"));
        println!("| {kind} | {} | {ends} |", cells.join(" | "));
    }
    println!(
        "\n| {what} | starts | ends | state calls a start | bytes written a start | refused (429) \
         | longest input, ms (before it was measured) | held, MB |"
    );
    println!("|{}", " --- |".repeat(8));
    for r in runs {
        let m = &r.measured;
        let starts = m.starts.max(1) as f64;
        let longest = r.figures.values().map(Histogram::max).max().unwrap_or(0);
        println!(
            "| {} | {} | {} | {:.2} | {:.0} | {} | {:.1} ({:.1}) | {:.1} |",
            r.size,
            m.starts,
            m.ends,
            m.state_calls as f64 / starts,
            m.state_bytes as f64 / starts,
            m.too_many,
            longest as f64 / 1e6,
            r.longest_before as f64 / 1e6,
            r.held as f64 / 1e6
        );
        if !m.malformed.is_empty() || m.leases_lost > 0 {
            println!(
                "{} malformed requests, {} leases lost",
                m.malformed.len(),
                m.leases_lost
            );
        }
    }
}

fn time(t: Option<Micros>) -> String {
    t.map_or("never".into(), |t| format!("{:.2} s", seconds(t)))
}

/// The figures of a single run in which the controller's work takes time.
fn account(run: &Run) {
    let m = &run.measured;
    println!(
        "from the election to the first launch: {}",
        time(m.first_launch)
    );
    println!(
        "from the election until every machine was answered: {}",
        time(m.all_heard)
    );
    println!(
        "leases lost for want of an answer: {}; the least left of one: {:.1} s",
        m.leases_lost,
        seconds(m.least_left)
    );
    table("machines", std::slice::from_ref(run));
}

fn main() -> ExitCode {
    match Cli::parse().what {
        What::Growth {
            machines,
            waiting,
            common,
        } => {
            let runs: Vec<Run> = machines
                .iter()
                .map(|n| {
                    let setting = Setting {
                        waiting: n * waiting,
                        ..common.setting(*n)
                    };
                    play(*n, setting)
                })
                .collect();
            table("machines", &runs);
        }
        What::Waiting {
            machines,
            tasks,
            common,
        } => {
            let runs: Vec<Run> = tasks
                .iter()
                .map(|n| {
                    let setting = Setting {
                        waiting: *n,
                        ..common.setting(machines)
                    };
                    play(*n, setting)
                })
                .collect();
            table("waiting tasks", &runs);
        }
        What::Election {
            machines,
            rps,
            write_rps,
            share,
            held,
            common,
        } => {
            let setting = Setting {
                held,
                state_rps: rps,
                state_write_rps: write_rps,
                cpu_share: Some(share),
                ..common.setting(machines)
            };
            account(&play(machines, setting));
        }
        What::Herd {
            machines,
            silence,
            share,
            common,
        } => {
            let setting = common.setting(machines);
            let from = setting.warm_up;
            account(&play(
                machines,
                Setting {
                    cpu_share: Some(share),
                    silence: Some((from, micros(silence))),
                    ..setting
                },
            ));
        }
        What::Day { scale } => day(scale),
    }
    ExitCode::SUCCESS
}

fn day(scale: u32) {
    let o = World::new(Scenario {
        // A leader's start on a full fleet is part of the work.
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
        busy: 100 * SECOND,
        end: 200 * SECOND,
        ..Scenario::quiet(4)
    })
    .run();
    println!("{} machines, {} starts", o.machines, o.starts);
    for (kind, (n, time)) in o.costs {
        let each = time.as_nanos() as f64 / 1e3 / n.max(1) as f64;
        println!("{kind:28} {n:>9} inputs {each:>9.1} us each, {time:>9.1?} in all");
    }
}
