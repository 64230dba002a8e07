//! Which state a poll returns for each combination of a job's description and its state
//! record.

mod common;

use dillcleat_controller::records::{self, JobStateRecord, OpenJob, RecordedState};
use dillcleat_controller::{Input, Output, RequestId, SECOND, Timestamp};
use dillcleat_wire::decode;
use dillcleat_wire::store::{KeyValue, StoreRequest, StoreResponse, Value, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec, JobState, JobStatus};
use std::collections::BTreeMap;

/// Polls a node that has just started. The store holds a version and a value for each key.
/// Returns the status and the job state of the answer.
fn poll(store: &BTreeMap<String, (u64, Value)>) -> (u16, Option<JobState>) {
    let mut node = common::single_zone_node();
    let now = Timestamp {
        monotonic: 1000 * SECOND,
        wall: 1000 * SECOND,
    };
    let mut inputs = vec![Input::Request {
        id: RequestId(1),
        method: "GET".into(),
        target: "/v2/runs/req-1".into(),
        body: Vec::new(),
    }];
    while let Some(input) = inputs.pop() {
        for output in node.handle(now, input) {
            let (id, call) = match output {
                Output::Store { id, call, .. } => (id, call),
                Output::Answer { answer, .. } => {
                    let status = decode::<JobStatus>(&answer.body).ok();
                    return (answer.status, status.map(|s| s.state));
                }
                other => panic!("unexpected {other:?}"),
            };
            let reply = match call {
                StoreRequest::Get { key } => match store.get(&key) {
                    Some((version, value)) => StoreResponse::Found(KeyValue {
                        key,
                        value: value.clone(),
                        version: *version,
                        lease: None,
                    }),
                    None => StoreResponse::NotFound { revision: 9 },
                },
                StoreRequest::Transaction(txn) => {
                    let version = |key: &str| store.get(key).map_or(0, |(v, _)| *v);
                    let failed: Vec<String> = txn
                        .compare
                        .iter()
                        .filter(|c| c.version != version(&c.key))
                        .map(|c| c.key.clone())
                        .collect();
                    if failed.is_empty() {
                        StoreResponse::Committed { revision: 9 }
                    } else {
                        StoreResponse::Conflict {
                            failed,
                            revision: 9,
                        }
                    }
                }
                other => panic!("unexpected {other:?}"),
            };
            let reply = Ok(reply);
            inputs.push(Input::Store { id, reply });
        }
    }
    panic!("no answer");
}

fn description(without_state_record: bool) -> Value {
    encode_value(&OpenJob {
        spec: JobSpec::plain("req-1", JobKind::Batch, 2, 1.0),
        submitted_at_us: 1,
        tasks_per_chunk: 8,
        without_state_record,
        parallelism_limit: None,
    })
}

/// The description of a cancelled job stays until its tasks are gone. Earlier versions also
/// stored a state record for an open job.
#[test]
fn job_is_open_while_it_has_a_description_and_no_state_record_of_its_end() {
    let open_key = records::open_job_key("req-1");
    let state_record = |state| {
        encode_value(&JobStateRecord {
            state,
            task_count: 2,
        })
    };
    let state_key = records::job_state_key("req-1");
    let poll_with = |rows: Vec<(&String, u64, Value)>| {
        let rows = rows.into_iter().map(|(k, n, v)| (k.clone(), (n, v)));
        poll(&rows.collect())
    };
    assert_eq!(poll_with(vec![]), (404, None));
    let queued = (200, Some(JobState::Queued));
    assert_eq!(poll_with(vec![(&open_key, 3, description(true))]), queued);
    assert_eq!(
        poll_with(vec![(&state_key, 7, state_record(RecordedState::Done))]),
        (200, Some(JobState::Done))
    );
    assert_eq!(
        poll_with(vec![
            (&open_key, 3, description(true)),
            (&state_key, 7, state_record(RecordedState::Cancelled))
        ]),
        (200, Some(JobState::Cancelled))
    );
    let open_by_earlier_version = [
        (&open_key, 3, description(false)),
        (&state_key, 3, state_record(RecordedState::Open)),
    ];
    assert_eq!(poll_with(open_by_earlier_version.to_vec()), queued);
    let cancelled_by_earlier_version = [
        (&open_key, 3, description(false)),
        (&state_key, 8, state_record(RecordedState::Cancelled)),
    ];
    assert_eq!(
        poll_with(cancelled_by_earlier_version.to_vec()),
        (200, Some(JobState::Cancelled))
    );
}
