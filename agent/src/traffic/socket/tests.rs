use super::*;
use std::io::Write as _;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// A client that disconnects behind unread bytes is known to have done so at once: past 0.1 s nothing may start for it any more. The
/// clock is the test's, and stands while anything is under way.
#[tokio::test(start_paused = true)]
async fn an_end_behind_unread_bytes_is_seen_without_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    let socket = Socket::new(listener.accept().await.expect("a connection").0);
    client.write_all(b"GET /read HTTP/1.1\r\n").expect("sent");
    let stays = timeout(Duration::from_secs(1), socket.wait_for_peer_close()).await;
    assert!(stays.is_err(), "bytes alone are no end");
    let before = Instant::now();
    drop(client);
    socket.wait_for_peer_close().await;
    assert!(socket.has_pending_input(), "the bytes are still there");
    assert!(before.elapsed() < Duration::from_millis(100), "{:?}", before.elapsed());
}
