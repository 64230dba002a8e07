//! A job inherits the deadline of the jobs that depend on it, less their estimated run times.

mod common;

use common::{Environment, config_with_team, machine_type, step_in_environment};
use dillcleat_controller::config::DeadlineObjective;
use dillcleat_controller::records::{self, OpenJob};
use dillcleat_controller::{Input, MILLISECOND, Micros, Node, SECOND};
use dillcleat_wire::cloud::{CloudRequest, MachineType};
use dillcleat_wire::store::{KeyValue, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec};

const START: Micros = 1000 * SECOND;

fn open_job_row(spec: JobSpec) -> KeyValue {
    let key = records::open_job_key(&spec.id);
    let job = OpenJob {
        submitted_at_us: START,
        tasks_per_chunk: 16,
        without_state_record: true,
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

/// Whether the leader requests on-demand machines for a first stage without a deadline when no
/// spot machine is available. `others` are the other jobs in the queue.
fn scales_out_on_demand(others: Vec<JobSpec>) -> bool {
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
        queue_rows: jobs.map(open_job_row).collect(),
        ..Environment::default()
    };
    let mut ticks = (0..6 * SECOND).step_by(100 * MILLISECOND as usize);
    ticks.any(|at| {
        let (_, calls) = step_in_environment(&mut node, START + at, Input::Tick, &[], &mut env);
        let is_on_demand =
            |c: &CloudRequest| matches!(c, CloudRequest::ScaleOut(request) if !request.spot);
        calls.iter().any(is_on_demand)
    })
}

/// Users set a deadline only on the last job of a pipeline. It applies to all earlier stages,
/// less the estimates of the stages that follow them.
#[test]
fn first_stage_inherits_the_deadline_of_its_pipeline() {
    let middle = JobSpec {
        depends_on: vec!["req-1".into()],
        ..stage("middle", "req-2")
    };
    let last = |dependency: &str| JobSpec {
        depends_on: vec![dependency.into()],
        deadline_s: Some(90.0),
        ..stage("last", "req-3")
    };
    assert!(!scales_out_on_demand(vec![]));
    assert!(!scales_out_on_demand(vec![middle.clone()]));
    assert!(scales_out_on_demand(vec![last("req-1")]));
    assert!(scales_out_on_demand(vec![middle.clone(), last("req-2")]));
    // A deadline that the later stages can no longer meet is ignored.
    let long = JobSpec {
        estimate_s: 80.0,
        ..middle
    };
    assert!(!scales_out_on_demand(vec![long, last("req-2")]));
}
