//! The queue of requests to the cloud. They are sent one at a time, within the allowed rate
//! and in the order of urgency.

use crate::leadership_guard::{CloudAction, CloudPermit, DeletionReason};
use crate::{Micros, SECOND, seconds};
use dillcleat_wire::cloud::{CloudRequest, MAX_MACHINES_PER_DELETION, ScaleOut};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The age from which a scale-out is dropped if it was certainly not executed and either its
/// latest attempt has failed or no attempt is permitted now. A new scale-out is then planned
/// from the current demand.
const SCALE_OUT_EXPIRY: Micros = 5 * SECOND;
/// The number of machines that one request may delete however small the fleet is.
const MIN_DELETION_LIMIT: usize = 5;
/// The fraction of the cloud's rate limit that is used.
const USED_RATE_FRACTION: f64 = 0.9;
/// How long no requests are sent after the cloud has failed.
const FAILURE_BACKOFF: Micros = SECOND;

/// A scale-out that has no final response yet.
#[derive(Debug, Clone)]
struct PendingScaleOut {
    request: ScaleOut,
    requested_at: Micros,
    /// Whether an earlier attempt may have been or may still be executed. The same request
    /// name must then be repeated until there is a final response.
    outcome_unknown: bool,
}

/// A machine that is to be deleted.
#[derive(Debug, Clone, Copy)]
struct PendingDeletion {
    reason: DeletionReason,
    /// Whether an earlier attempt may still be executed at any time.
    outcome_unknown: bool,
}

/// The kind of a request to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudRequestKind {
    /// Deletes machines.
    Delete,
    /// Starts machines.
    ScaleOut,
    /// Reads a page of the list of machines.
    List,
    /// Reads the machine types.
    Types,
}

impl CloudRequestKind {
    /// The name of the kind in log lines.
    pub fn label(self) -> &'static str {
        match self {
            CloudRequestKind::Delete => "delete",
            CloudRequestKind::ScaleOut => "scale-out",
            CloudRequestKind::List => "list",
            CloudRequestKind::Types => "types",
        }
    }
}

/// A request that may be sent now.
#[derive(Debug)]
pub struct PermittedCloudCall {
    /// The kind of the request.
    pub kind: CloudRequestKind,
    /// The request to send.
    pub request: CloudRequest,
    /// The permit for sending the request.
    pub permit: CloudPermit,
}

/// The pending requests to the cloud, and the one in flight.
#[derive(Debug)]
pub struct CloudQueue {
    /// The cloud's rate limit, in requests per second.
    rate_per_s: f64,
    /// The requests that the rate limit allows now. Not a
    /// [`TokenBucket`](crate::token_bucket::TokenBucket): its rounding differs, and recorded
    /// simulator runs depend on the exact send times.
    tokens: f64,
    tokens_refilled_at: Micros,
    call_in_flight: bool,
    paused_until: Micros,
    deletions: BTreeMap<Rc<str>, PendingDeletion>,
    /// The machines that the request in flight deletes.
    deletions_in_flight: Vec<Rc<str>>,
    /// Whether the previous request was a deletion: deletions and scale-outs alternate.
    deleted_last: bool,
    scale_outs: VecDeque<PendingScaleOut>,
    next_listing_at: Micros,
    /// The last machine of the previous page; None at the start of a listing.
    list_after: Option<String>,
    next_types_at: Micros,
    /// The number of scale-out request names that were generated.
    request_names_generated: u64,
}

impl CloudQueue {
    /// Creates an empty queue for a cloud that allows `rate_per_s` requests per second.
    pub fn new(rate_per_s: f64, now: Micros) -> Self {
        CloudQueue {
            rate_per_s,
            tokens: 1.0,
            tokens_refilled_at: now,
            call_in_flight: false,
            paused_until: now,
            deletions: BTreeMap::new(),
            deletions_in_flight: Vec::new(),
            deleted_last: false,
            scale_outs: VecDeque::new(),
            next_listing_at: now,
            list_after: None,
            next_types_at: now,
            request_names_generated: 0,
        }
    }

    /// Generates the unique name of a scale-out request, by which the cloud recognizes a
    /// repeated request. No other leader generates the same name, since terms are unique.
    pub fn new_request_name(&mut self, term: u64) -> String {
        self.request_names_generated += 1;
        format!("t{term}-{}", self.request_names_generated)
    }

