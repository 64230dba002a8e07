//! A simulated worker: the agent of one machine.

use crate::rules::MachineAttributes;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};
use std::collections::BTreeMap;

/// A machine counts as reachable this long after it sent its last answered heartbeat.
const REACHABLE_WINDOW: Micros = 8 * SECOND;
/// A heartbeat without an answer after this time counts as lost.
pub const HEARTBEAT_TIMEOUT: Micros = 4 * SECOND;

/// A task attempt on the machine.
#[derive(Debug, Clone)]
struct Attempt {
    state: TaskState,
    exit_reason: Option<ExitReason>,
    /// When the image will have been fetched or, for a running attempt, when the run ends.
    until: Option<Micros>,
    cpus: f64,
    gpus: f64,
}

/// A start or an end of a task on a machine, for the checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    Started { task: TaskName, attempt: u64 },
    Ended { task: TaskName, done: bool },
}

/// How the tasks of a job behave: how long each runs and whether it fails.
#[derive(Debug, Clone)]
pub struct TaskBehaviour {
    pub spec: JobSpec,
    pub run_time: Micros,
    pub fails: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub place: MachineAttributes,
    cpus: f64,
    gpus: f64,
    pub incarnation: u64,
    last_sequence: u64,
    /// Latest fencing token received.
    fencing_token: u64,
    /// Attempts by task and attempt number.
    attempts: BTreeMap<(TaskName, u64), Attempt>,
    /// When the last answered heartbeat was sent, or the incarnation began.
    lease_start: Micros,
    pub next_heartbeat_at: Micros,
    /// The controller that receives its heartbeats.
    pub node: usize,
    /// Incarnation, sequence number and send time of the unanswered heartbeat, if any.
    pub unanswered_heartbeat: Option<(u64, u64, Micros)>,
    /// The machine executes nothing until this time.
    pub hung_until: Micros,
    /// All messages to the machine are lost until this time.
    pub inbound_lost_until: Micros,
    /// The machine cannot connect to any controller until this time.
    pub heartbeats_lost_until: Micros,
    /// Messages to the machine are slow until this time.
    pub slow_link_until: Micros,
    /// When the cloud provider will preempt the instance, once that is announced.
    pub preemption_at: Option<Micros>,
    /// Every task that starts here fails.
    pub faulty: bool,
}

impl Worker {
    pub fn new(place: MachineAttributes, cpus: f64, gpus: f64, now: Micros, node: usize) -> Self {
        Worker {
            name: place.machine.clone(),
            place,
            cpus,
            gpus,
            incarnation: 1,
            last_sequence: 0,
            fencing_token: 0,
            attempts: BTreeMap::new(),
            lease_start: now,
            next_heartbeat_at: now,
            node,
            unanswered_heartbeat: None,
            hung_until: 0,
            inbound_lost_until: 0,
            heartbeats_lost_until: 0,
            slow_link_until: 0,
            preemption_at: None,
            faulty: false,
        }
    }

