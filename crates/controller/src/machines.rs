//! The machines of the fleet, and the tasks that may be on each.
//!
//! A placed task occupies its slot until there is proof that it is gone: a newer
//! heartbeat under this term's fencing token that shows it exited, or that does not list
//! it while no launch can still be carried out; a later incarnation of the agent; or the
//! machine's end. Silence proves nothing.

mod command_state;
mod health;
mod heartbeat_reconciliation;
mod needed_commands;
mod reachability;
mod task_slot;

pub use self::command_state::CommandState;
pub use self::health::MachineHealth;
pub use self::reachability::Reachability;
pub use self::task_slot::{MachineEnd, TaskAttempt, TaskEvent, TaskKey, TaskLossReason, TaskSlot};
use crate::Micros;
use crate::sched::{Images, Resources};
use dillcleat_wire::worker::Heartbeat;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The most images that are remembered of a machine.
const MAX_IMAGES: usize = 32;

/// How a heartbeat was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it by itself, one at a time.
    Periodic,
    /// It is the reply to commands.
    CommandReply,
}

/// Where a heartbeat stands among all those of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatPosition {
    /// The incarnation of the agent that sent it.
    pub incarnation: u64,
    /// Its number within the incarnation.
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

/// A machine of the fleet as the leader knows it.
#[derive(Debug)]
pub struct Machine {
    /// Its name, given by the cloud.
    pub name: Rc<str>,
    /// Where its agent takes commands.
    pub addr: Option<String>,
    /// The name of its machine type; empty until it is known.
    pub machine_type: Rc<str>,
    /// The zone it is in; empty until it is known.
    pub zone: Rc<str>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether it is booting for certain, so that it counts as capacity to come.
    pub expected: bool,
    /// Whether its record is in the store, or on its way there.
    pub recorded: bool,
    /// Whether it is to be deleted. It gets no more tasks.
    pub being_deleted: bool,
    /// The tasks that are placed here.
    pub slots: BTreeMap<TaskKey, TaskSlot>,
    /// When it was heard, and whether commands reach it.
    pub reachability: Reachability,
    /// Commands to be sent, and those that were sent.
    pub command_state: CommandState,
    /// Failures on it.
    pub health: MachineHealth,
    /// Whether it has sent a heartbeat under this term's fencing token.
    ready: bool,
    /// Whether it has sent any heartbeat.
    up: bool,
    /// Since when it is known or, if that is longer, booting.
    known_since: Micros,
    /// Since when nothing is placed on it.
    empty_since: Micros,
    /// When the cloud takes it back, if it has said so.
    interrupted_at: Option<Micros>,
    /// Images that were used here, the latest last.
    images: Images,
    /// The latest heartbeat that was applied.
    position: HeartbeatPosition,
    /// Exited attempts that the latest heartbeat lists.
    exited: Vec<TaskAttempt>,
    /// Other attempts that the latest heartbeat lists and that are not placed here.
    unexpected: Vec<TaskAttempt>,
}

