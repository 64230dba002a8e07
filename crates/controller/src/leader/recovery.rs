//! What a new leader reads before it acts.

use super::scheduling::cache_gb;
use super::*;

/// How far a new leader is in taking up its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecoveryStage {
    Loading,
    Ready,
}

/// The page of the store that a new leader reads next; the key after which it begins.
#[derive(Debug, Clone)]
pub(super) enum RecoveryPage {
    Machines(Option<String>),
    Queue(Option<String>),
    Tasks(Option<String>),
}

/// What a new leader has read of the store so far.
#[derive(Debug)]
pub(super) struct Recovery {
    pub stage: RecoveryStage,
    /// The page that is being read, and when it is asked for again.
    pub reload_at: Option<(Micros, RecoveryPage)>,
    /// Cancellations that were read before the jobs that they are of.
    pub cancelled_rows: Vec<KeyValue>,
    /// When the first page of the queue was asked for.
    pub load_sent: Micros,
    /// When everything had been read.
    pub ready_since: Micros,
}

impl Recovery {
    pub fn new(now: Micros) -> Recovery {
        Recovery {
            stage: RecoveryStage::Loading,
            reload_at: None,
            cancelled_rows: Vec::new(),
            load_sent: now,
            ready_since: now,
        }
    }
}

impl Leader {
    /// Term and its record's version, once everything is taken up.
    pub fn fence(&self) -> Option<(u64, u64)> {
        (self.recovery.stage == RecoveryStage::Ready).then_some((self.term, self.term_version))
    }

