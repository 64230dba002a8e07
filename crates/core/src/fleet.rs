//! What to rent and what to return, and the desk that calls the cloud.

use crate::sched::{self, JobView, MachineView, Room, TeamView};
use crate::{Micros, SECOND};
use dillcleat_wire::cloud::{CloudCall, MAX_DELETE, MAX_RENT, MachineType, Rent};
use std::collections::{BTreeSet, HashMap, VecDeque};

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

/// The cheapest open offer for the next tasks of a job.
fn best_offer(
    job: &JobView,
    machines: &[MachineView],
    types: &[MachineType],
    refusals: &Refusals,
    now: Micros,
) -> Option<MachineView> {
    let need = job.room();
    let wanted = job.waiting.len() as u32;
    // Work that may run on spot machines waits for them rather than pay the
    // ordinary price; where there are none at all, it does not.
    let cheap_only = job.spec.spot
        && types
            .iter()
            .any(|t| t.spot_price.is_some() && Room::of_type(t).holds(&need));
    let mut best: Option<(f64, usize, MachineView)> = None;
    for t in types {
        let slots = Room::of_type(t).times(&need).min(wanted);
        if slots == 0 {
            continue;
        }
        for zone in &t.zones {
            for spot in [true, false] {
                if !spot && cheap_only {
                    continue;
                }
                let offer = (t.name.clone(), zone.clone(), spot);
                let Some(price) = price(t, spot) else {
                    continue;
                };
                if !refusals.open(&offer, now) {
                    continue;
                }
                let m = MachineView {
                    name: String::new(),
                    machine_type: t.name.clone(),
                    zone: zone.clone(),
                    spot,
                    free: Room::of_type(t),
                    images: Vec::new(),
                    avoid: Vec::new(),
                };
                if !job.allows(&m) {
                    continue;
                }
                let cost = price / f64::from(slots);
                // Among equals the zone with the fewest machines, so that a
                // zone's loss takes as little as can be.
                let there = machines.iter().filter(|o| o.zone == *zone).count();
                if best.as_ref().is_none_or(|(c, n, _)| {
                    (cost, there) < (*c - 1e-9, *n) || (cost <= *c + 1e-9 && there < *n)
                }) {
                    best = Some((cost, there, m));
                }
            }
        }
    }
    best.map(|(_, _, m)| m)
}

/// The machines to rent for what is left waiting. `machines` holds those that
/// are still booting; what fits there waits for them.
pub fn plan(
    jobs: &mut [JobView],
    machines: &mut Vec<MachineView>,
    teams: &mut [TeamView],
    types: &[MachineType],
    refusals: &Refusals,
    reserve: f64,
    now: Micros,
) -> Vec<(Offer, u32)> {
    let mut wanted: Vec<(Offer, u32)> = Vec::new();
    sched::assign(jobs, machines, teams, f64::INFINITY, reserve);
    for i in sched::order(jobs) {
        while !jobs[i].waiting.is_empty() && jobs[i].team_allows(teams) {
            if wanted.iter().map(|(_, n)| n).sum::<u32>() >= MAX_RENT {
                return wanted;
            }
            let Some(m) = best_offer(&jobs[i], machines, types, refusals, now) else {
                break;
            };
            let offer = (m.machine_type.clone(), m.zone.clone(), m.spot);
            match wanted.iter_mut().find(|(o, _)| *o == offer) {
                Some((_, n)) => *n += 1,
                None => wanted.push((offer, 1)),
            }
            machines.push(m);
            let new = machines.len() - 1;
            let need = jobs[i].room();
            while !jobs[i].waiting.is_empty()
                && jobs[i].team_allows(teams)
                && machines[new].free.holds(&need)
                && jobs[i].allows(&machines[new])
            {
                let job = &mut jobs[i];
                sched::put(job, i, new, machines, teams);
            }
            // What is left of it is for those that come after.
            sched::assign(jobs, &mut machines[new..], teams, f64::INFINITY, 0.0);
        }
    }
    wanted
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
    pub deletes: BTreeSet<String>,
    pub deleting: Vec<String>,
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
            (Errand::Delete, CloudCall::Delete(self.deleting.clone()))
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
