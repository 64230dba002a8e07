//! What gets across, and when.

use super::*;
use dillcleat_kube::Door;
use dillcleat_wire::state::Change;

/// Whether a call hands in a job: as with the users' protocol.
fn submits(call: &StateCall) -> bool {
    let open = |c: &Change| matches!(c, Change::Put { key, .. } if key.starts_with(dillcleat_core::store::OPEN));
    matches!(call, StateCall::Txn(txn) if txn.then.iter().any(open))
}

impl World {
    pub(super) fn delay(&mut self) -> Micros {
        self.delay_of(false)
    }

    pub(super) fn luck(&mut self, aside: bool) -> &mut Rng {
        if aside { &mut self.side } else { &mut self.rng }
    }

    pub(super) fn delay_of(&mut self, aside: bool) -> Micros {
        let rng = self.luck(aside);
        match rng.u8(..) {
            0..=2 => rng.u64(100..400) * MILLISECOND,
            _ => rng.u64(500..8000),
        }
    }

    /// When a message gets across, and whether its answer does.
    pub(super) fn passage(&mut self, held_until: Micros) -> (Micros, bool) {
        self.passage_of(held_until, false)
    }

    pub(super) fn passage_of(&mut self, held_until: Micros, aside: bool) -> (Micros, bool) {
        let delay = self.delay_of(aside);
        if self.now < held_until {
            return (held_until + delay, false);
        }
        if self.now < self.flaky_until {
            let now = self.now;
            let rng = self.luck(aside);
            match rng.u8(..10) {
                0 => return (now + rng.u64(SECOND..60 * SECOND), false),
                1 => return (self.now + delay, false),
                _ => {}
            }
        }
        (self.now + delay, true)
    }

    /// When a call arrives, and who made it.
    fn call(
        &mut self,
        node: usize,
        epoch: u32,
        id: CallId,
        held: Micros,
        aside: bool,
    ) -> (Micros, Caller) {
        let (at, heard) = self.passage_of(held, aside);
        let caller = Caller {
            node,
            epoch,
            id,
            heard,
            aside,
        };
        (at, caller)
    }

    /// Sends an answer, if it gets across.
    pub(super) fn reply(&mut self, caller: Caller, input: Input) {
        if caller.heard {
            let at = self.now + self.delay_of(caller.aside);
            self.input(at, caller.node, caller.epoch, input);
        }
    }

    pub(super) fn carry(&mut self, node: usize, epoch: u32, out: Out) {
        match out {
            Out::Core(output) => self.carry_core(node, epoch, output),
            Out::Reply { id, reply } => match self.asked.remove(&id.0) {
                Some(Asker::Object { job, what }) => {
                    self.object_answer(job, what, reply.status, &reply.body);
                }
                // The watch was refused.
                Some(Asker::Watcher) => self.watch_refused(reply.status),
                _ => {}
            },
            Out::Stream { .. } => {}
            Out::Chunk { id, bytes } => self.watched(id.0, &bytes),
            Out::End { id } => self.watch_ends(id.0),
        }
    }

    fn carry_core(&mut self, node: usize, epoch: u32, output: Output) {
        match output {
            Output::Answer { id, answer } => self.answer(node, id.0, answer),
            Output::State { id, call, timeout } => {
                let held = self.nodes[node].state_cut;
                let aside = Door::owns(id) && !submits(&call);
                let (at, caller) = self.call(node, epoch, id, held, aside);
                let call = Box::new(call);
                self.at(at, Ev::State { caller, call });
                let reply = Err(CallError::NoAnswer);
                self.input(self.now + timeout, node, epoch, Input::State { id, reply });
            }
            Output::Cloud { id, call, timeout } => {
                let (at, caller) = self.call(node, epoch, id, 0, false);
                let call = Box::new(call);
                self.at(at, Ev::Cloud { caller, call });
                let reply = Err(CallError::NoAnswer);
                self.input(self.now + timeout, node, epoch, Input::Cloud { id, reply });
            }
            Output::Orders {
                id,
                addr,
                orders,
                timeout,
            } => {
                let machine = addr.trim_end_matches(":9000");
                let cut = self.zone_of(machine).map_or(0, |z| self.zone_cut[z]);
                let held = self.nodes[node].workers_cut.max(cut);
                let (at, caller) = self.call(node, epoch, id, held, false);
                let orders = Box::new(orders);
                let ev = Ev::Orders {
                    caller,
                    addr,
                    orders,
                };
                self.at(at, ev);
                let reply = Err(CallError::NoAnswer);
                self.input(self.now + timeout, node, epoch, Input::Orders { id, reply });
            }
            Output::Told(_) => {}
            Output::Mesh { message } => {
                for to in (0..self.nodes.len()).filter(|to| *to != node) {
                    let (at, whole) = self.passage(0);
                    let cut = self.nodes[node].mesh_cut.max(self.nodes[to].mesh_cut);
                    let frame = message.encode();
                    if whole
                        && self.now >= cut
                        && let Ok(message) = Message::decode(&frame[4..])
                    {
                        let from = format!("node-{node}");
                        let epoch = self.nodes[to].epoch;
                        self.input(at, to, epoch, Input::Mesh { from, message });
                    }
                }
            }
        }
    }

    pub(super) fn zone_of(&self, machine: &str) -> Option<usize> {
        let zone = &self.workers.get(machine)?.place.zone;
        ZONES.iter().position(|z| z == zone)
    }
}
