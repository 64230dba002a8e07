//! Dependencies between jobs: when jobs become ready, and the cancellation of jobs whose
//! dependencies are cancelled.

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

/// The maximum number of concurrent reads of dependencies' state records.
const MAX_CONCURRENT_STATE_READS: usize = 8;
/// The share of the store's request rate for reads of state records, so that a new leader
/// with many blocked jobs can do its other work.
const STATE_READ_SHARE: f64 = 0.15;
/// The minimum burst of reads.
const MIN_STATE_READ_BURST: f64 = 2.0;
/// Interval at which the state record of a dependency is read again if it was not found and
/// the job is not open. The job may be reported by a later event of the watch.
const DEPENDENCY_RECHECK_INTERVAL: Micros = SECOND;

/// Reads of the state records of jobs that are not open here, which show how they ended.
#[derive(Debug, Default)]
struct StateReads {
    /// The jobs whose state record has to be read, with the earliest time of the read.
    pending: BTreeMap<Rc<str>, Micros>,
    in_flight: usize,
    /// The rate limit of reads.
    budget: TokenBucket,
}

impl StateReads {
    /// Takes the next job whose state record may be read now, and counts the read as in
    /// flight.
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

/// The dependencies of open jobs, and reads of the state records of dependencies that are
/// not open.
///
/// For each job that others depend on, one of these holds: the job is open, a read of its
/// state record is pending or in flight, or its dependents are being cancelled.
#[derive(Debug, Default)]
pub(super) struct DependencyTracker {
    graph: DependencyGraph,
    state_reads: StateReads,
}

impl DependencyTracker {
    /// Whether the job depends on a job that is not known to be done.
    pub fn is_blocked(&self, job: &str) -> bool {
        self.graph.is_blocked(job)
    }

    /// The number of blocked jobs.
    pub fn blocked_jobs(&self) -> usize {
        self.graph.blocked_count()
    }

    /// Whether any job depends on this one.
    pub fn has_dependents(&self, job: &str) -> bool {
        self.graph.has_dependents(job)
    }

    /// Requests a read of a job's state record.
    pub fn request_state_read(&mut self, job: Rc<str>) {
        self.state_reads.pending.insert(job, 0);
    }

    /// Requests a read of a job's state record at `at` or later.
    fn request_state_read_at(&mut self, job: Rc<str>, at: Micros) {
        self.state_reads.pending.insert(job, at);
    }

    /// Drops the pending read for a job that is known to be open.
    fn drop_state_read(&mut self, job: &str) {
        self.state_reads.pending.remove(job);
    }

    /// Records that a read has ended or was not needed.
    fn state_read_finished(&mut self) {
        self.state_reads.in_flight -= 1;
    }

    pub fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// The jobs that this job depends on.
    pub fn dependencies(&self, job: &str) -> Vec<Rc<str>> {
        self.graph.dependencies(job).cloned().collect()
    }
}

/// Updates of the dependencies when jobs are added and end.
impl Leader {
    /// Tracks the dependencies of a job that was added.
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
        // During recovery the urgencies of all jobs are computed once at the end. Updating
        // them for each job would take quadratic time for jobs with many dependents.
        if self.recovery.is_ready() {
            self.update_urgency(ctx, id);
            self.propagate_urgency(ctx, id);
        }
    }

