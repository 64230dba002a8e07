//! Verifies by compare-only transactions that jobs that are cached as open are still open.
//!
//! One transaction compares the state records of many jobs. A request that is received while
//! a transaction is in flight must wait for a later one, since only a comparison that is
//! sent after the request was received may answer it.

use super::dispatch::{Batch, Candidate};
use super::request_queue::{QueuedRequest, RequestQueue};
use super::{Admission, RetryReason};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep, Continuation, JobRecordKind, PendingRequest};
use crate::records;
use crate::request_budget::StoreCost;
use crate::time::Micros;
use dillcleat_wire::store::{StoreRequest, StoreResponse, Transaction};
use std::collections::{BTreeSet, HashSet};

/// The maximum number of transactions in flight. There may be several, so that one slow
/// response does not delay all polls.
const MAX_TRANSACTIONS: usize = 3;

/// Requests about jobs that are cached as open, and the verifications in flight.
#[derive(Debug, Default)]
pub(super) struct Verifications {
    /// Requests for the next transaction.
    queue: RequestQueue,
    /// The jobs that are compared by a transaction in flight. A job is compared by one at a time:
    /// requests that arrive meanwhile share the next comparison.
    jobs_in_flight: HashSet<String>,
    /// The number of transactions in flight.
    transactions_in_flight: usize,
}

impl Verifications {
    /// The next transaction. None if it may not be sent now.
    pub fn next_verification(&self) -> Option<Candidate> {
        let is_sendable = |id| !self.jobs_in_flight.contains(id);
        let may_send =
            self.transactions_in_flight < MAX_TRANSACTIONS && self.queue.ids().any(is_sendable);
        Candidate::new(Batch::Verification, &self.queue).filter(|_| may_send)
    }

    /// The requests for the next transaction.
    pub fn queue(&mut self) -> &mut RequestQueue {
        &mut self.queue
    }
}

impl Admission {
    /// Queues a request about a job that is cached as open. A later
    /// [`send_verification`](Self::send_verification) compares it together with others.
    pub(super) fn queue_verification(
        &mut self,
        ctx: &mut Context,
        id: String,
        pending: PendingRequest,
    ) {
        let position = self.queue_position(ctx, &id, &pending);
        let request = QueuedRequest { id, pending };
        let displaced = self.verifications.queue.push(position, request);
        self.refuse_displaced(ctx, displaced);
    }

    /// Sends a transaction for the first of the queued requests, with as many jobs as fit. The
    /// caller has charged the budget.
    pub(super) fn send_verification(&mut self, ctx: &mut Context) {
        let (txn, requests) = self.collect_comparisons(ctx);
        if requests.is_empty() {
            self.return_budget(StoreCost::READ, ctx.now.monotonic);
            return;
        }
        self.verifications.transactions_in_flight += 1;
        // The transaction is hedged because the loss of one would delay the answers of many
        // requests. When several in a row were lost, a job had no answer for 90 s.
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(AdmissionStep::VerifyOpen { requests }),
        );
    }

    /// Builds a transaction for queued requests, up to the maximum number of comparisons, and
    /// removes these requests from the queue. A request whose job has ended meanwhile is
    /// answered, and one whose job is no longer cached is looked up.
    fn collect_comparisons(&mut self, ctx: &mut Context) -> (Transaction, Vec<QueuedRequest>) {
        let max_jobs = ctx.config.max_comparisons();
        let Verifications {
            queue,
            jobs_in_flight,
            ..
        } = &mut self.verifications;
        let requests = queue.take_first_jobs(max_jobs, |id| !jobs_in_flight.contains(id));
        let mut jobs: BTreeSet<String> = BTreeSet::new();
        let mut txn = Transaction::default();
        let mut compared = Vec::new();
        for request in requests {
            match self.cache.get(&request.id) {
                Some(cached) if cached.is_open() => {
                    if jobs.insert(request.id.clone()) {
                        txn = txn.compare(records::job_state_key(&request.id), cached.version);
                    }
                    compared.push(request);
                }
                _ => self.determine_state(ctx, request.id, request.pending),
            }
        }
        self.verifications.jobs_in_flight.extend(jobs);
        (txn, compared)
    }

    /// Handles the response to a transaction, sent at `sent_at`, that compared the state records
    /// of the requests' jobs.
    pub(super) fn handle_verification(
        &mut self,
        ctx: &mut Context,
        requests: Vec<QueuedRequest>,
        sent_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.verifications.transactions_in_flight -= 1;
        for request in &requests {
            self.verifications.jobs_in_flight.remove(&request.id);
        }
        let changed: BTreeSet<String> = match reply {
            Ok(StoreResponse::Committed { .. }) => BTreeSet::new(),
            Ok(StoreResponse::Conflict { failed, .. }) => failed.into_iter().collect(),
            _ => return self.refuse_all(ctx, requests, RetryReason::StoreUnreachable),
        };
        let is_changed = |id: &str| changed.contains(&records::job_state_key(id));
        // Recorded first: the answers may need the proofs of other jobs of the transaction.
        for request in requests.iter().filter(|request| !is_changed(&request.id)) {
            self.cache.record_open(&request.id, sent_at);
        }
        for request in requests {
            let is_changed = is_changed(&request.id);
            self.handle_verified_state(ctx, request, is_changed);
        }
    }

    /// Answers a request if the state of its job is unchanged or final; otherwise reads the
    /// job's records. `is_changed` says whether its state record has changed.
    fn handle_verified_state(
        &mut self,
        ctx: &mut Context,
        request: QueuedRequest,
        is_changed: bool,
    ) {
        let QueuedRequest { id, pending } = request;
        match self.cache.get(&id) {
            Some(cached) if !is_changed || !cached.is_open() => {
                self.answer_with_state(ctx, &id, Some(cached), pending);
            }
            _ if is_changed => self.queue_record_read(ctx, JobRecordKind::State, id, pending),
            _ => self.queue_lookup(ctx, id, pending),
        }
    }
}
