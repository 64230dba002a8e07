//! Placement, queue order and preemption, in small cases and compared to a reference scheduler.

mod common;

use common::{Job, capacity_index, job_queue, machine, one_team};
use dillcleat_sched::placement_policy::PlacementPolicy;
use dillcleat_sched::preemption::{PreemptionCandidate, choose_preemptions};
use dillcleat_sched::{
    CapacityIndex, CycleLimits, JobIndex, JobQueue, JobView, MachineIndex, MachineView, Resources,
    TeamAllowance, run_cycle,
};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use std::ops::Range;
use std::rc::Rc;

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
}

/// The placements of a scheduling cycle: one pair of job and machine for each task.
fn run(
    jobs: &[Job],
    capacity: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    training_cpus: f64,
    headroom_cpus: f64,
) -> Vec<(JobIndex, MachineIndex)> {
    let limits = CycleLimits {
        virtual_time: 0.0,
        training_cpus,
        service_headroom_cpus: headroom_cpus,
    };
    let view = |index: JobIndex| jobs.get(index as usize).map(Job::view);
    let cycle = run_cycle(&job_queue(jobs), view, capacity, teams, limits);
    cycle
        .assignments
        .into_iter()
        .flat_map(|assignment| {
            let placement = (assignment.job, assignment.machine);
            std::iter::repeat_n(placement, assignment.tasks as usize)
        })
        .collect()
}

/// The number of tasks placed of each job, in the order of the jobs' first placements.
fn placed_tasks(
    jobs: &[Job],
    machines: &[MachineView],
    team_cpus: f64,
    training_cpus: f64,
) -> Vec<(String, usize)> {
    let mut capacity = capacity_index(machines);
    let placements = run(
        jobs,
        &mut capacity,
        &mut one_team(team_cpus),
        training_cpus,
        0.0,
    );
    let mut counts: Vec<(String, usize)> = Vec::new();
    for (job, _) in placements {
        let id = jobs[job as usize].spec.id.clone();
        match counts.iter_mut().find(|(other, _)| *other == id) {
            Some((_, count)) => *count += 1,
            None => counts.push((id, 1)),
        }
    }
    counts
}

fn counts(pairs: &[(&str, usize)]) -> Vec<(String, usize)> {
    pairs
        .iter()
        .map(|(job, count)| (job.to_string(), *count))
        .collect()
}

#[test]
fn jobs_are_placed_in_order_of_section_and_size() {
    let mut service = spec("service", 2);
    service.kind = JobKind::Service;
    let mut jobs = vec![
        Job::new(spec("big", 9), 900.0, 2),
        Job::new(spec("small", 9), 100.0, 0),
        Job::new(spec("tiny", 1), 500.0, 0),
        Job::new(service, 0.0, 0),
    ];
    jobs[2].tiny = true;
    let machines = vec![machine("a", 8.0, false), machine("a", 2.0, false)];
    assert_eq!(
        placed_tasks(&jobs, &machines, 99.0, 2.0),
        counts(&[("service", 2), ("tiny", 1), ("big", 2), ("small", 5)])
    );
}

#[test]
fn training_tasks_are_limited_by_training_cpus() {
    let jobs = vec![
        Job::new(spec("a", 9), 200.0, 2),
        Job::new(spec("b", 9), 100.0, 2),
    ];
    let machines = vec![machine("a", 3.0, true)];
    // The job with the smaller initial size trains first. Other tasks are ordered by virtual size.
    assert_eq!(
        placed_tasks(&jobs, &machines, 99.0, 1.0),
        counts(&[("b", 3)])
    );
    let jobs = vec![
        Job::new(spec("a", 9), 200.0, 2),
        Job::new(spec("b", 9), 100.0, 0),
    ];
    assert_eq!(
        placed_tasks(&jobs, &machines, 99.0, 2.0),
        counts(&[("a", 2), ("b", 1)])
    );
}

