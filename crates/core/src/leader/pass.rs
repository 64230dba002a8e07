//! What time brings: watches, passes, ageing.

use super::*;

/// What may be counted on of a type's cache for images, in GB.
pub(super) fn cache_gb(types: Option<&Vec<MachineType>>, machine_type: &str) -> f64 {
    let mut types = types.into_iter().flatten();
    let found = types.find(|t| t.name == machine_type);
    found.map_or(0.0, |t| t.cache_gb * 0.9)
}

impl Leader {
    pub fn tick(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.steady;
        if let Some((at, from)) = self.reload_at.clone() {
            if now >= at {
                self.load(ctx, from);
            }
            return;
        }
        if self.watch_at.is_some_and(|at| now >= at) {
            self.watch_at = None;
            let call = StateCall::Watch {
                prefix: store::QUEUE.into(),
                after: self.queue_revision.unwrap_or(0),
                hold_ms: WATCH_MS,
            };
            let waiter = self.waiter(Step::Watch);
            ctx.state(call, waiter);
        }
        let gap = micros(ctx.config.tuning.pass_gap_s);
        let due = now >= self.pass_at && now >= self.passed_at + gap;
        if due || now >= self.passed_at + micros(ctx.config.tuning.pass_s) {
            self.pass(ctx);
        }
        if now >= self.fleet_at {
            self.fleet_at = now + SECOND;
            self.clear_unreachable(ctx);
            self.tend_fleet(ctx);
        }
        self.write(ctx);
        self.push_orders(ctx);
        if let Some((errand, call)) = self.desk.next(now) {
            let waiter = self.waiter(Step::Cloud(errand));
            ctx.cloud(call, waiter);
        }
    }

    /// This process was not running for a while: what it did not hear then says
    /// nothing about those who spoke.
    pub fn paused(&mut self, time: Micros) {
        for m in self.machines.values_mut() {
            m.heard_at += time;
        }
    }

    /// Since when reports of several machines should have come in.
    pub fn expects_reports_since(&self) -> Option<Micros> {
        let expected = self.machines.values().filter(|m| m.recorded && !m.leaving);
        (self.stage == Stage::Ready && expected.count() >= 2).then_some(self.ready_since)
    }

    /// Machines that hold a cancelled job's tasks and do not show their end
    /// are deleted well before the time is up.
    pub(super) fn clear_unreachable(&mut self, ctx: &Ctx) {
        if self.jobs.values().all(|j| j.cancelled.is_none()) {
            return;
        }
        let now = ctx.now.steady;
        let patience = ctx.config.cancel * 3 / 10;
        for m in self.machines.values_mut().filter(|m| !m.leaving) {
            let late = m.slots.iter().any(|(k, s)| {
                s.cancelled
                    && s.stored
                    && self
                        .jobs
                        .get(&k.0)
                        .and_then(|j| j.cancelled)
                        .is_some_and(|at| {
                            now >= at + patience && now >= self.ready_since + patience / 4
                        })
            });
            if late {
                log::info!("{}: a cancelled task is not seen gone, deleting it", m.name);
                m.leaving = true;
                self.desk.deletes.insert(m.name.clone());
            }
        }
    }

    pub(super) fn team_views(&self, config: &Config) -> Vec<TeamView> {
        let left = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        let mut teams: Vec<TeamView> = config
            .teams
            .iter()
            .map(|t| TeamView {
                cpus_left: left(t.cpus_max),
                gpus_left: left(t.gpus_max),
            })
            .collect();
        for job in self.jobs.values() {
            let n = job.placed() as f64;
            teams[job.team].cpus_left -= n * job.spec.cpus;
            teams[job.team].gpus_left -= n * job.spec.gpus;
        }
        teams
    }

