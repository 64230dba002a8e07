//! The number of done and of running tasks of each job, as reported by leaders. For display.
//!
//! A leader sends changes to its peers. It resends the whole table when a peer becomes
//! reachable, since the peer may have missed changes. A new leader also resends it once its
//! machines have had time to report, since it sends no change for a job that has neither
//! done nor running tasks, and peers may hold outdated counts for such a job.

use crate::{Micros, SECOND};
use dillcleat_peer_protocol::{JobProgress, MAX_PROGRESS_JOBS};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// The maximum number of jobs in the table; see [`ProgressTable::set`]. This is enough for 6,000
/// machines with ten jobs of one task each, and takes about 6 MB.
const MAX_JOBS: usize = 64_000;
/// The time after its election within which a leader's machines are expected to have
/// reported their tasks.
const MACHINE_REPORT_TIME: Micros = 10 * SECOND;

/// The number of done and of running tasks of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

impl TaskCounts {
    /// No task is done or running. Also reported for a job that has ended.
    pub const NONE: TaskCounts = TaskCounts {
        done: 0,
        running: 0,
    };

    /// The message that reports these counts for a job.
    pub fn into_progress(self, job: String) -> JobProgress {
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
    /// Whether the current leader in this process has reported the counts.
    is_own: bool,
}

/// The progress of jobs. A job without an entry has no done and no running tasks.
#[derive(Debug, Default)]
pub(crate) struct ProgressTable {
    jobs: BTreeMap<String, Entry>,
    /// The jobs that have ended and whose end has not been sent yet.
    ended: Vec<String>,
    /// While the table is being resent, the job after which the next page begins.
    resend_after: Option<String>,
    /// When the machines of the new leader in this process are expected to have reported,
    /// which may be in the future; None once the table is resent for that reason.
    reports_expected_by: Option<Micros>,
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
        // Makes room by dropping jobs without running tasks, or all entries if that is not
        // enough.
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            self.jobs.retain(|_, entry| entry.counts.running > 0);
            if self.jobs.len() > MAX_JOBS * 9 / 10 {
                self.jobs.clear();
            }
        }
        self.jobs.insert(job, Entry { counts, is_own });
    }

    /// Records the progress that a leader in another process has sent.
    pub fn receive(&mut self, progress: Vec<JobProgress>) {
        for job in progress {
            self.set(job, false);
        }
    }

    /// Records the progress that the leader in this process sends.
    pub fn set_own(&mut self, progress: &[JobProgress]) {
        for job in progress {
            self.set(job.clone(), true);
        }
    }

    /// Records that the leader in this process has stored the end of a job.
    pub fn job_ended(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.push(job.to_string());
    }

    /// Begins a term of a leader in this process.
    pub fn begin_term(&mut self, now: Micros) {
        for entry in self.jobs.values_mut() {
            entry.is_own = false;
        }
        self.ended.clear();
        self.resend_after = None;
        self.reports_expected_by = Some(now + MACHINE_REPORT_TIME);
    }

    /// Starts to resend the whole table.
    pub fn resend_all(&mut self) {
        self.resend_after = Some(String::new());
    }

    /// The messages that the leader in this process sends in addition to its changes, each
    /// with at most [`MAX_PROGRESS_JOBS`] jobs. `all_changes_sent` says whether no changes remain
    /// after those that the leader sends now.
    pub fn next_messages(&mut self, all_changes_sent: bool, now: Micros) -> Vec<Vec<JobProgress>> {
        if all_changes_sent && self.reports_expected_by.is_some_and(|at| now >= at) {
            self.reports_expected_by = None;
            self.resend_all();
        }
        let ended = self.ended.drain(..);
        let mut progress: Vec<JobProgress> = ended
            .map(|job| TaskCounts::NONE.into_progress(job))
            .collect();
        if let Some(after) = self.resend_after.take() {
            self.resend_page(&after, &mut progress);
        }
        progress
            .chunks(MAX_PROGRESS_JOBS)
            .map(<[_]>::to_vec)
            .collect()
    }

    /// Adds one page of the resent table to `progress`: the jobs after the job `after`.
    fn resend_page(&mut self, after: &str, progress: &mut Vec<JobProgress>) {
        let rest = self.jobs.range::<str, _>((Excluded(after), Unbounded));
        let page: Vec<(String, Entry)> = rest
            .take(MAX_PROGRESS_JOBS)
            .map(|(job, entry)| (job.clone(), *entry))
            .collect();
        if page.len() == MAX_PROGRESS_JOBS {
            self.resend_after = page.last().map(|(job, _)| job.clone());
        }
        for (job, entry) in page {
            if entry.is_own {
                progress.push(entry.counts.into_progress(job));
            } else if self.reports_expected_by.is_none() {
                // Only an earlier leader reported these counts, so they are outdated.
                self.jobs.remove(&job);
                progress.push(TaskCounts::NONE.into_progress(job));
            }
        }
    }
}
