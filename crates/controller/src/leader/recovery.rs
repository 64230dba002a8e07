//! Recovery of the state by a new leader.
//!
//! The leader reads the queue (descriptions and cancellations), the machines and the tasks
//! in this order, page by page. It is ready once it has read all of them.

use super::job::Job;
use super::queue_records::earliest_confirmation;
use super::scheduling::usable_cache_gb;
use super::{Leader, RETRY_INTERVAL};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::machines::Machine;
use crate::machines::TaskSlot;
use crate::records::{self, MachineRecord, PlacedTask, TaskRange, TaskRecord};
use crate::sched::SlabIndex;
use crate::{Micros, SECOND};
use dillcleat_wire::store::{KeyValue, RangePage, StoreRequest, StoreResponse};
use std::rc::Rc;

/// The stage of the recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecoveryStage {
    Loading,
    Ready,
}

/// A page of records, identified by the key after which it begins; `None` for the first.
#[derive(Debug, Clone)]
pub(super) enum RecoveryPage {
    Machines(Option<String>),
    Queue(Option<String>),
    Tasks(Option<String>),
}

/// A page that was requested but not yet received.
#[derive(Debug, Clone)]
struct RequestedPage {
    page: RecoveryPage,
    /// When the page is requested again; `Micros::MAX` while a request is in flight.
    retry_at: Micros,
}

/// The progress of a new leader in reading the store.
///
/// After the first request, `requested` is set until the stage is `Ready`.
#[derive(Debug)]
pub(super) struct Recovery {
    stage: RecoveryStage,
    requested: Option<RequestedPage>,
    /// Cancellations that were read before the descriptions of their jobs.
    cancellations: Vec<KeyValue>,
    /// When the first page of the queue was requested.
    queue_requested_at: Micros,
    /// When the recovery was complete.
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

    /// Whether the recovery is complete.
    pub fn is_ready(&self) -> bool {
        self.stage == RecoveryStage::Ready
    }

    /// When the recovery was complete. Meaningless before that.
    pub fn ready_since(&self) -> Micros {
        self.ready_since
    }

    /// Whether a page has yet to be received.
    pub fn is_reading(&self) -> bool {
        self.requested.is_some()
    }

    /// The page whose failed request is to be retried now.
    pub fn page_to_retry(&self, now: Micros) -> Option<RecoveryPage> {
        let requested = self.requested.as_ref()?;
        (now >= requested.retry_at).then(|| requested.page.clone())
    }

