//! Preemption: selects running tasks to stop so that replicas which must start soon can be placed.

use crate::resources::Resources;
use crate::views::{JobView, MachineView, TeamAllowance};
use dillcleat_wire::user::Priority;

/// A running task that may be preempted.
#[derive(Debug, Clone)]
pub struct PreemptionCandidate {
    /// Index of its machine in the list of machines.
    pub machine: usize,
    /// Resources that are released when it stops.
    pub resources: Resources,
    /// The priority of its job.
    pub priority: Priority,
    /// How long it has run, in microseconds, as a measure of the work that would be lost.
    pub run_time_us: u64,
}

/// The cost of placing a replica on a machine. Fields are compared in order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    preempts_tasks: bool,
    image_missing: bool,
    lost_run_time_us: u64,
}

/// A machine for one more replica, with the tasks that would be preempted there.
struct PreemptionChoice {
    cost: PreemptionCost,
    /// Index of the machine in the list of machines.
    machine: usize,
    /// Indexes into the list of candidates.
    victims: Vec<usize>,
}

/// The state of one call of [`choose_preemptions`].
struct PreemptionPlanner<'a> {
    machines: &'a mut [MachineView],
    candidates: &'a [PreemptionCandidate],
    /// For each machine, the indexes of its candidates that are not yet preempted, the shortest
    /// run time first.
    candidates_by_machine: Vec<Vec<usize>>,
}

impl<'a> PreemptionPlanner<'a> {
    fn new(
        machines: &'a mut [MachineView],
        candidates: &'a [PreemptionCandidate],
    ) -> PreemptionPlanner<'a> {
        let mut candidates_by_machine: Vec<Vec<usize>> = vec![Vec::new(); machines.len()];
        for (index, candidate) in candidates.iter().enumerate() {
            candidates_by_machine[candidate.machine].push(index);
        }
        for on_machine in &mut candidates_by_machine {
            on_machine.sort_by_key(|&index| candidates[index].run_time_us);
        }
        PreemptionPlanner {
            machines,
            candidates,
            candidates_by_machine,
        }
    }

    /// The tasks to stop so that one more task of the job fits on the machine, with the cost;
    /// `None` if it would not fit even if all preemptible tasks were stopped.
    fn choice_on(&self, job: &JobView, machine: usize) -> Option<PreemptionChoice> {
        let need = job.resources();
        let view = &self.machines[machine];
        let mut free = view.free;
        let mut victims = Vec::new();
        let mut lost_run_time_us = 0;
        for &index in &self.candidates_by_machine[machine] {
            if free.covers(&need) {
                break;
            }
            let candidate = &self.candidates[index];
            if candidate.priority < job.spec.priority {
                free.add(&candidate.resources);
                lost_run_time_us += candidate.run_time_us;
                victims.push(index);
            }
        }
        let cost = PreemptionCost {
            preempts_tasks: !victims.is_empty(),
            image_missing: !view.holds_image(&job.spec.image),
            lost_run_time_us,
        };
        free.covers(&need).then_some(PreemptionChoice {
            cost,
            machine,
            victims,
        })
    }

    /// The cheapest way to place one more task of the job. Ties are broken by the lower machine
    /// index.
    fn cheapest_choice(&self, job: &JobView) -> Option<PreemptionChoice> {
        (0..self.machines.len())
            .filter(|&machine| job.may_use(&self.machines[machine]))
            .filter_map(|machine| self.choice_on(job, machine))
            .reduce(|best, choice| {
                if choice.cost < best.cost {
                    choice
                } else {
                    best
                }
            })
    }

    /// Releases the resources of the victims and removes them from the candidates.
    fn release_victims(&mut self, choice: &PreemptionChoice) {
        for victim in &choice.victims {
            let machine = &mut self.machines[choice.machine];
            machine.free.add(&self.candidates[*victim].resources);
            self.candidates_by_machine[choice.machine].retain(|other| other != victim);
        }
    }
}

/// Chooses the running tasks to preempt so that waiting replicas can be placed. Returns their
/// indexes in `candidates`.
///
/// `jobs` are services in the order in which they compete. Each replica is placed on the machine
/// with the lowest cost: without preemption if possible, then where its image is present, then
/// where the least work is lost. Only tasks of lower priority are preempted. The free
/// resources of `machines` must include those of tasks that are already stopping; otherwise one
/// replica could preempt a second task while the first one is still ending.
pub fn choose_preemptions(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    teams: &mut [TeamAllowance],
    candidates: &[PreemptionCandidate],
) -> Vec<usize> {
    let mut planner = PreemptionPlanner::new(machines, candidates);
    let mut preempted = Vec::new();
    for job in jobs {
        while job.waiting_tasks > 0 && job.team_allows(teams) {
            let Some(choice) = planner.cheapest_choice(job) else {
                break;
            };
            planner.release_victims(&choice);
            job.assign_next_task(&mut planner.machines[choice.machine], teams);
            preempted.extend(choice.victims);
        }
    }
    preempted
}
