//! The scale-out plan: which machines are provisioned for waiting tasks.

mod common;

use common::{Job, machine};
use dillcleat_sched::scale_out_plan::{
    MachineOffering, PlanInputs, PlannedScaleOut, UnavailableOfferings, plan_scale_out,
};
use dillcleat_sched::{CapacityIndex, MachineView, PlacementRequirements, TeamAllowance};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, price: f64, zones: &[&str]| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: Some(price / 4.0),
        boot_s: 15.0,
        zones: zones.iter().map(|zone| zone.to_string()).collect(),
    };
    // The large type is cheaper per CPU.
    vec![
        machine_type("small", 4.0, 0.34, &["a", "b"]),
        machine_type("large", 16.0, 1.1, &["a"]),
    ]
}

fn job(id: &str, kind: JobKind, tasks: u32, at_risk_tasks: u32) -> Job {
    Job {
        at_risk_tasks,
        ..Job::new(JobSpec::plain(id, kind, tasks, 4.0), 1.0, 0)
    }
}

/// The inputs of a plan.
#[derive(Default)]
struct Inputs<'a> {
    /// Waiting jobs in queue order.
    jobs: &'a [Job],
    booting: &'a [MachineView],
    /// Offerings by machine type, zone, and whether they are spot offerings.
    unavailable: &'a [(&'a str, &'a str, bool)],
    partitioned_zones: &'a [&'a str],
    headroom_cpus: f64,
}

fn plan(inputs: Inputs) -> Vec<PlannedScaleOut> {
    let Inputs {
        jobs,
        booting,
        unavailable,
        partitioned_zones,
        headroom_cpus,
    } = inputs;
    let mut unavailable_offerings = UnavailableOfferings::default();
    for (machine_type, zone, spot) in unavailable {
        let offering = MachineOffering {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot: *spot,
        };
        unavailable_offerings.mark_unavailable(offering, 9);
    }
    let types = types();
    let inputs = PlanInputs {
        types: &types,
        unavailable_offerings: &unavailable_offerings,
        late_offerings: BTreeSet::new(),
        partitioned_zones: partitioned_zones
            .iter()
            .map(|zone| Rc::from(*zone))
            .collect::<BTreeSet<_>>(),
        machines_by_zone: BTreeMap::new(),
        headroom_cpus_in_use: BTreeMap::new(),
        service_headroom_cpus: headroom_cpus,
        proactive_headroom_cpus: headroom_cpus,
        now_us: 1,
    };
    let mut teams = vec![TeamAllowance {
        cpus_left: f64::INFINITY,
        gpus_left: f64::INFINITY,
    }];
    let mut capacity = CapacityIndex::without_images();
    for machine in booting {
        capacity.add(machine.clone());
    }
    let requirements: Vec<_> = jobs
        .iter()
        .map(|job| Rc::new(PlacementRequirements::of(&job.spec)))
        .collect();
    let jobs = jobs.iter().map(Job::view).zip(&requirements);
    plan_scale_out(jobs, &mut capacity, &mut teams, &inputs)
}

fn rows(planned: &[PlannedScaleOut]) -> Vec<(&str, &str, bool, u32)> {
    planned
        .iter()
        .map(|scale_out| {
            let offering = &scale_out.offering;
            let (machine_type, zone) = (offering.machine_type.as_str(), offering.zone.as_str());
            (machine_type, zone, offering.spot, scale_out.count)
        })
        .collect()
}

const SPOT: [(&str, &str, bool); 3] = [
    ("small", "a", true),
    ("small", "b", true),
    ("large", "a", true),
];

