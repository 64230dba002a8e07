//! Plays random days and prints those that break a rule or leave work undone:
//! `cargo run --release -p dillcleat-rehearsal --example hunt -- FROM TO`.

use dillcleat_rehearsal::{Scenario, World};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

fn main() -> ExitCode {
    // LOG_LEVEL shows what the controllers say; of use with a single seed.
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into()))
        .init();
    let bounds: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let [from, to] = bounds[..] else {
        eprintln!("hunt: give the first seed and the one after the last");
        return ExitCode::from(2);
    };
    let next = AtomicU64::new(from);
    let bad = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let o = World::new(Scenario::troubled(seed)).run();
                    let clean = o.breaches.is_empty()
                        && o.malformed.is_empty()
                        && o.unfinished.is_empty()
                        && o.left.is_empty()
                        && o.stale.is_empty();
                    if !clean {
                        bad.fetch_add(1, Ordering::Relaxed);
                        println!(
                            "seed {seed}: {:?} malformed {:?} unfinished {:?} left {:?} stale {:?}",
                            o.breaches, o.malformed, o.unfinished, o.left, o.stale
                        );
                    }
                }
            });
        }
    });
    let bad = bad.into_inner();
    println!("{} days, {bad} with something wrong", to - from);
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
