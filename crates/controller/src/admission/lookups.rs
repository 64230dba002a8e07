//! Looks up jobs that are not cached in the store.
//!
//! While the budget suffices, each request gets a read of the job's open record and, if there
//! is none, of its state record. Requests that have to wait for the budget are looked up
//! together:
//!
//! 1. A transaction without mutations compares both records of many jobs with "does not
//!    exist". It proves at once which jobs do not exist, and which records of the others do.
//! 2. A listing reads many of these records. Listings of the open records go through the whole
//!    range of waiting jobs and begin again at its start, so that a job is reached after at
//!    most two rounds of all open jobs. The ended jobs, of which there may be any number, are
//!    listed from that of the first request on, so that each listing answers at least one.
//!
//! A request is only answered by calls that were sent after it was received. Requests must
//! not join a call in flight: the store may have executed it before.

use super::dispatch::{Batch, Candidate};
use super::request_queue::{QueuedRequest, RequestQueue};
use super::{Admission, MAX_IN_FLIGHT, RetryReason};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, Continuation, JobRecordKind, PendingRequest};
use crate::job_cache::CachedJobState;
use crate::records::{self, JobStateRecord, OpenJob};
use dillcleat_wire::store::{KeyValue, RangePage, StoreRequest, StoreResponse, Transaction};
use std::collections::{BTreeMap, BTreeSet};

/// The number of requests from which on they are compared together. A comparison of fewer
/// would need as many calls as reading their records at once.
const MIN_COMPARED_REQUESTS: usize = 3;
/// The number of requests from which on their records are listed. A page of up to 1,000 rows
/// takes more processor time than a few reads.
const MIN_LISTED_REQUESTS: usize = 8;
/// The maximum number of transactions in flight.
const MAX_COMPARISONS_IN_FLIGHT: usize = 3;
/// The number of comparisons that are needed for a job: one for each of its records.
const COMPARISONS_PER_JOB: usize = 2;

/// The requests whose jobs are being looked up.
#[derive(Debug, Default)]
pub(super) struct Lookups {
    /// Requests about jobs of which nothing is known.
    unknown: RequestQueue,
    /// The number of transactions in flight that compare such jobs.
    comparisons_in_flight: usize,
    open_records: RecordReads,
    state_records: RecordReads,
}

/// Requests whose job has a record of a certain kind, which has to be read.
#[derive(Debug, Default)]
struct RecordReads {
    queue: RequestQueue,
    is_listing_in_flight: bool,
    /// The last job of the latest listing; empty if it reached the end.
    listed_to: String,
}

impl RecordReads {
    /// Whether the records are listed. `calls` is the number of calls in the budget.
    fn uses_listing(&self, calls: f64) -> bool {
        self.queue.len() >= MIN_LISTED_REQUESTS && self.queue.len() as f64 > calls
    }

    /// The first of the waiting jobs, by id, after the latest listing.
    fn next_in_round(&self) -> Option<&str> {
        let listed_to = self.listed_to.as_str();
        let next = self.queue.ids().filter(|id| *id > listed_to).min();
        next.or_else(|| self.queue.ids().min())
    }

    /// The waiting job with whose record the next listing begins.
    fn listing_start(&self, kind: JobRecordKind) -> Option<&str> {
        match kind {
            JobRecordKind::Open => self.next_in_round(),
            JobRecordKind::State => self.queue.ids().next(),
        }
    }
}

impl Lookups {
    fn reads(&mut self, kind: JobRecordKind) -> &mut RecordReads {
        match kind {
            JobRecordKind::Open => &mut self.open_records,
            JobRecordKind::State => &mut self.state_records,
        }
    }

