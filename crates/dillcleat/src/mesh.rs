//! Connections among the controllers. Each node connects to each sibling and
//! sends on its own connections only; what it accepts, it reads.

use dillcleat_controller::Input;
use dillcleat_peer_protocol::{FrameError, Message, frame_length};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use smol::channel::{Receiver, Sender};
use smol::net::TcpStream;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(500);
const CONNECT_TIME: Duration = Duration::from_secs(2);
const WRITE_TIME: Duration = Duration::from_secs(3);
/// How long a connection is used. The sibling never answers on it, so one that
/// is dead at the far end, after a pause or a cut, looks alive here; a sibling
/// once heard nothing for a minute that way (incident e9a6).
const USE_TIME: Duration = Duration::from_secs(5);
/// A sibling beats twice a second.
const READ_TIME: Duration = Duration::from_secs(15);

async fn timed<T>(time: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    work.or(async {
        Timer::after(time).await;
        None
    })
    .await
}

/// Sends this node's messages to one sibling for ever.
pub async fn speak(own: String, addr: String, messages: Receiver<Message>) {
    loop {
        let stream = timed(CONNECT_TIME, async { TcpStream::connect(&addr).await.ok() }).await;
        let used = match stream {
            Some(stream) => use_up(stream, &own, &messages).await,
            None => None,
        };
        if used.is_none() {
            Timer::after(PAUSE).await;
            // What waited is old by now.
            while messages.try_recv().is_ok() {}
        }
    }
}

/// Sends messages on one connection for as long as it is to be used; None if
/// it fails.
async fn use_up(mut stream: TcpStream, own: &str, messages: &Receiver<Message>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let since = Instant::now();
    let mut next = Message::Hello {
        member: own.to_string(),
    };
    loop {
        let bytes = next.encode();
        timed(WRITE_TIME, async { stream.write_all(&bytes).await.ok() }).await?;
        if since.elapsed() >= USE_TIME {
            return Some(());
        }
        next = messages.recv().await.ok()?;
    }
}

#[derive(Debug, thiserror::Error)]
enum ListenError {
    #[error("closed or silent")]
    Gone,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("it did not say who it is")]
    NoHello,
}

/// Reads one accepted connection until it ends or misbehaves.
pub async fn listen(stream: TcpStream, siblings: &[String], inputs: Sender<Input>) {
    if let Err(e) = read(stream, siblings, &inputs).await
        && !matches!(e, ListenError::Gone)
    {
        log::error!("closed a sibling's connection: {e}");
    }
}

async fn read(
    mut stream: TcpStream,
    siblings: &[String],
    inputs: &Sender<Input>,
) -> Result<(), ListenError> {
    let mut from: Option<String> = None;
    loop {
        let mut head = [0u8; 4];
        timed(READ_TIME, async { stream.read_exact(&mut head).await.ok() })
            .await
            .ok_or(ListenError::Gone)?;
        let mut frame = vec![0; frame_length(head)?];
        timed(READ_TIME, async {
            stream.read_exact(&mut frame).await.ok()
        })
        .await
        .ok_or(ListenError::Gone)?;
        match (Message::decode(&frame)?, &from) {
            (Message::Hello { member }, None) if siblings.contains(&member) => from = Some(member),
            (_, None) => return Err(ListenError::NoHello),
            (message, Some(from)) => {
                let input = Input::Peer {
                    from: from.clone(),
                    message,
                };
                inputs.send(input).await.map_err(|_| ListenError::Gone)?;
            }
        }
    }
}
