//! Prints a digest of everything that the nodes send in seeded scenarios, one line per kind
//! of scenario.
//!
//! `cargo run --release -p dillcleat-simulator --example history -- FROM TO [--each]`
//!
//! Run it on two versions of the sources: equal lines show that both behave the same.

use clap::Parser;
use dillcleat_simulator::{Scenario, Simulation, SubmissionForm};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prints a digest of everything that the nodes send in seeded scenarios
#[derive(Parser)]
struct Args {
    /// The first seed
    from: u64,
    /// The seed after the last
    to: u64,
    /// Print the digest of each run as well
    #[arg(long)]
    each: bool,
}

/// A kind of scenario: its name, and the scenario for a seed.
type Kind = (&'static str, fn(u64) -> Scenario);

const KINDS: [Kind; 9] = [
    ("random", Scenario::random),
    ("quiet", Scenario::quiet),
    ("troubled", Scenario::with_additional_faults),
    ("cut-off", Scenario::leader_zone_partitions),
    ("pipelines", Scenario::pipelines),
    ("meetings", Scenario::combined_faults),
    ("gap", Scenario::store_outages),
    ("calls", Scenario::crash_at_call),
    ("objects", objects),
];

fn objects(seed: u64) -> Scenario {
    Scenario {
        form: SubmissionForm::Kubernetes,
        ..Scenario::with_additional_faults(seed)
    }
}

fn main() {
    let args = Args::parse();
    for (name, scenario) in KINDS {
        let digests = run_all(args.from, args.to, scenario);
        if args.each {
            for (seed, digest) in (args.from..).zip(&digests) {
                println!("{name} {seed} {}", hex(digest));
            }
        }
        let mut all = Sha256::new();
        for digest in &digests {
            all.update(digest);
        }
        println!("{name}: {} days {}", digests.len(), hex(&all.finalize()));
    }
}

/// The digests of the runs, in the order of their seeds.
fn run_all(from: u64, to: u64, scenario: fn(u64) -> Scenario) -> Vec<[u8; 32]> {
    let next = AtomicU64::new(from);
    let digests = Mutex::new(vec![[0; 32]; to.saturating_sub(from) as usize]);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let digest = Simulation::new(scenario(seed)).run().output_digest;
                    digests.lock().expect("no holder panics")[(seed - from) as usize] = digest;
                }
            });
        }
    });
    digests.into_inner().expect("no holder panics")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
