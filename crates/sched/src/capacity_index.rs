//! An index of machines by free capacity, which ranks the machines for a job.
//!
//! Machines are compared by these criteria, in order:
//!
//! - Jobs that may run on spot machines try these before on-demand machines, which leaves
//!   on-demand capacity to services.
//! - Machines that hold the job's image come before others, which saves a download.
//! - Jobs other than services prefer on-demand machines with few service images, which leaves
//!   machines with cached service images to replicas.
//! - Last, the machine with the least sufficient free capacity is chosen (best fit), so that
//!   other machines become idle and can be scaled in. A replica whose image has to be downloaded
//!   takes the machine with the most free capacity instead (worst fit), so that as many further
//!   replicas as possible can use the downloaded image.
//!
//! A ranking per image is maintained only while many machines have free CPUs. A machine holds
//! dozens of images, and every placement would update the rankings of all of them. While few
//! machines have free CPUs, those that hold an image are found by a scan.

use crate::candidates::CandidateGroup;
use crate::machine_ranking::{CapacityKey, MachineRank, MachineRanking, PerMachineKind};
use crate::placement_policy::{PlacementPolicy, is_bound_by_headroom};
use crate::resources::{ROUNDING_TOLERANCE, from_millionths, to_millionths};
use crate::views::{JobView, MachineIndex, MachineView, TeamAllowance};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Rankings per image are built when more machines than this have free CPUs, and dropped when
/// fewer than half this number have.
const IMAGE_RANKING_MACHINES: usize = 128;

/// For each image, rankings of the machines that hold it.
type ImageRankings = PerMachineKind<HashMap<Rc<str>, MachineRanking>>;

/// An index of machines by free capacity (see the [module](self)).
///
/// The [`Default`] index does not rank machines by image (see
/// [`CapacityIndex::without_images`]).
#[derive(Debug, Default)]
pub struct CapacityIndex {
    views: Vec<Option<MachineView>>,
    /// Rankings of the machines with free CPUs.
    rankings: PerMachineKind<MachineRanking>,
    /// The same rankings per image; `None` while few machines have free CPUs.
    image_rankings: Option<ImageRankings>,
    /// Machines without free CPUs.
    without_free_cpus: BTreeSet<MachineIndex>,
    /// Number of machines that are [`MachineView::outbound_unreachable`].
    outbound_unreachable_count: usize,
    /// Free on-demand CPUs in millionths by zone, excluding cordoned machines.
    on_demand_cpus_by_zone: BTreeMap<Rc<str>, i64>,
    /// Free CPUs in millionths, excluding cordoned machines.
    free_cpus: PerMachineKind<i64>,
    /// Whether machines that hold a job's image are preferred.
    prefers_image_holders: bool,
}

impl CapacityIndex {
    /// An empty index that prefers machines that hold a job's image.
    pub fn new() -> CapacityIndex {
        CapacityIndex {
            prefers_image_holders: true,
            ..CapacityIndex::default()
        }
    }

    /// An empty index that ignores images, for callers that only check whether capacity exists.
    pub fn without_images() -> CapacityIndex {
        CapacityIndex::default()
    }

    /// The current view of a machine in the index.
    pub fn view(&self, machine: MachineIndex) -> Option<&MachineView> {
        self.views.get(machine as usize)?.as_ref()
    }

    /// Inserts or replaces the view of a machine; `None` removes the machine.
    pub fn set(&mut self, machine: MachineIndex, view: Option<MachineView>) {
        let slot = machine as usize;
        if slot >= self.views.len() {
            self.views.resize(slot + 1, None);
        }
        if self.views[slot] == view {
            return;
        }
        if let Some(old) = self.views[slot].take() {
            self.remove_from_indexes(machine, &old);
        }
        if let Some(new) = view {
            self.add_to_indexes(machine, &new);
            self.views[slot] = Some(new);
        }
        self.update_image_rankings();
    }

    /// Adds a machine at the next unused index.
    pub fn add(&mut self, view: MachineView) {
        // The number of machines fits into a `MachineIndex`.
        self.set(self.views.len() as MachineIndex, Some(view));
    }

    fn add_to_indexes(&mut self, machine: MachineIndex, view: &MachineView) {
        self.outbound_unreachable_count += usize::from(view.outbound_unreachable);
        let rank = MachineRank::of(machine, view);
        let summed_cpus = summed_cpus_millionths(rank, view);
        *self.free_cpus.of_mut(view.spot) += summed_cpus;
        if !view.spot {
            let in_zone = self.on_demand_cpus_by_zone.entry(view.zone.clone());
            *in_zone.or_default() += summed_cpus;
        }
        if !rank.has_free_cpus() {
            self.without_free_cpus.insert(machine);
            return;
        }
        self.rankings.of_mut(view.spot).insert(rank);
        if let Some(image_rankings) = &mut self.image_rankings {
            add_to_image_rankings(image_rankings, rank, view);
        }
    }

