//! Estimates of boot times from recent boots.
//!
//! A machine that boots late while newer ones are up is replaced. If no newer machine is up
//! either, all new machines may be slow, and the leader waits longer instead: replacements
//! would be just as slow, and each machine would be paid for twice. When each was given up
//! after the same time again, a fleet got no new machine for two and a half minutes.

use super::Leader;
use crate::machines::Machine;
use crate::sched::MachineView;
use crate::{Micros, SECOND, micros};
use dillcleat_wire::cloud::MachineType;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// While all machines of a type are slow, one of this many is replaced, to detect whether new
/// machines boot faster again.
const SLOW_MACHINES_PER_REPLACEMENT: usize = 8;
/// The boot time assumed for an unknown machine type.
const DEFAULT_BOOT_TIME: Micros = 30 * SECOND;

/// A machine type in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZonalType {
    pub machine_type: Rc<str>,
    pub zone: Rc<str>,
}

impl ZonalType {
    fn of(machine: &Machine) -> ZonalType {
        ZonalType {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
        }
    }

    fn matches(&self, machine: &Machine) -> bool {
        self.machine_type == machine.machine_type && self.zone == machine.zone
    }
}

/// A completed boot of a machine.
#[derive(Debug, Clone, Copy)]
struct Boot {
    started_at: Micros,
    duration: Micros,
}

impl Boot {
    /// Whether this boot started no earlier than that of the machine, with a tolerance of
    /// one second.
    fn started_no_earlier_than(&self, machine: &Machine) -> bool {
        self.started_at + SECOND >= machine.known_since()
    }
}

/// The boot progress of a machine that is not up yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BootProgress {
    /// The machine is within 1.75 times its expected boot time.
    OnTime,
    /// The machine is overdue, but no machine that was started later is up either. Perhaps
    /// all machines are slow.
    AllSlow,
    /// The machine is overdue, and a machine that was started later is up.
    Late,
}

/// The capacity of machines that are booting.
pub(super) struct BootingCapacity {
    /// Machines that are expected to come up.
    pub usable: Vec<MachineView>,
    /// Types and zones whose most recently started machines are late.
    pub late_offerings: BTreeSet<ZonalType>,
}

/// Estimates boot times from the most recently started machine that is up, by type and
/// zone.
#[derive(Debug, Default)]
pub(super) struct BootEstimator {
    latest_boots: BTreeMap<ZonalType, Boot>,
}

impl BootEstimator {
    /// Records that the machine has come up.
    pub fn record_boot(&mut self, machine: &Machine, now: Micros) {
        let boot = Boot {
            started_at: machine.known_since(),
            duration: now.saturating_sub(machine.known_since()),
        };
        let latest = self
            .latest_boots
            .entry(ZonalType::of(machine))
            .or_insert(boot);
        // Among machines that were started at the same time, the slowest one counts.
        if latest.started_at <= boot.started_at {
            *latest = boot;
        }
    }

    /// The latest completed boot of the same type that started no earlier than the machine:
    /// in its zone if there is one, in any other zone otherwise.
    fn later_boot(&self, machine: &Machine) -> Option<Boot> {
        let in_its_zone = self.latest_boots.get(&ZonalType::of(machine)).copied();
        let is_later = |boot: &Boot| boot.started_no_earlier_than(machine);
        in_its_zone.filter(is_later).or_else(|| {
            self.latest_boots
                .iter()
                .filter(|(key, _)| key.machine_type == machine.machine_type)
                .map(|(_, boot)| *boot)
                .filter(is_later)
                .max_by_key(|boot| boot.started_at)
        })
    }

    /// The boot progress of a machine; `usual` is the usual boot time of its type.
    pub fn progress(&self, machine: &Machine, usual: Micros, now: Micros) -> BootProgress {
        let age = now.saturating_sub(machine.known_since());
        let later_boot = self.later_boot(machine);
        let expected = later_boot.map_or(usual, |boot| boot.duration.max(usual));
        if age < expected * 7 / 4 {
            BootProgress::OnTime
        } else if later_boot.is_some() {
            BootProgress::Late
        } else {
            BootProgress::AllSlow
        }
    }

