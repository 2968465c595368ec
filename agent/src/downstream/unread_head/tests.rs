use super::*;
use std::io::Write;
use tokio::net::TcpListener;

/// The timeout that is found in these bytes, if it is the same twice: a look must not consume them.
async fn timeout_in(bytes: &[u8]) -> Option<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("get the local address");
    let mut client = std::net::TcpStream::connect(address).expect("connect");
    client.write_all(bytes).expect("send the bytes");
    let socket = Socket::new(listener.accept().await.expect("accept the connection").0);
    let timeout = unread_timeout(&socket);
    assert_eq!(unread_timeout(&socket), timeout, "the bytes were consumed");
    timeout
}

#[tokio::test]
async fn the_timeout_of_a_complete_head_is_found_without_reading_it() {
    let found =
        timeout_in(b"POST /a HTTP/1.1\r\nhost: x\r\nX-TIMEOUT: 480m\r\ncontent-length: 3\r\n\r\nab").await;
    assert_eq!(found, Some(Duration::from_millis(480)));
}

#[tokio::test]
async fn nothing_is_known_of_an_incomplete_or_invalid_head() {
    let heads: [&[u8]; 5] = [
        b"",
        b"GET /a HTTP/1.1\r\nx-timeout: 480m\r\n",
        b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n",
        b"GET /a HTTP/1.1\r\nx-timeout: soon\r\n\r\n",
        b"\x16\x03\x01 x-timeout: 480m\r\n\r\n",
    ];
    for head in heads {
        assert_eq!(timeout_in(head).await, None, "{}", String::from_utf8_lossy(head));
    }
}
