//! What this node has seen of jobs' records.

use crate::config::Config;
use crate::records::{JobStateRecord, OpenJob, RecordedState};
use dillcleat_wire::store::KeyValue;
use dillcleat_wire::user::JobKind;
use std::collections::{HashMap, VecDeque};

/// Memory that an entry takes, in bytes, roughly.
const ENTRY_BYTES: f64 = 200.0;
/// The part of the node's memory that the cache may take.
const MEMORY_PART: f64 = 1.0 / 8.0;

/// What a read or write of a job's records has shown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownJob {
    pub record: JobStateRecord,
    /// The version of an open job's state record; 0 if it has none.
    pub version: u64,
    /// Whether it is an open service, which is never done.
    pub is_service: bool,
}

impl KnownJob {
    /// An open job without a state record.
    pub fn newly_open(job: &OpenJob) -> KnownJob {
        KnownJob {
            record: JobStateRecord {
                state: RecordedState::Open,
                task_count: job.spec.tasks,
            },
            version: 0,
            is_service: job.spec.kind == JobKind::Service,
        }
    }

    /// A job whose open record was read from this row.
    pub fn from_open_row(job: &OpenJob, row: &KeyValue) -> KnownJob {
        KnownJob {
            version: job.state_version(row.version),
            ..KnownJob::newly_open(job)
        }
    }

    /// A job whose state record was read.
    pub fn from_state_record(record: JobStateRecord, version: u64) -> KnownJob {
        KnownJob {
            record,
            version,
            is_service: false,
        }
    }

    /// A job whose end is in the store.
    pub fn ended(record: JobStateRecord) -> KnownJob {
        KnownJob::from_state_record(record, 0)
    }

    /// Whether the job is neither done nor cancelled, as far as was seen.
    pub fn is_open(&self) -> bool {
        self.record.state == RecordedState::Open
    }
}

/// Jobs whose records this node has seen. Bounded: the oldest are forgotten first, and
/// are read again when somebody asks.
///
/// Not one of the usual LRU caches: an ended job must never be replaced by an open one,
/// and the order is that of the first sight, so that a read costs no bookkeeping.
#[derive(Debug)]
pub(crate) struct JobCache {
    jobs: HashMap<String, KnownJob>,
    /// Oldest first.
    insertion_order: VecDeque<String>,
    capacity: usize,
}

impl JobCache {
    /// An empty cache, bounded by a part of the node's memory.
    pub fn new(config: &Config) -> JobCache {
        JobCache {
            jobs: HashMap::new(),
            insertion_order: VecDeque::new(),
            capacity: (config.memory_mb * 1e6 * MEMORY_PART / ENTRY_BYTES) as usize,
        }
    }

    /// What is known of the job.
    pub fn get(&self, id: &str) -> Option<KnownJob> {
        self.jobs.get(id).copied()
    }

    /// What is known of the job, if it has ended.
    pub fn get_ended(&self, id: &str) -> Option<KnownJob> {
        self.get(id).filter(|known| !known.is_open())
    }

    /// Stores what was seen of a job. An ended job stays ended, whatever a late response
    /// says.
    pub fn insert(&mut self, id: &str, seen: KnownJob) {
        if let Some(known) = self.jobs.get_mut(id) {
            if known.is_open() {
                *known = seen;
            }
            return;
        }
        self.jobs.insert(id.to_string(), seen);
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
