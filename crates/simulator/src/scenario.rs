//! Scenarios: the workload of a simulation and the faults that are injected into it.

use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

/// A fault to inject. Nodes are given by index or as [`LEADER`].
#[derive(Debug, Clone)]
pub enum Fault {
    /// These nodes crash and restart after `down`.
    Crash { nodes: Vec<usize>, down: Micros },
    /// A node is paused and then resumed. Its inputs are queued meanwhile.
    Pause { node: usize, time: Micros },
    /// All messages between a node and its peers are lost.
    CutMesh { node: usize, time: Micros },
    /// The store refuses all calls.
    StateOutage { time: Micros },
    /// The store refuses the calls of one node.
    Refused { node: usize, time: Micros },
    /// Network partition between a node and the store. Messages are delivered when it ends.
    CutState { node: usize, time: Micros },
    /// Network partition between a node and all workers. Messages are delivered when it
    /// ends.
    CutWorkers { node: usize, time: Micros },
    /// Network partition between the workers of a zone and all nodes. Messages are delivered
    /// when it ends.
    CutZone { zone: usize, time: Micros },
    /// Network partition between a zone, with its nodes and workers, and everything outside
    /// it: other zones, the store, the cloud and users. Messages within the zone are not
    /// affected. Without a zone, the zone of the current leader is partitioned.
    CutSite {
        zone: Option<usize>,
        time: Micros,
        cut: Cut,
    },
    /// Some machines hang: they execute nothing and continue later.
    Hang { machines: usize, time: Micros },
    /// Some machines fail without notice.
    Die { machines: usize },
    /// All spot instances are preempted, after the notice if there is one.
    SpotTaken { notice: Option<Micros> },
    /// The cloud refuses all calls.
    CloudOutage { time: Micros },
    /// Unreliable network: answers are lost, and requests are executed up to a minute late.
    Flaky { time: Micros },
    /// Every task that starts on one of the machines fails.
    Faulty,
    /// Machines rented meanwhile take `factor` times as long to boot (0: no time), and one
    /// in `never` does not boot.
    Boots {
        time: Micros,
        factor: u64,
        never: u64,
    },
    /// Users poll eight times as often.
    Storm { time: Micros },
    /// The store refuses one in five requests as over its rate limit.
    TooMany { time: Micros },
    /// The store executes and answers requests up to three seconds after their arrival.
    SlowState { time: Micros },
    /// One third of the transactions get no answer and are executed 2 to 12 s later, after
    /// newer ones of the same node.
    LateWrites { time: Micros },
    /// Half of the heartbeats are duplicated. The copy arrives at any node, between 2 s and
    /// more than a lease later.
    LateReports { time: Micros },
    /// All messages to these machines are lost: answers and commands. Their heartbeats
    /// arrive.
    Deaf { machines: usize, time: Micros },
    /// These machines, of one zone if one is given, cannot connect to any node. Commands
    /// reach them.
    Mute {
        machines: usize,
        zone: Option<usize>,
        time: Micros,
    },
    /// This percentage of the transactions are executed at once, but their answers are lost.
    AnswersLost { percent: u8, time: Micros },
    /// This percentage of the heartbeats are duplicated. The copies arrive at every node
    /// when the next leader is elected.
    ReportsForNext { percent: u8, time: Micros },
    /// Users poll all nodes and repeat the submission within milliseconds after a job was
    /// accepted, has ended or was confirmed as cancelled.
    CloseLooks { time: Micros },
    /// This percentage of the users cancel their job immediately after its acceptance.
    CancelsAtOnce { percent: u8, time: Micros },
    /// For this percentage of the jobs, a cancellation, a poll and a repeated submission
    /// arrive when their last task ends.
    CancelsAtEnd { percent: u8, time: Micros },
    /// Users cancel this many running jobs within 200 ms, while up to eight of their
    /// machines hang.
    CancelsNow { jobs: usize, hang: Micros },
    /// Users repeat submissions of unfinished jobs, some with other content, cancel jobs that
    /// are done, and send submissions that are invalid or cannot run.
    OddRequests { time: Micros },
    /// This many machines of a zone fail without notice.
    ZoneDies { machines: usize, zone: usize },
    /// All nodes crash. Node `back` restarts after `soon`, the others after `others`.
    AllEnd {
        back: usize,
        soon: Micros,
        others: Micros,
    },
}

