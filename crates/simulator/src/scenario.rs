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
    PeerPartition { node: usize, time: Micros },
    /// The store refuses all calls except watches, which stay open without changes.
    StoreOutage { time: Micros },
    /// The store refuses the calls of one node except watches, which stay open without
    /// changes.
    StoreRefusal { node: usize, time: Micros },
    /// Network partition between a node and the store. Calls are delivered when it ends; their
    /// replies and the watch batches sent meanwhile are lost.
    StorePartition { node: usize, time: Micros },
    /// Network partition between a node and all workers. Calls are delivered when it ends;
    /// their replies are lost.
    WorkerPartition { node: usize, time: Micros },
    /// Network partition between the workers of a zone and all nodes. Calls are delivered
    /// when it ends; their replies are lost.
    ZoneWorkerPartition { zone: usize, time: Micros },
    /// Network partition between a zone, with its nodes and workers, and everything outside
    /// it: other zones, the store, the cloud and users. Messages within the zone are not
    /// affected. Without a zone, the zone of the current leader is partitioned.
    ZonePartition {
        zone: Option<usize>,
        time: Micros,
        mode: PartitionMode,
    },
    /// Some machines hang: they execute nothing and continue later.
    Hang { machines: usize, time: Micros },
    /// Some machines fail without notice.
    MachineFailure { machines: usize },
    /// All spot instances are preempted, after the notice if there is one.
    SpotPreemption { notice: Option<Micros> },
    /// The cloud refuses all calls.
    CloudOutage { time: Micros },
    /// Unreliable network: answers are lost, and requests are executed up to a minute late.
    UnreliableNetwork { time: Micros },
    /// Every task that starts on one of the machines fails.
    FaultyMachine,
    /// Machines rented meanwhile take `time_factor` times as long to boot (0: no time), and one
    /// in `failure_one_in` does not boot.
    BootDelays {
        time: Micros,
        time_factor: u64,
        failure_one_in: u64,
    },
    /// Users poll eight times as often.
    FrequentPolls { time: Micros },
    /// The store refuses one in five requests as over its rate limit.
    StoreOverload { time: Micros },
    /// The store executes and answers requests up to three seconds after their arrival.
    SlowStore { time: Micros },
    /// One third of the transactions get no answer and are executed 2 to 12 s later, after
    /// newer ones of the same node.
    DelayedWrites { time: Micros },
    /// Half of the heartbeats are duplicated. The copy arrives at any node, 2 s to two worker
    /// leases later.
    DuplicateHeartbeats { time: Micros },
    /// All answers and commands to this many machines are lost. Their heartbeats arrive.
    InboundLoss { machines: usize, time: Micros },
    /// This many machines, of one zone if one is given, cannot connect to any node.
    /// Commands reach them.
    HeartbeatLoss {
        machines: usize,
        zone: Option<usize>,
        time: Micros,
    },
    /// Replies to the heartbeats of this many machines take 1 to 3.8 s, so that the worker just
    /// accepts them. Command batches and their replies, on other connections, take up to 300 ms.
    SlowLinks { machines: usize, time: Micros },
    /// This percentage of the transactions are executed at once, but their answers are lost.
    LostWriteReplies { percent: u8, time: Micros },
    /// This percentage of the command batches, transactions, lease requests, cloud requests and
    /// peer messages that were carried out arrive once more, up to three times, milliseconds to
    /// minutes later. The answers to the copies are lost.
    LateCopies { percent: u8, time: Micros },
    /// This percentage of the heartbeats are duplicated. The copies arrive at every node
    /// within 600 ms after the next election.
    HeartbeatsForNextLeader { percent: u8, time: Micros },
    /// Users poll all nodes and repeat the submission within milliseconds after a job was
    /// accepted, has ended or was confirmed as cancelled.
    ExtraRequests { time: Micros },
    /// This percentage of the users cancel their job immediately after its acceptance.
    CancelOnAcceptance { percent: u8, time: Micros },
    /// For this percentage of the jobs, a cancellation, a poll and a repeated submission
    /// arrive when their last task ends.
    CancelOnCompletion { percent: u8, time: Micros },
    /// Users cancel this many running jobs within 200 ms, while up to eight of their
    /// machines hang.
    CancelRunningJobs { jobs: usize, hang: Micros },
    /// Users cancel this many unfinished jobs on which others depend, within 200 ms.
    CancelNeededJobs { jobs: usize },
    /// Users repeat submissions of unfinished jobs, some with other content, cancel jobs that
    /// are done, and send submissions that are invalid or cannot run.
    IrregularRequests { time: Micros },
    /// This many machines of a zone fail without notice.
    ZoneMachineFailure { machines: usize, zone: usize },
    /// All nodes crash. Node `first_node` restarts after `first_down`, the others after
    /// `others_down`.
    AllNodesCrash {
        first_node: usize,
        first_down: Micros,
        others_down: Micros,
    },
}

