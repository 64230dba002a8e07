//! One pass: fills free room.

use crate::capacity_index::{CandidateIter, CapacityIndex, PlacementPolicy};
use crate::job_queue::{JobQueue, QueueCursor, QueueSection};
use crate::resources::ROUNDING_TOLERANCE;
use crate::views::{JobView, ResourceRequest, SlabIndex, TeamAllowance};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// So many tasks of the job go to the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    pub job: SlabIndex,
    pub machine: SlabIndex,
    pub tasks: u32,
    /// It takes room that was kept for services.
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

/// What bounds a pass besides teams and room.
#[derive(Debug, Clone, Copy)]
pub struct CycleLimits {
    /// The reading of the line's clock.
    pub virtual_time: f64,
    /// CPUs that training tasks may still take.
    pub training_cpus: f64,
    /// Ordinary room per zone, in CPUs, that work which may run on spot machines
    /// leaves to services that must start sooner than any machine can be rented.
    pub service_headroom_cpus: f64,
}

/// Places up to `most` tasks of the job, each on the best machine there is. `made` is
/// told where, how many, and whether that takes room that was kept for services.
///
/// A starving job that finds no other room has one task placed in what is kept from its
/// like: for services, or else for having failed there. Kept without a bound in time, that
/// room once left it waiting for ever beside free machines. One task is enough for it to
/// starve no more, and leaves the rest of the reserve to whom it is for.
///
/// A machine that has taken a task ranks higher than before, so it stays the
/// best while it may take more; and taking one never opens a machine that was
/// closed. Looking for the best one anew for every task would place them the
/// same, at many times the cost.
pub fn place_tasks(
    job: &mut JobView,
    floor: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    service_headroom: f64,
    most: u32,
    mut made: impl FnMut(SlabIndex, u32, bool),
) {
    let kept = PlacementPolicy::Standard(service_headroom);
    let placed = fill_with(job, floor, teams, kept, most, |machine, tasks| {
        made(machine, tasks, false);
    });
    if placed > 0 || !job.starving {
        return;
    }
    for kept in [PlacementPolicy::IgnoreHeadroom, PlacementPolicy::LastResort] {
        let mut at = None;
        fill_with(job, floor, teams, kept, most.min(1), |machine, _| {
            at = Some(machine);
        });
        if let Some(machine) = at {
            return made(
                machine,
                1,
                floor.is_short_of_headroom(machine, service_headroom, job),
            );
        }
    }
}

/// The same for one way of filling; returns how many it placed.
fn fill_with(
    job: &mut JobView,
    floor: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    kept: PlacementPolicy,
    most: u32,
    mut made: impl FnMut(SlabIndex, u32),
) -> u32 {
    let wanted = most.min(job.waiting_tasks);
    let mut left = wanted;
    // Mute machines come last, for as long as there are any. Left out, they cost replicas
    // and arrays more than what their leases end: on days on which a third of the machines
    // or a whole zone was mute (docs/results.md).
    for mute in [false, true] {
        let mut tour = CandidateIter::new(job);
        while left > 0 && (!mute || floor.any_outbound_unreachable()) && job.team_allows(teams) {
            let Some(machine) = tour.next(floor, job) else {
                break;
            };
            if floor.is_outbound_unreachable(machine) != mute {
                continue;
            }
            let tasks = floor.assign_tasks(machine, job, teams, kept, left);
            if tasks > 0 {
                left -= tasks;
                made(machine, tasks);
            }
        }
    }
    if left > 0 && crate::to_millionths(job.spec.cpus) == 0 {
        // What needs no CPUs may go where none are left.
        for machine in floor.machines_without_free_cpus() {
            let tasks = floor.assign_tasks(machine, job, teams, kept, left);
            if tasks > 0 {
                left -= tasks;
                made(machine, tasks);
            }
        }
    }
    wanted - left
}

struct Cycle<'a, 'f, V> {
    view: V,
    floor: &'f mut CapacityIndex,
    teams: &'f mut [TeamAllowance],
    terms: CycleLimits,
    /// Views of the jobs that were looked at.
    seen: BTreeMap<SlabIndex, JobView<'a>>,
    /// Shapes for which there is no room left.
    closed: BTreeSet<Rc<ResourceRequest>>,
    made: Vec<Assignment>,
}

impl<'a, V: Fn(SlabIndex) -> Option<JobView<'a>>> Cycle<'a, '_, V> {
    /// Serves jobs in the order of the walk; `training` tells that only training
    /// tasks are placed.
    fn serve(&mut self, mut walk: QueueCursor<'_>, training: bool) {
        while let Some(turn) = walk.next_job() {
            if self.closed.contains(turn.request) {
                continue;
            }
            let job = match self.seen.entry(turn.index) {
                std::collections::btree_map::Entry::Occupied(e) => e.into_mut(),
                std::collections::btree_map::Entry::Vacant(e) => match (self.view)(turn.index) {
                    Some(job) => e.insert(job),
                    None => {
                        walk.advance(turn.sub_queue);
                        continue;
                    }
                },
            };
            // Jobs of a lane have the same team and need the same.
            if !job.team_allows(self.teams) {
                continue;
            }
            let cpus = job.spec.cpus;
            let most = if training {
                let affordable = if cpus > ROUNDING_TOLERANCE {
                    // A float's cast to an integer saturates.
                    ((self.terms.training_cpus + ROUNDING_TOLERANCE) / cpus).max(0.0) as u32
                } else {
                    u32::MAX
                };
                if affordable == 0 {
                    continue;
                }
                affordable.min(job.training_tasks)
            } else {
                u32::MAX
            };
            let made = &mut self.made;
            let mut placed = 0;
            let reserve = self.terms.service_headroom_cpus;
            place_tasks(
                job,
                self.floor,
                self.teams,
                reserve,
                most,
                |machine, tasks, of_reserve| {
                    placed += tasks;
                    made.push(Assignment {
                        job: turn.index,
                        machine,
                        tasks,
                        uses_service_headroom: of_reserve,
                    });
                },
            );
            job.starving &= placed == 0;
            if training {
                self.terms.training_cpus -= f64::from(placed) * cpus;
            }
            let short = placed < most && job.waiting_tasks > 0 && job.team_allows(self.teams);
            if short
                && !self
                    .floor
                    .any(job, PlacementPolicy::from(turn.request, reserve))
            {
                self.closed.insert(turn.request.clone());
                continue;
            }
            walk.advance(turn.sub_queue);
        }
    }
}

/// One pass: fills free room. `view` tells what a job of the line is like. The
/// floor and the teams are left as they are after the pass.
pub fn run_cycle<'a>(
    line: &JobQueue,
    view: impl Fn(SlabIndex) -> Option<JobView<'a>>,
    floor: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    terms: CycleLimits,
) -> CycleResult {
    let mut pass = Cycle {
        view,
        floor,
        teams,
        terms,
        seen: BTreeMap::new(),
        closed: BTreeSet::new(),
        made: Vec::new(),
    };
    pass.serve(line.cursor(QueueSection::Urgent, terms.virtual_time), false);
    pass.serve(
        line.cursor(QueueSection::Training, terms.virtual_time),
        true,
    );
    pass.serve(
        line.cursor(QueueSection::Regular, terms.virtual_time),
        false,
    );
    CycleResult {
        jobs_examined: pass.seen.len(),
        assignments: pass.made,
    }
}
