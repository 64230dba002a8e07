//! Deletion of machines: silent ones, idle ones, and those that hold cancelled tasks.

use crate::calls::Context;
use crate::leader::Leader;
use crate::leader::boot_estimator::{BootEstimator, boot_time};
use crate::leader::scheduling::CPU_ROUNDING_ERROR;
use crate::leader::zone_partition::{
    PARTITION_GRACE_LEASES, SpareCapacity, heartbeat_missed_after,
};
use crate::leadership_guard::{CloudAction, DeletionReason};
use crate::machines::{Machine, MachineEnd};
use crate::sched::SlabIndex;
use crate::write_queue::PendingWrite;
use crate::{Config, Micros, SECOND, micros, records, seconds};
use dillcleat_wire::cloud::MachineType;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A machine is paid for by the minute, so it may as well be kept for one; the rest is for
/// the deletion.
const MIN_MACHINE_LIFETIME: Micros = 55 * SECOND;

/// What one check for silent machines goes by.
struct SilenceCheck<'a> {
    now: Micros,
    config: &'a Config,
    types: &'a [MachineType],
    partitioned: &'a BTreeSet<Rc<str>>,
    /// Many machines are silent at once.
    many_silent: bool,
    /// It is rather this node that is isolated.
    isolated: bool,
    /// When this term's leader had read the store.
    ready_since: Micros,
}

/// A machine that has been silent for too long, and for how long.
struct SilentMachine {
    name: Rc<str>,
    silence: Micros,
}

/// What a check for silent machines has found.
#[derive(Default)]
struct SilentMachines {
    /// The indexes of machines that are to be asked if they are there.
    to_probe: Vec<SlabIndex>,
    to_delete: Vec<SilentMachine>,
}

impl SilenceCheck<'_> {
    /// The silence after which a machine that was up is deleted.
    fn base_max_silence(&self) -> Micros {
        (self.config.worker_lease * 4 / 10).max(2 * self.config.heartbeat_interval + SECOND)
    }

    /// For how long this machine may be silent.
    ///
    /// Many that are silent at once look like a partition or a stall that may heal before
    /// leases expire; after that what was on them is gone in any case. Replicas behind a
    /// partition serve until their lease ends. To delete them sooner once cost a third of
    /// all replicas the time that others took to boot (rough, brunnmatt-books-grown).
    fn max_silence(&self, machine: &Machine, boot_estimator: &BootEstimator) -> Micros {
        if !machine.is_up() {
            let boot = boot_time(self.types, &machine.machine_type);
            if machine.expected {
                boot_estimator.max_wait(machine, boot)
            } else {
                // Known by a record or a listing only: it should send a heartbeat right
                // away.
                self.base_max_silence() + boot
            }
        } else if self.partitioned.contains(&machine.name) && machine.has_replicas() {
            self.config.worker_lease
        } else if self.many_silent {
            self.config.worker_lease + self.config.heartbeat_interval
        } else {
            self.base_max_silence()
        }
    }

    /// For how long nothing was heard of the machine.
    fn silence(&self, machine: &Machine) -> Micros {
        let last_heard_at = machine.reachability.last_heard_at();
        self.now.saturating_sub(last_heard_at)
    }

    /// Whether the machine is to be asked if it is there. One heartbeat that got lost costs a
    /// worker up to 5 s; whether the machine is there shows sooner when it is asked.
    fn needs_probe(&self, machine: &Machine, silence: Micros) -> bool {
        machine.is_ready()
            && silence > heartbeat_missed_after(self.config)
            && !machine.command_state.is_requested()
    }

    /// Whether a machine that has been silent for too long is to be deleted now.
    ///
    /// Machines in a partitioned zone may come back any time, and their capacity with them.
    /// To delete 512 machines whose work could not run elsewhere cost a third of all portals
    /// the rest of a partition and a minute besides (zone, rosterwise-nz-fleet). What the
    /// work of this machine could have elsewhere is taken from `spare`.
    fn should_delete(&self, machine: &Machine, silence: Micros, spare: &mut SpareCapacity) -> bool {
        let is_kept_for_its_tasks = self.partitioned.contains(&machine.name)
            && self.may_heal(silence)
            && !spare.take_for(machine);
        let may_be_reachable = self.isolated && self.may_heal(silence);
        self.had_time_to_report(machine) && !is_kept_for_its_tasks && !may_be_reachable
    }

    /// Whether the silence is so short that a partition may still heal.
    fn may_heal(&self, silence: Micros) -> bool {
        silence < self.config.worker_lease * PARTITION_GRACE_LEASES
    }

    /// Whether the machine had time to send this leader a heartbeat. One that only the
    /// leader before found silent gets that first.
    fn had_time_to_report(&self, machine: &Machine) -> bool {
        let missed_after = heartbeat_missed_after(self.config);
        !machine.is_up() || machine.is_ready() || self.now >= self.ready_since + missed_after
    }

    /// Whether the cloud has taken the machine back by its own notice.
    fn is_reclaimed(&self, machine: &Machine, silence: Micros) -> bool {
        let reclaim_at = machine.interrupted_at().map(|at| at + SECOND);
        reclaim_at.is_some_and(|at| self.now >= at) && silence > self.config.heartbeat_interval
    }
}

