//! A controller: what users, workers, siblings, the cloud and the state
//! service say goes in, what follows from it comes out.

use crate::admission::{Admission, unfit};
use crate::calls::{Context, PendingCalls};
use crate::continuations::{Continuation, LeaderStep};
use crate::election::{BetterCandidate, Election, LeadershipChange};
use crate::inherited_estimates::HeardEstimates;
use crate::leader::{self, Leader, LeaderEvent};
use crate::leadership_guard::LeadershipProof;
use crate::peers::{PeerStatus, Peers};
use crate::records::OpenJob;
use crate::request_budget::RequestPriority;
use crate::{
    Answer, Config, Input, JobEvent, MILLISECOND, Micros, Output, RequestId, SECOND,
    SchedulerCounters, Timestamp, micros,
};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::store::StoreResponse;
use dillcleat_wire::user::{JobSpec, JobState, Route, route};
use dillcleat_wire::worker::{Heartbeat, LeaderRedirect};
use std::collections::HashMap;

const BEAT: Micros = 500 * MILLISECOND;
/// How long a worker waits for an answer, and then pauses, before it goes to
/// the next node.
pub(crate) const WORKER_PATIENCE: Micros = 5 * SECOND;
/// Ticks come twenty times a second; a node without one for so long was not
/// running.
const PAUSE: Micros = SECOND;
/// How long a word about silent zones counts. It comes with each beat.
const HINT: Micros = 10 * SECOND;

#[derive(Debug)]
pub struct Node {
    config: Config,
    calls: PendingCalls,
    admission: Admission,
    leadership: Election,
    leader: Option<Leader>,
    peers: Peers,
    /// What a leader said last of zones that fell silent: when each was heard
    /// last, and when that was said.
    silent_zones: HashMap<String, Micros>,
    silent_zones_at: Micros,
    /// What leaders have told of what they learned.
    heard_estimates: HeardEstimates,
    /// When the state service last answered this node.
    store_answered_at: Option<Micros>,
    next_peer_heartbeat_at: Micros,
    /// When a worker last reported to this node.
    last_heartbeat_at: Micros,
    /// When this node last did anything.
    last_input_at: Micros,
}

impl Node {
    pub fn new(config: Config) -> Node {
        Node {
            calls: PendingCalls::default(),
            admission: Admission::new(&config),
            leadership: Election::new(),
            leader: None,
            peers: Peers::default(),
            silent_zones: HashMap::new(),
            silent_zones_at: 0,
            heard_estimates: HeardEstimates::default(),
            store_answered_at: None,
            next_peer_heartbeat_at: 0,
            last_heartbeat_at: 0,
            last_input_at: 0,
            config,
        }
    }

    /// The term in which this node leads.
    pub fn leading(&self) -> Option<u64> {
        self.leadership.leading()
    }

    /// Term and its record's version for the writes of a leader that has taken up
    /// its work; None on any other node.
    pub fn fence(&self) -> Option<(u64, u64)> {
        self.leader.as_ref().and_then(Leader::fence)
    }

    /// Whether this node leads and knows the job as open.
    pub fn holds(&self, job: &str) -> bool {
        self.leader.as_ref().is_some_and(|l| l.holds(job))
    }

    /// How many tasks of a job are done and run, as last heard, for display.
    pub fn progress(&self, job: &str) -> Option<(u32, u32)> {
        let counts = self.admission.progress.get(job)?;
        Some((counts.done, counts.running))
    }

