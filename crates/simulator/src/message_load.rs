//! The messages between the workers and the controller of a simulated fleet, counted.

use dillcleat_wire::worker::Heartbeat;

/// Numbers and sizes of the messages between workers and the controller.
#[derive(Debug, Default, Clone)]
pub struct MessageLoad {
    /// Periodic heartbeats.
    pub heartbeats: u64,
    /// Tasks that the heartbeats listed, in all and in the one with the most.
    pub listed_tasks: u64,
    pub max_listed_tasks: u64,
    /// Encoded bytes of the heartbeats, in all and in the largest.
    pub heartbeat_bytes: u64,
    pub max_heartbeat_bytes: u64,
    /// Command batches that arrived at a worker, and those that it refused with 409.
    pub command_batches: u64,
    pub refused_batches: u64,
    /// Mutations in transactions that arrived at the store.
    pub stored_mutations: u64,
}

impl MessageLoad {
    /// Counts a periodic heartbeat of `bytes` encoded bytes.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, bytes: usize) {
        let (tasks, bytes) = (heartbeat.tasks.len() as u64, bytes as u64);
        self.heartbeats += 1;
        self.listed_tasks += tasks;
        self.max_listed_tasks = self.max_listed_tasks.max(tasks);
        self.heartbeat_bytes += bytes;
        self.max_heartbeat_bytes = self.max_heartbeat_bytes.max(bytes);
    }

    /// Counts a command batch that a worker answered with `status`.
    pub fn record_commands(&mut self, status: u16) {
        self.command_batches += 1;
        self.refused_batches += u64::from(status == 409);
    }
}
