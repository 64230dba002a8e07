//! Submissions, polls and cancellations. Every node serves them by itself.
//!
//! A job's mark, `j/`, says that it is done or cancelled, and is written once.
//! What has ended may be answered from memory for ever. Of anything else the
//! absence of a mark is compared with the store after the request came in,
//! because another node may just have told the user of its end.

mod dependency_check;
mod replies;

use self::dependency_check::Naming;
use crate::calls::{CallError, Context};
use crate::continuations::{AdmissionStep as Step, Continuation, PendingRequest};
use crate::job_cache::{JobCache, KnownJob};
use crate::progress::ProgressTable;
use crate::records::{self, CancelledJob, JobStateRecord, OpenJob, RecordedState};
use crate::request_budget::{RequestBudget, RequestPriority};
use crate::{Answer, Config, MILLISECOND, Micros, RequestId, SECOND};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{self, StoreRequest, StoreResponse, Transaction};
use dillcleat_wire::user::{JobKind, JobSpec, JobState, JobStatus, is_job_id, parse_submission};
use std::collections::HashMap;
use std::rc::Rc;

/// How long a submission may be tried; its user gives up on it after 5 s.
const CREATE_TIME: Micros = 4 * SECOND;
/// Look-ups, submissions and cancellations that may be under way at once.
const MAX_UNDER_WAY: usize = 256;
/// Compare-only transactions that may be under way at once. More than one, so
/// that a single slow answer does not hold up every poll.
const MAX_CHECKS: usize = 3;
/// Requests that may wait for their comparison.
const MAX_WAITING: usize = 2000;

#[derive(Debug)]
pub struct Admission {
    calls: RequestBudget,
    writes: RequestBudget,
    cache: JobCache,
    /// Asks that wait for the next comparison.
    waiting: Vec<(String, PendingRequest)>,
    checking: HashMap<String, Vec<PendingRequest>>,
    checks: usize,
    under_way: usize,
    /// Submissions whose names are being looked up, by number.
    namings: HashMap<u64, Naming>,
    last_naming: u64,
    /// Users' requests since the last beat, and how many come in a second.
    asked: u32,
    asked_per_s: f64,
    /// Jobs that were seen to be cancelled, for the leader of this process.
    cancelled: Vec<String>,
    /// The leader's word on how far jobs are, for display.
    pub(crate) progress: ProgressTable,
}

/// Why a job can never run here; None if it can.
pub fn unfit(config: &Config, types: &[MachineType], spec: &JobSpec) -> Option<&'static str> {
    let Some(team) = config.team(&spec.team) else {
        return Some("unknown team");
    };
    let team = &config.teams[team];
    let fits = |t: &MachineType| {
        spec.types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && t.cpus >= spec.cpus
            && t.gpus >= spec.gpus
            && t.memory_gb >= spec.memory_gb
    };
    if !types.iter().any(fits) {
        return Some("a task fits no allowed machine type");
    }
    let at_once = match spec.kind {
        JobKind::Batch => 1.0,
        JobKind::Service => f64::from(spec.tasks),
    };
    // A limit of 0 means that there is none.
    let over = |need: f64, max: f64| max > 0.0 && need * at_once > max + 1e-9;
    if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
        return Some("the job needs more than its team's limit");
    }
    if spec.single_zone && spec.spread && spec.tasks > 1 {
        return Some("one zone and a spread over zones exclude each other");
    }
    None
}

impl Admission {
    pub fn new(config: &Config) -> Self {
        Admission {
            calls: RequestBudget::new(config.state_rps, config),
            writes: RequestBudget::new(config.state_write_rps, config),
            cache: JobCache::new(config),
            waiting: Vec::new(),
            checking: HashMap::new(),
            checks: 0,
            under_way: 0,
            namings: HashMap::new(),
            last_naming: 0,
            asked: 0,
            asked_per_s: 0.0,
            cancelled: Vec::new(),
            progress: ProgressTable::default(),
        }
    }