// Salts that give each scenario a random generator of its own for the same seed.
const LEADER_ZONE_PARTITIONS_SEED_SALT: u64 = 0x0c07;
const PIPELINES_SEED_SALT: u64 = 0xa3a1;

/// Node index in a fault that means the leader when the fault begins, or the last node if
/// there is no leader.
pub const LEADER: usize = usize::MAX;

impl Fault {
    /// Duration of the fault; 0 if it is instantaneous.
    pub fn duration(&self) -> Micros {
        match self {
            Fault::Crash { down, .. } => *down,
            Fault::AllNodesCrash { others_down, .. } => *others_down,
            Fault::Pause { time, .. }
            | Fault::PeerPartition { time, .. }
            | Fault::StoreOutage { time }
            | Fault::StoreRefusal { time, .. }
            | Fault::StorePartition { time, .. }
            | Fault::WorkerPartition { time, .. }
            | Fault::ZoneWorkerPartition { time, .. }
            | Fault::ZonePartition { time, .. }
            | Fault::Hang { time, .. }
            | Fault::CloudOutage { time }
            | Fault::UnreliableNetwork { time }
            | Fault::BootDelays { time, .. }
            | Fault::FrequentPolls { time }
            | Fault::StoreOverload { time }
            | Fault::SlowStore { time }
            | Fault::DelayedWrites { time }
            | Fault::DuplicateHeartbeats { time }
            | Fault::ExtraRequests { time }
            | Fault::CancelOnAcceptance { time, .. }
            | Fault::CancelOnCompletion { time, .. }
            | Fault::CancelRunningJobs { hang: time, .. }
            | Fault::IrregularRequests { time }
            | Fault::LateCopies { time, .. }
            | Fault::LostWriteReplies { time, .. }
            | Fault::HeartbeatsForNextLeader { time, .. }
            | Fault::HeartbeatLoss { time, .. }
            | Fault::SlowLinks { time, .. }
            | Fault::InboundLoss { time, .. } => *time,
            Fault::MachineFailure { .. }
            | Fault::CancelNeededJobs { .. }
            | Fault::ZoneMachineFailure { .. }
            | Fault::FaultyMachine => 0,
            Fault::SpotPreemption { notice } => notice.unwrap_or(0),
        }
    }
}

/// The point of a call to the store at which the calling process crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the store executes the call, which is lost.
    BeforeExecution,
    /// After the store has executed the call, before the answer arrives.
    AfterExecution,
    /// 10 ms after the execution, when the process has usually handled the answer.
    AfterAnswer,
}

/// How a network partition of a zone treats messages across its boundary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionMode {
    /// Calls are delivered when the partition ends, without a reply; other messages are
    /// delayed until then.
    Delayed,
    Lost,
    /// Messages to the zone are delayed until the partition ends; messages from it pass.
    InboundDelayed,
    /// Messages from the zone are delayed until the partition ends; messages to it pass.
    OutboundDelayed,
}

/// The API through which users submit batch jobs. Services use the native API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SubmissionForm {
    /// The native API.
    #[default]
    Native,
    /// The native API, with the job ids that Kubernetes Jobs would have.
    NativeWithKubernetesIds,
    /// Created as Kubernetes Jobs, polled and cancelled through the native API. Apart from
    /// the creation it is the same as `NativeWithKubernetesIds`.
    KubernetesCreateOnly,
    /// Kubernetes Jobs only.
    Kubernetes,
    /// Every second job as a Kubernetes Job.
    Mixed,
}

impl SubmissionForm {
    /// Whether any job is submitted as a Kubernetes Job.
    pub fn uses_kubernetes(self) -> bool {
        matches!(
            self,
            SubmissionForm::KubernetesCreateOnly
                | SubmissionForm::Kubernetes
                | SubmissionForm::Mixed
        )
    }
}

/// A limit of the store's writes per second that is lowered during the run. The controllers know
/// both limits, but not when the lower one applies.
#[derive(Debug, Clone, Copy)]
pub struct LoweredWriteRate {
    pub at: Micros,
    pub before_per_s: f64,
    pub after_per_s: f64,
}

/// Users who poll at a fixed interval, each with a job of one task.
#[derive(Debug, Clone, Copy)]
pub struct RegularPolls {
    /// The number of the users.
    pub jobs: usize,
    /// When the last of the jobs are submitted.
    pub submitted_until: Micros,
    /// By how much the time between two polls may differ from the interval.
    pub variation: Micros,
}

