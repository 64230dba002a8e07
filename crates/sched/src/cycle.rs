//! The scheduling cycle: assigns waiting tasks to free capacity, job by job.
//!
//! A cycle makes three passes over the job queue. Jobs are ordered by HFSP (Hadoop fair sojourn
//! protocol), a shortest-remaining-size-first discipline with ageing:
//!
//! 1. Services and tiny jobs.
//! 2. Training tasks, whose run times give an estimate of the job's size. The job with the
//!    smallest initial size comes first. Jobs whose tasks exceed what is left of the CPU share
//!    for training are skipped.
//! 3. All jobs that are not in the first pass, the smallest virtual size first. The virtual
//!    size of a job is its estimated work in CPU-seconds minus the service that it would have
//!    received under fair sharing. This ageing prevents the starvation of large jobs.
//!
//! Within each pass, jobs of higher priority come first
//! ([`crate::job_queue::QueueRank`] defines the full order).
//!
//! Jobs whose team is at its quota are skipped. When no machine has capacity for a job, all jobs
//! with equal [`PlacementRequirements`] are skipped as well.

use crate::candidates::CandidateCursor;
use crate::capacity_index::CapacityIndex;
use crate::job_queue::{JobQueue, QueueCursor, QueueSection, QueuedJob};
use crate::placement_policy::PlacementPolicy;
use crate::resources::{ROUNDING_TOLERANCE, to_millionths};
use crate::views::{JobIndex, JobView, MachineIndex, PlacementRequirements, TeamAllowance};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A decision to start tasks of a job on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the job that the tasks belong to.
    pub job: JobIndex,
    /// Index of the machine on which the tasks are to run.
    pub machine: MachineIndex,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the tasks use capacity that is reserved for services.
    pub uses_service_headroom: bool,
}

/// The result of a scheduling cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CycleResult {
    /// The assignments, in the order in which they were made.
    pub assignments: Vec<Assignment>,
    /// Number of jobs examined, a measure of the cost of the cycle.
    pub jobs_examined: usize,
}

/// The parameters of a cycle, besides quotas and free capacity.
#[derive(Debug, Clone, Copy)]
pub struct CycleLimits {
    /// The virtual time at which the cycle runs, in CPU-seconds
    /// (see [`crate::job_queue`]).
    pub virtual_time: f64,
    /// CPUs that the cycle may still assign to training tasks; may be negative.
    pub training_cpus: f64,
    /// On-demand CPUs per zone that jobs which may run on spot machines must leave free, for
    /// services that must start before a new machine could boot.
    pub service_headroom_cpus: f64,
}

/// Tasks of one job that were placed on the same machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement {
    pub machine: MachineIndex,
    pub tasks: u32,
    pub uses_service_headroom: bool,
}

/// Places up to `max_tasks` of the job's waiting tasks, each on the best machine.
///
/// If no other capacity is left for a starving job, one of its tasks is placed under a less
/// restrictive policy: in the service headroom or, as a last resort, on a machine that is cordoned
/// or on which the job failed. Otherwise the job could wait forever although machines are free. A
/// single task ends the starvation and leaves the rest of the headroom to services.
pub(crate) fn place_tasks(
    job: &mut JobView,
    capacity: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    service_headroom_cpus: f64,
    max_tasks: u32,
) -> Vec<Placement> {
    let standard = PlacementPolicy::Standard {
        service_headroom_cpus,
    };
    let mut placements = Placer::new(job, capacity, teams, standard, max_tasks).place();
    if !placements.is_empty() || !job.starving {
        return placements;
    }
    for policy in [PlacementPolicy::IgnoreHeadroom, PlacementPolicy::LastResort] {
        placements = Placer::new(job, capacity, teams, policy, max_tasks.min(1)).place();
        if !placements.is_empty() {
            break;
        }
    }
    for placement in &mut placements {
        placement.uses_service_headroom =
            capacity.uses_service_headroom(placement.machine, service_headroom_cpus, job);
    }
    placements
}

