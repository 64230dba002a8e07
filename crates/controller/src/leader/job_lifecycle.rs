//! What happens to jobs and their tasks.

use super::*;

/// A replica that is up for so long is taken to serve.
const SERVES: Micros = 10 * SECOND;

impl Leader {
    /// A job is cancelled: nothing of it starts, and what runs is stopped.
    pub(super) fn stop_job(&mut self, ctx: &Context, id: &Rc<str>) {
        log::info!("{id}: cancelled, stopping its tasks");
        // The cancellation may have overtaken the record of its last
        // completion: then that is not written, and the job is to be cleared.
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = false;
            job.stopped = true;
        }
        self.leaves_line(ctx, id);
        self.cancel_dependents(id);
        self.events.push(LeaderEvent::Stopped(id.to_string()));
        let unstored: Vec<u32> = self.mark_cancelled(id);
        for i in unstored {
            // A placement that is being written may already be stored.
            let key: TaskKey = (id.clone(), i);
            // An earlier attempt in the batch says nothing of this one: taken
            // for it, the placement once stayed for ever (seed 4717).
            let attempt = self.jobs.get(id).map(|j| j.tasks[i as usize].attempt);
            let written = |b: &WriteBatch| {
                let mut placed = b.placed.iter();
                placed.any(|(k, a)| *k == key && Some(*a) == attempt)
            };
            if !self.writer.write_queue.batch.as_ref().is_some_and(written) {
                self.unplace(&key);
            }
        }
        self.check_clear(id);
    }

    /// This process has seen in the store that these jobs are cancelled: each stops as if
    /// the queue had told it. When that was confirmed is not known here, and until the row
    /// says so answers end with the last read, which is older.
    pub fn cancelled(&mut self, ctx: &mut Context, ids: &[String]) {
        for id in ids {
            let Some(id) = self.jobs.name(id).cloned() else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.stopped) else {
                continue;
            };
            job.cancelled.get_or_insert(ctx.now.monotonic);
            // One that still loads stops its cancelled jobs as it starts.
            if self.recovery.stage == RecoveryStage::Ready {
                self.stop_job(ctx, &id);
            }
        }
    }

    pub(super) fn mark_cancelled(&mut self, id: &Rc<str>) -> Vec<u32> {
        let mut unstored = Vec::new();
        let Some(job) = self.jobs.get(id) else {
            return unstored;
        };
        for (i, machine) in job.on_machines() {
            let Some(m) = self.machines.get_mut(machine) else {
                continue;
            };
            let Some(slot) = m.slots.get_mut(&(id.clone(), i)) else {
                continue;
            };
            slot.cancelled = true;
            if slot.stored {
                m.command_state.request_at(0);
                self.command_dispatch.enqueue_urgent(m.name.clone());
            } else {
                unstored.push(i);
            }
        }
        unstored
    }

    /// Takes a placement back that was never stored, so nothing was sent.
    pub(super) fn unplace(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let task = &mut job.tasks[key.1 as usize];
        if let TaskPlacement::Placed { machine: m, .. } = &task.state {
            if let Some(m) = self.machines.get_mut(m) {
                m.slots.remove(key);
            }
            task.state = TaskPlacement::Waiting;
            job.waiting.insert(key.1);
        }
    }

    /// Clears a job that was seen to be cancelled once nothing of it is left. That its mark
    /// has changed is not enough: whoever waits for it is told once the mark is read.
    pub(super) fn check_clear(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.stopped
            && !job.ending
            && job.placed() == 0
        {
            job.ending = true;
            self.writer
                .write_queue
                .push(PendingWrite::Clear(id.clone()));
        }
    }

    pub(super) fn check_done(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancelled.is_none()
            && !job.ending
            && job.done as usize == job.tasks.len()
        {
            job.ending = true;
            self.writer
                .write_queue
                .push_front(PendingWrite::Done(id.clone()));
        }
    }

    pub(super) fn forget_job(&mut self, ctx: &Context, id: &Rc<str>) {
        self.leaves_line(ctx, id);
        if let Some(job) = self.jobs.remove(id) {
            for span in job.spans.stored() {
                self.writer
                    .write_queue
                    .push(PendingWrite::Drop(records::tasks_key(id, span)));
            }
        }
    }

    pub(super) fn touch(&mut self, key: &TaskKey) {
        if let Some(job) = self.jobs.get(&key.0) {
            let item = PendingWrite::Tasks(key.0.clone(), job.spans.of(key.1));
            self.writer.write_queue.push(item);
        }
    }

    pub(super) fn slot_event(&mut self, ctx: &Context, machine: &str, event: TaskEvent) {
        // A start frees no room; everything else may.
        if !matches!(event, TaskEvent::Running(_)) {
            self.scheduling.request_cycle(ctx.now.monotonic);
        }
        match event {
            TaskEvent::Running(key) => {
                log::debug!("{}/{} runs on {machine}", key.0, key.1);
                if let Some(job) = self.jobs.get_mut(&key.0) {
                    job.running.insert(key.1);
                }
            }
            TaskEvent::Lost {
                task,
                attempt,
                reason: why,
            } => {
                log::info!(
                    "{}/{} attempt {attempt} on {machine} is gone: {why}",
                    task.0,
                    task.1
                );
                self.back_to_waiting(&task, attempt);
            }
            TaskEvent::Exited {
                task,
                attempt,
                reason: ExitReason::Done,
                ran,
            } => {
                log::debug!("{}/{} is done on {machine}", task.0, task.1);
                self.task_done(ctx, &task, attempt, ran);
            }
            TaskEvent::Exited {
                task,
                attempt,
                reason: why,
                ..
            } => {
                log::info!(
                    "{}/{} attempt {attempt} on {machine} ended: {why:?}",
                    task.0,
                    task.1
                );
                self.back_to_waiting(&task, attempt);
                self.blame(ctx, machine, &task, why);
                if why == ExitReason::Error {
                    self.events.push(LeaderEvent::Failed {
                        job: task.0.to_string(),
                        task: task.1,
                        attempt,
                    });
                }
            }
        }
    }

    pub(super) fn back_to_waiting(&mut self, key: &TaskKey, attempt: u64) {
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.running.remove(&key.1);
            let task = &mut job.tasks[key.1 as usize];
            if task.attempt == attempt && matches!(task.state, TaskPlacement::Placed { .. }) {
                task.state = TaskPlacement::Waiting;
                job.waiting.insert(key.1);
            }
            if job.cancelled.is_none() {
                self.touch(key);
            }
        }
        self.check_clear(&key.0);
    }

    pub(super) fn task_done(
        &mut self,
        ctx: &Context,
        key: &TaskKey,
        attempt: u64,
        ran: Option<Micros>,
    ) {
        let place = self.jobs.place(&key.0);
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        job.running.remove(&key.1);
        let task = &mut job.tasks[key.1 as usize];
        if task.attempt != attempt || !matches!(task.state, TaskPlacement::Placed { .. }) {
            return;
        }
        task.state = TaskPlacement::Done;
        job.done += 1;
        if let Some(ran) = ran {
            let ran = seconds(ran);
            let t = ctx.config.tuning.training_tasks.max(1) as usize;
            if !job.trained {
                self.estimates.unreplicated_estimates.extend(place);
                job.samples.push(ran);
                if job.samples.len() >= t.min(job.tasks.len()) {
                    let mean = job.samples.iter().sum::<f64>() / job.samples.len() as f64;
                    job.trained = true;
                    job.size = f64::from(job.spec.tasks) * job.spec.cpus * mean;
                }
            }
            let first = ctx.config.tuning.first_guess_s;
            let guess = self
                .estimates
                .run_time_estimates
                .entry(job.spec.class.clone())
                .or_insert(first);
            *guess += (ran - *guess) * 0.05;
            self.estimates.run_time_estimates_changed = true;
        }
        if job.cancelled.is_some() {
            return self.check_clear(&key.0);
        }
        self.proves(&key.0);
        self.check_done(&key.0);
        // The record of a job's end covers its last task as well.
        if self.jobs.get(&key.0).is_some_and(|j| !j.ending) {
            self.touch(key);
        }
    }

    /// A task of the job is known to have run, so its errors elsewhere were
    /// those machines' own.
    fn proves(&mut self, id: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.record.is_proven()) else {
            return;
        };
        for machine in job.record.record_success() {
            self.strike(&machine, id);
        }
    }

    fn strike(&mut self, machine: &Rc<str>, id: &Rc<str>) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.health.add_strike(id) {
            log::info!("{machine} fails several jobs: it takes no more and is returned");
        }
    }

    /// Whether a replica of the job is up for longer than one that fails would
    /// be: replicas never end by themselves, so nothing else proves a service.
    fn serves(&self, job: &Job, id: &Rc<str>, now: Micros) -> bool {
        job.running.iter().any(|i| {
            let TaskPlacement::Placed { machine: m, .. } = &job.tasks[*i as usize].state else {
                return false;
            };
            let slot = self
                .machines
                .get(m)
                .and_then(|m| m.slots.get(&(id.clone(), *i)));
            let since = slot.and_then(|s| s.running_since);
            since.is_some_and(|at| now >= at + SERVES)
        })
    }

    pub(super) fn blame(&mut self, ctx: &Context, machine: &str, key: &TaskKey, why: ExitReason) {
        let now = ctx.now.monotonic;
        let Some(job) = self.jobs.get(&key.0) else {
            return;
        };
        if why == ExitReason::Error
            && job.spec.kind == JobKind::Service
            && self.serves(job, &key.0, now)
        {
            self.proves(&key.0);
        }
        let (Some(job), Some(m)) = (self.jobs.get_mut(&key.0), self.machines.get_mut(machine))
        else {
            return;
        };
        match why {
            ExitReason::NoRoom => m.health.block_until(now + 3 * SECOND),
            ExitReason::Error => {
                m.health.record_failed_job(&key.0);
                let name = m.name.clone();
                if job.record.is_proven() {
                    self.strike(&name, &key.0);
                } else if !m.health.has_strikes()
                    && let Some(pause) = job.record.record_failure(&name, now)
                {
                    log::info!(
                        "{}: fails wherever it runs, tried again in {} s",
                        key.0,
                        seconds(pause)
                    );
                }
            }
            ExitReason::Stopped | ExitReason::Done => {}
            ExitReason::Busy | ExitReason::Unknown | ExitReason::Other => {
                job.blocked_until = now + 2 * SECOND
            }
        }
    }
}
