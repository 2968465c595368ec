use super::*;
use crate::config::Config;
use std::io::Write as _;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A stream that knows no TCP option and is sound otherwise, and its other end.
fn without_options() -> std::io::Result<(TcpStream, tokio::net::UnixStream)> {
    let (ours, theirs) = UnixStream::pair()?;
    ours.set_nonblocking(true)?;
    theirs.set_nonblocking(true)?;
    let ours = std::net::TcpStream::from(OwnedFd::from(ours));
    Ok((TcpStream::from_std(ours)?, tokio::net::UnixStream::from_std(theirs)?))
}

/// A configuration whose list is `known`, by way of a file, as an agent gets its own.
fn config(name: &str, known: &str) -> Config {
    let path = std::env::temp_dir().join(format!("balancer-agent-{name}-{}.json", std::process::id()));
    let settings = r#"{"classes":[{"name":"a","aimMs":100,"deadlineMs":2500,"effect":"at_most_once"}]}"#;
    let text = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","known":{known},"settings":{settings}}}"#
    );
    let mut file = std::fs::File::create(&path).expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    let name = path.to_str().expect("a name").to_owned();
    let config = Config::load(|var| (var == "PROXY_CONFIG").then(|| name.clone()));
    std::fs::remove_file(&path).expect("removed");
    config.expect("a configuration")
}

#[tokio::test]
async fn a_connection_without_its_options_is_served() {
    let config = config("options", "null");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let driver = Driver::start(config, 8).expect("a driver");
            let server = Server::new(driver, 8);
            let (ours, mut theirs) = without_options().expect("a pair");
            assert!(ours.set_nodelay(true).is_err(), "the option can be set here");
            let slot = server.connection_slots.clone().try_acquire_owned().expect("a slot");
            tokio::task::spawn_local(server.serve_until_closed(ours, slot));
            theirs.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
            let mut answer = vec![0; 12];
            theirs.read_exact(&mut answer).await.expect("an answer");
            assert_eq!(answer, b"HTTP/1.1 503");
        })
        .await;
}

/// A cut-off machine says nothing at all; the client still gets its answer before it gives up. The clock is
/// the test's: it stands until the backend has the request, then goes from timer to timer.
#[tokio::test(start_paused = true)]
async fn a_silent_backend_keeps_no_client_past_its_wait() {
    const WAIT: Duration = Duration::from_millis(2000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dial = listener.local_addr().expect("an address");
    let host = format!(r#"{{"host":"s","dial":"{dial}","site":"a","health":"up"}}"#);
    let config = config("silent", &format!(r#"{{"seq":1,"whole":true,"hosts":[{host}]}}"#));
    // The clock does not move while a blocking task is under way.
    let (seen, until_seen) = std::sync::mpsc::channel::<()>();
    let clock_holder = tokio::task::spawn_blocking(move || until_seen.recv_timeout(Duration::from_secs(30)));
    let backend = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the agent's connection");
        let mut request = Vec::new();
        while !request.windows(4).any(|w| w == b"\r\n\r\n") {
            assert_ne!(stream.read_buf(&mut request).await.expect("a request"), 0);
        }
        seen.send(()).expect("the clock waits");
        stream
    });
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let driver = Driver::start(config, 8).expect("a driver");
            tokio::task::spawn_local(driver.clone().run());
            let server = Server::new(driver, 8);
            let (ours, mut theirs) = without_options().expect("a pair");
            let slot = server.connection_slots.clone().try_acquire_owned().expect("a slot");
            tokio::task::spawn_local(server.serve_until_closed(ours, slot));
            let request = "POST /a HTTP/1.1\r\nhost: x\r\nx-request-id: 1\r\nx-priority-class: a\r\n\
                               x-timeout: 2000m\r\ncontent-length: 0\r\n\r\n";
            let started = Instant::now();
            theirs.write_all(request.as_bytes()).await.expect("sent");
            let mut answer = vec![0; 12];
            theirs.read_exact(&mut answer).await.expect("an answer");
            assert!(started.elapsed() < WAIT, "{:?}", started.elapsed());
            assert!(started.elapsed() > WAIT - WAIT / 10, "given up after {:?}", started.elapsed());
            assert_eq!(answer, b"HTTP/1.1 504");
        })
        .await;
    assert!(clock_holder.await.expect("no panic").is_ok(), "the backend never had the request");
    backend.await.expect("no panic");
}

/// The idle time of a connection ends in the moment in which a request comes: it is answered. The clock is the test's, so
/// both are there when the connection's task runs next.
#[tokio::test(start_paused = true)]
async fn a_request_that_comes_as_the_idle_time_ends_is_answered() {
    const BEFORE: Duration = Duration::from_millis(2190);
    const READY: &[u8] = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let config = config("idle", "null");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let server = Server::new(Driver::start(config, 8).expect("a driver"), 64);
            for round in 0..32 {
                let (ours, mut theirs) = without_options().expect("a pair");
                let slot = server.connection_slots.clone().try_acquire_owned().expect("a slot");
                tokio::task::spawn_local(server.clone().serve_until_closed(ours, slot));
                let mut answer = vec![0; 256];
                theirs.write_all(READY).await.expect("sent");
                assert_ne!(theirs.read(&mut answer).await.expect("an answer"), 0);
                tokio::time::advance(BEFORE).await;
                theirs.try_write(READY).expect("sent");
                tokio::time::advance(BEFORE).await;
                assert_ne!(theirs.read(&mut answer).await.expect("an answer"), 0, "round {round}");
            }
        })
        .await;
}

/// The time for a head ends in the moment in which its last bytes come: it is answered, on a new connection and on one that
/// has been used.
#[tokio::test(start_paused = true)]
async fn a_head_that_ends_as_its_time_does_is_answered() {
    const BEFORE: Duration = Duration::from_millis(2790);
    const READY: &[u8] = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let (first, rest) = READY.split_at(READY.len() / 2);
    let config = config("head", "null");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let server = Server::new(Driver::start(config, 8).expect("a driver"), 64);
            for round in 0..32 {
                let (ours, mut theirs) = without_options().expect("a pair");
                let slot = server.connection_slots.clone().try_acquire_owned().expect("a slot");
                tokio::task::spawn_local(server.clone().serve_until_closed(ours, slot));
                let mut answer = vec![0; 256];
                for used in [false, true] {
                    theirs.write_all(first).await.expect("sent");
                    // It has been read when the clock has moved by itself.
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    tokio::time::advance(BEFORE).await;
                    theirs.try_write(rest).expect("sent");
                    tokio::time::advance(BEFORE).await;
                    let read = theirs.read(&mut answer).await.expect("an answer");
                    assert_ne!(read, 0, "round {round}, used before: {used}");
                }
            }
        })
        .await;
}
