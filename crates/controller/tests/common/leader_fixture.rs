//! A leader with one machine that runs a task of a job, and an environment whose failures
//! the test controls.

use super::{
    Environment, config_with_team, heartbeat, machine_row, nth_term, row, step_in_environment,
};
use dillcleat_controller::records::{self, CancelledJob, OpenJob, TaskRecord};
use dillcleat_controller::{CallError, Config, Input, Micros, Node, RequestId, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::encode;
use dillcleat_wire::store::{KeyValue, RangePage, StoreResponse, WatchBatch, WatchEvent};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{
    Command, ExitReason, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};

pub const START: Micros = 1000 * SECOND;
pub const JOB_ID: &str = "req-000001";

/// The longest time that the duration can take by another clock: clocks drift by at most
/// 0.05%.
pub fn with_max_clock_drift(duration: Micros) -> Micros {
    duration * 10_005 / 10_000
}

/// The stored row of the cancellation of `JOB_ID`, confirmed to the user at this time.
pub fn cancellation_row(at: Micros) -> KeyValue {
    row(
        records::cancelled_job_key(JOB_ID),
        &CancelledJob {
            cancelled_at_us: at,
        },
    )
}

pub struct LeaderFixture {
    pub node: Node,
    pub config: Config,
    pub env: Environment,
    pub machine_rows: Vec<KeyValue>,
    pub incarnation: u64,
    pub sequence: u64,
    /// The highest fencing token that the machine has received.
    pub fencing_token: u64,
    /// Whether the machine's heartbeats contain the task.
    pub reports_task: bool,
    /// Whether the task has completed.
    pub task_completed: bool,
}

impl LeaderFixture {
    /// A node that is not elected yet, and a job whose only task runs on machine `m`.
    pub fn new() -> LeaderFixture {
        LeaderFixture::with_tasks(1)
    }

    /// Like `new`, for a job of several tasks of which only the first is placed.
    pub fn with_tasks(tasks: u32) -> LeaderFixture {
        let config = config_with_team();
        let spec = JobSpec {
            team: "t".into(),
            ..JobSpec::plain(JOB_ID, JobKind::Batch, tasks, 1.0)
        };
        let open = OpenJob {
            spec,
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
        LeaderFixture {
            node: Node::new(config.clone()),
            config,
            env: Environment {
                queue_rows: vec![row(records::open_job_key(JOB_ID), &open)],
                task_rows: vec![row(tasks, &chunk)],
                ..Environment::default()
            },
            machine_rows: vec![machine_row("m", "a")],
            incarnation: 1,
            sequence: 0,
            fencing_token: 1,
            reports_task: true,
            task_completed: false,
        }
    }

    pub fn elected() -> LeaderFixture {
        let mut fixture = LeaderFixture::new();
        fixture.step(0, Input::Tick);
        assert_eq!(fixture.node.leading(), Some(nth_term(1)));
        fixture
    }

    pub fn step(&mut self, at: Micros, input: Input) -> Vec<u16> {
        let now = START + at;
        step_in_environment(
            &mut self.node,
            now,
            input,
            &self.machine_rows,
            &mut self.env,
        )
        .0
    }

    /// Sends a heartbeat of the machine. Returns the commands in the reply, or `None` if the
    /// machine's lease is not renewed.
    pub fn send_heartbeat(&mut self, at: Micros) -> Option<Vec<Command>> {
        self.heartbeat_reply(at).map(|reply| reply.commands)
    }

    /// As [`send_heartbeat`](Self::send_heartbeat), with the whole reply.
    pub fn heartbeat_reply(&mut self, at: Micros) -> Option<HeartbeatReply> {
        self.sequence += 1;
        let task = TaskStatus {
            task: format!("{JOB_ID}/0").parse().expect("a task's name"),
            attempt: 1,
            state: match self.task_completed {
                true => TaskState::Exited,
                false => TaskState::Running,
            },
            reason: self.task_completed.then_some(ExitReason::Done),
            checkpoint_saved: None,
        };
        let tasks = self.reports_task.then_some(task).into_iter().collect();
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            fencing_token: self.fencing_token,
            ..heartbeat(self.sequence, tasks)
        };
        let input = Input::Request {
            id: RequestId(self.sequence),
            method: "POST".into(),
            target: HEARTBEAT_PATH.into(),
            body: encode(&heartbeat),
        };
        self.env.answer_bodies.clear();
        match self.step(at, input)[..] {
            [200] => {
                let body = self.env.answer_bodies.pop().expect("a body");
                Some(dillcleat_wire::decode(&body).expect("a heartbeat reply"))
            }
            [503 | 421] => None,
            ref other => panic!("unexpected {other:?}"),
        }
    }

    /// Answers all open watches with these events.
    pub fn answer_watches(&mut self, at: Micros, events: Vec<WatchEvent>) {
        for id in std::mem::take(&mut self.env.open_watches) {
            let batch = WatchBatch {
                revision: 3,
                events: events.clone(),
            };
            let reply = Ok(StoreResponse::WatchBatch(batch));
            self.step(at, Input::Store { id, reply });
        }
    }

    /// Sends a heartbeat each second for 90 s. Returns the time of the last one that renewed
    /// the machine's lease.
    pub fn run_and_return_last_renewal(&mut self, from: Micros) -> Micros {
        let mut renewed_at = 0;
        for s in 0..90 {
            let at = from + s * SECOND;
            self.step(at, Input::Tick);
            // The tick renews the leader lease, and the peer's heartbeat has no later term.
            let message = Message::Heartbeat {
                term: nth_term(1),
                is_leader: false,
                store_reachable: true,
                workers_reachable: false,
                requests_per_s: 9,
            };
            let from = "n1".to_string();
            self.step(at, Input::Peer { from, message });
            if self.send_heartbeat(at).is_some() {
                renewed_at = at;
            }
        }
        renewed_at
    }

    pub fn put_event(row: KeyValue) -> WatchEvent {
        WatchEvent::Put {
            key: row.key,
            value: row.value,
            version: 3,
        }
    }
}

/// The reply to a listing that fits into one page.
pub fn single_page(rows: &[KeyValue]) -> Result<StoreResponse, CallError> {
    Ok(StoreResponse::RangePage(RangePage {
        rows: rows.to_vec(),
        more: false,
        revision: 1,
    }))
}
