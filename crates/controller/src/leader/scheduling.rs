//! What time brings: watches, passes, ageing.

use super::*;

/// What may be counted on of a type's cache for images, in GB.
pub(super) fn cache_gb(types: Option<&Vec<MachineType>>, machine_type: &str) -> f64 {
    let mut types = types.into_iter().flatten();
    let found = types.find(|t| t.name == machine_type);
    found.map_or(0.0, |t| t.cache_gb * 0.9)
}

/// When the scheduling cycle runs, and what it has done.
#[derive(Debug)]
pub(super) struct SchedulingState {
    /// What ageing has taken off any job that was active all the time, in
    /// CPU-seconds.
    pub virtual_time: f64,
    /// When tasks may be preempted for replicas again.
    pub next_preemption_at: Micros,
    /// A service was submitted since the last cycle: its users do not wait for a
    /// tick.
    pub service_submitted: bool,
    /// From when on a change wants a cycle.
    pub schedule_at: Micros,
    pub last_scheduled_at: Micros,
    pub counts: SchedulerCounters,
}

impl SchedulingState {
    pub fn new(now: Micros) -> SchedulingState {
        SchedulingState {
            virtual_time: 0.0,
            next_preemption_at: now,
            service_submitted: false,
            schedule_at: now,
            last_scheduled_at: now,
            counts: SchedulerCounters::default(),
        }
    }
}

