//! A stand-in for a worker.

use crate::rules::MachineIdentity;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};
use std::collections::BTreeMap;

/// A machine reports that had a report answered so short a while ago.
const HEARD: Micros = 8 * SECOND;
/// How long a report may wait for its answer.
pub const PATIENCE: Micros = 4 * SECOND;

#[derive(Debug, Clone)]
struct Running {
    state: TaskState,
    why: Option<ExitReason>,
    /// When the image is there, or the run ends.
    until: Option<Micros>,
    cpus: f64,
    gpus: f64,
}

/// What happens on a machine, for the checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    Starts(TaskName),
    Leaves { task: TaskName, done: bool },
}

/// What a worker knows of a job: its description, how long a task runs, and
/// whether it fails.
#[derive(Debug, Clone)]
pub struct TaskBehaviour {
    pub spec: JobSpec,
    pub run: Micros,
    pub fails: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub place: MachineIdentity,
    cpus: f64,
    gpus: f64,
    pub session: u64,
    seq: u64,
    token: u64,
    tasks: BTreeMap<(TaskName, u64), Running>,
    /// When the last answered report was sent, or the session began.
    leased_from: Micros,
    pub report_at: Micros,
    pub node: usize,
    /// The report under way: its number and when it was sent.
    pub under_way: Option<(u64, u64, Micros)>,
    pub hung_until: Micros,
    /// Until then answers and orders to it are lost.
    pub deaf_until: Micros,
    /// Until then it reaches no node.
    pub mute_until: Micros,
    pub recall_at: Option<Micros>,
    pub faulty: bool,
}

impl Worker {
    pub fn new(place: MachineIdentity, cpus: f64, gpus: f64, now: Micros, node: usize) -> Self {
        Worker {
            name: place.machine.clone(),
            place,
            cpus,
            gpus,
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            leased_from: now,
            report_at: now,
            node,
            under_way: None,
            hung_until: 0,
            deaf_until: 0,
            mute_until: 0,
            recall_at: None,
            faulty: false,
        }
    }