    /// Adds a dependency of a job. Returns whether the dependency is known to be cancelled.
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
            // A job that is not known to be open has not necessarily ended. During recovery,
            // pages are read at different revisions, and a watch may report a job after its
            // dependents.
            None => {
                let dependency: Rc<str> = Rc::from(dependency);
                self.dependencies.request_state_read(dependency.clone());
                dependency
            }
        };
        self.dependencies.graph.add(id, dependency);
        cancelled
    }

    /// Removes the dependencies of a job that has ended.
    pub(super) fn untrack_dependencies(&mut self, ctx: &Context, id: &Rc<str>) {
        let dependencies = self.dependencies.dependencies(id);
        self.dependencies.graph.remove_dependent(id);
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

    /// Handles the completion of a dependency: jobs without any other dependency become
    /// ready.
    pub(super) fn dependency_done(&mut self, ctx: &Context, id: &Rc<str>) {
        for ready in self.dependencies.graph.remove_dependency(id) {
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

    /// Cancels all jobs that depend on a cancelled job. None of them has started.
    pub(super) fn cancel_dependents(&mut self, id: &Rc<str>) {
        for dependent in self.dependencies.graph.transitive_dependents(id) {
            log::info!("job cancelled with its dependency job={dependent} dependency={id}");
            self.writer.enqueue(PendingWrite::JobCancelled(dependent));
        }
    }

    /// Handles the stored cancellation of a job that was cancelled with its dependency.
    pub(super) fn dependent_cancelled(&mut self, ctx: &Context, id: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled_at.get_or_insert(ctx.now.monotonic);
        job.cancellation_confirmed = true;
        let record = job.state_record(RecordedState::Cancelled);
        let placed = job.tasks.placed_count();
        self.events
            .push(LeaderEvent::JobEnded(id.to_string(), record));
        if placed > 0 {
            // Tasks of a blocked job were started by an older version that does not support
            // dependencies.
            return self.apply_cancellation(ctx, id);
        }
        // New dependents of this job may have been added while its state record was written.
        self.cancel_dependents(id);
        self.remove_ended_job(ctx, id);
        self.writer
            .enqueue(PendingWrite::DeleteKey(records::open_job_key(id)));
    }
}

/// Reads of state records.
impl Leader {
    /// Sends the pending reads of state records that the limits allow.
    pub(super) fn request_dependency_states(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let per_s = ctx.config.store_rps * STATE_READ_SHARE;
        while let Some(id) = self.dependencies.state_reads.next(now, per_s) {
            if self.dependencies.has_dependents(&id) || self.unknown_job_may_have_ended(&id) {
                let key = records::job_state_key(&id);
                let continuation = self.continuation(LeaderStep::ReadDependency { id });
                ctx.store_request(StoreRequest::Get { key }, continuation);
            } else {
                self.dependencies.state_read_finished();
            }
        }
    }

    /// Handles the reply to a read of a dependency's state record.
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

    /// Schedules another read of a job's state record, if it is still needed.
    fn recheck_dependency(&mut self, ctx: &Context, id: Rc<str>, answered: bool) {
        let pause = if answered {
            DEPENDENCY_RECHECK_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        let now = ctx.now.monotonic;
        if self.unknown_job_may_have_ended(&id) {
            let pause = pause.max(unknown_jobs::UNKNOWN_JOB_RECHECK_INTERVAL);
            self.dependencies.request_state_read_at(id, now + pause);
        } else if self.dependencies.has_dependents(&id) && !self.jobs.contains_key(&id) {
            self.dependencies.request_state_read_at(id, now + pause);
        }
    }
}

/// Consistency checks for simulations.
impl Leader {
    /// Whether the dependency state agrees with the jobs.
    pub(super) fn dependencies_are_consistent(&self) -> bool {
        let is_recovering = !self.recovery.is_ready();
        self.edges_match_jobs()
            && self.every_dependency_end_is_awaited()
            && (is_recovering || self.priorities_are_inherited())
            && self.dependencies.graph.is_consistent()
    }

    /// Whether every edge is in the description of its job, and exactly the jobs with edges
    /// are blocked.
    fn edges_match_jobs(&self) -> bool {
        self.jobs.iter().all(|(id, job)| {
            let is_blocked = self.dependencies.is_blocked(id);
            let is_named = |d: &Rc<str>| job.spec.depends_on.iter().any(|name| **name == **d);
            (job.cancellation_confirmed || job.blocked_on_dependencies == is_blocked)
                && self.dependencies.graph.dependencies(id).all(is_named)
        })
    }

    /// Whether the leader will learn of the end of every dependency, or its dependents are
    /// being cancelled. This is checked loosely: any read in flight is accepted.
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

    /// Whether a job's cancellation is queued or known.
    fn has_pending_cancellation(&self, id: &Rc<str>) -> bool {
        self.writer.has_cancellation(id)
            || self
                .jobs
                .get(id)
                .is_some_and(|job| job.cancelled_at.is_some())
    }

    /// Whether every job has the maximum of its own priority and those of its dependents.
    fn priorities_are_inherited(&self) -> bool {
        self.jobs.iter().all(|(id, job)| {
            let dependents = || {
                let ids = self.dependencies.graph.dependents(id);
                ids.filter_map(|dependent| self.jobs.get(dependent))
            };
            // A cancelled dependent may still contribute to the priority until the next
            // update.
            let open = dependents().filter(|dependent| dependent.cancelled_at.is_none());
            let highest = open.map(|dependent| dependent.priority).max();
            let inherited = dependents().any(|dependent| dependent.priority == job.priority);
            let has_source = job.priority == job.spec.priority || inherited;
            let is_high_enough = highest.is_none_or(|highest| job.priority >= highest);
            job.cancellation_confirmed || (has_source && is_high_enough)
        })
    }
}
