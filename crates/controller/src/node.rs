//! The controller's state machine: dispatches each input to the module that handles it.
//!
//! A node is one controller process. Every node answers users ([`Admission`]) and takes
//! part in the election ([`Election`]). The elected node also runs a [`Leader`], which
//! exists for exactly one term. Nothing here blocks: an outgoing request is returned as
//! an [`Output`], and its response arrives later as an [`Input`], whose [`Continuation`]
//! determines the module that handles it.

mod leadership;
mod peer_messages;
mod reachability;
mod unresponsive_zones;

use self::reachability::ServiceReachability;
use self::unresponsive_zones::UnresponsiveZoneReport;
use crate::admission::{Admission, Unschedulable, check_schedulable};
use crate::calls::{Context, PendingCalls};
use crate::continuations::{Continuation, LeaderStep};
use crate::election::{Election, LeadershipChange};
use crate::inherited_estimates::ReceivedEstimates;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::records::OpenJob;
use crate::request_budget::{RequestPriority, StoreCost};
use crate::{
    Answer, CallError, CallId, CommandCounters, Config, Input, Micros, Output, RequestId,
    SchedulerCounters, Timestamp,
};
use dillcleat_wire::cloud::CloudResponse;
use dillcleat_wire::store::StoreResponse;
use dillcleat_wire::user::{JobSpec, Route, route};
use dillcleat_wire::worker::{Heartbeat, LeaderRedirect};

/// The deterministic state machine of a node (one controller process); see the [module](self).
#[derive(Debug)]
pub struct Node {
    config: Config,
    calls: PendingCalls,
    admission: Admission,
    election: Election,
    /// Present while this node leads.
    leader: Option<Leader>,
    peers: Peers,
    reachability: ServiceReachability,
    unresponsive_zones: UnresponsiveZoneReport,
    /// The estimates that leaders have broadcast, used if this node is elected.
    received_estimates: ReceivedEstimates,
    next_peer_heartbeat_at: Micros,
    /// Monotonic time of the latest input; 0 before the first.
    last_input_at: Micros,
}

impl Node {
    /// Creates a node without any state; it reads the store at its first tick.
    pub fn new(config: Config) -> Node {
        Node {
            calls: PendingCalls::default(),
            admission: Admission::new(&config),
            election: Election::new(),
            leader: None,
            peers: Peers::default(),
            reachability: ServiceReachability::default(),
            unresponsive_zones: UnresponsiveZoneReport::default(),
            received_estimates: ReceivedEstimates::default(),
            next_peer_heartbeat_at: 0,
            last_input_at: 0,
            config,
        }
    }

    /// The term in which this node leads, if it does.
    pub fn leading(&self) -> Option<u64> {
        self.election.leading()
    }

    /// The term and the version of its stored record, which fence the leader's writes.
    /// None unless this node leads and has recovered its state.
    pub fn fence(&self) -> Option<(u64, u64)> {
        self.leader.as_ref().and_then(Leader::fence)
    }

    /// Whether this node leads and has the job among its open jobs.
    pub fn has_open_job(&self, job: &str) -> bool {
        self.leader.as_ref().is_some_and(|l| l.has_open_job(job))
    }

    /// The number of done and of running tasks of a job, as last broadcast by a leader.
    /// For display only.
    pub fn progress(&self, job: &str) -> Option<(u32, u32)> {
        let counts = self.admission.progress.get(job)?;
        Some((counts.done, counts.running))
    }

    /// Checks whether the job can ever run on this cluster; None while the machine types
    /// are unknown.
    pub fn check_schedulable(&self, spec: &JobSpec) -> Option<Result<(), Unschedulable>> {
        let types = self.election.machine_types()?;
        (!types.is_empty()).then(|| check_schedulable(&self.config, types, spec))
    }

    /// Builds the open record of a job that is submitted now, without storing it.
    /// `parallelism_limit` is the maximum number of its tasks that run at once.
    pub fn build_open_record(
        &self,
        spec: JobSpec,
        parallelism_limit: Option<u32>,
        now: Timestamp,
    ) -> OpenJob {
        OpenJob {
            submitted_at_us: now.wall,
            tasks_per_chunk: self.config.tasks_per_chunk,
            without_state_record: true,
            parallelism_limit: parallelism_limit.filter(|limit| *limit < spec.tasks),
            spec,
        }
    }

