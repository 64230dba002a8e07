//! What is derived from jobs and machines, brought up to date by what changed.
//!
//! Every sum, set and order that a pass, a rental plan or a tick asks for is
//! kept here. A job or machine that was touched is marked by its slab; what
//! changes by time alone (a pause that ends, a report that is missed, a use of a
//! job's end that passes) is marked when it is due. [`Leader::refresh`] looks at
//! the marked ones and at nothing else: before, every pass walked all jobs and
//! all machines, and with ten thousand of them a leader on a quarter of a
//! processor had 2,487 leases run out unanswered.

use super::*;
use dillcleat_sched::resources::from_millionths;
use dillcleat_sched::{AgeingState, OrderedFloat, QueueEntry, QueueRank};
use roaring::RoaringBitmap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What one job adds to the sums.
#[derive(Debug, Clone, PartialEq)]
struct JobPart {
    team: usize,
    /// CPUs and GPUs of its placed tasks, in millionths as are all sums.
    cpus: i64,
    gpus: i64,
    /// Of those, what tasks in training take.
    training: i64,
    ages: bool,
    service: bool,
    /// CPUs of all of a service's replicas that are to run.
    replicas: i64,
    /// The image of a service.
    image: Option<Rc<str>>,
    /// The wait that users expect of its class, and the room kept for it.
    reserve: Option<(usize, i64)>,
    cancelled: bool,
    /// It is ordered by the guess of its class.
    guessed: bool,
    /// Its counts are not what siblings were told last.
    unshown: bool,
}

/// What one machine adds to the sums.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MachinePart {
    zone: Rc<str>,
    /// It has reported and is not being returned.
    up: bool,
    /// It is up and has missed a report.
    silent: bool,
    /// It has yet to report in this term, and may.
    booting: bool,
    /// The cloud has said when it takes it back.
    noticed: bool,
    /// Nothing is on it.
    empty: bool,
    /// It runs arrays' tasks: on a spot machine or not.
    lends: Option<bool>,
    recorded: bool,
    /// CPUs, if it has reported in this term.
    ready: i64,
    /// CPUs, if it was rented and is not up.
    coming: i64,
    /// CPUs of what was kept for services and is lent.
    lent: i64,
}

/// Sums over all jobs and all machines, in millionths where they are amounts.
#[derive(Debug, PartialEq)]
pub(super) struct Sums {
    /// CPUs and GPUs of placed tasks, by team. Those of teams that are not in the
    /// settings stand last.
    teams: Vec<(i64, i64)>,
    /// The same of jobs that can't be taken up.
    claims: Vec<(i64, i64)>,
    /// Active jobs: those that age.
    pub ageing: usize,
    training: i64,
    /// CPUs of arrays' placed tasks, and of all replicas that are to run.
    arrays: i64,
    replicas: i64,
    /// Services by image.
    images: HashMap<Rc<str>, u32>,
    /// Room to be kept for replicas, by the wait that users expect.
    reserves: Vec<BTreeMap<i64, usize>>,
    ready: i64,
    coming: i64,
    /// CPUs by zone of what was kept for services and is lent.
    lent: BTreeMap<Rc<str>, i64>,
    pub recorded: usize,
    /// Machines that are up, by zone.
    pub up: BTreeMap<Rc<str>, usize>,
}

impl Sums {
    fn new(config: &Config) -> Sums {
        Sums {
            teams: vec![(0, 0); config.teams.len() + 1],
            claims: Vec::new(),
            ageing: 0,
            training: 0,
            arrays: 0,
            replicas: 0,
            images: HashMap::new(),
            reserves: vec![BTreeMap::new(); config.start_objectives.len()],
            ready: 0,
            coming: 0,
            lent: BTreeMap::new(),
            recorded: 0,
            up: BTreeMap::new(),
        }
    }

    pub fn fleet_cpus(&self) -> f64 {
        from_millionths(self.ready)
    }

    pub fn coming_cpus(&self) -> f64 {
        from_millionths(self.coming)
    }

    pub fn lent_cpus(&self) -> BTreeMap<Rc<str>, f64> {
        let lent = self.lent.iter();
        lent.map(|(zone, cpus)| (zone.clone(), from_millionths(*cpus)))
            .collect()
    }

