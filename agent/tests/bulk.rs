//! Bodies that are too long to be kept: passed on as they come, at the pace of whoever is slower.

mod common;
use common::*;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MB: usize = 1 << 20;

/// A backend whose every connection is handled by the test, request by request; only the head is read for it.
async fn backend<F, T>(handle: F) -> SocketAddr
where
    F: Fn(TcpStream, Message) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let handle = handle.clone();
            tokio::spawn(async move {
                loop {
                    let mut bytes = Vec::new();
                    let end = loop {
                        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                            break at + 4;
                        }
                        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                            return;
                        }
                    };
                    let body = bytes.split_off(end);
                    let head = String::from_utf8(bytes).expect("text");
                    match handle(stream, Message { connection: 0, head, body }).await {
                        Some(kept) => stream = kept,
                        None => return,
                    }
                }
            });
        }
    });
    address
}

/// Bytes that differ from place to place, so that a piece that is lost or doubled shows.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 251 + i) as u8).collect()
}

/// Reads an answer of known length or in chunks to its end; the body, and whether it is whole.
async fn read_long(stream: &mut TcpStream) -> (String, Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let mut ended = false;
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) {
            let head = String::from_utf8(bytes[..end].to_vec()).expect("text");
            let lower = head.to_ascii_lowercase();
            let length = lower.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
            let rest = &bytes[end..];
            match length {
                Some(length) if ended || rest.len() >= length => {
                    return (head, rest.to_vec(), rest.len() == length);
                }
                None if ended || rest.ends_with(b"0\r\n\r\n") => {
                    let (body, whole) = unchunk(rest);
                    return (head, body, whole);
                }
                _ => {}
            }
        }
        assert!(!ended, "no head came");
        ended = soon("the answer", stream.read_buf(&mut bytes)).await.unwrap_or(0) == 0;
    }
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
        let (size, from) = (size.expect("a size"), line + 2);
        if size == 0 {
            return (body, true);
        }
        let to = (from + size).min(rest.len());
        body.extend_from_slice(&rest[from..to]);
        rest = rest.get(to + 2..).unwrap_or_default();
    }
    (body, false)
}

async fn agent_for(address: SocketAddr) -> (Agent, Directory) {
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", address, "up")]);
    config["operator"] = "127.0.0.1:0".into();
    config["limits"]["memory_mb"] = 32.into();
    (Agent::start_with(config, |_| {}).await, directory)
}

/// The most memory that the agent has held, in kB.
fn held_most(agent: &Agent) -> u64 {
    let pid = agent.child.id().expect("it runs");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let most = status.split("VmHWM:").nth(1).and_then(|l| l.trim().split(' ').next()?.parse().ok());
    most.expect("a figure")
}

async fn counted(agent: &Agent, field: &str, n: u64) {
    soon("the figures", async { while agent.counters().await[field]["read"] != n {} }).await;
}

#[tokio::test]
async fn long_answers_come_whole_in_every_form() {
    let address = backend(|mut stream, message| async move {
        let body = body(3 * MB);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\n";
        if message.head.contains("/chunks") {
            stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await.ok()?;
            for piece in body.chunks(70_001) {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await.ok()?;
                stream.write_all(piece).await.ok()?;
                stream.write_all(b"\r\n").await.ok()?;
            }
            stream.write_all(b"0\r\nX-After: 1\r\n\r\n").await.ok()?;
        } else if message.head.contains("/close") {
            stream.write_all(format!("{head}Connection: close\r\n\r\n").as_bytes()).await.ok()?;
            stream.write_all(&body).await.ok()?;
            return None;
        } else {
            stream.write_all(b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n").await.ok()?;
            let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.ok()?;
            // A HEAD has no body, whatever length its answer names.
            if message.first_line().starts_with("GET") {
                stream.write_all(&body).await.ok()?;
            }
        }
        Some(stream)
    })
    .await;
    let (agent, _directory) = agent_for(address).await;
    let mut client = agent.client().await;
    for form in ["/read", "/read/chunks", "/read/close", "/read"] {
        client.send(&request("GET", form, "5000m", "")).await;
        let (head, got, whole) = read_long(&mut client.stream).await;
        assert!(head.starts_with("HTTP/1.1 200") && head.contains("x/y"), "{form}: {head}");
        assert!(whole && got == body(3 * MB), "{form}: {} bytes", got.len());
    }
    counted(&agent, "answered", 4).await;
    client.send(&request("HEAD", "/read", "5000m", "")).await;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        assert_ne!(soon("a head", client.stream.read_buf(&mut head)).await.expect("bytes"), 0);
    }
    let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
    assert!(head.contains(&format!("content-length: {}", 3 * MB)), "{head}");
}

