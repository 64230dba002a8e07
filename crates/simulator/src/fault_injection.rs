//! Starts the faults of a scenario.

use crate::scenario::{Fault, LEADER};
use crate::simulation::{BootDelays, Event, FaultWindow, NodeHost, Simulation, ZONES, ZoneCut};
use crate::worker::Worker;
use dillcleat_controller::Micros;
use std::collections::BTreeSet;

impl Simulation {
    /// Draws `n` machines.
    fn some_machines(&mut self, n: usize) -> Vec<String> {
        self.some_machines_of(n, None)
    }

    /// Draws `n` machines, of one zone if one is given.
    fn some_machines_of(&mut self, n: usize, zone: Option<usize>) -> Vec<String> {
        let zone = zone.map(|z| ZONES[z % ZONES.len()]);
        let in_zone = |w: &&Worker| zone.is_none_or(|z| w.place.zone == z);
        let workers = self.workers.values().filter(in_zone);
        let mut names: Vec<String> = workers.map(|w| w.name.clone()).collect();
        self.rng.shuffle(&mut names);
        names.truncate(n);
        names
    }

    /// The machines fail: their tasks end and the cloud no longer lists them.
    fn fail_machines(&mut self, machines: Vec<String>) {
        for machine in machines {
            self.cloud.remove(&machine);
            self.machine_ends(&machine);
        }
    }

    /// A node crashes and restarts at the given time.
    fn crash(&mut self, node: usize, restart_at: Micros) {
        self.dismiss(node);
        self.nodes[node].epoch += 1;
        self.at(restart_at, Event::Restart { node });
    }

    /// Starts a fault.
    pub(crate) fn fault(&mut self, fault: Fault) {
        let now = self.now;
        let count = self.nodes.len();
        let term = |n: &NodeHost| n.node.as_ref().and_then(|c| c.node.leading());
        let leader = (0..count).max_by_key(|n| term(&self.nodes[*n]));
        let index_of = |node: usize| match node {
            LEADER => leader.unwrap_or(0),
            node => node % count,
        };
        match fault {
            Fault::Crash { nodes, down } => {
                let nodes: BTreeSet<usize> = nodes.into_iter().map(index_of).collect();
                for node in nodes {
                    self.crash(node, now + down);
                }
            }
            Fault::AllEnd { back, soon, others } => {
                for node in 0..count {
                    let down = if node == back % count { soon } else { others };
                    self.crash(node, now + down);
                }
            }
            Fault::Pause { node, time } => self.nodes[index_of(node)].paused_until = now + time,
            Fault::CutMesh { node, time } => self.nodes[index_of(node)].mesh_cut = now + time,
            Fault::StateOutage { time } => self.state.outage(now, now + time),
            Fault::Refused { node, time } => self.nodes[index_of(node)].refused_until = now + time,
            Fault::CutState { node, time } => self.nodes[index_of(node)].state_cut = now + time,
            Fault::CutWorkers { node, time } => self.nodes[index_of(node)].workers_cut = now + time,
            Fault::CutZone { zone, time } => self.zone_cut[zone % 3] = now + time,
            Fault::CutSite { zone, time, cut } => {
                let zone = zone.or(leader).unwrap_or(0) % 3;
                self.site_cut[zone] = ZoneCut {
                    until: now + time,
                    cut,
                };
            }
            Fault::Hang { machines, time } => {
                for name in self.some_machines(machines) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.hung_until = now + time;
                    }
                }
            }
            Fault::Deaf { machines, time } => {
                for name in self.some_machines(machines) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.deaf_until = now + time;
                    }
                }
            }
            Fault::Mute {
                machines,
                zone,
                time,
            } => {
                for name in self.some_machines_of(machines, zone) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.mute_until = now + time;
                    }
                }
            }
            Fault::Die { machines } => {
                let names = self.some_machines(machines);
                self.fail_machines(names);
            }
            Fault::ZoneDies { machines, zone } => {
                let names = self.some_machines_of(machines, Some(zone));
                self.fail_machines(names);
            }
            Fault::SpotTaken { notice } => {
                let spot: Vec<String> = self
                    .workers
                    .values()
                    .filter(|w| w.place.spot)
                    .map(|w| w.name.clone())
                    .collect();
                for machine in spot {
                    let at = now + notice.unwrap_or(0);
                    if let (Some(_), Some(w)) = (notice, self.workers.get_mut(&machine)) {
                        w.recall_at = Some(at);
                        w.report_at = now;
                    }
                    self.at(at, Event::Taken { machine });
                }
            }
            Fault::CloudOutage { time } => self.cloud.out_until = now + time,
            Fault::Flaky { time } => self.flaky_until = now + time,
            Fault::Boots {
                time,
                factor,
                never,
            } => {
                self.boots = BootDelays {
                    until: now + time,
                    factor,
                    never,
                }
            }
            Fault::Storm { time } => self.storm_until = now + time,
            Fault::TooMany { time } => self.too_many_until = now + time,
            Fault::SlowState { time } => self.slow_state_until = now + time,
            Fault::LateWrites { time } => self.late_writes_until = now + time,
            Fault::LateReports { time } => self.late_reports_until = now + time,
            Fault::CloseLooks { time } => self.close_looks_until = now + time,
            Fault::OddRequests { time } => {
                self.odd_until = now + time;
                self.at(now, Event::Odd);
            }
            Fault::CancelsAtOnce { percent, time } => {
                self.cancels_at_once = FaultWindow::new(now + time, percent);
            }
            Fault::CancelsAtEnd { percent, time } => {
                self.cancels_at_end = FaultWindow::new(now + time, percent);
            }
            Fault::CancelsNow { jobs, hang } => self.cancels_now(jobs, hang),
            Fault::AnswersLost { percent, time } => {
                self.answers_lost = FaultWindow::new(now + time, percent);
            }
            Fault::ReportsForNext { percent, time } => {
                self.reports_for_next = FaultWindow::new(now + time, percent);
            }
            Fault::Faulty => {
                for name in self.some_machines(1) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.faulty = true;
                    }
                }
            }
        }
    }
}
