//! Runs random scenarios and prints those that violate a rule or leave jobs unfinished:
//! `cargo run --release -p dillcleat-simulator --example fault_search -- FROM TO [--form objects]`.

use clap::{Parser, ValueEnum};
use dillcleat_simulator::{Scenario, Simulation, SubmissionForm};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Runs random scenarios with faults. The environment variable LOG_LEVEL sets the log level of
/// the controllers, which is useful with a single seed.
#[derive(Parser)]
struct Args {
    /// The first seed
    from: u64,
    /// The seed after the last
    to: u64,
    /// How users submit batch jobs
    #[arg(long, value_enum, default_value_t = Form::Native)]
    form: Form,
    /// The kind of faults in the scenarios
    #[arg(long = "troubles", value_name = "TROUBLES", value_enum, default_value_t = Faults::Additional)]
    faults: Faults,
}

#[derive(Clone, Copy, ValueEnum)]
enum Faults {
    /// Random faults, with paused nodes, slow boots and overload
    #[value(name = "troubled")]
    Additional,
    /// Network partitions of the leader's zone with its controllers
    #[value(name = "cut-off")]
    Partition,
    /// Nodes are upgraded, jobs depend on others, and the store's limits are reduced
    Pipelines,
    /// Two or three faults coincide, several times in a run
    #[value(name = "meetings")]
    Combined,
    /// The store refuses the leader, then all nodes for longer than the cancellation deadline
    #[value(name = "gap")]
    StoreOutages,
    /// Jobs that others need are cancelled while the store refuses the leader, before an outage
    #[value(name = "cancelled-pipelines")]
    CancelledPipelines,
    /// Command batches overtake the replies to heartbeats, and attempts end early
    #[value(name = "slow-links")]
    SlowLinks,
    /// Copies of requests that were carried out arrive again, attempts end early, and the leader
    /// changes
    #[value(name = "late-copies")]
    LateCopies,
    /// As `meetings`, with such copies and a leader that crashes for a fifth of a second
    #[value(name = "meetings-late-copies")]
    CombinedLateCopies,
    /// The store lowers its limit of writes per second while many jobs end or are cancelled
    #[value(name = "lowered-write-rate")]
    LoweredWriteRate,
    /// As `lowered-write-rate`, but the store's other limits are lowered as well
    #[value(name = "lowered-limits")]
    LoweredLimits,
    /// Controllers crash while many users poll at regular intervals
    #[value(name = "regular-polls")]
    RegularPolls,
    /// A process crashes at a call to the store: three seeds for each call
    #[value(name = "calls")]
    StoreCallCrash,
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    /// By the native protocol
    Native,
    /// As Kubernetes Jobs
    Objects,
    /// Every second job as a Kubernetes Job
    Mixed,
}

