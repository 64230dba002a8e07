//! Calls to the cloud and the handling of its replies.

use crate::CallError;
use crate::calls::Context;
use crate::cloud_queue::CloudRequestKind;
use crate::continuations::LeaderStep;
use crate::leader::{Leader, LeaderEvent};
use crate::leadership_guard::DeletionReason;
use crate::machines::{Machine, MachineLossReason};
use crate::sched::scale_out_plan::MachineOffering;
use crate::write_queue::PendingWrite;
use crate::{Micros, SECOND, micros};
use dillcleat_wire::cloud::{
    CloudResponse, ListedMachine, MachineList, MachineState, MachineType, ScaleOut,
};
use std::fmt;
use std::rc::Rc;

/// Interval between two requests for the machine types.
const TYPES_INTERVAL: Micros = 60 * SECOND;
/// Delay before a failed request for the machine types is retried.
const TYPES_RETRY_INTERVAL: Micros = 2 * SECOND;
/// Interval between two complete listings of the machines.
const LISTING_INTERVAL: Micros = 10 * SECOND;

type CloudReply = Result<CloudResponse, CallError>;

/// Whether the cloud may have carried out a failed call, or may still do so. Only a call that was
/// sent and not answered counts.
fn is_uncertain(reply: &CloudReply) -> bool {
    matches!(reply, Err(CallError::NoAnswer))
}

/// The reason why a call failed, for log lines.
struct FailureReason<'a>(&'a CloudReply);

impl fmt::Display for FailureReason<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Err(CallError::NotSent) => f.write_str("not-sent"),
            Err(CallError::NoAnswer) => f.write_str("no-answer"),
            Ok(CloudResponse::RateLimitedOrUnavailable { status }) => {
                write!(f, "rate-limited-or-unavailable status={status}")
            }
            Ok(CloudResponse::NoCapacity) => f.write_str("no-capacity"),
            Ok(CloudResponse::Malformed) => f.write_str("malformed"),
            Ok(_) => f.write_str("unexpected-response"),
        }
    }
}

impl Leader {
    /// Sends the next queued call to the cloud, if one is permitted.
    pub(in crate::leader) fn send_cloud_request(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        let fleet = self.derived.sums().machines_up();
        let deletion_limit = (fleet as f64 * ctx.config.tuning.delete_share) as usize;
        let permit = |action| self.leadership_proof.permit(ctx.config, now, action);
        let cloud_queue = &mut self.autoscaler.cloud_queue;
        if let Some(call) = cloud_queue.next(now, deletion_limit, permit) {
            let continuation = self.continuation(LeaderStep::Cloud(call.kind));
            ctx.cloud_request(call.request, &call.permit, continuation);
        }
    }

    /// Handles the reply to the cloud call in flight.
    pub fn cloud_reply(&mut self, ctx: &mut Context, kind: CloudRequestKind, reply: CloudReply) {
        let now = ctx.now.monotonic;
        self.autoscaler.cloud_queue.finish_call();
        match (kind, reply) {
            (CloudRequestKind::Delete, Ok(CloudResponse::Deleted)) => {
                for name in self.autoscaler.cloud_queue.finish_deletion() {
                    self.remove_machine(ctx, &name, MachineLossReason::Deleted);
                }
            }
            (CloudRequestKind::ScaleOut, Ok(CloudResponse::ScaledOut(names))) => {
                if let Some(request) = self.autoscaler.cloud_queue.finish_scale_out() {
                    self.apply_scale_out(ctx, &request, &names);
                }
            }
            (
                CloudRequestKind::ScaleOut,
                Ok(CloudResponse::NoCapacity | CloudResponse::Malformed),
            ) => {
                if let Some(request) = self.autoscaler.cloud_queue.finish_scale_out() {
                    self.pause_offering(ctx, &request, 0);
                }
            }
            (CloudRequestKind::Types, Ok(CloudResponse::Types(types))) => {
                let next_at = now + TYPES_INTERVAL;
                self.autoscaler.cloud_queue.schedule_types(next_at);
                self.update_machine_types(types);
            }
            (CloudRequestKind::List, Ok(CloudResponse::Listed(list))) => {
                self.apply_listing(ctx, list);
            }
            (kind, failed) => self.cloud_request_failed(now, kind, &failed),
        }
    }

    fn cloud_request_failed(&mut self, now: Micros, kind: CloudRequestKind, reply: &CloudReply) {
        let cloud_queue = &mut self.autoscaler.cloud_queue;
        cloud_queue.pause(now);
        match kind {
            CloudRequestKind::ScaleOut => {
                cloud_queue.fail_scale_out(now, is_uncertain(reply));
                return;
            }
            CloudRequestKind::Types => {
                cloud_queue.schedule_types(now + TYPES_RETRY_INTERVAL);
                return;
            }
            CloudRequestKind::Delete => cloud_queue.fail_deletion(is_uncertain(reply)),
            CloudRequestKind::List => {}
        }
        let reason = FailureReason(reply);
        log::info!("cloud request failed kind={} reason={reason}", kind.label());
    }

