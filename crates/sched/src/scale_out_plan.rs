//! The scale-out plan: which machines to provision for tasks that do not fit on existing ones.
//!
//! The planner goes over the waiting jobs in queue order. A job is first assigned the capacity
//! that will be free by the time a new machine could have booted. For its remaining tasks the
//! planner provisions machines one by one, each from the offering with the lowest price per task.
//! Capacity that the job leaves free on a new machine is available to later jobs. Finally,
//! on-demand machines are provisioned proactively for services that must start before a new
//! machine could boot.

use crate::capacity_index::CapacityIndex;
use crate::cycle::place_tasks;
use crate::placement_policy::PlacementPolicy;
use crate::resources::{OrderedFloat, ROUNDING_TOLERANCE, Resources};
use crate::views::{Images, JobView, MachineView, PlacementRequirements, TeamAllowance};
use dillcleat_wire::cloud::{MAX_MACHINES_PER_SCALE_OUT, MachineType};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Prices per hour that differ by at most this amount are equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// A kind of machine that the cloud offers: a type in a zone, either spot or on-demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineOffering {
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
}

/// A request for machines of one offering.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedScaleOut {
    /// The offering from which the machines are requested.
    pub offering: MachineOffering,
    /// Number of machines, at most [`MAX_MACHINES_PER_SCALE_OUT`].
    pub count: u32,
}

/// Offerings for which a recent request was not fulfilled, with the time until which they are not
/// requested again.
#[derive(Debug, Default)]
pub struct UnavailableOfferings(HashMap<MachineOffering, u64>);

impl UnavailableOfferings {
    /// Excludes an offering until `until_us`, in microseconds of the monotonic clock.
    pub fn mark_unavailable(&mut self, offering: MachineOffering, until_us: u64) {
        self.0.insert(offering, until_us);
    }

    /// Whether the offering may be requested; `now_us` is in microseconds of the monotonic clock.
    pub fn is_available(&self, offering: &MachineOffering, now_us: u64) -> bool {
        let unavailable_until_us = self.0.get(offering);
        unavailable_until_us.is_none_or(|until_us| now_us >= *until_us)
    }
}

/// The inputs of a plan, besides the jobs and the capacity.
#[derive(Debug)]
pub struct PlanInputs<'a> {
    /// All machine types that the cloud offers.
    pub types: &'a [MachineType],
    /// Offerings that must not be requested at present.
    pub unavailable_offerings: &'a UnavailableOfferings,
    /// Zones in which no machines are provisioned, because controllers could not reach them after
    /// boot.
    pub partitioned_zones: BTreeSet<Rc<str>>,
    /// Pairs of machine type and zone whose most recently provisioned machine has exceeded the
    /// expected boot time.
    pub late_offerings: BTreeSet<(Rc<str>, Rc<str>)>,
    /// Number of machines by zone, including those that are booting.
    pub machines_by_zone: BTreeMap<Rc<str>, u32>,
    /// CPUs of the service headroom, by zone, that are used by tasks which services may preempt.
    pub headroom_cpus_in_use: BTreeMap<Rc<str>, f64>,
    /// On-demand CPUs per zone that jobs which may run on spot machines must leave free for
    /// services.
    pub service_headroom_cpus: f64,
    /// The part of the headroom, in on-demand CPUs per zone, that is provisioned before any
    /// service requires it.
    pub proactive_headroom_cpus: f64,
    /// The current time in microseconds of the monotonic clock.
    pub now_us: u64,
}

/// An available offering, with the number of machines planned from it.
struct OfferingState {
    kind: MachineOffering,
    /// The price of one machine per hour.
    price_per_hour: f64,
    /// Whether the most recently provisioned machine of this type and zone has exceeded the
    /// expected boot time.
    is_late: bool,
    /// A new machine of the offering.
    machine: MachineView,
    /// Number of machines that the plan provisions.
    planned_machines: u32,
}

impl OfferingState {
    /// The offering for a machine type in a zone; `None` if it is not available now.
    fn if_available(
        inputs: &PlanInputs,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
    ) -> Option<OfferingState> {
        let price_per_hour = if spot {
            machine_type.spot_price?
        } else {
            machine_type.price
        };
        let offering = MachineOffering {
            machine_type: machine_type.name.clone(),
            zone: zone.to_owned(),
            spot,
        };
        if !inputs
            .unavailable_offerings
            .is_available(&offering, inputs.now_us)
        {
            return None;
        }
        let machine = new_machine(machine_type, zone, spot);
        let type_and_zone = (machine.machine_type.clone(), machine.zone.clone());
        Some(OfferingState {
            kind: offering,
            price_per_hour,
            is_late: inputs.late_offerings.contains(&type_and_zone),
            machine,
            planned_machines: 0,
        })
    }

