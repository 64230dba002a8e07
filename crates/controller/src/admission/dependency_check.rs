//! Checks the dependencies of a submission: each must be an accepted job other than a
//! service.
//!
//! An accepted job stays accepted, so a cached job needs no call to the store. The other jobs
//! are looked up as if they were polled. Dependencies that are already done are removed from
//! the stored job.

use super::dispatch::WaitingUser;
use super::{Admission, RetryReason};
use crate::calls::Context;
use crate::continuations::{PendingRequest, UserRequest};
use crate::job_cache::CachedJobState;
use crate::messages::Answer;
use crate::records::{OpenJob, RecordedState};
use dillcleat_wire::user::is_job_id;
use std::collections::HashMap;
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
    /// The number of dependencies that are being looked up.
    pending_lookups: usize,
    /// The invalid dependency that was found last.
    invalid: Option<InvalidDependency>,
    /// Why a lookup failed.
    failure: Option<RetryReason>,
    /// The dependencies that are already done.
    done: Vec<String>,
}

impl DependencyCheck {
    fn new(request: UserRequest, job: OpenJob) -> DependencyCheck {
        DependencyCheck {
            request,
            job,
            pending_lookups: 0,
            invalid: None,
            failure: None,
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

/// The checks under way.
#[derive(Debug, Default)]
pub(super) struct DependencyChecks {
    checks: HashMap<u64, DependencyCheck>,
    last_id: u64,
}

impl DependencyChecks {
    /// The user who waits for this check.
    pub fn waiting_user(&self, check_id: u64) -> Option<WaitingUser<'_>> {
        let check = self.checks.get(&check_id)?;
        Some(WaitingUser::new(&check.job.spec.id, &check.request))
    }

    /// Adds a check and returns its id.
    fn insert(&mut self, check: DependencyCheck) -> u64 {
        self.last_id += 1;
        self.checks.insert(self.last_id, check);
        self.last_id
    }
}

impl Admission {
    /// Handles a valid submission that depends on other jobs.
    pub(super) fn check_dependencies(
        &mut self,
        ctx: &mut Context,
        request: UserRequest,
        job: OpenJob,
    ) {
        let mut check = DependencyCheck::new(request, job);
        let uncached = self.add_cached_dependencies(&mut check);
        if check.invalid.is_some() || uncached.is_empty() {
            return self.finish_dependency_check(ctx, check);
        }
        check.pending_lookups = uncached.len();
        let check_id = self.dependency_checks.insert(check);
        for dependency in uncached {
            self.queue_lookup(ctx, dependency, PendingRequest::Dependency { check_id });
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

    /// Handles the state of a dependency; None if it does not exist.
    pub(super) fn handle_dependency_state(
        &mut self,
        ctx: &mut Context,
        check_id: u64,
        dependency: &str,
        cached: Option<CachedJobState>,
    ) {
        self.advance_dependency_check(ctx, check_id, |check| match cached {
            Some(cached) => check.add_state(dependency, cached),
            None => check.reject(dependency, InvalidReason::NeverAccepted),
        });
    }

    /// Records that the state of a dependency could not be determined.
    pub(super) fn dependency_lookup_failed(
        &mut self,
        ctx: &mut Context,
        check_id: u64,
        reason: RetryReason,
    ) {
        self.advance_dependency_check(ctx, check_id, |check| check.failure = Some(reason));
    }

    /// Records the result of a lookup, and finishes the check after the last one.
    fn advance_dependency_check(
        &mut self,
        ctx: &mut Context,
        check_id: u64,
        record: impl FnOnce(&mut DependencyCheck),
    ) {
        let Some(check) = self.dependency_checks.checks.get_mut(&check_id) else {
            return;
        };
        record(check);
        check.pending_lookups -= 1;
        if check.pending_lookups == 0
            && let Some(check) = self.dependency_checks.checks.remove(&check_id)
        {
            self.finish_dependency_check(ctx, check);
        }
    }

    /// Stores the job or rejects the submission.
    fn finish_dependency_check(&mut self, ctx: &mut Context, check: DependencyCheck) {
        let request = check.request;
        let answer = match (&check.invalid, check.failure) {
            (Some(invalid), _) => Answer::refusal(422, invalid.to_string()),
            (None, Some(reason)) => reason.answer(),
            (None, None) => return self.queue_creation(ctx, request, Rc::new(check.into_job())),
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
