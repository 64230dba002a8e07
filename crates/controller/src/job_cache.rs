//! A cache of the job states that this node has read or written.

use crate::config::Config;
use crate::records::{JobStateRecord, OpenJob, RecordedState};
use dillcleat_wire::store::KeyValue;
use dillcleat_wire::user::JobKind;
use std::collections::{HashMap, VecDeque};

/// The approximate memory use of an entry.
const ENTRY_BYTES: f64 = 200.0;
/// The fraction of the node's memory that the cache may use.
const MEMORY_FRACTION: f64 = 1.0 / 8.0;

/// The state of a job, as shown by a read or write of its records.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CachedJobState {
    pub record: JobStateRecord,
    /// The version of an open job's state record; 0 if it has none.
    pub version: u64,
    /// Whether this is an open service job. Services run until they are cancelled.
    pub is_service: bool,
}

impl CachedJobState {
    /// The state of an open job without a state record.
    pub fn newly_open(job: &OpenJob) -> CachedJobState {
        CachedJobState {
            record: JobStateRecord {
                state: RecordedState::Open,
                task_count: job.spec.tasks,
            },
            version: 0,
            is_service: job.spec.kind == JobKind::Service,
        }
    }

    /// The state of a job whose open record was read from `row`.
    pub fn from_open_row(job: &OpenJob, row: &KeyValue) -> CachedJobState {
        CachedJobState {
            version: job.state_version(row.version),
            ..CachedJobState::newly_open(job)
        }
    }

    /// The state of a job whose state record was read.
    pub fn from_state_record(record: JobStateRecord, version: u64) -> CachedJobState {
        CachedJobState {
            record,
            version,
            is_service: false,
        }
    }

    /// The state of a job whose end is stored.
    pub fn ended(record: JobStateRecord) -> CachedJobState {
        CachedJobState::from_state_record(record, 0)
    }

    /// Whether the job was neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.record.state == RecordedState::Open
    }
}

/// A bounded cache of job states, which evicts entries in the order of their insertion.
///
/// While an ended job is cached, it is never replaced by an open state. Lookups do not change
/// the order of eviction.
#[derive(Debug)]
pub(crate) struct JobCache {
    jobs: HashMap<String, CachedJobState>,
    /// The ids of the cached jobs, the oldest entry first.
    insertion_order: VecDeque<String>,
    capacity: usize,
}

impl JobCache {
    /// Creates an empty cache, whose capacity depends on the node's memory.
    pub fn new(config: &Config) -> JobCache {
        JobCache {
            jobs: HashMap::new(),
            insertion_order: VecDeque::new(),
            capacity: (config.memory_mb * 1e6 * MEMORY_FRACTION / ENTRY_BYTES) as usize,
        }
    }

    /// The cached state of the job.
    pub fn get(&self, id: &str) -> Option<CachedJobState> {
        self.jobs.get(id).copied()
    }

    /// The cached state of the job, if the job has ended.
    pub fn get_ended(&self, id: &str) -> Option<CachedJobState> {
        self.get(id).filter(|cached| !cached.is_open())
    }

    /// Inserts or replaces the state of a job. An ended job stays ended even if a delayed
    /// response shows it as open.
    pub fn insert(&mut self, id: &str, state: CachedJobState) {
        if let Some(cached) = self.jobs.get_mut(id) {
            if cached.is_open() {
                *cached = state;
            }
            return;
        }
        self.jobs.insert(id.to_string(), state);
        self.insertion_order.push_back(id.to_string());
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        while self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }
}
