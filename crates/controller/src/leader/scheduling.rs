//! The periodic work of the leader and the scheduling cycle.

mod views;

pub(super) use self::views::{machine_view, usable_cache_gb};
use super::Leader;
use crate::calls::Context;
use crate::machines::{TaskKey, TaskSlot};
use crate::{Micros, SECOND, SchedulerCounters, micros, sched, seconds};

/// Interval between two fleet checks.
const FLEET_CHECK_INTERVAL: Micros = SECOND;

/// The timing and the counters of the scheduling cycle.
#[derive(Debug)]
pub(super) struct SchedulingState {
    /// The reduction of virtual size by ageing, in CPU-seconds, for a job that has aged since
    /// the beginning of the term.
    virtual_time: f64,
    /// The earliest time of the next preemption for replicas.
    next_preemption_at: Micros,
    /// Whether a service has become ready since the last cycle. The next cycle then runs
    /// without waiting for a tick.
    service_ready: bool,
    /// When a cycle was requested; `Micros::MAX` if none is.
    cycle_requested_at: Micros,
    last_cycle_at: Micros,
    counters: SchedulerCounters,
}

impl SchedulingState {
    pub fn new(now: Micros) -> SchedulingState {
        SchedulingState {
            virtual_time: 0.0,
            next_preemption_at: now,
            service_ready: false,
            cycle_requested_at: now,
            last_cycle_at: now,
            counters: SchedulerCounters::default(),
        }
    }

    /// The virtual time by which jobs age, in CPU-seconds.
    pub fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// Counters of the cycles and scale-out plans.
    pub fn counters(&self) -> SchedulerCounters {
        self.counters
    }

    /// Requests a cycle after a change that may allow tasks to be placed.
    pub fn request_cycle(&mut self, now: Micros) {
        self.cycle_requested_at = now;
    }

    /// Records that a job has become ready to be placed.
    pub fn record_ready_job(&mut self, is_service: bool, now: Micros) {
        self.service_ready |= is_service;
        self.request_cycle(now);
    }

    /// Whether tasks may be preempted for replicas now.
    pub fn may_preempt(&self, now: Micros) -> bool {
        now >= self.next_preemption_at
    }

    /// Disallows preemption before `at`.
    pub fn defer_preemption(&mut self, at: Micros) {
        self.next_preemption_at = at;
    }

    /// Counts the machines and jobs that a scale-out plan has examined.
    pub fn record_plan(&mut self, machines: u64, jobs: u64) {
        self.counters.plan_machines_examined += machines;
        self.counters.plan_jobs_examined += jobs;
    }

    /// Whether a cycle is requested and the last one is at least `min_gap` ago.
    fn is_cycle_due(&self, now: Micros, min_gap: Micros) -> bool {
        now >= self.cycle_requested_at && now >= self.last_cycle_at + min_gap
    }

    fn begin_cycle(&mut self, now: Micros) {
        self.cycle_requested_at = Micros::MAX;
        self.service_ready = false;
        self.last_cycle_at = now;
    }

    /// Advances the virtual time by each ageing job's fair share of the CPU time since the
    /// last cycle.
    fn advance_virtual_time(&mut self, now: Micros, fleet_cpus: f64, ageing_jobs: usize) {
        if ageing_jobs > 0 {
            let passed_s = seconds(now.saturating_sub(self.last_cycle_at));
            self.virtual_time += passed_s * fleet_cpus / ageing_jobs as f64;
        }
    }
}

