//! A new leader that cannot recover a job from its stored records must neither stop its
//! tasks nor delete its records, unless the job's state record says that it has ended.

mod common;

use common::{
    Environment, config_with_team, heartbeat, machine_row, machine_type, nth_term, row,
    step_in_environment,
};
use dillcleat_controller::records::{
    self, CancelledJob, JobStateRecord, OpenJob, RecordedState, TaskRange, TaskRecord,
};
use dillcleat_controller::{Config, Input, MILLISECOND, Micros, Node, RequestId, SECOND};
use dillcleat_wire::encode;
use dillcleat_wire::store::{
    KeyValue, Mutation, StoreResponse, Value, WatchBatch, WatchEvent, decode_value, encode_value,
};
use dillcleat_wire::user::{JobKind, JobSpec};
use dillcleat_wire::worker::{
    Command, ExitReason, HEARTBEAT_PATH, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};

const START: Micros = 1000 * SECOND;
const JOB_ID: &str = "req-000001";

fn open_job_row(id: &str, tasks: u32) -> KeyValue {
    let spec = JobSpec {
        team: "t".into(),
        ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
    };
    let open = OpenJob {
        spec,
        submitted_at_us: START,
        tasks_per_chunk: 25,
        without_state_record: true,
        parallelism_limit: None,
    };
    row(records::open_job_key(id), &open)
}

/// The description of a job in the format of a later version: only its team and the
/// resources of a task can be read.
fn unreadable_job_row(id: &str) -> KeyValue {
    let mut row = open_job_row(id, 1);
    if let Value::Map(record) = &mut row.value
        && let Some((_, Value::Map(spec))) = record.iter_mut().find(|(k, _)| k == &"spec".into())
    {
        for (key, value) in spec {
            if *key == "binding".into() {
                *value = "of a new kind".into();
            }
        }
    }
    assert!(row.decode_value::<OpenJob>().is_none());
    row
}

/// A leader with two machines, `m` and `n`. The test sends their heartbeats.
struct Fixture {
    node: Node,
    env: Environment,
    machine_rows: Vec<KeyValue>,
    sequence: u64,
    /// The fencing token in the machines' heartbeats.
    fencing_token: u64,
}

impl Fixture {
    /// A node that wins the election at its first tick, with `placed` tasks of the job on
    /// machine `m`.
    fn new(config: Config, queue_rows: Vec<KeyValue>, placed: u32) -> Fixture {
        let chunk = TaskRecord {
            placed: (0..placed)
                .map(|i| (i, 1, "m".to_string(), 1).into())
                .collect(),
            ..TaskRecord::default()
        };
        Fixture {
            node: Node::new(config),
            env: Environment {
                queue_rows,
                task_rows: vec![row(records::tasks_key(JOB_ID, TaskRange::Chunk(0)), &chunk)],
                machine_types: vec![machine_type(8.0)],
                ..Environment::default()
            },
            machine_rows: vec![machine_row("m", "a"), machine_row("n", "a")],
            sequence: 0,
            fencing_token: 1,
        }
    }

    fn step(&mut self, at: Micros, input: Input) -> Vec<u16> {
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

    /// Ticks from `from` to `to`. Watches return no events, and machine `n` reports no tasks.
    fn advance(&mut self, from: Micros, to: Micros) {
        for at in (from..to).step_by(100 * MILLISECOND as usize) {
            self.step(at, Input::Tick);
            self.answer_watches(at, Vec::new());
            if at.is_multiple_of(SECOND) {
                self.send_heartbeat(at, "n", None);
            }
        }
    }

    fn answer_watches(&mut self, at: Micros, events: Vec<WatchEvent>) {
        for id in std::mem::take(&mut self.env.open_watches) {
            let batch = WatchBatch {
                revision: 3,
                events: events.clone(),
            };
            let reply = Ok(StoreResponse::WatchBatch(batch));
            self.step(at, Input::Store { id, reply });
        }
    }

    /// Sends the machine's heartbeat, with task 0 of the job in the given state, if any.
    /// Returns the commands of the reply, or None if the heartbeat is rejected.
    fn send_heartbeat(
        &mut self,
        at: Micros,
        machine: &str,
        task_state: Option<TaskState>,
    ) -> Option<Vec<Command>> {
        self.sequence += 1;
        let task = task_state.map(|state| TaskStatus {
            task: format!("{JOB_ID}/0").parse().expect("a task's name"),
            attempt: 1,
            state,
            reason: (state == TaskState::Exited).then_some(ExitReason::Done),
            checkpoint_saved: None,
        });
        let heartbeat = Heartbeat {
            machine: machine.into(),
            fencing_token: self.fencing_token,
            ..heartbeat(self.sequence, task.into_iter().collect())
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
                let body = self.env.answer_bodies.pop().expect("a reply");
                let reply: HeartbeatReply = dillcleat_wire::decode(&body).expect("a reply");
                Some(reply.commands)
            }
            _ => None,
        }
    }

