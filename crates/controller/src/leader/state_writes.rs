//! Writing, in batches that are fenced by the term.

use super::*;

/// When what the state service has refused by itself is tried again.
const ASIDE: Micros = 30 * SECOND;

/// The leader's writes to the store.
#[derive(Debug)]
pub(super) struct StateWriter {
    pub write_queue: WriteQueue,
    /// Reads that were not answered, by when they are made again.
    pub reads: VecDeque<(Micros, String, Step)>,
    pub write_rate: WriteRate,
    /// What a value may take, as far as is known, in bytes: less once the store has
    /// refused one.
    pub value_bytes: usize,
}

impl StateWriter {
    pub fn new(config: &Config) -> StateWriter {
        StateWriter {
            write_queue: WriteQueue::default(),
            reads: VecDeque::new(),
            write_rate: WriteRate::new(config.state_write_rps_before),
            value_bytes: config.value_bytes_before,
        }
    }
}

impl Job {
    /// Whether this record of its tasks is written now.
    fn writes(&self, span: TaskRange) -> bool {
        let split = matches!(span, TaskRange::Chunk(chunk) if self.spans.is_split(chunk));
        !self.ending && self.cancelled.is_none() && !split
    }
}

impl Leader {
    pub(super) fn write(&mut self, ctx: &mut Context) {
        if let Some(at) = self.writer.write_queue.resend_at {
            if ctx.now.monotonic < at {
                return;
            }
            self.writer.write_queue.resend_at = None;
            if let Some(b) = &self.writer.write_queue.batch {
                let call = StoreRequest::Transaction(b.txn.clone());
                let waiter = self.waiter(Step::WriteQueue);
                ctx.store_request(call, waiter);
            }
            return;
        }
        if self.writer.write_queue.batch.is_some() {
            return;
        }
        self.writer.write_queue.take_back(ctx.now.monotonic);
        let part = ctx.config.state_write_rps * LATER_PART;
        self.writer.write_queue.refill(ctx.now.monotonic, part);
        if self.writer.write_queue.is_idle() {
            return;
        }
        let room = self
            .writer
            .write_rate
            .room(ctx.now.monotonic)
            .min(ctx.config.txn_ops);
        let mut batch = WriteBatch {
            txn: Transaction::default().compare(records::TERM, self.term_version),
            items: Vec::new(),
            placed: Vec::new(),
            uncertain: false,
        };
        let most = self.writer.write_queue.most.unwrap_or(usize::MAX);
        let (mut bytes, mut cancels) = (0, 0);
        while batch.txn.then.len() + 3 <= room && bytes < BATCH_BYTES && batch.items.len() < most {
            let next = self.writer.write_queue.pop(batch.items.len(), cancels);
            let Some(item) = next.or_else(|| self.writer.write_queue.pop_later()) else {
                break;
            };
            let before = batch.mark();
            if !self.add(&item, &mut batch) {
                continue;
            }
            let new = batch.txn.then[before.0..].iter();
            let sizes = new.map(|change| match change {
                Mutation::Put { key, value, .. } => (key.len(), store::json_size(value)),
                Mutation::Delete { .. } => (0, 0),
            });
            let sizes: Vec<(usize, usize)> = sizes.collect();
            if sizes
                .iter()
                .any(|(_, value)| *value > self.writer.value_bytes)
            {
                batch.back_to(before);
                self.too_large(ctx, item);
                continue;
            }
            bytes += sizes.iter().map(|(k, v)| 64 + k + v).sum::<usize>();
            cancels += usize::from(matches!(item, PendingWrite::Cancel(_)));
            batch.items.push(item);
        }
        if batch.items.is_empty() {
            return;
        }
        self.writer.write_rate.take(batch.txn.then.len());
        let call = StoreRequest::Transaction(batch.txn.clone());
        self.writer.write_queue.batch = Some(batch);
        let waiter = self.waiter(Step::WriteQueue);
        ctx.store_request(call, waiter);
    }

    /// A record that does not fit a value any more.
    fn too_large(&mut self, ctx: &Context, item: PendingWrite) {
        if let PendingWrite::Tasks(id, TaskRange::Chunk(chunk)) = &item
            && let Some(job) = self.jobs.get_mut(id)
        {
            log::info!("{id}: chunk {chunk} is written in parts from now on");
            for part in job.spans.split(*chunk).into_iter().rev() {
                self.writer
                    .write_queue
                    .push_front(PendingWrite::Tasks(id.clone(), part));
            }
            return;
        }
        log::error!("{item:?}: does not fit a value of the state service");
        self.writer
            .write_queue
            .put_aside(item, ctx.now.monotonic + ASIDE);
    }

