//! The scheduling cycle: assigns waiting tasks to free capacity, job by job.
//!
//! A cycle goes over the job queue three times, in the order of HFSP (the Hadoop fair
//! sojourn protocol, a shortest-remaining-size-first discipline with ageing):
//!
//! 1. services and tiny jobs;
//! 2. training tasks, the job of the smallest initial size first, until training tasks use
//!    their share of the CPUs: their run times tell how large the job is;
//! 3. all other jobs, the smallest virtual size first. The virtual size of a job is its
//!    estimated work in CPU seconds, less what it would have been served under fair sharing;
//!    this ageing keeps large jobs from waiting for ever.
//!
//! Within each of the three, a job of higher priority comes before all of lower priority
//! ([`crate::job_queue::QueueRank`] has the full order).
//!
//! Jobs whose team is at its quota are skipped. When a job finds no capacity, all jobs with an
//! equal [`ResourceRequest`] are skipped as well.

use crate::candidates::CandidateCursor;
use crate::capacity_index::CapacityIndex;
use crate::job_queue::{JobQueue, QueueCursor, QueueSection, QueuedJob};
use crate::placement_policy::PlacementPolicy;
use crate::resources::{ROUNDING_TOLERANCE, to_millionths};
use crate::views::{JobIndex, JobView, MachineIndex, ResourceRequest, TeamAllowance};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A decision to start tasks of a job on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Whose tasks.
    pub job: JobIndex,
    /// Where they are to run.
    pub machine: MachineIndex,
    /// How many.
    pub tasks: u32,
    /// Whether they use capacity that is reserved for services.
    pub uses_service_headroom: bool,
}

/// What a scheduling cycle decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CycleResult {
    /// The placements, in the order in which they were decided.
    pub assignments: Vec<Assignment>,
    /// How many jobs were looked at, a measure of what the cycle cost.
    pub jobs_examined: usize,
}

/// What bounds a cycle besides quotas and free capacity.
#[derive(Debug, Clone, Copy)]
pub struct CycleLimits {
    /// The virtual time at which the cycle runs, in CPU seconds
    /// (see [`crate::job_queue`]).
    pub virtual_time: f64,
    /// CPUs that training tasks may still take.
    pub training_cpus: f64,
    /// On-demand CPUs per zone that work which may run on spot machines leaves to services
    /// that must start sooner than any machine can be rented.
    pub service_headroom_cpus: f64,
}

/// Tasks of one job that were placed on one machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement {
    pub machine: MachineIndex,
    pub tasks: u32,
    pub uses_service_headroom: bool,
}

/// Places up to `max_tasks` of the job's waiting tasks, each on the best machine.
///
/// A starving job for which no other capacity is left has one task placed where its kind is
/// normally not allowed: in the service headroom, or on a machine where it failed. When that
/// capacity was withheld without a limit in time, such a job once waited for ever beside free
/// machines. One task is enough to end the starvation, and leaves the rest of the headroom to
/// services.
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
            capacity.is_short_of_headroom(placement.machine, service_headroom_cpus, job);
    }
    placements
}

/// Places tasks of one job under one policy.
struct Placer<'p, 'a> {
    job: &'p mut JobView<'a>,
    capacity: &'p mut CapacityIndex,
    teams: &'p mut [TeamAllowance],
    policy: PlacementPolicy,
    /// How many tasks are still to be placed.
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

    /// Machines whose heartbeats do not arrive come last, for as long as there are any.
    /// Leaving them out cost replicas and job arrays more than what their expiring leases end:
    /// on days on which a third of the machines or a whole zone was in that state
    /// (docs/results.md).
    fn place(mut self) -> Vec<Placement> {
        self.place_on_ranked_machines(false);
        if self.capacity.any_outbound_unreachable() {
            self.place_on_ranked_machines(true);
        }
        self.place_on_machines_without_cpus();
        self.placements
    }

    /// Fills machines with free CPUs, the best first.
    ///
    /// A machine that has taken a task ranks higher than before, so it stays the best while it
    /// may take more; and taking one never makes another machine eligible. Looking for the best
    /// machine anew for every task would place them the same, at many times the cost.
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

    /// Tasks that need no CPUs may also go where none are left.
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

/// What becomes of the sub-queue of a job that was looked at.
enum SubQueueDecision {
    /// The next job of the sub-queue takes its turn.
    Advance,
    /// No other job of the sub-queue can be placed in this section of the queue.
    Leave,
}

/// Which tasks of the jobs are placed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TaskSelection {
    All,
    TrainingOnly,
}

impl TaskSelection {
    /// How many tasks of the job may be placed; None if training tasks have used up their CPUs.
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
    /// Gives the view of a job of the queue.
    view_job: V,
    capacity: &'c mut CapacityIndex,
    teams: &'c mut [TeamAllowance],
    limits: CycleLimits,
    /// Views of the jobs that were looked at, as the cycle has changed them.
    job_views: BTreeMap<JobIndex, JobView<'a>>,
    /// Requests for which no capacity is left.
    exhausted_requests: BTreeSet<Rc<ResourceRequest>>,
    assignments: Vec<Assignment>,
}

impl<'a, V: Fn(JobIndex) -> Option<JobView<'a>>> Cycle<'a, '_, V> {
    /// Places tasks of the jobs of one section of the queue, in order.
    fn run_section(&mut self, mut cursor: QueueCursor<'_>, selection: TaskSelection) {
        while let Some(queued) = cursor.next_job() {
            match self.place_job(&queued, selection) {
                SubQueueDecision::Advance => cursor.advance(queued.sub_queue),
                SubQueueDecision::Leave => {}
            }
        }
    }

    /// Places tasks of the job whose turn it is.
    fn place_job(&mut self, queued: &QueuedJob<'_>, selection: TaskSelection) -> SubQueueDecision {
        if self.exhausted_requests.contains(queued.request) {
            return SubQueueDecision::Leave;
        }
        let job = match self.job_views.entry(queued.index) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(unknown) => match (self.view_job)(queued.index) {
                Some(job) => unknown.insert(job),
                None => return SubQueueDecision::Advance,
            },
        };
        // The jobs of a sub-queue have the same team and need the same.
        if !job.team_allows(self.teams) {
            return SubQueueDecision::Leave;
        }
        let Some(max_tasks) = selection.max_tasks(job, self.limits.training_cpus) else {
            return SubQueueDecision::Leave;
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
        let policy = PlacementPolicy::for_request(queued.request, headroom_cpus);
        if tasks_left && !self.capacity.any_machine_fits(job, policy) {
            self.exhausted_requests.insert(queued.request.clone());
            return SubQueueDecision::Leave;
        }
        SubQueueDecision::Advance
    }
}

/// How many tasks of so many CPUs each fit into `available_cpus`.
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
/// `view_job` gives the view of a job of the queue, or None for a job that is to be skipped.
/// `capacity` and `teams` are left as they are once all assignments are applied.
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
        exhausted_requests: BTreeSet::new(),
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
