//! The rules of the protocol, checked against what really happens.

mod waiting_jobs;

pub use waiting_jobs::Room;

use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::settings::Team;
use dillcleat_wire::user::{JobSpec, JobState};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    /// A task starts before all jobs that its job waits for are done.
    TooEarly,
    /// A job is called open long after its user was told that one before it is
    /// cancelled.
    Orphaned,
    /// A machine is rented or deleted by who led no more when it said so, or many are
    /// deleted by one call that comes late.
    Deposed,
    /// One of the largest jobs of a class has not begun in four minutes.
    LateBegin,
    /// A submission that can't run or lacks a field is accepted, or refused as another.
    Admitted,
    /// A job is left waiting for long although a machine that fits has room.
    LeftWaiting,
    /// A leader that had read of a cancellation has a task of the job started.
    LaunchedCancelled,
    /// What Kubernetes-shaped clients are told.
    Object,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineIdentity {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Debug, Clone)]
struct Job {
    spec: JobSpec,
    /// Since when its user knows that it is accepted.
    accepted: Option<Micros>,
    /// When its user first asked to cancel it.
    cancel_asked: bool,
    cancel_told: Option<Micros>,
    done_told: Option<Micros>,
    done: BTreeSet<u32>,
    began: Option<Micros>,
    /// Since when one of its tasks waits although a machine has room, as far as looks
    /// tell.
    could_start: Option<Micros>,
    /// Since when every poll for it has failed, and what the polls of all jobs had
    /// come to by then.
    failing_since: Option<(Micros, Polls)>,
}

/// What happened to jobs after their users had been told that they are cancelled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LateLaunches {
    /// Commands to start a task that were sent.
    pub launches: u64,
    /// Tasks that started. Whose command was under way, nobody can call back.
    pub starts: u64,
}

/// Polls that were answered, and that were not.
#[derive(Debug, Clone, Copy, Default)]
struct Polls {
    answered: u64,
    failed: u64,
}

/// What a team's tasks may take at once; 0: whatever there is.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    pub cpus: f64,
    pub gpus: f64,
}

impl Limit {
    pub fn of(team: &Team) -> Limit {
        Limit {
            cpus: team.cpus_max,
            gpus: team.gpus_max,
        }
    }

    /// Whether so much is within it.
    fn holds(&self, cpus: f64, gpus: f64) -> bool {
        let within = |used: f64, limit: f64| limit <= 0.0 || used <= limit + 1e-6;
        within(cpus, self.cpus) && within(gpus, self.gpus)
    }
}

/// Watches a whole run. Every method is called as things happen.
#[derive(Debug, Clone)]
pub struct Checker {
    cancel: Micros,
    /// Of the teams that have any.
    limits: BTreeMap<String, Limit>,
    jobs: BTreeMap<String, Job>,
    on: BTreeMap<TaskName, MachineIdentity>,
    starts: u64,
    late: LateLaunches,
    polls: Polls,
    /// From this time on there are no troubles: whoever asks is to be answered.
    pub troubles_end: Micros,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn new(cancel: Micros, limits: BTreeMap<String, Limit>) -> Self {
        Checker {
            cancel,
            limits,
            jobs: BTreeMap::new(),
            on: BTreeMap::new(),
            starts: 0,
            late: LateLaunches::default(),
            polls: Polls::default(),
            troubles_end: Micros::MAX,
            violations: Vec::new(),
        }
    }

    /// What somebody else has found.
    pub fn found(&mut self, rule: Rule, at: Micros, what: String) {
        self.violation(rule, at, what);
    }

