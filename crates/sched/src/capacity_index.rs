//! Machines with room, ranked for the jobs that may take it.
//!
//! A job goes where the rank is best ([`CandidateIter`]): spot machines take what may run
//! there, so that ordinary room is left for services; a held image saves a
//! fetch; of the rest what may run elsewhere takes the room beside which fewest
//! images of services are held, and the fullest machine that still has room, so
//! that others empty and can be returned. A replica that has to fetch its image
//! in any case takes the emptiest, to leave the image to as much free room as
//! can be, for those that come after.
//!
//! On a busy fleet few machines have room, for a moment each: those that hold an
//! image are looked for among them. Only where many have room is there an index
//! by image, since a machine holds dozens and each would be entered and left with
//! every task.

use crate::resources::{ROUNDING_TOLERANCE, from_millionths, to_millionths};
use crate::views::{JobView, MachineView, ResourceRequest, SlabIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::rc::Rc;

/// Free CPUs and memory in millionths, then the machine.
type ByRoom = BTreeSet<(i64, i64, SlabIndex)>;
/// Images of services that are held, then the same.
type ByWarm = BTreeSet<(u32, i64, i64, SlabIndex)>;

/// With more machines that have room the images that they hold are indexed, and
/// with fewer than half as many no longer.
const INDEXED: usize = 128;

/// Machines of one kind, ordinary or spot.
#[derive(Debug, Default)]
struct Ranks {
    by_room: ByRoom,
    /// Of ordinary machines only: on spot machines no service runs.
    by_warm: ByWarm,
}

impl Ranks {
    fn insert(&mut self, k: &Keys, place: SlabIndex) {
        self.by_room.insert((k.cpus, k.memory, place));
        if !k.spot {
            self.by_warm.insert((k.warm, k.cpus, k.memory, place));
        }
    }

    fn remove(&mut self, k: &Keys, place: SlabIndex) {
        self.by_room.remove(&(k.cpus, k.memory, place));
        if !k.spot {
            self.by_warm.remove(&(k.warm, k.cpus, k.memory, place));
        }
    }
}

/// What a machine is ranked by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Keys {
    spot: bool,
    warm: u32,
    cpus: i64,
    memory: i64,
}

impl Keys {
    fn of(m: &MachineView) -> Keys {
        Keys {
            spot: m.spot,
            warm: m.service_images,
            cpus: to_millionths(m.free.cpus).max(0),
            memory: to_millionths(m.free.memory_gb).max(0),
        }
    }

    /// Free CPUs of the machine, in millionths, as far as they can be counted on.
    fn counts(&self, m: &MachineView) -> i64 {
        if m.cordoned { 0 } else { self.cpus }
    }

    /// A machine without CPUs left takes nothing but tasks that need none.
    fn full(&self) -> bool {
        self.cpus == 0
    }
}

#[derive(Debug, Default)]
pub struct CapacityIndex {
    views: Vec<Option<MachineView>>,
    /// Ordinary, then spot.
    ranks: [Ranks; 2],
    holding: [HashMap<Rc<str>, Ranks>; 2],
    /// Machines without CPUs left.
    full: BTreeSet<SlabIndex>,
    /// How many machines are mute.
    mute: usize,
    /// Free ordinary CPUs by zone, in millionths.
    ordinary: BTreeMap<Rc<str>, i64>,
    /// Free CPUs of ordinary and of spot machines, in millionths.
    free: [i64; 2],
    /// Whether machines are ranked by the images that they hold.
    images: bool,
    /// Whether `holding` is kept.
    indexed: bool,
}

impl CapacityIndex {
    pub fn new() -> CapacityIndex {
        CapacityIndex {
            images: true,
            ..CapacityIndex::default()
        }
    }

    /// A floor on which held images count for nothing: enough to tell whether
    /// there is room.
    pub fn without_images() -> CapacityIndex {
        CapacityIndex::default()
    }

    pub fn view(&self, place: SlabIndex) -> Option<&MachineView> {
        self.views.get(place as usize)?.as_ref()
    }

