//! The leader's reconciler of objects. It records the end and the failed attempts of
//! their native jobs, cancels jobs that exceed `backoffLimit` or `activeDeadlineSeconds`,
//! and deletes objects after `ttlSecondsAfterFinished`.
//!
//! Every update is one transaction that compares the fencing token (the version of the
//! term's record) and the object's version, so that it fails if another leader or a client
//! has written in the meantime.

use crate::record::{EndReason, JobEnd, Name, Object, Record, Tombstone};
use crate::view::completions;
use crate::watch_cache::{ObjectChange, WatchCache};
use dillcleat_controller::records::{self, CancelledJob, JobStateRecord, RecordedState};
use dillcleat_controller::{JobEvent, Micros, SECOND};
use dillcleat_wire::store::Transaction;
use dillcleat_wire::user::JobState;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};

/// The maximum number of objects in `updating`. No new batch of reads is started while this
/// many reads of job states are in flight.
const MAX_IN_FLIGHT: usize = 8;
/// The maximum number of jobs whose events are kept. Events may arrive before the object
/// of their job is in the watch cache.
const MAX_OBSERVED_JOBS: usize = 4_096;
/// How often all objects are checked for ended jobs, in case an event was missed.
const RESYNC_INTERVAL: Micros = 20 * SECOND;
/// The number of objects that one pass of a resync checks.
const RESYNC_BATCH_OBJECTS: usize = 32;
/// The maximum number of queued objects that one pass handles.
const MAX_OBJECTS_PER_PASS: usize = 64;
const RETRY_DELAY: Micros = SECOND;

/// The observed events of a native job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedJob {
    ended: Option<JobState>,
    /// The failed attempts, as pairs of task and attempt.
    failed: BTreeSet<(u32, u64)>,
}

/// The update that an object needs.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Nothing,
    /// Record the end of the job.
    RecordEnd(EndReason),
    /// Record the failed attempts.
    RecordFailures(Vec<(u32, u64)>),
    /// Cancel the job, and record its end and its failed attempts.
    CancelJob(EndReason, Vec<(u32, u64)>),
    /// Delete the object, whose `ttlSecondsAfterFinished` has passed.
    Delete,
}

fn spec_number(object: &Object, field: &str) -> Option<u64> {
    object.record.spec[field].as_u64()
}

/// The time of day, in microseconds, at which the object's active deadline or its time to
/// live ends.
fn next_deadline(object: &Object) -> Option<Micros> {
    let state = &object.record.state;
    let (since, field) = match state.end {
        Some(end) => (end.at, "ttlSecondsAfterFinished"),
        None => (state.started?, "activeDeadlineSeconds"),
    };
    Some(since.saturating_add(spec_number(object, field)?.saturating_mul(SECOND)))
}

/// Returns the update that an object needs, given its job's observed events.
fn required_action(object: &Object, observed: Option<&ObservedJob>, wall_time: Micros) -> Action {
    let state = &object.record.state;
    let deadline_passed = next_deadline(object).is_some_and(|at| wall_time >= at);
    if state.end.is_some() {
        return match deadline_passed {
            true => Action::Delete,
            false => Action::Nothing,
        };
    }
    if state.job.is_none() {
        return Action::Nothing;
    }
    match observed.and_then(|o| o.ended) {
        Some(JobState::Done) => return Action::RecordEnd(EndReason::Complete),
        Some(_) => return Action::RecordEnd(EndReason::Cancelled),
        None => {}
    }
    let observed_failures = observed.iter().flat_map(|o| &o.failed);
    let new: Vec<(u32, u64)> = observed_failures
        .filter(|a| !state.failed.contains(a))
        .copied()
        .collect();
    let failed = [state.failed.as_slice(), &new].concat();
    let limit = spec_number(object, "backoffLimit").unwrap_or(u64::MAX);
    if failed.len() as u64 > limit {
        Action::CancelJob(EndReason::BackoffLimit, failed)
    } else if deadline_passed {
        Action::CancelJob(EndReason::Deadline, failed)
    } else if new.is_empty() {
        Action::Nothing
    } else {
        Action::RecordFailures(failed)
    }
}

/// Adds the cancellation of an object's job to a transaction.
pub(crate) fn add_cancellation(
    txn: Transaction,
    object: &Object,
    job: &str,
    wall_time: Micros,
) -> Transaction {
    let state = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: completions(object),
    };
    txn.compare(records::job_state_key(job), 0)
        .put(records::job_state_key(job), &state)
        .put(
            records::cancelled_job_key(job),
            &CancelledJob {
                cancelled_at_us: wall_time,
            },
        )
}

