//! Frames: the length, the version and the kind that stand before a message's fields.

use crate::encoder::Encoder;
use crate::error::FrameError;
use crate::message::{Estimates, JobProgress, MAX_PROGRESS, MAX_ZONES, Message, SilentZone};
use crate::reader::Reader;

/// The version that this node writes. A frame of an unknown version closes the connection.
pub const VERSION: u8 = 4;
/// The version before, of which every frame is a valid frame of this version too. During a
/// rolling upgrade new nodes read the old nodes' frames; old nodes refuse the new ones and
/// work without their hints.
const PREVIOUS_VERSION: u8 = 3;
/// The bound of a frame's length field, in bytes.
pub const MAX_FRAME: usize = 64 * 1024;
/// The length of what every frame has: its version and its kind.
const MIN_FRAME: usize = 2;

const KIND_HELLO: u8 = 1;
const KIND_HEARTBEAT: u8 = 2;
const KIND_JOB_PROGRESS: u8 = 3;
const KIND_SILENT_ZONES: u8 = 4;
const KIND_ESTIMATES: u8 = 5;

/// The length that a frame's first four bytes announce: that of what follows them.
///
/// # Errors
///
/// [`FrameError::TooLong`] above [`MAX_FRAME`], [`FrameError::Truncated`] if not even the
/// version and the kind fit in.
pub fn frame_length(header: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(header) as usize {
        length if length > MAX_FRAME => Err(FrameError::TooLong(length)),
        length if length < MIN_FRAME => Err(FrameError::Truncated),
        length => Ok(length),
    }
}

impl Message {
    /// The whole frame, length included.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Encoder::new(VERSION);
        match self {
            Message::Hello { member } => {
                out.u8(KIND_HELLO);
                out.text(member);
            }
            Message::Heartbeat {
                term,
                is_leader,
                store_reachable,
                workers_reachable,
                requests_per_s,
            } => {
                out.u8(KIND_HEARTBEAT);
                out.u64(*term);
                out.flag(*is_leader);
                out.flag(*store_reachable);
                out.flag(*workers_reachable);
                out.u32(*requests_per_s);
            }
            Message::JobProgress(jobs) => {
                out.u8(KIND_JOB_PROGRESS);
                out.list(jobs, MAX_PROGRESS, |out, job| job.encode(out));
            }
            Message::SilentZones(zones) => {
                out.u8(KIND_SILENT_ZONES);
                out.list(zones, MAX_ZONES, |out, zone| zone.encode(out));
            }
            Message::Estimates(estimates) => {
                out.u8(KIND_ESTIMATES);
                estimates.encode(&mut out);
            }
        }
        out.finish()
    }

    /// Reads a frame's content: what follows the length.
    ///
    /// # Errors
    ///
    /// Whatever is wrong with the frame; it is read whole or not at all.
    pub fn decode(frame: &[u8]) -> Result<Message, FrameError> {
        let mut reader = Reader::new(frame);
        match reader.u8()? {
            VERSION | PREVIOUS_VERSION => {}
            version => return Err(FrameError::UnsupportedVersion(version)),
        }
        let message = match reader.u8()? {
            KIND_HELLO => Message::Hello {
                member: reader.text()?,
            },
            KIND_HEARTBEAT => Message::Heartbeat {
                term: reader.u64()?,
                is_leader: reader.flag()?,
                store_reachable: reader.flag()?,
                workers_reachable: reader.flag()?,
                requests_per_s: reader.u32()?,
            },
            KIND_JOB_PROGRESS => {
                Message::JobProgress(reader.list(MAX_PROGRESS, JobProgress::decode)?)
            }
            KIND_SILENT_ZONES => Message::SilentZones(reader.list(MAX_ZONES, SilentZone::decode)?),
            KIND_ESTIMATES => Message::Estimates(Estimates::decode(&mut reader)?),
            kind => return Err(FrameError::UnknownKind(kind)),
        };
        reader.expect_end()?;
        Ok(message)
    }
}
