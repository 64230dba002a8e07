//! How long machines take to come up, as seen of late.
//!
//! Usually they are up within 1.5 times their type's boot time. Some take
//! several times as long, a few never come, and in a bad spell all that are
//! rented are late. One machine that is late is replaced. But to replace all of
//! a spell pays for each twice over, and to give each up after the same time
//! again and again once left a fleet without a single new machine for two and a
//! half minutes, since none was waited for as long as it took.

use super::*;

/// Of the machines of a spell one in so many is replaced, to see whether new
/// ones come sooner by now.
const CANARY: usize = 8;

/// Types and zones.
pub type Offers = BTreeSet<(Rc<str>, Rc<str>)>;

/// The machine rented last, of those that are up, by type and zone.
#[derive(Debug, Default)]
pub struct BootEstimator(BTreeMap<(Rc<str>, Rc<str>), Latest>);

#[derive(Debug, Clone, Copy)]
struct Latest {
    rented: Micros,
    took: Micros,
}

/// What is known of a machine that is not up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Boot {
    /// It has time yet.
    Coming,
    /// It should be up, and none that was rented since is: perhaps all are late.
    Spell,
    /// It should be up, as others are.
    Late,
}

impl BootEstimator {
    /// A machine is up.
    pub fn up(&mut self, m: &Machine, now: Micros) {
        let key = (m.machine_type.clone(), m.zone.clone());
        let latest = Latest {
            rented: m.known_since,
            took: now.saturating_sub(m.known_since),
        };
        let known = self.0.entry(key).or_insert(latest);
        // Of those rented together the slowest says most.
        if known.rented <= latest.rented {
            *known = latest;
        }
    }

    /// The latest of the type that was rented no sooner than the machine: in
    /// its zone if there is one, anywhere else if not.
    fn after(&self, m: &Machine) -> Option<Latest> {
        let own = (m.machine_type.clone(), m.zone.clone());
        let of_type = self.0.iter().filter(|((t, _), _)| *t == m.machine_type);
        let since = |l: &Latest| l.rented + SECOND >= m.known_since;
        self.0.get(&own).copied().filter(since).or_else(|| {
            of_type
                .map(|(_, l)| *l)
                .filter(since)
                .max_by_key(|l| l.rented)
        })
    }

    /// `boot` is the usual time of the type.
    pub fn of(&self, m: &Machine, boot: Micros, now: Micros) -> Boot {
        let age = now.saturating_sub(m.known_since);
        let after = self.after(m);
        let takes = after.map_or(boot, |l| l.took.max(boot));
        if age < takes * 7 / 4 {
            Boot::Coming
        } else if after.is_some() {
            Boot::Late
        } else {
            Boot::Spell
        }
    }

    /// How long to wait for a machine before it is deleted. In a spell a new one
    /// would come no sooner than the one that is paid for already.
    pub fn patience(&self, m: &Machine, boot: Micros) -> Micros {
        match self.after(m) {
            Some(l) => (boot * 4).max(l.took * 5 / 2) + 10 * SECOND,
            None => boot * 12 + 10 * SECOND,
        }
    }
}

impl Leader {
    /// Machines that are not up but may be counted on, and the offers of which
    /// those rented last are late.
    pub(super) fn booting(&self, types: &[MachineType], now: Micros) -> (Vec<MachineView>, Offers) {
        let mut coming = Vec::new();
        let mut slow = BTreeSet::new();
        let mut spells: BTreeMap<Rc<str>, Vec<&Machine>> = BTreeMap::new();
        let all = self.derived.booting.iter();
        let booting: Vec<&Machine> = all
            .filter(|place| !self.derived.silent.contains(*place))
            .filter_map(|place| Some(self.machines.at(place)?.1))
            .filter(|m| m.expected || m.recorded)
            .collect();
        for m in &booting {
            let boot = boot_time(types, &m.machine_type);
            let state = self.autoscaler.boot_estimator.of(m, boot, now);
            match state {
                Boot::Coming => coming.extend(self.view(m)),
                Boot::Spell => spells.entry(m.machine_type.clone()).or_default().push(*m),
                Boot::Late => {}
            }
            if state != Boot::Coming && m.expected {
                slow.insert((m.machine_type.clone(), m.zone.clone()));
            }
        }
        for late in spells.into_values() {
            let canaries = late.len().div_ceil(CANARY);
            coming.extend(late.iter().skip(canaries).filter_map(|m| self.view(m)));
        }
        // A zone in which others are up is not slow for a few that are late.
        slow.retain(|offer| {
            let mut late = booting
                .iter()
                .filter(|m| m.machine_type == offer.0 && m.zone == offer.1);
            late.any(|m| {
                let boot = boot_time(types, &m.machine_type);
                self.autoscaler.boot_estimator.of(m, boot, now) != Boot::Coming
                    && self
                        .autoscaler
                        .boot_estimator
                        .0
                        .get(offer)
                        .is_none_or(|l| l.rented + SECOND < m.known_since)
            })
        });
        (coming, slow)
    }
}

/// The usual boot time of a type; a guess while the types are not known.
pub(super) fn boot_time(types: &[MachineType], machine_type: &str) -> Micros {
    let found = types.iter().find(|t| t.name == machine_type);
    found.map_or(30 * SECOND, |t| micros(t.boot_s))
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOOT: Micros = 15 * SECOND;

    fn rented(zone: &str, at: Micros) -> Machine {
        Machine::new("m", "t", zone, true, at)
    }

    #[test]
    fn one_that_others_overtake_is_late_and_a_spell_is_waited_out() {
        let mut boots = BootEstimator::default();
        let start = 1000 * SECOND;
        let m = rented("a", start);
        assert_eq!(boots.of(&m, BOOT, start + 20 * SECOND), Boot::Coming);
        // Nothing else is up: a spell, and no reason to begin anew.
        assert_eq!(boots.of(&m, BOOT, start + 60 * SECOND), Boot::Spell);
        assert!(boots.patience(&m, BOOT) > 120 * SECOND);
        // What was rented before says nothing of it.
        boots.up(&rented("a", start - 100 * SECOND), start - 85 * SECOND);
        assert_eq!(boots.of(&m, BOOT, start + 60 * SECOND), Boot::Spell);
        // In another zone one that was rented after it is up.
        boots.up(&rented("b", start + 30 * SECOND), start + 45 * SECOND);
        assert_eq!(boots.of(&m, BOOT, start + 60 * SECOND), Boot::Late);
        assert_eq!(boots.patience(&m, BOOT), 70 * SECOND);
        // Its own zone is slow: others of the same rental took longer.
        boots.up(&rented("a", start), start + 80 * SECOND);
        assert_eq!(boots.of(&m, BOOT, start + 90 * SECOND), Boot::Coming);
        assert_eq!(boots.patience(&m, BOOT), 210 * SECOND);
    }
}
