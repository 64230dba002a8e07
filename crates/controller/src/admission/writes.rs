//! Sends the transactions of submissions and cancellations.
//!
//! They are charged to the budget of calls and to that of writes, and wait for both in one
//! queue. A cancellation writes two keys at once; it may overdraw the budget, so that
//! submissions, which write one key, don't keep it from being sent. While other writes use up
//! most of the store's limit, the store may still refuse a cancellation; it is then sent again
//! at short intervals for as long as its user waits.

use super::dispatch::{Batch, Candidate};
use super::request_queue::{QueuedRequest, RequestQueue};
use super::{Admission, MAX_IN_FLIGHT, RetryReason};
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, Continuation, PendingRequest, UserRequest};
use crate::job_cache::CachedJobState;
use crate::records::{self, CancelledJob, OpenJob};
use crate::request_budget::{RequestPriority, StoreCost};
use crate::time::{MILLISECOND, Micros};
use dillcleat_wire::store::{StoreRequest, Transaction};
use std::rc::Rc;

/// The number of keys that a cancellation writes: the state record and the cancellation record.
const CANCELLATION_WRITES: f64 = 2.0;
/// The cost that must be available for a submission or a cancellation to be sent.
pub(super) const WRITE_COST: StoreCost = StoreCost::transaction(1.0);
/// The interval at which a cancellation that exceeds a limit of the store is sent again.
pub(super) const CANCELLATION_RETRY_INTERVAL: Micros = 200 * MILLISECOND;

/// The maximum number of submissions and cancellations that wait. Each may hold a description of
/// the size of a value in the store, and more could hardly be sent before their users give up.
const MAX_QUEUED_WRITES: usize = 600;

/// A request whose transaction waits for the budget.
#[derive(Debug, Clone)]
pub(super) enum WriteRequest {
    /// Stores a submitted job.
    Create {
        request: UserRequest,
        job: Rc<OpenJob>,
    },
    /// Stores the cancellation of a job that is cached as open.
    Cancel(UserRequest),
}

impl WriteRequest {
    fn user_request(&self) -> UserRequest {
        match self {
            WriteRequest::Create { request, .. } | WriteRequest::Cancel(request) => *request,
        }
    }
}

/// A user's cancellation that is sent again after it exceeded a limit of the store.
#[derive(Debug)]
struct DelayedCancellation {
    id: String,
    request: UserRequest,
    retry_at: Micros,
}

/// The submissions and cancellations that wait.
#[derive(Debug)]
pub(super) struct Writes {
    queue: RequestQueue<WriteRequest>,
    delayed_cancellations: Vec<DelayedCancellation>,
}

impl Default for Writes {
    fn default() -> Writes {
        Writes {
            queue: RequestQueue::bounded(MAX_QUEUED_WRITES),
            delayed_cancellations: Vec::new(),
        }
    }
}

impl Writes {
    /// The next transaction. None if it may not be sent now.
    pub fn next_write(&self, in_flight: usize) -> Option<Candidate> {
        Candidate::new(Batch::Write, &self.queue).filter(|_| in_flight < MAX_IN_FLIGHT)
    }
}

impl Admission {
    /// Queues the transaction that stores a submitted job.
    pub(super) fn queue_creation(
        &mut self,
        ctx: &mut Context,
        request: UserRequest,
        job: Rc<OpenJob>,
    ) {
        let id = job.spec.id.clone();
        self.queue_write(ctx, id, WriteRequest::Create { request, job });
    }

    /// Queues the transaction that stores the cancellation of a job that is cached as open.
    pub(super) fn queue_cancellation(&mut self, ctx: &mut Context, id: &str, request: UserRequest) {
        self.queue_write(ctx, id.to_string(), WriteRequest::Cancel(request));
    }

    fn queue_write(&mut self, ctx: &mut Context, id: String, pending: WriteRequest) {
        let received_at = pending.user_request().received_at;
        let priority = RequestPriority::Change;
        let position = self.refused_jobs.position(&id, received_at, priority);
        let request = QueuedRequest { id, pending };
        if let Some(displaced) = self.writes.queue.push(position, request) {
            self.refuse_write(ctx, displaced);
        }
    }

