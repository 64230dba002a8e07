//! Renting, returning, and machines that are gone.

use super::boot_estimator::boot_time;
use super::deadline_risk::Served;
use super::zone_partition::CUT_LEASES;
use super::*;

/// Whether a call that got no success may have been carried out, or may still be.
fn uncertain(reply: &Result<CloudResponse, CallError>) -> bool {
    matches!(reply, Err(CallError::NoAnswer))
}

/// The fleet's size: what was asked of the cloud, and what is known of its answers.
#[derive(Debug)]
pub(super) struct Autoscaler {
    pub cloud_queue: CloudQueue,
    pub refusals: RefusedOfferings,
    pub boot_estimator: BootEstimator,
    /// Waiting jobs that the next scale-out plan looks at.
    pub plan_depth: usize,
    /// When the fleet is looked over next.
    pub next_fleet_check_at: Micros,
    /// Machines that are proved to be gone, and since when.
    pub removed_machines: HashMap<String, Micros>,
}

impl Autoscaler {
    pub fn new(config: &Config, now: Micros) -> Autoscaler {
        Autoscaler {
            cloud_queue: CloudQueue::new(config.cloud_rps, now),
            refusals: RefusedOfferings::default(),
            boot_estimator: BootEstimator::default(),
            plan_depth: PLAN_JOBS,
            next_fleet_check_at: now,
            removed_machines: HashMap::new(),
        }
    }
}

impl Leader {
    pub(super) fn tend_fleet(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let cut_off = self.cut_off();
        self.drop_silent(ctx, &cut_off);
        if self.may(ctx, CloudAction::Delete(DeletionReason::Returned)) {
            self.return_idle(ctx);
        }
        let keep = now.saturating_sub(4 * ctx.config.cloud_list_lag + 120 * SECOND);
        self.autoscaler.removed_machines.retain(|_, at| *at > keep);
        let Some(types) = self.machine_types.types.clone() else {
            return;
        };
        // Right after the start the machines are still becoming known.
        if now < self.recovery.ready_since + 2 * SECOND
            || !self.has_recent_read(ctx)
            || !self.may(ctx, CloudAction::ScaleOut)
        {
            return;
        }
        let (booting, slow) = self.booting(&types, now);
        for m in cut_off.iter().filter_map(|m| self.machines.get(m)) {
            if self
                .partitions
                .partitioned_zones
                .insert(m.zone.clone(), now)
                .is_none()
            {
                log::info!("zone {} has fallen silent", m.zone);
            }
        }
        self.partitions
            .partitioned_zones
            .retain(|_, at| now < *at + DARK);
        // What is asked for is answered first: refusals change the plan.
        if !self.autoscaler.cloud_queue.scale_outs.is_empty() {
            return;
        }
        let mut teams = self.derived.sums.team_views(ctx.config);
        let lost = self.lost_replicas(&cut_off);
        for (place, n) in &lost {
            if let Some((_, job)) = self.jobs.at(*place) {
                teams[job.team].cpus_left += job.spec.cpus * f64::from(*n);
                teams[job.team].gpus_left += job.spec.gpus * f64::from(*n);
            }
        }
        let ahead = self.ahead(ctx.config);
        // With nothing waiting and no room wanted ahead there is nothing to plan.
        if self.derived.job_queue.is_empty() && lost.is_empty() && ahead <= 0.0 {
            return;
        }
        let mut floor = CapacityIndex::without_images();
        let up = self.derived.sums.up.iter();
        let mut there: BTreeMap<Rc<str>, u32> = up.map(|(z, n)| (z.clone(), *n as u32)).collect();
        for view in booting {
            *there.entry(view.zone.clone()).or_default() += 1;
            floor.add(view);
        }
        for view in self.freeing(ctx, &cut_off) {
            floor.add(view);
        }
        let seen: u32 = there.values().sum();
        let market = PlanInputs {
            types: &types,
            refusals: &self.autoscaler.refusals,
            dark: self.partitions.partitioned_zones.keys().cloned().collect(),
            slow,
            there,
            lent: self.derived.sums.lent_cpus(),
            now,
        };
        let reserve = self.reserve(ctx.config);
        let mut looked_at = 0;
        let depth = self.autoscaler.plan_depth;
        let jobs = self.unserved(ctx, &cut_off, &lost).take(depth);
        let jobs = jobs.inspect(|_| looked_at += 1);
        let wanted = plan_scale_out(jobs, &mut floor, &mut teams, &market, reserve, ahead);
        self.scheduling.counts.machines += u64::from(seen);
        self.scheduling.counts.planned += looked_at as u64;
        // Whoever comes after many that nothing is rented for has a turn as well.
        self.autoscaler.plan_depth = if wanted.is_empty() && looked_at == depth {
            depth * 2
        } else {
            PLAN_JOBS
        };
        for ((machine_type, zone, spot), count) in wanted {
            let request = self.autoscaler.cloud_queue.name(self.term);
            log::info!("renting {request}: {count} {machine_type} in {zone}, spot {spot}");
            self.autoscaler
                .cloud_queue
                .scale_outs
                .push_back(PendingScaleOut {
                    request: ScaleOut {
                        request,
                        machine_type,
                        zone,
                        spot,
                        count,
                    },
                    since: now,
                    uncertain: false,
                });
        }
    }

