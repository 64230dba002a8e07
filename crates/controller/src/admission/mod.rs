//! Submissions, polls and cancellations. Every node answers them by itself, without the
//! leader.
//!
//! # Records
//!
//! A submitted job has an *open record* (`q/o/`) with its description, which stays until
//! its tasks are gone. Its *state record* (`j/`) says that it is done or cancelled, and
//! is written once, by compare-and-swap; whoever comes second fails and reads which end
//! it was. (Jobs of earlier versions also have a state record that says "open".)
//!
//! # Requests as compare-and-swap state machines
//!
//! Each request is idempotent: a client that had no answer repeats it, at any node.
//!
//! - **Submission.** One transaction creates the open record if neither record exists.
//!   If one does, this is a repeated submission, perhaps by an earlier try whose response
//!   was lost, and the job's present state is the answer. The same transaction is sent
//!   again if its outcome is unknown: it commits, or finds what the first one wrote. A
//!   submission that must be rejected (invalid, or never schedulable) is rejected only if
//!   the job is unknown, so that a job once accepted is not rejected later, for example
//!   when the machine types have changed.
//! - **Poll.** See below.
//! - **Cancellation.** A transaction writes the state record if it still has the version
//!   that this node knows. After a conflict the state record is read: the job's end came
//!   first, or an earlier try was carried out.
//!
//! # Why no answer is out of date
//!
//! An end is final, so an ended job is answered from the `JobCache`. Anything else
//! may have changed since it was seen: another node may just have told the user that the
//! job is cancelled, and a later answer must not say "open". Hence for an open job the
//! *absence of a change* of its state record is verified by a compare-only transaction
//! that is sent after the request came in (one for many jobs, see `verification.rs`), and
//! an unknown job is read by a request of its own. "No such job" is answered only if both
//! records were read after the request came in, the open record first: the state record
//! is written before the open record is deleted.
//!
//! Task counts in an answer come from the leader's broadcasts. They are for display, and
//! may be old.
//!
//! # Limits
//!
//! Store calls are paid from a `RequestBudget`, and the number under way is bounded;
//! beyond that a request is rejected at once with 503 and `Retry-After`.

mod dependency_check;
mod replies;
mod schedulability;
mod submission;
mod verification;

pub use self::schedulability::{Unschedulable, check_schedulable};

