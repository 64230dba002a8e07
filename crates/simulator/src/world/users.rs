//! Users, their jobs and their polls.

use super::network::Way;
use super::*;
use crate::rules::Room;
use crate::served::Served;

/// How often replicas are counted.
const LOOK: Micros = SECOND;
/// How often is looked for jobs that are left waiting.
const LOOK_FOR_WAITING: Micros = 5 * SECOND;
/// From this time after its acceptance a service is expected to be up.
const STARTED: Micros = 60 * SECOND;

impl World {
    pub(super) fn add_user(&mut self, job: usize) {
        let rng = &mut self.rng;
        let service = rng.u8(..3) == 0;
        let tasks = if service {
            rng.u32(1..4)
        } else {
            rng.u32(1..15) * self.scenario.scale
        };
        let one_zone = rng.u8(..6) == 0;
        let spec = JobSpec {
            id: format!("req-{:06}", 1000 + job * 7),
            class: if service { "web" } else { "merge" }.into(),
            team: if rng.bool() { "bound" } else { "free" }.into(),
            kind: if service {
                JobKind::Service
            } else {
                JobKind::Batch
            },
            priority: if service {
                Priority::Production
            } else {
                Priority::Normal
            },
            tasks,
            cpus: f64::from(rng.u32(1..5)),
            gpus: 0.0,
            memory_gb: 2.0,
            image: format!("img-{}", rng.u8(..4)),
            image_gb: 1.0,
            types: (rng.u8(..5) == 0).then(|| vec!["large".to_string()]),
            zone: (rng.u8(..6) == 0).then(|| ZONES[rng.usize(..3)].to_string()),
            single_zone: one_zone,
            spread: !one_zone && rng.u8(..3) == 0,
            spot: !service && rng.u8(..4) > 0,
            estimate_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: (!service).then_some(60.0),
            depends_on: Vec::new(),
        };
        let mut spec = spec;
        if let (0, Some(tasks)) = (job, self.scenario.large) {
            spec.kind = JobKind::Batch;
            spec.tasks = tasks;
            if self.scenario.upgrade.is_some() {
                // Dozens of its tasks are placed at once.
                (spec.cpus, spec.memory_gb) = (0.25, 0.5);
                (spec.single_zone, spec.zone) = (false, None);
            }
        }
        if spec.spread && spec.tasks > 1 {
            // In one zone alone a spread has no room for its second half.
            spec.zone = None;
        }
        let mut at = rng.u64(SECOND..self.scenario.busy * 2 / 3);
        if let (0, Some((first, _))) = (job, self.scenario.upgrade) {
            // The version before admits it.
            at = at.min(first);
        }
        let cancel = service || rng.u8(..5) == 0;
        let cancel_at = cancel.then(|| at + rng.u64(2 * SECOND..self.scenario.busy - at));
        let cancel_at = self.smaller(&mut spec, at, cancel_at);
        let long = self.varied(&mut spec);
        let object = self.plan(job, &mut spec);
        let rng = &mut self.rng;
        let play = Play {
            run: rng.u64(2 * SECOND..20 * SECOND) + long,
            fails: cancel && !service && rng.u8(..4) == 0,
            spec: spec.clone(),
        };
        self.plays.insert(spec.id.clone(), play);
        self.users.push(User {
            object,
            ..User::new(spec, cancel_at)
        });
        self.at(at, Ev::User { job });
    }

    /// On days of varied jobs: binds some to a zone, and has some of an array's need
    /// accelerators where there are any; Jobs of Kubernetes ask for none. By how much its
    /// tasks run longer.
    fn varied(&mut self, spec: &mut JobSpec) -> Micros {
        if self.scenario.large_site {
            // So long that machines are rented for all that waits.
            return self.side.u64(60 * SECOND..120 * SECOND);
        }
        if !self.scenario.varied {
            return 0;
        }
        let native = self.scenario.form == Form::Native;
        if self.scenario.tight && native && spec.kind == JobKind::Batch && self.side.u8(..3) == 0 {
            spec.gpus = 1.0;
            spec.types = None;
        }
        match self.side.u8(..8) {
            0 => spec.zone = Some(ZONES[self.side.usize(..3)].to_string()),
            1 | 2 => spec.single_zone = true,
            _ => {}
        }
        // The two exclude a spread.
        spec.spread &= spec.zone.is_none() && !spec.single_zone;
        match self.side.u8(..6) {
            0 => self.side.u64(20 * SECOND..70 * SECOND),
            _ => 0,
        }
    }

