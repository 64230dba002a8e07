//! Waiting jobs in the order in which they compete for freed room.
//!
//! Jobs stand in lanes, one for each team and shape, and a walk merges the
//! heads of the lanes. A lane whose team is at its limit, or for whose shape
//! there is no room, is left as a whole: its jobs are not looked at.
//!
//! Ageing takes the same off the virtual size of every active job, so it does
//! not change their order: a job enters with the reading of a common clock at
//! which it will have aged to zero, and the clock alone moves. Only jobs at
//! zero, which go by what is left of them, stand apart; the owner of the line
//! moves a job there when its time has come ([`JobQueue::aged`]).

use crate::resources::OrderedFloat;
use crate::views::{ResourceRequest, SlabIndex};
use dillcleat_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, btree_set};
use std::rc::Rc;

/// How a job's virtual size moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AgeingState {
    /// It has aged to zero.
    Aged,
    /// It is `size` less the reading of the clock.
    Ageing,
    /// It stays `size`: of services, and of jobs that do not age at present.
    Fixed,
}

/// Where a job stands in its lane, first to last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    pub service: Reverse<bool>,
    pub priority: Reverse<Priority>,
    pub tiny: Reverse<bool>,
    /// The virtual size, or what it is with the clock added ([`AgeingState`]).
    pub size: OrderedFloat,
    /// What is left to run: orders jobs that have aged to zero, and 0 for others.
    pub remaining: OrderedFloat,
    /// Time of day of the submission: older first among equals.
    pub submitted: u64,
    pub id: Rc<str>,
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueEntry {
    pub team: usize,
    pub request: Rc<ResourceRequest>,
    pub ageing: AgeingState,
    pub rank: QueueRank,
    /// Its place among jobs that train, by initial size.
    pub training: Option<QueueRank>,
}

impl QueueEntry {
    /// Services and tiny jobs go before training tasks.
    fn goes_first(&self) -> bool {
        self.rank.service.0 || self.rank.tiny.0
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SubQueueKey {
    team: usize,
    request: Rc<ResourceRequest>,
    ageing: AgeingState,
}

#[derive(Debug, Default)]
struct SubQueues(BTreeMap<SubQueueKey, BTreeSet<(QueueRank, SlabIndex)>>);

impl SubQueues {
    fn insert(&mut self, lane: SubQueueKey, rank: QueueRank, place: SlabIndex) {
        self.0.entry(lane).or_default().insert((rank, place));
    }

    fn remove(&mut self, lane: &SubQueueKey, rank: QueueRank, place: SlabIndex) {
        if let Some(jobs) = self.0.get_mut(lane) {
            jobs.remove(&(rank, place));
            if jobs.is_empty() {
                self.0.remove(lane);
            }
        }
    }
}

/// Which jobs a walk goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueSection {
    /// Services and tiny jobs.
    Urgent,
    /// Jobs with training tasks to place, by initial size.
    Training,
    /// All that do not go first.
    Regular,
}

#[derive(Debug, Default)]
pub struct JobQueue {
    standings: Vec<Option<QueueEntry>>,
    first: SubQueues,
    training: SubQueues,
    rest: SubQueues,
    /// Ageing jobs by the reading of the clock at which they are at zero.
    zeros: BTreeSet<(OrderedFloat, SlabIndex)>,
}

impl JobQueue {
    /// Puts a job where it stands now; None takes it out of the line.
    pub fn set(&mut self, place: SlabIndex, standing: Option<QueueEntry>) {
        let i = place as usize;
        if i >= self.standings.len() {
            self.standings.resize(i + 1, None);
        }
        if self.standings[i] == standing {
            return;
        }
        if let Some(old) = self.standings[i].take() {
            self.leave(place, old);
        }
        if let Some(new) = standing {
            self.enter(place, &new);
            self.standings[i] = Some(new);
        }
    }

    fn lane(s: &QueueEntry, pace: AgeingState) -> SubQueueKey {
        SubQueueKey {
            team: s.team,
            request: s.request.clone(),
            ageing: pace,
        }
    }

    fn leave(&mut self, place: SlabIndex, s: QueueEntry) {
        if s.ageing == AgeingState::Ageing {
            self.zeros.remove(&(s.rank.size, place));
        }
        let lane = Self::lane(&s, s.ageing);
        let training = Self::lane(&s, AgeingState::Fixed);
        let lanes = if s.goes_first() {
            &mut self.first
        } else {
            &mut self.rest
        };
        lanes.remove(&lane, s.rank, place);
        if let Some(rank) = s.training {
            self.training.remove(&training, rank, place);
        }
    }