    /// Queues a scale-out.
    pub fn scale_out(&mut self, request: ScaleOut, now: Micros) {
        self.scale_outs.push_back(PendingScaleOut {
            request,
            requested_at: now,
            outcome_unknown: false,
        });
    }

    /// Whether any scale-out has no final response yet.
    pub fn has_scale_outs(&self) -> bool {
        !self.scale_outs.is_empty()
    }

    /// Removes and returns the scale-out in flight, which has its final response.
    pub fn finish_scale_out(&mut self) -> Option<ScaleOut> {
        self.scale_outs.pop_front().map(|pending| pending.request)
    }

    /// Records that the scale-out in flight failed without a final response. Drops it if
    /// it has expired and was certainly not executed. `outcome_unknown` says whether this
    /// attempt may still be executed.
    pub fn fail_scale_out(&mut self, now: Micros, outcome_unknown: bool) {
        if let Some(pending) = self.scale_outs.front_mut() {
            pending.outcome_unknown |= outcome_unknown;
            if !pending.outcome_unknown && now > pending.requested_at + SCALE_OUT_EXPIRY {
                self.scale_outs.pop_front();
            }
        }
    }

    /// Queues the deletion of a machine. If it is already queued, the more urgent reason
    /// applies.
    pub fn delete(&mut self, name: Rc<str>, reason: DeletionReason) {
        let deletion = self.deletions.entry(name).or_insert(PendingDeletion {
            reason,
            outcome_unknown: false,
        });
        deletion.reason = deletion.reason.min(reason);
    }

    /// The machines that are to be deleted.
    pub fn deletions(&self) -> impl Iterator<Item = &Rc<str>> {
        self.deletions.keys()
    }

    /// Whether the machine is to be deleted because of a cancelled task.
    pub fn is_deleted_for_cancellation(&self, name: &str) -> bool {
        let deletion = self.deletions.get(name);
        deletion.is_some_and(|d| d.reason == DeletionReason::Cancelled)
    }

    /// Withdraws the deletion of an unresponsive machine that has sent a heartbeat again,
    /// unless a request that deletes it may still be executed. Returns whether the deletion
    /// was withdrawn.
    pub fn withdraw_deletion(&mut self, name: &str) -> bool {
        let Some(deletion) = self.deletions.get(name) else {
            return false;
        };
        let withdrawn = deletion.reason == DeletionReason::Unresponsive
            && !deletion.outcome_unknown
            && !self.deletions_in_flight.iter().any(|n| **n == *name);
        if withdrawn {
            self.deletions.remove(name);
        }
        withdrawn
    }

    /// Removes the machines of the deletion in flight, which was executed, and returns them.
    pub fn finish_deletion(&mut self) -> Vec<Rc<str>> {
        let names = std::mem::take(&mut self.deletions_in_flight);
        for name in &names {
            self.deletions.remove(name);
        }
        names
    }

    /// Records that the deletion in flight failed. `outcome_unknown` says whether this
    /// attempt may still be executed.
    pub fn fail_deletion(&mut self, outcome_unknown: bool) {
        for name in std::mem::take(&mut self.deletions_in_flight) {
            if let Some(deletion) = self.deletions.get_mut(&name) {
                deletion.outcome_unknown |= outcome_unknown;
            }
        }
    }

    /// Schedules the reading of the next page of the list of machines at `at`. The page
    /// begins after the machine `after`, or with the first one.
    pub fn schedule_listing(&mut self, at: Micros, after: Option<String>) {
        self.next_listing_at = at;
        self.list_after = after;
    }

    /// Schedules the reading of the machine types at `at`.
    pub fn schedule_types(&mut self, at: Micros) {
        self.next_types_at = at;
    }

    /// Records that the request in flight has ended, with or without a response.
    pub fn finish_call(&mut self) {
        self.call_in_flight = false;
    }

    /// Sends no requests for a while, since the cloud fails or is unreachable.
    pub fn pause(&mut self, now: Micros) {
        self.paused_until = now + FAILURE_BACKOFF;
    }