// Salts that give each scenario a random generator of its own for the same seed.
const CUT_OFF_SEED_SALT: u64 = 0x0c07;
const PIPELINES_SEED_SALT: u64 = 0xa3a1;
const GAP_SEED_SALT: u64 = 0x6a9;

/// Stands in a fault for the index of the node that leads when the fault begins.
pub const LEADER: usize = usize::MAX;

impl Fault {
    /// Duration of the fault; 0 if it is instantaneous.
    pub fn lasts(&self) -> Micros {
        match self {
            Fault::Crash { down, .. } => *down,
            Fault::AllEnd { others, .. } => *others,
            Fault::Pause { time, .. }
            | Fault::CutMesh { time, .. }
            | Fault::StateOutage { time }
            | Fault::Refused { time, .. }
            | Fault::CutState { time, .. }
            | Fault::CutWorkers { time, .. }
            | Fault::CutZone { time, .. }
            | Fault::CutSite { time, .. }
            | Fault::Hang { time, .. }
            | Fault::CloudOutage { time }
            | Fault::Flaky { time }
            | Fault::Boots { time, .. }
            | Fault::Storm { time }
            | Fault::TooMany { time }
            | Fault::SlowState { time }
            | Fault::LateWrites { time }
            | Fault::LateReports { time }
            | Fault::CloseLooks { time }
            | Fault::CancelsAtOnce { time, .. }
            | Fault::CancelsAtEnd { time, .. }
            | Fault::CancelsNow { hang: time, .. }
            | Fault::OddRequests { time }
            | Fault::AnswersLost { time, .. }
            | Fault::ReportsForNext { time, .. }
            | Fault::Mute { time, .. }
            | Fault::Deaf { time, .. } => *time,
            Fault::Die { .. } | Fault::ZoneDies { .. } | Fault::Faulty => 0,
            Fault::SpotTaken { notice } => notice.unwrap_or(0),
        }
    }
}

/// The point of a call to the store at which the calling process crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// Before the store executes the call, which is lost.
    Before,
    /// After the store has executed the call, before the answer arrives.
    CarriedOut,
    /// After the process has handled the answer.
    Answered,
}

/// How a network partition of a zone treats messages across its boundary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Delayed until the partition ends.
    Held,
    Lost,
    /// Messages to the zone are delayed until the partition ends; messages from it pass.
    Deaf,
    /// Messages from the zone are delayed until the partition ends; messages to it pass.
    Mute,
}

/// The API through which users submit batch jobs. Services use the native API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SubmissionForm {
    /// The native API.
    #[default]
    Native,
    /// The native API, with the job ids that Kubernetes Jobs would have.
    Twin,
    /// Created as Kubernetes Jobs, polled and cancelled through the native API. Apart from
    /// the creation it is the same as `Twin`.
    Shadow,
    /// Kubernetes Jobs only.
    Objects,
    /// Every second job as a Kubernetes Job.
    Mixed,
}

impl SubmissionForm {
    /// Whether any job is submitted as a Kubernetes Job.
    pub fn objects(self) -> bool {
        matches!(
            self,
            SubmissionForm::Shadow | SubmissionForm::Objects | SubmissionForm::Mixed
        )
    }
}