/// The workload, environment and faults of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub form: SubmissionForm,
    /// Faults with the times at which they begin.
    pub faults: Vec<(Micros, Fault)>,
    /// Number of independent jobs. Pipelines, the single-task stream and the dependents of a
    /// cancelled job are additional.
    pub jobs: usize,
    /// Number of tasks of the first job, if it is to be a very large batch job.
    pub large_job_tasks: Option<u32>,
    /// Number of controllers.
    pub nodes: usize,
    /// Multiplies the size of the jobs, the limits and the capacity of the cloud.
    pub scale: u32,
    /// Use the limits of the largest supported cluster, and add one to two minutes to the run
    /// time of each task.
    pub large_site: bool,
    /// Returns the number of allocated bytes, if the caller measures memory.
    pub allocated_bytes: Option<fn() -> usize>,
    /// Number of pipelines of jobs that depend on each other.
    pub pipelines: usize,
    /// When users begin to submit pipelines.
    pub pipelines_from: Micros,
    /// The node that makes the store call with this number crashes at this point of the call
    /// and restarts after 200 ms.
    pub crash_at_call: Option<(u64, CrashPoint)>,
    /// Half of the jobs have two or three tasks, and a third of the users who would not
    /// cancel their jobs otherwise do.
    pub small_jobs: bool,
    /// More jobs are restricted to one zone, the tasks of some run 20 to 70 s longer, and
    /// with `tight_quotas` some request a GPU.
    pub varied_jobs: bool,
    /// Every team has quotas that it reaches, including one for GPUs.
    pub tight_quotas: bool,
    /// Start and duration of a period in which users submit four single-task jobs per second
    /// and cancel a quarter of them.
    pub single_task_stream: Option<(Micros, Micros)>,
    /// Number of jobs that depend on a job which is cancelled.
    pub cancelled_dependents: Option<u32>,
    /// Rolling upgrade: when the first node is replaced by the new version, and the time
    /// between two replacements. Until its replacement, a node uses the limits and the chunk
    /// size of the old version.
    pub upgrade: Option<(Micros, Micros)>,
    /// When the store lowers its limits.
    pub limits_lowered_at: Option<Micros>,
    /// The limit of the store's writes per second; `None` if there is none.
    pub lowered_write_rate: Option<LoweredWriteRate>,
    /// Users who poll at a fixed interval; `None` if there are none.
    pub regular_polls: Option<RegularPolls>,
    /// End of the submissions and faults. The remaining time is for the jobs to finish.
    pub activity_end: Micros,
    /// End of the simulation.
    pub end: Micros,
}

impl Scenario {
    /// [`Scenario::random`] with additional faults: paused nodes, partitions between nodes,
    /// slow boots, poll storms and rate limiting. They are drawn from a separate random
    /// generator, so that the faults of `random` are unchanged.
    pub fn with_additional_faults(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let mut rng = Rng::with_seed(!seed);
        for _ in 0..rng.usize(2..7) {
            let at = rng.u64(15 * SECOND..scenario.activity_end - 10 * SECOND);
            let time = rng.u64(2 * SECOND..80 * SECOND);
            let node = rng.usize(..3);
            let fault = match rng.u8(..6) {
                0 | 1 => Fault::Pause { node, time },
                2 => Fault::PeerPartition { node, time },
                3 => Fault::BootDelays {
                    time,
                    time_factor: rng.u64(..7),
                    failure_one_in: rng.u64(2..9),
                },
                4 => Fault::FrequentPolls { time },
                _ => Fault::StoreOverload { time },
            };
            scenario.faults.push((at, fault));
        }
        scenario
    }

