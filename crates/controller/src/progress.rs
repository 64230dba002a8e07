//! How many tasks of each job are done and run, by the leader's word, for display.
//!
//! A leader tells what has changed. Whoever starts later, or was out of reach, missed
//! that, and of a job of which nothing is done and nothing runs a new leader says
//! nothing: so everything is told again to a controller that is heard anew, and once a
//! new leader has had the time to hear its machines.

use crate::{Micros, SECOND};
use dillcleat_peer_protocol::{JobProgress, MAX_PROGRESS};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Jobs that are kept: those of 6,000 machines with ten jobs of one task each, in some
/// 6 MB.
const MAX_JOBS: usize = 64_000;
/// How long a new leader's word is that it has heard its machines.
const HEARING: Micros = 10 * SECOND;

#[derive(Debug, Clone, Copy)]
struct Counts {
    done: u32,
    running: u32,
    /// Told by the present leader of this process.
    own: bool,
}

#[derive(Debug, Default)]
pub(crate) struct TaskCounts {
    jobs: BTreeMap<String, Counts>,
    /// Jobs that have ended since that was told.
    over: Vec<String>,
    /// After which job telling everything goes on; None when that is done.
    after: Option<String>,
    /// When the new leader of this process has heard its machines.
    heard_at: Option<Micros>,
}

impl TaskCounts {
    /// Tasks of a job that are done, and that run.
    pub fn get(&self, job: &str) -> Option<(u32, u32)> {
        self.jobs.get(job).map(|c| (c.done, c.running))
    }

    fn put(&mut self, told: JobProgress, own: bool) {
        let JobProgress { job, done, running } = told;
        // That is also what is told of a job that has ended.
        if (done, running) == (0, 0) {
            self.jobs.remove(&job);
            return;
        }
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            self.jobs.retain(|_, c| c.running > 0);
            if self.jobs.len() > MAX_JOBS * 9 / 10 {
                self.jobs.clear();
            }
        }
        let counts = Counts { done, running, own };
        self.jobs.insert(job, counts);
    }

    /// A leader elsewhere has told this.
    pub fn heard(&mut self, told: Vec<JobProgress>) {
        for progress in told {
            self.put(progress, false);
        }
    }

    /// The leader of this process tells this.
    pub fn shown(&mut self, told: &[JobProgress]) {
        for progress in told {
            self.put(progress.clone(), true);
        }
    }

    /// The leader of this process has stored the end of a job.
    pub fn ended(&mut self, job: &str) {
        self.jobs.remove(job);
        self.over.push(job.to_string());
    }

    /// This process leads from now on.
    pub fn elected(&mut self, now: Micros) {
        for counts in self.jobs.values_mut() {
            counts.own = false;
        }
        self.over.clear();
        self.after = None;
        self.heard_at = Some(now + HEARING);
    }

    /// A controller is heard that was not before: it may have missed anything.
    pub fn tell_all(&mut self) {
        self.after = Some(String::new());
    }

    /// What the leader of this process has to tell besides what has changed, `all` of
    /// which is told, or there is more.
    pub fn tell(&mut self, all: bool, now: Micros) -> Vec<Vec<JobProgress>> {
        if all && self.heard_at.is_some_and(|at| now >= at) {
            self.heard_at = None;
            self.tell_all();
        }
        let nothing = |job: String| JobProgress {
            job,
            done: 0,
            running: 0,
        };
        let mut told: Vec<JobProgress> = self.over.drain(..).map(nothing).collect();
        if let Some(after) = self.after.take() {
            let rest = self.jobs.range::<str, _>((Excluded(&*after), Unbounded));
            let page: Vec<(String, Counts)> = rest
                .take(MAX_PROGRESS)
                .map(|(job, c)| (job.clone(), *c))
                .collect();
            if page.len() == MAX_PROGRESS {
                self.after = page.last().map(|(job, _)| job.clone());
            }
            for (job, Counts { done, running, own }) in page {
                if own {
                    told.push(JobProgress { job, done, running });
                } else if self.heard_at.is_none() {
                    // A leader before this one has told it, and it is so no more.
                    self.jobs.remove(&job);
                    told.push(nothing(job));
                }
            }
        }
        told.chunks(MAX_PROGRESS).map(<[_]>::to_vec).collect()
    }
}
