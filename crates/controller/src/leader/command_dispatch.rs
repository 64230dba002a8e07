//! Which machines are sent orders, and when.
//!
//! Orders that carry commands go first, then those that only raise the seal or
//! ask whether a machine is there. No more than a bound are under way at once: a
//! new leader of ten thousand machines sent ten thousand requests in one turn,
//! more than it has sockets, and their answers stood before the reports on which
//! leases live.

use super::*;

#[derive(Debug)]
pub(super) struct CommandDispatch {
    urgent: BTreeSet<Rc<str>>,
    /// No command waits there.
    plain: BTreeSet<Rc<str>>,
    /// Not before this time; whether it is urgent then.
    later: BTreeSet<(Micros, Rc<str>, bool)>,
    /// Orders under way, and how many may be.
    open: usize,
    limit: usize,
}

impl CommandDispatch {
    pub fn new(limit: usize) -> CommandDispatch {
        CommandDispatch {
            urgent: BTreeSet::new(),
            plain: BTreeSet::new(),
            later: BTreeSet::new(),
            open: 0,
            limit,
        }
    }

    /// Commands wait for the machine.
    pub fn urgent(&mut self, machine: Rc<str>) {
        self.plain.remove(&machine);
        self.urgent.insert(machine);
    }

    /// The machine is to see the seal, or to show that it is there.
    pub fn plain(&mut self, machine: Rc<str>) {
        if !self.urgent.contains(&machine) {
            self.plain.insert(machine);
        }
    }

    /// The same as `urgent` or `plain`, at a later time.
    pub fn later(&mut self, at: Micros, machine: Rc<str>, urgent: bool) {
        self.later.insert((at, machine, urgent));
    }

    /// The next machine to send orders to. Half of what may be under way is left
    /// to those with commands.
    fn next(&mut self, now: Micros) -> Option<Rc<str>> {
        while self.later.first().is_some_and(|(at, _, _)| *at <= now) {
            match self.later.pop_first() {
                Some((_, machine, true)) => self.urgent(machine),
                Some((_, machine, false)) => self.plain(machine),
                None => {}
            }
        }
        if self.open < self.limit
            && let Some(machine) = self.urgent.pop_first()
        {
            return Some(machine);
        }
        if self.open < self.limit.div_ceil(2) {
            return self.plain.pop_first();
        }
        None
    }

    fn sent(&mut self) {
        self.open += 1;
    }

    pub fn ended(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}

impl Leader {
    pub(super) fn send_commands(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if !self.may_answer_heartbeats(ctx) {
            return;
        }
        while let Some(name) = self.command_dispatch.next(now) {
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            // One at a time: when the one under way ends, it is looked at again.
            if !m.needs_command || m.commands_in_flight.is_some() || m.addr.is_none() {
                continue;
            }
            if now < m.next_command_at {
                self.command_dispatch.later(m.next_command_at, name, true);
                continue;
            }
            let commands = if m.ready {
                self.commands(ctx, m)
            } else {
                Vec::new()
            };
            let waiter = self.continuation(Step::CommandsInFlight {
                machine: name.to_string(),
            });
            // What a push changes is derived from by nothing.
            let place = self.machines.index_of(&name);
            let Some(m) = place.and_then(|place| self.machines.get_mut_unmarked(place)) else {
                continue;
            };
            m.needs_command = false;
            let probe = std::mem::take(&mut m.probe);
            if m.ready && commands.is_empty() && !probe {
                continue;
            }
            let orders = CommandBatch {
                fencing_token: self.term,
                incarnation: m.incarnation,
                commands,
            };
            let addr = m.addr.clone().unwrap_or_default();
            let sent = orders.commands.clone();
            let id = ctx.send_commands(addr, orders, waiter);
            m.commands_sent(id, &sent);
            self.command_dispatch.sent();
        }
    }

    pub fn commands_reply(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        machine: &str,
        reply: Result<(u16, Vec<u8>), CallError>,
    ) {
        let now = ctx.now.monotonic;
        self.command_dispatch.ended();
        let report = match &reply {
            Ok((200 | 409, body)) => match dillcleat_wire::decode::<Heartbeat>(body) {
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
        m.commands_finished(id, unanswered);
        // One that does not answer does not take the turns of those that do.
        let answers = report.is_some();
        if answers {
            m.unresponsive_since = None;
        } else {
            m.unresponsive_since.get_or_insert(now);
        }
        match report {
            Some(r) if r.fencing_token > self.term => {
                self.events.push(LeaderEvent::HigherTerm(r.fencing_token))
            }
            Some(r) => {
                let was_ready = m.ready;
                self.apply_heartbeat(ctx, &r, HeartbeatSource::Orders);
                if let Some(m) = self.machines.get_mut(machine)
                    && !m.ready
                    && !was_ready
                {
                    // Another session than thought: once more with the right one.
                    m.needs_command = true;
                    m.next_command_at = now + RETRY_INTERVAL;
                }
            }
            None => {
                m.needs_command = true;
                m.next_command_at = now + SECOND;
            }
        }
        // Also what came to be wanted while this was under way.
        if let Some(m) = self.machines.get(machine).filter(|m| m.needs_command) {
            let at = m.next_command_at.max(now);
            self.command_dispatch.later(at, m.name.clone(), answers);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// With every machine to be told of a new leader, launches and stops do not
    /// stand behind, and what does not answer comes again later.
    #[test]
    fn commands_go_first_and_half_of_the_turns_are_theirs() {
        let mut pushes = CommandDispatch::new(4);
        for i in 0..9 {
            pushes.plain(Rc::from(format!("p{i}")));
        }
        pushes.urgent("p7".into());
        pushes.later(SECOND, "late".into(), true);
        let mut sent = Vec::new();
        let mut send = |pushes: &mut CommandDispatch, now| {
            while let Some(machine) = pushes.next(now) {
                pushes.sent();
                sent.push(machine.to_string());
            }
            std::mem::take(&mut sent)
        };
        assert_eq!(send(&mut pushes, 0), ["p7", "p0"]);
        for name in ["u0", "u1", "u2"] {
            pushes.urgent(name.into());
        }
        assert_eq!(send(&mut pushes, 0), ["u0", "u1"], "four are under way");
        pushes.ended();
        assert_eq!(
            send(&mut pushes, SECOND),
            ["late"],
            "by name, once it is time"
        );
        pushes.ended();
        assert_eq!(send(&mut pushes, SECOND), ["u2"]);
        for _ in 0..4 {
            pushes.ended();
        }
        assert_eq!(send(&mut pushes, SECOND), ["p1", "p2"]);
    }
}
