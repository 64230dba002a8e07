//! Writing, in batches that are fenced by the term.

use super::*;

impl Leader {
    pub(super) fn write(&mut self, ctx: &mut Ctx) {
        if let Some(at) = self.ledger.resend_at {
            if ctx.now.steady < at {
                return;
            }
            self.ledger.resend_at = None;
            if let Some(b) = &self.ledger.batch {
                let call = StateCall::Txn(b.txn.clone());
                let waiter = self.waiter(Step::Ledger);
                ctx.state(call, waiter);
            }
            return;
        }
        if self.ledger.batch.is_some() {
            return;
        }
        let part = ctx.config.state_write_rps * LATER_PART;
        self.ledger.refill(ctx.now.steady, part);
        if self.ledger.is_idle() {
            return;
        }
        let mut batch = Batch {
            txn: Txn::default().compare(store::TERM, self.term_version),
            items: Vec::new(),
            placed: Vec::new(),
            uncertain: false,
        };
        let mut bytes = 0;
        while batch.txn.then.len() + 3 <= ctx.config.txn_ops && bytes < BATCH_BYTES {
            let next = self.ledger.pop().or_else(|| self.ledger.pop_later());
            let Some(item) = next else {
                break;
            };
            let before = batch.txn.then.len();
            if !self.add(&item, &mut batch) {
                continue;
            }
            for change in &batch.txn.then[before..] {
                bytes += 64;
                if let Change::Put { key, value, .. } = change {
                    bytes += key.len() + state::json_size(value);
                }
            }
            batch.items.push(item);
        }
        if batch.items.is_empty() {
            return;
        }
        let call = StateCall::Txn(batch.txn.clone());
        self.ledger.batch = Some(batch);
        let waiter = self.waiter(Step::Ledger);
        ctx.state(call, waiter);
    }

