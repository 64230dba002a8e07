//! Limits the number of connections that clients have open to this controller.
//!
//! Workers and users keep their connections open between requests. Up to the high-water
//! mark no connection is closed. Above it, responses to workers have the header
//! `Connection: close`; responses to users have it only if users exceed their share of
//! the connections. At the limit a new connection replaces the least recently used idle
//! connection of a worker or, if users exceed their share, of a user. If there is none,
//! it replaces one of the other kind. Workers therefore cannot use up the connections for
//! users, however many they are.

use crate::http::{Connection, Request, RequestError};
use futures_lite::future::{or, poll_fn, yield_now};
use futures_lite::{AsyncRead, AsyncWrite};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// `1 / RESERVE_DIVISOR` of the limit lies above the high-water mark.
const RESERVE_DIVISOR: usize = 8;
/// The users' share is `1 / USER_SHARE_DIVISOR` of the high-water mark.
const USER_SHARE_DIVISOR: usize = 4;

/// The kind of the client, according to its last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// The client has not sent a request yet.
    Unknown,
    Worker,
    /// A user of the native API, or a Kubernetes client.
    User,
}

/// The state of one open connection.
struct Entry {
    client_kind: Cell<ClientKind>,
    evicted: Cell<bool>,
    /// Wakes the task that waits for the next request.
    waker: RefCell<Option<Waker>>,
}

impl Entry {
    /// Completes when the connection has been evicted.
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

/// Idle connections by the sequence number at which they became idle, so that the least
/// recently used one is first.
type IdleByAge = BTreeMap<u64, Rc<Entry>>;

/// All open connections of clients.
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

    /// The maximum number of open connections.
    pub fn limit(&self) -> usize {
        self.limit
    }

    fn high_water(&self) -> usize {
        self.limit - self.limit.div_ceil(RESERVE_DIVISOR)
    }

    fn users_exceed_share(&self) -> bool {
        self.users.get() > self.high_water() / USER_SHARE_DIVISOR
    }

    /// Admits a new connection. At the limit an idle connection is evicted for it; returns
    /// None if no connection is idle.
    pub async fn admit(self: &Rc<Self>) -> Option<ClientConnection> {
        while self.open.get() >= self.limit {
            self.evict_idle()?;
            // Lets the task of the evicted connection run, which closes the connection or
            // serves a request that has arrived in the meantime.
            yield_now().await;
        }
        self.open.set(self.open.get() + 1);
        Some(ClientConnection {
            connections: self.clone(),
            entry: Rc::new(Entry {
                client_kind: Cell::new(ClientKind::Unknown),
                evicted: Cell::new(false),
                waker: RefCell::default(),
            }),
        })
    }

    /// Evicts the least recently used idle connection; None if there is none.
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

    fn idle_of(&self, client_kind: ClientKind) -> &RefCell<IdleByAge> {
        match client_kind {
            ClientKind::Worker => &self.idle_workers,
            ClientKind::User | ClientKind::Unknown => &self.idle_users,
        }
    }
}

/// Removes a connection from the idle connections when this guard is dropped.
struct IdleGuard<'a> {
    idle: &'a RefCell<IdleByAge>,
    sequence: u64,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.idle.borrow_mut().remove(&self.sequence);
    }
}

/// An open connection. It counts towards the limit until this value is dropped.
pub struct ClientConnection {
    connections: Rc<ClientConnections>,
    entry: Rc<Entry>,
}

impl ClientConnection {
    /// Reads the next request. Until its first bytes arrive the connection is idle and may
    /// be evicted, which returns [`RequestError::Closed`].
    pub async fn next_request<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        connection: &mut Connection<S>,
    ) -> Result<Request, RequestError> {
        let request_start = connection.wait_for_request();
        match self.entry.client_kind.get() {
            ClientKind::Unknown => request_start.await?,
            client_kind => self.wait_while_idle(client_kind, request_start).await?,
        }
        connection.next_request().await
    }

    /// Marks the connection as idle and waits for a request or for eviction. A request
    /// that has arrived takes precedence over an eviction.
    async fn wait_while_idle(
        &self,
        client_kind: ClientKind,
        request_start: impl Future<Output = Result<(), RequestError>>,
    ) -> Result<(), RequestError> {
        let sequence = self.connections.next_idle.get();
        self.connections.next_idle.set(sequence + 1);
        let idle = self.connections.idle_of(client_kind);
        idle.borrow_mut().insert(sequence, self.entry.clone());
        let _guard = IdleGuard { idle, sequence };
        let evicted = async {
            self.entry.eviction().await;
            Err(RequestError::Closed)
        };
        let outcome = or(request_start, evicted).await;
        self.entry.evicted.set(false);
        outcome
    }

    /// Sets the kind of the client that sent the current request.
    pub fn set_client_kind(&self, client_kind: ClientKind) {
        let before = self.entry.client_kind.replace(client_kind);
        let users = &self.connections.users;
        if before == ClientKind::User {
            users.set(users.get() - 1);
        }
        if client_kind == ClientKind::User {
            users.set(users.get() + 1);
        }
    }

    /// Whether the connection is to be closed after the response to the current request.
    pub fn closes_after_response(&self) -> bool {
        let connections = &self.connections;
        if connections.open.get() <= connections.high_water() {
            return false;
        }
        match self.entry.client_kind.get() {
            ClientKind::Worker => true,
            ClientKind::User | ClientKind::Unknown => connections.users_exceed_share(),
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.set_client_kind(ClientKind::Unknown);
        let open = &self.connections.open;
        open.set(open.get() - 1);
    }
}
