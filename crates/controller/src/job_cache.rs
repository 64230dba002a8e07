//! A cache of the job states that this node has read or written.

use crate::config::Config;
use crate::records::{JobStateRecord, OpenJob, RecordedState};
use crate::time::Micros;
use dillcleat_wire::user::JobKind;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The approximate memory use of an entry without its dependencies.
const ENTRY_BYTES: usize = 200;
/// The approximate memory use of a dependency of an open job.
const DEPENDENCY_BYTES: usize = 50;
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
    /// The state of an open job. `version` is that of its state record; 0 if it has none.
    fn open(job: &OpenJob, version: u64) -> CachedJobState {
        CachedJobState {
            record: JobStateRecord {
                state: RecordedState::Open,
                task_count: job.spec.tasks,
            },
            version,
            is_service: job.spec.kind == JobKind::Service,
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

/// The ids of the jobs on which a job depends directly.
pub(crate) type Dependencies = Rc<[Rc<str>]>;

/// What is known of an open job and its ancestors, the jobs that it needs directly or through
/// others. Times are on the monotonic clock, and 0 if there is no proof.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenProof {
    /// The job was not cancelled at this time.
    pub open_at: Micros,
    /// No ancestor was cancelled at this time. Meaningless without dependencies.
    pub ancestors_open_at: Micros,
    /// The jobs on which it depends according to its open record.
    pub dependencies: Dependencies,
}

#[derive(Debug)]
struct CacheEntry {
    state: CachedJobState,
    /// Empty for an ended job.
    proof: OpenProof,
}

impl CacheEntry {
    fn bytes(&self) -> usize {
        ENTRY_BYTES + DEPENDENCY_BYTES * self.proof.dependencies.len()
    }
}

/// A bounded cache of job states, which evicts entries in the order of their insertion.
///
/// While an ended job is cached, it is never replaced by an open state. Lookups do not change
/// the order of eviction.
#[derive(Debug)]
pub(crate) struct JobCache {
    jobs: HashMap<String, CacheEntry>,
    /// The ids of the cached jobs, the oldest entry first.
    insertion_order: VecDeque<String>,
    /// The memory that the entries use.
    bytes: usize,
    max_bytes: usize,
}

impl JobCache {
    /// Creates an empty cache, whose capacity depends on the node's memory.
    pub fn new(config: &Config) -> JobCache {
        JobCache {
            jobs: HashMap::new(),
            insertion_order: VecDeque::new(),
            bytes: 0,
            max_bytes: (config.memory_mb * 1e6 * MEMORY_FRACTION) as usize,
        }
    }

    /// The cached state of the job.
    pub fn get(&self, id: &str) -> Option<CachedJobState> {
        self.jobs.get(id).map(|entry| entry.state)
    }

    /// The cached state of the job, if the job has ended.
    pub fn get_ended(&self, id: &str) -> Option<CachedJobState> {
        self.get(id).filter(|cached| !cached.is_open())
    }

    /// What is known of a job that is cached as open.
    pub fn open_proof(&self, id: &str) -> Option<&OpenProof> {
        let entry = self.jobs.get(id).filter(|entry| entry.state.is_open())?;
        Some(&entry.proof)
    }

    /// Records that the job was not cancelled at this time.
    pub fn record_open(&mut self, id: &str, at: Micros) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.proof.open_at = entry.proof.open_at.max(at);
        }
    }

    /// Records that no ancestor of the job was cancelled at this time.
    pub fn record_ancestors_open(&mut self, id: &str, at: Micros) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.proof.ancestors_open_at = entry.proof.ancestors_open_at.max(at);
        }
    }

    /// Inserts an open job. `version` is that of its state record; 0 if it has none. Returns
    /// its state: an ended job stays ended even if a delayed response shows it as open.
    pub fn insert_open(&mut self, id: &str, job: &OpenJob, version: u64) -> CachedJobState {
        let state = CachedJobState::open(job, version);
        if let Some(entry) = self.jobs.get_mut(id) {
            if entry.state.is_open() {
                entry.state = state;
            }
            return entry.state;
        }
        let names = job.spec.depends_on.iter();
        let proof = OpenProof {
            dependencies: names.map(|name| Rc::from(name.as_str())).collect(),
            ..OpenProof::default()
        };
        self.insert_entry(id, CacheEntry { state, proof });
        state
    }

    /// Inserts or replaces the state of a job as its state record shows it. An ended job stays
    /// ended even if a delayed response shows it as open.
    pub fn insert(&mut self, id: &str, state: CachedJobState) {
        if let Some(entry) = self.jobs.get_mut(id) {
            if entry.state.is_open() {
                entry.state = state;
            }
            if !entry.state.is_open() {
                self.bytes -= entry.bytes();
                entry.proof = OpenProof::default();
                self.bytes += entry.bytes();
            }
            return;
        }
        let proof = OpenProof::default();
        self.insert_entry(id, CacheEntry { state, proof });
    }

    fn insert_entry(&mut self, id: &str, entry: CacheEntry) {
        self.bytes += entry.bytes();
        self.jobs.insert(id.to_string(), entry);
        self.insertion_order.push_back(id.to_string());
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        // The newest entry is kept however large it is: its reader is about to use it.
        while self.bytes > self.max_bytes && self.insertion_order.len() > 1 {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            if let Some(entry) = self.jobs.remove(&oldest) {
                self.bytes -= entry.bytes();
            }
        }
    }
}
