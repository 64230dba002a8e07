//! Capacity for services that must start before any new machine could boot: reserved CPUs,
//! and preemption of array tasks.

use super::Leader;
use super::zone_partition::heartbeat_missed_after;
use crate::calls::Context;
use crate::machines::{Machine, TaskKey};
use crate::sched::job_queue::QueueSection;
use crate::sched::preemption::{PreemptionCandidate, choose_preemptions};
use crate::sched::{JobView, MachineView};
use crate::{Config, MILLISECOND, Micros, seconds};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Minimum time between two searches for tasks to preempt. Each examines all machines that
/// run array tasks, which is expensive.
const PREEMPTION_INTERVAL: Micros = 200 * MILLISECOND;

/// A task that may be preempted, with its machine.
#[derive(Debug, Clone)]
struct PreemptibleTask {
    machine: Rc<str>,
    key: TaskKey,
}

/// The machines on which waiting replicas may run, and the preemptible tasks on them.
#[derive(Default)]
struct PreemptionInputs {
    machines: Vec<MachineView>,
    /// One entry for each element of `tasks`, in the same order.
    candidates: Vec<PreemptionCandidate>,
    tasks: Vec<PreemptibleTask>,
}

impl Leader {
    /// Preempts array tasks on machines where waiting replicas may run.
    ///
    /// On-demand machines are also started for tasks of batch jobs with a deadline. Without
    /// preemption, replicas would have to wait for these tasks when the cloud has no more
    /// on-demand machines.
    pub(super) fn preempt_for_replicas(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        if !self.scheduling.may_preempt(now) {
            return;
        }
        let mut jobs = self.waiting_urgent_services(ctx);
        if jobs.is_empty() {
            return;
        }
        let include_spot = jobs.iter().any(|job| job.spec.spot);
        let mut inputs = self.preemption_inputs(ctx, include_spot);
        let mut teams = self.derived.sums().team_allowances(ctx.config);
        let preempted = choose_preemptions(
            &mut jobs,
            &mut inputs.machines,
            &mut teams,
            &inputs.candidates,
        );
        self.scheduling.defer_preemption(now + PREEMPTION_INTERVAL);
        for candidate in preempted {
            self.preempt(inputs.tasks[candidate].clone());
        }
    }

    /// Services with waiting replicas that must start before any new machine could boot.
    fn waiting_urgent_services(&self, ctx: &Context) -> Vec<JobView<'_>> {
        let virtual_time = self.scheduling.virtual_time();
        let mut waiting = self
            .derived
            .job_queue
            .cursor(QueueSection::Urgent, virtual_time);
        let mut jobs = Vec::new();
        // In the urgent section services precede tiny jobs, so the first job that is not a
        // service ends the search.
        while let Some(queued) = waiting.next_job() {
            waiting.advance(queued.sub_queue);
            match self.job_view(ctx, queued.index) {
                Some(job) if !job.is_service() => break,
                Some(job) if self.must_start_before_boot(ctx.config, &job.spec.class) => {
                    jobs.push(job);
                }
                _ => {}
            }
        }
        jobs
    }

    fn preemption_inputs(&self, ctx: &Context, include_spot: bool) -> PreemptionInputs {
        let now = ctx.now.monotonic;
        let missed_after = heartbeat_missed_after(ctx.config);
        let on_demand = self.derived.on_demand_machines_with_arrays().iter();
        let spot = self.derived.spot_machines_with_arrays().iter();
        let mut inputs = PreemptionInputs::default();
        for index in on_demand.chain(spot.filter(|_| include_spot)) {
            let Some((_, machine)) = self.machines.at(index) else {
                continue;
            };
            let is_usable = machine.accepts_tasks(now)
                && machine
                    .reachability
                    .is_reachable_and_renews_lease(now, missed_after);
            if let Some(view) = self.machine_view(machine).filter(|_| is_usable) {
                self.add_preemptible_tasks(&mut inputs, machine, view, now);
            }
        }
        inputs
    }

    /// Adds a machine and its preemptible tasks. The resources of tasks that are already
    /// being preempted count as free.
    fn add_preemptible_tasks(
        &self,
        inputs: &mut PreemptionInputs,
        machine: &Machine,
        mut view: MachineView,
        now: Micros,
    ) {
        for (key, slot) in machine.slots.iter().filter(|(_, slot)| !slot.service) {
            if slot.preempted {
                view.free.add(&slot.resources);
                continue;
            }
            let Some(job) = self.jobs.get(&key.0) else {
                continue;
            };
            if slot.is_stored_and_reported() {
                inputs.tasks.push(PreemptibleTask {
                    machine: machine.name.clone(),
                    key: key.clone(),
                });
                inputs.candidates.push(PreemptionCandidate {
                    machine: inputs.machines.len(),
                    resources: slot.resources,
                    priority: job.priority,
                    run_time_us: slot.running_for(now),
                });
            }
        }
        inputs.machines.push(view);
    }

    fn preempt(&mut self, task: PreemptibleTask) {
        let PreemptibleTask { machine: name, key } = task;
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        if let Some(slot) = machine.slots.get_mut(&key) {
            log::info!(
                "preempting task job={} task={} machine={name} reason=replicas-wait",
                key.0,
                key.1
            );
            slot.preempted = true;
            machine.command_state.request();
            self.command_dispatch.enqueue_urgent(name);
        }
    }

    /// Whether replicas of the class are expected to start before any new machine could
    /// boot.
    fn must_start_before_boot(&self, config: &Config, class: &str) -> bool {
        let boot_s = self.soonest_boot_s();
        let mut objectives = config.start_objectives.iter();
        objectives.any(|objective| objective.class == class && seconds(objective.within) < boot_s)
    }

    /// The CPUs that are reserved in each zone for services that are expected to start
    /// before any new machine could boot: for each class, the largest reserve of one service.
    pub(super) fn service_headroom_cpus(&self, config: &Config) -> f64 {
        let objectives = config.start_objectives.iter().enumerate();
        objectives
            .filter(|(_, objective)| self.must_start_before_boot(config, &objective.class))
            .map(|(index, _)| self.derived.sums().largest_reserve_cpus(index))
            .sum()
    }

    /// The part of the headroom in each zone for which machines are started in advance. It
    /// is limited to a share of the fleet, to bound its cost: without a limit, a fleet of 48
    /// machines cost a fifth more.
    pub(super) fn proactive_headroom_cpus(&self, config: &Config) -> f64 {
        let types = self.machine_types.iter();
        let zones: BTreeSet<&String> = types.flat_map(|t| &t.zones).collect();
        let share_cpus = config.tuning.spare_share * self.derived.sums().fleet_cpus();
        let limit_cpus = share_cpus / zones.len().max(1) as f64;
        self.service_headroom_cpus(config).min(limit_cpus)
    }
}
