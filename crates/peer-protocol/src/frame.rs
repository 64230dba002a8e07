//! Frames: the header (length, version and kind) and the message that follows it.

use crate::encoder::Encoder;
use crate::error::FrameError;
use crate::message::{
    Estimates, JobProgress, MAX_PROGRESS_JOBS, MAX_UNRESPONSIVE_ZONES, Message, UnresponsiveZone,
};
use crate::reader::Reader;

/// The protocol version of encoded frames. Frames of an unsupported version are rejected.
pub const PROTOCOL_VERSION: u8 = 4;
/// The previous protocol version, whose frames have the same layout. During a rolling upgrade,
/// upgraded controllers decode the frames of old controllers. Old controllers reject the frames of
/// upgraded ones. They operate without these messages, which are only hints.
const PREVIOUS_VERSION: u8 = 3;
/// The maximum value of a frame's length field.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// The minimum value of a frame's length field: the size of version and kind.
const MIN_FRAME_BYTES: usize = 2;

const KIND_HELLO: u8 = 1;
const KIND_HEARTBEAT: u8 = 2;
const KIND_JOB_PROGRESS: u8 = 3;
const KIND_UNRESPONSIVE_ZONES: u8 = 4;
const KIND_ESTIMATES: u8 = 5;

/// Decodes the length field of a frame: the number of bytes that follow the field.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] if the length exceeds [`MAX_FRAME_BYTES`], and
/// [`FrameError::Truncated`] if it is too short for the version and the kind.
pub fn frame_length(header: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(header) as usize {
        length if length > MAX_FRAME_BYTES => Err(FrameError::TooLong(length)),
        length if length < MIN_FRAME_BYTES => Err(FrameError::Truncated),
        length => Ok(length),
    }
}

impl Message {
    /// Encodes the message as a complete frame, including the length.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Encoder::new(PROTOCOL_VERSION);
        match self {
            Message::Hello { member } => {
                out.u8(KIND_HELLO);
                out.string(member);
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
                out.list(jobs, MAX_PROGRESS_JOBS, |out, job| job.encode(out));
            }
            Message::UnresponsiveZones(zones) => {
                out.u8(KIND_UNRESPONSIVE_ZONES);
                out.list(zones, MAX_UNRESPONSIVE_ZONES, |out, zone| zone.encode(out));
            }
            Message::Estimates(estimates) => {
                out.u8(KIND_ESTIMATES);
                estimates.encode(&mut out);
            }
        }
        out.finish()
    }

    /// Decodes a frame without its length.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not supported, the kind is unknown, a field is invalid,
    /// or the frame is too short or too long.
    pub fn decode(frame: &[u8]) -> Result<Message, FrameError> {
        let mut reader = Reader::new(frame);
        match reader.u8()? {
            PROTOCOL_VERSION | PREVIOUS_VERSION => {}
            version => return Err(FrameError::UnsupportedVersion(version)),
        }
        let message = match reader.u8()? {
            KIND_HELLO => Message::Hello {
                member: reader.string()?,
            },
            KIND_HEARTBEAT => Message::Heartbeat {
                term: reader.u64()?,
                is_leader: reader.flag()?,
                store_reachable: reader.flag()?,
                workers_reachable: reader.flag()?,
                requests_per_s: reader.u32()?,
            },
            KIND_JOB_PROGRESS => {
                Message::JobProgress(reader.list(MAX_PROGRESS_JOBS, JobProgress::decode)?)
            }
            KIND_UNRESPONSIVE_ZONES => Message::UnresponsiveZones(
                reader.list(MAX_UNRESPONSIVE_ZONES, UnresponsiveZone::decode)?,
            ),
            KIND_ESTIMATES => Message::Estimates(Estimates::decode(&mut reader)?),
            kind => return Err(FrameError::UnknownKind(kind)),
        };
        reader.expect_end()?;
        Ok(message)
    }
}
