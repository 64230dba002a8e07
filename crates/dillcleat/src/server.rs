//! The controller process: sockets and timers around a [`Node`], on one thread.

use crate::connections::{Admitted, ClientConnections, Peer};
use crate::error::CliError;
use crate::http::{Connection, ConnectionPool, Limits, RequestError, Watchdog};
use crate::kube_server::{self, ServerInput, WatchLine};
use crate::peer_connections;
use dillcleat_controller::{
    Answer, CallError, CallId, Config, Input, Micros, Node, Output, RequestId, Timestamp, seconds,
};
use dillcleat_kube::{Controller, ControllerOutput, Rules};
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

const TICK: Duration = Duration::from_millis(50);
/// Inputs of one kind that may be queued for the controller.
const MAX_INPUTS: usize = 4096;
/// Inputs that are handled before other tasks run: replies leave the process only then.
const INPUTS_PER_TURN: u32 = 8;
/// Messages that may be queued for one peer.
const MAX_MESSAGES: usize = 256;
/// Connections that peers may hold open to this process.
const MAX_PEER_CONNECTIONS: u32 = 16;

pub(crate) struct ServerState {
    inputs: Sender<Input>,
    /// Heartbeats have a queue of their own: after a pause hundreds arrive at once, and
    /// users' requests and lease renewals must not queue behind them.
    heartbeats: Sender<Input>,
    answers: RefCell<HashMap<RequestId, Sender<Answer>>>,
    pub next_request: Cell<u64>,
    /// Connections of users, workers and Kubernetes-shaped clients.
    pub clients: Rc<ClientConnections>,
    /// The number of connections of Kubernetes-shaped clients.
    pub kube_clients: Cell<u32>,
    /// Requests of Kubernetes-shaped clients.
    pub api_requests: Sender<ServerInput>,
    /// Where the lines of each open watch go.
    pub watch_lines: RefCell<HashMap<RequestId, Sender<WatchLine>>>,
    open_peer_connections: Cell<u32>,
    pub watchdog: Watchdog,
    store: ConnectionPool,
    cloud: ConnectionPool,
    workers: ConnectionPool,
    store_addr: String,
    cloud_addr: String,
}

pub(crate) type Executor = Rc<LocalExecutor<'static>>;

/// Runs the controller until its process is ended.
///
/// # Errors
/// When a listener cannot be opened.
pub fn run(
    platform: &PlatformSettings,
    config: Config,
    rules: Option<Rules>,
) -> Result<(), CliError> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    smol::block_on(
        executor
            .clone()
            .run(serve(executor, platform, config, rules)),
    )
}

