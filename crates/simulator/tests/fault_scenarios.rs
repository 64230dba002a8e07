//! Seeded scenarios with faults: the rules hold after every step, all jobs finish once the
//! faults are over, and no keys remain in the store.

mod common;

use common::run_clean;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_simulator::{Fault, Outcome, Scenario, Simulation};

const ACTIVITY_END: Micros = 200 * SECOND;

/// Seeds of random scenarios, with the failure that each guards against or the condition that
/// it reproduces.
const REGRESSION_SEEDS: [u64; 5] = [
    1560,   // records that stay behind when a cancellation precedes the last completion
    1869,   // records that stay behind when a cancellation precedes the last completion
    4626,   // a cloud outage while five machines hang for longer than `cancel_s`
    4717,   // records that stay behind when a cancellation comes between two attempts
    10_052, // leaders that change too often to find out that all machines have failed
];
/// Seeds with partitions that look like an outage of the store to every node.
const APPARENT_OUTAGE_SEEDS: [u64; 2] = [300, 5479];
const PARTITION_SEED: u64 = 4332;
/// This seed guards against a job that stays open for ever because it was submitted while the
/// cancellation of its dependency was being written.
const CANCELLED_DEPENDENCY_SEED: u64 = 282;

fn run(seed: u64, jobs: usize, faults: Vec<(Micros, Fault)>) -> Outcome {
    Simulation::new(Scenario {
        faults,
        jobs,
        ..Scenario::quiet(seed)
    })
    .run()
}

fn assert_rules_hold(name: &str, faults: impl Fn(u64) -> Vec<(Micros, Fault)>) {
    for seed in 1..=6 {
        let o = run(seed, 14, faults(seed));
        assert_eq!(o.violations, [], "{name}, seed {seed}");
        assert_eq!(
            o.protocol_errors, [""; 0],
            "{name}, seed {seed}: requests over a limit"
        );
        assert_eq!(o.stale, [""; 0], "{name}, seed {seed}: stale derived state");
        assert!(
            o.accepted >= 5,
            "{name}, seed {seed}: {} jobs accepted",
            o.accepted
        );
        assert!(o.starts > 20, "{name}, seed {seed}: {} starts", o.starts);
        assert_eq!(
            o.unfinished, [""; 0],
            "{name}, seed {seed}: unfinished jobs"
        );
        assert_eq!(
            o.leftover_keys, [""; 0],
            "{name}, seed {seed}: leftover keys"
        );
    }
}

fn s(seconds: u64) -> Micros {
    seconds * SECOND
}

fn crash(nodes: &[usize]) -> Fault {
    Fault::Crash {
        nodes: nodes.to_vec(),
        down: s(3),
    }
}

#[test]
fn rules_hold_without_faults() {
    assert_rules_hold("no faults", |_| vec![]);
}

#[test]
fn equal_seeds_give_equal_runs() {
    const SEED: u64 = 3;
    let digest = |seed| run(seed, 10, vec![(s(40), crash(&[0, 1]))]).answer_digest;
    assert_eq!(digest(SEED), digest(SEED));
    assert_ne!(digest(SEED), digest(SEED + 1));
}

#[test]
fn rules_hold_when_nodes_crash_one_after_another() {
    assert_rules_hold("successive crashes", |seed| {
        (0..3)
            .map(|i| (s(30 + 31 * i + seed), crash(&[i as usize])))
            .collect()
    });
}

/// Guards against a new leader that reads a cancellation before the cancelled job and lets
/// the job's tasks run on.
#[test]
fn rules_hold_when_several_nodes_crash_together() {
    assert_rules_hold("crashes of several nodes", |seed| {
        vec![
            (s(40), crash(&[0, 1])),
            (s(75 + seed), crash(&[0, 1, 2])),
            (s(110), crash(&[1, 2])),
            (s(140), crash(&[0, 1, 2])),
        ]
    });
}

#[test]
fn rules_hold_when_nodes_crash_during_store_outages() {
    assert_rules_hold("store outage", |seed| {
        vec![
            (s(50), Fault::StoreOutage { time: s(10) }),
            (s(54 + seed), crash(&[seed as usize])),
            (s(120), Fault::StoreOutage { time: s(25) }),
            (s(122), crash(&[0, 1, 2])),
        ]
    });
}

