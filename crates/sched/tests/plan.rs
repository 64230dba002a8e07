//! What is rented for what waits.

mod common;

use common::{Job, machine};
use dillcleat_sched::scale_out_plan::{
    InstanceOffering, PlanInputs, PlannedScaleOut, RefusedOfferings, plan_scale_out,
};
use dillcleat_sched::{CapacityIndex, MachineView, ResourceRequest, TeamAllowance};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn types() -> Vec<MachineType> {
    let t = |name: &str, cpus: f64, price: f64, zones: &[&str]| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: Some(price / 4.0),
        boot_s: 15.0,
        zones: zones.iter().map(|z| z.to_string()).collect(),
    };
    // The large one is cheaper a CPU.
    vec![
        t("small", 4.0, 0.34, &["a", "b"]),
        t("large", 16.0, 1.1, &["a"]),
    ]
}

fn job(id: &str, kind: JobKind, tasks: u32, late: u32) -> Job {
    Job {
        late,
        ..Job::new(JobSpec::plain(id, kind, tasks, 4.0), 1.0, 0)
    }
}

/// What is rented for jobs, given in order, beside machines that are coming.
fn rent(
    jobs: &[Job],
    coming: &[MachineView],
    refused: &[(&str, &str, bool)],
    unreachable_zones: &[&str],
    ahead: f64,
) -> Vec<PlannedScaleOut> {
    let mut refusals = RefusedOfferings::default();
    for (t, z, spot) in refused {
        let offering = InstanceOffering {
            machine_type: t.to_string(),
            zone: z.to_string(),
            spot: *spot,
        };
        refusals.refuse(offering, 9);
    }
    let types = types();
    let market = PlanInputs {
        types: &types,
        refusals: &refusals,
        late_offerings: BTreeSet::new(),
        unreachable_zones: unreachable_zones
            .iter()
            .map(|z| Rc::from(*z))
            .collect::<BTreeSet<_>>(),
        machines_by_zone: BTreeMap::new(),
        lent_headroom_cpus: BTreeMap::new(),
        service_headroom_cpus: ahead,
        proactive_headroom_cpus: ahead,
        now_us: 1,
    };
    let mut teams = vec![TeamAllowance {
        cpus_left: f64::INFINITY,
        gpus_left: f64::INFINITY,
    }];
    let mut floor = CapacityIndex::without_images();
    for m in coming {
        floor.add(m.clone());
    }
    let shapes: Vec<_> = jobs
        .iter()
        .map(|j| Rc::new(ResourceRequest::of(&j.spec)))
        .collect();
    let jobs = jobs.iter().map(Job::view).zip(&shapes);
    plan_scale_out(jobs, &mut floor, &mut teams, &market)
}

fn offers(wanted: &[PlannedScaleOut]) -> Vec<(&str, &str, bool, u32)> {
    wanted
        .iter()
        .map(|planned| {
            let offering = &planned.offering;
            let (machine_type, zone) = (offering.machine_type.as_str(), offering.zone.as_str());
            (machine_type, zone, offering.spot, planned.count)
        })
        .collect()
}

const SPOT: [(&str, &str, bool); 3] = [
    ("small", "a", true),
    ("small", "b", true),
    ("large", "a", true),
];

/// With every spot machine taken, late tasks alone rent ordinary machines, and
/// no more of them than they need.
#[test]
fn late_tasks_rent_ordinary_machines_once_spot_machines_are_refused() {
    let batch = |late| [job("batch", JobKind::Batch, 20, late)];
    assert_eq!(rent(&batch(0), &[], &SPOT, &[], 0.0), []);
    let wanted = rent(&batch(5), &[], &SPOT, &[], 0.0);
    assert_eq!(
        offers(&wanted),
        [("large", "a", false, 1), ("small", "b", false, 1)]
    );
    let wanted = rent(&batch(5), &[], &[], &[], 0.0);
    assert!(
        wanted.iter().all(|planned| planned.offering.spot),
        "{wanted:?}"
    );
}

/// A spot offer at a rental's size once sent late tasks on to ordinary ones,
/// though more spot machines were to be had a second later.
#[test]
fn a_plan_does_not_go_on_to_dearer_offers() {
    let jobs = [job("batch", JobKind::Batch, 1000, 1000)];
    let wanted = rent(&jobs, &[], &[], &[], 0.0);
    assert_eq!(offers(&wanted), [("large", "a", true, 50)]);
}

/// Machines rented in a zone that was cut off were paid for and never heard of.
/// What services need goes out first.
#[test]
fn nothing_is_rented_in_dark_zones_and_services_go_first() {
    let jobs = [
        job("service", JobKind::Service, 2, 0),
        job("batch", JobKind::Batch, 4, 0),
    ];
    let wanted = rent(&jobs, &[], &[], &["a"], 0.0);
    assert_eq!(
        offers(&wanted),
        [("small", "b", false, 2), ("small", "b", true, 4)]
    );
}

/// What fits on machines that are coming waits for them, and what one job
/// leaves of a rented machine is the next one's.
#[test]
fn a_plan_counts_what_is_coming_and_what_is_left_over() {
    let coming = [machine("b", 8.0, true)];
    let jobs = [
        job("one", JobKind::Batch, 5, 0),
        job("two", JobKind::Batch, 2, 0),
    ];
    let wanted = rent(&jobs, &coming, &[], &[], 0.0);
    assert_eq!(
        wanted.iter().map(|planned| planned.count).sum::<u32>(),
        5,
        "{wanted:?}"
    );
    // Two of six CPUs fit a large machine alone and leave four of them.
    let mut wide = job("wide", JobKind::Batch, 2, 0);
    wide.spec.cpus = 6.0;
    let jobs = [wide, job("narrow", JobKind::Batch, 1, 0)];
    let wanted = rent(&jobs, &[], &[], &[], 0.0);
    assert_eq!(offers(&wanted), [("large", "a", true, 1)]);
    let jobs: Vec<Job> = (0..9).map(|_| job("same", JobKind::Batch, 8, 0)).collect();
    let wanted = rent(&jobs, &coming, &[], &[], 0.0);
    let machines = |name: &str| {
        let of_type = wanted
            .iter()
            .filter(|planned| planned.offering.machine_type == name);
        of_type.map(|planned| planned.count).sum::<u32>()
    };
    assert_eq!(machines("large") * 4 + machines("small"), 9 * 8 - 2);
}

/// A large machine was once rented ahead in each zone for three CPUs.
#[test]
fn room_rented_ahead_costs_as_little_as_can_be() {
    let wanted = rent(&[], &[], &[], &[], 3.0);
    assert_eq!(
        offers(&wanted),
        [("small", "a", false, 1), ("small", "b", false, 1)]
    );
    let wanted = rent(&[], &[], &[], &["b"], 15.0);
    assert_eq!(offers(&wanted), [("large", "a", false, 1)]);
}
