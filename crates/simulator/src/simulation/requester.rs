//! The senders of requests to the nodes.

use crate::objects;
use dillcleat_controller::Micros;

/// The sender of a request, with what is needed to process the answer.
#[derive(Debug, Clone)]
pub(super) enum Requester {
    Worker {
        machine: String,
        incarnation: u64,
        sequence: u64,
        sent_at: Micros,
    },
    /// The sender of a duplicate heartbeat, which ignores the answer.
    ReplyDiscarded,
    Submission {
        job: usize,
    },
    Poll {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    /// A poll in addition to the user's regular requests.
    ExtraPoll {
        job: usize,
    },
    /// A repeated submission in addition to the user's regular requests.
    ExtraSubmission {
        job: usize,
    },
    /// A cancellation in addition to the user's regular requests.
    ExtraCancel {
        job: usize,
    },
    /// A submission that must be rejected with the expected status.
    InvalidSubmission {
        id: String,
        expected_status: u16,
    },
    UnknownJobPoll {
        id: String,
    },
    ApiClient {
        job: usize,
        operation: objects::JobRequest,
    },
    ApiWatch,
}

impl Requester {
    /// The text that enters the digest of answers. It does not follow the names in this
    /// type, so that renaming them leaves the digests as they are.
    pub fn digest_text(&self) -> String {
        match self {
            Requester::Worker {
                machine,
                incarnation,
                sequence,
                sent_at,
            } => format!(
                "Worker {{ machine: {machine:?}, session: {incarnation}, seq: {sequence}, \
                 sent: {sent_at} }}"
            ),
            Requester::ReplyDiscarded => "Nobody".into(),
            Requester::Submission { job } => format!("Submission {{ job: {job} }}"),
            Requester::Poll { job } => format!("Poll {{ job: {job} }}"),
            Requester::Cancel { job } => format!("Cancel {{ job: {job} }}"),
            Requester::ExtraPoll { job } => format!("Look {{ job: {job} }}"),
            Requester::ExtraSubmission { job } => format!("Again {{ job: {job} }}"),
            Requester::ExtraCancel { job } => format!("CallOff {{ job: {job} }}"),
            Requester::InvalidSubmission {
                id,
                expected_status,
            } => format!("Refused {{ id: {id:?}, status: {expected_status} }}"),
            Requester::UnknownJobPoll { id } => format!("Stranger {{ id: {id:?} }}"),
            Requester::ApiClient { job, operation } => {
                format!("Object {{ job: {job}, what: {operation:?} }}")
            }
            Requester::ApiWatch => "Watcher".into(),
        }
    }
}
