//! Users, their requests and the evaluation of answers.

use super::network::{Link, SLOW_HEARTBEAT_REPLY};
use super::*;
use crate::rules::MachineCapacity;
use crate::service_shares::ReceivedService;

const REPLICA_COUNT_INTERVAL: Micros = SECOND;
const WAITING_JOBS_INTERVAL: Micros = 5 * SECOND;
/// Time from the acceptance of a service until its replicas are expected to run.
const SERVICE_START_TIME: Micros = 60 * SECOND;

impl Simulation {
    pub(super) fn add_user(&mut self, job: usize) {
        let id = self.next_job_id();
        let rng = &mut self.rng;
        let service = rng.u8(..3) == 0;
        let tasks = if service {
            rng.u32(1..4)
        } else {
            rng.u32(1..15) * self.scenario.scale
        };
        let one_zone = rng.u8(..6) == 0;
        let spec = JobSpec {
            id,
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
        if let (0, Some(tasks)) = (job, self.scenario.large_job_tasks) {
            spec.kind = JobKind::Batch;
            spec.tasks = tasks;
            if self.scenario.upgrade.is_some() || self.scenario.lowered_write_rate.is_some() {
                // With small tasks, dozens of them are placed at the same time.
                (spec.cpus, spec.memory_gb) = (0.25, 0.5);
                (spec.single_zone, spec.zone) = (false, None);
            }
        }
        if spec.spread && spec.tasks > 1 {
            // A spread job may place only half of its tasks in one zone.
            spec.zone = None;
        }
        let mut at = rng.u64(SECOND..self.scenario.activity_end * 2 / 3);
        if let (0, Some((first, _))) = (job, self.scenario.upgrade) {
            // The job must be admitted by the version that is replaced.
            at = at.min(first);
        }
        let cancel = service || rng.u8(..5) == 0;
        let cancel_at = cancel.then(|| at + rng.u64(2 * SECOND..self.scenario.activity_end - at));
        let cancel_at = self.shrink_job(&mut spec, at, cancel_at);
        let extra_run_time = self.vary_placement(&mut spec);
        let kube_job = self.kube_job(job, &mut spec);
        let rng = &mut self.rng;
        let behaviour = TaskBehaviour {
            run_time: rng.u64(2 * SECOND..20 * SECOND) + extra_run_time,
            fails: cancel && !service && rng.u8(..4) == 0,
            spec: spec.clone(),
        };
        self.task_behaviours.insert(spec.id.clone(), behaviour);
        self.users.push(User {
            kube_job,
            ..User::new(spec, cancel_at)
        });
        self.schedule(at, Event::UserRequest { job });
    }

    /// The id of the job of the user that is added next.
    pub(super) fn next_job_id(&self) -> String {
        format!("req-{:06}", 1000 + self.users.len() * 7)
    }

    /// Adds a user who sends the first request at `at`, and whose tasks run for `run_time`.
    pub(super) fn schedule_user(&mut self, at: Micros, user: User, run_time: Micros) {
        let behaviour = TaskBehaviour {
            run_time,
            fails: false,
            spec: user.spec.clone(),
        };
        self.task_behaviours.insert(user.spec.id.clone(), behaviour);
        let job = self.users.len();
        self.users.push(user);
        self.schedule(at, Event::UserRequest { job });
    }

    /// In scenarios with varied jobs, binds some jobs to a zone and makes some native
    /// batch jobs request accelerators where machines have them. Returns the time to add
    /// to the run time of the job's tasks.
    fn vary_placement(&mut self, spec: &mut JobSpec) -> Micros {
        if self.scenario.large_site {
            // Tasks run so long that machines are rented for all waiting tasks.
            return self.auxiliary_rng.u64(60 * SECOND..120 * SECOND);
        }
        if !self.scenario.varied_jobs {
            return 0;
        }
        let native = self.scenario.form == SubmissionForm::Native;
        if self.scenario.tight_quotas
            && native
            && spec.kind == JobKind::Batch
            && self.auxiliary_rng.u8(..3) == 0
        {
            spec.gpus = 1.0;
            spec.types = None;
        }
        match self.auxiliary_rng.u8(..8) {
            0 => spec.zone = Some(ZONES[self.auxiliary_rng.usize(..3)].to_string()),
            1 | 2 => spec.single_zone = true,
            _ => {}
        }
        // A job bound to one zone cannot be spread.
        spec.spread &= spec.zone.is_none() && !spec.single_zone;
        match self.auxiliary_rng.u8(..6) {
            0 => self.auxiliary_rng.u64(20 * SECOND..70 * SECOND),
            _ => 0,
        }
    }

    /// In scenarios with small jobs, reduces half of the jobs to two or three tasks and
    /// lets more users cancel.
    fn shrink_job(
        &mut self,
        spec: &mut JobSpec,
        at: Micros,
        cancel_at: Option<Micros>,
    ) -> Option<Micros> {
        if !self.scenario.small_jobs {
            return cancel_at;
        }
        if self.auxiliary_rng.bool() {
            spec.tasks = self.auxiliary_rng.u32(2..4);
        }
        let activity_end = self.scenario.activity_end;
        cancel_at.or_else(|| {
            let cancels = self.auxiliary_rng.u8(..3) == 0;
            cancels.then(|| self.auxiliary_rng.u64(at + 2 * SECOND..activity_end))
        })
    }

    pub(super) fn send_request(
        &mut self,
        node: usize,
        requester: Requester,
        method: &str,
        target: String,
        body: Vec<u8>,
    ) {
        self.last_request_id += 1;
        let request = self.last_request_id;
        let from_outside_zones = !matches!(
            requester,
            Requester::Worker { .. } | Requester::ReplyDiscarded
        );
        self.pending_requests.insert(request, (requester, self.now));
        self.schedule(
            self.now + REQUEST_TIMEOUT,
            Event::RequestTimeout { request },
        );
        let epoch = self.nodes[node].epoch;
        let mut at = self.now + self.network_delay() / 4;
        if from_outside_zones {
            let Some(arrival) = self.delivery_time(None, Self::node_zone(node), at) else {
                return;
            };
            at = arrival;
        }
        let input = Input::Request {
            id: RequestId(request),
            method: method.into(),
            target,
            body,
        };
        self.schedule_input(at, node, epoch, input);
    }

    pub(super) fn answer(&mut self, node: usize, request: u64, answer: Answer) {
        let Some((requester, sent_at)) = self.pending_requests.remove(&request) else {
            return;
        };
        match requester {
            Requester::Worker {
                machine,
                incarnation,
                sequence,
                sent_at,
            } => {
                if let Ok(reply) = dillcleat_wire::decode::<HeartbeatReply>(&answer.body) {
                    self.check_launches(node, &reply.commands);
                }
                let zone = self.zone_of(&machine).unwrap_or(0);
                let partition_end = self.zone_worker_partition_until[zone]
                    .max(self.nodes[node].worker_partition_until);
                let held_until =
                    self.delivery_time(Self::node_zone(node), Some(zone), partition_end);
                let Some(held_until) = held_until else {
                    return;
                };
                let (at, intact) = self.transit(held_until);
                if intact {
                    let at = at + self.slow_link_delay(&machine, SLOW_HEARTBEAT_REPLY);
                    let answer = Box::new(answer);
                    self.schedule(
                        at,
                        Event::HeartbeatReply {
                            machine,
                            incarnation,
                            sequence,
                            sent_at,
                            answer,
                            node,
                        },
                    );
                }
            }
            Requester::ReplyDiscarded => {}
            requester if self.link(Self::node_zone(node), None) != Link::Up => {
                // The answer is lost; the request will time out.
                self.pending_requests.insert(request, (requester, sent_at));
            }
            requester => {
                let status = dillcleat_wire::decode::<JobStatus>(&answer.body).ok();
                let state = status.as_ref().map(|s| s.state);
                if let Some(s) = status.filter(|s| s.state == JobState::Cancelled) {
                    self.nodes[node].known_cancelled_jobs.insert(s.id);
                }
                self.handle_user_answer(requester, sent_at, answer.status, state);
            }
        }
    }

    pub(super) fn submit(&mut self, node: usize, requester: Requester, spec: &JobSpec) {
        let body = dillcleat_wire::encode(spec);
        self.send_request(node, requester, "POST", JOBS_PATH.into(), body);
    }

    pub(super) fn user_request(&mut self, job: usize) {
        let mut node = self.preferred_node(job);
        // The load balancer skips nodes that are paused or partitioned.
        let mut all_unreachable = true;
        for _ in 0..self.nodes.len() {
            let reachable = self.link(None, Self::node_zone(node)) == Link::Up
                && self.link(Self::node_zone(node), None) == Link::Up;
            all_unreachable &= !reachable;
            if self.now < self.nodes[node].paused_until || !reachable {
                node = (node + 1) % self.nodes.len();
            }
        }
        let now = self.now;
        if all_unreachable {
            // No node is reachable, so a missing answer violates no rule.
            return self.schedule_user_request(now + SECOND, job);
        }
        if self.users[job].kube_job.is_some() && self.api_client_request(node, job) {
            return;
        }
        if self.users[job].stage == UserState::Submitting && !self.dependencies_ready(job) {
            return self.schedule_user_request(now + SECOND / 2, job);
        }
        let u = &mut self.users[job];
        let id = u.spec.id.clone();
        match u.stage {
            UserState::Submitting => {
                u.first_submitted_at.get_or_insert(now);
                let spec = u.spec.clone();
                self.checker.submitted(&spec);
                self.submit(node, Requester::Submission { job }, &spec);
            }
            UserState::Polling | UserState::Ended
                if u.final_state.is_none() && u.cancel_at.is_some_and(|at| now >= at) =>
            {
                self.checker.cancel_requested(&id);
                self.send_request(
                    node,
                    Requester::Cancel { job },
                    "POST",
                    cancel_path(&id),
                    Vec::new(),
                );
            }
            UserState::Polling | UserState::Ended => {
                if u.stage == UserState::Ended && u.answer_count % 2 == 1 {
                    // A known job is recognised by its ID whatever else the submission
                    // contains.
                    let mut spec = u.spec.clone();
                    spec.team = "unknown".into();
                    self.submit(node, Requester::Submission { job }, &spec);
                } else {
                    self.send_request(
                        node,
                        Requester::Poll { job },
                        "GET",
                        poll_path(&id),
                        Vec::new(),
                    );
                }
            }
        }
    }

    /// Schedules a user's next request. In runs that are compared, it is rounded up to a
    /// full second, as the time of the last answer differs between the forms of
    /// submission.
    pub(super) fn schedule_user_request(&mut self, at: Micros, job: usize) {
        let at = match self.is_comparison_run() {
            true => at.next_multiple_of(SECOND),
            false => at,
        };
        self.schedule(at, Event::UserRequest { job });
    }

    pub(super) fn handle_user_answer(
        &mut self,
        requester: Requester,
        sent_at: Micros,
        status: u16,
        state: Option<JobState>,
    ) {
        let (status, state) = match self.is_poll_abandoned(&requester, sent_at) {
            true => (0, None),
            false => (status, state),
        };
        let first_result = self.first_result(&requester, status, state);
        self.apply_user_answer(requester, sent_at, status, state);
        if let Some((job, accepted)) = first_result {
            self.react_to_result(job, accepted);
        }
    }

    fn apply_user_answer(
        &mut self,
        requester: Requester,
        sent_at: Micros,
        status: u16,
        state: Option<JobState>,
    ) {
        let now = self.now;
        self.answer_digest.update(now.to_be_bytes());
        self.answer_digest.update(status.to_be_bytes());
        self.answer_digest
            .update(format!("{} {state:?}", requester.digest_text()));
        let ended = state.filter(|s| matches!(s, JobState::Done | JobState::Cancelled));
        if let Requester::Submission { job } | Requester::Poll { job } = requester {
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
            let add = |s: &mut ReceivedService| s.answers.add(now, 1.0, answered);
            self.service_shares.add_for_class_and_team(class, team, add);
        }
        match requester {
            Requester::Worker { .. }
            | Requester::ApiClient { .. }
            | Requester::ApiWatch
            | Requester::ReplyDiscarded => {}
            Requester::UnknownJobPoll { id } => {
                self.checker.poll_answered(&id, status, state, sent_at, now)
            }
            Requester::InvalidSubmission {
                id,
                expected_status,
            } => {
                self.checker
                    .invalid_submission_answered(&id, status, expected_status, now);
            }
            Requester::ExtraPoll { job }
            | Requester::ExtraSubmission { job }
            | Requester::ExtraCancel { job } => {
                let u = &mut self.users[job];
                let id = u.spec.id.clone();
                u.accepted |= matches!(status, 200 | 201);
                if ended.is_some() {
                    u.final_state = ended;
                    u.stage = UserState::Ended;
                }
                match requester {
                    Requester::ExtraSubmission { .. } => self
                        .checker
                        .submission_answered(&id, status, state, sent_at, now),
                    // Extra requests also go to unhealthy nodes, whose errors violate no
                    // rule.
                    _ if !matches!(status, 200 | 404) => {}
                    _ => self.checker.poll_answered(&id, status, state, sent_at, now),
                }
            }
            Requester::Submission { job } => {
                let u = &mut self.users[job];
                let id = u.spec.id.clone();
                match status {
                    200 | 201 => {
                        u.accepted = true;
                        if u.stage == UserState::Submitting {
                            u.stage = UserState::Polling;
                        }
                        if ended.is_some() {
                            u.final_state = ended;
                            u.stage = UserState::Ended;
                        }
                        self.schedule_user_request(now + 4 * SECOND, job);
                    }
                    400 | 422 if u.stage == UserState::Submitting => {}
                    _ => {
                        let gave_up = u
                            .first_submitted_at
                            .is_some_and(|at| now > at + SUBMISSION_RETRY_TIME);
                        let mut delay = SECOND;
                        if u.stage == UserState::Submitting && gave_up {
                            // A delayed submission may still be executed: poll once to
                            // find out whether the job is known.
                            u.stage = UserState::Polling;
                            delay = 150 * SECOND;
                        }
                        self.schedule_user_request(now + delay, job);
                    }
                }
                self.checker
                    .submission_answered(&id, status, state, sent_at, now);
            }
            Requester::Poll { job } | Requester::Cancel { job } => {
                let u = &mut self.users[job];
                let id = u.spec.id.clone();
                u.accepted |= status == 200;
                if status == 404 && !u.accepted {
                    return;
                }
                if ended.is_some() {
                    u.final_state = ended;
                    u.stage = UserState::Ended;
                }
                let next_at = match u.stage {
                    UserState::Ended => {
                        u.answer_count += 1;
                        now + 20 * SECOND
                    }
                    _ if u.is_regular => self.next_regular_poll(sent_at),
                    _ if now < self.frequent_polls_until => now + 5 * SECOND / 8,
                    _ => now + 5 * SECOND,
                };
                self.schedule_user_request(next_at, job);
                self.checker.poll_answered(&id, status, state, sent_at, now);
            }
        }
    }

    /// Counts the running replicas of services that were accepted more than
    /// [`SERVICE_START_TIME`] ago and that no user has asked to cancel.
    pub(super) fn record_replica_counts(&mut self) {
        let partitioned = self
            .zone_partitions
            .iter()
            .filter(|c| self.now < c.until)
            .count();
        // With most zones partitioned the replicas cannot be kept running.
        if !self.now.is_multiple_of(REPLICA_COUNT_INTERVAL) || partitioned * 2 > ZONES.len() {
            return;
        }
        let expected_to_run = |u: &&User| {
            u.spec.kind == JobKind::Service
                && u.accepted_at
                    .is_some_and(|at| self.now > at + SERVICE_START_TIME)
                && u.final_state.is_none()
                && u.cancel_at.is_none_or(|at| self.now < at)
        };
        // A team's limit bounds the number of expected replicas.
        let mut cpus: BTreeMap<&str, f64> = BTreeMap::new();
        for u in self.users.iter().filter(expected_to_run) {
            let job_cpus = u.spec.cpus * f64::from(u.spec.tasks);
            *cpus.entry(&u.spec.team).or_default() += job_cpus;
        }
        let allowed_share = |team: &str| {
            let teams = self.config.teams.iter();
            let mut limited = teams.filter(|t| t.name == team && t.cpus_max > 0.0);
            limited
                .next()
                .map_or(1.0, |t| (t.cpus_max / cpus[team]).min(1.0))
        };
        for u in self.users.iter().filter(expected_to_run) {
            let (running, _) = self.checker.task_counts(&u.spec.id);
            let expected = f64::from(u.spec.tasks) * allowed_share(&u.spec.team);
            let running = f64::from(running);
            let add = |s: &mut ReceivedService| s.replicas.add(self.now, expected, running);
            self.service_shares
                .add_for_class_and_team(&u.spec.class, &u.spec.team, add);
        }
    }

    /// Checks for starved jobs once all faults are over.
    pub(super) fn check_waiting_jobs(&mut self) {
        let due = self.now.is_multiple_of(WAITING_JOBS_INTERVAL);
        if self.now < self.checker.faults_end || !due {
            return;
        }
        let machine_capacity = |w: &Worker| {
            let (cpus, gpus) = w.free_resources();
            MachineCapacity {
                place: w.place.clone(),
                cpus,
                gpus,
                tasks: w.live_tasks().cloned().collect(),
                accepts_tasks: w.accepts_tasks(self.now),
            }
        };
        let machines: Vec<MachineCapacity> = self.workers.values().map(machine_capacity).collect();
        let fails = |id: &str| self.task_behaviours.get(id).is_some_and(|p| p.fails);
        self.checker.check_waiting_jobs(&machines, fails, self.now);
    }

    /// Counts the completed work of batch jobs whose deadline has passed.
    pub(super) fn record_batch_service(&mut self) {
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
            let (_, done) = self.checker.task_counts(&u.spec.id);
            let (all, done) = (f64::from(u.spec.tasks), f64::from(done));
            let in_time = f64::from(u8::from(u.ended_at.is_some_and(|at| at <= due)));
            self.service_shares
                .add_for_class_and_team(&u.spec.class, &u.spec.team, |s| {
                    s.work.add(due, all, done);
                    s.in_time.add(due, 1.0, in_time);
                });
            if u.spec.tasks == largest[&*u.spec.class] {
                let add = |s: &mut ReceivedService| s.work.add(due, all, done);
                self.service_shares.add_for_largest(&u.spec.class, add);
            }
        }
    }
}