/// Adds the deletion of an object to a transaction, and writes its tombstone.
pub(crate) fn add_deletion(txn: Transaction, object: &Object) -> Transaction {
    let tombstone = Tombstone {
        uid: object.record.uid.clone(),
        run: object.record.run,
        job: object.record.state.job.clone(),
    };
    txn.delete(object.name.key())
        .put(object.name.tombstone_key(), &tombstone)
}

impl Action {
    /// The transaction that carries out the action; None if there is nothing to do.
    fn transaction(
        self,
        object: &Object,
        fencing_token: u64,
        wall_time: Micros,
    ) -> Option<Transaction> {
        let key = object.name.key();
        let mut txn = Transaction::default()
            .compare(records::TERM_KEY, fencing_token)
            .compare(key.clone(), object.version);
        let mut state = object.record.state.clone();
        match self {
            Action::Nothing => return None,
            Action::Delete => return Some(add_deletion(txn, object)),
            Action::RecordEnd(reason) => {
                state.end = Some(JobEnd {
                    at: wall_time,
                    reason,
                })
            }
            Action::RecordFailures(failed) => state.failed = failed,
            Action::CancelJob(reason, failed) => {
                state.failed = failed;
                state.end = Some(JobEnd {
                    at: wall_time,
                    reason,
                });
                let job = state.job.as_deref().unwrap_or_default();
                txn = add_cancellation(txn, object, job, wall_time);
            }
        }
        let record = Record {
            state,
            ..object.record.clone()
        };
        Some(txn.put(key, &record))
    }
}

/// A store request of the reconciler.
#[derive(Debug, Clone, PartialEq)]
pub enum ReconcilerRequest {
    /// Update an object.
    Update(Name, Transaction),
    /// Read the state of a job, to find out whether it has ended.
    ReadJobState(String),
}

#[derive(Debug, Default)]
pub struct Reconciler {
    term: u64,
    /// Objects that may need an update.
    queue: BTreeSet<Name>,
    /// The times of day at which objects are put into the queue.
    timers: BinaryHeap<Reverse<(Micros, Name)>>,
    observed_jobs: HashMap<String, ObservedJob>,
    /// Jobs in the order of their first event, including some that are no longer in
    /// `observed_jobs`.
    observed_order: VecDeque<String>,
    /// Objects whose update is in flight or not yet in the watch cache.
    updating: HashSet<Name>,
    /// Jobs whose state is being read.
    reading: HashSet<String>,
    /// The last object that the current resync has checked.
    resync_position: Option<Name>,
    resyncing: bool,
    next_resync: Micros,
}

impl Reconciler {
    /// Handles a change in the watch cache.
    pub fn handle_change(&mut self, change: &ObjectChange) {
        let Some(object) = change.new.as_deref() else {
            if let Some(old) = &change.old {
                self.updating.remove(&old.name);
                if let Some(job) = &old.record.state.job {
                    self.observed_jobs.remove(job);
                }
            }
            return;
        };
        self.updating.remove(&object.name);
        self.enqueue(object);
    }

    /// Queues an object for the next pass, and again for its next deadline.
    fn enqueue(&mut self, object: &Object) {
        self.queue.insert(object.name.clone());
        if let Some(at) = next_deadline(object) {
            self.timers.push(Reverse((at, object.name.clone())));
        }
    }

    /// Handles an event that this process observed as the leader.
    pub fn handle_job_event(&mut self, event: JobEvent, cache: &WatchCache) {
        match event {
            JobEvent::Ended { job, state } => {
                self.events_of_job(&job, cache).ended = Some(state);
            }
            JobEvent::TaskFailed { job, task, attempt } => {
                self.events_of_job(&job, cache)
                    .failed
                    .insert((task, attempt));
            }
        }
    }

    /// Returns the entry for a job's events, creating it if needed, and queues the job's
    /// object.
    fn events_of_job(&mut self, job: &str, cache: &WatchCache) -> &mut ObservedJob {
        if let Some(object) = cache.by_job(job) {
            self.queue.insert(object.name.clone());
        }
        if !self.observed_jobs.contains_key(job) {
            // Most jobs belong to no object; the size limit evicts their events.
            self.observed_order.push_back(job.to_string());
            if self.observed_order.len() > MAX_OBSERVED_JOBS
                && let Some(oldest) = self.observed_order.pop_front()
            {
                self.observed_jobs.remove(&oldest);
            }
        }
        self.observed_jobs.entry(job.to_string()).or_default()
    }

