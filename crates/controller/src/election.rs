//! Election of the leader among the nodes (controller processes), by means of the key-value
//! store.
//!
//! The election uses two keys. `s/lead` names the leader and is bound to the leader's
//! **lease**: the store deletes the key when the lease expires or is revoked. `s/term`
//! holds the **term**, which increases with every election and is never deleted. A
//! candidate first requests a lease. Then one compare-and-swap checks that `s/lead` is
//! absent and that `s/term` is unchanged, and writes both.
//!
//! **Fencing.** Every write of a leader compares the version of `s/term` that its election
//! wrote, and every command to a worker carries one of the fencing tokens that the election has
//! reserved ([`TermTokens`]): those after the previous term, up to the term itself. Delayed
//! requests of an earlier leader therefore fail. Safety depends on the term alone; the
//! lease only determines when another node stands for election.
//!
//! **Stepping down.** A leader steps down, and revokes its lease so that its successor
//! need not wait for the expiry, when
//! - the store reports that the lease has expired,
//! - it observes a higher term in the store, in a worker's heartbeat or from a peer,
//! - one of its fenced writes failed, or the revisions that it watches were compacted,
//! - no worker heartbeats reach it while they may reach a peer, or
//! - its process was paused for at least `lead_ttl_s`, so that the lease may have expired.
//!
//! A leader that cannot reach the store does not step down for that reason. Its
//! [`LeadershipProof`](crate::leadership_guard::LeadershipProof) ages instead, and
//! irreversible actions require a recent proof.
//!
//! **Timers.** The lease lasts `lead_ttl_s`, or longer while the store is slow
//! ([`lease_ttl`]). It is renewed every quarter of `lead_ttl_s`, so that it outlasts two
//! consecutive lost renewals.

mod replies;
mod shared_keys;

use self::shared_keys::SharedKeys;
use crate::calls::Context;
use crate::continuations::{Continuation, ElectionStep as Step};
use crate::fencing_tokens::TermTokens;
use crate::records::{self, LeaderRecord, TermRecord};
use crate::store_latency::{StoreLatency, lease_ttl};
use crate::{MILLISECOND, Micros, SECOND, micros};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{LeaseId, StoreRequest, Transaction};
use std::rc::Rc;

/// Delay before the shared keys are read again after a failure.
const READ_RETRY_DELAY: Micros = 250 * MILLISECOND;
/// The maximum delay from the sending of a failed renewal to the next one; a regular renewal
/// that is due earlier is not delayed. A lease may survive an outage of the store, so an early
/// retry can still renew it.
const RENEW_RETRY_DELAY: Micros = 400 * MILLISECOND;
/// How long the store holds a watch without changes. This must be shorter than the time for
/// which the store counts as reachable after a response (`node::reachability`), since an idle
/// follower sends no other requests to it. With a hold time of 5 s, idle followers reported
/// themselves as cut off for two of every five seconds, and the load balancer sent all users to
/// one or two busy nodes.
const WATCH_HOLD_MS: u64 = 1_000;
/// How long a node that receives no worker heartbeats delays its candidacy while a peer
/// receives them. Otherwise several nodes without contact to the workers could be elected
/// in turn until the workers' leases have expired.
const DELAY_FOR_BETTER_PEER: Micros = 600 * MILLISECOND;
/// How long such a node delays its candidacy if it knows of no better peer, since there
/// may be one that it cannot reach. A node that was cut off from the workers and its peers has
/// won elections by 20 ms.
const DELAY_FOR_UNKNOWN_PEER: Micros = 100 * MILLISECOND;

/// A change of this node's leadership, for the node to act upon.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipChange {
    /// This node was elected.
    Elected {
        /// The term in which this node leads.
        term: u64,
        /// The version of the stored term, which every write of this leader compares.
        term_version: u64,
    },
    /// This node no longer leads.
    SteppedDown,
}

/// Whether a peer would be a better leader than this node, judged by which of them
/// receives worker heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BetterCandidate {
    /// No peer is better: this node receives worker heartbeats itself.
    NotNeeded,
    /// This node receives no worker heartbeats. It is unknown whether a peer does.
    Unknown,
    /// A peer receives worker heartbeats and this node does not.
    Peer,
}

/// The state of this node in the election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The shared keys are unknown or may be outdated. They will be read at time `at`.
    ReadScheduled { at: Micros },
    /// A call is in flight whose response determines the next phase.
    AwaitingReply,
    /// The shared keys are known and watched. This node stands for election when there is
    /// no leader.
    Following,
    /// This node leads.
    Leading { lease: LeaseId, term: u64 },
}

/// This node's election state, and its copy of the shared keys.
#[derive(Debug)]
pub struct Election {
    phase: Phase,
    shared: SharedKeys,
    /// Whether a watch of the shared keys is in flight.
    watching: bool,
    /// When the lease is to be renewed next.
    renew_at: Micros,
    /// This node does not become a candidate before this time.
    candidacy_blocked_until: Micros,
    better_candidate: BetterCandidate,
    /// When this node first observed that there is no leader; None while there is one.
    leaderless_since: Option<Micros>,
    /// The lease of the current candidacy.
    candidate_lease: Option<LeaseId>,
    /// See [`proved_at`](Self::proved_at).
    proved_at: Micros,
    store_latency: StoreLatency,
}

