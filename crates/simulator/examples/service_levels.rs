//! Prints which share of the requested service each class and team received in benchmark
//! runs, from their reports (`--report`) and logs (`--log info`).
//!
//! The log gives the job arrays that were due, by class and by team. The report gives
//! replica time and accepted submissions by class and, if it has them, the numbers of
//! started jobs by team and of the largest jobs by class.

use clap::Parser;
use dillcleat_controller::{Micros, micros};
use dillcleat_simulator::ServiceShares;
use dillcleat_simulator::service_shares::MIN_SHARE;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Prints a table for each run; fails if a class, a team or the largest jobs of a class
/// received less than half of the requested service.
#[derive(Parser)]
struct Args {
    /// Directories of runs: each report NAME.json has its log in NAME.log
    #[arg(value_name = "DAYS", required = true)]
    directories: Vec<PathBuf>,
}

#[derive(Deserialize)]
struct RunReport {
    duration_s: f64,
    classes: BTreeMap<String, ClassReport>,
    #[serde(default)]
    teams: BTreeMap<String, StartedJobs>,
    /// Numbers of the largest jobs and of those started, by class.
    #[serde(default)]
    largest: BTreeMap<String, StartedJobs>,
}

#[derive(Deserialize)]
struct StartedJobs {
    jobs: f64,
    started: f64,
}

#[derive(Deserialize)]
struct ClassReport {
    jobs: f64,
    accepted: f64,
    /// The share of the run during which the replicas were up.
    #[serde(default)]
    up: Option<f64>,
}

/// A batch job that the log reports as accepted.
struct BatchJob<'a> {
    tasks: f64,
    class: &'a str,
    team: &'a str,
    /// The earliest of its own deadline and, after [`propagate_deadlines`], those of the jobs
    /// that depend on it.
    due: Option<Micros>,
    dependencies: Vec<&'a str>,
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

/// Parses the message `job accepted job=JOB tasks=N class=CLASS team=TEAM`, with `deadline_s=S`
/// and `depends_on=JOB,JOB` where it has them.
fn array(at: Micros, text: &str) -> Option<(&str, BatchJob<'_>)> {
    let due = match field(text, "deadline_s") {
        Some(deadline_s) => Some(at + seconds(deadline_s)?),
        None => None,
    };
    let dependencies = field(text, "depends_on").unwrap_or("");
    let array = BatchJob {
        tasks: field(text, "tasks")?.parse().ok()?,
        class: field(text, "class")?,
        team: field(text, "team")?,
        due,
        dependencies: dependencies
            .split(',')
            .filter(|job| !job.is_empty())
            .collect(),
    };
    Some((field(text, "job")?, array))
}

/// Sets the deadline of each job to the earliest of its own deadline and those of the jobs that
/// depend on it, directly or through others.
fn propagate_deadlines(arrays: &mut BTreeMap<&str, BatchJob>) {
    let deadlines: Vec<(&str, Micros)> = arrays
        .iter()
        .filter_map(|(job, a)| Some((*job, a.due?)))
        .collect();
    for (job, due) in deadlines {
        let mut next = vec![job];
        while let Some(job) = next.pop() {
            let Some(array) = arrays.get_mut(job) else {
                continue;
            };
            if array.due.is_none_or(|own| due <= own) {
                array.due = Some(due);
                next.extend(&array.dependencies);
            }
        }
    }
}

fn shares(report: &RunReport, log: &str) -> ServiceShares {
    let mut arrays: BTreeMap<&str, BatchJob> = BTreeMap::new();
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
    propagate_deadlines(&mut arrays);
    let end = micros(report.duration_s);
    let mut shares = ServiceShares::default();
    for (job, a) in arrays {
        let Some(due) = a.due.filter(|due| *due < end && !cancelled.contains(job)) else {
            continue;
        };
        // Work done after the end of the measured run does not count.
        let ended = done.get(job).filter(|at| **at <= end);
        let completed = f64::from(u8::from(ended.is_some()));
        let in_time = f64::from(u8::from(ended.is_some_and(|at| *at <= due)));
        shares.add_for_class_and_team(a.class, a.team, |s| {
            s.work.add(due, a.tasks, a.tasks * completed);
            s.in_time.add(due, 1.0, in_time);
        });
    }
    for (class, class_report) in &report.classes {
        shares.add_for_class(class, |s| {
            s.answers.add(0, class_report.jobs, class_report.accepted);
            if let Some(up) = class_report.up {
                let time = class_report.jobs * report.duration_s;
                s.replicas.add(0, time, time * up);
            }
        });
    }
    shares
}

/// Prints the table of a run. Returns whether every checked share reached the minimum.
fn print_run(report: &Path) -> Result<bool, Box<dyn Error>> {
    let log = String::from_utf8_lossy(&std::fs::read(report.with_extension("log"))?).into_owned();
    let run: RunReport = serde_json::from_slice(&std::fs::read(report)?)?;
    let shares = shares(&run, &log);
    println!("{}:\n\n{shares}", report.with_extension("").display());
    let mut starved = shares.below_minimum();
    for (group, all) in [("team", &run.teams), ("largest of class", &run.largest)] {
        for (name, jobs) in all.iter().filter(|(_, b)| b.jobs > 0.0) {
            let share = jobs.started / jobs.jobs;
            println!("Began, {group} {name}: {share:.3} of {}.", jobs.jobs);
            if share < MIN_SHARE {
                starved.push(format!("{group} {name}"));
            }
        }
    }
    if let Some((name, share)) = shares.lowest() {
        println!("Least served: {name}, {share:.3}.\n");
    }
    if !starved.is_empty() {
        println!("FAILED, too little for {}.\n", starved.join(", "));
    }
    Ok(starved.is_empty())
}

fn print_runs(directories: &[PathBuf]) -> Result<bool, Box<dyn Error>> {
    let mut enough = true;
    for directory in directories {
        let entries = std::fs::read_dir(directory)?;
        let paths: Result<Vec<PathBuf>, _> = entries.map(|e| e.map(|e| e.path())).collect();
        let mut reports = paths?;
        reports.retain(|p| p.extension().is_some_and(|e| e == "json"));
        reports.sort();
        for report in reports {
            let served = print_run(&report).map_err(|e| format!("{}: {e}", report.display()))?;
            enough &= served;
        }
    }
    Ok(enough)
}

fn main() -> ExitCode {
    match print_runs(&Args::parse().directories) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
