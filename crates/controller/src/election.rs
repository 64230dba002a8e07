//! Leader election over the key-value store.
//!
//! Two keys decide. `s/lead` names the leader and is bound to its **lease**: when the
//! lease expires, or is revoked, the key is deleted. `s/term` holds the **term**, which
//! grows by one with every election and is never deleted. A candidate grants itself a
//! lease and then, in one compare-and-swap, checks that `s/lead` is absent and that
//! `s/term` is unchanged, and writes both.
//!
//! **Fencing.** Every write of a leader compares the version of `s/term` that its election
//! wrote, and every command to a worker carries the term as its fencing token. Whatever an
//! earlier leader still has under way therefore fails, however late it arrives. Safety
//! rests on the term alone; the lease only decides when another node tries.
//!
//! **How a leader is deposed.** It steps down by revoking its lease, so that a successor
//! does not wait for the expiry, when
//! - the store says that its lease has expired,
//! - a higher term is seen: in the store, in a heartbeat of a worker or from a peer,
//! - its fenced write failed, or the history it watches was compacted,
//! - no worker reaches it while one may reach a peer, or
//! - its process was paused for longer than the lease lasts.
//!
//! A leader that merely cannot reach the store stays in office, but its
//! [`LeadershipProof`](crate::leadership_guard::LeadershipProof) ages, and without it
//! nothing is done that cannot be undone.
//!
//! **Timers.** The lease lasts `lead_ttl_s`, or longer while the store is slow
//! ([`lease_time`]), and is renewed every quarter of `lead_ttl_s`, so that two renewals in
//! a row may be lost. The remaining timers are the constants below.

mod replies;
mod shared_keys;

use self::shared_keys::SharedKeys;
use crate::calls::Context;
use crate::continuations::{Continuation, ElectionStep as Step};
use crate::records::{self, LeaderRecord, TermRecord};
use crate::store_latency::{StoreLatency, lease_time};
use crate::{MILLISECOND, Micros, SECOND, micros};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{LeaseId, StoreRequest, Transaction};
use std::rc::Rc;

/// Pause before the shared keys are read again after a failure.
const READ_RETRY_DELAY: Micros = 250 * MILLISECOND;
/// Least time from the sending of a renewal that failed to the next one. After an outage
/// of the store the lease has its full time again, so that it is worth asking soon.
const RENEW_RETRY_DELAY: Micros = 400 * MILLISECOND;
/// How long the store holds a watch without changes, in milliseconds. An idle follower
/// has no other sign that it reaches the store: held for 5 s, it once called itself cut
/// off for two of each five seconds, and the load balancer left all users to one or two
/// busy nodes (operations, rosterwise-nz-ops).
const WATCH_HOLD_MS: u64 = 1_000;
/// How long a node that no worker reaches leaves an election to a peer that they reach.
/// With two of three nodes cut off from the workers these two once led in turn, each for
/// as long as it took to notice, until all leases had expired.
const DELAY_FOR_BETTER_PEER: Micros = 600 * MILLISECOND;
/// The same where the node knows of no such peer: there may be one that it cannot reach.
/// A node cut off from the workers and from its peers once won two elections by 20 ms.
const DELAY_FOR_UNKNOWN_PEER: Micros = 100 * MILLISECOND;

/// A change in whether this node leads, for the node to act upon.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipChange {
    /// This node was elected. `term_version` is the version of the term's record, which
    /// fences its writes.
    Elected {
        /// The term.
        term: u64,
        /// The version of the stored term, which every write compares.
        term_version: u64,
    },
    /// This node no longer leads.
    Deposed,
}

/// Who would make a better leader than this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BetterCandidate {
    /// Workers reach this node.
    Nobody,
    /// Workers do not reach this node, but may reach a peer.
    Unknown,
    /// Workers reach a peer, and not this node.
    Peer,
}

/// What this node does in the election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The shared keys are unknown or doubtful, and are read at this time.
    ReadScheduled { at: Micros },
    /// A call is under way whose response decides the next phase.
    AwaitingReply,
    /// The shared keys are known and watched; stands for election when nobody leads.
    Following,
    /// Elected, and not deposed since.
    Leading { lease: LeaseId, term: u64 },
}

