//! Zones that have fallen silent.

use super::*;
use dillcleat_peer_protocol::SilentZone;

/// After so many leases a machine is deleted though there is no other room for
/// what was on it: its zone may be gone for good.
pub(super) const CUT_LEASES: Micros = 4;

/// Room for what is on machines that are cut off, in CPUs.
#[derive(Debug)]
pub(super) struct SpareCapacity {
    /// What replicas may have: free ordinary room, and that of arrays on ordinary
    /// machines, which comes free for them first.
    replicas: f64,
    /// Free room of any kind.
    arrays: f64,
}

impl SpareCapacity {
    /// What counts most on the machine, and the room that it may have.
    fn need(&mut self, m: &Machine) -> (&mut f64, f64) {
        let cpus = |service: bool| -> f64 {
            let slots = m.slots.values().filter(|s| s.service == service);
            slots.map(|s| s.resources.cpus).sum()
        };
        let (replicas, arrays) = (cpus(true), cpus(false));
        if replicas > 0.0 {
            (&mut self.replicas, replicas)
        } else {
            (&mut self.arrays, arrays)
        }
    }

    /// Takes the room for what is on a machine that is being deleted already.
    fn expect(&mut self, m: &Machine) {
        let (left, need) = self.need(m);
        *left -= need;
    }

    /// Whether there is room for what counts most on the machine; takes it.
    pub fn takes(&mut self, m: &Machine) -> bool {
        let (left, need) = self.need(m);
        let takes = need <= 0.0 || *left + 1e-6 >= need;
        if takes {
            *left -= need;
        }
        takes
    }
}

/// Zones that are cut off.
#[derive(Debug, Default)]
pub(super) struct ZonePartitions {
    /// Zones that fell silent as a whole, and when: what is rented there would
    /// be paid for and never heard of.
    pub partitioned_zones: BTreeMap<Rc<str>, Micros>,
    /// Zones that were silent already under the leader before, and when they
    /// were heard last.
    pub zones_silent_before: HashMap<String, Micros>,
}

impl Leader {
    /// Room for what is on the machines that are cut off.
    pub(super) fn elsewhere(&self, cut: &BTreeSet<Rc<str>>) -> SpareCapacity {
        let (ordinary, spot) = (
            self.derived.capacity.free(false),
            self.derived.capacity.free(true),
        );
        let lending = self.derived.lending[0].iter();
        let lent: f64 = lending
            .filter(|_| !cut.is_empty())
            .filter_map(|place| self.machines.at(place))
            .filter(|(name, _)| !cut.contains(*name))
            .flat_map(|(_, m)| m.slots.values().filter(|s| !s.service))
            .map(|s| s.resources.cpus)
            .sum();
        let mut elsewhere = SpareCapacity {
            replicas: ordinary + lent,
            arrays: ordinary + spot,
        };
        // While the cloud is out deletions pile up, and what is on those machines
        // will want its room first.
        for name in self.autoscaler.cloud_queue.deletes() {
            if let Some(m) = self.machines.get(name) {
                elsewhere.expect(m);
            }
        }
        elsewhere
    }

    /// After this long without a word from it a machine has missed a report.
    pub(super) fn missing(config: &Config) -> Micros {
        config.heartbeat_interval * 3 / 2
    }

    /// Machines of zones that have fallen silent as a whole. What runs there
    /// runs on for the rest of its lease, but is as good as lost. If most of
    /// the fleet is silent, it is rather this node that is cut off.
    pub(super) fn cut_off(&self) -> BTreeSet<Rc<str>> {
        let mut zones: BTreeMap<&Rc<str>, Vec<&Rc<str>>> = BTreeMap::new();
        for (name, m) in self.silent() {
            zones.entry(&m.zone).or_default().push(name);
        }
        let up = &self.derived.sums.up;
        let all = |zone: &Rc<str>| up.get(zone).copied().unwrap_or(0);
        let cut: BTreeSet<Rc<str>> = zones
            .into_iter()
            .filter(|(zone, silent)| silent.len() >= 3 && silent.len() * 2 > all(zone))
            .flat_map(|(_, silent)| silent.into_iter().cloned())
            .collect();
        if cut.len() * 2 > up.values().sum() {
            return BTreeSet::new();
        }
        cut
    }