#[test]
fn team_at_its_quota_is_skipped() {
    let mut jobs = vec![
        Job::new(spec("a", 9), 1.0, 0),
        Job::new(spec("b", 9), 2.0, 0),
    ];
    jobs[1].team = 1;
    let mut teams = vec![one_team(2.0).remove(0), one_team(99.0).remove(0)];
    let mut capacity = capacity_index(&[machine("a", 6.0, true)]);
    let placements = run(&jobs, &mut capacity, &mut teams, 0.0, 0.0);
    let first = placements
        .iter()
        .filter(|placement| placement.0 == 0)
        .count();
    assert_eq!((first, placements.len()), (2, 6));
}

#[test]
fn spot_spread_and_single_zone_constraints_are_respected() {
    let mut spread = spec("s", 5);
    spread.spread = true;
    spread.spot = false;
    let mut capacity = capacity_index(&[
        machine("b", 9.0, true),
        machine("a", 9.0, false),
        machine("b", 1.0, false),
    ]);
    let jobs = [Job::new(spread, 1.0, 0)];
    let placements = run(&jobs, &mut capacity, &mut one_team(99.0), 0.0, 0.0);
    let tasks_on = |machine: MachineIndex| {
        placements
            .iter()
            .filter(|placement| placement.1 == machine)
            .count()
    };
    assert_eq!((tasks_on(0), tasks_on(1), tasks_on(2)), (0, 3, 1));
    let mut single_zone = spec("one", 4);
    single_zone.single_zone = true;
    let mut capacity = capacity_index(&[machine("a", 2.0, true), machine("b", 2.0, true)]);
    let jobs = [Job::new(single_zone, 1.0, 0)];
    let placements = run(&jobs, &mut capacity, &mut one_team(99.0), 0.0, 0.0);
    assert_eq!(placements.len(), 2);
    assert_eq!(placements[0].1, placements[1].1);
}

/// Guards against delayed replicas: jobs that may run on spot machines must not use all on-demand
/// machines.
#[test]
fn jobs_allowed_on_spot_leave_service_headroom_free() {
    let jobs = [Job::new(spec("batch", 9), 1.0, 0)];
    let mut capacity = capacity_index(&[machine("a", 5.0, false), machine("a", 1.0, true)]);
    let placements = run(&jobs, &mut capacity, &mut one_team(99.0), 0.0, 3.0);
    let on_demand = placements
        .iter()
        .filter(|placement| placement.1 == 0)
        .count();
    assert_eq!((on_demand, placements.len()), (2, 3));
    let mut service = spec("service", 9);
    service.kind = JobKind::Service;
    service.spot = false;
    let jobs = [Job::new(service, 0.0, 0)];
    assert_eq!(
        run(&jobs, &mut capacity, &mut one_team(99.0), 0.0, 3.0).len(),
        3
    );
}

#[test]
fn tasks_without_cpus_run_on_machines_without_free_cpus() {
    let mut memory_only = spec("memory", 3);
    memory_only.cpus = 0.0;
    memory_only.memory_gb = 30.0;
    let mut capacity = capacity_index(&[machine("a", 0.0, true)]);
    let jobs = [Job::new(memory_only, 1.0, 0)];
    assert_eq!(
        run(&jobs, &mut capacity, &mut one_team(9.0), 0.0, 0.0).len(),
        2
    );
}

/// A job of the reference scheduler, with its current view.
type ReferenceJob<'a> = (&'a Job, JobView<'a>);