impl Election {
    /// How long a leader that stepped down for lack of worker heartbeats does not stand
    /// for election again. This is long enough for a peer to be elected; if none is, a
    /// leader without heartbeats is better than none.
    pub const CANDIDACY_BACKOFF: Micros = 3 * SECOND;

    /// Creates the state of a node that has just started. It reads the shared keys at its
    /// first tick.
    pub fn new() -> Self {
        Election {
            phase: Phase::ReadScheduled { at: 0 },
            shared: SharedKeys::default(),
            watching: false,
            renew_at: 0,
            candidacy_blocked_until: 0,
            better_candidate: BetterCandidate::NotNeeded,
            leaderless_since: None,
            candidate_lease: None,
            proved_at: 0,
            store_latency: StoreLatency::default(),
        }
    }

    /// The term in which this node leads, if it does.
    pub fn leading(&self) -> Option<u64> {
        match self.phase {
            Phase::Leading { term, .. } => Some(term),
            _ => None,
        }
    }

    fn leads_with_lease(&self, lease: LeaseId) -> bool {
        matches!(self.phase, Phase::Leading { lease: own, .. } if own == lease)
    }

    /// The send time of the latest successful request that granted or renewed the leader's
    /// lease: the response proves that this node led at that time.
    pub fn proved_at(&self) -> Micros {
        self.proved_at
    }

    /// The term in the latest known version of `s/term`.
    pub fn term(&self) -> u64 {
        self.shared.term
    }

    /// The leader according to the store.
    pub fn known_leader(&self) -> Option<&LeaderRecord> {
        self.shared.leader.as_ref()
    }

    /// The machine types that the cloud offers; None until they have been read.
    pub fn machine_types(&self) -> Option<&[MachineType]> {
        self.shared.machine_types.as_deref().map(Vec::as_slice)
    }

    /// Like [`machine_types`](Self::machine_types), with shared ownership.
    pub fn shared_machine_types(&self) -> Option<Rc<Vec<MachineType>>> {
        self.shared.machine_types.clone()
    }

    /// The version of the machine types' record; 0 if there is none.
    pub fn machine_types_version(&self) -> u64 {
        self.shared.machine_types_version
    }

    /// Sets the machine types that this node's leader has stored.
    pub fn set_machine_types(&mut self, types: Rc<Vec<MachineType>>) {
        self.shared.machine_types = Some(types);
    }

    /// Sets whether a peer would be a better leader. Must be called before each tick.
    pub fn set_better_candidate(&mut self, better_candidate: BetterCandidate) {
        self.better_candidate = better_candidate;
    }

    /// Records the latency of a store response. A slow store leads to longer leases.
    pub fn record_store_latency(&mut self, latency: Micros, now: Micros) {
        self.store_latency.record(latency, now);
    }

