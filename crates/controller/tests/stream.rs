//! Jobs of one task come four a second for a minute, a quarter of them cancelled, while the
//! leader changes: what each costs the state service, and what is left of it.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{MILLISECOND, SECOND};
use dillcleat_wire::encode;
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, poll_path};

const JOBS: u32 = 240;

fn id(n: u32) -> String {
    format!("req-{n:06}")
}

#[test]
fn of_a_job_that_has_ended_nothing_stays_but_its_mark() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    for name in ["m1", "m2", "m3"] {
        fleet.add_machine(name, "a", false);
    }
    fleet.advance(8 * SECOND);
    for n in 0..JOBS {
        let spec = JobSpec {
            team: "t".into(),
            ..JobSpec::plain(&id(n), JobKind::Batch, 1, 1.0)
        };
        fleet.task_durations.insert(id(n), 3 * SECOND);
        assert_eq!(
            fleet.user_request("POST", JOBS_PATH.into(), encode(&spec)),
            201
        );
        // Every fourth is cancelled: in turn at once, and while it runs or waits.
        let cancelled = match n % 8 {
            3 => Some(n),
            7 => Some(n - 4),
            _ => None,
        };
        if let Some(n) = cancelled {
            assert_eq!(fleet.cancel(&id(n)), 200);
        }
        if n == JOBS / 2 {
            fleet.replace_leader();
        }
        fleet.advance(250 * MILLISECOND);
        // Every user asks, also while the leader changes.
        assert_eq!(
            fleet.user_request("GET", poll_path(&id(n)), Vec::new()),
            200
        );
    }
    fleet.advance(60 * SECOND);
    for n in 0..JOBS {
        let mark = fleet
            .stored_value(&records::job_key(&id(n)))
            .expect("a mark");
        let mark: JobStateRecord = dillcleat_wire::store::decode_value(&mark).expect("a mark");
        assert_ne!(mark.state, RecordedState::Open, "{}", id(n));
    }
    assert_eq!(fleet.key_count("j/"), JOBS as usize);
    assert_eq!(fleet.key_count(records::QUEUE), 0);
    assert_eq!(fleet.key_count(records::TASKS), 0);
    // Nothing else is kept of them, by whatever name: machines and the shared records.
    let rest = fleet.key_count(records::MACHINES) + fleet.key_count(records::SHARED);
    assert_eq!(fleet.key_count(""), JOBS as usize + rest);
    // Description, placement, mark, and both dropped. What is cancelled before it is placed
    // has a row of that instead, and what is cancelled later is made up for by ends that are
    // written together.
    let own = fleet.change_count("j/")
        + fleet.change_count(records::QUEUE)
        + fleet.change_count(records::TASKS);
    let most = 5 * JOBS;
    assert!(own <= most as usize, "{own} changes, at most {most}");
    // What was told is known, here and by the transactions themselves.
    assert!(
        fleet.single_key_reads <= 4,
        "{} reads",
        fleet.single_key_reads
    );
    assert!((0..JOBS).all(|n| !fleet.node.holds(&id(n))));
}