/// What doesn't hold with settings under which `cancel_s` leaves no time beside the
/// lease; None with all others.
pub fn short_of_time(config: &Config) -> Option<String> {
    let short = seconds(config.cancel_deadline_shortfall()?);
    Some(format!(
        "cluster.workers.cancel_s leaves no time beside lease_s: while the state service is out \
         of reach, cancelled tasks may run up to {short} s longer than cancel_s"
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
    rules: Option<Rules>,
) -> Result<(), CliError> {
    let clients = bind(&platform.client_listen).await?;
    let peers = bind(&platform.peer_listen).await?;
    let (inputs, input_queue) = smol::channel::bounded(MAX_INPUTS);
    let (heartbeats, heartbeat_queue) = smol::channel::bounded(MAX_INPUTS);
    // Such a queue allocates its capacity at once, and without the listener nothing is queued.
    let request_capacity = if rules.is_some() { MAX_INPUTS } else { 1 };
    let (api_requests, api_request_queue) = smol::channel::bounded(request_capacity);
    let max = platform.cluster.quota.max_connections;
    let shared = Rc::new(ServerState {
        inputs,
        heartbeats,
        answers: RefCell::default(),
        next_request: Cell::new(0),
        // The rest is for the store, the cloud, commands to workers, and peers.
        clients: Rc::new(ClientConnections::new((max - (max / 4).max(24)) as usize)),
        kube_clients: Cell::new(0),
        api_requests,
        watch_lines: RefCell::default(),
        open_peer_connections: Cell::new(0),
        watchdog: Watchdog::default(),
        store: ConnectionPool::new(8, 8),
        cloud: ConnectionPool::new(2, 2),
        // A fleet may have more machines than there are sockets: with one kept to each,
        // a controller would have none left for its users. Idle ones count against
        // the commands that may be in flight.
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
        let (tx, rx) = smol::channel::bounded(MAX_MESSAGES);
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
        .spawn(accept_clients(executor.clone(), shared.clone(), clients))
        .detach();
    executor
        .spawn(accept_peers(
            executor.clone(),
            shared.clone(),
            peers,
            peer_names,
        ))
        .detach();
    if let Some(rules) = &rules {
        kube_server::open(&executor, &shared, &rules.settings).await?;
    }
    executor.spawn(tick(shared.clone())).detach();
    log::info!(
        "serving member={} address={}",
        config.member,
        platform.client_listen
    );
    if let Some(warning) = short_of_time(&config) {
        log::error!("{warning}");
    }
    let controller = Controller::new(Node::new(config), rules);
    let inputs = [input_queue, heartbeat_queue];
    run_controller(
        executor,
        shared,
        controller,
        inputs,
        api_request_queue,
        peer_senders,
    )
    .await;
    Ok(())
}

async fn tick(shared: Rc<ServerState>) {
    let mut ticks = 0u32;
    loop {
        // A full queue holds later ticks back, not the process.
        if shared.inputs.send(Input::Tick).await.is_err() {
            return;
        }
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(20) {
            shared.watchdog.sweep();
        }
        if ticks.is_multiple_of(100) {
            shared.workers.sweep();
            shared.store.sweep();
            shared.cloud.sweep();
        }
        Timer::after(TICK).await;
    }
}

async fn run_controller(
    executor: Executor,
    shared: Rc<ServerState>,
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
        let begun = Instant::now();
        let now = Timestamp {
            // Zero would look like "never" to what compares times.
            monotonic: (begun - start).as_micros() as Micros + 1_000_000_000,
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as Micros),
        };
        let outputs = match input {
            ServerInput::Controller(input) => controller.handle(now, input),
            ServerInput::ApiRequest(id, request) => controller.ask(now, id, request),
            ServerInput::ClientGone(id) => {
                controller.gone(id);
                continue;
            }
        };
        for output in outputs {
            match output {
                ControllerOutput::Core(output) => {
                    carry_out(&executor, &shared, &peer_senders, begun, output)
                }
                other => {
                    if let Some(slow) = kube_server::carry_out(&shared, other) {
                        controller.gone(slow);
                    }
                }
            }
        }
    }
}

/// Carries out an output that the controller decided on at `begun`.
fn carry_out(
    executor: &Executor,
    shared: &Rc<ServerState>,
    peer_senders: &[Sender<Message>],
    begun: Instant,
    output: Output,
) {
    match output {
        Output::Answer { id, answer } => {
            if let Some(tx) = shared.answers.borrow_mut().remove(&id) {
                // The client may have gone meanwhile.
                let _ = tx.try_send(answer);
            }
        }
        Output::Store { id, call, timeout } => {
            executor
                .spawn(store_call(shared.clone(), id, call, timeout))
                .detach();
        }
        Output::Cloud {
            id,
            call,
            timeout,
            within,
        } => {
            let limits = Limits {
                time: Duration::from_micros(timeout),
                send_by: begun.checked_add(Duration::from_micros(within)),
            };
            executor
                .spawn(cloud_call(shared.clone(), id, call, limits))
                .detach();
        }
        Output::Commands {
            id,
            addr,
            commands: orders,
            timeout,
        } => {
            executor
                .spawn(command_call(shared.clone(), id, addr, orders, timeout))
                .detach();
        }
        Output::JobEvent(_) => {}
        Output::Peer { message } => {
            for sender in peer_senders {
                // A peer that does not keep up misses hints only.
                let _ = sender.try_send(message.clone());
            }
        }
    }
}

async fn store_call(shared: Rc<ServerState>, id: CallId, call: StoreRequest, timeout: Micros) {
    let HttpRequest {
        method,
        target,
        body,
    } = call.to_http();
    let time = Duration::from_micros(timeout);
    let reply = shared
        .store
        .call(&shared.store_addr, method, &target, &body, time)
        .await
        .and_then(|(status, body)| {
            call.parse_response(status, &body).map_err(|e| {
                log::error!(
                    "unreadable response of the store method={method} target={target} error={e}"
                );
                CallError::NoAnswer
            })
        });
    log::debug!(
        "store request method={method} target={target} outcome={}",
        outcome(&reply)
    );
    let _ = shared.inputs.send(Input::Store { id, reply }).await;
}

fn outcome<T>(reply: &Result<T, CallError>) -> String {
    match reply {
        Ok(_) => "answered".into(),
        Err(e) => e.to_string(),
    }
}

async fn cloud_call(shared: Rc<ServerState>, id: CallId, call: CloudRequest, limits: Limits) {
    let HttpRequest {
        method,
        target,
        body,
    } = call.to_http();
    let reply = shared
        .cloud
        .call(&shared.cloud_addr, method, &target, &body, limits)
        .await
        .and_then(|(status, body)| {
            call.parse_response(status, &body).map_err(|e| {
                log::error!(
                    "unreadable response of the cloud method={method} target={target} error={e}"
                );
                CallError::NoAnswer
            })
        });
    log::debug!(
        "cloud request method={method} target={target} outcome={}",
        outcome(&reply)
    );
    let _ = shared.inputs.send(Input::Cloud { id, reply }).await;
}

async fn command_call(
    shared: Rc<ServerState>,
    id: CallId,
    addr: String,
    orders: CommandBatch,
    timeout: Micros,
) {
    let body = dillcleat_wire::encode(&orders);
    let time = Duration::from_micros(timeout);
    let reply = shared
        .workers
        .call(&addr, "POST", COMMANDS_PATH, &body, time)
        .await;
    log::debug!("commands sent address={addr} outcome={}", outcome(&reply));
    let _ = shared.inputs.send(Input::Commands { id, reply }).await;
}

/// Counts a connection for as long as it lives.
pub(crate) struct ConnectionCount<F: Fn(&ServerState) -> &Cell<u32>>(Rc<ServerState>, F);

impl<F: Fn(&ServerState) -> &Cell<u32>> ConnectionCount<F> {
    pub fn new(shared: &Rc<ServerState>, of: F) -> Self {
        of(shared).set(of(shared).get() + 1);
        ConnectionCount(shared.clone(), of)
    }
}

impl<F: Fn(&ServerState) -> &Cell<u32>> Drop for ConnectionCount<F> {
    fn drop(&mut self) {
        let cell = (self.1)(&self.0);
        cell.set(cell.get() - 1);
    }
}

async fn accept_clients(executor: Executor, shared: Rc<ServerState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match shared.clients.admit().await {
                Some(admitted) => executor
                    .spawn(client(shared.clone(), stream, admitted))
                    .detach(),
                // Beyond the bound the connection is closed at once: the load
                // balancer and the workers go to another node.
                None => log::debug!("connection refused: too many connections"),
            },
            Err(e) => {
                log::error!("cannot accept a connection: error={e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn client(shared: Rc<ServerState>, stream: TcpStream, admitted: Admitted) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream, &shared.watchdog);
    loop {
        let request = match admitted.next_request(&mut connection).await {
            Ok(r) => r,
            Err(RequestError::Gone) => return,
            Err(bad) => {
                let answer = match bad {
                    RequestError::TooLarge => Answer::refusal(413, "the body is too large"),
                    _ => Answer::refusal(400, "malformed request"),
                };
                let _ = connection.answer(&answer, true).await;
                return;
            }
        };
        let id = RequestId(shared.next_request.get());
        shared.next_request.set(id.0 + 1);
        let (tx, rx) = smol::channel::bounded(1);
        shared.answers.borrow_mut().insert(id, tx);
        let (peer, queue) = match request.target.as_str() {
            HEARTBEAT_PATH => (Peer::Worker, &shared.heartbeats),
            _ => (Peer::User, &shared.inputs),
        };
        admitted.carries(peer);
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
        let close = request.close || admitted.closes_after_answer();
        if connection.answer(&answer, close).await.is_err() || close {
            return;
        }
    }
}

async fn accept_peers(
    executor: Executor,
    shared: Rc<ServerState>,
    listener: TcpListener,
    peer_names: Rc<[String]>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.open_peer_connections.get() < MAX_PEER_CONNECTIONS => {
                let (shared, peer_names) = (shared.clone(), peer_names.clone());
                executor
                    .spawn(async move {
                        let _counted = ConnectionCount::new(&shared, |s| &s.open_peer_connections);
                        peer_connections::receive_messages(
                            stream,
                            &peer_names,
                            shared.inputs.clone(),
                        )
                        .await;
                    })
                    .detach();
            }
            Ok(_) => log::error!("peer connection refused: too many connections"),
            Err(e) => {
                log::error!("cannot accept a peer connection: error={e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}