    pub fn training_cpus(&self) -> f64 {
        from_millionths(self.training)
    }

    pub fn array_cpus(&self) -> f64 {
        from_millionths(self.arrays)
    }

    pub fn replica_cpus(&self) -> f64 {
        from_millionths(self.replicas)
    }

    /// The most room that a service of the expected wait has kept for it.
    pub fn reserve(&self, wait: usize) -> f64 {
        let kept = self.reserves.get(wait).and_then(|r| r.last_key_value());
        kept.map_or(0.0, |(cpus, _)| from_millionths(*cpus))
    }

    /// Whether services use the image.
    pub fn serves(&self, image: &Rc<str>) -> bool {
        self.images.contains_key(image)
    }

    pub fn team_views(&self, config: &Config) -> Vec<TeamAllowance> {
        let left = |max: f64, used: i64| {
            if max > 0.0 {
                max - from_millionths(used)
            } else {
                f64::INFINITY
            }
        };
        let of = |sums: &[(i64, i64)], i: usize| sums.get(i).copied().unwrap_or_default();
        let known = config.teams.iter().enumerate().map(|(i, t)| {
            let (taken, claimed) = (of(&self.teams, i), of(&self.claims, i));
            TeamAllowance {
                cpus_left: left(t.cpus_max, taken.0 + claimed.0),
                gpus_left: left(t.gpus_max, taken.1 + claimed.1),
            }
        });
        // Nothing is placed of teams that are not in the settings.
        let unknown = TeamAllowance {
            cpus_left: 0.0,
            gpus_left: 0.0,
        };
        known.chain([unknown]).collect()
    }
}

/// Something that changes by time alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Job(SlabIndex),
    Machine(SlabIndex),
}

#[derive(Debug)]
pub(super) struct DerivedState {
    pub job_queue: JobQueue,
    pub capacity: CapacityIndex,
    pub sums: Sums,
    jobs: Vec<Option<JobPart>>,
    machines: Vec<Option<MachinePart>>,
    pub cancelled: RoaringBitmap,
    pub guessed: RoaringBitmap,
    pub unshown: RoaringBitmap,
    pub silent: RoaringBitmap,
    pub booting: RoaringBitmap,
    pub noticed: RoaringBitmap,
    pub empty: RoaringBitmap,
    /// Machines that run arrays' tasks: ordinary, spot.
    pub lending: [RoaringBitmap; 2],
    /// At least one entry for each thing that is due, none later than it is:
    /// an entry that comes too early is made anew.
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    /// The earliest entry of each job and machine.
    entered: [Vec<Micros>; 2],
}

fn member(set: &mut RoaringBitmap, place: SlabIndex, is: bool) {
    if is {
        set.insert(place);
    } else {
        set.remove(place);
    }
}

/// Counts one more or one less; what nothing is left of goes.
fn count<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K, sign: i64) {
    let n = counts.get(&key).copied().unwrap_or(0);
    match n.saturating_add_signed(sign as isize) {
        0 => counts.remove(&key),
        n => counts.insert(key, n),
    };
}

/// The slot of a place in a list that grows as needed.
fn slot<T: Clone>(list: &mut Vec<T>, place: SlabIndex, vacant: T) -> &mut T {
    let i = place as usize;
    if i >= list.len() {
        list.resize(i + 1, vacant);
    }
    &mut list[i]
}

impl DerivedState {
    pub fn new(config: &Config) -> DerivedState {
        DerivedState {
            job_queue: JobQueue::default(),
            capacity: CapacityIndex::new(),
            sums: Sums::new(config),
            jobs: Vec::new(),
            machines: Vec::new(),
            cancelled: RoaringBitmap::new(),
            guessed: RoaringBitmap::new(),
            unshown: RoaringBitmap::new(),
            silent: RoaringBitmap::new(),
            booting: RoaringBitmap::new(),
            noticed: RoaringBitmap::new(),
            empty: RoaringBitmap::new(),
            lending: Default::default(),
            due: BinaryHeap::new(),
            entered: Default::default(),
        }
    }

