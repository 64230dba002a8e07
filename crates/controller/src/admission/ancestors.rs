//! Checks that no ancestor of a job is cancelled before the job is reported as open.
//!
//! An ancestor is a job that a job needs, directly or through others. When one is cancelled,
//! the leader cancels its descendants, but a leader may not learn of the cancellation or not be
//! able to write for a long time. Within the time limit of cancellations
//! ([`cancel_time_limit`](Config::cancel_time_limit)), counted from the confirmation to the
//! user, every node must stop reporting the descendants as open. So a node reports a job as open
//! only if none of its ancestors was cancelled at a time that is at most half of the limit ago.
//!
//! The proofs are cached for each job: its own state record is compared whenever the job is
//! polled, and a comparison of an ancestor serves all its descendants. Only ancestors without a
//! recent proof are looked up, as if they were polled. If one is cancelled, the node stores the
//! cancellation of the job itself, as for a cancellation by the user, before it is reported. A
//! job that is done needs no proof, nor do its ancestors, which are done as well.

use super::dispatch::WaitingUser;
use super::writes::{CANCELLATION_RETRY_INTERVAL, cancellation_request};
use super::{Admission, RETRY_TIMEOUT, RetryReason};
use crate::CallError;
use crate::Config;
use crate::calls::Context;
use crate::continuations::{
    AdmissionStep as Step, Continuation, JobRecordKind, PendingRequest, UserRequest,
};
use crate::job_cache::{CachedJobState, Dependencies, OpenProof};
use crate::records::RecordedState;
use crate::time::Micros;
use dillcleat_wire::store::StoreResponse;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// The part of the time limit of cancellations up to which a check counts proofs as fresh.
const FRESH_PROOF_AGE_DIVISOR: u64 = 4;
/// The minimum of that age. Proofs must stay fresh for as long as a check takes.
const MIN_FRESH_PROOF_AGE: Micros = RETRY_TIMEOUT;
/// The maximum age of the proof for an answer, as a multiple of the age up to which a proof is
/// fresh: the result of a check serves several polls. With a usual time limit, half of it
/// remains for the answer to reach the user.
const VALID_PROOF_AGE_FACTOR: u64 = 2;
/// The maximum number of lookups in flight for one check.
const MAX_LOOKUPS: usize = 128;

/// The known state of an ancestor.
#[derive(Debug, Clone)]
enum AncestorState {
    /// The ancestor is open, or there is no such job.
    NotCancelled(OpenProof),
    Done,
    Cancelled,
}

/// The check of the ancestors of one job.
#[derive(Debug)]
struct AncestorCheck {
    /// The state of the job, which was verified for each of the waiting requests.
    state: CachedJobState,
    dependencies: Dependencies,
    /// The requests to be answered with the job's state.
    waiting: Vec<UserRequest>,
    started_at: Micros,
    /// When the latest lookups were sent.
    lookups_sent_at: Micros,
    /// The number of lookups, or writes of the job's cancellation, without a result.
    in_flight: usize,
    /// The job's cancellation is not sent before this time.
    cancel_at: Micros,
    /// The states of ancestors that the check has found out, in addition to the cache.
    found: BTreeMap<String, AncestorState>,
    /// Why a lookup failed, unless it is to be tried again.
    failure: Option<RetryReason>,
}

/// The checks under way, by the id of the job whose ancestors are checked.
#[derive(Debug, Default)]
pub(super) struct AncestorChecks(BTreeMap<String, AncestorCheck>);

impl AncestorChecks {
    /// Records that the state of an ancestor of `descendant` could not be determined. A lookup
    /// that exceeded a limit of this node is tried again.
    pub fn lookup_failed(&mut self, descendant: &str, reason: RetryReason) {
        if let Some(check) = self.0.get_mut(descendant) {
            check.in_flight -= 1;
            if reason != RetryReason::TooManyRequests {
                check.failure = Some(reason);
            }
        }
    }

    /// The user who waits for the check of this job's ancestors.
    pub fn waiting_user(&self, descendant: &str) -> Option<WaitingUser<'_>> {
        let (job, check) = self.0.get_key_value(descendant)?;
        Some(WaitingUser {
            job,
            received_at: check.started_at,
            answer_by: check.started_at + RETRY_TIMEOUT,
        })
    }

    /// The ids of the jobs whose check waits for no response.
    fn idle(&self) -> Vec<String> {
        let idle = self.0.iter().filter(|(_, check)| check.in_flight == 0);
        idle.map(|(id, _)| id.clone()).collect()
    }
}

/// What is known about the ancestors of a job.
#[derive(Debug)]
enum AncestorSurvey {
    /// None was cancelled at this time.
    NoneCancelled { at: Micros },
    /// This one is cancelled.
    Cancelled { ancestor: Rc<str> },
    /// These have no recent proof. There may be others.
    Unproven { ancestors: Vec<Rc<str>> },
}

