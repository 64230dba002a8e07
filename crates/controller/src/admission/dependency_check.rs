//! Checks the dependencies of a submission: each must be an accepted job other than a
//! service.
//!
//! An accepted job stays accepted, so a cached job needs no read. The records of the other
//! jobs are read concurrently, for each job the open record first and then, if there is
//! none, the state record. Dependencies that are already done are removed from the stored
//! job.

use super::{Admission, MAX_IN_FLIGHT, RetryReason};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{
    AdmissionStep as Step, Continuation, JobRecordKind, PendingRequest, UserRequest,
};
use crate::job_cache::CachedJobState;
use crate::messages::Answer;
use crate::records::{self, JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::{RequestPriority, StoreCost};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::is_job_id;
use std::rc::Rc;

/// The maximum length of a dependency's name in an error message.
const MAX_NAME_CHARS: usize = 64;

/// Why a job must not be a dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum InvalidReason {
    /// The job does not exist, is the submitted job itself, or its id is malformed.
    #[error("which was never accepted")]
    NeverAccepted,
    /// The job is a service.
    #[error("a service, which is never done")]
    Service,
}

/// A dependency that makes the submission invalid. The text is sent to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("awaits {name}, {reason}")]
struct InvalidDependency {
    /// The name, truncated to [`MAX_NAME_CHARS`] characters.
    name: String,
    reason: InvalidReason,
}

impl InvalidDependency {
    fn new(name: &str, reason: InvalidReason) -> InvalidDependency {
        InvalidDependency {
            name: name.chars().take(MAX_NAME_CHARS).collect(),
            reason,
        }
    }
}

/// A submission whose dependencies are being read.
#[derive(Debug)]
pub(super) struct DependencyCheck {
    request: UserRequest,
    job: OpenJob,
    /// The number of dependencies whose reads are in flight.
    pending_reads: usize,
    /// The invalid dependency that was found last.
    invalid: Option<InvalidDependency>,
    /// Whether the read of a dependency failed.
    read_failed: bool,
    /// The dependencies that are already done.
    done: Vec<String>,
}

impl DependencyCheck {
    fn new(request: UserRequest, job: OpenJob) -> DependencyCheck {
        DependencyCheck {
            request,
            job,
            pending_reads: 0,
            invalid: None,
            read_failed: false,
            done: Vec::new(),
        }
    }

    fn reject(&mut self, name: &str, reason: InvalidReason) {
        self.invalid = Some(InvalidDependency::new(name, reason));
    }

    /// Adds the state of a dependency.
    fn add_state(&mut self, name: &str, cached: CachedJobState) {
        match cached.record.state {
            RecordedState::Done => self.done.push(name.to_string()),
            RecordedState::Open if cached.is_service => self.reject(name, InvalidReason::Service),
            RecordedState::Open | RecordedState::Cancelled => {}
        }
    }

    /// The submitted job without the dependencies that are already done.
    fn into_job(self) -> OpenJob {
        let DependencyCheck { mut job, done, .. } = self;
        job.spec.depends_on.retain(|name| !done.contains(name));
        job
    }
}

fn read_dependency(ctx: &mut Context, check_id: u64, dependency: String, kind: JobRecordKind) {
    let key = match kind {
        JobRecordKind::State => records::job_state_key(&dependency),
        JobRecordKind::Open => records::open_job_key(&dependency),
    };
    let step = Step::ReadDependency {
        check_id,
        dependency,
        kind,
    };
    ctx.hedged_store_request(StoreRequest::Get { key }, Continuation::Admission(step));
}