    /// Sends the requests that are due: a read, a candidacy, a lease renewal or a watch.
    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        match self.phase {
            Phase::ReadScheduled { at } if now >= at => self.read_shared_keys(ctx),
            Phase::Following => self.stand_for_election_if_leaderless(ctx),
            Phase::Leading { lease, .. } if now >= self.renew_at => self.renew_lease(ctx, lease),
            _ => {}
        }
        if !self.watching && matches!(self.phase, Phase::Following | Phase::Leading { .. }) {
            self.watch_shared_keys(ctx);
        }
    }

    fn read_shared_keys(&mut self, ctx: &mut Context) {
        self.phase = Phase::AwaitingReply;
        let call = StoreRequest::List {
            prefix: records::SHARED_PREFIX.into(),
            after: None,
        };
        ctx.store_request(call, Continuation::Election(Step::Read));
    }

    fn watch_shared_keys(&mut self, ctx: &mut Context) {
        self.watching = true;
        let call = StoreRequest::Watch {
            prefix: records::SHARED_PREFIX.into(),
            after: self.shared.revision,
            hold_ms: WATCH_HOLD_MS,
        };
        ctx.store_request(call, Continuation::Election(Step::Watch));
    }

    fn renew_lease(&mut self, ctx: &mut Context, lease: LeaseId) {
        self.schedule_renewal(ctx);
        let call = StoreRequest::RenewLease { lease };
        ctx.store_request(call, Continuation::Election(Step::Renew { lease }));
    }

    fn schedule_renewal(&mut self, ctx: &Context) {
        self.renew_at = ctx.now.monotonic + micros(ctx.config.tuning.lead_ttl_s) / 4;
    }

    fn revoke_lease(ctx: &mut Context, lease: LeaseId) {
        let call = StoreRequest::RevokeLease { lease };
        ctx.store_request(call, Continuation::Election(Step::RevokeUnneededLease));
    }

    /// First step of a candidacy: requests a lease if there is no leader and this node
    /// need not wait for a better candidate.
    fn stand_for_election_if_leaderless(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if self.shared.leader.is_some() {
            self.leaderless_since = None;
            return;
        }
        let leaderless_since = *self.leaderless_since.get_or_insert(now);
        let delay = match self.better_candidate {
            BetterCandidate::Peer => DELAY_FOR_BETTER_PEER,
            // Before the first term no worker exists that could send heartbeats.
            BetterCandidate::Unknown if self.shared.term > 0 => DELAY_FOR_UNKNOWN_PEER,
            BetterCandidate::Unknown | BetterCandidate::NotNeeded => 0,
        };
        if now < self.candidacy_blocked_until || now < leaderless_since + delay {
            return;
        }
        self.phase = Phase::AwaitingReply;
        let ttl_ms = lease_ttl(ctx.config, self.store_latency.recent(now)) / 1000;
        let call = StoreRequest::GrantLease { ttl_ms };
        ctx.store_request(call, Continuation::Election(Step::GrantLease));
    }

    /// Second step of a candidacy: claims leadership by compare-and-swap.
    /// `lease_requested_at` is the send time of the request that granted the lease.
    fn claim_leadership(&mut self, ctx: &mut Context, lease: LeaseId, lease_requested_at: Micros) {
        let term = TermTokens::term_after(self.shared.term);
        let leader = LeaderRecord {
            member: ctx.config.member.clone(),
            lease,
            term,
        };
        let txn = Transaction::default()
            .compare(records::LEADER_KEY, 0)
            .compare(records::TERM_KEY, self.shared.term_version)
            .put(records::TERM_KEY, &TermRecord { term })
            .put_leased(records::LEADER_KEY, &leader, lease);
        self.candidate_lease = Some(lease);
        let step = Step::Claim {
            lease,
            term,
            lease_requested_at,
        };
        ctx.store_request(StoreRequest::Transaction(txn), Continuation::Election(step));
    }

    /// Completes a successful candidacy.
    fn become_leader(
        &mut self,
        ctx: &Context,
        lease: LeaseId,
        term: u64,
        lease_requested_at: Micros,
        term_version: u64,
    ) -> LeadershipChange {
        self.phase = Phase::Leading { lease, term };
        self.leaderless_since = None;
        self.proved_at = lease_requested_at;
        self.shared.term = term;
        self.shared.term_version = term_version;
        self.shared.leader = Some(LeaderRecord {
            member: ctx.config.member.clone(),
            lease,
            term,
        });
        self.schedule_renewal(ctx);
        let tokens = TermTokens::of_term(term);
        let (first, last) = (tokens.first(), tokens.last());
        log::info!(
            "elected leader term={term} first_token={first} last_token={last} revision={term_version}"
        );
        LeadershipChange::Elected { term, term_version }
    }

    /// Ends a candidacy that failed or whose outcome is unknown. Revoking the lease makes
    /// the outcome certain, since a key cannot be bound to a lease that has ended: this node
    /// cannot become leader by a delayed transaction.
    fn abandon_candidacy(&mut self, ctx: &mut Context, lease: LeaseId, term: u64, outcome: &str) {
        log::info!("not elected term={term} reason={outcome}");
        Self::revoke_lease(ctx, lease);
        self.schedule_read(ctx, READ_RETRY_DELAY);
    }

    /// Steps down and revokes the lease, so that another node can be elected at once. This
    /// node does not become a candidate again for the duration `backoff`. Returns None if
    /// this node does not lead.
    pub fn step_down(
        &mut self,
        ctx: &mut Context,
        reason: &str,
        backoff: Micros,
    ) -> Option<LeadershipChange> {
        let Phase::Leading { lease, term } = self.phase else {
            return None;
        };
        log::info!("stepping down term={term} reason={reason}");
        self.candidacy_blocked_until = ctx.now.monotonic + backoff;
        self.schedule_read(ctx, READ_RETRY_DELAY);
        Self::revoke_lease(ctx, lease);
        Some(LeadershipChange::SteppedDown)
    }

    /// Steps down, or abandons the candidacy and reads the shared keys again, after a pause of
    /// the process that was at least as long as the minimum lease: another node may have been
    /// elected meanwhile.
    pub fn handle_long_pause(&mut self, ctx: &mut Context) -> Option<LeadershipChange> {
        if self.leading().is_some() {
            return self.step_down(
                ctx,
                "process was paused for at least the minimum lease duration",
                0,
            );
        }
        self.candidate_lease = None;
        self.schedule_read(ctx, 0);
        None
    }

    /// Steps down if this node leads in a lower term than the one observed.
    pub fn observe_term(&mut self, ctx: &mut Context, term: u64) -> Option<LeadershipChange> {
        match self.phase {
            Phase::Leading { term: own, .. } if term > own => {
                self.step_down(ctx, "observed a higher term", 0)
            }
            _ => None,
        }
    }

    fn schedule_read(&mut self, ctx: &Context, delay: Micros) {
        self.phase = Phase::ReadScheduled {
            at: ctx.now.monotonic + delay,
        };
    }
}

impl Default for Election {
    fn default() -> Self {
        Self::new()
    }
}