fn main() -> ExitCode {
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into()))
        .init();
    let args = Args::parse();
    let form = match args.form {
        Form::Native => SubmissionForm::Native,
        Form::Objects => SubmissionForm::Kubernetes,
        Form::Mixed => SubmissionForm::Mixed,
    };
    let least_served = Mutex::new(None);
    // Launches sent and tasks started after a confirmed cancellation, and the seed, for the
    // run with the most such launches.
    let most_late = Mutex::new((0, 0, 0));
    let next = AtomicU64::new(args.from);
    let (failed_runs, watched_jobs, watched_ends, late_deletions, refused, rate_limited) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let [launches, starts, irregular] = [const { AtomicU64::new(0) }; 3];
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= args.to {
                        return;
                    }
                    let scenario = match args.faults {
                        Faults::Additional => Scenario::with_additional_faults(seed),
                        Faults::Partition => Scenario::leader_zone_partitions(seed),
                        Faults::Pipelines => Scenario::pipelines(seed),
                        Faults::Combined => Scenario::combined_faults(seed),
                        Faults::StoreOutages => Scenario::store_outages(seed),
                        Faults::CancelledPipelines => Scenario::cancelled_pipelines(seed),
                        Faults::SlowLinks => Scenario::slow_links(seed),
                        Faults::LateCopies => Scenario::late_copies(seed),
                        Faults::CombinedLateCopies => {
                            Scenario::combined_faults_with_late_copies(seed)
                        }
                        Faults::LoweredWriteRate => Scenario::lowered_write_rate(seed),
                        Faults::LoweredLimits => Scenario::lowered_limits(seed),
                        Faults::RegularPolls => Scenario::regular_polls(seed),
                        Faults::StoreCallCrash => Scenario::crash_at_call(seed),
                    };
                    let scenario = Scenario { form, ..scenario };
                    let faults = scenario.faults.clone();
                    let o = Simulation::new(scenario).run();
                    watched_jobs.fetch_add(o.watched_objects.0, Ordering::Relaxed);
                    watched_ends.fetch_add(o.watched_objects.1, Ordering::Relaxed);
                    if let Some((name, share)) = o.service_shares.lowest() {
                        let mut least = least_served.lock().expect("no holder panics");
                        let lower = |(_, s, _): &(String, f64, u64)| share < *s;
                        if least.as_ref().is_none_or(lower) {
                            *least = Some((name, share, seed));
                        }
                    }
                    late_deletions.fetch_add(o.late_deletions, Ordering::Relaxed);
                    launches.fetch_add(o.late_launches.launches, Ordering::Relaxed);
                    starts.fetch_add(o.late_launches.starts, Ordering::Relaxed);
                    irregular.fetch_add(o.irregular_requests, Ordering::Relaxed);
                    let late_in_run = (o.late_launches.launches, o.late_launches.starts, seed);
                    let mut most = most_late.lock().expect("no holder panics");
                    *most = late_in_run.max(*most);
                    drop(most);
                    refused.fetch_add(o.refused_over_lowered_limits, Ordering::Relaxed);
                    rate_limited.fetch_add(o.rate_limited_transactions, Ordering::Relaxed);
                    let clean = o.violations.is_empty()
                        && o.protocol_errors.is_empty()
                        && o.unfinished.is_empty()
                        && o.leftover_keys.is_empty()
                        && o.stale.is_empty()
                        && o.service_shares.below_minimum().is_empty();
                    if !clean {
                        failed_runs.fetch_add(1, Ordering::Relaxed);
                        let starved = o.service_shares.below_minimum();
                        if !starved.is_empty() {
                            println!("seed {seed}: too little for {starved:?}");
                            print!("{}", o.service_shares);
                        }
                        println!(
                            "seed {seed}: {:?} malformed {:?} unfinished {:?} left {:?} stale {:?} on {faults:?}",
                            o.violations, o.protocol_errors, o.unfinished, o.leftover_keys, o.stale
                        );
                    }
                }
            });
        }
    });
    let refused = refused.into_inner();
    if refused > 0 {
        println!("{refused} requests exceeded the lowered limits");
    }
    let rate_limited = rate_limited.into_inner();
    if rate_limited > 0 {
        println!("{rate_limited} transactions exceeded the limit of writes per second");
    }
    let late_deletions = late_deletions.into_inner();
    if late_deletions > 0 {
        println!("{late_deletions} machines were deleted by late calls");
    }
    let (launches, starts) = (launches.into_inner(), starts.into_inner());
    if launches + starts > 0 {
        println!(
            "after a confirmed cancellation {launches} launches were sent, and {starts} tasks started"
        );
        let (launches, starts, seed) = most_late.into_inner().expect("no holder panics");
        println!("most of it with seed {seed}: {launches} and {starts}");
    }
    let irregular = irregular.into_inner();
    if irregular > 0 {
        println!("{irregular} irregular requests were made");
    }
    if let Some((name, share, seed)) = least_served.into_inner().expect("no holder panics") {
        println!("least served: {name}, {share:.3}, with seed {seed}");
    }
    let failed_runs = failed_runs.into_inner();
    let (watched_jobs, watched_ends) = (watched_jobs.into_inner(), watched_ends.into_inner());
    println!("{} days, {failed_runs} failed", args.to - args.from);
    if form != SubmissionForm::Native {
        println!("a watcher received {watched_jobs} objects and {watched_ends} ends");
    }
    if failed_runs == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
