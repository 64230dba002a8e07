//! An index of the machines with free capacity, ranked for the jobs that may use it.
//!
//! Machines are tried in this order:
//!
//! - Spot machines before on-demand machines for jobs that may run there, so that on-demand
//!   capacity is left for services.
//! - Machines that hold the job's image before others: that saves a download.
//! - Among on-demand machines, work other than services takes the one with the fewest images
//!   of services, to leave the others to replicas.
//! - Then the machine with the least free capacity that is enough (best fit), so that others
//!   become empty and can be returned. A replica whose image has to be downloaded in any case
//!   takes the machine with the most free capacity (worst fit) instead, so that as many more
//!   replicas as possible find the image there.
//!
//! On a busy fleet few machines have free CPUs, each for a moment only: those that hold an
//! image are found by looking at all of them. Only while many machines have free CPUs is there
//! a ranking per image as well, since a machine holds dozens of images and each task that is
//! placed would change the ranking of each of them.

use crate::candidates::CandidateGroup;
use crate::machine_ranking::{CapacityKey, MachineRank, MachineRanking, PerMachineKind};
use crate::placement_policy::{PlacementPolicy, is_bound_by_headroom};
use crate::resources::{ROUNDING_TOLERANCE, from_millionths, to_millionths};
use crate::views::{JobView, MachineIndex, MachineView, TeamAllowance};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Rankings per image are built when more machines than this have free CPUs, and dropped when
/// fewer than half as many have.
const IMAGE_RANKING_THRESHOLD: usize = 128;

/// Rankings of the machines that hold an image, by image.
type ImageRankings = PerMachineKind<HashMap<Rc<str>, MachineRanking>>;

/// Machines that may take tasks, indexed by their free capacity.
///
/// The [`Default`] index does not rank machines by image (see
/// [`CapacityIndex::without_images`]).
#[derive(Debug, Default)]
pub struct CapacityIndex {
    views: Vec<Option<MachineView>>,
    /// Machines with free CPUs.
    rankings: PerMachineKind<MachineRanking>,
    /// The same by image, while many machines have free CPUs.
    image_rankings: Option<ImageRankings>,
    /// Machines without free CPUs.
    without_free_cpus: BTreeSet<MachineIndex>,
    /// How many machines are [`MachineView::outbound_unreachable`].
    outbound_unreachable: usize,
    /// Free on-demand CPUs by zone, in millionths; without cordoned machines.
    on_demand_cpus_by_zone: BTreeMap<Rc<str>, i64>,
    /// Free CPUs in millionths; without cordoned machines.
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

    /// An empty index that does not look at images: enough to tell whether there is capacity.
    pub fn without_images() -> CapacityIndex {
        CapacityIndex::default()
    }

    /// The machine as it is in the index.
    pub fn view(&self, machine: MachineIndex) -> Option<&MachineView> {
        self.views.get(machine as usize)?.as_ref()
    }

    /// Replaces the view of a machine; None removes the machine.
    pub fn set(&mut self, machine: MachineIndex, view: Option<MachineView>) {
        let position = machine as usize;
        if position >= self.views.len() {
            self.views.resize(position + 1, None);
        }
        if self.views[position] == view {
            return;
        }
        if let Some(old) = self.views[position].take() {
            self.remove_from_indexes(machine, &old);
        }
        if let Some(new) = view {
            self.add_to_indexes(machine, &new);
            self.views[position] = Some(new);
        }
        self.update_image_rankings();
    }

    /// Adds a machine at the next index that is not in use.
    pub fn add(&mut self, view: MachineView) {
        // There are no more machines than indexes.
        self.set(self.views.len() as MachineIndex, Some(view));
    }

