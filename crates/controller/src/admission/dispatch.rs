//! Decides which of the waiting requests the next call to the store is for.
//!
//! Calls are sent while the budget and the limits of calls in flight allow it. The job that
//! has been without an answer for the longest time comes first, whatever its request needs.

use super::request_queue::{QueuedRequest, RequestQueue};
use super::{Admission, RetryReason};
use crate::calls::Context;
use crate::continuations::{JobRecordKind, PendingRequest};
use crate::request_budget::RequestPriority;
use crate::time::{MILLISECOND, Micros};

/// How long a poll leaves the part of the budget that is reserved for other requests to them.
/// Without an end, a flood of other requests would keep every poll waiting.
const MAX_RESERVE_WAIT: Micros = 500 * MILLISECOND;

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Batch {
    /// Jobs of which nothing is known.
    Unknown,
    /// Jobs with a record of this kind.
    Records(JobRecordKind),
    /// Jobs that are cached as open.
    Verification,
}

impl Admission {
    /// Sends calls for the waiting requests as the limits allow it. Called after each input.
    pub(super) fn send_waiting(&mut self, ctx: &mut Context) {
        while let Some(batch) = self.take_budget_for_batch(ctx) {
            match batch {
                Batch::Unknown => self.send_lookup(ctx),
                Batch::Records(kind) => self.send_record_read(ctx, kind),
                Batch::Verification => self.send_verification(ctx),
            }
        }
    }

    /// The first batch for which the budget suffices. Charges the budget for its call.
    fn take_budget_for_batch(&mut self, ctx: &Context) -> Option<Batch> {
        let now = ctx.now.monotonic;
        let mut candidates: Vec<_> = [
            (
                Batch::Unknown,
                self.lookups.sendable_unknown(self.in_flight),
            ),
            self.records_candidate(JobRecordKind::Open),
            self.records_candidate(JobRecordKind::State),
            (Batch::Verification, self.verifications.sendable()),
        ]
        .into_iter()
        .filter_map(|(batch, queue)| {
            let queue = queue?;
            let since = queue.first_unanswered_since()?;
            Some((since, batch, batch_priority(batch, queue, since, now)))
        })
        .collect();
        candidates.sort_by_key(|(since, ..)| *since);
        candidates
            .into_iter()
            .find(|(_, _, priority)| self.request_budget.try_take(1.0, *priority, now))
            .map(|(_, batch, _)| batch)
    }

    fn records_candidate(&self, kind: JobRecordKind) -> (Batch, Option<&RequestQueue>) {
        let queue = self.lookups.sendable_records(kind, self.in_flight);
        (Batch::Records(kind), queue)
    }

    /// A request with its place in the queues.
    pub(super) fn queued_request(
        &mut self,
        ctx: &Context,
        id: String,
        pending: PendingRequest,
    ) -> QueuedRequest {
        // A lookup of an ancestor is for the request about its descendant.
        let (job, received_at) = match &pending {
            PendingRequest::Ancestor { descendant } => {
                let started_at = self.ancestor_checks.started_at(descendant);
                (descendant, started_at.unwrap_or(ctx.now.monotonic))
            }
            PendingRequest::Status(request)
            | PendingRequest::RejectUnlessExists { request, .. }
            | PendingRequest::Cancel(request) => (&id, request.received_at),
        };
        let priority = RequestPriority::from(&pending);
        let position = self.refused_jobs.position(job, received_at, priority);
        QueuedRequest {
            position,
            id,
            pending,
        }
    }

    /// Refuses the requests whose users no longer wait for an answer. Called at every tick.
    pub(super) fn refuse_expired(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let checks = &self.ancestor_checks;
        let answer_by = |pending: &PendingRequest| match pending {
            PendingRequest::Ancestor { descendant } => checks.answer_by(descendant),
            PendingRequest::Status(request)
            | PendingRequest::RejectUnlessExists { request, .. }
            | PendingRequest::Cancel(request) => Some(request.answer_by),
        };
        let is_expired = |pending: &PendingRequest| answer_by(pending).is_none_or(|at| now > at);
        let mut expired = Vec::new();
        for queue in self.lookups.queues() {
            expired.extend(queue.take_if(|_, pending| is_expired(pending)));
        }
        let queue = self.verifications.queue();
        expired.extend(queue.take_if(|_, pending| is_expired(pending)));
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

/// The priority of a call for the first requests of a queue, which has waited since `since`.
fn batch_priority(
    batch: Batch,
    queue: &RequestQueue,
    since: Micros,
    now: Micros,
) -> RequestPriority {
    // The read of a record continues a request for which a call was already sent.
    if matches!(batch, Batch::Records(_)) || now >= since + MAX_RESERVE_WAIT {
        return RequestPriority::Change;
    }
    let priorities = queue.iter().map(|(_, pending)| pending.into());
    priorities.min().unwrap_or(RequestPriority::Poll)
}
