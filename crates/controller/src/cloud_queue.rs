//! The queue of calls to the cloud: one at a time, within the allowed rate, the most urgent
//! first.

use crate::leadership_guard::{CloudAction, CloudPermit, DeletionReason};
use crate::{Micros, SECOND, seconds};
use dillcleat_wire::cloud::{CloudRequest, MAX_MACHINES_PER_DELETION, ScaleOut};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A scale-out that certainly was not carried out for this long is planned anew.
const SCALE_OUT_EXPIRY: Micros = 5 * SECOND;
/// The number of machines that one call may delete however small the fleet is.
const MIN_DELETION_LIMIT: usize = 5;
/// The part of the cloud's call rate that is used.
const USED_RATE_SHARE: f64 = 0.9;
/// How long calls pause after the cloud has failed.
const FAILURE_PAUSE: Micros = SECOND;

/// A scale-out that has no final answer yet.
#[derive(Debug, Clone)]
struct PendingScaleOut {
    request: ScaleOut,
    since: Micros,
    /// An earlier try may have been carried out: its request name must be repeated until
    /// there is an answer.
    uncertain: bool,
}

/// A machine that is to be deleted.
#[derive(Debug, Clone, Copy)]
struct PendingDeletion {
    reason: DeletionReason,
    /// An earlier try may be carried out at any time.
    uncertain: bool,
}

/// Which call went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudRequestKind {
    /// Deletes machines.
    Delete,
    /// Starts machines.
    ScaleOut,
    /// Asks for a page of the list of machines.
    List,
    /// Asks for the machine types.
    Types,
}

impl CloudRequestKind {
    /// Its name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            CloudRequestKind::Delete => "delete",
            CloudRequestKind::ScaleOut => "scale-out",
            CloudRequestKind::List => "list",
            CloudRequestKind::Types => "types",
        }
    }
}

/// A call that may be sent now.
#[derive(Debug)]
pub struct PermittedCloudCall {
    /// Which kind of request it is.
    pub kind: CloudRequestKind,
    /// The request to send.
    pub request: CloudRequest,
    /// The permit that the request is sent with.
    pub permit: CloudPermit,
}

/// Calls that are to be made to the cloud, and the one in flight.
#[derive(Debug)]
pub struct CloudQueue {
    /// Calls per second that the cloud allows.
    rate: f64,
    /// Calls that may be made now. Not a [`crate::token_bucket::TokenBucket`]: that one
    /// rounds differently, and with it the times of calls would change.
    tokens: f64,
    tokens_refilled_at: Micros,
    call_in_flight: bool,
    paused_until: Micros,
    deletions: BTreeMap<Rc<str>, PendingDeletion>,
    /// What the call in flight deletes.
    deletions_in_flight: Vec<Rc<str>>,
    /// Whether the last call was a deletion: deletions and scale-outs take turns.
    deleted_last: bool,
    scale_outs: VecDeque<PendingScaleOut>,
    next_listing_at: Micros,
    /// The last machine of the page before, while a listing goes on.
    list_after: Option<String>,
    next_types_at: Micros,
    scale_outs_named: u64,
}

impl CloudQueue {
    /// An empty queue for a cloud that allows `rate` calls per second.
    pub fn new(rate: f64, now: Micros) -> Self {
        CloudQueue {
            rate,
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
            scale_outs_named: 0,
        }
    }

    /// A new name for a scale-out request. It is never used again, by this node or another,
    /// since no other leader has this term; by it the cloud knows a repeated request.
    pub fn new_request_name(&mut self, term: u64) -> String {
        self.scale_outs_named += 1;
        format!("t{term}-{}", self.scale_outs_named)
    }

    /// Has machines started.
    pub fn scale_out(&mut self, request: ScaleOut, now: Micros) {
        self.scale_outs.push_back(PendingScaleOut {
            request,
            since: now,
            uncertain: false,
        });
    }

    /// Whether a scale-out has no final answer yet.
    pub fn has_scale_outs(&self) -> bool {
        !self.scale_outs.is_empty()
    }

    /// The scale-out in flight has its final answer.
    pub fn finish_scale_out(&mut self) -> Option<ScaleOut> {
        self.scale_outs.pop_front().map(|pending| pending.request)
    }

    /// The scale-out in flight has no final answer; it is `uncertain` if it may be carried
    /// out all the same.
    pub fn scale_out_failed(&mut self, now: Micros, uncertain: bool) {
        if let Some(pending) = self.scale_outs.front_mut() {
            pending.uncertain |= uncertain;
            if !pending.uncertain && now > pending.since + SCALE_OUT_EXPIRY {
                self.scale_outs.pop_front();
            }
        }
    }

