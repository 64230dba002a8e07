//! What makes a job open, done or unknown: its description and its mark.

mod common;

use dillcleat_controller::records::{self, JobStateRecord, OpenJob, RecordedState};
use dillcleat_controller::{Input, Output, RequestId, SECOND, Timestamp};
use dillcleat_wire::decode;
use dillcleat_wire::store::{KeyValue, StoreRequest, StoreResponse, Value, encode_value};
use dillcleat_wire::user::{JobKind, JobSpec, JobState, JobStatus};
use std::collections::BTreeMap;

/// Polls a fresh node for the job with these records in the store, key to
/// version and value. Returns the status and state it answers.
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

fn description(unmarked: bool) -> Value {
    encode_value(&OpenJob {
        spec: JobSpec::plain("req-1", JobKind::Batch, 2, 1.0),
        submitted_at_us: 1,
        chunk: 8,
        unmarked,
        parallelism_limit: None,
    })
}

/// A cancelled job's description stays until its tasks are gone, and jobs that
/// an earlier version stored have an open mark.
#[test]
fn a_job_is_open_while_it_is_described_and_has_no_mark_of_its_end() {
    let open = records::open_key("req-1");
    let mark = |s| {
        encode_value(&JobStateRecord {
            state: s,
            task_count: 2,
        })
    };
    let key = records::job_key("req-1");
    let found = |rows: Vec<(&String, u64, Value)>| {
        let rows = rows.into_iter().map(|(k, n, v)| (k.clone(), (n, v)));
        poll(&rows.collect())
    };
    assert_eq!(found(vec![]), (404, None));
    let queued = (200, Some(JobState::Queued));
    assert_eq!(found(vec![(&open, 3, description(true))]), queued);
    assert_eq!(
        found(vec![(&key, 7, mark(RecordedState::Done))]),
        (200, Some(JobState::Done))
    );
    assert_eq!(
        found(vec![
            (&open, 3, description(true)),
            (&key, 7, mark(RecordedState::Cancelled))
        ]),
        (200, Some(JobState::Cancelled))
    );
    let earlier = [
        (&open, 3, description(false)),
        (&key, 3, mark(RecordedState::Open)),
    ];
    assert_eq!(found(earlier.to_vec()), queued);
    let cancelled = [
        (&open, 3, description(false)),
        (&key, 8, mark(RecordedState::Cancelled)),
    ];
    assert_eq!(found(cancelled.to_vec()), (200, Some(JobState::Cancelled)));
}
