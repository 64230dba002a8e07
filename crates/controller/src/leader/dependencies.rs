//! Jobs that wait for others: who is ready, whose cancellation follows from another,
//! and what a job inherits of those that wait for it.

use super::deadline_risk::strict_deadline;
use super::*;
use crate::token_bucket::TokenBucket;

/// Marks of dependencies that may be read at once, and the part of the state service's
/// requests that this may take: a new leader with many waiting jobs reads them beside
/// its other work.
const PROOFS_AT_ONCE: usize = 8;
const PROOFS_PART: f64 = 0.15;
/// When a dependency that is neither open here nor marked is looked at again. It is
/// about to be seen open, or its team has gone from the settings.
const AGAIN: Micros = SECOND;

/// Dependencies whose ends are to be proved by their marks.
#[derive(Debug, Default)]
pub(super) struct DependencyProofs {
    /// To be read, each from some time on.
    wanted: BTreeMap<Rc<str>, Micros>,
    under_way: usize,
    /// Reads that may be made now.
    allowed: TokenBucket,
}

impl DependencyProofs {
    /// The mark of a job is to be read.
    pub fn look_for(&mut self, id: Rc<str>) {
        self.wanted.insert(id, 0);
    }

    fn next(&mut self, now: Micros, per_s: f64) -> Option<Rc<str>> {
        if self.wanted.is_empty() || self.under_way >= PROOFS_AT_ONCE {
            return None;
        }
        if self.allowed.grow(now, per_s, per_s.max(2.0)) < 1.0 {
            return None;
        }
        let due = self.wanted.iter().find(|(_, at)| now >= **at);
        let id = due.map(|(id, _)| id.clone())?;
        self.wanted.remove(&id);
        self.allowed.left -= 1.0;
        self.under_way += 1;
        Some(id)
    }
}

/// The dependencies of open jobs.
#[derive(Debug, Default)]
pub(super) struct DependencyTracker {
    /// Which of the open jobs wait for which.
    pub dependency_graph: DependencyGraph,
    /// Jobs that others wait for and that are not open here.
    pub dependency_proofs: DependencyProofs,
}

impl Leader {
    /// A job was taken up: it may wait for others, and others for it.
    pub(super) fn joins(&mut self, ctx: &Context, id: &Rc<str>) {
        // That it is open is seen here: no mark needs to be read for it.
        self.dependencies.dependency_proofs.wanted.remove(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let awaits = job.spec.depends_on.clone();
        let mut cancelled = false;
        for name in awaits {
            let known = self.jobs.name(&name).cloned();
            match &known {
                // Whatever came first, the cancellation or who waits for it.
                Some(known) => cancelled |= self.jobs.get(known).is_some_and(|j| j.stopped),
                // Not being open proves nothing: pages of a load are of different
                // revisions, and a watch tells of a job after one that names it.
                None => {
                    self.dependencies
                        .dependency_proofs
                        .wanted
                        .insert(Rc::from(name.as_str()), 0);
                }
            }
            let dependency = known.unwrap_or_else(|| Rc::from(name));
            self.dependencies.dependency_graph.add(id, dependency);
        }
        if self.dependencies.dependency_graph.waits(id)
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.blocked_on_dependencies = true;
        }
        if cancelled {
            self.writer
                .write_queue
                .push(PendingWrite::Cancel(id.clone()));
        }
        // All at once when all are read: one by one, each of a thousand that wait for
        // one job goes over the others again.
        if self.recovery.stage == RecoveryStage::Ready {
            self.set_lift(ctx, id);
            self.raise(ctx, id);
        }
    }

    /// Gives all jobs that were read what they have of those that wait for them.
    pub(super) fn lift_all(&mut self, ctx: &Context) {
        let awaited: Vec<Rc<str>> = self
            .dependencies
            .dependency_graph
            .awaited()
            .cloned()
            .collect();
        for id in awaited {
            if self.set_lift(ctx, &id) {
                self.raise(ctx, &id);
            }
        }
    }

