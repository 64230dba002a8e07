//! The names of jobs that a submission waits for: each must have been accepted.
//!
//! That a job was accepted never stops being true, so what this node knows needs no
//! read. Of the others the records are read side by side, each as a poll would: the
//! open one first, then the mark.

use super::*;

/// A submission whose names are being looked up.
#[derive(Debug)]
pub(super) struct Naming {
    request: RequestId,
    job: OpenJob,
    since: Micros,
    /// Look-ups without an answer.
    left: usize,
    /// Why it can't be taken, if so.
    refused: Option<String>,
    /// Some name could not be looked up.
    unknown: bool,
    /// Names of jobs that are done: they need not be waited for.
    done: Vec<String>,
}

impl Naming {
    fn refuse(&mut self, name: &str, cause: &str) {
        let short: String = name.chars().take(64).collect();
        self.refused = Some(format!("awaits {short}, {cause}"));
    }

    /// What is known of a name.
    fn found(&mut self, name: &str, known: KnownJob) {
        match known.mark.state {
            RecordedState::Done => self.done.push(name.to_string()),
            RecordedState::Open if known.service => {
                self.refuse(name, "a service, which is never done");
            }
            RecordedState::Open | RecordedState::Cancelled => {}
        }
    }
}

/// Reads a name's mark, or its description.
fn read(ctx: &mut Context, naming: u64, name: String, mark: bool) {
    let key = match mark {
        true => records::job_key(&name),
        false => records::open_key(&name),
    };
    let step = Step::Name { naming, name, mark };
    ctx.hedged_store_request(StoreRequest::Get { key }, Continuation::Admission(step));
}

const NEVER: &str = "which was never accepted";

impl Admission {
    /// Takes a submission that waits for other jobs.
    pub(super) fn name(&mut self, ctx: &mut Context, request: RequestId, job: OpenJob) {
        let now = ctx.now.monotonic;
        let id = job.spec.id.clone();
        let mut naming = Naming {
            request,
            since: now,
            left: 0,
            refused: None,
            unknown: false,
            done: Vec::new(),
            job,
        };
        let mut unseen = Vec::new();
        for name in naming.job.spec.depends_on.clone() {
            match self.cache.get(&name) {
                Some(job_cache) => naming.found(&name, job_cache),
                None if name == id || !is_job_id(&name) => naming.refuse(&name, NEVER),
                None => unseen.push(name),
            }
        }
        let reads = unseen.len();
        let calls = 1.0 + reads as f64;
        if naming.refused.is_some() {
            return self.named(ctx, naming);
        }
        if self.under_way + reads >= MAX_UNDER_WAY
            || !self.grant(calls, 1.0, RequestPriority::Change, now)
        {
            return ctx.answer(request, Answer::later("too many requests"));
        }
        if reads == 0 {
            return self.named(ctx, naming);
        }
        naming.left = reads;
        self.under_way += reads;
        self.last_naming += 1;
        let naming_no = self.last_naming;
        self.namings.insert(naming_no, naming);
        for name in unseen {
            read(ctx, naming_no, name, false);
        }
    }

    /// One of its names was looked up.
    pub(super) fn name_found(
        &mut self,
        ctx: &mut Context,
        naming_no: u64,
        name: String,
        mark: bool,
        reply: Result<StoreResponse, CallError>,
    ) {
        let known = match &reply {
            Ok(StoreResponse::Found(row)) if mark => {
                let mark = row.decode_value::<JobStateRecord>();
                mark.map(|mark| KnownJob::marked(mark, row.version))
            }
            Ok(StoreResponse::Found(row)) => row
                .decode_value::<OpenJob>()
                .map(|job| KnownJob::open(&job, row)),
            _ => None,
        };
        if matches!(reply, Ok(StoreResponse::NotFound { .. })) && !mark {
            // It has ended, or never was.
            self.calls.charge(1.0, ctx.now.monotonic);
            return read(ctx, naming_no, name, true);
        }
        self.under_way -= 1;
        let Some(mut naming) = self.namings.remove(&naming_no) else {
            return;
        };
        match (known, &reply) {
            (Some(known), _) => {
                self.cache.put(&name, known);
                naming.found(&name, known);
            }
            (None, Ok(StoreResponse::NotFound { .. })) => naming.refuse(&name, NEVER),
            (None, _) => naming.unknown = true,
        }
        naming.left -= 1;
        if naming.left > 0 {
            self.namings.insert(naming_no, naming);
        } else {
            self.named(ctx, naming);
        }
    }

    /// All that could be known of its names is.
    fn named(&mut self, ctx: &mut Context, mut naming: Naming) {
        let request = naming.request;
        let answer = match naming.refused {
            Some(cause) => Answer::refusal(422, cause),
            None if naming.unknown => Answer::later("the state is out of reach"),
            None => {
                let done = &naming.done;
                naming
                    .job
                    .spec
                    .depends_on
                    .retain(|name| !done.contains(name));
                self.under_way += 1;
                return self.create(ctx, request, Rc::new(naming.job), naming.since);
            }
        };
        // Whatever is wrong with its names, a known job is answered as known.
        let ask = PendingRequest::Refuse { request, answer };
        self.ask(ctx, naming.job.spec.id.clone(), ask);
    }
}
