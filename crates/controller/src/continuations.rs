//! What a node does with the response to each request that it has sent.
//!
//! A [`Continuation`] is kept for each outgoing request until the response arrives. It
//! names the module that handles the response and the step of that module's state machine:
//! [`admission`], [`election`] or [`leader`].
//!
//! [`admission`]: crate::admission
//! [`election`]: crate::election
//! [`leader`]: crate::leader

use crate::admission::QueuedRequest;
use crate::cloud_queue::CloudRequestKind;
use crate::messages::{Answer, RequestId};
use crate::records::OpenJob;
use crate::time::Micros;
use dillcleat_wire::store::LeaseId;
use std::rc::Rc;

/// A user's request that has not been answered yet. Times are on the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UserRequest {
    /// The id under which the answer is expected.
    pub id: RequestId,
    /// When the request was received.
    pub received_at: Micros,
    /// The time after which the user no longer waits for the answer.
    pub answer_by: Micros,
}

impl UserRequest {
    /// A request that is received at `now`, whose user waits for `patience`.
    pub fn received(id: RequestId, now: Micros, patience: Micros) -> UserRequest {
        UserRequest {
            id,
            received_at: now,
            answer_by: now + patience,
        }
    }
}

/// A request that is answered once the state of its job is known.
#[derive(Debug, Clone)]
pub enum PendingRequest {
    /// Reports the job's state: a poll, or a submission of a known job.
    Status(UserRequest),
    /// Rejects a submission unless the job exists: then this is a repeated submission, and
    /// the job's state is reported.
    RejectUnlessExists {
        /// The request that waits for the answer.
        request: UserRequest,
        /// The answer that rejects the submission.
        answer: Answer,
    },
    /// Cancels the job.
    Cancel(UserRequest),
    /// Looks the job up for the check of the ancestors of a job that needs it.
    Ancestor {
        /// The id of the job that needs this one.
        descendant: String,
    },
    /// Looks the job up for a submission that depends on it.
    Dependency {
        /// The check of the submission's dependencies.
        check_id: u64,
    },
}

/// One of the two records of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRecordKind {
    /// The open record: the job's description, which exists until its tasks are gone.
    Open,
    /// The state record: done, cancelled or, for jobs of earlier versions, open.
    State,
}

/// The steps of handling users' requests.
#[derive(Debug, Clone)]
pub enum AdmissionStep {
    /// Reads a record of a job for a single request.
    ReadRecord {
        /// The id of the job.
        id: String,
        /// Which record is read.
        kind: JobRecordKind,
        /// The request that waits for the record.
        pending: PendingRequest,
    },
    /// Compares both records of many jobs with "does not exist".
    CheckExistence {
        /// The requests that wait for the result.
        requests: Vec<QueuedRequest>,
    },
    /// Lists the records of many jobs.
    ListRecords {
        /// Which records are listed.
        kind: JobRecordKind,
        /// The requests that wait for one of the records.
        requests: Vec<QueuedRequest>,
    },
    /// Verifies that the state records of jobs that are cached as open are unchanged.
    VerifyOpen {
        /// The requests that wait for the result.
        requests: Vec<QueuedRequest>,
    },
    /// Stores a submitted job.
    Create {
        /// The request that waits for the answer.
        request: UserRequest,
        /// The job that is admitted.
        job: Rc<OpenJob>,
    },
    /// Stores the cancellation of a job that needs a cancelled one.
    CancelDescendant {
        /// The id of the job that needs the cancelled one.
        id: String,
    },
    /// Stores the cancellation of a job.
    Cancel {
        /// The id of the job.
        id: String,
        /// The request that waits for the answer.
        request: UserRequest,
    },
}

/// The steps of the election.
#[derive(Debug, Clone)]
pub enum ElectionStep {
    /// Reads all shared keys.
    Read,
    /// Revokes the lease of this member that a read found: of an earlier process or an earlier
    /// term.
    RevokePreviousLease,
    /// Requests the lease of a candidacy.
    GrantLease,
    /// Claims leadership by compare-and-swap.
    Claim {
        /// The lease of the candidacy.
        lease: LeaseId,
        /// The term of the candidacy.
        term: u64,
        /// When the request for the lease was sent, on the monotonic clock.
        lease_requested_at: Micros,
    },
    /// Renews the leader's lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Watches the shared keys.
    Watch,
    /// Revokes the lease of a term or a candidacy that has ended. The response is ignored.
    RevokeUnneededLease,
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
    WriteBatch,
    /// Reads a record that another writer may have changed.
    ReadOutcome {
        /// The key.
        key: String,
    },
    /// Reads the version of the record of the machine types.
    ReadTypesVersion,
    /// Reads the state record of a job that may have ended.
    ReadEndedJob {
        /// The id of the job.
        id: Rc<str>,
    },
    /// Reads the state record of a job that others depend on.
    ReadDependency {
        /// The id of the job.
        id: Rc<str>,
    },
    /// Sends commands to a worker.
    SendCommands {
        /// The name of the machine.
        machine: String,
    },
    /// Sends a request to the cloud.
    Cloud(CloudRequestKind),
}

/// What is done with the response to a request.
#[derive(Debug, Clone)]
pub enum Continuation {
    /// A step of handling a user's request.
    Admission(AdmissionStep),
    /// A step of the election.
    Election(ElectionStep),
    /// A step of the leader. The response is ignored once the leader's term is over.
    Leader {
        /// The term of the leader that sent the request.
        term: u64,
        /// The step of the leader.
        step: LeaderStep,
    },
    /// No module needs the response.
    Ignore,
}

impl Continuation {
    /// Whether this is a watch. The store holds a watch until something changes, so the
    /// time to its response does not show the store's latency.
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