    /// Users' requests a second, of late; to be asked at every beat.
    pub fn demand(&mut self, since_last: Micros) -> f64 {
        let count = f64::from(std::mem::take(&mut self.asked));
        let rate = count / crate::seconds(since_last).max(0.1);
        self.asked_per_s = (self.asked_per_s + rate) / 2.0;
        self.asked_per_s
    }

    /// This node's share of what users' requests may take of the state service.
    pub fn share(&mut self, share: f64, now: Micros) {
        self.calls.share(share, now);
        self.writes.share(share, now);
    }

    /// A user's request came in that is served elsewhere: it counts for this node's
    /// share.
    pub fn asked(&mut self) {
        self.asked += 1;
    }

    /// Whether what a request that is served elsewhere needs is there.
    pub fn could(&mut self, calls: f64, changes: f64, need: RequestPriority, now: Micros) -> bool {
        self.calls.has(calls, need, now) && (changes == 0.0 || self.writes.has(changes, need, now))
    }

    /// Takes it: all of it, or nothing.
    pub fn grant(&mut self, calls: f64, changes: f64, need: RequestPriority, now: Micros) -> bool {
        let could = self.could(calls, changes, need, now);
        if could {
            self.calls.charge(calls, now);
            self.writes.charge(changes, now);
        }
        could
    }

    /// A job is in the store, and open.
    pub fn admitted(&mut self, job: &OpenJob) {
        let mark = JobStateRecord {
            state: RecordedState::Open,
            task_count: job.spec.tasks,
        };
        let known = KnownJob {
            mark,
            version: 0,
            service: job.spec.kind == JobKind::Service,
        };
        self.cache.put(&job.spec.id, known);
    }

    /// What a read or write of the store has said of a job's end is known from now on.
    fn learn(&mut self, id: &str, known: KnownJob) {
        if known.mark.state == RecordedState::Cancelled {
            self.cancelled.push(id.to_string());
        }
        self.cache.put(id, known);
    }

    /// The jobs that were seen to be cancelled since this was last asked.
    pub fn take_cancelled(&mut self) -> Vec<String> {
        std::mem::take(&mut self.cancelled)
    }

    /// The leader of this process has stored a job's end.
    pub fn ended(&mut self, id: &str, mark: JobStateRecord) {
        self.cache.put(id, KnownJob::ended(mark));
        self.progress.job_ended(id);
    }

