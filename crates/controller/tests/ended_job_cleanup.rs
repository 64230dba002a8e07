//! Ended jobs must leave only their state records in the store, with a bounded number of reads
//! and writes, also across a failover.

mod common;

use common::fleet::Fleet;
use common::{config_with_team, machine_type};
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{MILLISECOND, SECOND};
use dillcleat_wire::encode;
use dillcleat_wire::user::{JOBS_PATH, JobKind, JobSpec, poll_path};

const JOB_COUNT: u32 = 240;

fn job_id(n: u32) -> String {
    format!("req-{n:06}")
}

#[test]
fn ended_jobs_leave_only_their_state_records() {
    let mut fleet = Fleet::new(config_with_team(), vec![machine_type(8.0)]);
    for name in ["m1", "m2", "m3"] {
        fleet.add_machine(name, "a", false);
    }
    fleet.advance(8 * SECOND);
    for n in 0..JOB_COUNT {
        let spec = JobSpec {
            team: "t".into(),
            ..JobSpec::plain(&job_id(n), JobKind::Batch, 1, 1.0)
        };
        fleet.task_durations.insert(job_id(n), 3 * SECOND);
        assert_eq!(
            fleet.user_request("POST", JOBS_PATH.into(), encode(&spec)),
            201
        );
        // One job in eight is cancelled at once, and again a second later.
        let cancelled = match n % 8 {
            3 => Some(n),
            7 => Some(n - 4),
            _ => None,
        };
        if let Some(n) = cancelled {
            assert_eq!(fleet.cancel(&job_id(n)), 200);
        }
        if n == JOB_COUNT / 2 {
            fleet.replace_leader();
        }
        fleet.advance(250 * MILLISECOND);
        // Polls are also answered during the failover.
        assert_eq!(
            fleet.user_request("GET", poll_path(&job_id(n)), Vec::new()),
            200
        );
    }
    fleet.advance(60 * SECOND);
    for n in 0..JOB_COUNT {
        let value = fleet
            .stored_value(&records::job_state_key(&job_id(n)))
            .expect("a state record");
        let record: JobStateRecord =
            dillcleat_wire::store::decode_value(&value).expect("a state record");
        assert_ne!(record.state, RecordedState::Open, "{}", job_id(n));
    }
    assert_eq!(fleet.key_count("j/"), JOB_COUNT as usize);
    assert_eq!(fleet.key_count(records::QUEUE_PREFIX), 0);
    assert_eq!(fleet.key_count(records::TASKS_PREFIX), 0);
    // All other keys are of machines and of shared records.
    let other_keys =
        fleet.key_count(records::MACHINES_PREFIX) + fleet.key_count(records::SHARED_PREFIX);
    assert_eq!(fleet.key_count(""), JOB_COUNT as usize + other_keys);
    // Five mutations per job: its description, placement and state record are written, and the
    // description and the placement are deleted. A job that is cancelled before it is placed
    // has a cancellation record instead of a placement.
    let mutations = fleet.mutation_count("j/")
        + fleet.mutation_count(records::QUEUE_PREFIX)
        + fleet.mutation_count(records::TASKS_PREFIX);
    let max_mutations = 5 * JOB_COUNT;
    assert!(
        mutations <= max_mutations as usize,
        "{mutations} mutations, at most {max_mutations}"
    );
    // Almost all polls are answered from the cache.
    assert!(
        fleet.single_key_reads <= 4,
        "{} reads",
        fleet.single_key_reads
    );
    assert!((0..JOB_COUNT).all(|n| !fleet.node.has_open_job(&job_id(n))));
}
