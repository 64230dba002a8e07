//! Dependencies of jobs on other jobs: which are ready, which are cancelled with one that
//! they depend on, and what urgency a job inherits from its dependents.

use super::{Leader, LeaderEvent, RETRY_INTERVAL, unknown_jobs};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::dependency_graph::DependencyGraph;
use crate::records::{self, JobStateRecord, RecordedState};
use crate::token_bucket::TokenBucket;
use crate::write_queue::PendingWrite;
use crate::{Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::JobKind;
use std::collections::BTreeMap;
use std::rc::Rc;

/// State records of dependencies that may be read at once, and the share of the store's
/// requests that this may take: a new leader with many blocked jobs reads them beside its
/// other work.
const MAX_CONCURRENT_STATE_READS: usize = 8;
const STATE_READ_SHARE: f64 = 0.15;
/// The least number of reads that can be saved up.
const MIN_STATE_READ_BURST: f64 = 2.0;
/// After how long the state record of a dependency is read again that is neither open here
/// nor has one. It is about to be seen open, or its team has gone from the settings.
const STATE_RECHECK_INTERVAL: Micros = SECOND;

/// Reads of the state records of jobs that are not open here, which prove how they ended.
#[derive(Debug, Default)]
struct StateReads {
    /// The jobs to be read, each not before some time.
    pending: BTreeMap<Rc<str>, Micros>,
    in_flight: usize,
    /// Reads that may be made now.
    budget: TokenBucket,
}

impl StateReads {
    /// The next job to be read, which counts as in flight from now on.
    fn next(&mut self, now: Micros, per_s: f64) -> Option<Rc<str>> {
        if self.pending.is_empty() || self.in_flight >= MAX_CONCURRENT_STATE_READS {
            return None;
        }
        let capacity = per_s.max(MIN_STATE_READ_BURST);
        if self.budget.refill(now, per_s, capacity) < 1.0 {
            return None;
        }
        let due = self.pending.iter().find(|(_, at)| now >= **at);
        let id = due.map(|(id, _)| id.clone())?;
        self.pending.remove(&id);
        self.budget.take(1.0);
        self.in_flight += 1;
        Some(id)
    }
}

/// The dependencies of open jobs, and how the ends of jobs that are not open are proved.
///
/// Each job that others depend on is open, or its state record is wanted or being read, or
/// its dependents are being cancelled.
#[derive(Debug, Default)]
pub(super) struct DependencyTracker {
    graph: DependencyGraph,
    state_reads: StateReads,
}

impl DependencyTracker {
    /// Whether the job depends on any job that is not known to be done.
    pub fn is_blocked(&self, job: &str) -> bool {
        self.graph.is_blocked(job)
    }

    /// How many jobs are blocked.
    pub fn blocked_jobs(&self) -> usize {
        self.graph.blocked_count()
    }

    /// Whether any job depends on this one.
    pub fn has_dependents(&self, job: &str) -> bool {
        self.graph.has_dependents(job)
    }

    /// The state record of a job is to be read.
    pub fn request_state_read(&mut self, job: Rc<str>) {
        self.state_reads.pending.insert(job, 0);
    }

    /// The same, from some time on.
    fn request_state_read_at(&mut self, job: Rc<str>, at: Micros) {
        self.state_reads.pending.insert(job, at);
    }

    /// That a job is open was seen: its state record need not be read.
    fn drop_state_read(&mut self, job: &str) {
        self.state_reads.pending.remove(job);
    }

    /// A read of a state record has ended, or was not needed.
    fn state_read_finished(&mut self) {
        self.state_reads.in_flight -= 1;
    }

    /// The graph of the dependencies.
    pub fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// What the job depends on.
    pub fn dependencies(&self, job: &str) -> Vec<Rc<str>> {
        self.graph.dependencies(job).cloned().collect()
    }
}

/// Dependencies as jobs come and go.
impl Leader {
    /// A job was added: it may depend on others, and others on it.
    pub(super) fn track_dependencies(&mut self, ctx: &Context, id: &Rc<str>) {
        self.dependencies.drop_state_read(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let mut cancelled = false;
        for name in job.spec.depends_on.clone() {
            cancelled |= self.add_dependency(id, name);
        }
        if self.dependencies.is_blocked(id)
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.blocked_on_dependencies = true;
        }
        if cancelled {
            self.writer.enqueue(PendingWrite::JobCancelled(id.clone()));
        }
        // For all jobs at once when all are read: one by one, each of a thousand that
        // depend on one job goes over the others again.
        if self.recovery.is_ready() {
            self.update_urgency(ctx, id);
            self.propagate_urgency(ctx, id);
        }
    }

    /// Adds a dependency of a job. Returns whether it is known to be cancelled, in
    /// whichever order the cancellation and the dependent came.
    fn add_dependency(&mut self, id: &Rc<str>, dependency: String) -> bool {
        let open = self.jobs.name(&dependency).cloned();
        let mut cancelled = false;
        let dependency = match open {
            Some(open) => {
                cancelled = self
                    .jobs
                    .get(&open)
                    .is_some_and(|job| job.cancellation_confirmed);
                open
            }
            // Not being open proves nothing: the pages that a new leader reads are of
            // different revisions, and a watch reports a job after one that names it.
            None => {
                let dependency: Rc<str> = Rc::from(dependency);
                self.dependencies.request_state_read(dependency.clone());
                dependency
            }
        };
        self.dependencies.graph.add(id, dependency);
        cancelled
    }

    /// A job has ended, and depends on nothing any more.
    pub(super) fn untrack_dependencies(&mut self, ctx: &Context, id: &Rc<str>) {
        let dependencies = self.dependencies.dependencies(id);
        self.dependencies.graph.remove_dependencies(id);
        for dependency in dependencies {
            let open = self
                .jobs
                .get(&dependency)
                .is_some_and(|job| !job.cancellation_confirmed);
            if open && self.update_urgency(ctx, &dependency) {
                self.propagate_urgency(ctx, &dependency);
            }
        }
    }

    /// A job's end is proved: the jobs that depended on nothing else become ready.
    pub(super) fn dependency_done(&mut self, ctx: &Context, id: &Rc<str>) {
        for ready in self.dependencies.graph.job_done(id) {
            let Some(job) = self.jobs.get_mut(&ready) else {
                continue;
            };
            log::info!("job ready, all its dependencies are done job={ready}");
            job.blocked_on_dependencies = false;
            job.ready_at = ctx.now.wall.max(job.submitted_at);
            let is_service = job.spec.kind == JobKind::Service;
            self.scheduling
                .record_ready_job(is_service, ctx.now.monotonic);
        }
    }

    /// A job is cancelled, and with it all that depend on it. None of them has started.
    pub(super) fn cancel_dependents(&mut self, id: &Rc<str>) {
        for dependent in self.dependencies.graph.transitive_dependents(id) {
            log::info!("job cancelled with its dependency job={dependent} dependency={id}");
            self.writer.enqueue(PendingWrite::JobCancelled(dependent));
        }
    }

    /// The cancellation of a job that was blocked is in the store.
    pub(super) fn dependent_cancelled(&mut self, ctx: &Context, id: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled_at.get_or_insert(ctx.now.monotonic);
        job.cancellation_confirmed = true;
        let record = job.state_record(RecordedState::Cancelled);
        let placed = job.placed_count();
        self.events
            .push(LeaderEvent::JobEnded(id.to_string(), record));
        if placed > 0 {
            // It is blocked, and yet some of its tasks were started: by a version that
            // has no dependencies.
            return self.cancel_job(ctx, id);
        }
        // Jobs that depend on this one may have come while its state record was written
        // (seed 282 of the days of pipelines).
        self.cancel_dependents(id);
        self.forget_job(ctx, id);
        self.writer
            .enqueue(PendingWrite::DeleteKey(records::open_key(id)));
    }
}

/// Reads of state records.
impl Leader {
    /// Reads state records of dependencies that are not open here.
    pub(super) fn request_dependency_states(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let per_s = ctx.config.state_rps * STATE_READ_SHARE;
        while let Some(id) = self.dependencies.state_reads.next(now, per_s) {
            if self.dependencies.has_dependents(&id) || self.is_unknown_job(&id) {
                let key = records::job_key(&id);
                let continuation = self.continuation(LeaderStep::Dependency { id });
                ctx.store_request(StoreRequest::Get { key }, continuation);
            } else {
                self.dependencies.state_read_finished();
            }
        }
    }

    /// Handles the state record of a dependency, or that it has none.
    pub(super) fn dependency_state_reply(
        &mut self,
        ctx: &Context,
        id: Rc<str>,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.dependencies.state_read_finished();
        let state = match &reply {
            Ok(StoreResponse::Found(row)) => row
                .decode_value::<JobStateRecord>()
                .map(|record| record.state),
            _ => None,
        };
        match state {
            Some(RecordedState::Done) => {
                self.unknown_job_ended(&id);
                self.dependency_done(ctx, &id);
            }
            Some(RecordedState::Cancelled) => {
                self.unknown_job_ended(&id);
                self.cancel_dependents(&id);
            }
            Some(RecordedState::Open) | None => {
                let answered = matches!(
                    reply,
                    Ok(StoreResponse::NotFound { .. } | StoreResponse::Found(_))
                );
                self.recheck_dependency(ctx, id, answered);
            }
        }
    }

    /// A job is not known to have ended: its state record is read again later, if it is
    /// still needed.
    fn recheck_dependency(&mut self, ctx: &Context, id: Rc<str>, answered: bool) {
        let pause = if answered {
            STATE_RECHECK_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        let now = ctx.now.monotonic;
        if self.is_unknown_job(&id) {
            let pause = pause.max(unknown_jobs::STATE_RECHECK_INTERVAL);
            self.dependencies.request_state_read_at(id, now + pause);
        } else if self.dependencies.has_dependents(&id) && !self.jobs.contains_key(&id) {
            self.dependencies.request_state_read_at(id, now + pause);
        }
    }
}

/// Checks for simulations.
impl Leader {
    /// Whether the dependencies are as they would be if they were derived from the jobs
    /// alone.
    pub(super) fn dependencies_are_consistent(&self) -> bool {
        let is_recovering = !self.recovery.is_ready();
        self.edges_match_jobs()
            && self.every_dependency_end_is_awaited()
            && (is_recovering || self.priorities_are_inherited())
            && self.dependencies.graph.is_consistent()
    }

    /// Whether every edge is one that its job names, and just the jobs with edges are
    /// blocked.
    fn edges_match_jobs(&self) -> bool {
        self.jobs.iter().all(|(id, job)| {
            let is_blocked = self.dependencies.is_blocked(id);
            let is_named = |d: &Rc<str>| job.spec.depends_on.iter().any(|name| **name == **d);
            (job.cancellation_confirmed || job.blocked_on_dependencies == is_blocked)
                && self.dependencies.graph.dependencies(id).all(is_named)
        })
    }

    /// Whether the end of every dependency will be seen, or its dependents are being
    /// cancelled.
    fn every_dependency_end_is_awaited(&self) -> bool {
        let DependencyTracker { graph, state_reads } = &self.dependencies;
        graph.jobs_with_dependents().all(|id| {
            self.jobs.contains_key(id)
                || state_reads.pending.contains_key(id)
                || state_reads.in_flight > 0
                || graph
                    .dependents(id)
                    .all(|d| self.has_pending_cancellation(d))
        })
    }

    /// Whether a job's cancellation is to be written, or its state record to be read.
    fn has_pending_cancellation(&self, id: &Rc<str>) -> bool {
        self.writer.has_cancellation(id)
            || self
                .jobs
                .get(id)
                .is_some_and(|job| job.cancelled_at.is_some())
    }

    /// Whether every job has the highest priority of its own and of its dependents.
    fn priorities_are_inherited(&self) -> bool {
        self.jobs.iter().all(|(id, job)| {
            let dependents = || {
                let ids = self.dependencies.graph.dependents(id);
                ids.filter_map(|dependent| self.jobs.get(dependent))
            };
            // That one is cancelled may be seen before it is worked out anew.
            let open = dependents().filter(|dependent| dependent.cancelled_at.is_none());
            let highest = open.map(|dependent| dependent.priority).max();
            let inherited = dependents().any(|dependent| dependent.priority == job.priority);
            let has_source = job.priority == job.spec.priority || inherited;
            let is_high_enough = highest.is_none_or(|highest| job.priority >= highest);
            job.cancellation_confirmed || (has_source && is_high_enough)
        })
    }
}
