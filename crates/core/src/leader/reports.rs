//! Reports of workers, and orders to them.

use super::*;

/// What of a machine a report may change, its slots aside, and something is
/// derived from.
#[derive(PartialEq, Eq)]
struct Standing {
    machine_type: Rc<str>,
    zone: Rc<str>,
    spot: bool,
    up: bool,
    ready: bool,
    recorded: bool,
    noticed: bool,
    strays: bool,
}

impl Standing {
    fn of(m: &Machine) -> Standing {
        Standing {
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            up: m.up,
            ready: m.ready,
            recorded: m.recorded,
            noticed: m.gone_by.is_some(),
            strays: !m.strays.is_empty(),
        }
    }
}

impl Leader {
    /// Whether reports may still be answered: a cancellation accepted by
    /// another node must reach the workers in time, be it through their leases.
    pub(super) fn entitled(&self, ctx: &Ctx) -> bool {
        ctx.now.steady.saturating_sub(self.sighted) < ctx.config.blind_limit()
    }

    pub fn checkin(&mut self, ctx: &mut Ctx, report: &Report) -> Answer {
        if report.token > self.term {
            self.notes.push(Note::Higher(report.token));
            return Answer::refusal(421, "a later term has begun");
        }
        if !self.entitled(ctx) {
            return Answer::later("the state is out of reach");
        }
        let mut answer = ReportAnswer {
            token: self.term,
            commands: Vec::new(),
        };
        // A report of a machine that is gone was held up on its way.
        if self.stage == Stage::Ready && !self.gone.contains_key(&report.machine) {
            self.take_report(ctx, report, Source::Checkin);
            if self.fresh(ctx)
                && let Some(m) = self.machines.get(report.machine.as_str())
            {
                let current = (m.session, m.seq) == (report.session, report.seq);
                if m.ready && current {
                    answer.commands = self.commands(ctx, m);
                }
            }
            let place = self.machines.place(&report.machine);
            if let Some(m) = place.and_then(|place| self.machines.quiet(place)) {
                m.answered_with(&answer.commands);
                if !answer.commands.is_empty() {
                    m.wants_push = false;
                }
            }
        }
        Answer::body(200, &answer)
    }

    /// Sure sight of the state, so that starting tasks is right.
    pub(super) fn fresh(&self, ctx: &Ctx) -> bool {
        ctx.now.steady.saturating_sub(self.sighted) < SIGHT
    }

    pub(super) fn take_report(&mut self, ctx: &Ctx, r: &Report, source: Source) {
        let now = ctx.now.steady;
        if !self.machines.contains_key(r.machine.as_str()) {
            log::info!("{}: a machine not known before reports", r.machine);
            let m = Machine::new(&r.machine, "", "", false, now);
            self.machines.insert(m.name.clone(), m);
        }
        let Some(place) = self.machines.place(&r.machine) else {
            return;
        };
        // Most reports of a large fleet say that nothing has changed.
        let before = self.machines.at(place).map(|(_, m)| Standing::of(m));
        let Some(m) = self.machines.quiet(place) else {
            return;
        };
        m.describe(&r.machine_type, &r.zone, r.spot);
        if !self.dark.is_empty() && self.dark.remove(&m.zone).is_some() {
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
                self.boots.up(m, now);
            }
        }
        let was_ready = m.ready;
        if m.gone_by.is_none() && r.notice_s.is_some() {
            log::info!("{} is to be taken back in {:?} s", m.name, r.notice_s);
        }
        let events = m.report(r, source, self.term, now);
        if !m.recorded {
            m.recorded = true;
            self.ledger.push(Item::Machine(r.machine.clone()));
        }
        if !was_ready {
            // A new machine, or one that has yet to see this term's seal.
            m.wants_push = true;
            m.push_after = 0;
            self.pushes.plain(m.name.clone());
            self.pass_at = now;
        }
        // Heard before its deletion went out.
        let stays = m.leaving && m.heard_at == now && self.desk.withdraw(&r.machine);
        if stays {
            log::info!("{}: heard again, not deleting it", m.name);
            m.leaving = false;
        }
        let after = Some(Standing::of(m));
        let starts = |e: &SlotEvent| matches!(e, SlotEvent::Running(_));
        if stays
            || before != after
            || !events.iter().all(starts)
            || self.index.silent.contains(place)
        {
            self.machines.mark(place);
        }
        for event in events {
            self.slot_event(ctx, &r.machine, event);
        }
        if r.notice_s.is_some() {
            self.leave(ctx, &r.machine);
        }
    }

    pub(super) fn settled(&self, task: &TaskName, attempt: u64) -> bool {
        let known = self.jobs.place(&task.job).and_then(|p| self.jobs.at(p));
        let Some((id, job)) = known else {
            // Its end is stored, or it never was a job.
            return true;
        };
        let Some(t) = job.tasks.get(task.index as usize) else {
            return true;
        };
        if matches!(t.state, TaskState::Placed { .. }) && t.attempt == attempt {
            return false;
        }
        if job.cancelled.is_some() {
            return true;
        }
        !job.ending && self.ledger.settled(id, job.spans.of(task.index))
    }

    /// What the machine is told. Work that is to run elsewhere is stopped only by who
    /// can prove that it leads.
    pub(super) fn commands(&self, ctx: &Ctx, m: &Machine) -> Vec<dillcleat_wire::worker::Command> {
        let lasting = self.footing.proved(ctx.config, ctx.now.steady);
        m.commands(lasting, |task, attempt| self.settled(task, attempt))
    }
}
