//! The machines of the fleet, and the tasks that may be running on each.
//!
//! A placed task occupies its slot until it is proved to be gone. Each of the following is proof:
//! - a newer heartbeat under this term's fencing token lists the task as exited;
//! - such a heartbeat does not list the task, and no launch of it can still be executed;
//! - a later incarnation of the worker agent has started;
//! - the machine is deleted, or the cloud lists it as failed.
//!
//! Missing heartbeats do not prove that a task is gone.

mod command_state;
mod health;
mod heartbeat_reconciliation;
mod launch_fence;
mod needed_commands;
mod reachability;
mod task_slot;

pub use self::command_state::CommandState;
pub use self::health::MachineHealth;
pub use self::launch_fence::LaunchFence;
pub use self::reachability::Reachability;
pub use self::task_slot::{
    MachineLossReason, TaskAttempt, TaskEvent, TaskKey, TaskLossReason, TaskSlot,
};
use crate::Micros;
use crate::sched::{Images, Resources};
use dillcleat_wire::worker::Heartbeat;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The maximum number of cached images that are tracked per machine.
const MAX_IMAGES: usize = 32;

/// How a heartbeat was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it periodically. At most one of these is in flight at a time.
    Periodic,
    /// The worker sent it in reply to commands.
    CommandReply,
}

/// The position of a heartbeat in the sequence of all heartbeats of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatPosition {
    /// The incarnation of the agent that sent the heartbeat.
    pub incarnation: u64,
    /// The sequence number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatPosition {
    /// The position of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> HeartbeatPosition {
        HeartbeatPosition {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        }
    }
}

/// A machine of the fleet, as known to the leader.
#[derive(Debug)]
pub struct Machine {
    /// The name that the cloud has given to the machine.
    pub name: Rc<str>,
    /// The address at which the worker agent accepts commands; None until it is known.
    pub addr: Option<String>,
    /// The name of the machine type; empty until it is known.
    pub machine_type: Rc<str>,
    /// The zone; empty until it is known.
    pub zone: Rc<str>,
    /// Whether this is a spot instance.
    pub spot: bool,
    /// Whether the machine is known to be booting, so that it counts as pending capacity.
    pub boot_expected: bool,
    /// Whether the machine's record is stored or queued to be written.
    pub recorded: bool,
    /// Whether the deletion of the machine is requested. It gets no more tasks.
    pub being_deleted: bool,
    /// The tasks that are placed on the machine.
    pub slots: BTreeMap<TaskKey, TaskSlot>,
    /// Whether messages pass between the controller and the machine.
    pub reachability: Reachability,
    /// The commands to be sent and those in flight.
    pub command_state: CommandState,
    /// The fencing token of messages to the machine, and the launches that it may still execute.
    pub launch_fence: LaunchFence,
    /// The task failures on the machine.
    pub health: MachineHealth,
    /// Whether a heartbeat has arrived under this term's fencing token.
    has_current_token: bool,
    up: bool,
    known_since: Micros,
    idle_since: Micros,
    interrupted_at: Option<Micros>,
    images: Images,
    /// The position of the latest heartbeat that was applied.
    position: HeartbeatPosition,
    /// The position of the latest periodic heartbeat, also of one that was outdated.
    latest_periodic: HeartbeatPosition,
    /// The exited attempts that the latest heartbeat lists.
    exited: Vec<TaskAttempt>,
    /// Whether the latest heartbeat does not list a task that may have been launched under the
    /// current fencing token.
    has_unfenced_absence: bool,
    unplaced_attempts: Vec<TaskAttempt>,
}

impl Machine {
    /// Creates a machine that has sent no heartbeat to this leader. Messages are sent to it under
    /// the fencing token `token`; none was before.
    pub fn new(
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        token: u64,
        now: Micros,
    ) -> Self {
        let before_first_heartbeat = HeartbeatPosition {
            incarnation: 1,
            sequence: 0,
        };
        Machine {
            name: name.into(),
            addr: None,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            has_current_token: false,
            up: false,
            boot_expected: false,
            recorded: false,
            being_deleted: false,
            known_since: now,
            idle_since: now,
            interrupted_at: None,
            slots: BTreeMap::new(),
            images: Images::default(),
            reachability: Reachability::new(now),
            command_state: CommandState::default(),
            launch_fence: LaunchFence::new(token),
            health: MachineHealth::default(),
            position: before_first_heartbeat,
            latest_periodic: before_first_heartbeat,
            exited: Vec::new(),
            has_unfenced_absence: false,
            unplaced_attempts: Vec::new(),
        }
    }

    /// Sets the properties that a heartbeat or the cloud's list of machines reports.
    pub fn update_description(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if *self.machine_type != *machine_type {
            self.machine_type = Rc::from(machine_type);
        }
        if *self.zone != *zone {
            self.zone = Rc::from(zone);
        }
        self.spot = spot;
    }

    /// Whether a heartbeat has arrived under this term's fencing token. Before that, the
    /// task list of a heartbeat does not prove that a task is gone.
    pub fn is_ready(&self) -> bool {
        self.has_current_token
    }

    /// Whether the machine is known to have sent a heartbeat, to this or the previous leader.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// When the machine became known or, if that was earlier, began to boot.
    pub fn known_since(&self) -> Micros {
        self.known_since
    }

    /// Start of the time during which no task has been placed on the machine.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    /// When the cloud will reclaim the spot instance, if it has announced that.
    pub fn interrupted_at(&self) -> Option<Micros> {
        self.interrupted_at
    }

    /// The images that the machine's tasks used, the most recent last.
    pub fn images(&self) -> &Images {
        &self.images
    }

