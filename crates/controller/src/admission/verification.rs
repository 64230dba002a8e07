//! Verifies by compare-only transactions that jobs known as open are open still.
//!
//! One transaction compares the state records of many jobs, and so answers the polls of
//! all of them. Requests that come in while a transaction is under way wait for a later
//! one: only a comparison that is sent after a request came in may answer it.

use super::{Admission, STORE_UNREACHABLE, TOO_MANY_REQUESTS};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep, Continuation, PendingRequest};
use crate::messages::Answer;
use crate::records;
use crate::request_budget::RequestPriority;
use dillcleat_wire::store::{StoreRequest, StoreResponse, Transaction};
use std::collections::HashMap;

/// Transactions that may be under way at once. More than one, so that a single slow
/// response does not hold up every poll.
const MAX_TRANSACTIONS: usize = 3;
/// Requests that may wait for their comparison.
const MAX_QUEUED: usize = 2000;
/// The store takes this many comparisons in a transaction for each write that it takes
/// (`txn_ops`).
const COMPARISONS_PER_OP: usize = 4;

/// Requests about open jobs, and the comparisons under way.
#[derive(Debug, Default)]
pub(super) struct Verifications {
    /// Requests that wait for the next transaction, with their jobs' ids.
    queued: Vec<(String, PendingRequest)>,
    /// Requests whose job is in a transaction under way, by the job's id.
    in_flight: HashMap<String, Vec<PendingRequest>>,
    transactions: usize,
}

impl Admission {
    /// Queues a request about a job that is known as open.
    pub(super) fn verify(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        if self.verifications.queued.len() >= MAX_QUEUED {
            return ctx.answer(pending.request(), Answer::retry_later(TOO_MANY_REQUESTS));
        }
        self.verifications.queued.push((id, pending));
        self.send_verification(ctx);
    }

    /// Sends a transaction for the queued requests, as far as the limits allow.
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
        // Hedged: a lost one answered none of its jobs. With transactions lost one after
        // the other a job was once without an answer for 90 s (seed 3909 of meetings).
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(AdmissionStep::VerifyOpen { jobs }),
        );
    }

    /// Moves queued requests in flight, up to the limit of a transaction. Requests whose
    /// jobs have ended meanwhile, or are no longer cached, take another way.
    fn collect_comparisons(&mut self, ctx: &mut Context) -> (Transaction, Vec<String>) {
        let mut jobs: Vec<String> = Vec::new();
        let mut txn = Transaction::default();
        let max_jobs = ctx.config.txn_ops * COMPARISONS_PER_OP;
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
            // One comparison of a job at a time, so that a response belongs to all
            // requests that are in flight for it.
            let in_another = self.verifications.in_flight.contains_key(&id);
            if !in_this_transaction && (jobs.len() >= max_jobs || in_another) {
                still_queued.push((id, pending));
                continue;
            }
            if !in_this_transaction {
                txn = txn.compare(records::job_key(&id), known.version);
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

    /// Handles the response to a transaction that compared these jobs.
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
                // The other jobs of the transaction were unchanged at that same moment.
                Ok(StoreResponse::Conflict { failed, .. }) => {
                    let changed = failed.contains(&records::job_key(&id));
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

    /// Continues the requests of a job whose state record has or has not `changed`.
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