/// Places tasks of one job under one policy.
struct Placer<'p, 'a> {
    job: &'p mut JobView<'a>,
    capacity: &'p mut CapacityIndex,
    teams: &'p mut [TeamAllowance],
    policy: PlacementPolicy,
    /// Number of tasks still to be placed.
    remaining_tasks: u32,
    placements: Vec<Placement>,
}

impl<'p, 'a> Placer<'p, 'a> {
    fn new(
        job: &'p mut JobView<'a>,
        capacity: &'p mut CapacityIndex,
        teams: &'p mut [TeamAllowance],
        policy: PlacementPolicy,
        max_tasks: u32,
    ) -> Placer<'p, 'a> {
        Placer {
            remaining_tasks: max_tasks.min(job.waiting_tasks),
            job,
            capacity,
            teams,
            policy,
            placements: Vec::new(),
        }
    }

    /// Places the tasks on machines whose heartbeats arrive first, then on outbound-unreachable
    /// machines. The latter are not excluded, so that tasks still start while many machines or a
    /// whole zone are in that state, at the risk that their leases expire.
    fn place(mut self) -> Vec<Placement> {
        self.place_on_ranked_machines(false);
        if self.capacity.any_outbound_unreachable() {
            self.place_on_ranked_machines(true);
        }
        self.place_on_machines_without_cpus();
        self.placements
    }

    /// Fills machines with free CPUs, the best-ranked first.
    ///
    /// One search per machine gives the same placements as one search per task, at lower cost: a
    /// machine that is assigned a task moves up in the ranking, so it stays the best as long as
    /// more tasks fit on it, and an assignment never makes another machine eligible.
    fn place_on_ranked_machines(&mut self, outbound_unreachable: bool) {
        let mut candidates = CandidateCursor::new(self.job);
        while self.remaining_tasks > 0 && self.job.team_allows(self.teams) {
            let Some(machine) = candidates.next_candidate(self.capacity, self.job) else {
                break;
            };
            if self.capacity.is_outbound_unreachable(machine) == outbound_unreachable {
                self.fill_machine(machine);
            }
        }
    }

    /// Places tasks that require no CPUs on machines without free CPUs.
    fn place_on_machines_without_cpus(&mut self) {
        if self.remaining_tasks == 0 || to_millionths(self.job.spec.cpus) != 0 {
            return;
        }
        for machine in self.capacity.machines_without_free_cpus() {
            self.fill_machine(machine);
        }
    }

    fn fill_machine(&mut self, machine: MachineIndex) {
        let tasks = self.capacity.assign_tasks(
            machine,
            self.job,
            self.teams,
            self.policy,
            self.remaining_tasks,
        );
        if tasks > 0 {
            self.remaining_tasks -= tasks;
            self.placements.push(Placement {
                machine,
                tasks,
                uses_service_headroom: false,
            });
        }
    }
}

/// How to proceed with a job's sub-queue after the job was examined.
enum SubQueueDecision {
    /// Examine the next job of the sub-queue.
    Advance,
    /// Skip the rest of the sub-queue: none of its jobs can be placed in this pass.
    SkipRest,
}

/// Selects the tasks that a pass places.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TaskSelection {
    All,
    TrainingOnly,
}

impl TaskSelection {
    /// The number of tasks of the job that may be placed; `None` if a training task exceeds the
    /// remaining CPUs for training.
    fn max_tasks(self, job: &JobView, training_cpus: f64) -> Option<u32> {
        match self {
            TaskSelection::All => Some(u32::MAX),
            TaskSelection::TrainingOnly => match affordable_tasks(training_cpus, job.spec.cpus) {
                0 => None,
                affordable => Some(affordable.min(job.training_tasks)),
            },
        }
    }
}

/// The state of one scheduling cycle.
struct Cycle<'a, 'c, V> {
    /// Returns the view of a queued job.
    view_job: V,
    capacity: &'c mut CapacityIndex,
    teams: &'c mut [TeamAllowance],
    limits: CycleLimits,
    /// Views of the jobs examined, including the changes made by the cycle.
    job_views: BTreeMap<JobIndex, JobView<'a>>,
    /// Requirements for which no machine has capacity left.
    exhausted_requirements: BTreeSet<Rc<PlacementRequirements>>,
    assignments: Vec<Assignment>,
}