    /// The time after which a machine that has not come up is deleted. While all machines
    /// are slow, a replacement would not be up any sooner.
    pub fn max_wait(&self, machine: &Machine, usual: Micros) -> Micros {
        match self.later_boot(machine) {
            Some(boot) => (usual * 4).max(boot.duration * 5 / 2) + 10 * SECOND,
            None => usual * 12 + 10 * SECOND,
        }
    }

    /// Whether no machine of this type and zone that was started at the same time or later
    /// is up.
    fn started_after_all_boots(&self, machine: &Machine) -> bool {
        let latest = self.latest_boots.get(&ZonalType::of(machine));
        latest.is_none_or(|boot| !boot.started_no_earlier_than(machine))
    }
}

impl Leader {
    /// The machines that are booting and are expected to come up, and the types that are
    /// late.
    pub(super) fn booting_capacity(&self, types: &[MachineType], now: Micros) -> BootingCapacity {
        let estimator = &self.autoscaler.boot_estimator;
        let progress = |machine: &Machine| {
            let usual = boot_time(types, &machine.machine_type);
            estimator.progress(machine, usual, now)
        };
        let booting = self.expected_machines();
        let mut usable = Vec::new();
        let mut late_offerings = BTreeSet::new();
        let mut slow_by_type: BTreeMap<Rc<str>, Vec<&Machine>> = BTreeMap::new();
        for machine in &booting {
            let progress = progress(machine);
            match progress {
                BootProgress::OnTime => usable.extend(self.machine_view(machine)),
                BootProgress::AllSlow => slow_by_type
                    .entry(machine.machine_type.clone())
                    .or_default()
                    .push(*machine),
                BootProgress::Late => {}
            }
            if progress != BootProgress::OnTime && machine.boot_expected {
                late_offerings.insert(ZonalType::of(machine));
            }
        }
        for slow in slow_by_type.into_values() {
            let replaced = slow.len().div_ceil(SLOW_MACHINES_PER_REPLACEMENT);
            let waited_for = slow.iter().skip(replaced);
            usable.extend(waited_for.filter_map(|machine| self.machine_view(machine)));
        }
        // A few late machines don't make a type late in a zone where newer ones are up.
        late_offerings.retain(|key| {
            let mut machines = booting.iter().filter(|machine| key.matches(machine));
            machines.any(|machine| {
                progress(machine) != BootProgress::OnTime
                    && estimator.started_after_all_boots(machine)
            })
        });
        BootingCapacity {
            usable,
            late_offerings,
        }
    }

    /// Machines that are expected to become ready: they have not yet sent a heartbeat with
    /// this term's fencing token, and they are neither unresponsive nor being deleted.
    /// Excludes machines that are known only from a stored placement.
    fn expected_machines(&self) -> Vec<&Machine> {
        let booting = self.derived.machines_not_ready().iter();
        booting
            .filter(|index| !self.derived.is_unresponsive(*index))
            .filter_map(|index| Some(self.machines.at(index)?.1))
            .filter(|machine| machine.boot_expected || machine.recorded)
            .collect()
    }

    /// The shortest boot time of all machine types, in seconds.
    pub(super) fn soonest_boot_s(&self) -> f64 {
        let types = self.machine_types.iter();
        types.map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }
}

/// The usual boot time of a type, or a default if the type is not known.
pub(super) fn boot_time(types: &[MachineType], machine_type: &str) -> Micros {
    let found = types.iter().find(|t| t.name == machine_type);
    found.map_or(DEFAULT_BOOT_TIME, |t| micros(t.boot_s))
}

#[cfg(test)]
mod tests;
