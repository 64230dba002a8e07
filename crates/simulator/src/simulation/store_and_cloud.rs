//! Calls of the nodes to the store, its watches and the cloud.

use super::*;
use crate::rules::Rule;
use crate::scenario::CrashPoint;
use dillcleat_controller::records;
use dillcleat_wire::store::{WatchBatch, WatchEvent};
use dillcleat_wire::worker::Command;

/// The jobs that a reply of the store shows to be cancelled.
pub(super) fn cancelled_jobs(reply: &StoreResponse) -> Vec<String> {
    let cancelled_job = |key: &str| {
        key.strip_prefix(records::CANCELLED_JOBS_PREFIX)
            .map(str::to_string)
    };
    match reply {
        StoreResponse::Found(row) => cancelled_job(&row.key).into_iter().collect(),
        StoreResponse::RangePage(page) => page
            .rows
            .iter()
            .filter_map(|r| cancelled_job(&r.key))
            .collect(),
        StoreResponse::WatchBatch(changes) => {
            let put_of_cancelled_job = |e: &WatchEvent| match e {
                WatchEvent::Put { key, .. } => cancelled_job(key),
                WatchEvent::Delete { .. } => None,
            };
            changes
                .events
                .iter()
                .filter_map(put_of_cancelled_job)
                .collect()
        }
        _ => Vec::new(),
    }
}

