//! Message bodies: `MessagePack` maps with text keys.

use crate::user::ErrorReply;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The protocol's limit for request bodies, and for answers to workers and users, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is a list or a single value.
    #[error("the body is not a map")]
    NotAMap,
    /// There is no body.
    #[error("the body is not valid MessagePack of the expected form: it is empty")]
    Empty,
    /// The body is damaged, or its fields are not those of the message.
    #[error("the body is not valid MessagePack of the expected form: {message}")]
    InvalidMessagePack {
        /// The decoder's message. Its error itself can be neither cloned nor compared.
        message: String,
    },
    /// The server answered with a status that the protocol does not have for the request.
    #[error("the body is not valid MessagePack of the expected form: unexpected status {0}")]
    UnexpectedStatus(u16),
}

/// Reads a body that must be a map with text keys.
///
/// The decoder would take a list for a struct as well; the protocol does not, so the first
/// byte is looked at before anything else.
///
/// # Errors
///
/// The body is empty, is not a map, or is not a `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    match body.first() {
        // The first bytes of MessagePack's three forms of a map.
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        Some(_) => return Err(BodyError::NotAMap),
        None => return Err(BodyError::Empty),
    }
    rmp_serde::from_slice(body).map_err(|error| BodyError::InvalidMessagePack {
        message: error.to_string(),
    })
}

/// Writes a body as a map with text keys.
pub fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    // Writing to memory fails only for maps of unknown length, and no type of this crate
    // has one.
    rmp_serde::to_vec_named(body).unwrap_or_default()
}

/// Whether a body is a refusal with exactly this text.
pub(crate) fn is_refusal(body: &[u8], text: &str) -> bool {
    decode::<ErrorReply>(body).is_ok_and(|reply| reply.error == text)
}
