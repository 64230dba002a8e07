//! The subset of HTTP/1.1 that the protocols need: small bodies, persistent connections,
//! no pipelining and no chunked requests. Heads are parsed by `httparse`.

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

/// The maximum size of the head of a request or response.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// The maximum size of a response's body. A watch of the store may return all the changes
/// that the store keeps.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// How long a client may take to send a request or to receive a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client's connection may be idle between two requests.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// How long a pool keeps an idle connection.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// Whether the client asked to close the connection after the response.
    pub close: bool,
    /// The values of the connection's `header_names`, in the same order.
    pub headers: Vec<Option<String>>,
}

/// Why no request was read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The connection was closed, timed out or broke.
    Closed,
    /// The head is not valid HTTP or exceeds the limit.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
}

/// Closes connections of clients that exceed a timeout.
///
/// All connections are checked periodically, which takes fewer system calls than a timer
/// for each request.
#[derive(Default)]
pub struct Watchdog {
    guarded: RefCell<Vec<Weak<ConnectionDeadline>>>,
}

/// The deadline of a connection, after which the watchdog closes it.
struct ConnectionDeadline {
    stream: TcpStream,
    deadline: Cell<Instant>,
}

impl Watchdog {
    fn guard(&self, stream: &TcpStream) -> Rc<ConnectionDeadline> {
        let guard = Rc::new(ConnectionDeadline {
            stream: stream.clone(),
            deadline: Cell::new(Instant::now() + IDLE_TIMEOUT),
        });
        self.guarded.borrow_mut().push(Rc::downgrade(&guard));
        guard
    }

    /// Closes connections that have passed their deadline. Tasks that read or write on them
    /// get an error.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.guarded.borrow_mut().retain(|guard| {
            let Some(guard) = guard.upgrade() else {
                return false;
            };
            if guard.deadline.get() > now {
                return true;
            }
            let _ = guard.stream.shutdown(Shutdown::Both);
            false
        });
    }
}

struct Head {
    head_len: usize,
    body_len: usize,
    close: bool,
}

/// The length of the body, and whether the sender asks for the connection to be closed. None
/// if a header is invalid or not supported.
fn body_headers(headers: &[httparse::Header]) -> Option<(usize, bool)> {
    let mut body_len = 0;
    let mut close = false;
    for h in headers {
        let value = std::str::from_utf8(h.value).ok()?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            body_len = value.parse().ok()?;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            // The protocols have no chunked bodies.
            return None;
        } else if h.name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        }
    }
    Some((body_len, close))
}

/// A connection of a client, on the server's side.
pub struct Connection<S = TcpStream> {
    stream: S,
    guard: Rc<ConnectionDeadline>,
    buffer: Vec<u8>,
    /// The headers whose values each request returns.
    header_names: &'static [&'static str],
}

impl Connection {
    pub fn new(stream: TcpStream, watchdog: &Watchdog) -> Self {
        Connection {
            guard: watchdog.guard(&stream),
            stream,
            buffer: Vec::new(),
            header_names: &[],
        }
    }
}

/// Keeps a TCP connection under the supervision of the watchdog, for
/// [`Connection::from_stream`].
pub struct ConnectionGuard(Rc<ConnectionDeadline>);

impl Watchdog {
    /// Guards a new connection. Its first request or TLS handshake must arrive within
    /// `REQUEST_TIMEOUT`.
    pub fn guard_new_connection(&self, tcp: &TcpStream) -> ConnectionGuard {
        let guard = self.guard(tcp);
        guard.deadline.set(Instant::now() + REQUEST_TIMEOUT);
        ConnectionGuard(guard)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// A connection over a stream, such as TLS, whose TCP connection is already guarded.
    pub fn from_stream(
        stream: S,
        guard: ConnectionGuard,
        header_names: &'static [&'static str],
    ) -> Self {
        Connection {
            guard: guard.0,
            stream,
            buffer: Vec::new(),
            header_names,
        }
    }

