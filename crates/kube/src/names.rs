//! References and identities that follow from an object's name.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The shortest key of the operators that is taken, in bytes.
pub const KEY_BYTES: usize = 32;
/// Decimal digits of a reference; 10^32 is just above 2^106.
const DIGITS: u32 = 32;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("a key is hexadecimal digits")]
    NotHex,
    #[error("a key has at least {KEY_BYTES} bytes")]
    Short,
}

/// Reads hexadecimal digits; None if they are not.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The operators' key. It never appears in a log.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl SigningKey {
    /// From a file's text.
    pub fn parse(text: &str) -> Result<SigningKey, KeyError> {
        let bytes = unhex(text.trim()).ok_or(KeyError::NotHex)?;
        if bytes.len() < KEY_BYTES {
            return Err(KeyError::Short);
        }
        Ok(SigningKey(bytes))
    }

    /// A MAC over parts, each after its length, so that no two lists of parts are
    /// taken for each other.
    fn mac(&self, parts: &[&str]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        Some(mac)
    }

    fn number(&self, parts: &[&str]) -> u128 {
        // A MAC of this kind takes keys of any length.
        let mac = self.mac(parts).map(|m| m.finalize().into_bytes());
        let bytes = mac.and_then(|m| m.first_chunk::<16>().copied());
        u128::from_be_bytes(bytes.unwrap_or_default())
    }

    /// What is kept of a token instead of it.
    pub fn token(&self, secret: &str) -> String {
        let mac = self.mac(&["token", secret]);
        mac.map_or(String::new(), |m| hex(&m.finalize().into_bytes()))
    }

    /// Whether a token is the one of which `kept` was made, in the same time
    /// whatever they have in common.
    pub fn is_token(&self, secret: &str, kept: &[u8]) -> bool {
        let mac = self.mac(&["token", secret]);
        mac.is_some_and(|m| m.verify_slice(kept).is_ok())
    }

    /// The identity of the `run`-th object of this name.
    pub fn uid(&self, resource: &str, namespace: &str, name: &str, run: u32) -> String {
        let n = self.number(&["uid", resource, namespace, name, &run.to_string()]);
        // Version 8 (its own kind) and variant, as RFC 9562 has them.
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

    /// The reference of the job that an object stands for: it follows from
    /// namespace, name and uid.
    pub fn job(&self, namespace: &str, name: &str, uid: &str) -> String {
        let n = self.number(&["job", namespace, name, uid]) % 10u128.pow(DIGITS);
        format!("req-{n:032}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_give_references() {
        let key = SigningKey::parse(&"0b".repeat(32)).expect("a key");
        let uid = key.uid("jobs", "books", "merge", 1);
        assert_eq!(uid.len(), 36);
        assert_eq!(&uid[14..15], "8");
        assert!(matches!(&uid[19..20], "8" | "9" | "a" | "b"), "{uid}");
        let job = key.job("books", "merge", &uid);
        assert!(dillcleat_wire::user::is_job_id(&job), "{job}");
        // Neither a later run nor names that only read alike are the same.
        assert_ne!(uid, key.uid("jobs", "books", "merge", 2));
        assert_ne!(job, key.job("book", "smerge", &uid));
        assert_eq!(format!("{key:?}"), "Key");
    }

    #[test]
    fn tokens_are_known_by_their_macs() {
        let key = SigningKey::parse(&"0b".repeat(32)).expect("a key");
        let kept = unhex(&key.token("secret")).expect("hex");
        assert!(key.is_token("secret", &kept));
        assert!(!key.is_token("secrex", &kept));
        assert!(!key.is_token("secret", &kept[1..]));
        assert!(matches!(SigningKey::parse("0b"), Err(KeyError::Short)));
        assert!(matches!(SigningKey::parse("xy"), Err(KeyError::NotHex)));
    }
}