    /// Whether it is rather this node that is cut off: it hears neither a controller
    /// nor a machine outside its own zone, where there are both.
    ///
    /// Such a leader may reach the state service all the same, and so prove that it
    /// leads. To believe what it does not hear would be the end of every other zone.
    pub(super) fn doubts(&self, config: &Config) -> bool {
        if !self.leadership_proof.isolated {
            return false;
        }
        let far = |zone: &str| *zone != *config.zone;
        let up = self.derived.sums.up.iter();
        let mut heard: BTreeMap<&Rc<str>, usize> = up
            .filter(|(zone, _)| far(zone))
            .map(|(z, n)| (z, *n))
            .collect();
        for (_, m) in self.silent() {
            if let Some(n) = heard.get_mut(&m.zone) {
                *n = n.saturating_sub(1);
            }
        }
        let missed = &self.derived.silent | &self.derived.booting;
        let mut missed = missed
            .into_iter()
            .filter_map(|place| self.machines.at(place));
        heard.values().all(|n| *n == 0) && missed.any(|(_, m)| m.recorded && far(&m.zone))
    }

    /// Zones that have fallen silent, and since when, for a leader to come.
    pub fn silences(&self, now: Micros) -> Vec<SilentZone> {
        let mut heard: BTreeMap<&Rc<str>, Micros> = BTreeMap::new();
        for m in self.cut_off().iter().filter_map(|m| self.machines.get(m)) {
            let latest = heard.entry(&m.zone).or_default();
            *latest = m.heard_at.max(*latest);
        }
        let quiet = |at: Micros| now.saturating_sub(at) / MILLISECOND;
        let heard = heard.into_iter().take(dillcleat_peer_protocol::MAX_ZONES);
        heard
            .map(|(zone, at)| SilentZone {
                zone: zone.to_string(),
                silent_ms: u32::try_from(quiet(at)).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Zones that the leader before said were silent, with the time at which each
    /// was heard last. Their replicas serve until that lease ends, not until one
    /// that begins with this term: a leader that ended in the middle of a cut
    /// once left them down for 15 s more (zone, brunnmatt-books-fleet).
    pub fn expect_silence(&mut self, heard: HashMap<String, Micros>) {
        self.partitions.zones_silent_before = heard;
    }

    /// Machines that are up and have missed a report.
    pub(super) fn silent(&self) -> impl Iterator<Item = (&Rc<str>, &Machine)> {
        let silent = self.derived.silent.iter();
        silent.filter_map(|place| self.machines.at(place))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::machines::Machine;

    fn machine(kind: JobKind, tasks: u32, cpus: f64) -> Machine {
        let mut m = Machine::new("m", "t", "z", false, 0);
        let spec = JobSpec::plain("req-1", kind, tasks, cpus);
        for i in 0..tasks {
            let slot = Machine::slot(1, 1, (0, &spec), true);
            let key = (Rc::from("req-1"), i);
            m.place(key, slot, (&Rc::from("i"), 1.0), 50.0);
        }
        m
    }

    /// Machines behind a cut were once deleted with nowhere for their replicas to
    /// go, and came back as none (zone, rosterwise-nz-fleet).
    #[test]
    fn what_is_cut_off_goes_as_far_as_there_is_room_for_it() {
        let mut elsewhere = SpareCapacity {
            replicas: 5.0,
            arrays: 4.0,
        };
        let replicas = machine(JobKind::Service, 2, 2.0);
        let array = machine(JobKind::Batch, 1, 3.0);
        let empty = machine(JobKind::Batch, 0, 0.0);
        assert!(elsewhere.takes(&replicas));
        assert!(!elsewhere.takes(&replicas), "one CPU is left for replicas");
        assert!(elsewhere.takes(&array));
        assert!(!elsewhere.takes(&array));
        assert!(elsewhere.takes(&empty), "nothing on it needs room");
        elsewhere.expect(&array);
        assert!(!elsewhere.takes(&machine(JobKind::Batch, 1, 0.5)));
        assert!(elsewhere.takes(&empty));
    }
}
