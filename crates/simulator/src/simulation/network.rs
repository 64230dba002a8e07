//! Message delivery: delays, losses and network partitions.

use super::*;
use dillcleat_controller::records::LeaderRecord;
use dillcleat_kube::ApiServer;
use dillcleat_wire::store::Mutation;
use std::ops::Range;

/// Whether a call stores a new job, as a native submission does.
fn stores_new_job(call: &StoreRequest) -> bool {
    let opens_job = |c: &Mutation| matches!(c, Mutation::Put { key, .. } if key.starts_with(dillcleat_controller::records::OPEN_JOBS_PREFIX));
    matches!(call, StoreRequest::Transaction(txn) if txn.then.iter().any(opens_job))
}

/// How long the reply to a heartbeat takes over a slow link. It is shorter than the time after
/// which the worker drops it.
pub(super) const SLOW_HEARTBEAT_REPLY: Range<Micros> = SECOND..3800 * MILLISECOND;
/// How long a command batch or the reply to it takes over a slow link.
pub(super) const SLOW_COMMANDS: Range<Micros> = 0..300 * MILLISECOND;

/// The state of the network between two places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    Up,
    /// Messages are held back until this time.
    HeldUntil(Micros),
    Down,
}

impl Simulation {
    pub(super) fn node_zone(node: usize) -> Option<usize> {
        Some(node % ZONES.len())
    }

    /// The state of the network between two zones. `None` stands for the region, where
    /// the store, the cloud and the users are.
    pub(super) fn link(&self, from: Option<usize>, to: Option<usize>) -> Link {
        if from == to {
            return Link::Up;
        }
        let mut link = Link::Up;
        for (zone, outbound) in [(from, true), (to, false)] {
            let Some(partition) = zone.map(|z| self.zone_partitions[z]) else {
                continue;
            };
            let passes = match partition.mode {
                PartitionMode::Delayed | PartitionMode::Lost => false,
                PartitionMode::InboundDelayed => outbound,
                PartitionMode::OutboundDelayed => !outbound,
            };
            if self.now >= partition.until || passes {
                continue;
            }
            link = match link {
                _ if partition.mode == PartitionMode::Lost => Link::Down,
                Link::Up => Link::HeldUntil(partition.until),
                Link::HeldUntil(until) => Link::HeldUntil(until.max(partition.until)),
                Link::Down => Link::Down,
            };
        }
        link
    }

    /// When a message sent between two places arrives: at `at`, or later if a partition
    /// holds it back; None if it is lost.
    pub(super) fn delivery_time(
        &self,
        from: Option<usize>,
        to: Option<usize>,
        at: Micros,
    ) -> Option<Micros> {
        match self.link(from, to) {
            Link::Up => Some(at),
            Link::HeldUntil(until) => Some(at.max(until)),
            Link::Down => None,
        }
    }

    /// Whether the store records `node`, another node or no node as the leader.
    pub(super) fn observed_leader(&self, node: usize) -> ObservedLeader {
        match self
            .store
            .read::<LeaderRecord>(dillcleat_controller::records::LEADER_KEY)
        {
            Some((leader, _)) if leader.member == format!("node-{node}") => {
                ObservedLeader::ThisNode
            }
            Some(_) => ObservedLeader::OtherNode,
            None => ObservedLeader::None,
        }
    }

    pub(super) fn network_delay(&mut self) -> Micros {
        self.network_delay_from(false)
    }

    pub(super) fn rng_for(&mut self, auxiliary: bool) -> &mut Rng {
        if auxiliary {
            &mut self.auxiliary_rng
        } else {
            &mut self.rng
        }
    }

    pub(super) fn network_delay_from(&mut self, auxiliary: bool) -> Micros {
        let rng = self.rng_for(auxiliary);
        match rng.u8(..) {
            0..=2 => rng.u64(100..400) * MILLISECOND,
            _ => rng.u64(500..8000),
        }
    }