    pub fn heartbeat(&mut self, now: Micros) -> Heartbeat {
        self.last_sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: format!("{}:9000", self.name),
            machine_type: self.place.machine_type.clone(),
            zone: self.place.zone.clone(),
            spot: self.place.spot,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            fencing_token: self.fencing_token,
            interruption_notice_s: self
                .preemption_at
                .map(|at| at.saturating_sub(now) as f64 / SECOND as f64),
            tasks: self
                .attempts
                .iter()
                .map(|((task, number), attempt)| TaskStatus {
                    task: task.clone(),
                    attempt: *number,
                    state: attempt.state,
                    reason: attempt.exit_reason,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    /// Adds a task that has been running here for some time.
    pub fn add_running_task(
        &mut self,
        task: TaskName,
        attempt: u64,
        until: Option<Micros>,
        cpus: f64,
    ) {
        let running = Attempt {
            state: TaskState::Running,
            exit_reason: None,
            until,
            cpus,
            gpus: 0.0,
        };
        self.attempts.insert((task, attempt), running);
    }

    /// Time of the next event on the machine, unless a message arrives before.
    pub fn next_event_at(&self) -> Micros {
        let task_events = self.attempts.values().filter_map(|a| a.until);
        let timeout = self
            .unanswered_heartbeat
            .map(|(_, _, sent)| sent + HEARTBEAT_TIMEOUT);
        let heartbeat = timeout.unwrap_or(self.next_heartbeat_at);
        task_events.min().map_or(heartbeat, |at| at.min(heartbeat))
    }

    /// When the worker's lease expires and its incarnation ends if no further heartbeat is
    /// answered.
    pub fn lease_expires_at(&self, lease: Micros) -> Micros {
        self.lease_start + lease
    }

    /// Sends the next heartbeat within half a second.
    fn expedite_heartbeat(&mut self, now: Micros) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + SECOND / 2);
    }

    /// Advances to the given time: images are fetched, tasks end, the lease may expire.
    pub fn advance(
        &mut self,
        now: Micros,
        lease: Micros,
        behaviours: &BTreeMap<String, TaskBehaviour>,
    ) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        // A hung machine does not execute its tasks, but its lease still expires.
        if now > self.lease_start + lease {
            events.extend(self.kill());
            self.incarnation += 1;
            self.lease_start = now;
            self.unanswered_heartbeat = None;
            self.expedite_heartbeat(now);
            return events;
        }
        if now < self.hung_until {
            return events;
        }
        let faulty = self.faulty;
        let mut changed = false;
        for ((task, number), attempt) in &mut self.attempts {
            while attempt.until.is_some_and(|at| now >= at) {
                changed = true;
                let behaviour = behaviours.get(&task.job);
                match attempt.state {
                    TaskState::Downloading => {
                        events.push(WorkerEvent::Started {
                            task: task.clone(),
                            attempt: *number,
                        });
                        attempt.state = TaskState::Running;
                        let fails = faulty || behaviour.is_some_and(|b| b.fails);
                        attempt.until = match behaviour {
                            _ if fails => Some(now + SECOND / 5),
                            Some(b) if b.spec.kind == JobKind::Batch => Some(now + b.run_time),
                            _ => None,
                        };
                        if fails {
                            attempt.exit_reason = Some(ExitReason::Error);
                        }
                    }
                    _ => {
                        let done = attempt.exit_reason.is_none();
                        attempt.exit_reason.get_or_insert(ExitReason::Done);
                        attempt.state = TaskState::Exited;
                        attempt.until = None;
                        events.push(WorkerEvent::Ended {
                            task: task.clone(),
                            done,
                        });
                    }
                }
            }
        }
        if changed {
            self.expedite_heartbeat(now);
        }
        events
    }

