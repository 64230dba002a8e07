//! The leader of a term: jobs, machines, and everything done for them.

use crate::calls::{CallError, Ctx, Waiter};
use crate::fleet::{self, Desk, Errand, Refusals, Rental};
use crate::ledger::{Batch, Item, Ledger};
use crate::sched::{self, JobView, MachineView, Room, TeamView};
use crate::store::{self, CancelledJob, Chunk, JobMark, MachineRecord, Mark, OpenJob};
use crate::workers::{Machine, SlotEvent, Source, TaskKey};
use crate::{Answer, CallId, Config, MILLISECOND, Micros, SECOND, micros, seconds};
use dillcleat_mesh::Progress;
use dillcleat_wire::TaskName;
use dillcleat_wire::cloud::{CloudReply, Condition, MachineList, MachineType, Rent};
use dillcleat_wire::state::{self, Change, Event, Page, Row, StateCall, StateReply, Txn, Value};
use dillcleat_wire::user::{JobSpec, Kind};
use dillcleat_wire::worker::{Orders, Report, ReportAnswer, Why};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// How long a watch for submissions and cancellations is held.
const WATCH_MS: u64 = 4_000;
const RETRY: Micros = 100 * MILLISECOND;
/// Waiting tasks of one job that a pass looks at.
const PASS_TASKS: usize = 200;
/// Bound of a transaction's size; the rest of the limit is for its frame.
const BATCH_BYTES: usize = state::TXN_BYTES * 3 / 4;

#[derive(Debug, Clone)]
pub enum Step {
    LoadMachines,
    LoadQueue,
    LoadTasks,
    Watch,
    Ledger,
    Reread { key: String },
    Ended { id: Rc<str> },
    Push { machine: String },
    Cloud(Errand),
}

/// What the node has to do for the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A job's end is in the store.
    Ended(String, JobMark),
    Types(Rc<Vec<MachineType>>),
    /// The term is over.
    Outdated,
    /// Somebody showed this higher term.
    Higher(u64),
}

#[derive(Debug, Clone)]
enum TaskState {
    Waiting,
    Placed(Rc<str>),
    Done,
}

#[derive(Debug, Clone)]
struct Task {
    /// The latest attempt; 0 before the first.
    attempt: u64,
    state: TaskState,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    team: usize,
    /// The version of both of its records.
    version: u64,
    submitted: u64,
    chunk_tasks: u32,
    chunk_versions: Vec<u64>,
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    done: u32,
    running: BTreeSet<u32>,
    cancelled: Option<Micros>,
    /// Its end is being written.
    ending: bool,
    /// Run times of its training tasks, in seconds.
    samples: Vec<f64>,
    initial_size: f64,
    virtual_size: f64,
    /// What ageing has taken off so far.
    credit: f64,
    trained: bool,
    error_machines: BTreeSet<String>,
    errors: u32,
    blocked_until: Micros,
    shown: (u32, u32),
}

impl Job {
    fn new(open: OpenJob, version: u64, team: usize, guess: f64) -> Job {
        let n = open.spec.tasks;
        let chunk_tasks = open.chunk.max(1);
        let size = f64::from(n) * open.spec.cpus * guess;
        Job {
            team,
            version,
            submitted: open.at,
            chunk_tasks,
            chunk_versions: vec![0; n.div_ceil(chunk_tasks) as usize],
            tasks: vec![
                Task {
                    attempt: 0,
                    state: TaskState::Waiting
                };
                n as usize
            ],
            waiting: (0..n).collect(),
            done: 0,
            running: BTreeSet::new(),
            cancelled: None,
            ending: false,
            samples: Vec::new(),
            initial_size: size,
            virtual_size: size,
            credit: 0.0,
            trained: open.spec.kind == Kind::Service,
            error_machines: BTreeSet::new(),
            errors: 0,
            blocked_until: 0,
            shown: (0, 0),
            spec: open.spec,
        }
    }

    fn tiny(&self, config: &Config) -> bool {
        self.spec.tasks <= config.tuning.training_tasks
    }

    fn placed(&self) -> usize {
        self.tasks.len() - self.waiting.len() - self.done as usize
    }

    /// How many more tasks train.
    fn training(&self, config: &Config) -> u32 {
        if self.trained || self.tiny(config) {
            return 0;
        }
        config
            .tuning
            .training_tasks
            .saturating_sub(self.samples.len() as u32 + self.placed() as u32)
    }

    fn chunk(&self, index: u32, machines: &BTreeMap<String, Machine>, id: &Rc<str>) -> Chunk {
        let from = index * self.chunk_tasks;
        let to = (from + self.chunk_tasks).min(self.tasks.len() as u32);
        let mut chunk = Chunk::default();
        for i in from..to {
            let t = &self.tasks[i as usize];
            match &t.state {
                TaskState::Waiting if t.attempt > 0 => chunk.w.push((i, t.attempt)),
                TaskState::Waiting => {}
                TaskState::Placed(m) => {
                    let session = machines
                        .get(&**m)
                        .and_then(|m| m.slots.get(&(id.clone(), i)))
                        .map_or(0, |s| s.session);
                    chunk.p.push((i, t.attempt, m.to_string(), session));
                }
                TaskState::Done => match chunk.d.last_mut() {
                    Some((_, last)) if *last + 1 == i => *last = i,
                    _ => chunk.d.push((i, i)),
                },
            }
        }
        chunk
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Loading,
    Ready,
}

#[derive(Debug)]
pub struct Leader {
    pub term: u64,
    term_version: u64,
    stage: Stage,
    reload_at: Option<(Micros, LoadFrom)>,
    queue_revision: Option<u64>,
    queue_rows: Vec<Row>,
    task_rows: Vec<Row>,
    watch_sent: Micros,
    /// When the last answered look at the cancellations was sent.
    sighted: Micros,
    watch_at: Option<Micros>,
    jobs: BTreeMap<Rc<str>, Job>,
    machines: BTreeMap<String, Machine>,
    gone: HashMap<String, Micros>,
    ledger: Ledger,
    desk: Desk,
    refusals: Refusals,
    types: Option<Rc<Vec<MachineType>>>,
    types_stored: bool,
    /// Mean run time per class, learned from finished tasks, in seconds.
    guesses: HashMap<String, f64>,
    pass_at: Micros,
    passed_at: Micros,
    fleet_at: Micros,
    ready_since: Micros,
    notes: Vec<Note>,
}

#[derive(Debug, Clone)]
enum LoadFrom {
    Machines(Option<String>),
    Queue(Option<String>),
    Tasks(Option<String>),
}

impl Leader {
    pub fn new(
        ctx: &mut Ctx,
        term: u64,
        term_version: u64,
        types: Option<Rc<Vec<MachineType>>>,
    ) -> Leader {
        let now = ctx.now.steady;
        let mut leader = Leader {
            term,
            term_version,
            stage: Stage::Loading,
            reload_at: None,
            queue_revision: None,
            queue_rows: Vec::new(),
            task_rows: Vec::new(),
            watch_sent: now,
            sighted: now,
            watch_at: None,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            gone: HashMap::new(),
            ledger: Ledger::default(),
            desk: Desk::new(ctx.config.cloud_rps, now),
            refusals: Refusals::default(),
            types_stored: types.is_some(),
            types,
            guesses: HashMap::new(),
            pass_at: now,
            passed_at: now,
            fleet_at: now,
            ready_since: now,
            notes: Vec::new(),
        };
        leader.load(ctx, LoadFrom::Machines(None));
        leader
    }

    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    fn waiter(&self, step: Step) -> Waiter {
        Waiter::Leader {
            term: self.term,
            step,
        }
    }

