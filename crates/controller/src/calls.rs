//! Requests of this node that wait for their answers, and who waits.

use crate::continuations::Continuation;
use crate::leadership_guard::CloudPermit;
use crate::token_bucket::TokenBucket;
use crate::{MILLISECOND, Micros, Output, SECOND, Timestamp};
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::store::StoreRequest;
use dillcleat_wire::worker::CommandBatch;
use std::collections::{HashMap, VecDeque};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection came about: nothing was sent and nothing will arrive.
    #[error("not sent")]
    NotSent,
    /// It may have been carried out, or may still be, minutes later.
    #[error("no answer")]
    NoAnswer,
}

/// How long an ordinary call to the state service may take.
const STATE_TIMEOUT: Micros = 1500 * MILLISECOND;
pub const CLOUD_TIMEOUT: Micros = 6 * SECOND;
pub const ORDERS_TIMEOUT: Micros = 1500 * MILLISECOND;

/// How long this call to the state service may take.
pub fn state_timeout(call: &StoreRequest) -> Micros {
    match call {
        StoreRequest::Watch { hold_ms, .. } => hold_ms * MILLISECOND + STATE_TIMEOUT,
        _ => STATE_TIMEOUT,
    }
}

/// What a module may do while it handles an input.
pub struct Context<'a> {
    pub now: Timestamp,
    pub config: &'a crate::Config,
    pub out: &'a mut Vec<Output>,
    pub calls: &'a mut PendingCalls,
}

/// The part of the state service's requests that second calls may take: when it is slow
/// for all, twice as many would make it worse.
const SECOND_PART: f64 = 0.05;

#[derive(Debug)]
struct Waiting {
    waiter: Continuation,
    since: Micros,
    /// The same call made a second time, or the first time.
    twin: Option<CallId>,
}

#[derive(Debug, Default)]
pub struct PendingCalls {
    next: u64,
    waiting: HashMap<CallId, Waiting>,
    /// Calls that are made a second time if they are slow, in the order of their times.
    urgent: VecDeque<(Micros, CallId, StoreRequest)>,
    /// Second calls that may be made now.
    allowed: TokenBucket,
}

impl PendingCalls {
    fn open(&mut self, waiter: Continuation, now: Timestamp) -> CallId {
        self.next += 1;
        let id = CallId(self.next);
        let since = now.monotonic;
        let waiting = Waiting {
            waiter,
            since,
            twin: None,
        };
        self.waiting.insert(id, waiting);
        id
    }

    /// The waiter of an answered call and when the call was made. Whoever waits for two
    /// is told of the first answer; that one of them has failed is none.
    pub fn close(&mut self, id: CallId, failed: bool) -> Option<(Continuation, Micros)> {
        let found = self.waiting.remove(&id)?;
        if let Some(twin) = found.twin {
            if failed && let Some(other) = self.waiting.get_mut(&twin) {
                other.twin = None;
                return None;
            }
            self.waiting.remove(&twin);
        }
        Some((found.waiter, found.since))
    }

    /// The calls to be made a second time now.
    fn slow(&mut self, config: &crate::Config, now: Micros) -> Vec<(CallId, StoreRequest)> {
        let per_s = config.state_rps * SECOND_PART;
        self.allowed.refill(now, per_s, per_s.max(1.0));
        let mut again = Vec::new();
        while self.urgent.front().is_some_and(|(at, ..)| now >= *at) {
            let Some((_, id, call)) = self.urgent.pop_front() else {
                break;
            };
            let Some(first) = self
                .waiting
                .get_mut(&id)
                .filter(|_| self.allowed.available() >= 1.0)
            else {
                continue;
            };
            self.allowed.take(1.0);
            self.next += 1;
            let twin = CallId(self.next);
            first.twin = Some(twin);
            let second = Waiting {
                waiter: first.waiter.clone(),
                since: first.since,
                twin: Some(id),
            };
            self.waiting.insert(twin, second);
            again.push((twin, call));
        }
        again
    }
}

impl Context<'_> {
    pub fn store_request(&mut self, call: StoreRequest, waiter: Continuation) -> CallId {
        let timeout = state_timeout(&call);
        let id = self.calls.open(waiter, self.now);
        self.out.push(Output::Store { id, call, timeout });
        id
    }

    /// A call that a user waits for, and that does no harm when it is made twice: it is,
    /// if its answer is slow.
    pub fn hedged_store_request(&mut self, call: StoreRequest, waiter: Continuation) {
        let id = self.store_request(call.clone(), waiter);
        // The state service answers most within 10 ms and some in a few hundred: of two
        // answers one is rarely slow.
        let slow = crate::micros(self.config.tuning.again_s);
        if slow > 0 {
            let due = self.now.monotonic + slow;
            self.calls.urgent.push_back((due, id, call));
        }
    }

    /// Makes calls whose answers are slow a second time.
    pub fn send_hedged_requests(&mut self) {
        for (id, call) in self.calls.slow(self.config, self.now.monotonic) {
            let timeout = state_timeout(&call);
            self.out.push(Output::Store { id, call, timeout });
        }
    }

    /// The one door to the cloud: without a permit no call goes out.
    pub fn cloud_request(
        &mut self,
        call: CloudRequest,
        permit: &CloudPermit,
        waiter: Continuation,
    ) {
        if !permit.covers(&call) {
            log::error!("no permit for {call:?}");
            return;
        }
        let id = self.calls.open(waiter, self.now);
        self.out.push(Output::Cloud {
            id,
            call,
            timeout: CLOUD_TIMEOUT,
            within: permit.within(self.now.monotonic),
        });
    }

    pub fn send_commands(
        &mut self,
        addr: String,
        orders: CommandBatch,
        waiter: Continuation,
    ) -> CallId {
        let id = self.calls.open(waiter, self.now);
        self.out.push(Output::Commands {
            id,
            addr,
            orders,
            timeout: ORDERS_TIMEOUT,
        });
        id
    }

    pub fn answer(&mut self, id: crate::RequestId, answer: crate::Answer) {
        self.out.push(Output::Answer { id, answer });
    }
}
