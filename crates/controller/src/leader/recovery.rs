//! State recovery: what a new leader reads of the store before it acts.
//!
//! It reads, page by page, the queue (descriptions and cancellations), the machines and
//! the tasks, in this order, and is ready once it has read all.

use super::job::Job;
use super::queue_records::earliest_confirmation;
use super::scheduling::usable_cache_gb;
use super::{Leader, RETRY_INTERVAL};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::machines::Machine;
use crate::machines::TaskSlot;
use crate::records::{self, MachineRecord, PlacedTask, TaskChunk, TaskRange};
use crate::sched::SlabIndex;
use crate::{Micros, SECOND};
use dillcleat_wire::store::{KeyValue, RangePage, StoreRequest, StoreResponse};
use std::rc::Rc;

/// How far a new leader is in recovering its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecoveryStage {
    Loading,
    Ready,
}

/// A page of the store that a new leader reads, by the key after which it begins.
#[derive(Debug, Clone)]
pub(super) enum RecoveryPage {
    Machines(Option<String>),
    Queue(Option<String>),
    Tasks(Option<String>),
}

/// A page that was requested and not yet read.
#[derive(Debug, Clone)]
struct RequestedPage {
    page: RecoveryPage,
    /// When it is requested again: never while the request is under way.
    retry_at: Micros,
}

/// How far a new leader has read the store.
///
/// A page is being read (`requested` is set) exactly until the stage is `Ready`.
#[derive(Debug)]
pub(super) struct Recovery {
    stage: RecoveryStage,
    requested: Option<RequestedPage>,
    /// Cancellations that were read before the jobs that they are of.
    cancellations: Vec<KeyValue>,
    /// When the first page of the queue was requested.
    queue_requested_at: Micros,
    /// When everything had been read.
    ready_since: Micros,
}

impl Recovery {
    pub fn new(now: Micros) -> Recovery {
        Recovery {
            stage: RecoveryStage::Loading,
            requested: None,
            cancellations: Vec::new(),
            queue_requested_at: now,
            ready_since: now,
        }
    }

    /// Whether everything has been read.
    pub fn is_ready(&self) -> bool {
        self.stage == RecoveryStage::Ready
    }

    /// When everything had been read. Meaningless before.
    pub fn ready_since(&self) -> Micros {
        self.ready_since
    }

    /// Whether a page is still to be read.
    pub fn is_reading(&self) -> bool {
        self.requested.is_some()
    }

    /// The page whose request failed and is to be made again now.
    pub fn page_to_retry(&self, now: Micros) -> Option<RecoveryPage> {
        let requested = self.requested.as_ref()?;
        (now >= requested.retry_at).then(|| requested.page.clone())
    }

    fn page_requested(&mut self, page: RecoveryPage, now: Micros) {
        if matches!(page, RecoveryPage::Queue(None)) {
            // Cancellations up to here are in what is read now.
            self.queue_requested_at = now;
        }
        self.requested = Some(RequestedPage {
            page,
            retry_at: Micros::MAX,
        });
    }

    fn request_failed(&mut self, now: Micros) {
        if let Some(requested) = &mut self.requested {
            requested.retry_at = now + RETRY_INTERVAL;
        }
    }

    fn finish(&mut self, now: Micros) {
        self.requested = None;
        self.stage = RecoveryStage::Ready;
        self.ready_since = now;
    }
}

impl Leader {
    /// Its term and the version of the term's record, once it has recovered its state.
    pub fn fence(&self) -> Option<(u64, u64)> {
        self.recovery
            .is_ready()
            .then_some((self.term, self.term_version))
    }

