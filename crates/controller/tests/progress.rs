//! Replication of job progress: the leader broadcasts how many tasks of each job are done and
//! how many run. Every node must show the same counts, also one that has just started, and
//! after a failover.

mod common;

use common::{
    Environment, config_with_team, heartbeat, machine_row, nth_term, row, step_in_environment,
};
use dillcleat_controller::records::{self, OpenJob, TaskRecord};
use dillcleat_controller::{
    Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND, Timestamp,
};
use dillcleat_peer_protocol::{JobProgress, Message};
use dillcleat_wire::encode;
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{ExitReason, HEARTBEAT_PATH, TaskState, TaskStatus};

const START: Micros = 1000 * SECOND;
const JOB_ID: &str = "req-1";

fn job_progress(job: &str, done: u32, running: u32) -> JobProgress {
    let job = job.into();
    JobProgress { job, done, running }
}

fn peer_heartbeat(term: u64, is_leader: bool) -> Message {
    Message::Heartbeat {
        term,
        is_leader,
        store_reachable: true,
        workers_reachable: true,
        requests_per_s: 0,
    }
}

fn receive(node: &mut Node, at: Micros, from: &str, message: Message) {
    let (from, now) = (
        from.to_string(),
        Timestamp {
            monotonic: at,
            wall: at,
        },
    );
    node.handle(now, Input::Peer { from, message });
}

/// Ticks for half a second and returns the progress that the node broadcasts. Renewals of
/// the leader's lease succeed, and other calls are not answered.
fn run_and_collect_progress(
    node: &mut Node,
    at: &mut Micros,
    env: &mut Environment,
) -> Vec<JobProgress> {
    let mut all = Vec::new();
    for _ in 0..10 {
        *at += 50 * MILLISECOND;
        let now = Timestamp {
            monotonic: *at,
            wall: *at,
        };
        for output in node.handle(now, Input::Tick) {
            match output {
                Output::Peer {
                    message: Message::JobProgress(jobs),
                } => all.extend(jobs),
                Output::Store {
                    id,
                    call: StoreRequest::RenewLease { .. },
                    ..
                } => {
                    let reply = Ok(StoreResponse::LeaseRenewedOrRevoked);
                    step_in_environment(node, *at, Input::Store { id, reply }, &[], env);
                }
                _ => {}
            }
        }
    }
    all
}

/// A leader with a job of one task, which is placed on machine `m`.
fn leader() -> (Node, Micros, Environment) {
    let mut node = Node::new(config_with_team());
    let open = OpenJob {
        spec: JobSpec::plain(JOB_ID, JobKind::Batch, 1, 1.0),
        submitted_at_us: START,
        tasks_per_chunk: 25,
        without_state_record: true,
        parallelism_limit: None,
    };
    let chunk = TaskRecord {
        placed: vec![(0, 1, "m".to_string(), 1).into()],
        ..TaskRecord::default()
    };
    let tasks = records::tasks_key(JOB_ID, records::TaskRange::Chunk(0));
    let mut env = Environment {
        queue_rows: vec![row(records::open_job_key(JOB_ID), &open)],
        task_rows: vec![row(tasks, &chunk)],
        ..Environment::default()
    };
    step_in_environment(
        &mut node,
        START,
        Input::Tick,
        &[machine_row("m", "a")],
        &mut env,
    );
    assert_eq!(node.leading(), Some(nth_term(1)));
    (node, START, env)
}

/// The machine sends a heartbeat with the task in the given state.
fn send_heartbeat(
    node: &mut Node,
    at: Micros,
    sequence: u64,
    state: TaskState,
    env: &mut Environment,
) {
    let task = TaskStatus {
        task: format!("{JOB_ID}/0").parse().expect("a task's name"),
        attempt: 1,
        state,
        reason: (state == TaskState::Exited).then_some(ExitReason::Done),
        checkpoint_saved: None,
    };
    let input = Input::Request {
        id: RequestId(sequence),
        method: "POST".into(),
        target: HEARTBEAT_PATH.into(),
        body: encode(&heartbeat(sequence, vec![task])),
    };
    step_in_environment(node, at, input, &[], env);
}

/// A node that starts later has missed all changes, and the counts of a running service may not
/// change again for hours.
#[test]
fn leader_sends_all_progress_again_to_a_peer_that_becomes_reachable() {
    let (mut node, mut at, mut env) = leader();
    send_heartbeat(&mut node, at, 1, TaskState::Running, &mut env);
    let running = [job_progress(JOB_ID, 0, 1)];
    assert_eq!(
        run_and_collect_progress(&mut node, &mut at, &mut env),
        running
    );
    // The broadcast is repeated until the next scheduling cycle.
    while !run_and_collect_progress(&mut node, &mut at, &mut env).is_empty() {
        assert!(at < START + 3 * SECOND);
    }
    receive(&mut node, at, "n1", peer_heartbeat(nth_term(1), false));
    assert_eq!(
        run_and_collect_progress(&mut node, &mut at, &mut env),
        running
    );
    receive(&mut node, at, "n1", peer_heartbeat(nth_term(1), false));
    assert_eq!(run_and_collect_progress(&mut node, &mut at, &mut env), []);
    // Zero counts are sent at the job's end, so that peers remove its entry.
    send_heartbeat(&mut node, at, 2, TaskState::Exited, &mut env);
    assert_eq!(
        run_and_collect_progress(&mut node, &mut at, &mut env),
        [job_progress(JOB_ID, 0, 0)]
    );
    assert_eq!(node.progress(JOB_ID), None);
}

