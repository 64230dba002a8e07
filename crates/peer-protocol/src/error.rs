//! What can be wrong with a received frame.

/// Why a frame was refused. Each of these closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The announced length, or the count of a list, is above its bound.
    #[error("frame of {0} bytes is over the bound")]
    TooLong(usize),
    /// The frame is of a version that this node does not read.
    #[error("unknown version {0}")]
    UnsupportedVersion(u8),
    /// No message has this kind byte.
    #[error("unknown kind {0}")]
    UnknownKind(u8),
    /// The frame ends before its last field.
    #[error("frame ends early")]
    Truncated,
    /// Bytes follow the last field.
    #[error("frame has bytes left over")]
    TrailingBytes,
    /// A text is not UTF-8.
    #[error("text is not UTF-8")]
    InvalidUtf8,
    /// A flag is neither 0 nor 1.
    #[error("a flag is neither 0 nor 1")]
    InvalidFlag,
    /// A number is infinite or not a number; a job's ageing must not rest on one.
    #[error("a number is not finite")]
    NonFiniteNumber,
}
