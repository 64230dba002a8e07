//! The desk that calls the cloud.

use crate::leadership_guard::{CloudAction, CloudPermit, DeletionReason};
use crate::{Micros, SECOND};
use dillcleat_wire::cloud::{CloudRequest, MAX_DELETE, ScaleOut};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What certainly was not carried out for so long is planned anew.
const STALE: Micros = 5 * SECOND;
/// One call may delete so many machines in any case, however small the fleet.
const FEW: usize = 5;

/// A rental that has no final answer yet.
#[derive(Debug, Clone)]
pub struct PendingScaleOut {
    pub request: ScaleOut,
    pub since: Micros,
    /// An earlier try may have been carried out: its name must be repeated
    /// until there is an answer.
    pub uncertain: bool,
}

/// A machine that is to be deleted.
#[derive(Debug, Clone, Copy)]
struct PendingDeletion {
    reason: DeletionReason,
    /// An earlier try may be carried out any time.
    uncertain: bool,
}

/// One call to the cloud at a time, within its rate, most urgent first.
#[derive(Debug)]
pub struct CloudQueue {
    rate: f64,
    tokens: f64,
    refilled: Micros,
    pub busy: bool,
    pub pause_until: Micros,
    deletes: BTreeMap<Rc<str>, PendingDeletion>,
    /// What the call under way deletes.
    deleting: Vec<Rc<str>>,
    /// Deletions and rentals take turns.
    deleted_last: bool,
    pub scale_outs: VecDeque<PendingScaleOut>,
    pub list_at: Micros,
    pub list_after: Option<String>,
    pub types_at: Micros,
    rented: u64,
}

/// Which call went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudRequestKind {
    Delete,
    ScaleOut,
    List,
    Types,
}

impl CloudQueue {
    pub fn new(rate: f64, now: Micros) -> Self {
        CloudQueue {
            rate,
            tokens: 1.0,
            refilled: now,
            busy: false,
            pause_until: now,
            deletes: BTreeMap::new(),
            deleting: Vec::new(),
            deleted_last: false,
            scale_outs: VecDeque::new(),
            list_at: now,
            list_after: None,
            types_at: now,
            rented: 0,
        }
    }

    /// A rental's name: never used again, by this node or another, since no
    /// other leader has this term.
    pub fn name(&mut self, term: u64) -> String {
        self.rented += 1;
        format!("t{term}-{}", self.rented)
    }

    /// Has a machine deleted; of several grounds the weightiest stands.
    pub fn delete(&mut self, name: Rc<str>, ground: DeletionReason) {
        let uncertain = false;
        let new = PendingDeletion {
            reason: ground,
            uncertain,
        };
        let deletion = self.deletes.entry(name).or_insert(new);
        deletion.reason = deletion.reason.min(ground);
    }

    /// Machines that are to be deleted.
    pub fn deletes(&self) -> impl Iterator<Item = &Rc<str>> {
        self.deletes.keys()
    }

    /// Whether the machine is to be deleted for a cancelled task.
    pub fn urgent(&self, name: &str) -> bool {
        let deletion = self.deletes.get(name);
        deletion.is_some_and(|d| d.reason == DeletionReason::Cancelled)
    }

    /// The machine that was to be deleted for its silence is heard: it stays, unless
    /// a call that deletes it may be carried out any time.
    pub fn withdraw(&mut self, name: &str) -> bool {
        let Some(d) = self.deletes.get(name) else {
            return false;
        };
        let stays = d.reason == DeletionReason::Silent
            && !d.uncertain
            && !self.deleting.iter().any(|n| **n == *name);
        if stays {
            self.deletes.remove(name);
        }
        stays
    }

    /// The deletion under way was carried out: the machines that are gone.
    pub fn deleted(&mut self) -> Vec<Rc<str>> {
        let names = std::mem::take(&mut self.deleting);
        for name in &names {
            self.deletes.remove(name);
        }
        names
    }

