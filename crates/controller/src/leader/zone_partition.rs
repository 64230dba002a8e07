//! Zones that are cut off by a network partition.

use super::Leader;
use super::scheduling::CPU_ROUNDING_ERROR;
use crate::machines::Machine;
use crate::{Config, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::UnresponsiveZone;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// After so many leases a machine is deleted though what was on it can't run elsewhere: its
/// zone may be gone for good.
pub(super) const PARTITION_LEASES: Micros = 4;
/// How long nothing is started in a zone that fell silent, unless it is heard.
const PARTITIONED_ZONE_PAUSE: Micros = 60 * SECOND;
/// A zone is partitioned only if so many of its machines are silent.
const MIN_SILENT_MACHINES: usize = 3;

/// The silence by which a machine has missed a heartbeat, in microseconds.
pub(super) fn heartbeat_missed_after(config: &Config) -> Micros {
    config.heartbeat_interval * 3 / 2
}

/// CPUs that what is on machines in partitioned zones could have elsewhere.
#[derive(Debug)]
pub(super) struct SpareCapacity {
    /// What replicas could have: free CPUs on ordinary machines, and those of arrays
    /// there, which are preempted for them first.
    replica_cpus: f64,
    /// Free CPUs of any kind.
    array_cpus: f64,
}

impl SpareCapacity {
    /// What is spare for the most important work on the machine, and what that needs.
    fn spare_and_needed(&mut self, machine: &Machine) -> (&mut f64, f64) {
        let placed_cpus = |service: bool| -> f64 {
            let slots = machine.slots.values();
            let slots = slots.filter(|slot| slot.service == service);
            slots.map(|slot| slot.resources.cpus).sum()
        };
        let (replica_cpus, array_cpus) = (placed_cpus(true), placed_cpus(false));
        if replica_cpus > 0.0 {
            (&mut self.replica_cpus, replica_cpus)
        } else {
            (&mut self.array_cpus, array_cpus)
        }
    }

    /// Takes the capacity for what is on a machine that is being deleted already.
    fn reserve_for(&mut self, machine: &Machine) {
        let (spare, needed) = self.spare_and_needed(machine);
        *spare -= needed;
    }

    /// Takes the capacity for the most important work on the machine. Returns whether
    /// there is enough of it; if not, none is taken.
    pub fn take_for(&mut self, machine: &Machine) -> bool {
        let (spare, needed) = self.spare_and_needed(machine);
        let is_enough = needed <= 0.0 || *spare + CPU_ROUNDING_ERROR >= needed;
        if is_enough {
            *spare -= needed;
        }
        is_enough
    }
}

/// Zones that are partitioned, or were when the term began.
#[derive(Debug, Default)]
pub(super) struct ZonePartitions {
    /// Zones that fell silent as a whole, and when: what is started there would be paid
    /// for and never heard of.
    partitioned_since: BTreeMap<Rc<str>, Micros>,
    /// Zones that the leader before found silent, and when they were heard last.
    last_heard_before_term: HashMap<String, Micros>,
}

impl ZonePartitions {
    /// Zones in which nothing is started.
    pub fn partitioned_zones(&self) -> impl Iterator<Item = &Rc<str>> {
        self.partitioned_since.keys()
    }

    /// The zone is silent as a whole. Returns whether it was not before.
    pub fn record_partitioned(&mut self, zone: &Rc<str>, now: Micros) -> bool {
        self.partitioned_since.insert(zone.clone(), now).is_none()
    }

    /// A machine of the zone is heard. Returns whether the zone was silent before.
    pub fn record_heard(&mut self, zone: &str) -> bool {
        self.partitioned_since.remove(zone).is_some()
    }

    /// Forgets zones that have not been found silent for a while.
    pub fn forget_expired(&mut self, now: Micros) {
        self.partitioned_since
            .retain(|_, since| now < *since + PARTITIONED_ZONE_PAUSE);
    }

    /// When a zone was heard last, if the leader before found it silent.
    pub fn last_heard_before_term(&self, zone: &str) -> Option<Micros> {
        self.last_heard_before_term.get(zone).copied()
    }
}

impl Leader {
    /// What could run elsewhere of what is on the machines in partitioned zones.
    pub(super) fn spare_capacity(&self, partitioned: &BTreeSet<Rc<str>>) -> SpareCapacity {
        let capacity = &self.derived.capacity;
        let (ordinary_cpus, spot_cpus) = (capacity.free_cpus(false), capacity.free_cpus(true));
        let preemptible = self.derived.ordinary_machines_with_arrays().iter();
        let preemptible_cpus: f64 = preemptible
            .filter(|_| !partitioned.is_empty())
            .filter_map(|index| self.machines.at(index))
            .filter(|(name, _)| !partitioned.contains(*name))
            .flat_map(|(_, machine)| machine.array_slots())
            .map(|slot| slot.resources.cpus)
            .sum();
        let mut spare = SpareCapacity {
            replica_cpus: ordinary_cpus + preemptible_cpus,
            array_cpus: ordinary_cpus + spot_cpus,
        };
        // While the cloud is out deletions pile up, and what is on those machines needs
        // its capacity first.
        for name in self.autoscaler.cloud_queue.deletions() {
            if let Some(machine) = self.machines.get(name) {
                spare.reserve_for(machine);
            }
        }
        spare
    }

    /// Machines of zones that have fallen silent as a whole. What runs there runs on for
    /// the rest of its lease, but is as good as lost. If most of the fleet is silent, it is
    /// rather this node that is isolated.
    pub(super) fn partitioned_machines(&self) -> BTreeSet<Rc<str>> {
        let mut silent_by_zone: BTreeMap<&Rc<str>, Vec<&Rc<str>>> = BTreeMap::new();
        for (name, machine) in self.silent_machines() {
            silent_by_zone.entry(&machine.zone).or_default().push(name);
        }
        let up_by_zone = self.derived.sums().machines_up_by_zone();
        let is_partitioned = |zone: &Rc<str>, silent: usize| {
            let up = up_by_zone.get(zone).copied().unwrap_or(0);
            silent >= MIN_SILENT_MACHINES && silent * 2 > up
        };
        let partitioned: BTreeSet<Rc<str>> = silent_by_zone
            .into_iter()
            .filter(|(zone, silent)| is_partitioned(zone, silent.len()))
            .flat_map(|(_, silent)| silent.into_iter().cloned())
            .collect();
        if partitioned.len() * 2 > self.derived.sums().machines_up() {
            return BTreeSet::new();
        }
        partitioned
    }

    /// Whether it is rather this node that is isolated: it hears neither a controller nor a
    /// machine outside its own zone, where there are both.
    ///
    /// Such a leader may reach the store all the same, and so prove that it leads. To
    /// believe what it does not hear would be the end of every other zone.
    pub(super) fn is_probably_isolated(&self, config: &Config) -> bool {
        if !self.leadership_proof.isolated {
            return false;
        }
        let is_other_zone = |zone: &str| *zone != *config.zone;
        let up_by_zone = self.derived.sums().machines_up_by_zone().iter();
        let mut heard_by_zone: BTreeMap<&Rc<str>, usize> = up_by_zone
            .filter(|(zone, _)| is_other_zone(zone))
            .map(|(zone, up)| (zone, *up))
            .collect();
        for (_, machine) in self.silent_machines() {
            if let Some(heard) = heard_by_zone.get_mut(&machine.zone) {
                *heard = heard.saturating_sub(1);
            }
        }
        if heard_by_zone.values().any(|heard| *heard > 0) {
            return false;
        }
        let missed = self.derived.silent_machines() | self.derived.booting_machines();
        let mut missed = missed
            .into_iter()
            .filter_map(|index| self.machines.at(index));
        missed.any(|(_, machine)| machine.recorded && is_other_zone(&machine.zone))
    }

    /// Zones that have fallen silent, and for how long, for the next leader.
    pub fn silent_zones(&self, now: Micros) -> Vec<UnresponsiveZone> {
        let mut last_heard: BTreeMap<&Rc<str>, Micros> = BTreeMap::new();
        let partitioned = self.partitioned_machines();
        for machine in partitioned
            .iter()
            .filter_map(|name| self.machines.get(name))
        {
            let latest = last_heard.entry(&machine.zone).or_default();
            *latest = machine.reachability.last_heard_at().max(*latest);
        }
        let unresponsive_ms = |since: Micros| now.saturating_sub(since) / MILLISECOND;
        last_heard
            .into_iter()
            .take(dillcleat_peer_protocol::MAX_UNRESPONSIVE_ZONES)
            .map(|(zone, since)| UnresponsiveZone {
                zone: zone.to_string(),
                unresponsive_ms: u32::try_from(unresponsive_ms(since)).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Takes over the zones that the leader before found silent, with the time at which
    /// each was heard last. Their replicas serve until that lease ends, not until one that
    /// begins with this term: a leader that ended in the middle of a partition once left
    /// them down for 15 s more (zone, brunnmatt-books-fleet).
    pub fn set_zones_silent_before_term(&mut self, last_heard: HashMap<String, Micros>) {
        self.partitions.last_heard_before_term = last_heard;
    }
}

#[cfg(test)]
mod tests;
