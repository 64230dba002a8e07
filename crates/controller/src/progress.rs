//! How many tasks of each job are done and running, as leaders report it, for display.
//!
//! A leader sends its peers what has changed. A peer that started later, or was out of
//! reach, missed that, and of a job of which nothing is done and nothing runs a new leader
//! sends nothing: so everything is sent again to a peer that becomes reachable, and once a
//! new leader has had the time to hear from its machines.

use crate::{Micros, SECOND};
use dillcleat_peer_protocol::{JobProgress, MAX_PROGRESS_JOBS};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Jobs that are kept: those of 6,000 machines with ten jobs of one task each, in some
/// 6 MB.
const MAX_JOBS: usize = 64_000;
/// How long after its election a leader is taken to have heard from its machines.
const MACHINES_HEARD_AFTER: Micros = 10 * SECOND;

/// The tasks of one job that are done, and that run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

impl TaskCounts {
    /// Also what is sent of a job that has ended.
    pub const NONE: TaskCounts = TaskCounts {
        done: 0,
        running: 0,
    };

    /// The message that says so of a job.
    pub fn message(self, job: String) -> JobProgress {
        JobProgress {
            job,
            done: self.done,
            running: self.running,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    counts: TaskCounts,
    /// Reported by the present leader of this process.
    is_own: bool,
}

/// The progress of jobs. A job without an entry has no task that is done or runs.
#[derive(Debug, Default)]
pub(crate) struct ProgressTable {
    jobs: BTreeMap<String, Entry>,
    /// Jobs that have ended since their end was last sent.
    ended: Vec<String>,
    /// The job after which the repetition of everything continues; None when it is done.
    repeat_after: Option<String>,
    /// When the new leader of this process has heard from its machines; None once
    /// everything is being repeated for it.
    machines_heard_at: Option<Micros>,
}

impl ProgressTable {
    /// The counts of a job, unless both are zero.
    pub fn get(&self, job: &str) -> Option<TaskCounts> {
        self.jobs.get(job).map(|entry| entry.counts)
    }

    fn set(&mut self, progress: JobProgress, is_own: bool) {
        let JobProgress { job, done, running } = progress;
        let counts = TaskCounts { done, running };
        if counts == TaskCounts::NONE {
            self.jobs.remove(&job);
            return;
        }
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            self.jobs.retain(|_, entry| entry.counts.running > 0);
            if self.jobs.len() > MAX_JOBS * 9 / 10 {
                self.jobs.clear();
            }
        }
        self.jobs.insert(job, Entry { counts, is_own });
    }

    /// A leader elsewhere has sent this.
    pub fn receive(&mut self, progress: Vec<JobProgress>) {
        for job in progress {
            self.set(job, false);
        }
    }

    /// The leader of this process sends this.
    pub fn set_own(&mut self, progress: &[JobProgress]) {
        for job in progress {
            self.set(job.clone(), true);
        }
    }

    /// The leader of this process has stored the end of a job.
    pub fn job_ended(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.push(job.to_string());
    }

    /// This process leads from now on.
    pub fn elected(&mut self, now: Micros) {
        for entry in self.jobs.values_mut() {
            entry.is_own = false;
        }
        self.ended.clear();
        self.repeat_after = None;
        self.machines_heard_at = Some(now + MACHINES_HEARD_AFTER);
    }

    /// A peer is reachable that was not before: it may have missed anything, so everything
    /// is sent again.
    pub fn repeat_all(&mut self) {
        self.repeat_after = Some(String::new());
    }

    /// What the leader of this process has to send besides its changes, as messages of at
    /// most [`MAX_PROGRESS_JOBS`] jobs. `all_changes_sent` says that it has no more changes than
    /// it sends now.
    pub fn next_messages(&mut self, all_changes_sent: bool, now: Micros) -> Vec<Vec<JobProgress>> {
        if all_changes_sent && self.machines_heard_at.is_some_and(|at| now >= at) {
            self.machines_heard_at = None;
            self.repeat_all();
        }
        let ended = self.ended.drain(..);
        let mut progress: Vec<JobProgress> =
            ended.map(|job| TaskCounts::NONE.message(job)).collect();
        if let Some(after) = self.repeat_after.take() {
            self.repeat_page(&after, &mut progress);
        }
        progress
            .chunks(MAX_PROGRESS_JOBS)
            .map(<[_]>::to_vec)
            .collect()
    }

    /// Adds the progress of the jobs after one, as many as one message holds.
    fn repeat_page(&mut self, after: &str, progress: &mut Vec<JobProgress>) {
        let rest = self.jobs.range::<str, _>((Excluded(after), Unbounded));
        let page: Vec<(String, Entry)> = rest
            .take(MAX_PROGRESS_JOBS)
            .map(|(job, entry)| (job.clone(), *entry))
            .collect();
        if page.len() == MAX_PROGRESS_JOBS {
            self.repeat_after = page.last().map(|(job, _)| job.clone());
        }
        for (job, entry) in page {
            if entry.is_own {
                progress.push(entry.counts.message(job));
            } else if self.machines_heard_at.is_none() {
                // A leader before this one has reported it, and it is so no more.
                self.jobs.remove(&job);
                progress.push(TaskCounts::NONE.message(job));
            }
        }
    }
}
