//! Reports of workers, and orders to them.

use super::*;

/// What of a machine a report may change, its slots aside, and something is
/// derived from.
#[derive(PartialEq, Eq)]
struct MachineSummary {
    machine_type: Rc<str>,
    zone: Rc<str>,
    spot: bool,
    up: bool,
    ready: bool,
    recorded: bool,
    noticed: bool,
    strays: bool,
}

impl MachineSummary {
    fn of(m: &Machine) -> MachineSummary {
        MachineSummary {
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            up: m.up,
            ready: m.ready,
            recorded: m.recorded,
            noticed: m.interrupted_at.is_some(),
            strays: !m.strays.is_empty(),
        }
    }
}

impl Leader {
    /// Whether reports may still be answered. An answer keeps a worker's tasks for a
    /// lease from the sending of its report. A cancellation that this leader has not read
    /// of was confirmed after its last read; for want of answers in time the leases then
    /// end what it cancels, whatever else is out of reach.
    pub(super) fn may_answer_heartbeats(&self, ctx: &Context) -> bool {
        self.last_read_within(ctx, ctx.config.blind_limit())
    }

    /// Whether the last read of the cancellations was sent so short a time ago.
    fn last_read_within(&self, ctx: &Context, time: Micros) -> bool {
        self.queue_watch
            .last_consistent_read
            .is_some_and(|at| ctx.now.monotonic < at + time)
    }

    /// Whether a cancelled task may have been on the machine for so long that its lease
    /// is to run out. Its stop may not arrive, its launch may be held up on the way, its
    /// deletion may have no proof of the lead or find the cloud out: time alone ends it.
    fn lease_must_expire(&self, ctx: &Context, m: &Machine) -> bool {
        let held = m.slots.iter().filter(|(_, s)| s.cancelled && s.stored);
        let jobs = held.filter_map(|((id, _), _)| self.jobs.get(id));
        let since = jobs.filter_map(|job| job.cancelled);
        let since = since.chain(self.orphan_cancelled_on(m)).min();
        since.is_some_and(|at| ctx.now.monotonic >= at + ctx.config.blind_limit())
    }

    pub fn heartbeat(&mut self, ctx: &mut Context, report: &Heartbeat) -> Answer {
        if report.fencing_token > self.term {
            self.events.push(LeaderEvent::Higher(report.fencing_token));
            return Answer::refusal(421, "a later term has begun");
        }
        if !self.may_answer_heartbeats(ctx) {
            return Answer::retry_later("the state is out of reach");
        }
        let mut answer = HeartbeatReply {
            fencing_token: self.term,
            commands: Vec::new(),
        };
        // A report of a machine that is gone was held up on its way.
        if self.recovery.stage == RecoveryStage::Ready
            && !self
                .autoscaler
                .removed_machines
                .contains_key(&report.machine)
        {
            let last = self.machines.get(report.machine.as_str());
            let last = last.filter(|m| m.up).map(|m| (m.incarnation, m.sequence));
            // A copy of the latest report has been answered: nobody waits for this answer,
            // and what it launched would wait for the next report.
            let copy = last == Some((report.incarnation, report.sequence));
            self.apply_heartbeat(ctx, report, HeartbeatSource::Checkin);
            if let Some(m) = self.machines.get(report.machine.as_str()) {
                if self.lease_must_expire(ctx, m) {
                    return Answer::retry_later("a cancelled task is not seen gone");
                }
                let current = (m.incarnation, m.sequence) == (report.incarnation, report.sequence);
                if m.ready && current && !copy {
                    answer.commands = self.commands(ctx, m);
                }
            }
            let place = self.machines.place(&report.machine);
            if let Some(m) = place.and_then(|place| self.machines.quiet(place)) {
                m.record_reply_launches(&answer.commands);
                if !answer.commands.is_empty() {
                    m.needs_command = false;
                }
            }
        }
        Answer::body(200, &answer)
    }

    /// Sure sight of the state, so that starting tasks is right.
    pub(super) fn has_recent_read(&self, ctx: &Context) -> bool {
        self.last_read_within(ctx, SIGHT)
    }

