//! Who gets room, on small snapshots.

use dillcleat_core::sched::{JobView, MachineView, Room, TeamView, assign};
use dillcleat_wire::user::{JobSpec, Kind, Priority};
use std::collections::BTreeMap;

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Batch,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn view(spec: &JobSpec, size: f64, training: u32) -> JobView<'_> {
    JobView {
        id: &spec.id,
        spec,
        team: 0,
        waiting: (0..spec.tasks).collect(),
        zones: BTreeMap::new(),
        training,
        tiny: false,
        initial_size: size,
        virtual_size: size,
        submitted: 0,
    }
}

fn machine(name: &str, zone: &str, cpus: f64, spot: bool) -> MachineView {
    MachineView {
        name: name.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot,
        free: Room {
            cpus,
            gpus: 0.0,
            memory_gb: 64.0,
        },
        images: Vec::new(),
        avoid: Vec::new(),
    }
}

fn team(cpus: f64) -> Vec<TeamView> {
    vec![TeamView {
        cpus_left: cpus,
        gpus_left: f64::INFINITY,
    }]
}

/// Which jobs got how many slots, in the order of the first.
fn served(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    cpus: f64,
    training: f64,
) -> Vec<(String, usize)> {
    let made = assign(jobs, machines, &mut team(cpus), training, 0.0);
    let mut out: Vec<(String, usize)> = Vec::new();
    for a in made {
        let id = jobs[a.job].id.to_string();
        match out.iter_mut().find(|(j, _)| *j == id) {
            Some((_, n)) => *n += 1,
            None => out.push((id, 1)),
        }
    }
    out
}

fn counts(pairs: &[(&str, usize)]) -> Vec<(String, usize)> {
    pairs.iter().map(|(j, n)| (j.to_string(), *n)).collect()
}

#[test]
fn services_then_tiny_then_training_then_smallest_virtual_size() {
    let mut service = spec("service", 2);
    service.kind = Kind::Service;
    let (tiny, big, small) = (spec("tiny", 1), spec("big", 9), spec("small", 9));
    let mut jobs = vec![
        view(&big, 900.0, 2),
        view(&small, 100.0, 0),
        view(&tiny, 500.0, 0),
        view(&service, 0.0, 0),
    ];
    jobs[2].tiny = true;
    let mut machines = vec![machine("x", "a", 8.0, true), machine("y", "a", 2.0, false)];
    machines[0].spot = false;
    let got = served(&mut jobs, &mut machines, 99.0, 2.0);
    assert_eq!(
        got,
        counts(&[("service", 2), ("tiny", 1), ("big", 2), ("small", 5)])
    );
}

#[test]
fn training_stops_at_its_share() {
    let (a, b) = (spec("a", 9), spec("b", 9));
    let mut jobs = vec![view(&a, 200.0, 2), view(&b, 100.0, 2)];
    let mut machines = vec![machine("x", "a", 3.0, true)];
    // The smaller initial size trains first; the rest goes by virtual size.
    assert_eq!(
        served(&mut jobs, &mut machines, 99.0, 1.0),
        counts(&[("b", 3)])
    );
    let mut jobs = vec![view(&a, 200.0, 2), view(&b, 100.0, 0)];
    let mut machines = vec![machine("x", "a", 3.0, true)];
    assert_eq!(
        served(&mut jobs, &mut machines, 99.0, 2.0),
        counts(&[("a", 2), ("b", 1)])
    );
}

#[test]
fn a_team_at_its_limit_is_skipped() {
    let (a, b) = (spec("a", 9), spec("b", 9));
    let mut jobs = vec![view(&a, 1.0, 0), view(&b, 2.0, 0)];
    jobs[1].team = 1;
    let mut machines = vec![machine("x", "a", 6.0, true)];
    let mut teams = vec![team(2.0).remove(0), team(99.0).remove(0)];
    let made = assign(&mut jobs, &mut machines, &mut teams, 0.0, 0.0);
    let first = made.iter().filter(|m| m.job == 0).count();
    assert_eq!((first, made.len()), (2, 6));
}

#[test]
fn zones_spot_types_and_spread_are_kept() {
    let mut s = spec("s", 5);
    s.spread = true;
    s.spot = false;
    let mut jobs = vec![view(&s, 1.0, 0)];
    let mut machines = vec![
        machine("spot", "b", 9.0, true),
        machine("a1", "a", 9.0, false),
        machine("b1", "b", 1.0, false),
    ];
    let made = assign(&mut jobs, &mut machines, &mut team(99.0), 0.0, 0.0);
    let on = |m: usize| made.iter().filter(|x| x.machine == m).count();
    assert_eq!((on(0), on(1), on(2)), (0, 3, 1));
    let mut one = spec("one", 4);
    one.one_zone = true;
    let mut jobs = vec![view(&one, 1.0, 0)];
    let mut machines = vec![machine("a1", "a", 2.0, true), machine("b1", "b", 2.0, true)];
    let made = assign(&mut jobs, &mut machines, &mut team(99.0), 0.0, 0.0);
    assert_eq!(made.len(), 2);
    assert_eq!(made[0].machine, made[1].machine);
}

/// Replicas once waited behind spot work on ordinary machines.
#[test]
fn spot_work_leaves_the_reserve_to_services() {
    let batch = spec("batch", 9);
    let mut jobs = vec![view(&batch, 1.0, 0)];
    let mut machines = vec![machine("x", "a", 5.0, false), machine("y", "a", 1.0, true)];
    let made = assign(&mut jobs, &mut machines, &mut team(99.0), 0.0, 3.0);
    let ordinary = made.iter().filter(|a| a.machine == 0).count();
    assert_eq!((ordinary, made.len()), (2, 3));
    let mut service = spec("service", 9);
    service.kind = Kind::Service;
    service.spot = false;
    let mut jobs = vec![view(&service, 0.0, 0)];
    assert_eq!(
        assign(&mut jobs, &mut machines, &mut team(99.0), 0.0, 3.0).len(),
        3
    );
}