    /// Replicas on machines that are cut off, by job: a plan rents for them ahead.
    fn lost_replicas(&self, cut_off: &BTreeSet<Rc<str>>) -> BTreeMap<SlabIndex, u32> {
        let mut lost = BTreeMap::new();
        for m in cut_off.iter().filter_map(|m| self.machines.get(m)) {
            for (id, _) in m.slots.keys().filter(|(id, _)| self.is_service(id)) {
                if let Some(place) = self.jobs.place(id) {
                    *lost.entry(place).or_default() += 1;
                }
            }
        }
        lost
    }

    /// Jobs that machines may be rented for, in the order in which they compete:
    /// those that wait, and those whose replicas are `lost`. Nothing is rented
    /// for what fails wherever it runs.
    fn unserved<'a>(
        &'a self,
        ctx: &'a Context,
        cut_off: &'a BTreeSet<Rc<str>>,
        lost: &'a BTreeMap<SlabIndex, u32>,
    ) -> impl Iterator<Item = (JobView<'a>, &'a Rc<ResourceRequest>)> {
        let mut served = Served::new(&self.derived.sums);
        // Those that have lost replicas are services and so come first.
        let waiting = self.derived.job_queue.all(self.scheduling.virtual_time);
        let waiting = waiting.filter(|place| !lost.contains_key(place));
        let places = lost.keys().copied().chain(waiting);
        places.filter_map(move |place| {
            let (_, job) = self.jobs.at(place)?;
            if job.record.doubtful() {
                return None;
            }
            let mut view = self.job_view(ctx, place)?;
            if let Some(n) = lost.get(&place) {
                view.waiting += n;
                view.zones = self.zones(job, cut_off);
            }
            view.at_risk_tasks = served.late(self, ctx, job, view.waiting);
            Some((view, &job.shape))
        })
    }

    /// Machines with the room that will be free by the time that a rented one
    /// could be up: renting for what fits there would gain nothing.
    fn freeing(&self, ctx: &Context, cut_off: &BTreeSet<Rc<str>>) -> Vec<MachineView> {
        let now = ctx.now.monotonic;
        let horizon =
            (self.soonest_boot() + ctx.config.tuning.fetch_s) * ctx.config.tuning.patience;
        // A number for each job instead of a look-up for each of its tasks.
        let run_time = |job: Option<&Job>| {
            let job = job.filter(|job| job.placed() > 0);
            job.map_or(0.0, |job| self.run_time(ctx.config, job))
        };
        let runs: Vec<f64> = self.jobs.by_place().map(run_time).collect();
        let mut views = Vec::new();
        // Room behind a report that got lost is about to be there again.
        let lease = ctx.config.worker_lease;
        let there = |m: &&Machine| {
            m.accepts_tasks(now) && !m.unreachable_for(now, lease) && !cut_off.contains(&m.name)
        };
        for m in self.machines.values().filter(there) {
            let Some(total) = self.total(&m.machine_type) else {
                continue;
            };
            let mut free = m.free(total);
            for slot in m.slots.values().filter(|s| !s.service) {
                let run = runs.get(slot.job as usize).copied().unwrap_or(0.0);
                let elapsed = slot
                    .running_since
                    .map_or(0.0, |since| seconds(now.saturating_sub(since)));
                // What has run longer than thought may run on as long again.
                let left = (run - elapsed).max(elapsed * 0.2);
                if left <= horizon {
                    free.add(&slot.resources);
                }
            }
            if free.cpus > 1e-6 {
                views.push(Self::view_with(m, free));
            }
        }
        views
    }

    /// Machines that fell silent are deleted: the answer is the proof that
    /// what was on them is gone. Those of zones that are `cut` off have rules of
    /// their own.
    fn drop_silent(&mut self, ctx: &Context, cut: &BTreeSet<Rc<str>>) {
        let now = ctx.now.monotonic;
        let silence =
            (ctx.config.worker_lease * 4 / 10).max(2 * ctx.config.heartbeat_interval + SECOND);
        let up: usize = self.derived.sums.up.values().sum();
        // Many at once look like a cut or a stall that may heal before leases
        // run out; after that what was on them is gone in any case. They are
        // counted as soon as they miss a report: one by one they would be
        // deleted before they are many.
        let missing = Self::missing(ctx.config);
        let patient = self.derived.silent.len() > 2.max(up as u64 * 3 / 10);
        // Replicas behind a cut serve until their lease ends. To delete them
        // sooner once cost a third of all replicas the time that others took
        // to boot (rough, brunnmatt-books-grown).
        let mut elsewhere = self.elsewhere(cut);
        let may = self.may_answer_heartbeats(ctx)
            && self.may(ctx, CloudAction::Delete(DeletionReason::Silent));
        let doubts = self.doubts(ctx.config);
        let types = self.machine_types.types.clone();
        let types = types.as_deref().map_or(&[][..], Vec::as_slice);
        let index = &self.derived;
        let suspects = &(&index.silent | &index.booting) | &index.noticed;
        let mut probed = Vec::new();
        let mut dropped = Vec::new();
        for (place, m) in suspects
            .into_iter()
            .filter_map(|p| Some((p, self.machines.at(p)?.1)))
        {
            let quiet = now.saturating_sub(m.heard_at);
            // One report that got lost costs a worker up to 5 s. Whether the
            // machine is there shows sooner when it is asked.
            if m.ready && quiet > missing && !m.needs_command {
                probed.push(place);
            }
            let limit = if !m.up {
                let boot = boot_time(types, &m.machine_type);
                if m.expected {
                    self.autoscaler.boot_estimator.patience(m, boot)
                } else {
                    // A record or a listing only: it should report right away.
                    silence + boot
                }
            } else if cut.contains(&m.name) && m.slots.values().any(|s| s.service) {
                ctx.config.worker_lease
            } else if patient {
                ctx.config.worker_lease + ctx.config.heartbeat_interval
            } else {
                silence
            };
            // What is cut off may come back any time, and its room with it. To
            // delete 512 machines whose work had no other room to go to cost a
            // third of all portals the rest of a cut and a minute besides (zone,
            // rosterwise-nz-fleet).
            let waits = cut.contains(&m.name)
                && quiet < ctx.config.worker_lease * CUT_LEASES
                && quiet >= limit
                && !elsewhere.takes(m);
            let doubted = doubts && quiet < ctx.config.worker_lease * CUT_LEASES;
            let taken = m.interrupted_at.is_some_and(|at| now >= at + SECOND)
                && quiet > ctx.config.heartbeat_interval;
            // Whom only the leader before found silent has time to report first.
            let asked = !m.up || m.ready || now >= self.recovery.ready_since + missing;
            if may && ((quiet >= limit && asked && !waits && !doubted) || taken) {
                log::info!("{}: silent for {} s, deleting it", m.name, seconds(quiet));
                dropped.push(m.name.clone());
            }
        }
        for place in probed {
            if let Some(m) = self.machines.quiet(place) {
                m.probe = true;
                m.needs_command = true;
                self.command_dispatch.plain(m.name.clone());
            }
        }
        for name in dropped {
            self.delete_machine(&name, DeletionReason::Silent);
        }
    }

    pub(super) fn return_idle(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let idle = micros(ctx.config.tuning.idle_s);
        // What the reserve needs stays: it would be rented again at once.
        let reserve = self.ahead(ctx.config);
        let mut spare: BTreeMap<Rc<str>, f64> = BTreeMap::new();
        // Those that hold the fewest images of services first.
        let mut order: Vec<(u32, Rc<str>)> = self
            .derived
            .empty
            .iter()
            .filter_map(|place| self.machines.at(place))
            .map(|(name, m)| (self.warm(m), name.clone()))
            .collect();
        order.sort();
        let mut returned = Vec::new();
        for (_, name) in order {
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            if !m.ready || m.leaving || !m.slots.is_empty() || !m.strays.is_empty() {
                continue;
            }
            let empty = now.saturating_sub(m.empty_since);
            // A machine costs a minute at least, so it may as well wait for it.
            let minute = now >= m.known_since + 55 * SECOND;
            let tired = m.cordoned || m.interrupted_at.is_some();
            if !tired && empty >= idle && minute && !m.spot && reserve > 0.0 {
                let machine_cpus = self.total(&m.machine_type).map_or(0.0, |t| t.cpus);
                let free = spare
                    .entry(m.zone.clone())
                    .or_insert_with(|| self.derived.capacity.ordinary(&m.zone));
                if *free - machine_cpus + 1e-6 < reserve {
                    continue;
                }
                *free -= machine_cpus;
            }
            if tired || (empty >= idle && minute) {
                log::info!("{name}: idle, returning it");
                returned.push(name);
            }
        }
        for name in returned {
            self.delete_machine(&name, DeletionReason::Returned);
        }
    }

    /// A machine is gone for sure.
    pub(super) fn machine_gone(&mut self, ctx: &Context, name: &str, why: &'static str) {
        self.autoscaler
            .removed_machines
            .insert(name.to_string(), ctx.now.monotonic);
        let Some(mut m) = self.machines.remove(name) else {
            return;
        };
        log::info!("{name} is gone: {why}");
        for event in m.take_lost_tasks(why) {
            self.slot_event(ctx, name, event);
        }
        if m.recorded {
            self.writer
                .write_queue
                .push(PendingWrite::Drop(records::machine_key(name)));
        }
    }

    pub fn cloud_reply(
        &mut self,
        ctx: &mut Context,
        errand: CloudRequestKind,
        reply: Result<CloudResponse, CallError>,
    ) {
        let now = ctx.now.monotonic;
        self.autoscaler.cloud_queue.busy = false;
        match (errand, reply) {
            (CloudRequestKind::Delete, Ok(CloudResponse::Deleted)) => {
                for name in self.autoscaler.cloud_queue.deleted() {
                    self.machine_gone(ctx, &name, "deleted");
                }
            }
            (CloudRequestKind::ScaleOut, Ok(CloudResponse::ScaledOut(names))) => {
                if let Some(r) = self.autoscaler.cloud_queue.scale_outs.pop_front() {
                    self.rented(ctx, &r.request, &names);
                }
            }
            (
                CloudRequestKind::ScaleOut,
                Ok(CloudResponse::NoCapacity | CloudResponse::Malformed),
            ) => {
                if let Some(r) = self.autoscaler.cloud_queue.scale_outs.pop_front() {
                    self.refused(ctx, &r.request, 0);
                }
            }
            (CloudRequestKind::ScaleOut, other) => {
                self.autoscaler.cloud_queue.pause(now);
                self.autoscaler
                    .cloud_queue
                    .not_rented(now, uncertain(&other));
            }
            (CloudRequestKind::Delete, other) => {
                log::info!("the cloud does not delete: {other:?}");
                self.autoscaler.cloud_queue.pause(now);
                self.autoscaler.cloud_queue.not_deleted(uncertain(&other));
            }
            (CloudRequestKind::Types, Ok(CloudResponse::Types(types))) => {
                self.autoscaler.cloud_queue.types_at = now + 60 * SECOND;
                self.new_types(types);
            }
            (CloudRequestKind::List, Ok(CloudResponse::Listed(list))) => self.listed(ctx, list),
            (CloudRequestKind::Types, _) => {
                self.autoscaler.cloud_queue.types_at = now + 2 * SECOND;
                self.autoscaler.cloud_queue.pause(now);
            }
            (_, other) => {
                log::info!("the cloud does not do {errand:?}: {other:?}");
                self.autoscaler.cloud_queue.pause(now);
            }
        }
    }

    pub(super) fn new_types(&mut self, types: Vec<MachineType>) {
        // Prices move all the time; only what decides on submissions, or the
        // first answer, is worth a write.
        let shape = |ts: &[MachineType]| {
            ts.iter()
                .map(|t| (t.name.clone(), t.cpus, t.gpus, t.memory_gb, t.zones.clone()))
                .collect::<Vec<_>>()
        };
        let same = self.machine_types.types_stored
            && self
                .machine_types
                .types
                .as_ref()
                .is_some_and(|old| shape(old) == shape(&types));
        let types = Rc::new(types);
        self.machine_types.types = Some(types.clone());
        // What they hold may be other than it was.
        self.machines.mark_all();
        if !same {
            self.machine_types.types_stored = false;
            self.writer.write_queue.push(PendingWrite::Types);
        }
        self.events.push(LeaderEvent::Types(types));
    }

    pub(super) fn rented(&mut self, ctx: &Context, rent: &ScaleOut, names: &[String]) {
        let now = ctx.now.monotonic;
        log::info!(
            "rented {}: {} of {}: {}",
            rent.request,
            names.len(),
            rent.count,
            names.join(" ")
        );
        for name in names {
            if self.autoscaler.removed_machines.contains_key(name) {
                continue;
            }
            if !self.machines.contains_key(name) {
                let m = Machine::new(name, &rent.machine_type, &rent.zone, rent.spot, now);
                self.machines.insert(m.name.clone(), m);
            }
            let Some(m) = self.machines.get_mut(name) else {
                continue;
            };
            m.expected = true;
        }
        if (names.len() as u32) < rent.count {
            self.refused(ctx, rent, names.len());
        }
    }

    pub(super) fn refused(&mut self, ctx: &Context, rent: &ScaleOut, got: usize) {
        log::info!(
            "no more {} in {}, spot {}: {got} of {}",
            rent.machine_type,
            rent.zone,
            rent.spot,
            rent.count
        );
        let offer = (rent.machine_type.clone(), rent.zone.clone(), rent.spot);
        let until = ctx.now.monotonic + micros(ctx.config.tuning.refused_pause_s);
        self.autoscaler.refusals.refuse(offer, until);
        // Look for another offer at once.
        self.autoscaler.next_fleet_check_at = ctx.now.monotonic;
    }

    pub(super) fn listed(&mut self, ctx: &Context, list: MachineList) {
        let now = ctx.now.monotonic;
        let last = list.machines.last().map(|m| m.name.clone());
        for l in list.machines {
            if self.autoscaler.removed_machines.contains_key(&l.name) {
                continue;
            }
            if l.state == InstanceState::Failed {
                self.machine_gone(ctx, &l.name, "listed as failed");
                self.autoscaler
                    .cloud_queue
                    .delete(Rc::from(l.name), DeletionReason::Failed);
                continue;
            }
            if !self.machines.contains_key(&l.name) {
                log::info!("{}: a machine not known before is listed", l.name);
                let mut m = Machine::new(&l.name, &l.machine_type, &l.zone, l.spot, now);
                m.expected = l.state == InstanceState::Booting;
                self.machines.insert(m.name.clone(), m);
            }
            let Some(m) = self.machines.get_mut(&l.name) else {
                continue;
            };
            if m.machine_type.is_empty() {
                m.describe(&l.machine_type, &l.zone, l.spot);
            }
            if !m.up && l.state == InstanceState::Booting {
                // Leaders change; how long it has been booting does not. A
                // machine that never comes up is paid for until it is deleted.
                let age = micros(l.age_s).min(now);
                m.known_since = m.known_since.min(now - age);
                m.heard_at = m.heard_at.min(now - age);
            }
            if m.addr.is_none()
                && let Some(addr) = l.addr.filter(|a| !a.is_empty())
                && l.state == InstanceState::Running
            {
                m.addr = Some(addr);
                m.needs_command = true;
                self.command_dispatch.plain(m.name.clone());
            }
        }
        if list.more && last.is_some() {
            self.autoscaler.cloud_queue.list_after = last;
            self.autoscaler.cloud_queue.list_at = now;
        } else {
            self.autoscaler.cloud_queue.list_after = None;
            self.autoscaler.cloud_queue.list_at = now + 10 * SECOND;
        }
    }

    /// Jobs whose counts have changed since they were last shown.
    pub fn progress(&mut self) -> Vec<JobProgress> {
        let mut changed = Vec::new();
        let unshown = self.derived.unshown.iter();
        let some: Vec<SlabIndex> = unshown
            .take(dillcleat_peer_protocol::MAX_PROGRESS)
            .collect();
        for place in some {
            self.jobs.mark(place);
            let Some((id, job)) = self.jobs.at(place) else {
                continue;
            };
            let id = id.to_string();
            let (done, running) = (job.done, job.running.len() as u32);
            if let Some(job) = self.jobs.quiet(place) {
                job.shown = (done, running);
            }
            changed.push(JobProgress {
                job: id,
                done,
                running,
            });
        }
        changed
    }
}
