//! Bounds the connections that clients hold open to this controller.
//!
//! Workers and users keep their connections open between requests. While there are
//! fewer than the high-water mark, nothing is closed. Above it answers carry
//! `Connection: close`, and once no socket is left, the least recently used idle
//! connection is closed for a new one. Both spare users while they hold no more than
//! their share, so a large fleet of workers does not shut them out.

use crate::http::{Connection, Request, RequestError};
use futures_lite::future::{or, poll_fn, yield_now};
use futures_lite::{AsyncRead, AsyncWrite};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The part of the limit above the high-water mark: one in so many.
const SPARE_PART: usize = 8;
/// The users' share of the connections below the high-water mark: one in so many.
const USER_PART: usize = 4;

/// Who is at the other end, by the last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// Has sent no request yet.
    Unknown,
    Worker,
    User,
}

/// The state of one open connection.
struct Entry {
    peer: Cell<Peer>,
    evicted: Cell<bool>,
    /// Wakes the task that waits for the next request.
    waker: RefCell<Option<Waker>>,
}

impl Entry {
    /// Completes once the connection is to be closed for another one.
    async fn eviction(&self) {
        poll_fn(|context| {
            if self.evicted.get() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    fn evict(&self) {
        self.evicted.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Idle connections by when they became idle, the least recently used one first.
type IdleByAge = BTreeMap<u64, Rc<Entry>>;

/// All connections that clients hold open.
pub struct ClientConnections {
    limit: usize,
    open: Cell<usize>,
    users: Cell<usize>,
    next_idle: Cell<u64>,
    idle_workers: RefCell<IdleByAge>,
    idle_users: RefCell<IdleByAge>,
}

impl ClientConnections {
    pub fn new(limit: usize) -> Self {
        ClientConnections {
            limit,
            open: Cell::new(0),
            users: Cell::new(0),
            next_idle: Cell::new(0),
            idle_workers: RefCell::default(),
            idle_users: RefCell::default(),
        }
    }

    /// The most connections that may be open.
    pub fn limit(&self) -> usize {
        self.limit
    }

    fn high_water(&self) -> usize {
        self.limit - self.limit.div_ceil(SPARE_PART)
    }

    fn users_exceed_share(&self) -> bool {
        self.users.get() > self.high_water() / USER_PART
    }

    /// Counts a new connection, for which an idle one is closed if none is left; None
    /// if no connection is idle either.
    pub async fn admit(self: &Rc<Self>) -> Option<Admitted> {
        while self.open.get() >= self.limit {
            self.evict_idle()?;
            // Its task closes it, or serves a request that has come meanwhile.
            yield_now().await;
        }
        self.open.set(self.open.get() + 1);
        Some(Admitted {
            connections: self.clone(),
            entry: Rc::new(Entry {
                peer: Cell::new(Peer::Unknown),
                evicted: Cell::new(false),
                waker: RefCell::default(),
            }),
        })
    }

    /// Lets the least recently used idle connection be closed; None if there is none.
    fn evict_idle(&self) -> Option<()> {
        let (first, second) = if self.users_exceed_share() {
            (&self.idle_users, &self.idle_workers)
        } else {
            (&self.idle_workers, &self.idle_users)
        };
        let evicted = first.borrow_mut().pop_first();
        let (_, entry) = evicted.or_else(|| second.borrow_mut().pop_first())?;
        entry.evict();
        Some(())
    }

    fn idle_with(&self, peer: Peer) -> &RefCell<IdleByAge> {
        match peer {
            Peer::Worker => &self.idle_workers,
            Peer::User | Peer::Unknown => &self.idle_users,
        }
    }
}

/// An idle connection, for as long as it can be closed for another one.
struct IdleGuard<'a> {
    idle: &'a RefCell<IdleByAge>,
    since: u64,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.idle.borrow_mut().remove(&self.since);
    }
}

/// An open connection, which is counted for as long as this lives.
pub struct Admitted {
    connections: Rc<ClientConnections>,
    entry: Rc<Entry>,
}

impl Admitted {
    /// Waits for the next request. Between an answer and the next request the
    /// connection is idle: closed for another one, it is gone.
    pub async fn next_request<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        connection: &mut Connection<S>,
    ) -> Result<Request, RequestError> {
        let begins = connection.request_begins();
        match self.entry.peer.get() {
            Peer::Unknown => begins.await?,
            peer => self.idle_until(peer, begins).await?,
        }
        connection.request().await
    }

    /// Waits as an idle connection. What has come counts before an eviction.
    async fn idle_until(
        &self,
        peer: Peer,
        begins: impl Future<Output = Result<(), RequestError>>,
    ) -> Result<(), RequestError> {
        let since = self.connections.next_idle.get();
        self.connections.next_idle.set(since + 1);
        let idle = self.connections.idle_with(peer);
        idle.borrow_mut().insert(since, self.entry.clone());
        let _guard = IdleGuard { idle, since };
        let evicted = async {
            self.entry.eviction().await;
            Err(RequestError::Gone)
        };
        let outcome = or(begins, evicted).await;
        self.entry.evicted.set(false);
        outcome
    }

    /// Notes whose request the connection carries.
    pub fn carries(&self, peer: Peer) {
        let before = self.entry.peer.replace(peer);
        let users = &self.connections.users;
        if before == Peer::User {
            users.set(users.get() - 1);
        }
        if peer == Peer::User {
            users.set(users.get() + 1);
        }
    }

    /// Whether the connection is to be closed after the answer that is due now.
    pub fn closes_after_answer(&self) -> bool {
        let connections = &self.connections;
        if connections.open.get() <= connections.high_water() {
            return false;
        }
        match self.entry.peer.get() {
            Peer::Worker => true,
            Peer::User | Peer::Unknown => connections.users_exceed_share(),
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.carries(Peer::Unknown);
        let open = &self.connections.open;
        open.set(open.get() - 1);
    }
}
