//! The listener for Kubernetes-shaped clients.

mod tls;

use crate::connections::{Admitted, Peer};
use crate::error::CliError;
use crate::http::{Connection, RequestError, reason};
use crate::server::{ConnectionCount, Executor, ServerState, bind};
use dillcleat_controller::{Input, RequestId};
use dillcleat_kube::status_error::StatusError;
use dillcleat_kube::{ApiRequest, ApiResponse, ControllerOutput, Settings};
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tls::Tls;

/// Lines that may be queued for the reader of a watch. A client that is further behind
/// is disconnected; it resumes by resource version.
const MAX_QUEUED_LINES: usize = 256;
/// A watch may be silent for as long as a bookmark takes, and longer without them.
const SILENCE: Duration = Duration::from_secs(2_000);
const HEADERS: &[&str] = &["authorization", "accept", "content-type"];

/// What the controller is handed: its own inputs and those of Kubernetes-shaped clients.
pub enum ServerInput {
    /// An input of the controller itself.
    Controller(Input),
    /// A request of a Kubernetes-shaped client.
    ApiRequest(RequestId, ApiRequest),
    /// The client of a watch has gone.
    ClientGone(RequestId),
}

/// What the connection of a client is sent.
pub enum WatchLine {
    Reply(ApiResponse),
    Stream,
    Chunk(Rc<[u8]>),
    End,
}

/// Hands an output to the connection that waits for it. Returns the request of a client
/// that does not keep up, whose watch is to be closed.
pub fn carry_out(shared: &ServerState, out: ControllerOutput) -> Option<RequestId> {
    let (id, line) = match out {
        ControllerOutput::Reply { id, reply } => (id, WatchLine::Reply(reply)),
        ControllerOutput::Stream { id } => (id, WatchLine::Stream),
        ControllerOutput::Chunk { id, bytes } => (id, WatchLine::Chunk(bytes)),
        ControllerOutput::End { id } => (id, WatchLine::End),
        ControllerOutput::Core(_) => return None,
    };
    let mut lines = shared.watch_lines.borrow_mut();
    let last = matches!(line, WatchLine::Reply(_) | WatchLine::End);
    let sent = lines.get(&id)?.try_send(line).is_ok();
    if last || !sent {
        lines.remove(&id);
    }
    (!sent).then_some(id)
}

/// Opens the listener.
pub async fn open(
    executor: &Executor,
    shared: &Rc<ServerState>,
    settings: &Settings,
) -> Result<(), CliError> {
    let listener = bind(&settings.listen.to_string()).await?;
    let tls = match &settings.tls {
        None => None,
        Some(files) => Some(Rc::new(Tls::load(files)?)),
    };
    if let Some(tls) = tls.clone() {
        executor.spawn(async move { tls.keep_up().await }).detach();
    }
    log::info!("serving Kubernetes clients address={}", settings.listen);
    executor
        .spawn(accept(executor.clone(), shared.clone(), listener, tls))
        .detach();
    Ok(())
}

/// Whether another Kubernetes-shaped client may connect: half of the clients' sockets
/// are kept for users and workers.
fn accepts_more_clients(shared: &ServerState) -> bool {
    (shared.kube_clients.get() as usize) < shared.clients.limit() / 2
}

async fn accept(
    executor: Executor,
    shared: Rc<ServerState>,
    listener: TcpListener,
    tls: Option<Rc<Tls>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if accepts_more_clients(&shared) => {
                match shared.clients.admit().await {
                    Some(admitted) => {
                        let (shared, tls) = (shared.clone(), tls.clone());
                        executor
                            .spawn(serve(shared, stream, admitted, tls))
                            .detach();
                    }
                    None => log::debug!("Kubernetes connection refused: too many connections"),
                }
            }
            Ok(_) => log::debug!("Kubernetes connection refused: too many connections"),
            Err(e) => {
                log::error!("cannot accept a Kubernetes connection: error={e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(
    shared: Rc<ServerState>,
    stream: TcpStream,
    admitted: Admitted,
    tls: Option<Rc<Tls>>,
) {
    let _counted = ConnectionCount::new(&shared, |s| &s.kube_clients);
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
            Err(e) => log::debug!("TLS handshake failed: error={e}"),
        },
    }
}

