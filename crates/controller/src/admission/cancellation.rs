//! Stores the cancellation of an open job.
//!
//! A cancellation writes two keys at once. While other writes use up most of the store's limit,
//! those of a single key are more likely to be accepted. A cancellation that exceeds a limit is
//! therefore sent again at short intervals for as long as its user waits, and is charged to the
//! budget of the users' writes, so that many of them leave some of the limit to the leader.

use super::{Admission, RetryReason};
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, Continuation, PendingRequest, UserRequest};
use crate::job_cache::CachedJobState;
use crate::records::{self, CancelledJob};
use crate::request_budget::{RequestPriority, StoreCost};
use crate::time::{MILLISECOND, Micros};
use dillcleat_wire::store::{StoreRequest, Transaction};

/// The number of keys that a cancellation writes: the state record and the cancellation record.
const CANCELLATION_WRITES: f64 = 2.0;
/// The interval at which a cancellation that exceeds a limit is sent again.
pub(super) const CANCELLATION_RETRY_INTERVAL: Micros = 200 * MILLISECOND;

/// A user's cancellation that is sent again after it exceeded a limit.
#[derive(Debug)]
pub(super) struct DelayedCancellation {
    id: String,
    request: UserRequest,
    retry_at: Micros,
}

impl Admission {
    /// Takes the cost of a cancellation from the budget; returns whether it was available. It may
    /// overdraw the budget, so that submissions, which write one key, don't keep it from being
    /// sent.
    pub(super) fn take_cancellation_budget(&mut self, now: Micros) -> bool {
        let available = self.take_budget(StoreCost::transaction(1.0), RequestPriority::Change, now);
        if available {
            self.write_budget.charge(CANCELLATION_WRITES - 1.0, now);
        }
        available
    }

    /// Returns the writes of a cancellation that the store refused to the budget.
    pub(super) fn return_cancellation_budget(&mut self, now: Micros) {
        self.write_budget.put_back(CANCELLATION_WRITES, now);
    }

    /// Sends the cancellation of a job that is cached as open.
    pub(super) fn send_cancellation(
        &mut self,
        ctx: &mut Context,
        id: &str,
        cached: CachedJobState,
        request: UserRequest,
    ) {
        if !self.take_cancellation_budget(ctx.now.monotonic) {
            return self.delay_cancellation(ctx, id.to_string(), request);
        }
        let step = Step::Cancel {
            id: id.to_string(),
            request,
        };
        ctx.store_request(
            cancellation_request(ctx.now.wall, id, cached),
            Continuation::Admission(step),
        );
    }

    /// Schedules the retry of a cancellation, or refuses it if its user has waited for too long.
    pub(super) fn delay_cancellation(
        &mut self,
        ctx: &mut Context,
        id: String,
        request: UserRequest,
    ) {
        let retry_at = ctx.now.monotonic + CANCELLATION_RETRY_INTERVAL;
        if retry_at > request.answer_by {
            return self.refuse_request(ctx, &id, request, RetryReason::TooManyRequests);
        }
        self.delayed_cancellations.push(DelayedCancellation {
            id,
            request,
            retry_at,
        });
    }

    /// Sends the delayed cancellations that are due, the oldest first. Called at every tick.
    pub(super) fn send_due_cancellations(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let (mut due, delayed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_cancellations)
            .into_iter()
            .partition(|cancellation| now >= cancellation.retry_at);
        self.delayed_cancellations = delayed;
        due.sort_by_key(|cancellation| cancellation.request.received_at);
        for cancellation in due {
            let pending = PendingRequest::Cancel(cancellation.request);
            self.determine_state(ctx, cancellation.id, pending);
        }
    }
}

/// The transaction that stores the cancellation of a job that is cached as open.
pub(super) fn cancellation_request(wall: Micros, id: &str, cached: CachedJobState) -> StoreRequest {
    let record = cached.record.cancelled();
    let cancelled = CancelledJob {
        cancelled_at_us: wall,
    };
    let txn = Transaction::default()
        .compare(records::job_state_key(id), cached.version)
        .put(records::job_state_key(id), &record)
        .put(records::cancelled_job_key(id), &cancelled);
    StoreRequest::Transaction(txn)
}