    /// Jobs with waiting tasks. Replicas on machines that are `cut_off` count
    /// as waiting as well: a plan rents for them ahead.
    pub(super) fn job_views(&self, ctx: &Ctx, cut_off: &BTreeSet<Rc<str>>) -> Vec<JobView<'_>> {
        let now = ctx.now.steady;
        let mut lost: BTreeMap<&Rc<str>, Vec<u32>> = BTreeMap::new();
        for m in cut_off.iter().filter_map(|m| self.machines.get(m)) {
            for (id, i) in m.slots.keys() {
                if self.is_service(id) {
                    lost.entry(id).or_default().push(*i);
                }
            }
        }
        self.jobs
            .iter()
            .filter(|(id, j)| {
                j.cancelled.is_none()
                    && (!j.waiting.is_empty() || lost.contains_key(id))
                    && now >= j.blocked_until
                    && j.record.may_start(j.placed(), now)
            })
            .map(|(id, j)| JobView {
                id,
                spec: &j.spec,
                team: j.team,
                waiting: j
                    .waiting
                    .iter()
                    .take(if j.record.doubtful() { 1 } else { PASS_TASKS })
                    .chain(lost.get(id).into_iter().flatten())
                    .copied()
                    .collect(),
                zones: self.zones(j, cut_off),
                training: j.training(ctx.config),
                tiny: j.tiny(ctx.config),
                initial_size: j.initial_size,
                virtual_size: j.virtual_size,
                submitted: j.submitted,
                late: 0,
                remaining: self.remaining(ctx, j),
            })
            .collect()
    }

    /// What is left of a job, in CPU-seconds. Beyond every use of its end it
    /// comes last of those that have aged to zero.
    fn remaining(&self, ctx: &Ctx, job: &Job) -> f64 {
        if job.spec.kind == Kind::Service {
            return 0.0;
        }
        if self.overdue(ctx, job) {
            return f64::INFINITY;
        }
        let left = job.tasks.len() as f64 - f64::from(job.done);
        left * job.spec.cpus * self.run_time(ctx.config, job)
    }

    /// Past the last time at which the end of the job is still of use.
    pub(super) fn overdue(&self, ctx: &Ctx, job: &Job) -> bool {
        let age = seconds(ctx.now.wall.saturating_sub(job.submitted));
        let mut aims = ctx.config.deadlines.iter();
        let aim = aims.find(|a| a.class == job.spec.class);
        match (job.spec.deadline_s, aim) {
            (Some(due), Some(aim)) => age >= due * aim.times,
            _ => false,
        }
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
        let types = self.types.iter().flat_map(|ts| ts.iter());
        types.map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }

    pub(super) fn is_service(&self, id: &Rc<str>) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|j| j.spec.kind == Kind::Service && j.cancelled.is_none())
    }

    /// Where a job's tasks are or may be. Only the rules of a spread and of a
    /// single zone ask for it.
    fn zones(&self, job: &Job, cut_off: &BTreeSet<Rc<str>>) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !job.spec.spread && !job.spec.one_zone {
            return zones;
        }
        for task in &job.tasks {
            if let TaskState::Placed(m) = &task.state
                && !cut_off.contains(m)
                && let Some(m) = self.machines.get(m)
            {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    pub(super) fn total(&self, machine_type: &str) -> Option<Room> {
        self.types
            .as_ref()?
            .iter()
            .find(|t| t.name == machine_type)
            .map(Room::of_type)
    }

    pub(super) fn view(&self, m: &Machine) -> Option<MachineView> {
        let free = m.free(self.total(&m.machine_type)?);
        Some(Self::view_with(m, free))
    }

    fn view_with(m: &Machine, free: Room) -> MachineView {
        MachineView {
            name: m.name.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            images: m.images.clone(),
            warm: 0,
            avoid: m.error_jobs.iter().cloned().collect(),
        }
    }

    /// One pass of the scheduler: ages, then fills free room.
    pub(super) fn pass(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        self.age(now);
        self.pass_at = Micros::MAX;
        self.passed_at = now;
        if self.fresh(ctx) && self.types.is_some() {
            self.fill(ctx);
            self.make_room(ctx);
        }
    }

    fn fill(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        let mut jobs = self.job_views(ctx, &BTreeSet::new());
        if jobs.is_empty() {
            return;
        }
        let reserve = self.reserve(ctx.config);
        let missing = Self::missing(ctx.config);
        // Most of a busy fleet is full: what holds none of the waiting tasks
        // is left out, but for what the reserve counts.
        let least = jobs
            .iter()
            .map(|j| j.spec.cpus)
            .fold(f64::INFINITY, f64::min);
        let mut machines: Vec<MachineView> = self
            .machines
            .values()
            // A launch to a machine that is gone, or behind a cut, would hold
            // its task until there is proof that it did not arrive.
            .filter(|m| m.open(now) && now < m.heard_at + missing)
            .filter_map(|m| {
                let free = m.free(self.total(&m.machine_type)?);
                let counts = free.cpus + 1e-6 >= least || (reserve > 0.0 && !m.spot);
                counts.then(|| Self::view_with(m, free))
            })
            .collect();
        let seen = jobs.len() as u64;
        let looked_at = self.machines.len() as u64;
        if machines.is_empty() {
            return;
        }
        let used = self.service_images();
        for m in machines.iter_mut().filter(|m| !m.spot) {
            m.warm = m.images.iter().filter(|(i, _)| used.contains(i)).count() as u32;
        }
        let mut teams = self.team_views(ctx.config);
        let fleet: f64 = self.fleet_cpus();
        let in_training: f64 = self
            .jobs
            .values()
            .filter(|j| !j.trained && !j.tiny(ctx.config))
            .map(|j| {
                f64::from((j.placed() as u32).min(ctx.config.tuning.training_tasks)) * j.spec.cpus
            })
            .sum();
        let training = fleet * ctx.config.tuning.training_share - in_training;
        let made = sched::assign(&mut jobs, &mut machines, &mut teams, training, reserve);
        let made: Vec<(TaskKey, Rc<str>)> = made
            .into_iter()
            .map(|a| {
                (
                    (Rc::from(jobs[a.job].id), a.task),
                    machines[a.machine].name.clone(),
                )
            })
            .collect();
        self.counts.passes += 1;
        self.counts.jobs += seen;
        self.counts.machines += looked_at;
        for (key, machine) in made {
            self.counts.placed += 1;
            self.place(&key, &machine);
        }
    }

    pub(super) fn place(&mut self, key: &TaskKey, machine: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let task = &mut job.tasks[key.1 as usize];
        task.attempt += 1;
        task.state = TaskState::Placed(machine.clone());
        job.waiting.remove(&key.1);
        let slot = Machine::slot(task.attempt, m.session, Room::of_task(&job.spec), false);
        let held = m.images.iter().any(|(i, _)| *i == job.image);
        let image = if held { "held" } else { "missing" };
        log::debug!(
            "placing {}/{} on {machine}, image {} {image}",
            key.0,
            key.1,
            job.image
        );
        let image = (&job.image, job.spec.image_gb);
        let cache = cache_gb(self.types.as_deref(), &m.machine_type);
        m.place(key.clone(), slot, image, cache);
        self.touch(key);
    }

    /// Images that services use.
    pub(super) fn service_images(&self) -> BTreeSet<Rc<str>> {
        let jobs = self.jobs.values();
        jobs.filter(|j| j.spec.kind == Kind::Service && j.cancelled.is_none())
            .map(|j| j.image.clone())
            .collect()
    }

    pub(super) fn fleet_cpus(&self) -> f64 {
        self.machines
            .values()
            .filter(|m| m.ready)
            .filter_map(|m| self.total(&m.machine_type))
            .map(|r| r.cpus)
            .sum()
    }

    /// Cuts every active job's virtual size by its fair share of the time.
    pub(super) fn age(&mut self, now: Micros) {
        let cpus = self.fleet_cpus();
        let active = |j: &Job| {
            j.spec.kind == Kind::Batch && j.cancelled.is_none() && !j.ending && !j.record.doubtful()
        };
        let n = self.jobs.values().filter(|j| active(j)).count();
        if n == 0 {
            return;
        }
        let cut = seconds(now.saturating_sub(self.passed_at)) * cpus / n as f64;
        for job in self.jobs.values_mut().filter(|j| active(j)) {
            job.virtual_size = (job.virtual_size - cut).max(0.0);
            job.credit += cut;
        }
    }
}
