//! Requests that this node (controller process) sends, and those that have no response yet.
//!
//! Every module sends its requests through [`Context`]. [`PendingCalls`] keeps the
//! [`Continuation`] of each request until the response arrives.

use crate::config::Config;
use crate::continuations::Continuation;
use crate::leadership_guard::CloudPermit;
use crate::messages::{Answer, CallId, Output, RequestId};
use crate::time::{MILLISECOND, Micros, SECOND, Timestamp, micros};
use crate::token_bucket::TokenBucket;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::StoreRequest;
use dillcleat_wire::worker::CommandBatch;
use std::collections::{HashMap, VecDeque};

/// Timeout of a request to the store, in addition to the hold time of a watch.
const STORE_TIMEOUT: Micros = 1500 * MILLISECOND;
/// Timeout of a request to the cloud.
const CLOUD_TIMEOUT: Micros = 6 * SECOND;
/// Timeout of a command batch to a worker.
const COMMANDS_TIMEOUT: Micros = 1500 * MILLISECOND;
/// The fraction of the store's request limit that hedged requests may use. Without this
/// bound, hedging would double the load of a store that is slow for all requests.
const HEDGED_REQUEST_FRACTION: f64 = 0.05;

/// The timeout of a request to the store.
pub fn store_timeout(call: &StoreRequest) -> Micros {
    match call {
        StoreRequest::Watch { hold_ms, .. } => hold_ms * MILLISECOND + STORE_TIMEOUT,
        _ => STORE_TIMEOUT,
    }
}

/// The environment of a module while it handles an input: the time, the configuration, and
/// methods to send requests and answers.
pub struct Context<'a> {
    /// The time of the input.
    pub now: Timestamp,
    /// The configuration of the node.
    pub config: &'a Config,
    out: &'a mut Vec<Output>,
    calls: &'a mut PendingCalls,
}

#[derive(Debug)]
struct PendingCall {
    continuation: Continuation,
    /// Monotonic time at which the request, or the first one of a hedged pair, was sent.
    sent_at: Micros,
    /// The other request of a hedged pair.
    paired_call: Option<CallId>,
}

/// A request that is sent a second time if its response is slow.
#[derive(Debug)]
struct HedgeCandidate {
    due_at: Micros,
    id: CallId,
    call: StoreRequest,
}

/// The requests without a response yet.
#[derive(Debug, Default)]
pub struct PendingCalls {
    last_id: u64,
    pending: HashMap<CallId, PendingCall>,
    /// The requests that may be hedged, sorted by `due_at`: new ones are appended, since the
    /// delay is the same for all.
    hedge_candidates: VecDeque<HedgeCandidate>,
    hedge_budget: TokenBucket,
}

impl PendingCalls {
    fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        CallId(self.last_id)
    }

    fn register(&mut self, continuation: Continuation, now: Timestamp) -> CallId {
        let id = self.next_id();
        let call = PendingCall {
            continuation,
            sent_at: now.monotonic,
            paired_call: None,
        };
        self.pending.insert(id, call);
        id
    }

    /// Removes a request that has completed or failed. Returns its continuation and when it
    /// was sent. The first response to a hedged pair completes both requests, unless it is a
    /// failure and the other request may still succeed: then None is returned, as for an
    /// unknown request.
    pub fn complete(&mut self, id: CallId, failed: bool) -> Option<(Continuation, Micros)> {
        let call = self.pending.remove(&id)?;
        if let Some(paired_call) = call.paired_call {
            if failed && let Some(other) = self.pending.get_mut(&paired_call) {
                other.paired_call = None;
                return None;
            }
            self.pending.remove(&paired_call);
        }
        Some((call.continuation, call.sent_at))
    }

    /// Registers the second request for each pending request whose response is slow, within
    /// the hedge budget. A candidate that exceeds the budget is not hedged later.
    fn register_duplicates(&mut self, config: &Config, now: Micros) -> Vec<(CallId, StoreRequest)> {
        let per_s = config.store_rps * HEDGED_REQUEST_FRACTION;
        self.hedge_budget.refill(now, per_s, per_s.max(1.0));
        let mut duplicates = Vec::new();
        while let Some(candidate) = self.hedge_candidates.pop_front_if(|c| now >= c.due_at) {
            if self.hedge_budget.available() < 1.0 || !self.pending.contains_key(&candidate.id) {
                continue;
            }
            self.hedge_budget.take(1.0);
            let duplicate_id = self.next_id();
            self.register_duplicate(candidate.id, duplicate_id);
            duplicates.push((duplicate_id, candidate.call));
        }
        duplicates
    }

    fn register_duplicate(&mut self, first_id: CallId, duplicate_id: CallId) {
        if let Some(first) = self.pending.get_mut(&first_id) {
            first.paired_call = Some(duplicate_id);
            let duplicate = PendingCall {
                continuation: first.continuation.clone(),
                sent_at: first.sent_at,
                paired_call: Some(first_id),
            };
            self.pending.insert(duplicate_id, duplicate);
        }
    }
}

