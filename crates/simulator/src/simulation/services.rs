//! The state service with its watches, and the cloud, as nodes reach them.

use super::*;
use crate::rules::Rule;
use crate::scenario::Moment;
use dillcleat_controller::records;
use dillcleat_wire::store::{WatchBatch, WatchEvent};
use dillcleat_wire::worker::Command;

/// The jobs that an answer of the state service shows to be cancelled.
pub(super) fn cancelled(reply: &StoreResponse) -> Vec<String> {
    let of = |key: &str| {
        key.strip_prefix(records::CANCELLED_JOBS_PREFIX)
            .map(str::to_string)
    };
    match reply {
        StoreResponse::Found(row) => of(&row.key).into_iter().collect(),
        StoreResponse::RangePage(page) => page.rows.iter().filter_map(|r| of(&r.key)).collect(),
        StoreResponse::WatchBatch(changes) => {
            let put = |e: &WatchEvent| match e {
                WatchEvent::Put { key, .. } => of(key),
                WatchEvent::Delete { .. } => None,
            };
            changes.events.iter().filter_map(put).collect()
        }
        _ => Vec::new(),
    }
}

impl Simulation {
    /// Commands go out: none to start what their sender knows to be cancelled.
    pub(super) fn launches(&mut self, node: usize, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, .. } = command {
                let knows = self.nodes[node].cancelled.contains(&task.job);
                self.checker.launches(task, knows, self.now);
            }
        }
    }

    /// Ends the caller if this is its call to end at; whether the call is carried out.
    fn ends_at_call(&mut self, caller: Caller, call: &StoreRequest) -> bool {
        if matches!(call, StoreRequest::Watch { .. }) {
            return true;
        }
        self.state_calls += 1;
        let Some((_, moment)) = self
            .scenario
            .ends_at_call
            .filter(|(number, _)| *number == self.state_calls)
        else {
            return true;
        };
        let nodes = vec![caller.node];
        let down = SECOND / 5;
        let end = Fault::Crash { nodes, down };
        // An answer is on its way for some milliseconds.
        let at = match moment {
            Moment::Before | Moment::CarriedOut => self.now,
            Moment::Answered => self.now + 10 * MILLISECOND,
        };
        self.at(at, Event::Fault(Box::new(end)));
        moment != Moment::Before
    }

    pub(super) fn state_call(&mut self, caller: Caller, call: &StoreRequest) {
        if !self.ends_at_call(caller, call) {
            return;
        }
        let id = caller.id;
        let refused = self.now < self.nodes[caller.node].refused_until;
        if refused && !matches!(call, StoreRequest::Watch { .. }) {
            let reply = Ok(StoreResponse::Unavailable);
            // Refused at once, whatever else goes wrong.
            let caller = Caller {
                heard: true,
                ..caller
            };
            return self.reply(caller, Input::Store { id, reply });
        }
        let late = self.now < self.late_writes_until
            && matches!(call, StoreRequest::Transaction(_))
            && self.side.u8(..3) == 0;
        let lost = matches!(call, StoreRequest::Transaction(_))
            && !caller.waited
            && self.befalls(self.answers_lost);
        let caller = Caller {
            heard: caller.heard && !lost,
            ..caller
        };
        let slow = self.now < self.slow_state_until;
        if (late || slow) && !caller.waited {
            let wait = match late {
                true => self.side.u64(2 * SECOND..12 * SECOND),
                false => self.side.u64(300 * MILLISECOND..3 * SECOND),
            };
            let caller = Caller {
                heard: caller.heard && !late,
                waited: true,
                ..caller
            };
            let call = Box::new(call.clone());
            return self.at(self.now + wait, Event::State { caller, call });
        }
        let busy = self.now < self.too_many_until;
        let rng = self.luck(caller.aside);
        let too_many = rng.u16(..500) == 0 || (busy && rng.u8(..5) == 0);
        let answer = if too_many {
            Some(StoreResponse::RateLimited)
        } else {
            self.state.call(call, self.now)
        };
        match answer {
            Some(answer) => {
                let reply = Ok(answer);
                self.reply(caller, Input::Store { id, reply });
                self.next_leader();
            }
            None => {
                if let Some((watch, time)) = self.watches.open(caller, call) {
                    self.at(self.now + time, Event::WatchEnds { watch });
                }
            }
        }
        self.wake_watches();
    }

    pub(super) fn cloud_call(&mut self, caller: Caller, call: &CloudRequest) {
        let id = caller.id;
        let mut rng = self.rng.fork();
        let mut never = rng.u8(..20) == 0;
        let mut boot = rng.u64(SECOND..20 * SECOND);
        if self.now < self.boots.until {
            never = rng.u64(..self.boots.never) == 0;
            boot = boot * self.boots.factor + MILLISECOND;
        }
        let up = |_: &str| (!never).then_some(boot);
        let (answer, new, gone) = self.cloud.call(call, self.now, up);
        for machine in new.iter().filter(|_| !never).cloned() {
            self.at(self.now + boot, Event::Up { machine });
        }
        let known = self.workers.len();
        let gone: Vec<String> = gone
            .into_iter()
            .filter(|machine| self.workers.contains_key(machine))
            .collect();
        // A cancellation is enforced also while nobody can prove to lead.
        let now = self.leads(caller.node);
        let deposed = match caller.led.unwrap_or(now) {
            ObservedLeader::Itself => false,
            ObservedLeader::Nobody => !new.is_empty(),
            ObservedLeader::Another => new.len() + gone.len() > 0,
        };
        if deposed {
            let what = format!("node-{} led no more: {call:?}", caller.node);
            self.checker.found(Rule::Deposed, self.now, what);
        }
        if now == ObservedLeader::Another {
            self.late_hits += gone.len();
            // What one call may delete, by the settings.
            if gone.len() > 5.max(known / 50) {
                let what = format!("node-{}, late: {call:?}", caller.node);
                self.checker.found(Rule::Deposed, self.now, what);
            }
        }
        for machine in gone {
            self.machine_ends(&machine);
        }
        let reply = Ok(answer);
        self.reply(caller, Input::Cloud { id, reply });
    }

    pub(super) fn wake_watches(&mut self) {
        self.state.expire(self.now);
        if self.state.out(self.now) {
            return;
        }
        let refused = |caller: Caller| self.nodes[caller.node].refused_until;
        let may = |caller| self.now >= refused(caller);
        for (caller, changes) in self.watches.changed(&self.state, may) {
            self.watch_answer(caller, changes);
        }
    }

    pub(super) fn watch_answer(&mut self, caller: Caller, changes: WatchBatch) {
        let held = self.nodes[caller.node].state_cut;
        let Some(held) = self.held(None, Self::site(caller.node), held) else {
            return;
        };
        let (at, whole) = self.passage_of(held, caller.aside);
        if whole {
            let reply = Ok(StoreResponse::WatchBatch(changes));
            let id = caller.id;
            self.input(at, caller.node, caller.epoch, Input::Store { id, reply });
        }
    }
}
