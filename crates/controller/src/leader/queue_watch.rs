//! The watch of the stored job queue, which delivers submissions and cancellations.

use super::{Leader, LeaderEvent, RETRY_INTERVAL};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::records;
use crate::{MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse, WatchEvent};

/// How long the store holds a watch request open without a change, in milliseconds.
const WATCH_HOLD_MS: u64 = 2_000;
/// The maximum age of the last consistent read for placing, launching and reaping tasks.
/// The age is counted from the sending of the request.
pub(super) const MAX_READ_AGE: Micros = 6 * SECOND;
// Without changes, a watch is answered after `WATCH_HOLD_MS`. Until the next one is answered,
// the last consistent read is up to twice as old. With a hold time of 4 s it would be too old
// to place or launch tasks for half of the time.
const _: () = assert!(2 * WATCH_HOLD_MS * MILLISECOND + SECOND <= MAX_READ_AGE);

/// The progress of the queue watch and the time of the last consistent read.
///
/// Only an answered read of the cancellations advances `last_consistent_read`, to the time
/// at which the read was sent. A lease renewal, a message from a peer or a write does not
/// prove that no other controller has confirmed a cancellation since.
#[derive(Debug, Default)]
pub(super) struct QueueWatch {
    /// The revision after which the next watch begins.
    revision: Option<u64>,
    /// When the next watch is sent; `None` while one is in flight.
    next_watch_at: Option<Micros>,
    /// When the last answered read of the cancellations was sent; `None` if this leader has
    /// not read them yet.
    last_consistent_read: Option<Micros>,
    /// The time since which heartbeats have not been answered for lack of a recent
    /// consistent read.
    no_consistent_read_since: Option<Micros>,
}

impl QueueWatch {
    /// Sets the revision after which the first watch begins, unless it is set already.
    pub fn start_after(&mut self, revision: u64) {
        self.revision.get_or_insert(revision);
    }

    /// Schedules the next watch.
    pub fn schedule_watch_at(&mut self, at: Micros) {
        self.next_watch_at = Some(at);
    }

    /// Whether this leader has read the cancellations.
    pub fn has_consistent_read(&self) -> bool {
        self.last_consistent_read.is_some()
    }

    /// Records that the cancellations were read by a request sent at this time.
    pub fn set_consistent_read(&mut self, sent: Micros) {
        self.last_consistent_read = Some(sent);
    }

    /// Whether the last read of the cancellations was sent less than `age` ago.
    pub fn read_within(&self, now: Micros, age: Micros) -> bool {
        self.last_consistent_read.is_some_and(|at| now < at + age)
    }

    /// Records that there is no consistent read recent enough to answer heartbeats.
    pub fn begin_outage(&mut self, now: Micros) {
        self.no_consistent_read_since.get_or_insert(now);
    }

    /// Records that heartbeats are answered again. Returns for how long they were not, if
    /// there was an outage.
    pub fn end_outage(&mut self, now: Micros) -> Option<Micros> {
        let since = self.no_consistent_read_since.take()?;
        Some(now - since)
    }

    /// Takes the request for the next watch, if it is due.
    fn next_request(&mut self, now: Micros) -> Option<StoreRequest> {
        self.next_watch_at.take_if(|at| now >= *at)?;
        Some(StoreRequest::Watch {
            prefix: records::QUEUE_PREFIX.into(),
            after: self.revision.unwrap_or(0),
            hold_ms: WATCH_HOLD_MS,
        })
    }

    /// Records that a watch sent at `sent` has reported all changes up to a revision.
    fn record_watched_to(&mut self, revision: u64, sent: Micros) {
        self.last_consistent_read = self.last_consistent_read.max(Some(sent));
        self.revision = Some(revision);
    }
}

impl Leader {
    /// Sends the next watch of the queue, if it is due.
    pub(super) fn send_queue_watch(&mut self, ctx: &mut Context) {
        if let Some(request) = self.queue_watch.next_request(ctx.now.monotonic) {
            let continuation = self.continuation(LeaderStep::Watch);
            ctx.store_request(request, continuation);
        }
    }

    /// Handles the reply to a watch that was sent at `sent`.
    pub(super) fn queue_watch_reply(
        &mut self,
        ctx: &mut Context,
        sent: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        let now = ctx.now.monotonic;
        match reply {
            Ok(StoreResponse::WatchBatch(changes)) => {
                self.queue_watch.record_watched_to(changes.revision, sent);
                for event in changes.events {
                    if let WatchEvent::Put {
                        key,
                        value,
                        version,
                    } = event
                    {
                        self.apply_queue_record(ctx, &key, &value, version);
                    }
                }
                self.queue_watch.schedule_watch_at(now);
            }
            Ok(StoreResponse::Compacted) => {
                log::error!(
                    "queue watch revision was compacted, ending the term term={}",
                    self.term
                );
                self.events.push(LeaderEvent::StepDown);
            }
            _ => self.queue_watch.schedule_watch_at(now + RETRY_INTERVAL),
        }
    }
}