    fn entry(&mut self, due: Due) -> &mut Micros {
        match due {
            Due::Job(place) => slot(&mut self.entered[0], place, Micros::MAX),
            Due::Machine(place) => slot(&mut self.entered[1], place, Micros::MAX),
        }
    }

    fn remind(&mut self, at: Micros, due: Due) {
        let entered = self.entry(due);
        if at < *entered {
            *entered = at;
            self.due.push(Reverse((at, due)));
        }
    }

    /// What is due by now.
    fn next_due(&mut self, now: Micros) -> Option<Due> {
        let Reverse((at, due)) = *self.due.peek()?;
        if at > now {
            return None;
        }
        self.due.pop();
        let entered = self.entry(due);
        if *entered == at {
            *entered = Micros::MAX;
        }
        Some(due)
    }

    fn set_job(&mut self, place: SlabIndex, part: Option<JobPart>) -> Vec<Rc<str>> {
        let old = slot(&mut self.jobs, place, None);
        if *old == part {
            return Vec::new();
        }
        let old = std::mem::replace(old, part.clone());
        member(
            &mut self.cancelled,
            place,
            part.as_ref().is_some_and(|p| p.cancelled),
        );
        member(
            &mut self.guessed,
            place,
            part.as_ref().is_some_and(|p| p.guessed),
        );
        member(
            &mut self.unshown,
            place,
            part.as_ref().is_some_and(|p| p.unshown),
        );
        let image = |p: &Option<JobPart>| p.as_ref().and_then(|p| p.image.clone());
        let (before, after) = (image(&old), image(&part));
        if let Some(p) = old {
            self.sums.add_job(&p, -1);
        }
        if let Some(p) = part {
            self.sums.add_job(&p, 1);
        }
        if before == after {
            return Vec::new();
        }
        // Images that services began or ceased to use: a place that passes from one
        // service to another between two looks may bring one of each (seed 8 of meetings).
        let new = |i: &Rc<str>| self.sums.images.get(i) == Some(&1);
        let gone = |i: &Rc<str>| !self.sums.images.contains_key(i);
        after
            .filter(new)
            .into_iter()
            .chain(before.filter(gone))
            .collect()
    }

    fn set_machine(&mut self, place: SlabIndex, part: Option<MachinePart>) {
        let old = slot(&mut self.machines, place, None);
        if *old == part {
            return;
        }
        let old = std::mem::replace(old, part.clone());
        let is = |of: fn(&MachinePart) -> bool| part.as_ref().is_some_and(of);
        member(&mut self.silent, place, is(|p| p.silent));
        member(&mut self.booting, place, is(|p| p.booting));
        member(&mut self.noticed, place, is(|p| p.noticed));
        member(&mut self.empty, place, is(|p| p.empty));
        member(&mut self.lending[0], place, is(|p| p.lends == Some(false)));
        member(&mut self.lending[1], place, is(|p| p.lends == Some(true)));
        if let Some(p) = old {
            self.sums.add_machine(&p, -1);
        }
        if let Some(p) = part {
            self.sums.add_machine(&p, 1);
        }
    }
}

impl Sums {
    fn add_job(&mut self, p: &JobPart, sign: i64) {
        if let Some((cpus, gpus)) = self.teams.get_mut(p.team) {
            *cpus += sign * p.cpus;
            *gpus += sign * p.gpus;
        }
        self.training += sign * p.training;
        if p.service {
            self.replicas += sign * p.replicas;
        } else {
            self.arrays += sign * p.cpus;
        }
        if p.ages {
            self.ageing = self.ageing.saturating_add_signed(sign as isize);
        }
        if let Some(image) = &p.image {
            let n = self.images.entry(image.clone()).or_default();
            *n = n.saturating_add_signed(sign as i32);
            if *n == 0 {
                self.images.remove(image);
            }
        }
        if let Some((wait, cpus)) = p.reserve
            && let Some(kept) = self.reserves.get_mut(wait)
        {
            count(kept, cpus, sign);
        }
    }