    pub(super) fn apply_heartbeat(
        &mut self,
        ctx: &Context,
        r: &Heartbeat,
        source: HeartbeatSource,
    ) {
        let now = ctx.now.monotonic;
        if !self.machines.contains_key(r.machine.as_str()) {
            log::info!("{}: a machine not known before reports", r.machine);
            let m = Machine::new(&r.machine, "", "", false, now);
            self.machines.insert(m.name.clone(), m);
        }
        let Some(place) = self.machines.place(&r.machine) else {
            return;
        };
        // Most reports of a large fleet say that nothing has changed.
        let before = self.machines.at(place).map(|(_, m)| MachineSummary::of(m));
        let Some(m) = self.machines.quiet(place) else {
            return;
        };
        m.describe(&r.machine_type, &r.zone, r.spot);
        if !self.partitions.partitioned_zones.is_empty()
            && self.partitions.partitioned_zones.remove(&m.zone).is_some()
        {
            log::info!("zone {} is heard again", m.zone);
        }
        if !m.up {
            log::info!(
                "{} is up in {} after {} s",
                m.name,
                m.zone,
                seconds(now - m.known_since)
            );
            m.empty_since = now;
            if m.expected {
                self.autoscaler.boot_estimator.up(m, now);
            }
        }
        let was_ready = m.ready;
        let new = r.incarnation > m.incarnation;
        let newer = !m.up || (r.incarnation, r.sequence) > (m.incarnation, m.sequence);
        if m.interrupted_at.is_none() && r.interruption_notice_s.is_some() {
            log::info!(
                "{} is to be taken back in {:?} s",
                m.name,
                r.interruption_notice_s
            );
        }
        let events = m.apply_heartbeat(r, source, self.term, now);
        let mut in_touch = false;
        if newer && source == HeartbeatSource::Checkin {
            let missing = Self::missing(ctx.config);
            let heard_by = ctx.config.worker_lease + ctx.config.heartbeat_interval + SECOND;
            in_touch = m.heartbeat_received(now, new, heard_by, missing);
            if m.probe {
                self.command_dispatch.plain(m.name.clone());
            }
        }
        if !m.recorded {
            m.recorded = true;
            self.writer
                .write_queue
                .push(PendingWrite::Machine(r.machine.clone()));
        }
        if !was_ready {
            // A new machine, or one that has yet to see this term's seal.
            m.needs_command = true;
            m.next_command_at = 0;
            self.command_dispatch.plain(m.name.clone());
            self.scheduling.schedule_at = now;
        }
        // Heard before its deletion went out.
        let stays =
            m.leaving && m.heard_at == now && self.autoscaler.cloud_queue.withdraw(&r.machine);
        if stays {
            log::info!("{}: heard again, not deleting it", m.name);
            m.leaving = false;
        }
        let after = Some(MachineSummary::of(m));
        let starts = |e: &TaskEvent| matches!(e, TaskEvent::Running(_));
        if stays
            || in_touch
            || before != after
            || !events.iter().all(starts)
            || self.derived.silent.contains(place)
        {
            self.machines.mark(place);
        }
        for event in events {
            self.slot_event(ctx, &r.machine, event);
        }
        if r.interruption_notice_s.is_some() {
            self.leave(ctx, &r.machine);
        }
    }

    pub(super) fn is_end_stored(&self, task: &TaskName, attempt: u64) -> bool {
        let known = self.jobs.place(&task.job).and_then(|p| self.jobs.at(p));
        let Some((id, job)) = known else {
            // Its end is stored, or it never was a job.
            return !self.stays(task);
        };
        let Some(t) = job.tasks.get(task.index as usize) else {
            return true;
        };
        if matches!(t.state, TaskPlacement::Placed { .. }) && t.attempt == attempt {
            return false;
        }
        if job.cancelled.is_some() {
            return true;
        }
        !job.ending
            && self
                .writer
                .write_queue
                .settled(id, job.spans.of(task.index))
    }

    /// What the machine is told. Work that is to run elsewhere is stopped only by who
    /// can prove that it leads, and without a read of a moment ago nothing is launched or
    /// reaped. The stop of what is cancelled needs neither: no cancellation is taken back,
    /// and this answer renews the lease of what it doesn't stop.
    pub(super) fn commands(&self, ctx: &Context, m: &Machine) -> Vec<Command> {
        if !self.has_recent_read(ctx) {
            return m.cancelled().chain(self.orphan_stops(m)).collect();
        }
        let lasting = self
            .leadership_proof
            .is_recent(ctx.config, ctx.now.monotonic);
        let mut commands = m.commands(lasting, |task, attempt| self.is_end_stored(task, attempt));
        commands.retain(|c| !matches!(c, Command::Stop { task, .. } if self.stays(task)));
        commands
    }
}
