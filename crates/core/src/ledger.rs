//! Batched writes of the leader, fenced by its term.
//!
//! One transaction is under way at a time. It compares the term, the version
//! of every chunk it sets (so a copy of it that is applied late fails), and
//! the record of every job that it places tasks of or ends (so a cancellation
//! elsewhere wins). Records are made from memory when the batch is sent; what
//! depends on them is done once the batch is acknowledged.

use crate::workers::TaskKey;
use dillcleat_wire::state::Txn;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Something to be written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// The tasks of one chunk of a job.
    Chunk(Rc<str>, u32),
    /// Every task of the job is done.
    Done(Rc<str>),
    /// The job is cancelled and all its tasks are gone.
    Clear(Rc<str>),
    Machine(String),
    /// A key that nothing needs any more.
    Drop(String),
    Types,
}

/// A batch under way.
#[derive(Debug, Clone)]
pub struct Batch {
    pub txn: Txn,
    pub items: Vec<Item>,
    /// New placements in it: task, attempt.
    pub placed: Vec<(TaskKey, u64)>,
    /// An earlier try had no answer, so it may have been applied.
    pub uncertain: bool,
}

impl Item {
    /// Nothing waits for it: a machine's address helps a later leader, and a
    /// key that is not needed may stay a while. A fleet that boots at once
    /// has hundreds of them, and placements do not queue behind.
    fn can_wait(&self) -> bool {
        matches!(self, Item::Machine(_) | Item::Drop(_))
    }
}

#[derive(Debug, Default)]
pub struct Ledger {
    queue: VecDeque<Item>,
    /// What can wait, written in the room that the queue leaves in a batch.
    later: VecDeque<Item>,
    queued: BTreeSet<Item>,
    /// What may be written now of what can wait, and since when it has grown.
    spare: (f64, crate::Micros),
    pub batch: Option<Batch>,
    /// The batch waits to be sent again until then.
    pub resend_at: Option<crate::Micros>,
}

impl Ledger {
    pub fn push(&mut self, item: Item) {
        if self.queued.insert(item.clone()) {
            if item.can_wait() {
                self.later.push_back(item);
            } else {
                self.queue.push_back(item);
            }
        }
    }

    pub fn push_front(&mut self, item: Item) {
        if self.queued.insert(item.clone()) {
            if item.can_wait() {
                self.later.push_front(item);
            } else {
                self.queue.push_front(item);
            }
        }
    }

    pub fn pop(&mut self) -> Option<Item> {
        let item = self.queue.pop_front()?;
        self.queued.remove(&item);
        Some(item)
    }

    /// What can wait gets a part of the store's writes: a burst of it would
    /// use up the rate that placements and submissions live on.
    pub fn pop_later(&mut self) -> Option<Item> {
        if self.spare.0 < 1.0 {
            return None;
        }
        let item = self.later.pop_front()?;
        self.spare.0 -= 1.0;
        self.queued.remove(&item);
        Some(item)
    }

    /// Lets what can wait have its part, `per_s` writes a second.
    pub fn refill(&mut self, now: crate::Micros, per_s: f64) {
        let grown = crate::seconds(now.saturating_sub(self.spare.1)) * per_s;
        self.spare = ((self.spare.0 + grown).min(per_s.max(1.0)), now);
    }

    /// Nothing is to be written now.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && (self.later.is_empty() || self.spare.0 < 1.0)
    }

    /// Whether a chunk's latest change is in the store.
    pub fn settled(&self, job: &Rc<str>, chunk: u32) -> bool {
        let item = Item::Chunk(job.clone(), chunk);
        !self.queued.contains(&item) && self.batch.as_ref().is_none_or(|b| !b.items.contains(&item))
    }
}
