//! Autoscaling: periodic fleet checks that scale the fleet out and in.

mod cloud_replies;
mod deletion;
mod planning;

use super::{BootEstimator, Leader};
use crate::calls::Context;
use crate::cloud_queue::CloudQueue;
use crate::leadership_guard::{CloudAction, DeletionReason};
use crate::sched::scale_out_plan::UnavailableOfferings;
use crate::{Config, Micros, SECOND};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// The initial number of waiting jobs that a scale-out plan examines.
const INITIAL_PLAN_DEPTH: usize = 1000;
/// Delay of the first scale-out after recovery, while machines still send their first
/// heartbeats.
const SCALE_OUT_DELAY: Micros = 2 * SECOND;
/// How long the name of a removed machine is retained, in addition to the possible lag of
/// the cloud's machine list.
const REMOVED_MACHINE_RETENTION: Micros = 120 * SECOND;

/// The state of autoscaling: requests to the cloud and what is known from its replies.
#[derive(Debug)]
pub(super) struct Autoscaler {
    pub cloud_queue: CloudQueue,
    pub boot_estimator: BootEstimator,
    unavailable_offerings: UnavailableOfferings,
    /// The number of waiting jobs that the next scale-out plan examines.
    plan_depth: usize,
    next_fleet_check_at: Micros,
    /// Machines that were confirmed as deleted or failed, with the time of their removal.
    removed_machines: HashMap<String, Micros>,
}

impl Autoscaler {
    pub fn new(config: &Config, now: Micros) -> Autoscaler {
        Autoscaler {
            cloud_queue: CloudQueue::new(config.cloud_rps, now),
            boot_estimator: BootEstimator::default(),
            unavailable_offerings: UnavailableOfferings::default(),
            plan_depth: INITIAL_PLAN_DEPTH,
            next_fleet_check_at: now,
            removed_machines: HashMap::new(),
        }
    }

    /// Whether the machine was confirmed as deleted or failed. Messages from it that still
    /// arrive were delayed in the network.
    pub fn is_removed(&self, machine: &str) -> bool {
        self.removed_machines.contains_key(machine)
    }

    /// Whether a fleet check is due. If so, schedules the next one after `interval`.
    pub fn take_due_fleet_check(&mut self, now: Micros, interval: Micros) -> bool {
        let due = now >= self.next_fleet_check_at;
        if due {
            self.next_fleet_check_at = now + interval;
        }
        due
    }

    /// Sets the depth of the next plan. The depth grows while plans request no machines, so
    /// that jobs are reached that queue behind many jobs without need for machines.
    fn update_plan_depth(&mut self, jobs_examined: usize, scales_out: bool) {
        self.plan_depth = if !scales_out && jobs_examined == self.plan_depth {
            self.plan_depth * 2
        } else {
            INITIAL_PLAN_DEPTH
        };
    }

    fn record_removed(&mut self, machine: &str, now: Micros) {
        self.removed_machines.insert(machine.to_string(), now);
    }

    fn forget_removed_before(&mut self, time: Micros) {
        self.removed_machines.retain(|_, at| *at > time);
    }
}

impl Leader {
    /// Deletes machines that are unresponsive or idle, and scales out for waiting work.
    pub(super) fn check_fleet(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let partitioned = self.partitioned_machines();
        self.delete_unresponsive_machines(ctx, &partitioned);
        if self.is_permitted(ctx, CloudAction::Delete(DeletionReason::Unneeded)) {
            self.scale_in(ctx);
        }
        let retention = 4 * ctx.config.cloud_list_lag + REMOVED_MACHINE_RETENTION;
        self.autoscaler
            .forget_removed_before(now.saturating_sub(retention));
        let Some(types) = self.machine_types.shared() else {
            return;
        };
        if now < self.recovery.ready_since() + SCALE_OUT_DELAY
            || !self.has_recent_read(ctx)
            || !self.is_permitted(ctx, CloudAction::ScaleOut)
        {
            return;
        }
        self.record_partitioned_zones(&partitioned, now);
        // Pending requests are completed first, because a refusal changes the plan.
        if !self.autoscaler.cloud_queue.has_scale_outs() {
            self.scale_out(ctx, &types, &partitioned);
        }
    }

    fn record_partitioned_zones(&mut self, partitioned: &BTreeSet<Rc<str>>, now: Micros) {
        for name in partitioned {
            if let Some(machine) = self.machines.get(name)
                && self.partitions.record_partitioned(&machine.zone, now)
            {
                log::info!("zone is partitioned zone={}", machine.zone);
            }
        }
        self.partitions.forget_expired(now);
    }

    /// Whether this controller may request this action from the cloud now.
    pub(super) fn is_permitted(&self, ctx: &Context, action: CloudAction) -> bool {
        let now = ctx.now.monotonic;
        let permit = self.leadership_proof.permit(ctx.config, now, action);
        permit.is_some()
    }
}
