//! The listener for Kubernetes-shaped clients.

mod tls;

use crate::connections::{Admitted, Peer};
use crate::error::CliError;
use crate::http::{Bad, Connection, reason};
use crate::serve::{Counted, Executor, Shared, bind};
use dillcleat_controller::{Input, RequestId};
use dillcleat_kube::fault::Fault;
use dillcleat_kube::{Ask, Out, Reply, Settings};
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tls::Tls;

/// Lines that may wait for the reader of a watch. Whoever is further behind is cut off:
/// it resumes by version.
const LINES: usize = 256;
/// A watch may be silent for as long as a bookmark takes, and longer without them.
const SILENCE: Duration = Duration::from_secs(2_000);
const HEADERS: &[&str] = &["authorization", "accept", "content-type"];

/// What the core takes beside its own inputs.
pub enum Incoming {
    Core(Input),
    Ask(RequestId, Ask),
    /// The client of a watch has gone.
    Gone(RequestId),
}

/// What a client is sent.
pub enum Line {
    Reply(Reply),
    Stream,
    Chunk(Rc<[u8]>),
    End,
}

/// Hands an output to whom it is for; the request of a client that does not keep up.
pub fn carry_out(shared: &Shared, out: Out) -> Option<RequestId> {
    let (id, line) = match out {
        Out::Reply { id, reply } => (id, Line::Reply(reply)),
        Out::Stream { id } => (id, Line::Stream),
        Out::Chunk { id, bytes } => (id, Line::Chunk(bytes)),
        Out::End { id } => (id, Line::End),
        Out::Core(_) => return None,
    };
    let mut lines = shared.lines.borrow_mut();
    let last = matches!(line, Line::Reply(_) | Line::End);
    let sent = lines.get(&id)?.try_send(line).is_ok();
    if last || !sent {
        lines.remove(&id);
    }
    (!sent).then_some(id)
}

/// Opens the listener.
pub async fn open(ex: &Executor, shared: &Rc<Shared>, settings: &Settings) -> Result<(), CliError> {
    let listener = bind(&settings.listen.to_string()).await?;
    let tls = match &settings.tls {
        None => None,
        Some(files) => Some(Rc::new(Tls::load(files)?)),
    };
    if let Some(tls) = tls.clone() {
        ex.spawn(async move { tls.keep_up().await }).detach();
    }
    log::info!(
        "Kubernetes-shaped clients are served on {}",
        settings.listen
    );
    ex.spawn(accept(ex.clone(), shared.clone(), listener, tls))
        .detach();
    Ok(())
}

/// Half of the clients' sockets stay with users and workers.
fn may_have_more(shared: &Shared) -> bool {
    (shared.door_clients.get() as usize) < shared.clients.limit() / 2
}

async fn accept(ex: Executor, shared: Rc<Shared>, listener: TcpListener, tls: Option<Rc<Tls>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if may_have_more(&shared) => match shared.clients.admit().await {
                Some(admitted) => {
                    let (shared, tls) = (shared.clone(), tls.clone());
                    ex.spawn(serve(shared, stream, admitted, tls)).detach();
                }
                None => log::debug!("too many connections"),
            },
            Ok(_) => log::debug!("too many connections"),
            Err(e) => {
                log::error!("cannot accept a connection: {e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream, admitted: Admitted, tls: Option<Rc<Tls>>) {
    let _counted = Counted::new(&shared, |s| &s.door_clients);
    let _ = stream.set_nodelay(true);
    let guarded = shared.watchdog.watch(&stream);
    match tls {
        None => {
            let connection = Connection::over(stream, guarded, HEADERS);
            client(&shared, &admitted, connection).await;
        }
        Some(tls) => match tls.accept(stream).await {
            Ok(stream) => {
                let connection = Connection::over(stream, guarded, HEADERS);
                client(&shared, &admitted, connection).await;
            }
            Err(e) => log::debug!("no TLS with a client: {e}"),
        },
    }
}

fn head(status: u16, more: &str, close: bool) -> String {
    let close = if close { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\n{more}{close}\r\n",
        reason(status)
    )
}

fn whole(reply: &Reply, close: bool) -> Vec<u8> {
    let mut more = format!("Content-Length: {}\r\n", reply.body.len());
    if let Some(s) = reply.retry_after {
        more += &format!("Retry-After: {s}\r\n");
    }
    if reply.status == 401 {
        more += "WWW-Authenticate: Bearer\r\n";
    }
    let mut bytes = head(reply.status, &more, close).into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes
}

fn refusal(fault: &Fault) -> Reply {
    Reply {
        status: fault.code().0,
        body: serde_json::to_vec(&fault.status()).unwrap_or_default(),
        retry_after: fault.retry_after(),
    }
}

async fn client<S: AsyncRead + AsyncWrite + Unpin>(
    shared: &Shared,
    admitted: &Admitted,
    mut connection: Connection<S>,
) {
    const IDLE: Duration = Duration::from_secs(40);
    loop {
        let request = match admitted.next_request(&mut connection).await {
            Ok(request) => request,
            Err(Bad::Gone) => return,
            Err(bad) => {
                let fault = match bad {
                    Bad::TooLarge => Fault::TooLarge(dillcleat_kube::door::BODY_LIMIT),
                    _ => Fault::BadRequest("malformed request".into()),
                };
                let _ = connection.send(&whole(&refusal(&fault), true), IDLE).await;
                return;
            }
        };
        admitted.carries(Peer::User);
        let id = RequestId(shared.next_request.get());
        shared.next_request.set(id.0 + 1);
        let (tx, lines) = smol::channel::bounded(LINES);
        shared.lines.borrow_mut().insert(id, tx);
        let mut headers = request.headers.into_iter();
        let authorization = headers.next().flatten();
        let ask = Ask {
            method: request.method,
            target: request.target,
            bearer: authorization.and_then(|a| Some(a.strip_prefix("Bearer ")?.trim().to_string())),
            accept: headers.next().flatten(),
            content_type: headers.next().flatten(),
            body: request.body,
        };
        if shared.asks.send(Incoming::Ask(id, ask)).await.is_err() {
            return;
        }
        let mut close = request.close;
        let sent = match lines.recv().await {
            Ok(Line::Reply(reply)) => {
                close |= admitted.closes_after_answer();
                connection.send(&whole(&reply, close), IDLE).await
            }
            Ok(Line::Stream) => {
                let sent = stream(&mut connection, &lines).await;
                shared.lines.borrow_mut().remove(&id);
                let _ = shared.asks.send(Incoming::Gone(id)).await;
                sent
            }
            _ => return,
        };
        if sent.is_err() || close {
            return;
        }
    }
}

/// Sends the lines of a watch until it ends.
async fn stream<S: AsyncRead + AsyncWrite + Unpin>(
    connection: &mut Connection<S>,
    lines: &smol::channel::Receiver<Line>,
) -> std::io::Result<()> {
    let start = head(200, "Transfer-Encoding: chunked\r\n", false);
    connection.send(start.as_bytes(), SILENCE).await?;
    loop {
        match lines.recv().await {
            Ok(Line::Chunk(bytes)) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                connection.send(&chunk, SILENCE).await?;
            }
            Ok(Line::End) => {
                return connection.send(b"0\r\n\r\n", Duration::from_secs(40)).await;
            }
            // Cut off for not keeping up: without the last chunk it is seen to be.
            _ => return Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}