/// The workload, environment and faults of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub form: SubmissionForm,
    /// Faults with the times at which they begin.
    pub faults: Vec<(Micros, Fault)>,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of tasks of the first job, if it is to be a very large batch job.
    pub large: Option<u32>,
    /// Number of controllers.
    pub nodes: usize,
    /// Multiplies the size of the jobs, the limits and the capacity of the cloud.
    pub scale: u32,
    /// Use the limits of the largest supported cluster, and tasks that run for one to two
    /// minutes.
    pub large_site: bool,
    /// Returns the number of allocated bytes, if the caller measures memory.
    pub allocated: Option<fn() -> usize>,
    /// Number of pipelines of jobs that depend on each other.
    pub pipelines: usize,
    /// When users begin to submit pipelines.
    pub pipelines_from: Micros,
    /// The node that makes the store call with this number crashes at this point of the call
    /// and restarts after 200 ms.
    pub ends_at_call: Option<(u64, Moment)>,
    /// Half of the jobs have two or three tasks, and half of the users cancel their jobs.
    pub small: bool,
    /// More jobs, batch jobs included, are restricted to one zone, and some run for long.
    pub varied: bool,
    /// Every team has quotas that it reaches, including one for GPUs.
    pub tight: bool,
    /// Start and duration of a period in which users submit four single-task jobs per second
    /// and cancel a quarter of them.
    pub stream: Option<(Micros, Micros)>,
    /// Number of jobs that depend on a job which is cancelled.
    pub herd: Option<u32>,
    /// Rolling upgrade: when the first node is replaced by the new version, and the time
    /// between two replacements. Until then all nodes write in the format of the old version.
    pub upgrade: Option<(Micros, Micros)>,
    /// When the store lowers its limits.
    pub limits_fall: Option<Micros>,
    /// End of the submissions and faults. The remaining time is for the jobs to finish.
    pub busy: Micros,
    /// End of the simulation.
    pub end: Micros,
}

impl Scenario {
    /// [`Scenario::random`] with additional faults: paused nodes, partitions between nodes,
    /// slow boots, poll storms and rate limiting. They are drawn from a separate random
    /// generator, so that the faults of `random` are unchanged.
    pub fn troubled(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let mut rng = Rng::with_seed(!seed);
        for _ in 0..rng.usize(2..7) {
            let at = rng.u64(15 * SECOND..scenario.busy - 10 * SECOND);
            let time = rng.u64(2 * SECOND..80 * SECOND);
            let node = rng.usize(..3);
            let fault = match rng.u8(..6) {
                0 | 1 => Fault::Pause { node, time },
                2 => Fault::CutMesh { node, time },
                3 => Fault::Boots {
                    time,
                    factor: rng.u64(..7),
                    never: rng.u64(2..9),
                },
                4 => Fault::Storm { time },
                _ => Fault::TooMany { time },
            };
            scenario.faults.push((at, fault));
        }
        scenario
    }

