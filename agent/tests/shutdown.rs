//! Shutdown while every server hangs: each request that was read has its final response before the process may be killed,
//! which is 0.7 s plus the shortest deadline of the deployment (counted as at most 3 s) after SIGTERM. The platform may also
//! go by the longest deadline.

mod common;
#[path = "common/platform.rs"]
mod platform;
#[path = "common/timer_lag.rs"]
mod timer_lag;
use common::*;
use platform::{healthy, Platform};
use std::time::{Duration, Instant};
use timer_lag::TimerLag;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at};

/// SIGKILL may follow SIGTERM after this plus the shortest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// For the time of SIGKILL, a longer deadline counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Connections without a request so far stay open for at least this long after SIGTERM.
const MIN_FRESH_CONNECTION_TIME: Duration = Duration::from_millis(600);
/// The time between two rounds of client requests.
const SEND_INTERVAL: Duration = Duration::from_millis(60);
/// A round in which timers lag by more than this is inconclusive.
const MAX_TIMER_LAG: Duration = Duration::from_millis(60);
const ROUNDS: usize = 10;

/// Runs a shutdown with these deadlines, one per class of the settings, and clients whose timeout is their class's deadline.
/// Returns the requests without a response at the time of SIGKILL, and the largest timer lag.
async fn unanswered_at_kill(deadlines: [u64; 3]) -> (Vec<String>, Duration) {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for (class, deadline) in deadlines.iter().enumerate() {
        let class = &mut config["settings"]["classes"][class];
        (class["deadlineMs"], class["aimMs"]) = ((*deadline).into(), (deadline / 2).into());
    }
    let shortest = Duration::from_millis(*deadlines.iter().min().expect("no deadlines"));
    let agent = Agent::start_with(config, |_| {}).await;
    let class_request = |class: usize, name: &str| {
        let (method, path) = [("GET", "/read/"), ("POST", "/save/"), ("POST", "/pay/")][class];
        request(method, &format!("{path}{name}"), &format!("{}m", deadlines[class]), "")
    };
    // Each class has a request that has been sent to the server, one that is half read, and clients that send in turn.
    let (mut pending, mut half_read, mut fresh) = (Vec::new(), Vec::new(), Vec::new());
    for class in 0..3 {
        for _ in 0..8 {
            fresh.push((class, agent.client().await));
        }
        let mut client = agent.client().await;
        let message = class_request(class, "half");
        let (first, rest) = message.split_at(message.len() / 2);
        client.send(first).await;
        half_read.push((format!("half {class}"), rest.to_owned(), client));
    }
    let timer_lag = TimerLag::start();
    for class in 0..3 {
        let mut client = agent.client().await;
        client.send(&class_request(class, "early")).await;
        pending.push((format!("early {class}"), client));
    }
    backend.next().await;
    agent.send_sigterm().await;
    let terminated_at = Instant::now();
    for round in 0.. {
        tokio::time::sleep((SEND_INTERVAL * round).saturating_sub(terminated_at.elapsed())).await;
        if terminated_at.elapsed() > MIN_FRESH_CONNECTION_TIME - SEND_INTERVAL {
            break;
        }
        if let Some((name, rest, mut client)) = half_read.pop() {
            client.send(&rest).await;
            pending.push((name, client));
        }
        for _ in 0..3 {
            let Some((class, mut client)) = fresh.pop() else { break };
            client.send(&class_request(class, "late")).await;
            pending.push((format!("class {class} after {:?}", terminated_at.elapsed()), client));
        }
    }
    let kill_at = KILL_DELAY + shortest.min(MAX_COUNTED_DEADLINE);
    let mut unanswered = Vec::new();
    for (name, mut client) in pending {
        let time_left = kill_at.saturating_sub(terminated_at.elapsed());
        let answer = tokio::time::timeout(time_left, read_message(&mut client.stream, 0)).await;
        if !matches!(answer, Ok(Some(_))) {
            unanswered.push(name);
        }
    }
    (unanswered, timer_lag.max_lag())
}