    /// Adds an item's changes and conditions; false if it needs none.
    pub(super) fn add(&self, item: &PendingWrite, batch: &mut WriteBatch) -> bool {
        let txn = std::mem::take(&mut batch.txn);
        let with_job = |txn: Transaction, id: &str, version: u64| {
            let key = records::job_key(id);
            if txn.compare.iter().any(|c| c.key == key) {
                txn
            } else {
                txn.compare(key, version)
            }
        };
        let (txn, added) = match item {
            PendingWrite::Tasks(id, span) => match self.jobs.get(id) {
                Some(job) if job.writes(*span) => {
                    let key = records::tasks_key(id, *span);
                    let record = job.record_of(*span);
                    let mut txn = txn
                        .compare(key.clone(), job.spans.version(*span))
                        .put(key, &record);
                    let before = batch.placed.len();
                    let new = job.unstored(*span);
                    batch
                        .placed
                        .extend(new.map(|(i, attempt)| ((id.clone(), i), attempt)));
                    if batch.placed.len() > before {
                        txn = with_job(txn, id, job.version);
                    }
                    (txn, true)
                }
                _ => (txn, false),
            },
            PendingWrite::Done(id) => match self.jobs.get(id) {
                Some(job) if job.cancelled.is_none() => {
                    let mark = JobStateRecord {
                        state: RecordedState::Done,
                        task_count: job.spec.tasks,
                    };
                    let txn = with_job(txn, id, job.version)
                        .put(records::job_key(id), &mark)
                        .delete(records::open_key(id));
                    (txn, true)
                }
                _ => (txn, false),
            },
            PendingWrite::Cancel(id) => match self.jobs.get(id) {
                Some(job)
                    if job.cancelled.is_none() && self.dependencies.dependency_graph.waits(id) =>
                {
                    let mark = JobStateRecord {
                        state: RecordedState::Cancelled,
                        task_count: job.spec.tasks,
                    };
                    // One change: its description goes when there is time for it.
                    let txn = with_job(txn, id, job.version).put(records::job_key(id), &mark);
                    (txn, true)
                }
                _ => (txn, false),
            },
            PendingWrite::Clear(id) => {
                let txn = txn
                    .delete(records::open_key(id))
                    .delete(records::cancelled_key(id));
                (txn, true)
            }
            PendingWrite::Machine(name) => match self.machines.get(name.as_str()) {
                Some(m) if m.addr.is_some() => {
                    let record = MachineRecord {
                        addr: m.addr.clone().unwrap_or_default(),
                        machine_type: m.machine_type.to_string(),
                        zone: m.zone.to_string(),
                        spot: m.spot,
                    };
                    (txn.put(records::machine_key(name), &record), true)
                }
                _ => (txn, false),
            },
            PendingWrite::Drop(key) => (txn.delete(key.clone()), true),
            PendingWrite::Types => match &self.machine_types.types {
                Some(types) => {
                    let record = records::MachineTypesRecord {
                        types: types.to_vec(),
                    };
                    // An earlier try that is carried out late would set it back.
                    let txn = txn
                        .compare(records::TYPES, self.machine_types.types_version)
                        .put(records::TYPES, &record);
                    (txn, true)
                }
                None => (txn, false),
            },
        };
        batch.txn = txn;
        added
    }

    pub(super) fn write_reply(
        &mut self,
        ctx: &mut Context,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Some(mut batch) = self.writer.write_queue.batch.take() else {
            return;
        };
        match reply {
            Ok(StoreResponse::Committed { revision }) => self.applied(ctx, batch, revision),
            Ok(StoreResponse::Conflict { failed, .. }) => {
                if failed.iter().any(|k| k == records::TERM) {
                    self.events.push(LeaderEvent::Outdated);
                    return;
                }
                let own = failed
                    .iter()
                    .find(|k| k.starts_with(records::TASKS))
                    .cloned();
                if let Some(key) = own.filter(|_| batch.uncertain) {
                    // Only this leader writes chunks: the earlier try was
                    // applied. Every key of it has the same version; read one.
                    // A user's cancellation may have come after it, and be told later than
                    // what was placed would be launched.
                    for id in failed.iter().filter_map(|k| k.strip_prefix("j/")) {
                        self.mark_changed(ctx, &Rc::from(id));
                    }
                    self.writer.write_queue.batch = Some(batch);
                    let waiter = self.waiter(Step::Reread { key: key.clone() });
                    ctx.store_request(StoreRequest::Get { key }, waiter);
                    return;
                }
                self.conflict(ctx, batch, &failed);
            }
            Ok(StoreResponse::Malformed) => self.over_limit(ctx, batch),
            Ok(StoreResponse::LeaseExpired) => {
                log::error!("the state service misses a lease that no batch has");
                self.events.push(LeaderEvent::Outdated);
            }
            other => {
                if matches!(other, Ok(StoreResponse::RateLimited)) {
                    // Perhaps by the lower limit, which nobody tells of.
                    self.writer.write_rate.limit(ctx.config.state_write_rps);
                }
                batch.uncertain |= other.is_err();
                self.writer.write_queue.batch = Some(batch);
                self.writer.write_queue.resend_at = Some(ctx.now.monotonic + RETRY);
            }
        }
    }

