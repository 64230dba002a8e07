//! The controller process: sockets around a [`Node`], on one thread.

use crate::connections::{Admitted, ClientConnections, Peer};
use crate::door::{self, Incoming, Line};
use crate::error::CliError;
use crate::http::{Bad, Connection, Limits, Pool, Watchdog};
use crate::mesh;
use dillcleat_controller::{
    Answer, CallError, CallId, Config, Input, Micros, Node, Output, RequestId, Timestamp, seconds,
};
use dillcleat_kube::{Controller, Out, Rules};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::CloudRequest;
use dillcleat_wire::platform::PlatformSettings;
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
/// Inputs of one kind that may wait for the core.
const MAX_INPUTS: usize = 4096;
/// Inputs that the core takes before others get their turn: answers leave the
/// process only then.
const TURN: u32 = 8;
/// Messages that may wait for a sibling.
const MAX_MESSAGES: usize = 256;
/// Frames that a sibling's connection may have open.
const MAX_SIBLING_CONNECTIONS: u32 = 16;

pub(crate) struct Shared {
    inputs: Sender<Input>,
    /// Workers' reports wait apart: after a pause hundreds come at once, and
    /// users' requests and the lease's renewal do not stand in line behind.
    reports: Sender<Input>,
    answers: RefCell<HashMap<RequestId, Sender<Answer>>>,
    pub next_request: Cell<u64>,
    /// Connections of users, workers and Kubernetes-shaped clients.
    pub clients: Rc<ClientConnections>,
    /// Those of Kubernetes-shaped clients alone.
    pub door_clients: Cell<u32>,
    /// What Kubernetes-shaped clients ask, and who waits for lines.
    pub asks: Sender<Incoming>,
    pub lines: RefCell<HashMap<RequestId, Sender<Line>>>,
    siblings_open: Cell<u32>,
    pub watchdog: Watchdog,
    state: Pool,
    cloud: Pool,
    workers: Pool,
    state_addr: String,
    cloud_addr: String,
}

pub(crate) type Executor = Rc<LocalExecutor<'static>>;

pub fn run(
    platform: &PlatformSettings,
    config: Config,
    rules: Option<Rules>,
) -> Result<(), CliError> {
    let ex: Executor = Rc::new(LocalExecutor::new());
    smol::block_on(ex.clone().run(serve(ex, platform, config, rules)))
}

/// What doesn't hold with settings under which `cancel_s` leaves no time beside the
/// lease; None with all others.
pub fn short_of_time(config: &Config) -> Option<String> {
    let short = seconds(config.cancel_shortfall()?);
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
    ex: Executor,
    platform: &PlatformSettings,
    config: Config,
    rules: Option<Rules>,
) -> Result<(), CliError> {
    let clients = bind(&platform.client_listen).await?;
    let siblings = bind(&platform.mesh_addr).await?;
    let (inputs, core_inputs) = smol::channel::bounded(MAX_INPUTS);
    let (reports, core_reports) = smol::channel::bounded(MAX_INPUTS);
    // The room of such a queue is taken at once: nobody asks where there is no door.
    let may_ask = if rules.is_some() { MAX_INPUTS } else { 1 };
    let (asks, core_asks) = smol::channel::bounded(may_ask);
    let max = platform.cluster.quota.max_connections;
    let shared = Rc::new(Shared {
        inputs,
        reports,
        answers: RefCell::default(),
        next_request: Cell::new(0),
        // The rest is for the state service, the cloud, workers and siblings.
        clients: Rc::new(ClientConnections::new((max - (max / 4).max(24)) as usize)),
        door_clients: Cell::new(0),
        asks,
        lines: RefCell::default(),
        siblings_open: Cell::new(0),
        watchdog: Watchdog::default(),
        state: Pool::new(8, 8),
        cloud: Pool::new(2, 2),
        // A fleet may have more machines than there are sockets: with one
        // kept to each, a controller would have none left for its users.
        // Those kept count against the orders that may be under way.
        workers: Pool::bounded(1, (max / 16).max(4) as usize, config.max_commands_in_flight),
        state_addr: platform.endpoints.state.clone(),
        cloud_addr: platform.endpoints.cloud.clone(),
    });
    let mut speakers = Vec::new();
    for s in &platform.peers {
        let (tx, rx) = smol::channel::bounded(MAX_MESSAGES);
        speakers.push(tx);
        ex.spawn(mesh::speak(config.member.clone(), s.peer_addr.clone(), rx))
            .detach();
    }
    let names: Rc<[String]> = config.peers.clone().into();
    ex.spawn(accept_clients(ex.clone(), shared.clone(), clients))
        .detach();
    ex.spawn(accept_siblings(ex.clone(), shared.clone(), siblings, names))
        .detach();
    if let Some(rules) = &rules {
        door::open(&ex, &shared, &rules.settings).await?;
    }
    ex.spawn(tick(shared.clone())).detach();
    log::info!("{} serves on {}", config.member, platform.client_listen);
    if let Some(warning) = short_of_time(&config) {
        log::error!("{warning}");
    }
    let controller = Controller::new(Node::new(config), rules);
    let inputs = [core_inputs, core_reports];
    core(ex, shared, controller, inputs, core_asks, speakers).await;
    Ok(())
}

