//! Who gets room, on small scenes.

mod common;

use common::{Job, floor, line, machine, team};
use dillcleat_sched::placement_policy::PlacementPolicy;
use dillcleat_sched::preemption::{PreemptionCandidate, choose_preemptions};
use dillcleat_sched::{
    CapacityIndex, CycleLimits, JobView, MachineView, Resources, SlabIndex, TeamAllowance,
    run_cycle,
};
use dillcleat_wire::user::{JobKind, JobSpec, Priority};
use std::rc::Rc;

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
}

/// Each placement of a pass as job and machine, one for each task.
fn pass(
    jobs: &[Job],
    floor: &mut CapacityIndex,
    teams: &mut [TeamAllowance],
    training_cpus: f64,
    reserve: f64,
) -> Vec<(SlabIndex, SlabIndex)> {
    let terms = CycleLimits {
        virtual_time: 0.0,
        training_cpus,
        service_headroom_cpus: reserve,
    };
    let view = |place: SlabIndex| jobs.get(place as usize).map(Job::view);
    let made = run_cycle(&line(jobs), view, floor, teams, terms).assignments;
    made.into_iter()
        .flat_map(|a| std::iter::repeat_n((a.job, a.machine), a.tasks as usize))
        .collect()
}

/// Which jobs got how many slots, in the order of the first.
fn served(
    jobs: &[Job],
    machines: &[MachineView],
    cpus: f64,
    training: f64,
) -> Vec<(String, usize)> {
    let made = pass(jobs, &mut floor(machines), &mut team(cpus), training, 0.0);
    let mut out: Vec<(String, usize)> = Vec::new();
    for (job, _) in made {
        let id = jobs[job as usize].spec.id.clone();
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
        served(&jobs, &machines, 99.0, 2.0),
        counts(&[("service", 2), ("tiny", 1), ("big", 2), ("small", 5)])
    );
}

#[test]
fn training_stops_at_its_share() {
    let jobs = vec![
        Job::new(spec("a", 9), 200.0, 2),
        Job::new(spec("b", 9), 100.0, 2),
    ];
    let machines = vec![machine("a", 3.0, true)];
    // The smaller initial size trains first; the rest goes by virtual size.
    assert_eq!(served(&jobs, &machines, 99.0, 1.0), counts(&[("b", 3)]));
    let jobs = vec![
        Job::new(spec("a", 9), 200.0, 2),
        Job::new(spec("b", 9), 100.0, 0),
    ];
    assert_eq!(
        served(&jobs, &machines, 99.0, 2.0),
        counts(&[("a", 2), ("b", 1)])
    );
}

#[test]
fn a_team_at_its_limit_is_skipped() {
    let mut jobs = vec![
        Job::new(spec("a", 9), 1.0, 0),
        Job::new(spec("b", 9), 2.0, 0),
    ];
    jobs[1].team = 1;
    let mut teams = vec![team(2.0).remove(0), team(99.0).remove(0)];
    let mut floor = floor(&[machine("a", 6.0, true)]);
    let made = pass(&jobs, &mut floor, &mut teams, 0.0, 0.0);
    let first = made.iter().filter(|m| m.0 == 0).count();
    assert_eq!((first, made.len()), (2, 6));
}

#[test]
fn zones_spot_types_and_spread_are_kept() {
    let mut s = spec("s", 5);
    s.spread = true;
    s.spot = false;
    let mut room = floor(&[
        machine("b", 9.0, true),
        machine("a", 9.0, false),
        machine("b", 1.0, false),
    ]);
    let jobs = [Job::new(s, 1.0, 0)];
    let made = pass(&jobs, &mut room, &mut team(99.0), 0.0, 0.0);
    let on = |m: SlabIndex| made.iter().filter(|x| x.1 == m).count();
    assert_eq!((on(0), on(1), on(2)), (0, 3, 1));
    let mut one = spec("one", 4);
    one.single_zone = true;
    let mut room = floor(&[machine("a", 2.0, true), machine("b", 2.0, true)]);
    let jobs = [Job::new(one, 1.0, 0)];
    let made = pass(&jobs, &mut room, &mut team(99.0), 0.0, 0.0);
    assert_eq!(made.len(), 2);
    assert_eq!(made[0].1, made[1].1);
}

