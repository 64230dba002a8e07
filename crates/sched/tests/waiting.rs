//! Capacity that is withheld from jobs, and jobs that wait for too long.

mod common;

use common::{Job, capacity_index, job_queue, machine, one_team};
use dillcleat_sched::scale_out_plan::{
    InstanceOffering, PlanInputs, PlannedScaleOut, RefusedOfferings, plan_scale_out,
};
use dillcleat_sched::{
    Assignment, CapacityIndex, CycleLimits, JobIndex, MachineView, ResourceRequest, run_cycle,
};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Service headroom per zone, in CPUs.
const HEADROOM_CPUS: f64 = 3.0;

/// Ten tasks of a CPU each, which may run on spot machines.
fn job(id: &str, starving: bool) -> Job {
    Job {
        starving,
        ..Job::new(JobSpec::plain(id, JobKind::Batch, 10, 1.0), 1.0, 0)
    }
}

fn run(jobs: &[Job], capacity: &mut CapacityIndex, training_cpus: f64) -> Vec<Assignment> {
    let limits = CycleLimits {
        virtual_time: 0.0,
        training_cpus,
        service_headroom_cpus: HEADROOM_CPUS,
    };
    let view = |index: JobIndex| jobs.get(index as usize).map(Job::view);
    run_cycle(
        &job_queue(jobs),
        view,
        capacity,
        &mut one_team(99.0),
        limits,
    )
    .assignments
}

/// How many tasks of each job are placed, and how many of all in the service headroom.
fn placed(jobs: &[Job], machines: &[MachineView]) -> (Vec<u32>, u32) {
    let assignments = run(jobs, &mut capacity_index(machines), 0.0);
    let tasks_of = |job| {
        assignments
            .iter()
            .filter(|assignment| assignment.job == job)
            .map(|assignment| assignment.tasks)
            .sum()
    };
    let in_headroom = assignments
        .iter()
        .filter(|assignment| assignment.uses_service_headroom)
        .map(|assignment| assignment.tasks)
        .sum();
    (
        (0..jobs.len() as JobIndex).map(tasks_of).collect(),
        in_headroom,
    )
}

/// With no spot machine available such a job once waited for ever beside the service
/// headroom. A job that is not starving neither uses the headroom nor blocks the others.
#[test]
fn a_starving_job_gets_one_task_into_the_reserve() {
    let jobs = [job("a", false), job("b", true), job("c", true)];
    let machines = [machine("a", HEADROOM_CPUS, false)];
    assert_eq!(placed(&jobs, &machines), (vec![0, 1, 1], 2));
    let many = [0, 1, 2, 3, 4].map(|i| job(&format!("j{i}"), true));
    assert_eq!(placed(&many, &machines), (vec![1, 1, 1, 0, 0], 3));
}

/// Capacity that is open to all comes first, and a job that gets some starves no more.
#[test]
fn a_starving_job_leaves_the_headroom_alone_beside_other_capacity() {
    let machines = [machine("a", HEADROOM_CPUS, false), machine("b", 4.0, false)];
    assert_eq!(placed(&[job("b", true)], &machines), (vec![1], 0));
    let machines = [machine("a", HEADROOM_CPUS, false), machine("a", 2.0, true)];
    assert_eq!(placed(&[job("b", true)], &machines), (vec![2], 0));
}

/// It may have failed on every machine there is because of the machines.
#[test]
fn a_starving_job_goes_where_it_has_failed() {
    let mut failed = machine("a", 8.0, true);
    failed.failed_jobs = vec!["b".into()];
    let alone = [failed.clone()];
    assert_eq!(placed(&[job("b", false)], &alone).0, [0]);
    assert_eq!(placed(&[job("b", true)], &alone).0, [1]);
    let beside = [failed, machine("a", 1.0, true)];
    let assignments = run(&[job("b", true)], &mut capacity_index(&beside), 0.0);
    assert!(
        assignments.iter().all(|assignment| assignment.machine == 1),
        "{assignments:?}"
    );
}

/// A cordoned machine comes after the headroom, and only when all else is full.
#[test]
fn a_starving_job_goes_to_a_cordoned_machine_last() {
    let mut faulty = machine("a", 8.0, true);
    faulty.cordoned = true;
    let alone = [faulty.clone()];
    assert_eq!(placed(&[job("b", false)], &alone).0, [0]);
    assert_eq!(placed(&[job("b", true)], &alone).0, [1]);
    let beside = [faulty, machine("a", HEADROOM_CPUS, false)];
    assert_eq!(placed(&[job("b", true)], &beside), (vec![1], 1));
}

/// Without CPUs for training, training tasks compete as the others do.
#[test]
fn the_training_share_withholds_no_capacity() {
    let mut untrained = job("a", false);
    untrained.training = 2;
    let assignments = run(
        &[untrained],
        &mut capacity_index(&[machine("a", 9.0, true)]),
        0.0,
    );
    assert_eq!(
        assignments
            .iter()
            .map(|assignment| assignment.tasks)
            .sum::<u32>(),
        9
    );
}

/// The scale-out plan with every spot offering refused, with so many free and lent CPUs in
/// the only zone.
fn plan(jobs: &[Job], free_cpus: f64, lent_cpus: f64) -> Vec<PlannedScaleOut> {
    let types = [MachineType {
        name: "m".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.3),
        boot_s: 15.0,
        zones: vec!["a".into()],
    }];
    let mut refusals = RefusedOfferings::default();
    let offering = InstanceOffering {
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
    };
    refusals.refuse(offering, 9);
    let inputs = PlanInputs {
        types: &types,
        refusals: &refusals,
        late_offerings: BTreeSet::new(),
        unreachable_zones: BTreeSet::new(),
        machines_by_zone: BTreeMap::new(),
        lent_headroom_cpus: BTreeMap::from([("a".into(), lent_cpus)]),
        service_headroom_cpus: HEADROOM_CPUS,
        proactive_headroom_cpus: HEADROOM_CPUS,
        now_us: 1,
    };
    let mut capacity = CapacityIndex::without_images();
    capacity.add(machine("a", free_cpus, false));
    let request = |job: &Job| Rc::new(ResourceRequest::of(&job.spec).with_starving(job.starving));
    let requests: Vec<_> = jobs.iter().map(request).collect();
    let jobs = jobs.iter().map(Job::view).zip(&requests);
    plan_scale_out(jobs, &mut capacity, &mut one_team(99.0), &inputs)
}

/// If they were rented anew for each starving job, on-demand machines would be paid for
/// without end by work that waits for spot machines.
#[test]
fn what_is_lent_of_the_reserve_is_not_rented_again() {
    assert_eq!(plan(&[], 2.0, 0.0).len(), 1);
    assert_eq!(plan(&[], 2.0, 1.0), []);
    assert_eq!(
        plan(&[job("a", true), job("b", true)], HEADROOM_CPUS, 0.0),
        []
    );
}
