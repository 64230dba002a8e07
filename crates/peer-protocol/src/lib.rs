//! The binary format that controllers speak among themselves.
//!
//! A frame is a length (u32, big endian, of what follows), a version byte, a
//! kind byte and the fields: integers big endian, texts as a u16 length and
//! UTF-8. Lengths are bounded before anything is allocated. Nothing that the
//! rules rest on travels here: agreement is the state service's matter, and a
//! lost or forged hint costs time only.

/// Version of the format; frames of another version close the connection.
pub const VERSION: u8 = 4;
/// The version before, of which every frame is one of this version as well: in a
/// rolling upgrade new nodes hear old ones, old ones do without the new ones' hints.
const PREVIOUS_VERSION: u8 = 3;
/// Bound of one frame's length field.
pub const MAX_FRAME: usize = 64 * 1024;
/// Bound of the jobs in one progress message.
pub const MAX_PROGRESS: usize = 500;

/// Bound of the zones in one message about silence.
pub const MAX_ZONES: usize = 100;

/// Bound of the jobs in one message about what was learned.
pub const MAX_JOB_ESTIMATES: usize = 100;
/// Bound of the classes in one.
pub const MAX_CLASSES: usize = 64;
/// Bound of a job's samples in one.
pub const MAX_SAMPLES: usize = 16;

/// What a leader has learned of an array, for one that follows.
#[derive(Debug, Clone, PartialEq)]
pub struct JobEstimate {
    pub job: String,
    /// Size as of the first guess, in CPU-seconds.
    pub initial_size: f64,
    /// The same, or the final size once it is trained.
    pub size: f64,
    /// What ageing has taken off it, in CPU-seconds; less the leader's clock if it
    /// ages. So it stays what it is while the job ages, and need not be told again.
    pub credit: f64,
    pub is_ageing: bool,
    pub trained: bool,
    /// Run times of its training tasks, in seconds.
    pub samples: Vec<f64>,
}

/// The mean run time of a class's tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRunTime {
    pub class: String,
    /// In seconds.
    pub mean_s: f64,
}

/// What a leader has learned, in part: each message brings some jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimates {
    /// The leader's term.
    pub term: u64,
    /// What ageing has taken off any array that was active all the time, in
    /// CPU-seconds.
    pub virtual_time: f64,
    /// Mean run times by class.
    pub classes: Vec<ClassRunTime>,
    pub jobs: Vec<JobEstimate>,
}

/// A zone that has fallen silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentZone {
    pub zone: String,
    /// Since any of its machines was heard, in milliseconds.
    pub silent_ms: u32,
}

/// How far a job is, for display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobProgress {
    pub job: String,
    pub done: u32,
    pub running: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The first frame of a connection: who speaks.
    Hello { member: String },
    /// Sent about twice a second: the highest term seen, whether the sender
    /// leads in it, whether the state service serves the sender, whether
    /// workers reach it, and how many requests a second users make of it.
    Heartbeat {
        term: u64,
        is_leader: bool,
        store_reachable: bool,
        workers_reachable: bool,
        requests_per_s: u32,
    },
    /// From the leader: the progress of some jobs.
    JobProgress(Vec<JobProgress>),
    /// From the leader: zones that have fallen silent as a whole.
    SilentZones(Vec<SilentZone>),
    /// From the leader: what it has learned of some jobs.
    Estimates(Estimates),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("frame of {0} bytes is over the bound")]
    TooLong(usize),
    #[error("unknown version {0}")]
    UnsupportedVersion(u8),
    #[error("unknown kind {0}")]
    UnknownKind(u8),
    #[error("frame ends early")]
    Truncated,
    #[error("frame has bytes left over")]
    TrailingBytes,
    #[error("text is not UTF-8")]
    InvalidUtf8,
    #[error("a flag is neither 0 nor 1")]
    InvalidFlag,
    #[error("a number is not finite")]
    NonFiniteNumber,
}

/// The length that a frame's first four bytes announce.
pub fn frame_length(head: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(head) as usize {
        n if n > MAX_FRAME => Err(FrameError::TooLong(n)),
        n if n < 2 => Err(FrameError::Truncated),
        n => Ok(n),
    }
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    let mut end = text.len().min(u16::MAX as usize);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    out.extend_from_slice(&(end as u16).to_be_bytes());
    out.extend_from_slice(&text.as_bytes()[..end]);
}

fn put_f64(out: &mut Vec<u8>, number: f64) {
    out.extend_from_slice(&number.to_bits().to_be_bytes());
}

fn put_learned(out: &mut Vec<u8>, learned: &Estimates) {
    out.extend_from_slice(&learned.term.to_be_bytes());
    put_f64(out, learned.virtual_time);
    let n = learned.classes.len().min(MAX_CLASSES);
    out.extend_from_slice(&(n as u16).to_be_bytes());
    for run_time in &learned.classes[..n] {
        put_text(out, &run_time.class);
        put_f64(out, run_time.mean_s);
    }
    let n = learned.jobs.len().min(MAX_JOB_ESTIMATES);
    out.extend_from_slice(&(n as u16).to_be_bytes());
    for j in &learned.jobs[..n] {
        put_text(out, &j.job);
        put_f64(out, j.initial_size);
        put_f64(out, j.size);
        put_f64(out, j.credit);
        out.push(u8::from(j.is_ageing));
        out.push(u8::from(j.trained));
        let n = j.samples.len().min(MAX_SAMPLES);
        out.extend_from_slice(&(n as u16).to_be_bytes());
        for sample in &j.samples[..n] {
            put_f64(out, *sample);
        }
    }
}