    fn remove_from_indexes(&mut self, machine: MachineIndex, view: &MachineView) {
        self.outbound_unreachable_count -= usize::from(view.outbound_unreachable);
        let rank = MachineRank::of(machine, view);
        let summed_cpus = summed_cpus_millionths(rank, view);
        *self.free_cpus.of_mut(view.spot) -= summed_cpus;
        if !view.spot
            && let Some(in_zone) = self.on_demand_cpus_by_zone.get_mut(&view.zone)
        {
            *in_zone -= summed_cpus;
        }
        if !rank.has_free_cpus() {
            self.without_free_cpus.remove(&machine);
            return;
        }
        self.rankings.of_mut(view.spot).remove(rank);
        if let Some(image_rankings) = &mut self.image_rankings {
            remove_from_image_rankings(image_rankings, rank, view);
        }
    }

    /// Builds or drops the rankings per image, depending on how many machines have free CPUs.
    fn update_image_rankings(&mut self) {
        let machines = self.rankings.iter().map(MachineRanking::len).sum::<usize>();
        if self.image_rankings.is_some() {
            if machines < IMAGE_RANKING_MACHINES / 2 {
                self.image_rankings = None;
            }
        } else if self.prefers_image_holders && machines > IMAGE_RANKING_MACHINES {
            let mut image_rankings = ImageRankings::default();
            for machine in self.machines_with_free_cpus() {
                if let Some(view) = self.view(machine) {
                    let rank = MachineRank::of(machine, view);
                    add_to_image_rankings(&mut image_rankings, rank, view);
                }
            }
            self.image_rankings = Some(image_rankings);
        }
    }

    fn machines_with_free_cpus(&self) -> impl Iterator<Item = MachineIndex> {
        let rankings = self.rankings.iter();
        rankings.flat_map(|ranking| ranking.by_capacity().iter().map(|key| key.machine))
    }

    /// A ranking that contains all machines of the group with free CPUs. It may also contain
    /// machines that do not belong to the group (see [`CapacityIndex::is_in_group`]).
    pub(crate) fn ranking(&self, group: CandidateGroup, image: &str) -> Option<&MachineRanking> {
        match &self.image_rankings {
            Some(rankings) if group.holds_image => rankings.of(group.spot).get(image),
            None if group.holds_image && !self.prefers_image_holders => None,
            _ => Some(self.rankings.of(group.spot)),
        }
    }

    /// Whether a machine of the group's ranking belongs to the group.
    pub(crate) fn is_in_group(
        &self,
        machine: MachineIndex,
        group: CandidateGroup,
        image: &str,
    ) -> bool {
        !self.prefers_image_holders || self.holds_image(machine, image) == group.holds_image
    }

    fn holds_image(&self, machine: MachineIndex, image: &str) -> bool {
        self.view(machine)
            .is_some_and(|view| view.holds_image(image))
    }

    /// Whether any machine is [`MachineView::outbound_unreachable`].
    pub fn any_outbound_unreachable(&self) -> bool {
        self.outbound_unreachable_count > 0
    }

    /// Whether the machine is [`MachineView::outbound_unreachable`].
    pub fn is_outbound_unreachable(&self, machine: MachineIndex) -> bool {
        self.view(machine)
            .is_some_and(|view| view.outbound_unreachable)
    }

    /// Free CPUs of the on-demand machines in a zone, excluding cordoned machines.
    pub fn free_on_demand_cpus(&self, zone: &str) -> f64 {
        let millionths = self.on_demand_cpus_by_zone.get(zone).copied();
        millionths.map_or(0.0, from_millionths)
    }

    /// Free CPUs of all spot or all on-demand machines, excluding cordoned machines.
    pub fn free_cpus(&self, spot: bool) -> f64 {
        from_millionths(*self.free_cpus.of(spot))
    }

    /// Machines with free CPUs that hold an image.
    pub fn machines_holding_image(&self, image: &str) -> Vec<MachineIndex> {
        self.machines_with_free_cpus()
            .filter(|machine| self.holds_image(*machine, image))
            .collect()
    }

    /// Machines without free CPUs, which can run only tasks that require no CPUs.
    pub fn machines_without_free_cpus(&self) -> Vec<MachineIndex> {
        self.without_free_cpus.iter().copied().collect()
    }

    /// Whether the service headroom of the machine's zone remains free if one more task of the
    /// job is placed on the machine.
    fn leaves_headroom(&self, headroom_cpus: f64, job: &JobView, view: &MachineView) -> bool {
        if headroom_cpus <= 0.0 || !is_bound_by_headroom(job, view) {
            return true;
        }
        self.free_on_demand_cpus(&view.zone) - job.spec.cpus + ROUNDING_TOLERANCE >= headroom_cpus
    }

