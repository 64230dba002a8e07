//! How much of what was asked for each class of jobs and each team was served.
//!
//! A day on which less than half of any one of them is served has failed, however good
//! its other figures are.

use dillcleat_controller::{Micros, SECOND};
use std::collections::BTreeMap;
use std::fmt;

/// What must have been served of each class and team.
pub const LEAST: f64 = 0.5;
/// From so much on a share is judged.
const ENOUGH_TASKS: f64 = 20.0;
/// In seconds of one replica.
const ENOUGH_REPLICA_TIME: f64 = 600.0;
const ENOUGH_REQUESTS: f64 = 50.0;
const MINUTE: Micros = 60 * SECOND;

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    wanted: f64,
    had: f64,
}

impl Part {
    fn share(&self) -> Option<f64> {
        (self.wanted > 0.0).then(|| self.had / self.wanted)
    }
}

/// Something that was wanted over a day, and how much of it there was.
#[derive(Debug, Clone, Default)]
pub struct Kept {
    whole: Part,
    minutes: BTreeMap<u64, Part>,
}

impl Kept {
    pub fn add(&mut self, at: Micros, wanted: f64, had: f64) {
        let minute = self.minutes.entry(at / MINUTE).or_default();
        for part in [&mut self.whole, minute] {
            part.wanted += wanted;
            part.had += had;
        }
    }

    /// Of the whole day; None if nothing was wanted.
    pub fn share(&self) -> Option<f64> {
        self.whole.share()
    }

    /// In the worst minute.
    pub fn worst_minute(&self) -> Option<f64> {
        let shares = self.minutes.values().filter_map(Part::share);
        shares.min_by(f64::total_cmp)
    }
}

/// Of one class or team.
#[derive(Debug, Clone, Default)]
pub struct Served {
    /// Tasks of arrays that were due, in the minute in which they were: had are those
    /// that were done in the end.
    pub work: Kept,
    /// Arrays that were due: had are those that ended by then. Told, not judged: users'
    /// aims say how many it should be.
    pub in_time: Kept,
    /// Time of replicas, in seconds.
    pub replicas: Kept,
    /// Submissions and polls: had are those that were answered.
    pub answers: Kept,
}

impl Served {
    const COLUMNS: [&str; 4] = ["work", "by deadline", "replicas", "answers"];

    fn kept(&self) -> [&Kept; 4] {
        [&self.work, &self.in_time, &self.replicas, &self.answers]
    }

    /// The least of what is judged: that of which enough was wanted for a share of it to
    /// say something. A service that lives for ten seconds of a cut has had none of its
    /// time, and nobody is to blame.
    fn least(&self, enough_tasks: f64) -> Option<f64> {
        let judged = [
            (&self.work, enough_tasks),
            (&self.replicas, ENOUGH_REPLICA_TIME),
            (&self.answers, ENOUGH_REQUESTS),
        ];
        let enough = judged
            .into_iter()
            .filter(|(k, least)| k.whole.wanted >= *least);
        let shares = enough.filter_map(|(k, _)| k.share());
        shares.min_by(f64::total_cmp)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Class,
    /// The largest jobs of a class.
    Largest,
    Team,
}

impl Group {
    /// From how many tasks on their share is judged. There are few of the largest jobs.
    fn enough_tasks(self) -> f64 {
        match self {
            Group::Largest => 1.0,
            Group::Class | Group::Team => ENOUGH_TASKS,
        }
    }
}

/// Of all classes and teams of a day.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    rows: BTreeMap<(Group, String), Served>,
}

impl Shares {
    /// Counts something of a job for its class and for its team.
    pub fn count(&mut self, class: &str, team: &str, add: impl Fn(&mut Served)) {
        for (group, name) in [(Group::Class, class), (Group::Team, team)] {
            add(self.rows.entry((group, name.to_string())).or_default());
        }
    }

    /// Counts something of one of the largest jobs of its class.
    pub fn count_largest(&mut self, class: &str, add: impl Fn(&mut Served)) {
        let row = self.rows.entry((Group::Largest, class.to_string()));
        add(row.or_default());
    }

    /// Counts something that is known by class only.
    pub fn count_class(&mut self, class: &str, add: impl Fn(&mut Served)) {
        let row = self.rows.entry((Group::Class, class.to_string()));
        add(row.or_default());
    }

    /// Classes and teams of which less than [`LEAST`] was served.
    pub fn starved(&self) -> Vec<String> {
        let least = |((group, _), s): &(&(Group, String), &Served)| s.least(group.enough_tasks());
        let starved = |row: &_| least(row).is_some_and(|l| l < LEAST);
        let rows = self.rows.iter().filter(starved);
        rows.map(|((group, name), _)| format!("{group:?} {name}").to_lowercase())
            .collect()
    }

    /// The class or team of which the least was served, and how much.
    pub fn least(&self) -> Option<(String, f64)> {
        let rows = self.rows.iter();
        rows.filter_map(|((g, name), s)| Some((name.clone(), s.least(g.enough_tasks())?)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

impl fmt::Display for Shares {
    /// A table: of each share the day's and, in brackets, the worst minute's.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "| of | {} |", Served::COLUMNS.join(" | "))?;
        writeln!(f, "| --- |{}", " --- |".repeat(Served::COLUMNS.len()))?;
        for ((group, name), served) in &self.rows {
            write!(f, "| {} {name} |", format!("{group:?}").to_lowercase())?;
            for kept in served.kept() {
                match kept.share().zip(kept.worst_minute()) {
                    Some((day, minute)) => write!(f, " {day:.3} ({minute:.2}) |")?,
                    None => write!(f, " |")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_is_served_less_than_half_is_named_by_class_and_by_team() {
        let mut shares = Shares::default();
        shares.count("merge", "books", |s| s.work.add(0, 100.0, 40.0));
        shares.count("merge", "maps", |s| s.work.add(MINUTE, 100.0, 100.0));
        shares.count("web", "maps", |s| s.replicas.add(0, 100.0, 0.0));
        shares.count("web", "maps", |s| s.replicas.add(MINUTE, 900.0, 900.0));
        // What is late is told, not judged, and so is what was hardly wanted.
        shares.count("web", "books", |s| s.replicas.add(0, 9.0, 0.0));
        shares.count("web", "maps", |s| s.in_time.add(0, 1.0, 0.0));
        assert_eq!(shares.starved(), ["team books"]);
        assert_eq!(shares.least(), Some(("books".into(), 0.4)));
        let table = shares.to_string();
        assert!(table.contains("| class merge | 0.700 (0.40) |"), "{table}");
        assert!(
            table.contains("| class web | | 0.000 (0.00) | 0.892 (0.00) | |"),
            "{table}"
        );
    }
}