/// The best machine for the job's next task, found by comparing all machines.
fn best_machine(job: &JobView, machines: &[MachineView], policy: PlacementPolicy) -> Option<usize> {
    let need = job.resources();
    let leaves_headroom = |machine: &MachineView, headroom_cpus: f64| {
        let counts_as_headroom =
            |other: &&MachineView| !other.spot && !other.cordoned && other.zone == machine.zone;
        let free: f64 = machines
            .iter()
            .filter(counts_as_headroom)
            .map(|other| other.free.cpus)
            .sum();
        let must_leave_headroom = !machine.spot && job.spec.spot && job.spec.kind == JobKind::Batch;
        headroom_cpus <= 0.0 || !must_leave_headroom || free - need.cpus + 1e-6 >= headroom_cpus
    };
    let rank = |index: usize, machine: &MachineView| {
        let holds_image = machine
            .images
            .iter()
            .any(|(held, _)| **held == *job.spec.image);
        let spot = machine.spot == job.spec.spot;
        let service = job.spec.kind == JobKind::Service;
        // Worst fit for replicas that have to download the image, best fit otherwise.
        let worst_fit_sign = if service && !holds_image { 1.0 } else { -1.0 };
        let service_images = if service || machine.spot {
            0
        } else {
            machine.service_images
        };
        let (cpus, memory) = (
            machine.free.cpus * worst_fit_sign,
            machine.free.memory_gb * worst_fit_sign,
        );
        let order = (
            spot,
            holds_image,
            9 - service_images,
            cpus,
            memory,
            index as f64 * worst_fit_sign,
        );
        (!machine.outbound_unreachable, order)
    };
    let mut best: Option<usize> = None;
    for (index, view) in machines.iter().enumerate() {
        if view.free.covers(&need)
            && match policy {
                PlacementPolicy::Standard {
                    service_headroom_cpus,
                } => job.may_use(view) && leaves_headroom(view, service_headroom_cpus),
                PlacementPolicy::IgnoreHeadroom => job.may_use(view),
                PlacementPolicy::LastResort => true,
            }
            && job.constraints_allow(view)
            && best.is_none_or(|best| rank(index, view) > rank(best, &machines[best]))
        {
            best = Some(index);
        }
    }
    best
}

/// All jobs in the order of the job queue.
fn queue_order(jobs: &[ReferenceJob]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (jobs[a].0, jobs[b].0);
        let service = |j: &Job| j.spec.kind == JobKind::Service;
        service(b)
            .cmp(&service(a))
            .then(b.spec.priority.cmp(&a.spec.priority))
            .then(b.tiny.cmp(&a.tiny))
            .then(a.virtual_size.total_cmp(&b.virtual_size))
            .then(a.remaining.total_cmp(&b.remaining))
            .then(a.ready_at_us.cmp(&b.ready_at_us))
            .then(a.spec.id.cmp(&b.spec.id))
    });
    order
}

/// All jobs in the order in which their training tasks are placed.
fn training_order(jobs: &[ReferenceJob]) -> Vec<usize> {
    let mut training: Vec<usize> = (0..jobs.len()).collect();
    training.sort_by(|&a, &b| {
        let (a, b) = (jobs[a].0, jobs[b].0);
        b.spec
            .priority
            .cmp(&a.spec.priority)
            .then(a.initial_size.total_cmp(&b.initial_size))
            .then(a.ready_at_us.cmp(&b.ready_at_us))
            .then(a.spec.id.cmp(&b.spec.id))
    });
    training
}

