//! Handles the store's responses to election requests.

use super::{Election, LeadershipChange, Phase, READ_RETRY_DELAY, RENEW_RETRY_DELAY};
use crate::calls::Context;
use crate::continuations::{Continuation, ElectionStep as Step};
use crate::{CallError, Micros};
use dillcleat_wire::store::{LeaseId, StoreRequest, StoreResponse};

impl Election {
    /// Handles the response to the request of an election step that was sent at `sent_at`.
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
                lease_requested_at,
            } => return self.handle_claim(ctx, lease, term, lease_requested_at, reply),
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
            // The lease of an earlier process of this member, which no longer runs: there
            // is no need to wait for its expiry.
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
            // The lease was requested before a pause of the process, after which the
            // shared keys are read again.
            _ if self.phase != Phase::AwaitingReply => {}
            Ok(StoreResponse::Lease { lease }) => self.claim_leadership(ctx, lease, sent_at),
            _ => self.retry_read(ctx),
        }
    }

    /// Schedules another read after a failure. If the process was paused after the request
    /// was sent, a read is already scheduled.
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
        lease_requested_at: Micros,
        reply: Result<StoreResponse, CallError>,
    ) -> Option<LeadershipChange> {
        let outcome = match reply {
            Ok(StoreResponse::Committed { revision }) if self.candidate_lease == Some(lease) => {
                return Some(self.become_leader(ctx, lease, term, lease_requested_at, revision));
            }
            Ok(StoreResponse::Committed { .. }) => "candidacy abandoned after a process pause",
            Ok(StoreResponse::Conflict { .. }) => "another node was elected first",
            Ok(StoreResponse::LeaseExpired) => "lease expired",
            Ok(StoreResponse::RateLimited) => "store rejected the request: rate limit exceeded",
            Ok(StoreResponse::Unavailable) => "store unavailable",
            Ok(_) => "unexpected store response",
            Err(CallError::NotSent) => "request not sent to the store",
            Err(CallError::NoAnswer) => "no response from the store",
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
            // The renewal belongs to an earlier term of this node.
            return None;
        }
        match reply {
            Ok(StoreResponse::LeaseExpired) => self.step_down(ctx, "lease expired", 0),
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
                return self.step_down(ctx, "watched revisions were compacted", 0);
            }
            return None;
        };
        self.shared.apply_changes(changes);
        match self.phase {
            Phase::Leading { term, .. } if self.shared.term > term => {
                self.step_down(ctx, "store holds a higher term", 0)
            }
            _ => None,
        }
    }
}
