//! The scale-out plan: which machines to rent for tasks that find no capacity.
//!
//! The plan goes over the waiting jobs in the order in which they compete. A job first takes
//! the capacity that will be free by the time a rented machine could be up. For what is left
//! of it the offer with the lowest price per task is rented, one machine after the other, and
//! what the job leaves free on a new machine is there for the jobs behind it. Last, on-demand
//! machines are rented ahead of services that must start sooner than any machine boots.

use crate::capacity_index::CapacityIndex;
use crate::cycle::place_tasks;
use crate::placement_policy::PlacementPolicy;
use crate::resources::{OrderedFloat, ROUNDING_TOLERANCE, Resources};
use crate::views::{Images, JobView, MachineView, ResourceRequest, TeamAllowance};
use dillcleat_wire::cloud::{MAX_SCALE_OUT, MachineType};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Prices per hour that differ by no more are taken as equal.
const PRICE_TOLERANCE: f64 = 1e-9;

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

/// Offerings that the cloud refused lately, with the time until which not to ask for them.
#[derive(Debug, Default)]
pub struct RefusedOfferings(HashMap<InstanceOffering, u64>);

impl RefusedOfferings {
    /// Records a refusal; `until_us` is in microseconds of the monotonic clock.
    pub fn refuse(&mut self, offering: InstanceOffering, until_us: u64) {
        self.0.insert(offering, until_us);
    }

    /// Whether the offering may be asked for; `now_us` is in microseconds of the monotonic
    /// clock.
    pub fn is_open(&self, offering: &InstanceOffering, now_us: u64) -> bool {
        let refused_until_us = self.0.get(offering);
        refused_until_us.is_none_or(|until_us| now_us >= *until_us)
    }
}

/// What a plan is made from, beside the jobs and the capacity.
#[derive(Debug)]
pub struct PlanInputs<'a> {
    /// All machine types of the cloud.
    pub types: &'a [MachineType],
    /// Offerings that are not asked for at present.
    pub refusals: &'a RefusedOfferings,
    /// Zones in which nothing is rented: machines there would be paid for and never heard of.
    pub unreachable_zones: BTreeSet<Rc<str>>,
    /// Machine types and zones whose machine rented last is late to boot.
    pub late_offerings: BTreeSet<(Rc<str>, Rc<str>)>,
    /// Number of machines by zone, those that are booting included.
    pub machines_by_zone: BTreeMap<Rc<str>, u32>,
    /// CPUs by zone of the service headroom that are lent to work which services may preempt.
    pub lent_headroom_cpus: BTreeMap<Rc<str>, f64>,
    /// On-demand CPUs per zone that spot work must leave free for services.
    pub service_headroom_cpus: f64,
    /// On-demand CPUs per zone, a part of the headroom, that are rented before any service
    /// needs them.
    pub proactive_headroom_cpus: f64,
    /// In microseconds of the monotonic clock.
    pub now_us: u64,
}

/// An offering that may be rented now.
struct Offer {
    offering: InstanceOffering,
    /// Of one machine.
    price_per_hour: f64,
    /// The machine of this type and zone rented last is late to boot.
    late: bool,
    /// A new machine of the offering.
    machine: MachineView,
    /// How many machines the plan rents.
    planned_machines: u32,
}

impl Offer {
    /// The offer of the machine type, or None if it cannot be rented now.
    fn open(
        inputs: &PlanInputs,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
    ) -> Option<Offer> {
        let price_per_hour = if spot {
            machine_type.spot_price?
        } else {
            machine_type.price
        };
        let offering = InstanceOffering {
            machine_type: machine_type.name.clone(),
            zone: zone.to_owned(),
            spot,
        };
        if !inputs.refusals.is_open(&offering, inputs.now_us) {
            return None;
        }
        let machine = new_machine(machine_type, zone, spot);
        let type_and_zone = (machine.machine_type.clone(), machine.zone.clone());
        Some(Offer {
            offering,
            price_per_hour,
            late: inputs.late_offerings.contains(&type_and_zone),
            machine,
            planned_machines: 0,
        })
    }

    /// The price per hour for each of the job's tasks that a new machine would take; None if it
    /// would take none.
    fn price_per_task(&self, job: &JobView) -> Option<f64> {
        // On-demand machines are rented for spot work only if it is late, so only the late
        // tasks count.
        let tasks = if self.machine.spot || !job.spec.spot || job.at_risk_tasks == 0 {
            job.waiting_tasks
        } else {
            job.waiting_tasks.min(job.at_risk_tasks)
        };
        let fitting = self.machine.free.count_fitting(&job.resources()).min(tasks);
        if fitting == 0 || !job.allows(&self.machine) {
            return None;
        }
        Some(self.price_per_hour / f64::from(fitting))
    }

