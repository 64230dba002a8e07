//! A client of the API server, for the commands that people use.

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

/// The longest answer that is read.
const REPLY_LIMIT: usize = 64 * 1024 * 1024;

#[derive(Args, Clone)]
pub struct Server {
    /// Where the API server is: https://HOST:PORT, or http://HOST:PORT on loopback; also
    /// DILLCLEAT_SERVER
    #[arg(long, value_name = "URL")]
    server: Option<String>,
    /// A file with the bearer token; also DILLCLEAT_TOKEN_FILE
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// Certificates (PEM) that sign the server's
    #[arg(long, value_name = "FILE")]
    ca: Option<PathBuf>,
    /// For how many seconds it is tried
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    timeout: u64,
}

trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// A server with what is needed to speak to it.
pub struct Client {
    url: String,
    host: String,
    addr: String,
    tls: Option<TlsConnector>,
    token: String,
    patience: Duration,
}

/// What is sent.
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub accept: &'a str,
    pub media: &'a str,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn get(target: &str) -> Request<'_> {
        Request {
            method: "GET",
            target,
            accept: "application/json",
            media: "application/json",
            body: &[],
        }
    }
}

impl Server {
    pub fn client(&self) -> Result<Client, CliError> {
        let usage = |what: String| CliError::Usage(what);
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
            .map_err(|e| CliError::Settings(file.display().to_string(), e.to_string()))?;
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
            patience: Duration::from_secs(self.timeout),
        })
    }

    fn connector(&self) -> Result<TlsConnector, CliError> {
        let Some(file) = &self.ca else {
            return Err(CliError::Usage("give --ca FILE for an https server".into()));
        };
        let bad = |e: String| CliError::Settings(file.display().to_string(), e);
        let mut roots = RootCertStore::empty();
        let certs = CertificateDer::pem_file_iter(file).map_err(|e| bad(e.to_string()))?;
        for cert in certs {
            let cert = cert.map_err(|e| bad(e.to_string()))?;
            roots.add(cert).map_err(|e| bad(e.to_string()))?;
        }
        let config = ClientConfig::builder()
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(TlsConnector::from(Arc::new(config)))
    }
}

/// An answer whose body has yet to be read.
struct Answer {
    stream: Box<dyn Stream>,
    status: u16,
    /// Length of the body; None if it comes in chunks.
    length: Option<usize>,
    buffer: Vec<u8>,
}

impl Answer {
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
        let Some(length) = self.length.filter(|n| *n <= REPLY_LIMIT) else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer[..length].to_vec())
    }

    /// The next chunk of a body that comes in chunks; None after the last.
    async fn chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, size))) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if size > REPLY_LIMIT {
                        return Err(std::io::ErrorKind::InvalidData.into());
                    }
                    while self.buffer.len() < head + size + 2 {
                        self.fill().await?;
                    }
                    let rest = self.buffer.split_off(head + size + 2);
                    let whole = std::mem::replace(&mut self.buffer, rest);
                    return Ok((size > 0).then(|| whole[head..head + size].to_vec()));
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

    async fn open(&self, request: &Request<'_>) -> std::io::Result<Answer> {
        let mut stream = self.connect().await?;
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\nAccept: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            request.method,
            request.target,
            self.addr,
            self.token,
            request.accept,
            request.media,
            request.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(request.body);
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        let mut answer = Answer {
            stream,
            status: 0,
            length: None,
            buffer: Vec::new(),
        };
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&answer.buffer) {
                Ok(httparse::Status::Complete(head)) => {
                    answer.status = response.code.unwrap_or(0);
                    let mut all = response.headers.iter();
                    let length = all.find(|h| h.name.eq_ignore_ascii_case("content-length"));
                    answer.length =
                        length.and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok());
                    answer.buffer.drain(..head);
                    return Ok(answer);
                }
                Ok(httparse::Status::Partial) => answer.fill().await?,
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Asks until there is a final answer. What is tried again, and until when, is
    /// said at once on standard error.
    fn retry<T>(
        &self,
        mut attempt: impl AsyncFnMut() -> std::io::Result<Result<T, String>>,
    ) -> Result<T, CliError> {
        let end = Instant::now() + self.patience;
        let mut said = false;
        smol::block_on(async {
            loop {
                let limit = async {
                    Timer::at(end + Duration::from_millis(1)).await;
                    Err(std::io::ErrorKind::TimedOut.into())
                };
                let why = match attempt().or(limit).await {
                    Ok(Ok(done)) => return Ok(done),
                    Ok(Err(why)) => why,
                    Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                        return Err(CliError::Refused(format!("{}: {e}", self.url)));
                    }
                    Err(e) => e.to_string(),
                };
                if Instant::now() + Duration::from_secs(1) >= end {
                    let what = format!("{}: {why}", self.url);
                    return Err(CliError::NoAnswer(what, self.patience.as_secs()));
                }
                if !std::mem::replace(&mut said, true) {
                    let left = self.patience.as_secs();
                    eprintln!("{}: {why}; trying again for {left} s", self.url);
                }
                Timer::after(Duration::from_secs(1)).await;
            }
        })
    }

    /// One request and its answer: status and body.
    pub fn call(&self, request: &Request) -> Result<(u16, Value), CliError> {
        self.retry(async || {
            let mut answer = self.open(request).await?;
            let body = answer.body().await?;
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            match answer.status {
                status @ (429 | 503) => Ok(Err(format!("{status} {}", message(&value)))),
                status => Ok(Ok((status, value))),
            }
        })
    }

    /// Follows a watch, line by line, until it ends or `seen` has seen enough. Tells
    /// whether it is the latter.
    pub fn follow(
        &self,
        request: &Request,
        mut seen: impl FnMut(&Value) -> Result<bool, CliError>,
    ) -> Result<bool, CliError> {
        let mut answer = self.retry(async || {
            let mut answer = self.open(request).await?;
            match answer.status {
                status @ (429 | 503) => Ok(Err(status.to_string())),
                200 => Ok(Ok(answer)),
                _ => {
                    let body = answer.body().await?;
                    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
                    let what = message(&value);
                    Err(std::io::Error::new(std::io::ErrorKind::InvalidData, what))
                }
            }
        })?;
        loop {
            match smol::block_on(answer.chunk()) {
                Ok(Some(chunk)) => {
                    for line in chunk.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
                        let value: Value = serde_json::from_slice(line).unwrap_or_default();
                        if seen(&value)? {
                            return Ok(true);
                        }
                    }
                }
                // It ended, or was cut off: whoever wants to goes on from its version.
                Ok(None) | Err(_) => return Ok(false),
            }
        }
    }
}

/// What a refusal says.
pub fn message(status: &Value) -> String {
    status["message"]
        .as_str()
        .unwrap_or("no message")
        .to_string()
}
