//! The watch of the stored job queue: submissions and cancellations as they come.

use super::{Leader, LeaderEvent, RETRY_INTERVAL};
use crate::CallError;
use crate::calls::Context;
use crate::continuations::LeaderStep;
use crate::records;
use crate::{MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse, WatchEvent};

/// How long the store holds a watch without a change, in milliseconds.
const WATCH_MS: u64 = 2_000;
/// A read of the cancellations that was sent longer ago is too old to launch, reap or
/// place by.
pub(super) const MAX_READ_AGE: Micros = 6 * SECOND;
// In a quiet deployment nothing is seen before the watch has run out, and the read is
// as old as two of them by the time that the next one is answered. Held for 4 s, it was
// too old to place or launch by for half of the time.
const _: () = assert!(2 * WATCH_MS * MILLISECOND + SECOND <= MAX_READ_AGE);

/// How far the queue has been followed, and how recent that is.
///
/// `last_consistent_read` is moved only by an answered read of the cancellations, to the
/// time at which it was sent: a lease renewed, a peer's heartbeat or a write says nothing
/// of what others have confirmed.
#[derive(Debug, Default)]
pub(super) struct QueueWatch {
    /// The revision after which the next watch begins.
    revision: Option<u64>,
    /// When the next watch is sent; None while one is under way.
    next_watch_at: Option<Micros>,
    /// When the last answered read of the cancellations was sent; None before a new
    /// leader has read any.
    last_consistent_read: Option<Micros>,
    /// Since when heartbeats are not answered, for want of a recent consistent read.
    no_consistent_read_since: Option<Micros>,
}

impl QueueWatch {
    /// Watches follow this revision, unless an earlier one was named before.
    pub fn start_after(&mut self, revision: u64) {
        self.revision.get_or_insert(revision);
    }

    /// The first watch is to be sent at this time.
    pub fn watch_from(&mut self, at: Micros) {
        self.next_watch_at = Some(at);
    }

    /// Whether the cancellations have been read at all.
    pub fn has_consistent_read(&self) -> bool {
        self.last_consistent_read.is_some()
    }

    /// The cancellations were read by a request that was sent at this time.
    pub fn set_consistent_read(&mut self, sent: Micros) {
        self.last_consistent_read = Some(sent);
    }

    /// Whether the last read of the cancellations was sent less than `age` ago.
    pub fn read_within(&self, now: Micros, age: Micros) -> bool {
        self.last_consistent_read.is_some_and(|at| now < at + age)
    }

    /// There is no consistent read that is recent enough to answer heartbeats.
    pub fn begin_outage(&mut self, now: Micros) {
        self.no_consistent_read_since.get_or_insert(now);
    }

    /// Heartbeats are answered again. Returns for how long they were not, if so.
    pub fn end_outage(&mut self, now: Micros) -> Option<Micros> {
        let since = self.no_consistent_read_since.take()?;
        Some(now - since)
    }

    /// The request for the next watch, if one is due.
    fn next_request(&mut self, now: Micros) -> Option<StoreRequest> {
        self.next_watch_at.take_if(|at| now >= *at)?;
        Some(StoreRequest::Watch {
            prefix: records::QUEUE_PREFIX.into(),
            after: self.revision.unwrap_or(0),
            hold_ms: WATCH_MS,
        })
    }

    /// A watch that was sent at `sent` has reported everything up to a revision.
    fn watched_to(&mut self, revision: u64, sent: Micros) {
        self.last_consistent_read = self.last_consistent_read.max(Some(sent));
        self.revision = Some(revision);
    }
}

impl Leader {
    /// Sends the next watch of the queue once it is due.
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
                self.queue_watch.watched_to(changes.revision, sent);
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
                self.queue_watch.watch_from(now);
            }
            Ok(StoreResponse::Compacted) => {
                log::error!("queue watch expired, reloading term={}", self.term);
                self.events.push(LeaderEvent::TermEnded);
            }
            _ => self.queue_watch.watch_from(now + RETRY_INTERVAL),
        }
    }
}
