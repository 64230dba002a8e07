//! Verifies by compare-only transactions that jobs that are cached as open are still open.
//!
//! One transaction compares the state records of many jobs. A request that is received while
//! a transaction is in flight must wait for a later one, since only a comparison that is
//! sent after the request was received may answer it.

use super::{Admission, STORE_UNREACHABLE, TOO_MANY_REQUESTS};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep, Continuation, PendingRequest};
use crate::messages::Answer;
use crate::records;
use crate::request_budget::RequestPriority;
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
    in_flight: HashMap<String, Vec<PendingRequest>>,
    /// The number of transactions in flight.
    transactions: usize,
}

impl Admission {
    /// Queues a request about a job that is cached as open.
    pub(super) fn verify(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        if self.verifications.queued.len() >= MAX_QUEUED_REQUESTS {
            return ctx.answer(pending.request(), Answer::retry_later(TOO_MANY_REQUESTS));
        }
        self.verifications.queued.push((id, pending));
        self.send_verification(ctx);
    }

    /// Sends a transaction for the queued requests if the limits allow it.
    pub(super) fn send_verification(&mut self, ctx: &mut Context) {
        if self.verifications.queued.is_empty()
            || self.verifications.transactions >= MAX_TRANSACTIONS
            || !self
                .calls
                .try_take(1.0, RequestPriority::Poll, ctx.now.monotonic)
        {
            return;
        }
        let (txn, jobs) = self.collect_comparisons(ctx);
        if jobs.is_empty() {
            return;
        }
        self.verifications.transactions += 1;
        // The transaction is hedged because the loss of one would delay the answers of many
        // requests.
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(AdmissionStep::VerifyOpen { jobs }),
        );
    }

    /// Builds a transaction for queued requests, up to the maximum number of comparisons,
    /// and moves these requests in flight. A request whose job has ended meanwhile is
    /// answered, and one whose job is no longer cached is continued with a read. Returns the
    /// transaction and the ids of its jobs.
    fn collect_comparisons(&mut self, ctx: &mut Context) -> (Transaction, Vec<String>) {
        let mut jobs: Vec<String> = Vec::new();
        let mut txn = Transaction::default();
        let max_jobs = ctx.config.max_txn_ops * COMPARISONS_PER_OP;
        let mut still_queued = Vec::new();
        for (id, pending) in std::mem::take(&mut self.verifications.queued) {
            let Some(known) = self.cache.get(&id) else {
                self.read_open_record(ctx, id, pending);
                continue;
            };
            if !known.is_open() {
                self.conclude(ctx, &id, Some(known), pending);
                continue;
            }
            let in_this_transaction = jobs.contains(&id);
            // A job is in at most one transaction at a time, so that the response concerns
            // all requests that are in flight for the job.
            let in_another = self.verifications.in_flight.contains_key(&id);
            if !in_this_transaction && (jobs.len() >= max_jobs || in_another) {
                still_queued.push((id, pending));
                continue;
            }
            if !in_this_transaction {
                txn = txn.compare(records::job_state_key(&id), known.version);
                jobs.push(id.clone());
            }
            self.verifications
                .in_flight
                .entry(id)
                .or_default()
                .push(pending);
        }
        self.verifications.queued = still_queued;
        (txn, jobs)
    }

    /// Handles the response to a transaction that compared the state records of `jobs`.
    pub(super) fn handle_verification(
        &mut self,
        ctx: &mut Context,
        jobs: Vec<String>,
        reply: &Result<StoreResponse, CallError>,
    ) {
        self.verifications.transactions -= 1;
        for id in jobs {
            let requests = self.verifications.in_flight.remove(&id).unwrap_or_default();
            match reply {
                Ok(StoreResponse::Committed { .. }) => {
                    self.conclude_verified(ctx, &id, requests, false);
                }
                // A conflict lists the changed keys. The other jobs of the transaction were
                // unchanged.
                Ok(StoreResponse::Conflict { failed, .. }) => {
                    let changed = failed.contains(&records::job_state_key(&id));
                    self.conclude_verified(ctx, &id, requests, changed);
                }
                _ => {
                    for pending in requests {
                        ctx.answer(pending.request(), Answer::retry_later(STORE_UNREACHABLE));
                    }
                }
            }
        }
        self.send_verification(ctx);
    }

    /// Continues the requests of a job. `changed` says whether its state record has changed.
    fn conclude_verified(
        &mut self,
        ctx: &mut Context,
        id: &str,
        requests: Vec<PendingRequest>,
        changed: bool,
    ) {
        for pending in requests {
            match self.cache.get(id) {
                Some(known) if !changed || !known.is_open() => {
                    self.conclude(ctx, id, Some(known), pending);
                }
                _ if changed => self.read_state_record(ctx, id.to_string(), pending),
                _ => self.read_open_record(ctx, id.to_string(), pending),
            }
        }
    }
}
