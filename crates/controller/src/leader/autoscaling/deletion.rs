//! Deletion of machines that are unresponsive, idle or hold cancelled tasks.

use crate::calls::Context;
use crate::leader::Leader;
use crate::leader::boot_estimator::{BootEstimator, boot_time};
use crate::leader::zone_partition::{
    PARTITION_GRACE_LEASES, SpareCapacity, heartbeat_missed_after,
};
use crate::leadership_guard::{CloudAction, DeletionReason};
use crate::machines::{Machine, MachineLossReason};
use crate::sched::SlabIndex;
use crate::sched::resources::ROUNDING_TOLERANCE;
use crate::write_queue::PendingWrite;
use crate::{Config, Micros, SECOND, micros, records, seconds};
use dillcleat_wire::cloud::MachineType;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The minimum age at which an idle machine is deleted: just below the billing unit of one
/// minute, to allow for the duration of the deletion.
const MIN_MACHINE_LIFETIME: Micros = 55 * SECOND;

/// The inputs of a check for unresponsive machines.
struct LivenessCheck<'a> {
    now: Micros,
    config: &'a Config,
    types: &'a [MachineType],
    partitioned_machines: &'a BTreeSet<Rc<str>>,
    /// Whether many machines are unresponsive at once.
    many_unresponsive: bool,
    /// Whether this controller is probably the one that is isolated.
    isolated: bool,
    /// When this leader completed its recovery.
    ready_since: Micros,
}

/// A machine that is to be deleted because it is unresponsive, or because the cloud has
/// reclaimed it.
struct UnresponsiveMachine {
    name: Rc<str>,
    unresponsive_for: Micros,
}

/// The result of a check for unresponsive machines.
#[derive(Default)]
struct UnresponsiveMachines {
    /// The indexes of machines that are to be probed.
    to_probe: Vec<SlabIndex>,
    to_delete: Vec<UnresponsiveMachine>,
}

impl LivenessCheck<'_> {
    /// The maximum unresponsive time of a machine that is up, if few machines are
    /// unresponsive.
    fn base_max_unresponsive_time(&self) -> Micros {
        (self.config.worker_lease * 4 / 10).max(2 * self.config.heartbeat_interval + SECOND)
    }

    /// The unresponsive time after which the machine may be deleted.
    ///
    /// If many machines are unresponsive at once, the cause is probably a partition or a
    /// stall that may end before their leases expire; after that their tasks have ended
    /// anyway. Replicas in a partitioned zone may serve until their lease expires, so their
    /// machines are kept until then. Deleting them sooner cost a third of all replicas the time
    /// that their replacements took to boot.
    fn max_unresponsive_time(&self, machine: &Machine, boot_estimator: &BootEstimator) -> Micros {
        if !machine.is_up() {
            let boot = boot_time(self.types, &machine.machine_type);
            if machine.boot_expected {
                boot_estimator.max_wait(machine, boot)
            } else {
                // The machine is known only from a record or a listing. If it is running,
                // it sends heartbeats already.
                self.base_max_unresponsive_time() + boot
            }
        } else if self.partitioned_machines.contains(&machine.name) && machine.has_replicas() {
            self.config.worker_lease
        } else if self.many_unresponsive {
            self.config.worker_lease + self.config.heartbeat_interval
        } else {
            self.base_max_unresponsive_time()
        }
    }

    /// The time since the last contact with the machine.
    fn unresponsive_for(&self, machine: &Machine) -> Micros {
        let last_contact_at = machine.reachability.last_contact_at();
        self.now.saturating_sub(last_contact_at)
    }

    /// Whether the machine is to be probed. After a lost heartbeat, the reply to a probe
    /// shows sooner than the next heartbeat whether the machine is up.
    fn needs_probe(&self, machine: &Machine, unresponsive_for: Micros) -> bool {
        machine.is_ready()
            && unresponsive_for > heartbeat_missed_after(self.config)
            && !machine.command_state.is_requested()
    }

    /// Whether a machine that exceeds its maximum unresponsive time is to be deleted now.
    ///
    /// Machines in a partitioned zone may become reachable again at any time, so they are
    /// kept while their tasks could not run elsewhere. When 512 such machines were deleted, a
    /// third of a fleet's replicas were missing for the rest of the partition and another
    /// minute. The capacity for the tasks of a machine that is deleted is taken from `spare`.
    fn should_delete(
        &self,
        machine: &Machine,
        unresponsive_for: Micros,
        spare: &mut SpareCapacity,
    ) -> bool {
        let is_kept_for_its_tasks = self.partitioned_machines.contains(&machine.name)
            && self.may_be_temporary(unresponsive_for)
            && !spare.take_for(machine);
        let may_be_reachable = self.isolated && self.may_be_temporary(unresponsive_for);
        self.had_time_for_heartbeat(machine) && !is_kept_for_its_tasks && !may_be_reachable
    }

    /// Whether the unresponsive time is short enough for a partition to count as temporary.
    fn may_be_temporary(&self, unresponsive_for: Micros) -> bool {
        unresponsive_for < self.config.worker_lease * PARTITION_GRACE_LEASES
    }

    /// Whether the machine had time to send a heartbeat to this leader. This protects
    /// machines that only the previous leader found unresponsive.
    fn had_time_for_heartbeat(&self, machine: &Machine) -> bool {
        let missed_after = heartbeat_missed_after(self.config);
        !machine.is_up() || machine.is_ready() || self.now >= self.ready_since + missed_after
    }

    /// Whether the cloud has reclaimed the machine according to its interruption notice.
    fn is_reclaimed(&self, machine: &Machine, unresponsive_for: Micros) -> bool {
        let reclaim_at = machine.interrupted_at().map(|at| at + SECOND);
        reclaim_at.is_some_and(|at| self.now >= at)
            && unresponsive_for > self.config.heartbeat_interval
    }
}