/// The reference scheduler: examines every job, and for every task every machine.
fn run_reference(
    jobs: &mut [ReferenceJob],
    machines: &mut [MachineView],
    teams: &mut [TeamAllowance],
    mut training_cpus: f64,
    headroom_cpus: f64,
) -> Vec<(JobIndex, MachineIndex)> {
    let mut place_task =
        |jobs: &mut [ReferenceJob], index: usize| -> Option<(JobIndex, MachineIndex)> {
            let job = &mut jobs[index].1;
            if job.waiting_tasks == 0 || !job.team_allows(teams) {
                return None;
            }
            let policies = [
                PlacementPolicy::Standard {
                    service_headroom_cpus: headroom_cpus,
                },
                PlacementPolicy::IgnoreHeadroom,
                PlacementPolicy::LastResort,
            ];
            let policies = policies.into_iter().take(if job.starving { 3 } else { 1 });
            let machine = policies
                .into_iter()
                .find_map(|policy| best_machine(job, machines, policy))?;
            job.starving = false;
            job.assign_next_task(&mut machines[machine], teams);
            Some((index as JobIndex, machine as MachineIndex))
        };
    let mut placements = Vec::new();
    let order = queue_order(jobs);
    for &index in &order {
        if jobs[index].0.spec.kind == JobKind::Service || jobs[index].0.tiny {
            while let Some(placement) = place_task(jobs, index) {
                placements.push(placement);
            }
        }
    }
    for index in training_order(jobs) {
        let cpus = jobs[index].0.spec.cpus;
        while jobs[index].1.training_tasks > 0 && training_cpus + 1e-6 >= cpus {
            let Some(placement) = place_task(jobs, index) else {
                break;
            };
            training_cpus -= cpus;
            placements.push(placement);
        }
    }
    for &index in &order {
        while let Some(placement) = place_task(jobs, index) {
            placements.push(placement);
        }
    }
    placements
}

fn random_job(rng: &mut fastrand::Rng, index: usize) -> Job {
    let mut job_spec = spec(&format!("j{index}"), rng.u32(1..14));
    job_spec.cpus = f64::from(rng.u32(1..5));
    job_spec.memory_gb = f64::from(rng.u32(1..9));
    job_spec.image = format!("i{}", rng.u8(..3));
    job_spec.spot = rng.bool();
    job_spec.single_zone = rng.u8(..5) == 0;
    job_spec.spread = !job_spec.single_zone && rng.u8(..3) == 0;
    job_spec.zone = (rng.u8(..6) == 0).then(|| "a".to_string());
    job_spec.types = (rng.u8(..8) == 0).then(|| vec!["other".to_string()]);
    if rng.u8(..5) == 0 {
        job_spec.priority = Priority::High;
    }
    let service = rng.u8(..3) == 0;
    if service {
        job_spec.kind = JobKind::Service;
    }
    let training = if service { 0 } else { rng.u32(..3) };
    let mut job = Job::new(job_spec, f64::from(rng.u32(1..1000)), training);
    if !service && rng.u8(..3) == 0 {
        job.virtual_size = 0.0;
        job.remaining = f64::from(rng.u32(1..50));
    }
    job.team = rng.usize(..2);
    job.tiny = !service && rng.u8(..6) == 0;
    if job.tiny {
        job.training = 0;
    }
    job.ready_at_us = rng.u64(..3);
    job.starving = rng.u8(..4) == 0;
    job
}

fn random_machine(rng: &mut fastrand::Rng) -> MachineView {
    let zone = ["a", "b", "c"][rng.usize(..3)];
    let mut view = machine(zone, f64::from(rng.u32(..17)), rng.bool());
    view.free.memory_gb = f64::from(rng.u32(4..40));
    view.service_images = if view.spot { 0 } else { rng.u32(..3) };
    view.images = Rc::new(vec![(Rc::from(format!("i{}", rng.u8(..3))), 1.0)]);
    view.cordoned = rng.u8(..9) == 0;
    view.outbound_unreachable = rng.u8(..5) == 0;
    if rng.u8(..6) == 0 {
        view.machine_type = "other".into();
    }
    if rng.u8(..6) == 0 {
        view.failed_jobs = vec![Rc::from(format!("j{}", rng.u8(..4)))];
    }
    view
}

