//! How many tasks of a job are done and run is told alike by every controller, soon after
//! it began to serve, and after a change of leader.

mod common;

use common::{Environment, config_with_team, machine_row, row, step_with};
use dillcleat_controller::records::{self, OpenJob, TaskChunk};
use dillcleat_controller::{
    Input, MILLISECOND, Micros, Node, Output, RequestId, SECOND, Timestamp,
};
use dillcleat_peer_protocol::{JobProgress, Message};
use dillcleat_wire::encode;
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{ExitReason, HEARTBEAT_PATH, Heartbeat, TaskState, TaskStatus};

const START: Micros = 1000 * SECOND;
const JOB: &str = "req-1";

fn told(job: &str, done: u32, running: u32) -> JobProgress {
    let job = job.into();
    JobProgress { job, done, running }
}

fn beat(term: u64, leads: bool) -> Message {
    Message::Heartbeat {
        term,
        is_leader: leads,
        store_reachable: true,
        workers_reachable: true,
        requests_per_s: 0,
    }
}

fn hear(node: &mut Node, at: Micros, from: &str, message: Message) {
    let (from, now) = (
        from.to_string(),
        Timestamp {
            monotonic: at,
            wall: at,
        },
    );
    node.handle(now, Input::Peer { from, message });
}

/// What the beats of half a second tell. The lead is kept, other calls go unanswered.
fn tells(node: &mut Node, at: &mut Micros, env: &mut Environment) -> Vec<JobProgress> {
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
                    step_with(node, *at, Input::Store { id, reply }, &[], env);
                }
                _ => {}
            }
        }
    }
    all
}

/// A leader of a job with one task, which runs on a machine.
fn leader() -> (Node, Micros, Environment) {
    let mut node = Node::new(config_with_team());
    let open = OpenJob {
        spec: JobSpec::plain(JOB, JobKind::Batch, 1, 1.0),
        submitted_at_us: START,
        chunk: 25,
        unmarked: true,
        parallelism_limit: None,
    };
    let chunk = TaskChunk {
        placed: vec![(0, 1, "m".to_string(), 1).into()],
        ..TaskChunk::default()
    };
    let tasks = records::tasks_key(JOB, records::TaskRange::Chunk(0));
    let mut env = Environment {
        queue_rows: vec![row(records::open_key(JOB), &open)],
        task_rows: vec![row(tasks, &chunk)],
        ..Environment::default()
    };
    step_with(
        &mut node,
        START,
        Input::Tick,
        &[machine_row("m", "a")],
        &mut env,
    );
    assert_eq!(node.leading(), Some(1));
    (node, START, env)
}

fn reports(node: &mut Node, at: Micros, seq: u64, state: TaskState, env: &mut Environment) {
    let task = TaskStatus {
        task: format!("{JOB}/0").parse().expect("a task's name"),
        attempt: 1,
        state,
        reason: (state == TaskState::Exited).then_some(ExitReason::Done),
        checkpoint_saved: None,
    };
    let report = Heartbeat {
        machine: "m".into(),
        addr: "127.0.0.1:7".into(),
        machine_type: "t".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: 1,
        interruption_notice_s: None,
        tasks: vec![task],
    };
    let input = Input::Request {
        id: RequestId(seq),
        method: "POST".into(),
        target: HEARTBEAT_PATH.into(),
        body: encode(&report),
    };
    step_with(node, at, input, &[], env);
}

/// Nothing changes while a replica runs: who started later told its user for hours that
/// none does.
#[test]
fn a_controller_that_is_heard_anew_is_told_everything() {
    let (mut node, mut at, mut env) = leader();
    reports(&mut node, at, 1, TaskState::Running, &mut env);
    let running = [told(JOB, 0, 1)];
    assert_eq!(tells(&mut node, &mut at, &mut env), running);
    // It is told again until the next pass.
    while !tells(&mut node, &mut at, &mut env).is_empty() {
        assert!(at < START + 3 * SECOND);
    }
    hear(&mut node, at, "n1", beat(1, false));
    assert_eq!(tells(&mut node, &mut at, &mut env), running);
    hear(&mut node, at, "n1", beat(1, false));
    assert_eq!(tells(&mut node, &mut at, &mut env), []);
    // Its end is told as well, or nobody else would ever forget it.
    reports(&mut node, at, 2, TaskState::Exited, &mut env);
    assert_eq!(tells(&mut node, &mut at, &mut env), [told(JOB, 0, 0)]);
    assert_eq!(node.progress(JOB), None);
}

