//! Handling of worker heartbeats: updates of the machines, and replies with commands.

use super::queue_watch::MAX_READ_AGE;
use super::zone_partition::heartbeat_missed_after;
use super::{Leader, LeaderEvent};
use crate::calls::Context;
use crate::machines::{HeartbeatPosition, HeartbeatSource, Machine, TaskEvent};
use crate::sched::SlabIndex;
use crate::write_queue::PendingWrite;
use crate::{Answer, Micros, SECOND, seconds};
use dillcleat_wire::TaskName;
use dillcleat_wire::worker::{Command, Heartbeat, HeartbeatReply};
use std::rc::Rc;

/// The number of exited attempts in a heartbeat up to which the fencing token is not raised while
/// a batch is in flight.
const MAX_EXITED_ATTEMPTS: usize = 64;

/// The properties of a machine, apart from its tasks, that a heartbeat may change and from
/// which other state is derived.
#[derive(PartialEq, Eq)]
struct MachineSummary {
    machine_type: Rc<str>,
    zone: Rc<str>,
    spot: bool,
    up: bool,
    ready: bool,
    recorded: bool,
    interrupted: bool,
    has_unexpected_tasks: bool,
}

impl MachineSummary {
    fn of(machine: &Machine) -> MachineSummary {
        MachineSummary {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            up: machine.is_up(),
            ready: machine.is_ready(),
            recorded: machine.recorded,
            interrupted: machine.interrupted_at().is_some(),
            has_unexpected_tasks: !machine.unplaced_attempts().is_empty(),
        }
    }
}

impl Leader {
    /// Whether heartbeats may still be answered.
    ///
    /// An answer extends the worker's lease, counted from the sending of its heartbeat. Any
    /// cancellation that this leader has not read was confirmed after its last consistent
    /// read. If heartbeats are no longer answered some time after that read, the leases of
    /// the cancelled tasks expire in time even if the store, the cloud and the workers are
    /// unreachable.
    pub(super) fn may_answer_heartbeats(&self, ctx: &Context) -> bool {
        self.last_read_within(ctx, ctx.config.heartbeat_answer_limit())
    }

    /// Whether the last consistent read of the job queue was sent less than `duration` ago.
    fn last_read_within(&self, ctx: &Context, duration: Micros) -> bool {
        self.queue_watch.read_within(ctx.now.monotonic, duration)
    }

    /// Whether a cancelled task may have been on the machine for so long that the worker's
    /// lease has to expire. This ends the task even if the stop command or the deletion of
    /// the machine fails, or if the launch command is still delayed in the network.
    fn lease_must_expire(&self, ctx: &Context, machine: &Machine) -> bool {
        let slots = machine.slots.iter();
        let cancelled = slots.filter(|(_, slot)| slot.cancelled && slot.stored);
        let jobs = cancelled.filter_map(|((job, _), _)| self.jobs.get(job));
        let since = jobs.filter_map(|job| job.cancelled_at);
        let since = since
            .chain(self.unknown_jobs.oldest_cancellation_on(machine))
            .min();
        since.is_some_and(|at| ctx.now.monotonic >= at + ctx.config.heartbeat_answer_limit())
    }

    /// Applies a periodic heartbeat and answers it.
    pub fn heartbeat(&mut self, ctx: &mut Context, heartbeat: &Heartbeat) -> Answer {
        if heartbeat.fencing_token > self.term {
            self.events
                .push(LeaderEvent::HigherTerm(heartbeat.fencing_token));
            return Answer::refusal(421, "a later term has begun");
        }
        if !self.may_answer_heartbeats(ctx) {
            return Answer::retry_later("the state is out of reach");
        }
        let mut reply = HeartbeatReply {
            fencing_token: self.tokens.first(),
            commands: Vec::new(),
        };
        // A heartbeat from a removed machine was delayed in the network.
        if self.recovery.is_ready() && !self.autoscaler.is_removed(&heartbeat.machine) {
            let name = heartbeat.machine.as_str();
            let position = HeartbeatPosition::of(heartbeat);
            let latest = self.machines.get(name).filter(|machine| machine.is_up());
            // The worker does not receive the answer to a duplicate of its latest heartbeat.
            // Launches in that answer would count as sent, so it contains no commands.
            let is_duplicate = latest.is_some_and(|machine| machine.position() == position);
            let is_latest_periodic = latest.is_none_or(|m| position > m.latest_periodic());
            self.apply_heartbeat(ctx, heartbeat, HeartbeatSource::Periodic);
            if is_latest_periodic {
                self.raise_token_if_needed(name);
            }
            if let Some(machine) = self.machines.get(name) {
                if self.lease_must_expire(ctx, machine) {
                    return Answer::retry_later("a cancelled task is not seen gone");
                }
                reply.fencing_token = machine.launch_fence.token();
                if machine.is_ready() && machine.position() == position && !is_duplicate {
                    reply.commands = self.permitted_commands(ctx, machine);
                }
            }
            self.record_reply(name, &reply.commands);
        }
        Answer::body(200, &reply)
    }

