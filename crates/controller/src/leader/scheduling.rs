//! What the leader does as time passes, and the scheduling cycle.

mod views;

pub(super) use self::views::{CPU_ROUNDING_ERROR, machine_view, usable_cache_gb};
use super::Leader;
use crate::calls::Context;
use crate::machines::{TaskKey, TaskSlot};
use crate::{Micros, SECOND, SchedulerCounters, micros, sched, seconds};

/// Time between two checks of the fleet.
const FLEET_CHECK_INTERVAL: Micros = SECOND;

/// When the scheduling cycle runs, and what it has done.
#[derive(Debug)]
pub(super) struct SchedulingState {
    /// What ageing has taken off the size of any job that was active all the time, in
    /// CPU-seconds.
    virtual_time: f64,
    /// When tasks may be preempted for replicas again.
    next_preemption_at: Micros,
    /// Whether a service was submitted since the last cycle: its users do not wait for a
    /// tick.
    service_submitted: bool,
    /// From when on a change wants a cycle; the end of time if nothing has changed.
    cycle_requested_at: Micros,
    last_cycle_at: Micros,
    counts: SchedulerCounters,
}

impl SchedulingState {
    pub fn new(now: Micros) -> SchedulingState {
        SchedulingState {
            virtual_time: 0.0,
            next_preemption_at: now,
            service_submitted: false,
            cycle_requested_at: now,
            last_cycle_at: now,
            counts: SchedulerCounters::default(),
        }
    }

    /// What ageing has taken off, in CPU-seconds.
    pub fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// What the cycles and scale-out plans have done.
    pub fn counts(&self) -> SchedulerCounters {
        self.counts
    }

    /// Something has changed that may let tasks be placed.
    pub fn request_cycle(&mut self, now: Micros) {
        self.cycle_requested_at = now;
    }

    /// A job has become ready to be placed.
    pub fn record_ready_job(&mut self, is_service: bool, now: Micros) {
        self.service_submitted |= is_service;
        self.request_cycle(now);
    }

    /// Whether tasks may be preempted for replicas now.
    pub fn may_preempt(&self, now: Micros) -> bool {
        now >= self.next_preemption_at
    }

    /// Preempts nothing before `at`.
    pub fn defer_preemption(&mut self, at: Micros) {
        self.next_preemption_at = at;
    }

    /// A scale-out plan has looked at so many machines and jobs.
    pub fn record_plan(&mut self, machines: u64, jobs: u64) {
        self.counts.machines += machines;
        self.counts.planned += jobs;
    }

    /// Whether a change wants a cycle and the last one is at least `min_gap` ago.
    fn is_cycle_due(&self, now: Micros, min_gap: Micros) -> bool {
        now >= self.cycle_requested_at && now >= self.last_cycle_at + min_gap
    }

    fn begin_cycle(&mut self, now: Micros) {
        self.cycle_requested_at = Micros::MAX;
        self.service_submitted = false;
        self.last_cycle_at = now;
    }

    /// Takes from every active job's virtual size its fair share of the CPU time since the
    /// last cycle.
    fn advance_virtual_time(&mut self, now: Micros, fleet_cpus: f64, ageing_jobs: usize) {
        if ageing_jobs > 0 {
            let passed_s = seconds(now.saturating_sub(self.last_cycle_at));
            self.virtual_time += passed_s * fleet_cpus / ageing_jobs as f64;
        }
    }
}

impl Leader {
    /// Does what is due by time alone.
    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if self.recovery.is_reading() {
            if let Some(page) = self.recovery.page_to_retry(now) {
                self.request_page(ctx, page);
            }
            return;
        }
        self.exclude_outage_from_silence(ctx);
        let max_gap = micros(ctx.config.tuning.pass_s);
        if self.is_cycle_due(ctx) || now >= self.scheduling.last_cycle_at + max_gap {
            self.run_scheduling_cycle(ctx);
        }
        if self
            .autoscaler
            .take_due_fleet_check(now, FLEET_CHECK_INTERVAL)
        {
            self.mark_estimated_jobs();
            self.refresh_derived_state(ctx);
            self.delete_machines_with_cancelled_tasks(ctx);
            self.check_fleet(ctx);
        }
        self.send_pending(ctx);
    }

    /// Machines that were refused an answer were not silent. After an outage of a minute
    /// every machine once looked as if it were, and all were deleted before they could
    /// send another heartbeat.
    fn exclude_outage_from_silence(&mut self, ctx: &Context) {
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

    /// Sends what is ready to be sent. Scheduling cycles wait for the tick, except for one
    /// that the submission of a service wants: a heartbeat is answered, and with it a lease
    /// renewed, without a cycle in between.
    pub fn send_pending(&mut self, ctx: &mut Context) {
        if !self.recovery.is_ready() {
            return;
        }
        if self.scheduling.service_submitted && self.is_cycle_due(ctx) {
            self.run_scheduling_cycle(ctx);
        }
        self.send_queue_watch(ctx);
        self.request_dependency_states(ctx);
        self.send_due_rereads(ctx);
        self.send_writes(ctx);
        self.send_commands(ctx);
        self.send_cloud_request(ctx);
    }

    /// This process was not running for a while, or could not hear anybody: that nothing
    /// was heard then says nothing about the machines.
    pub fn exclude_pause(&mut self, duration: Micros, now: Micros) {
        for machine in self.machines.values_mut() {
            machine.reachability.exclude_pause(duration, now);
        }
    }

    /// Since when heartbeats of several machines should have come in.
    pub fn expects_heartbeats_since(&self) -> Option<Micros> {
        let recorded_machines = self.derived.sums().recorded_machines();
        (self.recovery.is_ready() && recorded_machines >= 2).then_some(self.recovery.ready_since())
    }

    /// One scheduling cycle: lets jobs age, places waiting tasks, then preempts tasks for
    /// replicas that still wait.
    pub(super) fn run_scheduling_cycle(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        self.refresh_derived_state(ctx);
        let sums = self.derived.sums();
        self.scheduling
            .advance_virtual_time(now, sums.fleet_cpus(), sums.ageing_jobs());
        self.scheduling.begin_cycle(now);
        if self.has_recent_read(ctx) && self.machine_types.types().is_some() {
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
        // Taken out while the jobs are looked at. Machines that get a task are marked, and
        // with that the index agrees with the machines again.
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
        self.scheduling.counts.passes += 1;
        self.scheduling.counts.jobs += result.jobs_examined as u64;
        for assignment in result.assignments {
            self.apply_assignment(&assignment);
        }
    }

    /// Places waiting tasks of a job on a machine. Nothing is sent to the machine before
    /// the placement is stored.
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
            let Some((index, attempt)) = job.place_next(&machine_name, incarnation) else {
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
        // A job that gets resources does not starve.
        job.waiting_since = None;
        self.scheduling.counts.placed += placed.len() as u64;
        for key in placed {
            self.enqueue_task_record(&key);
        }
    }
}
