//! Message bodies: `MessagePack` maps with string keys.

use crate::user::ErrorReply;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of request bodies, and of responses to workers and users, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The reason why a body could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is not a map but a list or a scalar.
    #[error("the body is not a map")]
    NotAMap,
    /// The body is empty.
    #[error("the body is not valid MessagePack of the expected form: it is empty")]
    Empty,
    /// The body is not valid `MessagePack`, or its fields do not match the message type.
    #[error("the body is not valid MessagePack of the expected form: {message}")]
    InvalidMessagePack {
        /// The decoder's message. Its error type implements neither `Clone` nor `PartialEq`.
        message: String,
    },
    /// The response has an HTTP status that the protocol does not define for the request.
    #[error("the body is not valid MessagePack of the expected form: unexpected status {0}")]
    UnexpectedStatus(u16),
}

/// Decodes a body that must be a map with string keys.
///
/// The first byte is checked before decoding, because the decoder would also accept a list as a
/// struct, which the protocol does not allow.
///
/// # Errors
///
/// Returns an error if the body is empty, is not a map, or does not decode as `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    match body.first() {
        // The markers of fixmap, map 16 and map 32.
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        Some(_) => return Err(BodyError::NotAMap),
        None => return Err(BodyError::Empty),
    }
    rmp_serde::from_slice(body).map_err(|error| BodyError::InvalidMessagePack {
        message: error.to_string(),
    })
}

/// Encodes a body as a map with string keys.
pub fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    // Encoding to memory fails only for maps of unknown length, which no type of this crate
    // contains.
    rmp_serde::to_vec_named(body).unwrap_or_default()
}

/// Whether a body is an [`ErrorReply`] with exactly this text.
pub(crate) fn is_error_reply(body: &[u8], text: &str) -> bool {
    decode::<ErrorReply>(body).is_ok_and(|reply| reply.error == text)
}
