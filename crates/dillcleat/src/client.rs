//! The HTTP client of the commands on Kubernetes objects.

use crate::error::CliError;
use clap::Args;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use futures_rustls::TlsConnector;
use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::{CertificateDer, ServerName};
use futures_rustls::rustls::{ClientConfig, RootCertStore};
use serde_json::Value;
use smol::Timer;
use smol::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

#[derive(Args, Clone)]
pub struct ApiServerArgs {
    /// URL of the API server: https://HOST:PORT, or http://HOST:PORT on loopback; also
    /// DILLCLEAT_SERVER
    #[arg(long, value_name = "URL")]
    server: Option<String>,
    /// File with the bearer token; also DILLCLEAT_TOKEN_FILE
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// File with the CA certificates (PEM) that the server's certificate is checked against
    #[arg(long, value_name = "FILE")]
    ca: Option<PathBuf>,
    /// Number of seconds after which the command gives up
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    timeout: u64,
}

trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// A client of one API server.
pub struct Client {
    url: String,
    host: String,
    addr: String,
    tls: Option<TlsConnector>,
    token: String,
    /// How long a request is retried.
    timeout: Duration,
}

pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub accept: &'a str,
    pub media_type: &'a str,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn get(target: &str) -> Request<'_> {
        Request {
            method: "GET",
            target,
            accept: "application/json",
            media_type: "application/json",
            body: &[],
        }
    }
}

impl ApiServerArgs {
    pub fn client(&self) -> Result<Client, CliError> {
        let usage = |message: String| CliError::Usage(message);
        let url = self.server.clone();
        let url = url.or_else(|| std::env::var("DILLCLEAT_SERVER").ok());
        let url = url.ok_or_else(|| usage("give --server URL".into()))?;
        let (tls, addr) = match url.split_once("://") {
            Some(("https", addr)) => (true, addr),
            Some(("http", addr)) => (false, addr),
            _ => {
                return Err(usage(format!(
                    "--server must be https://HOST:PORT, is {url:?}"
                )));
            }
        };
        let addr = addr.trim_end_matches('/').to_string();
        let Some((host, _)) = addr.rsplit_once(':') else {
            return Err(usage(format!("--server names no port: {url:?}")));
        };
        let loopback = host == "localhost" || host.starts_with("127.") || host == "[::1]";
        if !tls && !loopback {
            return Err(usage(
                "without TLS only a loopback address is spoken to".into(),
            ));
        }
        let file = self.token_file.clone();
        let file = file.or_else(|| std::env::var_os("DILLCLEAT_TOKEN_FILE").map(PathBuf::from));
        let file = file.ok_or_else(|| usage("give --token-file FILE".into()))?;
        let token = std::fs::read_to_string(&file)
            .map_err(|e| CliError::File(file.display().to_string(), e.to_string()))?;
        let connector = match tls {
            false => None,
            true => Some(self.connector()?),
        };
        Ok(Client {
            host: host.trim_matches(['[', ']']).to_string(),
            addr,
            url,
            tls: connector,
            token: token.trim().to_string(),
            timeout: Duration::from_secs(self.timeout),
        })
    }

    fn connector(&self) -> Result<TlsConnector, CliError> {
        let Some(file) = &self.ca else {
            return Err(CliError::Usage("give --ca FILE for an https server".into()));
        };
        let file_error = |e: String| CliError::File(file.display().to_string(), e);
        let mut roots = RootCertStore::empty();
        let certs = CertificateDer::pem_file_iter(file).map_err(|e| file_error(e.to_string()))?;
        for cert in certs {
            let cert = cert.map_err(|e| file_error(e.to_string()))?;
            roots.add(cert).map_err(|e| file_error(e.to_string()))?;
        }
        let config = ClientConfig::builder()
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(TlsConnector::from(Arc::new(config)))
    }
}

/// A response whose head has been read.
struct Response {
    stream: Box<dyn Stream>,
    status: u16,
    /// The length of the body; None if the body is chunked.
    length: Option<usize>,
    buffer: Vec<u8>,
}

impl Response {
    async fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0u8; 8192];
        match self.stream.read(&mut chunk).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    async fn body(&mut self) -> std::io::Result<Vec<u8>> {
        let Some(length) = self.length.filter(|n| *n <= MAX_RESPONSE_BYTES) else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer[..length].to_vec())
    }

    /// The next chunk of a chunked body; None after the last.
    async fn chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, size))) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if size > MAX_RESPONSE_BYTES {
                        return Err(std::io::ErrorKind::InvalidData.into());
                    }
                    while self.buffer.len() < head + size + 2 {
                        self.fill().await?;
                    }
                    let rest = self.buffer.split_off(head + size + 2);
                    let chunk = std::mem::replace(&mut self.buffer, rest);
                    return Ok((size > 0).then(|| chunk[head..head + size].to_vec()));
                }
                Ok(httparse::Status::Partial) => self.fill().await?,
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
        }
    }
}

