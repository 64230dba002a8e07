//! The invariants of the scheduler, checked against the events of a simulation.

mod attempt_starts;
mod waiting_jobs;

pub use waiting_jobs::MachineCapacity;

use self::attempt_starts::AttemptStarts;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::settings::Team;
use dillcleat_wire::user::{JobSpec, JobState};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time from the acceptance of one of the largest jobs of a class until its first task
/// starts.
const MAX_FIRST_START_DELAY: Micros = 240 * SECOND;
/// Longest time for which all polls of an accepted job may fail while most polls of all jobs
/// are answered.
const MAX_UNANSWERED: Micros = 90 * SECOND;
/// Longest time for which all polls of an accepted job may fail while no fault is active.
const MAX_UNANSWERED_WITHOUT_FAULTS: Micros = 75 * SECOND;

/// The invariant that a [`Violation`] breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task starts while another attempt of it runs.
    RanTwice,
    /// An attempt of a task starts on a machine on which it has started before.
    AttemptStartedAgain,
    /// The tasks of a team use more than its quota.
    QuotaExceeded,
    /// A task starts on a machine that its job does not allow.
    WrongPlacement,
    /// A task starts or still runs after the cancellation deadline of its job.
    RanAfterCancellation,
    /// An answer treats an accepted job as unknown or new, or its polls fail for too long.
    AcceptedJobLost,
    /// An answer treats a job that was never submitted as known.
    UnknownJobAnswered,
    /// A job is reported done before all its tasks have completed.
    DoneTooEarly,
    /// The reported state of a job reverts, or a job is reported cancelled without a
    /// request.
    StateReverted,
    /// No task started during the whole run.
    NoTaskStarted,
    /// A task starts before the dependencies of its job are done.
    StartedBeforeDependency,
    /// A job is reported open after the cancellation deadline of one of its dependencies.
    DependentNotCancelled,
    /// A node that is no longer the leader rents or deletes a machine, or a delayed call
    /// deletes more machines than one call may.
    ActedWithoutLeadership,
    /// No task of one of the largest jobs of a class starts within four minutes.
    LargestJobDelayed,
    /// An invalid submission is accepted, or is refused with the wrong status.
    WrongAdmission,
    /// A job waits too long although a suitable machine has free capacity.
    JobStarved,
    /// A leader that has read the cancellation of a job sends a launch command for it.
    LaunchedCancelled,
    /// A client of the Kubernetes API receives a wrong answer or watch event.
    KubernetesApi,
}

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

/// A machine and its properties that constrain placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineAttributes {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Debug, Clone)]
struct Job {
    spec: JobSpec,
    /// When the user first received the acceptance of the job.
    accepted: Option<Micros>,
    /// Its user has requested its cancellation.
    cancel_requested: bool,
    /// When an answer to its user first reported it as cancelled.
    cancel_reported_at: Option<Micros>,
    /// When an answer to its user first reported it as done.
    done_reported_at: Option<Micros>,
    /// Indices of its completed tasks.
    completed: BTreeSet<u32>,
    first_start: Option<Micros>,
    /// Time of the first of the consecutive checks, up to the latest one, that found a waiting
    /// task and a suitable machine with free capacity.
    waiting_with_free_capacity_since: Option<Micros>,
    /// Time from which every poll of the job has failed, and the counts of the polls of all
    /// jobs at that time.
    failing_since: Option<(Micros, PollCounts)>,
}

/// Launches and starts of tasks after an answer reported their job as cancelled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LateLaunches {
    /// Launch commands sent.
    pub launches: u64,
    /// Tasks started. A launch command that is already in flight cannot be revoked.
    pub starts: u64,
}

/// Cancellations among the transitive dependencies of a job.
#[derive(Debug, Clone, Copy, Default)]
struct CancelledDependencies {
    /// When an answer first reported one of them as cancelled.
    first_reported_at: Option<Micros>,
    /// A user has requested the cancellation of one of them.
    any_requested: bool,
}

/// Counts of answered and failed polls of all jobs.
#[derive(Debug, Clone, Copy, Default)]
struct PollCounts {
    answered: u64,
    failed: u64,
}