    /// Reads marks of dependencies that are not open here.
    pub(super) fn look_for_proofs(&mut self, ctx: &mut Context) {
        let per_s = ctx.config.state_rps * PROOFS_PART;
        while let Some(id) = self
            .dependencies
            .dependency_proofs
            .next(ctx.now.monotonic, per_s)
        {
            if self.dependencies.dependency_graph.needed(&id) || self.is_orphan(&id) {
                let key = records::job_key(&id);
                let waiter = self.waiter(Step::Dependency { id });
                ctx.store_request(StoreRequest::Get { key }, waiter);
            } else {
                self.dependencies.dependency_proofs.under_way -= 1;
            }
        }
    }

    /// The mark of a dependency, or that it has none.
    pub(super) fn proved(
        &mut self,
        ctx: &Context,
        id: Rc<str>,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.dependencies.dependency_proofs.under_way -= 1;
        let mark = match &reply {
            Ok(StoreResponse::Found(row)) => row.decode_value::<JobStateRecord>().map(|m| m.state),
            _ => None,
        };
        match mark {
            Some(RecordedState::Done) => {
                self.orphan_ended(&id);
                self.dependency_done(ctx, &id);
            }
            Some(RecordedState::Cancelled) => {
                self.orphan_ended(&id);
                self.cancel_dependents(&id);
            }
            Some(RecordedState::Open) | None => {
                let pause = match reply {
                    Ok(StoreResponse::NotFound { .. } | StoreResponse::Found(_)) => AGAIN,
                    _ => RETRY,
                };
                let orphan = self.is_orphan(&id);
                if orphan
                    || self.dependencies.dependency_graph.needed(&id)
                        && !self.jobs.contains_key(&id)
                {
                    let pause = if orphan {
                        pause.max(unknown_jobs::AGAIN)
                    } else {
                        pause
                    };
                    self.dependencies
                        .dependency_proofs
                        .wanted
                        .insert(id, ctx.now.monotonic + pause);
                }
            }
        }
    }

    /// A job's end is proved: what waited for nothing else becomes active.
    pub(super) fn dependency_done(&mut self, ctx: &Context, id: &Rc<str>) {
        for ready in self.dependencies.dependency_graph.done(id) {
            let Some(job) = self.jobs.get_mut(&ready) else {
                continue;
            };
            log::info!("{ready}: ready, all that it waited for is done");
            job.blocked_on_dependencies = false;
            job.ready_at = ctx.now.wall.max(job.submitted);
            let is_service = job.spec.kind == JobKind::Service;
            self.scheduling
                .record_ready_job(is_service, ctx.now.monotonic);
        }
    }

    /// A job is cancelled, and with it all that need it. None of them has started.
    pub(super) fn cancel_dependents(&mut self, id: &Rc<str>) {
        for dependent in self.dependencies.dependency_graph.downstream(id) {
            log::info!("{dependent}: cancelled with {id}, for which it waits");
            self.writer
                .write_queue
                .push(PendingWrite::Cancel(dependent));
        }
    }

    /// The cancellation of a job that waited is in the store.
    pub(super) fn cancelled_with(&mut self, ctx: &Context, id: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled.get_or_insert(ctx.now.monotonic);
        job.stopped = true;
        let n = job.spec.tasks;
        let placed = job.placed();
        let mark = JobStateRecord {
            state: RecordedState::Cancelled,
            task_count: n,
        };
        self.events.push(LeaderEvent::Ended(id.to_string(), mark));
        if placed > 0 {
            // It waits, and yet something of it was started: by a version that knows
            // of no waiting.
            return self.stop_job(ctx, id);
        }
        // Jobs that wait for this one may have come while its mark was written (seed
        // 282 of the days of pipelines).
        self.cancel_dependents(id);
        self.forget_job(ctx, id);
        self.writer
            .write_queue
            .push(PendingWrite::Drop(records::open_key(id)));
    }

    /// A job waits no more, since it has ended.
    pub(super) fn leaves_line(&mut self, ctx: &Context, id: &Rc<str>) {
        let before: Vec<Rc<str>> = self
            .dependencies
            .dependency_graph
            .dependencies(id)
            .cloned()
            .collect();
        self.dependencies.dependency_graph.remove(id);
        for dependency in before {
            let open = self.jobs.get(&dependency).is_some_and(|j| !j.stopped);
            if open && self.set_lift(ctx, &dependency) {
                self.raise(ctx, &dependency);
            }
        }
    }

