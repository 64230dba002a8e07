//! Reports of workers, and orders to them.

use super::*;

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
                    answer.commands = self.commands(m);
                }
            }
            if let Some(m) = self.machines.get_mut(report.machine.as_str()) {
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
        ctx.now.steady.saturating_sub(self.sighted) < WATCH_MS * MILLISECOND + 2 * SECOND
    }

    pub(super) fn take_report(&mut self, ctx: &Ctx, r: &Report, source: Source) {
        let now = ctx.now.steady;
        if !self.machines.contains_key(r.machine.as_str()) {
            log::info!("{}: a machine not known before reports", r.machine);
            let m = Machine::new(&r.machine, "", "", false, now);
            self.machines.insert(m.name.clone(), m);
        }
        let Some(m) = self.machines.get_mut(r.machine.as_str()) else {
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
            self.pushes.insert(m.name.clone());
            self.pass_at = now;
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
        if matches!(t.state, TaskState::Placed(_)) && t.attempt == attempt {
            return false;
        }
        if job.cancelled.is_some() {
            return true;
        }
        !job.ending && self.ledger.settled(id, task.index / job.chunk_tasks)
    }

    pub(super) fn commands(&self, m: &Machine) -> Vec<dillcleat_wire::worker::Command> {
        m.commands(|task, attempt| self.settled(task, attempt))
    }

    pub(super) fn push_orders(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.steady;
        if !self.entitled(ctx) {
            return;
        }
        let mut due: Vec<Rc<str>> = Vec::new();
        self.pushes.retain(|name| {
            let Some(m) = self.machines.get(name).filter(|m| m.wants_push) else {
                return false;
            };
            let ready = m.push.is_none() && m.push_after <= now && m.addr.is_some();
            if ready {
                due.push(name.clone());
            }
            !ready
        });
        for name in due {
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            let commands = if m.ready && self.fresh(ctx) {
                self.commands(m)
            } else {
                Vec::new()
            };
            let waiter = self.waiter(Step::Push {
                machine: name.to_string(),
            });
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            m.wants_push = false;
            let probe = std::mem::take(&mut m.probe);
            if m.ready && commands.is_empty() && !probe {
                continue;
            }
            let orders = Orders {
                token: self.term,
                session: m.session,
                commands,
            };
            let addr = m.addr.clone().unwrap_or_default();
            let sent = orders.commands.clone();
            let id = ctx.orders(addr, orders, waiter);
            m.pushed(id, &sent);
        }
    }

    pub fn orders_reply(
        &mut self,
        ctx: &mut Ctx,
        id: CallId,
        machine: &str,
        reply: Result<(u16, Vec<u8>), CallError>,
    ) {
        let now = ctx.now.steady;
        let report = match &reply {
            Ok((200 | 409, body)) => match dillcleat_wire::decode::<Report>(body) {
                Ok(r) if r.machine == machine => Some(r),
                Ok(_) => None,
                Err(e) => {
                    log::error!("{machine}: its answer is no report: {e}");
                    None
                }
            },
            _ => None,
        };
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        // Nothing arrives of what was not sent, and nothing was done on a
        // refusal. All else may be carried out at any time.
        let unanswered = match &reply {
            Err(CallError::NotSent) | Ok((409 | 400, _)) => false,
            Ok((200, _)) => report.is_none(),
            _ => true,
        };
        m.push_ended(id, unanswered);
        match report {
            Some(r) if r.token > self.term => self.notes.push(Note::Higher(r.token)),
            Some(r) => {
                let was_ready = m.ready;
                self.take_report(ctx, &r, Source::Orders);
                if let Some(m) = self.machines.get_mut(machine)
                    && !m.ready
                    && !was_ready
                {
                    // Another session than thought: once more with the right one.
                    m.wants_push = true;
                    m.push_after = now + RETRY;
                    self.pushes.insert(m.name.clone());
                }
            }
            None => {
                m.wants_push = true;
                m.push_after = now + SECOND;
                self.pushes.insert(m.name.clone());
            }
        }
    }
}
