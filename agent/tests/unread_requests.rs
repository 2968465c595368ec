//! A client's timeout counts from when its request reached the agent's machine, also while the request lies unread: in the
//! accept queue, in the kernel's receive buffer or behind another request on its connection.

mod common;
#[path = "common/platform.rs"]
mod platform;
use common::*;
use platform::Platform;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A response that comes later than this after its client's timeout is lost (the standing test).
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// The time that a server is told may exceed the time that is left by this (the standing test).
const TOLD_TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// Every time limit is this much longer on sockets (the protocol page).
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// Clients may use no more than a third of these for their requests.
const SOCKETS: usize = 80;
/// Clients that send nothing, which is as many as the agent may have descriptors.
const SILENT_CLIENTS: usize = SOCKETS;
const REQUESTS: u32 = 24;
const REQUEST_INTERVAL: Duration = Duration::from_millis(125);
/// How long a server takes for a request.
const WORK: Duration = Duration::from_millis(60);

/// A request that a client has written, and its end.
struct Sent {
    at: Instant,
    timeout: Duration,
    /// The status of the response, and when it came; `None` if the connection was closed without one.
    answer: Option<(u16, Instant)>,
}

/// The id and the timeout by which a server was told of a request, and when it got it.
struct Received {
    id: String,
    told_timeout: Duration,
    at: Instant,
}

fn request_with(id: &str, path: &str, timeout: Duration) -> String {
    let method = if path == "/read" { "GET" } else { "POST" };
    request(method, path, &format!("{}m", timeout.as_millis()), "").replace("id1", id)
}

/// Starts a server that responds after [`WORK`] and reports what it receives.
async fn start_server() -> (SocketAddr, tokio::sync::mpsc::UnboundedReceiver<Received>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("no local address");
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                while let Some(message) = read_message(&mut stream, 0).await {
                    let micros =
                        message.header("x-timeout").and_then(|told| told.strip_suffix('u')?.parse().ok());
                    let received = Received {
                        id: message.header("x-request-id").unwrap_or_default().to_owned(),
                        told_timeout: Duration::from_micros(micros.expect("no X-Timeout in µs")),
                        at: Instant::now(),
                    };
                    let _ = sender.send(received);
                    sleep(WORK).await;
                    if stream.write_all(&ok("x")).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, receiver)
}

/// Sends a request over a new connection, and waits for its end until long after its timeout.
async fn ask_once(address: SocketAddr, id: String, path: &'static str, timeout: Duration) -> (String, Sent) {
    let mut stream = TcpStream::connect(address).await.expect("failed to connect");
    let at = Instant::now();
    if stream.write_all(request_with(&id, path, timeout).as_bytes()).await.is_err() {
        return (id, Sent { at, timeout, answer: None });
    }
    let message = soon("a response or a close", read_message(&mut stream, 0)).await;
    (id, Sent { at, timeout, answer: message.map(|message| (message.status(), Instant::now())) })
}

/// Checks that each answered request was answered in time and that no server was told of more time than was left.
fn assert_in_time(sent: &[(String, Sent)], received: &[Received]) {
    for (id, Sent { at, timeout, answer }) in sent {
        let Some((status, answered_at)) = answer else { continue };
        let took = *answered_at - *at;
        assert!(
            took <= *timeout + LATE_RESPONSE_GRACE + SOCKET_TOLERANCE,
            "{id} was answered {status} after {took:?} of {timeout:?}"
        );
    }
    for Received { id, told_timeout, at } in received {
        let (_, sent) = sent.iter().find(|(sent_id, _)| sent_id == id).expect("no such request");
        let left = (sent.at + sent.timeout).saturating_duration_since(*at);
        assert!(
            *told_timeout <= left + TOLD_TIMEOUT_SLACK + SOCKET_TOLERANCE,
            "the server was told of {told_timeout:?} for {id}, of which {left:?} was left"
        );
    }
}

/// Everything that the server has received by now.
fn take_received(receiver: &mut tokio::sync::mpsc::UnboundedReceiver<Received>) -> Vec<Received> {
    std::iter::from_fn(|| receiver.try_recv().ok()).collect()
}

async fn start_limited_agent(directory: &Directory, server: SocketAddr) -> Agent {
    let mut config = config(directory.address, &[host("s", server, "up")]);
    config["limits"]["sockets"] = SOCKETS.into();
    Agent::start_with(config, |_| {}).await
}

