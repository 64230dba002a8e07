//! Workers and their reports.

use super::*;

impl Simulation {
    pub(super) fn pass_workers(&mut self) {
        self.wake_watches();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let lease = self.config.worker_lease;
            let Some(w) = self.workers.get_mut(&name) else {
                continue;
            };
            let happenings = w.pass(self.now, lease, &self.plays);
            if self.now >= w.hung_until {
                if w.under_way
                    .is_some_and(|(_, _, sent)| self.now > sent + PATIENCE)
                {
                    w.under_way = None;
                    w.node = (w.node + 1) % self.nodes.len();
                    w.report_at = self.now + SECOND;
                }
                let due = w.under_way.is_none() && self.now >= w.report_at;
                if due && self.now < w.mute_until {
                    // No connection opens: it tries the next node.
                    w.node = (w.node + 1) % self.nodes.len();
                    w.report_at = self.now + SECOND;
                } else if due {
                    let report = w.report(self.now);
                    w.under_way = Some((report.incarnation, report.sequence, self.now));
                    w.report_at = self.now + self.rng.u64(15..25) * SECOND / 10;
                    let node = w.node;
                    let zone = ZONES.iter().position(|z| *z == w.place.zone).unwrap_or(0);
                    let held = self.zone_cut[zone].max(self.nodes[node].workers_cut);
                    let Some(held) = self.held(Some(zone), Self::site(node), held) else {
                        self.tell(&name, happenings);
                        continue;
                    };
                    let (at, whole) = self.passage(held);
                    let report = Box::new(report);
                    let machine = name.clone();
                    // A report without an answer on its way still arrives.
                    let _ = whole;
                    if self.now < self.late_reports_until && self.side.bool() {
                        let again = self.side.u64(2 * SECOND..2 * lease);
                        let node = self.side.usize(..self.nodes.len());
                        let report = report.clone();
                        self.at(at + again, Event::Copy { node, report });
                    }
                    if self.befalls(self.reports_for_next) {
                        self.kept_reports.push(Heartbeat::clone(&report));
                    }
                    self.at(
                        at,
                        Event::Checkin {
                            machine,
                            node,
                            report,
                        },
                    );
                }
            }
            self.tell(&name, happenings);
        }
        self.at(self.now + 100 * MILLISECOND, Event::Workers);
    }

    /// The copies of reports that were kept for the next leader arrive once there is one.
    pub(super) fn next_leader(&mut self) {
        let term = self.state.term();
        if term <= self.last_term {
            return;
        }
        self.last_term = term;
        for report in std::mem::take(&mut self.kept_reports) {
            // While it reads the store, or when it has just begun to answer.
            let at = self.now + self.side.u64(..600 * MILLISECOND);
            for node in 0..self.nodes.len() {
                let report = Box::new(report.clone());
                self.at(at, Event::Copy { node, report });
            }
        }
    }

    pub(super) fn orders(&mut self, caller: Caller, addr: String, orders: Box<CommandBatch>) {
        let machine = addr.trim_end_matches(":9000").to_string();
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        if self.now < worker.deaf_until {
            return;
        }
        if self.now < worker.hung_until {
            // Carried out when it goes on, though the sender is gone.
            let at = worker.hung_until + MILLISECOND;
            let caller = Caller {
                heard: false,
                ..caller
            };
            let ev = Event::Orders {
                caller,
                addr,
                orders,
            };
            return self.at(at, ev);
        }
        let mut happenings = worker.pass(self.now, self.config.worker_lease, &self.plays);
        let (status, report, more) = worker.orders(&orders, self.now, &self.plays);
        happenings.extend(more);
        self.tell(&machine, happenings);
        let reply = Ok((status, dillcleat_wire::encode(&report)));
        let zone = self.zone_of(&machine);
        self.reply_from(
            zone,
            caller,
            Input::Commands {
                id: caller.id,
                reply,
            },
        );
    }

    fn placed(&mut self, what: &str, task: &dillcleat_wire::TaskName, machine: &str) {
        let entry = format!("{} {what} {task} {machine};", self.now);
        self.placements.update(entry);
    }

    pub(super) fn tell(&mut self, machine: &str, happenings: Vec<WorkerEvent>) {
        let Some(place) = self.workers.get(machine).map(|w| w.place.clone()) else {
            return;
        };
        for h in happenings {
            match h {
                WorkerEvent::Starts(task) => {
                    self.placed("starts", &task, machine);
                    self.checker.starts(&task, &place, self.now);
                }
                WorkerEvent::Leaves { task, done } => {
                    self.placed(if done { "done" } else { "leaves" }, &task, machine);
                    self.checker.leaves(&task, machine, done);
                    if done {
                        self.task_done(&task.job);
                    }
                }
            }
        }
    }

    pub(crate) fn machine_ends(&mut self, machine: &str) {
        if let Some(mut w) = self.workers.remove(machine) {
            for h in w.kill() {
                if let WorkerEvent::Leaves { task, .. } = h {
                    self.lost += 1;
                    self.checker.leaves(&task, machine, false);
                }
            }
        }
    }

    pub(super) fn checkin_answer(
        &mut self,
        machine: &str,
        session: u64,
        seq: u64,
        sent: Micros,
        answer: &Answer,
        node: usize,
    ) {
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        if self.now < w.hung_until || self.now < w.deaf_until {
            return;
        }
        match w.under_way {
            Some((s, q, at)) if (s, q) == (session, seq) && self.now <= at + PATIENCE => {}
            _ => return,
        }
        w.under_way = None;
        match answer.status {
            200 => {
                let mut happenings = w.pass(self.now, self.config.worker_lease, &self.plays);
                match dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
                    Ok(a) => {
                        happenings.extend(w.answered(&a, session, sent, self.now, &self.plays))
                    }
                    Err(e) => panic!("an answer to a worker is unreadable: {e}"),
                }
                self.tell(machine, happenings);
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
                        w.report_at = self.now + self.rng.u64(..500) * MILLISECOND;
                    }
                    None => {
                        w.node = (node + 1) % self.nodes.len();
                        w.report_at = self.now + SECOND;
                    }
                }
            }
            _ => {
                w.node = (node + 1) % self.nodes.len();
                w.report_at = self.now + SECOND;
            }
        }
    }
}
