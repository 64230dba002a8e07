//! The user protocol: submission, polling and cancellation of jobs.

mod job;
mod route;
mod status;
mod submission;

pub use job::{JobKind, JobSpec, Priority, QuotaUsage};
pub use route::{HEALTH_PATH, JOBS_PATH, Route, cancel_path, poll_path, route};
pub use status::{ErrorReply, JobState, JobStatus};
pub use submission::{MAX_TASKS, SpecError, SpecField, Submission, is_job_id, parse_submission};