    /// Counts a request that the API server in this process handles. Like the requests
    /// that the node handles, it raises this node's share of the store's request budget.
    pub fn count_request(&mut self) {
        self.admission.count_request();
    }

    /// Whether [`take_budget`](Self::take_budget) would succeed now, for a caller that
    /// may not need the budget.
    pub fn has_budget(
        &mut self,
        cost: StoreCost,
        priority: RequestPriority,
        now: Timestamp,
    ) -> bool {
        self.admission.has_budget(cost, priority, now.monotonic)
    }

    /// Takes a request's cost from this node's share of the store's request budget for
    /// users. Takes either all of it or nothing, and returns whether it was available.
    pub fn take_budget(
        &mut self,
        cost: StoreCost,
        priority: RequestPriority,
        now: Timestamp,
    ) -> bool {
        self.admission.take_budget(cost, priority, now.monotonic)
    }

    /// Records that the API server in this process has stored an open job.
    pub fn record_admission(&mut self, job: &OpenJob) {
        // Without a time, the ancestors are checked before the job is first reported.
        self.admission.record_admission(job, 0);
    }

    /// The configuration of this node.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The work that this node's scheduler has done in the current term.
    pub fn scheduler_counters(&self) -> SchedulerCounters {
        self.leader
            .as_ref()
            .map_or(SchedulerCounters::default(), Leader::counters)
    }

    /// What became of this node's commands in the current term.
    pub fn command_counters(&self) -> CommandCounters {
        self.leader
            .as_ref()
            .map_or(CommandCounters::default(), Leader::command_counters)
    }

