//! Simulates a fleet of thousands of machines with faults that affect all of them at once:
//!
//! ```text
//! cargo run --release -p dillcleat-simulator --example large_fleet -- --scale 150
//! ```
//!
//! Exits with an error if a rule is violated, jobs remain unfinished or a controller
//! exceeds its memory limit.

use clap::Parser;
use dillcleat_simulator::{Outcome, Scenario, Simulation};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Three quarters of a controller's memory limit in the largest deployment.
const MAX_NODE_BYTES: usize = 188_000_000 / 4 * 3;

#[derive(Parser)]
#[command(
    name = "large_fleet",
    about = "Simulates a fleet of thousands of machines"
)]
struct Cli {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Factor for the sizes of jobs and of the cloud, which offers 48 machines per unit
    #[arg(long, default_value_t = 150)]
    scale: u32,
}

fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated)
}

fn print(outcome: &Outcome) {
    println!("machines up, maximum: {}", outcome.peak_machines);
    println!("starts: {}", outcome.starts);
    println!("jobs accepted: {}", outcome.accepted);
    println!("leaders elected: {}", outcome.leaders_elected);
    println!(
        "tasks interrupted by the loss of their machine: {}",
        outcome.interrupted_tasks
    );
    println!("calls to the store: {}", outcome.store_calls);
    let megabytes = outcome.peak_node_bytes as f64 / 1e6;
    println!("held by a controller when it stopped, maximum: {megabytes:.1} MB");
    println!("rules broken: {:?}", outcome.violations);
    println!("requests over a limit: {:?}", outcome.protocol_errors);
    println!("jobs unfinished: {:?}", outcome.unfinished);
    println!("keys left behind: {}", outcome.leftover_keys.len());
    println!("indexes that differ from a rebuild: {:?}", outcome.stale);
    println!("starved: {:?}", outcome.service_shares.below_minimum());
    println!("\n{}", outcome.service_shares);
    for (kind, (count, time)) in &outcome.input_times {
        let each = time.as_nanos() as f64 / 1e3 / (*count).max(1) as f64;
        println!("{kind:28} {count:>9} inputs {each:>9.1} us each");
    }
}

fn is_clean(outcome: &Outcome) -> bool {
    outcome.violations.is_empty()
        && outcome.protocol_errors.is_empty()
        && outcome.unfinished.is_empty()
        && outcome.leftover_keys.is_empty()
        && outcome.stale.is_empty()
        && outcome.peak_node_bytes <= MAX_NODE_BYTES
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let started = Instant::now();
    let outcome = Simulation::new(Scenario {
        allocated_bytes: Some(allocated),
        ..Scenario::large_fleet(cli.seed, cli.scale)
    })
    .run();
    print(&outcome);
    println!("played in {:.0?}", started.elapsed());
    match is_clean(&outcome) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