    /// Writes a response or a part of one. `idle_timeout` is the maximum time until the
    /// next send or request.
    pub async fn send(&mut self, bytes: &[u8], idle_timeout: Duration) -> std::io::Result<()> {
        self.set_timeout(REQUEST_TIMEOUT);
        self.stream.write_all(bytes).await?;
        self.stream.flush().await?;
        self.set_timeout(idle_timeout);
        Ok(())
    }

    fn set_timeout(&self, timeout: Duration) {
        self.guard.deadline.set(Instant::now() + timeout);
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
    pub async fn wait_for_request(&mut self) -> Result<(), RequestError> {
        if self.buffer.is_empty() {
            self.set_timeout(IDLE_TIMEOUT);
            self.fill().await.map_err(|_| RequestError::Closed)?;
        }
        Ok(())
    }

    /// Reads the next request.
    pub async fn next_request(&mut self) -> Result<Request, RequestError> {
        self.wait_for_request().await?;
        self.set_timeout(REQUEST_TIMEOUT);
        let request = self.parse_request().await;
        // The time to process the request does not count against the client.
        self.set_timeout(IDLE_TIMEOUT);
        request
    }

    async fn parse_request(&mut self) -> Result<Request, RequestError> {
        let (head, method, target, headers) = loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut r = httparse::Request::new(&mut headers);
            match r.parse(&self.buffer) {
                Ok(httparse::Status::Complete(head_len)) => {
                    let (body_len, close) =
                        body_headers(r.headers).ok_or(RequestError::Malformed)?;
                    let head = Head {
                        head_len,
                        body_len,
                        close,
                    };
                    let method = r.method.unwrap_or_default().to_string();
                    let values = self.header_names.iter().map(|name| {
                        let mut all = r.headers.iter();
                        let found = all.find(|h| h.name.eq_ignore_ascii_case(name))?;
                        Some(String::from_utf8_lossy(found.value).trim().to_string())
                    });
                    let values = values.collect();
                    break (head, method, r.path.unwrap_or_default().to_string(), values);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES => {}
                _ => return Err(RequestError::Malformed),
            }
            self.fill().await.map_err(|_| RequestError::Closed)?;
        };
        if head.head_len > MAX_HEAD_BYTES {
            return Err(RequestError::Malformed);
        }
        if head.body_len > MAX_BODY_BYTES {
            return Err(RequestError::TooLarge);
        }
        while self.buffer.len() < head.head_len + head.body_len {
            self.fill().await.map_err(|_| RequestError::Closed)?;
        }
        let rest = self.buffer.split_off(head.head_len + head.body_len);
        let body = self.buffer.split_off(head.head_len);
        self.buffer = rest;
        Ok(Request {
            method,
            target,
            body,
            close: head.close,
            headers,
        })
    }

    pub async fn send_answer(&mut self, answer: &Answer, close: bool) -> std::io::Result<()> {
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
        self.set_timeout(REQUEST_TIMEOUT);
        self.stream.write_all(&bytes).await
    }
}

/// The reason phrase of a status code.
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

/// An idle connection, and the time at which it became idle.
type IdleConnection = (TcpStream, Instant);

/// The time limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// The maximum duration of the call.
    pub timeout: Duration,
    /// The instant after which the request must not be sent.
    pub send_by: Option<Instant>,
}

impl From<Duration> for TimeLimits {
    fn from(timeout: Duration) -> Self {
        TimeLimits {
            timeout,
            send_by: None,
        }
    }
}

/// Connections to other services, which are kept open between calls.
#[derive(Clone)]
pub struct ConnectionPool {
    /// The idle connections by address.
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    max_idle_per_address: usize,
    max_idle: usize,
    /// The maximum sum of idle connections and calls in flight.
    max_open: usize,
    calls_in_flight: Rc<Cell<usize>>,
}

/// Counts a call while it is in flight.
struct CallInFlight(Rc<Cell<usize>>);