    /// Why a job can never run here; None while the machine types are unknown.
    pub fn fitness(&self, spec: &JobSpec) -> Option<Result<(), &'static str>> {
        let types = self.leadership.types.as_ref();
        let types = types.filter(|types| !types.is_empty())?;
        Some(unfit(&self.config, types, spec).map_or(Ok(()), Err))
    }

    /// The record of a job that is submitted now.
    pub fn open_job(&self, spec: JobSpec, at_most: Option<u32>, now: Timestamp) -> OpenJob {
        OpenJob {
            submitted_at_us: now.wall,
            chunk: self.config.chunk_tasks,
            unmarked: true,
            parallelism_limit: at_most.filter(|n| *n < spec.tasks),
            spec,
        }
    }

    /// A client asks for something that is served beside this node.
    pub fn asked(&mut self) {
        self.admission.asked();
    }

    /// Whether a grant would be given: for who would do work before it takes one.
    pub fn could(
        &mut self,
        calls: f64,
        changes: f64,
        need: RequestPriority,
        now: Timestamp,
    ) -> bool {
        self.admission.could(calls, changes, need, now.monotonic)
    }

    /// Takes calls, and among them changes, from this node's part of what users'
    /// requests may take of the state service.
    pub fn grant(
        &mut self,
        calls: f64,
        changes: f64,
        need: RequestPriority,
        now: Timestamp,
    ) -> bool {
        self.admission.grant(calls, changes, need, now.monotonic)
    }

    /// A job was stored as open by whoever serves clients beside this node.
    pub fn admitted(&mut self, job: &OpenJob) {
        self.admission.admitted(job);
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What this node's passes have done since it leads.
    pub fn counts(&self) -> SchedulerCounters {
        self.leader
            .as_ref()
            .map_or(SchedulerCounters::default(), Leader::counts)
    }

    /// What of that which a leader keeps up to date bit by bit is not as it would
    /// be if it were made anew. For rehearsals.
    pub fn audit(&mut self, now: Timestamp) -> Vec<&'static str> {
        let ctx = Context {
            now,
            config: &self.config,
            out: &mut Vec::new(),
            calls: &mut self.calls,
        };
        let leader = self.leader.as_mut();
        leader.map_or(Vec::new(), |l| l.audit(&ctx))
    }

    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.detect_process_pause(now, &mut out);
        let proof = match input {
            Input::Tick => {
                self.leadership.better = match self.hears(now) {
                    true => BetterCandidate::Nobody,
                    false if self.peers.better(now.monotonic) => BetterCandidate::Sibling,
                    false => BetterCandidate::Unknown,
                };
                self.proof(now)
            }
            _ => LeadershipProof::default(),
        };
        let mut ctx = Context {
            now,
            config: &self.config,
            out: &mut out,
            calls: &mut self.calls,
        };
        let mut change = None;
        match input {
            Input::Tick => {
                self.leadership.tick(&mut ctx);
                self.admission.tick(&mut ctx);
                ctx.send_hedged_requests();
                if let Some(leader) = &mut self.leader {
                    leader.leadership_proof = proof;
                    leader.tick(&mut ctx);
                }
                if now.monotonic >= self.next_peer_heartbeat_at {
                    self.next_peer_heartbeat_at = now.monotonic + BEAT;
                    let asked = self.share(now);
                    self.send_peer_heartbeat(&mut out, now, asked);
                    change = self.step_down_if_unreachable(now, &mut out);
                }
            }
            Input::Request {
                id,
                method,
                target,
                body,
            } => self.request(now, &mut out, id, &method, &target, &body),
            Input::Store { id, reply } => {
                if matches!(&reply, Ok(r) if *r != StoreResponse::Unavailable) {
                    self.store_answered_at = Some(now.monotonic);
                }
                let failed = matches!(
                    reply,
                    Err(_) | Ok(StoreResponse::Unavailable | StoreResponse::RateLimited)
                );
                let answered = reply.is_ok();
                let closed = ctx.calls.close(id, failed);
                if let Some((waiter, sent)) = &closed
                    && answered
                    && !waiter.watches()
                {
                    let took = now.monotonic.saturating_sub(*sent);
                    self.leadership.latency.answered(took, now.monotonic);
                }
                match closed {
                    Some((Continuation::Admission(step), _)) => {
                        self.admission.reply(&mut ctx, step, reply);
                        let cancelled = self.admission.take_cancelled();
                        if let Some(leader) = &mut self.leader
                            && !cancelled.is_empty()
                        {
                            // Its own watch says so a moment later. In that moment it once
                            // launched what its user had been told is cancelled.
                            leader.observe_cancellations(&mut ctx, &cancelled);
                            leader.send_pending(&mut ctx);
                        }
                    }
                    Some((Continuation::Election(step), sent)) => {
                        change = self.leadership.reply(&mut ctx, step, sent, reply);
                        if let Some(leader) = &mut self.leader {
                            leader.leadership_proof.proved = self.leadership.proved();
                        }
                    }
                    Some((Continuation::Leader { term, step }, sent)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                            leader.reply(&mut ctx, step, sent, reply);
                            leader.send_pending(&mut ctx);
                        }
                    }
                    Some((Continuation::Nobody, _)) | None => {}
                }
            }
            Input::Cloud { id, reply } => {
                if let Some((Continuation::Leader { term, step }, _)) =
                    ctx.calls.close(id, reply.is_err())
                    && let Some(leader) = self.leader.as_mut().filter(|l| l.term == term)
                    && let LeaderStep::Cloud(errand) = step
                {
                    leader.cloud_reply(&mut ctx, errand, reply);
                    leader.send_pending(&mut ctx);
                }
            }
            Input::Commands { id, reply } => {
                if let Some((Continuation::Leader { term, step }, _)) =
                    ctx.calls.close(id, reply.is_err())
                    && let Some(leader) = self.leader.as_mut().filter(|l| l.term == term)
                    && let LeaderStep::CommandsInFlight { machine } = step
                {
                    leader.commands_reply(&mut ctx, id, &machine, reply);
                    leader.send_pending(&mut ctx);
                }
            }
            Input::Peer { from, message } => self.mesh(now, &mut out, from, message),
        }
        self.apply_leadership_change(now, &mut out, change);
        self.handle_leader_events(now, &mut out);
        out
    }

    /// A node that was not running for longer than its lease lasts leads no
    /// more, whatever its memory says: it looks before it does anything. One
    /// that woke after half a minute once found every worker silent and sent
    /// the deletion of 840 machines before it heard of its successor (incident
    /// e9a6).
    fn detect_process_pause(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let gap = now.monotonic.saturating_sub(self.last_input_at);
        let first = self.last_input_at == 0;
        self.last_input_at = now.monotonic;
        if first || gap < PAUSE {
            return;
        }
        log::info!("was not running for {} s", crate::seconds(gap));
        if gap >= micros(self.config.tuning.lead_ttl_s) {
            let mut ctx = Context {
                now,
                config: &self.config,
                out,
                calls: &mut self.calls,
            };
            let change = self.leadership.woke(&mut ctx);
            self.apply_leadership_change(now, out, change);
        } else if let Some(leader) = &mut self.leader {
            leader.exclude_pause(gap, now.monotonic);
        }
    }

    fn apply_leadership_change(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        change: Option<LeadershipChange>,
    ) {
        let mut ctx = Context {
            now,
            config: &self.config,
            out,
            calls: &mut self.calls,
        };
        match change {
            Some(LeadershipChange::Elected { term, term_version }) => {
                let types = leader::VersionedMachineTypes {
                    types: self.leadership.types.clone(),
                    version: self.leadership.types_version,
                };
                let inherited = self.heard_estimates.inherit(term, now.monotonic);
                let mut leader = Leader::new(&mut ctx, term, term_version, types, inherited);
                leader.leadership_proof.proved = self.leadership.proved();
                if now.monotonic < self.silent_zones_at + HINT {
                    leader.set_zones_silent_before_term(std::mem::take(&mut self.silent_zones));
                }
                self.leader = Some(leader);
                self.admission.progress.elected(now.monotonic);
                self.next_peer_heartbeat_at = now.monotonic;
            }
            Some(LeadershipChange::Deposed) => {
                // It may lead again before anybody else has.
                if let Some(learned) = self.leader.take().and_then(|l| l.all_estimates()) {
                    self.heard_estimates
                        .receive(&self.config, learned, now.monotonic);
                }
            }
            None => {}
        }
    }

    fn handle_leader_events(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut change = None;
        for note in leader.take_events() {
            let mut ctx = Context {
                now,
                config: &self.config,
                out,
                calls: &mut self.calls,
            };
            match note {
                LeaderEvent::JobEnded(job, mark) => {
                    self.admission.ended(&job, mark);
                    let state = mark.state.ended().unwrap_or(JobState::Done);
                    out.push(Output::JobEvent(JobEvent::Ended { job, state }));
                }
                LeaderEvent::JobCancelled(job) => {
                    let state = JobState::Cancelled;
                    out.push(Output::JobEvent(JobEvent::Ended { job, state }));
                }
                LeaderEvent::TaskFailed { job, task, attempt } => {
                    out.push(Output::JobEvent(JobEvent::Failed { job, task, attempt }));
                }
                LeaderEvent::MachineTypes(types) => self.leadership.set_types(types),
                LeaderEvent::TermEnded => {
                    change = self
                        .leadership
                        .step_down(&mut ctx, "its writes are out of date", 0)
                        .or(change);
                }
                LeaderEvent::HigherTerm(term) => {
                    change = self.leadership.outdated(&mut ctx, term).or(change);
                }
            }
        }
        self.apply_leadership_change(now, out, change);
    }

    fn request(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        id: RequestId,
        method: &str,
        target: &str,
        body: &[u8],
    ) {
        let mut ctx = Context {
            now,
            config: &self.config,
            out,
            calls: &mut self.calls,
        };
        match route(method, target) {
            Route::Submit => {
                let types = self.leadership.types.clone();
                let types = types.as_deref().map(Vec::as_slice);
                self.admission.submit(&mut ctx, id, body, types);
            }
            Route::Poll(job) => self.admission.poll(&mut ctx, id, job),
            Route::Cancel(job) => self.admission.cancel(&mut ctx, id, job),
            Route::Health => {
                let answer = if self.healthy(now) {
                    Answer {
                        status: 200,
                        body: Vec::new(),
                        retry_after: None,
                    }
                } else {
                    Answer::later("not able to take requests")
                };
                out.push(Output::Answer { id, answer });
            }
            Route::Heartbeat => {
                let answer = self.report(now, out, body);
                out.push(Output::Answer { id, answer });
            }
            Route::NotFound => ctx.answer(id, Answer::refusal(404, "no such path")),
            Route::WrongMethod => ctx.answer(id, Answer::refusal(405, "wrong method")),
        }
    }

    /// In a common outage nodes stay up and say so to each request. A node
    /// that alone is refused leaves the users to its siblings.
    fn healthy(&self, now: Timestamp) -> bool {
        let Some(served) = self.store_answered_at else {
            return false;
        };
        if self.leadership.types.is_none() {
            return false;
        }
        let alone = self
            .peers
            .fresh(now.monotonic)
            .any(|(_, s)| s.store_reachable);
        now.monotonic < served + 3 * SECOND || !alone
    }

    /// Whether workers report to this node.
    fn hears(&self, now: Timestamp) -> bool {
        now.monotonic < self.last_heartbeat_at + 3 * SECOND
    }

    /// A leader that no worker reaches makes way for a sibling that they
    /// reach: their leases run on, and with them everything on the machines.
    fn step_down_if_unreachable(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
    ) -> Option<LeadershipChange> {
        let since = self.leader.as_ref()?.expects_heartbeats_since()?;
        let mut patience = self.config.report * 5 / 4 + 3 * SECOND / 2;
        let term = self.leadership.leading()?;
        // Workers that a sibling has sent here would have come by now: with all
        // controllers ended at once and two of three cut off from the workers, one of
        // these once led for 13 s until it believed it.
        let missed = self.peers.sends_on(term, now.monotonic) && self.last_heartbeat_at < since;
        if self.last_heartbeat_at < since {
            // Its workers may still be waiting for the leader before it. To
            // make way sooner once left a fleet without a leader for 7 s
            // (incident 1ec8).
            patience += WORKER_PATIENCE;
        }
        if now.monotonic < since.max(self.last_heartbeat_at) + patience && !missed {
            return None;
        }
        let mut recent = self.peers.fresh(now.monotonic).peekable();
        let apart = recent.peek().is_none();
        // The one sibling that hears them may not be heard itself. A leader cut
        // off from its workers once waited for its word until every lease had
        // run out (incident e9a6). Whoever has not heard any in its term stays:
        // with every machine dead, leaders once made way for each other for
        // ever, none of them long enough to find that out (seed 10052).
        let heard = self.last_heartbeat_at >= since;
        let waited = heard && now.monotonic >= self.last_heartbeat_at + self.config.lease * 3 / 5;
        if !apart && !waited && !recent.any(|(_, s)| s.workers_reachable) {
            return None;
        }
        let mut ctx = Context {
            now,
            config: &self.config,
            out,
            calls: &mut self.calls,
        };
        self.leadership
            .step_down(&mut ctx, "no worker is heard", Election::ABSTAIN)
    }

    fn report(&mut self, now: Timestamp, out: &mut Vec<Output>, body: &[u8]) -> Answer {
        let report = match dillcleat_wire::decode::<Heartbeat>(body) {
            Ok(r) => {
                self.last_heartbeat_at = now.monotonic;
                r
            }
            Err(e) => {
                log::error!("a report is not one: {e}");
                return Answer::refusal(400, e.to_string());
            }
        };
        let mut ctx = Context {
            now,
            config: &self.config,
            out,
            calls: &mut self.calls,
        };
        if let Some(leader) = &mut self.leader {
            let answer = leader.heartbeat(&mut ctx, &report);
            leader.send_pending(&mut ctx);
            return answer;
        }
        let report_to = self.lead(now).map(str::to_string);
        Answer::body(421, &LeaderRedirect { leader: report_to })
    }

    /// Which other node leads, as far as is known: by the store, unless a sibling says
    /// that it leads in a later term. Two nodes that had lost sight of the store once
    /// sent all workers to one another, past the new leader, until their leases ended.
    fn lead(&self, now: Timestamp) -> Option<&str> {
        let lead = self.leadership.lead.as_ref();
        let term = lead.map_or(0, |l| l.term);
        if let Some(name) = self.peers.leads_after(term, now.monotonic) {
            return Some(name);
        }
        let lead = lead.filter(|l| l.member != self.config.member)?;
        let gone = self.peers.has_let_go(&lead.member, term, now.monotonic);
        (!gone).then_some(lead.member.as_str())
    }

    /// What this node knows of its right to act as leader.
    fn proof(&self, now: Timestamp) -> LeadershipProof {
        let heard = |name: &String| self.peers.is_heard(name, now.monotonic);
        let far = &self.config.peers_in_other_zones;
        let apart = !far.is_empty() && !far.iter().any(heard);
        LeadershipProof {
            proved: self.leadership.proved(),
            apart,
        }
    }

    fn served(&self, now: Timestamp) -> bool {
        self.store_answered_at
            .is_some_and(|at| now.monotonic < at + 3 * SECOND)
    }

    /// Takes this node's share of the state service's budget for users: users
    /// do not spread evenly, and a storm of them may meet a single node. Of what
    /// siblings that are not heard might take nothing is touched, and nobody
    /// goes below half of an equal share, to be ready. Returns how many requests
    /// a second users make here.
    fn share(&mut self, now: Timestamp) -> u32 {
        let asked = self.admission.demand(BEAT);
        let nodes = (self.config.peers.len() + 1) as f64;
        let (mut known, mut all) = (1.0, asked);
        for (_, s) in self.peers.fresh(now.monotonic) {
            known += 1.0;
            all += f64::from(s.requests_per_s);
        }
        let part = if all < 1.0 { 1.0 / known } else { asked / all };
        let share = (part * known / nodes).max(0.5 / nodes);
        self.admission.share(share, now.monotonic);
        // A float's cast to an integer saturates.
        asked.ceil() as u32
    }

    fn send_peer_heartbeat(&mut self, out: &mut Vec<Output>, now: Timestamp, asked: u32) {
        out.push(Output::Peer {
            message: Message::Heartbeat {
                term: self.leadership.term(),
                is_leader: self.leader.is_some(),
                store_reachable: self.served(now),
                workers_reachable: self.hears(now),
                requests_per_s: asked,
            },
        });
        if let Some(leader) = &mut self.leader {
            let silent = leader.silent_zones(now.monotonic);
            if !silent.is_empty() {
                out.push(Output::Peer {
                    message: Message::SilentZones(silent),
                });
            }
            if let Some(estimates) = leader.next_estimates() {
                out.push(Output::Peer {
                    message: Message::Estimates(estimates),
                });
            }
            let progress = leader.progress();
            self.admission.progress.set_own(&progress);
            let all = progress.len() < dillcleat_peer_protocol::MAX_PROGRESS;
            let more = self.admission.progress.next_messages(all, now.monotonic);
            let changed = Some(progress).filter(|p| !p.is_empty());
            for told in more.into_iter().chain(changed) {
                out.push(Output::Peer {
                    message: Message::JobProgress(told),
                });
            }
        }
    }

    fn mesh(&mut self, now: Timestamp, out: &mut Vec<Output>, from: String, message: Message) {
        match message {
            Message::Hello { .. } => {}
            Message::Heartbeat {
                term,
                is_leader: leads,
                store_reachable: served,
                workers_reachable: hears,
                requests_per_s: asked,
            } => {
                let sibling = PeerStatus {
                    heard: now.monotonic,
                    term,
                    is_leader: leads,
                    store_reachable: served,
                    workers_reachable: hears,
                    requests_per_s: asked,
                };
                if !self.peers.is_heard(&from, now.monotonic) {
                    self.admission.progress.repeat_all();
                }
                self.peers.told(from, sibling);
                let mut ctx = Context {
                    now,
                    config: &self.config,
                    out,
                    calls: &mut self.calls,
                };
                let change = self.leadership.outdated(&mut ctx, term);
                self.apply_leadership_change(now, out, change);
            }
            Message::SilentZones(zones) => {
                let heard = |ms: u32| now.monotonic.saturating_sub(u64::from(ms) * MILLISECOND);
                self.silent_zones = zones
                    .into_iter()
                    .map(|z| (z.zone, heard(z.silent_ms)))
                    .collect();
                self.silent_zones_at = now.monotonic;
            }
            Message::Estimates(learned) => {
                self.heard_estimates
                    .receive(&self.config, learned, now.monotonic);
            }
            // A leader that has a successor may not know it yet.
            Message::JobProgress(jobs) => {
                if self.leader.is_none() && !self.peers.has_successor(&from, now.monotonic) {
                    self.admission.progress.receive(jobs);
                }
            }
        }
    }
}