/// Replicas once waited behind spot work on ordinary machines.
#[test]
fn spot_work_leaves_the_reserve_to_services() {
    let jobs = [Job::new(spec("batch", 9), 1.0, 0)];
    let mut room = floor(&[machine("a", 5.0, false), machine("a", 1.0, true)]);
    let made = pass(&jobs, &mut room, &mut team(99.0), 0.0, 3.0);
    let ordinary = made.iter().filter(|a| a.1 == 0).count();
    assert_eq!((ordinary, made.len()), (2, 3));
    let mut service = spec("service", 9);
    service.kind = JobKind::Service;
    service.spot = false;
    let jobs = [Job::new(service, 0.0, 0)];
    assert_eq!(pass(&jobs, &mut room, &mut team(99.0), 0.0, 3.0).len(), 3);
}

/// A task that needs no CPUs goes where none are left.
#[test]
fn what_needs_no_cpus_runs_on_machines_without_any() {
    let mut s = spec("memory", 3);
    s.cpus = 0.0;
    s.memory_gb = 30.0;
    let mut room = floor(&[machine("a", 0.0, true)]);
    let jobs = [Job::new(s, 1.0, 0)];
    assert_eq!(pass(&jobs, &mut room, &mut team(9.0), 0.0, 0.0).len(), 2);
}

/// A job of a plain pass, with its view as it changes.
type Plain<'a> = (&'a Job, JobView<'a>);

/// The best machine for the job's next task, looked for among all.
fn best(job: &JobView, machines: &[MachineView], kept: PlacementPolicy) -> Option<usize> {
    let need = job.resources();
    let spared = |m: &MachineView, reserve: f64| {
        let ordinary = |o: &&MachineView| !o.spot && !o.cordoned && o.zone == m.zone;
        let free: f64 = machines.iter().filter(ordinary).map(|o| o.free.cpus).sum();
        let bound = !m.spot && job.spec.spot && job.spec.kind == JobKind::Batch;
        reserve <= 0.0 || !bound || free - need.cpus + 1e-6 >= reserve
    };
    let rank = |i: usize, m: &MachineView| {
        let image = m.images.iter().any(|(i, _)| **i == *job.spec.image);
        let spot = m.spot == job.spec.spot;
        let service = job.spec.kind == JobKind::Service;
        let sign = if service && !image { 1.0 } else { -1.0 };
        let warm = if service || m.spot {
            0
        } else {
            m.service_images
        };
        let (cpus, memory) = (m.free.cpus * sign, m.free.memory_gb * sign);
        let order = (spot, image, 9 - warm, cpus, memory, i as f64 * sign);
        (!m.outbound_unreachable, order)
    };
    let mut found: Option<usize> = None;
    for (i, view) in machines.iter().enumerate() {
        if view.free.fits(&need)
            && match kept {
                PlacementPolicy::Standard {
                    service_headroom_cpus,
                } => job.allows(view) && spared(view, service_headroom_cpus),
                PlacementPolicy::IgnoreHeadroom => job.allows(view),
                PlacementPolicy::LastResort => true,
            }
            && job.rules_allow(view)
            && found.is_none_or(|b| rank(i, view) > rank(b, &machines[b]))
        {
            found = Some(i);
        }
    }
    found
}

fn order(jobs: &[Plain]) -> Vec<usize> {
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
            .then(a.submitted.cmp(&b.submitted))
            .then(a.spec.id.cmp(&b.spec.id))
    });
    order
}

/// The plain pass: every job is looked at, and for every task the best machine.
fn plain(
    jobs: &mut [Plain],
    machines: &mut [MachineView],
    teams: &mut [TeamAllowance],
    mut training_cpus: f64,
    reserve: f64,
) -> Vec<(SlabIndex, SlabIndex)> {
    let mut place = |jobs: &mut [Plain], i: usize| -> Option<(SlabIndex, SlabIndex)> {
        let job = &mut jobs[i].1;
        if job.waiting_tasks == 0 || !job.team_allows(teams) {
            return None;
        }
        let ways = [
            PlacementPolicy::Standard {
                service_headroom_cpus: reserve,
            },
            PlacementPolicy::IgnoreHeadroom,
            PlacementPolicy::LastResort,
        ];
        let ways = ways.into_iter().take(if job.starving { 3 } else { 1 });
        let m = ways
            .into_iter()
            .find_map(|kept| best(job, machines, kept))?;
        job.starving = false;
        job.assign_next_task(&mut machines[m], teams);
        Some((i as SlabIndex, m as SlabIndex))
    };
    let mut made = Vec::new();
    let order = order(jobs);
    for &i in &order {
        if jobs[i].0.spec.kind == JobKind::Service || jobs[i].0.tiny {
            while let Some(a) = place(jobs, i) {
                made.push(a);
            }
        }
    }
    let mut training: Vec<usize> = order.clone();
    training.sort_by(|&a, &b| {
        let (a, b) = (jobs[a].0, jobs[b].0);
        b.spec
            .priority
            .cmp(&a.spec.priority)
            .then(a.initial_size.total_cmp(&b.initial_size))
            .then(a.submitted.cmp(&b.submitted))
            .then(a.spec.id.cmp(&b.spec.id))
    });
    for i in training {
        let cpus = jobs[i].0.spec.cpus;
        while jobs[i].1.training_tasks > 0 && training_cpus + 1e-6 >= cpus {
            let Some(a) = place(jobs, i) else {
                break;
            };
            training_cpus -= cpus;
            made.push(a);
        }
    }
    for &i in &order {
        while let Some(a) = place(jobs, i) {
            made.push(a);
        }
    }
    made
}