    fn violation(&mut self, rule: Rule, at: Micros, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    pub fn submits(&mut self, spec: &JobSpec) {
        self.jobs.entry(spec.id.clone()).or_insert_with(|| Job {
            spec: spec.clone(),
            accepted: None,
            cancel_asked: false,
            cancel_told: None,
            done_told: None,
            done: BTreeSet::new(),
            began: None,
            could_start: None,
            failing_since: None,
        });
    }

    pub fn asks_to_cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_asked = true;
        }
    }

    /// A submission that was sent at `requests_per_s` was answered. What was told before it was
    /// sent is known to every node.
    pub fn answered_submission(
        &mut self,
        id: &str,
        status: u16,
        state: Option<JobState>,
        asked: Micros,
        now: Micros,
    ) {
        let known = |job: &Job| job.accepted.is_some_and(|at| at <= asked);
        match (status, self.jobs.get_mut(id)) {
            (201, Some(job)) if known(job) => {
                self.violation(Rule::Forgotten, now, format!("{id}: accepted anew"));
            }
            (200 | 201, Some(job)) => {
                job.accepted.get_or_insert(now);
                if let Some(state) = state {
                    self.told(id, state, asked, now);
                }
            }
            (400 | 422, Some(job)) if known(job) => {
                self.violation(
                    Rule::Forgotten,
                    now,
                    format!("{id}: answered {status} again"),
                );
            }
            _ => {}
        }
    }

    /// A submission was answered that was to be refused with the status `right`. A node
    /// that can't decide, or has no time for it, says so.
    pub fn answered_refused(&mut self, id: &str, status: u16, right: u16, now: Micros) {
        if status != right && !matches!(status, 0 | 429 | 503) {
            let what = format!("{id}: answered {status} instead of {right}");
            self.violation(Rule::Admitted, now, what);
        }
    }

    /// A poll or a cancellation that was sent at `requests_per_s` was answered, or was not (status
    /// 0).
    pub fn answered_poll(
        &mut self,
        id: &str,
        status: u16,
        state: Option<JobState>,
        asked: Micros,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            if status == 200 {
                self.violation(Rule::Invented, now, format!("{id} was never submitted"));
            }
            return;
        };
        match status {
            200 => {
                self.polls.answered += 1;
                job.failing_since = None;
                if let Some(state) = state {
                    self.told(id, state, asked, now);
                }
            }
            404 if job.accepted.is_some_and(|at| at <= asked) => {
                self.violation(Rule::Forgotten, now, format!("{id}: answered 404"));
            }
            // Asked before the acceptance was told.
            404 if job.accepted.is_some() => {}
            _ => {
                self.polls.failed += 1;
                let (since, then) = *job.failing_since.get_or_insert((now, self.polls));
                let answered = self.polls.answered - then.answered;
                let most = answered > self.polls.failed - then.failed;
                let accepted = job.accepted.is_some();
                // Once all troubles are over it doesn't matter how others fare.
                let well = now > since.max(self.troubles_end) + 75 * SECOND;
                if accepted && ((now > since + 90 * SECOND && most) || well) {
                    self.violation(Rule::Forgotten, now, format!("{id}: no answer for long"));
                }
            }
        }
    }

    fn told(&mut self, id: &str, state: JobState, asked: Micros, now: Micros) {
        let before = self.before(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut broken = None;
        match state {
            JobState::Done => {
                if job.cancel_told.is_some() {
                    broken = Some((Rule::WentBack, "cancelled, then done"));
                } else if (job.done.len() as u32) < job.spec.tasks {
                    broken = Some((Rule::NotDone, "told done too early"));
                }
                job.done_told.get_or_insert(now);
            }
            JobState::Cancelled => {
                if job.done_told.is_some() {
                    broken = Some((Rule::WentBack, "done, then cancelled"));
                } else if !job.cancel_asked && !before.1 {
                    broken = Some((Rule::WentBack, "cancelled without being asked to"));
                }
                job.cancel_told.get_or_insert(now);
            }
            JobState::Queued | JobState::Running => {
                let ended = job.done_told.or(job.cancel_told);
                // Answers to questions of before may cross on their way.
                if ended.is_some_and(|at| at <= asked) {
                    broken = Some((Rule::WentBack, "ended, then open"));
                } else if before.0.is_some_and(|at| {
                    // Submitted later, it was accepted all the same.
                    now > at.max(job.accepted.unwrap_or(now)) + self.cancel
                }) {
                    broken = Some((Rule::Orphaned, "open after one before it is cancelled"));
                }
            }
        }
        if let Some((rule, what)) = broken {
            self.violation(rule, now, format!("{id}: {what}"));
        }
    }

    /// Of the jobs that one waits for, directly or through others: when a user was first
    /// told that one is cancelled, and whether one was asked to be.
    fn before(&self, id: &str) -> (Option<Micros>, bool) {
        let mut seen = BTreeSet::new();
        let mut next = vec![id];
        let (mut told, mut asked): (Option<Micros>, bool) = (None, false);
        while let Some(id) = next.pop() {
            let awaits = self.jobs.get(id).map_or(&[][..], |j| &j.spec.depends_on);
            for name in awaits {
                let Some(job) = self.jobs.get(name).filter(|_| seen.insert(name)) else {
                    continue;
                };
                told = [told, job.cancel_told].into_iter().flatten().min();
                asked |= job.cancel_asked;
                next.push(name);
            }
        }
        (told, asked)
    }

    /// Whether a job that this one waits for is cancelled, as its user was told.
    pub fn doomed(&self, id: &str) -> bool {
        self.before(id).0.is_some()
    }

    /// A command to start a task is sent; `knows` if the sender had read before that the
    /// job is cancelled, or had told a user so.
    pub fn launches(&mut self, task: &TaskName, knows: bool, now: Micros) {
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|j| j.cancel_told.is_some()) {
            self.late.launches += 1;
        }
        if knows {
            let what = format!("{task} is sent though known to be cancelled");
            self.violation(Rule::LaunchedCancelled, now, what);
        }
    }

    /// A task has its image and starts on a machine.
    pub fn starts(&mut self, task: &TaskName, place: &MachineIdentity, now: Micros) {
        self.starts += 1;
        if let Some(other) = self.on.get(task) {
            let what = format!(
                "{task} starts on {} while on {}",
                place.machine, other.machine
            );
            self.violation(Rule::RanTwice, now, what);
        }
        let Some(job) = self.jobs.get(&task.job) else {
            self.violation(Rule::WrongPlace, now, format!("{task}: no such job"));
            return;
        };
        let spec = &job.spec;
        let others = || {
            let of_job = self.tasks_of(&task.job);
            of_job.filter(|(t, _)| *t != task).map(|(_, p)| p)
        };
        let in_zone = others().filter(|p| p.zone == place.zone).count() as u32;
        let elsewhere = others().any(|p| p.zone != place.zone);
        let wrong = if spec.zone.as_ref().is_some_and(|z| *z != place.zone) {
            Some("zone")
        } else if spec
            .types
            .as_ref()
            .is_some_and(|t| !t.contains(&place.machine_type))
        {
            Some("type")
        } else if place.spot && !spec.spot {
            Some("kind of machine")
        } else if spec.single_zone && elsewhere {
            Some("zone apart from the others")
        } else if spec.spread && in_zone + 1 > spec.tasks.div_ceil(2) {
            Some("zone that holds half already")
        } else {
            None
        };
        let done = |id: &String| self.complete(id);
        let early = spec.depends_on.iter().find(|id| !done(id)).cloned();
        let late = job.cancel_told.is_some_and(|at| now > at + self.cancel);
        let team = spec.team.clone();
        if let Some(wrong) = wrong {
            self.violation(Rule::WrongPlace, now, format!("{task}: wrong {wrong}"));
        }
        if let Some(early) = early {
            self.violation(
                Rule::TooEarly,
                now,
                format!("{task} starts before {early} is done"),
            );
        }
        if late {
            self.violation(Rule::RanCancelled, now, format!("{task} starts"));
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.began.get_or_insert(now);
            job.could_start = None;
            self.late.starts += u64::from(job.cancel_told.is_some());
        }
        self.on.insert(task.clone(), place.clone());
        if let Some(limit) = self.limits.get(&team) {
            let (cpus, gpus) = self.used(&team, self.on.keys());
            if !limit.holds(cpus, gpus) {
                let what = format!("{team} uses {cpus} CPUs and {gpus} GPUs of {limit:?}");
                self.violation(Rule::Quota, now, what);
            }
        }
    }

    /// CPUs and GPUs that a team's tasks among these take.
    fn used<'a>(&self, team: &str, tasks: impl Iterator<Item = &'a TaskName>) -> (f64, f64) {
        let jobs = tasks.filter_map(|t| self.jobs.get(&t.job));
        let specs = jobs.map(|j| &j.spec).filter(|s| s.team == team);
        specs.fold((0.0, 0.0), |(cpus, gpus), s| (cpus + s.cpus, gpus + s.gpus))
    }

    /// A task has left a machine; `done` if it completed.
    pub fn leaves(&mut self, task: &TaskName, machine: &str, done: bool) {
        if self.on.get(task).is_some_and(|p| p.machine == machine) {
            self.on.remove(task);
        }
        if done && let Some(job) = self.jobs.get_mut(&task.job) {
            job.done.insert(task.index);
        }
    }

    /// The tasks of a job that are on machines.
    fn tasks_of(&self, id: &str) -> impl Iterator<Item = (&TaskName, &MachineIdentity)> {
        let bound = |index| TaskName {
            job: id.to_string(),
            index,
        };
        self.on.range(bound(0)..=bound(u32::MAX))
    }

    /// After every step of a run.
    pub fn step(&mut self, now: Micros) {
        let overdue = |job: &Job| job.cancel_told.is_some_and(|at| now > at + self.cancel);
        let jobs = self.jobs.iter().filter(|(_, job)| overdue(job));
        let tasks = jobs.flat_map(|(id, _)| self.tasks_of(id));
        let late: Vec<TaskName> = tasks.map(|(task, _)| task.clone()).collect();
        for task in late {
            self.on.remove(&task);
            self.violation(Rule::RanCancelled, now, format!("{task} still runs"));
        }
    }

    /// The largest jobs of each class that waited for over four minutes until their first
    /// task began, from their acceptance. Those that a team's limit holds back, that wait
    /// for others or that were cancelled tell nothing.
    fn late_begins(&self, now: Micros) -> Vec<String> {
        let mut largest: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            let most = largest.entry(&job.spec.class).or_default();
            *most = job.spec.tasks.max(*most);
        }
        let counts = |job: &&Job| {
            job.spec.tasks == largest[&*job.spec.class]
                && !self.limits.contains_key(&job.spec.team)
                && job.spec.depends_on.is_empty()
                && !job.cancel_asked
        };
        let late = |job: &&Job| {
            let waited = |at| job.began.unwrap_or(now).saturating_sub(at);
            job.accepted.is_some_and(|at| waited(at) > 240 * SECOND)
        };
        let late = self.jobs.values().filter(counts).filter(late);
        late.map(|job| job.spec.id.clone()).collect()
    }

    pub fn finish(&mut self, now: Micros) {
        for id in self.late_begins(now) {
            self.violation(Rule::LateBegin, now, format!("{id}: one of the largest"));
        }
        if self.starts == 0 {
            self.violation(Rule::NothingRan, now, "no task was started".into());
        }
    }

    /// What happened to cancelled jobs.
    pub fn late(&self) -> LateLaunches {
        self.late
    }

    pub fn starts_seen(&self) -> u64 {
        self.starts
    }

    /// How many of a job's tasks are on machines now, and have completed.
    pub fn tasks(&self, id: &str) -> (u32, u32) {
        let on = self.on.keys().filter(|t| t.job == id).count();
        let done = self.jobs.get(id).map_or(0, |j| j.done.len());
        (on as u32, done as u32)
    }

    /// The machines that a job's tasks are on.
    pub fn machines(&self, id: &str) -> impl Iterator<Item = String> {
        let on = self.on.iter().filter(move |(t, _)| t.job == id);
        on.map(|(_, place)| place.machine.clone())
    }

    /// Whether every task of a job has completed.
    pub fn complete(&self, id: &str) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|j| j.done.len() as u32 == j.spec.tasks)
    }
}
