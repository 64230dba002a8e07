//! Estimates of jobs that a leader replicates to its peers survive a failover.

mod common;

use common::{Environment, nth_term, step_in_environment};
use dillcleat_controller::records::{OpenJob, open_job_key};
use dillcleat_controller::{Input, Micros, Node, Output, SECOND, Timestamp};
use dillcleat_peer_protocol::{ClassRunTime, Estimates, JobEstimate, Message};
use dillcleat_wire::store::{KeyValue, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec};

const START: Micros = 1000 * SECOND;

/// Estimates of one job with this size and credit, in CPU-seconds. On the wire the credit of an
/// ageing job is relative to the sender's virtual time, here 500.
fn estimates(term: u64, credit: f64, size: f64) -> Estimates {
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
            ageing_credit: credit,
            is_ageing: true,
            trained: true,
            samples: vec![20.0, 22.0],
        }],
    }
}

/// Passes the estimates to a node and elects it `delay` later. Returns the size, the credit and
/// the number of samples that the node then replicates for the job as leader. The node's
/// virtual time starts at zero, so that the returned credit is the received one plus the
/// sender's virtual time.
fn replicated_after_election(received: Estimates, delay: Micros) -> (f64, f64, usize) {
    let mut node: Node = common::three_zone_node();
    let spec = JobSpec {
        team: "books".into(),
        ..JobSpec::plain("req-1", JobKind::Batch, 50, 2.0)
    };
    let open = OpenJob {
        spec,
        submitted_at_us: 0,
        tasks_per_chunk: 64,
        without_state_record: true,
        parallelism_limit: None,
    };
    let mut env = Environment::default();
    env.queue_rows.push(KeyValue {
        key: open_job_key("req-1"),
        value: encode_value(&open),
        version: 3,
        lease: None,
    });
    let from = "n1".to_string();
    let message = Message::Estimates(received);
    step_in_environment(
        &mut node,
        START,
        Input::Peer { from, message },
        &[],
        &mut env,
    );
    let at = START + delay;
    step_in_environment(&mut node, at, Input::Tick, &[], &mut env);
    assert_eq!(node.leading(), Some(nth_term(1)));
    let at = at + SECOND * 9 / 10;
    let now = Timestamp {
        monotonic: at,
        wall: at,
    };
    let mut jobs = Vec::new();
    for output in node.handle(now, Input::Tick) {
        if let Output::Peer {
            message: Message::Estimates(estimates),
        } = output
        {
            jobs.extend(estimates.jobs);
        }
    }
    let job = jobs
        .iter()
        .find(|j| j.job == "req-1")
        .expect("the job's estimate is replicated");
    (job.size, job.ageing_credit, job.samples.len())
}

/// Guards against resetting a large job's ageing credit at every failover. The expected credit
/// is the sender's virtual time of 500 plus the received -200.
#[test]
fn new_leader_continues_with_replicated_estimates() {
    assert_eq!(
        replicated_after_election(estimates(0, -200.0, 2100.0), SECOND),
        (2100.0, 300.0, 2)
    );
}

/// Without valid estimates the job has its initial size: 50 tasks of 2 CPUs at the configured
/// initial estimate of 60 s.
#[test]
fn new_leader_ignores_invalid_and_outdated_estimates() {
    let initial = (6000.0, 0.0, 0);
    let (size, _, _) = replicated_after_election(estimates(0, -200.0, -1.0), SECOND);
    assert!(size > 0.0);
    assert_eq!(
        replicated_after_election(estimates(nth_term(1), -200.0, 2100.0), SECOND),
        initial,
        "estimates of the receiver's own term are ignored"
    );
    assert_eq!(
        replicated_after_election(estimates(0, -200.0, 2100.0), 700 * SECOND).1,
        0.0,
        "outdated estimates are ignored"
    );
    assert_eq!(
        replicated_after_election(estimates(0, -900.0, 2100.0), SECOND).1,
        0.0,
        "the credit would be 500 - 900"
    );
}