    /// Puts a machine as it is now; None takes it from the floor.
    pub fn set(&mut self, place: SlabIndex, view: Option<MachineView>) {
        let i = place as usize;
        if i >= self.views.len() {
            self.views.resize(i + 1, None);
        }
        if self.views[i] == view {
            return;
        }
        if let Some(old) = self.views[i].take() {
            self.leave(place, &old);
        }
        if let Some(new) = view {
            self.enter(place, &new);
            self.views[i] = Some(new);
        }
        self.index();
    }

    /// Adds a machine that has no place of its own yet.
    pub fn add(&mut self, view: MachineView) {
        // As many machines as places at the most.
        self.set(self.views.len() as SlabIndex, Some(view));
    }

    fn leave(&mut self, place: SlabIndex, m: &MachineView) {
        self.mute -= usize::from(m.outbound_unreachable);
        let keys = Keys::of(m);
        let counts = keys.counts(m);
        self.free[usize::from(m.spot)] -= counts;
        if !m.spot
            && let Some(free) = self.ordinary.get_mut(&m.zone)
        {
            *free -= counts;
        }
        if keys.full() {
            self.full.remove(&place);
            return;
        }
        self.ranks[usize::from(m.spot)].remove(&keys, place);
        if !self.indexed {
            return;
        }
        for (image, _) in m.images.iter() {
            let holding = &mut self.holding[usize::from(m.spot)];
            if let Some(ranks) = holding.get_mut(image) {
                ranks.remove(&keys, place);
                if ranks.by_room.is_empty() {
                    holding.remove(image);
                }
            }
        }
    }

    fn enter(&mut self, place: SlabIndex, m: &MachineView) {
        self.mute += usize::from(m.outbound_unreachable);
        let keys = Keys::of(m);
        let counts = keys.counts(m);
        self.free[usize::from(m.spot)] += counts;
        if !m.spot {
            *self.ordinary.entry(m.zone.clone()).or_default() += counts;
        }
        if keys.full() {
            self.full.insert(place);
            return;
        }
        self.ranks[usize::from(m.spot)].insert(&keys, place);
        if self.indexed {
            Self::hold(&mut self.holding, place, m);
        }
    }

    fn hold(holding: &mut [HashMap<Rc<str>, Ranks>; 2], place: SlabIndex, m: &MachineView) {
        let keys = Keys::of(m);
        let holding = &mut holding[usize::from(m.spot)];
        for (image, _) in m.images.iter() {
            let ranks = holding.entry(image.clone()).or_default();
            ranks.insert(&keys, place);
        }
    }

    /// Whether any machine is mute.
    pub fn any_outbound_unreachable(&self) -> bool {
        self.mute > 0
    }

    pub fn is_outbound_unreachable(&self, place: SlabIndex) -> bool {
        self.view(place).is_some_and(|m| m.outbound_unreachable)
    }

    /// How many machines have room.
    fn with_room(&self) -> usize {
        self.ranks.iter().map(|r| r.by_room.len()).sum()
    }

    /// Begins or ends to index images, as many or few machines have room.
    fn index(&mut self) {
        let n = self.with_room();
        if self.indexed && n < INDEXED / 2 {
            self.indexed = false;
            self.holding = Default::default();
        } else if self.images && !self.indexed && n > INDEXED {
            self.indexed = true;
            for r in &self.ranks {
                for (_, _, place) in &r.by_room {
                    if let Some(Some(m)) = self.views.get(*place as usize) {
                        Self::hold(&mut self.holding, *place, m);
                    }
                }
            }
        }
    }

    fn holds(&self, place: SlabIndex, image: &str) -> bool {
        self.view(place).is_some_and(|m| m.holds_image(image))
    }

    /// Free ordinary CPUs in a zone.
    pub fn free_on_demand_cpus(&self, zone: &str) -> f64 {
        self.ordinary
            .get(zone)
            .copied()
            .map_or(0.0, from_millionths)
    }

    /// Free CPUs of all ordinary or of all spot machines.
    pub fn free_cpus(&self, spot: bool) -> f64 {
        from_millionths(self.free[usize::from(spot)])
    }

    /// Machines with room that hold an image.
    pub fn machines_holding_image(&self, image: &str) -> Vec<SlabIndex> {
        let with_room = self.ranks.iter().flat_map(|r| &r.by_room);
        with_room
            .map(|(_, _, place)| *place)
            .filter(|place| self.holds(*place, image))
            .collect()
    }