    /// Adds an item's changes and conditions; false if it needs none.
    pub(super) fn add(&self, item: &Item, batch: &mut Batch) -> bool {
        let txn = std::mem::take(&mut batch.txn);
        let with_job = |txn: Txn, id: &str, version: u64| {
            let key = store::job_key(id);
            if txn.compare.iter().any(|c| c.key == key) {
                txn
            } else {
                txn.compare(key, version)
            }
        };
        let (txn, added) = match item {
            Item::Chunk(id, index) => match self.jobs.get(id) {
                Some(job) if !job.ending && job.cancelled.is_none() => {
                    let key = store::chunk_key(id, *index);
                    let record = job.chunk(*index);
                    let mut txn = txn
                        .compare(key.clone(), job.chunk_versions[*index as usize])
                        .put(key, &record);
                    let before = batch.placed.len();
                    let new = job.unstored(*index);
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
            Item::Done(id) => match self.jobs.get(id) {
                Some(job) if job.cancelled.is_none() => {
                    let mark = JobMark {
                        s: Mark::Done,
                        n: job.spec.tasks,
                    };
                    let txn = with_job(txn, id, job.version)
                        .put(store::job_key(id), &mark)
                        .delete(store::open_key(id));
                    (txn, true)
                }
                _ => (txn, false),
            },
            Item::Clear(id) => {
                let txn = txn
                    .delete(store::open_key(id))
                    .delete(store::cancelled_key(id));
                (txn, true)
            }
            Item::Machine(name) => match self.machines.get(name.as_str()) {
                Some(m) if m.addr.is_some() => {
                    let record = MachineRecord {
                        addr: m.addr.clone().unwrap_or_default(),
                        machine_type: m.machine_type.to_string(),
                        zone: m.zone.to_string(),
                        spot: m.spot,
                    };
                    (txn.put(store::machine_key(name), &record), true)
                }
                _ => (txn, false),
            },
            Item::Drop(key) => (txn.delete(key.clone()), true),
            Item::Types => match &self.types {
                Some(types) => {
                    let record = store::Types {
                        types: types.to_vec(),
                    };
                    (txn.put(store::TYPES, &record), true)
                }
                None => (txn, false),
            },
        };
        batch.txn = txn;
        added
    }

    pub(super) fn written(&mut self, ctx: &mut Ctx, reply: Result<StateReply, CallError>) {
        let Some(mut batch) = self.ledger.batch.take() else {
            return;
        };
        match reply {
            Ok(StateReply::Committed { revision }) => self.applied(ctx, batch, revision),
            Ok(StateReply::Conflict { failed, .. }) => {
                if failed.iter().any(|k| k == store::TERM) {
                    self.notes.push(Note::Outdated);
                    return;
                }
                let own = failed.iter().find(|k| k.starts_with(store::TASKS)).cloned();
                if let Some(key) = own.filter(|_| batch.uncertain) {
                    // Only this leader writes chunks: the earlier try was
                    // applied. Every key of it has the same version; read one.
                    self.ledger.batch = Some(batch);
                    let waiter = self.waiter(Step::Reread { key: key.clone() });
                    ctx.state(StateCall::Get { key }, waiter);
                    return;
                }
                self.conflict(ctx, batch, &failed);
            }
            Ok(StateReply::Malformed | StateReply::LeaseGone) => {
                log::error!("the state service calls a batch malformed");
                self.notes.push(Note::Outdated);
            }
            other => {
                batch.uncertain |= other.is_err();
                self.ledger.batch = Some(batch);
                self.ledger.resend_at = Some(ctx.now.steady + RETRY);
            }
        }
    }

    /// Some job's record has changed: it was cancelled, or its end is stored.
    /// Nothing of the batch was applied, and it never can be.
    pub(super) fn conflict(&mut self, ctx: &mut Ctx, batch: Batch, failed: &[String]) {
        for key in failed {
            if let Some(id) = key.strip_prefix("j/") {
                let id: Rc<str> = Rc::from(id);
                if let Some(job) = self.jobs.get_mut(&id) {
                    log::info!("{id}: its record has changed, reading it");
                    // No placement of it is written from now on.
                    job.cancelled.get_or_insert(ctx.now.steady);
                    job.ending = false;
                }
                let waiter = self.waiter(Step::Ended { id });
                ctx.state(StateCall::Get { key: key.clone() }, waiter);
            } else {
                log::error!("{key}: written by somebody else");
                self.notes.push(Note::Outdated);
            }
        }
        for (key, _) in &batch.placed {
            if self.jobs.get(&key.0).is_some_and(|j| j.cancelled.is_some()) {
                self.unplace(key);
            }
        }
        for item in batch.items.into_iter().rev() {
            self.ledger.push_front(item);
        }
        self.write(ctx);
    }

    /// The record of a job whose end came from elsewhere, or from an earlier
    /// try of the batch that ended it.
    pub(super) fn ended(
        &mut self,
        ctx: &mut Ctx,
        id: Rc<str>,
        reply: Result<StateReply, CallError>,
    ) {
        let Ok(StateReply::Found(row)) = reply else {
            let waiter = self.waiter(Step::Ended { id: id.clone() });
            let key = store::job_key(&id);
            ctx.state(StateCall::Get { key }, waiter);
            return;
        };
        match row.read::<JobMark>() {
            Some(mark) if mark.s == Mark::Done => self.job_done(&id, mark),
            Some(mark) if mark.s == Mark::Cancelled => self.stop_job(&id),
            other => {
                log::error!("{id}: unexpected record {other:?}");
                self.notes.push(Note::Outdated);
            }
        }
    }

    pub(super) fn job_done(&mut self, id: &Rc<str>, mark: JobMark) {
        log::info!("{id}: done");
        self.forget_job(id);
        self.notes.push(Note::Ended(id.to_string(), mark));
    }

    /// A batch is in the store: do what waited for it.
    pub(super) fn applied(&mut self, ctx: &mut Ctx, batch: Batch, revision: u64) {
        for item in &batch.items {
            match item {
                Item::Chunk(id, index) => {
                    if let Some(v) = self
                        .jobs
                        .get_mut(id)
                        .and_then(|j| j.chunk_versions.get_mut(*index as usize))
                    {
                        *v = revision;
                    }
                }
                Item::Done(id) => {
                    let n = self.jobs.get(id).map_or(0, |j| j.spec.tasks);
                    self.job_done(id, JobMark { s: Mark::Done, n });
                }
                Item::Clear(id) => self.forget_job(id),
                Item::Types => self.types_stored = true,
                Item::Machine(_) | Item::Drop(_) => {}
            }
        }
        for ((id, i), attempt) in batch.placed {
            let key: TaskKey = (id, i);
            let job = self.jobs.get_mut(&key.0);
            let task = job.map(|j| &mut j.tasks[i as usize]);
            let Some(task) = task.filter(|t| t.attempt == attempt) else {
                continue;
            };
            let TaskState::Placed {
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
                m.wants_push = true;
                self.pushes.urgent(m.name.clone());
                // Of a cancelled job nothing was launched: it is not there.
                if slot.cancelled {
                    m.slots.remove(&key);
                    self.back_to_waiting(&key, attempt);
                }
            }
        }
        self.write(ctx);
        self.push_orders(ctx);
    }
}