impl CallInFlight {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        CallInFlight(count.clone())
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionPool {
    pub fn new(max_idle_per_address: usize, max_idle: usize) -> Self {
        ConnectionPool::bounded(max_idle_per_address, max_idle, usize::MAX)
    }

    /// Creates a pool that also limits the sum of idle connections and calls in flight.
    pub fn bounded(max_idle_per_address: usize, max_idle: usize, max_open: usize) -> Self {
        ConnectionPool {
            idle: Rc::new(RefCell::new(HashMap::new())),
            max_idle_per_address,
            max_idle,
            max_open,
            calls_in_flight: Rc::default(),
        }
    }

    /// The number of idle connections that may be kept with the current calls in flight.
    fn idle_limit(&self) -> usize {
        let free = self.max_open.saturating_sub(self.calls_in_flight.get());
        free.min(self.max_idle)
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the idle connections to one address if the pool exceeds `max_open`.
    fn evict_idle(&self) {
        if self.idle_limit() == self.max_idle || self.idle_count() <= self.idle_limit() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if let Some(addr) = idle.keys().next().cloned() {
            idle.remove(&addr);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for streams in idle.values_mut() {
            streams.retain(|(_, since)| since.elapsed() < POOL_IDLE_TIMEOUT);
        }
        idle.retain(|_, s| !s.is_empty());
    }

    /// Takes an idle connection to an address.
    fn take(&self, addr: &str) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(addr)?;
        while let Some((stream, since)) = streams.pop() {
            if since.elapsed() < POOL_IDLE_TIMEOUT {
                return Some(stream);
            }
        }
        None
    }

    /// Sends a request and returns the status and body of the response.
    pub async fn call(
        &self,
        addr: &str,
        method: &str,
        target: &str,
        body: &[u8],
        limits: impl Into<TimeLimits>,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let limits: TimeLimits = limits.into();
        let _in_flight = CallInFlight::new(&self.calls_in_flight);
        let sent = std::cell::Cell::new(false);
        let exchange = async {
            let mut stream = match self.take(addr) {
                Some(stream) => stream,
                None => {
                    self.evict_idle();
                    let stream = TcpStream::connect(addr)
                        .await
                        .map_err(|_| CallError::NotSent)?;
                    // Small messages are sent without delay.
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            // After a network partition the connection may be established late. By then the
            // controller may no longer be the leader.
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
            let (status, body, reusable) = read_response(&mut stream)
                .await
                .ok_or(CallError::NoAnswer)?;
            if reusable {
                let below_limit = self.idle_count() < self.idle_limit();
                let mut idle = self.idle.borrow_mut();
                let streams = idle.entry(addr.to_string()).or_default();
                if streams.len() < self.max_idle_per_address && below_limit {
                    streams.push((stream, Instant::now()));
                }
            }
            Ok((status, body))
        };
        exchange
            .or(async {
                Timer::after(limits.timeout).await;
                // Without a connection the request was certainly not sent: dropping the future
                // abandons the attempt to connect.
                Err(if sent.get() {
                    CallError::NoAnswer
                } else {
                    CallError::NotSent
                })
            })
            .await
    }
}

/// Reads a response: its status, its body, and whether the connection can be reused.
async fn read_response(stream: &mut TcpStream) -> Option<(u16, Vec<u8>, bool)> {
    let mut buffer = Vec::new();
    let mut chunk = [0u8; 8192];
    let (head, status) = loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut r = httparse::Response::new(&mut headers);
        match r.parse(&buffer) {
            Ok(httparse::Status::Complete(head_len)) => {
                let (body_len, close) = body_headers(r.headers)?;
                let head = Head {
                    head_len,
                    body_len,
                    close,
                };
                break (head, r.code?);
            }
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => {}
            _ => return None,
        }
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    };
    if head.body_len > MAX_RESPONSE_BYTES {
        return None;
    }
    while buffer.len() < head.head_len + head.body_len {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
    let no_extra_bytes = buffer.len() == head.head_len + head.body_len;
    let mut body = buffer.split_off(head.head_len);
    body.truncate(head.body_len);
    Some((status, body, no_extra_bytes && !head.close))
}

#[cfg(test)]
mod tests;