impl<'a> Context<'a> {
    /// Creates the context for handling one input.
    pub fn new(
        now: Timestamp,
        config: &'a Config,
        out: &'a mut Vec<Output>,
        calls: &'a mut PendingCalls,
    ) -> Context<'a> {
        Context {
            now,
            config,
            out,
            calls,
        }
    }

    /// Sends a request to the store.
    pub fn store_request(&mut self, call: StoreRequest, continuation: Continuation) -> CallId {
        let id = self.calls.register(continuation, self.now);
        self.push_store_request(id, call);
        id
    }

    fn push_store_request(&mut self, id: CallId, call: StoreRequest) {
        let timeout = store_timeout(&call);
        self.out.push(Output::Store { id, call, timeout });
    }

    /// Sends a request to the store that a user waits for, and sends it a second time if
    /// the response is slow. The request must be idempotent.
    pub fn hedged_store_request(&mut self, call: StoreRequest, continuation: Continuation) {
        let id = self.store_request(call.clone(), continuation);
        let delay = micros(self.config.tuning.again_s);
        if delay > 0 {
            let due_at = self.now.monotonic + delay;
            let candidate = HedgeCandidate { due_at, id, call };
            self.calls.hedge_candidates.push_back(candidate);
        }
    }

    /// Sends the hedged requests whose responses are slow a second time. Must be called at
    /// every tick.
    pub fn send_hedged_requests(&mut self) {
        for (id, call) in self
            .calls
            .register_duplicates(self.config, self.now.monotonic)
        {
            self.push_store_request(id, call);
        }
    }

    /// Sends a request to the cloud. This is the only way to send one. Nothing is sent
    /// unless the permit covers the request.
    pub fn cloud_request(
        &mut self,
        call: CloudRequest,
        permit: &CloudPermit,
        continuation: Continuation,
    ) {
        if !permit.covers(&call) {
            log::error!(
                "cloud request without permit dropped request={}",
                request_kind(&call)
            );
            return;
        }
        let id = self.calls.register(continuation, self.now);
        self.out.push(Output::Cloud {
            id,
            call,
            timeout: CLOUD_TIMEOUT,
            within: permit.remaining_time(self.now.monotonic),
        });
    }

    /// Sends commands to the worker at this address.
    pub fn send_commands(
        &mut self,
        addr: String,
        commands: CommandBatch,
        continuation: Continuation,
    ) -> CallId {
        let id = self.calls.register(continuation, self.now);
        self.out.push(Output::Commands {
            id,
            addr,
            commands,
            timeout: COMMANDS_TIMEOUT,
        });
        id
    }

    /// Answers an HTTP request.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        self.out.push(Output::Answer { id, answer });
    }
}

/// The kind of a request to the cloud, for log lines.
fn request_kind(call: &CloudRequest) -> &'static str {
    match call {
        CloudRequest::Types => "types",
        CloudRequest::ScaleOut(_) => "scale-out",
        CloudRequest::Delete(_) => "delete",
        CloudRequest::List { .. } => "list",
    }
}
