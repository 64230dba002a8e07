//! What a job has of those that wait for it.

mod common;

use common::{Environment, config_with_team, machine_type, step_with};
use dillcleat_controller::config::DeadlineObjective;
use dillcleat_controller::records::{self, OpenJob};
use dillcleat_controller::{Input, MILLISECOND, Micros, Node, SECOND};
use dillcleat_wire::cloud::{CloudRequest, MachineType};
use dillcleat_wire::store::{KeyValue, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec};

const START: Micros = 1000 * SECOND;

fn open(spec: JobSpec) -> KeyValue {
    let key = records::open_key(&spec.id);
    let job = OpenJob {
        submitted_at_us: START,
        chunk: 16,
        unmarked: true,
        parallelism_limit: None,
        spec,
    };
    KeyValue {
        key,
        value: encode_value(&job),
        version: 1,
        lease: None,
    }
}

fn stage(class: &str, id: &str) -> JobSpec {
    JobSpec {
        class: class.into(),
        spot: true,
        estimate_s: 10.0,
        ..JobSpec::plain(id, JobKind::Batch, 4, 1.0)
    }
}

/// Whether ordinary machines are rented, where there are no spot machines, for a first
/// stage without a deadline, given what else is on record.
fn pays_for(others: Vec<JobSpec>) -> bool {
    let mut config = config_with_team();
    config.deadline_objectives.push(DeadlineObjective {
        class: "last".into(),
        share: 0.97,
        max_multiple: 1.0,
    });
    let mut node = Node::new(config);
    let jobs = std::iter::once(stage("first", "req-1")).chain(others);
    let mut env = Environment {
        machine_types: vec![MachineType {
            spot_price: Some(0.3),
            ..machine_type(4.0)
        }],
        queue_rows: jobs.map(open).collect(),
        ..Environment::default()
    };
    let mut ticks = (0..6 * SECOND).step_by(100 * MILLISECOND as usize);
    ticks.any(|at| {
        let (_, calls) = step_with(&mut node, START + at, Input::Tick, &[], &mut env);
        let ordinary = |c: &CloudRequest| matches!(c, CloudRequest::ScaleOut(rent) if !rent.spot);
        calls.iter().any(ordinary)
    })
}

/// Users set the deadline on the last job of a line only. The one before it is due early
/// enough for the work after it, through as many as there are between.
#[test]
fn a_stage_is_as_urgent_as_the_deadline_at_the_end_of_its_line() {
    let middle = JobSpec {
        depends_on: vec!["req-1".into()],
        ..stage("middle", "req-2")
    };
    let last = |awaits: &str| JobSpec {
        depends_on: vec![awaits.into()],
        deadline_s: Some(90.0),
        ..stage("last", "req-3")
    };
    assert!(!pays_for(vec![]));
    assert!(!pays_for(vec![middle.clone()]));
    assert!(pays_for(vec![last("req-1")]));
    assert!(pays_for(vec![middle.clone(), last("req-2")]));
    // With work after it that can't end in time any more it is as any other.
    let long = JobSpec {
        estimate_s: 80.0,
        ..middle
    };
    assert!(!pays_for(vec![long, last("req-2")]));
}