    /// Whether `service_headroom` CPUs of ordinary room in the machine's zone are left
    /// to services if the job takes its next task's there.
    fn spares(&self, reserve: f64, job: &JobView, m: &MachineView) -> bool {
        if reserve <= 0.0 || m.spot || !job.spec.spot || job.is_service() {
            return true;
        }
        self.free_on_demand_cpus(&m.zone) - job.spec.cpus + ROUNDING_TOLERANCE >= reserve
    }

    fn open(&self, kept: PlacementPolicy, job: &JobView, m: &MachineView) -> bool {
        match kept {
            PlacementPolicy::Standard(reserve) => {
                !job.has_failed_on(m) && self.spares(reserve, job, m)
            }
            PlacementPolicy::IgnoreHeadroom => !job.has_failed_on(m),
            PlacementPolicy::LastResort => true,
        }
    }

    /// Whether what is left in the machine's zone, with a task of the job on it, is
    /// less than what is kept for services.
    pub fn is_short_of_headroom(&self, place: SlabIndex, reserve: f64, job: &JobView) -> bool {
        let bound = !job.is_service() && reserve > 0.0;
        let there = self.view(place).filter(|m| bound && !m.spot && !m.cordoned);
        there.is_some_and(|m| self.free_on_demand_cpus(&m.zone) + ROUNDING_TOLERANCE < reserve)
    }

    /// Machines that take nothing but tasks without CPUs.
    pub fn machines_without_free_cpus(&self) -> Vec<SlabIndex> {
        self.full.iter().copied().collect()
    }

    /// Whether any job like this one would find room.
    pub fn any(&self, job: &JobView, kept: PlacementPolicy) -> bool {
        let need = job.resources();
        let least = to_millionths(need.cpus);
        let fits = |place: &SlabIndex| {
            self.view(*place).is_some_and(|m| {
                // Where it has failed itself is of no matter to others like it.
                let open = match kept {
                    PlacementPolicy::Standard(reserve) => {
                        !m.cordoned && self.spares(reserve, job, m)
                    }
                    PlacementPolicy::IgnoreHeadroom => !m.cordoned,
                    PlacementPolicy::LastResort => true,
                };
                m.free.fits(&need) && job.request_allows(m) && open
            })
        };
        let kinds = if job.spec.spot {
            &self.ranks[..]
        } else {
            &self.ranks[..1]
        };
        let mut with_room = kinds
            .iter()
            .flat_map(|r| r.by_room.range((least, 0, 0)..).map(|(_, _, place)| place));
        with_room.any(fits) || (least == 0 && self.full.iter().any(fits))
    }

    /// Puts as many of the job's tasks as the machine takes, `most` at the most,
    /// and returns how many.
    pub fn assign_tasks(
        &mut self,
        place: SlabIndex,
        job: &mut JobView,
        teams: &mut [crate::TeamAllowance],
        kept: PlacementPolicy,
        most: u32,
    ) -> u32 {
        let need = job.resources();
        let mut made = 0;
        let Some(mut m) = self.view(place).cloned() else {
            return 0;
        };
        while made < most
            && m.free.fits(&need)
            && job.rules_allow(&m)
            && self.open(kept, job, &m)
            && job.team_allows(teams)
            && job.assign_next_task(&mut m, teams)
        {
            made += 1;
            // What the zone has left for services goes down with each.
            if !m.spot
                && !m.cordoned
                && let Some(free) = self.ordinary.get_mut(&m.zone)
            {
                *free -= to_millionths(need.cpus);
            }
        }
        if made > 0 {
            if !m.spot
                && !m.cordoned
                && let Some(free) = self.ordinary.get_mut(&m.zone)
            {
                // The change of the view counts it once more.
                *free += to_millionths(need.cpus) * i64::from(made);
            }
            self.set(place, Some(m));
        }
        made
    }
}

/// What is kept from a job.
#[derive(Debug, Clone, Copy)]
pub enum PlacementPolicy {
    /// So many CPUs of ordinary room in each zone, and machines on which it or others
    /// failed.
    Standard(f64),
    /// Only such machines.
    IgnoreHeadroom,
    LastResort,
}

