//! A node that leads with a task of a job on one machine, and what around it fails.

use super::{Around, config_with_team, recorded, row, step_with};
use dillcleat_controller::records::{self, CancelledJob, OpenJob, TaskChunk};
use dillcleat_controller::{CallError, Config, Input, Micros, Node, RequestId, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::encode;
use dillcleat_wire::store::{KeyValue, RangePage, StoreResponse, WatchBatch, WatchEvent};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{
    Command, ExitReason, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};

pub const START: Micros = 1000 * SECOND;
pub const JOB: &str = "req-000001";

/// By a clock that runs 0.05% fast so long looks like this.
pub fn at_most(time: Micros) -> Micros {
    time * 10_005 / 10_000
}

/// When its user was told that the job is cancelled.
pub fn cancelled(at: Micros) -> KeyValue {
    row(
        records::cancelled_job_key(JOB),
        &CancelledJob {
            cancelled_at_us: at,
        },
    )
}

pub struct Gap {
    pub node: Node,
    pub config: Config,
    pub around: Around,
    pub rows: Vec<KeyValue>,
    pub session: u64,
    pub seq: u64,
    /// The highest token that the machine has seen.
    pub token: u64,
    /// The machine still has the task.
    pub has_task: bool,
    /// It has completed.
    pub completed: bool,
}

impl Gap {
    /// A node that is about to lead, with a task of a job on one machine.
    pub fn new() -> Gap {
        Gap::of(1)
    }

    /// The same with a job of so many tasks, of which the first is there.
    pub fn of(tasks: u32) -> Gap {
        let config = config_with_team();
        let spec = JobSpec {
            team: "t".into(),
            ..JobSpec::plain(JOB, JobKind::Batch, tasks, 1.0)
        };
        let open = OpenJob {
            spec,
            submitted_at_us: START,
            tasks_per_chunk: 25,
            without_state_record: true,
            parallelism_limit: None,
        };
        let chunk = TaskChunk {
            placed: vec![(0, 1, "m".to_string(), 1).into()],
            ..TaskChunk::default()
        };
        let tasks = records::tasks_key(JOB, records::TaskRange::Chunk(0));
        Gap {
            node: Node::new(config.clone()),
            config,
            around: Around {
                queue: vec![row(records::open_job_key(JOB), &open)],
                tasks: vec![row(tasks, &chunk)],
                ..Around::default()
            },
            rows: vec![recorded("m", "a")],
            session: 1,
            seq: 0,
            token: 1,
            has_task: true,
            completed: false,
        }
    }

    pub fn leading() -> Gap {
        let mut gap = Gap::new();
        gap.step(0, Input::Tick);
        assert_eq!(gap.node.leading(), Some(1));
        gap
    }

    pub fn step(&mut self, at: Micros, input: Input) -> Vec<u16> {
        let now = START + at;
        step_with(&mut self.node, now, input, &self.rows, &mut self.around).0
    }

    /// The machine reports; the commands of the answer, if it renews the lease.
    pub fn reports(&mut self, at: Micros) -> Option<Vec<Command>> {
        self.seq += 1;
        let task = TaskStatus {
            task: format!("{JOB}/0").parse().expect("a task's name"),
            attempt: 1,
            state: match self.completed {
                true => TaskState::Exited,
                false => TaskState::Running,
            },
            reason: self.completed.then_some(ExitReason::Done),
            checkpoint_saved: None,
        };
        let report = Heartbeat {
            machine: "m".into(),
            addr: "127.0.0.1:7".into(),
            machine_type: "t".into(),
            zone: "a".into(),
            spot: false,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            interruption_notice_s: None,
            tasks: self.has_task.then_some(task).into_iter().collect(),
        };
        let input = Input::Request {
            id: RequestId(self.seq),
            method: "POST".into(),
            target: HEARTBEAT_PATH.into(),
            body: encode(&report),
        };
        self.around.bodies.clear();
        match self.step(at, input)[..] {
            [200] => {
                let body = self.around.bodies.pop().expect("an answer");
                let answer: HeartbeatReply = dillcleat_wire::decode(&body).expect("an answer");
                Some(answer.commands)
            }
            [503 | 421] => None,
            ref other => panic!("unexpected {other:?}"),
        }
    }

    /// Watches that are open are answered.
    pub fn watched(&mut self, at: Micros, events: Vec<WatchEvent>) {
        for id in std::mem::take(&mut self.around.watches) {
            let changes = WatchBatch {
                revision: 3,
                events: events.clone(),
            };
            let reply = Ok(StoreResponse::WatchBatch(changes));
            self.step(at, Input::Store { id, reply });
        }
    }

    /// Until when reports are answered, at one each second from `from` on.
    pub fn answered_until(&mut self, from: Micros) -> Micros {
        let mut last = 0;
        for s in 0..90 {
            let at = from + s * SECOND;
            self.step(at, Input::Tick);
            // The lease is renewed, siblings are heard, users are answered.
            let message = Message::Heartbeat {
                term: 1,
                is_leader: false,
                store_reachable: true,
                workers_reachable: false,
                requests_per_s: 9,
            };
            let from = "n1".to_string();
            self.step(at, Input::Peer { from, message });
            if self.reports(at).is_some() {
                last = at;
            }
        }
        last
    }

    pub fn event(row: KeyValue) -> WatchEvent {
        WatchEvent::Put {
            key: row.key,
            value: row.value,
            version: 3,
        }
    }
}

/// The only page of a listing.
pub fn page(rows: &[KeyValue]) -> Result<StoreResponse, CallError> {
    Ok(StoreResponse::RangePage(RangePage {
        rows: rows.to_vec(),
        more: false,
        revision: 1,
    }))
}