    pub fn report(&mut self, now: Micros) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: format!("{}:9000", self.name),
            machine_type: self.place.machine_type.clone(),
            zone: self.place.zone.clone(),
            spot: self.place.spot,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            interruption_notice_s: self
                .recall_at
                .map(|at| at.saturating_sub(now) as f64 / SECOND as f64),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), r)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: r.state,
                    reason: r.why,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    /// Puts a task here that has been running for a while.
    pub fn seat(&mut self, task: TaskName, attempt: u64, until: Option<Micros>, cpus: f64) {
        let running = Running {
            state: TaskState::Running,
            why: None,
            until,
            cpus,
            gpus: 0.0,
        };
        self.tasks.insert((task, attempt), running);
    }

    /// When something happens here next, unless a message comes first.
    pub fn next_at(&self) -> Micros {
        let ends = self.tasks.values().filter_map(|r| r.until);
        let patience = self.under_way.map(|(_, _, sent)| sent + PATIENCE);
        let report = patience.unwrap_or(self.report_at);
        ends.min().map_or(report, |end| end.min(report))
    }

    /// When its session ends, if nothing more is answered.
    pub fn leased_until(&self, lease: Micros) -> Micros {
        self.leased_from + lease
    }

    fn soon(&mut self, now: Micros) {
        self.report_at = self.report_at.min(now + SECOND / 2);
    }

    /// Time passes: images arrive, runs end, the lease may run out.
    pub fn pass(
        &mut self,
        now: Micros,
        lease: Micros,
        jobs: &BTreeMap<String, TaskBehaviour>,
    ) -> Vec<WorkerEvent> {
        let mut happenings = Vec::new();
        // A hanging machine does not execute its tasks, but its lease runs.
        if now > self.leased_from + lease {
            happenings.extend(self.kill());
            self.session += 1;
            self.leased_from = now;
            self.under_way = None;
            self.soon(now);
            return happenings;
        }
        if now < self.hung_until {
            return happenings;
        }
        let faulty = self.faulty;
        let mut changed = false;
        for ((task, _), r) in &mut self.tasks {
            while r.until.is_some_and(|at| now >= at) {
                changed = true;
                let play = jobs.get(&task.job);
                match r.state {
                    TaskState::Downloading => {
                        happenings.push(WorkerEvent::Starts(task.clone()));
                        r.state = TaskState::Running;
                        let fails = faulty || play.is_some_and(|p| p.fails);
                        r.until = match play {
                            _ if fails => Some(now + SECOND / 5),
                            Some(p) if p.spec.kind == JobKind::Batch => Some(now + p.run),
                            _ => None,
                        };
                        if fails {
                            r.why = Some(ExitReason::Error);
                        }
                    }
                    _ => {
                        let done = r.why.is_none();
                        r.why.get_or_insert(ExitReason::Done);
                        r.state = TaskState::Exited;
                        r.until = None;
                        happenings.push(WorkerEvent::Leaves {
                            task: task.clone(),
                            done,
                        });
                    }
                }
            }
        }
        if changed {
            self.soon(now);
        }
        happenings
    }

    /// Everything on the machine ends at once.
    pub fn kill(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.tasks)
            .into_iter()
            .filter(|(_, r)| r.state == TaskState::Running)
            .map(|((task, _), _)| WorkerEvent::Leaves { task, done: false })
            .collect()
    }

    /// The answer to a report that was sent at `sent` in `incarnation`.
    pub fn answered(
        &mut self,
        answer: &HeartbeatReply,
        session: u64,
        sent: Micros,
        now: Micros,
        jobs: &BTreeMap<String, TaskBehaviour>,
    ) -> Vec<WorkerEvent> {
        if answer.fencing_token < self.token || session != self.session {
            return Vec::new();
        }
        if answer.fencing_token > self.token {
            self.token = answer.fencing_token;
            self.soon(now);
        }
        self.leased_from = self.leased_from.max(sent);
        self.carry_out(&answer.commands, now, jobs)
    }

    /// Orders sent straight to the worker: status, report and happenings.
    pub fn orders(
        &mut self,
        orders: &CommandBatch,
        now: Micros,
        jobs: &BTreeMap<String, TaskBehaviour>,
    ) -> (u16, Heartbeat, Vec<WorkerEvent>) {
        if orders.fencing_token < self.token || orders.incarnation != self.session {
            return (409, self.report(now), Vec::new());
        }
        self.token = orders.fencing_token;
        let happenings = self.carry_out(&orders.commands, now, jobs);
        (200, self.report(now), happenings)
    }

    fn carry_out(
        &mut self,
        commands: &[Command],
        now: Micros,
        jobs: &BTreeMap<String, TaskBehaviour>,
    ) -> Vec<WorkerEvent> {
        let mut happenings = Vec::new();
        for c in commands {
            match c {
                Command::Launch { task, attempt } => self.start(task, *attempt, now, jobs),
                Command::Stop { task, attempt, .. } => {
                    if let Some(r) = self.tasks.get_mut(&(task.clone(), *attempt))
                        && r.state != TaskState::Exited
                    {
                        if r.state == TaskState::Running {
                            happenings.push(WorkerEvent::Leaves {
                                task: task.clone(),
                                done: false,
                            });
                        }
                        r.state = TaskState::Exited;
                        r.why = Some(ExitReason::Stopped);
                        r.until = None;
                    }
                }
                Command::Reap { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|r| r.state == TaskState::Exited)
                    {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        if !commands.is_empty() {
            self.soon(now);
        }
        happenings
    }

    /// Tasks that run, fetch their image or save.
    pub fn live(&self) -> impl Iterator<Item = &TaskName> {
        let live = self
            .tasks
            .iter()
            .filter(|(_, r)| r.state != TaskState::Exited);
        live.map(|((task, _), _)| task)
    }

    /// Whether it is up, reports, and is not about to be taken.
    pub fn takes(&self, now: Micros) -> bool {
        let troubled = [self.hung_until, self.deaf_until, self.mute_until];
        troubled.iter().all(|until| now >= *until)
            && !self.faulty
            && self.recall_at.is_none()
            && self.leased_from + HEARD >= now
    }

    /// CPUs and GPUs that no task takes.
    pub fn free(&self) -> (f64, f64) {
        let live = self.tasks.values().filter(|r| r.state != TaskState::Exited);
        live.fold((self.cpus, self.gpus), |(cpus, gpus), r| {
            (cpus - r.cpus, gpus - r.gpus)
        })
    }

    fn start(
        &mut self,
        task: &TaskName,
        attempt: u64,
        now: Micros,
        jobs: &BTreeMap<String, TaskBehaviour>,
    ) {
        let key = (task.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let live = |r: &Running| r.state != TaskState::Exited;
        let (free_cpus, free_gpus) = self.free();
        let busy = self.tasks.iter().any(|((t, _), r)| t == task && live(r));
        let play = jobs.get(&task.job);
        let (cpus, gpus) = play.map_or((0.0, 0.0), |p| (p.spec.cpus, p.spec.gpus));
        let refused = if play.is_none() {
            Some(ExitReason::UnknownTask)
        } else if busy {
            Some(ExitReason::OtherAttemptPresent)
        } else if cpus > free_cpus + 1e-6 || gpus > free_gpus + 1e-6 {
            Some(ExitReason::InsufficientResources)
        } else {
            None
        };
        let running = match refused {
            Some(why) => Running {
                state: TaskState::Exited,
                why: Some(why),
                until: None,
                cpus: 0.0,
                gpus: 0.0,
            },
            None => Running {
                state: TaskState::Downloading,
                why: None,
                until: Some(now + SECOND / 2),
                cpus,
                gpus,
            },
        };
        self.tasks.insert(key, running);
    }
}
