//! Assertions that the golden tests share.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Asserts that `bytes` are decoded as `body`.
pub fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(bytes: &[u8], body: &T) {
    assert_eq!(dillcleat_wire::decode::<T>(bytes).as_ref(), Ok(body));
}

/// Asserts that `bytes` are decoded as `body`, and that `body` is encoded as `bytes`.
pub fn assert_matches_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    bytes: &[u8],
    body: &T,
) {
    assert_decodes(bytes, body);
    assert_eq!(
        dillcleat_wire::encode(body).escape_ascii().to_string(),
        bytes.escape_ascii().to_string(),
        "{body:?}"
    );
}