    /// [`Scenario::random`] with network partitions of the leader's zone in every mode, and
    /// of other zones shortly before.
    pub fn leader_zone_partitions(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(32) ^ LEADER_ZONE_PARTITIONS_SEED_SALT);
        for _ in 0..rng.usize(1..4) {
            let at = rng.u64(30 * SECOND..scenario.activity_end - 10 * SECOND);
            let mut add_partition = |rng: &mut Rng, at, zone| {
                let time = rng.u64(3 * SECOND..90 * SECOND);
                let mode = match rng.u8(..6) {
                    0..3 => PartitionMode::Delayed,
                    3 => PartitionMode::Lost,
                    4 => PartitionMode::InboundDelayed,
                    _ => PartitionMode::OutboundDelayed,
                };
                scenario
                    .faults
                    .push((at, Fault::ZonePartition { zone, time, mode }));
            };
            add_partition(&mut rng, at, None);
            let other = rng.usize(..6);
            if other < 3 {
                let before = rng.u64(..30 * SECOND);
                add_partition(&mut rng, at - before, Some(other));
            }
        }
        scenario
    }

    /// [`Scenario::with_additional_faults`] with a rolling upgrade, pipelines, and a store that
    /// lowers its limits.
    pub fn pipelines(seed: u64) -> Scenario {
        let mut scenario = Scenario::with_additional_faults(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(11) ^ PIPELINES_SEED_SALT);
        let first = rng.u64(10 * SECOND..50 * SECOND);
        let every = rng.u64(SECOND..15 * SECOND);
        let upgrade_end = first + 2 * every;
        let upgraded = rng.u8(..4) > 0;
        if upgraded {
            scenario.upgrade = Some((first, every));
            let lowered_at = rng.u64(upgrade_end + 5 * SECOND..scenario.activity_end);
            scenario.limits_lowered_at = (rng.u8(..5) > 0).then_some(lowered_at);
            // The job is large enough for chunks that exceed the lowered limits.
            scenario.large_job_tasks = Some(rng.u32(250..500));
        }
        // Teams with small quotas need this time to finish the additional jobs.
        scenario.end = scenario.activity_end + 1200 * SECOND;
        scenario.pipelines = rng.usize(2..8);
        scenario.pipelines_from = if upgraded {
            upgrade_end + 4 * SECOND
        } else {
            SECOND
        };
        scenario
    }

    /// A small workload in which a process crashes at one call to the store. Three
    /// consecutive seeds cover the three points of the same call.
    pub fn crash_at_call(seed: u64) -> Scenario {
        let points = [
            CrashPoint::BeforeExecution,
            CrashPoint::AfterExecution,
            CrashPoint::AfterAnswer,
        ];
        let activity_end = 40 * SECOND;
        Scenario {
            crash_at_call: Some((seed / 3, points[(seed % 3) as usize])),
            jobs: 5,
            pipelines: 1,
            small_jobs: true,
            activity_end,
            end: activity_end + 300 * SECOND,
            ..Scenario::quiet(4)
        }
    }

    /// Random faults, several of which are active at the same time.
    pub fn random(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed);
        let activity_end = Scenario::quiet(seed).activity_end;
        let faults = (0..rng.usize(4..14))
            .map(|_| {
                let at = rng.u64(15 * SECOND..activity_end - 10 * SECOND);
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
                    3 => Fault::StoreOutage { time: time / 2 },
                    4 => Fault::StoreRefusal { node: n, time },
                    5 => Fault::StorePartition { node: n, time },
                    6 => Fault::WorkerPartition { node: n, time },
                    7 => Fault::ZoneWorkerPartition { zone: n, time },
                    8 => Fault::Hang {
                        machines: 2 * n + 1,
                        time,
                    },
                    9 => Fault::SpotPreemption {
                        notice: (n > 0).then_some(time / 3),
                    },
                    10 => Fault::CloudOutage { time },
                    11 => Fault::MachineFailure { machines: n + 1 },
                    _ => Fault::UnreliableNetwork { time },
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

    /// A large fleet: compared with the other scenarios, the cloud offers `scale` times as
    /// many machines and users submit `scale` times as many tasks. Leaders crash at
    /// different sizes of the fleet, the store is unavailable until all worker leases have
    /// expired, and a zone is partitioned.
    pub fn large_fleet(seed: u64, scale: u32) -> Scenario {
        let leader_crash = |at, down| {
            let nodes = vec![LEADER];
            (at, Fault::Crash { nodes, down })
        };
        // The outage is longer than a worker lease of 14 s and the 26 s for which a leader
        // answers heartbeats without reaching the store, taken together.
        let outage = Fault::StoreOutage { time: 50 * SECOND };
        let partition = Fault::ZoneWorkerPartition {
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

    /// The base of the other scenarios, without scheduled faults. Rare rate limiting, failed
    /// boots and slow messages remain.
    pub fn quiet(seed: u64) -> Scenario {
        let activity_end = 200 * SECOND;
        Scenario {
            seed,
            form: SubmissionForm::Native,
            faults: Vec::new(),
            jobs: 14,
            large_job_tasks: None,
            nodes: 3,
            scale: 1,
            large_site: false,
            allocated_bytes: None,
            pipelines: 0,
            pipelines_from: SECOND,
            crash_at_call: None,
            small_jobs: false,
            varied_jobs: false,
            tight_quotas: false,
            single_task_stream: None,
            cancelled_dependents: None,
            upgrade: None,
            limits_lowered_at: None,
            lowered_write_rate: None,
            regular_polls: None,
            activity_end,
            end: activity_end + 500 * SECOND,
        }
    }
}