    /// Compares each index that a leader maintains incrementally with the same index
    /// computed from scratch, and returns the names of those that differ. For tests.
    pub fn audit(&mut self, now: Timestamp) -> Vec<&'static str> {
        let mut out = Vec::new();
        let ctx = Context::new(now, &self.config, &mut out, &mut self.calls);
        let leader = self.leader.as_mut();
        leader.map_or(Vec::new(), |l| l.audit(&ctx))
    }

    /// Handles one input and returns the resulting outputs, in the order in which they are
    /// to be carried out.
    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.handle_process_pause(now, &mut out);
        let change = match input {
            Input::Tick => self.handle_tick(now, &mut out),
            Input::Request {
                id,
                method,
                target,
                body,
            } => {
                self.handle_request(now, &mut out, id, &method, &target, &body);
                None
            }
            Input::Store { id, reply } => self.handle_store_reply(now, &mut out, id, reply),
            Input::Cloud { id, reply } => {
                self.handle_cloud_reply(now, &mut out, id, reply);
                None
            }
            Input::Commands { id, reply } => {
                self.handle_commands_reply(now, &mut out, id, reply);
                None
            }
            Input::Peer { from, message } => {
                self.handle_peer_message(now, &mut out, from, message);
                None
            }
        };
        self.apply_leadership_change(now, &mut out, change);
        self.handle_leader_events(now, &mut out);
        out
    }

    fn handle_tick(&mut self, now: Timestamp, out: &mut Vec<Output>) -> Option<LeadershipChange> {
        let better_candidate = self.better_candidate(now);
        self.election.set_better_candidate(better_candidate);
        let proof = self.leadership_proof(now);
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        self.election.tick(&mut ctx);
        self.admission.tick(&mut ctx);
        ctx.send_hedged_requests();
        if let Some(leader) = &mut self.leader {
            leader.leadership_proof = proof;
            leader.tick(&mut ctx);
        }
        if now.monotonic < self.next_peer_heartbeat_at {
            return None;
        }
        self.broadcast_to_peers(now, out);
        self.step_down_without_heartbeats(now, out)
    }

    fn handle_request(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        id: RequestId,
        method: &str,
        target: &str,
        body: &[u8],
    ) {
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        match route(method, target) {
            Route::Submit => {
                let types = self.election.machine_types();
                self.admission.submit(&mut ctx, id, body, types);
            }
            Route::Poll(job) => self.admission.poll(&mut ctx, id, job),
            Route::Cancel(job) => self.admission.cancel(&mut ctx, id, job),
            Route::Health => {
                let answer = self.health_answer(now);
                out.push(Output::Answer { id, answer });
            }
            Route::Heartbeat => {
                let answer = self.handle_heartbeat(now, out, body);
                out.push(Output::Answer { id, answer });
            }
            Route::NotFound => ctx.answer(id, Answer::refusal(404, "no such path")),
            Route::WrongMethod => ctx.answer(id, Answer::refusal(405, "wrong method")),
        }
    }

    fn health_answer(&self, now: Timestamp) -> Answer {
        if !self.is_healthy(now) {
            return Answer::retry_later("not able to take requests");
        }
        Answer {
            status: 200,
            body: Vec::new(),
            retry_after: None,
        }
    }

    fn handle_heartbeat(&mut self, now: Timestamp, out: &mut Vec<Output>, body: &[u8]) -> Answer {
        let heartbeat = match dillcleat_wire::decode::<Heartbeat>(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::error!("malformed heartbeat rejected reason={error}");
                return Answer::refusal(400, error.to_string());
            }
        };
        self.reachability.record_worker_heartbeat(now.monotonic);
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        if let Some(leader) = &mut self.leader {
            let answer = leader.heartbeat(&mut ctx, &heartbeat);
            leader.send_pending(&mut ctx);
            return answer;
        }
        let leader = self.other_leader(now).map(str::to_string);
        Answer::body(421, &LeaderRedirect { leader })
    }

    fn handle_store_reply(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        id: CallId,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        if matches!(&reply, Ok(response) if *response != StoreResponse::Unavailable) {
            self.reachability.record_store_response(now.monotonic);
        }
        let failed = matches!(
            reply,
            Err(_) | Ok(StoreResponse::Unavailable | StoreResponse::RateLimited)
        );
        let (continuation, sent_at) = self.calls.complete(id, failed)?;
        if reply.is_ok() && !continuation.is_watch() {
            let latency = now.monotonic.saturating_sub(sent_at);
            self.election.record_store_latency(latency, now.monotonic);
        }
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        match continuation {
            Continuation::Admission(step) => {
                self.admission.reply(&mut ctx, step, sent_at, reply);
                let cancelled = self.admission.take_cancelled();
                if let Some(leader) = &mut self.leader
                    && !cancelled.is_empty()
                {
                    // The leader's watch reports these cancellations later. Until then the
                    // leader could launch tasks of a job whose cancellation is already
                    // confirmed.
                    leader.apply_observed_cancellations(&mut ctx, &cancelled);
                    leader.send_pending(&mut ctx);
                }
                None
            }
            Continuation::Election(step) => {
                let change = self.election.reply(&mut ctx, step, sent_at, reply);
                if let Some(leader) = &mut self.leader {
                    leader.leadership_proof.proved_at = self.election.proved_at();
                }
                change
            }
            Continuation::Leader { term, step } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                    leader.handle_store_reply(&mut ctx, step, sent_at, reply);
                    leader.send_pending(&mut ctx);
                }
                None
            }
            Continuation::Ignore => None,
        }
    }

    fn handle_cloud_reply(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        id: CallId,
        reply: Result<CloudResponse, CallError>,
    ) {
        let completed = self.calls.complete(id, reply.is_err());
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        if let Some((Continuation::Leader { term, step }, _)) = completed
            && let Some(leader) = self.leader.as_mut().filter(|l| l.term == term)
            && let LeaderStep::Cloud(request) = step
        {
            leader.cloud_reply(&mut ctx, request, reply);
            leader.send_pending(&mut ctx);
        }
    }

    fn handle_commands_reply(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        id: CallId,
        reply: Result<(u16, Vec<u8>), CallError>,
    ) {
        let completed = self.calls.complete(id, reply.is_err());
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        if let Some((Continuation::Leader { term, step }, _)) = completed
            && let Some(leader) = self.leader.as_mut().filter(|l| l.term == term)
            && let LeaderStep::SendCommands { machine } = step
        {
            leader.commands_reply(&mut ctx, id, &machine, reply);
            leader.send_pending(&mut ctx);
        }
    }
}
