//! Long bodies that stand still on both sides: a renderer that takes no more, and a client that cannot send on.

mod common;
use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MB: usize = 1 << 20;
/// More than the system takes on the way.
const LENGTH: usize = 32 * MB;
/// No request stands still for nearly as long.
const LAST: Duration = Duration::from_secs(120);

/// What a renderer may be silent for in the middle of an answer, with something to spare.
const PAST_STALL: Duration = Duration::from_secs(33);

/// A client that takes nothing for longer than a renderer may be silent, and then goes on: its renderer, that could send no
/// more meanwhile, has not been silent, and the answer goes on to its end.
#[tokio::test]
async fn an_answer_whose_client_stood_still_goes_on_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the agent's connection");
        read_message(&mut stream, 0).await.expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the agent reads");
        stream.write_all(&vec![b'x'; LENGTH]).await.expect("the agent reads");
    });
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", address, "up")]).await;
    let mut client = agent.client().await;
    client.send(&request("GET", "/read", "900m", "").replace("Host:", "Connection: close\r\nHost:")).await;
    soon("the answer's beginning", client.stream.readable()).await.expect("bytes");
    tokio::time::sleep(PAST_STALL).await;
    let mut answer = Vec::new();
    soon("the rest", client.stream.read_to_end(&mut answer)).await.expect("no reset");
    assert!(answer.len() > LENGTH && answer.ends_with(b"x"), "{} bytes of over {LENGTH}", answer.len());
}

/// A renderer that stops in the middle of a request, without closing anything, has the request given up: its client, that
/// waits to send on, is answered, and what the body held is free again.
#[tokio::test]
async fn a_renderer_that_takes_no_more_of_a_body_does_not_hold_its_client_for_ever() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    // Its connections are taken and never read.
    tokio::spawn(async move {
        let mut taken = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            taken.push(stream);
        }
    });
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", address, "up")]);
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    let length = format!("Content-Length: {LENGTH}");
    client.send(&request("POST", "/pay", "900m", "").replace("Content-Length: 0", &length)).await;
    let (mut read, mut write) = client.stream.into_split();
    let writes = tokio::spawn(async move {
        let piece = vec![b'x'; MB];
        while write.write_all(&piece).await.is_ok() {}
    });
    let mut first = [0; 12];
    let answer = tokio::time::timeout(LAST, read.read_exact(&mut first)).await;
    answer.expect("an answer").expect("bytes");
    assert!(first.starts_with(b"HTTP/1.1 5") || first.starts_with(b"HTTP/1.1 429"), "{first:?}");
    assert_eq!(agent.counters().await["current"], 0);
    writes.abort();
}
