//! Kubernetes-shaped clients of dillcleat.
//!
//! A [`Controller`] is a [`Node`], with a [`ApiServer`] beside it where the operators want
//! one, as a state machine without I/O: an ordinary Kubernetes client's requests go in, answers, lines of watches and
//! calls of the store come out. docs/kubernetes.md says what is served.

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
pub use settings::{Rules, Settings};

use dillcleat_controller::{Input, Node, Output, RequestId, Timestamp};
use std::rc::Rc;

/// A client's request.
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

/// An answer, in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which it is worth asking again.
    pub retry_after: Option<u32>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// What the node wants; calls of the API server are among it.
    Core(Output),
    Reply {
        id: RequestId,
        reply: ApiResponse,
    },
    /// A watch is open: its lines follow.
    Stream {
        id: RequestId,
    },
    Chunk {
        id: RequestId,
        bytes: Rc<[u8]>,
    },
    /// A watch is over.
    End {
        id: RequestId,
    },
}

/// A node, and what Kubernetes-shaped clients talk to if they may.
#[derive(Debug)]
pub struct Controller {
    pub node: Node,
    pub api_server: Option<ApiServer>,
}

impl Controller {
    /// Without rules for it there is no API server: no call and no memory is spent on it.
    pub fn new(node: Node, rules: Option<Rules>) -> Controller {
        Controller {
            node,
            api_server: rules.map(ApiServer::new),
        }
    }

    fn with_api_server(
        &mut self,
        now: Timestamp,
        out: &mut Vec<ControllerOutput>,
        act: impl FnOnce(&mut ApiServer, &mut api_server::Ctx),
    ) {
        let mut ctx = api_server::Ctx {
            now,
            node: &mut self.node,
            out,
        };
        if let Some(api_server) = &mut self.api_server {
            act(api_server, &mut ctx);
        }
    }

    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<ControllerOutput> {
        if self.api_server.is_none() {
            let outputs = self.node.handle(now, input).into_iter();
            return outputs.map(ControllerOutput::Core).collect();
        }
        let mut out = Vec::new();
        match input {
            Input::Store { id, reply } if ApiServer::owns(id) => {
                self.with_api_server(now, &mut out, |api_server, ctx| {
                    api_server.answered(ctx, id, reply)
                });
            }
            input => {
                let tick = matches!(input, Input::Tick);
                for output in self.node.handle(now, input) {
                    match output {
                        Output::JobEvent(told) => {
                            if let Some(api_server) = &mut self.api_server {
                                api_server.told(told);
                            }
                        }
                        other => out.push(ControllerOutput::Core(other)),
                    }
                }
                if tick {
                    self.with_api_server(now, &mut out, |api_server, ctx| api_server.tick(ctx));
                }
            }
        }
        out
    }

    /// A client's request.
    pub fn ask(&mut self, now: Timestamp, id: RequestId, ask: ApiRequest) -> Vec<ControllerOutput> {
        let mut out = Vec::new();
        self.with_api_server(now, &mut out, |api_server, ctx| {
            api_server.ask(ctx, id, ask)
        });
        out
    }

    /// The client of a watch has gone, or does not keep up.
    pub fn gone(&mut self, id: RequestId) {
        if let Some(api_server) = &mut self.api_server {
            api_server.gone(id);
        }
    }
}
