//! What to rent and what to return, and the desk that calls the cloud.

use crate::sched::{self, JobView, MachineView, Room, TeamView};
use crate::workers::Images;
use crate::{Micros, SECOND};
use dillcleat_wire::cloud::{CloudCall, MAX_DELETE, MAX_RENT, MachineType, Rent};
use dillcleat_wire::user::Kind;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// What a rental is for: type, zone, and whether it is a spot machine.
pub type Offer = (String, String, bool);

/// Offers that were refused lately, with the time until which not to ask.
#[derive(Debug, Default)]
pub struct Refusals(HashMap<Offer, Micros>);

impl Refusals {
    pub fn refuse(&mut self, offer: Offer, until: Micros) {
        self.0.insert(offer, until);
    }

    pub fn open(&self, offer: &Offer, now: Micros) -> bool {
        self.0.get(offer).is_none_or(|until| now >= *until)
    }
}

/// The price of a type's machine per hour.
fn price(t: &MachineType, spot: bool) -> Option<f64> {
    if spot { t.spot_price } else { Some(t.price) }
}

/// What is known of what the cloud rents.
pub struct Market<'a> {
    pub types: &'a [MachineType],
    pub refusals: &'a Refusals,
    /// Zones in which nothing is rented.
    pub dark: BTreeSet<Rc<str>>,
    /// Types and zones in which what was rented last is late.
    pub slow: BTreeSet<(Rc<str>, Rc<str>)>,
    pub now: Micros,
}

/// An offer that is open, as a plan sees it.
struct Choice {
    offer: Offer,
    price: f64,
    /// What was rented last of it is late.
    slow: bool,
    machine: MachineView,
}