/// The first bytes go on while the rest is still to come, and the deadline cuts nothing that has begun.
#[tokio::test]
async fn an_answer_that_has_begun_is_neither_held_back_nor_cut() {
    for head in ["Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", "Content-Length: 100000\r\n\r\nfour"] {
        let (word, given) = tokio::sync::watch::channel(false);
        let address = backend(move |mut stream, _| {
            let mut given = given.clone();
            async move {
                stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}").as_bytes()).await.ok()?;
                given.wait_for(|given| *given).await.ok()?;
                let rest = match head.starts_with('T') {
                    true => format!("{:x}\r\n{}\r\n0\r\n\r\n", 99_996, "x".repeat(99_996)),
                    false => "x".repeat(99_996),
                };
                stream.write_all(rest.as_bytes()).await.ok()?;
                Some(stream)
            }
        })
        .await;
        let (agent, _directory) = agent_for(address).await;
        let mut client = agent.client().await;
        let asked = Instant::now();
        client.send(&request("GET", "/read", "900m", "")).await;
        let mut first = Vec::new();
        while !first.windows(4).any(|w| w == b"four") {
            assert_ne!(soon("the first bytes", client.stream.read_buf(&mut first)).await.expect("bytes"), 0);
        }
        assert!(asked.elapsed() < Duration::from_millis(900), "held back for {:?}", asked.elapsed());
        assert_eq!(agent.counters().await["current"], 1, "it has not ended");
        tokio::time::sleep_until((asked + Duration::from_millis(1100)).into()).await;
        word.send_replace(true);
        let mut rest = first.len();
        while rest < 100_000 {
            let n = soon("the rest", client.stream.read(&mut [0; 65536])).await.expect("bytes");
            assert_ne!(n, 0, "cut off after {rest} bytes");
            rest += n;
        }
        counted(&agent, "answered", 1).await;
    }
}

#[tokio::test]
async fn a_client_can_tell_that_a_long_answer_broke_off() {
    for head in ["Transfer-Encoding: chunked\r\n\r\n186a0\r\n", "Content-Length: 500000\r\n\r\n"] {
        let address = backend(move |mut stream, _| async move {
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}").as_bytes()).await.ok()?;
            stream.write_all(&[b'x'; 80_000]).await.ok()?;
            None
        })
        .await;
        let (agent, _directory) = agent_for(address).await;
        let mut client = agent.client().await;
        client.send(&request("GET", "/read", "5000m", "")).await;
        let (_, _, whole) = read_long(&mut client.stream).await;
        assert!(!whole, "{head}");
        counted(&agent, "errored", 1).await;
        assert_eq!(agent.counters().await["current"], 0);
    }
}

/// More at once than memory holds: forty of 32 MB, whose clients do not read.
#[tokio::test]
async fn what_clients_do_not_read_is_not_held() {
    let address = backend(|mut stream, _| async move {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 * MB);
        stream.write_all(head.as_bytes()).await.ok()?;
        let piece = vec![b'x'; MB];
        for _ in 0..32 {
            stream.write_all(&piece).await.ok()?;
        }
        Some(stream)
    })
    .await;
    let (agent, _directory) = agent_for(address).await;
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = agent.client().await;
        client.send(&request("GET", "/read", "5000m", "")).await;
        clients.push(client);
    }
    for client in &mut clients {
        assert_eq!(soon("a first byte", client.stream.read(&mut [0; 1])).await.expect("a byte"), 1);
    }
    assert!(held_most(&agent) < 32 << 10, "{} kB held", held_most(&agent));
    let mut left = 32 * MB;
    let last = &mut clients[39].stream;
    while left > 0 {
        let n = soon("the rest", last.read(&mut vec![0; MB])).await.expect("bytes");
        assert_ne!(n, 0, "cut off with {left} left");
        left = left.saturating_sub(n);
    }
}

