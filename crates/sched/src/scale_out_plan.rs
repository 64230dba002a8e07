//! What to rent for work that finds no room.

use crate::capacity_index::CapacityIndex;
use crate::cycle::place_tasks;
use crate::placement_policy::PlacementPolicy;
use crate::resources::{OrderedFloat, Resources};
use crate::views::{Images, JobView, MachineView, ResourceRequest, TeamAllowance};
use dillcleat_wire::cloud::{MAX_SCALE_OUT, MachineType};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// What the cloud rents out: machines of one type in one zone, either spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct InstanceOffering {
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone in which the machine runs.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Machines of one offering that are to be rented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedScaleOut {
    /// What to rent.
    pub offering: InstanceOffering,
    /// How many machines, at most [`MAX_SCALE_OUT`].
    pub count: u32,
}

/// Offers that were refused lately, with the time until which not to ask.
#[derive(Debug, Default)]
pub struct RefusedOfferings(HashMap<InstanceOffering, u64>);

impl RefusedOfferings {
    /// `until` is in microseconds of the steady clock.
    pub fn refuse(&mut self, offer: InstanceOffering, until: u64) {
        self.0.insert(offer, until);
    }

    pub fn open(&self, offer: &InstanceOffering, now: u64) -> bool {
        self.0.get(offer).is_none_or(|until| now >= *until)
    }
}

/// The price of a type's machine per hour.
fn price(t: &MachineType, spot: bool) -> Option<f64> {
    if spot { t.spot_price } else { Some(t.price) }
}

/// What is known of what the cloud rents.
pub struct PlanInputs<'a> {
    pub types: &'a [MachineType],
    pub refusals: &'a RefusedOfferings,
    /// Zones in which nothing is rented.
    pub unreachable_zones: BTreeSet<Rc<str>>,
    /// Types and zones in which what was rented last is late.
    pub late_offerings: BTreeSet<(Rc<str>, Rc<str>)>,
    /// Machines by zone, those that are coming included.
    pub machines_by_zone: BTreeMap<Rc<str>, u32>,
    /// CPUs by zone of what was kept for services and is lent to work that may make
    /// room for them.
    pub lent_headroom_cpus: BTreeMap<Rc<str>, f64>,
    /// On-demand CPUs per zone that spot work must leave free for services.
    pub service_headroom_cpus: f64,
    /// On-demand CPUs per zone that are rented before any service needs them.
    pub proactive_headroom_cpus: f64,
    /// In microseconds of the steady clock.
    pub now_us: u64,
}

/// An offer that is open, as a plan sees it.
struct Choice {
    offer: InstanceOffering,
    price: f64,
    /// What was rented last of it is late.
    slow: bool,
    machine: MachineView,
}

fn choices(market: &PlanInputs) -> Vec<Choice> {
    let mut choices = Vec::new();
    for t in market.types {
        let machine_type: Rc<str> = Rc::from(t.name.as_str());
        for zone in t
            .zones
            .iter()
            .filter(|z| !market.unreachable_zones.contains(z.as_str()))
        {
            for spot in [true, false] {
                let offer = InstanceOffering {
                    machine_type: t.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                let open = market.refusals.open(&offer, market.now_us);
                let Some(price) = price(t, spot).filter(|_| open) else {
                    continue;
                };
                let place = (machine_type.clone(), Rc::from(zone.as_str()));
                choices.push(Choice {
                    offer,
                    price,
                    slow: market.late_offerings.contains(&place),
                    machine: MachineView {
                        machine_type: machine_type.clone(),
                        zone: Rc::from(zone.as_str()),
                        spot,
                        free: Resources::of_type(t),
                        images: Images::default(),
                        service_images: 0,
                        failed_jobs: Vec::new(),
                        cordoned: false,
                        outbound_unreachable: false,
                    },
                });
            }
        }
    }
    choices
}

/// How good an offer is for a job.
struct Rated {
    /// A service would wait for a machine that is late.
    waits: bool,
    /// Per task.
    cost: f64,
    /// Whether it is slow, and how many machines its zone has.
    tie: (bool, u32),
    choice: usize,
}

impl Rated {
    fn beats(&self, other: &Rated) -> bool {
        if self.waits != other.waits {
            return other.waits;
        }
        let equal = (self.cost - other.cost).abs() <= 1e-9;
        (!equal && self.cost < other.cost) || (equal && self.tie < other.tie)
    }
}

/// What is planned so far.
struct Plan<'a> {
    types: &'a [MachineType],
    choices: Vec<Choice>,
    /// Machines to rent of each choice.
    wanted: Vec<u32>,
    there: BTreeMap<Rc<str>, u32>,
}

