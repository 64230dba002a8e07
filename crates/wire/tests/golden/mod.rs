//! Assertions that the files of golden bytes share.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Asserts that `bytes` are read as `body`.
pub fn assert_read<T: DeserializeOwned + PartialEq + Debug>(bytes: &[u8], body: &T) {
    assert_eq!(dillcleat_wire::decode::<T>(bytes).as_ref(), Ok(body));
}

/// Asserts that `bytes` are read as `body`, and that `body` is written as `bytes`.
pub fn assert_keeps<T: Serialize + DeserializeOwned + PartialEq + Debug>(bytes: &[u8], body: &T) {
    assert_read(bytes, body);
    assert_eq!(
        dillcleat_wire::encode(body).escape_ascii().to_string(),
        bytes.escape_ascii().to_string(),
        "{body:?}"
    );
}