    /// The price of a new machine per hour, divided by the number of the job's tasks that it would
    /// run; `None` if it would run none.
    fn price_per_task(&self, job: &JobView) -> Option<f64> {
        // For a job that may run on spot machines, on-demand machines are provisioned only for
        // the tasks at risk.
        let tasks = if self.machine.spot || !job.spec.spot || job.at_risk_tasks == 0 {
            job.waiting_tasks
        } else {
            job.waiting_tasks.min(job.at_risk_tasks)
        };
        let fitting = self.machine.free.max_tasks(&job.resources()).min(tasks);
        if fitting == 0 || !job.may_use(&self.machine) {
            return None;
        }
        Some(self.price_per_hour / f64::from(fitting))
    }

    /// How many machines of the offering provide at least `cpus` CPUs in total.
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

fn available_offerings(inputs: &PlanInputs) -> Vec<OfferingState> {
    let mut offerings = Vec::new();
    for machine_type in inputs.types {
        for zone in &machine_type.zones {
            if inputs.partitioned_zones.contains(zone.as_str()) {
                continue;
            }
            for spot in [true, false] {
                offerings.extend(OfferingState::if_available(
                    inputs,
                    machine_type,
                    zone,
                    spot,
                ));
            }
        }
    }
    offerings
}

/// Selects between offerings of equal price: fields are compared in order, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TieBreak {
    is_late: bool,
    /// Zones with few machines are preferred, which limits the impact of a zone outage.
    machines_in_zone: u32,
}

/// The rating of an offering for a job.
#[derive(Debug, Clone, Copy)]
struct RatedOffering {
    /// Index into the list of offerings.
    offering: usize,
    /// Whether a service would have to wait for a machine that boots late.
    delays_service: bool,
    price_per_task: f64,
    tie_break: TieBreak,
}