fn choices(market: &Market) -> Vec<Choice> {
    let mut choices = Vec::new();
    for t in market.types {
        let machine_type: Rc<str> = Rc::from(t.name.as_str());
        for zone in t.zones.iter().filter(|z| !market.dark.contains(z.as_str())) {
            for spot in [true, false] {
                let offer = (t.name.clone(), zone.clone(), spot);
                let open = market.refusals.open(&offer, market.now);
                let Some(price) = price(t, spot).filter(|_| open) else {
                    continue;
                };
                let place = (machine_type.clone(), Rc::from(zone.as_str()));
                choices.push(Choice {
                    offer,
                    price,
                    slow: market.slow.contains(&place),
                    machine: MachineView {
                        name: Rc::from(""),
                        machine_type: machine_type.clone(),
                        zone: Rc::from(zone.as_str()),
                        spot,
                        free: Room::of_type(t),
                        images: Images::default(),
                        warm: 0,
                        avoid: Vec::new(),
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

/// The cheapest open offer for the next tasks of a job.
fn best_choice(
    job: &JobView,
    choices: &[Choice],
    wanted: &[u32],
    there: &BTreeMap<Rc<str>, u32>,
    types: &[MachineType],
) -> Option<usize> {
    let need = job.room();
    let waiting = job.waiting.len() as u32;
    // Work that may run on spot machines waits for them rather than pay the
    // ordinary price, as long as it can; where there are none at all, it does
    // not. With every spot machine taken, rosterwise-nz-grown once missed a
    // third of its deadlines beside idle ordinary offers.
    let cheap_only = job.spec.spot
        && job.late == 0
        && types
            .iter()
            .any(|t| t.spot_price.is_some() && Room::of_type(t).holds(&need));
    // Services do not wait for what is late while other offers arrive, and of
    // equal offers nobody does.
    let mut best: Option<Rated> = None;
    let service = job.spec.kind == Kind::Service;
    let mut cheaper = f64::INFINITY;
    for (i, c) in choices.iter().enumerate() {
        // An ordinary machine is rented for late tasks only, so only they count.
        let most = if c.machine.spot || !job.spec.spot || job.late == 0 {
            waiting
        } else {
            waiting.min(job.late)
        };
        let slots = c.machine.free.times(&need).min(most);
        if slots == 0 || (cheap_only && !c.machine.spot) || !job.allows(&c.machine) {
            continue;
        }
        let cost = c.price / f64::from(slots);
        if wanted[i] >= MAX_RENT {
            // More of it is asked for once this is answered. To go on to a
            // dearer offer meanwhile once rented all ordinary machines at the
            // start of a day (rosterwise-nz-grown).
            cheaper = cost.min(cheaper);
            continue;
        }
        // Among equals the zone with the fewest machines, so that a
        // zone's loss takes as little as can be.
        let there = there.get(&c.machine.zone).copied().unwrap_or(0);
        let rated = Rated {
            waits: service && c.slow,
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

/// Rents ordinary room ahead of the services that must start sooner than any
/// machine boots, until each zone has `reserve` CPUs of it free: kept from
/// other work alone, the room is used up by the first service that comes.
fn spare(choices: &[Choice], wanted: &mut [u32], ordinary: &BTreeMap<Rc<str>, f64>, reserve: f64) {
    if reserve <= 0.0 {
        return;
    }
    let zones: BTreeSet<Rc<str>> = choices.iter().map(|c| c.machine.zone.clone()).collect();
    for zone in zones {
        let missing = reserve - ordinary.get(&zone).copied().unwrap_or(0.0);
        if missing <= 1e-6 {
            continue;
        }
        // A large machine is cheaper a CPU, but not for a few of them.
        let count = |c: &Choice| (missing / c.machine.free.cpus.max(1e-6)).ceil();
        let cost = |c: &Choice| c.price * count(c);
        let cheapest = (0..choices.len())
            .filter(|&i| !choices[i].machine.spot && choices[i].machine.zone == zone)
            .min_by(|&a, &b| cost(&choices[a]).total_cmp(&cost(&choices[b])));
        if let Some(c) = cheapest {
            // A float's cast to an integer saturates.
            wanted[c] = (wanted[c] + count(&choices[c]) as u32).min(MAX_RENT);
        }
    }
}

/// The machines to rent for what is left waiting, up to one rental's worth of
/// each offer, most urgent first. `machines` holds those that are still
/// booting; what fits there waits for them. `reserve` is kept from spot work in
/// each zone, `ahead` of it is rented before anything needs it.
pub fn plan(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    teams: &mut [TeamView],
    market: &Market,
    reserve: f64,
    ahead: f64,
) -> Vec<(Offer, u32)> {
    sched::assign(jobs, machines, teams, f64::INFINITY, reserve);
    let choices = choices(market);
    let mut wanted = vec![0; choices.len()];
    // Which was wanted first: the cloud takes a call or two a second.
    let mut first: Vec<usize> = Vec::new();
    let mut there: BTreeMap<Rc<str>, u32> = BTreeMap::new();
    let mut ordinary: BTreeMap<Rc<str>, f64> = BTreeMap::new();
    for m in machines.iter() {
        *there.entry(m.zone.clone()).or_default() += 1;
        if !m.spot {
            *ordinary.entry(m.zone.clone()).or_default() += m.free.cpus;
        }
    }
    for i in sched::order(jobs) {
        while !jobs[i].waiting.is_empty() && jobs[i].team_allows(teams) {
            let Some(c) = best_choice(&jobs[i], &choices, &wanted, &there, market.types) else {
                break;
            };
            let m = choices[c].machine.clone();
            wanted[c] += 1;
            if !first.contains(&c) {
                first.push(c);
            }
            *there.entry(m.zone.clone()).or_default() += 1;
            let mut new = [m];
            let need = jobs[i].room();
            while jobs[i].team_allows(teams)
                && new[0].free.holds(&need)
                && jobs[i].allows(&new[0])
                && sched::put(&mut jobs[i], i, 0, &mut new, teams).is_some()
            {
                if !new[0].spot {
                    jobs[i].late = jobs[i].late.saturating_sub(1);
                }
            }
            // What is left of it is for those that come after.
            if new[0].free.cpus > 0.0 {
                sched::assign(jobs, &mut new, teams, f64::INFINITY, 0.0);
            }
            if !new[0].spot {
                *ordinary.entry(new[0].zone.clone()).or_default() += new[0].free.cpus;
            }
        }
    }
    spare(&choices, &mut wanted, &ordinary, ahead);
    let rest = (0..choices.len()).filter(|c| wanted[*c] > 0 && !first.contains(c));
    let order: Vec<usize> = first.iter().copied().chain(rest).collect();
    order
        .into_iter()
        .map(|c| (choices[c].offer.clone(), wanted[c]))
        .collect()
}

/// A rental that has no final answer yet.
#[derive(Debug, Clone)]
pub struct Rental {
    pub rent: Rent,
    pub since: Micros,
    /// An earlier try may have been carried out: its name must be repeated
    /// until there is an answer.
    pub uncertain: bool,
}

/// One call to the cloud at a time, within its rate, most urgent first.
#[derive(Debug)]
pub struct Desk {
    rate: f64,
    tokens: f64,
    refilled: Micros,
    pub busy: bool,
    pub pause_until: Micros,
    pub deletes: BTreeSet<Rc<str>>,
    pub deleting: Vec<Rc<str>>,
    pub rentals: VecDeque<Rental>,
    pub list_at: Micros,
    pub list_after: Option<String>,
    pub types_at: Micros,
    rented: u64,
}

/// Which call went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Errand {
    Delete,
    Rent,
    List,
    Types,
}

impl Desk {
    pub fn new(rate: f64, now: Micros) -> Self {
        Desk {
            rate,
            tokens: 1.0,
            refilled: now,
            busy: false,
            pause_until: now,
            deletes: BTreeSet::new(),
            deleting: Vec::new(),
            rentals: VecDeque::new(),
            list_at: now,
            list_after: None,
            types_at: now,
            rented: 0,
        }
    }

    /// A rental's name: never used again, by this node or another, since no
    /// other leader has this term.
    pub fn name(&mut self, term: u64) -> String {
        self.rented += 1;
        format!("t{term}-{}", self.rented)
    }

    pub fn next(&mut self, now: Micros) -> Option<(Errand, CloudCall)> {
        self.tokens = (self.tokens
            + crate::seconds(now.saturating_sub(self.refilled)) * self.rate * 0.9)
            .min(self.rate.max(1.0));
        self.refilled = now;
        if self.busy || now < self.pause_until || self.tokens < 1.0 {
            return None;
        }
        let errand = if !self.deletes.is_empty() {
            self.deleting = self.deletes.iter().take(MAX_DELETE).cloned().collect();
            let names = self.deleting.iter().map(|n| n.to_string()).collect();
            (Errand::Delete, CloudCall::Delete(names))
        } else if now >= self.types_at {
            (Errand::Types, CloudCall::Types)
        } else if let Some(r) = self.rentals.front() {
            (Errand::Rent, CloudCall::Rent(r.rent.clone()))
        } else if now >= self.list_at {
            let after = self.list_after.clone();
            (Errand::List, CloudCall::List { after })
        } else {
            return None;
        };
        self.busy = true;
        self.tokens -= 1.0;
        Some(errand)
    }

    /// The cloud is in trouble or out of reach: nothing but renting and
    /// returning stalls.
    pub fn pause(&mut self, now: Micros) {
        self.pause_until = now + SECOND;
    }
}
