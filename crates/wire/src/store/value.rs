//! Keys, and the values that are stored under them.

use super::lease::LeaseId;
use rmpv::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// What is stored under it.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of the store at which the key was written last.
    #[serde(rename = "entry_no")]
    pub version: u64,
    /// The lease with which the key ends, if it has one.
    #[serde(rename = "loan", default)]
    pub lease: Option<LeaseId>,
}

impl KeyValue {
    /// The value as a typed record; None if it is not one.
    pub fn decode_value<T: DeserializeOwned>(&self) -> Option<T> {
        decode_value(&self.value)
    }
}

/// A stored value as a typed record; None if it is not one.
pub fn decode_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // By way of bytes: the typed decoder knows enums in the form in which they were
    // written, the one over values does not.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// A typed record as a value to store: a map with text keys.
pub fn encode_value<T: Serialize>(record: &T) -> Value {
    rmp_serde::to_vec_named(record)
        .ok()
        .and_then(|bytes| rmpv::decode::read_value(&mut bytes.as_slice()).ok())
        .unwrap_or(Value::Nil)
}

/// The most bytes that JSON needs for one character: two escapes of six.
const MAX_ESCAPED_CHAR: usize = 12;
/// The most bytes that JSON needs for one byte of binary data: three digits and a comma.
const MAX_BINARY_BYTE: usize = 4;
/// Two quotes, brackets or braces.
const DELIMITERS: usize = 2;

/// The size in bytes that a value has in the JSON form, in which the store's limits are
/// counted. Never less than the true size.
///
/// Counted without writing the JSON, because this runs for every value that is written.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Nil | Value::Boolean(true) => 4,
        Value::Boolean(false) => 5,
        Value::Integer(number) => number.to_string().len(),
        // JSON may write ".0" behind a whole number.
        Value::F32(number) => number.to_string().len() + 2,
        Value::F64(number) => number.to_string().len() + 2,
        Value::String(text) => {
            DELIMITERS
                + text
                    .as_str()
                    .map_or(0, |text| text.chars().map(json_char_size).sum())
        }
        Value::Array(elements) => {
            DELIMITERS
                + elements
                    .iter()
                    .map(|element| json_size(element) + 1)
                    .sum::<usize>()
        }
        Value::Map(entries) => {
            DELIMITERS
                + entries
                    .iter()
                    .map(|(key, value)| json_size(key) + json_size(value) + 2)
                    .sum::<usize>()
        }
        Value::Binary(bytes) | Value::Ext(_, bytes) => DELIMITERS + MAX_BINARY_BYTE * bytes.len(),
    }
}

/// The size of a character in a JSON text. Whatever JSON might escape counts as the longest
/// escape.
fn json_char_size(character: char) -> usize {
    match character {
        ' '..='~' if character != '"' && character != '\\' => 1,
        _ => MAX_ESCAPED_CHAR,
    }
}
