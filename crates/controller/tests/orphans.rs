//! Stored placements of jobs that a new leader can't take up. Nothing of them may be
//! cleared but what a mark in the store says has ended.

mod common;

use common::{Environment, config_with_team, machine_row, machine_type, row, step_with};
use dillcleat_controller::records::{
    self, CancelledJob, JobStateRecord, OpenJob, RecordedState, TaskChunk, TaskRange,
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
const JOB: &str = "req-000001";

fn described(id: &str, tasks: u32) -> KeyValue {
    let spec = JobSpec {
        team: "t".into(),
        ..JobSpec::plain(id, JobKind::Batch, tasks, 1.0)
    };
    let open = OpenJob {
        spec,
        submitted_at_us: START,
        chunk: 25,
        unmarked: true,
        parallelism_limit: None,
    };
    row(records::open_key(id), &open)
}

/// The same in a form of a version to come: it is known what each task takes of which
/// team's limit, and nothing else.
fn undescribed(id: &str) -> KeyValue {
    let mut row = described(id, 1);
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

struct Day {
    node: Node,
    env: Environment,
    rows: Vec<KeyValue>,
    seq: u64,
    /// What machines have seen.
    token: u64,
}

impl Day {
    /// A node that is about to lead, with `placed` tasks of a job on the machine m.
    fn new(config: Config, queue: Vec<KeyValue>, placed: u32) -> Day {
        let chunk = TaskChunk {
            placed: (0..placed)
                .map(|i| (i, 1, "m".to_string(), 1).into())
                .collect(),
            ..TaskChunk::default()
        };
        Day {
            node: Node::new(config),
            env: Environment {
                queue_rows: queue,
                task_rows: vec![row(records::tasks_key(JOB, TaskRange::Chunk(0)), &chunk)],
                machine_types: vec![machine_type(8.0)],
                ..Environment::default()
            },
            rows: vec![machine_row("m", "a"), machine_row("n", "a")],
            seq: 0,
            token: 1,
        }
    }

    fn step(&mut self, at: Micros, input: Input) -> Vec<u16> {
        let now = START + at;
        step_with(&mut self.node, now, input, &self.rows, &mut self.env).0
    }

    /// Ticks until then, with watches that tell of nothing and a machine that is empty.
    fn pass(&mut self, from: Micros, to: Micros) {
        for at in (from..to).step_by(100 * MILLISECOND as usize) {
            self.step(at, Input::Tick);
            self.watched(at, Vec::new());
            if at.is_multiple_of(SECOND) {
                self.reports(at, "n", None);
            }
        }
    }

    fn watched(&mut self, at: Micros, events: Vec<WatchEvent>) {
        for id in std::mem::take(&mut self.env.open_watches) {
            let changes = WatchBatch {
                revision: 3,
                events: events.clone(),
            };
            let reply = Ok(StoreResponse::WatchBatch(changes));
            self.step(at, Input::Store { id, reply });
        }
    }

    /// The machine reports its only task; the commands of the answer, if there is one.
    fn reports(
        &mut self,
        at: Micros,
        machine: &str,
        of: Option<TaskState>,
    ) -> Option<Vec<Command>> {
        self.seq += 1;
        let task = of.map(|state| TaskStatus {
            task: format!("{JOB}/0").parse().expect("a task's name"),
            attempt: 1,
            state,
            reason: (state == TaskState::Exited).then_some(ExitReason::Done),
            checkpoint_saved: None,
        });
        let report = Heartbeat {
            machine: machine.into(),
            addr: "127.0.0.1:7".into(),
            machine_type: "t".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            sequence: self.seq,
            fencing_token: self.token,
            interruption_notice_s: None,
            tasks: task.into_iter().collect(),
        };
        let input = Input::Request {
            id: RequestId(self.seq),
            method: "POST".into(),
            target: HEARTBEAT_PATH.into(),
            body: encode(&report),
        };
        self.env.answer_bodies.clear();
        match self.step(at, input)[..] {
            [200] => {
                let body = self.env.answer_bodies.pop().expect("an answer");
                let answer: HeartbeatReply = dillcleat_wire::decode(&body).expect("an answer");
                Some(answer.commands)
            }
            _ => None,
        }
    }

    /// Keys that were dropped.
    fn dropped(&self) -> Vec<&str> {
        let changes = self.env.transactions.iter().flat_map(|t| &t.then);
        changes
            .filter_map(|c| match c {
                Mutation::Delete { key } => Some(key.as_str()),
                Mutation::Put { .. } => None,
            })
            .collect()
    }

    /// How many tasks of the job were placed.
    fn placed(&self, id: &str) -> usize {
        let key = records::tasks_key(id, TaskRange::Chunk(0));
        let changes = self.env.transactions.iter().flat_map(|t| &t.then);
        let mut records = changes.filter_map(|c| match c {
            Mutation::Put { key: k, value, .. } if *k == key => decode_value::<TaskChunk>(value),
            _ => None,
        });
        records.next_back().map_or(0, |c| c.placed.len())
    }
}

/// A team is missing from the settings, or from those of this node alone; or only a newer
/// version can read the description, or the record of the tasks. Whoever leads next may
/// know the job: what is placed has to be found then, and results as well.
#[test]
fn what_an_unknown_job_has_on_machines_stays() {
    let teamless = Config {
        teams: Vec::new(),
        ..config_with_team()
    };
    let other_teams = Day::new(teamless, vec![described(JOB, 2)], 1);
    let other_form = Day::new(config_with_team(), vec![undescribed(JOB)], 1);
    let mut other_record = Day::new(config_with_team(), vec![described(JOB, 2)], 1);
    other_record.env.task_rows[0].value = encode_value(&"of a new form");
    for (of, mut day) in [other_teams, other_form, other_record]
        .into_iter()
        .enumerate()
    {
        day.pass(0, 2 * SECOND);
        assert_eq!(day.node.leading(), Some(1));
        let running = Some(TaskState::Running);
        assert_eq!(day.reports(2 * SECOND, "m", running), Some(vec![]), "{of}");
        day.pass(2 * SECOND, 8 * SECOND);
        assert_eq!(day.placed(JOB), 0, "{of}");
        assert_eq!(day.node.counts().passes, 0, "nothing is in line");
        assert_eq!(day.reports(8 * SECOND, "m", running), Some(vec![]), "{of}");
        assert_eq!(day.dropped(), [""; 0], "{of}");
        let exited = Some(TaskState::Exited);
        let answer = day.reports(9 * SECOND, "m", exited);
        // The end is stored before it is reaped; where it can't be, it is not reaped.
        assert_eq!(answer, Some(vec![]), "{of}");
        day.pass(9 * SECOND, 10 * SECOND);
        let answer = day.reports(10 * SECOND, "m", exited);
        assert_eq!(answer.is_some_and(|c| c.is_empty()), of > 0, "{of}");
    }
}

/// What is left of a job without a description is dropped once its mark is read.
#[test]
fn records_are_dropped_only_once_a_mark_says_that_their_job_has_ended() {
    for mark in [
        None,
        Some(RecordedState::Done),
        Some(RecordedState::Cancelled),
    ] {
        let mut day = Day::new(config_with_team(), Vec::new(), 1);
        day.env.readable_row = mark.map(|s| {
            row(
                records::job_key(JOB),
                &JobStateRecord {
                    state: s,
                    task_count: 1,
                },
            )
        });
        day.pass(0, 5 * SECOND);
        let key = records::tasks_key(JOB, TaskRange::Chunk(0));
        assert_eq!(day.dropped().contains(&key.as_str()), mark.is_some());
        let commands = day.reports(5 * SECOND, "m", Some(TaskState::Running));
        let stopped = matches!(commands.as_deref(), Some([Command::Stop { .. }]));
        assert_eq!(stopped, mark.is_some());
    }
}

/// Another job waits for it, so its mark is read: it is cancelled, which says nothing of
/// where its tasks are.
#[test]
fn records_of_a_cancelled_job_stay_while_its_description_does() {
    let mut waits = described("req-000002", 1);
    let mut open = waits.decode_value::<OpenJob>().expect("a description");
    open.spec.depends_on = vec![JOB.into()];
    waits.value = encode_value(&open);
    let mut day = Day::new(config_with_team(), vec![undescribed(JOB), waits], 1);
    let mark = JobStateRecord {
        state: RecordedState::Cancelled,
        task_count: 1,
    };
    day.env.readable_row = Some(row(records::job_key(JOB), &mark));
    day.pass(0, 5 * SECOND);
    let key = records::open_key("req-000002");
    assert_eq!(day.dropped(), [key], "it is cancelled with the other");
}

/// The cancellation of a job that can't be read here is obeyed all the same, by a stop
/// and, if that doesn't arrive, by the lease.
#[test]
fn a_cancelled_job_that_can_not_be_read_is_stopped() {
    let limit = config_with_team().blind_limit();
    let mut day = Day::new(config_with_team(), vec![undescribed(JOB)], 1);
    day.env.cloud_up = false;
    day.pass(0, SECOND);
    let running = Some(TaskState::Running);
    assert_eq!(day.reports(SECOND, "m", running), Some(vec![]));
    let at = START + SECOND;
    let cancelled = row(
        records::cancelled_key(JOB),
        &CancelledJob {
            cancelled_at_us: at,
        },
    );
    let event = WatchEvent::Put {
        key: cancelled.key,
        value: cancelled.value,
        version: 3,
    };
    day.watched(SECOND, vec![event]);
    let commands = day.reports(2 * SECOND, "m", running).expect("an answer");
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
    // Without a read for a while as well.
    for s in 2..10 {
        day.step(s * SECOND, Input::Tick);
        day.reports(s * SECOND, "n", None);
    }
    let commands = day.reports(10 * SECOND, "m", running).expect("an answer");
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
    let last = SECOND + limit;
    day.pass(10 * SECOND, last + SECOND);
    assert_eq!(day.reports(last + SECOND, "m", running), None);
    assert!(day.reports(last + SECOND, "n", None).is_some());
    assert!(
        day.reports(last + SECOND, "m", None).is_some(),
        "it is gone"
    );
}

/// It may hold the task, as long as it has not shown that it doesn't.
#[test]
fn a_machine_that_has_yet_to_show_the_token_may_hold_a_cancelled_job() {
    let limit = config_with_team().blind_limit();
    let at = START - limit;
    let cancelled = row(
        records::cancelled_key(JOB),
        &CancelledJob {
            cancelled_at_us: at,
        },
    );
    for readable in [true, false] {
        let queue = vec![cancelled.clone(), undescribed(JOB)];
        let mut day = Day::new(config_with_team(), queue, 1);
        if !readable {
            day.env.task_rows[0].value = encode_value(&"of a new form");
        }
        day.pass(0, SECOND);
        day.token = 0;
        assert_eq!(day.reports(SECOND, "m", None), None);
        assert_eq!(day.reports(SECOND, "o", None).is_some(), readable);
        day.token = 1;
        assert!(
            day.reports(2 * SECOND, "m", None).is_some(),
            "nothing there"
        );
    }
}

/// What it may run counts against its team's limit.
#[test]
fn an_unknown_job_takes_of_its_teams_limit() {
    let mut config = config_with_team();
    config.teams[0].cpus_max = 4.0;
    let other = "req-000002";
    let queue = vec![undescribed(JOB), described(other, 9)];
    let mut day = Day::new(config, queue, 3);
    day.pass(0, 4 * SECOND);
    assert_eq!(day.placed(other), 1);
}