    fn status(&self, id: &str, mark: JobStateRecord) -> JobStatus {
        let counts = self.progress.get(id);
        let (done, running) = counts.map_or((0, 0), |counts| (counts.done, counts.running));
        let (state, done, running) = match mark.state {
            RecordedState::Done => (JobState::Done, mark.task_count, 0),
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

    pub fn submit(
        &mut self,
        ctx: &mut Context,
        request: RequestId,
        body: &[u8],
        types: Option<&[MachineType]>,
    ) {
        self.asked += 1;
        let submission = parse_submission(body);
        let Some(id) = submission.id else {
            let cause = submission
                .spec
                .err()
                .map_or_else(|| "ref is not in its form".into(), |e| e.to_string());
            return ctx.answer(request, Answer::refusal(400, cause));
        };
        if self.cache.get(&id).is_some() {
            return self.ask(ctx, id, PendingRequest::Tell(request));
        }
        // Whatever is wrong with the content, a known job is answered as known.
        let refuse = |status, cause: String| PendingRequest::Refuse {
            request,
            answer: Answer::refusal(status, cause),
        };
        let spec = match submission.spec {
            Ok(spec) => spec,
            Err(e) => return self.ask(ctx, id, refuse(400, e.to_string())),
        };
        let job = OpenJob {
            spec: *spec,
            submitted_at_us: ctx.now.wall,
            chunk: ctx.config.chunk_tasks,
            unmarked: true,
            parallelism_limit: None,
        };
        let (bytes, most) = (
            store::json_size(&store::encode_value(&job)),
            ctx.config.value_bytes,
        );
        if bytes > most {
            let cause = format!("the job's description takes {bytes} bytes, at most {most} fit");
            return self.ask(ctx, id, refuse(400, cause));
        }
        // An empty list is one from a cloud in trouble: by it nothing would ever run.
        let Some(types) = types.filter(|types| !types.is_empty()) else {
            let answer = Answer::later("the machine types are not known yet");
            return self.ask(ctx, id, PendingRequest::Refuse { request, answer });
        };
        if let Some(cause) = unfit(ctx.config, types, &job.spec) {
            return self.ask(ctx, id, refuse(422, cause.into()));
        }
        if !job.spec.depends_on.is_empty() {
            return self.name(ctx, request, job);
        }
        let now = ctx.now.monotonic;
        // Both or neither: a call taken for a change that is not to be had was lost to polls.
        if self.under_way >= MAX_UNDER_WAY || !self.grant(1.0, 1.0, RequestPriority::Change, now) {
            return ctx.answer(request, Answer::later("too many requests"));
        }
        self.under_way += 1;
        self.create(ctx, request, Rc::new(job), ctx.now.monotonic);
    }

    fn create(&self, ctx: &mut Context, request: RequestId, job: Rc<OpenJob>, since: Micros) {
        let id = &job.spec.id;
        // One write: the state service's writes are what bounds submissions. With
        // a mark of its own for each, a burst of small jobs waited for 10 s
        // (incidents 1846, bdf3).
        let txn = Transaction::default()
            .compare(records::job_key(id), 0)
            .compare(records::open_key(id), 0)
            .put(records::open_key(id), &*job);
        let step = Step::Create {
            request,
            job,
            since,
        };
        ctx.hedged_store_request(
            StoreRequest::Transaction(txn),
            Continuation::Admission(step),
        );
    }

    pub fn poll(&mut self, ctx: &mut Context, request: RequestId, id: String) {
        self.asked += 1;
        if !is_job_id(&id) {
            return ctx.answer(request, Answer::refusal(404, "no such job"));
        }
        self.ask(ctx, id, PendingRequest::Tell(request));
    }

    pub fn cancel(&mut self, ctx: &mut Context, request: RequestId, id: String) {
        self.asked += 1;
        if !is_job_id(&id) {
            return ctx.answer(request, Answer::refusal(404, "no such job"));
        }
        let since = ctx.now.monotonic;
        self.ask(ctx, id, PendingRequest::Cancel { request, since });
    }

    /// Settles an ask by memory, a comparison or a look-up, whichever is enough.
    fn ask(&mut self, ctx: &mut Context, id: String, ask: PendingRequest) {
        if let Some(end) = self.cache.end(&id) {
            return self.settle(ctx, &id, Some(end), ask);
        }
        match self.cache.get(&id) {
            // The transaction that cancels compares by itself.
            Some(known) if matches!(ask, PendingRequest::Cancel { .. }) => {
                self.settle(ctx, &id, Some(known), ask);
            }
            Some(_) => {
                if self.waiting.len() >= MAX_WAITING {
                    return ctx.answer(ask.request(), Answer::later("too many requests"));
                }
                self.waiting.push((id, ask));
                self.check(ctx);
            }
            None => self.lookup(ctx, id, ask),
        }
    }

    fn lookup(&mut self, ctx: &mut Context, id: String, ask: PendingRequest) {
        // Each ask has a read of its own, whose answer carries it: one under way may have
        // read before this request came in. Asks were once given the answers in the order
        // in which they had come, and answers come in any: of an accepted job a user who
        // had been told so was told that there is none.
        if self.under_way >= MAX_UNDER_WAY
            || !self
                .calls
                .take(1.0, RequestPriority::of(&ask), ctx.now.monotonic)
        {
            return ctx.answer(ask.request(), Answer::later("too many requests"));
        }
        self.under_way += 1;
        let call = StoreRequest::Get {
            key: records::open_key(&id),
        };
        ctx.store_request(call, Continuation::Admission(Step::Lookup { id, ask }));
    }

    /// Reads the mark of a job that is not open, or whose end has just come.
    /// Whoever is not found here was not there when it was looked for.
    fn look_for_mark(&mut self, ctx: &mut Context, id: String, ask: PendingRequest) {
        self.under_way += 1;
        self.calls.charge(1.0, ctx.now.monotonic);
        let call = StoreRequest::Get {
            key: records::job_key(&id),
        };
        ctx.store_request(call, Continuation::Admission(Step::Ended { id, ask }));
    }

    fn check(&mut self, ctx: &mut Context) {
        if self.waiting.is_empty()
            || self.checks >= MAX_CHECKS
            || !self
                .calls
                .take(1.0, RequestPriority::Poll, ctx.now.monotonic)
        {
            return;
        }
        let mut jobs: Vec<String> = Vec::new();
        let mut txn = Transaction::default();
        let limit = ctx.config.txn_ops * 4;
        let mut later = Vec::new();
        for (id, ask) in std::mem::take(&mut self.waiting) {
            let Some(known) = self.cache.get(&id) else {
                self.lookup(ctx, id, ask);
                continue;
            };
            if known.mark.state != RecordedState::Open {
                self.settle(ctx, &id, Some(known), ask);
                continue;
            }
            // One comparison at a time per job keeps the accounts simple.
            let own = jobs.contains(&id);
            if !own && (jobs.len() >= limit || self.checking.contains_key(&id)) {
                later.push((id, ask));
                continue;
            }
            if !own {
                txn = txn.compare(records::job_key(&id), known.version);
                jobs.push(id.clone());
            }
            self.checking.entry(id).or_default().push(ask);
        }
        self.waiting = later;
        if !jobs.is_empty() {
            self.checks += 1;
            // Lost, it answered none of up to `limit` jobs: with transactions lost one after the
            // other a job was once without an answer for 90 s (seed 3909 of meetings).
            ctx.hedged_store_request(
                StoreRequest::Transaction(txn),
                Continuation::Admission(Step::Check { jobs }),
            );
        }
    }

    /// Answers an ask with what the store has said of its job.
    fn settle(
        &mut self,
        ctx: &mut Context,
        id: &str,
        known: Option<KnownJob>,
        ask: PendingRequest,
    ) {
        match (known, ask) {
            (None, PendingRequest::Refuse { request, answer }) => {
                if answer.status != 503 {
                    log::info!("refused {id}: {}", answer.status);
                }
                ctx.answer(request, answer);
            }
            (None, ask) => ctx.answer(ask.request(), Answer::refusal(404, "no such job")),
            (Some(known), PendingRequest::Cancel { request, since })
                if known.mark.state == RecordedState::Open =>
            {
                let txn = Transaction::default()
                    .compare(records::job_key(id), known.version)
                    .put(
                        records::job_key(id),
                        &JobStateRecord {
                            state: RecordedState::Cancelled,
                            task_count: known.mark.task_count,
                        },
                    )
                    .put(
                        records::cancelled_key(id),
                        &CancelledJob {
                            cancelled_at_us: ctx.now.wall,
                        },
                    );
                let step = Step::Cancel {
                    id: id.to_string(),
                    request,
                    since,
                };
                ctx.store_request(
                    StoreRequest::Transaction(txn),
                    Continuation::Admission(step),
                );
            }
            (Some(known), ask) => {
                let status = self.status(id, known.mark);
                ctx.answer(ask.request(), Answer::body(200, &status));
            }
        }
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        self.check(ctx);
    }

    /// How often the core wants to be woken while polls wait.
    pub const TICK: Micros = 20 * MILLISECOND;
}