    /// A batch broke a limit, which may have fallen a moment ago. It was not applied;
    /// an earlier try of it, which had no answer, may have been. To end the term for it
    /// would only let the next leader meet the same.
    fn over_limit(&mut self, ctx: &mut Context, batch: WriteBatch) {
        let own = batch.own_key().filter(|_| batch.uncertain);
        log::info!(
            "the state service refuses a batch of {} items: smaller ones from now on",
            batch.items.len()
        );
        match own {
            // No copy of it can be applied from now on, so one look settles it.
            Some(key) => {
                self.writer.write_queue.batch = Some(batch);
                let waiter = self.waiter(Step::Reread { key: key.clone() });
                ctx.store_request(StoreRequest::Get { key }, waiter);
            }
            None => self.again_smaller(ctx, batch),
        }
    }

    /// Whether an earlier try of the batch was applied, by a key of it that only this
    /// leader writes.
    pub(super) fn reread_reply(
        &mut self,
        ctx: &mut Context,
        key: String,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Some(batch) = self.writer.write_queue.batch.take() else {
            return;
        };
        let before = batch.version(&key);
        match reply {
            Ok(StoreResponse::Found(row)) if row.version == before => {
                self.again_smaller(ctx, batch)
            }
            Ok(StoreResponse::NotFound { .. }) if before == 0 => self.again_smaller(ctx, batch),
            Ok(StoreResponse::Found(row)) => self.applied(ctx, batch, row.version),
            _ => {
                self.writer.write_queue.batch = Some(batch);
                self.read_later(ctx, key.clone(), Step::Reread { key });
            }
        }
    }

    /// A read that was not answered is made again after a pause: made at once, it was
    /// refused hundreds of times a second in an outage.
    fn read_later(&mut self, ctx: &Context, key: String, step: Step) {
        let at = ctx.now.monotonic + RETRY;
        self.writer.reads.push_back((at, key, step));
    }

    /// Makes the reads that are due.
    pub(super) fn read_again(&mut self, ctx: &mut Context) {
        while self
            .writer
            .reads
            .front()
            .is_some_and(|(at, ..)| ctx.now.monotonic >= *at)
        {
            if let Some((_, key, step)) = self.writer.reads.pop_front() {
                let waiter = self.waiter(step);
                ctx.store_request(StoreRequest::Get { key }, waiter);
            }
        }
    }

    /// Nothing of the batch was applied, for its size.
    fn again_smaller(&mut self, ctx: &mut Context, batch: WriteBatch) {
        if self.writer.value_bytes > ctx.config.value_bytes {
            // The limits that were announced are in force: larger values are written
            // in parts.
            log::info!("values of {} bytes from now on", ctx.config.value_bytes);
            self.writer.value_bytes = ctx.config.value_bytes;
        } else if batch.items.len() > 1 {
            self.writer.write_queue.most = Some(batch.items.len() / 2);
        } else if let Some(item) = batch.items.first() {
            // By itself it is refused: the same bytes again would be as well.
            let own_part = matches!(item, PendingWrite::Tasks(_, TaskRange::Chunk(_)));
            if own_part {
                self.too_large(ctx, item.clone());
            } else {
                log::error!("{item:?}: refused by the state service");
                self.writer
                    .write_queue
                    .put_aside(item.clone(), ctx.now.monotonic + ASIDE);
            }
            return self.write(ctx);
        }
        self.give_back(batch);
        self.write(ctx);
    }

    /// What a batch that was not applied held is to be written again.
    fn give_back(&mut self, batch: WriteBatch) {
        for (key, _) in &batch.placed {
            if self.jobs.get(&key.0).is_some_and(|j| j.cancelled.is_some()) {
                self.unplace(key);
                if self.jobs.get(&key.0).is_some_and(|j| j.stopped) {
                    self.check_clear(&key.0);
                }
            }
        }
        for item in batch.items.into_iter().rev() {
            self.writer.write_queue.push_front(item);
        }
    }

    /// Some job's record has changed: it was cancelled, or its end is stored.
    /// Nothing of the batch was applied, and it never can be.
    pub(super) fn conflict(&mut self, ctx: &mut Context, mut batch: WriteBatch, failed: &[String]) {
        for key in failed {
            if let Some(id) = key.strip_prefix("j/") {
                self.mark_changed(ctx, &Rc::from(id));
            } else if key == records::TYPES {
                // By an earlier try, or by the leader before, later than this one has read.
                batch.items.retain(|item| *item != PendingWrite::Types);
                let waiter = self.waiter(Step::TypesVersion);
                ctx.store_request(StoreRequest::Get { key: key.clone() }, waiter);
            } else {
                log::error!("{key}: written by somebody else");
                self.events.push(LeaderEvent::Outdated);
            }
        }
        self.give_back(batch);
        self.write(ctx);
    }

