//! Queues of users' requests that wait for a call to the store.
//!
//! The requests of the job that has been without an answer for the longest time come first.
//! That time includes earlier requests that were refused (see [`RefusedJobs`]): users repeat
//! their requests at regular intervals, so in the order of arrival alone, the same requests
//! would always come last and be refused. Submissions and cancellations have a head start over
//! polls.

use crate::continuations::PendingRequest;
use crate::request_budget::RequestPriority;
use crate::time::{Micros, SECOND};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The default maximum number of requests in a queue.
const MAX_QUEUED_REQUESTS: usize = 2000;
/// The maximum number of jobs whose refusals are remembered.
const MAX_REFUSED_JOBS: usize = 10_000;
/// How long a refusal is remembered. It is longer than the 30 s that a user waits at most
/// before a request is repeated.
const REFUSAL_MEMORY: Micros = 60 * SECOND;

/// The head start of a submission or cancellation. It is longer than a poll may wait, so that
/// only polls of jobs that were refused before come before it.
const CHANGE_HEAD_START: Micros = 2 * SECOND;

/// The place of a request in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    /// The time since which the job has been without an answer, less the head start.
    unanswered_since: Micros,
    /// Distinguishes requests with the same time.
    sequence: u64,
}

/// A request that waits for a call to the store about a job, or for the response.
#[derive(Debug, Clone)]
pub struct QueuedRequest<T = PendingRequest> {
    /// The id of the job.
    pub(super) id: String,
    /// What is requested.
    pub(super) pending: T,
}

/// A bounded queue of requests.
#[derive(Debug)]
pub(super) struct RequestQueue<T = PendingRequest> {
    requests: BTreeMap<QueuePosition, QueuedRequest<T>>,
    max_requests: usize,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> RequestQueue<T> {
        RequestQueue::bounded(MAX_QUEUED_REQUESTS)
    }
}

impl<T> RequestQueue<T> {
    /// An empty queue of at most this many requests.
    pub fn bounded(max_requests: usize) -> RequestQueue<T> {
        RequestQueue {
            requests: BTreeMap::new(),
            max_requests,
        }
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The time since which the first request's job has been without an answer, less the head
    /// start.
    pub fn first_unanswered_since(&self) -> Option<Micros> {
        let (position, _) = self.requests.first_key_value()?;
        Some(position.unanswered_since)
    }

    /// The ids of the requests' jobs, in the order of the requests.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.requests.values().map(|request| request.id.as_str())
    }

    /// Adds a request. Returns the last one if there are too many.
    pub fn push(
        &mut self,
        position: QueuePosition,
        request: QueuedRequest<T>,
    ) -> Option<QueuedRequest<T>> {
        self.requests.insert(position, request);
        if self.requests.len() <= self.max_requests {
            return None;
        }
        self.requests.pop_last().map(|(_, request)| request)
    }

    /// Removes and returns the first request.
    pub fn pop_first(&mut self) -> Option<QueuedRequest<T>> {
        self.requests.pop_first().map(|(_, request)| request)
    }

    /// Removes and returns the requests for which `is_taken` holds, in their order.
    pub fn take_if(
        &mut self,
        mut is_taken: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let taken = self.requests.extract_if(.., |_, request| is_taken(request));
        taken.map(|(_, request)| request).collect()
    }

    /// Removes and returns the requests of the first `max_jobs` jobs for which `is_eligible`
    /// holds, in their order.
    pub fn take_first_jobs(
        &mut self,
        max_jobs: usize,
        is_eligible: impl Fn(&str) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut jobs: HashSet<String> = HashSet::new();
        self.take_if(|QueuedRequest { id, .. }| {
            if jobs.len() < max_jobs && is_eligible(id) {
                jobs.insert(id.clone());
            }
            jobs.contains(id)
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct RefusedJob {
    unanswered_since: Micros,
    last_refused_at: Micros,
}

/// The jobs whose latest request was refused because of a limit or a failure of the store.
#[derive(Debug, Default)]
pub(super) struct RefusedJobs {
    jobs: HashMap<String, RefusedJob>,
    last_sequence: u64,
}

impl RefusedJobs {
    /// The position of a request that was received at `received_at` and concerns this job.
    pub fn position(
        &mut self,
        id: &str,
        received_at: Micros,
        priority: RequestPriority,
    ) -> QueuePosition {
        self.last_sequence += 1;
        let refused = self.jobs.get(id);
        let refused = refused.filter(|job| received_at < job.last_refused_at + REFUSAL_MEMORY);
        let unanswered_since = refused.map_or(received_at, |job| job.unanswered_since);
        let head_start = match priority {
            RequestPriority::Poll => 0,
            RequestPriority::Change | RequestPriority::DeleteOrReconcile => CHANGE_HEAD_START,
        };
        QueuePosition {
            unanswered_since: unanswered_since.saturating_sub(head_start),
            sequence: self.last_sequence,
        }
    }

    /// Records that a request about the job, received at `received_at`, is refused now.
    pub fn record_refusal(&mut self, id: &str, received_at: Micros, now: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            if now >= job.last_refused_at + REFUSAL_MEMORY {
                job.unanswered_since = received_at;
            }
            job.last_refused_at = now;
            return;
        }
        if self.jobs.len() >= MAX_REFUSED_JOBS {
            self.jobs
                .retain(|_, job| now < job.last_refused_at + REFUSAL_MEMORY);
        }
        // Those that have waited for longer keep their places.
        if self.jobs.len() < MAX_REFUSED_JOBS {
            let job = RefusedJob {
                unanswered_since: received_at,
                last_refused_at: now,
            };
            self.jobs.insert(id.to_string(), job);
        }
    }

    /// Records that a request about the job was answered.
    pub fn record_answer(&mut self, id: &str) {
        self.jobs.remove(id);
    }
}