    fn add_machine(&mut self, p: &MachinePart, sign: i64) {
        self.ready += sign * p.ready;
        self.coming += sign * p.coming;
        if p.lent != 0 {
            let lent = self.lent.entry(p.zone.clone()).or_default();
            *lent += sign * p.lent;
            if *lent == 0 {
                self.lent.remove(&p.zone);
            }
        }
        if p.recorded {
            self.recorded = self.recorded.saturating_add_signed(sign as isize);
        }
        if p.up {
            count(&mut self.up, p.zone.clone(), sign);
        }
    }
}

impl Leader {
    /// Brings the index up to date with what was touched and what is due.
    pub(super) fn refresh(&mut self, ctx: &Context) {
        while let Some(due) = self.derived.next_due(ctx.now.monotonic) {
            match due {
                Due::Job(place) => self.jobs.mark(place),
                Due::Machine(place) => self.machines.mark(place),
            }
        }
        for place in self.jobs.take_marked() {
            self.refresh_job(ctx, place);
        }
        while let Some(place) = self.derived.job_queue.aged(self.scheduling.virtual_time) {
            self.refresh_job(ctx, place);
        }
        for place in self.machines.take_marked() {
            self.refresh_machine(ctx, place);
        }
        self.derived.sums.claims = self.claims(ctx.config);
    }

