//! Handles the store's responses to users' requests.

use super::{Admission, RETRY_TIMEOUT, STORE_UNREACHABLE, UNREADABLE_RECORD};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, PendingRequest};
use crate::job_cache::KnownJob;
use crate::messages::{Answer, RequestId};
use crate::records::{self, JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::{RequestPriority, StoreCost};
use crate::time::Micros;
use dillcleat_wire::store::StoreResponse;
use dillcleat_wire::user::{JobState, JobStatus};
use std::rc::Rc;

impl Admission {
    /// Handles the response to the request of an admission step.
    pub fn reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        reply: Result<StoreResponse, CallError>,
    ) {
        match step {
            Step::ReadOpenRecord { id, pending } => {
                self.in_flight -= 1;
                self.handle_open_record(ctx, id, pending, reply);
            }
            Step::ReadStateRecord { id, pending } => {
                self.in_flight -= 1;
                self.handle_state_record(ctx, &id, pending, reply);
            }
            Step::VerifyOpen { jobs } => self.handle_verification(ctx, jobs, &reply),
            Step::ReadDependency {
                submission,
                dependency,
                record,
            } => self.handle_dependency_read(ctx, submission, dependency, record, &reply),
            Step::Create {
                request,
                job,
                received_at,
            } => self.handle_created(ctx, request, job, received_at, reply),
            Step::Cancel {
                id,
                request,
                received_at,
            } => {
                self.handle_cancelled(ctx, id, request, received_at, reply);
            }
        }
    }

    fn handle_open_record(
        &mut self,
        ctx: &mut Context,
        id: String,
        pending: PendingRequest,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Found(row)) => {
                let Some(job) = row.decode_value::<OpenJob>() else {
                    return answer_unreadable(ctx, &row.key, &pending);
                };
                self.cache.insert(&id, KnownJob::from_open_row(&job, &row));
                // The open record of a cancelled job exists until its tasks are gone, so its
                // existence does not prove that the job is open.
                self.resolve(ctx, id, pending);
            }
            Ok(StoreResponse::NotFound { .. }) => self.read_state_record(ctx, id, pending),
            _ => ctx.answer(pending.request(), Answer::retry_later(STORE_UNREACHABLE)),
        }
    }

    fn handle_state_record(
        &mut self,
        ctx: &mut Context,
        id: &str,
        pending: PendingRequest,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Found(row)) => {
                let Some(record) = row.decode_value::<JobStateRecord>() else {
                    return answer_unreadable(ctx, &row.key, &pending);
                };
                let known = KnownJob::from_state_record(record, row.version);
                self.record_state(id, known);
                self.conclude(ctx, id, Some(known), pending);
            }
            // The job was stored after the read, and this node may have confirmed that to
            // the user. The state is determined again instead of answering "no such job".
            Ok(StoreResponse::NotFound { .. }) if self.is_known_without_state_record(id) => {
                self.resolve(ctx, id.to_string(), pending);
            }
            Ok(StoreResponse::NotFound { .. }) => self.conclude(ctx, id, None, pending),
            _ => ctx.answer(pending.request(), Answer::retry_later(STORE_UNREACHABLE)),
        }
    }

    /// Whether the job is cached with a state that is consistent with the absence of a state
    /// record.
    fn is_known_without_state_record(&self, id: &str) -> bool {
        self.cache
            .get(id)
            .is_some_and(|known| known.version == 0 || !known.is_open())
    }

    fn handle_created(
        &mut self,
        ctx: &mut Context,
        request: RequestId,
        job: Rc<OpenJob>,
        received_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        // The outcome is unknown, since the transaction may still be executed. The same
        // transaction is sent again: it either commits or finds the record of the first one.
        if reply.is_err()
            && ctx.now.monotonic < received_at + RETRY_TIMEOUT
            && self.take_budget(
                StoreCost::transaction(1.0),
                RequestPriority::Change,
                ctx.now.monotonic,
            )
        {
            return self.create(ctx, request, job, received_at);
        }
        self.in_flight -= 1;
        match reply {
            Ok(StoreResponse::Committed { .. }) => self.answer_accepted(ctx, request, &job),
            Ok(StoreResponse::Conflict { failed, .. }) => {
                self.answer_repeated_submission(ctx, request, &job, &failed);
            }
            Ok(StoreResponse::Malformed) => {
                let id = job.spec.id.clone();
                log::error!("store rejected record as malformed job={id}");
                // If the job exists, this is a repeated submission, which may be larger than
                // the accepted one.
                let answer = Answer::refusal(400, "the job cannot be stored");
                self.resolve(ctx, id, PendingRequest::Reject { request, answer });
            }
            _ => ctx.answer(request, Answer::retry_later(STORE_UNREACHABLE)),
        }
    }

    fn answer_accepted(&mut self, ctx: &mut Context, request: RequestId, job: &OpenJob) {
        let id = job.spec.id.clone();
        self.record_admission(job);
        log_accepted(job);
        // The job has ended before this response arrived, and a user may know that.
        if let Some(ended) = self.cache.get_ended(&id) {
            return self.conclude(ctx, &id, Some(ended), PendingRequest::Status(request));
        }
        let status = JobStatus {
            id,
            state: JobState::Queued,
            done: None,
            running: None,
        };
        ctx.answer(request, Answer::body(201, &status));
    }

    /// Answers a submission whose job already exists. `failed` are the keys of the failed
    /// comparisons.
    fn answer_repeated_submission(
        &mut self,
        ctx: &mut Context,
        request: RequestId,
        job: &OpenJob,
        failed: &[String],
    ) {
        let id = job.spec.id.clone();
        log::info!("repeated submission job={id}");
        // The job had an open record and no state record, so it was open when the transaction
        // was executed. If this node does not know of an end since then, no further read is
        // needed.
        if failed == [records::open_job_key(&id)] && self.cache.get_ended(&id).is_none() {
            let record = JobStateRecord {
                state: RecordedState::Open,
                task_count: job.spec.tasks,
            };
            let status = self.status(&id, record);
            return ctx.answer(request, Answer::body(200, &status));
        }
        self.resolve(ctx, id, PendingRequest::Status(request));
    }

    fn handle_cancelled(
        &mut self,
        ctx: &mut Context,
        id: String,
        request: RequestId,
        received_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        let pending = PendingRequest::Cancel {
            request,
            received_at,
        };
        match reply {
            Ok(StoreResponse::Committed { .. }) => {
                let known = self.cache.get(&id);
                let record = JobStateRecord {
                    state: RecordedState::Cancelled,
                    task_count: known.map_or(0, |known| known.record.task_count),
                };
                self.record_state(&id, KnownJob::ended(record));
                log::info!("job cancelled job={id}");
                let status = self.status(&id, record);
                ctx.answer(request, Answer::body(200, &status));
            }
            // Either the job has ended before, or an earlier attempt was committed.
            Ok(StoreResponse::Conflict { .. }) => self.read_state_record(ctx, id, pending),
            Err(_) if ctx.now.monotonic < received_at + RETRY_TIMEOUT => {
                self.read_open_record(ctx, id, pending);
            }
            _ => ctx.answer(request, Answer::retry_later(STORE_UNREACHABLE)),
        }
    }
}

fn answer_unreadable(ctx: &mut Context, key: &str, pending: &PendingRequest) {
    log::error!("unreadable job record key={key}");
    ctx.answer(pending.request(), Answer::retry_later(UNREADABLE_RECORD));
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
