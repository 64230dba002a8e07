//! Handles the store's responses to users' requests.

use super::writes::WRITE_COST;
use super::{Admission, RetryReason};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, JobRecordKind, PendingRequest, UserRequest};
use crate::job_cache::CachedJobState;
use crate::messages::Answer;
use crate::records::{self, JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::RequestPriority;
use crate::time::Micros;
use dillcleat_wire::store::StoreResponse;
use dillcleat_wire::user::{JobState, JobStatus};
use std::rc::Rc;

impl Admission {
    /// Handles the response to the request of an admission step, which was sent at `sent_at`.
    pub fn reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        sent_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.handle_reply(ctx, step, sent_at, reply);
        self.advance_ancestor_checks(ctx);
        self.send_waiting(ctx);
    }

    fn handle_reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        sent_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match step {
            Step::ReadRecord { id, kind, pending } => {
                self.in_flight -= 1;
                self.handle_record_read(ctx, kind, id, pending, reply);
            }
            Step::CheckExistence { requests } => self.handle_existence_check(ctx, requests, reply),
            Step::ListRecords { kind, requests } => self.handle_listing(ctx, kind, requests, reply),
            Step::VerifyOpen { requests } => {
                self.handle_verification(ctx, requests, sent_at, reply);
            }
            Step::Create { request, job } => self.handle_create_reply(ctx, request, job, reply),
            Step::CancelDescendant { id } => self.handle_descendant_cancelled(ctx, &id, reply),
            Step::Cancel { id, request } => self.handle_cancel_reply(ctx, id, request, reply),
        }
    }

    fn handle_create_reply(
        &mut self,
        ctx: &mut Context,
        request: UserRequest,
        job: Rc<OpenJob>,
        reply: Result<StoreResponse, CallError>,
    ) {
        // Without a response the outcome is unknown, since the transaction may still be
        // executed. The same transaction is sent again: it either commits or finds the record
        // of the first one.
        let now = ctx.now.monotonic;
        if reply.is_err()
            && now < request.answer_by
            && self.take_budget(WRITE_COST, RequestPriority::Change, now)
        {
            return self.send_creation(ctx, request, job);
        }
        self.in_flight -= 1;
        match reply {
            Ok(StoreResponse::Committed { .. }) => {
                self.answer_accepted(ctx, request, &job);
            }
            Ok(StoreResponse::Conflict { failed, .. }) => {
                self.answer_repeated_submission(ctx, request, &job, &failed);
            }
            Ok(StoreResponse::Malformed) => {
                let id = job.spec.id.clone();
                log::error!("store rejected record as malformed job={id}");
                // If the job exists, this is a repeated submission, which may be larger than
                // the accepted one.
                let answer = Answer::refusal(400, "the job cannot be stored");
                self.determine_state(
                    ctx,
                    id,
                    PendingRequest::RejectUnlessExists { request, answer },
                );
            }
            _ => self.refuse_request(ctx, &job.spec.id, request, RetryReason::StoreUnreachable),
        }
    }

    fn answer_accepted(&mut self, ctx: &mut Context, request: UserRequest, job: &OpenJob) {
        let id = job.spec.id.clone();
        self.record_admission(job, request.received_at);
        log_accepted(job);
        // If the job has ended meanwhile, another request may already have reported that, so
        // the answer must not be `queued`.
        if let Some(ended) = self.cache.get_ended(&id) {
            return self.answer_with_state(ctx, &id, Some(ended), PendingRequest::Status(request));
        }
        let status = JobStatus {
            id,
            state: JobState::Queued,
            done: None,
            running: None,
        };
        self.answer_request(ctx, &status.id.clone(), request, Answer::body(201, &status));
    }

    /// Answers a submission whose job already exists. `failed` are the keys of the failed
    /// comparisons.
    fn answer_repeated_submission(
        &mut self,
        ctx: &mut Context,
        request: UserRequest,
        job: &OpenJob,
        failed: &[String],
    ) {
        let id = job.spec.id.clone();
        log::info!("repeated submission job={id}");
        // If only the comparison of the open record failed, the job was open when the
        // transaction was executed. If this node does not know of an end since then, no further
        // read is needed, unless an ancestor may be cancelled. Reading both records again would
        // take a slow submission past 200 ms.
        if failed == [records::open_job_key(&id)]
            && self.cache.get_ended(&id).is_none()
            && job.spec.depends_on.is_empty()
        {
            let record = JobStateRecord {
                state: RecordedState::Open,
                task_count: job.spec.tasks,
            };
            return self.report(ctx, &id, record, request);
        }
        self.determine_state(ctx, id, PendingRequest::Status(request));
    }

    fn handle_cancel_reply(
        &mut self,
        ctx: &mut Context,
        id: String,
        request: UserRequest,
        reply: Result<StoreResponse, CallError>,
    ) {
        let pending = PendingRequest::Cancel(request);
        match reply {
            Ok(StoreResponse::Committed { .. }) => {
                let cached = self.cache.get(&id);
                let record = JobStateRecord {
                    state: RecordedState::Cancelled,
                    task_count: cached.map_or(0, |cached| cached.record.task_count),
                };
                self.record_state(&id, CachedJobState::ended(record));
                log::info!("job cancelled job={id}");
                self.report(ctx, &id, record, request);
            }
            // The job had already ended, or an earlier attempt was committed.
            Ok(StoreResponse::Conflict { .. }) => {
                self.queue_record_read(ctx, JobRecordKind::State, id, pending);
            }
            Ok(StoreResponse::RateLimited) => {
                self.return_cancellation_budget(ctx.now.monotonic);
                self.delay_cancellation(ctx, id, request);
            }
            Err(_) if ctx.now.monotonic < request.answer_by => {
                self.queue_record_read(ctx, JobRecordKind::Open, id, pending);
            }
            _ => self.refuse_request(ctx, &id, request, RetryReason::StoreUnreachable),
        }
    }
}

fn log_accepted(job: &OpenJob) {
    let spec = &job.spec;
    let deadline = spec
        .deadline_s
        .map_or(String::new(), |seconds| format!(" deadline_s={seconds}"));
    let dependencies = match spec.depends_on.as_slice() {
        [] => String::new(),
        names => format!(" depends_on={}", names.join(",")),
    };
    log::info!(
        "job accepted job={} tasks={} class={} team={}{deadline}{dependencies}",
        spec.id,
        spec.tasks,
        spec.class,
        spec.team,
    );
}
