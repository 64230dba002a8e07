//! The waiting jobs in queue order: the order in which they compete for capacity.
//!
//! Jobs are kept in sub-queues, one for each combination of team, [`PlacementRequirements`] and
//! [`AgeingState`]. A [`QueueCursor`] merges the heads of the sub-queues. When a team is at its
//! quota, or no machine has capacity for the requirements, the caller skips the rest of the
//! sub-queue without examining its jobs.
//!
//! # Ageing
//!
//! Ageing subtracts the same amount from the virtual size of every ageing job, so it does not
//! change their order. Therefore an entry does not store the current virtual size, which would
//! have to be updated, but the virtual time at which it reaches zero: the size plus the virtual
//! time of the insertion. Only the virtual time, which all jobs share, advances. Virtual time
//! and sizes are in CPU-seconds.
//!
//! A job whose virtual size has reached zero is ordered by its remaining work instead and
//! belongs to another sub-queue. The owner of the queue has to replace the entries of such jobs
//! ([`JobQueue::next_aged_to_zero`]).

use crate::resources::OrderedFloat;
use crate::views::{JobIndex, PlacementRequirements};
use dillcleat_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, btree_set};
use std::rc::Rc;

/// How a job's virtual size is computed from [`QueueRank::size_key`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AgeingState {
    /// The virtual size has reached zero.
    Aged,
    /// The virtual size is the size key minus the virtual time.
    Ageing,
    /// The virtual size is the size key. Used for services and for jobs whose ageing is paused.
    Fixed,
}

/// The sort key of the jobs of a sub-queue: fields are compared in order, the least first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Services come first.
    pub service: Reverse<bool>,
    /// Higher priorities come first.
    pub priority: Reverse<Priority>,
    /// Tiny jobs, which have too few tasks to need training, come before others.
    pub tiny: Reverse<bool>,
    /// The virtual size in CPU-seconds or, for an ageing job, the virtual time at which it
    /// reaches zero (see [`AgeingState`]).
    pub size_key: OrderedFloat,
    /// The remaining work, in CPU-seconds, of a batch job whose virtual size is zero; infinite if
    /// it is too late for completing the job to be useful. For all other jobs it is 0.
    pub remaining: OrderedFloat,
    /// Wall-clock time in microseconds at which the job was submitted or, if later, its
    /// dependencies were met. Older jobs come first.
    pub ready_at_us: u64,
    /// The job's id, which makes the order total.
    pub id: Rc<str>,
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueEntry {
    /// Index of its team in the list of allowances.
    pub team: usize,
    /// The properties that decide which machines its tasks may run on.
    pub requirements: Rc<PlacementRequirements>,
    /// Whether and how its virtual size changes.
    pub ageing: AgeingState,
    /// Its rank in the urgent or the regular section.
    pub rank: QueueRank,
    /// Its rank, by initial size, in the training section; `None` if it has no training tasks to
    /// place.
    pub training: Option<QueueRank>,
}

impl QueueEntry {
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
            requirements: self.requirements.clone(),
            ageing: self.ageing,
        }
    }

    /// The sub-queue for training tasks, which are ordered by initial sizes that do not age.
    fn training_sub_queue(&self) -> SubQueueKey {
        SubQueueKey {
            ageing: AgeingState::Fixed,
            ..self.sub_queue()
        }
    }
}

/// A part of the queue, over which a [`QueueCursor`] iterates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueSection {
    /// Services and tiny jobs, which are placed before training tasks.
    Urgent,
    /// Jobs with training tasks to place, by initial size.
    Training,
    /// All jobs that are not urgent.
    Regular,
}

/// The properties that all jobs of a sub-queue share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SubQueueKey {
    team: usize,
    requirements: Rc<PlacementRequirements>,
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

/// The virtual time at which the virtual size of an ageing job reaches zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AgeingEnd {
    virtual_time: OrderedFloat,
    job: JobIndex,
}

impl AgeingEnd {
    fn of(job: JobIndex, entry: &QueueEntry) -> Option<AgeingEnd> {
        (entry.ageing == AgeingState::Ageing).then_some(AgeingEnd {
            virtual_time: entry.rank.size_key,
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
    /// Inserts or replaces the entry of a job; `None` removes it.
    pub fn set(&mut self, job: JobIndex, entry: Option<QueueEntry>) {
        let slot = job as usize;
        if slot >= self.entries.len() {
            self.entries.resize(slot + 1, None);
        }
        if self.entries[slot] == entry {
            return;
        }
        if let Some(old) = self.entries[slot].take() {
            self.remove(job, old);
        }
        if let Some(new) = entry {
            self.insert(job, &new);
            self.entries[slot] = Some(new);
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

    /// Returns a job whose entry is [`AgeingState::Ageing`] but whose virtual size has reached
    /// zero, if there is one. The caller has to replace its entry by [`set`](JobQueue::set).
    pub fn next_aged_to_zero(&self, virtual_time: f64) -> Option<JobIndex> {
        let end = self.ageing_ends.first()?;
        (end.virtual_time.0 <= virtual_time).then_some(end.job)
    }

    /// Whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.urgent.0.is_empty() && self.regular.0.is_empty()
    }

    /// A cursor over the jobs of a section, in order.
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

    /// All jobs of the urgent and the regular section in queue order. The training section, which
    /// contains some of the same jobs, is not used.
    pub fn iter_in_order(&self, virtual_time: f64) -> impl Iterator<Item = JobIndex> + '_ {
        let mut urgent = self.cursor(QueueSection::Urgent, virtual_time);
        let mut regular = self.cursor(QueueSection::Regular, virtual_time);
        // The sections are merged and not concatenated because a regular job of higher priority
        // comes before a tiny job.
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

/// A [`QueueRank`] evaluated at a virtual time, which makes it comparable across sub-queues.
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
            AgeingState::Ageing => (rank.size_key.0 - virtual_time).max(0.0),
            AgeingState::Fixed => rank.size_key.0,
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

/// The next job of a sub-queue.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubQueueHead<'q> {
    rank: EffectiveRank<'q>,
    job: JobIndex,
    sub_queue: usize,
}

/// The jobs of a sub-queue after its head.
#[derive(Debug)]
struct SubQueueIter<'q> {
    key: &'q SubQueueKey,
    jobs: btree_set::Iter<'q, QueuePosition>,
}

/// A job returned by a [`QueueCursor`].
#[derive(Debug, Clone, Copy)]
pub struct QueuedJob<'q> {
    /// Index into the table of jobs.
    pub index: JobIndex,
    /// Index of its sub-queue, to be passed to [`QueueCursor::advance`].
    pub sub_queue: usize,
    /// The requirements, which all jobs of the sub-queue share.
    pub requirements: &'q Rc<PlacementRequirements>,
}

/// Iterates over the jobs of a section in order, by merging its sub-queues.
///
/// After a job was returned, its sub-queue yields another one only if the caller calls
/// [`QueueCursor::advance`]; otherwise the rest of the sub-queue is skipped.
#[derive(Debug)]
pub struct QueueCursor<'q> {
    sub_queues: Vec<SubQueueIter<'q>>,
    heads: BinaryHeap<Reverse<SubQueueHead<'q>>>,
    virtual_time: f64,
}

impl<'q> QueueCursor<'q> {
    /// Removes and returns the first of the heads of all sub-queues.
    pub fn next_job(&mut self) -> Option<QueuedJob<'q>> {
        let Reverse(head) = self.heads.pop()?;
        Some(QueuedJob {
            index: head.job,
            sub_queue: head.sub_queue,
            requirements: &self.sub_queues[head.sub_queue].key.requirements,
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