    // ---- loading -------------------------------------------------------

    fn load(&mut self, ctx: &mut Ctx, from: LoadFrom) {
        let (prefix, after, step) = match &from {
            LoadFrom::Machines(after) => (store::MACHINES, after, Step::LoadMachines),
            LoadFrom::Queue(after) => (store::QUEUE, after, Step::LoadQueue),
            LoadFrom::Tasks(after) => (store::TASKS, after, Step::LoadTasks),
        };
        if matches!(from, LoadFrom::Queue(None)) {
            // Cancellations up to here are in what is read now.
            self.watch_sent = ctx.now.steady;
        }
        let call = StateCall::List {
            prefix: prefix.into(),
            after: after.clone(),
        };
        self.reload_at = Some((Micros::MAX, from));
        let waiter = self.waiter(step);
        ctx.state(call, waiter);
    }

    fn loaded(&mut self, ctx: &mut Ctx, step: &Step, page: Page) {
        let last = page.rows.last().map(|r| r.key.clone());
        let more = page.more && last.is_some();
        let next = match step {
            Step::LoadMachines => {
                self.load_machines(ctx, &page.rows);
                if more {
                    LoadFrom::Machines(last)
                } else {
                    LoadFrom::Queue(None)
                }
            }
            Step::LoadQueue => {
                // Later pages may hold more, but the watch starts here: what
                // it tells again changes nothing.
                self.queue_revision.get_or_insert(page.revision);
                self.queue_rows.extend(page.rows);
                if more {
                    LoadFrom::Queue(last)
                } else {
                    LoadFrom::Tasks(None)
                }
            }
            _ => {
                self.task_rows.extend(page.rows);
                if !more {
                    self.reload_at = None;
                    return self.start(ctx);
                }
                LoadFrom::Tasks(last)
            }
        };
        self.load(ctx, next);
    }

    fn load_machines(&mut self, ctx: &Ctx, rows: &[Row]) {
        for row in rows {
            let Some(name) = row.key.strip_prefix(store::MACHINES) else {
                continue;
            };
            let Some(r) = row.read::<MachineRecord>() else {
                log::error!("{}: not a machine's record", row.key);
                continue;
            };
            let mut m = Machine::new(name, &r.machine_type, &r.zone, r.spot, ctx.now.steady);
            m.addr = Some(r.addr);
            m.recorded = true;
            self.machines.insert(name.to_string(), m);
        }
    }

    /// Everything is read: take up the work.
    fn start(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.steady;
        // Cancellations come before descriptions in the order of keys, but a
        // cancellation means nothing before its job is known: taken in that
        // order, a new leader would let cancelled tasks run on.
        let rows = std::mem::take(&mut self.queue_rows);
        let (open, rest): (Vec<_>, Vec<_>) = rows
            .into_iter()
            .partition(|row| row.key.starts_with(store::OPEN));
        for row in open.into_iter().chain(rest) {
            self.queue_row(ctx, &row.key, &row.value, row.version);
        }
        for row in std::mem::take(&mut self.task_rows) {
            self.task_row(ctx, &row);
        }
        self.stage = Stage::Ready;
        self.ready_since = now;
        self.sighted = self.watch_sent;
        self.watch_at = Some(now);
        let cancelled: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.cancelled.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in cancelled {
            self.stop_job(&id);
        }
        let done: Vec<_> = self.jobs.keys().cloned().collect();
        for id in done {
            self.check_done(&id);
        }
        for m in self.machines.values_mut() {
            m.heard_at = now;
            m.known_since = now;
            m.empty_since = now;
            m.wants_push = true;
        }
        log::info!(
            "term {}: took up {} jobs and {} machines",
            self.term,
            self.jobs.len(),
            self.machines.len()
        );
    }

    fn guess(&self, config: &Config, class: &str) -> f64 {
        self.guesses
            .get(class)
            .copied()
            .unwrap_or(config.tuning.first_guess_s)
    }

    fn queue_row(&mut self, ctx: &Ctx, key: &str, value: &Value, version: u64) {
        if let Some(id) = key.strip_prefix(store::OPEN) {
            if self.jobs.contains_key(id) {
                return;
            }
            let Some(open) = state::read::<OpenJob>(value) else {
                log::error!("{key}: not a job's description");
                return;
            };
            // A team that has gone from the settings keeps its jobs waiting.
            let Some(team) = ctx.config.team(&open.spec.team) else {
                log::error!("{id}: its team {} is not in the settings", open.spec.team);
                return;
            };
            let guess = self.guess(ctx.config, &open.spec.class);
            self.jobs
                .insert(Rc::from(id), Job::new(open, version, team, guess));
            self.pass_at = ctx.now.steady;
        } else if let Some(id) = key.strip_prefix(store::CANCELLED) {
            let at = state::read::<CancelledJob>(value).map_or(0, |c| c.at);
            // Other clocks may be off, so the older of the two readings counts.
            let ago = ctx.now.wall.saturating_sub(at) + 2 * ctx.config.clock_error;
            if let Some((id, job)) = self.jobs.get_key_value(id)
                && job.cancelled.is_none()
            {
                let id = id.clone();
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.cancelled = Some(ctx.now.steady.saturating_sub(ago.min(ctx.config.cancel)));
                }
                if self.stage == Stage::Ready {
                    self.stop_job(&id);
                }
            }
        }
    }

    fn task_row(&mut self, ctx: &Ctx, row: &Row) {
        let Some((id, index)) = store::parse_chunk_key(&row.key) else {
            return;
        };
        let Some((id, _)) = self.jobs.get_key_value(id) else {
            // The job has ended; only the clearing was not finished.
            self.ledger.push(Item::Drop(row.key.clone()));
            return;
        };
        let id = id.clone();
        let Some(chunk) = row.read::<Chunk>() else {
            log::error!("{}: not a chunk of tasks", row.key);
            return;
        };
        let now = ctx.now.steady;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(v) = job.chunk_versions.get_mut(index as usize) {
            *v = row.version;
        }
        let n = job.tasks.len() as u32;
        for (i, attempt) in chunk.w {
            if let Some(t) = job.tasks.get_mut(i as usize) {
                t.attempt = attempt;
            }
        }
        for (from, to) in chunk.d {
            for i in from..=to.min(n.saturating_sub(1)) {
                job.tasks[i as usize].state = TaskState::Done;
                job.waiting.remove(&i);
                job.done += 1;
            }
        }
        let room = Room::of_task(&job.spec);
        for (i, attempt, machine, session) in chunk.p {
            let Some(t) = job.tasks.get_mut(i as usize) else {
                continue;
            };
            t.attempt = attempt;
            t.state = TaskState::Placed(Rc::from(machine.as_str()));
            job.waiting.remove(&i);
            // A machine without a record may be running all the same: what it
            // is shows when it reports or is listed.
            let m = self
                .machines
                .entry(machine.clone())
                .or_insert_with(|| Machine::new(&machine, "", "", false, now));
            m.session = m.session.max(session);
            let slot = Machine::slot(attempt, session, room, true);
            m.place((id.clone(), i), slot, &job.spec.image);
        }
    }

