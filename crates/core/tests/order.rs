//! Who gets room, on small snapshots.

mod common;

use dillcleat_core::sched::{
    self, Assignment, JobView, MachineView, Room, TeamView, Victim, assign,
};
use dillcleat_core::workers::Images;
use dillcleat_wire::user::{JobSpec, Kind, Priority};
use std::collections::BTreeMap;
use std::rc::Rc;

fn spec(id: &str, tasks: u32) -> JobSpec {
    common::spec(id, Kind::Batch, tasks, 1.0)
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
        late: 0,
        remaining: 0.0,
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
        images: Images::default(),
        warm: 0,
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

/// The plain pass: the best machine is looked for anew for every task.
fn plain(
    jobs: &mut [JobView],
    machines: &mut [MachineView],
    teams: &mut [TeamView],
    mut training_cpus: f64,
    reserve: f64,
) -> Vec<Assignment> {
    fn place(
        jobs: &mut [JobView],
        i: usize,
        machines: &mut [MachineView],
        teams: &mut [TeamView],
        reserve: f64,
    ) -> Option<Assignment> {
        let job = &jobs[i];
        if job.waiting.is_empty() || !job.team_allows(teams) {
            return None;
        }
        let need = job.room();
        let kept = |m: &MachineView| {
            let ordinary = |o: &&MachineView| !o.spot && o.zone == m.zone;
            let free: f64 = machines.iter().filter(ordinary).map(|o| o.free.cpus).sum();
            let bound = !m.spot && job.spec.spot && job.spec.kind == Kind::Batch;
            reserve <= 0.0 || !bound || free - need.cpus + 1e-6 >= reserve
        };
        let rank = |m: &MachineView| {
            let image = m.images.iter().any(|(i, _)| **i == *job.spec.image);
            let spot = m.spot == job.spec.spot;
            let service = job.spec.kind == Kind::Service;
            let sign = if service && !image { 1.0 } else { -1.0 };
            let warm = if service || m.spot { 0 } else { m.warm };
            let cold = 9 - warm;
            let (cpus, memory) = (m.free.cpus * sign, m.free.memory_gb * sign);
            (spot, image, cold, cpus, memory)
        };
        let mut best: Option<usize> = None;
        for (m, view) in machines.iter().enumerate() {
            if view.free.holds(&need)
                && job.allows(view)
                && kept(view)
                && best.is_none_or(|b| rank(view) >= rank(&machines[b]))
            {
                best = Some(m);
            }
        }
        sched::put(&mut jobs[i], i, best?, machines, teams)
    }
    let mut made = Vec::new();
    let order = sched::order(jobs);
    for &i in &order {
        if jobs[i].spec.kind == Kind::Service || jobs[i].tiny {
            while let Some(a) = place(jobs, i, machines, teams, reserve) {
                made.push(a);
            }
        }
    }
    let mut training: Vec<usize> = order.clone();
    training.sort_by(|&a, &b| {
        let (a, b) = (&jobs[a], &jobs[b]);
        b.spec
            .priority
            .cmp(&a.spec.priority)
            .then(a.initial_size.total_cmp(&b.initial_size))
            .then(a.submitted.cmp(&b.submitted))
    });
    for i in training {
        while jobs[i].training > 0 && training_cpus + 1e-6 >= jobs[i].spec.cpus {
            let Some(a) = place(jobs, i, machines, teams, reserve) else {
                break;
            };
            training_cpus -= jobs[i].spec.cpus;
            made.push(a);
        }
    }
    for &i in &order {
        while let Some(a) = place(jobs, i, machines, teams, reserve) {
            made.push(a);
        }
    }
    made
}

/// Ranking machines once per job is for speed alone.
#[test]
fn the_fast_pass_places_as_the_plain_one() {
    let mut placed = 0;
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let specs: Vec<JobSpec> = (0..rng.usize(1..9))
            .map(|i| {
                let mut s = spec(&format!("j{i}"), rng.u32(1..14));
                s.cpus = f64::from(rng.u32(1..5));
                s.memory_gb = f64::from(rng.u32(1..9));
                s.image = format!("i{}", rng.u8(..3));
                s.spot = rng.bool();
                s.one_zone = rng.u8(..5) == 0;
                s.spread = !s.one_zone && rng.u8(..3) == 0;
                s.zone = (rng.u8(..6) == 0).then(|| "a".to_string());
                if rng.u8(..3) == 0 {
                    s.kind = Kind::Service;
                }
                s
            })
            .collect();
        let mut jobs: Vec<JobView> = specs
            .iter()
            .map(|s| {
                let training = rng.u32(..3);
                let mut v = view(s, f64::from(rng.u32(1..1000)), training);
                v.team = rng.usize(..2);
                v.tiny = rng.u8(..6) == 0;
                v
            })
            .collect();
        let mut machines: Vec<MachineView> = (0..rng.usize(1..20))
            .map(|i| {
                let zone = ["a", "b", "c"][rng.usize(..3)];
                let cpus = f64::from(rng.u32(..17));
                let mut m = machine(&format!("m{i}"), zone, cpus, rng.bool());
                m.free.memory_gb = f64::from(rng.u32(4..40));
                m.warm = rng.u32(..3);
                m.images = Rc::new(vec![(Rc::from(format!("i{}", rng.u8(..3))), 1.0)]);
                m
            })
            .collect();
        let mut teams = vec![
            team(f64::from(rng.u32(1..90))).remove(0),
            team(1e9).remove(0),
        ];
        let (training, reserve) = (f64::from(rng.u32(..9)), f64::from(rng.u32(..7)));
        let (mut jobs2, mut machines2) = (jobs.clone(), machines.clone());
        let mut teams2 = teams.clone();
        let slow = plain(&mut jobs2, &mut machines2, &mut teams2, training, reserve);
        let fast = assign(&mut jobs, &mut machines, &mut teams, training, reserve);
        assert_eq!(fast, slow, "seed {seed}");
        placed += fast.len();
    }
    assert!(placed > 4000, "{placed} placed");
}

/// Replicas once waited behind late arrays on the last ordinary machines.
#[test]
fn replicas_stop_the_least_work_and_no_more_than_they_need() {
    let mut service = spec("service", 3);
    service.kind = Kind::Service;
    service.priority = Priority::Production;
    service.spot = false;
    service.image = "held".into();
    let machines = || {
        let mut m = vec![
            machine("x", "a", 0.0, false),
            machine("y", "a", 1.0, false),
            machine("spot", "a", 0.0, true),
        ];
        m[0].images = Rc::new(vec![(Rc::from("held"), 1.0)]);
        m
    };
    let victim = |machine: usize, priority: Priority, ran: u64| Victim {
        machine,
        room: Room {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        priority,
        ran,
    };
    let victims = [
        victim(0, Priority::Normal, 50),
        victim(0, Priority::Normal, 20),
        victim(0, Priority::Production, 1),
        victim(1, Priority::Normal, 5),
        victim(2, Priority::Normal, 1),
    ];
    let mut jobs = vec![view(&service, 0.0, 0)];
    let stopped = sched::make_room(&mut jobs, &mut machines(), &mut team(99.0), &victims);
    // One takes the free room of y, which so has its image; the others stop
    // what has run least, there and on x.
    assert_eq!(stopped, [3, 1]);
    assert_eq!(jobs[0].waiting.len(), 0);
    // A team at its limit stops nobody.
    let mut jobs = vec![view(&service, 0.0, 0)];
    let stopped = sched::make_room(&mut jobs, &mut machines(), &mut team(1.0), &victims);
    assert_eq!(stopped, [0; 0]);
}
