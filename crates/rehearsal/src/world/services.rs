//! The state service with its watches, and the cloud, as nodes reach them.

use super::*;
use crate::rules::Rule;
use dillcleat_wire::state::Changes;

impl World {
    pub(super) fn state_call(&mut self, caller: Caller, call: &StateCall) {
        let id = caller.id;
        let refused = self.now < self.nodes[caller.node].refused_until;
        if refused && !matches!(call, StateCall::Watch { .. }) {
            let reply = Ok(StateReply::Unavailable);
            // Refused at once, whatever else goes wrong.
            let caller = Caller {
                heard: true,
                ..caller
            };
            return self.reply(caller, Input::State { id, reply });
        }
        let busy = self.now < self.too_many_until;
        let rng = self.luck(caller.aside);
        let too_many = rng.u16(..500) == 0 || (busy && rng.u8(..5) == 0);
        let answer = if too_many {
            Some(StateReply::TooMany)
        } else {
            self.state.call(call, self.now)
        };
        match answer {
            Some(answer) => {
                let reply = Ok(answer);
                self.reply(caller, Input::State { id, reply });
            }
            None => {
                if let Some((watch, time)) = self.watches.open(caller, call) {
                    self.at(self.now + time, Ev::WatchEnds { watch });
                }
            }
        }
        self.wake_watches();
    }

    pub(super) fn cloud_call(&mut self, caller: Caller, call: &CloudCall) {
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
            self.at(self.now + boot, Ev::Up { machine });
        }
        let known = self.workers.len();
        let gone: Vec<String> = gone
            .into_iter()
            .filter(|machine| self.workers.contains_key(machine))
            .collect();
        // A cancellation is enforced also while nobody can prove to lead.
        let now = self.leads(caller.node);
        let deposed = match caller.led.unwrap_or(now) {
            Led::Itself => false,
            Led::Nobody => !new.is_empty(),
            Led::Another => new.len() + gone.len() > 0,
        };
        if deposed {
            let what = format!("node-{} led no more: {call:?}", caller.node);
            self.checker.found(Rule::Deposed, self.now, what);
        }
        if now == Led::Another {
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

    pub(super) fn watch_answer(&mut self, caller: Caller, changes: Changes) {
        let held = self.nodes[caller.node].state_cut;
        let Some(held) = self.held(None, Self::site(caller.node), held) else {
            return;
        };
        let (at, whole) = self.passage_of(held, caller.aside);
        if whole {
            let reply = Ok(StateReply::Changes(changes));
            let id = caller.id;
            self.input(at, caller.node, caller.epoch, Input::State { id, reply });
        }
    }
}
