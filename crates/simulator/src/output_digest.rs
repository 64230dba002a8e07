//! A digest of every output of the nodes of a run, in order.
//!
//! Two versions of the controller that behave the same produce equal digests for equal
//! scenarios. Each output is hashed in its wire encoding, never in its `Debug` form, so
//! renaming a Rust type or field does not change the digest.

use dillcleat_controller::{JobEvent, Micros, Output};
use dillcleat_kube::ControllerOutput;
use dillcleat_peer_protocol::Message;
use dillcleat_wire::HttpRequest;
use sha2::{Digest, Sha256};

/// Tag that is hashed before each output, so that kinds of output cannot be confused.
#[repr(u8)]
enum OutputTag {
    Answer = 1,
    StoreCall,
    CloudCall,
    Commands,
    PeerMessage,
    JobEnded,
    TaskFailed,
    ApiResponse,
    WatchOpened,
    WatchEvent,
    WatchClosed,
}

/// The incremental digest of one run.
#[derive(Debug, Default)]
pub struct OutputDigest {
    digest: Sha256,
}

impl OutputDigest {
    /// Adds one output of a node and the simulated time at which it was produced.
    pub fn record(&mut self, now: Micros, node: usize, output: &ControllerOutput) {
        self.number(now);
        self.number(node as u64);
        match output {
            ControllerOutput::Node(output) => self.record_node_output(output),
            ControllerOutput::Response { id, response } => {
                self.answer(
                    OutputTag::ApiResponse,
                    id.0,
                    response.status,
                    &response.body,
                );
                self.number(u64::from(response.retry_after.unwrap_or(0)));
            }
            ControllerOutput::WatchStarted { id } => self.tag(OutputTag::WatchOpened, id.0),
            ControllerOutput::WatchEvent { id, bytes } => {
                self.tag(OutputTag::WatchEvent, id.0);
                self.bytes(bytes);
            }
            ControllerOutput::WatchEnded { id } => self.tag(OutputTag::WatchClosed, id.0),
        }
    }

    /// The digest of all recorded outputs.
    pub fn finish(self) -> [u8; 32] {
        self.digest.finalize().into()
    }

    fn record_node_output(&mut self, output: &Output) {
        match output {
            Output::Answer { id, answer } => {
                self.answer(OutputTag::Answer, id.0, answer.status, &answer.body);
                self.number(u64::from(answer.retry_after.unwrap_or(0)));
            }
            Output::Store { id, call, timeout } => {
                self.tag(OutputTag::StoreCall, id.0);
                self.request(&call.to_http());
                self.number(*timeout);
            }
            Output::Cloud {
                id,
                call,
                timeout,
                within,
            } => {
                self.tag(OutputTag::CloudCall, id.0);
                self.request(&call.to_http());
                self.number(*timeout);
                self.number(*within);
            }
            Output::Commands {
                id,
                addr,
                commands,
                timeout,
            } => {
                self.tag(OutputTag::Commands, id.0);
                self.bytes(addr.as_bytes());
                self.bytes(&dillcleat_wire::encode(commands));
                self.number(*timeout);
            }
            Output::Peer { message } => {
                self.tag(OutputTag::PeerMessage, 0);
                self.bytes(&canonical(message).encode());
            }
            Output::JobEvent(JobEvent::Ended { job, state }) => {
                self.tag(OutputTag::JobEnded, 0);
                self.bytes(job.as_bytes());
                self.bytes(&dillcleat_wire::encode(state));
            }
            Output::JobEvent(JobEvent::TaskFailed { job, task, attempt }) => {
                self.tag(OutputTag::TaskFailed, 0);
                self.bytes(job.as_bytes());
                self.number(u64::from(*task));
                self.number(*attempt);
            }
        }
    }

    fn tag(&mut self, tag: OutputTag, id: u64) {
        self.digest.update([tag as u8]);
        self.number(id);
    }

    fn answer(&mut self, tag: OutputTag, id: u64, status: u16, body: &[u8]) {
        self.tag(tag, id);
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

/// A copy of the message with its unordered parts sorted: the classes of estimates come
/// from a hash map, whose iteration order differs between runs.
fn canonical(message: &Message) -> Message {
    let mut message = message.clone();
    if let Message::Estimates(estimates) = &mut message {
        estimates.classes.sort_by(|a, b| a.class.cmp(&b.class));
    }
    message
}