/// Reads a request body in either form to its end; `None` if it breaks off.
async fn read_body(stream: &mut TcpStream, message: &Message) -> Option<Vec<u8>> {
    let mut bytes = message.body.clone();
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().expect("a length");
        while bytes.len() < length {
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
        return Some(bytes);
    }
    while !bytes.ends_with(b"0\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(unchunk(&bytes).0)
}

fn post(path: &str, wait: &str, framing: &str) -> String {
    request("POST", path, wait, "").replace("Content-Length: 0", framing)
}

/// The client takes longer to send than it will wait for the answer, which counts from its last byte.
#[tokio::test]
async fn long_bodies_go_on_whole_in_every_form_at_their_clients_pace() {
    let (tell, mut told) = tokio::sync::mpsc::channel(8);
    let address = backend(move |mut stream, message| {
        let tell = tell.clone();
        async move {
            let body = read_body(&mut stream, &message).await?;
            tell.send((message, body)).await.ok()?;
            stream.write_all(&ok("thanks")).await.ok()?;
            Some(stream)
        }
    })
    .await;
    let (agent, _directory) = agent_for(address).await;
    let sent = body(2 * MB);
    let mut client = agent.client().await;
    for chunked in [false, true, false] {
        let framing = match chunked {
            true => "Transfer-Encoding: chunked\r\nTrailer: X-After".to_owned(),
            false => format!("Content-Length: {}\r\nExpect: 100-continue", sent.len()),
        };
        client.send(&post("/pay", "900m", &framing)).await;
        if !chunked {
            let mut told = [0; 25];
            soon("a word", client.stream.read_exact(&mut told)).await.expect("bytes");
            assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        for piece in sent.chunks(200_003) {
            if chunked {
                client.send(&format!("{:x}\r\n", piece.len())).await;
            }
            client.stream.write_all(piece).await.expect("the agent reads");
            if chunked {
                client.send("\r\n").await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if chunked {
            client.send("0\r\nX-After: 1\r\n\r\n").await;
        }
        let answer = client.answer().await;
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"thanks"[..]), "chunked: {chunked}");
        let (message, got) = soon("the body", told.recv()).await.expect("a body");
        assert!(got == sent, "{} bytes of {}", got.len(), sent.len());
        assert_eq!(message.header("x-timeout").map(|wait| wait.ends_with('u')), Some(true));
    }
    let told = agent.counters().await;
    assert_eq!(
        (&told["answered"]["pay"], &told["sends"], &told["current"]),
        (&3.into(), &3.into(), &0.into())
    );
}

/// A client that leaves in the middle of its body has asked for nothing: no renderer gets it whole, nor once more.
#[tokio::test]
async fn half_of_a_long_body_is_no_request() {
    let (tell, mut told) = tokio::sync::mpsc::channel(8);
    let address = backend(move |mut stream, message| {
        let tell = tell.clone();
        async move {
            let whole = read_body(&mut stream, &message).await.is_some();
            tell.send(whole).await.ok()?;
            None
        }
    })
    .await;
    let (agent, _directory) = agent_for(address).await;
    for (framing, begin) in [("Content-Length: 300000", ""), ("Transfer-Encoding: chunked", "40000\r\n")] {
        let mut client = agent.client().await;
        client.send(&post("/save", "2000m", framing)).await;
        client.send(begin).await;
        client.stream.write_all(&body(200_000)).await.expect("the agent reads");
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(client);
        assert_eq!(soon("its end", told.recv()).await, Some(false), "{framing}");
    }
    let told_more = tokio::time::timeout(Duration::from_millis(200), told.recv()).await;
    assert!(told_more.is_err(), "sent again");
    let told = agent.counters().await;
    assert_eq!(
        (&told["errored"]["save"], &told["sends"], &told["current"]),
        (&0.into(), &0.into(), &0.into())
    );
    // One that stops sending is told so.
    let mut mute = agent.client().await;
    mute.send(&post("/save", "2000m", "Content-Length: 300000")).await;
    mute.stream.write_all(&body(100_000)).await.expect("the agent reads");
    assert_eq!(mute.answer().await.status(), 408);
}

/// What is turned away early is told at once, though the client has still much to send.
#[tokio::test]
async fn a_long_body_that_is_turned_away_is_refused_at_once() {
    let address = backend(|mut stream, _| async move {
        let answer = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.ok()?;
        // The rest is read, as a peer that closes with bytes unread takes its answer back.
        while stream.read(&mut vec![0; MB]).await.ok()? > 0 {}
        None
    })
    .await;
    let (agent, _directory) = agent_for(address).await;
    let mut client = agent.client().await;
    client.send(&post("/pay", "2000m", "Content-Length: 3000000")).await;
    client.stream.write_all(&body(1_000_000)).await.expect("the agent reads");
    assert_eq!(client.answer().await.status(), 429);
    client.stream.write_all(&body(1_000_000)).await.expect("the agent still reads");
}

/// Nothing of the body has been read when a connect fails, so the next renderer gets it whole.
#[tokio::test]
async fn a_long_body_goes_elsewhere_while_none_of_it_has_gone_out() {
    let (tell, mut told) = tokio::sync::mpsc::channel(8);
    let address = backend(move |mut stream, message| {
        let tell = tell.clone();
        async move {
            tell.send(read_body(&mut stream, &message).await?.len()).await.ok()?;
            stream.write_all(&ok("x")).await.ok()?;
            Some(stream)
        }
    })
    .await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("dead", nobody().await, "up"), host("s", address, "up")];
    let agent = Agent::start(directory.address, &hosts).await;
    for _ in 0..6 {
        let mut client = agent.client().await;
        client.send(&post("/pay", "2000m", "Content-Length: 300000")).await;
        client.stream.write_all(&body(300_000)).await.expect("the agent reads");
        assert_eq!(client.answer().await.status(), 200);
        assert_eq!(soon("the body", told.recv()).await, Some(300_000));
    }
}

/// More at once than memory holds: forty of 32 MB, which the backend does not read.
#[tokio::test]
async fn what_backends_do_not_read_is_not_held() {
    let address = backend(|stream, _| async move {
        tokio::time::sleep(Duration::from_secs(600)).await;
        drop(stream);
        None
    })
    .await;
    let (agent, _directory) = agent_for(address).await;
    let mut writers = Vec::new();
    for _ in 0..40 {
        let mut client = agent.client().await;
        writers.push(tokio::spawn(async move {
            client.send(&post("/pay", "2000m", &format!("Content-Length: {}", 32 * MB))).await;
            let piece = vec![b'x'; MB];
            // It goes on for as long as anybody takes it.
            let write = async { while client.stream.write_all(&piece).await.is_ok() {} };
            let _ = tokio::time::timeout(Duration::from_millis(800), write).await;
            client
        }));
    }
    let mut clients = Vec::new();
    for writer in writers {
        clients.push(writer.await.expect("no panic"));
    }
    assert_eq!(clients.len(), 40);
    assert!(held_most(&agent) < 32 << 10, "{} kB held", held_most(&agent));
}

/// A client is not late for what nobody has asked it for: while the connection to the renderer comes up, its body stands
/// still on the agent's account, and it has its whole patience for when the word to send comes.
#[tokio::test]
async fn a_body_that_nobody_has_asked_for_is_not_late() {
    /// Past the time that a body has before its rate counts.
    const PAST_PATIENCE: Duration = Duration::from_millis(3200);
    let full_backlog = FullBacklogListener::start().await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", full_backlog.address, "up")]);
    config["settings"]["limits"]["connectTimeoutMs"] = 20_000.into();
    let agent = Agent::start_with(config, |_| {}).await;
    let sent = body(300_000);
    let mut client = agent.client().await;
    let framing = format!("Content-Length: {}\r\nExpect: 100-continue", sent.len());
    client.send(&post("/pay", "60000m", &framing)).await;
    tokio::time::sleep(PAST_PATIENCE).await;
    let mut renderer = full_backlog.accept_pending().await;
    let mut told = [0; 25];
    soon("the word to send", client.stream.read_exact(&mut told)).await.expect("bytes");
    assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
    client.stream.write_all(&sent).await.expect("the agent reads");
    let message = soon("the request", read_message(&mut renderer, 0)).await.expect("a whole request");
    assert!(message.body == sent, "{} bytes of {}", message.body.len(), sent.len());
    renderer.write_all(&ok("thanks")).await.expect("the agent reads");
    assert_eq!(client.answer().await.status(), 200);
}
