//! The listener for Kubernetes clients.

mod tls;

use crate::connections::{ClientConnection, ClientKind};
use crate::error::CliError;
use crate::http::{Connection, IDLE_TIMEOUT, RequestError, reason};
use crate::server::{ConnectionCount, Executor, ServerInput, ServerState, bind};
use dillcleat_controller::RequestId;
use dillcleat_kube::status_error::StatusError;
use dillcleat_kube::{ApiRequest, ApiResponse, ControllerOutput, Settings};
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tls::Tls;

/// The capacity of the queue of outputs for one connection. A client that exceeds it is
/// disconnected; it can resume its watch at the last resource version.
const MAX_QUEUED_OUTPUTS: usize = 256;
/// Idle timeout of a connection with an open watch. A watch without bookmarks may have no
/// events until it ends, so this is longer than the maximum duration of a watch.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(2_000);
/// The headers that `serve_client` uses, in the order in which it reads their values.
const HEADER_NAMES: &[&str] = &["authorization", "accept", "content-type"];

/// An output of the API server to the connection of a client.
pub enum ClientOutput {
    /// A complete response.
    Response(ApiResponse),
    WatchStarted,
    WatchEvent(Rc<[u8]>),
    WatchEnded,
}

/// Forwards an output to the task of its connection. Returns the request if its output could
/// not be queued, because the client reads too slowly or has disconnected; its watch must be
/// closed.
pub fn forward(state: &ServerState, out: ControllerOutput) -> Option<RequestId> {
    let (id, output) = match out {
        ControllerOutput::Response { id, response } => (id, ClientOutput::Response(response)),
        ControllerOutput::WatchStarted { id } => (id, ClientOutput::WatchStarted),
        ControllerOutput::WatchEvent { id, bytes } => (id, ClientOutput::WatchEvent(bytes)),
        ControllerOutput::WatchEnded { id } => (id, ClientOutput::WatchEnded),
        ControllerOutput::Node(_) => return None,
    };
    let mut outputs = state.client_outputs.borrow_mut();
    let last = matches!(output, ClientOutput::Response(_) | ClientOutput::WatchEnded);
    let sent = outputs.get(&id)?.try_send(output).is_ok();
    if last || !sent {
        outputs.remove(&id);
    }
    (!sent).then_some(id)
}

/// Opens the listener and starts to accept connections.
pub async fn open(
    executor: &Executor,
    state: &Rc<ServerState>,
    settings: &Settings,
) -> Result<(), CliError> {
    let listener = bind(&settings.listen.to_string()).await?;
    let tls = match &settings.tls {
        None => None,
        Some(files) => Some(Rc::new(Tls::load(files)?)),
    };
    if let Some(tls) = tls.clone() {
        executor
            .spawn(async move { tls.reload_on_change().await })
            .detach();
    }
    log::info!("serving Kubernetes clients address={}", settings.listen);
    executor
        .spawn(accept(executor.clone(), state.clone(), listener, tls))
        .detach();
    Ok(())
}

/// Whether another Kubernetes client may connect. Half of the clients' connections are
/// reserved for users and workers.
fn accepts_more_clients(state: &ServerState) -> bool {
    (state.kube_clients.get() as usize) < state.client_connections.limit() / 2
}