impl Machine {
    /// A machine that has sent no heartbeat to this leader.
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, now: Micros) -> Self {
        Machine {
            name: name.into(),
            addr: None,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            ready: false,
            up: false,
            expected: false,
            recorded: false,
            being_deleted: false,
            known_since: now,
            empty_since: now,
            interrupted_at: None,
            slots: BTreeMap::new(),
            images: Images::default(),
            reachability: Reachability::new(now),
            command_state: CommandState::default(),
            health: MachineHealth::default(),
            position: HeartbeatPosition {
                incarnation: 1,
                sequence: 0,
            },
            exited: Vec::new(),
            unexpected: Vec::new(),
        }
    }

    /// Takes over what a heartbeat or the cloud's list says the machine is.
    pub fn update_description(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if *self.machine_type != *machine_type {
            self.machine_type = Rc::from(machine_type);
        }
        if *self.zone != *zone {
            self.zone = Rc::from(zone);
        }
        self.spot = spot;
    }

    /// Whether it has sent a heartbeat under this term's fencing token. Before that, what
    /// it lists proves nothing.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether it has sent any heartbeat.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Since when it is known or, if that is longer, booting.
    pub fn known_since(&self) -> Micros {
        self.known_since
    }

    /// Since when nothing is placed on it.
    pub fn empty_since(&self) -> Micros {
        self.empty_since
    }

    /// When the cloud takes it back, if it has said so.
    pub fn interrupted_at(&self) -> Option<Micros> {
        self.interrupted_at
    }

    /// Images that were used here, the latest last.
    pub fn images(&self) -> &Images {
        &self.images
    }

    /// Whether the image was used here lately.
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| **name == *image)
    }

    /// It counts as empty from now on only: the time of its boot is not idle time.
    pub fn restart_idle_time(&mut self, now: Micros) {
        self.empty_since = now;
    }

    /// The incarnation of its agent, as far as is known.
    pub fn incarnation(&self) -> u64 {
        self.position.incarnation
    }

    /// The latest heartbeat that was applied. Before the first, only the incarnation says
    /// anything.
    pub fn position(&self) -> HeartbeatPosition {
        self.position
    }

    /// A stored placement shows that this incarnation has begun.
    pub fn raise_incarnation(&mut self, incarnation: u64) {
        self.position.incarnation = self.position.incarnation.max(incarnation);
    }

    /// Starts all its times anew at the beginning of a term, and has it told of the term.
    pub fn begin_term(&mut self, now: Micros) {
        self.reachability.assume_silent_since(now);
        self.known_since = now;
        self.empty_since = now;
        self.command_state.request();
    }

    /// It is known from the leader before that the machine was up and last heard at `at`.
    pub fn assume_silent_since(&mut self, at: Micros) {
        self.up = true;
        self.reachability.assume_silent_since(at);
    }

    /// It is known to have been booting since `at` at the latest.
    pub fn assume_booting_since(&mut self, at: Micros) {
        self.known_since = self.known_since.min(at);
        self.reachability.bound_last_heard(at);
    }

    /// Places a task here. The worker keeps the images that it used most recently,
    /// as many as fit its cache; `cache_gb` is what may be counted on.
    pub fn add_task(
        &mut self,
        task: TaskKey,
        slot: TaskSlot,
        image: (&Rc<str>, f64),
        cache_gb: f64,
    ) {
        self.slots.insert(task, slot);
        let images = Rc::make_mut(&mut self.images);
        images.retain(|(name, _)| name != image.0);
        images.push((image.0.clone(), image.1));
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

    /// What its tasks leave of the `total` resources of its type.
    pub fn free_resources(&self, total: Resources) -> Resources {
        let mut free = total;
        for slot in self.slots.values() {
            free.subtract(&slot.resources);
        }
        free
    }

    /// Whether a replica of a service is placed here.
    pub fn has_replicas(&self) -> bool {
        self.slots.values().any(|slot| slot.service)
    }

    /// Whether a task of an array is placed here.
    pub fn has_array_tasks(&self) -> bool {
        self.array_slots().next().is_some()
    }

    /// The tasks of arrays that are placed here.
    pub fn array_slots(&self) -> impl Iterator<Item = &TaskSlot> {
        self.slots.values().filter(|slot| !slot.service)
    }

    /// Attempts that the latest heartbeat lists as not exited and that are not placed here.
    pub fn unexpected_tasks(&self) -> &[TaskAttempt] {
        &self.unexpected
    }

    /// Whether it may get a new task.
    pub fn accepts_tasks(&self, now: Micros) -> bool {
        !self.health.is_cordoned() && self.accepts_tasks_as_last_resort(now)
    }

    /// Whether it may get a new task if no other machine can take it.
    pub fn accepts_tasks_as_last_resort(&self, now: Micros) -> bool {
        self.ready
            && !self.being_deleted
            && self.interrupted_at.is_none()
            && self.unexpected.is_empty()
            && now >= self.health.blocked_until()
    }

    /// A newer periodic heartbeat came. Returns whether the machine may have become
    /// reachable by it. Times are in microseconds: `missed_after` is the silence by which
    /// a heartbeat has been missed, `proof_after` the longest that a lease takes to show
    /// that replies arrive.
    ///
    /// A worker that had no reply to a heartbeat waits for it, and pauses, before the
    /// next: one that comes sooner shows that the reply to the last has arrived. So does an
    /// incarnation that goes on for longer than a lease. Over a slow link the replies to
    /// commands may be late for ever, and those to heartbeats are not.
    pub fn heartbeat_received(
        &mut self,
        now: Micros,
        new_incarnation: bool,
        proof_after: Micros,
        missed_after: Micros,
    ) -> bool {
        let update =
            self.reachability
                .record_heartbeat(now, new_incarnation, proof_after, missed_after);
        if update.needs_probe {
            // To ask costs less than to wait for that.
            self.command_state.request_probe();
        }
        update.may_have_recovered
    }

    /// Frees all slots, since the machine is gone.
    pub fn take_lost_tasks(&mut self, end: MachineEnd) -> Vec<TaskEvent> {
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
