//! What may be on each machine.
//!
//! A placed task occupies its slot until there is proof that it is gone: a
//! newer report under this term's seal that shows it exited, or absent with no
//! launch that could still be carried out; a later session; or the machine's
//! end. Silence proves nothing.

use crate::failure_attribution::MachineStrikes;
use crate::sched::{Images, Resources, SlabIndex};
use crate::time::WORKER_FAILOVER_TIMEOUT;
use crate::{CallId, Micros, micros};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{Command, ExitReason, Heartbeat, TaskState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub use crate::task_key::TaskKey;

#[derive(Debug, Clone)]
pub struct TaskSlot {
    pub attempt: u64,
    pub incarnation: u64,
    pub resources: Resources,
    /// A replica of a service.
    pub service: bool,
    /// It takes room that was kept for services.
    pub uses_service_headroom: bool,
    /// The number of its job, for estimates: a job that has gone gives it on.
    pub job: SlabIndex,
    /// The placement is in the store; before that nothing is sent.
    pub stored: bool,
    /// Its job is cancelled: it is to be stopped, and never launched.
    pub cancelled: bool,
    /// It makes room for a replica: it is to be stopped, to run elsewhere.
    pub preempted: bool,
    pub seen: Option<TaskState>,
    pub running_since: Option<Micros>,
    /// The whole run was watched, so its time may be learned from.
    pub watched: bool,
    /// The report whose answer last held its launch.
    launched_in: Option<(u64, u64)>,
}

/// A launch that was sent and not answered may be carried out minutes later.
pub type LaunchId = (TaskName, u64);

#[derive(Debug)]
pub struct CommandsInFlight {
    pub id: CallId,
    launches: Vec<LaunchId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// A report that the worker sent by itself, one at a time.
    Checkin,
    /// The answer to orders.
    Orders,
}

/// What a report has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    Running(TaskKey),
    Exited {
        task: TaskKey,
        attempt: u64,
        reason: ExitReason,
        ran: Option<Micros>,
    },
    /// Gone without a result: a later session, or absent by proof.
    Lost {
        task: TaskKey,
        attempt: u64,
        reason: &'static str,
    },
}

/// Images of a machine that are remembered.
const MAX_IMAGES: usize = 32;

#[derive(Debug)]
pub struct Machine {
    pub name: Rc<str>,
    pub addr: Option<String>,
    pub machine_type: Rc<str>,
    pub zone: Rc<str>,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    /// It has reported under this term's seal.
    pub ready: bool,
    /// It has reported at all, so it is up.
    pub up: bool,
    /// Known from this leader's own rental, so it counts as capacity to come.
    pub expected: bool,
    pub known_since: Micros,
    pub heard_at: Micros,
    /// When its last own report came. Only the answers to these renew its lease: a machine
    /// that answers orders alone is about to lose all that is on it.
    pub reported_at: Micros,
    /// Since when it is not known to hear: orders had no answer, and nothing has shown
    /// since that any message reaches it.
    pub unresponsive_since: Option<Micros>,
    pub interrupted_at: Option<Micros>,
    /// Being returned: takes no more tasks.
    pub leaving: bool,
    /// Takes no more tasks, but as a last resort, and is returned when empty.
    pub cordoned: bool,
    pub blocked_until: Micros,
    pub slots: BTreeMap<TaskKey, TaskSlot>,
    /// Exited tasks of the latest report.
    pub exited: Vec<(TaskName, u64)>,
    /// Tasks of the latest report that nobody placed there.
    pub strays: Vec<(TaskName, u64)>,
    pub commands_in_flight: Option<CommandsInFlight>,
    pub next_command_at: Micros,
    pub needs_command: bool,
    /// Missed its report: asked by empty orders whether it is there at all.
    pub probe: bool,
    /// Launches that may still be carried out in this session.
    unanswered: BTreeSet<LaunchId>,
    /// Images that were used here, the latest last.
    pub images: Images,
    pub empty_since: Micros,
    /// Jobs that failed here: they try another machine.
    pub error_jobs: BTreeSet<Rc<str>>,
    pub strikes: MachineStrikes,
    pub recorded: bool,
}

