//! Seeded scenarios in which users submit Kubernetes Jobs.

use dillcleat_controller::SECOND;
use dillcleat_simulator::{Fault, Outcome, Scenario, Simulation, SubmissionForm};

fn run(form: SubmissionForm, scenario: Scenario) -> Outcome {
    Simulation::new(Scenario { form, ..scenario }).run()
}

fn assert_clean(seed: u64, o: &Outcome) {
    assert_eq!(o.violations, [], "seed {seed}");
    assert_eq!(
        o.protocol_errors, [""; 0],
        "seed {seed}: requests over a limit"
    );
    assert_eq!(o.stale, [""; 0], "seed {seed}: stale derived state");
    assert_eq!(o.unfinished, [""; 0], "seed {seed}: unfinished jobs");
    assert_eq!(o.leftover_keys, [""; 0], "seed {seed}: leftover keys");
}

/// A random scenario without faults that make users repeat a submission: only then are
/// native and Kubernetes submissions comparable.
fn scenario_without_repeated_submissions(seed: u64) -> Scenario {
    let scenario = Scenario::random(seed);
    let allowed = |fault: &Fault| {
        matches!(
            fault,
            Fault::Hang { .. }
                | Fault::MachineFailure { .. }
                | Fault::SpotPreemption { .. }
                | Fault::CloudOutage { .. }
                | Fault::ZoneWorkerPartition { .. }
                | Fault::WorkerPartition { .. }
        )
    };
    Scenario {
        faults: scenario
            .faults
            .into_iter()
            .filter(|(_, f)| allowed(f))
            .collect(),
        ..scenario
    }
}

/// Guards against a difference between native and Kubernetes submissions: every attempt
/// must start on the same machine at the same microsecond.
#[test]
fn kubernetes_jobs_are_placed_like_native_jobs() {
    let mut faults = 0;
    for seed in 1..=12 {
        let scenario = scenario_without_repeated_submissions(seed);
        faults += scenario.faults.len();
        let native = run(SubmissionForm::NativeWithKubernetesIds, scenario.clone());
        let kubernetes = run(SubmissionForm::KubernetesCreateOnly, scenario);
        assert_clean(seed, &native);
        assert_clean(seed, &kubernetes);
        let (watched, _) = kubernetes.watched_objects;
        assert!(watched >= 2, "seed {seed}: {watched} Jobs watched");
        assert_eq!(native.starts, kubernetes.starts, "seed {seed}");
        assert_eq!(
            native.placement_digest, kubernetes.placement_digest,
            "seed {seed}"
        );
    }
    assert!(faults > 12, "{faults} faults");
}

/// Under random faults Jobs are created, some of them suspended and resumed or deleted, and
/// creates are repeated, while one client watches all Jobs.
#[test]
fn kubernetes_jobs_complete_under_random_faults() {
    let mut watched_ends = 0;
    for seed in 100..130 {
        let form = if seed % 3 == 0 {
            SubmissionForm::Mixed
        } else {
            SubmissionForm::Kubernetes
        };
        let o = run(form, Scenario::with_additional_faults(seed));
        assert_clean(seed, &o);
        watched_ends += o.watched_objects.1;
    }
    assert!(watched_ends > 150, "{watched_ends} ends watched");
}

/// These seeds guard against answering a second create of an equal object with 201.
const REPEATED_CREATE_SEEDS: [u64; 2] = [1007, 1013];
/// These seeds guard against repeated watch events from a node whose cache lags.
const REPEATED_WATCH_EVENT_SEEDS: [u64; 2] = [1291, 1152];
/// This seed guards against queueing a job that fails on every machine according to an outdated
/// estimate of its run time.
const OUTDATED_ESTIMATE_SEED: u64 = 2291;

#[test]
fn kubernetes_jobs_complete_under_regression_seeds() {
    let seeds = REPEATED_CREATE_SEEDS
        .into_iter()
        .chain(REPEATED_WATCH_EVENT_SEEDS)
        .chain([OUTDATED_ESTIMATE_SEED]);
    for seed in seeds {
        let o = run(
            SubmissionForm::Kubernetes,
            Scenario::with_additional_faults(seed),
        );
        assert_clean(seed, &o);
    }
}

/// Guards against a Job that runs twice or whose end is not shown when nodes crash between
/// the write to the store and the answer.
#[test]
fn crashes_during_creation_neither_repeat_nor_lose_jobs() {
    for seed in 1..=6 {
        let crash = |at: u64, nodes: &[usize]| {
            let nodes = nodes.to_vec();
            let down = SECOND;
            (at * SECOND, Fault::Crash { nodes, down })
        };
        let faults = (10..130)
            .step_by(6)
            .map(|at| crash(at + seed % 3, &[at as usize / 6]))
            .chain([(60 * SECOND, Fault::StoreOutage { time: 12 * SECOND })])
            .chain([(90 * SECOND, Fault::UnreliableNetwork { time: 30 * SECOND })])
            .collect();
        let scenario = Scenario {
            faults,
            ..Scenario::random(seed)
        };
        assert_clean(seed, &run(SubmissionForm::Kubernetes, scenario));
    }
}
