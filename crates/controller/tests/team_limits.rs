//! What a cancelled task holds of its team's limit, with its machine out of reach.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::records;
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::user::{JobKind, JobSpec};

const LIMIT: u32 = 4;

/// When the leader ends, counted from the cancellation.
#[derive(Debug, Clone, Copy)]
enum Ends {
    Never,
    Before,
    After,
    Both,
}

/// As many tasks as the limit allows, by CPUs or by accelerators.
fn job(id: &str, kind: JobKind, gpus: bool) -> JobSpec {
    JobSpec {
        gpus: if gpus { 1.0 } else { 0.0 },
        spot: false,
        ..JobSpec::plain(id, kind, LIMIT, 1.0)
    }
}

/// A team at its limit, with all its tasks on one of two machines.
fn at_limit(kind: JobKind, gpus: bool) -> Fleet {
    let mut config = config_with_team();
    match gpus {
        true => config.teams[0].gpus_max = f64::from(LIMIT),
        false => config.teams[0].cpus_max = f64::from(LIMIT),
    }
    let mut t = machine_type(8.0);
    t.gpus = 8.0;
    let mut fleet = Fleet::new(config, vec![t]);
    fleet.max_running_tasks = LIMIT as usize;
    fleet.add_machine("m0", "a", false);
    fleet.submit(job("req-000001", kind, gpus));
    fleet.advance(5 * SECOND);
    fleet.add_machine("m1", "b", false);
    fleet.advance(5 * SECOND);
    assert_eq!(fleet.machines_running("req-000001"), ["m0"]);
    fleet
}

/// The job is cancelled as its machine hangs or is cut off; when the next job of the team
/// starts, and whether its machine was deleted by then.
fn freed_after(
    mut fleet: Fleet,
    next: &JobSpec,
    ends: Ends,
    hangs: Option<Micros>,
) -> (Micros, bool) {
    let machine = fleet.worker("m0");
    (machine.hung, machine.heartbeats_lost, machine.inbound_lost) = match hangs {
        Some(_) => (true, false, false),
        None => (false, true, true),
    };
    if matches!(ends, Ends::Before | Ends::Both) {
        fleet.replace_leader();
        fleet.advance(SECOND);
    }
    let from = fleet.now;
    assert_eq!(fleet.cancel("req-000001"), 200);
    fleet.submit(next.clone());
    if matches!(ends, Ends::After | Ends::Both) {
        fleet.advance(SECOND);
        fleet.replace_leader();
    }
    while fleet.starts_of(&next.id).is_empty() && fleet.now < from + 40 * SECOND {
        if hangs.is_some_and(|time| fleet.now >= from + time)
            && let Some(m) = fleet.workers.get_mut("m0")
        {
            m.hung = false;
        }
        fleet.advance(SECOND / 10);
    }
    let deleted = !fleet.workers.contains_key("m0");
    let after = fleet.now - from;
    fleet.advance(SECOND);
    assert_eq!(
        fleet.cpus_used_by(&[&next.id]),
        LIMIT as usize,
        "all of it is free"
    );
    (after, deleted)
}

/// The same proof frees the place and the limit, whoever leads: what runs at once never
/// exceeds the limit (the workers check it), and none of it is lost.
#[test]
fn the_limit_is_freed_on_the_same_proof_as_the_place() {
    for kind in [JobKind::Batch, JobKind::Service] {
        for gpus in [false, true] {
            for ends in [Ends::Never, Ends::Before, Ends::After, Ends::Both] {
                let next = job("req-000002", kind, gpus);
                let case = format!("{kind:?} {gpus} {ends:?}");
                // Cut off: its deletion is the proof.
                let (after, deleted) = freed_after(at_limit(kind, gpus), &next, ends, None);
                assert!(deleted && after < 20 * SECOND, "{case}: {after}");
                // It goes on before that: its report is.
                let hangs = Some(3 * SECOND);
                let (after, deleted) = freed_after(at_limit(kind, gpus), &next, ends, hangs);
                assert!(!deleted && after < 6 * SECOND, "{case}: {after}");
            }
        }
    }
}

/// A cancellation meets a placement whose write has no answer yet; the leader ends then,
/// or doesn't. Nothing of it starts, and what it held of the limit is free.
#[test]
fn a_placement_that_is_being_written_holds_the_limit_until_it_is_settled() {
    for ends in [Ends::Never, Ends::After] {
        let mut fleet = at_limit(JobKind::Batch, false);
        assert_eq!(fleet.cancel("req-000001"), 200);
        fleet.advance(5 * SECOND);
        fleet.write_lag = 3 * SECOND;
        fleet.submit(job("req-000002", JobKind::Batch, false));
        fleet.advance(SECOND);
        fleet.cancel("req-000002");
        fleet.submit(job("req-000003", JobKind::Batch, false));
        fleet.advance(SECOND / 2);
        if matches!(ends, Ends::After) {
            fleet.replace_leader();
        }
        fleet.advance(30 * SECOND);
        assert_eq!(
            fleet.starts_of("req-000002"),
            Vec::<&common::fleet::TaskStart>::new()
        );
        assert_eq!(fleet.cpus_used_by(&["req-000003"]), LIMIT as usize);
        let tasks = records::tasks_key("req-000002", records::TaskRange::Chunk(0));
        assert_eq!(
            fleet.stored_value(&tasks),
            None,
            "nothing of it stays in the store"
        );
    }
}
