//! Who leads, and in which term.
//!
//! `s/lead` is bound to the leader's lease and goes with it. `s/term` lasts
//! and grows with every election; each write of a leader compares its version,
//! so whatever an earlier leader still has under way fails. The lease only
//! decides when somebody else tries: safety rests on the term alone.

use crate::calls::{CallError, Context};
use crate::continuations::{Continuation, ElectionStep as Step};
use crate::records::{self, LeaderRecord, MachineTypesRecord, TermRecord};
use crate::store_latency::{StoreLatency, lease_time};
use crate::{MILLISECOND, Micros, SECOND, micros};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{LeaseId, StoreRequest, StoreResponse, Transaction, WatchEvent};
use std::rc::Rc;

const RETRY: Micros = 250 * MILLISECOND;
/// How long a watch is held. An idle follower hears of the state service by
/// nothing else: held for 5 s, it once called itself cut off for two of each
/// five seconds, and the load balancer left all users to one or two busy nodes
/// (operations, rosterwise-nz-ops).
const WATCH_MS: u64 = 1_000;
/// How long a node that no worker reaches leaves an election to a sibling that they
/// reach. With two of three nodes cut off from the workers these two once led in turn,
/// each for as long as it took to notice, until all leases had run out.
const MAKE_WAY: Micros = 600 * MILLISECOND;
/// The same where it knows of no such sibling: there may be one that it does not hear. A
/// node cut off from the workers and from its siblings once won two elections by 20 ms.
const HEAD_START: Micros = 100 * MILLISECOND;

/// A change in who leads, for the node to act upon.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipChange {
    Elected { term: u64, term_version: u64 },
    Deposed,
}

/// Who would make a better leader than a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BetterCandidate {
    /// Workers reach this node.
    Nobody,
    /// Workers do not reach this node, but may reach a sibling.
    Unknown,
    /// A sibling hears the workers, and this node does not.
    Sibling,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing is known yet; read at the given time.
    Reading {
        at: Micros,
    },
    Waiting,
    /// A call is under way whose answer decides what is next.
    Busy,
    Leading {
        lease: LeaseId,
        term: u64,
    },
}

#[derive(Debug)]
pub struct Election {
    phase: Phase,
    watching: bool,
    revision: u64,
    pub lead: Option<LeaderRecord>,
    term: u64,
    term_version: u64,
    pub types: Option<Rc<Vec<MachineType>>>,
    /// The version of their record.
    pub types_version: u64,
    extend_at: Micros,
    /// Not to be elected before: this node could not reach the workers.
    abstain_until: Micros,
    /// Who would lead better than this node.
    pub better: BetterCandidate,
    /// Since when nobody leads, as far as is known.
    vacant_since: Option<Micros>,
    /// The lease with which this node is trying to be elected.
    taking: Option<LeaseId>,
    /// When the call was sent by whose answer this node was last proved to lead:
    /// it made or renewed the lease of the lead.
    proved: Micros,
    /// How slow the state service answers this node.
    pub latency: StoreLatency,
}

impl Election {
    pub fn new() -> Self {
        Election {
            phase: Phase::Reading { at: 0 },
            watching: false,
            revision: 0,
            lead: None,
            term: 0,
            term_version: 0,
            types: None,
            types_version: 0,
            extend_at: 0,
            abstain_until: 0,
            better: BetterCandidate::Nobody,
            vacant_since: None,
            taking: None,
            proved: 0,
            latency: StoreLatency::default(),
        }
    }

    /// The term in which this node leads.
    pub fn leading(&self) -> Option<u64> {
        match self.phase {
            Phase::Leading { term, .. } => Some(term),
            _ => None,
        }
    }

    fn leads_by(&self, lease: LeaseId) -> bool {
        matches!(self.phase, Phase::Leading { lease: own, .. } if own == lease)
    }

    /// When the call was sent by whose answer this node was last proved to lead.
    pub fn proved(&self) -> Micros {
        self.proved
    }