    /// Takes the next request that may be sent now, if there is one. A deletion contains at
    /// most `deletion_limit` machines, but at least 5 are allowed; failed machines may exceed
    /// the limit. `permit` issues a permit for an action that is allowed now.
    pub fn next(
        &mut self,
        now: Micros,
        deletion_limit: usize,
        permit: impl Fn(CloudAction) -> Option<CloudPermit>,
    ) -> Option<PermittedCloudCall> {
        self.refill_tokens(now);
        if self.call_in_flight || now < self.paused_until || self.tokens < 1.0 {
            return None;
        }
        let scale_out_permit = permit(CloudAction::ScaleOut);
        if scale_out_permit.is_none() {
            // Once scale-outs are permitted again, a new plan will fit the demand better.
            self.scale_outs.retain(|pending| {
                pending.outcome_unknown || now < pending.requested_at + SCALE_OUT_EXPIRY
            });
        }
        let scale_out_permit = scale_out_permit.filter(|_| self.has_scale_outs());
        let may_delete = scale_out_permit.is_none() || !self.deleted_last;
        let deletion = may_delete
            .then(|| self.next_deletion(deletion_limit, &permit))
            .flatten();
        let call = match deletion {
            Some(deletion) => deletion,
            None => self.next_other_call(now, scale_out_permit, &permit)?,
        };
        self.deleted_last = call.kind == CloudRequestKind::Delete;
        self.call_in_flight = true;
        self.tokens -= 1.0;
        Some(call)
    }

    fn refill_tokens(&mut self, now: Micros) {
        let passed_s = seconds(now.saturating_sub(self.tokens_refilled_at));
        let tokens = self.tokens + passed_s * self.rate_per_s * USED_RATE_FRACTION;
        self.tokens = tokens.min(self.rate_per_s.max(1.0));
        self.tokens_refilled_at = now;
    }

    /// The next deletion request, if there are machines that may be deleted now. Its permit
    /// is issued for the most urgent reason among them.
    fn next_deletion(
        &mut self,
        limit: usize,
        permit: impl Fn(CloudAction) -> Option<CloudPermit>,
    ) -> Option<PermittedCloudCall> {
        let is_permitted = |reason| permit(CloudAction::Delete(reason)).is_some();
        let names = self.most_urgent_deletions(limit, is_permitted);
        let reasons = names.iter().filter_map(|name| self.deletions.get(name));
        let reason = reasons.map(|deletion| deletion.reason).min()?;
        let request = CloudRequest::Delete(names.iter().map(|name| name.to_string()).collect());
        let permit = permit(CloudAction::Delete(reason))?;
        self.deletions_in_flight = names;
        Some(PermittedCloudCall {
            kind: CloudRequestKind::Delete,
            request,
            permit,
        })
    }

    /// The next machines to delete, by urgency of the reason. The limit applies to machines
    /// that may be in use again by the time that a delayed request is executed.
    fn most_urgent_deletions(
        &self,
        limit: usize,
        is_permitted: impl Fn(DeletionReason) -> bool,
    ) -> Vec<Rc<str>> {
        use DeletionReason::{Cancelled, Failed, Unneeded, Unresponsive};
        let limit = limit.clamp(MIN_DELETION_LIMIT, MAX_MACHINES_PER_DELETION);
        let mut names = Vec::new();
        for reason in [Cancelled, Failed, Unresponsive, Unneeded] {
            if !is_permitted(reason) {
                continue;
            }
            let remaining = match reason {
                Failed => MAX_MACHINES_PER_DELETION - names.len(),
                _ => limit.saturating_sub(names.len()),
            };
            let matching = self.deletions.iter().filter(|(_, d)| d.reason == reason);
            names.extend(matching.map(|(name, _)| name.clone()).take(remaining));
        }
        names
    }

    /// The next request that is not a deletion.
    fn next_other_call(
        &self,
        now: Micros,
        scale_out_permit: Option<CloudPermit>,
        permit: impl Fn(CloudAction) -> Option<CloudPermit>,
    ) -> Option<PermittedCloudCall> {
        let (kind, request, permit) = if now >= self.next_types_at {
            let permit = permit(CloudAction::Read)?;
            (CloudRequestKind::Types, CloudRequest::Types, permit)
        } else if let Some((pending, permit)) = self.scale_outs.front().zip(scale_out_permit) {
            let request = CloudRequest::ScaleOut(pending.request.clone());
            (CloudRequestKind::ScaleOut, request, permit)
        } else if now >= self.next_listing_at {
            let after = self.list_after.clone();
            let permit = permit(CloudAction::Read)?;
            (CloudRequestKind::List, CloudRequest::List { after }, permit)
        } else {
            return None;
        };
        Some(PermittedCloudCall {
            kind,
            request,
            permit,
        })
    }
}