impl PlacementPolicy {
    /// What is kept from the jobs of a shape, beside the reserve.
    pub fn from(shape: &ResourceRequest, reserve: f64) -> PlacementPolicy {
        if shape.starving() {
            PlacementPolicy::LastResort
        } else {
            PlacementPolicy::Standard(reserve)
        }
    }
}

/// How far a tour has come in one set of machines.
#[derive(Debug, Clone, Copy)]
enum At {
    Start,
    Room(i64, i64, SlabIndex),
    Warm(u32, i64, i64, SlabIndex),
}

/// Goes over the machines with room for a job, best first. A machine that has
/// taken a task ranks no better for it than those still to come, so the floor
/// may change on the way.
#[derive(Debug)]
pub struct CandidateIter {
    stage: usize,
    at: At,
    least: i64,
}

/// The stages of a tour: kinds of machines, and whether they hold the image.
fn stages(job: &JobView) -> &'static [(bool, bool)] {
    if job.spec.spot {
        &[(true, true), (true, false), (false, true), (false, false)]
    } else {
        &[(false, true), (false, false)]
    }
}

impl CandidateIter {
    pub fn new(job: &JobView) -> CandidateIter {
        CandidateIter {
            stage: 0,
            at: At::Start,
            least: to_millionths(job.spec.cpus).max(1),
        }
    }

    /// The next machine with the CPUs that a task needs.
    pub fn next(&mut self, floor: &CapacityIndex, job: &JobView) -> Option<SlabIndex> {
        while let Some((spot, holds)) = stages(job).get(self.stage).copied() {
            let kind = usize::from(spot);
            let ranks = match (holds, floor.indexed) {
                (true, true) => floor.holding[kind].get(job.image),
                (true, false) if !floor.images => None,
                _ => Some(&floor.ranks[kind]),
            };
            if let Some(ranks) = ranks
                && let Some(place) = self.step(ranks, spot, holds, job)
            {
                // Those that hold the image have their turn before the others.
                if floor.images && floor.holds(place, job.image) != holds {
                    continue;
                }
                return Some(place);
            }
            self.stage += 1;
            self.at = At::Start;
        }
        None
    }

    fn step(&mut self, ranks: &Ranks, spot: bool, holds: bool, job: &JobView) -> Option<SlabIndex> {
        if job.is_service() && !holds {
            return self.emptiest(&ranks.by_room);
        }
        if spot || job.is_service() {
            return self.fullest(&ranks.by_room);
        }
        self.coldest(&ranks.by_warm)
    }

    fn fullest(&mut self, set: &ByRoom) -> Option<SlabIndex> {
        let from = match self.at {
            At::Room(c, m, p) => Bound::Excluded((c, m, p)),
            _ => Bound::Included((self.least, 0, 0)),
        };
        let (c, m, p) = set.range((from, Bound::Unbounded)).next().copied()?;
        self.at = At::Room(c, m, p);
        Some(p)
    }

    fn emptiest(&mut self, set: &ByRoom) -> Option<SlabIndex> {
        let to = match self.at {
            At::Room(c, m, p) => Bound::Excluded((c, m, p)),
            _ => Bound::Unbounded,
        };
        let least = Bound::Included((self.least, 0, 0));
        if matches!(to, Bound::Excluded(k) if k <= (self.least, 0, 0)) {
            return None;
        }
        let (c, m, p) = set.range((least, to)).next_back().copied()?;
        self.at = At::Room(c, m, p);
        Some(p)
    }

    fn coldest(&mut self, set: &ByWarm) -> Option<SlabIndex> {
        let mut from = match self.at {
            At::Warm(w, c, m, p) => Bound::Excluded((w, c, m, p)),
            _ => Bound::Included((0, self.least, 0, 0)),
        };
        loop {
            let (w, c, m, p) = set.range((from, Bound::Unbounded)).next().copied()?;
            if c >= self.least {
                self.at = At::Warm(w, c, m, p);
                return Some(p);
            }
            // The first of the next group has too little: on to those that
            // have enough.
            from = Bound::Included((w, self.least, 0, 0));
        }
    }
}