    /// The next call about jobs of which nothing is known. None if it may not be sent now.
    /// `calls` is the number of calls in the budget.
    pub fn next_lookup(&self, calls: f64, in_flight: usize) -> Option<Candidate> {
        let waiting = self.unknown.len();
        let (batch, may_send) = match waiting >= MIN_COMPARED_REQUESTS && waiting as f64 > calls {
            true => {
                let may_send = self.comparisons_in_flight < MAX_COMPARISONS_IN_FLIGHT;
                (Batch::ExistenceCheck, may_send)
            }
            false => (Batch::Lookup, in_flight < MAX_IN_FLIGHT),
        };
        Candidate::new(batch, &self.unknown).filter(|_| may_send)
    }

    /// The next call for records of this kind, as [`next_lookup`](Self::next_lookup).
    pub fn next_record_read(
        &self,
        kind: JobRecordKind,
        calls: f64,
        in_flight: usize,
    ) -> Option<Candidate> {
        let reads = match kind {
            JobRecordKind::Open => &self.open_records,
            JobRecordKind::State => &self.state_records,
        };
        let (batch, may_send) = match reads.uses_listing(calls) {
            true => (Batch::Listing(kind), !reads.is_listing_in_flight),
            false => (Batch::RecordRead(kind), in_flight < MAX_IN_FLIGHT),
        };
        Candidate::new(batch, &reads.queue).filter(|_| may_send)
    }

    /// All queues.
    pub fn queues(&mut self) -> [&mut RequestQueue; 3] {
        [
            &mut self.unknown,
            &mut self.open_records.queue,
            &mut self.state_records.queue,
        ]
    }
}

/// The key of a job's record.
fn record_key(kind: JobRecordKind, id: &str) -> String {
    match kind {
        JobRecordKind::Open => records::open_job_key(id),
        JobRecordKind::State => records::job_state_key(id),
    }
}

/// The id of the job whose record of this kind has this key.
fn record_job(kind: JobRecordKind, key: &str) -> &str {
    key.strip_prefix(&record_key(kind, "")).unwrap_or_default()
}

/// A key before this one, with no other record of the same number of digits between them.
/// Keys of jobs end with a digit.
fn key_before(key: &str) -> String {
    let mut bytes = key.as_bytes().to_vec();
    if let Some(digit @ b'1'..=b'9') = bytes.pop() {
        bytes.push(digit - 1);
    }
    String::from_utf8(bytes).unwrap_or_default()
}

impl Admission {
    /// Queues a request about a job that is not cached.
    pub(super) fn queue_lookup(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        let position = self.queue_position(ctx, &id, &pending);
        let request = QueuedRequest { id, pending };
        let displaced = self.lookups.unknown.push(position, request);
        self.refuse_displaced(ctx, displaced);
    }

    /// Queues a request that needs a record of its job.
    pub(super) fn queue_record_read(
        &mut self,
        ctx: &mut Context,
        kind: JobRecordKind,
        id: String,
        pending: PendingRequest,
    ) {
        let position = self.queue_position(ctx, &id, &pending);
        let request = QueuedRequest { id, pending };
        let displaced = self.lookups.reads(kind).queue.push(position, request);
        self.refuse_displaced(ctx, displaced);
    }

    /// Reads the open record of the first of the jobs of which nothing is known. The caller has
    /// charged the budget.
    pub(super) fn send_lookup(&mut self, ctx: &mut Context) {
        if let Some(request) = self.lookups.unknown.pop_first() {
            self.send_read(ctx, JobRecordKind::Open, request);
        }
    }

    /// Reads the first of the records that have to be read. The caller has charged the budget.
    pub(super) fn send_record_read(&mut self, ctx: &mut Context, kind: JobRecordKind) {
        if let Some(request) = self.lookups.reads(kind).queue.pop_first() {
            self.send_read(ctx, kind, request);
        }
    }

    fn send_read(&mut self, ctx: &mut Context, kind: JobRecordKind, request: QueuedRequest) {
        self.in_flight += 1;
        let QueuedRequest { id, pending } = request;
        let call = StoreRequest::Get {
            key: record_key(kind, &id),
        };
        // Without a response, the request would be refused, and the user's next one may have no
        // better luck.
        let step = Step::ReadRecord { id, kind, pending };
        ctx.hedged_store_request(call, Continuation::Admission(step));
    }