#[test]
fn rules_hold_when_one_node_is_refused_or_partitioned() {
    assert_rules_hold("one node isolated", |seed| {
        let node = seed as usize;
        vec![
            (s(40), Fault::StoreRefusal { node, time: s(30) }),
            (
                s(80),
                Fault::StorePartition {
                    node: node + 1,
                    time: s(40),
                },
            ),
            (
                s(130),
                Fault::WorkerPartition {
                    node: node + 2,
                    time: s(40),
                },
            ),
            (
                s(150),
                Fault::StoreRefusal {
                    node: node + 1,
                    time: s(45),
                },
            ),
        ]
    });
}

#[test]
fn rules_hold_when_messages_of_a_zone_are_held_back() {
    assert_rules_hold("zone partition", |seed| {
        vec![
            (
                s(45),
                Fault::ZoneWorkerPartition {
                    zone: seed as usize,
                    time: s(40),
                },
            ),
            (s(60), crash(&[0])),
            (
                s(110),
                Fault::ZoneWorkerPartition {
                    zone: seed as usize + 1,
                    time: s(9),
                },
            ),
            (
                s(125),
                Fault::ZoneWorkerPartition {
                    zone: seed as usize + 2,
                    time: s(60),
                },
            ),
        ]
    });
}

#[test]
fn rules_hold_when_machines_pause_fail_or_are_preempted() {
    assert_rules_hold("machine faults", |seed| {
        vec![
            (
                s(40),
                Fault::Hang {
                    machines: 2,
                    time: s(10),
                },
            ),
            (
                s(60 + seed),
                Fault::Hang {
                    machines: 2,
                    time: s(45),
                },
            ),
            (s(70), Fault::MachineFailure { machines: 2 }),
            (
                s(90),
                Fault::SpotPreemption {
                    notice: Some(s(15)),
                },
            ),
            (s(130), Fault::SpotPreemption { notice: None }),
            (s(150), Fault::FaultyMachine),
        ]
    });
}

#[test]
fn rules_hold_when_replies_are_lost_and_requests_delayed() {
    assert_rules_hold("lost replies", |seed| {
        vec![
            (s(20), Fault::UnreliableNetwork { time: s(150) }),
            (s(70 + seed), crash(&[seed as usize])),
            (s(100), Fault::CloudOutage { time: s(30) }),
        ]
    });
}

/// The store refuses each node in turn, one of which leads; the other nodes reach neither the
/// workers nor the cloud. Guards against cancelled tasks that run on because the former leader
/// continues to answer heartbeats.
#[test]
fn leader_without_store_access_stops_renewing_leases() {
    for node in 0..3 {
        let time = s(120);
        assert_rules_hold("leader without store access", |_| {
            vec![
                (s(45), Fault::StoreRefusal { node, time }),
                (
                    s(45),
                    Fault::WorkerPartition {
                        node: node + 1,
                        time,
                    },
                ),
                (
                    s(45),
                    Fault::WorkerPartition {
                        node: node + 2,
                        time,
                    },
                ),
                (s(45), Fault::CloudOutage { time }),
            ]
        });
    }
}

/// Guards against a leader that resumes after a pause and acts on outdated state before it
/// has checked that it is still the leader.
#[test]
fn rules_hold_when_nodes_pause_and_resume() {
    assert_rules_hold("pauses", |seed| {
        let node = seed as usize;
        let cut = s(20 + 5 * seed);
        vec![
            (s(30), Fault::Pause { node, time: s(2) }),
            (s(45), Fault::Pause { node, time: s(60) }),
            (s(60), Fault::PeerPartition { node, time: cut }),
            (
                s(62),
                Fault::Pause {
                    node: node + 1,
                    time: s(10 + seed),
                },
            ),
            (
                s(110),
                Fault::StorePartition {
                    node: node + 1,
                    time: cut,
                },
            ),
            (
                s(112),
                Fault::Pause {
                    node: node + 2,
                    time: s(30),
                },
            ),
            (
                s(150),
                Fault::PeerPartition {
                    node: node + 2,
                    time: cut,
                },
            ),
            (
                s(150),
                Fault::WorkerPartition {
                    node: node + 2,
                    time: cut,
                },
            ),
        ]
    });
}

/// Guards against values over the store's limits and against leaders that read chunks of
/// which no task has been placed.
#[test]
fn largest_job_stays_within_the_store_limits() {
    for seed in [5, 9] {
        let o = Simulation::new(Scenario {
            faults: vec![(s(90), crash(&[0, 1, 2])), (s(150), crash(&[0]))],
            jobs: 6,
            large_job_tasks: Some(100_000),
            end: ACTIVITY_END + s(200),
            ..Scenario::quiet(seed)
        })
        .run();
        assert_eq!(o.violations, [], "seed {seed}");
        assert_eq!(
            o.protocol_errors, [""; 0],
            "seed {seed}: requests over a limit"
        );
        assert!(o.starts > 200, "seed {seed}: {} starts", o.starts);
    }
}

