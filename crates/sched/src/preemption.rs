//! Running work that makes room for replicas in a hurry.

use crate::resources::Resources;
use crate::views::{JobView, MachineView, TeamAllowance};
use dillcleat_wire::user::Priority;

/// A running task that may be stopped to make room.
#[derive(Debug, Clone)]
pub struct PreemptionCandidate {
    pub machine: usize,
    pub resources: Resources,
    pub priority: Priority,
    /// How long it has run, in microseconds: the work that is lost.
    pub run_time_us: u64,
}

/// What stopping tasks on a machine costs: whether any is stopped, whether the
/// image is missing there, and the work lost.
type Loss = (bool, bool, u64);

/// The machine on which room for one more task of the job costs least, and the
/// tasks to be stopped there. `on` lists each machine's, the least work first.
fn least_loss(
    job: &JobView,
    machines: &[MachineView],
    on: &[Vec<usize>],
    victims: &[PreemptionCandidate],
) -> Option<(usize, Vec<usize>)> {
    let need = job.resources();
    let mut best: Option<(Loss, usize, Vec<usize>)> = None;
    for (m, view) in machines.iter().enumerate() {
        if !job.allows(view) {
            continue;
        }
        let mut free = view.free;
        let mut chosen = Vec::new();
        let mut lost = 0;
        for &v in &on[m] {
            if free.fits(&need) {
                break;
            }
            if victims[v].priority < job.spec.priority {
                free.add(&victims[v].resources);
                lost += victims[v].run_time_us;
                chosen.push(v);
            }
        }
        let image = view.holds_image(&job.spec.image);
        let loss = (!chosen.is_empty(), !image, lost);
        if free.fits(&need) && best.as_ref().is_none_or(|(least, _, _)| loss < *least) {
            best = Some((loss, m, chosen));
        }
    }
    best.map(|(_, m, chosen)| (m, chosen))
}

/// Which running tasks to stop so that waiting replicas find room, as indices
/// of `victims`. `jobs` are services, in order. Only work of lower priority is
/// stopped, where the least of it is lost. `machines` counts as free what has
/// been told to stop already, so that one replica stops no second task while the
/// first one ends.
pub fn choose_preemptions(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    teams: &mut [TeamAllowance],
    victims: &[PreemptionCandidate],
) -> Vec<usize> {
    let mut on: Vec<Vec<usize>> = vec![Vec::new(); machines.len()];
    for (i, v) in victims.iter().enumerate() {
        on[v.machine].push(i);
    }
    for list in &mut on {
        list.sort_by_key(|&i| victims[i].run_time_us);
    }
    let mut stopped = Vec::new();
    for job in jobs {
        while job.waiting_tasks > 0 && job.team_allows(teams) {
            let Some((m, chosen)) = least_loss(job, machines, &on, victims) else {
                break;
            };
            for v in chosen {
                machines[m].free.add(&victims[v].resources);
                on[m].retain(|o| *o != v);
                stopped.push(v);
            }
            job.assign_next_task(&mut machines[m], teams);
        }
    }
    stopped
}
