//! TLS for the listener, with a certificate and key that are reloaded when their files
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

/// How often the files are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The modification times of the certificate and the key file.
type ModificationTimes = [Option<SystemTime>; 2];

pub struct Tls {
    files: settings::Tls,
    /// The current acceptor, and the modification times of the files it was loaded from.
    current: RefCell<(TlsAcceptor, ModificationTimes)>,
}

fn modification_times(files: &settings::Tls) -> ModificationTimes {
    let modified = |path: &Path| std::fs::metadata(path).and_then(|m| m.modified()).ok();
    [modified(&files.cert), modified(&files.key)]
}

/// Loads the files. Errors contain a file's name and the cause, never its content.
fn load_acceptor(files: &settings::Tls) -> Result<TlsAcceptor, CliError> {
    let file_error = |path: &Path, e: String| CliError::File(path.display().to_string(), e);
    let certs = CertificateDer::pem_file_iter(&files.cert)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|e| file_error(&files.cert, format!("no certificate: {e}")))?;
    if certs.is_empty() {
        return Err(file_error(&files.cert, "no certificate".into()));
    }
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|_| file_error(&files.key, "no private key".into()))?;
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(certs, key)
        .map_err(|e| file_error(&files.cert, e.to_string()))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

impl Tls {
    pub fn load(files: &settings::Tls) -> Result<Tls, CliError> {
        let modified = modification_times(files);
        Ok(Tls {
            current: RefCell::new((load_acceptor(files)?, modified)),
            files: files.clone(),
        })
    }

    /// Reloads the files whenever they change. If they are invalid, the previous certificate
    /// stays in use.
    pub async fn reload_on_change(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let modified = modification_times(&self.files);
            if self.current.borrow().1 == modified {
                continue;
            }
            match load_acceptor(&self.files) {
                Ok(acceptor) => {
                    let file = self.files.cert.display();
                    log::info!("TLS certificate reloaded file={file}");
                    *self.current.borrow_mut() = (acceptor, modified);
                }
                Err(e) => {
                    log::error!(
                        "cannot reload the TLS certificate, keeping the previous error={e}"
                    );
                    self.current.borrow_mut().1 = modified;
                }
            }
        }
    }

    pub async fn accept(&self, stream: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        let acceptor = self.current.borrow().0.clone();
        acceptor.accept(stream).await
    }
}
