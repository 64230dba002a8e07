//! HTTP/1.1 as the protocols use it: small bodies, no pipelining, connections
//! kept open. Parsing of heads is `httparse`'s.

use dillcleat_controller::{Answer, CallError};
use dillcleat_wire::MAX_BODY_BYTES;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use smol::Timer;
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Shutdown;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// Bound of a request's head.
const HEAD_LIMIT: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// Bound of an answer's body. Watches have no limit of their own; the store
/// keeps 10,000 changes.
const REPLY_LIMIT: usize = 16 * 1024 * 1024;
/// How long a connection may take to get a whole request across.
const REQUEST_TIME: Duration = Duration::from_secs(5);
/// How long a connection may idle between two requests.
const IDLE_TIME: Duration = Duration::from_secs(40);
/// How long an unused connection of ours is kept.
const KEEP: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub close: bool,
    /// Of those that were asked for, by their places.
    pub headers: Vec<Option<String>>,
}

/// Why no request came of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// Closed, timed out or broken: nothing to answer.
    Gone,
    /// Not HTTP, or its head is past the bound.
    Malformed,
    TooLarge,
}

/// Closes connections of clients that take longer than they may.
///
/// A timer of its own for every request would cost each report several system
/// calls, with hundreds of workers reporting; one look over all connections a
/// second costs next to nothing, and nobody minds a second.
#[derive(Default)]
pub struct Watchdog {
    guarded: RefCell<Vec<Weak<Guard>>>,
}

struct Guard {
    stream: TcpStream,
    until: Cell<Instant>,
}

impl Watchdog {
    fn guard(&self, stream: &TcpStream) -> Rc<Guard> {
        let guard = Rc::new(Guard {
            stream: stream.clone(),
            until: Cell::new(Instant::now() + IDLE_TIME),
        });
        self.guarded.borrow_mut().push(Rc::downgrade(&guard));
        guard
    }

    /// Closes what is overdue: whoever reads or writes there sees the end.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.guarded.borrow_mut().retain(|guard| {
            let Some(guard) = guard.upgrade() else {
                return false;
            };
            if guard.until.get() > now {
                return true;
            }
            let _ = guard.stream.shutdown(Shutdown::Both);
            false
        });
    }
}

struct Head {
    len: usize,
    body: usize,
    close: bool,
}

fn body_headers(headers: &[httparse::Header]) -> Option<(usize, bool)> {
    let mut body = 0;
    let mut close = false;
    for h in headers {
        let value = std::str::from_utf8(h.value).ok()?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            body = value.parse().ok()?;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            // Nobody in these protocols sends chunks.
            return None;
        } else if h.name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        }
    }
    Some((body, close))
}

/// The server's side of a connection.
pub struct Connection<S = TcpStream> {
    stream: S,
    guard: Rc<Guard>,
    buffer: Vec<u8>,
    /// Headers that are of use to whoever serves it.
    wanted: &'static [&'static str],
}

impl Connection {
    pub fn new(stream: TcpStream, watchdog: &Watchdog) -> Self {
        Connection {
            guard: watchdog.guard(&stream),
            stream,
            buffer: Vec::new(),
            wanted: &[],
        }
    }
}

/// A connection on which nothing may take longer than a request.
pub struct Guarded(Rc<Guard>);

impl Watchdog {
    /// Guards a connection on which something else than a request is said first.
    pub fn watch(&self, raw: &TcpStream) -> Guarded {
        let guard = self.guard(raw);
        guard.until.set(Instant::now() + REQUEST_TIME);
        Guarded(guard)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Over a stream of another kind, whose TCP connection is guarded already.
    pub fn over(stream: S, guarded: Guarded, wanted: &'static [&'static str]) -> Self {
        Connection {
            guard: guarded.0,
            stream,
            buffer: Vec::new(),
            wanted,
        }
    }