/// A new leader tells what changes, and of a job of which nothing runs nothing does: the
/// word of the leader before it stood for ever.
#[test]
fn a_new_leader_takes_back_what_is_so_no_more() {
    let mut node = Node::new(config_with_team());
    let others = vec![told(JOB, 0, 3), told("req-2", 1, 1)];
    hear(&mut node, START, "n1", Message::JobProgress(others));
    let (mut at, mut env) = (START, Environment::default());
    step_with(&mut node, at, Input::Tick, &[], &mut env);
    assert_eq!(node.leading(), Some(1));
    let mut all = Vec::new();
    // Whoever is heard anew is told nothing either that may be so no more.
    hear(&mut node, at, "n1", beat(1, false));
    while at < START + 9 * SECOND {
        all.extend(tells(&mut node, &mut at, &mut env));
    }
    assert_eq!((all, node.progress(JOB)), (vec![], Some((0, 3))));
    while at < START + 11 * SECOND {
        hear(&mut node, at, "n1", beat(1, false));
        let more = tells(&mut node, &mut at, &mut env);
        if !more.is_empty() {
            assert_eq!(more, [told(JOB, 0, 0), told("req-2", 0, 0)]);
            assert_eq!(node.progress(JOB), None);
            return;
        }
    }
    panic!("not taken back");
}

#[test]
fn the_word_of_a_leader_with_a_successor_does_not_count() {
    let mut node = Node::new(config_with_team());
    let one = |done, running| Message::JobProgress(vec![told(JOB, done, running)]);
    hear(&mut node, START, "n1", beat(1, true));
    hear(&mut node, START, "n1", one(0, 3));
    assert_eq!(node.progress(JOB), Some((0, 3)));
    hear(&mut node, START, "n2", beat(2, true));
    hear(&mut node, START, "n2", one(1, 2));
    hear(&mut node, START, "n1", one(0, 3));
    assert_eq!(node.progress(JOB), Some((1, 2)));
    // Nor does it for the successor itself.
    let (mut node, at, mut env) = leader();
    reports(&mut node, at, 1, TaskState::Running, &mut env);
    tells(&mut node, &mut at.clone(), &mut env);
    hear(&mut node, at, "n1", one(0, 0));
    assert_eq!(node.progress(JOB), Some((0, 1)));
}

/// What is kept is bounded, and what runs is kept longest: all of it was once forgotten
/// at a time, whatever ran.
#[test]
fn jobs_of_which_nothing_runs_are_forgotten_first() {
    let mut node = Node::new(config_with_team());
    hear(
        &mut node,
        START,
        "n1",
        Message::JobProgress(vec![told(JOB, 0, 3)]),
    );
    let mut known = 0;
    for i in 0..192_000 {
        let job = format!("req-9{i}");
        let progress = Message::JobProgress(vec![told(&job, 1, 0)]);
        hear(&mut node, START, "n1", progress);
    }
    for i in 0..192_000 {
        known += usize::from(node.progress(&format!("req-9{i}")).is_some());
    }
    assert_eq!(node.progress(JOB), Some((0, 3)));
    assert!(known < 64_000, "{known}");
}

/// Past twenty thousand jobs that run, each further one made a node forget all others.
#[test]
fn the_counts_of_all_jobs_of_six_thousand_machines_are_kept() {
    const JOBS: usize = 6_000 * 10;
    let mut node = Node::new(config_with_team());
    for i in 0..JOBS {
        let progress = Message::JobProgress(vec![told(&format!("req-9{i}"), 0, 1)]);
        hear(&mut node, START, "n1", progress);
    }
    let known = |i: &usize| node.progress(&format!("req-9{i}")) == Some((0, 1));
    assert_eq!((0..JOBS).filter(known).count(), JOBS);
}
