//! Checks the jobs that a submission depends on: each must have been accepted.
//!
//! That a job was accepted never stops being true, so what this node knows needs no read.
//! The records of the others are read side by side, each as by a poll: the open record
//! first, then the state record. Dependencies that are done already are dropped from the
//! stored job.

use super::{Admission, MAX_UNDER_WAY, STORE_UNREACHABLE, TOO_MANY_REQUESTS};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, Continuation, JobRecordKind, PendingRequest};
use crate::job_cache::KnownJob;
use crate::messages::{Answer, RequestId};
use crate::records::{self, JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::{RequestPriority, StoreCost};
use crate::time::Micros;
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::is_job_id;
use std::rc::Rc;

/// Characters of a dependency's name that an error shows.
const MAX_NAME_CHARS: usize = 64;

/// Why a job can never be waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum InvalidReason {
    #[error("which was never accepted")]
    NeverAccepted,
    #[error("a service, which is never done")]
    Service,
}

/// A dependency that makes a submission invalid. The text is sent to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("awaits {name}, {reason}")]
struct InvalidDependency {
    /// At most [`MAX_NAME_CHARS`] characters of it.
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
    request: RequestId,
    job: OpenJob,
    /// When the submission came in.
    received_at: Micros,
    /// Dependencies whose reads have no response yet.
    unread: usize,
    /// The latest invalid dependency that was found.
    invalid: Option<InvalidDependency>,
    /// Whether a dependency could not be read.
    inconclusive: bool,
    /// Dependencies that are done: they need not be waited for.
    done: Vec<String>,
}

impl DependencyCheck {
    fn new(request: RequestId, job: OpenJob, received_at: Micros) -> DependencyCheck {
        DependencyCheck {
            request,
            job,
            received_at,
            unread: 0,
            invalid: None,
            inconclusive: false,
            done: Vec::new(),
        }
    }

    fn reject(&mut self, name: &str, reason: InvalidReason) {
        self.invalid = Some(InvalidDependency::new(name, reason));
    }

    /// Records what is known of a dependency.
    fn record(&mut self, name: &str, known: KnownJob) {
        match known.record.state {
            RecordedState::Done => self.done.push(name.to_string()),
            RecordedState::Open if known.is_service => self.reject(name, InvalidReason::Service),
            RecordedState::Open | RecordedState::Cancelled => {}
        }
    }

    /// The job without the dependencies that are done.
    fn into_job(self) -> OpenJob {
        let DependencyCheck { mut job, done, .. } = self;
        job.spec.depends_on.retain(|name| !done.contains(name));
        job
    }
}

fn read_dependency(ctx: &mut Context, submission: u64, dependency: String, record: JobRecordKind) {
    let key = match record {
        JobRecordKind::State => records::job_key(&dependency),
        JobRecordKind::Open => records::open_key(&dependency),
    };
    let step = Step::ReadDependency {
        submission,
        dependency,
        record,
    };
    ctx.hedged_store_request(StoreRequest::Get { key }, Continuation::Admission(step));
}

/// What the response to a read of a dependency shows; None if nothing.
fn decode_reply(
    record: JobRecordKind,
    reply: &Result<StoreResponse, CallError>,
) -> Option<KnownJob> {
    let Ok(StoreResponse::Found(row)) = reply else {
        return None;
    };
    match record {
        JobRecordKind::State => row
            .decode_value::<JobStateRecord>()
            .map(|state| KnownJob::from_state_record(state, row.version)),
        JobRecordKind::Open => row
            .decode_value::<OpenJob>()
            .map(|job| KnownJob::from_open_row(&job, row)),
    }
}

impl Admission {
    /// Handles a valid submission that depends on other jobs.
    pub(super) fn check_dependencies(
        &mut self,
        ctx: &mut Context,
        request: RequestId,
        job: OpenJob,
    ) {
        let now = ctx.now.monotonic;
        let mut check = DependencyCheck::new(request, job, now);
        let unknown = self.record_known_dependencies(&mut check);
        if check.invalid.is_some() {
            return self.finish_dependency_check(ctx, check);
        }
        // The reads and the transaction that creates the job are paid for at once.
        let cost = StoreCost {
            calls: 1.0 + unknown.len() as f64,
            writes: 1.0,
        };
        if self.under_way + unknown.len() >= MAX_UNDER_WAY
            || !self.take_budget(cost, RequestPriority::Change, now)
        {
            return ctx.answer(request, Answer::retry_later(TOO_MANY_REQUESTS));
        }
        if unknown.is_empty() {
            return self.finish_dependency_check(ctx, check);
        }
        check.unread = unknown.len();
        self.under_way += unknown.len();
        self.last_dependency_check += 1;
        let submission = self.last_dependency_check;
        self.dependency_checks.insert(submission, check);
        for dependency in unknown {
            read_dependency(ctx, submission, dependency, JobRecordKind::Open);
        }
    }

    /// Records the dependencies that need no read; returns the others.
    fn record_known_dependencies(&self, check: &mut DependencyCheck) -> Vec<String> {
        let mut unknown = Vec::new();
        for name in check.job.spec.depends_on.clone() {
            match self.cache.get(&name) {
                Some(known) => check.record(&name, known),
                None if name == check.job.spec.id || !is_job_id(&name) => {
                    check.reject(&name, InvalidReason::NeverAccepted);
                }
                None => unknown.push(name),
            }
        }
        unknown
    }

    /// Handles the response to a read of a dependency.
    pub(super) fn handle_dependency_read(
        &mut self,
        ctx: &mut Context,
        submission: u64,
        dependency: String,
        record: JobRecordKind,
        reply: &Result<StoreResponse, CallError>,
    ) {
        let not_found = matches!(reply, Ok(StoreResponse::NotFound { .. }));
        if not_found && record == JobRecordKind::Open {
            // It has ended, or never existed.
            self.calls.charge(1.0, ctx.now.monotonic);
            return read_dependency(ctx, submission, dependency, JobRecordKind::State);
        }
        self.under_way -= 1;
        let Some(mut check) = self.dependency_checks.remove(&submission) else {
            return;
        };
        match decode_reply(record, reply) {
            Some(known) => {
                self.cache.insert(&dependency, known);
                check.record(&dependency, known);
            }
            None if not_found => check.reject(&dependency, InvalidReason::NeverAccepted),
            None => check.inconclusive = true,
        }
        check.unread -= 1;
        if check.unread > 0 {
            self.dependency_checks.insert(submission, check);
        } else {
            self.finish_dependency_check(ctx, check);
        }
    }

    /// Stores the job, or rejects it.
    fn finish_dependency_check(&mut self, ctx: &mut Context, check: DependencyCheck) {
        let (request, received_at) = (check.request, check.received_at);
        let answer = match &check.invalid {
            Some(invalid) => Answer::refusal(422, invalid.to_string()),
            None if check.inconclusive => Answer::retry_later(STORE_UNREACHABLE),
            None => {
                self.under_way += 1;
                return self.create(ctx, request, Rc::new(check.into_job()), received_at);
            }
        };
        // Whatever is wrong with its dependencies, a known job's state is the answer.
        let id = check.job.spec.id;
        self.resolve(ctx, id, PendingRequest::Reject { request, answer });
    }
}