    /// Raises the fencing token of a machine if that is needed to reap or to prove the end of a
    /// task. This is done only in the reply to the latest periodic heartbeat: an earlier reply
    /// under a lower token, which would be dropped and renew no lease, is then settled.
    fn raise_token_if_needed(&mut self, name: &str) {
        let index = self.machines.index_of(name);
        let Some(machine) = index.and_then(|index| self.machines.get_mut_unmarked(index)) else {
            return;
        };
        // The worker would refuse a batch in flight, which then has to be sent again.
        let may_wait = machine.command_state.is_in_flight()
            && machine.exited_attempts() <= MAX_EXITED_ATTEMPTS;
        if may_wait || !machine.needs_higher_token() {
            return;
        }
        match self.tokens.assign_after(machine.launch_fence.token()) {
            Some(token) => machine.launch_fence.raise_token(token),
            // The attempts stay listed until another term begins.
            None => self.events.push(LeaderEvent::TokensExhausted),
        }
    }

    /// Records the commands that are sent in the reply to the machine's latest heartbeat.
    fn record_reply(&mut self, name: &str, commands: &[Command]) {
        let index = self.machines.index_of(name);
        if let Some(machine) = index.and_then(|index| self.machines.get_mut_unmarked(index)) {
            machine.launch_fence.record_sent(commands);
            if !commands.is_empty() {
                machine.command_state.clear_request();
            }
        }
    }

    /// Whether the last consistent read of the job queue is recent enough to start tasks.
    pub(super) fn has_recent_read(&self, ctx: &Context) -> bool {
        self.last_read_within(ctx, MAX_READ_AGE)
    }

    /// Applies a heartbeat to its machine and to the jobs of the tasks that it reports.
    pub(super) fn apply_heartbeat(
        &mut self,
        ctx: &Context,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) {
        let now = ctx.now.monotonic;
        self.add_unknown_machine(&heartbeat.machine, now);
        let Some(index) = self.machines.index_of(&heartbeat.machine) else {
            return;
        };
        let before = self.machine_summary(index);
        self.record_contact(index, heartbeat, now);
        let Some(machine) = self.machines.get_mut_unmarked(index) else {
            return;
        };
        let was_ready = machine.is_ready();
        let new_incarnation = heartbeat.incarnation > machine.incarnation();
        let is_newer = !machine.is_up() || HeartbeatPosition::of(heartbeat) > machine.position();
        let unplaced_before = machine.unplaced_attempts().to_vec();
        let events = machine.apply_heartbeat(heartbeat, source, self.tokens.first(), now);
        let token = heartbeat.fencing_token;
        self.command_log
            .record_unplaced(machine, &unplaced_before, token);
        self.command_log.record_listed_tasks(heartbeat.tasks.len());
        self.tokens.record_assigned(machine.launch_fence.token());
        let may_be_reachable_again = is_newer
            && source == HeartbeatSource::Periodic
            && self.update_reachability(ctx, index, new_incarnation);
        self.write_machine_record(index);
        if !was_ready {
            self.request_first_commands(index, now);
        }
        let withdrawn = self.withdraw_deletion(index, now);
        // Most heartbeats report no changes. The derived state is refreshed only if needed.
        if withdrawn
            || may_be_reachable_again
            || before != self.machine_summary(index)
            || events.iter().any(frees_resources)
            || self.derived.is_unresponsive(index)
        {
            self.machines.mark_changed(index);
        }
        for event in events {
            self.apply_task_event(ctx, &heartbeat.machine, event);
        }
        if heartbeat.interruption_notice_s.is_some() {
            self.preempt_unfinishable_tasks(ctx, &heartbeat.machine);
        }
    }

    fn machine_summary(&self, index: SlabIndex) -> Option<MachineSummary> {
        let (_, machine) = self.machines.at(index)?;
        Some(MachineSummary::of(machine))
    }

    /// A fencing token under which nothing was sent in this term, for a machine that becomes
    /// known after the recovery. It may have been known before under a lower one.
    pub(super) fn unused_token(&mut self) -> u64 {
        self.tokens.assign_highest().unwrap_or_else(|| {
            self.events.push(LeaderEvent::TokensExhausted);
            self.tokens.last()
        })
    }

    fn add_unknown_machine(&mut self, name: &str, now: Micros) {
        if !self.machines.contains_key(name) {
            log::info!("unknown machine sent a heartbeat machine={name}");
            let machine = Machine::new(name, "", "", false, self.unused_token(), now);
            self.machines.insert(machine.name.clone(), machine);
        }
    }

