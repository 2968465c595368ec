//! A client that leaves is not sent on: whatever its request waits for in that moment, nothing of it begins at a renderer
//! any more. A client that ends its sending side alone has left as well.

mod common;
use common::*;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// Longer than any test takes: no deadline ends what a test waits for.
const WAIT: &str = "60000m";

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// It closes its connection.
    Close,
    /// The same, behind a part of its next request.
    CloseBehindBytes,
    /// It resets its connection.
    Reset,
    /// It ends its sending side, and still listens.
    EndSending,
    /// The same, behind a part of its next request.
    EndSendingBehindBytes,
}

const WAYS: [Leave; 5] =
    [Leave::Close, Leave::CloseBehindBytes, Leave::Reset, Leave::EndSending, Leave::EndSendingBehindBytes];

impl Leave {
    /// Leaves; what is left of the client must stay until the test's end.
    async fn by(self, mut client: Client) -> Option<Client> {
        if matches!(self, Leave::CloseBehindBytes | Leave::EndSendingBehindBytes) {
            client.send("POST /pay/left HTTP/1.1\r\nHost: serv").await;
        }
        match self {
            Leave::Close | Leave::CloseBehindBytes => None,
            Leave::Reset => {
                client.stream.set_zero_linger().expect("the option can be set");
                None
            }
            Leave::EndSending | Leave::EndSendingBehindBytes => {
                client.stream.shutdown().await.expect("the connection stands");
                Some(client)
            }
        }
    }
}

/// An agent may be held up for so long at any moment.
const HOLD_UP: Duration = Duration::from_millis(150);
/// An aim by which a request may wait in the queue for long.
const LONG_AIM: u64 = 20_000;

/// An agent that knows these servers, has long patience with its requests and with connects, and has a watch open.
async fn patient(hosts: &[Value], aim: u64) -> (Directory, Agent) {
    let empty = serde_json::json!({"seq": 1, "whole": true, "hosts": []});
    let mut directory = Directory::start(Mood::List(empty)).await;
    let mut config = config(directory.address, hosts);
    let settings = &mut config["settings"];
    settings["limits"]["connectTimeoutMs"] = 20_000.into();
    for class in 0..3 {
        let class = &mut settings["classes"][class];
        (class["aimMs"], class["deadlineMs"]) = (aim.into(), 60_000.into());
    }
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    directory.next_call().await;
    (directory, agent)
}

/// Waits until the agent owes this many answers.
async fn owes(agent: &Agent, answers: u64) {
    soon("the count of open requests", async { while agent.counters().await["current"] != answers {} }).await;
}

/// Waits until the agent has heard that a request's client has left; the log says so, and that nothing else ended it.
async fn has_left(agent: &mut Agent) {
    let line = agent.wait_for_log("id1").await;
    assert!(line.contains("gone"), "{line}");
}

/// Sends the next request, which is answered.
async fn ask_next(agent: &Agent) {
    assert_eq!(agent.client().await.ask(&request("GET", "/read/next", WAIT, "")).await.status(), 200);
}

/// No server is open to a request, so it waits in the queue; the client leaves, and then a server comes.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_left_while_its_request_was_queued() {
    for way in WAYS {
        let old = Backend::start(|_| Reply::Mute).await;
        let mut new = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (mut directory, mut agent) = patient(&[host("old", old.address, "up")], LONG_AIM).await;
        directory.list(2, &[host("old", old.address, "draining")]);
        directory.next_call().await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/left", WAIT, "")).await;
        owes(&agent, 1).await;
        let _rest = way.by(client).await;
        has_left(&mut agent).await;
        directory.list(3, &[host("new", new.address, "up")]);
        directory.next_call().await;
        ask_next(&agent).await;
        assert_eq!(new.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}");
    }
}

/// The same for a retry: the first attempt was turned away, and no other server is open by then.
#[tokio::test]
async fn no_retry_is_sent_for_a_client_that_left_while_it_was_queued() {
    for way in WAYS {
        let word = Arc::new(Notify::new());
        let gate = word.clone();
        let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        let mut old = Backend::start(move |_| Reply::When(gate.clone(), rejection.to_vec())).await;
        let mut new = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (mut directory, mut agent) = patient(&[host("old", old.address, "up")], LONG_AIM).await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/left", WAIT, "")).await;
        old.next().await;
        directory.list(2, &[host("old", old.address, "draining")]);
        directory.next_call().await;
        word.notify_one();
        // A server's counts tell that its answer has come.
        let rejected = async || agent.admin_json("renderers").await["renderers"][0]["rejected"] == 1;
        soon("the rejection", async { while !rejected().await {} }).await;
        owes(&agent, 1).await;
        let _rest = way.by(client).await;
        has_left(&mut agent).await;
        directory.list(3, &[host("new", new.address, "up")]);
        directory.next_call().await;
        ask_next(&agent).await;
        assert_eq!(new.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}");
    }
}