    /// How many machines have so many CPUs together.
    fn machines_for_cpus(&self, cpus: f64) -> f64 {
        (cpus / self.machine.free.cpus.max(ROUNDING_TOLERANCE)).ceil()
    }
}

fn new_machine(machine_type: &MachineType, zone: &str, spot: bool) -> MachineView {
    MachineView {
        machine_type: Rc::from(machine_type.name.as_str()),
        zone: Rc::from(zone),
        spot,
        free: Resources::of_type(machine_type),
        images: Images::default(),
        service_images: 0,
        failed_jobs: Vec::new(),
        cordoned: false,
        outbound_unreachable: false,
    }
}

fn open_offers(inputs: &PlanInputs) -> Vec<Offer> {
    let mut offers = Vec::new();
    for machine_type in inputs.types {
        for zone in &machine_type.zones {
            if inputs.unreachable_zones.contains(zone.as_str()) {
                continue;
            }
            for spot in [true, false] {
                offers.extend(Offer::open(inputs, machine_type, zone, spot));
            }
        }
    }
    offers
}

/// Decides between offers of equal price, field by field, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TieBreak {
    late: bool,
    /// Few, so that the loss of a zone takes as few machines as possible.
    machines_in_zone: u32,
}

/// How good an offer is for a job.
#[derive(Debug, Clone, Copy)]
struct RatedOffer {
    /// Position in the list of offers.
    offer: usize,
    /// A service would wait for a machine that is late.
    delays_service: bool,
    price_per_task: f64,
    tie_break: TieBreak,
}

impl RatedOffer {
    fn is_better_than(&self, other: &RatedOffer) -> bool {
        if self.delays_service != other.delays_service {
            return other.delays_service;
        }
        if (self.price_per_task - other.price_per_task).abs() <= PRICE_TOLERANCE {
            self.tie_break < other.tie_break
        } else {
            self.price_per_task < other.price_per_task
        }
    }
}

/// What else than the request decides which offer suits a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    waiting_tasks: u32,
    at_risk_tasks: u32,
}

/// What is known of all jobs with an equal request.
struct RequestState {
    /// The existing and planned machines have no capacity for them, as found when the plan had
    /// [`ScaleOutPlanner::machines_added`] at this value.
    exhausted_at: Option<usize>,
    /// How many tasks the largest offer takes: more waiting ones make none cheaper.
    max_tasks_per_machine: u32,
    /// Demands that no offer suits. Machines planned later do not change that.
    unmet_demands: BTreeSet<Demand>,
}

impl RequestState {
    fn new(need: &Resources, offers: &[Offer]) -> RequestState {
        let tasks = offers
            .iter()
            .map(|offer| offer.machine.free.count_fitting(need));
        RequestState {
            exhausted_at: None,
            max_tasks_per_machine: tasks.max().unwrap_or(0),
            unmet_demands: BTreeSet::new(),
        }
    }

    fn demand(&self, job: &JobView) -> Demand {
        Demand {
            waiting_tasks: job.waiting_tasks.min(self.max_tasks_per_machine),
            at_risk_tasks: job.at_risk_tasks.min(self.max_tasks_per_machine),
        }
    }
}

/// A plan in the making.
struct ScaleOutPlanner<'a> {
    inputs: &'a PlanInputs<'a>,
    capacity: &'a mut CapacityIndex,
    teams: &'a mut [TeamAllowance],
    offers: Vec<Offer>,
    /// Positions of the offers rented for jobs, in the order in which they were first chosen:
    /// the cloud takes a call or two a second, so the most urgent goes first.
    chosen_offers: Vec<usize>,
    /// Planned machines that still have free CPUs, as they were added to the capacity.
    machines_added: usize,
    machines_by_zone: BTreeMap<Rc<str>, u32>,
    lent_headroom_cpus: BTreeMap<Rc<str>, f64>,
}