    /// The delay of a message on the link of a machine, in addition to the usual one; 0 unless
    /// the link is slow.
    pub(super) fn slow_link_delay(&mut self, machine: &str, range: Range<Micros>) -> Micros {
        let worker = self.workers.get(machine);
        if worker.is_some_and(|worker| self.now < worker.slow_link_until) {
            self.auxiliary_rng.u64(range)
        } else {
            0
        }
    }

    /// When a message arrives, and whether its connection stays open. If the connection
    /// breaks, a request still arrives but gets no reply, and a reply is lost. The
    /// connection of a held message always breaks.
    pub(super) fn transit(&mut self, held_until: Micros) -> (Micros, bool) {
        self.transit_from(held_until, false)
    }

    pub(super) fn transit_from(&mut self, held_until: Micros, auxiliary: bool) -> (Micros, bool) {
        let delay = self.network_delay_from(auxiliary);
        if self.now < held_until {
            return (held_until + delay, false);
        }
        if self.now < self.unreliable_network_until {
            let now = self.now;
            let rng = self.rng_for(auxiliary);
            match rng.u8(..10) {
                0 => return (now + rng.u64(SECOND..60 * SECOND), false),
                1 => return (self.now + delay, false),
                _ => {}
            }
        }
        (self.now + delay, true)
    }

    /// The arrival time of a node's call, and its caller.
    fn prepare_call(
        &mut self,
        node: usize,
        epoch: u32,
        id: CallId,
        held_until: Micros,
        auxiliary: bool,
    ) -> (Micros, Caller) {
        let (at, reply_delivered) = self.transit_from(held_until, auxiliary);
        let caller = Caller {
            node,
            epoch,
            id,
            reply_delivered,
            leader_when_sent: None,
            auxiliary,
            delayed: false,
        };
        (at, caller)
    }

    /// As `prepare_call`, to a zone or to the region; None if a partition drops the call.
    fn prepare_call_to(
        &mut self,
        to: Option<usize>,
        node: usize,
        epoch: u32,
        id: CallId,
        held_until: Micros,
        auxiliary: bool,
    ) -> Option<(Micros, Caller)> {
        let held_until = self.delivery_time(Self::node_zone(node), to, held_until)?;
        Some(self.prepare_call(node, epoch, id, held_until, auxiliary))
    }

    /// Sends a reply from the region to a node unless the network loses it.
    pub(super) fn reply(&mut self, caller: Caller, input: Input) {
        self.reply_from(None, caller, input);
    }

    pub(super) fn reply_from(&mut self, zone: Option<usize>, caller: Caller, input: Input) {
        self.reply_from_at(zone, caller, input, self.now);
    }

    /// Sends a reply that leaves its zone at `at`.
    pub(super) fn reply_from_at(
        &mut self,
        zone: Option<usize>,
        caller: Caller,
        input: Input,
        at: Micros,
    ) {
        let arrival = self.delivery_time(zone, Self::node_zone(caller.node), at);
        if let Some(at) = arrival.filter(|_| caller.reply_delivered) {
            let at = at + self.network_delay_from(caller.auxiliary);
            self.schedule_input(at, caller.node, caller.epoch, input);
        }
    }

    pub(super) fn dispatch_output(&mut self, node: usize, epoch: u32, output: ControllerOutput) {
        self.output_digest.record(self.now, node, &output);
        match output {
            ControllerOutput::Node(output) => self.dispatch_node_output(node, epoch, output),
            ControllerOutput::Response { id, response } => {
                match self.pending_requests.remove(&id.0) {
                    Some((Requester::ApiClient { job, operation }, _)) => {
                        self.api_client_answer(job, operation, response.status, &response.body);
                    }
                    Some((Requester::ApiWatch, _)) => self.api_watch_refused(response.status),
                    _ => {}
                }
            }
            ControllerOutput::WatchStarted { .. } => {}
            ControllerOutput::WatchEvent { id, bytes } => self.api_watch_line(id.0, &bytes),
            ControllerOutput::WatchEnded { id } => self.api_watch_ended(id.0),
        }
    }