    /// On days of small jobs: two or three tasks for half of them, and more users that
    /// cancel.
    fn smaller(
        &mut self,
        spec: &mut JobSpec,
        at: Micros,
        cancel_at: Option<Micros>,
    ) -> Option<Micros> {
        if !self.scenario.small {
            return cancel_at;
        }
        if self.side.bool() {
            spec.tasks = self.side.u32(2..4);
        }
        let busy = self.scenario.busy;
        cancel_at.or_else(|| {
            let cancels = self.side.u8(..3) == 0;
            cancels.then(|| self.side.u64(at + 2 * SECOND..busy))
        })
    }

    pub(super) fn ask(
        &mut self,
        node: usize,
        asker: Asker,
        method: &str,
        target: String,
        body: Vec<u8>,
    ) {
        self.next += 1;
        let request = self.next;
        self.asked.insert(request, (asker, self.now));
        self.at(self.now + USER_TIMEOUT, Ev::UserTimeout { request });
        let epoch = self.nodes[node].epoch;
        let mut at = self.now + self.delay() / 4;
        let asker = self.asked.get(&request).map(|(asker, _)| asker);
        let from_region = !matches!(asker, Some(Asker::Worker { .. } | Asker::Nobody));
        if from_region {
            let Some(held) = self.held(None, Self::site(node), at) else {
                return;
            };
            at = held;
        }
        let input = Input::Request {
            id: RequestId(request),
            method: method.into(),
            target,
            body,
        };
        self.input(at, node, epoch, input);
    }

