//! Validates submissions and stores the submitted jobs.

use super::{Admission, MAX_IN_FLIGHT, RETRY_TIMEOUT, RetryReason, check_schedulable};
use crate::calls::Context;
use crate::continuations::{AdmissionStep as Step, Continuation, PendingRequest, UserRequest};
use crate::messages::{Answer, RequestId};
use crate::records::{self, OpenJob};
use crate::request_budget::{RequestPriority, StoreCost};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{self, StoreRequest, Transaction};
use dillcleat_wire::user::{JobSpec, SpecError, Submission, parse_submission};
use std::rc::Rc;

impl Admission {
    /// Handles a submission. `types` are the machine types; None if they are unknown.
    pub fn submit(
        &mut self,
        ctx: &mut Context,
        request: RequestId,
        body: &[u8],
        types: Option<&[MachineType]>,
    ) {
        self.count_request();
        let request = UserRequest::received(request, ctx.now.monotonic, RETRY_TIMEOUT);
        let Submission { id, spec } = parse_submission(body);
        let Some(id) = id else {
            let cause = spec
                .err()
                .map_or_else(|| "ref is not in its form".into(), |e| e.to_string());
            return ctx.answer(request.id, Answer::refusal(400, cause));
        };
        if self.cache.get(&id).is_some() {
            self.determine_state(ctx, id, PendingRequest::Status(request));
            return self.send_waiting(ctx);
        }
        match validate(ctx, spec, types) {
            Ok(job) if job.spec.depends_on.is_empty() => {
                self.submit_without_dependencies(ctx, request, job)
            }
            Ok(job) => self.check_dependencies(ctx, request, job),
            Err(answer) => self.determine_state(
                ctx,
                id,
                PendingRequest::RejectUnlessExists { request, answer },
            ),
        }
        self.send_waiting(ctx);
    }

    fn submit_without_dependencies(
        &mut self,
        ctx: &mut Context,
        request: UserRequest,
        job: OpenJob,
    ) {
        let now = ctx.now.monotonic;
        if self.in_flight >= MAX_IN_FLIGHT
            || !self.take_budget(StoreCost::transaction(1.0), RequestPriority::Change, now)
        {
            return self.refuse_request(ctx, &job.spec.id, request, RetryReason::TooManyRequests);
        }
        self.in_flight += 1;
        self.send_creation(ctx, request, Rc::new(job));
    }

    /// Sends the transaction that stores the job. The caller has charged the budget and
    /// incremented `in_flight`.
    pub(super) fn send_creation(&self, ctx: &mut Context, request: UserRequest, job: Rc<OpenJob>) {
        let id = &job.spec.id;
        // Only one key is written, since the store's write limit bounds the rate of
        // submissions. With a state record as well, a burst of small jobs waited for 10 s
        // (docs/incidents, inc-1846 and inc-bdf3).
        let txn = Transaction::default()
            .compare(records::job_state_key(id), 0)
            .compare(records::open_job_key(id), 0)
            .put(records::open_job_key(id), &*job);
        let step = Step::Create { request, job };
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(step),
        );
    }
}

/// The open record of a submitted job, or the answer that rejects the submission.
fn validate(
    ctx: &Context,
    spec: Result<Box<JobSpec>, SpecError>,
    types: Option<&[MachineType]>,
) -> Result<OpenJob, Answer> {
    let spec = spec.map_err(|error| Answer::refusal(400, error.to_string()))?;
    let job = OpenJob {
        spec: *spec,
        submitted_at_us: ctx.now.wall,
        tasks_per_chunk: ctx.config.tasks_per_chunk,
        without_state_record: true,
        parallelism_limit: None,
    };
    let bytes = store::json_size(&store::encode_value(&job));
    let max_bytes = ctx.config.max_value_bytes;
    if bytes > max_bytes {
        let cause = format!("the job's description takes {bytes} bytes, at most {max_bytes} fit");
        return Err(Answer::refusal(400, cause));
    }
    // The cloud reports an empty list only in case of a fault. With it, every job would be
    // rejected as unschedulable.
    let types = types
        .filter(|types| !types.is_empty())
        .ok_or_else(|| Answer::retry_later("the machine types are not known yet"))?;
    check_schedulable(ctx.config, types, &job.spec)
        .map_err(|error| Answer::refusal(422, error.to_string()))?;
    Ok(job)
}
