//! Handles users' submissions, polls and cancellations. Every node (a controller
//! process) does so without the leader.
//!
//! # Records
//!
//! A submitted job has an *open record* (`q/o/`) with its description, which exists until
//! the job's tasks are gone. The *state record* (`j/`) says that the job is done or
//! cancelled. It is written once, by compare-and-swap: a second writer fails and reads the
//! final state. (For jobs of earlier versions, see [`records`](crate::records).)
//!
//! # Requests
//!
//! Each request is idempotent. A client that received no answer can repeat it at any node.
//!
//! - **Submission.** One transaction creates the open record if neither record exists. If
//!   one exists, this is a repeated submission, and the answer is the job's current state.
//!   If the outcome of the transaction is unknown, the same transaction is sent again: it
//!   either commits or finds the record of the first one. An invalid or unschedulable
//!   submission is rejected only if the job does not exist, so that an accepted job is not
//!   rejected later, for example after a change of the machine types.
//! - **Poll.** See the next section.
//! - **Cancellation.** A transaction writes the state record and the cancellation record
//!   (`q/c/`) if the version of the state record is still the cached one. After a conflict,
//!   the state record is read: the job had already ended, or an earlier attempt at the
//!   cancellation was committed.
//!
//! # Consistency of answers
//!
//! The end of a job is final, so the state of an ended job is answered from the `JobCache`.
//! Any other cached state may be outdated: if another node has already confirmed a
//! cancellation to the user, this node must not answer that the job is open. Therefore:
//!
//! - For a job that is cached as open, a compare-only transaction that is sent after the
//!   request was received verifies that its state record is unchanged. One transaction
//!   covers many jobs (see `verification.rs`).
//! - A job that is not cached is read separately for each request. "No such job" is answered
//!   only if both records were read after the request was received, the open record first,
//!   since the state record is written before the open record is deleted.
//!
//! A job that needs a cancelled one, directly or through others, is to be cancelled too. Until
//! the leader has done that, the job's own records show it as open. A job is therefore reported
//! as open only on recent proof that none of its ancestors is cancelled (see `ancestors.rs`).
//!
//! The task counts in an answer come from the leader's broadcasts. They are for display and
//! may be outdated.
//!
//! # Limits
//!
//! Calls to the store are charged to a `RequestBudget`, and reads and submissions are sent only
//! while fewer than `MAX_IN_FLIGHT` are in flight. A request that exceeds a limit waits in a
//! queue (`request_queue.rs`). The job that has been without an answer longest comes first
//! (`dispatch.rs`), and lookups and verifications are sent in batches (`lookups.rs`,
//! `verification.rs`, `writes.rs`). A request is rejected with 503 and `Retry-After` when its
//! user no longer waits; its job then keeps its place for the next request about it.

mod ancestors;
mod dependency_check;
mod dispatch;
mod lookups;
mod replies;
mod request_queue;
mod schedulability;
mod submission;
mod verification;
mod writes;

pub use self::request_queue::QueuedRequest;
pub use self::schedulability::{Unschedulable, check_schedulable};

use self::ancestors::AncestorChecks;
use self::dependency_check::DependencyChecks;
use self::lookups::Lookups;
use self::request_queue::RefusedJobs;
use self::verification::Verifications;
use self::writes::Writes;
use crate::Config;
use crate::calls::Context;
use crate::continuations::{PendingRequest, UserRequest};
use crate::job_cache::{CachedJobState, JobCache};
use crate::messages::{Answer, RequestId};
use crate::progress::{ProgressTable, TaskCounts};
use crate::records::{JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::{RequestBudget, RequestPriority, StoreCost};
use crate::time::{MILLISECOND, Micros, SECOND, seconds};
use dillcleat_wire::user::{JobState, JobStatus, is_job_id};

/// How long a submission or cancellation may wait and is retried. This is shorter than the 5 s
/// after which clients stop waiting.
const RETRY_TIMEOUT: Micros = 4 * SECOND;
/// How long a poll may wait. This is shorter than the 2 s after which clients stop waiting.
const POLL_TIMEOUT: Micros = 1500 * MILLISECOND;
/// The maximum number of reads and submissions in flight, above which no new ones are sent.
const MAX_IN_FLIGHT: usize = 256;

/// Why a request cannot be answered now. The text is sent to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum RetryReason {
    /// A limit on requests is reached at this node.
    #[error("too many requests")]
    TooManyRequests,
    /// The store has not answered, or has refused.
    #[error("the state is out of reach")]
    StoreUnreachable,
    /// A record of the job is in a format that this version does not support.
    #[error("the job's record is unreadable")]
    UnreadableRecord,
}

