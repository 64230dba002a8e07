//! A stand-in for the cloud.

use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::cloud::{
    CloudRequest, CloudResponse, ListedMachine, MAX_MACHINES_PER_PAGE, MachineList, MachineState,
    MachineType,
};
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Clone)]
pub struct Host {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub since: Micros,
    pub up_at: Option<Micros>,
}

#[derive(Debug)]
pub struct Cloud {
    pub types: Vec<MachineType>,
    pub hosts: BTreeMap<String, Host>,
    /// Machines still to be had, by type, zone and kind.
    capacity: BTreeMap<(String, String, bool), u32>,
    answered: BTreeMap<String, Vec<String>>,
    next: u64,
    lag: Micros,
    history: VecDeque<(Micros, Vec<ListedMachine>)>,
    pub out_until: Micros,
}

impl Cloud {
    pub fn new(types: Vec<MachineType>, per_offer: u32, lag: Micros) -> Self {
        let mut capacity = BTreeMap::new();
        for t in &types {
            for z in &t.zones {
                for spot in [false, true] {
                    capacity.insert((t.name.clone(), z.clone(), spot), per_offer);
                }
            }
        }
        Cloud {
            types,
            hosts: BTreeMap::new(),
            capacity,
            answered: BTreeMap::new(),
            next: 0,
            lag,
            history: VecDeque::new(),
            out_until: 0,
        }
    }

    /// Takes a machine away, for whatever reason.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(h) = self.hosts.remove(name) else {
            return false;
        };
        if let Some(n) = self.capacity.get_mut(&(h.machine_type, h.zone, h.spot)) {
            *n += 1;
        }
        true
    }

    /// Notes the list as it is now; what is served is older.
    pub fn note(&mut self, now: Micros) {
        let list = self
            .hosts
            .iter()
            .map(|(name, h)| ListedMachine {
                name: name.clone(),
                addr: Some(format!("{name}:9000")),
                machine_type: h.machine_type.clone(),
                zone: h.zone.clone(),
                spot: h.spot,
                state: match h.up_at {
                    Some(at) if at <= now => MachineState::Running,
                    _ => MachineState::Booting,
                },
                age_s: 0.0,
            })
            .collect();
        self.history.push_back((now, list));
        while self.history.len() > 1 && self.history[1].0 + self.lag < now {
            self.history.pop_front();
        }
    }

    /// Carries a call out. Names of new and of deleted machines are returned
    /// for the world to act upon.
    pub fn call(
        &mut self,
        call: &CloudRequest,
        now: Micros,
        boot: impl Fn(&str) -> Option<Micros>,
    ) -> (CloudResponse, Vec<String>, Vec<String>) {
        if now < self.out_until {
            return (
                CloudResponse::RateLimitedOrUnavailable { status: 503 },
                vec![],
                vec![],
            );
        }
        match call {
            CloudRequest::Types => (CloudResponse::Types(self.types.clone()), vec![], vec![]),
            CloudRequest::ScaleOut(r) => {
                if let Some(names) = self.answered.get(&r.idempotency_key) {
                    return (CloudResponse::ScaledOut(names.clone()), vec![], vec![]);
                }
                let key = (r.machine_type.clone(), r.zone.clone(), r.spot);
                let left = self.capacity.get_mut(&key);
                let n = left.as_ref().map_or(0, |n| (**n).min(r.count));
                if n == 0 {
                    return (CloudResponse::NoCapacity, vec![], vec![]);
                }
                if let Some(left) = left {
                    *left -= n;
                }
                let mut names = Vec::new();
                for _ in 0..n {
                    let name = format!("host-{:06}", self.next);
                    self.next += 1;
                    let host = Host {
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        since: now,
                        up_at: boot(&name).map(|d| now + d),
                    };
                    self.hosts.insert(name.clone(), host);
                    names.push(name);
                }
                self.answered
                    .insert(r.idempotency_key.clone(), names.clone());
                (CloudResponse::ScaledOut(names.clone()), names, vec![])
            }
            CloudRequest::Delete(names) => {
                let gone = names.iter().filter(|n| self.remove(n)).cloned().collect();
                (CloudResponse::Deleted, vec![], gone)
            }
            CloudRequest::List { after } => {
                let known = self.history.front().map_or(&[][..], |(_, l)| l);
                let from = after
                    .as_ref()
                    .map_or(0, |a| known.partition_point(|m| m.name <= *a));
                let rest = &known[from..];
                let list = MachineList {
                    machines: rest
                        .iter()
                        .take(MAX_MACHINES_PER_PAGE as usize)
                        .cloned()
                        .collect(),
                    more: rest.len() > MAX_MACHINES_PER_PAGE as usize,
                };
                (CloudResponse::Listed(list), vec![], vec![])
            }
        }
    }

    pub const NOTE_EVERY: Micros = SECOND;
}
