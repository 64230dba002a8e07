//! Iteration over the candidate machines for a job, in the order in which they are tried.

use crate::capacity_index::CapacityIndex;
use crate::machine_ranking::{CapacityKey, MachineRanking, ServiceImagesKey};
use crate::resources::to_millionths;
use crate::views::{JobView, MachineIndex};
use std::collections::BTreeSet;
use std::ops::Bound;

/// A group of candidate machines: those of one kind (spot or on-demand) that hold the job's image,
/// or those that do not. Groups are tried one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CandidateGroup {
    /// Whether the group consists of spot machines. If not, it consists of on-demand machines.
    pub spot: bool,
    /// Whether the machines of the group hold the job's image. If not, none of them holds it.
    pub holds_image: bool,
}

const fn group(spot: bool, holds_image: bool) -> CandidateGroup {
    CandidateGroup { spot, holds_image }
}

/// The groups for jobs that may run on spot machines, in the order in which they are tried.
const GROUPS_WITH_SPOT: [CandidateGroup; 4] = [
    group(true, true),
    group(true, false),
    group(false, true),
    group(false, false),
];

/// The groups for all other jobs, in the order in which they are tried.
const ON_DEMAND_GROUPS: [CandidateGroup; 2] = [group(false, true), group(false, false)];

fn candidate_groups(job: &JobView) -> &'static [CandidateGroup] {
    if job.spec.spot {
        &GROUPS_WITH_SPOT
    } else {
        &ON_DEMAND_GROUPS
    }
}

/// The key of the last machine that was returned from the current group.
#[derive(Debug, Clone, Copy)]
enum LastCandidate {
    None,
    ByCapacity(CapacityKey),
    ByServiceImages(ServiceImagesKey),
}

/// Iterates over the machines with enough free CPUs for a task of a job, the best first
/// (see [`crate::capacity_index`] for the order).
///
/// Takes the index as an argument on each call, because the caller changes it between calls.
/// A machine that is assigned a task moves up in the ranking, so the machines not yet returned
/// remain in order.
#[derive(Debug)]
pub(crate) struct CandidateCursor {
    /// Index of the current group in the list of groups.
    group: usize,
    last: LastCandidate,
    min_cpus_millionths: i64,
}

impl CandidateCursor {
    pub fn new(job: &JobView) -> CandidateCursor {
        CandidateCursor {
            group: 0,
            last: LastCandidate::None,
            min_cpus_millionths: to_millionths(job.spec.cpus).max(1),
        }
    }

    /// The next machine with enough free CPUs for a task.
    pub fn next_candidate(
        &mut self,
        capacity: &CapacityIndex,
        job: &JobView,
    ) -> Option<MachineIndex> {
        while let Some(group) = candidate_groups(job).get(self.group).copied() {
            let Some(machine) = self.next_in_group_ranking(capacity, group, job) else {
                self.group += 1;
                self.last = LastCandidate::None;
                continue;
            };
            if capacity.is_in_group(machine, group, job.image) {
                return Some(machine);
            }
        }
        None
    }

    /// The next machine of the group's ranking. The ranking may also contain machines that do not
    /// belong to the group.
    fn next_in_group_ranking(
        &mut self,
        capacity: &CapacityIndex,
        group: CandidateGroup,
        job: &JobView,
    ) -> Option<MachineIndex> {
        let ranking = capacity.ranking(group, job.image)?;
        self.next_in_ranking(ranking, group, job)
    }

    fn next_in_ranking(
        &mut self,
        ranking: &MachineRanking,
        group: CandidateGroup,
        job: &JobView,
    ) -> Option<MachineIndex> {
        if job.is_service() && !group.holds_image {
            self.next_worst_fit(ranking.by_capacity())
        } else if group.spot || job.is_service() {
            self.next_best_fit(ranking.by_capacity())
        } else {
            self.next_by_service_images(ranking.by_service_images())
        }
    }

    /// The machine with the least free capacity among those with enough CPUs.
    fn next_best_fit(&mut self, machines: &BTreeSet<CapacityKey>) -> Option<MachineIndex> {
        let from = match self.last {
            LastCandidate::ByCapacity(key) => Bound::Excluded(key),
            _ => Bound::Included(CapacityKey::min_with_cpus(self.min_cpus_millionths)),
        };
        let key = machines.range((from, Bound::Unbounded)).next().copied()?;
        self.last = LastCandidate::ByCapacity(key);
        Some(key.machine)
    }

    /// The machine with the most free capacity.
    fn next_worst_fit(&mut self, machines: &BTreeSet<CapacityKey>) -> Option<MachineIndex> {
        let min = CapacityKey::min_with_cpus(self.min_cpus_millionths);
        let to = match self.last {
            // `BTreeSet::range` panics if the end is below the start.
            LastCandidate::ByCapacity(key) if key <= min => return None,
            LastCandidate::ByCapacity(key) => Bound::Excluded(key),
            _ => Bound::Unbounded,
        };
        let mut range = machines.range((Bound::Included(min), to));
        let key = range.next_back().copied()?;
        self.last = LastCandidate::ByCapacity(key);
        Some(key.machine)
    }

    /// The machine with the fewest service images among those with enough CPUs. Ties are broken
    /// by the least free capacity.
    fn next_by_service_images(
        &mut self,
        machines: &BTreeSet<ServiceImagesKey>,
    ) -> Option<MachineIndex> {
        let min_cpus = self.min_cpus_millionths;
        let mut from = match self.last {
            LastCandidate::ByServiceImages(key) => Bound::Excluded(key),
            _ => Bound::Included(ServiceImagesKey::min_with(0, min_cpus)),
        };
        loop {
            let key = machines.range((from, Bound::Unbounded)).next().copied()?;
            if key.capacity.cpus_millionths >= min_cpus {
                self.last = LastCandidate::ByServiceImages(key);
                return Some(key.capacity.machine);
            }
            // Skip the machines with this number of service images that have too few CPUs.
            from = Bound::Included(ServiceImagesKey::min_with(key.service_images, min_cpus));
        }
    }
}