    /// Compares the records of the first jobs with "does not exist", as many as fit in a
    /// transaction. The caller has charged the budget.
    pub(super) fn send_existence_check(&mut self, ctx: &mut Context) {
        let max_jobs = ctx.config.max_comparisons() / COMPARISONS_PER_JOB;
        let requests = self.lookups.unknown.take_first_jobs(max_jobs, |_| true);
        let jobs: BTreeSet<&str> = requests.iter().map(|request| &*request.id).collect();
        let mut txn = Transaction::default();
        for id in jobs {
            txn = txn
                .compare(records::open_job_key(id), 0)
                .compare(records::job_state_key(id), 0);
        }
        self.lookups.comparisons_in_flight += 1;
        let step = Step::CheckExistence { requests };
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(step),
        );
    }

    /// Handles the response to a comparison of the records of the requests' jobs.
    pub(super) fn handle_existence_check(
        &mut self,
        ctx: &mut Context,
        requests: Vec<QueuedRequest>,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.lookups.comparisons_in_flight -= 1;
        let existing: BTreeSet<String> = match reply {
            Ok(StoreResponse::Committed { .. }) => BTreeSet::new(),
            Ok(StoreResponse::Conflict { failed, .. }) => failed.into_iter().collect(),
            _ => return self.refuse_all(ctx, requests, RetryReason::StoreUnreachable),
        };
        for request in requests {
            let QueuedRequest { id, pending } = request;
            // The open record names the jobs that this one needs, so it is read first. It may
            // still exist although the job has ended.
            if existing.contains(&records::open_job_key(&id)) {
                self.queue_record_read(ctx, JobRecordKind::Open, id, pending);
            } else if existing.contains(&records::job_state_key(&id)) {
                self.queue_record_read(ctx, JobRecordKind::State, id, pending);
            } else {
                self.handle_absent_job(ctx, id, pending);
            }
        }
    }

    /// Lists the records of waiting jobs. The caller has charged the budget.
    pub(super) fn send_listing(&mut self, ctx: &mut Context, kind: JobRecordKind) {
        let reads = self.lookups.reads(kind);
        let Some(first) = reads.listing_start(kind).map(str::to_string) else {
            return;
        };
        let requests = reads.queue.take_if(|request| request.id >= first);
        reads.is_listing_in_flight = true;
        let call = StoreRequest::List {
            prefix: record_key(kind, ""),
            after: Some(key_before(&record_key(kind, &first))),
        };
        let step = Step::ListRecords { kind, requests };
        ctx.hedged_store_request(call, Continuation::Admission(step));
    }

    /// Handles the response to a listing of records. It covers the records up to the last one of
    /// the page, or all if there is no other page.
    pub(super) fn handle_listing(
        &mut self,
        ctx: &mut Context,
        kind: JobRecordKind,
        requests: Vec<QueuedRequest>,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.lookups.reads(kind).is_listing_in_flight = false;
        let Ok(StoreResponse::RangePage(page)) = reply else {
            return self.refuse_all(ctx, requests, RetryReason::StoreUnreachable);
        };
        let end = page.rows.last().filter(|_| page.more);
        let end = end.map(|row| row.key.clone());
        let listed_to = end.as_deref().map_or("", |key| record_job(kind, key));
        self.lookups.reads(kind).listed_to = listed_to.to_string();
        let rows = self.cache_page(kind, page, &requests);
        for request in requests {
            let QueuedRequest { id, pending } = request;
            let key = record_key(kind, &id);
            if let Some(row) = rows.get(&key) {
                self.handle_record(ctx, kind, id, pending, row);
            } else if end.as_ref().is_some_and(|end| key > *end) {
                self.queue_record_read(ctx, kind, id, pending);
            } else {
                self.handle_missing_record(ctx, kind, id, pending);
            }
        }
    }

    /// Returns the rows of the requested jobs by key. Caches the other open jobs, about which
    /// users are likely to ask as well.
    fn cache_page(
        &mut self,
        kind: JobRecordKind,
        page: RangePage,
        requests: &[QueuedRequest],
    ) -> BTreeMap<String, KeyValue> {
        let requested: BTreeSet<String> = requests
            .iter()
            .map(|request| record_key(kind, &request.id))
            .collect();
        let mut rows = BTreeMap::new();
        for row in page.rows {
            if requested.contains(&row.key) {
                rows.insert(row.key.clone(), row);
            } else if kind == JobRecordKind::Open
                && let Some(job) = row.decode_value::<OpenJob>()
            {
                let version = job.state_version(row.version);
                self.cache.insert_open(&job.spec.id, &job, version);
            }
        }
        rows
    }

    /// Handles the response to the read of a record.
    pub(super) fn handle_record_read(
        &mut self,
        ctx: &mut Context,
        kind: JobRecordKind,
        id: String,
        pending: PendingRequest,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Found(row)) => self.handle_record(ctx, kind, id, pending, &row),
            Ok(StoreResponse::NotFound { .. }) => {
                self.handle_missing_record(ctx, kind, id, pending);
            }
            _ => self.refuse(ctx, &id, pending, RetryReason::StoreUnreachable),
        }
    }

    fn handle_record(
        &mut self,
        ctx: &mut Context,
        kind: JobRecordKind,
        id: String,
        pending: PendingRequest,
        row: &KeyValue,
    ) {
        match kind {
            JobRecordKind::Open => {
                let Some(job) = row.decode_value::<OpenJob>() else {
                    return self.refuse_unreadable(ctx, &id, &row.key, pending);
                };
                self.cache
                    .insert_open(&id, &job, job.state_version(row.version));
                // The open record of a cancelled job exists until its tasks are gone, so its
                // existence does not prove that the job is open.
                self.determine_state(ctx, id, pending);
            }
            JobRecordKind::State => {
                let Some(record) = row.decode_value::<JobStateRecord>() else {
                    return self.refuse_unreadable(ctx, &id, &row.key, pending);
                };
                let cached = CachedJobState::from_state_record(record, row.version);
                self.record_state(&id, cached);
                self.answer_with_state(ctx, &id, Some(cached), pending);
            }
        }
    }

    /// Handles the absence of a record. A job without an open record has ended or does not
    /// exist, and its state record tells.
    fn handle_missing_record(
        &mut self,
        ctx: &mut Context,
        kind: JobRecordKind,
        id: String,
        pending: PendingRequest,
    ) {
        match kind {
            JobRecordKind::Open => self.queue_record_read(ctx, JobRecordKind::State, id, pending),
            JobRecordKind::State => self.handle_absent_job(ctx, id, pending),
        }
    }

    /// Handles the proof that a job had neither record when the request was received.
    fn handle_absent_job(&mut self, ctx: &mut Context, id: String, pending: PendingRequest) {
        // If the job is cached by now, it was stored after the read, and this node may have
        // confirmed that to the user. The state is determined again instead of answering
        // "no such job".
        if self.is_cached_without_state_record(&id) {
            return self.determine_state(ctx, id, pending);
        }
        self.answer_with_state(ctx, &id, None, pending);
    }

    /// Whether the job is cached with a state that is consistent with the absence of a state
    /// record.
    fn is_cached_without_state_record(&self, id: &str) -> bool {
        self.cache
            .get(id)
            .is_some_and(|cached| cached.version == 0 || !cached.is_open())
    }

    fn refuse_unreadable(
        &mut self,
        ctx: &mut Context,
        id: &str,
        key: &str,
        pending: PendingRequest,
    ) {
        log::error!("unreadable job record key={key}");
        self.refuse(ctx, id, pending, RetryReason::UnreadableRecord);
    }
}