impl RatedOffering {
    fn is_better_than(&self, other: &RatedOffering) -> bool {
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

/// The inputs to the choice of an offering that may differ between jobs with equal requirements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    waiting_tasks: u32,
    at_risk_tasks: u32,
}

/// Planning results that hold for all jobs with equal requirements.
struct RequirementsState {
    /// The value of [`ScaleOutPlanner::machines_added`] at which the existing and planned
    /// machines had no capacity left for these jobs.
    exhausted_at: Option<usize>,
    /// Number of tasks that fit on the largest offering. Waiting tasks beyond this number do not
    /// change the price per task of any offering.
    max_tasks_per_machine: u32,
    /// Demands that no offering satisfies. Planning further machines does not change this.
    unmet_demands: BTreeSet<Demand>,
}

impl RequirementsState {
    fn new(need: &Resources, offerings: &[OfferingState]) -> RequirementsState {
        let tasks = offerings
            .iter()
            .map(|offering| offering.machine.free.max_tasks(need));
        RequirementsState {
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

/// The state of a plan under construction.
struct ScaleOutPlanner<'a> {
    inputs: &'a PlanInputs<'a>,
    capacity: &'a mut CapacityIndex,
    teams: &'a mut [TeamAllowance],
    offerings: Vec<OfferingState>,
    /// Indexes of the offerings chosen for jobs, in the order in which they were first chosen. The
    /// cloud's API is rate limited, so the most urgent requests have to be sent first.
    chosen_offerings: Vec<usize>,
    /// Number of planned machines added to the capacity index. If it has changed since no capacity
    /// was left for given requirements, capacity may be available to them again.
    machines_added: usize,
    machines_by_zone: BTreeMap<Rc<str>, u32>,
    headroom_cpus_in_use: BTreeMap<Rc<str>, f64>,
}

impl ScaleOutPlanner<'_> {
    /// Plans for one job: uses expected capacity first, then provisions machines.
    fn plan_job(
        &mut self,
        job: &mut JobView,
        requirements: &PlacementRequirements,
        state: &mut RequirementsState,
    ) {
        if state.exhausted_at != Some(self.machines_added) && job.team_allows(self.teams) {
            self.use_expected_capacity(job);
            let policy =
                PlacementPolicy::for_requirements(requirements, self.inputs.service_headroom_cpus);
            if job.waiting_tasks > 0 && !self.capacity.any_machine_fits(job, policy) {
                state.exhausted_at = Some(self.machines_added);
            }
        }
        while job.waiting_tasks > 0 && job.team_allows(self.teams) {
            let Some(offering) = self.choose_offering(job, state) else {
                break;
            };
            self.provision_machine(offering, job);
        }
    }

    /// Places the job's tasks on machines that are running, booting or planned.
    fn use_expected_capacity(&mut self, job: &mut JobView) {
        let headroom_cpus = self.inputs.service_headroom_cpus;
        let placements = place_tasks(job, self.capacity, self.teams, headroom_cpus, u32::MAX);
        let in_headroom = placements
            .iter()
            .filter(|placement| placement.uses_service_headroom);
        for placement in in_headroom {
            if let Some(view) = self.capacity.view(placement.machine) {
                let cpus_in_use = self.headroom_cpus_in_use.entry(view.zone.clone());
                *cpus_in_use.or_default() += job.spec.cpus;
            }
        }
    }

    /// The best offering for the next tasks of the job. Demands that no offering satisfies are
    /// cached.
    fn choose_offering(&self, job: &JobView, state: &mut RequirementsState) -> Option<usize> {
        // The constraints of spread and single-zone jobs depend on where their other tasks run,
        // so the result cannot be reused for other jobs.
        let is_cacheable = !job.spec.spread && !job.spec.single_zone;
        let demand = state.demand(job);
        if is_cacheable && state.unmet_demands.contains(&demand) {
            return None;
        }
        let offering = self.best_offering(job);
        if offering.is_none() && is_cacheable {
            state.unmet_demands.insert(demand);
        }
        offering
    }

    /// The best offering for the next tasks of the job: the one with the lowest price per task,
    /// except that for services an offering that boots late is chosen only if there is no other.
    /// [`TieBreak`] selects between offerings of equal price.
    fn best_offering(&self, job: &JobView) -> Option<usize> {
        let spot_only = self.waits_for_spot(job);
        let mut best: Option<RatedOffering> = None;
        let mut lowest_capped_price = f64::INFINITY;
        for (index, offering) in self.offerings.iter().enumerate() {
            if spot_only && !offering.machine.spot {
                continue;
            }
            let Some(price_per_task) = offering.price_per_task(job) else {
                continue;
            };
            if offering.planned_machines >= MAX_MACHINES_PER_SCALE_OUT {
                // The next plan can request more machines of this offering, so the job waits for
                // that instead of using a more expensive offering now. Otherwise a day could
                // begin with all on-demand machines.
                lowest_capped_price = price_per_task.min(lowest_capped_price);
                continue;
            }
            let rated = self.rate(index, price_per_task, job);
            if best.is_none_or(|best| rated.is_better_than(&best)) {
                best = Some(rated);
            }
        }
        best.filter(|best| best.price_per_task <= lowest_capped_price + PRICE_TOLERANCE)
            .map(|best| best.offering)
    }

    /// Whether the job waits for spot machines instead of using on-demand machines: no task is at
    /// risk of missing its deadline, and a machine type that fits is offered as a spot machine.
    /// The risk counts because spot machines may all be taken: jobs that waited for them
    /// regardless missed a third of their deadlines beside available on-demand offerings.
    fn waits_for_spot(&self, job: &JobView) -> bool {
        let need = job.resources();
        let has_spot = |machine_type: &MachineType| {
            machine_type.spot_price.is_some() && Resources::of_type(machine_type).covers(&need)
        };
        job.spec.spot && job.at_risk_tasks == 0 && self.inputs.types.iter().any(has_spot)
    }

    fn rate(&self, index: usize, price_per_task: f64, job: &JobView) -> RatedOffering {
        let offering = &self.offerings[index];
        let machines_in_zone = self.machines_by_zone.get(&offering.machine.zone);
        RatedOffering {
            offering: index,
            delays_service: job.is_service() && offering.is_late,
            price_per_task,
            tie_break: TieBreak {
                is_late: offering.is_late,
                machines_in_zone: machines_in_zone.copied().unwrap_or(0),
            },
        }
    }

    /// Plans one more machine of the offering and places the job's tasks on it.
    fn provision_machine(&mut self, index: usize, job: &mut JobView) {
        let offering = &mut self.offerings[index];
        offering.planned_machines += 1;
        let mut machine = offering.machine.clone();
        if !self.chosen_offerings.contains(&index) {
            self.chosen_offerings.push(index);
        }
        let in_zone = self.machines_by_zone.entry(machine.zone.clone());
        *in_zone.or_default() += 1;
        let need = job.resources();
        while job.team_allows(self.teams)
            && machine.free.covers(&need)
            && job.may_use(&machine)
            && job.assign_next_task(&mut machine, self.teams)
        {
            if !machine.spot {
                job.at_risk_tasks = job.at_risk_tasks.saturating_sub(1);
            }
        }
        // The remaining capacity is available to later jobs.
        if machine.free.cpus > 0.0 {
            self.machines_added += 1;
            self.capacity.add(machine);
        }
    }

    /// Provisions on-demand machines for services that must start before a new machine could
    /// boot, until each zone has the proactive headroom free.
    ///
    /// Reserving the headroom is not enough, because the first services that start use it up.
    /// Headroom that preemptible tasks use counts as free. Otherwise each starving job would cause
    /// further on-demand machines to be provisioned, without limit.
    fn plan_proactive_headroom(&mut self) {
        if self.inputs.proactive_headroom_cpus <= 0.0 {
            return;
        }
        let zones: BTreeSet<Rc<str>> = self
            .offerings
            .iter()
            .map(|offering| offering.machine.zone.clone())
            .collect();
        for zone in zones {
            self.plan_proactive_headroom_in(&zone);
        }
    }

    fn plan_proactive_headroom_in(&mut self, zone: &str) {
        let cpus_in_use = self.headroom_cpus_in_use.get(zone).copied().unwrap_or(0.0);
        let free_cpus = self.capacity.free_on_demand_cpus(zone);
        let missing_cpus = self.inputs.proactive_headroom_cpus - free_cpus - cpus_in_use;
        if missing_cpus <= ROUNDING_TOLERANCE {
            return;
        }
        // Total cost is compared and not cost per CPU: a large machine may be cheaper per CPU but
        // more expensive for a few CPUs.
        let cost = |offering: &OfferingState| {
            offering.price_per_hour * offering.machines_for_cpus(missing_cpus)
        };
        let cheapest = self
            .offerings
            .iter_mut()
            .filter(|offering| !offering.machine.spot && *offering.machine.zone == *zone)
            .min_by_key(|offering| OrderedFloat(cost(offering)));
        if let Some(offering) = cheapest {
            // A cast from a float saturates.
            let machines = offering.machines_for_cpus(missing_cpus) as u32;
            let planned = offering.planned_machines.saturating_add(machines);
            offering.planned_machines = planned.min(MAX_MACHINES_PER_SCALE_OUT);
        }
    }

    /// The resulting plan. Offerings chosen for jobs come first.
    fn into_planned_scale_outs(self) -> Vec<PlannedScaleOut> {
        let chosen = self.chosen_offerings.iter().copied();
        let others =
            (0..self.offerings.len()).filter(|index| !self.chosen_offerings.contains(index));
        chosen
            .chain(others)
            .map(|index| &self.offerings[index])
            .filter(|offering| offering.planned_machines > 0)
            .map(|offering| PlannedScaleOut {
                offering: offering.kind.clone(),
                count: offering.planned_machines,
            })
            .collect()
    }
}

/// Plans which machines to provision for tasks that do not fit on existing ones, the most urgent
/// first and at most [`MAX_MACHINES_PER_SCALE_OUT`] of each offering (see the [module](self)).
///
/// `jobs` must be in queue order, each with its requirements. `capacity` must contain the existing
/// machines with the resources that will be free by the time a new machine could have booted. The
/// planner updates it: it assigns tasks to the machines and adds the planned machines.
pub fn plan_scale_out<'a>(
    jobs: impl IntoIterator<Item = (JobView<'a>, &'a Rc<PlacementRequirements>)>,
    capacity: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    inputs: &PlanInputs,
) -> Vec<PlannedScaleOut> {
    let mut planner = ScaleOutPlanner {
        inputs,
        capacity,
        teams,
        offerings: available_offerings(inputs),
        chosen_offerings: Vec::new(),
        machines_added: 0,
        machines_by_zone: inputs.machines_by_zone.clone(),
        headroom_cpus_in_use: inputs.headroom_cpus_in_use.clone(),
    };
    let mut requirements_states: BTreeMap<&Rc<PlacementRequirements>, RequirementsState> =
        BTreeMap::new();
    for (mut job, requirements) in jobs {
        let state = requirements_states
            .entry(requirements)
            .or_insert_with(|| RequirementsState::new(&job.resources(), &planner.offerings));
        planner.plan_job(&mut job, requirements, state);
    }
    planner.plan_proactive_headroom();
    planner.into_planned_scale_outs()
}
