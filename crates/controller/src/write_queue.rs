//! Batched writes of the leader, fenced by its term.
//!
//! One transaction is under way at a time. It compares the term, the version
//! of every chunk it sets (so a copy of it that is applied late fails), and
//! the record of every job that it places tasks of or ends (so a cancellation
//! elsewhere wins). Records are made from memory when the batch is sent; what
//! depends on them is done once the batch is acknowledged.

use crate::records::TaskRange;
use crate::task_key::TaskKey;
use crate::token_bucket::TokenBucket;
use dillcleat_wire::store::Transaction;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Something to be written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// Some tasks of a job.
    Tasks(Rc<str>, TaskRange),
    /// Every task of the job is done.
    Done(Rc<str>),
    /// A job that the job waits for is cancelled, and so is this one.
    Cancel(Rc<str>),
    /// The job is cancelled and all its tasks are gone.
    Clear(Rc<str>),
    Machine(String),
    /// A key that nothing needs any more.
    Drop(String),
    Types,
}

/// A batch under way.
#[derive(Debug, Clone)]
pub struct WriteBatch {
    pub txn: Transaction,
    pub items: Vec<PendingWrite>,
    /// New placements in it: task, attempt.
    pub placed: Vec<(TaskKey, u64)>,
    /// An earlier try had no answer, so it may have been applied.
    pub uncertain: bool,
}

impl WriteBatch {
    /// How much is in it.
    pub fn mark(&self) -> (usize, usize, usize) {
        let txn = &self.txn;
        (txn.then.len(), txn.compare.len(), self.placed.len())
    }

    /// Takes out again what was added since.
    pub fn back_to(&mut self, (changes, conditions, placed): (usize, usize, usize)) {
        self.txn.then.truncate(changes);
        self.txn.compare.truncate(conditions);
        self.placed.truncate(placed);
    }

    /// A key of it that nobody but its leader writes.
    pub fn own_key(&self) -> Option<String> {
        let mut keys = self.txn.compare.iter().map(|c| &c.key);
        keys.find(|k| k.starts_with(crate::records::TASKS)).cloned()
    }

    /// The version that a key had as the batch was made.
    pub fn version(&self, key: &str) -> u64 {
        let of_key = self.txn.compare.iter().find(|c| c.key == key);
        of_key.map_or(0, |c| c.version)
    }
}

impl PendingWrite {
    /// Nothing waits for it: a machine's address helps a later leader, and a
    /// key that is not needed may stay a while. A fleet that boots at once
    /// has hundreds of them, and placements do not queue behind.
    fn can_wait(&self) -> bool {
        matches!(self, PendingWrite::Machine(_) | PendingWrite::Drop(_))
    }
}

/// How many changes a leader makes: as many as the state service takes, less what users'
/// submissions need. Whoever went by refusals alone took all that there was, and what
/// was refused were submissions.
#[derive(Debug)]
pub struct WriteRate {
    per_s: f64,
    saved: TokenBucket,
}

impl WriteRate {
    /// A leader's part of the changes that the state service takes.
    const PART: f64 = 0.85;
    /// For how much of a second it may save up.
    const SAVED: f64 = 0.6;

    pub fn new(write_rps: f64) -> WriteRate {
        WriteRate {
            per_s: write_rps * WriteRate::PART,
            saved: TokenBucket::default(),
        }
    }

    /// From now on so many a second are taken at most.
    pub fn limit(&mut self, write_rps: f64) {
        self.per_s = self.per_s.min(write_rps * WriteRate::PART);
    }

    /// How many changes may be made now.
    pub fn room(&mut self, now: crate::Micros) -> usize {
        let most = (self.per_s * WriteRate::SAVED).max(4.0);
        self.saved.grow(now, self.per_s, most) as usize
    }

    pub fn take(&mut self, changes: usize) {
        self.saved.left -= changes as f64;
    }
}