    fn dispatch_node_output(&mut self, node: usize, epoch: u32, output: Output) {
        match output {
            Output::Answer { id, answer } => self.answer(node, id.0, answer),
            Output::Store { id, call, timeout } => {
                let held_until = self.nodes[node].store_partition_until;
                let auxiliary = ApiServer::is_own_call(id) && !stores_new_job(&call);
                if let Some((at, caller)) =
                    self.prepare_call_to(None, node, epoch, id, held_until, auxiliary)
                {
                    let call = Box::new(call);
                    self.schedule(at, Event::StoreCall { caller, call });
                }
                let reply = Err(CallError::NoAnswer);
                self.schedule_input(self.now + timeout, node, epoch, Input::Store { id, reply });
            }
            Output::Cloud {
                id,
                call,
                timeout,
                within,
            } => {
                let mut reply = Err(CallError::NoAnswer);
                let held_until = match self.link(Self::node_zone(node), None) {
                    Link::HeldUntil(until) => Some(until),
                    _ => None,
                };
                // A call without an open connection waits until the partition ends. If that
                // is too late, it is not sent.
                let connected_at = held_until.filter(|_| self.rng.bool());
                let too_late = |at| at > self.now + within.min(timeout);
                if connected_at.is_some_and(too_late) {
                    reply = Err(CallError::NotSent);
                } else if let Some((at, caller)) =
                    self.prepare_call_to(None, node, epoch, id, 0, false)
                {
                    let caller = match connected_at {
                        Some(_) => Caller {
                            reply_delivered: true,
                            ..caller
                        },
                        None => Caller {
                            leader_when_sent: Some(self.observed_leader(node)),
                            ..caller
                        },
                    };
                    let call = Box::new(call);
                    self.schedule(at, Event::CloudCall { caller, call });
                }
                self.schedule_input(self.now + timeout, node, epoch, Input::Cloud { id, reply });
            }
            Output::Commands {
                id,
                addr,
                commands,
                timeout,
            } => {
                self.check_launches(node, &commands.commands);
                let machine = workers::machine_at(&addr);
                let zone = self.zone_of(machine);
                let partition_end = zone.map_or(0, |z| self.zone_worker_partition_until[z]);
                let held_until = self.nodes[node].worker_partition_until.max(partition_end);
                if let Some((at, caller)) =
                    self.prepare_call_to(zone, node, epoch, id, held_until, false)
                {
                    let at = at + self.slow_link_delay(machine, SLOW_COMMANDS);
                    let commands = Box::new(commands);
                    let event = Event::Commands {
                        caller,
                        addr,
                        commands,
                    };
                    self.schedule(at, event);
                }
                let reply = Err(CallError::NoAnswer);
                self.schedule_input(
                    self.now + timeout,
                    node,
                    epoch,
                    Input::Commands { id, reply },
                );
            }
            Output::JobEvent(_) => {}
            Output::Peer { message } => {
                for to in (0..self.nodes.len()).filter(|to| *to != node) {
                    let (at, intact) = self.transit(0);
                    let Some(at) =
                        self.delivery_time(Self::node_zone(node), Self::node_zone(to), at)
                    else {
                        continue;
                    };
                    let partition_end = self.nodes[node]
                        .peer_partition_until
                        .max(self.nodes[to].peer_partition_until);
                    let frame = message.encode();
                    if intact
                        && self.now >= partition_end
                        && let Ok(message) = Message::decode(&frame[4..])
                    {
                        let from = format!("node-{node}");
                        let epoch = self.nodes[to].epoch;
                        self.schedule_copies(RequestCopy::Peer {
                            from: from.clone(),
                            to,
                            message: message.clone(),
                        });
                        self.schedule_input(at, to, epoch, Input::Peer { from, message });
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