    /// Whether the policy allows the job to use the machine. `excluded_by_failures` means that the
    /// machine is cordoned or that the job failed on it.
    fn policy_allows(
        &self,
        policy: PlacementPolicy,
        job: &JobView,
        view: &MachineView,
        excluded_by_failures: bool,
    ) -> bool {
        match policy {
            PlacementPolicy::Standard {
                service_headroom_cpus,
            } => !excluded_by_failures && self.leaves_headroom(service_headroom_cpus, job, view),
            PlacementPolicy::IgnoreHeadroom => !excluded_by_failures,
            PlacementPolicy::LastResort => true,
        }
    }

    /// Whether a task of the job that was placed on this machine uses the service headroom: the job
    /// is not a service, the machine is an on-demand machine that is not cordoned, and its zone has
    /// fewer free on-demand CPUs left than the headroom.
    pub fn uses_service_headroom(
        &self,
        machine: MachineIndex,
        headroom_cpus: f64,
        job: &JobView,
    ) -> bool {
        if job.is_service() || headroom_cpus <= 0.0 {
            return false;
        }
        let view = self.view(machine);
        view.filter(|view| !view.spot && !view.cordoned)
            .is_some_and(|view| {
                self.free_on_demand_cpus(&view.zone) + ROUNDING_TOLERANCE < headroom_cpus
            })
    }

    /// Whether any machine has capacity for a task of any job with equal requirements.
    pub fn any_machine_fits(&self, job: &JobView, policy: PlacementPolicy) -> bool {
        let need = job.resources();
        let min_cpus = to_millionths(need.cpus);
        let fits = |machine: MachineIndex| {
            self.view(machine).is_some_and(|view| {
                // Machines on which only this job failed are open to jobs with equal requirements.
                view.free.covers(&need)
                    && job.requirements_allow(view)
                    && self.policy_allows(policy, job, view, view.cordoned)
            })
        };
        let any_in_ranking = |spot: bool| {
            let machines = self.rankings.of(spot).by_capacity();
            let mut enough_cpus = machines.range(CapacityKey::min_with_cpus(min_cpus)..);
            enough_cpus.any(|key| fits(key.machine))
        };
        any_in_ranking(false)
            || (job.spec.spot && any_in_ranking(true))
            || (min_cpus == 0 && self.without_free_cpus.iter().copied().any(fits))
    }

    /// Assigns as many of the job's waiting tasks as fit on the machine, but at most `max_tasks`.
    /// Returns the number of tasks assigned.
    pub fn assign_tasks(
        &mut self,
        machine: MachineIndex,
        job: &mut JobView,
        teams: &mut [TeamAllowance],
        policy: PlacementPolicy,
        max_tasks: u32,
    ) -> u32 {
        let Some(mut view) = self.view(machine).cloned() else {
            return 0;
        };
        let need = job.resources();
        let task_cpus = to_millionths(need.cpus);
        let mut assigned = 0;
        while assigned < max_tasks
            && view.free.covers(&need)
            && job.constraints_allow(&view)
            && self.policy_allows(policy, job, &view, job.is_excluded_by_failures(&view))
            && job.team_allows(teams)
            && job.assign_next_task(&mut view, teams)
        {
            assigned += 1;
            // The headroom check of the next task has to take this task into account.
            self.adjust_zone_cpus(&view, -task_cpus);
        }
        if assigned > 0 {
            // `set` recomputes the zone's free CPUs from the view, so the adjustments made in the
            // loop are reverted first.
            self.adjust_zone_cpus(&view, task_cpus * i64::from(assigned));
            self.set(machine, Some(view));
        }
        assigned
    }

    /// Adjusts the free on-demand CPUs of the machine's zone if the machine is included in them.
    fn adjust_zone_cpus(&mut self, view: &MachineView, change_millionths: i64) {
        if !view.spot
            && !view.cordoned
            && let Some(in_zone) = self.on_demand_cpus_by_zone.get_mut(&view.zone)
        {
            *in_zone += change_millionths;
        }
    }
}

/// The machine's CPUs that are included in the sums of free CPUs, in millionths; 0 if it is
/// cordoned.
fn summed_cpus_millionths(rank: MachineRank, view: &MachineView) -> i64 {
    if view.cordoned {
        0
    } else {
        rank.cpus_millionths()
    }
}

fn add_to_image_rankings(
    image_rankings: &mut ImageRankings,
    rank: MachineRank,
    view: &MachineView,
) {
    let by_image = image_rankings.of_mut(view.spot);
    for (image, _) in view.images.iter() {
        let ranking = by_image.entry(image.clone()).or_default();
        ranking.insert(rank);
    }
}

fn remove_from_image_rankings(
    image_rankings: &mut ImageRankings,
    rank: MachineRank,
    view: &MachineView,
) {
    let by_image = image_rankings.of_mut(view.spot);
    for (image, _) in view.images.iter() {
        if let Some(ranking) = by_image.get_mut(image) {
            ranking.remove(rank);
            if ranking.is_empty() {
                by_image.remove(image);
            }
        }
    }
}
