//! Plays random days and prints those that break a rule or leave work undone:
//! `cargo run --release -p dillcleat-simulator --example hunt -- FROM TO [--form objects]`.

use clap::{Parser, ValueEnum};
use dillcleat_simulator::{Form, Scenario, World};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Plays random days with troubles. LOG_LEVEL shows what the controllers say; of use
/// with a single seed.
#[derive(Parser)]
struct Args {
    /// The first seed
    from: u64,
    /// The one after the last
    to: u64,
    /// How users hand in their arrays
    #[arg(long, value_enum, default_value_t = Given::Native)]
    form: Given,
    /// What the troubles of the days are
    #[arg(long, value_enum, default_value_t = Troubles::Troubled)]
    troubles: Troubles,
}

#[derive(Clone, Copy, ValueEnum)]
enum Troubles {
    /// All that may come, with what was met on call
    Troubled,
    /// The zone of whoever leads is cut off, with its controllers
    CutOff,
    /// Nodes are replaced, jobs wait for others, and the limits of the store fall
    Pipelines,
    /// Two or three troubles meet, several times a day
    Meetings,
    /// Whoever leads is refused alone, then everybody for longer than a cancellation lasts
    Gap,
    /// A process ends at a call to the state service: three seeds for each call
    Calls,
}

#[derive(Clone, Copy, ValueEnum)]
enum Given {
    /// By the users' protocol
    Native,
    /// As Kubernetes Jobs
    Objects,
    /// Every second one as a Job
    Mixed,
}

fn main() -> ExitCode {
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into()))
        .init();
    let args = Args::parse();
    let form = match args.form {
        Given::Native => Form::Native,
        Given::Objects => Form::Objects,
        Given::Mixed => Form::Mixed,
    };
    let least = Mutex::new(None);
    // Starts sent after a confirmed cancellation, and carried out, and the day.
    let most = Mutex::new((0, 0, 0));
    let next = AtomicU64::new(args.from);
    let (bad, created, told, late, refused) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let [launches, starts, odd] = [const { AtomicU64::new(0) }; 3];
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= args.to {
                        return;
                    }
                    let scenario = match args.troubles {
                        Troubles::Troubled => Scenario::troubled(seed),
                        Troubles::CutOff => Scenario::cut_off(seed),
                        Troubles::Pipelines => Scenario::pipelines(seed),
                        Troubles::Meetings => Scenario::meetings(seed),
                        Troubles::Gap => Scenario::gap(seed),
                        Troubles::Calls => Scenario::ends_at_call(seed),
                    };
                    let scenario = Scenario { form, ..scenario };
                    let faults = scenario.faults.clone();
                    let o = World::new(scenario).run();
                    created.fetch_add(o.objects.0, Ordering::Relaxed);
                    told.fetch_add(o.objects.1, Ordering::Relaxed);
                    if let Some((name, share)) = o.served.least() {
                        let mut least = least.lock().expect("no holder panics");
                        let lower = |(_, s, _): &(String, f64, u64)| share < *s;
                        if least.as_ref().is_none_or(lower) {
                            *least = Some((name, share, seed));
                        }
                    }
                    late.fetch_add(o.late_hits, Ordering::Relaxed);
                    launches.fetch_add(o.late.launches, Ordering::Relaxed);
                    starts.fetch_add(o.late.starts, Ordering::Relaxed);
                    odd.fetch_add(o.odd_requests, Ordering::Relaxed);
                    let of_day = (o.late.launches, o.late.starts, seed);
                    let mut most = most.lock().expect("no holder panics");
                    *most = of_day.max(*most);
                    drop(most);
                    refused.fetch_add(o.refused, Ordering::Relaxed);
                    let clean = o.violations.is_empty()
                        && o.malformed.is_empty()
                        && o.unfinished.is_empty()
                        && o.left.is_empty()
                        && o.stale.is_empty()
                        && o.served.starved().is_empty();
                    if !clean {
                        bad.fetch_add(1, Ordering::Relaxed);
                        if !o.served.starved().is_empty() {
                            println!("seed {seed}: too little for {:?}", o.served.starved());
                            print!("{}", o.served);
                        }
                        println!(
                            "seed {seed}: {:?} malformed {:?} unfinished {:?} left {:?} stale {:?} on {faults:?}",
                            o.violations, o.malformed, o.unfinished, o.left, o.stale
                        );
                    }
                }
            });
        }
    });
    let refused = refused.into_inner();
    if refused > 0 {
        println!("{refused} requests met limits that had fallen");
    }
    let late = late.into_inner();
    if late > 0 {
        println!("{late} machines went by calls that came late");
    }
    let (launches, starts) = (launches.into_inner(), starts.into_inner());
    if launches + starts > 0 {
        println!(
            "after a confirmed cancellation {launches} starts were sent, and {starts} tasks started"
        );
        let (launches, starts, seed) = most.into_inner().expect("no holder panics");
        println!("most of it on day {seed}: {launches} and {starts}");
    }
    let odd = odd.into_inner();
    if odd > 0 {
        println!("{odd} odd requests were made");
    }
    if let Some((name, share, seed)) = least.into_inner().expect("no holder panics") {
        println!("least served: {name}, {share:.3}, on day {seed}");
    }
    let bad = bad.into_inner();
    let (created, told) = (created.into_inner(), told.into_inner());
    println!("{} days, {bad} with something wrong", args.to - args.from);
    if form != Form::Native {
        println!("a watcher was told of {created} objects and {told} ends");
    }
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
