//! An API server for Kubernetes clients.
//!
//! A [`Controller`] is a [`Node`] with an optional [`ApiServer`]. It is a state machine
//! without I/O: its inputs are those of the node and the requests of Kubernetes clients;
//! its outputs are those of the node, responses, watch events and requests to the store.
//! docs/kubernetes.md lists the supported API.

pub mod api_server;
pub mod fields;
pub mod names;
mod patch;
pub mod quantity;
mod reconciler;
pub mod record;
pub mod selector;
pub mod settings;
pub mod status_error;
mod table;
mod target;
pub mod translate;
mod view;
pub mod watch_cache;
mod watches;
pub mod yaml;

pub use api_server::ApiServer;
pub use names::SigningKey;
pub use settings::{ApiServerConfig, Settings};

use dillcleat_controller::{Input, Node, Output, RequestId, Timestamp};
use std::rc::Rc;

/// The HTTP request of a Kubernetes client.
#[derive(Debug, Clone, Default)]
pub struct ApiRequest {
    pub method: String,
    pub target: String,
    pub accept: Option<String>,
    pub content_type: Option<String>,
    /// The token of the `Authorization` header.
    pub bearer: Option<String>,
    pub body: Vec<u8>,
}

/// The response to a Kubernetes client, in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which the client should retry.
    pub retry_after: Option<u32>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// An output of the node, or a store request of the API server.
    Node(Output),
    Response {
        id: RequestId,
        response: ApiResponse,
    },
    /// The response to a watch request starts; events follow.
    WatchStarted {
        id: RequestId,
    },
    WatchEvent {
        id: RequestId,
        bytes: Rc<[u8]>,
    },
    WatchEnded {
        id: RequestId,
    },
}

/// A node and its optional API server.
#[derive(Debug)]
pub struct Controller {
    pub node: Node,
    pub api_server: Option<ApiServer>,
}

impl Controller {
    /// Creates a controller; without `config` it has no API server.
    pub fn new(node: Node, config: Option<ApiServerConfig>) -> Controller {
        Controller {
            node,
            api_server: config.map(ApiServer::new),
        }
    }

    fn with_api_server(
        &mut self,
        now: Timestamp,
        out: &mut Vec<ControllerOutput>,
        operation: impl FnOnce(&mut ApiServer, &mut api_server::Context),
    ) {
        let mut ctx = api_server::Context {
            now,
            node: &mut self.node,
            out,
        };
        if let Some(api_server) = &mut self.api_server {
            operation(api_server, &mut ctx);
        }
    }

    /// Handles an input of the node or a store response of the API server. Job events go to
    /// the API server; a tick drives both.
    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<ControllerOutput> {
        if self.api_server.is_none() {
            let outputs = self.node.handle(now, input).into_iter();
            return outputs.map(ControllerOutput::Node).collect();
        }
        let mut out = Vec::new();
        match input {
            Input::Store { id, reply } if ApiServer::is_own_call(id) => {
                self.with_api_server(now, &mut out, |api_server, ctx| {
                    api_server.handle_store_response(ctx, id, reply)
                });
            }
            input => {
                let tick = matches!(input, Input::Tick);
                for output in self.node.handle(now, input) {
                    match output {
                        Output::JobEvent(event) => {
                            if let Some(api_server) = &mut self.api_server {
                                api_server.handle_job_event(event);
                            }
                        }
                        other => out.push(ControllerOutput::Node(other)),
                    }
                }
                if tick {
                    self.with_api_server(now, &mut out, |api_server, ctx| api_server.tick(ctx));
                }
            }
        }
        out
    }

    /// Handles the request of a Kubernetes client.
    pub fn handle_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: ApiRequest,
    ) -> Vec<ControllerOutput> {
        let mut out = Vec::new();
        self.with_api_server(now, &mut out, |api_server, ctx| {
            api_server.handle_request(ctx, id, request)
        });
        out
    }

    /// Closes the watch of a client that has disconnected or reads too slowly.
    pub fn close_watch(&mut self, id: RequestId) {
        if let Some(api_server) = &mut self.api_server {
            api_server.close_watch(id);
        }
    }
}
