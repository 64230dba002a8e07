//! A simulated cloud provider.

use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::cloud::{
    CloudRequest, CloudResponse, ListedMachine, MAX_MACHINES_PER_PAGE, MachineList, MachineState,
    MachineType,
};
use std::collections::{BTreeMap, VecDeque};

/// A rented machine.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub rented_at: Micros,
    /// When it has booted; None if it never does.
    pub up_at: Option<Micros>,
}

#[derive(Debug)]
pub struct Cloud {
    pub types: Vec<MachineType>,
    pub machines: BTreeMap<String, RentedMachine>,
    /// Machines left to rent, by type, zone and whether they are spot instances.
    capacity: BTreeMap<(String, String, bool), u32>,
    /// Machines rented for each scale-out request, which is idempotent.
    scale_outs: BTreeMap<String, Vec<String>>,
    /// Number in the name of the next machine.
    next_machine: u64,
    list_lag: Micros,
    /// Recorded lists of the machines, oldest first; the oldest is served.
    lists: VecDeque<(Micros, Vec<ListedMachine>)>,
    pub outage_until: Micros,
}

impl Cloud {
    /// Interval between two recorded lists.
    pub const LIST_INTERVAL: Micros = SECOND;

    pub fn new(types: Vec<MachineType>, machines_per_offering: u32, list_lag: Micros) -> Self {
        let mut capacity = BTreeMap::new();
        for t in &types {
            for z in &t.zones {
                for spot in [false, true] {
                    capacity.insert((t.name.clone(), z.clone(), spot), machines_per_offering);
                }
            }
        }
        Cloud {
            types,
            machines: BTreeMap::new(),
            capacity,
            scale_outs: BTreeMap::new(),
            next_machine: 0,
            list_lag,
            lists: VecDeque::new(),
            outage_until: 0,
        }
    }

    /// Removes a machine and returns it to the capacity. False if there is none.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(h) = self.machines.remove(name) else {
            return false;
        };
        if let Some(n) = self.capacity.get_mut(&(h.machine_type, h.zone, h.spot)) {
            *n += 1;
        }
        true
    }

    /// Records the current list of machines, to be served after the list lag.
    pub fn record_list(&mut self, now: Micros) {
        let list = self
            .machines
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
        self.lists.push_back((now, list));
        while self.lists.len() > 1 && self.lists[1].0 + self.list_lag < now {
            self.lists.pop_front();
        }
    }

    /// Executes a call. Returns the answer and the names of new and of deleted machines.
    /// `boot` is the boot time of a new machine, None if it never boots.
    pub fn call(
        &mut self,
        call: &CloudRequest,
        now: Micros,
        boot: impl Fn(&str) -> Option<Micros>,
    ) -> (CloudResponse, Vec<String>, Vec<String>) {
        if now < self.outage_until {
            return (
                CloudResponse::RateLimitedOrUnavailable { status: 503 },
                vec![],
                vec![],
            );
        }
        match call {
            CloudRequest::Types => (CloudResponse::Types(self.types.clone()), vec![], vec![]),
            CloudRequest::ScaleOut(r) => {
                if let Some(names) = self.scale_outs.get(&r.idempotency_key) {
                    return (CloudResponse::ScaledOut(names.clone()), vec![], vec![]);
                }
                let key = (r.machine_type.clone(), r.zone.clone(), r.spot);
                let available = self.capacity.get_mut(&key);
                let n = available.as_ref().map_or(0, |n| (**n).min(r.count));
                if n == 0 {
                    return (CloudResponse::NoCapacity, vec![], vec![]);
                }
                if let Some(available) = available {
                    *available -= n;
                }
                let mut names = Vec::new();
                for _ in 0..n {
                    let name = format!("host-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let machine = RentedMachine {
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        rented_at: now,
                        up_at: boot(&name).map(|d| now + d),
                    };
                    self.machines.insert(name.clone(), machine);
                    names.push(name);
                }
                self.scale_outs
                    .insert(r.idempotency_key.clone(), names.clone());
                (CloudResponse::ScaledOut(names.clone()), names, vec![])
            }
            CloudRequest::Delete(names) => {
                let deleted = names.iter().filter(|n| self.remove(n)).cloned().collect();
                (CloudResponse::Deleted, vec![], deleted)
            }
            CloudRequest::List { after } => {
                let served = self.lists.front().map_or(&[][..], |(_, l)| l);
                let from = after
                    .as_ref()
                    .map_or(0, |a| served.partition_point(|m| m.name <= *a));
                let rest = &served[from..];
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
}
