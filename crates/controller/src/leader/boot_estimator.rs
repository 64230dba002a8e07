//! How long machines take to boot, as seen lately.
//!
//! Usually they are up within 1.5 times their type's boot time. Some take several times as
//! long, a few never come up, and there are times in which all that are started are slow.
//! One machine that is late is replaced. But to replace all of a slow time pays for each
//! twice over, and to give each up after the same time again and again once left a fleet
//! without a single new machine for two and a half minutes, since none was waited for as
//! long as it took.

use super::Leader;
use crate::machines::Machine;
use crate::sched::MachineView;
use crate::{Micros, SECOND, micros};
use dillcleat_wire::cloud::MachineType;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// While all machines are slow, one in so many is replaced, to see whether new ones come
/// sooner by now.
const CANARY_INTERVAL: usize = 8;
/// The boot time that is assumed of a type that is not known.
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

/// The boot of one machine that is up.
#[derive(Debug, Clone, Copy)]
struct Boot {
    started_at: Micros,
    duration: Micros,
}

impl Boot {
    /// Whether it began no sooner than that of the machine, give or take a second.
    fn started_no_earlier_than(&self, machine: &Machine) -> bool {
        self.started_at + SECOND >= machine.known_since()
    }
}

/// What is known of a machine that is not up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BootProgress {
    /// It has time yet.
    OnTime,
    /// It should be up, but none that was started since is up either: perhaps all are slow.
    AllSlow,
    /// It should be up, as others are.
    Late,
}

/// Machines that are not up but may be counted on.
pub(super) struct BootingCapacity {
    pub usable: Vec<MachineView>,
    /// The types and zones of which those started last are late.
    pub late: BTreeSet<ZonalType>,
}

/// The machine started last, of those that are up, by type and zone.
#[derive(Debug, Default)]
pub(super) struct BootEstimator {
    latest_boots: BTreeMap<ZonalType, Boot>,
}

impl BootEstimator {
    /// The machine is up.
    pub fn record_boot(&mut self, machine: &Machine, now: Micros) {
        let boot = Boot {
            started_at: machine.known_since(),
            duration: now.saturating_sub(machine.known_since()),
        };
        let latest = self
            .latest_boots
            .entry(ZonalType::of(machine))
            .or_insert(boot);
        // Of those started together the slowest says most.
        if latest.started_at <= boot.started_at {
            *latest = boot;
        }
    }

    /// The latest boot of the type that began no sooner than that of the machine: in its
    /// zone if there is one, anywhere else if not.
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

    /// How the boot of a machine goes; `usual` is the usual boot time of its type.
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

    /// How long to wait for a machine before it is deleted. While all are slow, a new one
    /// would come no sooner than the one that is paid for already.
    pub fn max_wait(&self, machine: &Machine, usual: Micros) -> Micros {
        match self.later_boot(machine) {
            Some(boot) => (usual * 4).max(boot.duration * 5 / 2) + 10 * SECOND,
            None => usual * 12 + 10 * SECOND,
        }
    }

    /// Whether no machine of its type and zone is up that was started as late as this one.
    fn is_newest(&self, machine: &Machine) -> bool {
        let latest = self.latest_boots.get(&ZonalType::of(machine));
        latest.is_none_or(|boot| !boot.started_no_earlier_than(machine))
    }
}

impl Leader {
    /// Machines that are not up but may be counted on.
    pub(super) fn booting_capacity(&self, types: &[MachineType], now: Micros) -> BootingCapacity {
        let estimator = &self.autoscaler.boot_estimator;
        let progress = |machine: &Machine| {
            let usual = boot_time(types, &machine.machine_type);
            estimator.progress(machine, usual, now)
        };
        let booting = self.booting_machines();
        let mut usable = Vec::new();
        let mut late = BTreeSet::new();
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
            if progress != BootProgress::OnTime && machine.expected {
                late.insert(ZonalType::of(machine));
            }
        }
        for slow in slow_by_type.into_values() {
            let canaries = slow.len().div_ceil(CANARY_INTERVAL);
            let counted_on = slow.iter().skip(canaries);
            usable.extend(counted_on.filter_map(|machine| self.machine_view(machine)));
        }
        // A zone in which others are up is not late for a few that are.
        late.retain(|key| {
            let mut machines = booting.iter().filter(|machine| key.matches(machine));
            machines.any(|machine| {
                progress(machine) != BootProgress::OnTime && estimator.is_newest(machine)
            })
        });
        BootingCapacity { usable, late }
    }

    /// Machines that have yet to send a heartbeat in this term, and are known by more than
    /// a stored placement.
    fn booting_machines(&self) -> Vec<&Machine> {
        let booting = self.derived.booting_machines().iter();
        booting
            .filter(|index| !self.derived.is_silent(*index))
            .filter_map(|index| Some(self.machines.at(index)?.1))
            .filter(|machine| machine.expected || machine.recorded)
            .collect()
    }

    /// The boot time of the type that is up soonest, in seconds.
    pub(super) fn soonest_boot_s(&self) -> f64 {
        let types = self.machine_types.iter();
        types.map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }
}

/// The usual boot time of a type; an assumption while the types are not known.
pub(super) fn boot_time(types: &[MachineType], machine_type: &str) -> Micros {
    let found = types.iter().find(|t| t.name == machine_type);
    found.map_or(DEFAULT_BOOT_TIME, |t| micros(t.boot_s))
}

#[cfg(test)]
mod tests;