    fn enter(&mut self, place: SlabIndex, s: &QueueEntry) {
        if s.ageing == AgeingState::Ageing {
            self.zeros.insert((s.rank.size, place));
        }
        let lanes = if s.goes_first() {
            &mut self.first
        } else {
            &mut self.rest
        };
        lanes.insert(Self::lane(s, s.ageing), s.rank.clone(), place);
        if let Some(rank) = &s.training {
            let lane = Self::lane(s, AgeingState::Fixed);
            self.training.insert(lane, rank.clone(), place);
        }
    }

    /// A job that has aged to zero by now and stands among those that have not.
    pub fn next_aged_to_zero(&self, clock: f64) -> Option<SlabIndex> {
        let (at, place) = self.zeros.first()?;
        (at.0 <= clock).then_some(*place)
    }

    pub fn is_empty(&self) -> bool {
        self.first.0.is_empty() && self.rest.0.is_empty()
    }

    /// Goes over a part of the line, in order.
    pub fn cursor(&self, part: QueueSection, clock: f64) -> QueueCursor<'_> {
        let lanes = match part {
            QueueSection::Urgent => &self.first,
            QueueSection::Training => &self.training,
            QueueSection::Regular => &self.rest,
        };
        let mut walk = QueueCursor {
            lanes: lanes.0.iter().map(|(l, jobs)| (l, jobs.iter())).collect(),
            heads: BinaryHeap::new(),
            clock,
        };
        for lane in 0..walk.lanes.len() {
            walk.advance(lane);
        }
        walk
    }

    /// Every job of the line in the order in which it competes, training aside.
    pub fn iter_in_order(&self, clock: f64) -> impl Iterator<Item = SlabIndex> + '_ {
        let mut first = self.cursor(QueueSection::Urgent, clock);
        let mut rest = self.cursor(QueueSection::Regular, clock);
        // Priority comes before being tiny, so the two are merged.
        std::iter::from_fn(move || {
            let first_is_next = match (first.heads.peek(), rest.heads.peek()) {
                (Some(a), Some(b)) => a.0.key <= b.0.key,
                (a, _) => a.is_some(),
            };
            let walk = if first_is_next { &mut first } else { &mut rest };
            let turn = walk.next_job()?;
            walk.advance(turn.sub_queue);
            Some(turn.index)
        })
    }
}

/// What a rank comes to at a reading of the clock, comparable between lanes.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key<'l> {
    service: Reverse<bool>,
    priority: Reverse<Priority>,
    tiny: Reverse<bool>,
    size: OrderedFloat,
    remaining: OrderedFloat,
    submitted: u64,
    id: &'l str,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Head<'l> {
    key: Key<'l>,
    index: SlabIndex,
    lane: usize,
}

/// Whose turn it is.
#[derive(Debug, Clone, Copy)]
pub struct QueuedJob<'l> {
    pub index: SlabIndex,
    pub sub_queue: usize,
    pub request: &'l Rc<ResourceRequest>,
}

/// A lane goes on only when told to: a lane that is left stays left.
#[derive(Debug)]
pub struct QueueCursor<'l> {
    lanes: Vec<(&'l SubQueueKey, btree_set::Iter<'l, (QueueRank, SlabIndex)>)>,
    heads: BinaryHeap<Reverse<Head<'l>>>,
    clock: f64,
}

impl<'l> QueueCursor<'l> {
    /// The first of the heads of all lanes. Its lane then waits for
    /// [`QueueCursor::advance`].
    pub fn next_job(&mut self) -> Option<QueuedJob<'l>> {
        let Reverse(head) = self.heads.pop()?;
        let lane = self.lanes[head.lane].0;
        Some(QueuedJob {
            index: head.index,
            sub_queue: head.lane,
            request: &lane.request,
        })
    }

    /// Lets the next job of a lane come forward.
    pub fn advance(&mut self, lane: usize) {
        let (kind, jobs) = &mut self.lanes[lane];
        let Some((rank, place)) = jobs.next() else {
            return;
        };
        let size = match kind.ageing {
            AgeingState::Aged => 0.0,
            AgeingState::Ageing => (rank.size.0 - self.clock).max(0.0),
            AgeingState::Fixed => rank.size.0,
        };
        let key = Key {
            service: rank.service,
            priority: rank.priority,
            tiny: rank.tiny,
            size: OrderedFloat(size),
            remaining: rank.remaining,
            submitted: rank.submitted,
            id: &rank.id,
        };
        self.heads.push(Reverse(Head {
            key,
            index: *place,
            lane,
        }));
    }
}
