//! Workers, their heartbeats and the commands sent to them.

use super::*;

/// What becomes of commands that arrive at a machine.
pub(super) enum CommandReception {
    /// There is no such machine, or messages to it are lost.
    Lost,
    /// The machine hangs and receives them at this time.
    HeldUntil(Micros),
    /// The worker has executed or refused them.
    Handled {
        status: u16,
        heartbeat: Box<Heartbeat>,
        events: Vec<WorkerEvent>,
    },
}

/// The name of the machine whose worker has this address.
pub(super) fn machine_at(addr: &str) -> &str {
    addr.trim_end_matches(":9000")
}

impl Simulation {
    pub(super) fn advance_workers(&mut self) {
        self.send_changed_watches();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let lease = self.config.worker_lease;
            let Some(w) = self.workers.get_mut(&name) else {
                continue;
            };
            let worker_events = w.advance(self.now, lease, &self.task_behaviours);
            if self.now >= w.hung_until {
                if w.unanswered_heartbeat
                    .is_some_and(|(_, _, sent)| self.now > sent + HEARTBEAT_TIMEOUT)
                {
                    w.unanswered_heartbeat = None;
                    w.node = (w.node + 1) % self.nodes.len();
                    w.next_heartbeat_at = self.now + SECOND;
                }
                let due = w.unanswered_heartbeat.is_none() && self.now >= w.next_heartbeat_at;
                if due && self.now < w.heartbeats_lost_until {
                    // The connection fails: try the next node.
                    w.node = (w.node + 1) % self.nodes.len();
                    w.next_heartbeat_at = self.now + SECOND;
                } else if due {
                    let heartbeat = w.heartbeat(self.now);
                    w.unanswered_heartbeat =
                        Some((heartbeat.incarnation, heartbeat.sequence, self.now));
                    w.next_heartbeat_at = self.now + self.rng.u64(15..25) * SECOND / 10;
                    let node = w.node;
                    let zone = ZONES.iter().position(|z| *z == w.place.zone).unwrap_or(0);
                    let partition_end = self.zone_worker_partition_until[zone]
                        .max(self.nodes[node].worker_partition_until);
                    let held_until =
                        self.delivery_time(Some(zone), Self::node_zone(node), partition_end);
                    let Some(held_until) = held_until else {
                        self.record_worker_events(&name, worker_events);
                        continue;
                    };
                    let (at, _) = self.transit(held_until);
                    let heartbeat = Box::new(heartbeat);
                    let machine = name.clone();
                    // The heartbeat arrives even if its reply will be lost.
                    if self.now < self.duplicate_heartbeats_until && self.auxiliary_rng.bool() {
                        let delay = self.auxiliary_rng.u64(2 * SECOND..2 * lease);
                        let node = self.auxiliary_rng.usize(..self.nodes.len());
                        let heartbeat = heartbeat.clone();
                        self.schedule(at + delay, Event::HeartbeatCopy { node, heartbeat });
                    }
                    if self.is_affected(self.heartbeats_for_next_leader) {
                        self.saved_heartbeats.push(Heartbeat::clone(&heartbeat));
                    }
                    self.schedule(
                        at,
                        Event::Heartbeat {
                            machine,
                            node,
                            heartbeat,
                        },
                    );
                }
            }
            self.record_worker_events(&name, worker_events);
        }
        self.schedule(self.now + 100 * MILLISECOND, Event::AdvanceWorkers);
    }

    /// Delivers the saved copies of heartbeats once a new leader has been elected.
    pub(super) fn deliver_saved_heartbeats(&mut self) {
        let term = self.store.term();
        if term <= self.last_term {
            return;
        }
        self.last_term = term;
        for heartbeat in std::mem::take(&mut self.saved_heartbeats) {
            // The leader is still reading the store or has just begun to answer.
            let at = self.now + self.auxiliary_rng.u64(..600 * MILLISECOND);
            for node in 0..self.nodes.len() {
                let heartbeat = Box::new(heartbeat.clone());
                self.schedule(at, Event::HeartbeatCopy { node, heartbeat });
            }
        }
    }

    pub(super) fn deliver_commands(
        &mut self,
        caller: Caller,
        addr: String,
        commands: Box<CommandBatch>,
    ) {
        let machine = machine_at(&addr).to_string();
        match self.receive_commands(&machine, &commands) {
            CommandReception::Lost => {}
            CommandReception::HeldUntil(at) => {
                // The worker executes the commands when it resumes; its reply is lost.
                let caller = Caller {
                    reply_delivered: false,
                    ..caller
                };
                let event = Event::Commands {
                    caller,
                    addr,
                    commands,
                };
                self.schedule(at, event);
            }
            CommandReception::Handled {
                status,
                heartbeat,
                events,
            } => {
                if status == 200 {
                    self.schedule_copies(RequestCopy::Commands { addr, commands });
                }
                self.record_worker_events(&machine, events);
                let reply = Ok((status, dillcleat_wire::encode(&heartbeat)));
                let zone = self.zone_of(&machine);
                let at = self.now + self.slow_link_delay(&machine, network::SLOW_COMMANDS);
                let input = Input::Commands {
                    id: caller.id,
                    reply,
                };
                self.reply_from_at(zone, caller, input, at);
            }
        }
    }

    /// What becomes of commands that arrive at a machine now.
    pub(super) fn receive_commands(
        &mut self,
        machine: &str,
        commands: &CommandBatch,
    ) -> CommandReception {
        let reachable = |worker: &&mut Worker| self.now >= worker.inbound_lost_until;
        let Some(worker) = self.workers.get_mut(machine).filter(reachable) else {
            return CommandReception::Lost;
        };
        if self.now < worker.hung_until {
            return CommandReception::HeldUntil(worker.hung_until + MILLISECOND);
        }
        let lease = self.config.worker_lease;
        let mut events = worker.advance(self.now, lease, &self.task_behaviours);
        let (status, heartbeat, more) =
            worker.handle_commands(commands, self.now, &self.task_behaviours);
        events.extend(more);
        CommandReception::Handled {
            status,
            heartbeat: Box::new(heartbeat),
            events,
        }
    }

    fn record_placement(&mut self, event: &str, task: &dillcleat_wire::TaskName, machine: &str) {
        let entry = format!("{} {event} {task} {machine};", self.now);
        self.placement_digest.update(entry);
    }

    pub(super) fn record_worker_events(&mut self, machine: &str, worker_events: Vec<WorkerEvent>) {
        let Some(place) = self.workers.get(machine).map(|w| w.place.clone()) else {
            return;
        };
        for event in worker_events {
            match event {
                WorkerEvent::Started { task, attempt } => {
                    self.record_placement("starts", &task, machine);
                    self.checker
                        .attempt_started(&task, attempt, machine, self.now);
                    self.checker.task_started(&task, &place, self.now);
                }
                WorkerEvent::Ended { task, done } => {
                    self.record_placement(if done { "done" } else { "leaves" }, &task, machine);
                    self.checker.task_ended(&task, machine, done);
                    if done {
                        self.task_done(&task.job);
                    }
                }
            }
        }
    }

    pub(crate) fn remove_machine(&mut self, machine: &str) {
        if let Some(mut w) = self.workers.remove(machine) {
            for event in w.kill() {
                if let WorkerEvent::Ended { task, .. } = event {
                    self.interrupted_tasks += 1;
                    self.checker.task_ended(&task, machine, false);
                }
            }
        }
    }

    pub(super) fn heartbeat_reply(
        &mut self,
        machine: &str,
        incarnation: u64,
        sequence: u64,
        sent_at: Micros,
        answer: &Answer,
        node: usize,
    ) {
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        if self.now < w.hung_until || self.now < w.inbound_lost_until {
            return;
        }
        match w.unanswered_heartbeat {
            Some((i, s, at))
                if (i, s) == (incarnation, sequence) && self.now <= at + HEARTBEAT_TIMEOUT => {}
            _ => return,
        }
        w.unanswered_heartbeat = None;
        match answer.status {
            200 => {
                let mut worker_events =
                    w.advance(self.now, self.config.worker_lease, &self.task_behaviours);
                match dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
                    Ok(reply) => worker_events.extend(w.heartbeat_answered(
                        &reply,
                        incarnation,
                        sent_at,
                        self.now,
                        &self.task_behaviours,
                    )),
                    Err(e) => panic!("cannot decode the heartbeat reply to {machine}: {e}"),
                }
                self.record_worker_events(machine, worker_events);
            }
            421 => {
                let to = dillcleat_wire::decode::<LeaderRedirect>(&answer.body)
                    .ok()
                    .and_then(|e| e.leader)
                    .and_then(|m| m.strip_prefix("node-")?.parse::<usize>().ok())
                    .filter(|to| *to != node);
                match to {
                    Some(to) => {
                        w.node = to;
                        w.next_heartbeat_at = self.now + self.rng.u64(..500) * MILLISECOND;
                    }
                    None => {
                        w.node = (node + 1) % self.nodes.len();
                        w.next_heartbeat_at = self.now + SECOND;
                    }
                }
            }
            _ => {
                w.node = (node + 1) % self.nodes.len();
                w.next_heartbeat_at = self.now + SECOND;
            }
        }
    }
}