    /// Builds everything anew and tells what was not as it should have been.
    /// For rehearsals: it costs as much as there are jobs and machines.
    pub fn audit(&mut self, ctx: &Context) -> Vec<&'static str> {
        self.mark_guessed();
        self.refresh(ctx);
        let old = std::mem::replace(&mut self.derived, DerivedState::new(ctx.config));
        self.jobs.mark_all();
        self.machines.mark_all();
        self.refresh(ctx);
        let new = &self.derived;
        let line = |i: &DerivedState| {
            i.job_queue
                .all(self.scheduling.virtual_time)
                .collect::<Vec<_>>()
        };
        let mut places = 0..self.machines.places();
        // Of machines without room nobody asks which images they hold.
        let warm = |m: &MachineView| {
            if m.free.cpus > 0.0 {
                m.service_images
            } else {
                0
            }
        };
        let view =
            |i: &DerivedState, place| i.capacity.view(place).map(|m| (m.free, warm(m), m.spot));
        [
            ("who waits for whom", self.audit_waits()),
            ("sums", old.sums == new.sums),
            ("line", line(&old) == line(new)),
            ("floor", places.all(|p| view(&old, p) == view(new, p))),
            ("cancelled jobs", old.cancelled == new.cancelled),
            ("guessed jobs", old.guessed == new.guessed),
            ("unshown jobs", old.unshown == new.unshown),
            ("silent machines", old.silent == new.silent),
            ("booting machines", old.booting == new.booting),
            ("noticed machines", old.noticed == new.noticed),
            ("empty machines", old.empty == new.empty),
            ("lending machines", old.lending == new.lending),
        ]
        .into_iter()
        .filter_map(|(what, same)| (!same).then_some(what))
        .collect()
    }

    /// Has the waiting jobs that are ordered by the guess of their class looked at
    /// again, once a second: at every task's end it would be a walk over all of
    /// them each time.
    pub(super) fn mark_guessed(&mut self) {
        if std::mem::take(&mut self.estimates.run_time_estimates_changed) {
            for place in &self.derived.guessed {
                self.jobs.mark(place);
            }
        }
    }

    fn refresh_job(&mut self, ctx: &Context, place: SlabIndex) {
        if let Some(job) = self.jobs.quiet(place) {
            job.pace(self.scheduling.virtual_time);
            job.hunger(ctx);
        }
        let (part, standing, due) = match self.jobs.at(place) {
            Some((id, job)) => {
                let standing = self.standing(ctx, id, job);
                // One that does not age while it fails may have come to zero as
                // well; left out, it once stood by an old guess (seed 2291 as Jobs).
                let guessed = standing
                    .as_ref()
                    .is_some_and(|s| s.ageing != AgeingState::Ageing)
                    && job.samples.is_empty()
                    && job.spec.kind == JobKind::Batch;
                let part = job.part(ctx.config, guessed);
                (Some(part), standing, self.job_due(ctx, job))
            }
            None => (None, None, None),
        };
        self.derived.job_queue.set(place, standing);
        for image in self.derived.set_job(place, part) {
            for machine in self.derived.capacity.holders(&image) {
                self.machines.mark(machine);
            }
        }
        if let Some(at) = due {
            self.derived.remind(at, Due::Job(place));
        }
    }

    /// Where a job stands that waits and may be served.
    fn standing(&self, ctx: &Context, id: &Rc<str>, job: &Job) -> Option<QueueEntry> {
        let now = ctx.now.monotonic;
        let waits = job.cancelled.is_none()
            && !job.blocked_on_dependencies
            && job.team < ctx.config.teams.len()
            && job.placeable() > 0
            && now >= job.blocked_until
            && job
                .record
                .may_start(job.placed(), job.shape.starving(), now);
        if !waits {
            return None;
        }
        let (pace, size) = match job.ageing_since {
            Some(_) if job.aged_at() <= self.scheduling.virtual_time => (AgeingState::Aged, 0.0),
            Some(_) => (AgeingState::Ageing, job.aged_at()),
            None => (AgeingState::Fixed, (job.size - job.credit).max(0.0)),
        };
        let remaining = if size > 0.0 || job.spec.kind == JobKind::Service {
            0.0
        } else if Self::overdue(ctx, job) {
            // Beyond every use of its end it comes last.
            f64::INFINITY
        } else {
            let left = job.tasks.len() as f64 - f64::from(job.done);
            left * job.spec.cpus * self.run_time(ctx.config, job)
        };
        let rank = |first: bool, size: f64, remaining: f64| QueueRank {
            service: Reverse(first && job.spec.kind == JobKind::Service),
            priority: Reverse(job.priority),
            tiny: Reverse(first && job.tiny(ctx.config)),
            size: OrderedFloat(size),
            remaining: OrderedFloat(remaining),
            submitted: job.ready_at,
            id: id.clone(),
        };
        Some(QueueEntry {
            team: job.team,
            request: job.shape.clone(),
            ageing: pace,
            rank: rank(true, size, remaining),
            training: (job.training(ctx.config) > 0).then(|| rank(false, job.initial_size, 0.0)),
        })
    }

    /// When a job's standing changes by time alone.
    fn job_due(&self, ctx: &Context, job: &Job) -> Option<Micros> {
        let now = ctx.now.monotonic;
        // As the time of day has it.
        let useless = Self::of_use_until(ctx.config, job)
            .map(|end| now.saturating_add(end.saturating_sub(ctx.now.wall)));
        [
            Some(job.blocked_until),
            job.record.next_try(),
            useless.filter(|_| !job.waiting.is_empty()),
            job.starves_at(ctx.config),
        ]
        .into_iter()
        .flatten()
        .filter(|at| *at > now)
        .min()
    }

    fn refresh_machine(&mut self, ctx: &Context, place: SlabIndex) {
        let now = ctx.now.monotonic;
        let missing = Self::missing(ctx.config);
        let (part, view, due) = match self.machines.at(place) {
            Some((_, m)) => {
                let total = self.total(&m.machine_type);
                let part = m_part(m, total, now, missing);
                // A launch to a machine that is gone, behind a cut or deaf would hold
                // its task until there is proof that it did not arrive; at one that is
                // mute it may end with the lease.
                let there = m.accepts_tasks_as_last_resort(now) && m.is_reachable(now, missing);
                let view = total.filter(|_| there).map(|total| {
                    let mut view = Self::view_with(m, m.free(total));
                    view.outbound_unreachable = !m.is_reachable_both_ways(now, missing);
                    if !m.spot {
                        view.service_images = self.warm(m);
                    }
                    view
                });
                let dues = [m.heard_at, m.reported_at].map(|at| at + missing);
                let dues = dues.into_iter().chain([m.blocked_until]);
                let due = dues.filter(|at| *at > now).min();
                (Some(part), view, due)
            }
            None => (None, None, None),
        };
        self.derived.set_machine(place, part);
        self.derived.capacity.set(place, view);
        if let Some(at) = due {
            self.derived.remind(at, Due::Machine(place));
        }
    }

    /// How many images of services the machine holds.
    pub(super) fn warm(&self, m: &Machine) -> u32 {
        let held = m.images.iter();
        held.filter(|(i, _)| self.derived.sums.serves(i)).count() as u32
    }
}