impl RetryReason {
    fn answer(self) -> Answer {
        Answer::retry_later(&self.to_string())
    }
}

const NO_SUCH_JOB: &str = "no such job";

/// Handles users' requests; see the [module](self).
#[derive(Debug)]
pub struct Admission {
    request_budget: RequestBudget,
    write_budget: RequestBudget,
    cache: JobCache,
    verifications: Verifications,
    /// Requests about jobs that are not cached.
    lookups: Lookups,
    refused_jobs: RefusedJobs,
    /// The number of reads and submissions in flight, without verifications. The transaction of
    /// a cancellation does not count.
    in_flight: usize,
    /// Submissions whose dependencies are being looked up.
    dependency_checks: DependencyChecks,
    /// Checks of the ancestors of jobs that are to be reported as open.
    ancestor_checks: AncestorChecks,
    /// Submissions and cancellations whose transactions are to be sent.
    writes: Writes,
    request_rate: RequestRate,
    /// Jobs that were observed to be cancelled and not yet reported to the leader in this
    /// process.
    cancelled: Vec<String>,
    /// The progress of jobs as broadcast by the leader; for display.
    pub(crate) progress: ProgressTable,
}

/// The rate of users' requests at this node.
#[derive(Debug, Default)]
struct RequestRate {
    /// The number of requests since the last update.
    count: u32,
    /// The moving average of the rate.
    per_s: f64,
}

impl RequestRate {
    /// Updates and returns the rate. `interval` is the time since the last update.
    fn update(&mut self, interval: Micros) -> f64 {
        let count = f64::from(std::mem::take(&mut self.count));
        let latest_per_s = count / seconds(interval).max(0.1);
        self.per_s = (self.per_s + latest_per_s) / 2.0;
        self.per_s
    }
}

impl Admission {
    /// Creates the state of a node with an empty cache.
    pub fn new(config: &Config) -> Self {
        Admission {
            request_budget: RequestBudget::new(config.store_rps, config),
            write_budget: RequestBudget::new(config.store_write_rps, config),
            cache: JobCache::new(config),
            verifications: Verifications::default(),
            lookups: Lookups::default(),
            refused_jobs: RefusedJobs::default(),
            in_flight: 0,
            dependency_checks: DependencyChecks::default(),
            ancestor_checks: AncestorChecks::default(),
            writes: Writes::default(),
            request_rate: RequestRate::default(),
            cancelled: Vec::new(),
            progress: ProgressTable::default(),
        }
    }

    /// Updates and returns the rate of users' requests at this node, per second. Must be
    /// called at the fixed interval `interval`.
    pub fn update_request_rate(&mut self, interval: Micros) -> f64 {
        self.request_rate.update(interval)
    }

    /// Sets this node's share, from 0 to 1, of the store's request budget for users.
    pub fn set_budget_share(&mut self, share: f64, now: Micros) {
        self.request_budget.set_share(share, now);
        self.write_budget.set_share(share, now);
    }

    /// Counts a user's request, for the rate of requests.
    pub fn count_request(&mut self) {
        self.request_rate.count += 1;
    }

    /// Whether [`take_budget`](Self::take_budget) would succeed.
    pub fn has_budget(&mut self, cost: StoreCost, priority: RequestPriority, now: Micros) -> bool {
        self.request_budget.is_available(cost.calls, priority, now)
            && (cost.writes == 0.0 || self.write_budget.is_available(cost.writes, priority, now))
    }