    /// Removes all attempts on the machine. Returns an event for each running one.
    pub fn kill(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.attempts)
            .into_iter()
            .filter(|(_, attempt)| attempt.state == TaskState::Running)
            .map(|((task, _), _)| WorkerEvent::Ended { task, done: false })
            .collect()
    }

    /// Handles the answer to the heartbeat that `incarnation` sent at `sent`.
    pub fn heartbeat_answered(
        &mut self,
        answer: &HeartbeatReply,
        incarnation: u64,
        sent: Micros,
        now: Micros,
        behaviours: &BTreeMap<String, TaskBehaviour>,
    ) -> Vec<WorkerEvent> {
        if answer.fencing_token < self.fencing_token || incarnation != self.incarnation {
            return Vec::new();
        }
        if answer.fencing_token > self.fencing_token {
            self.fencing_token = answer.fencing_token;
            self.expedite_heartbeat(now);
        }
        self.lease_start = self.lease_start.max(sent);
        self.execute(&answer.commands, now, behaviours)
    }

    /// Handles commands sent to the worker. Returns the HTTP status, the heartbeat that is
    /// the answer, and the events.
    pub fn handle_commands(
        &mut self,
        batch: &CommandBatch,
        now: Micros,
        behaviours: &BTreeMap<String, TaskBehaviour>,
    ) -> (u16, Heartbeat, Vec<WorkerEvent>) {
        if batch.fencing_token < self.fencing_token || batch.incarnation != self.incarnation {
            return (409, self.heartbeat(now), Vec::new());
        }
        self.fencing_token = batch.fencing_token;
        let events = self.execute(&batch.commands, now, behaviours);
        (200, self.heartbeat(now), events)
    }

    fn execute(
        &mut self,
        commands: &[Command],
        now: Micros,
        behaviours: &BTreeMap<String, TaskBehaviour>,
    ) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        for c in commands {
            match c {
                Command::Launch { task, attempt } => self.launch(task, *attempt, now, behaviours),
                Command::Stop { task, attempt, .. } => {
                    if let Some(stopped) = self.attempts.get_mut(&(task.clone(), *attempt))
                        && stopped.state != TaskState::Exited
                    {
                        if stopped.state == TaskState::Running {
                            events.push(WorkerEvent::Ended {
                                task: task.clone(),
                                done: false,
                            });
                        }
                        stopped.state = TaskState::Exited;
                        stopped.exit_reason = Some(ExitReason::Stopped);
                        stopped.until = None;
                    }
                }
                Command::Reap { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self
                        .attempts
                        .get(&key)
                        .is_some_and(|a| a.state == TaskState::Exited)
                    {
                        self.attempts.remove(&key);
                    }
                }
            }
        }
        if !commands.is_empty() {
            self.expedite_heartbeat(now);
        }
        events
    }

    /// Tasks with an attempt that has not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &TaskName> {
        let live = self
            .attempts
            .iter()
            .filter(|(_, a)| a.state != TaskState::Exited);
        live.map(|((task, _), _)| task)
    }

    /// Whether the machine is reachable, neither hung nor faulty, and not about to be
    /// preempted.
    pub fn accepts_tasks(&self, now: Micros) -> bool {
        let fault_ends = [
            self.hung_until,
            self.inbound_lost_until,
            self.heartbeats_lost_until,
        ];
        fault_ends.iter().all(|until| now >= *until)
            && !self.faulty
            && self.preemption_at.is_none()
            && self.lease_start + REACHABLE_WINDOW >= now
    }

    /// CPUs and GPUs that no live task uses.
    pub fn free_resources(&self) -> (f64, f64) {
        let live = self
            .attempts
            .values()
            .filter(|a| a.state != TaskState::Exited);
        live.fold((self.cpus, self.gpus), |(cpus, gpus), a| {
            (cpus - a.cpus, gpus - a.gpus)
        })
    }

    fn launch(
        &mut self,
        task: &TaskName,
        attempt: u64,
        now: Micros,
        behaviours: &BTreeMap<String, TaskBehaviour>,
    ) {
        let key = (task.clone(), attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let live = |a: &Attempt| a.state != TaskState::Exited;
        let (free_cpus, free_gpus) = self.free_resources();
        let other_attempt = self.attempts.iter().any(|((t, _), a)| t == task && live(a));
        let behaviour = behaviours.get(&task.job);
        let (cpus, gpus) = behaviour.map_or((0.0, 0.0), |b| (b.spec.cpus, b.spec.gpus));
        let rejection = if behaviour.is_none() {
            Some(ExitReason::UnknownTask)
        } else if other_attempt {
            Some(ExitReason::OtherAttemptPresent)
        } else if cpus > free_cpus + 1e-6 || gpus > free_gpus + 1e-6 {
            Some(ExitReason::InsufficientResources)
        } else {
            None
        };
        let started = match rejection {
            Some(reason) => Attempt {
                state: TaskState::Exited,
                exit_reason: Some(reason),
                until: None,
                cpus: 0.0,
                gpus: 0.0,
            },
            None => Attempt {
                state: TaskState::Downloading,
                exit_reason: None,
                until: Some(now + SECOND / 2),
                cpus,
                gpus,
            },
        };
        self.attempts.insert(key, started);
    }
}