/// This node's part in the election, and its copy of the shared keys.
#[derive(Debug)]
pub struct Election {
    phase: Phase,
    shared: SharedKeys,
    /// Whether a watch of the shared keys is under way.
    watching: bool,
    /// When the lease is to be renewed next.
    renew_at: Micros,
    /// This node does not stand for election before: no worker reached it.
    abstain_until: Micros,
    better_candidate: BetterCandidate,
    /// Since when nobody leads, as far as is known.
    vacant_since: Option<Micros>,
    /// The lease of the present candidacy.
    candidate_lease: Option<LeaseId>,
    /// See [`proved_at`](Self::proved_at).
    proved_at: Micros,
    store_latency: StoreLatency,
}

impl Election {
    /// How long a leader that no worker reaches abstains after it has stepped down: long
    /// enough for a peer to be elected; if none is, better this one.
    pub const ABSTAIN: Micros = 3 * SECOND;

    /// A node that has just started, and reads the shared keys at its first tick.
    pub fn new() -> Self {
        Election {
            phase: Phase::ReadScheduled { at: 0 },
            shared: SharedKeys::default(),
            watching: false,
            renew_at: 0,
            abstain_until: 0,
            better_candidate: BetterCandidate::Nobody,
            vacant_since: None,
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

    /// When the latest call was sent whose response proved that this node leads: the one
    /// that made or renewed the leader's lease.
    pub fn proved_at(&self) -> Micros {
        self.proved_at
    }

    /// The highest term seen in the store.
    pub fn term(&self) -> u64 {
        self.shared.term
    }

    /// The leader according to the store.
    pub fn known_leader(&self) -> Option<&LeaderRecord> {
        self.shared.leader.as_ref()
    }

    /// The machine types that the cloud offers; None until they were read.
    pub fn machine_types(&self) -> Option<&[MachineType]> {
        self.shared.machine_types.as_deref().map(Vec::as_slice)
    }

    /// The same as [`machine_types`](Self::machine_types), to be kept.
    pub fn shared_machine_types(&self) -> Option<Rc<Vec<MachineType>>> {
        self.shared.machine_types.clone()
    }

    /// The version of the record of the machine types; 0 if there is none.
    pub fn machine_types_version(&self) -> u64 {
        self.shared.machine_types_version
    }

    /// This node's leader has stored new machine types.
    pub fn set_machine_types(&mut self, types: Rc<Vec<MachineType>>) {
        self.shared.machine_types = Some(types);
    }

    /// Says who would make a better leader; to be called before each tick.
    pub fn set_better_candidate(&mut self, better_candidate: BetterCandidate) {
        self.better_candidate = better_candidate;
    }

    /// Records how long a response of the store took; a slow store gets longer leases.
    pub fn record_store_latency(&mut self, latency: Micros, now: Micros) {
        self.store_latency.answered(latency, now);
    }

    /// Starts whatever is due: a read, a candidacy, a renewal, a watch.
    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        match self.phase {
            Phase::ReadScheduled { at } if now >= at => self.read_shared_keys(ctx),
            Phase::Following => self.stand_for_election_if_vacant(ctx),
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
            prefix: records::SHARED.into(),
            after: None,
        };
        ctx.store_request(call, Continuation::Election(Step::Read));
    }

    fn watch_shared_keys(&mut self, ctx: &mut Context) {
        self.watching = true;
        let call = StoreRequest::Watch {
            prefix: records::SHARED.into(),
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
        ctx.store_request(call, Continuation::Election(Step::Revoke));
    }

    /// First step of a candidacy: grants a lease if nobody leads and this node need not
    /// leave the election to a peer.
    fn stand_for_election_if_vacant(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if self.shared.leader.is_some() {
            self.vacant_since = None;
            return;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let delay = match self.better_candidate {
            BetterCandidate::Peer => DELAY_FOR_BETTER_PEER,
            // Before the first term there are no workers that could be heard.
            BetterCandidate::Unknown if self.shared.term > 0 => DELAY_FOR_UNKNOWN_PEER,
            BetterCandidate::Unknown | BetterCandidate::Nobody => 0,
        };
        if now < self.abstain_until || now < vacant_since + delay {
            return;
        }
        self.phase = Phase::AwaitingReply;
        let ttl_ms = lease_time(ctx.config, self.store_latency.recent(now)) / 1000;
        let call = StoreRequest::GrantLease { ttl_ms };
        ctx.store_request(call, Continuation::Election(Step::GrantLease));
    }

    /// Second step of a candidacy: takes the lead by compare-and-swap. The lease was
    /// asked for at `granted_at`.
    fn claim_lead(&mut self, ctx: &mut Context, lease: LeaseId, granted_at: Micros) {
        let term = self.shared.term + 1;
        let leader = LeaderRecord {
            member: ctx.config.member.clone(),
            lease,
            term,
        };
        let txn = Transaction::default()
            .compare(records::LEAD, 0)
            .compare(records::TERM, self.shared.term_version)
            .put(records::TERM, &TermRecord { term })
            .put_leased(records::LEAD, &leader, lease);
        self.candidate_lease = Some(lease);
        let step = Step::Claim {
            lease,
            term,
            granted_at,
        };
        ctx.store_request(StoreRequest::Transaction(txn), Continuation::Election(step));
    }

    /// The candidacy has succeeded.
    fn become_leader(
        &mut self,
        ctx: &Context,
        lease: LeaseId,
        term: u64,
        granted_at: Micros,
        term_version: u64,
    ) -> LeadershipChange {
        self.phase = Phase::Leading { lease, term };
        // When nobody leads again, that is a vacancy of its own.
        self.vacant_since = None;
        self.proved_at = granted_at;
        self.shared.term = term;
        self.shared.term_version = term_version;
        self.shared.leader = Some(LeaderRecord {
            member: ctx.config.member.clone(),
            lease,
            term,
        });
        self.schedule_renewal(ctx);
        log::info!("elected leader term={term}");
        LeadershipChange::Elected { term, term_version }
    }

    /// The candidacy has failed, or its outcome is unknown. Revoking the lease settles
    /// it, since a key cannot be set with a lease that has ended.
    fn abandon_candidacy(&mut self, ctx: &mut Context, lease: LeaseId, term: u64, outcome: &str) {
        log::info!("not elected term={term} reason={outcome}");
        Self::revoke_lease(ctx, lease);
        self.schedule_read(ctx, READ_RETRY_DELAY);
    }

    /// Gives up the lead and revokes the lease, so that another node can follow at once.
    /// `abstain` keeps this node out of the next elections for so long. Returns None if
    /// this node does not lead.
    pub fn step_down(
        &mut self,
        ctx: &mut Context,
        reason: &str,
        abstain: Micros,
    ) -> Option<LeadershipChange> {
        let Phase::Leading { lease, term } = self.phase else {
            return None;
        };
        log::info!("stepping down term={term} reason={reason}");
        self.abstain_until = ctx.now.monotonic + abstain;
        self.schedule_read(ctx, READ_RETRY_DELAY);
        Self::revoke_lease(ctx, lease);
        Some(LeadershipChange::Deposed)
    }

    /// This node was not running for longer than a lease lasts: all that it believes of
    /// the lead is out of date.
    pub fn resume_after_pause(&mut self, ctx: &mut Context) -> Option<LeadershipChange> {
        if self.leading().is_some() {
            return self.step_down(ctx, "it was not running", 0);
        }
        self.candidate_lease = None;
        self.schedule_read(ctx, 0);
        None
    }

    /// Someone has shown this term: a leader in a lower one is deposed.
    pub fn observe_term(&mut self, ctx: &mut Context, term: u64) -> Option<LeadershipChange> {
        match self.phase {
            Phase::Leading { term: own, .. } if term > own => {
                self.step_down(ctx, "a higher term was shown", 0)
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
