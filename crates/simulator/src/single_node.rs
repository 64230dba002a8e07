//! One controller alone with a door, over the stand-ins of the state service and the
//! cloud, on simulated time.

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

const STATE_TIME: Micros = 4 * MILLISECOND;
pub const WALL: Micros = 1_700_000_000 * SECOND;

/// A request with the token for everything.
pub fn ask(method: &str, target: &str, body: &Value) -> ApiRequest {
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

/// What happens at a time.
#[derive(Debug)]
pub enum Ev {
    Input(Input),
    Ask(RequestId, ApiRequest),
    WatchEnds(u64),
}

/// A controller, its stand-ins and what it has answered.
#[derive(Debug)]
pub struct SingleNode {
    pub now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Ev>,
    pub controller: Controller,
    pub state: SimulatedStore,
    cloud: Cloud,
    watches: Watches<CallId>,
    /// Calls that the state service was asked.
    pub calls: u64,
    /// Time spent in the controller.
    pub busy: Duration,
    /// Answers, of the users' protocol as well.
    pub answers: Vec<(RequestId, ApiResponse)>,
    /// Lines of watches that went out.
    pub chunks: u64,
}

impl SingleNode {
    pub fn new(config: Config, rules: ApiServerConfig, state: SimulatedStore) -> SingleNode {
        SingleNode {
            now: SECOND,
            order: 0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            controller: Controller::new(Node::new(config), Some(rules)),
            state: state.paged(PageLimit::FULL),
            cloud: Cloud::new(vec![machine(8.0)], 0, 0),
            watches: Watches::default(),
            calls: 0,
            busy: Duration::ZERO,
            answers: Vec::new(),
            chunks: 0,
        }
    }

    pub fn at(&mut self, at: Micros, ev: Ev) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.what.insert(self.order, ev);
    }

    /// Plays until then, with a tick every 50 ms.
    pub fn until(&mut self, end: Micros) {
        let mut tick = self.now;
        while tick < end {
            self.at(tick, Ev::Input(Input::Tick));
            tick += 50 * MILLISECOND;
        }
        while let Some(Reverse((at, order))) = self.events.peek().copied() {
            if at >= end {
                break;
            }
            self.events.pop();
            self.now = at;
            let Some(ev) = self.what.remove(&order) else {
                continue;
            };
            let now = Timestamp {
                monotonic: 1_000 * SECOND + at,
                wall: WALL + at,
            };
            let begun = Instant::now();
            let outs = match ev {
                Ev::Input(input) => self.controller.handle(now, input),
                Ev::Ask(id, ask) => self.controller.handle_request(now, id, ask),
                Ev::WatchEnds(watch) => {
                    if let Some((id, changes)) = self.watches.end(watch, &self.state) {
                        let reply = Ok(StoreResponse::WatchBatch(changes));
                        self.at(at + STATE_TIME / 2, Ev::Input(Input::Store { id, reply }));
                    }
                    continue;
                }
            };
            self.busy += begun.elapsed();
            for out in outs {
                self.carry(out);
            }
        }
        self.now = end;
    }

    fn carry(&mut self, out: ControllerOutput) {
        match out {
            ControllerOutput::Node(Output::Store { id, call, .. }) => {
                self.calls += 1;
                let at = self.now + STATE_TIME;
                match self.state.call(&call, self.now) {
                    Some(reply) => self.at(
                        at,
                        Ev::Input(Input::Store {
                            id,
                            reply: Ok(reply),
                        }),
                    ),
                    None => {
                        if let Some((watch, time)) = self.watches.open(id, &call) {
                            self.at(self.now + time + STATE_TIME / 2, Ev::WatchEnds(watch));
                        }
                    }
                }
                for (id, changes) in self.watches.changed(&self.state, |_| true) {
                    let reply = Ok(StoreResponse::WatchBatch(changes));
                    self.at(at, Ev::Input(Input::Store { id, reply }));
                }
            }
            ControllerOutput::Node(Output::Cloud { id, call, .. }) => {
                let (reply, _, _) = self.cloud.call(&call, self.now, |_| None);
                let at = self.now + 10 * MILLISECOND;
                self.at(
                    at,
                    Ev::Input(Input::Cloud {
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

    /// Asks now, and plays for a second. None if there is no answer: a watch is open.
    pub fn asked(&mut self, ask: ApiRequest) -> Option<ApiResponse> {
        let id = RequestId(u64::MAX / 2 + self.order);
        self.at(self.now, Ev::Ask(id, ask));
        self.until(self.now + SECOND);
        let found = self.answers.iter().position(|(of, _)| *of == id)?;
        Some(self.answers.swap_remove(found).1)
    }
}
