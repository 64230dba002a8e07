//! The fencing token of the messages to one machine, and the launches that may still be
//! executed.
//!
//! A launch may arrive again at any time, also after it was answered, and the worker executes
//! it unless it knows the attempt or has accepted a higher token. An exited attempt is therefore
//! reaped only under a higher token than that of its launches.

use super::TaskAttempt;
use dillcleat_wire::worker::Command;
use std::collections::BTreeMap;

/// The fencing token of the messages to a machine, and the launches that it may still execute.
#[derive(Debug)]
pub struct LaunchFence {
    token: u64,
    /// The attempts of the current incarnation whose launches were sent, each with the highest
    /// token under which one was. An entry is removed once the worker has accepted a higher one.
    launches: BTreeMap<TaskAttempt, u64>,
}

impl LaunchFence {
    /// Creates the fence of a machine to which nothing was sent under `token`.
    pub fn new(token: u64) -> LaunchFence {
        LaunchFence {
            token,
            launches: BTreeMap::new(),
        }
    }

    /// The token under which messages are sent to the machine.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Raises the token. Messages that are still on their way are then refused by the worker.
    pub fn raise_token(&mut self, token: u64) {
        self.token = self.token.max(token);
    }

    /// Records that the commands were sent under the current token.
    pub fn record_sent(&mut self, commands: &[Command]) {
        let launches = TaskAttempt::launched_by(commands);
        self.launches
            .extend(launches.map(|launch| (launch, self.token)));
    }

    /// Records that the worker has accepted a token: it executes no launch under a lower one. A
    /// token above the current one was not sent to the machine and proves no more than that.
    pub fn record_accepted(&mut self, accepted: u64) {
        let accepted = accepted.min(self.token);
        self.launches
            .retain(|_, sent_under| *sent_under >= accepted);
    }

    /// Records that a new incarnation has begun: it executes no launch for an earlier one.
    pub fn begin_incarnation(&mut self) {
        self.launches.clear();
    }

    /// Whether the worker may still execute a launch of the attempt.
    pub fn may_still_launch(&self, attempt: &TaskAttempt) -> bool {
        self.launches.contains_key(attempt)
    }

    /// Whether a worker that accepts a message under the current token executes no launch of the
    /// attempt any more.
    pub fn fences_off(&self, attempt: &TaskAttempt) -> bool {
        let sent_under = self.launches.get(attempt);
        sent_under.is_none_or(|sent_under| *sent_under < self.token)
    }
}