impl Leader {
    /// Has a machine deleted.
    pub(in crate::leader) fn delete_machine(&mut self, name: &Rc<str>, reason: DeletionReason) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.being_deleted = true;
            self.autoscaler.cloud_queue.delete(name.clone(), reason);
        }
    }

    /// Deletes machines that hold a cancelled job's tasks and do not show their end, well
    /// before the time by which cancelled tasks must have ended.
    pub(in crate::leader) fn delete_machines_with_cancelled_tasks(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        let removal_timeout = ctx.config.cancel_deadline * 3 / 10;
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
            for (task, machine) in job.on_machines() {
                if self.may_hold_cancelled_task(machine, id, task) {
                    overdue.insert(machine.clone());
                }
            }
        }
        for name in overdue {
            log::info!("deleting machine machine={name} reason=cancelled-task-not-seen-gone");
            self.delete_machine(&name, DeletionReason::Cancelled);
        }
    }

    /// Whether a cancelled task may be on the machine, which is not yet to be deleted for
    /// such a reason.
    fn may_hold_cancelled_task(&self, machine: &str, job: &Rc<str>, task: u32) -> bool {
        let Some(machine) = self.machines.get(machine) else {
            return false;
        };
        let cloud_queue = &self.autoscaler.cloud_queue;
        if machine.being_deleted && cloud_queue.is_deletion_urgent(&machine.name) {
            return false;
        }
        let slot = machine.slots.get(&(job.clone(), task));
        slot.is_some_and(|slot| slot.cancelled && slot.stored)
    }

    /// Deletes machines that fell silent: the cloud's answer is the proof that what was on
    /// them is gone. Those of `partitioned` zones have rules of their own.
    pub(super) fn delete_silent_machines(
        &mut self,
        ctx: &Context,
        partitioned: &BTreeSet<Rc<str>>,
    ) {
        let may_delete = self.may_answer_heartbeats(ctx)
            && self.is_permitted(ctx, CloudAction::Delete(DeletionReason::Silent));
        let SilentMachines {
            to_probe,
            to_delete,
        } = self.find_silent_machines(ctx, partitioned);
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
        for SilentMachine { name, silence } in to_delete {
            let silent_s = seconds(silence);
            log::info!("deleting machine machine={name} reason=silent silent_s={silent_s}");
            self.delete_machine(&name, DeletionReason::Silent);
        }
    }

    fn find_silent_machines(
        &self,
        ctx: &Context,
        partitioned: &BTreeSet<Rc<str>>,
    ) -> SilentMachines {
        let types = self.machine_types.shared();
        let check = SilenceCheck {
            now: ctx.now.monotonic,
            config: ctx.config,
            types: types.as_deref().map_or(&[][..], Vec::as_slice),
            partitioned,
            many_silent: self.are_many_silent(),
            isolated: self.is_probably_isolated(ctx.config),
            ready_since: self.recovery.ready_since(),
        };
        let mut spare = self.spare_capacity(partitioned);
        let mut found = SilentMachines::default();
        let derived = &self.derived;
        let suspects = &(derived.silent_machines() | derived.booting_machines())
            | derived.interrupted_machines();
        for index in suspects {
            let Some((_, machine)) = self.machines.at(index) else {
                continue;
            };
            let silence = check.silence(machine);
            if check.needs_probe(machine, silence) {
                found.to_probe.push(index);
            }
            let max_silence = check.max_silence(machine, &self.autoscaler.boot_estimator);
            let is_silent =
                silence >= max_silence && check.should_delete(machine, silence, &mut spare);
            if is_silent || check.is_reclaimed(machine, silence) {
                let name = machine.name.clone();
                found.to_delete.push(SilentMachine { name, silence });
            }
        }
        found
    }

    /// Whether many machines are silent at once. They are counted as soon as they miss a
    /// heartbeat: one by one they would be deleted before they are many.
    fn are_many_silent(&self) -> bool {
        let up = self.derived.sums().machines_up() as u64;
        self.derived.silent_machines().len() > 2.max(up * 3 / 10)
    }

    /// Deletes machines that are idle, or that are not to be used any more and are empty.
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
                || !machine.unexpected_tasks().is_empty()
            {
                continue;
            }
            let is_retired = machine.health.is_cordoned() || machine.interrupted_at().is_some();
            let is_idle = now.saturating_sub(machine.empty_since()) >= max_idle
                && now >= machine.known_since() + MIN_MACHINE_LIFETIME;
            // What the headroom needs is kept: it would be asked for again at once.
            if !is_retired && is_idle && !machine.spot && headroom_cpus > 0.0 {
                let total = self.type_resources(&machine.machine_type);
                let machine_cpus = total.map_or(0.0, |total| total.cpus);
                let free = free_cpus
                    .entry(machine.zone.clone())
                    .or_insert_with(|| self.derived.capacity.free_on_demand_cpus(&machine.zone));
                if *free - machine_cpus + CPU_ROUNDING_ERROR < headroom_cpus {
                    continue;
                }
                *free -= machine_cpus;
            }
            if is_retired || is_idle {
                to_delete.push(name);
            }
        }
        for name in to_delete {
            log::info!("deleting machine machine={name} reason=idle");
            self.delete_machine(&name, DeletionReason::Returned);
        }
    }

    /// Machines with nothing on them; those that hold the fewest images of services first.
    fn empty_machines_in_deletion_order(&self) -> Vec<Rc<str>> {
        let empty = self.derived.empty_machines().iter();
        let mut machines: Vec<(u32, Rc<str>)> = empty
            .filter_map(|index| self.machines.at(index))
            .map(|(name, machine)| (self.service_images_on(machine), name.clone()))
            .collect();
        machines.sort();
        machines.into_iter().map(|(_, name)| name).collect()
    }

    /// Forgets a machine that is certainly gone, and frees what was on it.
    pub(super) fn remove_machine(&mut self, ctx: &Context, name: &str, end: MachineEnd) {
        self.autoscaler.record_removed(name, ctx.now.monotonic);
        let Some(mut machine) = self.machines.remove(name) else {
            return;
        };
        log::info!("machine is gone machine={name} reason={end}");
        for event in machine.take_lost_tasks(end) {
            self.apply_task_event(ctx, name, event);
        }
        if machine.recorded {
            self.writer
                .enqueue(PendingWrite::DeleteKey(records::machine_key(name)));
        }
    }
}
