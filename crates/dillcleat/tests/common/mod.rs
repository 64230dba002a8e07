//! Fixtures for tests of the Kubernetes API server: a directory, a key and a certificate.

use std::path::{Path, PathBuf};

/// The operators' signing key.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

pub type Certificate = rcgen::CertifiedKey<rcgen::KeyPair>;

pub fn generate_certificate() -> Certificate {
    rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).expect("a certificate")
}

/// Writes a certificate and its key to the files that the server reads.
pub fn install_certificate(dir: &Path, certificate: &Certificate) {
    let key = certificate.signing_key.serialize_pem();
    std::fs::write(dir.join("tls.key"), key).expect("a file");
    std::fs::write(dir.join("server.crt"), certificate.cert.pem()).expect("a file");
}

/// Creates a directory for one test that contains the signing key.
pub fn test_dir(name: &str) -> PathBuf {
    let dir_name = format!("{}-{name}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(dir_name);
    std::fs::create_dir_all(&dir).expect("a directory");
    std::fs::write(dir.join("kube.key"), KEY).expect("a file");
    dir
}