    /// [`Scenario::random`] with network partitions of the leader's zone in every mode, and
    /// of other zones shortly before.
    pub fn cut_off(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(32) ^ CUT_OFF_SEED_SALT);
        for _ in 0..rng.usize(1..4) {
            let at = rng.u64(30 * SECOND..scenario.busy - 10 * SECOND);
            let mut cut = |rng: &mut Rng, at, zone| {
                let time = rng.u64(3 * SECOND..90 * SECOND);
                let cut = match rng.u8(..6) {
                    0..3 => Cut::Held,
                    3 => Cut::Lost,
                    4 => Cut::Deaf,
                    _ => Cut::Mute,
                };
                scenario
                    .faults
                    .push((at, Fault::CutSite { zone, time, cut }));
            };
            cut(&mut rng, at, None);
            let other = rng.usize(..6);
            if other < 3 {
                let before = rng.u64(..30 * SECOND);
                cut(&mut rng, at - before, Some(other));
            }
        }
        scenario
    }

    /// [`Scenario::troubled`] with a rolling upgrade, pipelines, and a store that lowers its
    /// limits.
    pub fn pipelines(seed: u64) -> Scenario {
        let mut scenario = Scenario::troubled(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(11) ^ PIPELINES_SEED_SALT);
        let first = rng.u64(10 * SECOND..50 * SECOND);
        let every = rng.u64(SECOND..15 * SECOND);
        let replaced = first + 2 * every;
        let upgraded = rng.u8(..4) > 0;
        if upgraded {
            scenario.upgrade = Some((first, every));
            let fall = rng.u64(replaced + 5 * SECOND..scenario.busy);
            scenario.limits_fall = (rng.u8(..5) > 0).then_some(fall);
            // Large enough for chunks that exceed the lowered limits.
            scenario.large = Some(rng.u32(250..500));
        }
        // Teams with small quotas need this time to finish the additional jobs.
        scenario.end = scenario.busy + 1200 * SECOND;
        scenario.pipelines = rng.usize(2..8);
        scenario.pipelines_from = if upgraded {
            replaced + 4 * SECOND
        } else {
            SECOND
        };
        scenario
    }

    /// A small workload in which a process crashes at one call to the store. Three
    /// consecutive seeds cover the three points of the same call.
    pub fn ends_at_call(seed: u64) -> Scenario {
        let points = [Moment::Before, Moment::CarriedOut, Moment::Answered];
        let busy = 40 * SECOND;
        Scenario {
            ends_at_call: Some((seed / 3, points[(seed % 3) as usize])),
            jobs: 5,
            pipelines: 1,
            small: true,
            busy,
            end: busy + 300 * SECOND,
            ..Scenario::quiet(4)
        }
    }

    /// The leader alone loses the store while other nodes confirm cancellations. Then the
    /// store is out for all nodes, for up to longer than the cancellation deadline. This
    /// happens twice.
    pub fn gap(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(7) ^ GAP_SEED_SALT);
        let mut scenario = Scenario::quiet(seed);
        let mut at = rng.u64(25 * SECOND..60 * SECOND);
        for _ in 0..2 {
            // Ends before or after the beginning of the outage.
            let time = rng.u64(SECOND..20 * SECOND);
            let leader_isolation = match rng.bool() {
                true => Fault::Refused { node: LEADER, time },
                false => Fault::CutState { node: LEADER, time },
            };
            let outage_start = at + rng.u64(SECOND / 2..8 * SECOND);
            let outage = rng.u64(20 * SECOND..70 * SECOND);
            scenario.faults.push((at, leader_isolation));
            // The leader does not learn from its peers that another node was elected.
            if rng.bool() {
                let node = LEADER;
                scenario.faults.push((
                    at,
                    Fault::CutMesh {
                        node,
                        time: time + outage,
                    },
                ));
            }
            scenario
                .faults
                .push((outage_start, Fault::StateOutage { time: outage }));
            if rng.u8(..3) == 0 {
                let time = rng.u64(5 * SECOND..30 * SECOND);
                let machines = rng.usize(1..6);
                let fault = match rng.bool() {
                    true => Fault::Hang { machines, time },
                    false => Fault::Deaf { machines, time },
                };
                let at = rng.u64(at.saturating_sub(10 * SECOND)..outage_start + 10 * SECOND);
                scenario.faults.push((at, fault));
            }
            if rng.u8(..3) == 0 {
                let time = rng.u64(10 * SECOND..60 * SECOND);
                scenario
                    .faults
                    .push((outage_start, Fault::CloudOutage { time }));
            }
            // The nodes reach the store again in varying order.
            if rng.u8(..3) == 0 {
                let time = rng.u64(..10 * SECOND);
                let node = rng.usize(..3);
                scenario.faults.push((
                    outage_start + outage - SECOND,
                    Fault::Refused { node, time },
                ));
            }
            if rng.u8(..4) == 0 {
                let node = [LEADER, 0, 1, 2][rng.usize(..4)];
                let down = SECOND / 5;
                let at = rng.u64(at..outage_start + outage);
                scenario.faults.push((
                    at,
                    Fault::Crash {
                        nodes: vec![node],
                        down,
                    },
                ));
            }
            at = outage_start + outage + rng.u64(SECOND..15 * SECOND);
        }
        scenario.small = true;
        scenario.jobs = rng.usize(16..28);
        scenario.busy = at.max(scenario.busy);
        scenario.end = scenario.busy + 600 * SECOND;
        scenario
    }

    /// Random faults, several of which are active at the same time.
    pub fn random(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed);
        let busy = Scenario::quiet(seed).busy;
        let faults = (0..rng.usize(4..14))
            .map(|_| {
                let at = rng.u64(15 * SECOND..busy - 10 * SECOND);
                let time = rng.u64(2 * SECOND..50 * SECOND);
                let n = rng.usize(..3);
                let down = rng.u64(SECOND..8 * SECOND);
                let nodes = |nodes: &[usize]| Fault::Crash {
                    nodes: nodes.to_vec(),
                    down,
                };
                let fault = match rng.u8(..13) {
                    0 => nodes(&[n]),
                    1 => nodes(&[n, n + 1]),
                    2 => nodes(&[0, 1, 2]),
                    3 => Fault::StateOutage { time: time / 2 },
                    4 => Fault::Refused { node: n, time },
                    5 => Fault::CutState { node: n, time },
                    6 => Fault::CutWorkers { node: n, time },
                    7 => Fault::CutZone { zone: n, time },
                    8 => Fault::Hang {
                        machines: 2 * n + 1,
                        time,
                    },
                    9 => Fault::SpotTaken {
                        notice: (n > 0).then_some(time / 3),
                    },
                    10 => Fault::CloudOutage { time },
                    11 => Fault::Die { machines: n + 1 },
                    _ => Fault::Flaky { time },
                };
                (at, fault)
            })
            .collect();
        Scenario {
            faults,
            jobs: rng.usize(8..22),
            ..Scenario::quiet(seed)
        }
    }

    /// A large fleet: `scale` times as many machines can be rented, and tasks are submitted,
    /// as in the other scenarios. Leaders crash at different sizes of the fleet, the store is
    /// out until all worker leases have expired, and a zone is partitioned.
    pub fn large_fleet(seed: u64, scale: u32) -> Scenario {
        let leader_crash = |at, down| {
            let nodes = vec![LEADER];
            (at, Fault::Crash { nodes, down })
        };
        // Longer than a worker lease of 14 s and the 26 s for which a leader answers
        // heartbeats without reaching the store.
        let outage = Fault::StateOutage { time: 50 * SECOND };
        let partition = Fault::CutZone {
            zone: 1,
            time: 30 * SECOND,
        };
        Scenario {
            faults: vec![
                leader_crash(70 * SECOND, SECOND / 5),
                leader_crash(90 * SECOND, 3 * SECOND),
                (100 * SECOND, outage),
                leader_crash(120 * SECOND, SECOND),
                leader_crash(160 * SECOND, SECOND),
                (170 * SECOND, partition),
                leader_crash(180 * SECOND, SECOND),
            ],
            jobs: 70,
            scale,
            large_site: true,
            ..Scenario::quiet(seed)
        }
    }

    /// A scenario without faults, the base of the others.
    pub fn quiet(seed: u64) -> Scenario {
        let busy = 200 * SECOND;
        Scenario {
            seed,
            form: SubmissionForm::Native,
            faults: Vec::new(),
            jobs: 14,
            large: None,
            nodes: 3,
            scale: 1,
            large_site: false,
            allocated: None,
            pipelines: 0,
            pipelines_from: SECOND,
            ends_at_call: None,
            small: false,
            varied: false,
            tight: false,
            stream: None,
            herd: None,
            upgrade: None,
            limits_fall: None,
            busy,
            end: busy + 500 * SECOND,
        }
    }
}
