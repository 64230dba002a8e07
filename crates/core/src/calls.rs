//! Requests of this node that wait for their answers, and who waits.

use crate::waiters::Waiter;
use crate::warrant::Leave;
use crate::{MILLISECOND, Micros, Now, Output, SECOND};
use dillcleat_wire::cloud::CloudCall;
use dillcleat_wire::state::StateCall;
use dillcleat_wire::worker::Orders;
use std::collections::HashMap;

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
pub fn state_timeout(call: &StateCall) -> Micros {
    match call {
        StateCall::Watch { hold_ms, .. } => hold_ms * MILLISECOND + STATE_TIMEOUT,
        _ => STATE_TIMEOUT,
    }
}

/// What a module may do while it handles an input.
pub struct Ctx<'a> {
    pub now: Now,
    pub config: &'a crate::Config,
    pub out: &'a mut Vec<Output>,
    pub calls: &'a mut Calls,
}

#[derive(Debug, Default)]
pub struct Calls {
    next: u64,
    waiting: HashMap<CallId, (Waiter, Micros)>,
}

impl Calls {
    fn open(&mut self, waiter: Waiter, now: Now) -> CallId {
        self.next += 1;
        let id = CallId(self.next);
        self.waiting.insert(id, (waiter, now.steady));
        id
    }

    /// The waiter of an answered call and when the call was made.
    pub fn close(&mut self, id: CallId) -> Option<(Waiter, Micros)> {
        self.waiting.remove(&id)
    }
}

impl Ctx<'_> {
    pub fn state(&mut self, call: StateCall, waiter: Waiter) -> CallId {
        let timeout = state_timeout(&call);
        let id = self.calls.open(waiter, self.now);
        self.out.push(Output::State { id, call, timeout });
        id
    }

    /// The one door to the cloud: without leave for it no call goes out.
    pub fn cloud(&mut self, call: CloudCall, leave: &Leave, waiter: Waiter) {
        if !leave.covers(&call) {
            log::error!("no leave for {call:?}");
            return;
        }
        let id = self.calls.open(waiter, self.now);
        self.out.push(Output::Cloud {
            id,
            call,
            timeout: CLOUD_TIMEOUT,
            within: leave.within(self.now.steady),
        });
    }

    pub fn orders(&mut self, addr: String, orders: Orders, waiter: Waiter) -> CallId {
        let id = self.calls.open(waiter, self.now);
        self.out.push(Output::Orders {
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