/// Keeps one silent connection to the agent at any time.
async fn stay_connected_silently(address: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let _ = stream.read(&mut [0; 1]).await;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against requests that are served after their time, as they waited in the accept queue behind clients that send
/// nothing, which held all connection slots for over 2 s.
#[tokio::test]
async fn requests_are_served_in_time_while_silent_clients_fill_the_connection_slots() {
    let (server, mut receiver) = start_server().await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = start_limited_agent(&directory, server).await;
    let mut silent_clients = JoinSet::new();
    for _ in 0..SILENT_CLIENTS {
        silent_clients.spawn(stay_connected_silently(agent.address));
    }
    sleep(Duration::from_millis(500)).await;
    let mut clients = JoinSet::new();
    for number in 0..REQUESTS {
        let (path, timeout) = [("/read", 2000), ("/pay", 600), ("/save", 1600)][number as usize % 3];
        let id = format!("request-{number}");
        clients.spawn(ask_once(agent.address, id, path, Duration::from_millis(timeout)));
        sleep(REQUEST_INTERVAL).await;
    }
    let sent = soon("all ends", clients.join_all()).await;
    assert_in_time(&sent, &take_received(&mut receiver));
    let served = sent.iter().filter(|(_, sent)| matches!(sent.answer, Some((200, _)))).count();
    assert!(2 * served >= sent.len(), "only {served} of {} requests were served", sent.len());
}

/// Guards against requests that are served after their time, as the agent was held up while they waited in the accept queue
/// although connection slots were free.
#[tokio::test]
async fn requests_that_waited_while_the_agent_was_held_up_are_answered_in_time_or_not_read() {
    let (server, mut receiver) = start_server().await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = start_limited_agent(&directory, server).await;
    agent.wait_until_ready().await;
    for hold_up_ms in [120, 250, 700, 1500] {
        agent.signal("-STOP").await;
        let mut clients = JoinSet::new();
        for (number, timeout) in [(0, 100), (1, 600), (2, 2000)] {
            let id = format!("request-{hold_up_ms}-{number}");
            clients.spawn(ask_once(agent.address, id, "/pay", Duration::from_millis(timeout)));
        }
        sleep(Duration::from_millis(hold_up_ms)).await;
        agent.signal("-CONT").await;
        let continued_at = Instant::now();
        let mut sent = soon("all ends", clients.join_all()).await;
        // A response cannot come before the agent runs again.
        sent.retain(|(_, sent)| {
            sent.at + sent.timeout + LATE_RESPONSE_GRACE > continued_at || sent.answer.is_some()
        });
        assert_in_time(&sent, &take_received(&mut receiver));
    }
}

/// Guards against requests whose timeout begins anew when they are read, as they lay behind another one on their
/// connection: they were forwarded after their time, with all of it.
#[tokio::test]
async fn timeout_of_a_pipelined_request_counts_while_it_waits_behind_another() {
    const PIPELINED: usize = 16;
    const TIMEOUT: Duration = Duration::from_millis(500);
    let (server, mut receiver) = start_server().await;
    let directory = Directory::start(Mood::Mute).await;
    for path in ["/read", "/pay"] {
        let agent = start_limited_agent(&directory, server).await;
        let mut client = agent.client().await;
        let ids: Vec<String> = (0..PIPELINED).map(|number| format!("request-{number}")).collect();
        let requests: String = ids.iter().map(|id| request_with(id, path, TIMEOUT)).collect();
        let at = Instant::now();
        client.send(&requests).await;
        let mut sent = Vec::new();
        let mut bytes = Vec::new();
        for id in ids {
            let answer = read_pipelined(&mut client.stream, &mut bytes).await;
            sent.push((id, Sent { at, timeout: TIMEOUT, answer: Some((answer, Instant::now())) }));
        }
        assert_in_time(&sent, &take_received(&mut receiver));
        let served = sent.iter().filter(|(_, sent)| matches!(sent.answer, Some((200, _)))).count();
        assert!(served >= 4, "only {served} requests were served on {path}");
    }
}

/// Reads one response, and leaves the bytes behind it in `bytes`. Returns its status.
async fn read_pipelined(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> u16 {
    soon("a pipelined response", async {
        loop {
            let text = String::from_utf8_lossy(bytes).into_owned();
            if let Some(head_end) = text.find("\r\n\r\n") {
                let head = Message { connection: 0, head: text[..head_end + 2].to_owned(), body: Vec::new() };
                let length: usize = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
                if bytes.len() >= head_end + 4 + length {
                    bytes.drain(..head_end + 4 + length);
                    return head.status();
                }
            }
            assert_ne!(stream.read_buf(bytes).await.expect("failed to read"), 0, "the connection was closed");
        }
    })
    .await
}

/// Guards against requests that a new process serves after their time, as they had waited in the listener that it
/// inherited; a request that comes after its start is served.
#[tokio::test]
async fn requests_that_waited_in_an_inherited_listener_are_answered_in_time_or_not_read() {
    let (server, mut receiver) = start_server().await;
    let directory = Directory::start(Mood::Mute).await;
    let platform = Platform::new("unread-requests");
    let address = platform.address();
    let mut clients = JoinSet::new();
    for (number, timeout) in [(0, 300), (1, 1200), (2, 2400)] {
        clients.spawn(ask_once(address, format!("request-{number}"), "/pay", Duration::from_millis(timeout)));
    }
    sleep(Duration::from_secs(1)).await;
    let agent = platform.process(&directory, &[host("s", server, "up")]).await;
    platform::healthy(&agent).await;
    clients.spawn(ask_once(address, "late".to_owned(), "/pay", Duration::from_millis(2000)));
    let mut sent = soon("all ends", clients.join_all()).await;
    let started_at = sent.iter().find(|(id, _)| id == "late").expect("not sent").1.at;
    sent.retain(|(_, sent)| {
        sent.at + sent.timeout + LATE_RESPONSE_GRACE > started_at || sent.answer.is_some()
    });
    assert_in_time(&sent, &take_received(&mut receiver));
    let late = sent.iter().find(|(id, _)| id == "late").expect("not sent");
    assert!(matches!(late.1.answer, Some((200, _))), "{:?}", late.1.answer);
}
