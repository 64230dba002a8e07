//! Application of the records of the stored job queue: descriptions of open jobs, and
//! cancellations.

use super::Leader;
use super::job::Job;
use crate::Micros;
use crate::calls::Context;
use crate::records::{self, CancelledJob, OpenJob};
use dillcleat_wire::store::{self, Value};
use dillcleat_wire::user::JobKind;
use std::rc::Rc;

impl Leader {
    /// Applies a record of the queue: a description or a cancellation. Applying a record
    /// again has no effect.
    pub(super) fn apply_queue_record(
        &mut self,
        ctx: &Context,
        key: &str,
        value: &Value,
        version: u64,
    ) {
        if let Some(id) = key.strip_prefix(records::OPEN_JOBS_PREFIX) {
            self.apply_description(ctx, id, value, version);
        } else if let Some(id) = key.strip_prefix(records::CANCELLED_JOBS_PREFIX) {
            self.apply_cancellation_record(ctx, id, value);
        }
    }

    fn apply_description(&mut self, ctx: &Context, id: &str, value: &Value, version: u64) {
        if self.jobs.contains_key(id) {
            return;
        }
        let Some(open) = store::decode_value::<OpenJob>(value) else {
            log::error!("unreadable job description job={id}");
            return self.add_undecodable_job(ctx, id, value);
        };
        // If the team was removed from the settings, perhaps only from those of this controller,
        // its waiting tasks stay waiting and its running tasks keep running.
        let team = ctx.config.team(&open.spec.team).unwrap_or_else(|| {
            log::error!("unknown team job={id} team={}", open.spec.team);
            ctx.config.teams.len()
        });
        let state_version = open.state_version(version);
        let run_time_s = self
            .estimates
            .class_run_time_s(ctx.config, &open.spec.class);
        let is_service = open.spec.kind == JobKind::Service;
        let tasks_per_part = ctx.config.tasks_per_part();
        let mut job = Job::new(open, state_version, team, run_time_s, tasks_per_part);
        self.estimates.apply_inherited(id, &mut job);
        let id: Rc<str> = Rc::from(id);
        let index = self.jobs.insert(id.clone(), job);
        self.estimates.mark_changed(index);
        self.scheduling
            .record_ready_job(is_service, ctx.now.monotonic);
        self.track_dependencies(ctx, &id);
    }

    fn apply_cancellation_record(&mut self, ctx: &Context, id: &str, value: &Value) {
        let confirmed_at = earliest_confirmation(ctx, value);
        let Some(id) = self.jobs.name(id).cloned() else {
            return self.cancel_unknown_job(id, confirmed_at);
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            // A conflicting write may have revealed the cancellation before, with an unknown
            // time. This record confirms it, so the state record is not read.
            let known_at = job.cancelled_at.unwrap_or(confirmed_at);
            job.cancelled_at = Some(known_at.min(confirmed_at));
            if !job.cancellation_confirmed && self.recovery.is_ready() {
                self.apply_cancellation(ctx, &id);
            }
        }
    }
}

/// The earliest time at which a cancellation may have been confirmed to its user, according
/// to its record.
pub(super) fn earliest_confirmation(ctx: &Context, value: &Value) -> Micros {
    let at = store::decode_value::<CancelledJob>(value).map_or(0, |c| c.cancelled_at_us);
    // Both clocks may be off by `clock_error`, so the earliest possible time is used.
    let ago = ctx.now.wall.saturating_sub(at) + 2 * ctx.config.clock_error;
    ctx.now
        .monotonic
        .saturating_sub(ago.min(ctx.config.cancel_time_limit))
}
