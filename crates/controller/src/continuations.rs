//! Who waits for a response from outside, with the state that is needed to continue.
//!
//! A request to the outside is stored together with a [`Continuation`] until its response
//! arrives; the enums in it are the steps of the state machines of [`admission`],
//! [`election`] and [`leader`].
//!
//! [`admission`]: crate::admission
//! [`election`]: crate::election
//! [`leader`]: crate::leader

use crate::cloud_queue::CloudRequestKind;
use crate::messages::{Answer, RequestId};
use crate::records::OpenJob;
use crate::time::Micros;
use dillcleat_wire::store::LeaseId;
use std::rc::Rc;

/// A user's request that can be answered once the state of its job is known.
#[derive(Debug, Clone)]
pub enum PendingRequest {
    /// Report the job's state: a poll, or a submission of a known job.
    Status(RequestId),
    /// A submission that must be rejected with this answer, unless the job is known
    /// already: then it is a repeated submission, and its state is reported.
    Reject {
        /// The request that waits for the answer.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Cancel the job. `received_at` is the monotonic time at which the request came in.
    Cancel {
        /// The request that waits for the answer.
        request: RequestId,
        /// When the request was received, on the monotonic clock.
        received_at: Micros,
    },
}

impl PendingRequest {
    /// The HTTP request that waits.
    pub fn request(&self) -> RequestId {
        match self {
            PendingRequest::Status(request)
            | PendingRequest::Reject { request, .. }
            | PendingRequest::Cancel { request, .. } => *request,
        }
    }
}

/// Which of a job's two records is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRecordKind {
    /// The job's description, present until its tasks are gone.
    Open,
    /// The job's state: done or cancelled, or open if it was written as such.
    State,
}

/// The steps of users' requests.
#[derive(Debug, Clone)]
pub enum AdmissionStep {
    /// Reads the open record of a job. Each request has a read of its own, which is sent
    /// after the request came in.
    ReadOpenRecord {
        /// The id of the job.
        id: String,
        /// The request that waits for the record.
        pending: PendingRequest,
    },
    /// Reads the state record of a job without an open record. Also for this request
    /// alone.
    ReadStateRecord {
        /// The id of the job.
        id: String,
        /// The request that waits for the record.
        pending: PendingRequest,
    },
    /// Reads a record of a job that a submission depends on.
    ReadDependency {
        /// The submission whose dependencies are checked.
        submission: u64,
        /// The id of the job that it depends on.
        dependency: String,
        /// Which record is read.
        record: JobRecordKind,
    },
    /// Compares the state records of open jobs with what this node knows.
    VerifyOpen {
        /// The ids of the jobs that are verified.
        jobs: Vec<String>,
    },
    /// Stores a submitted job. `received_at` is when its submission came in.
    Create {
        /// The request that waits for the answer.
        request: RequestId,
        /// The job that is admitted.
        job: Rc<OpenJob>,
        /// When the request was received, on the monotonic clock.
        received_at: Micros,
    },
    /// Stores the cancellation of a job. `received_at` is when its request came in.
    Cancel {
        /// The id of the job.
        id: String,
        /// The request that waits for the answer.
        request: RequestId,
        /// When the request was received, on the monotonic clock.
        received_at: Micros,
    },
}

/// The steps of the election.
#[derive(Debug, Clone)]
pub enum ElectionStep {
    /// Reads all shared keys.
    Read,
    /// Revokes a lease of an earlier process of this member.
    RevokeOwnLease,
    /// Grants the lease of a candidacy.
    GrantLease,
    /// Takes the lead with a granted lease.
    Claim {
        /// The lease.
        lease: LeaseId,
        /// The term.
        term: u64,
        /// When the lease was asked for, on the monotonic clock.
        lease_requested_at: Micros,
    },
    /// Renews the leader's lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Watches the shared keys.
    Watch,
    /// Revokes a lease that is no longer needed; its response decides nothing.
    Revoke,
}

/// The steps of a leader.
#[derive(Debug, Clone)]
pub enum LeaderStep {
    /// Reads a page of the machines' records.
    LoadMachines,
    /// Reads a page of the open and cancelled jobs.
    LoadQueue,
    /// Reads a page of the task records.
    LoadTasks,
    /// Watches the queue of jobs.
    Watch,
    /// Writes a batch of the write queue.
    WriteQueue,
    /// Reads a record that another writer may have changed.
    Reread {
        /// The key.
        key: String,
    },
    /// Reads the version of the record of the machine types.
    TypesVersion,
    /// Reads the state record of a job whose end may be stored.
    Ended {
        /// The id of the job.
        id: Rc<str>,
    },
    /// Reads the state record of a job that others depend on.
    Dependency {
        /// The id of the job.
        id: Rc<str>,
    },
    /// Sends commands to a worker.
    CommandsInFlight {
        /// The name of the machine.
        machine: String,
    },
    /// Sends a request to the cloud.
    Cloud(CloudRequestKind),
}

/// Who waits for a response, with the state that is needed to continue.
#[derive(Debug, Clone)]
pub enum Continuation {
    /// A request of a user.
    Admission(AdmissionStep),
    /// The election.
    Election(ElectionStep),
    /// The leader of this term; ignored if it no longer leads.
    Leader {
        /// The term.
        term: u64,
        /// What the leader goes on with.
        step: LeaderStep,
    },
    /// The response is ignored.
    Nobody,
}

impl Continuation {
    /// Whether the store holds the call until something changes, so that the time to its
    /// response says nothing of the store's latency.
    pub fn is_watch(&self) -> bool {
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
