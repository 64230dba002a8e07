//! The messages between controllers and their encoding.

use crate::encoder::Encoder;
use crate::error::FrameError;
use crate::reader::Reader;

/// Maximum number of jobs in one [`Message::JobProgress`].
pub const MAX_PROGRESS_JOBS: usize = 500;
/// Maximum number of zones in one [`Message::UnresponsiveZones`].
pub const MAX_UNRESPONSIVE_ZONES: usize = 100;
/// Maximum number of jobs in one [`Estimates`].
pub const MAX_JOB_ESTIMATES: usize = 100;
/// Maximum number of classes in one [`Estimates`].
pub const MAX_CLASSES: usize = 64;
/// Maximum number of run-time samples in one [`JobEstimate`].
pub const MAX_RUN_TIME_SAMPLES: usize = 16;

/// A message from one controller to the others.
///
/// A list that exceeds its limit is truncated when it is encoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The first message of a connection, which identifies the sender.
    Hello {
        /// The sender's member name from the settings.
        member: String,
    },
    /// The sender's view of the cluster, sent periodically.
    Heartbeat {
        /// The highest term known to the sender.
        term: u64,
        /// Whether the sender is the leader of that term.
        is_leader: bool,
        /// Whether the sender receives responses from the store.
        store_reachable: bool,
        /// Whether the sender receives heartbeats from workers.
        workers_reachable: bool,
        /// The rate of user requests that the sender receives, per second.
        requests_per_s: u32,
    },
    /// The progress of some jobs, sent by the leader.
    JobProgress(Vec<JobProgress>),
    /// The zones that the leader considers partitioned, sent by the leader.
    UnresponsiveZones(Vec<UnresponsiveZone>),
    /// The leader's estimates of run times and job sizes, and its virtual time.
    Estimates(Estimates),
}

/// The progress of a job. It is displayed to users but does not affect scheduling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobProgress {
    /// The job's id.
    pub job: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

/// A zone that the leader considers partitioned, because most of its machines are unresponsive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnresponsiveZone {
    /// The zone's name.
    pub zone: String,
    /// Time since the last message from the zone's unresponsive machines, in milliseconds.
    pub unresponsive_ms: u32,
}

/// The leader's run-time estimates, from which its successor continues after a failover. Each
/// message contains some of the jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimates {
    /// The leader's term.
    pub term: u64,
    /// The leader's virtual time in CPU-seconds: the amount by which a job that was never paused
    /// has aged since the beginning of the term.
    pub virtual_time: f64,
    /// Mean run times by class.
    pub classes: Vec<ClassRunTime>,
    /// Estimates of individual batch jobs.
    pub jobs: Vec<JobEstimate>,
}

/// The mean run time of the tasks of a class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRunTime {
    /// The class's name.
    pub class: String,
    /// The mean run time in seconds.
    pub mean_s: f64,
}

/// The leader's size estimate of one batch job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobEstimate {
    /// The job's id.
    pub job: String,
    /// The first estimate of the job's size, in CPU-seconds.
    pub initial_size: f64,
    /// The current estimate of the job's size, in CPU-seconds. It equals the initial size until
    /// the job's training tasks have completed.
    pub size: f64,
    /// The amount by which ageing has reduced the job's virtual size, in CPU-seconds. For an ageing
    /// job the leader's current virtual time is subtracted from it: both increase at the same rate,
    /// so this value does not change while the job ages.
    pub ageing_credit: f64,
    /// Whether the job is ageing.
    pub is_ageing: bool,
    /// Whether the training tasks have completed and the size is final.
    pub trained: bool,
    /// Run times of its training tasks, in seconds.
    pub samples: Vec<f64>,
}

impl JobProgress {
    pub(crate) fn encode(&self, out: &mut Encoder) {
        out.string(&self.job);
        out.u32(self.done);
        out.u32(self.running);
    }

    pub(crate) fn decode(reader: &mut Reader<'_>) -> Result<JobProgress, FrameError> {
        Ok(JobProgress {
            job: reader.string()?,
            done: reader.u32()?,
            running: reader.u32()?,
        })
    }
}

impl UnresponsiveZone {
    pub(crate) fn encode(&self, out: &mut Encoder) {
        out.string(&self.zone);
        out.u32(self.unresponsive_ms);
    }

    pub(crate) fn decode(reader: &mut Reader<'_>) -> Result<UnresponsiveZone, FrameError> {
        Ok(UnresponsiveZone {
            zone: reader.string()?,
            unresponsive_ms: reader.u32()?,
        })
    }
}

impl Estimates {
    pub(crate) fn encode(&self, out: &mut Encoder) {
        out.u64(self.term);
        out.f64(self.virtual_time);
        out.list(&self.classes, MAX_CLASSES, |out, class| class.encode(out));
        out.list(&self.jobs, MAX_JOB_ESTIMATES, |out, job| job.encode(out));
    }

    pub(crate) fn decode(reader: &mut Reader<'_>) -> Result<Estimates, FrameError> {
        Ok(Estimates {
            term: reader.u64()?,
            virtual_time: reader.f64()?,
            classes: reader.list(MAX_CLASSES, ClassRunTime::decode)?,
            jobs: reader.list(MAX_JOB_ESTIMATES, JobEstimate::decode)?,
        })
    }
}

impl ClassRunTime {
    fn encode(&self, out: &mut Encoder) {
        out.string(&self.class);
        out.f64(self.mean_s);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<ClassRunTime, FrameError> {
        Ok(ClassRunTime {
            class: reader.string()?,
            mean_s: reader.f64()?,
        })
    }
}

impl JobEstimate {
    fn encode(&self, out: &mut Encoder) {
        out.string(&self.job);
        out.f64(self.initial_size);
        out.f64(self.size);
        out.f64(self.ageing_credit);
        out.flag(self.is_ageing);
        out.flag(self.trained);
        out.list(&self.samples, MAX_RUN_TIME_SAMPLES, |out, sample| {
            out.f64(*sample);
        });
    }

    fn decode(reader: &mut Reader<'_>) -> Result<JobEstimate, FrameError> {
        Ok(JobEstimate {
            job: reader.string()?,
            initial_size: reader.f64()?,
            size: reader.f64()?,
            ageing_credit: reader.f64()?,
            is_ageing: reader.flag()?,
            trained: reader.flag()?,
            samples: reader.list(MAX_RUN_TIME_SAMPLES, Reader::f64)?,
        })
    }
}