    /// Takes a request's cost from the budget: either all of it or nothing. Returns whether
    /// it was available.
    pub fn take_budget(&mut self, cost: StoreCost, priority: RequestPriority, now: Micros) -> bool {
        let available = self.has_budget(cost, priority, now);
        if available {
            self.request_budget.charge(cost.calls, now);
            self.write_budget.charge(cost.writes, now);
        }
        available
    }

    /// Returns the cost of a call that was not sent.
    fn return_budget(&mut self, cost: StoreCost, now: Micros) {
        self.request_budget.put_back(cost.calls, now);
        self.write_budget.put_back(cost.writes, now);
    }

    /// Records that an open job was stored, by a request sent at `sent_at`.
    pub fn record_admission(&mut self, job: &OpenJob, sent_at: Micros) {
        let id = &job.spec.id;
        self.cache.insert_open(id, job, 0);
        // The job itself did not exist before. An ancestor that was cancelled earlier counts
        // from the acceptance of this job.
        self.cache.record_open(id, sent_at);
        self.cache.record_ancestors_open(id, sent_at);
    }

    /// Records that the leader in this process has stored a job's end.
    pub fn record_end(&mut self, id: &str, record: JobStateRecord) {
        self.cache.insert(id, CachedJobState::ended(record));
        self.progress.job_ended(id);
    }

    /// Records the state of a job as shown by its state record.
    fn record_state(&mut self, id: &str, cached: CachedJobState) {
        if cached.record.state == RecordedState::Cancelled {
            self.cancelled.push(id.to_string());
        }
        self.cache.insert(id, cached);
    }

    /// The jobs that were observed to be cancelled since the last call.
    pub fn take_cancelled(&mut self) -> Vec<String> {
        std::mem::take(&mut self.cancelled)
    }

    /// Handles a poll.
    pub fn poll(&mut self, ctx: &mut Context, request: RequestId, id: String) {
        let request = UserRequest::received(request, ctx.now.monotonic, POLL_TIMEOUT);
        self.determine_state_by_id(ctx, id, PendingRequest::Status(request));
    }

    /// Handles a cancellation.
    pub fn cancel(&mut self, ctx: &mut Context, request: RequestId, id: String) {
        let request = UserRequest::received(request, ctx.now.monotonic, RETRY_TIMEOUT);
        self.determine_state_by_id(ctx, id, PendingRequest::Cancel(request));
    }

    fn determine_state_by_id(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        self.count_request();
        if !is_job_id(&id) {
            return self.answer_with_state(ctx, &id, None, pending);
        }
        self.determine_state(ctx, id, pending);
        self.send_waiting(ctx);
    }

    /// Determines the state of a request's job and answers the request, by the cheapest
    /// sufficient means: the cache, a verification of the cached state, or a lookup. The caller
    /// calls [`send_waiting`](Self::send_waiting) afterwards.
    fn determine_state(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        match self.cache.get(&id) {
            Some(cached) if !cached.is_open() => {
                self.answer_with_state(ctx, &id, Some(cached), pending)
            }
            // The transaction of the cancellation verifies the cached state itself, and an
            // accepted job stays accepted.
            Some(cached)
                if matches!(
                    pending,
                    PendingRequest::Cancel(_) | PendingRequest::Dependency { .. }
                ) =>
            {
                self.answer_with_state(ctx, &id, Some(cached), pending);
            }
            Some(_) => self.queue_verification(ctx, id, pending),
            None => self.queue_lookup(ctx, id, pending),
        }
    }

    /// Answers a request about a job with a refusal after which it may be repeated.
    fn refuse(
        &mut self,
        ctx: &mut Context,
        id: &str,
        pending: PendingRequest,
        reason: RetryReason,
    ) {
        match pending {
            PendingRequest::Status(request)
            | PendingRequest::RejectUnlessExists { request, .. }
            | PendingRequest::Cancel(request) => self.refuse_request(ctx, id, request, reason),
            PendingRequest::Ancestor { descendant } => {
                self.ancestor_checks.lookup_failed(&descendant, reason);
            }
            PendingRequest::Dependency { check_id } => {
                self.dependency_lookup_failed(ctx, check_id, reason);
            }
        }
    }

