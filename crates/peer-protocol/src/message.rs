//! The messages among controllers: their fields, and their encoding field by field.

use crate::encoder::Encoder;
use crate::error::FrameError;
use crate::reader::Reader;

/// The most jobs in one [`Message::JobProgress`].
pub const MAX_PROGRESS: usize = 500;
/// The most zones in one [`Message::SilentZones`].
pub const MAX_ZONES: usize = 100;
/// The most jobs in one [`Estimates`].
pub const MAX_JOB_ESTIMATES: usize = 100;
/// The most classes in one [`Estimates`].
pub const MAX_CLASSES: usize = 64;
/// The most run-time samples in one [`JobEstimate`].
pub const MAX_SAMPLES: usize = 16;

/// What one controller tells the others.
///
/// A list longer than its bound is cut to the bound when it is encoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The first frame of a connection: which member has connected.
    Hello {
        /// The sender's name in the settings.
        member: String,
    },
    /// Sent about twice a second: the sender's view of the cluster.
    Heartbeat {
        /// The highest term that the sender has seen.
        term: u64,
        /// Whether the sender is the leader of that term.
        is_leader: bool,
        /// Whether the store answers the sender.
        store_reachable: bool,
        /// Whether workers' heartbeats reach the sender.
        workers_reachable: bool,
        /// How many requests a second users send to it.
        requests_per_s: u32,
    },
    /// From the leader: the progress of some jobs.
    JobProgress(Vec<JobProgress>),
    /// From the leader: the zones of which no machine is heard.
    SilentZones(Vec<SilentZone>),
    /// From the leader: what it has learned about run times.
    Estimates(Estimates),
}

/// How far a job has come. Only shown to users; nothing is decided by it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobProgress {
    /// The job's id.
    pub job: String,
    /// How many of its tasks are done.
    pub done: u32,
    /// How many of its tasks are running.
    pub running: u32,
}

/// A zone of which no machine is heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentZone {
    /// The zone's name.
    pub zone: String,
    /// Milliseconds since the last heartbeat of any of its machines.
    pub silent_ms: u32,
}

/// What a leader has learned about run times, so that its successor starts from there.
/// Each message has some of the jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimates {
    /// The leader's term.
    pub term: u64,
    /// The leader's virtual time in CPU-seconds: the credit of a job array that was
    /// ageing all the time.
    pub virtual_time: f64,
    /// Mean run times by class.
    pub classes: Vec<ClassRunTime>,
    /// Estimates of single job arrays.
    pub jobs: Vec<JobEstimate>,
}

/// The mean run time of a class's tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRunTime {
    /// The class's name.
    pub class: String,
    /// In seconds.
    pub mean_s: f64,
}

/// What a leader has learned about one job array.
#[derive(Debug, Clone, PartialEq)]
pub struct JobEstimate {
    /// The job's id.
    pub job: String,
    /// The job's size by the first estimate, in CPU-seconds.
    pub initial_size: f64,
    /// The same, or the final size once the job is trained, in CPU-seconds.
    pub size: f64,
    /// How much of the size ageing has taken off, in CPU-seconds. For a job that is
    /// ageing the leader's virtual time is subtracted: so the number stays the same
    /// while the job ages, and need not be sent again.
    pub credit: f64,
    /// Whether the job is ageing.
    pub is_ageing: bool,
    /// Whether its training tasks have given the final size.
    pub trained: bool,
    /// Run times of its training tasks, in seconds.
    pub samples: Vec<f64>,
}

impl JobProgress {
    pub(crate) fn encode(&self, out: &mut Encoder) {
        out.text(&self.job);
        out.u32(self.done);
        out.u32(self.running);
    }

    pub(crate) fn decode(reader: &mut Reader<'_>) -> Result<JobProgress, FrameError> {
        Ok(JobProgress {
            job: reader.text()?,
            done: reader.u32()?,
            running: reader.u32()?,
        })
    }
}

impl SilentZone {
    pub(crate) fn encode(&self, out: &mut Encoder) {
        out.text(&self.zone);
        out.u32(self.silent_ms);
    }

    pub(crate) fn decode(reader: &mut Reader<'_>) -> Result<SilentZone, FrameError> {
        Ok(SilentZone {
            zone: reader.text()?,
            silent_ms: reader.u32()?,
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
        out.text(&self.class);
        out.f64(self.mean_s);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<ClassRunTime, FrameError> {
        Ok(ClassRunTime {
            class: reader.text()?,
            mean_s: reader.f64()?,
        })
    }
}

impl JobEstimate {
    fn encode(&self, out: &mut Encoder) {
        out.text(&self.job);
        out.f64(self.initial_size);
        out.f64(self.size);
        out.f64(self.credit);
        out.flag(self.is_ageing);
        out.flag(self.trained);
        out.list(&self.samples, MAX_SAMPLES, |out, sample| out.f64(*sample));
    }

    fn decode(reader: &mut Reader<'_>) -> Result<JobEstimate, FrameError> {
        Ok(JobEstimate {
            job: reader.text()?,
            initial_size: reader.f64()?,
            size: reader.f64()?,
            credit: reader.f64()?,
            is_ageing: reader.flag()?,
            trained: reader.flag()?,
            samples: reader.list(MAX_SAMPLES, Reader::f64)?,
        })
    }
}
