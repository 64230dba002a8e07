//! The binary format that controllers speak among themselves.
//!
//! A frame is a length (u32, big endian, of what follows), a version byte, a
//! kind byte and the fields: integers big endian, texts as a u16 length and
//! UTF-8. Lengths are bounded before anything is allocated. Nothing that the
//! rules rest on travels here: agreement is the state service's matter, and a
//! lost or forged hint costs time only.

/// Version of the format; frames of another version close the connection.
pub const VERSION: u8 = 3;
/// Bound of one frame's length field.
pub const MAX_FRAME: usize = 64 * 1024;
/// Bound of the jobs in one progress message.
pub const MAX_PROGRESS: usize = 500;

/// Bound of the zones in one message about silence.
pub const MAX_ZONES: usize = 100;

/// A zone that has fallen silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silence {
    pub zone: String,
    /// Since any of its machines was heard, in milliseconds.
    pub quiet_ms: u32,
}

/// How far a job is, for display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    pub job: String,
    pub done: u32,
    pub running: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The first frame of a connection: who speaks.
    Hello { member: String },
    /// Sent about twice a second: the highest term seen, whether the sender
    /// leads in it, whether the state service serves the sender, whether
    /// workers reach it, and how many requests a second users make of it.
    Beat {
        term: u64,
        leads: bool,
        served: bool,
        hears: bool,
        asked: u32,
    },
    /// From the leader: the progress of some jobs.
    Progress(Vec<Progress>),
    /// From the leader: zones that have fallen silent as a whole.
    Silent(Vec<Silence>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("frame of {0} bytes is over the bound")]
    TooLong(usize),
    #[error("unknown version {0}")]
    Version(u8),
    #[error("unknown kind {0}")]
    Kind(u8),
    #[error("frame ends early")]
    Short,
    #[error("frame has bytes left over")]
    Long,
    #[error("text is not UTF-8")]
    Text,
    #[error("a flag is neither 0 nor 1")]
    Flag,
}

/// The length that a frame's first four bytes announce.
pub fn frame_len(head: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(head) as usize {
        n if n > MAX_FRAME => Err(FrameError::TooLong(n)),
        n if n < 2 => Err(FrameError::Short),
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

impl Message {
    /// The whole frame, length included.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0, 0, 0, 0, VERSION];
        match self {
            Message::Hello { member } => {
                out.push(1);
                put_text(&mut out, member);
            }
            Message::Beat {
                term,
                leads,
                served,
                hears,
                asked,
            } => {
                out.push(2);
                out.extend_from_slice(&term.to_be_bytes());
                out.push(u8::from(*leads));
                out.push(u8::from(*served));
                out.push(u8::from(*hears));
                out.extend_from_slice(&asked.to_be_bytes());
            }
            Message::Progress(jobs) => {
                out.push(3);
                let n = jobs.len().min(MAX_PROGRESS);
                out.extend_from_slice(&(n as u16).to_be_bytes());
                for j in &jobs[..n] {
                    put_text(&mut out, &j.job);
                    out.extend_from_slice(&j.done.to_be_bytes());
                    out.extend_from_slice(&j.running.to_be_bytes());
                }
            }
            Message::Silent(zones) => {
                out.push(4);
                let n = zones.len().min(MAX_ZONES);
                out.extend_from_slice(&(n as u16).to_be_bytes());
                for z in &zones[..n] {
                    put_text(&mut out, &z.zone);
                    out.extend_from_slice(&z.quiet_ms.to_be_bytes());
                }
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
            VERSION => {}
            v => return Err(FrameError::Version(v)),
        }
        let message = match r.u8()? {
            1 => Message::Hello { member: r.text()? },
            2 => Message::Beat {
                term: r.u64()?,
                leads: r.flag()?,
                served: r.flag()?,
                hears: r.flag()?,
                asked: r.u32()?,
            },
            3 => {
                let n = r.u16()? as usize;
                if n > MAX_PROGRESS {
                    return Err(FrameError::TooLong(n));
                }
                let mut jobs = Vec::with_capacity(n);
                for _ in 0..n {
                    jobs.push(Progress {
                        job: r.text()?,
                        done: r.u32()?,
                        running: r.u32()?,
                    });
                }
                Message::Progress(jobs)
            }
            4 => {
                let n = r.u16()? as usize;
                if n > MAX_ZONES {
                    return Err(FrameError::TooLong(n));
                }
                let mut zones = Vec::with_capacity(n);
                for _ in 0..n {
                    zones.push(Silence {
                        zone: r.text()?,
                        quiet_ms: r.u32()?,
                    });
                }
                Message::Silent(zones)
            }
            k => return Err(FrameError::Kind(k)),
        };
        if r.0.is_empty() {
            Ok(message)
        } else {
            Err(FrameError::Long)
        }
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let (head, rest) = self.0.split_first_chunk::<N>().ok_or(FrameError::Short)?;
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
            _ => Err(FrameError::Flag),
        }
    }

    fn text(&mut self) -> Result<String, FrameError> {
        let n = self.u16()? as usize;
        if n > self.0.len() {
            return Err(FrameError::Short);
        }
        let (head, rest) = self.0.split_at(n);
        self.0 = rest;
        String::from_utf8(head.to_vec()).map_err(|_| FrameError::Text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_round_trip_and_damaged_ones_are_refused() {
        let messages = [
            Message::Hello {
                member: "a-0".into(),
            },
            Message::Beat {
                term: u64::MAX,
                leads: true,
                served: false,
                hears: true,
                asked: 70_000,
            },
            Message::Progress(vec![Progress {
                job: "req-1".into(),
                done: 3,
                running: 4,
            }]),
            Message::Silent(vec![Silence {
                zone: "a".into(),
                quiet_ms: 9_000,
            }]),
        ];
        for m in messages {
            let frame = m.encode();
            let head = [frame[0], frame[1], frame[2], frame[3]];
            assert_eq!(frame_len(head), Ok(frame.len() - 4));
            assert_eq!(Message::decode(&frame[4..]), Ok(m));
            for cut in 4..frame.len() {
                assert!(Message::decode(&frame[4..cut]).is_err());
            }
            let mut long = frame.clone();
            long.push(0);
            assert_eq!(Message::decode(&long[4..]), Err(FrameError::Long));
            let mut other = frame;
            other[4] = 9;
            assert_eq!(Message::decode(&other[4..]), Err(FrameError::Version(9)));
        }
        assert!(frame_len([255; 4]).is_err());
    }
}
