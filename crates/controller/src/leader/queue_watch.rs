//! The watch of the stored job queue: submissions and cancellations as they come.

use super::*;

/// How far the queue has been followed, and how recent that is.
#[derive(Debug, Default)]
pub(super) struct QueueWatch {
    /// The revision after which the next watch begins.
    pub queue_revision: Option<u64>,
    /// When the next watch is sent; None while one is held.
    pub watch_at: Option<Micros>,
    /// When the last answered read of the cancellations was sent; None before a new
    /// leader has read any. Nothing else moves it: a lease renewed, a peer's heartbeat or
    /// a write says nothing of what others have confirmed.
    pub last_consistent_read: Option<Micros>,
    /// Since when heartbeats are not answered, for want of a recent consistent read.
    pub no_consistent_read_since: Option<Micros>,
}

impl Leader {
    pub(super) fn queue_watch_reply(
        &mut self,
        ctx: &mut Context,
        sent: Micros,
        reply: Result<StoreResponse, CallError>,
    ) {
        match reply {
            Ok(StoreResponse::WatchBatch(changes)) => {
                self.queue_watch.last_consistent_read =
                    self.queue_watch.last_consistent_read.max(Some(sent));
                self.queue_watch.queue_revision = Some(changes.revision);
                for event in changes.events {
                    if let WatchEvent::Put {
                        key,
                        value,
                        version,
                    } = event
                    {
                        self.queue_row(ctx, &key, &value, version);
                    }
                }
                self.queue_watch.watch_at = Some(ctx.now.monotonic);
            }
            Ok(StoreResponse::Compacted) => {
                log::error!("lost sight of the queue");
                self.events.push(LeaderEvent::Outdated);
            }
            _ => self.queue_watch.watch_at = Some(ctx.now.monotonic + RETRY),
        }
    }
}