    /// Records what even an outdated heartbeat proves: the machine's description, and that
    /// the machine is up and its zone reachable.
    fn record_contact(&mut self, index: SlabIndex, heartbeat: &Heartbeat, now: Micros) {
        let Some(machine) = self.machines.get_mut_unmarked(index) else {
            return;
        };
        machine.update_description(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
        let (name, zone) = (&machine.name, &machine.zone);
        if self.partitions.record_reachable(zone) {
            log::info!("zone reachable again zone={zone}");
        }
        if !machine.is_up() {
            if machine.recorded {
                self.command_log.record_recovered_up();
            } else {
                let boot_s = seconds(now - machine.known_since());
                log::info!("machine is up machine={name} zone={zone} boot_s={boot_s}");
            }
            machine.restart_idle_time(now);
            if machine.boot_expected {
                self.autoscaler.boot_estimator.record_boot(machine, now);
            }
        }
        if machine.interrupted_at().is_none()
            && let Some(notice_s) = heartbeat.interruption_notice_s
        {
            let name = &machine.name;
            log::info!("spot interruption notice machine={name} notice_s={notice_s}");
        }
    }

    /// Updates the reachability of a machine after a newer periodic heartbeat. Returns
    /// whether the machine may have become reachable.
    fn update_reachability(
        &mut self,
        ctx: &Context,
        index: SlabIndex,
        new_incarnation: bool,
    ) -> bool {
        let now = ctx.now.monotonic;
        let missed_after = heartbeat_missed_after(ctx.config);
        let proof_after = ctx.config.worker_lease + ctx.config.heartbeat_interval + SECOND;
        let Some(machine) = self.machines.get_mut_unmarked(index) else {
            return false;
        };
        let may_be_reachable_again =
            machine.record_periodic_heartbeat(now, new_incarnation, proof_after, missed_after);
        if machine.command_state.is_probe_requested() {
            let name = machine.name.clone();
            self.command_dispatch.enqueue_background(name);
        }
        may_be_reachable_again
    }

    /// Queues the machine's record, unless it was queued before.
    fn write_machine_record(&mut self, index: SlabIndex) {
        if let Some(machine) = self.machines.get_mut_unmarked(index)
            && !machine.recorded
        {
            machine.recorded = true;
            let write = PendingWrite::Machine(machine.name.to_string());
            self.writer.enqueue(write);
        }
    }

    /// Requests the first commands to a machine that is new or has not accepted this term's
    /// fencing token.
    fn request_first_commands(&mut self, index: SlabIndex, now: Micros) {
        let Some(machine) = self.machines.get_mut_unmarked(index) else {
            return;
        };
        machine.command_state.request_at(0);
        let name = machine.name.clone();
        self.command_dispatch.enqueue_background(name);
        self.scheduling.request_cycle(now);
    }

    /// Withdraws the queued deletion of a machine after a message from it, unless the call to
    /// the cloud was sent already. Returns whether a deletion was withdrawn.
    fn withdraw_deletion(&mut self, index: SlabIndex, now: Micros) -> bool {
        let Some(machine) = self.machines.get_mut_unmarked(index) else {
            return false;
        };
        let withdrawn = machine.being_deleted
            && machine.reachability.last_contact_at() == now
            && self.autoscaler.cloud_queue.withdraw_deletion(&machine.name);
        if withdrawn {
            let name = &machine.name;
            log::info!("machine is reachable again, deletion withdrawn machine={name}");
            machine.being_deleted = false;
        }
        withdrawn
    }

    /// Whether the end of an exited attempt is stored, so that the attempt may be reaped.
    pub(super) fn is_end_stored(&self, task: &TaskName, attempt: u64) -> bool {
        let known = self
            .jobs
            .index_of(&task.job)
            .and_then(|index| self.jobs.at(index));
        let Some((id, job)) = known else {
            // The job's end is stored, or the job never existed.
            return !self.unknown_jobs.protects_task(task);
        };
        if task.index >= job.tasks.count() {
            return true;
        }
        let placement = job.tasks.placement(task.index);
        if placement.is_some_and(|placement| placement.attempt == attempt) {
            return false;
        }
        if job.cancelled_at.is_some() {
            return true;
        }
        !job.ending
            && self
                .writer
                .is_stored(id, job.task_ranges.range_of(task.index))
    }

    fn stops_protected_task(&self, command: &Command) -> bool {
        matches!(command, Command::Stop { task, .. } if self.unknown_jobs.protects_task(task))
    }

    /// The commands that the machine needs and that may be sent now.
    ///
    /// Tasks are preempted only with a recent proof of leadership, and launched and reaped
    /// only after a recent consistent read. Cancelled tasks are stopped without either,
    /// because cancellations are final, and a reply renews the lease of all tasks that it
    /// does not stop.
    pub(super) fn permitted_commands(&self, ctx: &Context, machine: &Machine) -> Vec<Command> {
        if !self.has_recent_read(ctx) {
            let stops = machine.cancelled_task_stops();
            return stops.chain(self.unknown_jobs.stops(machine)).collect();
        }
        let may_preempt = self
            .leadership_proof
            .is_recent(ctx.config, ctx.now.monotonic);
        let mut commands = machine.needed_commands(may_preempt, |task, attempt| {
            self.is_end_stored(task, attempt)
        });
        commands.retain(|command| !self.stops_protected_task(command));
        commands
    }
}

/// Whether the event may free resources. Only the start of a task never does.
fn frees_resources(event: &TaskEvent) -> bool {
    !matches!(event, TaskEvent::Running(_))
}