    // ---- jobs ----------------------------------------------------------

    /// A job is cancelled: nothing of it starts, and what runs is stopped.
    fn stop_job(&mut self, id: &Rc<str>) {
        log::info!("{id}: cancelled, stopping its tasks");
        let unstored: Vec<u32> = self.mark_cancelled(id);
        for i in unstored {
            // A placement that is being written may already be stored.
            let key: TaskKey = (id.clone(), i);
            let batch = self.ledger.batch.as_ref();
            if !batch.is_some_and(|b| b.placed.iter().any(|(k, _)| *k == key)) {
                self.unplace(&key);
            }
        }
        self.check_clear(id);
    }

    fn mark_cancelled(&mut self, id: &Rc<str>) -> Vec<u32> {
        let mut unstored = Vec::new();
        for m in self.machines.values_mut() {
            for (key, slot) in m.slots.iter_mut().filter(|(k, _)| k.0 == *id) {
                slot.cancelled = true;
                if slot.stored {
                    m.wants_push = true;
                    m.push_after = 0;
                } else {
                    unstored.push(key.1);
                }
            }
        }
        unstored
    }

    /// Takes a placement back that was never stored, so nothing was sent.
    fn unplace(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let task = &mut job.tasks[key.1 as usize];
        if let TaskState::Placed(m) = &task.state {
            if let Some(m) = self.machines.get_mut(&**m) {
                m.slots.remove(key);
            }
            task.state = TaskState::Waiting;
            job.waiting.insert(key.1);
        }
    }

    fn check_clear(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancelled.is_some()
            && !job.ending
            && job.placed() == 0
        {
            job.ending = true;
            self.ledger.push(Item::Clear(id.clone()));
        }
    }

    fn check_done(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cancelled.is_none()
            && !job.ending
            && job.done as usize == job.tasks.len()
        {
            job.ending = true;
            self.ledger.push_front(Item::Done(id.clone()));
        }
    }

    fn forget_job(&mut self, id: &Rc<str>) {
        if let Some(job) = self.jobs.remove(id) {
            for (i, v) in job.chunk_versions.iter().enumerate() {
                if *v > 0 {
                    self.ledger.push(Item::Drop(store::chunk_key(id, i as u32)));
                }
            }
        }
    }

    fn touch(&mut self, key: &TaskKey) {
        if let Some(job) = self.jobs.get(&key.0) {
            let item = Item::Chunk(key.0.clone(), key.1 / job.chunk_tasks);
            self.ledger.push(item);
        }
    }

    fn slot_event(&mut self, ctx: &Ctx, machine: &str, event: SlotEvent) {
        let now = ctx.now.steady;
        self.pass_at = now;
        match event {
            SlotEvent::Running(key) => {
                log::debug!("{}/{} runs on {machine}", key.0, key.1);
                if let Some(job) = self.jobs.get_mut(&key.0) {
                    job.running.insert(key.1);
                }
            }
            SlotEvent::Lost { task, attempt, why } => {
                log::info!(
                    "{}/{} attempt {attempt} on {machine} is gone: {why}",
                    task.0,
                    task.1
                );
                self.back_to_waiting(&task, attempt);
            }
            SlotEvent::Exited {
                task,
                attempt,
                why: Why::Done,
                ran,
            } => {
                log::debug!("{}/{} is done on {machine}", task.0, task.1);
                self.task_done(ctx, &task, attempt, ran);
            }
            SlotEvent::Exited {
                task, attempt, why, ..
            } => {
                log::info!(
                    "{}/{} attempt {attempt} on {machine} ended: {why:?}",
                    task.0,
                    task.1
                );
                self.back_to_waiting(&task, attempt);
                self.blame(ctx, machine, &task, why);
            }
        }
    }