    /// Handles the result of an update. After a committed update nothing is to be done
    /// until the change arrives in the watch cache. After a failed one the object is
    /// queued again once `RETRY_DELAY` has passed.
    pub fn handle_update_result(&mut self, name: &Name, committed: bool, wall_time: Micros) {
        if !committed {
            self.updating.remove(name);
            self.timers
                .push(Reverse((wall_time + RETRY_DELAY, name.clone())));
        }
    }

    /// Handles the result of reading a job's state; `ended` is None if it has not ended.
    pub fn handle_job_state(&mut self, job: &str, ended: Option<JobState>, cache: &WatchCache) {
        self.reading.remove(job);
        if ended.is_some() {
            self.events_of_job(job, cache).ended = ended;
        }
    }

    /// Checks the next batch of objects if a resync is due or in progress. Returns the
    /// jobs that are recorded as running but are not open at the leader.
    fn resync(
        &mut self,
        cache: &WatchCache,
        is_open: impl Fn(&str) -> bool,
        now: Micros,
    ) -> Vec<String> {
        if !self.resyncing {
            if now < self.next_resync {
                return Vec::new();
            }
            self.resyncing = true;
            self.resync_position = None;
        }
        let mut jobs = Vec::new();
        let mut checked = 0;
        let after = self.resync_position.clone();
        let kinds = crate::record::Kind::ALL.into_iter();
        for object in kinds.flat_map(|k| cache.objects(k, None, after.as_ref())) {
            checked += 1;
            let state = &object.record.state;
            if let Some(job) = state
                .job
                .as_ref()
                .filter(|j| state.end.is_none() && !is_open(j))
            {
                jobs.push(job.clone());
            }
            self.resync_position = Some(object.name.clone());
            if checked == RESYNC_BATCH_OBJECTS {
                return jobs;
            }
        }
        self.resyncing = false;
        self.next_resync = now + RESYNC_INTERVAL;
        jobs
    }

    /// Runs one pass and returns the requests to make, for the leader of `term`. `is_open`
    /// returns whether a job is open at the leader.
    pub fn reconcile(
        &mut self,
        (term, fencing_token): (u64, u64),
        cache: &WatchCache,
        is_open: impl Fn(&str) -> bool,
        (now, wall_time): (Micros, Micros),
    ) -> Vec<ReconcilerRequest> {
        // The events observed in the previous term are kept because they remain valid.
        if self.term != term {
            *self = Reconciler {
                term,
                observed_jobs: std::mem::take(&mut self.observed_jobs),
                observed_order: std::mem::take(&mut self.observed_order),
                ..Reconciler::default()
            };
            for kind in crate::record::Kind::ALL {
                for object in cache.objects(kind, None, None) {
                    self.enqueue(object);
                }
            }
            log::info!("reconciling objects term={term} objects={}", cache.len());
        }
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| wall_time >= *at)
        {
            if let Some(Reverse((_, name))) = self.timers.pop() {
                self.queue.insert(name);
            }
        }
        let mut requests = Vec::new();
        if self.reading.len() < MAX_IN_FLIGHT {
            for job in self.resync(cache, is_open, now) {
                if self.reading.insert(job.clone()) {
                    requests.push(ReconcilerRequest::ReadJobState(job));
                }
            }
        }
        let names: Vec<Name> = self
            .queue
            .iter()
            .take(MAX_OBJECTS_PER_PASS)
            .cloned()
            .collect();
        for name in names {
            if self.updating.len() >= MAX_IN_FLIGHT {
                break;
            }
            self.queue.remove(&name);
            if let Some(object) = cache.get(&name)
                && !self.updating.contains(&name)
            {
                let job = object.record.state.job.as_ref();
                let observed = job.and_then(|job| self.observed_jobs.get(job));
                let action = required_action(object, observed, wall_time);
                if let Some(txn) = action.transaction(object, fencing_token, wall_time) {
                    self.updating.insert(name.clone());
                    requests.push(ReconcilerRequest::Update(name, txn));
                }
            }
        }
        requests
    }

    /// Queues a request again that was not sent because the store request budget is
    /// exhausted.
    pub fn requeue(&mut self, request: ReconcilerRequest) {
        match request {
            ReconcilerRequest::Update(name, _) => {
                self.updating.remove(&name);
                self.queue.insert(name);
            }
            ReconcilerRequest::ReadJobState(job) => {
                self.reading.remove(&job);
                // The next resync, which is now due at once, returns the job again.
                self.next_resync = 0;
            }
        }
    }
}
