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
    pub(super) fn cut_off(&self, ctx: &Ctx) -> BTreeSet<Rc<str>> {
        let now = ctx.now.steady;
        let missing = Self::missing(ctx.config);
        let mut zones: BTreeMap<&str, (usize, Vec<&Rc<str>>)> = BTreeMap::new();
        let mut up = 0;
        for m in self.machines.values().filter(|m| m.up && !m.leaving) {
            up += 1;
            let (all, silent) = zones.entry(&m.zone).or_default();
            *all += 1;
            if now >= m.heard_at + missing {
                silent.push(&m.name);
            }
        }
        let cut: BTreeSet<Rc<str>> = zones
            .into_values()
            .filter(|(all, silent)| silent.len() >= 3 && silent.len() * 2 > *all)
            .flat_map(|(_, silent)| silent.into_iter().cloned())
            .collect();
        if cut.len() * 2 > up {
            return BTreeSet::new();
        }
        cut
    }
}