impl Machine {
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, now: Micros) -> Self {
        Machine {
            name: name.into(),
            addr: None,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            sequence: 0,
            ready: false,
            up: false,
            expected: false,
            known_since: now,
            heard_at: now,
            reported_at: now,
            unresponsive_since: None,
            interrupted_at: None,
            leaving: false,
            cordoned: false,
            blocked_until: 0,
            slots: BTreeMap::new(),
            exited: Vec::new(),
            strays: Vec::new(),
            commands_in_flight: None,
            next_command_at: 0,
            needs_command: false,
            probe: false,
            unanswered: BTreeSet::new(),
            images: Images::default(),
            empty_since: now,
            error_jobs: BTreeSet::new(),
            strikes: MachineStrikes::default(),
            recorded: false,
        }
    }

    /// Takes over what a report or a listing says the machine is.
    pub fn describe(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if *self.machine_type != *machine_type {
            self.machine_type = Rc::from(machine_type);
        }
        if *self.zone != *zone {
            self.zone = Rc::from(zone);
        }
        self.spot = spot;
    }

    /// Puts a task here. The worker keeps the images that it used most recently,
    /// as many as fit its cache; `cache_gb` is what may be counted on.
    pub fn place(&mut self, task: TaskKey, slot: TaskSlot, image: (&Rc<str>, f64), cache_gb: f64) {
        self.slots.insert(task, slot);
        let images = Rc::make_mut(&mut self.images);
        images.retain(|(i, _)| i != image.0);
        images.push((image.0.clone(), image.1));
        let mut total: f64 = images.iter().map(|(_, gb)| gb).sum();
        let mut first = 0;
        while first + 1 < images.len() && (total > cache_gb || images.len() - first > MAX_IMAGES) {
            total -= images[first].1;
            first += 1;
        }
        images.drain(..first);
    }

    pub fn slot(
        attempt: u64,
        incarnation: u64,
        (job, spec): (SlabIndex, &JobSpec),
        stored: bool,
    ) -> TaskSlot {
        TaskSlot {
            attempt,
            incarnation,
            resources: Resources::of_task(spec),
            service: spec.kind == JobKind::Service,
            uses_service_headroom: false,
            job,
            stored,
            cancelled: false,
            preempted: false,
            seen: None,
            running_since: None,
            watched: !stored,
            launched_in: None,
        }
    }

    pub fn free(&self, total: Resources) -> Resources {
        let mut free = total;
        for slot in self.slots.values() {
            free.subtract(&slot.resources);
        }
        free
    }

    /// May take a new task.
    pub fn accepts_tasks(&self, now: Micros) -> bool {
        !self.cordoned && self.accepts_tasks_as_last_resort(now)
    }

    /// May take a new task if there is no other place for it.
    pub fn accepts_tasks_as_last_resort(&self, now: Micros) -> bool {
        self.ready
            && !self.leaving
            && self.interrupted_at.is_none()
            && self.strays.is_empty()
            && now >= self.blocked_until
    }

    /// Whether what is sent to it arrives, as far as is known. `missing` is when it has
    /// missed a report.
    pub fn is_reachable(&self, now: Micros, missing: Micros) -> bool {
        now < self.heard_at + missing && self.unresponsive_since.is_none()
    }

    /// Whether it is in touch both ways, so that a task placed there now is launched and
    /// keeps its lease. `missing` is when it has missed a report.
    pub fn is_reachable_both_ways(&self, now: Micros, missing: Micros) -> bool {
        now < self.reported_at + missing && self.unresponsive_since.is_none()
    }

    /// Whether it has been out of touch for so long.
    pub fn unreachable_for(&self, now: Micros, time: Micros) -> bool {
        let since = self.unresponsive_since.unwrap_or(Micros::MAX);
        now >= self.reported_at.min(since).saturating_add(time)
    }

    /// It has sent a newer report by itself; true if it may be in touch again. With `new`
    /// a session begins.
    ///
    /// One that had no answer to a report waits for it, and pauses, before the next: one
    /// that comes sooner shows that the answer to the last was heard. So does a session
    /// that goes on for longer than a lease, `heard_by` being the longest that this takes
    /// to show. Over a slow link orders may be late for ever, and answers are not.
    pub fn heartbeat_received(
        &mut self,
        now: Micros,
        new: bool,
        heard_by: Micros,
        missing: Micros,
    ) -> bool {
        let last = std::mem::replace(&mut self.reported_at, now);
        let late = now >= last + missing;
        let answered = |since| last >= since && now < last + WORKER_FAILOVER_TIMEOUT;
        match self.unresponsive_since {
            Some(_) if new => self.unresponsive_since = Some(now),
            Some(since) if answered(since) || now >= since + heard_by => {
                self.unresponsive_since = None;
            }
            Some(_) => {
                // To be asked costs less than to wait for that.
                self.probe = true;
                self.needs_command = true;
                return late;
            }
            None => return late,
        }
        true
    }

    /// Removes a slot by proof from outside, such as the machine's end.
    pub fn take_lost_tasks(&mut self, why: &'static str) -> Vec<TaskEvent> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .map(|(task, slot)| TaskEvent::Lost {
                task,
                attempt: slot.attempt,
                reason: why,
            })
            .collect()
    }

    fn is_launch_in_flight(&self, launch: &LaunchId) -> bool {
        self.commands_in_flight
            .as_ref()
            .is_some_and(|p| p.launches.contains(launch))
    }

    /// Takes a report in. Nothing but a newer one changes anything.
    pub fn apply_heartbeat(
        &mut self,
        r: &Heartbeat,
        source: HeartbeatSource,
        term: u64,
        now: Micros,
    ) -> Vec<TaskEvent> {
        let mut events = Vec::new();
        // Of a machine that has yet to report to this leader a stored placement may tell
        // the session: a report of one before is old, though it is the first to come.
        let older = match self.up {
            true => (r.incarnation, r.sequence) <= (self.incarnation, self.sequence),
            false => r.incarnation < self.incarnation,
        };
        if older {
            return events;
        }
        if r.incarnation > self.incarnation || !self.up {
            // Everything of earlier sessions is killed and forgotten, and
            // orders for them are refused.
            self.unanswered.clear();
            let old: Vec<TaskKey> = self
                .slots
                .iter()
                .filter(|(_, s)| s.incarnation < r.incarnation)
                .map(|(k, _)| k.clone())
                .collect();
            for task in old {
                if let Some(slot) = self.slots.remove(&task) {
                    events.push(TaskEvent::Lost {
                        task,
                        attempt: slot.attempt,
                        reason: "a later session has begun",
                    });
                }
            }
        }
        self.up = true;
        self.incarnation = r.incarnation;
        self.sequence = r.sequence;
        self.heard_at = now;
        if !r.addr.is_empty() {
            self.addr = Some(r.addr.clone());
        }
        self.interrupted_at = r
            .interruption_notice_s
            .filter(|s| s.is_finite())
            .map(|s| now + micros(s));
        if r.fencing_token != term {
            // Commands of an earlier leader may still be carried out: the list
            // is no proof yet.
            return events;
        }
        self.ready = true;
        self.exited.clear();
        self.strays.clear();
        let mut present = BTreeSet::new();
        for t in &r.tasks {
            let key: TaskKey = (Rc::from(t.task.job.as_str()), t.task.index);
            let launch = (t.task.clone(), t.attempt);
            let own = self.slots.get(&key).is_some_and(|s| s.attempt == t.attempt);
            if t.state == TaskState::Exited {
                self.exited.push(launch);
                if own && let Some(slot) = self.slots.remove(&key) {
                    events.push(TaskEvent::Exited {
                        task: key,
                        attempt: t.attempt,
                        reason: t.reason.unwrap_or(ExitReason::Other),
                        ran: slot
                            .running_since
                            .filter(|_| slot.watched)
                            .map(|since| now.saturating_sub(since)),
                    });
                }
            } else if own {
                if let Some(slot) = self.slots.get_mut(&key) {
                    if t.state == TaskState::Running && slot.seen != Some(TaskState::Running) {
                        slot.running_since = Some(now);
                        events.push(TaskEvent::Running(key.clone()));
                    }
                    slot.seen = Some(t.state);
                }
                present.insert(key);
            } else {
                self.strays.push(launch);
            }
        }
        // Absent: proof only if no launch can still be carried out. A launch in
        // an answer is dropped or done by the time of the next check-in, since
        // a worker has one under way at a time.
        let gone: Vec<TaskKey> = self
            .slots
            .iter()
            .filter(|(key, s)| {
                let launch = (name(key), s.attempt);
                !present.contains(*key)
                    && s.stored
                    && (s.cancelled || s.seen.is_some())
                    && !self.unanswered.contains(&launch)
                    && !self.is_launch_in_flight(&launch)
                    && s.launched_in.is_none_or(|at| {
                        source == HeartbeatSource::Checkin && (r.incarnation, r.sequence) > at
                    })
            })
            .map(|(k, _)| k.clone())
            .collect();
        for task in gone {
            if let Some(slot) = self.slots.remove(&task) {
                events.push(TaskEvent::Lost {
                    task,
                    attempt: slot.attempt,
                    reason: "absent from a newer report",
                });
            }
        }
        if !self.slots.is_empty() {
            self.empty_since = now;
        }
        events
    }

    /// The commands that the machine needs, worked out anew each time, so that
    /// a lost message needs no account of its own. `is_end_stored` tells whether the
    /// end of an exited attempt is in the store. Without leave for what is `lasting`
    /// nothing is stopped to run elsewhere.
    pub fn commands(
        &self,
        lasting: bool,
        settled: impl Fn(&TaskName, u64) -> bool,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (task, attempt) in &self.exited {
            let launch = (task.clone(), *attempt);
            // After a reap the worker would start a late launch of the same
            // attempt again, so it keeps what may still be launched.
            if settled(task, *attempt)
                && !self.unanswered.contains(&launch)
                && !self.is_launch_in_flight(&launch)
            {
                commands.push(Command::Reap {
                    task: task.clone(),
                    attempt: *attempt,
                });
            }
        }
        for (task, attempt) in &self.strays {
            commands.push(Command::Stop {
                task: task.clone(),
                attempt: *attempt,
                grace_s: 0,
            });
        }
        commands.extend(self.cancelled());
        for (key, slot) in &self.slots {
            if slot.incarnation != self.incarnation || !slot.stored {
                continue;
            }
            if slot.cancelled {
                continue;
            }
            if slot.preempted {
                if slot.seen.is_some() && lasting {
                    commands.push(stop(key, slot));
                }
            } else if slot.seen.is_none() && !self.is_launch_in_flight(&(name(key), slot.attempt)) {
                commands.push(Command::Launch {
                    task: name(key),
                    attempt: slot.attempt,
                });
            }
        }
        commands
    }

    /// The stops of cancelled tasks that were seen here.
    pub fn cancelled(&self) -> impl Iterator<Item = Command> {
        let here = |s: &TaskSlot| s.incarnation == self.incarnation && s.stored && s.seen.is_some();
        let slots = self.slots.iter();
        let cancelled = slots.filter(move |(_, s)| s.cancelled && here(s));
        cancelled.map(|(key, slot)| stop(key, slot))
    }

    /// Notes which launches went out in the answer to the latest report.
    pub fn record_reply_launches(&mut self, commands: &[Command]) {
        let at = (self.incarnation, self.sequence);
        for c in commands {
            if let Command::Launch { task, attempt } = c
                && let Some(slot) = self
                    .slots
                    .get_mut(&(Rc::from(task.job.as_str()), task.index))
                && slot.attempt == *attempt
            {
                slot.launched_in = Some(at);
            }
        }
    }

    pub fn commands_sent(&mut self, id: CallId, commands: &[Command]) {
        let launches = commands
            .iter()
            .filter_map(|c| match c {
                Command::Launch { task, attempt } => Some((task.clone(), *attempt)),
                _ => None,
            })
            .collect();
        self.commands_in_flight = Some(CommandsInFlight { id, launches });
    }

    /// Ends the push under way. Without an answer its launches may still come.
    pub fn commands_finished(&mut self, id: CallId, unanswered: bool) {
        if self.commands_in_flight.as_ref().is_some_and(|p| p.id == id)
            && let Some(push) = self.commands_in_flight.take()
            && unanswered
        {
            self.unanswered.extend(push.launches);
        }
    }
}

fn stop(key: &TaskKey, slot: &TaskSlot) -> Command {
    Command::Stop {
        task: name(key),
        attempt: slot.attempt,
        grace_s: 0,
    }
}

pub fn name(key: &TaskKey) -> TaskName {
    TaskName {
        job: key.0.to_string(),
        index: key.1,
    }
}