#[test]
fn rules_hold_under_random_faults() {
    for seed in (100..140).chain(REGRESSION_SEEDS) {
        run_clean(Scenario::random(seed));
    }
}

/// Guards against tasks that stay on a machine with a preemption notice although they
/// cannot finish in time.
#[test]
fn preemption_notice_reduces_interrupted_tasks() {
    let interrupted = |notice| -> usize {
        let run_preemptions = |seed| {
            let waves = (4..20).map(|i| (s(10 * i), Fault::SpotPreemption { notice }));
            run(seed, 22, waves.collect()).interrupted_tasks
        };
        (1..=6).map(run_preemptions).sum()
    };
    let (with_notice, without) = (interrupted(Some(s(3))), interrupted(None));
    assert!(without > 20, "{without} tasks interrupted without notice");
    assert!(
        with_notice * 2 < without,
        "{with_notice} tasks interrupted with notice, {without} without"
    );
}

#[test]
fn rules_hold_under_random_faults_with_pauses_and_overload() {
    for seed in 100..125 {
        run_clean(Scenario::with_additional_faults(seed));
    }
}

/// The leader's zone with its nodes and workers is partitioned: messages are held back,
/// lost, or pass in one direction only. Guards against machines that a deposed leader rents
/// or deletes when its calls to the cloud are delivered late.
#[test]
fn rules_hold_when_the_leaders_zone_is_partitioned() {
    let seeds = (0..30).chain(APPARENT_OUTAGE_SEEDS).chain([PARTITION_SEED]);
    for seed in seeds {
        run_clean(Scenario::leader_zone_partitions(seed));
    }
}

/// Runs pipelines under random faults. With most seeds nodes are upgraded, and then usually
/// the limits of the store are lowered.
fn run_pipelines(seeds: impl IntoIterator<Item = u64>) {
    let refused: usize = seeds
        .into_iter()
        .map(|seed| run_clean(Scenario::pipelines(seed)).refused_over_lowered_limits)
        .sum();
    // The reduced limits must have been reached for the test to show anything.
    assert!(refused > 0);
}

#[test]
fn pipelines_complete_during_upgrades_and_with_reduced_limits() {
    run_pipelines(1..8);
}

#[test]
fn pipelines_complete_during_upgrades_seeds_8_to_13() {
    run_pipelines((8..14).chain([CANCELLED_DEPENDENCY_SEED]));
}

/// Guards against dependents of a cancelled job that are not cancelled in time when they
/// are many or the leader changes meanwhile.
#[test]
fn cancelling_a_job_cancels_a_thousand_dependents() {
    for (seed, faults) in [(1, vec![]), (2, vec![(s(152), crash(&[0, 1, 2]))])] {
        let scenario = Scenario {
            faults,
            jobs: 6,
            cancelled_dependents: Some(1000),
            ..Scenario::quiet(seed)
        };
        let o = run_clean(scenario);
        assert!(o.accepted > 900, "{} jobs accepted", o.accepted);
    }
}

/// Several nodes crash together, a zone is partitioned and all spot machines are preempted, in
/// three small fleets and one of more than 150 machines.
#[test]
fn rules_hold_with_five_nodes() {
    for (seed, scale, jobs) in [(1, 1, 14), (2, 1, 14), (3, 1, 14), (4, 24, 30)] {
        let o = Simulation::new(Scenario {
            faults: vec![
                (s(30), crash(&[0, 1])),
                (s(50), crash(&[0, 1, 2, 3, 4])),
                (
                    s(60),
                    Fault::ZoneWorkerPartition {
                        zone: 1,
                        time: s(30),
                    },
                ),
                (s(66), crash(&[1, 2, 3])),
                (
                    s(80),
                    Fault::SpotPreemption {
                        notice: Some(s(10)),
                    },
                ),
            ],
            jobs,
            nodes: 5,
            scale,
            activity_end: s(100),
            end: s(100) + s(500),
            ..Scenario::quiet(seed)
        })
        .run();
        assert_eq!(o.violations, [], "seed {seed}");
        assert_eq!(
            o.protocol_errors, [""; 0],
            "seed {seed}: requests over a limit"
        );
        assert_eq!(o.unfinished, [""; 0], "seed {seed}: unfinished jobs");
        assert_eq!(o.leftover_keys, [""; 0], "seed {seed}: leftover keys");
        let least = if scale > 1 { 150 } else { 5 };
        assert!(
            o.peak_machines > least,
            "seed {seed}: {} machines",
            o.peak_machines
        );
    }
}