    /// As [`refuse`](Self::refuse), for a user's request.
    fn refuse_request(
        &mut self,
        ctx: &mut Context,
        id: &str,
        request: UserRequest,
        reason: RetryReason,
    ) {
        let now = ctx.now.monotonic;
        let waited_us = now - request.received_at;
        log::debug!("request refused job={id} reason={reason:?} waited_us={waited_us}");
        self.refused_jobs
            .record_refusal(id, request.received_at, now);
        ctx.answer(request.id, reason.answer());
    }

    /// Answers a user's request about a job, other than by a refusal.
    fn answer_request(
        &mut self,
        ctx: &mut Context,
        id: &str,
        request: UserRequest,
        answer: Answer,
    ) {
        self.refused_jobs.record_answer(id);
        ctx.answer(request.id, answer);
    }

    /// Answers a request from the state of its job; `cached` is None if the job does not exist.
    /// For the cancellation of an open job, sends the transaction instead. An open job is
    /// reported only on proof that its ancestors are not cancelled.
    fn answer_with_state(
        &mut self,
        ctx: &mut Context,
        id: &str,
        cached: Option<CachedJobState>,
        pending: PendingRequest,
    ) {
        match (cached, pending) {
            (cached, PendingRequest::Ancestor { descendant }) => {
                self.handle_ancestor_state(&descendant, id, cached);
            }
            (cached, PendingRequest::Dependency { check_id }) => {
                self.handle_dependency_state(ctx, check_id, id, cached);
            }
            (None, PendingRequest::RejectUnlessExists { request, answer }) => {
                if answer.status != 503 {
                    log::info!("job rejected job={id} status={}", answer.status);
                }
                self.answer_request(ctx, id, request, answer);
            }
            (None, PendingRequest::Status(request) | PendingRequest::Cancel(request)) => {
                self.answer_request(ctx, id, request, Answer::refusal(404, NO_SUCH_JOB));
            }
            (Some(cached), PendingRequest::Cancel(request)) if cached.is_open() => {
                self.queue_cancellation(ctx, id, request);
            }
            (
                Some(cached),
                PendingRequest::Status(request)
                | PendingRequest::RejectUnlessExists { request, .. }
                | PendingRequest::Cancel(request),
            ) => {
                if cached.is_open() {
                    self.report_open(ctx, id, cached, request);
                } else {
                    self.report(ctx, id, cached.record, request);
                }
            }
        }
    }

    /// Reports a state to a user.
    fn report(
        &mut self,
        ctx: &mut Context,
        id: &str,
        record: JobStateRecord,
        request: UserRequest,
    ) {
        let answer = Answer::body(200, &self.status(id, record));
        self.answer_request(ctx, id, request, answer);
    }

    fn status(&self, id: &str, record: JobStateRecord) -> JobStatus {
        let counts = self.progress.get(id).unwrap_or(TaskCounts::NONE);
        let TaskCounts { done, running } = counts;
        let (state, done, running) = match record.state {
            RecordedState::Done => (JobState::Done, record.task_count, 0),
            RecordedState::Cancelled => (JobState::Cancelled, done, 0),
            RecordedState::Open if running > 0 => (JobState::Running, done, running),
            RecordedState::Open => (JobState::Queued, done, 0),
        };
        JobStatus {
            id: id.to_string(),
            state,
            done: Some(done),
            running: Some(running),
        }
    }

    /// Repeats delayed cancellations, continues checks of ancestors, and sends calls for waiting
    /// requests, if the limits allow it. Called at every tick.
    pub fn tick(&mut self, ctx: &mut Context) {
        self.refuse_expired(ctx);
        self.queue_due_cancellations(ctx);
        self.advance_ancestor_checks(ctx);
        self.send_waiting(ctx);
    }
}