#[derive(Debug, Default)]
pub struct WriteQueue {
    queue: VecDeque<PendingWrite>,
    /// Cancellations that follow from others: up to half of a batch while there is
    /// anything else. A thousand jobs that wait for one that is cancelled do not hold
    /// up placements, and neither are they held up.
    cancels: VecDeque<PendingWrite>,
    /// What can wait, written in the room that the queue leaves in a batch.
    later: VecDeque<PendingWrite>,
    /// What the state service has refused by itself, to be tried again at a time.
    aside: Vec<(crate::Micros, PendingWrite)>,
    /// The most items in a batch, after a larger one was refused.
    pub most: Option<usize>,
    queued: BTreeSet<PendingWrite>,
    /// What may be written now of what can wait.
    spare: TokenBucket,
    pub batch: Option<WriteBatch>,
    /// The batch waits to be sent again until then.
    pub resend_at: Option<crate::Micros>,
}

impl WriteQueue {
    fn lane(&mut self, item: &PendingWrite) -> &mut VecDeque<PendingWrite> {
        match item {
            PendingWrite::Cancel(_) => &mut self.cancels,
            _ if item.can_wait() => &mut self.later,
            _ => &mut self.queue,
        }
    }

    pub fn push(&mut self, item: PendingWrite) {
        if self.queued.insert(item.clone()) {
            self.lane(&item).push_back(item);
        }
    }

    pub fn push_front(&mut self, item: PendingWrite) {
        if self.queued.insert(item.clone()) {
            self.lane(&item).push_front(item);
        }
    }

    /// What comes next into a batch of so many items, of which `cancels` are
    /// cancellations that follow from others.
    pub fn pop(&mut self, items: usize, cancels: usize) -> Option<PendingWrite> {
        let turn = self.queue.is_empty() || cancels * 2 < items;
        let cancel = turn.then(|| self.cancels.pop_front()).flatten();
        let item = cancel.or_else(|| self.queue.pop_front())?;
        self.queued.remove(&item);
        Some(item)
    }

    /// Puts an item aside until then. It stays queued: nobody takes it for written.
    pub fn put_aside(&mut self, item: PendingWrite, until: crate::Micros) {
        self.queued.insert(item.clone());
        self.aside.push((until, item));
    }

    /// Takes back what was put aside and is due.
    pub fn take_back(&mut self, now: crate::Micros) {
        if self.aside.iter().any(|(at, _)| now >= *at) {
            let aside = std::mem::take(&mut self.aside);
            for (at, item) in aside {
                if now >= at {
                    self.lane(&item).push_back(item);
                } else {
                    self.aside.push((at, item));
                }
            }
        }
    }

    /// What can wait gets a part of the store's writes: a burst of it would
    /// use up the rate that placements and submissions live on.
    pub fn pop_later(&mut self) -> Option<PendingWrite> {
        if self.spare.left < 1.0 {
            return None;
        }
        let item = self.later.pop_front()?;
        self.spare.left -= 1.0;
        self.queued.remove(&item);
        Some(item)
    }

    /// Lets what can wait have its part, `per_s` writes a second.
    pub fn refill(&mut self, now: crate::Micros, per_s: f64) {
        self.spare.grow(now, per_s, per_s.max(1.0));
    }

    /// Nothing is to be written now.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
            && self.cancels.is_empty()
            && (self.later.is_empty() || self.spare.left < 1.0)
    }

    /// Whether a cancellation that follows from another is to be written.
    pub fn cancels(&self, job: &Rc<str>) -> bool {
        let item = PendingWrite::Cancel(job.clone());
        self.queued.contains(&item) || self.batch.as_ref().is_some_and(|b| b.items.contains(&item))
    }

    /// Whether the latest change of these tasks is in the store.
    pub fn settled(&self, job: &Rc<str>, span: TaskRange) -> bool {
        let item = PendingWrite::Tasks(job.clone(), span);
        !self.queued.contains(&item) && self.batch.as_ref().is_none_or(|b| !b.items.contains(&item))
    }
}
