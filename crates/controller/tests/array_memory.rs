//! The memory that a leader needs for open arrays of the largest size that users may submit.

mod common;

use common::leader_fixture::{LeaderFixture, START};
use common::{nth_term, row};
use dillcleat_controller::records::{self, CancelledJob, OpenJob, TaskRange, TaskRecord};
use dillcleat_controller::{Input, SECOND};
use dillcleat_wire::store::{KeyValue, WatchEvent};
use dillcleat_wire::user::{JobKind, JobSpec};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The number of tasks of the largest array.
const MAX_TASKS: u32 = 100_000;
const TASKS_PER_CHUNK: u32 = 100;
/// The maximum memory of an array whose tasks are all waiting.
const MAX_BYTES_WAITING: usize = 20_000;
/// The maximum memory of an array in the worst mixture of states, without its placed tasks.
const MAX_BYTES_MIXED: usize = 100_000;

/// The allocations of other tests must not be measured.
static MEASUREMENT: Mutex<()> = Mutex::new(());

fn measure_alone() -> MutexGuard<'static, ()> {
    MEASUREMENT.lock().unwrap_or_else(PoisonError::into_inner)
}

fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

fn array_id(array: usize) -> String {
    format!("req-{:06}", 100 + array)
}

/// The open record of an array of the largest size.
fn array_row(array: usize) -> KeyValue {
    let id = array_id(array);
    let spec = JobSpec {
        team: "t".into(),
        ..JobSpec::plain(&id, JobKind::Batch, MAX_TASKS, 0.25)
    };
    let open = OpenJob {
        spec,
        submitted_at_us: START,
        tasks_per_chunk: TASKS_PER_CHUNK,
        without_state_record: true,
        parallelism_limit: None,
    };
    row(records::open_job_key(&id), &open)
}

/// The task records of an array, each built from the indexes of its tasks.
fn task_rows(array: usize, record: fn(std::ops::Range<u32>) -> TaskRecord) -> Vec<KeyValue> {
    let chunks = 0..MAX_TASKS / TASKS_PER_CHUNK;
    let rows = chunks.map(|chunk| {
        let first = chunk * TASKS_PER_CHUNK;
        let key = records::tasks_key(&array_id(array), TaskRange::Chunk(chunk));
        row(key, &record(first..first + TASKS_PER_CHUNK))
    });
    rows.collect()
}

/// Every second task is done.
fn every_second_done(tasks: std::ops::Range<u32>) -> TaskRecord {
    let done = tasks.step_by(2).map(|index| (index, index).into());
    TaskRecord {
        done: done.collect(),
        ..TaskRecord::default()
    }
}

/// Every task has failed once or twice.
fn all_failed(tasks: std::ops::Range<u32>) -> TaskRecord {
    let waiting = tasks.map(|index| (index, u64::from(index % 2) + 1).into());
    TaskRecord {
        waiting: waiting.collect(),
        ..TaskRecord::default()
    }
}

/// A leader that has recovered these arrays, with one machine that is not reachable.
fn leader_of(
    arrays: usize,
    record: Option<fn(std::ops::Range<u32>) -> TaskRecord>,
) -> LeaderFixture {
    let mut fixture = LeaderFixture::new();
    fixture.env.queue_rows.extend((0..arrays).map(array_row));
    if let Some(record) = record {
        for array in 0..arrays {
            fixture.env.task_rows.extend(task_rows(array, record));
        }
    }
    fixture.step(0, Input::Tick);
    assert_eq!(fixture.node.leading(), Some(nth_term(1)));
    fixture.env.queue_rows.clear();
    fixture.env.task_rows.clear();
    fixture
}

/// The memory that the fixture's node uses.
fn into_node_bytes(fixture: LeaderFixture) -> usize {
    let node = fixture.node;
    let before = allocated_bytes();
    drop(node);
    before - allocated_bytes()
}

fn assert_bytes_per_array(fixture: LeaderFixture, arrays: usize, max_bytes: usize) {
    let without_arrays = into_node_bytes(leader_of(0, None));
    let bytes = into_node_bytes(fixture).saturating_sub(without_arrays) / arrays;
    assert!(bytes <= max_bytes, "{bytes} bytes for each array");
}

/// Guards against review/4: twenty waiting arrays took a leader and each of its successors over
/// their memory limit.
#[test]
fn waiting_array_takes_little_memory_after_recovery() {
    let _alone = measure_alone();
    assert_bytes_per_array(leader_of(20, None), 20, MAX_BYTES_WAITING);
}

/// As above, for arrays that a running leader learns of by its watch.
#[test]
fn waiting_array_takes_little_memory_after_submission() {
    let _alone = measure_alone();
    let mut fixture = leader_of(0, None);
    let events = (0..20).map(|array| LeaderFixture::put_event(array_row(array)));
    fixture.answer_watches(SECOND, events.collect());
    fixture.step(2 * SECOND, Input::Tick);
    assert_bytes_per_array(fixture, 20, MAX_BYTES_WAITING);
}

/// As above, for arrays whose done tasks don't form ranges.
#[test]
fn half_done_array_takes_little_memory() {
    let _alone = measure_alone();
    assert_bytes_per_array(leader_of(4, Some(every_second_done)), 4, MAX_BYTES_MIXED);
}

/// As above, for arrays whose tasks have all failed.
#[test]
fn array_of_failed_tasks_takes_little_memory() {
    let _alone = measure_alone();
    assert_bytes_per_array(leader_of(4, Some(all_failed)), 4, MAX_BYTES_MIXED);
}

/// As above, for cancelled arrays whose task records are queued for deletion.
#[test]
fn cancelled_array_takes_little_memory() {
    let _alone = measure_alone();
    let mut fixture = leader_of(4, Some(every_second_done));
    let cancellations = (0..4).map(|array| {
        let cancelled = CancelledJob {
            cancelled_at_us: START + SECOND,
        };
        LeaderFixture::put_event(row(
            records::cancelled_job_key(&array_id(array)),
            &cancelled,
        ))
    });
    fixture.answer_watches(SECOND, cancellations.collect::<Vec<WatchEvent>>());
    for second in 2..6 {
        fixture.step(second * SECOND, Input::Tick);
    }
    let transactions = &fixture.env.transactions;
    let deletes_open_record = |key: &String| *key == records::open_job_key(&array_id(3));
    let deleted = transactions
        .iter()
        .flat_map(|transaction| &transaction.then);
    assert!(
        deleted
            .filter_map(|mutation| match mutation {
                dillcleat_wire::store::Mutation::Delete { key } => Some(key),
                dillcleat_wire::store::Mutation::Put { .. } => None,
            })
            .any(deletes_open_record),
        "the jobs are removed"
    );
    assert_bytes_per_array(fixture, 4, MAX_BYTES_MIXED);
}

/// As above, for ended arrays whose task records a new leader has found.
#[test]
fn leftover_task_records_of_an_ended_array_take_little_memory() {
    let _alone = measure_alone();
    let mut fixture = LeaderFixture::new();
    for array in 0..4 {
        fixture
            .env
            .task_rows
            .extend(task_rows(array, every_second_done));
    }
    fixture.step(0, Input::Tick);
    fixture.env.task_rows.clear();
    assert_bytes_per_array(fixture, 4, MAX_BYTES_MIXED);
}