/// A capacity index after random changes, and the machines that it then contains.
fn random_fleet(
    rng: &mut fastrand::Rng,
    peak: Range<usize>,
    min_machines: usize,
) -> (CapacityIndex, Vec<MachineView>) {
    let mut capacity = CapacityIndex::new();
    let mut machines = Vec::new();
    for index in 0..rng.usize(peak) {
        for _ in 0..rng.usize(1..3) {
            // Setting a machine again must remove all traces of its previous view.
            let view = random_machine(rng);
            capacity.set(index as MachineIndex, Some(view.clone()));
            machines.truncate(index);
            machines.push(view);
        }
    }
    capacity.set(999, Some(machine("a", 16.0, false)));
    capacity.set(999, None);
    if machines.len() > min_machines {
        let remaining = rng.usize(min_machines..machines.len());
        for index in remaining..machines.len() {
            capacity.set(index as MachineIndex, None);
        }
        machines.truncate(remaining);
    }
    (capacity, machines)
}

/// Compares a cycle with the reference scheduler on the same jobs and machines. Returns the
/// number of tasks placed.
fn compare_with_reference(
    rng: &mut fastrand::Rng,
    jobs: &[Job],
    mut capacity: CapacityIndex,
    mut machines: Vec<MachineView>,
    seed: u64,
) -> usize {
    let mut teams = vec![
        one_team(f64::from(rng.u32(1..90))).remove(0),
        one_team(1e9).remove(0),
    ];
    let (training_cpus, headroom_cpus) = (f64::from(rng.u32(..9)), f64::from(rng.u32(..7)));
    let mut reference_teams = teams.clone();
    let mut reference_jobs: Vec<ReferenceJob> = jobs.iter().map(|job| (job, job.view())).collect();
    let reference = run_reference(
        &mut reference_jobs,
        &mut machines,
        &mut reference_teams,
        training_cpus,
        headroom_cpus,
    );
    let indexed = run(
        jobs,
        &mut capacity,
        &mut teams,
        training_cpus,
        headroom_cpus,
    );
    assert_eq!(indexed, reference, "seed {seed}");
    for (index, machine) in machines.iter().enumerate() {
        let free = capacity.view(index as MachineIndex).map(|view| view.free);
        assert_eq!(free, Some(machine.free), "seed {seed}");
    }
    indexed.len()
}

fn random_jobs(rng: &mut fastrand::Rng) -> Vec<Job> {
    (0..rng.usize(1..14))
        .map(|index| random_job(rng, index))
        .collect()
}

/// Sub-queues, machine rankings and the skipping of exhausted requirements are optimizations. They
/// must not change placements, even after updates of the capacity index.
#[test]
fn indexed_cycle_matches_reference_scheduler() {
    let mut placed = 0;
    for seed in 0..600 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let jobs = random_jobs(&mut rng);
        let (capacity, machines) = random_fleet(&mut rng, 1..20, 20);
        placed += compare_with_reference(&mut rng, &jobs, capacity, machines, seed);
    }
    assert!(placed > 8000, "{placed} placed");
}

/// Rankings per image must not change placements while they are built, used and dropped.
#[test]
fn cycle_with_image_rankings_matches_reference_scheduler() {
    let mut placed = 0;
    for seed in 0..120 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let jobs = random_jobs(&mut rng);
        let (capacity, machines) = random_fleet(&mut rng, 100..260, 30);
        placed += compare_with_reference(&mut rng, &jobs, capacity, machines, seed);
    }
    assert!(placed > 3000, "{placed} placed");
}

/// The order of the jobs by a plain sort. Each job is paired with whether its size is fixed.
fn plain_sort(jobs: &[Option<(Job, bool)>]) -> Vec<JobIndex> {
    let known: Vec<(JobIndex, &Job, bool)> = jobs
        .iter()
        .enumerate()
        .filter_map(|(index, slot)| {
            let (job, fixed) = slot.as_ref()?;
            Some((index as JobIndex, job, *fixed))
        })
        .collect();
    let reference: Vec<Job> = known
        .iter()
        .map(|(_, j, fixed)| Job {
            // Remaining work matters only for jobs that have aged to zero.
            remaining: if *fixed || j.virtual_size > 0.0 {
                0.0
            } else {
                j.remaining
            },
            ..(*j).clone()
        })
        .collect();
    let views: Vec<ReferenceJob> = reference.iter().map(|job| (job, job.view())).collect();
    queue_order(&views)
        .into_iter()
        .map(|position| known[position].0)
        .collect()
}