    fn refuse_write(&mut self, ctx: &mut Context, write: QueuedRequest<WriteRequest>) {
        let request = write.pending.user_request();
        self.refuse_request(ctx, &write.id, request, RetryReason::TooManyRequests);
    }

    /// Sends the first transaction of the queue. The caller has charged the budget with
    /// [`WRITE_COST`].
    pub(super) fn send_write(&mut self, ctx: &mut Context) {
        let Some(QueuedRequest { id, pending }) = self.writes.queue.pop_first() else {
            return;
        };
        match pending {
            WriteRequest::Create { request, job } => {
                self.in_flight += 1;
                self.send_creation(ctx, request, job);
            }
            WriteRequest::Cancel(request) => match self.cache.get(&id) {
                Some(cached) if cached.is_open() => {
                    self.send_cancellation(ctx, &id, cached, request);
                }
                _ => {
                    self.return_budget(WRITE_COST, ctx.now.monotonic);
                    self.determine_state(ctx, id, PendingRequest::Cancel(request));
                }
            },
        }
    }

    /// Sends the transaction that stores the job. The caller has charged the budget and
    /// incremented `in_flight`.
    pub(super) fn send_creation(&self, ctx: &mut Context, request: UserRequest, job: Rc<OpenJob>) {
        let id = &job.spec.id;
        // Only one key is written, since the store's write limit bounds the rate of
        // submissions. With a state record as well, a burst of small jobs waited for 10 s
        // (docs/incidents, inc-1846 and inc-bdf3).
        let txn = Transaction::default()
            .compare(records::job_state_key(id), 0)
            .compare(records::open_job_key(id), 0)
            .put(records::open_job_key(id), &*job);
        let step = Step::Create { request, job };
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(step),
        );
    }

    fn send_cancellation(
        &mut self,
        ctx: &mut Context,
        id: &str,
        cached: CachedJobState,
        request: UserRequest,
    ) {
        self.charge_cancellation_overdraft(ctx.now.monotonic);
        let step = Step::Cancel {
            id: id.to_string(),
            request,
        };
        ctx.store_request(
            cancellation_request(ctx.now.wall, id, cached),
            Continuation::Admission(step),
        );
    }

    /// Takes the cost of a cancellation from the budget; returns whether it was available.
    pub(super) fn take_cancellation_budget(&mut self, now: Micros) -> bool {
        let available = self.take_budget(WRITE_COST, RequestPriority::Change, now);
        if available {
            self.charge_cancellation_overdraft(now);
        }
        available
    }

    /// Charges what a cancellation writes beyond [`WRITE_COST`].
    fn charge_cancellation_overdraft(&mut self, now: Micros) {
        self.write_budget
            .charge(CANCELLATION_WRITES - WRITE_COST.writes, now);
    }

    /// Returns the writes of a cancellation that the store refused to the budget.
    pub(super) fn return_cancellation_budget(&mut self, now: Micros) {
        self.write_budget.put_back(CANCELLATION_WRITES, now);
    }

    /// Schedules the retry of a cancellation that the store refused, or refuses it if its user no
    /// longer waits then.
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
        self.writes.delayed_cancellations.push(DelayedCancellation {
            id,
            request,
            retry_at,
        });
    }

    /// Queues the delayed cancellations that are due. Called at every tick.
    pub(super) fn queue_due_cancellations(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let due = self
            .writes
            .delayed_cancellations
            .extract_if(.., |cancellation| now >= cancellation.retry_at);
        let due: Vec<DelayedCancellation> = due.collect();
        for cancellation in due {
            let pending = PendingRequest::Cancel(cancellation.request);
            self.determine_state(ctx, cancellation.id, pending);
        }
    }

    /// Refuses the submissions and cancellations whose users no longer wait. Called at every
    /// tick.
    pub(super) fn refuse_expired_writes(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let is_expired =
            |write: &QueuedRequest<_>| now > WriteRequest::user_request(&write.pending).answer_by;
        for write in self.writes.queue.take_if(is_expired) {
            self.refuse_write(ctx, write);
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
