//! The service headroom, and the placement of starving jobs.

mod common;

use common::{Job, capacity_index, job_queue, machine, one_team};
use dillcleat_sched::scale_out_plan::{
    MachineOffering, PlanInputs, PlannedScaleOut, UnavailableOfferings, plan_scale_out,
};
use dillcleat_sched::{
    Assignment, CapacityIndex, CycleLimits, JobIndex, MachineView, PlacementRequirements, run_cycle,
};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Service headroom per zone, in CPUs.
const HEADROOM_CPUS: f64 = 3.0;

/// A job of ten tasks of one CPU each, which may run on spot machines.
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

/// The number of tasks placed of each job, and the total number placed in the service headroom.
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

/// Guards against a job waiting forever while headroom is free but no spot machine is available. A
/// job that is not starving neither uses the headroom nor blocks the other jobs.
#[test]
fn starving_job_places_one_task_in_service_headroom() {
    let jobs = [job("a", false), job("b", true), job("c", true)];
    let machines = [machine("a", HEADROOM_CPUS, false)];
    assert_eq!(placed(&jobs, &machines), (vec![0, 1, 1], 2));
    let many = [0, 1, 2, 3, 4].map(|i| job(&format!("j{i}"), true));
    assert_eq!(placed(&many, &machines), (vec![1, 1, 1, 0, 0], 3));
}

/// A starving job that can be placed on other capacity must leave the headroom free.
#[test]
fn starving_job_uses_other_capacity_before_headroom() {
    let machines = [machine("a", HEADROOM_CPUS, false), machine("b", 4.0, false)];
    assert_eq!(placed(&[job("b", true)], &machines), (vec![1], 0));
    let machines = [machine("a", HEADROOM_CPUS, false), machine("a", 2.0, true)];
    assert_eq!(placed(&[job("b", true)], &machines), (vec![2], 0));
}

/// A job that failed on every machine must not wait forever, because the machines may have caused
/// the failures.
#[test]
fn starving_job_uses_machine_where_it_failed_as_last_resort() {
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

#[test]
fn starving_job_uses_cordoned_machine_after_headroom() {
    let mut cordoned = machine("a", 8.0, true);
    cordoned.cordoned = true;
    let alone = [cordoned.clone()];
    assert_eq!(placed(&[job("b", false)], &alone).0, [0]);
    assert_eq!(placed(&[job("b", true)], &alone).0, [1]);
    let beside = [cordoned, machine("a", HEADROOM_CPUS, false)];
    assert_eq!(placed(&[job("b", true)], &beside), (vec![1], 1));
}

/// Training tasks that exceed the training CPUs are placed in the regular pass.
#[test]
fn training_tasks_beyond_training_share_are_placed_as_regular_tasks() {
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

/// The scale-out plan if no spot offering is available. In the only zone `free_cpus` on-demand CPUs
/// are free and starving jobs use `cpus_in_use` CPUs of the headroom.
fn plan(jobs: &[Job], free_cpus: f64, cpus_in_use: f64) -> Vec<PlannedScaleOut> {
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
    let mut unavailable_offerings = UnavailableOfferings::default();
    let offering = MachineOffering {
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
    };
    unavailable_offerings.mark_unavailable(offering, 9);
    let inputs = PlanInputs {
        types: &types,
        unavailable_offerings: &unavailable_offerings,
        late_offerings: BTreeSet::new(),
        partitioned_zones: BTreeSet::new(),
        machines_by_zone: BTreeMap::new(),
        headroom_cpus_in_use: BTreeMap::from([("a".into(), cpus_in_use)]),
        service_headroom_cpus: HEADROOM_CPUS,
        proactive_headroom_cpus: HEADROOM_CPUS,
        now_us: 1,
    };
    let mut capacity = CapacityIndex::without_images();
    capacity.add(machine("a", free_cpus, false));
    let requirements =
        |job: &Job| Rc::new(PlacementRequirements::of(&job.spec).with_starving(job.starving));
    let requirements: Vec<_> = jobs.iter().map(requirements).collect();
    let jobs = jobs.iter().map(Job::view).zip(&requirements);
    plan_scale_out(jobs, &mut capacity, &mut one_team(99.0), &inputs)
}

/// Guards against provisioning another on-demand machine for each starving job.
#[test]
fn headroom_in_use_is_not_provisioned_again() {
    assert_eq!(plan(&[], 2.0, 0.0).len(), 1);
    assert_eq!(plan(&[], 2.0, 1.0), []);
    assert_eq!(
        plan(&[job("a", true), job("b", true)], HEADROOM_CPUS, 0.0),
        []
    );
}
