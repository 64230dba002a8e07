//! What the leader does for objects by itself: it tells their ends, counts failed
//! attempts, stops what is over its time and deletes what has outlived its use.
//!
//! Every change is one transaction that compares the leader's term and the object's
//! version, so neither a leader that was followed nor a client is written over.

use crate::record::{End, Ending, Gone, Name, Object, Record};
use crate::view::completions;
use crate::watch_cache::{Cache, Turn};
use dillcleat_controller::records::{self, CancelledJob, JobStateRecord, RecordedState};
use dillcleat_controller::{JobEvent, Micros, SECOND};
use dillcleat_wire::store::Transaction;
use dillcleat_wire::user::JobState;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};

/// Changes and looks that may be under way at once.
const AT_ONCE: usize = 8;
/// Jobs of which what was told is kept until an object shows up that asks.
const FACTS: usize = 4_096;
/// How often every object is looked over, in case something was not heard.
const SWEEP: Micros = 20 * SECOND;
/// Objects that one turn of that looks at.
const SWEEP_STEP: usize = 32;
/// Objects that one turn decides on.
const TURN: usize = 64;
/// After a change that did not come about.
const AGAIN: Micros = SECOND;

/// What is known of a job that an object stands for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Facts {
    ended: Option<JobState>,
    failed: BTreeSet<(u32, u64)>,
}

/// What an object wants.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Nothing,
    /// Its job has ended: say so.
    Tell(Ending),
    /// Attempts have failed.
    Count(Vec<(u32, u64)>),
    /// It is to end: its job is cancelled.
    Stop(Ending, Vec<(u32, u64)>),
    /// It is over for as long as it was to be kept.
    Expire,
}

fn number(object: &Object, field: &str) -> Option<u64> {
    object.record.spec[field].as_u64()
}

/// The time of day at which an object wants something by itself, in microseconds.
fn due(object: &Object) -> Option<Micros> {
    let state = &object.record.state;
    let (since, field) = match state.end {
        Some(end) => (end.at, "ttlSecondsAfterFinished"),
        None => (state.started?, "activeDeadlineSeconds"),
    };
    Some(since.saturating_add(number(object, field)?.saturating_mul(SECOND)))
}

fn decide(object: &Object, facts: Option<&Facts>, wall: Micros) -> Step {
    let state = &object.record.state;
    let over = due(object).is_some_and(|at| wall >= at);
    if state.end.is_some() {
        return if over { Step::Expire } else { Step::Nothing };
    }
    if state.job.is_none() {
        return Step::Nothing;
    }
    match facts.and_then(|f| f.ended) {
        Some(JobState::Done) => return Step::Tell(Ending::Complete),
        Some(_) => return Step::Tell(Ending::Cancelled),
        None => {}
    }
    let told = facts.iter().flat_map(|f| &f.failed);
    let new: Vec<(u32, u64)> = told
        .filter(|a| !state.failed.contains(a))
        .copied()
        .collect();
    let failed = [state.failed.as_slice(), &new].concat();
    let limit = number(object, "backoffLimit").unwrap_or(u64::MAX);
    if failed.len() as u64 > limit {
        Step::Stop(Ending::BackoffLimit, failed)
    } else if over {
        Step::Stop(Ending::Deadline, failed)
    } else if new.is_empty() {
        Step::Nothing
    } else {
        Step::Count(failed)
    }
}

/// Cancels the job of an object in the same transaction as something else.
pub(crate) fn cancel(txn: Transaction, object: &Object, job: &str, wall: Micros) -> Transaction {
    let mark = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: completions(object),
    };
    txn.compare(records::job_state_key(job), 0)
        .put(records::job_state_key(job), &mark)
        .put(
            records::cancelled_job_key(job),
            &CancelledJob {
                cancelled_at_us: wall,
            },
        )
}

/// Deletes an object and keeps what its name needs.
pub(crate) fn delete(txn: Transaction, object: &Object) -> Transaction {
    let gone = Gone {
        uid: object.record.uid.clone(),
        run: object.record.run,
        job: object.record.state.job.clone(),
    };
    txn.delete(object.name.key())
        .put(object.name.deleted_key(), &gone)
}

impl Step {
    /// The transaction that does it; None if there is nothing to do.
    fn txn(self, object: &Object, fence: u64, wall: Micros) -> Option<Transaction> {
        let key = object.name.key();
        let mut txn = Transaction::default()
            .compare(records::TERM_KEY, fence)
            .compare(key.clone(), object.version);
        let mut state = object.record.state.clone();
        match self {
            Step::Nothing => return None,
            Step::Expire => return Some(delete(txn, object)),
            Step::Tell(why) => state.end = Some(End { at: wall, why }),
            Step::Count(failed) => state.failed = failed,
            Step::Stop(why, failed) => {
                state.failed = failed;
                state.end = Some(End { at: wall, why });
                let job = state.job.as_deref().unwrap_or_default();
                txn = cancel(txn, object, job, wall);
            }
        }
        let record = Record {
            state,
            ..object.record.clone()
        };
        Some(txn.put(key, &record))
    }
}

/// A call that the keeper wants made.
#[derive(Debug, Clone, PartialEq)]
pub enum Wish {
    Change(Name, Transaction),
    /// Read whether this job has ended.
    Look(String),
}