    /// Updates the machine types that the cloud offers.
    fn update_machine_types(&mut self, types: Vec<MachineType>) {
        let types = Rc::new(types);
        let must_store = self.machine_types.update(types.clone());
        // The resources of machines may have changed with their types.
        self.machines.mark_all_changed();
        if must_store {
            self.writer.enqueue(PendingWrite::MachineTypes);
        }
        self.events.push(LeaderEvent::MachineTypes(types));
    }

    /// Adds the machines that the cloud has started, which may be fewer than requested.
    fn apply_scale_out(&mut self, ctx: &Context, request: &ScaleOut, names: &[String]) {
        let now = ctx.now.monotonic;
        log::info!(
            "scaled out request={} started={} requested={} machines={}",
            request.idempotency_key,
            names.len(),
            request.count,
            names.join(",")
        );
        for name in names {
            if self.autoscaler.is_removed(name) {
                continue;
            }
            if !self.machines.contains_key(name) {
                let (machine_type, zone) = (&request.machine_type, &request.zone);
                let token = self.unused_token();
                let machine = Machine::new(name, machine_type, zone, request.spot, token, now);
                self.machines.insert(machine.name.clone(), machine);
            }
            if let Some(machine) = self.machines.get_mut(name) {
                machine.boot_expected = true;
            }
        }
        if (names.len() as u32) < request.count {
            self.pause_offering(ctx, request, names.len());
        }
    }

    /// Pauses an offering after the cloud did not start all requested machines: it lacks
    /// capacity or rejected the request. It started `started` machines.
    fn pause_offering(&mut self, ctx: &Context, request: &ScaleOut, started: usize) {
        let now = ctx.now.monotonic;
        log::info!(
            "scale-out not fulfilled, pausing the offering machine_type={} zone={} spot={} started={started} requested={}",
            request.machine_type,
            request.zone,
            request.spot,
            request.count
        );
        let offering = MachineOffering {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        };
        let until = now + micros(ctx.config.tuning.refused_pause_s);
        self.autoscaler
            .unavailable_offerings
            .mark_unavailable(offering, until);
        // Plan again at once with other offerings.
        self.autoscaler.next_fleet_check_at = now;
    }

    /// Applies one page of the cloud's list of machines.
    fn apply_listing(&mut self, ctx: &Context, list: MachineList) {
        let now = ctx.now.monotonic;
        let last = list.machines.last().map(|machine| machine.name.clone());
        for listed in list.machines {
            if self.autoscaler.is_removed(&listed.name) {
                continue;
            }
            if listed.state == MachineState::Failed {
                self.remove_machine(ctx, &listed.name, MachineLossReason::ListedAsFailed);
                let name = Rc::from(listed.name);
                let cloud_queue = &mut self.autoscaler.cloud_queue;
                cloud_queue.delete(name, DeletionReason::Failed);
                continue;
            }
            self.apply_listed_machine(listed, now);
        }
        let cloud_queue = &mut self.autoscaler.cloud_queue;
        if list.more && last.is_some() {
            cloud_queue.schedule_listing(now, last);
        } else {
            cloud_queue.schedule_listing(now + LISTING_INTERVAL, None);
        }
    }

    fn apply_listed_machine(&mut self, listed: ListedMachine, now: Micros) {
        let is_booting = listed.state == MachineState::Booting;
        if !self.machines.contains_key(&listed.name) {
            log::info!("cloud lists an unknown machine machine={}", listed.name);
            let (machine_type, zone) = (&listed.machine_type, &listed.zone);
            let (name, spot) = (&listed.name, listed.spot);
            let token = self.unused_token();
            let mut machine = Machine::new(name, machine_type, zone, spot, token, now);
            machine.boot_expected = is_booting;
            self.machines.insert(machine.name.clone(), machine);
        }
        let Some(machine) = self.machines.get_mut(&listed.name) else {
            return;
        };
        if machine.machine_type.is_empty() {
            machine.update_description(&listed.machine_type, &listed.zone, listed.spot);
        }
        if !machine.is_up() && is_booting {
            // The boot time counts across leaders: otherwise a machine that never comes up
            // would be kept for longer after each failover.
            let age = micros(listed.age_s).min(now);
            machine.assume_booting_since(now - age);
        }
        if machine.addr.is_none()
            && let Some(addr) = listed.addr.filter(|addr| !addr.is_empty())
            && listed.state == MachineState::Running
        {
            machine.addr = Some(addr);
            machine.command_state.request();
            let name = machine.name.clone();
            self.command_dispatch.enqueue_background(name);
        }
    }
}