    fn back_to_waiting(&mut self, key: &TaskKey, attempt: u64) {
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.running.remove(&key.1);
            let task = &mut job.tasks[key.1 as usize];
            if task.attempt == attempt && matches!(task.state, TaskState::Placed(_)) {
                task.state = TaskState::Waiting;
                job.waiting.insert(key.1);
            }
            if job.cancelled.is_none() {
                self.touch(key);
            }
        }
        self.check_clear(&key.0);
    }

    fn task_done(&mut self, ctx: &Ctx, key: &TaskKey, attempt: u64, ran: Option<Micros>) {
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        job.running.remove(&key.1);
        let task = &mut job.tasks[key.1 as usize];
        if task.attempt != attempt || !matches!(task.state, TaskState::Placed(_)) {
            return;
        }
        task.state = TaskState::Done;
        job.done += 1;
        job.errors = 0;
        if let Some(ran) = ran {
            let ran = seconds(ran);
            let t = ctx.config.tuning.training_tasks.max(1) as usize;
            if !job.trained {
                job.samples.push(ran);
                if job.samples.len() >= t.min(job.tasks.len()) {
                    let mean = job.samples.iter().sum::<f64>() / job.samples.len() as f64;
                    job.trained = true;
                    let size = f64::from(job.spec.tasks) * job.spec.cpus * mean;
                    job.virtual_size = (size - job.credit).max(0.0);
                }
            }
            let first = ctx.config.tuning.first_guess_s;
            let guess = self.guesses.entry(job.spec.class.clone()).or_insert(first);
            *guess += (ran - *guess) * 0.05;
        }
        if job.cancelled.is_some() {
            return self.check_clear(&key.0);
        }
        self.check_done(&key.0);
        // The record of a job's end covers its last task as well.
        if self.jobs.get(&key.0).is_some_and(|j| !j.ending) {
            self.touch(key);
        }
    }

    /// Errors of one job on several machines are the job's, errors of several
    /// jobs on one machine are the machine's.
    fn blame(&mut self, ctx: &Ctx, machine: &str, key: &TaskKey, why: Why) {
        let now = ctx.now.steady;
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        match why {
            Why::NoRoom => m.blocked_until = now + 3 * SECOND,
            Why::Error => {
                m.error_jobs.insert(key.0.to_string());
                job.error_machines.insert(machine.to_string());
                job.errors += 1;
                if m.error_jobs.len() >= 2 && !m.condemned {
                    m.condemned = true;
                    log::info!("{machine} fails several jobs: it takes no more and is returned");
                }
                if job.error_machines.len() >= 3 {
                    let pause = SECOND << job.errors.min(6);
                    job.blocked_until = now + pause;
                    log::info!(
                        "{}: fails on several machines, paused for {} s",
                        key.0,
                        seconds(pause)
                    );
                }
            }
            Why::Stopped | Why::Done => {}
            Why::Busy | Why::Unknown | Why::Other => job.blocked_until = now + 2 * SECOND,
        }
    }

    // ---- workers -------------------------------------------------------

    /// Whether reports may still be answered: a cancellation accepted by
    /// another node must reach the workers in time, be it through their leases.
    fn entitled(&self, ctx: &Ctx) -> bool {
        ctx.now.steady.saturating_sub(self.sighted) < ctx.config.blind_limit()
    }

    pub fn checkin(&mut self, ctx: &mut Ctx, report: &Report) -> Answer {
        if report.token > self.term {
            self.notes.push(Note::Higher(report.token));
            return Answer::refusal(421, "a later term has begun");
        }
        if !self.entitled(ctx) {
            return Answer::later("the state is out of reach");
        }
        let mut answer = ReportAnswer {
            token: self.term,
            commands: Vec::new(),
        };
        // A report of a machine that is gone was held up on its way.
        if self.stage == Stage::Ready && !self.gone.contains_key(&report.machine) {
            self.take_report(ctx, report, Source::Checkin);
            if self.fresh(ctx)
                && let Some(m) = self.machines.get(&report.machine)
            {
                let current = (m.session, m.seq) == (report.session, report.seq);
                if m.ready && current {
                    answer.commands = self.commands(m);
                }
            }
            if let Some(m) = self.machines.get_mut(&report.machine) {
                m.answered_with(&answer.commands);
                if !answer.commands.is_empty() {
                    m.wants_push = false;
                }
            }
        }
        Answer::body(200, &answer)
    }

    /// Sure sight of the state, so that starting tasks is right.
    fn fresh(&self, ctx: &Ctx) -> bool {
        ctx.now.steady.saturating_sub(self.sighted) < WATCH_MS * MILLISECOND + 2 * SECOND
    }

    fn take_report(&mut self, ctx: &Ctx, r: &Report, source: Source) {
        let now = ctx.now.steady;
        let m = self.machines.entry(r.machine.clone()).or_insert_with(|| {
            log::info!("{}: a machine not known before reports", r.machine);
            Machine::new(&r.machine, "", "", false, now)
        });
        m.machine_type.clone_from(&r.machine_type);
        m.zone.clone_from(&r.zone);
        m.spot = r.spot;
        if !m.up {
            log::info!(
                "{} is up in {} after {} s",
                m.name,
                m.zone,
                seconds(now - m.known_since)
            );
            m.empty_since = now;
        }
        let was_ready = m.ready;
        if m.gone_by.is_none() && r.notice_s.is_some() {
            log::info!("{} is to be taken back in {:?} s", m.name, r.notice_s);
        }
        let events = m.report(r, source, self.term, now);
        if !m.recorded {
            m.recorded = true;
            self.ledger.push(Item::Machine(r.machine.clone()));
        }
        if !was_ready {
            // A new machine, or one that has yet to see this term's seal.
            m.wants_push = true;
            m.push_after = 0;
            self.pass_at = now;
        }
        for event in events {
            self.slot_event(ctx, &r.machine, event);
        }
    }

    fn settled(&self, task: &TaskName, attempt: u64) -> bool {
        let Some((id, job)) = self.jobs.get_key_value(task.job.as_str()) else {
            // Its end is stored, or it never was a job.
            return true;
        };
        let Some(t) = job.tasks.get(task.index as usize) else {
            return true;
        };
        if matches!(t.state, TaskState::Placed(_)) && t.attempt == attempt {
            return false;
        }
        if job.cancelled.is_some() {
            return true;
        }
        !job.ending && self.ledger.settled(id, task.index / job.chunk_tasks)
    }

    fn commands(&self, m: &Machine) -> Vec<dillcleat_wire::worker::Command> {
        m.commands(|task, attempt| self.settled(task, attempt))
    }

    fn push_orders(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.steady;
        if !self.entitled(ctx) {
            return;
        }
        let names: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.wants_push && m.push.is_none() && m.push_after <= now && m.addr.is_some())
            .map(|m| m.name.clone())
            .collect();
        for name in names {
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            let commands = if m.ready && self.fresh(ctx) {
                self.commands(m)
            } else {
                Vec::new()
            };
            let waiter = self.waiter(Step::Push {
                machine: name.clone(),
            });
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            m.wants_push = false;
            if m.ready && commands.is_empty() {
                continue;
            }
            let orders = Orders {
                token: self.term,
                session: m.session,
                commands,
            };
            let addr = m.addr.clone().unwrap_or_default();
            let sent = orders.commands.clone();
            let id = ctx.orders(addr, orders, waiter);
            m.pushed(id, &sent);
        }
    }

    pub fn orders_reply(
        &mut self,
        ctx: &mut Ctx,
        id: CallId,
        machine: &str,
        reply: Result<(u16, Vec<u8>), CallError>,
    ) {
        let now = ctx.now.steady;
        let report = match &reply {
            Ok((200 | 409, body)) => match dillcleat_wire::decode::<Report>(body) {
                Ok(r) if r.machine == machine => Some(r),
                Ok(_) => None,
                Err(e) => {
                    log::error!("{machine}: its answer is no report: {e}");
                    None
                }
            },
            _ => None,
        };
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        // Nothing arrives of what was not sent, and nothing was done on a
        // refusal. All else may be carried out at any time.
        let unanswered = match &reply {
            Err(CallError::NotSent) | Ok((409 | 400, _)) => false,
            Ok((200, _)) => report.is_none(),
            _ => true,
        };
        m.push_ended(id, unanswered);
        match report {
            Some(r) if r.token > self.term => self.notes.push(Note::Higher(r.token)),
            Some(r) => {
                let was_ready = m.ready;
                self.take_report(ctx, &r, Source::Orders);
                if let Some(m) = self.machines.get_mut(machine)
                    && !m.ready
                    && !was_ready
                {
                    // Another session than thought: once more with the right one.
                    m.wants_push = true;
                    m.push_after = now + RETRY;
                }
            }
            None => {
                m.wants_push = true;
                m.push_after = now + SECOND;
            }
        }
    }

    // ---- the ledger ----------------------------------------------------

    fn write(&mut self, ctx: &mut Ctx) {
        if let Some(at) = self.ledger.resend_at {
            if ctx.now.steady < at {
                return;
            }
            self.ledger.resend_at = None;
            if let Some(b) = &self.ledger.batch {
                let call = StateCall::Txn(b.txn.clone());
                let waiter = self.waiter(Step::Ledger);
                ctx.state(call, waiter);
            }
            return;
        }
        if self.ledger.batch.is_some() || self.ledger.is_empty() {
            return;
        }
        let mut batch = Batch {
            txn: Txn::default().compare(store::TERM, self.term_version),
            items: Vec::new(),
            placed: Vec::new(),
            uncertain: false,
        };
        let mut bytes = 0;
        while batch.txn.then.len() + 3 <= ctx.config.txn_ops && bytes < BATCH_BYTES {
            let Some(item) = self.ledger.pop() else {
                break;
            };
            let before = batch.txn.then.len();
            if !self.add(&item, &mut batch) {
                continue;
            }
            for change in &batch.txn.then[before..] {
                bytes += 64;
                if let Change::Put { key, value, .. } = change {
                    bytes += key.len() + state::json_size(value);
                }
            }
            batch.items.push(item);
        }
        if batch.items.is_empty() {
            return;
        }
        let call = StateCall::Txn(batch.txn.clone());
        self.ledger.batch = Some(batch);
        let waiter = self.waiter(Step::Ledger);
        ctx.state(call, waiter);
    }

    /// Adds an item's changes and conditions; false if it needs none.
    fn add(&self, item: &Item, batch: &mut Batch) -> bool {
        let txn = std::mem::take(&mut batch.txn);
        let with_job = |txn: Txn, id: &str, version: u64| {
            let key = store::job_key(id);
            if txn.compare.iter().any(|c| c.key == key) {
                txn
            } else {
                txn.compare(key, version)
            }
        };
        let (txn, added) = match item {
            Item::Chunk(id, index) => match self.jobs.get(id) {
                Some(job) if !job.ending && job.cancelled.is_none() => {
                    let key = store::chunk_key(id, *index);
                    let record = job.chunk(*index, &self.machines, id);
                    let mut txn = txn
                        .compare(key.clone(), job.chunk_versions[*index as usize])
                        .put(key, &record);
                    let mut new = false;
                    for (i, attempt, machine, _) in &record.p {
                        let task: TaskKey = (id.clone(), *i);
                        let slot = self.machines.get(machine).and_then(|m| m.slots.get(&task));
                        if slot.is_some_and(|s| !s.stored) {
                            batch.placed.push((task, *attempt));
                            new = true;
                        }
                    }
                    if new {
                        txn = with_job(txn, id, job.version);
                    }
                    (txn, true)
                }
                _ => (txn, false),
            },
            Item::Done(id) => match self.jobs.get(id) {
                Some(job) if job.cancelled.is_none() => {
                    let mark = JobMark {
                        s: Mark::Done,
                        n: job.spec.tasks,
                    };
                    let txn = with_job(txn, id, job.version)
                        .put(store::job_key(id), &mark)
                        .delete(store::open_key(id));
                    (txn, true)
                }
                _ => (txn, false),
            },
            Item::Clear(id) => {
                let txn = txn
                    .delete(store::open_key(id))
                    .delete(store::cancelled_key(id));
                (txn, true)
            }
            Item::Machine(name) => match self.machines.get(name) {
                Some(m) if m.addr.is_some() => {
                    let record = MachineRecord {
                        addr: m.addr.clone().unwrap_or_default(),
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    };
                    (txn.put(store::machine_key(name), &record), true)
                }
                _ => (txn, false),
            },
            Item::Drop(key) => (txn.delete(key.clone()), true),
            Item::Types => match &self.types {
                Some(types) => {
                    let record = store::Types {
                        types: types.to_vec(),
                    };
                    (txn.put(store::TYPES, &record), true)
                }
                None => (txn, false),
            },
        };
        batch.txn = txn;
        added
    }

    fn written(&mut self, ctx: &mut Ctx, reply: Result<StateReply, CallError>) {
        let Some(mut batch) = self.ledger.batch.take() else {
            return;
        };
        match reply {
            Ok(StateReply::Committed { revision }) => self.applied(ctx, batch, revision),
            Ok(StateReply::Conflict { failed, .. }) => {
                if failed.iter().any(|k| k == store::TERM) {
                    self.notes.push(Note::Outdated);
                    return;
                }
                let own = failed.iter().find(|k| k.starts_with(store::TASKS)).cloned();
                if let Some(key) = own.filter(|_| batch.uncertain) {
                    // Only this leader writes chunks: the earlier try was
                    // applied. Every key of it has the same version; read one.
                    self.ledger.batch = Some(batch);
                    let waiter = self.waiter(Step::Reread { key: key.clone() });
                    ctx.state(StateCall::Get { key }, waiter);
                    return;
                }
                self.conflict(ctx, batch, &failed);
            }
            Ok(StateReply::Malformed | StateReply::LeaseGone) => {
                log::error!("the state service calls a batch malformed");
                self.notes.push(Note::Outdated);
            }
            other => {
                batch.uncertain |= other.is_err();
                self.ledger.batch = Some(batch);
                self.ledger.resend_at = Some(ctx.now.steady + RETRY);
            }
        }
    }

    /// Some job's record has changed: it was cancelled, or its end is stored.
    /// Nothing of the batch was applied, and it never can be.
    fn conflict(&mut self, ctx: &mut Ctx, batch: Batch, failed: &[String]) {
        for key in failed {
            if let Some(id) = key.strip_prefix("j/") {
                let id: Rc<str> = Rc::from(id);
                if let Some(job) = self.jobs.get_mut(&id) {
                    log::info!("{id}: its record has changed, reading it");
                    // No placement of it is written from now on.
                    job.cancelled.get_or_insert(ctx.now.steady);
                    job.ending = false;
                }
                let waiter = self.waiter(Step::Ended { id });
                ctx.state(StateCall::Get { key: key.clone() }, waiter);
            } else {
                log::error!("{key}: written by somebody else");
                self.notes.push(Note::Outdated);
            }
        }
        for (key, _) in &batch.placed {
            if self.jobs.get(&key.0).is_some_and(|j| j.cancelled.is_some()) {
                self.unplace(key);
            }
        }
        for item in batch.items.into_iter().rev() {
            self.ledger.push_front(item);
        }
        self.write(ctx);
    }

    /// The record of a job whose end came from elsewhere, or from an earlier
    /// try of the batch that ended it.
    fn ended(&mut self, ctx: &mut Ctx, id: Rc<str>, reply: Result<StateReply, CallError>) {
        let Ok(StateReply::Found(row)) = reply else {
            let waiter = self.waiter(Step::Ended { id: id.clone() });
            let key = store::job_key(&id);
            ctx.state(StateCall::Get { key }, waiter);
            return;
        };
        match row.read::<JobMark>() {
            Some(mark) if mark.s == Mark::Done => self.job_done(&id, mark),
            Some(mark) if mark.s == Mark::Cancelled => self.stop_job(&id),
            other => {
                log::error!("{id}: unexpected record {other:?}");
                self.notes.push(Note::Outdated);
            }
        }
    }

    fn job_done(&mut self, id: &Rc<str>, mark: JobMark) {
        log::info!("{id}: done");
        self.forget_job(id);
        self.notes.push(Note::Ended(id.to_string(), mark));
    }

    /// A batch is in the store: do what waited for it.
    fn applied(&mut self, ctx: &mut Ctx, batch: Batch, revision: u64) {
        for item in &batch.items {
            match item {
                Item::Chunk(id, index) => {
                    if let Some(v) = self
                        .jobs
                        .get_mut(id)
                        .and_then(|j| j.chunk_versions.get_mut(*index as usize))
                    {
                        *v = revision;
                    }
                }
                Item::Done(id) => {
                    let n = self.jobs.get(id).map_or(0, |j| j.spec.tasks);
                    self.job_done(id, JobMark { s: Mark::Done, n });
                }
                Item::Clear(id) => self.forget_job(id),
                Item::Types => self.types_stored = true,
                Item::Machine(_) | Item::Drop(_) => {}
            }
        }
        for ((id, i), attempt) in batch.placed {
            let key: TaskKey = (id, i);
            let Some(machine) =
                self.jobs
                    .get(&key.0)
                    .and_then(|j| match &j.tasks[i as usize].state {
                        TaskState::Placed(m) if j.tasks[i as usize].attempt == attempt => {
                            Some(m.clone())
                        }
                        _ => None,
                    })
            else {
                continue;
            };
            if let Some(m) = self.machines.get_mut(&*machine)
                && let Some(slot) = m.slots.get_mut(&key)
            {
                slot.stored = true;
                m.wants_push = true;
                // Of a cancelled job nothing was launched: it is not there.
                if slot.cancelled {
                    m.slots.remove(&key);
                    self.back_to_waiting(&key, attempt);
                }
            }
        }
        self.write(ctx);
        self.push_orders(ctx);
    }

    // ---- replies -------------------------------------------------------

    pub fn reply(
        &mut self,
        ctx: &mut Ctx,
        step: Step,
        sent: Micros,
        reply: Result<StateReply, CallError>,
    ) {
        match step {
            Step::LoadMachines | Step::LoadQueue | Step::LoadTasks => match reply {
                Ok(StateReply::Page(page)) => self.loaded(ctx, &step, page),
                _ => {
                    if let Some((at, _)) = &mut self.reload_at {
                        *at = ctx.now.steady + RETRY;
                    }
                }
            },
            Step::Watch => self.watched(ctx, sent, reply),
            Step::Ledger => self.written(ctx, reply),
            Step::Reread { key } => {
                let Some(batch) = self.ledger.batch.take() else {
                    return;
                };
                match reply {
                    Ok(StateReply::Found(row)) => self.applied(ctx, batch, row.version),
                    _ => {
                        self.ledger.batch = Some(batch);
                        let waiter = self.waiter(Step::Reread { key: key.clone() });
                        ctx.state(StateCall::Get { key }, waiter);
                    }
                }
            }
            Step::Ended { id } => self.ended(ctx, id, reply),
            Step::Push { .. } | Step::Cloud(_) => {}
        }
    }

    fn watched(&mut self, ctx: &mut Ctx, sent: Micros, reply: Result<StateReply, CallError>) {
        match reply {
            Ok(StateReply::Changes(changes)) => {
                self.sighted = self.sighted.max(sent);
                self.queue_revision = Some(changes.revision);
                for event in changes.events {
                    if let Event::Put {
                        key,
                        value,
                        version,
                    } = event
                    {
                        self.queue_row(ctx, &key, &value, version);
                    }
                }
                self.watch_at = Some(ctx.now.steady);
            }
            Ok(StateReply::TooOld) => {
                log::error!("lost sight of the queue");
                self.notes.push(Note::Outdated);
            }
            _ => self.watch_at = Some(ctx.now.steady + RETRY),
        }
    }

    // ---- time ----------------------------------------------------------

    pub fn tick(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.steady;
        if let Some((at, from)) = self.reload_at.clone() {
            if now >= at {
                self.load(ctx, from);
            }
            return;
        }
        if self.watch_at.is_some_and(|at| now >= at) {
            self.watch_at = None;
            let call = StateCall::Watch {
                prefix: store::QUEUE.into(),
                after: self.queue_revision.unwrap_or(0),
                hold_ms: WATCH_MS,
            };
            let waiter = self.waiter(Step::Watch);
            ctx.state(call, waiter);
        }
        self.clear_unreachable(ctx);
        if now >= self.pass_at || now >= self.passed_at + micros(ctx.config.tuning.pass_s) {
            self.pass(ctx);
        }
        if now >= self.fleet_at {
            self.fleet_at = now + SECOND;
            self.tend_fleet(ctx);
        }
        self.write(ctx);
        self.push_orders(ctx);
        if let Some((errand, call)) = self.desk.next(now) {
            let waiter = self.waiter(Step::Cloud(errand));
            ctx.cloud(call, waiter);
        }
    }

    /// Since when reports of several machines should have come in.
    pub fn expects_reports_since(&self) -> Option<Micros> {
        let expected = self.machines.values().filter(|m| m.recorded && !m.leaving);
        (self.stage == Stage::Ready && expected.count() >= 2).then_some(self.ready_since)
    }

    /// Machines that hold a cancelled job's tasks and do not show their end
    /// are deleted well before the time is up.
    fn clear_unreachable(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        let patience = ctx.config.cancel * 3 / 10;
        for m in self.machines.values_mut().filter(|m| !m.leaving) {
            let late = m.slots.iter().any(|(k, s)| {
                s.cancelled
                    && s.stored
                    && self
                        .jobs
                        .get(&k.0)
                        .and_then(|j| j.cancelled)
                        .is_some_and(|at| {
                            now >= at + patience && now >= self.ready_since + patience / 4
                        })
            });
            if late {
                log::info!("{}: a cancelled task is not seen gone, deleting it", m.name);
                m.leaving = true;
                self.desk.deletes.insert(m.name.clone());
            }
        }
    }

    fn team_views(&self, config: &Config) -> Vec<TeamView> {
        let left = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        let mut teams: Vec<TeamView> = config
            .teams
            .iter()
            .map(|t| TeamView {
                cpus_left: left(t.cpus_max),
                gpus_left: left(t.gpus_max),
            })
            .collect();
        for job in self.jobs.values() {
            let n = job.placed() as f64;
            teams[job.team].cpus_left -= n * job.spec.cpus;
            teams[job.team].gpus_left -= n * job.spec.gpus;
        }
        teams
    }

    fn job_views(&self, ctx: &Ctx) -> Vec<JobView<'_>> {
        let now = ctx.now.steady;
        let mut zones: HashMap<&str, BTreeMap<String, u32>> = HashMap::new();
        for m in self.machines.values() {
            for (id, _) in m.slots.keys() {
                *zones
                    .entry(id)
                    .or_default()
                    .entry(m.zone.clone())
                    .or_default() += 1;
            }
        }
        self.jobs
            .iter()
            .filter(|(_, j)| {
                j.cancelled.is_none() && !j.waiting.is_empty() && now >= j.blocked_until
            })
            .map(|(id, j)| JobView {
                id,
                spec: &j.spec,
                team: j.team,
                waiting: j.waiting.iter().take(PASS_TASKS).copied().collect(),
                zones: zones.remove(&**id).unwrap_or_default(),
                training: j.training(ctx.config),
                tiny: j.tiny(ctx.config),
                initial_size: j.initial_size,
                virtual_size: j.virtual_size,
                submitted: j.submitted,
            })
            .collect()
    }

    fn total(&self, machine_type: &str) -> Option<Room> {
        self.types
            .as_ref()?
            .iter()
            .find(|t| t.name == machine_type)
            .map(Room::of_type)
    }

    fn view(&self, m: &Machine) -> Option<MachineView> {
        Some(MachineView {
            name: m.name.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: m.free(self.total(&m.machine_type)?),
            images: m.images.clone(),
            avoid: m.error_jobs.iter().cloned().collect(),
        })
    }

    /// One pass of the scheduler: ages, then fills free room.
    fn pass(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        self.age(now);
        self.pass_at = Micros::MAX;
        self.passed_at = now;
        if !self.fresh(ctx) || self.types.is_none() {
            return;
        }
        let mut machines: Vec<MachineView> = self
            .machines
            .values()
            .filter(|m| m.open(now))
            .filter_map(|m| self.view(m))
            .collect();
        let mut teams = self.team_views(ctx.config);
        let mut jobs = self.job_views(ctx);
        if jobs.is_empty() {
            return;
        }
        let fleet: f64 = self.fleet_cpus();
        let in_training: f64 = self
            .jobs
            .values()
            .filter(|j| !j.trained && !j.tiny(ctx.config))
            .map(|j| {
                f64::from((j.placed() as u32).min(ctx.config.tuning.training_tasks)) * j.spec.cpus
            })
            .sum();
        let training = fleet * ctx.config.tuning.training_share - in_training;
        let made = sched::assign(
            &mut jobs,
            &mut machines,
            &mut teams,
            training,
            self.reserve(ctx.config),
        );
        let made: Vec<(TaskKey, String)> = made
            .into_iter()
            .map(|a| {
                (
                    (Rc::from(jobs[a.job].id), a.task),
                    machines[a.machine].name.clone(),
                )
            })
            .collect();
        for (key, machine) in made {
            self.place(&key, &machine);
        }
    }

    /// Room for some replicas of each class of services that is expected to
    /// start sooner than any machine boots.
    fn reserve(&self, config: &Config) -> f64 {
        let boot = self
            .types
            .iter()
            .flat_map(|ts| ts.iter())
            .map(|t| t.boot_s)
            .fold(f64::INFINITY, f64::min);
        config
            .waits
            .iter()
            .filter(|(_, within)| seconds(*within) < boot)
            .map(|(class, _)| {
                self.jobs
                    .values()
                    .filter(|j| j.spec.kind == Kind::Service && j.spec.class == *class)
                    .map(|j| f64::from(config.tuning.reserve_replicas) * j.spec.cpus)
                    .fold(0.0, f64::max)
            })
            .sum()
    }

    fn place(&mut self, key: &TaskKey, machine: &str) {
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let task = &mut job.tasks[key.1 as usize];
        task.attempt += 1;
        task.state = TaskState::Placed(Rc::from(machine));
        job.waiting.remove(&key.1);
        let slot = Machine::slot(task.attempt, m.session, Room::of_task(&job.spec), false);
        log::debug!("placing {}/{} on {machine}", key.0, key.1);
        m.place(key.clone(), slot, &job.spec.image);
        self.touch(key);
    }

    fn fleet_cpus(&self) -> f64 {
        self.machines
            .values()
            .filter(|m| m.ready)
            .filter_map(|m| self.total(&m.machine_type))
            .map(|r| r.cpus)
            .sum()
    }

    /// Cuts every active job's virtual size by its fair share of the time.
    fn age(&mut self, now: Micros) {
        let cpus = self.fleet_cpus();
        let active = |j: &Job| j.spec.kind == Kind::Batch && j.cancelled.is_none() && !j.ending;
        let n = self.jobs.values().filter(|j| active(j)).count();
        if n == 0 {
            return;
        }
        let cut = seconds(now.saturating_sub(self.passed_at)) * cpus / n as f64;
        for job in self.jobs.values_mut().filter(|j| active(j)) {
            job.virtual_size = (job.virtual_size - cut).max(0.0);
            job.credit += cut;
        }
    }

    // ---- the fleet -----------------------------------------------------

    fn tend_fleet(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        self.drop_silent(ctx);
        self.return_idle(ctx);
        let keep = now.saturating_sub(4 * ctx.config.list_lag + 120 * SECOND);
        self.gone.retain(|_, at| *at > keep);
        let Some(types) = self.types.clone() else {
            return;
        };
        // Right after the start the machines are still becoming known.
        if now < self.ready_since + 2 * SECOND || !self.fresh(ctx) {
            return;
        }
        let mut coming: Vec<MachineView> = self
            .machines
            .values()
            .filter(|m| !m.ready && !m.leaving && (m.expected || m.recorded))
            .filter_map(|m| self.view(m))
            .collect();
        coming.extend(self.freeing(ctx, &types));
        for r in &self.desk.rentals {
            let r = &r.rent;
            let Some(free) = self.total(&r.machine_type) else {
                continue;
            };
            for _ in 0..r.count {
                coming.push(MachineView {
                    name: String::new(),
                    machine_type: r.machine_type.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
                    free,
                    images: Vec::new(),
                    avoid: Vec::new(),
                });
            }
        }
        // What is asked for is answered first: refusals change the plan.
        if !self.desk.rentals.is_empty() {
            return;
        }
        let mut teams = self.team_views(ctx.config);
        let mut jobs = self.job_views(ctx);
        let wanted = fleet::plan(
            &mut jobs,
            &mut coming,
            &mut teams,
            &types,
            &self.refusals,
            self.reserve(ctx.config),
            now,
        );
        for ((machine_type, zone, spot), count) in wanted {
            let request = self.desk.name(self.term);
            log::info!("renting {request}: {count} {machine_type} in {zone}, spot {spot}");
            self.desk.rentals.push_back(Rental {
                rent: Rent {
                    request,
                    machine_type,
                    zone,
                    spot,
                    count,
                },
                since: now,
                uncertain: false,
            });
        }
    }

    /// Machines with the room that will be free by the time that a rented one
    /// could be up: renting for what fits there would gain nothing.
    fn freeing(&self, ctx: &Ctx, types: &[MachineType]) -> Vec<MachineView> {
        let now = ctx.now.steady;
        let boot = types.iter().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        let horizon = (boot + ctx.config.tuning.fetch_s) * ctx.config.tuning.patience;
        let mut views = Vec::new();
        for m in self.machines.values().filter(|m| m.open(now)) {
            let Some(mut view) = self.view(m) else {
                continue;
            };
            for ((id, _), slot) in &m.slots {
                let Some(job) = self.jobs.get(id).filter(|j| j.spec.kind == Kind::Batch) else {
                    continue;
                };
                let run = match job.samples.len() {
                    0 => self.guess(ctx.config, &job.spec.class),
                    n => job.samples.iter().sum::<f64>() / n as f64,
                };
                let elapsed = slot
                    .running_since
                    .map_or(0.0, |since| seconds(now.saturating_sub(since)));
                // What has run longer than thought may run on as long again.
                let left = (run - elapsed).max(elapsed * 0.2);
                if left <= horizon {
                    view.free.give(&slot.room);
                }
            }
            views.push(view);
        }
        views
    }

    /// Machines that fell silent are deleted: the answer is the proof that
    /// what was on them is gone.
    fn drop_silent(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        let silence = (ctx.config.lease * 6 / 10).max(3 * ctx.config.report);
        let up = self
            .machines
            .values()
            .filter(|m| m.up && !m.leaving)
            .count();
        let silent: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.up && !m.leaving && now >= m.heard_at + silence)
            .map(|m| m.name.clone())
            .collect();
        // Many at once look like a cut that may heal before leases run out.
        let patient = silent.len() > 2.max(up * 2 / 5);
        for m in self.machines.values_mut().filter(|m| !m.leaving) {
            let quiet = now.saturating_sub(m.heard_at);
            let limit = if !m.up {
                let boot = self
                    .types
                    .as_ref()
                    .and_then(|ts| ts.iter().find(|t| t.name == m.machine_type))
                    .map_or(30 * SECOND, |t| micros(t.boot_s));
                if m.expected {
                    boot * 4 + 10 * SECOND
                } else {
                    // A record or a listing only: it should report right away.
                    silence + boot
                }
            } else if patient {
                ctx.config.lease * 3 / 2
            } else {
                silence
            };
            let taken = m.gone_by.is_some_and(|at| now >= at + SECOND) && quiet > ctx.config.report;
            if quiet >= limit || taken {
                log::info!("{}: silent for {} s, deleting it", m.name, seconds(quiet));
                m.leaving = true;
                self.desk.deletes.insert(m.name.clone());
            }
        }
    }

    fn return_idle(&mut self, ctx: &Ctx) {
        let now = ctx.now.steady;
        let idle = micros(ctx.config.tuning.idle_s);
        for m in self.machines.values_mut() {
            if !m.ready || m.leaving || !m.slots.is_empty() || !m.strays.is_empty() {
                continue;
            }
            let empty = now.saturating_sub(m.empty_since);
            // A machine costs a minute at least, so it may as well wait for it.
            let minute = now >= m.known_since + 55 * SECOND;
            if m.condemned || m.gone_by.is_some() || (empty >= idle && minute) {
                log::info!("{}: idle, returning it", m.name);
                m.leaving = true;
                self.desk.deletes.insert(m.name.clone());
            }
        }
    }

    /// A machine is gone for sure.
    fn machine_gone(&mut self, ctx: &Ctx, name: &str, why: &'static str) {
        self.gone.insert(name.to_string(), ctx.now.steady);
        let Some(mut m) = self.machines.remove(name) else {
            return;
        };
        log::info!("{name} is gone: {why}");
        for event in m.drain(why) {
            self.slot_event(ctx, name, event);
        }
        if m.recorded {
            self.ledger.push(Item::Drop(store::machine_key(name)));
        }
    }

    pub fn cloud_reply(
        &mut self,
        ctx: &mut Ctx,
        errand: Errand,
        reply: Result<CloudReply, CallError>,
    ) {
        let now = ctx.now.steady;
        self.desk.busy = false;
        match (errand, reply) {
            (Errand::Delete, Ok(CloudReply::Deleted)) => {
                for name in std::mem::take(&mut self.desk.deleting) {
                    self.desk.deletes.remove(&name);
                    self.machine_gone(ctx, &name, "deleted");
                }
            }
            (Errand::Rent, Ok(CloudReply::Rented(names))) => {
                if let Some(r) = self.desk.rentals.pop_front() {
                    self.rented(ctx, &r.rent, &names);
                }
            }
            (Errand::Rent, Ok(CloudReply::NoCapacity | CloudReply::Malformed)) => {
                if let Some(r) = self.desk.rentals.pop_front() {
                    self.refused(ctx, &r.rent, 0);
                }
            }
            (Errand::Rent, other) => {
                self.desk.pause(now);
                let refused = matches!(other, Ok(_) | Err(CallError::NotSent));
                if let Some(r) = self.desk.rentals.front_mut() {
                    r.uncertain |= !refused;
                    // What certainly was not carried out and is old is planned anew.
                    if !r.uncertain && now > r.since + 5 * SECOND {
                        self.desk.rentals.pop_front();
                    }
                }
            }
            (Errand::Types, Ok(CloudReply::Types(types))) => {
                self.desk.types_at = now + 60 * SECOND;
                self.new_types(types);
            }
            (Errand::List, Ok(CloudReply::Listed(list))) => self.listed(ctx, list),
            (Errand::Types, _) => {
                self.desk.types_at = now + 2 * SECOND;
                self.desk.pause(now);
            }
            (_, other) => {
                log::info!("the cloud does not do {errand:?}: {other:?}");
                self.desk.pause(now);
            }
        }
    }

    fn new_types(&mut self, types: Vec<MachineType>) {
        // Prices move all the time; only what decides on submissions, or the
        // first answer, is worth a write.
        let shape = |ts: &[MachineType]| {
            ts.iter()
                .map(|t| (t.name.clone(), t.cpus, t.gpus, t.memory_gb, t.zones.clone()))
                .collect::<Vec<_>>()
        };
        let same = self.types_stored
            && self
                .types
                .as_ref()
                .is_some_and(|old| shape(old) == shape(&types));
        let types = Rc::new(types);
        self.types = Some(types.clone());
        if !same {
            self.types_stored = false;
            self.ledger.push(Item::Types);
        }
        self.notes.push(Note::Types(types));
    }

    fn rented(&mut self, ctx: &Ctx, rent: &Rent, names: &[String]) {
        let now = ctx.now.steady;
        log::info!(
            "rented {}: {} of {}: {}",
            rent.request,
            names.len(),
            rent.count,
            names.join(" ")
        );
        for name in names {
            if self.gone.contains_key(name) {
                continue;
            }
            let m = self.machines.entry(name.clone()).or_insert_with(|| {
                Machine::new(name, &rent.machine_type, &rent.zone, rent.spot, now)
            });
            m.expected = true;
        }
        if (names.len() as u32) < rent.count {
            self.refused(ctx, rent, names.len());
        }
    }

    fn refused(&mut self, ctx: &Ctx, rent: &Rent, got: usize) {
        log::info!(
            "no more {} in {}, spot {}: {got} of {}",
            rent.machine_type,
            rent.zone,
            rent.spot,
            rent.count
        );
        let offer = (rent.machine_type.clone(), rent.zone.clone(), rent.spot);
        let until = ctx.now.steady + micros(ctx.config.tuning.refused_pause_s);
        self.refusals.refuse(offer, until);
        // Look for another offer at once.
        self.fleet_at = ctx.now.steady;
    }

    fn listed(&mut self, ctx: &Ctx, list: MachineList) {
        let now = ctx.now.steady;
        let last = list.machines.last().map(|m| m.name.clone());
        for l in list.machines {
            if self.gone.contains_key(&l.name) {
                continue;
            }
            if l.condition == Condition::Failed {
                self.machine_gone(ctx, &l.name, "listed as failed");
                self.desk.deletes.insert(l.name);
                continue;
            }
            let m = self.machines.entry(l.name.clone()).or_insert_with(|| {
                log::info!("{}: a machine not known before is listed", l.name);
                let mut m = Machine::new(&l.name, &l.machine_type, &l.zone, l.spot, now);
                m.expected = l.condition == Condition::Booting;
                m
            });
            if m.machine_type.is_empty() {
                m.machine_type = l.machine_type;
                m.zone = l.zone;
                m.spot = l.spot;
            }
            if !m.up && l.condition == Condition::Booting {
                // Leaders change; how long it has been booting does not. A
                // machine that never comes up is paid for until it is deleted.
                let age = micros(l.age_s).min(now);
                m.known_since = m.known_since.min(now - age);
                m.heard_at = m.heard_at.min(now - age);
            }
            if m.addr.is_none()
                && let Some(addr) = l.addr.filter(|a| !a.is_empty())
                && l.condition == Condition::Running
            {
                m.addr = Some(addr);
                m.wants_push = true;
            }
        }
        if list.more && last.is_some() {
            self.desk.list_after = last;
            self.desk.list_at = now;
        } else {
            self.desk.list_after = None;
            self.desk.list_at = now + 10 * SECOND;
        }
    }

    /// Jobs whose counts have changed since they were last shown.
    pub fn progress(&mut self) -> Vec<Progress> {
        let mut changed = Vec::new();
        for (id, job) in &mut self.jobs {
            let counts = (job.done, job.running.len() as u32);
            if counts != job.shown && changed.len() < dillcleat_mesh::MAX_PROGRESS {
                job.shown = counts;
                changed.push(Progress {
                    job: id.to_string(),
                    done: counts.0,
                    running: counts.1,
                });
            }
        }
        changed
    }
}
