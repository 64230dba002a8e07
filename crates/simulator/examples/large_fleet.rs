//! A day of a fleet of thousands of machines, with the troubles that befall all of them
//! at once:
//!
//! ```text
//! cargo run --release -p dillcleat-simulator --example large_fleet -- --scale 150
//! ```
//!
//! Ends with an error if a rule is broken, work is left waiting or a controller holds
//! more than its memory allows.

use clap::Parser;
use dillcleat_simulator::{Outcome, Scenario, World};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Three quarters of what a controller of the largest site may hold, in bytes.
const MOST_BYTES: usize = 188_000_000 / 4 * 3;

#[derive(Parser)]
#[command(name = "large_fleet", about = "A day of thousands of machines")]
struct Cli {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many times as large as on other days jobs and the cloud are: 48 machines
    /// for each
    #[arg(long, default_value_t = 150)]
    scale: u32,
}

fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated)
}

fn print(outcome: &Outcome) {
    println!("machines up at once, the most: {}", outcome.machines);
    println!("starts: {}", outcome.starts);
    println!("jobs accepted: {}", outcome.accepted);
    println!("leaders elected: {}", outcome.terms);
    println!("tasks that ran on machines that went: {}", outcome.lost);
    println!("calls to the state service: {}", outcome.state_calls);
    let megabytes = outcome.largest_node as f64 / 1e6;
    println!("held by a controller at its end, the most: {megabytes:.1} MB");
    println!("rules broken: {:?}", outcome.violations);
    println!("requests over a limit: {:?}", outcome.malformed);
    println!("jobs unfinished: {:?}", outcome.unfinished);
    println!("keys left behind: {}", outcome.left.len());
    println!("indexes not as if made anew: {:?}", outcome.stale);
    println!("starved: {:?}", outcome.served.starved());
    println!("\n{}", outcome.served);
    for (kind, (count, time)) in &outcome.costs {
        let each = time.as_nanos() as f64 / 1e3 / (*count).max(1) as f64;
        println!("{kind:28} {count:>9} inputs {each:>9.1} us each");
    }
}

fn clean(outcome: &Outcome) -> bool {
    outcome.violations.is_empty()
        && outcome.malformed.is_empty()
        && outcome.unfinished.is_empty()
        && outcome.left.is_empty()
        && outcome.stale.is_empty()
        && outcome.largest_node <= MOST_BYTES
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let begun = Instant::now();
    let outcome = World::new(Scenario {
        allocated: Some(allocated),
        ..Scenario::large_fleet(cli.seed, cli.scale)
    })
    .run();
    print(&outcome);
    println!("played in {:.0?}", begun.elapsed());
    match clean(&outcome) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