    /// Whether the job is open and its description was read.
    pub fn holds(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Requests a page of the store.
    pub(super) fn request_page(&mut self, ctx: &mut Context, page: RecoveryPage) {
        let (prefix, after, step) = match &page {
            RecoveryPage::Machines(after) => (records::MACHINES, after, LeaderStep::LoadMachines),
            RecoveryPage::Queue(after) => (records::QUEUE, after, LeaderStep::LoadQueue),
            RecoveryPage::Tasks(after) => (records::TASKS, after, LeaderStep::LoadTasks),
        };
        let request = StoreRequest::List {
            prefix: prefix.into(),
            after: after.clone(),
        };
        self.recovery.page_requested(page, ctx.now.monotonic);
        let continuation = self.continuation(step);
        ctx.store_request(request, continuation);
    }

    /// Handles the reply to the request of a page. `step` says of which records.
    pub(super) fn page_reply(
        &mut self,
        ctx: &mut Context,
        step: &LeaderStep,
        reply: Result<StoreResponse, CallError>,
    ) {
        let Ok(StoreResponse::RangePage(page)) = reply else {
            return self.recovery.request_failed(ctx.now.monotonic);
        };
        let last_key = page.rows.last().map(|row| row.key.clone());
        let next_key = last_key.filter(|_| page.more);
        let next_page = match step {
            LeaderStep::LoadMachines => {
                self.apply_machine_records(ctx, &page.rows);
                match next_key {
                    Some(_) => RecoveryPage::Machines(next_key),
                    None => RecoveryPage::Tasks(None),
                }
            }
            LeaderStep::LoadQueue => {
                self.apply_queue_page(ctx, page, next_key.as_deref());
                match next_key {
                    Some(_) => RecoveryPage::Queue(next_key),
                    None => {
                        self.apply_cancellations(ctx);
                        RecoveryPage::Machines(None)
                    }
                }
            }
            _ => {
                // Page by page: all of a large fleet's at once took a quarter of
                // a second, in which nothing else was answered.
                for row in &page.rows {
                    self.apply_task_record(ctx, row);
                }
                if next_key.is_none() {
                    return self.finish_recovery(ctx);
                }
                RecoveryPage::Tasks(next_key)
            }
        };
        self.request_page(ctx, next_page);
    }

    /// Applies the descriptions of a page of the queue, and keeps its cancellations until
    /// all descriptions are read. `next_key` is where the next page begins, if there is
    /// one.
    fn apply_queue_page(&mut self, ctx: &Context, page: RangePage, next_key: Option<&str>) {
        // Later pages may be of later revisions, but the watch starts here: a change that
        // it reports again has no effect.
        self.queue_watch.start_after(page.revision);
        for row in page.rows {
            // Cancellations come before descriptions in the order of keys, but a
            // cancellation means nothing before its job is known: applied in that order,
            // a new leader would let cancelled tasks run on.
            if row.key.starts_with(records::OPEN) {
                self.apply_queue_record(ctx, &row.key, &row.value, row.version);
            } else {
                self.recovery.cancellations.push(row);
            }
        }
        let all_cancellations_read = next_key.is_none_or(|key| key.starts_with(records::OPEN));
        if all_cancellations_read && !self.queue_watch.has_consistent_read() {
            // Every cancellation is known that was confirmed before the first page was
            // requested. Which machines hold its tasks is not: until that is read, all
            // answers end as early as those to the machine that holds the oldest.
            let cancellations = self.recovery.cancellations.iter();
            let oldest = cancellations
                .map(|row| earliest_confirmation(ctx, &row.value))
                .min();
            let requested_at = self.recovery.queue_requested_at;
            self.queue_watch
                .set_consistent_read(oldest.unwrap_or(Micros::MAX).min(requested_at));
        }
    }

    /// Applies the cancellations that were kept until all descriptions were read.
    fn apply_cancellations(&mut self, ctx: &Context) {
        for row in std::mem::take(&mut self.recovery.cancellations) {
            self.apply_queue_record(ctx, &row.key, &row.value, row.version);
        }
    }

    fn apply_machine_records(&mut self, ctx: &Context, rows: &[KeyValue]) {
        for row in rows {
            let Some(name) = row.key.strip_prefix(records::MACHINES) else {
                continue;
            };
            let Some(record) = row.decode_value::<MachineRecord>() else {
                log::error!("unreadable machine record key={}", row.key);
                continue;
            };
            let mut machine = Machine::new(
                name,
                &record.machine_type,
                &record.zone,
                record.spot,
                ctx.now.monotonic,
            );
            machine.addr = Some(record.addr);
            machine.recorded = true;
            self.machines.insert(machine.name.clone(), machine);
        }
    }

    /// Everything is read: the leader begins to act.
    fn finish_recovery(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        self.recovery.finish(now);
        self.queue_watch
            .set_consistent_read(self.recovery.queue_requested_at);
        self.queue_watch.watch_from(now);
        let cancelled = self.job_ids(|job| job.cancelled_at.is_some());
        let done = self.job_ids(Job::all_done);
        self.propagate_all_urgencies(ctx);
        for id in cancelled {
            self.cancel_job(ctx, &id);
        }
        for id in done {
            self.end_if_done(&id);
        }
        self.start_contacting_machines(now);
        log::info!(
            "state recovered term={} jobs={} machines={} jobs_with_estimates={} blocked_jobs={}",
            self.term,
            self.jobs.len(),
            self.machines.len(),
            self.estimates.inherited_jobs(),
            self.dependencies.blocked_jobs()
        );
        self.estimates.drop_inherited();
    }

    /// The ids of the jobs that satisfy a condition.
    fn job_ids(&self, condition: fn(&Job) -> bool) -> Vec<Rc<str>> {
        let jobs = self.jobs.iter().filter(|(_, job)| condition(job));
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Sends every machine its first commands. A machine counts as heard from now on,
    /// unless its zone was silent already.
    fn start_contacting_machines(&mut self, now: Micros) {
        for machine in self.machines.values_mut() {
            machine.begin_term(now);
            match self.partitions.last_contact_before_term(&machine.zone) {
                // It had sent a heartbeat to the leader before, or it had no record.
                Some(heard) if machine.recorded => {
                    machine.assume_silent_since(now.min(heard));
                    // Those that answer have their turn first.
                    self.command_dispatch
                        .enqueue_background_at(now + SECOND, machine.name.clone());
                }
                _ => self
                    .command_dispatch
                    .enqueue_background(machine.name.clone()),
            }
        }
    }

    fn apply_task_record(&mut self, ctx: &Context, row: &KeyValue) {
        let Some((id, range)) = records::parse_tasks_key(&row.key) else {
            return;
        };
        let Some(id) = self.jobs.name(id).cloned() else {
            return self.add_unknown_job_record(id, row);
        };
        let Some(chunk) = row.decode_value::<TaskChunk>() else {
            log::error!("unreadable task record key={}", row.key);
            return self.demote_to_unknown(ctx, &id, range, &row.key);
        };
        if matches!(range, TaskRange::Part { .. }) {
            // Parts are written once the lower limits are in force, and override their
            // chunk, which came before.
            self.writer.use_lower_value_limit(ctx.config);
            self.discard_chunk_state(&id, range);
        }
        let Some(index) = self.jobs.index_of(&id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.task_ranges.set_version(range, row.version);
        job.apply_chunk(&chunk);
        for placed in chunk.placed {
            self.apply_placement(ctx, &id, index, placed);
        }
    }

    /// Applies a stored placement of a task to its job, which is already marked as
    /// changed, and to its machine.
    fn apply_placement(
        &mut self,
        ctx: &Context,
        id: &Rc<str>,
        job_index: SlabIndex,
        placed: PlacedTask,
    ) {
        let Some(job) = self.jobs.get_mut_unmarked(job_index) else {
            return;
        };
        let name: Rc<str> = Rc::from(placed.machine.as_str());
        if !job.apply_placement(&placed, &name) {
            return;
        }
        // A machine without a record may be running all the same: what it is shows when
        // it sends a heartbeat or the cloud lists it.
        if !self.machines.contains_key(&name) {
            let machine = Machine::new(&name, "", "", false, ctx.now.monotonic);
            self.machines.insert(name.clone(), machine);
        }
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        machine.raise_incarnation(placed.incarnation);
        let task_slot = TaskSlot::new(
            placed.attempt,
            placed.incarnation,
            job_index,
            &job.spec,
            true,
        );
        let image = (&job.image, job.spec.image_gb);
        let cache = usable_cache_gb(self.machine_types.types(), &machine.machine_type);
        machine.add_task((id.clone(), placed.index), task_slot, image, cache);
    }

    /// Discards what the record of a chunk said of some of its tasks.
    fn discard_chunk_state(&mut self, id: &Rc<str>, range: TaskRange) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for index in job.task_ranges.indexes(range) {
            if let Some(machine) = job.reset_task(index)
                && let Some(machine) = self.machines.get_mut(&machine)
            {
                machine.slots.remove(&(id.clone(), index));
            }
        }
    }
}