/// What is known of all jobs of a shape.
struct Kind {
    /// The floor had no room for them, until so many machines were rented.
    closed: Option<usize>,
    /// Tasks that the largest offer takes: more waiting ones make none cheaper.
    most: u32,
    /// Jobs that no offer serves, by what else decides on it: tasks that wait,
    /// and late ones. What is rented meanwhile opens no offer again.
    hopeless: BTreeSet<(u32, u32)>,
}

impl Kind {
    fn of(need: &Resources, choices: &[Choice]) -> Kind {
        let times = choices.iter().map(|c| c.machine.free.count_fitting(need));
        Kind {
            closed: None,
            most: times.max().unwrap_or(0),
            hopeless: BTreeSet::new(),
        }
    }
}

impl Plan<'_> {
    /// The cheapest open offer for the next tasks of a job.
    fn best_choice(&self, job: &JobView) -> Option<usize> {
        let need = job.resources();
        // Work that may run on spot machines waits for them rather than pay the
        // ordinary price, as long as it can; where there are none at all, it
        // does not. With every spot machine taken, rosterwise-nz-grown once
        // missed a third of its deadlines beside idle ordinary offers.
        let cheap_only = job.spec.spot
            && job.at_risk_tasks == 0
            && self
                .types
                .iter()
                .any(|t| t.spot_price.is_some() && Resources::of_type(t).fits(&need));
        // Services do not wait for what is late while other offers arrive, and
        // of equal offers nobody does.
        let mut best: Option<Rated> = None;
        let mut cheaper = f64::INFINITY;
        for (i, c) in self.choices.iter().enumerate() {
            // An ordinary machine is rented for late tasks only, so only they
            // count.
            let most = if c.machine.spot || !job.spec.spot || job.at_risk_tasks == 0 {
                job.waiting_tasks
            } else {
                job.waiting_tasks.min(job.at_risk_tasks)
            };
            let slots = c.machine.free.count_fitting(&need).min(most);
            if slots == 0 || (cheap_only && !c.machine.spot) || !job.allows(&c.machine) {
                continue;
            }
            let cost = c.price / f64::from(slots);
            if self.wanted[i] >= MAX_SCALE_OUT {
                // More of it is asked for once this is answered. To go on to a
                // dearer offer meanwhile once rented all ordinary machines at
                // the start of a day (rosterwise-nz-grown).
                cheaper = cost.min(cheaper);
                continue;
            }
            // Among equals the zone with the fewest machines, so that a zone's
            // loss takes as little as can be.
            let there = self.there.get(&c.machine.zone).copied().unwrap_or(0);
            let rated = Rated {
                waits: job.is_service() && c.slow,
                cost,
                tie: (c.slow, there),
                choice: i,
            };
            if best.as_ref().is_none_or(|b| rated.beats(b)) {
                best = Some(rated);
            }
        }
        best.filter(|b| b.cost <= cheaper + 1e-9).map(|b| b.choice)
    }

    /// The same, remembering what finds nothing.
    fn choose(&self, job: &JobView, kind: &mut Kind) -> Option<usize> {
        // Rules about the job's other tasks are its own.
        let alike = !job.spec.spread && !job.spec.single_zone;
        let key = (
            job.waiting_tasks.min(kind.most),
            job.at_risk_tasks.min(kind.most),
        );
        if alike && kind.hopeless.contains(&key) {
            return None;
        }
        let choice = self.best_choice(job);
        if choice.is_none() && alike {
            kind.hopeless.insert(key);
        }
        choice
    }

    /// Rents ordinary room ahead of the services that must start sooner than
    /// any machine boots, until each zone has `ahead` CPUs of it free: kept from
    /// other work alone, the room is used up by the first service that comes. What is
    /// lent counts as free: rented anew, it would be lent again to the next that
    /// starves, and so on for as long as any does.
    fn spare(&mut self, floor: &CapacityIndex, lent: &BTreeMap<Rc<str>, f64>, ahead: f64) {
        if ahead <= 0.0 {
            return;
        }
        let choices = &self.choices;
        let zones: BTreeSet<Rc<str>> = choices.iter().map(|c| c.machine.zone.clone()).collect();
        for zone in zones {
            let lent = lent.get(&zone).copied().unwrap_or(0.0);
            let missing = ahead - floor.free_on_demand_cpus(&zone) - lent;
            if missing <= 1e-6 {
                continue;
            }
            // A large machine is cheaper a CPU, but not for a few of them.
            let count = |c: &Choice| (missing / c.machine.free.cpus.max(1e-6)).ceil();
            let cost = |c: &Choice| c.price * count(c);
            let cheapest = (0..choices.len())
                .filter(|&i| !choices[i].machine.spot && choices[i].machine.zone == zone)
                .min_by_key(|&i| OrderedFloat(cost(&choices[i])));
            if let Some(c) = cheapest {
                // A float's cast to an integer saturates.
                let count = count(&choices[c]) as u32;
                self.wanted[c] = self.wanted[c].saturating_add(count).min(MAX_SCALE_OUT);
            }
        }
    }
}