impl Leader {
    /// Runs the scheduling cycle and the fleet check if they are due, and sends pending
    /// requests.
    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if self.recovery.is_reading() {
            if let Some(page) = self.recovery.page_to_retry(now) {
                self.request_page(ctx, page);
            }
            return;
        }
        self.exclude_outage_from_unresponsive_time(ctx);
        let max_gap = micros(ctx.config.tuning.pass_s);
        if self.is_cycle_due(ctx) || now >= self.scheduling.last_cycle_at + max_gap {
            self.run_scheduling_cycle(ctx);
        }
        if self
            .autoscaler
            .take_due_fleet_check(now, FLEET_CHECK_INTERVAL)
        {
            self.mark_jobs_ranked_by_class_estimate();
            self.refresh_derived_state(ctx);
            self.delete_machines_with_cancelled_tasks(ctx);
            self.check_fleet(ctx);
        }
        self.log_command_summary(now);
        self.send_pending(ctx);
    }

    /// Excludes the time during which heartbeats were not answered from the unresponsive
    /// time of machines. Otherwise, after an outage of the store, all machines would count as
    /// unresponsive and be deleted.
    fn exclude_outage_from_unresponsive_time(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        if !self.may_answer_heartbeats(ctx) {
            self.queue_watch.begin_outage(now);
        } else if let Some(outage) = self.queue_watch.end_outage(now) {
            self.exclude_pause(outage, now);
        }
    }

    fn is_cycle_due(&self, ctx: &Context) -> bool {
        let min_gap = micros(ctx.config.tuning.pass_gap_s);
        self.scheduling.is_cycle_due(ctx.now.monotonic, min_gap)
    }

    /// Sends all requests that are ready. Cycles run in [`Self::tick`], so that they don't
    /// delay the answers to heartbeats, which renew leases; only a cycle for a service that
    /// has become ready runs here.
    pub fn send_pending(&mut self, ctx: &mut Context) {
        if !self.recovery.is_ready() {
            return;
        }
        if self.scheduling.service_ready && self.is_cycle_due(ctx) {
            self.run_scheduling_cycle(ctx);
        }
        self.send_queue_watch(ctx);
        self.request_dependency_states(ctx);
        self.send_due_reads(ctx);
        self.send_writes(ctx);
        self.send_commands(ctx);
        self.send_cloud_request(ctx);
    }

    /// Excludes a time during which this process was paused or could not receive messages
    /// from the unresponsive time of machines.
    pub fn exclude_pause(&mut self, duration: Micros, now: Micros) {
        for machine in self.machines.values_mut() {
            machine.reachability.exclude_pause(duration, now);
        }
    }

    /// The time since which heartbeats of several machines are expected, if any are.
    pub fn expects_heartbeats_since(&self) -> Option<Micros> {
        let recorded_machines = self.derived.sums().recorded_machines();
        (self.recovery.is_ready() && recorded_machines >= 2).then_some(self.recovery.ready_since())
    }

    /// Runs a scheduling cycle: ages jobs, places waiting tasks, and preempts tasks for
    /// replicas that are still waiting.
    pub(super) fn run_scheduling_cycle(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        self.refresh_derived_state(ctx);
        let sums = self.derived.sums();
        self.scheduling
            .advance_virtual_time(now, sums.fleet_cpus(), sums.ageing_jobs());
        self.scheduling.begin_cycle(now);
        if self.has_recent_read(ctx) && self.machine_types.types().is_some() {
            // The virtual time has advanced.
            self.refresh_derived_state(ctx);
            self.place_waiting_tasks(ctx);
            self.preempt_for_replicas(ctx);
        }
    }

    fn place_waiting_tasks(&mut self, ctx: &Context) {
        if self.derived.job_queue.is_empty() {
            return;
        }
        let sums = self.derived.sums();
        let mut teams = sums.team_allowances(ctx.config);
        let max_training_cpus = sums.fleet_cpus() * ctx.config.tuning.training_share;
        let limits = sched::CycleLimits {
            virtual_time: self.scheduling.virtual_time,
            training_cpus: max_training_cpus - sums.training_cpus(),
            service_headroom_cpus: self.service_headroom_cpus(ctx.config),
        };
        // The index is moved out because the cycle changes it while it reads the jobs.
        // Machines that get a task are marked as changed, so that the index is refreshed from
        // them.
        let mut capacity = std::mem::take(&mut self.derived.capacity);
        let view = |job| self.job_view(ctx, job);
        let result = sched::run_cycle(
            &self.derived.job_queue,
            view,
            &mut capacity,
            &mut teams,
            limits,
        );
        self.derived.capacity = capacity;
        self.scheduling.counters.cycles += 1;
        self.scheduling.counters.cycle_jobs_examined += result.jobs_examined as u64;
        for assignment in result.assignments {
            self.apply_assignment(&assignment);
        }
    }

    /// Places waiting tasks of a job on a machine. Their launch commands are sent only after
    /// the placements are stored.
    fn apply_assignment(&mut self, assignment: &sched::Assignment) {
        let types = self.machine_types.shared();
        let job = self.jobs.at(assignment.job);
        let Some((job, machine)) = job.zip(self.machines.at(assignment.machine)) else {
            return;
        };
        let (job_id, machine_name) = (job.0.clone(), machine.0.clone());
        let (Some(job), Some(machine)) = (
            self.jobs.get_mut(&job_id),
            self.machines.get_mut(&machine_name),
        ) else {
            return;
        };
        let mut placed: Vec<TaskKey> = Vec::new();
        for _ in 0..assignment.tasks {
            let incarnation = machine.incarnation();
            let Some((index, attempt)) = job.tasks.place_next(&machine_name, incarnation) else {
                break;
            };
            let mut slot = TaskSlot::new(attempt, incarnation, assignment.job, &job.spec, false);
            slot.uses_service_headroom = assignment.uses_service_headroom;
            let image_held = machine.holds_image(&job.image);
            log::debug!(
                "placing task job={job_id} task={index} machine={machine_name} image={} image_held={image_held}",
                job.image
            );
            let image = (&job.image, job.spec.image_gb);
            let cache_gb = usable_cache_gb(types.as_deref(), &machine.machine_type);
            let key = (job_id.clone(), index);
            machine.add_task(key.clone(), slot, image, cache_gb);
            placed.push(key);
        }
        // A job that gets resources is not starving.
        job.waiting_since = None;
        self.scheduling.counters.placed += placed.len() as u64;
        for key in placed {
            self.enqueue_task_record(&key);
        }
    }
}
