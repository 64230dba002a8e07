//! The share of the requested service that each class of jobs and each team received.
//!
//! A run fails if a class or team received less than [`MIN_SHARE`] of it, whatever the other
//! results are.

use dillcleat_controller::{Micros, SECOND};
use std::collections::BTreeMap;
use std::fmt;

/// Minimum share that each class and team must have received.
pub const MIN_SHARE: f64 = 0.5;
/// A share is checked only if at least this many tasks, replica seconds or requests were
/// requested.
const MIN_TASKS: f64 = 20.0;
const MIN_REPLICA_SECONDS: f64 = 600.0;
const MIN_REQUESTS: f64 = 50.0;
const MINUTE: Micros = 60 * SECOND;

#[derive(Debug, Clone, Copy, Default)]
struct Ratio {
    requested: f64,
    received: f64,
}

impl Ratio {
    fn share(&self) -> Option<f64> {
        (self.requested > 0.0).then(|| self.received / self.requested)
    }
}

/// The requested and the received amount of a service over a run.
#[derive(Debug, Clone, Default)]
pub struct ServiceRatio {
    total: Ratio,
    minutes: BTreeMap<u64, Ratio>,
}

impl ServiceRatio {
    pub fn add(&mut self, at: Micros, requested: f64, received: f64) {
        let minute = self.minutes.entry(at / MINUTE).or_default();
        for ratio in [&mut self.total, minute] {
            ratio.requested += requested;
            ratio.received += received;
        }
    }

    /// The share received over the whole run; None if nothing was requested.
    pub fn share(&self) -> Option<f64> {
        self.total.share()
    }

    /// The lowest share of any minute.
    pub fn worst_minute(&self) -> Option<f64> {
        let shares = self.minutes.values().filter_map(Ratio::share);
        shares.min_by(f64::total_cmp)
    }
}

/// The service that one class or team received.
#[derive(Debug, Clone, Default)]
pub struct ReceivedService {
    /// Tasks of batch jobs by the minute of their deadline. Received: those that completed
    /// by the end of the run.
    pub work: ServiceRatio,
    /// Batch jobs with a deadline. Received: those that ended by their deadline. This share
    /// is reported but not checked: service-level objectives set the required share.
    pub in_time: ServiceRatio,
    /// Running time of service replicas in seconds.
    pub replicas: ServiceRatio,
    /// Submissions and polls. Received: those that were answered.
    pub answers: ServiceRatio,
}

impl ReceivedService {
    const COLUMNS: [&str; 4] = ["work", "by deadline", "replicas", "answers"];

    fn columns(&self) -> [&ServiceRatio; 4] {
        [&self.work, &self.in_time, &self.replicas, &self.answers]
    }

    /// The lowest of the checked shares. A share is checked only if enough was requested: a
    /// service that exists for ten seconds during a network partition cannot start in time.
    fn lowest_checked(&self, min_tasks: f64) -> Option<f64> {
        let columns = [
            (&self.work, min_tasks),
            (&self.replicas, MIN_REPLICA_SECONDS),
            (&self.answers, MIN_REQUESTS),
        ];
        let checked = columns
            .into_iter()
            .filter(|(k, minimum)| k.total.requested >= *minimum);
        let shares = checked.filter_map(|(k, _)| k.share());
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
    /// Minimum number of tasks for their share to be checked. It is low for the largest
    /// jobs because there are few of them.
    fn min_tasks(self) -> f64 {
        match self {
            Group::Largest => 1.0,
            Group::Class | Group::Team => MIN_TASKS,
        }
    }
}

/// The service that each class, each team and the largest jobs of each class received in a
/// run.
#[derive(Debug, Clone, Default)]
pub struct ServiceShares {
    rows: BTreeMap<(Group, String), ReceivedService>,
}

impl ServiceShares {
    /// Adds to the counts of a class and of a team.
    pub fn add_for_class_and_team(
        &mut self,
        class: &str,
        team: &str,
        add: impl Fn(&mut ReceivedService),
    ) {
        for (group, name) in [(Group::Class, class), (Group::Team, team)] {
            add(self.rows.entry((group, name.to_string())).or_default());
        }
    }

    /// Adds to the counts of the largest jobs of a class.
    pub fn add_for_largest(&mut self, class: &str, add: impl Fn(&mut ReceivedService)) {
        let row = self.rows.entry((Group::Largest, class.to_string()));
        add(row.or_default());
    }

    /// Adds to the counts of a class only.
    pub fn add_for_class(&mut self, class: &str, add: impl Fn(&mut ReceivedService)) {
        let row = self.rows.entry((Group::Class, class.to_string()));
        add(row.or_default());
    }

    /// Classes, teams and groups of largest jobs that received less than [`MIN_SHARE`].
    pub fn below_minimum(&self) -> Vec<String> {
        let least = |((group, _), s): &(&(Group, String), &ReceivedService)| {
            s.lowest_checked(group.min_tasks())
        };
        let starved = |row: &_| least(row).is_some_and(|l| l < MIN_SHARE);
        let rows = self.rows.iter().filter(starved);
        rows.map(|((group, name), _)| format!("{group:?} {name}").to_lowercase())
            .collect()
    }

    /// The class, team or group of largest jobs with the lowest share, and that share.
    pub fn lowest(&self) -> Option<(String, f64)> {
        let rows = self.rows.iter();
        rows.filter_map(|((g, name), s)| Some((name.clone(), s.lowest_checked(g.min_tasks())?)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

impl fmt::Display for ServiceShares {
    /// A Markdown table with the share of the whole run and, in parentheses, of the worst
    /// minute.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "| of | {} |", ReceivedService::COLUMNS.join(" | "))?;
        writeln!(
            f,
            "| --- |{}",
            " --- |".repeat(ReceivedService::COLUMNS.len())
        )?;
        for ((group, name), served) in &self.rows {
            write!(f, "| {} {name} |", format!("{group:?}").to_lowercase())?;
            for column in served.columns() {
                match column.share().zip(column.worst_minute()) {
                    Some((total, minute)) => write!(f, " {total:.3} ({minute:.2}) |")?,
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
    fn classes_and_teams_below_the_minimum_share_are_listed() {
        let mut shares = ServiceShares::default();
        shares.add_for_class_and_team("merge", "books", |s| s.work.add(0, 100.0, 40.0));
        shares.add_for_class_and_team("merge", "maps", |s| s.work.add(MINUTE, 100.0, 100.0));
        shares.add_for_class_and_team("web", "maps", |s| s.replicas.add(0, 100.0, 0.0));
        shares.add_for_class_and_team("web", "maps", |s| s.replicas.add(MINUTE, 900.0, 900.0));
        // Neither missed deadlines nor shares of small amounts are checked.
        shares.add_for_class_and_team("web", "books", |s| s.replicas.add(0, 9.0, 0.0));
        shares.add_for_class_and_team("web", "maps", |s| s.in_time.add(0, 1.0, 0.0));
        assert_eq!(shares.below_minimum(), ["team books"]);
        assert_eq!(shares.lowest(), Some(("books".into(), 0.4)));
        let table = shares.to_string();
        assert!(table.contains("| class merge | 0.700 (0.40) |"), "{table}");
        assert!(
            table.contains("| class web | | 0.000 (0.00) | 0.892 (0.00) | |"),
            "{table}"
        );
    }
}