    pub fn holds(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    pub(super) fn load(&mut self, ctx: &mut Context, from: RecoveryPage) {
        let (prefix, after, step) = match &from {
            RecoveryPage::Machines(after) => (records::MACHINES, after, Step::LoadMachines),
            RecoveryPage::Queue(after) => (records::QUEUE, after, Step::LoadQueue),
            RecoveryPage::Tasks(after) => (records::TASKS, after, Step::LoadTasks),
        };
        if matches!(from, RecoveryPage::Queue(None)) {
            // Cancellations up to here are in what is read now.
            self.recovery.load_sent = ctx.now.monotonic;
        }
        let call = StoreRequest::List {
            prefix: prefix.into(),
            after: after.clone(),
        };
        self.recovery.reload_at = Some((Micros::MAX, from));
        let waiter = self.waiter(step);
        ctx.store_request(call, waiter);
    }

    pub(super) fn page_loaded(&mut self, ctx: &mut Context, step: &Step, page: RangePage) {
        let last = page.rows.last().map(|r| r.key.clone());
        let more = page.more && last.is_some();
        let next = match step {
            Step::LoadMachines => {
                self.load_machines(ctx, &page.rows);
                if more {
                    RecoveryPage::Machines(last)
                } else {
                    RecoveryPage::Tasks(None)
                }
            }
            Step::LoadQueue => {
                // Later pages may hold more, but the watch starts here: what
                // it tells again changes nothing.
                self.queue_watch.queue_revision.get_or_insert(page.revision);
                for row in page.rows {
                    // Cancellations come before descriptions in the order of
                    // keys, but a cancellation means nothing before its job is
                    // known: taken in that order, a new leader would let
                    // cancelled tasks run on.
                    if row.key.starts_with(records::OPEN) {
                        self.queue_row(ctx, &row.key, &row.value, row.version);
                    } else {
                        self.recovery.cancelled_rows.push(row);
                    }
                }
                let opens = |key: &String| key.starts_with(records::OPEN);
                if self.queue_watch.last_consistent_read.is_none()
                    && (!more || last.as_ref().is_some_and(opens))
                {
                    // Every cancellation is known that was confirmed before the first
                    // page was asked for. Which machines hold its tasks is not: until
                    // that is read, all answers end as early as those to the machine
                    // that holds the oldest.
                    let rows = self.recovery.cancelled_rows.iter();
                    let oldest = rows.map(|row| confirmed(ctx, &row.value)).min();
                    self.queue_watch.last_consistent_read =
                        Some(oldest.unwrap_or(Micros::MAX).min(self.recovery.load_sent));
                }
                if more {
                    RecoveryPage::Queue(last)
                } else {
                    for row in std::mem::take(&mut self.recovery.cancelled_rows) {
                        self.queue_row(ctx, &row.key, &row.value, row.version);
                    }
                    RecoveryPage::Machines(None)
                }
            }
            _ => {
                // Page by page: all of a large fleet's at once took a quarter of
                // a second, in which nothing else was answered.
                for row in &page.rows {
                    self.task_row(ctx, row);
                }
                if !more {
                    self.recovery.reload_at = None;
                    return self.start(ctx);
                }
                RecoveryPage::Tasks(last)
            }
        };
        self.load(ctx, next);
    }

    pub(super) fn load_machines(&mut self, ctx: &Context, rows: &[KeyValue]) {
        for row in rows {
            let Some(name) = row.key.strip_prefix(records::MACHINES) else {
                continue;
            };
            let Some(r) = row.decode_value::<MachineRecord>() else {
                log::error!("{}: not a machine's record", row.key);
                continue;
            };
            let mut m = Machine::new(name, &r.machine_type, &r.zone, r.spot, ctx.now.monotonic);
            m.addr = Some(r.addr);
            m.recorded = true;
            self.machines.insert(m.name.clone(), m);
        }
    }

    /// Everything is read: take up the work.
    pub(super) fn start(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        self.recovery.stage = RecoveryStage::Ready;
        self.recovery.ready_since = now;
        self.queue_watch.last_consistent_read = Some(self.recovery.load_sent);
        self.queue_watch.watch_at = Some(now);
        let ids = |of: fn(&Job) -> bool| -> Vec<Rc<str>> {
            let jobs = self.jobs.iter();
            jobs.filter(|(_, j)| of(j))
                .map(|(id, _)| id.clone())
                .collect()
        };
        let cancelled = ids(|j| j.cancelled.is_some());
        let done = ids(|j| j.done as usize == j.tasks.len());
        self.lift_all(ctx);
        for id in cancelled {
            self.stop_job(ctx, &id);
        }
        for id in done {
            self.check_done(&id);
        }
        for m in self.machines.values_mut() {
            m.heard_at = now;
            m.reported_at = now;
            m.known_since = now;
            m.empty_since = now;
            m.needs_command = true;
            match self.partitions.zones_silent_before.get(&*m.zone) {
                // It had reported to the leader before, or it had no record.
                Some(heard) if m.recorded => {
                    m.up = true;
                    m.heard_at = now.min(*heard);
                    m.reported_at = m.heard_at;
                    // Those that answer have their turn first.
                    self.command_dispatch
                        .later(now + SECOND, m.name.clone(), false);
                }
                _ => self.command_dispatch.plain(m.name.clone()),
            }
        }
        log::info!(
            "term {}: took up {} jobs and {} machines, with what was learned of {} jobs; {} wait for others",
            self.term,
            self.jobs.len(),
            self.machines.len(),
            self.estimates.inherited_jobs,
            self.dependencies.dependency_graph.waiting()
        );
        self.estimates.inherited = InheritedEstimates::default();
    }

    pub(super) fn guess(&self, config: &Config, class: &str) -> f64 {
        self.estimates
            .run_time_estimates
            .get(class)
            .copied()
            .unwrap_or(config.tuning.first_guess_s)
    }

    pub(super) fn queue_row(&mut self, ctx: &Context, key: &str, value: &Value, version: u64) {
        if let Some(id) = key.strip_prefix(records::OPEN) {
            if self.jobs.contains_key(id) {
                return;
            }
            let Some(open) = store::decode_value::<OpenJob>(value) else {
                log::error!("{key}: not a job's description");
                return self.undescribed(ctx, id, value);
            };
            // A team that has gone from the settings, perhaps from this node's only, keeps
            // its jobs waiting (`standing`). What of them is on machines goes on.
            let team = ctx.config.team(&open.spec.team).unwrap_or_else(|| {
                log::error!("{id}: its team {} is not in the settings", open.spec.team);
                ctx.config.teams.len()
            });
            let version = open.mark_version(version);
            let guess = self.guess(ctx.config, &open.spec.class);
            self.scheduling.service_submitted |= open.spec.kind == JobKind::Service;
            let mut job = Job::new(open, version, team, guess, ctx.config.part_tasks());
            self.inherit(id, &mut job);
            let id: Rc<str> = Rc::from(id);
            let place = self.jobs.insert(id.clone(), job);
            self.estimates.unreplicated_estimates.insert(place);
            self.scheduling.schedule_at = ctx.now.monotonic;
            self.joins(ctx, &id);
        } else if let Some(id) = key.strip_prefix(records::CANCELLED) {
            let at = confirmed(ctx, value);
            let Some(id) = self.jobs.name(id).cloned() else {
                return self.orphan_cancelled(id, at);
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                // A write may have met its mark before, which says not since when. That
                // is read yet, perhaps for long: this row is proof enough.
                job.cancelled = Some(job.cancelled.map_or(at, |c| c.min(at)));
                if !job.stopped && self.recovery.stage == RecoveryStage::Ready {
                    self.stop_job(ctx, &id);
                }
            }
        }
    }

    pub(super) fn task_row(&mut self, ctx: &Context, row: &KeyValue) {
        let Some((id, span)) = records::parse_tasks_key(&row.key) else {
            return;
        };
        let Some(id) = self.jobs.name(id) else {
            return self.orphan_row(id, row);
        };
        let id = id.clone();
        let Some(chunk) = row.decode_value::<TaskChunk>() else {
            log::error!("{}: not a chunk of tasks", row.key);
            return self.set_aside(ctx, &id, span, &row.key);
        };
        let now = ctx.now.monotonic;
        let types = self.machine_types.types.clone();
        if matches!(span, TaskRange::Part { .. }) {
            // Parts are written once the lower limits are in force, and stand above
            // their chunk, which came before.
            self.writer.value_bytes = ctx.config.value_bytes;
            self.unload(&id, span);
        }
        let Some(place) = self.jobs.place(&id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.spans.set_version(span, row.version);
        let n = job.tasks.len() as u32;
        for (i, attempt) in chunk.waiting {
            if let Some(t) = job.tasks.get_mut(i as usize) {
                t.attempt = attempt;
            }
        }
        for (from, to) in chunk.done {
            for i in from..=to.min(n.saturating_sub(1)) {
                job.tasks[i as usize].state = TaskPlacement::Done;
                job.waiting.remove(&i);
                job.done += 1;
            }
        }
        if job.done > 0 {
            job.record.ran();
        }
        for (i, attempt, machine, session) in chunk.placed {
            let Some(t) = job.tasks.get_mut(i as usize) else {
                continue;
            };
            t.attempt = attempt;
            let machine: Rc<str> = Rc::from(machine);
            t.state = TaskPlacement::Placed {
                machine: machine.clone(),
                incarnation: session,
                stored: true,
            };
            job.waiting.remove(&i);
            // A machine without a record may be running all the same: what it
            // is shows when it reports or is listed.
            if !self.machines.contains_key(&machine) {
                let m = Machine::new(&machine, "", "", false, now);
                self.machines.insert(machine.clone(), m);
            }
            let Some(m) = self.machines.get_mut(&machine) else {
                continue;
            };
            m.incarnation = m.incarnation.max(session);
            let slot = Machine::slot(attempt, session, (place, &job.spec), true);
            let image = (&job.image, job.spec.image_gb);
            let cache = cache_gb(types.as_deref(), &m.machine_type);
            m.place((id.clone(), i), slot, image, cache);
        }
    }

    /// Takes back what a chunk said of some tasks.
    fn unload(&mut self, id: &Rc<str>, span: TaskRange) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for i in job.spans.range(span) {
            let task = &mut job.tasks[i as usize];
            match std::mem::replace(&mut task.state, TaskPlacement::Waiting) {
                TaskPlacement::Placed { machine, .. } => {
                    if let Some(m) = self.machines.get_mut(&machine) {
                        m.slots.remove(&(id.clone(), i));
                    }
                }
                TaskPlacement::Done => job.done -= 1,
                TaskPlacement::Waiting => {}
            }
            task.attempt = 0;
            job.waiting.insert(i);
        }
    }
}

/// When a cancellation was confirmed at the earliest, by the record of it.
fn confirmed(ctx: &Context, value: &Value) -> Micros {
    let at = store::decode_value::<CancelledJob>(value).map_or(0, |c| c.at);
    // Other clocks may be off, so the older of the two readings counts.
    let ago = ctx.now.wall.saturating_sub(at) + 2 * ctx.config.clock_error;
    ctx.now
        .monotonic
        .saturating_sub(ago.min(ctx.config.cancel_deadline))
}
