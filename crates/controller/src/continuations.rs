//! Who waits for an answer from outside, with what is needed to go on.

use crate::cloud_queue::CloudRequestKind;
use crate::records::OpenJob;
use crate::{Answer, Micros, RequestId};
use dillcleat_wire::store::LeaseId;
use std::rc::Rc;

/// What to do once a job's record is known.
#[derive(Debug, Clone)]
pub enum PendingRequest {
    /// Tell its state.
    Tell(RequestId),
    /// A submission that cannot be taken, unless the job is known already.
    Refuse {
        request: RequestId,
        answer: Answer,
    },
    Cancel {
        request: RequestId,
        since: Micros,
    },
}

impl PendingRequest {
    pub fn request(&self) -> RequestId {
        match self {
            PendingRequest::Tell(request)
            | PendingRequest::Refuse { request, .. }
            | PendingRequest::Cancel { request, .. } => *request,
        }
    }
}

/// Of requests of users.
#[derive(Debug, Clone)]
pub enum AdmissionStep {
    /// Is it open? The answer is for this ask alone: it was sent after that came in.
    Lookup {
        id: String,
        ask: PendingRequest,
    },
    /// It is not open: has it ended? For this ask alone as well.
    Ended {
        id: String,
        ask: PendingRequest,
    },
    /// A job that a submission waits for: is it open, or has it ended?
    Name {
        naming: u64,
        name: String,
        mark: bool,
    },
    Check {
        jobs: Vec<String>,
    },
    Create {
        request: RequestId,
        job: Rc<OpenJob>,
        since: Micros,
    },
    Cancel {
        id: String,
        request: RequestId,
        since: Micros,
    },
}

/// Of the election and the lease.
#[derive(Debug, Clone)]
pub enum ElectionStep {
    Read,
    EndOwn,
    NewLease,
    /// With the lease, and when that was asked for.
    Take {
        lease: LeaseId,
        term: u64,
        since: Micros,
    },
    Extend {
        lease: LeaseId,
    },
    Watch,
    Drop,
}

/// Of a leader.
#[derive(Debug, Clone)]
pub enum LeaderStep {
    LoadMachines,
    LoadQueue,
    LoadTasks,
    Watch,
    WriteQueue,
    Reread {
        key: String,
    },
    /// The version of the record of the machine types.
    TypesVersion,
    Ended {
        id: Rc<str>,
    },
    /// The mark of a job that others wait for.
    Dependency {
        id: Rc<str>,
    },
    CommandsInFlight {
        machine: String,
    },
    Cloud(CloudRequestKind),
}

/// Who waits for an answer, with what is needed to go on.
#[derive(Debug, Clone)]
pub enum Continuation {
    Admission(AdmissionStep),
    Election(ElectionStep),
    Leader { term: u64, step: LeaderStep },
    Nobody,
}

impl Continuation {
    /// Whether the call is held until something changes.
    pub fn watches(&self) -> bool {
        matches!(
            self,
            Continuation::Election(ElectionStep::Watch)
                | Continuation::Leader {
                    step: LeaderStep::Watch,
                    ..
                }
        )
    }
}