/// Maximum resources that the running tasks of a team may use; 0 means unlimited.
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

    fn allows(&self, cpus: f64, gpus: f64) -> bool {
        let within = |used: f64, limit: f64| limit <= 0.0 || used <= limit + 1e-6;
        within(cpus, self.cpus) && within(gpus, self.gpus)
    }
}

/// Checks the invariants during a run. Its methods record the events as they happen.
#[derive(Debug, Clone)]
pub struct Checker {
    /// Time from the confirmation of a cancellation until no task of the job may run.
    cancel_time_limit: Micros,
    /// Limits by team, for the teams that have one.
    limits: BTreeMap<String, Limit>,
    jobs: BTreeMap<String, Job>,
    /// The machine of each running task.
    running: BTreeMap<TaskName, MachineAttributes>,
    task_starts: u64,
    attempt_starts: AttemptStarts,
    late_launches: LateLaunches,
    polls: PollCounts,
    /// No fault is active from this time on: a stricter limit applies to unanswered polls, and
    /// waiting jobs are checked.
    pub faults_end: Micros,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn new(cancel_time_limit: Micros, limits: BTreeMap<String, Limit>) -> Self {
        Checker {
            cancel_time_limit,
            limits,
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            task_starts: 0,
            attempt_starts: AttemptStarts::default(),
            late_launches: LateLaunches::default(),
            polls: PollCounts::default(),
            faults_end: Micros::MAX,
            violations: Vec::new(),
        }
    }

    /// Records a violation. Other modules call this for violations that they detect.
    pub fn report_violation(&mut self, rule: Rule, at: Micros, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    pub fn submitted(&mut self, spec: &JobSpec) {
        self.jobs.entry(spec.id.clone()).or_insert_with(|| Job {
            spec: spec.clone(),
            accepted: None,
            cancel_requested: false,
            cancel_reported_at: None,
            done_reported_at: None,
            completed: BTreeSet::new(),
            first_start: None,
            waiting_with_free_capacity_since: None,
            failing_since: None,
        });
    }

    pub fn cancel_requested(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested = true;
        }
    }

    /// Records the answer to a submission that was sent at `sent`. An answer
    /// that a user received before that time binds all nodes: a job accepted by then must be
    /// known.
    pub fn submission_answered(
        &mut self,
        id: &str,
        status: u16,
        state: Option<JobState>,
        sent: Micros,
        now: Micros,
    ) {
        let already_accepted = |job: &Job| job.accepted.is_some_and(|at| at <= sent);
        match (status, self.jobs.get_mut(id)) {
            (201, Some(job)) if already_accepted(job) => {
                let what = format!("{id}: repeated submission of an accepted job answered 201");
                self.report_violation(Rule::AcceptedJobLost, now, what);
            }
            (200 | 201, Some(job)) => {
                job.accepted.get_or_insert(now);
                if let Some(state) = state {
                    self.check_state(id, state, sent, now);
                }
            }
            (400 | 422, Some(job)) if already_accepted(job) => {
                let what =
                    format!("{id}: repeated submission of an accepted job answered {status}");
                self.report_violation(Rule::AcceptedJobLost, now, what);
            }
            _ => {}
        }
    }

    /// Checks the answer to an invalid submission, which must be refused with the status
    /// `expected`. No answer (status 0) and the statuses of an overloaded or unavailable node
    /// are allowed.
    pub fn invalid_submission_answered(
        &mut self,
        id: &str,
        status: u16,
        expected: u16,
        now: Micros,
    ) {
        if status != expected && !matches!(status, 0 | 429 | 503) {
            let what = format!("{id}: invalid submission answered {status}, expected {expected}");
            self.report_violation(Rule::WrongAdmission, now, what);
        }
    }