fn m_part(m: &Machine, total: Option<Resources>, now: Micros, missing: Micros) -> MachinePart {
    let cpus = total.map_or(0, |t| to_millionths(t.cpus));
    let up = m.up && !m.leaving;
    let booting = !m.ready && !m.leaving;
    MachinePart {
        zone: m.zone.clone(),
        up,
        silent: up && now >= m.heard_at + missing,
        booting,
        noticed: m.interrupted_at.is_some() && !m.leaving,
        empty: m.slots.is_empty() && m.ready && !m.leaving,
        lends: m.slots.values().any(|s| !s.service).then_some(m.spot),
        recorded: m.recorded && !m.leaving,
        ready: if m.ready { cpus } else { 0 },
        coming: if booting && m.expected { cpus } else { 0 },
        lent: m
            .slots
            .values()
            .filter(|s| s.uses_service_headroom)
            .map(|s| to_millionths(s.resources.cpus))
            .sum(),
    }
}

impl Job {
    /// Lets the job age, or not, from this reading of the clock on.
    fn pace(&mut self, clock: f64) {
        let ages = self.spec.kind == JobKind::Batch
            && self.cancelled.is_none()
            && !self.blocked_on_dependencies
            && !self.ending
            && !self.record.doubtful();
        match (ages, self.ageing_since) {
            (true, None) => self.ageing_since = Some(clock),
            (false, Some(since)) => {
                self.credit += clock - since;
                self.ageing_since = None;
            }
            _ => {}
        }
    }

    /// Notes since when the job waits, and whether it is starving. A pause after an
    /// error is a part of its wait.
    fn hunger(&mut self, ctx: &Context) {
        let waits =
            self.cancelled.is_none() && !self.blocked_on_dependencies && self.placeable() > 0;
        let now = ctx.now.monotonic;
        self.waits_since = waits.then(|| self.waits_since.unwrap_or(now));
        let starves_at = self.starves_at(ctx.config);
        let starving = starves_at.is_some_and(|at| now >= at);
        if self.shape.starving() != starving {
            self.shape = Rc::new(self.shape.when(starving));
        }
    }

    /// When it is starving, if it gets no room until then.
    fn starves_at(&self, config: &Config) -> Option<Micros> {
        Some(self.waits_since? + micros(config.tuning.starve_s))
    }

    /// The reading of the clock at which an ageing job's virtual size is zero.
    fn aged_at(&self) -> f64 {
        self.size - self.credit + self.ageing_since.unwrap_or(0.0)
    }

    fn part(&self, config: &Config, guessed: bool) -> JobPart {
        let service = self.spec.kind == JobKind::Service;
        let placed = self.placed() as i64;
        let cpus = to_millionths(self.spec.cpus);
        let training = if self.trained || self.tiny(config) {
            0
        } else {
            placed.min(i64::from(config.tuning.training_tasks)) * cpus
        };
        let serving = service && self.cancelled.is_none() && !self.blocked_on_dependencies;
        let mut objectives = config.start_objectives.iter();
        let wait = objectives.position(|o| o.class == self.spec.class);
        JobPart {
            team: self.team,
            cpus: placed.saturating_mul(cpus),
            gpus: placed.saturating_mul(to_millionths(self.spec.gpus)),
            training,
            ages: self.ageing_since.is_some(),
            service,
            replicas: if serving {
                (placed + self.waiting.len() as i64).saturating_mul(cpus)
            } else {
                0
            },
            image: serving.then(|| self.image.clone()),
            reserve: wait
                .filter(|_| service && !self.blocked_on_dependencies)
                .map(|wait| {
                    // A zone takes up to half of a spread service.
                    let share = self.spec.tasks.div_ceil(2);
                    let replicas = config.tuning.reserve_replicas.max(share);
                    (wait, i64::from(replicas).saturating_mul(cpus))
                }),
            cancelled: self.cancelled.is_some(),
            guessed,
            unshown: (self.done, self.running.len() as u32) != self.shown,
        }
    }
}
