//! Keys and values, and the size of values.

use super::lease::LeaseId;
use rmpv::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A key with its value, version and lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The stored value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of the store at which the key was last written.
    #[serde(rename = "entry_no")]
    pub version: u64,
    /// The lease to which the key is attached, if any.
    #[serde(rename = "loan", default)]
    pub lease: Option<LeaseId>,
}

impl KeyValue {
    /// Decodes the value as a typed record; `None` if it does not decode as `T`.
    pub fn decode_value<T: DeserializeOwned>(&self) -> Option<T> {
        decode_value(&self.value)
    }
}

/// Decodes a stored value as a typed record; `None` if it does not decode as `T`.
pub fn decode_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // The value is encoded and decoded again, because rmpv's decoder does not accept enums in the
    // form in which rmp-serde encodes them.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// Encodes a typed record as a value to store: a map with string keys.
pub fn encode_value<T: Serialize>(record: &T) -> Value {
    rmp_serde::to_vec_named(record)
        .ok()
        .and_then(|bytes| rmpv::decode::read_value(&mut bytes.as_slice()).ok())
        .unwrap_or(Value::Nil)
}

/// Maximum size of one character in JSON: a surrogate pair of two `\uXXXX` escapes.
const MAX_JSON_BYTES_PER_CHAR: usize = 12;
/// Maximum size of one byte of binary data in JSON: three digits and a comma.
const MAX_JSON_BYTES_PER_BINARY_BYTE: usize = 4;
/// Size of two quotes, brackets or braces.
const DELIMITER_BYTES: usize = 2;

/// An upper bound of the size of a value in JSON, in bytes. The store's size limits refer to the
/// JSON form.
///
/// The size is computed without encoding the value, because this runs for every write.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Nil | Value::Boolean(true) => 4,
        Value::Boolean(false) => 5,
        Value::Integer(number) => number.to_string().len(),
        // JSON may append ".0" to a whole number.
        Value::F32(number) => number.to_string().len() + 2,
        Value::F64(number) => number.to_string().len() + 2,
        Value::String(text) => {
            DELIMITER_BYTES
                + text
                    .as_str()
                    .map_or(0, |text| text.chars().map(json_char_size).sum())
        }
        Value::Array(elements) => {
            DELIMITER_BYTES
                + elements
                    .iter()
                    .map(|element| json_size(element) + 1)
                    .sum::<usize>()
        }
        Value::Map(entries) => {
            DELIMITER_BYTES
                + entries
                    .iter()
                    .map(|(key, value)| json_size(key) + json_size(value) + 2)
                    .sum::<usize>()
        }
        Value::Binary(bytes) | Value::Ext(_, bytes) => {
            DELIMITER_BYTES + MAX_JSON_BYTES_PER_BINARY_BYTE * bytes.len()
        }
    }
}

/// An upper bound of the size of a character in a JSON string. Every character that may be escaped
/// counts as the longest escape.
fn json_char_size(character: char) -> usize {
    match character {
        ' '..='~' if character != '"' && character != '\\' => 1,
        _ => MAX_JSON_BYTES_PER_CHAR,
    }
}
