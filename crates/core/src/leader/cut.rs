//! Zones that have fallen silent.

use super::*;

impl Leader {
    /// After this long without a word from it a machine has missed a report.
    pub(super) fn missing(config: &Config) -> Micros {
        config.report * 3 / 2
    }

    /// Machines of zones that have fallen silent as a whole. What runs there
    /// runs on for the rest of its lease, but is as good as lost. If most of
    /// the fleet is silent, it is rather this node that is cut off.
    pub(super) fn cut_off(&self) -> BTreeSet<Rc<str>> {
        let mut zones: BTreeMap<&Rc<str>, Vec<&Rc<str>>> = BTreeMap::new();
        for (name, m) in self.silent() {
            zones.entry(&m.zone).or_default().push(name);
        }
        let up = &self.index.sums.up;
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

    /// Machines that are up and have missed a report.
    pub(super) fn silent(&self) -> impl Iterator<Item = (&Rc<str>, &Machine)> {
        let silent = self.index.silent.iter();
        silent.filter_map(|place| self.machines.at(*place))
    }
}
