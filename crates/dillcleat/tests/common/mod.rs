//! What tests of the door share: a folder, a key and a certificate.

use std::path::{Path, PathBuf};

/// The operators' key.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

pub type Certified = rcgen::CertifiedKey<rcgen::KeyPair>;

pub fn certificate() -> Certified {
    rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).expect("a certificate")
}

/// Puts a certificate where the server reads it.
pub fn install(dir: &Path, made: &Certified) {
    std::fs::write(dir.join("tls.key"), made.signing_key.serialize_pem()).expect("a file");
    std::fs::write(dir.join("server.crt"), made.cert.pem()).expect("a file");
}

/// A folder of a test's own, with the key in it.
pub fn folder(name: &str) -> PathBuf {
    let own = format!("{}-{name}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(own);
    std::fs::create_dir_all(&dir).expect("a folder");
    std::fs::write(dir.join("kube.key"), KEY).expect("a file");
    dir
}