    /// The deletion under way was not answered with success; `uncertain` if it may
    /// be carried out all the same.
    pub fn not_deleted(&mut self, uncertain: bool) {
        for name in std::mem::take(&mut self.deleting) {
            if let Some(d) = self.deletes.get_mut(&name) {
                d.uncertain |= uncertain;
            }
        }
    }

    /// Takes the next machines to delete: those of weightier grounds first, and no
    /// more than `most` of those that may be in use when a late call reaches them.
    fn some(&self, most: usize, given: impl Fn(DeletionReason) -> bool) -> Vec<Rc<str>> {
        use DeletionReason::{Cancelled, Failed, Returned, Silent};
        let mut names = Vec::new();
        for ground in [Cancelled, Failed, Silent, Returned] {
            if !given(ground) {
                continue;
            }
            let room = match ground {
                Failed => MAX_DELETE - names.len(),
                _ => most.saturating_sub(names.len()),
            };
            let of = self.deletes.iter().filter(|(_, d)| d.reason == ground);
            names.extend(of.map(|(name, _)| name.clone()).take(room));
        }
        names
    }

    /// The next call, with a permit for it. `most` machines may one call delete; `permit`
    /// tells what may be done now.
    pub fn next(
        &mut self,
        now: Micros,
        most: usize,
        permit: impl Fn(CloudAction) -> Option<CloudPermit>,
    ) -> Option<(CloudRequestKind, CloudRequest, CloudPermit)> {
        self.tokens = (self.tokens
            + crate::seconds(now.saturating_sub(self.refilled)) * self.rate * 0.9)
            .min(self.rate.max(1.0));
        self.refilled = now;
        if self.busy || now < self.pause_until || self.tokens < 1.0 {
            return None;
        }
        let rent = permit(CloudAction::ScaleOut);
        if rent.is_none() {
            // By the time that there is a permit again another plan fits better.
            self.scale_outs
                .retain(|r| r.uncertain || now < r.since + STALE);
        }
        let rent = rent.filter(|_| !self.scale_outs.is_empty());
        let mut delete = Vec::new();
        if !self.deletes.is_empty() && (rent.is_none() || !self.deleted_last) {
            let given = |ground| permit(CloudAction::Delete(ground)).is_some();
            delete = self.some(most.clamp(FEW, MAX_DELETE), given);
        }
        let grounds = delete.iter().filter_map(|n| self.deletes.get(n));
        let heaviest = grounds.map(|d| d.reason).min();
        let next = if let Some(ground) = heaviest {
            let names = delete.iter().map(|n| n.to_string()).collect();
            self.deleting = delete;
            let call = CloudRequest::Delete(names);
            (
                CloudRequestKind::Delete,
                call,
                permit(CloudAction::Delete(ground))?,
            )
        } else if now >= self.types_at {
            (
                CloudRequestKind::Types,
                CloudRequest::Types,
                permit(CloudAction::Look)?,
            )
        } else if let Some((r, permit)) = self.scale_outs.front().zip(rent) {
            (
                CloudRequestKind::ScaleOut,
                CloudRequest::ScaleOut(r.request.clone()),
                permit,
            )
        } else if now >= self.list_at {
            let after = self.list_after.clone();
            (
                CloudRequestKind::List,
                CloudRequest::List { after },
                permit(CloudAction::Look)?,
            )
        } else {
            return None;
        };
        self.deleted_last = next.0 == CloudRequestKind::Delete;
        self.busy = true;
        self.tokens -= 1.0;
        Some(next)
    }

    /// What an answer, or none, to a rental means for it.
    pub fn not_rented(&mut self, now: Micros, uncertain: bool) {
        if let Some(r) = self.scale_outs.front_mut() {
            r.uncertain |= uncertain;
            if !r.uncertain && now > r.since + STALE {
                self.scale_outs.pop_front();
            }
        }
    }

    /// The cloud is in trouble or out of reach: nothing but renting and
    /// returning stalls.
    pub fn pause(&mut self, now: Micros) {
        self.pause_until = now + SECOND;
    }
}
