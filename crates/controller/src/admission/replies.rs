//! What the state service's answers mean for users' requests.

use super::*;

impl Admission {
    pub fn reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        reply: Result<StoreResponse, CallError>,
    ) {
        match step {
            Step::Lookup { id, ask } => {
                self.under_way -= 1;
                self.looked_up(ctx, id, ask, reply);
            }
            Step::Ended { id, ask } => {
                self.under_way -= 1;
                self.found_mark(ctx, &id, ask, reply);
            }
            Step::Check { jobs } => {
                self.checks -= 1;
                for id in jobs {
                    let asks = self.checking.remove(&id).unwrap_or_default();
                    match &reply {
                        Ok(StoreResponse::Committed { .. }) => {
                            let job_cache = self.cache.get(&id);
                            for ask in asks {
                                match job_cache {
                                    Some(job_cache) => self.settle(ctx, &id, Some(job_cache), ask),
                                    None => self.lookup(ctx, id.clone(), ask),
                                }
                            }
                        }
                        Ok(StoreResponse::Conflict { failed, .. }) => {
                            let changed = failed.contains(&records::job_key(&id));
                            for ask in asks {
                                match self.cache.get(&id) {
                                    // The others were equal at that same moment.
                                    Some(job_cache)
                                        if !changed
                                            || job_cache.mark.state != RecordedState::Open =>
                                    {
                                        self.settle(ctx, &id, Some(job_cache), ask);
                                    }
                                    _ if changed => self.look_for_mark(ctx, id.clone(), ask),
                                    _ => self.lookup(ctx, id.clone(), ask),
                                }
                            }
                        }
                        _ => {
                            for ask in asks {
                                ctx.answer(
                                    ask.request(),
                                    Answer::later("the state is out of reach"),
                                );
                            }
                        }
                    }
                }
                self.check(ctx);
            }
            Step::Name { naming, name, mark } => self.name_found(ctx, naming, name, mark, reply),
            Step::Create {
                request,
                job,
                since,
            } => self.created(ctx, request, job, since, reply),
            Step::Cancel { id, request, since } => self.cancelled(ctx, id, request, since, reply),
        }
    }

    fn looked_up(
        &mut self,
        ctx: &mut Context,
        id: String,
        ask: PendingRequest,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Found(row)) => match row.decode_value::<OpenJob>() {
                Some(job) => {
                    let known = KnownJob::open(&job, &row);
                    self.cache.put(&id, known);
                    // A cancelled job's description stays until its tasks are
                    // gone: that there is one does not yet say that it is open.
                    self.ask(ctx, id, ask);
                }
                None => {
                    log::error!("{}: not a job's description", row.key);
                    ctx.answer(
                        ask.request(),
                        Answer::later("the job's record is unreadable"),
                    );
                }
            },
            Ok(StoreResponse::NotFound { .. }) => self.look_for_mark(ctx, id, ask),
            _ => ctx.answer(ask.request(), Answer::later("the state is out of reach")),
        }
    }

    fn found_mark(
        &mut self,
        ctx: &mut Context,
        id: &str,
        ask: PendingRequest,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Found(row)) => match row.decode_value::<JobStateRecord>() {
                Some(mark) => {
                    let known = KnownJob::marked(mark, row.version);
                    self.learn(id, known);
                    self.settle(ctx, id, Some(known), ask);
                }
                None => {
                    log::error!("{}: not a job's record", row.key);
                    ctx.answer(
                        ask.request(),
                        Answer::later("the job's record is unreadable"),
                    );
                }
            },
            // It has been stored since then, and this node may have told its user: looked
            // at again, it is not called unknown.
            Ok(StoreResponse::NotFound { .. })
                if (self.cache.get(id)).is_some_and(|known| {
                    known.version == 0 || known.mark.state != RecordedState::Open
                }) =>
            {
                self.ask(ctx, id.to_string(), ask);
            }
            Ok(StoreResponse::NotFound { .. }) => self.settle(ctx, id, None, ask),
            _ => ctx.answer(ask.request(), Answer::later("the state is out of reach")),
        }
    }

    fn created(
        &mut self,
        ctx: &mut Context,
        request: RequestId,
        job: Rc<OpenJob>,
        since: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        let id = job.spec.id.clone();
        match reply {
            Ok(StoreResponse::Committed { .. }) => {
                self.under_way -= 1;
                self.admitted(&job);
                let due = match job.spec.deadline_s {
                    Some(due) => format!("due in {due} s"),
                    None => "no deadline".to_string(),
                };
                let after = match job.spec.depends_on.as_slice() {
                    [] => String::new(),
                    names => format!(", after {}", names.join(" ")),
                };
                log::info!(
                    "accepted {id}: {} tasks of {} for {}, {due}{after}",
                    job.spec.tasks,
                    job.spec.class,
                    job.spec.team,
                );
                // Cancelled or done before this answer came, and told so.
                if let Some(end) = self.cache.end(&id) {
                    return self.settle(ctx, &id, Some(end), PendingRequest::Tell(request));
                }
                let status = JobStatus {
                    id,
                    state: JobState::Queued,
                    done: None,
                    running: None,
                };
                ctx.answer(request, Answer::body(201, &status));
            }
            // It was described and had no mark: open, unless its end has come between
            // that and this answer, of which this node then knows. To read both again
            // took a slow submission past 200 ms.
            Ok(StoreResponse::Conflict { failed, .. })
                if failed == [records::open_key(&id)] && self.cache.end(&id).is_none() =>
            {
                self.under_way -= 1;
                log::info!("{id} is known already, perhaps by an earlier try");
                let mark = JobStateRecord {
                    state: RecordedState::Open,
                    task_count: job.spec.tasks,
                };
                let status = self.status(&id, mark);
                ctx.answer(request, Answer::body(200, &status));
            }
            // It exists, perhaps by an earlier try of ours whose answer was lost.
            Ok(StoreResponse::Conflict { .. }) => {
                self.under_way -= 1;
                log::info!("{id} is known already, perhaps by an earlier try");
                self.ask(ctx, id, PendingRequest::Tell(request));
            }
            // It may yet be carried out. The same transaction again settles
            // it: it either commits or finds the record. It costs as much again.
            Err(_)
                if ctx.now.monotonic < since + CREATE_TIME
                    && self.grant(1.0, 1.0, RequestPriority::Change, ctx.now.monotonic) =>
            {
                self.create(ctx, request, job, since);
            }
            Ok(StoreResponse::Malformed) => {
                self.under_way -= 1;
                log::error!("the state service calls the record of {id} malformed");
                // A repeated submission may hold more than the one that was taken.
                let answer = Answer::refusal(400, "the job cannot be stored");
                self.ask(ctx, id, PendingRequest::Refuse { request, answer });
            }
            _ => {
                self.under_way -= 1;
                ctx.answer(request, Answer::later("the state is out of reach"));
            }
        }
    }

    fn cancelled(
        &mut self,
        ctx: &mut Context,
        id: String,
        request: RequestId,
        since: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::Committed { .. }) => {
                let n = self.cache.get(&id).map_or(0, |k| k.mark.task_count);
                let mark = JobStateRecord {
                    state: RecordedState::Cancelled,
                    task_count: n,
                };
                self.learn(&id, KnownJob::ended(mark));
                log::info!("cancelled {id}");
                let status = self.status(&id, mark);
                ctx.answer(request, Answer::body(200, &status));
            }
            // Its end came first, or an earlier try was carried out: read which.
            Ok(StoreResponse::Conflict { .. }) => {
                self.look_for_mark(ctx, id, PendingRequest::Cancel { request, since });
            }
            Err(_) if ctx.now.monotonic < since + CREATE_TIME => {
                self.lookup(ctx, id, PendingRequest::Cancel { request, since });
            }
            _ => ctx.answer(request, Answer::later("the state is out of reach")),
        }
    }
}