    /// Records the answer to a poll or a cancellation that was sent at `sent`. Status 0
    /// means that there was no answer.
    pub fn poll_answered(
        &mut self,
        id: &str,
        status: u16,
        state: Option<JobState>,
        sent: Micros,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            if status == 200 {
                self.report_violation(
                    Rule::UnknownJobAnswered,
                    now,
                    format!("{id}: poll answered 200 for a job that was never submitted"),
                );
            }
            return;
        };
        match status {
            200 => {
                self.polls.answered += 1;
                job.failing_since = None;
                if let Some(state) = state {
                    self.check_state(id, state, sent, now);
                }
            }
            404 if job.accepted.is_some_and(|at| at <= sent) => {
                let what = format!("{id}: poll of an accepted job answered 404");
                self.report_violation(Rule::AcceptedJobLost, now, what);
            }
            // The poll was sent before the user received the acceptance.
            404 if job.accepted.is_some() => {}
            _ => {
                self.polls.failed += 1;
                let (since, before) = *job.failing_since.get_or_insert((now, self.polls));
                let answered = self.polls.answered - before.answered;
                let most_answered = answered > self.polls.failed - before.failed;
                let accepted = job.accepted.is_some();
                // While no fault is active, polls of other jobs are not considered.
                let overdue_without_faults =
                    now > since.max(self.faults_end) + MAX_UNANSWERED_WITHOUT_FAULTS;
                let overdue = now > since + MAX_UNANSWERED && most_answered;
                if accepted && (overdue || overdue_without_faults) {
                    let failing_s = (now - since) / SECOND;
                    let what = format!(
                        "{id}: all polls failed for {failing_s} s, limit {} s, or {} s without faults",
                        MAX_UNANSWERED / SECOND,
                        MAX_UNANSWERED_WITHOUT_FAULTS / SECOND
                    );
                    self.report_violation(Rule::AcceptedJobLost, now, what);
                }
            }
        }
    }

    /// Checks a job state that a user received at `now` for a request sent at `sent`.
    fn check_state(&mut self, id: &str, state: JobState, sent: Micros, now: Micros) {
        let dependencies = self.cancelled_dependencies(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut broken = None;
        match state {
            JobState::Done => {
                if job.cancel_reported_at.is_some() {
                    broken = Some((Rule::StateReverted, "reported done after cancelled".into()));
                } else if (job.completed.len() as u32) < job.spec.tasks {
                    let (completed, tasks) = (job.completed.len(), job.spec.tasks);
                    let what = format!("reported done with {completed} of {tasks} tasks completed");
                    broken = Some((Rule::DoneTooEarly, what));
                }
                job.done_reported_at.get_or_insert(now);
            }
            JobState::Cancelled => {
                if job.done_reported_at.is_some() {
                    broken = Some((Rule::StateReverted, "reported cancelled after done".into()));
                } else if !job.cancel_requested && !dependencies.any_requested {
                    let what = "reported cancelled without a request to cancel it or a dependency";
                    broken = Some((Rule::StateReverted, what.into()));
                }
                job.cancel_reported_at.get_or_insert(now);
            }
            JobState::Queued | JobState::Running => {
                let ended = job.done_reported_at.or(job.cancel_reported_at);
                // Answers to requests sent before the end was reported may be reordered.
                if ended.is_some_and(|at| at <= sent) {
                    let what = format!("reported {state:?} after its end was reported");
                    broken = Some((Rule::StateReverted, what));
                } else if dependencies.first_reported_at.is_some_and(|at| {
                    // The job may have been accepted after the cancellation.
                    now > at.max(job.accepted.unwrap_or(now)) + self.cancel_time_limit
                }) {
                    let what = format!(
                        "reported {state:?} over {} s after a dependency was reported cancelled",
                        self.cancel_time_limit / SECOND
                    );
                    broken = Some((Rule::DependentNotCancelled, what));
                }
            }
        }
        if let Some((rule, what)) = broken {
            self.report_violation(rule, now, format!("{id}: {what}"));
        }
    }

    /// The cancellations among the transitive dependencies of a job.
    fn cancelled_dependencies(&self, id: &str) -> CancelledDependencies {
        let mut seen = BTreeSet::new();
        let mut unvisited = vec![id];
        let mut cancelled = CancelledDependencies::default();
        while let Some(id) = unvisited.pop() {
            let depends_on = self.jobs.get(id).map_or(&[][..], |j| &j.spec.depends_on);
            for name in depends_on {
                let Some(job) = self.jobs.get(name).filter(|_| seen.insert(name)) else {
                    continue;
                };
                let reported = [cancelled.first_reported_at, job.cancel_reported_at];
                cancelled.first_reported_at = reported.into_iter().flatten().min();
                cancelled.any_requested |= job.cancel_requested;
                unvisited.push(name);
            }
        }
        cancelled
    }

    /// Whether an answer reported a transitive dependency of this job as cancelled.
    pub fn has_cancelled_dependency(&self, id: &str) -> bool {
        self.cancelled_dependencies(id).first_reported_at.is_some()
    }

    /// Records a launch command. `known_cancelled`: its sender had read that the job is
    /// cancelled, or had confirmed the cancellation to a user.
    pub fn launch_sent(&mut self, task: &TaskName, known_cancelled: bool, now: Micros) {
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|j| j.cancel_reported_at.is_some()) {
            self.late_launches.launches += 1;
        }
        if known_cancelled {
            let what = format!(
                "{task}: launch command sent by a leader that had read or confirmed the \
                 cancellation of its job"
            );
            self.report_violation(Rule::LaunchedCancelled, now, what);
        }
    }

    /// Records that a task starts on a machine, after its image was fetched.
    pub fn task_started(&mut self, task: &TaskName, place: &MachineAttributes, now: Micros) {
        self.task_starts += 1;
        if let Some(other) = self.running.get(task) {
            let what = format!(
                "{task}: starts on {} while it runs on {}",
                place.machine, other.machine
            );
            self.report_violation(Rule::RanTwice, now, what);
        }
        let Some(job) = self.jobs.get(&task.job) else {
            self.report_violation(
                Rule::WrongPlacement,
                now,
                format!("{task}: starts without a submitted job"),
            );
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
            Some("machine type")
        } else if place.spot && !spec.spot {
            Some("spot instance")
        } else if spec.single_zone && elsewhere {
            Some("second zone for a single-zone job")
        } else if spec.spread && in_zone + 1 > spec.tasks.div_ceil(2) {
            Some("zone that already has half of its tasks")
        } else {
            None
        };
        let done = |id: &String| self.is_complete(id);
        let unfinished = spec.depends_on.iter().find(|id| !done(id)).cloned();
        let overdue = job.cancel_reported_at;
        let overdue = overdue.is_some_and(|at| now > at + self.cancel_time_limit);
        let team = spec.team.clone();
        if let Some(wrong) = wrong {
            let what = format!("{task}: starts on {}: wrong {wrong}", place.machine);
            self.report_violation(Rule::WrongPlacement, now, what);
        }
        if let Some(dependency) = unfinished {
            self.report_violation(
                Rule::StartedBeforeDependency,
                now,
                format!("{task}: starts before its dependency {dependency} is done"),
            );
        }
        if overdue {
            let what = format!(
                "{task}: starts over {} s after its job was reported cancelled",
                self.cancel_time_limit / SECOND
            );
            self.report_violation(Rule::RanAfterCancellation, now, what);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.first_start.get_or_insert(now);
            job.waiting_with_free_capacity_since = None;
            self.late_launches.starts += u64::from(job.cancel_reported_at.is_some());
        }
        self.running.insert(task.clone(), place.clone());
        if let Some(limit) = self.limits.get(&team) {
            let (cpus, gpus) = self.resources_used(&team, self.running.keys());
            if !limit.allows(cpus, gpus) {
                let what = format!("{team}: uses {cpus} CPUs and {gpus} GPUs, over its {limit:?}");
                self.report_violation(Rule::QuotaExceeded, now, what);
            }
        }
    }

    /// CPUs and GPUs used by those of the tasks that belong to the team.
    fn resources_used<'a>(
        &self,
        team: &str,
        tasks: impl Iterator<Item = &'a TaskName>,
    ) -> (f64, f64) {
        let jobs = tasks.filter_map(|t| self.jobs.get(&t.job));
        let specs = jobs.map(|j| &j.spec).filter(|s| s.team == team);
        specs.fold((0.0, 0.0), |(cpus, gpus), s| (cpus + s.cpus, gpus + s.gpus))
    }

    /// Records that a task no longer runs on a machine; `done` if it completed.
    pub fn task_ended(&mut self, task: &TaskName, machine: &str, done: bool) {
        if self.running.get(task).is_some_and(|p| p.machine == machine) {
            self.running.remove(task);
        }
        if done && let Some(job) = self.jobs.get_mut(&task.job) {
            job.completed.insert(task.index);
        }
    }

    /// The running tasks of a job and their machines.
    fn tasks_of(&self, id: &str) -> impl Iterator<Item = (&TaskName, &MachineAttributes)> {
        let bound = |index| TaskName {
            job: id.to_string(),
            index,
        };
        self.running.range(bound(0)..=bound(u32::MAX))
    }

    /// Checks the cancellation deadlines. Must be called after every step of a run. Removes
    /// overdue tasks from the running tasks, so that each is reported once.
    pub fn check_cancellations(&mut self, now: Micros) {
        let overdue = |job: &Job| {
            let reported = job.cancel_reported_at;
            reported.is_some_and(|at| now > at + self.cancel_time_limit)
        };
        let jobs = self.jobs.iter().filter(|(_, job)| overdue(job));
        let tasks = jobs.flat_map(|(id, _)| self.tasks_of(id));
        let still_running: Vec<TaskName> = tasks.map(|(task, _)| task.clone()).collect();
        for task in still_running {
            self.running.remove(&task);
            let what = format!(
                "{task}: still runs over {} s after its job was reported cancelled",
                self.cancel_time_limit / SECOND
            );
            self.report_violation(Rule::RanAfterCancellation, now, what);
        }
    }

    /// The largest jobs of each class whose first task did not start within
    /// [`MAX_FIRST_START_DELAY`] of their acceptance. Jobs of limited teams, with
    /// dependencies or with a request to cancel them are not considered.
    fn delayed_largest_jobs(&self, now: Micros) -> Vec<String> {
        let mut largest: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            let most = largest.entry(&job.spec.class).or_default();
            *most = job.spec.tasks.max(*most);
        }
        let considered = |job: &&Job| {
            job.spec.tasks == largest[&*job.spec.class]
                && !self.limits.contains_key(&job.spec.team)
                && job.spec.depends_on.is_empty()
                && !job.cancel_requested
        };
        let delayed = |job: &&Job| {
            let waited = |at| job.first_start.unwrap_or(now).saturating_sub(at);
            job.accepted
                .is_some_and(|at| waited(at) > MAX_FIRST_START_DELAY)
        };
        let delayed = self.jobs.values().filter(considered).filter(delayed);
        delayed.map(|job| job.spec.id.clone()).collect()
    }

    /// Checks the rules about the whole run, at its end.
    pub fn finish(&mut self, now: Micros) {
        for id in self.delayed_largest_jobs(now) {
            let what = format!(
                "{id}: a largest job of its class did not start within {} s of its acceptance",
                MAX_FIRST_START_DELAY / SECOND
            );
            self.report_violation(Rule::LargestJobDelayed, now, what);
        }
        if self.task_starts == 0 {
            self.report_violation(
                Rule::NoTaskStarted,
                now,
                "no task started during the run".into(),
            );
        }
    }

    /// Launches and starts of tasks after the cancellation of their jobs was reported.
    pub fn late_launches(&self) -> LateLaunches {
        self.late_launches
    }

    pub fn task_starts(&self) -> u64 {
        self.task_starts
    }

    /// Numbers of running and of completed tasks of a job.
    pub fn task_counts(&self, id: &str) -> (u32, u32) {
        let running = self.running.keys().filter(|t| t.job == id).count();
        let completed = self.jobs.get(id).map_or(0, |j| j.completed.len());
        (running as u32, completed as u32)
    }

    /// The machine of each running task of a job.
    pub fn machines_of(&self, id: &str) -> impl Iterator<Item = String> {
        let running = self.running.iter().filter(move |(t, _)| t.job == id);
        running.map(|(_, place)| place.machine.clone())
    }

    /// Whether every task of a job has completed.
    pub fn is_complete(&self, id: &str) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|j| j.completed.len() as u32 == j.spec.tasks)
    }
}