/// The queue's order must equal a plain sort after jobs are added, removed, aged and resized.
#[test]
fn queue_order_matches_plain_sort_after_random_updates() {
    let mut compared = 0;
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut virtual_time = 0.0;
        let mut queue = JobQueue::default();
        let mut jobs: Vec<Option<(Job, bool)>> = vec![None; 12];
        for _ in 0..200 {
            let index = rng.usize(..jobs.len());
            match rng.u8(..5) {
                0 => jobs[index] = None,
                1 | 2 => {
                    let job = random_job(&mut rng, index);
                    let fixed = job.spec.kind == JobKind::Service || rng.u8(..8) == 0;
                    jobs[index] = Some((job, fixed));
                }
                3 => {
                    let elapsed = f64::from(rng.u32(..200));
                    virtual_time += elapsed;
                    for (job, _) in jobs.iter_mut().flatten().filter(|(_, fixed)| !fixed) {
                        job.virtual_size = (job.virtual_size - elapsed).max(0.0);
                    }
                }
                _ => {
                    if let Some((job, false)) = &mut jobs[index] {
                        job.virtual_size = f64::from(rng.u32(..500));
                    }
                }
            }
            let entry = jobs[index]
                .as_ref()
                .map(|(job, fixed)| job.queue_entry(virtual_time, *fixed));
            queue.set(index as JobIndex, entry);
            while let Some(aged) = queue.next_aged_to_zero(virtual_time) {
                let job = jobs[aged as usize].as_ref();
                let entry = job.map(|(job, fixed)| job.queue_entry(virtual_time, *fixed));
                queue.set(aged, entry);
            }
            let sorted = plain_sort(&jobs);
            let indexed: Vec<JobIndex> = queue.iter_in_order(virtual_time).collect();
            assert_eq!(indexed, sorted, "seed {seed}");
            compared += sorted.len();
        }
    }
    assert!(compared > 30_000, "{compared} compared");
}

/// Replicas must not have to wait until batch jobs of lower priority release the last on-demand
/// machines.
#[test]
fn replicas_preempt_only_as_many_tasks_as_needed_with_least_lost_work() {
    let mut service = spec("service", 3);
    service.kind = JobKind::Service;
    service.priority = Priority::Production;
    service.spot = false;
    service.image = "held".into();
    let machines = || {
        let mut machines = vec![
            machine("a", 0.0, false),
            machine("a", 1.0, false),
            machine("a", 0.0, true),
        ];
        machines[0].images = Rc::new(vec![(Rc::from("held"), 1.0)]);
        machines
    };
    let victim = |machine: usize, priority: Priority, run_time_us: u64| PreemptionCandidate {
        machine,
        resources: Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        priority,
        run_time_us,
    };
    let victims = [
        victim(0, Priority::Normal, 50),
        victim(0, Priority::Normal, 20),
        victim(0, Priority::Production, 1),
        victim(1, Priority::Normal, 5),
        victim(2, Priority::Normal, 1),
    ];
    let job = Job::new(service, 0.0, 0);
    let mut jobs = vec![job.view()];
    let preempted = choose_preemptions(&mut jobs, &mut machines(), &mut one_team(99.0), &victims);
    // One replica uses the free capacity of the second machine, which then holds the image.
    // The others preempt the tasks with the shortest run times, there and on the first machine.
    assert_eq!(preempted, [3, 1]);
    assert_eq!(jobs[0].waiting_tasks, 0);
    // A team at its quota preempts nothing.
    let mut jobs = vec![job.view()];
    let preempted = choose_preemptions(&mut jobs, &mut machines(), &mut one_team(1.0), &victims);
    assert_eq!(preempted, [0; 0]);
}