async fn tick(shared: Rc<Shared>) {
    let mut n = 0u32;
    loop {
        // A full queue holds later ticks back, not the process.
        if shared.inputs.send(Input::Tick).await.is_err() {
            return;
        }
        n = n.wrapping_add(1);
        if n.is_multiple_of(20) {
            shared.watchdog.sweep();
        }
        if n.is_multiple_of(100) {
            shared.workers.sweep();
            shared.state.sweep();
            shared.cloud.sweep();
        }
        Timer::after(TICK).await;
    }
}

async fn core(
    ex: Executor,
    shared: Rc<Shared>,
    mut controller: Controller,
    [inputs, reports]: [Receiver<Input>; 2],
    asks: Receiver<Incoming>,
    speakers: Vec<Sender<Message>>,
) {
    let start = Instant::now();
    let mut turn = 0;
    loop {
        let next = match inputs.try_recv().or_else(|_| reports.try_recv()) {
            Ok(input) => Ok(Incoming::Core(input)),
            Err(_) => {
                let core = async { inputs.recv().or(reports.recv()).await.map(Incoming::Core) };
                core.or(asks.recv()).await
            }
        };
        let Ok(input) = next else {
            return;
        };
        turn += 1;
        if turn >= TURN {
            turn = 0;
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
        let outs = match input {
            Incoming::Core(input) => controller.handle(now, input),
            Incoming::Ask(id, ask) => controller.ask(now, id, ask),
            Incoming::Gone(id) => {
                controller.gone(id);
                continue;
            }
        };
        for out in outs {
            match out {
                Out::Core(output) => carry_out(&ex, &shared, &speakers, begun, output),
                other => {
                    if let Some(slow) = door::carry_out(&shared, other) {
                        controller.gone(slow);
                    }
                }
            }
        }
    }
}

/// Does what the core wants done, which it decided when the turn `begun`.
fn carry_out(
    ex: &Executor,
    shared: &Rc<Shared>,
    speakers: &[Sender<Message>],
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
            ex.spawn(state_call(shared.clone(), id, call, timeout))
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
            ex.spawn(cloud_call(shared.clone(), id, call, limits))
                .detach();
        }
        Output::Commands {
            id,
            addr,
            commands: orders,
            timeout,
        } => {
            ex.spawn(orders_call(shared.clone(), id, addr, orders, timeout))
                .detach();
        }
        Output::JobEvent(_) => {}
        Output::Peer { message } => {
            for s in speakers {
                // A sibling that does not keep up misses hints only.
                let _ = s.try_send(message.clone());
            }
        }
    }
}

