//! The waiting jobs in the order in which they compete for capacity.
//!
//! Jobs are kept in sub-queues, one for each team, [`ResourceRequest`] and [`AgeingState`], and
//! a [`QueueCursor`] merges the heads of the sub-queues. When a team is at its quota, or there
//! is no capacity for a request, the cursor leaves the whole sub-queue: its other jobs are not
//! looked at.
//!
//! # Ageing
//!
//! Ageing subtracts the same amount from the virtual size of every ageing job, so it does not
//! change their order. Therefore no size is stored that would have to be updated: a job is
//! entered with the virtual time at which its size will be zero (its size plus the virtual time
//! at the moment), and only the virtual time, common to all jobs, advances. Virtual time and
//! sizes are in CPU seconds.
//!
//! A job whose size is zero is ordered by its remaining work instead and belongs to another
//! sub-queue. The owner of the queue has to move it when its time has come
//! ([`JobQueue::next_aged_to_zero`]).

use crate::resources::OrderedFloat;
use crate::views::{JobIndex, ResourceRequest};
use dillcleat_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, btree_set};
use std::rc::Rc;

/// How a job's virtual size follows from [`QueueRank::size`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AgeingState {
    /// The virtual size has aged to zero.
    Aged,
    /// The virtual size is `size` less the virtual time.
    Ageing,
    /// The virtual size is `size`: for services, and for jobs that do not age at present.
    Fixed,
}

/// The order of the jobs of a sub-queue: field by field, the least first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Services come first.
    pub service: Reverse<bool>,
    /// Higher priorities come first.
    pub priority: Reverse<Priority>,
    /// Tiny jobs come before others.
    pub tiny: Reverse<bool>,
    /// The virtual size in CPU seconds, or for an ageing job the virtual time at which it is
    /// zero ([`AgeingState`]).
    pub size: OrderedFloat,
    /// The remaining work in CPU seconds: orders jobs that have aged to zero; 0 for all others.
    pub remaining: OrderedFloat,
    /// Time of day in microseconds at which the job was submitted or, if later, its dependencies
    /// were met: older jobs come first among equals.
    pub ready_at_us: u64,
    /// The job's id, which makes the order unambiguous.
    pub id: Rc<str>,
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueEntry {
    /// Position of its team in the list of allowances.
    pub team: usize,
    /// What decides where its tasks may run.
    pub request: Rc<ResourceRequest>,
    /// How its virtual size moves.
    pub ageing: AgeingState,
    /// Its rank among all jobs.
    pub rank: QueueRank,
    /// Its rank, by initial size, among jobs that have training tasks to place.
    pub training: Option<QueueRank>,
}

impl QueueEntry {
    /// Services and tiny jobs go before training tasks.
    fn section(&self) -> QueueSection {
        if self.rank.service.0 || self.rank.tiny.0 {
            QueueSection::Urgent
        } else {
            QueueSection::Regular
        }
    }

    fn sub_queue(&self) -> SubQueueKey {
        SubQueueKey {
            team: self.team,
            request: self.request.clone(),
            ageing: self.ageing,
        }
    }

    /// Initial sizes do not age.
    fn training_sub_queue(&self) -> SubQueueKey {
        SubQueueKey {
            ageing: AgeingState::Fixed,
            ..self.sub_queue()
        }
    }
}

/// Which jobs a [`QueueCursor`] goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueSection {
    /// Services and tiny jobs.
    Urgent,
    /// Jobs with training tasks to place, by initial size.
    Training,
    /// All jobs that are not urgent.
    Regular,
}

/// What the jobs of a sub-queue have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SubQueueKey {
    team: usize,
    request: Rc<ResourceRequest>,
    ageing: AgeingState,
}

/// The position of a job in its sub-queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    rank: QueueRank,
    job: JobIndex,
}

/// The sub-queues of one section.
#[derive(Debug, Default)]
struct SubQueues(BTreeMap<SubQueueKey, BTreeSet<QueuePosition>>);

impl SubQueues {
    fn insert(&mut self, key: SubQueueKey, position: QueuePosition) {
        self.0.entry(key).or_default().insert(position);
    }

