//! The controller process: runs a [`Controller`] with sockets and timers on one thread.

use crate::connections::{ClientConnection, ClientConnections, ClientKind};
use crate::error::CliError;
use crate::http::{Connection, ConnectionPool, RequestError, TimeLimits, Watchdog};
use crate::kube_server::{self, ClientOutput};
use crate::peer_connections;
use dillcleat_controller::{
    Answer, CallError, CallId, Config, Input, Micros, Node, Output, RequestId, SECOND, Timestamp,
    seconds,
};
use dillcleat_kube::{ApiRequest, ApiServerConfig, Controller, ControllerOutput};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::HttpRequest;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::settings::PlatformSettings;
use dillcleat_wire::store::StoreRequest;
use dillcleat_wire::worker::HEARTBEAT_PATH;
use dillcleat_wire::worker::{COMMANDS_PATH, CommandBatch};
use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The number of ticks between two checks of the deadlines of connections: one second.
const TICKS_PER_WATCHDOG_SWEEP: u32 = 20;
/// The number of ticks between two checks for expired idle connections: five seconds.
const TICKS_PER_POOL_SWEEP: u32 = 100;
/// Added to the monotonic time, because the controller treats a time of zero as "never".
const MONOTONIC_OFFSET: Micros = 1_000 * SECOND;
/// The capacity of each queue of inputs for the controller.
const MAX_QUEUED_INPUTS: usize = 4096;
/// The number of inputs that are handled before other tasks run, such as those that write
/// responses.
const INPUTS_PER_TURN: u32 = 8;
/// The capacity of the queue of messages for one peer.
const MAX_QUEUED_MESSAGES: usize = 256;
/// The maximum number of connections that peers may have open to this process.
const MAX_PEER_CONNECTIONS: u32 = 16;

pub(crate) struct ServerState {
    inputs: Sender<Input>,
    /// Heartbeats have their own queue, so that requests of users and responses of the store
    /// do not wait behind a burst of them.
    heartbeats: Sender<Input>,
    /// The channel to the task that awaits the answer to each request.
    answers: RefCell<HashMap<RequestId, Sender<Answer>>>,
    pub next_request: Cell<u64>,
    /// Connections of users, workers and Kubernetes clients.
    pub client_connections: Rc<ClientConnections>,
    /// The number of connections of Kubernetes clients.
    pub kube_clients: Cell<u32>,
    /// Requests of Kubernetes clients.
    pub api_requests: Sender<ServerInput>,
    /// The channel to the task that sends the outputs for each request of a Kubernetes client.
    pub client_outputs: RefCell<HashMap<RequestId, Sender<ClientOutput>>>,
    open_peer_connections: Cell<u32>,
    pub watchdog: Watchdog,
    store: ConnectionPool,
    cloud: ConnectionPool,
    workers: ConnectionPool,
    store_addr: String,
    cloud_addr: String,
}

/// An input of the controller process.
pub(crate) enum ServerInput {
    /// An input of the controller.
    Controller(Input),
    /// A request of a Kubernetes client.
    ApiRequest(RequestId, ApiRequest),
    /// The connection no longer sends the events of a watch.
    WatchClosed(RequestId),
}

pub(crate) type Executor = Rc<LocalExecutor<'static>>;

/// Runs the controller until the process is terminated.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened or the TLS certificate cannot be loaded.
pub fn run(
    platform: &PlatformSettings,
    config: Config,
    api_server: Option<ApiServerConfig>,
) -> Result<(), CliError> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    smol::block_on(
        executor
            .clone()
            .run(serve(executor, platform, config, api_server)),
    )
}

/// A warning if cancelled tasks may run longer than `cancel_s` while the store is
/// unavailable, because `cancel_s` is too short for the worker lease.
pub fn cancel_time_excess_warning(config: &Config) -> Option<String> {
    let excess_s = seconds(config.cancel_time_excess()?);
    Some(format!(
        "cluster.workers.cancel_s leaves no time beside lease_s: while the state service is out \
         of reach, cancelled tasks may run up to {excess_s} s longer than cancel_s"
    ))
}

pub(crate) async fn bind(addr: &str) -> Result<TcpListener, CliError> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| CliError::Listen(addr.to_string(), e))
}