    pub(super) fn answer(&mut self, node: usize, request: u64, answer: Answer) {
        let Some((asker, asked)) = self.asked.remove(&request) else {
            return;
        };
        match asker {
            Asker::Worker {
                machine,
                session,
                seq,
                sent,
            } => {
                if let Ok(a) = dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
                    self.launches(node, &a.commands);
                }
                let zone = self.zone_of(&machine).unwrap_or(0);
                let held = self.zone_cut[zone].max(self.nodes[node].workers_cut);
                let Some(held) = self.held(Self::site(node), Some(zone), held) else {
                    return;
                };
                let (at, whole) = self.passage(held);
                if whole {
                    let answer = Box::new(answer);
                    self.at(
                        at,
                        Ev::CheckinAnswer {
                            machine,
                            session,
                            seq,
                            sent,
                            answer,
                            node,
                        },
                    );
                }
            }
            Asker::Nobody => {}
            asker if self.way(Self::site(node), None) != Way::Open => {
                // It never comes: whoever asked gives it up.
                self.asked.insert(request, (asker, asked));
            }
            asker => {
                let status = dillcleat_wire::decode::<JobStatus>(&answer.body).ok();
                let state = status.as_ref().map(|s| s.state);
                if let Some(s) = status.filter(|s| s.state == JobState::Cancelled) {
                    self.nodes[node].cancelled.insert(s.id);
                }
                self.user_answer(asker, asked, answer.status, state);
            }
        }
    }

    pub(super) fn submit(&mut self, node: usize, asker: Asker, spec: &JobSpec) {
        let body = dillcleat_wire::encode(spec);
        self.ask(node, asker, "POST", JOBS_PATH.into(), body);
    }

    pub(super) fn user(&mut self, job: usize) {
        let mut node = self.rng.usize(..self.nodes.len());
        // The load balancer leaves out who does not answer its probes: users once
        // went to nodes that were not running for a minute and more, and one
        // called its job forgotten for it (seed 40432).
        let mut none = true;
        for _ in 0..self.nodes.len() {
            let reached = self.way(None, Self::site(node)) == Way::Open
                && self.way(Self::site(node), None) == Way::Open;
            none &= !reached;
            if self.now < self.nodes[node].paused_until || !reached {
                node = (node + 1) % self.nodes.len();
            }
        }
        let now = self.now;
        if none {
            // There is no healthy node: that nobody is answered is no rule's matter.
            return self.user_again(now + SECOND, job);
        }
        if self.users[job].object.is_some() && self.object_user(node, job) {
            return;
        }
        if self.users[job].stage == Stage::Submitting && !self.may_hand_in(job) {
            return self.user_again(now + SECOND / 2, job);
        }
        let u = &mut self.users[job];
        let id = u.spec.id.clone();
        match u.stage {
            Stage::Submitting => {
                u.since.get_or_insert(now);
                let spec = u.spec.clone();
                self.checker.submits(&spec);
                self.submit(node, Asker::Submission { job }, &spec);
            }
            Stage::Polling | Stage::Over
                if u.ended.is_none() && u.cancel_at.is_some_and(|at| now >= at) =>
            {
                self.checker.asks_to_cancel(&id);
                self.ask(
                    node,
                    Asker::Cancel { job },
                    "POST",
                    cancel_path(&id),
                    Vec::new(),
                );
            }
            Stage::Polling | Stage::Over => {
                if u.stage == Stage::Over && u.again % 2 == 1 {
                    // Known whatever else it holds.
                    let mut spec = u.spec.clone();
                    spec.team = "unknown".into();
                    self.submit(node, Asker::Submission { job }, &spec);
                } else {
                    self.ask(node, Asker::Poll { job }, "GET", poll_path(&id), Vec::new());
                }
            }
        }
    }

    /// When a user asks again. On days that are compared on the second: when the last
    /// answer came is the one thing that two ways in may differ by.
    pub(super) fn user_again(&mut self, at: Micros, job: usize) {
        let at = match self.compared() {
            true => at.next_multiple_of(SECOND),
            false => at,
        };
        self.at(at, Ev::User { job });
    }

    pub(super) fn user_answer(
        &mut self,
        asker: Asker,
        asked: Micros,
        status: u16,
        state: Option<JobState>,
    ) {
        let news = self.news(&asker, status, state);
        self.user_hears(asker, asked, status, state);
        if let Some((job, accepted)) = news {
            self.presses(job, accepted);
        }
    }

    fn user_hears(&mut self, asker: Asker, asked: Micros, status: u16, state: Option<JobState>) {
        let now = self.now;
        self.digest.update(now.to_be_bytes());
        self.digest.update(status.to_be_bytes());
        self.digest.update(format!("{asker:?} {state:?}"));
        let ended = state.filter(|s| matches!(s, JobState::Done | JobState::Cancelled));
        if let Asker::Submission { job } | Asker::Poll { job } = asker {
            let u = &mut self.users[job];
            let known = matches!(status, 200 | 201);
            if known {
                u.accepted_at.get_or_insert(now);
            }
            if ended.is_some() {
                u.ended_at.get_or_insert(now);
            }
            let answered = f64::from(u8::from(known || status == 404));
            let (class, team) = (&u.spec.class, &u.spec.team);
            let add = |s: &mut Served| s.answers.add(now, 1.0, answered);
            self.served.count(class, team, add);
        }
        match asker {
            Asker::Worker { .. } | Asker::Object { .. } | Asker::Watcher | Asker::Nobody => {}
            Asker::Stranger { id } => self.checker.answered_poll(&id, status, state, asked, now),
            Asker::Refused { id, status: right } => {
                self.checker.answered_refused(&id, status, right, now);
            }
            Asker::Look { job } | Asker::Again { job } | Asker::CallOff { job } => {
                let u = &mut self.users[job];
                let id = u.spec.id.clone();
                u.accepted |= matches!(status, 200 | 201);
                if ended.is_some() {
                    u.ended = ended;
                    u.stage = Stage::Over;
                }
                match asker {
                    Asker::Again { .. } => self
                        .checker
                        .answered_submission(&id, status, state, asked, now),
                    // Also nodes are asked that no load balancer would choose: that they
                    // don't answer tells nothing.
                    _ if !matches!(status, 200 | 404) => {}
                    _ => self.checker.answered_poll(&id, status, state, asked, now),
                }
            }
            Asker::Submission { job } => {
                let u = &mut self.users[job];
                let id = u.spec.id.clone();
                match status {
                    200 | 201 => {
                        u.accepted = true;
                        if u.stage == Stage::Submitting {
                            u.stage = Stage::Polling;
                        }
                        if ended.is_some() {
                            u.ended = ended;
                            u.stage = Stage::Over;
                        }
                        self.user_again(now + 4 * SECOND, job);
                    }
                    400 | 422 if u.stage == Stage::Submitting => {}
                    _ => {
                        let gave_up = u.since.is_some_and(|s| now > s + 60 * SECOND);
                        let mut pause = SECOND;
                        if u.stage == Stage::Submitting && gave_up {
                            // What was held up on its way may be carried out yet: it
                            // asks once whether its job is known.
                            u.stage = Stage::Polling;
                            pause = 150 * SECOND;
                        }
                        self.user_again(now + pause, job);
                    }
                }
                self.checker
                    .answered_submission(&id, status, state, asked, now);
            }
            Asker::Poll { job } | Asker::Cancel { job } => {
                let u = &mut self.users[job];
                let id = u.spec.id.clone();
                u.accepted |= status == 200;
                if status == 404 && !u.accepted {
                    return;
                }
                if ended.is_some() {
                    u.ended = ended;
                    u.stage = Stage::Over;
                }
                let pause = match u.stage {
                    Stage::Over => {
                        u.again += 1;
                        20 * SECOND
                    }
                    _ if now < self.storm_until => 5 * SECOND / 8,
                    _ => 5 * SECOND,
                };
                self.user_again(now + pause, job);
                self.checker.answered_poll(&id, status, state, asked, now);
            }
        }
    }

    /// Counts the replicas that run now, of services that were accepted a while ago and
    /// that nobody has asked to cancel.
    pub(super) fn look_at_replicas(&mut self) {
        let cut = self.site_cut.iter().filter(|c| self.now < c.until).count();
        // With most zones cut off from everything nobody could keep replicas up.
        if !self.now.is_multiple_of(LOOK) || cut * 2 > ZONES.len() {
            return;
        }
        let wanted = |u: &&User| {
            u.spec.kind == JobKind::Service
                && u.accepted_at.is_some_and(|at| self.now > at + STARTED)
                && u.ended.is_none()
                && u.cancel_at.is_none_or(|at| self.now < at)
        };
        // No more counts than a team's limit lets run at once.
        let mut cpus: BTreeMap<&str, f64> = BTreeMap::new();
        for u in self.users.iter().filter(wanted) {
            let all = u.spec.cpus * f64::from(u.spec.tasks);
            *cpus.entry(&u.spec.team).or_default() += all;
        }
        let may = |team: &str| {
            let limits = self.config.teams.iter();
            let mut limits = limits.filter(|t| t.name == team && t.cpus_max > 0.0);
            limits
                .next()
                .map_or(1.0, |t| (t.cpus_max / cpus[team]).min(1.0))
        };
        for u in self.users.iter().filter(wanted) {
            let (on, _) = self.checker.tasks(&u.spec.id);
            let all = f64::from(u.spec.tasks) * may(&u.spec.team);
            let on = f64::from(on);
            let add = |s: &mut Served| s.replicas.add(self.now, all, on);
            self.served.count(&u.spec.class, &u.spec.team, add);
        }
    }

    /// Looks for jobs that are left waiting once the troubles are over.
    pub(super) fn look_for_waiting(&mut self) {
        let due = self.now.is_multiple_of(LOOK_FOR_WAITING);
        if self.now < self.checker.troubles_end || !due {
            return;
        }
        let room = |w: &Worker| {
            let (cpus, gpus) = w.free();
            Room {
                place: w.place.clone(),
                cpus,
                gpus,
                tasks: w.live().cloned().collect(),
                takes: w.takes(self.now),
            }
        };
        let rooms: Vec<Room> = self.workers.values().map(room).collect();
        let fails = |id: &str| self.plays.get(id).is_some_and(|p| p.fails);
        self.checker.look_for_waiting(&rooms, fails, self.now);
    }

    /// Counts what was done of the arrays that were to be done.
    pub(super) fn finish_served(&mut self) {
        let mut largest: BTreeMap<&str, u32> = BTreeMap::new();
        for u in &self.users {
            let most = largest.entry(&u.spec.class).or_default();
            *most = u.spec.tasks.max(*most);
        }
        for u in &self.users {
            let due = u.accepted_at.zip(u.spec.deadline_s);
            let due = due.map(|(at, due)| at + dillcleat_controller::micros(due));
            let Some(due) = due.filter(|at| *at < self.now && u.cancel_at.is_none()) else {
                continue;
            };
            let (_, done) = self.checker.tasks(&u.spec.id);
            let (all, done) = (f64::from(u.spec.tasks), f64::from(done));
            let in_time = f64::from(u8::from(u.ended_at.is_some_and(|at| at <= due)));
            self.served.count(&u.spec.class, &u.spec.team, |s| {
                s.work.add(due, all, done);
                s.in_time.add(due, 1.0, in_time);
            });
            if u.spec.tasks == largest[&*u.spec.class] {
                let add = |s: &mut Served| s.work.add(due, all, done);
                self.served.count_largest(&u.spec.class, add);
            }
        }
    }
}
