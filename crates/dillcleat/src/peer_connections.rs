//! Connections among the controllers. Each controller opens a connection to each of its
//! peers. It writes only to the connections that it opened, and reads only from those
//! that it accepted.

use dillcleat_controller::Input;
use dillcleat_peer_protocol::{FrameError, Message, frame_length};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use smol::channel::{Receiver, Sender};
use smol::net::TcpStream;
use std::time::{Duration, Instant};

/// The delay before reconnecting after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is used before it is replaced. The peer never responds on it, so
/// the sender does not notice a connection that is broken at the peer's end.
/// A peer received nothing for a minute that way (docs/incidents, inc-e9a6).
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(5);
/// Idle timeout of an accepted connection. Peers send a heartbeat twice a second.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = Option<T>>,
) -> Option<T> {
    operation
        .or(async {
            Timer::after(timeout).await;
            None
        })
        .await
}

/// Sends this controller's messages to one peer, and reconnects when that fails.
pub async fn send_messages(own_name: String, addr: String, messages: Receiver<Message>) {
    loop {
        let stream = with_timeout(CONNECT_TIMEOUT, async {
            TcpStream::connect(&addr).await.ok()
        })
        .await;
        let completed = match stream {
            Some(stream) => send_on_connection(stream, &own_name, &messages).await,
            None => None,
        };
        if completed.is_none() {
            Timer::after(RECONNECT_DELAY).await;
            // The messages that were queued during the delay are outdated.
            while messages.try_recv().is_ok() {}
        }
    }
}

/// Sends messages on one connection until it reaches its maximum age; None if it fails.
async fn send_on_connection(
    mut stream: TcpStream,
    own_name: &str,
    messages: &Receiver<Message>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let opened_at = Instant::now();
    let mut next = Message::Hello {
        member: own_name.to_string(),
    };
    loop {
        let bytes = next.encode();
        with_timeout(WRITE_TIMEOUT, async { stream.write_all(&bytes).await.ok() }).await?;
        if opened_at.elapsed() >= MAX_CONNECTION_AGE {
            return Some(());
        }
        next = messages.recv().await.ok()?;
    }
}

#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error("connection closed or idle timeout exceeded")]
    Closed,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the first frame is not a hello of a known peer")]
    MissingHello,
}

/// Reads messages from one accepted connection until it closes or violates the protocol.
pub async fn receive_messages(stream: TcpStream, peers: &[String], inputs: Sender<Input>) {
    if let Err(e) = read_messages(stream, peers, &inputs).await
        && !matches!(e, ReceiveError::Closed)
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
        .ok_or(ReceiveError::Closed)?;
        let mut frame = vec![0; frame_length(head)?];
        with_timeout(READ_TIMEOUT, async {
            stream.read_exact(&mut frame).await.ok()
        })
        .await
        .ok_or(ReceiveError::Closed)?;
        match (Message::decode(&frame)?, &from) {
            (Message::Hello { member }, None) if peers.contains(&member) => from = Some(member),
            (_, None) => return Err(ReceiveError::MissingHello),
            (message, Some(from)) => {
                let input = Input::Peer {
                    from: from.clone(),
                    message,
                };
                inputs.send(input).await.map_err(|_| ReceiveError::Closed)?;
            }
        }
    }
}
