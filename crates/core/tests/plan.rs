//! What is rented for what waits.

mod common;

use dillcleat_core::SECOND;
use dillcleat_core::fleet::{Market, Offer, Refusals, plan};
use dillcleat_core::sched::{JobView, TeamView};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobSpec, Kind};
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

fn spec(id: &str, kind: Kind, tasks: u32) -> JobSpec {
    common::spec(id, kind, tasks, 4.0)
}

fn view(spec: &JobSpec, late: u32) -> JobView<'_> {
    JobView {
        id: &spec.id,
        spec,
        team: 0,
        waiting: (0..spec.tasks).collect(),
        zones: BTreeMap::new(),
        training: 0,
        tiny: false,
        initial_size: 1.0,
        virtual_size: 1.0,
        submitted: 0,
        late,
        remaining: 0.0,
    }
}

fn rent(
    jobs: &mut [JobView],
    refused: &[(&str, &str, bool)],
    dark: &[&str],
    ahead: f64,
) -> Vec<(Offer, u32)> {
    let mut refusals = Refusals::default();
    for (t, z, spot) in refused {
        refusals.refuse((t.to_string(), z.to_string(), *spot), 9 * SECOND);
    }
    let types = types();
    let market = Market {
        types: &types,
        refusals: &refusals,
        slow: BTreeSet::new(),
        dark: dark.iter().map(|z| Rc::from(*z)).collect::<BTreeSet<_>>(),
        now: SECOND,
    };
    let mut teams = vec![TeamView {
        cpus_left: f64::INFINITY,
        gpus_left: f64::INFINITY,
    }];
    plan(jobs, &mut [], &mut teams, &market, ahead, ahead)
}

fn offers(wanted: &[(Offer, u32)]) -> Vec<(&str, &str, bool, u32)> {
    wanted
        .iter()
        .map(|((t, z, s), n)| (t.as_str(), z.as_str(), *s, *n))
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
    let s = spec("batch", Kind::Batch, 20);
    assert_eq!(rent(&mut [view(&s, 0)], &SPOT, &[], 0.0), []);
    let wanted = rent(&mut [view(&s, 5)], &SPOT, &[], 0.0);
    assert_eq!(
        offers(&wanted),
        [("large", "a", false, 1), ("small", "b", false, 1)]
    );
    let wanted = rent(&mut [view(&s, 5)], &[], &[], 0.0);
    assert!(wanted.iter().all(|((_, _, spot), _)| *spot), "{wanted:?}");
}

/// A spot offer at a rental's size once sent late tasks on to ordinary ones,
/// though more spot machines were to be had a second later.
#[test]
fn a_plan_does_not_go_on_to_dearer_offers() {
    let s = spec("batch", Kind::Batch, 1000);
    let wanted = rent(&mut [view(&s, 1000)], &[], &[], 0.0);
    assert_eq!(offers(&wanted), [("large", "a", true, 50)]);
}

/// Machines rented in a zone that was cut off were paid for and never heard of.
/// What services need goes out first.
#[test]
fn nothing_is_rented_in_dark_zones_and_services_go_first() {
    let batch = spec("batch", Kind::Batch, 4);
    let service = spec("service", Kind::Service, 2);
    let mut jobs = [view(&batch, 0), view(&service, 0)];
    let wanted = rent(&mut jobs, &[], &["a"], 0.0);
    assert_eq!(
        offers(&wanted),
        [("small", "b", false, 2), ("small", "b", true, 4)]
    );
}

/// A large machine was once rented ahead in each zone for three CPUs.
#[test]
fn room_rented_ahead_costs_as_little_as_can_be() {
    let wanted = rent(&mut [], &[], &[], 3.0);
    assert_eq!(
        offers(&wanted),
        [("small", "a", false, 1), ("small", "b", false, 1)]
    );
    let wanted = rent(&mut [], &[], &["b"], 15.0);
    assert_eq!(offers(&wanted), [("large", "a", false, 1)]);
}