impl Leader {
    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if let Some((at, from)) = self.recovery.reload_at.clone() {
            if now >= at {
                self.load(ctx, from);
            }
            return;
        }
        if !self.may_answer_heartbeats(ctx) {
            self.queue_watch.no_consistent_read_since.get_or_insert(now);
        } else if let Some(since) = self.queue_watch.no_consistent_read_since.take() {
            // Whoever was refused an answer was not silent. After an outage of a
            // minute every machine once looked as if it were, and all were deleted
            // before they could report again.
            self.paused(now - since, now);
        }
        if self.schedule_due(ctx)
            || now >= self.scheduling.last_scheduled_at + micros(ctx.config.tuning.pass_s)
        {
            self.schedule(ctx);
        }
        if now >= self.autoscaler.next_fleet_check_at {
            self.autoscaler.next_fleet_check_at = now + SECOND;
            self.mark_guessed();
            self.refresh(ctx);
            self.delete_unreachable(ctx);
            self.tend_fleet(ctx);
        }
        self.send_pending(ctx);
    }

    /// A change wants a pass, and the last one is long enough ago.
    fn schedule_due(&self, ctx: &Context) -> bool {
        let now = ctx.now.monotonic;
        let gap = micros(ctx.config.tuning.pass_gap_s);
        now >= self.scheduling.schedule_at && now >= self.scheduling.last_scheduled_at + gap
    }

    /// Sends what is ready to be sent. Passes wait for the tick, but for one that
    /// a service's submission wants: a report is answered, and with it a lease
    /// renewed, without one in between.
    pub fn send_pending(&mut self, ctx: &mut Context) {
        if self.recovery.stage != RecoveryStage::Ready {
            return;
        }
        if self.scheduling.service_submitted && self.schedule_due(ctx) {
            self.schedule(ctx);
        }
        if self
            .queue_watch
            .watch_at
            .is_some_and(|at| ctx.now.monotonic >= at)
        {
            self.queue_watch.watch_at = None;
            let call = StoreRequest::Watch {
                prefix: records::QUEUE.into(),
                after: self.queue_watch.queue_revision.unwrap_or(0),
                hold_ms: WATCH_MS,
            };
            let waiter = self.waiter(Step::Watch);
            ctx.store_request(call, waiter);
        }
        self.look_for_proofs(ctx);
        self.read_again(ctx);
        self.write(ctx);
        self.send_commands(ctx);
        self.call_cloud(ctx);
    }

    fn call_cloud(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let fleet: usize = self.derived.sums.up.values().sum();
        let most = (fleet as f64 * ctx.config.tuning.delete_share) as usize;
        let permit = |action| self.leadership_proof.permit(ctx.config, now, action);
        if let Some((errand, call, permit)) = self.autoscaler.cloud_queue.next(now, most, permit) {
            let waiter = self.waiter(Step::Cloud(errand));
            ctx.cloud_request(call, &permit, waiter);
        }
    }

    /// Whether it may be done now.
    pub(super) fn may(&self, ctx: &Context, action: CloudAction) -> bool {
        let now = ctx.now.monotonic;
        self.leadership_proof
            .permit(ctx.config, now, action)
            .is_some()
    }

    /// This process was not running for a while, or did not listen: what it did not
    /// hear then says nothing about those who spoke.
    pub fn paused(&mut self, time: Micros, now: Micros) {
        for m in self.machines.values_mut() {
            m.heard_at = (m.heard_at + time).min(now);
            m.reported_at = (m.reported_at + time).min(now);
        }
    }

    /// Since when reports of several machines should have come in.
    pub fn expects_reports_since(&self) -> Option<Micros> {
        let expected = self.derived.sums.recorded;
        (self.recovery.stage == RecoveryStage::Ready && expected >= 2)
            .then_some(self.recovery.ready_since)
    }

    /// Machines that hold a cancelled job's tasks and do not show their end
    /// are deleted well before the time is up.
    pub(super) fn delete_unreachable(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let patience = ctx.config.cancel_deadline * 3 / 10;
        let may = self.may(ctx, CloudAction::Delete(DeletionReason::Cancelled));
        if now < self.recovery.ready_since + patience / 4 || !may {
            return;
        }
        let mut late: BTreeSet<Rc<str>> = BTreeSet::new();
        for place in &self.derived.cancelled {
            let Some((id, job)) = self.jobs.at(place) else {
                continue;
            };
            if job.cancelled.is_none_or(|at| now < at + patience) {
                continue;
            }
            for (i, machine) in job.on_machines() {
                let slot = self
                    .machines
                    .get(machine)
                    .filter(|m| !m.leaving || !self.autoscaler.cloud_queue.urgent(&m.name))
                    .and_then(|m| m.slots.get(&(id.clone(), i)));
                if slot.is_some_and(|s| s.cancelled && s.stored) {
                    late.insert(machine.clone());
                }
            }
        }
        for name in late {
            log::info!("{name}: a cancelled task is not seen gone, deleting it");
            self.delete_machine(&name, DeletionReason::Cancelled);
        }
    }

    /// Has a machine deleted.
    pub(super) fn delete_machine(&mut self, name: &Rc<str>, ground: DeletionReason) {
        if let Some(m) = self.machines.get_mut(name) {
            m.leaving = true;
            self.autoscaler.cloud_queue.delete(name.clone(), ground);
        }
    }

    /// A job as a pass or a plan sees it, with up to so many waiting tasks.
    pub(super) fn job_view(&self, ctx: &Context, place: SlabIndex) -> Option<JobView<'_>> {
        let (id, job) = self.jobs.at(place)?;
        let most = if job.record.doubtful() { 1 } else { PASS_TASKS };
        Some(JobView {
            index: place,
            id,
            spec: &job.spec,
            image: &job.image,
            team: job.team,
            waiting: job.placeable().min(most) as u32,
            zones: self.zones(job, &BTreeSet::new()),
            training: job.training(ctx.config),
            at_risk_tasks: 0,
            starving: job.shape.starving(),
        })
    }

    /// The last time of day at which the end of the job is still of use.
    pub(super) fn of_use_until(config: &Config, job: &Job) -> Option<Micros> {
        let aim = config.deadline_objective(&job.spec.class)?;
        let due = micros(job.spec.deadline_s? * aim.max_multiple);
        Some(job.submitted.saturating_add(due))
    }

    /// Past the last time at which the end of the job is still of use.
    pub(super) fn overdue(ctx: &Context, job: &Job) -> bool {
        Self::of_use_until(ctx.config, job).is_some_and(|end| ctx.now.wall >= end)
    }

    /// What a task of the job takes, as far as is known.
    pub(super) fn run_time(&self, config: &Config, job: &Job) -> f64 {
        match job.samples.len() {
            0 => self.guess(config, &job.spec.class),
            n => job.samples.iter().sum::<f64>() / n as f64,
        }
    }

    /// The boot time of the type that is up soonest, in seconds.
    pub(super) fn soonest_boot(&self) -> f64 {
        let types = self.machine_types.types.iter().flat_map(|ts| ts.iter());
        types.map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }

    pub(super) fn is_service(&self, id: &Rc<str>) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|j| j.spec.kind == JobKind::Service && j.cancelled.is_none())
    }

    /// Where a job's tasks are or may be, `but` for some machines. Only the rules
    /// of a spread and of a single zone ask for it.
    pub(super) fn zones(&self, job: &Job, but: &BTreeSet<Rc<str>>) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !job.spec.spread && !job.spec.single_zone {
            return zones;
        }
        for (_, machine) in job.on_machines().filter(|(_, m)| !but.contains(*m)) {
            if let Some(m) = self.machines.get(machine) {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    pub(super) fn total(&self, machine_type: &str) -> Option<Resources> {
        self.machine_types
            .types
            .as_ref()?
            .iter()
            .find(|t| t.name == machine_type)
            .map(Resources::of_type)
    }

    pub(super) fn view(&self, m: &Machine) -> Option<MachineView> {
        let free = m.free(self.total(&m.machine_type)?);
        Some(Self::view_with(m, free))
    }

    pub(super) fn view_with(m: &Machine, free: Resources) -> MachineView {
        MachineView {
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            images: m.images.clone(),
            service_images: 0,
            failed_jobs: m.error_jobs.iter().cloned().collect(),
            cordoned: m.cordoned,
            outbound_unreachable: false,
        }
    }

    /// One pass of the scheduler: ages, then fills free room.
    pub(super) fn schedule(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        self.refresh(ctx);
        self.advance_virtual_time(now);
        self.scheduling.schedule_at = Micros::MAX;
        self.scheduling.service_submitted = false;
        self.scheduling.last_scheduled_at = now;
        if self.has_recent_read(ctx) && self.machine_types.types.is_some() {
            self.refresh(ctx);
            self.place_waiting_jobs(ctx);
            self.make_room(ctx);
        }
    }

    fn place_waiting_jobs(&mut self, ctx: &Context) {
        if self.derived.job_queue.is_empty() {
            return;
        }
        let sums = &self.derived.sums;
        let mut teams = sums.team_views(ctx.config);
        let share = sums.fleet_cpus() * ctx.config.tuning.training_share;
        let terms = sched::CycleLimits {
            virtual_time: self.scheduling.virtual_time,
            training_cpus: share - sums.training_cpus(),
            service_headroom: self.reserve(ctx.config),
        };
        // Taken out while the jobs are looked at; what is placed comes back
        // marked, and with that the floor is as the machines are.
        let mut floor = std::mem::take(&mut self.derived.capacity);
        let view = |place| self.job_view(ctx, place);
        let (made, seen) =
            sched::run_cycle(&self.derived.job_queue, view, &mut floor, &mut teams, terms);
        self.derived.capacity = floor;
        self.scheduling.counts.passes += 1;
        self.scheduling.counts.jobs += seen as u64;
        for a in made {
            self.apply_assignment(&a);
        }
    }

    fn apply_assignment(&mut self, a: &sched::Assignment) {
        let types = self.machine_types.types.clone();
        let Some((id, machine)) = self.jobs.at(a.job).zip(self.machines.at(a.machine)) else {
            return;
        };
        let (id, machine) = (id.0.clone(), machine.0.clone());
        let (Some(job), Some(m)) = (self.jobs.get_mut(&id), self.machines.get_mut(&machine)) else {
            return;
        };
        let mut touched = Vec::new();
        for _ in 0..a.tasks {
            let Some(i) = job.waiting.pop_first() else {
                break;
            };
            let task = &mut job.tasks[i as usize];
            task.attempt += 1;
            task.state = TaskPlacement::Placed {
                machine: machine.clone(),
                incarnation: m.incarnation,
                stored: false,
            };
            let mut slot = Machine::slot(task.attempt, m.incarnation, (a.job, &job.spec), false);
            slot.uses_service_headroom = a.uses_service_headroom;
            let held = m.images.iter().any(|(i, _)| *i == job.image);
            let image = if held { "held" } else { "missing" };
            log::debug!("placing {id}/{i} on {machine}, image {} {image}", job.image);
            let image = (&job.image, job.spec.image_gb);
            let cache = cache_gb(types.as_deref(), &m.machine_type);
            let key = (id.clone(), i);
            m.place(key.clone(), slot, image, cache);
            touched.push(key);
        }
        // Whoever gets room does not starve.
        job.waits_since = None;
        self.scheduling.counts.placed += touched.len() as u64;
        for key in touched {
            self.touch(&key);
        }
    }

    /// Cuts every active job's virtual size by its fair share of the time.
    pub(super) fn advance_virtual_time(&mut self, now: Micros) {
        let sums = &self.derived.sums;
        if sums.ageing > 0 {
            let time = seconds(now.saturating_sub(self.scheduling.last_scheduled_at));
            self.scheduling.virtual_time += time * sums.fleet_cpus() / sums.ageing as f64;
        }
    }
}
