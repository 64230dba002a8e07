//! Starts the faults of a scenario.

use crate::scenario::{Fault, LEADER};
use crate::simulation::{
    BootDelays, Event, FaultWindow, NodeHost, Simulation, ZONES, ZonePartition,
};
use crate::worker::Worker;
use dillcleat_controller::Micros;
use std::collections::BTreeSet;

impl Simulation {
    /// Draws `n` machines.
    fn random_machines(&mut self, n: usize) -> Vec<String> {
        self.random_machines_in(n, None)
    }

    /// Draws `n` machines, of one zone if one is given.
    fn random_machines_in(&mut self, n: usize, zone: Option<usize>) -> Vec<String> {
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
            self.remove_machine(&machine);
        }
    }

    /// A node crashes and restarts at the given time.
    fn crash(&mut self, node: usize, restart_at: Micros) {
        self.stop_node(node);
        self.nodes[node].epoch += 1;
        self.schedule(restart_at, Event::StartNode { node });
    }

    pub(crate) fn start_fault(&mut self, fault: Fault) {
        let now = self.now;
        let count = self.nodes.len();
        let term = |n: &NodeHost| n.node.as_ref().and_then(|c| c.node.leading());
        // The last node if none leads.
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
            Fault::AllNodesCrash {
                first_node,
                first_down,
                others_down,
            } => {
                for node in 0..count {
                    let down = if node == first_node % count {
                        first_down
                    } else {
                        others_down
                    };
                    self.crash(node, now + down);
                }
            }
            Fault::Pause { node, time } => self.nodes[index_of(node)].paused_until = now + time,
            Fault::PeerPartition { node, time } => {
                self.nodes[index_of(node)].peer_partition_until = now + time
            }
            Fault::StoreOutage { time } => self.store.outage(now, now + time),
            Fault::StoreRefusal { node, time } => {
                self.nodes[index_of(node)].store_refuses_until = now + time
            }
            Fault::StorePartition { node, time } => {
                self.nodes[index_of(node)].store_partition_until = now + time
            }
            Fault::WorkerPartition { node, time } => {
                self.nodes[index_of(node)].worker_partition_until = now + time
            }
            Fault::ZoneWorkerPartition { zone, time } => {
                self.zone_worker_partition_until[zone % 3] = now + time
            }
            Fault::ZonePartition { zone, time, mode } => {
                let zone = zone.or(leader).unwrap_or(0) % 3;
                self.zone_partitions[zone] = ZonePartition {
                    until: now + time,
                    mode,
                };
            }
            Fault::Hang { machines, time } => {
                for name in self.random_machines(machines) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.hung_until = now + time;
                    }
                }
            }
            Fault::InboundLoss { machines, time } => {
                for name in self.random_machines(machines) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.inbound_lost_until = now + time;
                    }
                }
            }
            Fault::SlowLinks { machines, time } => {
                for name in self.random_machines(machines) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.slow_link_until = now + time;
                    }
                }
            }
            Fault::HeartbeatLoss {
                machines,
                zone,
                time,
            } => {
                for name in self.random_machines_in(machines, zone) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.heartbeats_lost_until = now + time;
                    }
                }
            }
            Fault::MachineFailure { machines } => {
                let names = self.random_machines(machines);
                self.fail_machines(names);
            }
            Fault::ZoneMachineFailure { machines, zone } => {
                let names = self.random_machines_in(machines, Some(zone));
                self.fail_machines(names);
            }
            Fault::SpotPreemption { notice } => {
                let spot: Vec<String> = self
                    .workers
                    .values()
                    .filter(|w| w.place.spot)
                    .map(|w| w.name.clone())
                    .collect();
                for machine in spot {
                    let at = now + notice.unwrap_or(0);
                    if let (Some(_), Some(w)) = (notice, self.workers.get_mut(&machine)) {
                        w.preemption_at = Some(at);
                        w.next_heartbeat_at = now;
                    }
                    self.schedule(at, Event::MachinePreempted { machine });
                }
            }
            Fault::CloudOutage { time } => self.cloud.outage_until = now + time,
            Fault::UnreliableNetwork { time } => self.unreliable_network_until = now + time,
            Fault::BootDelays {
                time,
                time_factor,
                failure_one_in,
            } => {
                self.boot_delays = BootDelays {
                    until: now + time,
                    time_factor,
                    failure_one_in,
                }
            }
            Fault::FrequentPolls { time } => self.frequent_polls_until = now + time,
            Fault::StoreOverload { time } => self.store_overload_until = now + time,
            Fault::SlowStore { time } => self.slow_store_until = now + time,
            Fault::DelayedWrites { time } => self.delayed_writes_until = now + time,
            Fault::DuplicateHeartbeats { time } => self.duplicate_heartbeats_until = now + time,
            Fault::ExtraRequests { time } => self.extra_requests_until = now + time,
            Fault::IrregularRequests { time } => {
                self.irregular_requests_until = now + time;
                self.schedule(now, Event::IrregularRequest);
            }
            Fault::CancelOnAcceptance { percent, time } => {
                self.cancel_on_acceptance = FaultWindow::new(now + time, percent);
            }
            Fault::CancelOnCompletion { percent, time } => {
                self.cancel_on_completion = FaultWindow::new(now + time, percent);
            }
            Fault::CancelNeededJobs { jobs } => self.cancel_needed_jobs(jobs),
            Fault::CancelRunningJobs { jobs, hang } => self.cancel_running_jobs(jobs, hang),
            Fault::LostWriteReplies { percent, time } => {
                self.lost_write_replies = FaultWindow::new(now + time, percent);
            }
            Fault::LateCopies { percent, time } => {
                self.late_copies = FaultWindow::new(now + time, percent);
            }
            Fault::HeartbeatsForNextLeader { percent, time } => {
                self.heartbeats_for_next_leader = FaultWindow::new(now + time, percent);
            }
            Fault::FaultyMachine => {
                for name in self.random_machines(1) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.faulty = true;
                    }
                }
            }
        }
    }
}