impl Admission {
    /// Handles a valid submission that depends on other jobs.
    pub(super) fn check_dependencies(
        &mut self,
        ctx: &mut Context,
        request: UserRequest,
        job: OpenJob,
    ) {
        let now = ctx.now.monotonic;
        let mut check = DependencyCheck::new(request, job);
        let uncached = self.add_cached_dependencies(&mut check);
        if check.invalid.is_some() {
            return self.finish_dependency_check(ctx, check);
        }
        // The cost includes the transaction that creates the job.
        let cost = StoreCost {
            calls: 1.0 + uncached.len() as f64,
            writes: 1.0,
        };
        if self.in_flight + uncached.len() >= MAX_IN_FLIGHT
            || !self.take_budget(cost, RequestPriority::Change, now)
        {
            let id = check.job.spec.id;
            return self.refuse_request(ctx, &id, request, RetryReason::TooManyRequests);
        }
        if uncached.is_empty() {
            return self.finish_dependency_check(ctx, check);
        }
        check.pending_reads = uncached.len();
        self.in_flight += uncached.len();
        self.last_check_id += 1;
        let check_id = self.last_check_id;
        self.dependency_checks.insert(check_id, check);
        for dependency in uncached {
            read_dependency(ctx, check_id, dependency, JobRecordKind::Open);
        }
    }

    /// Adds the dependencies that are cached or invalid. Returns those that must be read.
    fn add_cached_dependencies(&self, check: &mut DependencyCheck) -> Vec<String> {
        let mut uncached = Vec::new();
        for name in check.job.spec.depends_on.clone() {
            match self.cache.get(&name) {
                Some(cached) => check.add_state(&name, cached),
                None if name == check.job.spec.id || !is_job_id(&name) => {
                    check.reject(&name, InvalidReason::NeverAccepted);
                }
                None => uncached.push(name),
            }
        }
        uncached
    }

    /// Handles the response to a read of a dependency.
    pub(super) fn handle_dependency_read(
        &mut self,
        ctx: &mut Context,
        check_id: u64,
        dependency: String,
        kind: JobRecordKind,
        reply: &Result<StoreResponse, CallError>,
    ) {
        let not_found = matches!(reply, Ok(StoreResponse::NotFound { .. }));
        if not_found && kind == JobRecordKind::Open {
            // The dependency has ended, or it never existed.
            self.request_budget.charge(1.0, ctx.now.monotonic);
            return read_dependency(ctx, check_id, dependency, JobRecordKind::State);
        }
        self.in_flight -= 1;
        let Some(mut check) = self.dependency_checks.remove(&check_id) else {
            return;
        };
        match self.cache_dependency(&dependency, kind, reply) {
            Some(cached) => check.add_state(&dependency, cached),
            None if not_found => check.reject(&dependency, InvalidReason::NeverAccepted),
            None => check.read_failed = true,
        }
        check.pending_reads -= 1;
        if check.pending_reads > 0 {
            self.dependency_checks.insert(check_id, check);
        } else {
            self.finish_dependency_check(ctx, check);
        }
    }

    /// Caches the state of a dependency according to the response to a read. Returns None if
    /// the record was not found or the read failed.
    fn cache_dependency(
        &mut self,
        dependency: &str,
        kind: JobRecordKind,
        reply: &Result<StoreResponse, CallError>,
    ) -> Option<CachedJobState> {
        let Ok(StoreResponse::Found(row)) = reply else {
            return None;
        };
        match kind {
            JobRecordKind::State => {
                let record = row.decode_value::<JobStateRecord>()?;
                let state = CachedJobState::from_state_record(record, row.version);
                self.cache.insert(dependency, state);
                Some(state)
            }
            JobRecordKind::Open => {
                let job = row.decode_value::<OpenJob>()?;
                let version = job.state_version(row.version);
                Some(self.cache.insert_open(dependency, &job, version))
            }
        }
    }

    /// Stores the job or rejects the submission.
    fn finish_dependency_check(&mut self, ctx: &mut Context, check: DependencyCheck) {
        let request = check.request;
        let answer = match &check.invalid {
            Some(invalid) => Answer::refusal(422, invalid.to_string()),
            None if check.read_failed => RetryReason::StoreUnreachable.answer(),
            None => {
                self.in_flight += 1;
                return self.send_creation(ctx, request, Rc::new(check.into_job()));
            }
        };
        // If the job exists, this is a repeated submission and its state is the answer, even
        // if the dependencies are invalid.
        let id = check.job.spec.id;
        self.determine_state(
            ctx,
            id,
            PendingRequest::RejectUnlessExists { request, answer },
        );
    }
}