impl Message {
    /// The whole frame, length included.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0, 0, 0, 0, VERSION];
        match self {
            Message::Hello { member } => {
                out.push(1);
                put_text(&mut out, member);
            }
            Message::Heartbeat {
                term,
                is_leader: leads,
                store_reachable: served,
                workers_reachable: hears,
                requests_per_s: asked,
            } => {
                out.push(2);
                out.extend_from_slice(&term.to_be_bytes());
                out.push(u8::from(*leads));
                out.push(u8::from(*served));
                out.push(u8::from(*hears));
                out.extend_from_slice(&asked.to_be_bytes());
            }
            Message::JobProgress(jobs) => {
                out.push(3);
                let n = jobs.len().min(MAX_PROGRESS);
                out.extend_from_slice(&(n as u16).to_be_bytes());
                for j in &jobs[..n] {
                    put_text(&mut out, &j.job);
                    out.extend_from_slice(&j.done.to_be_bytes());
                    out.extend_from_slice(&j.running.to_be_bytes());
                }
            }
            Message::SilentZones(zones) => {
                out.push(4);
                let n = zones.len().min(MAX_ZONES);
                out.extend_from_slice(&(n as u16).to_be_bytes());
                for z in &zones[..n] {
                    put_text(&mut out, &z.zone);
                    out.extend_from_slice(&z.silent_ms.to_be_bytes());
                }
            }
            Message::Estimates(learned) => {
                out.push(5);
                put_learned(&mut out, learned);
            }
        }
        let len = (out.len() - 4) as u32;
        out[..4].copy_from_slice(&len.to_be_bytes());
        out
    }

    /// Reads a frame's content: what follows the length.
    pub fn decode(frame: &[u8]) -> Result<Message, FrameError> {
        let mut r = Reader(frame);
        match r.u8()? {
            VERSION | PREVIOUS_VERSION => {}
            v => return Err(FrameError::UnsupportedVersion(v)),
        }
        let message = match r.u8()? {
            1 => Message::Hello { member: r.text()? },
            2 => Message::Heartbeat {
                term: r.u64()?,
                is_leader: r.flag()?,
                store_reachable: r.flag()?,
                workers_reachable: r.flag()?,
                requests_per_s: r.u32()?,
            },
            3 => {
                let n = r.count(MAX_PROGRESS)?;
                let mut jobs = Vec::with_capacity(n);
                for _ in 0..n {
                    jobs.push(JobProgress {
                        job: r.text()?,
                        done: r.u32()?,
                        running: r.u32()?,
                    });
                }
                Message::JobProgress(jobs)
            }
            4 => {
                let n = r.count(MAX_ZONES)?;
                let mut zones = Vec::with_capacity(n);
                for _ in 0..n {
                    zones.push(SilentZone {
                        zone: r.text()?,
                        silent_ms: r.u32()?,
                    });
                }
                Message::SilentZones(zones)
            }
            5 => Message::Estimates(r.learned()?),
            k => return Err(FrameError::UnknownKind(k)),
        };
        if r.0.is_empty() {
            Ok(message)
        } else {
            Err(FrameError::TrailingBytes)
        }
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let (head, rest) = self
            .0
            .split_first_chunk::<N>()
            .ok_or(FrameError::Truncated)?;
        self.0 = rest;
        Ok(*head)
    }

    fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.take::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, FrameError> {
        self.take().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, FrameError> {
        self.take().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Result<u64, FrameError> {
        self.take().map(u64::from_be_bytes)
    }

    fn flag(&mut self) -> Result<bool, FrameError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(FrameError::InvalidFlag),
        }
    }

    /// A number of things, of which there may be `most`.
    fn count(&mut self, most: usize) -> Result<usize, FrameError> {
        match self.u16()? as usize {
            n if n > most => Err(FrameError::TooLong(n)),
            n => Ok(n),
        }
    }

    fn f64(&mut self) -> Result<f64, FrameError> {
        let number = f64::from_bits(self.u64()?);
        number
            .is_finite()
            .then_some(number)
            .ok_or(FrameError::NonFiniteNumber)
    }

    fn learned(&mut self) -> Result<Estimates, FrameError> {
        let (term, clock) = (self.u64()?, self.f64()?);
        let n = self.count(MAX_CLASSES)?;
        let mut classes = Vec::with_capacity(n);
        for _ in 0..n {
            classes.push(ClassRunTime {
                class: self.text()?,
                mean_s: self.f64()?,
            });
        }
        let n = self.count(MAX_JOB_ESTIMATES)?;
        let mut jobs = Vec::with_capacity(n);
        for _ in 0..n {
            let mut job = JobEstimate {
                job: self.text()?,
                initial_size: self.f64()?,
                size: self.f64()?,
                credit: self.f64()?,
                is_ageing: self.flag()?,
                trained: self.flag()?,
                samples: Vec::new(),
            };
            for _ in 0..self.count(MAX_SAMPLES)? {
                job.samples.push(self.f64()?);
            }
            jobs.push(job);
        }
        Ok(Estimates {
            term,
            virtual_time: clock,
            classes,
            jobs,
        })
    }

    fn text(&mut self) -> Result<String, FrameError> {
        let n = self.u16()? as usize;
        if n > self.0.len() {
            return Err(FrameError::Truncated);
        }
        let (head, rest) = self.0.split_at(n);
        self.0 = rest;
        String::from_utf8(head.to_vec()).map_err(|_| FrameError::InvalidUtf8)
    }
}