impl<'a, V: Fn(JobIndex) -> Option<JobView<'a>>> Cycle<'a, '_, V> {
    /// Runs one pass: places tasks of the jobs of one section of the queue, in order.
    fn run_section(&mut self, mut cursor: QueueCursor<'_>, selection: TaskSelection) {
        while let Some(queued) = cursor.next_job() {
            match self.place_job(&queued, selection) {
                SubQueueDecision::Advance => cursor.advance(queued.sub_queue),
                SubQueueDecision::SkipRest => {}
            }
        }
    }

    /// Places tasks of one queued job.
    fn place_job(&mut self, queued: &QueuedJob<'_>, selection: TaskSelection) -> SubQueueDecision {
        if self.exhausted_requirements.contains(queued.requirements) {
            return SubQueueDecision::SkipRest;
        }
        let job = match self.job_views.entry(queued.index) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => match (self.view_job)(queued.index) {
                Some(job) => entry.insert(job),
                None => return SubQueueDecision::Advance,
            },
        };
        // All jobs of a sub-queue have the same team and the same resource requirements.
        if !job.team_allows(self.teams) {
            return SubQueueDecision::SkipRest;
        }
        let Some(max_tasks) = selection.max_tasks(job, self.limits.training_cpus) else {
            return SubQueueDecision::SkipRest;
        };
        let headroom_cpus = self.limits.service_headroom_cpus;
        let placements = place_tasks(job, self.capacity, self.teams, headroom_cpus, max_tasks);
        let placed_tasks: u32 = placements.iter().map(|placement| placement.tasks).sum();
        self.assignments
            .extend(placements.iter().map(|placement| Assignment {
                job: queued.index,
                machine: placement.machine,
                tasks: placement.tasks,
                uses_service_headroom: placement.uses_service_headroom,
            }));
        job.starving &= placed_tasks == 0;
        if selection == TaskSelection::TrainingOnly {
            self.limits.training_cpus -= f64::from(placed_tasks) * job.spec.cpus;
        }
        let tasks_left =
            placed_tasks < max_tasks && job.waiting_tasks > 0 && job.team_allows(self.teams);
        let policy = PlacementPolicy::for_requirements(queued.requirements, headroom_cpus);
        if tasks_left && !self.capacity.any_machine_fits(job, policy) {
            self.exhausted_requirements
                .insert(queued.requirements.clone());
            return SubQueueDecision::SkipRest;
        }
        SubQueueDecision::Advance
    }
}

/// How many tasks of `task_cpus` each fit into `available_cpus`.
fn affordable_tasks(available_cpus: f64, task_cpus: f64) -> u32 {
    if task_cpus > ROUNDING_TOLERANCE {
        // A cast from a float saturates.
        ((available_cpus + ROUNDING_TOLERANCE) / task_cpus).max(0.0) as u32
    } else {
        u32::MAX
    }
}

/// Runs one scheduling cycle (see the [module](self)).
///
/// `view_job` returns the view of a queued job, or `None` for a job that is to be skipped.
/// `capacity` and `teams` are updated with the assignments.
pub fn run_cycle<'a>(
    queue: &JobQueue,
    view_job: impl Fn(JobIndex) -> Option<JobView<'a>>,
    capacity: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    limits: CycleLimits,
) -> CycleResult {
    let mut cycle = Cycle {
        view_job,
        capacity,
        teams,
        limits,
        job_views: BTreeMap::new(),
        exhausted_requirements: BTreeSet::new(),
        assignments: Vec::new(),
    };
    for (section, selection) in [
        (QueueSection::Urgent, TaskSelection::All),
        (QueueSection::Training, TaskSelection::TrainingOnly),
        (QueueSection::Regular, TaskSelection::All),
    ] {
        cycle.run_section(queue.cursor(section, limits.virtual_time), selection);
    }
    CycleResult {
        jobs_examined: cycle.job_views.len(),
        assignments: cycle.assignments,
    }
}
