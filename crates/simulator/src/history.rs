//! A digest over everything that the nodes of a run send, in order.
//!
//! Two versions of the sources that behave alike give equal digests for equal
//! scenarios. Each output is hashed in its wire form, never in a debug form, so
//! that renaming a Rust type or field does not change the digest.

use dillcleat_controller::{JobEvent, Micros, Output};
use dillcleat_kube::ControllerOutput;
use dillcleat_peer_protocol::Message;
use dillcleat_wire::HttpRequest;
use sha2::{Digest, Sha256};

/// Separates the kinds of output in the digest.
#[repr(u8)]
enum Kind {
    Answer = 1,
    State,
    Cloud,
    Orders,
    Mesh,
    Ended,
    Failed,
    ObjectReply,
    WatchOpened,
    WatchLines,
    WatchClosed,
}

/// The running digest of one run.
#[derive(Debug, Default)]
pub struct OutputHistory {
    digest: Sha256,
}

impl OutputHistory {
    /// Adds one output of a node, with the simulated time at which it was made.
    pub fn record(&mut self, now: Micros, node: usize, output: &ControllerOutput) {
        self.number(now);
        self.number(node as u64);
        match output {
            ControllerOutput::Node(output) => self.record_core(output),
            ControllerOutput::Response { id, response } => {
                self.answer(Kind::ObjectReply, id.0, response.status, &response.body);
                self.number(u64::from(response.retry_after.unwrap_or(0)));
            }
            ControllerOutput::WatchStarted { id } => self.kind(Kind::WatchOpened, id.0),
            ControllerOutput::WatchEvent { id, bytes } => {
                self.kind(Kind::WatchLines, id.0);
                self.bytes(bytes);
            }
            ControllerOutput::WatchEnded { id } => self.kind(Kind::WatchClosed, id.0),
        }
    }

    /// The digest of all that was recorded.
    pub fn finish(self) -> [u8; 32] {
        self.digest.finalize().into()
    }

    fn record_core(&mut self, output: &Output) {
        match output {
            Output::Answer { id, answer } => {
                self.answer(Kind::Answer, id.0, answer.status, &answer.body);
                self.number(u64::from(answer.retry_after.unwrap_or(0)));
            }
            Output::Store { id, call, timeout } => {
                self.kind(Kind::State, id.0);
                self.request(&call.to_http());
                self.number(*timeout);
            }
            Output::Cloud {
                id,
                call,
                timeout,
                within,
            } => {
                self.kind(Kind::Cloud, id.0);
                self.request(&call.to_http());
                self.number(*timeout);
                self.number(*within);
            }
            Output::Commands {
                id,
                addr,
                commands: orders,
                timeout,
            } => {
                self.kind(Kind::Orders, id.0);
                self.bytes(addr.as_bytes());
                self.bytes(&dillcleat_wire::encode(orders));
                self.number(*timeout);
            }
            Output::Peer { message } => {
                self.kind(Kind::Mesh, 0);
                self.bytes(&canonical(message).encode());
            }
            Output::JobEvent(JobEvent::Ended { job, state }) => {
                self.kind(Kind::Ended, 0);
                self.bytes(job.as_bytes());
                self.bytes(&dillcleat_wire::encode(state));
            }
            Output::JobEvent(JobEvent::TaskFailed { job, task, attempt }) => {
                self.kind(Kind::Failed, 0);
                self.bytes(job.as_bytes());
                self.number(u64::from(*task));
                self.number(*attempt);
            }
        }
    }

    fn kind(&mut self, kind: Kind, id: u64) {
        self.digest.update([kind as u8]);
        self.number(id);
    }

    fn answer(&mut self, kind: Kind, id: u64, status: u16, body: &[u8]) {
        self.kind(kind, id);
        self.number(u64::from(status));
        self.bytes(body);
    }

    fn request(&mut self, request: &HttpRequest) {
        self.bytes(request.method.as_bytes());
        self.bytes(request.target.as_bytes());
        self.bytes(&request.body);
    }

    fn number(&mut self, number: u64) {
        self.digest.update(number.to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.digest.update(bytes);
    }
}

/// The message with its unordered parts in a fixed order: the classes of estimates come
/// from a hash map, whose order differs from run to run.
fn canonical(message: &Message) -> Message {
    let mut message = message.clone();
    if let Message::Estimates(estimates) = &mut message {
        estimates.classes.sort_by(|a, b| a.class.cmp(&b.class));
    }
    message
}
