//! What is kept from a job, and when it is kept no longer.

mod common;

use common::{Job, floor, line, machine, team};
use dillcleat_sched::scale_out_plan::{
    InstanceOffering, PlanInputs, PlannedScaleOut, RefusedOfferings, plan_scale_out,
};
use dillcleat_sched::{
    Assignment, CapacityIndex, CycleLimits, MachineView, ResourceRequest, SlabIndex, run_cycle,
};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const RESERVE: f64 = 3.0;

/// Ten tasks of a CPU each, which may run on spot machines.
fn job(id: &str, starving: bool) -> Job {
    Job {
        starving,
        ..Job::new(JobSpec::plain(id, JobKind::Batch, 10, 1.0), 1.0, 0)
    }
}

fn pass(jobs: &[Job], floor: &mut CapacityIndex, training_cpus: f64) -> Vec<Assignment> {
    let terms = CycleLimits {
        virtual_time: 0.0,
        training_cpus,
        service_headroom_cpus: RESERVE,
    };
    let view = |place: SlabIndex| jobs.get(place as usize).map(Job::view);
    run_cycle(&line(jobs), view, floor, &mut team(99.0), terms).assignments
}

/// How many tasks each job gets, and how many of all in the reserve.
fn placed(jobs: &[Job], machines: &[MachineView]) -> (Vec<u32>, u32) {
    let made = pass(jobs, &mut floor(machines), 0.0);
    let of = |i| made.iter().filter(|a| a.job == i).map(|a| a.tasks).sum();
    let kept = made
        .iter()
        .filter(|a| a.uses_service_headroom)
        .map(|a| a.tasks)
        .sum();
    ((0..jobs.len() as SlabIndex).map(of).collect(), kept)
}

/// With no spot machine to be had such a job once waited for ever beside the reserve.
/// One that came just now neither gets of it nor stands in the way.
#[test]
fn a_starving_job_gets_one_task_into_the_reserve() {
    let jobs = [job("a", false), job("b", true), job("c", true)];
    let machines = [machine("a", RESERVE, false)];
    assert_eq!(placed(&jobs, &machines), (vec![0, 1, 1], 2));
    let many = [0, 1, 2, 3, 4].map(|i| job(&format!("j{i}"), true));
    assert_eq!(placed(&many, &machines), (vec![1, 1, 1, 0, 0], 3));
}

/// Room that is kept from nobody comes first, and who gets some starves no more.
#[test]
fn a_starving_job_leaves_the_reserve_alone_beside_other_room() {
    let machines = [machine("a", RESERVE, false), machine("b", 4.0, false)];
    assert_eq!(placed(&[job("b", true)], &machines), (vec![1], 0));
    let machines = [machine("a", RESERVE, false), machine("a", 2.0, true)];
    assert_eq!(placed(&[job("b", true)], &machines), (vec![2], 0));
}

/// It may have failed on each machine that there is for reasons of theirs.
#[test]
fn a_starving_job_goes_where_it_has_failed() {
    let mut failed = machine("a", 8.0, true);
    failed.failed_jobs = vec!["b".into()];
    let alone = [failed.clone()];
    assert_eq!(placed(&[job("b", false)], &alone).0, [0]);
    assert_eq!(placed(&[job("b", true)], &alone).0, [1]);
    let beside = [failed, machine("a", 1.0, true)];
    let made = pass(&[job("b", true)], &mut floor(&beside), 0.0);
    assert!(made.iter().all(|a| a.machine == 1), "{made:?}");
}

/// A machine that fails others comes after the reserve, and only when all else is full.
#[test]
fn a_starving_job_goes_to_a_condemned_machine_last() {
    let mut condemned = machine("a", 8.0, true);
    condemned.cordoned = true;
    let alone = [condemned.clone()];
    assert_eq!(placed(&[job("b", false)], &alone).0, [0]);
    assert_eq!(placed(&[job("b", true)], &alone).0, [1]);
    let beside = [condemned, machine("a", RESERVE, false)];
    assert_eq!(placed(&[job("b", true)], &beside), (vec![1], 1));
}

/// Without a slot for training its tasks compete as the others do.
#[test]
fn the_training_share_keeps_no_room() {
    let mut untrained = job("a", false);
    untrained.training = 2;
    let made = pass(&[untrained], &mut floor(&[machine("a", 9.0, true)]), 0.0);
    assert_eq!(made.iter().map(|a| a.tasks).sum::<u32>(), 9);
}

/// What is rented, with every spot offer refused, beside `free` CPUs in the one zone
/// and others that are lent.
fn rent(jobs: &[Job], free: f64, lent: f64) -> Vec<PlannedScaleOut> {
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
    let market = PlanInputs {
        types: &types,
        refusals: &refusals,
        late_offerings: BTreeSet::new(),
        unreachable_zones: BTreeSet::new(),
        machines_by_zone: BTreeMap::new(),
        lent_headroom_cpus: BTreeMap::from([("a".into(), lent)]),
        service_headroom_cpus: RESERVE,
        proactive_headroom_cpus: RESERVE,
        now_us: 1,
    };
    let mut floor = CapacityIndex::without_images();
    floor.add(machine("a", free, false));
    let shape = |j: &Job| Rc::new(ResourceRequest::of(&j.spec).with_starving(j.starving));
    let shapes: Vec<_> = jobs.iter().map(shape).collect();
    let jobs = jobs.iter().map(Job::view).zip(&shapes);
    plan_scale_out(jobs, &mut floor, &mut team(99.0), &market)
}

/// Rented anew for each that starves, ordinary machines would be paid for without end by
/// work that waits for spot machines.
#[test]
fn what_is_lent_of_the_reserve_is_not_rented_again() {
    assert_eq!(rent(&[], 2.0, 0.0).len(), 1);
    assert_eq!(rent(&[], 2.0, 1.0), []);
    assert_eq!(rent(&[job("a", true), job("b", true)], RESERVE, 0.0), []);
}
