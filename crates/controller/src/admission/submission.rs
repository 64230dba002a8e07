//! Validates submissions.

use super::{Admission, RETRY_TIMEOUT, check_schedulable};
use crate::calls::Context;
use crate::continuations::{PendingRequest, UserRequest};
use crate::messages::{Answer, RequestId};
use crate::records::OpenJob;
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store;
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
                self.queue_creation(ctx, request, Rc::new(job));
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
