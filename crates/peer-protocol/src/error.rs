//! Errors of decoding a frame.

/// The reason why a received frame was rejected. The receiver closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length of the frame or the count of a list exceeds its limit.
    #[error("frame length or list count {0} exceeds its limit")]
    TooLong(usize),
    /// The frame's protocol version is not supported.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
    /// The kind byte does not belong to any message.
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    /// The frame ends before its last field.
    #[error("frame is truncated")]
    Truncated,
    /// There are bytes after the last field.
    #[error("frame has trailing bytes")]
    TrailingBytes,
    /// A string is not valid UTF-8.
    #[error("string is not valid UTF-8")]
    InvalidUtf8,
    /// The byte of a flag is neither 0 nor 1.
    #[error("flag is neither 0 nor 1")]
    InvalidFlag,
    /// A number is infinite or NaN, which would corrupt the ageing of jobs.
    #[error("number is not finite")]
    NonFiniteNumber,
}