    /// Has a machine deleted; of several reasons the most urgent stands.
    pub fn delete(&mut self, name: Rc<str>, reason: DeletionReason) {
        let deletion = self.deletions.entry(name).or_insert(PendingDeletion {
            reason,
            uncertain: false,
        });
        deletion.reason = deletion.reason.min(reason);
    }

    /// Machines that are to be deleted.
    pub fn deletions(&self) -> impl Iterator<Item = &Rc<str>> {
        self.deletions.keys()
    }

    /// Whether the machine is to be deleted for a cancelled task.
    pub fn is_deletion_urgent(&self, name: &str) -> bool {
        let deletion = self.deletions.get(name);
        deletion.is_some_and(|d| d.reason == DeletionReason::Cancelled)
    }

    /// Withdraws the deletion of a machine that was to be deleted for its silence and is
    /// heard again, unless a call that deletes it may be carried out at any time. Returns
    /// whether it is withdrawn.
    pub fn withdraw(&mut self, name: &str) -> bool {
        let Some(deletion) = self.deletions.get(name) else {
            return false;
        };
        let withdrawn = deletion.reason == DeletionReason::Silent
            && !deletion.uncertain
            && !self.deletions_in_flight.iter().any(|n| **n == *name);
        if withdrawn {
            self.deletions.remove(name);
        }
        withdrawn
    }

    /// The deletion in flight was carried out. Returns the machines that are gone.
    pub fn finish_deletion(&mut self) -> Vec<Rc<str>> {
        let names = std::mem::take(&mut self.deletions_in_flight);
        for name in &names {
            self.deletions.remove(name);
        }
        names
    }

    /// The deletion in flight had no success; it is `uncertain` if it may be carried out
    /// all the same.
    pub fn deletion_failed(&mut self, uncertain: bool) {
        for name in std::mem::take(&mut self.deletions_in_flight) {
            if let Some(deletion) = self.deletions.get_mut(&name) {
                deletion.uncertain |= uncertain;
            }
        }
    }

    /// Has the next page of the list of machines asked for at `at`; it begins after the
    /// machine `after`, or with the first.
    pub fn schedule_listing(&mut self, at: Micros, after: Option<String>) {
        self.next_listing_at = at;
        self.list_after = after;
    }

    /// Has the machine types asked for at `at`.
    pub fn schedule_types(&mut self, at: Micros) {
        self.next_types_at = at;
    }

    /// The call in flight has ended.
    pub fn call_finished(&mut self) {
        self.call_in_flight = false;
    }

    /// Sends nothing for a while, since the cloud fails or is out of reach. Nothing else
    /// than scaling out and in stalls with it.
    pub fn pause(&mut self, now: Micros) {
        self.paused_until = now + FAILURE_PAUSE;
    }

    /// Takes the next call, if there is one that may be sent now. It deletes no more than
    /// `deletion_limit` machines that may be in use; `permit` tells what may be done now.
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
            // By the time that there is a permit again another plan fits better.
            self.scale_outs
                .retain(|pending| pending.uncertain || now < pending.since + SCALE_OUT_EXPIRY);
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
        let tokens = self.tokens + passed_s * self.rate * USED_RATE_SHARE;
        self.tokens = tokens.min(self.rate.max(1.0));
        self.tokens_refilled_at = now;
    }

    /// The next call that deletes machines, if there are any that may be deleted now. Its
    /// permit is that of the most urgent reason.
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

    /// The next machines to delete: those of more urgent reasons first, and no more than
    /// the limit of those that may be in use when a late call reaches them.
    fn most_urgent_deletions(
        &self,
        limit: usize,
        is_permitted: impl Fn(DeletionReason) -> bool,
    ) -> Vec<Rc<str>> {
        use DeletionReason::{Cancelled, Failed, Returned, Silent};
        let limit = limit.clamp(MIN_DELETION_LIMIT, MAX_MACHINES_PER_DELETION);
        let mut names = Vec::new();
        for reason in [Cancelled, Failed, Silent, Returned] {
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

    /// The next call that is not a deletion.
    fn next_other_call(
        &self,
        now: Micros,
        scale_out_permit: Option<CloudPermit>,
        permit: impl Fn(CloudAction) -> Option<CloudPermit>,
    ) -> Option<PermittedCloudCall> {
        let (kind, request, permit) = if now >= self.next_types_at {
            let permit = permit(CloudAction::Look)?;
            (CloudRequestKind::Types, CloudRequest::Types, permit)
        } else if let Some((pending, permit)) = self.scale_outs.front().zip(scale_out_permit) {
            let request = CloudRequest::ScaleOut(pending.request.clone());
            (CloudRequestKind::ScaleOut, request, permit)
        } else if now >= self.next_listing_at {
            let after = self.list_after.clone();
            let permit = permit(CloudAction::Look)?;
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