async fn serve(
    executor: Executor,
    platform: &PlatformSettings,
    config: Config,
    api_server: Option<ApiServerConfig>,
) -> Result<(), CliError> {
    let client_listener = bind(&platform.client_listen).await?;
    let peer_listener = bind(&platform.peer_listen).await?;
    let (inputs, input_queue) = smol::channel::bounded(MAX_QUEUED_INPUTS);
    let (heartbeats, heartbeat_queue) = smol::channel::bounded(MAX_QUEUED_INPUTS);
    // The queue allocates its capacity at once; without an API server it stays empty.
    let request_capacity = if api_server.is_some() {
        MAX_QUEUED_INPUTS
    } else {
        1
    };
    let (api_requests, api_request_queue) = smol::channel::bounded(request_capacity);
    let max = platform.cluster.quota.max_connections;
    let state = Rc::new(ServerState {
        inputs,
        heartbeats,
        answers: RefCell::default(),
        next_request: Cell::new(0),
        // A quarter, at least 24, is reserved for connections to the store, the cloud, workers
        // and peers.
        client_connections: Rc::new(ClientConnections::new((max - (max / 4).max(24)) as usize)),
        kube_clients: Cell::new(0),
        api_requests,
        client_outputs: RefCell::default(),
        open_peer_connections: Cell::new(0),
        watchdog: Watchdog::default(),
        store: ConnectionPool::new(8, 8),
        cloud: ConnectionPool::new(2, 2),
        // A cluster may have more machines than the controller has sockets, so only some
        // connections to workers are kept.
        workers: ConnectionPool::bounded(
            1,
            (max / 16).max(4) as usize,
            config.max_commands_in_flight,
        ),
        store_addr: platform.endpoints.store.clone(),
        cloud_addr: platform.endpoints.cloud.clone(),
    });
    let mut peer_senders = Vec::new();
    for peer in &platform.peers {
        let (tx, rx) = smol::channel::bounded(MAX_QUEUED_MESSAGES);
        peer_senders.push(tx);
        executor
            .spawn(peer_connections::send_messages(
                config.member.clone(),
                peer.peer_addr.clone(),
                rx,
            ))
            .detach();
    }
    let peer_names: Rc<[String]> = config.peers.clone().into();
    executor
        .spawn(accept_clients(
            executor.clone(),
            state.clone(),
            client_listener,
        ))
        .detach();
    executor
        .spawn(accept_peers(
            executor.clone(),
            state.clone(),
            peer_listener,
            peer_names,
        ))
        .detach();
    if let Some(api_server) = &api_server {
        kube_server::open(&executor, &state, &api_server.settings).await?;
    }
    executor.spawn(tick(state.clone())).detach();
    log::info!(
        "listening for clients member={} address={}",
        config.member,
        platform.client_listen
    );
    if let Some(warning) = cancel_time_excess_warning(&config) {
        log::error!("{warning}");
    }
    let controller = Controller::new(Node::new(config), api_server);
    let inputs = [input_queue, heartbeat_queue];
    run_controller(
        executor,
        state,
        controller,
        inputs,
        api_request_queue,
        peer_senders,
    )
    .await;
    Ok(())
}