impl Leader {
    /// Queues the deletion of a machine.
    pub(in crate::leader) fn delete_machine(&mut self, name: &Rc<str>, reason: DeletionReason) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.being_deleted = true;
            self.autoscaler.cloud_queue.delete(name.clone(), reason);
        }
    }

    /// Deletes machines that hold tasks of a cancelled job and have not reported their end,
    /// well before the time by which cancelled tasks must have ended.
    pub(in crate::leader) fn delete_machines_with_cancelled_tasks(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let removal_timeout = ctx.config.cancel_time_limit * 3 / 10;
        let permitted = self.is_permitted(ctx, CloudAction::Delete(DeletionReason::Cancelled));
        if now < self.recovery.ready_since() + removal_timeout / 4 || !permitted {
            return;
        }
        let mut overdue: BTreeSet<Rc<str>> = BTreeSet::new();
        for index in self.derived.cancelled_jobs() {
            let Some((id, job)) = self.jobs.at(index) else {
                continue;
            };
            if job.cancelled_at.is_none_or(|at| now < at + removal_timeout) {
                continue;
            }
            for (task, machine) in job.tasks.placed() {
                if self.may_hold_cancelled_task(machine, id, task) {
                    overdue.insert(machine.clone());
                }
            }
        }
        for name in overdue {
            log::info!("deleting machine machine={name} reason=cancelled-task-still-present");
            self.delete_machine(&name, DeletionReason::Cancelled);
        }
    }

    /// Whether the cancelled task may be on the machine, and the machine's deletion is not
    /// already queued with this urgency.
    fn may_hold_cancelled_task(&self, machine: &str, job: &Rc<str>, task: u32) -> bool {
        let Some(machine) = self.machines.get(machine) else {
            return false;
        };
        let cloud_queue = &self.autoscaler.cloud_queue;
        if machine.being_deleted && cloud_queue.is_deleted_for_cancellation(&machine.name) {
            return false;
        }
        let slot = machine.slots.get(&(job.clone(), task));
        slot.is_some_and(|slot| slot.cancelled && slot.stored)
    }

    /// Deletes machines that have become unresponsive or were reclaimed. The cloud's
    /// confirmation proves that their tasks have ended. Machines in `partitioned_machines` are
    /// subject to additional rules.
    pub(super) fn delete_unresponsive_machines(
        &mut self,
        ctx: &Context,
        partitioned_machines: &BTreeSet<Rc<str>>,
    ) {
        let may_delete = self.may_answer_heartbeats(ctx)
            && self.is_permitted(ctx, CloudAction::Delete(DeletionReason::Unresponsive));
        let UnresponsiveMachines {
            to_probe,
            to_delete,
        } = self.find_unresponsive_machines(ctx, partitioned_machines);
        for index in to_probe {
            if let Some(machine) = self.machines.get_mut_unmarked(index) {
                machine.command_state.request_probe();
                self.command_dispatch
                    .enqueue_background(machine.name.clone());
            }
        }
        if !may_delete {
            return;
        }
        for UnresponsiveMachine {
            name,
            unresponsive_for,
        } in to_delete
        {
            let unresponsive_s = seconds(unresponsive_for);
            log::info!(
                "deleting machine machine={name} reason=unresponsive-or-reclaimed unresponsive_s={unresponsive_s}"
            );
            self.delete_machine(&name, DeletionReason::Unresponsive);
        }
    }

    fn find_unresponsive_machines(
        &self,
        ctx: &Context,
        partitioned_machines: &BTreeSet<Rc<str>>,
    ) -> UnresponsiveMachines {
        let types = self.machine_types.shared();
        let check = LivenessCheck {
            now: ctx.now.monotonic,
            config: ctx.config,
            types: types.as_deref().map_or(&[][..], Vec::as_slice),
            partitioned_machines,
            many_unresponsive: self.are_many_unresponsive(),
            isolated: self.is_probably_isolated(ctx.config),
            ready_since: self.recovery.ready_since(),
        };
        let mut spare = self.spare_capacity(partitioned_machines);
        let mut found = UnresponsiveMachines::default();
        let derived = &self.derived;
        let to_check = &(derived.unresponsive_machines() | derived.machines_not_ready())
            | derived.interrupted_machines();
        for index in to_check {
            let Some((_, machine)) = self.machines.at(index) else {
                continue;
            };
            let unresponsive_for = check.unresponsive_for(machine);
            if check.needs_probe(machine, unresponsive_for) {
                found.to_probe.push(index);
            }
            let max_unresponsive_time =
                check.max_unresponsive_time(machine, &self.autoscaler.boot_estimator);
            let is_unresponsive = unresponsive_for >= max_unresponsive_time
                && check.should_delete(machine, unresponsive_for, &mut spare);
            if is_unresponsive || check.is_reclaimed(machine, unresponsive_for) {
                found.to_delete.push(UnresponsiveMachine {
                    name: machine.name.clone(),
                    unresponsive_for,
                });
            }
        }
        found
    }

    /// Whether many machines are unresponsive at once. Machines count as soon as they miss a
    /// heartbeat. Otherwise, each could be deleted before there are many.
    fn are_many_unresponsive(&self) -> bool {
        let up = self.derived.sums().machines_up() as u64;
        self.derived.unresponsive_machines().len() > 2.max(up * 3 / 10)
    }

    /// Deletes empty machines that are idle, cordoned or about to be reclaimed.
    pub(super) fn scale_in(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let max_idle = micros(ctx.config.tuning.idle_s);
        let headroom_cpus = self.proactive_headroom_cpus(ctx.config);
        let mut free_cpus: BTreeMap<Rc<str>, f64> = BTreeMap::new();
        let mut to_delete = Vec::new();
        for name in self.empty_machines_in_deletion_order() {
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            if !machine.is_ready()
                || machine.being_deleted
                || !machine.slots.is_empty()
                || !machine.unplaced_attempts().is_empty()
            {
                continue;
            }
            let is_unusable = machine.health.is_cordoned() || machine.interrupted_at().is_some();
            let is_idle = now.saturating_sub(machine.idle_since()) >= max_idle
                && now >= machine.known_since() + MIN_MACHINE_LIFETIME;
            // Machines that the headroom needs are kept: they would be requested again at
            // once.
            if !is_unusable && is_idle && !machine.spot && headroom_cpus > 0.0 {
                let total = self.type_resources(&machine.machine_type);
                let machine_cpus = total.map_or(0.0, |total| total.cpus);
                let free = free_cpus
                    .entry(machine.zone.clone())
                    .or_insert_with(|| self.derived.capacity.free_on_demand_cpus(&machine.zone));
                if *free - machine_cpus + ROUNDING_TOLERANCE < headroom_cpus {
                    continue;
                }
                *free -= machine_cpus;
            }
            if is_unusable || is_idle {
                to_delete.push(name);
            }
        }
        for name in to_delete {
            log::info!("deleting machine machine={name} reason=idle-or-unusable");
            self.delete_machine(&name, DeletionReason::Unneeded);
        }
    }

    /// The empty machines in the order of deletion: those with the fewest service images
    /// in their cache first.
    fn empty_machines_in_deletion_order(&self) -> Vec<Rc<str>> {
        let empty = self.derived.empty_machines().iter();
        let mut machines: Vec<(u32, Rc<str>)> = empty
            .filter_map(|index| self.machines.at(index))
            .map(|(name, machine)| (self.service_images_on(machine), name.clone()))
            .collect();
        machines.sort();
        machines.into_iter().map(|(_, name)| name).collect()
    }

    /// Removes a machine that was confirmed as deleted or failed, and returns its tasks to
    /// waiting.
    pub(super) fn remove_machine(&mut self, ctx: &Context, name: &str, end: MachineLossReason) {
        self.autoscaler.record_removed(name, ctx.now.monotonic);
        let Some(mut machine) = self.machines.remove(name) else {
            return;
        };
        log::info!("machine removed machine={name} reason={end}");
        for event in machine.take_lost_tasks(end) {
            self.apply_task_event(ctx, name, event);
        }
        if machine.recorded {
            self.writer
                .enqueue(PendingWrite::DeleteKey(records::machine_key(name)));
        }
    }
}