async fn state_call(shared: Rc<Shared>, id: CallId, call: StoreRequest, timeout: Micros) {
    let (method, target, body) = call.request();
    let time = Duration::from_micros(timeout);
    let reply = shared
        .state
        .call(&shared.state_addr, method, &target, &body, time)
        .await
        .and_then(|(status, body)| {
            call.reply(status, &body).map_err(|e| {
                log::error!("the state service answers {method} {target} with nonsense: {e}");
                CallError::NoAnswer
            })
        });
    log::debug!("state {method} {target}: {}", outcome(&reply));
    let _ = shared.inputs.send(Input::Store { id, reply }).await;
}

fn outcome<T>(reply: &Result<T, CallError>) -> String {
    match reply {
        Ok(_) => "answered".into(),
        Err(e) => e.to_string(),
    }
}

async fn cloud_call(shared: Rc<Shared>, id: CallId, call: CloudRequest, limits: Limits) {
    let (method, target, body) = call.request();
    let reply = shared
        .cloud
        .call(&shared.cloud_addr, method, &target, &body, limits)
        .await
        .and_then(|(status, body)| {
            call.reply(status, &body).map_err(|e| {
                log::error!("the cloud answers {method} {target} with nonsense: {e}");
                CallError::NoAnswer
            })
        });
    log::debug!("cloud {method} {target}: {}", outcome(&reply));
    let _ = shared.inputs.send(Input::Cloud { id, reply }).await;
}

async fn orders_call(
    shared: Rc<Shared>,
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
    log::debug!("orders to {addr}: {}", outcome(&reply));
    let _ = shared.inputs.send(Input::Commands { id, reply }).await;
}

/// Counts a connection for as long as it lives.
pub(crate) struct Counted<F: Fn(&Shared) -> &Cell<u32>>(Rc<Shared>, F);

impl<F: Fn(&Shared) -> &Cell<u32>> Counted<F> {
    pub fn new(shared: &Rc<Shared>, of: F) -> Self {
        of(shared).set(of(shared).get() + 1);
        Counted(shared.clone(), of)
    }
}

impl<F: Fn(&Shared) -> &Cell<u32>> Drop for Counted<F> {
    fn drop(&mut self) {
        let cell = (self.1)(&self.0);
        cell.set(cell.get() - 1);
    }
}

async fn accept_clients(ex: Executor, shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match shared.clients.admit().await {
                Some(admitted) => ex.spawn(client(shared.clone(), stream, admitted)).detach(),
                // Beyond the bound the connection is closed at once: the load
                // balancer and the workers go to another node.
                None => log::debug!("too many connections"),
            },
            Err(e) => {
                log::error!("cannot accept a connection: {e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn client(shared: Rc<Shared>, stream: TcpStream, admitted: Admitted) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream, &shared.watchdog);
    loop {
        let request = match admitted.next_request(&mut connection).await {
            Ok(r) => r,
            Err(Bad::Gone) => return,
            Err(bad) => {
                let answer = match bad {
                    Bad::TooLarge => Answer::refusal(413, "the body is too large"),
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
            HEARTBEAT_PATH => (Peer::Worker, &shared.reports),
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

async fn accept_siblings(
    ex: Executor,
    shared: Rc<Shared>,
    listener: TcpListener,
    names: Rc<[String]>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.siblings_open.get() < MAX_SIBLING_CONNECTIONS => {
                let (shared, names) = (shared.clone(), names.clone());
                ex.spawn(async move {
                    let _counted = Counted::new(&shared, |s| &s.siblings_open);
                    mesh::listen(stream, &names, shared.inputs.clone()).await;
                })
                .detach();
            }
            Ok(_) => log::error!("too many sibling connections"),
            Err(e) => {
                log::error!("cannot accept a sibling: {e}");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}