    /// The keys that the leader has deleted, in order.
    fn deleted_keys(&self) -> Vec<&str> {
        let mutations = self.env.transactions.iter().flat_map(|t| &t.then);
        mutations
            .filter_map(|c| match c {
                Mutation::Delete { key } => Some(key.as_str()),
                Mutation::Put { .. } => None,
            })
            .collect()
    }

    /// How many tasks of the job are placed according to the last write of its first chunk.
    fn placed_count(&self, id: &str) -> usize {
        let key = records::tasks_key(id, TaskRange::Chunk(0));
        let mutations = self.env.transactions.iter().flat_map(|t| &t.then);
        let mut records = mutations.filter_map(|c| match c {
            Mutation::Put { key: k, value, .. } if *k == key => decode_value::<TaskRecord>(value),
            _ => None,
        });
        records.next_back().map_or(0, |c| c.placed.len())
    }
}

/// The job's team may be missing from this node's settings, or its description or task
/// records may have the format of a later version. The next leader may be able to read
/// them and needs the placements and results.
#[test]
fn unrecoverable_job_keeps_its_tasks_and_records() {
    let without_teams = Config {
        teams: Vec::new(),
        ..config_with_team()
    };
    let unknown_team = Fixture::new(without_teams, vec![open_job_row(JOB_ID, 2)], 1);
    let unreadable_description =
        Fixture::new(config_with_team(), vec![unreadable_job_row(JOB_ID)], 1);
    let mut unreadable_chunk = Fixture::new(config_with_team(), vec![open_job_row(JOB_ID, 2)], 1);
    unreadable_chunk.env.task_rows[0].value = encode_value(&"a later format");
    for (case, mut fixture) in [
        ("unknown team", unknown_team),
        ("unreadable description", unreadable_description),
        ("unreadable chunk", unreadable_chunk),
    ] {
        fixture.advance(0, 2 * SECOND);
        assert_eq!(fixture.node.leading(), Some(nth_term(1)));
        let running = Some(TaskState::Running);
        assert_eq!(
            fixture.send_heartbeat(2 * SECOND, "m", running),
            Some(vec![]),
            "{case}"
        );
        fixture.advance(2 * SECOND, 8 * SECOND);
        assert_eq!(fixture.placed_count(JOB_ID), 0, "{case}");
        assert_eq!(
            fixture.node.scheduler_counters().cycles,
            0,
            "{case}: the job is not in the scheduler's queue"
        );
        assert_eq!(
            fixture.send_heartbeat(8 * SECOND, "m", running),
            Some(vec![]),
            "{case}"
        );
        assert_eq!(fixture.deleted_keys(), [""; 0], "{case}");
        let exited = Some(TaskState::Exited);
        let commands = fixture.send_heartbeat(9 * SECOND, "m", exited);
        // A task is reaped only after its end is stored, which is impossible while the
        // description or the chunk cannot be read. A job of an unknown team has both.
        assert_eq!(commands, Some(vec![]), "{case}");
        fixture.advance(9 * SECOND, 10 * SECOND);
        let commands = fixture.send_heartbeat(10 * SECOND, "m", exited);
        assert_eq!(
            commands.is_some_and(|c| c.is_empty()),
            case != "unknown team",
            "{case}"
        );
    }
}

#[test]
fn task_records_without_a_description_are_deleted_only_if_the_job_has_ended() {
    for state in [
        None,
        Some(RecordedState::Done),
        Some(RecordedState::Cancelled),
    ] {
        let mut fixture = Fixture::new(config_with_team(), Vec::new(), 1);
        fixture.env.readable_row = state.map(|state| {
            row(
                records::job_state_key(JOB_ID),
                &JobStateRecord {
                    state,
                    task_count: 1,
                },
            )
        });
        fixture.advance(0, 5 * SECOND);
        let key = records::tasks_key(JOB_ID, TaskRange::Chunk(0));
        assert_eq!(
            fixture.deleted_keys().contains(&key.as_str()),
            state.is_some()
        );
        let commands = fixture.send_heartbeat(5 * SECOND, "m", Some(TaskState::Running));
        let stopped = matches!(commands.as_deref(), Some([Command::Stop { .. }]));
        assert_eq!(stopped, state.is_some());
    }
}

