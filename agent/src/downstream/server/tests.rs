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
            let place = server.places.clone().try_acquire_owned().expect("a place");
            tokio::task::spawn_local(server.connection(ours, place));
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
async fn a_mute_backend_keeps_no_client_past_its_wait() {
    const WAIT: Duration = Duration::from_millis(2000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dial = listener.local_addr().expect("an address");
    let host = format!(r#"{{"host":"s","dial":"{dial}","site":"a","health":"up"}}"#);
    let config = config("mute", &format!(r#"{{"seq":1,"whole":true,"hosts":[{host}]}}"#));
    // The clock does not move while a blocking task is under way.
    let (seen, until_seen) = std::sync::mpsc::channel::<()>();
    let held = tokio::task::spawn_blocking(move || until_seen.recv_timeout(Duration::from_secs(30)));
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
            let place = server.places.clone().try_acquire_owned().expect("a place");
            tokio::task::spawn_local(server.connection(ours, place));
            let request = "POST /a HTTP/1.1\r\nhost: x\r\nx-request-id: 1\r\nx-priority-class: a\r\n\
                               x-timeout: 2000m\r\ncontent-length: 0\r\n\r\n";
            let asked = Instant::now();
            theirs.write_all(request.as_bytes()).await.expect("sent");
            let mut answer = vec![0; 12];
            theirs.read_exact(&mut answer).await.expect("an answer");
            assert!(asked.elapsed() < WAIT, "{:?}", asked.elapsed());
            assert!(asked.elapsed() > WAIT - WAIT / 10, "given up after {:?}", asked.elapsed());
            assert_eq!(answer, b"HTTP/1.1 504");
        })
        .await;
    assert!(held.await.expect("no panic").is_ok(), "the backend never had the request");
    backend.await.expect("no panic");
}

/// The idle time of a connection ends in the moment in which a request comes: it is heard. The clock is the test's, so
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
                let place = server.places.clone().try_acquire_owned().expect("a place");
                tokio::task::spawn_local(server.clone().connection(ours, place));
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

#[test]
fn waits_have_a_number_and_a_unit() {
    assert_eq!(wait_of("480m"), Some(Duration::from_millis(480)));
    assert_eq!(wait_of("900u"), Some(Duration::from_micros(900)));
    for text in
        ["", "m", "480", "-1m", "0m", "1e9m", "nanm", "infm", "99999999999999999999m", "4s", "é", "1é"]
    {
        assert_eq!(wait_of(text), None, "{text}");
    }
}
