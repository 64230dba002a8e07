//! The state service and its watches, as nodes reach them.

use super::*;

impl World {
    pub(super) fn state_call(
        &mut self,
        node: usize,
        epoch: u32,
        id: CallId,
        call: &StateCall,
        reply: bool,
    ) {
        if self.now < self.nodes[node].refused_until && !matches!(call, StateCall::Watch { .. }) {
            let at = self.now + self.delay();
            let reply = Ok(StateReply::Unavailable);
            return self.input(at, node, epoch, Input::State { id, reply });
        }
        let too_many =
            self.rng.u16(..500) == 0 || (self.now < self.too_many_until && self.rng.u8(..5) == 0);
        let answer = if too_many {
            Some(StateReply::TooMany)
        } else {
            self.state.call(call, self.now)
        };
        match answer {
            Some(answer) => {
                if reply {
                    let at = self.now + self.delay();
                    self.input(
                        at,
                        node,
                        epoch,
                        Input::State {
                            id,
                            reply: Ok(answer),
                        },
                    );
                }
            }
            None => {
                if let StateCall::Watch {
                    prefix,
                    after,
                    hold_ms,
                } = call
                {
                    self.next += 1;
                    let watch = Watch {
                        node,
                        epoch,
                        id,
                        prefix: prefix.clone(),
                        after: *after,
                    };
                    self.watches.insert(self.next, watch);
                    let end = Ev::WatchEnds { watch: self.next };
                    self.at(self.now + hold_ms * MILLISECOND, end);
                }
            }
        }
        self.wake_watches();
    }

    pub(super) fn wake_watches(&mut self) {
        self.state.expire(self.now);
        if self.state.out(self.now) {
            return;
        }
        let due: Vec<u64> = self
            .watches
            .iter()
            .filter(|(_, w)| self.now >= self.nodes[w.node].refused_until)
            .filter(|(_, w)| !self.state.changes(&w.prefix, w.after).events.is_empty())
            .map(|(k, _)| *k)
            .collect();
        for watch in due {
            if let Some(w) = self.watches.get(&watch) {
                let changes = self.state.changes(&w.prefix, w.after);
                self.watch_answer(watch, changes);
            }
        }
    }

    pub(super) fn watch_answer(&mut self, watch: u64, changes: dillcleat_wire::state::Changes) {
        if let Some(w) = self.watches.remove(&watch) {
            let (at, whole) = self.passage(self.nodes[w.node].state_cut);
            if whole {
                let reply = Ok(StateReply::Changes(changes));
                self.input(at, w.node, w.epoch, Input::State { id: w.id, reply });
            }
        }
    }
}