impl ScaleOutPlanner<'_> {
    /// Plans for one job: uses the capacity that there is, then rents.
    fn plan_job(&mut self, job: &mut JobView, request: &ResourceRequest, state: &mut RequestState) {
        if state.exhausted_at != Some(self.machines_added) && job.team_allows(self.teams) {
            self.use_expected_capacity(job);
            let policy = PlacementPolicy::for_request(request, self.inputs.service_headroom_cpus);
            if job.waiting_tasks > 0 && !self.capacity.any_machine_fits(job, policy) {
                state.exhausted_at = Some(self.machines_added);
            }
        }
        while job.waiting_tasks > 0 && job.team_allows(self.teams) {
            let Some(offer) = self.choose_offer(job, state) else {
                break;
            };
            self.rent_machine(offer, job);
        }
    }

    /// Places the job's tasks on machines that are up, booting or planned.
    fn use_expected_capacity(&mut self, job: &mut JobView) {
        let headroom_cpus = self.inputs.service_headroom_cpus;
        let placements = place_tasks(job, self.capacity, self.teams, headroom_cpus, u32::MAX);
        let in_headroom = placements
            .iter()
            .filter(|placement| placement.uses_service_headroom);
        for placement in in_headroom {
            if let Some(view) = self.capacity.view(placement.machine) {
                let lent_cpus = self.lent_headroom_cpus.entry(view.zone.clone());
                *lent_cpus.or_default() += job.spec.cpus;
            }
        }
    }

    /// The best offer for the next tasks of the job, remembering demands that none suits.
    fn choose_offer(&self, job: &JobView, state: &mut RequestState) -> Option<usize> {
        // Whether rules about the job's other tasks are met differs from job to job.
        let comparable = !job.spec.spread && !job.spec.single_zone;
        let demand = state.demand(job);
        if comparable && state.unmet_demands.contains(&demand) {
            return None;
        }
        let offer = self.best_offer(job);
        if offer.is_none() && comparable {
            state.unmet_demands.insert(demand);
        }
        offer
    }

    /// The best offer for the next tasks of the job: the cheapest, except that services do not
    /// wait for a late machine while other offers arrive; of equals one that is not late.
    fn best_offer(&self, job: &JobView) -> Option<usize> {
        let spot_only = self.waits_for_spot(job);
        let mut best: Option<RatedOffer> = None;
        let mut lowest_capped_price = f64::INFINITY;
        for (index, offer) in self.offers.iter().enumerate() {
            if spot_only && !offer.machine.spot {
                continue;
            }
            let Some(price_per_task) = offer.price_per_task(job) else {
                continue;
            };
            if offer.planned_machines >= MAX_SCALE_OUT {
                // More machines of it are asked for once this request is answered. Going on to
                // a dearer offer meanwhile once rented all on-demand machines at the start of
                // a day (rosterwise-nz-grown).
                lowest_capped_price = price_per_task.min(lowest_capped_price);
                continue;
            }
            let rated = self.rate(index, price_per_task, job);
            if best.is_none_or(|best| rated.is_better_than(&best)) {
                best = Some(rated);
            }
        }
        best.filter(|best| best.price_per_task <= lowest_capped_price + PRICE_TOLERANCE)
            .map(|best| best.offer)
    }

    /// Whether the job waits for spot machines rather than pay the on-demand price: as long as
    /// no task is at risk and any type that fits has spot machines at all. With every spot
    /// machine taken, rosterwise-nz-grown once missed a third of its deadlines beside idle
    /// on-demand offers.
    fn waits_for_spot(&self, job: &JobView) -> bool {
        let need = job.resources();
        let has_spot = |machine_type: &MachineType| {
            machine_type.spot_price.is_some() && Resources::of_type(machine_type).fits(&need)
        };
        job.spec.spot && job.at_risk_tasks == 0 && self.inputs.types.iter().any(has_spot)
    }

    fn rate(&self, index: usize, price_per_task: f64, job: &JobView) -> RatedOffer {
        let offer = &self.offers[index];
        let machines_in_zone = self.machines_by_zone.get(&offer.machine.zone);
        RatedOffer {
            offer: index,
            delays_service: job.is_service() && offer.late,
            price_per_task,
            tie_break: TieBreak {
                late: offer.late,
                machines_in_zone: machines_in_zone.copied().unwrap_or(0),
            },
        }
    }

    /// Plans one more machine of the offer and places the job's tasks on it.
    fn rent_machine(&mut self, index: usize, job: &mut JobView) {
        let offer = &mut self.offers[index];
        offer.planned_machines += 1;
        let mut machine = offer.machine.clone();
        if !self.chosen_offers.contains(&index) {
            self.chosen_offers.push(index);
        }
        let in_zone = self.machines_by_zone.entry(machine.zone.clone());
        *in_zone.or_default() += 1;
        let need = job.resources();
        while job.team_allows(self.teams)
            && machine.free.fits(&need)
            && job.allows(&machine)
            && job.assign_next_task(&mut machine, self.teams)
        {
            if !machine.spot {
                job.at_risk_tasks = job.at_risk_tasks.saturating_sub(1);
            }
        }
        // What is left of it is for the jobs that come after.
        if machine.free.cpus > 0.0 {
            self.machines_added += 1;
            self.capacity.add(machine);
        }
    }

    /// Rents on-demand machines ahead of the services that must start sooner than any machine
    /// boots, until each zone has the proactive headroom free.
    ///
    /// Headroom that is only kept from other work is used up by the first service that comes.
    /// What is lent counts as free: rented anew, it would be lent again to the next job that
    /// starves, and so on for as long as any does.
    fn plan_proactive_headroom(&mut self) {
        if self.inputs.proactive_headroom_cpus <= 0.0 {
            return;
        }
        let zones: BTreeSet<Rc<str>> = self
            .offers
            .iter()
            .map(|offer| offer.machine.zone.clone())
            .collect();
        for zone in zones {
            self.plan_proactive_headroom_in(&zone);
        }
    }

    fn plan_proactive_headroom_in(&mut self, zone: &str) {
        let lent_cpus = self.lent_headroom_cpus.get(zone).copied().unwrap_or(0.0);
        let free_cpus = self.capacity.free_on_demand_cpus(zone);
        let missing_cpus = self.inputs.proactive_headroom_cpus - free_cpus - lent_cpus;
        if missing_cpus <= ROUNDING_TOLERANCE {
            return;
        }
        // A large machine is cheaper per CPU, but not for a few of them.
        let cost = |offer: &Offer| offer.price_per_hour * offer.machines_for_cpus(missing_cpus);
        let cheapest = self
            .offers
            .iter_mut()
            .filter(|offer| !offer.machine.spot && *offer.machine.zone == *zone)
            .min_by_key(|offer| OrderedFloat(cost(offer)));
        if let Some(offer) = cheapest {
            // A cast from a float saturates.
            let machines = offer.machines_for_cpus(missing_cpus) as u32;
            let planned = offer.planned_machines.saturating_add(machines);
            offer.planned_machines = planned.min(MAX_SCALE_OUT);
        }
    }

    /// The plan: offers chosen for jobs come first.
    fn into_planned_scale_outs(self) -> Vec<PlannedScaleOut> {
        let chosen = self.chosen_offers.iter().copied();
        let others = (0..self.offers.len()).filter(|index| !self.chosen_offers.contains(index));
        chosen
            .chain(others)
            .map(|index| &self.offers[index])
            .filter(|offer| offer.planned_machines > 0)
            .map(|offer| PlannedScaleOut {
                offering: offer.offering.clone(),
                count: offer.planned_machines,
            })
            .collect()
    }
}