    /// Whether the machine is expected to have the image in its cache.
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| **name == *image)
    }

    /// Restarts the idle time, so that it does not include the boot time.
    pub fn restart_idle_time(&mut self, now: Micros) {
        self.idle_since = now;
    }

    /// The latest known incarnation of the worker agent.
    pub fn incarnation(&self) -> u64 {
        self.position.incarnation
    }

    /// The position of the latest heartbeat that was applied. Before the first heartbeat,
    /// only its incarnation is meaningful.
    pub fn position(&self) -> HeartbeatPosition {
        self.position
    }

    /// The position of the latest periodic heartbeat. The worker sends the next one only once it
    /// has received the reply to it, or no longer accepts the reply.
    pub fn latest_periodic(&self) -> HeartbeatPosition {
        self.latest_periodic
    }

    /// The number of exited attempts that the latest heartbeat lists.
    pub fn exited_attempts(&self) -> usize {
        self.exited.len()
    }

    /// Records that this incarnation has started, as a stored placement shows.
    pub fn raise_incarnation(&mut self, incarnation: u64) {
        self.position.incarnation = self.position.incarnation.max(incarnation);
    }

    /// Restarts the heartbeat, age and idle times at the start of a term, and requests a
    /// command batch, which carries the new fencing token to the machine.
    pub fn begin_term(&mut self, now: Micros) {
        self.reachability.set_last_contact(now);
        self.known_since = now;
        self.idle_since = now;
        self.command_state.request();
    }

    /// Records, as reported by the previous leader, that the machine was up and that its
    /// last heartbeat arrived at `at`.
    pub fn restore_last_contact(&mut self, at: Micros) {
        self.up = true;
        self.reachability.set_last_contact(at);
    }

    /// Records that the machine had begun to boot by the time `at`.
    pub fn assume_booting_since(&mut self, at: Micros) {
        self.known_since = self.known_since.min(at);
        self.reachability.bound_last_contact(at);
    }

    /// Places a task on the machine. `image_gb` is the size of its image. The worker caches
    /// the most recently used images; `cache_gb` is the part of the cache that can be relied
    /// on.
    pub fn add_task(
        &mut self,
        task: TaskKey,
        slot: TaskSlot,
        (image, image_gb): (&Rc<str>, f64),
        cache_gb: f64,
    ) {
        self.slots.insert(task, slot);
        let images = Rc::make_mut(&mut self.images);
        images.retain(|(name, _)| name != image);
        images.push((image.clone(), image_gb));
        let mut total_gb: f64 = images.iter().map(|(_, gb)| gb).sum();
        let mut evicted = 0;
        while evicted + 1 < images.len()
            && (total_gb > cache_gb || images.len() - evicted > MAX_IMAGES)
        {
            total_gb -= images[evicted].1;
            evicted += 1;
        }
        images.drain(..evicted);
    }

    /// The part of the machine type's `total` resources that no task occupies.
    pub fn free_resources(&self, total: Resources) -> Resources {
        let mut free = total;
        for slot in self.slots.values() {
            free.subtract(&slot.resources);
        }
        free
    }

    /// Whether a replica of a service is placed on the machine.
    pub fn has_replicas(&self) -> bool {
        self.slots.values().any(|slot| slot.service)
    }

    /// Whether a batch task (not a replica of a service) is placed on the machine.
    pub fn has_batch_tasks(&self) -> bool {
        self.batch_slots().next().is_some()
    }

    /// The batch tasks that are placed on the machine.
    pub fn batch_slots(&self) -> impl Iterator<Item = &TaskSlot> {
        self.slots.values().filter(|slot| !slot.service)
    }

    /// The attempts that the latest heartbeat lists as not exited and that are not placed
    /// on the machine.
    pub fn unplaced_attempts(&self) -> &[TaskAttempt] {
        &self.unplaced_attempts
    }

    /// Whether new tasks may be placed on the machine.
    pub fn accepts_tasks(&self, now: Micros) -> bool {
        !self.health.is_cordoned() && self.accepts_tasks_as_last_resort(now)
    }

    /// Whether a new task may be placed on the machine if it fits on no other.
    pub fn accepts_tasks_as_last_resort(&self, now: Micros) -> bool {
        self.has_current_token
            && !self.being_deleted
            && self.interrupted_at.is_none()
            && self.unplaced_attempts.is_empty()
            && now >= self.health.placement_paused_until()
    }

    /// Records a newer periodic heartbeat. Returns whether the machine may have become
    /// reachable by it. `overdue_after` is the time without a heartbeat after which one is
    /// overdue. `lease_proof_after` is the time after which the worker's lease must have expired
    /// unless messages from the controller reach the machine.
    ///
    /// Besides a reply to commands, there are two proofs that messages from the controller
    /// reach the machine. A worker that receives no reply to a heartbeat waits for a timeout
    /// before it sends the next one, so an earlier next heartbeat shows that the reply has
    /// arrived. And an incarnation that continues for longer than the lease shows that the
    /// lease was renewed. Over a slow link, replies to commands may always be late.
    pub fn record_periodic_heartbeat(
        &mut self,
        now: Micros,
        new_incarnation: bool,
        lease_proof_after: Micros,
        overdue_after: Micros,
    ) -> bool {
        let update = self.reachability.record_heartbeat(
            now,
            new_incarnation,
            lease_proof_after,
            overdue_after,
        );
        if update.needs_probe {
            // A probe gives the proof sooner than further heartbeats do.
            self.command_state.request_probe();
        }
        update.may_have_recovered
    }

    /// Frees all slots of a machine that is gone.
    pub fn take_lost_tasks(&mut self, end: MachineLossReason) -> Vec<TaskEvent> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .map(|(task, slot)| TaskEvent::Lost {
                task,
                attempt: slot.attempt,
                reason: TaskLossReason::MachineGone(end),
            })
            .collect()
    }
}
