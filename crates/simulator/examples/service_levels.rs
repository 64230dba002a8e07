//! How much of each class and team was served on days of the users' bench, from their
//! reports (`--report`) and logs (`--log info`).
//!
//! By class and by team: arrays that were due, from the log. By class only, as the
//! report tells it: replica time, and submissions that were answered. Where the report
//! tells it, also how many jobs of each team and of each class's largest began.

use clap::Parser;
use dillcleat_controller::{Micros, micros};
use dillcleat_simulator::ServiceShares;
use dillcleat_simulator::service_shares::LEAST;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Prints a table for each day; fails if less than half of a class or team was served.
#[derive(Parser)]
struct Args {
    /// Folders of days: in each NAME.json, a day's report, stands beside NAME.log
    #[arg(required = true)]
    days: Vec<PathBuf>,
}

#[derive(Deserialize)]
struct DayReport {
    duration_s: f64,
    classes: BTreeMap<String, ClassReport>,
    /// Jobs of each team, and the largest of each class.
    #[serde(default)]
    teams: BTreeMap<String, Began>,
    #[serde(default)]
    largest: BTreeMap<String, Began>,
}

#[derive(Deserialize)]
struct Began {
    jobs: f64,
    started: f64,
}

#[derive(Deserialize)]
struct ClassReport {
    jobs: f64,
    accepted: f64,
    #[serde(default)]
    up: Option<f64>,
}

/// An array as the log tells of it.
struct Array<'a> {
    tasks: f64,
    class: &'a str,
    team: &'a str,
    /// By its own deadline or, without one, by that of the jobs that wait for it.
    due: Option<Micros>,
    after: Vec<&'a str>,
}

fn seconds(text: &str) -> Option<Micros> {
    text.parse().ok().map(micros)
}

/// The value of a field of a log line's message, `key=value`.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = text
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

/// The array of `job accepted job=JOB tasks=N class=CLASS team=TEAM`, with `deadline_s=S`
/// and `depends_on=JOB,JOB` where it has them.
fn array(at: Micros, text: &str) -> Option<(&str, Array<'_>)> {
    let due = match field(text, "deadline_s") {
        Some(deadline_s) => Some(at + seconds(deadline_s)?),
        None => None,
    };
    let dependencies = field(text, "depends_on").unwrap_or("");
    let array = Array {
        tasks: field(text, "tasks")?.parse().ok()?,
        class: field(text, "class")?,
        team: field(text, "team")?,
        due,
        after: dependencies
            .split(',')
            .filter(|job| !job.is_empty())
            .collect(),
    };
    Some((field(text, "job")?, array))
}

/// Gives the stages of a pipeline, which have no deadline, that of its last job.
fn hand_down(arrays: &mut BTreeMap<&str, Array>) {
    let ends: Vec<(&str, Micros)> = arrays
        .iter()
        .filter_map(|(job, a)| Some((*job, a.due?)))
        .collect();
    for (job, due) in ends {
        let mut next = vec![job];
        while let Some(job) = next.pop() {
            let Some(array) = arrays.get_mut(job) else {
                continue;
            };
            if array.due.is_none_or(|own| due <= own) {
                array.due = Some(due);
                next.extend(&array.after);
            }
        }
    }
}

fn shares(report: &DayReport, log: &str) -> ServiceShares {
    let mut arrays: BTreeMap<&str, Array> = BTreeMap::new();
    let mut done: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut cancelled = BTreeSet::new();
    for line in log.lines() {
        let mut words = line.split_whitespace();
        let Some(at) = words.next().and_then(seconds) else {
            continue;
        };
        let Some((_, text)) = line.split_once(" info ") else {
            continue;
        };
        if text.starts_with("job accepted ") {
            arrays.extend(array(at, text));
        } else if text.starts_with("job done ") {
            if let Some(job) = field(text, "job") {
                done.entry(job).or_insert(at);
            }
        } else if text.starts_with("job cancelled") {
            cancelled.extend(field(text, "job"));
        }
    }
    hand_down(&mut arrays);
    let end = micros(report.duration_s);
    let mut shares = ServiceShares::default();
    for (job, a) in arrays {
        let Some(due) = a.due.filter(|due| *due < end && !cancelled.contains(job)) else {
            continue;
        };
        // What is done after the day, when nothing else is asked for, does not count.
        let ended = done.get(job).filter(|at| **at <= end);
        let was = f64::from(u8::from(ended.is_some()));
        let in_time = f64::from(u8::from(ended.is_some_and(|at| *at <= due)));
        shares.count(a.class, a.team, |s| {
            s.work.add(due, a.tasks, a.tasks * was);
            s.in_time.add(due, 1.0, in_time);
        });
    }
    for (class, of) in &report.classes {
        shares.count_class(class, |s| {
            s.answers.add(0, of.jobs, of.accepted);
            if let Some(up) = of.up {
                let time = of.jobs * report.duration_s;
                s.replicas.add(0, time, time * up);
            }
        });
    }
    shares
}

/// Prints a day's table; whether enough was served.
fn day(report: &Path) -> Result<bool, Box<dyn Error>> {
    let log = String::from_utf8_lossy(&std::fs::read(report.with_extension("log"))?).into_owned();
    let told: DayReport = serde_json::from_slice(&std::fs::read(report)?)?;
    let shares = shares(&told, &log);
    println!("{}:\n\n{shares}", report.with_extension("").display());
    let mut starved = shares.starved();
    for (group, all) in [("team", &told.teams), ("largest of class", &told.largest)] {
        for (name, began) in all.iter().filter(|(_, b)| b.jobs > 0.0) {
            let share = began.started / began.jobs;
            println!("Began, {group} {name}: {share:.3} of {}.", began.jobs);
            if share < LEAST {
                starved.push(format!("{group} {name}"));
            }
        }
    }
    if let Some((name, share)) = shares.least() {
        println!("Least served: {name}, {share:.3}.\n");
    }
    if !starved.is_empty() {
        println!("FAILED, too little for {}.\n", starved.join(", "));
    }
    Ok(starved.is_empty())
}

fn all(folders: &[PathBuf]) -> Result<bool, Box<dyn Error>> {
    let mut enough = true;
    for folder in folders {
        let entries = std::fs::read_dir(folder)?;
        let paths: Result<Vec<PathBuf>, _> = entries.map(|e| e.map(|e| e.path())).collect();
        let mut reports = paths?;
        reports.retain(|p| p.extension().is_some_and(|e| e == "json"));
        reports.sort();
        for report in reports {
            let served = day(&report).map_err(|e| format!("{}: {e}", report.display()))?;
            enough &= served;
        }
    }
    Ok(enough)
}

fn main() -> ExitCode {
    match all(&Args::parse().days) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
