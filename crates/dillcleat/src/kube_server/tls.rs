//! TLS for the listener: a certificate and a key from files, read again when they
//! change.

use crate::error::CliError;
use dillcleat_kube::settings;
use futures_rustls::TlsAcceptor;
use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer};
use futures_rustls::rustls::ServerConfig;
use futures_rustls::server::TlsStream;
use smol::Timer;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// How often the files are looked at.
const LOOK: Duration = Duration::from_secs(2);

/// When both files were written last.
type Written = [Option<SystemTime>; 2];

pub struct Tls {
    files: settings::Tls,
    now: RefCell<(TlsAcceptor, Written)>,
}

fn written(files: &settings::Tls) -> Written {
    let of = |path: &Path| std::fs::metadata(path).and_then(|m| m.modified()).ok();
    [of(&files.cert), of(&files.key)]
}

/// What is wrong is told by the file's name and the cause, never by its content.
fn read(files: &settings::Tls) -> Result<TlsAcceptor, CliError> {
    let bad = |path: &Path, e: String| CliError::Settings(path.display().to_string(), e);
    let certs = CertificateDer::pem_file_iter(&files.cert)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|e| bad(&files.cert, format!("no certificate: {e}")))?;
    if certs.is_empty() {
        return Err(bad(&files.cert, "no certificate".into()));
    }
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|_| bad(&files.key, "no private key".into()))?;
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(certs, key)
        .map_err(|e| bad(&files.cert, e.to_string()))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

impl Tls {
    pub fn load(files: &settings::Tls) -> Result<Tls, CliError> {
        let when = written(files);
        Ok(Tls {
            now: RefCell::new((read(files)?, when)),
            files: files.clone(),
        })
    }

    /// Takes up the files whenever they have changed. What cannot be used is said, and
    /// what was there before stays.
    pub async fn keep_up(&self) {
        loop {
            Timer::after(LOOK).await;
            let when = written(&self.files);
            if self.now.borrow().1 == when {
                continue;
            }
            match read(&self.files) {
                Ok(acceptor) => {
                    log::info!("{}: taken up", self.files.cert.display());
                    *self.now.borrow_mut() = (acceptor, when);
                }
                Err(e) => {
                    log::error!("{e}; the certificate before stays");
                    self.now.borrow_mut().1 = when;
                }
            }
        }
    }

    pub async fn accept(&self, stream: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        let acceptor = self.now.borrow().0.clone();
        acceptor.accept(stream).await
    }
}
