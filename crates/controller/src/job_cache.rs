//! What a node has seen of jobs' records.

use crate::Config;
use crate::records::{JobStateRecord, OpenJob, RecordedState};
use dillcleat_wire::store::KeyValue;
use dillcleat_wire::user::JobKind;
use std::collections::{HashMap, VecDeque};

#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownJob {
    pub mark: JobStateRecord,
    /// Of an open job's mark; 0 if it has none.
    pub version: u64,
    /// It is open, and a service.
    pub service: bool,
}

impl KnownJob {
    /// As its description tells of it.
    pub fn open(job: &OpenJob, row: &KeyValue) -> KnownJob {
        KnownJob {
            mark: JobStateRecord {
                state: RecordedState::Open,
                task_count: job.spec.tasks,
            },
            version: job.state_version(row.version),
            service: job.spec.kind == JobKind::Service,
        }
    }

    /// As its mark tells of it, of this version.
    pub fn marked(mark: JobStateRecord, version: u64) -> KnownJob {
        KnownJob {
            mark,
            version,
            service: false,
        }
    }

    /// Its end is in the store.
    pub fn ended(mark: JobStateRecord) -> KnownJob {
        KnownJob::marked(mark, 0)
    }
}

/// Jobs whose record this node has seen. Bounded; the oldest are forgotten
/// first and simply read again when somebody asks.
#[derive(Debug)]
pub(crate) struct JobCache {
    jobs: HashMap<String, KnownJob>,
    /// In the order in which they are forgotten.
    order: VecDeque<String>,
    limit: usize,
}

impl JobCache {
    /// An entry takes some 200 bytes: at most an eighth of the memory.
    pub fn new(config: &Config) -> JobCache {
        JobCache {
            jobs: HashMap::new(),
            order: VecDeque::new(),
            limit: (config.memory_mb * 1e6 / 8.0 / 200.0) as usize,
        }
    }

    pub fn get(&self, id: &str) -> Option<KnownJob> {
        self.jobs.get(id).copied()
    }

    /// How the job ended, if that was seen.
    pub fn end(&self, id: &str) -> Option<KnownJob> {
        self.get(id)
            .filter(|known| known.mark.state != RecordedState::Open)
    }

    pub fn put(&mut self, id: &str, known: KnownJob) {
        if let Some(old) = self.jobs.get_mut(id) {
            // An ended job stays ended, whatever a late answer says.
            if old.mark.state == RecordedState::Open {
                *old = known;
            }
            return;
        }
        self.jobs.insert(id.to_string(), known);
        self.order.push_back(id.to_string());
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }
}