/// The leader reads the state record because another job depends on this one. The state
/// "cancelled" does not prove that the job's tasks have ended.
#[test]
fn cancelled_job_keeps_its_task_records_while_its_description_exists() {
    let mut dependent = open_job_row("req-000002", 1);
    let mut open = dependent.decode_value::<OpenJob>().expect("a description");
    open.spec.depends_on = vec![JOB_ID.into()];
    dependent.value = encode_value(&open);
    let mut fixture = Fixture::new(
        config_with_team(),
        vec![unreadable_job_row(JOB_ID), dependent],
        1,
    );
    let state_record = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    fixture.env.readable_row = Some(row(records::job_state_key(JOB_ID), &state_record));
    fixture.advance(0, 5 * SECOND);
    let key = records::open_job_key("req-000002");
    assert_eq!(
        fixture.deleted_keys(),
        [key],
        "the dependent job is cancelled too"
    );
}

/// The leader repeats the stop command. If the task is still reported after the renewal limit,
/// the machine's lease is no longer renewed.
#[test]
fn cancellation_of_an_unreadable_job_stops_its_tasks() {
    let renewal_limit = config_with_team().heartbeat_answer_limit();
    let mut fixture = Fixture::new(config_with_team(), vec![unreadable_job_row(JOB_ID)], 1);
    fixture.env.cloud_up = false;
    fixture.advance(0, SECOND);
    let running = Some(TaskState::Running);
    assert_eq!(fixture.send_heartbeat(SECOND, "m", running), Some(vec![]));
    let at = START + SECOND;
    let cancelled = row(
        records::cancelled_job_key(JOB_ID),
        &CancelledJob {
            cancelled_at_us: at,
        },
    );
    let event = WatchEvent::Put {
        key: cancelled.key,
        value: cancelled.value,
        version: 3,
    };
    fixture.answer_watches(SECOND, vec![event]);
    let commands = fixture
        .send_heartbeat(2 * SECOND, "m", running)
        .expect("a reply");
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
    // No watch is answered for some time.
    for s in 2..10 {
        fixture.step(s * SECOND, Input::Tick);
        fixture.send_heartbeat(s * SECOND, "n", None);
    }
    let commands = fixture
        .send_heartbeat(10 * SECOND, "m", running)
        .expect("a reply");
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
    let last = SECOND + renewal_limit;
    fixture.advance(10 * SECOND, last + SECOND);
    assert_eq!(fixture.send_heartbeat(last + SECOND, "m", running), None);
    assert!(fixture.send_heartbeat(last + SECOND, "n", None).is_some());
    assert!(
        fixture.send_heartbeat(last + SECOND, "m", None).is_some(),
        "the task is gone"
    );
}

/// A machine without the current fencing token may still execute an earlier launch command for
/// the job.
#[test]
fn lease_is_not_renewed_for_a_stale_token_after_a_cancellation() {
    let renewal_limit = config_with_team().heartbeat_answer_limit();
    let at = START - renewal_limit;
    let cancelled = row(
        records::cancelled_job_key(JOB_ID),
        &CancelledJob {
            cancelled_at_us: at,
        },
    );
    for readable in [true, false] {
        let queue_rows = vec![cancelled.clone(), unreadable_job_row(JOB_ID)];
        let mut fixture = Fixture::new(config_with_team(), queue_rows, 1);
        if !readable {
            fixture.env.task_rows[0].value = encode_value(&"a later format");
        }
        fixture.advance(0, SECOND);
        fixture.fencing_token = 0;
        assert_eq!(fixture.send_heartbeat(SECOND, "m", None), None);
        // Machine `o` has no placement: it may run the task only if the task records are
        // unreadable.
        assert_eq!(
            fixture.send_heartbeat(SECOND, "o", None).is_some(),
            readable
        );
        fixture.fencing_token = 1;
        assert!(
            fixture.send_heartbeat(2 * SECOND, "m", None).is_some(),
            "the machine has no task"
        );
    }
}

#[test]
fn unreadable_job_counts_against_its_teams_quota() {
    let mut config = config_with_team();
    config.teams[0].cpus_max = 4.0;
    let other = "req-000002";
    let queue_rows = vec![unreadable_job_row(JOB_ID), open_job_row(other, 9)];
    let mut fixture = Fixture::new(config, queue_rows, 3);
    fixture.advance(0, 4 * SECOND);
    assert_eq!(fixture.placed_count(other), 1);
}
