//! Handles the store's responses to the steps of the election.

use super::{Election, LeadershipChange, Phase, READ_RETRY_DELAY, RENEW_RETRY_DELAY};
use crate::calls::Context;
use crate::continuations::{Continuation, ElectionStep as Step};
use crate::{CallError, Micros};
use dillcleat_wire::store::{LeaseId, StoreRequest, StoreResponse};

impl Election {
    /// Handles the response to the call of a step, which was sent at `sent_at`.
    pub fn reply(
        &mut self,
        ctx: &mut Context,
        step: Step,
        sent_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        match step {
            Step::Read => self.handle_read(ctx, reply),
            Step::RevokeOwnLease => self.handle_own_lease_revoked(ctx, reply),
            Step::GrantLease => self.handle_lease_granted(ctx, sent_at, reply),
            Step::Claim {
                lease,
                term,
                granted_at,
            } => return self.handle_claim(ctx, lease, term, granted_at, reply),
            Step::Renew { lease } => return self.handle_renewal(ctx, lease, sent_at, reply),
            Step::Watch => {
                self.watching = false;
                return self.handle_watch(ctx, reply);
            }
            Step::Revoke => {}
        }
        None
    }

    fn handle_read(&mut self, ctx: &mut Context, reply: Result<StoreResponse, CallError>) {
        let Ok(StoreResponse::RangePage(page)) = reply else {
            return self.retry_read(ctx);
        };
        self.shared.apply_read(&page);
        match &self.shared.leader {
            // Left over from before this process started: nobody acts on it any more, so
            // nobody has to wait for it to expire.
            Some(leader) if leader.member == ctx.config.member => {
                let lease = leader.lease;
                log::info!("revoking earlier lease of this member lease={lease}");
                self.phase = Phase::AwaitingReply;
                ctx.store_request(
                    StoreRequest::RevokeLease { lease },
                    Continuation::Election(Step::RevokeOwnLease),
                );
            }
            _ => {
                self.phase = Phase::Following;
                self.stand_for_election_if_vacant(ctx);
            }
        }
    }

    fn handle_own_lease_revoked(&mut self, ctx: &Context, reply: Result<StoreResponse, CallError>) {
        match reply {
            Ok(StoreResponse::LeaseRenewedOrRevoked | StoreResponse::LeaseExpired) => {
                self.schedule_read(ctx, 0);
            }
            _ => self.retry_read(ctx),
        }
    }

    fn handle_lease_granted(
        &mut self,
        ctx: &mut Context,
        sent_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            // Asked for before the process was paused; the keys are read anew.
            _ if self.phase != Phase::AwaitingReply => {}
            Ok(StoreResponse::Lease { lease }) => self.claim_lead(ctx, lease, sent_at),
            _ => self.retry_read(ctx),
        }
    }

    /// Reads again after a failure, unless the process was paused since the call was
    /// sent: then a read is scheduled already.
    fn retry_read(&mut self, ctx: &Context) {
        if self.phase == Phase::AwaitingReply {
            self.schedule_read(ctx, READ_RETRY_DELAY);
        }
    }

    fn handle_claim(
        &mut self,
        ctx: &mut Context,
        lease: LeaseId,
        term: u64,
        granted_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        let outcome = match reply {
            Ok(StoreResponse::Committed { revision }) if self.candidate_lease == Some(lease) => {
                return Some(self.become_leader(ctx, lease, term, granted_at, revision));
            }
            Ok(StoreResponse::Committed { .. }) => "the candidacy was given up",
            Ok(StoreResponse::Conflict { .. }) => "another node was first",
            Ok(StoreResponse::LeaseExpired) => "the lease has ended",
            Ok(StoreResponse::RateLimited) => "the store limits requests",
            Ok(StoreResponse::Unavailable) => "the store is unavailable",
            Ok(_) => "unexpected response of the store",
            Err(CallError::NotSent) => "not sent",
            Err(CallError::NoAnswer) => "no answer",
        };
        self.abandon_candidacy(ctx, lease, term, outcome);
        None
    }

    fn handle_renewal(
        &mut self,
        ctx: &mut Context,
        lease: LeaseId,
        sent_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        if !self.leads_with_lease(lease) {
            // Of an earlier term: this node was elected again meanwhile.
            return None;
        }
        match reply {
            Ok(StoreResponse::LeaseExpired) => self.step_down(ctx, "the lease has ended", 0),
            Ok(StoreResponse::LeaseRenewedOrRevoked) => {
                self.proved_at = self.proved_at.max(sent_at);
                None
            }
            Err(_) | Ok(StoreResponse::RateLimited | StoreResponse::Unavailable) => {
                self.renew_at = self.renew_at.min(sent_at + RENEW_RETRY_DELAY);
                None
            }
            Ok(_) => None,
        }
    }

    fn handle_watch(
        &mut self,
        ctx: &mut Context,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        let Ok(StoreResponse::WatchBatch(changes)) = reply else {
            if self.phase == Phase::Following {
                self.schedule_read(ctx, READ_RETRY_DELAY);
            } else if matches!(reply, Ok(StoreResponse::Compacted)) {
                return self.step_down(ctx, "lost sight of the state", 0);
            }
            return None;
        };
        self.shared.apply_changes(changes);
        match self.phase {
            Phase::Leading { term, .. } if self.shared.term > term => {
                self.step_down(ctx, "a later term has begun", 0)
            }
            _ => None,
        }
    }
}
