//! Decides which of the waiting requests the next call to the store is for.
//!
//! Calls are sent while the budget and the limits of calls in flight allow it. The job that
//! has been without an answer for the longest time comes first, whatever its request needs.

use super::ancestors::AncestorChecks;
use super::dependency_check::DependencyChecks;
use super::request_queue::{QueuePosition, QueuedRequest, RequestQueue};
use super::writes::WRITE_COST;
use super::{Admission, RetryReason};
use crate::calls::Context;
use crate::continuations::{JobRecordKind, PendingRequest, UserRequest};
use crate::request_budget::{RequestPriority, StoreCost};
use crate::time::{MILLISECOND, Micros};

/// How long a poll leaves the part of the budget that is reserved for other requests to them.
/// Without an end, a flood of other requests would keep every poll waiting.
const MAX_RESERVE_WAIT: Micros = 500 * MILLISECOND;

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Batch {
    /// One job of which nothing is known.
    Lookup,
    /// Many jobs of which nothing is known.
    ExistenceCheck,
    /// One job with a record of this kind.
    RecordRead(JobRecordKind),
    /// Many jobs with a record of this kind.
    Listing(JobRecordKind),
    /// Jobs that are cached as open.
    Verification,
    /// A submission or a cancellation.
    Write,
}

impl Batch {
    fn cost(self) -> StoreCost {
        match self {
            Batch::Write => WRITE_COST,
            _ => StoreCost::READ,
        }
    }
}

/// What a call may be sent for now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    batch: Batch,
    /// The place of the first of its requests.
    unanswered_since: Micros,
}

impl Candidate {
    /// A call for the first requests of this queue; None if it is empty.
    pub fn new<T>(batch: Batch, queue: &RequestQueue<T>) -> Option<Candidate> {
        let unanswered_since = queue.first_unanswered_since()?;
        Some(Candidate {
            batch,
            unanswered_since,
        })
    }

    /// The priority of the call. A queue with a submission or a cancellation has one that has
    /// waited for long, by their head start.
    fn priority(&self, now: Micros) -> RequestPriority {
        match self.batch {
            // The read continues a request for which a call was already sent.
            Batch::RecordRead(_) | Batch::Listing(_) => RequestPriority::Change,
            _ if now >= self.unanswered_since + MAX_RESERVE_WAIT => RequestPriority::Change,
            _ => RequestPriority::Poll,
        }
    }
}

/// A user who waits for the result of a lookup. Times are on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingUser<'a> {
    /// The job that the user's request is about.
    pub job: &'a str,
    /// When the request was received.
    pub received_at: Micros,
    /// The time after which the user no longer waits.
    pub answer_by: Micros,
}

impl<'a> WaitingUser<'a> {
    /// The user who sent this request about this job.
    pub fn new(job: &'a str, request: &UserRequest) -> WaitingUser<'a> {
        WaitingUser {
            job,
            received_at: request.received_at,
            answer_by: request.answer_by,
        }
    }
}

/// The user who waits for the lookup of this job; None if nobody waits any more.
fn waiting_user<'a>(
    ancestors: &'a AncestorChecks,
    dependencies: &'a DependencyChecks,
    id: &'a str,
    pending: &PendingRequest,
) -> Option<WaitingUser<'a>> {
    match pending {
        PendingRequest::Ancestor { descendant } => ancestors.waiting_user(descendant),
        PendingRequest::Dependency { check_id } => dependencies.waiting_user(*check_id),
        PendingRequest::Status(request)
        | PendingRequest::RejectUnlessExists { request, .. }
        | PendingRequest::Cancel(request) => Some(WaitingUser::new(id, request)),
    }
}

impl Admission {
    /// Sends calls for the waiting requests as the limits allow it. Called after each input.
    pub(super) fn send_waiting(&mut self, ctx: &mut Context) {
        while let Some(batch) = self.take_budget_for_batch(ctx) {
            match batch {
                Batch::Lookup => self.send_lookup(ctx),
                Batch::ExistenceCheck => self.send_existence_check(ctx),
                Batch::RecordRead(kind) => self.send_record_read(ctx, kind),
                Batch::Listing(kind) => self.send_listing(ctx, kind),
                Batch::Verification => self.send_verification(ctx),
                Batch::Write => self.send_write(ctx),
            }
        }
    }

    /// The first batch for which the budget suffices. Charges the budget for its call.
    fn take_budget_for_batch(&mut self, ctx: &Context) -> Option<Batch> {
        let now = ctx.now.monotonic;
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|candidate| candidate.unanswered_since);
        let mut batches = candidates.into_iter();
        let affordable = |c: &Candidate| self.take_budget(c.batch.cost(), c.priority(now), now);
        batches.find(affordable).map(|candidate| candidate.batch)
    }

    fn candidates(&mut self, now: Micros) -> Vec<Candidate> {
        let (calls, in_flight) = (self.request_budget.available(now), self.in_flight);
        let record_read = |kind| self.lookups.next_record_read(kind, calls, in_flight);
        let candidates = [
            self.lookups.next_lookup(calls, in_flight),
            record_read(JobRecordKind::Open),
            record_read(JobRecordKind::State),
            self.verifications.next_verification(),
            self.writes.next_write(in_flight),
        ];
        candidates.into_iter().flatten().collect()
    }

    /// The place of a request in the queues.
    pub(super) fn queue_position(
        &mut self,
        ctx: &Context,
        id: &str,
        pending: &PendingRequest,
    ) -> QueuePosition {
        let user = waiting_user(&self.ancestor_checks, &self.dependency_checks, id, pending);
        let (job, received_at) = match user {
            Some(user) => (user.job, user.received_at),
            None => (id, ctx.now.monotonic),
        };
        self.refused_jobs
            .position(job, received_at, RequestPriority::from(pending))
    }

    /// Refuses the requests whose users no longer wait for an answer. Called at every tick.
    pub(super) fn refuse_expired(&mut self, ctx: &mut Context) {
        self.refuse_expired_writes(ctx);
        let now = ctx.now.monotonic;
        let (ancestors, dependencies) = (&self.ancestor_checks, &self.dependency_checks);
        let is_expired = |request: &QueuedRequest| {
            let user = waiting_user(ancestors, dependencies, &request.id, &request.pending);
            user.is_none_or(|user| now > user.answer_by)
        };
        let mut expired = self.verifications.queue().take_if(is_expired);
        for queue in self.lookups.queues() {
            expired.extend(queue.take_if(is_expired));
        }
        self.refuse_all(ctx, expired, RetryReason::TooManyRequests);
    }

    /// Refuses the request that a queue could not hold, if there is one.
    pub(super) fn refuse_displaced(&mut self, ctx: &mut Context, displaced: Option<QueuedRequest>) {
        let displaced = displaced.into_iter().collect();
        self.refuse_all(ctx, displaced, RetryReason::TooManyRequests);
    }

    pub(super) fn refuse_all(
        &mut self,
        ctx: &mut Context,
        requests: Vec<QueuedRequest>,
        reason: RetryReason,
    ) {
        for request in requests {
            self.refuse(ctx, &request.id, request.pending, reason);
        }
    }
}