async fn tick(state: Rc<ServerState>) {
    let mut ticks = 0u32;
    loop {
        // If the queue is full, the next tick is delayed.
        if state.inputs.send(Input::Tick).await.is_err() {
            return;
        }
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_WATCHDOG_SWEEP) {
            state.watchdog.sweep();
        }
        if ticks.is_multiple_of(TICKS_PER_POOL_SWEEP) {
            state.workers.sweep();
            state.store.sweep();
            state.cloud.sweep();
        }
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Passes queued inputs to the controller and executes its outputs. Heartbeats are
/// handled after all other inputs, and requests of Kubernetes clients after heartbeats.
async fn run_controller(
    executor: Executor,
    state: Rc<ServerState>,
    mut controller: Controller,
    [inputs, heartbeats]: [Receiver<Input>; 2],
    api_requests: Receiver<ServerInput>,
    peer_senders: Vec<Sender<Message>>,
) {
    let start = Instant::now();
    let mut inputs_in_turn = 0;
    loop {
        let next = match inputs.try_recv().or_else(|_| heartbeats.try_recv()) {
            Ok(input) => Ok(ServerInput::Controller(input)),
            Err(_) => {
                let queued = async {
                    inputs
                        .recv()
                        .or(heartbeats.recv())
                        .await
                        .map(ServerInput::Controller)
                };
                queued.or(api_requests.recv()).await
            }
        };
        let Ok(input) = next else {
            return;
        };
        inputs_in_turn += 1;
        if inputs_in_turn >= INPUTS_PER_TURN {
            inputs_in_turn = 0;
            smol::future::yield_now().await;
        }
        let decided_at = Instant::now();
        let now = Timestamp {
            monotonic: (decided_at - start).as_micros() as Micros + MONOTONIC_OFFSET,
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as Micros),
        };
        let outputs = match input {
            ServerInput::Controller(input) => controller.handle(now, input),
            ServerInput::ApiRequest(id, request) => controller.handle_request(now, id, request),
            ServerInput::WatchClosed(id) => {
                controller.close_watch(id);
                continue;
            }
        };
        for output in outputs {
            match output {
                ControllerOutput::Node(output) => {
                    execute(&executor, &state, &peer_senders, decided_at, output)
                }
                other => {
                    if let Some(slow_client) = kube_server::forward(&state, other) {
                        controller.close_watch(slow_client);
                    }
                }
            }
        }
    }
}

/// Executes an output that the controller decided on at `decided_at`.
fn execute(
    executor: &Executor,
    state: &Rc<ServerState>,
    peer_senders: &[Sender<Message>],
    decided_at: Instant,
    output: Output,
) {
    match output {
        Output::Answer { id, answer } => {
            if let Some(tx) = state.answers.borrow_mut().remove(&id) {
                // The client may have disconnected in the meantime.
                let _ = tx.try_send(answer);
            }
        }
        Output::Store { id, call, timeout } => {
            executor
                .spawn(store_call(state.clone(), id, call, timeout))
                .detach();
        }
        Output::Cloud {
            id,
            call,
            timeout,
            within: send_within,
        } => {
            let limits = TimeLimits {
                timeout: Duration::from_micros(timeout),
                send_by: decided_at.checked_add(Duration::from_micros(send_within)),
            };
            executor
                .spawn(cloud_call(state.clone(), id, call, limits))
                .detach();
        }
        Output::Commands {
            id,
            addr,
            commands,
            timeout,
        } => {
            executor
                .spawn(command_call(state.clone(), id, addr, commands, timeout))
                .detach();
        }
        Output::JobEvent(_) => {}
        Output::Peer { message } => {
            for sender in peer_senders {
                // If the queue of a peer is full, the message is dropped: messages
                // between controllers are best-effort.
                let _ = sender.try_send(message.clone());
            }
        }
    }
}

async fn store_call(state: Rc<ServerState>, id: CallId, call: StoreRequest, timeout: Micros) {
    let HttpRequest {
        method,
        target,
        body,
    } = call.to_http();
    let timeout = Duration::from_micros(timeout);
    let response = state
        .store
        .call(&state.store_addr, method, &target, &body, timeout)
        .await
        .and_then(|(status, body)| {
            call.parse_response(status, &body).map_err(|e| {
                log::error!(
                    "cannot decode response of the store method={method} target={target} error={e}"
                );
                CallError::NoAnswer
            })
        });
    log::debug!(
        "store request method={method} target={target} outcome={}",
        outcome(&response)
    );
    let _ = state
        .inputs
        .send(Input::Store {
            id,
            reply: response,
        })
        .await;
}

/// The outcome of a request, for the log.
fn outcome<T>(response: &Result<T, CallError>) -> String {
    match response {
        Ok(_) => "answered".into(),
        Err(e) => e.to_string(),
    }
}

async fn cloud_call(state: Rc<ServerState>, id: CallId, call: CloudRequest, limits: TimeLimits) {
    let HttpRequest {
        method,
        target,
        body,
    } = call.to_http();
    let response = state
        .cloud
        .call(&state.cloud_addr, method, &target, &body, limits)
        .await
        .and_then(|(status, body)| {
            call.parse_response(status, &body).map_err(|e| {
                log::error!(
                    "cannot decode response of the cloud method={method} target={target} error={e}"
                );
                CallError::NoAnswer
            })
        });
    log::debug!(
        "cloud request method={method} target={target} outcome={}",
        outcome(&response)
    );
    let _ = state
        .inputs
        .send(Input::Cloud {
            id,
            reply: response,
        })
        .await;
}

