//! What a controller's work costs on a large fleet: plays a day and prints the
//! number of inputs of each kind and the time a leader takes for one:
//! `cargo run --release -p dillcleat-rehearsal --example grown -- SCALE`.

use dillcleat_core::SECOND;
use dillcleat_rehearsal::{Fault, Scenario, World};
use std::process::ExitCode;

fn main() -> ExitCode {
    let scale = std::env::args().nth(1).and_then(|a| a.parse().ok());
    let Some(scale) = scale else {
        eprintln!("grown: give how many times as large as usual the day is");
        return ExitCode::from(2);
    };
    let o = World::new(Scenario {
        seed: 4,
        // A leader's start on a full fleet is part of the work.
        faults: vec![(
            60 * SECOND,
            Fault::Crash {
                nodes: (0..5).collect(),
                down: 3 * SECOND,
            },
        )],
        jobs: 40,
        large: None,
        nodes: 5,
        scale,
        busy: 100 * SECOND,
        end: 200 * SECOND,
    })
    .run();
    println!("{} machines, {} starts", o.machines, o.starts);
    for (kind, (n, time)) in o.costs {
        let each = time.as_nanos() as f64 / 1e3 / n.max(1) as f64;
        println!("{kind:28} {n:>9} inputs {each:>9.1} us each, {time:>9.1?} in all");
    }
    ExitCode::SUCCESS
}