/// A new leader broadcasts only changes, so it must reset the counts of jobs of which no machine
/// reports a task any more.
#[test]
fn new_leader_resets_outdated_progress_of_the_previous_leader() {
    let mut node = Node::new(config_with_team());
    let previous = vec![job_progress(JOB_ID, 0, 3), job_progress("req-2", 1, 1)];
    receive(&mut node, START, "n1", Message::JobProgress(previous));
    let (mut at, mut env) = (START, Environment::default());
    step_in_environment(&mut node, at, Input::Tick, &[], &mut env);
    assert_eq!(node.leading(), Some(nth_term(1)));
    let mut all = Vec::new();
    // Counts that may be outdated are not sent to a peer that becomes reachable.
    receive(&mut node, at, "n1", peer_heartbeat(nth_term(1), false));
    while at < START + 9 * SECOND {
        all.extend(run_and_collect_progress(&mut node, &mut at, &mut env));
    }
    assert_eq!((all, node.progress(JOB_ID)), (vec![], Some((0, 3))));
    while at < START + 11 * SECOND {
        receive(&mut node, at, "n1", peer_heartbeat(nth_term(1), false));
        let more = run_and_collect_progress(&mut node, &mut at, &mut env);
        if !more.is_empty() {
            assert_eq!(
                more,
                [job_progress(JOB_ID, 0, 0), job_progress("req-2", 0, 0)]
            );
            assert_eq!(node.progress(JOB_ID), None);
            return;
        }
    }
    panic!("outdated counts were not reset within 11 s");
}

#[test]
fn progress_from_a_deposed_leader_is_ignored() {
    let mut node = Node::new(config_with_team());
    let progress = |done, running| Message::JobProgress(vec![job_progress(JOB_ID, done, running)]);
    receive(&mut node, START, "n1", peer_heartbeat(nth_term(1), true));
    receive(&mut node, START, "n1", progress(0, 3));
    assert_eq!(node.progress(JOB_ID), Some((0, 3)));
    receive(&mut node, START, "n2", peer_heartbeat(nth_term(2), true));
    receive(&mut node, START, "n2", progress(1, 2));
    receive(&mut node, START, "n1", progress(0, 3));
    assert_eq!(node.progress(JOB_ID), Some((1, 2)));
    // A leader also ignores progress that another node broadcasts.
    let (mut node, at, mut env) = leader();
    send_heartbeat(&mut node, at, 1, TaskState::Running, &mut env);
    run_and_collect_progress(&mut node, &mut at.clone(), &mut env);
    receive(&mut node, at, "n1", progress(0, 0));
    assert_eq!(node.progress(JOB_ID), Some((0, 1)));
}

/// The number of entries is bounded, and entries of jobs with running tasks must be kept.
#[test]
fn jobs_without_running_tasks_are_evicted_first() {
    const MAX_ENTRIES: usize = 64_000;
    const ENDED_JOBS: usize = 3 * MAX_ENTRIES;
    let mut node = Node::new(config_with_team());
    receive(
        &mut node,
        START,
        "n1",
        Message::JobProgress(vec![job_progress(JOB_ID, 0, 3)]),
    );
    let mut kept = 0;
    for i in 0..ENDED_JOBS {
        let job = format!("req-9{i}");
        let progress = Message::JobProgress(vec![job_progress(&job, 1, 0)]);
        receive(&mut node, START, "n1", progress);
    }
    for i in 0..ENDED_JOBS {
        kept += usize::from(node.progress(&format!("req-9{i}")).is_some());
    }
    assert_eq!(node.progress(JOB_ID), Some((0, 3)));
    assert!(kept < MAX_ENTRIES, "{kept}");
}

#[test]
fn progress_of_ten_running_jobs_on_each_of_6000_machines_is_kept() {
    const JOBS: usize = 6_000 * 10;
    let mut node = Node::new(config_with_team());
    for i in 0..JOBS {
        let progress = Message::JobProgress(vec![job_progress(&format!("req-9{i}"), 0, 1)]);
        receive(&mut node, START, "n1", progress);
    }
    let is_kept = |i: &usize| node.progress(&format!("req-9{i}")) == Some((0, 1));
    assert_eq!((0..JOBS).filter(is_kept).count(), JOBS);
}