/// The age up to which proofs are not renewed by a check.
fn fresh_proof_age(config: &Config) -> Micros {
    (config.cancel_time_limit / FRESH_PROOF_AGE_DIVISOR).max(MIN_FRESH_PROOF_AGE)
}

impl Admission {
    /// Reports a job as open to a user. `cached` was verified after the request was received. If
    /// there is no recent proof that no ancestor is cancelled, the ancestors are checked first.
    pub(super) fn report_open(
        &mut self,
        ctx: &mut Context,
        id: &str,
        cached: CachedJobState,
        request: UserRequest,
    ) {
        let now = ctx.now.monotonic;
        let oldest_valid = now.saturating_sub(fresh_proof_age(ctx.config) * VALID_PROOF_AGE_FACTOR);
        let proof = self.cache.open_proof(id);
        let is_proved = proof.is_none_or(|proof| {
            proof.dependencies.is_empty() || proof.ancestors_open_at >= oldest_valid
        });
        let Some(proof) = proof.filter(|_| !is_proved) else {
            return self.report(ctx, id, cached.record, request);
        };
        let dependencies = proof.dependencies.clone();
        let checks = &mut self.ancestor_checks.0;
        let check = checks
            .entry(id.to_string())
            .or_insert_with(|| AncestorCheck {
                state: cached,
                dependencies,
                waiting: Vec::new(),
                started_at: now,
                lookups_sent_at: now,
                in_flight: 0,
                cancel_at: now,
                found: BTreeMap::new(),
                failure: None,
            });
        check.waiting.push(request);
    }

    /// Continues the checks that wait for no response. Called after each response and at every
    /// tick.
    pub(super) fn advance_ancestor_checks(&mut self, ctx: &mut Context) {
        for id in self.ancestor_checks.idle() {
            self.advance_ancestor_check(ctx, &id);
        }
    }

    fn advance_ancestor_check(&mut self, ctx: &mut Context, id: &str) {
        let now = ctx.now.monotonic;
        let Some(check) = self.ancestor_checks.0.get(id) else {
            return;
        };
        if let Some(reason) = check.failure {
            return self.refuse_waiting(ctx, id, reason);
        }
        let oldest_fresh = now.saturating_sub(fresh_proof_age(ctx.config));
        match self.survey_ancestors(check, oldest_fresh) {
            AncestorSurvey::NoneCancelled { at } => {
                self.cache.record_ancestors_open(id, at);
                self.answer_waiting(ctx, id);
            }
            _ if now >= check.started_at + RETRY_TIMEOUT => {
                self.refuse_waiting(ctx, id, RetryReason::TooManyRequests);
            }
            AncestorSurvey::Cancelled { ancestor } => {
                self.cancel_descendant(ctx, id, &ancestor);
            }
            AncestorSurvey::Unproven { ancestors } => self.look_up_ancestors(ctx, id, ancestors),
        }
    }

    /// Determines what is known about the ancestors of a job. Proofs from before `oldest` don't
    /// count.
    fn survey_ancestors(&self, check: &AncestorCheck, oldest: Micros) -> AncestorSurvey {
        let mut unvisited: Vec<Rc<str>> = check.dependencies.to_vec();
        let mut visited = HashSet::new();
        let mut unproven = Vec::new();
        let mut at = Micros::MAX;
        while let Some(ancestor) = unvisited.pop() {
            if !visited.insert(ancestor.clone()) {
                continue;
            }
            let proof = match self.ancestor_state(check, &ancestor) {
                Some(AncestorState::NotCancelled(proof)) => proof,
                Some(AncestorState::Done) => continue,
                Some(AncestorState::Cancelled) => return AncestorSurvey::Cancelled { ancestor },
                None => {
                    unproven.push(ancestor);
                    continue;
                }
            };
            if proof.open_at < oldest {
                unproven.push(ancestor);
            }
            at = at.min(proof.open_at);
            if proof.dependencies.is_empty() {
                continue;
            }
            if proof.ancestors_open_at >= oldest {
                at = at.min(proof.ancestors_open_at);
            } else {
                unvisited.extend(proof.dependencies.iter().cloned());
            }
        }
        if unproven.is_empty() {
            AncestorSurvey::NoneCancelled { at }
        } else {
            AncestorSurvey::Unproven {
                ancestors: unproven,
            }
        }
    }

    /// The state of an ancestor according to the check and the cache; `None` if it is unknown.
    fn ancestor_state(&self, check: &AncestorCheck, ancestor: &str) -> Option<AncestorState> {
        if let Some(found) = check.found.get(ancestor) {
            return Some(found.clone());
        }
        match self.cache.get(ancestor)?.record.state {
            RecordedState::Done => Some(AncestorState::Done),
            RecordedState::Cancelled => Some(AncestorState::Cancelled),
            RecordedState::Open => {
                let proof = self.cache.open_proof(ancestor)?;
                Some(AncestorState::NotCancelled(proof.clone()))
            }
        }
    }