    /// What a job has of itself and of those that wait for it.
    fn lift(&self, ctx: &Context, id: &Rc<str>, job: &Job) -> (Priority, Option<Micros>) {
        let mut lift = (job.spec.priority, None);
        for dependent in self.dependencies.dependency_graph.dependents(id) {
            if let Some(dependent) = self.jobs.get(dependent) {
                lift = self.lifted_by(ctx, lift, dependent);
            }
        }
        lift
    }

    /// The same once one more job waits.
    fn lifted_by(
        &self,
        ctx: &Context,
        (priority, due): (Priority, Option<Micros>),
        dependent: &Job,
    ) -> (Priority, Option<Micros>) {
        if dependent.cancelled.is_some() {
            return (priority, due);
        }
        // Its work has to be done after this one, and so on down the longest way.
        let takes = self.expected_run_time_s(ctx.config, dependent) + ctx.config.tuning.fetch_s;
        let end = dependent.due.or_else(|| self.own_due(ctx, dependent));
        let end = end.map(|due| due.saturating_sub(micros(takes)));
        let due = match (due, end) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        (priority.max(dependent.priority), due)
    }

    /// By when a job has to end by its own deadline, where that is worth money.
    fn own_due(&self, ctx: &Context, job: &Job) -> Option<Micros> {
        let due = strict_deadline(ctx.config, job)?.deadline_s;
        Some(job.submitted.saturating_add(micros(due)))
    }

    /// Works a job's lift out anew; true if it has changed.
    fn set_lift(&mut self, ctx: &Context, id: &Rc<str>) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let lift = self.lift(ctx, id, job);
        if (job.priority, job.due) == lift {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            (job.priority, job.due) = lift;
        }
        true
    }

    /// Lets those that a job waits for have what it has, and those before them. After
    /// a fall they are worked out anew, each as often as it is on a way.
    fn raise(&mut self, ctx: &Context, id: &Rc<str>) {
        let mut next: Vec<Rc<str>> = self
            .dependencies
            .dependency_graph
            .dependencies(id)
            .cloned()
            .collect();
        // Only a stored cycle, which no submission can make, takes so many steps.
        let mut steps = 16 * (self.jobs.len() + 1);
        while let Some(before) = next.pop() {
            steps -= 1;
            if steps == 0 {
                return log::error!("{id}: waits for itself");
            }
            if self.set_lift(ctx, &before) {
                next.extend(
                    self.dependencies
                        .dependency_graph
                        .dependencies(&before)
                        .cloned(),
                );
            }
        }
    }

    /// Whether a job's cancellation is to be written, or its mark to be read.
    fn ends_with(&self, id: &Rc<str>) -> bool {
        self.writer.write_queue.cancels(id)
            || self.jobs.get(id).is_some_and(|j| j.cancelled.is_some())
    }

    /// What of the waiting is not as it would be if it were derived from the jobs
    /// alone. For rehearsals.
    pub(super) fn audit_waits(&self) -> bool {
        let edges = self.jobs.iter().all(|(id, job)| {
            let waits = self.dependencies.dependency_graph.waits(id);
            let named = |d: &Rc<str>| job.spec.depends_on.iter().any(|a| **a == **d);
            (job.stopped || job.blocked_on_dependencies == waits)
                && self
                    .dependencies
                    .dependency_graph
                    .dependencies(id)
                    .all(named)
        });
        let known = self.dependencies.dependency_graph.awaited().all(|id| {
            let open = self.jobs.contains_key(id);
            open || self.dependencies.dependency_proofs.wanted.contains_key(id)
                || self.dependencies.dependency_proofs.under_way > 0
                || self
                    .dependencies
                    .dependency_graph
                    .dependents(id)
                    .all(|d| self.ends_with(d))
        });
        let lifted = self.jobs.iter().all(|(id, job)| {
            let dependents = || {
                let names = self.dependencies.dependency_graph.dependents(id);
                names.filter_map(|d| self.jobs.get(d))
            };
            // That one is cancelled may be seen before it is worked out anew.
            let open = dependents().filter(|d| d.cancelled.is_none());
            let most = open.map(|d| d.priority).max();
            let given = dependents().any(|d| d.priority == job.priority);
            let own = job.priority == job.spec.priority || given;
            job.stopped || (own && most.is_none_or(|most| job.priority >= most))
        });
        let lifted = lifted || self.recovery.stage == RecoveryStage::Loading;
        edges && known && lifted && self.dependencies.dependency_graph.is_sound()
    }
}