    /// Writes bytes that are an answer, or a part of one.
    pub async fn send(&mut self, bytes: &[u8], rest: Duration) -> std::io::Result<()> {
        self.may_take(REQUEST_TIME);
        self.stream.write_all(bytes).await?;
        self.stream.flush().await?;
        self.may_take(rest);
        Ok(())
    }

    fn may_take(&self, time: Duration) {
        self.guard.until.set(Instant::now() + time);
    }

    async fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0u8; 4096];
        match self.stream.read(&mut chunk).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    /// Waits for the first bytes of the next request.
    pub async fn request_begins(&mut self) -> Result<(), RequestError> {
        if self.buffer.is_empty() {
            self.may_take(IDLE_TIME);
            self.fill().await.map_err(|_| RequestError::Gone)?;
        }
        Ok(())
    }

    /// Waits for the next request.
    pub async fn request(&mut self) -> Result<Request, RequestError> {
        self.request_begins().await?;
        self.may_take(REQUEST_TIME);
        let request = self.read_request().await;
        // How long its answer takes is not the client's doing.
        self.may_take(IDLE_TIME);
        request
    }

    async fn read_request(&mut self) -> Result<Request, RequestError> {
        let (head, method, target, headers) = loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut r = httparse::Request::new(&mut headers);
            match r.parse(&self.buffer) {
                Ok(httparse::Status::Complete(len)) => {
                    let (body, close) = body_headers(r.headers).ok_or(RequestError::Malformed)?;
                    let head = Head { len, body, close };
                    let method = r.method.unwrap_or_default().to_string();
                    let wanted = self.wanted.iter().map(|name| {
                        let mut all = r.headers.iter();
                        let found = all.find(|h| h.name.eq_ignore_ascii_case(name))?;
                        Some(String::from_utf8_lossy(found.value).trim().to_string())
                    });
                    let wanted = wanted.collect();
                    break (head, method, r.path.unwrap_or_default().to_string(), wanted);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() < HEAD_LIMIT => {}
                _ => return Err(RequestError::Malformed),
            }
            self.fill().await.map_err(|_| RequestError::Gone)?;
        };
        if head.len > HEAD_LIMIT {
            return Err(RequestError::Malformed);
        }
        if head.body > MAX_BODY_BYTES {
            return Err(RequestError::TooLarge);
        }
        while self.buffer.len() < head.len + head.body {
            self.fill().await.map_err(|_| RequestError::Gone)?;
        }
        let rest = self.buffer.split_off(head.len + head.body);
        let body = self.buffer.split_off(head.len);
        self.buffer = rest;
        Ok(Request {
            method,
            target,
            body,
            close: head.close,
            headers,
        })
    }

    pub async fn answer(&mut self, answer: &Answer, close: bool) -> std::io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
            answer.status,
            reason(answer.status),
            answer.body.len()
        );
        if let Some(s) = answer.retry_after {
            head += &format!("Retry-After: {s}\r\n");
        }
        if close {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&answer.body);
        self.may_take(REQUEST_TIME);
        self.stream.write_all(&bytes).await
    }
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// An unused connection and since when.
type Idle = (TcpStream, Instant);

/// How long a call may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Until it is given up.
    pub time: Duration,
    /// Not to be sent after this.
    pub send_by: Option<Instant>,
}

impl From<Duration> for Limits {
    fn from(time: Duration) -> Self {
        Limits {
            time,
            send_by: None,
        }
    }
}

/// Connections of ours to other services, kept open between calls.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    per_address: usize,
    /// Unused connections to all addresses together.
    limit: usize,
    /// Those together with the calls under way.
    total: usize,
    under_way: Rc<Cell<usize>>,
}

/// Counts a call for as long as it is under way.
struct UnderWay(Rc<Cell<usize>>);