impl Simulation {
    /// Checks that no command starts a task of a job that the sender knows to be
    /// cancelled.
    pub(super) fn check_launches(&mut self, node: usize, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, .. } = command {
                let known_cancelled = self.nodes[node].known_cancelled_jobs.contains(&task.job);
                self.checker.launch_sent(task, known_cancelled, self.now);
            }
        }
    }

    /// Crashes the caller if the scenario selects this call. Returns whether the call is
    /// executed.
    fn crash_at_store_call(&mut self, caller: Caller, call: &StoreRequest) -> bool {
        if matches!(call, StoreRequest::Watch { .. }) {
            return true;
        }
        self.store_calls += 1;
        let Some((_, point)) = self
            .scenario
            .crash_at_call
            .filter(|(number, _)| *number == self.store_calls)
        else {
            return true;
        };
        let nodes = vec![caller.node];
        let down = SECOND / 5;
        let crash = Fault::Crash { nodes, down };
        // The reply has usually arrived after 10 ms.
        let at = match point {
            CrashPoint::BeforeExecution | CrashPoint::AfterExecution => self.now,
            CrashPoint::AfterAnswer => self.now + 10 * MILLISECOND,
        };
        self.schedule(at, Event::Fault(Box::new(crash)));
        point != CrashPoint::BeforeExecution
    }

    pub(super) fn store_call(&mut self, caller: Caller, call: &StoreRequest) {
        if !self.crash_at_store_call(caller, call) {
            return;
        }
        let id = caller.id;
        let refused = self.now < self.nodes[caller.node].store_refuses_until;
        if refused && !matches!(call, StoreRequest::Watch { .. }) {
            let reply = Ok(StoreResponse::Unavailable);
            // A refusal is always delivered, even if the reply to an executed call would be
            // lost.
            let caller = Caller {
                reply_delivered: true,
                ..caller
            };
            return self.reply(caller, Input::Store { id, reply });
        }
        let delayed = self.now < self.delayed_writes_until
            && matches!(call, StoreRequest::Transaction(_))
            && self.auxiliary_rng.u8(..3) == 0;
        let lost = matches!(call, StoreRequest::Transaction(_))
            && !caller.delayed
            && self.is_affected(self.lost_write_replies);
        let caller = Caller {
            reply_delivered: caller.reply_delivered && !lost,
            ..caller
        };
        let slow = self.now < self.slow_store_until;
        if (delayed || slow) && !caller.delayed {
            let wait = match delayed {
                true => self.auxiliary_rng.u64(2 * SECOND..12 * SECOND),
                false => self.auxiliary_rng.u64(300 * MILLISECOND..3 * SECOND),
            };
            let caller = Caller {
                reply_delivered: caller.reply_delivered && !delayed,
                delayed: true,
                ..caller
            };
            let call = Box::new(call.clone());
            return self.schedule(self.now + wait, Event::StoreCall { caller, call });
        }
        let overloaded = self.now < self.store_overload_until;
        let rng = self.rng_for(caller.auxiliary);
        let rate_limited = rng.u16(..500) == 0 || (overloaded && rng.u8(..5) == 0);
        let answer = if rate_limited {
            Some(StoreResponse::RateLimited)
        } else {
            self.store.call(call, self.now)
        };
        match answer {
            Some(answer) => {
                if late_copies::can_be_copied(call, &answer) {
                    self.schedule_copies(RequestCopy::Store(call.clone()));
                }
                let reply = Ok(answer);
                self.reply(caller, Input::Store { id, reply });
                self.deliver_saved_heartbeats();
            }
            None => {
                if let Some((watch, time)) = self.store_watches.open(caller, call) {
                    self.schedule(self.now + time, Event::StoreWatchExpired { watch });
                }
            }
        }
        self.send_changed_watches();
    }

    pub(super) fn cloud_call(&mut self, caller: Caller, call: &CloudRequest) {
        let id = caller.id;
        let mut rng = self.rng.fork();
        let mut boot_fails = rng.u8(..20) == 0;
        let mut boot_time = rng.u64(SECOND..20 * SECOND);
        if self.now < self.boot_delays.until {
            boot_fails = rng.u64(..self.boot_delays.failure_one_in) == 0;
            boot_time = boot_time * self.boot_delays.time_factor + MILLISECOND;
        }
        let time_to_boot = |_: &str| (!boot_fails).then_some(boot_time);
        let (answer, rented, deleted) = self.cloud.call(call, self.now, time_to_boot);
        for machine in rented.iter().filter(|_| !boot_fails).cloned() {
            self.schedule(self.now + boot_time, Event::MachineBooted { machine });
        }
        let machines_before = self.workers.len();
        let deleted: Vec<String> = deleted
            .into_iter()
            .filter(|machine| self.workers.contains_key(machine))
            .collect();
        // While the store records no leader, a node may delete machines to end cancelled
        // jobs, but it may not rent any.
        let leader_now = self.observed_leader(caller.node);
        let deposed = match caller.leader_when_sent.unwrap_or(leader_now) {
            ObservedLeader::ThisNode => false,
            ObservedLeader::None => !rented.is_empty(),
            ObservedLeader::OtherNode => rented.len() + deleted.len() > 0,
        };
        if deposed {
            let what = format!("node-{} was no longer the leader: {call:?}", caller.node);
            self.checker
                .report_violation(Rule::ActedWithoutLeadership, self.now, what);
        }
        if leader_now == ObservedLeader::OtherNode {
            self.late_deletions += deleted.len();
            // The configuration limits the number of machines that one call may delete.
            if deleted.len() > 5.max(machines_before / 50) {
                let what = format!(
                    "node-{}: {} machines deleted by a late call: {call:?}",
                    caller.node,
                    deleted.len()
                );
                self.checker
                    .report_violation(Rule::ActedWithoutLeadership, self.now, what);
            }
        }
        for machine in deleted {
            self.remove_machine(&machine);
        }
        if late_copies::can_be_copied_to_cloud(&answer) {
            self.schedule_copies(RequestCopy::Cloud(call.clone()));
        }
        let reply = Ok(answer);
        self.reply(caller, Input::Cloud { id, reply });
    }

    pub(super) fn send_changed_watches(&mut self) {
        self.store.expire(self.now);
        if self.store.is_unavailable(self.now) {
            return;
        }
        let refused = |caller: Caller| self.nodes[caller.node].store_refuses_until;
        let accepts = |caller| self.now >= refused(caller);
        for (caller, changes) in self.store_watches.take_changed(&self.store, accepts) {
            self.send_watch_batch(caller, changes);
        }
    }

    pub(super) fn send_watch_batch(&mut self, caller: Caller, changes: WatchBatch) {
        let partition_end = self.nodes[caller.node].store_partition_until;
        let held_until = self.delivery_time(None, Self::node_zone(caller.node), partition_end);
        let Some(held_until) = held_until else {
            return;
        };
        let (at, intact) = self.transit_from(held_until, caller.auxiliary);
        if intact {
            let reply = Ok(StoreResponse::WatchBatch(changes));
            let id = caller.id;
            self.schedule_input(at, caller.node, caller.epoch, Input::Store { id, reply });
        }
    }
}
