//! Connections among the controllers. Each controller connects to each of its peers and
//! only writes on the connections that it opened; those that it accepted it only reads.

use dillcleat_controller::Input;
use dillcleat_peer_protocol::{FrameError, Message, frame_length};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use smol::channel::{Receiver, Sender};
use smol::net::TcpStream;
use std::time::{Duration, Instant};

/// Pause after a connection failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is used before it is opened anew. The peer never answers on it,
/// so a connection that is dead at the far end, after a pause or a partition, looks alive
/// here; a peer once received nothing for a minute that way (incident e9a6).
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(5);
/// Peers send a heartbeat twice a second: a connection silent for so long is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

async fn with_timeout<T>(time: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    work.or(async {
        Timer::after(time).await;
        None
    })
    .await
}

/// Sends this controller's messages to one peer, and reconnects when that fails.
pub async fn send_messages(own: String, addr: String, messages: Receiver<Message>) {
    loop {
        let stream = with_timeout(CONNECT_TIMEOUT, async {
            TcpStream::connect(&addr).await.ok()
        })
        .await;
        let used = match stream {
            Some(stream) => send_on_connection(stream, &own, &messages).await,
            None => None,
        };
        if used.is_none() {
            Timer::after(RECONNECT_PAUSE).await;
            // Queued messages are out of date by now.
            while messages.try_recv().is_ok() {}
        }
    }
}

/// Sends messages on one connection until it is to be opened anew; None if it fails.
async fn send_on_connection(
    mut stream: TcpStream,
    own: &str,
    messages: &Receiver<Message>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let since = Instant::now();
    let mut next = Message::Hello {
        member: own.to_string(),
    };
    loop {
        let bytes = next.encode();
        with_timeout(WRITE_TIMEOUT, async { stream.write_all(&bytes).await.ok() }).await?;
        if since.elapsed() >= MAX_CONNECTION_AGE {
            return Some(());
        }
        next = messages.recv().await.ok()?;
    }
}

#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error("closed or silent")]
    Gone,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the first frame is not a hello of a known peer")]
    NoHello,
}

/// Reads one accepted connection until it ends or misbehaves.
pub async fn receive_messages(stream: TcpStream, peers: &[String], inputs: Sender<Input>) {
    if let Err(e) = read_messages(stream, peers, &inputs).await
        && !matches!(e, ReceiveError::Gone)
    {
        log::error!("peer connection closed error={e}");
    }
}

async fn read_messages(
    mut stream: TcpStream,
    peers: &[String],
    inputs: &Sender<Input>,
) -> Result<(), ReceiveError> {
    let mut from: Option<String> = None;
    loop {
        let mut head = [0u8; 4];
        with_timeout(READ_TIMEOUT, async {
            stream.read_exact(&mut head).await.ok()
        })
        .await
        .ok_or(ReceiveError::Gone)?;
        let mut frame = vec![0; frame_length(head)?];
        with_timeout(READ_TIMEOUT, async {
            stream.read_exact(&mut frame).await.ok()
        })
        .await
        .ok_or(ReceiveError::Gone)?;
        match (Message::decode(&frame)?, &from) {
            (Message::Hello { member }, None) if peers.contains(&member) => from = Some(member),
            (_, None) => return Err(ReceiveError::NoHello),
            (message, Some(from)) => {
                let input = Input::Peer {
                    from: from.clone(),
                    message,
                };
                inputs.send(input).await.map_err(|_| ReceiveError::Gone)?;
            }
        }
    }
}