async fn command_call(
    state: Rc<ServerState>,
    id: CallId,
    addr: String,
    commands: CommandBatch,
    timeout: Micros,
) {
    let body = dillcleat_wire::encode(&commands);
    let timeout = Duration::from_micros(timeout);
    let response = state
        .workers
        .call(&addr, "POST", COMMANDS_PATH, &body, timeout)
        .await;
    log::debug!(
        "command request address={addr} outcome={}",
        outcome(&response)
    );
    let _ = state
        .inputs
        .send(Input::Commands {
            id,
            reply: response,
        })
        .await;
}

/// Counts a connection until this value is dropped.
pub(crate) struct ConnectionCount<F: Fn(&ServerState) -> &Cell<u32>>(Rc<ServerState>, F);

impl<F: Fn(&ServerState) -> &Cell<u32>> ConnectionCount<F> {
    pub fn new(state: &Rc<ServerState>, counter: F) -> Self {
        counter(state).set(counter(state).get() + 1);
        ConnectionCount(state.clone(), counter)
    }
}

impl<F: Fn(&ServerState) -> &Cell<u32>> Drop for ConnectionCount<F> {
    fn drop(&mut self) {
        let cell = (self.1)(&self.0);
        cell.set(cell.get() - 1);
    }
}

async fn accept_clients(executor: Executor, state: Rc<ServerState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match state.client_connections.admit().await {
                Some(admitted) => executor
                    .spawn(serve_client(state.clone(), stream, admitted))
                    .detach(),
                // The connection is closed at once; load balancers and workers try another
                // controller.
                None => log::debug!("client connection closed: connection limit reached"),
            },
            Err(e) => {
                log::error!("cannot accept a connection error={e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_client(state: Rc<ServerState>, stream: TcpStream, admitted: ClientConnection) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream, &state.watchdog);
    loop {
        let request = match admitted.next_request(&mut connection).await {
            Ok(r) => r,
            Err(RequestError::Closed) => return,
            Err(error) => {
                let answer = match error {
                    RequestError::TooLarge => Answer::refusal(413, "the body is too large"),
                    _ => Answer::refusal(400, "malformed request"),
                };
                let _ = connection.send_answer(&answer, true).await;
                return;
            }
        };
        let id = RequestId(state.next_request.get());
        state.next_request.set(id.0 + 1);
        let (tx, rx) = smol::channel::bounded(1);
        state.answers.borrow_mut().insert(id, tx);
        let (client_kind, queue) = match request.target.as_str() {
            HEARTBEAT_PATH => (ClientKind::Worker, &state.heartbeats),
            _ => (ClientKind::User, &state.inputs),
        };
        admitted.set_client_kind(client_kind);
        let input = Input::Request {
            id,
            method: request.method,
            target: request.target,
            body: request.body,
        };
        if queue.send(input).await.is_err() {
            return;
        }
        let Ok(answer) = rx.recv().await else {
            return;
        };
        let close = request.close || admitted.closes_after_response();
        if connection.send_answer(&answer, close).await.is_err() || close {
            return;
        }
    }
}

async fn accept_peers(
    executor: Executor,
    state: Rc<ServerState>,
    listener: TcpListener,
    peer_names: Rc<[String]>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if state.open_peer_connections.get() < MAX_PEER_CONNECTIONS => {
                let (state, peer_names) = (state.clone(), peer_names.clone());
                executor
                    .spawn(async move {
                        let _counted = ConnectionCount::new(&state, |s| &s.open_peer_connections);
                        peer_connections::receive_messages(
                            stream,
                            &peer_names,
                            state.inputs.clone(),
                        )
                        .await;
                    })
                    .detach();
            }
            Ok(_) => log::error!("peer connection closed: connection limit reached"),
            Err(e) => {
                log::error!("cannot accept a peer connection error={e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}
