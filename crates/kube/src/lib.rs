//! Kubernetes-shaped clients of dillcleat.
//!
//! A [`Controller`] is a [`Node`], with a [`Door`] beside it where the operators want
//! one, as a state machine without I/O: an ordinary Kubernetes client's requests go in, answers, lines of watches and
//! calls of the state service come out. docs/kubernetes.md says what is served.

pub mod cache;
pub mod door;
pub mod fault;
pub mod fields;
mod keeper;
pub mod names;
mod patch;
pub mod quantity;
pub mod record;
pub mod select;
pub mod settings;
mod table;
mod target;
pub mod translate;
mod view;
mod watches;
pub mod yaml;

pub use door::Door;
pub use names::Key;
pub use settings::{Rules, Settings};

use dillcleat_controller::{Input, Node, Output, RequestId, Timestamp};
use std::rc::Rc;

/// A client's request.
#[derive(Debug, Clone, Default)]
pub struct Ask {
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
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which it is worth asking again.
    pub retry_after: Option<u32>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// What the node wants; calls of the door are among it.
    Core(Output),
    Reply {
        id: RequestId,
        reply: Reply,
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
    pub door: Option<Door>,
}

impl Controller {
    /// Without rules for it there is no door: no call and no memory is spent on it.
    pub fn new(node: Node, rules: Option<Rules>) -> Controller {
        Controller {
            node,
            door: rules.map(Door::new),
        }
    }

    fn door(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Out>,
        act: impl FnOnce(&mut Door, &mut door::Ctx),
    ) {
        let mut ctx = door::Ctx {
            now,
            node: &mut self.node,
            out,
        };
        if let Some(door) = &mut self.door {
            act(door, &mut ctx);
        }
    }

    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<Out> {
        if self.door.is_none() {
            let outputs = self.node.handle(now, input).into_iter();
            return outputs.map(Out::Core).collect();
        }
        let mut out = Vec::new();
        match input {
            Input::Store { id, reply } if Door::owns(id) => {
                self.door(now, &mut out, |door, ctx| door.answered(ctx, id, reply));
            }
            input => {
                let tick = matches!(input, Input::Tick);
                for output in self.node.handle(now, input) {
                    match output {
                        Output::JobEvent(told) => {
                            if let Some(door) = &mut self.door {
                                door.told(told);
                            }
                        }
                        other => out.push(Out::Core(other)),
                    }
                }
                if tick {
                    self.door(now, &mut out, |door, ctx| door.tick(ctx));
                }
            }
        }
        out
    }

    /// A client's request.
    pub fn ask(&mut self, now: Timestamp, id: RequestId, ask: Ask) -> Vec<Out> {
        let mut out = Vec::new();
        self.door(now, &mut out, |door, ctx| door.ask(ctx, id, ask));
        out
    }

    /// The client of a watch has gone, or does not keep up.
    pub fn gone(&mut self, id: RequestId) {
        if let Some(door) = &mut self.door {
            door.gone(id);
        }
    }
}
