//! What a leader has learned outlives it, as far as it was told.

mod common;

use common::{Environment, step_with};
use dillcleat_controller::records::{OpenJob, open_key};
use dillcleat_controller::{Input, Micros, Node, Output, SECOND, Timestamp};
use dillcleat_peer_protocol::{ClassRunTime, Estimates, JobEstimate, Message};
use dillcleat_wire::store::{KeyValue, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec};

const START: Micros = 1000 * SECOND;

fn learned(term: u64, credit: f64, size: f64) -> Estimates {
    Estimates {
        term,
        virtual_time: 500.0,
        classes: vec![ClassRunTime {
            class: "merge".into(),
            mean_s: 33.0,
        }],
        jobs: vec![JobEstimate {
            job: "req-1".into(),
            initial_size: 6000.0,
            size,
            credit,
            is_ageing: true,
            trained: true,
            samples: vec![20.0, 22.0],
        }],
    }
}

/// What a leader that is elected `after` it was told so tells of the job, with its
/// clock at zero: its size, its credit and its samples.
fn taken_up(told: Estimates, after: Micros) -> (f64, f64, usize) {
    let mut node: Node = common::three_zone_node();
    let spec = JobSpec {
        team: "books".into(),
        ..JobSpec::plain("req-1", JobKind::Batch, 50, 2.0)
    };
    let open = OpenJob {
        spec,
        submitted_at_us: 0,
        chunk: 64,
        unmarked: true,
        parallelism_limit: None,
    };
    let mut env = Environment::default();
    env.queue_rows.push(KeyValue {
        key: open_key("req-1"),
        value: encode_value(&open),
        version: 3,
        lease: None,
    });
    let from = "n1".to_string();
    let message = Message::Estimates(told);
    step_with(
        &mut node,
        START,
        Input::Peer { from, message },
        &[],
        &mut env,
    );
    let at = START + after;
    step_with(&mut node, at, Input::Tick, &[], &mut env);
    assert_eq!(node.leading(), Some(1));
    let at = at + SECOND * 9 / 10;
    let now = Timestamp {
        monotonic: at,
        wall: at,
    };
    let mut jobs = Vec::new();
    for output in node.handle(now, Input::Tick) {
        if let Output::Peer {
            message: Message::Estimates(l),
        } = output
        {
            jobs.extend(l.jobs);
        }
    }
    let job = jobs
        .iter()
        .find(|j| j.job == "req-1")
        .expect("it is told of");
    (job.size, job.credit, job.samples.len())
}

/// Large jobs once waited anew at every change of leader: their ages and samples went
/// with the leader before.
#[test]
fn a_new_leader_goes_on_from_what_was_learned() {
    assert_eq!(
        taken_up(learned(0, -200.0, 2100.0), SECOND),
        (2100.0, 300.0, 2)
    );
}

/// What is of no term before, old, or no size costs what is lost without it: 50 tasks
/// of 2 CPUs and a guess of 60 s, which is no one's but the setting's.
#[test]
fn what_may_not_be_used_is_not() {
    let anew = (6000.0, 0.0, 0);
    let (guessed, _, _) = taken_up(learned(0, -200.0, -1.0), SECOND);
    assert!(guessed > 0.0);
    assert_eq!(
        taken_up(learned(1, -200.0, 2100.0), SECOND),
        anew,
        "its own term"
    );
    assert_eq!(
        taken_up(learned(0, -200.0, 2100.0), 700 * SECOND).1,
        0.0,
        "old"
    );
    assert_eq!(
        taken_up(learned(0, -900.0, 2100.0), SECOND).1,
        0.0,
        "no age"
    );
}
