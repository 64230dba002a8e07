//! A single controller with its Kubernetes API, on simulated time against the simulated
//! store and cloud.

use crate::cloud::Cloud;
use crate::objects::TOKEN;
use crate::processes::machine;
use crate::store::{PageLimit, SimulatedStore, Watches};
use dillcleat_controller::{CallId, Config, Input, MILLISECOND, Micros, Node, Output, Timestamp};
use dillcleat_controller::{RequestId, SECOND};
use dillcleat_kube::{ApiRequest, ApiResponse, ApiServerConfig, Controller, ControllerOutput};
use dillcleat_wire::store::StoreResponse;
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// Round trip of a call to the store.
const STORE_ROUND_TRIP: Micros = 4 * MILLISECOND;
/// Wall clock time at simulated time 0.
pub const WALL_CLOCK_START: Micros = 1_700_000_000 * SECOND;

/// A request to the Kubernetes API with the token that permits everything.
pub fn api_request(method: &str, target: &str, body: &Value) -> ApiRequest {
    let patch = "application/merge-patch+json".to_string();
    ApiRequest {
        method: method.into(),
        target: target.into(),
        bearer: Some(TOKEN.into()),
        content_type: (method == "PATCH").then_some(patch),
        body: match body {
            Value::Null => Vec::new(),
            body => body.to_string().into_bytes(),
        },
        accept: None,
    }
}

/// A scheduled event.
#[derive(Debug)]
pub enum Event {
    Input(Input),
    ApiRequest(RequestId, ApiRequest),
    WatchTimeout(u64),
}

/// A controller, its simulated environment and its answers.
#[derive(Debug)]
pub struct SingleNode {
    pub now: Micros,
    /// Number of the event scheduled last.
    last_event: u64,
    /// Time and number of each scheduled event.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number.
    scheduled: BTreeMap<u64, Event>,
    pub controller: Controller,
    pub store: SimulatedStore,
    cloud: Cloud,
    watches: Watches<CallId>,
    /// Number of calls to the store.
    pub calls: u64,
    /// Processing time of the controller.
    pub processing_time: Duration,
    /// Answers of the native and the Kubernetes API.
    pub answers: Vec<(RequestId, ApiResponse)>,
    /// Number of watch chunks sent to clients.
    pub chunks: u64,
}

impl SingleNode {
    pub fn new(config: Config, api_server: ApiServerConfig, store: SimulatedStore) -> SingleNode {
        SingleNode {
            now: SECOND,
            last_event: 0,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            controller: Controller::new(Node::new(config), Some(api_server)),
            store: store.with_page_limit(PageLimit::FULL),
            cloud: Cloud::new(vec![machine(8.0)], 0, 0),
            watches: Watches::default(),
            calls: 0,
            processing_time: Duration::ZERO,
            answers: Vec::new(),
            chunks: 0,
        }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Micros, ev: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.scheduled.insert(self.last_event, ev);
    }

    /// Runs until the simulated time `end`, with a tick every 50 ms.
    pub fn run_until(&mut self, end: Micros) {
        let mut tick = self.now;
        while tick < end {
            self.schedule(tick, Event::Input(Input::Tick));
            tick += 50 * MILLISECOND;
        }
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at >= end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(ev) = self.scheduled.remove(&number) else {
                continue;
            };
            let now = Timestamp {
                monotonic: 1_000 * SECOND + at,
                wall: WALL_CLOCK_START + at,
            };
            let started = Instant::now();
            let outputs = match ev {
                Event::Input(input) => self.controller.handle(now, input),
                Event::ApiRequest(id, request) => self.controller.handle_request(now, id, request),
                Event::WatchTimeout(watch) => {
                    if let Some((id, changes)) = self.watches.close(watch, &self.store) {
                        let reply = Ok(StoreResponse::WatchBatch(changes));
                        self.schedule(
                            at + STORE_ROUND_TRIP / 2,
                            Event::Input(Input::Store { id, reply }),
                        );
                    }
                    continue;
                }
            };
            self.processing_time += started.elapsed();
            for output in outputs {
                self.deliver(output);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, output: ControllerOutput) {
        match output {
            ControllerOutput::Node(Output::Store { id, call, .. }) => {
                self.calls += 1;
                let at = self.now + STORE_ROUND_TRIP;
                match self.store.call(&call, self.now) {
                    Some(reply) => self.schedule(
                        at,
                        Event::Input(Input::Store {
                            id,
                            reply: Ok(reply),
                        }),
                    ),
                    None => {
                        if let Some((watch, time)) = self.watches.open(id, &call) {
                            self.schedule(
                                self.now + time + STORE_ROUND_TRIP / 2,
                                Event::WatchTimeout(watch),
                            );
                        }
                    }
                }
                for (id, changes) in self.watches.take_changed(&self.store, |_| true) {
                    let reply = Ok(StoreResponse::WatchBatch(changes));
                    self.schedule(at, Event::Input(Input::Store { id, reply }));
                }
            }
            ControllerOutput::Node(Output::Cloud { id, call, .. }) => {
                let (reply, _, _) = self.cloud.call(&call, self.now, |_| None);
                let at = self.now + 10 * MILLISECOND;
                self.schedule(
                    at,
                    Event::Input(Input::Cloud {
                        id,
                        reply: Ok(reply),
                    }),
                );
            }
            ControllerOutput::Node(Output::Answer { id, answer }) => {
                let reply = ApiResponse {
                    status: answer.status,
                    body: answer.body,
                    retry_after: answer.retry_after,
                };
                self.answers.push((id, reply));
            }
            ControllerOutput::Response { id, response } => self.answers.push((id, response)),
            ControllerOutput::WatchEvent { .. } => self.chunks += 1,
            ControllerOutput::Node(_)
            | ControllerOutput::WatchStarted { .. }
            | ControllerOutput::WatchEnded { .. } => {}
        }
    }

    /// Sends a request and runs for one second. Returns None if it is still unanswered, as
    /// an open watch is.
    pub fn request(&mut self, request: ApiRequest) -> Option<ApiResponse> {
        let id = RequestId(u64::MAX / 2 + self.last_event);
        self.schedule(self.now, Event::ApiRequest(id, request));
        self.run_until(self.now + SECOND);
        let found = self
            .answers
            .iter()
            .position(|(answered, _)| *answered == id)?;
        Some(self.answers.swap_remove(found).1)
    }
}
