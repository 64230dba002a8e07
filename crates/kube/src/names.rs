//! Derives job ids, uids and token MACs from the operators' signing key.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The minimum length of the signing key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;
/// The number of decimal digits in a job id. 32 digits keep about 106 bits of the MAC.
const JOB_ID_DIGITS: u32 = 32;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("a key is hexadecimal digits")]
    NotHex,
    #[error("a key has at least {MIN_KEY_BYTES} bytes")]
    TooShort,
}

/// Decodes hexadecimal digits; None if the text has anything else.
pub fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}

pub fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The operators' signing key. Its `Debug` form does not show the key.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl SigningKey {
    /// Reads the text of a key file.
    pub fn parse(text: &str) -> Result<SigningKey, KeyError> {
        let bytes = decode_hex(text.trim()).ok_or(KeyError::NotHex)?;
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort);
        }
        Ok(SigningKey(bytes))
    }

    /// A MAC over parts. Each part is preceded by its length, so that different lists of
    /// parts never give the same input.
    fn mac(&self, parts: &[&str]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        Some(mac)
    }

    /// The first 128 bits of the MAC over `parts`.
    fn mac_number(&self, parts: &[&str]) -> u128 {
        // HMAC accepts keys of any length, so `mac` never fails.
        let mac = self.mac(parts).map(|m| m.finalize().into_bytes());
        let bytes = mac.and_then(|m| m.first_chunk::<16>().copied());
        u128::from_be_bytes(bytes.unwrap_or_default())
    }

    /// The MAC of a token. The settings contain the MAC instead of the token.
    pub fn token(&self, token: &str) -> String {
        let mac = self.mac(&["token", token]);
        mac.map_or(String::new(), |m| encode_hex(&m.finalize().into_bytes()))
    }

    /// Whether `token_mac` is the MAC of a token. The comparison takes constant time.
    pub fn verify_token(&self, token: &str, token_mac: &[u8]) -> bool {
        let mac = self.mac(&["token", token]);
        mac.is_some_and(|m| m.verify_slice(token_mac).is_ok())
    }

    /// The uid of an object; `run` counts the objects that have had this name.
    pub fn uid(&self, resource: &str, namespace: &str, name: &str, run: u32) -> String {
        let n = self.mac_number(&["uid", resource, namespace, name, &run.to_string()]);
        // Sets version 8 (custom) and the variant of RFC 9562.
        let n = n & !(0xf << 76) & !(0x3 << 62) | 8 << 76 | 2 << 62;
        let h = format!("{n:032x}");
        format!(
            "{}-{}-{}-{}-{}",
            &h[..8],
            &h[8..12],
            &h[12..16],
            &h[16..20],
            &h[20..]
        )
    }

    /// The id of the native job that runs an object.
    pub fn job(&self, namespace: &str, name: &str, uid: &str) -> String {
        let n = self.mac_number(&["job", namespace, name, uid]) % 10u128.pow(JOB_ID_DIGITS);
        format!("req-{n:032}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn uids_and_job_ids_are_valid_and_differ_between_objects() {
        let key = SigningKey::parse(&"0b".repeat(32)).expect("a key");
        let uid = key.uid("jobs", "books", "merge", 1);
        assert_eq!(uid.len(), 36);
        assert_eq!(&uid[14..15], "8");
        assert!(matches!(&uid[19..20], "8" | "9" | "a" | "b"), "{uid}");
        let job = key.job("books", "merge", &uid);
        assert!(dillcleat_wire::user::is_job_id(&job), "{job}");
        // Another `run`, or parts that concatenate to the same text, give other ids.
        assert_ne!(uid, key.uid("jobs", "books", "merge", 2));
        assert_ne!(job, key.job("book", "smerge", &uid));
        assert_eq!(format!("{key:?}"), "Key");
    }

    #[test]
    fn a_token_is_verified_by_its_mac_and_short_keys_are_rejected() {
        let key = SigningKey::parse(&"0b".repeat(32)).expect("a key");
        let stored_mac = decode_hex(&key.token("secret")).expect("hex");
        assert!(key.verify_token("secret", &stored_mac));
        assert!(!key.verify_token("secrex", &stored_mac));
        assert!(!key.verify_token("secret", &stored_mac[1..]));
        assert!(matches!(SigningKey::parse("0b"), Err(KeyError::TooShort)));
        assert!(matches!(SigningKey::parse("xy"), Err(KeyError::NotHex)));
    }
}
