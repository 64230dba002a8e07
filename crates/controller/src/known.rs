//! What a node has seen of jobs' records.

use crate::Config;
use crate::store::{JobMark, Mark, OpenJob};
use dillcleat_wire::state::Row;
use dillcleat_wire::user::Kind;
use std::collections::{HashMap, VecDeque};

#[derive(Debug, Clone, Copy)]
pub(crate) struct Known {
    pub mark: JobMark,
    /// Of an open job's mark; 0 if it has none.
    pub version: u64,
    /// It is open, and a service.
    pub service: bool,
}

impl Known {
    /// As its description tells of it.
    pub fn open(job: &OpenJob, row: &Row) -> Known {
        Known {
            mark: JobMark {
                s: Mark::Open,
                n: job.spec.tasks,
            },
            version: job.mark_version(row.version),
            service: job.spec.kind == Kind::Service,
        }
    }

    /// As its mark tells of it, of this version.
    pub fn marked(mark: JobMark, version: u64) -> Known {
        Known {
            mark,
            version,
            service: false,
        }
    }

    /// Its end is in the store.
    pub fn ended(mark: JobMark) -> Known {
        Known::marked(mark, 0)
    }
}

/// Jobs whose record this node has seen. Bounded; the oldest are forgotten
/// first and simply read again when somebody asks.
#[derive(Debug)]
pub(crate) struct Cache {
    jobs: HashMap<String, Known>,
    /// In the order in which they are forgotten.
    order: VecDeque<String>,
    limit: usize,
}

impl Cache {
    /// An entry takes some 200 bytes: at most an eighth of the memory.
    pub fn new(config: &Config) -> Cache {
        Cache {
            jobs: HashMap::new(),
            order: VecDeque::new(),
            limit: (config.memory_mb * 1e6 / 8.0 / 200.0) as usize,
        }
    }

    pub fn get(&self, id: &str) -> Option<Known> {
        self.jobs.get(id).copied()
    }

    /// How the job ended, if that was seen.
    pub fn end(&self, id: &str) -> Option<Known> {
        self.get(id).filter(|known| known.mark.s != Mark::Open)
    }

    pub fn put(&mut self, id: &str, known: Known) {
        if let Some(old) = self.jobs.get_mut(id) {
            // An ended job stays ended, whatever a late answer says.
            if old.mark.s == Mark::Open {
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