/// Plans which machines to rent for the tasks that find no capacity, the most urgent first and
/// at most [`MAX_SCALE_OUT`] of each offering (see the [module](self)).
///
/// `jobs` come in the order in which they compete, with their requests. `capacity` must hold
/// the machines with what will be free by the time that a rented machine could be up; the plan
/// fills it and adds the machines that it rents.
pub fn plan_scale_out<'a>(
    jobs: impl IntoIterator<Item = (JobView<'a>, &'a Rc<ResourceRequest>)>,
    capacity: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    inputs: &PlanInputs,
) -> Vec<PlannedScaleOut> {
    let mut planner = ScaleOutPlanner {
        inputs,
        capacity,
        teams,
        offers: open_offers(inputs),
        chosen_offers: Vec::new(),
        machines_added: 0,
        machines_by_zone: inputs.machines_by_zone.clone(),
        lent_headroom_cpus: inputs.lent_headroom_cpus.clone(),
    };
    let mut request_states: BTreeMap<&Rc<ResourceRequest>, RequestState> = BTreeMap::new();
    for (mut job, request) in jobs {
        let state = request_states
            .entry(request)
            .or_insert_with(|| RequestState::new(&job.resources(), &planner.offers));
        planner.plan_job(&mut job, request, state);
    }
    planner.plan_proactive_headroom();
    planner.into_planned_scale_outs()
}
