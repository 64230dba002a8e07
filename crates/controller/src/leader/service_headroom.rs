//! Room for services that must start sooner than any machine boots.

use super::*;

/// Shortest time between two looks at what replicas could take: each goes over
/// all machines that run arrays beside services.
const ROOM_GAP: Micros = 200 * MILLISECOND;

impl Leader {
    /// Whether replicas of the class are to start sooner than any machine
    /// boots.
    fn hurried(&self, config: &Config, class: &str) -> bool {
        let boot = self.soonest_boot();
        let mut objectives = config.start_objectives.iter();
        objectives.any(|o| o.class == class && seconds(o.within) < boot)
    }

    /// Stops arrays' tasks on machines where waiting replicas may run.
    ///
    /// Running work is not stopped otherwise. But ordinary machines are rented
    /// for late arrays as well, and with the cloud's ordinary machines at an
    /// end, replicas waited behind them (rough, brunnmatt-books-grown).
    pub(super) fn make_room(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic;
        if now < self.scheduling.next_preemption_at {
            return;
        }
        let mut waiting = self.derived.job_queue.cursor(
            sched::job_queue::QueueSection::First,
            self.scheduling.virtual_time,
        );
        let mut jobs: Vec<JobView> = Vec::new();
        // Services stand before tiny jobs.
        while let Some(turn) = waiting.next_job() {
            waiting.advance(turn.lane);
            match self.job_view(ctx, turn.index) {
                Some(job) if !job.is_service() => break,
                Some(job) if self.hurried(ctx.config, &job.spec.class) => jobs.push(job),
                _ => {}
            }
        }
        if jobs.is_empty() {
            return;
        }
        let spot = jobs.iter().any(|j| j.spec.spot);
        let missing = Self::missing(ctx.config);
        let mut machines = Vec::new();
        let mut victims = Vec::new();
        let mut keys: Vec<(Rc<str>, TaskKey)> = Vec::new();
        let [ordinary, cheap] = &self.derived.lending;
        let lending = ordinary.iter().chain(cheap.iter().filter(|_| spot));
        for m in lending.filter_map(|place| Some(self.machines.at(place)?.1)) {
            let there = m.accepts_tasks(now) && m.is_reachable_both_ways(now, missing);
            let Some(mut view) = self.view(m).filter(|_| there) else {
                continue;
            };
            for (key, slot) in m.slots.iter().filter(|(_, s)| !s.service) {
                if slot.preempted {
                    view.free.add(&slot.resources);
                    continue;
                }
                let Some(job) = self.jobs.get(&key.0) else {
                    continue;
                };
                if slot.stored && slot.seen.is_some() {
                    keys.push((m.name.clone(), key.clone()));
                    victims.push(PreemptionCandidate {
                        machine: machines.len(),
                        resources: slot.resources,
                        priority: job.priority,
                        run_time: slot.running_since.map_or(0, |at| now.saturating_sub(at)),
                    });
                }
            }
            machines.push(view);
        }
        let mut teams = self.derived.sums.team_views(ctx.config);
        let stopped = choose_preemptions(&mut jobs, &mut machines, &mut teams, &victims);
        self.scheduling.next_preemption_at = now + ROOM_GAP;
        for (machine, key) in stopped.into_iter().map(|v| keys[v].clone()) {
            let Some(m) = self.machines.get_mut(&machine) else {
                continue;
            };
            if let Some(slot) = m.slots.get_mut(&key) {
                log::info!("{}/{} on {machine} makes room for replicas", key.0, key.1);
                slot.preempted = true;
                m.needs_command = true;
                self.command_dispatch.urgent(machine);
            }
        }
    }

    /// The part of the reserve that is rented before anything needs it: a
    /// small share of the fleet. Unbounded it once cost a fleet of 48 machines a
    /// fifth more (rosterwise-nz).
    pub(super) fn ahead(&self, config: &Config) -> f64 {
        let types = self.machine_types.types.iter().flat_map(|ts| ts.iter());
        let zones: BTreeSet<&String> = types.flat_map(|t| &t.zones).collect();
        let share = config.tuning.spare_share * self.derived.sums.fleet_cpus();
        self.reserve(config).min(share / zones.len().max(1) as f64)
    }

    /// Room for some replicas of each class of services that is expected to
    /// start sooner than any machine boots.
    pub(super) fn reserve(&self, config: &Config) -> f64 {
        let objectives = config.start_objectives.iter().enumerate();
        objectives
            .filter(|(_, objective)| self.hurried(config, &objective.class))
            .map(|(wait, _)| self.derived.sums.reserve(wait))
            .sum()
    }
}
