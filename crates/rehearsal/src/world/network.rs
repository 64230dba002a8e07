//! What gets across, and when.

use super::*;

impl World {
    pub(super) fn delay(&mut self) -> Micros {
        match self.rng.u8(..) {
            0..=2 => self.rng.u64(100..400) * MILLISECOND,
            _ => self.rng.u64(500..8000),
        }
    }

    /// When a message gets across, and whether its answer does.
    pub(super) fn passage(&mut self, held_until: Micros) -> (Micros, bool) {
        let delay = self.delay();
        if self.now < held_until {
            return (held_until + delay, false);
        }
        if self.now < self.flaky_until {
            match self.rng.u8(..10) {
                0 => return (self.now + self.rng.u64(SECOND..60 * SECOND), false),
                1 => return (self.now + delay, false),
                _ => {}
            }
        }
        (self.now + delay, true)
    }

    /// When a call arrives, and who made it.
    fn call(&mut self, node: usize, epoch: u32, id: CallId, held: Micros) -> (Micros, Caller) {
        let (at, heard) = self.passage(held);
        let caller = Caller {
            node,
            epoch,
            id,
            heard,
        };
        (at, caller)
    }

    /// Sends an answer, if it gets across.
    pub(super) fn reply(&mut self, caller: Caller, input: Input) {
        if caller.heard {
            let at = self.now + self.delay();
            self.input(at, caller.node, caller.epoch, input);
        }
    }

    pub(super) fn carry(&mut self, node: usize, epoch: u32, output: Output) {
        match output {
            Output::Answer { id, answer } => self.answer(node, id.0, answer),
            Output::State { id, call, timeout } => {
                let held = self.nodes[node].state_cut;
                let (at, caller) = self.call(node, epoch, id, held);
                let call = Box::new(call);
                self.at(at, Ev::State { caller, call });
                let reply = Err(CallError::NoAnswer);
                self.input(self.now + timeout, node, epoch, Input::State { id, reply });
            }
            Output::Cloud { id, call, timeout } => {
                let (at, caller) = self.call(node, epoch, id, 0);
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
                let (at, caller) = self.call(node, epoch, id, held);
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