impl Client {
    async fn connect(&self) -> std::io::Result<Box<dyn Stream>> {
        let tcp = TcpStream::connect(&self.addr).await?;
        let Some(tls) = &self.tls else {
            return Ok(Box::new(tcp));
        };
        let name = ServerName::try_from(self.host.clone())
            .map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidInput, e))?;
        Ok(Box::new(tls.connect(name, tcp).await?))
    }

    /// Sends a request on a new connection and reads the head of the response.
    async fn send(&self, request: &Request<'_>) -> std::io::Result<Response> {
        let mut stream = self.connect().await?;
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\nAccept: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            request.method,
            request.target,
            self.addr,
            self.token,
            request.accept,
            request.media_type,
            request.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(request.body);
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        let mut response = Response {
            stream,
            status: 0,
            length: None,
            buffer: Vec::new(),
        };
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut parsed = httparse::Response::new(&mut headers);
            match parsed.parse(&response.buffer) {
                Ok(httparse::Status::Complete(head)) => {
                    response.status = parsed.code.unwrap_or(0);
                    let mut headers = parsed.headers.iter();
                    let length = headers.find(|h| h.name.eq_ignore_ascii_case("content-length"));
                    response.length =
                        length.and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok());
                    response.buffer.drain(..head);
                    return Ok(response);
                }
                Ok(httparse::Status::Partial) => response.fill().await?,
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Retries a request until it gets a final response or the timeout has passed. The
    /// first failure is reported on standard error. An attempt returns an inner error if
    /// the response asks for a retry, and an `InvalidData` error if it must not be retried.
    fn retry<T>(
        &self,
        mut attempt: impl AsyncFnMut() -> std::io::Result<Result<T, String>>,
    ) -> Result<T, CliError> {
        let deadline = Instant::now() + self.timeout;
        let mut reported = false;
        smol::block_on(async {
            loop {
                let timeout = async {
                    Timer::at(deadline + Duration::from_millis(1)).await;
                    Err(std::io::ErrorKind::TimedOut.into())
                };
                let cause = match attempt().or(timeout).await {
                    Ok(Ok(result)) => return Ok(result),
                    Ok(Err(cause)) => cause,
                    Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                        return Err(CliError::Failed(format!("{}: {e}", self.url)));
                    }
                    Err(e) => e.to_string(),
                };
                if Instant::now() + Duration::from_secs(1) >= deadline {
                    let message = format!("{}: {cause}", self.url);
                    return Err(CliError::NoAnswer(message, self.timeout.as_secs()));
                }
                if !std::mem::replace(&mut reported, true) {
                    let seconds = self.timeout.as_secs();
                    eprintln!("{}: {cause}; trying again for {seconds} s", self.url);
                }
                Timer::after(Duration::from_secs(1)).await;
            }
        })
    }

    /// Sends a request and returns the status and body of the response.
    pub fn call(&self, request: &Request) -> Result<(u16, Value), CliError> {
        self.retry(async || {
            let mut response = self.send(request).await?;
            let body = response.body().await?;
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            match response.status {
                status @ (429 | 503) => Ok(Err(format!("{status} {}", status_message(&value)))),
                status => Ok(Ok((status, value))),
            }
        })
    }

    /// Passes the events of a watch to `handle_event` until it returns true or the watch
    /// ends. Returns whether `handle_event` returned true.
    pub fn follow(
        &self,
        request: &Request,
        mut handle_event: impl FnMut(&Value) -> Result<bool, CliError>,
    ) -> Result<bool, CliError> {
        let mut response = self.retry(async || {
            let mut response = self.send(request).await?;
            match response.status {
                status @ (429 | 503) => Ok(Err(status.to_string())),
                200 => Ok(Ok(response)),
                _ => {
                    let body = response.body().await?;
                    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
                    let error = status_message(&value);
                    Err(std::io::Error::new(std::io::ErrorKind::InvalidData, error))
                }
            }
        })?;
        loop {
            match smol::block_on(response.chunk()) {
                Ok(Some(chunk)) => {
                    for line in chunk.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
                        let value: Value = serde_json::from_slice(line).unwrap_or_default();
                        if handle_event(&value)? {
                            return Ok(true);
                        }
                    }
                }
                // The watch ended or the connection broke. The caller may open
                // another watch.
                Ok(None) | Err(_) => return Ok(false),
            }
        }
    }
}

/// The message of a `Status` object.
pub fn status_message(status: &Value) -> String {
    status["message"]
        .as_str()
        .unwrap_or("no message")
        .to_string()
}