    /// The machine types are written again once the version of their record is known.
    pub(super) fn types_version(&mut self, ctx: &Context, reply: Result<StoreResponse, CallError>) {
        match reply {
            Ok(StoreResponse::Found(row)) => {
                self.machine_types.types_version = row.version;
                self.writer.write_queue.push(PendingWrite::Types);
            }
            _ => self.read_later(ctx, records::TYPES.to_string(), Step::TypesVersion),
        }
    }

    /// A job has ended, be it by its cancellation or by an earlier try of this leader's:
    /// nothing of it is to run, whichever it was.
    fn mark_changed(&mut self, ctx: &mut Context, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id) {
            log::info!("{id}: its record has changed, reading it");
            // No placement of it is written from now on. When it was confirmed is not
            // known. Until its row is read answers end with the last read, which is
            // older, and then the row says when.
            job.cancelled.get_or_insert(ctx.now.monotonic);
            job.ending = false;
            self.mark_cancelled(id);
        }
        let waiter = self.waiter(Step::Ended { id: id.clone() });
        let key = records::job_key(id);
        ctx.store_request(StoreRequest::Get { key }, waiter);
    }

    /// The record of a job whose end came from elsewhere, or from an earlier
    /// try of the batch that ended it.
    pub(super) fn ended(
        &mut self,
        ctx: &mut Context,
        id: Rc<str>,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Ok(StoreResponse::Found(row)) = reply else {
            return self.read_later(ctx, records::job_key(&id), Step::Ended { id });
        };
        match row.decode_value::<JobStateRecord>() {
            Some(mark) if mark.state == RecordedState::Done => self.job_done(ctx, &id, mark),
            Some(mark) if mark.state == RecordedState::Cancelled => {
                if self.jobs.get(&id).is_some_and(|job| !job.stopped) {
                    self.stop_job(ctx, &id);
                }
            }
            other => {
                log::error!("{id}: unexpected record {other:?}");
                self.events.push(LeaderEvent::Outdated);
            }
        }
    }

    pub(super) fn job_done(&mut self, ctx: &Context, id: &Rc<str>, mark: JobStateRecord) {
        log::info!("{id}: done");
        self.forget_job(ctx, id);
        self.dependency_done(ctx, id);
        self.events.push(LeaderEvent::Ended(id.to_string(), mark));
    }

    /// A batch is in the store: do what waited for it.
    pub(super) fn applied(&mut self, ctx: &mut Context, batch: WriteBatch, revision: u64) {
        self.writer.write_queue.most = self.writer.write_queue.most.map(|most| most * 2);
        self.writer
            .write_queue
            .most
            .take_if(|most| *most >= ctx.config.txn_ops);
        for item in &batch.items {
            match item {
                PendingWrite::Tasks(id, span) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.spans.set_version(*span, revision);
                    }
                }
                PendingWrite::Done(id) => {
                    let n = self.jobs.get(id).map_or(0, |j| j.spec.tasks);
                    self.job_done(
                        ctx,
                        id,
                        JobStateRecord {
                            state: RecordedState::Done,
                            task_count: n,
                        },
                    );
                }
                PendingWrite::Cancel(id) => self.cancelled_with(ctx, id),
                PendingWrite::Clear(id) => self.forget_job(ctx, id),
                PendingWrite::Types => {
                    self.machine_types.types_stored = true;
                    self.machine_types.types_version = revision;
                }
                PendingWrite::Machine(_) | PendingWrite::Drop(_) => {}
            }
        }
        for ((id, i), attempt) in batch.placed {
            let key: TaskKey = (id, i);
            let job = self.jobs.get_mut(&key.0);
            let task = job.map(|j| &mut j.tasks[i as usize]);
            let Some(task) = task.filter(|t| t.attempt == attempt) else {
                continue;
            };
            let TaskPlacement::Placed {
                machine, stored, ..
            } = &mut task.state
            else {
                continue;
            };
            *stored = true;
            let machine = machine.clone();
            if let Some(m) = self.machines.get_mut(&machine)
                && let Some(slot) = m.slots.get_mut(&key)
            {
                slot.stored = true;
                m.command_state.request();
                self.command_dispatch.enqueue_urgent(m.name.clone());
                // Of a cancelled job nothing was launched: it is not there.
                if slot.cancelled {
                    m.slots.remove(&key);
                    self.back_to_waiting(&key, attempt);
                }
            }
        }
        self.write(ctx);
        self.send_commands(ctx);
    }
}