fn response_head(status: u16, more: &str, close: bool) -> String {
    let close = if close { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\n{more}{close}\r\n",
        reason(status)
    )
}

fn response_bytes(reply: &ApiResponse, close: bool) -> Vec<u8> {
    let mut more = format!("Content-Length: {}\r\n", reply.body.len());
    if let Some(s) = reply.retry_after {
        more += &format!("Retry-After: {s}\r\n");
    }
    if reply.status == 401 {
        more += "WWW-Authenticate: Bearer\r\n";
    }
    let mut bytes = response_head(reply.status, &more, close).into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes
}

fn refusal(error: &StatusError) -> ApiResponse {
    ApiResponse {
        status: error.code().0,
        body: serde_json::to_vec(&error.status()).unwrap_or_default(),
        retry_after: error.retry_after(),
    }
}

async fn client<S: AsyncRead + AsyncWrite + Unpin>(
    shared: &ServerState,
    admitted: &Admitted,
    mut connection: Connection<S>,
) {
    const IDLE: Duration = Duration::from_secs(40);
    loop {
        let request = match admitted.next_request(&mut connection).await {
            Ok(request) => request,
            Err(RequestError::Gone) => return,
            Err(bad) => {
                let error = match bad {
                    RequestError::TooLarge => {
                        StatusError::BodyTooLarge(dillcleat_kube::api_server::MAX_BODY_BYTES)
                    }
                    _ => StatusError::BadRequest("malformed request".into()),
                };
                let _ = connection
                    .send(&response_bytes(&refusal(&error), true), IDLE)
                    .await;
                return;
            }
        };
        admitted.carries(Peer::User);
        let id = RequestId(shared.next_request.get());
        shared.next_request.set(id.0 + 1);
        let (tx, lines) = smol::channel::bounded(MAX_QUEUED_LINES);
        shared.watch_lines.borrow_mut().insert(id, tx);
        let mut headers = request.headers.into_iter();
        let authorization = headers.next().flatten();
        let ask = ApiRequest {
            method: request.method,
            target: request.target,
            bearer: authorization.and_then(|a| Some(a.strip_prefix("Bearer ")?.trim().to_string())),
            accept: headers.next().flatten(),
            content_type: headers.next().flatten(),
            body: request.body,
        };
        if shared
            .api_requests
            .send(ServerInput::ApiRequest(id, ask))
            .await
            .is_err()
        {
            return;
        }
        let mut close = request.close;
        let sent = match lines.recv().await {
            Ok(WatchLine::Reply(reply)) => {
                close |= admitted.closes_after_answer();
                connection.send(&response_bytes(&reply, close), IDLE).await
            }
            Ok(WatchLine::Stream) => {
                let sent = stream(&mut connection, &lines).await;
                shared.watch_lines.borrow_mut().remove(&id);
                let _ = shared.api_requests.send(ServerInput::ClientGone(id)).await;
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
    lines: &smol::channel::Receiver<WatchLine>,
) -> std::io::Result<()> {
    let start = response_head(200, "Transfer-Encoding: chunked\r\n", false);
    connection.send(start.as_bytes(), SILENCE).await?;
    loop {
        match lines.recv().await {
            Ok(WatchLine::Chunk(bytes)) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                connection.send(&chunk, SILENCE).await?;
            }
            Ok(WatchLine::End) => {
                return connection.send(b"0\r\n\r\n", Duration::from_secs(40)).await;
            }
            // Cut off for not keeping up: without the last chunk it is seen to be.
            _ => return Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}