    fn remove(&mut self, key: &SubQueueKey, position: &QueuePosition) {
        if let Some(jobs) = self.0.get_mut(key) {
            jobs.remove(position);
            if jobs.is_empty() {
                self.0.remove(key);
            }
        }
    }
}

/// When the virtual size of an ageing job is zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AgeingEnd {
    virtual_time: OrderedFloat,
    job: JobIndex,
}

impl AgeingEnd {
    fn of(job: JobIndex, entry: &QueueEntry) -> Option<AgeingEnd> {
        (entry.ageing == AgeingState::Ageing).then_some(AgeingEnd {
            virtual_time: entry.rank.size,
            job,
        })
    }
}

/// The waiting jobs (see the [module](self)).
#[derive(Debug, Default)]
pub struct JobQueue {
    /// Indexed by [`JobIndex`].
    entries: Vec<Option<QueueEntry>>,
    urgent: SubQueues,
    training: SubQueues,
    regular: SubQueues,
    ageing_ends: BTreeSet<AgeingEnd>,
}

impl JobQueue {
    /// Replaces the entry of a job; None removes the job.
    pub fn set(&mut self, job: JobIndex, entry: Option<QueueEntry>) {
        let position = job as usize;
        if position >= self.entries.len() {
            self.entries.resize(position + 1, None);
        }
        if self.entries[position] == entry {
            return;
        }
        if let Some(old) = self.entries[position].take() {
            self.remove(job, old);
        }
        if let Some(new) = entry {
            self.insert(job, &new);
            self.entries[position] = Some(new);
        }
    }

    fn insert(&mut self, job: JobIndex, entry: &QueueEntry) {
        self.ageing_ends.extend(AgeingEnd::of(job, entry));
        let rank = entry.rank.clone();
        self.section_mut(entry.section())
            .insert(entry.sub_queue(), QueuePosition { rank, job });
        if let Some(rank) = entry.training.clone() {
            self.training
                .insert(entry.training_sub_queue(), QueuePosition { rank, job });
        }
    }

    fn remove(&mut self, job: JobIndex, entry: QueueEntry) {
        if let Some(end) = AgeingEnd::of(job, &entry) {
            self.ageing_ends.remove(&end);
        }
        let section = entry.section();
        let sub_queue = entry.sub_queue();
        let training_sub_queue = entry.training_sub_queue();
        let rank = entry.rank;
        self.section_mut(section)
            .remove(&sub_queue, &QueuePosition { rank, job });
        if let Some(rank) = entry.training {
            self.training
                .remove(&training_sub_queue, &QueuePosition { rank, job });
        }
    }

    fn section(&self, section: QueueSection) -> &SubQueues {
        match section {
            QueueSection::Urgent => &self.urgent,
            QueueSection::Training => &self.training,
            QueueSection::Regular => &self.regular,
        }
    }

    fn section_mut(&mut self, section: QueueSection) -> &mut SubQueues {
        match section {
            QueueSection::Urgent => &mut self.urgent,
            QueueSection::Training => &mut self.training,
            QueueSection::Regular => &mut self.regular,
        }
    }

    /// A job whose entry says [`AgeingState::Ageing`] and whose virtual size is zero by now, if
    /// there is one. The caller has to [`set`](JobQueue::set) its entry anew.
    pub fn next_aged_to_zero(&self, virtual_time: f64) -> Option<JobIndex> {
        let end = self.ageing_ends.first()?;
        (end.virtual_time.0 <= virtual_time).then_some(end.job)
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.urgent.0.is_empty() && self.regular.0.is_empty()
    }