    fn page_requested(&mut self, page: RecoveryPage, now: Micros) {
        if matches!(page, RecoveryPage::Queue(None)) {
            // The pages contain all cancellations that were confirmed before this time.
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
    /// The term and the version of the term record, once the recovery is complete. Writes of the
    /// Kubernetes API are fenced with them.
    pub fn fence(&self) -> Option<(u64, u64)> {
        self.recovery
            .is_ready()
            .then_some((self.term, self.term_version))
    }

    /// Whether the job is open and its description could be read.
    pub fn has_open_job(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Requests a page of records from the store.
    pub(super) fn request_page(&mut self, ctx: &mut Context, page: RecoveryPage) {
        let (prefix, after, step) = match &page {
            RecoveryPage::Machines(after) => {
                (records::MACHINES_PREFIX, after, LeaderStep::LoadMachines)
            }
            RecoveryPage::Queue(after) => (records::QUEUE_PREFIX, after, LeaderStep::LoadQueue),
            RecoveryPage::Tasks(after) => (records::TASKS_PREFIX, after, LeaderStep::LoadTasks),
        };
        let request = StoreRequest::List {
            prefix: prefix.into(),
            after: after.clone(),
        };
        self.recovery.page_requested(page, ctx.now.monotonic);
        let continuation = self.continuation(step);
        ctx.store_request(request, continuation);
    }

    /// Handles the reply to the request of a page. `step` identifies the kind of records.
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
                // The records are applied page by page: applying all task
                // records of a large fleet at once would delay the answers to other requests.
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
    /// all descriptions are read. `next_key` is the key after which the next page begins, if
    /// there is one.
    fn apply_queue_page(&mut self, ctx: &Context, page: RangePage, next_key: Option<&str>) {
        // The watch starts at the revision of the first page. Changes that later pages
        // contain already are reported again, which has no effect.
        self.queue_watch.start_after(page.revision);
        for row in page.rows {
            // Cancellations precede descriptions in the order of keys, but a cancellation
            // has no effect before its job is known. Applied in this order, they would be
            // ignored and the tasks would keep running.
            if row.key.starts_with(records::OPEN_JOBS_PREFIX) {
                self.apply_queue_record(ctx, &row.key, &row.value, row.version);
            } else {
                self.recovery.cancellations.push(row);
            }
        }
        let all_cancellations_read =
            next_key.is_none_or(|key| key.starts_with(records::OPEN_JOBS_PREFIX));
        if all_cancellations_read && !self.queue_watch.has_consistent_read() {
            // All cancellations that were confirmed before the first page was requested are
            // known, but not the machines that hold their tasks. Until those are read, the
            // oldest cancellation limits the time during which any heartbeat is answered.
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
            let Some(name) = row.key.strip_prefix(records::MACHINES_PREFIX) else {
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
                self.tokens.first(),
                ctx.now.monotonic,
            );
            machine.addr = Some(record.addr);
            machine.recorded = true;
            self.machines.insert(machine.name.clone(), machine);
        }
    }

    /// Completes the recovery after the last page. From now on the leader schedules tasks.
    fn finish_recovery(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        self.recovery.finish(now);
        self.queue_watch
            .set_consistent_read(self.recovery.queue_requested_at);
        self.queue_watch.schedule_watch_at(now);
        let cancelled = self.job_ids(|job| job.cancelled_at.is_some());
        let done = self.job_ids(Job::all_done);
        self.propagate_all_urgencies(ctx);
        for id in cancelled {
            self.apply_cancellation(ctx, &id);
        }
        for id in done {
            self.enqueue_end_if_done(&id);
        }
        self.start_contacting_machines(now);
        self.command_log
            .begin(now + 2 * ctx.config.heartbeat_interval);
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

    /// The ids of the jobs that satisfy the condition.
    fn job_ids(&self, condition: fn(&Job) -> bool) -> Vec<Rc<str>> {
        let jobs = self.jobs.iter().filter(|(_, job)| condition(job));
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Queues the first batch of commands to every machine. The unresponsive time of a
    /// machine is counted from now on, unless its zone was unresponsive before.
    fn start_contacting_machines(&mut self, now: Micros) {
        for machine in self.machines.values_mut() {
            machine.begin_term(now);
            match self.partitions.last_contact_before_term(&machine.zone) {
                // A recorded machine has sent a heartbeat to a previous leader.
                Some(last_contact) if machine.recorded => {
                    machine.restore_last_contact(now.min(last_contact));
                    // Machines in other zones, which are likely to answer, come first.
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
            return self.add_unknown_job_record(id, range, row);
        };
        let Some(chunk) = row.decode_value::<TaskRecord>() else {
            log::error!("unreadable task record key={}", row.key);
            return self.demote_to_unknown(ctx, &id, range);
        };
        if matches!(range, TaskRange::Part { .. }) {
            // Parts are written only after the lower limits have taken effect. They override
            // their chunk, which precedes them in the order of keys.
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
        job.apply_task_record(&chunk);
        for placed in chunk.placed {
            self.apply_placement(ctx, &id, index, placed);
        }
    }

    /// Applies a stored placement of a task to its machine and to its job. The job must
    /// already be marked as changed.
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
        if !job.tasks.apply_placement(&placed, &name) {
            return;
        }
        // A machine without a record may be running nevertheless. Its description is
        // completed when it sends a heartbeat or the cloud lists it.
        if !self.machines.contains_key(&name) {
            let token = self.tokens.first();
            let machine = Machine::new(&name, "", "", false, token, ctx.now.monotonic);
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

    /// Discards the state of some tasks that was read from the record of their chunk.
    fn discard_chunk_state(&mut self, id: &Rc<str>, range: TaskRange) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for index in job.task_ranges.indexes(range) {
            if let Some(machine) = job.tasks.reset(index)
                && let Some(machine) = self.machines.get_mut(&machine)
            {
                machine.slots.remove(&(id.clone(), index));
            }
        }
    }
}
