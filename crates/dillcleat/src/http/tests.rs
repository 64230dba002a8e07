//! Tests of the connection pool.

use super::*;
use smol::net::TcpListener;

/// Guards against a former leader that deletes machines when a network partition ends.
#[test]
fn a_request_is_not_sent_if_the_connection_opens_after_send_by() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("its address").to_string();
        let pool = ConnectionPool::new(1, 1);
        let limits = TimeLimits {
            timeout: Duration::from_secs(5),
            send_by: Some(Instant::now()),
        };
        let sent = pool
            .call(&addr, "POST", "/hosts/delete", b"x", limits)
            .await;
        assert_eq!(sent, Err(CallError::NotSent));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("its end");
        assert_eq!(bytes, b"");
    });
}

/// Answers one request on a connection, which stays open.
async fn answer_one(stream: &mut TcpStream) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await.expect("a request");
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("an answer is sent");
}

/// Guards against using more sockets than reserved: calls in flight and idle connections
/// share one limit.
#[test]
fn calls_in_flight_reduce_the_number_of_idle_connections() {
    const MAX_OPEN: usize = 2;
    smol::block_on(async {
        let pool = ConnectionPool::bounded(1, 2, MAX_OPEN);
        let time = Duration::from_secs(5);
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let addr = |i: usize| -> String {
            let addr = listeners[i].local_addr().expect("its address");
            addr.to_string()
        };
        let call = async |i: usize| pool.call(&addr(i), "POST", "/", b"x", time).await;
        let serve = async |i: usize| {
            let (mut stream, _) = listeners[i].accept().await.expect("a connection");
            answer_one(&mut stream).await;
            stream
        };
        let (first, mut kept) = smol::future::zip(call(0), serve(0)).await;
        assert!(first.is_ok());
        assert_eq!(pool.idle_count(), 1);
        // With one call in flight the idle connection is kept; a second call evicts it.
        let outer = async {
            let (inner, _stream) = smol::future::zip(call(2), serve(2)).await;
            assert!(inner.is_ok());
            assert_eq!(pool.idle_count(), 0);
            assert_eq!(kept.read(&mut [0]).await.expect("its end"), 0);
            serve(1).await
        };
        let (second, _stream) = smol::future::zip(call(1), outer).await;
        assert!(second.is_ok());
        assert_eq!(pool.idle_count(), 1);
    });
}