/// If no spot offering is available, on-demand machines are provisioned for the tasks at risk
/// and no others.
#[test]
fn on_demand_machines_are_provisioned_only_for_tasks_at_risk() {
    let batch = |at_risk_tasks| [job("batch", JobKind::Batch, 20, at_risk_tasks)];
    assert_eq!(
        plan(Inputs {
            jobs: &batch(0),
            unavailable: &SPOT,
            ..Inputs::default()
        }),
        []
    );
    let planned = plan(Inputs {
        jobs: &batch(5),
        unavailable: &SPOT,
        ..Inputs::default()
    });
    assert_eq!(
        rows(&planned),
        [("large", "a", false, 1), ("small", "b", false, 1)]
    );
    let planned = plan(Inputs {
        jobs: &batch(5),
        ..Inputs::default()
    });
    assert!(
        planned.iter().all(|scale_out| scale_out.offering.spot),
        "{planned:?}"
    );
}

/// A plan requests a limited number of machines of each offering. The remaining tasks must wait for
/// the next plan, which can request more, even if they are at risk. They must not use a more
/// expensive offering.
#[test]
fn offering_at_request_limit_is_not_replaced_by_more_expensive_one() {
    let jobs = [job("batch", JobKind::Batch, 1000, 1000)];
    let planned = plan(Inputs {
        jobs: &jobs,
        ..Inputs::default()
    });
    assert_eq!(rows(&planned), [("large", "a", true, 50)]);
}

/// No machines are provisioned in partitioned zones, where controllers could not reach them.
/// Machines for services are requested before those for batch jobs.
#[test]
fn partitioned_zones_are_excluded_and_services_are_planned_first() {
    let jobs = [
        job("service", JobKind::Service, 2, 0),
        job("batch", JobKind::Batch, 4, 0),
    ];
    let planned = plan(Inputs {
        jobs: &jobs,
        partitioned_zones: &["a"],
        ..Inputs::default()
    });
    assert_eq!(
        rows(&planned),
        [("small", "b", false, 2), ("small", "b", true, 4)]
    );
}

/// Tasks that fit on booting machines or on the remaining capacity of planned machines do not
/// cause further machines to be provisioned.
#[test]
fn capacity_of_booting_and_planned_machines_is_used_first() {
    let booting = [machine("b", 8.0, true)];
    let jobs = [
        job("one", JobKind::Batch, 5, 0),
        job("two", JobKind::Batch, 2, 0),
    ];
    let planned = plan(Inputs {
        jobs: &jobs,
        booting: &booting,
        ..Inputs::default()
    });
    assert_eq!(
        planned.iter().map(|scale_out| scale_out.count).sum::<u32>(),
        5,
        "{planned:?}"
    );
    // Tasks of six CPUs fit only on large machines. Two of them leave four CPUs of one machine
    // free.
    let mut wide = job("wide", JobKind::Batch, 2, 0);
    wide.spec.cpus = 6.0;
    let jobs = [wide, job("narrow", JobKind::Batch, 1, 0)];
    let planned = plan(Inputs {
        jobs: &jobs,
        ..Inputs::default()
    });
    assert_eq!(rows(&planned), [("large", "a", true, 1)]);
    let jobs: Vec<Job> = (0..9).map(|_| job("same", JobKind::Batch, 8, 0)).collect();
    let planned = plan(Inputs {
        jobs: &jobs,
        booting: &booting,
        ..Inputs::default()
    });
    let count_of_type = |name: &str| {
        let of_type = planned
            .iter()
            .filter(|scale_out| scale_out.offering.machine_type == name);
        of_type.map(|scale_out| scale_out.count).sum::<u32>()
    };
    assert_eq!(
        count_of_type("large") * 4 + count_of_type("small"),
        9 * 8 - 2
    );
}

/// The type with the lowest price per CPU is not the cheapest one for a few CPUs.
#[test]
fn headroom_is_provisioned_at_lowest_total_cost() {
    let planned = plan(Inputs {
        headroom_cpus: 3.0,
        ..Inputs::default()
    });
    assert_eq!(
        rows(&planned),
        [("small", "a", false, 1), ("small", "b", false, 1)]
    );
    let planned = plan(Inputs {
        partitioned_zones: &["b"],
        headroom_cpus: 15.0,
        ..Inputs::default()
    });
    assert_eq!(rows(&planned), [("large", "a", false, 1)]);
}