/// The agent is held up while an attempt is turned away and its client leaves, and finds both when it goes on: no retry
/// begins, in whichever order they came.
#[tokio::test]
async fn no_retry_is_sent_for_a_client_that_left_while_the_agent_was_held_up() {
    for (way, first) in WAYS.iter().flat_map(|way| [(*way, "the client"), (*way, "the answer")]) {
        let word = Arc::new(Notify::new());
        let gate = word.clone();
        let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        let mut backend = Backend::start(move |message| match message.head.contains("left") {
            true => Reply::When(gate.clone(), rejection.to_vec()),
            false => Reply::Bytes(ok("x")),
        })
        .await;
        let both = ["s", "t"].map(|name| host(name, backend.address, "up"));
        let (_directory, mut agent) = patient(&both, LONG_AIM).await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/left", WAIT, "")).await;
        backend.next().await;
        agent.signal("-STOP").await;
        if first == "the answer" {
            word.notify_one();
            tokio::time::sleep(HOLD_UP / 2).await;
        }
        let _rest = way.by(client).await;
        word.notify_one();
        tokio::time::sleep(HOLD_UP).await;
        agent.signal("-CONT").await;
        has_left(&mut agent).await;
        ask_next(&agent).await;
        assert_eq!(backend.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}, {first} first");
    }
}

/// A connection to a renderer comes up after the client has left, for a small body and for one that is still coming.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_left_while_connecting() {
    for way in WAYS {
        left_while_connecting(way, "whole".to_owned(), 5).await;
        left_while_connecting(way, "x".repeat(100 << 10), 1 << 20).await;
    }
}

async fn left_while_connecting(way: Leave, body: String, length: usize) {
    let full_backlog = FullBacklogListener::start().await;
    let (_directory, mut agent) = patient(&[host("s", full_backlog.address, "up")], LONG_AIM).await;
    let mut client = agent.client().await;
    let head = request("POST", "/pay/left", WAIT, "");
    client.send(&head.replace("Content-Length: 0", &format!("Content-Length: {length}"))).await;
    client.send(&body).await;
    let in_flight = async || agent.admin_json("renderers").await["renderers"][0]["in_flight"] == 1;
    soon("the attempt", async { while !in_flight().await {} }).await;
    let _rest = way.by(client).await;
    has_left(&mut agent).await;
    let mut stream = full_backlog.accept_pending().await;
    // The connection serves the next request, so the first one's bytes would have come before these.
    let mut client = agent.client().await;
    client.send(&request("GET", "/read/next", WAIT, "")).await;
    let message = soon("the next request", read_message(&mut stream, 0)).await.expect("a request");
    assert_eq!(message.first_line(), "GET /read/next HTTP/1.1", "{way:?}, a body of {length}");
}

/// An attempt at a server that says nothing is called back, and goes elsewhere. The client of one of two such requests
/// leaves first; as the other one comes to the second server, the first one's time for that is over as well.
#[tokio::test]
async fn no_second_copy_is_sent_for_a_client_that_left() {
    for way in WAYS {
        let mut mute = Backend::start(|_| Reply::Mute).await;
        let mut other = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (mut directory, mut agent) = patient(&[host("mute", mute.address, "up")], 1000).await;
        let mut leaves = agent.client().await;
        leaves.send(&request("GET", "/read/left", WAIT, "")).await;
        mute.next().await;
        let mut stays = agent.client().await;
        stays.send(&request("GET", "/read/stays", WAIT, "")).await;
        mute.next().await;
        directory.list(2, &[host("mute", mute.address, "up"), host("other", other.address, "up")]);
        directory.next_call().await;
        let _rest = way.by(leaves).await;
        has_left(&mut agent).await;
        assert_eq!(stays.answer().await.status(), 200, "{way:?}");
        assert_eq!(other.next().await.first_line(), "GET /read/stays HTTP/1.1", "{way:?}");
        assert!(other.seen.try_recv().is_err(), "{way:?}: sent on after its client had left");
    }
}

/// What a body that ends too early belongs to is no request, small or long.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_left_within_its_body() {
    for way in [Leave::Close, Leave::Reset, Leave::EndSending] {
        let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (_directory, mut agent) = patient(&[host("s", backend.address, "up")], LONG_AIM).await;
        let mut client = agent.client().await;
        let head = request("POST", "/pay/left", WAIT, "").replace("Length: 0", "Length: 10");
        client.send(&(head + "half")).await;
        let _rest = way.by(client).await;
        agent.wait_for_log("id1").await;
        ask_next(&agent).await;
        assert_eq!(backend.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}");
    }
}