    fn add_to_indexes(&mut self, machine: MachineIndex, view: &MachineView) {
        self.outbound_unreachable += usize::from(view.outbound_unreachable);
        let rank = MachineRank::of(machine, view);
        let counted_cpus = counted_cpus_millionths(rank, view);
        *self.free_cpus.of_mut(view.spot) += counted_cpus;
        if !view.spot {
            let in_zone = self.on_demand_cpus_by_zone.entry(view.zone.clone());
            *in_zone.or_default() += counted_cpus;
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
        self.outbound_unreachable -= usize::from(view.outbound_unreachable);
        let rank = MachineRank::of(machine, view);
        let counted_cpus = counted_cpus_millionths(rank, view);
        *self.free_cpus.of_mut(view.spot) -= counted_cpus;
        if !view.spot
            && let Some(in_zone) = self.on_demand_cpus_by_zone.get_mut(&view.zone)
        {
            *in_zone -= counted_cpus;
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

    /// Builds or drops the rankings per image, as many or few machines have free CPUs.
    fn update_image_rankings(&mut self) {
        let machines = self.rankings.iter().map(MachineRanking::len).sum::<usize>();
        if self.image_rankings.is_some() {
            if machines < IMAGE_RANKING_THRESHOLD / 2 {
                self.image_rankings = None;
            }
        } else if self.prefers_image_holders && machines > IMAGE_RANKING_THRESHOLD {
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

    /// A ranking that contains all machines of the group with free CPUs, and perhaps others.
    pub(crate) fn ranking(&self, group: CandidateGroup, image: &str) -> Option<&MachineRanking> {
        match &self.image_rankings {
            Some(rankings) if group.holds_image => rankings.of(group.spot).get(image),
            None if group.holds_image && !self.prefers_image_holders => None,
            _ => Some(self.rankings.of(group.spot)),
        }
    }

    /// Whether a machine of the group's ranking is itself in the group.
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
        self.outbound_unreachable > 0
    }

    /// Whether the machine is [`MachineView::outbound_unreachable`].
    pub fn is_outbound_unreachable(&self, machine: MachineIndex) -> bool {
        self.view(machine)
            .is_some_and(|view| view.outbound_unreachable)
    }

    /// Free CPUs of the on-demand machines in a zone, without those that are cordoned.
    pub fn free_on_demand_cpus(&self, zone: &str) -> f64 {
        let millionths = self.on_demand_cpus_by_zone.get(zone).copied();
        millionths.map_or(0.0, from_millionths)
    }

    /// Free CPUs of all spot or of all on-demand machines, without those that are cordoned.
    pub fn free_cpus(&self, spot: bool) -> f64 {
        from_millionths(*self.free_cpus.of(spot))
    }

    /// Machines with free CPUs that hold an image.
    pub fn machines_holding_image(&self, image: &str) -> Vec<MachineIndex> {
        self.machines_with_free_cpus()
            .filter(|machine| self.holds_image(*machine, image))
            .collect()
    }

    /// Machines without free CPUs: they take tasks that need none.
    pub fn machines_without_free_cpus(&self) -> Vec<MachineIndex> {
        self.without_free_cpus.iter().copied().collect()
    }

    /// Whether the machine's zone keeps its service headroom if it takes one more task of the
    /// job.
    fn leaves_headroom(&self, headroom_cpus: f64, job: &JobView, view: &MachineView) -> bool {
        if headroom_cpus <= 0.0 || !is_bound_by_headroom(job, view) {
            return true;
        }
        self.free_on_demand_cpus(&view.zone) - job.spec.cpus + ROUNDING_TOLERANCE >= headroom_cpus
    }

    /// Whether the policy lets the job use the machine; `failed` tells that the machine is one
    /// to avoid.
    fn policy_allows(
        &self,
        policy: PlacementPolicy,
        job: &JobView,
        view: &MachineView,
        failed: bool,
    ) -> bool {
        match policy {
            PlacementPolicy::Standard {
                service_headroom_cpus,
            } => !failed && self.leaves_headroom(service_headroom_cpus, job, view),
            PlacementPolicy::IgnoreHeadroom => !failed,
            PlacementPolicy::LastResort => true,
        }
    }

    /// Whether the zone of a machine, with a task of the job on it, has less than the headroom
    /// that is reserved for services.
    pub fn is_short_of_headroom(
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

    /// Whether any machine has the capacity for a task of a job with an equal request.
    pub fn any_machine_fits(&self, job: &JobView, policy: PlacementPolicy) -> bool {
        let need = job.resources();
        let min_cpus = to_millionths(need.cpus);
        let fits = |machine: MachineIndex| {
            self.view(machine).is_some_and(|view| {
                // Where this job failed itself does not matter to others like it.
                view.free.fits(&need)
                    && job.request_allows(view)
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

    /// Assigns as many of the job's waiting tasks as the machine takes, at most `max_tasks`,
    /// and returns how many.
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
            && view.free.fits(&need)
            && job.rules_allow(&view)
            && self.policy_allows(policy, job, &view, job.has_failed_on(&view))
            && job.team_allows(teams)
            && job.assign_next_task(&mut view, teams)
        {
            assigned += 1;
            // The headroom left in the zone shrinks with every task.
            self.adjust_zone_cpus(&view, -task_cpus);
        }
        if assigned > 0 {
            // Replacing the view subtracts the tasks' CPUs from the zone once more.
            self.adjust_zone_cpus(&view, task_cpus * i64::from(assigned));
            self.set(machine, Some(view));
        }
        assigned
    }

    /// Changes the free on-demand CPUs of the machine's zone if the machine counts there.
    fn adjust_zone_cpus(&mut self, view: &MachineView, change_millionths: i64) {
        if !view.spot
            && !view.cordoned
            && let Some(in_zone) = self.on_demand_cpus_by_zone.get_mut(&view.zone)
        {
            *in_zone += change_millionths;
        }
    }
}

/// Free CPUs of the machine, in millionths, that count towards the sums.
fn counted_cpus_millionths(rank: MachineRank, view: &MachineView) -> i64 {
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