    /// Goes over a section of the queue, in order.
    pub fn cursor(&self, section: QueueSection, virtual_time: f64) -> QueueCursor<'_> {
        let sub_queues = self.section(section).0.iter();
        let mut cursor = QueueCursor {
            sub_queues: sub_queues
                .map(|(key, jobs)| SubQueueIter {
                    key,
                    jobs: jobs.iter(),
                })
                .collect(),
            heads: BinaryHeap::new(),
            virtual_time,
        };
        for sub_queue in 0..cursor.sub_queues.len() {
            cursor.advance(sub_queue);
        }
        cursor
    }

    /// All jobs in the order in which they compete, training tasks aside.
    pub fn iter_in_order(&self, virtual_time: f64) -> impl Iterator<Item = JobIndex> + '_ {
        let mut urgent = self.cursor(QueueSection::Urgent, virtual_time);
        let mut regular = self.cursor(QueueSection::Regular, virtual_time);
        // The priority counts before whether a job is tiny, so the sections are merged.
        std::iter::from_fn(move || {
            let urgent_is_next = match (urgent.heads.peek(), regular.heads.peek()) {
                (Some(urgent), Some(regular)) => urgent.0.rank <= regular.0.rank,
                (urgent, _) => urgent.is_some(),
            };
            let cursor = if urgent_is_next {
                &mut urgent
            } else {
                &mut regular
            };
            let queued = cursor.next_job()?;
            cursor.advance(queued.sub_queue);
            Some(queued.index)
        })
    }
}

/// A [`QueueRank`] at a given virtual time, comparable between sub-queues.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EffectiveRank<'q> {
    service: Reverse<bool>,
    priority: Reverse<Priority>,
    tiny: Reverse<bool>,
    virtual_size: OrderedFloat,
    remaining: OrderedFloat,
    ready_at_us: u64,
    id: &'q str,
}

impl<'q> EffectiveRank<'q> {
    fn at(virtual_time: f64, ageing: AgeingState, rank: &'q QueueRank) -> EffectiveRank<'q> {
        let virtual_size = match ageing {
            AgeingState::Aged => 0.0,
            AgeingState::Ageing => (rank.size.0 - virtual_time).max(0.0),
            AgeingState::Fixed => rank.size.0,
        };
        EffectiveRank {
            service: rank.service,
            priority: rank.priority,
            tiny: rank.tiny,
            virtual_size: OrderedFloat(virtual_size),
            remaining: rank.remaining,
            ready_at_us: rank.ready_at_us,
            id: &rank.id,
        }
    }
}

/// The first job of a sub-queue that has not been returned yet.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubQueueHead<'q> {
    rank: EffectiveRank<'q>,
    job: JobIndex,
    sub_queue: usize,
}

/// The jobs of a sub-queue behind its head.
#[derive(Debug)]
struct SubQueueIter<'q> {
    key: &'q SubQueueKey,
    jobs: btree_set::Iter<'q, QueuePosition>,
}

/// A job whose turn it is.
#[derive(Debug, Clone, Copy)]
pub struct QueuedJob<'q> {
    /// Which job.
    pub index: JobIndex,
    /// Its sub-queue, for [`QueueCursor::advance`].
    pub sub_queue: usize,
    /// The request of all jobs of the sub-queue.
    pub request: &'q Rc<ResourceRequest>,
}

/// Goes over the jobs of a section in order: a merge of its sub-queues.
///
/// A sub-queue contributes its next job only after [`QueueCursor::advance`]: one that the
/// caller does not advance is left for good.
#[derive(Debug)]
pub struct QueueCursor<'q> {
    sub_queues: Vec<SubQueueIter<'q>>,
    heads: BinaryHeap<Reverse<SubQueueHead<'q>>>,
    virtual_time: f64,
}

impl<'q> QueueCursor<'q> {
    /// The first of the heads of all sub-queues.
    pub fn next_job(&mut self) -> Option<QueuedJob<'q>> {
        let Reverse(head) = self.heads.pop()?;
        Some(QueuedJob {
            index: head.job,
            sub_queue: head.sub_queue,
            request: &self.sub_queues[head.sub_queue].key.request,
        })
    }

    /// Makes the next job of a sub-queue its head.
    pub fn advance(&mut self, sub_queue: usize) {
        let SubQueueIter { key, jobs } = &mut self.sub_queues[sub_queue];
        if let Some(position) = jobs.next() {
            self.heads.push(Reverse(SubQueueHead {
                rank: EffectiveRank::at(self.virtual_time, key.ageing, &position.rank),
                job: position.job,
                sub_queue,
            }));
        }
    }
}