use self::dependency_check::DependencyCheck;
use self::verification::Verifications;
use crate::Config;
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, Continuation, PendingRequest};
use crate::job_cache::{JobCache, KnownJob};
use crate::messages::{Answer, RequestId};
use crate::progress::{ProgressTable, TaskCounts};
use crate::records::{self, CancelledJob, JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::{RequestBudget, RequestPriority, StoreCost};
use crate::time::{Micros, SECOND, seconds};
use dillcleat_wire::store::{StoreRequest, Transaction};
use dillcleat_wire::user::{JobState, JobStatus, is_job_id};
use std::collections::HashMap;

/// How long a submission or cancellation is retried; its user gives up after 5 s.
const RETRY_TIME: Micros = 4 * SECOND;
/// Reads, submissions and cancellations that may be under way at once.
const MAX_UNDER_WAY: usize = 256;

const TOO_MANY_REQUESTS: &str = "too many requests";
const STORE_UNREACHABLE: &str = "the state is out of reach";
const UNREADABLE_RECORD: &str = "the job's record is unreadable";
const NO_SUCH_JOB: &str = "no such job";

/// Answers users' requests; see the [module](self).
#[derive(Debug)]
pub struct Admission {
    calls: RequestBudget,
    writes: RequestBudget,
    cache: JobCache,
    verifications: Verifications,
    /// Reads, submissions and cancellations under way.
    under_way: usize,
    /// Submissions whose dependencies are being read, by number.
    dependency_checks: HashMap<u64, DependencyCheck>,
    last_dependency_check: u64,
    request_rate: RequestRate,
    /// Jobs that were seen to be cancelled, for the leader of this process.
    cancelled: Vec<String>,
    /// How far jobs are, as the leader broadcasts it; for display.
    pub(crate) progress: ProgressTable,
}

/// How many requests users make at this node.
#[derive(Debug, Default)]
struct RequestRate {
    count: u32,
    /// A moving average.
    per_s: f64,
}

impl RequestRate {
    /// Adds the requests that were counted since the last call, `interval` ago.
    fn update(&mut self, interval: Micros) -> f64 {
        let count = f64::from(std::mem::take(&mut self.count));
        let latest_per_s = count / seconds(interval).max(0.1);
        self.per_s = (self.per_s + latest_per_s) / 2.0;
        self.per_s
    }
}

impl Admission {
    /// An admission that knows no job.
    pub fn new(config: &Config) -> Self {
        Admission {
            calls: RequestBudget::new(config.state_rps, config),
            writes: RequestBudget::new(config.state_write_rps, config),
            cache: JobCache::new(config),
            verifications: Verifications::default(),
            under_way: 0,
            dependency_checks: HashMap::new(),
            last_dependency_check: 0,
            request_rate: RequestRate::default(),
            cancelled: Vec::new(),
            progress: ProgressTable::default(),
        }
    }

    /// Users' requests a second of late. To be called at a fixed interval.
    pub fn request_rate(&mut self, interval: Micros) -> f64 {
        self.request_rate.update(interval)
    }

    /// Sets this node's share, from 0 to 1, of what users' requests may use of the store.
    pub fn set_budget_share(&mut self, share: f64, now: Micros) {
        self.calls.set_share(share, now);
        self.writes.set_share(share, now);
    }

    /// Counts a user's request for this node's share of the budget.
    pub fn count_request(&mut self) {
        self.request_rate.count += 1;
    }

    /// Whether [`take_budget`](Self::take_budget) would succeed.
    pub fn has_budget(&mut self, cost: StoreCost, priority: RequestPriority, now: Micros) -> bool {
        self.calls.has(cost.calls, priority, now)
            && (cost.writes == 0.0 || self.writes.has(cost.writes, priority, now))
    }

    /// Takes a request's cost from the budget: all of it, or nothing. Returns whether it
    /// was there.
    pub fn take_budget(&mut self, cost: StoreCost, priority: RequestPriority, now: Micros) -> bool {
        let available = self.has_budget(cost, priority, now);
        if available {
            self.calls.charge(cost.calls, now);
            self.writes.charge(cost.writes, now);
        }
        available
    }

    /// A job was stored as open.
    pub fn record_admission(&mut self, job: &OpenJob) {
        self.cache.insert(&job.spec.id, KnownJob::newly_open(job));
    }

    /// The leader of this process has stored a job's end.
    pub fn record_end(&mut self, id: &str, record: JobStateRecord) {
        self.cache.insert(id, KnownJob::ended(record));
        self.progress.job_ended(id);
    }

    /// A read or write of the store has shown a job's state record.
    fn record_state(&mut self, id: &str, known: KnownJob) {
        if known.record.state == RecordedState::Cancelled {
            self.cancelled.push(id.to_string());
        }
        self.cache.insert(id, known);
    }

    /// The jobs that were seen to be cancelled since the last call.
    pub fn take_cancelled(&mut self) -> Vec<String> {
        std::mem::take(&mut self.cancelled)
    }

    /// Handles a poll.
    pub fn poll(&mut self, ctx: &mut Context, request: RequestId, id: String) {
        self.resolve_by_id(ctx, id, PendingRequest::Status(request));
    }

    /// Handles a cancellation.
    pub fn cancel(&mut self, ctx: &mut Context, request: RequestId, id: String) {
        let received_at = ctx.now.monotonic;
        self.resolve_by_id(
            ctx,
            id,
            PendingRequest::Cancel {
                request,
                received_at,
            },
        );
    }

    fn resolve_by_id(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        self.count_request();
        if !is_job_id(&id) {
            return ctx.answer(pending.request(), Answer::refusal(404, NO_SUCH_JOB));
        }
        self.resolve(ctx, id, pending);
    }

    /// Finds out the state of a request's job by the cheapest sufficient means: the cache,
    /// a comparison or a read.
    fn resolve(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        match self.cache.get(&id) {
            Some(known) if !known.is_open() => self.conclude(ctx, &id, Some(known), pending),
            // The transaction that cancels compares by itself.
            Some(known) if matches!(pending, PendingRequest::Cancel { .. }) => {
                self.conclude(ctx, &id, Some(known), pending);
            }
            Some(_) => self.verify(ctx, id, pending),
            None => self.read_open_record(ctx, id, pending),
        }
    }

    fn read_open_record(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        // Each request has a read of its own, whose continuation carries it: one under way
        // may have read before this request came in. Requests were once matched with
        // responses in the order in which they had come, and responses come in any: of an
        // accepted job a user who had been told so was told that there is none.
        let priority = RequestPriority::from(&pending);
        if self.under_way >= MAX_UNDER_WAY || !self.calls.try_take(1.0, priority, ctx.now.monotonic)
        {
            return ctx.answer(pending.request(), Answer::retry_later(TOO_MANY_REQUESTS));
        }
        self.under_way += 1;
        let call = StoreRequest::Get {
            key: records::open_key(&id),
        };
        let step = Step::ReadOpenRecord { id, pending };
        ctx.store_request(call, Continuation::Admission(step));
    }

    /// Reads the state record of a job that has no open record, or whose end has just
    /// come. A job that is not found here did not exist when the request came in.
    fn read_state_record(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        self.under_way += 1;
        self.calls.charge(1.0, ctx.now.monotonic);
        let call = StoreRequest::Get {
            key: records::job_key(&id),
        };
        let step = Step::ReadStateRecord { id, pending };
        ctx.store_request(call, Continuation::Admission(step));
    }

    /// Answers a request with what the store has said of its job, None if there is no such
    /// job, or sends the cancellation of an open one.
    fn conclude(
        &self,
        ctx: &mut Context,
        id: &str,
        known: Option<KnownJob>,
        pending: PendingRequest,
    ) {
        match (known, pending) {
            (None, PendingRequest::Reject { request, answer }) => {
                if answer.status != 503 {
                    log::info!("job rejected job={id} status={}", answer.status);
                }
                ctx.answer(request, answer);
            }
            (None, PendingRequest::Status(request) | PendingRequest::Cancel { request, .. }) => {
                ctx.answer(request, Answer::refusal(404, NO_SUCH_JOB));
            }
            (
                Some(known),
                PendingRequest::Cancel {
                    request,
                    received_at,
                },
            ) if known.is_open() => {
                send_cancellation(ctx, id, known, request, received_at);
            }
            (Some(known), pending) => {
                let status = self.status(id, known.record);
                ctx.answer(pending.request(), Answer::body(200, &status));
            }
        }
    }

    fn status(&self, id: &str, record: JobStateRecord) -> JobStatus {
        let counts = self.progress.get(id).unwrap_or(TaskCounts::NONE);
        let TaskCounts { done, running } = counts;
        let (state, done, running) = match record.state {
            RecordedState::Done => (JobState::Done, record.task_count, 0),
            RecordedState::Cancelled => (JobState::Cancelled, done, 0),
            RecordedState::Open if running > 0 => (JobState::Running, done, running),
            RecordedState::Open => (JobState::Queued, done, 0),
        };
        JobStatus {
            id: id.to_string(),
            state,
            done: Some(done),
            running: Some(running),
        }
    }

    /// Sends a comparison if one is due; called at every tick.
    pub fn tick(&mut self, ctx: &mut Context) {
        self.send_verification(ctx);
    }
}

fn send_cancellation(
    ctx: &mut Context,
    id: &str,
    known: KnownJob,
    request: RequestId,
    received_at: Micros,
) {
    let record = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: known.record.task_count,
    };
    let cancelled = CancelledJob {
        cancelled_at_us: ctx.now.wall,
    };
    let txn = Transaction::default()
        .compare(records::job_key(id), known.version)
        .put(records::job_key(id), &record)
        .put(records::cancelled_key(id), &cancelled);
    let step = Step::Cancel {
        id: id.to_string(),
        request,
        received_at,
    };
    ctx.store_request(
        StoreRequest::Transaction(txn),
        Continuation::Admission(step),
    );
}
