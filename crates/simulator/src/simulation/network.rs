//! What gets across, and when.

use super::*;
use dillcleat_controller::records::LeaderRecord;
use dillcleat_kube::ApiServer;
use dillcleat_wire::store::Mutation;

/// Whether a call hands in a job: as with the users' protocol.
fn submits(call: &StoreRequest) -> bool {
    let open = |c: &Mutation| matches!(c, Mutation::Put { key, .. } if key.starts_with(dillcleat_controller::records::OPEN_JOBS_PREFIX));
    matches!(call, StoreRequest::Transaction(txn) if txn.then.iter().any(open))
}

/// How a message gets from one place to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    Open,
    /// Not before this time.
    Held(Micros),
    Lost,
}

impl Simulation {
    /// The zone of a node.
    pub(super) fn site(node: usize) -> Option<usize> {
        Some(node % ZONES.len())
    }

    /// The way between two zones; none is the region, with the state service, the
    /// cloud and users.
    pub(super) fn way(&self, from: Option<usize>, to: Option<usize>) -> Way {
        if from == to {
            return Way::Open;
        }
        let mut way = Way::Open;
        for (zone, leaves) in [(from, true), (to, false)] {
            let Some(site) = zone.map(|z| self.site_cut[z]) else {
                continue;
            };
            let passes = match site.cut {
                Cut::Held | Cut::Lost => false,
                Cut::Deaf => leaves,
                Cut::Mute => !leaves,
            };
            if self.now >= site.until || passes {
                continue;
            }
            way = match way {
                _ if site.cut == Cut::Lost => Way::Lost,
                Way::Open => Way::Held(site.until),
                Way::Held(until) => Way::Held(until.max(site.until)),
                Way::Lost => Way::Lost,
            };
        }
        way
    }

    /// `at`, or later if a message between the two is held back; None if it is lost.
    pub(super) fn held(
        &self,
        from: Option<usize>,
        to: Option<usize>,
        at: Micros,
    ) -> Option<Micros> {
        match self.way(from, to) {
            Way::Open => Some(at),
            Way::Held(until) => Some(at.max(until)),
            Way::Lost => None,
        }
    }

    /// Who leads, by the state service.
    pub(super) fn leads(&self, node: usize) -> ObservedLeader {
        match self
            .state
            .read::<LeaderRecord>(dillcleat_controller::records::LEADER_KEY)
        {
            Some((lead, _)) if lead.member == format!("node-{node}") => ObservedLeader::Itself,
            Some(_) => ObservedLeader::Another,
            None => ObservedLeader::Nobody,
        }
    }

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
            led: None,
            aside,
            waited: false,
        };
        (at, caller)
    }

    /// The same to a place in a zone, or in the region; None if it is lost.
    fn call_to(
        &mut self,
        to: Option<usize>,
        node: usize,
        epoch: u32,
        id: CallId,
        held: Micros,
        aside: bool,
    ) -> Option<(Micros, Caller)> {
        let held = self.held(Self::site(node), to, held)?;
        Some(self.call(node, epoch, id, held, aside))
    }

    /// Sends an answer, if it gets across.
    pub(super) fn reply(&mut self, caller: Caller, input: Input) {
        self.reply_from(None, caller, input);
    }

    pub(super) fn reply_from(&mut self, zone: Option<usize>, caller: Caller, input: Input) {
        let held = self.held(zone, Self::site(caller.node), self.now);
        if let Some(at) = held.filter(|_| caller.heard) {
            let at = at + self.delay_of(caller.aside);
            self.input(at, caller.node, caller.epoch, input);
        }
    }

    pub(super) fn carry(&mut self, node: usize, epoch: u32, out: ControllerOutput) {
        self.history.record(self.now, node, &out);
        match out {
            ControllerOutput::Node(output) => self.carry_core(node, epoch, output),
            ControllerOutput::Response { id, response } => match self.asked.remove(&id.0) {
                Some((Requester::Object { job, what }, _)) => {
                    self.object_answer(job, what, response.status, &response.body);
                }
                // The watch was refused.
                Some((Requester::Watcher, _)) => self.watch_refused(response.status),
                _ => {}
            },
            ControllerOutput::WatchStarted { .. } => {}
            ControllerOutput::WatchEvent { id, bytes } => self.watched(id.0, &bytes),
            ControllerOutput::WatchEnded { id } => self.watch_ends(id.0),
        }
    }

    fn carry_core(&mut self, node: usize, epoch: u32, output: Output) {
        match output {
            Output::Answer { id, answer } => self.answer(node, id.0, answer),
            Output::Store { id, call, timeout } => {
                let held = self.nodes[node].state_cut;
                let aside = ApiServer::is_own_call(id) && !submits(&call);
                if let Some((at, caller)) = self.call_to(None, node, epoch, id, held, aside) {
                    let call = Box::new(call);
                    self.at(at, Event::State { caller, call });
                }
                let reply = Err(CallError::NoAnswer);
                self.input(self.now + timeout, node, epoch, Input::Store { id, reply });
            }
            Output::Cloud {
                id,
                call,
                timeout,
                within,
            } => {
                let mut reply = Err(CallError::NoAnswer);
                let held = match self.way(Self::site(node), None) {
                    Way::Held(until) => Some(until),
                    _ => None,
                };
                // Without an open connection it waits for one, and goes out when there
                // is one, if it still may.
                let connects = held.filter(|_| self.rng.bool());
                let too_late = |at| at > self.now + within.min(timeout);
                if connects.is_some_and(too_late) {
                    reply = Err(CallError::NotSent);
                } else if let Some((at, caller)) = self.call_to(None, node, epoch, id, 0, false) {
                    let caller = match connects {
                        Some(_) => Caller {
                            heard: true,
                            ..caller
                        },
                        None => Caller {
                            led: Some(self.leads(node)),
                            ..caller
                        },
                    };
                    let call = Box::new(call);
                    self.at(at, Event::Cloud { caller, call });
                }
                self.input(self.now + timeout, node, epoch, Input::Cloud { id, reply });
            }
            Output::Commands {
                id,
                addr,
                commands: orders,
                timeout,
            } => {
                self.launches(node, &orders.commands);
                let machine = addr.trim_end_matches(":9000");
                let cut = self.zone_of(machine).map_or(0, |z| self.zone_cut[z]);
                let held = self.nodes[node].workers_cut.max(cut);
                let zone = self.zone_of(machine);
                if let Some((at, caller)) = self.call_to(zone, node, epoch, id, held, false) {
                    let orders = Box::new(orders);
                    let ev = Event::Orders {
                        caller,
                        addr,
                        orders,
                    };
                    self.at(at, ev);
                }
                let reply = Err(CallError::NoAnswer);
                self.input(
                    self.now + timeout,
                    node,
                    epoch,
                    Input::Commands { id, reply },
                );
            }
            Output::JobEvent(_) => {}
            Output::Peer { message } => {
                for to in (0..self.nodes.len()).filter(|to| *to != node) {
                    let (at, whole) = self.passage(0);
                    let Some(at) = self.held(Self::site(node), Self::site(to), at) else {
                        continue;
                    };
                    let cut = self.nodes[node].mesh_cut.max(self.nodes[to].mesh_cut);
                    let frame = message.encode();
                    if whole
                        && self.now >= cut
                        && let Ok(message) = Message::decode(&frame[4..])
                    {
                        let from = format!("node-{node}");
                        let epoch = self.nodes[to].epoch;
                        self.input(at, to, epoch, Input::Peer { from, message });
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
