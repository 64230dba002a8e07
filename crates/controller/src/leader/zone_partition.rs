//! Detection of zones that are unreachable because of a network partition.

use super::Leader;
use crate::machines::Machine;
use crate::sched::resources::ROUNDING_TOLERANCE;
use crate::{Config, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::UnresponsiveZone;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// After this many times the duration of a worker's lease, an unresponsive machine is deleted
/// even if its tasks can't run elsewhere, because its zone may be lost permanently.
pub(super) const PARTITION_GRACE_LEASES: u64 = 4;
/// Time for which scale-out avoids a zone after it was found to be partitioned, unless a
/// machine in it is reachable again earlier.
const PARTITIONED_ZONE_SCALE_OUT_PAUSE: Micros = 60 * SECOND;
/// The minimum number of unresponsive machines in a partitioned zone.
const MIN_UNRESPONSIVE_MACHINES: usize = 3;

/// The time without a heartbeat after which a machine has missed one.
pub(super) fn heartbeat_missed_after(config: &Config) -> Micros {
    config.heartbeat_interval * 3 / 2
}

/// CPUs outside the partitioned zones that could run the tasks of machines inside them.
#[derive(Debug)]
pub(super) struct SpareCapacity {
    /// CPUs for replicas: free CPUs of on-demand machines, and the CPUs of array tasks there,
    /// which can be preempted.
    replica_cpus: f64,
    /// CPUs for array tasks: free CPUs of all machines.
    array_cpus: f64,
}

impl SpareCapacity {
    /// The spare CPUs for the most important kind of task on the machine, and the CPUs that
    /// those tasks need.
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

    /// Takes the capacity for the tasks of a machine that is already being deleted.
    fn reserve_for(&mut self, machine: &Machine) {
        let (spare, needed) = self.spare_and_needed(machine);
        *spare -= needed;
    }

    /// Takes the capacity for the most important tasks on the machine. Returns false, and
    /// takes none, if there is not enough.
    pub fn take_for(&mut self, machine: &Machine) -> bool {
        let (spare, needed) = self.spare_and_needed(machine);
        let is_enough = needed <= 0.0 || *spare + ROUNDING_TOLERANCE >= needed;
        if is_enough {
            *spare -= needed;
        }
        is_enough
    }
}

/// The zones that are partitioned, and those that were when the term began.
#[derive(Debug, Default)]
pub(super) struct ZonePartitions {
    /// Partitioned zones, with the time at which they were last found to be partitioned.
    last_found_partitioned_at: BTreeMap<Rc<str>, Micros>,
    /// Zones that the previous leader found to be unresponsive, with the time of the last
    /// contact with each.
    last_contact_before_term: HashMap<String, Micros>,
}

impl ZonePartitions {
    /// The partitioned zones, in which no machine is started.
    pub fn partitioned_zones(&self) -> impl Iterator<Item = &Rc<str>> {
        self.last_found_partitioned_at.keys()
    }

    /// Records that the zone is partitioned. Returns whether this is new.
    pub fn record_partitioned(&mut self, zone: &Rc<str>, now: Micros) -> bool {
        self.last_found_partitioned_at
            .insert(zone.clone(), now)
            .is_none()
    }

    /// Records that a machine in the zone is reachable. Returns whether the zone was
    /// partitioned.
    pub fn record_reachable(&mut self, zone: &str) -> bool {
        self.last_found_partitioned_at.remove(zone).is_some()
    }

    /// Removes zones that have not been found to be partitioned recently.
    pub fn forget_expired(&mut self, now: Micros) {
        self.last_found_partitioned_at
            .retain(|_, last_found_at| now < *last_found_at + PARTITIONED_ZONE_SCALE_OUT_PAUSE);
    }

    /// The time of the last contact with a zone that the previous leader found to be
    /// unresponsive.
    pub fn last_contact_before_term(&self, zone: &str) -> Option<Micros> {
        self.last_contact_before_term.get(zone).copied()
    }
}

impl Leader {
    /// The capacity that tasks on machines in partitioned zones could use elsewhere.
    pub(super) fn spare_capacity(&self, partitioned_machines: &BTreeSet<Rc<str>>) -> SpareCapacity {
        let capacity = &self.derived.capacity;
        let (on_demand_cpus, spot_cpus) = (capacity.free_cpus(false), capacity.free_cpus(true));
        let preemptible = self.derived.on_demand_machines_with_arrays().iter();
        let preemptible_cpus: f64 = preemptible
            .filter(|_| !partitioned_machines.is_empty())
            .filter_map(|index| self.machines.at(index))
            .filter(|(name, _)| !partitioned_machines.contains(*name))
            .flat_map(|(_, machine)| machine.batch_slots())
            .map(|slot| slot.resources.cpus)
            .sum();
        let mut spare = SpareCapacity {
            replica_cpus: on_demand_cpus + preemptible_cpus,
            array_cpus: on_demand_cpus + spot_cpus,
        };
        // Deletions may be queued while the cloud is unavailable. The tasks of those machines
        // need capacity first.
        for name in self.autoscaler.cloud_queue.deletions() {
            if let Some(machine) = self.machines.get(name) {
                spare.reserve_for(machine);
            }
        }
        spare
    }

    /// The unresponsive machines of partitioned zones: zones in which most machines are
    /// unresponsive. Their tasks may keep running until their leases expire. If these machines
    /// are more than half of those that are up, it is more likely that this controller is
    /// isolated, and the result is empty.
    pub(super) fn partitioned_machines(&self) -> BTreeSet<Rc<str>> {
        let mut unresponsive_by_zone: BTreeMap<&Rc<str>, Vec<&Rc<str>>> = BTreeMap::new();
        for (name, machine) in self.unresponsive_machines() {
            unresponsive_by_zone
                .entry(&machine.zone)
                .or_default()
                .push(name);
        }
        let up_by_zone = self.derived.sums().machines_up_by_zone();
        let is_partitioned = |zone: &Rc<str>, unresponsive: usize| {
            let up = up_by_zone.get(zone).copied().unwrap_or(0);
            unresponsive >= MIN_UNRESPONSIVE_MACHINES && unresponsive * 2 > up
        };
        let partitioned: BTreeSet<Rc<str>> = unresponsive_by_zone
            .into_iter()
            .filter(|(zone, unresponsive)| is_partitioned(zone, unresponsive.len()))
            .flat_map(|(_, unresponsive)| unresponsive.into_iter().cloned())
            .collect();
        if partitioned.len() * 2 > self.derived.sums().machines_up() {
            return BTreeSet::new();
        }
        partitioned
    }

    /// Whether this controller is probably isolated: it receives messages neither from controllers
    /// nor from machines in other zones, although there are both.
    ///
    /// An isolated leader may still reach the store and prove its leadership. Without this
    /// check it would delete the machines of all other zones.
    pub(super) fn is_probably_isolated(&self, config: &Config) -> bool {
        if !self.leadership_proof.isolated {
            return false;
        }
        let is_other_zone = |zone: &str| *zone != *config.zone;
        let up_by_zone = self.derived.sums().machines_up_by_zone().iter();
        let mut reachable_by_zone: BTreeMap<&Rc<str>, usize> = up_by_zone
            .filter(|(zone, _)| is_other_zone(zone))
            .map(|(zone, up)| (zone, *up))
            .collect();
        for (_, machine) in self.unresponsive_machines() {
            if let Some(reachable) = reachable_by_zone.get_mut(&machine.zone) {
                *reachable = reachable.saturating_sub(1);
            }
        }
        if reachable_by_zone.values().any(|reachable| *reachable > 0) {
            return false;
        }
        let missed = self.derived.unresponsive_machines() | self.derived.machines_not_ready();
        let mut missed = missed
            .into_iter()
            .filter_map(|index| self.machines.at(index));
        missed.any(|(_, machine)| machine.recorded && is_other_zone(&machine.zone))
    }

    /// The partitioned zones, with the time since the last message from their unresponsive
    /// machines, for the next leader.
    pub fn unresponsive_zones(&self, now: Micros) -> Vec<UnresponsiveZone> {
        let mut last_contact: BTreeMap<&Rc<str>, Micros> = BTreeMap::new();
        let partitioned = self.partitioned_machines();
        for machine in partitioned
            .iter()
            .filter_map(|name| self.machines.get(name))
        {
            let latest = last_contact.entry(&machine.zone).or_default();
            *latest = machine.reachability.last_contact_at().max(*latest);
        }
        let unresponsive_ms = |at: Micros| now.saturating_sub(at) / MILLISECOND;
        last_contact
            .into_iter()
            .take(dillcleat_peer_protocol::MAX_UNRESPONSIVE_ZONES)
            .map(|(zone, last_contact_at)| UnresponsiveZone {
                zone: zone.to_string(),
                unresponsive_ms: u32::try_from(unresponsive_ms(last_contact_at))
                    .unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Sets the zones that the previous leader found to be unresponsive, with the time of the
    /// last contact with each. The unresponsive time of their machines is counted from that
    /// time, not from the beginning of this term, so that their replicas are replaced without
    /// extra delay: counted from the beginning of the term, it took 15 s longer.
    pub fn set_zones_unresponsive_before_term(&mut self, last_contact: HashMap<String, Micros>) {
        self.partitions.last_contact_before_term = last_contact;
    }
}

#[cfg(test)]
mod tests;