/// The machines to rent for what is left waiting, up to one rental's worth of
/// each offer, most urgent first. `jobs` come in the order in which they compete,
/// with their shapes. `capacity` holds machines with the room that will be free by
/// the time that a rented one could be up; what fits there waits for it.
/// `service_headroom` is kept from spot work in each zone, `ahead` of it is rented before
/// anything needs it.
pub fn plan_scale_out<'a>(
    jobs: impl IntoIterator<Item = (JobView<'a>, &'a Rc<ResourceRequest>)>,
    floor: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    market: &PlanInputs,
) -> Vec<PlannedScaleOut> {
    let reserve = market.service_headroom_cpus;
    let ahead = market.proactive_headroom_cpus;
    let choices = choices(market);
    let mut plan = Plan {
        types: market.types,
        wanted: vec![0; choices.len()],
        choices,
        there: market.machines_by_zone.clone(),
    };
    // Which was wanted first: the cloud takes a call or two a second.
    let mut first: Vec<usize> = Vec::new();
    let mut kinds: BTreeMap<Rc<ResourceRequest>, Kind> = BTreeMap::new();
    // Rented machines with room to spare.
    let mut added = 0;
    let mut lent = market.lent_headroom_cpus.clone();
    for (mut job, shape) in jobs {
        let need = job.resources();
        let job = &mut job;
        if !kinds.contains_key(shape) {
            kinds.insert(shape.clone(), Kind::of(&need, &plan.choices));
        }
        let Some(kind) = kinds.get_mut(shape) else {
            continue;
        };
        if kind.closed != Some(added) && job.team_allows(teams) {
            let placements = place_tasks(job, floor, teams, reserve, u32::MAX);
            let on = placements
                .iter()
                .filter(|placement| placement.uses_service_headroom);
            for m in on.filter_map(|placement| floor.view(placement.machine)) {
                *lent.entry(m.zone.clone()).or_default() += need.cpus;
            }
            if job.waiting_tasks > 0
                && !floor.any_machine_fits(job, PlacementPolicy::for_request(shape, reserve))
            {
                kind.closed = Some(added);
            }
        }
        while job.waiting_tasks > 0 && job.team_allows(teams) {
            let Some(c) = plan.choose(job, kind) else {
                break;
            };
            let mut new = plan.choices[c].machine.clone();
            plan.wanted[c] += 1;
            if !first.contains(&c) {
                first.push(c);
            }
            *plan.there.entry(new.zone.clone()).or_default() += 1;
            while job.team_allows(teams)
                && new.free.fits(&need)
                && job.allows(&new)
                && job.assign_next_task(&mut new, teams)
            {
                if !new.spot {
                    job.at_risk_tasks = job.at_risk_tasks.saturating_sub(1);
                }
            }
            // What is left of it is for those that come after.
            if new.free.cpus > 0.0 {
                added += 1;
                floor.add(new);
            }
        }
    }
    plan.spare(floor, &lent, ahead);
    let wanted = &plan.wanted;
    let rest = (0..wanted.len()).filter(|c| wanted[*c] > 0 && !first.contains(c));
    let order: Vec<usize> = first.iter().copied().chain(rest).collect();
    order
        .into_iter()
        .map(|c| PlannedScaleOut {
            offering: plan.choices[c].offer.clone(),
            count: wanted[c],
        })
        .collect()
}