#[derive(Debug, Default)]
pub struct Reconciler {
    term: u64,
    dirty: BTreeSet<Name>,
    due: BinaryHeap<Reverse<(Micros, Name)>>,
    facts: HashMap<String, Facts>,
    told: VecDeque<String>,
    /// Objects whose change is under way, or is not yet seen.
    busy: HashSet<Name>,
    /// Looks under way.
    looks: HashSet<String>,
    /// After which object the sweep goes on; None between two.
    swept: Option<Name>,
    sweeping: bool,
    sweep_at: Micros,
}

impl Reconciler {
    /// An object has changed.
    pub fn turned(&mut self, turn: &Turn) {
        let Some(object) = turn.new.as_deref() else {
            if let Some(old) = &turn.old {
                self.busy.remove(&old.name);
                if let Some(job) = &old.record.state.job {
                    self.facts.remove(job);
                }
            }
            return;
        };
        self.busy.remove(&object.name);
        self.wants(object);
    }

    fn wants(&mut self, object: &Object) {
        self.dirty.insert(object.name.clone());
        if let Some(at) = due(object) {
            self.due.push(Reverse((at, object.name.clone())));
        }
    }

    /// The leader of this process has learned something.
    pub fn told(&mut self, told: JobEvent, cache: &Cache) {
        match told {
            JobEvent::Ended { job, state } => {
                self.fact(&job, cache).ended = Some(state);
            }
            JobEvent::Failed { job, task, attempt } => {
                self.fact(&job, cache).failed.insert((task, attempt));
            }
        }
    }

    fn fact(&mut self, job: &str, cache: &Cache) -> &mut Facts {
        if let Some(object) = cache.of_job(job) {
            self.dirty.insert(object.name.clone());
        }
        if !self.facts.contains_key(job) {
            // Of most jobs, which have no object, nobody ever asks.
            self.told.push_back(job.to_string());
            if self.told.len() > FACTS
                && let Some(oldest) = self.told.pop_front()
            {
                self.facts.remove(&oldest);
            }
        }
        self.facts.entry(job.to_string()).or_default()
    }

    /// A change came about, and will be seen; or it did not, and is tried again unless
    /// it is not wanted any more.
    pub fn changed(&mut self, name: &Name, committed: bool, wall: Micros) {
        if !committed {
            self.busy.remove(name);
            self.due.push(Reverse((wall + AGAIN, name.clone())));
        }
    }

    /// A look has shown how a job ended, or that it has not.
    pub fn looked(&mut self, job: &str, ended: Option<JobState>, cache: &Cache) {
        self.looks.remove(job);
        if ended.is_some() {
            self.fact(job, cache).ended = ended;
        }
    }

    fn sweep(&mut self, cache: &Cache, holds: impl Fn(&str) -> bool, now: Micros) -> Vec<String> {
        if !self.sweeping {
            if now < self.sweep_at {
                return Vec::new();
            }
            self.sweeping = true;
            self.swept = None;
        }
        let mut looks = Vec::new();
        let mut seen = 0;
        let after = self.swept.clone();
        let all = crate::record::Kind::ALL.into_iter();
        for object in all.flat_map(|k| cache.all(k, None, after.as_ref())) {
            seen += 1;
            let state = &object.record.state;
            if let Some(job) = state
                .job
                .as_ref()
                .filter(|j| state.end.is_none() && !holds(j))
            {
                looks.push(job.clone());
            }
            self.swept = Some(object.name.clone());
            if seen == SWEEP_STEP {
                return looks;
            }
        }
        self.sweeping = false;
        self.sweep_at = now + SWEEP;
        looks
    }

    /// What is to be done now, by the leader of `term` whose record has version
    /// `fence`. `fits`: whether a job is open at it.
    pub fn turn(
        &mut self,
        (term, fence): (u64, u64),
        cache: &Cache,
        holds: impl Fn(&str) -> bool,
        (now, wall): (Micros, Micros),
    ) -> Vec<Wish> {
        if self.term != term {
            *self = Reconciler {
                term,
                facts: std::mem::take(&mut self.facts),
                told: std::mem::take(&mut self.told),
                ..Reconciler::default()
            };
            for kind in crate::record::Kind::ALL {
                for object in cache.all(kind, None, None) {
                    self.wants(object);
                }
            }
            log::info!("keeps {} objects in term {term}", cache.len());
        }
        while self.due.peek().is_some_and(|Reverse((at, _))| wall >= *at) {
            if let Some(Reverse((_, name))) = self.due.pop() {
                self.dirty.insert(name);
            }
        }
        let mut wishes = Vec::new();
        if self.looks.len() < AT_ONCE {
            for job in self.sweep(cache, holds, now) {
                if self.looks.insert(job.clone()) {
                    wishes.push(Wish::Look(job));
                }
            }
        }
        let names: Vec<Name> = self.dirty.iter().take(TURN).cloned().collect();
        for name in names {
            if self.busy.len() >= AT_ONCE {
                break;
            }
            self.dirty.remove(&name);
            if let Some(object) = cache.get(&name)
                && !self.busy.contains(&name)
            {
                let job = object.record.state.job.as_ref();
                let facts = job.and_then(|job| self.facts.get(job));
                if let Some(txn) = decide(object, facts, wall).txn(object, fence, wall) {
                    self.busy.insert(name.clone());
                    wishes.push(Wish::Change(name, txn));
                }
            }
        }
        wishes
    }

    /// A wish that was not granted.
    pub fn put_off(&mut self, wish: Wish) {
        match wish {
            Wish::Change(name, _) => {
                self.busy.remove(&name);
                self.dirty.insert(name);
            }
            Wish::Look(job) => {
                self.looks.remove(&job);
                // The next sweep comes upon it again.
                self.sweep_at = 0;
            }
        }
    }
}