async fn accept(
    executor: Executor,
    state: Rc<ServerState>,
    listener: TcpListener,
    tls: Option<Rc<Tls>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if accepts_more_clients(&state) => {
                match state.client_connections.admit().await {
                    Some(admitted) => {
                        let (state, tls) = (state.clone(), tls.clone());
                        executor.spawn(serve(state, stream, admitted, tls)).detach();
                    }
                    None => log::debug!("Kubernetes connection closed: connection limit reached"),
                }
            }
            Ok(_) => {
                log::debug!("Kubernetes connection closed: limit of Kubernetes clients reached")
            }
            Err(e) => {
                log::error!("cannot accept a Kubernetes connection error={e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(
    state: Rc<ServerState>,
    stream: TcpStream,
    admitted: ClientConnection,
    tls: Option<Rc<Tls>>,
) {
    let _counted = ConnectionCount::new(&state, |s| &s.kube_clients);
    let _ = stream.set_nodelay(true);
    let guard = state.watchdog.guard_new_connection(&stream);
    match tls {
        None => {
            let connection = Connection::from_stream(stream, guard, HEADER_NAMES);
            serve_client(&state, &admitted, connection).await;
        }
        Some(tls) => match tls.accept(stream).await {
            Ok(stream) => {
                let connection = Connection::from_stream(stream, guard, HEADER_NAMES);
                serve_client(&state, &admitted, connection).await;
            }
            Err(e) => log::debug!("TLS handshake failed error={e}"),
        },
    }
}

fn response_head(status: u16, extra_headers: &str, close: bool) -> String {
    let close = if close { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\n{extra_headers}{close}\r\n",
        reason(status)
    )
}

fn response_bytes(response: &ApiResponse, close: bool) -> Vec<u8> {
    let mut extra_headers = format!("Content-Length: {}\r\n", response.body.len());
    if let Some(s) = response.retry_after {
        extra_headers += &format!("Retry-After: {s}\r\n");
    }
    if response.status == 401 {
        extra_headers += "WWW-Authenticate: Bearer\r\n";
    }
    let mut bytes = response_head(response.status, &extra_headers, close).into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}

fn error_response(error: &StatusError) -> ApiResponse {
    ApiResponse {
        status: error.code_and_reason().0,
        body: serde_json::to_vec(&error.status()).unwrap_or_default(),
        retry_after: error.retry_after(),
    }
}

async fn serve_client<S: AsyncRead + AsyncWrite + Unpin>(
    state: &ServerState,
    admitted: &ClientConnection,
    mut connection: Connection<S>,
) {
    loop {
        let request = match admitted.next_request(&mut connection).await {
            Ok(request) => request,
            Err(RequestError::Closed) => return,
            Err(error) => {
                let error = match error {
                    RequestError::TooLarge => {
                        StatusError::BodyTooLarge(dillcleat_wire::MAX_BODY_BYTES)
                    }
                    _ => StatusError::BadRequest("malformed request".into()),
                };
                let _ = connection
                    .send(&response_bytes(&error_response(&error), true), IDLE_TIMEOUT)
                    .await;
                return;
            }
        };
        admitted.set_client_kind(ClientKind::User);
        let id = RequestId(state.next_request.get());
        state.next_request.set(id.0 + 1);
        let (tx, outputs) = smol::channel::bounded(MAX_QUEUED_OUTPUTS);
        state.client_outputs.borrow_mut().insert(id, tx);
        let mut headers = request.headers.into_iter();
        let authorization = headers.next().flatten();
        let api_request = ApiRequest {
            method: request.method,
            target: request.target,
            bearer: authorization.and_then(|a| Some(a.strip_prefix("Bearer ")?.trim().to_string())),
            accept: headers.next().flatten(),
            content_type: headers.next().flatten(),
            body: request.body,
        };
        if state
            .api_requests
            .send(ServerInput::ApiRequest(id, api_request))
            .await
            .is_err()
        {
            return;
        }
        let mut close = request.close;
        let sent = match outputs.recv().await {
            Ok(ClientOutput::Response(response)) => {
                close |= admitted.closes_after_response();
                connection
                    .send(&response_bytes(&response, close), IDLE_TIMEOUT)
                    .await
            }
            Ok(ClientOutput::WatchStarted) => {
                let sent = send_watch(&mut connection, &outputs).await;
                state.client_outputs.borrow_mut().remove(&id);
                let _ = state.api_requests.send(ServerInput::WatchClosed(id)).await;
                sent
            }
            _ => return,
        };
        if sent.is_err() || close {
            return;
        }
    }
}

/// Sends the events of a watch until it ends.
async fn send_watch<S: AsyncRead + AsyncWrite + Unpin>(
    connection: &mut Connection<S>,
    outputs: &smol::channel::Receiver<ClientOutput>,
) -> std::io::Result<()> {
    let start = response_head(200, "Transfer-Encoding: chunked\r\n", false);
    connection
        .send(start.as_bytes(), WATCH_IDLE_TIMEOUT)
        .await?;
    loop {
        match outputs.recv().await {
            Ok(ClientOutput::WatchEvent(bytes)) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                connection.send(&chunk, WATCH_IDLE_TIMEOUT).await?;
            }
            Ok(ClientOutput::WatchEnded) => {
                return connection.send(b"0\r\n\r\n", IDLE_TIMEOUT).await;
            }
            // The client reads too slowly. Closing the connection without the last chunk
            // shows it that the watch is incomplete.
            _ => return Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}