fn random_job(rng: &mut fastrand::Rng, i: usize) -> Job {
    let mut s = spec(&format!("j{i}"), rng.u32(1..14));
    s.cpus = f64::from(rng.u32(1..5));
    s.memory_gb = f64::from(rng.u32(1..9));
    s.image = format!("i{}", rng.u8(..3));
    s.spot = rng.bool();
    s.single_zone = rng.u8(..5) == 0;
    s.spread = !s.single_zone && rng.u8(..3) == 0;
    s.zone = (rng.u8(..6) == 0).then(|| "a".to_string());
    s.types = (rng.u8(..8) == 0).then(|| vec!["other".to_string()]);
    if rng.u8(..5) == 0 {
        s.priority = Priority::High;
    }
    let service = rng.u8(..3) == 0;
    if service {
        s.kind = JobKind::Service;
    }
    let training = if service { 0 } else { rng.u32(..3) };
    let mut job = Job::new(s, f64::from(rng.u32(1..1000)), training);
    if !service && rng.u8(..3) == 0 {
        job.virtual_size = 0.0;
        job.remaining = f64::from(rng.u32(1..50));
    }
    job.team = rng.usize(..2);
    job.tiny = !service && rng.u8(..6) == 0;
    if job.tiny {
        job.training = 0;
    }
    job.submitted = rng.u64(..3);
    job.starving = rng.u8(..4) == 0;
    job
}

fn random_machine(rng: &mut fastrand::Rng) -> MachineView {
    let zone = ["a", "b", "c"][rng.usize(..3)];
    let mut m = machine(zone, f64::from(rng.u32(..17)), rng.bool());
    m.free.memory_gb = f64::from(rng.u32(4..40));
    m.service_images = if m.spot { 0 } else { rng.u32(..3) };
    m.images = Rc::new(vec![(Rc::from(format!("i{}", rng.u8(..3))), 1.0)]);
    m.cordoned = rng.u8(..9) == 0;
    m.outbound_unreachable = rng.u8(..5) == 0;
    if rng.u8(..6) == 0 {
        m.machine_type = "other".into();
    }
    if rng.u8(..6) == 0 {
        m.failed_jobs = vec![Rc::from(format!("j{}", rng.u8(..4)))];
    }
    m
}

/// Lanes, ranked machines and shapes that are left as a whole are for speed
/// alone, on a floor that has seen changes as on one that is new.
#[test]
fn the_indexed_pass_places_as_the_plain_one() {
    let mut placed = 0;
    for seed in 0..600 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let jobs: Vec<Job> = (0..rng.usize(1..14))
            .map(|i| random_job(&mut rng, i))
            .collect();
        let mut room = CapacityIndex::new();
        let mut machines = Vec::new();
        for place in 0..rng.usize(1..20) {
            for _ in 0..rng.usize(1..3) {
                // What stood there before leaves nothing behind.
                let m = random_machine(&mut rng);
                room.set(place as SlabIndex, Some(m.clone()));
                machines.truncate(place);
                machines.push(m);
            }
        }
        room.set(99, Some(machine("a", 16.0, false)));
        room.set(99, None);
        let mut teams = vec![
            team(f64::from(rng.u32(1..90))).remove(0),
            team(1e9).remove(0),
        ];
        let (training, reserve) = (f64::from(rng.u32(..9)), f64::from(rng.u32(..7)));
        let mut teams2 = teams.clone();
        let mut seen: Vec<Plain> = jobs.iter().map(|j| (j, j.view())).collect();
        let slow = plain(&mut seen, &mut machines, &mut teams2, training, reserve);
        let fast = pass(&jobs, &mut room, &mut teams, training, reserve);
        assert_eq!(fast, slow, "seed {seed}");
        for (place, m) in machines.iter().enumerate() {
            let left = room.view(place as SlabIndex).map(|m| m.free);
            assert_eq!(left, Some(m.free), "seed {seed}");
        }
        placed += fast.len();
    }
    assert!(placed > 8000, "{placed} placed");
}