    fn look_up_ancestors(&mut self, ctx: &mut Context, id: &str, mut ancestors: Vec<Rc<str>>) {
        ancestors.truncate(MAX_LOOKUPS);
        let Some(check) = self.ancestor_checks.0.get_mut(id) else {
            return;
        };
        check.in_flight = ancestors.len();
        check.lookups_sent_at = ctx.now.monotonic;
        for ancestor in ancestors {
            let descendant = id.to_string();
            let pending = PendingRequest::Ancestor { descendant };
            self.determine_state(ctx, ancestor.to_string(), pending);
        }
    }

    /// Handles the state of an ancestor of `descendant`; None if it does not exist.
    pub(super) fn handle_ancestor_state(
        &mut self,
        descendant: &str,
        ancestor: &str,
        cached: Option<CachedJobState>,
    ) {
        let Some(check) = self.ancestor_checks.0.get_mut(descendant) else {
            return;
        };
        check.in_flight -= 1;
        let found = match cached.map(|cached| cached.record.state) {
            Some(RecordedState::Done) => AncestorState::Done,
            Some(RecordedState::Cancelled) => AncestorState::Cancelled,
            Some(RecordedState::Open) => {
                let proof = self.cache.open_proof(ancestor).cloned();
                AncestorState::NotCancelled(proof.unwrap_or_default())
            }
            None => AncestorState::NotCancelled(OpenProof {
                open_at: check.lookups_sent_at,
                ..OpenProof::default()
            }),
        };
        check.found.insert(ancestor.to_string(), found);
    }

    /// Stores the cancellation of a job that needs a cancelled one. If the limits don't allow it
    /// now, it is tried again at a later tick.
    fn cancel_descendant(&mut self, ctx: &mut Context, id: &str, ancestor: &str) {
        let now = ctx.now.monotonic;
        let check = self.ancestor_checks.0.get(id);
        let is_due = check.is_some_and(|check| now >= check.cancel_at);
        if !is_due || !self.take_cancellation_budget(now) {
            return;
        }
        let Some(check) = self.ancestor_checks.0.get_mut(id) else {
            return;
        };
        log::info!("cancelling job that needs a cancelled one job={id} cancelled={ancestor}");
        check.in_flight = 1;
        let request = cancellation_request(ctx.now.wall, id, check.state);
        let step = Step::CancelDescendant { id: id.to_string() };
        ctx.store_request(request, Continuation::Admission(step));
    }

    /// Handles the response to the cancellation of a job that needs a cancelled one.
    pub(super) fn handle_descendant_cancelled(
        &mut self,
        ctx: &mut Context,
        id: &str,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Committed { .. }) => {
                let Some(check) = self.ancestor_checks.0.get(id) else {
                    return;
                };
                let record = check.state.record.cancelled();
                self.record_state(id, CachedJobState::ended(record));
                self.answer_waiting(ctx, id);
            }
            // The job had already ended, most likely by the leader's cancellation.
            Ok(StoreResponse::Conflict { .. }) => {
                for request in self.take_waiting(id) {
                    let pending = PendingRequest::Status(request);
                    self.queue_record_read(ctx, JobRecordKind::State, id.to_string(), pending);
                }
            }
            Ok(StoreResponse::RateLimited) => {
                let now = ctx.now.monotonic;
                self.return_cancellation_budget(now);
                if let Some(check) = self.ancestor_checks.0.get_mut(id) {
                    check.in_flight = 0;
                    check.cancel_at = now + CANCELLATION_RETRY_INTERVAL;
                }
            }
            _ => self.refuse_waiting(ctx, id, RetryReason::StoreUnreachable),
        }
    }

    /// Ends a check and answers its requests with the job's state.
    fn answer_waiting(&mut self, ctx: &mut Context, id: &str) {
        let Some(check) = self.ancestor_checks.0.remove(id) else {
            return;
        };
        let record = self.cache.get_ended(id).unwrap_or(check.state).record;
        for request in check.waiting {
            self.report(ctx, id, record, request);
        }
    }

    /// Ends a check without a result.
    fn refuse_waiting(&mut self, ctx: &mut Context, id: &str, reason: RetryReason) {
        for request in self.take_waiting(id) {
            self.refuse_request(ctx, id, request, reason);
        }
    }

    fn take_waiting(&mut self, id: &str) -> Vec<UserRequest> {
        let check = self.ancestor_checks.0.remove(id);
        check.map(|check| check.waiting).unwrap_or_default()
    }
}