/// Asserts that a round returns no unanswered requests, in the first round that is conclusive.
async fn assert_all_are_answered(round: impl AsyncFn() -> (Vec<String>, Duration)) {
    for _ in 0..ROUNDS {
        let (unanswered, max_lag) = round().await;
        if unanswered.is_empty() {
            return;
        }
        assert!(max_lag > MAX_TIMER_LAG, "no response by the time of SIGKILL: {unanswered:?}");
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}

#[tokio::test]
async fn short_deadlines_are_met_while_all_servers_hang() {
    assert_all_are_answered(|| unanswered_at_kill([200, 200, 200])).await;
}

#[tokio::test]
async fn long_deadlines_are_met_while_all_servers_hang() {
    assert_all_are_answered(|| unanswered_at_kill([10_000, 10_000, 10_000])).await;
}

#[tokio::test]
async fn mixed_deadlines_are_met_while_all_servers_hang() {
    assert_all_are_answered(|| unanswered_at_kill([200, 10_000, 1_000])).await;
}

/// The deadlines of the classes `read`, `save` and `pay` while bodies are uploaded.
const UPLOAD_DEADLINES: [Duration; 3] =
    [Duration::from_millis(1500), Duration::from_secs(4), Duration::from_secs(5)];
/// How long before SIGTERM the uploads start.
const UPLOAD_START_TIME: Duration = Duration::from_millis(300);
/// More than the agent buffers before it forwards a body.
const FIRST_PIECE_BYTES: usize = 70_000;
/// An upload sends a piece of this size in each interval: 64 kB a second.
const PIECE_BYTES: usize = 6_400;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// How the length of an uploaded body is given.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

/// The time of SIGKILL, once SIGTERM has been sent.
type KillTime = watch::Receiver<Option<Instant>>;

/// Uploads a body at the lowest permitted rate, so that its last byte is sent at `last_byte_at`. Returns whether the
/// request has a response at the time of SIGKILL, or could not be sent completely, so that none is owed.
async fn upload(
    mut client: Client,
    path: &str,
    framing: Framing,
    last_byte_at: Instant,
    mut kill_time: KillTime,
) -> bool {
    let pieces = last_byte_at.duration_since(Instant::now()).as_millis() / PIECE_INTERVAL.as_millis();
    let length = FIRST_PIECE_BYTES + PIECE_BYTES * pieces as usize;
    let length_header = match framing {
        Framing::Length => format!("Content-Length: {length}"),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    client.send(&request("POST", path, "20000m", "").replace("Content-Length: 0", &length_header)).await;
    for piece in 0..=pieces as u32 {
        sleep_until((last_byte_at - PIECE_INTERVAL * (pieces as u32 - piece)).into()).await;
        let data = "x".repeat(if piece == 0 { FIRST_PIECE_BYTES } else { PIECE_BYTES });
        let bytes = match framing {
            Framing::Length => data,
            Framing::Chunked => {
                let end = if piece == pieces as u32 { "0\r\n\r\n" } else { "" };
                format!("{:x}\r\n{data}\r\n{end}", data.len())
            }
        };
        if client.stream.write_all(bytes.as_bytes()).await.is_err() {
            return true;
        }
    }
    let kill_at = kill_time.wait_for(Option::is_some).await.expect("no SIGTERM").expect("waited for");
    let answer = timeout_at(kill_at.into(), read_message(&mut client.stream, 0)).await;
    matches!(answer, Ok(Some(_)))
}

/// What the process that gets SIGTERM leaves its clients to.
#[derive(Clone, Copy, Debug)]
enum Successor {
    /// Nothing: the agent restarts later.
    None,
    /// Another process, which has the clients' listener too.
    Process,
}

/// Runs a shutdown with uploads whose last bytes are sent at these times after SIGTERM. Returns the requests without a
/// response at the time of SIGKILL, `kill_delay` after SIGTERM, and the largest timer lag.
async fn uploads_unanswered_at_kill(
    last_byte_times: &[Duration],
    kill_delay: Duration,
    successor: Successor,
) -> (Vec<String>, Duration) {
    let backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for (class, deadline) in UPLOAD_DEADLINES.iter().enumerate() {
        let class = &mut config["settings"]["classes"][class];
        let deadline_ms = deadline.as_millis() as u64;
        (class["deadlineMs"], class["aimMs"]) = (deadline_ms.into(), (deadline_ms / 2).into());
    }
    let platform = Platform::new(&format!("shutdown-{successor:?}-{}", kill_delay.as_millis()));
    let agent = match successor {
        Successor::None => Agent::start_with(config.clone(), |_| {}).await,
        Successor::Process => platform.process_of(config.clone()).await,
    };
    agent.wait_until_ready().await;
    let mut clients = Vec::new();
    for time in last_byte_times {
        // `pay` may be executed once only, `save` may be retried.
        for path in ["/pay", "/save"] {
            for framing in [Framing::Length, Framing::Chunked] {
                clients.push((*time, path, framing, agent.client().await));
            }
        }
    }
    let _new_process = match successor {
        Successor::None => None,
        Successor::Process => {
            let process = platform.process_of(config).await;
            healthy(&process).await;
            Some(process)
        }
    };
    let timer_lag = TimerLag::start();
    let terminate_at = Instant::now() + UPLOAD_START_TIME;
    let (kill_time_sender, kill_time) = watch::channel(None);
    let uploads: Vec<_> = clients
        .into_iter()
        .map(|(time, path, framing, client)| {
            let name = format!("{path}, {framing:?}, last byte after {time:?}");
            let upload = upload(client, path, framing, terminate_at + time, kill_time.clone());
            (name, tokio::spawn(upload))
        })
        .collect();
    sleep_until(terminate_at.into()).await;
    agent.send_sigterm().await;
    kill_time_sender.send_replace(Some(Instant::now() + kill_delay));
    let mut unanswered = Vec::new();
    for (name, upload) in uploads {
        if !upload.await.expect("task panicked") {
            unanswered.push(name);
        }
    }
    (unanswered, timer_lag.max_lag())
}

/// Guards against requests that are lost at SIGKILL: an upload still in transfer when the time to answer was over had no
/// time limit from then on, so that its client got no response from a server that hung.
#[tokio::test]
async fn uploads_that_end_shortly_before_sigkill_are_answered_while_all_servers_hang() {
    assert_uploads_are_answered(Successor::None).await;
}

/// The same while another process of the agent accepts the clients.
#[tokio::test]
async fn uploads_that_end_shortly_before_sigkill_are_answered_during_an_upgrade() {
    assert_uploads_are_answered(Successor::Process).await;
}

async fn assert_uploads_are_answered(successor: Successor) {
    for kill_delay in [KILL_DELAY + MAX_COUNTED_DEADLINE, KILL_DELAY + UPLOAD_DEADLINES[0]] {
        let last_byte_times = [1000, 300, 100].map(|ms| kill_delay - Duration::from_millis(ms));
        assert_all_are_answered(|| uploads_unanswered_at_kill(&last_byte_times, kill_delay, successor)).await;
    }
}
