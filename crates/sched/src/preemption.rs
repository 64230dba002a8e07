//! Preemption: which running tasks to stop for replicas that must start soon.

use crate::resources::Resources;
use crate::views::{JobView, MachineView, TeamAllowance};
use dillcleat_wire::user::Priority;

/// A running task that may be preempted.
#[derive(Debug, Clone)]
pub struct PreemptionCandidate {
    /// Position of its machine in the list of machines.
    pub machine: usize,
    /// What stopping it sets free.
    pub resources: Resources,
    /// The priority of its job.
    pub priority: Priority,
    /// How long it has run, in microseconds: the work that is lost.
    pub run_time_us: u64,
}

/// What it costs to place a replica on a machine, compared field by field.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    preempts_tasks: bool,
    image_missing: bool,
    lost_run_time_us: u64,
}

/// A way to place one more replica.
struct PreemptionChoice {
    cost: PreemptionCost,
    /// Position of the machine in the list of machines.
    machine: usize,
    /// Positions in the list of candidates.
    victims: Vec<usize>,
}

/// The state of one choice of preemptions.
struct PreemptionPlanner<'a> {
    machines: &'a mut [MachineView],
    candidates: &'a [PreemptionCandidate],
    /// Positions of the candidates on each machine that are left, the shortest run time first.
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

    /// The tasks to stop so that the machine takes one more task of the job, with the cost;
    /// None if stopping all that may be stopped is not enough.
    fn choice_on(&self, job: &JobView, machine: usize) -> Option<PreemptionChoice> {
        let need = job.resources();
        let view = &self.machines[machine];
        let mut free = view.free;
        let mut victims = Vec::new();
        let mut lost_run_time_us = 0;
        for &index in &self.candidates_by_machine[machine] {
            if free.fits(&need) {
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
        free.fits(&need).then_some(PreemptionChoice {
            cost,
            machine,
            victims,
        })
    }

    /// The cheapest way to place one more task of the job; of equals the first machine's.
    fn cheapest_choice(&self, job: &JobView) -> Option<PreemptionChoice> {
        (0..self.machines.len())
            .filter(|&machine| job.allows(&self.machines[machine]))
            .filter_map(|machine| self.choice_on(job, machine))
            .reduce(|best, choice| {
                if choice.cost < best.cost {
                    choice
                } else {
                    best
                }
            })
    }

    /// Frees what the victims on the machine use; none of them is chosen again.
    fn release_victims(&mut self, choice: &PreemptionChoice) {
        for victim in &choice.victims {
            let machine = &mut self.machines[choice.machine];
            machine.free.add(&self.candidates[*victim].resources);
            self.candidates_by_machine[choice.machine].retain(|other| other != victim);
        }
    }
}

/// Chooses the running tasks to preempt so that waiting replicas can be placed, as positions
/// in `candidates`.
///
/// `jobs` are services in the order in which they compete. For each replica the machine is
/// taken where the least work is lost, and only tasks of lower priority are stopped. What
/// `machines` have free must include the resources of tasks that were told to stop earlier, so
/// that one replica does not stop a second task while the first one ends.
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