impl UnderWay {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        UnderWay(count.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionPool {
    pub fn new(per_address: usize, limit: usize) -> Self {
        ConnectionPool::bounded(per_address, limit, usize::MAX)
    }

    /// With a bound for the unused connections and the calls under way together.
    pub fn bounded(per_address: usize, limit: usize, total: usize) -> Self {
        ConnectionPool {
            idle: Rc::new(RefCell::new(HashMap::new())),
            per_address,
            limit,
            total,
            under_way: Rc::default(),
        }
    }

    /// How many unused connections may be kept now.
    fn idle_limit(&self) -> usize {
        let free = self.total.saturating_sub(self.under_way.get());
        free.min(self.limit)
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the unused connections to one address if a new one would exceed the bound.
    fn make_room(&self) {
        if self.idle_limit() == self.limit || self.idle_count() <= self.idle_limit() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if let Some(addr) = idle.keys().next().cloned() {
            idle.remove(&addr);
        }
    }

    /// Closes what has not been used for a while.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for streams in idle.values_mut() {
            streams.retain(|(_, since)| since.elapsed() < KEEP);
        }
        idle.retain(|_, s| !s.is_empty());
    }

    fn take(&self, addr: &str) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(addr)?;
        while let Some((stream, since)) = streams.pop() {
            if since.elapsed() < KEEP {
                return Some(stream);
            }
        }
        None
    }

    /// One request and its answer: status and body.
    pub async fn call(
        &self,
        addr: &str,
        method: &str,
        target: &str,
        body: &[u8],
        limits: impl Into<Limits>,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let limits: Limits = limits.into();
        let _under_way = UnderWay::new(&self.under_way);
        let sent = std::cell::Cell::new(false);
        let work = async {
            let mut stream = match self.take(addr) {
                Some(stream) => stream,
                None => {
                    self.make_room();
                    let stream = TcpStream::connect(addr)
                        .await
                        .map_err(|_| CallError::NotSent)?;
                    // Small messages that must not wait for each other.
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            // A connection may come about seconds after it was asked for, when a cut
            // ends: whoever asked may have no leave any more for what it wants done.
            if limits.send_by.is_some_and(|by| Instant::now() >= by) {
                return Err(CallError::NotSent);
            }
            sent.set(true);
            let mut bytes = format!(
                "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            bytes.extend_from_slice(body);
            stream
                .write_all(&bytes)
                .await
                .map_err(|_| CallError::NoAnswer)?;
            let (status, body, keep) = read_reply(&mut stream).await.ok_or(CallError::NoAnswer)?;
            if keep {
                let has_room = self.idle_count() < self.idle_limit();
                let mut idle = self.idle.borrow_mut();
                let streams = idle.entry(addr.to_string()).or_default();
                if streams.len() < self.per_address && has_room {
                    streams.push((stream, Instant::now()));
                }
            }
            Ok((status, body))
        };
        work.or(async {
            Timer::after(limits.time).await;
            // A connection that did not come about never will.
            Err(if sent.get() {
                CallError::NoAnswer
            } else {
                CallError::NotSent
            })
        })
        .await
    }
}

async fn read_reply(stream: &mut TcpStream) -> Option<(u16, Vec<u8>, bool)> {
    let mut buffer = Vec::new();
    let mut chunk = [0u8; 8192];
    let (head, status) = loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut r = httparse::Response::new(&mut headers);
        match r.parse(&buffer) {
            Ok(httparse::Status::Complete(len)) => {
                let (body, close) = body_headers(r.headers)?;
                break (Head { len, body, close }, r.code?);
            }
            Ok(httparse::Status::Partial) if buffer.len() < HEAD_LIMIT => {}
            _ => return None,
        }
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    };
    if head.body > REPLY_LIMIT {
        return None;
    }
    while buffer.len() < head.len + head.body {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
    let clean = buffer.len() == head.len + head.body;
    let mut body = buffer.split_off(head.len);
    body.truncate(head.body);
    Some((status, body, clean && !head.close))
}

#[cfg(test)]
mod tests;