    /// The highest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        match self.phase {
            Phase::Reading { at } if now >= at => {
                self.phase = Phase::Busy;
                let call = StoreRequest::List {
                    prefix: records::SHARED.into(),
                    after: None,
                };
                ctx.store_request(call, Continuation::Election(Step::Read));
            }
            Phase::Waiting => self.consider(ctx),
            Phase::Leading { lease, .. } if now >= self.extend_at => {
                self.extend_at = now + micros(ctx.config.tuning.lead_ttl_s) / 4;
                let waiter = Continuation::Election(Step::Extend { lease });
                ctx.store_request(StoreRequest::RenewLease { lease }, waiter);
            }
            _ => {}
        }
        if !self.watching && matches!(self.phase, Phase::Waiting | Phase::Leading { .. }) {
            self.watching = true;
            let call = StoreRequest::Watch {
                prefix: records::SHARED.into(),
                after: self.revision,
                hold_ms: WATCH_MS,
            };
            ctx.store_request(call, Continuation::Election(Step::Watch));
        }
    }

    /// Tries to be elected if nobody leads.
    fn consider(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if self.lead.is_some() {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let pause = match self.better {
            BetterCandidate::Sibling => MAKE_WAY,
            // Before the first term there are no workers to be heard.
            BetterCandidate::Unknown if self.term > 0 => HEAD_START,
            BetterCandidate::Unknown | BetterCandidate::Nobody => 0,
        };
        if now < self.abstain_until || now < since + pause {
            return;
        }
        self.phase = Phase::Busy;
        let ttl_ms = lease_time(ctx.config, self.latency.recent(now)) / 1000;
        ctx.store_request(
            StoreRequest::GrantLease { ttl_ms },
            Continuation::Election(Step::NewLease),
        );
    }

    /// Gives the lead up and lets go of the lease, so that another can follow
    /// at once. `abstain` keeps this node out of the next elections.
    pub fn step_down(
        &mut self,
        ctx: &mut Context,
        why: &str,
        abstain: Micros,
    ) -> Option<LeadershipChange> {
        let Phase::Leading { lease, term } = self.phase else {
            return None;
        };
        log::info!("stepping down from term {term}: {why}");
        self.abstain_until = ctx.now.monotonic + abstain;
        self.reread(ctx, RETRY);
        ctx.store_request(
            StoreRequest::RevokeLease { lease },
            Continuation::Election(Step::Drop),
        );
        Some(LeadershipChange::Deposed)
    }

    /// This node was not running for longer than a lease lasts: all that it
    /// believes of the lead is old.
    pub fn woke(&mut self, ctx: &mut Context) -> Option<LeadershipChange> {
        if self.leading().is_some() {
            return self.step_down(ctx, "it was not running", 0);
        }
        self.taking = None;
        self.reread(ctx, 0);
        None
    }

    fn reread(&mut self, ctx: &Context, pause: Micros) {
        self.phase = Phase::Reading {
            at: ctx.now.monotonic + pause,
        };
    }

    pub fn reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        sent: Micros,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        match (step, reply) {
            (Step::Read, Ok(StoreResponse::RangePage(page))) => {
                self.revision = page.revision;
                self.lead = None;
                for row in &page.rows {
                    match row.key.as_str() {
                        records::LEAD => self.lead = row.decode_value(),
                        records::TERM => {
                            if let Some(t) = row.decode_value::<TermRecord>() {
                                (self.term, self.term_version) = (t.term, row.version);
                            }
                        }
                        records::TYPES => {
                            self.types = row
                                .decode_value::<MachineTypesRecord>()
                                .map(|t| Rc::new(t.types));
                            self.types_version = row.version;
                        }
                        _ => {}
                    }
                }
                match &self.lead {
                    // Left over from before this process started: nobody acts
                    // on it any more, so nobody has to wait for it either.
                    Some(lead) if lead.member == ctx.config.member => {
                        let lease = lead.lease;
                        log::info!("ending this member's earlier lease {lease}");
                        self.phase = Phase::Busy;
                        ctx.store_request(
                            StoreRequest::RevokeLease { lease },
                            Continuation::Election(Step::EndOwn),
                        );
                    }
                    _ => {
                        self.phase = Phase::Waiting;
                        self.consider(ctx);
                    }
                }
                None
            }
            (Step::EndOwn, Ok(StoreResponse::LeaseRenewed | StoreResponse::LeaseExpired)) => {
                self.reread(ctx, 0);
                None
            }
            // Asked before this node stopped running; it reads anew.
            (Step::NewLease | Step::Read | Step::EndOwn, _) if self.phase != Phase::Busy => None,
            (Step::NewLease, Ok(StoreResponse::Lease { lease })) => {
                let term = self.term + 1;
                let lead = LeaderRecord {
                    member: ctx.config.member.clone(),
                    lease,
                    term,
                };
                let txn = Transaction::default()
                    .compare(records::LEAD, 0)
                    .compare(records::TERM, self.term_version)
                    .put(records::TERM, &TermRecord { term })
                    .put_leased(records::LEAD, &lead, lease);
                self.taking = Some(lease);
                let since = sent;
                ctx.store_request(
                    StoreRequest::Transaction(txn),
                    Continuation::Election(Step::Take { lease, term, since }),
                );
                None
            }
            (Step::Take { lease, term, since }, Ok(StoreResponse::Committed { revision }))
                if self.taking == Some(lease) =>
            {
                self.phase = Phase::Leading { lease, term };
                // When nobody leads again, that is a vacancy of its own.
                self.vacant_since = None;
                self.proved = since;
                self.term = term;
                self.term_version = revision;
                self.lead = Some(LeaderRecord {
                    member: ctx.config.member.clone(),
                    lease,
                    term,
                });
                self.extend_at = ctx.now.monotonic + micros(ctx.config.tuning.lead_ttl_s) / 4;
                log::info!("leading in term {term}");
                Some(LeadershipChange::Elected {
                    term,
                    term_version: revision,
                })
            }
            (Step::Take { lease, .. }, reply) => {
                // Lost the race, or unknown: a lease that is let go settles
                // it, since the key cannot be set with an ended lease.
                log::info!("not elected: {reply:?}");
                ctx.store_request(
                    StoreRequest::RevokeLease { lease },
                    Continuation::Election(Step::Drop),
                );
                self.reread(ctx, RETRY);
                None
            }
            (Step::Read | Step::EndOwn | Step::NewLease, _) => {
                self.reread(ctx, RETRY);
                None
            }
            // Of a term before: this node was elected again meanwhile.
            (Step::Extend { lease }, _) if !self.leads_by(lease) => None,
            (Step::Extend { .. }, Ok(StoreResponse::LeaseExpired)) => {
                self.step_down(ctx, "the lease has ended", 0)
            }
            (Step::Extend { .. }, Ok(StoreResponse::LeaseRenewed)) => {
                self.proved = self.proved.max(sent);
                None
            }
            (
                Step::Extend { .. },
                Err(_) | Ok(StoreResponse::RateLimited | StoreResponse::Unavailable),
            ) => {
                // Try again soon: after an outage the lease has its full time.
                self.extend_at = self.extend_at.min(sent + micros(0.4).max(RETRY));
                None
            }
            (Step::Extend { .. } | Step::Drop, _) => None,
            (Step::Watch, reply) => {
                self.watching = false;
                self.watched(ctx, reply)
            }
        }
    }

    fn watched(
        &mut self,
        ctx: &mut Context,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        let Ok(StoreResponse::WatchBatch(changes)) = reply else {
            if self.phase == Phase::Waiting {
                self.reread(ctx, RETRY);
            } else if matches!(reply, Ok(StoreResponse::Compacted)) {
                return self.step_down(ctx, "lost sight of the state", 0);
            }
            return None;
        };
        // Its connection may have been slow, and all keys been read meanwhile: what is
        // older than that read was once taken for news, and a leader whose key had gone
        // before for the present one, of whom nothing is heard any more.
        let seen = self.revision;
        self.revision = seen.max(changes.revision);
        let mut change = None;
        let new = |event: &WatchEvent| match event {
            WatchEvent::Put { version, .. } | WatchEvent::Delete { version, .. } => *version > seen,
        };
        for event in changes.events.into_iter().filter(new) {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } => match key.as_str() {
                    records::LEAD => self.lead = dillcleat_wire::store::decode_value(&value),
                    records::TERM => {
                        if let Some(t) = dillcleat_wire::store::decode_value::<TermRecord>(&value)
                            && version > self.term_version
                        {
                            (self.term, self.term_version) = (t.term, version);
                        }
                    }
                    records::TYPES => {
                        if let Some(t) =
                            dillcleat_wire::store::decode_value::<MachineTypesRecord>(&value)
                        {
                            self.types = Some(Rc::new(t.types));
                        }
                        self.types_version = version;
                    }
                    _ => {}
                },
                WatchEvent::Delete { key, .. } if key == records::LEAD => self.lead = None,
                WatchEvent::Delete { .. } => {}
            }
        }
        if let Phase::Leading { term, .. } = self.phase
            && self.term > term
        {
            change = self.step_down(ctx, "a later term has begun", 0);
        }
        change
    }

    /// This node's leader has new machine types, stored already.
    pub fn set_types(&mut self, types: Rc<Vec<MachineType>>) {
        self.types = Some(types);
    }

    /// Somebody has shown a higher term than the one this node leads in.
    pub fn outdated(&mut self, ctx: &mut Context, term: u64) -> Option<LeadershipChange> {
        match self.phase {
            Phase::Leading { term: own, .. } if term > own => {
                self.step_down(ctx, "a higher term was shown", 0)
            }
            _ => None,
        }
    }

    /// Long enough for a sibling to be elected; if none is, better this one.
    pub const ABSTAIN: Micros = 3 * SECOND;
}

impl Default for Election {
    fn default() -> Self {
        Self::new()
    }
}