/// The line under change: jobs come, age, train, stop ageing and go, and the
/// order stays that of a plain sort by what each of them is at the time.
#[test]
fn the_line_orders_as_a_plain_sort_while_everything_changes() {
    let mut compared = 0;
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut clock = 0.0;
        let mut line = dillcleat_sched::JobQueue::default();
        let mut jobs: Vec<Option<(Job, bool)>> = vec![None; 12];
        for _ in 0..200 {
            let i = rng.usize(..jobs.len());
            match rng.u8(..5) {
                0 => jobs[i] = None,
                1 | 2 => {
                    let job = random_job(&mut rng, i);
                    let fixed = job.spec.kind == JobKind::Service || rng.u8(..8) == 0;
                    jobs[i] = Some((job, fixed));
                }
                3 => {
                    let time = f64::from(rng.u32(..200));
                    clock += time;
                    for (job, _) in jobs.iter_mut().flatten().filter(|(_, fixed)| !fixed) {
                        job.virtual_size = (job.virtual_size - time).max(0.0);
                    }
                }
                _ => {
                    if let Some((job, false)) = &mut jobs[i] {
                        job.virtual_size = f64::from(rng.u32(..500));
                    }
                }
            }
            let standing = jobs[i].as_ref().map(|(j, fixed)| j.standing(clock, *fixed));
            line.set(i as SlabIndex, standing);
            while let Some(place) = line.next_aged_to_zero(clock) {
                let job = jobs[place as usize].as_ref();
                let standing = job.map(|(j, fixed)| j.standing(clock, *fixed));
                line.set(place, standing);
            }
            let there: Vec<(SlabIndex, &Job, bool)> = jobs
                .iter()
                .enumerate()
                .filter_map(|(i, j)| j.as_ref().map(|(j, fixed)| (i as SlabIndex, j, *fixed)))
                .collect();
            let seen: Vec<Job> = there
                .iter()
                .map(|(_, j, fixed)| Job {
                    // What is left counts among those that have aged to zero.
                    remaining: if *fixed || j.virtual_size > 0.0 {
                        0.0
                    } else {
                        j.remaining
                    },
                    ..(*j).clone()
                })
                .collect();
            let views: Vec<Plain> = seen.iter().map(|j| (j, j.view())).collect();
            let plain: Vec<SlabIndex> = order(&views).into_iter().map(|i| there[i].0).collect();
            let indexed: Vec<SlabIndex> = line.iter_in_order(clock).collect();
            assert_eq!(indexed, plain, "seed {seed}");
            compared += plain.len();
        }
    }
    assert!(compared > 30_000, "{compared} compared");
}

/// Replicas once waited behind late arrays on the last ordinary machines.
#[test]
fn replicas_stop_the_least_work_and_no_more_than_they_need() {
    let mut service = spec("service", 3);
    service.kind = JobKind::Service;
    service.priority = Priority::Production;
    service.spot = false;
    service.image = "held".into();
    let machines = || {
        let mut m = vec![
            machine("a", 0.0, false),
            machine("a", 1.0, false),
            machine("a", 0.0, true),
        ];
        m[0].images = Rc::new(vec![(Rc::from("held"), 1.0)]);
        m
    };
    let victim = |machine: usize, priority: Priority, ran: u64| PreemptionCandidate {
        machine,
        resources: Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        priority,
        run_time_us: ran,
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
    let stopped = choose_preemptions(&mut jobs, &mut machines(), &mut team(99.0), &victims);
    // One takes the free room of y, which so has its image; the others stop
    // what has run least, there and on x.
    assert_eq!(stopped, [3, 1]);
    assert_eq!(jobs[0].waiting_tasks, 0);
    // A team at its limit stops nobody.
    let mut jobs = vec![job.view()];
    let stopped = choose_preemptions(&mut jobs, &mut machines(), &mut team(1.0), &victims);
    assert_eq!(stopped, [0; 0]);
}
