//! Verifies by compare-only transactions that jobs that are cached as open are still open.
//!
//! One transaction compares the state records of many jobs. A request that is received while
//! a transaction is in flight must wait for a later one, since only a comparison that is
//! sent after the request was received may answer it.

use super::{Admission, RetryReason};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep, Continuation, PendingRequest};
use crate::records;
use crate::request_budget::RequestPriority;
use crate::time::Micros;
use dillcleat_wire::store::{StoreRequest, StoreResponse, Transaction};
use std::collections::HashMap;

/// The maximum number of transactions in flight. There may be several, so that one slow
/// response does not delay all polls.
const MAX_TRANSACTIONS: usize = 3;
/// The maximum number of queued requests.
const MAX_QUEUED_REQUESTS: usize = 2000;
/// The number of comparisons that the store accepts in a transaction for each operation
/// (`txn_ops`).
const COMPARISONS_PER_OP: usize = 4;

/// Requests about jobs that are cached as open, and the verifications in flight.
#[derive(Debug, Default)]
pub(super) struct Verifications {
    /// Requests for the next transaction, with the ids of their jobs.
    queued: Vec<(String, PendingRequest)>,
    /// Requests whose job is in a transaction in flight, by the id of the job.
    awaiting_reply: HashMap<String, Vec<PendingRequest>>,
    /// The number of transactions in flight.
    transactions_in_flight: usize,
}

impl Admission {
    /// Queues a request about a job that is cached as open, and sends the queued ones.
    pub(super) fn verify(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        self.queue_verification(ctx, id, pending);
        self.send_verification(ctx);
    }

    /// Queues a request about a job that is cached as open. A later
    /// [`send_verification`](Self::send_verification) compares it together with others.
    pub(super) fn queue_verification(
        &mut self,
        ctx: &mut Context,
        id: String,
        pending: PendingRequest,
    ) {
        if self.verifications.queued.len() >= MAX_QUEUED_REQUESTS {
            return self.refuse(ctx, pending, RetryReason::TooManyRequests);
        }
        self.verifications.queued.push((id, pending));
    }

    /// Sends a transaction for the queued requests if the limits allow it. Consumes budget even
    /// if none of the queued requests turns out to need a comparison.
    pub(super) fn send_verification(&mut self, ctx: &mut Context) {
        if self.verifications.queued.is_empty()
            || self.verifications.transactions_in_flight >= MAX_TRANSACTIONS
            || !self
                .request_budget
                .try_take(1.0, RequestPriority::Poll, ctx.now.monotonic)
        {
            return;
        }
        let (txn, jobs) = self.collect_comparisons(ctx);
        if jobs.is_empty() {
            return;
        }
        self.verifications.transactions_in_flight += 1;
        // The transaction is hedged because the loss of one would delay the answers of many
        // requests. When several in a row were lost, a job had no answer for 90 s.
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(AdmissionStep::VerifyOpen { jobs }),
        );
    }

    /// Builds a transaction for queued requests, up to the maximum number of comparisons,
    /// and moves these requests to `awaiting_reply`. A request whose job has ended meanwhile is
    /// answered, and one whose job is no longer cached is continued with a read. Returns the
    /// transaction and the ids of its jobs.
    fn collect_comparisons(&mut self, ctx: &mut Context) -> (Transaction, Vec<String>) {
        let mut jobs: Vec<String> = Vec::new();
        let mut txn = Transaction::default();
        let max_jobs = ctx.config.max_txn_ops * COMPARISONS_PER_OP;
        let mut still_queued = Vec::new();
        for (id, pending) in std::mem::take(&mut self.verifications.queued) {
            let Some(cached) = self.cache.get(&id) else {
                self.read_open_record(ctx, id, pending);
                continue;
            };
            if !cached.is_open() {
                self.answer_with_state(ctx, &id, Some(cached), pending);
                continue;
            }
            let in_this_transaction = jobs.contains(&id);
            // A job is in at most one transaction at a time, so that the response concerns
            // all requests that are in flight for the job.
            let in_another = self.verifications.awaiting_reply.contains_key(&id);
            if !in_this_transaction && (jobs.len() >= max_jobs || in_another) {
                still_queued.push((id, pending));
                continue;
            }
            if !in_this_transaction {
                txn = txn.compare(records::job_state_key(&id), cached.version);
                jobs.push(id.clone());
            }
            self.verifications
                .awaiting_reply
                .entry(id)
                .or_default()
                .push(pending);
        }
        // An answer above may have continued the check of a job's ancestors, which queues more.
        still_queued.append(&mut self.verifications.queued);
        self.verifications.queued = still_queued;
        (txn, jobs)
    }

    /// Handles the response to a transaction, sent at `sent_at`, that compared the state records
    /// of `jobs`.
    pub(super) fn handle_verification(
        &mut self,
        ctx: &mut Context,
        jobs: Vec<String>,
        sent_at: Micros,
        reply: &Result<StoreResponse, CallError>,
    ) {
        self.verifications.transactions_in_flight -= 1;
        // Recorded first: the answers may need the proofs of other jobs of the transaction.
        for id in &jobs {
            if is_verified(id, reply) {
                self.cache.record_open(id, sent_at);
            }
        }
        for id in jobs {
            let requests = self
                .verifications
                .awaiting_reply
                .remove(&id)
                .unwrap_or_default();
            match reply {
                Ok(StoreResponse::Committed { .. } | StoreResponse::Conflict { .. }) => {
                    let changed = !is_verified(&id, reply);
                    self.handle_verified_state(ctx, &id, requests, changed);
                }
                _ => {
                    for pending in requests {
                        self.refuse(ctx, pending, RetryReason::StoreUnreachable);
                    }
                }
            }
        }
        self.send_verification(ctx);
    }

    /// Answers the requests of a job if its state is unchanged or final; otherwise reads the
    /// job's records. `changed` says whether its state record has changed.
    fn handle_verified_state(
        &mut self,
        ctx: &mut Context,
        id: &str,
        requests: Vec<PendingRequest>,
        changed: bool,
    ) {
        for pending in requests {
            match self.cache.get(id) {
                Some(cached) if !changed || !cached.is_open() => {
                    self.answer_with_state(ctx, id, Some(cached), pending);
                }
                _ if changed => self.read_state_record(ctx, id.to_string(), pending),
                _ => self.read_open_record(ctx, id.to_string(), pending),
            }
        }
    }
}

/// Whether the response to a transaction shows that the state record of a job in it is
/// unchanged. A conflict lists the changed keys.
fn is_verified(id: &str, reply: &Result<StoreResponse, CallError>) -> bool {
    match reply {
        Ok(StoreResponse::Committed { .. }) => true,
        Ok(StoreResponse::Conflict { failed, .. }) => !failed.contains(&records::job_state_key(id)),
        _ => false,
    }
}
